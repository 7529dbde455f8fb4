#include <CUnit/Basic.h>

#include "bilberrytray/base.h"
#include "bilberrytray/maps/copy_price.h"

enum
{
  RANKS = 4,
  LIMIT = 10,
  REPORT_MS = 100,
};

/* Reports the same number of running requests from all ranks for a while. */
static int64_t
report (bt_copy_price_t *price, int32_t running, int64_t from_ms, int64_t for_ms)
{
  for (int64_t now_ms = from_ms; now_ms < from_ms + for_ms; now_ms += REPORT_MS)
    for (int32_t rank = 0; rank < RANKS; rank++)
      bt_record_rank_running (price, rank, running, LIMIT, now_ms);
  return from_ms + for_ms;
}

static void
test_copies_cost_less_in_a_full_group (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_copy_price_t *price = bt_new_copy_price (ctx, RANKS);
  int64_t now_ms = report (price, 3, 1000, 5000);
  double empty = bt_get_copy_weight (price);
  double half;

  CU_ASSERT_DOUBLE_EQUAL (bt_get_group_fullness (price), 0.3, 0.01);
  now_ms = report (price, 7, now_ms, 5000);
  half = bt_get_copy_weight (price);
  CU_ASSERT_TRUE (half < empty);
  now_ms = report (price, 10, now_ms, 5000);
  CU_ASSERT_TRUE (bt_get_copy_weight (price) < half);
  CU_ASSERT_TRUE (bt_get_copy_weight (price) > 0);
  report (price, 3, now_ms, 10000);
  CU_ASSERT_DOUBLE_EQUAL (bt_get_copy_weight (price), empty, empty / 100);
  bt_drop_copy_price (ctx, price);
  bt_drop_context (ctx);
}

/* A full group was empty for the one pass in which the plan was made. With the count of that moment
 * copies have a high cost weight, the plan leaves the busiest rank unchanged, and callers' streams
 * stay slow for seconds after demand has shifted. */
static void
test_one_empty_pass_does_not_raise_copy_cost (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_copy_price_t *price = bt_new_copy_price (ctx, RANKS);
  int64_t now_ms = report (price, 10, 1000, 5000);
  double full = bt_get_copy_weight (price);

  report (price, 4, now_ms, REPORT_MS);
  CU_ASSERT_TRUE (bt_get_copy_weight (price) < full * 1.5);
  bt_drop_copy_price (ctx, price);
  bt_drop_context (ctx);
}

static void
test_invalid_reports_are_ignored (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_copy_price_t *price = bt_new_copy_price (ctx, RANKS);

  report (price, 5, 1000, 5000);
  bt_record_rank_running (price, -1, 10, LIMIT, 6000);
  bt_record_rank_running (price, RANKS, 10, LIMIT, 6000);
  bt_record_rank_running (price, 0, 10, 0, 6000);
  CU_ASSERT_DOUBLE_EQUAL (bt_get_group_fullness (price), 0.5, 0.01);
  bt_drop_copy_price (ctx, price);
  bt_drop_copy_price (ctx, NULL);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("copy price", NULL, NULL);
  CU_ADD_TEST (suite, test_copies_cost_less_in_a_full_group);
  CU_ADD_TEST (suite, test_one_empty_pass_does_not_raise_copy_cost);
  CU_ADD_TEST (suite, test_invalid_reports_are_ignored);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
