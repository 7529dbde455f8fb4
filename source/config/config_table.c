#include "bilberrytray/config/config_table.h"

#include <string.h>

enum
{
  INITIAL_CAPACITY = 16,
};

struct bt_config_table
{
  uint32_t guards_off;
  bt_document_t **documents; /**< In order of their names. */
  int32_t count;
  int32_t capacity;
  int64_t revision;
  uint64_t digest; /**< Sum of the documents' hashes, so that one can be replaced alone. */
  uint64_t offers[BT_OFFER_COUNT];
};

bt_config_table_t *
bt_new_config_table (bt_context_t *ctx, uint32_t guards_off)
{
  bt_config_table_t *table = bt_calloc (ctx, 1, sizeof *table);

  table->guards_off = guards_off;
  return table;
}

void
bt_drop_config_table (bt_context_t *ctx, bt_config_table_t *table)
{
  if (table == NULL)
    return;
  for (int32_t i = 0; i < table->count; i++)
    bt_drop_document (ctx, table->documents[i]);
  bt_free (ctx, table->documents);
  bt_free (ctx, table);
}

/* Returns the index of a name, or the index at which to insert it. */
static int32_t
find_index (const bt_config_table_t *table, const char *name, bool *found)
{
  int32_t low = 0;
  int32_t high = table->count;

  while (low < high)
    {
      int32_t middle = low + (high - low) / 2;

      if (strcmp (table->documents[middle]->name, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  *found = low < table->count && strcmp (table->documents[low]->name, name) == 0;
  return low;
}

static uint64_t
hash_state (const bt_document_t *document)
{
  return bt_hash_bytes (&document->revision, sizeof document->revision, document->digest);
}

/* Makes room for a document at an index; the caller stores it. */
static void
insert_slot (bt_context_t *ctx, bt_config_table_t *table, int32_t index)
{
  if (table->count == table->capacity)
    {
      table->capacity = table->capacity * 2 + INITIAL_CAPACITY;
      table->documents =
          bt_realloc (ctx, table->documents, (size_t)table->capacity, sizeof (bt_document_t *));
    }
  memmove (table->documents + index + 1, table->documents + index,
           (size_t)(table->count - index) * sizeof (bt_document_t *));
  table->count++;
}

static bt_offer_t
classify_offer (const bt_config_table_t *table,
                const bt_document_t *current,
                const bt_document_t *offered)
{
  if (offered->revision > current->revision)
    return BT_OFFER_APPLIED;
  if (offered->revision == current->revision)
    return offered->digest == current->digest ? BT_OFFER_SAME : BT_OFFER_DIFFERENT;
  /* An accepted change would be lost if a read from a lagging replica, a delayed push or a peer
   * that was disconnected could put an older document in force. The store gives every write a
   * higher revision, so comparing revisions rejects older documents from any source. */
  return (table->guards_off & BT_TABLE_ACCEPT_OLDER) != 0 ? BT_OFFER_APPLIED : BT_OFFER_OLDER;
}

bt_offer_t
bt_offer_document (bt_context_t *ctx, bt_config_table_t *table, bt_document_t *document)
{
  bool found;
  int32_t index = find_index (table, document->name, &found);
  bt_offer_t offer = BT_OFFER_APPLIED;

  if (found)
    offer = classify_offer (table, table->documents[index], document);
  table->offers[offer]++;
  if (offer != BT_OFFER_APPLIED)
    return offer;
  if (found)
    {
      table->digest -= hash_state (table->documents[index]);
      bt_drop_document (ctx, table->documents[index]);
    }
  else
    insert_slot (ctx, table, index);
  table->documents[index] = bt_keep_document (document);
  table->digest += hash_state (document);
  if (document->revision > table->revision)
    table->revision = document->revision;
  return offer;
}

uint64_t
bt_count_offers (const bt_config_table_t *table, bt_offer_t offer)
{
  return table->offers[offer];
}

bt_document_t *
bt_find_document (const bt_config_table_t *table, const char *name)
{
  bool found;
  int32_t index = find_index (table, name, &found);

  return found ? table->documents[index] : NULL;
}

int32_t
bt_count_documents (const bt_config_table_t *table)
{
  return table->count;
}

bt_document_t *
bt_get_document (const bt_config_table_t *table, int32_t index)
{
  return table->documents[index];
}

void
bt_list_documents_above (bt_context_t *ctx,
                         const bt_config_table_t *table,
                         int64_t revision,
                         bt_document_list_t *list)
{
  for (int32_t i = 0; i < table->count; i++)
    if (table->documents[i]->revision > revision)
      bt_add_document (ctx, list, table->documents[i]);
}

int64_t
bt_get_table_revision (const bt_config_table_t *table)
{
  return table->revision;
}

uint64_t
bt_get_table_digest (const bt_config_table_t *table)
{
  return table->digest;
}
