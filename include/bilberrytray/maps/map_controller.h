#ifndef BILBERRYTRAY_MAPS_MAP_CONTROLLER_H
#define BILBERRYTRAY_MAPS_MAP_CONTROLLER_H

/** @file
 * The controller of one rank group. It holds a lease with a fencing number, looks at what the
 * ranks' agents report, and sends the orders that bring the group to one map; it decides nothing
 * that rank 0's engine has not recorded. A new controller starts from the reports alone.
 */

#include "bilberrytray/maps/map_round.h"

typedef struct bt_map_controller bt_map_controller_t;

/** How a controller behaves. */
typedef struct bt_map_controller_settings
{
  int32_t ranks;
  int64_t lease_margin_ms; /**< It stops so long before its lease could lapse. */
  int64_t resend_ms;       /**< An order without its effect is sent again after so long. */
  int64_t look_ms;         /**< A rank not heard of for so long is asked how it is. */
  int64_t arm_limit_ms;    /**< A round that is not armed everywhere by then is given up. */
  int64_t stage_limit_ms;  /**< The same for staging. */
  uint64_t arm_steps;      /**< Steps from the latest known one to the step armed for. */
  uint64_t first_digest;   /**< The map that a group without any map starts with. */
  uint32_t test_options;   /**< Bits of bt_map_option_t; 0 outside tests. */
} bt_map_controller_settings_t;

/** How far a round has come. */
typedef enum bt_round_phase
{
  BT_ROUND_NONE = 0,
  BT_ROUND_STAGING,
  BT_ROUND_ARMING,
  BT_ROUND_DECIDING, /**< Rank 0 was told to take the map; it may have. */
  BT_ROUND_DROPPING, /**< Rank 0 was told to drop the map. */
  BT_ROUND_SETTLED,  /**< Decided; the ranks learn it or switch at their step. */
} bt_round_phase_t;

/** How the last round ended, as far as this controller can know. */
typedef enum bt_round_result
{
  BT_ROUND_NO_RESULT = 0,
  BT_ROUND_APPLIED, /**< All ranks use the map. */
  BT_ROUND_DROPPED, /**< No rank uses it or ever will. */
  BT_ROUND_UNKNOWN, /**< The lease ended first; the next controller will see. */
} bt_round_result_t;

bt_map_controller_t *bt_new_map_controller (bt_context_t *ctx,
                                            const bt_map_controller_settings_t *settings);

void bt_drop_map_controller (bt_context_t *ctx, bt_map_controller_t *controller);

/** A new lease was granted with a fencing number that no one held before. All that was known of the
 * ranks is forgotten. The lease counts from @p sent_ms, before the request was sent. */
void bt_grant_map_lease (bt_map_controller_t *controller,
                         uint64_t fence,
                         int64_t sent_ms,
                         int64_t lease_ms);

/** The lease was renewed by a request sent at @p sent_ms. Too late a renewal counts for nothing. */
void bt_renew_map_lease (bt_map_controller_t *controller,
                         int64_t sent_ms,
                         int64_t lease_ms,
                         int64_t now_ms);

/** True while orders may be sent. */
bool bt_holds_map_lease (const bt_map_controller_t *controller, int64_t now_ms);

/** Begins a round for a map; false while one runs, a rank is missing or there is no lease. */
bool bt_begin_map_round (bt_map_controller_t *controller, uint64_t digest, int64_t now_ms);

/** An agent's report. */
void
bt_take_map_report (bt_map_controller_t *controller, const bt_map_report_t *report, int64_t now_ms);

/** Lets time pass and sends what is due. Call it after reports too. */
void bt_tick_map_controller (bt_context_t *ctx,
                             bt_map_controller_t *controller,
                             int64_t now_ms,
                             bt_map_actions_t *actions);

bt_round_phase_t bt_get_round_phase (const bt_map_controller_t *controller);
bt_round_result_t bt_get_round_result (const bt_map_controller_t *controller);
uint64_t bt_get_map_fence (const bt_map_controller_t *controller);

/** True when every rank has reported under this lease, all have joined and use one map. */
bool bt_is_map_group_whole (const bt_map_controller_t *controller);

/** What a rank last reported; NULL when it has not under this lease. */
const bt_engine_state_t *bt_get_reported_engine (const bt_map_controller_t *controller,
                                                 int32_t rank);

#endif
