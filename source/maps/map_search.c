#include "map_search.h"

#include <string.h>

enum
{
  /* Number of busiest ranks that one step tries to relieve. */
  HOT_RANKS = 2,
  /* Number of least loaded ranks that are tried as targets; moves to them lower the sum most. */
  MAX_TARGETS = 10,
};

/* A step minimizes the sum of the ranks' loads to this power rather than the busiest rank's load
 * alone. Where several ranks are nearly equally busy, no single change lowers the maximum, and a
 * search by the maximum would end early. */
static const double exponent = 8;

/* Minimum gain of a change, so that rounding errors cannot make the search cycle. */
static const double min_gain = 1e-7;

/** One step of a search: the choice of one change. */
typedef struct step
{
  bt_map_search_t *search;
  double inverse_mean;
  double transfer_price; /* cost of a transfer in units of the sum */
  int32_t targets[MAX_TARGETS];
  int32_t target_count;
  bt_map_change_t best;
  double best_gain;
} search_step_t;

/* Raises x to the eighth power, the exponent of the sum. */
static double
raise_to_8th (double x)
{
  double square = x * x;
  double fourth = square * square;

  return fourth * fourth;
}

bt_map_search_t *
bt_new_map_search (bt_context_t *ctx,
                   bt_map_layer_t *layer,
                   const bt_map_input_t *input,
                   int32_t index)
{
  bt_map_search_t *search = bt_calloc (ctx, 1, sizeof *search);

  search->layer = layer;
  search->in_use = input->current;
  search->index = index;
  search->max_new_replicas = input->limits.max_new_replicas;
  search->slots = input->limits.slots;
  search->new_replicas = bt_calloc (ctx, (size_t)layer->ranks, sizeof *search->new_replicas);
  search->powers = bt_calloc (ctx, (size_t)layer->ranks, sizeof *search->powers);
  return search;
}

void
bt_drop_map_search (bt_context_t *ctx, bt_map_search_t *search)
{
  if (search == NULL)
    return;
  bt_free (ctx, search->new_replicas);
  bt_free (ctx, search->powers);
  bt_free (ctx, search);
}

static bool
is_pinned (const bt_map_search_t *search, int32_t expert)
{
  return search->pinned != NULL && search->pinned[expert];
}

/* True when the map in use lacks a replica, so that it has to be copied. */
static bool
needs_transfer (const bt_map_search_t *search, int32_t expert, int32_t rank)
{
  return !bt_is_map_holder (search->in_use, search->index, expert, rank);
}

static bool
has_copies_left (const bt_map_search_t *search, int32_t rank)
{
  return search->copies == NULL || search->copies[rank] < search->max_copies;
}

/* True when a rank may receive a replica of an expert: the map in use already has it, or the rank
 * may copy one more. An engine refuses a map with more new experts than it has spare slots for, and
 * a round lasts as long as the rank that copies most. */
static bool
may_add (const bt_map_search_t *search, int32_t expert, int32_t rank)
{
  if (!needs_transfer (search, expert, rank))
    return true;
  return has_copies_left (search, rank)
         && (search->max_new_replicas == 0
             || search->new_replicas[rank] < search->max_new_replicas);
}

bool
bt_is_map_change_allowed (const bt_map_search_t *search, const bt_map_change_t *change)
{
  return (change->to == BT_NO_RANK || may_add (search, change->expert, change->to))
         && (change->back == BT_NO_RANK || may_add (search, change->other, change->back));
}

/* Like may_add, and records when the limit of copies excludes the replica. */
static bool
check_add (bt_map_search_t *search, int32_t expert, int32_t rank)
{
  if (may_add (search, expert, rank))
    return true;
  if (!has_copies_left (search, rank))
    search->limited_by_copies = true;
  return false;
}

static int32_t
count_transfers (const bt_map_search_t *search, const bt_map_change_t *change)
{
  int32_t transfers = 0;

  if (change->to != BT_NO_RANK)
    transfers += needs_transfer (search, change->expert, change->to);
  if (change->from != BT_NO_RANK)
    transfers -= needs_transfer (search, change->expert, change->from);
  if (change->other != BT_NO_EXPERT)
    transfers -= needs_transfer (search, change->other, change->to);
  if (change->back != BT_NO_RANK)
    transfers += needs_transfer (search, change->other, change->back);
  return transfers;
}

/* The effect of a change on the load share of one of its experts. */
typedef struct share_change
{
  bt_rank_set_t holders; /* before the change */
  double before;         /* share of each holder before the change */
  double after;
} share_change_t;

static share_change_t
get_share_change (const bt_map_layer_t *layer, int32_t expert, int32_t more)
{
  int32_t replicas = layer->replicas[expert];

  return (share_change_t){ bt_get_layer_holders (layer, expert), layer->tokens[expert] / replicas,
                           layer->tokens[expert] / (replicas + more) };
}

/* The reduction of the sum when a rank's load changes by a number of tokens. */
static double
get_rank_gain (const search_step_t *step, int32_t rank, double shift)
{
  const bt_map_layer_t *layer = step->search->layer;

  return step->search->powers[rank]
         - raise_to_8th ((layer->load[rank] + shift * layer->pace[rank]) * step->inverse_mean);
}

/* The reduction of the sum at the ranks that hold an expert both before and after a change, due to
 * its new share. Leaves out the ranks named in the change, and those that also hold the second
 * expert, if there is one. */
static double
get_holders_gain (const search_step_t *step,
                  const share_change_t *shares,
                  const bt_map_change_t *change,
                  const share_change_t *second)
{
  double shift = shares->after - shares->before;
  double gain = 0;

  if (shift == 0)
    return 0;
  for (int32_t rank = bt_find_rank (shares->holders, 0); rank != BT_NO_RANK;
       rank = bt_find_rank (shares->holders, rank + 1))
    if (rank != change->from && rank != change->to
        && (second == NULL || !bt_has_rank (second->holders, rank)))
      gain += get_rank_gain (step, rank, shift);
  return gain;
}

/* The same for the ranks that hold both experts. */
static double
get_shared_holders_gain (const search_step_t *step,
                         const share_change_t *one,
                         const share_change_t *other,
                         const bt_map_change_t *change)
{
  double shift = one->after - one->before + other->after - other->before;
  double gain = 0;

  if (shift == 0)
    return 0;
  for (int32_t rank = bt_find_rank (one->holders, 0); rank != BT_NO_RANK;
       rank = bt_find_rank (one->holders, rank + 1))
    if (rank != change->from && rank != change->to && bt_has_rank (other->holders, rank))
      gain += get_rank_gain (step, rank, shift);
  return gain;
}

static double
get_single_gain (const search_step_t *step, const bt_map_change_t *change)
{
  share_change_t shares =
      get_share_change (step->search->layer, change->expert,
                        (change->to != BT_NO_RANK) - (change->from != BT_NO_RANK));
  double gain = get_holders_gain (step, &shares, change, NULL);

  if (change->from != BT_NO_RANK)
    gain += get_rank_gain (step, change->from, -shares.before);
  if (change->to != BT_NO_RANK)
    gain += get_rank_gain (step, change->to, shares.after);
  return gain;
}

/* The load that the second expert's part of a change adds to the rank that drops the first one. */
static double
get_second_shift (const share_change_t *second, const bt_map_change_t *change)
{
  if (change->back == change->from)
    return second->after;
  return bt_has_rank (second->holders, change->from) ? second->after - second->before : 0;
}

static double
get_exchange_gain (const search_step_t *step, const bt_map_change_t *change)
{
  const bt_map_layer_t *layer = step->search->layer;
  share_change_t one = get_share_change (layer, change->expert, change->from == BT_NO_RANK);
  share_change_t other = get_share_change (layer, change->other, -(change->back == BT_NO_RANK));
  double gain = get_holders_gain (step, &one, change, &other)
                + get_holders_gain (step, &other, change, &one)
                + get_shared_holders_gain (step, &one, &other, change);

  if (change->from != BT_NO_RANK)
    gain += get_rank_gain (step, change->from, get_second_shift (&other, change) - one.before);
  return gain + get_rank_gain (step, change->to, one.after - other.before);
}

/* Compares a change with the best one so far by its reduction of the sum less the cost of its
 * transfers. Of two equal changes the first one stays, so that a plan is the same on every
 * machine. */
static void
consider_change (search_step_t *step, bt_map_change_t change)
{
  double gain = change.other == BT_NO_EXPERT ? get_single_gain (step, &change)
                                             : get_exchange_gain (step, &change);

  change.transfers = count_transfers (step->search, &change);
  gain -= change.transfers * step->transfer_price;
  if (gain <= step->best_gain)
    return;
  step->best = change;
  step->best_gain = gain;
}

/* Tries each expert that the target could drop to receive an expert of a hot rank. */
static void
try_exchanges (search_step_t *step, int32_t expert, int32_t hot, int32_t target)
{
  bt_map_search_t *search = step->search;
  const bt_map_layer_t *layer = search->layer;
  const int16_t *held = bt_get_held_experts (layer, target);
  bool movable = !is_pinned (search, expert);

  for (int32_t i = 0; i < layer->held_count[target]; i++)
    {
      int32_t other = held[i];
      bool has_other_replicas = layer->replicas[other] > 1;

      if (other == expert || is_pinned (search, other))
        continue;
      if (has_other_replicas)
        consider_change (step, (bt_map_change_t){ expert, BT_NO_RANK, target, other, BT_NO_RANK });
      if (movable && has_other_replicas)
        consider_change (step, (bt_map_change_t){ expert, hot, target, other, BT_NO_RANK });
      if (movable && !bt_has_rank (bt_get_layer_holders (layer, other), hot)
          && check_add (search, other, hot))
        consider_change (step, (bt_map_change_t){ expert, hot, target, other, hot });
    }
}

static void
try_target (search_step_t *step, int32_t expert, int32_t hot, int32_t target)
{
  const bt_map_search_t *search = step->search;

  if (search->layer->held_count[target] < search->slots)
    {
      consider_change (step,
                       (bt_map_change_t){ expert, BT_NO_RANK, target, BT_NO_EXPERT, BT_NO_RANK });
      if (!is_pinned (search, expert))
        consider_change (step, (bt_map_change_t){ expert, hot, target, BT_NO_EXPERT, BT_NO_RANK });
    }
  try_exchanges (step, expert, hot, target);
}

/* The upper bound of what any change of an expert can take off the sum: all of its load at the
 * ranks that hold it, and two saved transfers. The relief of the target, which may drop another
 * expert, is not included. */
static double
get_max_relief (const search_step_t *step, int32_t expert)
{
  const bt_map_layer_t *layer = step->search->layer;
  bt_rank_set_t holders = bt_get_layer_holders (layer, expert);
  double share = layer->tokens[expert] / layer->replicas[expert];
  double relief = 2 * step->transfer_price;

  for (int32_t rank = bt_find_rank (holders, 0); rank != BT_NO_RANK;
       rank = bt_find_rank (holders, rank + 1))
    relief += get_rank_gain (step, rank, -share);
  return relief;
}

/* Tries all changes of one expert of a hot rank. */
static void
try_expert (search_step_t *step, int32_t expert, int32_t hot)
{
  bt_map_search_t *search = step->search;
  const bt_map_layer_t *layer = search->layer;
  bt_rank_set_t holders = bt_get_layer_holders (layer, expert);
  double relief;

  if (layer->replicas[expert] > 1 && !is_pinned (search, expert))
    consider_change (step, (bt_map_change_t){ expert, hot, BT_NO_RANK, BT_NO_EXPERT, BT_NO_RANK });
  if (layer->tokens[expert] <= 0)
    return;
  relief = get_max_relief (step, expert);
  for (int32_t i = 0; i < step->target_count; i++)
    {
      int32_t target = step->targets[i];

      if (relief + search->powers[target] > step->best_gain && !bt_has_rank (holders, target)
          && check_add (search, expert, target))
        try_target (step, expert, hot, target);
    }
}

/* Lists the least loaded ranks in ascending order of load. */
static void
list_targets (search_step_t *step)
{
  const bt_map_layer_t *layer = step->search->layer;

  for (int32_t rank = 0; rank < layer->ranks; rank++)
    {
      int32_t at = step->target_count;

      while (at > 0 && layer->load[step->targets[at - 1]] > layer->load[rank])
        at--;
      if (at == MAX_TARGETS)
        continue;
      if (step->target_count < MAX_TARGETS)
        step->target_count++;
      for (int32_t i = step->target_count - 1; i > at; i--)
        step->targets[i] = step->targets[i - 1];
      step->targets[at] = rank;
    }
}

static int32_t
find_hot_rank (const bt_map_layer_t *layer, int32_t excluded)
{
  int32_t hot = excluded == 0 ? 1 : 0;

  for (int32_t rank = 0; rank < layer->ranks; rank++)
    if (rank != excluded && layer->load[rank] > layer->load[hot])
      hot = rank;
  return hot;
}

/* Computes the values shared by all changes of one step; false when there is no load. */
static bool
start_step (search_step_t *step)
{
  const bt_map_search_t *search = step->search;
  const bt_map_layer_t *layer = search->layer;
  double sum = 0;
  double busiest = 0;

  for (int32_t rank = 0; rank < layer->ranks; rank++)
    sum += layer->load[rank];
  if (sum <= 0)
    return false;
  step->inverse_mean = layer->ranks / sum;
  for (int32_t rank = 0; rank < layer->ranks; rank++)
    {
      double part = layer->load[rank] * step->inverse_mean;

      search->powers[rank] = raise_to_8th (part);
      if (part > busiest)
        busiest = part;
    }
  /* The reduction of the sum by lowering the busiest rank's load by transfer_load. */
  step->transfer_price =
      search->transfer_load * step->inverse_mean * exponent * raise_to_8th (busiest) / busiest;
  list_targets (step);
  return true;
}

bool
bt_find_map_change (bt_map_search_t *search, bt_map_change_t *change)
{
  const bt_map_layer_t *layer = search->layer;
  search_step_t step = { .search = search, .best_gain = min_gain };
  int32_t hot = bt_find_busiest_rank (layer);

  search->limited_by_copies = false;
  if (!start_step (&step))
    return false;
  for (int32_t examined = 0; examined < HOT_RANKS && examined < layer->ranks; examined++)
    {
      const int16_t *held = bt_get_held_experts (layer, hot);

      for (int32_t i = 0; i < layer->held_count[hot]; i++)
        try_expert (&step, held[i], hot);
      hot = find_hot_rank (layer, hot);
    }
  *change = step.best;
  change->gain = step.best_gain;
  return step.best_gain > min_gain;
}

/* Counts a replica that is added to a rank (more is 1) or removed from it (-1), if the map in use
 * lacks it. */
static void
update_new_replicas (bt_map_search_t *search, int32_t expert, int32_t rank, int32_t more)
{
  if (!needs_transfer (search, expert, rank))
    return;
  search->new_replicas[rank] += more;
  if (search->copies != NULL)
    search->copies[rank] += more;
}

static void
add_holder (bt_map_search_t *search, int32_t expert, int32_t rank)
{
  bt_add_layer_holder (search->layer, expert, rank);
  update_new_replicas (search, expert, rank, 1);
}

static void
remove_holder (bt_map_search_t *search, int32_t expert, int32_t rank)
{
  bt_remove_layer_holder (search->layer, expert, rank);
  update_new_replicas (search, expert, rank, -1);
}

/* Removes experts before adding others, so that no rank ever exceeds its slots. */
void
bt_apply_map_change (bt_map_search_t *search, const bt_map_change_t *change)
{
  if (change->other != BT_NO_EXPERT)
    remove_holder (search, change->other, change->to);
  if (change->from != BT_NO_RANK)
    remove_holder (search, change->expert, change->from);
  if (change->to != BT_NO_RANK)
    add_holder (search, change->expert, change->to);
  if (change->back != BT_NO_RANK)
    add_holder (search, change->other, change->back);
}
