#ifndef BILBERRYTRAY_REQUESTS_DELIVERY_H
#define BILBERRYTRAY_REQUESTS_DELIVERY_H

/** @file
 * The entry instance's side of one request, from its admission to its final answer: a state machine
 * that takes events and the current time and returns actions; it does no I/O. Not thread-safe.
 *
 * After each of BT_DELIVERY_SEND_DISPATCH, _GRANT and _TOMBSTONE, the calling code reports
 * BT_DELIVERY_SENT before any other event.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/protocol.h"

typedef struct bt_delivery bt_delivery_t;

typedef struct bt_delivery_options
{
  uint64_t call;      /**< Call id, unique in this entry instance's incarnation. */
  bool has_ticket;    /**< The request has an idempotency key. */
  bt_ticket_t ticket; /**< Its verified ticket. */
  bool idempotent;    /**< May be run more than once. */
  uint64_t body_digest;
  int64_t deadline_ms;         /**< In this process's clock, like all times here. */
  int64_t give_up_margin_ms;   /**< Time before the deadline at which the delivery of an
                                    unanswered request gives up and asks for tombstones. */
  int64_t reply_limit_ms;      /**< Time limit for the reply to one message. */
  int64_t reconnect_limit_ms;  /**< Time limit for reconnecting to a lost agent. */
  int64_t retry_after_ms;      /**< Retry-after time when the refusal itself has none. */
  int32_t max_resends;         /**< Maximum number of resends of one message, including those that
                                    resume a stream. */
  int32_t max_followed_grants; /**< Maximum number of grants followed, to limit redirects between
                                    agents. */
  uint32_t faults;             /**< Bits of bt_fault_t; 0 outside tests. */
} bt_delivery_options_t;

typedef enum bt_delivery_event_kind
{
  BT_DELIVERY_SUBMIT = 0,   /**< The request was admitted. */
  BT_DELIVERY_CANDIDATE,    /**< identity, grant_expires_ms: the agent that the policy chose. */
  BT_DELIVERY_NO_CANDIDATE, /**< reason, retry_after_ms */
  BT_DELIVERY_BUDGET,       /**< allowed, retry_after_ms: whether a retry is allowed. */
  BT_DELIVERY_SENT,         /**< link: the connection used, 0 when there was none. */
  BT_DELIVERY_LINK_UP,      /**< identity: a connection to it is open. */
  BT_DELIVERY_LINK_DOWN,    /**< link */
  BT_DELIVERY_REPLY,        /**< reply: received from an agent. */
  BT_DELIVERY_CALLER_GONE,  /**< The caller closed its connection. */
  BT_DELIVERY_REFUSE,       /**< reason, retry_after_ms: the calling code gives the request up. */
  BT_DELIVERY_TICK,         /**< Periodic check of deadlines and limits. */
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
  BT_DELIVERY_ASK_BUDGET,        /**< retry: reason for the retry. */
  BT_DELIVERY_SEND_DISPATCH,  /**< identity, dispatch; the calling code sets path.link and sends the
                                   time left until the deadline */
  BT_DELIVERY_SEND_GRANT,     /**< identity, grant_request */
  BT_DELIVERY_SEND_TOMBSTONE, /**< identity, tombstone_request */
  BT_DELIVERY_SEND_CANCEL,    /**< path */
  BT_DELIVERY_FORWARD_HEAD,   /**< status, data */
  BT_DELIVERY_FORWARD_PIECE,  /**< data */
  BT_DELIVERY_FINISH_COMPLETE, /**< The answer is complete. */
  BT_DELIVERY_FINISH_REFUSED,  /**< reason, outcome, retry_after_ms; no answer has begun. */
  BT_DELIVERY_ABORT,           /**< reason: abort the answer that has begun, visibly. */
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
  const void *data; /**< Valid until the next call for this delivery, and not longer than the
                         data of the event. */
  uint64_t data_bytes;
} bt_delivery_action_t;

/** A growable list of actions; zero-initialise it. */
typedef struct bt_delivery_actions
{
  bt_delivery_action_t *items;
  int32_t count;
  int32_t capacity;
} bt_delivery_actions_t;

/** Frees the items of a list and empties it. */
void bt_free_delivery_actions (bt_context_t *ctx, bt_delivery_actions_t *actions);

bt_delivery_t *bt_new_delivery (bt_context_t *ctx, const bt_delivery_options_t *options);
void bt_drop_delivery (bt_context_t *ctx, bt_delivery_t *delivery);

/** Handles one event. Replies to earlier attempts, on other links or for other calls are ignored,
 * and so are all events after the final action. */
void bt_handle_delivery_event (bt_context_t *ctx,
                               bt_delivery_t *delivery,
                               const bt_delivery_event_t *event,
                               int64_t now_ms,
                               bt_delivery_actions_t *actions);

/** True after one of the three final actions (complete answer, refusal, aborted answer). */
bool bt_is_delivery_finished (const bt_delivery_t *delivery);

/** The agents already tried; valid until the next event. */
const bt_identity_t *bt_get_delivery_excluded (const bt_delivery_t *delivery, int32_t *count);

/** True when the delivery waits for a link to the instance of @p identity. */
bool bt_is_delivery_waiting_for (const bt_delivery_t *delivery, const bt_identity_t *identity);

#endif
