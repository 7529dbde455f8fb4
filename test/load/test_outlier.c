#include <CUnit/Basic.h>

#include "bilberrytray/load/outlier.h"

static const int64_t peers_ms = 100;

static bt_outlier_options_t options;

static void
fail_until_out (bt_outlier_t *outlier, int64_t now_ms)
{
  while (bt_record_outlier_failure (outlier, &options) != BT_OUTLIER_OUT)
    continue;
  bt_take_out_outlier (outlier, &options, now_ms);
}

static void
test_only_failures_in_a_row_take_out (void)
{
  bt_outlier_t outlier = { 0 };

  for (int32_t i = 0; i < 20; i++)
    {
      CU_ASSERT_EQUAL (bt_record_outlier_failure (&outlier, &options), BT_OUTLIER_NONE);
      CU_ASSERT_EQUAL (bt_record_outlier_failure (&outlier, &options), BT_OUTLIER_NONE);
      bt_record_outlier_answer (&outlier, &options, peers_ms, peers_ms);
    }
  bt_record_outlier_failure (&outlier, &options);
  bt_record_outlier_failure (&outlier, &options);
  CU_ASSERT_EQUAL (bt_record_outlier_failure (&outlier, &options), BT_OUTLIER_OUT);
}

static void
test_slow_answers_take_out (void)
{
  bt_outlier_t outlier = { 0 };

  for (int32_t i = 1; i < options.slow_answers; i++)
    CU_ASSERT_EQUAL (bt_record_outlier_answer (&outlier, &options, 4 * peers_ms, peers_ms),
                     BT_OUTLIER_NONE);
  CU_ASSERT_EQUAL (bt_record_outlier_answer (&outlier, &options, 4 * peers_ms, peers_ms),
                   BT_OUTLIER_OUT);
  CU_ASSERT_EQUAL (bt_record_outlier_answer (&outlier, &options, 9 * peers_ms, 0), BT_OUTLIER_NONE);
}

/* An engine hangs, is taken out, and is given its whole work on its return, while it still hangs:
 * each return costs a slot's worth of callers their time. Cause: in or out with nothing between. */
static void
test_return_is_gentle (void)
{
  bt_outlier_t outlier = { 0 };
  int32_t last = 0;

  fail_until_out (&outlier, 0);
  CU_ASSERT_TRUE (bt_is_outlier (&outlier, &options, options.out_ms - 1));
  CU_ASSERT_EQUAL (bt_get_outlier_share (&outlier), 0);
  CU_ASSERT_FALSE (bt_is_outlier (&outlier, &options, options.out_ms));
  CU_ASSERT_EQUAL (bt_get_outlier_share (&outlier), options.probe_percent);
  for (int32_t i = 0; i < 20; i++)
    {
      if (bt_record_outlier_answer (&outlier, &options, peers_ms, peers_ms) == BT_OUTLIER_WHOLE)
        break;
      CU_ASSERT (bt_get_outlier_share (&outlier) > last);
      CU_ASSERT (bt_get_outlier_share (&outlier) < 100);
      last = bt_get_outlier_share (&outlier);
    }
  CU_ASSERT_EQUAL (bt_get_outlier_share (&outlier), 100);
}

/* A flapping endpoint answers its first probe and fails the next ones, again and again. Each time
 * it would cost three more failures. Cause: the record starts anew with each return. */
static void
test_flapping_costs_one_failure_and_longer_times (void)
{
  bt_outlier_t outlier = { 0 };
  int64_t now_ms = 0;
  int64_t last_ms = 0;

  fail_until_out (&outlier, now_ms);
  for (int32_t i = 0; i < 12; i++)
    {
      CU_ASSERT (outlier.out_ms >= last_ms);
      last_ms = outlier.out_ms;
      now_ms = outlier.out_until_ms;
      CU_ASSERT_FALSE (bt_is_outlier (&outlier, &options, now_ms));
      bt_record_outlier_answer (&outlier, &options, peers_ms, peers_ms);
      CU_ASSERT_EQUAL (bt_record_outlier_failure (&outlier, &options), BT_OUTLIER_OUT);
      bt_take_out_outlier (&outlier, &options, now_ms);
    }
  CU_ASSERT_EQUAL (last_ms, options.max_out_ms);
}

static void
test_at_most_a_share_is_out (void)
{
  CU_ASSERT_TRUE (bt_allow_outlier (&options, 7, 16));
  CU_ASSERT_FALSE (bt_allow_outlier (&options, 8, 16));
  CU_ASSERT_TRUE (bt_allow_outlier (&options, 0, 3));
  CU_ASSERT_FALSE (bt_allow_outlier (&options, 1, 3));
  CU_ASSERT_FALSE (bt_allow_outlier (&options, 0, 1));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  bt_default_outlier_options (&options);
  CU_initialize_registry ();
  suite = CU_add_suite ("outlier", NULL, NULL);
  CU_ADD_TEST (suite, test_only_failures_in_a_row_take_out);
  CU_ADD_TEST (suite, test_slow_answers_take_out);
  CU_ADD_TEST (suite, test_return_is_gentle);
  CU_ADD_TEST (suite, test_flapping_costs_one_failure_and_longer_times);
  CU_ADD_TEST (suite, test_at_most_a_share_is_out);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
