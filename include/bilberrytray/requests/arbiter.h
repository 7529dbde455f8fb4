#ifndef BILBERRYTRAY_REQUESTS_ARBITER_H
#define BILBERRYTRAY_REQUESTS_ARBITER_H

/** @file
 * The agent's side of the request protocol. For keys whose ticket names this agent as home it
 * decides who may run them; for keys granted to it, and for its own, it starts at most one run and
 * remembers it. Messages and a time go in, actions come out. Not thread-safe.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/protocol.h"

typedef struct bt_arbiter bt_arbiter_t;

typedef struct bt_arbiter_options
{
  bt_identity_t self;
  uint64_t max_records;       /**< Keys of runs and grants kept at once. */
  uint64_t tombstone_reserve; /**< Tombstones that fit beside them; then one floor stands for
                                   all, which refuses other unused tickets too. */
  uint64_t max_bytes;         /**< Of records and kept answers. */
  uint64_t max_answer_bytes;  /**< A longer answer is not kept. */
  int64_t keep_answer_ms;     /**< How long a whole answer is kept after its end. */
  int64_t grace_ms;           /**< How long a record outlives its ticket. */
  int64_t ticket_life_ms;     /**< Longest life of tickets and grants; see bt_can_arbiter_exit. */
  int64_t retry_after_ms;     /**< Told to those refused for want of room. */
  uint32_t max_resumes;       /**< How often a silent engine stream is resumed. */
  uint32_t faults;            /**< Bits of bt_fault_t; 0 outside tests. */
} bt_arbiter_options_t;

typedef enum bt_arbiter_action_kind
{
  BT_ARBITER_START_RUN = 0, /**< run, dispatch: hand it to the endpoint. */
  BT_ARBITER_RESUME_RUN,    /**< run, from_bytes: fetch the rest of the stream from there. */
  BT_ARBITER_CANCEL_RUN,    /**< run: stop it, its events are no longer wanted. */
  BT_ARBITER_REPLY,         /**< reply: send it over the link that its path names. */
} bt_arbiter_action_kind_t;

/** One thing to do. */
typedef struct bt_arbiter_action
{
  bt_arbiter_action_kind_t kind;
  uint64_t run;
  const bt_dispatch_t *dispatch; /**< The one handed in, so valid as long as that. */
  uint64_t from_bytes;
  bt_reply_t reply; /**< Its data is valid until the arbiter or the event's memory is used again. */
} bt_arbiter_action_t;

/** A growable list of actions; zero-initialise it. */
typedef struct bt_arbiter_actions
{
  bt_arbiter_action_t *items;
  int32_t count;
  int32_t room;
} bt_arbiter_actions_t;

/** Frees what a list holds. */
void bt_free_arbiter_actions (bt_context_t *ctx, bt_arbiter_actions_t *actions);

typedef enum bt_run_event_kind
{
  BT_RUN_HEAD = 0, /**< status, data */
  BT_RUN_PIECE,    /**< offset_bytes, data */
  BT_RUN_END,      /**< total_bytes: the endpoint marked the end of its answer. */
  BT_RUN_FAILED,   /**< may_have_run, reason, retry_after_ms */
  BT_RUN_SILENT,   /**< The stream went silent or was cut; the endpoint may go on. */
} bt_run_event_kind_t;

/** What the endpoint did with a run. */
typedef struct bt_run_event
{
  bt_run_event_kind_t kind;
  uint64_t run;
  uint32_t status;
  const void *data;
  uint64_t data_bytes;
  uint64_t offset_bytes; /**< Where the piece begins in the answer's body. */
  uint64_t total_bytes;
  bool may_have_run; /**< False only when the endpoint can't have seen the request. */
  bool resumable;    /**< The endpoint can give the rest of a silent stream. */
  bt_reason_t reason;
  int64_t retry_after_ms;
} bt_run_event_t;

bt_arbiter_t *bt_new_arbiter (bt_context_t *ctx, const bt_arbiter_options_t *options);
void bt_drop_arbiter (bt_context_t *ctx, bt_arbiter_t *arbiter);

void bt_handle_dispatch (bt_context_t *ctx,
                         bt_arbiter_t *arbiter,
                         const bt_dispatch_t *dispatch,
                         int64_t now_ms,
                         bt_arbiter_actions_t *actions);

void bt_handle_grant_request (bt_context_t *ctx,
                              bt_arbiter_t *arbiter,
                              const bt_grant_request_t *request,
                              int64_t now_ms,
                              bt_arbiter_actions_t *actions);

void bt_handle_tombstone_request (bt_context_t *ctx,
                                  bt_arbiter_t *arbiter,
                                  const bt_tombstone_request_t *request,
                                  int64_t now_ms,
                                  bt_arbiter_actions_t *actions);

/** The caller behind @p path is gone. A run with a key goes on; one without is cancelled. */
void bt_handle_cancel (bt_context_t *ctx,
                       bt_arbiter_t *arbiter,
                       const bt_reply_path_t *path,
                       bt_arbiter_actions_t *actions);

/** A connection is dead: like a cancel of all that came over it. */
void bt_handle_link_down (bt_context_t *ctx,
                          bt_arbiter_t *arbiter,
                          uint64_t link,
                          bt_arbiter_actions_t *actions);

/** Events of runs that ended or were cancelled are ignored. */
void bt_handle_run_event (bt_context_t *ctx,
                          bt_arbiter_t *arbiter,
                          const bt_run_event_t *event,
                          int64_t now_ms,
                          bt_arbiter_actions_t *actions);

/** From now on no run is started here; keys are still arbitrated and runs finish. */
void bt_set_arbiter_leaving (bt_arbiter_t *arbiter, int64_t now_ms);

/** Forgets what has expired; call it several times a second. */
void bt_tick_arbiter (bt_context_t *ctx, bt_arbiter_t *arbiter, int64_t now_ms);

/** True when a leaving agent is needed no more: nothing runs, and every ticket that can name it has
 * expired. Entries mint by a reading that this agent sent before it was leaving, so all expire
 * within ticket_life_ms of the leaving. */
bool bt_can_arbiter_exit (const bt_arbiter_t *arbiter, int64_t now_ms);

/** How many runs the endpoint has now. */
uint64_t bt_count_arbiter_runs (const bt_arbiter_t *arbiter);

/** How many keys are on record. */
uint64_t bt_count_arbiter_records (const bt_arbiter_t *arbiter);

/** Bytes of records and kept answers. */
uint64_t bt_count_arbiter_bytes (const bt_arbiter_t *arbiter);

/** How many further keys would be taken. */
uint64_t bt_count_arbiter_room (const bt_arbiter_t *arbiter);

#endif
