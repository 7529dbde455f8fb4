#include <CUnit/Basic.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "harness_requests.h"

enum
{
  STEP_US = 20000,
  LONG_TOKENS = 60,
  CALLERS = 12,
  DRAIN_ACCEPT_MS = 2000, /* After this time a draining endpoint gets no new work. */
  SHORT_TOKENS = 5,
  MAX_LATE_DRAFTS = 600, /* Many times the number of drafts, of 0.1 s each, that fit into a stop. */
};

static const char *const rules =
    "{\"rules\":[{\"name\":\"drafts\",\"when\":{\"path\":\"/v1/completions\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"drafts\",\"retries\":2}}]}";

static const char *const entry_arguments[] = { "--ticket-life-ms", "3000", NULL };
static const char *const agent_arguments[] = { "--ticket-life-ms", "3000", NULL };

static bt_testbed_t *testbed;

static int
start_suite (void)
{
  bt_set_testbed_arguments (entry_arguments, agent_arguments);
  testbed = bt_new_testbed (2, 2, 0, STEP_US, rules);
  return testbed == NULL ? 1 : 0;
}

static int
end_suite (void)
{
  bt_drop_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

/* Drafts of several callers, each with a separate key. */
typedef struct draft_batch
{
  bt_draft_t drafts[CALLERS];
  char keys[CALLERS][BT_KEY_TEXT_BYTES];
  char prompts[CALLERS][32];
} draft_batch_t;

static void
start_batch (draft_batch_t *batch, const char *entry, const char *name)
{
  memset (batch, 0, sizeof *batch);
  for (int32_t i = 0; i < CALLERS; i++)
    {
      bt_draft_t *draft = &batch->drafts[i];

      CU_ASSERT_TRUE (bt_fetch_ticket (testbed, entry, "small", batch->keys[i]));
      snprintf (batch->prompts[i], sizeof batch->prompts[i], "%s %d", name, i);
      draft->testbed = testbed;
      draft->entry = entry;
      draft->key = batch->keys[i];
      draft->prompt = batch->prompts[i];
      draft->tokens = LONG_TOKENS;
      bt_start_draft (draft);
    }
}

static void
check_batch_complete (draft_batch_t *batch)
{
  for (int32_t i = 0; i < CALLERS; i++)
    {
      bt_join_draft (&batch->drafts[i]);
      CU_ASSERT_TRUE (bt_is_draft_complete (&batch->drafts[i]));
      CU_ASSERT_TRUE (bt_is_draft_consistent (&batch->drafts[i]));
      bt_clear_reply (&batch->drafts[i].reply);
    }
}

static int64_t
count_started (const char *engine)
{
  json_t *load = bt_call_standin (testbed, engine, "/load", NULL);
  int64_t started = json_integer_value (json_object_get (load, "started"));

  json_decref (load);
  return started;
}

/* Returns the run of a prompt from the engines' logs; NULL: none. The caller owns it. */
static json_t *
find_run (const char *prompt)
{
  static const char *const engines[] = { "engine-0", "engine-1" };
  size_t index;
  json_t *run;

  for (int32_t i = 0; i < 2; i++)
    {
      json_t *log = bt_call_standin (testbed, engines[i], "/v1/runs", NULL);

      json_array_foreach (json_object_get (log, "runs"), index, run)
      {
        if (strcmp (json_string_value (json_object_get (run, "prompt")), prompt) == 0)
          {
            json_incref (run);
            json_decref (log);
            return run;
          }
      }
      json_decref (log);
    }
  return NULL;
}

static bool
is_cancelled (void *argument)
{
  json_t *run = find_run (argument);
  bool cancelled = json_is_true (json_object_get (run, "cancelled"));

  json_decref (run);
  return cancelled;
}

/* A caller disconnects while its draft is streamed. With a key the run must continue, and a resend
 * must get the complete draft. Without a key nobody can fetch it, so the engine must be told to
 * cancel the run. */
static void
test_caller_disconnects (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t unkeyed = { testbed, "entry-0", NULL, "gone without key", LONG_TOKENS };
  bt_draft_t keyed = { testbed, "entry-0", key, "gone with key", LONG_TOKENS };
  bt_draft_t resend = { testbed, "entry-1", key, "gone with key", LONG_TOKENS };

  unkeyed.disconnect_after_ms = keyed.disconnect_after_ms = 300;
  CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key));
  bt_send_draft (&unkeyed);
  bt_send_draft (&keyed);
  CU_ASSERT_NOT_EQUAL (unkeyed.reply.curl_code, 0);
  CU_ASSERT_NOT_EQUAL (keyed.reply.curl_code, 0);
  CU_ASSERT_TRUE (bt_wait_until (is_cancelled, (void *)unkeyed.prompt));
  bt_send_draft (&resend);
  CU_ASSERT_TRUE (bt_is_draft_complete (&resend));
  CU_ASSERT_EQUAL (bt_count_draft_runs (&resend), 1);
  bt_clear_reply (&unkeyed.reply);
  bt_clear_reply (&keyed.reply);
  bt_clear_reply (&resend.reply);
}

/* While the first copy of a draft runs, a resend arrives at an entry that does not know its token,
 * or was just started and has no rules yet. That entry has checked nothing, so it must not answer
 * "not run". */
static void
test_unauthenticated_resend_is_unknown (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t draft = { testbed, "entry-0", key, "unread resend", LONG_TOKENS };
  bt_draft_t resend = { testbed, "entry-1", key, "unread resend", LONG_TOKENS, "nobody" };

  CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key));
  bt_start_draft (&draft);
  CU_ASSERT_TRUE (bt_wait_draft_started (&draft));
  bt_send_draft (&resend);
  CU_ASSERT_STRING_EQUAL (resend.reply.reason, "bad-token");
  CU_ASSERT_STRING_EQUAL (resend.reply.outcome, "unknown");
  bt_join_draft (&draft);
  CU_ASSERT_TRUE (bt_is_draft_complete (&draft));
  bt_clear_reply (&draft.reply);
  bt_clear_reply (&resend.reply);
}

/* An endpoint's agent is told to stop while twelve drafts are streamed. None may be cut off, and
 * drafts with tickets of that agent must go to the other endpoint. After two seconds it must start
 * no more runs. It must stay until its tickets have expired, then exit by itself. */
static void
test_endpoint_drains_under_load (void)
{
  static draft_batch_t before;
  static draft_batch_t after;
  int64_t started;
  int32_t code = -1;

  start_batch (&before, "entry-0", "before leaving");
  for (int32_t i = 0; i < CALLERS; i++)
    CU_ASSERT_TRUE (bt_wait_draft_started (&before.drafts[i]));
  CU_ASSERT_TRUE (bt_signal_process (testbed, "agent-0", SIGTERM));
  start_batch (&after, "entry-1", "after leaving");
  check_batch_complete (&before);
  check_batch_complete (&after);
  bt_sleep_ms (DRAIN_ACCEPT_MS);
  started = count_started ("engine-0");
  start_batch (&after, "entry-0", "long after leaving");
  check_batch_complete (&after);
  CU_ASSERT_EQUAL (count_started ("engine-0"), started);
  CU_ASSERT_TRUE (bt_wait_process (testbed, "agent-0", &code));
  CU_ASSERT_EQUAL (code, 0);
  CU_ASSERT_TRUE (bt_start_process (testbed, "agent-0"));
  CU_ASSERT_TRUE (bt_wait_endpoints (testbed, "entry-0", 2));
  CU_ASSERT_TRUE (bt_wait_endpoints (testbed, "entry-1", 2));
}

/* An entry is told to stop while it streams twelve drafts. None may be cut off, a caller that still
 * has its address must be served, and the entry must exit by itself. */
static void
test_entry_stops_under_load (void)
{
  static draft_batch_t batch;
  bt_draft_t late = { testbed, "entry-1", NULL, "old address", 5 };
  int32_t code = -1;

  start_batch (&batch, "entry-1", "entry stops");
  for (int32_t i = 0; i < CALLERS; i++)
    CU_ASSERT_TRUE (bt_wait_draft_started (&batch.drafts[i]));
  CU_ASSERT_TRUE (bt_signal_process (testbed, "entry-1", SIGTERM));
  bt_send_draft (&late);
  CU_ASSERT_TRUE (bt_is_draft_complete (&late));
  check_batch_complete (&batch);
  CU_ASSERT_TRUE (bt_wait_process (testbed, "entry-1", &code));
  CU_ASSERT_EQUAL (code, 0);
  bt_clear_reply (&late.reply);
}

/* Returns how many connections the entry's latest process has accepted on its callers' port,
 * according to its log; -1 if the log does not say. */
static int32_t
read_accepted (const char *entry)
{
  static const char *const wanted = "connections accepted: ";
  char line[512];
  int32_t accepted = -1;
  FILE *log = NULL;

  for (int32_t i = 0; i < testbed->process_count; i++)
    if (strcmp (testbed->processes[i].name, entry) == 0)
      log = fopen (testbed->processes[i].log_path, "r");
  while (log != NULL && fgets (line, sizeof line, log) != NULL)
    if (strstr (line, wanted) != NULL)
      accepted = (int32_t)strtol (strstr (line, wanted) + strlen (wanted), NULL, 10);
  if (log != NULL)
    fclose (log);
  return accepted;
}

/* Sends a draft and returns whether the entry's port is still open. Counts the draft as lost if it
 * was neither answered completely nor refused as not run. */
static bool
send_late_draft (int32_t number, int32_t *lost)
{
  char prompt[32];
  bt_draft_t draft = { testbed, "entry-1", NULL, prompt, SHORT_TOKENS };
  bool connected;

  snprintf (prompt, sizeof prompt, "late %d", number);
  bt_send_draft (&draft);
  connected = draft.reply.curl_code != CURLE_COULDNT_CONNECT;
  if (connected && !bt_is_draft_complete (&draft) && !bt_has_draft_outcome (&draft, "not-run"))
    {
      fprintf (stderr, "\"%s\" was lost: curl %d, status %d, %s\n", prompt, draft.reply.curl_code,
               draft.reply.status, draft.reply.outcome);
      ++*lost;
    }
  bt_clear_reply (&draft.reply);
  return connected;
}

/* A caller sends one draft after the other to an entry that stops. Guards against a draft that gets
 * no answer, or only a part of it: the entry had found nothing in progress, had begun to shut down
 * with its callers' port still open, and cut off what had arrived since. */
static void
test_stopping_entry_loses_no_request (void)
{
  int32_t code = -1;
  int32_t lost = 0;
  int32_t sent = 0;
  int32_t others;

  CU_ASSERT_TRUE (bt_start_process (testbed, "entry-1"));
  CU_ASSERT_TRUE (bt_wait_endpoints (testbed, "entry-1", 2));
  others = (int32_t)bt_read_testbed_counter (testbed, "entry-1", "bilberry_connections_total");
  CU_ASSERT_TRUE (bt_signal_process (testbed, "entry-1", SIGTERM));
  while (sent < MAX_LATE_DRAFTS && send_late_draft (sent, &lost))
    sent++;
  CU_ASSERT (sent > 0 && sent < MAX_LATE_DRAFTS);
  CU_ASSERT_TRUE (bt_wait_process (testbed, "entry-1", &code));
  CU_ASSERT_EQUAL (code, 0);
  /* A connection that the kernel made at the moment when the port was closed, and that never
   * reached the process, was not accepted. */
  CU_ASSERT_EQUAL (lost, sent + others - read_accepted ("entry-1"));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("request stops", start_suite, end_suite);
  CU_ADD_TEST (suite, test_caller_disconnects);
  CU_ADD_TEST (suite, test_unauthenticated_resend_is_unknown);
  CU_ADD_TEST (suite, test_endpoint_drains_under_load);
  CU_ADD_TEST (suite, test_entry_stops_under_load);
  CU_ADD_TEST (suite, test_stopping_entry_loses_no_request);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures () + CU_get_number_of_suites_failed ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
