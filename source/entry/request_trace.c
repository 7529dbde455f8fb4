#include "request_trace.h"

#include <jansson.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bilberrytray/base/json_text.h"

enum
{
  MS_PER_S = 1000,
  FIRST_YEAR = 1900,
  TIME_FIELDS = 7,
  /* State events are printed from this long before the request, since they may have determined
   * its outcome: longer than it takes to notice the loss of a link or a lease. */
  CONTEXT_BEFORE_MS = 3000,
  CONTEXT_AFTER_MS = 100,
};

/** A log line. */
typedef struct trace_line
{
  json_t *object;
  int64_t at_ms;
  int32_t order; /* number of lines that were added before it */
} trace_line_t;

struct bt_request_trace
{
  const char *request_id;
  trace_line_t *lines;
  int32_t count;
  int32_t unreadable;
};

/* Events that change the state that an instance assumes of the platform, of endpoints or of a
 * group. */
static const char *const state_events[] = {
  "store-lost",
  "store-regained",
  "store-source",
  "endpoint-listed",
  "endpoint-leaving",
  "endpoint-gone",
  "endpoint-replaced",
  "group-phase",
  "group-broken",
  "group-open",
  "leading",
  "not-leading",
  "engine-lost",
  "engine-regained",
  "agent-lost",
  "leaving",
  "start",
  "log-left-out",
  "agent-linked",
  "listing-lapsed",
  "configuration-rejected",
};

bt_request_trace_t *
bt_new_request_trace (bt_context_t *ctx, const char *request_id)
{
  bt_request_trace_t *trace = bt_calloc (ctx, 1, sizeof *trace);

  trace->request_id = request_id;
  return trace;
}

void
bt_drop_request_trace (bt_context_t *ctx, bt_request_trace_t *trace)
{
  if (trace == NULL)
    return;
  for (int32_t i = 0; i < trace->count; i++)
    json_decref (trace->lines[i].object);
  bt_free (ctx, trace->lines);
  bt_free (ctx, trace);
}

static const char *
get_text (const json_t *object, const char *field)
{
  const char *text = json_string_value (json_object_get (object, field));

  return text == NULL ? "" : text;
}

static long long
get_number (const json_t *object, const char *field)
{
  return json_integer_value (json_object_get (object, field));
}

/* Converts a time like "2026-03-08T21:39:43.037Z" to milliseconds since 1970; -1 for any other
 * format. */
static int64_t
read_time (const char *text)
{
  struct tm parts = { 0 };
  int milliseconds = 0;

  if (sscanf (text, "%d-%d-%dT%d:%d:%d.%dZ", &parts.tm_year, &parts.tm_mon, &parts.tm_mday,
              &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &milliseconds)
      != TIME_FIELDS)
    return -1;
  parts.tm_year -= FIRST_YEAR;
  parts.tm_mon -= 1;
  return (int64_t)timegm (&parts) * MS_PER_S + milliseconds;
}

void
bt_add_trace_line (bt_context_t *ctx, bt_request_trace_t *trace, const char *line)
{
  const char *start = strchr (line, '{');
  json_t *object =
      start == NULL ? NULL : bt_load_json (start, strlen (start), JSON_DISABLE_EOF_CHECK, NULL);
  int64_t at_ms = read_time (get_text (object, "at"));
  trace_line_t *added;

  if (object == NULL || at_ms < 0)
    {
      trace->unreadable++;
      json_decref (object);
      return;
    }
  trace->lines = bt_realloc (ctx, trace->lines, (size_t)trace->count + 1, sizeof *trace->lines);
  added = &trace->lines[trace->count];
  added->object = object;
  added->at_ms = at_ms;
  added->order = trace->count++;
}

static int
compare_lines (const void *left, const void *right)
{
  const trace_line_t *a = left;
  const trace_line_t *b = right;

  if (a->at_ms != b->at_ms)
    return a->at_ms < b->at_ms ? -1 : 1;
  return a->order < b->order ? -1 : 1;
}

static bool
is_request_line (const bt_request_trace_t *trace, const trace_line_t *line)
{
  return strcmp (get_text (line->object, "request"), trace->request_id) == 0;
}

/* Finds the time from the request's arrival to its end. */
static bool
find_request_interval (const bt_request_trace_t *trace, int64_t *from_ms, int64_t *to_ms)
{
  bool found = false;

  for (int32_t i = 0; i < trace->count; i++)
    {
      const trace_line_t *line = &trace->lines[i];
      int64_t began_ms = line->at_ms - get_number (line->object, "total_ms");

      if (!is_request_line (trace, line))
        continue;
      if (!found || began_ms < *from_ms)
        *from_ms = began_ms;
      *to_ms = line->at_ms;
      found = true;
    }
  return found;
}

static bool
is_state_event (const trace_line_t *line)
{
  for (size_t i = 0; i < sizeof state_events / sizeof state_events[0]; i++)
    if (strcmp (get_text (line->object, "event"), state_events[i]) == 0)
      return true;
  return false;
}

static bool
has_same_text (const json_t *left, const json_t *right, const char *field)
{
  const char *text = get_text (left, field);

  return text[0] != '\0' && strcmp (text, get_text (right, field)) == 0;
}

/* Returns true for the events of a group that only its leader writes. The others are written by
 * every instance. */
static bool
is_leader_event (const trace_line_t *event)
{
  const char *name = get_text (event->object, "event");

  return get_text (event->object, "group")[0] != '\0' && strcmp (name, "group-broken") != 0
         && strcmp (name, "group-open") != 0;
}

/* A state event is relevant if it comes from an instance that handled the request. One about an
 * endpoint is relevant only if the request was sent to that endpoint; one of a group's leader
 * always is. */
static bool
is_relevant (const bt_request_trace_t *trace, const trace_line_t *event)
{
  bool of_endpoint = get_text (event->object, "endpoint")[0] != '\0';

  if (is_leader_event (event))
    return true;
  for (int32_t i = 0; i < trace->count; i++)
    {
      const json_t *object = trace->lines[i].object;

      if (is_request_line (trace, &trace->lines[i])
          && has_same_text (object, event->object, "instance")
          && (!of_endpoint || has_same_text (object, event->object, "endpoint")))
        return true;
    }
  return false;
}

/* Returns the first line of the request that has a field, such as the fingerprint of its content;
 * NULL if none does. */
static const trace_line_t *
find_line_with (const bt_request_trace_t *trace, const char *field)
{
  for (int32_t i = 0; i < trace->count; i++)
    if (is_request_line (trace, &trace->lines[i])
        && get_text (trace->lines[i].object, field)[0] != '\0')
      return &trace->lines[i];
  return NULL;
}

/* Returns true if a line reports an end of an endpoint that accuses the part which another line
 * names. */
static bool
is_accusing_end (const bt_request_trace_t *trace,
                 const trace_line_t *line,
                 const trace_line_t *part)
{
  const char *endpoint = get_text (line->object, "endpoint");

  if (strcmp (get_text (line->object, "event"), "part-end") != 0)
    return false;
  for (int32_t i = 0; i < trace->count; i++)
    if (has_same_text (trace->lines[i].object, part->object, "part")
        && strstr (get_text (trace->lines[i].object, "endpoints"), endpoint) != NULL)
      return true;
  return false;
}

/* Returns true if a line explains why the request was held or refused, however old it is: it is
 * about the same content or the same part of a prompt. */
static bool
is_cause (const bt_request_trace_t *trace,
          const trace_line_t *line,
          const trace_line_t *content,
          const trace_line_t *part)
{
  if (content != NULL && has_same_text (line->object, content->object, "fingerprint"))
    return true;
  if (part == NULL || strcmp (get_text (line->object, "event"), "part-refused") == 0)
    return false;
  return has_same_text (line->object, part->object, "part") || is_accusing_end (trace, line, part);
}

/* Finds the event that put the configuration that applied to the request in force on its
 * instance. */
static const trace_line_t *
find_configuration (const bt_request_trace_t *trace, const trace_line_t *end)
{
  const trace_line_t *found = NULL;

  for (int32_t i = 0; i < trace->count && &trace->lines[i] != end; i++)
    {
      const json_t *object = trace->lines[i].object;

      if (strcmp (get_text (object, "event"), "configuration") == 0
          && has_same_text (object, end->object, "instance")
          && get_number (object, "revision") == get_number (end->object, "revision"))
        found = &trace->lines[i];
    }
  return found;
}

/* Prints the time, instance and event, and all other fields except the level and the id of the
 * traced request. */
static void
print_line (const bt_request_trace_t *trace, const trace_line_t *line, FILE *out)
{
  const char *key;
  json_t *value;

  fprintf (out, "%s  %s  %s", get_text (line->object, "at"), get_text (line->object, "instance"),
           get_text (line->object, "event"));
  json_object_foreach (line->object, key, value)
  {
    char *text;

    if (strcmp (key, "at") == 0 || strcmp (key, "instance") == 0 || strcmp (key, "event") == 0
        || strcmp (key, "level") == 0
        || (strcmp (key, "request") == 0 && is_request_line (trace, line)))
      continue;
    text = json_dumps (value, JSON_ENCODE_ANY);
    fprintf (out, " %s=%s", key, text);
    free (text);
  }
  fprintf (out, "\n");
}

static void
print_end (const json_t *end, FILE *out)
{
  const char *outcome = get_text (end, "outcome");
  const char *reason = get_text (end, "reason");
  const char *endpoint = get_text (end, "endpoint");
  long long total_ms = get_number (end, "total_ms");

  if (strcmp (outcome, "answered") == 0)
    fprintf (out, "It was answered with %lld by %s after %lld ms.\n", get_number (end, "status"),
             endpoint, total_ms);
  else if (strcmp (outcome, "not-run") == 0 && get_number (end, "sends") > 0)
    fprintf (out,
             "It did not run: %lld endpoints were asked, and the last, %s, gave the reason %s "
             "after %lld ms.\n",
             get_number (end, "sends"), endpoint, reason, total_ms);
  else if (strcmp (outcome, "not-run") == 0)
    fprintf (out, "It was sent to no endpoint: %s, by revision %lld, after %lld ms.\n", reason,
             get_number (end, "revision"), total_ms);
  else
    fprintf (out,
             "It may have run at %s: %s after %lld ms, with %lld events passed on. That endpoint's "
             "log says whether it ran.\n",
             endpoint, reason, total_ms, get_number (end, "events"));
}

/* Prints a time of the event unless the event does not have it. */
static void
print_time (const json_t *end, const char *field, const char *text, FILE *out)
{
  if (json_object_get (end, field) != NULL && get_number (end, field) >= 0)
    fprintf (out, ", %s %lld ms", text, get_number (end, field));
}

/* Prints why a request was late, refused or failed, and the times that show it. */
static void
print_cause (const json_t *end, FILE *out)
{
  const char *delay = get_text (end, "delay");

  if (delay[0] == '\0' || strcmp (delay, "in-time") == 0)
    return;
  fprintf (out, "Its delay is \"%s\" and the cause %s: %lld ms", delay, get_text (end, "cause"),
           get_number (end, "cause_ms"));
  if (get_number (end, "allowed_ms") > 0)
    print_time (end, "allowed_ms", "allowed", out);
  if (get_number (end, "usual_ms") > 0)
    print_time (end, "usual_ms", "usual from sending to the first event", out);
  print_time (end, "queue_ms", "sent after", out);
  print_time (end, "first_ms", "first event after", out);
  fprintf (out, ".\n");
}

static void
print_ends (const bt_request_trace_t *trace, FILE *out)
{
  for (int32_t i = 0; i < trace->count; i++)
    {
      const trace_line_t *line = &trace->lines[i];
      const trace_line_t *configuration;

      if (!is_request_line (trace, line)
          || strcmp (get_text (line->object, "event"), "request") != 0)
        continue;
      print_end (line->object, out);
      print_cause (line->object, out);
      configuration = find_configuration (trace, line);
      if (configuration != NULL)
        fprintf (out, "Revision %lld was in force at %s since %s.\n",
                 get_number (line->object, "revision"), get_text (line->object, "instance"),
                 get_text (configuration->object, "at"));
    }
}

bool
bt_print_request_trace (bt_context_t *ctx, bt_request_trace_t *trace, FILE *out)
{
  const trace_line_t *content;
  const trace_line_t *part;
  int64_t from_ms = 0;
  int64_t to_ms = 0;

  (void)ctx;
  if (trace->count > 0)
    qsort (trace->lines, (size_t)trace->count, sizeof *trace->lines, compare_lines);
  if (!find_request_interval (trace, &from_ms, &to_ms))
    return false;
  content = find_line_with (trace, "fingerprint");
  part = find_line_with (trace, "part");
  for (int32_t i = 0; i < trace->count; i++)
    {
      const trace_line_t *line = &trace->lines[i];
      bool in_window =
          line->at_ms >= from_ms - CONTEXT_BEFORE_MS && line->at_ms <= to_ms + CONTEXT_AFTER_MS;

      if (is_request_line (trace, line) || is_cause (trace, line, content, part)
          || (in_window && is_state_event (line) && is_relevant (trace, line)))
        print_line (trace, line, out);
    }
  print_ends (trace, out);
  if (trace->unreadable > 0)
    fprintf (out, "%d log lines were skipped because they contain no event.\n", trace->unreadable);
  return true;
}
