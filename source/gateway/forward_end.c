#include <stdio.h>

#include "bilberrytray/base/event_log.h"
#include "forward.h"

enum
{
  MS_PER_S = 1000,
  RETRY_AFTER_BYTES = 32,
  /* Used when nothing is free: a run takes about a second, so half a second later something is. */
  MIN_RETRY_AFTER_MS = 300,
  RETRY_AFTER_SPREAD_MS = 700,
};

uint64_t
bt_draw_gateway_seed (bt_gateway_t *gateway)
{
  return bt_next_random (&gateway->random);
}

int64_t
bt_draw_retry_after_ms (bt_gateway_t *gateway, const char *app)
{
  int64_t paused_ms = bt_get_paused_retry_after_ms (
      gateway->admission, app, bt_draw_gateway_seed (gateway), bt_get_loop_ms (gateway->loop));

  if (paused_ms > 0)
    return paused_ms;
  return MIN_RETRY_AFTER_MS + (int64_t)bt_random_below (&gateway->random, RETRY_AFTER_SPREAD_MS);
}

static void
drop_headers (bt_forward_t *forward)
{
  bt_free_frontend_header_list (forward->gateway->ctx, forward->headers, forward->header_count);
  forward->headers = NULL;
  forward->header_count = 0;
}

void
bt_end_forward_attempt (bt_forward_t *forward, bt_attempt_end_t end)
{
  bt_gateway_t *gateway = forward->gateway;
  int64_t now_ms = bt_get_loop_ms (gateway->loop);

  if (forward->exchange == NULL)
    return;
  if (bt_is_exchange_unread (forward->exchange))
    end = BT_ATTEMPT_UNREAD;
  bt_record_attempt_end (gateway->router, &forward->route, end, now_ms - forward->sent_ms, now_ms);
  bt_end_room_use (gateway->rooms, forward->room_id);
  forward->room_id = 0;
  bt_drop_exchange (gateway->ctx, forward->exchange);
  forward->exchange = NULL;
  drop_headers (forward);
}

static void
remove_forward (bt_gateway_t *gateway, bt_forward_t *forward)
{
  if (forward->previous != NULL)
    forward->previous->next = forward->next;
  else
    gateway->first_forward = forward->next;
  if (forward->next != NULL)
    forward->next->previous = forward->previous;
  gateway->forwards--;
}

static void
log_request_end (bt_forward_t *forward, bt_outcome_t outcome, bt_reason_t reason, int32_t status)
{
  bt_gateway_t *gateway = forward->gateway;
  int64_t now_ms = bt_get_loop_ms (gateway->loop);
  bool good = outcome == BT_OUTCOME_ANSWERED;
  bt_delay_verdict_t delay;

  bt_judge_forward_delay (forward, outcome, reason, status, &delay);
  bt_log_event (
      gateway->ctx, good ? BT_LOG_INFO : BT_LOG_WARNING, "request",
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:I, s:I, s:I, "
      "s:s, s:s, s:I, s:I, s:I}",
      "request", forward->info.request_id, "rule", forward->rule == NULL ? "" : forward->rule->name,
      "account", forward->account, "outcome", bt_name_outcome (outcome), "status", status, "reason",
      bt_name_reason (reason), "app", forward->app == NULL ? "" : forward->app, "endpoint",
      forward->route.identity.instance, "sends", forward->sends, "runs", forward->runs, "events",
      (json_int_t)forward->events.events, "queue_ms",
      (json_int_t)(forward->first_sent_ms > 0 ? forward->first_sent_ms - forward->arrived_ms : -1),
      "first_ms",
      (json_int_t)(forward->first_byte_ms > 0 ? forward->first_byte_ms - forward->arrived_ms : -1),
      "total_ms", (json_int_t)(now_ms - forward->arrived_ms), "revision",
      (json_int_t)(forward->declarations == NULL ? 0 : forward->declarations->revision), "delay",
      bt_name_delay_outcome (delay.outcome), "cause", bt_name_delay_cause (delay.cause), "cause_ms",
      (json_int_t)delay.stage_ms, "usual_ms", (json_int_t)delay.usual_ms, "allowed_ms",
      (json_int_t)delay.allowed_ms);
}

void
bt_finish_forward (bt_forward_t *forward, bt_outcome_t outcome, bt_reason_t reason, int32_t status)
{
  bt_gateway_t *gateway = forward->gateway;
  bt_context_t *ctx = gateway->ctx;

  bt_count_outcome (ctx, outcome);
  log_request_end (forward, outcome, reason, status);
  bt_record_duration (gateway->timings.total, bt_get_loop_ms (gateway->loop) - forward->arrived_ms);
  bt_clear_timer (gateway->loop, &forward->timer);
  bt_end_forward_attempt (forward, BT_ATTEMPT_CANCELLED);
  bt_forget_room_request (gateway->rooms, forward->id);
  remove_forward (gateway, forward);
  bt_drop_frontend_call (ctx, forward->call);
  bt_drop_declarations (ctx, forward->declarations);
  bt_free_frontend_header_list (ctx, forward->headers, forward->header_count);
  bt_drop_prompt_parts (ctx, forward->parts);
  bt_free (ctx, forward);
}

static void
add_retry_after (bt_frontend_call_t *call, int64_t retry_after_ms)
{
  char text[RETRY_AFTER_BYTES];

  if (retry_after_ms <= 0)
    return;
  snprintf (text, sizeof text, "%.3f", (double)retry_after_ms / MS_PER_S);
  bt_add_frontend_header (call, "Retry-After", text);
}

void
bt_refuse_forward (bt_forward_t *forward, bt_reason_t reason, int64_t retry_after_ms)
{
  bt_gateway_t *gateway = forward->gateway;
  bt_outcome_t outcome = bt_get_reason_outcome (reason);
  int32_t status = bt_get_reason_status (reason);

  bt_count_refusal (gateway->ctx, reason);
  bt_end_forward_attempt (forward, BT_ATTEMPT_CANCELLED);
  if (forward->state == BT_FORWARD_STREAMING)
    {
      bt_end_frontend_stream (forward->call, BT_STREAM_CUT_OFF);
      bt_finish_forward (forward, BT_OUTCOME_UNKNOWN, reason, 0);
      return;
    }
  add_retry_after (forward->call, retry_after_ms);
  bt_add_frontend_header (forward->call, "Bilberry-Reason", bt_name_reason (reason));
  bt_answer_frontend_call (forward->call, status, "", 0);
  bt_finish_forward (forward, outcome, reason, status);
}

bool
bt_may_send_late_forward (const bt_forward_t *forward)
{
  const bt_gateway_t *gateway = forward->gateway;

  return !gateway->leaving || forward->runs > 0
         || bt_may_send_at_stop (&gateway->stop, forward->deadline_ms,
                                 bt_get_loop_ms (gateway->loop));
}

void
bt_refuse_unsent_forward (bt_forward_t *forward)
{
  bt_cancel_admission (forward->gateway->admission, forward->id);
  bt_refuse_forward (forward, BT_REASON_STOPPING, BT_STOPPING_RETRY_MS);
}
