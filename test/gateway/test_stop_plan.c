#include <CUnit/Basic.h>

#include "stop_plan.h"

enum
{
  BEGAN_MS = 1000,
  ANSWER_LIFE_MS = 1500,
  DRAIN_MS = 7800,
  /* No caller believes an old answer from then on. */
  CLOSE_MS = BEGAN_MS + 3 * ANSWER_LIFE_MS,
  END_MS = BEGAN_MS + DRAIN_MS,
  STEP_MS = 10,
};

static bt_stop_plan_t plan;

static int
begin (void)
{
  static const bt_stop_limits_t limits = { ANSWER_LIFE_MS, DRAIN_MS };

  bt_begin_stop (&plan, &limits, BEGAN_MS);
  return 0;
}

/* Advances step by step until a phase is reached; the time of that step. */
static int64_t
play_until (bt_stop_phase_t phase, int32_t open_requests)
{
  int64_t now_ms = BEGAN_MS;

  while (bt_advance_stop (&plan, open_requests, now_ms) < phase)
    now_ms += STEP_MS;
  return now_ms;
}

static void
test_an_idle_instance_serves_old_answers_and_ends (void)
{
  begin ();
  CU_ASSERT_EQUAL (play_until (BT_STOP_LINGERING, 0), CLOSE_MS);
  CU_ASSERT (play_until (BT_STOP_DONE, 0) > CLOSE_MS);
  CU_ASSERT (play_until (BT_STOP_DONE, 0) < END_MS);
}

/* A stream lasts longer than the whole stop. It goes on while the instance may still end in time,
 * and there is a moment left, in which nobody can connect, before the end. */
static void
test_what_runs_has_until_just_before_the_end (void)
{
  int64_t lingers_ms;

  begin ();
  lingers_ms = play_until (BT_STOP_LINGERING, 1);
  CU_ASSERT (lingers_ms > END_MS - 200);
  CU_ASSERT (lingers_ms < END_MS);
  begin ();
  CU_ASSERT_EQUAL (play_until (BT_STOP_DONE, 1), END_MS);
}

static void
test_an_instance_that_may_not_drain_lingers_all_the_same (void)
{
  static const bt_stop_limits_t none = { ANSWER_LIFE_MS, 0 };

  bt_begin_stop (&plan, &none, BEGAN_MS);
  CU_ASSERT_EQUAL (bt_advance_stop (&plan, 5, BEGAN_MS), BT_STOP_LINGERING);
  CU_ASSERT (play_until (BT_STOP_DONE, 5) > BEGAN_MS);
}

/* The streams of a slow group last six seconds. A caller with an old answer comes three seconds
 * into the stop, its stream begins, and breaks in its middle when the instance has to be gone. It
 * has to be sent elsewhere at once; a short request at the same moment has time enough. */
static void
test_requests_that_can_not_end_are_not_taken (void)
{
  begin ();
  CU_ASSERT_TRUE (bt_may_take_at_stop (&plan, 6000, BEGAN_MS + 1000));
  CU_ASSERT_FALSE (bt_may_take_at_stop (&plan, 6000, BEGAN_MS + 3000));
  CU_ASSERT_TRUE (bt_may_take_at_stop (&plan, 30, BEGAN_MS + 3000));
  CU_ASSERT_TRUE (bt_may_take_at_stop (&plan, 0, CLOSE_MS - 1));
  CU_ASSERT_FALSE (bt_may_take_at_stop (&plan, 0, CLOSE_MS));
}

static void
test_nothing_is_taken_once_it_lingers (void)
{
  begin ();
  play_until (BT_STOP_LINGERING, 0);
  CU_ASSERT_FALSE (bt_may_take_at_stop (&plan, 0, BEGAN_MS + 1));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("stop plan", NULL, NULL);
  CU_ADD_TEST (suite, test_an_idle_instance_serves_old_answers_and_ends);
  CU_ADD_TEST (suite, test_what_runs_has_until_just_before_the_end);
  CU_ADD_TEST (suite, test_an_instance_that_may_not_drain_lingers_all_the_same);
  CU_ADD_TEST (suite, test_requests_that_can_not_end_are_not_taken);
  CU_ADD_TEST (suite, test_nothing_is_taken_once_it_lingers);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
