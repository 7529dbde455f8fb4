#include "delivery_private.h"

#include <string.h>

enum
{
  INITIAL_CAPACITY = 4,
};

bt_delivery_t *
bt_new_delivery (bt_context_t *ctx, const bt_delivery_options_t *options)
{
  bt_delivery_t *delivery = bt_calloc (ctx, 1, sizeof *delivery);

  delivery->options = *options;
  delivery->path.call = options->call;
  return delivery;
}

void
bt_drop_delivery (bt_context_t *ctx, bt_delivery_t *delivery)
{
  if (delivery == NULL)
    return;
  bt_free (ctx, delivery->excluded);
  bt_free (ctx, delivery->head);
  bt_free (ctx, delivery);
}

bt_delivery_action_t *
bt_add_delivery_action (bt_context_t *ctx,
                        bt_delivery_actions_t *actions,
                        bt_delivery_action_kind_t kind)
{
  bt_delivery_action_t *action;

  if (actions->count == actions->capacity)
    {
      actions->capacity = actions->capacity == 0 ? INITIAL_CAPACITY : actions->capacity * 2;
      actions->items =
          bt_realloc (ctx, actions->items, (size_t)actions->capacity, sizeof *actions->items);
    }
  action = &actions->items[actions->count++];
  memset (action, 0, sizeof *action);
  action->kind = kind;
  return action;
}

void
bt_free_delivery_actions (bt_context_t *ctx, bt_delivery_actions_t *actions)
{
  bt_free (ctx, actions->items);
  memset (actions, 0, sizeof *actions);
}

bool
bt_is_delivery_finished (const bt_delivery_t *delivery)
{
  return delivery->phase == BT_PHASE_FINISHED;
}

const bt_identity_t *
bt_get_delivery_excluded (const bt_delivery_t *delivery, int32_t *count)
{
  *count = delivery->excluded_count;
  return delivery->excluded;
}

bool
bt_is_delivery_waiting_for (const bt_delivery_t *delivery, const bt_identity_t *identity)
{
  return delivery->phase == BT_PHASE_AWAITING_LINK
         && strcmp (delivery->target.instance, identity->instance) == 0;
}

static void
enter_phase (bt_delivery_t *delivery, bt_delivery_phase_t phase, int64_t now_ms)
{
  delivery->phase = phase;
  delivery->phase_start_ms = now_ms;
}

/* Sends a cancel to the agent. It stops a run without a key; a run with a key goes on without this
 * caller. */
static void
cancel_dispatch (bt_context_t *ctx, bt_delivery_t *delivery, bt_delivery_actions_t *actions)
{
  if (delivery->message != BT_MESSAGE_DISPATCH || delivery->path.link == 0)
    return;
  if (delivery->phase == BT_PHASE_AWAITING_REPLY || delivery->phase == BT_PHASE_RUNNING)
    bt_add_delivery_action (ctx, actions, BT_DELIVERY_SEND_CANCEL)->path = delivery->path;
}

void
bt_end_delivery (bt_context_t *ctx,
                 bt_delivery_t *delivery,
                 bt_reason_t reason,
                 bt_outcome_t outcome,
                 int64_t retry_after_ms,
                 bt_delivery_actions_t *actions)
{
  bt_delivery_action_t *action;

  cancel_dispatch (ctx, delivery, actions);
  delivery->phase = BT_PHASE_FINISHED;
  action = bt_add_delivery_action (
      ctx, actions, delivery->head_forwarded ? BT_DELIVERY_ABORT : BT_DELIVERY_FINISH_REFUSED);
  action->reason = reason;
  action->outcome = delivery->head_forwarded ? BT_OUTCOME_UNKNOWN : outcome;
  action->retry_after_ms = retry_after_ms > 0 ? retry_after_ms : delivery->options.retry_after_ms;
}

void
bt_end_delivery_unknown (bt_context_t *ctx,
                         bt_delivery_t *delivery,
                         bt_reason_t reason,
                         bt_delivery_actions_t *actions)
{
  bt_end_delivery (ctx, delivery, reason, BT_OUTCOME_UNKNOWN, 0, actions);
}

static void
fill_dispatch (const bt_delivery_t *delivery, bt_dispatch_t *dispatch)
{
  dispatch->path = delivery->path;
  dispatch->target = delivery->target;
  dispatch->has_ticket = delivery->options.has_ticket;
  dispatch->ticket = delivery->options.ticket;
  dispatch->has_grant = delivery->has_grant && !delivery->grant_tombstoned;
  dispatch->grant = delivery->grant;
  dispatch->idempotent = delivery->options.idempotent;
  dispatch->attach_only = delivery->attach_only;
  dispatch->from_sequence = delivery->next_sequence;
  dispatch->body_digest = delivery->options.body_digest;
  dispatch->deadline_ms = delivery->options.deadline_ms;
}

static void
fill_grant_request (const bt_delivery_t *delivery, bt_grant_request_t *request)
{
  request->path = delivery->path;
  request->ticket = delivery->options.ticket;
  request->proposal.agent = delivery->candidate;
  request->proposal.expires_ms = delivery->candidate_expires_ms;
  request->after_number = delivery->grant_tombstoned ? delivery->grant.number : 0;
}

static void
fill_tombstone_request (const bt_delivery_t *delivery, bt_tombstone_request_t *request)
{
  request->path = delivery->path;
  request->target = delivery->target;
  request->ticket = delivery->options.ticket;
  request->has_grant =
      delivery->has_grant
      && (delivery->message == BT_MESSAGE_TOMBSTONE_GRANTEE || delivery->grant_tombstoned);
  request->grant = delivery->grant;
}

void
bt_send_delivery_message (bt_context_t *ctx,
                          bt_delivery_t *delivery,
                          int64_t now_ms,
                          bt_delivery_actions_t *actions)
{
  bt_delivery_action_t *action;

  delivery->path.attempt++;
  delivery->path.link = 0;
  enter_phase (delivery, BT_PHASE_AWAITING_REPLY, now_ms);
  switch (delivery->message)
    {
    case BT_MESSAGE_DISPATCH:
      action = bt_add_delivery_action (ctx, actions, BT_DELIVERY_SEND_DISPATCH);
      fill_dispatch (delivery, &action->dispatch);
      break;
    case BT_MESSAGE_GRANT:
      action = bt_add_delivery_action (ctx, actions, BT_DELIVERY_SEND_GRANT);
      fill_grant_request (delivery, &action->grant_request);
      break;
    default:
      action = bt_add_delivery_action (ctx, actions, BT_DELIVERY_SEND_TOMBSTONE);
      fill_tombstone_request (delivery, &action->tombstone_request);
      break;
    }
  action->identity = delivery->target;
}

static void
send_message (bt_context_t *ctx,
              bt_delivery_t *delivery,
              bt_delivery_message_t message,
              const bt_identity_t *target,
              int64_t now_ms,
              bt_delivery_actions_t *actions)
{
  delivery->message = message;
  delivery->target = *target;
  delivery->resends = 0;
  bt_send_delivery_message (ctx, delivery, now_ms, actions);
}

void
bt_dispatch_delivery (bt_context_t *ctx,
                      bt_delivery_t *delivery,
                      const bt_identity_t *target,
                      int64_t now_ms,
                      bt_delivery_actions_t *actions)
{
  bt_identity_t copy = *target;

  delivery->attach_only = delivery->giving_up || delivery->head_forwarded;
  send_message (ctx, delivery, BT_MESSAGE_DISPATCH, &copy, now_ms, actions);
}

/* "Not run" is true only when no agent can run the key any more: first the granted agent tombstones
 * it, then the home. Otherwise an earlier copy, or one sent through another entry instance, might
 * still run. */
static void
tombstone_key (bt_context_t *ctx,
               bt_delivery_t *delivery,
               int64_t now_ms,
               bt_delivery_actions_t *actions)
{
  bool ask_grantee_first =
      delivery->has_grant && !delivery->grant_tombstoned
      && !bt_same_identity (&delivery->grant.agent, &delivery->options.ticket.home);

  if (ask_grantee_first)
    send_message (ctx, delivery, BT_MESSAGE_TOMBSTONE_GRANTEE, &delivery->grant.agent, now_ms,
                  actions);
  else
    send_message (ctx, delivery, BT_MESSAGE_TOMBSTONE_HOME, &delivery->options.ticket.home, now_ms,
                  actions);
}

void
bt_give_up_delivery (bt_context_t *ctx,
                     bt_delivery_t *delivery,
                     bt_reason_t reason,
                     int64_t retry_after_ms,
                     int64_t now_ms,
                     bt_delivery_actions_t *actions)
{
  bool proved = delivery->unconfirmed_dispatches == 0;

  if (!delivery->giving_up)
    {
      delivery->giving_up = true;
      delivery->reason = reason;
      delivery->retry_after_ms = retry_after_ms;
    }
  if (delivery->options.has_ticket && !delivery->head_forwarded
      && (delivery->options.faults & BT_FAULT_NOT_RUN_EARLY) == 0)
    tombstone_key (ctx, delivery, now_ms, actions);
  else
    bt_end_delivery (ctx, delivery, delivery->reason,
                     proved ? BT_OUTCOME_NOT_RUN : BT_OUTCOME_UNKNOWN, delivery->retry_after_ms,
                     actions);
}

void
bt_ask_candidate (bt_context_t *ctx,
                  bt_delivery_t *delivery,
                  int64_t now_ms,
                  bt_delivery_actions_t *actions)
{
  bt_delivery_action_t *action = bt_add_delivery_action (ctx, actions, BT_DELIVERY_ASK_CANDIDATE);

  action->excluded = delivery->excluded;
  action->excluded_count = delivery->excluded_count;
  enter_phase (delivery, BT_PHASE_AWAITING_CANDIDATE, now_ms);
}

static void
exclude (bt_context_t *ctx, bt_delivery_t *delivery, const bt_identity_t *identity)
{
  if (delivery->excluded_count == delivery->excluded_capacity)
    {
      delivery->excluded_capacity =
          delivery->excluded_capacity == 0 ? INITIAL_CAPACITY : delivery->excluded_capacity * 2;
      delivery->excluded = bt_realloc (ctx, delivery->excluded, (size_t)delivery->excluded_capacity,
                                       sizeof *delivery->excluded);
    }
  delivery->excluded[delivery->excluded_count++] = *identity;
}

void
bt_ask_budget (bt_context_t *ctx,
               bt_delivery_t *delivery,
               bt_retry_t retry,
               bt_delivery_actions_t *actions)
{
  exclude (ctx, delivery, &delivery->target);
  cancel_dispatch (ctx, delivery, actions);
  bt_add_delivery_action (ctx, actions, BT_DELIVERY_ASK_BUDGET)->retry = retry;
  delivery->phase = BT_PHASE_AWAITING_BUDGET;
}

static void
handle_candidate (bt_context_t *ctx,
                  bt_delivery_t *delivery,
                  const bt_delivery_event_t *event,
                  int64_t now_ms,
                  bt_delivery_actions_t *actions)
{
  const bt_identity_t *home = &delivery->options.ticket.home;

  delivery->candidate = event->identity;
  delivery->candidate_expires_ms = event->grant_expires_ms;
  if (!delivery->options.has_ticket)
    bt_dispatch_delivery (ctx, delivery, &delivery->candidate, now_ms, actions);
  else if (!delivery->has_grant && bt_same_identity (&delivery->candidate, home))
    bt_dispatch_delivery (ctx, delivery, home, now_ms, actions);
  else
    send_message (ctx, delivery, BT_MESSAGE_GRANT, home, now_ms, actions);
}

/* Continues when the policy has decided on a retry. If it is allowed, the agent of the current
 * grant, if there is one, first tombstones the key, then another agent is chosen; otherwise the
 * delivery gives up. */
static void
handle_budget (bt_context_t *ctx,
               bt_delivery_t *delivery,
               const bt_delivery_event_t *event,
               int64_t now_ms,
               bt_delivery_actions_t *actions)
{
  /* The home knows whether its grant to itself was used, so it needs no tombstone. */
  if (delivery->has_grant
      && bt_same_identity (&delivery->grant.agent, &delivery->options.ticket.home))
    delivery->grant_tombstoned = true;
  if (!event->allowed)
    bt_give_up_delivery (ctx, delivery, BT_REASON_RETRY_BUDGET, event->retry_after_ms, now_ms,
                         actions);
  else if (delivery->options.has_ticket && delivery->has_grant && !delivery->grant_tombstoned)
    tombstone_key (ctx, delivery, now_ms, actions);
  else
    bt_ask_candidate (ctx, delivery, now_ms, actions);
}

void
bt_reset_answer (bt_context_t *ctx, bt_delivery_t *delivery)
{
  bt_free (ctx, delivery->head);
  delivery->head = NULL;
  delivery->has_head = false;
  delivery->next_sequence = 0;
  delivery->bytes = 0;
}

static void
handle_lost_unkeyed (bt_context_t *ctx, bt_delivery_t *delivery, bt_delivery_actions_t *actions)
{
  bool was_sent = delivery->path.link != 0;

  if (delivery->head_forwarded || (was_sent && !delivery->options.idempotent))
    {
      bt_end_delivery_unknown (ctx, delivery, BT_REASON_LINK_LOST, actions);
      return;
    }
  bt_reset_answer (ctx, delivery);
  bt_ask_budget (ctx, delivery, BT_RETRY_LINK_LOST, actions);
}

void
bt_handle_lost_message (bt_context_t *ctx,
                        bt_delivery_t *delivery,
                        bool link_is_up,
                        int64_t now_ms,
                        bt_delivery_actions_t *actions)
{
  if (!delivery->options.has_ticket)
    {
      handle_lost_unkeyed (ctx, delivery, actions);
      return;
    }
  if (delivery->phase == BT_PHASE_RUNNING)
    delivery->attach_only = true;
  if (link_is_up && delivery->resends < delivery->options.max_resends)
    {
      delivery->resends++;
      bt_send_delivery_message (ctx, delivery, now_ms, actions);
      return;
    }
  enter_phase (delivery, BT_PHASE_AWAITING_LINK, now_ms);
}

static void
handle_sent (bt_context_t *ctx,
             bt_delivery_t *delivery,
             const bt_delivery_event_t *event,
             int64_t now_ms,
             bt_delivery_actions_t *actions)
{
  delivery->path.link = event->link;
  if (event->link == 0)
    bt_handle_lost_message (ctx, delivery, false, now_ms, actions);
  else if (!delivery->options.has_ticket)
    delivery->unconfirmed_dispatches++;
}

/* An agent that reconnects with another incarnation has lost its records, so it is unknown whether
 * the request ran. */
static void
handle_link_up (bt_context_t *ctx,
                bt_delivery_t *delivery,
                const bt_delivery_event_t *event,
                int64_t now_ms,
                bt_delivery_actions_t *actions)
{
  bool is_home = strcmp (delivery->target.instance, delivery->options.ticket.home.instance) == 0;

  if (!bt_is_delivery_waiting_for (delivery, &event->identity))
    return;
  if (bt_same_identity (&delivery->target, &event->identity)
      || (delivery->options.faults & BT_FAULT_NO_INCARNATION) != 0)
    bt_send_delivery_message (ctx, delivery, now_ms, actions);
  else
    bt_end_delivery_unknown (
        ctx, delivery, is_home ? BT_REASON_HOME_RESTARTED : BT_REASON_AGENT_RESTARTED, actions);
}

static void
handle_tick (bt_context_t *ctx,
             bt_delivery_t *delivery,
             int64_t now_ms,
             bt_delivery_actions_t *actions)
{
  int64_t left_ms = delivery->options.deadline_ms - now_ms;
  int64_t phase_ms = now_ms - delivery->phase_start_ms;
  bool unanswered =
      delivery->phase == BT_PHASE_AWAITING_REPLY || delivery->phase == BT_PHASE_AWAITING_CANDIDATE
      || delivery->phase == BT_PHASE_AWAITING_BUDGET || delivery->phase == BT_PHASE_NEW;

  if (left_ms <= 0 && !delivery->options.has_ticket && delivery->unconfirmed_dispatches == 0)
    bt_end_delivery (ctx, delivery, BT_REASON_DEADLINE_UNREACHABLE, BT_OUTCOME_NOT_RUN, 0, actions);
  else if (left_ms <= 0)
    bt_end_delivery_unknown (ctx, delivery, BT_REASON_DEADLINE_PASSED, actions);
  else if (delivery->options.has_ticket && left_ms <= delivery->options.give_up_margin_ms
           && unanswered && !delivery->giving_up)
    bt_give_up_delivery (ctx, delivery, BT_REASON_DEADLINE_UNREACHABLE, 0, now_ms, actions);
  else if (delivery->phase == BT_PHASE_AWAITING_REPLY
           && phase_ms >= delivery->options.reply_limit_ms)
    bt_handle_lost_message (ctx, delivery, true, now_ms, actions);
  else if (delivery->phase == BT_PHASE_AWAITING_LINK
           && phase_ms >= delivery->options.reconnect_limit_ms)
    bt_end_delivery_unknown (ctx, delivery,
                             bt_same_identity (&delivery->target, &delivery->options.ticket.home)
                                 ? BT_REASON_HOME_UNREACHABLE
                                 : BT_REASON_LINK_LOST,
                             actions);
}

static bool
is_reply_to_last_message (const bt_delivery_t *delivery, const bt_reply_path_t *path)
{
  if ((delivery->options.faults & BT_FAULT_NO_MATCH) != 0)
    return true;
  return path->call == delivery->path.call && path->attempt == delivery->path.attempt
         && path->link == delivery->path.link;
}

/* Handles a reply only when it belongs to the last message sent. A late reply, or one from a lost
 * link, would mix parts of another answer into the caller's. */
static void
handle_matched_reply (bt_context_t *ctx,
                      bt_delivery_t *delivery,
                      const bt_reply_t *reply,
                      int64_t now_ms,
                      bt_delivery_actions_t *actions)
{
  if (!is_reply_to_last_message (delivery, &reply->path))
    return;
  if (delivery->phase != BT_PHASE_AWAITING_REPLY && delivery->phase != BT_PHASE_RUNNING)
    return;
  if (reply->kind >= BT_REPLY_HEAD)
    bt_handle_answer (ctx, delivery, reply, now_ms, actions);
  else
    bt_handle_reply (ctx, delivery, reply, now_ms, actions);
}

static void
handle_link_down (bt_context_t *ctx,
                  bt_delivery_t *delivery,
                  const bt_delivery_event_t *event,
                  int64_t now_ms,
                  bt_delivery_actions_t *actions)
{
  bool awaits_reply =
      delivery->phase == BT_PHASE_AWAITING_REPLY || delivery->phase == BT_PHASE_RUNNING;

  if (awaits_reply && delivery->path.link != 0 && delivery->path.link == event->link)
    bt_handle_lost_message (ctx, delivery, false, now_ms, actions);
}

void
bt_handle_delivery_event (bt_context_t *ctx,
                          bt_delivery_t *delivery,
                          const bt_delivery_event_t *event,
                          int64_t now_ms,
                          bt_delivery_actions_t *actions)
{
  if (delivery->phase == BT_PHASE_FINISHED)
    return;
  switch (event->kind)
    {
    case BT_DELIVERY_SUBMIT:
      bt_ask_candidate (ctx, delivery, now_ms, actions);
      break;
    case BT_DELIVERY_CANDIDATE:
      if (delivery->phase == BT_PHASE_AWAITING_CANDIDATE)
        handle_candidate (ctx, delivery, event, now_ms, actions);
      break;
    case BT_DELIVERY_NO_CANDIDATE:
      if (delivery->phase == BT_PHASE_AWAITING_CANDIDATE)
        bt_give_up_delivery (ctx, delivery, event->reason, event->retry_after_ms, now_ms, actions);
      break;
    case BT_DELIVERY_BUDGET:
      if (delivery->phase == BT_PHASE_AWAITING_BUDGET)
        handle_budget (ctx, delivery, event, now_ms, actions);
      break;
    case BT_DELIVERY_SENT:
      handle_sent (ctx, delivery, event, now_ms, actions);
      break;
    case BT_DELIVERY_LINK_UP:
      handle_link_up (ctx, delivery, event, now_ms, actions);
      break;
    case BT_DELIVERY_LINK_DOWN:
      handle_link_down (ctx, delivery, event, now_ms, actions);
      break;
    case BT_DELIVERY_CALLER_GONE:
      bt_end_delivery_unknown (ctx, delivery, BT_REASON_CANCELLED, actions);
      break;
    case BT_DELIVERY_REFUSE:
      bt_give_up_delivery (ctx, delivery, event->reason, event->retry_after_ms, now_ms, actions);
      break;
    case BT_DELIVERY_TICK:
      handle_tick (ctx, delivery, now_ms, actions);
      break;
    case BT_DELIVERY_REPLY:
      handle_matched_reply (ctx, delivery, event->reply, now_ms, actions);
      break;
    }
}
