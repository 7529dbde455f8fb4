#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "bilberrytray/base/json_text.h"
#include "bilberrytray/store/kv_calls.h"
#include "etcd_json.h"

enum
{
  URL_BYTES = 256,
  PATH_BYTES = 32,
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  HTTP_REQUEST_TIMEOUT = 408,
  HTTP_CLIENT_CLOSED = 499,
  GRPC_NOT_FOUND = 5,
};

static const char *const call_paths[] = {
  "/v3/kv/range",        "/v3/kv/put",       "/v3/kv/txn", "/v3/lease/grant",
  "/v3/lease/keepalive", "/v3/lease/revoke", "/v3/watch"
};

typedef struct etcd_kv
{
  bt_kv_t base;
  bt_kv_calls_t *calls;
  char urls[BT_KV_CALL_COUNT][URL_BYTES];
} etcd_kv_t;

/* True for a status that the gateway returns before it executes a request. Any other failure,
 * including a timeout inside the store, can occur after the request took effect. */
static bool
is_certain_refusal (int32_t status)
{
  return status >= HTTP_BAD_REQUEST && status < HTTP_CLIENT_CLOSED
         && status != HTTP_REQUEST_TIMEOUT;
}

static bool
set_status_error (const bt_http_answer_t *answer, bt_kv_call_t kind, bt_error_t *error)
{
  json_t *body = bt_load_json (answer->body, answer->body_bytes, 0, NULL);
  const char *message = json_string_value (json_object_get (body, "message"));
  bool missing = bt_decode_etcd_number (body, "code") == GRPC_NOT_FOUND;
  bt_error_code_t code = BT_ERROR_TIMEOUT;

  if (missing || answer->status == HTTP_NOT_FOUND)
    code = BT_ERROR_NOT_FOUND;
  else if (is_certain_refusal (answer->status))
    code = BT_ERROR_REFUSED;
  bt_set_error (error, code, "The key-value store answered %s with status %d: %s",
                bt_name_kv_call (kind), (int)answer->status,
                message == NULL ? "no message" : message);
  json_decref (body);
  return false;
}

/* Output of parse_answer, and the kind of call for its messages. */
typedef struct parsed_answer
{
  bt_kv_call_t kind;
  json_t *document;
} parsed_answer_t;

static bool
parse_answer (bt_context_t *ctx, void *data, const bt_http_answer_t *answer, bt_error_t *error)
{
  parsed_answer_t *parsed = data;
  json_error_t place;

  (void)ctx;
  if (answer->status != HTTP_OK)
    return set_status_error (answer, parsed->kind, error);
  parsed->document = bt_load_json (answer->body, answer->body_bytes, 0, &place);
  if (parsed->document == NULL)
    return bt_set_error (error, BT_ERROR_CLOSED,
                         "The answer to %s is not valid JSON at byte %d: %s",
                         bt_name_kv_call (parsed->kind), place.position, place.text);
  return true;
}

/* Posts a body, frees it, and parses the answer. */
static bool
call_store (bt_context_t *ctx,
            etcd_kv_t *kv,
            bt_kv_call_t kind,
            char *body,
            json_t **document,
            bt_error_t *error)
{
  bt_http_request_t request = { .url = kv->urls[kind], .body = body };
  parsed_answer_t parsed = { .kind = kind };
  bool succeeded = bt_make_kv_call (ctx, kv->calls, kind, &request, parse_answer, &parsed, error);

  free (body);
  *document = parsed.document;
  return succeeded;
}

static bool
etcd_read_range (bt_context_t *ctx,
                 bt_kv_t *base,
                 const char *key,
                 bool prefix,
                 int64_t min_revision,
                 bt_kv_range_t *range,
                 bt_error_t *error)
{
  char *body = bt_write_etcd_range (ctx, key, prefix, min_revision);
  json_t *answer;
  bool valid;

  if (!call_store (ctx, (etcd_kv_t *)base, BT_KV_CALL_RANGE, body, &answer, error))
    return false;
  valid = bt_read_etcd_range (ctx, answer, prefix, range);
  json_decref (answer);
  if (!valid)
    bt_set_error (error, BT_ERROR_CLOSED, "The answer to a range of %s is malformed.", key);
  return valid;
}

static bool
etcd_put (bt_context_t *ctx,
          bt_kv_t *base,
          const bt_kv_write_t *write,
          int64_t *revision,
          bt_error_t *error)
{
  json_t *answer;

  if (!call_store (ctx, (etcd_kv_t *)base, BT_KV_CALL_PUT, bt_write_etcd_put (ctx, write), &answer,
                   error))
    return false;
  *revision = bt_read_etcd_revision (answer);
  json_decref (answer);
  return true;
}

static bool
etcd_commit_txn (bt_context_t *ctx,
                 bt_kv_t *base,
                 const bt_kv_txn_t *txn,
                 bt_kv_txn_result_t *result,
                 bt_error_t *error)
{
  json_t *answer;

  if (!call_store (ctx, (etcd_kv_t *)base, BT_KV_CALL_TXN, bt_write_etcd_txn (ctx, txn), &answer,
                   error))
    return false;
  result->succeeded = json_is_true (json_object_get (answer, "succeeded"));
  result->revision = bt_read_etcd_revision (answer);
  json_decref (answer);
  return true;
}

static bool
etcd_grant_lease (
    bt_context_t *ctx, bt_kv_t *base, int64_t ttl_s, int64_t *lease, bt_error_t *error)
{
  json_t *answer;

  if (!call_store (ctx, (etcd_kv_t *)base, BT_KV_CALL_GRANT, bt_write_etcd_lease (0, ttl_s),
                   &answer, error))
    return false;
  *lease = bt_decode_etcd_number (answer, "ID");
  json_decref (answer);
  if (*lease == 0)
    return bt_set_error (error, BT_ERROR_CLOSED,
                         "The answer to a lease grant contains no lease ID.");
  return true;
}

static bool
etcd_renew_lease (
    bt_context_t *ctx, bt_kv_t *base, int64_t lease, int64_t *ttl_s, bt_error_t *error)
{
  json_t *answer;

  if (!call_store (ctx, (etcd_kv_t *)base, BT_KV_CALL_RENEW, bt_write_etcd_lease (lease, 0),
                   &answer, error))
    return false;
  *ttl_s = bt_decode_etcd_number (json_object_get (answer, "result"), "TTL");
  json_decref (answer);
  if (*ttl_s <= 0)
    return bt_set_error (error, BT_ERROR_NOT_FOUND, "Lease %lld has expired.", (long long)lease);
  return true;
}

static bool
etcd_revoke_lease (bt_context_t *ctx, bt_kv_t *base, int64_t lease, bt_error_t *error)
{
  json_t *answer;

  if (!call_store (ctx, (etcd_kv_t *)base, BT_KV_CALL_REVOKE, bt_write_etcd_lease (lease, 0),
                   &answer, error))
    return false;
  json_decref (answer);
  return true;
}

typedef struct watch_state
{
  bool created;
  bt_kv_watch_result_t result;
} watch_state_t;

static bool
handle_watch_line (void *data, const char *line, size_t bytes)
{
  watch_state_t *state = data;
  json_t *document = bt_load_json (line, bytes, 0, NULL);
  const json_t *result = json_object_get (document, "result");

  if (json_is_true (json_object_get (result, "created")))
    state->created = true;
  if (bt_decode_etcd_number (result, "compact_revision") > 0
      || json_is_true (json_object_get (result, "canceled")))
    state->result = BT_KV_WATCH_COMPACTED;
  else if (json_array_size (json_object_get (result, "events")) > 0)
    state->result = BT_KV_WATCH_EVENTS;
  json_decref (document);
  return state->result != BT_KV_WATCH_NO_EVENTS;
}

static bool
check_watch (bt_context_t *ctx, void *data, const bt_http_answer_t *answer, bt_error_t *error)
{
  const watch_state_t *state = data;

  (void)ctx;
  if (answer->status != HTTP_OK)
    return set_status_error (answer, BT_KV_CALL_WATCH, error);
  if (!state->created && state->result == BT_KV_WATCH_NO_EVENTS)
    return bt_set_error (error, BT_ERROR_TIMEOUT, "The watch was not confirmed.");
  return true;
}

static bool
etcd_watch (bt_context_t *ctx,
            bt_kv_t *base,
            const char *prefix,
            int64_t start_revision,
            int64_t wait_ms,
            bt_kv_watch_result_t *result,
            bt_error_t *error)
{
  etcd_kv_t *kv = (etcd_kv_t *)base;
  char *body = bt_write_etcd_watch (ctx, prefix, start_revision);
  watch_state_t state = { 0 };
  bt_http_request_t request = { .url = kv->urls[BT_KV_CALL_WATCH],
                                .body = body,
                                .wait_ms = wait_ms,
                                .on_line = handle_watch_line,
                                .line_data = &state };
  bool succeeded =
      bt_make_kv_call (ctx, kv->calls, BT_KV_CALL_WATCH, &request, check_watch, &state, error);

  free (body);
  *result = state.result;
  return succeeded;
}

static void
etcd_cancel (bt_context_t *ctx, bt_kv_t *base)
{
  (void)ctx;
  bt_cancel_kv_calls (((etcd_kv_t *)base)->calls);
}

static void
etcd_drop (bt_context_t *ctx, bt_kv_t *base)
{
  bt_drop_kv_calls (ctx, ((etcd_kv_t *)base)->calls);
  bt_free (ctx, base);
}

static const bt_kv_vtable_t etcd_vtable = { etcd_read_range,  etcd_put,         etcd_commit_txn,
                                            etcd_grant_lease, etcd_renew_lease, etcd_revoke_lease,
                                            etcd_watch,       etcd_cancel,      etcd_drop };

bt_kv_settings_t
bt_get_default_kv_settings (const char *url)
{
  bt_kv_settings_t settings = {
    .url = url,
    .connect_ms = 1000,
    .total_ms = 3000,
    .idle_ms = 2000,
    .answer_bytes = (size_t)64 << 20,
    .rate = { .calls_per_s = 20, .burst = 40, .backoff_first_ms = 100, .backoff_last_ms = 2000 }
  };

  return settings;
}

bt_kv_t *
bt_new_etcd_kv (bt_context_t *ctx, const bt_kv_settings_t *settings)
{
  etcd_kv_t *kv = bt_calloc (ctx, 1, sizeof *kv);

  kv->base.vtable = &etcd_vtable;
  kv->calls = bt_new_kv_calls (ctx, settings);
  for (int32_t i = 0; i < BT_KV_CALL_COUNT; i++)
    snprintf (kv->urls[i], URL_BYTES, "%.*s%s", URL_BYTES - PATH_BYTES, settings->url,
              call_paths[i]);
  return &kv->base;
}
