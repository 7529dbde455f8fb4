#ifndef BILBERRYTRAY_MAP_PLAN_H
#define BILBERRYTRAY_MAP_PLAN_H

/** @file
 * What the planners have in common; private to them.
 */

#include "bilberrytray/maps/map_planner.h"

/** Starts a plan whose next map is the current one. */
bt_map_plan_t *bt_start_map_plan (bt_context_t *ctx, const bt_map_input_t *input);

#endif
