#ifndef BILBERRYTRAY_MAP_CONTROLLER_PRIVATE_H
#define BILBERRYTRAY_MAP_CONTROLLER_PRIVATE_H

/** @file
 * What the parts of a map controller share: driving its own round, and settling any round that is
 * open.
 */

#include "bilberrytray/maps/expert_map.h"
#include "bilberrytray/maps/map_controller.h"

/** What the controller knows of one rank. */
typedef struct bt_rank_view
{
  bool known;
  uint64_t id;       /* of the order that the latest report answers */
  uint64_t fresh_id; /* of the latest order that was carried out */
  bt_engine_state_t engine;
  uint64_t agent;  /* the start of its agent */
  int64_t send_ms; /* the same kind is not sent again before */
  int64_t seen_ms;
  bt_map_order_kind_t sent;
} bt_rank_view_t;

struct bt_map_controller
{
  bt_map_controller_settings_t settings;
  uint64_t fence;
  int64_t stop_ms; /* no order is sent from then on */
  bool granted;
  uint64_t ids;
  uint64_t fresh_id; /* reports on older orders are too old to rebuild a group from */
  bt_rank_view_t views[BT_MAX_RANKS];

  uint64_t sequence;
  bt_round_id_t round;
  uint64_t digest;
  uint64_t step;
  bt_round_id_t taken; /* the last round known to be taken: reports may arrive out of order */
  int32_t widened;     /* doublings of the steps to arm ahead */
  bool looked;         /* reports were asked for after staging */
  bt_round_phase_t phase;
  bt_round_result_t result;
  int64_t limit_ms;
};

/** Sends an order to a rank, unless one of its kind went out too short a time ago. */
void bt_send_controller_order (bt_context_t *ctx,
                               bt_map_controller_t *controller,
                               int32_t rank,
                               bt_map_order_t order,
                               int64_t now_ms,
                               bt_map_actions_t *actions);

/** True when an engine holds the decision of a round, or that of a newer one. */
bool bt_has_decided_round (const bt_engine_state_t *engine, bt_round_id_t round);

/** The oldest round that some rank is armed for, its step and its map; none when all are over. A
 * rank armed for an old round refuses newer ones, so the oldest is ended first. */
bt_map_order_t bt_find_open_round (const bt_map_controller_t *controller);

/** Keeps what rank 0 has decided, and says whether the round is taken. A later look may find an
 * older report, or rank 0 replaced, while orders to take the map are still on their way to other
 * ranks. */
bool bt_note_decision (bt_map_controller_t *controller, bt_round_id_t round);

/** Passes a decision on to the ranks that lack it; false while there are any. */
bool bt_spread_decision (bt_context_t *ctx,
                         bt_map_controller_t *controller,
                         const bt_map_order_t *open,
                         int64_t now_ms,
                         bt_map_actions_t *actions);

/** Ends a round that this controller does not drive, or no longer can; false while there is
 * something left to do. */
bool bt_settle_round (bt_context_t *ctx,
                      bt_map_controller_t *controller,
                      bt_map_order_t open,
                      int64_t now_ms,
                      bt_map_actions_t *actions);

#endif
