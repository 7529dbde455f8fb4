#ifndef BILBERRYTRAY_SOURCE_GATEWAY_STOP_PLAN_H
#define BILBERRYTRAY_SOURCE_GATEWAY_STOP_PLAN_H

/** @file
 * The phases of a gateway's stop, ordered so that every request that it reads is answered.
 *
 * An open connection implies that its requests are read. So callers' sockets are closed while the
 * event loop still runs, and the loop ends only when no caller can send a request any more. Nothing
 * that may block runs between the two.
 *
 * Pure functions: times are arguments.
 */

#include <stdbool.h>
#include <stdint.h>

/** The phases of a stop, in their order; some may be skipped. */
#define BT_STOP_PHASE_LIST(X)                                                                      \
  X (LEAVING, "leaving")                                                                           \
  X (CLOSING, "closing")                                                                           \
  X (LINGERING, "lingering")                                                                       \
  X (DONE, "done")

/** The phase of a stop.
 *
 * LEAVING: not in the address answers and not ready. Callers that hold an old address answer are
 * served, unless their request could not end in time.
 *
 * CLOSING: no caller can still hold an old address answer. New requests are refused, those in
 * progress continue.
 *
 * LINGERING: no new connections are accepted, and requests in progress have been ended. Requests on
 * existing connections are refused.
 *
 * DONE: the loop may end. */
typedef enum bt_stop_phase
{
#define BT_STOP_PHASE_ENUM(id, name) BT_STOP_##id,
  BT_STOP_PHASE_LIST (BT_STOP_PHASE_ENUM)
#undef BT_STOP_PHASE_ENUM
} bt_stop_phase_t;

/** Time limits of a stop. */
typedef struct bt_stop_limits
{
  int64_t address_life_ms; /**< How long callers are told to cache an address answer. */
  int64_t drain_ms;        /**< Maximum time from the order to stop to the end of the process. */
} bt_stop_limits_t;

/** A stop in progress. */
typedef struct bt_stop_plan
{
  bt_stop_limits_t limits;
  bt_stop_phase_t phase;
  int64_t began_ms;
  int64_t lingering_since_ms;
} bt_stop_plan_t;

/** Starts a stop at @p now_ms. */
void bt_begin_stop (bt_stop_plan_t *plan, const bt_stop_limits_t *limits, int64_t now_ms);

/** Advances to the phase at @p now_ms, and returns it. @p open_work counts what should end first:
 * requests that were read, or are being read, and are not completely answered, and other work that
 * only this instance can finish. */
bt_stop_phase_t bt_advance_stop (bt_stop_plan_t *plan, int32_t open_work, int64_t now_ms);

/** Returns true when a request that arrives at @p now_ms, and may take until @p end_ms, may be
 * accepted. */
bool bt_may_accept_at_stop (const bt_stop_plan_t *plan, int64_t end_ms, int64_t now_ms);

/** Returns true when an accepted request that may take until @p end_ms, and has not run, may be
 * sent to an endpoint at @p now_ms. When this is false, it stays false. */
bool bt_may_send_at_stop (const bt_stop_plan_t *plan, int64_t end_ms, int64_t now_ms);

const char *bt_name_stop_phase (bt_stop_phase_t phase);

#endif
