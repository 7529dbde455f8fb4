#include <string.h>

#include "bilberrytray/base/log.h"
#include "call_admission.h"
#include "entry_private.h"
#include "messages.h"

/* Runs the delivery of each call: performs its actions by sending frames to agents, asking the
 * router and the retry budget, and answering the caller. */

enum
{
  /* Part of the time to the deadline that is reserved for proving "not run": 1/8, but at most
   * MAX_GIVE_UP_MS. */
  GIVE_UP_DIVISOR = 8,
  MAX_GIVE_UP_MS = 500,
  REPLY_LIMIT_MS = 1000,
  RECONNECT_LIMIT_MS = 3000,
  RETRY_AFTER_MS = 1000,
  MAX_RESENDS = 3,
  MAX_FOLLOWED_GRANTS = 4,
  MAX_QUEUED_EVENTS = 8, /* Events that the actions of one event can cause. */
};

/* A queue of events that actions caused. Each is handled after the event that caused it. */
typedef struct event_queue
{
  bt_delivery_event_t events[MAX_QUEUED_EVENTS];
  int32_t first;
  int32_t count;
} event_queue_t;

static bt_delivery_event_t *
queue_event (event_queue_t *queue, bt_delivery_event_kind_t kind)
{
  bt_delivery_event_t *event = &queue->events[(queue->first + queue->count++) % MAX_QUEUED_EVENTS];

  memset (event, 0, sizeof *event);
  event->kind = kind;
  return event;
}

static uint64_t
digest_request (const bt_caller_request_t *request)
{
  uint64_t digest = bt_hash_bytes (request->method, strlen (request->method), 0);

  digest = bt_hash_bytes (request->target, strlen (request->target), digest);
  return bt_hash_bytes (request->body, request->body_bytes, digest);
}

void
bt_prepare_delivery (bt_entry_t *entry, bt_call_t *call, const bt_ticket_t *ticket)
{
  int64_t left_ms = call->deadline_ms - bt_now_ms (entry->ctx);
  bt_delivery_options_t options = {
    .call = call->id,
    .has_ticket = ticket != NULL,
    .idempotent = call->idempotent,
    .body_digest = digest_request (bt_get_caller_request (call->caller)),
    .deadline_ms = call->deadline_ms,
    .give_up_margin_ms = left_ms / GIVE_UP_DIVISOR,
    .reply_limit_ms = REPLY_LIMIT_MS,
    .reconnect_limit_ms = RECONNECT_LIMIT_MS,
    .retry_after_ms = RETRY_AFTER_MS,
    .max_resends = MAX_RESENDS,
    .max_followed_grants = MAX_FOLLOWED_GRANTS,
  };

  if (options.give_up_margin_ms > MAX_GIVE_UP_MS)
    options.give_up_margin_ms = MAX_GIVE_UP_MS;
  if (ticket != NULL)
    options.ticket = *ticket;
  call->delivery = bt_new_delivery (entry->ctx, &options);
}

static void
end_attempt (bt_entry_t *entry, bt_call_t *call, bt_attempt_end_t end)
{
  int64_t now_ms = bt_now_ms (entry->ctx);

  if (!call->attempt_active)
    return;
  call->attempt_active = false;
  bt_record_attempt_end (entry->router, &call->route, end, now_ms - call->dispatched_ms, now_ms);
}

static void
begin_attempt (bt_entry_t *entry, bt_call_t *call, const bt_identity_t *target)
{
  int64_t now_ms = bt_now_ms (entry->ctx);

  end_attempt (entry, call, BT_ATTEMPT_CANCELLED);
  if (!bt_same_identity (&call->route.identity, target))
    return;
  call->attempt_active = true;
  call->dispatched_ms = now_ms;
  bt_record_dispatch (entry->router, &call->route, bt_get_call_prefix (call), now_ms);
}

/* A request with a ticket runs at the ticket's home agent without any further message, so that
 * agent is tried first. Once an endpoint was tried, any may be chosen. */
static bt_reason_t
choose_home_agent (bt_entry_t *entry,
                   bt_call_t *call,
                   const bt_route_request_t *request,
                   int64_t now_ms)
{
  bt_route_request_t home_request = *request;
  int64_t retry_after_ms;
  int32_t tried_count;

  bt_get_delivery_excluded (call->delivery, &tried_count);
  if (!call->has_ticket || tried_count > 0)
    return BT_REASON_NO_ENDPOINT;
  home_request.only = &call->home;
  return bt_choose_endpoint (entry->router, &home_request, now_ms, &call->route, &retry_after_ms);
}

static void
choose_endpoint (bt_entry_t *entry, bt_call_t *call, event_queue_t *queue)
{
  bt_route_request_t request = { 0 };
  int64_t now_ms = bt_now_ms (entry->ctx);
  int64_t retry_after_ms = 0;
  bt_delivery_event_t *event;
  bt_reason_t reason;
  bt_peer_t *peer;

  request.app = call->declarations->apps[call->app].name;
  request.account = bt_get_caller_account (call->caller);
  request.priority = call->priority;
  request.deadline_left_ms = call->deadline_ms - now_ms;
  request.prefix = bt_get_call_prefix (call);
  request.seed = entry->seed++;
  reason = choose_home_agent (entry, call, &request, now_ms);
  if (reason != BT_REASON_NONE)
    {
      request.excluded = bt_get_delivery_excluded (call->delivery, &request.excluded_count);
      reason = bt_choose_endpoint (entry->router, &request, now_ms, &call->route, &retry_after_ms);
    }
  peer = reason == BT_REASON_NONE ? bt_find_peer_identity (entry, &call->route.identity) : NULL;
  if (peer == NULL)
    {
      event = queue_event (queue, BT_DELIVERY_NO_CANDIDATE);
      event->reason = reason == BT_REASON_NONE ? BT_REASON_NO_ENDPOINT : reason;
      event->retry_after_ms = retry_after_ms;
      return;
    }
  event = queue_event (queue, BT_DELIVERY_CANDIDATE);
  event->identity = call->route.identity;
  /* Based on that agent's clock as of its last heartbeat: a delay only shortens the grant. */
  event->grant_expires_ms = peer->peer_now_ms + entry->settings.ticket_life_ms;
}

static bool
send_dispatch (bt_entry_t *entry,
               bt_call_t *call,
               bt_link_t *link,
               const bt_dispatch_t *dispatch,
               const char *ticket)
{
  const bt_caller_request_t *request = bt_get_caller_request (call->caller);
  Bilberry__Dispatch message = BILBERRY__DISPATCH__INIT;
  Bilberry__Header headers[BT_MAX_CALLER_HEADERS];
  Bilberry__Header *header_list[BT_MAX_CALLER_HEADERS];
  Bilberry__Grant grant;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  for (int32_t i = 0; i < request->header_count; i++)
    {
      bilberry__header__init (&headers[i]);
      headers[i].name = (char *)request->headers[i].name;
      headers[i].value = (char *)request->headers[i].value;
      header_list[i] = &headers[i];
    }
  bt_fill_dispatch (&message, dispatch, &grant);
  message.ticket = (char *)ticket;
  message.account = (char *)bt_get_caller_account (call->caller);
  message.share = (uint32_t)bt_get_call_share (call);
  message.app = call->declarations->apps[call->app].name;
  message.method = request->method;
  message.path = request->target;
  message.n_headers = (size_t)request->header_count;
  message.headers = header_list;
  message.body.data = request->body;
  message.body.len = request->body_bytes;
  message.priority = call->priority;
  message.deadline_left_ms = call->deadline_ms - bt_now_ms (entry->ctx);
  message.revision = call->declarations->revision;
  frame.body_case = BILBERRY__FRAME__BODY_DISPATCH;
  frame.dispatch = &message;
  begin_attempt (entry, call, &dispatch->target);
  return bt_send_frame (entry->ctx, link, &frame);
}

static bt_peer_t *
find_linked_peer (bt_entry_t *entry, const char *instance)
{
  for (bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    if (peer->up && strcmp (peer->identity.instance, instance) == 0)
      return peer;
  return NULL;
}

static bool
send_by_kind (bt_entry_t *entry,
              bt_call_t *call,
              const bt_delivery_action_t *action,
              bt_link_t *link)
{
  const char *key = bt_find_caller_header (call->caller, "Idempotency-Key");
  const char *ticket = call->has_ticket ? key : "";

  if (action->kind == BT_DELIVERY_SEND_GRANT)
    return bt_send_grant_request (entry->ctx, link, &action->grant_request, ticket);
  if (action->kind == BT_DELIVERY_SEND_TOMBSTONE)
    return bt_send_tombstone_request (entry->ctx, link, &action->tombstone_request, ticket);
  return send_dispatch (entry, call, link, &action->dispatch, ticket);
}

/* Nothing is sent without a link to exactly that incarnation of the agent. If another
 * incarnation is already linked, the delivery learns it at once and does not need to wait. */
static void
send_message (bt_entry_t *entry,
              bt_call_t *call,
              const bt_delivery_action_t *action,
              event_queue_t *queue)
{
  bt_peer_t *peer = bt_find_peer_identity (entry, &action->identity);
  bt_peer_t *other = find_linked_peer (entry, action->identity.instance);
  uint64_t link = peer == NULL ? 0 : bt_get_link_id (peer->link);
  bool sent = peer != NULL && send_by_kind (entry, call, action, peer->link);

  queue_event (queue, BT_DELIVERY_SENT)->link = link;
  if (peer == NULL)
    bt_request_peer_link (entry, action->identity.instance);
  if (peer == NULL && other != NULL)
    queue_event (queue, BT_DELIVERY_LINK_UP)->identity = other->identity;
  if (peer != NULL && !sent)
    queue_event (queue, BT_DELIVERY_LINK_DOWN)->link = link;
}

static void
send_cancel (bt_entry_t *entry, bt_call_t *call, const bt_reply_path_t *path)
{
  for (bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    if (peer->up && bt_get_link_id (peer->link) == path->link)
      bt_send_cancel (entry->ctx, peer->link, path);
  end_attempt (entry, call, call->attempt_end);
}

/* A leaving endpoint refuses requests that it has not started, however many there are at once.
 * This is no failure that retries could amplify, so only the rule limits these retries. */
static bool
may_retry (bt_entry_t *entry, const bt_call_t *call, bt_retry_t retry)
{
  if (call->retries >= call->declarations->rules[call->rule].then.retries)
    return false;
  if (retry != BT_RETRY_ENDPOINT_LEAVING)
    return bt_take_retry (entry->ctx, entry->budget, retry);
  bt_count_retry (entry->ctx, retry);
  return true;
}

static void
check_retry_budget (bt_entry_t *entry, bt_call_t *call, bt_retry_t retry, event_queue_t *queue)
{
  bool allowed = may_retry (entry, call, retry);

  call->retries++;
  end_attempt (entry, call, call->attempt_end);
  queue_event (queue, BT_DELIVERY_BUDGET)->allowed = allowed;
}

/* Logs one line per request with the rule and revision that applied. Requests with a certain
 * outcome are logged at debug level only: in a burst they would be most of the log. */
static void
log_request_end (bt_entry_t *entry, const bt_call_t *call, bt_outcome_t outcome, bt_reason_t reason)
{
  bt_log_level_t level = outcome == BT_OUTCOME_UNKNOWN ? BT_LOG_INFO : BT_LOG_DEBUG;

  bt_log (entry->ctx, level, BT_PART_ENTRY,
          "Request %llu of %s for %s by rule %s under revision %lld: %s (%s) after %lld ms.",
          (unsigned long long)call->id, bt_get_caller_account (call->caller),
          call->declarations->apps[call->app].name, call->declarations->rules[call->rule].name,
          (long long)call->declarations->revision, bt_name_outcome (outcome),
          bt_name_reason (reason), (long long)(bt_now_ms (entry->ctx) - call->arrived_ms));
}

static void
refuse (bt_entry_t *entry, bt_call_t *call, const bt_delivery_action_t *action)
{
  bool failed = action->outcome == BT_OUTCOME_UNKNOWN && action->reason != BT_REASON_CANCELLED;

  end_attempt (entry, call, failed ? BT_ATTEMPT_FAILED : BT_ATTEMPT_CANCELLED);
  bt_refuse_caller (entry->ctx, call->caller, action->outcome, action->reason,
                    action->retry_after_ms, NULL);
  log_request_end (entry, call, action->outcome, action->reason);
  call->finished = true;
}

static void
perform_action (bt_entry_t *entry,
                bt_call_t *call,
                const bt_delivery_action_t *action,
                event_queue_t *queue)
{
  switch (action->kind)
    {
    case BT_DELIVERY_ASK_CANDIDATE:
      if (call->submitted)
        call->needs_admission = true;
      else
        choose_endpoint (entry, call, queue);
      call->submitted = true;
      break;
    case BT_DELIVERY_ASK_BUDGET:
      check_retry_budget (entry, call, action->retry, queue);
      break;
    case BT_DELIVERY_SEND_DISPATCH:
    case BT_DELIVERY_SEND_GRANT:
    case BT_DELIVERY_SEND_TOMBSTONE:
      send_message (entry, call, action, queue);
      break;
    case BT_DELIVERY_SEND_CANCEL:
      send_cancel (entry, call, &action->path);
      break;
    case BT_DELIVERY_FORWARD_HEAD:
      bt_begin_caller_answer (entry->ctx, call->caller, (int32_t)action->status, action->data);
      break;
    case BT_DELIVERY_FORWARD_PIECE:
      if (!bt_add_caller_answer (entry->ctx, call->caller, action->data, action->data_bytes))
        queue_event (queue, BT_DELIVERY_CALLER_GONE);
      break;
    case BT_DELIVERY_FINISH_COMPLETE:
      end_attempt (entry, call, BT_ATTEMPT_ANSWERED);
      bt_end_caller_answer (entry->ctx, call->caller);
      log_request_end (entry, call, BT_OUTCOME_ANSWERED, BT_REASON_NONE);
      call->finished = true;
      break;
    default:
      refuse (entry, call, action);
      break;
    }
}

static void
set_attempt_end (bt_call_t *call, const bt_delivery_event_t *event)
{
  call->attempt_end = BT_ATTEMPT_FAILED;
  if (event->kind == BT_DELIVERY_CALLER_GONE)
    call->attempt_end = BT_ATTEMPT_CANCELLED;
  else if (event->kind == BT_DELIVERY_REPLY && event->reply->kind == BT_REPLY_REFUSED
           && event->reply->outcome == BT_OUTCOME_NOT_RUN)
    call->attempt_end = BT_ATTEMPT_REFUSED;
}

void
bt_handle_call_event (bt_entry_t *entry, bt_call_t *call, const bt_delivery_event_t *event)
{
  event_queue_t queue;
  bt_delivery_actions_t actions = { 0 };

  set_attempt_end (call, event);
  queue.first = 0;
  queue.count = 1;
  queue.events[0] = *event;
  while (queue.count > 0 && !call->finished)
    {
      bt_delivery_event_t next = queue.events[queue.first];

      queue.first = (queue.first + 1) % MAX_QUEUED_EVENTS;
      queue.count--;
      actions.count = 0;
      bt_handle_delivery_event (entry->ctx, call->delivery, &next, bt_now_ms (entry->ctx),
                                &actions);
      for (int32_t i = 0; i < actions.count && !call->finished; i++)
        perform_action (entry, call, &actions.items[i], &queue);
    }
  bt_free_delivery_actions (entry->ctx, &actions);
  if (call->finished)
    bt_remove_call (entry, call);
  else if (call->needs_admission)
    {
      call->needs_admission = false;
      bt_request_admission (entry, call, true);
    }
}

void
bt_dispatch_call (bt_entry_t *entry, bt_call_t *call)
{
  bt_delivery_event_t submit = { .kind = BT_DELIVERY_SUBMIT };
  event_queue_t queue = { 0 };

  if (!call->submitted)
    {
      bt_record_attempt (entry->budget);
      bt_handle_call_event (entry, call, &submit);
      return;
    }
  choose_endpoint (entry, call, &queue);
  bt_handle_call_event (entry, call, &queue.events[0]);
}

void
bt_refuse_call (bt_entry_t *entry,
                bt_call_t *call,
                bt_outcome_t outcome,
                bt_reason_t reason,
                int64_t retry_after_ms)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_REFUSE,
                                .reason = reason,
                                .retry_after_ms = retry_after_ms };

  bt_handle_call_event (entry, call, &event);
}
