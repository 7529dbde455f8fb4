#ifndef BILBERRYTRAY_BASE_COUNTERS_H
#define BILBERRYTRAY_BASE_COUNTERS_H

/** @file
 * Counters and gauges, printed in the usual text exposition format.
 */

#include <stdint.h>
#include <stdio.h>

#include "bilberrytray/base/context.h"

typedef struct bt_counter bt_counter_t;

enum
{
  /** Room for the labels of a value, as they are printed. */
  BT_LABELS_BYTES = 160,
};

/** What a value is. */
typedef enum bt_counter_kind
{
  BT_COUNTER = 0,
  BT_GAUGE,
  BT_HISTOGRAM, /**< A part of a histogram; see histogram.h. */
} bt_counter_kind_t;

bt_counters_t *bt_new_counters (bt_context_t *ctx);
void bt_drop_counters (bt_context_t *ctx, bt_counters_t *counters);

/** Finds or makes one value of a family, such as "bilberry_refusals_total" with the label "reason"
 * of value "no-rule". @p label and @p value may both be NULL. Look up once and keep the pointer,
 * which lives as long as the context: the look-up takes a lock. */
bt_counter_t *bt_find_counter (bt_context_t *ctx,
                               bt_counter_kind_t kind,
                               const char *family,
                               const char *help,
                               const char *label,
                               const char *value);

/** The same with all labels as they are printed, such as "order=\"hold\",answer=\"done\"", or NULL;
 * and for a BT_HISTOGRAM its @p part, "bucket", "sum" or "count", else NULL. */
bt_counter_t *bt_find_labelled_counter (bt_context_t *ctx,
                                        bt_counter_kind_t kind,
                                        const char *family,
                                        const char *help,
                                        const char *part,
                                        const char *labels);

/** Adds to a value, without a lock. @p amount may be negative for a gauge. */
void bt_add_counter (bt_counter_t *counter, int64_t amount);

/** Sets a gauge. */
void bt_set_gauge (bt_counter_t *counter, int64_t value);

/** Reads a value. */
int64_t bt_read_counter (const bt_counter_t *counter);

/** Writes all values of the context, families in the order they were made. */
void bt_print_counters (bt_context_t *ctx, FILE *out);

#endif
