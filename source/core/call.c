#include "call_private.h"

#include <string.h>

enum
{
  FIRST_ROOM = 4,
};

bt_call_t *
bt_new_call (bt_context_t *ctx, const bt_call_options_t *options)
{
  bt_call_t *call = bt_calloc (ctx, 1, sizeof *call);

  call->options = *options;
  call->path.call = options->call;
  return call;
}

void
bt_drop_call (bt_context_t *ctx, bt_call_t *call)
{
  if (call == NULL)
    return;
  bt_free (ctx, call->excluded);
  bt_free (ctx, call->head);
  bt_free (ctx, call);
}

bt_call_action_t *
bt_add_call_action (bt_context_t *ctx, bt_call_actions_t *actions, bt_call_action_kind_t kind)
{
  bt_call_action_t *action;

  if (actions->count == actions->room)
    {
      actions->room = actions->room == 0 ? FIRST_ROOM : actions->room * 2;
      actions->items =
          bt_realloc (ctx, actions->items, (size_t)actions->room, sizeof *actions->items);
    }
  action = &actions->items[actions->count++];
  memset (action, 0, sizeof *action);
  action->kind = kind;
  return action;
}

void
bt_free_call_actions (bt_context_t *ctx, bt_call_actions_t *actions)
{
  bt_free (ctx, actions->items);
  memset (actions, 0, sizeof *actions);
}

bool
bt_is_call_finished (const bt_call_t *call)
{
  return call->phase == BT_PHASE_FINISHED;
}

bool
bt_is_call_waiting_for (const bt_call_t *call, const bt_identity_t *identity)
{
  return call->phase == BT_PHASE_WAITING && strcmp (call->target.instance, identity->instance) == 0;
}

static void
enter_phase (bt_call_t *call, bt_call_phase_t phase, int64_t now_ms)
{
  call->phase = phase;
  call->since_ms = now_ms;
}

/* A run without a key is stopped when nobody waits for it; one with a key is only detached from. */
static void
cancel_dispatch (bt_context_t *ctx, bt_call_t *call, bt_call_actions_t *actions)
{
  if (call->message != BT_MESSAGE_DISPATCH || call->path.link == 0)
    return;
  if (call->phase == BT_PHASE_ASKING || call->phase == BT_PHASE_RUNNING)
    bt_add_call_action (ctx, actions, BT_CALL_SEND_CANCEL)->path = call->path;
}

void
bt_end_call (bt_context_t *ctx,
             bt_call_t *call,
             bt_reason_t reason,
             bt_outcome_t outcome,
             int64_t retry_after_ms,
             bt_call_actions_t *actions)
{
  bt_call_action_t *action;

  cancel_dispatch (ctx, call, actions);
  call->phase = BT_PHASE_FINISHED;
  action = bt_add_call_action (ctx, actions, call->begun ? BT_CALL_CUT : BT_CALL_FINISH_REFUSED);
  action->reason = reason;
  action->outcome = call->begun ? BT_OUTCOME_UNKNOWN : outcome;
  action->retry_after_ms = retry_after_ms > 0 ? retry_after_ms : call->options.retry_after_ms;
}

void
bt_end_call_unknown (bt_context_t *ctx,
                     bt_call_t *call,
                     bt_reason_t reason,
                     bt_call_actions_t *actions)
{
  bt_end_call (ctx, call, reason, BT_OUTCOME_UNKNOWN, 0, actions);
}

static void
fill_dispatch (const bt_call_t *call, bt_dispatch_t *dispatch)
{
  dispatch->path = call->path;
  dispatch->target = call->target;
  dispatch->has_ticket = call->options.has_ticket;
  dispatch->ticket = call->options.ticket;
  dispatch->has_grant = call->has_grant && !call->grant_buried;
  dispatch->grant = call->grant;
  dispatch->idempotent = call->options.idempotent;
  dispatch->attach_only = call->attach_only;
  dispatch->from_sequence = call->next_sequence;
  dispatch->body_digest = call->options.body_digest;
  dispatch->deadline_ms = call->options.deadline_ms;
}

static void
fill_grant_request (const bt_call_t *call, bt_grant_request_t *request)
{
  request->path = call->path;
  request->ticket = call->options.ticket;
  request->proposal.agent = call->candidate;
  request->proposal.expires_ms = call->candidate_expires_ms;
  request->after_number = call->grant_buried ? call->grant.number : 0;
}

static void
fill_tombstone_request (const bt_call_t *call, bt_tombstone_request_t *request)
{
  request->path = call->path;
  request->target = call->target;
  request->ticket = call->options.ticket;
  request->has_grant =
      call->has_grant && (call->message == BT_MESSAGE_TOMBSTONE_GRANTEE || call->grant_buried);
  request->grant = call->grant;
}

void
bt_send_call_message (bt_context_t *ctx,
                      bt_call_t *call,
                      int64_t now_ms,
                      bt_call_actions_t *actions)
{
  bt_call_action_t *action;

  call->path.attempt++;
  call->path.link = 0;
  enter_phase (call, BT_PHASE_ASKING, now_ms);
  switch (call->message)
    {
    case BT_MESSAGE_DISPATCH:
      action = bt_add_call_action (ctx, actions, BT_CALL_SEND_DISPATCH);
      fill_dispatch (call, &action->dispatch);
      break;
    case BT_MESSAGE_GRANT:
      action = bt_add_call_action (ctx, actions, BT_CALL_SEND_GRANT);
      fill_grant_request (call, &action->grant_request);
      break;
    default:
      action = bt_add_call_action (ctx, actions, BT_CALL_SEND_TOMBSTONE);
      fill_tombstone_request (call, &action->tombstone_request);
      break;
    }
  action->identity = call->target;
}

static void
send_message (bt_context_t *ctx,
              bt_call_t *call,
              bt_call_message_t message,
              const bt_identity_t *target,
              int64_t now_ms,
              bt_call_actions_t *actions)
{
  call->message = message;
  call->target = *target;
  call->resends = 0;
  bt_send_call_message (ctx, call, now_ms, actions);
}

void
bt_dispatch_call (bt_context_t *ctx,
                  bt_call_t *call,
                  const bt_identity_t *target,
                  int64_t now_ms,
                  bt_call_actions_t *actions)
{
  bt_identity_t copy = *target;

  call->attach_only = call->giving_up || call->begun;
  send_message (ctx, call, BT_MESSAGE_DISPATCH, &copy, now_ms, actions);
}

/* "Not run" is true only when nothing can run the key any more: first the granted agent promises,
 * then home. Without that an earlier copy, or one sent through another entry, might still run. */
static void
bury_key (bt_context_t *ctx, bt_call_t *call, int64_t now_ms, bt_call_actions_t *actions)
{
  bool at_grantee = call->has_grant && !call->grant_buried
                    && !bt_same_identity (&call->grant.agent, &call->options.ticket.home);

  if (at_grantee)
    send_message (ctx, call, BT_MESSAGE_TOMBSTONE_GRANTEE, &call->grant.agent, now_ms, actions);
  else
    send_message (ctx, call, BT_MESSAGE_TOMBSTONE_HOME, &call->options.ticket.home, now_ms,
                  actions);
}

void
bt_give_up_call (bt_context_t *ctx,
                 bt_call_t *call,
                 bt_reason_t reason,
                 int64_t retry_after_ms,
                 int64_t now_ms,
                 bt_call_actions_t *actions)
{
  bool proved = call->unsettled == 0;

  if (!call->giving_up)
    {
      call->giving_up = true;
      call->reason = reason;
      call->retry_after_ms = retry_after_ms;
    }
  if (call->options.has_ticket && !call->begun
      && (call->options.faults & BT_FAULT_NOT_RUN_EARLY) == 0)
    bury_key (ctx, call, now_ms, actions);
  else
    bt_end_call (ctx, call, call->reason, proved ? BT_OUTCOME_NOT_RUN : BT_OUTCOME_UNKNOWN,
                 call->retry_after_ms, actions);
}

void
bt_ask_candidate (bt_context_t *ctx, bt_call_t *call, int64_t now_ms, bt_call_actions_t *actions)
{
  bt_call_action_t *action = bt_add_call_action (ctx, actions, BT_CALL_ASK_CANDIDATE);

  action->excluded = call->excluded;
  action->excluded_count = call->excluded_count;
  enter_phase (call, BT_PHASE_CHOOSING, now_ms);
}

static void
exclude (bt_context_t *ctx, bt_call_t *call, const bt_identity_t *identity)
{
  if (call->excluded_count == call->excluded_room)
    {
      call->excluded_room = call->excluded_room == 0 ? FIRST_ROOM : call->excluded_room * 2;
      call->excluded =
          bt_realloc (ctx, call->excluded, (size_t)call->excluded_room, sizeof *call->excluded);
    }
  call->excluded[call->excluded_count++] = *identity;
}

void
bt_ask_budget (bt_context_t *ctx, bt_call_t *call, bt_retry_t retry, bt_call_actions_t *actions)
{
  exclude (ctx, call, &call->target);
  cancel_dispatch (ctx, call, actions);
  bt_add_call_action (ctx, actions, BT_CALL_ASK_BUDGET)->retry = retry;
  call->phase = BT_PHASE_BUDGETING;
}

static void
take_candidate (bt_context_t *ctx,
                bt_call_t *call,
                const bt_call_event_t *event,
                int64_t now_ms,
                bt_call_actions_t *actions)
{
  const bt_identity_t *home = &call->options.ticket.home;

  call->candidate = event->identity;
  call->candidate_expires_ms = event->grant_expires_ms;
  if (!call->options.has_ticket)
    bt_dispatch_call (ctx, call, &call->candidate, now_ms, actions);
  else if (!call->has_grant && bt_same_identity (&call->candidate, home))
    bt_dispatch_call (ctx, call, home, now_ms, actions);
  else
    send_message (ctx, call, BT_MESSAGE_GRANT, home, now_ms, actions);
}

/* After a refusal: the refusing agent first promises not to run the key, then another is chosen. */
static void
take_budget (bt_context_t *ctx,
             bt_call_t *call,
             const bt_call_event_t *event,
             int64_t now_ms,
             bt_call_actions_t *actions)
{
  /* Home knows whether its own grant was used, so it needs no promise to itself. */
  if (call->has_grant && bt_same_identity (&call->grant.agent, &call->options.ticket.home))
    call->grant_buried = true;
  if (!event->allowed)
    bt_give_up_call (ctx, call, BT_REASON_RETRY_BUDGET, event->retry_after_ms, now_ms, actions);
  else if (call->options.has_ticket && call->has_grant && !call->grant_buried)
    bury_key (ctx, call, now_ms, actions);
  else
    bt_ask_candidate (ctx, call, now_ms, actions);
}

void
bt_reset_answer (bt_context_t *ctx, bt_call_t *call)
{
  bt_free (ctx, call->head);
  call->head = NULL;
  call->has_head = false;
  call->next_sequence = 0;
  call->bytes = 0;
}

static void
lose_unkeyed (bt_context_t *ctx, bt_call_t *call, bt_call_actions_t *actions)
{
  bool left = call->path.link != 0;

  if (call->begun || (left && !call->options.idempotent))
    {
      bt_end_call_unknown (ctx, call, BT_REASON_LINK_LOST, actions);
      return;
    }
  bt_reset_answer (ctx, call);
  bt_ask_budget (ctx, call, BT_RETRY_LINK_LOST, actions);
}

void
bt_lose_message (
    bt_context_t *ctx, bt_call_t *call, bool link_is_up, int64_t now_ms, bt_call_actions_t *actions)
{
  if (!call->options.has_ticket)
    {
      lose_unkeyed (ctx, call, actions);
      return;
    }
  if (call->phase == BT_PHASE_RUNNING)
    call->attach_only = true;
  if (link_is_up && call->resends < call->options.max_resends)
    {
      call->resends++;
      bt_send_call_message (ctx, call, now_ms, actions);
      return;
    }
  enter_phase (call, BT_PHASE_WAITING, now_ms);
}

static void
take_sent (bt_context_t *ctx,
           bt_call_t *call,
           const bt_call_event_t *event,
           int64_t now_ms,
           bt_call_actions_t *actions)
{
  call->path.link = event->link;
  if (event->link == 0)
    bt_lose_message (ctx, call, false, now_ms, actions);
  else if (!call->options.has_ticket)
    call->unsettled++;
}

/* An agent that comes back under another incarnation has forgotten what it ran: nobody can tell. */
static void
take_link_up (bt_context_t *ctx,
              bt_call_t *call,
              const bt_call_event_t *event,
              int64_t now_ms,
              bt_call_actions_t *actions)
{
  bool is_home = strcmp (call->target.instance, call->options.ticket.home.instance) == 0;

  if (!bt_is_call_waiting_for (call, &event->identity))
    return;
  if (bt_same_identity (&call->target, &event->identity)
      || (call->options.faults & BT_FAULT_NO_INCARNATION) != 0)
    bt_send_call_message (ctx, call, now_ms, actions);
  else
    bt_end_call_unknown (ctx, call, is_home ? BT_REASON_HOME_RESTARTED : BT_REASON_AGENT_RESTARTED,
                         actions);
}

static void
take_tick (bt_context_t *ctx, bt_call_t *call, int64_t now_ms, bt_call_actions_t *actions)
{
  int64_t left_ms = call->options.deadline_ms - now_ms;
  int64_t phase_ms = now_ms - call->since_ms;
  bool unanswered = call->phase == BT_PHASE_ASKING || call->phase == BT_PHASE_CHOOSING
                    || call->phase == BT_PHASE_BUDGETING;

  if (left_ms <= 0 && !call->options.has_ticket && call->unsettled == 0)
    bt_end_call (ctx, call, BT_REASON_DEADLINE_UNREACHABLE, BT_OUTCOME_NOT_RUN, 0, actions);
  else if (left_ms <= 0)
    bt_end_call_unknown (ctx, call, BT_REASON_DEADLINE_PASSED, actions);
  else if (call->options.has_ticket && left_ms <= call->options.give_up_margin_ms && unanswered
           && !call->giving_up)
    bt_give_up_call (ctx, call, BT_REASON_DEADLINE_UNREACHABLE, 0, now_ms, actions);
  else if (call->phase == BT_PHASE_ASKING && phase_ms >= call->options.reply_limit_ms)
    bt_lose_message (ctx, call, true, now_ms, actions);
  else if (call->phase == BT_PHASE_WAITING && phase_ms >= call->options.reconnect_limit_ms)
    bt_end_call_unknown (ctx, call,
                         bt_same_identity (&call->target, &call->options.ticket.home)
                             ? BT_REASON_HOME_UNREACHABLE
                             : BT_REASON_LINK_LOST,
                         actions);
}

static bool
is_matched (const bt_call_t *call, const bt_reply_path_t *path)
{
  if ((call->options.faults & BT_FAULT_NO_MATCH) != 0)
    return true;
  return path->call == call->path.call && path->attempt == call->path.attempt
         && path->link == call->path.link;
}

/* Answers reach only the message that asked for them: a late one, or one of a dead link, would give
 * a caller parts of another answer. */
static void
take_matched (bt_context_t *ctx,
              bt_call_t *call,
              const bt_reply_t *reply,
              int64_t now_ms,
              bt_call_actions_t *actions)
{
  if (!is_matched (call, &reply->path))
    return;
  if (call->phase != BT_PHASE_ASKING && call->phase != BT_PHASE_RUNNING)
    return;
  if (reply->kind >= BT_REPLY_HEAD)
    bt_take_answer (ctx, call, reply, now_ms, actions);
  else
    bt_take_reply (ctx, call, reply, now_ms, actions);
}

static void
take_link_down (bt_context_t *ctx,
                bt_call_t *call,
                const bt_call_event_t *event,
                int64_t now_ms,
                bt_call_actions_t *actions)
{
  bool waits_on_it = call->phase == BT_PHASE_ASKING || call->phase == BT_PHASE_RUNNING;

  if (waits_on_it && call->path.link != 0 && call->path.link == event->link)
    bt_lose_message (ctx, call, false, now_ms, actions);
}

void
bt_step_call (bt_context_t *ctx,
              bt_call_t *call,
              const bt_call_event_t *event,
              int64_t now_ms,
              bt_call_actions_t *actions)
{
  if (call->phase == BT_PHASE_FINISHED)
    return;
  switch (event->kind)
    {
    case BT_CALL_SUBMIT:
      bt_ask_candidate (ctx, call, now_ms, actions);
      break;
    case BT_CALL_CANDIDATE:
      if (call->phase == BT_PHASE_CHOOSING)
        take_candidate (ctx, call, event, now_ms, actions);
      break;
    case BT_CALL_NO_CANDIDATE:
      if (call->phase == BT_PHASE_CHOOSING)
        bt_give_up_call (ctx, call, event->reason, event->retry_after_ms, now_ms, actions);
      break;
    case BT_CALL_BUDGET:
      if (call->phase == BT_PHASE_BUDGETING)
        take_budget (ctx, call, event, now_ms, actions);
      break;
    case BT_CALL_SENT:
      take_sent (ctx, call, event, now_ms, actions);
      break;
    case BT_CALL_LINK_UP:
      take_link_up (ctx, call, event, now_ms, actions);
      break;
    case BT_CALL_LINK_DOWN:
      take_link_down (ctx, call, event, now_ms, actions);
      break;
    case BT_CALL_CALLER_GONE:
      bt_end_call_unknown (ctx, call, BT_REASON_CANCELLED, actions);
      break;
    case BT_CALL_REFUSE:
      bt_give_up_call (ctx, call, event->reason, event->retry_after_ms, now_ms, actions);
      break;
    case BT_CALL_TICK:
      take_tick (ctx, call, now_ms, actions);
      break;
    case BT_CALL_REPLY:
      take_matched (ctx, call, event->reply, now_ms, actions);
      break;
    }
}
