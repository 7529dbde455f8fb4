#ifndef BILBERRYTRAY_SOURCE_AGENT_SIDE_FIGURES_H
#define BILBERRYTRAY_SOURCE_AGENT_SIDE_FIGURES_H

/** @file
 * What an agent beside an engine counts and times, for its operators' page.
 */

#include "bilberrytray/base/histogram.h"
#include "bilberrytray/maps/group_rounds.h"

enum
{
  BT_SIDE_ORDER_KINDS = BT_GROUP_GO + 1,
  BT_SIDE_ANSWERS = BT_ORDER_LOST + 1,
};

typedef struct bt_side_figures
{
  bt_histogram_t *report_call; /**< Asking the engine how it stands. */
  bt_histogram_t *report_age;  /**< Of the engine's report as it is sent to an entry. */
  bt_histogram_t *orders[BT_SIDE_ORDER_KINDS];
  bt_counter_t *answers[BT_SIDE_ORDER_KINDS][BT_SIDE_ANSWERS];
  bt_counter_t *links; /**< That are up. */
} bt_side_figures_t;

void bt_open_side_figures (bt_context_t *ctx, bt_side_figures_t *figures);
void bt_close_side_figures (bt_context_t *ctx, bt_side_figures_t *figures);

/** Counts what became of an order. */
void bt_count_side_answer (const bt_side_figures_t *figures,
                           bt_group_order_kind_t kind,
                           bt_order_result_t result);

#endif
