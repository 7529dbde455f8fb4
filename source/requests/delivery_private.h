#ifndef BT_SOURCE_REQUESTS_DELIVERY_PRIVATE_H
#define BT_SOURCE_REQUESTS_DELIVERY_PRIVATE_H

/** @file
 * What the files of the delivery machine share.
 */

#include "bilberrytray/requests/delivery.h"

typedef enum bt_delivery_phase
{
  BT_PHASE_NEW = 0,
  BT_PHASE_CHOOSING,  /**< The policy was asked for a candidate. */
  BT_PHASE_BUDGETING, /**< The policy was asked for a further attempt. */
  BT_PHASE_ASKING,    /**< A message is out, its reply is awaited. */
  BT_PHASE_RUNNING,   /**< The dispatch was accepted. */
  BT_PHASE_WAITING,   /**< For a link, to send the message again. */
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
  bt_delivery_message_t message; /**< Last sent or waiting to be sent. */
  bt_identity_t target;          /**< Whom it goes to. */
  bt_reply_path_t path;          /**< What its replies carry; link 0 when none left. */
  int64_t since_ms;              /**< When the phase began. */
  int32_t resends;
  int32_t hops;
  bt_identity_t candidate; /**< Proposed in the last grant request. */
  int64_t candidate_expires_ms;
  bool has_grant;
  bool grant_buried; /**< Its agent has tombstoned the key. */
  bt_grant_t grant;
  bool attach_only;
  bool giving_up;
  bt_reason_t reason; /**< Told when giving up has ended. */
  int64_t retry_after_ms;
  uint32_t unsettled; /**< Dispatches without a key that left and weren't refused as not-run. */
  bt_identity_t *excluded;
  int32_t excluded_count;
  int32_t excluded_room;
  bool has_head; /**< Held back until the first piece, so that a rerun stays possible. */
  uint32_t status;
  void *head;
  uint64_t head_bytes;
  bool begun; /**< The caller has got the head. */
  uint64_t next_sequence;
  uint64_t bytes;
};

bt_delivery_action_t *bt_add_delivery_action (bt_context_t *ctx,
                                              bt_delivery_actions_t *actions,
                                              bt_delivery_action_kind_t kind);

/** Sends delivery->message to delivery->target under a new attempt. */
void bt_send_delivery_message (bt_context_t *ctx,
                               bt_delivery_t *delivery,
                               int64_t now_ms,
                               bt_delivery_actions_t *actions);

/** Ends the delivery: cuts an answer that has begun, else refuses. */
void bt_end_delivery (bt_context_t *ctx,
                      bt_delivery_t *delivery,
                      bt_reason_t reason,
                      bt_outcome_t outcome,
                      int64_t retry_after_ms,
                      bt_delivery_actions_t *actions);

/** Ends the delivery as unknown. */
void bt_end_delivery_unknown (bt_context_t *ctx,
                              bt_delivery_t *delivery,
                              bt_reason_t reason,
                              bt_delivery_actions_t *actions);

/** Stops trying. The refusal is told once it is proved that nothing ran or will. */
void bt_give_up_delivery (bt_context_t *ctx,
                          bt_delivery_t *delivery,
                          bt_reason_t reason,
                          int64_t retry_after_ms,
                          int64_t now_ms,
                          bt_delivery_actions_t *actions);

/** Dispatches to the grantee of the current grant, or home when there is none. */
void bt_dispatch_delivery (bt_context_t *ctx,
                           bt_delivery_t *delivery,
                           const bt_identity_t *target,
                           int64_t now_ms,
                           bt_delivery_actions_t *actions);

/** Asks the policy for an agent that was not tried. */
void bt_ask_candidate (bt_context_t *ctx,
                       bt_delivery_t *delivery,
                       int64_t now_ms,
                       bt_delivery_actions_t *actions);

/** Asks the policy for a further attempt. */
void bt_ask_budget (bt_context_t *ctx,
                    bt_delivery_t *delivery,
                    bt_retry_t retry,
                    bt_delivery_actions_t *actions);

/** The message got no reply: sends it again by key, waits for a link, tries elsewhere or ends. */
void bt_lose_message (bt_context_t *ctx,
                      bt_delivery_t *delivery,
                      bool link_is_up,
                      int64_t now_ms,
                      bt_delivery_actions_t *actions);

/** Takes head, piece or end of the answer. */
void bt_take_answer (bt_context_t *ctx,
                     bt_delivery_t *delivery,
                     const bt_reply_t *reply,
                     int64_t now_ms,
                     bt_delivery_actions_t *actions);

/** Takes a reply to a dispatch, a grant or a tombstone request. */
void bt_take_reply (bt_context_t *ctx,
                    bt_delivery_t *delivery,
                    const bt_reply_t *reply,
                    int64_t now_ms,
                    bt_delivery_actions_t *actions);

/** Forgets what was received, before a rerun. */
void bt_reset_answer (bt_context_t *ctx, bt_delivery_t *delivery);

#endif
