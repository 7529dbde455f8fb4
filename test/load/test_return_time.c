#include <CUnit/Basic.h>

#include "return_time.h"

enum
{
  LOW = 0,
  NORMAL,
  HIGH,
  CALLERS = 120,
  SECOND_MS = 1000,
  NOW_MS = 5000,
  OUTAGE_MS = 2000,
  WINDOW_MS = 1000,
  LONGEST_MS = 60000,
};

static bt_return_plan_t plan;
static uint64_t seed;
static int64_t times[CALLERS];
static int32_t priorities[CALLERS];

/* Places callers of the three priorities in turn. */
static void
place_callers (const bt_backlog_service_t *service, int32_t queued, int64_t now_ms)
{
  for (int32_t i = 0; i < CALLERS; i++)
    {
      const bt_return_request_t request = { i % BT_RETURN_PRIORITIES, queued, ++seed };

      priorities[i] = request.priority;
      times[i] = bt_place_return_ms (&plan, service, &request, now_ms);
    }
}

static void
start_plan (void)
{
  plan = (bt_return_plan_t){ .updated_ms = NOW_MS };
  seed = 0;
}

static int64_t
get_mean_ms (int32_t priority)
{
  int64_t sum_ms = 0;
  int32_t count = 0;

  for (int32_t i = 0; i < CALLERS; i++)
    if (priorities[i] == priority)
      {
        sum_ms += times[i];
        count++;
      }
  return sum_ms / count;
}

static int32_t
count_between (int64_t from_ms, int64_t to_ms)
{
  int32_t count = 0;

  for (int32_t i = 0; i < CALLERS; i++)
    count += times[i] >= from_ms && times[i] < to_ms ? 1 : 0;
  return count;
}

/* Guards against a backlog that returns as one wave: in no second do more callers return than new
 * requests leave capacity for, and all return within the time that serving them takes. */
static void
test_callers_return_at_the_rate_that_is_left (void)
{
  const bt_backlog_service_t service = { .rate = 100, .arrival_rate = 60 };

  start_plan ();
  place_callers (&service, 0, NOW_MS);
  for (int64_t from_ms = 0; from_ms < LONGEST_MS; from_ms += WINDOW_MS)
    CU_ASSERT (count_between (from_ms, from_ms + WINDOW_MS) <= 40);
  CU_ASSERT_EQUAL (count_between (0, 2 * CALLERS * SECOND_MS / 20), CALLERS);
}

/* Guards against callers that return before the endpoints, or before the requests that wait. */
static void
test_callers_return_after_the_work_before_them (void)
{
  const bt_backlog_service_t service = { .rate = 100, .arrival_rate = 60, .outage_ms = OUTAGE_MS };

  start_plan ();
  place_callers (&service, 40, NOW_MS);
  CU_ASSERT_EQUAL (count_between (0, OUTAGE_MS + SECOND_MS), 0);
}

/* Guards against urgent callers that are sent away for longer than others. */
static void
test_urgent_callers_return_first (void)
{
  const bt_backlog_service_t service = { .rate = 100, .arrival_rate = 60 };

  start_plan ();
  place_callers (&service, 0, NOW_MS);
  CU_ASSERT (get_mean_ms (HIGH) < get_mean_ms (NORMAL));
  CU_ASSERT (get_mean_ms (NORMAL) < get_mean_ms (LOW));
}

/* Guards against callers that are sent away for a backlog that has been served since. */
static void
test_served_callers_are_forgotten (void)
{
  const bt_backlog_service_t service = { .rate = 100, .arrival_rate = 60 };
  const bt_return_request_t request = { LOW, 0, 1 };

  start_plan ();
  place_callers (&service, 0, NOW_MS);
  CU_ASSERT (bt_place_return_ms (&plan, &service, &request, NOW_MS) > SECOND_MS);
  CU_ASSERT (bt_place_return_ms (&plan, &service, &request, NOW_MS + LONGEST_MS) < SECOND_MS);
}

/* Guards against times without a bound while nearly nothing is served. */
static void
test_times_are_bounded (void)
{
  const bt_backlog_service_t service = { .rate = 0.01, .arrival_rate = 1000 };

  start_plan ();
  place_callers (&service, CALLERS, NOW_MS);
  CU_ASSERT_EQUAL (count_between (1, 300001), CALLERS);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("return_time", NULL, NULL);
  CU_ADD_TEST (suite, test_callers_return_at_the_rate_that_is_left);
  CU_ADD_TEST (suite, test_callers_return_after_the_work_before_them);
  CU_ADD_TEST (suite, test_urgent_callers_return_first);
  CU_ADD_TEST (suite, test_served_callers_are_forgotten);
  CU_ADD_TEST (suite, test_times_are_bounded);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
