#ifndef BILBERRYTRAY_LOAD_PASS_LIMITER_H
#define BILBERRYTRAY_LOAD_PASS_LIMITER_H

/** @file
 * Limits how many requests an engine of a group may run, so that the forward passes of the group
 * stay short enough for its streams.
 *
 * All ranks execute each pass together, and every stream gets one event per pass. A pass takes
 * longer with more requests on the fullest rank and with a more uneven load of the experts. After a
 * shift of demand, or while a new group still uses its first placement map, the same requests make
 * passes two or three times as long, and all streams stall. Running fewer requests then serves more
 * callers in time, since one long pause makes a whole stream late.
 *
 * If demand jumps every few seconds, nearly every stream meets a jump. If the limit grew back
 * between two jumps, the next jump would make all streams of a full group late. So the limit stays
 * close to what the last jumps allowed while they keep coming.
 *
 * No limit shortens a pass below the step time of the slowest rank. If that alone exceeds the pause
 * that callers accept, all streams are late anyway, and the engines may use all slots: a late
 * answer is worth more than a refusal.
 *
 * Does no I/O; times are arguments.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_pass_limiter bt_pass_limiter_t;

/** Properties of a group's engines. */
typedef struct bt_pass_limiter_settings
{
  int32_t ranks;
  double min_pass_ms;    /**< Time of a pass with almost no requests. */
  double target_pass_ms; /**< Target: passes should take no longer. */
  double pause_ms;       /**< A stream with a longer pass in it counts as late as a whole. */
  int32_t slots;         /**< Requests that one engine can run. */
  double jump_growth; /**< Fraction of its distance to a measurement that allows more by which the
                         limit grows per window of 200 ms while jumps are frequent; 0: 0.02. */
} bt_pass_limiter_settings_t;

bt_pass_limiter_t *bt_new_pass_limiter (bt_context_t *ctx,
                                        const bt_pass_limiter_settings_t *settings);

/** Frees the limiter; NULL is allowed. */
void bt_drop_pass_limiter (bt_context_t *ctx, bt_pass_limiter_t *limiter);

/** Records a report of one rank: the step that it began last and the number of requests that it
 * runs. */
void bt_record_pass (
    bt_pass_limiter_t *limiter, int32_t rank, int64_t step, int32_t running, int64_t now_ms);

/** Returns true if this formation of the group has not been recorded yet. */
bool bt_is_group_newly_formed (const bt_pass_limiter_t *limiter, int64_t epoch);

/** Records by which formation (@p epoch) and map version a group runs. Version 0 is the map of the
 * formation, which no leader has planned; with it an engine may run @p first_limit requests until
 * passes are measured, or its slots if that is 0. What callers waited for while the group was down
 * would otherwise fill it at once, and all streams would be late by their first passes. */
void bt_record_group_formation (bt_pass_limiter_t *limiter,
                                int64_t epoch,
                                int64_t version,
                                double first_limit);

/** Records how many times slower than a normal rank a rank is; values below 1 count as 1. */
void
bt_record_rank_slowdown (bt_pass_limiter_t *limiter, int32_t rank, double slowdown, int64_t now_ms);

/** Returns the number of requests that each engine may run now: at least 2, at most its slots. */
int32_t bt_get_running_limit (const bt_pass_limiter_t *limiter);

/** Returns true while demand jumps so often that the limit reserves capacity for the next jump. */
bool bt_are_demand_jumps_frequent (const bt_pass_limiter_t *limiter, int64_t now_ms);

/** Returns when demand jumped last; 0: never. */
int64_t bt_get_last_jump_ms (const bt_pass_limiter_t *limiter);

/** Returns the mean time of the latest passes in ms; 0 if it is not known. */
double bt_get_pass_ms (const bt_pass_limiter_t *limiter);

/** Returns the time of a pass with almost no requests in ms: the step time of the slowest rank, as
 * far as it is known. */
double bt_get_least_pass_ms (const bt_pass_limiter_t *limiter, int64_t now_ms);

/** Returns the expected time from sending a request to the end of its answer of @p tokens tokens,
 * in ms, at passes of @p pass_ms that generate @p stride tokens each; 0 if one of them is not
 * known. */
int64_t bt_estimate_stream_ms (double pass_ms, int32_t tokens, int32_t stride);

#endif
