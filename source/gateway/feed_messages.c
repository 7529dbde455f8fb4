#include "feed_messages.h"

static void
add_item (bt_context_t *ctx, Bilberry__StoreItems *message, const bt_kv_pair_t *pair)
{
  Bilberry__StoreItem *item = bt_calloc (ctx, 1, sizeof *item);

  bilberry__store_item__init (item);
  item->key = pair->key;
  item->value = (ProtobufCBinaryData){ pair->value_bytes, (uint8_t *)pair->value };
  item->revision = pair->mod_revision;
  item->created = pair->create_revision;
  item->lease = pair->lease;
  message->written[message->n_written++] = item;
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
  for (int32_t i = 0; i < items->count; i++)
    {
      message->keys[message->n_keys++] = items->pairs[i].key;
      if (items->pairs[i].mod_revision > from_revision)
        add_item (ctx, message, &items->pairs[i]);
    }
}

void
bt_clear_items_message (bt_context_t *ctx, Bilberry__StoreItems *message)
{
  for (size_t i = 0; i < message->n_written; i++)
    bt_free (ctx, message->written[i]);
  for (size_t i = 0; i < message->n_removed; i++)
    bt_free (ctx, message->removed[i]);
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
  for (size_t i = 0; i < message->n_keys; i++)
    update->keys[update->key_count++] = bt_strdup (ctx, message->keys[i]);
  return update;
}
