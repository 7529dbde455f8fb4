#ifndef BILBERRYTRAY_STORE_KV_CALLS_H
#define BILBERRYTRAY_STORE_KV_CALLS_H

/** @file
 * The HTTP calls of a key-value client, independent of the store's protocol: one connection for
 * calls and one for watches, a rate limit, backoff after failures, and counters. Only for
 * implementations of bt_kv_t.
 */

#include "bilberrytray/store/http_client.h"
#include "bilberrytray/store/kv.h"

/** Kinds of calls to the store. */
typedef enum bt_kv_call
{
  BT_KV_CALL_RANGE = 0,
  BT_KV_CALL_PUT,
  BT_KV_CALL_TXN,
  BT_KV_CALL_GRANT,
  BT_KV_CALL_RENEW,
  BT_KV_CALL_REVOKE,
  BT_KV_CALL_WATCH,
  BT_KV_CALL_COUNT,
} bt_kv_call_t;

typedef struct bt_kv_calls bt_kv_calls_t;

/** Parses an answer, which is only valid during the call. False with @p error set if it is invalid.
 */
typedef bool (*bt_parse_kv_answer_t) (bt_context_t *ctx,
                                      void *data,
                                      const bt_http_answer_t *answer,
                                      bt_error_t *error);

bt_kv_calls_t *bt_new_kv_calls (bt_context_t *ctx, const bt_kv_settings_t *settings);

/** NULL is accepted. */
void bt_drop_kv_calls (bt_context_t *ctx, bt_kv_calls_t *calls);

/** Aborts calls in progress and makes later calls fail. */
void bt_cancel_kv_calls (bt_kv_calls_t *calls);

/** Returns the name of a kind of call for messages and counters. */
const char *bt_name_kv_call (bt_kv_call_t kind);

/** Makes one call and parses the answer with @p parse. Watches run one at a time, and so do all
 * other calls; the two groups do not block each other. */
bool bt_make_kv_call (bt_context_t *ctx,
                      bt_kv_calls_t *calls,
                      bt_kv_call_t kind,
                      const bt_http_request_t *request,
                      bt_parse_kv_answer_t parse,
                      void *data,
                      bt_error_t *error);

#endif
