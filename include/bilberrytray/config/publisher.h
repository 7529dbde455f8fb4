#ifndef BILBERRYTRAY_CONFIG_PUBLISHER_H
#define BILBERRYTRAY_CONFIG_PUBLISHER_H

/** @file
 * Publishes one change by an operator, from reading its base to the result `accepted`.
 *
 * The steps: read the base; commit all documents in one transaction that compares their revisions;
 * read the documents back; push them to the entry instances. The change is accepted once it is in
 * force on every entry. It is also accepted when more than half have it and the isolation limit has
 * passed since then: by that time, an entry that did not answer has either received the change from
 * a peer or stopped admitting requests.
 *
 * This module does no I/O: the caller passes in events with the current time and carries out the
 * actions that are appended.
 */

#include "bilberrytray/config/document.h"

/** Bits that disable guards, for tests that show which failure each guard prevents. */
enum
{
  BT_PUBLISH_NO_READ_BACK = 1,    /**< A commit whose answer was lost counts as failed. */
  BT_PUBLISH_NO_COMPARE = 2,      /**< Overwrites concurrent changes. */
  BT_PUBLISH_NO_PUSH = 4,         /**< Accepted as soon as the store has the change. */
  BT_PUBLISH_ANY_ENTRY = 8,       /**< Accepted at once when one entry has confirmed. */
  BT_PUBLISH_KEEP_CONFIRMED = 16, /**< Confirmations of a replaced process still count. */
};

typedef struct bt_publish_settings
{
  int64_t retry_ms;        /**< Delay before a store call is repeated, and between pushes to an
                                entry that has not confirmed. */
  int64_t write_limit_ms;  /**< Time limit for reads and the commit, from the start. */
  int64_t spread_limit_ms; /**< Time limit for the entries to confirm, from the read-back. */
  int64_t isolation_ms;    /**< The entries' isolation limit. */
  uint32_t guards_off;     /**< 0, except in tests. */
} bt_publish_settings_t;

bt_publish_settings_t bt_get_default_publish_settings (void);

/** Base revision when the operator gave none: the revision found by the first read is the base. */
#define BT_BASE_CURRENT (-1)

/** One document that the operator wants to put in force. */
typedef struct bt_publish_document
{
  const char *name;
  const char *data;
  size_t data_bytes;
  bool deleted;
  int64_t base_revision; /**< Revision that the edit is based on; a newer one in the store is a
                            conflict. */
} bt_publish_document_t;

/** Result of a publish. */
typedef enum bt_publish_result
{
  BT_PUBLISH_GOING = 0,
  BT_PUBLISH_ACCEPTED,    /**< In force on all entries that admit requests; it will not be lost. */
  BT_PUBLISH_WRITTEN,     /**< Stored, but too few entries confirmed it in time. */
  BT_PUBLISH_CONFLICT,    /**< Another change wrote the same document; nothing was written. */
  BT_PUBLISH_NOT_WRITTEN, /**< It is certain that nothing was written. */
  BT_PUBLISH_UNKNOWN,     /**< It may have been written; check `status` for the change id. */
} bt_publish_result_t;

const char *bt_name_publish_result (bt_publish_result_t result);

/** A document that another change wrote after the base revision. */
typedef struct bt_publish_conflict
{
  char name[BT_NAME_BYTES];
  int64_t base_revision;
  int64_t revision;             /**< Revision now in the store; 0: it does not exist. */
  char change[BT_CHANGE_BYTES]; /**< The change that wrote it. */
} bt_publish_conflict_t;

/** State of one entry instance. */
typedef struct bt_publish_entry
{
  char instance[BT_NAME_BYTES];
  bool in_force;    /**< It confirmed all documents of the change. */
  int64_t revision; /**< Lowest revision that it reported; 0 while it has not answered. */
} bt_publish_entry_t;

typedef enum bt_publish_action_kind
{
  BT_PUBLISH_READ = 0, /**< Read the named documents from the store. */
  BT_PUBLISH_COMMIT,   /**< Commit the comparisons and the documents in one transaction. */
  BT_PUBLISH_PUSH,     /**< Push the documents to the entry and ask which revisions are in force.
                        */
  BT_PUBLISH_FINISH,   /**< The result is final; no further action follows. */
} bt_publish_action_kind_t;

typedef struct bt_publish_action
{
  bt_publish_action_kind_t kind;
  char instance[BT_NAME_BYTES];
} bt_publish_action_t;

typedef struct bt_publish_actions
{
  bt_publish_action_t *items;
  int32_t count;
  int32_t capacity;
} bt_publish_actions_t;

void bt_clear_publish_actions (bt_context_t *ctx, bt_publish_actions_t *actions);

typedef struct bt_publisher bt_publisher_t;

/** Prepares a change. @p change is its id: 32 random hexadecimal digits, never used before. */
bt_publisher_t *bt_new_publisher (bt_context_t *ctx,
                                  const bt_publish_settings_t *settings,
                                  const char *change,
                                  const bt_publish_document_t *documents,
                                  int32_t count);

/** NULL is accepted. */
void bt_drop_publisher (bt_context_t *ctx, bt_publisher_t *publisher);

/** Sets the live entry instances to push the change to; may be called again. */
void bt_set_publish_entries (bt_context_t *ctx,
                             bt_publisher_t *publisher,
                             const char *const *instances,
                             int32_t count);

void bt_start_publisher (bt_context_t *ctx,
                         bt_publisher_t *publisher,
                         int64_t now_ms,
                         bt_publish_actions_t *actions);

/** Handles a successful read; @p found holds the named documents that exist. */
void bt_handle_publish_read (bt_context_t *ctx,
                             bt_publisher_t *publisher,
                             const bt_document_list_t *found,
                             int64_t now_ms,
                             bt_publish_actions_t *actions);

/** Handles the answer to the transaction; @p revision is that of its writes if it succeeded. */
void bt_handle_publish_commit (bt_context_t *ctx,
                               bt_publisher_t *publisher,
                               bool succeeded,
                               int64_t revision,
                               int64_t now_ms,
                               bt_publish_actions_t *actions);

/** Handles a read or a transaction that failed; @p unknown: it may have taken effect. */
void bt_handle_publish_failure (bt_context_t *ctx,
                                bt_publisher_t *publisher,
                                bool unknown,
                                int64_t now_ms,
                                bt_publish_actions_t *actions);

/** Sets the incarnation of an entry that is linked now; 0: none. Confirmations of an earlier
 * incarnation no longer count. */
void
bt_set_publish_incarnation (bt_publisher_t *publisher, const char *instance, uint64_t incarnation);

/** Handles an entry's report of the revision in force of one document; 0 if it has none. */
void bt_handle_publish_in_force (bt_context_t *ctx,
                                 bt_publisher_t *publisher,
                                 const char *instance,
                                 const char *name,
                                 int64_t revision,
                                 int64_t now_ms,
                                 bt_publish_actions_t *actions);

void bt_tick_publisher (bt_context_t *ctx,
                        bt_publisher_t *publisher,
                        int64_t now_ms,
                        bt_publish_actions_t *actions);

/** The names of the documents to read. */
int32_t bt_count_publish_documents (const bt_publisher_t *publisher);
const char *bt_get_publish_name (const bt_publisher_t *publisher, int32_t index);

/** The documents to commit, which are those that differ from the base, and the revision to compare
 * each with; -1: no comparison. The publisher owns the list. After the commit it holds the
 * documents to push. */
const bt_document_list_t *bt_get_publish_changes (const bt_publisher_t *publisher);
int64_t bt_get_publish_compare_revision (const bt_publisher_t *publisher, int32_t index);

bt_publish_result_t bt_get_publish_result (const bt_publisher_t *publisher);
int64_t bt_get_publish_revision (const bt_publisher_t *publisher);
int32_t bt_count_publish_conflicts (const bt_publisher_t *publisher);
const bt_publish_conflict_t *bt_get_publish_conflict (const bt_publisher_t *publisher,
                                                      int32_t index);
int32_t bt_count_publish_entries (const bt_publisher_t *publisher);
const bt_publish_entry_t *bt_get_publish_entry (const bt_publisher_t *publisher, int32_t index);

#endif
