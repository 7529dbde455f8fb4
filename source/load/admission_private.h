#ifndef BILBERRYTRAY_SOURCE_LOAD_ADMISSION_PRIVATE_H
#define BILBERRYTRAY_SOURCE_LOAD_ADMISSION_PRIVATE_H

/** @file
 * The state of admission control that its source files share.
 */

#include "backlog_order.h"
#include "bilberrytray/load/admission.h"
#include "demand.h"
#include "fair_queue.h"
#include "return_time.h"

/** State of one app. */
typedef struct bt_admission_app
{
  char name[BT_NAME_BYTES];
  bt_fair_queue_t *queue;
  bt_demand_t demand;
  int64_t usable_ms;      /**< Last time that an endpoint was usable. */
  bt_wait_reason_t wait;  /**< What queued requests have waited for since wait_ms. */
  bt_wait_times_t waited; /**< Times of waits up to wait_ms. */
  int64_t wait_ms;

  bool late_last; /**< Requests that can still be in time are served before late ones; the members
                     below are used only then. */
  double rate;    /**< Requests per second that could be served when an endpoint was usable last. */
  bt_arrival_rate_t arrivals;
  bt_return_plan_t returns;
  bt_admission_decision_t *refused; /**< Removed from the queue and not yet returned. */
  int32_t refused_count;
  bt_fair_item_t *late; /**< Work space for the late requests. */
  int64_t bounded_ms;   /**< Last time that the late requests were bounded. */
  bool reserved;        /**< Its requests are sent by grants only. */
} bt_admission_app_t;

/** Token bucket of one rule. */
typedef struct bt_rule_limit
{
  char rule[BT_NAME_BYTES];
  double tokens;
  int64_t updated_ms;
} bt_rule_limit_t;

struct bt_admission
{
  bt_admission_options_t options;
  bt_router_t *router;
  const bt_group_outages_t *outages; /**< May be NULL. */
  bt_admission_app_t *apps;
  int32_t app_count;
  bt_rule_limit_t *limits;
  int32_t limit_count;
  int32_t last_app; /**< Index of the app that bt_next_admission served last. */
};

/** Finds an app; NULL if it has had no request. */
bt_admission_app_t *bt_find_admission_app (const bt_admission_t *admission, const char *name);

/** Refuses with a retry-after time of @p base_ms plus a random part. Without the random part, all
 * requests refused in a burst would return together as the next burst. */
void bt_refuse_admission (const bt_admission_t *admission,
                          bt_admission_decision_t *decision,
                          bt_reason_t reason,
                          int64_t base_ms,
                          uint64_t seed);

/** Records what the queued requests of an app wait for from now on: nothing if there are none. */
void bt_set_admission_wait (bt_admission_app_t *app, const bt_capacity_t *capacity, int64_t now_ms);

/** Returns what keeps requests from endpoints of this capacity. */
bt_wait_reason_t bt_find_wait_reason (const bt_capacity_t *capacity);

/** Returns the requests per second that the slots available to this entry can serve. */
double bt_get_capacity_rate (const bt_capacity_t *capacity);

/** Sets whether requests that can still be in time are served before late ones. */
void bt_set_admission_order (bt_context_t *ctx,
                             const bt_admission_t *admission,
                             bt_admission_app_t *app,
                             bool late_last);

/** Sets the retry-after time of a refusal in a contended app to when capacity is expected. Keeps it
 * for other apps, and while it is not known when an endpoint is usable. */
void bt_place_admission_return (const bt_admission_t *admission,
                                bt_admission_app_t *app,
                                const bt_capacity_t *capacity,
                                int32_t priority,
                                uint64_t seed,
                                int64_t now_ms,
                                bt_admission_decision_t *decision);

/** Refuses the queued late requests that are not expected to be served while their callers wait. */
void bt_bound_late_requests (const bt_admission_t *admission,
                             bt_admission_app_t *app,
                             const bt_capacity_t *capacity,
                             int64_t now_ms);

/** Queues a request that may wait for @p limit_ms. In a contended app it displaces the last waiting
 * request of the lowest priority below its own if that one would no longer be served while its
 * caller waits, or if the queue is full. Returns false if the queue is full. */
bool bt_queue_admission (bt_context_t *ctx,
                         const bt_admission_t *admission,
                         bt_admission_app_t *app,
                         const bt_admission_request_t *request,
                         const bt_capacity_t *capacity,
                         int64_t limit_ms,
                         int64_t now_ms);

/** Takes a refusal of a request that was removed from the queue; returns false if there is none. */
bool bt_take_refused_request (bt_admission_app_t *app, bt_admission_decision_t *decision);

/** Drops the refusal of a request whose caller has left; returns false if there is none. */
bool bt_cancel_refused_request (bt_admission_app_t *app, uint64_t id);

/** Returns how long a request may wait if its run takes @p run_ms. */
int64_t bt_get_admission_wait_limit_ms (const bt_admission_request_t *request, int64_t run_ms);

/** Handles a request while no endpoint takes one, but it is expected when one will: their group is
 * being formed, or they are throttled. A caller that waits for longer than that takes is served
 * sooner by waiting here than by retrying. */
void bt_wait_for_endpoints (bt_context_t *ctx,
                            bt_admission_t *admission,
                            bt_admission_app_t *app,
                            const bt_admission_request_t *request,
                            const bt_capacity_t *capacity,
                            int64_t now_ms,
                            bt_admission_decision_t *decision);

/** Returns true if queued requests wait for endpoints that are not expected to return in time. */
bool bt_is_admission_wait_over (const bt_admission_t *admission,
                                const bt_admission_app_t *app,
                                const bt_capacity_t *capacity,
                                int64_t now_ms);

/** Returns the time up to which queued requests are given up: the present, or when the next
 * throttled endpoint takes a request if there is no other. */
int64_t bt_get_give_up_horizon_ms (const bt_admission_t *admission,
                                   const bt_admission_app_t *app,
                                   const bt_capacity_t *capacity,
                                   int64_t now_ms);

#endif
