#include "map_plan.h"
#include "map_search.h"

enum
{
  /* Maximum number of copies per rank in one round. */
  MOST_COPIES = 24,
  /* The search ends after this many consecutive budgets without a better rate of skew reduction.
   * The first copies often have little effect alone: one expert has to arrive before another one
   * can leave. */
  MOST_WORSE = 3,
  /* Maximum number of changes per budget, rank and layer. The value of a transfer falls with the
   * busiest rank's load, so changes can undo each other in a cycle. Without this bound a plan may
   * not terminate and blocks its process. */
  CHANGES_A_RANK = 2,
};

/** One layer with the changes that the round has made so far. */
typedef struct part
{
  bt_map_layer_t *layer;
  bt_map_search_t *search;
  bt_map_change_t change; /* the best next change, if there is one */
  bool open;
  double mean; /* mean load per rank */
} part_t;

/** The state of planning one round. */
typedef struct short_round
{
  const bt_map_input_t *input;
  part_t *parts; /* by layer */
  int32_t layers;
  double mean;     /* mean load per rank, summed over all layers */
  int32_t *copies; /* new replicas by rank, over all layers */
} short_round_t;

/* The skew reduction that one transfer must be worth, as a fraction of a layer's mean load. */
static double
price_transfer (const bt_map_input_t *input)
{
  double skew = input->weights.skew_weight * bt_price_skew_ms (input);
  double transfer = input->weights.cost_weight * input->weights.pay_ratio;

  return transfer * bt_price_transfer_ms (input) / skew;
}

static void
open_part (bt_context_t *ctx, short_round_t *round, int32_t index)
{
  const bt_map_input_t *input = round->input;
  part_t *part = &round->parts[index];

  part->layer = bt_read_map_layer (ctx, input->current, input->load, input->paces, index,
                                   input->limits.slots);
  for (int32_t expert = 0; expert < part->layer->experts; expert++)
    part->mean += part->layer->tokens[expert] / part->layer->ranks;
  part->search = bt_new_map_search (ctx, part->layer, input, index);
  part->search->copies = round->copies;
  part->search->transfer_load = price_transfer (input) * round->layers * part->mean;
  /* The layer has not been searched yet, so the first budget has to search it. */
  part->search->short_of_copies = true;
  round->mean += part->mean;
}

static void
close_part (bt_context_t *ctx, part_t *part)
{
  bt_drop_map_search (ctx, part->search);
  bt_drop_map_layer (ctx, part->layer);
}

static double
get_skew (const short_round_t *round)
{
  double busiest = 0;

  for (int32_t i = 0; i < round->layers; i++)
    {
      const bt_map_layer_t *layer = round->parts[i].layer;

      busiest += layer->load[bt_find_busiest_rank (layer)];
    }
  return busiest / round->mean;
}

static void
find_change (part_t *part)
{
  part->open = bt_find_map_change (part->search, &part->change);
}

static part_t *
find_best_part (short_round_t *round)
{
  part_t *best = NULL;

  for (int32_t i = 0; i < round->layers; i++)
    if (round->parts[i].open && (best == NULL || round->parts[i].change.gain > best->change.gain))
      best = &round->parts[i];
  return best;
}

/* Applies a layer's best change, unless another layer has used up the copy that it needs, and
 * searches for the next one, which then competes with the best of the other layers. */
static void
spend_copy (part_t *part)
{
  if (bt_is_map_change_allowed (part->search, &part->change))
    bt_apply_map_change (part->search, &part->change);
  find_change (part);
}

/* Applies the best changes of all layers that a budget of copies per rank allows. A layer is
 * searched again only if its last search was limited by copies: otherwise a larger budget finds
 * nothing new. */
static void
spend_copies (short_round_t *round, int32_t most_copies)
{
  int32_t left = CHANGES_A_RANK * round->layers * bt_get_map_shape (round->input->current).ranks;
  part_t *best;

  for (int32_t i = 0; i < round->layers; i++)
    {
      part_t *part = &round->parts[i];

      part->search->most_copies = most_copies;
      if (part->search->short_of_copies)
        find_change (part);
    }
  for (; left > 0 && (best = find_best_part (round)) != NULL; left--)
    spend_copy (best);
}

static void
keep_map (const short_round_t *round, bt_expert_map_t *map)
{
  for (int32_t i = 0; i < round->layers; i++)
    bt_keep_map_layer (round->parts[i].layer, map, i);
}

/* Chooses the budget of copies per rank. Where demand shifts every few seconds, late relief is
 * useless. A round is in use only when its slowest rank has copied everything, and the next round
 * follows at once, so the round takes the copies with the highest skew reduction per millisecond
 * and leaves the others for later. */
static void
plan_copies (short_round_t *round, bt_expert_map_t *next)
{
  const bt_map_limits_t *limits = &round->input->limits;
  double before = get_skew (round);
  double best = 0;
  int32_t worse = 0;

  for (int32_t copies = 1; copies <= MOST_COPIES && worse < MOST_WORSE; copies++)
    {
      double gain_a_ms;

      spend_copies (round, copies);
      gain_a_ms = (before - get_skew (round)) / (limits->round_ms + copies * limits->copy_ms);
      worse++;
      if (gain_a_ms <= best)
        continue;
      best = gain_a_ms;
      worse = 0;
      keep_map (round, next);
    }
}

static bt_map_plan_t *
plan_round (bt_context_t *ctx, const bt_map_input_t *input)
{
  bt_map_plan_t *plan = bt_start_map_plan (ctx, input);
  short_round_t round = { .input = input, .layers = bt_get_map_shape (input->current).layers };

  round.parts = bt_calloc (ctx, (size_t)round.layers, sizeof *round.parts);
  round.copies =
      bt_calloc (ctx, (size_t)bt_get_map_shape (input->current).ranks, sizeof *round.copies);
  for (int32_t i = 0; i < round.layers; i++)
    open_part (ctx, &round, i);
  if (round.mean > 0)
    plan_copies (&round, plan->next);
  for (int32_t i = 0; i < round.layers; i++)
    close_part (ctx, &round.parts[i]);
  bt_free (ctx, round.parts);
  bt_free (ctx, round.copies);
  return plan;
}

static const bt_map_planner_vtable_t round_vtable = { "round", plan_round };
static const bt_map_planner_t round_planner = { &round_vtable };

const bt_map_planner_t *
bt_round_map_planner (void)
{
  return &round_planner;
}
