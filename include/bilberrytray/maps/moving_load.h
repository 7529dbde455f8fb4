#ifndef BILBERRYTRAY_MAPS_MOVING_LOAD_H
#define BILBERRYTRAY_MAPS_MOVING_LOAD_H

/** @file
 * How busy each expert is, where demand moves by jumps: a long mean while it stays, and only what
 * came since once it has jumped.
 *
 * A mean alone has to choose. A short one follows a jump soon and takes noise for demand in
 * between, so that experts are copied for nothing; a long one still believes in yesterday's experts
 * for several rounds. Here each layer compares the counts of the latest window with its mean. Where
 * they differ by more than windows of that layer usually do, the mean starts anew with the window.
 *
 * Pure: times are arguments.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/maps/expert_load.h"

typedef struct bt_moving_load bt_moving_load_t;

/** Makes a table of zero loads whose past counts half after @p half_life_ms. */
bt_moving_load_t *
bt_new_moving_load (bt_context_t *ctx, int32_t layers, int32_t experts, int64_t half_life_ms);

/** NULL is accepted. */
void bt_drop_moving_load (bt_context_t *ctx, bt_moving_load_t *load);

/** With @p keep a jump is told, and the mean goes on all the same: what it is compared with. */
void bt_keep_moving_load (bt_moving_load_t *load, bool keep);

/** Adds what one rank counted since it told last, by layer and expert. */
void bt_add_moving_load (bt_moving_load_t *load, const uint32_t *counts, int64_t now_ms);

/** True once after demand has jumped in some layer. */
bool bt_take_load_jump (bt_moving_load_t *load, int64_t now_ms);

/** The loads without those of the open window, decayed to its start. Valid until the next call. */
const bt_expert_load_t *bt_get_moving_load (const bt_moving_load_t *load);

#endif
