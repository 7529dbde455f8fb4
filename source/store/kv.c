#include "bilberrytray/store/kv.h"

#include <string.h>

void
bt_drop_kv (bt_context_t *ctx, bt_kv_t *kv)
{
  if (kv != NULL)
    kv->vtable->drop (ctx, kv);
}

void
bt_cancel_kv (bt_context_t *ctx, bt_kv_t *kv)
{
  kv->vtable->cancel (ctx, kv);
}

int32_t
bt_compare_kv_positions (bt_kv_position_t one, bt_kv_position_t other)
{
  if (one.era != other.era)
    return one.era < other.era ? -1 : 1;
  if (one.revision != other.revision)
    return one.revision < other.revision ? -1 : 1;
  return 0;
}

int64_t
bt_get_kv_era (bt_kv_t *kv)
{
  return kv->vtable->get_era == NULL ? 0 : kv->vtable->get_era (kv);
}

bool
bt_read_kv (bt_context_t *ctx,
            bt_kv_t *kv,
            const char *key,
            bool prefix,
            bt_kv_range_t *range,
            bt_error_t *error)
{
  return kv->vtable->read_range (ctx, kv, key, prefix, 0, range, error);
}

bool
bt_read_lagging_kv (
    bt_context_t *ctx, bt_kv_t *kv, const char *prefix, bt_kv_range_t *range, bt_error_t *error)
{
  if (kv->vtable->read_lagging == NULL)
    return bt_read_kv (ctx, kv, prefix, true, range, error);
  return kv->vtable->read_lagging (ctx, kv, prefix, range, error);
}

bool
bt_read_kv_changes (bt_context_t *ctx,
                    bt_kv_t *kv,
                    const char *prefix,
                    int64_t min_revision,
                    bt_kv_range_t *range,
                    bt_error_t *error)
{
  return kv->vtable->read_range (ctx, kv, prefix, true, min_revision, range, error);
}

void
bt_drop_kv_range (bt_context_t *ctx, bt_kv_range_t *range)
{
  for (int32_t i = 0; i < range->count; i++)
    {
      bt_free (ctx, range->pairs[i].key);
      bt_free (ctx, range->pairs[i].value);
    }
  bt_free (ctx, range->pairs);
  memset (range, 0, sizeof *range);
}

bool
bt_put_kv (bt_context_t *ctx,
           bt_kv_t *kv,
           const bt_kv_write_t *write,
           int64_t *revision,
           bt_error_t *error)
{
  int64_t unused;

  return kv->vtable->put (ctx, kv, write, revision == NULL ? &unused : revision, error);
}

bool
bt_commit_kv (bt_context_t *ctx,
              bt_kv_t *kv,
              const bt_kv_txn_t *txn,
              bt_kv_txn_result_t *result,
              bt_error_t *error)
{
  return kv->vtable->commit_txn (ctx, kv, txn, result, error);
}

bool
bt_grant_kv_lease (bt_context_t *ctx, bt_kv_t *kv, int64_t ttl_s, int64_t *lease, bt_error_t *error)
{
  return kv->vtable->grant_lease (ctx, kv, ttl_s, lease, error);
}

bool
bt_renew_kv_lease (bt_context_t *ctx, bt_kv_t *kv, int64_t lease, int64_t *ttl_s, bt_error_t *error)
{
  return kv->vtable->renew_lease (ctx, kv, lease, ttl_s, error);
}

bool
bt_revoke_kv_lease (bt_context_t *ctx, bt_kv_t *kv, int64_t lease, bt_error_t *error)
{
  return kv->vtable->revoke_lease (ctx, kv, lease, error);
}

bool
bt_watch_kv (bt_context_t *ctx,
             bt_kv_t *kv,
             const char *prefix,
             int64_t start_revision,
             int64_t wait_ms,
             bt_kv_watch_result_t *result,
             bt_error_t *error)
{
  return kv->vtable->watch (ctx, kv, prefix, start_revision, wait_ms, result, error);
}

bool
bt_follow_kv (bt_context_t *ctx,
              bt_kv_t *kv,
              const char *prefix,
              int64_t start_revision,
              int64_t wait_ms,
              bt_kv_changes_t *changes,
              bt_error_t *error)
{
  bt_kv_watch_result_t result = BT_KV_WATCH_NO_EVENTS;

  memset (changes, 0, sizeof *changes);
  if (kv->vtable->follow != NULL)
    return kv->vtable->follow (ctx, kv, prefix, start_revision, wait_ms, changes, error);
  if (!bt_watch_kv (ctx, kv, prefix, start_revision, wait_ms, &result, error))
    return false;
  changes->incomplete = result != BT_KV_WATCH_NO_EVENTS;
  changes->written.revision = start_revision - 1;
  return true;
}

void
bt_drop_kv_changes (bt_context_t *ctx, bt_kv_changes_t *changes)
{
  bt_drop_kv_range (ctx, &changes->written);
  for (int32_t i = 0; i < changes->removed_count; i++)
    bt_free (ctx, changes->removed[i]);
  bt_free (ctx, changes->removed);
  bt_free (ctx, changes->removed_revisions);
  memset (changes, 0, sizeof *changes);
}

bt_kv_pair_t *
bt_find_kv_pair (const bt_kv_range_t *range, const char *key)
{
  for (int32_t i = 0; i < range->count; i++)
    if (strcmp (range->pairs[i].key, key) == 0)
      return &range->pairs[i];
  return NULL;
}

bt_name_index_t *
bt_index_kv_range (bt_context_t *ctx, const bt_kv_range_t *range)
{
  bt_name_index_t *index = bt_new_name_index (ctx);

  for (int32_t i = 0; i < range->count; i++)
    bt_put_name (index, range->pairs[i].key, &range->pairs[i]);
  return index;
}

static void
drop_pair (bt_context_t *ctx, bt_kv_pair_t *pair)
{
  bt_free (ctx, pair->key);
  bt_free (ctx, pair->value);
}

/* Removes a key unless it was written at a later revision: one answer can contain both a write and
 * a removal of the same key, and the later one applies. */
static void
remove_key (bt_context_t *ctx, bt_kv_range_t *range, const char *key, int64_t revision)
{
  bt_kv_pair_t *pair = bt_find_kv_pair (range, key);

  if (pair == NULL || pair->mod_revision > revision)
    return;
  drop_pair (ctx, pair);
  *pair = range->pairs[--range->count];
}

void
bt_apply_kv_changes (bt_context_t *ctx, bt_kv_range_t *range, bt_kv_changes_t *changes)
{
  bt_kv_range_t *written = &changes->written;

  range->pairs = bt_realloc (ctx, range->pairs, (size_t)range->count + (size_t)written->count,
                             sizeof *range->pairs);
  for (int32_t i = 0; i < written->count; i++)
    {
      bt_kv_pair_t *pair = bt_find_kv_pair (range, written->pairs[i].key);

      if (pair != NULL)
        drop_pair (ctx, pair);
      else
        pair = &range->pairs[range->count++];
      *pair = written->pairs[i];
    }
  written->count = 0;
  for (int32_t i = 0; i < changes->removed_count; i++)
    remove_key (ctx, range, changes->removed[i], changes->removed_revisions[i]);
  range->revision = written->revision;
}

bool
bt_is_kv_effect_unknown (const bt_error_t *error)
{
  return error->code == BT_ERROR_TIMEOUT || error->code == BT_ERROR_CLOSED;
}

void
bt_set_kv_filter (bt_kv_t *kv, const bt_kv_filter_t *filter)
{
  kv->filter = *filter;
}

bool
bt_keeps_kv_value (const bt_kv_t *kv, const char *key, size_t value_bytes)
{
  return kv->filter.keeps == NULL || kv->filter.keeps (kv->filter.data, key, value_bytes);
}
