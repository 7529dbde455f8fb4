/* How a call takes the replies and the answers of agents. */

#include "call_private.h"

static bool
is_at_home (const bt_call_t *call)
{
  return bt_same_identity (&call->target, &call->options.ticket.home);
}

/* Someone else's grant is the live one: whoever it names is the only one that may run the key. */
static void
follow_grant (bt_context_t *ctx,
              bt_call_t *call,
              const bt_grant_t *grant,
              int64_t now_ms,
              bt_call_actions_t *actions)
{
  if (++call->hops > call->options.max_hops)
    {
      bt_end_call_unknown (ctx, call, BT_REASON_RETRY_BUDGET, actions);
      return;
    }
  call->has_grant = true;
  call->grant_buried = false;
  call->grant = *grant;
  if (call->giving_up)
    bt_give_up_call (ctx, call, call->reason, call->retry_after_ms, now_ms, actions);
  else
    bt_dispatch_call (ctx, call, &grant->agent, now_ms, actions);
}

static bt_retry_t
to_retry (bt_reason_t reason)
{
  switch (reason)
    {
    case BT_REASON_ENDPOINT_FULL:
    case BT_REASON_QUEUE_FULL:
    case BT_REASON_RECORDS_FULL:
      return BT_RETRY_ENDPOINT_FULL;
    case BT_REASON_ENDPOINT_LEAVING:
      return BT_RETRY_ENDPOINT_LEAVING;
    case BT_REASON_WRONG_INSTANCE:
      return BT_RETRY_WRONG_INSTANCE;
    case BT_REASON_KEY_TOMBSTONED:
      return BT_RETRY_REGRANT;
    case BT_REASON_ENGINE_SILENT:
      return BT_RETRY_ENGINE_SILENT;
    default:
      return BT_RETRY_ENGINE_FAILED;
    }
}

static void
take_keyed_refusal (bt_context_t *ctx,
                    bt_call_t *call,
                    const bt_reply_t *reply,
                    int64_t now_ms,
                    bt_call_actions_t *actions)
{
  if (reply->has_grant)
    {
      follow_grant (ctx, call, &reply->grant, now_ms, actions);
      return;
    }
  if (reply->outcome == BT_OUTCOME_UNKNOWN || call->begun)
    {
      bt_end_call_unknown (ctx, call, reply->reason, actions);
      return;
    }
  if (reply->reason == BT_REASON_KEY_REUSED
      || (reply->reason == BT_REASON_KEY_TOMBSTONED && is_at_home (call)))
    {
      bt_end_call (ctx, call, reply->reason, BT_OUTCOME_NOT_RUN, 0, actions);
      return;
    }
  if (reply->reason == BT_REASON_KEY_TOMBSTONED)
    call->grant_buried = true;
  if (call->giving_up || reply->reason == BT_REASON_NO_RUN)
    bt_give_up_call (ctx, call, reply->reason, reply->retry_after_ms, now_ms, actions);
  else
    bt_ask_budget (ctx, call, to_retry (reply->reason), actions);
}

static void
take_unkeyed_refusal (bt_context_t *ctx,
                      bt_call_t *call,
                      const bt_reply_t *reply,
                      bt_call_actions_t *actions)
{
  bool may_rerun = reply->outcome == BT_OUTCOME_NOT_RUN || call->options.idempotent;

  if (reply->outcome == BT_OUTCOME_NOT_RUN && call->unsettled > 0)
    call->unsettled--;
  call->path.link = 0;
  if (call->begun || !may_rerun)
    {
      bt_end_call_unknown (ctx, call, reply->reason, actions);
      return;
    }
  bt_reset_answer (ctx, call);
  bt_ask_budget (ctx, call, to_retry (reply->reason), actions);
}

static void
take_refusal (bt_context_t *ctx,
              bt_call_t *call,
              const bt_reply_t *reply,
              int64_t now_ms,
              bt_call_actions_t *actions)
{
  if (call->options.has_ticket)
    take_keyed_refusal (ctx, call, reply, now_ms, actions);
  else
    take_unkeyed_refusal (ctx, call, reply, actions);
}

static void
take_grant_reply (bt_context_t *ctx,
                  bt_call_t *call,
                  const bt_reply_t *reply,
                  int64_t now_ms,
                  bt_call_actions_t *actions)
{
  if (reply->granted)
    follow_grant (ctx, call, &reply->grant, now_ms, actions);
  else if (reply->home_runs)
    {
      call->has_grant = false;
      bt_dispatch_call (ctx, call, &call->options.ticket.home, now_ms, actions);
    }
  else if (reply->outcome == BT_OUTCOME_UNKNOWN)
    bt_end_call_unknown (ctx, call, reply->reason, actions);
  else if (reply->reason == BT_REASON_KEY_TOMBSTONED)
    bt_end_call (ctx, call, reply->reason, BT_OUTCOME_NOT_RUN, 0, actions);
  else
    bt_give_up_call (ctx, call, reply->reason, reply->retry_after_ms, now_ms, actions);
}

/* A tombstone that can't be set, by what stands in its way. */
static void
take_tombstone_denial (bt_context_t *ctx,
                       bt_call_t *call,
                       const bt_reply_t *reply,
                       int64_t now_ms,
                       bt_call_actions_t *actions)
{
  bool at_home = call->message == BT_MESSAGE_TOMBSTONE_HOME;

  switch (reply->state)
    {
    case BT_RECORD_RUNNING:
    case BT_RECORD_DONE:
    case BT_RECORD_FAILED:
      if (at_home)
        call->has_grant = false;
      bt_dispatch_call (ctx, call, &call->target, now_ms, actions);
      break;
    case BT_RECORD_GRANTED:
      follow_grant (ctx, call, &reply->grant, now_ms, actions);
      break;
    case BT_RECORD_FOREIGN:
      bt_end_call_unknown (ctx, call,
                           at_home ? BT_REASON_HOME_RESTARTED : BT_REASON_AGENT_RESTARTED, actions);
      break;
    case BT_RECORD_EXPIRED:
      bt_end_call_unknown (ctx, call, BT_REASON_KEY_EXPIRED, actions);
      break;
    default:
      bt_end_call_unknown (ctx, call, BT_REASON_RECORDS_FULL, actions);
      break;
    }
}

static void
take_tombstone_reply (bt_context_t *ctx,
                      bt_call_t *call,
                      const bt_reply_t *reply,
                      int64_t now_ms,
                      bt_call_actions_t *actions)
{
  if (!reply->tombstoned)
    take_tombstone_denial (ctx, call, reply, now_ms, actions);
  else if (call->message == BT_MESSAGE_TOMBSTONE_HOME)
    bt_end_call (ctx, call, call->reason, BT_OUTCOME_NOT_RUN, call->retry_after_ms, actions);
  else
    {
      call->grant_buried = true;
      if (call->giving_up)
        bt_give_up_call (ctx, call, call->reason, call->retry_after_ms, now_ms, actions);
      else
        bt_ask_candidate (ctx, call, now_ms, actions);
    }
}

void
bt_take_reply (bt_context_t *ctx,
               bt_call_t *call,
               const bt_reply_t *reply,
               int64_t now_ms,
               bt_call_actions_t *actions)
{
  bool dispatched = call->message == BT_MESSAGE_DISPATCH;
  bool asking = call->phase == BT_PHASE_ASKING;

  if (reply->kind == BT_REPLY_ACCEPTED && dispatched)
    call->phase = BT_PHASE_RUNNING;
  else if (reply->kind == BT_REPLY_REFUSED && dispatched)
    take_refusal (ctx, call, reply, now_ms, actions);
  else if (reply->kind == BT_REPLY_GRANT && asking && call->message == BT_MESSAGE_GRANT)
    take_grant_reply (ctx, call, reply, now_ms, actions);
  else if (reply->kind == BT_REPLY_TOMBSTONE && asking
           && call->message >= BT_MESSAGE_TOMBSTONE_GRANTEE)
    take_tombstone_reply (ctx, call, reply, now_ms, actions);
}

static void
hold_head (bt_context_t *ctx, bt_call_t *call, const bt_reply_t *reply)
{
  if (call->has_head)
    return;
  call->has_head = true;
  call->status = reply->status;
  call->head = bt_memdup (ctx, reply->data, reply->data_bytes);
  call->head_bytes = reply->data_bytes;
}

static void
give_head (bt_context_t *ctx, bt_call_t *call, bt_call_actions_t *actions)
{
  bt_call_action_t *action;

  if (call->begun)
    return;
  call->begun = true;
  action = bt_add_call_action (ctx, actions, BT_CALL_GIVE_HEAD);
  action->status = call->status;
  action->data = call->head;
  action->data_bytes = call->head_bytes;
}

/* Something of the stream is missing. Only the same run may fill the gap, so what was given and
 * what comes are parts of one answer; where that can't be had the answer is cut. */
static void
mend_gap (bt_context_t *ctx, bt_call_t *call, int64_t now_ms, bt_call_actions_t *actions)
{
  if (call->options.has_ticket && call->resends >= call->options.max_resends)
    bt_end_call_unknown (ctx, call, BT_REASON_ANSWER_DROPPED, actions);
  else
    bt_lose_message (ctx, call, true, now_ms, actions);
}

static void
take_piece (bt_context_t *ctx,
            bt_call_t *call,
            const bt_reply_t *reply,
            int64_t now_ms,
            bt_call_actions_t *actions)
{
  bt_call_action_t *action;

  if (reply->sequence < call->next_sequence)
    return;
  if (reply->sequence > call->next_sequence || !call->has_head)
    {
      mend_gap (ctx, call, now_ms, actions);
      return;
    }
  give_head (ctx, call, actions);
  action = bt_add_call_action (ctx, actions, BT_CALL_GIVE_PIECE);
  action->data = reply->data;
  action->data_bytes = reply->data_bytes;
  call->next_sequence++;
  call->bytes += reply->data_bytes;
}

static void
take_end (bt_context_t *ctx,
          bt_call_t *call,
          const bt_reply_t *reply,
          int64_t now_ms,
          bt_call_actions_t *actions)
{
  if (reply->pieces > call->next_sequence || !call->has_head)
    {
      mend_gap (ctx, call, now_ms, actions);
      return;
    }
  if (reply->pieces < call->next_sequence || reply->total_bytes != call->bytes)
    {
      bt_end_call_unknown (ctx, call, BT_REASON_ANSWER_DROPPED, actions);
      return;
    }
  give_head (ctx, call, actions);
  bt_add_call_action (ctx, actions, BT_CALL_FINISH_WHOLE);
  call->phase = BT_PHASE_FINISHED;
}

void
bt_take_answer (bt_context_t *ctx,
                bt_call_t *call,
                const bt_reply_t *reply,
                int64_t now_ms,
                bt_call_actions_t *actions)
{
  if (call->message != BT_MESSAGE_DISPATCH)
    return;
  call->phase = BT_PHASE_RUNNING;
  if (reply->kind == BT_REPLY_HEAD)
    hold_head (ctx, call, reply);
  else if (reply->kind == BT_REPLY_PIECE)
    take_piece (ctx, call, reply, now_ms, actions);
  else
    take_end (ctx, call, reply, now_ms, actions);
}
