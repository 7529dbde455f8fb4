/** @file
 * Compares the map planners under drifting expert popularity: step-time skew and the cost of
 * moving experts. The run is seeded; except for the plan times, the table is the same on every
 * machine.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/maps/map_planner.h"
#include "drift.h"
#include "placement.h"
#include "rounds.h"

enum
{
  SEED = 20260601,
  RUN_MS = 1800000,
  TICK_MS = 1000,
  TICKS = RUN_MS / TICK_MS,
  INTERVAL_MS = 10000,
  LONG_INTERVAL_MS = 30000,
  HALF_LIFE_MS = 10000,
  STEP_MS = 6,
  STEPS_PER_TICK = TICK_MS / STEP_MS,
  TOKENS_PER_RANK = 128,
  EXPERTS_PER_TOKEN = 8,
  STORE_MB_PER_S = 2000,
  MOVE_US_PER_MB = 50,
  KB_PER_MB = 1000,
  PLAN_LAYERS = 60,
};

static const double expert_share = 0.6;
static const int64_t round_bytes = 10000000000;
static const double median = 0.5;
static const double tail = 0.99;

/** A rank group to simulate. */
typedef struct group
{
  const char *name;
  bt_map_shape_t shape;
  int32_t slots;
  int64_t expert_bytes;
} group_t;

static const group_t groups[] = {
  { "16 ranks, 128 experts, 24 layers", { 24, 128, 16 }, 10, 9437184 },
  { "32 ranks, 256 experts, 16 layers", { 16, 256, 32 }, 10, 44040192 },
};

enum
{
  GROUPS = sizeof groups / sizeof groups[0],
};

/** A planner with its settings. */
typedef struct variant
{
  const char *name;
  const bt_map_planner_t *planner;
  bt_map_weights_t weights;
  int64_t half_life_ms;
  int64_t interval_ms;
  bool instant; /**< Weights arrive without delay: the best case, not a real system. */
} variant_t;

/** Totals and samples of one run. */
typedef struct result
{
  double skew[TICKS];
  double skew_sum;
  int64_t moved_bytes;
  int32_t changes;
  double move_cost_ms;
  int64_t slowest_plan_us;
} result_t;

/** State of one run. */
typedef struct run
{
  bt_context_t *ctx;
  const group_t *group;
  const variant_t *variant;
  drift_t *drift;
  bt_random_t noise;
  bt_expert_map_t *map;
  bt_expert_map_t *staged; /**< NULL while no planned map is being staged. */
  int64_t ready_ms;
  bt_expert_load_t *load;
  bt_map_history_t *history;
  result_t *result;
} run_t;

static bt_map_limits_t
get_limits (const group_t *group)
{
  return (bt_map_limits_t){ group->slots, group->expert_bytes, MOVE_US_PER_MB,
                            round_bytes,  expert_share,        0 };
}

/* Returns the map that every run starts with, planned for the popularity at the start. */
static bt_expert_map_t *
pack_first_map (run_t *run)
{
  const group_t *group = run->group;
  bt_expert_load_t *load =
      bt_new_expert_load (run->ctx, group->shape.layers, group->shape.experts, 1);
  bt_map_input_t input = { 0 };
  bt_map_plan_t *plan;
  bt_expert_map_t *map;

  for (int32_t layer = 0; layer < group->shape.layers; layer++)
    for (int32_t expert = 0; expert < group->shape.experts; expert++)
      bt_add_expert_load (load, layer, expert, get_drift_share (run->drift, layer, expert));
  input.current = bt_new_block_expert_map (run->ctx, group->shape, NULL);
  input.load = load;
  input.limits = get_limits (group);
  plan = bt_plan_map (run->ctx, bt_get_full_planner (), &input);
  map = bt_copy_expert_map (run->ctx, plan->next);
  bt_drop_map_plan (run->ctx, plan);
  bt_drop_expert_map (run->ctx, (bt_expert_map_t *)input.current);
  bt_drop_expert_load (run->ctx, load);
  return map;
}

static void
start_run (run_t *run)
{
  const group_t *group = run->group;

  bt_seed_random (&run->noise, SEED + 1);
  run->map = pack_first_map (run);
  run->load = bt_new_expert_load (run->ctx, group->shape.layers, group->shape.experts,
                                  run->variant->half_life_ms);
  run->history = bt_new_map_history (run->ctx, group->shape);
}

static void
end_run (run_t *run)
{
  bt_drop_expert_map (run->ctx, run->map);
  bt_drop_expert_map (run->ctx, run->staged);
  bt_drop_expert_load (run->ctx, run->load);
  bt_drop_map_history (run->ctx, run->history);
}

/* Returns the skew of one step. The tokens of the step are drawn at random, so even a perfect map
 * has some skew. */
static double
sample_step (run_t *run)
{
  bt_map_shape_t shape = run->group->shape;
  double tokens = (double)shape.ranks * TOKENS_PER_RANK * EXPERTS_PER_TOKEN;
  double busiest_sum = 0;
  double total = 0;

  for (int32_t layer = 0; layer < shape.layers; layer++)
    {
      double load[BT_MAX_RANKS] = { 0 };
      double busiest = 0;

      for (int32_t expert = 0; expert < shape.experts; expert++)
        {
          bt_rank_set_t ranks = bt_get_map_ranks (run->map, layer, expert);
          double share =
              bt_draw_count (&run->noise, tokens * get_drift_share (run->drift, layer, expert))
              / bt_count_ranks (ranks);

          for (int32_t rank = bt_find_rank (ranks, 0); rank != BT_NO_RANK;
               rank = bt_find_rank (ranks, rank + 1))
            load[rank] += share;
        }
      for (int32_t rank = 0; rank < shape.ranks; rank++)
        {
          total += load[rank];
          busiest = load[rank] > busiest ? load[rank] : busiest;
        }
      busiest_sum += busiest;
    }
  return busiest_sum * shape.ranks / total;
}

/* Adds the load that the ranks report for the steps of one second. */
static void
report_loads (run_t *run, int64_t now_ms)
{
  bt_map_shape_t shape = run->group->shape;
  double tokens = (double)shape.ranks * TOKENS_PER_RANK * EXPERTS_PER_TOKEN * STEPS_PER_TICK;

  bt_decay_expert_load (run->load, now_ms);
  for (int32_t layer = 0; layer < shape.layers; layer++)
    for (int32_t expert = 0; expert < shape.experts; expert++)
      bt_add_expert_load (
          run->load, layer, expert,
          bt_draw_count (&run->noise, tokens * get_drift_share (run->drift, layer, expert)));
}

static void
plan_next (run_t *run, int64_t now_ms)
{
  result_t *result = run->result;
  bt_map_input_t input = {
    run->map, run->load, run->history, run->variant->weights, get_limits (run->group), now_ms
  };
  int64_t start_us = bt_read_monotonic_us ();
  bt_map_plan_t *plan = bt_plan_map (run->ctx, run->variant->planner, &input);
  int64_t plan_us = bt_read_monotonic_us () - start_us;

  if (plan_us > result->slowest_plan_us)
    result->slowest_plan_us = plan_us;
  if (plan->move_count > 0)
    {
      run->staged = bt_copy_expert_map (run->ctx, plan->next);
      run->ready_ms = now_ms;
      if (!run->variant->instant)
        run->ready_ms += plan->moved_bytes / ((int64_t)STORE_MB_PER_S * KB_PER_MB);
      result->moved_bytes += plan->moved_bytes;
      result->move_cost_ms += plan->cost_ms;
    }
  bt_drop_map_plan (run->ctx, plan);
}

static void
switch_map (run_t *run, int64_t now_ms)
{
  bt_record_map_change (run->history, run->map, run->staged, now_ms);
  bt_drop_expert_map (run->ctx, run->map);
  run->map = run->staged;
  run->staged = NULL;
  run->result->changes++;
}

static void
run_variant (bt_context_t *ctx,
             const group_t *group,
             drift_kind_t kind,
             const variant_t *variant,
             result_t *result)
{
  run_t run = { ctx, group, variant };

  memset (result, 0, sizeof *result);
  run.result = result;
  run.drift = new_drift (ctx, group->shape, kind, RUN_MS, SEED);
  start_run (&run);
  for (int32_t tick = 0; tick < TICKS; tick++)
    {
      int64_t now_ms = (int64_t)tick * TICK_MS;

      move_drift (run.drift, now_ms);
      if (run.staged != NULL && now_ms >= run.ready_ms)
        switch_map (&run, now_ms);
      result->skew[tick] = sample_step (&run);
      result->skew_sum += result->skew[tick];
      report_loads (&run, now_ms);
      if (tick > 0 && now_ms % variant->interval_ms == 0 && run.staged == NULL)
        plan_next (&run, now_ms);
    }
  end_run (&run);
  drop_drift (ctx, run.drift);
}

static int
compare_doubles (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}

static double
quantile (double *values, int32_t count, double at)
{
  qsort (values, (size_t)count, sizeof *values, compare_doubles);
  return values[(int32_t)(at * (count - 1))];
}

/* Prints a row of the table. "skew, s" is the time that the steps of the run took beyond balanced
 * steps, in seconds. */
static void
print_result (const char *name, result_t *result)
{
  double lost_s = (result->skew_sum - TICKS) * expert_share * TICK_MS / 1000.0;

  printf ("| %s | %.3f | %.3f | %.1f | %d | %.1f | %.1f | %.1f |\n", name,
          quantile (result->skew, TICKS, median), quantile (result->skew, TICKS, tail),
          (double)result->moved_bytes / 1e9, result->changes, lost_s, result->move_cost_ms / 1000.0,
          (double)result->slowest_plan_us / 1000.0);
}

/* Weights of the two deployments, as docs/OPERATING-maps.md lists them. */
static const bt_map_weights_t haiyun_weights = { 1.0, 0.5, 60000, STEP_MS, 1.5, 0 };
static const bt_map_weights_t association_weights = { 0.5, 1.0, 60000, STEP_MS, 2.0, 30000 };
static const bt_map_weights_t neutral_weights = { 1.0, 1.0, 1, 0, 1.0, 0 };

static void
print_drift_tables (bt_context_t *ctx)
{
  const bt_map_planner_t *full = bt_get_full_planner ();
  const bt_map_planner_t *paying = bt_get_cost_benefit_planner ();
  const variant_t variants[] = {
    { "static", bt_get_static_planner (), neutral_weights, HALF_LIFE_MS, INTERVAL_MS, false },
    { "full, 30 s", full, neutral_weights, HALF_LIFE_MS, LONG_INTERVAL_MS, false },
    { "full, 10 s", full, neutral_weights, HALF_LIFE_MS, INTERVAL_MS, false },
    { "full, no staging", full, neutral_weights, HALF_LIFE_MS, INTERVAL_MS, true },
    { "paying, Haiyun", paying, haiyun_weights, HALF_LIFE_MS, INTERVAL_MS, false },
    { "paying, assoc.", paying, association_weights, HALF_LIFE_MS, INTERVAL_MS, false },
  };
  static result_t result;

  for (int32_t g = 0; g < GROUPS; g++)
    for (int32_t kind = 0; kind < DRIFT_COUNT; kind++)
      {
        printf ("\n%s; %s\n\n", groups[g].name, name_drift (kind));
        printf ("| planner | p50 | p99 | moved GB | maps | skew, s | moving, s | plan, ms |\n");
        printf ("|---|---|---|---|---|---|---|---|\n");
        for (size_t w = 0; w < sizeof variants / sizeof variants[0]; w++)
          {
            run_variant (ctx, &groups[g], kind, &variants[w], &result);
            print_result (variants[w].name, &result);
          }
      }
}

/* Prints the skew by placement policy. Attention takes the part of a step that experts do not
 * take; the load of the experts is assumed to be balanced. */
static void
print_placement_table (void)
{
  static double skew[PLACE_TICKS - PLACE_WARM_UP_TICKS];
  const int32_t count = PLACE_TICKS - PLACE_WARM_UP_TICKS;

  printf ("\nRequests on 16 ranks, loads seen up to 500 ms late by 7 entries\n\n"
          "| placement | attention p50 | attention p99 | whole step p50 | whole step p99 |\n"
          "|---|---|---|---|---|\n");
  for (int32_t kind = 0; kind < PLACE_COUNT; kind++)
    {
      double median_skew;
      double tail_skew;

      simulate_placement (kind, skew);
      median_skew = quantile (skew, count, median);
      tail_skew = quantile (skew, count, tail);
      printf ("| %s | %.3f | %.3f | %.3f | %.3f |\n", name_placement (kind), median_skew, tail_skew,
              expert_share + (1 - expert_share) * median_skew,
              expert_share + (1 - expert_share) * tail_skew);
    }
}

static void
print_round_table (bt_context_t *ctx)
{
  static const uint64_t arm_steps[] = { 4, 6, 8, 12, 20, 50, 100 };
  static rounds_t rounds;

  printf ("\nRounds without faults on 16 ranks, 10 minutes, steps of 6 ms\n\n"
          "| steps ahead | rounds taken | dropped | steps | tries held |\n|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof arm_steps / sizeof arm_steps[0]; i++)
    {
      simulate_rounds (ctx, &rounds, arm_steps[i]);
      printf ("| %d | %d | %d | %lld | %lld |\n", (int)arm_steps[i], rounds.applied, rounds.dropped,
              (long long)rounds.group.steps, (long long)rounds.group.held);
    }
}

/* Prints the plan times of the largest group: for a full map after its loads have shifted, and for
 * the plan after that. */
static void
print_plan_time (bt_context_t *ctx)
{
  group_t group = { "", { PLAN_LAYERS, 256, 32 }, 10, 44040192 };
  variant_t variant = {
    "", bt_get_cost_benefit_planner (), haiyun_weights, HALF_LIFE_MS, INTERVAL_MS, true
  };
  static result_t result;
  run_t run = { ctx, &group, &variant };
  int64_t first_plan_us;

  run.result = &result;
  run.drift = new_drift (ctx, group.shape, DRIFT_DIALECT, RUN_MS, SEED);
  start_run (&run);
  move_drift (run.drift, RUN_MS / 2);
  report_loads (&run, 0);
  plan_next (&run, 0);
  first_plan_us = result.slowest_plan_us;
  if (run.staged != NULL)
    switch_map (&run, 0);
  result.slowest_plan_us = 0;
  plan_next (&run, 1);
  printf ("\nPlan time, 32 ranks, 256 experts, 60 layers: %.0f ms after a shift, "
          "%.0f ms from a map that fits\n",
          (double)first_plan_us / 1000.0, (double)result.slowest_plan_us / 1000.0);
  end_run (&run);
  drop_drift (ctx, run.drift);
}

int
main (void)
{
  bt_context_t *ctx = bt_new_context ();

  print_drift_tables (ctx);
  print_placement_table ();
  print_round_table (ctx);
  print_plan_time (ctx);
  bt_drop_context (ctx);
  return 0;
}
