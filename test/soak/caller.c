#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "bilberrytray/base/clock.h"
#include "harness_http.h"
#include "soak.h"

enum
{
  EVENTS = 8,
  LIMIT_MS = 4000,
  LIMIT_MARGIN_MS = 2000,
  LONGEST_PAUSE_MS = 60,
  PERCENT = 100,
  /* Of the requests, those with a key that may have been taken away. */
  KEY_PERCENT = 25,
  /* Of the newest keys, how many are drawn from: one is taken away after two, so that the oldest of
   * these has been gone for 4 s. */
  NEWEST_KEYS = 8,
  URL_BYTES = 128,
};

/** One caller: it keeps its connection to a gateway until the gateway is gone. */
typedef struct caller
{
  const bt_soak_t *soak;
  bt_random_t random;
  FILE *log;
  CURL *easy;
  int32_t gateway;
  int32_t number;
  int32_t sent;
} caller_t;

/** What became of a request. */
typedef struct outcome
{
  bt_reply_t reply;
  bool marked; /* it bears a runner's mark of origin */
  int64_t began_ms;
} outcome_t;

static const char *const paths[] = { "/a/x", "/a/once/x", "/a/stream/x" };

static size_t
take_header (char *data, size_t size, size_t count, void *argument)
{
  static const char *const mark = "Bilberrytray-Server-Stamp: i-";
  outcome_t *outcome = argument;

  if (size * count > strlen (mark) && strncasecmp (data, mark, strlen (mark)) == 0)
    outcome->marked = true;
  return size * count;
}

static void
set_options (caller_t *caller, const char *url, bt_soak_kind_t kind, outcome_t *outcome)
{
  CURL *easy = caller->easy;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)LIMIT_MS + LIMIT_MARGIN_MS);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "shrimp");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, bt_take_reply_bytes);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &outcome->reply);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, outcome);
  /* The library sends again by itself on a kept connection that turns out closed. */
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, kind == BT_SOAK_ONCE ? 1L : 0L);
}

static void
perform (caller_t *caller, bt_soak_kind_t kind, const char *id, const char *key, outcome_t *outcome)
{
  struct curl_slist *lines = NULL;
  char url[URL_BYTES];
  char line[BT_SOAK_TEXT_BYTES];
  long status = 0;

  memset (outcome, 0, sizeof *outcome);
  snprintf (url, sizeof url, "http://127.0.0.1:%d%s",
            caller->soak->field->caller_ports[caller->gateway], paths[kind]);
  lines = curl_slist_append (lines, "Host: shop.example");
  snprintf (line, sizeof line, "Bilberrytray-Attempt-Id: %s", id);
  lines = curl_slist_append (lines, line);
  snprintf (line, sizeof line, "Bilberrytray-Deadline-Ms: %d", LIMIT_MS);
  lines = curl_slist_append (lines, line);
  snprintf (line, sizeof line, "Authorization: Bearer %s", key);
  lines = curl_slist_append (lines, line);
  set_options (caller, url, kind, outcome);
  curl_easy_setopt (caller->easy, CURLOPT_HTTPHEADER, lines);
  outcome->began_ms = bt_read_clock_ms (bt_system_clock ());
  outcome->reply.curl_code = (int32_t)curl_easy_perform (caller->easy);
  curl_easy_getinfo (caller->easy, CURLINFO_RESPONSE_CODE, &status);
  outcome->reply.status = (int32_t)status;
  curl_slist_free_all (lines);
}

static bool
is_whole_plain (const char *body, const char *id)
{
  const char *to = strstr (body, " to ");

  return strncmp (body, "answer of i-", strlen ("answer of i-")) == 0 && to != NULL
         && strcmp (to + strlen (" to "), id) == 0;
}

/* Every event once, in order, and the last one too. */
static bool
is_whole_stream (const char *body)
{
  for (int32_t i = 1; i <= EVENTS; i++)
    {
      char event[BT_SOAK_TEXT_BYTES];

      snprintf (event, sizeof event, "id: %d\ndata: piece-%d\n\n", i, i);
      if (strncmp (body, event, strlen (event)) != 0)
        return false;
      body += strlen (event);
    }
  return body[0] == '\0';
}

/* Turns to another gateway. */
static void
choose_gateway (caller_t *caller)
{
  caller->gateway =
      (int32_t)bt_random_below (&caller->random, (uint64_t)caller->soak->settings.gateways);
}

/* A key that is good now, or was until a moment ago, or will be; "k-good" always is. */
static void
draw_key (caller_t *caller, char *key, size_t room)
{
  int64_t age_ms = bt_read_clock_ms (bt_system_clock ()) - caller->soak->start_ms;
  int64_t newest = age_ms / BT_SOAK_KEY_MS;

  snprintf (key, room, "k-good");
  if ((int32_t)bt_random_below (&caller->random, PERCENT) < KEY_PERCENT)
    snprintf (key, room, "k-%lld",
              (long long)(newest - (int64_t)bt_random_below (&caller->random, NEWEST_KEYS)));
}

/* Some callers turn away from a gateway that did not serve; the others hold on to its address until
 * nobody listens there. */
static bool
is_done_with_gateway (const caller_t *caller, const outcome_t *outcome)
{
  if (caller->number % 2 == 1)
    return outcome->reply.curl_code == CURLE_COULDNT_CONNECT;
  return outcome->reply.curl_code != 0 || outcome->reply.status != BT_SOAK_OK;
}

static void
send_one (caller_t *caller)
{
  bt_soak_kind_t kind = (bt_soak_kind_t)bt_random_below (&caller->random, BT_SOAK_KINDS);
  char id[BT_SOAK_TEXT_BYTES / 4];
  char key[BT_SOAK_TEXT_BYTES / 4];
  outcome_t outcome;
  const char *body;
  bool whole;

  snprintf (id, sizeof id, "c%d-%d", caller->number, caller->sent++);
  draw_key (caller, key, sizeof key);
  perform (caller, kind, id, key, &outcome);
  body = bt_get_reply_text (&outcome.reply);
  whole = kind == BT_SOAK_STREAM ? is_whole_stream (body) : is_whole_plain (body, id);
  whole = whole && outcome.marked;
  fprintf (caller->log, "end %s %d %s %d %d %d %d %lld %lld\n", id, kind, key, caller->gateway,
           outcome.reply.status, outcome.reply.curl_code, whole ? 1 : 0,
           (long long)outcome.began_ms, (long long)bt_read_clock_ms (bt_system_clock ()));
  fflush (caller->log);
  if (is_done_with_gateway (caller, &outcome))
    choose_gateway (caller);
  bt_clear_reply (&outcome.reply);
}

void
bt_run_soak_caller (const bt_soak_t *soak, int32_t index)
{
  caller_t caller = { .soak = soak, .number = index };
  char path[BT_SOAK_TEXT_BYTES];

  bt_seed_random (&caller.random, soak->settings.seed * PERCENT + (uint64_t)index);
  snprintf (path, sizeof path, "%s/caller-%d.log", soak->field->folder, index);
  caller.log = fopen (path, "w");
  caller.easy = curl_easy_init ();
  choose_gateway (&caller);
  while (caller.log != NULL)
    {
      send_one (&caller);
      bt_sleep_ms ((int64_t)bt_random_below (&caller.random, LONGEST_PAUSE_MS));
    }
}
