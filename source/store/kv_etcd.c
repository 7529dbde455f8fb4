#include <ck_pr.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/store/kv.h"
#include "etcd_json.h"
#include "http_client.h"

enum
{
  URL_BYTES = 256,
  PATH_BYTES = 32,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
  NAP_MS = 50,
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  HTTP_REQUEST_TIMEOUT = 408,
  HTTP_CLIENT_CLOSED = 499,
  GRPC_NOT_FOUND = 5,
};

typedef enum call_kind
{
  CALL_RANGE = 0,
  CALL_PUT,
  CALL_TXN,
  CALL_GRANT,
  CALL_RENEW,
  CALL_REVOKE,
  CALL_WATCH,
  CALL_KIND_COUNT,
} call_kind_t;

static const char *const call_names[] = { "range",       "put",          "txn",  "lease-grant",
                                          "lease-renew", "lease-revoke", "watch" };

static const char *const call_paths[] = {
  "/v3/kv/range",        "/v3/kv/put",       "/v3/kv/txn", "/v3/lease/grant",
  "/v3/lease/keepalive", "/v3/lease/revoke", "/v3/watch"
};

/* Lock order: a connection's lock, then rate_lock. */
typedef struct etcd_kv
{
  bt_kv_t base;
  int64_t total_ms;
  char urls[CALL_KIND_COUNT][URL_BYTES];
  bt_counter_t *calls[CALL_KIND_COUNT];
  pthread_mutex_t call_lock;  /**< One call at a time on call_client. */
  pthread_mutex_t watch_lock; /**< One watch at a time on watch_client. */
  pthread_mutex_t rate_lock;  /**< Guards rate. */
  bt_http_client_t *call_client;
  bt_http_client_t *watch_client;
  bt_call_rate_t rate;
  int32_t cancelled;
} etcd_kv_t;

static void
sleep_ms (int64_t wait_ms)
{
  struct timespec wait = { wait_ms / MS_PER_S, wait_ms % MS_PER_S * NS_PER_MS };

  nanosleep (&wait, NULL);
}

/* Waits for the rate bound and the back-off; gives up, with nothing sent, after the limit of one
 * call. */
static bool
wait_for_turn (bt_context_t *ctx, etcd_kv_t *kv, bt_error_t *error)
{
  int64_t give_up_ms = bt_now_ms (ctx) + kv->total_ms;
  int64_t wait_ms;

  while (true)
    {
      pthread_mutex_lock (&kv->rate_lock);
      wait_ms = bt_take_call (&kv->rate, bt_now_ms (ctx));
      pthread_mutex_unlock (&kv->rate_lock);
      if (wait_ms == 0)
        return true;
      if (ck_pr_load_int (&kv->cancelled) != 0)
        return bt_set_error (error, BT_ERROR_SYSTEM, "The call was cancelled before it was sent.");
      if (bt_now_ms (ctx) + wait_ms > give_up_ms)
        return bt_set_error (error, BT_ERROR_SYSTEM,
                             "The call was held back by its rate bound for %lld ms, not sent.",
                             (long long)kv->total_ms);
      sleep_ms (wait_ms < NAP_MS ? wait_ms : NAP_MS);
    }
}

static void
note_outcome (bt_context_t *ctx, etcd_kv_t *kv, bool done, const bt_error_t *error)
{
  pthread_mutex_lock (&kv->rate_lock);
  if (done)
    bt_note_call_success (&kv->rate);
  else
    bt_note_call_failure (&kv->rate, bt_now_ms (ctx));
  pthread_mutex_unlock (&kv->rate_lock);
  if (!done)
    bt_add_counter (bt_find_counter (ctx, BT_COUNTER, "bilberry_store_failures_total",
                                     "Failed calls on the key-value service by error.", "error",
                                     bt_name_error_code (error->code)),
                    1);
}

/* Statuses that the gateway gives before it acts on a request. Every other failure, a time-out
 * inside the service among them, may come after the effect. */
static bool
is_certain_refusal (int32_t status)
{
  return status >= HTTP_BAD_REQUEST && status < HTTP_CLIENT_CLOSED
         && status != HTTP_REQUEST_TIMEOUT;
}

static bool
explain_status (const bt_http_answer_t *answer, call_kind_t kind, bt_error_t *error)
{
  json_t *body = json_loadb (answer->body, answer->body_bytes, 0, NULL);
  const char *message = json_string_value (json_object_get (body, "message"));
  bool missing = bt_decode_etcd_number (body, "code") == GRPC_NOT_FOUND;
  bt_error_code_t code = BT_ERROR_TIMEOUT;

  if (missing || answer->status == HTTP_NOT_FOUND)
    code = BT_ERROR_NOT_FOUND;
  else if (is_certain_refusal (answer->status))
    code = BT_ERROR_REFUSED;
  bt_set_error (error, code, "The key-value service answered %s with %d: %s", call_names[kind],
                (int)answer->status, message == NULL ? "no message" : message);
  json_decref (body);
  return false;
}

/* Posts a body, which it frees, and parses the answer. */
static bool
call_locked (bt_context_t *ctx,
             etcd_kv_t *kv,
             call_kind_t kind,
             const char *body,
             json_t **document,
             bt_error_t *error)
{
  /* libcurl sends a request again by itself when a kept connection turns out closed. A write whose
   * answer was lost that way would happen twice, and its second run would look like a conflict
   * with someone else. A connection of its own is never "kept", so the write is sent once. */
  bool fresh = kind == CALL_PUT || kind == CALL_TXN || kind == CALL_GRANT;
  bt_http_request_t request = { .url = kv->urls[kind], .body = body, .fresh = fresh };
  bt_http_answer_t answer;
  json_error_t place;

  bt_add_counter (kv->calls[kind], 1);
  if (!bt_call_http (ctx, kv->call_client, &request, &answer, error))
    return false;
  if (answer.status != HTTP_OK)
    return explain_status (&answer, kind, error);
  *document = json_loadb (answer.body, answer.body_bytes, 0, &place);
  if (*document == NULL)
    return bt_set_error (error, BT_ERROR_CLOSED, "The answer to %s is no JSON at byte %d: %s",
                         call_names[kind], place.position, place.text);
  return true;
}

static bool
call_service (bt_context_t *ctx,
              etcd_kv_t *kv,
              call_kind_t kind,
              char *body,
              json_t **document,
              bt_error_t *error)
{
  bt_error_t failure = { 0 };
  bool done;

  pthread_mutex_lock (&kv->call_lock);
  done = wait_for_turn (ctx, kv, &failure);
  if (done)
    {
      done = call_locked (ctx, kv, kind, body, document, &failure);
      note_outcome (ctx, kv, done || failure.code == BT_ERROR_NOT_FOUND, &failure);
    }
  pthread_mutex_unlock (&kv->call_lock);
  free (body);
  if (!done)
    bt_set_error (error, failure.code, "%s", failure.message);
  return done;
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
  bool good;

  if (!call_service (ctx, (etcd_kv_t *)base, CALL_RANGE, body, &answer, error))
    return false;
  good = bt_read_etcd_range (ctx, answer, range);
  json_decref (answer);
  if (!good)
    bt_set_error (error, BT_ERROR_CLOSED, "The answer to a range of %s is malformed.", key);
  return good;
}

static bool
etcd_put (bt_context_t *ctx,
          bt_kv_t *base,
          const bt_kv_write_t *write,
          int64_t *revision,
          bt_error_t *error)
{
  json_t *answer;

  if (!call_service (ctx, (etcd_kv_t *)base, CALL_PUT, bt_write_etcd_put (ctx, write), &answer,
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

  if (!call_service (ctx, (etcd_kv_t *)base, CALL_TXN, bt_write_etcd_txn (ctx, txn), &answer,
                     error))
    return false;
  result->succeeded = json_is_true (json_object_get (answer, "succeeded"));
  result->revision = bt_read_etcd_revision (answer);
  json_decref (answer);
  return true;
}

static bool
etcd_grant_lease (
    bt_context_t *ctx, bt_kv_t *base, int64_t life_s, int64_t *lease, bt_error_t *error)
{
  json_t *answer;

  if (!call_service (ctx, (etcd_kv_t *)base, CALL_GRANT, bt_write_etcd_lease (0, life_s), &answer,
                     error))
    return false;
  *lease = bt_decode_etcd_number (answer, "ID");
  json_decref (answer);
  if (*lease == 0)
    return bt_set_error (error, BT_ERROR_CLOSED, "The answer to a lease grant names no lease.");
  return true;
}

static bool
etcd_renew_lease (
    bt_context_t *ctx, bt_kv_t *base, int64_t lease, int64_t *life_s, bt_error_t *error)
{
  json_t *answer;

  if (!call_service (ctx, (etcd_kv_t *)base, CALL_RENEW, bt_write_etcd_lease (lease, 0), &answer,
                     error))
    return false;
  *life_s = bt_decode_etcd_number (json_object_get (answer, "result"), "TTL");
  json_decref (answer);
  if (*life_s <= 0)
    return bt_set_error (error, BT_ERROR_NOT_FOUND, "Lease %lld has lapsed.", (long long)lease);
  return true;
}

static bool
etcd_revoke_lease (bt_context_t *ctx, bt_kv_t *base, int64_t lease, bt_error_t *error)
{
  json_t *answer;

  if (!call_service (ctx, (etcd_kv_t *)base, CALL_REVOKE, bt_write_etcd_lease (lease, 0), &answer,
                     error))
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
take_watch_line (void *data, const char *line, size_t bytes)
{
  watch_state_t *state = data;
  json_t *document = json_loadb (line, bytes, 0, NULL);
  const json_t *result = json_object_get (document, "result");

  if (json_is_true (json_object_get (result, "created")))
    state->created = true;
  if (bt_decode_etcd_number (result, "compact_revision") > 0
      || json_is_true (json_object_get (result, "canceled")))
    state->result = BT_KV_WATCH_COMPACTED;
  else if (json_array_size (json_object_get (result, "events")) > 0)
    state->result = BT_KV_WATCH_EVENTS;
  json_decref (document);
  return state->result != BT_KV_WATCH_QUIET;
}

static bool
watch_locked (bt_context_t *ctx,
              etcd_kv_t *kv,
              const char *body,
              int64_t wait_ms,
              bt_kv_watch_result_t *result,
              bt_error_t *error)
{
  watch_state_t state = { 0 };
  bt_http_request_t request = { .url = kv->urls[CALL_WATCH],
                                .body = body,
                                .wait_ms = wait_ms,
                                .on_line = take_watch_line,
                                .line_data = &state };
  bt_http_answer_t answer;

  bt_add_counter (kv->calls[CALL_WATCH], 1);
  if (!bt_call_http (ctx, kv->watch_client, &request, &answer, error))
    return false;
  if (answer.status != HTTP_OK)
    return explain_status (&answer, CALL_WATCH, error);
  if (!state.created && state.result == BT_KV_WATCH_QUIET)
    return bt_set_error (error, BT_ERROR_TIMEOUT, "The watch was not confirmed in %lld ms.",
                         (long long)wait_ms);
  *result = state.result;
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
  bt_error_t failure = { 0 };
  bool done;

  pthread_mutex_lock (&kv->watch_lock);
  done = wait_for_turn (ctx, kv, &failure);
  if (done)
    {
      done = watch_locked (ctx, kv, body, wait_ms, result, &failure);
      note_outcome (ctx, kv, done, &failure);
    }
  pthread_mutex_unlock (&kv->watch_lock);
  free (body);
  if (!done)
    bt_set_error (error, failure.code, "%s", failure.message);
  return done;
}

static void
etcd_cancel (bt_context_t *ctx, bt_kv_t *base)
{
  ck_pr_store_int (&((etcd_kv_t *)base)->cancelled, 1);
}

static void
etcd_drop (bt_context_t *ctx, bt_kv_t *base)
{
  etcd_kv_t *kv = (etcd_kv_t *)base;

  bt_drop_http_client (ctx, kv->call_client);
  bt_drop_http_client (ctx, kv->watch_client);
  pthread_mutex_destroy (&kv->call_lock);
  pthread_mutex_destroy (&kv->watch_lock);
  pthread_mutex_destroy (&kv->rate_lock);
  bt_free (ctx, kv);
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
  bt_http_limits_t limits = { settings->connect_ms, settings->total_ms, settings->idle_ms,
                              settings->answer_bytes };

  kv->base.vtable = &etcd_vtable;
  kv->total_ms = settings->total_ms;
  for (int32_t i = 0; i < CALL_KIND_COUNT; i++)
    {
      snprintf (kv->urls[i], URL_BYTES, "%.*s%s", URL_BYTES - PATH_BYTES, settings->url,
                call_paths[i]);
      kv->calls[i] =
          bt_find_counter (ctx, BT_COUNTER, "bilberry_store_calls_total",
                           "Calls on the key-value service by kind.", "kind", call_names[i]);
    }
  pthread_mutex_init (&kv->call_lock, NULL);
  pthread_mutex_init (&kv->watch_lock, NULL);
  pthread_mutex_init (&kv->rate_lock, NULL);
  bt_init_call_rate (&kv->rate, &settings->rate, settings->seed, bt_now_ms (ctx));
  kv->call_client = bt_new_http_client (ctx, &limits, &kv->cancelled);
  kv->watch_client = bt_new_http_client (ctx, &limits, &kv->cancelled);
  return &kv->base;
}
