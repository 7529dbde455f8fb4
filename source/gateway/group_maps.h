#ifndef BILBERRYTRAY_SOURCE_GATEWAY_GROUP_MAPS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_GROUP_MAPS_H

/** @file
 * The expert maps of one group: the map in use, assembled from the ranks' reports, the loads of its
 * experts, and the planned next map. Uses no sockets, threads or clocks.
 */

#include "bilberrytray/config/declarations.h"
#include "bilberrytray/maps/map_planner.h"

typedef struct bt_group_maps bt_group_maps_t;

/** How maps are planned. */
typedef struct bt_group_maps_settings
{
  int64_t load_half_life_ms; /**< Half-life of the experts' recorded loads between jumps. */
  int64_t horizon_ms;        /**< How long a gain is assumed to last. */
  const bt_map_planner_t *planner;
  bool keep_past;     /**< Keep the counts of picks when demand jumps. */
  double copy_weight; /**< Cost of a millisecond spent on copying; 0: derived from the group's
                         fullness. */
  double pay_ratio;   /**< A gain must be at least this many times its cost. */
  double least_gain;  /**< Minimum part of the skew that a plan must remove. */
} bt_group_maps_settings_t;

/** Returns default settings, suited to loads that drift within seconds. */
bt_group_maps_settings_t bt_get_default_group_maps_settings (void);

/** Returns NULL if the engine's sizes exceed the limits of a map. */
bt_group_maps_t *bt_new_group_maps (bt_context_t *ctx,
                                    const bt_engine_t *engine,
                                    int32_t ranks,
                                    const bt_group_maps_settings_t *settings);

/** NULL is accepted. */
void bt_drop_group_maps (bt_context_t *ctx, bt_group_maps_t *maps);

/** Drops the map in use and the planned one. The loads stay, because they depend on the requests
 * only. */
void bt_forget_group_map (bt_context_t *ctx, bt_group_maps_t *maps);

/** Records the experts (set << 16 | expert) that one rank holds in the map of this epoch and
 * version. */
void bt_record_rank_places (bt_context_t *ctx,
                            bt_group_maps_t *maps,
                            int32_t rank,
                            int64_t epoch,
                            int64_t version,
                            const uint32_t *places,
                            int32_t count);

/** Records how often each expert was picked, by set and expert. */
void
bt_record_rank_picks (bt_group_maps_t *maps, const uint32_t *picks, int32_t count, int64_t now_ms);

/** Returns true once after demand has jumped. */
bool bt_poll_group_jump (bt_group_maps_t *maps, int64_t now_ms);

/** Sets a rank's slowdown factor: how many times as long as normal its work takes, 1 for a healthy
 * rank. A lower value counts as 1. */
void bt_set_rank_pace (bt_group_maps_t *maps, int32_t rank, double pace);

/** Records how many requests a rank runs and how many it may run now. The cost of copying depends
 * on both. */
void bt_record_group_rank_running (
    bt_group_maps_t *maps, int32_t rank, int32_t running, int32_t limit, int64_t now_ms);

/** Returns the recent share of the group's request capacity that is in use. The cost of copying
 * depends on it. */
double bt_get_group_maps_fullness (const bt_group_maps_t *maps);

/** Returns the map in use if it is completely known for this epoch and version, else NULL. */
const bt_expert_map_t *
bt_get_group_map (bt_context_t *ctx, bt_group_maps_t *maps, int64_t epoch, int64_t version);

/** Plans the next map from the one in use. Returns NULL if no new map is worth its cost; else the
 * map is valid until the next call of this function, of bt_activate_next_group_map or of
 * bt_forget_group_map. @p skew receives the predicted skew before and after the change. */
const bt_expert_map_t *
bt_plan_next_group_map (bt_context_t *ctx, bt_group_maps_t *maps, int64_t now_ms, double skew[2]);

/** Returns the planned map, or NULL. */
const bt_expert_map_t *bt_get_next_group_map (const bt_group_maps_t *maps);

/** Makes the planned map the map in use, under this version. */
void bt_activate_next_group_map (bt_context_t *ctx, bt_group_maps_t *maps, int64_t version);

#endif
