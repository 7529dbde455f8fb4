#include "harness_policies.h"

/* The central queue, ordered by deadline as a heap of request numbers. */
typedef struct central
{
  int32_t *heap;
  int32_t count;
  int32_t capacity;
} central_t;

static void *
start_central (world_t *world)
{
  central_t *state = bt_calloc (world->ctx, 1, sizeof *state);

  state->capacity = world->request_count + 1;
  state->heap = bt_calloc (world->ctx, (size_t)state->capacity, sizeof *state->heap);
  return state;
}

static void
stop_central (world_t *world, void *data)
{
  central_t *state = data;

  bt_free (world->ctx, state->heap);
  bt_free (world->ctx, state);
}

static int64_t
get_deadline (const world_t *world, const central_t *state, int32_t at)
{
  return world->requests[state->heap[at]].deadline_us;
}

static void
swap (central_t *state, int32_t left, int32_t right)
{
  const int32_t kept = state->heap[left];

  state->heap[left] = state->heap[right];
  state->heap[right] = kept;
}

static void
push_request (world_t *world, central_t *state, int32_t index)
{
  int32_t at = state->count++;

  state->heap[at] = index;
  while (at > 0 && get_deadline (world, state, at) < get_deadline (world, state, (at - 1) / 2))
    {
      swap (state, at, (at - 1) / 2);
      at = (at - 1) / 2;
    }
}

static void
pop_request (world_t *world, central_t *state)
{
  int32_t at = 0;

  state->heap[0] = state->heap[--state->count];
  while (true)
    {
      int32_t least = at;

      for (int32_t child = 2 * at + 1; child <= 2 * at + 2; child++)
        if (child < state->count
            && get_deadline (world, state, child) < get_deadline (world, state, least))
          least = child;
      if (least == at)
        return;
      swap (state, at, least);
      at = least;
    }
}

/* The endpoint with a free slot that would finish the request first, the emptier one of equals; -1
 * when no slot is free. */
static int32_t
find_best (const world_t *world, const request_t *request, int64_t *best_us)
{
  int32_t best = -1;

  for (int32_t i = 0; i < world->scenario->endpoints; i++)
    {
      const endpoint_t *endpoint = &world->endpoints[i];
      int64_t us;

      if (endpoint->dead || endpoint->silent || endpoint->running >= world->scenario->slots)
        continue;
      us = world->policy->clairvoyant ? bt_foresee_run_us (world, request, i)
                                      : bt_expect_run_us (world, request, i);
      if (best >= 0
          && (us > *best_us
              || (us == *best_us && endpoint->running >= world->endpoints[best].running)))
        continue;
      best = i;
      *best_us = us;
    }
  return best;
}

static void
assign (world_t *world, central_t *state)
{
  while (state->count > 0)
    {
      const int32_t index = state->heap[0];
      request_t *request = &world->requests[index];
      int64_t best_us = 0;
      const int32_t best = find_best (world, request, &best_us);

      if (bt_get_deadline_left_ms (world, request) <= 0)
        {
          pop_request (world, state);
          bt_end_request (world, index, ENDING_REFUSED, BT_REASON_DEADLINE_UNREACHABLE);
          continue;
        }
      if (best < 0)
        return;
      pop_request (world, state);
      if (world->now_us + best_us + world->scenario->latency_us <= request->deadline_us)
        bt_start_run (world, index, best);
      else
        bt_end_request (world, index, ENDING_REFUSED, BT_REASON_DEADLINE_UNREACHABLE);
    }
}

static void
arrive_central (world_t *world, void *data, int32_t index)
{
  central_t *state = data;

  bt_set_waiting (world, index, true);
  push_request (world, state, index);
  assign (world, state);
}

static void
reply_central (world_t *world, void *data, const event_t *event)
{
  const request_t *request = &world->requests[event->request];
  central_t *state = data;

  if (event->end == BT_ATTEMPT_ANSWERED)
    bt_end_request (world, event->request,
                    world->now_us <= request->deadline_us ? ENDING_GOOD : ENDING_LATE,
                    BT_REASON_NONE);
  else if (request->idempotent)
    {
      world->sums.retries++;
      world->requests[event->request].attempt++;
      push_request (world, state, event->request);
    }
  else
    bt_end_request (world, event->request, ENDING_UNKNOWN, event->reason);
  assign (world, state);
}

static void
ignore_event (world_t *world, void *data, const event_t *event)
{
  (void)world;
  (void)data;
  (void)event;
}

static void
link_central (world_t *world, void *data, const event_t *event)
{
  central_t *state = data;

  for (int32_t i = 0; event->kind == EVENT_LINK_DOWN && i < world->request_count; i++)
    {
      request_t *request = &world->requests[i];

      if (request->endpoint != event->endpoint || request->ending != ENDING_NONE
          || request->entry != event->entry)
        continue;
      if (!request->idempotent)
        {
          bt_end_request (world, i, ENDING_UNKNOWN, BT_REASON_LINK_LOST);
          continue;
        }
      world->sums.retries++;
      request->attempt++;
      request->endpoint = -1;
      push_request (world, state, i);
    }
  assign (world, state);
}

static void
tick_central (world_t *world, void *data, int32_t entry)
{
  (void)entry;
  assign (world, data);
}

#define CENTRAL                                                                                    \
  .omniscient = true, .start = start_central, .stop = stop_central, .arrive = arrive_central,      \
  .reply = reply_central, .load = ignore_event, .cache = ignore_event, .link = link_central,       \
  .tick = tick_central

const policy_t bt_omniscient_policy = { .name = "omniscient", CENTRAL };
const policy_t bt_clairvoyant_policy = { .name = "omniscient, lengths too",
                                         .clairvoyant = true,
                                         CENTRAL };
