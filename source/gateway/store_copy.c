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

static bt_kv_position_t
get_position (const bt_kv_range_t *range)
{
  return (bt_kv_position_t){ range->era, range->revision };
}

bt_kv_position_t
bt_get_copy_position (bt_store_copy_t *copy)
{
  bt_kv_position_t position;

  pthread_mutex_lock (&copy->lock);
  position = get_position (&copy->items);
  pthread_mutex_unlock (&copy->lock);
  return position;
}

/* Replaces the items and takes ownership of those of @p range. */
static void
replace_items (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_range_t *range)
{
  bt_drop_kv_range (ctx, &copy->items);
  copy->items = *range;
  memset (range, 0, sizeof *range);
}

bool
bt_replace_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_range_t *range)
{
  bool replaced;

  pthread_mutex_lock (&copy->lock);
  replaced = bt_compare_kv_positions (get_position (range), get_position (&copy->items)) >= 0;
  if (replaced)
    replace_items (ctx, copy, range);
  pthread_mutex_unlock (&copy->lock);
  return replaced;
}

void
bt_apply_changes_to_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_changes_t *changes)
{
  pthread_mutex_lock (&copy->lock);
  bt_apply_kv_changes (ctx, &copy->items, changes);
  pthread_mutex_unlock (&copy->lock);
}

static bool
has_key (const bt_store_update_t *update, const char *key)
{
  for (int32_t i = 0; i < update->key_count; i++)
    if (strcmp (update->keys[i], key) == 0)
      return true;
  return false;
}

/* Adds a removal for each key of @p items that an update with whole set does not list: such an
 * update lists the present keys, not the removed ones. */
static void
add_absent_removals (bt_context_t *ctx, const bt_kv_range_t *items, bt_store_update_t *update)
{
  bt_kv_changes_t *changes = &update->changes;
  size_t max_count = (size_t)changes->removed_count + (size_t)items->count;

  changes->removed = bt_realloc (ctx, changes->removed, max_count, sizeof *changes->removed);
  changes->removed_revisions =
      bt_realloc (ctx, changes->removed_revisions, max_count, sizeof *changes->removed_revisions);
  for (int32_t i = 0; i < items->count; i++)
    if (!has_key (update, items->pairs[i].key))
      {
        changes->removed_revisions[changes->removed_count] = changes->written.revision;
        changes->removed[changes->removed_count++] = bt_strdup (ctx, items->pairs[i].key);
      }
}

/* Applies an update of the copy's own era. */
static bt_update_effect_t
apply_update (bt_context_t *ctx, bt_store_copy_t *copy, bt_store_update_t *update)
{
  if (update->changes.written.revision <= copy->items.revision)
    return BT_UPDATE_OLD;
  if (update->from_revision > copy->items.revision)
    return BT_UPDATE_GAP;
  if (update->whole)
    add_absent_removals (ctx, &copy->items, update);
  bt_apply_kv_changes (ctx, &copy->items, &update->changes);
  return BT_UPDATE_APPLIED;
}

/* Applies an update of a later era. Revisions of different eras are not comparable, so the update
 * must contain all items. */
static bt_update_effect_t
apply_later_era (bt_context_t *ctx, bt_store_copy_t *copy, bt_store_update_t *update)
{
  if (!update->whole || update->from_revision != 0)
    return BT_UPDATE_GAP;
  replace_items (ctx, copy, &update->changes.written);
  return BT_UPDATE_APPLIED;
}

bt_update_effect_t
bt_apply_update_to_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_store_update_t *update)
{
  int64_t era = update->changes.written.era;
  bt_update_effect_t effect = BT_UPDATE_OLD;

  pthread_mutex_lock (&copy->lock);
  if (era > copy->items.era)
    effect = apply_later_era (ctx, copy, update);
  else if (era == copy->items.era)
    effect = apply_update (ctx, copy, update);
  pthread_mutex_unlock (&copy->lock);
  return effect;
}

void
bt_visit_copy_items (bt_store_copy_t *copy, bt_visit_items_t visit, void *data)
{
  pthread_mutex_lock (&copy->lock);
  visit (data, &copy->items);
  pthread_mutex_unlock (&copy->lock);
}

void
bt_drop_store_update (bt_context_t *ctx, bt_store_update_t *update)
{
  if (update == NULL)
    return;
  bt_drop_kv_changes (ctx, &update->changes);
  for (int32_t i = 0; i < update->key_count; i++)
    bt_free (ctx, update->keys[i]);
  bt_free (ctx, update->keys);
  bt_free (ctx, update);
}
