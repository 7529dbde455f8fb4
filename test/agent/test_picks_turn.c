#include <CUnit/Basic.h>

#include "picks_turn.h"

enum
{
  REPORT_MS = 100,
  RUN_MS = 10000,
};

/* How often one rank tells its picks in a run, and the longest time that one of them covers. */
static int32_t
count_told (int32_t rank, int32_t every, int64_t *longest_ms)
{
  bt_picks_turn_t turn = { false };
  int64_t read_ms = 0;
  int32_t told = 0;

  bt_want_picks (&turn, true, every);
  *longest_ms = 0;
  for (int64_t now_ms = REPORT_MS; now_ms <= RUN_MS; now_ms += REPORT_MS)
    {
      if (!bt_are_picks_due (&turn, now_ms))
        continue;
      if (bt_take_picks_turn (&turn, rank, REPORT_MS, now_ms))
        {
          told++;
          if (now_ms - read_ms > *longest_ms)
            *longest_ms = now_ms - read_ms;
        }
      read_ms = now_ms;
    }
  return told;
}

static void
test_each_report_of_a_small_group (void)
{
  int64_t longest_ms;

  CU_ASSERT_EQUAL (count_told (3, 1, &longest_ms), RUN_MS / REPORT_MS);
  CU_ASSERT_EQUAL (longest_ms, REPORT_MS);
  CU_ASSERT_EQUAL (count_told (3, 0, &longest_ms), RUN_MS / REPORT_MS);
}

/* The leader of a large group had to take in more counts than its link carries. Each rank tells one
 * report in four, and what it tells is no older than in a small group: else a jump of demand would
 * show half a second later. */
static void
test_some_reports_of_a_large_group (void)
{
  for (int32_t rank = 0; rank < 8; rank++)
    {
      int64_t longest_ms;
      int32_t told = count_told (rank, 4, &longest_ms);

      CU_ASSERT (told >= RUN_MS / REPORT_MS / 4 - 2 && told <= RUN_MS / REPORT_MS / 4 + 1);
      CU_ASSERT_EQUAL (longest_ms, REPORT_MS);
    }
}

/* The ranks take turns, so that each report time brings as many. */
static void
test_ranks_take_turns (void)
{
  enum
  {
    EVERY = 4,
    TIMES = 40,
  };
  bt_picks_turn_t turns[EVERY] = { { false } };

  for (int32_t rank = 0; rank < EVERY; rank++)
    bt_want_picks (&turns[rank], true, EVERY);
  for (int32_t time = 1; time <= TIMES; time++)
    {
      int32_t told = 0;

      for (int32_t rank = 0; rank < EVERY; rank++)
        if (bt_are_picks_due (&turns[rank], (int64_t)time * REPORT_MS))
          told += bt_take_picks_turn (&turns[rank], rank, REPORT_MS, (int64_t)time * REPORT_MS);
      if (time > EVERY + 2)
        CU_ASSERT_EQUAL (told, 1);
    }
}

static void
test_no_picks_unless_wanted (void)
{
  bt_picks_turn_t turn = { false };

  CU_ASSERT_FALSE (bt_are_picks_due (&turn, RUN_MS));
  bt_want_picks (&turn, true, 2);
  CU_ASSERT_TRUE (bt_are_picks_due (&turn, RUN_MS));
  bt_want_picks (&turn, false, 2);
  CU_ASSERT_FALSE (bt_are_picks_due (&turn, RUN_MS));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("turns of picks", NULL, NULL);
  CU_ADD_TEST (suite, test_each_report_of_a_small_group);
  CU_ADD_TEST (suite, test_some_reports_of_a_large_group);
  CU_ADD_TEST (suite, test_ranks_take_turns);
  CU_ADD_TEST (suite, test_no_picks_unless_wanted);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
