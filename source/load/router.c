#include "bilberrytray/load/router.h"

#include <string.h>

#include "bilberrytray/base/name_index.h"
#include "choice.h"

enum
{
  WHOLE_PERCENT = 100,
  DEFAULT_SLOTS = 8,
  DEFAULT_QUEUE_DEPTH = 4,
  DEFAULT_SERVICE_MS = 500,
  DEFAULT_REMOTE_MS = 0,
  DEFAULT_PREFIX_PERCENT = 200,
  /* Retry-after time if no endpoint can be chosen: endpoints return within about one second. */
  NO_ENDPOINT_RETRY_AFTER_MS = 1000,
  /* An endpoint without a link is removed after this time. */
  REMOVE_AFTER_MS = 600000,
  INITIAL_CAPACITY = 16,
};

/** Number of entries that share the endpoints of one app. */
typedef struct app_entries
{
  char app[BT_NAME_BYTES];
  int32_t entries;
} app_entries_t;

struct bt_router
{
  bt_router_options_t options;
  int32_t entries; /* of an app without a row below */
  app_entries_t *app_entries;
  int32_t app_count;
  uint64_t last_link_number;
  uint64_t last_dispatch;
  double home_virtual_time; /* virtual time of the last home agent chosen */
  bt_endpoint_state_t **endpoints;
  bt_name_index_t *index; /* of the endpoints by instance; there is one incarnation of each */
  int32_t count;
  int32_t capacity;
};

void
bt_default_router_options (bt_router_options_t *options)
{
  memset (options, 0, sizeof *options);
  options->choices = 0;
  options->default_slots = DEFAULT_SLOTS;
  options->queue_depth = DEFAULT_QUEUE_DEPTH;
  options->default_service_ms = DEFAULT_SERVICE_MS;
  options->remote_ms = DEFAULT_REMOTE_MS;
  options->prefix_percent = DEFAULT_PREFIX_PERCENT;
  bt_default_outlier_options (&options->outlier);
}

bt_router_t *
bt_new_router (bt_context_t *ctx, const bt_router_options_t *options)
{
  bt_router_t *router = bt_calloc (ctx, 1, sizeof *router);

  router->options = *options;
  router->index = bt_new_name_index (ctx);
  router->entries = 1;
  return router;
}

void
bt_drop_router (bt_context_t *ctx, bt_router_t *router)
{
  if (router == NULL)
    return;
  for (int32_t i = 0; i < router->count; i++)
    bt_free (ctx, router->endpoints[i]);
  bt_free (ctx, router->endpoints);
  bt_drop_name_index (ctx, router->index);
  bt_free (ctx, router->app_entries);
  bt_free (ctx, router);
}

void
bt_set_router_entries (bt_router_t *router, int32_t entries)
{
  router->entries = entries > 0 ? entries : 1;
}

static app_entries_t *
find_app_entries (const bt_router_t *router, const char *app)
{
  for (int32_t i = 0; i < router->app_count; i++)
    if (strcmp (router->app_entries[i].app, app) == 0)
      return &router->app_entries[i];
  return NULL;
}

void
bt_set_app_entries (bt_context_t *ctx, bt_router_t *router, const char *app, int32_t entries)
{
  app_entries_t *row = find_app_entries (router, app);

  if (row == NULL)
    {
      router->app_entries = bt_realloc (ctx, router->app_entries, (size_t)router->app_count + 1,
                                        sizeof *router->app_entries);
      row = &router->app_entries[router->app_count++];
      bt_copy_name (row->app, app);
    }
  row->entries = entries > 0 ? entries : 1;
}

static int32_t
get_entries (const bt_router_t *router, const char *app)
{
  const app_entries_t *row = find_app_entries (router, app);

  return row == NULL ? router->entries : row->entries;
}

static bt_endpoint_state_t *
find_endpoint (bt_router_t *router, const bt_identity_t *identity)
{
  bt_endpoint_state_t *state = bt_find_name (router->index, identity->instance);

  return state != NULL && bt_same_identity (&state->endpoint.identity, identity) ? state : NULL;
}

/* Returns the endpoint of a route, or NULL if its link has died since. Otherwise the late end of an
 * attempt that is no longer counted would make a busy endpoint look idle. */
static bt_endpoint_state_t *
find_route (bt_router_t *router, const bt_route_t *route)
{
  bt_endpoint_state_t *state = find_endpoint (router, &route->identity);

  return state != NULL && state->linked && state->link_number == route->link_number ? state : NULL;
}

static void
remove_at (bt_context_t *ctx, bt_router_t *router, int32_t index)
{
  bt_endpoint_state_t *state = router->endpoints[index];

  bt_remove_name (router->index, state->endpoint.identity.instance, state);
  bt_free (ctx, state);
  router->endpoints[index] = router->endpoints[--router->count];
}

/* Removes other incarnations of the same instance, and endpoints that have had no link for so long
 * that their instance must have been replaced: new instances appear every day, and their names are
 * not reused. Returns the outlier record of the earlier incarnation, so that an endpoint cannot
 * clear its record by restarting. */
static bt_outlier_t
remove_stale (bt_context_t *ctx, bt_router_t *router, const bt_identity_t *identity, int64_t now_ms)
{
  bt_outlier_t outlier = { 0 };

  for (int32_t i = router->count - 1; i >= 0; i--)
    {
      const bt_endpoint_state_t *state = router->endpoints[i];
      const bool same = strcmp (state->endpoint.identity.instance, identity->instance) == 0;

      if (same)
        outlier = state->outlier;
      if (same || (!state->linked && now_ms - state->down_ms > REMOVE_AFTER_MS))
        remove_at (ctx, router, i);
    }
  return outlier;
}

static void
mark_link_up (bt_router_t *router, bt_endpoint_state_t *state)
{
  if (state->linked)
    return;
  state->linked = true;
  state->link_number = ++router->last_link_number;
}

void
bt_put_endpoint (bt_context_t *ctx,
                 bt_router_t *router,
                 const bt_endpoint_t *endpoint,
                 int64_t now_ms)
{
  bt_endpoint_state_t *state = find_endpoint (router, &endpoint->identity);
  bt_outlier_t outlier;

  if (state != NULL)
    {
      state->endpoint = *endpoint;
      mark_link_up (router, state);
      return;
    }
  outlier = remove_stale (ctx, router, &endpoint->identity, now_ms);
  if (router->count == router->capacity)
    {
      router->capacity = router->capacity == 0 ? INITIAL_CAPACITY : router->capacity * 2;
      router->endpoints = bt_realloc (ctx, router->endpoints, (size_t)router->capacity,
                                      sizeof (bt_endpoint_state_t *));
    }
  state = bt_calloc (ctx, 1, sizeof *state);
  state->endpoint = *endpoint;
  state->outlier = outlier;
  mark_link_up (router, state);
  router->endpoints[router->count++] = state;
  bt_put_name (router->index, state->endpoint.identity.instance, state);
}

bool
bt_remove_endpoint (bt_context_t *ctx, bt_router_t *router, const bt_identity_t *identity)
{
  for (int32_t i = 0; i < router->count; i++)
    if (bt_same_identity (&router->endpoints[i]->endpoint.identity, identity))
      {
        remove_at (ctx, router, i);
        return true;
      }
  return false;
}

bool
bt_set_endpoint_leaving (bt_router_t *router, const bt_identity_t *identity, bool leaving)
{
  bt_endpoint_state_t *state = find_endpoint (router, identity);

  if (state == NULL)
    return false;
  state->leaving = leaving;
  return true;
}

bool
bt_set_endpoint_ended (bt_router_t *router, const bt_identity_t *identity, int64_t until_ms)
{
  bt_endpoint_state_t *state = find_endpoint (router, identity);

  if (state == NULL)
    return false;
  state->ended_until_ms = until_ms;
  return true;
}

bool
bt_set_endpoint_paused (bt_router_t *router, const bt_identity_t *identity, bool paused)
{
  bt_endpoint_state_t *state = find_endpoint (router, identity);

  if (state == NULL)
    return false;
  state->paused = paused;
  return true;
}

bool
bt_set_endpoint_selected (bt_router_t *router, const bt_identity_t *identity, bool selected)
{
  bt_endpoint_state_t *state = find_endpoint (router, identity);

  if (state == NULL)
    return false;
  state->unselected = !selected;
  return true;
}

bool
bt_set_endpoint_evacuated (bt_router_t *router, const bt_identity_t *identity, bool evacuated)
{
  bt_endpoint_state_t *state = find_endpoint (router, identity);

  if (state == NULL)
    return false;
  state->evacuated = evacuated;
  return true;
}

bool
bt_set_endpoint_cold (bt_router_t *router,
                      const bt_identity_t *identity,
                      int64_t until_ms,
                      int64_t interval_ms)
{
  bt_endpoint_state_t *state = find_endpoint (router, identity);

  if (state == NULL)
    return false;
  state->cold_until_ms = until_ms;
  state->cold_interval_ms = interval_ms;
  return true;
}

/* Returns true if an endpoint is cold and this entry must not send it a request yet. */
static bool
is_too_cold (const bt_endpoint_state_t *state, int64_t now_ms)
{
  if (now_ms >= state->cold_until_ms)
    return false;
  return state->cold_interval_ms == 0
         || (state->cold_sent_ms > 0 && now_ms - state->cold_sent_ms < state->cold_interval_ms);
}

bool
bt_record_load (bt_router_t *router,
                const bt_identity_t *identity,
                const bt_load_t *load,
                int64_t now_ms)
{
  bt_endpoint_state_t *state = find_endpoint (router, identity);

  if (state == NULL || !state->linked)
    return false;
  bt_record_endpoint_load (state, load, now_ms);
  return true;
}

int32_t
bt_get_reported_slots (bt_router_t *router, const bt_identity_t *identity, int32_t fallback)
{
  const bt_endpoint_state_t *state = find_endpoint (router, identity);

  return state != NULL && state->load.slots > 0 ? state->load.slots : fallback;
}

bool
bt_record_prefix (bt_router_t *router,
                  const bt_identity_t *identity,
                  uint64_t prefix,
                  bool cached,
                  int64_t now_ms)
{
  bt_endpoint_state_t *state = find_endpoint (router, identity);

  if (state == NULL)
    return false;
  bt_set_endpoint_prefix (state, prefix, cached, now_ms);
  return true;
}

static bool
is_usable (bt_router_t *router, bt_endpoint_state_t *state, const char *app, int64_t now_ms)
{
  return state->linked && !state->unselected && !state->leaving && !state->evacuated
         && !state->paused && !is_too_cold (state, now_ms) && now_ms >= state->ended_until_ms
         && strcmp (state->endpoint.app, app) == 0
         && !bt_is_outlier_ejected (&state->outlier, &router->options.outlier, now_ms);
}

static bool
is_excluded (const bt_endpoint_state_t *state, const bt_route_request_t *request)
{
  if (request->only != NULL && !bt_same_identity (&state->endpoint.identity, request->only))
    return true;
  for (int32_t i = 0; i < request->excluded_count; i++)
    if (bt_same_identity (&state->endpoint.identity, &request->excluded[i]))
      return true;
  return false;
}

bt_reason_t
bt_choose_endpoint (bt_router_t *router,
                    const bt_route_request_t *request,
                    int64_t now_ms,
                    bt_route_t *route,
                    int64_t *retry_after_ms)
{
  bt_endpoint_state_t *usable[router->count + 1];
  bt_endpoint_state_t *best;
  int32_t count = 0;

  for (int32_t i = 0; i < router->count; i++)
    {
      bt_endpoint_state_t *state = router->endpoints[i];

      if (is_usable (router, state, request->app, now_ms) && !is_excluded (state, request))
        usable[count++] = state;
    }
  *retry_after_ms = 0;
  best = bt_choose_endpoint_state (&router->options, get_entries (router, request->app), usable,
                                   count, request, now_ms);
  if (best == NULL)
    {
      *retry_after_ms = NO_ENDPOINT_RETRY_AFTER_MS;
      return BT_REASON_NO_ENDPOINT;
    }
  route->identity = best->endpoint.identity;
  route->link_number = best->link_number;
  return BT_REASON_NONE;
}

bt_reason_t
bt_choose_home_agent (bt_router_t *router, const char *app, int64_t now_ms, bt_identity_t *home)
{
  bt_endpoint_state_t *best = NULL;

  for (int32_t i = 0; i < router->count; i++)
    {
      bt_endpoint_state_t *state = router->endpoints[i];

      if (!is_usable (router, state, app, now_ms))
        continue;
      if (best == NULL || state->home_virtual_time < best->home_virtual_time)
        best = state;
    }
  if (best == NULL)
    return BT_REASON_NO_ENDPOINT;
  /* An endpoint that joins or returns starts at the current virtual time, so that it does not get
   * all tickets until it has caught up. */
  if (best->home_virtual_time < router->home_virtual_time)
    best->home_virtual_time = router->home_virtual_time;
  router->home_virtual_time = best->home_virtual_time;
  best->home_virtual_time += 1.0 / bt_get_endpoint_slots (best, &router->options);
  *home = best->endpoint.identity;
  return BT_REASON_NONE;
}

void
bt_record_dispatch (bt_router_t *router, const bt_route_t *route, uint64_t prefix, int64_t now_ms)
{
  bt_endpoint_state_t *state = find_route (router, route);

  if (state == NULL)
    return;
  bt_add_endpoint_in_flight (state, 1, now_ms);
  state->cold_sent_ms = now_ms;
  state->last_dispatch = ++router->last_dispatch;
  bt_set_endpoint_prefix (state, prefix, true, now_ms);
}

/* Returns the mean time of a run at the other endpoints of the app that are measured and not
 * ejected; 0 if there are none. */
static int64_t
get_peers_service_ms (bt_router_t *router, const bt_endpoint_state_t *state)
{
  int64_t sum_ms = 0;
  int64_t count = 0;

  for (int32_t i = 0; i < router->count; i++)
    {
      const bt_endpoint_state_t *peer = router->endpoints[i];

      if (peer == state || peer->service_ms == 0 || peer->outlier.ejected_until_ms > 0
          || strcmp (peer->endpoint.app, state->endpoint.app) != 0)
        continue;
      sum_ms += (int64_t)peer->service_ms;
      count++;
    }
  return count > 0 ? sum_ms / count : 0;
}

int32_t
bt_count_outliers (bt_router_t *router, const char *app, int64_t now_ms)
{
  int32_t ejected = 0;

  for (int32_t i = 0; i < router->count; i++)
    {
      bt_endpoint_state_t *state = router->endpoints[i];

      if (!state->unselected && strcmp (state->endpoint.app, app) == 0
          && bt_is_outlier_ejected (&state->outlier, &router->options.outlier, now_ms))
        ejected++;
    }
  return ejected;
}

static int32_t
count_endpoints (const bt_router_t *router, const char *app)
{
  int32_t count = 0;

  for (int32_t i = 0; i < router->count; i++)
    if (!router->endpoints[i]->unselected && strcmp (router->endpoints[i]->endpoint.app, app) == 0)
      count++;
  return count;
}

/* Ejects an endpoint unless too many of its app are ejected. If most endpoints look bad, the cause
 * is probably shared (or in this entry), and the remaining ones would be overloaded. */
static void
eject_endpoint (bt_router_t *router, bt_endpoint_state_t *state, int64_t now_ms)
{
  const char *app = state->endpoint.app;
  const int32_t ejected = bt_count_outliers (router, app, now_ms);

  if (bt_may_eject_outlier (&router->options.outlier, ejected, count_endpoints (router, app)))
    bt_eject_outlier (&state->outlier, &router->options.outlier, now_ms);
}

/* Records a cancelled attempt as a stall and assesses it. Outlier detection ignores a short one;
 * one without an answer for far longer than the peers take counts as a slow answer. */
static bt_outlier_event_t
record_cancelled (bt_router_t *router, bt_endpoint_state_t *state, int64_t took_ms)
{
  const bt_outlier_options_t *options = &router->options.outlier;
  const int64_t peers_ms = get_peers_service_ms (router, state);

  bt_record_endpoint_stall (state, took_ms);
  if (peers_ms == 0 || took_ms * WHOLE_PERCENT <= peers_ms * options->slow_percent)
    return BT_OUTLIER_NONE;
  return bt_record_outlier_answer (&state->outlier, options, took_ms, peers_ms);
}

void
bt_record_attempt_end (bt_router_t *router,
                       const bt_route_t *route,
                       bt_attempt_end_t end,
                       int64_t took_ms,
                       int64_t now_ms)
{
  bt_endpoint_state_t *state = find_route (router, route);
  const bt_outlier_options_t *options = &router->options.outlier;
  bt_outlier_event_t event = BT_OUTLIER_NONE;

  if (state == NULL)
    return;
  bt_add_endpoint_in_flight (state, -1, now_ms);
  if (end == BT_ATTEMPT_ANSWERED)
    {
      bt_record_endpoint_time (state, took_ms, now_ms);
      event = bt_record_outlier_answer (&state->outlier, options, took_ms,
                                        get_peers_service_ms (router, state));
    }
  else if (end == BT_ATTEMPT_FAILED)
    {
      bt_record_endpoint_stall (state, took_ms);
      event = bt_record_outlier_failure (&state->outlier, options);
    }
  else if (end == BT_ATTEMPT_CANCELLED)
    event = record_cancelled (router, state, took_ms);
  if (event == BT_OUTLIER_EJECT)
    eject_endpoint (router, state, now_ms);
}

void
bt_record_link_down (bt_router_t *router, const bt_identity_t *identity, int64_t now_ms)
{
  bt_endpoint_state_t *state = find_endpoint (router, identity);

  if (state == NULL || !state->linked)
    return;
  if (state->own_in_flight > 0
      && bt_record_outlier_failure (&state->outlier, &router->options.outlier) == BT_OUTLIER_EJECT)
    eject_endpoint (router, state, now_ms);
  state->linked = false;
  state->down_ms = now_ms;
  bt_forget_endpoint_load (state);
}

void
bt_record_link_up (bt_router_t *router, const bt_identity_t *identity, int64_t now_ms)
{
  bt_endpoint_state_t *state = find_endpoint (router, identity);

  (void)now_ms;
  if (state != NULL)
    mark_link_up (router, state);
}

/* Returns the part of an endpoint in the room of this entry. It is negative if the estimate, which
 * assumes that the other entries sent there as much as this one, exceeds the endpoint's capacity.
 * The requests of the others went to some endpoint, so the excess, up to the growth assumed for
 * them, reduces the room at the remaining ones. Without this, each entry sends one request to each
 * endpoint however few it may run: a limit below the number of entries is always exceeded, and
 * every pass of a newly formed group is too long. */
static int32_t
get_endpoint_room (const bt_endpoint_state_t *state,
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
  return (state->paused || is_too_cold (state, now_ms)) && !state->unselected && !state->leaving
         && !state->evacuated;
}

void
bt_get_capacity (bt_router_t *router, const char *app, int64_t now_ms, bt_capacity_t *capacity)
{
  const bt_router_options_t *options = &router->options;
  const int32_t entries = get_entries (router, app);
  int64_t service_ms = 0;

  memset (capacity, 0, sizeof *capacity);
  for (int32_t i = 0; i < router->count; i++)
    {
      bt_endpoint_state_t *state = router->endpoints[i];
      int32_t slots;

      if (strcmp (state->endpoint.app, app) == 0)
        {
          capacity->in_flight += state->own_in_flight;
          capacity->paused += is_expected_back (state, now_ms) ? 1 : 0;
        }
      if (!is_usable (router, state, app, now_ms))
        continue;
      slots = bt_get_endpoint_slots (state, options);
      capacity->endpoints++;
      capacity->slots += slots;
      /* Other entries that hold more than their equal share return the excess under load. */
      capacity->available_slots += slots - (bt_get_endpoint_load (state) - state->own_in_flight);
      capacity->room += get_endpoint_room (state, options, entries);
      capacity->equal_share += (double)(slots + options->queue_depth) / entries;
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
