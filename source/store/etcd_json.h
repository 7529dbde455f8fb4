#ifndef BILBERRYTRAY_SOURCE_ETCD_JSON_H
#define BILBERRYTRAY_SOURCE_ETCD_JSON_H

/** @file
 * The documents of the etcd v3 JSON gateway: keys and values in base64, 64-bit numbers as strings.
 */

#include <jansson.h>

#include "bilberrytray/store/kv.h"

/** A JSON string that holds bytes in base64. */
json_t *bt_encode_etcd_bytes (bt_context_t *ctx, const char *data, size_t bytes);

/** A JSON string that holds a number. */
json_t *bt_encode_etcd_number (int64_t number);

/** Reads a number given as a string or plainly; a missing one is 0, as the gateway leaves zeros
 * out. */
int64_t bt_decode_etcd_number (const json_t *object, const char *name);

/** Bodies of requests; the caller frees them with free. */
char *bt_write_etcd_range (bt_context_t *ctx, const char *key, bool prefix, int64_t min_revision);
char *bt_write_etcd_put (bt_context_t *ctx, const bt_kv_write_t *write);
char *bt_write_etcd_txn (bt_context_t *ctx, const bt_kv_txn_t *txn);
char *bt_write_etcd_watch (bt_context_t *ctx, const char *prefix, int64_t start_revision);
char *bt_write_etcd_lease (int64_t lease, int64_t life_s);

/** Reads the answer to a range. False when it is malformed. */
bool bt_read_etcd_range (bt_context_t *ctx, const json_t *answer, bt_kv_range_t *range);

/** The revision in an answer's header; 0 when there is none. */
int64_t bt_read_etcd_revision (const json_t *answer);

#endif
