#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/event_log.h"
#include "http_frontend_private.h"

static const char *const cause_names[] = { "bound", "endpoint" };

static bt_counter_t *
find_ended (bt_context_t *ctx, bt_slow_reader_cause_t cause)
{
  return bt_find_counter (ctx, BT_COUNTER, "bilberry_slow_readers_ended_total",
                          "Answers that were cut off since their callers did not read them.",
                          "cause", cause_names[cause]);
}

void
bt_open_frontend_buffers (bt_frontend_t *frontend)
{
  bt_buffer_budget_options_t options = {
    .call_bytes = frontend->limits.call_buffer_bytes,
    .total_bytes = frontend->limits.buffer_bytes,
  };

  if (options.call_bytes == 0)
    return;
  frontend->budget = bt_new_buffer_budget (frontend->ctx, &options);
  frontend->buffered_gauge = bt_find_counter (
      frontend->ctx, BT_GAUGE, "bilberry_buffered_bytes",
      "Bytes that are buffered for callers, without those in the kernel.", NULL, NULL);
  frontend->paused_counter =
      bt_find_counter (frontend->ctx, BT_COUNTER, "bilberry_transfers_paused_total",
                       "Transfers that were paused since their callers were behind.", NULL, NULL);
  find_ended (frontend->ctx, BT_SLOW_READER_BOUND);
  find_ended (frontend->ctx, BT_SLOW_READER_ENDPOINT);
}

/* The bytes have changed. */
static void
handle_change (bt_frontend_t *frontend)
{
  bt_set_gauge (frontend->buffered_gauge, bt_get_buffered_bytes (frontend->budget));
  /* Calls are ended in the loop's next iteration: the present one may still use them. */
  if (bt_is_buffer_budget_exceeded (frontend->budget)
      && bt_find_call_to_end (frontend->budget) != NULL)
    bt_request_loop_iteration (frontend->loop);
}

void
bt_add_call_waiting (bt_frontend_call_t *call, size_t bytes)
{
  bt_frontend_t *frontend = call->frontend;

  if (frontend->budget == NULL)
    return;
  if (bt_add_waiting_bytes (frontend->budget, &call->buffered, (int64_t)bytes,
                            bt_get_loop_ms (frontend->loop))
      && call->streaming)
    bt_add_counter (frontend->paused_counter, 1);
  handle_change (frontend);
}

bool
bt_take_call_waiting (bt_frontend_call_t *call, size_t bytes)
{
  bt_frontend_t *frontend = call->frontend;
  bool caught_up;

  if (frontend->budget == NULL)
    return false;
  caught_up = bt_take_waiting_bytes (frontend->budget, &call->buffered, (int64_t)bytes,
                                     bt_get_loop_ms (frontend->loop));
  bt_set_gauge (frontend->buffered_gauge, bt_get_buffered_bytes (frontend->budget));
  return caught_up;
}

void
bt_discard_call_waiting (bt_frontend_call_t *call)
{
  if (call->frontend->budget == NULL)
    return;
  bt_discard_waiting_bytes (call->frontend->budget, &call->buffered);
  bt_set_gauge (call->frontend->buffered_gauge, bt_get_buffered_bytes (call->frontend->budget));
}

void
bt_update_call_other_bytes (bt_frontend_call_t *call)
{
  bt_frontend_t *frontend = call->frontend;
  int64_t bytes = (int64_t)(call->body_capacity + call->received_bytes);

  if (frontend->budget == NULL || bytes == call->buffered.other_bytes)
    return;
  bt_set_other_bytes (frontend->budget, &call->buffered, bytes);
  handle_change (frontend);
}

void
bt_remove_call_buffers (bt_frontend_call_t *call)
{
  if (call->frontend->budget == NULL)
    return;
  bt_remove_buffered_call (call->frontend->budget, &call->buffered);
  bt_set_gauge (call->frontend->buffered_gauge, bt_get_buffered_bytes (call->frontend->budget));
}

bool
bt_may_grow_call_body (const bt_frontend_call_t *call, size_t capacity)
{
  return call->frontend->budget == NULL
         || bt_may_buffer_body (call->frontend->budget, (int64_t)call->body_capacity,
                                (int64_t)(capacity - call->body_capacity));
}

bool
bt_is_frontend_call_behind (const bt_frontend_call_t *call)
{
  return call->buffered.behind;
}

void
bt_set_frontend_received (bt_frontend_call_t *call, size_t bytes)
{
  call->received_bytes = bytes;
  bt_update_call_other_bytes (call);
}

void
bt_report_slow_reader (const bt_frontend_call_t *call, bt_slow_reader_cause_t cause)
{
  bt_context_t *ctx = call->frontend->ctx;

  bt_add_counter (find_ended (ctx, cause), 1);
  bt_log_event (ctx, BT_LOG_WARNING, "slow-reader-ended", "{s:s, s:I, s:I, s:I}", "cause",
                cause_names[cause], "waiting_bytes", (json_int_t)call->buffered.waiting_bytes,
                "stalled_ms",
                (json_int_t)(bt_get_loop_ms (call->frontend->loop) - call->buffered.progress_ms),
                "buffered_bytes",
                (json_int_t)(call->frontend->budget == NULL
                                 ? 0
                                 : bt_get_buffered_bytes (call->frontend->budget)));
}
