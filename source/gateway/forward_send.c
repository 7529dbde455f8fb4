#include <string.h>
#include <strings.h>

#include "bilberrytray/base/event_log.h"
#include "forward.h"

enum
{
  /* Maximum size of an answer that is buffered until it is complete. */
  MAX_ANSWER_BYTES = 8 << 20,
  /* With less time left than this, no endpoint can answer. */
  MIN_SEND_MS = 5,
  /* Refusals that a request may meet in addition to its runs; each costs a round trip. */
  MAX_EXTRA_SENDS = 2,
};

/* Returns true for headers that concern one connection only, and those that the HTTP libraries set.
 */
static bool
is_hop_header (const char *name)
{
  static const char *const hop[] = { "Connection",
                                     "Keep-Alive",
                                     "Transfer-Encoding",
                                     "TE",
                                     "Upgrade",
                                     "Trailer",
                                     "Expect",
                                     "Content-Length",
                                     "Proxy-Connection",
                                     "Proxy-Authenticate",
                                     "Proxy-Authorization" };

  for (size_t i = 0; i < sizeof hop / sizeof hop[0]; i++)
    if (strcasecmp (name, hop[i]) == 0)
      return true;
  return false;
}

static void
add_exchange_header (void *data, const char *name, const char *value)
{
  bt_add_exchange_header (data, name, value);
}

/* Adds the caller's headers, except its token and those that the gateway sets itself. */
static void
add_headers (bt_forward_t *forward)
{
  const bt_frontend_request_t *request = bt_get_frontend_request (forward->call);
  const bt_platform_vtable_t *platform = forward->gateway->platform->vtable;
  const bool resumes = forward->events.events > 0;
  bt_request_info_t unused;
  bt_attempt_info_t info = {
    .endpoint = forward->route.identity.instance,
    .account = forward->account_name == NULL ? "" : forward->account_name,
    /* Reads the clock itself: the loop's time may date from before the request arrived or from
     * before the process was suspended, and the endpoint would work for a caller who has left. */
    .deadline_left_ms = forward->deadline_ms - bt_now_ms (forward->gateway->ctx),
    .priority = forward->contended ? (int32_t)forward->priority : -1,
  };

  for (int32_t i = 0; i < request->header_count; i++)
    {
      const bt_frontend_header_t *header = &request->headers[i];

      if (is_hop_header (header->name) || strcasecmp (header->name, "Authorization") == 0
          || (resumes && strcasecmp (header->name, "Last-Event-Id") == 0)
          || !platform->read_request_header (header->name, header->value, &unused))
        continue;
      bt_add_exchange_header (forward->exchange, header->name, header->value);
    }
  if (resumes)
    bt_add_exchange_header (forward->exchange, "Last-Event-Id", forward->events.last_id);
  platform->write_attempt_headers (&info, add_exchange_header, forward->exchange);
}

static void
handle_answer_header (bt_exchange_handler_t *handler, const char *name, const char *value)
{
  bt_forward_t *forward = (bt_forward_t *)handler;

  if (!forward->gateway->platform->vtable->read_answer_header (name, value, &forward->answer)
      || is_hop_header (name))
    return;
  bt_append_frontend_header (forward->gateway->ctx, &forward->headers, &forward->header_count, name,
                             value);
}

static bt_attempt_stage_t
get_stage (const bt_exchange_t *exchange, size_t partial_bytes)
{
  switch (bt_get_exchange_state (exchange))
    {
    case BT_EXCHANGE_COMPLETE:
      return partial_bytes > 0 ? BT_ATTEMPT_CUT_OFF : BT_ATTEMPT_COMPLETE;
    case BT_EXCHANGE_UNSENT:
      return BT_ATTEMPT_UNSENT;
    default:
      return bt_get_exchange_status (exchange) > 0 ? BT_ATTEMPT_CUT_OFF : BT_ATTEMPT_NO_ANSWER;
    }
}

static void
describe_result (const bt_forward_t *forward, bt_attempt_stage_t stage, bt_attempt_result_t *result)
{
  const char *answered = forward->answer.request_id;

  memset (result, 0, sizeof *result);
  result->stage = stage;
  result->status = bt_get_exchange_status (forward->exchange);
  result->marked = forward->answer.marked;
  result->not_run = forward->answer.not_run;
  result->encoded = forward->answer.encoded;
  result->id_mismatch = answered[0] != '\0' && strcmp (answered, forward->info.request_id) != 0;
}

static void
copy_answer_head (bt_forward_t *forward)
{
  for (int32_t i = 0; i < forward->header_count; i++)
    bt_add_frontend_header (forward->call, forward->headers[i].name, forward->headers[i].value);
}

/* Records that the caller gets a part of the answer now. */
static void
record_answer_part (bt_forward_t *forward)
{
  bt_timings_t *timings = &forward->gateway->timings;
  int64_t now_ms = bt_get_loop_ms (forward->gateway->loop);

  bt_note_forward_part (forward, now_ms);
  if (forward->first_byte_ms == 0)
    {
      forward->first_byte_ms = now_ms;
      bt_record_duration (timings->first_part, now_ms - forward->arrived_ms);
    }
  else
    bt_record_duration (timings->event_pause, now_ms - forward->last_part_ms);
  forward->last_part_ms = now_ms;
}

static void
forward_answer (bt_forward_t *forward)
{
  int32_t status = bt_get_exchange_status (forward->exchange);
  size_t bytes;
  const char *body = bt_peek_exchange_body (forward->exchange, &bytes);

  record_answer_part (forward);
  copy_answer_head (forward);
  bt_record_answered_attempt (forward);
  bt_answer_frontend_call (forward->call, status, body, bytes);
  bt_finish_forward (forward, BT_OUTCOME_ANSWERED, BT_REASON_NONE, status);
}

static bool
was_tried (const bt_forward_t *forward, const bt_identity_t *identity)
{
  for (int32_t i = 0; i < forward->sends; i++)
    if (bt_same_identity (&forward->tried[i], identity))
      return true;
  return false;
}

static void
log_retry (const bt_forward_t *forward, const bt_attempt_decision_t *decision, const char *fault)
{
  bt_log_event (forward->gateway->ctx, BT_LOG_INFO, "retry", "{s:s, s:s, s:s, s:s, s:i, s:i, s:I}",
                "request", forward->info.request_id, "reason", bt_name_retry (decision->retry),
                "endpoint", forward->route.identity.instance, "fault", fault, "sends",
                forward->sends, "runs", forward->runs, "left_ms",
                (json_int_t)(forward->deadline_ms - bt_get_loop_ms (forward->gateway->loop)));
}

/* Sends the request to another endpoint when the retry budget that all requests of the app share
 * allows it. */
static void
retry (bt_forward_t *forward, const bt_attempt_decision_t *decision)
{
  bt_gateway_t *gateway = forward->gateway;

  if (!bt_take_app_retry (gateway, forward->app, decision->retry))
    {
      bt_refuse_forward (forward, decision->reason,
                         forward->runs > 0 ? 0 : bt_draw_retry_after_ms (gateway, forward->app));
      return;
    }
  bt_send_forward (forward);
}

static void
apply_attempt_decision (bt_forward_t *forward, bt_attempt_stage_t stage)
{
  bt_gateway_t *gateway = forward->gateway;
  int32_t max_sends = forward->rule->then.retries + 1 + MAX_EXTRA_SENDS;
  bt_attempt_limits_t limits = {
    .repeatable = bt_may_forward_run_again (forward),
    .runs_left = forward->rule->then.retries - forward->runs,
    .attempts_left =
        (max_sends < BT_MAX_FORWARD_SENDS ? max_sends : BT_MAX_FORWARD_SENDS) - forward->sends,
    .answer_started = forward->state == BT_FORWARD_STREAMING,
    .may_have_run = forward->runs > 0,
  };
  bt_attempt_result_t result;
  bt_attempt_decision_t decision;

  describe_result (forward, stage, &result);
  bt_decide_after_attempt (&result, &limits, &decision);
  if (decision.may_have_run)
    forward->runs++;
  if (decision.may_have_run && stage != BT_ATTEMPT_COMPLETE
      && bt_get_exchange_state (forward->exchange) != BT_EXCHANGE_OPEN)
    bt_record_broken_attempt (forward);
  if (decision.endpoint_gone)
    bt_remove_listed_endpoint (gateway->ctx, gateway->endpoints, &forward->route.identity);
  if (decision.next == BT_NEXT_FORWARD && !limits.answer_started)
    {
      forward_answer (forward);
      return;
    }
  if (decision.next == BT_NEXT_RETRY)
    log_retry (forward, &decision, bt_get_exchange_error (forward->exchange));
  bt_end_forward_attempt (forward, decision.end);
  if (decision.next == BT_NEXT_RETRY)
    retry (forward, &decision);
  else
    bt_refuse_forward (forward, decision.reason,
                       forward->runs > 0 ? 0 : bt_draw_retry_after_ms (gateway, forward->app));
}

/* Returns true for a stream that ended with its connection before its first event. Its endpoint
 * began to answer, and a process that ends there closes the connection in the same way. */
static bool
has_stream_ended_empty (const bt_forward_t *forward)
{
  return !bt_is_exchange_framed (forward->exchange)
         && forward->events.events == forward->events_before;
}

/* Returns true when the answer in progress is a stream that may be forwarded before it is
 * complete. */
static bool
is_forwardable_stream (const bt_forward_t *forward)
{
  bt_attempt_result_t result;

  describe_result (forward, BT_ATTEMPT_CUT_OFF, &result);
  return forward->rule->then.streamed && result.status == 200 && result.marked && !result.encoded
         && !result.id_mismatch && !result.not_run;
}

/* Passes complete events on. The head is sent with the first one: until then another endpoint can
 * still answer instead of this one. */
static void
forward_events (bt_forward_t *forward)
{
  size_t bytes;
  const char *body = bt_peek_exchange_body (forward->exchange, &bytes);
  size_t complete_bytes = bt_consume_events (&forward->events, body, bytes);

  if (complete_bytes == 0)
    return;
  if (forward->state != BT_FORWARD_STREAMING)
    {
      forward->state = BT_FORWARD_STREAMING;
      copy_answer_head (forward);
      bt_begin_frontend_stream (forward->call, bt_get_exchange_status (forward->exchange));
    }
  record_answer_part (forward);
  bt_push_frontend_stream (forward->call, body, complete_bytes);
  bt_consume_exchange_body (forward->exchange, complete_bytes);
  if (bt_is_frontend_call_behind (forward->call))
    bt_pause_exchange (forward->exchange);
}

/* Returns true if the endpoint has cut off an answer that was not read for long. Without a length
 * or chunks, its end can't be told from a cut-off. */
static bool
was_cut_off_unread (const bt_forward_t *forward, size_t partial_bytes)
{
  return bt_is_exchange_unread (forward->exchange)
         && (bt_get_exchange_state (forward->exchange) != BT_EXCHANGE_COMPLETE || partial_bytes > 0
             || !bt_is_exchange_framed (forward->exchange));
}

static void
finish_stream (bt_forward_t *forward)
{
  bt_record_answered_attempt (forward);
  bt_end_forward_attempt (forward, BT_ATTEMPT_ANSWERED);
  bt_end_frontend_stream (forward->call, BT_STREAM_COMPLETE);
  bt_finish_forward (forward, BT_OUTCOME_ANSWERED, BT_REASON_NONE, 200);
}

static void
record_answer_load (bt_forward_t *forward)
{
  bt_gateway_t *gateway = forward->gateway;

  if (!forward->answer.has_load || bt_get_exchange_status (forward->exchange) == 0)
    return;
  forward->answer.has_load = false;
  forward->answer.load.slots =
      bt_get_reported_slots (gateway->router, &forward->route.identity, forward->answer.load.slots);
  bt_record_load (gateway->router, &forward->route.identity, &forward->answer.load,
                  bt_get_loop_ms (gateway->loop));
}

static void
handle_progress (bt_exchange_handler_t *handler, bt_exchange_t *exchange)
{
  bt_forward_t *forward = (bt_forward_t *)handler;
  bt_gateway_t *gateway = forward->gateway;
  bool is_stream = is_forwardable_stream (forward);
  size_t partial_bytes = 0;
  size_t held_bytes = 0;

  record_answer_load (forward);
  bt_note_answer_head (forward);
  if (is_stream)
    {
      forward_events (forward);
      bt_peek_exchange_body (exchange, &partial_bytes);
    }
  bt_peek_exchange_body (exchange, &held_bytes);
  bt_set_frontend_received (forward->call, held_bytes);
  /* Events before this one are missing, so what follows it can't be passed on. */
  if (forward->events.gap)
    {
      forward->events.gap = false;
      apply_attempt_decision (forward, BT_ATTEMPT_CUT_OFF);
    }
  else if (bt_get_exchange_state (exchange) == BT_EXCHANGE_OPEN)
    return;
  else if (was_cut_off_unread (forward, partial_bytes))
    {
      forward->runs++;
      bt_report_slow_reader (forward->call, BT_SLOW_READER_ENDPOINT);
      bt_refuse_forward (forward, BT_REASON_SLOW_READER, 0);
    }
  else if (is_stream && has_stream_ended_empty (forward))
    apply_attempt_decision (forward, BT_ATTEMPT_CUT_OFF);
  /* Only the end of a stream ends the caller's stream: the complete answer of an endpoint that
   * refuses to resume it says nothing about the events that are still to come. */
  else if (bt_get_exchange_state (exchange) == BT_EXCHANGE_COMPLETE && is_stream
           && partial_bytes == 0 && forward->state == BT_FORWARD_STREAMING)
    finish_stream (forward);
  else
    apply_attempt_decision (forward, get_stage (exchange, partial_bytes));
  gateway->on_attempt_end (gateway);
}

static const bt_exchange_handler_vtable_t exchange_vtable = { handle_progress,
                                                              handle_answer_header };

static void
begin_attempt (bt_forward_t *forward, const char *address, int64_t now_ms)
{
  bt_gateway_t *gateway = forward->gateway;
  const bt_frontend_request_t *request = bt_get_frontend_request (forward->call);
  bt_exchange_request_t exchange = {
    .address = address,
    .method = request->method,
    .target = request->target,
    .body = request->body,
    .body_bytes = request->body_bytes,
    .answer_bytes = MAX_ANSWER_BYTES,
  };

  forward->handler.vtable = &exchange_vtable;
  memset (&forward->answer, 0, sizeof forward->answer);
  forward->has_noted_answer = false;
  forward->exchange =
      bt_new_exchange (gateway->ctx, gateway->exchanges, &exchange, &forward->handler);
  add_headers (forward);
  if (forward->state == BT_FORWARD_QUEUED)
    forward->state = BT_FORWARD_SENT;
  bt_note_forward_send (forward);
  if (forward->first_sent_ms == 0)
    {
      forward->first_sent_ms = now_ms;
      bt_record_duration (gateway->timings.queue_wait, now_ms - forward->arrived_ms);
    }
  bt_record_duration (gateway->timings.view_age, now_ms - gateway->view->read_ms);
  forward->sent_ms = now_ms;
  forward->events_before = forward->events.events;
  bt_note_crash_trial (forward);
  forward->was_part_trial = forward->was_part_trial || forward->is_part_trial;
  forward->is_part_trial = false;
  forward->tried[forward->sends++] = forward->route.identity;
  bt_record_dispatch (gateway->router, &forward->route, 0, now_ms);
  forward->room_id = forward->grant_id;
  if (forward->grant_id == 0)
    {
      bt_forget_room_request (gateway->rooms, forward->id);
      forward->room_id = bt_start_unasked (gateway->rooms, &forward->route.identity);
    }
  bt_send_exchange (forward->exchange);
}

void
bt_send_forward (bt_forward_t *forward)
{
  bt_gateway_t *gateway = forward->gateway;
  int64_t now_ms = bt_get_loop_ms (gateway->loop);
  bt_route_request_t request = {
    .app = forward->app,
    .account = forward->account,
    .priority = (int32_t)forward->priority,
    .deadline_left_ms = forward->deadline_ms - now_ms,
    .excluded = forward->tried,
    .excluded_count = forward->sends,
    .only = forward->only,
    .seed = bt_draw_gateway_seed (gateway),
  };
  const bt_listed_endpoint_t *listed;
  int64_t retry_after_ms;
  bt_reason_t crash_reason = BT_REASON_NONE;
  bt_reason_t reason = BT_REASON_DEADLINE_UNREACHABLE;

  if (!bt_may_send_late_forward (forward))
    {
      bt_refuse_unsent_forward (forward);
      return;
    }
  /* A process that was restarted under its id looks like an endpoint that was not tried yet, but
   * may have accepted this request in its earlier incarnation. A request that may have run and must
   * run only once is therefore sent nowhere else, whatever is listed. */
  if (forward->runs > 0 && !bt_is_forward_repeatable (forward))
    reason = BT_REASON_ENGINE_FAILED;
  else if ((crash_reason = bt_check_forward_crashing (forward, &retry_after_ms)) != BT_REASON_NONE)
    reason = crash_reason;
  else if (forward->deadline_ms - now_ms >= MIN_SEND_MS)
    reason =
        bt_choose_endpoint (gateway->router, &request, now_ms, &forward->route, &retry_after_ms);
  if (reason == BT_REASON_NONE)
    {
      listed = bt_find_listed_endpoint (gateway->endpoints, forward->route.identity.instance);
      if (listed != NULL && !was_tried (forward, &forward->route.identity))
        {
          if (forward->sends == 0)
            bt_record_app_request (gateway, forward->app);
          begin_attempt (forward, listed->address, now_ms);
          return;
        }
      reason = BT_REASON_NO_ENDPOINT;
    }
  if (forward->runs > 0)
    bt_refuse_forward (forward, BT_REASON_ENGINE_FAILED, 0);
  else if (crash_reason != BT_REASON_NONE)
    bt_refuse_forward (forward, reason, retry_after_ms);
  else
    bt_refuse_forward (forward, reason, bt_draw_retry_after_ms (gateway, forward->app));
}
