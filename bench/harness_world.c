#include "harness_world.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  REPORT_MS = 250,
  TICK_MS = 5,
  DRAIN_MS = 30000,
  FIRST_REQUESTS = 4096,
};

int64_t
bt_world_now_ms (const world_t *world)
{
  return world->now_us / MS_US;
}

int64_t
bt_get_deadline_left_ms (const world_t *world, const request_t *request)
{
  return (request->deadline_us - world->now_us) / MS_US;
}

void
bt_get_world_identity (const world_t *world, int32_t index, bt_identity_t *identity)
{
  memset (identity, 0, sizeof *identity);
  snprintf (identity->instance, sizeof identity->instance, "agent-%d", index);
  identity->incarnation = world->endpoints[index].incarnation;
}

double
bt_get_world_capacity (const scenario_t *scenario)
{
  const double step_us =
      (double)scenario->step_us + (double)scenario->slots * (double)scenario->request_us;
  const double steps =
      (scenario->output_min + scenario->output_max) / 2.0 + scenario->prefill_steps / 2.0;

  return scenario->endpoints * scenario->slots * (double)SECOND_US / (steps * step_us);
}

static int64_t
draw_between (bt_random_t *random, int64_t least, int64_t most)
{
  return least + (int64_t)bt_random_below (random, (uint64_t)(most - least + 1));
}

static request_t *
add_request (world_t *world)
{
  request_t *request;

  if (world->request_count == world->request_capacity)
    {
      world->request_capacity =
          world->request_capacity == 0 ? FIRST_REQUESTS : 2 * world->request_capacity;
      world->requests = bt_realloc (world->ctx, world->requests, (size_t)world->request_capacity,
                                    sizeof *world->requests);
    }
  request = &world->requests[world->request_count++];
  memset (request, 0, sizeof *request);
  request->endpoint = -1;
  return request;
}

static int32_t
draw_account (const scenario_t *scenario, bt_random_t *random, bool large)
{
  const int32_t small = scenario->accounts - scenario->large;

  if (large || small == 0)
    return (int32_t)bt_random_below (random, (uint64_t)scenario->large);
  return scenario->large + (int32_t)bt_random_below (random, (uint64_t)small);
}

static void
draw_request (world_t *world, bt_random_t *random, int64_t at_us, bool burst_part)
{
  const scenario_t *scenario = world->scenario;
  const bool large = bt_random_unit (random) < scenario->large_share;
  request_t *request = add_request (world);

  request->arrive_us = at_us;
  request->account =
      draw_account (scenario, random, large || (burst_part && scenario->burst_large_only));
  request->entry = (int32_t)bt_random_below (random, ENTRIES);
  request->output = (int32_t)draw_between (random, scenario->output_min, scenario->output_max);
  request->deadline_us =
      at_us + draw_between (random, scenario->deadline_min_ms, scenario->deadline_max_ms) * MS_US;
  request->idempotent = bt_random_below (random, 2) == 0;
  if (scenario->prefixes > 0)
    request->prefix = 1 + bt_random_below (random, (uint64_t)scenario->prefixes);
}

/* Arrivals at random moments whose rate follows the load of the scenario. */
static void
draw_requests (world_t *world, uint64_t seed)
{
  const scenario_t *scenario = world->scenario;
  const double capacity = bt_get_world_capacity (scenario);
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
      draw_request (world, &random, (int64_t)(at_ms * MS_US),
                    burst && bt_random_unit (&random) > scenario->base_load / load);
    }
}

void
bt_set_waiting (world_t *world, int32_t index, bool waiting)
{
  request_t *request = &world->requests[index];

  if (request->waiting == waiting)
    return;
  request->waiting = waiting;
  world->waiting += waiting ? 1 : -1;
}

/* A refusal is needless when some healthy endpoint has a free slot and time for the longest answer,
 * or when all could serve what waits now, and then this request, within four fifths of the time
 * that it had left. */
static bool
is_needless (const world_t *world, const request_t *request)
{
  const double left_us = (double)(request->deadline_us - world->now_us) * 4 / 5;
  double best_us = left_us + 1;
  double per_us = 0;

  for (int32_t i = 0; i < world->scenario->endpoints; i++)
    {
      const endpoint_t *endpoint = &world->endpoints[i];
      const double run_us = (double)bt_expect_run_us (world, request, i);

      if (endpoint->dead || endpoint->silent)
        continue;
      per_us += (double)world->scenario->slots / run_us;
      if (endpoint->running < world->scenario->slots && run_us <= left_us)
        return true;
      best_us = run_us < best_us ? run_us : best_us;
    }
  return per_us > 0 && (world->waiting + 1) / per_us + best_us <= left_us;
}

void
bt_end_request (world_t *world, int32_t index, ending_t ending, bt_reason_t reason)
{
  request_t *request = &world->requests[index];

  if (request->ending != ENDING_NONE)
    return;
  bt_set_waiting (world, index, false);
  request->needless = ending == ENDING_REFUSED && is_needless (world, request);
  request->ending = ending;
  request->reason = reason;
  request->end_us = world->now_us;
  request->endpoint = -1;
  request->attempt++;
  world->open--;
}

void
bt_send_request (world_t *world, int32_t index, int32_t endpoint)
{
  request_t *request = &world->requests[index];
  event_t event = { .kind = EVENT_AT_AGENT, .request = index, .endpoint = endpoint };

  bt_set_waiting (world, index, false);
  request->endpoint = endpoint;
  request->sent_us = world->now_us;
  request->attempt++;
  event.attempt = request->attempt;
  event.at_us = world->now_us + world->scenario->latency_us;
  bt_push_event (world, &event);
}

static void
report_load (world_t *world, const event_t *event)
{
  const scenario_t *scenario = world->scenario;
  event_t next = *event;

  next.at_us = world->now_us + (int64_t)REPORT_MS * MS_US;
  bt_push_event (world, &next);
  if (world->endpoints[event->endpoint].dead)
    return;
  for (int32_t entry = 0; entry < ENTRIES; entry++)
    {
      event_t load = { .kind = EVENT_LOAD, .endpoint = event->endpoint, .entry = entry };
      const int64_t lag_ms =
          draw_between (&world->random, scenario->lag_min_ms, scenario->lag_max_ms);

      bt_get_engine_load (world, event->endpoint, &load.load);
      load.load.age_ms = lag_ms;
      load.value = world->endpoints[event->endpoint].incarnation;
      load.at_us = world->now_us + lag_ms * MS_US;
      bt_push_event (world, &load);
    }
}

static void
receive_reply (world_t *world, const event_t *event)
{
  request_t *request = &world->requests[event->request];

  if (event->attempt != request->attempt || request->ending != ENDING_NONE)
    return;
  world->policy->reply (world, world->state, event);
}

static void
tick (world_t *world, const event_t *event)
{
  event_t next = *event;

  world->policy->tick (world, world->state, event->entry);
  next.at_us = world->now_us + (int64_t)TICK_MS * MS_US;
  bt_push_event (world, &next);
}

static void
arrive (world_t *world, const event_t *event)
{
  event_t next = *event;

  next.request++;
  if (next.request < world->request_count)
    {
      next.at_us = world->requests[next.request].arrive_us;
      bt_push_event (world, &next);
    }
  world->policy->arrive (world, world->state, event->request);
}

static void
handle_event (world_t *world, const event_t *event)
{
  switch (event->kind)
    {
    case EVENT_ARRIVE:
      arrive (world, event);
      break;
    case EVENT_AT_AGENT:
      bt_receive_request (world, event);
      break;
    case EVENT_AT_ENTRY:
      receive_reply (world, event);
      break;
    case EVENT_STEP:
      bt_step_group (world, event);
      break;
    case EVENT_REPORT:
      report_load (world, event);
      break;
    case EVENT_LOAD:
      world->policy->load (world, world->state, event);
      break;
    case EVENT_CACHE:
      world->policy->cache (world, world->state, event);
      break;
    case EVENT_TICK:
      tick (world, event);
      break;
    case EVENT_FAULT:
      bt_set_fault (world, event, true);
      break;
    case EVENT_HEAL:
      bt_set_fault (world, event, false);
      break;
    case EVENT_LINK_DOWN:
    case EVENT_LINK_UP:
      world->policy->link (world, world->state, event);
      break;
    case EVENT_SILENCE:
      bt_check_silence (world, event);
      break;
    }
}

static void
plan_faults (world_t *world)
{
  const scenario_t *scenario = world->scenario;

  for (int32_t i = 0; i < scenario->fault_count; i++)
    {
      event_t event = { .kind = EVENT_FAULT, .value = (uint64_t)i };

      event.at_us = scenario->faults[i].from_ms * MS_US;
      bt_push_event (world, &event);
      event.kind = EVENT_HEAL;
      event.at_us = scenario->faults[i].to_ms * MS_US;
      if (scenario->faults[i].kind != FAULT_FLAPPING)
        bt_push_event (world, &event);
    }
}

static void
plan_events (world_t *world)
{
  event_t first = { .kind = EVENT_ARRIVE, .at_us = world->requests[0].arrive_us };

  bt_push_event (world, &first);
  for (int32_t i = 0; i < world->scenario->endpoints; i++)
    {
      event_t event = { .kind = EVENT_REPORT, .endpoint = i };

      event.at_us = (int64_t)bt_random_below (&world->random, (uint64_t)REPORT_MS * MS_US);
      bt_push_event (world, &event);
    }
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      event_t event = { .kind = EVENT_TICK, .entry = i };

      event.at_us = (int64_t)bt_random_below (&world->random, (uint64_t)TICK_MS * MS_US);
      bt_push_event (world, &event);
    }
  plan_faults (world);
}

world_t *
bt_run_world (bt_context_t *ctx, const scenario_t *scenario, const policy_t *policy, uint64_t seed)
{
  world_t *world = bt_calloc (ctx, 1, sizeof *world);
  event_t event;

  world->ctx = ctx;
  world->scenario = scenario;
  world->policy = policy;
  bt_seed_random (&world->random, seed + 1);
  draw_requests (world, seed);
  world->open = world->request_count;
  bt_make_engines (world);
  world->state = policy->start (world);
  plan_events (world);
  while (world->open > 0 && bt_pop_event (world, &event))
    {
      world->now_us = event.at_us;
      if (bt_world_now_ms (world) > scenario->length_ms + DRAIN_MS)
        break;
      handle_event (world, &event);
    }
  policy->stop (world, world->state);
  return world;
}

void
bt_drop_world (world_t *world)
{
  bt_drop_engines (world);
  bt_free (world->ctx, world->heap);
  bt_free (world->ctx, world->requests);
  bt_free (world->ctx, world);
}
