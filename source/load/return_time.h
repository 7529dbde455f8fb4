#ifndef BILBERRYTRAY_SOURCE_LOAD_RETURN_TIME_H
#define BILBERRYTRAY_SOURCE_LOAD_RETURN_TIME_H

/** @file
 * Retry-after times of a contended app: refused callers are told to return where capacity is
 * expected. The load is the backlog of an outage or of a burst, which would otherwise return as one
 * wave and displace fresh requests.
 */

#include "backlog_order.h"

enum
{
  /** Priorities that are told apart, from 0, the lowest. Higher ones count as the highest. */
  BT_RETURN_PRIORITIES = 3,
};

/** Callers that have been told to return and are expected to be served after that, by priority.
 * Initialise it with zeros. */
typedef struct bt_return_plan
{
  double callers[BT_RETURN_PRIORITIES];
  int64_t updated_ms;
} bt_return_plan_t;

/** A caller that is refused. */
typedef struct bt_return_request
{
  int32_t priority; /**< A higher priority returns first. */
  int32_t queued;   /**< Queued requests, which are served before any caller returns. */
  uint64_t seed;    /**< Spreads the times. */
} bt_return_request_t;

/** Adds a caller to @p plan and returns after how long it is to return, in ms, at least 1. Callers
 * return after the outage and the queued requests, spread over the time in which a part of the rate
 * that new requests leave serves them; urgent ones return at a greater part of that rate. */
int64_t bt_place_return_ms (bt_return_plan_t *plan,
                            const bt_backlog_service_t *service,
                            const bt_return_request_t *request,
                            int64_t now_ms);

#endif
