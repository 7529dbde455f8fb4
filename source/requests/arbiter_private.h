#ifndef BT_SOURCE_REQUESTS_ARBITER_PRIVATE_H
#define BT_SOURCE_REQUESTS_ARBITER_PRIVATE_H

/** @file
 * State and reply functions shared by the source files of the arbiter.
 */

#include "bilberrytray/requests/arbiter.h"
#include "record.h"

struct bt_arbiter
{
  bt_arbiter_options_t options;
  bt_record_table_t *table;
  uint64_t last_run;
  uint64_t runs;
  bool leaving;
  int64_t leaving_ms;
  int64_t now_ms; /* Latest time passed in so far. */
  /* Expiry floors: a key without a record counts as tombstoned when its expiry is not later. */
  int64_t home_floor_ms;  /* By the ticket's expiry, for keys whose home is this agent. */
  int64_t grant_floor_ms; /* By the grant's expiry, for keys of other homes. */
};

/** Appends a zeroed action of a kind. */
bt_arbiter_action_t *bt_add_arbiter_action (bt_context_t *ctx,
                                            bt_arbiter_actions_t *actions,
                                            bt_arbiter_action_kind_t kind);

/** Appends an action that sends a reply of a kind, otherwise zeroed, to @p path. */
bt_reply_t *bt_add_reply (bt_context_t *ctx,
                          bt_arbiter_actions_t *actions,
                          bt_reply_kind_t kind,
                          const bt_reply_path_t *path);

/** Appends a refusal, with the outcome that belongs to its reason. */
bt_reply_t *bt_add_refusal (bt_context_t *ctx,
                            bt_arbiter_actions_t *actions,
                            const bt_reply_path_t *path,
                            bt_reason_t reason);

/** True when @p identity is this agent and its current incarnation. */
bool bt_is_this_agent (const bt_arbiter_t *arbiter, const bt_identity_t *identity);

/** Checks whether a message to @p identity is for this agent.
 * @return BT_REASON_NONE when it is, @p restarted when it is for another incarnation of this agent,
 * which may have run the key, else BT_REASON_WRONG_INSTANCE */
bt_reason_t bt_check_addressee (const bt_arbiter_t *arbiter,
                                const bt_identity_t *identity,
                                bt_reason_t restarted);

/** Returns the time to use for expiry checks: the latest one passed in, so that it never goes back.
 */
int64_t bt_advance_arbiter_clock (bt_arbiter_t *arbiter, int64_t now_ms);

/** True when @p now_ms has reached @p expires_ms; both in this agent's clock. */
bool bt_has_expired (int64_t expires_ms, int64_t now_ms);

/** Sends a watcher the part of the answer received so far; refuses when pieces that it needs were
 * dropped.
 * @return true when the run goes on and the watcher is to stay */
bool bt_replay_answer (bt_context_t *ctx,
                       const bt_record_t *record,
                       const bt_watcher_t *watcher,
                       bt_arbiter_actions_t *actions);

#endif
