#include <CUnit/Basic.h>
#include <string.h>

#include "reported_picks.h"

enum
{
  EXPERTS = 3,
};

static bt_context_t *ctx;
static bt_reported_picks_t reported;
static uint32_t deltas[EXPERTS];

static void
report_counts (int64_t started_ms, int64_t epoch, int64_t first, int64_t second, int64_t third)
{
  int64_t counts[EXPERTS] = { first, second, third };
  bt_engine_picks_t picks = { started_ms, epoch, counts, EXPERTS };

  memset (deltas, 0xff, sizeof deltas);
  bt_count_new_picks (ctx, &reported, &picks, deltas);
}

static void
expect_deltas (uint32_t first, uint32_t second, uint32_t third)
{
  CU_ASSERT_EQUAL (deltas[0], first);
  CU_ASSERT_EQUAL (deltas[1], second);
  CU_ASSERT_EQUAL (deltas[2], third);
}

static void
test_differences_are_reported (void)
{
  report_counts (100, 1, 5, 6, 7);
  expect_deltas (0, 0, 0);
  report_counts (100, 1, 6, 6, 9);
  expect_deltas (1, 0, 2);
  bt_clear_reported_picks (ctx, &reported);
}

/* An engine restarts under its id and soon has higher counts for some experts than before. The
 * differences would look like demand that never existed, and experts would be moved for it. */
static void
test_restart_resets_counts (void)
{
  report_counts (100, 1, 5, 6, 7);
  report_counts (900, 1, 50, 60, 70);
  expect_deltas (0, 0, 0);
  report_counts (900, 1, 51, 60, 72);
  expect_deltas (1, 0, 2);
  bt_clear_reported_picks (ctx, &reported);
}

/* An engine with older software does not report its start time. One count that decreased reveals
 * the restart, and the differences of the other counts must not be reported either. */
static void
test_lower_count_is_a_restart (void)
{
  report_counts (0, 1, 5, 6, 7);
  report_counts (0, 1, 50, 2, 70);
  expect_deltas (0, 0, 0);
  report_counts (0, 1, 50, 3, 71);
  expect_deltas (0, 1, 1);
  bt_clear_reported_picks (ctx, &reported);
}

static void
test_new_epoch_or_size_resets_counts (void)
{
  int64_t counts[] = { 9, 9 };
  bt_engine_picks_t picks = { 100, 2, counts, 2 };

  report_counts (100, 1, 5, 6, 7);
  report_counts (100, 2, 6, 7, 8);
  expect_deltas (0, 0, 0);
  bt_count_new_picks (ctx, &reported, &picks, deltas);
  CU_ASSERT_EQUAL (deltas[0] + deltas[1], 0);
  report_counts (100, 2, 6, 7, 8);
  expect_deltas (0, 0, 0);
  bt_clear_reported_picks (ctx, &reported);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("reported picks", NULL, NULL);
  CU_ADD_TEST (suite, test_differences_are_reported);
  CU_ADD_TEST (suite, test_restart_resets_counts);
  CU_ADD_TEST (suite, test_lower_count_is_a_restart);
  CU_ADD_TEST (suite, test_new_epoch_or_size_resets_counts);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
