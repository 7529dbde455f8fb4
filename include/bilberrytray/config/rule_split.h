#ifndef BILBERRYTRAY_CONFIG_RULE_SPLIT_H
#define BILBERRYTRAY_CONFIG_RULE_SPLIT_H

/** @file
 * Rules that divide their requests between several apps by weights.
 */

#include "bilberrytray/config/declarations.h"

/** Adds an app to those between which a rule divides its requests. Its share is @p weight, above 0,
 * over the sum of all weights. */
void bt_add_rule_split (bt_context_t *ctx, bt_rule_t *rule, int32_t app, double weight);

/** Returns the app of a request: for a rule without a split its own, otherwise by @p key. Equal
 * keys get the same app, and of evenly distributed keys each app gets its share. When weights
 * change, only the keys between the former bounds and the new ones get another app. */
int32_t bt_choose_rule_app (const bt_rule_then_t *then, uint64_t key);

/** Returns true if the rule may send requests to the app. */
bool bt_may_rule_choose_app (const bt_rule_then_t *then, int32_t app);

#endif
