#ifndef BILBERRYTRAY_REQUESTS_ARBITER_H
#define BILBERRYTRAY_REQUESTS_ARBITER_H

/** @file
 * The agent's side of the request protocol. For keys whose ticket names this agent as home, it
 * decides which agent may run them. For those keys and for keys granted to it, it starts at most
 * one run each and records it. The functions take messages and the current time and return actions;
 * they do no I/O. Not thread-safe.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/protocol.h"

typedef struct bt_arbiter bt_arbiter_t;

typedef struct bt_arbiter_options
{
  bt_identity_t self;
  uint64_t max_records;       /**< Maximum number of keys on record, without the tombstones in the
                                   reserve. */
  uint64_t tombstone_reserve; /**< Maximum number of tombstones beyond max_records. Once these are
                                 used up, an expiry floor replaces further tombstones; it also
                                 refuses other unused tickets that expire no later. */
  uint64_t max_bytes;         /**< Maximum size of records and kept answers together. */
  uint64_t max_answer_bytes;  /**< A longer answer is not kept. */
  int64_t keep_answer_ms;     /**< How long a complete answer is kept after its end. */
  int64_t grace_ms;           /**< How long a record is kept after its expiry. */
  int64_t ticket_life_ms;     /**< Longest life of tickets and grants; see bt_can_arbiter_exit. */
  int64_t retry_after_ms;     /**< Retry-after time of refusals because the records are full. */
  uint32_t max_resumes;       /**< Maximum number of times that the stream of one run is resumed. */
  uint32_t faults;            /**< Bits of bt_fault_t; 0 outside tests. */
} bt_arbiter_options_t;

typedef enum bt_arbiter_action_kind
{
  BT_ARBITER_START_RUN = 0, /**< run, dispatch: send the request to the endpoint. */
  BT_ARBITER_RESUME_RUN,    /**< run, from_bytes: fetch the stream from this offset on. */
  BT_ARBITER_CANCEL_RUN,    /**< run: stop it; its later events are ignored. */
  BT_ARBITER_REPLY,         /**< reply: send it over the link in reply.path. */
} bt_arbiter_action_kind_t;

/** One action for the calling code of the agent to carry out. */
typedef struct bt_arbiter_action
{
  bt_arbiter_action_kind_t kind;
  uint64_t run;
  const bt_dispatch_t *dispatch; /**< The pointer passed to bt_handle_dispatch. */
  uint64_t from_bytes;
  bt_reply_t reply; /**< Its data is valid until the next call for this arbiter, and not longer
                         than the data of the event that was passed in. */
} bt_arbiter_action_t;

/** A growable list of actions; zero-initialise it. */
typedef struct bt_arbiter_actions
{
  bt_arbiter_action_t *items;
  int32_t count;
  int32_t capacity;
} bt_arbiter_actions_t;

/** Frees the items of a list and empties it. */
void bt_free_arbiter_actions (bt_context_t *ctx, bt_arbiter_actions_t *actions);

typedef enum bt_run_event_kind
{
  BT_RUN_HEAD = 0, /**< status, data */
  BT_RUN_PIECE,    /**< offset_bytes, data */
  BT_RUN_END,      /**< total_bytes: the endpoint sent the end of its answer. */
  BT_RUN_FAILED,   /**< may_have_run, reason, retry_after_ms */
  BT_RUN_SILENT,   /**< resumable: the stream stalled or broke; the run may still go on. */
} bt_run_event_kind_t;

/** An event of a run, reported by the endpoint's connection. */
typedef struct bt_run_event
{
  bt_run_event_kind_t kind;
  uint64_t run;
  uint32_t status;
  const void *data;
  uint64_t data_bytes;
  uint64_t offset_bytes; /**< Offset of the piece in the answer's body. */
  uint64_t total_bytes;
  bool may_have_run; /**< False only when the endpoint can't have seen the request. */
  bool resumable;    /**< The endpoint can send the rest of an interrupted stream. */
  bt_reason_t reason;
  int64_t retry_after_ms;
} bt_run_event_t;

bt_arbiter_t *bt_new_arbiter (bt_context_t *ctx, const bt_arbiter_options_t *options);
void bt_drop_arbiter (bt_context_t *ctx, bt_arbiter_t *arbiter);

/** Handles a request to run: starts it, attaches the caller to its run or kept answer, or refuses.
 */
void bt_handle_dispatch (bt_context_t *ctx,
                         bt_arbiter_t *arbiter,
                         const bt_dispatch_t *dispatch,
                         int64_t now_ms,
                         bt_arbiter_actions_t *actions);

/** Handles a request to its home agent: grants the key to the proposed agent, replies with the
 * current grant, or refuses. */
void bt_handle_grant_request (bt_context_t *ctx,
                              bt_arbiter_t *arbiter,
                              const bt_grant_request_t *request,
                              int64_t now_ms,
                              bt_arbiter_actions_t *actions);

/** Handles a request never to run a key. The reply confirms the tombstone or says why there is
 * none. */
void bt_handle_tombstone_request (bt_context_t *ctx,
                                  bt_arbiter_t *arbiter,
                                  const bt_tombstone_request_t *request,
                                  int64_t now_ms,
                                  bt_arbiter_actions_t *actions);

/** Handles the disconnect of the caller of @p path. A run with a key goes on; a run without a key
 * is cancelled. */
void bt_handle_cancel (bt_context_t *ctx,
                       bt_arbiter_t *arbiter,
                       const bt_reply_path_t *path,
                       bt_arbiter_actions_t *actions);

/** Handles the loss of a connection, like bt_handle_cancel for every call that came over it. */
void bt_handle_link_down (bt_context_t *ctx,
                          bt_arbiter_t *arbiter,
                          uint64_t link,
                          bt_arbiter_actions_t *actions);

/** Handles an event of a run. Events of runs that ended or were cancelled are ignored. */
void bt_handle_run_event (bt_context_t *ctx,
                          bt_arbiter_t *arbiter,
                          const bt_run_event_t *event,
                          int64_t now_ms,
                          bt_arbiter_actions_t *actions);

/** Stops starting new runs. Keys are still arbitrated, and current runs finish. */
void bt_set_arbiter_leaving (bt_arbiter_t *arbiter, int64_t now_ms);

/** Removes expired records and answers. Call it several times a second. */
void bt_tick_arbiter (bt_context_t *ctx, bt_arbiter_t *arbiter, int64_t now_ms);

/** True when a leaving agent can exit: nothing runs, and every ticket that names it has expired.
 * Entry instances compute the expiry of new tickets from a clock reading that this agent sent
 * before it began to leave, so all tickets expire within ticket_life_ms of that moment. */
bool bt_can_arbiter_exit (const bt_arbiter_t *arbiter, int64_t now_ms);

/** Number of current runs on the endpoint. */
uint64_t bt_count_arbiter_runs (const bt_arbiter_t *arbiter);

/** Number of keys on record, including tombstones. */
uint64_t bt_count_arbiter_records (const bt_arbiter_t *arbiter);

/** Bytes of records and kept answers. */
uint64_t bt_count_arbiter_bytes (const bt_arbiter_t *arbiter);

/** Number of further keys that would be accepted. */
uint64_t bt_count_arbiter_free_records (const bt_arbiter_t *arbiter);

#endif
