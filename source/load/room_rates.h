#ifndef BILBERRYTRAY_SOURCE_LOAD_ROOM_RATES_H
#define BILBERRYTRAY_SOURCE_LOAD_ROOM_RATES_H

/** @file
 * What a room ledger remembers of the recent past: the starts of the last BT_ROOM_WINDOW_MS, and
 * events of the last seconds for each account and in all. All sizes are fixed.
 */

#include "bilberrytray/load/room_ledger.h"

enum
{
  BT_ROOM_RATE_MS = 2000, /* period of bt_room_rate_t */
  BT_ROOM_ACCOUNT_SETS = 128,
  BT_ROOM_ACCOUNT_WAYS = 4,
};

/** Grants and unasked starts, a ring in order of time. */
typedef struct bt_room_window
{
  int64_t times_ms[BT_ROOM_MAX_BURST];
  bool removed[BT_ROOM_MAX_BURST];
  uint64_t first;
  uint64_t end;
  int32_t count; /* without removed ones */
} bt_room_window_t;

/** Removes what is older than BT_ROOM_WINDOW_MS. */
void bt_advance_room_window (bt_room_window_t *window, int64_t now_ms);

/** Adds a start, in place of the oldest when the ring is full, and returns its index. */
uint64_t bt_add_room_start (bt_room_window_t *window, int64_t now_ms);

/** Removes the start of a grant that is not used. */
void bt_remove_room_start (bt_room_window_t *window, uint64_t index);

/** Returns the time at which the window has fewer than @p burst starts if none is added. The window
 * must have been advanced to @p now_ms. */
int64_t bt_get_room_window_ms (const bt_room_window_t *window, int32_t burst, int64_t now_ms);

/** Number of events in about the last BT_ROOM_RATE_MS. */
typedef struct bt_room_rate
{
  int64_t period; /* number of the present period */
  double now;
  double before; /* in the period before */
} bt_room_rate_t;

void bt_add_room_event (bt_room_rate_t *rate, int64_t now_ms);
double bt_get_room_events (const bt_room_rate_t *rate, int64_t now_ms);

/** Grants by account. Of the accounts that share a set the one with the fewest grants is
 * forgotten for another. */
typedef struct bt_room_accounts
{
  uint64_t accounts[BT_ROOM_ACCOUNT_SETS][BT_ROOM_ACCOUNT_WAYS];
  bt_room_rate_t rates[BT_ROOM_ACCOUNT_SETS][BT_ROOM_ACCOUNT_WAYS];
} bt_room_accounts_t;

void bt_add_account_grant (bt_room_accounts_t *accounts, uint64_t account, int64_t now_ms);
double bt_get_account_grants (const bt_room_accounts_t *accounts, uint64_t account, int64_t now_ms);

#endif
