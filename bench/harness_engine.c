#include <stdio.h>
#include <string.h>

#include "harness_world.h"

enum
{
  SILENCE_MS = 2000,
  SLOW_FACTOR = 5,
  LINK_IDLE_MS = 1000,
  LINK_RESET_MS = 10,
  LINK_DIAL_MS = 250,
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
make_queue (const world_t *world)
{
  bt_run_queue_options_t options;

  bt_default_run_queue_options (&options);
  options.slots = world->scenario->slots;
  options.queue_limit = 2 * world->scenario->slots;
  return bt_new_run_queue (world->ctx, &options);
}

void
bt_make_engines (world_t *world)
{
  const scenario_t *scenario = world->scenario;

  world->endpoints = bt_calloc (world->ctx, (size_t)scenario->endpoints, sizeof *world->endpoints);
  world->group_count = (scenario->endpoints + scenario->ranks - 1) / scenario->ranks;
  world->groups = bt_calloc (world->ctx, (size_t)world->group_count, sizeof *world->groups);
  for (int32_t i = 0; i < world->group_count; i++)
    {
      const int32_t left = scenario->endpoints - i * scenario->ranks;

      world->groups[i].first = i * scenario->ranks;
      world->groups[i].ranks = left < scenario->ranks ? left : scenario->ranks;
      world->groups[i].slow = 1;
    }
  for (int32_t i = 0; i < scenario->endpoints; i++)
    {
      world->endpoints[i].group = i / scenario->ranks;
      world->endpoints[i].domain = world->endpoints[i].group % scenario->domains;
      world->endpoints[i].incarnation = 1;
      world->endpoints[i].queue = make_queue (world);
    }
}

void
bt_drop_engines (world_t *world)
{
  for (int32_t i = 0; i < world->scenario->endpoints; i++)
    bt_drop_run_queue (world->ctx, world->endpoints[i].queue);
  bt_free (world->ctx, world->endpoints);
  bt_free (world->ctx, world->groups);
}

int64_t
bt_get_step_us (const world_t *world, int32_t index, int32_t rank, int32_t extra)
{
  const group_t *group = &world->groups[index];
  int64_t most = 0;

  for (int32_t i = 0; i < group->ranks; i++)
    {
      const endpoint_t *endpoint = &world->endpoints[group->first + i];
      const int64_t running = endpoint->running + (group->first + i == rank ? extra : 0);

      if (!endpoint->dead && !endpoint->silent && running > most)
        most = running;
    }
  return world->scenario->step_us + most * world->scenario->request_us;
}

static int64_t
get_run_us (const world_t *world, const request_t *request, int32_t index, int64_t output)
{
  const endpoint_t *endpoint = &world->endpoints[index];
  const scenario_t *scenario = world->scenario;
  const int64_t full_us = scenario->step_us + scenario->slots * scenario->request_us;
  const int64_t prefill = bt_is_prefix_cached (endpoint, request->prefix) ? CACHED_PREFILL_STEPS
                                                                          : scenario->prefill_steps;

  return (prefill + output) * full_us * world->groups[endpoint->group].slow;
}

int64_t
bt_expect_run_us (const world_t *world, const request_t *request, int32_t index)
{
  return get_run_us (world, request, index, world->scenario->output_max);
}

int64_t
bt_foresee_run_us (const world_t *world, const request_t *request, int32_t index)
{
  return get_run_us (world, request, index, request->output);
}

static void
send_cache_event (world_t *world, int32_t index, uint64_t prefix, bool cached)
{
  const scenario_t *scenario = world->scenario;
  const int64_t range_ms = scenario->lag_max_ms - scenario->lag_min_ms + 1;

  for (int32_t entry = 0; prefix != 0 && entry < ENTRIES; entry++)
    {
      event_t event = { .kind = EVENT_CACHE, .endpoint = index, .entry = entry, .value = prefix };

      if (bt_random_below (&world->random, WHOLE_PERCENT) < (uint64_t)scenario->cache_loss_percent)
        continue;
      event.attempt = cached ? 1 : 0;
      event.at_us =
          world->now_us
          + (scenario->lag_min_ms + (int64_t)bt_random_below (&world->random, (uint64_t)range_ms))
                * MS_US;
      bt_push_event (world, &event);
    }
}

/* Moves a prefix to the front of the cache; true when it was there. */
static bool
use_prefix (world_t *world, int32_t index, uint64_t prefix)
{
  endpoint_t *endpoint = &world->endpoints[index];
  const bool hit = bt_is_prefix_cached (endpoint, prefix);
  uint64_t carried = prefix;

  if (prefix == 0)
    return false;
  for (int32_t i = 0; i < CACHE_PREFIXES; i++)
    {
      const uint64_t here = endpoint->cache[i];

      endpoint->cache[i] = carried;
      carried = here;
      if (carried == prefix)
        return true;
    }
  send_cache_event (world, index, prefix, true);
  send_cache_event (world, index, carried, false);
  return hit;
}

static void
start_stepping (world_t *world, int32_t index)
{
  group_t *group = &world->groups[index];
  event_t event = { .kind = EVENT_STEP, .endpoint = index };

  if (group->stepping)
    return;
  group->stepping = true;
  event.at_us = world->now_us + bt_get_step_us (world, index, -1, 0) * group->slow;
  bt_push_event (world, &event);
}

void
bt_start_run (world_t *world, int32_t request, int32_t index)
{
  endpoint_t *endpoint = &world->endpoints[index];
  request_t *wanted = &world->requests[request];
  run_t *run = &endpoint->runs[endpoint->running++];
  const bool hit = use_prefix (world, index, wanted->prefix);
  event_t silence = { .kind = EVENT_SILENCE, .request = request, .endpoint = index };

  bt_set_waiting (world, request, false);
  wanted->endpoint = index;
  wanted->start_us = world->now_us;
  run->request = request;
  run->attempt = wanted->attempt;
  run->prefill_left = hit ? CACHED_PREFILL_STEPS : world->scenario->prefill_steps;
  run->output_left = wanted->output;
  world->sums.starts++;
  world->sums.cache_hits += hit ? 1 : 0;
  silence.attempt = wanted->attempt;
  silence.at_us = world->now_us + (int64_t)SILENCE_MS * MS_US;
  bt_push_event (world, &silence);
  start_stepping (world, endpoint->group);
}

static void
reply_to_entry (world_t *world,
                int32_t request,
                int32_t attempt,
                int32_t index,
                bt_attempt_end_t end,
                bt_reason_t reason)
{
  event_t event = { .kind = EVENT_AT_ENTRY,
                    .request = request,
                    .attempt = attempt,
                    .endpoint = index,
                    .end = end,
                    .reason = reason };

  event.entry = world->requests[request].entry;
  event.at_us = world->now_us + world->scenario->latency_us;
  bt_get_engine_load (world, index, &event.load);
  bt_push_event (world, &event);
}

/* Applies the decisions of the core's run queue. */
static void
apply_decision (world_t *world, int32_t index, const bt_run_decision_t *decision)
{
  const int32_t request = (int32_t)decision->id;

  if (decision->action == BT_RUN_START)
    bt_start_run (world, request, index);
  else if (decision->action == BT_RUN_QUEUED)
    bt_set_waiting (world, request, true);
  else
    {
      bt_set_waiting (world, request, false);
      reply_to_entry (world, request, world->requests[request].attempt, index, BT_ATTEMPT_REFUSED,
                      decision->reason);
    }
}

/* First come, first served; what is past its deadline is dropped at the head. */
static void
pump_fifo (world_t *world, int32_t index)
{
  endpoint_t *endpoint = &world->endpoints[index];

  while (endpoint->fifo_count > 0 && endpoint->running < world->scenario->slots)
    {
      const int32_t request = endpoint->fifo[0];

      endpoint->fifo_count--;
      memmove (endpoint->fifo, endpoint->fifo + 1,
               (size_t)endpoint->fifo_count * sizeof endpoint->fifo[0]);
      bt_set_waiting (world, request, false);
      if (bt_get_deadline_left_ms (world, &world->requests[request]) > 0)
        bt_start_run (world, request, index);
      else
        reply_to_entry (world, request, world->requests[request].attempt, index,
                        BT_ATTEMPT_CANCELLED, BT_REASON_DEADLINE_UNREACHABLE);
    }
}

void
bt_pump_agent (world_t *world, int32_t index)
{
  bt_run_decision_t decision;

  if (world->policy->omniscient)
    {
      world->policy->tick (world, world->state, 0);
      return;
    }
  if (world->endpoints[index].dead)
    return;
  if (!world->policy->fair_agent)
    {
      pump_fifo (world, index);
      return;
    }
  while (bt_next_run (world->endpoints[index].queue, bt_world_now_ms (world), &decision))
    apply_decision (world, index, &decision);
}

void
bt_receive_request (world_t *world, const event_t *event)
{
  endpoint_t *endpoint = &world->endpoints[event->endpoint];
  const request_t *request = &world->requests[event->request];
  bt_run_decision_t decision;
  char account[BT_NAME_BYTES];

  if (endpoint->dead || event->attempt != request->attempt)
    return;
  if (!world->policy->fair_agent)
    {
      if (endpoint->fifo_count == FIFO_LIMIT)
        {
          reply_to_entry (world, event->request, event->attempt, event->endpoint,
                          BT_ATTEMPT_REFUSED, BT_REASON_ENDPOINT_FULL);
          return;
        }
      endpoint->fifo[endpoint->fifo_count++] = event->request;
      bt_set_waiting (world, event->request, true);
      pump_fifo (world, event->endpoint);
      return;
    }
  snprintf (account, sizeof account, "account-%d", request->account);
  bt_offer_run (world->ctx, endpoint->queue,
                &(bt_run_request_t){ .id = (uint64_t)event->request,
                                     .account = account,
                                     .deadline_left_ms = bt_get_deadline_left_ms (world, request) },
                bt_world_now_ms (world), &decision);
  apply_decision (world, event->endpoint, &decision);
  bt_pump_agent (world, event->endpoint);
}

void
bt_get_engine_load (const world_t *world, int32_t index, bt_load_t *load)
{
  const endpoint_t *endpoint = &world->endpoints[index];

  bt_get_run_load (endpoint->queue, load);
  if (world->policy->fair_agent)
    return;
  load->running = endpoint->running;
  load->queued = endpoint->fifo_count;
}

static void
free_slot (world_t *world, int32_t index, int32_t slot, int64_t service_ms)
{
  endpoint_t *endpoint = &world->endpoints[index];

  endpoint->runs[slot] = endpoint->runs[--endpoint->running];
  bt_end_run (endpoint->queue, service_ms);
}

static void
end_run (world_t *world, int32_t index, int32_t slot)
{
  const run_t run = world->endpoints[index].runs[slot];
  const request_t *request = &world->requests[run.request];
  const int64_t service_ms = bt_world_now_ms (world) - request->start_us / MS_US;

  free_slot (world, index, slot, service_ms > 0 ? service_ms : 1);
  if (request->attempt != run.attempt)
    {
      world->sums.wasted++;
      return;
    }
  reply_to_entry (world, run.request, run.attempt, index, BT_ATTEMPT_ANSWERED, BT_REASON_NONE);
}

static void
step_endpoint (world_t *world, int32_t index)
{
  endpoint_t *endpoint = &world->endpoints[index];

  if (endpoint->dead || endpoint->silent)
    return;
  for (int32_t slot = endpoint->running - 1; slot >= 0; slot--)
    {
      run_t *run = &endpoint->runs[slot];
      request_t *request = &world->requests[run->request];

      if (run->prefill_left > 0)
        {
          run->prefill_left--;
          continue;
        }
      if (request->first_token_us == 0 && request->attempt == run->attempt)
        request->first_token_us = world->now_us + world->scenario->latency_us;
      if (--run->output_left <= 0)
        end_run (world, index, slot);
    }
}

static void
measure_skew (world_t *world, const group_t *group)
{
  int64_t sum = 0;
  int64_t most = 0;
  int32_t ranks = 0;

  for (int32_t i = 0; i < group->ranks; i++)
    {
      const endpoint_t *endpoint = &world->endpoints[group->first + i];
      const int64_t rank_us =
          world->scenario->step_us + endpoint->running * world->scenario->request_us;

      if (endpoint->dead || endpoint->silent)
        continue;
      sum += rank_us;
      most = rank_us > most ? rank_us : most;
      ranks++;
    }
  if (ranks == 0)
    return;
  world->sums.steps++;
  world->sums.skew += (double)most * ranks / (double)sum - 1;
}

void
bt_step_group (world_t *world, const event_t *event)
{
  group_t *group = &world->groups[event->endpoint];
  int32_t running = 0;

  measure_skew (world, group);
  group->stepping = false;
  for (int32_t i = 0; i < group->ranks; i++)
    step_endpoint (world, group->first + i);
  for (int32_t i = 0; i < group->ranks; i++)
    {
      bt_pump_agent (world, group->first + i);
      if (!world->endpoints[group->first + i].silent)
        running += world->endpoints[group->first + i].running;
    }
  if (running > 0)
    start_stepping (world, event->endpoint);
}

/* The agent gives up on an engine that says nothing for too long. */
void
bt_check_silence (world_t *world, const event_t *event)
{
  endpoint_t *endpoint = &world->endpoints[event->endpoint];

  if (!endpoint->silent || endpoint->dead)
    return;
  for (int32_t slot = 0; slot < endpoint->running; slot++)
    if (endpoint->runs[slot].request == event->request
        && endpoint->runs[slot].attempt == event->attempt)
      {
        free_slot (world, event->endpoint, slot, 0);
        reply_to_entry (world, event->request, event->attempt, event->endpoint, BT_ATTEMPT_FAILED,
                        BT_REASON_ENGINE_SILENT);
        break;
      }
  bt_pump_agent (world, event->endpoint);
}

static void
tell_links (world_t *world, int32_t index, event_kind_t kind, int64_t after_ms)
{
  for (int32_t entry = 0; entry < ENTRIES; entry++)
    {
      event_t event = { .kind = kind, .endpoint = index, .entry = entry };

      event.value = world->endpoints[index].incarnation;
      event.at_us = world->now_us + after_ms * MS_US
                    + (int64_t)bt_random_below (&world->random, (uint64_t)LINK_DIAL_MS * MS_US);
      bt_push_event (world, &event);
    }
}

static void
forget_queue (world_t *world, int32_t index)
{
  endpoint_t *endpoint = &world->endpoints[index];

  for (int32_t i = 0; i < endpoint->fifo_count; i++)
    bt_set_waiting (world, endpoint->fifo[i], false);
  for (int32_t i = 0; i < world->request_count; i++)
    if (world->requests[i].endpoint == index)
      bt_set_waiting (world, i, false);
  bt_drop_run_queue (world->ctx, endpoint->queue);
  endpoint->queue = make_queue (world);
  endpoint->fifo_count = 0;
  endpoint->running = 0;
  memset (endpoint->cache, 0, sizeof endpoint->cache);
}

static void
set_dead (world_t *world, int32_t index, bool dead, int64_t notice_ms)
{
  endpoint_t *endpoint = &world->endpoints[index];

  if (endpoint->dead == dead)
    return;
  endpoint->dead = dead;
  if (dead)
    {
      tell_links (world, index, EVENT_LINK_DOWN, notice_ms);
      forget_queue (world, index);
      return;
    }
  endpoint->incarnation++;
  tell_links (world, index, EVENT_LINK_UP, LINK_DIAL_MS);
}

static void
flap (world_t *world, const event_t *event, const fault_t *fault, bool begins)
{
  event_t next = *event;

  for (int32_t i = 0; i < fault->count; i++)
    set_dead (world, fault->first + i, begins, LINK_RESET_MS);
  next.kind = begins ? EVENT_HEAL : EVENT_FAULT;
  next.at_us = world->now_us + (int64_t)FLAP_MS * MS_US;
  if (begins || next.at_us < fault->to_ms * MS_US)
    bt_push_event (world, &next);
}

void
bt_set_fault (world_t *world, const event_t *event, bool begins)
{
  const fault_t *fault = &world->scenario->faults[event->value];

  if (fault->kind == FAULT_FLAPPING)
    {
      flap (world, event, fault, begins);
      return;
    }
  for (int32_t i = fault->first; i < fault->first + fault->count; i++)
    {
      if (fault->kind == FAULT_SLOW)
        world->groups[world->endpoints[i].group].slow = begins ? SLOW_FACTOR : 1;
      else if (fault->kind == FAULT_DEAD)
        set_dead (world, i, begins, LINK_IDLE_MS);
      else
        {
          world->endpoints[i].silent = begins;
          start_stepping (world, world->endpoints[i].group);
        }
    }
}
