#ifndef BILBERRYTRAY_SOURCE_ENTRY_MAP_PLANNING_H
#define BILBERRYTRAY_SOURCE_ENTRY_MAP_PLANNING_H

/** @file
 * Plans the maps of the group that an entry instance controls, from the loads in the ranks'
 * reports. Maps are stored in the key-value store under PREFIX GROUP /map/DIGEST, so that a new
 * controller finds the one in use.
 */

#include "bilberrytray/maps/map_planner.h"
#include "bilberrytray/store/kv.h"
#include "bilberrytray/wire/frame.h"

typedef struct bt_map_planning bt_map_planning_t;

/** Settings. The strings must outlive the planning. */
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

/** Returns the digest of the map that a group without a map starts with. */
uint64_t bt_get_first_map (const bt_map_planning_t *planning);

/** Adds the expert loads of a report. Can be called from any thread. */
void
bt_record_map_loads (bt_map_planning_t *planning, const Bilberry__MapReport *frame, int64_t now_ms);

/** Plans once per interval if the map @p in_use is cached and loads were reported. Returns the
 * digest of a map whose gain is sufficient, or 0. That map is then stored, and the maps that no
 * rank can need any more are deleted from the store. Nothing is written unless @p fence is still
 * the newest fencing number. Blocks on the store; call it from one thread only. */
uint64_t bt_plan_next_map (
    bt_map_planning_t *planning, bt_kv_t *kv, uint64_t fence, uint64_t in_use, int64_t now_ms);

/** Caches a map that is not cached yet: builds the first map, and reads any other from the store.
 * Does nothing if @p digest is 0. Blocks on the store; call it from one thread only. */
void bt_fetch_map (bt_map_planning_t *planning, bt_kv_t *kv, uint64_t digest);

/** Copies a map's bytes, which the caller frees. Returns false if the map is not cached. Can be
 * called from any thread. */
bool bt_copy_map_bytes (bt_map_planning_t *planning, uint64_t digest, bt_map_bytes_t *bytes);

#endif
