#include "harness_policies.h"

/* The central queue: a heap of request indices, ordered by deadline. */
typedef struct central_queue
{
  int32_t *heap;
  int32_t count;
  int32_t capacity;
} central_queue_t;

static void *
start_central (simulation_t *sim)
{
  central_queue_t *state = bt_calloc (sim->ctx, 1, sizeof *state);

  state->capacity = sim->request_count + 1;
  state->heap = bt_calloc (sim->ctx, (size_t)state->capacity, sizeof *state->heap);
  return state;
}

static void
stop_central (simulation_t *sim, void *data)
{
  central_queue_t *state = data;

  bt_free (sim->ctx, state->heap);
  bt_free (sim->ctx, state);
}

static int64_t
get_deadline (const simulation_t *sim, const central_queue_t *state, int32_t at)
{
  return sim->requests[state->heap[at]].deadline_us;
}

static void
swap (central_queue_t *state, int32_t left, int32_t right)
{
  const int32_t saved = state->heap[left];

  state->heap[left] = state->heap[right];
  state->heap[right] = saved;
}

static void
push_request (simulation_t *sim, central_queue_t *state, int32_t index)
{
  int32_t at = state->count++;

  state->heap[at] = index;
  while (at > 0 && get_deadline (sim, state, at) < get_deadline (sim, state, (at - 1) / 2))
    {
      swap (state, at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
}

static void
pop_request (simulation_t *sim, central_queue_t *state)
{
  int32_t at = 0;

  state->heap[0] = state->heap[--state->count];
  while (true)
    {
      int32_t smallest = at;

      for (int32_t child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < state->count
            && get_deadline (sim, state, child) < get_deadline (sim, state, smallest))
          smallest = child;
      if (smallest == at)
        return;
      swap (state, at, smallest);
      at = smallest;
    }
}

/* Returns the endpoint with a free slot that would complete the request first; among equals, the
 * one with fewest running requests. Returns -1 if no slot is free. */
static int32_t
find_best (const simulation_t *sim, const request_t *request, int64_t *best_us)
{
  int32_t best = -1;

  for (int32_t i = 0; i < sim->scenario->endpoints; i++)
    {
      const endpoint_t *endpoint = &sim->endpoints[i];
      int64_t us;

      if (endpoint->dead || endpoint->silent || endpoint->running >= sim->scenario->slots)
        continue;
      us = sim->policy->clairvoyant ? bt_get_actual_run_us (sim, request, i)
                                    : bt_get_max_run_us (sim, request, i);
      if (best >= 0
          && (us > *best_us
              || (us == *best_us && endpoint->running >= sim->endpoints[best].running)))
        continue;
      best = i;
      *best_us = us;
    }
  return best;
}

static void
assign_requests (simulation_t *sim, central_queue_t *state)
{
  while (state->count > 0)
    {
      const int32_t index = state->heap[0];
      request_t *request = &sim->requests[index];
      int64_t best_us = 0;
      const int32_t best = find_best (sim, request, &best_us);

      if (bt_get_deadline_left_ms (sim, request) <= 0)
        {
          pop_request (sim, state);
          bt_end_request (sim, index, OUTCOME_REFUSED, BT_REASON_DEADLINE_UNREACHABLE);
          continue;
        }
      if (best < 0)
        return;
      pop_request (sim, state);
      if (sim->now_us + best_us + sim->scenario->latency_us <= request->deadline_us)
        bt_start_run (sim, index, best);
      else
        bt_end_request (sim, index, OUTCOME_REFUSED, BT_REASON_DEADLINE_UNREACHABLE);
    }
}

static void
arrive_central (simulation_t *sim, void *data, int32_t index)
{
  central_queue_t *state = data;

  bt_set_request_queued (sim, index, true);
  push_request (sim, state, index);
  assign_requests (sim, state);
}

static void
reply_central (simulation_t *sim, void *data, const event_t *event)
{
  const request_t *request = &sim->requests[event->request];
  central_queue_t *state = data;

  if (event->end == BT_ATTEMPT_ANSWERED)
    bt_end_request (sim, event->request,
                    sim->now_us <= request->deadline_us ? OUTCOME_IN_TIME : OUTCOME_LATE,
                    BT_REASON_NONE);
  else if (request->idempotent)
    {
      sim->counters.retries++;
      sim->requests[event->request].attempt++;
      push_request (sim, state, event->request);
    }
  else
    bt_end_request (sim, event->request, OUTCOME_UNKNOWN, event->reason);
  assign_requests (sim, state);
}

static void
ignore_event (simulation_t *sim, void *data, const event_t *event)
{
  (void)sim;
  (void)data;
  (void)event;
}

static void
link_central (simulation_t *sim, void *data, const event_t *event)
{
  central_queue_t *state = data;

  for (int32_t i = 0; event->kind == EVENT_LINK_DOWN && i < sim->request_count; i++)
    {
      request_t *request = &sim->requests[i];

      if (request->endpoint != event->endpoint || request->outcome != OUTCOME_NONE
          || request->entry != event->entry)
        continue;
      if (!request->idempotent)
        {
          bt_end_request (sim, i, OUTCOME_UNKNOWN, BT_REASON_LINK_LOST);
          continue;
        }
      sim->counters.retries++;
      request->attempt++;
      request->endpoint = -1;
      push_request (sim, state, i);
    }
  assign_requests (sim, state);
}

static void
tick_central (simulation_t *sim, void *data, int32_t entry)
{
  (void)entry;
  assign_requests (sim, data);
}

#define CENTRAL                                                                                    \
  .omniscient = true, .start = start_central, .stop = stop_central, .on_arrival = arrive_central,  \
  .on_reply = reply_central, .on_load = ignore_event, .on_cache_event = ignore_event,              \
  .on_link_event = link_central, .on_tick = tick_central

const policy_t bt_omniscient_policy = { .name = "omniscient", CENTRAL };
const policy_t bt_clairvoyant_policy = { .name = "omniscient, lengths too",
                                         .clairvoyant = true,
                                         CENTRAL };
