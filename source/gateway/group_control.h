#ifndef BILBERRYTRAY_SOURCE_GATEWAY_GROUP_CONTROL_H
#define BILBERRYTRAY_SOURCE_GATEWAY_GROUP_CONTROL_H

/** @file
 * Keeps the expert maps of rank groups in step with what requests ask for, on the one entry
 * instance that holds the lease.
 */

#include "agent_links.h"
#include "lease_keeper.h"

typedef struct bt_group_control bt_group_control_t;

typedef struct bt_group_control_options
{
  const bt_platform_t *platform;
  const char *store;
  const char *instance;
  double cores;      /**< Processor share of this instance. */
  int64_t lease_s;   /**< Life of the lease. */
  int64_t renew_ms;  /**< Between two renewals. */
  int64_t plan_ms;   /**< Between two plans for one group. */
  int64_t steady_ms; /**< An instance with more room is listed for so long before the leader hands
                          over to it: one that comes and goes would leave the groups without a
                          leader at each turn. */
} bt_group_control_options_t;

bt_group_control_t *bt_new_group_control (bt_context_t *ctx,
                                          bt_event_loop_t *loop,
                                          bt_agent_links_t *links,
                                          const bt_group_control_options_t *options);

/** NULL is accepted. */
void bt_drop_group_control (bt_context_t *ctx, bt_group_control_t *control);

/** Takes in a view: whether another instance leads, and how long this one waits for its turn. */
void bt_set_group_view (bt_group_control_t *control, const bt_view_t *view, bool leaving);

/** Takes in what an agent says of its engine, which serves an app with these sizes, and how many
 * requests that engine may run now. */
void bt_take_group_news (bt_group_control_t *control,
                         const bt_engine_t *engine,
                         const bt_agent_news_t *news,
                         int32_t pass_limit);

/** True while a round that this instance leads is under way. */
bool bt_is_group_round_open (const bt_group_control_t *control);

/** Plans, and sends what orders are due. Called in each turn of the loop. */
void bt_run_group_control (bt_group_control_t *control);

#endif
