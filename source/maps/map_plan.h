#ifndef BILBERRYTRAY_MAP_PLAN_H
#define BILBERRYTRAY_MAP_PLAN_H

/** @file
 * Functions shared by the planners; private to them.
 */

#include "bilberrytray/maps/map_planner.h"

/** Creates a plan whose next map is a copy of the current one. */
bt_map_plan_t *bt_start_map_plan (bt_context_t *ctx, const bt_map_input_t *input);

#endif
