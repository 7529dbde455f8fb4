#ifndef BILBERRYTRAY_SOURCE_GATEWAY_STORE_STATUS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_STORE_STATUS_H

/** @file
 * What operators see of this instance's copy of the platform's store: log lines, metrics and
 * status.
 */

#include <stdio.h>

#include "bilberrytray/base/counters.h"
#include "store_copy.h"

/** Zero-initialise it. */
typedef struct bt_store_status
{
  bt_counter_t *era;
  bt_counter_t *restores;
  bt_counter_t *retained;
  int64_t old_revision; /**< Of the last read that was older than the copy; 0: none. */
} bt_store_status_t;

/** Creates the metrics. */
void bt_open_store_status (bt_context_t *ctx, bt_store_status_t *status);

/** Reports a read that is older than the copy at @p known, once for each revision: such reads can
 * follow each other in quick succession. */
void bt_record_old_store_read (bt_context_t *ctx,
                               bt_store_status_t *status,
                               const bt_kv_range_t *range,
                               bt_kv_position_t known);

/** Reports the position of a copy that was at @p before, and a restoration of the store in between.
 */
void bt_record_store_position (bt_context_t *ctx,
                               bt_store_status_t *status,
                               bt_store_copy_t *copy,
                               bt_kv_position_t before);

/** Reports how many items the copy retains. */
void bt_record_store_retention (bt_store_status_t *status, bt_store_copy_t *copy);

/** Prints the position of a copy and what it retains. May be called from any thread. */
void bt_print_store_status (bt_store_copy_t *copy, FILE *out);

#endif
