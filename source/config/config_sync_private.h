#ifndef BILBERRYTRAY_SOURCE_CONFIG_CONFIG_SYNC_PRIVATE_H
#define BILBERRYTRAY_SOURCE_CONFIG_CONFIG_SYNC_PRIVATE_H

/** @file
 * State shared by the exchange with peers (config_sync.c) and the calls to the key-value store
 * (config_sync_store.c).
 */

#include "bilberrytray/base/random.h"
#include "bilberrytray/config/config_sync.h"
#include "bilberrytray/core/subset.h"

#define NEVER_MS INT64_MIN

typedef enum store_call
{
  STORE_IDLE = 0,
  STORE_READING,
  STORE_WATCHING,
} store_call_t;

typedef struct peer
{
  bt_identity_t identity;
  bool linked;
  bool in_start_quorum;     /**< While ready, it answered a pull or had the same digest. */
  int64_t clock_ms;         /**< Latest now_ms of its clock, echoed back to it; -1 if none. */
  int64_t agreed_ms;        /**< Latest local time at which it had the same documents. */
  int64_t differs_since_ms; /**< When its digest began to differ; NEVER_MS while it is the same. */
  int64_t next_pull_ms;     /**< Earliest time of the next pull. */
  bt_sync_heartbeat_t last_heartbeat;
} peer_t;

struct bt_config_sync
{
  bt_identity_t self;
  bt_sync_settings_t settings;
  bt_random_t random;
  bt_config_table_t *table;
  peer_t *peers;
  int32_t peer_count;
  int32_t peer_capacity;
  bt_subset_candidate_t *members;
  bool *is_neighbor; /**< For each member; false for this instance. */
  int32_t member_count;
  int32_t neighborhood_size; /**< This instance and its neighbors. */
  bool watcher;
  bool has_read; /**< The store was read since the start. */
  bool ready;    /**< This instance knows what is in force. */
  int64_t floor;
  int64_t fresh_ms; /**< Start of the freshest read, here or at a peer; NEVER_MS: none. */
  store_call_t store_call;
  int64_t store_since; /**< The floor when the read in flight was sent. */
  int64_t store_started_ms;
  int64_t next_store_ms;
  int32_t store_failures; /**< Failed store calls since the last answer. */
  uint64_t stale_reads;
  uint64_t pulls;
  uint64_t pushes;
};

/** True unless a test disabled the guard. */
bool bt_has_sync_guard (const bt_config_sync_t *sync, uint32_t guard);

/** Appends an action of kind @p kind; the caller fills in the other members. */
bt_sync_action_t *
bt_add_sync_action (bt_context_t *ctx, bt_sync_actions_t *actions, bt_sync_action_kind_t kind);

/** Puts pushed or read documents in force where they are newer. If any was, they are forwarded to
 * the peers, unless this instance is not ready or @p source is an operator. */
void bt_apply_sync_documents (bt_context_t *ctx,
                              bt_config_sync_t *sync,
                              const bt_identity_t *source,
                              const bt_sync_push_t *push,
                              bt_sync_actions_t *actions);

/** Sets a time to the candidate if the candidate is later. */
void bt_raise_sync_time (int64_t *time_ms, int64_t candidate_ms);

/** Starts a read of the store. */
void bt_begin_sync_read (bt_context_t *ctx,
                         bt_config_sync_t *sync,
                         int64_t now_ms,
                         bt_sync_actions_t *actions);

#endif
