#include "sidecar_metrics.h"

static const char *const answer_names[BT_SIDECAR_ANSWERS] = { "done", "refused", "fenced", "lost" };

static void
open_order_metrics (bt_context_t *ctx, bt_sidecar_metrics_t *metrics, bt_group_order_kind_t kind)
{
  char labels[BT_LABELS_BYTES];
  const char *name = bt_name_group_order (kind);

  snprintf (labels, sizeof labels, "order=\"%s\"", name);
  metrics->orders[kind] = bt_new_labelled_histogram (
      ctx, "bilberry_engine_order_ms", "Calls that gave an engine an order, by kind.", labels);
  for (int32_t i = 0; i < BT_SIDECAR_ANSWERS; i++)
    {
      snprintf (labels, sizeof labels, "order=\"%s\",answer=\"%s\"", name, answer_names[i]);
      metrics->answers[kind][i] =
          bt_find_labelled_counter (ctx, BT_COUNTER, "bilberry_engine_orders_total",
                                    "Orders by kind and answer.", NULL, labels);
    }
}

void
bt_open_sidecar_metrics (bt_context_t *ctx, bt_sidecar_metrics_t *metrics)
{
  metrics->report_call = bt_new_histogram (ctx, "bilberry_engine_report_ms",
                                           "Calls that asked the engine how it stands.");
  metrics->report_age = bt_new_histogram (ctx, "bilberry_report_age_ms",
                                          "Age of an engine's report when it was sent on.");
  for (int32_t i = 0; i < BT_SIDECAR_ORDER_KINDS; i++)
    open_order_metrics (ctx, metrics, (bt_group_order_kind_t)i);
  metrics->links =
      bt_find_counter (ctx, BT_GAUGE, "bilberry_links_up", "Links to entries.", NULL, NULL);
}

void
bt_close_sidecar_metrics (bt_context_t *ctx, bt_sidecar_metrics_t *metrics)
{
  bt_drop_histogram (ctx, metrics->report_call);
  bt_drop_histogram (ctx, metrics->report_age);
  for (int32_t i = 0; i < BT_SIDECAR_ORDER_KINDS; i++)
    bt_drop_histogram (ctx, metrics->orders[i]);
}

void
bt_count_sidecar_answer (const bt_sidecar_metrics_t *metrics,
                         bt_group_order_kind_t kind,
                         bt_order_result_t result)
{
  bt_add_counter (metrics->answers[kind][result], 1);
}
