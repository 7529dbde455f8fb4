#include <CUnit/Basic.h>

#include "bilberrytray/load/outlier.h"

static const int64_t peers_ms = 100;

static bt_outlier_options_t options;

static void
fail_until_ejected (bt_outlier_t *outlier, int64_t now_ms)
{
  while (bt_record_outlier_failure (outlier, &options) != BT_OUTLIER_EJECT)
    continue;
  bt_eject_outlier (outlier, &options, now_ms);
}

static void
test_only_consecutive_failures_eject (void)
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
  CU_ASSERT_EQUAL (bt_record_outlier_failure (&outlier, &options), BT_OUTLIER_EJECT);
}

static void
test_slow_answers_eject (void)
{
  bt_outlier_t outlier = { 0 };

  for (int32_t i = 1; i < options.slow_answers; i++)
    CU_ASSERT_EQUAL (bt_record_outlier_answer (&outlier, &options, 4 * peers_ms, peers_ms),
                     BT_OUTLIER_NONE);
  CU_ASSERT_EQUAL (bt_record_outlier_answer (&outlier, &options, 4 * peers_ms, peers_ms),
                   BT_OUTLIER_EJECT);
  CU_ASSERT_EQUAL (bt_record_outlier_answer (&outlier, &options, 9 * peers_ms, 0), BT_OUTLIER_NONE);
}

/* Guards against an engine that still hangs after its ejection and gets its full share of work at
 * once: it must start with a small share that grows with each answer. */
static void
test_share_grows_after_ejection (void)
{
  bt_outlier_t outlier = { 0 };
  int32_t last = 0;

  fail_until_ejected (&outlier, 0);
  CU_ASSERT_TRUE (bt_is_outlier_ejected (&outlier, &options, options.ejection_ms - 1));
  CU_ASSERT_EQUAL (bt_get_outlier_share (&outlier), 0);
  CU_ASSERT_FALSE (bt_is_outlier_ejected (&outlier, &options, options.ejection_ms));
  CU_ASSERT_EQUAL (bt_get_outlier_share (&outlier), options.probe_percent);
  for (int32_t i = 0; i < 20; i++)
    {
      if (bt_record_outlier_answer (&outlier, &options, peers_ms, peers_ms) == BT_OUTLIER_RECOVERED)
        break;
      CU_ASSERT (bt_get_outlier_share (&outlier) > last);
      CU_ASSERT (bt_get_outlier_share (&outlier) < 100);
      last = bt_get_outlier_share (&outlier);
    }
  CU_ASSERT_EQUAL (bt_get_outlier_share (&outlier), 100);
}

/* Guards against a flapping endpoint that answers its first probe and fails the next ones: if its
 * record were reset after each ejection, each time would cost three more failures. */
static void
test_flapping_costs_one_failure_and_longer_ejections (void)
{
  bt_outlier_t outlier = { 0 };
  int64_t now_ms = 0;
  int64_t last_ms = 0;

  fail_until_ejected (&outlier, now_ms);
  for (int32_t i = 0; i < 12; i++)
    {
      CU_ASSERT (outlier.ejection_ms >= last_ms);
      last_ms = outlier.ejection_ms;
      now_ms = outlier.ejected_until_ms;
      CU_ASSERT_FALSE (bt_is_outlier_ejected (&outlier, &options, now_ms));
      bt_record_outlier_answer (&outlier, &options, peers_ms, peers_ms);
      CU_ASSERT_EQUAL (bt_record_outlier_failure (&outlier, &options), BT_OUTLIER_EJECT);
      bt_eject_outlier (&outlier, &options, now_ms);
    }
  CU_ASSERT_EQUAL (last_ms, options.max_ejection_ms);
}

static void
test_ejected_part_is_bounded (void)
{
  CU_ASSERT_TRUE (bt_may_eject_outlier (&options, 7, 16));
  CU_ASSERT_FALSE (bt_may_eject_outlier (&options, 8, 16));
  CU_ASSERT_TRUE (bt_may_eject_outlier (&options, 0, 3));
  CU_ASSERT_FALSE (bt_may_eject_outlier (&options, 1, 3));
  CU_ASSERT_FALSE (bt_may_eject_outlier (&options, 0, 1));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  bt_default_outlier_options (&options);
  CU_initialize_registry ();
  suite = CU_add_suite ("outlier", NULL, NULL);
  CU_ADD_TEST (suite, test_only_consecutive_failures_eject);
  CU_ADD_TEST (suite, test_slow_answers_eject);
  CU_ADD_TEST (suite, test_share_grows_after_ejection);
  CU_ADD_TEST (suite, test_flapping_costs_one_failure_and_longer_ejections);
  CU_ADD_TEST (suite, test_ejected_part_is_bounded);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
