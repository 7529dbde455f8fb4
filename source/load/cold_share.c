#include "bilberrytray/load/cold_share.h"

#include <math.h>
#include <string.h>

/* Each user of a cold endpoint sends a whole number of requests in any such time, so that their sum
 * is bounded whenever each of them sends. */
static const double window_ms = 1000;

int64_t
bt_get_cold_interval_ms (const char *endpoint,
                         const char *instance,
                         const char *const *entries,
                         int32_t count,
                         double per_s)
{
  uint64_t own = bt_score_candidate (endpoint, instance);
  double users = per_s >= 1 ? floor (per_s) : 1;
  bool listed = false;
  int32_t before = 0;

  for (int32_t i = 0; i < count; i++)
    {
      bool is_own = strcmp (entries[i], instance) == 0;

      listed = listed || is_own;
      before += !is_own && bt_score_candidate (endpoint, entries[i]) > own ? 1 : 0;
    }
  if (!listed || before >= users)
    return 0;
  if (count > users)
    return (int64_t)ceil (fmax (window_ms, window_ms / per_s));
  return (int64_t)ceil (window_ms / floor (per_s / count));
}
