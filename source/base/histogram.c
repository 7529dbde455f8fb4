#include "bilberrytray/base/histogram.h"

#include <stdio.h>

static const int64_t bounds_ms[] = { BT_HISTOGRAM_BOUNDS_MS };

enum
{
  BOUNDS = sizeof bounds_ms / sizeof bounds_ms[0],
  BOUND_BYTES = 24,
};

struct bt_histogram
{
  bt_counter_t *buckets[BOUNDS + 1]; /* each counts those below its bound; the last one all */
  bt_counter_t *sum_ms;
  bt_counter_t *count;
};

bt_histogram_t *
bt_new_histogram (bt_context_t *ctx, const char *family, const char *help)
{
  bt_histogram_t *histogram = bt_calloc (ctx, 1, sizeof *histogram);
  char bound[BOUND_BYTES];

  for (int32_t i = 0; i < BOUNDS; i++)
    {
      snprintf (bound, sizeof bound, "%lld", (long long)bounds_ms[i]);
      histogram->buckets[i] = bt_find_counter (ctx, BT_HISTOGRAM, family, help, "le", bound);
    }
  histogram->buckets[BOUNDS] = bt_find_counter (ctx, BT_HISTOGRAM, family, help, "le", "+Inf");
  histogram->sum_ms = bt_find_counter (ctx, BT_HISTOGRAM, family, help, NULL, "sum");
  histogram->count = bt_find_counter (ctx, BT_HISTOGRAM, family, help, NULL, "count");
  return histogram;
}

void
bt_drop_histogram (bt_context_t *ctx, bt_histogram_t *histogram)
{
  bt_free (ctx, histogram);
}

void
bt_record_duration (bt_histogram_t *histogram, int64_t duration_ms)
{
  for (int32_t i = BOUNDS; i >= 0 && (i == BOUNDS || duration_ms <= bounds_ms[i]); i--)
    bt_add_counter (histogram->buckets[i], 1);
  bt_add_counter (histogram->sum_ms, duration_ms);
  bt_add_counter (histogram->count, 1);
}
