#ifndef BILBERRYTRAY_LOAD_ADMISSION_H
#define BILBERRYTRAY_LOAD_ADMISSION_H

/** @file
 * Admission control at an entry: decides whether a request is sent now, waits in a bounded queue,
 * or is refused at once with a retry-after time. Not thread-safe: the calling code holds the
 * router's lock.
 */

#include "bilberrytray/load/group_outages.h"

typedef struct bt_admission bt_admission_t;

/** Settings of admission control. */
typedef struct bt_admission_options
{
  int32_t queue_limit;      /**< Maximum number of queued requests for each app. */
  int32_t wait_percent;     /**< An estimated wait is multiplied by this percentage before it is
                               compared with the deadline. */
  int64_t demand_window_ms; /**< Time constant of the decaying average of each account's demand. */
  int64_t spread_ms;        /**< Minimum width of the random part of retry-after times. */
  int64_t max_retry_after_ms;  /**< Upper bound of the retry-after times that are sent. */
  int64_t no_endpoint_wait_ms; /**< How long queued requests wait without a usable endpoint;
                                    new ones are then refused at once. */
  int64_t paused_wait_ms;      /**< The same while endpoints are paused and no estimate of when they
                                    resume is known. */
} bt_admission_options_t;

/** A request to decide on. The strings are only read during the call. */
typedef struct bt_admission_request
{
  uint64_t id; /**< Number assigned by the calling code, unique among queued requests. */
  const char *app;
  const char *account;
  int32_t share;    /**< Weight of the account in fair sharing; 0 counts as 1. */
  int32_t priority; /**< A higher priority is served first. */
  int64_t deadline_left_ms;
  int64_t target_left_ms;   /**< Time left until the caller expects the first part of the answer; 0:
                            no  expectation. */
  int64_t patience_left_ms; /**< Time left until the caller leaves unless the answer has begun; 0:
                                 it waits until the deadline. */
  int64_t run_ms;           /**< Least expected time of the run of this request; 0: unknown. */
  const char *rule;         /**< Name of the matching rule; NULL for none. */
  int32_t rule_per_second;  /**< The rule's limit in requests per second; 0: none. */
  int32_t rule_burst;       /**< Requests that may pass at once; 0: the requests of one second. */
  bool late_last;           /**< The app is contended: requests that can still be in time are served
                               before late ones of all priorities. The last request of an app
                               counts for all that are queued. */
  bool is_retry;            /**< A retry: exempt from the rule's limit and not counted as demand. */
  bool by_estimate; /**< Admitted by the estimate of capacity even if the app is reserved. */
  uint64_t seed;    /**< Random number that spreads the retry-after times. */
} bt_admission_request_t;

/** Action to take for a request. */
typedef enum bt_admission_action
{
  BT_ADMISSION_ADMIT = 0, /**< Choose an endpoint and send it now. */
  BT_ADMISSION_QUEUE,     /**< Queued; bt_next_admission returns the decision later. */
  BT_ADMISSION_REFUSE,    /**< Refuse it at once; it did not run. */
} bt_admission_action_t;

/** What keeps the queued requests of an app waiting. */
typedef enum bt_wait_reason
{
  BT_WAIT_NONE = 0,  /**< Nothing is queued, or the refusal has nothing to do with a wait. */
  BT_WAIT_ROOM,      /**< Capacity at endpoints. */
  BT_WAIT_GROUP,     /**< A rank group that is stopped or being formed. */
  BT_WAIT_COLD,      /**< Endpoints that have just started. */
  BT_WAIT_THROTTLED, /**< Endpoints that have named a limit or a rest. */
  BT_WAIT_COUNT,
} bt_wait_reason_t;

/** For how long requests of an app have been queued since the start, by what they waited for. The
 * difference between two times is what one request waited. */
typedef struct bt_wait_times
{
  int64_t total_ms[BT_WAIT_COUNT];
} bt_wait_times_t;

/** How a request of a contended app was taken from the queue. */
typedef enum bt_queue_order
{
  BT_QUEUE_ORDER_NONE = 0, /**< The app is not contended, or the request was not queued. */
  BT_QUEUE_ORDER_IN_TIME,  /**< It could still be in time. */
  BT_QUEUE_ORDER_LATE,     /**< It was late. */
} bt_queue_order_t;

/** Decision on one request. */
typedef struct bt_admission_decision
{
  uint64_t id;
  bt_admission_action_t action;
  bt_wait_reason_t wait;  /**< Why it is queued or refused; unchanged by ADMIT. */
  bt_wait_times_t times;  /**< Of its app, at the decision. */
  bt_reason_t reason;     /**< Of a refusal: RULE_LIMIT, ACCOUNT_SHARE, QUEUE_FULL, NO_ENDPOINT,
                             ENDPOINT_FULL or DEADLINE_UNREACHABLE. */
  int64_t retry_after_ms; /**< Of a refusal: time after which the caller may retry. */
  bt_queue_order_t order; /**< Of a queued request that is admitted. */
  bool displaced;         /**< Of a refusal: a more urgent request took its place in the queue. */
} bt_admission_decision_t;

/** Sets the defaults: 4096 queued requests per app, waits multiplied by 150%, demand averaged over
 * 2 s, retry-after times with a random part at least 1 s wide and of at most 5 min in all, and
 * waits of 1 s without a usable endpoint and of 3 s while endpoints are paused. */
void bt_default_admission_options (bt_admission_options_t *options);

/** Creates an admission control that reads capacity from @p router, which must outlive it. */
bt_admission_t *
bt_new_admission (bt_context_t *ctx, bt_router_t *router, const bt_admission_options_t *options);
void bt_drop_admission (bt_context_t *ctx, bt_admission_t *admission);

/** Sets where admission learns when the endpoints of a broken group resume; @p outages must outlive
 * it. */
void bt_set_admission_outages (bt_admission_t *admission, const bt_group_outages_t *outages);

/** Decides on a new request. After ADMIT the calling code chooses an endpoint and calls
 * bt_record_dispatch before the next decision, since only that call reduces the free capacity. */
void bt_decide_admission (bt_context_t *ctx,
                          bt_admission_t *admission,
                          const bt_admission_request_t *request,
                          int64_t now_ms,
                          bt_admission_decision_t *decision);

/** Returns the next decision on a queued request, ADMIT or REFUSE, in @p decision; false if there
 * is none. Call it until it returns false: after each end of an attempt, after each load report,
 * and every few milliseconds while requests are queued. */
bool
bt_next_admission (bt_admission_t *admission, int64_t now_ms, bt_admission_decision_t *decision);

/** Sets @p times to those of an app at @p now_ms, and returns what its queued requests wait for.
 * For requests that end while they are queued. */
bt_wait_reason_t bt_get_wait_times (const bt_admission_t *admission,
                                    const char *app,
                                    int64_t now_ms,
                                    bt_wait_times_t *times);

/** Sets whether the requests of an app are sent by grants only. While it is reserved, they are
 * queued or refused as before, but bt_next_admission admits none. */
void bt_set_admission_reserved (
    bt_context_t *ctx, bt_admission_t *admission, const char *app, bool reserved, int64_t now_ms);

/** Takes the request of an app that is first in its queue, for a grant. Returns false if there is
 * none. */
bool
bt_take_queued_request (bt_admission_t *admission, const char *app, int64_t now_ms, uint64_t *id);

/** Removes a queued request whose caller has left; returns false if it is not queued. */
bool bt_cancel_admission (bt_admission_t *admission, uint64_t id);

/** Returns after how long a request that found all endpoints of its app paused or throttled may be
 * sent again; 0 if one may be chosen, or it is not known when they resume. @p seed spreads the
 * times. */
int64_t bt_get_paused_retry_after_ms (const bt_admission_t *admission,
                                      const char *app,
                                      uint64_t seed,
                                      int64_t now_ms);

/** Returns the number of queued requests of an app. */
int32_t bt_count_queued_requests (const bt_admission_t *admission, const char *name);

#endif
