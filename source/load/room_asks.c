#include "room_ledger_private.h"

/* Returns the expected time until an ask can be granted: until the blocking condition ends if only
 * time is missing, or else by the rate at which requests ended lately. */
static int64_t
estimate_wait_ms (const bt_room_ledger_t *ledger,
                  const bt_room_record_t *record,
                  bool goes_first,
                  int64_t now_ms)
{
  const double ends = bt_get_room_events (&ledger->end_rate, now_ms);
  const int64_t grant_ms = bt_get_room_grant_ms (ledger, record, false, now_ms);
  int64_t needed =
      (int64_t)bt_get_room_load (ledger, now_ms) + 1 - record->ask.slots - record->ask.depth;

  if (goes_first && grant_ms != INT64_MAX)
    return grant_ms - now_ms;
  if (needed < 1)
    needed = 1;
  if (!goes_first)
    needed += bt_count_ledger_records (ledger, BT_ROOM_STATE_WAITING) - 1;
  return ends > 0 ? (int64_t)((double)needed * BT_ROOM_RATE_MS / ends) : 0;
}

/* Returns the last waiting ask in order. The late one that has waited longest is left out, since
 * its turn comes. */
static bt_room_record_t *
find_last (const bt_room_ledger_t *ledger, const bt_room_record_t *oldest_late, int64_t now_ms)
{
  bt_room_record_t *record = bt_get_first_room_record (ledger->records, BT_ROOM_STATE_WAITING);
  bt_room_record_t *last = NULL;

  for (; record != NULL; record = record->after)
    if (record != oldest_late
        && (last == NULL || bt_goes_room_ask_before (ledger, last, record, now_ms)))
      last = record;
  return last;
}

/* Returns true if the ask may wait, if necessary in place of the last in order. */
static bool
make_place (bt_context_t *ctx,
            bt_room_ledger_t *ledger,
            const bt_room_record_t *asking,
            const bt_room_candidates_t *found,
            int64_t now_ms)
{
  bt_room_record_t *last;

  if (bt_count_ledger_records (ledger, BT_ROOM_STATE_WAITING) < BT_ROOM_MAX_WAITING)
    return true;
  last = find_last (ledger, found->oldest_late, now_ms);
  if (last == NULL || !bt_goes_room_ask_before (ledger, asking, last, now_ms))
    return false;
  ledger->totals.displaced++;
  bt_add_room_reply (ctx, ledger, last, BT_ROOM_DISPLACED, now_ms, 0);
  bt_remove_room_record (ctx, ledger->records, last);
  return true;
}

bool
bt_is_room_ledger_full (const bt_room_ledger_t *ledger)
{
  return bt_count_ledger_records (ledger, BT_ROOM_STATE_WAITING)
             + bt_count_ledger_records (ledger, BT_ROOM_STATE_HELD)
             + bt_count_ledger_records (ledger, BT_ROOM_STATE_IN_FLIGHT)
         >= BT_ROOM_MAX_KNOWN;
}

static bt_room_record_t *
add_waiting (bt_context_t *ctx, bt_room_ledger_t *ledger, const bt_room_record_t *asking)
{
  bt_room_record_t *record =
      bt_add_room_record (ctx, ledger->records, asking->link, &asking->ask, BT_ROOM_STATE_WAITING);

  record->order = asking->order;
  record->target_ms = asking->target_ms;
  return record;
}

void
bt_ask_room (bt_context_t *ctx,
             bt_room_ledger_t *ledger,
             uint64_t link,
             const bt_room_ask_t *ask,
             int64_t now_ms)
{
  const bt_room_record_t asking = { .link = link,
                                    .ask = *ask,
                                    .order = ledger->next_order++,
                                    .target_ms = now_ms + ask->target_left_ms };
  const bool possible = (int64_t)ask->slots + ask->depth > 0;
  bt_room_candidates_t found;
  bool goes_first;

  bt_advance_room (ctx, ledger, now_ms);
  if (bt_find_room_record (ledger->records, link, ask->id) != NULL)
    {
      ledger->totals.ignored++;
      return;
    }
  found = bt_find_room_candidates (ledger, now_ms);
  goes_first =
      !bt_is_late_room_turn (ledger, &found)
      && (found.first == NULL || bt_goes_room_ask_before (ledger, &asking, found.first, now_ms));
  if (goes_first && !bt_is_room_ledger_full (ledger)
      && bt_get_room_grant_ms (ledger, &asking, false, now_ms) <= now_ms)
    bt_grant_room (ctx, ledger, add_waiting (ctx, ledger, &asking), &found, now_ms);
  else if (ask->wait && possible && !bt_is_room_ledger_full (ledger)
           && make_place (ctx, ledger, &asking, &found, now_ms))
    add_waiting (ctx, ledger, &asking);
  else
    {
      ledger->totals.denied++;
      bt_add_room_reply (ctx, ledger, &asking, BT_ROOM_DENIED, now_ms,
                         possible ? estimate_wait_ms (ledger, &asking, goes_first, now_ms) : 0);
    }
}
