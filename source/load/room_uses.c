#include "room_ledger_private.h"

static void
remove_tokens (bt_room_engine_t *engine, const bt_room_record_t *record)
{
  const int64_t tokens = bt_get_room_tokens (&record->ask);

  if (record->start_index >= engine->marked_starts)
    engine->marked_tokens -= tokens;
  if (record->start_index >= engine->starts_before)
    engine->unreported_tokens -= tokens;
}

static void
start_request (bt_room_ledger_t *ledger, bt_room_record_t *record)
{
  const int64_t tokens = bt_get_room_tokens (&record->ask);

  record->start_index = ledger->starts++;
  ledger->engine.marked_tokens += tokens;
  ledger->engine.unreported_tokens += tokens;
}

/* A late copy of this frame finds the id of an ended request, which stays known for some time. */
static void
start_unasked (
    bt_context_t *ctx, bt_room_ledger_t *ledger, uint64_t link, uint64_t id, int64_t now_ms)
{
  const bt_room_ask_t ask = { .id = id };

  bt_add_room_start (&ledger->window, now_ms);
  start_request (ledger,
                 bt_add_room_record (ctx, ledger->records, link, &ask, BT_ROOM_STATE_IN_FLIGHT));
}

static void
end_request (bt_context_t *ctx, bt_room_ledger_t *ledger, bt_room_record_t *record, int64_t now_ms)
{
  ledger->ends++;
  bt_add_room_event (&ledger->end_rate, now_ms);
  remove_tokens (&ledger->engine, record);
  bt_move_room_record (ctx, ledger->records, record, BT_ROOM_STATE_CLOSED);
}

/* Applies a use. Returns false if it has no effect. */
static bool
apply_use (bt_context_t *ctx,
           bt_room_ledger_t *ledger,
           uint64_t link,
           bt_room_use_t use,
           uint64_t id,
           int64_t now_ms)
{
  bt_room_record_t *record = bt_find_room_record (ledger->records, link, id);
  const bt_room_ask_t unknown = { .id = id };

  if (use == BT_ROOM_UNASKED && record == NULL && !bt_is_room_ledger_full (ledger))
    start_unasked (ctx, ledger, link, id, now_ms);
  else if (use == BT_ROOM_ENDED && record == NULL)
    {
      bt_add_room_record (ctx, ledger->records, link, &unknown, BT_ROOM_STATE_CLOSED);
      return false;
    }
  else if (record == NULL)
    return false;
  else if (use == BT_ROOM_STARTED && record->state == BT_ROOM_STATE_HELD)
    {
      ledger->held_tokens -= bt_get_room_tokens (&record->ask);
      bt_move_room_record (ctx, ledger->records, record, BT_ROOM_STATE_IN_FLIGHT);
      start_request (ledger, record);
    }
  else if (use == BT_ROOM_ENDED && record->state == BT_ROOM_STATE_IN_FLIGHT)
    end_request (ctx, ledger, record, now_ms);
  else if ((use == BT_ROOM_RELEASED || use == BT_ROOM_ENDED) && record->state == BT_ROOM_STATE_HELD)
    bt_cancel_room_hold (ctx, ledger, record);
  else if (use == BT_ROOM_WITHDRAWN && record->state == BT_ROOM_STATE_WAITING)
    bt_remove_room_record (ctx, ledger->records, record);
  else
    return false;
  return true;
}

void
bt_use_room (bt_context_t *ctx,
             bt_room_ledger_t *ledger,
             uint64_t link,
             bt_room_use_t use,
             uint64_t id,
             int64_t now_ms)
{
  bt_advance_room (ctx, ledger, now_ms);
  if (apply_use (ctx, ledger, link, use, id, now_ms))
    bt_advance_room (ctx, ledger, now_ms);
  else
    ledger->totals.ignored++;
}

/* Closes the holds and requests in flight of a link, or of all links. The engine's report continues
 * to count the requests until it shows that they have ended. */
static void
close_started (bt_context_t *ctx, bt_room_ledger_t *ledger, bool all_links, uint64_t link)
{
  for (int32_t state = BT_ROOM_STATE_HELD; state <= BT_ROOM_STATE_IN_FLIGHT; state++)
    {
      bt_room_record_t *record = bt_get_first_room_record (ledger->records, (bt_room_state_t)state);

      while (record != NULL)
        {
          bt_room_record_t *after = record->after;

          if (all_links || record->link == link)
            {
              if (record->state == BT_ROOM_STATE_HELD)
                bt_cancel_room_hold (ctx, ledger, record);
              else
                bt_move_room_record (ctx, ledger->records, record, BT_ROOM_STATE_CLOSED);
            }
          record = after;
        }
    }
}

void
bt_remove_room_link (bt_context_t *ctx, bt_room_ledger_t *ledger, uint64_t link, int64_t now_ms)
{
  bt_advance_room (ctx, ledger, now_ms);
  close_started (ctx, ledger, false, link);
  for (int32_t state = 0; state < BT_ROOM_STATES; state++)
    {
      bt_room_record_t *record = bt_get_first_room_record (ledger->records, (bt_room_state_t)state);

      while (record != NULL)
        {
          bt_room_record_t *after = record->after;

          if (record->link == link)
            bt_remove_room_record (ctx, ledger->records, record);
          record = after;
        }
    }
  bt_advance_room (ctx, ledger, now_ms);
}

void
bt_mark_room_report (bt_room_ledger_t *ledger)
{
  ledger->engine.marked_starts = ledger->starts;
  ledger->engine.marked_tokens = 0;
}

void
bt_report_room (bt_context_t *ctx,
                bt_room_ledger_t *ledger,
                const bt_room_report_t *report,
                int64_t now_ms)
{
  bt_room_engine_t *engine = &ledger->engine;
  const int64_t known_ms = engine->report.started_ms;

  bt_advance_room (ctx, ledger, now_ms);
  if (known_ms != 0 && report->started_ms != 0 && report->started_ms != known_ms)
    {
      close_started (ctx, ledger, true, 0);
      engine->marked_tokens = 0;
      ledger->backlog_end_us = 0;
    }
  engine->report = *report;
  if (report->started_ms == 0)
    engine->report.started_ms = known_ms;
  engine->reported = true;
  engine->reported_ms = now_ms;
  engine->starts_before = engine->marked_starts;
  engine->ends_before = ledger->ends;
  engine->unreported_tokens = engine->marked_tokens;
  bt_advance_room (ctx, ledger, now_ms);
}
