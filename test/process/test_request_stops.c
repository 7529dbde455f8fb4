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
  LEAVING_LIMIT_MS = 2000, /* After this a leaving endpoint gets no new work. */
  SHORT_TOKENS = 5,
  MOST_LATE = 600, /* Drafts of 0.1 s that a stop has room for, many times over. */
};

static const char *const rules =
    "{\"rules\":[{\"name\":\"drafts\",\"when\":{\"path\":\"/v1/completions\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"drafts\",\"retries\":2}}]}";

static const char *const entry_arguments[] = { "--ticket-life-ms", "3000", NULL };
static const char *const agent_arguments[] = { "--ticket-life-ms", "3000", NULL };

static bt_stage_t *stage;

static int
start_suite (void)
{
  bt_set_stage_arguments (entry_arguments, agent_arguments);
  stage = bt_new_stage (2, 2, 0, STEP_US, rules);
  return stage == NULL ? 1 : 0;
}

static int
end_suite (void)
{
  bt_drop_stage (stage, CU_get_number_of_failures () > 0);
  return 0;
}

/* Drafts of several callers, each with a key of its own. */
typedef struct crowd
{
  bt_draft_t drafts[CALLERS];
  char keys[CALLERS][BT_KEY_TEXT_BYTES];
  char prompts[CALLERS][32];
} crowd_t;

static void
start_crowd (crowd_t *crowd, const char *entry, const char *name)
{
  memset (crowd, 0, sizeof *crowd);
  for (int32_t i = 0; i < CALLERS; i++)
    {
      bt_draft_t *draft = &crowd->drafts[i];

      CU_ASSERT_TRUE (bt_take_ticket (stage, entry, "small", crowd->keys[i]));
      snprintf (crowd->prompts[i], sizeof crowd->prompts[i], "%s %d", name, i);
      draft->stage = stage;
      draft->entry = entry;
      draft->key = crowd->keys[i];
      draft->prompt = crowd->prompts[i];
      draft->tokens = LONG_TOKENS;
      bt_start_draft (draft);
    }
}

static void
check_crowd_whole (crowd_t *crowd)
{
  for (int32_t i = 0; i < CALLERS; i++)
    {
      bt_join_draft (&crowd->drafts[i]);
      CU_ASSERT_TRUE (bt_is_draft_whole (&crowd->drafts[i]));
      CU_ASSERT_TRUE (bt_is_draft_truthful (&crowd->drafts[i]));
      bt_clear_reply (&crowd->drafts[i].reply);
    }
}

static int64_t
count_started (const char *engine)
{
  json_t *load = bt_call_standin (stage, engine, "/load", NULL);
  int64_t started = json_integer_value (json_object_get (load, "started"));

  json_decref (load);
  return started;
}

/* A buyer closes the app while the draft streams. With a key the run goes on, and opening the app
 * again fetches the whole draft. Without one nobody can fetch it, so the engine is told to stop. */
static json_t *
find_run (const char *prompt)
{
  static const char *const engines[] = { "engine-0", "engine-1" };
  size_t index;
  json_t *run;

  for (int32_t i = 0; i < 2; i++)
    {
      json_t *log = bt_call_standin (stage, engines[i], "/v1/runs", NULL);

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

static void
test_client_goes_away (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t unkeyed = { stage, "entry-0", NULL, "gone without key", LONG_TOKENS };
  bt_draft_t keyed = { stage, "entry-0", key, "gone with key", LONG_TOKENS };
  bt_draft_t again = { stage, "entry-1", key, "gone with key", LONG_TOKENS };

  unkeyed.patience_ms = keyed.patience_ms = 300;
  CU_ASSERT_TRUE_FATAL (bt_take_ticket (stage, "entry-0", "small", key));
  bt_send_draft (&unkeyed);
  bt_send_draft (&keyed);
  CU_ASSERT_NOT_EQUAL (unkeyed.reply.curl_code, 0);
  CU_ASSERT_NOT_EQUAL (keyed.reply.curl_code, 0);
  CU_ASSERT_TRUE (bt_wait_until (is_cancelled, (void *)unkeyed.prompt));
  bt_send_draft (&again);
  CU_ASSERT_TRUE (bt_is_draft_whole (&again));
  CU_ASSERT_EQUAL (bt_count_draft_runs (&again), 1);
  bt_clear_reply (&unkeyed.reply);
  bt_clear_reply (&keyed.reply);
  bt_clear_reply (&again.reply);
}

/* A resend meets an entry that does not know its token, or was just started and knows no rules yet,
 * while the first copy runs. That entry looked into nothing, so it must not say "not run". */
static void
test_unread_resend_is_not_called_not_run (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t draft = { stage, "entry-0", key, "unread resend", LONG_TOKENS };
  bt_draft_t again = { stage, "entry-1", key, "unread resend", LONG_TOKENS, "nobody" };

  CU_ASSERT_TRUE_FATAL (bt_take_ticket (stage, "entry-0", "small", key));
  bt_start_draft (&draft);
  CU_ASSERT_TRUE (bt_wait_draft_runs (&draft));
  bt_send_draft (&again);
  CU_ASSERT_STRING_EQUAL (again.reply.reason, "bad-token");
  CU_ASSERT_STRING_EQUAL (again.reply.outcome, "unknown");
  bt_join_draft (&draft);
  CU_ASSERT_TRUE (bt_is_draft_whole (&draft));
  bt_clear_reply (&draft.reply);
  bt_clear_reply (&again.reply);
}

/* An endpoint's agent is told to leave while twelve drafts stream. None is cut; drafts with tickets
 * of that very agent go to the other endpoint; after two seconds it starts nothing more; and it
 * stays until its tickets have expired, then exits by itself. */
static void
test_endpoint_leaves_under_load (void)
{
  static crowd_t before;
  static crowd_t after;
  int64_t started;
  int32_t code = -1;

  start_crowd (&before, "entry-0", "before leaving");
  for (int32_t i = 0; i < CALLERS; i++)
    CU_ASSERT_TRUE (bt_wait_draft_runs (&before.drafts[i]));
  CU_ASSERT_TRUE (bt_signal_process (stage, "agent-0", SIGTERM));
  start_crowd (&after, "entry-1", "after leaving");
  check_crowd_whole (&before);
  check_crowd_whole (&after);
  bt_sleep_ms (LEAVING_LIMIT_MS);
  started = count_started ("engine-0");
  start_crowd (&after, "entry-0", "long after leaving");
  check_crowd_whole (&after);
  CU_ASSERT_EQUAL (count_started ("engine-0"), started);
  CU_ASSERT_TRUE (bt_wait_process (stage, "agent-0", &code));
  CU_ASSERT_EQUAL (code, 0);
  CU_ASSERT_TRUE (bt_start_process (stage, "agent-0"));
  CU_ASSERT_TRUE (bt_wait_endpoints (stage, "entry-0", 2));
  CU_ASSERT_TRUE (bt_wait_endpoints (stage, "entry-1", 2));
}

/* An entry is told to stop while twelve drafts stream through it. None is cut, a caller that still
 * holds its address is served, and the entry exits by itself. */
static void
test_entry_stops_under_load (void)
{
  static crowd_t crowd;
  bt_draft_t late = { stage, "entry-1", NULL, "old address", 5 };
  int32_t code = -1;

  start_crowd (&crowd, "entry-1", "entry stops");
  for (int32_t i = 0; i < CALLERS; i++)
    CU_ASSERT_TRUE (bt_wait_draft_runs (&crowd.drafts[i]));
  CU_ASSERT_TRUE (bt_signal_process (stage, "entry-1", SIGTERM));
  bt_send_draft (&late);
  CU_ASSERT_TRUE (bt_is_draft_whole (&late));
  check_crowd_whole (&crowd);
  CU_ASSERT_TRUE (bt_wait_process (stage, "entry-1", &code));
  CU_ASSERT_EQUAL (code, 0);
  bt_clear_reply (&late.reply);
}

/* How many connections the entry's last process had accepted at its callers' port, by its log; -1
 * without a line of that. */
static int32_t
read_accepted (const char *entry)
{
  static const char *const wanted = "connections accepted: ";
  char line[512];
  int32_t accepted = -1;
  FILE *log = NULL;

  for (int32_t i = 0; i < stage->process_count; i++)
    if (strcmp (stage->processes[i].name, entry) == 0)
      log = fopen (stage->processes[i].log_path, "r");
  while (log != NULL && fgets (line, sizeof line, log) != NULL)
    if (strstr (line, wanted) != NULL)
      accepted = (int32_t)strtol (strstr (line, wanted) + strlen (wanted), NULL, 10);
  if (log != NULL)
    fclose (log);
  return accepted;
}

/* True while the entry's port is open: a draft that was sent there came back whole, or was refused
 * as not run. */
static bool
send_late_draft (int32_t number, int32_t *lost)
{
  char prompt[32];
  bt_draft_t draft = { stage, "entry-1", NULL, prompt, SHORT_TOKENS };
  bool connected;

  snprintf (prompt, sizeof prompt, "late %d", number);
  bt_send_draft (&draft);
  connected = draft.reply.curl_code != CURLE_COULDNT_CONNECT;
  if (connected && !bt_is_draft_whole (&draft) && !bt_was_draft_told (&draft, "not-run"))
    {
      fprintf (stderr, "\"%s\" was lost: curl %d, status %d, %s\n", prompt, draft.reply.curl_code,
               draft.reply.status, draft.reply.outcome);
      ++*lost;
    }
  bt_clear_reply (&draft.reply);
  return connected;
}

/* A caller sends one draft after the other to an entry that stops. One of them got no answer, or
 * only a part of it: the entry had found nothing under way and had begun to take itself apart with
 * its callers' port still open, and cut what had come since. */
static void
test_entry_ends_between_callers (void)
{
  int32_t code = -1;
  int32_t lost = 0;
  int32_t sent = 0;
  int32_t others;

  CU_ASSERT_TRUE (bt_start_process (stage, "entry-1"));
  CU_ASSERT_TRUE (bt_wait_endpoints (stage, "entry-1", 2));
  others = (int32_t)bt_read_stage_counter (stage, "entry-1", "bilberry_connections_total");
  CU_ASSERT_TRUE (bt_signal_process (stage, "entry-1", SIGTERM));
  while (sent < MOST_LATE && send_late_draft (sent, &lost))
    sent++;
  CU_ASSERT (sent > 0 && sent < MOST_LATE);
  CU_ASSERT_TRUE (bt_wait_process (stage, "entry-1", &code));
  CU_ASSERT_EQUAL (code, 0);
  /* A connection that the kernel made in the moment in which the port was closed, and that the
   * process never had, was not let in. */
  CU_ASSERT_EQUAL (lost, sent + others - read_accepted ("entry-1"));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("request stops", start_suite, end_suite);
  CU_ADD_TEST (suite, test_client_goes_away);
  CU_ADD_TEST (suite, test_unread_resend_is_not_called_not_run);
  CU_ADD_TEST (suite, test_endpoint_leaves_under_load);
  CU_ADD_TEST (suite, test_entry_stops_under_load);
  CU_ADD_TEST (suite, test_entry_ends_between_callers);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures () + CU_get_number_of_suites_failed ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
