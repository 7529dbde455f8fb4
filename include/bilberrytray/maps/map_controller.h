#ifndef BILBERRYTRAY_MAPS_MAP_CONTROLLER_H
#define BILBERRYTRAY_MAPS_MAP_CONTROLLER_H

/** @file
 * The controller of one rank group. It holds a lease with a fencing number, reads the reports of
 * the ranks' agents, and sends the orders that bring all ranks to one map. A decision counts only
 * once rank 0's engine has recorded it, so a new controller needs nothing but the reports.
 */

#include "bilberrytray/maps/map_round.h"

typedef struct bt_map_controller bt_map_controller_t;

/** The settings of a controller. */
typedef struct bt_map_controller_settings
{
  int32_t ranks;
  int64_t lease_margin_ms; /**< It stops sending this long before lease expiry. */
  int64_t resend_ms; /**< An order whose effect is not reported within this time is sent again. */
  int64_t query_after_ms; /**< A rank that has not reported for this long is queried. */
  int64_t arm_limit_ms;   /**< A round not armed on every rank within this time is abandoned. */
  int64_t stage_limit_ms; /**< The same limit for staging. */
  uint64_t arm_steps;    /**< Steps from the latest known to the armed one; doubled after each round
                              that was armed too late, up to 16-fold, until a round is applied. */
  uint64_t first_digest; /**< The digest of the map that a group without any map starts with. */
  uint32_t test_options; /**< Bits of bt_map_option_t; 0 outside tests. */
} bt_map_controller_settings_t;

/** The phase of a round. */
typedef enum bt_round_phase
{
  BT_ROUND_NONE = 0,
  BT_ROUND_STAGING,
  BT_ROUND_ARMING,
  BT_ROUND_DECIDING, /**< Rank 0 has been ordered to apply the map and may have done so. */
  BT_ROUND_DROPPING, /**< Rank 0 has been ordered to drop the map. */
  BT_ROUND_SETTLED,  /**< Decided; the other ranks are told, or switch at their step. */
} bt_round_phase_t;

/** The result of the last round, as far as this controller can know it. */
typedef enum bt_round_result
{
  BT_ROUND_NO_RESULT = 0,
  BT_ROUND_APPLIED, /**< All ranks use the map. */
  BT_ROUND_DROPPED, /**< No rank uses the map or ever will. */
  BT_ROUND_UNKNOWN, /**< The lease ended first; the next controller finds the result. */
} bt_round_result_t;

bt_map_controller_t *bt_new_map_controller (bt_context_t *ctx,
                                            const bt_map_controller_settings_t *settings);

void bt_drop_map_controller (bt_context_t *ctx, bt_map_controller_t *controller);

/** Records a newly granted lease with a fencing number that nobody has used before, and discards
 * all known rank state. The lease counts from @p sent_ms, the time before the request was sent. */
void bt_grant_map_lease (bt_map_controller_t *controller,
                         uint64_t fence,
                         int64_t sent_ms,
                         int64_t lease_ms);

/** Records a renewal of the lease by a request sent at @p sent_ms. Ignored when the lease has
 * already expired. */
void bt_renew_map_lease (bt_map_controller_t *controller,
                         int64_t sent_ms,
                         int64_t lease_ms,
                         int64_t now_ms);

/** True while the lease allows sending orders. */
bool bt_holds_map_lease (const bt_map_controller_t *controller, int64_t now_ms);

/** Begins a round for the map with @p digest; false while another round is in progress, the
 * group has not converged (see bt_is_map_group_converged), or there is no lease. */
bool bt_begin_map_round (bt_map_controller_t *controller, uint64_t digest, int64_t now_ms);

/** Processes an agent's report. */
void bt_handle_map_report (bt_map_controller_t *controller,
                           const bt_map_report_t *report,
                           int64_t now_ms);

/** Advances the controller to @p now_ms and appends the orders that are due. Call it periodically
 * and after reports. */
void bt_tick_map_controller (bt_context_t *ctx,
                             bt_map_controller_t *controller,
                             int64_t now_ms,
                             bt_map_actions_t *actions);

bt_round_phase_t bt_get_round_phase (const bt_map_controller_t *controller);
bt_round_result_t bt_get_round_result (const bt_map_controller_t *controller);
uint64_t bt_get_map_fence (const bt_map_controller_t *controller);

/** True when every rank has reported under this lease, has joined, is not armed, and uses the same
 * map. */
bool bt_is_map_group_converged (const bt_map_controller_t *controller);

/** The engine state that a rank last reported; NULL when it has not reported under this lease. */
const bt_engine_state_t *bt_get_reported_engine (const bt_map_controller_t *controller,
                                                 int32_t rank);

#endif
