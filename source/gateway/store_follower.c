#include "store_follower.h"

#include <ck_pr.h>
#include <pthread.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/condition.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/random.h"

enum
{
  /* Between two tries while the store fails; the client's own back-off comes on top. */
  FAILED_PAUSE_MS = 150,
  GATHER_MS = 200,
  FULL_READ_MS = 20000,
  THREAD_STACK_BYTES = 256 * 1024,
};

struct bt_store_follower
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_store_follower_options_t options;
  bt_store_listener_t *listener;
  bt_kv_t *kv;
  pthread_t watcher;
  pthread_t lister;
  int32_t stopping;
  /* Of the watching thread. */
  bt_kv_range_t items; /* all that the store holds, as far as it is known */
  int64_t read_ms;     /* when they were last read in full */
  bt_view_t *last;     /* what was handed over last: a copy that shares its declarations */
  bool lost;
  /* Lock order: taken alone. */
  pthread_mutex_t lock; /* guards wanted */
  pthread_cond_t changed;
  bool wanted; /* this instance is to be listed */
};

/** A view, or news of the store, on its way to the loop. */
typedef struct news
{
  bt_task_t task;
  bt_store_follower_t *follower;
  bt_view_t *view; /* NULL for news of the store */
  bool there;
} news_t;

static bool
is_stopping (bt_store_follower_t *follower)
{
  return ck_pr_load_int (&follower->stopping) != 0;
}

static void
run_news (bt_task_t *task)
{
  news_t *news = (news_t *)task;
  bt_store_listener_t *listener = news->follower->listener;

  if (news->view != NULL)
    listener->on_view (listener, news->view);
  else
    listener->on_store (listener, news->there);
  bt_free (news->follower->ctx, news);
}

static void
post_news (bt_store_follower_t *follower, bt_view_t *view, bool there)
{
  news_t *news = bt_calloc (follower->ctx, 1, sizeof *news);

  news->task.run = run_news;
  news->follower = follower;
  news->view = view;
  news->there = there;
  if (bt_post_task (follower->loop, &news->task))
    return;
  bt_log_event (follower->ctx, BT_LOG_WARNING, "news-dropped", "{s:b}", "view", view != NULL);
  bt_drop_view (follower->ctx, view);
  bt_free (follower->ctx, news);
}

static void
note_store (bt_store_follower_t *follower, bool there, const bt_error_t *error)
{
  if (follower->lost != there)
    return;
  follower->lost = !there;
  bt_log_event (follower->ctx, there ? BT_LOG_INFO : BT_LOG_WARNING,
                there ? "store-regained" : "store-lost", "{s:s}", "message",
                there ? "" : error->message);
  post_news (follower, NULL, there);
}

/* The watching thread keeps what it needs to recognise an unchanged configuration. */
static void
remember (bt_store_follower_t *follower, const bt_view_t *view)
{
  bt_view_t *copy = bt_calloc (follower->ctx, 1, sizeof *copy);

  copy->revision = view->revision;
  copy->configuration_revision = view->configuration_revision;
  copy->declarations = bt_keep_declarations (view->declarations);
  bt_drop_view (follower->ctx, follower->last);
  follower->last = copy;
}

/* Hands over how things stand now. */
static void
tell_items (bt_store_follower_t *follower, int64_t read_ms)
{
  bt_view_t *view = bt_new_view (follower->ctx, follower->options.platform, &follower->items,
                                 read_ms, follower->last);

  remember (follower, view);
  post_news (follower, view, true);
}

/* Reads all that the store holds. The revision never goes back within one life: an answer that is
 * older than what is known comes from a store that has not caught up, and is dropped. */
static bool
read_all (bt_store_follower_t *follower, bt_error_t *error)
{
  bt_context_t *ctx = follower->ctx;
  int64_t begun_ms = bt_now_ms (ctx);
  bt_kv_range_t range = { 0 };

  if (!bt_read_kv (ctx, follower->kv, "", true, &range, error))
    return false;
  if (range.revision < follower->items.revision)
    {
      bt_log_event (ctx, BT_LOG_WARNING, "store-read-old", "{s:I, s:I}", "revision",
                    (json_int_t)range.revision, "known", (json_int_t)follower->items.revision);
      bt_drop_kv_range (ctx, &range);
      return true;
    }
  bt_drop_kv_range (ctx, &follower->items);
  follower->items = range;
  follower->read_ms = begun_ms;
  tell_items (follower, begun_ms);
  return true;
}

/* Takes what a watch saw, or reads in full where it says that it missed something. */
static bool
take_changes (bt_store_follower_t *follower, bt_kv_changes_t *changes, bt_error_t *error)
{
  if (changes->incomplete || changes->written.revision < follower->items.revision)
    return read_all (follower, error);
  if (changes->written.count == 0 && changes->removed_count == 0)
    return true;
  bt_apply_kv_changes (follower->ctx, &follower->items, changes);
  tell_items (follower, bt_now_ms (follower->ctx));
  /* Changes come in series, and each watch counts as a call: those of the next moment come with the
   * next answer. */
  bt_sleep_ms (GATHER_MS);
  return true;
}

/* One watch, and what it saw. A watch that fails is followed by a read: whatever happened during it
 * was not heard. So is a long time without one, whatever the watches said. */
static bool
follow_once (bt_store_follower_t *follower, bt_error_t *error)
{
  bt_kv_changes_t changes = { 0 };
  bool done;

  if (follower->last == NULL || bt_now_ms (follower->ctx) - follower->read_ms > FULL_READ_MS)
    return read_all (follower, error);
  done = bt_follow_kv (follower->ctx, follower->kv, "", follower->items.revision + 1,
                       follower->options.watch_ms, &changes, error);
  if (done)
    done = take_changes (follower, &changes, error);
  else
    {
      bt_clear_error (error);
      done = read_all (follower, error);
    }
  bt_drop_kv_changes (follower->ctx, &changes);
  return done;
}

static void *
run_watcher (void *argument)
{
  bt_store_follower_t *follower = argument;

  while (!is_stopping (follower))
    {
      bt_error_t error = { 0 };
      bool done = follow_once (follower, &error);

      if (is_stopping (follower))
        break;
      note_store (follower, done, &error);
      if (!done)
        bt_sleep_ms (FAILED_PAUSE_MS);
    }
  return NULL;
}

/* Makes a lease and lists this instance under it. */
static bool
list_entry (bt_store_follower_t *follower, int64_t *lease, bt_error_t *error)
{
  bt_context_t *ctx = follower->ctx;
  char key[2 * BT_NAME_BYTES];
  char *value = bt_write_listed_entry (ctx, &follower->options.entry);
  bt_kv_write_t write = { .kind = BT_KV_PUT, .key = key, .value = value };
  bool done;

  bt_write_entry_key (key, follower->options.entry.identity.instance);
  done = bt_grant_kv_lease (ctx, follower->kv, follower->options.lease_s, lease, error);
  write.value_bytes = strlen (value);
  write.lease = *lease;
  done = done && bt_put_kv (ctx, follower->kv, &write, NULL, error);
  bt_free (ctx, value);
  if (done)
    bt_log_event (ctx, BT_LOG_INFO, "listed", "{s:I}", "lease", (json_int_t)*lease);
  else
    *lease = 0;
  return done;
}

static void
unlist_entry (bt_store_follower_t *follower, int64_t *lease)
{
  bt_error_t error = { 0 };

  if (*lease != 0 && !bt_revoke_kv_lease (follower->ctx, follower->kv, *lease, &error))
    bt_log_event (follower->ctx, BT_LOG_WARNING, "unlist-failed", "{s:s}", "message",
                  error.message);
  *lease = 0;
}

/* Sleeps until the next renewal, or until what is wanted changes. */
static bool
wait_for_renewal (bt_store_follower_t *follower, bool listed)
{
  bool wanted;

  pthread_mutex_lock (&follower->lock);
  if (follower->wanted == listed && !is_stopping (follower))
    bt_wait_condition (&follower->changed, &follower->lock, follower->options.renew_ms);
  wanted = follower->wanted;
  pthread_mutex_unlock (&follower->lock);
  return wanted;
}

static void *
run_lister (void *argument)
{
  bt_store_follower_t *follower = argument;
  int64_t lease = 0;

  while (!is_stopping (follower))
    {
      bool wanted = wait_for_renewal (follower, lease != 0);
      bt_error_t error = { 0 };
      int64_t life_s;

      if (is_stopping (follower))
        break;
      if (!wanted)
        unlist_entry (follower, &lease);
      else if (lease == 0)
        list_entry (follower, &lease, &error);
      else if (!bt_renew_kv_lease (follower->ctx, follower->kv, lease, &life_s, &error)
               && error.code == BT_ERROR_NOT_FOUND)
        {
          bt_log_event (follower->ctx, BT_LOG_WARNING, "listing-lapsed", "{s:I}", "lease",
                        (json_int_t)lease);
          list_entry (follower, &lease, &error);
        }
    }
  unlist_entry (follower, &lease);
  return NULL;
}

static void
start_thread (bt_store_follower_t *follower, pthread_t *thread, void *(*run) (void *))
{
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, THREAD_STACK_BYTES);
  if (pthread_create (thread, &attributes, run, follower) != 0)
    bt_log_event (follower->ctx, BT_LOG_ERROR, "thread-failed", "{s:s}", "message",
                  "A thread for the store could not be started.");
  pthread_attr_destroy (&attributes);
}

bt_store_follower_t *
bt_new_store_follower (bt_context_t *ctx,
                       bt_event_loop_t *loop,
                       const bt_store_follower_options_t *options,
                       bt_store_listener_t *listener)
{
  bt_store_follower_t *follower = bt_calloc (ctx, 1, sizeof *follower);
  uint64_t seed;

  bt_fill_secure_random (&seed, sizeof seed);
  follower->ctx = ctx;
  follower->loop = loop;
  follower->options = *options;
  follower->listener = listener;
  follower->kv = options->platform->vtable->new_store (ctx, options->address, seed);
  pthread_mutex_init (&follower->lock, NULL);
  bt_init_condition (&follower->changed);
  start_thread (follower, &follower->watcher, run_watcher);
  start_thread (follower, &follower->lister, run_lister);
  return follower;
}

void
bt_set_follower_listed (bt_store_follower_t *follower, bool listed)
{
  pthread_mutex_lock (&follower->lock);
  follower->wanted = listed;
  pthread_cond_signal (&follower->changed);
  pthread_mutex_unlock (&follower->lock);
}

void
bt_drop_store_follower (bt_context_t *ctx, bt_store_follower_t *follower)
{
  if (follower == NULL)
    return;
  pthread_mutex_lock (&follower->lock);
  ck_pr_store_int (&follower->stopping, 1);
  pthread_cond_signal (&follower->changed);
  pthread_mutex_unlock (&follower->lock);
  pthread_join (follower->lister, NULL);
  bt_cancel_kv (ctx, follower->kv);
  pthread_join (follower->watcher, NULL);
  bt_drop_kv (ctx, follower->kv);
  bt_drop_kv_range (ctx, &follower->items);
  bt_drop_view (ctx, follower->last);
  pthread_cond_destroy (&follower->changed);
  pthread_mutex_destroy (&follower->lock);
  bt_free (ctx, follower);
}
