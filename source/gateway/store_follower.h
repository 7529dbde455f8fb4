#ifndef BILBERRYTRAY_SOURCE_GATEWAY_STORE_FOLLOWER_H
#define BILBERRYTRAY_SOURCE_GATEWAY_STORE_FOLLOWER_H

/** @file
 * Keeps this instance's copy of the platform's store up to date. One thread follows the store, or a
 * peer that does; another keeps this instance listed in the store.
 */

#include <stdio.h>

#include "event_loop.h"
#include "view.h"

typedef struct bt_store_follower bt_store_follower_t;

/** Receives the threads' results on the event loop. */
typedef struct bt_store_listener
{
  /** There is a new view, which the listener owns. */
  void (*on_view) (struct bt_store_listener *listener, bt_view_t *view);
  /** The store was lost (no call succeeds and no peer can be followed), or is available again. */
  void (*on_store) (struct bt_store_listener *listener, bool available);
} bt_store_listener_t;

typedef struct bt_store_follower_options
{
  const bt_platform_t *platform;
  const char *address;     /**< The store's "IP:PORT". */
  bt_listed_entry_t entry; /**< The listing of this instance. */
  int64_t watch_ms;        /**< Longest wait of one watch call. */
  int64_t lease_s;         /**< An instance that does not renew its lease for this long is no longer
                                listed. */
  int64_t renew_ms;        /**< Interval between two renewals. */
  const char *seeds;       /**< Peers to follow while no entry is known; see gateway.h. */
  const char *secret;      /**< Secret of links between instances. */
} bt_store_follower_options_t;

/** Strings of the options must outlive the follower. Returns NULL and sets @p error if links of
 * peers can't be accepted or a thread can't be started. */
bt_store_follower_t *bt_new_store_follower (bt_context_t *ctx,
                                            bt_event_loop_t *loop,
                                            const bt_store_follower_options_t *options,
                                            bt_store_listener_t *listener,
                                            bt_error_t *error);

/** Requests that this instance be listed or not. It is not listed until the first call. May be
 * called from any thread. */
void bt_set_follower_listed (bt_store_follower_t *follower, bool listed);

/** Returns true if an entry announced its shutdown, even if it is still listed. May be called from
 * any thread. */
bool bt_has_entry_left (bt_store_follower_t *follower, const bt_identity_t *identity);

/** Prints the era and the revision of this instance's copy of the store. May be called from any
 * thread. */
void bt_print_follower_status (bt_store_follower_t *follower, FILE *out);

/** Stops following the store after the current call. An instance that sends no more requests needs
 * no updates, and its shutdown need not wait for a watch. The listing is still maintained. */
void bt_end_store_watch (bt_store_follower_t *follower);

/** Stops the threads. The event loop must not be running. NULL is accepted. */
void bt_drop_store_follower (bt_context_t *ctx, bt_store_follower_t *follower);

#endif
