#ifndef BILBERRYTRAY_SOURCE_ENTRY_OPERATOR_LINKS_H
#define BILBERRYTRAY_SOURCE_ENTRY_OPERATOR_LINKS_H

/** @file
 * Links from an operator's command to all live entry instances of the list, to hand documents over
 * and to ask what is in force.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/config/document.h"
#include "bilberrytray/store/instances.h"

enum
{
  BT_MAX_STATES = 16, /**< Documents that one answer tells of. */
};

/** One document in force on an entry instance. */
typedef struct bt_told_state
{
  char name[BT_NAME_BYTES];
  int64_t revision;
  char change[BT_CHANGE_BYTES];
} bt_told_state_t;

/** What an entry instance told last. */
typedef struct bt_told
{
  char instance[BT_NAME_BYTES];
  char failure_domain[BT_NAME_BYTES];
  bool up;              /**< The link is up. */
  uint64_t incarnation; /**< Of the start that is linked; 0: none. */
  bool answered;        /**< It told what is in force. */
  bool news;            /**< It did so since this was last looked at. */
  uint32_t spread_state;
  int64_t fresh_age_ms;
  bt_told_state_t states[BT_MAX_STATES];
  int32_t state_count;
} bt_told_t;

typedef struct bt_operator_links bt_operator_links_t;

bt_operator_links_t *
bt_new_operator_links (bt_context_t *ctx, const char *secret, bt_error_t *error);

/** NULL is accepted. */
void bt_drop_operator_links (bt_context_t *ctx, bt_operator_links_t *links);

/** Takes the list: dials the live entries that are not linked, and forgets those that are gone. */
void bt_dial_listed_entries (bt_context_t *ctx,
                             bt_operator_links_t *links,
                             const bt_instance_list_t *list);

/** Sends documents to an entry and asks what is in force; without documents it only asks. False
 * when its link is not up. */
bool bt_hand_over (bt_context_t *ctx,
                   bt_operator_links_t *links,
                   const char *instance,
                   const bt_document_list_t *documents);

/** How many entries the list names, and a copy of what one of them told; takes its news. */
int32_t bt_count_told (bt_operator_links_t *links);
void bt_get_told (bt_operator_links_t *links, int32_t index, bt_told_t *told);

#endif
