#ifndef BILBERRYTRAY_SOURCE_GATEWAY_GROUP_MAPS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_GROUP_MAPS_H

/** @file
 * What the maps of one group hold: the one in use, put together from what each rank says of itself,
 * the loads of its experts, and the next one as planned. No sockets, threads or clocks.
 */

#include "bilberrytray/config/declarations.h"
#include "bilberrytray/maps/map_planner.h"

typedef struct bt_group_maps bt_group_maps_t;

/** How maps are planned. */
typedef struct bt_group_maps_settings
{
  int64_t load_half_life_ms; /**< Of what is remembered of the experts' loads between jumps. */
  int64_t horizon_ms;        /**< How long a gain is taken to last. */
  const bt_map_planner_t *planner;
  bool keep_past;     /**< Counts are not dropped when demand jumps. */
  double copy_weight; /**< Price of a millisecond spent on copying; 0: by how full the group is. */
  double pay_ratio;   /**< A gain must be this many times its cost. */
  double least_gain;  /**< A plan must lower the skew by this part at least. */
} bt_group_maps_settings_t;

/** Sensible settings for loads that drift within seconds. */
bt_group_maps_settings_t bt_get_default_group_maps_settings (void);

/** Makes the record of a group; NULL when the engine's sizes can't be those of a map. */
bt_group_maps_t *bt_new_group_maps (bt_context_t *ctx,
                                    const bt_engine_t *engine,
                                    int32_t ranks,
                                    const bt_group_maps_settings_t *settings);

/** NULL is accepted. */
void bt_drop_group_maps (bt_context_t *ctx, bt_group_maps_t *maps);

/** Forgets which map is in use. The loads stay: they are those of the requests. */
void bt_forget_group_map (bt_context_t *ctx, bt_group_maps_t *maps);

/** Takes in what one rank holds (set << 16 | expert) of the map of this epoch and version. */
void bt_take_rank_places (bt_context_t *ctx,
                          bt_group_maps_t *maps,
                          int32_t rank,
                          int64_t epoch,
                          int64_t version,
                          const uint32_t *places,
                          int32_t count);

/** Takes in how often each expert was picked, by set and expert. */
void
bt_take_rank_picks (bt_group_maps_t *maps, const uint32_t *picks, int32_t count, int64_t now_ms);

/** True once after demand has jumped. */
bool bt_take_group_jump (bt_group_maps_t *maps, int64_t now_ms);

/** Takes in how many times as long as usual a rank's work takes; 1 for a sound one. */
void bt_set_rank_pace (bt_group_maps_t *maps, int32_t rank, double pace);

/** Takes in how many requests a rank runs and how many it may run now, for what copies may cost. */
void bt_take_rank_running (
    bt_group_maps_t *maps, int32_t rank, int32_t running, int32_t limit, int64_t now_ms);

/** The part of the group's room that is taken, of late: the price of copies goes by it. */
double bt_get_group_maps_fullness (const bt_group_maps_t *maps);

/** The map in use, if it is known whole for this epoch and version; else NULL. */
const bt_expert_map_t *
bt_get_group_map (bt_context_t *ctx, bt_group_maps_t *maps, int64_t epoch, int64_t version);

/** Plans the next map from the one in use. NULL when none pays; else it stays until the next call
 * of this, of bt_use_next_group_map or of bt_forget_group_map. @p skew tells what is predicted
 * before and after. */
const bt_expert_map_t *
bt_plan_next_group_map (bt_context_t *ctx, bt_group_maps_t *maps, int64_t now_ms, double skew[2]);

/** The next map as planned, or NULL. */
const bt_expert_map_t *bt_get_next_group_map (const bt_group_maps_t *maps);

/** The next map is in use now, under this version. */
void bt_use_next_group_map (bt_context_t *ctx, bt_group_maps_t *maps, int64_t version);

#endif
