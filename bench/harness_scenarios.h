#ifndef BILBERRYTRAY_BENCH_HARNESS_SCENARIOS_H
#define BILBERRYTRAY_BENCH_HARNESS_SCENARIOS_H

/** @file
 * Scenarios of the policy bench.
 */

#include "harness_simulation.h"

int32_t bt_count_scenarios (void);
void bt_get_scenario (int32_t index, scenario_t *scenario);

#endif
