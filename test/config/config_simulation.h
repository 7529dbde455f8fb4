#ifndef TEST_CONFIG_SIMULATION_H
#define TEST_CONFIG_SIMULATION_H

/** @file
 * Deterministic simulation of entry instances, operators and a key-value store around the modules
 * under test, in one thread with simulated time. Messages are delayed, lost and duplicated as a
 * test or a seed decides. After each step, the guarantees to operators are checked.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/config/config_sync.h"
#include "bilberrytray/config/publisher.h"

enum
{
  SIM_MAX_ENTRIES = 8,
  SIM_OPERATORS = 4,
  SIM_NODES = SIM_MAX_ENTRIES + SIM_OPERATORS,
  SIM_STEP_MS = 50,
  SIM_HEARTBEAT_MS = 1000,
  SIM_LINK_IDLE_MS = 3000,
  SIM_CALL_TIMEOUT_MS = 3000,
  SIM_MAX_STALE_MS = 20000, /**< Longest time to admit under rules older than an accepted change. */
  SIM_TAG_BYTES = 16,
  SIM_RULES_BYTES = 4096,
  SIM_MAX_RESULTS = 512,
  SIM_MAX_STEPS = 10000,
};

typedef enum message_kind
{
  MESSAGE_HEARTBEAT = 0,
  MESSAGE_PUSH,
  MESSAGE_PULL,
  MESSAGE_IN_FORCE,
  MESSAGE_READ,  /**< Answer of the store to a read by an entry. */
  MESSAGE_WATCH, /**< End of a watch. */
  MESSAGE_FAIL,  /**< The store did not answer an entry. */
  MESSAGE_OPERATOR_READ,
  MESSAGE_COMMIT, /**< A transaction in flight to the store. */
  MESSAGE_COMMITTED,
  MESSAGE_OPERATOR_FAIL,
} message_kind_t;

typedef struct message
{
  message_kind_t kind;
  int64_t due_ms;
  int32_t from;
  int32_t to;
  uint64_t from_incarnation;
  uint64_t to_incarnation; /**< For an operator, the number of its call instead. */
  bt_sync_heartbeat_t heartbeat;
  bt_document_list_t documents;
  int64_t from_revision;
  int64_t revision;
  bool flag;
  uint64_t request;
} message_t;

typedef struct sim_entry
{
  bool alive;
  bool paused;
  bool store_unreachable;
  int64_t clock_offset_ms;
  bt_identity_t identity;
  bt_config_sync_t *sync;
  int64_t last_revision; /**< Of "rules", to check that it never decreases. */
} sim_entry_t;

typedef struct sim_operator
{
  bt_publisher_t *publisher;
  char tag[SIM_TAG_BYTES]; /**< Text that the edit appends. */
  uint64_t call;           /**< Number of the latest store call. */
  bool finished;
} sim_operator_t;

typedef struct sim_result
{
  char tag[SIM_TAG_BYTES];
  int64_t revision;
  int64_t finished_ms;
  bool not_written; /**< The result said that the change was not written. */
} sim_result_t;

typedef struct simulation
{
  bt_context_t *ctx;
  bt_random_t random;
  int64_t now_ms;
  int32_t entry_count;
  bt_sync_settings_t sync_settings;
  bt_publish_settings_t publish_settings;
  sim_entry_t entries[SIM_MAX_ENTRIES];
  sim_operator_t operators[SIM_OPERATORS];
  bool blocked[SIM_NODES][SIM_NODES];
  bool linked[SIM_MAX_ENTRIES][SIM_MAX_ENTRIES];
  int64_t silent_ms[SIM_MAX_ENTRIES][SIM_MAX_ENTRIES];
  int64_t link_delay_ms;
  int64_t read_delay_ms; /**< Added to the store's answers to reads by entries. */
  int32_t loss_percent;  /**< Applies to messages and to store calls. */
  int32_t duplicate_percent;
  bool store_down;
  bool silent_watch;
  bool stale_reads;
  int32_t lose_commit_answers;
  bt_document_t *rules;     /**< The rules in the store. */
  bt_document_t *old_rules; /**< The rules that a stale read returns. */
  int64_t store_revision;
  int64_t old_revision;
  uint64_t store_calls;
  message_t *messages;
  int32_t message_count;
  int32_t message_capacity;
  uint64_t start_count;
  sim_result_t results[SIM_MAX_RESULTS];
  int32_t result_count;
  char violation[128];
} simulation_t;

static inline void
sim_report_violation (simulation_t *sim, const char *what, int32_t node)
{
  if (sim->violation[0] == '\0')
    snprintf (sim->violation, sizeof sim->violation, "%s, node %d at %lld ms", what, (int)node,
              (long long)sim->now_ms);
}

static inline int64_t
sim_get_clock_ms (const simulation_t *sim, int32_t entry)
{
  return sim->now_ms + sim->entries[entry].clock_offset_ms;
}

static inline bool
sim_random_percent (simulation_t *sim, int32_t percent)
{
  return percent > 0 && bt_random_below (&sim->random, 100) < (uint64_t)percent;
}

static inline message_t *
sim_send (simulation_t *sim, message_kind_t kind, int32_t from, int32_t to, int64_t delay_ms)
{
  message_t *message;

  if (sim->message_count == sim->message_capacity)
    {
      sim->message_capacity = sim->message_capacity * 2 + 64;
      sim->messages =
          bt_realloc (sim->ctx, sim->messages, (size_t)sim->message_capacity, sizeof *message);
    }
  message = &sim->messages[sim->message_count++];
  memset (message, 0, sizeof *message);
  message->kind = kind;
  message->from = from;
  message->to = to;
  message->due_ms = sim->now_ms + delay_ms;
  if (from >= 0 && from < SIM_MAX_ENTRIES)
    message->from_incarnation = sim->entries[from].identity.incarnation;
  if (to >= 0 && to < SIM_MAX_ENTRIES)
    message->to_incarnation = sim->entries[to].identity.incarnation;
  return message;
}

static inline int64_t
sim_random_delay_ms (simulation_t *sim)
{
  return sim->link_delay_ms + (int64_t)bt_random_below (&sim->random, 100);
}

/* Counts a store call by an entry; returns false when the call gets no answer. */
static inline bool
sim_call_store_from_entry (simulation_t *sim, int32_t entry)
{
  sim->store_calls++;
  return !sim->store_down && !sim->entries[entry].store_unreachable
         && !sim_random_percent (sim, sim->loss_percent);
}

static inline void
sim_fill_read_answer (simulation_t *sim, message_t *message, int64_t since)
{
  bt_document_t *rules = sim->stale_reads ? sim->old_rules : sim->rules;

  message->revision = sim->stale_reads ? sim->old_revision : sim->store_revision;
  if (rules != NULL && rules->revision > since)
    bt_add_document (sim->ctx, &message->documents, rules);
}

static inline int32_t
sim_find_node (simulation_t *sim, const bt_identity_t *identity)
{
  for (int32_t i = 0; i < sim->entry_count; i++)
    if (bt_same_identity (&sim->entries[i].identity, identity))
      return i;
  if (strncmp (identity->instance, "operator-", 9) == 0)
    return SIM_MAX_ENTRIES + atoi (identity->instance + 9);
  return -1;
}

static inline void
sim_send_action (simulation_t *sim, int32_t from, const bt_sync_action_t *action)
{
  static const message_kind_t kinds[] = { [BT_SYNC_PUSH] = MESSAGE_PUSH,
                                          [BT_SYNC_PULL] = MESSAGE_PULL,
                                          [BT_SYNC_IN_FORCE] = MESSAGE_IN_FORCE };
  int32_t to = sim_find_node (sim, &action->peer);
  int32_t copies = sim_random_percent (sim, sim->duplicate_percent) ? 2 : 1;

  if (to < 0 || sim->blocked[from][to] || sim_random_percent (sim, sim->loss_percent))
    return;
  for (int32_t copy = 0; copy < copies; copy++)
    {
      message_t *message = sim_send (sim, kinds[action->kind], from, to, sim_random_delay_ms (sim));

      message->from_revision = action->kind == BT_SYNC_PULL ? action->since : action->from;
      message->revision = action->to;
      message->flag = action->whole;
      message->request = action->request;
      for (int32_t i = 0; i < action->documents.count; i++)
        bt_add_document (sim->ctx, &message->documents, action->documents.items[i]);
    }
}

static inline void
sim_run_actions (simulation_t *sim, int32_t entry, bt_sync_actions_t *actions)
{
  for (int32_t i = 0; i < actions->count; i++)
    {
      const bt_sync_action_t *action = &actions->items[i];
      bool read = action->kind == BT_SYNC_READ;

      if (action->kind == BT_SYNC_APPLY)
        continue;
      if (!read && action->kind != BT_SYNC_WATCH)
        sim_send_action (sim, entry, action);
      else if (!sim_call_store_from_entry (sim, entry))
        sim_send (sim, MESSAGE_FAIL, -1, entry, 300);
      else if (read)
        sim_fill_read_answer (sim,
                              sim_send (sim, MESSAGE_READ, -1, entry,
                                        sim->read_delay_ms + sim_random_delay_ms (sim) + 1),
                              action->since);
      else
        sim_send (sim, MESSAGE_WATCH, -1, entry, action->wait_ms);
    }
  bt_clear_sync_actions (sim->ctx, actions);
}

static inline void
sim_start_entry (simulation_t *sim, int32_t index)
{
  sim_entry_t *entry = &sim->entries[index];

  snprintf (entry->identity.instance, BT_NAME_BYTES, "entry-%d", (int)index);
  entry->identity.incarnation = ++sim->start_count;
  entry->alive = true;
  entry->paused = false;
  entry->last_revision = 0;
  entry->sync = bt_new_config_sync (sim->ctx, &entry->identity, &sim->sync_settings,
                                    sim->start_count, sim_get_clock_ms (sim, index));
}

static inline void
sim_stop_entry (simulation_t *sim, int32_t index)
{
  sim_entry_t *entry = &sim->entries[index];

  if (!entry->alive)
    return;
  for (int32_t other = 0; other < sim->entry_count; other++)
    {
      if (sim->linked[other][index])
        bt_close_sync_link (sim->ctx, sim->entries[other].sync, &entry->identity);
      sim->linked[other][index] = sim->linked[index][other] = false;
    }
  bt_drop_config_sync (sim->ctx, entry->sync);
  entry->sync = NULL;
  entry->alive = false;
}

static inline void
sim_set_members (simulation_t *sim)
{
  bt_sync_member_t members[SIM_MAX_ENTRIES] = { 0 };

  for (int32_t i = 0; i < sim->entry_count; i++)
    {
      snprintf (members[i].instance, BT_NAME_BYTES, "entry-%d", (int)i);
      snprintf (members[i].failure_domain, BT_NAME_BYTES, "hall-%d", (int)i % 3);
      members[i].is_neighbor = true;
    }
  for (int32_t i = 0; i < sim->entry_count; i++)
    if (sim->entries[i].alive)
      bt_set_sync_members (sim->ctx, sim->entries[i].sync, members, sim->entry_count);
}

static inline void
sim_open (simulation_t *sim,
          int32_t entries,
          uint64_t seed,
          uint32_t sync_guards_off,
          uint32_t publish_guards_off)
{
  memset (sim, 0, sizeof *sim);
  sim->ctx = bt_new_context ();
  bt_seed_random (&sim->random, seed);
  sim->now_ms = 100000;
  sim->entry_count = entries;
  sim->store_revision = sim->old_revision = 10;
  sim->sync_settings = bt_get_default_sync_settings ();
  sim->sync_settings.guards_off = sync_guards_off;
  sim->publish_settings = bt_get_default_publish_settings ();
  sim->publish_settings.guards_off = publish_guards_off;
  for (int32_t i = 0; i < entries; i++)
    sim_start_entry (sim, i);
  sim_set_members (sim);
}

static inline void
sim_close (simulation_t *sim)
{
  for (int32_t i = 0; i < sim->entry_count; i++)
    sim_stop_entry (sim, i);
  for (int32_t i = 0; i < SIM_OPERATORS; i++)
    bt_drop_publisher (sim->ctx, sim->operators[i].publisher);
  for (int32_t i = 0; i < sim->message_count; i++)
    bt_clear_documents (sim->ctx, &sim->messages[i].documents);
  bt_free (sim->ctx, sim->messages);
  bt_drop_document (sim->ctx, sim->rules);
  bt_drop_document (sim->ctx, sim->old_rules);
  bt_drop_context (sim->ctx);
}

/* Saves the current contents of the store as the answer to stale reads. */
static inline void
sim_save_stale_state (simulation_t *sim)
{
  bt_drop_document (sim->ctx, sim->old_rules);
  sim->old_rules = sim->rules == NULL ? NULL : bt_keep_document (sim->rules);
  sim->old_revision = sim->store_revision;
}

static inline void
sim_run_publish_actions (simulation_t *sim, int32_t index, bt_publish_actions_t *actions);

static inline void
sim_write_rules (simulation_t *sim, const bt_document_t *wanted)
{
  bt_document_fields_t fields = { "rules", ++sim->store_revision, wanted->change,    wanted->after,
                                  false,   wanted->data,          wanted->data_bytes };

  bt_drop_document (sim->ctx, sim->rules);
  sim->rules = bt_new_document (sim->ctx, &fields);
  for (int32_t i = 0; i < sim->message_count; i++)
    if (sim->messages[i].kind == MESSAGE_WATCH && !sim->silent_watch
        && sim->messages[i].due_ms > sim->now_ms)
      sim->messages[i].due_ms = sim->now_ms;
}

/* Executes a transaction that reaches the store. */
static inline void
sim_commit (simulation_t *sim, const message_t *message)
{
  int64_t revision = sim->rules == NULL ? 0 : sim->rules->revision;
  bool matches = message->revision < 0 || message->revision == revision;
  message_t *answer;

  if (sim->store_down)
    return;
  if (matches)
    sim_write_rules (sim, message->documents.items[0]);
  if (sim->lose_commit_answers > 0)
    {
      sim->lose_commit_answers--;
      return;
    }
  answer = sim_send (sim, MESSAGE_COMMITTED, -1, message->from, sim_random_delay_ms (sim));
  answer->to_incarnation = message->to_incarnation;
  answer->flag = matches;
  answer->revision = sim->store_revision;
}

static inline void
sim_push_to_entry (simulation_t *sim, int32_t index, const char *instance)
{
  const bt_publisher_t *publisher = sim->operators[index].publisher;
  bt_sync_action_t push = { .kind = BT_SYNC_PUSH, .request = 1 };
  int32_t entry = atoi (instance + 6);

  push.peer = sim->entries[entry].identity;
  push.documents = *bt_get_publish_changes (publisher);
  if (sim->entries[entry].alive)
    sim_send_action (sim, SIM_MAX_ENTRIES + index, &push);
}

static inline void
sim_call_store (simulation_t *sim, int32_t index, bool commit)
{
  sim_operator_t *operator= & sim->operators[index];
  int32_t node = SIM_MAX_ENTRIES + index;
  message_t *message;

  operator->call++;
  message = sim_send (sim, MESSAGE_OPERATOR_FAIL, -1, node, SIM_CALL_TIMEOUT_MS);
  message->to_incarnation = operator->call;
  message->flag = true;
  if (sim->store_down || sim_random_percent (sim, sim->loss_percent))
    return;
  if (commit)
    {
      message = sim_send (sim, MESSAGE_COMMIT, node, -1, sim_random_delay_ms (sim));
      message->revision = bt_get_publish_compare_revision (operator->publisher, 0);
      bt_add_document (sim->ctx, &message->documents,
                       bt_get_publish_changes (operator->publisher)->items[0]);
    }
  else
    {
      message = sim_send (sim, MESSAGE_OPERATOR_READ, -1, node, sim_random_delay_ms (sim));
      sim_fill_read_answer (sim, message, 0);
    }
  message->to_incarnation = operator->call;
}

static inline void
sim_record_result (simulation_t *sim, sim_operator_t *operator)
{
  bt_publish_result_t result = bt_get_publish_result (operator->publisher);
  sim_result_t *recorded = &sim->results[sim->result_count];

  operator->finished = true;
  if (sim->result_count == SIM_MAX_RESULTS || result == BT_PUBLISH_UNKNOWN
      || result == BT_PUBLISH_WRITTEN)
    return;
  memcpy (recorded->tag, operator->tag, sizeof recorded->tag);
  recorded->not_written = result != BT_PUBLISH_ACCEPTED;
  recorded->revision = bt_get_publish_revision (operator->publisher);
  recorded->finished_ms = sim->now_ms;
  sim->result_count++;
}

static inline void
sim_run_publish_actions (simulation_t *sim, int32_t index, bt_publish_actions_t *actions)
{
  for (int32_t i = 0; i < actions->count; i++)
    {
      const bt_publish_action_t *action = &actions->items[i];

      if (action->kind == BT_PUBLISH_FINISH)
        sim_record_result (sim, &sim->operators[index]);
      else if (action->kind == BT_PUBLISH_PUSH)
        sim_push_to_entry (sim, index, action->instance);
      else
        sim_call_store (sim, index, action->kind == BT_PUBLISH_COMMIT);
    }
  bt_clear_publish_actions (sim->ctx, actions);
}

/* Publishes an edit that appends a unique tag to the rules in @p base. */
static inline void
sim_publish (simulation_t *sim, int32_t index, const bt_document_t *base)
{
  static const char *const names[] = { "entry-0", "entry-1", "entry-2", "entry-3",
                                       "entry-4", "entry-5", "entry-6", "entry-7" };
  sim_operator_t *operator= & sim->operators[index];
  bt_publish_document_t wanted = { .name = "rules" };
  bt_publish_actions_t actions = { 0 };
  char change[BT_CHANGE_BYTES];
  char tag[SIM_TAG_BYTES];
  char text[SIM_RULES_BYTES];

  bt_drop_publisher (sim->ctx, operator->publisher);
  sim->start_count++;
  snprintf (tag, sizeof tag, "<%llu>", (unsigned long long)sim->start_count);
  snprintf (text, sizeof text, "%s%s", base == NULL ? "" : base->data, tag);
  memcpy (operator->tag, tag, sizeof tag);
  snprintf (change, sizeof change, "%032llx", (unsigned long long)sim->start_count);
  wanted.data = text;
  wanted.data_bytes = strlen (text);
  wanted.base_revision = base == NULL ? 0 : base->revision;
  operator->finished = false;
  operator->publisher = bt_new_publisher (sim->ctx, &sim->publish_settings, change, &wanted, 1);
  bt_set_publish_entries (sim->ctx, operator->publisher, names, sim->entry_count);
  bt_start_publisher (sim->ctx, operator->publisher, sim->now_ms, &actions);
  sim_run_publish_actions (sim, index, &actions);
}

static inline void
sim_deliver_to_entry (simulation_t *sim, const message_t *message)
{
  sim_entry_t *entry = &sim->entries[message->to];
  int64_t now_ms = sim_get_clock_ms (sim, message->to);
  bt_identity_t source = { "operator-", 0 };
  bt_sync_push_t push = { &message->documents, message->from_revision, message->revision,
                          message->flag, message->request };
  bt_sync_actions_t actions = { 0 };

  if (message->from >= SIM_MAX_ENTRIES)
    snprintf (source.instance, BT_NAME_BYTES, "operator-%d",
              (int)(message->from - SIM_MAX_ENTRIES));
  else if (message->from >= 0)
    {
      source = sim->entries[message->from].identity;
      source.incarnation = message->from_incarnation;
    }
  if (message->kind == MESSAGE_HEARTBEAT)
    bt_handle_sync_heartbeat (sim->ctx, entry->sync, &source, &message->heartbeat, now_ms,
                              &actions);
  else if (message->kind == MESSAGE_PUSH)
    bt_handle_sync_push (sim->ctx, entry->sync, &source, &push, now_ms, &actions);
  else if (message->kind == MESSAGE_PULL)
    bt_handle_sync_pull (sim->ctx, entry->sync, &source, message->from_revision, &actions);
  else if (message->kind == MESSAGE_READ)
    bt_handle_store_read (sim->ctx, entry->sync, message->revision, &message->documents, now_ms,
                          &actions);
  else if (message->kind == MESSAGE_WATCH)
    bt_handle_store_watch (sim->ctx, entry->sync, !sim->silent_watch, now_ms, &actions);
  else
    bt_handle_store_failure (sim->ctx, entry->sync, now_ms);
  sim_run_actions (sim, message->to, &actions);
}

static inline void
sim_deliver_to_operator (simulation_t *sim, const message_t *message)
{
  int32_t index = message->to - SIM_MAX_ENTRIES;
  sim_operator_t *operator= & sim->operators[index];
  bt_publish_actions_t actions = { 0 };
  bool current = message->to_incarnation == operator->call;

  if (operator->publisher == NULL || operator->finished)
    return;
  if (message->kind == MESSAGE_IN_FORCE)
    {
      if (message->from_incarnation == sim->entries[message->from].identity.incarnation)
        bt_handle_publish_in_force (sim->ctx, operator->publisher,
                                    sim->entries[message->from].identity.instance, "rules",
                                    message->documents.items[0]->revision, sim->now_ms, &actions);
      sim_run_publish_actions (sim, index, &actions);
      return;
    }
  if (!current)
    return;
  operator->call++;
  if (message->kind == MESSAGE_OPERATOR_READ)
    bt_handle_publish_read (sim->ctx, operator->publisher, &message->documents, sim->now_ms,
                            &actions);
  else if (message->kind == MESSAGE_COMMITTED)
    bt_handle_publish_commit (sim->ctx, operator->publisher, message->flag, message->revision,
                              sim->now_ms, &actions);
  else
    bt_handle_publish_failure (sim->ctx, operator->publisher, true, sim->now_ms, &actions);
  sim_run_publish_actions (sim, index, &actions);
}

static inline bool
sim_can_deliver (const simulation_t *sim, const message_t *message)
{
  const sim_entry_t *entry;

  if (message->to < 0 || message->to >= SIM_MAX_ENTRIES)
    return true;
  entry = &sim->entries[message->to];
  return entry->alive && message->to_incarnation == entry->identity.incarnation;
}

static inline void
sim_deliver (simulation_t *sim)
{
  for (int32_t i = 0; i < sim->message_count;)
    {
      message_t message = sim->messages[i];
      bool held =
          message.to >= 0 && message.to < SIM_MAX_ENTRIES && sim->entries[message.to].paused;

      if (message.due_ms > sim->now_ms || held)
        {
          i++;
          continue;
        }
      sim->messages[i] = sim->messages[--sim->message_count];
      if (message.kind == MESSAGE_COMMIT)
        sim_commit (sim, &message);
      else if (message.to >= SIM_MAX_ENTRIES)
        sim_deliver_to_operator (sim, &message);
      else if (sim_can_deliver (sim, &message))
        sim_deliver_to_entry (sim, &message);
      bt_clear_documents (sim->ctx, &message.documents);
    }
}

static inline void
sim_set_link (simulation_t *sim, int32_t from, int32_t to, bool open)
{
  bt_sync_actions_t actions = { 0 };

  sim->linked[from][to] = open;
  if (open)
    bt_open_sync_link (sim->ctx, sim->entries[from].sync, &sim->entries[to].identity,
                       sim_get_clock_ms (sim, from), &actions);
  else
    bt_close_sync_link (sim->ctx, sim->entries[from].sync, &sim->entries[to].identity);
  sim_run_actions (sim, from, &actions);
}

static inline void
sim_send_heartbeat (simulation_t *sim, int32_t from, int32_t to)
{
  const sim_entry_t *entry = &sim->entries[from];
  message_t *message;

  if (!entry->alive || !sim->entries[to].alive || entry->paused)
    return;
  if (sim->blocked[from][to])
    {
      sim->silent_ms[from][to] += SIM_HEARTBEAT_MS;
      if (sim->linked[from][to] && sim->silent_ms[from][to] > SIM_LINK_IDLE_MS)
        sim_set_link (sim, from, to, false);
      return;
    }
  sim->silent_ms[from][to] = 0;
  if (!sim->linked[from][to])
    sim_set_link (sim, from, to, true);
  if (sim_random_percent (sim, sim->loss_percent))
    return;
  message = sim_send (sim, MESSAGE_HEARTBEAT, from, to, sim_random_delay_ms (sim));
  bt_make_sync_heartbeat (entry->sync, &sim->entries[to].identity, sim_get_clock_ms (sim, from),
                          &message->heartbeat);
}

static inline int64_t
sim_get_revision (const simulation_t *sim, int32_t entry)
{
  const bt_document_t *rules;

  if (!sim->entries[entry].alive)
    return -1;
  rules = bt_find_document (bt_get_sync_table (sim->entries[entry].sync), "rules");
  return rules == NULL ? 0 : rules->revision;
}

static inline bool
sim_is_admitting (const simulation_t *sim, int32_t entry)
{
  const sim_entry_t *state = &sim->entries[entry];

  return state->alive && !state->paused
         && bt_get_sync_state (state->sync, sim_get_clock_ms (sim, entry)) == BT_SYNC_READY;
}

static inline void
sim_check_invariants (simulation_t *sim)
{
  for (int32_t i = 0; i < sim->entry_count; i++)
    {
      int64_t revision = sim_get_revision (sim, i);

      if (revision < 0)
        continue;
      if (revision < sim->entries[i].last_revision)
        sim_report_violation (sim, "a revision in force went back", i);
      sim->entries[i].last_revision = revision;
      for (int32_t j = 0; j < sim->result_count; j++)
        if (!sim->results[j].not_written && revision < sim->results[j].revision
            && sim->now_ms > sim->results[j].finished_ms + SIM_MAX_STALE_MS
            && sim_is_admitting (sim, i))
          sim_report_violation (sim, "an entry admits under an older revision", i);
    }
  for (int32_t j = 0; j < sim->result_count; j++)
    {
      bool present = sim->rules != NULL && strstr (sim->rules->data, sim->results[j].tag) != NULL;

      if (present == sim->results[j].not_written)
        sim_report_violation (sim,
                              present ? "a change reported as not written exists"
                                      : "an accepted change was lost",
                              -1);
    }
}

static inline void
sim_step (simulation_t *sim)
{
  bt_publish_actions_t publish = { 0 };

  sim->now_ms += SIM_STEP_MS;
  sim_deliver (sim);
  for (int32_t i = 0; i < sim->entry_count; i++)
    {
      bt_sync_actions_t actions = { 0 };

      if (!sim->entries[i].alive || sim->entries[i].paused)
        continue;
      bt_tick_config_sync (sim->ctx, sim->entries[i].sync, sim_get_clock_ms (sim, i), &actions);
      sim_run_actions (sim, i, &actions);
    }
  if (sim->now_ms % SIM_HEARTBEAT_MS == 0)
    for (int32_t i = 0; i < sim->entry_count; i++)
      for (int32_t j = 0; j < sim->entry_count; j++)
        if (i != j)
          sim_send_heartbeat (sim, i, j);
  for (int32_t i = 0; i < SIM_OPERATORS; i++)
    if (sim->operators[i].publisher != NULL && !sim->operators[i].finished)
      {
        for (int32_t j = 0; j < sim->entry_count; j++)
          bt_set_publish_incarnation (
              sim->operators[i].publisher, sim->entries[j].identity.instance,
              sim->entries[j].alive ? sim->entries[j].identity.incarnation : 0);
        bt_tick_publisher (sim->ctx, sim->operators[i].publisher, sim->now_ms, &publish);
        sim_run_publish_actions (sim, i, &publish);
      }
  sim_check_invariants (sim);
}

static inline void
sim_run (simulation_t *sim, int64_t wait_ms)
{
  for (int64_t end_ms = sim->now_ms + wait_ms; sim->now_ms < end_ms;)
    sim_step (sim);
}

static inline bt_publish_result_t
sim_get_result (const simulation_t *sim, int32_t index)
{
  return bt_get_publish_result (sim->operators[index].publisher);
}

/* Runs until the operator's publish has finished, for at most SIM_MAX_STEPS steps. */
static inline bt_publish_result_t
sim_run_until_finished (simulation_t *sim, int32_t index)
{
  for (int32_t i = 0; i < SIM_MAX_STEPS && !sim->operators[index].finished; i++)
    sim_step (sim);
  return sim_get_result (sim, index);
}

/* Blocks all messages to and from a node, or lets them through again. */
static inline void
sim_isolate_node (simulation_t *sim, int32_t node, bool isolated)
{
  for (int32_t i = 0; i < SIM_NODES; i++)
    sim->blocked[node][i] = sim->blocked[i][node] = isolated;
}

/* Replaces an entry by a new process with the same instance name. */
static inline void
sim_replace_entry (simulation_t *sim, int32_t index)
{
  sim_stop_entry (sim, index);
  sim_start_entry (sim, index);
  sim_set_members (sim);
}

#endif
