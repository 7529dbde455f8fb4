#ifndef BT_SOURCE_REQUESTS_RECORD_H
#define BT_SOURCE_REQUESTS_RECORD_H

/** @file
 * The agent's records of keys and of what runs, bounded in number and bytes.
 */

#include "bilberrytray/core/protocol.h"

/** The answer of one run, kept as far as the bounds allow. */
typedef struct bt_answer
{
  bool has_head;
  uint32_t status;
  uint8_t *head;
  uint64_t head_bytes;
  bool kept;            /**< False: the pieces were too large, or were dropped again. */
  uint8_t *data;        /**< All pieces in a row, when kept. */
  uint64_t *piece_ends; /**< Where each piece ends in data, when kept. */
  uint64_t pieces;
  uint64_t bytes;
  uint64_t data_room;
  uint64_t piece_room;
} bt_answer_t;

/** Someone who is given an answer as it comes. */
typedef struct bt_watcher
{
  bt_reply_path_t path;
  uint64_t next_sequence; /**< Pieces before it are not wanted. */
} bt_watcher_t;

typedef struct bt_record bt_record_t;

struct bt_record
{
  bt_record_t *next_in_bucket;
  bt_record_t *next_active;
  bt_record_t *previous_active;
  bool keyed;
  bool active;    /**< In the list of what runs. */
  bool tombstone; /**< Counted against the reserve for tombstones. */
  bool has_digest;
  bt_record_state_t state;
  bt_reason_t reason; /**< Of BT_RECORD_FAILED. */
  bt_key_t key;
  uint64_t body_digest;
  int64_t expires_ms;
  int64_t ended_ms;
  uint64_t run; /**< 0: has not run. */
  uint32_t resumes;
  uint32_t grant_number; /**< Highest grant number of the key at its home. */
  bt_grant_t *grant;     /**< Of BT_RECORD_GRANTED, otherwise NULL. */
  bt_answer_t *answer;   /**< From the start of a run on. */
  bt_watcher_t *watchers;
  int32_t watcher_count;
  int32_t watcher_room;
};

typedef struct bt_record_limits
{
  uint64_t max_records;
  uint64_t tombstone_reserve; /**< Tombstones that fit beside max_records. */
  uint64_t max_bytes;         /**< Of records and kept answers together. */
  uint64_t max_answer_bytes;  /**< Of one kept answer. */
  int64_t grace_ms;           /**< How long a record outlives its expiry. */
  int64_t keep_answer_ms;     /**< How long a whole answer is kept. */
} bt_record_limits_t;

typedef struct bt_record_table bt_record_table_t;

bt_record_table_t *bt_new_record_table (bt_context_t *ctx, const bt_record_limits_t *limits);
void bt_drop_record_table (bt_context_t *ctx, bt_record_table_t *table);

/** The record of a key, or NULL. */
bt_record_t *bt_find_record (const bt_record_table_t *table, const bt_key_t *key);

/** Makes a record in BT_RECORD_OPEN. NULL when there is no room; a tombstone may use the reserve.
 */
bt_record_t *bt_add_record (bt_context_t *ctx,
                            bt_record_table_t *table,
                            const bt_key_t *key,
                            int64_t expires_ms,
                            bool tombstone);

/** Makes a record without a key: it is not found by key and not counted. */
bt_record_t *bt_add_unkeyed_record (bt_context_t *ctx, bt_record_table_t *table);

void bt_remove_record (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record);

/** Puts a record into the list of what runs, or takes it out. */
void bt_set_record_active (bt_record_table_t *table, bt_record_t *record, bool active);

/** The first record of what runs; go on by next_active. */
bt_record_t *bt_first_active_record (const bt_record_table_t *table);

/** The running record of a run id, or NULL. */
bt_record_t *bt_find_run (const bt_record_table_t *table, uint64_t run);

/** Sets or clears the grant of a record; NULL clears. */
void bt_set_record_grant (bt_context_t *ctx,
                          bt_record_table_t *table,
                          bt_record_t *record,
                          const bt_grant_t *grant);

void bt_begin_answer (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record);
void bt_set_answer_head (bt_context_t *ctx,
                         bt_record_table_t *table,
                         bt_record_t *record,
                         uint32_t status,
                         const void *head,
                         uint64_t bytes);

/** Counts a piece, and keeps it while the bounds allow; else all kept pieces are dropped. */
void bt_append_answer (bt_context_t *ctx,
                       bt_record_table_t *table,
                       bt_record_t *record,
                       const void *data,
                       uint64_t bytes);

/** Frees the kept pieces; what was counted stays. */
void bt_drop_answer_pieces (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record);

/** Forgets an answer wholly. */
void bt_drop_answer (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record);

/** Adds a watcher; false when this very one is there already. */
bool bt_add_watcher (bt_context_t *ctx, bt_record_t *record, const bt_watcher_t *watcher);
void bt_remove_watcher (bt_record_t *record, int32_t index);

/** Looks at a slice of the table: drops expired records and answers kept long enough. The whole
 * table is covered by a bounded number of calls. */
void bt_sweep_records (bt_context_t *ctx, bt_record_table_t *table, int64_t now_ms);

uint64_t bt_count_table_records (const bt_record_table_t *table);
uint64_t bt_count_table_bytes (const bt_record_table_t *table);

/** How many further records of runs fit. */
uint64_t bt_count_table_room (const bt_record_table_t *table);

#endif
