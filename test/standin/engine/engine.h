#ifndef BILBERRYTRAY_TEST_STANDIN_ENGINE_H
#define BILBERRYTRAY_TEST_STANDIN_ENGINE_H

/** @file
 * The batching half of the model-engine stand-in: runs that advance one token a step, in lock-step.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  ENGINE_ID_BYTES = 80,
  ENGINE_TEXT_BYTES = 256,
};

/** One run as the log keeps it; never freed while the stand-in lives. */
typedef struct engine_run
{
  char id[ENGINE_ID_BYTES];
  uint64_t prompt_hash;
  int32_t tokens_wanted;
  int32_t tokens_made;
  bool admitted;
  bool cancelled;
  bool ended;
  struct engine_run *next;
} engine_run_t;

/** Faults that a test has asked for. */
typedef struct engine_faults
{
  int32_t fail_count;   /**< Next runs answer 500 before they start. */
  int32_t silent_count; /**< Next streams go silent behind silent_after tokens; the run goes on. */
  int32_t silent_after;
  int32_t cut_count; /**< Next streams are closed behind cut_after tokens. */
  int32_t cut_after;
  int32_t slow_factor; /**< Steps take this many times as long. */
} engine_faults_t;

typedef struct engine
{
  pthread_mutex_t lock;
  pthread_cond_t stepped;
  engine_run_t *runs; /**< Newest first. */
  int32_t running;
  int32_t waiting;
  int32_t capacity;
  int32_t step_us;
  int64_t steps;
  int64_t started_runs;
  engine_faults_t faults;
  bool stopping;
} engine_t;

void engine_init (engine_t *engine, int32_t capacity, int32_t step_us);

/** Body of the thread that makes the steps. */
void *engine_step_loop (void *argument);

/** Starts a run; the caller does not hold the lock. */
engine_run_t *engine_start (engine_t *engine, const char *id, uint64_t prompt_hash, int32_t tokens);

/** Finds the newest run of an id; the caller holds the lock. */
engine_run_t *engine_find (engine_t *engine, const char *id);

/** Writes token @p index of a run; returns its length in bytes. */
int32_t engine_format_token (const engine_run_t *run, int32_t index, char *text, int32_t bytes);

uint64_t engine_hash (const char *text, size_t bytes);

#endif
