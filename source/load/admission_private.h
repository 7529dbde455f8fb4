#ifndef BILBERRYTRAY_SOURCE_LOAD_ADMISSION_PRIVATE_H
#define BILBERRYTRAY_SOURCE_LOAD_ADMISSION_PRIVATE_H

/** @file
 * The state of admission control that its source files share.
 */

#include "bilberrytray/load/admission.h"
#include "demand.h"
#include "fair_queue.h"

/** State of one app. */
typedef struct bt_admission_app
{
  char name[BT_NAME_BYTES];
  bt_fair_queue_t *queue;
  bt_demand_t demand;
  int64_t usable_ms; /**< Last time that an endpoint was usable. */
  bool late_last;    /**< Requests that can still be in time are served before late ones. */
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
