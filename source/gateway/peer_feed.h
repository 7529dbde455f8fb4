#ifndef BILBERRYTRAY_SOURCE_GATEWAY_PEER_FEED_H
#define BILBERRYTRAY_SOURCE_GATEWAY_PEER_FEED_H

/** @file
 * Links between entry instances, over which those that read the platform's store send its contents
 * to the others. An entry whose calls to the store fail receives the contents this way too, as does
 * one that starts while the store does not answer.
 *
 * The thread that owns the copy of the store calls the functions below, unless stated otherwise;
 * frames arrive on the links' own thread.
 */

#include "feed_choice.h"
#include "peer_links.h"
#include "store_copy.h"

typedef struct bt_peer_feed bt_peer_feed_t;

/** Strings of the options must outlive the feed. */
typedef struct bt_peer_feed_options
{
  bt_peer_identity_t self;
  bt_freshness_limits_t freshness;
} bt_peer_feed_options_t;

/** Returns NULL and sets @p error if this entry can't accept links. */
bt_peer_feed_t *bt_new_peer_feed (bt_context_t *ctx,
                                  const bt_peer_feed_options_t *options,
                                  bt_store_copy_t *copy,
                                  bt_error_t *error);

/** NULL is accepted. */
void bt_drop_peer_feed (bt_context_t *ctx, bt_peer_feed_t *feed);

/** Follows one of the first @p count candidates and tries them in turn. Must be called regularly: a
 * later call abandons a candidate that does not answer and tries the next. Requests changes that
 * the followed peer has and did not send; the updates that have arrived must have been applied. */
void bt_maintain_peer_feed (bt_peer_feed_t *feed, const bt_feed_choice_t *choice, int32_t count);

/** Returns true if the followed peer reads the store itself, has sent all items, is not behind this
 * entry's copy, and has a copy that is fresh enough to be followed. */
bool bt_is_peer_feed_current (bt_peer_feed_t *feed);

/** Returns why the followed peer is not current, or "current", for the log. */
const char *bt_describe_peer_feed (bt_peer_feed_t *feed);

/** Waits until an update arrives or the peer is no longer current, at most @p wait_ms. */
void bt_wait_for_peer_update (bt_peer_feed_t *feed, int64_t wait_ms);

/** Waits until the followed peer is current, at most @p wait_ms. */
void bt_wait_for_current_peer (bt_peer_feed_t *feed, int64_t wait_ms);

/** Removes and returns the oldest pending update, which the caller drops; NULL if there is none. */
bt_store_update_t *bt_take_peer_update (bt_peer_feed_t *feed);

/** Asks the peer for all changes since the copy's position, after an update was missed. */
void bt_request_peer_resync (bt_peer_feed_t *feed);

/** Records whether this entry reads the store and the store answers it. Tells the followers if that
 * has changed, or if the copy was confirmed to be complete as of a later time. */
void bt_set_store_reachable (bt_peer_feed_t *feed, bool reachable);

/** Applies changes that directly follow the copy's position to the copy, and sends them to the
 * followers. */
void bt_apply_and_send_changes (bt_peer_feed_t *feed, bt_kv_changes_t *changes);

/** Sends the items that changed after @p from, and all keys, to the followers. Called after a full
 * read that found a later position. */
void bt_send_peer_items (bt_peer_feed_t *feed, bt_kv_position_t from);

/** Notifies the followers that this entry shuts down, so that they follow another. May be called
 * from any thread. */
void bt_retire_peer_feed (bt_peer_feed_t *feed);

/** Returns true if the peer of this incarnation announced its shutdown. From any thread. */
bool bt_has_peer_left (bt_peer_feed_t *feed, uint64_t incarnation);

#endif
