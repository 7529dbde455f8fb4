#include "forward.h"

#include <stddef.h>
#include <string.h>

#include "bilberrytray/base/http_field.h"
#include "bilberrytray/config/contention.h"
#include "queue_counts.h"

enum
{
  US_PER_MS = 1000,
  /* Interval at which queued requests are checked, in addition to the check after each request's
   * end and each report. */
  QUEUE_CHECK_MS = 10,
  /* The caller's deadline runs from when it sent the request, and the answer has to travel back.
   * Covers two long network delays between a caller and an entry, and one iteration of the loop. */
  CALLER_DELAY_MS = 10,
  /* Divisor for the time in which callers expect the first part of an answer: an endpoint with a
   * free slot takes nearly half of it to read a usual prompt. */
  FIRST_PART_DIVISOR = 2,
  /* Callers leave a stream that is silent for the longest of these: a minimum, a multiple of the
   * time in which they expect its first event, and of the longest pause that they accept. */
  MIN_PATIENCE_MS = 2000,
  PATIENCE_TARGETS = 4,
  PATIENCE_PAUSES = 8,
  /* Entry instances learn the configuration within about this time. */
  NOT_READY_RETRY_MS = 500,
  /* The operators have to write the declaration again. */
  UNREADABLE_RETRY_MS = 10000,
};

static const char *const bearer_prefix = "Bearer ";

static void
add_forward (bt_gateway_t *gateway, bt_forward_t *forward)
{
  forward->next = gateway->first_forward;
  if (forward->next != NULL)
    forward->next->previous = forward;
  gateway->first_forward = forward;
  gateway->forwards++;
}

/* Ends a request whose time limit, the caller's or the rule's, has passed. */
static void
handle_deadline (bt_timer_t *timer)
{
  bt_forward_t *forward = (bt_forward_t *)((char *)timer - offsetof (bt_forward_t, timer));
  bt_gateway_t *gateway = forward->gateway;

  if (forward->state == BT_FORWARD_QUEUED)
    bt_cancel_admission (gateway->admission, forward->id);
  if (forward->runs > 0 || forward->exchange != NULL)
    bt_refuse_forward (forward, BT_REASON_DEADLINE_PASSED, 0);
  else
    bt_refuse_forward (forward, BT_REASON_DEADLINE_UNREACHABLE,
                       bt_draw_retry_after_ms (gateway, forward->app));
  bt_dispatch_queued_forwards (gateway);
}

static void
handle_queue_timer (bt_timer_t *timer)
{
  bt_dispatch_queued_forwards (
      (bt_gateway_t *)((char *)timer - offsetof (bt_gateway_t, queue_timer)));
}

static bt_forward_t *
find_forward (bt_gateway_t *gateway, uint64_t id)
{
  for (bt_forward_t *forward = gateway->first_forward; forward != NULL; forward = forward->next)
    if (forward->id == id)
      return forward;
  return NULL;
}

static bool
is_any_queued (const bt_gateway_t *gateway)
{
  for (const bt_forward_t *forward = gateway->first_forward; forward != NULL;
       forward = forward->next)
    if (forward->state == BT_FORWARD_QUEUED)
      return true;
  return false;
}

void
bt_dispatch_queued_forwards (bt_gateway_t *gateway)
{
  int64_t now_ms = bt_get_loop_ms (gateway->loop);
  bt_admission_decision_t decision;

  while (bt_next_admission (gateway->admission, now_ms, &decision))
    {
      bt_forward_t *forward = find_forward (gateway, decision.id);

      if (forward == NULL)
        continue;
      bt_note_forward_decision (forward, &decision);
      bt_count_queue_decision (gateway->ctx, &decision, forward->priority);
      if (decision.action == BT_ADMISSION_ADMIT)
        bt_send_forward (forward);
      else
        bt_refuse_forward (forward, decision.reason, decision.retry_after_ms);
    }
  gateway->queue_timer.on_expiry = handle_queue_timer;
  if (is_any_queued (gateway))
    bt_set_timer (gateway->loop, &gateway->queue_timer, now_ms + QUEUE_CHECK_MS);
}

/* Returns the time left until the caller expects the first part of the answer, less what an
 * endpoint takes for it, at least 1; 0 when the rule states no such time. */
static int64_t
get_queue_time_left_ms (const bt_forward_t *forward, int64_t now_ms)
{
  int64_t aim_ms = forward->rule->then.aim_ms;
  int64_t left_ms = forward->arrived_ms + aim_ms - aim_ms / FIRST_PART_DIVISOR - now_ms;

  if (aim_ms == 0)
    return 0;
  return left_ms > 1 ? left_ms : 1;
}

/* Returns the time left until the caller leaves unless it has got the first event of a stream, at
 * least 1; 0 when it waits until the deadline. */
static int64_t
get_patience_left_ms (const bt_forward_t *forward, int64_t now_ms)
{
  const bt_rule_then_t *then = &forward->rule->then;
  int64_t patience_ms = MIN_PATIENCE_MS;
  int64_t left_ms;

  if (!then->streamed)
    return 0;
  if (PATIENCE_TARGETS * then->aim_ms > patience_ms)
    patience_ms = PATIENCE_TARGETS * then->aim_ms;
  if (PATIENCE_PAUSES * then->pause_ms > patience_ms)
    patience_ms = PATIENCE_PAUSES * then->pause_ms;
  left_ms = forward->arrived_ms + patience_ms - CALLER_DELAY_MS - now_ms;
  return left_ms > 1 ? left_ms : 1;
}

/* Returns the least expected time of the run of a stream; 0 if it is not known. */
static int64_t
get_run_ms (const bt_forward_t *forward)
{
  const bt_engine_t *engine = &forward->declarations->apps[forward->app_index].engine;

  return bt_estimate_stream_ms (bt_get_app_least_pass_ms (forward->gateway, forward->app),
                                forward->info.expected_answer_tokens, engine->stride);
}

/* Returns a keyed hash of the client account. */
static uint64_t
hash_account (const bt_forward_t *forward)
{
  const bt_request_content_t content = { .account = forward->account,
                                         .method = "",
                                         .target = "account" };
  bt_fingerprint_t fingerprint;
  uint64_t hash;

  bt_make_fingerprint (&forward->gateway->fingerprint_key, &content, &fingerprint);
  memcpy (&hash, fingerprint.bytes, sizeof hash);
  return hash;
}

static int32_t
get_account_share (const bt_forward_t *forward)
{
  const int32_t account = bt_find_account (forward->declarations, forward->account);

  return account < 0 ? 1 : forward->declarations->accounts[account].share;
}

/* Asks for capacity for a queued request if its app calls for it. */
static void
ask_for_room (bt_forward_t *forward)
{
  const bt_engine_t *engine = &forward->declarations->apps[forward->app_index].engine;
  const int64_t now_ms = bt_get_loop_ms (forward->gateway->loop);
  const int64_t left_ms = get_queue_time_left_ms (forward, now_ms);
  bt_room_request_t request = {
    .id = forward->id,
    .app = forward->app,
    .priority = (int32_t)forward->priority,
    .target_ms = left_ms > 0 ? now_ms + left_ms : 0,
    .prompt_tokens = forward->info.prompt_tokens,
    .answer_tokens = forward->info.expected_answer_tokens,
  };

  if (!bt_has_room_app (forward->gateway->rooms, forward->app))
    return;
  request.account = hash_account (forward);
  request.share = get_account_share (forward);
  if (engine->read_tokens_per_ms > 0)
    request.read_us = (int64_t)(request.prompt_tokens * US_PER_MS / engine->read_tokens_per_ms);
  bt_queue_room_request (forward->gateway->rooms, &request);
}

void
bt_ask_for_queued_forwards (bt_gateway_t *gateway)
{
  for (bt_forward_t *forward = gateway->first_forward; forward != NULL; forward = forward->next)
    if (forward->state == BT_FORWARD_QUEUED && forward->rule != NULL && !forward->awaits_part_trial)
      ask_for_room (forward);
}

/* Records that admission's queue was left by a grant, as a decision of admission is recorded. */
static void
note_grant (bt_forward_t *forward)
{
  bt_gateway_t *gateway = forward->gateway;
  const int64_t now_ms = bt_get_loop_ms (gateway->loop);
  const bool late = forward->rule->then.aim_ms > 0 && get_queue_time_left_ms (forward, now_ms) <= 1;
  bt_admission_decision_t decision = { .id = forward->id, .action = BT_ADMISSION_ADMIT };

  decision.wait = bt_get_wait_times (gateway->admission, forward->app, now_ms, &decision.times);
  if (forward->contended)
    decision.order = late ? BT_QUEUE_ORDER_LATE : BT_QUEUE_ORDER_IN_TIME;
  bt_note_forward_decision (forward, &decision);
  bt_count_queue_decision (gateway->ctx, &decision, forward->priority);
}

bool
bt_send_granted_forward (bt_gateway_t *gateway,
                         uint64_t id,
                         const bt_identity_t *endpoint,
                         uint64_t grant_id)
{
  bt_forward_t *forward = find_forward (gateway, id);

  if (forward == NULL || forward->state != BT_FORWARD_QUEUED)
    return false;
  note_grant (forward);
  forward->only = endpoint;
  forward->grant_id = grant_id;
  bt_send_forward (forward);
  /* It has been freed if it was refused. */
  forward = find_forward (gateway, id);
  if (forward == NULL)
    return false;
  forward->only = NULL;
  forward->grant_id = 0;
  return true;
}

static void
admit (bt_forward_t *forward)
{
  bt_gateway_t *gateway = forward->gateway;
  int64_t retry_after_ms = 0;
  int64_t now_ms = bt_get_loop_ms (gateway->loop);
  bt_admission_request_t request = {
    .id = forward->id,
    .app = forward->app,
    .account = forward->account,
    .share = 1,
    .priority = (int32_t)forward->priority,
    .deadline_left_ms = forward->deadline_ms - now_ms,
    .target_left_ms = get_queue_time_left_ms (forward, now_ms),
    .patience_left_ms = get_patience_left_ms (forward, now_ms),
    .run_ms = get_run_ms (forward),
    .late_last = forward->contended,
    .by_estimate = forward->is_part_trial,
    .seed = bt_draw_gateway_seed (gateway),
  };
  bt_admission_decision_t decision;
  bt_reason_t reason = bt_check_forward_crashing (forward, &retry_after_ms);

  if (reason != BT_REASON_NONE)
    {
      bt_refuse_forward (forward, reason, retry_after_ms);
      return;
    }
  bt_decide_admission (gateway->ctx, gateway->admission, &request, now_ms, &decision);
  bt_note_forward_decision (forward, &decision);
  if (decision.action == BT_ADMISSION_ADMIT)
    bt_send_forward (forward);
  else if (decision.action == BT_ADMISSION_REFUSE)
    bt_refuse_forward (forward, decision.reason, decision.retry_after_ms);
  else
    {
      ask_for_room (forward);
      bt_set_timer (gateway->loop, &gateway->queue_timer, now_ms + QUEUE_CHECK_MS);
    }
}

/* Matches a rule, and authenticates the caller only where the rule requires an account. */
static bt_reason_t
match_and_authenticate (bt_forward_t *forward, const char *path)
{
  const bt_declarations_t *declarations = forward->declarations;
  const char *token = bt_find_frontend_header (forward->call, "Authorization");
  const char *host = bt_find_frontend_header (forward->call, "Host");
  bt_header_t header = { "Host", host == NULL ? "" : host };
  bt_request_attributes_t attributes = {
    .account = "",
    .app = "",
    .method = bt_get_frontend_request (forward->call)->method,
    .path = path,
    .headers = &header,
    .header_count = 1,
    .body_bytes = (int64_t)bt_get_frontend_request (forward->call)->body_bytes,
    .priority = BT_PRIORITY_NORMAL,
  };
  int32_t rule = bt_match_rules (declarations, &attributes);
  int32_t account;

  if (rule < 0)
    return declarations->rules_incomplete ? BT_REASON_DECLARATION_UNREADABLE
                                          : BT_REASON_NO_SUCH_PATH;
  forward->rule = &declarations->rules[rule];
  if (forward->rule->unreadable)
    return BT_REASON_DECLARATION_UNREADABLE;
  bt_choose_forward_app (forward);
  forward->contended = bt_is_app_contended (declarations, forward->app_index);
  if (forward->rule->then.priority >= 0)
    forward->priority = (bt_priority_t)forward->rule->then.priority;
  if (forward->rule->then.open
      || (declarations->account_count == 0 && !declarations->accounts_incomplete))
    return BT_REASON_NONE;
  if (token == NULL || strncmp (token, bearer_prefix, strlen (bearer_prefix)) != 0)
    return BT_REASON_NO_TOKEN;
  account = bt_find_token (declarations, token + strlen (bearer_prefix));
  if (account < 0)
    return declarations->accounts_incomplete ? BT_REASON_DECLARATION_UNREADABLE
                                             : BT_REASON_BAD_TOKEN;
  if (declarations->accounts[account].unreadable)
    return BT_REASON_DECLARATION_UNREADABLE;
  bt_copy_name (forward->account, declarations->accounts[account].name);
  forward->account_name = bt_get_account_name (&declarations->accounts[account]);
  if (declarations->accounts[account].priority >= 0)
    forward->priority = (bt_priority_t)declarations->accounts[account].priority;
  return BT_REASON_NONE;
}

/* Returns the path without its query, which no rule matches. */
static char *
copy_path (bt_context_t *ctx, const char *target)
{
  char *path = bt_strdup (ctx, target);

  path[strcspn (path, "?")] = '\0';
  return path;
}

static void
read_call_headers (bt_forward_t *forward)
{
  const bt_frontend_request_t *request = bt_get_frontend_request (forward->call);
  const bt_platform_t *platform = forward->gateway->platform;

  for (int32_t i = 0; i < request->header_count; i++)
    platform->vtable->read_request_header (request->headers[i].name, request->headers[i].value,
                                           &forward->info);
}

static void
set_deadline (bt_forward_t *forward)
{
  int64_t limit_ms = forward->rule->then.deadline_ms;

  if (limit_ms <= 0)
    limit_ms = forward->declarations->apps[forward->app_index].deadline_ms;
  forward->deadline_ms = forward->arrived_ms + limit_ms;
  if (forward->info.deadline_ms > 0
      && forward->arrived_ms + forward->info.deadline_ms - CALLER_DELAY_MS < forward->deadline_ms)
    forward->deadline_ms = forward->arrived_ms + forward->info.deadline_ms - CALLER_DELAY_MS;
  forward->timer.on_expiry = handle_deadline;
  bt_set_timer (forward->gateway->loop, &forward->timer, forward->deadline_ms);
}

/* Returns after how long a request that was refused before admission may be sent again, ms; 0:
 * sending it again is no use. */
static int64_t
get_unadmitted_retry_ms (bt_reason_t reason)
{
  if (reason == BT_REASON_NOT_READY)
    return NOT_READY_RETRY_MS;
  if (reason == BT_REASON_DECLARATION_UNREADABLE)
    return UNREADABLE_RETRY_MS;
  return reason == BT_REASON_STOPPING ? BT_STOPPING_RETRY_MS : 0;
}

/* Returns false for a request whose head an endpoint may read as another one than the gateway: with
 * a blank behind a field's name, a field of the system's own or a length would pass as an unknown
 * one. */
static bool
is_valid_head (const bt_frontend_request_t *request)
{
  if (!bt_is_field_name (request->method, strlen (request->method))
      || !bt_is_request_target (request->target))
    return false;
  for (int32_t i = 0; i < request->header_count; i++)
    {
      const bt_frontend_header_t *header = &request->headers[i];

      if (!bt_is_field_name (header->name, strlen (header->name))
          || !bt_is_field_value (header->value, strlen (header->value)))
        return false;
    }
  return true;
}

/* Returns true when this instance is leaving and no caller can still hold a cached address answer
 * that names it. */
static bool
is_gateway_closing (const bt_gateway_t *gateway)
{
  return gateway->leaving && gateway->stop.phase > BT_STOP_LEAVING;
}

/* Returns false when this instance is leaving and a request that arrives now, and may take until
 * end_ms, could be cut off by the end of the process. */
static bool
may_gateway_accept (const bt_gateway_t *gateway, int64_t end_ms)
{
  return !gateway->leaving
         || bt_may_accept_at_stop (&gateway->stop, end_ms, bt_get_loop_ms (gateway->loop));
}

void
bt_start_forward (bt_gateway_t *gateway, bt_frontend_call_t *call)
{
  const bt_frontend_request_t *request = bt_get_frontend_request (call);
  bt_forward_t *forward = bt_calloc (gateway->ctx, 1, sizeof *forward);
  bt_reason_t reason = BT_REASON_NOT_READY;
  char *path = copy_path (gateway->ctx, request->target);

  forward->gateway = gateway;
  forward->call = call;
  forward->id = ++gateway->last_forward_id;
  forward->arrived_ms = request->arrived_ms;
  forward->priority = BT_PRIORITY_NORMAL;
  add_forward (gateway, forward);
  bt_set_frontend_call_data (call, forward);
  bt_start_forward_delay (forward);
  read_call_headers (forward);
  if (!is_valid_head (request))
    reason = BT_REASON_BAD_REQUEST;
  else if (is_gateway_closing (gateway))
    reason = BT_REASON_STOPPING;
  else if (gateway->view != NULL && gateway->view->declarations != NULL)
    {
      forward->declarations = bt_keep_declarations (gateway->view->declarations);
      reason = match_and_authenticate (forward, path);
    }
  bt_free (gateway->ctx, path);
  if (reason == BT_REASON_NONE)
    {
      set_deadline (forward);
      if (!may_gateway_accept (gateway, forward->deadline_ms))
        reason = BT_REASON_STOPPING;
    }
  if (reason != BT_REASON_NONE)
    bt_refuse_forward (forward, reason, get_unadmitted_retry_ms (reason));
  else if (!bt_await_part_trial (forward))
    admit (forward);
}

void
bt_handle_part_trial (bt_gateway_t *gateway, uint64_t id, bool granted)
{
  bt_forward_t *forward = find_forward (gateway, id);

  if (forward == NULL)
    return;
  forward->awaits_part_trial = false;
  forward->is_part_trial = granted;
  admit (forward);
  bt_dispatch_queued_forwards (gateway);
}

void
bt_abandon_forward (bt_gateway_t *gateway, bt_frontend_call_t *call)
{
  bt_forward_t *forward = bt_get_frontend_call_data (call);

  if (forward == NULL)
    return;
  bt_set_frontend_call_data (call, NULL);
  if (forward->state == BT_FORWARD_QUEUED)
    bt_cancel_admission (gateway->admission, forward->id);
  bt_finish_forward (forward, BT_OUTCOME_UNKNOWN, BT_REASON_CANCELLED, 0);
  bt_dispatch_queued_forwards (gateway);
}

void
bt_refuse_late_forwards (bt_gateway_t *gateway)
{
  bt_forward_t *next;

  for (bt_forward_t *forward = gateway->first_forward; forward != NULL; forward = next)
    {
      next = forward->next;
      if (forward->state == BT_FORWARD_QUEUED && !bt_may_send_late_forward (forward))
        bt_refuse_unsent_forward (forward);
    }
}

/* A request that was sent may have run. An answer that says so is better than a broken connection,
 * from which the caller can't tell whether the request was read at all. */
static void
abort_forward (bt_forward_t *forward)
{
  if (forward->state == BT_FORWARD_QUEUED)
    bt_refuse_unsent_forward (forward);
  else
    bt_refuse_forward (forward, BT_REASON_STOPPED_MIDWAY, 0);
}

void
bt_abort_forwards (bt_gateway_t *gateway)
{
  while (gateway->first_forward != NULL)
    abort_forward (gateway->first_forward);
}
