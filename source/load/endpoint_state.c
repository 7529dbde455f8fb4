#include "endpoint_state.h"

enum
{
  WHOLE_PERCENT = 100,
  /* Weight of a new measurement in the mean: 1 / MEAN_WEIGHT. */
  MEAN_WEIGHT = 8,
};

int32_t
bt_get_endpoint_slots (const bt_endpoint_state_t *state, const bt_router_options_t *options)
{
  const int32_t slots = state->load.slots > 0 ? state->load.slots : options->default_slots;
  const int32_t share = bt_get_outlier_share (&state->outlier);
  const int32_t usable = slots * share / WHOLE_PERCENT;

  return share > 0 && usable == 0 ? 1 : usable;
}

int32_t
bt_get_endpoint_load (const bt_endpoint_state_t *state)
{
  const int32_t load = state->total_at_report + state->own_in_flight - state->own_at_report;

  return load > state->own_in_flight ? load : state->own_in_flight;
}

int32_t
bt_get_endpoint_expected_load (const bt_endpoint_state_t *state, int32_t entries)
{
  const int32_t own_growth = state->own_in_flight - state->own_at_report;
  int32_t multiplier = entries;

  if (own_growth <= 0)
    return bt_get_endpoint_load (state);
  if (state->own_at_report > 0 && state->total_at_report / state->own_at_report < entries)
    multiplier = state->total_at_report > state->own_at_report
                     ? state->total_at_report / state->own_at_report
                     : 1;
  return state->total_at_report + own_growth * multiplier;
}

bool
bt_has_endpoint_service_time (const bt_endpoint_state_t *state)
{
  return state->load.service_ms > 0 || state->service_ms > 0 || state->stalled_ms > 0;
}

int64_t
bt_get_endpoint_service_ms (const bt_endpoint_state_t *state, const bt_router_options_t *options)
{
  int64_t service_ms = options->default_service_ms;

  if (state->load.service_ms > 0)
    service_ms = state->load.service_ms;
  else if (state->service_ms > 0)
    service_ms = (int64_t)state->service_ms;
  return state->stalled_ms > service_ms ? state->stalled_ms : service_ms;
}

int64_t
bt_get_endpoint_quiet_ms (const bt_endpoint_state_t *state, int64_t now_ms)
{
  return state->own_in_flight > 0 ? now_ms - state->quiet_since_ms : 0;
}

int64_t
bt_get_endpoint_idle_ms (const bt_endpoint_state_t *state, int64_t now_ms)
{
  if (state->own_in_flight > 0 || state->change_count == 0)
    return 0;
  return now_ms - state->history[(state->change_count - 1) % BT_HISTORY_SLOTS].at_ms;
}

/* Returns the number of own requests in flight at @p at_ms, as far as the history reaches. */
static int32_t
get_own_at (const bt_endpoint_state_t *state, int64_t at_ms)
{
  const uint32_t kept =
      state->change_count < BT_HISTORY_SLOTS ? state->change_count : BT_HISTORY_SLOTS;

  for (uint32_t i = 1; i <= kept; i++)
    {
      const bt_own_change_t *change = &state->history[(state->change_count - i) % BT_HISTORY_SLOTS];

      if (change->at_ms <= at_ms)
        return change->own;
    }
  return kept < BT_HISTORY_SLOTS ? 0 : state->history[state->change_count % BT_HISTORY_SLOTS].own;
}

void
bt_record_endpoint_load (bt_endpoint_state_t *state, const bt_load_t *load, int64_t now_ms)
{
  state->load = *load;
  state->load_at_ms = now_ms - load->age_ms;
  state->reported = true;
  state->total_at_report = load->running + load->queued;
  /* A report lags and does not include requests sent or ended since. With the current count
   * instead, an endpoint that was just given work would look as if other entries had left it
   * idle. */
  state->own_at_report = get_own_at (state, state->load_at_ms);
}

void
bt_forget_endpoint_load (bt_endpoint_state_t *state)
{
  state->reported = false;
  state->own_in_flight = 0;
  state->own_at_report = 0;
  state->total_at_report = 0;
  state->change_count = 0;
}

void
bt_add_endpoint_in_flight (bt_endpoint_state_t *state, int32_t change, int64_t now_ms)
{
  bt_own_change_t *latest = &state->history[state->change_count % BT_HISTORY_SLOTS];

  if (state->own_in_flight == 0)
    state->quiet_since_ms = now_ms;
  state->own_in_flight += change;
  if (state->own_in_flight < 0)
    state->own_in_flight = 0;
  latest->at_ms = now_ms;
  latest->own = state->own_in_flight;
  state->change_count++;
}

void
bt_record_endpoint_stall (bt_endpoint_state_t *state, int64_t took_ms)
{
  /* If an endpoint is so slow that every caller cancels first, no run ends and its mean time keeps
   * its earlier value. The time that a request went without an answer is the only evidence. */
  if (took_ms > state->stalled_ms)
    state->stalled_ms = took_ms;
}

void
bt_record_endpoint_time (bt_endpoint_state_t *state, int64_t took_ms, int64_t now_ms)
{
  state->quiet_since_ms = now_ms;
  state->stalled_ms = 0;
  if (state->service_ms == 0)
    state->service_ms = took_ms > 0 ? (double)took_ms : 1;
  else
    state->service_ms += ((double)took_ms - state->service_ms) / MEAN_WEIGHT;
}

bool
bt_has_endpoint_prefix (const bt_endpoint_state_t *state, uint64_t prefix)
{
  for (int32_t i = 0; prefix != 0 && i < BT_PREFIX_SLOTS; i++)
    if (state->prefixes[i].prefix == prefix)
      return true;
  return false;
}

void
bt_set_endpoint_prefix (bt_endpoint_state_t *state, uint64_t prefix, bool cached, int64_t now_ms)
{
  bt_cached_prefix_t *slot = &state->prefixes[0];

  if (prefix == 0)
    return;
  for (int32_t i = 0; i < BT_PREFIX_SLOTS; i++)
    {
      bt_cached_prefix_t *candidate = &state->prefixes[i];

      if (candidate->prefix == prefix)
        {
          slot = candidate;
          break;
        }
      if (candidate->used_ms < slot->used_ms)
        slot = candidate;
    }
  if (!cached && slot->prefix != prefix)
    return;
  slot->prefix = cached ? prefix : 0;
  slot->used_ms = cached ? now_ms : 0;
}
