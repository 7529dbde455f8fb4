#ifndef BILBERRYTRAY_SOURCE_AGENT_PICKS_TURN_H
#define BILBERRYTRAY_SOURCE_AGENT_PICKS_TURN_H

/** @file
 * Which reports on a link carry an engine's picks. In a large group each agent tells only some of
 * them, in turn: the ranks' requests are alike, and the counts of all in each report would be more
 * than a leader's link carries. What is told covers the time of one report, so a jump of demand
 * shows as soon as in a small group. No sockets, threads or clocks.
 */

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialise it: no picks are wanted. */
typedef struct bt_picks_schedule
{
  bool wanted;
  int32_t interval;  /**< Of so many reports one carries picks. */
  int64_t next_ms;   /**< The next time that picks are read; 0: at once, and the first time. */
  bool has_baseline; /**< The counts were read from which the next picks are told. */
} bt_picks_schedule_t;

/** Says whether picks are wanted, and in one of how many reports; 0 stands for each. */
void bt_request_picks (bt_picks_schedule_t *schedule, bool wanted, int32_t interval);

/** True when the engine's counts are to be read for this link. */
bool bt_are_picks_due (const bt_picks_schedule_t *schedule, int64_t now_ms);

/** Notes that the counts were read, and says whether they are told now; else they are where the
 * next ones are told from. The ranks of a group take turns. */
bool bt_advance_picks_schedule (bt_picks_schedule_t *schedule,
                                int32_t rank,
                                int64_t report_ms,
                                int64_t now_ms);

#endif
