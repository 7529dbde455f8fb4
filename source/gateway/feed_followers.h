#ifndef BILBERRYTRAY_SOURCE_GATEWAY_FEED_FOLLOWERS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_FEED_FOLLOWERS_H

/** @file
 * The entries that follow this one, and when they were heard last. Not thread-safe.
 */

#include "bilberrytray/wire/link.h"

typedef struct bt_feed_follower
{
  bt_link_t *link;
  int64_t echo_ms;    /**< When it sent its last message, by its clock; 0: not known. */
  int64_t arrival_ms; /**< When that arrived, by this entry's clock. */
  struct bt_feed_follower *next;
} bt_feed_follower_t;

/** Returns NULL if the entry at the other end of @p link does not follow this one. */
bt_feed_follower_t *bt_find_feed_follower (bt_feed_follower_t *first, const bt_link_t *link);

/** Adds a follower if it is not in the list, and returns it. The list keeps the link. */
bt_feed_follower_t *
bt_add_feed_follower (bt_context_t *ctx, bt_feed_follower_t **first, bt_link_t *link);

/** Removes a follower if it is in the list. */
void bt_remove_feed_follower (bt_context_t *ctx, bt_feed_follower_t **first, const bt_link_t *link);

void bt_clear_feed_followers (bt_context_t *ctx, bt_feed_follower_t **first);

#endif
