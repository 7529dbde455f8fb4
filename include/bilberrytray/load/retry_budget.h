#ifndef BILBERRYTRAY_LOAD_RETRY_BUDGET_H
#define BILBERRYTRAY_LOAD_RETRY_BUDGET_H

/** @file
 * A budget that limits retries to a share of recent requests, so that a fault does not multiply the
 * load that caused it.
 */

#include "bilberrytray/core/outcome.h"

typedef struct bt_retry_budget bt_retry_budget_t;

/** Settings of a retry budget. */
typedef struct bt_retry_budget_options
{
  int32_t share_percent; /**< Retries allowed per 100 requests; 0 allows none. */
  int32_t reserve;       /**< Maximum number of saved retries, at least 1. */
  int32_t initial;       /**< Retries in a new budget, at most the reserve. */
} bt_retry_budget_options_t;

/** Sets the defaults: 10 retries per 100 requests, a reserve of 10, and 10 in a new budget. */
void bt_default_retry_budget_options (bt_retry_budget_options_t *options);

bt_retry_budget_t *bt_new_retry_budget (bt_context_t *ctx,
                                        const bt_retry_budget_options_t *options);
void bt_drop_retry_budget (bt_context_t *ctx, bt_retry_budget_t *budget);

/** Changes the maximum number of saved retries; saved retries above it are lost. */
void bt_set_retry_reserve (bt_retry_budget_t *budget, int32_t reserve);

/** Returns the reserve of each of @p instances instances, at least 1, if all of them together may
 * spend @p total retries beyond their share. It is half of an equal part: the other half covers
 * instances that restart with a new budget. */
int32_t bt_divide_retry_reserve (int64_t total, int32_t instances);

/** Records the first attempt of a request, which adds its share of a retry. */
void bt_record_attempt (bt_retry_budget_t *budget);

/** Takes one retry and counts it by its reason. If none is left, counts nothing and returns false;
 * the request then ends at once with BT_REASON_RETRY_BUDGET. */
bool bt_take_retry (bt_context_t *ctx, bt_retry_budget_t *budget, bt_retry_t retry);

/** Returns the number of whole retries left. */
int32_t bt_count_retries_left (const bt_retry_budget_t *budget);

#endif
