#ifndef BILBERRYTRAY_SOURCE_ENTRY_MAP_CONTROL_H
#define BILBERRYTRAY_SOURCE_ENTRY_MAP_CONTROL_H

/** @file
 * The part of an entry instance that may control one rank group: it runs bt_map_controller_t with
 * its threads, the lease, and the links to the ranks' agents. Every entry instance forwards the
 * ranks' questions; only the one that holds the lease sends orders.
 *
 * The map to bring into use is the one whose digest is in the key PREFIX GROUP /wanted. Without
 * that key, it is a map for which the planner predicts a sufficient gain.
 */

#include "bilberrytray/base/error.h"
#include "bilberrytray/wire/link.h"
#include "map_planning.h"

typedef struct bt_map_control bt_map_control_t;

/** Settings. The strings must outlive the map control. */
typedef struct bt_map_control_settings
{
  const char *instance;
  const char *group;
  int64_t ranks;
  const char *store_url;
  const char *store_prefix;
  int64_t lease_s;
  int64_t arm_steps;
  int64_t stage_limit_ms;
  const bt_map_planning_settings_t *planning; /**< Copied. NULL: maps are not planned. */
} bt_map_control_settings_t;

bt_map_control_t *bt_new_map_control (bt_context_t *ctx,
                                      const bt_map_control_settings_t *settings,
                                      bt_error_t *error);

/** Stops the threads. No link may call the map control any more. NULL is accepted. */
void bt_drop_map_control (bt_context_t *ctx, bt_map_control_t *control);

/** Handles a frame about maps. Returns false for any other frame. @p control may be NULL. */
bool
bt_handle_map_control_frame (bt_map_control_t *control, bt_link_t *link, const bt_frame_t *frame);

#endif
