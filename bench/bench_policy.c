#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness_metrics.h"
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

/* "pace" is the rate of answers within the deadline in the last three quarters of the burst, or of
 * the whole run if it has no burst. It leaves out the requests still queued at the end of the
 * burst. "held" is the share of requests that were refused after more than 5 ms. */
static void
print_header (const char *name, int64_t requests)
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
print_row (const char *name, const run_metrics_t *metrics, const run_metrics_t *reference)
{
  const double percent = WHOLE_PERCENT;

  printf ("| %s | %.1f | %.1f | %.1f | %.1f | %.2f | %.0f / %.0f | %.1f / %.1f | %.2f | %.2f "
          "| %.1f / %.1f | %.1f "
          "| %.2f | %.1f | %ld |\n",
          name, metrics->good * percent, metrics->good / reference->good * percent,
          metrics->good_per_s / reference->good_per_s * percent, metrics->late * percent,
          metrics->unknown * percent, metrics->first_p50_ms, metrics->first_p99_ms,
          metrics->refusal_p50_ms, metrics->refusal_p99_ms, metrics->slow_refusals * percent,
          metrics->needless_refusals * percent, metrics->small_accounts * percent,
          metrics->worst_account * percent, metrics->cache_hits * percent,
          metrics->retries * percent, metrics->skew * percent, (long)metrics->unanswered);
}

/* Prints the reasons of refused requests and of requests with an unknown outcome, as shares of all
 * requests. */
static void
print_reasons (const char *name, const simulation_t *sim)
{
  int64_t counts[BT_REASON_COUNT] = { 0 };

  for (int32_t i = 0; i < sim->request_count; i++)
    counts[sim->requests[i].reason]++;
  printf ("%s:", name);
  for (int32_t i = BT_REASON_NONE + 1; i < BT_REASON_COUNT; i++)
    if (counts[i] > 0)
      printf (" %s %.2f%%", bt_name_reason ((bt_reason_t)i),
              (double)counts[i] * WHOLE_PERCENT / sim->request_count);
  printf ("\n");
}

static void
run_scenario (bt_context_t *ctx, int32_t index, uint64_t seed, int32_t policy_count)
{
  scenario_t scenario;
  run_metrics_t reference;

  bt_get_scenario (index, &scenario);
  for (int32_t i = 0; i < policy_count; i++)
    {
      simulation_t *sim = bt_run_simulation (ctx, &scenario, policies[i], seed);
      run_metrics_t metrics;

      bt_compute_run_metrics (sim, &metrics);
      if (i == 0)
        {
          reference = metrics;
          print_header (scenario.name, metrics.requests);
        }
      print_row (policies[i]->name, &metrics, &reference);
      if (policies[i] == &bt_core_policy)
        {
          print_reasons (policies[i]->name, sim);
        }
      fflush (stdout);
      bt_drop_simulation (sim);
    }
}

/* Usage: bench_policy [SEED [SCENARIO [POLICIES]]]. Runs all scenarios if SCENARIO is missing or
 * -1. */
int
main (int argc, char **argv)
{
  const uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : DEFAULT_SEED;
  const int32_t selected = argc > 2 ? (int32_t)strtol (argv[2], NULL, 10) : -1;
  const int32_t count = argc > 3 ? (int32_t)strtol (argv[3], NULL, 10) : POLICIES;
  bt_context_t *ctx = bt_new_context ();

  printf ("seed %lu, %d entries\n", (unsigned long)seed, (int)ENTRIES);
  for (int32_t i = 0; i < bt_count_scenarios (); i++)
    if (selected < 0 || selected == i)
      run_scenario (ctx, i, seed, count);
  bt_drop_context (ctx);
  return 0;
}
