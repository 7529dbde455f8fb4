#include "bilberrytray/load/retry_budget.h"
#include "harness_policies.h"

/* State of one entry instance under a baseline policy. */
typedef struct baseline_entry
{
  bt_retry_budget_t *budget;
  int32_t next;
  bool linked[MAX_ENDPOINTS];
  int32_t in_flight[MAX_ENDPOINTS];
  int32_t reported[MAX_ENDPOINTS];
} baseline_entry_t;

/* Chooses one of @p count endpoints whose link is up; @p count is at least 1. */
typedef int32_t (*choose_t) (simulation_t *sim,
                             baseline_entry_t *entry,
                             const int32_t *linked,
                             int32_t count);

typedef struct baseline
{
  choose_t choose;
  baseline_entry_t entries[ENTRIES];
} baseline_t;

static int32_t
choose_next (simulation_t *sim, baseline_entry_t *entry, const int32_t *linked, int32_t count)
{
  (void)sim;
  entry->next = (entry->next + 1) % count;
  return linked[entry->next];
}

static int32_t
choose_random (simulation_t *sim, baseline_entry_t *entry, const int32_t *linked, int32_t count)
{
  (void)entry;
  return linked[bt_random_below (&sim->random, (uint64_t)count)];
}

static int32_t
choose_of_two (simulation_t *sim, baseline_entry_t *entry, const int32_t *linked, int32_t count)
{
  const int32_t left = choose_random (sim, entry, linked, count);
  const int32_t right = choose_random (sim, entry, linked, count);

  return entry->in_flight[left] <= entry->in_flight[right] ? left : right;
}

static int32_t
choose_least_reported (simulation_t *sim,
                       baseline_entry_t *entry,
                       const int32_t *linked,
                       int32_t count)
{
  const int32_t first = (int32_t)bt_random_below (&sim->random, (uint64_t)count);
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
start_baseline (simulation_t *sim, choose_t choose)
{
  baseline_t *state = bt_calloc (sim->ctx, 1, sizeof *state);
  bt_retry_budget_options_t options;

  bt_default_retry_budget_options (&options);
  state->choose = choose;
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      state->entries[i].budget = bt_new_retry_budget (sim->ctx, &options);
      state->entries[i].next = (int32_t)bt_random_below (&sim->random, MAX_ENDPOINTS);
      for (int32_t k = 0; k < sim->scenario->endpoints; k++)
        state->entries[i].linked[k] = true;
    }
  return state;
}

static void *
start_round_robin (simulation_t *sim)
{
  return start_baseline (sim, choose_next);
}

static void *
start_random (simulation_t *sim)
{
  return start_baseline (sim, choose_random);
}

static void *
start_two_choices (simulation_t *sim)
{
  return start_baseline (sim, choose_of_two);
}

static void *
start_least_reported (simulation_t *sim)
{
  return start_baseline (sim, choose_least_reported);
}

static void
stop_baseline (simulation_t *sim, void *data)
{
  baseline_t *state = data;

  for (int32_t i = 0; i < ENTRIES; i++)
    bt_drop_retry_budget (sim->ctx, state->entries[i].budget);
  bt_free (sim->ctx, state);
}

static void
dispatch (simulation_t *sim, baseline_t *state, int32_t index)
{
  baseline_entry_t *entry = &state->entries[sim->requests[index].entry];
  int32_t linked[MAX_ENDPOINTS];
  int32_t count = 0;
  int32_t endpoint;

  for (int32_t i = 0; i < sim->scenario->endpoints; i++)
    if (entry->linked[i])
      linked[count++] = i;
  if (count == 0)
    {
      bt_end_request (sim, index, OUTCOME_REFUSED, BT_REASON_NO_ENDPOINT);
      return;
    }
  endpoint = state->choose (sim, entry, linked, count);
  entry->in_flight[endpoint]++;
  bt_send_request (sim, index, endpoint);
}

static void
arrive_baseline (simulation_t *sim, void *data, int32_t index)
{
  baseline_t *state = data;

  bt_record_attempt (state->entries[sim->requests[index].entry].budget);
  dispatch (sim, state, index);
}

static void
retry_request (
    simulation_t *sim, baseline_t *state, int32_t index, bt_retry_t retry, bool not_executed)
{
  request_t *request = &sim->requests[index];
  baseline_entry_t *entry = &state->entries[request->entry];

  if (!not_executed && !request->idempotent)
    bt_end_request (sim, index, OUTCOME_UNKNOWN, BT_REASON_LINK_LOST);
  else if (!bt_take_retry (sim->ctx, entry->budget, retry))
    bt_end_request (sim, index, OUTCOME_REFUSED, BT_REASON_RETRY_BUDGET);
  else
    {
      sim->counters.retries++;
      request->first_token_us = 0;
      dispatch (sim, state, index);
    }
}

static void
reply_baseline (simulation_t *sim, void *data, const event_t *event)
{
  baseline_t *state = data;
  const request_t *request = &sim->requests[event->request];
  baseline_entry_t *entry = &state->entries[event->entry];

  if (entry->in_flight[event->endpoint] > 0)
    entry->in_flight[event->endpoint]--;
  if (event->end == BT_ATTEMPT_ANSWERED)
    bt_end_request (sim, event->request,
                    sim->now_us <= request->deadline_us ? OUTCOME_IN_TIME : OUTCOME_LATE,
                    BT_REASON_NONE);
  else if (event->end == BT_ATTEMPT_CANCELLED)
    bt_end_request (sim, event->request, OUTCOME_REFUSED, event->reason);
  else if (event->end == BT_ATTEMPT_REFUSED)
    retry_request (sim, state, event->request, BT_RETRY_ENDPOINT_FULL, true);
  else
    retry_request (sim, state, event->request, BT_RETRY_ENGINE_SILENT, false);
}

static void
load_baseline (simulation_t *sim, void *data, const event_t *event)
{
  baseline_t *state = data;

  state->entries[event->entry].reported[event->endpoint] = event->load.running + event->load.queued;
}

static void
cache_baseline (simulation_t *sim, void *data, const event_t *event)
{
  (void)sim;
  (void)data;
  (void)event;
}

static void
link_baseline (simulation_t *sim, void *data, const event_t *event)
{
  baseline_t *state = data;
  baseline_entry_t *entry = &state->entries[event->entry];
  const int32_t count = sim->request_count;

  entry->linked[event->endpoint] = event->kind == EVENT_LINK_UP;
  entry->in_flight[event->endpoint] = 0;
  entry->reported[event->endpoint] = 0;
  if (event->kind == EVENT_LINK_UP)
    return;
  for (int32_t i = 0; i < count; i++)
    if (sim->requests[i].endpoint == event->endpoint && sim->requests[i].entry == event->entry
        && sim->requests[i].outcome == OUTCOME_NONE)
      retry_request (sim, state, i, BT_RETRY_LINK_LOST, false);
}

static void
tick_baseline (simulation_t *sim, void *data, int32_t entry)
{
  (void)sim;
  (void)data;
  (void)entry;
}

#define BASELINE(start_function)                                                                   \
  .start = (start_function), .stop = stop_baseline, .on_arrival = arrive_baseline,                 \
  .on_reply = reply_baseline, .on_load = load_baseline, .on_cache_event = cache_baseline,          \
  .on_link_event = link_baseline, .on_tick = tick_baseline

const policy_t bt_round_robin_policy = { .name = "round robin", BASELINE (start_round_robin) };
const policy_t bt_random_policy = { .name = "random", BASELINE (start_random) };
const policy_t bt_two_choices_policy = { .name = "two choices", BASELINE (start_two_choices) };
const policy_t bt_least_reported_policy = { .name = "least reported",
                                            BASELINE (start_least_reported) };
