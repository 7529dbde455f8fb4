#ifndef BILBERRYTRAY_SOURCE_GATEWAY_GATEWAY_PRIVATE_H
#define BILBERRYTRAY_SOURCE_GATEWAY_GATEWAY_PRIVATE_H

/** @file
 * The state of the gateway that its source files share. It is used on the event loop's thread only.
 */

#include "bilberrytray/base/random.h"
#include "bilberrytray/gateway/gateway.h"
#include "bilberrytray/load/admission.h"
#include "bilberrytray/load/group_outages.h"
#include "bilberrytray/load/pass_limiter.h"
#include "bilberrytray/load/retry_budget.h"
#include "crash_control.h"
#include "delays.h"
#include "endpoint_selection.h"
#include "endpoint_status.h"
#include "endpoint_table.h"
#include "exchange.h"
#include "group_control.h"
#include "http_frontend.h"
#include "leaving_notice.h"
#include "part_control.h"
#include "room_control.h"
#include "stop_plan.h"
#include "store_follower.h"
#include "timings.h"

struct bt_forward;

/** The retry budget of one app. */
typedef struct bt_app_budget
{
  char app[BT_NAME_BYTES];
  bt_retry_budget_t *budget;
} bt_app_budget_t;

/** The pass limiter of one group of engines. */
typedef struct bt_group_limiter
{
  char group[BT_NAME_BYTES];
  char app[BT_NAME_BYTES];
  bt_pass_limiter_t *limiter;
} bt_group_limiter_t;

struct bt_gateway
{
  bt_context_t *ctx;
  const bt_platform_t *platform;
  const bt_gateway_settings_t *settings;
  bt_event_loop_t *loop;
  bt_random_t random;
  bt_identity_t identity;

  bt_frontend_t *caller_frontend;
  bt_frontend_t *address_frontend;
  bt_frontend_t *ready_frontend;
  bt_frontend_handler_t call_handler;
  bt_frontend_handler_t address_handler;
  bt_frontend_handler_t ready_handler;
  bt_exchange_pool_t *exchanges;

  bt_store_follower_t *follower;
  bt_store_listener_t listener;
  bt_view_t *view; /**< The latest view of the store; NULL before the first one. */
  bool store_lost;

  bt_timings_t timings;
  bt_delays_t *delays;
  bt_router_t *router;
  bt_group_outages_t *outages;
  bt_admission_t *admission;
  bt_endpoint_table_t *endpoints;
  bt_endpoint_selection_t *selection;
  bt_endpoint_status_t *endpoint_status;
  bt_crash_reporter_t *crash_reporter;
  bt_crash_control_t *crashes;
  bt_part_control_t *parts;
  bt_part_control_handler_t trial_handler;
  bt_fingerprint_key_t fingerprint_key;
  bt_agent_links_t *agents;
  bt_group_control_t *groups;
  bt_room_control_t *rooms; /**< NULL: no capacity is reserved. */
  bt_room_handler_t room_handler;
  bt_loop_hook_t agent_hook;
  bt_group_limiter_t *limiters;
  int32_t limiter_count;
  bt_app_budget_t *budgets;
  int32_t budget_count;

  struct bt_forward *first_forward; /**< List of all requests in progress. */
  int32_t forwards;
  /** Called when an attempt has ended, so that its endpoint may have capacity. Set by the layer
   * that dispatches queued requests. */
  void (*on_attempt_end) (bt_gateway_t *gateway);
  uint64_t last_forward_id;
  bt_timer_t queue_timer;
  bt_timer_t relist_timer; /**< Expires when endpoints that lapsed are to be removed. */

  bool leaving;
  bt_stop_plan_t stop; /**< Valid while leaving. */
  bt_leaving_notice_t *notice;
  bt_task_t stop_task;
  bt_timer_t stop_timer;
};

/** Returns a random number to seed a decision of the router or of admission. */
uint64_t bt_draw_gateway_seed (bt_gateway_t *gateway);

/** Records the first attempt of a request, which adds a fraction of a retry to its app's budget. */
void bt_record_app_request (bt_gateway_t *gateway, const char *app);

/** Takes one retry from an app's budget. @return false when none is left. */
bool bt_take_app_retry (bt_gateway_t *gateway, const char *app, bt_retry_t retry);

/** Sets the reserves of all retry budgets by the number of entries in the latest view. */
void bt_update_app_budgets (bt_gateway_t *gateway);

/** Frees the retry budgets of all apps. */
void bt_drop_app_budgets (bt_gateway_t *gateway);

/** Applies what the agents have reported since the last call. @return false if that is nothing. */
bool bt_handle_agent_updates (bt_gateway_t *gateway);

/** Returns the time of a pass with almost no requests in an app's fastest group, in ms; 0 if it is
 * not known. */
double bt_get_app_least_pass_ms (const bt_gateway_t *gateway, const char *app);

/** Updates the metrics and the status that tell what endpoints have said of their room. */
void bt_publish_notices (bt_gateway_t *gateway);

/** Frees the pass limiters of all groups. */
void bt_drop_group_limiters (bt_gateway_t *gateway);

/** Starts to process a caller's request: matches a rule, then sends, queues or refuses it. */
void bt_start_forward (bt_gateway_t *gateway, bt_frontend_call_t *call);

/** Ends a request in progress whose caller has disconnected. */
void bt_abandon_forward (bt_gateway_t *gateway, bt_frontend_call_t *call);

/** Continues the transfer of an answer whose caller was behind. */
void bt_resume_forward (bt_frontend_call_t *call);

/** Ends a request in progress whose answer was cut off since its caller did not read it. */
void bt_end_slow_forward (bt_gateway_t *gateway, bt_frontend_call_t *call);

/** Sends the queued requests for which there is capacity now, and refuses those that can't be
 * served in time. */
void bt_dispatch_queued_forwards (bt_gateway_t *gateway);

/** Asks for capacity for the queued requests whose apps call for it by now. */
void bt_ask_for_queued_forwards (bt_gateway_t *gateway);

/** Sends a queued request to an endpoint by the grant @p grant_id, or by estimate if that is 0.
 * Returns false if it was refused or is not queued any more. */
bool bt_send_granted_forward (bt_gateway_t *gateway,
                              uint64_t id,
                              const bt_identity_t *endpoint,
                              uint64_t grant_id);

/** Refuses the queued requests that are known to crash endpoints, and ends those at an endpoint
 * that has not begun to answer if a part of their prompt was found to crash endpoints. */
void bt_refuse_crashing_forwards (bt_gateway_t *gateway);

/** Clears the parts of the prompts of all requests that endpoints have begun to answer. */
void bt_clear_begun_forwards (bt_gateway_t *gateway);

/** Sends or refuses the request that waited for the trial of a part of its prompt. */
void bt_handle_part_trial (bt_gateway_t *gateway, uint64_t id, bool granted);

/** Ends all requests in progress and drops the frontends, which closes all callers' connections. */
void bt_drop_gateway_frontends (bt_gateway_t *gateway);

/** Refuses, as not run, the queued requests of a leaving instance that could be cut off by the end
 * of the process. */
void bt_refuse_late_forwards (bt_gateway_t *gateway);

/** Ends all requests in progress. Those that were not sent are refused as not run, those that were
 * sent are answered that they may have run, and streams that have begun are cut off. */
void bt_abort_forwards (bt_gateway_t *gateway);

/** Answers a request for the addresses that a caller may use. */
void bt_answer_gateway_addresses (bt_gateway_t *gateway, bt_frontend_call_t *call);

#endif
