#include "store_follower.h"

#include <ck_pr.h>
#include <pthread.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/random.h"
#include "listing.h"
#include "peer_feed.h"
#include "store_status.h"
#include "store_thread.h"
#include "store_values.h"

enum
{
  /* Pause between two attempts while the store fails, in addition to the client's own back-off. */
  FAILED_PAUSE_MS = 150,
  /* Pause after a change, so that the changes that follow arrive in one answer. */
  GATHER_MS = 200,
  FULL_READ_MS = 20000,
  /* Wait of the watch that reports what has changed since a lagging read; mostly it has events. */
  FIRST_WATCH_MS = 1,
  /* Longest wait while a peer is followed; an update ends the wait. */
  PEER_WAIT_MS = 300,
  PEER_PATIENCE_STEP_MS = 50,
  /* The wait of a watch that tries the store is short, because it delays the peer's updates. */
  RETRY_WATCH_MS = 20,
  /* An entry that is no reader waits this long for a peer before it reads a store that has
   * returned. Readers have read it by then, and each peer that may be followed was tried. */
  READ_PATIENCE_MS = 2000,
};

struct bt_store_follower
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_store_follower_options_t options;
  bt_store_listener_t *listener;
  bt_kv_t *kv;
  bt_listing_t *listing;
  bool running; /* the watching thread was started */
  pthread_t watcher;
  int32_t watch_ended; /* atomic: the watching thread must stop */
  /* Used by the watching thread only. */
  int64_t read_ms;      /* start of the last full read, or when a peer was last followed */
  bt_view_t *last_view; /* summary of the last posted view, which shares its declarations */
  bool follows_peer;    /* updates come from a peer, not from the store */
  bool lost;            /* neither the store nor a peer answers */
  bool store_failing;   /* the last call to the store failed */
  int64_t tried_ms;     /* end of the last call to the store */
  int64_t delay_ms;     /* how long a watch took beyond its wait */
  bool helped;          /* the last call to the store brought changes or made the copy fresher */
  bool gathering;       /* the last call reported changes */
  int64_t deferred_ms;  /* since when a full read is left to the readers; 0: it is not */
  bt_freshness_limits_t freshness;
  bt_feed_choice_t choice;
  bt_store_copy_t *copy;
  bt_peer_feed_t *feed;
  bt_store_status_t status;
};

/** A task that passes a view, or the state of the connection to the store, to the event loop. */
typedef struct follower_event
{
  bt_task_t task;
  bt_store_follower_t *follower;
  bt_view_t *view; /* NULL: the connection to the store changed */
  bool available;  /* the store, or a peer in its place, answers */
} follower_event_t;

static void
run_event (bt_task_t *task)
{
  follower_event_t *event = (follower_event_t *)task;
  bt_store_listener_t *listener = event->follower->listener;

  if (event->view != NULL)
    listener->on_view (listener, event->view);
  else
    listener->on_store (listener, event->available);
  bt_free (event->follower->ctx, event);
}

static void
post_event (bt_store_follower_t *follower, bt_view_t *view, bool available)
{
  follower_event_t *event = bt_calloc (follower->ctx, 1, sizeof *event);

  event->task.run = run_event;
  event->follower = follower;
  event->view = view;
  event->available = available;
  if (bt_post_task (follower->loop, &event->task))
    return;
  bt_log_event (follower->ctx, BT_LOG_WARNING, "news-dropped", "{s:b}", "view", view != NULL);
  bt_drop_view (follower->ctx, view);
  bt_free (follower->ctx, event);
}

static void
record_store_state (bt_store_follower_t *follower, bool available, const bt_error_t *error)
{
  if (follower->lost != available)
    return;
  follower->lost = !available;
  bt_log_event (follower->ctx, available ? BT_LOG_INFO : BT_LOG_WARNING,
                available ? "store-regained" : "store-lost", "{s:s}", "message",
                available ? "" : error->message);
  post_event (follower, NULL, available);
}

/* Keeps a summary of a view. The next view is compared with it to detect what has not changed. */
static void
keep_summary (bt_store_follower_t *follower, const bt_view_t *view)
{
  bt_drop_view (follower->ctx, follower->last_view);
  follower->last_view = bt_copy_view_summary (follower->ctx, view);
}

/** Arguments and result of make_view. */
typedef struct view_args
{
  bt_store_follower_t *follower;
  int64_t read_ms;
  int64_t changed_after_ms;
  bt_view_t *view;
} view_args_t;

static void
make_view (void *data, const bt_kv_range_t *items)
{
  view_args_t *args = data;
  bt_store_follower_t *follower = args->follower;

  args->view = bt_new_view (follower->ctx, follower->options.platform, items, args->read_ms,
                            follower->last_view);
  args->view->changed_after_ms = args->changed_after_ms;
}

/* Posts a view of the copy's current items, and chooses the feed from it. Before its items changed,
 * the copy was complete as of @p changed_after_ms. */
static void
post_current_view (bt_store_follower_t *follower, int64_t read_ms, int64_t changed_after_ms)
{
  const bt_listed_entry_t *self = &follower->options.entry;
  view_args_t args = { follower, read_ms, changed_after_ms, NULL };

  bt_visit_copy_items (follower->ctx, follower->copy, make_view, &args);
  bt_record_store_retention (&follower->status, follower->copy);
  bt_choose_feed (follower->ctx, args.view->entries, args.view->entry_count, self->links,
                  self->failure_domain, &follower->choice);
  /* While a fleet starts, no entry is listed yet, and the seeds tell the others who is. */
  if (follower->choice.count == 0 && !follower->choice.listed)
    bt_choose_seed_feed (follower->options.seeds, self->links, &follower->choice);
  keep_summary (follower, args.view);
  post_event (follower, args.view, true);
}

/* Records that the copy, as it is now, holds all that the store held at a time. */
static void
record_as_of (bt_store_follower_t *follower, int64_t as_of_ms)
{
  bt_copy_claim_t claim = { bt_get_copy_position (follower->copy), as_of_ms };

  bt_confirm_copy_claim (follower->copy, &claim);
}

/* Takes over items that were read, unless newer ones are known, and tells the followers. The copy
 * is not fresher by a read that is older than what is known. */
static void
replace_items (bt_store_follower_t *follower, bt_kv_range_t *range, int64_t begun_ms)
{
  bt_context_t *ctx = follower->ctx;
  bt_copy_claim_t before = bt_get_copy_claim (follower->copy);

  if (!bt_replace_copy (ctx, follower->copy, range, bt_now_ms (ctx)))
    {
      bt_record_old_store_read (ctx, &follower->status, range, before.position);
      return;
    }
  follower->read_ms = begun_ms;
  record_as_of (follower, begun_ms);
  bt_record_store_position (ctx, &follower->status, follower->copy, before.position);
  if (bt_compare_kv_positions (bt_get_copy_position (follower->copy), before.position) > 0)
    bt_send_peer_items (follower->feed, before.position);
  post_current_view (follower, begun_ms, before.as_of_ms);
}

/* Reads all items of the store. */
static bool
read_all (bt_store_follower_t *follower, bt_error_t *error)
{
  int64_t begun_ms = bt_now_ms (follower->ctx);
  bt_kv_range_t range = { 0 };

  if (!bt_read_kv (follower->ctx, follower->kv, "", true, &range, error))
    return false;
  replace_items (follower, &range, begun_ms);
  bt_drop_kv_range (follower->ctx, &range);
  return true;
}

/* Reads all items at the start, which costs the store less if they may be old, and then what has
 * changed since. There is no view before both are known. */
static bool
read_first (bt_store_follower_t *follower, bt_error_t *error)
{
  bt_context_t *ctx = follower->ctx;
  bt_kv_range_t range = { 0 };
  bt_kv_changes_t changes = { 0 };
  int64_t begun_ms;
  bool done;

  if (!bt_read_lagging_kv (ctx, follower->kv, "", &range, error))
    return false;
  begun_ms = bt_now_ms (ctx);
  done = bt_follow_kv (ctx, follower->kv, "", range.revision + 1, FIRST_WATCH_MS, &changes, error);
  if (done && !changes.incomplete && changes.written.era == range.era
      && changes.written.revision >= range.revision)
    {
      bt_apply_kv_changes (ctx, &range, &changes);
      replace_items (follower, &range, begun_ms);
    }
  else
    {
      /* A store that is too slow for a watch may still answer a read. */
      bt_clear_error (error);
      done = read_all (follower, error);
    }
  bt_drop_kv_range (ctx, &range);
  bt_drop_kv_changes (ctx, &changes);
  return done;
}

static bool
has_readers_to_follow (const bt_store_follower_t *follower)
{
  return follower->last_view != NULL && !follower->choice.reader
         && follower->choice.primary_count > 0;
}

/* Returns true if a full read is left to the readers for now. After a restoration all entries need
 * what the store holds at the same moment. */
static bool
defer_read (bt_store_follower_t *follower)
{
  int64_t now_ms = bt_now_ms (follower->ctx);

  if (!has_readers_to_follow (follower))
    return false;
  if (follower->deferred_ms == 0)
    follower->deferred_ms = now_ms;
  return now_ms - follower->deferred_ms < READ_PATIENCE_MS;
}

/* Pauses the watching thread, unless it must stop. */
static void
pause_watcher (const bt_store_follower_t *follower, int64_t pause_ms)
{
  if (ck_pr_load_int (&follower->watch_ended) == 0)
    bt_sleep_ms (pause_ms);
}

/* Applies the changes that a watch reported. Reads all items if the watch may have missed some, as
 * after a restoration: then the watch began at a revision of the era before. */
static bool
apply_changes (bt_store_follower_t *follower,
               bt_kv_changes_t *changes,
               bt_answered_watch_t *watch,
               bt_error_t *error)
{
  bt_copy_claim_t before = bt_get_copy_claim (follower->copy);
  bool restored = changes->written.era != before.position.era;

  if (restored && defer_read (follower))
    return true;
  follower->deferred_ms = 0;
  if (restored || changes->incomplete || changes->written.revision < before.position.revision)
    return read_all (follower, error);
  watch->changed = changes->written.count > 0 || changes->removed_count > 0;
  follower->gathering = watch->changed;
  follower->delay_ms = bt_get_watch_delay_ms (watch, follower->delay_ms);
  if (watch->changed)
    bt_apply_and_send_changes (follower->feed, changes);
  record_as_of (follower, bt_get_watch_as_of_ms (watch));
  if (watch->changed)
    post_current_view (follower, bt_now_ms (follower->ctx), before.as_of_ms);
  return true;
}

/* Returns true if a failed watch is no reason to read the store: it is away, and the readers will
 * read it when it returns. A store that is slow, or that refuses some calls, may answer a read. */
static bool
leaves_read_to_readers (const bt_store_follower_t *follower, const bt_error_t *error)
{
  return follower->store_failing && has_readers_to_follow (follower)
         && error->code != BT_ERROR_TIMEOUT && error->code != BT_ERROR_REFUSED;
}

/* Makes one watch call and applies its changes. Reads all items instead before the first view and
 * when the last full read is older than FULL_READ_MS. Reads them too if the watch fails, as changes
 * may have been missed, except while a peer is followed or the readers are waited for. */
static bool
follow_store (bt_store_follower_t *follower, int64_t wait_ms, bt_error_t *error)
{
  bt_answered_watch_t watch = { .called_ms = bt_now_ms (follower->ctx), .wait_ms = wait_ms };
  bt_kv_changes_t changes = { 0 };
  bool done;

  if (follower->last_view == NULL)
    return read_first (follower, error);
  if (watch.called_ms - follower->read_ms > FULL_READ_MS)
    return read_all (follower, error);
  done =
      bt_follow_kv (follower->ctx, follower->kv, "",
                    bt_get_copy_position (follower->copy).revision + 1, wait_ms, &changes, error);
  watch.answered_ms = bt_now_ms (follower->ctx);
  if (done)
    done = apply_changes (follower, &changes, &watch, error);
  else if (!follower->follows_peer && !leaves_read_to_readers (follower, error))
    {
      bt_clear_error (error);
      done = read_all (follower, error);
    }
  bt_drop_kv_changes (follower->ctx, &changes);
  return done;
}

static int64_t
get_gather_ms (const bt_store_follower_t *follower)
{
  return bt_get_pause_ms (&follower->freshness, bt_get_copy_claim (follower->copy).as_of_ms,
                          follower->delay_ms, GATHER_MS, bt_now_ms (follower->ctx));
}

/* Makes one call to the store itself, and records whether it answers. */
static void
call_store (bt_store_follower_t *follower, int64_t wait_ms)
{
  int64_t as_of_ms = bt_get_copy_claim (follower->copy).as_of_ms;
  bt_error_t error = { 0 };
  bool done;

  follower->gathering = false;
  done = follow_store (follower, wait_ms, &error);
  follower->helped = follower->gathering || bt_get_copy_claim (follower->copy).as_of_ms > as_of_ms;
  if (ck_pr_load_int (&follower->watch_ended) != 0)
    return;
  follower->tried_ms = bt_now_ms (follower->ctx);
  follower->store_failing = !done;
  if (!done)
    follower->deferred_ms = 0;
  /* The store answers, but this entry has not read it yet. */
  if (follower->deferred_ms != 0)
    return;
  bt_set_store_reachable (follower->feed, done);
  if (done || !follower->follows_peer)
    record_store_state (follower, done, &error);
  /* Changes often come in quick succession, and each watch is a call to the store. Waiting lets the
   * next answer report several of them. */
  if (follower->gathering)
    pause_watcher (follower, get_gather_ms (follower));
  if (!done && !follower->follows_peer)
    pause_watcher (follower, FAILED_PAUSE_MS);
}

/* Applies the updates that the followed peer has sent. */
static void
apply_peer_updates (bt_store_follower_t *follower)
{
  bt_copy_claim_t before = bt_get_copy_claim (follower->copy);
  bt_store_update_t *update;
  bool changed = false;

  while ((update = bt_take_peer_update (follower->feed)) != NULL)
    {
      bt_update_effect_t effect = bt_apply_update_to_copy (follower->ctx, follower->copy, update,
                                                           bt_now_ms (follower->ctx));

      if (effect == BT_UPDATE_GAP)
        bt_request_peer_resync (follower->feed);
      changed = changed || effect == BT_UPDATE_APPLIED;
      bt_drop_store_update (follower->ctx, update);
    }
  if (!changed)
    return;
  bt_record_store_position (follower->ctx, &follower->status, follower->copy, before.position);
  post_current_view (follower, bt_now_ms (follower->ctx), before.as_of_ms);
}

/* Decides whether this entry follows a peer or reads the store. Only readers, and entries without a
 * usable peer, read the store. */
static void
choose_source (bt_store_follower_t *follower)
{
  const bt_feed_choice_t *choice = &follower->choice;
  bt_kv_position_t position = bt_get_copy_position (follower->copy);
  int32_t count = follower->store_failing ? choice->count : choice->primary_count;
  const char *peer_state = bt_describe_peer_feed (follower->feed);
  bool follows_peer;

  bt_maintain_peer_feed (follower->feed, choice, count);
  follows_peer = bt_is_peer_feed_current (follower->feed);
  if (follows_peer)
    follower->read_ms = bt_now_ms (follower->ctx);
  if (follows_peer == follower->follows_peer)
    return;
  follower->follows_peer = follows_peer;
  bt_log_event (follower->ctx, BT_LOG_INFO, "store-source", "{s:s, s:I, s:I, s:s}", "source",
                follows_peer ? "peer" : "store", "era", (json_int_t)position.era, "revision",
                (json_int_t)position.revision, "peer_state", peer_state);
  if (!follows_peer)
    return;
  follower->deferred_ms = 0;
  follower->helped = true;
  /* Peers that follow this one must follow one that reads the store instead. */
  bt_set_store_reachable (follower->feed, false);
  record_store_state (follower, true, NULL);
}

static void
expire_retained_items (bt_store_follower_t *follower)
{
  if (bt_expire_retained_items (follower->ctx, follower->copy))
    post_current_view (follower, follower->read_ms, bt_get_copy_claim (follower->copy).as_of_ms);
}

static bt_follower_step_t
choose_step (const bt_store_follower_t *follower)
{
  bt_follower_state_t state = {
    .follows_peer = follower->follows_peer,
    .has_view = follower->last_view != NULL,
    .reader = follower->choice.reader,
    .has_primaries = follower->choice.primary_count > 0,
    .store_failing = follower->store_failing,
    .read_deferred = follower->deferred_ms != 0,
    .as_of_ms = bt_get_copy_claim (follower->copy).as_of_ms,
    .tried_ms = follower->tried_ms,
  };

  return bt_choose_follower_step (&state, bt_now_ms (follower->ctx));
}

static void
watch_store (bt_store_follower_t *follower)
{
  call_store (follower, bt_get_watch_wait_ms (
                            &follower->freshness, bt_get_copy_claim (follower->copy).as_of_ms,
                            follower->delay_ms, follower->helped, bt_now_ms (follower->ctx)));
}

static void *
run_watcher (void *argument)
{
  bt_store_follower_t *follower = argument;

  while (ck_pr_load_int (&follower->watch_ended) == 0)
    {
      choose_source (follower);
      apply_peer_updates (follower);
      expire_retained_items (follower);
      switch (choose_step (follower))
        {
        case BT_STEP_WAIT_FOR_PEER:
          bt_wait_for_current_peer (follower->feed, PEER_PATIENCE_STEP_MS);
          break;
        case BT_STEP_WATCH_STORE:
          watch_store (follower);
          break;
        case BT_STEP_RETRY_STORE:
          call_store (follower, RETRY_WATCH_MS);
          break;
        case BT_STEP_WAIT_FOR_UPDATE:
          bt_wait_for_peer_update (follower->feed, PEER_WAIT_MS);
          break;
        }
    }
  return NULL;
}

static bool
open_feed (bt_store_follower_t *follower, bt_error_t *error)
{
  const bt_store_follower_options_t *options = &follower->options;
  bt_peer_feed_options_t feed = {
    .self = { .links = options->entry.links,
              .incarnation = options->entry.identity.incarnation,
              .failure_domain = options->entry.failure_domain,
              .secret = options->secret },
    .freshness = follower->freshness,
  };

  follower->copy = bt_new_store_copy (follower->ctx, options->platform);
  bt_choose_seed_feed (options->seeds, options->entry.links, &follower->choice);
  follower->feed = bt_new_peer_feed (follower->ctx, &feed, follower->copy, error);
  return follower->feed != NULL;
}

bt_store_follower_t *
bt_new_store_follower (bt_context_t *ctx,
                       bt_event_loop_t *loop,
                       const bt_store_follower_options_t *options,
                       bt_store_listener_t *listener,
                       bt_error_t *error)
{
  bt_store_follower_t *follower = bt_calloc (ctx, 1, sizeof *follower);
  bt_listing_options_t listing = {
    .entry = &follower->options.entry,
    .lease_s = options->lease_s,
    .renew_ms = options->renew_ms,
  };
  bt_kv_filter_t filter;
  uint64_t seed;

  bt_fill_secure_random (&seed, sizeof seed);
  follower->ctx = ctx;
  follower->loop = loop;
  follower->options = *options;
  follower->listener = listener;
  follower->freshness = bt_get_freshness_limits (options->watch_ms);
  follower->helped = true;
  follower->kv = options->platform->vtable->new_store (ctx, options->address, seed);
  filter = bt_make_store_filter (options->platform);
  bt_set_kv_filter (follower->kv, &filter);
  bt_open_store_status (ctx, &follower->status);
  listing.kv = follower->kv;
  if (!open_feed (follower, error))
    {
      bt_drop_store_follower (ctx, follower);
      return NULL;
    }
  follower->listing = bt_new_listing (ctx, &listing);
  if (follower->listing != NULL)
    follower->running =
        bt_start_store_thread (ctx, &follower->watcher, "store", run_watcher, follower);
  if (follower->running)
    return follower;
  bt_set_error (error, BT_ERROR_SYSTEM, "Cannot start the threads that use the store.");
  bt_drop_store_follower (ctx, follower);
  return NULL;
}

void
bt_set_follower_listed (bt_store_follower_t *follower, bool listed)
{
  bt_set_listing_wanted (follower->listing, listed);
  if (!listed)
    bt_retire_peer_feed (follower->feed);
}

void
bt_print_follower_status (bt_store_follower_t *follower, FILE *out)
{
  bt_print_store_status (follower->copy, out);
}

bool
bt_has_entry_left (bt_store_follower_t *follower, const bt_identity_t *identity)
{
  return bt_has_peer_left (follower->feed, identity->incarnation);
}

void
bt_end_store_watch (bt_store_follower_t *follower)
{
  ck_pr_store_int (&follower->watch_ended, 1);
}

void
bt_drop_store_follower (bt_context_t *ctx, bt_store_follower_t *follower)
{
  if (follower == NULL)
    return;
  bt_end_store_watch (follower);
  bt_drop_listing (ctx, follower->listing);
  bt_cancel_kv (ctx, follower->kv);
  if (follower->running)
    pthread_join (follower->watcher, NULL);
  bt_drop_kv (ctx, follower->kv);
  bt_drop_peer_feed (ctx, follower->feed);
  bt_drop_store_copy (ctx, follower->copy);
  bt_drop_view (ctx, follower->last_view);
  bt_free (ctx, follower);
}
