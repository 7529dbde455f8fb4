#include "map_search.h"

#include <string.h>

enum
{
  /* Ranks whose load is to be lowered in one step. */
  HOT_RANKS = 2,
  /* Ranks that are tried as targets, the least loaded ones: what lowers the sum most goes there,
   * and a search over all of 72 ranks takes six times as long. */
  MOST_TARGETS = 10,
};

/* What a step lowers is the sum of the ranks' loads to this power, not the busiest rank's load
 * alone: where several ranks are nearly as busy, no single change lowers the busiest, and a search
 * for that ends early. On loads of 16 ranks with 64 experts, the busiest left 34 in 100 over the
 * mean by the one, 2 in 100 by the other (medians). */
static const double exponent = 8;

/* A change must be worth this part of the sum for rounding not to lead in circles. */
static const double least_gain = 1e-7;

/** A search in progress. */
typedef struct step
{
  const bt_map_search_t *search;
  double mean;
  double transfer_price; /* in units of the sum */
  const int16_t *held;   /* experts, rank by rank */
  const int32_t *first;  /* where a rank's experts begin; one more than ranks */
  int32_t targets[MOST_TARGETS];
  int32_t target_count;
  bt_map_change_t best;
  double best_gain;
} step_t;

/* x to the eighth. */
static double
raise (double x)
{
  double square = x * x;
  double fourth = square * square;

  return fourth * fourth;
}

static bool
holds (bt_rank_mask_t holders, int32_t rank)
{
  return (holders & bt_mask_rank (rank)) != 0;
}

/* True when a rank may get a replica of an expert: it had it before, or may copy one more. An
 * engine refuses a map with more new experts than it has spare places for, and a round lasts as
 * long as the rank that copies most. */
static bool
may_add (const bt_map_search_t *search, int32_t expert, int32_t rank)
{
  if (holds (search->in_use[expert], rank))
    return true;
  if (search->copies != NULL && search->copies[rank] >= search->most_copies)
    return false;
  return search->rank_adds == 0 || search->adds[rank] < search->rank_adds;
}

/* Adds to a list of ranks what a change of one expert's holders does to their loads. */
static int32_t
add_shifts (const bt_map_layer_t *layer,
            int32_t expert,
            bt_rank_mask_t after,
            int32_t *ranks,
            double *shifts,
            int32_t count)
{
  bt_rank_mask_t before = layer->holders[expert];
  double share_before = layer->tokens[expert] / bt_count_ranks (before);
  double share_after = layer->tokens[expert] / bt_count_ranks (after);

  for (bt_rank_mask_t left = before | after; left != 0;)
    {
      int32_t rank = bt_take_rank (&left);
      double shift =
          (holds (after, rank) ? share_after : 0) - (holds (before, rank) ? share_before : 0);
      int32_t at = 0;

      while (at < count && ranks[at] != rank)
        at++;
      if (at == count)
        {
          ranks[count] = rank;
          shifts[count++] = 0;
        }
      shifts[at] += shift * layer->pace[rank];
    }
  return count;
}

static int32_t
count_new (const bt_map_search_t *search, int32_t expert, bt_rank_mask_t holders)
{
  return bt_count_ranks (holders & ~search->in_use[expert]);
}

static int32_t
count_transfers (const bt_map_search_t *search, int32_t expert, bt_rank_mask_t after)
{
  return count_new (search, expert, after)
         - count_new (search, expert, search->layer->holders[expert]);
}

/* Weighs a change by what it takes off the sum, less what its transfers cost. Two changes of equal
 * worth keep the first, so that a plan is the same on every machine. */
static void
weigh (step_t *step, bt_map_change_t change)
{
  const bt_map_layer_t *layer = step->search->layer;
  int32_t ranks[2 * BT_MAP_MAX_RANKS];
  double shifts[2 * BT_MAP_MAX_RANKS];
  int32_t count = add_shifts (layer, change.expert, change.holders, ranks, shifts, 0);
  double gain = 0;

  if (change.other != BT_NO_EXPERT)
    count = add_shifts (layer, change.other, change.other_holders, ranks, shifts, count);
  for (int32_t i = 0; i < count; i++)
    gain += raise (layer->load[ranks[i]] / step->mean)
            - raise ((layer->load[ranks[i]] + shifts[i]) / step->mean);
  change.transfers = count_transfers (step->search, change.expert, change.holders);
  if (change.other != BT_NO_EXPERT)
    change.transfers += count_transfers (step->search, change.other, change.other_holders);
  gain -= change.transfers * step->transfer_price;
  if (gain <= step->best_gain)
    return;
  step->best = change;
  step->best_gain = gain;
}

/* What the target could give up for an expert of a hot rank. */
static void
try_exchanges (step_t *step, int32_t expert, int32_t hot, int32_t target)
{
  const bt_map_search_t *search = step->search;
  const bt_map_layer_t *layer = search->layer;
  bt_rank_mask_t holders = layer->holders[expert];
  bt_rank_mask_t more = holders | bt_mask_rank (target);
  bt_rank_mask_t moved = more & ~bt_mask_rank (hot);

  for (int32_t i = step->first[target]; i < step->first[target + 1]; i++)
    {
      int32_t other = step->held[i];
      bt_rank_mask_t other_holders = layer->holders[other];
      bt_rank_mask_t fewer = other_holders & ~bt_mask_rank (target);

      if (other == expert || search->pinned[other])
        continue;
      if (fewer != 0)
        weigh (step, (bt_map_change_t){ expert, more, other, fewer });
      if (search->pinned[expert])
        continue;
      if (fewer != 0)
        weigh (step, (bt_map_change_t){ expert, moved, other, fewer });
      if (!holds (other_holders, hot) && may_add (search, other, hot))
        weigh (step, (bt_map_change_t){ expert, moved, other, fewer | bt_mask_rank (hot) });
    }
}

static void
try_target (step_t *step, int32_t expert, int32_t hot, int32_t target)
{
  const bt_map_search_t *search = step->search;
  bt_rank_mask_t more = search->layer->holders[expert] | bt_mask_rank (target);

  if (search->layer->used[target] < search->slots)
    {
      weigh (step, (bt_map_change_t){ expert, more, BT_NO_EXPERT });
      if (!search->pinned[expert])
        weigh (step, (bt_map_change_t){ expert, more & ~bt_mask_rank (hot), BT_NO_EXPERT });
    }
  try_exchanges (step, expert, hot, target);
}

/* All that could be done about one expert of a hot rank. */
static void
try_expert (step_t *step, int32_t expert, int32_t hot)
{
  const bt_map_search_t *search = step->search;
  const bt_map_layer_t *layer = search->layer;
  bt_rank_mask_t holders = layer->holders[expert];
  bt_rank_mask_t fewer = holders & ~bt_mask_rank (hot);

  if (fewer != 0 && !search->pinned[expert])
    weigh (step, (bt_map_change_t){ expert, fewer, BT_NO_EXPERT });
  if (layer->tokens[expert] <= 0)
    return;
  for (int32_t i = 0; i < step->target_count; i++)
    if (!holds (holders, step->targets[i]) && may_add (search, expert, step->targets[i]))
      try_target (step, expert, hot, step->targets[i]);
}

/* Lists each rank's experts, so that the loops look at a rank's few and not at all of the layer's.
 */
static void
list_held (const bt_map_layer_t *layer, int16_t *held, int32_t *first)
{
  int32_t next[BT_MAP_MAX_RANKS];

  first[0] = 0;
  for (int32_t rank = 0; rank < layer->ranks; rank++)
    {
      next[rank] = first[rank];
      first[rank + 1] = first[rank] + layer->used[rank];
    }
  for (int32_t expert = 0; expert < layer->experts; expert++)
    for (bt_rank_mask_t left = layer->holders[expert]; left != 0;)
      held[next[bt_take_rank (&left)]++] = (int16_t)expert;
}

/* Lists the least loaded ranks, lightest first. */
static void
list_targets (step_t *step)
{
  const bt_map_layer_t *layer = step->search->layer;

  for (int32_t rank = 0; rank < layer->ranks; rank++)
    {
      int32_t at = step->target_count;

      while (at > 0 && layer->load[step->targets[at - 1]] > layer->load[rank])
        at--;
      if (at == MOST_TARGETS)
        continue;
      if (step->target_count < MOST_TARGETS)
        step->target_count++;
      for (int32_t i = step->target_count - 1; i > at; i--)
        step->targets[i] = step->targets[i - 1];
      step->targets[at] = rank;
    }
}

static int32_t
find_hot_rank (const bt_map_layer_t *layer, int32_t but)
{
  int32_t hot = but == 0 ? 1 : 0;

  for (int32_t rank = 0; rank < layer->ranks; rank++)
    if (rank != but && layer->load[rank] > layer->load[hot])
      hot = rank;
  return hot;
}

bool
bt_find_map_change (const bt_map_search_t *search, bt_map_change_t *change)
{
  const bt_map_layer_t *layer = search->layer;
  int32_t replicas = 0;
  int32_t first[BT_MAP_MAX_RANKS + 1];
  int32_t hot = bt_find_busiest_rank (layer);
  step_t step = { .search = search, .first = first, .best_gain = least_gain };

  for (int32_t rank = 0; rank < layer->ranks; rank++)
    {
      replicas += layer->used[rank];
      step.mean += layer->load[rank] / layer->ranks;
    }
  if (step.mean <= 0 || replicas == 0)
    return false;
  {
    int16_t held[replicas];
    double busiest = layer->load[hot] / step.mean;

    memset (held, 0, sizeof held);
    list_held (layer, held, first);
    list_targets (&step);
    step.held = held;
    /* What lowering the busiest rank by so much would take off the sum. */
    step.transfer_price = search->transfer_load / step.mean * exponent * raise (busiest) / busiest;
    for (int32_t turn = 0; turn < HOT_RANKS && turn < layer->ranks; turn++)
      {
        for (int32_t i = first[hot]; i < first[hot + 1]; i++)
          try_expert (&step, held[i], hot);
        hot = find_hot_rank (layer, hot);
      }
  }
  *change = step.best;
  change->gain = step.best_gain;
  return step.best_gain > least_gain;
}

/* Counts the new replicas that other holders bring to ranks, or take back. */
static void
count_adds (bt_map_search_t *search, int32_t expert, bt_rank_mask_t after)
{
  bt_rank_mask_t before = search->layer->holders[expert];

  for (bt_rank_mask_t left = (before ^ after) & ~search->in_use[expert]; left != 0;)
    {
      int32_t rank = bt_take_rank (&left);

      int32_t more = holds (after, rank) ? 1 : -1;

      search->adds[rank] += more;
      if (search->copies != NULL)
        search->copies[rank] += more;
    }
}

/* Changes who holds an expert and shifts its load. */
static void
set_holders (bt_map_layer_t *layer, int32_t expert, bt_rank_mask_t holders)
{
  bt_rank_mask_t before = layer->holders[expert];
  double share_before = layer->tokens[expert] / bt_count_ranks (before);
  double share_after = layer->tokens[expert] / bt_count_ranks (holders);

  layer->holders[expert] = holders;
  while (before != 0)
    {
      int32_t rank = bt_take_rank (&before);

      layer->load[rank] -= share_before * layer->pace[rank];
      layer->used[rank]--;
    }
  while (holders != 0)
    {
      int32_t rank = bt_take_rank (&holders);

      layer->load[rank] += share_after * layer->pace[rank];
      layer->used[rank]++;
    }
}

void
bt_apply_map_change (bt_map_search_t *search, const bt_map_change_t *change)
{
  count_adds (search, change->expert, change->holders);
  set_holders (search->layer, change->expert, change->holders);
  if (change->other == BT_NO_EXPERT)
    return;
  count_adds (search, change->other, change->other_holders);
  set_holders (search->layer, change->other, change->other_holders);
}
