#include <CUnit/Basic.h>

#include "bilberrytray/core/call_rate.h"

static const bt_call_rate_settings_t settings = {
  .calls_per_s = 10, .burst = 3, .backoff_first_ms = 100, .backoff_last_ms = 1000
};

static void
test_call_rate_is_bounded (void)
{
  bt_call_rate_t rate;
  int32_t taken = 0;

  bt_init_call_rate (&rate, &settings, 1, 0);
  for (int64_t now_ms = 0; now_ms < 10000; now_ms++)
    taken += bt_take_call (&rate, now_ms) == 0 ? 1 : 0;
  CU_ASSERT_EQUAL (taken, 102);
}

/* Guards against a process that was suspended for a year and may then make a year's calls at once:
 * the bucket holds one burst. */
static void
test_long_suspension_allows_one_burst (void)
{
  bt_call_rate_t rate;
  int64_t now_ms = 365LL * 86400 * 1000;
  int32_t taken = 0;

  bt_init_call_rate (&rate, &settings, 1, 0);
  while (bt_take_call (&rate, now_ms) == 0)
    taken++;
  CU_ASSERT_EQUAL (taken, 3);
  CU_ASSERT_TRUE (bt_take_call (&rate, now_ms) <= 100);
}

/* Guards against callers that failed together and retry together when the service returns: each
 * caller draws its wait from its own seed. */
static void
test_backoff_grows_and_is_randomised (void)
{
  int64_t waits[8];
  int32_t different = 0;

  for (uint64_t seed = 0; seed < 8; seed++)
    {
      bt_call_rate_t rate;

      bt_init_call_rate (&rate, &settings, seed, 0);
      bt_note_call_failure (&rate, 0);
      CU_ASSERT_TRUE (bt_take_call (&rate, 0) >= 50 && bt_take_call (&rate, 0) <= 100);
      for (int32_t i = 0; i < 100; i++)
        bt_note_call_failure (&rate, 0);
      waits[seed] = bt_take_call (&rate, 0);
      CU_ASSERT_TRUE (waits[seed] >= 500 && waits[seed] <= 1000);
      different += waits[seed] != waits[0] ? 1 : 0;
      bt_note_call_success (&rate);
      CU_ASSERT_EQUAL (bt_take_call (&rate, 1), 0);
    }
  CU_ASSERT_TRUE (different >= 6);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("call_rate", NULL, NULL);
  CU_ADD_TEST (suite, test_call_rate_is_bounded);
  CU_ADD_TEST (suite, test_long_suspension_allows_one_burst);
  CU_ADD_TEST (suite, test_backoff_grows_and_is_randomised);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
