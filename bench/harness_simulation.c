#include "harness_simulation.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  REPORT_MS = 250,
  TICK_MS = 5,
  DRAIN_MS = 30000,
  INITIAL_REQUESTS = 4096,
};

int64_t
bt_get_sim_time_ms (const simulation_t *sim)
{
  return sim->now_us / MS_US;
}

int64_t
bt_get_deadline_left_ms (const simulation_t *sim, const request_t *request)
{
  return (request->deadline_us - sim->now_us) / MS_US;
}

void
bt_get_sim_identity (const simulation_t *sim, int32_t index, bt_identity_t *identity)
{
  memset (identity, 0, sizeof *identity);
  snprintf (identity->instance, sizeof identity->instance, "agent-%d", index);
  identity->incarnation = sim->endpoints[index].incarnation;
}

double
bt_get_sim_capacity (const scenario_t *scenario)
{
  const double step_us =
      (double)scenario->step_us + (double)scenario->slots * (double)scenario->request_us;
  const double steps =
      (scenario->output_min + scenario->output_max) / 2.0 + scenario->prefill_steps / 2.0;

  return scenario->endpoints * scenario->slots * (double)SECOND_US / (steps * step_us);
}

static int64_t
draw_between (bt_random_t *random, int64_t min, int64_t max)
{
  return min + (int64_t)bt_random_below (random, (uint64_t)(max - min + 1));
}

static request_t *
add_request (simulation_t *sim)
{
  request_t *request;

  if (sim->request_count == sim->request_capacity)
    {
      sim->request_capacity =
          sim->request_capacity == 0 ? INITIAL_REQUESTS : 2 * sim->request_capacity;
      sim->requests = bt_realloc (sim->ctx, sim->requests, (size_t)sim->request_capacity,
                                  sizeof *sim->requests);
    }
  request = &sim->requests[sim->request_count++];
  memset (request, 0, sizeof *request);
  request->endpoint = -1;
  return request;
}

static int32_t
draw_account (const scenario_t *scenario, bt_random_t *random, bool large)
{
  const int32_t small = scenario->accounts - scenario->large_accounts;

  if (large || small == 0)
    return (int32_t)bt_random_below (random, (uint64_t)scenario->large_accounts);
  return scenario->large_accounts + (int32_t)bt_random_below (random, (uint64_t)small);
}

/* Low prefixes are more frequent: of 24 prefixes, the first gets a fifth of the requests. */
static uint64_t
draw_prefix (const scenario_t *scenario, bt_random_t *random)
{
  const double drawn = bt_random_unit (random);

  return scenario->prefixes > 0 ? 1 + (uint64_t)(drawn * drawn * scenario->prefixes) : 0;
}

static void
draw_request (simulation_t *sim, bt_random_t *random, int64_t at_us, bool in_burst)
{
  const scenario_t *scenario = sim->scenario;
  const bool large = bt_random_unit (random) < scenario->large_share;
  request_t *request = add_request (sim);

  request->arrival_us = at_us;
  request->account =
      draw_account (scenario, random, large || (in_burst && scenario->burst_large_only));
  request->entry = (int32_t)bt_random_below (random, ENTRIES);
  request->output = (int32_t)draw_between (random, scenario->output_min, scenario->output_max);
  request->deadline_us =
      at_us + draw_between (random, scenario->deadline_min_ms, scenario->deadline_max_ms) * MS_US;
  request->idempotent = bt_random_below (random, 2) == 0;
  request->prefix = draw_prefix (scenario, random);
}

/* Draws Poisson arrivals whose rate follows the load of the scenario. */
static void
draw_requests (simulation_t *sim, uint64_t seed)
{
  const scenario_t *scenario = sim->scenario;
  const double capacity = bt_get_sim_capacity (scenario);
  bt_random_t random;
  double at_ms = 0;

  bt_seed_random (&random, seed);
  while (true)
    {
      const bool burst =
          at_ms >= (double)scenario->burst_from_ms && at_ms < (double)scenario->burst_to_ms;
      const double load = burst ? scenario->burst_load : scenario->base_load;

      at_ms += -log (1 - bt_random_unit (&random)) * MS_US / (capacity * load);
      if (at_ms >= (double)scenario->length_ms)
        break;
      draw_request (sim, &random, (int64_t)(at_ms * MS_US),
                    burst && bt_random_unit (&random) > scenario->base_load / load);
    }
}

void
bt_set_request_queued (simulation_t *sim, int32_t index, bool queued)
{
  request_t *request = &sim->requests[index];

  if (request->queued == queued)
    return;
  request->queued = queued;
  sim->queued_requests += queued ? 1 : -1;
}

/* A refusal is needless if a healthy endpoint has a free slot and enough time for the longest
 * answer. It is also needless if all healthy endpoints together could serve the queued requests
 * and then this one. Both must fit into four fifths of the time left until the deadline. */
static bool
is_refusal_needless (const simulation_t *sim, const request_t *request)
{
  const double left_us = (double)(request->deadline_us - sim->now_us) * 4 / 5;
  double shortest_run_us = left_us + 1;
  double requests_per_us = 0;

  for (int32_t i = 0; i < sim->scenario->endpoints; i++)
    {
      const endpoint_t *endpoint = &sim->endpoints[i];
      const double run_us = (double)bt_get_max_run_us (sim, request, i);

      if (endpoint->dead || endpoint->silent)
        continue;
      requests_per_us += (double)sim->scenario->slots / run_us;
      if (endpoint->running < sim->scenario->slots && run_us <= left_us)
        return true;
      shortest_run_us = run_us < shortest_run_us ? run_us : shortest_run_us;
    }
  return requests_per_us > 0
         && (sim->queued_requests + 1) / requests_per_us + shortest_run_us <= left_us;
}

void
bt_end_request (simulation_t *sim, int32_t index, outcome_t outcome, bt_reason_t reason)
{
  request_t *request = &sim->requests[index];

  if (request->outcome != OUTCOME_NONE)
    return;
  bt_set_request_queued (sim, index, false);
  request->needless_refusal = outcome == OUTCOME_REFUSED && is_refusal_needless (sim, request);
  request->outcome = outcome;
  request->reason = reason;
  request->end_us = sim->now_us;
  request->endpoint = -1;
  request->attempt++;
  sim->unfinished--;
}

void
bt_send_request (simulation_t *sim, int32_t index, int32_t endpoint)
{
  request_t *request = &sim->requests[index];
  event_t event = { .kind = EVENT_REQUEST_AT_AGENT, .request = index, .endpoint = endpoint };

  bt_set_request_queued (sim, index, false);
  request->endpoint = endpoint;
  request->sent_us = sim->now_us;
  request->attempt++;
  event.attempt = request->attempt;
  event.at_us = sim->now_us + sim->scenario->latency_us;
  bt_push_event (sim, &event);
}

static void
report_load (simulation_t *sim, const event_t *event)
{
  const scenario_t *scenario = sim->scenario;
  event_t next = *event;

  next.at_us = sim->now_us + (int64_t)REPORT_MS * MS_US;
  bt_push_event (sim, &next);
  if (sim->endpoints[event->endpoint].dead)
    return;
  for (int32_t entry = 0; entry < ENTRIES; entry++)
    {
      event_t load = { .kind = EVENT_LOAD_AT_ENTRY, .endpoint = event->endpoint, .entry = entry };
      const int64_t lag_ms =
          draw_between (&sim->random, scenario->report_lag_min_ms, scenario->report_lag_max_ms);

      bt_get_engine_load (sim, event->endpoint, &load.load);
      load.load.age_ms = lag_ms;
      load.value = sim->endpoints[event->endpoint].incarnation;
      load.at_us = sim->now_us + lag_ms * MS_US;
      bt_push_event (sim, &load);
    }
}

static void
receive_reply (simulation_t *sim, const event_t *event)
{
  request_t *request = &sim->requests[event->request];

  if (event->attempt != request->attempt || request->outcome != OUTCOME_NONE)
    return;
  sim->policy->on_reply (sim, sim->state, event);
}

static void
handle_tick (simulation_t *sim, const event_t *event)
{
  event_t next = *event;

  sim->policy->on_tick (sim, sim->state, event->entry);
  next.at_us = sim->now_us + (int64_t)TICK_MS * MS_US;
  bt_push_event (sim, &next);
}

static void
handle_arrival (simulation_t *sim, const event_t *event)
{
  event_t next = *event;

  next.request++;
  if (next.request < sim->request_count)
    {
      next.at_us = sim->requests[next.request].arrival_us;
      bt_push_event (sim, &next);
    }
  sim->policy->on_arrival (sim, sim->state, event->request);
}

static void
handle_event (simulation_t *sim, const event_t *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      handle_arrival (sim, event);
      break;
    case EVENT_REQUEST_AT_AGENT:
      bt_receive_request (sim, event);
      break;
    case EVENT_REPLY_AT_ENTRY:
      receive_reply (sim, event);
      break;
    case EVENT_STEP:
      bt_step_group (sim, event);
      break;
    case EVENT_REPORT_DUE:
      report_load (sim, event);
      break;
    case EVENT_LOAD_AT_ENTRY:
      sim->policy->on_load (sim, sim->state, event);
      break;
    case EVENT_CACHE_AT_ENTRY:
      sim->policy->on_cache_event (sim, sim->state, event);
      break;
    case EVENT_TICK:
      handle_tick (sim, event);
      break;
    case EVENT_FAULT_BEGIN:
      bt_apply_fault (sim, event, true);
      break;
    case EVENT_FAULT_END:
      bt_apply_fault (sim, event, false);
      break;
    case EVENT_LINK_DOWN:
    case EVENT_LINK_UP:
      sim->policy->on_link_event (sim, sim->state, event);
      break;
    case EVENT_SILENCE_TIMEOUT:
      bt_handle_silence_timeout (sim, event);
      break;
    }
}

static void
schedule_faults (simulation_t *sim)
{
  const scenario_t *scenario = sim->scenario;

  for (int32_t i = 0; i < scenario->fault_count; i++)
    {
      event_t event = { .kind = EVENT_FAULT_BEGIN, .value = (uint64_t)i };

      event.at_us = scenario->faults[i].from_ms * MS_US;
      bt_push_event (sim, &event);
      event.kind = EVENT_FAULT_END;
      event.at_us = scenario->faults[i].to_ms * MS_US;
      if (scenario->faults[i].kind != FAULT_FLAPPING)
        bt_push_event (sim, &event);
    }
}

static void
schedule_events (simulation_t *sim)
{
  event_t first = { .kind = EVENT_ARRIVAL, .at_us = sim->requests[0].arrival_us };

  bt_push_event (sim, &first);
  for (int32_t i = 0; i < sim->scenario->endpoints; i++)
    {
      event_t event = { .kind = EVENT_REPORT_DUE, .endpoint = i };

      event.at_us = (int64_t)bt_random_below (&sim->random, (uint64_t)REPORT_MS * MS_US);
      bt_push_event (sim, &event);
    }
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      event_t event = { .kind = EVENT_TICK, .entry = i };

      event.at_us = (int64_t)bt_random_below (&sim->random, (uint64_t)TICK_MS * MS_US);
      bt_push_event (sim, &event);
    }
  schedule_faults (sim);
}

simulation_t *
bt_run_simulation (bt_context_t *ctx,
                   const scenario_t *scenario,
                   const policy_t *policy,
                   uint64_t seed)
{
  simulation_t *sim = bt_calloc (ctx, 1, sizeof *sim);
  event_t event;

  sim->ctx = ctx;
  sim->scenario = scenario;
  sim->policy = policy;
  bt_seed_random (&sim->random, seed + 1);
  draw_requests (sim, seed);
  sim->unfinished = sim->request_count;
  bt_make_engines (sim);
  sim->state = policy->start (sim);
  schedule_events (sim);
  while (sim->unfinished > 0 && bt_pop_event (sim, &event))
    {
      sim->now_us = event.at_us;
      if (bt_get_sim_time_ms (sim) > scenario->length_ms + DRAIN_MS)
        break;
      handle_event (sim, &event);
    }
  policy->stop (sim, sim->state);
  return sim;
}

void
bt_drop_simulation (simulation_t *sim)
{
  bt_drop_engines (sim);
  bt_free (sim->ctx, sim->heap);
  bt_free (sim->ctx, sim->requests);
  bt_free (sim->ctx, sim);
}
