#ifndef BILBERRYTRAY_CORE_MEMBERSHIP_H
#define BILBERRYTRAY_CORE_MEMBERSHIP_H

/** @file
 * Which instances there are, from the platform's lagging list and from links with heartbeats.
 *
 * The link goes before the list: an instance that says itself that it leaves, or whose link went
 * silent, is not live whatever the list says; the list tells of instances that are not linked, and
 * where to dial. An address is never an identity: it is reused when instances are replaced.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/config/config_spread.h"
#include "bilberrytray/core/identity.h"

typedef enum bt_listed_role
{
  BT_LISTED_ENTRY = 0, /**< Runs bilberryd. */
  BT_LISTED_AGENT,     /**< Runs bilberry-agent beside an endpoint. */
} bt_listed_role_t;

/** One line of the list. */
typedef struct bt_listed_instance
{
  char instance[BT_NAME_BYTES];
  bt_listed_role_t role;
  char endpoint[BT_NAME_BYTES]; /**< Agents only. */
  char app[BT_NAME_BYTES];      /**< Agents only: the model or plain service. */
  char address[BT_ADDRESS_BYTES];
  char http[BT_ADDRESS_BYTES]; /**< Entries only: where callers connect. */
  char failure_domain[BT_NAME_BYTES];
  bool leaving;
} bt_listed_instance_t;

typedef struct bt_membership_settings
{
  int64_t link_idle_ms;   /**< A link without a frame for this long is dead. */
  int64_t answer_life_ms; /**< How long a caller may keep an address answer. */
  int64_t list_stale_ms;  /**< Lists below the highest revision are dropped for this long. */
  bool trust_list;        /**< Tests only: the list goes before the link. */
} bt_membership_settings_t;

bt_membership_settings_t bt_get_default_membership_settings (void);

/** What an instance says of itself when a link opens. */
typedef struct bt_member_hello
{
  bt_identity_t identity;
  bt_listed_role_t role;
  const char *address; /**< Where it accepts links; may be "". */
  const char *failure_domain;
} bt_member_hello_t;

/** What became of a link that opened. */
typedef enum bt_link_verdict
{
  BT_LINK_NEW = 0,
  BT_LINK_REPLACES, /**< The instance restarted: its earlier incarnation is gone for good. */
  BT_LINK_REFUSED,  /**< From an incarnation that a later one has replaced: close it. */
} bt_link_verdict_t;

/** One instance. */
typedef struct bt_member
{
  bt_listed_instance_t listed; /**< From the list, or from the hello where it is not listed. */
  bool is_listed;
  bool linked;
  bool link_leaving;
  bool admitting; /**< It says that it may act on its configuration; entries only. */
  bool near;      /**< One end chose the other: a link between them is kept up. */
  bool near_known;
  bool lost;            /**< Its link went silent or met another instance, and did not return. */
  uint64_t incarnation; /**< Of the latest link; 0 before. */
  uint64_t retired;     /**< The incarnation before; 0 if none. */
  int64_t heard_ms;
} bt_member_t;

typedef struct bt_membership bt_membership_t;

bt_membership_t *bt_new_membership (bt_context_t *ctx,
                                    const bt_identity_t *self,
                                    bt_listed_role_t role,
                                    const bt_membership_settings_t *settings);

/** NULL is accepted. */
void bt_drop_membership (bt_context_t *ctx, bt_membership_t *membership);

/** Takes a whole list. False when it is older than one seen before, and is dropped. */
bool bt_take_member_list (bt_context_t *ctx,
                          bt_membership_t *membership,
                          int64_t revision,
                          const bt_listed_instance_t *listed,
                          int32_t count,
                          int64_t now_ms);

/** A link opened. With BT_LINK_REPLACES, @p replaced is the incarnation that is gone. */
bt_link_verdict_t bt_open_member_link (bt_context_t *ctx,
                                       bt_membership_t *membership,
                                       const bt_member_hello_t *hello,
                                       int64_t now_ms,
                                       uint64_t *replaced);

void bt_close_member_link (bt_context_t *ctx,
                           bt_membership_t *membership,
                           const bt_identity_t *identity);

/** Dialling @p instance met another one at its address: the address was reused. */
void bt_note_wrong_instance (bt_membership_t *membership, const char *instance);

/** A heartbeat of the linked incarnation; others are ignored. */
void bt_take_member_heartbeat (bt_membership_t *membership,
                               const bt_identity_t *identity,
                               bool leaving,
                               bool admitting,
                               int64_t now_ms);

/** Whether this instance itself may act on its configuration; false at the start. */
void bt_set_self_admitting (bt_membership_t *membership, bool admitting);

/** This instance leaves. */
void bt_set_self_leaving (bt_membership_t *membership, int64_t now_ms);

/** True once a leaving instance is in no answer that a caller may still keep. */
bool bt_are_answers_expired (const bt_membership_t *membership, int64_t now_ms);

int32_t bt_count_members (const bt_membership_t *membership);
const bt_member_t *bt_get_member (const bt_membership_t *membership, int32_t index);

/** NULL when there is none. */
const bt_member_t *bt_find_member (const bt_membership_t *membership, const char *instance);

/** True when new work may go to this instance. */
bool
bt_is_member_live (const bt_membership_t *membership, const bt_member_t *member, int64_t now_ms);

/** Entry instances to give to a caller: live ones, not leaving, this one among them, in an order
 * drawn from @p seed. Those that would refuse for want of configuration are left out, unless all
 * would. Their members go to @p chosen, which has room for @p wanted; returns how
 * many. The answer lives for answer_life_ms. */
int32_t bt_choose_addresses (bt_context_t *ctx,
                             const bt_membership_t *membership,
                             uint64_t seed,
                             int64_t now_ms,
                             int32_t wanted,
                             const bt_member_t **chosen);

/** The entries as configuration needs them: listed or linked, not leaving; silent ones too, since
 * they may be alive elsewhere. The caller frees the array with bt_free. */
bt_spread_member_t *
bt_list_spread_members (bt_context_t *ctx, const bt_membership_t *membership, int32_t *count);

#endif
