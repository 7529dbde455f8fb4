#ifndef BILBERRYTRAY_SOURCE_CONFIG_CONFIG_SPREAD_PRIVATE_H
#define BILBERRYTRAY_SOURCE_CONFIG_CONFIG_SPREAD_PRIVATE_H

/** @file
 * What the exchange with peers (config_spread.c) and the calls on the service
 * (config_spread_store.c) share.
 */

#include "bilberrytray/base/random.h"
#include "bilberrytray/config/config_spread.h"
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
  bool in_start_quorum;     /**< Answered a pull of ours while it was ready itself. */
  int64_t clock_ms;         /**< Its latest now_ms, echoed back to it; -1 if none. */
  int64_t agreed_ms;        /**< We know that it lived at this time of ours. */
  int64_t differs_since_ms; /**< Since when its digest differs; NEVER_MS while it agrees. */
  int64_t next_pull_ms;     /**< Not before this a further pull. */
  bt_spread_heartbeat_t last_heartbeat; /**< Its latest heartbeat. */
} peer_t;

struct bt_config_spread
{
  bt_identity_t self;
  bt_spread_settings_t settings;
  bt_random_t random;
  bt_config_table_t *table;
  peer_t *peers;
  int32_t peer_count;
  int32_t peer_capacity;
  bt_subset_candidate_t *members;
  bool *near_members;
  int32_t member_count;
  int32_t near_count; /**< Near members, this instance among them. */
  bool watcher;
  bool has_read; /**< The service was read since the start. */
  bool ready;    /**< It was learnt what is in force. */
  int64_t floor;
  int64_t fresh_ms; /**< Start of the freshest read of the service; NEVER_MS without one. */
  store_call_t store_call;
  int64_t store_since; /**< The floor that the call in flight was sent with. */
  int64_t store_started_ms;
  int64_t next_store_ms;
  int32_t store_failures; /**< Since the last answer. */
  uint64_t stale_reads;
  uint64_t pulls;
  uint64_t pushes;
};

/** True unless the guard is switched off for a test. */
bool bt_has_spread_guard (const bt_config_spread_t *spread, uint32_t guard);

/** Appends an action of a kind, to be filled in. */
bt_spread_action_t *bt_add_spread_action (bt_context_t *ctx,
                                          bt_spread_actions_t *actions,
                                          bt_spread_action_kind_t kind);

/** Puts pushed or read documents in force where they are newer, and passes on what was new. */
void bt_take_spread_documents (bt_context_t *ctx,
                               bt_config_spread_t *spread,
                               const bt_identity_t *source,
                               const bt_spread_push_t *push,
                               bt_spread_actions_t *actions);

/** Moves a time up to a candidate, never down. */
void bt_raise_spread_time (int64_t *time_ms, int64_t candidate_ms);

/** Starts a plain read of the service. */
void bt_begin_spread_read (bt_context_t *ctx,
                           bt_config_spread_t *spread,
                           int64_t now_ms,
                           bt_spread_actions_t *actions);

#endif
