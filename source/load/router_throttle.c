#include "router_private.h"

enum
{
  MAX_WAIT_MS = 3600000,
};

/* Returns when an endpoint next takes a request of this entry by what it has said; 0: it has said
 * nothing. */
static int64_t
get_resume_ms (const bt_endpoint_state_t *state)
{
  int64_t limit_ms = bt_get_limit_resume_ms (&state->limit);

  return limit_ms > state->rest.until_ms ? limit_ms : state->rest.until_ms;
}

bool
bt_is_endpoint_throttled (const bt_endpoint_state_t *state, int64_t now_ms)
{
  return get_resume_ms (state) > now_ms;
}

bool
bt_is_endpoint_only_throttled (bt_router_t *router,
                               bt_endpoint_state_t *state,
                               const char *app,
                               int64_t now_ms)
{
  return bt_is_endpoint_throttled (state, now_ms) && get_resume_ms (state) != BT_NEVER_MS
         && bt_is_endpoint_in_service (router, state, app, now_ms);
}

/* Returns how many requests of this entry a throttled endpoint takes until a time. */
static int64_t
count_requests_until (const bt_endpoint_state_t *state,
                      const bt_router_options_t *options,
                      int64_t until_ms)
{
  int64_t left_ms = until_ms - get_resume_ms (state);
  int64_t interval_ms = bt_get_latest_limit_share (&state->limit)->interval_ms;

  if (left_ms < 0)
    return 0;
  if (!state->limit.named)
    return bt_get_endpoint_slots (state, options);
  return interval_ms > 0 ? 1 + left_ms / interval_ms : 1;
}

static bool
is_wait_enough (
    bt_router_t *router, const char *app, int32_t requests, int64_t wait_ms, int64_t now_ms)
{
  int64_t count = 0;

  for (int32_t i = 0; i < router->count; i++)
    if (bt_is_endpoint_only_throttled (router, router->endpoints[i], app, now_ms))
      count += count_requests_until (router->endpoints[i], &router->options, now_ms + wait_ms);
  return count >= requests;
}

int64_t
bt_get_throttle_wait_ms (bt_router_t *router, const char *app, int32_t requests, int64_t now_ms)
{
  int64_t low_ms = 0;
  int64_t high_ms = MAX_WAIT_MS;

  if (!is_wait_enough (router, app, requests, high_ms, now_ms))
    return BT_NEVER_MS;
  while (low_ms < high_ms)
    {
      int64_t middle_ms = low_ms + (high_ms - low_ms) / 2;

      if (is_wait_enough (router, app, requests, middle_ms, now_ms))
        high_ms = middle_ms;
      else
        low_ms = middle_ms + 1;
    }
  return low_ms;
}
