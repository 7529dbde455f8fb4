#include "bilberrytray/store/kv_calls.h"

#include <ck_pr.h>
#include <pthread.h>
#include <time.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/histogram.h"

enum
{
  MAX_SLEEP_MS = 50,
};

static const char *const call_names[] = { "range",       "put",          "txn",  "lease-grant",
                                          "lease-renew", "lease-revoke", "watch" };

/* Lock order: call_lock or watch_lock, then rate_lock. */
struct bt_kv_calls
{
  int64_t total_ms;
  bt_counter_t *counters[BT_KV_CALL_COUNT];
  bt_histogram_t *durations;  /* of all calls except watches */
  pthread_mutex_t call_lock;  /* serialises the use of call_client */
  pthread_mutex_t watch_lock; /* serialises the use of watch_client */
  pthread_mutex_t rate_lock;  /* guards rate */
  bt_http_client_t *call_client;
  bt_http_client_t *watch_client;
  bt_call_rate_t rate;
  int32_t cancelled;
};

const char *
bt_name_kv_call (bt_kv_call_t kind)
{
  return call_names[kind];
}

bt_kv_calls_t *
bt_new_kv_calls (bt_context_t *ctx, const bt_kv_settings_t *settings)
{
  bt_kv_calls_t *calls = bt_calloc (ctx, 1, sizeof *calls);
  bt_http_limits_t limits = { settings->connect_ms, settings->total_ms, settings->idle_ms,
                              settings->answer_bytes };

  calls->total_ms = settings->total_ms;
  for (int32_t i = 0; i < BT_KV_CALL_COUNT; i++)
    calls->counters[i] =
        bt_find_counter (ctx, BT_COUNTER, "bilberry_store_calls_total",
                         "Calls on the key-value service by kind.", "kind", call_names[i]);
  calls->durations = bt_new_histogram (ctx, "bilberry_store_call_ms",
                                       "Calls on the key-value service but watches, good or bad.");
  pthread_mutex_init (&calls->call_lock, NULL);
  pthread_mutex_init (&calls->watch_lock, NULL);
  pthread_mutex_init (&calls->rate_lock, NULL);
  bt_init_call_rate (&calls->rate, &settings->rate, settings->seed, bt_now_ms (ctx));
  calls->call_client = bt_new_http_client (ctx, &limits, &calls->cancelled);
  calls->watch_client = bt_new_http_client (ctx, &limits, &calls->cancelled);
  return calls;
}

void
bt_drop_kv_calls (bt_context_t *ctx, bt_kv_calls_t *calls)
{
  if (calls == NULL)
    return;
  bt_drop_http_client (ctx, calls->call_client);
  bt_drop_http_client (ctx, calls->watch_client);
  pthread_mutex_destroy (&calls->call_lock);
  pthread_mutex_destroy (&calls->watch_lock);
  pthread_mutex_destroy (&calls->rate_lock);
  bt_drop_histogram (ctx, calls->durations);
  bt_free (ctx, calls);
}

void
bt_cancel_kv_calls (bt_kv_calls_t *calls)
{
  ck_pr_store_int (&calls->cancelled, 1);
  bt_wake_http_client (calls->call_client);
  bt_wake_http_client (calls->watch_client);
}

/* Waits until the rate limit and the backoff allow a call. Fails without sending anything if that
 * takes longer than the time limit of a call. */
static bool
wait_for_rate_limit (bt_context_t *ctx, bt_kv_calls_t *calls, bt_error_t *error)
{
  int64_t deadline_ms = bt_now_ms (ctx) + calls->total_ms;
  int64_t wait_ms;

  while (true)
    {
      pthread_mutex_lock (&calls->rate_lock);
      wait_ms = bt_take_call (&calls->rate, bt_now_ms (ctx));
      pthread_mutex_unlock (&calls->rate_lock);
      if (wait_ms == 0)
        return true;
      if (ck_pr_load_int (&calls->cancelled) != 0)
        return bt_set_error (error, BT_ERROR_SYSTEM, "The call was cancelled before it was sent.");
      if (bt_now_ms (ctx) + wait_ms > deadline_ms)
        return bt_set_error (
            error, BT_ERROR_SYSTEM,
            "The call was not sent: the rate limit did not allow it within %lld ms.",
            (long long)calls->total_ms);
      bt_sleep_ms (wait_ms < MAX_SLEEP_MS ? wait_ms : MAX_SLEEP_MS);
    }
}

static void
record_outcome (bt_context_t *ctx, bt_kv_calls_t *calls, bool succeeded, const bt_error_t *error)
{
  /* A missing key or lease is a valid answer and not a failure of the store. */
  bool answered = succeeded || error->code == BT_ERROR_NOT_FOUND;

  pthread_mutex_lock (&calls->rate_lock);
  if (answered)
    bt_note_call_success (&calls->rate);
  else
    bt_note_call_failure (&calls->rate, bt_now_ms (ctx));
  pthread_mutex_unlock (&calls->rate_lock);
  if (!answered)
    bt_add_counter (bt_find_counter (ctx, BT_COUNTER, "bilberry_store_failures_total",
                                     "Failed calls on the key-value service by error.", "error",
                                     bt_name_error_code (error->code)),
                    1);
}

bool
bt_make_kv_call (bt_context_t *ctx,
                 bt_kv_calls_t *calls,
                 bt_kv_call_t kind,
                 const bt_http_request_t *request,
                 bt_parse_kv_answer_t parse,
                 void *data,
                 bt_error_t *error)
{
  bool watch = kind == BT_KV_CALL_WATCH;
  pthread_mutex_t *lock = watch ? &calls->watch_lock : &calls->call_lock;
  bt_http_client_t *client = watch ? calls->watch_client : calls->call_client;
  bt_http_request_t sent = *request;
  bt_http_answer_t answer;
  bt_error_t failure = { 0 };
  bool succeeded;

  /* libcurl resends a request when a reused connection turns out to be closed. A write whose answer
   * was lost that way would be executed twice, and the second execution would look like a conflict
   * with another writer. On a new connection libcurl does not resend, so the write is sent once. */
  sent.fresh_connection =
      kind == BT_KV_CALL_PUT || kind == BT_KV_CALL_TXN || kind == BT_KV_CALL_GRANT;
  pthread_mutex_lock (lock);
  succeeded = wait_for_rate_limit (ctx, calls, &failure);
  if (succeeded)
    {
      int64_t start_ms = bt_now_ms (ctx);

      bt_add_counter (calls->counters[kind], 1);
      succeeded = bt_call_http (ctx, client, &sent, &answer, &failure)
                  && parse (ctx, data, &answer, &failure);
      if (!watch)
        bt_record_duration (calls->durations, bt_now_ms (ctx) - start_ms);
      record_outcome (ctx, calls, succeeded, &failure);
    }
  pthread_mutex_unlock (lock);
  if (!succeeded)
    bt_set_error (error, failure.code, "%s", failure.message);
  return succeeded;
}
