#ifndef BILBERRYTRAY_SOURCE_ENTRY_MAP_PLANNING_H
#define BILBERRYTRAY_SOURCE_ENTRY_MAP_PLANNING_H

/** @file
 * Plans the maps of the group that an entry controls: loads from the ranks' reports in, the next
 * map out. Maps are kept in the key-value service under PREFIX GROUP /map/DIGEST, so that a new
 * controller finds the one in use.
 */

#include "bilberrytray/maps/map_planner.h"
#include "bilberrytray/store/kv.h"
#include "bilberrytray/wire/frame.h"

typedef struct bt_map_planning bt_map_planning_t;

/** Settings; strings must outlive the planning. */
typedef struct bt_map_planning_settings
{
  const char *group;
  const char *store_prefix;
  bt_map_shape_t shape;
  bt_map_weights_t weights;
  bt_map_limits_t limits;
  int64_t half_life_ms;
  int64_t interval_ms;
} bt_map_planning_settings_t;

bt_map_planning_t *bt_new_map_planning (bt_context_t *ctx,
                                        const bt_map_planning_settings_t *settings);

/** NULL is accepted. */
void bt_drop_map_planning (bt_context_t *ctx, bt_map_planning_t *planning);

/** The digest of the map that a group without any starts with. */
uint64_t bt_get_first_map (const bt_map_planning_t *planning);

/** Takes the loads of a report; from any thread. */
void
bt_take_map_loads (bt_map_planning_t *planning, const Bilberry__MapReport *frame, int64_t now_ms);

/** Plans once an interval when @p in_use is known; returns the digest of a map that pays, or 0. The
 * map is in the service then, and those that no rank can need any more are gone from it. Nothing is
 * written unless @p fence is still the newest. Blocks on the service; from one thread. */
uint64_t bt_plan_next_map (
    bt_map_planning_t *planning, bt_kv_t *kv, uint64_t fence, uint64_t in_use, int64_t now_ms);

/** Makes sure that a map's bytes are at hand, reading them from the service. Blocks; from one
 * thread. */
void bt_fetch_map (bt_map_planning_t *planning, bt_kv_t *kv, uint64_t digest);

/** Copies a map's bytes, to be freed; false when they are not at hand. From any thread. */
bool bt_copy_map_bytes (bt_map_planning_t *planning, uint64_t digest, bt_map_bytes_t *bytes);

#endif
