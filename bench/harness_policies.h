#ifndef BILBERRYTRAY_BENCH_HARNESS_POLICIES_H
#define BILBERRYTRAY_BENCH_HARNESS_POLICIES_H

/** @file
 * The policies that the bench compares: the core, four common baselines, and a policy with
 * complete knowledge.
 */

#include "bilberrytray/load/admission.h"
#include "harness_simulation.h"

/** The core with its default options, as changed by bt_set_core_tweak. */
extern const policy_t bt_core_policy;

extern const policy_t bt_round_robin_policy;
extern const policy_t bt_random_policy;
extern const policy_t bt_two_choices_policy;
extern const policy_t bt_least_reported_policy;

/** A central queue in order of deadlines, which knows the current state of each endpoint without
 * delay. It starts a request only if even the longest answer would be in time, so no run is
 * wasted. */
extern const policy_t bt_omniscient_policy;

/** The same policy, which also knows the length of each answer in advance. */
extern const policy_t bt_clairvoyant_policy;

/** Sets a function that changes the options of bt_core_policy before a run, to compare variants;
 * NULL for none. */
typedef void (*core_tweak_t) (bt_router_options_t *router, bt_admission_options_t *admission);
void bt_set_core_tweak (core_tweak_t tweak);

#endif
