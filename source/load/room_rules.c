#include "room_ledger_private.h"

int32_t
bt_count_ledger_records (const bt_room_ledger_t *ledger, bt_room_state_t state)
{
  return bt_count_room_records (ledger->records, state);
}

bool
bt_is_room_report_current (const bt_room_ledger_t *ledger, int64_t now_ms)
{
  return ledger->engine.reported && now_ms - ledger->engine.reported_ms <= BT_ROOM_REPORT_MS;
}

int32_t
bt_get_room_load (const bt_room_ledger_t *ledger, int64_t now_ms)
{
  const bt_room_engine_t *engine = &ledger->engine;
  int64_t load = bt_count_ledger_records (ledger, BT_ROOM_STATE_IN_FLIGHT);

  if (bt_is_room_report_current (ledger, now_ms))
    {
      const int64_t reported = (int64_t)engine->report.running + engine->report.queued
                               + (int64_t)(ledger->starts - engine->starts_before)
                               - (int64_t)(ledger->ends - engine->ends_before);

      if (reported > load)
        load = reported;
    }
  load += bt_count_ledger_records (ledger, BT_ROOM_STATE_HELD);
  return load < INT32_MAX ? (int32_t)load : INT32_MAX;
}

int64_t
bt_get_room_tokens (const bt_room_ask_t *ask)
{
  return ask->prompt_tokens + ask->answer_tokens;
}

static bool
has_memory (const bt_room_ledger_t *ledger, const bt_room_ask_t *ask, int64_t now_ms)
{
  const bt_room_engine_t *engine = &ledger->engine;

  if (engine->report.memory <= 0 || !bt_is_room_report_current (ledger, now_ms))
    return true;
  return engine->report.memory_used + engine->unreported_tokens + ledger->held_tokens
             + bt_get_room_tokens (ask)
         <= engine->report.memory;
}

bool
bt_is_room_ask_late (const bt_room_record_t *record, int64_t now_ms)
{
  return record->target_ms < now_ms;
}

/* Returns when the prefill backlog permits an ask. The backlog and the time left shrink at the same
 * rate, so an ask that is blocked by the backlog remains so until the backlog is empty. */
static int64_t
get_backlog_ms (const bt_room_ledger_t *ledger, const bt_room_record_t *record, int64_t now_ms)
{
  const int64_t left_us = ledger->backlog_end_us - now_ms * BT_US_PER_MS;

  if (left_us <= 0 || left_us < (record->target_ms - now_ms) * BT_US_PER_MS)
    return now_ms;
  return (ledger->backlog_end_us + BT_US_PER_MS - 1) / BT_US_PER_MS;
}

/* Returns now_ms if an ask that nothing goes before can be granted, the time at which it can be if
 * only time is missing, and INT64_MAX if an event must come first. At an idle engine neither the
 * number of starts nor the memory is limited, so that no ask waits for an event that cannot come.
 * The turn of the late ask does not depend on the backlog, which
 * could hold it back as long as asks in time arrive. */
int64_t
bt_get_room_grant_ms (const bt_room_ledger_t *ledger,
                      const bt_room_record_t *record,
                      bool late_turn,
                      int64_t now_ms)
{
  const bt_room_ask_t *ask = &record->ask;
  const int32_t load = bt_get_room_load (ledger, now_ms);
  const int32_t burst = ask->burst < BT_ROOM_MAX_BURST ? ask->burst : BT_ROOM_MAX_BURST;
  int64_t grant_ms = now_ms;

  if (load >= (int64_t)ask->slots + ask->depth || (load > 0 && !has_memory (ledger, ask, now_ms)))
    return INT64_MAX;
  if (load > 0)
    grant_ms = bt_get_room_window_ms (&ledger->window, burst, now_ms);
  if ((load > 0 || !ledger->engine.reported) && ledger->blind_until_ms > grant_ms)
    grant_ms = ledger->blind_until_ms;
  if (!late_turn)
    {
      const int64_t backlog_ms = get_backlog_ms (ledger, record, now_ms);

      if (backlog_ms > grant_ms)
        grant_ms = backlog_ms;
    }
  return grant_ms;
}

/* Returns the account's grants divided by its weight. */
static double
get_account_use (const bt_room_ledger_t *ledger, const bt_room_record_t *record, int64_t now_ms)
{
  return bt_get_account_grants (&ledger->accounts, record->ask.account, now_ms)
         / (record->ask.share > 0 ? record->ask.share : 1);
}

bool
bt_goes_room_ask_before (const bt_room_ledger_t *ledger,
                         const bt_room_record_t *left,
                         const bt_room_record_t *right,
                         int64_t now_ms)
{
  double left_use;
  double right_use;

  if (bt_is_room_ask_late (left, now_ms) != bt_is_room_ask_late (right, now_ms))
    return !bt_is_room_ask_late (left, now_ms);
  if (left->ask.priority != right->ask.priority)
    return left->ask.priority > right->ask.priority;
  if (left->ask.account != right->ask.account)
    {
      left_use = get_account_use (ledger, left, now_ms);
      right_use = get_account_use (ledger, right, now_ms);
      if (left_use < right_use || right_use < left_use)
        return left_use < right_use;
    }
  return left->order < right->order;
}

bt_room_candidates_t
bt_find_room_candidates (const bt_room_ledger_t *ledger, int64_t now_ms)
{
  bt_room_record_t *record = bt_get_first_room_record (ledger->records, BT_ROOM_STATE_WAITING);
  bt_room_candidates_t found = { NULL, NULL };

  for (; record != NULL; record = record->after)
    {
      if (found.first == NULL || bt_goes_room_ask_before (ledger, record, found.first, now_ms))
        found.first = record;
      if (found.oldest_late == NULL && bt_is_room_ask_late (record, now_ms))
        found.oldest_late = record;
    }
  return found;
}

bool
bt_is_late_room_turn (const bt_room_ledger_t *ledger, const bt_room_candidates_t *found)
{
  return found->oldest_late != NULL && ledger->late_turn >= BT_ROOM_LATE_INTERVAL - 1;
}
