#ifndef BILBERRYTRAY_CORE_MEMBERSHIP_H
#define BILBERRYTRAY_CORE_MEMBERSHIP_H

/** @file
 * Tracks which instances exist, from the platform's instance list, which lags, and from links with
 * heartbeats.
 *
 * The state of a link takes precedence over the list: an instance that has announced that it is
 * leaving, or whose link went silent, is not live whatever the list says. The list is used for
 * instances without a link and for the addresses to dial. An address never identifies an instance,
 * since it is reused when instances are replaced.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/config/config_sync.h"
#include "bilberrytray/core/identity.h"

typedef enum bt_listed_role
{
  BT_LISTED_ENTRY = 0, /**< Entry instance: runs bilberryd and accepts the requests of callers. */
  BT_LISTED_AGENT,     /**< Agent: runs bilberry-agent beside an endpoint. */
} bt_listed_role_t;

/** One instance of the platform's list. */
typedef struct bt_listed_instance
{
  char instance[BT_NAME_BYTES];
  bt_listed_role_t role;
  char endpoint[BT_NAME_BYTES]; /**< Agents only. */
  char app[BT_NAME_BYTES]; /**< Agents only: the model or plain service that the endpoint serves. */
  char address[BT_ADDRESS_BYTES];
  char http[BT_ADDRESS_BYTES]; /**< Entries only: address that callers connect to. */
  char failure_domain[BT_NAME_BYTES];
  bool leaving;
} bt_listed_instance_t;

typedef struct bt_membership_settings
{
  int64_t link_idle_ms;   /**< A link on which no frame arrives for this long is dead. */
  int64_t answer_life_ms; /**< How long a caller may cache an answer with entry addresses. */
  int64_t list_stale_ms;  /**< How long lists older than the highest revision are rejected. */
  bool trust_list;        /**< Tests only: the list takes precedence over the link. */
} bt_membership_settings_t;

bt_membership_settings_t bt_get_default_membership_settings (void);

/** Data that an instance sends about itself when a link opens. */
typedef struct bt_member_hello
{
  bt_identity_t identity;
  bt_listed_role_t role;
  const char *address; /**< Address on which it accepts links; may be "". */
  const char *failure_domain;
} bt_member_hello_t;

/** Result of opening a link. */
typedef enum bt_link_result
{
  BT_LINK_NEW = 0,
  BT_LINK_REPLACES, /**< The instance restarted; its earlier incarnation has ended for good. */
  BT_LINK_REFUSED, /**< The peer is an incarnation that a later one has replaced: close the link. */
} bt_link_result_t;

/** State of one instance. */
typedef struct bt_member
{
  bt_listed_instance_t listed; /**< From the list, or from the hello if it is not listed. */
  bool is_listed;
  bool linked;
  bool link_leaving;
  bool admitting;   /**< Entries only: it reports that it may act on its configuration. */
  bool is_neighbor; /**< One end selected the other for a permanent link. */
  bool neighbor_is_known;
  bool lost; /**< Its link closed, or another instance answered at its address; reset by a new link
                or a new address. */
  uint64_t incarnation;          /**< Incarnation of the latest link; 0 before the first. */
  uint64_t replaced_incarnation; /**< Incarnation that the current one replaced; 0 if none. */
  int64_t heard_ms;
} bt_member_t;

typedef struct bt_membership bt_membership_t;

bt_membership_t *bt_new_membership (bt_context_t *ctx,
                                    const bt_identity_t *self,
                                    bt_listed_role_t role,
                                    const bt_membership_settings_t *settings);

/** Frees the membership; NULL is allowed. */
void bt_drop_membership (bt_context_t *ctx, bt_membership_t *membership);

/** Replaces the list. Returns false and rejects the list if it is older than one seen before. */
bool bt_apply_member_list (bt_context_t *ctx,
                           bt_membership_t *membership,
                           int64_t revision,
                           const bt_listed_instance_t *listed,
                           int32_t count,
                           int64_t now_ms);

/** Records that a link opened. On BT_LINK_REPLACES, @p replaced is set to the incarnation that has
 * ended. */
bt_link_result_t bt_open_member_link (bt_context_t *ctx,
                                      bt_membership_t *membership,
                                      const bt_member_hello_t *hello,
                                      int64_t now_ms,
                                      uint64_t *replaced);

void bt_close_member_link (bt_context_t *ctx,
                           bt_membership_t *membership,
                           const bt_identity_t *identity);

/** Records that another instance answered at the address of @p instance: the address was reused. */
void bt_note_wrong_instance (bt_membership_t *membership, const char *instance);

/** Records a heartbeat of the linked incarnation; heartbeats of other incarnations are ignored. */
void bt_handle_member_heartbeat (bt_membership_t *membership,
                                 const bt_identity_t *identity,
                                 bool leaving,
                                 bool admitting,
                                 int64_t now_ms);

/** Sets whether this instance itself may act on its configuration; initially false. */
void bt_set_self_admitting (bt_membership_t *membership, bool admitting);

/** Records that this instance starts to leave. */
void bt_set_self_leaving (bt_membership_t *membership, int64_t now_ms);

/** Returns true once every answer that lists this leaving instance has expired at its caller. */
bool bt_are_answers_expired (const bt_membership_t *membership, int64_t now_ms);

int32_t bt_count_members (const bt_membership_t *membership);
const bt_member_t *bt_get_member (const bt_membership_t *membership, int32_t index);

/** Returns NULL if there is no such member. */
const bt_member_t *bt_find_member (const bt_membership_t *membership, const char *instance);

/** Returns true if new work may be sent to this instance. */
bool
bt_is_member_live (const bt_membership_t *membership, const bt_member_t *member, int64_t now_ms);

/** Selects entry instances for an answer to a caller: live ones that are not leaving, including
 * this one, in an order drawn from @p seed. Entries that would refuse requests for lack of
 * configuration are left out, unless all of them would. Writes the members to @p chosen, which has
 * room for @p wanted, and returns their number. The answer is valid for answer_life_ms. */
int32_t bt_choose_addresses (bt_context_t *ctx,
                             const bt_membership_t *membership,
                             uint64_t seed,
                             int64_t now_ms,
                             int32_t wanted,
                             const bt_member_t **chosen);

/** Lists the entries for the distribution of configuration: those that are listed or linked and not
 * leaving. Silent ones are included, since they may still be reachable by others. The caller frees
 * the array with bt_free. */
bt_sync_member_t *
bt_list_sync_members (bt_context_t *ctx, const bt_membership_t *membership, int32_t *count);

#endif
