#include "listing.h"

#include <ck_pr.h>
#include <pthread.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/condition.h"
#include "bilberrytray/base/event_log.h"
#include "store_thread.h"

enum
{
  /* Pause between two attempts while the store fails, in addition to the client's own back-off. */
  FAILED_PAUSE_MS = 150,
  /* How long a stop waits for the last call to the store. A store in service answers in a few ms;
   * if it doesn't answer, the listing ends with its lease. */
  LAST_CALL_MS = 80,
};

struct bt_listing
{
  bt_context_t *ctx;
  bt_listing_options_t options;
  bool running;
  pthread_t thread;
  int32_t stopping;
  /* Lock order: no other lock is held with it. */
  pthread_mutex_t lock; /* guards the members below */
  pthread_cond_t changed;
  bool wanted;
  bool ended; /* the thread makes no more calls */
};

/** The lease of the listing. */
typedef struct listing_lease
{
  int64_t id;  /* 0: not listed */
  int64_t era; /* era of the store in which it was granted */
} listing_lease_t;

static bool
is_stopping (bt_listing_t *listing)
{
  return ck_pr_load_int (&listing->stopping) != 0;
}

/* Returns true if the store was restored since the lease was granted: its id may now denote another
 * lease. */
static bool
is_lease_of_earlier_era (const bt_listing_t *listing, const listing_lease_t *lease)
{
  return lease->era != bt_get_kv_era (listing->options.kv);
}

/* Requests a lease and writes the listing of this instance under it. The era is that before the
 * calls: if the store is restored meanwhile, the instance is listed once more. */
static void
list_entry (bt_listing_t *listing, listing_lease_t *lease)
{
  bt_context_t *ctx = listing->ctx;
  bt_kv_t *kv = listing->options.kv;
  char key[2 * BT_NAME_BYTES];
  char *value = bt_write_listed_entry (ctx, listing->options.entry);
  bt_kv_write_t write = { .kind = BT_KV_PUT, .key = key, .value = value };
  bt_error_t error = { 0 };
  int64_t era = bt_get_kv_era (kv);
  bool done;

  bt_write_entry_key (key, listing->options.entry->identity.instance);
  done = bt_grant_kv_lease (ctx, kv, listing->options.lease_s, &lease->id, &error);
  lease->era = era == 0 ? bt_get_kv_era (kv) : era;
  write.value_bytes = strlen (value);
  write.lease = lease->id;
  done = done && bt_put_kv (ctx, kv, &write, NULL, &error);
  bt_free (ctx, value);
  if (done)
    bt_log_event (ctx, BT_LOG_INFO, "listed", "{s:I}", "lease", (json_int_t)lease->id);
  else
    lease->id = 0;
}

/* Removes the listing without its lease. */
static bool
remove_listing (bt_listing_t *listing, bt_error_t *error)
{
  char key[2 * BT_NAME_BYTES];
  bt_kv_write_t write = { .kind = BT_KV_DELETE, .key = key };
  bt_kv_txn_t txn = { .writes = &write, .write_count = 1 };
  bt_kv_txn_result_t result;

  bt_write_entry_key (key, listing->options.entry->identity.instance);
  return bt_commit_kv (listing->ctx, listing->options.kv, &txn, &result, error);
}

/* Removes the listing of this instance. The caller repeats this if the store does not answer: until
 * the lease expires, the other instances would direct callers to an instance that refuses them. */
static void
unlist_entry (bt_listing_t *listing, listing_lease_t *lease)
{
  bt_error_t error = { 0 };
  bool done;

  if (lease->id == 0)
    return;
  if (is_lease_of_earlier_era (listing, lease))
    done = remove_listing (listing, &error);
  else
    done = bt_revoke_kv_lease (listing->ctx, listing->options.kv, lease->id, &error)
           || error.code == BT_ERROR_NOT_FOUND;
  if (done)
    {
      lease->id = 0;
      return;
    }
  bt_log_event (listing->ctx, BT_LOG_WARNING, "unlist-failed", "{s:s}", "message", error.message);
  if (!is_stopping (listing))
    bt_sleep_ms (FAILED_PAUSE_MS);
}

/* Renews the lease, and lists this instance again if the lease has ended. */
static void
renew_listing (bt_listing_t *listing, listing_lease_t *lease)
{
  bt_error_t error = { 0 };
  int64_t ttl_s;

  if (!is_lease_of_earlier_era (listing, lease))
    bt_renew_kv_lease (listing->ctx, listing->options.kv, lease->id, &ttl_s, &error);
  if (error.code != BT_ERROR_NOT_FOUND && !is_lease_of_earlier_era (listing, lease))
    return;
  bt_log_event (listing->ctx, BT_LOG_WARNING, "listing-lapsed", "{s:I}", "lease",
                (json_int_t)lease->id);
  list_entry (listing, lease);
}

/* Waits until the next renewal is due, or until @p listed differs from the wanted state. Returns
 * the wanted state. */
static bool
wait_for_renewal (bt_listing_t *listing, bool listed)
{
  bool wanted;

  pthread_mutex_lock (&listing->lock);
  if (listing->wanted == listed && !is_stopping (listing))
    bt_wait_condition (&listing->changed, &listing->lock, listing->options.renew_ms);
  wanted = listing->wanted;
  pthread_mutex_unlock (&listing->lock);
  return wanted;
}

static void *
run_listing (void *argument)
{
  bt_listing_t *listing = argument;
  listing_lease_t lease = { 0 };
  bool unlist_tried = false;

  while (!is_stopping (listing))
    {
      bool wanted = wait_for_renewal (listing, lease.id != 0);

      if (is_stopping (listing))
        break;
      unlist_tried = !wanted;
      if (!wanted)
        unlist_entry (listing, &lease);
      else if (lease.id == 0)
        list_entry (listing, &lease);
      else
        renew_listing (listing, &lease);
    }
  /* If the last call to the store already was an attempt to remove the listing, the process need
   * not wait for another one that may fail. */
  if (!unlist_tried)
    unlist_entry (listing, &lease);
  pthread_mutex_lock (&listing->lock);
  listing->ended = true;
  pthread_cond_signal (&listing->changed);
  pthread_mutex_unlock (&listing->lock);
  return NULL;
}

bt_listing_t *
bt_new_listing (bt_context_t *ctx, const bt_listing_options_t *options)
{
  bt_listing_t *listing = bt_calloc (ctx, 1, sizeof *listing);

  listing->ctx = ctx;
  listing->options = *options;
  pthread_mutex_init (&listing->lock, NULL);
  bt_init_condition (&listing->changed);
  listing->running = bt_start_store_thread (ctx, &listing->thread, "listing", run_listing, listing);
  if (listing->running)
    return listing;
  bt_drop_listing (ctx, listing);
  return NULL;
}

void
bt_set_listing_wanted (bt_listing_t *listing, bool wanted)
{
  pthread_mutex_lock (&listing->lock);
  listing->wanted = wanted;
  pthread_cond_signal (&listing->changed);
  pthread_mutex_unlock (&listing->lock);
}

static void
wait_for_last_call (bt_listing_t *listing)
{
  int64_t limit_ms = bt_now_ms (listing->ctx) + LAST_CALL_MS;
  int64_t left_ms;

  pthread_mutex_lock (&listing->lock);
  while (!listing->ended && (left_ms = limit_ms - bt_now_ms (listing->ctx)) > 0)
    bt_wait_condition (&listing->changed, &listing->lock, left_ms);
  pthread_mutex_unlock (&listing->lock);
}

void
bt_drop_listing (bt_context_t *ctx, bt_listing_t *listing)
{
  if (listing == NULL)
    return;
  pthread_mutex_lock (&listing->lock);
  ck_pr_store_int (&listing->stopping, 1);
  pthread_cond_signal (&listing->changed);
  pthread_mutex_unlock (&listing->lock);
  if (listing->running)
    {
      wait_for_last_call (listing);
      bt_cancel_kv (ctx, listing->options.kv);
      pthread_join (listing->thread, NULL);
    }
  pthread_cond_destroy (&listing->changed);
  pthread_mutex_destroy (&listing->lock);
  bt_free (ctx, listing);
}
