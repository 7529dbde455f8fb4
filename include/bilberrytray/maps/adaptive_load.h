#ifndef BILBERRYTRAY_MAPS_ADAPTIVE_LOAD_H
#define BILBERRYTRAY_MAPS_ADAPTIVE_LOAD_H

/** @file
 * The load of each expert under demand that changes abruptly: a long moving average while demand is
 * stable, which restarts when demand jumps.
 *
 * A single moving average has to compromise. A short one follows a jump quickly but mistakes noise
 * for demand in between, so that experts are copied needlessly; a long one still favors the
 * previous experts for several rounds. Here each layer compares the counts of the latest window
 * with its average. Where they differ by more than the windows of that layer usually do, the
 * average restarts from that window.
 *
 * Pure: times are arguments.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/maps/expert_load.h"

typedef struct bt_adaptive_load bt_adaptive_load_t;

/** Creates a table of zero loads that decays with a half-life of @p half_life_ms. */
bt_adaptive_load_t *
bt_new_adaptive_load (bt_context_t *ctx, int32_t layers, int32_t experts, int64_t half_life_ms);

/** NULL is accepted. */
void bt_drop_adaptive_load (bt_context_t *ctx, bt_adaptive_load_t *load);

/** With @p keep, a jump is still reported, but the average does not restart: the baseline to
 * compare the restart with. */
void bt_keep_load_mean (bt_adaptive_load_t *load, bool keep);

/** Adds the counts that one rank collected since its last report, by layer and expert. */
void bt_add_adaptive_load (bt_adaptive_load_t *load, const uint32_t *counts, int64_t now_ms);

/** True when demand has jumped in some layer since the last call. */
bool bt_poll_load_jump (bt_adaptive_load_t *load, int64_t now_ms);

/** The loads without the open window, decayed to its start. Valid until the next call. */
const bt_expert_load_t *bt_get_adaptive_load (const bt_adaptive_load_t *load);

#endif
