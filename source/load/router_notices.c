#include "router_private.h"

static void
update_share (const bt_router_t *router, bt_endpoint_state_t *state, int64_t now_ms)
{
  bt_limit_share_t share;

  if (!state->limit.named || router->list == NULL)
    return;
  share = bt_get_limit_share (router->list, state->endpoint.identity.instance, state->limit.per_s);
  bt_set_limit_share (&state->limit, &share, bt_get_list_settled_ms (router->list), now_ms);
}

void
bt_set_router_entry_names (bt_context_t *ctx,
                           bt_router_t *router,
                           const char *instance,
                           const char *const *names,
                           int32_t count,
                           int64_t now_ms)
{
  if (router->list == NULL)
    router->list = bt_new_entry_list (ctx, instance);
  if (!bt_set_listed_names (ctx, router->list, names, count, now_ms))
    return;
  for (int32_t i = 0; i < router->count; i++)
    update_share (router, router->endpoints[i], now_ms);
}

bt_limit_change_t
bt_record_endpoint_limit (bt_router_t *router,
                          const bt_identity_t *identity,
                          const bt_limit_notice_t *notice,
                          int64_t now_ms)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);
  bt_limit_change_t change;

  if (state == NULL)
    return BT_LIMIT_UNCHANGED;
  change = bt_record_limit_notice (&state->limit, notice, now_ms);
  if (change == BT_LIMIT_NAMED || change == BT_LIMIT_CHANGED)
    update_share (router, state, now_ms);
  return change;
}

bool
bt_get_endpoint_limit (const bt_router_t *router,
                       const bt_identity_t *identity,
                       bt_endpoint_limit_t *limit)
{
  const bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL)
    return false;
  *limit = state->limit;
  return true;
}

int32_t
bt_count_limited_endpoints (const bt_router_t *router)
{
  int32_t count = 0;

  for (int32_t i = 0; i < router->count; i++)
    count += router->endpoints[i]->limit.named ? 1 : 0;
  return count;
}

bool
bt_record_endpoint_rest (bt_router_t *router,
                         const bt_identity_t *identity,
                         int64_t rest_ms,
                         int64_t now_ms,
                         bt_endpoint_rest_t *before)
{
  bt_endpoint_state_t *state = bt_find_endpoint_state (router, identity);

  if (state == NULL)
    return false;
  *before = state->rest;
  return bt_record_rest (&state->rest, rest_ms, now_ms);
}

int32_t
bt_count_resting_endpoints (const bt_router_t *router, int64_t now_ms)
{
  int32_t count = 0;

  for (int32_t i = 0; i < router->count; i++)
    count += bt_is_resting (&router->endpoints[i]->rest, now_ms) ? 1 : 0;
  return count;
}

static bool
has_notice (const bt_endpoint_state_t *state, int64_t now_ms)
{
  return state->limit.named || state->said_leaving || bt_is_resting (&state->rest, now_ms);
}

static void
copy_notices (const bt_endpoint_state_t *state, bt_endpoint_notices_t *notices)
{
  bt_copy_name (notices->endpoint, state->endpoint.identity.instance);
  bt_copy_name (notices->app, state->endpoint.app);
  notices->limit = state->limit;
  notices->rest = state->rest;
  notices->said_leaving = state->said_leaving;
}

int32_t
bt_list_endpoint_notices (bt_context_t *ctx,
                          const bt_router_t *router,
                          int64_t now_ms,
                          bt_endpoint_notices_t **notices)
{
  int32_t count = 0;

  for (int32_t i = 0; i < router->count; i++)
    count += has_notice (router->endpoints[i], now_ms) ? 1 : 0;
  *notices = bt_calloc (ctx, (size_t)count + 1, sizeof **notices);
  count = 0;
  for (int32_t i = 0; i < router->count; i++)
    if (has_notice (router->endpoints[i], now_ms))
      copy_notices (router->endpoints[i], &(*notices)[count++]);
  return count;
}
