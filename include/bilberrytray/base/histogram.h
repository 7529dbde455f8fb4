#ifndef BILBERRYTRAY_BASE_HISTOGRAM_H
#define BILBERRYTRAY_BASE_HISTOGRAM_H

/** @file
 * How long things took, counted in buckets and printed with the counters.
 */

#include "bilberrytray/base/counters.h"

/** The upper ends of the buckets but the last, which has none, ms. */
#define BT_HISTOGRAM_BOUNDS_MS 1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000

typedef struct bt_histogram bt_histogram_t;

/** Makes a histogram, such as "bilberry_queue_wait_ms". Several of one name count together. */
bt_histogram_t *bt_new_histogram (bt_context_t *ctx, const char *family, const char *help);

/** The same with labels as they are printed, such as "order=\"hold\"". */
bt_histogram_t *bt_new_labelled_histogram (bt_context_t *ctx,
                                           const char *family,
                                           const char *help,
                                           const char *labels);

/** NULL is accepted. What was counted stays. */
void bt_drop_histogram (bt_context_t *ctx, bt_histogram_t *histogram);

/** Counts one duration in ms, without a lock. */
void bt_record_duration (bt_histogram_t *histogram, int64_t duration_ms);

#endif
