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

/** How far a stop has come. Phases follow each other in this order; some may be skipped. */
typedef enum bt_stop_phase
{
  /** Out of the address answers and not ready. Callers that hold an old answer are served, unless
   * their request could not be ended in time. */
  BT_STOP_LEAVING = 0,
  /** No caller can still believe an old answer: those that come are refused, what runs goes on. */
  BT_STOP_CLOSING,
  /** Nobody can connect any more, and what was under way is ended. What comes on a connection that
   * was made before is refused. */
  BT_STOP_LINGERING,
  /** The loop may end. */
  BT_STOP_DONE,
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

/** Moves on to the phase that holds now, and returns it. @p open_requests are those that were read,
 * or are being read, and are not answered to the last byte. */
bt_stop_phase_t bt_advance_stop (bt_stop_plan_t *plan, int32_t open_requests, int64_t now_ms);

/** True when a request that comes now may be taken: requests of its kind lately took @p likely_ms
 * at the longest, and it has to end before what is under way is cut. */
bool bt_may_take_at_stop (const bt_stop_plan_t *plan, int64_t likely_ms, int64_t now_ms);

#endif
