#ifndef BILBERRYTRAY_SOURCE_GATEWAY_PEER_FEED_H
#define BILBERRYTRAY_SOURCE_GATEWAY_PEER_FEED_H

/** @file
 * Links between entries, by which those that read the platform's store tell the others what it
 * holds. An entry that the store turns away learns that way too, and so does one that starts while
 * the store is silent.
 *
 * One thread, the one that owns the copy of the store, makes the calls below; frames come on the
 * links' own thread.
 */

#include "feed_choice.h"
#include "peer_links.h"
#include "store_copy.h"

typedef struct bt_peer_feed bt_peer_feed_t;

/** Strings must outlive the feed. */
typedef struct bt_peer_feed_options
{
  bt_peer_name_t self;
  int64_t contact_ms; /**< A reader that has not heard from the store for so long has lost it. */
} bt_peer_feed_options_t;

/** NULL with @p error when links can't be accepted. */
bt_peer_feed_t *bt_new_peer_feed (bt_context_t *ctx,
                                  const bt_peer_feed_options_t *options,
                                  bt_store_copy_t *copy,
                                  bt_error_t *error);

/** NULL is accepted. */
void bt_drop_peer_feed (bt_context_t *ctx, bt_peer_feed_t *feed);

/** Follows one of the first @p count candidates, trying one after the other. To be called again and
 * again: a candidate that does not answer is given up after some calls. */
void bt_tend_peer_feed (bt_peer_feed_t *feed, const bt_feed_choice_t *choice, int32_t count);

/** True when the peer that is followed reads the store itself and has told all that it knows. */
bool bt_is_peer_feed_good (bt_peer_feed_t *feed);

/** Waits until something came or the peer was lost, @p wait_ms at most. */
void bt_wait_peer_feed (bt_peer_feed_t *feed, int64_t wait_ms);

/** The oldest news not yet taken, which the caller drops; NULL: there are none. */
bt_store_news_t *bt_take_peer_news (bt_peer_feed_t *feed);

/** Asks the peer for all that changed: something was missed. */
void bt_ask_peer_again (bt_peer_feed_t *feed);

/** Notes that the store has just answered this entry, or that it does not, and tells followers when
 * that is new. */
void bt_note_store_contact (bt_peer_feed_t *feed, bool there);

/** Tells followers what changed behind @p from_revision. */
void
bt_send_peer_changes (bt_peer_feed_t *feed, int64_t from_revision, const bt_kv_changes_t *changes);

/** Tells followers how all items stand, after a full read that found something new. */
void bt_send_peer_items (bt_peer_feed_t *feed, int64_t from_revision);

/** Followers are to look elsewhere: this entry leaves. From any thread. */
void bt_retire_peer_feed (bt_peer_feed_t *feed);

/** True when the peer of this incarnation said that it leaves. */
bool bt_has_peer_left (bt_peer_feed_t *feed, uint64_t incarnation);

#endif
