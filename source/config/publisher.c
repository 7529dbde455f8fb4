#include "bilberrytray/config/publisher.h"

#include <string.h>

enum
{
  INITIAL_CAPACITY = 8,
};

#define NEVER_MS INT64_MIN

typedef enum step
{
  STEP_READ_BASE = 0,
  STEP_COMMIT,
  STEP_READ_BACK,
  STEP_PUSH,
  STEP_DONE,
} step_t;

/* The known state of the transaction. */
typedef enum commit_state
{
  COMMIT_NOT_SENT = 0,
  COMMIT_UNKNOWN, /**< Its answer was lost; it may have taken effect. */
  COMMIT_REFUSED, /**< A comparison failed. */
  COMMIT_SUCCEEDED,
} commit_state_t;

/* One document that the operator wants to put in force. */
typedef struct wanted
{
  bt_document_t *document; /**< Revision 0. */
  int64_t base_revision;   /**< Given by the operator, or BT_BASE_CURRENT. */
} wanted_t;

typedef struct entry
{
  bt_publish_entry_t status;
  uint64_t incarnation;
  int64_t *revisions;   /**< Revisions in force there, one for each change. */
  int64_t next_push_ms; /**< Time of the next push. */
} entry_t;

struct bt_publisher
{
  bt_publish_settings_t settings;
  char change[BT_CHANGE_BYTES];
  wanted_t *wanted;
  int32_t wanted_count;
  bt_document_list_t changes;
  int64_t *compare_revisions; /**< The revision that each change replaces. */
  step_t step;
  commit_state_t commit;
  bool answer_lost;   /**< The answer to a transaction was lost at least once. */
  bool retry_pending; /**< No call is in flight; the step is repeated at retry_ms. */
  int64_t retry_ms;
  int64_t write_deadline_ms;
  int64_t push_deadline_ms;
  int64_t majority_since_ms; /**< When more than half got the change; NEVER_MS: not yet. */
  int64_t revision;
  bt_publish_result_t result;
  bt_publish_conflict_t *conflicts;
  int32_t conflict_count;
  entry_t *entries;
  int32_t entry_count;
  bool entries_known;
};

bt_publish_settings_t
bt_get_default_publish_settings (void)
{
  bt_publish_settings_t settings = {
    .retry_ms = 500, .write_limit_ms = 15000, .spread_limit_ms = 30000, .isolation_ms = 10000
  };

  return settings;
}

const char *
bt_name_publish_result (bt_publish_result_t result)
{
  static const char *const names[] = { "going",    "accepted",    "written",
                                       "conflict", "not-written", "unknown" };

  return names[result];
}

void
bt_clear_publish_actions (bt_context_t *ctx, bt_publish_actions_t *actions)
{
  bt_free (ctx, actions->items);
  memset (actions, 0, sizeof *actions);
}

static void
add_action (bt_context_t *ctx,
            bt_publish_actions_t *actions,
            bt_publish_action_kind_t kind,
            const char *instance)
{
  bt_publish_action_t *action;

  if (actions->count == actions->capacity)
    {
      actions->capacity = actions->capacity * 2 + INITIAL_CAPACITY;
      actions->items =
          bt_realloc (ctx, actions->items, (size_t)actions->capacity, sizeof *actions->items);
    }
  action = &actions->items[actions->count++];
  action->kind = kind;
  bt_copy_name (action->instance, instance);
}

bt_publisher_t *
bt_new_publisher (bt_context_t *ctx,
                  const bt_publish_settings_t *settings,
                  const char *change,
                  const bt_publish_document_t *documents,
                  int32_t count)
{
  bt_publisher_t *publisher = bt_calloc (ctx, 1, sizeof *publisher);

  publisher->settings = *settings;
  strncpy (publisher->change, change, BT_CHANGE_BYTES - 1);
  publisher->wanted = bt_calloc (ctx, (size_t)count, sizeof *publisher->wanted);
  publisher->wanted_count = count;
  publisher->compare_revisions = bt_calloc (ctx, (size_t)count, sizeof (int64_t));
  publisher->conflicts = bt_calloc (ctx, (size_t)count, sizeof *publisher->conflicts);
  publisher->majority_since_ms = NEVER_MS;
  for (int32_t i = 0; i < count; i++)
    {
      bt_document_fields_t fields = { .name = documents[i].name,
                                      .change = change,
                                      .deleted = documents[i].deleted,
                                      .data = documents[i].data,
                                      .data_bytes = documents[i].data_bytes };

      publisher->wanted[i].document = bt_new_document (ctx, &fields);
      publisher->wanted[i].base_revision = documents[i].base_revision;
    }
  return publisher;
}

void
bt_drop_publisher (bt_context_t *ctx, bt_publisher_t *publisher)
{
  if (publisher == NULL)
    return;
  for (int32_t i = 0; i < publisher->wanted_count; i++)
    bt_drop_document (ctx, publisher->wanted[i].document);
  for (int32_t i = 0; i < publisher->entry_count; i++)
    bt_free (ctx, publisher->entries[i].revisions);
  bt_clear_documents (ctx, &publisher->changes);
  bt_free (ctx, publisher->wanted);
  bt_free (ctx, publisher->compare_revisions);
  bt_free (ctx, publisher->conflicts);
  bt_free (ctx, publisher->entries);
  bt_free (ctx, publisher);
}

static entry_t *
find_entry (const bt_publisher_t *publisher, const char *instance)
{
  for (int32_t i = 0; i < publisher->entry_count; i++)
    if (strcmp (publisher->entries[i].status.instance, instance) == 0)
      return &publisher->entries[i];
  return NULL;
}

void
bt_set_publish_entries (bt_context_t *ctx,
                        bt_publisher_t *publisher,
                        const char *const *instances,
                        int32_t count)
{
  entry_t *entries = bt_calloc (ctx, (size_t)count, sizeof *entries);

  for (int32_t i = 0; i < count; i++)
    {
      entry_t *old = find_entry (publisher, instances[i]);

      if (old != NULL)
        {
          entries[i] = *old;
          old->revisions = NULL;
          continue;
        }
      bt_copy_name (entries[i].status.instance, instances[i]);
      entries[i].next_push_ms = NEVER_MS;
      entries[i].revisions = bt_calloc (ctx, (size_t)publisher->wanted_count, sizeof (int64_t));
    }
  for (int32_t i = 0; i < publisher->entry_count; i++)
    bt_free (ctx, publisher->entries[i].revisions);
  bt_free (ctx, publisher->entries);
  publisher->entries = entries;
  publisher->entry_count = count;
  publisher->entries_known = true;
}

static void
finish (bt_context_t *ctx,
        bt_publisher_t *publisher,
        bt_publish_result_t result,
        bt_publish_actions_t *actions)
{
  publisher->step = STEP_DONE;
  publisher->result = result;
  add_action (ctx, actions, BT_PUBLISH_FINISH, "");
}

/* The result of a publish that stops because the store does not answer in time. */
static bt_publish_result_t
get_result_without_store (const bt_publisher_t *publisher)
{
  if (publisher->commit == COMMIT_SUCCEEDED)
    return BT_PUBLISH_WRITTEN;
  return publisher->answer_lost ? BT_PUBLISH_UNKNOWN : BT_PUBLISH_NOT_WRITTEN;
}

static void
begin_step (bt_context_t *ctx,
            bt_publisher_t *publisher,
            step_t step,
            bt_publish_actions_t *actions)
{
  publisher->step = step;
  publisher->retry_pending = false;
  add_action (ctx, actions, step == STEP_COMMIT ? BT_PUBLISH_COMMIT : BT_PUBLISH_READ, "");
}

static void
schedule_step (bt_publisher_t *publisher, step_t step, int64_t now_ms)
{
  publisher->step = step;
  publisher->retry_pending = true;
  publisher->retry_ms = now_ms + publisher->settings.retry_ms;
}

void
bt_start_publisher (bt_context_t *ctx,
                    bt_publisher_t *publisher,
                    int64_t now_ms,
                    bt_publish_actions_t *actions)
{
  publisher->write_deadline_ms = now_ms + publisher->settings.write_limit_ms;
  begin_step (ctx, publisher, STEP_READ_BASE, actions);
}

static void
check_acceptance (bt_context_t *ctx,
                  bt_publisher_t *publisher,
                  int64_t now_ms,
                  bt_publish_actions_t *actions)
{
  int32_t count = 0;
  bool accepted;

  for (int32_t i = 0; i < publisher->entry_count; i++)
    count += publisher->entries[i].status.in_force ? 1 : 0;
  if (2 * count <= publisher->entry_count)
    publisher->majority_since_ms = NEVER_MS;
  else if (publisher->majority_since_ms == NEVER_MS)
    publisher->majority_since_ms = now_ms;
  accepted = count > 0 && count == publisher->entry_count;
  /* An entry that does not answer may be alive, partitioned and admitting requests under the old
   * rules. More than half of the entries have the change, so it either receives the change from one
   * of them or is isolated after the limit. */
  if (publisher->majority_since_ms != NEVER_MS
      && now_ms - publisher->majority_since_ms >= publisher->settings.isolation_ms)
    accepted = true;
  if ((publisher->settings.guards_off & BT_PUBLISH_ANY_ENTRY) != 0 && count > 0)
    accepted = true;
  if ((publisher->settings.guards_off & BT_PUBLISH_NO_PUSH) != 0)
    accepted = true;
  if (accepted)
    finish (ctx, publisher, BT_PUBLISH_ACCEPTED, actions);
  else if (now_ms >= publisher->push_deadline_ms
           || (publisher->entries_known && publisher->entry_count == 0))
    finish (ctx, publisher, BT_PUBLISH_WRITTEN, actions);
}

static void
push_to_entries (bt_context_t *ctx,
                 bt_publisher_t *publisher,
                 int64_t now_ms,
                 bt_publish_actions_t *actions)
{
  bool skip = (publisher->settings.guards_off & BT_PUBLISH_NO_PUSH) != 0;

  for (int32_t i = 0; i < publisher->entry_count && !skip; i++)
    {
      entry_t *entry = &publisher->entries[i];

      if (entry->status.in_force || now_ms < entry->next_push_ms)
        continue;
      entry->next_push_ms = now_ms + publisher->settings.retry_ms;
      add_action (ctx, actions, BT_PUBLISH_PUSH, entry->status.instance);
    }
  check_acceptance (ctx, publisher, now_ms, actions);
}

/* Starts the push with the documents as they are in the store, at the committed revision or a later
 * one. */
static void
begin_push (bt_context_t *ctx,
            bt_publisher_t *publisher,
            const bt_document_list_t *found,
            int64_t now_ms,
            bt_publish_actions_t *actions)
{
  bt_document_list_t documents = { 0 };

  for (int32_t i = 0; i < publisher->changes.count; i++)
    {
      bt_document_t *document = bt_find_listed_document (found, publisher->changes.items[i]->name);

      bt_add_document (ctx, &documents, document);
      if (document->revision > publisher->revision)
        publisher->revision = document->revision;
    }
  bt_clear_documents (ctx, &publisher->changes);
  publisher->changes = documents;
  publisher->step = STEP_PUSH;
  publisher->retry_pending = false;
  publisher->push_deadline_ms = now_ms + publisher->settings.spread_limit_ms;
  push_to_entries (ctx, publisher, now_ms, actions);
}

static void
add_conflict (bt_publisher_t *publisher,
              const char *name,
              int64_t base_revision,
              const bt_document_t *found)
{
  bt_publish_conflict_t *conflict = &publisher->conflicts[publisher->conflict_count++];

  bt_copy_name (conflict->name, name);
  conflict->base_revision = base_revision;
  if (found == NULL)
    return;
  conflict->revision = found->revision;
  memcpy (conflict->change, found->change, BT_CHANGE_BYTES);
}

static bool
same_content (const bt_document_t *left, const bt_document_t *right)
{
  return left->deleted == right->deleted && left->data_bytes == right->data_bytes
         && memcmp (left->data, right->data, left->data_bytes) == 0;
}

/* Adds a document to the changes, unless the store already has the same content. */
static void
add_change (bt_context_t *ctx,
            bt_publisher_t *publisher,
            const wanted_t *wanted,
            const bt_document_t *found)
{
  const bt_document_t *document = wanted->document;
  bt_document_fields_t fields = { .name = document->name,
                                  .change = publisher->change,
                                  .after = found == NULL ? "" : found->change,
                                  .deleted = document->deleted,
                                  .data = document->data,
                                  .data_bytes = document->data_bytes };
  bt_document_t *changed;

  if (found == NULL ? document->deleted : same_content (found, document))
    return;
  publisher->compare_revisions[publisher->changes.count] = found == NULL ? 0 : found->revision;
  changed = bt_new_document (ctx, &fields);
  bt_add_document (ctx, &publisher->changes, changed);
  bt_drop_document (ctx, changed);
}

/* Pushes the documents although nothing differs from the store, so that `accepted` still means that
 * they are in force on the entries. */
static void
push_unchanged (bt_context_t *ctx,
                bt_publisher_t *publisher,
                const bt_document_list_t *found,
                int64_t now_ms,
                bt_publish_actions_t *actions)
{
  for (int32_t i = 0; i < found->count; i++)
    bt_add_document (ctx, &publisher->changes, found->items[i]);
  if (found->count == 0)
    {
      finish (ctx, publisher, BT_PUBLISH_ACCEPTED, actions);
      return;
    }
  begin_push (ctx, publisher, found, now_ms, actions);
}

static void
handle_base_read (bt_context_t *ctx,
                  bt_publisher_t *publisher,
                  const bt_document_list_t *found,
                  int64_t now_ms,
                  bt_publish_actions_t *actions)
{
  for (int32_t i = 0; i < publisher->wanted_count; i++)
    {
      const wanted_t *wanted = &publisher->wanted[i];
      const bt_document_t *document = bt_find_listed_document (found, wanted->document->name);
      int64_t revision = document == NULL ? 0 : document->revision;

      /* Two operators edit the same revision. The second operator's file lacks the first one's
       * edit, and writing it would silently undo that edit. */
      if (wanted->base_revision != BT_BASE_CURRENT && revision > wanted->base_revision
          && (publisher->settings.guards_off & BT_PUBLISH_NO_COMPARE) == 0)
        add_conflict (publisher, wanted->document->name, wanted->base_revision, document);
      add_change (ctx, publisher, wanted, document);
    }
  if (publisher->conflict_count > 0)
    finish (ctx, publisher, BT_PUBLISH_CONFLICT, actions);
  else if (publisher->changes.count == 0)
    push_unchanged (ctx, publisher, found, now_ms, actions);
  else
    begin_step (ctx, publisher, STEP_COMMIT, actions);
}

/* What a read-back shows about the transaction, which wrote either all documents or none. */
typedef struct read_back
{
  bool ours; /**< A document carries the id of this change, or directly replaced one that did. */
  bool all_at_base; /**< No document has changed since the base was read. */
  bool all_exist;
} read_back_t;

static read_back_t
classify_read_back (const bt_publisher_t *publisher, const bt_document_list_t *found)
{
  read_back_t outcome = { .all_at_base = true, .all_exist = true };

  for (int32_t i = 0; i < publisher->changes.count; i++)
    {
      const bt_document_t *document =
          bt_find_listed_document (found, publisher->changes.items[i]->name);
      int64_t revision = document == NULL ? 0 : document->revision;

      if (revision != publisher->compare_revisions[i])
        outcome.all_at_base = false;
      if (document == NULL)
        outcome.all_exist = false;
      else if (strcmp (document->change, publisher->change) == 0
               || strcmp (document->after, publisher->change) == 0)
        outcome.ours = true;
    }
  return outcome;
}

static void
report_conflicts (bt_context_t *ctx,
                  bt_publisher_t *publisher,
                  const bt_document_list_t *found,
                  bt_publish_actions_t *actions)
{
  for (int32_t i = 0; i < publisher->changes.count; i++)
    {
      const char *name = publisher->changes.items[i]->name;
      const bt_document_t *document = bt_find_listed_document (found, name);

      if ((document == NULL ? 0 : document->revision) != publisher->compare_revisions[i])
        add_conflict (publisher, name, publisher->compare_revisions[i], document);
    }
  /* If an answer was lost, this change may have been written and replaced more than once since. */
  finish (ctx, publisher, publisher->answer_lost ? BT_PUBLISH_UNKNOWN : BT_PUBLISH_CONFLICT,
          actions);
}

/* A transaction whose answer was lost may have taken effect. If it were reported as failed, the
 * operator would repeat it over a newer edit, or believe that the old rules are still in force. The
 * change id in the stored value shows whether it was written. If it was not, the same transaction
 * is sent again: it compares the same revisions, so it cannot take effect twice. */
static void
handle_read_back (bt_context_t *ctx,
                  bt_publisher_t *publisher,
                  const bt_document_list_t *found,
                  int64_t now_ms,
                  bt_publish_actions_t *actions)
{
  read_back_t outcome = classify_read_back (publisher, found);

  if (outcome.all_exist
      && (outcome.ours || (publisher->commit == COMMIT_SUCCEEDED && !outcome.all_at_base)))
    begin_push (ctx, publisher, found, now_ms, actions);
  else if (!outcome.all_at_base && publisher->commit != COMMIT_SUCCEEDED)
    report_conflicts (ctx, publisher, found, actions);
  else if (publisher->commit == COMMIT_UNKNOWN)
    begin_step (ctx, publisher, STEP_COMMIT, actions);
  else
    /* The read came from a lagging replica and is older than the transaction. */
    schedule_step (publisher, STEP_READ_BACK, now_ms);
}

void
bt_handle_publish_read (bt_context_t *ctx,
                        bt_publisher_t *publisher,
                        const bt_document_list_t *found,
                        int64_t now_ms,
                        bt_publish_actions_t *actions)
{
  if (publisher->retry_pending)
    return;
  if (publisher->step == STEP_READ_BASE)
    handle_base_read (ctx, publisher, found, now_ms, actions);
  else if (publisher->step == STEP_READ_BACK)
    handle_read_back (ctx, publisher, found, now_ms, actions);
}

void
bt_handle_publish_commit (bt_context_t *ctx,
                          bt_publisher_t *publisher,
                          bool succeeded,
                          int64_t revision,
                          int64_t now_ms,
                          bt_publish_actions_t *actions)
{
  if (publisher->step != STEP_COMMIT || publisher->retry_pending)
    return;
  publisher->commit = succeeded ? COMMIT_SUCCEEDED : COMMIT_REFUSED;
  if (succeeded)
    publisher->revision = revision;
  begin_step (ctx, publisher, STEP_READ_BACK, actions);
}

void
bt_handle_publish_failure (bt_context_t *ctx,
                           bt_publisher_t *publisher,
                           bool unknown,
                           int64_t now_ms,
                           bt_publish_actions_t *actions)
{
  bool committing = publisher->step == STEP_COMMIT;

  if (publisher->retry_pending || publisher->step >= STEP_PUSH)
    return;
  if (committing && unknown)
    {
      publisher->commit = COMMIT_UNKNOWN;
      publisher->answer_lost = true;
    }
  if (committing && unknown && (publisher->settings.guards_off & BT_PUBLISH_NO_READ_BACK) != 0)
    {
      finish (ctx, publisher, BT_PUBLISH_NOT_WRITTEN, actions);
      return;
    }
  if (now_ms >= publisher->write_deadline_ms)
    finish (ctx, publisher, get_result_without_store (publisher), actions);
  else
    schedule_step (publisher, committing && unknown ? STEP_READ_BACK : publisher->step, now_ms);
}

void
bt_set_publish_incarnation (bt_publisher_t *publisher, const char *instance, uint64_t incarnation)
{
  entry_t *entry = find_entry (publisher, instance);

  if (entry == NULL || entry->incarnation == incarnation)
    return;
  entry->incarnation = incarnation;
  /* An entry may confirm and be replaced before the others confirm. The new process may have
   * started from peers that lack the change; counting it would report a majority that does not
   * exist. */
  if ((publisher->settings.guards_off & BT_PUBLISH_KEEP_CONFIRMED) != 0)
    return;
  entry->status.in_force = false;
  entry->next_push_ms = NEVER_MS;
  memset (entry->revisions, 0, (size_t)publisher->wanted_count * sizeof (int64_t));
}

void
bt_handle_publish_in_force (bt_context_t *ctx,
                            bt_publisher_t *publisher,
                            const char *instance,
                            const char *name,
                            int64_t revision,
                            int64_t now_ms,
                            bt_publish_actions_t *actions)
{
  entry_t *entry = find_entry (publisher, instance);

  if (entry == NULL || publisher->step != STEP_PUSH)
    return;
  entry->status.in_force = true;
  entry->status.revision = INT64_MAX;
  for (int32_t i = 0; i < publisher->changes.count; i++)
    {
      if (strcmp (publisher->changes.items[i]->name, name) == 0)
        entry->revisions[i] = revision;
      if (entry->revisions[i] < publisher->changes.items[i]->revision)
        entry->status.in_force = false;
      if (entry->revisions[i] < entry->status.revision)
        entry->status.revision = entry->revisions[i];
    }
  check_acceptance (ctx, publisher, now_ms, actions);
}

void
bt_tick_publisher (bt_context_t *ctx,
                   bt_publisher_t *publisher,
                   int64_t now_ms,
                   bt_publish_actions_t *actions)
{
  if (publisher->step == STEP_PUSH)
    push_to_entries (ctx, publisher, now_ms, actions);
  else if (publisher->retry_pending && publisher->step != STEP_DONE
           && now_ms >= publisher->retry_ms)
    {
      if (now_ms >= publisher->write_deadline_ms)
        finish (ctx, publisher, get_result_without_store (publisher), actions);
      else
        begin_step (ctx, publisher, publisher->step, actions);
    }
}

int32_t
bt_count_publish_documents (const bt_publisher_t *publisher)
{
  return publisher->wanted_count;
}

const char *
bt_get_publish_name (const bt_publisher_t *publisher, int32_t index)
{
  return publisher->wanted[index].document->name;
}

const bt_document_list_t *
bt_get_publish_changes (const bt_publisher_t *publisher)
{
  return &publisher->changes;
}

int64_t
bt_get_publish_compare_revision (const bt_publisher_t *publisher, int32_t index)
{
  if ((publisher->settings.guards_off & BT_PUBLISH_NO_COMPARE) != 0)
    return -1;
  return publisher->compare_revisions[index];
}

bt_publish_result_t
bt_get_publish_result (const bt_publisher_t *publisher)
{
  return publisher->result;
}

int64_t
bt_get_publish_revision (const bt_publisher_t *publisher)
{
  return publisher->revision;
}

int32_t
bt_count_publish_conflicts (const bt_publisher_t *publisher)
{
  return publisher->conflict_count;
}

const bt_publish_conflict_t *
bt_get_publish_conflict (const bt_publisher_t *publisher, int32_t index)
{
  return &publisher->conflicts[index];
}

int32_t
bt_count_publish_entries (const bt_publisher_t *publisher)
{
  return publisher->entry_count;
}

const bt_publish_entry_t *
bt_get_publish_entry (const bt_publisher_t *publisher, int32_t index)
{
  return &publisher->entries[index].status;
}
