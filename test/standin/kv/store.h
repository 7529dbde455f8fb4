#ifndef STANDIN_KV_STORE_H
#define STANDIN_KV_STORE_H

/** @file
 * Keys, leases and history of the stand-in for the key-value service. Requests and answers are the
 * documents of the etcd v3 JSON gateway. Keys come back in the order they were made.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct bt_store bt_store_t;

bt_store_t *bt_new_store (void);

/** Remembers how things stand, for reads that are to be stale. */
void bt_snapshot_store (bt_store_t *store);

/** Each answers a request; the caller owns the answer. */
json_t *bt_answer_range (bt_store_t *store, const json_t *request, bool stale);
json_t *bt_answer_put (bt_store_t *store, const json_t *request);
json_t *bt_answer_txn (bt_store_t *store, const json_t *request);
json_t *bt_answer_grant (bt_store_t *store, const json_t *request);
json_t *bt_answer_renew (bt_store_t *store, const json_t *request);
json_t *bt_answer_revoke (bt_store_t *store, const json_t *request);

/** The revision now. */
int64_t bt_get_store_revision (bt_store_t *store);

/** Waits up to @p wait_ms for events on the watched keys from @p revision on. Returns the watch
 * answer, or NULL when there were none; moves @p revision behind what it gave. */
json_t *bt_wait_store_events (bt_store_t *store,
                              const json_t *create_request,
                              int64_t *revision,
                              int64_t wait_ms);

#endif
