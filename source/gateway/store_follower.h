#ifndef BILBERRYTRAY_SOURCE_GATEWAY_STORE_FOLLOWER_H
#define BILBERRYTRAY_SOURCE_GATEWAY_STORE_FOLLOWER_H

/** @file
 * What this instance knows of the platform's store, and how it learns it. One thread follows the
 * store, or a peer that does; another keeps this instance listed there.
 */

#include "event_loop.h"
#include "view.h"

typedef struct bt_store_follower bt_store_follower_t;

/** Takes what the threads learn; called on the event loop. */
typedef struct bt_store_listener
{
  /** A new view, which the listener owns. */
  void (*on_view) (struct bt_store_listener *listener, bt_view_t *view);
  /** The store was lost (no call succeeds), or is there again. */
  void (*on_store) (struct bt_store_listener *listener, bool there);
} bt_store_listener_t;

typedef struct bt_store_follower_options
{
  const bt_platform_t *platform;
  const char *address;     /**< The store's "IP:PORT". */
  bt_listed_entry_t entry; /**< This instance, as it is listed. */
  int64_t watch_ms;        /**< Longest wait of one watch. */
  int64_t lease_s;         /**< An instance that does not renew for so long is no longer listed. */
  int64_t renew_ms;        /**< Between two renewals. */
  const char *seeds;       /**< Instances to learn from while none is known; see gateway.h. */
  const char *secret;      /**< Of links between instances. */
} bt_store_follower_options_t;

/** Strings of the options must outlive it. NULL with @p error when peers can't be let in. */
bt_store_follower_t *bt_new_store_follower (bt_context_t *ctx,
                                            bt_event_loop_t *loop,
                                            const bt_store_follower_options_t *options,
                                            bt_store_listener_t *listener,
                                            bt_error_t *error);

/** Has this instance listed, or no longer. Until the first call it is not. From any thread. */
void bt_set_follower_listed (bt_store_follower_t *follower, bool listed);

/** True when an entry that may still be listed said itself that it leaves. From any thread. */
bool bt_has_entry_left (bt_store_follower_t *follower, const bt_identity_t *identity);

/** Ends the following of the store, behind the call that is under way: an instance that sends no
 * request any more needs no news, and its end need not wait for a watch. The listing is still kept
 * as it is wanted. */
void bt_end_store_watch (bt_store_follower_t *follower);

/** Ends the threads; the loop must no longer run. NULL is accepted. */
void bt_drop_store_follower (bt_context_t *ctx, bt_store_follower_t *follower);

#endif
