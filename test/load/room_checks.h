#ifndef BILBERRYTRAY_TEST_LOAD_ROOM_CHECKS_H
#define BILBERRYTRAY_TEST_LOAD_ROOM_CHECKS_H

/** @file
 * Loads of the simulation of reservations, and what every run of it is checked for.
 */

#include <CUnit/Basic.h>

#include "room_simulation.h"

enum
{
  ENGINES = 72,
  SLOTS = 10,
  RUN_MS = 2600,
  SETTLE_MS = 3000,
  MEASURED_MS = 4000,
};

/* Requests per second that take two fifths of the slots, and more than all of them. */
static const double calm_per_s = 111;
static const double overload_per_s = 320;

static sim_options_t
get_options (int32_t entries, double per_s)
{
  return (sim_options_t){
    .entries = entries,
    .engines = ENGINES,
    .slots = SLOTS,
    .run_ms = RUN_MS,
    .per_s = per_s,
    .seed = 1,
    .reserved = true,
    .link_ms = 2,
  };
}

static int64_t
get_most_idle_ms (const sim_t *sim)
{
  int64_t most_ms = 0;

  for (int32_t i = sim->options.silent_engines; i < ENGINES; i++)
    if (sim->engines[i].most_idle_ms > most_ms)
      most_ms = sim->engines[i].most_idle_ms;
  return most_ms;
}

static int32_t
get_most_excess (const sim_t *sim)
{
  int32_t most = 0;

  for (int32_t i = 0; i < ENGINES; i++)
    if (sim->engines[i].most_excess > most)
      most = sim->engines[i].most_excess;
  return most;
}

/* Every request was sent once, refused, is still queued, or was queued at an entry that ended. */
static void
check_none_lost (const sim_t *sim)
{
  CU_ASSERT_EQUAL (sim->arrived, sim->started + sim->refused + sim_count_queued (sim) + sim->died);
}

static void
check_faults (const sim_options_t *options, int32_t most_excess)
{
  sim_t *sim = new_sim (options);

  sim_run_for (sim, SETTLE_MS + MEASURED_MS);
  CU_ASSERT (get_most_excess (sim) <= most_excess);
  CU_ASSERT (get_most_idle_ms (sim) <= 150);
  check_none_lost (sim);
  drop_sim (sim);
}

#endif
