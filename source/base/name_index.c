#include "bilberrytray/base/name_index.h"

#include <ck_ht.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/process_end.h"
#include "bilberrytray/base/random.h"

enum
{
  INITIAL_CAPACITY = 16,
};

struct bt_name_index
{
  bt_context_t *ctx;
  ck_ht_t table;
};

static void *
allocate (size_t bytes)
{
  return malloc (bytes);
}

static void *
reallocate (void *memory, size_t before_bytes, size_t bytes, bool deferred)
{
  (void)before_bytes;
  (void)deferred;
  return realloc (memory, bytes);
}

/* The table has one thread, so nothing reads memory that it frees. */
static void
release (void *memory, size_t bytes, bool deferred)
{
  (void)bytes;
  (void)deferred;
  free (memory);
}

static struct ck_malloc allocator = { allocate, reallocate, release };

static void
end_for_memory (const bt_name_index_t *index)
{
  bt_end_process (index->ctx, "Out of memory: an index of names can't grow.");
}

bt_name_index_t *
bt_new_name_index (bt_context_t *ctx)
{
  bt_name_index_t *index = bt_calloc (ctx, 1, sizeof *index);
  uint64_t seed;

  bt_fill_secure_random (&seed, sizeof seed);
  index->ctx = ctx;
  if (!ck_ht_init (&index->table, CK_HT_MODE_BYTESTRING, NULL, &allocator, INITIAL_CAPACITY, seed))
    end_for_memory (index);
  return index;
}

void
bt_drop_name_index (bt_context_t *ctx, bt_name_index_t *index)
{
  if (index == NULL)
    return;
  ck_ht_destroy (&index->table);
  bt_free (ctx, index);
}

static ck_ht_hash_t
hash_name (const bt_name_index_t *index, const char *name)
{
  ck_ht_hash_t hash;

  ck_ht_hash (&hash, (ck_ht_t *)&index->table, name, (uint16_t)strlen (name));
  return hash;
}

void
bt_put_name (bt_name_index_t *index, const char *name, void *object)
{
  ck_ht_hash_t hash = hash_name (index, name);
  ck_ht_entry_t entry;

  ck_ht_entry_key_set (&entry, name, (uint16_t)strlen (name));
  ck_ht_remove_spmc (&index->table, hash, &entry);
  ck_ht_entry_set (&entry, hash, name, (uint16_t)strlen (name), object);
  if (!ck_ht_put_spmc (&index->table, hash, &entry))
    end_for_memory (index);
}

void *
bt_find_name (const bt_name_index_t *index, const char *name)
{
  ck_ht_entry_t entry;

  ck_ht_entry_key_set (&entry, name, (uint16_t)strlen (name));
  if (!ck_ht_get_spmc ((ck_ht_t *)&index->table, hash_name (index, name), &entry))
    return NULL;
  return ck_ht_entry_value (&entry);
}

void
bt_remove_name (bt_name_index_t *index, const char *name, const void *object)
{
  ck_ht_entry_t entry;

  if (bt_find_name (index, name) != object)
    return;
  ck_ht_entry_key_set (&entry, name, (uint16_t)strlen (name));
  ck_ht_remove_spmc (&index->table, hash_name (index, name), &entry);
}

void
bt_clear_name_index (bt_name_index_t *index)
{
  if (!ck_ht_reset_spmc (&index->table))
    end_for_memory (index);
}
