#ifndef BILBERRYTRAY_REQUESTS_CRASH_TABLE_H
#define BILBERRYTRAY_REQUESTS_CRASH_TABLE_H

/** @file
 * Detects requests that crash the endpoints that run them.
 *
 * A crash is recorded when an endpoint's incarnation ended while it ran a request. All instances
 * share the set of crashes, so publishing a crash twice, late or out of order changes nothing. A
 * request with enough crashes is refused.
 *
 * A broken connection alone does not prove a crash, and neither does the end of an endpoint. A
 * broken attempt is a suspect until its endpoint's incarnation is known to have ended, or until
 * that incarnation answers a request sent later, which shows that it still runs. A complete answer
 * to a request removes all crashes and suspects of that request.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/identity.h"
#include "bilberrytray/requests/fingerprint.h"

/** One crash: a request and the endpoint incarnation that ended while it ran the request. */
typedef struct bt_crash
{
  bt_fingerprint_t request;
  bt_identity_t endpoint; /**< The incarnation that ended. */
  int64_t ended_ms; /**< When it ended, Unix time in ms; 0: unknown. Not part of the identity of
                       the crash. */
  bool at_start;    /**< It ended as the request began to run: no part of the answer had arrived,
                       and the endpoint did not wait for other ranks of its group. Not part of
                       the identity of the crash. */
} bt_crash_t;

/** What is done with a request that has crashes. */
typedef enum bt_crash_verdict
{
  BT_CRASH_RUN = 0, /**< It may run. */
  BT_CRASH_HOLD,    /**< It is refused for some time. */
  BT_CRASH_REFUSE,  /**< It is refused for as long as its crashes are kept. */
} bt_crash_verdict_t;

/** A crash in the list that all instances share. */
typedef struct bt_listed_crash
{
  bt_crash_t crash;
  int64_t revision; /**< Revision at which it was last published; above 0. */
} bt_listed_crash_t;

typedef struct bt_crash_options
{
  int32_t max_ends; /**< A request is refused once it has crashes at this many moments, or more
                       crashes than this. */
  int64_t hold_ms;  /**< How long a request is held after its first crash, where a crash stops a
                       rank group. */
  int64_t keep_ms;  /**< A crash expires this long after its request was last seen. */
  int64_t match_window_ms; /**< Longest time between a broken attempt and the report that its
                              endpoint ended, in either order. */
  int32_t max_crashes;     /**< Maximum number of crashes kept. */
  uint64_t seed;           /**< Seed of the random extension of keep_ms, which differs between
                              instances, so that one of them retracts a crash for all. */
} bt_crash_options_t;

/** Kind of an update of the list that all instances share. */
typedef enum bt_crash_update_kind
{
  BT_CRASH_PUBLISH = 0, /**< Add the crash, or renew it. */
  BT_CRASH_RETRACT,     /**< Remove the crash. */
} bt_crash_update_kind_t;

typedef struct bt_crash_update
{
  bt_crash_update_kind_t kind;
  bt_crash_t crash;
} bt_crash_update_t;

typedef struct bt_crash_table bt_crash_table_t;

/** Sets the defaults: a request is refused after crashes at three moments or four crashes, a hold
 * takes a minute, a crash is kept for an hour. */
void bt_default_crash_options (bt_crash_options_t *options);

bt_crash_table_t *bt_new_crash_table (bt_context_t *ctx, const bt_crash_options_t *options);

/** NULL is accepted. */
void bt_drop_crash_table (bt_context_t *ctx, bt_crash_table_t *table);

/** Notes that an attempt that may have run at an endpoint broke off. */
void bt_note_broken_attempt (bt_context_t *ctx,
                             bt_crash_table_t *table,
                             const bt_crash_t *attempt,
                             int64_t now_ms);

/** Notes that an incarnation of an endpoint ended unexpectedly. */
void bt_note_endpoint_end (bt_context_t *ctx,
                           bt_crash_table_t *table,
                           const bt_identity_t *endpoint,
                           int64_t now_ms);

/** Notes a complete answer to a request that was sent at @p sent_ms. It shows that the request
 * causes no crash, and that the incarnation that answered was still running at that time. */
void bt_note_complete_answer (bt_context_t *ctx,
                              bt_crash_table_t *table,
                              const bt_crash_t *attempt,
                              int64_t sent_ms);

/** Applies the current list of crashes that all instances share. A crash that was listed before and
 * is missing now is removed, since another instance retracted it.
 * @return the number of crashes left out because the table was full */
int32_t bt_apply_listed_crashes (bt_context_t *ctx,
                                 bt_crash_table_t *table,
                                 const bt_listed_crash_t *listed,
                                 int32_t count,
                                 int64_t now_ms);

/** Applies the first list after the store was restored from a backup, which may lack crashes. Those
 * that are missing are kept, and those that this instance reported are published again. */
void bt_apply_restored_crashes (bt_context_t *ctx,
                                bt_crash_table_t *table,
                                const bt_listed_crash_t *listed,
                                int32_t count,
                                int64_t now_ms);

/** Retracts crashes, and removes suspects and ended incarnations, that are too old. */
void bt_expire_crashes (bt_context_t *ctx, bt_crash_table_t *table, int64_t now_ms);

/** Number of crashes of all requests. While it is 0, no request has to be looked up. */
int32_t bt_count_known_crashes (const bt_crash_table_t *table);

/** True while there are broken attempts whose endpoint is not yet known to have ended or to run. */
bool bt_has_suspects (const bt_crash_table_t *table);

/** Number of crashes of a request. */
int32_t bt_count_crashes (const bt_crash_table_t *table, const bt_fingerprint_t *request);

/** Sets the difference between Unix time and the clock that @p now_ms of the other functions is
 * read from, in ms. */
void bt_set_crash_clock_offset (bt_crash_table_t *table, int64_t offset_ms);

/** Decides whether a request may run. @p stops_group is true if the end of an endpoint stops a
 * whole rank group. For a held request, @p retry_after_ms is the rest of the hold. */
bt_crash_verdict_t bt_judge_request (const bt_crash_table_t *table,
                                     const bt_fingerprint_t *request,
                                     bool stops_group,
                                     int64_t now_ms,
                                     int64_t *retry_after_ms);

/** Notes that a request with crashes runs once more after a hold. It is held again for other
 * callers until the run has ended. */
void
bt_begin_crash_trial (bt_crash_table_t *table, const bt_fingerprint_t *request, int64_t now_ms);

/** Notes that a refused request was sent again, so that its crashes are kept for longer. */
void bt_renew_crashes (bt_context_t *ctx,
                       bt_crash_table_t *table,
                       const bt_fingerprint_t *request,
                       int64_t now_ms);

/** Removes the next update for the shared list from the queue; false when the queue is empty. */
bool bt_take_crash_update (bt_crash_table_t *table, bt_crash_update_t *update);

#endif
