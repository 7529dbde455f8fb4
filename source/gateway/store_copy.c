#include "store_copy.h"

#include <pthread.h>
#include <string.h>

struct bt_store_copy
{
  /* Lock order: acquired last. */
  pthread_mutex_t lock; /* guards the members below */
  bt_kv_range_t items;  /* as the store shows them */
  bt_retention_t retained;
  bt_removed_keys_t removed;
  int64_t as_of_ms;
  const bt_platform_t *platform;
};

bt_store_copy_t *
bt_new_store_copy (bt_context_t *ctx, const bt_platform_t *platform)
{
  bt_store_copy_t *copy = bt_calloc (ctx, 1, sizeof *copy);

  copy->platform = platform;
  copy->as_of_ms = bt_never_complete_ms;
  pthread_mutex_init (&copy->lock, NULL);
  return copy;
}

void
bt_drop_store_copy (bt_context_t *ctx, bt_store_copy_t *copy)
{
  if (copy == NULL)
    return;
  bt_drop_kv_range (ctx, &copy->items);
  bt_clear_retention (ctx, &copy->retained);
  bt_clear_removed_keys (ctx, &copy->removed);
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

bt_copy_claim_t
bt_get_copy_claim (bt_store_copy_t *copy)
{
  bt_copy_claim_t claim;

  pthread_mutex_lock (&copy->lock);
  claim = (bt_copy_claim_t){ get_position (&copy->items), copy->as_of_ms };
  pthread_mutex_unlock (&copy->lock);
  return claim;
}

bool
bt_confirm_copy_claim (bt_store_copy_t *copy, const bt_copy_claim_t *claim)
{
  bool confirmed;

  pthread_mutex_lock (&copy->lock);
  confirmed = bt_compare_kv_positions (get_position (&copy->items), claim->position) >= 0;
  if (confirmed && claim->as_of_ms > copy->as_of_ms)
    copy->as_of_ms = claim->as_of_ms;
  pthread_mutex_unlock (&copy->lock);
  return confirmed;
}

int32_t
bt_count_retained_items (bt_store_copy_t *copy)
{
  int32_t count;

  pthread_mutex_lock (&copy->lock);
  count = copy->retained.count;
  pthread_mutex_unlock (&copy->lock);
  return count;
}

/* Records the known keys that a full read no longer shows. Those that are missing in the first read
 * of an era may have been removed in it. */
static void
record_absent_keys (bt_context_t *ctx,
                    bt_store_copy_t *copy,
                    const bt_kv_range_t *range,
                    int64_t now_ms)
{
  bt_name_index_t *index = bt_index_kv_range (ctx, range);

  for (int32_t i = 0; i < copy->items.count; i++)
    if (bt_find_name (index, copy->items.pairs[i].key) == NULL)
      bt_add_removed_key (ctx, &copy->removed, copy->items.pairs[i].key, range->revision, now_ms);
  bt_drop_name_index (ctx, index);
}

static void
settle (bt_context_t *ctx, bt_store_copy_t *copy, int64_t now_ms)
{
  if (copy->retained.count > 0)
    bt_settle_retention (ctx, &copy->retained, copy->platform, &copy->items, now_ms);
}

/* Replaces the items and takes ownership of those of @p range. */
static void
replace_items (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_range_t *range, int64_t now_ms)
{
  bt_kv_range_t known = bt_apply_retention (ctx, &copy->retained, &copy->items);

  if (range->era != copy->items.era)
    bt_begin_retention (ctx, &copy->retained, copy->platform, &known, &copy->removed, range,
                        now_ms);
  record_absent_keys (ctx, copy, range, now_ms);
  bt_free (ctx, known.pairs);
  bt_drop_kv_range (ctx, &copy->items);
  copy->items = *range;
  memset (range, 0, sizeof *range);
  settle (ctx, copy, now_ms);
}

bool
bt_replace_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_range_t *range, int64_t now_ms)
{
  bool replaced;

  pthread_mutex_lock (&copy->lock);
  replaced = bt_compare_kv_positions (get_position (range), get_position (&copy->items)) >= 0;
  if (replaced)
    replace_items (ctx, copy, range, now_ms);
  pthread_mutex_unlock (&copy->lock);
  return replaced;
}

static void
apply_changes (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_changes_t *changes, int64_t now_ms)
{
  for (int32_t i = 0; i < changes->written.count; i++)
    bt_forget_removed_key (ctx, &copy->removed, changes->written.pairs[i].key);
  for (int32_t i = 0; i < changes->removed_count; i++)
    bt_add_removed_key (ctx, &copy->removed, changes->removed[i], changes->removed_revisions[i],
                        now_ms);
  bt_apply_kv_changes (ctx, &copy->items, changes);
  settle (ctx, copy, now_ms);
}

void
bt_apply_changes_to_copy (bt_context_t *ctx,
                          bt_store_copy_t *copy,
                          bt_kv_changes_t *changes,
                          int64_t now_ms)
{
  pthread_mutex_lock (&copy->lock);
  apply_changes (ctx, copy, changes, now_ms);
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
apply_update (bt_context_t *ctx, bt_store_copy_t *copy, bt_store_update_t *update, int64_t now_ms)
{
  if (update->changes.written.revision <= copy->items.revision)
    return BT_UPDATE_OLD;
  if (update->from_revision > copy->items.revision)
    return BT_UPDATE_GAP;
  if (update->whole)
    add_absent_removals (ctx, &copy->items, update);
  apply_changes (ctx, copy, &update->changes, now_ms);
  return BT_UPDATE_APPLIED;
}

/* Applies an update of a later era. Revisions of different eras are not comparable, so the update
 * must contain all items. */
static bt_update_effect_t
apply_later_era (bt_context_t *ctx,
                 bt_store_copy_t *copy,
                 bt_store_update_t *update,
                 int64_t now_ms)
{
  if (!update->whole || update->from_revision != 0)
    return BT_UPDATE_GAP;
  replace_items (ctx, copy, &update->changes.written, now_ms);
  return BT_UPDATE_APPLIED;
}

/* Retains what another process retains. This process may have started after the restoration. */
static bool
add_retained_items (bt_context_t *ctx,
                    bt_store_copy_t *copy,
                    const bt_retention_t *retained,
                    int64_t now_ms)
{
  int32_t before = copy->retained.count;

  for (int32_t i = 0; i < retained->count; i++)
    {
      bt_retained_item_t item = retained->items[i];

      if (item.until_ms != INT64_MAX)
        item.until_ms += now_ms;
      bt_add_retained_item (ctx, &copy->retained, copy->platform, &item, &copy->items);
    }
  return copy->retained.count > before;
}

bt_update_effect_t
bt_apply_update_to_copy (bt_context_t *ctx,
                         bt_store_copy_t *copy,
                         bt_store_update_t *update,
                         int64_t now_ms)
{
  int64_t era = update->changes.written.era;
  bt_update_effect_t effect = BT_UPDATE_OLD;

  pthread_mutex_lock (&copy->lock);
  if (era > copy->items.era)
    effect = apply_later_era (ctx, copy, update, now_ms);
  else if (era == copy->items.era)
    effect = apply_update (ctx, copy, update, now_ms);
  if (era == copy->items.era && effect != BT_UPDATE_GAP
      && add_retained_items (ctx, copy, &update->retained, now_ms))
    effect = BT_UPDATE_APPLIED;
  pthread_mutex_unlock (&copy->lock);
  return effect;
}

bool
bt_expire_retained_items (bt_context_t *ctx, bt_store_copy_t *copy)
{
  bool changed;

  pthread_mutex_lock (&copy->lock);
  changed =
      copy->retained.count > 0
      && bt_settle_retention (ctx, &copy->retained, copy->platform, &copy->items, copy->as_of_ms);
  pthread_mutex_unlock (&copy->lock);
  return changed;
}

void
bt_visit_copy_items (bt_context_t *ctx, bt_store_copy_t *copy, bt_visit_items_t visit, void *data)
{
  bt_kv_range_t in_force;

  pthread_mutex_lock (&copy->lock);
  in_force = bt_apply_retention (ctx, &copy->retained, &copy->items);
  visit (data, &in_force);
  bt_free (ctx, in_force.pairs);
  pthread_mutex_unlock (&copy->lock);
}

void
bt_visit_shown_items (bt_store_copy_t *copy, bt_visit_shown_items_t visit, void *data)
{
  pthread_mutex_lock (&copy->lock);
  visit (data, &copy->items, &copy->retained);
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
  bt_clear_retention (ctx, &update->retained);
  bt_free (ctx, update);
}
