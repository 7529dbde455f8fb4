#ifndef BT_TEST_CORE_REQUEST_SIMULATION_H
#define BT_TEST_CORE_REQUEST_SIMULATION_H

/** @file
 * State of the request schedule simulation, and its network.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/requests/arbiter.h"
#include "bilberrytray/requests/delivery.h"

/* Simulates entry instances, agents, endpoints and callers in one thread, driven by a seed.
 * Messages are lost, delayed, duplicated and reordered, links break, processes restart and pause.
 * The runs of each request are counted and compared with the outcome that its callers were given.
 */

enum
{
  ENTRIES = 2,
  AGENTS = 3,
  MAX_REQUESTS = 6,
  MAX_SUBMISSIONS = 12,
  MAX_RUNS = 128,
  MAX_MESSAGES = 4096,
  MAX_TEXT = 256,
  PIECE_TEXT = 24,
};

typedef enum event_kind
{
  TO_AGENT_DISPATCH = 0,
  TO_AGENT_GRANT,
  TO_AGENT_TOMBSTONE,
  TO_AGENT_CANCEL,
  TO_ENTRY,
  RUN_BEGINS,
  RUN_EVENT,
  LINK_UP,
  LINK_DOWN_AT_ENTRY,
  LINK_DOWN_AT_AGENT,
  SUBMISSION,
  CALLER_LEAVES,
  ENTRY_RESTARTS,
  ENTRY_PAUSES,
  AGENT_RESTARTS,
  AGENT_PAUSES,
  AGENT_LEAVES,
  TICK,
} event_kind_t;

typedef struct event
{
  int64_t at;
  uint64_t order;
  event_kind_t kind;
  int32_t entry;
  int32_t agent;
  int32_t index; /* index of a submission or run */
  uint64_t link;
  uint64_t incarnation; /* of the agent that started a run */
  bt_reply_path_t path;
  bt_dispatch_t dispatch;
  bt_grant_request_t grant_request;
  bt_tombstone_request_t tombstone_request;
  bt_reply_t reply;
  bt_run_event_t run_event;
  char data[PIECE_TEXT];
} event_t;

typedef struct agent
{
  bt_identity_t self;
  bt_arbiter_t *arbiter;
  int64_t clock_offset;
  int64_t paused_until;
} agent_t;

typedef struct entry
{
  uint64_t links[AGENTS];        /* 0: down */
  uint64_t incarnations[AGENTS]; /* of the agent, as of the hello on the link */
  int64_t clock_offset;
  int64_t paused_until;
  uint64_t last_call;
} entry_t;

typedef struct request
{
  bool keyed;
  bool idempotent;
  bt_ticket_t ticket;
  int32_t runs; /* times that endpoints ran it */
  int32_t pieces;
} request_t;

typedef struct submission
{
  int32_t request;
  int32_t entry;
  uint64_t call_id;
  bt_delivery_t *call; /* NULL: not submitted yet, or lost with its entry instance */
  int32_t retries;
  bool finished;
  bool complete;
  bool aborted;
  bt_outcome_t outcome;
  bt_reason_t reason;
  char text[MAX_TEXT]; /* what the caller received */
} submission_t;

typedef struct run
{
  int32_t agent;
  uint64_t incarnation;
  uint64_t id;
  int32_t request;
  int32_t generation; /* 0: has not begun */
  bool cancelled;
} run_t;

typedef struct sim
{
  bt_context_t *ctx;
  bt_random_t random;
  uint32_t faults;
  int64_t now;
  uint64_t last_order;
  uint64_t last_link;
  uint64_t last_incarnation;
  agent_t agents[AGENTS];
  entry_t entries[ENTRIES];
  request_t requests[MAX_REQUESTS];
  int32_t request_count;
  submission_t submissions[MAX_SUBMISSIONS];
  int32_t submission_count;
  run_t runs[MAX_RUNS];
  int32_t run_count;
  event_t *events[MAX_MESSAGES];
  int32_t event_count;
  bool reorders_messages;
  uint64_t loss_percent;
  uint64_t slow_percent;
  int64_t last_to_entry[ENTRIES][AGENTS];
  int64_t last_to_agent[ENTRIES][AGENTS];
  char violation[MAX_TEXT];
} simulation_t;

/** Totals over many schedules. */
typedef struct tally
{
  uint64_t submissions;
  uint64_t outcomes[3];
  uint64_t aborted;
  uint64_t orphaned; /* lost when their entry instance restarted */
  uint64_t runs;
  uint64_t reasons[BT_REASON_COUNT];
} tally_t;

enum
{
  TICK_MS = 20,
  SCHEDULE_MS = 6000,
  NEVER_MS = 60000,
  FAULT_PERIOD_MS = 3000,
  TICKET_LIFE_MS = 1500,
  CLOCK_SPREAD_MS = 20000,
  DEADLINE_MS = 900,
  PERCENT = 100,
  GUARDED_SEEDS = 3000,
  FAULT_SEEDS = 2000,
  MAX_BUDGET = 3,
};

static bool
chance (simulation_t *sim, uint64_t percent)
{
  return bt_random_below (&sim->random, PERCENT) < percent;
}

static int32_t
pick (simulation_t *sim, int32_t bound)
{
  return (int32_t)bt_random_below (&sim->random, (uint64_t)bound);
}

static event_t *
add_event (simulation_t *sim, event_kind_t kind, int64_t delay_ms)
{
  event_t *event;

  if (sim->event_count == MAX_MESSAGES)
    abort ();
  event = bt_calloc (sim->ctx, 1, sizeof *event);
  event->kind = kind;
  event->at = sim->now + delay_ms;
  event->order = ++sim->last_order;
  sim->events[sim->event_count++] = event;
  return event;
}

static event_t *
take_next_event (simulation_t *sim)
{
  int32_t best = 0;
  event_t *event;

  for (int32_t i = 1; i < sim->event_count; i++)
    if (sim->events[i]->at < sim->events[best]->at
        || (sim->events[i]->at == sim->events[best]->at
            && sim->events[i]->order < sim->events[best]->order))
      best = i;
  event = sim->events[best];
  sim->events[best] = sim->events[--sim->event_count];
  return event;
}

/* Most messages arrive quickly; some are delayed by more than the time limits of the protocol. */
static int64_t
draw_delay (simulation_t *sim)
{
  if (chance (sim, sim->slow_percent))
    return 100 + pick (sim, 3000);
  return 1 + pick (sim, chance (sim, 15) ? 120 : 6);
}

/* Keeps messages of one connection in order, except in schedules that shuffle all messages. */
static void
keep_order (simulation_t *sim, event_t *event)
{
  int64_t *last = event->kind == TO_ENTRY ? &sim->last_to_entry[event->entry][event->agent]
                                          : &sim->last_to_agent[event->entry][event->agent];

  if (sim->reorders_messages)
    return;
  if (event->at < *last)
    event->at = *last;
  *last = event->at;
}

/* Delivers, loses or duplicates a message. A request without a key is never duplicated: a
 * connection does not deliver a message twice, and a request without a key is never resent. */
static void
send_message (simulation_t *sim, event_t *event, bool may_duplicate)
{
  event_t *duplicate;

  event->at = sim->now + draw_delay (sim);
  if (chance (sim, sim->loss_percent))
    event->at = NEVER_MS;
  else
    keep_order (sim, event);
  if (!may_duplicate || !chance (sim, 5))
    return;
  duplicate = add_event (sim, event->kind, 0);
  *duplicate = *event;
  duplicate->order = ++sim->last_order;
  duplicate->at = sim->now + draw_delay (sim);
}

static int64_t
agent_now (const simulation_t *sim, int32_t agent)
{
  return sim->now + sim->agents[agent].clock_offset;
}

static int64_t
entry_now (const simulation_t *sim, int32_t entry)
{
  return sim->now + sim->entries[entry].clock_offset;
}

#endif
