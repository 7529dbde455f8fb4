#include <CUnit/Basic.h>
#include <pthread.h>
#include <stdio.h>

#include "bilberrytray/base/clock.h"
#include "harness_arrivals.h"

enum
{
  OK = 200,
  FAILED = 500,
  POLL_MS = 20,
  PAUSE_MS = 20,
  WARM_UP_CALLERS = 4,
  /* The runners have 8 slots each, and the gateway sends one more to each. */
  CALLERS = 40,
  /* The runners' late answers take 4 s, which is more than the route's target, 1 s. */
  DEADLINE_MS = 25000,
  NAME_BYTES = 160,
};

static const char *const configuration =
    "{\"version\":1,\"services\":[{\"name\":\"svc\"}],\"tenants\":[],\"routes\":["
    "{\"name\":\"aimed\",\"host\":\"shop.example\",\"prefix\":\"/a/\","
    "\"kind\":\"idempotent\",\"service\":\"svc\",\"timeout_ms\":30000,\"max_attempts\":2,"
    "\"target_latency_ms\":1000,\"public\":true}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"idle_timeout_ms\":15000}}";

static bt_gateway_testbed_t *testbed;

static int
start_suite (void)
{
  testbed = bt_new_gateway_testbed (1, configuration);
  return testbed == NULL || !bt_wait_gateway_ready (testbed, 0);
}

static int
end_suite (void)
{
  bt_drop_gateway_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

static void
set_all_faults (const char *fault)
{
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    CU_ASSERT_TRUE (bt_set_standin_fault (testbed->runner_ports[i], fault));
}

static int64_t
count_delays (const char *outcome, const char *cause)
{
  char name[NAME_BYTES];

  snprintf (name, sizeof name, "bilberry_delayed_requests_total{outcome=\"%s\",cause=\"%s\"}",
            outcome, cause);
  return bt_read_gateway_metric (testbed, 0, name);
}

static bt_gateway_call_t
make_call (const char *id)
{
  return (bt_gateway_call_t){ .path = "/a/lookup", .id = id, .deadline_ms = DEADLINE_MS };
}

/* Guards against an endpoint's own failure that is not counted, since its answer is passed on. */
static void
test_failed_answer (void)
{
  bt_gateway_call_t call = make_call ("r-failed");

  set_all_faults ("{\"kind\":\"fail\"}");
  CU_ASSERT_EQUAL (bt_get_call_status (testbed, &call), FAILED);
  set_all_faults ("{\"kind\":\"none\"}");
  CU_ASSERT_EQUAL (count_delays ("failed", "endpoint-failed"), 1);
  CU_ASSERT_EQUAL (
      bt_read_gateway_metric (
          testbed, 0, "bilberry_delayed_by_rule_total{rule=\"aimed\",cause=\"endpoint-failed\"}"),
      1);
}

/* Sends requests until each runner has answered one, and so has reported a slot that is taken. */
static void
warm_up (void)
{
  bt_callers_t *callers = bt_start_callers (testbed, "/a/warm", WARM_UP_CALLERS, PAUSE_MS);
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;

  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    while (bt_get_first_answer_ms (callers, 0, i, 0) == 0
           && bt_read_clock_ms (bt_system_clock ()) < limit_ms)
      bt_sleep_ms (POLL_MS);
  bt_stop_callers (callers);
}

/* Guards against a late answer that is put down to the entry, while its endpoint had reported that
 * it runs other requests. */
static void
test_late_answer_of_a_busy_endpoint (void)
{
  bt_gateway_call_t call = make_call ("r-late");
  int64_t before;

  warm_up ();
  before = count_delays ("late", "endpoint-queue");
  set_all_faults ("{\"kind\":\"late\"}");
  CU_ASSERT_EQUAL (bt_get_call_status (testbed, &call), OK);
  set_all_faults ("{\"kind\":\"none\"}");
  CU_ASSERT_EQUAL (count_delays ("late", "endpoint-queue"), before + 1);
  CU_ASSERT_TRUE (bt_has_gateway_status (testbed, 0, "delayed by endpoint-queue: "));
}

static void *
send_call (void *data)
{
  CU_ASSERT_EQUAL (bt_get_call_status (testbed, data), OK);
  return NULL;
}

static bool
has_run (const char *id)
{
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    if (bt_count_runner_runs (testbed, i, id) > 0)
      return true;
  return false;
}

/* Guards against a request that is put down to its second endpoint, which answered at once, while
 * the first one had broken off after 4 s. */
static void
test_request_that_was_sent_again (void)
{
  bt_gateway_call_t call = make_call ("r-again");
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;
  int64_t before = count_delays ("late", "resumed");
  pthread_t thread;

  set_all_faults ("{\"kind\":\"late-cut\"}");
  pthread_create (&thread, NULL, send_call, &call);
  while (!has_run (call.id) && bt_read_clock_ms (bt_system_clock ()) < limit_ms)
    bt_sleep_ms (POLL_MS);
  set_all_faults ("{\"kind\":\"none\"}");
  pthread_join (thread, NULL);
  CU_ASSERT_EQUAL (count_delays ("late", "resumed"), before + 1);
}

/* Guards against requests whose wait at the entry is not seen, or is put down to their endpoint:
 * there are more than the endpoints may run at once, and those that wait are sent 4 s later.
 * Runs before the other tests: as long as no run was measured, requests spread over all runners. */
static void
test_more_requests_than_room (void)
{
  bt_gateway_call_t call = make_call ("r-many");
  int64_t before = count_delays ("late", "room");
  pthread_t threads[CALLERS];

  set_all_faults ("{\"kind\":\"late\"}");
  for (int32_t i = 0; i < CALLERS; i++)
    pthread_create (&threads[i], NULL, send_call, &call);
  for (int32_t i = 0; i < CALLERS; i++)
    pthread_join (threads[i], NULL);
  set_all_faults ("{\"kind\":\"none\"}");
  CU_ASSERT (count_delays ("late", "room") > before);
  CU_ASSERT_TRUE (bt_has_gateway_status (testbed, 0, "delayed by room: "));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("gateway delays", start_suite, end_suite);
  CU_ADD_TEST (suite, test_more_requests_than_room);
  CU_ADD_TEST (suite, test_failed_answer);
  CU_ADD_TEST (suite, test_late_answer_of_a_busy_endpoint);
  CU_ADD_TEST (suite, test_request_that_was_sent_again);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
