#ifndef BILBERRYTRAY_SOURCE_ENTRY_OPERATOR_LINKS_H
#define BILBERRYTRAY_SOURCE_ENTRY_OPERATOR_LINKS_H

/** @file
 * Links from an operator's command to all entry instances of the list that are not leaving, used to
 * push documents and to query which are in force.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/config/document.h"
#include "bilberrytray/store/instances.h"

enum
{
  BT_MAX_DOCUMENT_STATUSES = 16, /**< Maximum number of documents in one reply. */
};

/** One document in force on an entry instance. */
typedef struct bt_document_status
{
  char name[BT_NAME_BYTES];
  int64_t revision;
  char change[BT_CHANGE_BYTES];
} bt_document_status_t;

/** The latest reported state of an entry instance. */
typedef struct bt_entry_status
{
  char instance[BT_NAME_BYTES];
  char failure_domain[BT_NAME_BYTES];
  bool up;              /**< The link is up. */
  uint64_t incarnation; /**< Of the linked instance; 0 while the link is down. */
  bool answered;        /**< It has reported its documents in force. */
  bool updated;         /**< It has reported since the last bt_get_entry_status on this link. */
  uint32_t sync_state;
  int64_t fresh_age_ms;
  bt_document_status_t states[BT_MAX_DOCUMENT_STATUSES];
  int32_t state_count;
} bt_entry_status_t;

typedef struct bt_operator_links bt_operator_links_t;

bt_operator_links_t *
bt_new_operator_links (bt_context_t *ctx, const char *secret, bt_error_t *error);

/** NULL is accepted. */
void bt_drop_operator_links (bt_context_t *ctx, bt_operator_links_t *links);

/** Applies the instance list: dials entry instances without a link, and drops those that are
 * leaving or no longer listed. */
void bt_dial_listed_entries (bt_context_t *ctx,
                             bt_operator_links_t *links,
                             const bt_instance_list_t *list);

/** Pushes documents to an entry instance, which replies with its documents in force. An empty
 * list is a pure query. Returns false if the link is not up. */
bool bt_push_documents (bt_context_t *ctx,
                        bt_operator_links_t *links,
                        const char *instance,
                        const bt_document_list_t *documents);

/** Returns the number of listed entry instances. */
int32_t bt_count_entry_statuses (bt_operator_links_t *links);

/** Copies the status of the entry instance at @p index and clears its updated flag. */
void bt_get_entry_status (bt_operator_links_t *links, int32_t index, bt_entry_status_t *status);

#endif
