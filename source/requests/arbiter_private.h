#ifndef BT_SOURCE_REQUESTS_ARBITER_PRIVATE_H
#define BT_SOURCE_REQUESTS_ARBITER_PRIVATE_H

/** @file
 * What the files of the arbiter share: its state and its replies.
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
  int64_t now_ms;         /* The latest time that was seen. */
  int64_t home_floor_ms;  /* Keys without a record whose ticket expires no later are tombstoned. */
  int64_t grant_floor_ms; /* The same by grants, for keys of other homes. */
};

/** Adds an empty action. */
bt_arbiter_action_t *bt_add_arbiter_action (bt_context_t *ctx,
                                            bt_arbiter_actions_t *actions,
                                            bt_arbiter_action_kind_t kind);

/** Adds an empty reply. */
bt_reply_t *bt_add_reply (bt_context_t *ctx,
                          bt_arbiter_actions_t *actions,
                          bt_reply_kind_t kind,
                          const bt_reply_path_t *path);

/** Refuses with the outcome that the reason alone supports. */
bt_reply_t *bt_add_refusal (bt_context_t *ctx,
                            bt_arbiter_actions_t *actions,
                            const bt_reply_path_t *path,
                            bt_reason_t reason);

/** True when @p identity is this agent and this start of it. */
bool bt_is_arbiter (const bt_arbiter_t *arbiter, const bt_identity_t *identity);

/** Why something addressed to @p identity can't be served here, BT_REASON_NONE when it can. An
 * earlier start of this agent gives @p restarted, since that start may have run the key. */
bt_reason_t bt_check_addressee (const bt_arbiter_t *arbiter,
                                const bt_identity_t *identity,
                                bt_reason_t restarted);

/** The time to judge by: never earlier than one already judged by. */
int64_t bt_advance_arbiter (bt_arbiter_t *arbiter, int64_t now_ms);

/** True when the time @p expires_ms has come by this agent's own clock. */
bool bt_is_past (int64_t expires_ms, int64_t now_ms);

/** Gives a watcher what is there of its answer; refuses where kept pieces are missing. Returns
 * whether the watcher is to stay. */
bool bt_replay_answer (bt_context_t *ctx,
                       const bt_record_t *record,
                       const bt_watcher_t *watcher,
                       bt_arbiter_actions_t *actions);

#endif
