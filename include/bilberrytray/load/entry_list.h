#ifndef BILBERRYTRAY_LOAD_ENTRY_LIST_H
#define BILBERRYTRAY_LOAD_ENTRY_LIST_H

/** @file
 * The list of the entries that share the endpoints, as one entry knows it, and that entry's share
 * of a limit that an endpoint has named for all of them together.
 *
 * The limit is divided without a message: every entry computes its share from the list alone. The
 * platform tolerates one and a half times the limit and 5 requests more in any 4 s. With K entries
 * that each wait K / limit between two requests, no 4 s hold more than 4 s x limit + K requests,
 * whenever each of them sends. So all entries have a share while that sum is tolerated; of more
 * entries, rendezvous hashing gives a share to a few.
 *
 * Entries learn of a change of the list at different times. An entry whose share shrinks obeys at
 * once, and one whose share grows waits until every entry knows the new list and what was sent
 * under the old one no longer counts.
 *
 * An entry without a share gets no answer that tells it that the limit has ended. It may send a
 * probe after a long time, drawn by a hash, so that all entries together send one probe in
 * BT_PROBE_INTERVAL_MS on average.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/identity.h"

enum
{
  /** Mean interval of the probes of all entries without a share, ms. */
  BT_PROBE_INTERVAL_MS = 30000,
  /** How long a list must have been unchanged before a larger share under it may be used, ms: the
   * time in which all entries learn of a change, and that in which the platform counts requests. */
  BT_LIST_SETTLE_MS = 8000,
};

typedef struct bt_entry_list bt_entry_list_t;

/** An entry's share of a limit. */
typedef struct bt_limit_share
{
  int64_t interval_ms; /**< Least time between two requests; 0: none may be sent. */
  int64_t first_ms;    /**< Least time before the first request. It differs between the entries. */
  bool is_probe;       /**< The entry may only ask whether the limit has ended. */
} bt_limit_share_t;

/** Creates the empty list of the entry @p instance. */
bt_entry_list_t *bt_new_entry_list (bt_context_t *ctx, const char *instance);

/** NULL is accepted. */
void bt_drop_entry_list (bt_context_t *ctx, bt_entry_list_t *list);

/** Sets the names of all listed entries. Returns true if they have changed. */
bool bt_set_listed_names (bt_context_t *ctx,
                          bt_entry_list_t *list,
                          const char *const *names,
                          int32_t count,
                          int64_t now_ms);

/** Returns from when on a larger share under this list may be used. */
int64_t bt_get_list_settled_ms (const bt_entry_list_t *list);

/** Computes this entry's share of a limit of @p per_s requests per second, at least 0, that
 * @p endpoint has named. An entry that is not listed has none: it does not know how many there
 * are. */
bt_limit_share_t
bt_get_limit_share (const bt_entry_list_t *list, const char *endpoint, double per_s);

#endif
