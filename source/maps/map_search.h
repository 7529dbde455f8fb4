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

/** One change to a layer: an expert moves, comes to one more rank or leaves one, and where the rank
 * that gets it has to give another up for it, that one may go the opposite way. */
typedef struct bt_map_change
{
  int32_t expert;
  int32_t from;      /**< The rank that gives it up; BT_NO_RANK: none. */
  int32_t to;        /**< The rank that gets it; BT_NO_RANK: none. */
  int32_t other;     /**< What @p to gives up; BT_NO_EXPERT: nothing. */
  int32_t back;      /**< The rank that gets @p other; BT_NO_RANK: none. */
  int32_t transfers; /**< Replicas that the map in use lacks; below 0 when fewer are needed now. */
  double gain;       /**< What it takes off the search's sum, less the price of the transfers. */
} bt_map_change_t;

/** What a search works on. */
typedef struct bt_map_search
{
  bt_map_layer_t *layer;
  const bt_expert_map_t *in_use; /**< The map in use, and the layer's place in it. */
  int32_t index;
  const bool *pinned;   /**< By expert: its replicas stay where they are; NULL: none does. */
  int32_t rank_adds;    /**< Most new replicas on one rank; 0: no bound. */
  int32_t slots;        /**< Replicas that fit a rank. */
  double transfer_load; /**< Load on the busiest rank that is worth one transfer. */
  int32_t *copies;      /**< By rank: new replicas of all layers; NULL: not counted. */
  int32_t most_copies;  /**< Bound of @p copies. */
  bool short_of_copies; /**< The last search left something out for that bound. */
  int32_t *adds;        /**< By rank: new replicas so far. */
  double *powers;       /**< By rank: what its load adds to the sum; scratch of one search. */
} bt_map_search_t;

/** Makes a search of a layer of the input's map in use, with the input's limits. */
bt_map_search_t *bt_new_map_search (bt_context_t *ctx,
                                    bt_map_layer_t *layer,
                                    const bt_map_input_t *input,
                                    int32_t index);

/** NULL is accepted. The layer stays. */
void bt_drop_map_search (bt_context_t *ctx, bt_map_search_t *search);

/** Finds the change that evens the layer out best; false when none is worth its transfers. */
bool bt_find_map_change (bt_map_search_t *search, bt_map_change_t *change);

/** True when a change that was found before still keeps to the bounds of new replicas. */
bool bt_is_map_change_allowed (const bt_map_search_t *search, const bt_map_change_t *change);

/** Carries a change out. */
void bt_apply_map_change (bt_map_search_t *search, const bt_map_change_t *change);

#endif
