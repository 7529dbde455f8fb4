#include "map_layer.h"

#include <stdlib.h>
#include <string.h>

enum
{
  CHANGES_A_RANK = 4, /* a layer's chain of changes ends after so many times its ranks */
  MAX_CHANGES = CHANGES_A_RANK * BT_MAP_MAX_RANKS,
  NO_EXPERT = -1,
};

static const double us_per_ms = 1000.0;
static const double bytes_per_mb = 1000000.0;

double
bt_price_skew_ms (const bt_map_input_t *input)
{
  return input->limits.expert_share * (double)input->weights.horizon_ms;
}

double
bt_price_transfer_ms (const bt_map_input_t *input)
{
  return (double)input->limits.expert_bytes / bytes_per_mb * (double)input->limits.move_us_per_mb
         / us_per_ms;
}

static int32_t
count_ranks (uint64_t holders)
{
  return __builtin_popcountll (holders);
}

static bool
holds (uint64_t holders, int32_t rank)
{
  return (holders >> rank & 1) != 0;
}

static uint64_t
rank_bit (int32_t rank)
{
  return (uint64_t)1 << rank;
}

void
bt_read_map_layer (bt_map_layer_t *layer,
                   const bt_expert_map_t *map,
                   const bt_expert_load_t *load,
                   int32_t index)
{
  bt_map_shape_t shape = bt_get_map_shape (map);

  memset (layer->load, 0, sizeof layer->load);
  memset (layer->used, 0, sizeof layer->used);
  layer->experts = shape.experts;
  layer->ranks = shape.ranks;
  for (int32_t expert = 0; expert < shape.experts; expert++)
    {
      uint64_t holders = bt_get_map_ranks (map, index, expert);

      layer->tokens[expert] = bt_get_expert_load (load, index, expert);
      layer->holders[expert] = holders;
      for (uint64_t left = holders; left != 0; left &= left - 1)
        {
          layer->load[__builtin_ctzll (left)] += layer->tokens[expert] / count_ranks (holders);
          layer->used[__builtin_ctzll (left)]++;
        }
    }
}

int32_t
bt_find_busiest_rank (const bt_map_layer_t *layer)
{
  int32_t busiest = 0;

  for (int32_t rank = 1; rank < layer->ranks; rank++)
    if (layer->load[rank] > layer->load[busiest])
      busiest = rank;
  return busiest;
}

/* Changes who holds an expert and shifts its load. */
static void
set_holders (bt_map_layer_t *layer, int32_t expert, uint64_t holders)
{
  uint64_t before = layer->holders[expert];
  double share_before = layer->tokens[expert] / count_ranks (before);
  double share_after = layer->tokens[expert] / count_ranks (holders);

  for (uint64_t left = before; left != 0; left &= left - 1)
    {
      layer->load[__builtin_ctzll (left)] -= share_before;
      layer->used[__builtin_ctzll (left)]--;
    }
  for (uint64_t left = holders; left != 0; left &= left - 1)
    {
      layer->load[__builtin_ctzll (left)] += share_after;
      layer->used[__builtin_ctzll (left)]++;
    }
  layer->holders[expert] = holders;
}

/* One change to a layer: at most two experts get other holders. */
typedef struct change
{
  int32_t expert;
  uint64_t holders;
  int32_t other; /* NO_EXPERT where only one changes */
  uint64_t other_holders;
  int32_t transfers;
  double relief; /* what the busier of the two ranks is spared */
} change_t;

/* What a search works on. */
typedef struct search
{
  bt_map_layer_t *layer;
  const bool *pinned;
  const uint64_t *in_use; /* by expert: the ranks that hold it in the map in use */
  int32_t rank_adds;      /* most new replicas on one rank; 0: no bound */
  int32_t adds[BT_MAP_MAX_RANKS];
  int32_t slots;
  int32_t busiest;
  int32_t target;
  double transfer_price;
  double load_price;
  change_t best;
  double best_worth;
  int16_t held[BT_MAP_MAX_RANKS][BT_MAP_MAX_EXPERTS]; /* by rank: the experts that it holds */
} search_t;

/* True when a rank may get a replica of an expert: it had it before, or may copy one more. An engine
 * refuses a map with more new experts than it has spare places for. */
static bool
may_add (const search_t *search, int32_t expert, int32_t rank)
{
  return search->rank_adds == 0 || holds (search->in_use[expert], rank)
         || search->adds[rank] < search->rank_adds;
}

/* Counts the new replicas that a change of holders brings, or takes back. */
static void
count_adds (search_t *search, int32_t expert, uint64_t before, uint64_t after)
{
  for (uint64_t left = (before ^ after) & ~search->in_use[expert]; left != 0; left &= left - 1)
    {
      int32_t rank = __builtin_ctzll (left);

      search->adds[rank] += holds (after, rank) ? 1 : -1;
    }
}

/* Weighs a change by the load that it takes off the busiest rank, less what its transfers cost. Two
 * changes of equal worth keep the first, so that a plan is the same on every machine. */
static void
weigh_change (search_t *search, change_t change, double busiest_after, double target_after)
{
  double before = search->layer->load[search->busiest];
  double after = busiest_after > target_after ? busiest_after : target_after;
  double worth;

  change.relief = before - after;
  if (change.relief <= before * 1e-9)
    return;
  worth = change.relief * search->load_price - change.transfers * search->transfer_price;
  if (search->best.expert != NO_EXPERT && worth <= search->best_worth)
    return;
  search->best = change;
  search->best_worth = worth;
}

/* A replica more of a hot expert on the target; the busiest rank keeps its own. */
static void
try_replicate (search_t *search, int32_t expert, int32_t dropped)
{
  const bt_map_layer_t *layer = search->layer;
  int32_t replicas = count_ranks (layer->holders[expert]);
  double share = layer->tokens[expert] / replicas;
  double thinner = layer->tokens[expert] / (replicas + 1);
  double freed = 0;
  change_t change = { expert, layer->holders[expert] | rank_bit (search->target), NO_EXPERT, 0, 1 };

  if (dropped != NO_EXPERT)
    {
      int32_t kept = count_ranks (layer->holders[dropped]) - 1;
      double gone = layer->tokens[dropped] / (kept + 1);

      if (holds (layer->holders[dropped], search->busiest))
        return;
      /* No rank may become busier than the one that is relieved. */
      for (uint64_t left = layer->holders[dropped] & ~rank_bit (search->target); left != 0;
           left &= left - 1)
        if (layer->load[__builtin_ctzll (left)] + gone / kept
            > layer->load[search->busiest] - share + thinner)
          return;
      freed = gone;
      change.other = dropped;
      change.other_holders = layer->holders[dropped] & ~rank_bit (search->target);
    }
  weigh_change (search, change, layer->load[search->busiest] - share + thinner,
                layer->load[search->target] + thinner - freed);
}

static void
try_move (search_t *search, int32_t expert)
{
  const bt_map_layer_t *layer = search->layer;
  double share = layer->tokens[expert] / count_ranks (layer->holders[expert]);
  uint64_t holders =
      (layer->holders[expert] & ~rank_bit (search->busiest)) | rank_bit (search->target);

  weigh_change (search, (change_t){ expert, holders, NO_EXPERT, 0, 1 },
                layer->load[search->busiest] - share, layer->load[search->target] + share);
}

static void
try_swap (search_t *search, int32_t expert, int32_t other)
{
  const bt_map_layer_t *layer = search->layer;
  uint64_t both = rank_bit (search->busiest) | rank_bit (search->target);
  double share = layer->tokens[expert] / count_ranks (layer->holders[expert]);
  double other_share = layer->tokens[other] / count_ranks (layer->holders[other]);

  if (other_share >= share || holds (layer->holders[other], search->busiest)
      || !may_add (search, other, search->busiest))
    return;
  weigh_change (
      search,
      (change_t){ expert, layer->holders[expert] ^ both, other, layer->holders[other] ^ both, 2 },
      layer->load[search->busiest] - share + other_share,
      layer->load[search->target] + share - other_share);
}

/* What the target could give up for one expert of the busiest rank. */
static void
try_target_experts (search_t *search, int32_t expert)
{
  const bt_map_layer_t *layer = search->layer;

  for (int32_t i = 0; i < layer->used[search->target]; i++)
    {
      int32_t other = search->held[search->target][i];

      if (other == expert || search->pinned[other])
        continue;
      if (!search->pinned[expert])
        try_swap (search, expert, other);
      if (count_ranks (layer->holders[other]) > 1)
        try_replicate (search, expert, other);
    }
}

static void
try_expert (search_t *search, int32_t expert)
{
  const bt_map_layer_t *layer = search->layer;

  if (layer->used[search->target] >= search->slots)
    {
      try_target_experts (search, expert);
      return;
    }
  try_replicate (search, expert, NO_EXPERT);
  if (!search->pinned[expert])
    try_move (search, expert);
}

/* The loops below look at a rank's few experts, not at all of the layer's. */
static void
list_held_experts (search_t *search)
{
  const bt_map_layer_t *layer = search->layer;
  int32_t count[BT_MAP_MAX_RANKS] = { 0 };

  for (int32_t expert = 0; expert < layer->experts; expert++)
    for (uint64_t left = layer->holders[expert]; left != 0; left &= left - 1)
      {
        int32_t rank = __builtin_ctzll (left);

        search->held[rank][count[rank]++] = (int16_t)expert;
      }
}

/* Finds the change that relieves the busiest rank best; false when none does. */
static bool
find_change (search_t *search)
{
  const bt_map_layer_t *layer = search->layer;

  search->best.expert = NO_EXPERT;
  search->busiest = bt_find_busiest_rank (layer);
  list_held_experts (search);
  for (int32_t i = 0; i < layer->used[search->busiest]; i++)
    {
      int32_t expert = search->held[search->busiest][i];

      for (search->target = 0; search->target < layer->ranks; search->target++)
        if (layer->tokens[expert] > 0 && !holds (layer->holders[expert], search->target)
            && may_add (search, expert, search->target))
          try_expert (search, expert);
    }
  return search->best.expert != NO_EXPERT;
}

static void
apply_change (search_t *search, const change_t *change)
{
  bt_map_layer_t *layer = search->layer;

  count_adds (search, change->expert, layer->holders[change->expert], change->holders);
  set_holders (layer, change->expert, change->holders);
  if (change->other == NO_EXPERT)
    return;
  count_adds (search, change->other, layer->holders[change->other], change->other_holders);
  set_holders (layer, change->other, change->other_holders);
}

static void
keep_change (bt_expert_map_t *map, int32_t index, const change_t *change)
{
  bt_set_map_ranks (map, index, change->expert, change->holders);
  if (change->other != NO_EXPERT)
    bt_set_map_ranks (map, index, change->other, change->other_holders);
}

bt_layer_gain_t
bt_improve_map_layer (bt_expert_map_t *map,
                      const bt_map_input_t *input,
                      int32_t index,
                      const bt_map_prices_t *prices,
                      const bool *pinned)
{
  bt_map_layer_t layer;
  change_t changes[MAX_CHANGES];
  uint64_t in_use[BT_MAP_MAX_EXPERTS];
  search_t search = { .layer = &layer,
                      .pinned = pinned,
                      .in_use = in_use,
                      .rank_adds = input->limits.rank_adds,
                      .slots = input->limits.slots };
  double start;
  double spent = 0;
  bt_layer_gain_t gain = { index };
  int64_t transfers = 0;
  int32_t paying = 0;

  bt_read_map_layer (&layer, map, input->load, index);
  for (int32_t expert = 0; expert < layer.experts; expert++)
    in_use[expert] = bt_get_map_ranks (input->current, index, expert);
  start = layer.load[bt_find_busiest_rank (&layer)];
  search.transfer_price = prices->transfer;
  search.load_price = prices->load;
  /* One change seldom pays alone where several ranks are equally busy, so the whole chain is
   * followed and cut behind its best point. */
  for (int32_t count = 0; count < CHANGES_A_RANK * layer.ranks && find_change (&search);)
    {
      double worth;

      apply_change (&search, &search.best);
      changes[count++] = search.best;
      transfers += search.best.transfers;
      spent += search.best.transfers * prices->transfer;
      worth = (start - layer.load[bt_find_busiest_rank (&layer)]) * prices->load - spent;
      if (worth <= gain.worth)
        continue;
      gain.worth = worth;
      gain.transfers = transfers;
      paying = count;
    }
  for (int32_t i = 0; i < paying; i++)
    keep_change (map, index, &changes[i]);
  return gain;
}

/* A replica to be packed. */
typedef struct replica
{
  int32_t expert;
  double share;
} replica_t;

static int
compare_replicas (const void *left, const void *right)
{
  const replica_t *a = left;
  const replica_t *b = right;

  if (a->share != b->share)
    return a->share < b->share ? 1 : -1;
  return (a->expert > b->expert) - (a->expert < b->expert);
}

static void
count_replicas (const bt_map_layer_t *layer, int32_t slots, int32_t *replicas)
{
  for (int32_t expert = 0; expert < layer->experts; expert++)
    replicas[expert] = 1;
  for (int32_t spare = slots * layer->ranks - layer->experts; spare > 0; spare--)
    {
      int32_t hottest = NO_EXPERT;

      for (int32_t expert = 0; expert < layer->experts; expert++)
        if (replicas[expert] < layer->ranks
            && (hottest == NO_EXPERT
                || layer->tokens[expert] / replicas[expert]
                       > layer->tokens[hottest] / replicas[hottest]))
          hottest = expert;
      if (hottest == NO_EXPERT)
        return;
      replicas[hottest]++;
    }
}

static void
place_replica (bt_map_layer_t *layer, int32_t slots, replica_t replica)
{
  int32_t best = -1;

  for (int32_t rank = 0; rank < layer->ranks; rank++)
    if (layer->used[rank] < slots && !holds (layer->holders[replica.expert], rank)
        && (best < 0 || layer->load[rank] < layer->load[best]))
      best = rank;
  if (best < 0)
    return; /* only ranks that hold it already have room left */
  layer->holders[replica.expert] |= rank_bit (best);
  layer->load[best] += replica.share;
  layer->used[best]++;
}

void
bt_pack_map_layer (bt_expert_map_t *map, const bt_map_input_t *input, int32_t index)
{
  bt_map_layer_t layer;
  int32_t replicas[BT_MAP_MAX_EXPERTS];
  replica_t list[BT_MAP_MAX_EXPERTS + BT_MAP_MAX_RANKS * BT_MAP_MAX_RANKS];
  int32_t count = 0;
  int32_t room = (int32_t)(sizeof list / sizeof list[0]);
  int64_t slots = (int64_t)input->limits.slots * bt_get_map_shape (map).ranks;

  if (slots < bt_get_map_shape (map).experts || slots > room)
    return;
  bt_read_map_layer (&layer, map, input->load, index);
  memset (layer.load, 0, sizeof layer.load);
  memset (layer.used, 0, sizeof layer.used);
  memset (layer.holders, 0, sizeof layer.holders);
  count_replicas (&layer, input->limits.slots, replicas);
  for (int32_t expert = 0; expert < layer.experts; expert++)
    for (int32_t i = 0; i < replicas[expert]; i++)
      list[count++] = (replica_t){ expert, layer.tokens[expert] / replicas[expert] };
  qsort (list, (size_t)count, sizeof list[0], compare_replicas);
  for (int32_t i = 0; i < count; i++)
    place_replica (&layer, input->limits.slots, list[i]);
  for (int32_t expert = 0; expert < layer.experts; expert++)
    bt_set_map_ranks (map, index, expert, layer.holders[expert]);
}
