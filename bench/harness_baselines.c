#include "bilberrytray/load/retry_budget.h"
#include "harness_policies.h"

/* What one entry knows under a baseline. */
typedef struct baseline_entry
{
  bt_retry_budget_t *budget;
  int32_t next;
  bool linked[MAX_ENDPOINTS];
  int32_t own[MAX_ENDPOINTS];
  int32_t reported[MAX_ENDPOINTS];
} baseline_entry_t;

/* Chooses among endpoints whose link is up; -1 when there are none. */
typedef int32_t (*choose_t) (world_t *world,
                             baseline_entry_t *entry,
                             const int32_t *linked,
                             int32_t count);

typedef struct baseline
{
  choose_t choose;
  baseline_entry_t entries[ENTRIES];
} baseline_t;

static int32_t
choose_next (world_t *world, baseline_entry_t *entry, const int32_t *linked, int32_t count)
{
  (void)world;
  entry->next = (entry->next + 1) % count;
  return linked[entry->next];
}

static int32_t
choose_random (world_t *world, baseline_entry_t *entry, const int32_t *linked, int32_t count)
{
  (void)entry;
  return linked[bt_random_below (&world->random, (uint64_t)count)];
}

static int32_t
choose_of_two (world_t *world, baseline_entry_t *entry, const int32_t *linked, int32_t count)
{
  const int32_t left = choose_random (world, entry, linked, count);
  const int32_t right = choose_random (world, entry, linked, count);

  return entry->own[left] <= entry->own[right] ? left : right;
}

static int32_t
choose_least_reported (world_t *world,
                       baseline_entry_t *entry,
                       const int32_t *linked,
                       int32_t count)
{
  const int32_t first = (int32_t)bt_random_below (&world->random, (uint64_t)count);
  int32_t best = linked[first];

  for (int32_t i = 1; i < count; i++)
    {
      const int32_t at = linked[(first + i) % count];

      if (entry->reported[at] < entry->reported[best])
        best = at;
    }
  return best;
}

static void *
start_baseline (world_t *world, choose_t choose)
{
  baseline_t *state = bt_calloc (world->ctx, 1, sizeof *state);
  bt_retry_budget_options_t options;

  bt_default_retry_budget_options (&options);
  state->choose = choose;
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      state->entries[i].budget = bt_new_retry_budget (world->ctx, &options);
      state->entries[i].next = (int32_t)bt_random_below (&world->random, MAX_ENDPOINTS);
      for (int32_t k = 0; k < world->scenario->endpoints; k++)
        state->entries[i].linked[k] = true;
    }
  return state;
}

static void *
start_round_robin (world_t *world)
{
  return start_baseline (world, choose_next);
}

static void *
start_random (world_t *world)
{
  return start_baseline (world, choose_random);
}

static void *
start_two_choices (world_t *world)
{
  return start_baseline (world, choose_of_two);
}

static void *
start_least_reported (world_t *world)
{
  return start_baseline (world, choose_least_reported);
}

static void
stop_baseline (world_t *world, void *data)
{
  baseline_t *state = data;

  for (int32_t i = 0; i < ENTRIES; i++)
    bt_drop_retry_budget (world->ctx, state->entries[i].budget);
  bt_free (world->ctx, state);
}

static void
dispatch (world_t *world, baseline_t *state, int32_t index)
{
  baseline_entry_t *entry = &state->entries[world->requests[index].entry];
  int32_t linked[MAX_ENDPOINTS];
  int32_t count = 0;
  int32_t endpoint;

  for (int32_t i = 0; i < world->scenario->endpoints; i++)
    if (entry->linked[i])
      linked[count++] = i;
  if (count == 0)
    {
      bt_end_request (world, index, ENDING_REFUSED, BT_REASON_NO_ENDPOINT);
      return;
    }
  endpoint = state->choose (world, entry, linked, count);
  entry->own[endpoint]++;
  bt_send_request (world, index, endpoint);
}

static void
arrive_baseline (world_t *world, void *data, int32_t index)
{
  baseline_t *state = data;

  bt_record_attempt (state->entries[world->requests[index].entry].budget);
  dispatch (world, state, index);
}

static void
try_again (world_t *world, baseline_t *state, int32_t index, bt_retry_t retry, bool not_run)
{
  request_t *request = &world->requests[index];
  baseline_entry_t *entry = &state->entries[request->entry];

  if (!not_run && !request->idempotent)
    bt_end_request (world, index, ENDING_UNKNOWN, BT_REASON_LINK_LOST);
  else if (!bt_take_retry (world->ctx, entry->budget, retry))
    bt_end_request (world, index, ENDING_REFUSED, BT_REASON_RETRY_BUDGET);
  else
    {
      world->sums.retries++;
      request->first_token_us = 0;
      dispatch (world, state, index);
    }
}

static void
reply_baseline (world_t *world, void *data, const event_t *event)
{
  baseline_t *state = data;
  const request_t *request = &world->requests[event->request];
  baseline_entry_t *entry = &state->entries[event->entry];

  if (entry->own[event->endpoint] > 0)
    entry->own[event->endpoint]--;
  if (event->end == BT_ATTEMPT_ANSWERED)
    bt_end_request (world, event->request,
                    world->now_us <= request->deadline_us ? ENDING_GOOD : ENDING_LATE,
                    BT_REASON_NONE);
  else if (event->end == BT_ATTEMPT_CANCELLED)
    bt_end_request (world, event->request, ENDING_REFUSED, event->reason);
  else if (event->end == BT_ATTEMPT_REFUSED)
    try_again (world, state, event->request, BT_RETRY_ENDPOINT_FULL, true);
  else
    try_again (world, state, event->request, BT_RETRY_ENGINE_SILENT, false);
}

static void
load_baseline (world_t *world, void *data, const event_t *event)
{
  baseline_t *state = data;

  state->entries[event->entry].reported[event->endpoint] = event->load.running + event->load.queued;
}

static void
cache_baseline (world_t *world, void *data, const event_t *event)
{
  (void)world;
  (void)data;
  (void)event;
}

static void
link_baseline (world_t *world, void *data, const event_t *event)
{
  baseline_t *state = data;
  baseline_entry_t *entry = &state->entries[event->entry];
  const int32_t count = world->request_count;

  entry->linked[event->endpoint] = event->kind == EVENT_LINK_UP;
  entry->own[event->endpoint] = 0;
  entry->reported[event->endpoint] = 0;
  if (event->kind == EVENT_LINK_UP)
    return;
  for (int32_t i = 0; i < count; i++)
    if (world->requests[i].endpoint == event->endpoint && world->requests[i].entry == event->entry
        && world->requests[i].ending == ENDING_NONE)
      try_again (world, state, i, BT_RETRY_LINK_LOST, false);
}

static void
tick_baseline (world_t *world, void *data, int32_t entry)
{
  (void)world;
  (void)data;
  (void)entry;
}

#define BASELINE(start_it)                                                                         \
  .start = (start_it), .stop = stop_baseline, .arrive = arrive_baseline, .reply = reply_baseline,  \
  .load = load_baseline, .cache = cache_baseline, .link = link_baseline, .tick = tick_baseline

const policy_t bt_round_robin_policy = { .name = "round robin", BASELINE (start_round_robin) };
const policy_t bt_random_policy = { .name = "random", BASELINE (start_random) };
const policy_t bt_two_choices_policy = { .name = "two choices", BASELINE (start_two_choices) };
const policy_t bt_least_reported_policy = { .name = "least reported",
                                            BASELINE (start_least_reported) };
