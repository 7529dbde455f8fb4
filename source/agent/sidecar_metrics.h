#ifndef BILBERRYTRAY_SOURCE_AGENT_SIDECAR_METRICS_H
#define BILBERRYTRAY_SOURCE_AGENT_SIDECAR_METRICS_H

/** @file
 * Counters and histograms of the sidecar for its operators' page.
 */

#include "bilberrytray/base/histogram.h"
#include "bilberrytray/load/room_ledger.h"
#include "bilberrytray/maps/group_rounds.h"

enum
{
  BT_SIDECAR_ORDER_KINDS = BT_GROUP_GO + 1,
  BT_SIDECAR_ANSWERS = BT_ORDER_LOST + 1,
  BT_SIDECAR_VERDICTS = BT_ROOM_DISPLACED,
};

typedef struct bt_sidecar_metrics
{
  bt_histogram_t *report_call; /**< Duration of the calls that read the engine's state. */
  bt_histogram_t *report_age;  /**< Age of the engine's report when it is sent to an entry. */
  bt_histogram_t *orders[BT_SIDECAR_ORDER_KINDS];
  bt_counter_t *answers[BT_SIDECAR_ORDER_KINDS][BT_SIDECAR_ANSWERS];
  bt_counter_t *links; /**< Established links. */
  bt_counter_t *room_asks[BT_SIDECAR_VERDICTS];
  bt_counter_t *room_expired;
  bt_counter_t *room_ignored;
  bt_counter_t *room_dropped;
  bt_counter_t *room_in_flight;
  bt_counter_t *room_held;
  bt_counter_t *room_waiting;
} bt_sidecar_metrics_t;

void bt_open_sidecar_metrics (bt_context_t *ctx, bt_sidecar_metrics_t *metrics);
void bt_close_sidecar_metrics (bt_context_t *ctx, bt_sidecar_metrics_t *metrics);

/** Counts the result of an order. */
void bt_count_sidecar_answer (const bt_sidecar_metrics_t *metrics,
                              bt_group_order_kind_t kind,
                              bt_order_result_t result);

/** Adds the difference of two states of the ledger to the counters, and sets the gauges. */
void bt_count_sidecar_room (const bt_sidecar_metrics_t *metrics,
                            const bt_room_counts_t *before,
                            const bt_room_counts_t *counts);

#endif
