#include "side_figures.h"

static const char *const answer_names[BT_SIDE_ANSWERS] = { "done", "refused", "fenced", "lost" };

static void
open_order (bt_context_t *ctx, bt_side_figures_t *figures, bt_group_order_kind_t kind)
{
  char labels[BT_LABELS_BYTES];
  const char *name = bt_name_group_order (kind);

  snprintf (labels, sizeof labels, "order=\"%s\"", name);
  figures->orders[kind] = bt_new_labelled_histogram (
      ctx, "bilberry_engine_order_ms", "Calls that gave an engine an order, by kind.", labels);
  for (int32_t i = 0; i < BT_SIDE_ANSWERS; i++)
    {
      snprintf (labels, sizeof labels, "order=\"%s\",answer=\"%s\"", name, answer_names[i]);
      figures->answers[kind][i] =
          bt_find_labelled_counter (ctx, BT_COUNTER, "bilberry_engine_orders_total",
                                    "Orders by kind and answer.", NULL, labels);
    }
}

void
bt_open_side_figures (bt_context_t *ctx, bt_side_figures_t *figures)
{
  figures->report_call = bt_new_histogram (ctx, "bilberry_engine_report_ms",
                                           "Calls that asked the engine how it stands.");
  figures->report_age = bt_new_histogram (ctx, "bilberry_report_age_ms",
                                          "Age of an engine's report when it was sent on.");
  for (int32_t i = 0; i < BT_SIDE_ORDER_KINDS; i++)
    open_order (ctx, figures, (bt_group_order_kind_t)i);
  figures->links =
      bt_find_counter (ctx, BT_GAUGE, "bilberry_links_up", "Links to entries.", NULL, NULL);
}

void
bt_close_side_figures (bt_context_t *ctx, bt_side_figures_t *figures)
{
  bt_drop_histogram (ctx, figures->report_call);
  bt_drop_histogram (ctx, figures->report_age);
  for (int32_t i = 0; i < BT_SIDE_ORDER_KINDS; i++)
    bt_drop_histogram (ctx, figures->orders[i]);
}

void
bt_count_side_answer (const bt_side_figures_t *figures,
                      bt_group_order_kind_t kind,
                      bt_order_result_t result)
{
  bt_add_counter (figures->answers[kind][result], 1);
}
