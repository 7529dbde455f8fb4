#include "sidecar_metrics.h"

static const char *const answer_names[BT_SIDECAR_ANSWERS] = { "done", "refused", "fenced", "lost" };
static const char *const verdict_names[BT_SIDECAR_VERDICTS] = { "granted", "denied", "displaced" };

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

static bt_counter_t *
find_metric (bt_context_t *ctx, bt_counter_kind_t kind, const char *family, const char *help)
{
  return bt_find_counter (ctx, kind, family, help, NULL, NULL);
}

static void
open_room_metrics (bt_context_t *ctx, bt_sidecar_metrics_t *metrics)
{
  for (int32_t i = 0; i < BT_SIDECAR_VERDICTS; i++)
    metrics->room_asks[i] =
        bt_find_counter (ctx, BT_COUNTER, "bilberry_room_asks_total",
                         "Asks for capacity by the answer sent.", "verdict", verdict_names[i]);
  metrics->room_expired = find_metric (ctx, BT_COUNTER, "bilberry_room_holds_expired_total",
                                       "Grants that were not used in time.");
  metrics->room_ignored = find_metric (ctx, BT_COUNTER, "bilberry_room_ids_ignored_total",
                                       "Ids of unknown, duplicate or late messages.");
  metrics->room_dropped = find_metric (ctx, BT_COUNTER, "bilberry_room_frames_dropped_total",
                                       "Messages with a field that is out of range.");
  metrics->room_in_flight = find_metric (ctx, BT_GAUGE, "bilberry_room_in_flight",
                                         "Requests in flight by the messages of entries.");
  metrics->room_held =
      find_metric (ctx, BT_GAUGE, "bilberry_room_held", "Grants that have not started.");
  metrics->room_waiting =
      find_metric (ctx, BT_GAUGE, "bilberry_room_waiting", "Asks that wait for capacity.");
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
  open_room_metrics (ctx, metrics);
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

void
bt_count_sidecar_room (const bt_sidecar_metrics_t *metrics,
                       const bt_room_counts_t *before,
                       const bt_room_counts_t *counts)
{
  bt_add_counter (metrics->room_asks[BT_ROOM_GRANTED - 1], counts->granted - before->granted);
  bt_add_counter (metrics->room_asks[BT_ROOM_DENIED - 1], counts->denied - before->denied);
  bt_add_counter (metrics->room_asks[BT_ROOM_DISPLACED - 1], counts->displaced - before->displaced);
  bt_add_counter (metrics->room_expired, counts->expired - before->expired);
  bt_add_counter (metrics->room_ignored, counts->ignored - before->ignored);
  bt_set_gauge (metrics->room_in_flight, counts->in_flight);
  bt_set_gauge (metrics->room_held, counts->held);
  bt_set_gauge (metrics->room_waiting, counts->waiting);
}
