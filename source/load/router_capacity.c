#include <string.h>

#include "router_private.h"

/* Returns the part of an endpoint in the room of this entry. It is negative if the estimate, which
 * assumes that the other entries sent there as much as this one, exceeds the endpoint's capacity.
 * The requests of the others went to some endpoint, so the excess, up to the growth assumed for
 * them, reduces the room at the remaining ones. Without this, each entry sends one request to each
 * endpoint however few it may run: a limit below the number of entries is always exceeded, and
 * every pass of a newly formed group is too long. */
static int32_t
estimate_room (const bt_endpoint_state_t *state,
               const bt_router_options_t *options,
               int32_t entries)
{
  int32_t expected_load = bt_get_endpoint_expected_load (state, entries);
  int32_t estimated_growth = expected_load - bt_get_endpoint_load (state);
  int32_t room = bt_get_endpoint_slots (state, options) + options->queue_depth - expected_load;

  return room > -estimated_growth ? room : -estimated_growth;
}

/* Returns true if an endpoint gets no request of this entry now, but soon. */
static bool
is_expected_back (const bt_endpoint_state_t *state, int64_t now_ms)
{
  return (state->paused || bt_is_endpoint_too_cold (state, now_ms)) && !state->unselected
         && !state->leaving && !state->said_leaving && !state->evacuated;
}

/* Adds a usable endpoint. One that has named a limit takes a single request of this entry now,
 * whatever its slots. */
static void
add_endpoint (const bt_endpoint_state_t *state,
              const bt_router_options_t *options,
              int32_t entries,
              bt_capacity_t *capacity)
{
  int32_t slots = bt_get_endpoint_slots (state, options);
  int32_t room = estimate_room (state, options, entries);
  /* Other entries that hold more than their equal share return the excess under load. */
  int32_t available = slots - (bt_get_endpoint_load (state) - state->own_in_flight);

  if (state->limit.named)
    {
      slots = slots < 1 ? slots : 1;
      room = room < 1 ? room : 1;
      available = slots;
    }
  capacity->endpoints++;
  capacity->slots += slots;
  capacity->available_slots += available;
  capacity->room += room;
  capacity->equal_share += (double)(slots + options->queue_depth) / entries;
}

void
bt_get_capacity (bt_router_t *router, const char *app, int64_t now_ms, bt_capacity_t *capacity)
{
  const bt_router_options_t *options = &router->options;
  const int32_t entries = bt_get_app_entries (router, app);
  int64_t service_ms = 0;

  memset (capacity, 0, sizeof *capacity);
  for (int32_t i = 0; i < router->count; i++)
    {
      bt_endpoint_state_t *state = router->endpoints[i];

      if (strcmp (state->endpoint.app, app) != 0)
        continue;
      capacity->in_flight += state->own_in_flight;
      capacity->paused += is_expected_back (state, now_ms) ? 1 : 0;
      capacity->cold += !state->paused && is_expected_back (state, now_ms) ? 1 : 0;
      capacity->throttled += bt_is_endpoint_only_throttled (router, state, app, now_ms) ? 1 : 0;
      if (!bt_is_endpoint_usable (router, state, app, now_ms))
        continue;
      add_endpoint (state, options, entries, capacity);
      service_ms += bt_get_endpoint_service_ms (state, options);
    }
  if (capacity->room < 0)
    capacity->room = 0;
  if (capacity->available_slots < capacity->slots / entries)
    capacity->available_slots = capacity->slots / entries;
  capacity->service_ms = options->default_service_ms;
  if (capacity->endpoints > 0)
    capacity->service_ms = service_ms / capacity->endpoints;
  capacity->full_queue_ms = capacity->service_ms;
  if (capacity->slots > 0)
    capacity->full_queue_ms += (int64_t)((double)(capacity->service_ms * options->queue_depth)
                                         * capacity->endpoints / capacity->slots);
}

bool
bt_get_endpoint_room (bt_router_t *router,
                      const bt_identity_t *identity,
                      int64_t now_ms,
                      bt_endpoint_room_t *room)
{
  const bt_router_options_t *options = &router->options;
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);
  int32_t entries;

  if (state == NULL)
    return false;
  entries = bt_get_app_entries (router, state->endpoint.app);
  room->usable = bt_is_endpoint_usable (router, state, state->endpoint.app, now_ms);
  room->load = bt_get_endpoint_load (state);
  room->slots = bt_get_endpoint_slots (state, options);
  room->depth = options->queue_depth;
  /* The second condition grants this entry its equal share, as admission does for all endpoints. */
  room->has_room = estimate_room (state, options, entries) > 0
                   || (state->own_in_flight + 1) * entries <= room->slots + room->depth;
  return true;
}
