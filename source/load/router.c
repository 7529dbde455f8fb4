#include "bilberrytray/load/router.h"

#include <string.h>

#include "router_private.h"

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
  bt_free (ctx, router->usable);
  bt_drop_name_index (ctx, router->index);
  bt_free (ctx, router->app_entries);
  bt_drop_entry_list (ctx, router->list);
  bt_free (ctx, router);
}

/* Returns the endpoint of a route, or NULL if its link has died since. Otherwise the late end of an
 * attempt that is no longer counted would make a busy endpoint look idle. */
static bt_endpoint_state_t *
find_route (bt_router_t *router, const bt_route_t *route)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, &route->identity);

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
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, &endpoint->identity);
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
      router->usable = bt_realloc (ctx, router->usable, (size_t)router->capacity,
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
bt_record_load (bt_router_t *router,
                const bt_identity_t *identity,
                const bt_load_t *load,
                int64_t now_ms)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL || !state->linked)
    return false;
  bt_record_endpoint_load (state, load, now_ms);
  return true;
}

int32_t
bt_get_reported_slots (bt_router_t *router, const bt_identity_t *identity, int32_t fallback)
{
  const bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  return state != NULL && state->load.slots > 0 ? state->load.slots : fallback;
}

bool
bt_get_load_report (const bt_router_t *router, const bt_identity_t *identity, bt_load_t *load)
{
  const bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL || !state->reported)
    return false;
  *load = state->load;
  return true;
}

bool
bt_record_prefix (bt_router_t *router,
                  const bt_identity_t *identity,
                  uint64_t prefix,
                  bool cached,
                  int64_t now_ms)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL)
    return false;
  bt_set_endpoint_prefix (state, prefix, cached, now_ms);
  return true;
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
  bt_endpoint_state_t **usable = router->usable;
  bt_endpoint_state_t *best;
  int32_t count = 0;
  int32_t throttled = 0;

  for (int32_t i = 0; i < router->count; i++)
    {
      bt_endpoint_state_t *state = router->endpoints[i];

      if (is_excluded (state, request))
        continue;
      if (bt_is_endpoint_usable (router, state, request->app, now_ms))
        usable[count++] = state;
      else if (bt_is_endpoint_only_throttled (router, state, request->app, now_ms))
        throttled++;
    }
  *retry_after_ms = 0;
  best = bt_choose_endpoint_state (&router->options, bt_get_app_entries (router, request->app),
                                   usable, count, request, now_ms);
  if (best == NULL)
    {
      *retry_after_ms = NO_ENDPOINT_RETRY_AFTER_MS;
      return throttled > 0 ? BT_REASON_ENDPOINT_FULL : BT_REASON_NO_ENDPOINT;
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

      if (!bt_is_endpoint_usable (router, state, app, now_ms))
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
  bt_record_limited_dispatch (&state->limit, now_ms);
  bt_record_rest_dispatch (&state->rest, now_ms);
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
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

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
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  (void)now_ms;
  if (state != NULL)
    mark_link_up (router, state);
}
