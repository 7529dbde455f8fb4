#include <string.h>

#include "admission_private.h"

/* Describes what serves the backlog of a contended app. Returns false for other apps, and while it
 * is not known when an endpoint is usable. */
static bool
get_backlog_service (const bt_admission_t *admission,
                     bt_admission_app_t *app,
                     const bt_capacity_t *capacity,
                     int64_t now_ms,
                     bt_backlog_service_t *service)
{
  memset (service, 0, sizeof *service);
  if (!app->late_last)
    return false;
  if (capacity->endpoints > 0)
    app->rate = bt_get_capacity_rate (capacity);
  else if (capacity->paused > 0 && admission->outages != NULL)
    service->outage_ms = bt_get_group_wait_ms (admission->outages, app->name, now_ms);
  service->rate = app->rate;
  service->arrival_rate = bt_get_arrival_rate (&app->arrivals, now_ms);
  return app->rate > 0 && (capacity->endpoints > 0 || service->outage_ms > 0);
}

static void
place_return (bt_admission_app_t *app,
              const bt_backlog_service_t *service,
              int32_t priority,
              uint64_t seed,
              int64_t now_ms,
              bt_admission_decision_t *decision)
{
  const bt_return_request_t request = {
    .priority = priority,
    .queued = bt_count_fair_items (app->queue),
    .seed = seed,
  };

  decision->retry_after_ms = bt_place_return_ms (&app->returns, service, &request, now_ms);
}

void
bt_place_admission_return (const bt_admission_t *admission,
                           bt_admission_app_t *app,
                           const bt_capacity_t *capacity,
                           int32_t priority,
                           uint64_t seed,
                           int64_t now_ms,
                           bt_admission_decision_t *decision)
{
  bt_backlog_service_t service;

  if (get_backlog_service (admission, app, capacity, now_ms, &service))
    place_return (app, &service, priority, seed, now_ms, decision);
}

/* Removes a queued request, which bt_next_admission refuses next. */
static void
refuse_queued (bt_admission_app_t *app,
               const bt_backlog_service_t *service,
               const bt_fair_item_t *item,
               bool displaced,
               int64_t now_ms)
{
  bt_admission_decision_t *decision = &app->refused[app->refused_count];

  bt_remove_fair_item (app->queue, item->id);
  memset (decision, 0, sizeof *decision);
  decision->id = item->id;
  decision->action = BT_ADMISSION_REFUSE;
  decision->reason = BT_REASON_DEADLINE_UNREACHABLE;
  decision->displaced = displaced;
  place_return (app, service, item->priority, item->id, now_ms, decision);
  app->refused_count++;
}

/* Every queued request can be refused: the lists hold as many as the queue. */
static bool
may_refuse (const bt_admission_t *admission, const bt_admission_app_t *app)
{
  return app->refused != NULL && app->refused_count < admission->options.queue_limit;
}

void
bt_set_admission_order (bt_context_t *ctx,
                        const bt_admission_t *admission,
                        bt_admission_app_t *app,
                        bool late_last)
{
  const size_t limit = (size_t)admission->options.queue_limit + 1;

  app->late_last = late_last;
  bt_set_fair_queue_late_last (app->queue, late_last);
  if (!late_last || app->refused != NULL)
    return;
  app->refused = bt_calloc (ctx, limit, sizeof *app->refused);
  app->late = bt_calloc (ctx, limit, sizeof *app->late);
}

void
bt_bound_late_requests (const bt_admission_t *admission,
                        bt_admission_app_t *app,
                        const bt_capacity_t *capacity,
                        int64_t now_ms)
{
  bt_backlog_service_t service;
  int32_t count;
  int32_t kept = 0;

  /* All changes of one moment are seen by the next check, which follows within milliseconds. */
  if (app->bounded_ms == now_ms
      || !get_backlog_service (admission, app, capacity, now_ms, &service))
    return;
  app->bounded_ms = now_ms;
  count = bt_list_late_fair_items (app->queue, now_ms, app->late);
  for (int32_t i = 0; i < count && may_refuse (admission, app); i++)
    if (bt_get_late_wait_ms (&service, kept) > app->late[i].give_up_ms - now_ms)
      refuse_queued (app, &service, &app->late[i], false, now_ms);
    else
      kept++;
}

bool
bt_queue_admission (bt_context_t *ctx,
                    const bt_admission_t *admission,
                    bt_admission_app_t *app,
                    const bt_admission_request_t *request,
                    const bt_capacity_t *capacity,
                    int64_t limit_ms,
                    int64_t now_ms)
{
  const bt_fair_item_t item = {
    .id = request->id,
    .priority = request->priority,
    .give_up_ms = now_ms + limit_ms,
    .target_ms = request->target_left_ms > 0 ? now_ms + request->target_left_ms : 0,
    .queued_ms = now_ms,
    .share = request->share,
    .at_front = request->is_retry,
  };
  const bool is_full = bt_count_fair_items (app->queue) >= admission->options.queue_limit;
  const int32_t late = bt_count_late_fair_items (app->queue, now_ms);
  const int32_t in_time = bt_count_fair_items (app->queue) - late;
  bt_backlog_service_t service;
  bt_fair_item_t last;

  if (get_backlog_service (admission, app, capacity, now_ms, &service)
      && may_refuse (admission, app)
      && bt_find_last_fair_item (app->queue, request->priority, now_ms, &last)
      && (is_full
          || bt_get_in_time_wait_ms (&service, in_time, late > 0) > last.give_up_ms - now_ms))
    refuse_queued (app, &service, &last, true, now_ms);
  return bt_push_fair_item (ctx, app->queue, request->account, &item);
}

bool
bt_take_refused_request (bt_admission_app_t *app, bt_admission_decision_t *decision)
{
  if (app->refused_count == 0)
    return false;
  *decision = app->refused[--app->refused_count];
  decision->wait = app->wait == BT_WAIT_NONE ? BT_WAIT_ROOM : app->wait;
  decision->times = app->waited;
  return true;
}

bool
bt_cancel_refused_request (bt_admission_app_t *app, uint64_t id)
{
  for (int32_t i = 0; i < app->refused_count; i++)
    if (app->refused[i].id == id)
      {
        app->refused[i] = app->refused[--app->refused_count];
        return true;
      }
  return false;
}
