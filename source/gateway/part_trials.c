#include "part_trials.h"

#include <pthread.h>
#include <string.h>

#include "bilberrytray/base/condition.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/random.h"
#include "part_items.h"
#include "store_thread.h"

struct bt_part_trials
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_part_trials_handler_t *handler;
  bt_kv_t *kv;
  bool running; /* the thread was started */
  pthread_t thread;
  /* Lock order: no other lock is held with it. */
  pthread_mutex_t lock; /* guards the members below */
  pthread_cond_t changed;
  bool stopping;
  bool busy;    /* a trial was asked for and its result was not handled yet */
  bool waiting; /* the thread has not begun it */
  uint64_t request;
  bt_part_mark_t mark;
  int64_t revision;
};

/** The result of one write. */
typedef struct trial_result
{
  bt_task_t task; /* must be first: the callbacks cast it */
  bt_part_trials_t *trials;
  bt_context_t *ctx;
  uint64_t request;
  bt_part_mark_t mark;
  bool granted;
} trial_result_t;

static void
set_idle (bt_part_trials_t *trials)
{
  pthread_mutex_lock (&trials->lock);
  trials->busy = false;
  pthread_mutex_unlock (&trials->lock);
}

static void
drop_result (bt_task_t *task)
{
  trial_result_t *result = (trial_result_t *)task;

  bt_free (result->ctx, result);
}

static void
handle_result (bt_task_t *task)
{
  trial_result_t *result = (trial_result_t *)task;
  bt_part_trials_handler_t *handler = result->trials->handler;

  set_idle (result->trials);
  handler->on_trial (handler, result->request, &result->mark, result->granted);
  drop_result (task);
}

static void
post_result (bt_part_trials_t *trials, uint64_t request, const bt_part_mark_t *mark, bool granted)
{
  trial_result_t *result = bt_calloc (trials->ctx, 1, sizeof *result);

  result->task = (bt_task_t){ handle_result, drop_result };
  result->trials = trials;
  result->ctx = trials->ctx;
  result->request = request;
  result->mark = *mark;
  result->granted = granted;
  if (bt_post_task (trials->loop, &result->task))
    return;
  drop_result (&result->task);
  set_idle (trials);
}

/* A write whose answer was lost may have taken the trial, which is then left unused. */
static bool
write_mark (bt_part_trials_t *trials, const bt_part_mark_t *mark, int64_t revision)
{
  char key[BT_CRASH_KEY_BYTES];
  char *value = bt_write_part_mark_value (trials->ctx, mark);
  bt_kv_compare_t compare = { .key = key, .mod_revision = revision };
  bt_kv_write_t write = { .kind = BT_KV_PUT, .key = key, .value = value };
  bt_kv_txn_t txn = {
    .compares = &compare, .compare_count = 1, .writes = &write, .write_count = 1
  };
  bt_kv_txn_result_t result = { 0 };
  bt_error_t error = { 0 };
  bool written;

  write.value_bytes = strlen (value);
  bt_write_part_mark_key (mark, key);
  written = bt_commit_kv (trials->ctx, trials->kv, &txn, &result, &error);
  bt_free (trials->ctx, value);
  if (!written)
    bt_log_event (trials->ctx, BT_LOG_WARNING, "part-trial-failed", "{s:s}", "message",
                  error.message);
  return written && result.succeeded;
}

static void *
run_trials (void *argument)
{
  bt_part_trials_t *trials = argument;

  pthread_mutex_lock (&trials->lock);
  while (!trials->stopping)
    {
      bt_part_mark_t mark = trials->mark;
      int64_t revision = trials->revision;
      uint64_t request = trials->request;

      if (!trials->waiting)
        {
          pthread_cond_wait (&trials->changed, &trials->lock);
          continue;
        }
      trials->waiting = false;
      pthread_mutex_unlock (&trials->lock);
      post_result (trials, request, &mark, write_mark (trials, &mark, revision));
      pthread_mutex_lock (&trials->lock);
    }
  pthread_mutex_unlock (&trials->lock);
  return NULL;
}

bt_part_trials_t *
bt_new_part_trials (bt_context_t *ctx,
                    bt_event_loop_t *loop,
                    const bt_platform_t *platform,
                    const char *store,
                    bt_part_trials_handler_t *handler)
{
  bt_part_trials_t *trials = bt_calloc (ctx, 1, sizeof *trials);
  uint64_t seed;

  bt_fill_secure_random (&seed, sizeof seed);
  trials->ctx = ctx;
  trials->loop = loop;
  trials->handler = handler;
  trials->kv = platform->vtable->new_store (ctx, store, seed);
  pthread_mutex_init (&trials->lock, NULL);
  bt_init_condition (&trials->changed);
  return trials;
}

void
bt_drop_part_trials (bt_context_t *ctx, bt_part_trials_t *trials)
{
  if (trials == NULL)
    return;
  pthread_mutex_lock (&trials->lock);
  trials->stopping = true;
  pthread_cond_signal (&trials->changed);
  pthread_mutex_unlock (&trials->lock);
  bt_cancel_kv (ctx, trials->kv);
  if (trials->running)
    pthread_join (trials->thread, NULL);
  bt_drop_kv (ctx, trials->kv);
  pthread_cond_destroy (&trials->changed);
  pthread_mutex_destroy (&trials->lock);
  bt_free (ctx, trials);
}

bool
bt_take_part_trial (bt_part_trials_t *trials,
                    uint64_t request,
                    const bt_part_mark_t *mark,
                    int64_t revision)
{
  bool taken;

  pthread_mutex_lock (&trials->lock);
  /* Trials are rare, so the thread is only created for the first one. */
  if (!trials->running)
    trials->running =
        bt_start_store_thread (trials->ctx, &trials->thread, "part-trials", run_trials, trials);
  taken = trials->running && !trials->busy;
  if (taken)
    {
      trials->busy = true;
      trials->waiting = true;
      trials->request = request;
      trials->mark = *mark;
      trials->revision = revision;
      pthread_cond_signal (&trials->changed);
    }
  pthread_mutex_unlock (&trials->lock);
  return taken;
}
