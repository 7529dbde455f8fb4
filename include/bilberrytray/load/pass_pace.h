#ifndef BILBERRYTRAY_LOAD_PASS_PACE_H
#define BILBERRYTRAY_LOAD_PASS_PACE_H

/** @file
 * How many requests an engine of a group may run so that the group's passes stay short enough for
 * its streams.
 *
 * All ranks make each pass together, and every stream gets one event a pass. A pass grows with the
 * requests on the fullest rank, and with how unevenly the experts are loaded: after the demand has
 * shifted, or while a new group still has its first map, the same requests make passes two or three
 * times as long, and all streams stutter. Fewer at a time then serve more callers in time, since a
 * stream with one long pause is late as a whole.
 *
 * Where demand jumps every few seconds, nearly each stream meets a jump. A limit that grows back
 * between two of them then fills the group just to make all its streams late at the next one. So
 * the limit stays close to what the last jumps allowed for as long as they keep coming.
 *
 * Pure: times are arguments.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_pass_pace bt_pass_pace_t;

/** What is known of a group's engines. */
typedef struct bt_pass_pace_settings
{
  int32_t ranks;
  double least_pass_ms; /**< A pass with next to nothing to do. */
  double aim_pass_ms;   /**< Passes are to take no longer. */
  double pause_ms;      /**< A stream with a longer pass in it is late as a whole. */
  int32_t slots;        /**< Requests that one engine can run. */
} bt_pass_pace_settings_t;

bt_pass_pace_t *bt_new_pass_pace (bt_context_t *ctx, const bt_pass_pace_settings_t *settings);

/** NULL is accepted. */
void bt_drop_pass_pace (bt_context_t *ctx, bt_pass_pace_t *pace);

/** Takes in what one rank reports: the step that it began last, and how many requests it runs. */
void
bt_record_pass (bt_pass_pace_t *pace, int32_t rank, int64_t step, int32_t running, int64_t now_ms);

/** Requests that each engine may run now, from 1 to its slots. */
int32_t bt_get_pass_limit (const bt_pass_pace_t *pace);

/** True while demand jumps so often that the limit keeps room for the next jump. */
bool bt_are_jumps_frequent (const bt_pass_pace_t *pace, int64_t now_ms);

/** Mean time of the latest passes, ms; 0 while it is not known. */
double bt_get_pass_ms (const bt_pass_pace_t *pace);

#endif
