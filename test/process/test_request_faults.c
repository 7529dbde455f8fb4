#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "harness_requests.h"

enum
{
  STEP_US = 20000,
  LONG_TOKENS = 60,
  SHORT_FREEZE_MS = 300,   /* Beyond the deadline of "hurried", within the links' idle limit. */
  BEYOND_LIMITS_MS = 6000, /* Longer than any limit of a link or a message. */
};

static const char *const rules =
    "{\"rules\":[{\"name\":\"hurried\",\"when\":{\"account\":\"large\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"drafts\",\"deadline_ms\":800,\"retries\":2}},"
    "{\"name\":\"drafts\",\"when\":{\"path\":\"/v1/completions\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"drafts\",\"retries\":2}}]}";

static bt_testbed_t *testbed;

static int
start_suite (void)
{
  testbed = bt_new_testbed (2, 2, 0, STEP_US, rules);
  return testbed == NULL ? 1 : 0;
}

static int
end_suite (void)
{
  bt_drop_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

/* An entry dies while it streams a draft's answer. The caller sends the draft again with the same
 * key through the other entry. The run has continued at the agent: the caller must get its complete
 * answer, and the draft must have run once. If the home agent had no record of the key, the draft
 * would run, and be ordered, twice. */
static void
test_resend_through_another_entry (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t draft = { testbed, "entry-0", key, "entry killed", LONG_TOKENS };
  bt_draft_t resend = { testbed, "entry-1", key, "entry killed", LONG_TOKENS };

  CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key));
  bt_start_draft (&draft);
  CU_ASSERT_TRUE (bt_wait_draft_started (&draft));
  CU_ASSERT_TRUE (bt_signal_process (testbed, "entry-0", SIGKILL));
  bt_join_draft (&draft);
  CU_ASSERT_TRUE (bt_has_draft_outcome (&draft, "unknown"));
  bt_send_draft (&resend);
  CU_ASSERT_TRUE (bt_is_draft_complete (&resend));
  CU_ASSERT_EQUAL (bt_count_draft_runs (&resend), 1);
  bt_clear_reply (&draft.reply);
  bt_clear_reply (&resend.reply);
  CU_ASSERT_TRUE (bt_start_process (testbed, "entry-0"));
  CU_ASSERT_TRUE (bt_wait_endpoints (testbed, "entry-0", 2));
}

/* Two copies of one draft are sent at the same time through two entries, as when a caller's app
 * gives up too early, and a third follows after both are answered. They meet at the key's home
 * agent: the draft must run once, and all three must get its complete answer. */
static void
test_concurrent_copies_run_once (void)
{
  for (int32_t round = 0; round < 5; round++)
    {
      char key[BT_KEY_TEXT_BYTES];
      char prompt[32];
      bt_draft_t one = { testbed, "entry-0", key, prompt, 5 };
      bt_draft_t two = { testbed, "entry-1", key, prompt, 5 };
      bt_draft_t late = { testbed, "entry-0", key, prompt, 5 };

      snprintf (prompt, sizeof prompt, "race %d", round);
      CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-1", "small", key));
      bt_start_draft (&one);
      bt_start_draft (&two);
      bt_join_draft (&one);
      bt_join_draft (&two);
      bt_send_draft (&late);
      CU_ASSERT_TRUE (bt_is_draft_complete (&one));
      CU_ASSERT_TRUE (bt_is_draft_complete (&two));
      CU_ASSERT_TRUE (bt_is_draft_complete (&late));
      CU_ASSERT_EQUAL (bt_count_draft_runs (&one), 1);
      bt_clear_reply (&one.reply);
      bt_clear_reply (&two.reply);
      bt_clear_reply (&late.reply);
    }
}

/* The engine's stream goes silent half-way on a connection that stays open. The agent must resume
 * the same run where it broke off; the caller must get one complete answer of one run. */
static void
test_engine_stream_goes_silent (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t draft = { testbed, "entry-0", key, "silent stream", 20 };

  for (int32_t i = 0; i < 2; i++)
    json_decref (bt_call_standin (testbed, i == 0 ? "engine-0" : "engine-1", "/fault",
                                  "{\"kind\":\"silent\",\"count\":1,\"after\":7}"));
  CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key));
  bt_send_draft (&draft);
  CU_ASSERT_TRUE (bt_is_draft_complete (&draft));
  CU_ASSERT_EQUAL (bt_count_draft_runs (&draft), 1);
  bt_clear_reply (&draft.reply);
  for (int32_t i = 0; i < 2; i++)
    json_decref (bt_call_standin (testbed, i == 0 ? "engine-0" : "engine-1", "/fault",
                                  "{\"kind\":\"silent\",\"count\":0,\"after\":0}"));
}

/* The test does not know which agent runs the draft, so it signals both. */
static void
signal_agents (int signal_number)
{
  CU_ASSERT_TRUE (bt_signal_process (testbed, "agent-0", signal_number));
  CU_ASSERT_TRUE (bt_signal_process (testbed, "agent-1", signal_number));
}

/* The agent freezes for less than its links' idle limit while a draft with a short deadline is in
 * its receive buffer. The deadline passes. The caller must not be told "not run": after it resumes,
 * the agent runs the draft before it reads that the draft is no longer wanted. */
static void
test_short_freeze_at_the_deadline (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t draft = { testbed, "entry-0", key, "short freeze", 5, "large" };

  CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "large", key));
  signal_agents (SIGSTOP);
  bt_send_draft (&draft);
  bt_sleep_ms (SHORT_FREEZE_MS);
  signal_agents (SIGCONT);
  CU_ASSERT_TRUE (bt_has_draft_outcome (&draft, "unknown"));
  CU_ASSERT_TRUE (bt_wait_draft_started (&draft));
  CU_ASSERT_TRUE (bt_is_draft_consistent (&draft));
  bt_clear_reply (&draft.reply);
}

/* The agent freezes while its link is open, and the entry sends a draft into the link's buffer.
 * Nobody answers, so the caller must be told "unknown" at once. When the agent resumes, it may find
 * the draft in its buffer and run it: if the caller had been told "not run" and had ordered again,
 * the draft would run twice. When the draft is sent again with its key, it must be answered by that
 * one run, or run now for the first time. */
static void
test_agent_frozen_with_the_dispatch_in_its_buffer (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t draft = { testbed, "entry-0", key, "frozen agent", 5 };
  bt_draft_t resend = { testbed, "entry-1", key, "frozen agent", 5 };

  CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key));
  signal_agents (SIGSTOP);
  bt_send_draft (&draft);
  CU_ASSERT_TRUE (bt_has_draft_outcome (&draft, "unknown"));
  CU_ASSERT_EQUAL (bt_count_draft_runs (&draft), 0);
  bt_sleep_ms (BEYOND_LIMITS_MS);
  signal_agents (SIGCONT);
  CU_ASSERT_TRUE (bt_wait_endpoints (testbed, "entry-1", 2));
  bt_send_draft (&resend);
  CU_ASSERT_TRUE (bt_is_draft_consistent (&draft));
  CU_ASSERT_TRUE (bt_is_draft_consistent (&resend));
  bt_clear_reply (&draft.reply);
  bt_clear_reply (&resend.reply);
  CU_ASSERT_TRUE (bt_wait_endpoints (testbed, "entry-0", 2));
}

/* The agent dies after its engine has accepted the draft. No process knows whether it ran, so the
 * caller must be told "unknown", now and at each resend; the restarted agent must not run it a
 * second time. */
static void
test_agent_killed_while_the_engine_runs (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t draft = { testbed, "entry-0", key, "agent killed", LONG_TOKENS };
  bt_draft_t resend = { testbed, "entry-1", key, "agent killed", LONG_TOKENS };

  CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key));
  bt_start_draft (&draft);
  CU_ASSERT_TRUE (bt_wait_draft_started (&draft));
  signal_agents (SIGKILL);
  CU_ASSERT_TRUE (bt_start_process (testbed, "agent-0"));
  CU_ASSERT_TRUE (bt_start_process (testbed, "agent-1"));
  bt_join_draft (&draft);
  CU_ASSERT_TRUE (bt_has_draft_outcome (&draft, "unknown"));
  CU_ASSERT_TRUE (bt_wait_endpoints (testbed, "entry-1", 2));
  bt_send_draft (&resend);
  CU_ASSERT_TRUE (bt_has_draft_outcome (&resend, "unknown"));
  CU_ASSERT_STRING_EQUAL (resend.reply.reason, "home-restarted");
  CU_ASSERT_EQUAL (bt_count_draft_runs (&resend), 1);
  bt_clear_reply (&draft.reply);
  bt_clear_reply (&resend.reply);
  CU_ASSERT_TRUE (bt_wait_endpoints (testbed, "entry-0", 2));
}

/* Another account finds a ticket in a log and sends it. It must not get the answer to a request of
 * the owner: it is told that the key was not issued to it, and the owner still gets the answer. */
static void
test_ticket_is_bound_to_its_account (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t own = { testbed, "entry-0", key, "own ticket", 5 };
  bt_draft_t other = { testbed, "entry-1", key, "own ticket", 5, "third" };

  CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key));
  bt_send_draft (&own);
  CU_ASSERT_TRUE (bt_is_draft_complete (&own));
  bt_send_draft (&other);
  CU_ASSERT_TRUE (bt_has_draft_outcome (&other, "not-run"));
  CU_ASSERT_STRING_EQUAL (other.reply.reason, "key-not-minted");
  bt_clear_reply (&own.reply);
  bt_send_draft (&own);
  CU_ASSERT_TRUE (bt_is_draft_complete (&own));
  CU_ASSERT_EQUAL (bt_count_draft_runs (&own), 1);
  bt_clear_reply (&own.reply);
  bt_clear_reply (&other.reply);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("request faults", start_suite, end_suite);
  CU_ADD_TEST (suite, test_resend_through_another_entry);
  CU_ADD_TEST (suite, test_concurrent_copies_run_once);
  CU_ADD_TEST (suite, test_ticket_is_bound_to_its_account);
  CU_ADD_TEST (suite, test_engine_stream_goes_silent);
  CU_ADD_TEST (suite, test_short_freeze_at_the_deadline);
  CU_ADD_TEST (suite, test_agent_frozen_with_the_dispatch_in_its_buffer);
  CU_ADD_TEST (suite, test_agent_killed_while_the_engine_runs);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures () + CU_get_number_of_suites_failed ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
