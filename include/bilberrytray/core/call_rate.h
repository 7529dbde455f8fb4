#ifndef BILBERRYTRAY_CORE_CALL_RATE_H
#define BILBERRYTRAY_CORE_CALL_RATE_H

/** @file
 * How often a process may call a service of the platform: a token bucket, and a back-off with
 * jitter after failures. Pure: times and the seed are arguments.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/random.h"

typedef struct bt_call_rate_settings
{
  int64_t calls_per_s;      /**< Lasting rate; at least 1. */
  int64_t burst;            /**< Calls that may follow at once after a rest; at least 1. */
  int64_t backoff_first_ms; /**< Longest wait after the first failure. */
  int64_t backoff_last_ms;  /**< Longest wait after many failures. */
} bt_call_rate_settings_t;

/** One caller's allowance. */
typedef struct bt_call_rate
{
  bt_call_rate_settings_t settings;
  bt_random_t random;
  int64_t tokens_milli; /**< Thousandths of a call. */
  int64_t filled_ms;    /**< When tokens_milli was last brought up to date. */
  int64_t backoff_until_ms;
  int32_t failures; /**< Failures since the last success. */
} bt_call_rate_t;

/** Starts with a full bucket at @p now_ms. */
void bt_init_call_rate (bt_call_rate_t *rate,
                        const bt_call_rate_settings_t *settings,
                        uint64_t seed,
                        int64_t now_ms);

/** Takes one call. Returns 0 when it may go now; otherwise takes nothing and returns how many
 * milliseconds to wait before asking again. */
int64_t bt_take_call (bt_call_rate_t *rate, int64_t now_ms);

/** Notes that a call was answered: the back-off ends. */
void bt_note_call_success (bt_call_rate_t *rate);

/** Notes that a call failed. The wait doubles with each failure up to the limit and is drawn
 * between half of that and the whole, so that callers which failed together do not return
 * together. */
void bt_note_call_failure (bt_call_rate_t *rate, int64_t now_ms);

#endif
