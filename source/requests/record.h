#ifndef BT_SOURCE_REQUESTS_RECORD_H
#define BT_SOURCE_REQUESTS_RECORD_H

/** @file
 * The agent's records of keys and runs, limited in number and in bytes.
 */

#include "bilberrytray/core/protocol.h"

/** The answer of one run; its pieces are kept while the limits allow. */
typedef struct bt_answer
{
  bool has_head;
  uint32_t status;
  uint8_t *head;
  uint64_t head_bytes;
  bool kept;     /**< False: the pieces exceeded a limit or expired, or the record has no key. */
  uint8_t *data; /**< All pieces concatenated, when kept. */
  uint64_t *piece_ends; /**< End offset of each piece in data, when kept. */
  uint64_t pieces;
  uint64_t bytes;
  uint64_t data_capacity;
  uint64_t piece_capacity;
} bt_answer_t;

/** A call of an entry instance that receives an answer while it arrives. */
typedef struct bt_watcher
{
  bt_reply_path_t path;
  uint64_t next_sequence; /**< First piece to send. */
} bt_watcher_t;

typedef struct bt_record bt_record_t;

struct bt_record
{
  bt_record_t *next_in_bucket;
  bt_record_t *next_active;
  bt_record_t *previous_active;
  bool keyed;
  bool active;     /**< In the list of running records. */
  bool in_reserve; /**< A tombstone counted against the reserve. */
  bool has_digest;
  bt_record_state_t state;
  bt_reason_t reason; /**< In state BT_RECORD_FAILED. */
  bt_key_t key;
  uint64_t body_digest;
  int64_t expires_ms;
  int64_t ended_ms;
  uint64_t run; /**< Id of the last run; 0 when none was started. */
  uint32_t resumes;
  uint32_t grant_number; /**< Highest grant number of the key at its home. */
  bt_grant_t *grant;     /**< In state BT_RECORD_GRANTED, else NULL. */
  bt_answer_t *answer;   /**< Set when a run starts. */
  bt_watcher_t *watchers;
  int32_t watcher_count;
  int32_t watcher_capacity;
};

typedef struct bt_record_limits
{
  uint64_t max_records;
  uint64_t tombstone_reserve; /**< Maximum number of tombstones beyond max_records. */
  uint64_t max_bytes;         /**< Of records and kept answers together. */
  uint64_t max_answer_bytes;  /**< Of one kept answer. */
  int64_t grace_ms;           /**< How long a record is kept after its expiry. */
  int64_t keep_answer_ms;     /**< How long a complete answer is kept after its end. */
} bt_record_limits_t;

typedef struct bt_record_table bt_record_table_t;

bt_record_table_t *bt_new_record_table (bt_context_t *ctx, const bt_record_limits_t *limits);
void bt_drop_record_table (bt_context_t *ctx, bt_record_table_t *table);

/** The record of a key, or NULL. */
bt_record_t *bt_find_record (const bt_record_table_t *table, const bt_key_t *key);

/** Adds a record in state BT_RECORD_OPEN.
 * @return NULL when the table is full; a tombstone may use the reserve */
bt_record_t *bt_add_record (bt_context_t *ctx,
                            bt_record_table_t *table,
                            const bt_key_t *key,
                            int64_t expires_ms,
                            bool tombstone);

/** Creates a record of a run without a key. It cannot be found by key and does not count against
 * max_records. */
bt_record_t *bt_add_unkeyed_record (bt_context_t *ctx, bt_record_table_t *table);

void bt_remove_record (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record);

/** Adds a record to the list of running records, or removes it. */
void bt_set_record_active (bt_record_table_t *table, bt_record_t *record, bool active);

/** The first running record, or NULL; next_active links to the next. */
bt_record_t *bt_first_active_record (const bt_record_table_t *table);

/** The running record with a run id, or NULL. */
bt_record_t *bt_find_run (const bt_record_table_t *table, uint64_t run);

/** Sets the grant of a record to a copy of @p grant; NULL clears it. */
void bt_set_record_grant (bt_context_t *ctx,
                          bt_record_table_t *table,
                          bt_record_t *record,
                          const bt_grant_t *grant);

/** Replaces the answer of a record by an empty one. */
void bt_begin_answer (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record);

/** Stores a copy of the answer's head. */
void bt_set_answer_head (bt_context_t *ctx,
                         bt_record_table_t *table,
                         bt_record_t *record,
                         uint32_t status,
                         const void *head,
                         uint64_t bytes);

/** Counts a piece and keeps it. When that exceeds a limit, all kept pieces are dropped instead. */
void bt_append_answer (bt_context_t *ctx,
                       bt_record_table_t *table,
                       bt_record_t *record,
                       const void *data,
                       uint64_t bytes);

/** Frees the kept pieces; the counts of pieces and bytes stay. */
void bt_drop_answer_pieces (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record);

/** Frees the answer of a record, if there is one. */
void bt_drop_answer (bt_context_t *ctx, bt_record_table_t *table, bt_record_t *record);

/** Adds a watcher; false when there is one with the same path. */
bool bt_add_watcher (bt_context_t *ctx, bt_record_t *record, const bt_watcher_t *watcher);
void bt_remove_watcher (bt_record_t *record, int32_t index);

/** Sweeps a part of the table: removes records past their expiry and grace_ms, and the pieces of
 * answers past keep_answer_ms. A limited number of calls covers the whole table. */
void bt_sweep_records (bt_context_t *ctx, bt_record_table_t *table, int64_t now_ms);

uint64_t bt_count_table_records (const bt_record_table_t *table);
uint64_t bt_count_table_bytes (const bt_record_table_t *table);

/** Number of further records that fit, without the reserve. */
uint64_t bt_count_table_free_records (const bt_record_table_t *table);

#endif
