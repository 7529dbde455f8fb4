/** @file
 * Runs loads on the emulator of a rank group and checks how many requests are served in time.
 */

#include <CUnit/Basic.h>

#include "bilberrytray/base.h"
#include "harness_group.h"

enum
{
  SEEDS = 3,
};

/* Eight ranks whose passes get much longer with each request, at a load close to their capacity. */
static bt_group_load_t
get_steep_load (void)
{
  return (bt_group_load_t){ .engine = { .slots = 12,
                                        .stride = 4,
                                        .step_ms = 4.55,
                                        .step_request_ms = 0.905,
                                        .read_tokens_per_ms = 61.4,
                                        .expert_sets = 6,
                                        .experts = 64,
                                        .places = 11,
                                        .spare_places = 4,
                                        .expert_mb = 1700,
                                        .link_mbps = 92000,
                                        .expert_share = 0.85 },
                            .ranks = 8,
                            .requests_per_s = 35,
                            .prompt_tokens = 800,
                            .events = 24,
                            .target_ms = 500,
                            .max_pause_ms = 120,
                            .duration_ms = 20000,
                            .skew = 1.5,
                            .shift_share = 0.6,
                            .shift_ms = 3000 };
}

static bt_group_result_t
run_load (const bt_group_load_t *load, const bt_group_variant_t *variant)
{
  bt_context_t *ctx = bt_new_context ();
  bt_group_result_t sum = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      bt_group_result_t result;

      bt_simulate_group (ctx, load, variant, seed, &result);
      CU_ASSERT_EQUAL (result.in_time + result.late + result.abandoned, result.requests);
      sum.requests += result.requests;
      sum.in_time += result.in_time;
      sum.late += result.late;
      sum.copies += result.copies;
    }
  bt_drop_context (ctx);
  return sum;
}

static double
get_in_time_share (const bt_group_result_t *result)
{
  return (double)result->in_time / result->requests;
}

/* Streams paused for seconds, because the map followed jumps in the demand for experts too slowly:
 * the counts still held the demand before the jump, and rounds lasted until every useful copy was
 * made. The shipped settings must serve more requests in time, with a jump every three seconds. */
static void
test_jumps_are_followed_in_time (void)
{
  bt_group_load_t load = get_steep_load ();
  bt_group_variant_t shipped = bt_get_shipped_group_variant ();
  bt_group_variant_t slow = shipped;
  bt_group_result_t with;
  bt_group_result_t without;

  load.shift = BT_SHIFT_JUMP;
  slow.maps.keep_past = true;
  slow.maps.planner = bt_get_cost_benefit_planner ();
  slow.maps.copy_weight = 20;
  with = run_load (&load, &shipped);
  without = run_load (&load, &slow);
  CU_ASSERT_TRUE (get_in_time_share (&with) > get_in_time_share (&without) + 0.1);
}

/* Streams paused too long when demand jumped every 2.3 s, about the duration of a stream: the group
 * filled up between two jumps, and the next jump delayed every running stream. With capacity
 * reserved for the next jump, as many requests are served, and most of them in time. */
static void
test_frequent_jumps_make_few_late (void)
{
  bt_group_load_t load = get_steep_load ();
  bt_group_variant_t shipped = bt_get_shipped_group_variant ();
  bt_group_result_t result;

  load.engine.slots = 10;
  load.engine.stride = 5;
  load.engine.step_request_ms = 1.09;
  load.engine.expert_sets = 12;
  load.engine.experts = 128;
  load.engine.places = 5;
  load.engine.spare_places = 2;
  load.engine.expert_mb = 420;
  load.ranks = 32;
  load.requests_per_s = 146;
  load.events = 19.4;
  load.max_pause_ms = 150;
  load.skew = 1;
  load.shift = BT_SHIFT_JUMP;
  load.shift_share = 0.65;
  load.shift_ms = 2300;
  result = run_load (&load, &shipped);
  CU_ASSERT_TRUE (result.in_time > result.late);
}

/* The handling of jumps must not delay requests under constant demand: hardly any is late. */
static void
test_constant_demand_is_served_in_time (void)
{
  bt_group_load_t load = get_steep_load ();
  bt_group_variant_t shipped = bt_get_shipped_group_variant ();
  bt_group_result_t result;

  load.shift = BT_SHIFT_NONE;
  result = run_load (&load, &shipped);
  CU_ASSERT_TRUE (get_in_time_share (&result) > 0.9);
}

/* A group that is half empty must not copy experts all the time: the copies take link bandwidth and
 * callers gain nothing. */
static void
test_half_empty_group_copies_less (void)
{
  bt_group_load_t load = get_steep_load ();
  bt_group_variant_t shipped = bt_get_shipped_group_variant ();
  bt_group_variant_t cheap = shipped;
  bt_group_result_t by_need;
  bt_group_result_t always;

  load.shift = BT_SHIFT_JUMP;
  load.requests_per_s = 15;
  cheap.maps.copy_weight = 5;
  by_need = run_load (&load, &shipped);
  always = run_load (&load, &cheap);
  CU_ASSERT_TRUE (by_need.copies < always.copies * 3 / 4);
  CU_ASSERT_TRUE (get_in_time_share (&by_need) > get_in_time_share (&always) - 0.02);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("group load", NULL, NULL);
  CU_ADD_TEST (suite, test_jumps_are_followed_in_time);
  CU_ADD_TEST (suite, test_frequent_jumps_make_few_late);
  CU_ADD_TEST (suite, test_constant_demand_is_served_in_time);
  CU_ADD_TEST (suite, test_half_empty_group_copies_less);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
