#ifndef BILBERRYTRAY_SOURCE_AGENT_TOLD_PICKS_H
#define BILBERRYTRAY_SOURCE_AGENT_TOLD_PICKS_H

/** @file
 * Up to which counts an engine's picks were told on one link. An engine counts since it started;
 * what is told is the difference.
 */

#include "bilberrytray/agent/engine_platform.h"

/** Zero-initialise it: nothing was told yet. */
typedef struct bt_reported_picks
{
  bool valid;
  int64_t started_ms;
  int64_t epoch;
  int64_t *counts;
  int32_t count;
} bt_reported_picks_t;

/** Fills in @p deltas, one for each of @p picks, with what was picked since the last call. They are
 * all 0 the first time, and when the engine counts anew. */
void bt_count_new_picks (bt_context_t *ctx,
                         bt_reported_picks_t *reported,
                         const bt_engine_picks_t *picks,
                         uint32_t *deltas);

void bt_clear_reported_picks (bt_context_t *ctx, bt_reported_picks_t *reported);

#endif
