#ifndef BILBERRYTRAY_BENCH_HARNESS_SIMULATION_H
#define BILBERRYTRAY_BENCH_HARNESS_SIMULATION_H

/** @file
 * Discrete-event simulation for the policy bench: a simulated clock, endpoints with slots and a
 * queue, groups of ranks in lock-step, messages with delay, and faults. It uses no threads and
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

/** Fault of endpoints during a run. */
typedef enum fault_kind
{
  FAULT_SLOW = 0, /**< Steps of the group take five times as long. */
  FAULT_DEAD,     /**< The instance is gone; its links go down after the idle timeout. */
  FAULT_SILENT,   /**< The endpoint accepts requests and reports its load, but never answers. */
  FAULT_FLAPPING, /**< The endpoint alternates between dead and running. */
} fault_kind_t;

typedef struct fault
{
  fault_kind_t kind;
  int32_t first_endpoint; /**< First of the affected endpoints. */
  int32_t count;
  int64_t from_ms;
  int64_t to_ms;
} fault_t;

/** Deployment, load and faults of one run. */
typedef struct scenario
{
  const char *name;
  int32_t endpoints;
  int32_t ranks; /**< Ranks per group. */
  int32_t domains;
  int32_t slots;
  int32_t accounts;
  int32_t large_accounts; /**< Accounts 0 .. large_accounts - 1 are large. */
  double large_share;     /**< Share of the demand that comes from all large accounts together. */
  double base_load;       /**< Demand outside the burst, relative to capacity. */
  double burst_load;      /**< Demand in the burst, relative to capacity. */
  bool burst_large_only;  /**< Only large accounts send the additional requests of the burst. */
  int64_t burst_from_ms;
  int64_t burst_to_ms;
  int64_t length_ms;
  int64_t deadline_min_ms;
  int64_t deadline_max_ms;
  int64_t report_lag_min_ms; /**< Delay of load reports and cache events. */
  int64_t report_lag_max_ms;
  int32_t cache_loss_percent; /**< Share of cache events that are lost. */
  int32_t prefixes;
  int32_t prefill_steps; /**< Steps to prefill a prefix that is not cached. */
  int32_t output_min;
  int32_t output_max;
  int64_t step_us;    /**< Step time of an idle rank. */
  int64_t request_us; /**< Time that each running request adds to the step of its rank. */
  int64_t latency_us; /**< One way, entry to agent. */
  fault_t faults[MAX_FAULTS];
  int32_t fault_count;
} scenario_t;

/** Final outcome of a request. */
typedef enum outcome
{
  OUTCOME_NONE = 0,
  OUTCOME_IN_TIME, /**< Complete answer within the deadline. */
  OUTCOME_LATE,    /**< Complete answer after the deadline. */
  OUTCOME_REFUSED, /**< Not run, and the caller was told so. */
  OUTCOME_UNKNOWN, /**< May have run. */
} outcome_t;

/** One caller's request. */
typedef struct request
{
  int64_t arrival_us;
  int64_t deadline_us;
  int64_t sent_us;
  int64_t start_us;
  int64_t first_token_us;
  uint64_t prefix;
  int32_t account;
  int32_t entry;
  int32_t output;
  int32_t attempt;
  int32_t endpoint; /**< Endpoint of the attempt in flight; -1: none. */
  int32_t tried[3];
  int32_t tried_count;
  bool idempotent;
  bool needless_refusal;
  bool queued; /**< In the queue of an entry or an agent. */
  outcome_t outcome;
  bt_reason_t reason;
  int64_t end_us;
  bt_route_t route;
} request_t;

/** A request that runs in a slot. */
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
  int32_t first_endpoint;
  int32_t ranks;
  int32_t slowdown; /**< Factor on the step time. */
  bool stepping;
} group_t;

typedef enum event_kind
{
  EVENT_ARRIVAL = 0,
  EVENT_REQUEST_AT_AGENT,
  EVENT_REPLY_AT_ENTRY,
  EVENT_STEP,
  EVENT_REPORT_DUE,
  EVENT_LOAD_AT_ENTRY,
  EVENT_CACHE_AT_ENTRY,
  EVENT_TICK,
  EVENT_FAULT_BEGIN,
  EVENT_FAULT_END,
  EVENT_LINK_DOWN,
  EVENT_LINK_UP,
  EVENT_SILENCE_TIMEOUT,
} event_kind_t;

typedef struct event
{
  int64_t at_us;
  uint64_t sequence; /**< Orders events of the same time. */
  event_kind_t kind;
  int32_t request;
  int32_t endpoint;
  int32_t entry;
  int32_t attempt; /**< In EVENT_CACHE_AT_ENTRY: 1 if the prefix was added, 0 if removed. */
  bt_attempt_end_t end;
  bt_reason_t reason;
  bt_load_t load;
  uint64_t value; /**< Prefix, incarnation or index of the fault, by kind. */
} event_t;

typedef struct simulation simulation_t;

/** A policy of admission and routing. start returns its state, which the other callbacks get. */
typedef struct policy
{
  const char *name;
  bool fair_agent;  /**< Agents use the core's run queue; otherwise a FIFO queue. */
  bool omniscient;  /**< The policy starts runs itself; agents queue nothing. */
  bool clairvoyant; /**< The policy also knows the length of each answer. */
  void *(*start) (simulation_t *sim);
  void (*stop) (simulation_t *sim, void *state);
  void (*on_arrival) (simulation_t *sim, void *state, int32_t request);
  void (*on_reply) (simulation_t *sim, void *state, const event_t *event);
  void (*on_load) (simulation_t *sim, void *state, const event_t *event);
  void (*on_cache_event) (simulation_t *sim, void *state, const event_t *event);
  void (*on_link_event) (simulation_t *sim, void *state, const event_t *event);
  void (*on_tick) (simulation_t *sim, void *state, int32_t entry);
} policy_t;

/** Counters of one run. */
typedef struct run_counters
{
  int64_t steps;
  double skew_sum;
  int64_t run_starts;
  int64_t cache_hits;
  int64_t retries;
  int64_t wasted_runs; /**< Runs that completed when their attempt had already ended. */
} run_counters_t;

struct simulation
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
  uint64_t next_event_sequence;
  endpoint_t *endpoints;
  group_t *groups;
  int32_t group_count;
  request_t *requests;
  int32_t request_count;
  int32_t request_capacity;
  int32_t unfinished;      /**< Requests that have not ended. */
  int32_t queued_requests; /**< Requests in the queues of entries and agents. */
  run_counters_t counters;
};

/** Runs a scenario under a policy. The returned simulation holds the results; release it with
 * bt_drop_simulation. */
simulation_t *bt_run_simulation (bt_context_t *ctx,
                                 const scenario_t *scenario,
                                 const policy_t *policy,
                                 uint64_t seed);
void bt_drop_simulation (simulation_t *sim);

int64_t bt_get_sim_time_ms (const simulation_t *sim);
int64_t bt_get_deadline_left_ms (const simulation_t *sim, const request_t *request);

/** Sends the next attempt of a request to an endpoint. */
void bt_send_request (simulation_t *sim, int32_t index, int32_t endpoint);

/** Starts a request in a free slot of an endpoint. Called by agents and by the omniscient
 * policy. */
void bt_start_run (simulation_t *sim, int32_t request_index, int32_t endpoint_index);

/** Sets whether a request is in a queue, and updates the number of queued requests. */
void bt_set_request_queued (simulation_t *sim, int32_t index, bool queued);

/** Ends a request with its final outcome; does nothing if it has already ended. */
void bt_end_request (simulation_t *sim, int32_t index, outcome_t outcome, bt_reason_t reason);

/** Writes the instance name and current incarnation of endpoint @p index to @p identity. */
void bt_get_sim_identity (const simulation_t *sim, int32_t index, bt_identity_t *identity);

bool bt_is_prefix_cached (const endpoint_t *endpoint, uint64_t prefix);

/** Returns the current step time of group @p index in microseconds, without its slowdown, if @p
 * rank ran @p extra more requests. */
int64_t bt_get_step_us (const simulation_t *sim, int32_t index, int32_t rank, int32_t extra);

/** Returns the requests per second that all endpoints serve with all their slots in use. */
double bt_get_sim_capacity (const scenario_t *scenario);

/** Adds an event to the event queue. */
void bt_push_event (simulation_t *sim, const event_t *event);

/** Removes the earliest event and copies it to @p event. Returns false if the queue is empty. */
bool bt_pop_event (simulation_t *sim, event_t *event);

/** The simulated engines and agents, called by the event loop. */
void bt_make_engines (simulation_t *sim);
void bt_drop_engines (simulation_t *sim);
void bt_receive_request (simulation_t *sim, const event_t *event);
void bt_step_group (simulation_t *sim, const event_t *event);
void bt_handle_silence_timeout (simulation_t *sim, const event_t *event);
void bt_apply_fault (simulation_t *sim, const event_t *event, bool begins);
void bt_get_engine_load (const simulation_t *sim, int32_t index, bt_load_t *load);
void bt_start_queued_runs (simulation_t *sim, int32_t index);

/** Returns the time that a run would take on this endpoint with all its slots in use, in
 * microseconds. bt_get_max_run_us assumes the longest answer, bt_get_actual_run_us uses the actual
 * length. */
int64_t bt_get_max_run_us (const simulation_t *sim, const request_t *request, int32_t index);
int64_t bt_get_actual_run_us (const simulation_t *sim, const request_t *request, int32_t index);

#endif
