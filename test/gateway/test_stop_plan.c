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

/* Advances step by step from a time until a phase is reached; the time of that step. */
static int64_t
play_until (bt_stop_phase_t phase, int32_t open_work, int64_t from_ms)
{
  int64_t now_ms = from_ms;

  while (bt_advance_stop (&plan, open_work, now_ms) < phase && now_ms < BEGAN_MS + 2 * DRAIN_MS)
    now_ms += STEP_MS;
  return now_ms;
}

static void
test_an_idle_instance_serves_old_answers_and_ends (void)
{
  int64_t lingers_ms;
  int64_t done_ms;

  begin ();
  lingers_ms = play_until (BT_STOP_LINGERING, 0, BEGAN_MS);
  CU_ASSERT_EQUAL (lingers_ms, CLOSE_MS);
  done_ms = play_until (BT_STOP_DONE, 0, lingers_ms);
  CU_ASSERT (done_ms > CLOSE_MS + 100);
  CU_ASSERT (done_ms < CLOSE_MS + 200);
}

/* A stream lasts longer than the whole stop. It goes on while the instance may still end in time,
 * and there is a moment left, in which nobody can connect, before the end. */
static void
test_what_runs_has_until_just_before_the_end (void)
{
  int64_t lingers_ms;

  begin ();
  CU_ASSERT_EQUAL (play_until (BT_STOP_CLOSING, 1, BEGAN_MS), CLOSE_MS);
  lingers_ms = play_until (BT_STOP_LINGERING, 1, CLOSE_MS);
  CU_ASSERT (lingers_ms > END_MS - 200);
  CU_ASSERT (lingers_ms < END_MS);
  CU_ASSERT_EQUAL (play_until (BT_STOP_DONE, 1, lingers_ms), END_MS);
}

/* The last request ends in the time in which late comers are refused: nothing holds the instance
 * any longer. */
static void
test_an_instance_that_became_idle_ends (void)
{
  begin ();
  play_until (BT_STOP_CLOSING, 1, BEGAN_MS);
  CU_ASSERT_EQUAL (bt_advance_stop (&plan, 1, CLOSE_MS + 500), BT_STOP_CLOSING);
  CU_ASSERT_EQUAL (bt_advance_stop (&plan, 0, CLOSE_MS + 510), BT_STOP_LINGERING);
}

static void
test_an_instance_that_may_not_drain_lingers_all_the_same (void)
{
  static const bt_stop_limits_t none = { ANSWER_LIFE_MS, 0 };

  bt_begin_stop (&plan, &none, BEGAN_MS);
  CU_ASSERT_EQUAL (bt_advance_stop (&plan, 5, BEGAN_MS), BT_STOP_LINGERING);
  CU_ASSERT (play_until (BT_STOP_DONE, 5, BEGAN_MS) > BEGAN_MS + 100);
}

/* The streams of a slow group last longer than five seconds. A caller with an old answer comes four
 * seconds into the stop, its stream begins, and breaks in its middle when the instance has to be
 * gone. It has to be sent elsewhere at once; a short request at the same moment has time enough,
 * and so has nearly every stream that comes early. */
static void
test_requests_that_can_not_end_are_not_taken (void)
{
  begin ();
  CU_ASSERT_TRUE (bt_may_take_at_stop (&plan, BEGAN_MS + 9000, BEGAN_MS + 1000));
  CU_ASSERT_FALSE (bt_may_take_at_stop (&plan, BEGAN_MS + 12000, BEGAN_MS + 4000));
  CU_ASSERT_TRUE (bt_may_take_at_stop (&plan, BEGAN_MS + 5500, BEGAN_MS + 4000));
  CU_ASSERT_FALSE (bt_may_take_at_stop (&plan, END_MS, BEGAN_MS + 4000));
  CU_ASSERT_TRUE (bt_may_take_at_stop (&plan, CLOSE_MS, CLOSE_MS - 1));
  CU_ASSERT_FALSE (bt_may_take_at_stop (&plan, CLOSE_MS, CLOSE_MS));
}

static void
test_nothing_is_taken_once_it_lingers (void)
{
  begin ();
  play_until (BT_STOP_LINGERING, 0, BEGAN_MS);
  CU_ASSERT_FALSE (bt_may_take_at_stop (&plan, BEGAN_MS + 2, BEGAN_MS + 1));
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
  CU_ADD_TEST (suite, test_an_instance_that_became_idle_ends);
  CU_ADD_TEST (suite, test_an_instance_that_may_not_drain_lingers_all_the_same);
  CU_ADD_TEST (suite, test_requests_that_can_not_end_are_not_taken);
  CU_ADD_TEST (suite, test_nothing_is_taken_once_it_lingers);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
