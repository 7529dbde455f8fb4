#include <string.h>

#include "admission_private.h"
#include "group_wait.h"

/* Any stopped group reduces capacity for long. Cold and throttled endpoints are the reason only
 * where they are as many as the usable ones. */
bt_wait_reason_t
bt_find_wait_reason (const bt_capacity_t *capacity)
{
  if (capacity->paused > capacity->cold)
    return BT_WAIT_GROUP;
  if (capacity->cold > 0 && capacity->cold >= capacity->endpoints)
    return BT_WAIT_COLD;
  if (capacity->throttled > 0 && capacity->throttled >= capacity->endpoints)
    return BT_WAIT_THROTTLED;
  return BT_WAIT_ROOM;
}

void
bt_set_admission_wait (bt_admission_app_t *app, const bt_capacity_t *capacity, int64_t now_ms)
{
  if (app->wait != BT_WAIT_NONE && now_ms > app->wait_ms)
    app->waited.total_ms[app->wait] += now_ms - app->wait_ms;
  app->wait_ms = now_ms;
  app->wait = BT_WAIT_NONE;
  if (bt_count_fair_items (app->queue) > 0)
    app->wait = bt_find_wait_reason (capacity);
}

bt_wait_reason_t
bt_get_wait_times (const bt_admission_t *admission,
                   const char *app,
                   int64_t now_ms,
                   bt_wait_times_t *times)
{
  const bt_admission_app_t *queued = bt_find_admission_app (admission, app);

  memset (times, 0, sizeof *times);
  if (queued == NULL)
    return BT_WAIT_NONE;
  *times = queued->waited;
  if (queued->wait != BT_WAIT_NONE && now_ms > queued->wait_ms)
    times->total_ms[queued->wait] += now_ms - queued->wait_ms;
  return queued->wait;
}

/* Returns the estimated time until the paused endpoints of an app resume; 0: unknown. */
static int64_t
get_group_wait_ms (const bt_admission_t *admission, const char *app, int64_t now_ms)
{
  return admission->outages == NULL ? 0 : bt_get_group_wait_ms (admission->outages, app, now_ms);
}

/* Returns the estimated time until the paused endpoints of an app accept requests. */
static int64_t
get_paused_wait_ms (const bt_admission_t *admission, const char *app, int64_t now_ms)
{
  const int64_t known_ms = get_group_wait_ms (admission, app, now_ms);

  return known_ms > 0 ? known_ms : admission->options.paused_wait_ms;
}

/* Returns how long until throttled endpoints have taken the queued requests of an app and
 * @p further ones; BT_NEVER_MS if none are throttled. */
static int64_t
get_throttle_wait_ms (const bt_admission_t *admission,
                      const bt_admission_app_t *app,
                      const bt_capacity_t *capacity,
                      int32_t further,
                      int64_t now_ms)
{
  if (capacity->throttled == 0)
    return BT_NEVER_MS;
  return bt_get_throttle_wait_ms (admission->router, app->name,
                                  bt_count_fair_items (app->queue) + further, now_ms);
}

/* Refuses a request that finds all endpoints throttled for longer than it can wait. */
static void
refuse_throttled (const bt_admission_t *admission,
                  int64_t wait_ms,
                  uint64_t seed,
                  bt_admission_decision_t *decision)
{
  const int64_t max_ms = admission->options.max_retry_after_ms;

  bt_refuse_admission (admission, decision, BT_REASON_ENDPOINT_FULL,
                       wait_ms < max_ms ? wait_ms : max_ms, seed);
}

void
bt_wait_for_endpoints (bt_context_t *ctx,
                       bt_admission_t *admission,
                       bt_admission_app_t *app,
                       const bt_admission_request_t *request,
                       const bt_capacity_t *capacity,
                       int64_t now_ms,
                       bt_admission_decision_t *decision)
{
  const int64_t throttle_ms = get_throttle_wait_ms (admission, app, capacity, 1, now_ms);
  const int64_t paused_ms =
      capacity->paused > 0 ? get_paused_wait_ms (admission, app->name, now_ms) : BT_NEVER_MS;
  const int64_t wait_ms = paused_ms < throttle_ms ? paused_ms : throttle_ms;
  const int64_t limit_ms = bt_get_admission_wait_limit_ms (request, capacity->service_ms);

  if (wait_ms <= limit_ms
      && bt_queue_admission (ctx, admission, app, request, capacity, limit_ms, now_ms))
    {
      decision->action = BT_ADMISSION_QUEUE;
      return;
    }
  if (throttle_ms < paused_ms || capacity->paused == 0)
    {
      refuse_throttled (admission, wait_ms, request->seed, decision);
      return;
    }
  bt_refuse_admission (admission, decision, BT_REASON_NO_ENDPOINT, 0, request->seed);
  decision->retry_after_ms = bt_draw_group_retry_after_ms (wait_ms, request->seed);
}

int64_t
bt_get_paused_retry_after_ms (const bt_admission_t *admission,
                              const char *app,
                              uint64_t seed,
                              int64_t now_ms)
{
  const int64_t wait_ms = get_group_wait_ms (admission, app, now_ms);
  const bt_admission_app_t *queued = bt_find_admission_app (admission, app);
  bt_admission_decision_t decision = { 0 };
  bt_capacity_t capacity;

  bt_get_capacity (admission->router, app, now_ms, &capacity);
  if (capacity.endpoints > 0)
    return 0;
  if (wait_ms > 0)
    return bt_draw_group_retry_after_ms (wait_ms, seed);
  if (capacity.throttled == 0 || queued == NULL)
    return 0;
  refuse_throttled (admission, get_throttle_wait_ms (admission, queued, &capacity, 1, now_ms), seed,
                    &decision);
  return decision.retry_after_ms;
}

bool
bt_is_admission_wait_over (const bt_admission_t *admission,
                           const bt_admission_app_t *app,
                           const bt_capacity_t *capacity,
                           int64_t now_ms)
{
  const int64_t waited_ms = now_ms - app->usable_ms;

  /* What can't wait for them has been refused. */
  if (capacity->throttled > 0)
    return false;
  if (capacity->paused == 0)
    return waited_ms > admission->options.no_endpoint_wait_ms;
  /* With an estimate, each request is given up at its own time. */
  return get_group_wait_ms (admission, app->name, now_ms) == 0
         && waited_ms > admission->options.paused_wait_ms;
}

int64_t
bt_get_give_up_horizon_ms (const bt_admission_t *admission,
                           const bt_admission_app_t *app,
                           const bt_capacity_t *capacity,
                           int64_t now_ms)
{
  int64_t wait_ms;

  if (capacity->endpoints > 0 || capacity->paused > 0 || capacity->throttled == 0)
    return now_ms;
  wait_ms = bt_get_throttle_wait_ms (admission->router, app->name, 1, now_ms);
  return wait_ms == BT_NEVER_MS ? wait_ms : now_ms + wait_ms;
}
