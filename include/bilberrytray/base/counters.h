#ifndef BILBERRYTRAY_BASE_COUNTERS_H
#define BILBERRYTRAY_BASE_COUNTERS_H

/** @file
 * Counters and gauges, printed in the Prometheus text exposition format.
 */

#include <stdint.h>
#include <stdio.h>

#include "bilberrytray/base/context.h"

typedef struct bt_counter bt_counter_t;

enum
{
  /** Size of a buffer for the printed labels of a counter, in bytes. */
  BT_LABELS_BYTES = 160,
};

/** Metric type. */
typedef enum bt_counter_kind
{
  BT_COUNTER = 0,
  BT_GAUGE,
  BT_HISTOGRAM, /**< One counter of a histogram; see histogram.h. */
} bt_counter_kind_t;

bt_counters_t *bt_new_counters (bt_context_t *ctx);
void bt_drop_counters (bt_context_t *ctx, bt_counters_t *counters);

/** Returns a counter of a metric family, and creates it if it does not exist. Example: family
 * "bilberry_refusals_total", label "reason", value "no-rule". @p label and @p value may both be
 * NULL. The look-up takes a lock, so callers should keep the pointer; it is valid until the context
 * is freed. */
bt_counter_t *bt_find_counter (bt_context_t *ctx,
                               bt_counter_kind_t kind,
                               const char *family,
                               const char *help,
                               const char *label,
                               const char *value);

/** Like bt_find_counter, with @p labels in printed form, such as "order=\"hold\",answer=\"done\"",
 * or NULL. For a BT_HISTOGRAM @p part is "bucket", "sum" or "count"; otherwise it is NULL. */
bt_counter_t *bt_find_labelled_counter (bt_context_t *ctx,
                                        bt_counter_kind_t kind,
                                        const char *family,
                                        const char *help,
                                        const char *part,
                                        const char *labels);

/** Adds to a counter or gauge without taking a lock. @p amount may be negative for a gauge. */
void bt_add_counter (bt_counter_t *counter, int64_t amount);

/** Sets a gauge without taking a lock. */
void bt_set_gauge (bt_counter_t *counter, int64_t value);

/** Returns the current value. */
int64_t bt_read_counter (const bt_counter_t *counter);

/** Prints all counters of the context, grouped by family in the order of creation. */
void bt_print_counters (bt_context_t *ctx, FILE *out);

#endif
