#include "harness_spread.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/core/subset.h"
#include "harness_cpu.h"

enum
{
  RING_MS = 8192,
  TICK_MS = 20,
  WARM_MS = 15000,
  IDLE_MS = 30000,
  IDLE_LINK_MS = 1500,
  START_MS = 100000,
  REPLACE_MS = 1000,
  FAILURE_MS = 300,
  OUTAGE_MS = 60000,
  SETTLE_MS = 10000,
  AFTER_S = 60,
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
  int32_t from; /**< -1: the operator or the service. */
  int32_t to;
  uint64_t from_start;
  uint64_t to_start;
  int64_t due_ms;
  bt_sync_heartbeat_t heartbeat;
  bt_document_list_t documents;
  int64_t low;
  int64_t high;
  bool whole;
  uint64_t request;
  struct event *next;
} event_t;

typedef struct node
{
  bt_identity_t identity;
  bt_config_sync_t *spread;
  int64_t dead_until_ms; /**< 0 while it lives. */
  int64_t sent_bytes;
} node_t;

typedef struct fleet
{
  bt_context_t *ctx;
  const bt_spread_trial_t *trial;
  bt_random_t random;
  int64_t now_ms;
  uint64_t starts;
  node_t *nodes;
  bool *near;
  bt_sync_member_t *members;
  bt_document_t **documents;
  int64_t revision;
  uint64_t calls;
  bool down;
  event_t *ring[RING_MS];
} fleet_t;

static bool
is_near (const fleet_t *fleet, int32_t left, int32_t right)
{
  return fleet->near[left * fleet->trial->entries + right];
}

static event_t *
add_event (fleet_t *fleet, event_kind_t kind, int32_t from, int32_t to, int64_t delay_ms)
{
  event_t *event = bt_calloc (fleet->ctx, 1, sizeof *event);
  event_t **place;

  event->kind = kind;
  event->from = from;
  event->to = to;
  event->from_start = from < 0 ? 0 : fleet->nodes[from].identity.incarnation;
  event->to_start = fleet->nodes[to].identity.incarnation;
  event->due_ms = fleet->now_ms + (delay_ms < 1 ? 1 : delay_ms);
  place = &fleet->ring[event->due_ms % RING_MS];
  event->next = *place;
  *place = event;
  return event;
}

static bool
is_lost (fleet_t *fleet)
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
send_link (fleet_t *fleet, int32_t from, const bt_sync_action_t *action)
{
  static const bt_trial_frame_t frames[] = { [BT_SYNC_PUSH] = BT_TRIAL_PUSH,
                                             [BT_SYNC_PULL] = BT_TRIAL_PULL,
                                             [BT_SYNC_IN_FORCE] = BT_TRIAL_IN_FORCE };
  const bt_spread_trial_t *trial = fleet->trial;
  int32_t to = find_node (fleet, &action->peer);
  event_t *event;

  fleet->nodes[from].sent_bytes +=
      trial->count_bytes (trial->count_data, frames[action->kind], NULL, &action->documents);
  if (to < 0 || action->kind == BT_SYNC_IN_FORCE || is_lost (fleet))
    return;
  event = add_event (fleet, action->kind == BT_SYNC_PUSH ? EVENT_PUSH : EVENT_PULL, from, to,
                     trial->latency_ms);
  event->low = action->kind == BT_SYNC_PULL ? action->since : action->from;
  event->high = action->to;
  event->whole = action->whole;
  for (int32_t i = 0; i < action->documents.count; i++)
    bt_add_document (fleet->ctx, &event->documents, action->documents.items[i]);
}

static void
answer_read (fleet_t *fleet, int32_t to, int64_t since)
{
  event_t *event = add_event (fleet, EVENT_READ, -1, to, 2 * fleet->trial->latency_ms);

  event->high = fleet->revision;
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
      if (fleet->down && (action->kind == BT_SYNC_READ || action->kind == BT_SYNC_WATCH))
        add_event (fleet, EVENT_FAILURE, -1, node, FAILURE_MS);
      else if (action->kind == BT_SYNC_READ)
        answer_read (fleet, node, action->since);
      else if (action->kind == BT_SYNC_WATCH)
        add_event (fleet, EVENT_WATCH, -1, node, action->wait_ms);
      else if (action->kind != BT_SYNC_APPLY)
        send_link (fleet, node, action);
    }
  bt_clear_sync_actions (fleet->ctx, actions);
}

static void
deliver (fleet_t *fleet, const event_t *event)
{
  bt_config_sync_t *spread = fleet->nodes[event->to].spread;
  bt_sync_push_t push = { &event->documents, event->low, event->high, event->whole,
                          event->request };
  bt_identity_t source = { "operator", 1 };
  bt_sync_actions_t actions = { 0 };

  if (spread == NULL || event->to_start != fleet->nodes[event->to].identity.incarnation)
    return;
  if (event->from >= 0)
    {
      source = fleet->nodes[event->from].identity;
      source.incarnation = event->from_start;
    }
  if (event->kind == EVENT_HEARTBEAT)
    bt_handle_sync_heartbeat (fleet->ctx, spread, &source, &event->heartbeat, fleet->now_ms,
                              &actions);
  else if (event->kind == EVENT_PUSH)
    bt_handle_sync_push (fleet->ctx, spread, &source, &push, fleet->now_ms, &actions);
  else if (event->kind == EVENT_PULL)
    bt_handle_sync_pull (fleet->ctx, spread, &source, event->low, &actions);
  else if (event->kind == EVENT_READ)
    bt_handle_store_read (fleet->ctx, spread, event->high, &event->documents, fleet->now_ms,
                          &actions);
  else if (event->kind == EVENT_FAILURE)
    bt_handle_store_failure (fleet->ctx, spread, fleet->now_ms);
  else
    bt_handle_store_watch (fleet->ctx, spread, true, fleet->now_ms, &actions);
  run_actions (fleet, event->to, &actions);
}

static void
beat (fleet_t *fleet, int32_t node)
{
  const bt_spread_trial_t *trial = fleet->trial;

  for (int32_t peer = 0; peer < trial->entries; peer++)
    {
      bt_sync_heartbeat_t heartbeat;

      if (!is_near (fleet, node, peer) || fleet->nodes[peer].spread == NULL)
        continue;
      bt_make_sync_heartbeat (fleet->nodes[node].spread, &fleet->nodes[peer].identity,
                              fleet->now_ms, &heartbeat);
      fleet->nodes[node].sent_bytes +=
          trial->count_bytes (trial->count_data, BT_TRIAL_HEARTBEAT, &heartbeat, NULL);
      if (!is_lost (fleet))
        add_event (fleet, EVENT_HEARTBEAT, node, peer, trial->latency_ms)->heartbeat = heartbeat;
    }
}

static void
open_links (fleet_t *fleet, int32_t node)
{
  for (int32_t peer = 0; peer < fleet->trial->entries; peer++)
    {
      bt_sync_actions_t actions = { 0 };

      if (!is_near (fleet, node, peer) || fleet->nodes[peer].spread == NULL)
        continue;
      bt_open_sync_link (fleet->ctx, fleet->nodes[node].spread, &fleet->nodes[peer].identity,
                         fleet->now_ms, &actions);
      run_actions (fleet, node, &actions);
      bt_open_sync_link (fleet->ctx, fleet->nodes[peer].spread, &fleet->nodes[node].identity,
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
  node->identity.incarnation = ++fleet->starts;
  node->dead_until_ms = 0;
  node->spread =
      bt_new_config_sync (fleet->ctx, &node->identity, &settings, fleet->starts, fleet->now_ms);
  for (int32_t i = 0; i < fleet->trial->entries; i++)
    fleet->members[i].near = is_near (fleet, index, i);
  bt_set_sync_members (fleet->ctx, node->spread, fleet->members, fleet->trial->entries);
  open_links (fleet, index);
}

static void
kill_node (fleet_t *fleet, int32_t index)
{
  node_t *node = &fleet->nodes[index];

  bt_drop_config_sync (fleet->ctx, node->spread);
  node->spread = NULL;
  node->dead_until_ms = fleet->now_ms + REPLACE_MS;
  for (int32_t peer = 0; peer < fleet->trial->entries; peer++)
    if (is_near (fleet, peer, index) && fleet->nodes[peer].spread != NULL)
      bt_close_sync_link (fleet->ctx, fleet->nodes[peer].spread, &node->identity);
}

static void
step (fleet_t *fleet)
{
  event_t **place;

  fleet->now_ms++;
  place = &fleet->ring[fleet->now_ms % RING_MS];
  while (*place != NULL)
    {
      event_t *event = *place;

      *place = event->next;
      deliver (fleet, event);
      bt_clear_documents (fleet->ctx, &event->documents);
      bt_free (fleet->ctx, event);
    }
  for (int32_t i = 0; i < fleet->trial->entries; i++)
    {
      bt_sync_actions_t actions = { 0 };
      node_t *node = &fleet->nodes[i];

      if (node->spread == NULL && fleet->now_ms >= node->dead_until_ms)
        start_node (fleet, i);
      if (node->spread == NULL)
        continue;
      if ((fleet->now_ms + i) % TICK_MS == 0)
        bt_tick_config_sync (fleet->ctx, node->spread, fleet->now_ms, &actions);
      run_actions (fleet, i, &actions);
      if ((fleet->now_ms + (int64_t)i * 7) % fleet->trial->beat_ms == 0)
        beat (fleet, i);
    }
}

static void
run (fleet_t *fleet, int64_t wait_ms)
{
  for (int64_t i = 0; i < wait_ms; i++)
    step (fleet);
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

/* A write of the service ends the watches that wait. */
static void
wake_watches (fleet_t *fleet)
{
  event_t *woken = NULL;

  if (fleet->trial->fault == BT_TRIAL_SILENT_WATCH)
    return;
  for (int32_t i = 0; i < RING_MS; i++)
    for (event_t **place = &fleet->ring[i]; *place != NULL;)
      {
        event_t *event = *place;

        if (event->kind != EVENT_WATCH || event->due_ms <= fleet->now_ms)
          {
            place = &event->next;
            continue;
          }
        *place = event->next;
        event->next = woken;
        woken = event;
      }
  while (woken != NULL)
    {
      event_t *event = woken;

      woken = event->next;
      add_event (fleet, EVENT_WATCH, -1, event->to, fleet->trial->latency_ms)->to_start =
          event->to_start;
      bt_free (fleet->ctx, event);
    }
}

/* The operator has the answer and the read-back, and hands over. */
static void
hand_over (fleet_t *fleet, int32_t index)
{
  if (fleet->trial->fault >= BT_TRIAL_NO_HAND_OVER)
    return;
  for (int32_t i = 0; i < fleet->trial->entries; i++)
    {
      event_t *event;

      if (is_lost (fleet) || fleet->nodes[i].spread == NULL)
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
    if (fleet->nodes[i].spread != NULL
        && bt_get_table_revision (bt_get_sync_table (fleet->nodes[i].spread)) < fleet->revision)
      return false;
  return true;
}

static int64_t
change_once (fleet_t *fleet)
{
  int32_t index = (int32_t)bt_random_below (&fleet->random, (uint64_t)fleet->trial->documents);
  int64_t begun_ms = fleet->now_ms;
  int64_t taken_ms = -1;

  write_document (fleet, index);
  wake_watches (fleet);
  hand_over (fleet, index);
  if (fleet->trial->fault == BT_TRIAL_KILL)
    kill_node (fleet, (int32_t)bt_random_below (&fleet->random, (uint64_t)fleet->trial->entries));
  while (fleet->now_ms - begun_ms < fleet->trial->gap_ms)
    {
      step (fleet);
      if (taken_ms < 0 && is_in_force (fleet))
        taken_ms = fleet->now_ms - begun_ms;
    }
  while (taken_ms < 0)
    {
      step (fleet);
      if (is_in_force (fleet))
        taken_ms = fleet->now_ms - begun_ms;
    }
  return taken_ms;
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
measure_idle (fleet_t *fleet, bt_spread_figures_t *figures)
{
  int64_t bytes = sum_bytes (fleet);
  uint64_t calls = fleet->calls;
  double cpu_us = bt_read_cpu_us ();
  double node_seconds = (double)fleet->trial->entries * IDLE_MS / MS_PER_S;

  run (fleet, IDLE_MS);
  figures->idle_bytes_s = (double)(sum_bytes (fleet) - bytes) / node_seconds;
  figures->idle_calls_s = (double)(fleet->calls - calls) * MS_PER_S / IDLE_MS;
  figures->idle_cpu_us_s = (bt_read_cpu_us () - cpu_us) / node_seconds;
}

static void
measure_changes (fleet_t *fleet, bt_spread_figures_t *figures)
{
  int32_t changes = fleet->trial->changes;
  int64_t *times = bt_calloc (fleet->ctx, (size_t)changes, sizeof *times);
  int64_t bytes = sum_bytes (fleet);
  uint64_t calls = fleet->calls;
  int64_t begun_ms = fleet->now_ms;
  double cpu_us = bt_read_cpu_us ();
  double seconds;
  double shares = (double)fleet->trial->entries * changes;

  for (int32_t i = 0; i < changes; i++)
    times[i] = change_once (fleet);
  seconds = (double)(fleet->now_ms - begun_ms) / MS_PER_S;
  figures->change_bytes = ((double)(sum_bytes (fleet) - bytes)
                           - figures->idle_bytes_s * seconds * fleet->trial->entries)
                          / shares;
  figures->change_calls =
      ((double)(fleet->calls - calls) - figures->idle_calls_s * seconds) / changes;
  figures->change_cpu_us =
      (bt_read_cpu_us () - cpu_us - figures->idle_cpu_us_s * seconds * fleet->trial->entries)
      / shares;
  qsort (times, (size_t)changes, sizeof *times, compare_times);
  figures->p50_ms = times[changes / 2];
  figures->p99_ms = times[changes * 99 / 100];
  figures->worst_ms = times[changes - 1];
  bt_free (fleet->ctx, times);
}

/* The service is down for a while, and comes back. */
static void
measure_outage (fleet_t *fleet, bt_spread_figures_t *figures)
{
  uint64_t calls;

  fleet->down = true;
  run (fleet, SETTLE_MS);
  calls = fleet->calls;
  run (fleet, OUTAGE_MS);
  figures->outage_calls_s = (double)(fleet->calls - calls) * MS_PER_S / OUTAGE_MS;
  fleet->down = false;
  for (int32_t i = 0; i < AFTER_S; i++)
    {
      calls = fleet->calls;
      run (fleet, MS_PER_S);
      if ((double)(fleet->calls - calls) > figures->after_calls)
        figures->after_calls = (double)(fleet->calls - calls);
    }
}

/* Links as the instances choose them: by either end, all to all in a small fleet. */
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
      int32_t given = bt_choose_subset (fleet->ctx, candidates[i].instance, candidates, count,
                                        BT_AGENT_LINKS, chosen);

      for (int32_t j = 0; j < given; j++)
        if (chosen[j] != i)
          fleet->near[i * count + chosen[j]] = fleet->near[chosen[j] * count + i] = true;
    }
  for (int32_t i = 0; i < count * count; i++)
    links += fleet->near[i] ? 1 : 0;
  bt_free (fleet->ctx, candidates);
  return (double)links / count;
}

static void
drop_fleet (fleet_t *fleet)
{
  bt_context_t *ctx = fleet->ctx;

  for (int32_t i = 0; i < fleet->trial->entries; i++)
    bt_drop_config_sync (ctx, fleet->nodes[i].spread);
  for (int32_t i = 0; i < RING_MS; i++)
    while (fleet->ring[i] != NULL)
      {
        event_t *event = fleet->ring[i];

        fleet->ring[i] = event->next;
        bt_clear_documents (ctx, &event->documents);
        bt_free (ctx, event);
      }
  for (int32_t i = 0; i < fleet->trial->documents; i++)
    bt_drop_document (ctx, fleet->documents[i]);
  bt_free (ctx, fleet->nodes);
  bt_free (ctx, fleet->near);
  bt_free (ctx, fleet->members);
  bt_free (ctx, fleet->documents);
  bt_free (ctx, fleet);
}

void
bt_run_spread_trial (bt_context_t *ctx,
                     const bt_spread_trial_t *trial,
                     bt_spread_figures_t *figures)
{
  fleet_t *fleet = bt_calloc (ctx, 1, sizeof *fleet);
  size_t count = (size_t)trial->entries;

  memset (figures, 0, sizeof *figures);
  fleet->ctx = ctx;
  fleet->trial = trial;
  fleet->now_ms = START_MS;
  fleet->revision = 1;
  bt_seed_random (&fleet->random, count);
  fleet->nodes = bt_calloc (ctx, count, sizeof *fleet->nodes);
  fleet->near = bt_calloc (ctx, count * count, sizeof *fleet->near);
  fleet->members = bt_calloc (ctx, count, sizeof *fleet->members);
  fleet->documents = bt_calloc (ctx, (size_t)trial->documents, sizeof (bt_document_t *));
  figures->peers = choose_links (fleet);
  for (int32_t i = 0; i < trial->documents; i++)
    write_document (fleet, i);
  for (int32_t i = 0; i < trial->entries; i++)
    start_node (fleet, i);
  run (fleet, WARM_MS);
  measure_idle (fleet, figures);
  measure_changes (fleet, figures);
  measure_outage (fleet, figures);
  drop_fleet (fleet);
}
