#ifndef BILBERRYTRAY_SOURCE_AGENT_PICKS_SCHEDULE_H
#define BILBERRYTRAY_SOURCE_AGENT_PICKS_SCHEDULE_H

/** @file
 * Decides which reports on a link carry an engine's picks. In a large group each agent adds picks
 * to only some of its reports, and the ranks alternate: the ranks' requests are alike, and the
 * counts of all ranks in every report would exceed what a leader's link can carry. Reported picks
 * always cover one report interval, so a jump of demand shows as soon as in a small group. Uses no
 * sockets, threads or clocks.
 */

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialised: no picks are requested. */
typedef struct bt_picks_schedule
{
  bool wanted;
  int32_t interval;  /**< One of this many reports carries picks. */
  int64_t next_ms;   /**< When the counts are read next; 0: at once, and for the first time. */
  bool has_baseline; /**< The counts at the start of the reported interval were read. */
} bt_picks_schedule_t;

/** Sets whether picks are requested and that one of @p interval reports carries them; 0 or 1 means
 * every report. */
void bt_request_picks (bt_picks_schedule_t *schedule, bool wanted, int32_t interval);

/** Returns true when the engine's counts are to be read for this link. */
bool bt_are_picks_due (const bt_picks_schedule_t *schedule, int64_t now_ms);

/** Records that the counts were read and sets the next reading. Returns true when this report
 * carries picks, false when the counts are only the baseline of a later report or are not used. @p
 * rank offsets the schedule so that the ranks of a group alternate. */
bool bt_advance_picks_schedule (bt_picks_schedule_t *schedule,
                                int32_t rank,
                                int64_t report_ms,
                                int64_t now_ms);

#endif
