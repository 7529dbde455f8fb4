#ifndef BILBERRYTRAY_SOURCE_LOAD_ROOM_RECORDS_H
#define BILBERRYTRAY_SOURCE_LOAD_ROOM_RECORDS_H

/** @file
 * The records of a room ledger: a hash table by link and id, and one list for each state in the
 * order in which records entered it. Changes of a state and look-ups take constant time.
 */

#include "bilberrytray/load/room_ledger.h"

typedef enum bt_room_state
{
  BT_ROOM_STATE_WAITING = 0,
  BT_ROOM_STATE_HELD,
  BT_ROOM_STATE_IN_FLIGHT,
  BT_ROOM_STATE_CLOSED, /* kept for some time, so that duplicate and late frames have no effect */
  BT_ROOM_STATES,
} bt_room_state_t;

typedef struct bt_room_record
{
  uint64_t link;
  bt_room_ask_t ask;
  bt_room_state_t state;
  uint64_t order;        /* sequence number of the ask */
  int64_t target_ms;     /* when it has to start to be in time */
  int64_t expires_ms;    /* of a hold */
  uint64_t window_index; /* of a hold: its place in the window of starts */
  uint64_t start_index;  /* of a request in flight: its sequence number among the starts */
  struct bt_room_record *next_in_bucket;
  struct bt_room_record *before; /* in the list of its state */
  struct bt_room_record *after;
} bt_room_record_t;

typedef struct bt_room_records bt_room_records_t;

bt_room_records_t *bt_new_room_records (bt_context_t *ctx);

/** NULL is accepted. */
void bt_drop_room_records (bt_context_t *ctx, bt_room_records_t *records);

bt_room_record_t *
bt_find_room_record (const bt_room_records_t *records, uint64_t link, uint64_t id);

/** Adds a record, which must not exist, at the end of the list of @p state. */
bt_room_record_t *bt_add_room_record (bt_context_t *ctx,
                                      bt_room_records_t *records,
                                      uint64_t link,
                                      const bt_room_ask_t *ask,
                                      bt_room_state_t state);

/** Moves a record to the end of the list of @p state. The oldest closed record beyond a bound is
 * removed. */
void bt_move_room_record (bt_context_t *ctx,
                          bt_room_records_t *records,
                          bt_room_record_t *record,
                          bt_room_state_t state);

void
bt_remove_room_record (bt_context_t *ctx, bt_room_records_t *records, bt_room_record_t *record);

/** Returns the first record of a state, or NULL; the others follow by `after`. */
bt_room_record_t *bt_get_first_room_record (const bt_room_records_t *records,
                                            bt_room_state_t state);

int32_t bt_count_room_records (const bt_room_records_t *records, bt_room_state_t state);

#endif
