#ifndef BILBERRYTRAY_BENCH_HARNESS_POLICIES_H
#define BILBERRYTRAY_BENCH_HARNESS_POLICIES_H

/** @file
 * The policies that the bench compares: the core, four usual baselines, and one that knows all.
 */

#include "bilberrytray/load/admission.h"
#include "harness_world.h"

/** The core under its default options, with bt_core_tweak applied to them. */
extern const policy_t bt_core_policy;

extern const policy_t bt_round_robin_policy;
extern const policy_t bt_random_policy;
extern const policy_t bt_two_choices_policy;
extern const policy_t bt_least_reported_policy;

/** One central queue, earliest feasible deadline first, that knows each endpoint's true state
 * without delay. It starts only what would be in time with the longest answer, so it wastes
 * nothing. */
extern const policy_t bt_omniscient_policy;

/** The same, but it knows the length of each answer in advance too. */
extern const policy_t bt_clairvoyant_policy;

/** Changes options of bt_core_policy before a run, to compare variants; NULL for none. */
typedef void (*core_tweak_t) (bt_router_options_t *router, bt_admission_options_t *admission);
void bt_set_core_tweak (core_tweak_t tweak);

#endif
