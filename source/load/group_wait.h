#ifndef BILBERRYTRAY_SOURCE_LOAD_GROUP_WAIT_H
#define BILBERRYTRAY_SOURCE_LOAD_GROUP_WAIT_H

/** @file
 * How long a request may wait for an endpoint, and what it does while the only rank groups that
 * could run it are broken: it waits in the queue, or it is refused and told when to return. The
 * load is the ordinary demand of an app that meets no endpoint for some seconds, and has to be
 * served together with new requests afterwards.
 */

#include <stdbool.h>
#include <stdint.h>

/** How long a caller waits. */
typedef struct bt_caller_wait
{
  int64_t deadline_left_ms; /**< Time left until the complete answer is due. */
  int64_t patience_left_ms; /**< Time left until the caller leaves unless the answer has begun; 0:
                               it waits until the deadline. */
  int64_t run_ms;           /**< Expected time from the end of the wait to the complete answer. */
} bt_caller_wait_t;

/** Returns how long a request may wait before it is sent, in ms. If it were sent later, its caller
 * would leave before the answer. */
int64_t bt_get_wait_limit_ms (const bt_caller_wait_t *caller);

/** Returns after how long a refused request is to return. The times are spread by @p seed around
 * the estimated end of the outage, since all requests refused during the outage would return
 * together otherwise. */
int64_t bt_draw_group_retry_after_ms (int64_t wait_ms, uint64_t seed);

#endif
