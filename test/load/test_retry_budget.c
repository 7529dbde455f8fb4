#include <CUnit/Basic.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/load/retry_budget.h"

/* Guards against unbounded retries after a third of the endpoints dies: the remaining ones would
 * get half as much work again, miss their deadlines and cause more retries. */
static void
test_retries_are_limited_to_a_share (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_retry_budget_options_t options;
  bt_retry_budget_t *budget;
  int32_t taken = 0;

  bt_default_retry_budget_options (&options);
  budget = bt_new_retry_budget (ctx, &options);
  for (int32_t i = 0; i < 10000; i++)
    {
      bt_record_attempt (budget);
      taken += bt_take_retry (ctx, budget, BT_RETRY_LINK_LOST) ? 1 : 0;
    }
  CU_ASSERT (taken <= 1000 + options.reserve);
  CU_ASSERT (taken >= 1000);
  bt_drop_retry_budget (ctx, budget);
  bt_drop_context (ctx);
}

static void
test_saved_retries_are_limited_to_the_reserve (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_retry_budget_options_t options = { .share_percent = 10, .reserve = 3, .initial = 3 };
  bt_retry_budget_t *budget = bt_new_retry_budget (ctx, &options);

  for (int32_t i = 0; i < 1000; i++)
    bt_record_attempt (budget);
  CU_ASSERT_EQUAL (bt_count_retries_left (budget), 3);
  for (int32_t i = 0; i < 3; i++)
    CU_ASSERT_TRUE (bt_take_retry (ctx, budget, BT_RETRY_HEDGE));
  CU_ASSERT_FALSE (bt_take_retry (ctx, budget, BT_RETRY_HEDGE));
  bt_drop_retry_budget (ctx, budget);
  bt_drop_context (ctx);
}

static void
test_retry_is_counted_only_if_allowed (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_retry_budget_options_t options = { .share_percent = 10,
                                        .reserve = BT_RETRY_COUNT,
                                        .initial = BT_RETRY_COUNT };
  bt_retry_budget_t *budget = bt_new_retry_budget (ctx, &options);

  for (int32_t round = 0; round < 2; round++)
    for (int32_t i = 0; i < BT_RETRY_COUNT; i++)
      CU_ASSERT_EQUAL (bt_take_retry (ctx, budget, (bt_retry_t)i), round == 0);
  for (int32_t i = 0; i < BT_RETRY_COUNT; i++)
    CU_ASSERT_EQUAL (
        bt_read_counter (bt_find_counter (ctx, BT_COUNTER, "bilberry_retries_total", "", "reason",
                                          bt_name_retry ((bt_retry_t)i))),
        1);
  bt_drop_retry_budget (ctx, budget);
  bt_drop_context (ctx);
}

static void
test_share_of_zero_allows_no_retries (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_retry_budget_options_t options = { .share_percent = 0, .reserve = 10 };
  bt_retry_budget_t *budget = bt_new_retry_budget (ctx, &options);

  bt_record_attempt (budget);
  CU_ASSERT_FALSE (bt_take_retry (ctx, budget, BT_RETRY_ENDPOINT_FULL));
  bt_drop_retry_budget (ctx, budget);
  bt_drop_context (ctx);
}

/* Simulates a fleet of gateways: each instance saves its reserve, is restarted and spends
 * everything. Returns the number of retries taken. */
static int64_t
spend_fleet (int64_t total, int32_t instances, int32_t requests)
{
  bt_context_t *ctx = bt_new_context ();
  bt_retry_budget_options_t options = { .share_percent = 15,
                                        .reserve = bt_divide_retry_reserve (total, instances),
                                        .initial = bt_divide_retry_reserve (total, instances) };
  int64_t taken = 0;

  for (int32_t i = 0; i < 2 * instances; i++)
    {
      bt_retry_budget_t *budget = bt_new_retry_budget (ctx, &options);

      /* The instances before the restart save their reserve before the counted window. */
      for (int32_t j = 0; i < instances && j < 1000; j++)
        bt_record_attempt (budget);
      for (int32_t j = 0; j < requests; j++)
        {
          bt_record_attempt (budget);
          while (bt_take_retry (ctx, budget, BT_RETRY_ENDPOINT_FULL))
            taken++;
        }
      bt_drop_retry_budget (ctx, budget);
    }
  bt_drop_context (ctx);
  return taken;
}

/* Guards against reserves of single instances that add up to more than a fleet may spend. */
static void
test_fleet_stays_within_total_budget (void)
{
  static const int32_t fleets[][2] = { { 90, 7 },   { 92, 8 },   { 230, 41 },
                                       { 240, 43 }, { 448, 98 }, { 1040, 432 } };

  for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    for (int32_t requests = 1; requests < 100; requests += 7)
      {
        int64_t total_requests = 2 * (int64_t)fleets[i][1] * requests;

        CU_ASSERT (spend_fleet (fleets[i][0], fleets[i][1], requests)
                   <= fleets[i][0] + total_requests / 5);
      }
}

static void
test_smaller_reserve_drops_saved_retries (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_retry_budget_options_t options = { .share_percent = 10, .reserve = 8, .initial = 8 };
  bt_retry_budget_t *budget = bt_new_retry_budget (ctx, &options);

  bt_set_retry_reserve (budget, 3);
  CU_ASSERT_EQUAL (bt_count_retries_left (budget), 3);
  bt_set_retry_reserve (budget, 8);
  CU_ASSERT_EQUAL (bt_count_retries_left (budget), 3);
  bt_drop_retry_budget (ctx, budget);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("retry budget", NULL, NULL);
  CU_ADD_TEST (suite, test_retries_are_limited_to_a_share);
  CU_ADD_TEST (suite, test_saved_retries_are_limited_to_the_reserve);
  CU_ADD_TEST (suite, test_retry_is_counted_only_if_allowed);
  CU_ADD_TEST (suite, test_share_of_zero_allows_no_retries);
  CU_ADD_TEST (suite, test_fleet_stays_within_total_budget);
  CU_ADD_TEST (suite, test_smaller_reserve_drops_saved_retries);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
