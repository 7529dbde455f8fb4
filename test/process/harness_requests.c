#include "harness_requests.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BODY_BYTES = 256,
  LINE_BYTES = 128,
  HEADER_BYTES = 320,
  NAME_BYTES = 32,
};

/* Arguments of has_ticket. */
typedef struct ticket_wait
{
  const bt_testbed_t *testbed;
  const char *entry;
  const char *account;
  char *key;
} ticket_wait_t;

static bool
has_ticket (void *argument)
{
  static const char *const headers[] = { "Bilberry-App: drafts", "Bilberry-Tickets: 1", NULL };
  const ticket_wait_t *wait = argument;
  bt_http_reply_t reply;
  json_t *answer;
  const char *text;

  bt_send_entry_request (wait->testbed, wait->entry, wait->account, "/v1/addresses", headers, NULL,
                         &reply);
  answer = reply.body == NULL ? NULL : json_loadb (reply.body, reply.body_bytes, 0, NULL);
  text = json_string_value (json_array_get (json_object_get (answer, "tickets"), 0));
  snprintf (wait->key, BT_KEY_TEXT_BYTES, "%s", text == NULL ? "" : text);
  json_decref (answer);
  bt_clear_reply (&reply);
  return wait->key[0] != '\0';
}

bool
bt_fetch_ticket (const bt_testbed_t *testbed,
                 const char *entry,
                 const char *account,
                 char key[BT_KEY_TEXT_BYTES])
{
  ticket_wait_t wait = { testbed, entry, account, NULL };

  wait.key = key;
  return bt_wait_until (has_ticket, &wait);
}

static size_t
discard_bytes (char *data, size_t size, size_t count, void *argument)
{
  return size * count;
}

/* Sends a request and closes the connection after disconnect_after_ms, before the answer is
 * complete. */
static void
send_and_disconnect (bt_draft_t *draft, const char *const *headers, const char *body)
{
  char url[BODY_BYTES];
  CURL *easy = curl_easy_init ();
  struct curl_slist *lines = curl_slist_append (NULL, "Authorization: Bearer token-small");

  for (int32_t i = 0; headers[i] != NULL; i++)
    lines = curl_slist_append (lines, headers[i]);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/completions",
            bt_get_testbed_port (draft->testbed, draft->entry));
  memset (&draft->reply, 0, sizeof draft->reply);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)draft->disconnect_after_ms);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, lines);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_bytes);
  draft->reply.curl_code = (int32_t)curl_easy_perform (easy);
  curl_easy_cleanup (easy);
  curl_slist_free_all (lines);
}

void
bt_send_draft (bt_draft_t *draft)
{
  char body[BODY_BYTES];
  char key[HEADER_BYTES];
  const char *headers[] = { draft->key == NULL ? NULL : key, NULL };

  snprintf (key, sizeof key, "Idempotency-Key: %s", draft->key == NULL ? "" : draft->key);
  snprintf (body, sizeof body, "{\"prompt\":\"%s\",\"max_tokens\":%d}", draft->prompt,
            draft->tokens);
  if (draft->disconnect_after_ms > 0)
    {
      send_and_disconnect (draft, headers, body);
      return;
    }
  bt_send_entry_request (draft->testbed, draft->entry,
                         draft->account == NULL ? "small" : draft->account, "/v1/completions",
                         headers, body, &draft->reply);
}

static void *
run_draft (void *argument)
{
  bt_send_draft (argument);
  return NULL;
}

void
bt_start_draft (bt_draft_t *draft)
{
  if (pthread_create (&draft->thread, NULL, run_draft, draft) != 0)
    abort ();
}

void
bt_join_draft (bt_draft_t *draft)
{
  pthread_join (draft->thread, NULL);
}

static uint64_t
hash_prompt (const char *text)
{
  uint64_t hash = 14695981039346656037U;

  for (; *text != '\0'; text++)
    hash = (hash ^ (uint8_t)*text) * 1099511628211U;
  return hash;
}

static bool
has_complete_body (const bt_draft_t *draft)
{
  const char *at = bt_get_reply_text (&draft->reply);
  unsigned int hash = (unsigned int)(hash_prompt (draft->prompt) & 0xffffU);
  char line[LINE_BYTES];

  for (int32_t i = 0; i < draft->tokens; i++)
    {
      snprintf (line, sizeof line, "data: {\"index\":%d,\"text\":\"%04x-%d \"}\n\n", i, hash, i);
      if (strncmp (at, line, strlen (line)) != 0)
        return false;
      at += strlen (line);
    }
  return strcmp (at, "data: [DONE]\n\n") == 0;
}

bool
bt_is_draft_complete (const bt_draft_t *draft)
{
  const bt_http_reply_t *reply = &draft->reply;

  if (reply->curl_code == 0 && reply->status == 200 && has_complete_body (draft))
    return true;
  fprintf (stderr, "\"%s\" by %s: curl %d, status %d, outcome %s, reason %s, %d bytes\n",
           draft->prompt, draft->entry, reply->curl_code, reply->status, reply->outcome,
           reply->reason, (int)reply->body_bytes);
  return false;
}

bool
bt_has_draft_outcome (const bt_draft_t *draft, const char *outcome)
{
  if (draft->reply.curl_code != 0)
    return strcmp (outcome, "unknown") == 0;
  return strcmp (draft->reply.outcome, outcome) == 0;
}

int32_t
bt_count_draft_runs (const bt_draft_t *draft)
{
  int32_t count = 0;
  char name[NAME_BYTES];
  size_t index;
  json_t *run;

  for (int32_t i = 0; i < draft->testbed->engines; i++)
    {
      json_t *log;

      snprintf (name, sizeof name, "engine-%d", i);
      log = bt_call_standin (draft->testbed, name, "/v1/runs", NULL);
      json_array_foreach (json_object_get (log, "runs"), index, run)
      {
        const char *prompt = json_string_value (json_object_get (run, "prompt"));

        count += prompt != NULL && strcmp (prompt, draft->prompt) == 0;
      }
      json_decref (log);
    }
  return count;
}

bool
bt_is_draft_consistent (const bt_draft_t *draft)
{
  int32_t runs = bt_count_draft_runs (draft);

  if (draft->reply.curl_code == 0 && draft->reply.status == 200)
    return runs == 1 && bt_is_draft_complete (draft);
  if (bt_has_draft_outcome (draft, "not-run"))
    return runs == 0;
  return bt_has_draft_outcome (draft, "unknown") && runs <= 1;
}

static bool
has_runs (void *argument)
{
  return bt_count_draft_runs (argument) > 0;
}

bool
bt_wait_draft_started (bt_draft_t *draft)
{
  return bt_wait_until (has_runs, draft);
}

/* Arguments of has_endpoints. */
typedef struct endpoints_wait
{
  const bt_testbed_t *testbed;
  const char *entry;
  int32_t count;
} endpoints_wait_t;

static bool
has_endpoints (void *argument)
{
  const endpoints_wait_t *wait = argument;
  char key[BT_KEY_TEXT_BYTES];
  ticket_wait_t ticket = { wait->testbed, wait->entry, "small", key };

  if (!has_ticket (&ticket))
    return false;
  return bt_is_entry_ready (wait->testbed, wait->entry, wait->count);
}

bool
bt_wait_endpoints (const bt_testbed_t *testbed, const char *entry, int32_t count)
{
  endpoints_wait_t wait = { testbed, entry, count };

  return bt_wait_until (has_endpoints, &wait);
}
