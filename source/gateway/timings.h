#ifndef BILBERRYTRAY_SOURCE_GATEWAY_TIMINGS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_TIMINGS_H

/** @file
 * How long the steps of requests took, and how old what decided them was. A request that ended
 * badly is in its log line; these tell how the others fared.
 */

#include "bilberrytray/base/histogram.h"

typedef struct bt_timings
{
  bt_histogram_t *queue_wait;  /**< From the arrival to the first attempt. */
  bt_histogram_t *first_part;  /**< From the arrival to the first of the answer. */
  bt_histogram_t *event_pause; /**< Between two parts of a stream that were passed on. */
  bt_histogram_t *total;       /**< From the arrival to the end, whatever it was. */
  bt_histogram_t *view_age;    /**< Of what the store holds, when a request was sent by it. */
  bt_histogram_t *load_age;    /**< Of an engine's load when it was taken in. */
} bt_timings_t;

void bt_open_timings (bt_context_t *ctx, bt_timings_t *timings);
void bt_close_timings (bt_context_t *ctx, bt_timings_t *timings);

#endif
