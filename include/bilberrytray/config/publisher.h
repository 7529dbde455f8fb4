#ifndef BILBERRYTRAY_CONFIG_PUBLISHER_H
#define BILBERRYTRAY_CONFIG_PUBLISHER_H

/** @file
 * An operator's change, from reading what it builds on to `accepted`.
 *
 * Read the base; commit all documents in one transaction that compares their revisions; read back;
 * hand the documents to the entry instances. Accepted is said once every entry has them in force,
 * or once more than half have and the isolation limit has passed since, so that one which did not
 * answer either learnt of the change from a peer or no longer admits.
 *
 * Pure: the caller gives events with the time and carries out the actions that are appended.
 */

#include "bilberrytray/config/document.h"

/** Bits that take guards out, for tests that show what each guard is for. */
enum
{
  BT_PUBLISH_NO_READ_BACK = 1,    /**< A lost answer counts as a failure. */
  BT_PUBLISH_NO_COMPARE = 2,      /**< Writes whatever was changed meanwhile. */
  BT_PUBLISH_NO_PUSH = 4,         /**< Accepted as soon as the service has it. */
  BT_PUBLISH_ANY_ENTRY = 8,       /**< Accepted with one entry, at once. */
  BT_PUBLISH_KEEP_CONFIRMED = 16, /**< What a replaced entry confirmed still counts. */
};

typedef struct bt_publish_settings
{
  int64_t retry_ms;        /**< Between attempts, and between hand-overs to one that is silent. */
  int64_t write_limit_ms;  /**< Limit for the service, from the start. */
  int64_t spread_limit_ms; /**< Limit for the entries, from the read-back. */
  int64_t isolation_ms;    /**< The entries' isolation limit. */
  uint32_t guards_off;     /**< 0, except in tests. */
} bt_publish_settings_t;

bt_publish_settings_t bt_get_default_publish_settings (void);

/** Base revision of a document that was read, not given by the operator. */
#define BT_BASE_CURRENT (-1)

/** One document that the operator wants in force. */
typedef struct bt_publish_document
{
  const char *name;
  const char *data;
  size_t data_bytes;
  bool deleted;
  int64_t base_revision; /**< Newest that the edit has seen; one that is newer is a conflict. */
} bt_publish_document_t;

/** How a publish ended. */
typedef enum bt_publish_result
{
  BT_PUBLISH_GOING = 0,
  BT_PUBLISH_ACCEPTED,    /**< In force, or about to be, everywhere; it will not be lost. */
  BT_PUBLISH_WRITTEN,     /**< The service has it, but too few entries confirmed it in time. */
  BT_PUBLISH_CONFLICT,    /**< Someone else changed the same; nothing was written. */
  BT_PUBLISH_NOT_WRITTEN, /**< Nothing was written, for certain. */
  BT_PUBLISH_UNKNOWN,     /**< It may have been written; ask `status` for the change id. */
} bt_publish_result_t;

const char *bt_name_publish_result (bt_publish_result_t result);

/** A document that someone else changed meanwhile. */
typedef struct bt_publish_conflict
{
  char name[BT_NAME_BYTES];
  int64_t base_revision;
  int64_t revision;             /**< What is there now; 0: it does not exist. */
  char change[BT_CHANGE_BYTES]; /**< The change that wrote it. */
} bt_publish_conflict_t;

/** What is known of one entry instance. */
typedef struct bt_publish_entry
{
  char instance[BT_NAME_BYTES];
  bool in_force;    /**< It confirmed all documents of the change. */
  int64_t revision; /**< Lowest revision that it named, 0 while it has not answered. */
} bt_publish_entry_t;

typedef enum bt_publish_action_kind
{
  BT_PUBLISH_READ = 0,  /**< Read the named documents plainly. */
  BT_PUBLISH_COMMIT,    /**< Commit compares and documents in one transaction. */
  BT_PUBLISH_HAND_OVER, /**< Push the documents to the entry, and ask what is in force. */
  BT_PUBLISH_FINISH,    /**< The result is there; nothing more happens. */
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

/** Prepares a change. @p change is a fresh random id of 32 hexadecimal digits. */
bt_publisher_t *bt_new_publisher (bt_context_t *ctx,
                                  const bt_publish_settings_t *settings,
                                  const char *change,
                                  const bt_publish_document_t *documents,
                                  int32_t count);

/** NULL is accepted. */
void bt_drop_publisher (bt_context_t *ctx, bt_publisher_t *publisher);

/** Sets the live entry instances that the change is handed to; may come again. */
void bt_set_publish_entries (bt_context_t *ctx,
                             bt_publisher_t *publisher,
                             const char *const *instances,
                             int32_t count);

void bt_start_publisher (bt_context_t *ctx,
                         bt_publisher_t *publisher,
                         int64_t now_ms,
                         bt_publish_actions_t *actions);

/** A plain read of the named documents succeeded: those that exist. */
void bt_take_publish_read (bt_context_t *ctx,
                           bt_publisher_t *publisher,
                           const bt_document_list_t *found,
                           int64_t now_ms,
                           bt_publish_actions_t *actions);

/** The transaction was answered, with the revision of its writes if it succeeded. */
void bt_take_publish_commit (bt_context_t *ctx,
                             bt_publisher_t *publisher,
                             bool succeeded,
                             int64_t revision,
                             int64_t now_ms,
                             bt_publish_actions_t *actions);

/** The read or the transaction failed; @p unknown: it may have taken effect. */
void bt_take_publish_failure (bt_context_t *ctx,
                              bt_publisher_t *publisher,
                              bool unknown,
                              int64_t now_ms,
                              bt_publish_actions_t *actions);

/** Which start of an entry is linked now; 0: none. What an earlier one confirmed counts no more. */
void
bt_set_publish_incarnation (bt_publisher_t *publisher, const char *instance, uint64_t incarnation);

/** An entry told the revision in force of one document; 0 if it has none. */
void bt_take_publish_in_force (bt_context_t *ctx,
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

/** The documents to read: their names, in any revision. */
int32_t bt_count_publish_documents (const bt_publisher_t *publisher);
const char *bt_get_publish_name (const bt_publisher_t *publisher, int32_t index);

/** What to commit: the documents that differ from the base, and the revision to compare each with;
 * -1: none. The list belongs to the publisher. Once written it is what to hand over. */
const bt_document_list_t *bt_get_publish_changes (const bt_publisher_t *publisher);
int64_t bt_get_publish_compare (const bt_publisher_t *publisher, int32_t index);

bt_publish_result_t bt_get_publish_result (const bt_publisher_t *publisher);
int64_t bt_get_publish_revision (const bt_publisher_t *publisher);
int32_t bt_count_publish_conflicts (const bt_publisher_t *publisher);
const bt_publish_conflict_t *bt_get_publish_conflict (const bt_publisher_t *publisher,
                                                      int32_t index);
int32_t bt_count_publish_entries (const bt_publisher_t *publisher);
const bt_publish_entry_t *bt_get_publish_entry (const bt_publisher_t *publisher, int32_t index);

#endif
