#ifndef BILBERRYTRAY_SOURCE_GATEWAY_STOP_PLAN_H
#define BILBERRYTRAY_SOURCE_GATEWAY_STOP_PLAN_H

/** @file
 * The stop of a gateway, decided step by step so that every request that it reads is answered.
 *
 * A connection that is open is a promise to read it. So callers' sockets are closed while the event
 * loop still runs, and the loop ends only when there is no caller left to hear. Nothing that may
 * block comes between the two.
 *
 * Pure: times are arguments.
 */

#include <stdbool.h>
#include <stdint.h>

/** The phases of a stop, in their order; some may be skipped. */
#define BT_STOP_PHASE_LIST(X)                                                                      \
  X (LEAVING, "leaving")                                                                           \
  X (CLOSING, "closing")                                                                           \
  X (LINGERING, "lingering")                                                                       \
  X (DONE, "done")

/** How far a stop has come.
 *
 * LEAVING: out of the address answers and not ready. Callers that hold an old answer are served,
 * unless their request could not be ended in time.
 * CLOSING: no caller can still believe an old answer. Those that come are refused, what runs goes
 * on.
 * LINGERING: nobody can connect any more, and what was under way is ended. What comes on a
 * connection that was made before is refused.
 * DONE: the loop may end. */
typedef enum bt_stop_phase
{
#define BT_STOP_PHASE_ENUM(id, name) BT_STOP_##id,
  BT_STOP_PHASE_LIST (BT_STOP_PHASE_ENUM)
#undef BT_STOP_PHASE_ENUM
} bt_stop_phase_t;

/** How long things may take. */
typedef struct bt_stop_limits
{
  int64_t address_life_ms; /**< How long callers are told to keep an answer with addresses. */
  int64_t drain_ms;        /**< From the order to stop to the end, at most. */
} bt_stop_limits_t;

/** A stop under way. */
typedef struct bt_stop_plan
{
  bt_stop_limits_t limits;
  bt_stop_phase_t phase;
  int64_t began_ms;
  int64_t lingers_since_ms;
} bt_stop_plan_t;

/** Begins a stop. */
void bt_begin_stop (bt_stop_plan_t *plan, const bt_stop_limits_t *limits, int64_t now_ms);

/** Moves on to the phase that holds now, and returns it. @p open_work counts what had better end
 * first: requests that were read, or are being read, and are not answered to the last byte, and
 * whatever else the instance alone can end. */
bt_stop_phase_t bt_advance_stop (bt_stop_plan_t *plan, int32_t open_work, int64_t now_ms);

/** True when a request that comes now, and may last until @p end_ms, may be taken. */
bool bt_may_take_at_stop (const bt_stop_plan_t *plan, int64_t end_ms, int64_t now_ms);

const char *bt_name_stop_phase (bt_stop_phase_t phase);

#endif
