#ifndef BT_SOURCE_REQUESTS_DELIVERY_PRIVATE_H
#define BT_SOURCE_REQUESTS_DELIVERY_PRIVATE_H

/** @file
 * State and functions shared by the source files of the delivery state machine.
 */

#include "bilberrytray/requests/delivery.h"

typedef enum bt_delivery_phase
{
  BT_PHASE_NEW = 0,
  BT_PHASE_AWAITING_CANDIDATE, /**< The policy was asked for an agent. */
  BT_PHASE_AWAITING_BUDGET,    /**< The policy was asked whether a retry is allowed. */
  BT_PHASE_AWAITING_REPLY,     /**< A message was sent; waits for its reply. */
  BT_PHASE_RUNNING,            /**< The dispatch was accepted. */
  BT_PHASE_AWAITING_LINK,      /**< Waits for a link, to send the message again. */
  BT_PHASE_FINISHED,
} bt_delivery_phase_t;

typedef enum bt_delivery_message
{
  BT_MESSAGE_DISPATCH = 0,
  BT_MESSAGE_GRANT,
  BT_MESSAGE_TOMBSTONE_GRANTEE,
  BT_MESSAGE_TOMBSTONE_HOME,
} bt_delivery_message_t;

struct bt_delivery
{
  bt_delivery_options_t options;
  bt_delivery_phase_t phase;
  bt_delivery_message_t message; /**< The message last sent, or to be sent again. */
  bt_identity_t target;          /**< The agent that the message goes to. */
  bt_reply_path_t path;          /**< Path that its replies have; link 0 when it was not sent. */
  int64_t phase_start_ms;        /**< When the phase began. */
  int32_t resends;
  int32_t followed_grants;
  bt_identity_t candidate; /**< Proposed in the last grant request. */
  int64_t candidate_expires_ms;
  bool has_grant;
  bool grant_tombstoned; /**< The agent of the grant has tombstoned the key, or is the home agent
                             (see handle_budget). */
  bt_grant_t grant;
  bool attach_only;
  bool giving_up;
  bt_reason_t reason; /**< Sent to the caller once giving up has finished. */
  int64_t retry_after_ms;
  uint32_t unconfirmed_dispatches; /**< Dispatches without a key that were sent and not refused as
                                     not run. */
  bt_identity_t *excluded;
  int32_t excluded_count;
  int32_t excluded_capacity;
  bool has_head; /**< The head was received. It is held back until the first piece, so that the
                    request can still run again elsewhere. */
  uint32_t status;
  void *head;
  uint64_t head_bytes;
  bool head_forwarded; /**< The head was forwarded to the caller. */
  uint64_t next_sequence;
  uint64_t bytes;
};

bt_delivery_action_t *bt_add_delivery_action (bt_context_t *ctx,
                                              bt_delivery_actions_t *actions,
                                              bt_delivery_action_kind_t kind);

/** Sends delivery->message to delivery->target with a new attempt number. */
void bt_send_delivery_message (bt_context_t *ctx,
                               bt_delivery_t *delivery,
                               int64_t now_ms,
                               bt_delivery_actions_t *actions);

/** Ends the delivery: aborts an answer that has begun, else refuses. */
void bt_end_delivery (bt_context_t *ctx,
                      bt_delivery_t *delivery,
                      bt_reason_t reason,
                      bt_outcome_t outcome,
                      int64_t retry_after_ms,
                      bt_delivery_actions_t *actions);

/** Ends the delivery with BT_OUTCOME_UNKNOWN. */
void bt_end_delivery_unknown (bt_context_t *ctx,
                              bt_delivery_t *delivery,
                              bt_reason_t reason,
                              bt_delivery_actions_t *actions);

/** Gives up. A request with a key is refused once tombstones prove that it did not run and will
 * not. A request without a key ends at once: as not run if no dispatch is unconfirmed, else as
 * unknown. An answer that has begun is aborted. */
void bt_give_up_delivery (bt_context_t *ctx,
                          bt_delivery_t *delivery,
                          bt_reason_t reason,
                          int64_t retry_after_ms,
                          int64_t now_ms,
                          bt_delivery_actions_t *actions);

/** Sends a dispatch to @p target: the agent of the current grant, the home agent, or for a request
 * without a key the chosen agent. */
void bt_dispatch_delivery (bt_context_t *ctx,
                           bt_delivery_t *delivery,
                           const bt_identity_t *target,
                           int64_t now_ms,
                           bt_delivery_actions_t *actions);

/** Asks the policy for an agent that has not been tried yet. */
void bt_ask_candidate (bt_context_t *ctx,
                       bt_delivery_t *delivery,
                       int64_t now_ms,
                       bt_delivery_actions_t *actions);

/** Excludes the current target and asks the policy whether a retry is allowed. */
void bt_ask_budget (bt_context_t *ctx,
                    bt_delivery_t *delivery,
                    bt_retry_t retry,
                    bt_delivery_actions_t *actions);

/** Handles a message that got no reply or was not sent. With a key it is sent again or waits for a
 * link; without a key the request is tried elsewhere or ends. */
void bt_handle_lost_message (bt_context_t *ctx,
                             bt_delivery_t *delivery,
                             bool link_is_up,
                             int64_t now_ms,
                             bt_delivery_actions_t *actions);

/** Handles the head, a piece or the end of an answer. */
void bt_handle_answer (bt_context_t *ctx,
                       bt_delivery_t *delivery,
                       const bt_reply_t *reply,
                       int64_t now_ms,
                       bt_delivery_actions_t *actions);

/** Handles a reply to a dispatch, a grant request or a tombstone request. */
void bt_handle_reply (bt_context_t *ctx,
                      bt_delivery_t *delivery,
                      const bt_reply_t *reply,
                      int64_t now_ms,
                      bt_delivery_actions_t *actions);

/** Discards the part of the answer received so far, before the request runs again elsewhere. */
void bt_reset_answer (bt_context_t *ctx, bt_delivery_t *delivery);

#endif
