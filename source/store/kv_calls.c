#include "bilberrytray/store/kv_calls.h"

#include <ck_pr.h>
#include <pthread.h>
#include <time.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/histogram.h"

enum
{
  NAP_MS = 50,
};

static const char *const call_names[] = { "range",       "put",          "txn",  "lease-grant",
                                          "lease-renew", "lease-revoke", "watch" };

/* Lock order: a connection's lock, then rate_lock. */
struct bt_kv_calls
{
  int64_t total_ms;
  bt_counter_t *counters[BT_KV_CALL_COUNT];
  bt_histogram_t *times;      /* of calls that are no watch */
  pthread_mutex_t call_lock;  /* one call at a time on call_client */
  pthread_mutex_t watch_lock; /* one watch at a time on watch_client */
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
  calls->times = bt_new_histogram (ctx, "bilberry_store_call_ms",
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
  bt_drop_histogram (ctx, calls->times);
  bt_free (ctx, calls);
}

void
bt_cancel_kv_calls (bt_kv_calls_t *calls)
{
  ck_pr_store_int (&calls->cancelled, 1);
}

/* Waits for the rate bound and the back-off; gives up, with nothing sent, after the limit of one
 * call. */
static bool
wait_for_turn (bt_context_t *ctx, bt_kv_calls_t *calls, bt_error_t *error)
{
  int64_t give_up_ms = bt_now_ms (ctx) + calls->total_ms;
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
      if (bt_now_ms (ctx) + wait_ms > give_up_ms)
        return bt_set_error (error, BT_ERROR_SYSTEM,
                             "The call was held back by its rate bound for %lld ms, not sent.",
                             (long long)calls->total_ms);
      bt_sleep_ms (wait_ms < NAP_MS ? wait_ms : NAP_MS);
    }
}

static void
note_outcome (bt_context_t *ctx, bt_kv_calls_t *calls, bool done, const bt_error_t *error)
{
  /* That a key or a lease is not there is an answer, and no failure of the service. */
  bool answered = done || error->code == BT_ERROR_NOT_FOUND;

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
                 bt_take_kv_answer_t take,
                 void *data,
                 bt_error_t *error)
{
  bool watch = kind == BT_KV_CALL_WATCH;
  pthread_mutex_t *lock = watch ? &calls->watch_lock : &calls->call_lock;
  bt_http_client_t *client = watch ? calls->watch_client : calls->call_client;
  bt_http_request_t sent = *request;
  bt_http_answer_t answer;
  bt_error_t failure = { 0 };
  bool done;

  /* libcurl sends a request again by itself when a kept connection turns out closed. A write whose
   * answer was lost that way would happen twice, and its second run would look like a conflict
   * with someone else. A connection of its own is never "kept", so the write is sent once. */
  sent.fresh = kind == BT_KV_CALL_PUT || kind == BT_KV_CALL_TXN || kind == BT_KV_CALL_GRANT;
  pthread_mutex_lock (lock);
  done = wait_for_turn (ctx, calls, &failure);
  if (done)
    {
      int64_t begun_ms = bt_now_ms (ctx);

      bt_add_counter (calls->counters[kind], 1);
      done = bt_call_http (ctx, client, &sent, &answer, &failure)
             && take (ctx, data, &answer, &failure);
      if (!watch)
        bt_record_duration (calls->times, bt_now_ms (ctx) - begun_ms);
      note_outcome (ctx, calls, done, &failure);
    }
  pthread_mutex_unlock (lock);
  if (!done)
    bt_set_error (error, failure.code, "%s", failure.message);
  return done;
}
