#ifndef BILBERRYTRAY_BENCH_HARNESS_WORLD_H
#define BILBERRYTRAY_BENCH_HARNESS_WORLD_H

/** @file
 * The fake surroundings of the policy bench: a clock that jumps from event to event, endpoints that
 * are queues with slots, groups of ranks in lock-step, messages with delay, and faults. No threads,
 * no sockets; the same seed gives the same run.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/load/run_queue.h"

enum
{
  ENTRIES = 8,
  MAX_ENDPOINTS = 512,
  MAX_SLOTS = 16,
  MAX_ACCOUNTS = 256,
  MAX_FAULTS = 4,
  CACHE_PREFIXES = 6,
  CACHED_PREFILL_STEPS = 4,
  FIFO_LIMIT = 64,
  SECOND_US = 1000000,
  MS_US = 1000,
};

/** What goes wrong with endpoints during a run. */
typedef enum fault_kind
{
  FAULT_SLOW = 0, /**< Steps of the group take five times as long. */
  FAULT_DEAD,     /**< The instance is gone: links die after the idle limit. */
  FAULT_SILENT,   /**< Takes requests, reports load, never answers. */
  FAULT_FLAPPING, /**< Dead and back, again and again. */
} fault_kind_t;

typedef struct fault
{
  fault_kind_t kind;
  int32_t first; /**< Endpoints first .. first + count - 1. */
  int32_t count;
  int64_t from_ms;
  int64_t to_ms;
} fault_t;

/** One run's surroundings and load. */
typedef struct scenario
{
  const char *name;
  int32_t endpoints;
  int32_t ranks; /**< Of a group. */
  int32_t domains;
  int32_t slots;
  int32_t accounts;
  int32_t large;         /**< Accounts 0 .. large - 1 are large. */
  double large_share;    /**< Of the demand, in all. */
  double base_load;      /**< Demand outside the burst, of capacity. */
  double burst_load;     /**< Demand in the burst, of capacity. */
  bool burst_large_only; /**< Only the large accounts take part in the burst. */
  int64_t burst_from_ms;
  int64_t burst_to_ms;
  int64_t length_ms;
  int64_t deadline_min_ms;
  int64_t deadline_max_ms;
  int64_t lag_min_ms; /**< Of load reports. */
  int64_t lag_max_ms;
  int32_t cache_loss_percent; /**< Of cache events. */
  int32_t prefixes;
  int32_t prefill_steps; /**< Of a prefix that is not cached. */
  int32_t output_min;
  int32_t output_max;
  int64_t step_us;    /**< Of an idle rank. */
  int64_t request_us; /**< Added to a rank's step by each request it runs. */
  int64_t latency_us; /**< One way, entry to agent. */
  fault_t faults[MAX_FAULTS];
  int32_t fault_count;
} scenario_t;

/** How a request ended. */
typedef enum ending
{
  ENDING_NONE = 0,
  ENDING_GOOD,    /**< Whole answer within the deadline. */
  ENDING_LATE,    /**< Whole answer after it. */
  ENDING_REFUSED, /**< Not run, and said so. */
  ENDING_UNKNOWN, /**< May have run. */
} ending_t;

/** One caller's request. */
typedef struct request
{
  int64_t arrive_us;
  int64_t deadline_us;
  int64_t sent_us;
  int64_t start_us;
  int64_t first_token_us;
  uint64_t prefix;
  int32_t account;
  int32_t entry;
  int32_t output;
  int32_t attempt;
  int32_t endpoint; /**< Of the attempt in flight; -1: none. */
  int32_t tried[3];
  int32_t tried_count;
  bool idempotent;
  bool needless;
  bool waiting; /**< In an entry's or an agent's queue. */
  ending_t ending;
  bt_reason_t reason;
  int64_t end_us;
  bt_route_t route;
} request_t;

/** A request in a slot. */
typedef struct run
{
  int32_t request;
  int32_t attempt;
  int32_t prefill_left;
  int32_t output_left;
} run_t;

typedef struct endpoint
{
  int32_t group;
  int32_t domain;
  bool dead;
  bool silent;
  uint64_t incarnation;
  run_t runs[MAX_SLOTS];
  int32_t running;
  bt_run_queue_t *queue;
  int32_t fifo[FIFO_LIMIT];
  int32_t fifo_count;
  uint64_t cache[CACHE_PREFIXES]; /**< Most recently used first. */
} endpoint_t;

typedef struct group
{
  int32_t first;
  int32_t ranks;
  int32_t slow; /**< Factor on the step time. */
  bool stepping;
} group_t;

typedef enum event_kind
{
  EVENT_ARRIVE = 0,
  EVENT_AT_AGENT,
  EVENT_AT_ENTRY,
  EVENT_STEP,
  EVENT_REPORT,
  EVENT_LOAD,
  EVENT_CACHE,
  EVENT_TICK,
  EVENT_FAULT,
  EVENT_HEAL,
  EVENT_LINK_DOWN,
  EVENT_LINK_UP,
  EVENT_SILENCE,
} event_kind_t;

typedef struct event
{
  int64_t at_us;
  uint64_t number;
  event_kind_t kind;
  int32_t request;
  int32_t endpoint;
  int32_t entry;
  int32_t attempt;
  bt_attempt_end_t end;
  bt_reason_t reason;
  bt_load_t load;
  uint64_t value;
} event_t;

typedef struct world world_t;

/** A way to admit and route; the first member of its state points here. */
typedef struct policy
{
  const char *name;
  bool fair_agent;  /**< Agents use the core's run queue; otherwise first come, first served. */
  bool omniscient;  /**< Starts requests itself; agents do nothing. */
  bool clairvoyant; /**< Knows the lengths of answers too. */
  void *(*start) (world_t *world);
  void (*stop) (world_t *world, void *state);
  void (*arrive) (world_t *world, void *state, int32_t request);
  void (*reply) (world_t *world, void *state, const event_t *event);
  void (*load) (world_t *world, void *state, const event_t *event);
  void (*cache) (world_t *world, void *state, const event_t *event);
  void (*link) (world_t *world, void *state, const event_t *event);
  void (*tick) (world_t *world, void *state, int32_t entry);
} policy_t;

/** Sums over one run. */
typedef struct sums
{
  int64_t steps;
  double skew;
  int64_t starts;
  int64_t cache_hits;
  int64_t retries;
  int64_t wasted; /**< Runs whose answer came too late or to nobody. */
} sums_t;

struct world
{
  bt_context_t *ctx;
  const scenario_t *scenario;
  const policy_t *policy;
  void *state;
  bt_random_t random;
  int64_t now_us;
  event_t *heap;
  int32_t heap_count;
  int32_t heap_capacity;
  uint64_t event_number;
  endpoint_t *endpoints;
  group_t *groups;
  int32_t group_count;
  request_t *requests;
  int32_t request_count;
  int32_t request_capacity;
  int32_t open;    /**< Requests that have not ended. */
  int32_t waiting; /**< Requests that wait in entries or agents. */
  sums_t sums;
};

/** Runs a scenario under a policy; the world holds what came of it until bt_drop_world. */
world_t *
bt_run_world (bt_context_t *ctx, const scenario_t *scenario, const policy_t *policy, uint64_t seed);
void bt_drop_world (world_t *world);

int64_t bt_world_now_ms (const world_t *world);
int64_t bt_get_deadline_left_ms (const world_t *world, const request_t *request);

/** Sends the request's next attempt to an endpoint. */
void bt_send_request (world_t *world, int32_t index, int32_t endpoint);

/** Puts a request into a slot now (omniscient policy and agents). */
void bt_start_run (world_t *world, int32_t request, int32_t index);

/** Marks a request as waiting in a queue, or not. */
void bt_set_waiting (world_t *world, int32_t index, bool waiting);

/** Gives the caller the final answer. */
void bt_end_request (world_t *world, int32_t index, ending_t ending, bt_reason_t reason);

/** The name of endpoint @p index, as an identity with its current incarnation. */
void bt_get_world_identity (const world_t *world, int32_t index, bt_identity_t *identity);

bool bt_is_prefix_cached (const endpoint_t *endpoint, uint64_t prefix);

/** The step time of a group now, without its slowness; @p extra more requests on @p rank. */
int64_t bt_get_step_us (const world_t *world, int32_t index, int32_t rank, int32_t extra);

/** Requests a second that all endpoints serve when every slot is used. */
double bt_get_world_capacity (const scenario_t *scenario);

/** Adds an event to the queue of events. */
void bt_push_event (world_t *world, const event_t *event);

/** Takes the earliest event; false when there is none. */
bool bt_pop_event (world_t *world, event_t *event);

/** What the engines do: used by the world's loop. */
void bt_make_engines (world_t *world);
void bt_drop_engines (world_t *world);
void bt_receive_request (world_t *world, const event_t *event);
void bt_step_group (world_t *world, const event_t *event);
void bt_check_silence (world_t *world, const event_t *event);
void bt_set_fault (world_t *world, const event_t *event, bool begins);
void bt_get_engine_load (const world_t *world, int32_t index, bt_load_t *load);
void bt_pump_agent (world_t *world, int32_t index);

/** Time that a run would take on this endpoint with all its slots in use. The second form knows the
 * length of the answer, the first allows for the longest. */
int64_t bt_expect_run_us (const world_t *world, const request_t *request, int32_t index);
int64_t bt_foresee_run_us (const world_t *world, const request_t *request, int32_t index);

#endif
