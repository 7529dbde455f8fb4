#include "feed_followers.h"

bt_feed_follower_t *
bt_find_feed_follower (bt_feed_follower_t *first, const bt_link_t *link)
{
  for (bt_feed_follower_t *follower = first; follower != NULL; follower = follower->next)
    if (follower->link == link)
      return follower;
  return NULL;
}

bt_feed_follower_t *
bt_add_feed_follower (bt_context_t *ctx, bt_feed_follower_t **first, bt_link_t *link)
{
  bt_feed_follower_t *follower = bt_find_feed_follower (*first, link);

  if (follower != NULL)
    return follower;
  follower = bt_calloc (ctx, 1, sizeof *follower);
  follower->link = bt_keep_link (link);
  follower->next = *first;
  *first = follower;
  return follower;
}

static void
drop_follower (bt_context_t *ctx, bt_feed_follower_t **at)
{
  bt_feed_follower_t *follower = *at;

  *at = follower->next;
  bt_drop_link (ctx, follower->link);
  bt_free (ctx, follower);
}

void
bt_remove_feed_follower (bt_context_t *ctx, bt_feed_follower_t **first, const bt_link_t *link)
{
  for (bt_feed_follower_t **at = first; *at != NULL; at = &(*at)->next)
    if ((*at)->link == link)
      {
        drop_follower (ctx, at);
        return;
      }
}

void
bt_clear_feed_followers (bt_context_t *ctx, bt_feed_follower_t **first)
{
  while (*first != NULL)
    drop_follower (ctx, first);
}
