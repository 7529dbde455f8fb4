#include "request_story.h"

#include <jansson.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  MS_PER_S = 1000,
  FIRST_YEAR = 1900,
  TIME_FIELDS = 7,
  /* What an instance came to believe so long before the request may have decided it: longer than a
   * link or a lease takes to be noticed as lost. */
  BEFORE_MS = 3000,
  AFTER_MS = 100,
};

/** A line of a log. */
typedef struct story_line
{
  json_t *object;
  int64_t at_ms;
  int32_t order; /* in which it came */
} story_line_t;

struct bt_request_story
{
  const char *request_id;
  story_line_t *lines;
  int32_t count;
  int32_t unreadable;
};

/* Events that change what an instance believes of the platform, of endpoints or of a group. */
static const char *const beliefs[] = {
  "store-lost",
  "store-regained",
  "store-source",
  "endpoint-listed",
  "endpoint-leaving",
  "endpoint-gone",
  "endpoint-replaced",
  "group-phase",
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

bt_request_story_t *
bt_new_request_story (bt_context_t *ctx, const char *request_id)
{
  bt_request_story_t *story = bt_calloc (ctx, 1, sizeof *story);

  story->request_id = request_id;
  return story;
}

void
bt_drop_request_story (bt_context_t *ctx, bt_request_story_t *story)
{
  if (story == NULL)
    return;
  for (int32_t i = 0; i < story->count; i++)
    json_decref (story->lines[i].object);
  bt_free (ctx, story->lines);
  bt_free (ctx, story);
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

/* "2026-03-08T21:39:43.037Z" in milliseconds; -1 for anything else. */
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
bt_add_story_line (bt_context_t *ctx, bt_request_story_t *story, const char *line)
{
  const char *start = strchr (line, '{');
  json_t *object = start == NULL ? NULL : json_loads (start, JSON_DISABLE_EOF_CHECK, NULL);
  int64_t at_ms = read_time (get_text (object, "at"));
  story_line_t *added;

  if (object == NULL || at_ms < 0)
    {
      story->unreadable++;
      json_decref (object);
      return;
    }
  story->lines = bt_realloc (ctx, story->lines, (size_t)story->count + 1, sizeof *story->lines);
  added = &story->lines[story->count];
  added->object = object;
  added->at_ms = at_ms;
  added->order = story->count++;
}

static int
compare_lines (const void *left, const void *right)
{
  const story_line_t *a = left;
  const story_line_t *b = right;

  if (a->at_ms != b->at_ms)
    return a->at_ms < b->at_ms ? -1 : 1;
  return a->order < b->order ? -1 : 1;
}

static bool
is_own (const bt_request_story_t *story, const story_line_t *line)
{
  return strcmp (get_text (line->object, "request"), story->request_id) == 0;
}

/* The time from the request's arrival to its end. */
static bool
find_span (const bt_request_story_t *story, int64_t *from_ms, int64_t *to_ms)
{
  bool found = false;

  for (int32_t i = 0; i < story->count; i++)
    {
      const story_line_t *line = &story->lines[i];
      int64_t began_ms = line->at_ms - get_number (line->object, "total_ms");

      if (!is_own (story, line))
        continue;
      if (!found || began_ms < *from_ms)
        *from_ms = began_ms;
      *to_ms = line->at_ms;
      found = true;
    }
  return found;
}

static bool
is_belief (const story_line_t *line)
{
  for (size_t i = 0; i < sizeof beliefs / sizeof beliefs[0]; i++)
    if (strcmp (get_text (line->object, "event"), beliefs[i]) == 0)
      return true;
  return false;
}

static bool
has_same_text (const json_t *left, const json_t *right, const char *field)
{
  const char *text = get_text (left, field);

  return text[0] != '\0' && strcmp (text, get_text (right, field)) == 0;
}

/* A belief matters where it is one of an instance that handled the request. One about an endpoint
 * matters if the request was sent there; one about a group concerns all. */
static bool
is_about_request (const bt_request_story_t *story, const story_line_t *belief)
{
  bool of_endpoint = get_text (belief->object, "endpoint")[0] != '\0';

  if (get_text (belief->object, "group")[0] != '\0')
    return true;
  for (int32_t i = 0; i < story->count; i++)
    {
      const json_t *own = story->lines[i].object;

      if (is_own (story, &story->lines[i]) && has_same_text (own, belief->object, "instance")
          && (!of_endpoint || has_same_text (own, belief->object, "endpoint")))
        return true;
    }
  return false;
}

/* Since when the configuration that judged the request was in force at its instance. */
static const story_line_t *
find_configuration (const bt_request_story_t *story, const story_line_t *end)
{
  const story_line_t *found = NULL;

  for (int32_t i = 0; i < story->count && &story->lines[i] != end; i++)
    {
      const json_t *object = story->lines[i].object;

      if (strcmp (get_text (object, "event"), "configuration") == 0
          && has_same_text (object, end->object, "instance")
          && get_number (object, "revision") == get_number (end->object, "revision"))
        found = &story->lines[i];
    }
  return found;
}

/* The fields that say more than where, when and about which request. */
static void
print_line (const story_line_t *line, FILE *out)
{
  const char *key;
  json_t *value;

  fprintf (out, "%s  %s  %s", get_text (line->object, "at"), get_text (line->object, "instance"),
           get_text (line->object, "event"));
  json_object_foreach (line->object, key, value)
  {
    char *text;

    if (strcmp (key, "at") == 0 || strcmp (key, "instance") == 0 || strcmp (key, "event") == 0
        || strcmp (key, "request") == 0 || strcmp (key, "level") == 0)
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

static void
print_ends (const bt_request_story_t *story, FILE *out)
{
  for (int32_t i = 0; i < story->count; i++)
    {
      const story_line_t *line = &story->lines[i];
      const story_line_t *configuration;

      if (!is_own (story, line) || strcmp (get_text (line->object, "event"), "request") != 0)
        continue;
      print_end (line->object, out);
      configuration = find_configuration (story, line);
      if (configuration != NULL)
        fprintf (out, "Revision %lld was in force at %s since %s.\n",
                 get_number (line->object, "revision"), get_text (line->object, "instance"),
                 get_text (configuration->object, "at"));
    }
}

bool
bt_print_request_story (bt_context_t *ctx, bt_request_story_t *story, FILE *out)
{
  int64_t from_ms = 0;
  int64_t to_ms = 0;

  (void)ctx;
  if (story->count > 0)
    qsort (story->lines, (size_t)story->count, sizeof *story->lines, compare_lines);
  if (!find_span (story, &from_ms, &to_ms))
    return false;
  for (int32_t i = 0; i < story->count; i++)
    {
      const story_line_t *line = &story->lines[i];
      bool near = line->at_ms >= from_ms - BEFORE_MS && line->at_ms <= to_ms + AFTER_MS;

      if (is_own (story, line) || (near && is_belief (line) && is_about_request (story, line)))
        print_line (line, out);
    }
  print_ends (story, out);
  if (story->unreadable > 0)
    fprintf (out, "%d lines of the logs were left out: they hold no event.\n", story->unreadable);
  return true;
}
