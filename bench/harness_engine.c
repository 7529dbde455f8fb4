#include <stdio.h>
#include <string.h>

#include "harness_simulation.h"

enum
{
  SILENCE_MS = 2000,
  SLOW_FACTOR = 5,
  LINK_IDLE_MS = 1000,
  LINK_RESET_MS = 10,
  LINK_CONNECT_MS = 250,
  FLAP_MS = 1500,
  WHOLE_PERCENT = 100,
};

bool
bt_is_prefix_cached (const endpoint_t *endpoint, uint64_t prefix)
{
  for (int32_t i = 0; prefix != 0 && i < CACHE_PREFIXES; i++)
    if (endpoint->cache[i] == prefix)
      return true;
  return false;
}

static bt_run_queue_t *
make_queue (const simulation_t *sim)
{
  bt_run_queue_options_t options;

  bt_default_run_queue_options (&options);
  options.slots = sim->scenario->slots;
  options.queue_limit = 2 * sim->scenario->slots;
  return bt_new_run_queue (sim->ctx, &options);
}

void
bt_make_engines (simulation_t *sim)
{
  const scenario_t *scenario = sim->scenario;

  sim->endpoints = bt_calloc (sim->ctx, (size_t)scenario->endpoints, sizeof *sim->endpoints);
  sim->group_count = (scenario->endpoints + scenario->ranks - 1) / scenario->ranks;
  sim->groups = bt_calloc (sim->ctx, (size_t)sim->group_count, sizeof *sim->groups);
  for (int32_t i = 0; i < sim->group_count; i++)
    {
      const int32_t left = scenario->endpoints - i * scenario->ranks;

      sim->groups[i].first_endpoint = i * scenario->ranks;
      sim->groups[i].ranks = left < scenario->ranks ? left : scenario->ranks;
      sim->groups[i].slowdown = 1;
    }
  for (int32_t i = 0; i < scenario->endpoints; i++)
    {
      sim->endpoints[i].group = i / scenario->ranks;
      sim->endpoints[i].domain = sim->endpoints[i].group % scenario->domains;
      sim->endpoints[i].incarnation = 1;
      sim->endpoints[i].queue = make_queue (sim);
    }
}

void
bt_drop_engines (simulation_t *sim)
{
  for (int32_t i = 0; i < sim->scenario->endpoints; i++)
    bt_drop_run_queue (sim->ctx, sim->endpoints[i].queue);
  bt_free (sim->ctx, sim->endpoints);
  bt_free (sim->ctx, sim->groups);
}

int64_t
bt_get_step_us (const simulation_t *sim, int32_t index, int32_t rank, int32_t extra)
{
  const group_t *group = &sim->groups[index];
  int64_t max_running = 0;

  for (int32_t i = 0; i < group->ranks; i++)
    {
      const endpoint_t *endpoint = &sim->endpoints[group->first_endpoint + i];
      const int64_t running = endpoint->running + (group->first_endpoint + i == rank ? extra : 0);

      if (!endpoint->dead && !endpoint->silent && running > max_running)
        max_running = running;
    }
  return sim->scenario->step_us + max_running * sim->scenario->request_us;
}

static int64_t
get_run_us (const simulation_t *sim, const request_t *request, int32_t index, int64_t output)
{
  const endpoint_t *endpoint = &sim->endpoints[index];
  const scenario_t *scenario = sim->scenario;
  const int64_t full_us = scenario->step_us + scenario->slots * scenario->request_us;
  const int64_t prefill = bt_is_prefix_cached (endpoint, request->prefix) ? CACHED_PREFILL_STEPS
                                                                          : scenario->prefill_steps;

  return (prefill + output) * full_us * sim->groups[endpoint->group].slowdown;
}

int64_t
bt_get_max_run_us (const simulation_t *sim, const request_t *request, int32_t index)
{
  return get_run_us (sim, request, index, sim->scenario->output_max);
}

int64_t
bt_get_actual_run_us (const simulation_t *sim, const request_t *request, int32_t index)
{
  return get_run_us (sim, request, index, request->output);
}

static void
send_cache_event (simulation_t *sim, int32_t index, uint64_t prefix, bool cached)
{
  const scenario_t *scenario = sim->scenario;
  const int64_t range_ms = scenario->report_lag_max_ms - scenario->report_lag_min_ms + 1;

  for (int32_t entry = 0; prefix != 0 && entry < ENTRIES; entry++)
    {
      event_t event = {
        .kind = EVENT_CACHE_AT_ENTRY, .endpoint = index, .entry = entry, .value = prefix
      };

      if (bt_random_below (&sim->random, WHOLE_PERCENT) < (uint64_t)scenario->cache_loss_percent)
        continue;
      event.attempt = cached ? 1 : 0;
      event.at_us = sim->now_us
                    + (scenario->report_lag_min_ms
                       + (int64_t)bt_random_below (&sim->random, (uint64_t)range_ms))
                          * MS_US;
      bt_push_event (sim, &event);
    }
}

/* Moves a prefix to the front of the cache. Returns true if it was cached. */
static bool
use_prefix (simulation_t *sim, int32_t index, uint64_t prefix)
{
  endpoint_t *endpoint = &sim->endpoints[index];
  const bool hit = bt_is_prefix_cached (endpoint, prefix);
  uint64_t displaced = prefix;

  if (prefix == 0)
    return false;
  for (int32_t i = 0; i < CACHE_PREFIXES; i++)
    {
      const uint64_t previous = endpoint->cache[i];

      endpoint->cache[i] = displaced;
      displaced = previous;
      if (displaced == prefix)
        return true;
    }
  send_cache_event (sim, index, prefix, true);
  send_cache_event (sim, index, displaced, false);
  return hit;
}

static void
start_stepping (simulation_t *sim, int32_t index)
{
  group_t *group = &sim->groups[index];
  event_t event = { .kind = EVENT_STEP, .endpoint = index };

  if (group->stepping)
    return;
  group->stepping = true;
  event.at_us = sim->now_us + bt_get_step_us (sim, index, -1, 0) * group->slowdown;
  bt_push_event (sim, &event);
}

void
bt_start_run (simulation_t *sim, int32_t request_index, int32_t endpoint_index)
{
  endpoint_t *endpoint = &sim->endpoints[endpoint_index];
  request_t *request = &sim->requests[request_index];
  run_t *run = &endpoint->runs[endpoint->running++];
  const bool hit = use_prefix (sim, endpoint_index, request->prefix);
  event_t silence = { .kind = EVENT_SILENCE_TIMEOUT,
                      .request = request_index,
                      .endpoint = endpoint_index };

  bt_set_request_queued (sim, request_index, false);
  request->endpoint = endpoint_index;
  request->start_us = sim->now_us;
  run->request = request_index;
  run->attempt = request->attempt;
  run->prefill_left = hit ? CACHED_PREFILL_STEPS : sim->scenario->prefill_steps;
  run->output_left = request->output;
  sim->counters.run_starts++;
  sim->counters.cache_hits += hit ? 1 : 0;
  silence.attempt = request->attempt;
  silence.at_us = sim->now_us + (int64_t)SILENCE_MS * MS_US;
  bt_push_event (sim, &silence);
  start_stepping (sim, endpoint->group);
}

static void
reply_to_entry (simulation_t *sim,
                int32_t request,
                int32_t attempt,
                int32_t index,
                bt_attempt_end_t end,
                bt_reason_t reason)
{
  event_t event = { .kind = EVENT_REPLY_AT_ENTRY,
                    .request = request,
                    .attempt = attempt,
                    .endpoint = index,
                    .end = end,
                    .reason = reason };

  event.entry = sim->requests[request].entry;
  event.at_us = sim->now_us + sim->scenario->latency_us;
  bt_get_engine_load (sim, index, &event.load);
  bt_push_event (sim, &event);
}

/* Applies a decision of the core's run queue. */
static void
apply_decision (simulation_t *sim, int32_t index, const bt_run_decision_t *decision)
{
  const int32_t request = (int32_t)decision->id;

  if (decision->action == BT_RUN_START)
    bt_start_run (sim, request, index);
  else if (decision->action == BT_RUN_QUEUED)
    bt_set_request_queued (sim, request, true);
  else
    {
      bt_set_request_queued (sim, request, false);
      reply_to_entry (sim, request, sim->requests[request].attempt, index, BT_ATTEMPT_REFUSED,
                      decision->reason);
    }
}

/* Starts queued requests, first come, first served. A request whose deadline has passed is
 * cancelled when it reaches the head of the queue. */
static void
start_fifo_runs (simulation_t *sim, int32_t index)
{
  endpoint_t *endpoint = &sim->endpoints[index];

  while (endpoint->fifo_count > 0 && endpoint->running < sim->scenario->slots)
    {
      const int32_t request = endpoint->fifo[0];

      endpoint->fifo_count--;
      memmove (endpoint->fifo, endpoint->fifo + 1,
               (size_t)endpoint->fifo_count * sizeof endpoint->fifo[0]);
      bt_set_request_queued (sim, request, false);
      if (bt_get_deadline_left_ms (sim, &sim->requests[request]) > 0)
        bt_start_run (sim, request, index);
      else
        reply_to_entry (sim, request, sim->requests[request].attempt, index, BT_ATTEMPT_CANCELLED,
                        BT_REASON_DEADLINE_UNREACHABLE);
    }
}

void
bt_start_queued_runs (simulation_t *sim, int32_t index)
{
  bt_run_decision_t decision;

  if (sim->policy->omniscient)
    {
      sim->policy->on_tick (sim, sim->state, 0);
      return;
    }
  if (sim->endpoints[index].dead)
    return;
  if (!sim->policy->fair_agent)
    {
      start_fifo_runs (sim, index);
      return;
    }
  while (bt_next_run (sim->endpoints[index].queue, bt_get_sim_time_ms (sim), &decision))
    apply_decision (sim, index, &decision);
}

void
bt_receive_request (simulation_t *sim, const event_t *event)
{
  endpoint_t *endpoint = &sim->endpoints[event->endpoint];
  const request_t *request = &sim->requests[event->request];
  bt_run_decision_t decision;
  char account[BT_NAME_BYTES];

  if (endpoint->dead || event->attempt != request->attempt)
    return;
  if (!sim->policy->fair_agent)
    {
      if (endpoint->fifo_count == FIFO_LIMIT)
        {
          reply_to_entry (sim, event->request, event->attempt, event->endpoint, BT_ATTEMPT_REFUSED,
                          BT_REASON_ENDPOINT_FULL);
          return;
        }
      endpoint->fifo[endpoint->fifo_count++] = event->request;
      bt_set_request_queued (sim, event->request, true);
      start_fifo_runs (sim, event->endpoint);
      return;
    }
  snprintf (account, sizeof account, "account-%d", request->account);
  bt_offer_run (sim->ctx, endpoint->queue,
                &(bt_run_request_t){ .id = (uint64_t)event->request,
                                     .account = account,
                                     .deadline_left_ms = bt_get_deadline_left_ms (sim, request) },
                bt_get_sim_time_ms (sim), &decision);
  apply_decision (sim, event->endpoint, &decision);
  bt_start_queued_runs (sim, event->endpoint);
}

void
bt_get_engine_load (const simulation_t *sim, int32_t index, bt_load_t *load)
{
  const endpoint_t *endpoint = &sim->endpoints[index];

  bt_get_run_load (endpoint->queue, load);
  if (sim->policy->fair_agent)
    return;
  load->running = endpoint->running;
  load->queued = endpoint->fifo_count;
}

static void
release_slot (simulation_t *sim, int32_t index, int32_t slot, int64_t service_ms)
{
  endpoint_t *endpoint = &sim->endpoints[index];

  endpoint->runs[slot] = endpoint->runs[--endpoint->running];
  bt_end_run (endpoint->queue, service_ms);
}

static void
end_run (simulation_t *sim, int32_t index, int32_t slot)
{
  const run_t run = sim->endpoints[index].runs[slot];
  const request_t *request = &sim->requests[run.request];
  const int64_t service_ms = bt_get_sim_time_ms (sim) - request->start_us / MS_US;

  release_slot (sim, index, slot, service_ms > 0 ? service_ms : 1);
  if (request->attempt != run.attempt)
    {
      sim->counters.wasted_runs++;
      return;
    }
  reply_to_entry (sim, run.request, run.attempt, index, BT_ATTEMPT_ANSWERED, BT_REASON_NONE);
}

static void
step_endpoint (simulation_t *sim, int32_t index)
{
  endpoint_t *endpoint = &sim->endpoints[index];

  if (endpoint->dead || endpoint->silent)
    return;
  for (int32_t slot = endpoint->running - 1; slot >= 0; slot--)
    {
      run_t *run = &endpoint->runs[slot];
      request_t *request = &sim->requests[run->request];

      if (run->prefill_left > 0)
        {
          run->prefill_left--;
          continue;
        }
      if (request->first_token_us == 0 && request->attempt == run->attempt)
        request->first_token_us = sim->now_us + sim->scenario->latency_us;
      if (--run->output_left <= 0)
        end_run (sim, index, slot);
    }
}

static void
measure_skew (simulation_t *sim, const group_t *group)
{
  int64_t sum_us = 0;
  int64_t max_us = 0;
  int32_t ranks = 0;

  for (int32_t i = 0; i < group->ranks; i++)
    {
      const endpoint_t *endpoint = &sim->endpoints[group->first_endpoint + i];
      const int64_t rank_us =
          sim->scenario->step_us + endpoint->running * sim->scenario->request_us;

      if (endpoint->dead || endpoint->silent)
        continue;
      sum_us += rank_us;
      max_us = rank_us > max_us ? rank_us : max_us;
      ranks++;
    }
  if (ranks == 0)
    return;
  sim->counters.steps++;
  sim->counters.skew_sum += (double)max_us * ranks / (double)sum_us - 1;
}

void
bt_step_group (simulation_t *sim, const event_t *event)
{
  group_t *group = &sim->groups[event->endpoint];
  int32_t running = 0;

  measure_skew (sim, group);
  group->stepping = false;
  for (int32_t i = 0; i < group->ranks; i++)
    step_endpoint (sim, group->first_endpoint + i);
  for (int32_t i = 0; i < group->ranks; i++)
    {
      bt_start_queued_runs (sim, group->first_endpoint + i);
      if (!sim->endpoints[group->first_endpoint + i].silent)
        running += sim->endpoints[group->first_endpoint + i].running;
    }
  if (running > 0)
    start_stepping (sim, event->endpoint);
}

/* The agent ends a run whose engine has been silent for SILENCE_MS. */
void
bt_handle_silence_timeout (simulation_t *sim, const event_t *event)
{
  endpoint_t *endpoint = &sim->endpoints[event->endpoint];

  if (!endpoint->silent || endpoint->dead)
    return;
  for (int32_t slot = 0; slot < endpoint->running; slot++)
    if (endpoint->runs[slot].request == event->request
        && endpoint->runs[slot].attempt == event->attempt)
      {
        release_slot (sim, event->endpoint, slot, 0);
        reply_to_entry (sim, event->request, event->attempt, event->endpoint, BT_ATTEMPT_FAILED,
                        BT_REASON_ENGINE_SILENT);
        break;
      }
  bt_start_queued_runs (sim, event->endpoint);
}

static void
schedule_link_events (simulation_t *sim, int32_t index, event_kind_t kind, int64_t delay_ms)
{
  for (int32_t entry = 0; entry < ENTRIES; entry++)
    {
      event_t event = { .kind = kind, .endpoint = index, .entry = entry };

      event.value = sim->endpoints[index].incarnation;
      event.at_us = sim->now_us + delay_ms * MS_US
                    + (int64_t)bt_random_below (&sim->random, (uint64_t)LINK_CONNECT_MS * MS_US);
      bt_push_event (sim, &event);
    }
}

static void
reset_endpoint (simulation_t *sim, int32_t index)
{
  endpoint_t *endpoint = &sim->endpoints[index];

  for (int32_t i = 0; i < endpoint->fifo_count; i++)
    bt_set_request_queued (sim, endpoint->fifo[i], false);
  for (int32_t i = 0; i < sim->request_count; i++)
    if (sim->requests[i].endpoint == index)
      bt_set_request_queued (sim, i, false);
  bt_drop_run_queue (sim->ctx, endpoint->queue);
  endpoint->queue = make_queue (sim);
  endpoint->fifo_count = 0;
  endpoint->running = 0;
  memset (endpoint->cache, 0, sizeof endpoint->cache);
}

static void
set_dead (simulation_t *sim, int32_t index, bool dead, int64_t detection_ms)
{
  endpoint_t *endpoint = &sim->endpoints[index];

  if (endpoint->dead == dead)
    return;
  endpoint->dead = dead;
  if (dead)
    {
      schedule_link_events (sim, index, EVENT_LINK_DOWN, detection_ms);
      reset_endpoint (sim, index);
      return;
    }
  endpoint->incarnation++;
  schedule_link_events (sim, index, EVENT_LINK_UP, LINK_CONNECT_MS);
}

static void
flap_endpoints (simulation_t *sim, const event_t *event, const fault_t *fault, bool begins)
{
  event_t next = *event;

  for (int32_t i = 0; i < fault->count; i++)
    set_dead (sim, fault->first_endpoint + i, begins, LINK_RESET_MS);
  next.kind = begins ? EVENT_FAULT_END : EVENT_FAULT_BEGIN;
  next.at_us = sim->now_us + (int64_t)FLAP_MS * MS_US;
  if (begins || next.at_us < fault->to_ms * MS_US)
    bt_push_event (sim, &next);
}

void
bt_apply_fault (simulation_t *sim, const event_t *event, bool begins)
{
  const fault_t *fault = &sim->scenario->faults[event->value];

  if (fault->kind == FAULT_FLAPPING)
    {
      flap_endpoints (sim, event, fault, begins);
      return;
    }
  for (int32_t i = fault->first_endpoint; i < fault->first_endpoint + fault->count; i++)
    {
      if (fault->kind == FAULT_SLOW)
        sim->groups[sim->endpoints[i].group].slowdown = begins ? SLOW_FACTOR : 1;
      else if (fault->kind == FAULT_DEAD)
        set_dead (sim, i, begins, LINK_IDLE_MS);
      else
        {
          sim->endpoints[i].silent = begins;
          start_stepping (sim, sim->endpoints[i].group);
        }
    }
}
