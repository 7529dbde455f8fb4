#include "harness_metrics.h"

#include <stdlib.h>
#include <string.h>

enum
{
  WHOLE_PERCENT = 100,
};

static int
compare_times (const void *left, const void *right)
{
  const int64_t a = *(const int64_t *)left;
  const int64_t b = *(const int64_t *)right;

  return (a > b) - (a < b);
}

static double
get_percentile_ms (int64_t *times_us, int64_t count, int32_t percent)
{
  int64_t at;

  if (count == 0)
    return 0;
  qsort (times_us, (size_t)count, sizeof *times_us, compare_times);
  at = (count - 1) * percent / WHOLE_PERCENT;
  return (double)times_us[at] / MS_US;
}

static void
compute_first_token_times (const simulation_t *sim, int64_t *times_us, run_metrics_t *metrics)
{
  int64_t count = 0;

  for (int32_t i = 0; i < sim->request_count; i++)
    {
      const request_t *request = &sim->requests[i];

      if (request->outcome == OUTCOME_IN_TIME || request->outcome == OUTCOME_LATE)
        times_us[count++] = request->first_token_us - request->arrival_us;
    }
  metrics->first_p50_ms = get_percentile_ms (times_us, count, 50);
  metrics->first_p99_ms = get_percentile_ms (times_us, count, 99);
}

static void
compute_refusals (const simulation_t *sim, int64_t *times_us, run_metrics_t *metrics)
{
  int64_t count = 0;

  for (int32_t i = 0; i < sim->request_count; i++)
    {
      const request_t *request = &sim->requests[i];

      if (request->outcome != OUTCOME_REFUSED)
        continue;
      times_us[count++] = request->end_us - request->arrival_us;
      metrics->needless_refusals += request->needless_refusal ? 1 : 0;
      metrics->slow_refusals +=
          request->end_us - request->arrival_us > (int64_t)SLOW_REFUSAL_MS * MS_US ? 1 : 0;
    }
  metrics->refusal_p50_ms = get_percentile_ms (times_us, count, 50);
  metrics->refusal_p99_ms = get_percentile_ms (times_us, count, 99);
}

static void
count_outcomes (const simulation_t *sim, run_metrics_t *metrics)
{
  for (int32_t i = 0; i < sim->request_count; i++)
    switch (sim->requests[i].outcome)
      {
      case OUTCOME_IN_TIME:
        metrics->good++;
        break;
      case OUTCOME_LATE:
        metrics->late++;
        break;
      case OUTCOME_UNKNOWN:
        metrics->unknown++;
        break;
      case OUTCOME_NONE:
        metrics->unanswered++;
        break;
      case OUTCOME_REFUSED:
        break;
      }
}

static void
compute_good_rate (const simulation_t *sim, run_metrics_t *metrics)
{
  const scenario_t *scenario = sim->scenario;
  const bool burst = scenario->burst_to_ms > 0;
  const int64_t to_us = (burst ? scenario->burst_to_ms : scenario->length_ms) * MS_US;
  const int64_t begin_us = burst ? scenario->burst_from_ms * MS_US : 0;
  const int64_t from_us = begin_us + (to_us - begin_us) / 4;

  for (int32_t i = 0; i < sim->request_count; i++)
    {
      const request_t *request = &sim->requests[i];

      if (request->outcome == OUTCOME_IN_TIME && request->end_us >= from_us
          && request->end_us < to_us)
        metrics->good_per_s++;
    }
  metrics->good_per_s = metrics->good_per_s * SECOND_US / (double)(to_us - from_us);
}

static void
compute_account_shares (const simulation_t *sim, run_metrics_t *metrics)
{
  double requests[MAX_ACCOUNTS] = { 0 };
  double good[MAX_ACCOUNTS] = { 0 };
  double small_requests = 0;
  double small_good = 0;

  for (int32_t i = 0; i < sim->request_count; i++)
    {
      requests[sim->requests[i].account]++;
      good[sim->requests[i].account] += sim->requests[i].outcome == OUTCOME_IN_TIME ? 1 : 0;
    }
  metrics->worst_account = 1;
  for (int32_t i = sim->scenario->large_accounts; i < sim->scenario->accounts; i++)
    {
      small_requests += requests[i];
      small_good += good[i];
      if (requests[i] > 0 && good[i] / requests[i] < metrics->worst_account)
        metrics->worst_account = good[i] / requests[i];
    }
  metrics->small_accounts = small_requests > 0 ? small_good / small_requests : 1;
}

void
bt_compute_run_metrics (const simulation_t *sim, run_metrics_t *metrics)
{
  const double requests = sim->request_count;
  int64_t *times_us = bt_calloc (sim->ctx, (size_t)sim->request_count + 1, sizeof *times_us);

  memset (metrics, 0, sizeof *metrics);
  metrics->requests = sim->request_count;
  count_outcomes (sim, metrics);
  compute_good_rate (sim, metrics);
  compute_first_token_times (sim, times_us, metrics);
  compute_refusals (sim, times_us, metrics);
  compute_account_shares (sim, metrics);
  bt_free (sim->ctx, times_us);
  metrics->good /= requests;
  metrics->late /= requests;
  metrics->unknown /= requests;
  metrics->needless_refusals /= requests;
  metrics->slow_refusals /= requests;
  metrics->retries = (double)sim->counters.retries / requests;
  metrics->cache_hits = sim->counters.run_starts > 0
                            ? (double)sim->counters.cache_hits / (double)sim->counters.run_starts
                            : 0;
  metrics->skew =
      sim->counters.steps > 0 ? sim->counters.skew_sum / (double)sim->counters.steps : 0;
}
