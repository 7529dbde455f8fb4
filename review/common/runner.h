#ifndef REVIEW_RUNNER_H
#define REVIEW_RUNNER_H

/** @file
 * Stand-in for a sound runner: runs each request that names it, or no runner, and answers whole.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

typedef struct rv_runner rv_runner_t;

/** Starts a runner. @p headers are added to each of its answers: "", or lines that end in CRLF.
 * Each run is written to the record. */
rv_runner_t *rv_start_runner (FILE *record, const char *id, const char *headers, int32_t *port);

/** Answers to paths that begin with "/report/" have @p bytes bytes, which this runner sends evenly
 * within @p duration_ms. Call it before the first request. */
void rv_set_runner_report (rv_runner_t *runner, size_t bytes, int64_t duration_ms);

/** Returns how often a request ran here. */
int32_t rv_count_runs (rv_runner_t *runner, const char *request);

#endif
