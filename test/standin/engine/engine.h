#ifndef BILBERRYTRAY_TEST_STANDIN_ENGINE_H
#define BILBERRYTRAY_TEST_STANDIN_ENGINE_H

/** @file
 * Continuous batching of the model-engine stand-in: in each step, every admitted run makes one
 * token.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  ENGINE_ID_BYTES = 80,
  ENGINE_TEXT_BYTES = 256,
  ENGINE_PROMPT_BYTES = 64,
};

/** One run. It is kept for the run log until the process exits. */
typedef struct engine_run
{
  char id[ENGINE_ID_BYTES];
  char prompt[ENGINE_PROMPT_BYTES]; /**< Start of the prompt, by which tests identify requests. */
  uint64_t prompt_hash;
  int32_t max_tokens;
  int32_t tokens_made;
  bool admitted; /**< Part of the batch. */
  bool cancelled;
  bool ended;
  struct engine_run *next;
} engine_run_t;

/** Faults set by a test. */
typedef struct engine_faults
{
  int32_t fail_count; /**< Number of next completions that are answered with 500 and not run. */
  /** Number of next streams that stall after silent_after tokens; the run goes on. */
  int32_t silent_count;
  int32_t silent_after;
  int32_t cut_count; /**< Number of next streams that are closed after cut_after tokens. */
  int32_t cut_after;
  int32_t slow_factor; /**< Multiplies the duration of steps. */
} engine_faults_t;

/** The engine. */
typedef struct engine
{
  pthread_mutex_t lock;   /**< Guards the fields below. */
  pthread_cond_t stepped; /**< Signaled after each step. */
  engine_run_t *runs;     /**< Newest first. */
  int32_t running;        /**< Admitted runs. */
  int32_t queued;         /**< Runs that are not admitted yet. */
  int32_t capacity;       /**< Maximum size of the batch. */
  int32_t step_us;        /**< Duration of a step; 0: a run makes all tokens once admitted. */
  int64_t steps;
  int64_t started_runs;
  engine_faults_t faults;
  bool stopping;
} engine_t;

void engine_init (engine_t *engine, int32_t capacity, int32_t step_us);

/** Start routine of the thread that makes the steps; @p argument is the engine. */
void *engine_step_loop (void *argument);

/** Adds a run that makes @p tokens tokens. Takes the lock. */
engine_run_t *engine_start (engine_t *engine, const char *id, const char *prompt, int32_t tokens);

/** Returns the newest run with an id, or NULL. The caller holds the lock. */
engine_run_t *engine_find (engine_t *engine, const char *id);

/** Writes the event of token @p index of a run, or the last event of the stream when there are no
 * more tokens. Returns its length in bytes. */
int32_t engine_format_token (const engine_run_t *run, int32_t index, char *text, int32_t bytes);

uint64_t engine_hash_text (const char *text, size_t bytes);

#endif
