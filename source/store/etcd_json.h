#ifndef BILBERRYTRAY_SOURCE_ETCD_JSON_H
#define BILBERRYTRAY_SOURCE_ETCD_JSON_H

/** @file
 * Reads and writes the JSON of the etcd v3 gateway, which has keys and values in base64 and 64-bit
 * numbers as strings.
 */

#include <jansson.h>

#include "bilberrytray/store/kv.h"

/** Returns bytes as a JSON string in base64. */
json_t *bt_encode_etcd_bytes (bt_context_t *ctx, const char *data, size_t bytes);

/** Returns a number as a JSON string. */
json_t *bt_encode_etcd_number (int64_t number);

/** Reads a number that is a JSON string or a JSON number. A missing number is 0, since the gateway
 * omits zeros. */
int64_t bt_decode_etcd_number (const json_t *object, const char *name);

/** Return request bodies, which the caller releases with free. */
char *bt_write_etcd_range (bt_context_t *ctx, const char *key, bool prefix, int64_t min_revision);
char *bt_write_etcd_put (bt_context_t *ctx, const bt_kv_write_t *write);
char *bt_write_etcd_txn (bt_context_t *ctx, const bt_kv_txn_t *txn);
char *bt_write_etcd_watch (bt_context_t *ctx, const char *prefix, int64_t start_revision);
char *bt_write_etcd_lease (int64_t lease, int64_t ttl_s);

/** Reads the answer to a range request. Of a @p prefix, a pair that can't be read is left out and
 * logged. False if the answer is malformed, or the single pair that was asked for. */
bool
bt_read_etcd_range (bt_context_t *ctx, const json_t *answer, bool prefix, bt_kv_range_t *range);

/** Returns the revision in an answer's header, or 0 without one. */
int64_t bt_read_etcd_revision (const json_t *answer);

#endif
