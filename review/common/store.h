#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

/** @file
 * Stand-in for the platform's store, as PROTOCOL describes it, without faults: items, ranges,
 * watches, transactions and leases, which end by time.
 */

#include <stdint.h>

typedef struct rv_store rv_store_t;

/** Creates a store; @p port gets its port. */
rv_store_t *rv_start_store (int32_t *port);

/** Writes an item as the operator or a runner does. Returns when the store has confirmed it. */
void rv_put_item (rv_store_t *store, const char *key, const char *value);

#endif
