#include "room_records.h"

enum
{
  BUCKETS = 4096,
  /* Frames are at most some hundred milliseconds late, and an agent sees a few dozen requests a
   * second. */
  MAX_CLOSED = 1024,
};

/* Odd multipliers that spread links and ids over the buckets. */
static const uint64_t link_factor = 0x9e3779b97f4a7c15;
static const uint64_t id_factor = 0xbf58476d1ce4e5b9;
static const int32_t hash_shift = 32;

typedef struct record_list
{
  bt_room_record_t *first;
  bt_room_record_t *last;
  int32_t count;
} record_list_t;

struct bt_room_records
{
  record_list_t lists[BT_ROOM_STATES];
  bt_room_record_t *buckets[BUCKETS];
};

bt_room_records_t *
bt_new_room_records (bt_context_t *ctx)
{
  return bt_calloc (ctx, 1, sizeof (bt_room_records_t));
}

void
bt_drop_room_records (bt_context_t *ctx, bt_room_records_t *records)
{
  if (records == NULL)
    return;
  for (int32_t i = 0; i < BT_ROOM_STATES; i++)
    for (bt_room_record_t *record = records->lists[i].first; record != NULL;)
      {
        bt_room_record_t *after = record->after;

        bt_free (ctx, record);
        record = after;
      }
  bt_free (ctx, records);
}

static uint64_t
get_bucket (uint64_t link, uint64_t id)
{
  const uint64_t mixed = (link * link_factor) ^ (id * id_factor);

  return (mixed ^ (mixed >> hash_shift)) % BUCKETS;
}

bt_room_record_t *
bt_find_room_record (const bt_room_records_t *records, uint64_t link, uint64_t id)
{
  bt_room_record_t *record = records->buckets[get_bucket (link, id)];

  while (record != NULL && (record->link != link || record->ask.id != id))
    record = record->next_in_bucket;
  return record;
}

static void
append_record (bt_room_records_t *records, bt_room_record_t *record, bt_room_state_t state)
{
  record_list_t *list = &records->lists[state];

  record->state = state;
  record->before = list->last;
  record->after = NULL;
  if (list->last != NULL)
    list->last->after = record;
  else
    list->first = record;
  list->last = record;
  list->count++;
}

static void
unlink_record (bt_room_records_t *records, bt_room_record_t *record)
{
  record_list_t *list = &records->lists[record->state];

  if (record->before != NULL)
    record->before->after = record->after;
  else
    list->first = record->after;
  if (record->after != NULL)
    record->after->before = record->before;
  else
    list->last = record->before;
  list->count--;
}

static void
remove_surplus (bt_context_t *ctx, bt_room_records_t *records)
{
  while (records->lists[BT_ROOM_STATE_CLOSED].count > MAX_CLOSED)
    bt_remove_room_record (ctx, records, records->lists[BT_ROOM_STATE_CLOSED].first);
}

bt_room_record_t *
bt_add_room_record (bt_context_t *ctx,
                    bt_room_records_t *records,
                    uint64_t link,
                    const bt_room_ask_t *ask,
                    bt_room_state_t state)
{
  bt_room_record_t *record = bt_calloc (ctx, 1, sizeof *record);
  bt_room_record_t **bucket = &records->buckets[get_bucket (link, ask->id)];

  record->link = link;
  record->ask = *ask;
  record->next_in_bucket = *bucket;
  *bucket = record;
  append_record (records, record, state);
  remove_surplus (ctx, records);
  return record;
}

void
bt_move_room_record (bt_context_t *ctx,
                     bt_room_records_t *records,
                     bt_room_record_t *record,
                     bt_room_state_t state)
{
  unlink_record (records, record);
  append_record (records, record, state);
  remove_surplus (ctx, records);
}

void
bt_remove_room_record (bt_context_t *ctx, bt_room_records_t *records, bt_room_record_t *record)
{
  bt_room_record_t **at = &records->buckets[get_bucket (record->link, record->ask.id)];

  while (*at != record)
    at = &(*at)->next_in_bucket;
  *at = record->next_in_bucket;
  unlink_record (records, record);
  bt_free (ctx, record);
}

bt_room_record_t *
bt_get_first_room_record (const bt_room_records_t *records, bt_room_state_t state)
{
  return records->lists[state].first;
}

int32_t
bt_count_room_records (const bt_room_records_t *records, bt_room_state_t state)
{
  return records->lists[state].count;
}
