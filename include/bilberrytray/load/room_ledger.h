#ifndef BILBERRYTRAY_LOAD_ROOM_LEDGER_H
#define BILBERRYTRAY_LOAD_ROOM_LEDGER_H

/** @file
 * The ledger of the agent beside an engine: decides which request of any entry may start there
 * next. It holds the requests in flight, the holds (granted, not yet started) and the asks that
 * wait. Events go in with a time, replies come out of bt_next_room_reply. Every event first removes
 * expired holds, and then grants what waits and has become possible. Not thread-safe: the calling
 * code holds one lock for it.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_room_ledger bt_room_ledger_t;

enum
{
  BT_ROOM_HOLD_MS = 150,     /**< An unused hold expires after this time. */
  BT_ROOM_WINDOW_MS = 400,   /**< Period in which at most `burst` requests start. */
  BT_ROOM_MAX_WAITING = 256, /**< Maximum number of waiting asks. */
  BT_ROOM_MAX_BURST = 1024,  /**< A greater burst counts as this one. */
  BT_ROOM_MAX_KNOWN = 16384, /**< Maximum number of asks, holds and requests in flight. */
  BT_ROOM_LATE_INTERVAL = 8, /**< While late asks wait, one in this many grants is for them. */
  BT_ROOM_REPORT_MS = 5000,  /**< An engine's report is not used after this time. */
};

/** An entry's request for capacity. */
typedef struct bt_room_ask
{
  uint64_t id; /**< Unique on its link. */
  int32_t priority;
  int64_t target_left_ms; /**< Time until it has to start to be in time; negative: late. */
  int64_t prompt_tokens;
  int64_t answer_tokens;
  int64_t read_us; /**< Time that the engine takes to read the prompt. */
  int32_t slots;
  int32_t depth; /**< Requests beyond the slots that the engine may hold. */
  int32_t burst; /**< Maximum number of starts within BT_ROOM_WINDOW_MS. */
  bool wait;     /**< Keep the ask until there is capacity. */
  uint64_t account;
  int32_t share; /**< Weight of the account; 0 counts as 1. */
} bt_room_ask_t;

typedef enum bt_room_verdict
{
  BT_ROOM_GRANTED = 1,
  BT_ROOM_DENIED,
  BT_ROOM_DISPLACED, /**< It waited, and a more urgent ask took its place. */
} bt_room_verdict_t;

/** An answer to an ask, for the link that it came on. */
typedef struct bt_room_reply
{
  uint64_t link;
  uint64_t id;
  bt_room_verdict_t verdict;
  int32_t load;    /**< Requests in flight and held. */
  int32_t waiting; /**< Asks that wait. */
  int64_t hold_ms; /**< Of a grant: time until the hold expires. */
  int64_t wait_ms; /**< Of a denial: expected time until there is capacity; 0: not known. */
} bt_room_reply_t;

/** What an entry did with a request. */
typedef enum bt_room_use
{
  BT_ROOM_STARTED = 0, /**< The granted request was sent. */
  BT_ROOM_UNASKED,     /**< A request was sent without an ask. */
  BT_ROOM_ENDED,       /**< A request ended. */
  BT_ROOM_RELEASED,    /**< The grant is not used. */
  BT_ROOM_WITHDRAWN,   /**< The ask need not wait any longer. */
} bt_room_use_t;

/** The part of an engine's report that the ledger uses. */
typedef struct bt_room_report
{
  int32_t running;
  int32_t queued;
  int64_t memory_used; /**< Tokens that cannot be evicted. */
  int64_t memory;      /**< Capacity in tokens; 0: not reported. */
  int64_t started_ms;  /**< Identifies the engine's incarnation; 0: not reported. */
} bt_room_report_t;

/** Current numbers, and totals since the ledger was created. */
typedef struct bt_room_counts
{
  int32_t load;
  int32_t in_flight;
  int32_t held;
  int32_t waiting;
  int64_t granted;
  int64_t denied;
  int64_t displaced;
  int64_t expired; /**< Holds that expired. */
  int64_t ignored; /**< Ids without effect: unknown, duplicate, late, or over a bound. */
} bt_room_counts_t;

/** @p started_ms is when the agent started. A restarted agent does not know which requests have
 * started at its engine lately, so for BT_ROOM_WINDOW_MS it grants only what an engine that reports
 * to be idle can take. */
bt_room_ledger_t *bt_new_room_ledger (bt_context_t *ctx, int64_t started_ms);

/** NULL is accepted. */
void bt_drop_room_ledger (bt_context_t *ctx, bt_room_ledger_t *ledger);

/** Decides on an ask. Asks of an id that is known on @p link, or had a grant there recently, are
 * ignored. The fields must not be negative, except the target. */
void bt_ask_room (bt_context_t *ctx,
                  bt_room_ledger_t *ledger,
                  uint64_t link,
                  const bt_room_ask_t *ask,
                  int64_t now_ms);

/** Records what an entry did with a request. */
void bt_use_room (bt_context_t *ctx,
                  bt_room_ledger_t *ledger,
                  uint64_t link,
                  bt_room_use_t use,
                  uint64_t id,
                  int64_t now_ms);

/** Removes everything that came on a link. */
void
bt_remove_room_link (bt_context_t *ctx, bt_room_ledger_t *ledger, uint64_t link, int64_t now_ms);

/** Records that a report is being requested from the engine. Requests that start after this call
 * may be missing from it. */
void bt_mark_room_report (bt_room_ledger_t *ledger);

/** Takes in the report that was requested at the last bt_mark_room_report. */
void bt_report_room (bt_context_t *ctx,
                     bt_room_ledger_t *ledger,
                     const bt_room_report_t *report,
                     int64_t now_ms);

/** Removes expired holds and grants what has become possible. Call it at the time that
 * bt_get_room_wake_ms returns. */
void bt_advance_room (bt_context_t *ctx, bt_room_ledger_t *ledger, int64_t now_ms);

/** Returns the time at which bt_advance_room has something to do if no event arrives before;
 * INT64_MAX: never. */
int64_t bt_get_room_wake_ms (const bt_room_ledger_t *ledger, int64_t now_ms);

/** Returns the next reply in @p reply; false if there is none. Call it after each event until it
 * returns false. */
bool bt_next_room_reply (bt_room_ledger_t *ledger, bt_room_reply_t *reply);

void bt_count_room (const bt_room_ledger_t *ledger, int64_t now_ms, bt_room_counts_t *counts);

#endif
