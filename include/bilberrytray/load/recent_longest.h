#ifndef BILBERRYTRAY_LOAD_RECENT_LONGEST_H
#define BILBERRYTRAY_LOAD_RECENT_LONGEST_H

/** @file
 * The longest time that something took of late. Small enough to be copied; zero-initialise it.
 *
 * Pure: times are arguments.
 */

#include <stdint.h>

/** Two spans of time, of which the older one is still believed. */
typedef struct bt_recent_longest
{
  int64_t span_start_ms;
  int64_t longest_ms;        /**< In the span that runs. */
  int64_t longest_before_ms; /**< In the span before it. */
} bt_recent_longest_t;

/** Takes in that something that ended at @p now_ms took @p taken_ms. */
void bt_record_taken (bt_recent_longest_t *recent, int64_t taken_ms, int64_t now_ms);

/** The longest of the last two to four seconds, ms; 0 when nothing ended. */
int64_t bt_get_recent_longest_ms (const bt_recent_longest_t *recent, int64_t now_ms);

#endif
