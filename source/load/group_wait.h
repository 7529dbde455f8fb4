#ifndef BILBERRYTRAY_SOURCE_LOAD_GROUP_WAIT_H
#define BILBERRYTRAY_SOURCE_LOAD_GROUP_WAIT_H

/** @file
 * What a request does while the only rank groups that could run it are broken: it waits in the
 * queue, or it is refused and told when to return. The load is the ordinary demand of an app that
 * meets no endpoint for some seconds, and has to be served together with new requests afterwards.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct bt_group_wait
{
  int64_t wait_ms;          /**< Estimated time until a group accepts requests. */
  int64_t patience_left_ms; /**< Time until the caller leaves unless the answer has begun; 0: it
                               waits until the deadline. */
  int64_t deadline_left_ms;
} bt_group_wait_t;

/** Returns after how long in the queue a request has to be given up, in ms, because its answer
 * could no longer begin in time. */
int64_t bt_get_group_wait_limit_ms (const bt_group_wait_t *wait);

/** Returns true if the request is expected to be served when it waits in the queue. */
bool bt_can_wait_for_group (const bt_group_wait_t *wait);

/** Returns after how long a refused request is to return. The times are spread by @p seed around
 * the estimated end of the outage, since all requests refused during the outage would return
 * together otherwise. */
int64_t bt_draw_group_retry_after_ms (int64_t wait_ms, uint64_t seed);

#endif
