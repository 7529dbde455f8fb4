#ifndef BILBERRYTRAY_BENCH_HARNESS_FIGURES_H
#define BILBERRYTRAY_BENCH_HARNESS_FIGURES_H

/** @file
 * The figures of one run.
 */

#include "harness_world.h"

enum
{
  HELD_MS = 5,
};

typedef struct figures
{
  int64_t requests;
  double good;           /**< Answered whole within the deadline, share of requests. */
  double pace;           /**< Good answers a second in the last three quarters of the burst. */
  double late;           /**< Share of requests. */
  double unknown;        /**< Share of requests. */
  double first_p50_ms;   /**< Time to first token of answered requests. */
  double first_p99_ms;   /**< The same. */
  double refusal_p50_ms; /**< Time to the final refusal. */
  double refusal_p99_ms; /**< The same. */
  double held;           /**< Refused after more than HELD_MS, share of requests. */
  double needless;       /**< Needless refusals, share of requests. */
  double small;          /**< Good share of the small accounts' requests. */
  double least;          /**< Good share of the account that fares worst among the small. */
  double cache;          /**< Runs that found their prefix cached, share of runs. */
  double retries;        /**< Retries for each request. */
  double skew;           /**< Mean over steps of slowest rank over mean rank, less 1. */
  int64_t unended;       /**< Requests that never got an answer: must be 0. */
} figures_t;

void bt_take_figures (const world_t *world, figures_t *figures);

#endif
