#ifndef TEST_CONFIG_WORLD_H
#define TEST_CONFIG_WORLD_H

/** @file
 * Entry instances, operators and a key-value service around the pure core, in one thread under a
 * made-up time: messages are delayed, lost and doubled as a test or a seed says, and what was
 * promised to operators is checked after each step.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/config/config_spread.h"
#include "bilberrytray/config/publisher.h"

enum
{
  WORLD_ENTRIES = 8,
  WORLD_OPERATORS = 4,
  WORLD_NODES = WORLD_ENTRIES + WORLD_OPERATORS,
  WORLD_STEP_MS = 50,
  WORLD_BEAT_MS = 1000,
  WORLD_IDLE_MS = 3000,
  WORLD_CALL_MS = 3000,
  WORLD_BOUND_MS = 20000,
  WORLD_TAG_BYTES = 16,
  WORLD_TEXT_BYTES = 4096,
  WORLD_ACCEPTED = 512,
  WORLD_PATIENCE = 10000,
};

typedef enum message_kind
{
  MESSAGE_HEARTBEAT = 0,
  MESSAGE_PUSH,
  MESSAGE_PULL,
  MESSAGE_IN_FORCE,
  MESSAGE_READ,  /**< Answer of the service to an entry. */
  MESSAGE_WATCH, /**< End of a watch. */
  MESSAGE_FAIL,  /**< The service did not answer an entry. */
  MESSAGE_OPERATOR_READ,
  MESSAGE_COMMIT, /**< A transaction on its way to the service. */
  MESSAGE_COMMITTED,
  MESSAGE_OPERATOR_FAIL,
} message_kind_t;

typedef struct message
{
  message_kind_t kind;
  int64_t due_ms;
  int32_t from;
  int32_t to;
  uint64_t from_start;
  uint64_t to_start; /**< Incarnation, or for an operator the number of its call. */
  bt_spread_heartbeat_t heartbeat;
  bt_document_list_t documents;
  int64_t from_revision;
  int64_t revision;
  bool flag;
  uint64_t request;
} message_t;

typedef struct world_entry
{
  bool alive;
  bool paused;
  bool cut_from_service;
  int64_t clock_offset_ms;
  bt_identity_t identity;
  bt_config_spread_t *spread;
  int64_t seen_revision; /**< Of "rules", for the check that it never goes back. */
} world_entry_t;

typedef struct world_operator
{
  bt_publisher_t *publisher;
  char tag[WORLD_TAG_BYTES];
  uint64_t call;
  bool told;
} world_operator_t;

typedef struct world_accepted
{
  char tag[WORLD_TAG_BYTES];
  int64_t revision;
  int64_t at_ms;
  bool absent; /**< The operator was told that it was not written. */
} world_accepted_t;

typedef struct world
{
  bt_context_t *ctx;
  bt_random_t random;
  int64_t now_ms;
  int32_t entry_count;
  bt_spread_settings_t spread_settings;
  bt_publish_settings_t publish_settings;
  world_entry_t entries[WORLD_ENTRIES];
  world_operator_t operators[WORLD_OPERATORS];
  bool cut[WORLD_NODES][WORLD_NODES];
  bool linked[WORLD_ENTRIES][WORLD_ENTRIES];
  int64_t silent_since_ms[WORLD_ENTRIES][WORLD_ENTRIES];
  int64_t link_delay_ms;
  int64_t read_delay_ms; /**< Of the service's answers to entries. */
  int32_t loss_percent;  /**< Of messages, and of calls on the service. */
  int32_t double_percent;
  bool down;
  bool silent_watch;
  bool stale_reads;
  int32_t lose_commit_answers;
  bt_document_t *rules;     /**< What the service holds. */
  bt_document_t *old_rules; /**< What a stale read gives. */
  int64_t service_revision;
  int64_t old_revision;
  uint64_t service_calls;
  message_t *messages;
  int32_t message_count;
  int32_t message_room;
  uint64_t starts;
  world_accepted_t results[WORLD_ACCEPTED];
  int32_t result_count;
  char violation[128];
} world_t;

static inline void
world_violate (world_t *world, const char *what, int32_t who)
{
  if (world->violation[0] == '\0')
    snprintf (world->violation, sizeof world->violation, "%s, node %d at %lld ms", what, (int)who,
              (long long)world->now_ms);
}

static inline int64_t
world_clock (const world_t *world, int32_t entry)
{
  return world->now_ms + world->entries[entry].clock_offset_ms;
}

static inline bool
world_chance (world_t *world, int32_t percent)
{
  return percent > 0 && bt_random_below (&world->random, 100) < (uint64_t)percent;
}

static inline message_t *
world_send (world_t *world, message_kind_t kind, int32_t from, int32_t to, int64_t delay_ms)
{
  message_t *message;

  if (world->message_count == world->message_room)
    {
      world->message_room = world->message_room * 2 + 64;
      world->messages =
          bt_realloc (world->ctx, world->messages, (size_t)world->message_room, sizeof *message);
    }
  message = &world->messages[world->message_count++];
  memset (message, 0, sizeof *message);
  message->kind = kind;
  message->from = from;
  message->to = to;
  message->due_ms = world->now_ms + delay_ms;
  if (from >= 0 && from < WORLD_ENTRIES)
    message->from_start = world->entries[from].identity.incarnation;
  if (to >= 0 && to < WORLD_ENTRIES)
    message->to_start = world->entries[to].identity.incarnation;
  return message;
}

static inline int64_t
world_delay (world_t *world)
{
  return world->link_delay_ms + (int64_t)bt_random_below (&world->random, 100);
}

/* A service call that an entry makes; false when nothing comes back. */
static inline bool
world_is_served (world_t *world, int32_t entry)
{
  world->service_calls++;
  return !world->down && !world->entries[entry].cut_from_service
         && !world_chance (world, world->loss_percent);
}

static inline void
world_answer_read (world_t *world, message_t *message, int64_t since)
{
  bt_document_t *rules = world->stale_reads ? world->old_rules : world->rules;

  message->revision = world->stale_reads ? world->old_revision : world->service_revision;
  if (rules != NULL && rules->revision > since)
    bt_add_document (world->ctx, &message->documents, rules);
}

static inline int32_t
world_find_node (world_t *world, const bt_identity_t *identity)
{
  for (int32_t i = 0; i < world->entry_count; i++)
    if (bt_same_identity (&world->entries[i].identity, identity))
      return i;
  if (strncmp (identity->instance, "operator-", 9) == 0)
    return WORLD_ENTRIES + atoi (identity->instance + 9);
  return -1;
}

static inline void
world_send_link (world_t *world, int32_t from, const bt_spread_action_t *action)
{
  static const message_kind_t kinds[] = { [BT_SPREAD_PUSH] = MESSAGE_PUSH,
                                          [BT_SPREAD_PULL] = MESSAGE_PULL,
                                          [BT_SPREAD_IN_FORCE] = MESSAGE_IN_FORCE };
  int32_t to = world_find_node (world, &action->peer);
  int32_t copies = world_chance (world, world->double_percent) ? 2 : 1;

  if (to < 0 || world->cut[from][to] || world_chance (world, world->loss_percent))
    return;
  for (int32_t copy = 0; copy < copies; copy++)
    {
      message_t *message = world_send (world, kinds[action->kind], from, to, world_delay (world));

      message->from_revision = action->kind == BT_SPREAD_PULL ? action->since : action->from;
      message->revision = action->to;
      message->flag = action->whole;
      message->request = action->request;
      for (int32_t i = 0; i < action->documents.count; i++)
        bt_add_document (world->ctx, &message->documents, action->documents.items[i]);
    }
}

static inline void
world_run_actions (world_t *world, int32_t entry, bt_spread_actions_t *actions)
{
  for (int32_t i = 0; i < actions->count; i++)
    {
      const bt_spread_action_t *action = &actions->items[i];
      bool read = action->kind == BT_SPREAD_READ;

      if (action->kind == BT_SPREAD_APPLY)
        continue;
      if (!read && action->kind != BT_SPREAD_WATCH)
        world_send_link (world, entry, action);
      else if (!world_is_served (world, entry))
        world_send (world, MESSAGE_FAIL, -1, entry, 300);
      else if (read)
        world_answer_read (world,
                           world_send (world, MESSAGE_READ, -1, entry,
                                       world->read_delay_ms + world_delay (world) + 1),
                           action->since);
      else
        world_send (world, MESSAGE_WATCH, -1, entry, action->wait_ms);
    }
  bt_clear_spread_actions (world->ctx, actions);
}

static inline void
world_start_entry (world_t *world, int32_t index)
{
  world_entry_t *entry = &world->entries[index];

  snprintf (entry->identity.instance, BT_NAME_BYTES, "entry-%d", (int)index);
  entry->identity.incarnation = ++world->starts;
  entry->alive = true;
  entry->paused = false;
  entry->seen_revision = 0;
  entry->spread = bt_new_config_spread (world->ctx, &entry->identity, &world->spread_settings,
                                        world->starts, world_clock (world, index));
}

static inline void
world_stop_entry (world_t *world, int32_t index)
{
  world_entry_t *entry = &world->entries[index];

  if (!entry->alive)
    return;
  for (int32_t other = 0; other < world->entry_count; other++)
    {
      if (world->linked[other][index])
        bt_close_spread_link (world->ctx, world->entries[other].spread, &entry->identity);
      world->linked[other][index] = world->linked[index][other] = false;
    }
  bt_drop_config_spread (world->ctx, entry->spread);
  entry->spread = NULL;
  entry->alive = false;
}

static inline void
world_set_members (world_t *world)
{
  bt_spread_member_t members[WORLD_ENTRIES] = { 0 };

  for (int32_t i = 0; i < world->entry_count; i++)
    {
      snprintf (members[i].instance, BT_NAME_BYTES, "entry-%d", (int)i);
      snprintf (members[i].failure_domain, BT_NAME_BYTES, "hall-%d", (int)i % 3);
      members[i].near = true;
    }
  for (int32_t i = 0; i < world->entry_count; i++)
    if (world->entries[i].alive)
      bt_set_spread_members (world->ctx, world->entries[i].spread, members, world->entry_count);
}

static inline void
world_open (
    world_t *world, int32_t entries, uint64_t seed, uint32_t spread_off, uint32_t publish_off)
{
  memset (world, 0, sizeof *world);
  world->ctx = bt_new_context ();
  bt_seed_random (&world->random, seed);
  world->now_ms = 100000;
  world->entry_count = entries;
  world->service_revision = world->old_revision = 10;
  world->spread_settings = bt_get_default_spread_settings ();
  world->spread_settings.guards_off = spread_off;
  world->publish_settings = bt_get_default_publish_settings ();
  world->publish_settings.guards_off = publish_off;
  for (int32_t i = 0; i < entries; i++)
    world_start_entry (world, i);
  world_set_members (world);
}

static inline void
world_close (world_t *world)
{
  for (int32_t i = 0; i < world->entry_count; i++)
    world_stop_entry (world, i);
  for (int32_t i = 0; i < WORLD_OPERATORS; i++)
    bt_drop_publisher (world->ctx, world->operators[i].publisher);
  for (int32_t i = 0; i < world->message_count; i++)
    bt_clear_documents (world->ctx, &world->messages[i].documents);
  bt_free (world->ctx, world->messages);
  bt_drop_document (world->ctx, world->rules);
  bt_drop_document (world->ctx, world->old_rules);
  bt_drop_context (world->ctx);
}

/* Makes the service give what it holds now to all reads that are to be stale. */
static inline void
world_remember (world_t *world)
{
  bt_drop_document (world->ctx, world->old_rules);
  world->old_rules = world->rules == NULL ? NULL : bt_keep_document (world->rules);
  world->old_revision = world->service_revision;
}

static inline void world_run_publish (world_t *world, int32_t index, bt_publish_actions_t *actions);

static inline void
world_write (world_t *world, const bt_document_t *wanted)
{
  bt_document_fields_t fields = {
    "rules",      ++world->service_revision, wanted->change, wanted->after, false,
    wanted->data, wanted->data_bytes
  };

  bt_drop_document (world->ctx, world->rules);
  world->rules = bt_new_document (world->ctx, &fields);
  for (int32_t i = 0; i < world->message_count; i++)
    if (world->messages[i].kind == MESSAGE_WATCH && !world->silent_watch
        && world->messages[i].due_ms > world->now_ms)
      world->messages[i].due_ms = world->now_ms;
}

/* The transaction reaches the service. */
static inline void
world_commit (world_t *world, const message_t *message)
{
  int64_t revision = world->rules == NULL ? 0 : world->rules->revision;
  bool holds = message->revision < 0 || message->revision == revision;
  message_t *answer;

  if (world->down)
    return;
  if (holds)
    world_write (world, message->documents.items[0]);
  if (world->lose_commit_answers > 0)
    {
      world->lose_commit_answers--;
      return;
    }
  answer = world_send (world, MESSAGE_COMMITTED, -1, message->from, world_delay (world));
  answer->to_start = message->to_start;
  answer->flag = holds;
  answer->revision = world->service_revision;
}

static inline void
world_hand_over (world_t *world, int32_t index, const char *instance)
{
  const bt_publisher_t *publisher = world->operators[index].publisher;
  bt_spread_action_t push = { .kind = BT_SPREAD_PUSH, .request = 1 };
  int32_t entry = atoi (instance + 6);

  push.peer = world->entries[entry].identity;
  push.documents = *bt_get_publish_changes (publisher);
  if (world->entries[entry].alive)
    world_send_link (world, WORLD_ENTRIES + index, &push);
}

static inline void
world_call_service (world_t *world, int32_t index, bool commit)
{
  world_operator_t *operator= & world->operators[index];
  int32_t node = WORLD_ENTRIES + index;
  message_t *message;

  operator->call++;
  message = world_send (world, MESSAGE_OPERATOR_FAIL, -1, node, WORLD_CALL_MS);
  message->to_start = operator->call;
  message->flag = true;
  if (world->down || world_chance (world, world->loss_percent))
    return;
  if (commit)
    {
      message = world_send (world, MESSAGE_COMMIT, node, -1, world_delay (world));
      message->revision = bt_get_publish_compare (operator->publisher, 0);
      bt_add_document (world->ctx, &message->documents,
                       bt_get_publish_changes (operator->publisher)->items[0]);
    }
  else
    {
      message = world_send (world, MESSAGE_OPERATOR_READ, -1, node, world_delay (world));
      world_answer_read (world, message, 0);
    }
  message->to_start = operator->call;
}

static inline void
world_note_result (world_t *world, world_operator_t *operator)
{
  bt_publish_result_t result = bt_get_publish_result (operator->publisher);
  world_accepted_t *noted = &world->results[world->result_count];

  operator->told = true;
  if (world->result_count == WORLD_ACCEPTED || result == BT_PUBLISH_UNKNOWN
      || result == BT_PUBLISH_WRITTEN)
    return;
  memcpy (noted->tag, operator->tag, sizeof noted->tag);
  noted->absent = result != BT_PUBLISH_ACCEPTED;
  noted->revision = bt_get_publish_revision (operator->publisher);
  noted->at_ms = world->now_ms;
  world->result_count++;
}

static inline void
world_run_publish (world_t *world, int32_t index, bt_publish_actions_t *actions)
{
  for (int32_t i = 0; i < actions->count; i++)
    {
      const bt_publish_action_t *action = &actions->items[i];

      if (action->kind == BT_PUBLISH_FINISH)
        world_note_result (world, &world->operators[index]);
      else if (action->kind == BT_PUBLISH_HAND_OVER)
        world_hand_over (world, index, action->instance);
      else
        world_call_service (world, index, action->kind == BT_PUBLISH_COMMIT);
    }
  bt_clear_publish_actions (world->ctx, actions);
}

/* An operator adds a tag of its own to the rules that it believes are there. */
static inline void
world_publish (world_t *world, int32_t index, const bt_document_t *base)
{
  static const char *const names[] = { "entry-0", "entry-1", "entry-2", "entry-3",
                                       "entry-4", "entry-5", "entry-6", "entry-7" };
  world_operator_t *operator= & world->operators[index];
  bt_publish_document_t wanted = { .name = "rules" };
  bt_publish_actions_t actions = { 0 };
  char change[BT_CHANGE_BYTES];
  char tag[WORLD_TAG_BYTES];
  char text[WORLD_TEXT_BYTES];

  bt_drop_publisher (world->ctx, operator->publisher);
  world->starts++;
  snprintf (tag, sizeof tag, "<%llu>", (unsigned long long)world->starts);
  snprintf (text, sizeof text, "%s%s", base == NULL ? "" : base->data, tag);
  memcpy (operator->tag, tag, sizeof tag);
  snprintf (change, sizeof change, "%032llx", (unsigned long long)world->starts);
  wanted.data = text;
  wanted.data_bytes = strlen (text);
  wanted.base_revision = base == NULL ? 0 : base->revision;
  operator->told = false;
  operator->publisher = bt_new_publisher (world->ctx, &world->publish_settings, change, &wanted, 1);
  bt_set_publish_entries (world->ctx, operator->publisher, names, world->entry_count);
  bt_start_publisher (world->ctx, operator->publisher, world->now_ms, &actions);
  world_run_publish (world, index, &actions);
}

static inline void
world_deliver_entry (world_t *world, const message_t *message)
{
  world_entry_t *entry = &world->entries[message->to];
  int64_t now_ms = world_clock (world, message->to);
  bt_identity_t source = { "operator-", 0 };
  bt_spread_push_t push = { &message->documents, message->from_revision, message->revision,
                            message->flag, message->request };
  bt_spread_actions_t actions = { 0 };

  if (message->from >= WORLD_ENTRIES)
    snprintf (source.instance, BT_NAME_BYTES, "operator-%d", (int)(message->from - WORLD_ENTRIES));
  else if (message->from >= 0)
    {
      source = world->entries[message->from].identity;
      source.incarnation = message->from_start;
    }
  if (message->kind == MESSAGE_HEARTBEAT)
    bt_take_spread_heartbeat (world->ctx, entry->spread, &source, &message->heartbeat, now_ms,
                              &actions);
  else if (message->kind == MESSAGE_PUSH)
    bt_take_spread_push (world->ctx, entry->spread, &source, &push, now_ms, &actions);
  else if (message->kind == MESSAGE_PULL)
    bt_take_spread_pull (world->ctx, entry->spread, &source, message->from_revision, &actions);
  else if (message->kind == MESSAGE_READ)
    bt_take_store_read (world->ctx, entry->spread, message->revision, &message->documents, now_ms,
                        &actions);
  else if (message->kind == MESSAGE_WATCH)
    bt_take_store_watch (world->ctx, entry->spread, !world->silent_watch, now_ms, &actions);
  else
    bt_take_store_failure (world->ctx, entry->spread, now_ms);
  world_run_actions (world, message->to, &actions);
}

static inline void
world_deliver_operator (world_t *world, const message_t *message)
{
  int32_t index = message->to - WORLD_ENTRIES;
  world_operator_t *operator= & world->operators[index];
  bt_publish_actions_t actions = { 0 };
  bool current = message->to_start == operator->call;

  if (operator->publisher == NULL || operator->told)
    return;
  if (message->kind == MESSAGE_IN_FORCE)
    {
      if (message->from_start == world->entries[message->from].identity.incarnation)
        bt_take_publish_in_force (world->ctx, operator->publisher,
                                  world->entries[message->from].identity.instance, "rules",
                                  message->documents.items[0]->revision, world->now_ms, &actions);
      world_run_publish (world, index, &actions);
      return;
    }
  if (!current)
    return;
  operator->call++;
  if (message->kind == MESSAGE_OPERATOR_READ)
    bt_take_publish_read (world->ctx, operator->publisher, &message->documents, world->now_ms,
                          &actions);
  else if (message->kind == MESSAGE_COMMITTED)
    bt_take_publish_commit (world->ctx, operator->publisher, message->flag, message->revision,
                            world->now_ms, &actions);
  else
    bt_take_publish_failure (world->ctx, operator->publisher, true, world->now_ms, &actions);
  world_run_publish (world, index, &actions);
}

static inline bool
world_can_deliver (const world_t *world, const message_t *message)
{
  const world_entry_t *entry;

  if (message->to < 0 || message->to >= WORLD_ENTRIES)
    return true;
  entry = &world->entries[message->to];
  return entry->alive && message->to_start == entry->identity.incarnation;
}

static inline void
world_deliver (world_t *world)
{
  for (int32_t i = 0; i < world->message_count;)
    {
      message_t message = world->messages[i];
      bool held =
          message.to >= 0 && message.to < WORLD_ENTRIES && world->entries[message.to].paused;

      if (message.due_ms > world->now_ms || held)
        {
          i++;
          continue;
        }
      world->messages[i] = world->messages[--world->message_count];
      if (message.kind == MESSAGE_COMMIT)
        world_commit (world, &message);
      else if (message.to >= WORLD_ENTRIES)
        world_deliver_operator (world, &message);
      else if (world_can_deliver (world, &message))
        world_deliver_entry (world, &message);
      bt_clear_documents (world->ctx, &message.documents);
    }
}

static inline void
world_change_link (world_t *world, int32_t from, int32_t to, bool open)
{
  bt_spread_actions_t actions = { 0 };

  world->linked[from][to] = open;
  if (open)
    bt_open_spread_link (world->ctx, world->entries[from].spread, &world->entries[to].identity,
                         world_clock (world, from), &actions);
  else
    bt_close_spread_link (world->ctx, world->entries[from].spread, &world->entries[to].identity);
  world_run_actions (world, from, &actions);
}

static inline void
world_beat (world_t *world, int32_t from, int32_t to)
{
  const world_entry_t *entry = &world->entries[from];
  message_t *message;

  if (!entry->alive || !world->entries[to].alive || entry->paused)
    return;
  if (world->cut[from][to])
    {
      world->silent_since_ms[from][to] += WORLD_BEAT_MS;
      if (world->linked[from][to] && world->silent_since_ms[from][to] > WORLD_IDLE_MS)
        world_change_link (world, from, to, false);
      return;
    }
  world->silent_since_ms[from][to] = 0;
  if (!world->linked[from][to])
    world_change_link (world, from, to, true);
  if (world_chance (world, world->loss_percent))
    return;
  message = world_send (world, MESSAGE_HEARTBEAT, from, to, world_delay (world));
  bt_make_spread_heartbeat (entry->spread, &world->entries[to].identity, world_clock (world, from),
                            &message->heartbeat);
}

static inline int64_t
world_get_revision (const world_t *world, int32_t entry)
{
  const bt_document_t *rules;

  if (!world->entries[entry].alive)
    return -1;
  rules = bt_find_document (bt_get_spread_table (world->entries[entry].spread), "rules");
  return rules == NULL ? 0 : rules->revision;
}

static inline bool
world_admits (const world_t *world, int32_t entry)
{
  const world_entry_t *at = &world->entries[entry];

  return at->alive && !at->paused
         && bt_get_spread_state (at->spread, world_clock (world, entry)) == BT_SPREAD_READY;
}

static inline void
world_check (world_t *world)
{
  for (int32_t i = 0; i < world->entry_count; i++)
    {
      int64_t revision = world_get_revision (world, i);

      if (revision < 0)
        continue;
      if (revision < world->entries[i].seen_revision)
        world_violate (world, "a revision in force went back", i);
      world->entries[i].seen_revision = revision;
      for (int32_t j = 0; j < world->result_count; j++)
        if (!world->results[j].absent && revision < world->results[j].revision
            && world->now_ms > world->results[j].at_ms + WORLD_BOUND_MS && world_admits (world, i))
          world_violate (world, "an entry admits under an older revision", i);
    }
  for (int32_t j = 0; j < world->result_count; j++)
    {
      bool there =
          world->rules != NULL && strstr (world->rules->data, world->results[j].tag) != NULL;

      if (there == world->results[j].absent)
        world_violate (world,
                       there ? "what was told not written is there" : "an accepted change was lost",
                       -1);
    }
}

static inline void
world_step (world_t *world)
{
  bt_publish_actions_t publish = { 0 };

  world->now_ms += WORLD_STEP_MS;
  world_deliver (world);
  for (int32_t i = 0; i < world->entry_count; i++)
    {
      bt_spread_actions_t actions = { 0 };

      if (!world->entries[i].alive || world->entries[i].paused)
        continue;
      bt_tick_config_spread (world->ctx, world->entries[i].spread, world_clock (world, i),
                             &actions);
      world_run_actions (world, i, &actions);
    }
  if (world->now_ms % WORLD_BEAT_MS == 0)
    for (int32_t i = 0; i < world->entry_count; i++)
      for (int32_t j = 0; j < world->entry_count; j++)
        if (i != j)
          world_beat (world, i, j);
  for (int32_t i = 0; i < WORLD_OPERATORS; i++)
    if (world->operators[i].publisher != NULL && !world->operators[i].told)
      {
        for (int32_t j = 0; j < world->entry_count; j++)
          bt_set_publish_incarnation (
              world->operators[i].publisher, world->entries[j].identity.instance,
              world->entries[j].alive ? world->entries[j].identity.incarnation : 0);
        bt_tick_publisher (world->ctx, world->operators[i].publisher, world->now_ms, &publish);
        world_run_publish (world, i, &publish);
      }
  world_check (world);
}

static inline void
world_run (world_t *world, int64_t wait_ms)
{
  for (int64_t end_ms = world->now_ms + wait_ms; world->now_ms < end_ms;)
    world_step (world);
}

static inline bt_publish_result_t
world_result (const world_t *world, int32_t index)
{
  return bt_get_publish_result (world->operators[index].publisher);
}

/* Runs until the operator is told how its publish ended. */
static inline bt_publish_result_t
world_finish (world_t *world, int32_t index)
{
  for (int32_t i = 0; i < WORLD_PATIENCE && !world->operators[index].told; i++)
    world_step (world);
  return world_result (world, index);
}

/* Cuts a node off from all others, or joins it again. */
static inline void
world_cut (world_t *world, int32_t node, bool cut)
{
  for (int32_t i = 0; i < WORLD_NODES; i++)
    world->cut[node][i] = world->cut[i][node] = cut;
}

/* An entry is replaced by a new process under its name. */
static inline void
world_replace (world_t *world, int32_t index)
{
  world_stop_entry (world, index);
  world_start_entry (world, index);
  world_set_members (world);
}

#endif
