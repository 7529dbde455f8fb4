#include "record.h"

#include <string.h>

enum
{
  MIN_BUCKETS = 16,
  MAX_BUCKETS = 1 << 20,
  BUCKETS_PER_SWEEP = 4096,
  INITIAL_DATA_CAPACITY = 1024,
  INITIAL_PIECE_CAPACITY = 16,
  INITIAL_WATCHER_CAPACITY = 2,
};

struct bt_record_table
{
  bt_record_limits_t limits;
  bt_record_t **buckets;
  uint64_t bucket_count;
  uint64_t next_sweep_bucket;
  uint64_t records;            /* with a key, without the tombstones in the reserve */
  uint64_t reserve_tombstones; /* tombstones counted against the reserve */
  uint64_t bytes;
  bt_record_t *active;
};

bt_record_table_t *
bt_new_record_table (bt_context_t *ctx, const bt_record_limits_t *limits)
{
  bt_record_table_t *table = bt_calloc (ctx, 1, sizeof *table);

  table->limits = *limits;
  table->bucket_count = MIN_BUCKETS;
  while (table->bucket_count < limits->max_records && table->bucket_count < MAX_BUCKETS)
    table->bucket_count *= 2;
  table->buckets = bt_calloc (ctx, table->bucket_count, sizeof (bt_record_t *));
  return table;
}

static bt_record_t **
find_bucket (const bt_record_table_t *table, const bt_key_t *key)
{
  return &table->buckets[bt_hash_bytes (key->bytes, BT_KEY_BYTES, 0) & (table->bucket_count - 1)];
}

bt_record_t *
bt_find_record (const bt_record_table_t *table, const bt_key_t *key)
{
  bt_record_t *record = *find_bucket (table, key);

  while (record != NULL && !bt_same_key (&record->key, key))
    record = record->next_in_bucket;
  return record;
}

static bool
has_free_space (const bt_record_table_t *table)
{
  return table->records < table->limits.max_records
         && table->bytes + sizeof (bt_record_t) <= table->limits.max_bytes;
}

bt_record_t *
bt_add_record (bt_context_t *ctx,
               bt_record_table_t *table,
               const bt_key_t *key,
               int64_t expires_ms,
               bool tombstone)
{
  bt_record_t **bucket = find_bucket (table, key);
  bt_record_t *record;
  bool uses_reserve = false;

  if (!has_free_space (table))
    {
      if (!tombstone || table->reserve_tombstones >= table->limits.tombstone_reserve)
        return NULL;
      uses_reserve = true;
    }
  record = bt_calloc (ctx, 1, sizeof *record);
  record->keyed = true;
  record->in_reserve = uses_reserve;
  record->state = BT_RECORD_OPEN;
  record->key = *key;
  record->expires_ms = expires_ms;
  record->next_in_bucket = *bucket;
  *bucket = record;
  if (uses_reserve)
    table->reserve_tombstones++;
  else
    table->records++;
  table->bytes += sizeof *record;
  return record;
}

bt_record_t *
bt_add_unkeyed_record (bt_context_t *ctx, bt_record_table_t *table)
{
  bt_record_t *record = bt_calloc (ctx, 1, sizeof *record);

  record->state = BT_RECORD_OPEN;
  table->bytes += sizeof *record;
  return record;
}

void
bt_remove_record (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record)
{
  bt_record_t **slot;

  bt_set_record_active (table, record, false);
  bt_set_record_grant (ctx, table, record, NULL);
  bt_drop_answer (ctx, table, record);
  if (record->keyed)
    {
      slot = find_bucket (table, &record->key);
      while (*slot != record)
        slot = &(*slot)->next_in_bucket;
      *slot = record->next_in_bucket;
      if (record->in_reserve)
        table->reserve_tombstones--;
      else
        table->records--;
    }
  table->bytes -= sizeof *record;
  bt_free (ctx, record->watchers);
  bt_free (ctx, record);
}

void
bt_drop_record_table (bt_context_t *ctx, bt_record_table_t *table)
{
  if (table == NULL)
    return;
  while (table->active != NULL)
    bt_remove_record (ctx, table, table->active);
  for (uint64_t i = 0; i < table->bucket_count; i++)
    while (table->buckets[i] != NULL)
      bt_remove_record (ctx, table, table->buckets[i]);
  bt_free (ctx, table->buckets);
  bt_free (ctx, table);
}

void
bt_set_record_active (bt_record_table_t *table, bt_record_t *record, bool active)
{
  if (record->active == active)
    return;
  record->active = active;
  if (active)
    {
      record->previous_active = NULL;
      record->next_active = table->active;
      if (table->active != NULL)
        table->active->previous_active = record;
      table->active = record;
      return;
    }
  if (record->previous_active != NULL)
    record->previous_active->next_active = record->next_active;
  else
    table->active = record->next_active;
  if (record->next_active != NULL)
    record->next_active->previous_active = record->previous_active;
}

bt_record_t *
bt_first_active_record (const bt_record_table_t *table)
{
  return table->active;
}

bt_record_t *
bt_find_run (const bt_record_table_t *table, uint64_t run)
{
  bt_record_t *record = table->active;

  while (record != NULL && record->run != run)
    record = record->next_active;
  return record;
}

void
bt_set_record_grant (bt_context_t *ctx,
                     bt_record_table_t *table,
                     bt_record_t *record,
                     const bt_grant_t *grant)
{
  if (grant == NULL)
    {
      if (record->grant != NULL)
        table->bytes -= sizeof *grant;
      bt_free (ctx, record->grant);
      record->grant = NULL;
      return;
    }
  if (record->grant == NULL)
    {
      record->grant = bt_calloc (ctx, 1, sizeof *grant);
      table->bytes += sizeof *grant;
    }
  *record->grant = *grant;
}

void
bt_begin_answer (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record)
{
  bt_drop_answer (ctx, table, record);
  record->answer = bt_calloc (ctx, 1, sizeof *record->answer);
  record->answer->kept = record->keyed;
  table->bytes += sizeof *record->answer;
}

void
bt_set_answer_head (bt_context_t *ctx,
                    bt_record_table_t *table,
                    bt_record_t *record,
                    uint32_t status,
                    const void *head,
                    uint64_t bytes)
{
  bt_answer_t *answer = record->answer;

  answer->has_head = true;
  answer->status = status;
  answer->head = bt_memdup (ctx, head, bytes);
  answer->head_bytes = bytes;
  table->bytes += bytes;
}

static uint64_t
count_kept_bytes (const bt_answer_t *answer)
{
  return answer->data_capacity + answer->piece_capacity * sizeof *answer->piece_ends;
}

void
bt_drop_answer_pieces (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record)
{
  bt_answer_t *answer = record->answer;

  answer->kept = false;
  table->bytes -= count_kept_bytes (answer);
  bt_free (ctx, answer->data);
  bt_free (ctx, answer->piece_ends);
  answer->data = NULL;
  answer->piece_ends = NULL;
  answer->data_capacity = 0;
  answer->piece_capacity = 0;
}

void
bt_drop_answer (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record)
{
  if (record->answer == NULL)
    return;
  bt_drop_answer_pieces (ctx, table, record);
  table->bytes -= record->answer->head_bytes + sizeof *record->answer;
  bt_free (ctx, record->answer->head);
  bt_free (ctx, record->answer);
  record->answer = NULL;
}

static uint64_t
grow_capacity (uint64_t capacity, uint64_t first, uint64_t needed)
{
  if (capacity == 0)
    capacity = first;
  while (capacity < needed)
    capacity *= 2;
  return capacity;
}

static void
keep_piece (bt_context_t *ctx,
            bt_record_table_t *table,
            bt_answer_t *answer,
            const void *data,
            uint64_t bytes)
{
  table->bytes -= count_kept_bytes (answer);
  answer->data_capacity =
      grow_capacity (answer->data_capacity, INITIAL_DATA_CAPACITY, answer->bytes + bytes);
  answer->piece_capacity =
      grow_capacity (answer->piece_capacity, INITIAL_PIECE_CAPACITY, answer->pieces + 1);
  answer->data = bt_realloc (ctx, answer->data, answer->data_capacity, 1);
  answer->piece_ends =
      bt_realloc (ctx, answer->piece_ends, answer->piece_capacity, sizeof *answer->piece_ends);
  table->bytes += count_kept_bytes (answer);
  memcpy (answer->data + answer->bytes, data, bytes);
  answer->piece_ends[answer->pieces] = answer->bytes + bytes;
}

void
bt_append_answer (bt_context_t *ctx,
                  bt_record_table_t *table,
                  bt_record_t *record,
                  const void *data,
                  uint64_t bytes)
{
  bt_answer_t *answer = record->answer;

  if (answer->kept
      && (answer->bytes + bytes > table->limits.max_answer_bytes
          || table->bytes + bytes > table->limits.max_bytes))
    bt_drop_answer_pieces (ctx, table, record);
  if (answer->kept)
    keep_piece (ctx, table, answer, data, bytes);
  answer->pieces++;
  answer->bytes += bytes;
}

static bool
is_same_path (const bt_reply_path_t *left, const bt_reply_path_t *right)
{
  return left->link == right->link && left->call == right->call && left->attempt == right->attempt;
}

bool
bt_add_watcher (bt_context_t *ctx, bt_record_t *record, const bt_watcher_t *watcher)
{
  for (int32_t i = 0; i < record->watcher_count; i++)
    if (is_same_path (&record->watchers[i].path, &watcher->path))
      return false;
  if (record->watcher_count == record->watcher_capacity)
    {
      record->watcher_capacity =
          record->watcher_capacity == 0 ? INITIAL_WATCHER_CAPACITY : record->watcher_capacity * 2;
      record->watchers = bt_realloc (ctx, record->watchers, (size_t)record->watcher_capacity,
                                     sizeof *record->watchers);
    }
  record->watchers[record->watcher_count++] = *watcher;
  return true;
}

void
bt_remove_watcher (bt_record_t *record, int32_t index)
{
  record->watchers[index] = record->watchers[--record->watcher_count];
}

static void
sweep_bucket (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record, int64_t now_ms)
{
  while (record != NULL)
    {
      bt_record_t *next = record->next_in_bucket;

      if (record->state != BT_RECORD_RUNNING
          && now_ms >= record->expires_ms + table->limits.grace_ms)
        bt_remove_record (ctx, table, record);
      else if (record->state == BT_RECORD_DONE && record->answer->kept
               && now_ms >= record->ended_ms + table->limits.keep_answer_ms)
        bt_drop_answer_pieces (ctx, table, record);
      record = next;
    }
}

void
bt_sweep_records (bt_context_t *ctx, bt_record_table_t *table, int64_t now_ms)
{
  for (int32_t i = 0; i < BUCKETS_PER_SWEEP && (uint64_t)i < table->bucket_count; i++)
    {
      sweep_bucket (ctx, table, table->buckets[table->next_sweep_bucket], now_ms);
      table->next_sweep_bucket = (table->next_sweep_bucket + 1) & (table->bucket_count - 1);
    }
}

uint64_t
bt_count_table_records (const bt_record_table_t *table)
{
  return table->records + table->reserve_tombstones;
}

uint64_t
bt_count_table_bytes (const bt_record_table_t *table)
{
  return table->bytes;
}

uint64_t
bt_count_table_free_records (const bt_record_table_t *table)
{
  uint64_t by_bytes = table->bytes >= table->limits.max_bytes
                          ? 0
                          : (table->limits.max_bytes - table->bytes) / sizeof (bt_record_t);
  uint64_t by_count = table->limits.max_records - table->records;

  return by_bytes < by_count ? by_bytes : by_count;
}
