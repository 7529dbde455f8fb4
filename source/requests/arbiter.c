#include "arbiter_private.h"

#include <string.h>

enum
{
  INITIAL_ACTION_CAPACITY = 8,
};

bt_arbiter_t *
bt_new_arbiter (bt_context_t *ctx, const bt_arbiter_options_t *options)
{
  bt_arbiter_t *arbiter = bt_calloc (ctx, 1, sizeof *arbiter);
  bt_record_limits_t limits = {
    .max_records = options->max_records,
    .tombstone_reserve = options->tombstone_reserve,
    .max_bytes = options->max_bytes,
    .max_answer_bytes = options->max_answer_bytes,
    .grace_ms = options->grace_ms,
    .keep_answer_ms = options->keep_answer_ms,
  };

  arbiter->options = *options;
  arbiter->now_ms = arbiter->home_floor_ms = arbiter->grant_floor_ms = INT64_MIN;
  arbiter->table = bt_new_record_table (ctx, &limits);
  return arbiter;
}

void
bt_drop_arbiter (bt_context_t *ctx, bt_arbiter_t *arbiter)
{
  if (arbiter == NULL)
    return;
  bt_drop_record_table (ctx, arbiter->table);
  bt_free (ctx, arbiter);
}

bt_arbiter_action_t *
bt_add_arbiter_action (bt_context_t *ctx,
                       bt_arbiter_actions_t *actions,
                       bt_arbiter_action_kind_t kind)
{
  bt_arbiter_action_t *action;

  if (actions->count == actions->capacity)
    {
      actions->capacity = actions->capacity == 0 ? INITIAL_ACTION_CAPACITY : actions->capacity * 2;
      actions->items =
          bt_realloc (ctx, actions->items, (size_t)actions->capacity, sizeof *actions->items);
    }
  action = &actions->items[actions->count++];
  memset (action, 0, sizeof *action);
  action->kind = kind;
  return action;
}

bt_reply_t *
bt_add_reply (bt_context_t *ctx,
              bt_arbiter_actions_t *actions,
              bt_reply_kind_t kind,
              const bt_reply_path_t *path)
{
  bt_reply_t *reply = &bt_add_arbiter_action (ctx, actions, BT_ARBITER_REPLY)->reply;

  reply->kind = kind;
  reply->path = *path;
  return reply;
}

void
bt_free_arbiter_actions (bt_context_t *ctx, bt_arbiter_actions_t *actions)
{
  bt_free (ctx, actions->items);
  memset (actions, 0, sizeof *actions);
}

bt_reply_t *
bt_add_refusal (bt_context_t *ctx,
                bt_arbiter_actions_t *actions,
                const bt_reply_path_t *path,
                bt_reason_t reason)
{
  bt_reply_t *reply = bt_add_reply (ctx, actions, BT_REPLY_REFUSED, path);

  reply->reason = reason;
  reply->outcome = bt_get_reason_outcome (reason);
  return reply;
}

bool
bt_is_this_agent (const bt_arbiter_t *arbiter, const bt_identity_t *identity)
{
  if (strcmp (arbiter->options.self.instance, identity->instance) != 0)
    return false;
  return arbiter->options.self.incarnation == identity->incarnation
         || (arbiter->options.faults & BT_FAULT_NO_INCARNATION) != 0;
}

bt_reason_t
bt_check_addressee (const bt_arbiter_t *arbiter,
                    const bt_identity_t *identity,
                    bt_reason_t restarted)
{
  if (bt_is_this_agent (arbiter, identity))
    return BT_REASON_NONE;
  if (strcmp (arbiter->options.self.instance, identity->instance) == 0)
    return restarted;
  return BT_REASON_WRONG_INSTANCE;
}

int64_t
bt_advance_arbiter_clock (bt_arbiter_t *arbiter, int64_t now_ms)
{
  if (now_ms > arbiter->now_ms)
    arbiter->now_ms = now_ms;
  return arbiter->now_ms;
}

bool
bt_has_expired (int64_t expires_ms, int64_t now_ms)
{
  return now_ms >= expires_ms;
}

static void
reply_head (bt_context_t *ctx,
            const bt_answer_t *answer,
            const bt_reply_path_t *path,
            bt_arbiter_actions_t *actions)
{
  bt_reply_t *reply = bt_add_reply (ctx, actions, BT_REPLY_HEAD, path);

  reply->status = answer->status;
  reply->data = answer->head;
  reply->data_bytes = answer->head_bytes;
}

static void
reply_end (bt_context_t *ctx,
           const bt_answer_t *answer,
           const bt_reply_path_t *path,
           bt_arbiter_actions_t *actions)
{
  bt_reply_t *reply = bt_add_reply (ctx, actions, BT_REPLY_END, path);

  reply->pieces = answer->pieces;
  reply->total_bytes = answer->bytes;
}

static void
reply_kept_pieces (bt_context_t *ctx,
                   const bt_answer_t *answer,
                   const bt_watcher_t *watcher,
                   bt_arbiter_actions_t *actions)
{
  for (uint64_t i = watcher->next_sequence; i < answer->pieces; i++)
    {
      uint64_t start = i == 0 ? 0 : answer->piece_ends[i - 1];
      bt_reply_t *reply = bt_add_reply (ctx, actions, BT_REPLY_PIECE, &watcher->path);

      reply->sequence = i;
      reply->data = answer->data + start;
      reply->data_bytes = answer->piece_ends[i] - start;
    }
}

bool
bt_replay_answer (bt_context_t *ctx,
                  const bt_record_t *record,
                  const bt_watcher_t *watcher,
                  bt_arbiter_actions_t *actions)
{
  const bt_answer_t *answer = record->answer;

  if (!answer->kept && watcher->next_sequence < answer->pieces)
    {
      bt_add_refusal (ctx, actions, &watcher->path, BT_REASON_ANSWER_DROPPED);
      return false;
    }
  if (answer->has_head)
    reply_head (ctx, answer, &watcher->path, actions);
  if (answer->kept)
    reply_kept_pieces (ctx, answer, watcher, actions);
  if (record->state != BT_RECORD_DONE)
    return true;
  reply_end (ctx, answer, &watcher->path, actions);
  return false;
}

static void
cancel_run (bt_context_t *ctx,
            bt_arbiter_t *arbiter,
            bt_record_t *record,
            bt_arbiter_actions_t *actions)
{
  bt_add_arbiter_action (ctx, actions, BT_ARBITER_CANCEL_RUN)->run = record->run;
  arbiter->runs--;
  bt_remove_record (ctx, arbiter->table, record);
}

/* Removes the watchers of one message of a link, or of all its messages. Cancels runs without a key
 * that have no watcher left. */
static void
remove_watchers (bt_context_t *ctx,
                 bt_arbiter_t *arbiter,
                 const bt_reply_path_t *path,
                 bool whole_link,
                 bt_arbiter_actions_t *actions)
{
  bt_record_t *record = bt_first_active_record (arbiter->table);

  while (record != NULL)
    {
      bt_record_t *next = record->next_active;

      for (int32_t i = record->watcher_count - 1; i >= 0; i--)
        {
          const bt_reply_path_t *watched = &record->watchers[i].path;

          if (watched->link == path->link
              && (whole_link || (watched->call == path->call && watched->attempt == path->attempt)))
            bt_remove_watcher (record, i);
        }
      if (!record->keyed && record->watcher_count == 0)
        cancel_run (ctx, arbiter, record, actions);
      record = next;
    }
}

void
bt_handle_cancel (bt_context_t *ctx,
                  bt_arbiter_t *arbiter,
                  const bt_reply_path_t *path,
                  bt_arbiter_actions_t *actions)
{
  remove_watchers (ctx, arbiter, path, false, actions);
}

void
bt_handle_link_down (bt_context_t *ctx,
                     bt_arbiter_t *arbiter,
                     uint64_t link,
                     bt_arbiter_actions_t *actions)
{
  bt_reply_path_t path = { .link = link };

  remove_watchers (ctx, arbiter, &path, true, actions);
}

static void
handle_head (bt_context_t *ctx,
             bt_arbiter_t *arbiter,
             bt_record_t *record,
             const bt_run_event_t *event,
             bt_arbiter_actions_t *actions)
{
  if (record->answer->has_head)
    return;
  bt_set_answer_head (ctx, arbiter->table, record, event->status, event->data, event->data_bytes);
  for (int32_t i = 0; i < record->watcher_count; i++)
    reply_head (ctx, record->answer, &record->watchers[i].path, actions);
}

static void
forward_piece (bt_context_t *ctx,
               bt_record_t *record,
               const uint8_t *data,
               uint64_t bytes,
               bt_arbiter_actions_t *actions)
{
  uint64_t sequence = record->answer->pieces - 1;

  for (int32_t i = 0; i < record->watcher_count; i++)
    {
      bt_watcher_t *watcher = &record->watchers[i];
      bt_reply_t *reply;

      if (sequence < watcher->next_sequence)
        continue;
      reply = bt_add_reply (ctx, actions, BT_REPLY_PIECE, &watcher->path);
      reply->sequence = sequence;
      reply->data = data;
      reply->data_bytes = bytes;
    }
}

/* A record in BT_RECORD_OPEN that was never granted holds no more information than no record, so it
 * is removed. Otherwise a burst of refusals would fill the table. */
static bool
must_keep_record (const bt_arbiter_t *arbiter, const bt_record_t *record)
{
  if (!record->keyed || (arbiter->options.faults & BT_FAULT_NO_RECORD) != 0)
    return false;
  return record->state != BT_RECORD_OPEN || record->grant_number > 0;
}

static void
end_run (bt_context_t *ctx, bt_arbiter_t *arbiter, bt_record_t *record, int64_t now_ms)
{
  arbiter->runs--;
  record->ended_ms = now_ms;
  record->watcher_count = 0;
  if (must_keep_record (arbiter, record))
    bt_set_record_active (arbiter->table, record, false);
  else
    bt_remove_record (ctx, arbiter->table, record);
}

/* A run that cannot have reached the endpoint leaves the key open, so that it may be retried or
 * tombstoned. Any other failed run is final, since the request may have run and must not run twice.
 */
static void
fail_run (bt_context_t *ctx,
          bt_arbiter_t *arbiter,
          bt_record_t *record,
          const bt_run_event_t *failure,
          int64_t now_ms,
          bt_arbiter_actions_t *actions)
{
  for (int32_t i = 0; i < record->watcher_count; i++)
    {
      bt_reply_t *reply = bt_add_refusal (ctx, actions, &record->watchers[i].path, failure->reason);

      reply->outcome = failure->may_have_run ? BT_OUTCOME_UNKNOWN : BT_OUTCOME_NOT_RUN;
      reply->retry_after_ms = failure->retry_after_ms;
    }
  record->state = failure->may_have_run ? BT_RECORD_FAILED : BT_RECORD_OPEN;
  record->reason = failure->reason;
  bt_drop_answer (ctx, arbiter->table, record);
  end_run (ctx, arbiter, record, now_ms);
}

/* Resumes a silent, broken or incomplete stream after the bytes received so far. The endpoint still
 * has the run, so this starts no new one. When the stream cannot be resumed, the run fails as one
 * that may have run. */
static void
resume_run (bt_context_t *ctx,
            bt_arbiter_t *arbiter,
            bt_record_t *record,
            bool resumable,
            int64_t now_ms,
            bt_arbiter_actions_t *actions)
{
  static const bt_run_event_t silent_failure = { .may_have_run = true,
                                                 .reason = BT_REASON_ENGINE_SILENT };
  bt_arbiter_action_t *action;

  if (!resumable || record->resumes >= arbiter->options.max_resumes)
    {
      fail_run (ctx, arbiter, record, &silent_failure, now_ms, actions);
      return;
    }
  record->resumes++;
  action = bt_add_arbiter_action (ctx, actions, BT_ARBITER_RESUME_RUN);
  action->run = record->run;
  action->from_bytes = record->answer->bytes;
}

static void
handle_piece (bt_context_t *ctx,
              bt_arbiter_t *arbiter,
              bt_record_t *record,
              const bt_run_event_t *event,
              int64_t now_ms,
              bt_arbiter_actions_t *actions)
{
  uint64_t received = record->answer->bytes;
  uint64_t skip = received - event->offset_bytes;
  const uint8_t *data = event->data;

  if (event->offset_bytes > received)
    {
      resume_run (ctx, arbiter, record, event->resumable, now_ms, actions);
      return;
    }
  if (event->data_bytes <= skip)
    return;
  bt_append_answer (ctx, arbiter->table, record, data + skip, event->data_bytes - skip);
  forward_piece (ctx, record, data + skip, event->data_bytes - skip, actions);
}

static void
handle_end (bt_context_t *ctx,
            bt_arbiter_t *arbiter,
            bt_record_t *record,
            const bt_run_event_t *event,
            int64_t now_ms,
            bt_arbiter_actions_t *actions)
{
  if (event->total_bytes != record->answer->bytes || !record->answer->has_head)
    {
      resume_run (ctx, arbiter, record, event->resumable, now_ms, actions);
      return;
    }
  for (int32_t i = 0; i < record->watcher_count; i++)
    reply_end (ctx, record->answer, &record->watchers[i].path, actions);
  record->state = BT_RECORD_DONE;
  end_run (ctx, arbiter, record, now_ms);
}

void
bt_handle_run_event (bt_context_t *ctx,
                     bt_arbiter_t *arbiter,
                     const bt_run_event_t *event,
                     int64_t now_ms,
                     bt_arbiter_actions_t *actions)
{
  bt_record_t *record = bt_find_run (arbiter->table, event->run);

  if (record == NULL)
    return;
  switch (event->kind)
    {
    case BT_RUN_HEAD:
      handle_head (ctx, arbiter, record, event, actions);
      break;
    case BT_RUN_PIECE:
      handle_piece (ctx, arbiter, record, event, now_ms, actions);
      break;
    case BT_RUN_END:
      handle_end (ctx, arbiter, record, event, now_ms, actions);
      break;
    case BT_RUN_FAILED:
      fail_run (ctx, arbiter, record, event, now_ms, actions);
      break;
    case BT_RUN_SILENT:
      resume_run (ctx, arbiter, record, event->resumable, now_ms, actions);
      break;
    }
}

void
bt_set_arbiter_leaving (bt_arbiter_t *arbiter, int64_t now_ms)
{
  if (arbiter->leaving)
    return;
  arbiter->leaving = true;
  arbiter->leaving_ms = now_ms;
}

void
bt_tick_arbiter (bt_context_t *ctx, bt_arbiter_t *arbiter, int64_t now_ms)
{
  bt_sweep_records (ctx, arbiter->table, bt_advance_arbiter_clock (arbiter, now_ms));
}

bool
bt_can_arbiter_exit (const bt_arbiter_t *arbiter, int64_t now_ms)
{
  return arbiter->leaving && arbiter->runs == 0
         && now_ms >= arbiter->leaving_ms + arbiter->options.ticket_life_ms;
}

uint64_t
bt_count_arbiter_runs (const bt_arbiter_t *arbiter)
{
  return arbiter->runs;
}

uint64_t
bt_count_arbiter_records (const bt_arbiter_t *arbiter)
{
  return bt_count_table_records (arbiter->table);
}

uint64_t
bt_count_arbiter_bytes (const bt_arbiter_t *arbiter)
{
  return bt_count_table_bytes (arbiter->table);
}

uint64_t
bt_count_arbiter_free_records (const bt_arbiter_t *arbiter)
{
  return bt_count_table_free_records (arbiter->table);
}
