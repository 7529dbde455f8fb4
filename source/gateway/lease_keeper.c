#include "lease_keeper.h"

#include <pthread.h>

#include "bilberrytray/base/condition.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/store/fenced_lease.h"
#include "store_thread.h"

struct bt_lease_keeper
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_lease_keeper_options_t options;
  bt_lease_listener_t *listener;
  bt_kv_t *kv;
  bt_fenced_lease_t *lease;
  bool running; /* the thread was started */
  pthread_t thread;
  /* Lock order: no other lock is held with it. */
  pthread_mutex_t lock; /* guards the members below */
  pthread_cond_t changed;
  bool stopping;
  bool wanted;
  bool tried;      /* since it is wanted */
  int64_t next_ms; /* time of the next attempt */
};

typedef struct lease_event
{
  bt_task_t task;
  bt_context_t *ctx;
  bt_lease_keeper_t *keeper;
  bool failed; /* a renewal failed */
  bool lost;
  uint64_t fence;
  int64_t sent_ms;
} lease_event_t;

static void
run_event (bt_task_t *task)
{
  lease_event_t *event = (lease_event_t *)task;
  bt_lease_listener_t *listener = event->keeper->listener;

  if (event->failed)
    listener->on_renewal_failed (listener, event->lost);
  else
    listener->on_lease (listener, event->fence, event->sent_ms);
  bt_free (event->ctx, event);
}

static void
drop_event (bt_task_t *task)
{
  bt_free (((lease_event_t *)task)->ctx, task);
}

static void
post_event (bt_lease_keeper_t *keeper, const lease_event_t *contents)
{
  lease_event_t *event = bt_memdup (keeper->ctx, contents, sizeof *contents);

  event->task.run = run_event;
  event->task.drop = drop_event;
  event->ctx = keeper->ctx;
  event->keeper = keeper;
  if (!bt_post_task (keeper->loop, &event->task))
    bt_free (keeper->ctx, event);
}

/* Releases a lease that is no longer wanted, so that another instance can get it at once instead of
 * when it expires. */
static void
release_lease (bt_lease_keeper_t *keeper)
{
  pthread_mutex_unlock (&keeper->lock);
  bt_release_fenced_lease (keeper->ctx, keeper->lease);
  pthread_mutex_lock (&keeper->lock);
}

/* Makes one attempt to get or renew the lease. */
static void
try_lease (bt_lease_keeper_t *keeper)
{
  lease_event_t event = { .sent_ms = bt_now_ms (keeper->ctx) };
  const bool held = bt_holds_fenced_lease (keeper->lease);

  switch (bt_acquire_fenced_lease (keeper->ctx, keeper->lease, &event.fence))
    {
    case BT_LEASE_GRANTED:
      bt_log_event (keeper->ctx, BT_LOG_INFO, "lease-granted", "{s:s, s:I}", "lease",
                    keeper->options.name, "fence", (json_int_t)event.fence);
      break;
    case BT_LEASE_RENEWED:
      break;
    case BT_LEASE_NONE:
      if (!held)
        return;
      event.failed = true;
      event.lost = !bt_holds_fenced_lease (keeper->lease);
      break;
    }
  post_event (keeper, &event);
}

static void *
run_keeper (void *argument)
{
  bt_lease_keeper_t *keeper = argument;

  pthread_mutex_lock (&keeper->lock);
  while (!keeper->stopping)
    {
      int64_t wait_ms = keeper->next_ms - bt_now_ms (keeper->ctx);

      if (!keeper->wanted && bt_holds_fenced_lease (keeper->lease))
        release_lease (keeper);
      else if (!keeper->wanted)
        pthread_cond_wait (&keeper->changed, &keeper->lock);
      else if (wait_ms > 0)
        bt_wait_condition (&keeper->changed, &keeper->lock, wait_ms);
      else
        {
          keeper->tried = true;
          keeper->next_ms = bt_now_ms (keeper->ctx) + keeper->options.renew_ms;
          pthread_mutex_unlock (&keeper->lock);
          try_lease (keeper);
          pthread_mutex_lock (&keeper->lock);
        }
    }
  pthread_mutex_unlock (&keeper->lock);
  return NULL;
}

bt_lease_keeper_t *
bt_new_lease_keeper (bt_context_t *ctx,
                     bt_event_loop_t *loop,
                     const bt_lease_keeper_options_t *options,
                     bt_lease_listener_t *listener)
{
  bt_lease_keeper_t *keeper = bt_calloc (ctx, 1, sizeof *keeper);
  uint64_t seed;

  bt_fill_secure_random (&seed, sizeof seed);
  keeper->ctx = ctx;
  keeper->loop = loop;
  keeper->options = *options;
  keeper->listener = listener;
  keeper->kv = options->platform->vtable->new_store (ctx, options->store, seed);
  keeper->lease = bt_new_fenced_lease (ctx, keeper->kv, options->prefix, options->name,
                                       options->instance, options->ttl_s);
  pthread_mutex_init (&keeper->lock, NULL);
  bt_init_condition (&keeper->changed);
  return keeper;
}

void
bt_set_lease_wanted (bt_lease_keeper_t *keeper, bool wanted, int64_t wait_ms)
{
  pthread_mutex_lock (&keeper->lock);
  keeper->tried = keeper->tried && keeper->wanted;
  if (wanted && !keeper->tried)
    keeper->next_ms = bt_now_ms (keeper->ctx) + wait_ms;
  keeper->wanted = wanted;
  if (wanted && !keeper->running)
    keeper->running =
        bt_start_store_thread (keeper->ctx, &keeper->thread, "lease", run_keeper, keeper);
  pthread_cond_signal (&keeper->changed);
  pthread_mutex_unlock (&keeper->lock);
}

void
bt_drop_lease_keeper (bt_context_t *ctx, bt_lease_keeper_t *keeper)
{
  if (keeper == NULL)
    return;
  pthread_mutex_lock (&keeper->lock);
  keeper->stopping = true;
  pthread_cond_signal (&keeper->changed);
  pthread_mutex_unlock (&keeper->lock);
  bt_cancel_kv (ctx, keeper->kv);
  if (keeper->running)
    pthread_join (keeper->thread, NULL);
  bt_drop_fenced_lease (ctx, keeper->lease);
  bt_drop_kv (ctx, keeper->kv);
  pthread_cond_destroy (&keeper->changed);
  pthread_mutex_destroy (&keeper->lock);
  bt_free (ctx, keeper);
}
