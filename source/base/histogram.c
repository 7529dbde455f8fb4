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
  bt_counter_t *buckets[BOUNDS + 1]; /* cumulative; the last one counts all durations */
  bt_counter_t *sum_ms;
  bt_counter_t *count;
};

static bt_counter_t *
find_bucket (
    bt_context_t *ctx, const char *family, const char *help, const char *labels, const char *bound)
{
  char all_labels[BT_LABELS_BYTES];

  snprintf (all_labels, sizeof all_labels, "%s%sle=\"%s\"", labels == NULL ? "" : labels,
            labels == NULL ? "" : ",", bound);
  return bt_find_labelled_counter (ctx, BT_HISTOGRAM, family, help, "bucket", all_labels);
}

bt_histogram_t *
bt_new_labelled_histogram (bt_context_t *ctx,
                           const char *family,
                           const char *help,
                           const char *labels)
{
  bt_histogram_t *histogram = bt_calloc (ctx, 1, sizeof *histogram);
  char bound[BOUND_BYTES];

  for (int32_t i = 0; i < BOUNDS; i++)
    {
      snprintf (bound, sizeof bound, "%lld", (long long)bounds_ms[i]);
      histogram->buckets[i] = find_bucket (ctx, family, help, labels, bound);
    }
  histogram->buckets[BOUNDS] = find_bucket (ctx, family, help, labels, "+Inf");
  histogram->sum_ms = bt_find_labelled_counter (ctx, BT_HISTOGRAM, family, help, "sum", labels);
  histogram->count = bt_find_labelled_counter (ctx, BT_HISTOGRAM, family, help, "count", labels);
  return histogram;
}

bt_histogram_t *
bt_new_histogram (bt_context_t *ctx, const char *family, const char *help)
{
  return bt_new_labelled_histogram (ctx, family, help, NULL);
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
