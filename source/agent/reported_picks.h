#ifndef BILBERRYTRAY_SOURCE_AGENT_REPORTED_PICKS_H
#define BILBERRYTRAY_SOURCE_AGENT_REPORTED_PICKS_H

/** @file
 * The counts of an engine's picks that were last reported on one link. An engine counts since it
 * started; reports carry the difference.
 */

#include "bilberrytray/agent/engine_platform.h"

/** Zero-initialised: nothing was reported yet. */
typedef struct bt_reported_picks
{
  bool valid;
  int64_t started_ms;
  int64_t epoch;
  int64_t *counts;
  int32_t count;
} bt_reported_picks_t;

/** Fills @p deltas, one element for each of @p picks, with the selections since the last call. All
 * are 0 in the first call and after the engine's counts were reset. */
void bt_count_new_picks (bt_context_t *ctx,
                         bt_reported_picks_t *reported,
                         const bt_engine_picks_t *picks,
                         uint32_t *deltas);

void bt_clear_reported_picks (bt_context_t *ctx, bt_reported_picks_t *reported);

#endif
