#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness_figures.h"
#include "harness_policies.h"
#include "harness_scenarios.h"

enum
{
  DEFAULT_SEED = 7,
  WHOLE_PERCENT = 100,
  POLICIES = 7,
};

static const policy_t *const policies[POLICIES] = {
  &bt_omniscient_policy, &bt_core_policy,        &bt_clairvoyant_policy,    &bt_round_robin_policy,
  &bt_random_policy,     &bt_two_choices_policy, &bt_least_reported_policy,
};

/* "pace" is the rate of good answers in the last three quarters of the burst (of the whole run
 * where there is none), without the backlog that is left at its end; "held" is the share of
 * requests that were refused after more than 5 ms. */
static void
print_head (const char *name, int64_t requests)
{
  printf ("\n%s (%ld requests)\n\n", name, (long)requests);
  printf (
      "| policy | good %% | of omn. %% | pace of omn. %% | late %% | unknown %% | first token p50 "
      "/ p99 ms "
      "| refusal p50 / p99 ms | held %% | needless %% | small / least %% | cache %% | retries %% "
      "| skew %% | unended |\n");
  printf ("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

static void
print_row (const char *name, const figures_t *figures, const figures_t *best)
{
  const double whole = WHOLE_PERCENT;

  printf ("| %s | %.1f | %.1f | %.1f | %.1f | %.2f | %.0f / %.0f | %.1f / %.1f | %.2f | %.2f "
          "| %.1f / %.1f | %.1f "
          "| %.2f | %.1f | %ld |\n",
          name, figures->good * whole, figures->good / best->good * whole,
          figures->pace / best->pace * whole, figures->late * whole, figures->unknown * whole,
          figures->first_p50_ms, figures->first_p99_ms, figures->refusal_p50_ms,
          figures->refusal_p99_ms, figures->held * whole, figures->needless * whole,
          figures->small * whole, figures->least * whole, figures->cache * whole,
          figures->retries * whole, figures->skew * whole, (long)figures->unended);
}

/* Why requests were refused or not known, in shares of all requests. */
static void
print_reasons (const char *name, const world_t *world)
{
  int64_t counts[BT_REASON_COUNT] = { 0 };

  for (int32_t i = 0; i < world->request_count; i++)
    counts[world->requests[i].reason]++;
  printf ("%s:", name);
  for (int32_t i = BT_REASON_NONE + 1; i < BT_REASON_COUNT; i++)
    if (counts[i] > 0)
      printf (" %s %.2f%%", bt_name_reason ((bt_reason_t)i),
              (double)counts[i] * WHOLE_PERCENT / world->request_count);
  printf ("\n");
}

static void
run_scenario (bt_context_t *ctx, int32_t index, uint64_t seed, int32_t policy_count)
{
  scenario_t scenario;
  figures_t best;

  bt_get_scenario (index, &scenario);
  for (int32_t i = 0; i < policy_count; i++)
    {
      world_t *world = bt_run_world (ctx, &scenario, policies[i], seed);
      figures_t figures;

      bt_take_figures (world, &figures);
      if (i == 0)
        {
          best = figures;
          print_head (scenario.name, figures.requests);
        }
      print_row (policies[i]->name, &figures, &best);
      if (policies[i] == &bt_core_policy)
        {
          print_reasons (policies[i]->name, world);
        }
      fflush (stdout);
      bt_drop_world (world);
    }
}

/* Usage: bench_policy [SEED [SCENARIO [POLICIES]]]; without SCENARIO, or with -1, all. */
int
main (int argc, char **argv)
{
  const uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : DEFAULT_SEED;
  const int32_t only = argc > 2 ? (int32_t)strtol (argv[2], NULL, 10) : -1;
  const int32_t count = argc > 3 ? (int32_t)strtol (argv[3], NULL, 10) : POLICIES;
  bt_context_t *ctx = bt_new_context ();

  printf ("seed %lu, %d entries\n", (unsigned long)seed, (int)ENTRIES);
  for (int32_t i = 0; i < bt_count_scenarios (); i++)
    if (only < 0 || only == i)
      run_scenario (ctx, i, seed, count);
  bt_drop_context (ctx);
  return 0;
}
