#ifndef BILBERRYTRAY_MAPS_EXPERT_LOAD_H
#define BILBERRYTRAY_MAPS_EXPERT_LOAD_H

/** @file
 * The recent load of each expert: tokens with exponential decay, per layer.
 */

#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_expert_load bt_expert_load_t;

/** Creates a table of zero loads that decays with a half-life of @p half_life_ms. */
bt_expert_load_t *
bt_new_expert_load (bt_context_t *ctx, int32_t layers, int32_t experts, int64_t half_life_ms);

void bt_drop_expert_load (bt_context_t *ctx, bt_expert_load_t *load);

/** Decays all loads to @p now_ms; does nothing when @p now_ms is not after the last decay. */
void bt_decay_expert_load (bt_expert_load_t *load, int64_t now_ms);

/** Adds tokens that were routed to an expert since the last decay. */
void bt_add_expert_load (bt_expert_load_t *load, int32_t layer, int32_t expert, double tokens);

/** Sets the loads of all experts of a layer to zero. */
void bt_clear_expert_load (bt_expert_load_t *load, int32_t layer);

/** The decayed load of an expert, in tokens. */
double bt_get_expert_load (const bt_expert_load_t *load, int32_t layer, int32_t expert);

#endif
