#ifndef BILBERRYTRAY_SOURCE_ENTRY_MAP_CONTROL_H
#define BILBERRYTRAY_SOURCE_ENTRY_MAP_CONTROL_H

/** @file
 * The part of an entry that may control one rank group: the decisions of bt_map_controller_t with
 * their threads, the lease, and the ranks' links. Every entry passes the ranks' questions on; the
 * one that holds the lease gives orders.
 *
 * The map to bring into use is the digest in the key PREFIX GROUP /wanted; without it, one that the
 * planner finds to pay.
 */

#include "bilberrytray/base/error.h"
#include "bilberrytray/wire/link.h"
#include "map_planning.h"

typedef struct bt_map_control bt_map_control_t;

/** Settings; strings must outlive the control. */
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
  const bt_map_planning_settings_t *planning; /**< Copied; NULL: only wanted maps are used. */
} bt_map_control_settings_t;

bt_map_control_t *bt_new_map_control (bt_context_t *ctx,
                                      const bt_map_control_settings_t *settings,
                                      bt_error_t *error);

/** Ends the threads; no link may call any more. NULL is accepted. */
void bt_drop_map_control (bt_context_t *ctx, bt_map_control_t *control);

/** Takes a frame about maps; false for any other. @p control may be NULL. */
bool
bt_take_map_control_frame (bt_map_control_t *control, bt_link_t *link, const bt_frame_t *frame);

#endif
