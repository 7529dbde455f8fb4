#include <CUnit/Basic.h>
#include <stdio.h>

#include "part_simulation.h"

enum
{
  SEEDS = 10, /* unless the command line gives another number */
  GUARD_SEEDS = 4,
  BASE_TEN = 10,
  ENTRIES = 7,
  ENDPOINTS = 12,
  RANKS = 16,
  MAX_LATE = 3,
  DAY_MS = 40000,
};

static bt_context_t *ctx;
static uint64_t seeds = SEEDS;

static sim_options_t
make_options (int32_t entries, bool group)
{
  return (sim_options_t){ .entries = entries,
                          .endpoints = group ? RANKS : ENDPOINTS,
                          .group = group,
                          .beside = 6,
                          .seldom = 60,
                          .poisons = 1,
                          .poison_interval_ms = 250,
                          .length_ms = DAY_MS };
}

/** Sums over the seeds of one test. */
typedef struct totals
{
  int64_t ends;
  int32_t most_ends;
  int32_t most_late;
  int64_t held;
  int64_t sound_wanted;
  int64_t sound_refused;
  int64_t all_wanted;
  int64_t all_refused;
  int32_t starved; /* seeds in which less than half of the sound requests began */
} totals_t;

static void
play_seeds (sim_options_t options, totals_t *totals)
{
  memset (totals, 0, sizeof *totals);
  for (uint64_t seed = 1; seed <= seeds; seed++)
    {
      sim_result_t result;

      options.seed = seed;
      result = sim_play (ctx, &options);
      totals->ends += result.poison_ends;
      if (result.poison_ends > totals->most_ends)
        totals->most_ends = result.poison_ends;
      if (result.late > totals->most_late)
        totals->most_late = result.late;
      totals->held += result.sound_held;
      totals->sound_wanted += result.sound_wanted;
      totals->sound_refused += result.sound_refused;
      totals->all_wanted += result.all_wanted;
      totals->all_refused += result.all_refused;
      totals->starved += 2 * result.sound_refused > result.sound_wanted ? 1 : 0;
    }
}

static void
print_totals (const char *name, const totals_t *totals)
{
  printf (
      "\n    %-28s ends %.1f (most %d), late %d, sound parts held %.1f, refused %.4f, later %.4f",
      name, (double)totals->ends / (double)seeds, totals->most_ends, totals->most_late,
      (double)totals->held / (double)seeds,
      (double)totals->all_refused / (double)(totals->all_wanted + 1),
      (double)totals->sound_refused / (double)(totals->sound_wanted + 1));
}

static void
check_bounds (const char *name, sim_options_t options)
{
  totals_t totals;

  play_seeds (options, &totals);
  print_totals (name, &totals);
  CU_ASSERT (totals.most_late <= MAX_LATE);
  CU_ASSERT_EQUAL (totals.starved, 0);
}

/* Guards against a bound that holds for each entry alone: with twice the entries it must be the
 * same. */
static void
test_bound_over_all_entries (void)
{
  check_bounds ("endpoints, 7 entries", make_options (ENTRIES, false));
  check_bounds ("endpoints, 14 entries", make_options (2 * ENTRIES, false));
  check_bounds ("group, 7 entries", make_options (ENTRIES, true));
  check_bounds ("group, 14 entries", make_options (2 * ENTRIES, true));
}

/* Guards against entries that start, freeze or are cut off, and a list that is away or restored,
 * and then let the part through again. */
static void
test_bound_under_faults (void)
{
  for (int32_t factor = 1; factor <= 2; factor++)
    {
      sim_options_t options = make_options (factor * ENTRIES, false);

      options.faults = true;
      check_bounds ("endpoints, faults", options);
      options = make_options (factor * ENTRIES, true);
      options.faults = true;
      check_bounds ("group, faults", options);
    }
}

/* Guards against sound parts that are blamed for what ran beside them, or for ends that have other
 * causes. */
static void
test_sound_parts_go_on (void)
{
  sim_options_t options = make_options (ENTRIES, false);

  options.beside = 1;
  check_bounds ("1 request beside", options);
  options.beside = 64;
  check_bounds ("64 requests beside", options);
  options.beside = 6;
  options.seldom = 2000;
  check_bounds ("parts seen seldom", options);
  options.seldom = 60;
  options.crash_interval_ms = 3000;
  check_bounds ("other crashes", options);
  options.power_interval_ms = 8000;
  check_bounds ("other crashes, power", options);
  options = make_options (ENTRIES, true);
  options.crash_interval_ms = 10000;
  options.power_interval_ms = 20000;
  check_bounds ("group, other crashes", options);
  options.poisons = 0;
  check_bounds ("group, no part at fault", options);
}

static void
test_two_parts_at_once (void)
{
  sim_options_t options = make_options (ENTRIES, false);

  options.poisons = 2;
  check_bounds ("two parts at fault", options);
  options = make_options (2 * ENTRIES, true);
  options.poisons = 2;
  check_bounds ("group, two parts at fault", options);
}

/* Returns true if some seed breaks a bound. */
static bool
breaks_bound (sim_options_t options)
{
  for (uint64_t seed = 1; seed <= GUARD_SEEDS; seed++)
    {
      sim_result_t result;

      options.seed = seed;
      result = sim_play (ctx, &options);
      if (result.late > MAX_LATE || 2 * result.sound_refused > result.sound_wanted)
        {
          printf ("\n    without %u: seed %d, %d late, %d of %d sound refused",
                  (unsigned)options.without, (int)seed, result.late, result.sound_refused,
                  result.sound_wanted);
          return true;
        }
    }
  return false;
}

static bool
is_needed (sim_guard_t guard, sim_options_t options)
{
  bool holds = !breaks_bound (options);

  options.without = (uint32_t)guard;
  return holds && breaks_bound (options);
}

/* Guards against a guard that does nothing: without it, some seed must break a bound. */
static void
test_each_guard_is_needed (void)
{
  sim_options_t options = make_options (ENTRIES, false);

  CU_ASSERT_TRUE (is_needed (SIM_SHARED_ENDS, options));
  CU_ASSERT_TRUE (is_needed (SIM_CLEARING, options));
  /* The number of trials keeps the bound, whatever the intervals between them. */
  options.hasty = true;
  CU_ASSERT_TRUE (is_needed (SIM_SHARED_TRIALS, options));
}

/* Guards against blaming what had run for some time when its endpoint ended. */
static void
test_begun_answers_are_not_accused (void)
{
  sim_options_t options = make_options (ENTRIES, true);
  totals_t with;
  totals_t without;

  play_seeds (options, &with);
  options.without = SIM_START_ONLY;
  play_seeds (options, &without);
  print_totals ("group", &with);
  print_totals ("all answers accused", &without);
  CU_ASSERT (without.all_refused > 2 * with.all_refused);
}

int
main (int argc, char **argv)
{
  CU_pSuite suite;
  unsigned failures;

  if (argc > 1)
    seeds = strtoull (argv[1], NULL, BASE_TEN);
  ctx = bt_new_context ();
  bt_set_log_level (ctx, -1);
  CU_initialize_registry ();
  suite = CU_add_suite ("part_schedules", NULL, NULL);
  CU_ADD_TEST (suite, test_bound_over_all_entries);
  CU_ADD_TEST (suite, test_bound_under_faults);
  CU_ADD_TEST (suite, test_sound_parts_go_on);
  CU_ADD_TEST (suite, test_two_parts_at_once);
  CU_ADD_TEST (suite, test_each_guard_is_needed);
  CU_ADD_TEST (suite, test_begun_answers_are_not_accused);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
