#ifndef BILBERRYTRAY_MAP_LAYER_H
#define BILBERRYTRAY_MAP_LAYER_H

/** @file
 * One layer of a map while it is planned; private to the planners.
 */

#include "bilberrytray/maps/map_planner.h"

/** The ranks' loads in one layer. */
typedef struct bt_map_layer
{
  int32_t experts;
  int32_t ranks;
  double tokens[BT_MAP_MAX_EXPERTS];          /**< An expert's load over all its replicas. */
  bt_rank_mask_t holders[BT_MAP_MAX_EXPERTS]; /**< The ranks that hold it. */
  double load[BT_MAP_MAX_RANKS];              /**< Tokens, times the rank's pace. */
  double pace[BT_MAP_MAX_RANKS];
  int32_t used[BT_MAP_MAX_RANKS]; /**< Replicas on the rank. */
} bt_map_layer_t;

/** Weighted prices, in one unit. */
typedef struct bt_map_prices
{
  double load;     /**< Worth of one token less on the busiest rank. */
  double transfer; /**< Price of one replica moved, with hysteresis. */
} bt_map_prices_t;

/** Milliseconds of step time over the horizon that one unit of skew costs. */
double bt_price_skew_ms (const bt_map_input_t *input);

/** Milliseconds of step time that one transfer costs. */
double bt_price_transfer_ms (const bt_map_input_t *input);

void bt_read_map_layer (bt_map_layer_t *layer,
                        const bt_expert_map_t *map,
                        const bt_expert_load_t *load,
                        const double *paces,
                        int32_t index);

int32_t bt_find_busiest_rank (const bt_map_layer_t *layer);

/** Packs a layer anew: replicas go to the experts with most load a replica, then each, heaviest
 * first, to the least loaded rank with a free slot. A layer that cannot fit is left alone. */
void bt_pack_map_layer (bt_expert_map_t *map, const bt_map_input_t *input, int32_t index);

/** What a layer's changes come to. */
typedef struct bt_layer_gain
{
  int32_t layer;
  double worth; /**< Weighted, less the price of the transfers. */
  int64_t transfers;
} bt_layer_gain_t;

/** Relieves the busiest rank again and again, and keeps the changes up to where they pay best.
 * Replicas of @p pinned experts stay where they are. */
bt_layer_gain_t bt_improve_map_layer (bt_expert_map_t *map,
                                      const bt_map_input_t *input,
                                      int32_t index,
                                      const bt_map_prices_t *prices,
                                      const bool *pinned);

#endif
