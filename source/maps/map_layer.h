#ifndef BILBERRYTRAY_MAP_LAYER_H
#define BILBERRYTRAY_MAP_LAYER_H

/** @file
 * One layer of a map during planning; private to the planners.
 */

#include "bilberrytray/maps/map_planner.h"

/** The loads of the ranks in one layer, and the experts that they hold. */
typedef struct bt_map_layer
{
  int32_t experts;
  int32_t ranks;
  int32_t words;         /**< Words per set of ranks. */
  int32_t held_capacity; /**< Capacity of a rank's list of experts. */
  double *tokens;        /**< By expert: its load over all its replicas. */
  uint64_t *holders;     /**< By expert: the set of ranks that hold it. */
  int32_t *replicas;     /**< By expert: number of ranks that hold it. */
  double *load;          /**< By rank: tokens times the rank's slowdown factor. */
  double *pace;          /**< By rank: slowdown factor. */
  int32_t *held_count;   /**< By rank: number of experts that it holds. */
  int16_t *held_experts; /**< By rank: the experts that it holds, unordered. */
} bt_map_layer_t;

/** Weighted values and costs, in the same unit. */
typedef struct bt_map_costs
{
  double load_value;    /**< Value of one token less on the busiest rank. */
  double transfer_cost; /**< Cost of one transfer, with hysteresis. */
} bt_map_costs_t;

/** The step time in milliseconds that one unit of skew costs over the horizon. */
double bt_get_skew_cost_ms (const bt_map_input_t *input);

/** The step time in milliseconds that one transfer costs. */
double bt_get_transfer_cost_ms (const bt_map_input_t *input);

/** Reads layer @p index of a map. The lists of experts have room for @p slots experts per rank, or
 * for as many as a rank already holds. */
bt_map_layer_t *bt_read_map_layer (bt_context_t *ctx,
                                   const bt_expert_map_t *map,
                                   const bt_expert_load_t *load,
                                   const double *paces,
                                   int32_t index,
                                   int32_t slots);

/** NULL is accepted. */
void bt_drop_map_layer (bt_context_t *ctx, bt_map_layer_t *layer);

/** Writes the holders back into layer @p index of a map. */
void bt_store_map_layer (const bt_map_layer_t *layer, bt_expert_map_t *map, int32_t index);

/** The list of the experts that a rank holds. */
int16_t *bt_get_held_experts (const bt_map_layer_t *layer, int32_t rank);

/** The ranks that hold an expert in this layer. */
bt_rank_set_t bt_get_layer_holders (const bt_map_layer_t *layer, int32_t expert);

/** Add a rank to the holders of an expert, or remove it, and spread the expert's load evenly over
 * the new holders. */
void bt_add_layer_holder (bt_map_layer_t *layer, int32_t expert, int32_t rank);
void bt_remove_layer_holder (bt_map_layer_t *layer, int32_t expert, int32_t rank);

int32_t bt_find_busiest_rank (const bt_map_layer_t *layer);

/** Packs a layer from scratch: spare slots go to the experts with the highest load per replica;
 * then the replicas, heaviest first, go to the least loaded rank with a free slot. A layer that
 * does not fit is left unchanged. */
void bt_pack_map_layer (bt_context_t *ctx,
                        bt_expert_map_t *map,
                        const bt_map_input_t *input,
                        int32_t index);

/** The total effect of the changes to a layer. */
typedef struct bt_layer_gain
{
  int32_t layer;
  double net_value; /**< Weighted value, less the cost of the transfers. */
  int64_t transfers;
} bt_layer_gain_t;

/** Relieves the busiest ranks repeatedly, and keeps the changes up to the point of the highest net
 * value. Replicas of @p pinned experts are not removed. */
bt_layer_gain_t bt_improve_map_layer (bt_context_t *ctx,
                                      bt_expert_map_t *map,
                                      const bt_map_input_t *input,
                                      int32_t index,
                                      const bt_map_costs_t *costs,
                                      const bool *pinned);

#endif
