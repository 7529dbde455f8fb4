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
};

struct bt_listing
{
  bt_context_t *ctx;
  bt_listing_options_t options;
  bool running;
  pthread_t thread;
  int32_t stopping;
  /* Lock order: no other lock is held with it. */
  pthread_mutex_t lock; /* guards wanted */
  pthread_cond_t changed;
  bool wanted;
};

static bool
is_stopping (bt_listing_t *listing)
{
  return ck_pr_load_int (&listing->stopping) != 0;
}

/* Requests a lease and writes the listing of this instance under it. */
static bool
list_entry (bt_listing_t *listing, int64_t *lease, bt_error_t *error)
{
  bt_context_t *ctx = listing->ctx;
  char key[2 * BT_NAME_BYTES];
  char *value = bt_write_listed_entry (ctx, listing->options.entry);
  bt_kv_write_t write = { .kind = BT_KV_PUT, .key = key, .value = value };
  bool done;

  bt_write_entry_key (key, listing->options.entry->identity.instance);
  done = bt_grant_kv_lease (ctx, listing->options.kv, listing->options.lease_s, lease, error);
  write.value_bytes = strlen (value);
  write.lease = *lease;
  done = done && bt_put_kv (ctx, listing->options.kv, &write, NULL, error);
  bt_free (ctx, value);
  if (done)
    bt_log_event (ctx, BT_LOG_INFO, "listed", "{s:I}", "lease", (json_int_t)*lease);
  else
    *lease = 0;
  return done;
}

/* Removes the listing of this instance. The caller repeats this if the store does not answer: until
 * the lease expires, the other instances would direct callers to an instance that refuses them. */
static void
unlist_entry (bt_listing_t *listing, int64_t *lease)
{
  bt_error_t error = { 0 };

  if (*lease == 0)
    return;
  if (bt_revoke_kv_lease (listing->ctx, listing->options.kv, *lease, &error)
      || error.code == BT_ERROR_NOT_FOUND)
    {
      *lease = 0;
      return;
    }
  bt_log_event (listing->ctx, BT_LOG_WARNING, "unlist-failed", "{s:s}", "message", error.message);
  if (!is_stopping (listing))
    bt_sleep_ms (FAILED_PAUSE_MS);
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
  int64_t lease = 0;
  bool unlist_tried = false;

  while (!is_stopping (listing))
    {
      bool wanted = wait_for_renewal (listing, lease != 0);
      bt_error_t error = { 0 };
      int64_t ttl_s;

      if (is_stopping (listing))
        break;
      unlist_tried = !wanted;
      if (!wanted)
        unlist_entry (listing, &lease);
      else if (lease == 0)
        list_entry (listing, &lease, &error);
      else if (!bt_renew_kv_lease (listing->ctx, listing->options.kv, lease, &ttl_s, &error)
               && error.code == BT_ERROR_NOT_FOUND)
        {
          bt_log_event (listing->ctx, BT_LOG_WARNING, "listing-lapsed", "{s:I}", "lease",
                        (json_int_t)lease);
          list_entry (listing, &lease, &error);
        }
    }
  /* If the last call to the store already was an attempt to remove the listing, the process need
   * not wait for another one that may fail. */
  if (!unlist_tried)
    unlist_entry (listing, &lease);
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
  listing->running = bt_start_store_thread (ctx, &listing->thread, run_listing, listing);
  return listing;
}

void
bt_set_listing_wanted (bt_listing_t *listing, bool wanted)
{
  pthread_mutex_lock (&listing->lock);
  listing->wanted = wanted;
  pthread_cond_signal (&listing->changed);
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
    pthread_join (listing->thread, NULL);
  pthread_cond_destroy (&listing->changed);
  pthread_mutex_destroy (&listing->lock);
  bt_free (ctx, listing);
}
