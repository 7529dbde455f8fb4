#include "harness_sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/core/subset.h"
#include "harness_cpu.h"

enum
{
  WHEEL_MS = 8192,
  TICK_MS = 20,
  WARM_UP_MS = 15000,
  IDLE_MS = 30000,
  IDLE_LINK_MS = 1500,
  START_MS = 100000,
  REPLACE_MS = 1000,
  STORE_FAILURE_MS = 300,
  OUTAGE_MS = 60000,
  SETTLE_MS = 10000,
  RECOVERY_S = 60,
  LOSS_PERCENT = 5,
  DOMAINS = 4,
  MS_PER_S = 1000,
  NAME_BYTES = 32,
};

typedef enum event_kind
{
  EVENT_HEARTBEAT = 0,
  EVENT_PUSH,
  EVENT_PULL,
  EVENT_READ,
  EVENT_WATCH,
  EVENT_FAILURE,
} event_kind_t;

typedef struct event
{
  event_kind_t kind;
  int32_t from; /**< Index of the sender; -1: the operator or the store. */
  int32_t to;
  uint64_t from_incarnation;
  uint64_t to_incarnation;
  int64_t due_ms;
  bt_sync_heartbeat_t heartbeat;
  bt_document_list_t documents;
  int64_t from_revision;
  int64_t to_revision;
  bool whole;
  uint64_t request;
  struct event *next;
} event_t;

typedef struct node
{
  bt_identity_t identity;
  bt_config_sync_t *sync;
  int64_t dead_until_ms; /**< 0 while the node runs. */
  int64_t sent_bytes;
} node_t;

typedef struct fleet
{
  bt_context_t *ctx;
  const bt_sync_trial_t *trial;
  bt_random_t random;
  int64_t now_ms;
  uint64_t last_incarnation;
  node_t *nodes;
  bool *neighbors;
  bt_sync_member_t *members;
  bt_document_t **documents;
  int64_t revision;
  uint64_t calls;
  bool store_down;
  event_t *wheel[WHEEL_MS];
} fleet_t;

static bool
is_neighbor (const fleet_t *fleet, int32_t left, int32_t right)
{
  return fleet->neighbors[left * fleet->trial->entries + right];
}

static event_t *
add_event (fleet_t *fleet, event_kind_t kind, int32_t from, int32_t to, int64_t delay_ms)
{
  event_t *event = bt_calloc (fleet->ctx, 1, sizeof *event);
  event_t **slot;

  event->kind = kind;
  event->from = from;
  event->to = to;
  event->from_incarnation = from < 0 ? 0 : fleet->nodes[from].identity.incarnation;
  event->to_incarnation = fleet->nodes[to].identity.incarnation;
  event->due_ms = fleet->now_ms + (delay_ms < 1 ? 1 : delay_ms);
  slot = &fleet->wheel[event->due_ms % WHEEL_MS];
  event->next = *slot;
  *slot = event;
  return event;
}

static bool
draw_frame_loss (fleet_t *fleet)
{
  return fleet->trial->fault == BT_TRIAL_LOSS
         && bt_random_below (&fleet->random, 100) < LOSS_PERCENT;
}

static int32_t
find_node (const fleet_t *fleet, const bt_identity_t *identity)
{
  int32_t index = (int32_t)strtol (identity->instance + strlen ("entry-"), NULL, 10);

  if (strncmp (identity->instance, "entry-", strlen ("entry-")) != 0
      || fleet->nodes[index].identity.incarnation != identity->incarnation)
    return -1;
  return index;
}

static void
send_to_peer (fleet_t *fleet, int32_t from, const bt_sync_action_t *action)
{
  static const bt_trial_frame_t frames[] = { [BT_SYNC_PUSH] = BT_TRIAL_PUSH,
                                             [BT_SYNC_PULL] = BT_TRIAL_PULL,
                                             [BT_SYNC_IN_FORCE] = BT_TRIAL_IN_FORCE };
  const bt_sync_trial_t *trial = fleet->trial;
  int32_t to = find_node (fleet, &action->peer);
  event_t *event;

  fleet->nodes[from].sent_bytes +=
      trial->count_bytes (trial->count_data, frames[action->kind], NULL, &action->documents);
  if (to < 0 || action->kind == BT_SYNC_IN_FORCE || draw_frame_loss (fleet))
    return;
  event = add_event (fleet, action->kind == BT_SYNC_PUSH ? EVENT_PUSH : EVENT_PULL, from, to,
                     trial->latency_ms);
  event->from_revision = action->kind == BT_SYNC_PULL ? action->since : action->from;
  event->to_revision = action->to;
  event->whole = action->whole;
  for (int32_t i = 0; i < action->documents.count; i++)
    bt_add_document (fleet->ctx, &event->documents, action->documents.items[i]);
}

static void
answer_read (fleet_t *fleet, int32_t to, int64_t since)
{
  event_t *event = add_event (fleet, EVENT_READ, -1, to, 2 * fleet->trial->latency_ms);

  event->to_revision = fleet->revision;
  for (int32_t i = 0; fleet->revision > since && i < fleet->trial->documents; i++)
    if (fleet->documents[i]->revision > since)
      bt_add_document (fleet->ctx, &event->documents, fleet->documents[i]);
}

static void
run_actions (fleet_t *fleet, int32_t node, bt_sync_actions_t *actions)
{
  for (int32_t i = 0; i < actions->count; i++)
    {
      const bt_sync_action_t *action = &actions->items[i];

      if (action->kind == BT_SYNC_READ || action->kind == BT_SYNC_WATCH)
        fleet->calls++;
      if (fleet->store_down && (action->kind == BT_SYNC_READ || action->kind == BT_SYNC_WATCH))
        add_event (fleet, EVENT_FAILURE, -1, node, STORE_FAILURE_MS);
      else if (action->kind == BT_SYNC_READ)
        answer_read (fleet, node, action->since);
      else if (action->kind == BT_SYNC_WATCH)
        add_event (fleet, EVENT_WATCH, -1, node, action->wait_ms);
      else if (action->kind != BT_SYNC_APPLY)
        send_to_peer (fleet, node, action);
    }
  bt_clear_sync_actions (fleet->ctx, actions);
}

static void
deliver_event (fleet_t *fleet, const event_t *event)
{
  bt_config_sync_t *sync = fleet->nodes[event->to].sync;
  bt_sync_push_t push = { &event->documents, event->from_revision, event->to_revision, event->whole,
                          event->request };
  bt_identity_t source = { "operator", 1 };
  bt_sync_actions_t actions = { 0 };

  if (sync == NULL || event->to_incarnation != fleet->nodes[event->to].identity.incarnation)
    return;
  if (event->from >= 0)
    {
      source = fleet->nodes[event->from].identity;
      source.incarnation = event->from_incarnation;
    }
  if (event->kind == EVENT_HEARTBEAT)
    bt_handle_sync_heartbeat (fleet->ctx, sync, &source, &event->heartbeat, fleet->now_ms,
                              &actions);
  else if (event->kind == EVENT_PUSH)
    bt_handle_sync_push (fleet->ctx, sync, &source, &push, fleet->now_ms, &actions);
  else if (event->kind == EVENT_PULL)
    bt_handle_sync_pull (fleet->ctx, sync, &source, event->from_revision, &actions);
  else if (event->kind == EVENT_READ)
    bt_handle_store_read (fleet->ctx, sync, event->to_revision, &event->documents, fleet->now_ms,
                          &actions);
  else if (event->kind == EVENT_FAILURE)
    bt_handle_store_failure (fleet->ctx, sync, fleet->now_ms);
  else
    bt_handle_store_watch (fleet->ctx, sync, true, fleet->now_ms, &actions);
  run_actions (fleet, event->to, &actions);
}

static void
send_heartbeats (fleet_t *fleet, int32_t node)
{
  const bt_sync_trial_t *trial = fleet->trial;

  for (int32_t peer = 0; peer < trial->entries; peer++)
    {
      bt_sync_heartbeat_t heartbeat;

      if (!is_neighbor (fleet, node, peer) || fleet->nodes[peer].sync == NULL)
        continue;
      bt_make_sync_heartbeat (fleet->nodes[node].sync, &fleet->nodes[peer].identity, fleet->now_ms,
                              &heartbeat);
      fleet->nodes[node].sent_bytes +=
          trial->count_bytes (trial->count_data, BT_TRIAL_HEARTBEAT, &heartbeat, NULL);
      if (!draw_frame_loss (fleet))
        add_event (fleet, EVENT_HEARTBEAT, node, peer, trial->latency_ms)->heartbeat = heartbeat;
    }
}

static void
open_links (fleet_t *fleet, int32_t node)
{
  for (int32_t peer = 0; peer < fleet->trial->entries; peer++)
    {
      bt_sync_actions_t actions = { 0 };

      if (!is_neighbor (fleet, node, peer) || fleet->nodes[peer].sync == NULL)
        continue;
      bt_open_sync_link (fleet->ctx, fleet->nodes[node].sync, &fleet->nodes[peer].identity,
                         fleet->now_ms, &actions);
      run_actions (fleet, node, &actions);
      bt_open_sync_link (fleet->ctx, fleet->nodes[peer].sync, &fleet->nodes[node].identity,
                         fleet->now_ms, &actions);
      run_actions (fleet, peer, &actions);
    }
}

static void
start_node (fleet_t *fleet, int32_t index)
{
  bt_sync_settings_t settings = bt_get_default_sync_settings ();
  node_t *node = &fleet->nodes[index];

  snprintf (node->identity.instance, BT_NAME_BYTES, "entry-%d", (int)index);
  node->identity.incarnation = ++fleet->last_incarnation;
  node->dead_until_ms = 0;
  node->sync = bt_new_config_sync (fleet->ctx, &node->identity, &settings, fleet->last_incarnation,
                                   fleet->now_ms);
  for (int32_t i = 0; i < fleet->trial->entries; i++)
    fleet->members[i].is_neighbor = is_neighbor (fleet, index, i);
  bt_set_sync_members (fleet->ctx, node->sync, fleet->members, fleet->trial->entries);
  open_links (fleet, index);
}

static void
kill_node (fleet_t *fleet, int32_t index)
{
  node_t *node = &fleet->nodes[index];

  bt_drop_config_sync (fleet->ctx, node->sync);
  node->sync = NULL;
  node->dead_until_ms = fleet->now_ms + REPLACE_MS;
  for (int32_t peer = 0; peer < fleet->trial->entries; peer++)
    if (is_neighbor (fleet, peer, index) && fleet->nodes[peer].sync != NULL)
      bt_close_sync_link (fleet->ctx, fleet->nodes[peer].sync, &node->identity);
}

static void
advance_1_ms (fleet_t *fleet)
{
  event_t **slot;

  fleet->now_ms++;
  slot = &fleet->wheel[fleet->now_ms % WHEEL_MS];
  while (*slot != NULL)
    {
      event_t *event = *slot;

      *slot = event->next;
      deliver_event (fleet, event);
      bt_clear_documents (fleet->ctx, &event->documents);
      bt_free (fleet->ctx, event);
    }
  for (int32_t i = 0; i < fleet->trial->entries; i++)
    {
      bt_sync_actions_t actions = { 0 };
      node_t *node = &fleet->nodes[i];

      if (node->sync == NULL && fleet->now_ms >= node->dead_until_ms)
        start_node (fleet, i);
      if (node->sync == NULL)
        continue;
      if ((fleet->now_ms + i) % TICK_MS == 0)
        bt_tick_config_sync (fleet->ctx, node->sync, fleet->now_ms, &actions);
      run_actions (fleet, i, &actions);
      if ((fleet->now_ms + (int64_t)i * 7) % fleet->trial->heartbeat_interval_ms == 0)
        send_heartbeats (fleet, i);
    }
}

static void
run_for (fleet_t *fleet, int64_t wait_ms)
{
  for (int64_t i = 0; i < wait_ms; i++)
    advance_1_ms (fleet);
}

static void
write_document (fleet_t *fleet, int32_t index)
{
  char *data = bt_calloc (fleet->ctx, (size_t)fleet->trial->document_bytes, 1);
  char name[NAME_BYTES];
  bt_document_fields_t fields = { .name = name,
                                  .revision = ++fleet->revision,
                                  .change = "0123456789abcdef0123456789abcdef",
                                  .data = data,
                                  .data_bytes = (size_t)fleet->trial->document_bytes };

  memset (data, 'x', (size_t)fleet->trial->document_bytes);
  snprintf (name, sizeof name, "document-%d", (int)index);
  bt_drop_document (fleet->ctx, fleet->documents[index]);
  fleet->documents[index] = bt_new_document (fleet->ctx, &fields);
  bt_free (fleet->ctx, data);
}

/* A write to the store completes all pending watches. */
static void
complete_watches (fleet_t *fleet)
{
  event_t *completed = NULL;

  if (fleet->trial->fault == BT_TRIAL_SILENT_WATCH)
    return;
  for (int32_t i = 0; i < WHEEL_MS; i++)
    for (event_t **link = &fleet->wheel[i]; *link != NULL;)
      {
        event_t *event = *link;

        if (event->kind != EVENT_WATCH || event->due_ms <= fleet->now_ms)
          {
            link = &event->next;
            continue;
          }
        *link = event->next;
        event->next = completed;
        completed = event;
      }
  while (completed != NULL)
    {
      event_t *event = completed;

      completed = event->next;
      add_event (fleet, EVENT_WATCH, -1, event->to, fleet->trial->latency_ms)->to_incarnation =
          event->to_incarnation;
      bt_free (fleet->ctx, event);
    }
}

/* Pushes a change to the entries as the operator does, after the answer to the write and the
 * read-back. It arrives four one-way latencies after the write. */
static void
push_change (fleet_t *fleet, int32_t index)
{
  if (fleet->trial->fault >= BT_TRIAL_NO_PUSH)
    return;
  for (int32_t i = 0; i < fleet->trial->entries; i++)
    {
      event_t *event;

      if (draw_frame_loss (fleet) || fleet->nodes[i].sync == NULL)
        continue;
      event = add_event (fleet, EVENT_PUSH, -1, i, 4 * fleet->trial->latency_ms);
      event->request = 1;
      bt_add_document (fleet->ctx, &event->documents, fleet->documents[index]);
    }
}

static bool
is_in_force (const fleet_t *fleet)
{
  for (int32_t i = 0; i < fleet->trial->entries; i++)
    if (fleet->nodes[i].sync != NULL
        && bt_get_table_revision (bt_get_sync_table (fleet->nodes[i].sync)) < fleet->revision)
      return false;
  return true;
}

static int64_t
measure_change (fleet_t *fleet)
{
  int32_t index = (int32_t)bt_random_below (&fleet->random, (uint64_t)fleet->trial->documents);
  int64_t start_ms = fleet->now_ms;
  int64_t in_force_ms = -1;

  write_document (fleet, index);
  complete_watches (fleet);
  push_change (fleet, index);
  if (fleet->trial->fault == BT_TRIAL_KILL)
    kill_node (fleet, (int32_t)bt_random_below (&fleet->random, (uint64_t)fleet->trial->entries));
  while (fleet->now_ms - start_ms < fleet->trial->change_interval_ms)
    {
      advance_1_ms (fleet);
      if (in_force_ms < 0 && is_in_force (fleet))
        in_force_ms = fleet->now_ms - start_ms;
    }
  while (in_force_ms < 0)
    {
      advance_1_ms (fleet);
      if (is_in_force (fleet))
        in_force_ms = fleet->now_ms - start_ms;
    }
  return in_force_ms;
}

static int64_t
sum_bytes (const fleet_t *fleet)
{
  int64_t bytes = 0;

  for (int32_t i = 0; i < fleet->trial->entries; i++)
    bytes += fleet->nodes[i].sent_bytes;
  return bytes;
}

static int
compare_times (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;

  return (a > b) - (a < b);
}

static void
measure_idle (fleet_t *fleet, bt_sync_metrics_t *metrics)
{
  int64_t start_bytes = sum_bytes (fleet);
  uint64_t start_calls = fleet->calls;
  double start_cpu_us = bt_read_cpu_us ();
  double node_seconds = (double)fleet->trial->entries * IDLE_MS / MS_PER_S;

  run_for (fleet, IDLE_MS);
  metrics->idle_bytes_s = (double)(sum_bytes (fleet) - start_bytes) / node_seconds;
  metrics->idle_calls_s = (double)(fleet->calls - start_calls) * MS_PER_S / IDLE_MS;
  metrics->idle_cpu_us_s = (bt_read_cpu_us () - start_cpu_us) / node_seconds;
}

static void
measure_changes (fleet_t *fleet, bt_sync_metrics_t *metrics)
{
  int32_t changes = fleet->trial->changes;
  int64_t *times_ms = bt_calloc (fleet->ctx, (size_t)changes, sizeof *times_ms);
  int64_t start_bytes = sum_bytes (fleet);
  uint64_t start_calls = fleet->calls;
  int64_t start_ms = fleet->now_ms;
  double start_cpu_us = bt_read_cpu_us ();
  double seconds;
  double entry_changes = (double)fleet->trial->entries * changes;

  for (int32_t i = 0; i < changes; i++)
    times_ms[i] = measure_change (fleet);
  seconds = (double)(fleet->now_ms - start_ms) / MS_PER_S;
  metrics->change_bytes = ((double)(sum_bytes (fleet) - start_bytes)
                           - metrics->idle_bytes_s * seconds * fleet->trial->entries)
                          / entry_changes;
  metrics->change_calls =
      ((double)(fleet->calls - start_calls) - metrics->idle_calls_s * seconds) / changes;
  metrics->change_cpu_us =
      (bt_read_cpu_us () - start_cpu_us - metrics->idle_cpu_us_s * seconds * fleet->trial->entries)
      / entry_changes;
  qsort (times_ms, (size_t)changes, sizeof *times_ms, compare_times);
  metrics->p50_ms = times_ms[changes / 2];
  metrics->p99_ms = times_ms[changes * 99 / 100];
  metrics->worst_ms = times_ms[changes - 1];
  bt_free (fleet->ctx, times_ms);
}

/* Measures the calls while the store is down, and after it is back. */
static void
measure_outage (fleet_t *fleet, bt_sync_metrics_t *metrics)
{
  uint64_t calls;

  fleet->store_down = true;
  run_for (fleet, SETTLE_MS);
  calls = fleet->calls;
  run_for (fleet, OUTAGE_MS);
  metrics->outage_calls_s = (double)(fleet->calls - calls) * MS_PER_S / OUTAGE_MS;
  fleet->store_down = false;
  for (int32_t i = 0; i < RECOVERY_S; i++)
    {
      calls = fleet->calls;
      run_for (fleet, MS_PER_S);
      if ((double)(fleet->calls - calls) > metrics->recovery_calls)
        metrics->recovery_calls = (double)(fleet->calls - calls);
    }
}

/* Selects links as the instances do: either end may choose a link, and a small fleet is fully
 * meshed. Returns the mean number of links per entry. */
static double
choose_links (fleet_t *fleet)
{
  int32_t count = fleet->trial->entries;
  bt_subset_candidate_t *candidates = bt_calloc (fleet->ctx, (size_t)count, sizeof *candidates);
  int32_t links = 0;

  for (int32_t i = 0; i < count; i++)
    {
      snprintf (candidates[i].instance, BT_NAME_BYTES, "entry-%d", (int)i);
      snprintf (candidates[i].failure_domain, BT_NAME_BYTES, "domain-%d", (int)i % DOMAINS);
      bt_copy_name (fleet->members[i].instance, candidates[i].instance);
      bt_copy_name (fleet->members[i].failure_domain, candidates[i].failure_domain);
    }
  for (int32_t i = 0; i < count; i++)
    {
      int32_t chosen[BT_AGENT_LINKS];
      int32_t chosen_count = bt_choose_subset (fleet->ctx, candidates[i].instance, candidates,
                                               count, BT_AGENT_LINKS, chosen);

      for (int32_t j = 0; j < chosen_count; j++)
        if (chosen[j] != i)
          fleet->neighbors[i * count + chosen[j]] = fleet->neighbors[chosen[j] * count + i] = true;
    }
  for (int32_t i = 0; i < count * count; i++)
    links += fleet->neighbors[i] ? 1 : 0;
  bt_free (fleet->ctx, candidates);
  return (double)links / count;
}

static void
drop_fleet (fleet_t *fleet)
{
  bt_context_t *ctx = fleet->ctx;

  for (int32_t i = 0; i < fleet->trial->entries; i++)
    bt_drop_config_sync (ctx, fleet->nodes[i].sync);
  for (int32_t i = 0; i < WHEEL_MS; i++)
    while (fleet->wheel[i] != NULL)
      {
        event_t *event = fleet->wheel[i];

        fleet->wheel[i] = event->next;
        bt_clear_documents (ctx, &event->documents);
        bt_free (ctx, event);
      }
  for (int32_t i = 0; i < fleet->trial->documents; i++)
    bt_drop_document (ctx, fleet->documents[i]);
  bt_free (ctx, fleet->nodes);
  bt_free (ctx, fleet->neighbors);
  bt_free (ctx, fleet->members);
  bt_free (ctx, fleet->documents);
  bt_free (ctx, fleet);
}

void
bt_run_sync_trial (bt_context_t *ctx, const bt_sync_trial_t *trial, bt_sync_metrics_t *metrics)
{
  fleet_t *fleet = bt_calloc (ctx, 1, sizeof *fleet);
  size_t count = (size_t)trial->entries;

  memset (metrics, 0, sizeof *metrics);
  fleet->ctx = ctx;
  fleet->trial = trial;
  fleet->now_ms = START_MS;
  fleet->revision = 1;
  bt_seed_random (&fleet->random, count);
  fleet->nodes = bt_calloc (ctx, count, sizeof *fleet->nodes);
  fleet->neighbors = bt_calloc (ctx, count * count, sizeof *fleet->neighbors);
  fleet->members = bt_calloc (ctx, count, sizeof *fleet->members);
  fleet->documents = bt_calloc (ctx, (size_t)trial->documents, sizeof (bt_document_t *));
  metrics->peers = choose_links (fleet);
  for (int32_t i = 0; i < trial->documents; i++)
    write_document (fleet, i);
  for (int32_t i = 0; i < trial->entries; i++)
    start_node (fleet, i);
  run_for (fleet, WARM_UP_MS);
  measure_idle (fleet, metrics);
  measure_changes (fleet, metrics);
  measure_outage (fleet, metrics);
  drop_fleet (fleet);
}
