#include "map_plan.h"
#include "map_search.h"

enum
{
  /* Maximum number of copies per rank in one round. */
  MAX_COPIES = 24,
  /* The search ends after this many consecutive budgets without a better rate of skew reduction.
   * The first copies often have little effect alone: one expert has to arrive before another one
   * can leave. */
  MAX_WORSE_BUDGETS = 3,
  /* Maximum number of changes per budget, rank and layer. The value of a transfer falls with the
   * busiest rank's load, so changes can undo each other in a cycle. Without this bound a plan may
   * not terminate and blocks its process. */
  MAX_CHANGES_PER_RANK = 2,
};

/** One layer with the changes that the round has made so far. */
typedef struct layer_plan
{
  bt_map_layer_t *layer;
  bt_map_search_t *search;
  bt_map_change_t change; /* the best next change, if there is one */
  bool has_change;
  double mean; /* mean load per rank */
} layer_plan_t;

/** The state of planning one round. */
typedef struct round_plan
{
  const bt_map_input_t *input;
  layer_plan_t *layer_plans; /* by layer */
  int32_t layers;
  double mean;     /* mean load per rank, summed over all layers */
  int32_t *copies; /* new replicas by rank, over all layers */
} round_plan_t;

/* The skew reduction that one transfer must be worth, as a fraction of a layer's mean load. */
static double
get_transfer_threshold (const bt_map_input_t *input)
{
  double skew = input->weights.skew_weight * bt_get_skew_cost_ms (input);
  double transfer = input->weights.cost_weight * input->weights.pay_ratio;

  return transfer * bt_get_transfer_cost_ms (input) / skew;
}

static void
start_layer_plan (bt_context_t *ctx, round_plan_t *round, int32_t index)
{
  const bt_map_input_t *input = round->input;
  layer_plan_t *layer_plan = &round->layer_plans[index];

  layer_plan->layer = bt_read_map_layer (ctx, input->current, input->load, input->paces, index,
                                         input->limits.slots);
  for (int32_t expert = 0; expert < layer_plan->layer->experts; expert++)
    layer_plan->mean += layer_plan->layer->tokens[expert] / layer_plan->layer->ranks;
  layer_plan->search = bt_new_map_search (ctx, layer_plan->layer, input, index);
  layer_plan->search->copies = round->copies;
  layer_plan->search->transfer_load =
      get_transfer_threshold (input) * round->layers * layer_plan->mean;
  /* The layer has not been searched yet, so the first budget has to search it. */
  layer_plan->search->limited_by_copies = true;
  round->mean += layer_plan->mean;
}

static void
drop_layer_plan (bt_context_t *ctx, layer_plan_t *layer_plan)
{
  bt_drop_map_search (ctx, layer_plan->search);
  bt_drop_map_layer (ctx, layer_plan->layer);
}

static double
get_skew (const round_plan_t *round)
{
  double busiest = 0;

  for (int32_t i = 0; i < round->layers; i++)
    {
      const bt_map_layer_t *layer = round->layer_plans[i].layer;

      busiest += layer->load[bt_find_busiest_rank (layer)];
    }
  return busiest / round->mean;
}

static void
find_change (layer_plan_t *layer_plan)
{
  layer_plan->has_change = bt_find_map_change (layer_plan->search, &layer_plan->change);
}

static layer_plan_t *
find_best_layer_plan (round_plan_t *round)
{
  layer_plan_t *best = NULL;

  for (int32_t i = 0; i < round->layers; i++)
    if (round->layer_plans[i].has_change
        && (best == NULL || round->layer_plans[i].change.gain > best->change.gain))
      best = &round->layer_plans[i];
  return best;
}

/* Applies a layer's best change, unless another layer has used up the copy that it needs, and
 * searches for the next one, which then competes with the best of the other layers. */
static void
apply_best_change (layer_plan_t *layer_plan)
{
  if (bt_is_map_change_allowed (layer_plan->search, &layer_plan->change))
    bt_apply_map_change (layer_plan->search, &layer_plan->change);
  find_change (layer_plan);
}

/* Applies the best changes of all layers that a budget of copies per rank allows. A layer is
 * searched again only if its last search was limited by copies: otherwise a larger budget finds
 * nothing new. */
static void
apply_budget (round_plan_t *round, int32_t max_copies)
{
  int32_t left =
      MAX_CHANGES_PER_RANK * round->layers * bt_get_map_shape (round->input->current).ranks;
  layer_plan_t *best;

  for (int32_t i = 0; i < round->layers; i++)
    {
      layer_plan_t *layer_plan = &round->layer_plans[i];

      layer_plan->search->max_copies = max_copies;
      if (layer_plan->search->limited_by_copies)
        find_change (layer_plan);
    }
  for (; left > 0 && (best = find_best_layer_plan (round)) != NULL; left--)
    apply_best_change (best);
}

static void
store_map (const round_plan_t *round, bt_expert_map_t *map)
{
  for (int32_t i = 0; i < round->layers; i++)
    bt_store_map_layer (round->layer_plans[i].layer, map, i);
}

/* Chooses the budget of copies per rank. Where demand shifts every few seconds, late relief is
 * useless. A round is in use only when its slowest rank has copied everything, and the next round
 * follows at once, so the round takes the copies with the highest skew reduction per millisecond
 * and leaves the others for later. */
static void
choose_budget (round_plan_t *round, bt_expert_map_t *next)
{
  const bt_map_limits_t *limits = &round->input->limits;
  double before = get_skew (round);
  double best = 0;
  int32_t worse_budgets = 0;

  for (int32_t copies = 1; copies <= MAX_COPIES && worse_budgets < MAX_WORSE_BUDGETS; copies++)
    {
      double gain_per_ms;

      apply_budget (round, copies);
      gain_per_ms = (before - get_skew (round)) / (limits->round_ms + copies * limits->copy_ms);
      worse_budgets++;
      if (gain_per_ms <= best)
        continue;
      best = gain_per_ms;
      worse_budgets = 0;
      store_map (round, next);
    }
}

static bt_map_plan_t *
plan_round (bt_context_t *ctx, const bt_map_input_t *input)
{
  bt_map_plan_t *plan = bt_start_map_plan (ctx, input);
  round_plan_t round = { .input = input, .layers = bt_get_map_shape (input->current).layers };

  round.layer_plans = bt_calloc (ctx, (size_t)round.layers, sizeof *round.layer_plans);
  round.copies =
      bt_calloc (ctx, (size_t)bt_get_map_shape (input->current).ranks, sizeof *round.copies);
  for (int32_t i = 0; i < round.layers; i++)
    start_layer_plan (ctx, &round, i);
  if (round.mean > 0)
    choose_budget (&round, plan->next);
  for (int32_t i = 0; i < round.layers; i++)
    drop_layer_plan (ctx, &round.layer_plans[i]);
  bt_free (ctx, round.layer_plans);
  bt_free (ctx, round.copies);
  return plan;
}

static const bt_map_planner_vtable_t round_vtable = { "round", plan_round };
static const bt_map_planner_t round_planner = { &round_vtable };

const bt_map_planner_t *
bt_get_round_planner (void)
{
  return &round_planner;
}
