#ifndef BILBERRYTRAY_MAPS_COPY_PRICE_H
#define BILBERRYTRAY_MAPS_COPY_PRICE_H

/** @file
 * What the copies of a group's experts may cost: little while the group is full, much while it has
 * room.
 *
 * A lower skew makes passes shorter. Callers gain by that where requests wait for room or passes
 * come near the longest pause; in a group that is half empty they notice nothing, and each copy
 * still takes its share of the ranks' links and lengthens passes while it lasts.
 *
 * Pure: times are arguments.
 */

#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_copy_price bt_copy_price_t;

bt_copy_price_t *bt_new_copy_price (bt_context_t *ctx, int32_t ranks);

/** NULL is accepted. */
void bt_drop_copy_price (bt_context_t *ctx, bt_copy_price_t *price);

/** Takes in how many requests a rank runs, and how many it may run now; a rank out of bounds or a
 * limit below 1 changes nothing. */
void bt_record_rank_running (
    bt_copy_price_t *price, int32_t rank, int32_t running, int32_t limit, int64_t now_ms);

/** The part of the group's room that is taken, a mean over about a second. */
double bt_get_group_fullness (const bt_copy_price_t *price);

/** What a millisecond of step time spent on copying costs, in milliseconds of step time saved. */
double bt_get_copy_weight (const bt_copy_price_t *price);

#endif
