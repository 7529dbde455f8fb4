#ifndef BILBERRYTRAY_MAPS_COPY_PRICE_H
#define BILBERRYTRAY_MAPS_COPY_PRICE_H

/** @file
 * The cost weight that the map planner gives to copying experts: low while the group is full, high
 * while it has free capacity.
 *
 * A lower skew makes passes shorter. Callers benefit where requests queue for capacity or where
 * pass times come close to the longest acceptable pause. In a group that is half empty they notice
 * nothing, while each copy still takes bandwidth on the ranks' links and lengthens passes as long
 * as it lasts.
 *
 * Pure: times are arguments.
 */

#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_copy_price bt_copy_price_t;

bt_copy_price_t *bt_new_copy_price (bt_context_t *ctx, int32_t ranks);

/** NULL is accepted. */
void bt_drop_copy_price (bt_context_t *ctx, bt_copy_price_t *price);

/** Records how many requests a rank runs and how many it may run at once. Ignored when the rank is
 * out of range or the limit is below 1. */
void bt_record_rank_running (
    bt_copy_price_t *price, int32_t rank, int32_t running, int32_t limit, int64_t now_ms);

/** The share of the group's request capacity in use, smoothed over about a second. */
double bt_get_group_fullness (const bt_copy_price_t *price);

/** The cost of one millisecond of step time spent on copying, in milliseconds of step time
 * saved. */
double bt_get_copy_weight (const bt_copy_price_t *price);

#endif
