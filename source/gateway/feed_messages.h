#ifndef BILBERRYTRAY_SOURCE_GATEWAY_FEED_MESSAGES_H
#define BILBERRYTRAY_SOURCE_GATEWAY_FEED_MESSAGES_H

/** @file
 * Encodes and decodes the messages in which an entry instance sends the contents of the platform's
 * store to another, and says how fresh they are.
 */

#include "bilberrytray/wire/frame.h"
#include "feed_followers.h"
#include "store_copy.h"

/** Encodes the changes after @p from_revision. The message points into @p changes; free it with
 * bt_clear_items_message. */
void bt_write_changes_message (bt_context_t *ctx,
                               int64_t from_revision,
                               const bt_kv_changes_t *changes,
                               Bilberry__StoreItems *message);

/** Encodes the items that changed after @p from, or all items if that is a position of another era,
 * the keys of all items, and what is retained. The message points into @p items and @p retained;
 * free it with bt_clear_items_message. */
void bt_write_items_message (bt_context_t *ctx,
                             bt_kv_position_t from,
                             const bt_kv_range_t *items,
                             const bt_retention_t *retained,
                             int64_t now_ms,
                             Bilberry__StoreItems *message);

/** Frees the lists of an encoded message, not what they point to. */
void bt_clear_items_message (bt_context_t *ctx, Bilberry__StoreItems *message);

/** Decodes a message into a copy; free it with bt_drop_store_update. */
bt_store_update_t *bt_read_items_message (bt_context_t *ctx, const Bilberry__StoreItems *message);

/** Writes what an entry tells a follower about its copy. The as-of time is given relative to the
 * arrival of the follower's last message, and is left out if none has arrived. */
void bt_write_claim (const bt_copy_claim_t *claim,
                     const bt_feed_follower_t *follower,
                     Bilberry__StoreState *state);

/** Reads a claim. Its as-of time counts from when the receiver sent the message that the sender had
 * when it wrote the claim. That was before its arrival, so no delay of a message, at either end or
 * on the way, makes a copy seem fresher than it is. Returns false if no as-of time is given. */
bool bt_read_claim (const Bilberry__StoreState *state, bt_copy_claim_t *claim);

#endif
