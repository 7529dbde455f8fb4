/* Handling of the three messages that entry instances send to an arbiter: dispatch, grant and
 * tombstone requests. */

#include "arbiter_private.h"

/* At the home agent the ticket's expiry applies, even under a grant to the home itself. The home
 * keeps a record as long as the ticket, so with a longer grant a delayed copy of the dispatch could
 * run after the tombstone was removed. */
static int64_t
get_dispatch_expiry (const bt_arbiter_t *arbiter, const bt_dispatch_t *dispatch)
{
  if (dispatch->has_grant && !bt_is_this_agent (arbiter, &dispatch->ticket.home))
    return dispatch->grant.expires_ms;
  return dispatch->ticket.expires_ms;
}

/* Uses this agent's own clock. The same clock decides when a record is removed, so a message that
 * arrives after its record was removed is always found expired. */
static bool
is_dispatch_expired (const bt_arbiter_t *arbiter, const bt_dispatch_t *dispatch, int64_t now_ms)
{

  if ((arbiter->options.faults & BT_FAULT_FOREIGN_CLOCK) != 0)
    now_ms = dispatch->sender_now_ms;
  return bt_has_expired (get_dispatch_expiry (arbiter, dispatch), now_ms);
}

/* Keeps a record until every message that it answered has expired. A tombstone set under one grant
 * also answers for a later grant to the same agent. If it were removed before that grant expires, a
 * delayed dispatch under that grant would run. */
static void
extend_record (bt_record_t *record, int64_t expires_ms)
{
  if (record != NULL && record->expires_ms < expires_ms)
    record->expires_ms = expires_ms;
}

/* Returns the expiry floor that applies to a ticket. It is raised when the table has no space for a
 * tombstone. It also refuses other keys that have no record and expire no later; their callers need
 * new tickets. Without it a full table could not confirm that a request will not run, or a delayed
 * copy would run once there is space again. */
static int64_t *
find_floor (bt_arbiter_t *arbiter, const bt_ticket_t *ticket)
{
  return bt_is_this_agent (arbiter, &ticket->home) ? &arbiter->home_floor_ms
                                                   : &arbiter->grant_floor_ms;
}

static void
start_run (bt_context_t *ctx,
           bt_arbiter_t *arbiter,
           bt_record_t *record,
           const bt_dispatch_t *dispatch,
           bt_arbiter_actions_t *actions)
{
  bt_watcher_t watcher = { dispatch->path, dispatch->from_sequence };
  bt_arbiter_action_t *action;

  record->state = BT_RECORD_RUNNING;
  record->run = ++arbiter->last_run;
  record->resumes = 0;
  record->has_digest = true;
  record->body_digest = dispatch->body_digest;
  arbiter->runs++;
  bt_begin_answer (ctx, arbiter->table, record);
  bt_set_record_active (arbiter->table, record, true);
  bt_add_watcher (ctx, record, &watcher);
  bt_add_reply (ctx, actions, BT_REPLY_ACCEPTED, &dispatch->path);
  action = bt_add_arbiter_action (ctx, actions, BT_ARBITER_START_RUN);
  action->run = record->run;
  action->dispatch = dispatch;
}

/* Returns why a new run is refused, or BT_REASON_NONE when it may start. */
static bt_reason_t
check_admission (const bt_arbiter_t *arbiter, const bt_dispatch_t *dispatch, int64_t now_ms)
{
  if (dispatch->attach_only)
    return BT_REASON_NO_RUN;
  if (arbiter->leaving)
    return BT_REASON_ENDPOINT_LEAVING;
  if (bt_has_expired (dispatch->deadline_ms, now_ms))
    return BT_REASON_DEADLINE_UNREACHABLE;
  return dispatch->admission;
}

static void
refuse_run (bt_context_t *ctx,
            const bt_dispatch_t *dispatch,
            bt_reason_t reason,
            bt_arbiter_actions_t *actions)
{
  bt_reply_t *reply = bt_add_refusal (ctx, actions, &dispatch->path, reason);

  reply->outcome = BT_OUTCOME_NOT_RUN;
  reply->retry_after_ms = dispatch->admission_retry_ms;
}

/* True when this very dispatch already runs, so that a duplicate is ignored. */
static bool
has_unkeyed_run (const bt_arbiter_t *arbiter, const bt_reply_path_t *path)
{
  const bt_record_t *record = bt_first_active_record (arbiter->table);

  for (; record != NULL; record = record->next_active)
    if (!record->keyed && record->watchers[0].path.link == path->link
        && record->watchers[0].path.call == path->call
        && record->watchers[0].path.attempt == path->attempt)
      return true;
  return false;
}

static void
dispatch_unkeyed (bt_context_t *ctx,
                  bt_arbiter_t *arbiter,
                  const bt_dispatch_t *dispatch,
                  int64_t now_ms,
                  bt_arbiter_actions_t *actions)
{
  bt_reason_t reason = check_admission (arbiter, dispatch, now_ms);

  if (has_unkeyed_run (arbiter, &dispatch->path))
    return;
  if (reason != BT_REASON_NONE)
    refuse_run (ctx, dispatch, reason, actions);
  else
    start_run (ctx, arbiter, bt_add_unkeyed_record (ctx, arbiter->table), dispatch, actions);
}

static void
attach (bt_context_t *ctx,
        bt_arbiter_t *arbiter,
        bt_record_t *record,
        const bt_dispatch_t *dispatch,
        bt_arbiter_actions_t *actions)
{
  bt_watcher_t watcher = { dispatch->path, dispatch->from_sequence };

  if (record->state == BT_RECORD_RUNNING && !bt_add_watcher (ctx, record, &watcher))
    return;
  bt_add_reply (ctx, actions, BT_REPLY_ACCEPTED, &dispatch->path)->attached = true;
  if (!bt_replay_answer (ctx, record, &watcher, actions) && record->state == BT_RECORD_RUNNING)
    bt_remove_watcher (record, record->watcher_count - 1);
}

static void
refuse_with_grant (bt_context_t *ctx,
                   const bt_record_t *record,
                   const bt_reply_path_t *path,
                   bt_arbiter_actions_t *actions)
{
  bt_reply_t *reply = bt_add_refusal (ctx, actions, path, BT_REASON_WRONG_INSTANCE);

  reply->has_grant = true;
  reply->grant = *record->grant;
}

/* True when the home granted the key to itself and the dispatch carries that current grant. */
static bool
is_granted_here (const bt_arbiter_t *arbiter,
                 const bt_record_t *record,
                 const bt_dispatch_t *dispatch)
{
  return bt_is_this_agent (arbiter, &record->grant->agent) && dispatch->has_grant
         && dispatch->grant.number == record->grant->number;
}

static void
run_open_key (bt_context_t *ctx,
              bt_arbiter_t *arbiter,
              bt_record_t *record,
              const bt_dispatch_t *dispatch,
              int64_t now_ms,
              bt_arbiter_actions_t *actions)
{
  bt_reason_t reason = check_admission (arbiter, dispatch, now_ms);

  if (reason != BT_REASON_NONE)
    {
      refuse_run (ctx, dispatch, reason, actions);
      return;
    }
  if (record == NULL)
    record = bt_add_record (ctx, arbiter->table, &dispatch->ticket.key,
                            get_dispatch_expiry (arbiter, dispatch), false);
  if (record == NULL)
    {
      bt_add_refusal (ctx, actions, &dispatch->path, BT_REASON_RECORDS_FULL)->retry_after_ms =
          arbiter->options.retry_after_ms;
      return;
    }
  bt_set_record_grant (ctx, arbiter->table, record, NULL);
  start_run (ctx, arbiter, record, dispatch, actions);
}

static void
dispatch_known_key (bt_context_t *ctx,
                    bt_arbiter_t *arbiter,
                    bt_record_t *record,
                    const bt_dispatch_t *dispatch,
                    int64_t now_ms,
                    bt_arbiter_actions_t *actions)
{
  if (record->has_digest && record->body_digest != dispatch->body_digest)
    {
      bt_add_refusal (ctx, actions, &dispatch->path, BT_REASON_KEY_REUSED);
      return;
    }
  switch (record->state)
    {
    case BT_RECORD_RUNNING:
    case BT_RECORD_DONE:
      attach (ctx, arbiter, record, dispatch, actions);
      break;
    case BT_RECORD_GRANTED:
      if (is_granted_here (arbiter, record, dispatch))
        run_open_key (ctx, arbiter, record, dispatch, now_ms, actions);
      else
        refuse_with_grant (ctx, record, &dispatch->path, actions);
      break;
    case BT_RECORD_FAILED:
      bt_add_refusal (ctx, actions, &dispatch->path, record->reason)->outcome = BT_OUTCOME_UNKNOWN;
      break;
    case BT_RECORD_TOMBSTONED:
      bt_add_refusal (ctx, actions, &dispatch->path, BT_REASON_KEY_TOMBSTONED);
      break;
    default:
      run_open_key (ctx, arbiter, record, dispatch, now_ms, actions);
      break;
    }
}

static bt_reason_t
check_keyed_dispatch (const bt_arbiter_t *arbiter, const bt_dispatch_t *dispatch)
{
  bt_reason_t reason = bt_check_addressee (arbiter, &dispatch->target, BT_REASON_AGENT_RESTARTED);

  if (reason != BT_REASON_NONE)
    return reason;
  if (!dispatch->has_grant)
    return bt_check_addressee (arbiter, &dispatch->ticket.home, BT_REASON_HOME_RESTARTED);
  return bt_check_addressee (arbiter, &dispatch->grant.agent, BT_REASON_AGENT_RESTARTED);
}

void
bt_handle_dispatch (bt_context_t *ctx,
                    bt_arbiter_t *arbiter,
                    const bt_dispatch_t *dispatch,
                    int64_t now_ms,
                    bt_arbiter_actions_t *actions)
{
  bt_record_t *record;
  bt_reason_t reason;

  now_ms = bt_advance_arbiter_clock (arbiter, now_ms);
  if (!dispatch->has_ticket)
    {
      /* Only the target can run a request without a key, so a wrong target proves that it did not
       * run. */
      if (bt_is_this_agent (arbiter, &dispatch->target))
        dispatch_unkeyed (ctx, arbiter, dispatch, now_ms, actions);
      else
        bt_add_refusal (ctx, actions, &dispatch->path, BT_REASON_WRONG_INSTANCE);
      return;
    }
  reason = check_keyed_dispatch (arbiter, dispatch);
  if (reason != BT_REASON_NONE)
    {
      bt_add_refusal (ctx, actions, &dispatch->path, reason);
      return;
    }
  record = bt_find_record (arbiter->table, &dispatch->ticket.key);
  extend_record (record, get_dispatch_expiry (arbiter, dispatch));
  if (record != NULL && (record->state == BT_RECORD_RUNNING || record->state == BT_RECORD_DONE))
    dispatch_known_key (ctx, arbiter, record, dispatch, now_ms, actions);
  else if (is_dispatch_expired (arbiter, dispatch, now_ms))
    bt_add_refusal (ctx, actions, &dispatch->path, BT_REASON_KEY_EXPIRED);
  else if (record != NULL)
    dispatch_known_key (ctx, arbiter, record, dispatch, now_ms, actions);
  else if (get_dispatch_expiry (arbiter, dispatch) <= *find_floor (arbiter, &dispatch->ticket))
    bt_add_refusal (ctx, actions, &dispatch->path, BT_REASON_KEY_TOMBSTONED);
  else
    run_open_key (ctx, arbiter, NULL, dispatch, now_ms, actions);
}

static void
refuse_grant (bt_context_t *ctx,
              const bt_reply_path_t *path,
              bt_reason_t reason,
              int64_t retry_after_ms,
              bt_arbiter_actions_t *actions)
{
  bt_reply_t *reply = bt_add_reply (ctx, actions, BT_REPLY_GRANT, path);

  reply->reason = reason;
  reply->outcome = bt_get_reason_outcome (reason);
  reply->retry_after_ms = retry_after_ms;
}

static void
reply_grant (bt_context_t *ctx,
             const bt_reply_path_t *path,
             const bt_grant_t *grant,
             bt_arbiter_actions_t *actions)
{
  bt_reply_t *reply = bt_add_reply (ctx, actions, BT_REPLY_GRANT, path);

  reply->granted = true;
  reply->grant = *grant;
}

/* Records the grant before the reply is sent. Every entry instance that asks later is referred to
 * the same agent, until that agent has tombstoned the key. */
static void
grant_key (bt_context_t *ctx,
           bt_arbiter_t *arbiter,
           bt_record_t *record,
           const bt_grant_request_t *request,
           bt_arbiter_actions_t *actions)
{
  bt_grant_t grant = request->proposal;

  if (record != NULL && (arbiter->options.faults & BT_FAULT_NO_GRANT_RECORD) != 0)
    {
      grant.number = ++record->grant_number;
      reply_grant (ctx, &request->path, &grant, actions);
      return;
    }
  if (record == NULL)
    record = bt_add_record (ctx, arbiter->table, &request->ticket.key, request->ticket.expires_ms,
                            false);
  if (record == NULL)
    {
      refuse_grant (ctx, &request->path, BT_REASON_RECORDS_FULL, arbiter->options.retry_after_ms,
                    actions);
      return;
    }
  grant.number = ++record->grant_number;
  record->state = BT_RECORD_GRANTED;
  bt_set_record_grant (ctx, arbiter->table, record, &grant);
  reply_grant (ctx, &request->path, &grant, actions);
}

static void
grant_known_key (bt_context_t *ctx,
                 bt_arbiter_t *arbiter,
                 bt_record_t *record,
                 const bt_grant_request_t *request,
                 bt_arbiter_actions_t *actions)
{
  bool no_grant_record = (arbiter->options.faults & BT_FAULT_NO_GRANT_RECORD) != 0;

  switch (record->state)
    {
    case BT_RECORD_OPEN:
      grant_key (ctx, arbiter, record, request, actions);
      break;
    case BT_RECORD_GRANTED:
      if (request->after_number == record->grant_number || no_grant_record)
        grant_key (ctx, arbiter, record, request, actions);
      else
        reply_grant (ctx, &request->path, record->grant, actions);
      break;
    case BT_RECORD_TOMBSTONED:
      refuse_grant (ctx, &request->path, BT_REASON_KEY_TOMBSTONED, 0, actions);
      break;
    default:
      bt_add_reply (ctx, actions, BT_REPLY_GRANT, &request->path)->home_runs = true;
      break;
    }
}

void
bt_handle_grant_request (bt_context_t *ctx,
                         bt_arbiter_t *arbiter,
                         const bt_grant_request_t *request,
                         int64_t now_ms,
                         bt_arbiter_actions_t *actions)
{
  bt_reason_t reason =
      bt_check_addressee (arbiter, &request->ticket.home, BT_REASON_HOME_RESTARTED);
  bt_record_t *record;

  now_ms = bt_advance_arbiter_clock (arbiter, now_ms);
  if (reason == BT_REASON_NONE && bt_has_expired (request->ticket.expires_ms, now_ms))
    reason = BT_REASON_KEY_EXPIRED;
  if (reason != BT_REASON_NONE)
    {
      refuse_grant (ctx, &request->path, reason, 0, actions);
      return;
    }
  record = bt_find_record (arbiter->table, &request->ticket.key);
  if (record == NULL && request->ticket.expires_ms <= arbiter->home_floor_ms)
    refuse_grant (ctx, &request->path, BT_REASON_KEY_TOMBSTONED, 0, actions);
  else if (record == NULL)
    grant_key (ctx, arbiter, NULL, request, actions);
  else
    grant_known_key (ctx, arbiter, record, request, actions);
}

static bt_record_state_t
map_addressee_state (bt_reason_t reason)
{
  return reason == BT_REASON_NONE ? BT_RECORD_UNSEEN : BT_RECORD_FOREIGN;
}

/* Returns the state that a tombstone would replace (BT_RECORD_UNSEEN or BT_RECORD_OPEN), or the
 * state that prevents it. */
static bt_record_state_t
check_tombstone (const bt_arbiter_t *arbiter,
                 const bt_record_t *record,
                 const bt_tombstone_request_t *request,
                 bool is_home)
{
  if (record == NULL)
    return BT_RECORD_UNSEEN;
  if (record->state != BT_RECORD_GRANTED)
    return record->state;
  if (bt_is_this_agent (arbiter, &record->grant->agent))
    return BT_RECORD_OPEN;
  if (is_home && request->has_grant && request->grant.number == record->grant_number)
    return BT_RECORD_OPEN;
  return BT_RECORD_GRANTED;
}

/* Records that the key never ran here and never will, before the reply is sent. Any dispatch that
 * arrives later is refused by the tombstone, by the expiry floor or because it has expired. */
static void
set_tombstone (bt_context_t *ctx,
               bt_arbiter_t *arbiter,
               bt_record_t *record,
               const bt_tombstone_request_t *request,
               int64_t expires_ms)
{
  if ((arbiter->options.faults & BT_FAULT_NO_TOMBSTONE) != 0)
    return;
  if (record == NULL)
    record = bt_add_record (ctx, arbiter->table, &request->ticket.key, expires_ms, true);
  if (record == NULL)
    {
      int64_t *floor_ms = find_floor (arbiter, &request->ticket);

      if (*floor_ms < expires_ms)
        *floor_ms = expires_ms;
      return;
    }
  record->state = BT_RECORD_TOMBSTONED;
  bt_set_record_grant (ctx, arbiter->table, record, NULL);
}

void
bt_handle_tombstone_request (bt_context_t *ctx,
                             bt_arbiter_t *arbiter,
                             const bt_tombstone_request_t *request,
                             int64_t now_ms,
                             bt_arbiter_actions_t *actions)
{
  bt_reply_t *reply = bt_add_reply (ctx, actions, BT_REPLY_TOMBSTONE, &request->path);
  bool is_home = bt_is_this_agent (arbiter, &request->ticket.home);
  const bt_identity_t *addressee =
      is_home || !request->has_grant ? &request->ticket.home : &request->grant.agent;
  int64_t expires_ms = is_home ? request->ticket.expires_ms : request->grant.expires_ms;
  bt_record_t *record = bt_find_record (arbiter->table, &request->ticket.key);

  now_ms = bt_advance_arbiter_clock (arbiter, now_ms);
  reply->state = map_addressee_state (
      bt_check_addressee (arbiter, &request->target, BT_REASON_AGENT_RESTARTED));
  if (reply->state == BT_RECORD_UNSEEN)
    reply->state =
        map_addressee_state (bt_check_addressee (arbiter, addressee, BT_REASON_HOME_RESTARTED));
  if (reply->state == BT_RECORD_FOREIGN)
    return;
  extend_record (record, expires_ms);
  reply->state = check_tombstone (arbiter, record, request, is_home);
  if (reply->state == BT_RECORD_UNSEEN && bt_has_expired (expires_ms, now_ms))
    reply->state = BT_RECORD_EXPIRED;
  if (reply->state == BT_RECORD_UNSEEN || reply->state == BT_RECORD_OPEN)
    {
      set_tombstone (ctx, arbiter, record, request, expires_ms);
      reply->tombstoned = true;
    }
  else
    reply->tombstoned = reply->state == BT_RECORD_TOMBSTONED;
  if (reply->state == BT_RECORD_GRANTED)
    {
      reply->has_grant = true;
      reply->grant = *record->grant;
    }
}
