#include <CUnit/Basic.h>

#include "bilberrytray/load/run_queue.h"

static const int64_t long_ms = 100000;
static const int64_t run_ms = 100;

static bt_context_t *ctx;
static bt_run_queue_t *queue;

static void
open_fixture (int32_t slots, int32_t queue_limit)
{
  const bt_run_queue_options_t options = { .slots = slots,
                                           .queue_limit = queue_limit,
                                           .default_service_ms = run_ms };

  ctx = bt_new_context ();
  queue = bt_new_run_queue (ctx, &options);
}

static void
close_fixture (void)
{
  bt_drop_run_queue (ctx, queue);
  bt_drop_context (ctx);
}

static bt_run_decision_t
offer (uint64_t id, const char *account, int32_t priority, int64_t left_ms)
{
  const bt_run_request_t request = {
    .id = id, .account = account, .priority = priority, .deadline_left_ms = left_ms
  };
  bt_run_decision_t decision;

  bt_offer_run (ctx, queue, &request, 0, &decision);
  CU_ASSERT_EQUAL (decision.id, id);
  return decision;
}

/* Frees a slot and returns the number of the request that starts in it; 0 for none. */
static uint64_t
start_next (void)
{
  bt_run_decision_t decision;

  bt_end_run (queue, 0);
  if (!bt_next_run (queue, 0, &decision))
    return 0;
  CU_ASSERT_EQUAL (decision.action, BT_RUN_START);
  return decision.id;
}

/* Guards against callers that wait behind hundreds of requests: eight entries that read the same
 * old report of a free endpoint send all they have, since they cannot see each other's requests.
 * The agent makes the final decision. */
static void
test_full_queue_refuses_at_once (void)
{
  bt_run_decision_t decision;

  open_fixture (2, 3);
  for (uint64_t i = 1; i <= 2; i++)
    CU_ASSERT_EQUAL (offer (i, "a", 0, long_ms).action, BT_RUN_START);
  for (uint64_t i = 3; i <= 5; i++)
    CU_ASSERT_EQUAL (offer (i, "a", 0, long_ms).action, BT_RUN_QUEUED);
  decision = offer (6, "a", 0, long_ms);
  CU_ASSERT_EQUAL (decision.action, BT_RUN_REFUSED);
  CU_ASSERT_EQUAL (decision.reason, BT_REASON_ENDPOINT_FULL);
  CU_ASSERT (decision.retry_after_ms > 0);
  CU_ASSERT_EQUAL (start_next (), 3);
  close_fixture ();
}

static void
test_unreachable_deadline_is_refused_at_once (void)
{
  open_fixture (1, 10);
  offer (1, "a", 0, long_ms);
  CU_ASSERT_EQUAL (offer (2, "a", 0, 2 * run_ms).action, BT_RUN_QUEUED);
  CU_ASSERT_EQUAL (offer (3, "a", 0, 2 * run_ms).reason, BT_REASON_DEADLINE_UNREACHABLE);
  close_fixture ();
}

/* Guards against a waiting request that can no longer meet its deadline, because the run before it
 * takes longer than expected, and is refused only when a slot becomes free. */
static void
test_overdue_requests_are_refused_at_once (void)
{
  bt_run_decision_t decision;

  open_fixture (1, 10);
  offer (1, "a", 0, long_ms);
  offer (2, "a", 0, 5 * run_ms);
  CU_ASSERT_FALSE (bt_next_run (queue, 4 * run_ms - 1, &decision));
  CU_ASSERT_TRUE (bt_next_run (queue, 4 * run_ms, &decision));
  CU_ASSERT_EQUAL (decision.id, 2);
  CU_ASSERT_EQUAL (decision.action, BT_RUN_REFUSED);
  CU_ASSERT_EQUAL (decision.reason, BT_REASON_DEADLINE_UNREACHABLE);
  close_fixture ();
}

static void
test_leaving_refuses_new_requests_and_completes_others (void)
{
  open_fixture (1, 4);
  offer (1, "a", 0, long_ms);
  offer (2, "a", 0, long_ms);
  bt_set_run_queue_leaving (queue, true);
  CU_ASSERT_EQUAL (offer (3, "a", 0, long_ms).reason, BT_REASON_ENDPOINT_LEAVING);
  CU_ASSERT_EQUAL (start_next (), 2);
  close_fixture ();
}

static void
test_priority_is_served_first_then_accounts_fairly (void)
{
  open_fixture (1, 10);
  offer (1, "large", 0, long_ms);
  offer (2, "large", 0, long_ms);
  offer (3, "large", 0, long_ms);
  offer (4, "large", 0, long_ms);
  offer (5, "small", 0, long_ms);
  offer (6, "large", 1, long_ms);
  CU_ASSERT_EQUAL (start_next (), 6);
  CU_ASSERT_EQUAL (start_next (), 5);
  CU_ASSERT_EQUAL (start_next (), 2);
  CU_ASSERT_EQUAL (start_next (), 3);
  CU_ASSERT_EQUAL (start_next (), 4);
  CU_ASSERT_EQUAL (start_next (), 0);
  close_fixture ();
}

/* Guards against unweighted service at the agent: of two backlogged accounts, one with three times
 * the weight of the other gets three of every four starts, as at the entries. */
static void
test_accounts_are_served_by_weight (void)
{
  int32_t heavy = 0;

  open_fixture (1, 16);
  offer (1, "running", 0, long_ms);
  for (uint64_t i = 0; i < 8; i++)
    {
      const bt_run_request_t heavy_request = { 100 + i, "heavy", 0, long_ms, 3 };
      const bt_run_request_t light_request = { 200 + i, "light", 0, long_ms, 1 };
      bt_run_decision_t decision;

      bt_offer_run (ctx, queue, &heavy_request, 0, &decision);
      bt_offer_run (ctx, queue, &light_request, 0, &decision);
    }
  for (int32_t i = 0; i < 8; i++)
    heavy += start_next () < 200;
  CU_ASSERT_EQUAL (heavy, 6);
  close_fixture ();
}

/* Guards against a burst of a large account that fills the queue through eight entries, so that the
 * single request of a small account is refused. Each entry is fair by itself, but none sees the
 * agent's queue. */
static void
test_small_account_replaces_request_of_large_one (void)
{
  bt_run_decision_t decision;

  open_fixture (1, 3);
  for (uint64_t i = 1; i <= 4; i++)
    offer (i, "large", 0, long_ms);
  CU_ASSERT_EQUAL (offer (5, "small", 0, long_ms).action, BT_RUN_QUEUED);
  CU_ASSERT_TRUE (bt_next_run (queue, 0, &decision));
  CU_ASSERT_EQUAL (decision.id, 4);
  CU_ASSERT_EQUAL (decision.reason, BT_REASON_ENDPOINT_FULL);
  CU_ASSERT_FALSE (bt_next_run (queue, 0, &decision));
  CU_ASSERT_EQUAL (offer (6, "large", 0, long_ms).reason, BT_REASON_ENDPOINT_FULL);
  close_fixture ();
}

static void
test_cancelled_requests_never_start (void)
{
  open_fixture (1, 4);
  offer (1, "a", 0, long_ms);
  offer (2, "a", 0, long_ms);
  CU_ASSERT_TRUE (bt_cancel_run (queue, 2));
  CU_ASSERT_FALSE (bt_cancel_run (queue, 2));
  CU_ASSERT_EQUAL (start_next (), 0);
  close_fixture ();
}

static void
test_load_report_has_counts_and_measured_time (void)
{
  bt_load_t load;

  open_fixture (4, 4);
  for (uint64_t i = 1; i <= 6; i++)
    offer (i, "a", 0, long_ms);
  bt_get_run_load (queue, &load);
  CU_ASSERT_EQUAL (load.slots, 4);
  CU_ASSERT_EQUAL (load.running, 4);
  CU_ASSERT_EQUAL (load.queued, 2);
  for (int32_t i = 0; i < 100; i++)
    bt_end_run (queue, 3);
  bt_get_run_load (queue, &load);
  CU_ASSERT_EQUAL (load.service_ms, 3);
  close_fixture ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("run queue", NULL, NULL);
  CU_ADD_TEST (suite, test_full_queue_refuses_at_once);
  CU_ADD_TEST (suite, test_unreachable_deadline_is_refused_at_once);
  CU_ADD_TEST (suite, test_overdue_requests_are_refused_at_once);
  CU_ADD_TEST (suite, test_leaving_refuses_new_requests_and_completes_others);
  CU_ADD_TEST (suite, test_priority_is_served_first_then_accounts_fairly);
  CU_ADD_TEST (suite, test_accounts_are_served_by_weight);
  CU_ADD_TEST (suite, test_small_account_replaces_request_of_large_one);
  CU_ADD_TEST (suite, test_cancelled_requests_never_start);
  CU_ADD_TEST (suite, test_load_report_has_counts_and_measured_time);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
