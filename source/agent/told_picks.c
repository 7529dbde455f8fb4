#include "told_picks.h"

#include <string.h>

/* An engine that was started anew counts from zero. Where it does not say when it started, one
 * count that went down shows it: the others may already be higher than they were, and their
 * difference would be a demand that never was. */
static bool
counts_anew (const bt_told_picks_t *told, const bt_engine_picks_t *picks)
{
  if (!told->told || told->started_ms != picks->started_ms || told->epoch != picks->epoch
      || told->count != picks->count)
    return true;
  for (int32_t i = 0; i < picks->count; i++)
    if (picks->counts[i] < told->counts[i])
      return true;
  return false;
}

void
bt_count_new_picks (bt_context_t *ctx,
                    bt_told_picks_t *told,
                    const bt_engine_picks_t *picks,
                    uint32_t *deltas)
{
  bool anew = counts_anew (told, picks);

  for (int32_t i = 0; i < picks->count; i++)
    {
      int64_t delta = anew ? 0 : picks->counts[i] - told->counts[i];

      deltas[i] = delta < UINT32_MAX ? (uint32_t)delta : UINT32_MAX;
    }
  if (told->count != picks->count)
    {
      bt_clear_told_picks (ctx, told);
      told->counts = bt_calloc (ctx, (size_t)picks->count, sizeof *told->counts);
    }
  if (picks->count > 0)
    memcpy (told->counts, picks->counts, (size_t)picks->count * sizeof *told->counts);
  told->told = true;
  told->started_ms = picks->started_ms;
  told->epoch = picks->epoch;
  told->count = picks->count;
}

void
bt_clear_told_picks (bt_context_t *ctx, bt_told_picks_t *told)
{
  bt_free (ctx, told->counts);
  memset (told, 0, sizeof *told);
}
