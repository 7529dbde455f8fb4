#include "map_layer.h"
#include "map_search.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MOST_SPARE = 4096,  /* replicas beyond one an expert */
  CHANGES_A_RANK = 4, /* a layer's chain of changes ends after so many times its ranks */
  MAX_CHANGES = CHANGES_A_RANK * BT_MAP_MAX_RANKS,
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

void
bt_read_map_layer (bt_map_layer_t *layer,
                   const bt_expert_map_t *map,
                   const bt_expert_load_t *load,
                   const double *paces,
                   int32_t index)
{
  bt_map_shape_t shape = bt_get_map_shape (map);

  memset (layer->load, 0, sizeof layer->load);
  memset (layer->used, 0, sizeof layer->used);
  layer->experts = shape.experts;
  layer->ranks = shape.ranks;
  for (int32_t rank = 0; rank < shape.ranks; rank++)
    layer->pace[rank] = paces == NULL ? 1 : paces[rank];
  for (int32_t expert = 0; expert < shape.experts; expert++)
    {
      bt_rank_mask_t holders = bt_get_map_ranks (map, index, expert);
      double share;

      layer->tokens[expert] = bt_get_expert_load (load, index, expert);
      layer->holders[expert] = holders;
      share = holders == 0 ? 0 : layer->tokens[expert] / bt_count_ranks (holders);
      while (holders != 0)
        {
          int32_t rank = bt_take_rank (&holders);

          layer->load[rank] += share * layer->pace[rank];
          layer->used[rank]++;
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

static void
keep_change (bt_expert_map_t *map, int32_t index, const bt_map_change_t *change)
{
  bt_set_map_ranks (map, index, change->expert, change->holders);
  if (change->other != BT_NO_EXPERT)
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
  bt_map_change_t changes[MAX_CHANGES];
  bt_rank_mask_t in_use[BT_MAP_MAX_EXPERTS];
  bt_map_search_t search = { .layer = &layer,
                             .pinned = pinned,
                             .in_use = in_use,
                             .rank_adds = input->limits.rank_adds,
                             .slots = input->limits.slots };
  double start;
  double spent = 0;
  bt_layer_gain_t gain = { index };
  int64_t transfers = 0;
  int32_t paying = 0;

  bt_read_map_layer (&layer, map, input->load, input->paces, index);
  for (int32_t expert = 0; expert < layer.experts; expert++)
    in_use[expert] = bt_get_map_ranks (input->current, index, expert);
  start = layer.load[bt_find_busiest_rank (&layer)];
  search.transfer_load = prices->load > 0 ? prices->transfer / prices->load : 0;
  /* One change seldom pays alone where several ranks are equally busy, so the whole chain is
   * followed and cut behind its best point. */
  for (int32_t count = 0;
       count < CHANGES_A_RANK * layer.ranks && bt_find_map_change (&search, &changes[count]);)
    {
      double worth;

      bt_apply_map_change (&search, &changes[count]);
      transfers += changes[count].transfers;
      spent += changes[count].transfers * prices->transfer;
      count++;
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
      int32_t hottest = BT_NO_EXPERT;

      for (int32_t expert = 0; expert < layer->experts; expert++)
        if (replicas[expert] < layer->ranks
            && (hottest == BT_NO_EXPERT
                || layer->tokens[expert] / replicas[expert]
                       > layer->tokens[hottest] / replicas[hottest]))
          hottest = expert;
      if (hottest == BT_NO_EXPERT)
        return;
      replicas[hottest]++;
    }
}

static void
place_replica (bt_map_layer_t *layer, int32_t slots, replica_t replica)
{
  int32_t best = -1;

  for (int32_t rank = 0; rank < layer->ranks; rank++)
    if (layer->used[rank] < slots && (layer->holders[replica.expert] & bt_mask_rank (rank)) == 0
        && (best < 0 || layer->load[rank] < layer->load[best]))
      best = rank;
  if (best < 0)
    return; /* only ranks that hold it already have room left */
  layer->holders[replica.expert] |= bt_mask_rank (best);
  layer->load[best] += replica.share * layer->pace[best];
  layer->used[best]++;
}

void
bt_pack_map_layer (bt_expert_map_t *map, const bt_map_input_t *input, int32_t index)
{
  bt_map_layer_t layer;
  int32_t replicas[BT_MAP_MAX_EXPERTS];
  replica_t list[BT_MAP_MAX_EXPERTS + MOST_SPARE];
  int32_t count = 0;
  int32_t room = (int32_t)(sizeof list / sizeof list[0]);
  int64_t slots = (int64_t)input->limits.slots * bt_get_map_shape (map).ranks;

  if (slots < bt_get_map_shape (map).experts || slots > room)
    return;
  bt_read_map_layer (&layer, map, input->load, input->paces, index);
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
