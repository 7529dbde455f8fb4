#include "endpoint_state.h"

enum
{
  WHOLE_PERCENT = 100,
  /* A new measurement counts for 1 / MEAN_WEIGHT of the mean. */
  MEAN_WEIGHT = 8,
};

int32_t
bt_get_endpoint_slots (const bt_endpoint_state_t *state, const bt_router_options_t *options)
{
  const int32_t slots = state->load.slots > 0 ? state->load.slots : options->default_slots;
  const int32_t share = bt_get_outlier_share (&state->outlier);
  const int32_t part = slots * share / WHOLE_PERCENT;

  return share > 0 && part == 0 ? 1 : part;
}

int32_t
bt_get_endpoint_load (const bt_endpoint_state_t *state)
{
  return state->others + state->own;
}

int64_t
bt_get_endpoint_service_ms (const bt_endpoint_state_t *state, const bt_router_options_t *options)
{
  if (state->load.service_ms > 0)
    return state->load.service_ms;
  return state->service_ms > 0 ? (int64_t)state->service_ms : options->default_service_ms;
}

int64_t
bt_get_endpoint_wait_ms (const bt_endpoint_state_t *state, const bt_router_options_t *options)
{
  const int32_t slots = bt_get_endpoint_slots (state, options);
  const int32_t ahead = bt_get_endpoint_load (state) + 1 - slots;

  if (ahead <= 0 || slots == 0)
    return 0;
  return bt_get_endpoint_service_ms (state, options) * ahead / slots;
}

void
bt_take_endpoint_load (bt_endpoint_state_t *state, const bt_load_t *load, int64_t now_ms)
{
  const int32_t total = load->running + load->queued;

  (void)now_ms;
  state->load = *load;
  state->reported = true;
  state->others = total > state->own ? total - state->own : 0;
}

void
bt_add_endpoint_own (bt_endpoint_state_t *state, int32_t change, int64_t now_ms)
{
  (void)now_ms;
  state->own += change;
  if (state->own < 0)
    state->own = 0;
}

void
bt_take_endpoint_time (bt_endpoint_state_t *state, int64_t took_ms)
{
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
  bt_cached_prefix_t *place = &state->prefixes[0];

  if (prefix == 0)
    return;
  for (int32_t i = 0; i < BT_PREFIX_SLOTS; i++)
    {
      bt_cached_prefix_t *cell = &state->prefixes[i];

      if (cell->prefix == prefix)
        {
          place = cell;
          break;
        }
      if (cell->used_ms < place->used_ms)
        place = cell;
    }
  if (!cached && place->prefix != prefix)
    return;
  place->prefix = cached ? prefix : 0;
  place->used_ms = cached ? now_ms : 0;
}
