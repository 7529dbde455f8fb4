#include "engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  IDLE_STEP_US = 1000,
  NS_PER_US = 1000,
  US_PER_S = 1000000,
};

void
engine_init (engine_t *engine, int32_t capacity, int32_t step_us)
{
  memset (engine, 0, sizeof *engine);
  pthread_mutex_init (&engine->lock, NULL);
  pthread_cond_init (&engine->stepped, NULL);
  engine->capacity = capacity;
  engine->step_us = step_us;
  engine->faults.slow_factor = 1;
}

/* FNV-1a */
uint64_t
engine_hash_text (const char *text, size_t bytes)
{
  uint64_t hash = 14695981039346656037U;

  for (size_t i = 0; i < bytes; i++)
    hash = (hash ^ (uint8_t)text[i]) * 1099511628211U;
  return hash;
}

/* Admits a run if the batch has a free slot, and makes one token if the run is admitted. */
static void
step_run (engine_t *engine, engine_run_t *run)
{
  if (run->ended)
    return;
  if (!run->admitted && (engine->running < engine->capacity || run->cancelled))
    {
      run->admitted = true;
      engine->running++;
      engine->queued--;
    }
  if (run->admitted && !run->cancelled)
    run->tokens_made = engine->step_us == 0 ? run->max_tokens : run->tokens_made + 1;
  if (run->cancelled || run->tokens_made >= run->max_tokens)
    {
      run->ended = true;
      engine->running--;
    }
}

/* Steps the open runs from the oldest to the newest, so that the oldest queued run is admitted
 * first. The list of runs is newest first. */
static void
step_oldest_first (engine_t *engine, engine_run_t *run)
{
  engine_run_t *open[1024];
  int32_t count = 0;

  for (; run != NULL && count < 1024; run = run->next)
    if (!run->ended)
      open[count++] = run;
  while (count > 0)
    step_run (engine, open[--count]);
}

void *
engine_step_loop (void *argument)
{
  engine_t *engine = argument;

  pthread_mutex_lock (&engine->lock);
  while (!engine->stopping)
    {
      int64_t pause_us = engine->step_us == 0 ? IDLE_STEP_US : engine->step_us;
      struct timespec pause;

      pause_us *= engine->faults.slow_factor;
      pause.tv_sec = pause_us / US_PER_S;
      pause.tv_nsec = pause_us % US_PER_S * NS_PER_US;
      pthread_mutex_unlock (&engine->lock);
      nanosleep (&pause, NULL);
      pthread_mutex_lock (&engine->lock);
      if (engine->running + engine->queued == 0)
        continue;
      engine->steps++;
      step_oldest_first (engine, engine->runs);
      pthread_cond_broadcast (&engine->stepped);
    }
  pthread_mutex_unlock (&engine->lock);
  return NULL;
}

engine_run_t *
engine_start (engine_t *engine, const char *id, const char *prompt, int32_t tokens)
{
  engine_run_t *run = calloc (1, sizeof *run);

  if (run == NULL)
    abort ();
  snprintf (run->id, sizeof run->id, "%s", id);
  snprintf (run->prompt, sizeof run->prompt, "%s", prompt);
  run->prompt_hash = engine_hash_text (prompt, strlen (prompt));
  run->max_tokens = tokens;
  pthread_mutex_lock (&engine->lock);
  run->next = engine->runs;
  engine->runs = run;
  engine->started_runs++;
  engine->queued++;
  if (engine->step_us == 0)
    step_run (engine, run);
  pthread_mutex_unlock (&engine->lock);
  return run;
}

engine_run_t *
engine_find (engine_t *engine, const char *id)
{
  for (engine_run_t *run = engine->runs; run != NULL; run = run->next)
    if (strcmp (run->id, id) == 0)
      return run;
  return NULL;
}

int32_t
engine_format_token (const engine_run_t *run, int32_t index, char *text, int32_t bytes)
{
  if (index >= run->max_tokens)
    return snprintf (text, (size_t)bytes, "data: [DONE]\n\n");
  return snprintf (text, (size_t)bytes, "data: {\"index\":%d,\"text\":\"%04x-%d \"}\n\n", index,
                   (unsigned int)(run->prompt_hash & 0xffffU), index);
}
