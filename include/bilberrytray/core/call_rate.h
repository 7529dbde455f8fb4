#ifndef BILBERRYTRAY_CORE_CALL_RATE_H
#define BILBERRYTRAY_CORE_CALL_RATE_H

/** @file
 * Limits how often a process calls a service of the platform: a token bucket, and exponential
 * back-off with jitter after failures. Does no I/O; the time and the random seed are arguments.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/random.h"

typedef struct bt_call_rate_settings
{
  int64_t calls_per_s;      /**< Sustained rate; at least 1. */
  int64_t burst;            /**< Calls allowed back to back when the bucket is full; at least 1. */
  int64_t backoff_first_ms; /**< Upper bound of the wait after the first failure. */
  int64_t backoff_last_ms;  /**< Upper bound of the wait after any number of failures. */
} bt_call_rate_settings_t;

/** Rate limiter of one caller. */
typedef struct bt_call_rate
{
  bt_call_rate_settings_t settings;
  bt_random_t random;
  int64_t tokens_milli; /**< Tokens in thousandths of a call. */
  int64_t refilled_ms;  /**< Time of the last refill of tokens_milli. */
  int64_t backoff_until_ms;
  int32_t failures; /**< Consecutive failures since the last success. */
} bt_call_rate_t;

/** Initialises the limiter with a full bucket at @p now_ms. */
void bt_init_call_rate (bt_call_rate_t *rate,
                        const bt_call_rate_settings_t *settings,
                        uint64_t seed,
                        int64_t now_ms);

/** Takes one token. Returns 0 if the call may be made now; otherwise takes nothing and returns the
 * time to wait before asking again, in milliseconds. */
int64_t bt_take_call (bt_call_rate_t *rate, int64_t now_ms);

/** Records that a call was answered and ends the back-off. */
void bt_note_call_success (bt_call_rate_t *rate);

/** Records that a call failed and starts a back-off. The bound of the wait doubles with each
 * failure up to backoff_last_ms; the wait is drawn between half the bound and the whole, so that
 * callers that failed together do not retry together. */
void bt_note_call_failure (bt_call_rate_t *rate, int64_t now_ms);

#endif
