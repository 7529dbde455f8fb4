#include <string.h>

#include "router_private.h"

void
bt_set_router_entries (bt_router_t *router, int32_t entries)
{
  router->entries = entries > 0 ? entries : 1;
}

static bt_app_entries_t *
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
  bt_app_entries_t *row = find_app_entries (router, app);

  if (row == NULL)
    {
      router->app_entries = bt_realloc (ctx, router->app_entries, (size_t)router->app_count + 1,
                                        sizeof *router->app_entries);
      row = &router->app_entries[router->app_count++];
      bt_copy_name (row->app, app);
    }
  row->entries = entries > 0 ? entries : 1;
}

int32_t
bt_get_app_entries (const bt_router_t *router, const char *app)
{
  const bt_app_entries_t *row = find_app_entries (router, app);

  return row == NULL ? router->entries : row->entries;
}

bt_endpoint_state_t *
bt_find_endpoint_state (const bt_router_t *router, const bt_identity_t *identity)
{
  bt_endpoint_state_t *state = bt_find_name (router->index, identity->instance);

  return state != NULL && bt_same_identity (&state->endpoint.identity, identity) ? state : NULL;
}

bool
bt_set_endpoint_leaving (bt_router_t *router, const bt_identity_t *identity, bool leaving)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL)
    return false;
  state->leaving = leaving;
  return true;
}

bool
bt_record_endpoint_leaving (bt_router_t *router, const bt_identity_t *identity)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL || state->said_leaving)
    return false;
  state->said_leaving = true;
  return true;
}

bool
bt_set_endpoint_ended (bt_router_t *router, const bt_identity_t *identity, int64_t until_ms)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL)
    return false;
  state->ended_until_ms = until_ms;
  return true;
}

bool
bt_set_endpoint_paused (bt_router_t *router, const bt_identity_t *identity, bool paused)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL)
    return false;
  state->paused = paused;
  return true;
}

bool
bt_set_endpoint_selected (bt_router_t *router, const bt_identity_t *identity, bool selected)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL)
    return false;
  state->unselected = !selected;
  return true;
}

bool
bt_set_endpoint_evacuated (bt_router_t *router, const bt_identity_t *identity, bool evacuated)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

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
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL)
    return false;
  state->cold_until_ms = until_ms;
  state->cold_interval_ms = interval_ms;
  return true;
}

bool
bt_is_endpoint_too_cold (const bt_endpoint_state_t *state, int64_t now_ms)
{
  if (now_ms >= state->cold_until_ms)
    return false;
  return state->cold_interval_ms == 0
         || (state->cold_sent_ms > 0 && now_ms - state->cold_sent_ms < state->cold_interval_ms);
}

bool
bt_is_endpoint_in_service (bt_router_t *router,
                           bt_endpoint_state_t *state,
                           const char *app,
                           int64_t now_ms)
{
  return state->linked && !state->unselected && !state->leaving && !state->said_leaving
         && !state->evacuated && !state->paused && !bt_is_endpoint_too_cold (state, now_ms)
         && now_ms >= state->ended_until_ms && strcmp (state->endpoint.app, app) == 0
         && !bt_is_outlier_ejected (&state->outlier, &router->options.outlier, now_ms);
}

bool
bt_is_endpoint_usable (bt_router_t *router,
                       bt_endpoint_state_t *state,
                       const char *app,
                       int64_t now_ms)
{
  return bt_is_endpoint_in_service (router, state, app, now_ms)
         && !bt_is_endpoint_throttled (state, now_ms);
}
