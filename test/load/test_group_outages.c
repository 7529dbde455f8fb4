#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/load/admission.h"

enum
{
  RANKS = 4,
};

static const int64_t stall_ms = 1500;
static const int64_t restart_ms = 3200;
static const int64_t outage_ms = 4000;
static const int64_t report_lag_ms = 200;
static const int64_t patience_ms = 2000;
static const int64_t deadline_ms = 8000;

static const char *const app = "drafts";
static bt_context_t *ctx;
static bt_router_t *router;
static bt_group_outages_t *outages;
static bt_admission_t *admission;
static uint64_t seed;

static bt_identity_t
make_identity (int32_t rank, int32_t incarnation)
{
  bt_identity_t identity = { .incarnation = (uint64_t)incarnation };

  snprintf (identity.instance, sizeof identity.instance, "i-%d", rank);
  return identity;
}

static void
list_rank (int32_t rank, int32_t incarnation, int64_t now_ms)
{
  bt_endpoint_t endpoint = { .identity = make_identity (rank, incarnation) };

  bt_copy_name (endpoint.app, app);
  bt_put_endpoint (ctx, router, &endpoint, now_ms);
  bt_record_rank_listed (ctx, outages, &endpoint.identity, app, now_ms);
}

static void
remove_rank (int32_t rank, int32_t incarnation)
{
  bt_identity_t identity = make_identity (rank, incarnation);

  bt_remove_endpoint (ctx, router, &identity);
  bt_record_rank_removed (ctx, outages, &identity);
}

static void
report (int32_t rank, int32_t incarnation, int64_t epoch, bool open, int64_t now_ms)
{
  bt_identity_t identity = make_identity (rank, incarnation);
  bt_group_state_t state = { "g-0", epoch, open };

  bt_record_rank_report (ctx, outages, &identity, &state, now_ms);
}

static void
end_rank (int32_t rank, int32_t incarnation, int64_t now_ms)
{
  bt_identity_t identity = make_identity (rank, incarnation);

  bt_record_rank_end (ctx, outages, &identity, now_ms);
}

static int32_t
count_usable (int64_t now_ms)
{
  bt_capacity_t capacity;

  bt_get_capacity (router, app, now_ms, &capacity);
  return capacity.endpoints;
}

static void
open_empty_fixture (void)
{
  bt_router_options_t routing;
  bt_admission_options_t options;

  ctx = bt_new_context ();
  bt_default_router_options (&routing);
  router = bt_new_router (ctx, &routing);
  outages = bt_new_group_outages (ctx, router);
  bt_default_admission_options (&options);
  admission = bt_new_admission (ctx, router, &options);
  bt_set_admission_outages (admission, outages);
}

/* Creates one group, open in epoch 1. */
static void
open_fixture (void)
{
  open_empty_fixture ();
  for (int32_t i = 0; i < RANKS; i++)
    list_rank (i, 1, 0);
  for (int32_t i = 0; i < RANKS; i++)
    report (i, 1, 1, true, 0);
}

static void
close_fixture (void)
{
  bt_drop_admission (ctx, admission);
  bt_drop_group_outages (ctx, outages);
  bt_drop_router (ctx, router);
  bt_drop_context (ctx);
}

/* Plays the loss and the replacement of rank 0 from @p start_ms until the group is open again. */
static void
play_outage (int32_t incarnation, int64_t start_ms)
{
  end_rank (0, incarnation, start_ms);
  report (1, 1, incarnation, false, start_ms + stall_ms);
  remove_rank (0, incarnation);
  list_rank (0, incarnation + 1, start_ms + restart_ms);
  report (1, 1, incarnation + 1, true, start_ms + outage_ms);
}

/* Guards against sending requests to ranks that can't begin them: after the end of one rank the
 * others report an open group until their stall is over. */
static void
test_end_of_one_rank_pauses_its_group (void)
{
  open_fixture ();
  CU_ASSERT_EQUAL (count_usable (100), RANKS);
  end_rank (0, 1, 100);
  CU_ASSERT_EQUAL (count_usable (100), 0);
  report (1, 1, 1, true, 100 + report_lag_ms);
  CU_ASSERT_EQUAL (count_usable (100 + report_lag_ms), 0);
  close_fixture ();
}

/* Guards against sending all queued requests to the replacement of the lost rank, which looks like
 * the only usable endpoint until its group is formed. */
static void
test_replacement_is_paused_until_its_group_is_open (void)
{
  open_fixture ();
  end_rank (0, 1, 100);
  report (1, 1, 1, false, 100 + stall_ms);
  remove_rank (0, 1);
  list_rank (0, 2, 100 + restart_ms);
  CU_ASSERT_EQUAL (count_usable (100 + restart_ms), 0);
  report (1, 1, 2, true, 100 + outage_ms);
  CU_ASSERT_EQUAL (count_usable (100 + outage_ms), RANKS);
  close_fixture ();
}

/* Guards against pausing a group again because of a report from before it was formed. */
static void
test_outdated_report_is_ignored (void)
{
  open_fixture ();
  play_outage (1, 100);
  report (2, 1, 1, false, 100 + outage_ms + report_lag_ms);
  CU_ASSERT_EQUAL (count_usable (100 + outage_ms + report_lag_ms), RANKS);
  close_fixture ();
}

/* Guards against pausing a group for good because a rank seemed to have ended and had not. */
static void
test_group_that_stays_open_is_resumed (void)
{
  open_fixture ();
  end_rank (0, 1, 100);
  report (1, 1, 1, true, 100 + 2 * stall_ms + report_lag_ms);
  CU_ASSERT_EQUAL (count_usable (100 + 2 * stall_ms + report_lag_ms), RANKS);
  close_fixture ();
}

/* Guards against pausing a group for good when all of its agents are lost with one of its ranks. */
static void
test_silent_group_is_resumed (void)
{
  open_fixture ();
  end_rank (0, 1, 100);
  bt_expire_group_outages (ctx, outages, 100 + 2 * outage_ms);
  CU_ASSERT_EQUAL (count_usable (100 + 2 * outage_ms), 0);
  report (1, 1, 1, false, 100 + 2 * outage_ms);
  bt_expire_group_outages (ctx, outages, 100 + 4 * outage_ms);
  CU_ASSERT_EQUAL (count_usable (100 + 4 * outage_ms), 0);
  bt_expire_group_outages (ctx, outages, 100 + 5 * outage_ms);
  CU_ASSERT_EQUAL (count_usable (100 + 5 * outage_ms), RANKS);
  close_fixture ();
}

/* Guards against pausing a group for good when its epochs begin anew. */
static void
test_reset_epochs_are_accepted (void)
{
  open_fixture ();
  report (0, 1, 9, false, 100);
  CU_ASSERT_EQUAL (count_usable (100), 0);
  report (0, 1, 1, true, 100 + 2 * outage_ms);
  CU_ASSERT_EQUAL (count_usable (100 + 2 * outage_ms), RANKS);
  close_fixture ();
}

static void
test_outage_is_estimated_from_earlier_ones (void)
{
  int64_t start_ms = 100;

  open_fixture ();
  for (int32_t i = 1; i <= 6; i++, start_ms += 2 * outage_ms)
    {
      CU_ASSERT_EQUAL (bt_get_group_wait_ms (outages, app, start_ms), 0);
      play_outage (i, start_ms);
    }
  end_rank (0, 7, start_ms);
  CU_ASSERT (bt_get_group_wait_ms (outages, app, start_ms) > outage_ms - 100);
  CU_ASSERT (bt_get_group_wait_ms (outages, app, start_ms) <= outage_ms);
  list_rank (0, 8, start_ms + restart_ms);
  CU_ASSERT (bt_get_group_wait_ms (outages, app, start_ms + restart_ms)
             <= outage_ms - restart_ms + 100);
  close_fixture ();
}

/* Guards against sending callers away for the time of a whole outage when all instances and engines
 * were restarted together and the group is about to be formed. */
static void
test_outage_found_at_the_start_is_expected_to_end_soon (void)
{
  open_fixture ();
  report (0, 1, 2, false, 100);
  CU_ASSERT (bt_get_group_wait_ms (outages, app, 100) > outage_ms - 100);
  close_fixture ();
  open_empty_fixture ();
  list_rank (0, 1, 0);
  report (0, 1, 1, false, 100);
  CU_ASSERT (bt_get_group_wait_ms (outages, app, 100) <= 1000);
  close_fixture ();
}

static bt_admission_decision_t
decide (uint64_t id, int64_t now_ms)
{
  bt_admission_request_t request = { .id = id,
                                     .app = app,
                                     .account = "a",
                                     .deadline_left_ms = deadline_ms,
                                     .patience_left_ms = patience_ms,
                                     .seed = ++seed };
  bt_admission_decision_t decision;

  bt_decide_admission (ctx, admission, &request, now_ms, &decision);
  return decision;
}

/* Guards against refusing a caller twice: who is refused during an outage returns to an open group,
 * or so shortly before that it can wait. */
static void
test_refused_caller_returns_to_an_open_group (void)
{
  open_fixture ();
  end_rank (0, 1, 0);
  for (int64_t now_ms = 0; now_ms < outage_ms; now_ms += 50)
    {
      bt_admission_decision_t decision = decide ((uint64_t)now_ms + 1, now_ms);
      int64_t left_ms = outage_ms - now_ms;

      CU_ASSERT_EQUAL (decision.action == BT_ADMISSION_QUEUE, left_ms <= patience_ms - 300);
      if (decision.action == BT_ADMISSION_QUEUE)
        continue;
      CU_ASSERT_EQUAL (decision.reason, BT_REASON_NO_ENDPOINT);
      CU_ASSERT (now_ms + decision.retry_after_ms >= outage_ms - 500);
      CU_ASSERT (now_ms + decision.retry_after_ms <= outage_ms + 1000);
    }
  close_fixture ();
}

/* Guards against keeping callers of streams until they leave: they are refused in time to return.
 */
static void
test_queued_caller_is_refused_before_it_leaves (void)
{
  bt_admission_decision_t decision;
  const int64_t queued_ms = outage_ms - 1000;

  open_fixture ();
  end_rank (0, 1, 0);
  report (1, 1, 1, false, stall_ms);
  CU_ASSERT_EQUAL (decide (1, queued_ms).action, BT_ADMISSION_QUEUE);
  report (1, 1, 1, false, queued_ms + 100);
  CU_ASSERT_FALSE (bt_next_admission (admission, queued_ms + 1500, &decision));
  CU_ASSERT_TRUE (bt_next_admission (admission, queued_ms + patience_ms - 200, &decision));
  CU_ASSERT_EQUAL (decision.action, BT_ADMISSION_REFUSE);
  CU_ASSERT (decision.retry_after_ms > 0);
  close_fixture ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("group_outages", NULL, NULL);
  CU_ADD_TEST (suite, test_end_of_one_rank_pauses_its_group);
  CU_ADD_TEST (suite, test_replacement_is_paused_until_its_group_is_open);
  CU_ADD_TEST (suite, test_outdated_report_is_ignored);
  CU_ADD_TEST (suite, test_group_that_stays_open_is_resumed);
  CU_ADD_TEST (suite, test_silent_group_is_resumed);
  CU_ADD_TEST (suite, test_reset_epochs_are_accepted);
  CU_ADD_TEST (suite, test_outage_is_estimated_from_earlier_ones);
  CU_ADD_TEST (suite, test_outage_found_at_the_start_is_expected_to_end_soon);
  CU_ADD_TEST (suite, test_refused_caller_returns_to_an_open_group);
  CU_ADD_TEST (suite, test_queued_caller_is_refused_before_it_leaves);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
