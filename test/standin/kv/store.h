#ifndef STANDIN_KV_STORE_H
#define STANDIN_KV_STORE_H

/** @file
 * Keys, leases and history of the stand-in for the key-value store. Requests and answers are the
 * documents of the etcd v3 JSON gateway. Keys are returned in the order in which they were created.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct bt_store bt_store_t;

bt_store_t *bt_new_store (void);

/** Saves the current keys and revision for stale reads. */
void bt_snapshot_store (bt_store_t *store);

/** These functions handle a request and return the answer, which the caller owns. A stale range
 * returns the keys of the last snapshot. */
json_t *bt_answer_range (bt_store_t *store, const json_t *request, bool stale);
json_t *bt_answer_put (bt_store_t *store, const json_t *request);
json_t *bt_answer_txn (bt_store_t *store, const json_t *request);
json_t *bt_answer_grant (bt_store_t *store, const json_t *request);
json_t *bt_answer_renew (bt_store_t *store, const json_t *request);
json_t *bt_answer_revoke (bt_store_t *store, const json_t *request);

/** Returns the current revision. */
int64_t bt_get_store_revision (bt_store_t *store);

/** Waits up to @p wait_ms for a revision from @p revision on. Returns a watch answer with the
 * events on the watched keys, or NULL when there are none. Sets @p revision to the one after the
 * current revision. */
json_t *bt_wait_store_events (bt_store_t *store,
                              const json_t *create_request,
                              int64_t *revision,
                              int64_t wait_ms);

#endif
