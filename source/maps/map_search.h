#ifndef BILBERRYTRAY_MAP_SEARCH_H
#define BILBERRYTRAY_MAP_SEARCH_H

/** @file
 * The search for the next change that evens out one layer; private to the planners.
 */

#include "map_layer.h"

enum
{
  BT_NO_EXPERT = -1,
};

/** One change to a layer: at most two experts get other holders. */
typedef struct bt_map_change
{
  int32_t expert;
  bt_rank_mask_t holders;
  int32_t other; /**< BT_NO_EXPERT where only one changes. */
  bt_rank_mask_t other_holders;
  int32_t transfers; /**< Replicas that the map in use lacks; below 0 when fewer are needed now. */
  double gain;       /**< What it takes off the search's sum, less the price of the transfers. */
} bt_map_change_t;

/** What a search works on. */
typedef struct bt_map_search
{
  bt_map_layer_t *layer;
  const bool *pinned;             /**< By expert: its replicas stay where they are. */
  const bt_rank_mask_t *in_use;   /**< By expert: its holders in the map in use. */
  int32_t rank_adds;              /**< Most new replicas on one rank; 0: no bound. */
  int32_t slots;                  /**< Replicas that fit a rank. */
  double transfer_load;           /**< Load on the busiest rank that is worth one transfer. */
  int32_t adds[BT_MAP_MAX_RANKS]; /**< New replicas so far; zero at the start. */
  int32_t *copies;                /**< By rank: new replicas of all layers; NULL: not counted. */
  int32_t most_copies;            /**< Bound of @p copies. */
} bt_map_search_t;

/** Finds the change that evens the layer out best; false when none is worth its transfers. */
bool bt_find_map_change (const bt_map_search_t *search, bt_map_change_t *change);

/** Carries a change out. */
void bt_apply_map_change (bt_map_search_t *search, const bt_map_change_t *change);

#endif
