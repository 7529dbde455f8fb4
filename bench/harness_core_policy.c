#include <stdio.h>
#include <string.h>

#include "bilberrytray/load/retry_budget.h"
#include "harness_policies.h"

static const char app[] = "model";

static core_tweak_t core_tweak;

/* One entry instance. */
typedef struct entry
{
  bt_router_t *router;
  bt_admission_t *admission;
  bt_retry_budget_t *budget;
} entry_t;

typedef struct core_state
{
  entry_t entries[ENTRIES];
} core_state_t;

void
bt_set_core_tweak (core_tweak_t tweak)
{
  core_tweak = tweak;
}

static void
put_endpoint (simulation_t *sim, entry_t *entry, int32_t index)
{
  bt_endpoint_t endpoint;

  memset (&endpoint, 0, sizeof endpoint);
  bt_get_sim_identity (sim, index, &endpoint.identity);
  snprintf (endpoint.name, sizeof endpoint.name, "endpoint-%d", index);
  snprintf (endpoint.app, sizeof endpoint.app, "%s", app);
  snprintf (endpoint.failure_domain, sizeof endpoint.failure_domain, "domain-%d",
            sim->endpoints[index].domain);
  bt_put_endpoint (sim->ctx, entry->router, &endpoint, bt_get_sim_time_ms (sim));
}

static void *
start_core (simulation_t *sim)
{
  core_state_t *state = bt_calloc (sim->ctx, 1, sizeof *state);

  for (int32_t i = 0; i < ENTRIES; i++)
    {
      entry_t *entry = &state->entries[i];
      bt_router_options_t router;
      bt_admission_options_t admission;
      bt_retry_budget_options_t budget;

      bt_default_router_options (&router);
      bt_default_admission_options (&admission);
      bt_default_retry_budget_options (&budget);
      router.default_slots = sim->scenario->slots;
      snprintf (router.failure_domain, sizeof router.failure_domain, "domain-%d",
                i % sim->scenario->domains);
      if (core_tweak != NULL)
        core_tweak (&router, &admission);
      entry->router = bt_new_router (sim->ctx, &router);
      bt_set_router_entries (entry->router, ENTRIES);
      entry->admission = bt_new_admission (sim->ctx, entry->router, &admission);
      entry->budget = bt_new_retry_budget (sim->ctx, &budget);
      for (int32_t k = 0; k < sim->scenario->endpoints; k++)
        put_endpoint (sim, entry, k);
    }
  return state;
}

static void
stop_core (simulation_t *sim, void *data)
{
  core_state_t *state = data;
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      bt_drop_admission (sim->ctx, state->entries[i].admission);
      bt_drop_router (sim->ctx, state->entries[i].router);
      bt_drop_retry_budget (sim->ctx, state->entries[i].budget);
    }
  bt_free (sim->ctx, state);
}

static void
dispatch (simulation_t *sim, entry_t *entry, int32_t index)
{
  request_t *request = &sim->requests[index];
  bt_identity_t excluded[3];
  bt_route_request_t route_request = { .app = app, .account = "", .excluded = excluded };
  int64_t retry_after_ms;
  bt_reason_t reason;
  int32_t endpoint = 0;

  for (int32_t i = 0; i < request->tried_count; i++)
    bt_get_sim_identity (sim, request->tried[i], &excluded[i]);
  route_request.excluded_count = request->tried_count;
  route_request.deadline_left_ms = bt_get_deadline_left_ms (sim, request);
  route_request.prefix = request->prefix;
  route_request.seed = bt_next_random (&sim->random);
  reason = bt_choose_endpoint (entry->router, &route_request, bt_get_sim_time_ms (sim),
                               &request->route, &retry_after_ms);
  if (reason != BT_REASON_NONE)
    {
      bt_end_request (sim, index, OUTCOME_REFUSED, reason);
      return;
    }
  sscanf (request->route.identity.instance, "agent-%d", &endpoint); /* NOLINT */
  bt_record_dispatch (entry->router, &request->route, request->prefix, bt_get_sim_time_ms (sim));
  bt_send_request (sim, index, endpoint);
}

static void
apply_decision (simulation_t *sim, entry_t *entry, const bt_admission_decision_t *decision)
{
  const int32_t index = (int32_t)decision->id;

  if (decision->action == BT_ADMISSION_ADMIT)
    dispatch (sim, entry, index);
  else if (decision->action == BT_ADMISSION_QUEUE)
    bt_set_request_queued (sim, index, true);
  else
    bt_end_request (sim, index, OUTCOME_REFUSED, decision->reason);
}

static void
request_admission (simulation_t *sim, entry_t *entry, int32_t index, bool is_retry)
{
  const request_t *request = &sim->requests[index];
  bt_admission_request_t admission_request = { .id = (uint64_t)index,
                                               .app = app,
                                               .is_retry = is_retry };
  bt_admission_decision_t decision;
  char account[BT_NAME_BYTES];

  snprintf (account, sizeof account, "account-%d", request->account);
  admission_request.account = account;
  admission_request.deadline_left_ms = bt_get_deadline_left_ms (sim, request);
  admission_request.seed = bt_next_random (&sim->random);
  bt_decide_admission (sim->ctx, entry->admission, &admission_request, bt_get_sim_time_ms (sim),
                       &decision);
  apply_decision (sim, entry, &decision);
}

static void
admit_queued_requests (simulation_t *sim, entry_t *entry)
{
  bt_admission_decision_t decision;

  while (bt_next_admission (entry->admission, bt_get_sim_time_ms (sim), &decision))
    apply_decision (sim, entry, &decision);
}

static void
arrive_core (simulation_t *sim, void *data, int32_t index)
{
  core_state_t *state = data;
  entry_t *entry = &state->entries[sim->requests[index].entry];

  bt_record_attempt (entry->budget);
  request_admission (sim, entry, index, false);
}

/* Retries a request if the outcome of its attempt and the retry budget allow it; otherwise ends
 * it. */
static void
retry_request (
    simulation_t *sim, entry_t *entry, int32_t index, bt_retry_t retry, bool not_executed)
{
  request_t *request = &sim->requests[index];

  if (!not_executed && !request->idempotent)
    {
      bt_end_request (sim, index, OUTCOME_UNKNOWN, BT_REASON_LINK_LOST);
      return;
    }
  if (request->tried_count == 3 || !bt_take_retry (sim->ctx, entry->budget, retry))
    {
      bt_end_request (sim, index, OUTCOME_REFUSED, BT_REASON_RETRY_BUDGET);
      return;
    }
  sim->counters.retries++;
  request->tried[request->tried_count++] = request->endpoint;
  request->endpoint = -1;
  request->first_token_us = 0;
  request->attempt++;
  request_admission (sim, entry, index, true);
}

static void
reply_core (simulation_t *sim, void *data, const event_t *event)
{
  core_state_t *state = data;
  entry_t *entry = &state->entries[event->entry];
  request_t *request = &sim->requests[event->request];
  const int64_t now_ms = bt_get_sim_time_ms (sim);

  bt_record_attempt_end (entry->router, &request->route, event->end,
                         now_ms - request->sent_us / MS_US, now_ms);
  if (event->end == BT_ATTEMPT_REFUSED)
    bt_record_load (entry->router, &request->route.identity, &event->load, now_ms);
  if (event->end == BT_ATTEMPT_ANSWERED)
    bt_end_request (sim, event->request,
                    sim->now_us <= request->deadline_us ? OUTCOME_IN_TIME : OUTCOME_LATE,
                    BT_REASON_NONE);
  else if (event->end == BT_ATTEMPT_REFUSED)
    retry_request (sim, entry, event->request, BT_RETRY_ENDPOINT_FULL, true);
  else
    retry_request (sim, entry, event->request, BT_RETRY_ENGINE_SILENT, false);
  admit_queued_requests (sim, entry);
}

static void
load_core (simulation_t *sim, void *data, const event_t *event)
{
  core_state_t *state = data;
  entry_t *entry = &state->entries[event->entry];
  bt_identity_t identity;

  bt_get_sim_identity (sim, event->endpoint, &identity);
  identity.incarnation = event->value;
  bt_record_load (entry->router, &identity, &event->load, bt_get_sim_time_ms (sim));
  admit_queued_requests (sim, entry);
}

static void
cache_core (simulation_t *sim, void *data, const event_t *event)
{
  core_state_t *state = data;
  bt_identity_t identity;

  bt_get_sim_identity (sim, event->endpoint, &identity);
  bt_record_prefix (state->entries[event->entry].router, &identity, event->value,
                    event->attempt == 1, bt_get_sim_time_ms (sim));
}

static void
link_core (simulation_t *sim, void *data, const event_t *event)
{
  core_state_t *state = data;
  entry_t *entry = &state->entries[event->entry];
  const int32_t count = sim->request_count;
  bt_identity_t identity;

  if (event->kind == EVENT_LINK_UP)
    {
      put_endpoint (sim, entry, event->endpoint);
      return;
    }
  bt_get_sim_identity (sim, event->endpoint, &identity);
  identity.incarnation = event->value;
  bt_record_link_down (entry->router, &identity, bt_get_sim_time_ms (sim));
  for (int32_t i = 0; i < count; i++)
    if (sim->requests[i].endpoint == event->endpoint && sim->requests[i].entry == event->entry
        && sim->requests[i].outcome == OUTCOME_NONE)
      retry_request (sim, entry, i, BT_RETRY_LINK_LOST, false);
  admit_queued_requests (sim, entry);
}

static void
tick_core (simulation_t *sim, void *data, int32_t entry)
{
  core_state_t *state = data;

  admit_queued_requests (sim, &state->entries[entry]);
}

const policy_t bt_core_policy = {
  .name = "bilberrytray",
  .fair_agent = true,
  .start = start_core,
  .stop = stop_core,
  .on_arrival = arrive_core,
  .on_reply = reply_core,
  .on_load = load_core,
  .on_cache_event = cache_core,
  .on_link_event = link_core,
  .on_tick = tick_core,
};
