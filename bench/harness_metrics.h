#ifndef BILBERRYTRAY_BENCH_HARNESS_METRICS_H
#define BILBERRYTRAY_BENCH_HARNESS_METRICS_H

/** @file
 * Metrics of one simulation run.
 */

#include "harness_simulation.h"

enum
{
  SLOW_REFUSAL_MS = 5,
};

typedef struct run_metrics
{
  int64_t requests;
  double good;              /**< Complete answers within the deadline, share of requests. */
  double good_per_s;        /**< Answers in time per second, in the last 3/4 of the burst, or of the
                                 whole run if it has no burst. */
  double late;              /**< Answers after the deadline, share of requests. */
  double unknown;           /**< Requests that may have run, share of requests. */
  double first_p50_ms;      /**< Time to the first token of answered requests, median. */
  double first_p99_ms;      /**< The same, 99th percentile. */
  double refusal_p50_ms;    /**< Time to the final refusal, median. */
  double refusal_p99_ms;    /**< The same, 99th percentile. */
  double slow_refusals;     /**< Refusals after more than SLOW_REFUSAL_MS, share of requests. */
  double needless_refusals; /**< Refusals of requests that could be served in time, share of
                                 requests. */
  double small_accounts;    /**< Requests of small accounts answered in time, share of theirs. */
  double worst_account;     /**< The same for the small account with the lowest share. */
  double cache_hits;        /**< Runs whose prefix was cached, share of runs. */
  double retries;           /**< Retries per request. */
  double skew;              /**< Slowest rank over mean rank, less 1; mean over all steps. */
  int64_t unanswered;       /**< Requests that never got an answer; must be 0. */
} run_metrics_t;

void bt_compute_run_metrics (const simulation_t *sim, run_metrics_t *metrics);

#endif
