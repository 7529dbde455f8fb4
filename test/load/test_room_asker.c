#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

#include "room_simulation.h"

/* Guards against herding: entries that decide from the same reports, and can't know of each other's
 * requests, send many of them to the engine that looked the least loaded. An engine is to get at
 * most the greater of one and twice the mean in 0.4 s. */
static void
test_entries_do_not_herd (void)
{
  const sim_options_t options = {
    .entries = 42,
    .engines = 72,
    .slots = 10,
    .run_ms = 2600,
    .per_s = 111, /* two fifths of the slots */
    .seed = 1,
  };
  sim_t *sim = new_sim (&options);
  int64_t from_ms;
  double mean;
  int32_t most;

  sim_run_for (sim, 6000);
  from_ms = sim->now_ms;
  sim_run_for (sim, 10000);
  mean = sim_get_mean_starts (sim, from_ms);
  most = sim_get_most_starts (sim, from_ms);
  printf ("mean %.2f, most %d ", mean, most);
  CU_ASSERT (most <= (2 * mean > 1 ? 2 * mean : 1));
  drop_sim (sim);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("room_asker", NULL, NULL);
  CU_ADD_TEST (suite, test_entries_do_not_herd);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
