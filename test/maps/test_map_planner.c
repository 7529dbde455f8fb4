#include <math.h>

#include <CUnit/Basic.h>

#include "bilberrytray/base.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/maps/map_planner.h"

enum
{
  LAYERS = 2,
  EXPERTS = 16,
  RANKS = 4,
  SLOTS = 5,
  NOW_MS = 100000,
};

/** One planning problem. */
typedef struct fixture
{
  bt_context_t *ctx;
  bt_expert_map_t *map;
  bt_expert_load_t *load;
  bt_map_history_t *history;
  bt_map_input_t input;
} fixture_t;

/* Starts with an even load and one hot expert in layer 0. */
static fixture_t
start (double hot)
{
  fixture_t fixture = { bt_new_context () };
  bt_map_shape_t shape = { LAYERS, EXPERTS, RANKS };

  fixture.map = bt_new_block_expert_map (fixture.ctx, shape, NULL);
  fixture.load = bt_new_expert_load (fixture.ctx, LAYERS, EXPERTS, 1000);
  fixture.history = bt_new_map_history (fixture.ctx, shape);
  for (int32_t layer = 0; layer < LAYERS; layer++)
    for (int32_t expert = 0; expert < EXPERTS; expert++)
      bt_add_expert_load (fixture.load, layer, expert, 100);
  bt_add_expert_load (fixture.load, 0, 5, hot);
  fixture.input = (bt_map_input_t){ fixture.map,
                                    fixture.load,
                                    fixture.history,
                                    { 1.0, 1.0, 60000, 6, 1.5, 30000 },
                                    { SLOTS, 10000000, 50, 0, 0.6, 0 },
                                    NOW_MS };
  return fixture;
}

static void
finish (fixture_t *fixture)
{
  bt_drop_map_history (fixture->ctx, fixture->history);
  bt_drop_expert_load (fixture->ctx, fixture->load);
  bt_drop_expert_map (fixture->ctx, fixture->map);
  bt_drop_context (fixture->ctx);
}

static void
check_limits (const bt_map_plan_t *plan)
{
  for (int32_t layer = 0; layer < LAYERS; layer++)
    {
      for (int32_t rank = 0; rank < RANKS; rank++)
        CU_ASSERT_TRUE (bt_count_map_slots (plan->next, layer, rank) <= SLOTS);
      for (int32_t expert = 0; expert < EXPERTS; expert++)
        CU_ASSERT_NOT_EQUAL (bt_count_ranks (bt_get_map_ranks (plan->next, layer, expert)), 0);
    }
}

static void
test_hot_expert_is_replicated (void)
{
  fixture_t fixture = start (400);
  bt_map_plan_t *plan = bt_plan_map (fixture.ctx, bt_get_cost_benefit_planner (), &fixture.input);

  CU_ASSERT_TRUE (plan->move_count > 0);
  CU_ASSERT_TRUE (bt_count_ranks (bt_get_map_ranks (plan->next, 0, 5)) > 1);
  CU_ASSERT_TRUE (plan->skew_after < plan->skew_before);
  CU_ASSERT_DOUBLE_EQUAL (plan->skew_after, bt_predict_map_skew (plan->next, fixture.load, NULL),
                          1e-9);
  CU_ASSERT_EQUAL (plan->moved_bytes, bt_count_map_moves (fixture.map, plan->next)
                                          * fixture.input.limits.expert_bytes);
  for (int32_t i = 0; i < plan->move_count; i++)
    CU_ASSERT_EQUAL (plan->moves[i].layer, 0);
  check_limits (plan);
  bt_drop_map_plan (fixture.ctx, plan);
  finish (&fixture);
}

/* One rank's engine has become four times as slow, and every pass of the group waits for it. Its
 * experts must move to the other ranks, which then take a little longer, so that passes become
 * shorter for all. */
static void
test_slow_rank_is_relieved (void)
{
  static const double paces[RANKS] = { 1, 4, 1, 1 };
  fixture_t fixture = start (0);
  bt_map_plan_t *plan;

  fixture.input.paces = paces;
  plan = bt_plan_map (fixture.ctx, bt_get_cost_benefit_planner (), &fixture.input);
  check_limits (plan);
  CU_ASSERT (plan->skew_after < plan->skew_before / 2);
  CU_ASSERT (bt_count_map_slots (plan->next, 0, 1) < bt_count_map_slots (plan->next, 0, 0));
  bt_drop_map_plan (fixture.ctx, plan);
  finish (&fixture);
}

static void
test_nothing_moves_unless_it_pays (void)
{
  fixture_t fixture = start (400);
  bt_map_plan_t *plan;

  fixture.input.weights.horizon_ms = 1;
  plan = bt_plan_map (fixture.ctx, bt_get_cost_benefit_planner (), &fixture.input);
  CU_ASSERT_EQUAL (plan->move_count, 0);
  CU_ASSERT_EQUAL (bt_count_map_moves (fixture.map, plan->next), 0);
  bt_drop_map_plan (fixture.ctx, plan);
  fixture.input.weights.horizon_ms = 60000;
  fixture.input.limits.held_steps_per_round = 100000;
  plan = bt_plan_map (fixture.ctx, bt_get_cost_benefit_planner (), &fixture.input);
  CU_ASSERT_EQUAL (plan->move_count, 0);
  bt_drop_map_plan (fixture.ctx, plan);
  finish (&fixture);
}

static void
test_round_bytes_are_limited (void)
{
  fixture_t fixture = start (400);
  bt_map_plan_t *plan;

  bt_add_expert_load (fixture.load, 1, 9, 900);
  fixture.input.limits.round_bytes = fixture.input.limits.expert_bytes;
  plan = bt_plan_map (fixture.ctx, bt_get_cost_benefit_planner (), &fixture.input);
  CU_ASSERT_TRUE (plan->move_count > 0);
  for (int32_t i = 1; i < plan->move_count; i++)
    CU_ASSERT_EQUAL (plan->moves[i].layer, plan->moves[0].layer);
  bt_drop_map_plan (fixture.ctx, plan);
  finish (&fixture);
}

/* Guards against two maps that alternate while the load fluctuates: an expert moves away and, with
 * the next report, back. The minimum stay keeps recently moved replicas in place. */
static void
test_recent_moves_stay (void)
{
  fixture_t fixture = start (400);
  bt_map_plan_t *plan = bt_plan_map (fixture.ctx, bt_get_cost_benefit_planner (), &fixture.input);
  bt_map_plan_t *again;

  bt_record_map_change (fixture.history, fixture.map, plan->next, NOW_MS);
  fixture.input.current = plan->next;
  bt_add_expert_load (fixture.load, 0, 5, -400);
  bt_add_expert_load (fixture.load, 0, 9, 700);
  fixture.input.now_ms = NOW_MS + 1000;
  again = bt_plan_map (fixture.ctx, bt_get_cost_benefit_planner (), &fixture.input);
  for (int32_t rank = 0; rank < RANKS; rank++)
    CU_ASSERT_TRUE (!bt_is_map_holder (plan->next, 0, 5, rank)
                    || bt_is_map_holder (again->next, 0, 5, rank));
  bt_drop_map_plan (fixture.ctx, again);
  bt_drop_map_plan (fixture.ctx, plan);
  finish (&fixture);
}

static void
test_baselines (void)
{
  fixture_t fixture = start (400);
  bt_map_plan_t *unchanged = bt_plan_map (fixture.ctx, bt_get_static_planner (), &fixture.input);
  bt_map_plan_t *full = bt_plan_map (fixture.ctx, bt_get_full_planner (), &fixture.input);

  CU_ASSERT_EQUAL (unchanged->move_count, 0);
  CU_ASSERT_TRUE (full->skew_after < 1.1);
  check_limits (full);
  bt_drop_map_plan (fixture.ctx, unchanged);
  bt_drop_map_plan (fixture.ctx, full);
  finish (&fixture);
}

static void
test_no_load_and_no_slots (void)
{
  fixture_t fixture = start (0);
  bt_map_plan_t *plan;

  fixture.input.limits.slots = 1;
  plan = bt_plan_map (fixture.ctx, bt_get_full_planner (), &fixture.input);
  CU_ASSERT_EQUAL (plan->move_count, 0);
  bt_drop_map_plan (fixture.ctx, plan);
  bt_drop_expert_load (fixture.ctx, fixture.load);
  fixture.load = bt_new_expert_load (fixture.ctx, LAYERS, EXPERTS, 1000);
  fixture.input.load = fixture.load;
  plan = bt_plan_map (fixture.ctx, bt_get_cost_benefit_planner (), &fixture.input);
  CU_ASSERT_EQUAL (plan->move_count, 0);
  CU_ASSERT_DOUBLE_EQUAL (plan->skew_after, 1.0, 1e-9);
  bt_drop_map_plan (fixture.ctx, plan);
  finish (&fixture);
}

/* Draws loads as a group has them after a jump: a few experts have most of the load. */
static void
draw_loads (fixture_t *fixture, uint64_t seed, double spread)
{
  bt_random_t random;

  bt_seed_random (&random, seed);
  bt_drop_expert_load (fixture->ctx, fixture->load);
  fixture->load = bt_new_expert_load (fixture->ctx, LAYERS, EXPERTS, 1000);
  for (int32_t layer = 0; layer < LAYERS; layer++)
    for (int32_t expert = 0; expert < EXPERTS; expert++)
      bt_add_expert_load (fixture->load, layer, expert,
                          100 * exp (spread * (bt_random_unit (&random) - 0.5)));
  fixture->input.load = fixture->load;
}

/* Returns the largest number of experts that one rank has to copy. */
static int32_t
get_max_copies (const bt_map_plan_t *plan)
{
  int32_t copies[RANKS] = { 0 };
  int32_t max = 0;

  for (int32_t i = 0; i < plan->move_count; i++)
    if (plan->moves[i].add && ++copies[plan->moves[i].rank] > max)
      max = copies[plan->moves[i].rank];
  return max;
}

static bt_map_plan_t *
plan_round (fixture_t *fixture, double copy_ms, double round_ms)
{
  fixture->input.limits.copy_ms = copy_ms;
  fixture->input.limits.round_ms = round_ms;
  return bt_plan_map (fixture->ctx, bt_get_round_planner (), &fixture->input);
}

/* Guards against rounds that copy for so long that demand has moved again, while callers' streams
 * stutter for seconds. Where a copy takes long, a round has only the few copies with the highest
 * benefit; where copies are fast, it has all of them. */
static void
test_rounds_are_short_where_copies_take_long (void)
{
  fixture_t fixture = start (0);
  bt_map_plan_t *slow;
  bt_map_plan_t *quick;

  draw_loads (&fixture, 7, 4);
  slow = plan_round (&fixture, 150, 50);
  quick = plan_round (&fixture, 1, 1000);
  CU_ASSERT_EQUAL (get_max_copies (slow), 1);
  CU_ASSERT_TRUE (get_max_copies (quick) > 1);
  CU_ASSERT_TRUE (slow->skew_after < slow->skew_before);
  CU_ASSERT_TRUE (quick->skew_after < slow->skew_after);
  check_limits (slow);
  check_limits (quick);
  bt_drop_map_plan (fixture.ctx, slow);
  bt_drop_map_plan (fixture.ctx, quick);
  finish (&fixture);
}

static void
test_round_limits_new_replicas_per_rank (void)
{
  fixture_t fixture = start (0);
  bt_map_plan_t *plan;

  draw_loads (&fixture, 11, 4);
  fixture.input.limits.max_new_replicas = 1;
  plan = plan_round (&fixture, 1, 1000);
  for (int32_t layer = 0; layer < LAYERS; layer++)
    for (int32_t rank = 0; rank < RANKS; rank++)
      {
        int32_t adds = 0;

        for (int32_t i = 0; i < plan->move_count; i++)
          adds +=
              plan->moves[i].add && plan->moves[i].layer == layer && plan->moves[i].rank == rank;
        CU_ASSERT_TRUE (adds <= 1);
      }
  bt_drop_map_plan (fixture.ctx, plan);
  finish (&fixture);
}

/* Plans for a small random group whose map follows demand that jumps at each step. */
static void
plan_random_demand (bt_context_t *ctx, uint64_t seed)
{
  enum
  {
    STEPS = 20,
  };
  bt_map_shape_t shape = { .layers = 1 };
  bt_map_input_t input = { .weights = { 1, 0, 3000, 0, 1.2, 0 },
                           .limits = { .expert_bytes = 1700000000,
                                       .move_us_per_mb = 2,
                                       .expert_share = 0.85,
                                       .copy_ms = 148,
                                       .round_ms = 200,
                                       .max_new_replicas = 4 } };
  double paces[BT_MAX_RANKS];
  bt_expert_map_t *map;
  bt_random_t random;
  double spread;

  bt_seed_random (&random, seed);
  shape.ranks = 2 + (int32_t)bt_random_below (&random, 7);
  shape.experts = shape.ranks * (1 + (int32_t)bt_random_below (&random, 8));
  input.limits.slots = shape.experts / shape.ranks + 1 + (int32_t)bt_random_below (&random, 4);
  spread = 2 + 10 * bt_random_unit (&random);
  input.weights.cost_weight = exp (6 * bt_random_unit (&random) - 3);
  map = bt_new_block_expert_map (ctx, shape, NULL);
  for (int32_t rank = 0; rank < shape.ranks; rank++)
    paces[rank] = bt_random_below (&random, 4) == 0 ? 1 + 4 * bt_random_unit (&random) : 1;
  input.paces = paces;
  for (int32_t step = 0; step < STEPS; step++)
    {
      bt_expert_load_t *load = bt_new_expert_load (ctx, shape.layers, shape.experts, 1000);
      bt_map_plan_t *plan;

      for (int32_t expert = 0; expert < shape.experts; expert++)
        bt_add_expert_load (load, 0, expert, 100 * exp (spread * (bt_random_unit (&random) - 0.5)));
      input.current = map;
      input.load = load;
      plan = bt_plan_map (ctx, bt_get_round_planner (), &input);
      CU_ASSERT_TRUE (plan->skew_after <= plan->skew_before + 1e-9);
      bt_drop_expert_map (ctx, map);
      map = bt_copy_expert_map (ctx, plan->next);
      bt_drop_map_plan (ctx, plan);
      bt_drop_expert_load (ctx, load);
    }
  bt_drop_expert_map (ctx, map);
}

/* Guards against a plan that never terminates, which blocks its process, so that all requests of
 * one entry instance end unanswered. The value of a transfer falls with the busiest rank's load, so
 * a change and its reversal can both look like a gain. */
static void
test_plans_end_where_changes_undo_each_other (void)
{
  enum
  {
    SEEDS = 340,
  };
  bt_context_t *ctx = bt_new_context ();

  for (uint64_t seed = 1; seed < SEEDS; seed++)
    plan_random_demand (ctx, seed);
  bt_drop_context (ctx);
}

/* The busiest rank of a group of 192 was at three times the mean load all day, because the group
 * had more ranks than a plan could handle. */
static void
test_large_groups_are_planned (void)
{
  static const int32_t ranks[] = { 130, 192, 513 };
  bt_context_t *ctx = bt_new_context ();

  for (size_t i = 0; i < sizeof ranks / sizeof ranks[0]; i++)
    {
      bt_map_shape_t shape = { 2, 600, ranks[i] };
      bt_map_input_t input = { .weights = { 1, 1, 3000, 0, 1.2, 0 },
                               .limits = { .expert_bytes = 440000000,
                                           .move_us_per_mb = 1,
                                           .expert_share = 0.85,
                                           .copy_ms = 20,
                                           .round_ms = 100,
                                           .max_new_replicas = 2 } };
      bt_expert_map_t *map = bt_new_block_expert_map (ctx, shape, NULL);
      bt_expert_load_t *load = bt_new_expert_load (ctx, shape.layers, shape.experts, 1000);
      bt_map_plan_t *plan;

      input.limits.slots = shape.experts / ranks[i] + 2;
      input.current = map;
      input.load = load;
      for (int32_t expert = 0; expert < shape.experts; expert++)
        {
          bt_add_expert_load (load, 0, expert, 1000.0 / (1 + expert * 7 % shape.experts));
          bt_add_expert_load (load, 1, expert, 1000.0 / (1 + expert * 11 % shape.experts));
        }
      plan = bt_plan_map (ctx, bt_get_round_planner (), &input);
      CU_ASSERT_TRUE (plan->skew_after < plan->skew_before / 2);
      for (int32_t rank = 0; rank < ranks[i]; rank++)
        CU_ASSERT_TRUE (bt_count_map_slots (plan->next, 0, rank) <= input.limits.slots);
      bt_drop_map_plan (ctx, plan);
      bt_drop_expert_load (ctx, load);
      bt_drop_expert_map (ctx, map);
    }
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("map planner", NULL, NULL);
  CU_ADD_TEST (suite, test_hot_expert_is_replicated);
  CU_ADD_TEST (suite, test_slow_rank_is_relieved);
  CU_ADD_TEST (suite, test_nothing_moves_unless_it_pays);
  CU_ADD_TEST (suite, test_round_bytes_are_limited);
  CU_ADD_TEST (suite, test_recent_moves_stay);
  CU_ADD_TEST (suite, test_baselines);
  CU_ADD_TEST (suite, test_no_load_and_no_slots);
  CU_ADD_TEST (suite, test_rounds_are_short_where_copies_take_long);
  CU_ADD_TEST (suite, test_round_limits_new_replicas_per_rank);
  CU_ADD_TEST (suite, test_plans_end_where_changes_undo_each_other);
  CU_ADD_TEST (suite, test_large_groups_are_planned);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
