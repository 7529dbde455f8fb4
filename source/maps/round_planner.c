#include "map_plan.h"
#include "map_search.h"

enum
{
  /* Copies on one rank that a round may have at most. */
  MOST_COPIES = 24,
  /* Budgets in a row that lower the skew no faster before the search ends. The first copies often
   * do little alone: one expert comes where another one then can leave. */
  MOST_WORSE = 3,
  /* Changes that one budget tries, for each rank and layer. What a transfer is worth falls with the
   * busiest rank's load, so that changes can undo each other in a circle: without a bound a plan
   * need not end, and its process stands still. */
  CHANGES_A_RANK = 2,
};

/** One layer, as far as the round has changed it. */
typedef struct part
{
  bt_map_layer_t *layer;
  bt_map_search_t *search;
  bt_map_change_t change; /* the best one, if there is one */
  bool open;
  double mean; /* load of a rank */
} part_t;

/** A round in planning. */
typedef struct short_round
{
  const bt_map_input_t *input;
  part_t *parts; /* by layer */
  int32_t layers;
  double mean;     /* load of a rank over all layers */
  int32_t *copies; /* new replicas by rank, over all layers */
} short_round_t;

/* What a transfer has to take off the skew, as a part of a layer's mean load. */
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
  /* It has not been searched: the first number of copies has to try it. */
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

/* Carries out a layer's best change, unless another layer took the copy that it needs: the next
 * best of all layers comes first then. */
static void
spend_copy (part_t *part)
{
  if (bt_is_map_change_allowed (part->search, &part->change))
    bt_apply_map_change (part->search, &part->change);
  find_change (part);
}

/* Carries out the best changes of all layers that a number of copies on each rank allows. A layer
 * in which nothing was found, though no rank was short of copies, has nothing with more of them
 * either. */
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

/* Where demand moves every few seconds, relief that comes late is none. A round is in use only once
 * its slowest rank has copied all, and the next one follows at once, so the copies that bring the
 * most for each millisecond go first and the others wait. */
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
