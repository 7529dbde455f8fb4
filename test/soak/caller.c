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
  DEADLINE_MS = 4000,
  TIMEOUT_MARGIN_MS = 2000,
  MAX_PAUSE_MS = 60,
  PERCENT = 100,
  /* Share of the requests that use a numbered key, which may have been removed. */
  NUMBERED_KEY_PERCENT = 25,
  /* Numbered keys are chosen among this many newest ones. A key is removed when the second one
   * after it is added, so the oldest of these was removed about 4 s ago. */
  NEWEST_KEYS = 8,
  URL_BYTES = 128,
};

/** One caller. It keeps its connection to one gateway and changes the gateway after failures. */
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

/** The result of a request. */
typedef struct outcome
{
  bt_http_reply_t reply;
  bool stamped; /* the answer has the server stamp of a runner */
  int64_t began_ms;
} outcome_t;

static const char *const paths[] = { "/a/x", "/a/once/x", "/a/stream/x" };

static size_t
check_header (char *data, size_t size, size_t count, void *argument)
{
  static const char *const stamp = "Bilberrytray-Server-Stamp: i-";
  outcome_t *outcome = argument;

  if (size * count > strlen (stamp) && strncasecmp (data, stamp, strlen (stamp)) == 0)
    outcome->stamped = true;
  return size * count;
}

static void
set_options (caller_t *caller, const char *url, bt_soak_kind_t kind, outcome_t *outcome)
{
  CURL *easy = caller->easy;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)DEADLINE_MS + TIMEOUT_MARGIN_MS);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "shrimp");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, bt_append_reply_bytes);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &outcome->reply);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, check_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, outcome);
  /* libcurl resends a request by itself when a reused connection turns out to be closed. A fresh
   * connection avoids this for requests that must run at most once. */
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
            caller->soak->testbed->caller_ports[caller->gateway], paths[kind]);
  lines = curl_slist_append (lines, "Host: shop.example");
  snprintf (line, sizeof line, "Bilberrytray-Attempt-Id: %s", id);
  lines = curl_slist_append (lines, line);
  snprintf (line, sizeof line, "Bilberrytray-Deadline-Ms: %d", DEADLINE_MS);
  lines = curl_slist_append (lines, line);
  snprintf (line, sizeof line, "Authorization: Bearer %s", key);
  lines = curl_slist_append (lines, line);
  if (caller->soak->settings.parts)
    {
      snprintf (line, sizeof line, "Bilberrytray-Prompt-Prefix: a1:90,b%x:40,%x:7",
                (unsigned)bt_random_below (&caller->random, BT_SOAK_PROMPT_PARTS),
                (unsigned)caller->number);
      lines = curl_slist_append (lines, line);
    }
  set_options (caller, url, kind, outcome);
  curl_easy_setopt (caller->easy, CURLOPT_HTTPHEADER, lines);
  outcome->began_ms = bt_read_clock_ms (bt_system_clock ());
  outcome->reply.curl_code = (int32_t)curl_easy_perform (caller->easy);
  curl_easy_getinfo (caller->easy, CURLINFO_RESPONSE_CODE, &status);
  outcome->reply.status = (int32_t)status;
  curl_slist_free_all (lines);
}

static bool
is_complete_text (const char *body, const char *id)
{
  const char *to = strstr (body, " to ");

  return strncmp (body, "answer of i-", strlen ("answer of i-")) == 0 && to != NULL
         && strcmp (to + strlen (" to "), id) == 0;
}

/* Checks that the body has every event exactly once and in order, including the last one. */
static bool
is_complete_stream (const char *body)
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

/* Chooses a random gateway, which may be the same one. */
static void
choose_gateway (caller_t *caller)
{
  caller->gateway =
      (int32_t)bt_random_below (&caller->random, (uint64_t)caller->soak->settings.gateways);
}

/* Chooses the key "k-good", which is always valid, or a numbered key that is valid now, was removed
 * recently or will be added soon. */
static void
draw_key (caller_t *caller, char *key, size_t capacity)
{
  int64_t age_ms = bt_read_clock_ms (bt_system_clock ()) - caller->soak->start_ms;
  int64_t newest = age_ms / BT_SOAK_KEY_INTERVAL_MS;

  snprintf (key, capacity, "k-good");
  if ((int32_t)bt_random_below (&caller->random, PERCENT) < NUMBERED_KEY_PERCENT)
    snprintf (key, capacity, "k-%lld",
              (long long)(newest - (int64_t)bt_random_below (&caller->random, NEWEST_KEYS)));
}

/* Callers with an even number leave a gateway that did not serve the request. The others stay until
 * the gateway refuses connections. */
static bool
should_change_gateway (const caller_t *caller, const outcome_t *outcome)
{
  if (caller->number % 2 == 1)
    return outcome->reply.curl_code == CURLE_COULDNT_CONNECT;
  return outcome->reply.curl_code != 0 || outcome->reply.status != BT_SOAK_STATUS_OK;
}

static void
send_request (caller_t *caller)
{
  bt_soak_kind_t kind = (bt_soak_kind_t)bt_random_below (&caller->random, BT_SOAK_KINDS);
  char id[BT_SOAK_TEXT_BYTES / 4];
  char key[BT_SOAK_TEXT_BYTES / 4];
  outcome_t outcome;
  const char *body;
  bool complete;

  snprintf (id, sizeof id, "c%d-%d", caller->number, caller->sent++);
  draw_key (caller, key, sizeof key);
  perform (caller, kind, id, key, &outcome);
  body = bt_get_reply_text (&outcome.reply);
  complete = kind == BT_SOAK_STREAM ? is_complete_stream (body) : is_complete_text (body, id);
  complete = complete && outcome.stamped;
  fprintf (caller->log, "end %s %d %s %d %d %d %d %lld %lld\n", id, kind, key, caller->gateway,
           outcome.reply.status, outcome.reply.curl_code, complete ? 1 : 0,
           (long long)outcome.began_ms, (long long)bt_read_clock_ms (bt_system_clock ()));
  fflush (caller->log);
  if (should_change_gateway (caller, &outcome))
    choose_gateway (caller);
  bt_clear_reply (&outcome.reply);
}

void
bt_run_soak_caller (const bt_soak_t *soak, int32_t index)
{
  caller_t caller = { .soak = soak, .number = index };
  char path[BT_SOAK_TEXT_BYTES];

  bt_seed_random (&caller.random, soak->settings.seed * PERCENT + (uint64_t)index);
  snprintf (path, sizeof path, "%s/caller-%d.log", soak->testbed->folder, index);
  caller.log = fopen (path, "w");
  caller.easy = curl_easy_init ();
  choose_gateway (&caller);
  while (caller.log != NULL)
    {
      send_request (&caller);
      bt_sleep_ms ((int64_t)bt_random_below (&caller.random, MAX_PAUSE_MS));
    }
}
