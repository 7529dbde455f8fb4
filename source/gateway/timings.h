#ifndef BILBERRYTRAY_SOURCE_GATEWAY_TIMINGS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_TIMINGS_H

/** @file
 * Histograms of how long the steps of requests took, and how old the data was that decided them. A
 * failed request is logged as a warning; these histograms show the others as well.
 */

#include "bilberrytray/base/histogram.h"

typedef struct bt_timings
{
  bt_histogram_t *queue_wait;  /**< From the arrival of a request to its first attempt. */
  bt_histogram_t *first_part;  /**< From the arrival to the first part of the answer. */
  bt_histogram_t *event_pause; /**< Between two parts of a stream that were passed on. */
  bt_histogram_t *total;    /**< From the arrival to the end of the request, successful or not. */
  bt_histogram_t *view_age; /**< Age of the store's view by which a request was routed. */
  bt_histogram_t *load_age; /**< Age of an engine's load when it was recorded. */
} bt_timings_t;

void bt_open_timings (bt_context_t *ctx, bt_timings_t *timings);
void bt_close_timings (bt_context_t *ctx, bt_timings_t *timings);

#endif
