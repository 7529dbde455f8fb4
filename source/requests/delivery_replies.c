/* Handling of the replies and answers that agents send to a delivery. */

#include "delivery_private.h"

static bool
is_at_home (const bt_delivery_t *delivery)
{
  return bt_same_identity (&delivery->target, &delivery->options.ticket.home);
}

/* Follows the current grant, which may have been made for another entry instance: only the agent
 * that it names may run the key. */
static void
follow_grant (bt_context_t *ctx,
              bt_delivery_t *delivery,
              const bt_grant_t *grant,
              int64_t now_ms,
              bt_delivery_actions_t *actions)
{
  if (++delivery->followed_grants > delivery->options.max_followed_grants)
    {
      bt_end_delivery_unknown (ctx, delivery, BT_REASON_RETRY_BUDGET, actions);
      return;
    }
  delivery->has_grant = true;
  delivery->grant_tombstoned = false;
  delivery->grant = *grant;
  if (delivery->giving_up)
    bt_give_up_delivery (ctx, delivery, delivery->reason, delivery->retry_after_ms, now_ms,
                         actions);
  else
    bt_dispatch_delivery (ctx, delivery, &grant->agent, now_ms, actions);
}

static bt_retry_t
map_reason_to_retry (bt_reason_t reason)
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
handle_keyed_refusal (bt_context_t *ctx,
                      bt_delivery_t *delivery,
                      const bt_reply_t *reply,
                      int64_t now_ms,
                      bt_delivery_actions_t *actions)
{
  if (reply->has_grant)
    {
      follow_grant (ctx, delivery, &reply->grant, now_ms, actions);
      return;
    }
  if (reply->outcome == BT_OUTCOME_UNKNOWN || delivery->head_forwarded)
    {
      bt_end_delivery_unknown (ctx, delivery, reply->reason, actions);
      return;
    }
  if (reply->reason == BT_REASON_KEY_REUSED
      || (reply->reason == BT_REASON_KEY_TOMBSTONED && is_at_home (delivery)))
    {
      bt_end_delivery (ctx, delivery, reply->reason, BT_OUTCOME_NOT_RUN, 0, actions);
      return;
    }
  if (reply->reason == BT_REASON_KEY_TOMBSTONED)
    delivery->grant_tombstoned = true;
  if (delivery->giving_up || reply->reason == BT_REASON_NO_RUN)
    bt_give_up_delivery (ctx, delivery, reply->reason, reply->retry_after_ms, now_ms, actions);
  else
    bt_ask_budget (ctx, delivery, map_reason_to_retry (reply->reason), actions);
}

static void
handle_unkeyed_refusal (bt_context_t *ctx,
                        bt_delivery_t *delivery,
                        const bt_reply_t *reply,
                        bt_delivery_actions_t *actions)
{
  bool may_rerun = reply->outcome == BT_OUTCOME_NOT_RUN || delivery->options.idempotent;

  if (reply->outcome == BT_OUTCOME_NOT_RUN && delivery->unconfirmed_dispatches > 0)
    delivery->unconfirmed_dispatches--;
  delivery->path.link = 0;
  if (delivery->head_forwarded || !may_rerun)
    {
      bt_end_delivery_unknown (ctx, delivery, reply->reason, actions);
      return;
    }
  bt_reset_answer (ctx, delivery);
  bt_ask_budget (ctx, delivery, map_reason_to_retry (reply->reason), actions);
}

static void
handle_refusal (bt_context_t *ctx,
                bt_delivery_t *delivery,
                const bt_reply_t *reply,
                int64_t now_ms,
                bt_delivery_actions_t *actions)
{
  if (delivery->options.has_ticket)
    handle_keyed_refusal (ctx, delivery, reply, now_ms, actions);
  else
    handle_unkeyed_refusal (ctx, delivery, reply, actions);
}

static void
handle_grant_reply (bt_context_t *ctx,
                    bt_delivery_t *delivery,
                    const bt_reply_t *reply,
                    int64_t now_ms,
                    bt_delivery_actions_t *actions)
{
  if (reply->granted)
    follow_grant (ctx, delivery, &reply->grant, now_ms, actions);
  else if (reply->home_runs)
    {
      delivery->has_grant = false;
      bt_dispatch_delivery (ctx, delivery, &delivery->options.ticket.home, now_ms, actions);
    }
  else if (reply->outcome == BT_OUTCOME_UNKNOWN)
    bt_end_delivery_unknown (ctx, delivery, reply->reason, actions);
  else if (reply->reason == BT_REASON_KEY_TOMBSTONED)
    bt_end_delivery (ctx, delivery, reply->reason, BT_OUTCOME_NOT_RUN, 0, actions);
  else
    bt_give_up_delivery (ctx, delivery, reply->reason, reply->retry_after_ms, now_ms, actions);
}

/* Handles a refused tombstone, by the state of the key that prevents it. */
static void
handle_tombstone_denial (bt_context_t *ctx,
                         bt_delivery_t *delivery,
                         const bt_reply_t *reply,
                         int64_t now_ms,
                         bt_delivery_actions_t *actions)
{
  bool at_home = delivery->message == BT_MESSAGE_TOMBSTONE_HOME;

  switch (reply->state)
    {
    case BT_RECORD_RUNNING:
    case BT_RECORD_DONE:
    case BT_RECORD_FAILED:
      if (at_home)
        delivery->has_grant = false;
      bt_dispatch_delivery (ctx, delivery, &delivery->target, now_ms, actions);
      break;
    case BT_RECORD_GRANTED:
      follow_grant (ctx, delivery, &reply->grant, now_ms, actions);
      break;
    case BT_RECORD_FOREIGN:
      bt_end_delivery_unknown (
          ctx, delivery, at_home ? BT_REASON_HOME_RESTARTED : BT_REASON_AGENT_RESTARTED, actions);
      break;
    case BT_RECORD_EXPIRED:
      bt_end_delivery_unknown (ctx, delivery, BT_REASON_KEY_EXPIRED, actions);
      break;
    default:
      bt_end_delivery_unknown (ctx, delivery, BT_REASON_RECORDS_FULL, actions);
      break;
    }
}

static void
handle_tombstone_reply (bt_context_t *ctx,
                        bt_delivery_t *delivery,
                        const bt_reply_t *reply,
                        int64_t now_ms,
                        bt_delivery_actions_t *actions)
{
  if (!reply->tombstoned)
    handle_tombstone_denial (ctx, delivery, reply, now_ms, actions);
  else if (delivery->message == BT_MESSAGE_TOMBSTONE_HOME)
    bt_end_delivery (ctx, delivery, delivery->reason, BT_OUTCOME_NOT_RUN, delivery->retry_after_ms,
                     actions);
  else
    {
      delivery->grant_tombstoned = true;
      if (delivery->giving_up)
        bt_give_up_delivery (ctx, delivery, delivery->reason, delivery->retry_after_ms, now_ms,
                             actions);
      else
        bt_ask_candidate (ctx, delivery, now_ms, actions);
    }
}

void
bt_handle_reply (bt_context_t *ctx,
                 bt_delivery_t *delivery,
                 const bt_reply_t *reply,
                 int64_t now_ms,
                 bt_delivery_actions_t *actions)
{
  bool dispatched = delivery->message == BT_MESSAGE_DISPATCH;
  bool awaiting_reply = delivery->phase == BT_PHASE_AWAITING_REPLY;

  if (reply->kind == BT_REPLY_ACCEPTED && dispatched)
    delivery->phase = BT_PHASE_RUNNING;
  else if (reply->kind == BT_REPLY_REFUSED && dispatched)
    handle_refusal (ctx, delivery, reply, now_ms, actions);
  else if (reply->kind == BT_REPLY_GRANT && awaiting_reply && delivery->message == BT_MESSAGE_GRANT)
    handle_grant_reply (ctx, delivery, reply, now_ms, actions);
  else if (reply->kind == BT_REPLY_TOMBSTONE && awaiting_reply
           && delivery->message >= BT_MESSAGE_TOMBSTONE_GRANTEE)
    handle_tombstone_reply (ctx, delivery, reply, now_ms, actions);
}

static void
store_head (bt_context_t *ctx, bt_delivery_t *delivery, const bt_reply_t *reply)
{
  if (delivery->has_head)
    return;
  delivery->has_head = true;
  delivery->status = reply->status;
  delivery->head = bt_memdup (ctx, reply->data, reply->data_bytes);
  delivery->head_bytes = reply->data_bytes;
}

static void
forward_head (bt_context_t *ctx, bt_delivery_t *delivery, bt_delivery_actions_t *actions)
{
  bt_delivery_action_t *action;

  if (delivery->head_forwarded)
    return;
  delivery->head_forwarded = true;
  action = bt_add_delivery_action (ctx, actions, BT_DELIVERY_FORWARD_HEAD);
  action->status = delivery->status;
  action->data = delivery->head;
  action->data_bytes = delivery->head_bytes;
}

/* Handles a missing head or piece of the answer. Only the same run may supply it, so that
 * everything forwarded belongs to one answer. When that is not possible, the answer is aborted. */
static void
recover_gap (bt_context_t *ctx,
             bt_delivery_t *delivery,
             int64_t now_ms,
             bt_delivery_actions_t *actions)
{
  if (delivery->options.has_ticket && delivery->resends >= delivery->options.max_resends)
    bt_end_delivery_unknown (ctx, delivery, BT_REASON_ANSWER_DROPPED, actions);
  else
    bt_handle_lost_message (ctx, delivery, true, now_ms, actions);
}

static void
handle_piece (bt_context_t *ctx,
              bt_delivery_t *delivery,
              const bt_reply_t *reply,
              int64_t now_ms,
              bt_delivery_actions_t *actions)
{
  bt_delivery_action_t *action;

  if (reply->sequence < delivery->next_sequence)
    return;
  if (reply->sequence > delivery->next_sequence || !delivery->has_head)
    {
      recover_gap (ctx, delivery, now_ms, actions);
      return;
    }
  forward_head (ctx, delivery, actions);
  action = bt_add_delivery_action (ctx, actions, BT_DELIVERY_FORWARD_PIECE);
  action->data = reply->data;
  action->data_bytes = reply->data_bytes;
  delivery->next_sequence++;
  delivery->bytes += reply->data_bytes;
}

static void
handle_end (bt_context_t *ctx,
            bt_delivery_t *delivery,
            const bt_reply_t *reply,
            int64_t now_ms,
            bt_delivery_actions_t *actions)
{
  if (reply->pieces > delivery->next_sequence || !delivery->has_head)
    {
      recover_gap (ctx, delivery, now_ms, actions);
      return;
    }
  if (reply->pieces < delivery->next_sequence || reply->total_bytes != delivery->bytes)
    {
      bt_end_delivery_unknown (ctx, delivery, BT_REASON_ANSWER_DROPPED, actions);
      return;
    }
  forward_head (ctx, delivery, actions);
  bt_add_delivery_action (ctx, actions, BT_DELIVERY_FINISH_COMPLETE);
  delivery->phase = BT_PHASE_FINISHED;
}

void
bt_handle_answer (bt_context_t *ctx,
                  bt_delivery_t *delivery,
                  const bt_reply_t *reply,
                  int64_t now_ms,
                  bt_delivery_actions_t *actions)
{
  if (delivery->message != BT_MESSAGE_DISPATCH)
    return;
  delivery->phase = BT_PHASE_RUNNING;
  if (reply->kind == BT_REPLY_HEAD)
    store_head (ctx, delivery, reply);
  else if (reply->kind == BT_REPLY_PIECE)
    handle_piece (ctx, delivery, reply, now_ms, actions);
  else
    handle_end (ctx, delivery, reply, now_ms, actions);
}
