#include "map_layer.h"
#include "map_search.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MAX_CHANGES_PER_RANK = 4, /* maximum number of changes per rank in a layer */
};

static const double us_per_ms = 1000.0;
static const double bytes_per_mb = 1000000.0;

double
bt_get_skew_cost_ms (const bt_map_input_t *input)
{
  return input->limits.expert_share * (double)input->weights.horizon_ms;
}

double
bt_get_transfer_cost_ms (const bt_map_input_t *input)
{
  return (double)input->limits.expert_bytes / bytes_per_mb * (double)input->limits.move_us_per_mb
         / us_per_ms;
}

static bt_map_layer_t *
new_layer (bt_context_t *ctx, bt_map_shape_t shape)
{
  bt_map_layer_t *layer = bt_calloc (ctx, 1, sizeof *layer);
  size_t experts = (size_t)shape.experts;
  size_t ranks = (size_t)shape.ranks;

  layer->experts = shape.experts;
  layer->ranks = shape.ranks;
  layer->words = bt_count_rank_words (shape.ranks);
  layer->tokens = bt_calloc (ctx, experts, sizeof *layer->tokens);
  layer->holders = bt_calloc (ctx, experts * (size_t)layer->words, sizeof *layer->holders);
  layer->replicas = bt_calloc (ctx, experts, sizeof *layer->replicas);
  layer->load = bt_calloc (ctx, ranks, sizeof *layer->load);
  layer->pace = bt_calloc (ctx, ranks, sizeof *layer->pace);
  layer->held_count = bt_calloc (ctx, ranks, sizeof *layer->held_count);
  return layer;
}

void
bt_drop_map_layer (bt_context_t *ctx, bt_map_layer_t *layer)
{
  if (layer == NULL)
    return;
  bt_free (ctx, layer->tokens);
  bt_free (ctx, layer->holders);
  bt_free (ctx, layer->replicas);
  bt_free (ctx, layer->load);
  bt_free (ctx, layer->pace);
  bt_free (ctx, layer->held_count);
  bt_free (ctx, layer->held_experts);
  bt_free (ctx, layer);
}

static uint64_t *
get_holder_words (const bt_map_layer_t *layer, int32_t expert)
{
  return &layer->holders[(size_t)expert * (size_t)layer->words];
}

bt_rank_set_t
bt_get_layer_holders (const bt_map_layer_t *layer, int32_t expert)
{
  return (bt_rank_set_t){ get_holder_words (layer, expert), layer->words };
}

int16_t *
bt_get_held_experts (const bt_map_layer_t *layer, int32_t rank)
{
  return &layer->held_experts[(size_t)rank * (size_t)layer->held_capacity];
}

/* Lists the experts of each rank, so that a search need not scan all experts of the layer. */
static void
list_held_experts (bt_context_t *ctx, bt_map_layer_t *layer, int32_t slots)
{
  layer->held_capacity = slots;
  for (int32_t rank = 0; rank < layer->ranks; rank++)
    if (layer->held_count[rank] > layer->held_capacity)
      layer->held_capacity = layer->held_count[rank];
  layer->held_experts = bt_calloc (ctx, (size_t)layer->ranks * (size_t)layer->held_capacity,
                                   sizeof *layer->held_experts);
  memset (layer->held_count, 0, (size_t)layer->ranks * sizeof *layer->held_count);
  for (int32_t expert = 0; expert < layer->experts; expert++)
    {
      bt_rank_set_t holders = bt_get_layer_holders (layer, expert);

      for (int32_t rank = bt_find_rank (holders, 0); rank != BT_NO_RANK;
           rank = bt_find_rank (holders, rank + 1))
        bt_get_held_experts (layer, rank)[layer->held_count[rank]++] = (int16_t)expert;
    }
}

static void
read_expert (bt_map_layer_t *layer, int32_t expert, bt_rank_set_t holders, double tokens)
{
  int32_t replicas = bt_count_ranks (holders);
  double share = replicas == 0 ? 0 : tokens / replicas;

  layer->tokens[expert] = tokens;
  layer->replicas[expert] = replicas;
  memcpy (get_holder_words (layer, expert), holders.words,
          (size_t)layer->words * sizeof *layer->holders);
  for (int32_t rank = bt_find_rank (holders, 0); rank != BT_NO_RANK;
       rank = bt_find_rank (holders, rank + 1))
    {
      layer->load[rank] += share * layer->pace[rank];
      layer->held_count[rank]++;
    }
}

bt_map_layer_t *
bt_read_map_layer (bt_context_t *ctx,
                   const bt_expert_map_t *map,
                   const bt_expert_load_t *load,
                   const double *paces,
                   int32_t index,
                   int32_t slots)
{
  bt_map_layer_t *layer = new_layer (ctx, bt_get_map_shape (map));

  for (int32_t rank = 0; rank < layer->ranks; rank++)
    layer->pace[rank] = paces == NULL ? 1 : paces[rank];
  for (int32_t expert = 0; expert < layer->experts; expert++)
    read_expert (layer, expert, bt_get_map_ranks (map, index, expert),
                 bt_get_expert_load (load, index, expert));
  list_held_experts (ctx, layer, slots);
  return layer;
}

void
bt_store_map_layer (const bt_map_layer_t *layer, bt_expert_map_t *map, int32_t index)
{
  for (int32_t expert = 0; expert < layer->experts; expert++)
    bt_set_map_ranks (map, index, expert, bt_get_layer_holders (layer, expert));
}

/* Adds an expert's share to the load of each of its holders (sign 1), or subtracts it (sign -1). */
static void
adjust_load (bt_map_layer_t *layer, int32_t expert, double sign)
{
  bt_rank_set_t holders = bt_get_layer_holders (layer, expert);
  double share;

  if (layer->replicas[expert] == 0)
    return;
  share = sign * layer->tokens[expert] / layer->replicas[expert];
  for (int32_t rank = bt_find_rank (holders, 0); rank != BT_NO_RANK;
       rank = bt_find_rank (holders, rank + 1))
    layer->load[rank] += share * layer->pace[rank];
}

void
bt_add_layer_holder (bt_map_layer_t *layer, int32_t expert, int32_t rank)
{
  adjust_load (layer, expert, -1);
  bt_add_rank (get_holder_words (layer, expert), rank);
  layer->replicas[expert]++;
  bt_get_held_experts (layer, rank)[layer->held_count[rank]++] = (int16_t)expert;
  adjust_load (layer, expert, 1);
}

void
bt_remove_layer_holder (bt_map_layer_t *layer, int32_t expert, int32_t rank)
{
  int16_t *held = bt_get_held_experts (layer, rank);
  int32_t at = 0;

  adjust_load (layer, expert, -1);
  bt_remove_rank (get_holder_words (layer, expert), rank);
  layer->replicas[expert]--;
  while (held[at] != expert)
    at++;
  held[at] = held[--layer->held_count[rank]];
  adjust_load (layer, expert, 1);
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

bt_layer_gain_t
bt_improve_map_layer (bt_context_t *ctx,
                      bt_expert_map_t *map,
                      const bt_map_input_t *input,
                      int32_t index,
                      const bt_map_costs_t *costs,
                      const bool *pinned)
{
  bt_map_layer_t *layer =
      bt_read_map_layer (ctx, map, input->load, input->paces, index, input->limits.slots);
  bt_map_search_t *search = bt_new_map_search (ctx, layer, input, index);
  double start = layer->load[bt_find_busiest_rank (layer)];
  double spent = 0;
  int64_t transfers = 0;
  bt_layer_gain_t gain = { index };
  bt_map_change_t change;

  search->pinned = pinned;
  search->transfer_load = costs->load_value > 0 ? costs->transfer_cost / costs->load_value : 0;
  /* A single change seldom pays when several ranks are equally busy, so the search continues past
   * changes that do not pay and keeps the best state seen. */
  for (int32_t left = MAX_CHANGES_PER_RANK * layer->ranks;
       left > 0 && bt_find_map_change (search, &change); left--)
    {
      double net_value;

      bt_apply_map_change (search, &change);
      transfers += change.transfers;
      spent += change.transfers * costs->transfer_cost;
      net_value = (start - layer->load[bt_find_busiest_rank (layer)]) * costs->load_value - spent;
      if (net_value <= gain.net_value)
        continue;
      gain.net_value = net_value;
      gain.transfers = transfers;
      bt_store_map_layer (layer, map, index);
    }
  bt_drop_map_search (ctx, search);
  bt_drop_map_layer (ctx, layer);
  return gain;
}

/* A replica to place. */
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

/* Lists the replicas of all experts in descending order of their share. */
static replica_t *
list_replicas (bt_context_t *ctx, const bt_map_layer_t *layer, int32_t slots, int32_t *count)
{
  int32_t replicas[BT_MAP_MAX_EXPERTS];
  replica_t *list = bt_calloc (ctx, (size_t)slots * (size_t)layer->ranks, sizeof *list);

  *count = 0;
  count_replicas (layer, slots, replicas);
  for (int32_t expert = 0; expert < layer->experts; expert++)
    for (int32_t i = 0; i < replicas[expert]; i++)
      list[(*count)++] = (replica_t){ expert, layer->tokens[expert] / replicas[expert] };
  qsort (list, (size_t)*count, sizeof *list, compare_replicas);
  return list;
}

static void
place_replica (bt_map_layer_t *layer, int32_t slots, replica_t replica)
{
  bt_rank_set_t holders = bt_get_layer_holders (layer, replica.expert);
  int32_t best = BT_NO_RANK;

  for (int32_t rank = 0; rank < layer->ranks; rank++)
    if (layer->held_count[rank] < slots && !bt_has_rank (holders, rank)
        && (best == BT_NO_RANK || layer->load[rank] < layer->load[best]))
      best = rank;
  if (best == BT_NO_RANK)
    return; /* only ranks that already hold it have a free slot */
  bt_add_rank (get_holder_words (layer, replica.expert), best);
  layer->load[best] += replica.share * layer->pace[best];
  layer->held_count[best]++;
}

void
bt_pack_map_layer (bt_context_t *ctx,
                   bt_expert_map_t *map,
                   const bt_map_input_t *input,
                   int32_t index)
{
  bt_map_layer_t *layer;
  replica_t *list;
  int32_t slots = input->limits.slots;
  int32_t count;

  if ((int64_t)slots * bt_get_map_shape (map).ranks < bt_get_map_shape (map).experts)
    return;
  layer = bt_read_map_layer (ctx, map, input->load, input->paces, index, slots);
  memset (layer->load, 0, (size_t)layer->ranks * sizeof *layer->load);
  memset (layer->held_count, 0, (size_t)layer->ranks * sizeof *layer->held_count);
  memset (layer->holders, 0,
          (size_t)layer->experts * (size_t)layer->words * sizeof *layer->holders);
  list = list_replicas (ctx, layer, slots, &count);
  for (int32_t i = 0; i < count; i++)
    place_replica (layer, slots, list[i]);
  bt_store_map_layer (layer, map, index);
  bt_free (ctx, list);
  bt_drop_map_layer (ctx, layer);
}
