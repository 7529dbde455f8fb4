#ifndef BILBERRYTRAY_LOAD_ENDPOINT_LIMIT_H
#define BILBERRYTRAY_LOAD_ENDPOINT_LIMIT_H

/** @file
 * The limit that an endpoint in need names in its answers: the requests per second that it takes
 * from all entries together, for as long as its answers name it. This entry keeps its share of it.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/load/entry_list.h"

/** A time that never comes, ms. */
#define BT_NEVER_MS INT64_MAX

/** What the head of an answer says about the endpoint's limit. */
typedef struct bt_limit_notice
{
  bool named;              /**< The answer names a limit. */
  double per_s;            /**< The limit, in requests per second, at least 0. */
  bool authentic;          /**< The answer is certainly the endpoint's own, so that the absence of a
                              limit means that there is none. */
  int64_t request_sent_ms; /**< When the answered request was sent. */
} bt_limit_notice_t;

/** How an answer changes what is known of an endpoint's limit. */
typedef enum bt_limit_change
{
  BT_LIMIT_UNCHANGED = 0,
  BT_LIMIT_NAMED,   /**< The endpoint had no limit before. */
  BT_LIMIT_CHANGED, /**< It names another value. */
  BT_LIMIT_ENDED,   /**< It names no limit any more. */
} bt_limit_change_t;

/** Knowledge of one endpoint's limit; zeroed: none is named. */
typedef struct bt_endpoint_limit
{
  bool named;
  double per_s;            /**< Valid while named, like all that follows. */
  int64_t named_ms;        /**< When this entry first learned of it. */
  int64_t sent;            /**< Requests sent to the endpoint since then. */
  int64_t sent_ms;         /**< When the last one was sent; 0: none was. */
  bt_limit_share_t share;  /**< The share in force. */
  int64_t next_ms;         /**< When it allows the next request. */
  bt_limit_share_t larger; /**< The share that follows. */
  int64_t larger_from_ms;  /**< From when on; 0: none follows. */
} bt_endpoint_limit_t;

/** Records the head of an answer. Answers may overtake each other: one without a limit counts only
 * if its request was sent after the limit became known. After BT_LIMIT_NAMED and BT_LIMIT_CHANGED
 * the calling code sets the share; before that, none may be sent. */
bt_limit_change_t bt_record_limit_notice (bt_endpoint_limit_t *limit,
                                          const bt_limit_notice_t *notice,
                                          int64_t now_ms);

/** Sets this entry's share of a named limit. A smaller one is in force at once, a larger one from
 * @p settled_ms on. */
void bt_set_limit_share (bt_endpoint_limit_t *limit,
                         const bt_limit_share_t *share,
                         int64_t settled_ms,
                         int64_t now_ms);

/** Records that a request was sent to the endpoint. */
void bt_record_limited_dispatch (bt_endpoint_limit_t *limit, int64_t now_ms);

/** Returns the share that was set last, in force or not. */
const bt_limit_share_t *bt_get_latest_limit_share (const bt_endpoint_limit_t *limit);

/** Returns when the next request may be sent, which is in the past if it may be sent now; 0 without
 * a limit, BT_NEVER_MS if this entry has no share and expects none. */
int64_t bt_get_limit_resume_ms (const bt_endpoint_limit_t *limit);

#endif
