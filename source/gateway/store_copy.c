#include "store_copy.h"

#include <pthread.h>
#include <string.h>

struct bt_store_copy
{
  /* Lock order: acquired last. */
  pthread_mutex_t lock; /* guards items */
  bt_kv_range_t items;
};

bt_store_copy_t *
bt_new_store_copy (bt_context_t *ctx)
{
  bt_store_copy_t *copy = bt_calloc (ctx, 1, sizeof *copy);

  pthread_mutex_init (&copy->lock, NULL);
  return copy;
}

void
bt_drop_store_copy (bt_context_t *ctx, bt_store_copy_t *copy)
{
  if (copy == NULL)
    return;
  bt_drop_kv_range (ctx, &copy->items);
  pthread_mutex_destroy (&copy->lock);
  bt_free (ctx, copy);
}

int64_t
bt_get_copy_revision (bt_store_copy_t *copy)
{
  int64_t revision;

  pthread_mutex_lock (&copy->lock);
  revision = copy->items.revision;
  pthread_mutex_unlock (&copy->lock);
  return revision;
}

bool
bt_replace_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_range_t *range)
{
  bool newer;

  pthread_mutex_lock (&copy->lock);
  newer = range->revision >= copy->items.revision;
  if (newer)
    {
      bt_drop_kv_range (ctx, &copy->items);
      copy->items = *range;
      memset (range, 0, sizeof *range);
    }
  pthread_mutex_unlock (&copy->lock);
  return newer;
}

void
bt_change_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_changes_t *changes)
{
  pthread_mutex_lock (&copy->lock);
  bt_apply_kv_changes (ctx, &copy->items, changes);
  pthread_mutex_unlock (&copy->lock);
}

static bool
has_key (const bt_store_news_t *news, const char *key)
{
  for (int32_t i = 0; i < news->key_count; i++)
    if (strcmp (news->keys[i], key) == 0)
      return true;
  return false;
}

/* Adds a removal for each key of @p items that a whole update does not list: such an update lists
 * the present keys, not the removed ones. */
static void
note_absent_keys (bt_context_t *ctx, const bt_kv_range_t *items, bt_store_news_t *news)
{
  bt_kv_changes_t *changes = &news->changes;
  size_t most = (size_t)changes->removed_count + (size_t)items->count;

  changes->removed = bt_realloc (ctx, changes->removed, most, sizeof *changes->removed);
  changes->removed_at = bt_realloc (ctx, changes->removed_at, most, sizeof *changes->removed_at);
  for (int32_t i = 0; i < items->count; i++)
    if (!has_key (news, items->pairs[i].key))
      {
        changes->removed_at[changes->removed_count] = changes->written.revision;
        changes->removed[changes->removed_count++] = bt_strdup (ctx, items->pairs[i].key);
      }
}

bt_news_effect_t
bt_add_news_to_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_store_news_t *news)
{
  bt_news_effect_t effect = BT_NEWS_TAKEN;

  pthread_mutex_lock (&copy->lock);
  if (news->changes.written.revision <= copy->items.revision)
    effect = BT_NEWS_OLD;
  else if (news->from_revision > copy->items.revision)
    effect = BT_NEWS_GAP;
  else
    {
      if (news->whole)
        note_absent_keys (ctx, &copy->items, news);
      bt_apply_kv_changes (ctx, &copy->items, &news->changes);
    }
  pthread_mutex_unlock (&copy->lock);
  return effect;
}

void
bt_look_at_copy (bt_store_copy_t *copy, bt_look_at_items_t look, void *data)
{
  pthread_mutex_lock (&copy->lock);
  look (data, &copy->items);
  pthread_mutex_unlock (&copy->lock);
}

void
bt_drop_store_news (bt_context_t *ctx, bt_store_news_t *news)
{
  if (news == NULL)
    return;
  bt_drop_kv_changes (ctx, &news->changes);
  for (int32_t i = 0; i < news->key_count; i++)
    bt_free (ctx, news->keys[i]);
  bt_free (ctx, news->keys);
  bt_free (ctx, news);
}
