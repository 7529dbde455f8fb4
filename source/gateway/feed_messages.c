#include "feed_messages.h"

enum
{
  /* Sent for an item that is retained without end. */
  NO_END = -1,
};

static Bilberry__StoreItem *
write_item (bt_context_t *ctx, const bt_kv_pair_t *pair)
{
  Bilberry__StoreItem *item = bt_calloc (ctx, 1, sizeof *item);

  bilberry__store_item__init (item);
  item->key = pair->key;
  item->value = (ProtobufCBinaryData){ pair->value_bytes, (uint8_t *)pair->value };
  item->revision = pair->mod_revision;
  item->created = pair->create_revision;
  item->lease = pair->lease;
  return item;
}

static void
add_item (bt_context_t *ctx, Bilberry__StoreItems *message, const bt_kv_pair_t *pair)
{
  message->written[message->n_written++] = write_item (ctx, pair);
}

static void
add_retained_item (bt_context_t *ctx,
                   Bilberry__StoreItems *message,
                   const bt_retained_item_t *retained,
                   int64_t now_ms)
{
  Bilberry__RetainedItem *item = bt_calloc (ctx, 1, sizeof *item);

  bilberry__retained_item__init (item);
  item->item = write_item (ctx, &retained->pair);
  item->removal = retained->removal;
  item->shown_revision = retained->shown_revision;
  item->left_ms = retained->until_ms == INT64_MAX ? NO_END : retained->until_ms - now_ms;
  if (retained->until_ms != INT64_MAX && item->left_ms < 0)
    item->left_ms = 0;
  message->retained[message->n_retained++] = item;
}

static void
add_removal (bt_context_t *ctx, Bilberry__StoreItems *message, char *key, int64_t revision)
{
  Bilberry__StoreRemoval *removal = bt_calloc (ctx, 1, sizeof *removal);

  bilberry__store_removal__init (removal);
  removal->key = key;
  removal->revision = revision;
  message->removed[message->n_removed++] = removal;
}

void
bt_write_changes_message (bt_context_t *ctx,
                          int64_t from_revision,
                          const bt_kv_changes_t *changes,
                          Bilberry__StoreItems *message)
{
  const bt_kv_range_t *written = &changes->written;

  bilberry__store_items__init (message);
  message->from_revision = from_revision;
  message->era = written->era;
  message->revision = written->revision;
  message->written = bt_calloc (ctx, (size_t)written->count, sizeof (Bilberry__StoreItem *));
  message->removed =
      bt_calloc (ctx, (size_t)changes->removed_count, sizeof (Bilberry__StoreRemoval *));
  for (int32_t i = 0; i < written->count; i++)
    add_item (ctx, message, &written->pairs[i]);
  for (int32_t i = 0; i < changes->removed_count; i++)
    add_removal (ctx, message, changes->removed[i], changes->removed_revisions[i]);
}

void
bt_write_items_message (bt_context_t *ctx,
                        bt_kv_position_t from,
                        const bt_kv_range_t *items,
                        const bt_retention_t *retained,
                        int64_t now_ms,
                        Bilberry__StoreItems *message)
{
  int64_t from_revision = from.era == items->era ? from.revision : 0;

  bilberry__store_items__init (message);
  message->from_revision = from_revision;
  message->era = items->era;
  message->revision = items->revision;
  message->whole = true;
  message->written = bt_calloc (ctx, (size_t)items->count, sizeof (Bilberry__StoreItem *));
  message->keys = bt_calloc (ctx, (size_t)items->count, sizeof (char *));
  message->retained = bt_calloc (ctx, (size_t)retained->count, sizeof (Bilberry__RetainedItem *));
  for (int32_t i = 0; i < items->count; i++)
    {
      message->keys[message->n_keys++] = items->pairs[i].key;
      if (items->pairs[i].mod_revision > from_revision)
        add_item (ctx, message, &items->pairs[i]);
    }
  for (int32_t i = 0; i < retained->count; i++)
    add_retained_item (ctx, message, &retained->items[i], now_ms);
}

void
bt_clear_items_message (bt_context_t *ctx, Bilberry__StoreItems *message)
{
  for (size_t i = 0; i < message->n_written; i++)
    bt_free (ctx, message->written[i]);
  for (size_t i = 0; i < message->n_removed; i++)
    bt_free (ctx, message->removed[i]);
  for (size_t i = 0; i < message->n_retained; i++)
    {
      bt_free (ctx, message->retained[i]->item);
      bt_free (ctx, message->retained[i]);
    }
  bt_free (ctx, message->retained);
  bt_free (ctx, message->written);
  bt_free (ctx, message->removed);
  bt_free (ctx, message->keys);
}

static void
read_item (bt_context_t *ctx, const Bilberry__StoreItem *item, bt_kv_pair_t *pair)
{
  pair->key = bt_strdup (ctx, item->key);
  /* bt_memdup adds a zero byte, as values that are read from the store have one too. */
  pair->value = bt_memdup (ctx, item->value.data, item->value.len);
  pair->value_bytes = item->value.len;
  pair->mod_revision = item->revision;
  pair->create_revision = item->created;
  pair->lease = item->lease;
}

static void
read_retained_item (bt_context_t *ctx,
                    const Bilberry__RetainedItem *message,
                    bt_retained_item_t *retained)
{
  read_item (ctx, message->item, &retained->pair);
  retained->removal = message->removal;
  retained->shown_revision = message->shown_revision;
  retained->until_ms = message->left_ms < 0 ? INT64_MAX : message->left_ms;
}

bt_store_update_t *
bt_read_items_message (bt_context_t *ctx, const Bilberry__StoreItems *message)
{
  bt_store_update_t *update = bt_calloc (ctx, 1, sizeof *update);
  bt_kv_changes_t *changes = &update->changes;

  update->from_revision = message->from_revision;
  update->whole = message->whole;
  changes->written.era = message->era;
  changes->written.revision = message->revision;
  changes->written.pairs = bt_calloc (ctx, message->n_written, sizeof *changes->written.pairs);
  changes->removed = bt_calloc (ctx, message->n_removed, sizeof *changes->removed);
  changes->removed_revisions =
      bt_calloc (ctx, message->n_removed, sizeof *changes->removed_revisions);
  update->keys = bt_calloc (ctx, message->n_keys, sizeof (char *));
  for (size_t i = 0; i < message->n_written; i++)
    read_item (ctx, message->written[i], &changes->written.pairs[changes->written.count++]);
  for (size_t i = 0; i < message->n_removed; i++)
    {
      changes->removed_revisions[changes->removed_count] = message->removed[i]->revision;
      changes->removed[changes->removed_count++] = bt_strdup (ctx, message->removed[i]->key);
    }
  update->retained.items = bt_calloc (ctx, message->n_retained, sizeof *update->retained.items);
  for (size_t i = 0; i < message->n_retained; i++)
    if (message->retained[i]->item != NULL)
      read_retained_item (ctx, message->retained[i],
                          &update->retained.items[update->retained.count++]);
  for (size_t i = 0; i < message->n_keys; i++)
    update->keys[update->key_count++] = bt_strdup (ctx, message->keys[i]);
  return update;
}

void
bt_write_claim (const bt_copy_claim_t *claim,
                const bt_feed_follower_t *follower,
                Bilberry__StoreState *state)
{
  state->era = claim->position.era;
  state->revision = claim->position.revision;
  if (follower == NULL || follower->echo_ms == 0)
    return;
  state->echo_ms = follower->echo_ms;
  state->as_of_after_ms = claim->as_of_ms - follower->arrival_ms;
}

bool
bt_read_claim (const Bilberry__StoreState *state, bt_copy_claim_t *claim)
{
  claim->position = (bt_kv_position_t){ state->era, state->revision };
  claim->as_of_ms = state->echo_ms + state->as_of_after_ms;
  return state->echo_ms != 0;
}
