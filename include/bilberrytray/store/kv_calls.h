#ifndef BILBERRYTRAY_STORE_KV_CALLS_H
#define BILBERRYTRAY_STORE_KV_CALLS_H

/** @file
 * The HTTP calls of a key-value client, whatever the service's protocol: one connection for calls
 * and one for watches, a bound on the rate, a back-off after failures, and counters. Include it
 * from an implementation of bt_kv_t only.
 */

#include "bilberrytray/store/http_client.h"
#include "bilberrytray/store/kv.h"

/** What is asked of the service. */
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

/** Reads an answer, which is gone afterwards. False with the error when it is no good. */
typedef bool (*bt_take_kv_answer_t) (bt_context_t *ctx,
                                     void *data,
                                     const bt_http_answer_t *answer,
                                     bt_error_t *error);

bt_kv_calls_t *bt_new_kv_calls (bt_context_t *ctx, const bt_kv_settings_t *settings);

/** NULL is accepted. */
void bt_drop_kv_calls (bt_context_t *ctx, bt_kv_calls_t *calls);

/** Makes waiting and later calls end soon. */
void bt_cancel_kv_calls (bt_kv_calls_t *calls);

/** The name of a call in messages and counters. */
const char *bt_name_kv_call (bt_kv_call_t kind);

/** Makes one call and has @p take read the answer. Calls that are no watch wait for each other, and
 * so do watches. */
bool bt_make_kv_call (bt_context_t *ctx,
                      bt_kv_calls_t *calls,
                      bt_kv_call_t kind,
                      const bt_http_request_t *request,
                      bt_take_kv_answer_t take,
                      void *data,
                      bt_error_t *error);

#endif
