
#include <string.h>

#include "admission_private.h"
#include "bilberrytray/base/random.h"
#include "group_wait.h"

enum
{
  SECOND_MS = 1000,
  WHOLE_PERCENT = 100,
  /* A request that finds capacity waits at least this long for a grant: a few round trips to
   * agents. */
  MIN_GRANT_WAIT_MS = 100,
  /* Expected runs of this percentage of the time left are not started. */
  HOPELESS_RUN_PERCENT = 150,
  DEFAULT_WAIT_PERCENT = 150,
  DEFAULT_QUEUE_LIMIT = 4096,
  DEFAULT_DEMAND_WINDOW_MS = 2000,
  DEFAULT_SPREAD_MS = 1000,
  DEFAULT_MAX_RETRY_AFTER_MS = 300000,
  DEFAULT_NO_ENDPOINT_WAIT_MS = 1000,
  DEFAULT_PAUSED_WAIT_MS = 3000,
};

/* Lower bound of estimated rates in requests per second, so that no estimate divides by zero. */
static const double min_rate = 0.01;

void
bt_default_admission_options (bt_admission_options_t *options)
{
  options->queue_limit = DEFAULT_QUEUE_LIMIT;
  options->wait_percent = DEFAULT_WAIT_PERCENT;
  options->demand_window_ms = DEFAULT_DEMAND_WINDOW_MS;
  options->spread_ms = DEFAULT_SPREAD_MS;
  options->max_retry_after_ms = DEFAULT_MAX_RETRY_AFTER_MS;
  options->no_endpoint_wait_ms = DEFAULT_NO_ENDPOINT_WAIT_MS;
  options->paused_wait_ms = DEFAULT_PAUSED_WAIT_MS;
}

bt_admission_t *
bt_new_admission (bt_context_t *ctx, bt_router_t *router, const bt_admission_options_t *options)
{
  bt_admission_t *admission = bt_calloc (ctx, 1, sizeof *admission);

  admission->options = *options;
  admission->router = router;
  return admission;
}

void
bt_set_admission_outages (bt_admission_t *admission, const bt_group_outages_t *outages)
{
  admission->outages = outages;
}

void
bt_drop_admission (bt_context_t *ctx, bt_admission_t *admission)
{
  if (admission == NULL)
    return;
  for (int32_t i = 0; i < admission->app_count; i++)
    {
      bt_drop_fair_queue (ctx, admission->apps[i].queue);
      bt_clear_demand (ctx, &admission->apps[i].demand);
      bt_free (ctx, admission->apps[i].refused);
      bt_free (ctx, admission->apps[i].late);
    }
  bt_free (ctx, admission->apps);
  bt_free (ctx, admission->limits);
  bt_free (ctx, admission);
}

bt_admission_app_t *
bt_find_admission_app (const bt_admission_t *admission, const char *name)
{
  for (int32_t i = 0; i < admission->app_count; i++)
    if (strcmp (admission->apps[i].name, name) == 0)
      return &admission->apps[i];
  return NULL;
}

static bt_admission_app_t *
find_or_add_app (bt_context_t *ctx, bt_admission_t *admission, const char *name, int64_t now_ms)
{
  bt_admission_app_t *app = bt_find_admission_app (admission, name);

  if (app != NULL)
    return app;
  admission->apps =
      bt_realloc (ctx, admission->apps, (size_t)admission->app_count + 1, sizeof *admission->apps);
  app = &admission->apps[admission->app_count++];
  memset (app, 0, sizeof *app);
  bt_copy_name (app->name, name);
  app->queue = bt_new_fair_queue (ctx, admission->options.queue_limit);
  app->demand.window_ms = admission->options.demand_window_ms;
  app->usable_ms = now_ms;
  return app;
}

static double
get_rule_burst (const bt_admission_request_t *request)
{
  return request->rule_burst > 0 ? request->rule_burst : request->rule_per_second;
}

static bt_rule_limit_t *
find_or_add_limit (bt_context_t *ctx,
                   bt_admission_t *admission,
                   const bt_admission_request_t *request,
                   int64_t now_ms)
{
  bt_rule_limit_t *limit;

  for (int32_t i = 0; i < admission->limit_count; i++)
    if (strcmp (admission->limits[i].rule, request->rule) == 0)
      return &admission->limits[i];
  admission->limits = bt_realloc (ctx, admission->limits, (size_t)admission->limit_count + 1,
                                  sizeof *admission->limits);
  limit = &admission->limits[admission->limit_count++];
  bt_copy_name (limit->rule, request->rule);
  limit->tokens = get_rule_burst (request);
  limit->updated_ms = now_ms;
  return limit;
}

/* Takes a token of the request's rule. If there is none, returns false and sets @p wait_ms to the
 * time until the next one. */
static bool
take_token (bt_context_t *ctx,
            bt_admission_t *admission,
            const bt_admission_request_t *request,
            int64_t now_ms,
            int64_t *wait_ms)
{
  bt_rule_limit_t *limit;

  if (request->rule == NULL || request->rule_per_second <= 0 || request->is_retry)
    return true;
  limit = find_or_add_limit (ctx, admission, request, now_ms);
  limit->tokens +=
      (double)(now_ms - limit->updated_ms) * request->rule_per_second / (double)SECOND_MS;
  limit->updated_ms = now_ms;
  if (limit->tokens > get_rule_burst (request))
    limit->tokens = get_rule_burst (request);
  if (limit->tokens >= 1)
    {
      limit->tokens -= 1;
      return true;
    }
  *wait_ms = (int64_t)((1 - limit->tokens) * SECOND_MS / request->rule_per_second) + 1;
  return false;
}

void
bt_refuse_admission (const bt_admission_t *admission,
                     bt_admission_decision_t *decision,
                     bt_reason_t reason,
                     int64_t base_ms,
                     uint64_t seed)
{
  const int64_t spread_ms =
      base_ms > admission->options.spread_ms ? base_ms : admission->options.spread_ms;
  bt_random_t random;
  int64_t after_ms;

  bt_seed_random (&random, seed);
  after_ms = base_ms + (int64_t)(bt_random_unit (&random) * (double)spread_ms);
  if (after_ms > admission->options.max_retry_after_ms)
    after_ms = admission->options.max_retry_after_ms;
  decision->action = BT_ADMISSION_REFUSE;
  decision->reason = reason;
  decision->retry_after_ms = after_ms;
}

/* Returns true if one more request may be sent: an endpoint has free capacity, or this entry has
 * less than its equal share in flight. Without the second condition, an entry that starts sending
 * when the endpoints are full would never get a slot, since the other entries refill theirs at
 * once. */
static bool
has_room (const bt_capacity_t *capacity)
{
  if (capacity->endpoints == 0)
    return false;
  return capacity->room > 0 || capacity->in_flight < (int32_t)capacity->equal_share;
}

/* Estimates how long a request of this account would wait. The order of the queue gives the wait if
 * no further requests arrive; the account's fair rate gives it if the other accounts keep up their
 * demand. Returns the longer one. */
static double
estimate_wait_ms (const bt_admission_app_t *app,
                  const bt_admission_request_t *request,
                  double account_rate,
                  double rate,
                  int64_t now_ms)
{
  const int32_t ahead = bt_count_fair_items_ahead (app->queue, request->account, request->share,
                                                   request->priority, now_ms)
                        + 1;
  const int32_t lowest = app->late_last ? request->priority : INT32_MIN;
  const int32_t same_account =
      bt_count_fair_account_items (app->queue, request->account, lowest, now_ms) + 1;
  const double by_order = ahead * SECOND_MS / rate;
  const double by_share = same_account * SECOND_MS / account_rate;

  /* A retry has waited before: it is served first within its account. */
  if (request->is_retry)
    return SECOND_MS / rate;
  return by_order > by_share ? by_order : by_share;
}

double
bt_get_capacity_rate (const bt_capacity_t *capacity)
{
  const double rate = capacity->available_slots * SECOND_MS
                      / (double)(capacity->service_ms > 0 ? capacity->service_ms : 1);

  return rate > min_rate ? rate : min_rate;
}

/* Returns the requests per second that are served before late ones. */
static double
get_in_time_rate (const bt_admission_app_t *app, const bt_capacity_t *capacity, int64_t now_ms)
{
  const bt_backlog_service_t service = { .rate = bt_get_capacity_rate (capacity) };

  if (!app->late_last || bt_count_late_fair_items (app->queue, now_ms) == 0)
    return service.rate;
  return bt_get_in_time_service_rate (&service);
}

/* Adds a margin to an estimated wait for accounts that become active and runs that take long. An
 * estimate that is too low keeps a caller waiting for a refusal that could have been immediate. */
static int64_t
add_margin (const bt_admission_t *admission, double wait_ms)
{
  return (int64_t)(wait_ms * admission->options.wait_percent / WHOLE_PERCENT);
}

/* Returns the reason why a request cannot be served in time: its account's share if it could be
 * served in order of arrival, without shares; otherwise the total load. */
static bt_reason_t
find_late_reason (const bt_admission_t *admission,
                  const bt_admission_app_t *app,
                  const bt_admission_request_t *request,
                  const bt_capacity_t *capacity)
{
  const double wait_ms =
      (bt_count_fair_items (app->queue) + 1) * SECOND_MS / bt_get_capacity_rate (capacity);
  const int64_t end_ms = add_margin (admission, wait_ms) + capacity->full_queue_ms;

  return end_ms <= request->deadline_left_ms ? BT_REASON_ACCOUNT_SHARE
                                             : BT_REASON_DEADLINE_UNREACHABLE;
}

int64_t
bt_get_admission_wait_limit_ms (const bt_admission_request_t *request, int64_t run_ms)
{
  const bt_caller_wait_t caller = {
    .deadline_left_ms = request->deadline_left_ms,
    .patience_left_ms = request->patience_left_ms,
    .run_ms = run_ms,
  };

  return bt_get_wait_limit_ms (&caller);
}

/* Returns by how much a request that waits would be late; at most 0 if it may be in time. Against
 * the deadline the wait counts with its margin. The caller's patience is short and a wait for
 * longer than that costs only a return, so there the margin would refuse many that could be served
 * sooner. */
static int64_t
get_late_ms (const bt_admission_request_t *request,
             const bt_capacity_t *capacity,
             double expected_ms,
             int64_t wait_ms)
{
  const int64_t deadline_late_ms = wait_ms + capacity->full_queue_ms - request->deadline_left_ms;
  const int64_t limit_late_ms =
      (int64_t)expected_ms - bt_get_admission_wait_limit_ms (request, capacity->full_queue_ms);

  return deadline_late_ms > limit_late_ms ? deadline_late_ms : limit_late_ms;
}

/* Returns true if a request of a reserved app is expected to get a grant soon: there is capacity
 * for all that wait for one. */
static bool
may_queue_for_grant (const bt_admission_app_t *app, const bt_capacity_t *capacity)
{
  const int32_t queued = bt_count_fair_items (app->queue);

  return queued == 0 || queued < capacity->room;
}

/* Queues or refuses a request that cannot be sent now. */
static void
queue_or_refuse (bt_context_t *ctx,
                 bt_admission_t *admission,
                 bt_admission_app_t *app,
                 const bt_admission_request_t *request,
                 const bt_capacity_t *capacity,
                 int64_t now_ms,
                 bt_admission_decision_t *decision)
{
  const bt_account_demand_t *account = bt_find_demand (ctx, &app->demand, request->account, now_ms);
  const double rate = get_in_time_rate (app, capacity, now_ms);
  const double account_rate = bt_get_fair_rate (&app->demand, account, rate, now_ms);
  const double expected_ms = estimate_wait_ms (app, request, account_rate, rate, now_ms);
  const int64_t wait_ms = add_margin (admission, expected_ms);
  const int64_t limit_ms = bt_get_admission_wait_limit_ms (request, capacity->full_queue_ms);
  const int64_t late_ms = get_late_ms (request, capacity, expected_ms, wait_ms);

  if (late_ms > 0)
    bt_refuse_admission (admission, decision, find_late_reason (admission, app, request, capacity),
                         late_ms, request->seed);
  else if (bt_queue_admission (ctx, admission, app, request, capacity, limit_ms, now_ms))
    decision->action = BT_ADMISSION_QUEUE;
  else
    bt_refuse_admission (admission, decision, BT_REASON_QUEUE_FULL, wait_ms, request->seed);
}

/* Queues a request of a reserved app that the estimate would admit at once. */
static void
queue_for_grant (bt_context_t *ctx,
                 bt_admission_t *admission,
                 bt_admission_app_t *app,
                 const bt_admission_request_t *request,
                 const bt_capacity_t *capacity,
                 int64_t now_ms,
                 bt_admission_decision_t *decision)
{
  const int64_t limit_ms = bt_get_admission_wait_limit_ms (request, capacity->full_queue_ms);
  const bt_fair_item_t item = {
    .id = request->id,
    .priority = request->priority,
    .give_up_ms = now_ms + (limit_ms > MIN_GRANT_WAIT_MS ? limit_ms : MIN_GRANT_WAIT_MS),
    .target_ms = request->target_left_ms > 0 ? now_ms + request->target_left_ms : 0,
    .queued_ms = now_ms,
    .share = request->share,
  };

  if (bt_push_fair_item (ctx, app->queue, request->account, &item))
    decision->action = BT_ADMISSION_QUEUE;
  else
    bt_refuse_admission (admission, decision, BT_REASON_QUEUE_FULL, 0, request->seed);
}

/* Returns by how much the run of a request will exceed its deadline; at most 0 if it may be
 * complete in time. The expected length of an answer is often far off and slow engines may recover,
 * so an expected run must be much longer than the time that is left. */
static int64_t
get_late_run_ms (const bt_admission_request_t *request)
{
  return request->run_ms * WHOLE_PERCENT / HOPELESS_RUN_PERCENT - request->deadline_left_ms;
}

/* Adds to a decision what keeps the request waiting, or why there is no capacity for it. */
static void
describe_wait (bt_admission_app_t *app,
               const bt_capacity_t *capacity,
               int64_t now_ms,
               bt_admission_decision_t *decision)
{
  if (decision->action == BT_ADMISSION_QUEUE)
    bt_set_admission_wait (app, capacity, now_ms);
  if (decision->action != BT_ADMISSION_ADMIT)
    decision->wait = bt_find_wait_reason (capacity);
  decision->times = app->waited;
}

void
bt_decide_admission (bt_context_t *ctx,
                     bt_admission_t *admission,
                     const bt_admission_request_t *request,
                     int64_t now_ms,
                     bt_admission_decision_t *decision)
{
  bt_admission_app_t *app = find_or_add_app (ctx, admission, request->app, now_ms);
  bt_capacity_t capacity;
  int64_t wait_ms = 0;

  memset (decision, 0, sizeof *decision);
  decision->id = request->id;
  bt_set_admission_order (ctx, admission, app, request->late_last);
  if (!take_token (ctx, admission, request, now_ms, &wait_ms))
    {
      bt_refuse_admission (admission, decision, BT_REASON_RULE_LIMIT, wait_ms, request->seed);
      return;
    }
  if (!request->is_retry)
    {
      bt_add_demand (ctx, &app->demand, request->account, request->share, now_ms);
      bt_add_arrival (&app->arrivals, now_ms);
    }
  bt_get_capacity (admission->router, request->app, now_ms, &capacity);
  if (capacity.endpoints > 0)
    app->usable_ms = now_ms;
  if (capacity.endpoints == 0 && capacity.paused + capacity.throttled > 0)
    bt_wait_for_endpoints (ctx, admission, app, request, &capacity, now_ms, decision);
  else if (capacity.endpoints == 0)
    bt_refuse_admission (admission, decision, BT_REASON_NO_ENDPOINT, admission->options.spread_ms,
                         request->seed);
  else if (get_late_run_ms (request) > 0)
    {
      bt_refuse_admission (admission, decision, BT_REASON_DEADLINE_UNREACHABLE,
                           get_late_run_ms (request), request->seed);
      return;
    }
  else if (has_room (&capacity) && app->reserved && !request->by_estimate
           && may_queue_for_grant (app, &capacity))
    queue_for_grant (ctx, admission, app, request, &capacity, now_ms, decision);
  else if (has_room (&capacity)
           && (bt_count_fair_items (app->queue) == 0 || (app->reserved && request->by_estimate)))
    decision->action = BT_ADMISSION_ADMIT;
  else if (capacity.service_ms > request->deadline_left_ms)
    bt_refuse_admission (admission, decision, BT_REASON_DEADLINE_UNREACHABLE, 0, request->seed);
  else
    queue_or_refuse (ctx, admission, app, request, &capacity, now_ms, decision);
  describe_wait (app, &capacity, now_ms, decision);
  if (decision->action == BT_ADMISSION_REFUSE && get_late_run_ms (request) <= 0)
    bt_place_admission_return (admission, app, &capacity, request->priority, request->seed, now_ms,
                               decision);
}

/* Returns the next decision for one app. */
static bool
get_next_of_app (bt_admission_t *admission,
                 bt_admission_app_t *app,
                 int64_t now_ms,
                 bt_admission_decision_t *decision)
{
  bt_capacity_t capacity;
  bt_fair_item_t item;
  int64_t paused_retry_ms;

  if (bt_take_refused_request (app, decision))
    return true;
  if (bt_count_fair_items (app->queue) == 0)
    {
      app->wait = BT_WAIT_NONE;
      return false;
    }
  bt_get_capacity (admission->router, app->name, now_ms, &capacity);
  if (capacity.endpoints > 0)
    app->usable_ms = now_ms;
  bt_set_admission_wait (app, &capacity, now_ms);
  decision->wait = app->wait;
  decision->times = app->waited;
  bt_bound_late_requests (admission, app, &capacity, now_ms);
  if (bt_take_refused_request (app, decision))
    return true;
  if (bt_expire_fair_item (app->queue,
                           bt_get_give_up_horizon_ms (admission, app, &capacity, now_ms), &item))
    {
      decision->id = item.id;
      bt_refuse_admission (admission, decision, BT_REASON_DEADLINE_UNREACHABLE, 0, item.id);
      paused_retry_ms = bt_get_paused_retry_after_ms (admission, app->name, item.id, now_ms);
      if (paused_retry_ms > 0)
        decision->retry_after_ms = paused_retry_ms;
      bt_place_admission_return (admission, app, &capacity, item.priority, item.id, now_ms,
                                 decision);
      return true;
    }
  if (bt_is_admission_wait_over (admission, app, &capacity, now_ms)
      && bt_pop_fair_item (app->queue, now_ms, &item))
    {
      decision->id = item.id;
      bt_refuse_admission (admission, decision, BT_REASON_NO_ENDPOINT, admission->options.spread_ms,
                           item.id);
      return true;
    }
  if (app->reserved || !has_room (&capacity) || !bt_pop_fair_item (app->queue, now_ms, &item))
    return false;
  decision->id = item.id;
  decision->action = BT_ADMISSION_ADMIT;
  if (app->late_last)
    decision->order =
        bt_is_fair_item_late (&item, now_ms) ? BT_QUEUE_ORDER_LATE : BT_QUEUE_ORDER_IN_TIME;
  return true;
}

bool
bt_next_admission (bt_admission_t *admission, int64_t now_ms, bt_admission_decision_t *decision)
{
  memset (decision, 0, sizeof *decision);
  for (int32_t i = 0; i < admission->app_count; i++)
    {
      admission->last_app = (admission->last_app + 1) % admission->app_count;
      if (get_next_of_app (admission, &admission->apps[admission->last_app], now_ms, decision))
        return true;
    }
  return false;
}

void
bt_set_admission_reserved (
    bt_context_t *ctx, bt_admission_t *admission, const char *app, bool reserved, int64_t now_ms)
{
  find_or_add_app (ctx, admission, app, now_ms)->reserved = reserved;
}

bool
bt_take_queued_request (bt_admission_t *admission, const char *app, int64_t now_ms, uint64_t *id)
{
  bt_admission_app_t *row = bt_find_admission_app (admission, app);
  bt_fair_item_t item;

  if (row == NULL || !bt_pop_fair_item (row->queue, now_ms, &item))
    return false;
  *id = item.id;
  return true;
}

bool
bt_cancel_admission (bt_admission_t *admission, uint64_t id)
{
  for (int32_t i = 0; i < admission->app_count; i++)
    if (bt_remove_fair_item (admission->apps[i].queue, id)
        || bt_cancel_refused_request (&admission->apps[i], id))
      return true;
  return false;
}

int32_t
bt_count_queued_requests (const bt_admission_t *admission, const char *name)
{
  const bt_admission_app_t *app = bt_find_admission_app (admission, name);

  return app == NULL ? 0 : bt_count_fair_items (app->queue) + app->refused_count;
}
