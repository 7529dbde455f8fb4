#ifndef BILBERRYTRAY_MAP_SEARCH_H
#define BILBERRYTRAY_MAP_SEARCH_H

/** @file
 * The search for the next change that balances one layer; private to the planners.
 */

#include "map_layer.h"

enum
{
  BT_NO_EXPERT = -1,
};

/** One change to a layer: an expert moves from one rank to another, is added to a rank, or is
 * removed from one. If the receiving rank has to drop another expert for it, that one may move in
 * the opposite direction. */
typedef struct bt_map_change
{
  int32_t expert;
  int32_t from;      /**< The rank that drops the expert; BT_NO_RANK: none. */
  int32_t to;        /**< The rank that receives the expert; BT_NO_RANK: none. */
  int32_t other;     /**< The expert that @p to drops; BT_NO_EXPERT: none. */
  int32_t back;      /**< The rank that receives @p other; BT_NO_RANK: none. */
  int32_t transfers; /**< Transfers added by the change; negative when it saves some. */
  double gain;       /**< Reduction of the search's sum, less the cost of the transfers. */
} bt_map_change_t;

/** The state of a search. */
typedef struct bt_map_search
{
  bt_map_layer_t *layer;
  const bt_expert_map_t *in_use; /**< The map in use. */
  int32_t index;
  const bool *pinned;       /**< By expert: its replicas are not removed; NULL: none is pinned. */
  int32_t max_new_replicas; /**< Maximum number of new replicas of the layer on one rank; 0: no
                               limit. */
  int32_t slots;            /**< Replicas that one rank can hold. */
  double transfer_load;     /**< Reduction of the busiest rank's load that is worth one transfer. */
  int32_t *copies;          /**< By rank: new replicas in all layers; NULL: not counted. */
  int32_t max_copies;       /**< Limit of each element of @p copies. */
  bool limited_by_copies;   /**< The last search skipped changes because of that limit. */
  int32_t *new_replicas;    /**< By rank: new replicas of this layer so far. */
  double *powers; /**< By rank: the term of its load in the sum; scratch space of one search. */
} bt_map_search_t;

/** Creates a search in layer @p index of the input's current map, with the input's limits. */
bt_map_search_t *bt_new_map_search (bt_context_t *ctx,
                                    bt_map_layer_t *layer,
                                    const bt_map_input_t *input,
                                    int32_t index);

/** NULL is accepted. Does not free the layer. */
void bt_drop_map_search (bt_context_t *ctx, bt_map_search_t *search);

/** Finds the change that balances the layer most; false when none is worth its transfers. */
bool bt_find_map_change (bt_map_search_t *search, bt_map_change_t *change);

/** True when an earlier result of a search still keeps to the limits of new replicas. */
bool bt_is_map_change_allowed (const bt_map_search_t *search, const bt_map_change_t *change);

/** Applies a change to the layer. */
void bt_apply_map_change (bt_map_search_t *search, const bt_map_change_t *change);

#endif
