#ifndef BILBERRYTRAY_SOURCE_GATEWAY_GROUP_CONTROL_H
#define BILBERRYTRAY_SOURCE_GATEWAY_GROUP_CONTROL_H

/** @file
 * Adapts the expert maps of rank groups to the demand of requests. Only the entry instance that
 * holds the lease, the leader, does so.
 */

#include "agent_links.h"
#include "lease_keeper.h"

typedef struct bt_group_control bt_group_control_t;

typedef struct bt_group_control_options
{
  const bt_platform_t *platform;
  const char *store;
  const char *instance;
  double cores;              /**< Processor share of this instance, in cores. */
  int64_t lease_s;           /**< Lifetime of the lease. */
  int64_t renew_ms;          /**< Interval between two renewals. */
  int64_t plan_ms;           /**< Interval between two plans for one group. */
  int64_t handover_delay_ms; /**< An instance with more processor share must be listed this long
                                 before the leader hands over to it. Otherwise an instance that
                                 comes and goes would leave the groups without a leader each
                                 time. */
  int64_t past_lease_ms; /**< How long a leader goes on past the end of a lease that it can't renew,
                            unless the store says that the lease has ended, if an app with engines
                            is contended; 0: not at all. */
} bt_group_control_options_t;

bt_group_control_t *bt_new_group_control (bt_context_t *ctx,
                                          bt_event_loop_t *loop,
                                          bt_agent_links_t *links,
                                          const bt_group_control_options_t *options);

/** NULL is accepted. */
void bt_drop_group_control (bt_context_t *ctx, bt_group_control_t *control);

/** Applies a view of the store: whether another instance leads, and how long this instance waits
 * before it tries to get the lease. @p leaving is true while this instance shuts down. */
void bt_set_group_view (bt_group_control_t *control, const bt_view_t *view, bool leaving);

/** Applies an agent's update. @p engine describes the engines of the app, @p pass_limit is the
 * number of concurrent requests that the engine may run now. */
void bt_handle_group_update (bt_group_control_t *control,
                             const bt_engine_t *engine,
                             const bt_agent_update_t *update,
                             int32_t pass_limit);

/** Returns true while this instance leads and a round is in progress or a group's state is unknown.
 */
bool bt_is_group_round_open (const bt_group_control_t *control);

/** Plans, and sends the orders that are due. Called in each iteration of the event loop. */
void bt_run_group_control (bt_group_control_t *control);

#endif
