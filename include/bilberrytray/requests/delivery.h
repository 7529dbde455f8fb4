#ifndef BILBERRYTRAY_REQUESTS_DELIVERY_H
#define BILBERRYTRAY_REQUESTS_DELIVERY_H

/** @file
 * The entry's side of one request: from its admission to its final answer. Events and a time go in,
 * actions come out. Not thread-safe.
 *
 * After each BT_DELIVERY_SEND_* action the shell reports BT_DELIVERY_SENT before any other event.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/protocol.h"

typedef struct bt_delivery bt_delivery_t;

typedef struct bt_delivery_options
{
  uint64_t call;      /**< Unique in this entry's incarnation. */
  bool has_ticket;    /**< The request has a key. */
  bt_ticket_t ticket; /**< Its verified ticket. */
  bool idempotent;    /**< May be run more than once. */
  uint64_t body_digest;
  int64_t deadline_ms;        /**< In this process's clock, as all times here. */
  int64_t give_up_margin_ms;  /**< What is left of the deadline when not-run must be proved. */
  int64_t reply_limit_ms;     /**< How long one message may stay unanswered. */
  int64_t reconnect_limit_ms; /**< How long a lost agent is waited for. */
  int64_t retry_after_ms;     /**< Told where the refusal itself names no time. */
  int32_t max_resends;        /**< Unanswered messages sent again, and streams resumed. */
  int32_t max_hops;           /**< Grants of other entries that are followed. */
  uint32_t faults;            /**< Bits of bt_fault_t; 0 outside tests. */
} bt_delivery_options_t;

typedef enum bt_delivery_event_kind
{
  BT_DELIVERY_SUBMIT = 0,   /**< The request was admitted. */
  BT_DELIVERY_CANDIDATE,    /**< identity, grant_expires_ms: the policy's choice. */
  BT_DELIVERY_NO_CANDIDATE, /**< reason, retry_after_ms */
  BT_DELIVERY_BUDGET,       /**< allowed: whether a further attempt may be made. */
  BT_DELIVERY_SENT,         /**< link: the connection used, 0 when there is none. */
  BT_DELIVERY_LINK_UP,      /**< identity: a connection to it is open. */
  BT_DELIVERY_LINK_DOWN,    /**< link */
  BT_DELIVERY_REPLY,        /**< reply: from an agent. */
  BT_DELIVERY_CALLER_GONE,  /**< The caller closed its connection. */
  BT_DELIVERY_REFUSE,       /**< reason, retry_after_ms: the shell gives the request up. */
  BT_DELIVERY_TICK,         /**< Time has passed. */
} bt_delivery_event_kind_t;

typedef struct bt_delivery_event
{
  bt_delivery_event_kind_t kind;
  bt_identity_t identity;
  int64_t grant_expires_ms; /**< In the candidate's clock. */
  bool allowed;
  uint64_t link;
  bt_reason_t reason;
  int64_t retry_after_ms;
  const bt_reply_t *reply;
} bt_delivery_event_t;

typedef enum bt_delivery_action_kind
{
  BT_DELIVERY_ASK_CANDIDATE = 0, /**< excluded, excluded_count: agents already tried. */
  BT_DELIVERY_ASK_BUDGET,        /**< retry: why a further attempt is wanted. */
  BT_DELIVERY_SEND_DISPATCH,     /**< identity, dispatch (path.link, deadline left to the shell) */
  BT_DELIVERY_SEND_GRANT,        /**< identity, grant_request */
  BT_DELIVERY_SEND_TOMBSTONE,    /**< identity, tombstone_request */
  BT_DELIVERY_SEND_CANCEL,       /**< path */
  BT_DELIVERY_GIVE_HEAD,         /**< status, data */
  BT_DELIVERY_GIVE_PIECE,        /**< data */
  BT_DELIVERY_FINISH_WHOLE,      /**< The answer is complete. */
  BT_DELIVERY_FINISH_REFUSED,    /**< reason, outcome, retry_after_ms; nothing was given before. */
  BT_DELIVERY_CUT,               /**< reason: an answer was begun and must be visibly cut. */
} bt_delivery_action_kind_t;

typedef struct bt_delivery_action
{
  bt_delivery_action_kind_t kind;
  bt_identity_t identity;
  const bt_identity_t *excluded; /**< Valid until the next event. */
  int32_t excluded_count;
  bt_retry_t retry;
  bt_dispatch_t dispatch;
  bt_grant_request_t grant_request;
  bt_tombstone_request_t tombstone_request;
  bt_reply_path_t path;
  bt_reason_t reason;
  bt_outcome_t outcome;
  int64_t retry_after_ms;
  uint32_t status;
  const void *data; /**< Valid until the delivery or the event's memory is used again. */
  uint64_t data_bytes;
} bt_delivery_action_t;

/** A growable list of actions; zero-initialise it. */
typedef struct bt_delivery_actions
{
  bt_delivery_action_t *items;
  int32_t count;
  int32_t room;
} bt_delivery_actions_t;

/** Frees what a list holds. */
void bt_free_delivery_actions (bt_context_t *ctx, bt_delivery_actions_t *actions);

bt_delivery_t *bt_new_delivery (bt_context_t *ctx, const bt_delivery_options_t *options);
void bt_drop_delivery (bt_context_t *ctx, bt_delivery_t *delivery);

/** Takes one event. Events that belong to earlier attempts, other links or other calls, and all
 * events after the final answer, are ignored. */
void bt_step_delivery (bt_context_t *ctx,
                       bt_delivery_t *delivery,
                       const bt_delivery_event_t *event,
                       int64_t now_ms,
                       bt_delivery_actions_t *actions);

/** True after one of the three final actions. */
bool bt_is_delivery_finished (const bt_delivery_t *delivery);

/** The agents already tried; valid until the next event. */
const bt_identity_t *bt_get_delivery_excluded (const bt_delivery_t *delivery, int32_t *count);

/** True when a link to the instance of @p identity is waited for. */
bool bt_is_delivery_waiting_for (const bt_delivery_t *delivery, const bt_identity_t *identity);

#endif
