#ifndef BILBERRYTRAY_SOURCE_REQUESTS_CRASH_VERDICT_H
#define BILBERRYTRAY_SOURCE_REQUESTS_CRASH_VERDICT_H

/** @file
 * Decides from its crashes whether a request may run.
 *
 * Endpoints that end at one moment count as one event: either one cause ended them, such as a loss
 * of power, or copies of the request ran at the same time. After max_ends events the request is
 * refused. So that copies that arrive together do not crash ever more endpoints, it is also refused
 * after more than max_ends endpoints, at whatever moments.
 *
 * Where the end of an endpoint stops a whole rank group, every caller of the group pays for it, and
 * holding back an innocent request costs only its own caller. There a request is held from the
 * first event on, if the endpoint ended as the request began to run. After the hold one run is
 * tried: a complete answer clears the request, another end prolongs the hold.
 */

#include "bilberrytray/requests/crash_table.h"

/** What is known of one crash of a request. */
typedef struct bt_crash_evidence
{
  int64_t ended_ms;     /**< When the endpoint ended, as in bt_crash_t; 0: unknown. */
  int64_t known_ms;     /**< When this instance learned of it or was last reminded of it. */
  int64_t trial_ms;     /**< When this instance last let the request run after a hold; 0: never. */
  bool at_start;        /**< As in bt_crash_t. */
  bool is_host_failure; /**< Another endpoint, which did not run the request, ended at that moment
                             too. */
} bt_crash_evidence_t;

/** Returns the number of moments at which endpoints ended. Reorders @p evidence. */
int32_t bt_count_crash_events (bt_crash_evidence_t *evidence, int32_t count);

/** Returns true if two endpoints ended at the same moment. */
bool bt_is_same_crash_moment (int64_t left_ms, int64_t right_ms);

/** Decides on a request with @p count crashes. @p stops_group is true if the end of an endpoint
 * stops a whole rank group. For a held request, @p retry_after_ms is the rest of the hold. Reorders
 * @p evidence. */
bt_crash_verdict_t bt_judge_crashes (const bt_crash_options_t *options,
                                     bt_crash_evidence_t *evidence,
                                     int32_t count,
                                     bool stops_group,
                                     int64_t now_ms,
                                     int64_t *retry_after_ms);

#endif
