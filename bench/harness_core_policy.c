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
put_endpoint (world_t *world, entry_t *entry, int32_t index)
{
  bt_endpoint_t endpoint;

  memset (&endpoint, 0, sizeof endpoint);
  bt_get_world_identity (world, index, &endpoint.identity);
  snprintf (endpoint.name, sizeof endpoint.name, "endpoint-%d", index);
  snprintf (endpoint.app, sizeof endpoint.app, "%s", app);
  snprintf (endpoint.failure_domain, sizeof endpoint.failure_domain, "domain-%d",
            world->endpoints[index].domain);
  bt_put_endpoint (world->ctx, entry->router, &endpoint, bt_world_now_ms (world));
}

static void *
start_core (world_t *world)
{
  core_state_t *state = bt_calloc (world->ctx, 1, sizeof *state);

  for (int32_t i = 0; i < ENTRIES; i++)
    {
      entry_t *entry = &state->entries[i];
      bt_router_options_t router;
      bt_admission_options_t admission;
      bt_retry_budget_options_t budget;

      bt_default_router_options (&router);
      bt_default_admission_options (&admission);
      bt_default_retry_budget_options (&budget);
      router.default_slots = world->scenario->slots;
      snprintf (router.failure_domain, sizeof router.failure_domain, "domain-%d",
                i % world->scenario->domains);
      if (core_tweak != NULL)
        core_tweak (&router, &admission);
      entry->router = bt_new_router (world->ctx, &router);
      bt_set_router_entries (entry->router, ENTRIES);
      entry->admission = bt_new_admission (world->ctx, entry->router, &admission);
      entry->budget = bt_new_retry_budget (world->ctx, &budget);
      for (int32_t k = 0; k < world->scenario->endpoints; k++)
        put_endpoint (world, entry, k);
    }
  return state;
}

static void
stop_core (world_t *world, void *data)
{
  core_state_t *state = data;
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      bt_drop_admission (world->ctx, state->entries[i].admission);
      bt_drop_router (world->ctx, state->entries[i].router);
      bt_drop_retry_budget (world->ctx, state->entries[i].budget);
    }
  bt_free (world->ctx, state);
}

static void
dispatch (world_t *world, entry_t *entry, int32_t index)
{
  request_t *request = &world->requests[index];
  bt_identity_t excluded[3];
  bt_route_request_t wanted = { .app = app, .account = "", .excluded = excluded };
  int64_t retry_after_ms;
  bt_reason_t reason;
  int32_t endpoint = 0;

  for (int32_t i = 0; i < request->tried_count; i++)
    bt_get_world_identity (world, request->tried[i], &excluded[i]);
  wanted.excluded_count = request->tried_count;
  wanted.deadline_left_ms = bt_get_deadline_left_ms (world, request);
  wanted.prefix = request->prefix;
  wanted.seed = bt_next_random (&world->random);
  reason = bt_choose_endpoint (entry->router, &wanted, bt_world_now_ms (world), &request->route,
                               &retry_after_ms);
  if (reason != BT_REASON_NONE)
    {
      bt_end_request (world, index, ENDING_REFUSED, reason);
      return;
    }
  sscanf (request->route.identity.instance, "agent-%d", &endpoint); /* NOLINT */
  bt_record_dispatch (entry->router, &request->route, request->prefix, bt_world_now_ms (world));
  bt_send_request (world, index, endpoint);
}

static void
apply_decision (world_t *world, entry_t *entry, const bt_admission_decision_t *decision)
{
  const int32_t index = (int32_t)decision->id;

  if (decision->action == BT_ADMISSION_ADMIT)
    dispatch (world, entry, index);
  else if (decision->action == BT_ADMISSION_QUEUE)
    bt_set_waiting (world, index, true);
  else
    bt_end_request (world, index, ENDING_REFUSED, decision->reason);
}

static void
decide (world_t *world, entry_t *entry, int32_t index, bool again)
{
  const request_t *request = &world->requests[index];
  bt_admission_request_t wanted = { .id = (uint64_t)index, .app = app, .again = again };
  bt_admission_decision_t decision;
  char account[BT_NAME_BYTES];

  snprintf (account, sizeof account, "account-%d", request->account);
  wanted.account = account;
  wanted.deadline_left_ms = bt_get_deadline_left_ms (world, request);
  wanted.seed = bt_next_random (&world->random);
  bt_decide_admission (world->ctx, entry->admission, &wanted, bt_world_now_ms (world), &decision);
  apply_decision (world, entry, &decision);
}

static void
pump (world_t *world, entry_t *entry)
{
  bt_admission_decision_t decision;

  while (bt_next_admission (entry->admission, bt_world_now_ms (world), &decision))
    apply_decision (world, entry, &decision);
}

static void
arrive_core (world_t *world, void *data, int32_t index)
{
  core_state_t *state = data;
  entry_t *entry = &state->entries[world->requests[index].entry];

  bt_record_attempt (entry->budget);
  decide (world, entry, index, false);
}

/* Tries again if the outcome allows it and the budget pays for it; else the final answer. */
static void
try_again (world_t *world, entry_t *entry, int32_t index, bt_retry_t retry, bool not_run)
{
  request_t *request = &world->requests[index];

  if (!not_run && !request->idempotent)
    {
      bt_end_request (world, index, ENDING_UNKNOWN, BT_REASON_LINK_LOST);
      return;
    }
  if (request->tried_count == 3 || !bt_take_retry (world->ctx, entry->budget, retry))
    {
      bt_end_request (world, index, ENDING_REFUSED, BT_REASON_RETRY_BUDGET);
      return;
    }
  world->sums.retries++;
  request->tried[request->tried_count++] = request->endpoint;
  request->endpoint = -1;
  request->first_token_us = 0;
  request->attempt++;
  decide (world, entry, index, true);
}

static void
reply_core (world_t *world, void *data, const event_t *event)
{
  core_state_t *state = data;
  entry_t *entry = &state->entries[event->entry];
  request_t *request = &world->requests[event->request];
  const int64_t now_ms = bt_world_now_ms (world);

  bt_record_attempt_end (entry->router, &request->route, event->end,
                         now_ms - request->sent_us / MS_US, now_ms);
  if (event->end == BT_ATTEMPT_REFUSED)
    bt_record_load (entry->router, &request->route.identity, &event->load, now_ms);
  if (event->end == BT_ATTEMPT_ANSWERED)
    bt_end_request (world, event->request,
                    world->now_us <= request->deadline_us ? ENDING_GOOD : ENDING_LATE,
                    BT_REASON_NONE);
  else if (event->end == BT_ATTEMPT_REFUSED)
    try_again (world, entry, event->request, BT_RETRY_ENDPOINT_FULL, true);
  else
    try_again (world, entry, event->request, BT_RETRY_ENGINE_SILENT, false);
  pump (world, entry);
}

static void
load_core (world_t *world, void *data, const event_t *event)
{
  core_state_t *state = data;
  entry_t *entry = &state->entries[event->entry];
  bt_identity_t identity;

  bt_get_world_identity (world, event->endpoint, &identity);
  identity.incarnation = event->value;
  bt_record_load (entry->router, &identity, &event->load, bt_world_now_ms (world));
  pump (world, entry);
}

static void
cache_core (world_t *world, void *data, const event_t *event)
{
  core_state_t *state = data;
  bt_identity_t identity;

  bt_get_world_identity (world, event->endpoint, &identity);
  bt_record_prefix (state->entries[event->entry].router, &identity, event->value,
                    event->attempt == 1, bt_world_now_ms (world));
}

static void
link_core (world_t *world, void *data, const event_t *event)
{
  core_state_t *state = data;
  entry_t *entry = &state->entries[event->entry];
  const int32_t count = world->request_count;
  bt_identity_t identity;

  if (event->kind == EVENT_LINK_UP)
    {
      put_endpoint (world, entry, event->endpoint);
      return;
    }
  bt_get_world_identity (world, event->endpoint, &identity);
  identity.incarnation = event->value;
  bt_record_link_down (entry->router, &identity, bt_world_now_ms (world));
  for (int32_t i = 0; i < count; i++)
    if (world->requests[i].endpoint == event->endpoint && world->requests[i].entry == event->entry
        && world->requests[i].ending == ENDING_NONE)
      try_again (world, entry, i, BT_RETRY_LINK_LOST, false);
  pump (world, entry);
}

static void
tick_core (world_t *world, void *data, int32_t entry)
{
  core_state_t *state = data;

  pump (world, &state->entries[entry]);
}

const policy_t bt_core_policy = {
  .name = "bilberrytray",
  .fair_agent = true,
  .start = start_core,
  .stop = stop_core,
  .arrive = arrive_core,
  .reply = reply_core,
  .load = load_core,
  .cache = cache_core,
  .link = link_core,
  .tick = tick_core,
};
