#ifndef BILBERRYTRAY_MAP_CONTROLLER_PRIVATE_H
#define BILBERRYTRAY_MAP_CONTROLLER_PRIVATE_H

/** @file
 * The state and functions shared by the source files of a map controller: driving its own round
 * (map_controller.c), and settling any open round (map_settle.c).
 */

#include "bilberrytray/maps/expert_map.h"
#include "bilberrytray/maps/map_controller.h"

/** The controller's view of one rank. */
typedef struct bt_rank_view
{
  bool known;
  uint64_t id;          /* id of the order that the latest report answers */
  uint64_t executed_id; /* id of the latest executed order; 0 after a refusal other than BUSY */
  bt_engine_state_t engine;
  uint64_t agent;       /* incarnation of its agent */
  int64_t resend_at_ms; /* an order of the same kind is not sent again before this time */
  int64_t reported_ms;
  bt_map_order_kind_t sent_kind;
} bt_rank_view_t;

struct bt_map_controller
{
  bt_map_controller_settings_t settings;
  uint64_t fence;
  int64_t stop_ms; /* from this time on no order is sent */
  bool granted;
  uint64_t last_id;
  uint64_t min_executed_id; /* reports that answer lower ids are outdated */
  bt_rank_view_t views[BT_MAX_RANKS];

  uint64_t sequence;
  bt_round_id_t round;
  uint64_t digest;
  uint64_t step;
  bt_round_id_t applied_round; /* last round known to be applied: reports may be out of order */
  int32_t arm_doublings;       /* how often the steps to arm ahead were doubled */
  bool reports_requested;      /* reports were requested after staging */
  bt_round_phase_t phase;
  bt_round_result_t result;
  int64_t deadline_ms;
};

/** Sends an order to a rank, unless one of the same kind was sent within resend_ms. */
void bt_send_controller_order (bt_context_t *ctx,
                               bt_map_controller_t *controller,
                               int32_t rank,
                               bt_map_order_t order,
                               int64_t now_ms,
                               bt_map_actions_t *actions);

/** True when an engine knows the decision of a round, or that of a newer one. */
bool bt_has_decided_round (const bt_engine_state_t *engine, bt_round_id_t round);

/** Finds the oldest round that some rank is armed for, with its step and its map; none when
 * no rank is armed. A rank armed for an old round refuses newer ones, so the oldest round is
 * ended first. */
bt_map_order_t bt_find_open_round (const bt_map_controller_t *controller);

/** Records what rank 0 has decided, and returns whether the round is applied. The record is
 * needed because a later query may return an older report, or rank 0 may be replaced, while orders
 * to apply the map are still in flight to other ranks. */
bool bt_record_decision (bt_map_controller_t *controller, bt_round_id_t round);

/** Sends a decision to the ranks that do not know it; false while there are any. */
bool bt_send_decision (bt_context_t *ctx,
                       bt_map_controller_t *controller,
                       const bt_map_order_t *open,
                       int64_t now_ms,
                       bt_map_actions_t *actions);

/** Ends a round that this controller does not drive or can no longer drive; false while there is
 * work left. */
bool bt_settle_round (bt_context_t *ctx,
                      bt_map_controller_t *controller,
                      bt_map_order_t open,
                      int64_t now_ms,
                      bt_map_actions_t *actions);

#endif
