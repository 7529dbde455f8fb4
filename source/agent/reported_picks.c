#include "reported_picks.h"

#include <string.h>

/* A restarted engine counts from zero. If it does not report its start time, a single count that
 * decreased reveals the restart: the other counts may already be higher than before, and their
 * differences would look like demand that never existed. */
static bool
counts_were_reset (const bt_reported_picks_t *reported, const bt_engine_picks_t *picks)
{
  if (!reported->valid || reported->started_ms != picks->started_ms
      || reported->epoch != picks->epoch || reported->count != picks->count)
    return true;
  for (int32_t i = 0; i < picks->count; i++)
    if (picks->counts[i] < reported->counts[i])
      return true;
  return false;
}

void
bt_count_new_picks (bt_context_t *ctx,
                    bt_reported_picks_t *reported,
                    const bt_engine_picks_t *picks,
                    uint32_t *deltas)
{
  bool reset = counts_were_reset (reported, picks);

  for (int32_t i = 0; i < picks->count; i++)
    {
      int64_t delta = reset ? 0 : picks->counts[i] - reported->counts[i];

      deltas[i] = delta < UINT32_MAX ? (uint32_t)delta : UINT32_MAX;
    }
  if (reported->count != picks->count)
    {
      bt_clear_reported_picks (ctx, reported);
      reported->counts = bt_calloc (ctx, (size_t)picks->count, sizeof *reported->counts);
    }
  if (picks->count > 0)
    memcpy (reported->counts, picks->counts, (size_t)picks->count * sizeof *reported->counts);
  reported->valid = true;
  reported->started_ms = picks->started_ms;
  reported->epoch = picks->epoch;
  reported->count = picks->count;
}

void
bt_clear_reported_picks (bt_context_t *ctx, bt_reported_picks_t *reported)
{
  bt_free (ctx, reported->counts);
  memset (reported, 0, sizeof *reported);
}
