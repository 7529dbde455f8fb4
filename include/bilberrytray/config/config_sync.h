#ifndef BILBERRYTRAY_CONFIG_CONFIG_SYNC_H
#define BILBERRYTRAY_CONFIG_CONFIG_SYNC_H

/** @file
 * Distributes the configuration in force to the entry instances, and decides when an instance must
 * not act on its copy.
 *
 * A few instances, the watchers, hold a watch of limited duration on the key-value store and read
 * the store after each watch. They push what they find to their peers, and a peer forwards what is
 * new to it. Heartbeats carry a digest of the table. While the digests of two instances differ,
 * each pulls the documents that it lacks. An instance that has had no fresh update for a long time
 * reads the store itself.
 *
 * The *floor* of an instance is the store revision up to which its table is complete.
 * Configuration is *fresh* as of the start of a read of the store, by this instance or by a peer.
 * A peer's read is dated by the local clock, from the reading of it that the peer echoes. So clocks
 * need not agree, and a delayed message does not make old configuration look newer than it is.
 *
 * This module does no I/O: the caller passes in events with the current time and carries out the
 * actions that are appended.
 */

#include "bilberrytray/config/config_table.h"

/** Bits that disable guards, for tests that show which failure each guard prevents. */
enum
{
  BT_SYNC_ACCEPT_OLDER = 1,       /**< See BT_TABLE_ACCEPT_OLDER. */
  BT_SYNC_TRUST_STALE_READ = 2,   /**< A read older than the floor counts as fresh. */
  BT_SYNC_NEVER_ISOLATED = 4,     /**< An instance never stops using old rules. */
  BT_SYNC_ANY_PEER = 8,           /**< One peer is a quorum, at the start and later. */
  BT_SYNC_TRUST_ARRIVAL = 16,     /**< A heartbeat is dated by its arrival. */
  BT_SYNC_TRUST_QUIET_WATCH = 32, /**< No read after a watch without events. */
  BT_SYNC_NO_PULL = 64,           /**< Missing documents are not pulled. */
};

typedef struct bt_sync_settings
{
  int32_t watchers;       /**< Number of instances that hold a watch. */
  int64_t watch_wait_ms;  /**< Duration of one watch. */
  int64_t isolation_ms;   /**< Isolated after this time with neither a fresh update nor a quorum. */
  int64_t fallback_ms;    /**< Reads the store itself after this time without a fresh update. */
  int64_t pull_grace_ms;  /**< Time that digests may differ before a pull is sent. */
  int64_t pull_retry_ms;  /**< Shortest time between two pulls to one peer. */
  int64_t store_retry_ms; /**< Longest delay after the first failed store call; doubles
                               with each further failure in a row, up to 8 s. */
  uint32_t guards_off;    /**< 0, except in tests. */
} bt_sync_settings_t;

/** Default settings, for a heartbeat interval of one second. */
bt_sync_settings_t bt_get_default_sync_settings (void);

/** Whether this instance may act on its configuration. */
typedef enum bt_sync_state
{
  BT_SYNC_READY = 0,
  BT_SYNC_NOT_READY, /**< It does not know yet what is in force: refuse requests with
                          BT_REASON_NOT_READY. */
  BT_SYNC_ISOLATED,  /**< Its rules may be outdated: refuse requests with BT_REASON_ISOLATED. */
} bt_sync_state_t;

/** The fields of a heartbeat that concern configuration. */
typedef struct bt_sync_heartbeat
{
  int64_t now_ms;  /**< The sender's clock. */
  int64_t echo_ms; /**< Latest now_ms that the sender received from the receiver; -1 if none. */
  int64_t floor;   /**< The sender's floor, 0 while it is not ready. */
  int64_t fresh_age_ms; /**< Age of the sender's freshest update; -1 if it has none. */
  int64_t revision;     /**< Highest revision in force at the sender. */
  uint64_t digest;      /**< Digest of the sender's table. */
} bt_sync_heartbeat_t;

/** Documents sent from one instance to another. They include every document whose revision is above
 * from and at most to, unless to is 0: then the push does not claim to be complete. */
typedef struct bt_sync_push
{
  const bt_document_list_t *documents;
  int64_t from;
  int64_t to;
  bool whole; /**< Answers a pull: every document that the sender has above from, even above to. */
  uint64_t request; /**< Not 0: reply to the sender with the revisions then in force. */
} bt_sync_push_t;

typedef enum bt_sync_action_kind
{
  BT_SYNC_READ = 0, /**< Read the documents above revision since from the store; answer with
                           bt_handle_store_read or bt_handle_store_failure. */
  BT_SYNC_WATCH,    /**< Watch the store from revision since + 1 for wait_ms; answer with
                         bt_handle_store_watch or bt_handle_store_failure. */
  BT_SYNC_PUSH,     /**< Send documents, from, to, whole and request to peer. */
  BT_SYNC_PULL,     /**< Ask peer for its documents above revision since. */
  BT_SYNC_IN_FORCE, /**< Reply to peer, the sender of a push, with the revisions of documents in
                         force. */
  BT_SYNC_APPLY,    /**< These documents came into force on this instance. */
} bt_sync_action_kind_t;

typedef struct bt_sync_action
{
  bt_sync_action_kind_t kind;
  bt_identity_t peer;
  bt_document_list_t documents; /**< Owned by the action. */
  int64_t since;
  int64_t wait_ms;
  int64_t from;
  int64_t to;
  bool whole;
  uint64_t request;
} bt_sync_action_t;

/** Actions in the order in which to carry them out. Must be zero-initialised. */
typedef struct bt_sync_actions
{
  bt_sync_action_t *items;
  int32_t count;
  int32_t capacity;
} bt_sync_actions_t;

/** Releases all actions and the memory of the list. */
void bt_clear_sync_actions (bt_context_t *ctx, bt_sync_actions_t *actions);

typedef struct bt_config_sync bt_config_sync_t;

bt_config_sync_t *bt_new_config_sync (bt_context_t *ctx,
                                      const bt_identity_t *self,
                                      const bt_sync_settings_t *settings,
                                      uint64_t seed,
                                      int64_t now_ms);

/** NULL is accepted. */
void bt_drop_config_sync (bt_context_t *ctx, bt_config_sync_t *sync);

/** An entry instance that membership considers live and not leaving. */
typedef struct bt_sync_member
{
  char instance[BT_NAME_BYTES];
  char failure_domain[BT_NAME_BYTES];
  bool is_neighbor; /**< One of the two instances chose to link to the other; in a small fleet
                       all are neighbors. */
} bt_sync_member_t;

/** Replaces the list of members, which may or may not include this instance. */
void bt_set_sync_members (bt_context_t *ctx,
                          bt_config_sync_t *sync,
                          const bt_sync_member_t *members,
                          int32_t count);

/** Handles a link to a peer that opened: pulls its documents. */
void bt_open_sync_link (bt_context_t *ctx,
                        bt_config_sync_t *sync,
                        const bt_identity_t *identity,
                        int64_t now_ms,
                        bt_sync_actions_t *actions);

/** Handles a link to a peer that closed. */
void bt_close_sync_link (bt_context_t *ctx, bt_config_sync_t *sync, const bt_identity_t *identity);

/** Fills in the configuration fields of the next heartbeat to a peer. */
void bt_make_sync_heartbeat (const bt_config_sync_t *sync,
                             const bt_identity_t *identity,
                             int64_t now_ms,
                             bt_sync_heartbeat_t *heartbeat);

void bt_handle_sync_heartbeat (bt_context_t *ctx,
                               bt_config_sync_t *sync,
                               const bt_identity_t *identity,
                               const bt_sync_heartbeat_t *heartbeat,
                               int64_t now_ms,
                               bt_sync_actions_t *actions);

/** Handles documents pushed by a peer or by an operator; the reply goes to @p source. */
void bt_handle_sync_push (bt_context_t *ctx,
                          bt_config_sync_t *sync,
                          const bt_identity_t *source,
                          const bt_sync_push_t *push,
                          int64_t now_ms,
                          bt_sync_actions_t *actions);

void bt_handle_sync_pull (bt_context_t *ctx,
                          bt_config_sync_t *sync,
                          const bt_identity_t *source,
                          int64_t since,
                          bt_sync_actions_t *actions);

/** Handles the answer to BT_SYNC_READ: the store's revision and the requested documents. */
void bt_handle_store_read (bt_context_t *ctx,
                           bt_config_sync_t *sync,
                           int64_t revision,
                           const bt_document_list_t *documents,
                           int64_t now_ms,
                           bt_sync_actions_t *actions);

/** Handles the end of a watch; @p events: it reported a change. */
void bt_handle_store_watch (bt_context_t *ctx,
                            bt_config_sync_t *sync,
                            bool events,
                            int64_t now_ms,
                            bt_sync_actions_t *actions);

/** Handles a read or a watch that failed. */
void bt_handle_store_failure (bt_context_t *ctx, bt_config_sync_t *sync, int64_t now_ms);

/** Runs what is due at @p now_ms. Call it at the start and then several times a second. */
void bt_tick_config_sync (bt_context_t *ctx,
                          bt_config_sync_t *sync,
                          int64_t now_ms,
                          bt_sync_actions_t *actions);

/** Returns whether this instance may act on its configuration at @p now_ms. Call it for each
 * request, not on a timer: a process that was paused must not rely on a state from before the
 * pause. */
bt_sync_state_t bt_get_sync_state (const bt_config_sync_t *sync, int64_t now_ms);

/** The documents in force on this instance. */
const bt_config_table_t *bt_get_sync_table (const bt_config_sync_t *sync);

/** Values for the status page and the counters. */
typedef struct bt_sync_status
{
  int64_t floor;
  int64_t revision;
  int64_t fresh_age_ms; /**< -1 if there was never a fresh update. */
  int32_t members;      /**< This instance and its neighbors. */
  int32_t peers_agreed; /**< Neighbors that had the same documents within the isolation limit. */
  bool watcher;
  uint64_t stale_reads; /**< Reads dropped because they were older than the floor. */
  uint64_t pulls;       /**< Pulls sent. */
  uint64_t pushes;      /**< Pushes sent. */
} bt_sync_status_t;

void bt_get_sync_status (const bt_config_sync_t *sync, int64_t now_ms, bt_sync_status_t *status);

#endif
