#include "bilberrytray/load/room_ledger.h"

#include "room_ledger_private.h"

enum
{
  INITIAL_REPLIES = 16,
};

bt_room_ledger_t *
bt_new_room_ledger (bt_context_t *ctx, int64_t started_ms)
{
  bt_room_ledger_t *ledger = bt_calloc (ctx, 1, sizeof *ledger);

  ledger->records = bt_new_room_records (ctx);
  ledger->blind_until_ms = started_ms + BT_ROOM_WINDOW_MS;
  return ledger;
}

void
bt_drop_room_ledger (bt_context_t *ctx, bt_room_ledger_t *ledger)
{
  if (ledger == NULL)
    return;
  bt_drop_room_records (ctx, ledger->records);
  bt_free (ctx, ledger->replies);
  bt_free (ctx, ledger);
}

void
bt_add_room_reply (bt_context_t *ctx,
                   bt_room_ledger_t *ledger,
                   const bt_room_record_t *record,
                   bt_room_verdict_t verdict,
                   int64_t now_ms,
                   int64_t wait_ms)
{
  if (ledger->reply_count == ledger->reply_capacity)
    {
      ledger->reply_capacity = 2 * ledger->reply_capacity + INITIAL_REPLIES;
      ledger->replies = bt_realloc (ctx, ledger->replies, (size_t)ledger->reply_capacity,
                                    sizeof *ledger->replies);
    }
  ledger->replies[ledger->reply_count++] = (bt_room_reply_t){
    .link = record->link,
    .id = record->ask.id,
    .verdict = verdict,
    .load = bt_get_room_load (ledger, now_ms),
    .waiting = bt_count_ledger_records (ledger, BT_ROOM_STATE_WAITING),
    .hold_ms = verdict == BT_ROOM_GRANTED ? BT_ROOM_HOLD_MS : 0,
    .wait_ms = wait_ms,
  };
}

void
bt_grant_room (bt_context_t *ctx,
               bt_room_ledger_t *ledger,
               bt_room_record_t *record,
               const bt_room_candidates_t *found,
               int64_t now_ms)
{
  const int64_t now_us = now_ms * BT_US_PER_MS;

  if (record == found->oldest_late)
    ledger->late_turn = 0;
  else if (found->oldest_late != NULL)
    ledger->late_turn++;
  bt_move_room_record (ctx, ledger->records, record, BT_ROOM_STATE_HELD);
  record->expires_ms = now_ms + BT_ROOM_HOLD_MS;
  record->window_index = bt_add_room_start (&ledger->window, now_ms);
  if (ledger->backlog_end_us < now_us)
    ledger->backlog_end_us = now_us;
  ledger->backlog_end_us += record->ask.read_us;
  ledger->held_tokens += bt_get_room_tokens (&record->ask);
  bt_add_account_grant (&ledger->accounts, record->ask.account, now_ms);
  ledger->totals.granted++;
  bt_add_room_reply (ctx, ledger, record, BT_ROOM_GRANTED, now_ms, 0);
}

/* Removes a hold whose request does not run. */
void
bt_cancel_room_hold (bt_context_t *ctx, bt_room_ledger_t *ledger, bt_room_record_t *record)
{
  ledger->held_tokens -= bt_get_room_tokens (&record->ask);
  ledger->backlog_end_us -= record->ask.read_us;
  bt_remove_room_start (&ledger->window, record->window_index);
  bt_move_room_record (ctx, ledger->records, record, BT_ROOM_STATE_CLOSED);
}

void
bt_advance_room (bt_context_t *ctx, bt_room_ledger_t *ledger, int64_t now_ms)
{
  bt_room_record_t *hold;

  while ((hold = bt_get_first_room_record (ledger->records, BT_ROOM_STATE_HELD)) != NULL
         && hold->expires_ms <= now_ms)
    {
      bt_cancel_room_hold (ctx, ledger, hold);
      ledger->totals.expired++;
    }
  bt_advance_room_window (&ledger->window, now_ms);
  while (bt_count_ledger_records (ledger, BT_ROOM_STATE_WAITING) > 0)
    {
      const bt_room_candidates_t found = bt_find_room_candidates (ledger, now_ms);
      const bool late_turn = bt_is_late_room_turn (ledger, &found);
      bt_room_record_t *next = late_turn ? found.oldest_late : found.first;

      if (bt_get_room_grant_ms (ledger, next, late_turn, now_ms) > now_ms)
        return;
      bt_grant_room (ctx, ledger, next, &found, now_ms);
    }
}

int64_t
bt_get_room_wake_ms (const bt_room_ledger_t *ledger, int64_t now_ms)
{
  const bt_room_record_t *record = bt_get_first_room_record (ledger->records, BT_ROOM_STATE_HELD);
  int64_t wake_ms = record != NULL ? record->expires_ms : INT64_MAX;
  bt_room_candidates_t found;
  int64_t grant_ms;
  bool late_turn;

  if (bt_count_ledger_records (ledger, BT_ROOM_STATE_WAITING) == 0)
    return wake_ms;
  found = bt_find_room_candidates (ledger, now_ms);
  late_turn = bt_is_late_room_turn (ledger, &found);
  grant_ms =
      bt_get_room_grant_ms (ledger, late_turn ? found.oldest_late : found.first, late_turn, now_ms);
  if (grant_ms < wake_ms)
    wake_ms = grant_ms;
  if (bt_is_room_report_current (ledger, now_ms)
      && ledger->engine.reported_ms + BT_ROOM_REPORT_MS + 1 < wake_ms)
    wake_ms = ledger->engine.reported_ms + BT_ROOM_REPORT_MS + 1;
  record = bt_get_first_room_record (ledger->records, BT_ROOM_STATE_WAITING);
  for (; record != NULL; record = record->after)
    if (!bt_is_room_ask_late (record, now_ms) && record->target_ms + 1 < wake_ms)
      wake_ms = record->target_ms + 1;
  return wake_ms;
}

bool
bt_next_room_reply (bt_room_ledger_t *ledger, bt_room_reply_t *reply)
{
  if (ledger->next_reply == ledger->reply_count)
    {
      ledger->next_reply = 0;
      ledger->reply_count = 0;
      return false;
    }
  *reply = ledger->replies[ledger->next_reply++];
  return true;
}

void
bt_count_room (const bt_room_ledger_t *ledger, int64_t now_ms, bt_room_counts_t *counts)
{
  *counts = ledger->totals;
  counts->load = bt_get_room_load (ledger, now_ms);
  counts->in_flight = bt_count_ledger_records (ledger, BT_ROOM_STATE_IN_FLIGHT);
  counts->held = bt_count_ledger_records (ledger, BT_ROOM_STATE_HELD);
  counts->waiting = bt_count_ledger_records (ledger, BT_ROOM_STATE_WAITING);
}
