#ifndef BILBERRYTRAY_SOURCE_GATEWAY_QUEUE_COUNTS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_QUEUE_COUNTS_H

/** @file
 * Metrics of the order in which the queues of contended apps are served.
 */

#include "bilberrytray/config/declarations.h"
#include "bilberrytray/load/admission.h"

/** Counts a decision of bt_next_admission on a request of @p priority. */
void bt_count_queue_decision (bt_context_t *ctx,
                              const bt_admission_decision_t *decision,
                              bt_priority_t priority);

#endif
