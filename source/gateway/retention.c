#include "retention.h"

#include <string.h>

#include "crash_items.h"
#include "part_items.h"
#include "view.h"

enum
{
  /* An instance whose listing was lost lists itself again at its next renewal. */
  MISSING_ENTRY_MS = 2500,
  /* Operators write again what was lost; until then a failure domain stays evacuated. */
  MISSING_EVACUATION_MS = 10000,
  /* The store removes the item of an endpoint that has ended after three missed heartbeats. One
   * that it still shows then belongs to an endpoint that is alive. */
  REMOVED_ENDPOINT_MS = 5000,
};

/* Revisions of earlier eras are lowered by this much, so that they lie below all revisions of the
 * present era and keep their order. */
static const int64_t earlier_era_offset = INT64_C (1) << 40;

/** How long an item stays in force, in ms; 0: not at all. */
typedef struct retention_rule
{
  int64_t missing_ms; /* the store lacks it */
  int64_t removed_ms; /* it was removed, and the store shows it */
} retention_rule_t;

static bool
starts_with (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

/* Endpoints that the store lacks are not retained here: the endpoint table decides for how long
 * they are used, as after any outage of the store. Crashes that it lacks are kept by the crash
 * table. */
static retention_rule_t
get_rule (const bt_platform_t *platform, const char *key)
{
  if (strcmp (key, platform->configuration_key) == 0)
    return (retention_rule_t){ .missing_ms = INT64_MAX };
  if (starts_with (key, platform->evacuation_prefix))
    return (retention_rule_t){ .missing_ms = MISSING_EVACUATION_MS };
  if (starts_with (key, platform->endpoint_prefix))
    return (retention_rule_t){ .removed_ms = REMOVED_ENDPOINT_MS };
  if (starts_with (key, bt_entry_prefix))
    return (retention_rule_t){ .missing_ms = MISSING_ENTRY_MS };
  if (starts_with (key, bt_crash_prefix) || bt_is_part_key (key))
    return (retention_rule_t){ .removed_ms = INT64_MAX };
  return (retention_rule_t){ 0 };
}

static int64_t
get_end_ms (int64_t now_ms, int64_t length_ms)
{
  return length_ms == INT64_MAX ? INT64_MAX : now_ms + length_ms;
}

static bool
is_older_configuration (const bt_platform_t *platform,
                        const bt_kv_pair_t *shown,
                        const bt_kv_pair_t *known)
{
  int64_t version;
  int64_t known_version;

  return platform->vtable->read_configuration_version (shown->value, shown->value_bytes, &version)
         && platform->vtable->read_configuration_version (known->value, known->value_bytes,
                                                          &known_version)
         && version < known_version;
}

/* Returns true if the store shows an endpoint as it was before it announced that it leaves. */
static bool
is_before_leaving (const bt_platform_t *platform,
                   const bt_kv_pair_t *shown,
                   const bt_kv_pair_t *known)
{
  bt_listed_endpoint_t endpoint;
  bt_listed_endpoint_t known_endpoint;
  bt_error_t error = { 0 };

  if (!platform->vtable->read_endpoint (shown->key, shown->value, shown->value_bytes, &endpoint,
                                        &error)
      || !platform->vtable->read_endpoint (known->key, known->value, known->value_bytes,
                                           &known_endpoint, &error)
      || endpoint.leaving || !known_endpoint.leaving)
    return false;
  if (endpoint.started_ms != 0 && known_endpoint.started_ms != 0
      && endpoint.started_ms != known_endpoint.started_ms)
    return endpoint.started_ms < known_endpoint.started_ms;
  return endpoint.sequence <= known_endpoint.sequence;
}

/* Returns true if the store shows an older version of an item than the known one. */
static bool
is_older (const bt_platform_t *platform, const bt_kv_pair_t *shown, const bt_kv_pair_t *known)
{
  if (strcmp (known->key, platform->configuration_key) == 0)
    return is_older_configuration (platform, shown, known);
  if (starts_with (known->key, platform->endpoint_prefix))
    return is_before_leaving (platform, shown, known);
  return false;
}

static void
copy_pair (bt_context_t *ctx, bt_kv_pair_t *copy, const bt_kv_pair_t *pair)
{
  *copy = *pair;
  copy->key = bt_strdup (ctx, pair->key);
  copy->value = pair->value == NULL ? NULL : bt_memdup (ctx, pair->value, pair->value_bytes);
}

static bt_retained_item_t *
add_item (bt_context_t *ctx, bt_retention_t *retention, const bt_kv_pair_t *pair, int64_t until_ms)
{
  bt_retained_item_t *item;

  retention->items =
      bt_realloc (ctx, retention->items, (size_t)retention->count + 1, sizeof *retention->items);
  item = &retention->items[retention->count++];
  memset (item, 0, sizeof *item);
  copy_pair (ctx, &item->pair, pair);
  item->until_ms = until_ms;
  return item;
}

static void
drop_item (bt_context_t *ctx, bt_retention_t *retention, int32_t index)
{
  bt_retained_item_t *item = &retention->items[index];

  bt_free (ctx, item->pair.key);
  bt_free (ctx, item->pair.value);
  *item = retention->items[--retention->count];
}

static int32_t
find_item (const bt_retention_t *retention, const char *key)
{
  for (int32_t i = 0; i < retention->count; i++)
    if (strcmp (retention->items[i].pair.key, key) == 0)
      return i;
  return -1;
}

/* Retains a known item if the store lacks it or shows an older version. */
static void
retain_known (bt_context_t *ctx,
              bt_retention_t *retention,
              const bt_platform_t *platform,
              const bt_kv_pair_t *known,
              const bt_kv_pair_t *shown,
              int64_t now_ms)
{
  int64_t keep_ms = get_rule (platform, known->key).missing_ms;
  bt_retained_item_t *item;

  if (shown != NULL)
    keep_ms = is_older (platform, shown, known) ? INT64_MAX : 0;
  if (keep_ms == 0)
    return;
  item = add_item (ctx, retention, known, get_end_ms (now_ms, keep_ms));
  item->pair.mod_revision -= earlier_era_offset;
  item->pair.create_revision -= earlier_era_offset;
}

/* Retains a removal if the store shows the item as it was before. A later revision means that the
 * item was written again. */
static void
retain_removal (bt_context_t *ctx,
                bt_retention_t *retention,
                const bt_platform_t *platform,
                const bt_removed_key_t *removed,
                const bt_kv_pair_t *shown,
                int64_t now_ms)
{
  int64_t keep_ms = get_rule (platform, removed->key).removed_ms;
  bt_kv_pair_t pair = { .key = removed->key };
  bt_retained_item_t *item;

  if (shown == NULL || keep_ms == 0 || shown->mod_revision > removed->revision
      || find_item (retention, removed->key) >= 0)
    return;
  item = add_item (ctx, retention, &pair, get_end_ms (now_ms, keep_ms));
  item->removal = true;
  item->shown_revision = shown->mod_revision;
}

/* Retains a removal over one more restoration. */
static void
retain_removal_again (bt_context_t *ctx,
                      bt_retention_t *retention,
                      const bt_platform_t *platform,
                      const bt_retained_item_t *item,
                      const bt_name_index_t *shown,
                      int64_t now_ms)
{
  bt_removed_key_t removed = { .key = item->pair.key, .revision = item->shown_revision };

  retain_removal (ctx, retention, platform, &removed, bt_find_name (shown, removed.key), now_ms);
}

void
bt_begin_retention (bt_context_t *ctx,
                    bt_retention_t *retention,
                    const bt_platform_t *platform,
                    const bt_kv_range_t *known,
                    const bt_removed_keys_t *removed,
                    const bt_kv_range_t *shown,
                    int64_t now_ms)
{
  bt_name_index_t *index = bt_index_kv_range (ctx, shown);
  bt_retention_t begun = { 0 };

  for (int32_t i = 0; i < known->count; i++)
    retain_known (ctx, &begun, platform, &known->pairs[i],
                  bt_find_name (index, known->pairs[i].key), now_ms);
  for (int32_t i = 0; i < removed->count; i++)
    retain_removal (ctx, &begun, platform, &removed->keys[i],
                    bt_find_name (index, removed->keys[i].key), now_ms);
  for (int32_t i = 0; i < retention->count; i++)
    if (retention->items[i].removal)
      retain_removal_again (ctx, &begun, platform, &retention->items[i], index, now_ms);
  bt_drop_name_index (ctx, index);
  bt_clear_retention (ctx, retention);
  *retention = begun;
}

/* Returns true if a retained item no longer takes the place of what the store shows. */
static bool
is_settled (const bt_platform_t *platform,
            const bt_retained_item_t *item,
            const bt_kv_pair_t *shown,
            int64_t shown_ms)
{
  if (shown_ms >= item->until_ms)
    return true;
  if (item->removal)
    return shown == NULL || shown->mod_revision != item->shown_revision;
  if (shown != NULL)
    return !is_older (platform, shown, &item->pair);
  return get_rule (platform, item->pair.key).missing_ms == 0;
}

void
bt_add_retained_item (bt_context_t *ctx,
                      bt_retention_t *retention,
                      const bt_platform_t *platform,
                      const bt_retained_item_t *item,
                      const bt_kv_range_t *shown)
{
  int32_t own = find_item (retention, item->pair.key);
  bt_retained_item_t *added;

  if (own >= 0 && (item->removal || !is_older (platform, &retention->items[own].pair, &item->pair)))
    return;
  if (is_settled (platform, item, bt_find_kv_pair (shown, item->pair.key), INT64_MIN))
    return;
  if (own >= 0)
    drop_item (ctx, retention, own);
  added = add_item (ctx, retention, &item->pair, item->until_ms);
  added->removal = item->removal;
  added->shown_revision = item->shown_revision;
}

bool
bt_settle_retention (bt_context_t *ctx,
                     bt_retention_t *retention,
                     const bt_platform_t *platform,
                     const bt_kv_range_t *shown,
                     int64_t shown_ms)
{
  int32_t before = retention->count;

  for (int32_t i = retention->count - 1; i >= 0; i--)
    {
      const bt_retained_item_t *item = &retention->items[i];

      if (is_settled (platform, item, bt_find_kv_pair (shown, item->pair.key), shown_ms))
        drop_item (ctx, retention, i);
    }
  return retention->count < before;
}

bt_kv_range_t
bt_apply_retention (bt_context_t *ctx, const bt_retention_t *retention, const bt_kv_range_t *shown)
{
  bt_kv_range_t range = { .era = shown->era, .revision = shown->revision };

  range.pairs =
      bt_calloc (ctx, (size_t)shown->count + (size_t)retention->count, sizeof *range.pairs);
  for (int32_t i = 0; i < shown->count; i++)
    if (find_item (retention, shown->pairs[i].key) < 0)
      range.pairs[range.count++] = shown->pairs[i];
  for (int32_t i = 0; i < retention->count; i++)
    if (!retention->items[i].removal)
      range.pairs[range.count++] = retention->items[i].pair;
  return range;
}

void
bt_clear_retention (bt_context_t *ctx, bt_retention_t *retention)
{
  while (retention->count > 0)
    drop_item (ctx, retention, retention->count - 1);
  bt_free (ctx, retention->items);
  memset (retention, 0, sizeof *retention);
}
