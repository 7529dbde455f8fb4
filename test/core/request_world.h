#ifndef BT_TEST_CORE_REQUEST_WORLD_H
#define BT_TEST_CORE_REQUEST_WORLD_H

/** @file
 * A world of entries, agents, endpoints and callers in one thread, driven by a seed: messages are
 * lost, delayed, doubled and reordered, links die, processes restart and pause. What endpoints ran
 * is logged by request and compared with what callers were told.
 */

#include "bilberrytray/base.h"
#include "bilberrytray/core/arbiter.h"
#include "bilberrytray/core/call.h"

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
  LINK_OPENS,
  LINK_DIES_AT_ENTRY,
  LINK_DIES_AT_AGENT,
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
  int32_t item; /* submission or run */
  uint64_t link;
  uint64_t incarnation; /* of the agent that started a run */
  bt_reply_path_t path;
  bt_dispatch_t dispatch;
  bt_grant_request_t grant_request;
  bt_tombstone_request_t tombstone;
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
  uint64_t incarnations[AGENTS]; /* what the hello of the link named */
  int64_t clock_offset;
  int64_t paused_until;
  uint64_t last_call;
} entry_t;

typedef struct request
{
  bool keyed;
  bool idempotent;
  bt_ticket_t ticket;
  int32_t runs; /* what the endpoints' log says */
  int32_t pieces;
} request_t;

typedef struct submission
{
  int32_t request;
  int32_t entry;
  uint64_t call_id;
  bt_call_t *call; /* NULL: not yet, or lost with its entry */
  int32_t retries;
  bool finished;
  bool whole;
  bool cut;
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

typedef struct world
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
  bool shuffles;
  uint64_t loss_percent;
  uint64_t slow_percent;
  int64_t last_to_entry[ENTRIES][AGENTS];
  int64_t last_to_agent[ENTRIES][AGENTS];
  bool trace;
  char violation[MAX_TEXT];
} world_t;

/** What many schedules came to. */
typedef struct tally
{
  uint64_t submissions;
  uint64_t outcomes[3];
  uint64_t cut;
  uint64_t orphaned; /* lost with their entry */
  uint64_t runs;
  uint64_t reasons[BT_REASON_COUNT];
} tally_t;

/** Runs one schedule; false with world->violation set when a promise was broken. */
bool run_schedule (world_t *world, uint64_t seed, uint32_t faults, tally_t *tally);

#endif
