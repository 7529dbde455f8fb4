#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/load/admission.h"

enum
{
  SERVICE_MS = 100,
  LATER_MS = 1000,
  SLOTS = 4,
  LONG_MS = 100000,
  QUEUE_LIMIT = 6,
};

static bt_context_t *ctx;
static bt_router_t *router;
static bt_admission_t *admission;
static uint64_t seed;

static void
open_fixture (int32_t queue_limit)
{
  bt_router_options_t routing;
  bt_admission_options_t options;
  bt_endpoint_t endpoint;

  memset (&endpoint, 0, sizeof endpoint);
  bt_copy_name (endpoint.identity.instance, "agent-0");
  bt_copy_name (endpoint.app, "drafts");
  ctx = bt_new_context ();
  bt_default_router_options (&routing);
  routing.default_slots = SLOTS;
  routing.default_service_ms = SERVICE_MS;
  routing.queue_depth = 0;
  router = bt_new_router (ctx, &routing);
  bt_put_endpoint (ctx, router, &endpoint, 0);
  bt_default_admission_options (&options);
  options.queue_limit = queue_limit;
  admission = bt_new_admission (ctx, router, &options);
}

static void
close_fixture (void)
{
  bt_drop_admission (ctx, admission);
  bt_drop_router (ctx, router);
  bt_drop_context (ctx);
}

/* Does what the calling code does after ADMIT: chooses an endpoint and records the dispatch. */
static bt_route_t
send_out (int64_t now_ms)
{
  const bt_route_request_t request = { .app = "drafts", .seed = seed++ };
  bt_route_t route;
  int64_t retry_after_ms;

  CU_ASSERT_EQUAL (bt_choose_endpoint (router, &request, now_ms, &route, &retry_after_ms),
                   BT_REASON_NONE);
  bt_record_dispatch (router, &route, 0, now_ms);
  return route;
}

static bt_admission_decision_t
decide (bt_admission_request_t request, int64_t now_ms)
{
  bt_admission_decision_t decision;

  request.app = "drafts";
  request.account = request.account == NULL ? "a" : request.account;
  request.deadline_left_ms = request.deadline_left_ms == 0 ? LONG_MS : request.deadline_left_ms;
  request.seed = seed++;
  bt_decide_admission (ctx, admission, &request, now_ms, &decision);
  if (decision.action == BT_ADMISSION_ADMIT)
    send_out (now_ms);
  return decision;
}

/* Guards against streams of a slow group that run until their deadline and take the slots of those
 * that could be complete. */
static void
test_hopelessly_long_run_is_refused_at_once (void)
{
  bt_admission_decision_t decision;

  open_fixture (100);
  CU_ASSERT_EQUAL (
      decide ((bt_admission_request_t){ .id = 1, .deadline_left_ms = 8000, .run_ms = 10000 }, 0)
          .action,
      BT_ADMISSION_ADMIT);
  decision =
      decide ((bt_admission_request_t){ .id = 2, .deadline_left_ms = 8000, .run_ms = 15000 }, 0);
  CU_ASSERT_EQUAL (decision.action, BT_ADMISSION_REFUSE);
  CU_ASSERT_EQUAL (decision.reason, BT_REASON_DEADLINE_UNREACHABLE);
  CU_ASSERT (decision.retry_after_ms > 0);
  close_fixture ();
}

static void
fill_endpoint (void)
{
  for (uint64_t i = 0; i < SLOTS; i++)
    CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = 1000 + i }, 0).action,
                     BT_ADMISSION_ADMIT);
}

/* Frees a slot and returns the number of the request that is sent into it; 0 for none. */
static uint64_t
free_slot (int64_t now_ms)
{
  bt_route_t route = send_out (now_ms);
  bt_admission_decision_t decision;

  bt_record_attempt_end (router, &route, BT_ATTEMPT_CANCELLED, 0, now_ms);
  bt_record_attempt_end (router, &route, BT_ATTEMPT_ANSWERED, SERVICE_MS, now_ms);
  if (!bt_next_admission (admission, now_ms, &decision))
    return 0;
  CU_ASSERT_EQUAL (decision.action, BT_ADMISSION_ADMIT);
  send_out (now_ms);
  return decision.id;
}

/* Guards against a queue that accepts a request which it cannot serve in time: its caller would
 * learn so only at the deadline, too late to go elsewhere. */
static void
test_unreachable_deadline_is_refused_at_once (void)
{
  bt_admission_decision_t decision;

  open_fixture (100);
  fill_endpoint ();
  CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = 1, .deadline_left_ms = 50 }, 0).reason,
                   BT_REASON_DEADLINE_UNREACHABLE);
  for (uint64_t i = 2; i < 22; i++)
    CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = i }, 0).action, BT_ADMISSION_QUEUE);
  decision = decide ((bt_admission_request_t){ .id = 30, .deadline_left_ms = 400 }, 0);
  CU_ASSERT_EQUAL (decision.action, BT_ADMISSION_REFUSE);
  CU_ASSERT_EQUAL (decision.reason, BT_REASON_DEADLINE_UNREACHABLE);
  CU_ASSERT (decision.retry_after_ms > 0);
  CU_ASSERT_EQUAL (bt_count_queued_requests (admission, "drafts"), 20);
  close_fixture ();
}

static void
test_rule_limit_allows_burst_and_returns_wait (void)
{
  const bt_admission_request_t request = { .id = 1, .rule = "r", .rule_per_second = 2 };
  bt_admission_request_t retry = request;
  bt_admission_decision_t decision;

  open_fixture (100);
  CU_ASSERT_EQUAL (decide (request, 0).action, BT_ADMISSION_ADMIT);
  CU_ASSERT_EQUAL (decide (request, 0).action, BT_ADMISSION_ADMIT);
  decision = decide (request, 0);
  CU_ASSERT_EQUAL (decision.reason, BT_REASON_RULE_LIMIT);
  CU_ASSERT (decision.retry_after_ms >= 500);
  retry.is_retry = true;
  CU_ASSERT_EQUAL (decide (retry, 0).action, BT_ADMISSION_ADMIT);
  CU_ASSERT_EQUAL (decide (request, 500).action, BT_ADMISSION_ADMIT);
  CU_ASSERT_EQUAL (decide (request, 500).reason, BT_REASON_RULE_LIMIT);
  close_fixture ();
}

static void
test_full_queue_refuses (void)
{
  open_fixture (QUEUE_LIMIT);
  fill_endpoint ();
  for (uint64_t i = 1; i <= QUEUE_LIMIT; i++)
    CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = i }, 0).action, BT_ADMISSION_QUEUE);
  CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = 99 }, 0).reason, BT_REASON_QUEUE_FULL);
  CU_ASSERT_TRUE (bt_cancel_admission (admission, 3));
  CU_ASSERT_FALSE (bt_cancel_admission (admission, 3));
  CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = 99 }, 0).action, BT_ADMISSION_QUEUE);
  close_fixture ();
}

/* Guards against a small account that waits behind the backlog of two large ones which send ten
 * times the capacity, as it would in one queue in order of arrival. */
static void
test_small_account_is_not_delayed_by_large_ones (void)
{
  int32_t refused = 0;

  open_fixture (1000);
  fill_endpoint ();
  for (uint64_t i = 1; i <= 200; i++)
    {
      const char *account = i % 2 == 0 ? "large-1" : "large-2";
      const bt_admission_request_t request = { .id = i,
                                               .account = account,
                                               .deadline_left_ms = 1000 };

      refused += decide (request, (int64_t)i).action == BT_ADMISSION_REFUSE ? 1 : 0;
    }
  CU_ASSERT (refused > 150);
  CU_ASSERT_EQUAL (
      decide ((bt_admission_request_t){ .id = 500, .account = "small", .deadline_left_ms = 250 },
              200)
          .action,
      BT_ADMISSION_QUEUE);
  CU_ASSERT (free_slot (200) == 500 || free_slot (200) == 500 || free_slot (200) == 500);
  close_fixture ();
}

/* Guards against the wrong reason for a refusal: an account that has used up its share is refused
 * for its share, not for the total load, so that its operators know whom to ask. */
static void
test_account_over_its_share_is_refused_for_it (void)
{
  bt_admission_decision_t decision = { 0 };

  open_fixture (1000);
  fill_endpoint ();
  for (uint64_t i = 1; i <= 300 && decision.action != BT_ADMISSION_REFUSE; i++)
    {
      decide ((bt_admission_request_t){ .id = 2 * i, .account = "other", .deadline_left_ms = 200 },
              (int64_t)i);
      decision = decide (
          (bt_admission_request_t){ .id = 2 * i + 1, .account = "large", .deadline_left_ms = 2000 },
          (int64_t)i);
    }
  CU_ASSERT_EQUAL (decision.reason, BT_REASON_ACCOUNT_SHARE);
  CU_ASSERT (decision.retry_after_ms > 0);
  close_fixture ();
}

static void
test_shares_are_weighted (void)
{
  int32_t heavy = 0;

  open_fixture (1000);
  fill_endpoint ();
  for (uint64_t i = 0; i < 40; i++)
    {
      decide ((bt_admission_request_t){ .id = 100 + i, .account = "light" }, 0);
      decide ((bt_admission_request_t){ .id = 200 + i, .account = "heavy", .share = 3 }, 0);
    }
  for (int32_t i = 0; i < 40; i++)
    heavy += free_slot (0) >= 200 ? 1 : 0;
  CU_ASSERT (heavy >= 29 && heavy <= 31);
  close_fixture ();
}

static void
test_priority_and_retries_are_served_first (void)
{
  open_fixture (100);
  fill_endpoint ();
  decide ((bt_admission_request_t){ .id = 1 }, 0);
  decide ((bt_admission_request_t){ .id = 2 }, 0);
  decide ((bt_admission_request_t){ .id = 3, .is_retry = true }, 0);
  decide ((bt_admission_request_t){ .id = 4, .priority = 1 }, 0);
  CU_ASSERT_EQUAL (free_slot (0), 4);
  CU_ASSERT_EQUAL (free_slot (0), 3);
  CU_ASSERT_EQUAL (free_slot (0), 1);
  CU_ASSERT_EQUAL (free_slot (0), 2);
  CU_ASSERT_EQUAL (free_slot (0), 0);
  close_fixture ();
}

/* Guards against requests that are refused while a lost link is being dialled again, and against
 * requests that are held until their deadlines if it does not return. */
static void
test_queue_is_kept_briefly_without_endpoint (void)
{
  bt_identity_t identity = { .instance = "agent-0" };
  bt_admission_decision_t decision;

  open_fixture (100);
  fill_endpoint ();
  decide ((bt_admission_request_t){ .id = 1 }, 0);
  bt_record_link_down (router, &identity, 0);
  CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = 2 }, 0).reason, BT_REASON_NO_ENDPOINT);
  CU_ASSERT_FALSE (bt_next_admission (admission, 900, &decision));
  CU_ASSERT_TRUE (bt_next_admission (admission, 1100, &decision));
  CU_ASSERT_EQUAL (decision.id, 1);
  CU_ASSERT_EQUAL (decision.reason, BT_REASON_NO_ENDPOINT);
  close_fixture ();
}

static void
test_overdue_requests_are_refused_at_once (void)
{
  bt_admission_decision_t decision;

  open_fixture (100);
  fill_endpoint ();
  decide ((bt_admission_request_t){ .id = 1, .deadline_left_ms = 500 }, 0);
  CU_ASSERT_FALSE (bt_next_admission (admission, 500 - SERVICE_MS - 1, &decision));
  CU_ASSERT_TRUE (bt_next_admission (admission, 500 - SERVICE_MS, &decision));
  CU_ASSERT_EQUAL (decision.id, 1);
  CU_ASSERT_EQUAL (decision.reason, BT_REASON_DEADLINE_UNREACHABLE);
  close_fixture ();
}

/* Guards against refusing all requests of a rule with short deadlines while slots are free, because
 * runs of a slow rule raised the estimated run time above those deadlines. Nothing would run, so
 * the estimate would never be corrected. With a free slot a request is sent. */
static void
test_request_is_admitted_to_free_slot_despite_slow_runs (void)
{
  bt_route_t route;

  open_fixture (QUEUE_LIMIT);
  route = send_out (0);
  bt_record_attempt_end (router, &route, BT_ATTEMPT_ANSWERED, LATER_MS, LATER_MS);
  CU_ASSERT_EQUAL (
      decide ((bt_admission_request_t){ .id = 1, .deadline_left_ms = SERVICE_MS }, LATER_MS).action,
      BT_ADMISSION_ADMIT);
  close_fixture ();
}

/* Guards against a thousand callers that are refused within one second, get the same retry-after
 * time and return together. */
static void
test_retry_after_times_are_spread (void)
{
  int32_t buckets[10] = { 0 };

  open_fixture (1);
  fill_endpoint ();
  decide ((bt_admission_request_t){ .id = 1 }, 0);
  for (uint64_t i = 0; i < 1000; i++)
    {
      const int64_t bucket =
          decide ((bt_admission_request_t){ .id = 2 + i }, 0).retry_after_ms / 200;

      CU_ASSERT (bucket >= 0 && bucket < 10);
      buckets[bucket]++;
    }
  for (int32_t i = 0; i < 10; i++)
    CU_ASSERT (buckets[i] <= 300);
  close_fixture ();
}

/* Guards against an entry that never sees free capacity because seven others have filled every
 * endpoint and refill each slot at once. It may always have its equal share in flight. */
static void
test_late_entry_gets_its_equal_share (void)
{
  const bt_identity_t identity = { .instance = "agent-0" };
  const bt_load_t full = {
    .running = SLOTS, .queued = 4, .slots = SLOTS, .service_ms = SERVICE_MS
  };

  open_fixture (100);
  bt_set_router_entries (router, 2);
  bt_record_load (router, &identity, &full, 0);
  CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = 1 }, 0).action, BT_ADMISSION_ADMIT);
  CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = 2 }, 0).action, BT_ADMISSION_ADMIT);
  CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = 3 }, 0).action, BT_ADMISSION_QUEUE);
  close_fixture ();
}

/* Guards against a wait that is put down to its last reason alone: a request that is queued for
 * room, then while its group is formed, and then for a throttled endpoint has waited for each. */
static void
test_times_of_a_wait_are_kept_by_reason (void)
{
  const bt_identity_t identity = { .instance = "agent-0" };
  bt_admission_decision_t queued;
  bt_admission_decision_t decision;
  bt_endpoint_rest_t before;
  bt_wait_times_t times;
  bt_route_t route;

  open_fixture (100);
  for (int32_t i = 0; i < SLOTS; i++)
    route = send_out (0);
  queued = decide ((bt_admission_request_t){ .id = 1 }, 1000);
  CU_ASSERT_EQUAL (queued.action, BT_ADMISSION_QUEUE);
  CU_ASSERT_EQUAL (queued.wait, BT_WAIT_ROOM);
  bt_set_endpoint_paused (router, &identity, true);
  CU_ASSERT_FALSE (bt_next_admission (admission, 1100, &decision));
  CU_ASSERT_EQUAL (decide ((bt_admission_request_t){ .id = 2 }, 1100).wait, BT_WAIT_GROUP);
  bt_set_endpoint_paused (router, &identity, false);
  bt_record_endpoint_rest (router, &identity, LATER_MS, 1300, &before);
  CU_ASSERT_FALSE (bt_next_admission (admission, 1300, &decision));
  CU_ASSERT_EQUAL (bt_get_wait_times (admission, "drafts", 1400, &times), BT_WAIT_THROTTLED);
  CU_ASSERT_EQUAL (times.total_ms[BT_WAIT_THROTTLED] - queued.times.total_ms[BT_WAIT_THROTTLED],
                   100);
  bt_record_attempt_end (router, &route, BT_ATTEMPT_ANSWERED, SERVICE_MS, 1400);
  CU_ASSERT_TRUE (bt_next_admission (admission, 1300 + LATER_MS, &decision));
  CU_ASSERT_EQUAL (decision.id, 1);
  CU_ASSERT_EQUAL (decision.action, BT_ADMISSION_ADMIT);
  CU_ASSERT_EQUAL (decision.times.total_ms[BT_WAIT_ROOM] - queued.times.total_ms[BT_WAIT_ROOM],
                   100);
  CU_ASSERT_EQUAL (decision.times.total_ms[BT_WAIT_GROUP] - queued.times.total_ms[BT_WAIT_GROUP],
                   200);
  CU_ASSERT_EQUAL (decision.times.total_ms[BT_WAIT_THROTTLED]
                       - queued.times.total_ms[BT_WAIT_THROTTLED],
                   LATER_MS);
  close_fixture ();
}

/* Guards against refusals without the reason why there is no capacity. */
static void
test_refusal_says_what_is_missing (void)
{
  const bt_identity_t identity = { .instance = "agent-0" };
  bt_admission_request_t urgent = { .id = 1, .deadline_left_ms = SERVICE_MS };

  open_fixture (100);
  fill_endpoint ();
  CU_ASSERT_EQUAL (decide (urgent, 0).wait, BT_WAIT_ROOM);
  bt_set_endpoint_cold (router, &identity, LONG_MS, 0);
  CU_ASSERT_EQUAL (decide (urgent, 0).wait, BT_WAIT_COLD);
  bt_set_endpoint_paused (router, &identity, true);
  CU_ASSERT_EQUAL (decide (urgent, 0).wait, BT_WAIT_GROUP);
  CU_ASSERT_EQUAL (decide (urgent, 0).action, BT_ADMISSION_REFUSE);
  close_fixture ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("admission", NULL, NULL);
  CU_ADD_TEST (suite, test_unreachable_deadline_is_refused_at_once);
  CU_ADD_TEST (suite, test_rule_limit_allows_burst_and_returns_wait);
  CU_ADD_TEST (suite, test_full_queue_refuses);
  CU_ADD_TEST (suite, test_small_account_is_not_delayed_by_large_ones);
  CU_ADD_TEST (suite, test_account_over_its_share_is_refused_for_it);
  CU_ADD_TEST (suite, test_shares_are_weighted);
  CU_ADD_TEST (suite, test_priority_and_retries_are_served_first);
  CU_ADD_TEST (suite, test_queue_is_kept_briefly_without_endpoint);
  CU_ADD_TEST (suite, test_overdue_requests_are_refused_at_once);
  CU_ADD_TEST (suite, test_request_is_admitted_to_free_slot_despite_slow_runs);
  CU_ADD_TEST (suite, test_retry_after_times_are_spread);
  CU_ADD_TEST (suite, test_late_entry_gets_its_equal_share);
  CU_ADD_TEST (suite, test_hopelessly_long_run_is_refused_at_once);
  CU_ADD_TEST (suite, test_times_of_a_wait_are_kept_by_reason);
  CU_ADD_TEST (suite, test_refusal_says_what_is_missing);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
