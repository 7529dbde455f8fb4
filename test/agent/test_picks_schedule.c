#include <CUnit/Basic.h>

#include "picks_schedule.h"

enum
{
  REPORT_MS = 100,
  RUN_MS = 10000,
};

/* Returns how many reports of one rank carry picks in a run, and the longest time that one of them
 * covers. */
static int32_t
count_reported (int32_t rank, int32_t interval, int64_t *longest_ms)
{
  bt_picks_schedule_t schedule = { false };
  int64_t read_ms = 0;
  int32_t reported = 0;

  bt_request_picks (&schedule, true, interval);
  *longest_ms = 0;
  for (int64_t now_ms = REPORT_MS; now_ms <= RUN_MS; now_ms += REPORT_MS)
    {
      if (!bt_are_picks_due (&schedule, now_ms))
        continue;
      if (bt_advance_picks_schedule (&schedule, rank, REPORT_MS, now_ms))
        {
          reported++;
          if (now_ms - read_ms > *longest_ms)
            *longest_ms = now_ms - read_ms;
        }
      read_ms = now_ms;
    }
  return reported;
}

static void
test_every_report_of_a_small_group_carries_picks (void)
{
  int64_t longest_ms;

  CU_ASSERT_EQUAL (count_reported (3, 1, &longest_ms), RUN_MS / REPORT_MS);
  CU_ASSERT_EQUAL (longest_ms, REPORT_MS);
  CU_ASSERT_EQUAL (count_reported (3, 0, &longest_ms), RUN_MS / REPORT_MS);
}

/* If every report of a large group carries picks, the counts exceed what the leader's link carries.
 * Each rank adds picks to one report in four, and they still cover one report interval: otherwise a
 * jump of demand would show half a second later. */
static void
test_some_reports_of_a_large_group_carry_picks (void)
{
  for (int32_t rank = 0; rank < 8; rank++)
    {
      int64_t longest_ms;
      int32_t reported = count_reported (rank, 4, &longest_ms);

      CU_ASSERT (reported >= RUN_MS / REPORT_MS / 4 - 2 && reported <= RUN_MS / REPORT_MS / 4 + 1);
      CU_ASSERT_EQUAL (longest_ms, REPORT_MS);
    }
}

/* The ranks alternate, so that each report interval brings the same number of picks. */
static void
test_ranks_report_picks_in_rotation (void)
{
  enum
  {
    INTERVAL = 4,
    TIMES = 40,
  };
  bt_picks_schedule_t schedules[INTERVAL] = { { false } };

  for (int32_t rank = 0; rank < INTERVAL; rank++)
    bt_request_picks (&schedules[rank], true, INTERVAL);
  for (int32_t time = 1; time <= TIMES; time++)
    {
      int32_t reported = 0;

      for (int32_t rank = 0; rank < INTERVAL; rank++)
        if (bt_are_picks_due (&schedules[rank], (int64_t)time * REPORT_MS))
          reported += bt_advance_picks_schedule (&schedules[rank], rank, REPORT_MS,
                                                 (int64_t)time * REPORT_MS);
      if (time > INTERVAL + 2)
        CU_ASSERT_EQUAL (reported, 1);
    }
}

static void
test_no_picks_unless_requested (void)
{
  bt_picks_schedule_t schedule = { false };

  CU_ASSERT_FALSE (bt_are_picks_due (&schedule, RUN_MS));
  bt_request_picks (&schedule, true, 2);
  CU_ASSERT_TRUE (bt_are_picks_due (&schedule, RUN_MS));
  bt_request_picks (&schedule, false, 2);
  CU_ASSERT_FALSE (bt_are_picks_due (&schedule, RUN_MS));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("schedule of picks", NULL, NULL);
  CU_ADD_TEST (suite, test_every_report_of_a_small_group_carries_picks);
  CU_ADD_TEST (suite, test_some_reports_of_a_large_group_carry_picks);
  CU_ADD_TEST (suite, test_ranks_report_picks_in_rotation);
  CU_ADD_TEST (suite, test_no_picks_unless_requested);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
