#ifndef BILBERRYTRAY_SOURCE_AGENT_SIDE_FIGURES_H
#define BILBERRYTRAY_SOURCE_AGENT_SIDE_FIGURES_H

/** @file
 * What an agent beside an engine counts and times, for its operators' page.
 */

#include "bilberrytray/base/histogram.h"
#include "bilberrytray/maps/group_rounds.h"

enum
{
  BT_SIDECAR_ORDER_KINDS = BT_GROUP_GO + 1,
  BT_SIDECAR_ANSWERS = BT_ORDER_LOST + 1,
};

typedef struct bt_sidecar_metrics
{
  bt_histogram_t *report_call; /**< Asking the engine how it stands. */
  bt_histogram_t *report_age;  /**< Of the engine's report as it is sent to an entry. */
  bt_histogram_t *orders[BT_SIDECAR_ORDER_KINDS];
  bt_counter_t *answers[BT_SIDECAR_ORDER_KINDS][BT_SIDECAR_ANSWERS];
  bt_counter_t *links; /**< That are up. */
} bt_sidecar_metrics_t;

void bt_open_sidecar_metrics (bt_context_t *ctx, bt_sidecar_metrics_t *metrics);
void bt_close_sidecar_metrics (bt_context_t *ctx, bt_sidecar_metrics_t *metrics);

/** Counts what became of an order. */
void bt_count_sidecar_answer (const bt_sidecar_metrics_t *metrics,
                              bt_group_order_kind_t kind,
                              bt_order_result_t result);

#endif
