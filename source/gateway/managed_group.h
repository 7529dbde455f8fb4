#ifndef BILBERRYTRAY_SOURCE_GATEWAY_MANAGED_GROUP_H
#define BILBERRYTRAY_SOURCE_GATEWAY_MANAGED_GROUP_H

/** @file
 * The state that a leader keeps of one rank group: its rounds, its maps, and the links to its
 * agents. Instances that do not lead keep it too, so that they know the demand when they become the
 * leader.
 */

#include "agent_links.h"

typedef struct bt_managed_group bt_managed_group_t;

/** Parameters of one run of bt_run_managed_group. */
typedef struct bt_group_run_params
{
  int64_t now_ms;
  uint64_t fence;        /**< Fencing number of the leader's lease. */
  int64_t hold_until_ms; /**< The group must not be held after this time. */
  int64_t plan_ms;       /**< Interval between two plans. */
  bool may_begin_rounds; /**< False for a leader that is about to hand over. */
} bt_group_run_params_t;

/** Creates the state of the group that a report names. Returns NULL if the group's sizes exceed the
 * limits of a map. */
bt_managed_group_t *bt_new_managed_group (bt_context_t *ctx,
                                          bt_agent_links_t *links,
                                          const bt_engine_t *engine,
                                          const bt_engine_report_t *report);

/** NULL is accepted. */
void bt_drop_managed_group (bt_context_t *ctx, bt_managed_group_t *group);

/** Returns true if a report comes from an engine of this group. */
bool bt_is_report_of_group (const bt_managed_group_t *group, const bt_engine_report_t *report);

/** Starts to lead the group. Its map is unknown at first. */
void bt_begin_leading_group (bt_managed_group_t *group, uint64_t fence);
void bt_end_leading_group (bt_managed_group_t *group);

/** Applies an agent's update. @p pass_limit is the number of concurrent requests that the engine
 * may run now. */
void bt_handle_managed_group_update (bt_managed_group_t *group,
                                     const bt_agent_update_t *update,
                                     int32_t pass_limit,
                                     int64_t now_ms);

/** Returns true while a round is in progress, or the state of a rank is not known. */
bool bt_is_managed_round_open (const bt_managed_group_t *group);

/** Returns true while a round is in progress or the orders of an abandoned one are being undone. */
bool bt_has_managed_group_orders (const bt_managed_group_t *group);

/** Plans, and sends the orders that are due. Returns false if an engine reported a newer leader. */
bool bt_run_managed_group (bt_managed_group_t *group, const bt_group_run_params_t *params);

#endif
