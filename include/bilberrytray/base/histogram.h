#ifndef BILBERRYTRAY_BASE_HISTOGRAM_H
#define BILBERRYTRAY_BASE_HISTOGRAM_H

/** @file
 * Histograms of durations, printed with the counters.
 */

#include "bilberrytray/base/counters.h"

/** Upper bounds of the buckets in ms. The last bucket (+Inf) has none. */
#define BT_HISTOGRAM_BOUNDS_MS 1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000

typedef struct bt_histogram bt_histogram_t;

/** Creates a histogram, such as "bilberry_queue_wait_ms". Histograms with the same name share their
 * counters. */
bt_histogram_t *bt_new_histogram (bt_context_t *ctx, const char *family, const char *help);

/** Like bt_new_histogram, with @p labels in printed form, such as "order=\"hold\"". */
bt_histogram_t *bt_new_labelled_histogram (bt_context_t *ctx,
                                           const char *family,
                                           const char *help,
                                           const char *labels);

/** Frees the histogram; its counters remain. NULL is accepted. */
void bt_drop_histogram (bt_context_t *ctx, bt_histogram_t *histogram);

/** Records one duration in ms without taking a lock. */
void bt_record_duration (bt_histogram_t *histogram, int64_t duration_ms);

#endif
