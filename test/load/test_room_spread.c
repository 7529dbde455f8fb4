#include "room_checks.h"

static void
check_spread (int32_t entries)
{
  const sim_options_t options = get_options (entries, calm_per_s);
  sim_t *sim = new_sim (&options);
  int64_t from_ms;
  double mean;

  sim_run_for (sim, SETTLE_MS);
  from_ms = sim->now_ms;
  sim_run_for (sim, MEASURED_MS);
  mean = sim_get_mean_starts (sim, from_ms);
  CU_ASSERT (sim_get_most_starts (sim, from_ms) <= (2 * mean > 1 ? 2 * mean : 1));
  CU_ASSERT_EQUAL (get_most_excess (sim), 0);
  CU_ASSERT (get_most_idle_ms (sim) <= 150);
  CU_ASSERT_EQUAL (sim->refused, 0);
  /* The bound on the starts must not delay requests while two fifths of the slots are taken. */
  CU_ASSERT (sim->long_waits < sim->started / 20);
  check_none_lost (sim);
  drop_sim (sim);
}

/* Guards against herding: entries that decide from the same reports, and can't know of each other's
 * requests, send many of them to the engine that looked the least loaded. An engine is to get at
 * most the greater of one and twice the mean in 0.4 s. */
static void
test_entries_do_not_herd (void)
{
  check_spread (2);
  check_spread (8);
  check_spread (42);
  check_spread (432);
}

/* Guards against asks and grants that are waited for although they were lost with their link. */
static void
test_links_end (void)
{
  sim_options_t options = get_options (42, overload_per_s);

  options.cut_ms = 20;
  check_faults (&options, 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("room_spread", NULL, NULL);
  CU_ADD_TEST (suite, test_entries_do_not_herd);
  CU_ADD_TEST (suite, test_links_end);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
