#ifndef BILBERRYTRAY_CONFIG_CONFIG_SPREAD_H
#define BILBERRYTRAY_CONFIG_CONFIG_SPREAD_H

/** @file
 * How an entry instance comes by the configuration in force, and when it may not act on it.
 *
 * A few instances hold a bounded watch on the key-value service and read plainly after each; what
 * they find they push to their peers, who push on what is new to them. Heartbeats carry a digest;
 * where digests stay different, the gap is pulled. Whoever has been without fresh news for long
 * reads the service itself.
 *
 * The *floor* of an instance is a revision of the service up to which nothing is missing in its
 * table. News is *fresh* as of the start of a plain read of the service, one's own or a peer's; a
 * peer's is dated by one's own clock, from the reading that the peer echoes, so that no clocks have
 * to agree and a late message makes nothing look younger than it is.
 *
 * Pure: the caller gives events with the time and carries out the actions that are appended.
 */

#include "bilberrytray/config/config_table.h"

/** Bits that take guards out, for tests that show what each guard is for. */
enum
{
  BT_SPREAD_TAKE_OLDER = 1,         /**< See BT_TABLE_ACCEPT_OLDER. */
  BT_SPREAD_TRUST_STALE_READ = 2,   /**< A read below the floor counts as fresh. */
  BT_SPREAD_NEVER_ISOLATED = 4,     /**< Old rules are served without end. */
  BT_SPREAD_ANY_PEER = 8,           /**< One peer is enough to start or go on. */
  BT_SPREAD_TRUST_ARRIVAL = 16,     /**< A peer's news is dated by its arrival. */
  BT_SPREAD_TRUST_QUIET_WATCH = 32, /**< No plain read after a quiet watch. */
  BT_SPREAD_NO_PULL = 64,           /**< Gaps are not mended. */
};

typedef struct bt_spread_settings
{
  int32_t watchers;       /**< How many instances hold a watch. */
  int64_t watch_wait_ms;  /**< How long one watch waits. */
  int64_t isolation_ms;   /**< Without fresh news and without most peers for this long: isolated. */
  int64_t fallback_ms;    /**< Without fresh news for this long: read the service oneself. */
  int64_t pull_grace_ms;  /**< How long digests may differ before a gap is pulled. */
  int64_t pull_retry_ms;  /**< When an unanswered pull is sent again. */
  int64_t store_retry_ms; /**< Longest wait after the first failed call; doubles, up to 8 s. */
  uint32_t guards_off;    /**< 0, except in tests. */
} bt_spread_settings_t;

/** Settings that suit heartbeats of one second. */
bt_spread_settings_t bt_get_default_spread_settings (void);

/** May this instance act on its configuration? */
typedef enum bt_spread_state
{
  BT_SPREAD_READY = 0,
  BT_SPREAD_NOT_READY, /**< It has not yet learnt what is in force: refuse as BT_REASON_NOT_READY.
                        */
  BT_SPREAD_ISOLATED,  /**< It cannot know that its rules are in force: BT_REASON_ISOLATED. */
} bt_spread_state_t;

/** What a heartbeat says about configuration. */
typedef struct bt_spread_heartbeat
{
  int64_t now_ms;       /**< The sender's clock. */
  int64_t echo_ms;      /**< The latest now_ms that the sender had from the receiver; -1 if none. */
  int64_t floor;        /**< The sender's floor, 0 while it is not ready. */
  int64_t fresh_age_ms; /**< Age of the sender's freshest news; -1 if it has none. */
  int64_t revision;     /**< Highest revision in force at the sender. */
  uint64_t digest;      /**< Of the sender's table. */
} bt_spread_heartbeat_t;

/** Documents on their way between instances. They are all that changed above from up to to; a
 * push with to 0 claims no such thing. */
typedef struct bt_spread_push
{
  const bt_document_list_t *documents;
  int64_t from;
  int64_t to;
  bool whole;       /**< Answers a pull: all that the sender has above from, beyond to as well. */
  uint64_t request; /**< Not 0: the sender wants to be told what is in force then. */
} bt_spread_push_t;

typedef enum bt_spread_action_kind
{
  BT_SPREAD_READ = 0, /**< Read the service's documents changed above since; answer with
                           bt_take_store_read or bt_take_store_failure. */
  BT_SPREAD_WATCH,    /**< Watch from since + 1 for wait_ms; answer with bt_take_store_watch or
                           bt_take_store_failure. */
  BT_SPREAD_PUSH,     /**< Send documents, from, to, whole and request to peer. */
  BT_SPREAD_PULL,     /**< Ask peer for what it has above since. */
  BT_SPREAD_IN_FORCE, /**< Tell peer, the asker, which revisions of documents are in force. */
  BT_SPREAD_APPLY,    /**< These documents came into force here. */
} bt_spread_action_kind_t;

typedef struct bt_spread_action
{
  bt_spread_action_kind_t kind;
  bt_identity_t peer;
  bt_document_list_t documents; /**< Belongs to the action. */
  int64_t since;
  int64_t wait_ms;
  int64_t from;
  int64_t to;
  bool whole;
  uint64_t request;
} bt_spread_action_t;

/** Actions in the order to carry them out. Zero-initialise it. */
typedef struct bt_spread_actions
{
  bt_spread_action_t *items;
  int32_t count;
  int32_t capacity;
} bt_spread_actions_t;

/** Drops all actions and the memory of the list. */
void bt_clear_spread_actions (bt_context_t *ctx, bt_spread_actions_t *actions);

typedef struct bt_config_spread bt_config_spread_t;

bt_config_spread_t *bt_new_config_spread (bt_context_t *ctx,
                                          const bt_identity_t *self,
                                          const bt_spread_settings_t *settings,
                                          uint64_t seed,
                                          int64_t now_ms);

/** NULL is accepted. */
void bt_drop_config_spread (bt_context_t *ctx, bt_config_spread_t *spread);

/** An entry instance that membership takes for live and not leaving. */
typedef struct bt_spread_member
{
  char instance[BT_NAME_BYTES];
  char failure_domain[BT_NAME_BYTES];
  bool near; /**< Linked directly by choice of either side; in a small fleet all are. */
} bt_spread_member_t;

/** Replaces the list of members, this instance among them or not. */
void bt_set_spread_members (bt_context_t *ctx,
                            bt_config_spread_t *spread,
                            const bt_spread_member_t *members,
                            int32_t count);

/** A link to a peer opened: ask it what it has. */
void bt_open_spread_link (bt_context_t *ctx,
                          bt_config_spread_t *spread,
                          const bt_identity_t *identity,
                          int64_t now_ms,
                          bt_spread_actions_t *actions);

/** A link to a peer ended. */
void
bt_close_spread_link (bt_context_t *ctx, bt_config_spread_t *spread, const bt_identity_t *identity);

/** What the next heartbeat to a peer says. */
void bt_make_spread_heartbeat (const bt_config_spread_t *spread,
                               const bt_identity_t *identity,
                               int64_t now_ms,
                               bt_spread_heartbeat_t *heartbeat);

void bt_take_spread_heartbeat (bt_context_t *ctx,
                               bt_config_spread_t *spread,
                               const bt_identity_t *identity,
                               const bt_spread_heartbeat_t *heartbeat,
                               int64_t now_ms,
                               bt_spread_actions_t *actions);

/** Takes documents from a peer or from an operator's hand-over; @p source is who gets the reply. */
void bt_take_spread_push (bt_context_t *ctx,
                          bt_config_spread_t *spread,
                          const bt_identity_t *source,
                          const bt_spread_push_t *push,
                          int64_t now_ms,
                          bt_spread_actions_t *actions);

void bt_take_spread_pull (bt_context_t *ctx,
                          bt_config_spread_t *spread,
                          const bt_identity_t *source,
                          int64_t since,
                          bt_spread_actions_t *actions);

/** The answer to BT_SPREAD_READ: the service's revision, and the documents that it asked for. */
void bt_take_store_read (bt_context_t *ctx,
                         bt_config_spread_t *spread,
                         int64_t revision,
                         const bt_document_list_t *documents,
                         int64_t now_ms,
                         bt_spread_actions_t *actions);

/** A watch ended, whatever it saw. */
void bt_take_store_watch (bt_context_t *ctx,
                          bt_config_spread_t *spread,
                          bool events,
                          int64_t now_ms,
                          bt_spread_actions_t *actions);

/** A read or a watch failed. */
void bt_take_store_failure (bt_context_t *ctx, bt_config_spread_t *spread, int64_t now_ms);

/** Time passed: called several times a second, and once at the start. */
void bt_tick_config_spread (bt_context_t *ctx,
                            bt_config_spread_t *spread,
                            int64_t now_ms,
                            bt_spread_actions_t *actions);

/** May this instance act on its configuration at @p now_ms? To be asked for each request, not on a
 * timer: a process that was paused must not act on what it believed before. */
bt_spread_state_t bt_get_spread_state (const bt_config_spread_t *spread, int64_t now_ms);

/** What is in force here. */
const bt_config_table_t *bt_get_spread_table (const bt_config_spread_t *spread);

/** Numbers for the status page and the counters. */
typedef struct bt_spread_status
{
  int64_t floor;
  int64_t revision;
  int64_t fresh_age_ms; /**< -1 if there was never fresh news. */
  int32_t members;      /**< Near ones, this instance among them. */
  int32_t peers_agreed; /**< Near members that had the same within the isolation limit. */
  bool watcher;
  uint64_t stale_reads; /**< Reads below the floor, dropped. */
  uint64_t pulls;       /**< Pulls sent. */
  uint64_t pushes;      /**< Pushes sent. */
} bt_spread_status_t;

void
bt_get_spread_status (const bt_config_spread_t *spread, int64_t now_ms, bt_spread_status_t *status);

#endif
