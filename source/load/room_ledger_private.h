#ifndef BILBERRYTRAY_SOURCE_LOAD_ROOM_LEDGER_PRIVATE_H
#define BILBERRYTRAY_SOURCE_LOAD_ROOM_LEDGER_PRIVATE_H

/** @file
 * State shared by the parts of the room ledger: its rules, asks, and uses and reports.
 */

#include "bilberrytray/load/room_ledger.h"
#include "room_rates.h"
#include "room_records.h"

enum
{
  BT_US_PER_MS = 1000,
};

/** What the last report of the engine says, and what is to be added to it. */
typedef struct bt_room_engine
{
  bool reported;
  bt_room_report_t report;
  int64_t reported_ms;
  uint64_t marked_starts;    /* starts when the report that is under way was requested */
  uint64_t starts_before;    /* starts before the last report was requested */
  uint64_t ends_before;      /* ends before the last report arrived */
  int64_t marked_tokens;     /* tokens of requests in flight that started after the last mark */
  int64_t unreported_tokens; /* the same for the mark of the last report */
} bt_room_engine_t;

struct bt_room_ledger
{
  bt_room_records_t *records;
  bt_room_window_t window;
  bt_room_accounts_t accounts;
  bt_room_rate_t end_rate;
  bt_room_engine_t engine;
  int64_t blind_until_ms; /* until then earlier starts are not known */
  uint64_t starts;
  uint64_t ends;
  int64_t held_tokens;
  int64_t backlog_end_us; /* when the engine has read all granted prompts */
  int32_t late_turn;      /* grants since the last one for the oldest late ask */
  uint64_t next_order;
  bt_room_counts_t totals;
  bt_room_reply_t *replies;
  int32_t reply_count;
  int32_t reply_capacity;
  int32_t next_reply;
};

/** The waiting asks that may be granted next. */
typedef struct bt_room_candidates
{
  bt_room_record_t *first;       /* the first in order */
  bt_room_record_t *oldest_late; /* the late one that has waited longest */
} bt_room_candidates_t;

int32_t bt_count_ledger_records (const bt_room_ledger_t *ledger, bt_room_state_t state);

/** Returns true if there is a report that is recent enough to be used. */
bool bt_is_room_report_current (const bt_room_ledger_t *ledger, int64_t now_ms);

/** Returns the requests in flight, by the engine's report or by the ledger, and the holds. */
int32_t bt_get_room_load (const bt_room_ledger_t *ledger, int64_t now_ms);

int64_t bt_get_room_tokens (const bt_room_ask_t *ask);

bool bt_is_room_ask_late (const bt_room_record_t *record, int64_t now_ms);

/** Returns when an ask that nothing goes before can be granted: @p now_ms or earlier for now,
 * INT64_MAX if an event must come first. */
int64_t bt_get_room_grant_ms (const bt_room_ledger_t *ledger,
                              const bt_room_record_t *record,
                              bool late_turn,
                              int64_t now_ms);

/** Order of waiting asks. */
bool bt_goes_room_ask_before (const bt_room_ledger_t *ledger,
                              const bt_room_record_t *left,
                              const bt_room_record_t *right,
                              int64_t now_ms);

bt_room_candidates_t bt_find_room_candidates (const bt_room_ledger_t *ledger, int64_t now_ms);

/** Returns true if the next grant is for the oldest late ask. */
bool bt_is_late_room_turn (const bt_room_ledger_t *ledger, const bt_room_candidates_t *found);

void bt_add_room_reply (bt_context_t *ctx,
                        bt_room_ledger_t *ledger,
                        const bt_room_record_t *record,
                        bt_room_verdict_t verdict,
                        int64_t now_ms,
                        int64_t wait_ms);

/** Turns a waiting ask into a hold. */
void bt_grant_room (bt_context_t *ctx,
                    bt_room_ledger_t *ledger,
                    bt_room_record_t *record,
                    const bt_room_candidates_t *found,
                    int64_t now_ms);

/** Removes a hold whose request does not run. */
void bt_cancel_room_hold (bt_context_t *ctx, bt_room_ledger_t *ledger, bt_room_record_t *record);

/** Returns true if no more asks and requests can be recorded. */
bool bt_is_room_ledger_full (const bt_room_ledger_t *ledger);

#endif
