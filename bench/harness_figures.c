#include "harness_figures.h"

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
take_first_tokens (const world_t *world, int64_t *times_us, figures_t *figures)
{
  int64_t count = 0;

  for (int32_t i = 0; i < world->request_count; i++)
    {
      const request_t *request = &world->requests[i];

      if (request->ending == ENDING_GOOD || request->ending == ENDING_LATE)
        times_us[count++] = request->first_token_us - request->arrive_us;
    }
  figures->first_p50_ms = get_percentile_ms (times_us, count, 50);
  figures->first_p99_ms = get_percentile_ms (times_us, count, 99);
}

static void
take_refusals (const world_t *world, int64_t *times_us, figures_t *figures)
{
  int64_t count = 0;

  for (int32_t i = 0; i < world->request_count; i++)
    {
      const request_t *request = &world->requests[i];

      if (request->ending != ENDING_REFUSED)
        continue;
      times_us[count++] = request->end_us - request->arrive_us;
      figures->needless += request->needless ? 1 : 0;
      figures->held += request->end_us - request->arrive_us > (int64_t)HELD_MS * MS_US ? 1 : 0;
    }
  figures->refusal_p50_ms = get_percentile_ms (times_us, count, 50);
  figures->refusal_p99_ms = get_percentile_ms (times_us, count, 99);
}

static void
take_endings (const world_t *world, figures_t *figures)
{
  for (int32_t i = 0; i < world->request_count; i++)
    switch (world->requests[i].ending)
      {
      case ENDING_GOOD:
        figures->good++;
        break;
      case ENDING_LATE:
        figures->late++;
        break;
      case ENDING_UNKNOWN:
        figures->unknown++;
        break;
      case ENDING_NONE:
        figures->unended++;
        break;
      case ENDING_REFUSED:
        break;
      }
}

static void
take_pace (const world_t *world, figures_t *figures)
{
  const scenario_t *scenario = world->scenario;
  const bool burst = scenario->burst_to_ms > 0;
  const int64_t to_us = (burst ? scenario->burst_to_ms : scenario->length_ms) * MS_US;
  const int64_t begin_us = burst ? scenario->burst_from_ms * MS_US : 0;
  const int64_t from_us = begin_us + (to_us - begin_us) / 4;

  for (int32_t i = 0; i < world->request_count; i++)
    {
      const request_t *request = &world->requests[i];

      if (request->ending == ENDING_GOOD && request->end_us >= from_us && request->end_us < to_us)
        figures->pace++;
    }
  figures->pace = figures->pace * SECOND_US / (double)(to_us - from_us);
}

static void
take_accounts (const world_t *world, figures_t *figures)
{
  double requests[MAX_ACCOUNTS] = { 0 };
  double good[MAX_ACCOUNTS] = { 0 };
  double small_requests = 0;
  double small_good = 0;

  for (int32_t i = 0; i < world->request_count; i++)
    {
      requests[world->requests[i].account]++;
      good[world->requests[i].account] += world->requests[i].ending == ENDING_GOOD ? 1 : 0;
    }
  figures->least = 1;
  for (int32_t i = world->scenario->large; i < world->scenario->accounts; i++)
    {
      small_requests += requests[i];
      small_good += good[i];
      if (requests[i] > 0 && good[i] / requests[i] < figures->least)
        figures->least = good[i] / requests[i];
    }
  figures->small = small_requests > 0 ? small_good / small_requests : 1;
}

void
bt_take_figures (const world_t *world, figures_t *figures)
{
  const double requests = world->request_count;
  int64_t *times_us = bt_calloc (world->ctx, (size_t)world->request_count + 1, sizeof *times_us);

  memset (figures, 0, sizeof *figures);
  figures->requests = world->request_count;
  take_endings (world, figures);
  take_pace (world, figures);
  take_first_tokens (world, times_us, figures);
  take_refusals (world, times_us, figures);
  take_accounts (world, figures);
  bt_free (world->ctx, times_us);
  figures->good /= requests;
  figures->late /= requests;
  figures->unknown /= requests;
  figures->needless /= requests;
  figures->held /= requests;
  figures->retries = (double)world->sums.retries / requests;
  figures->cache =
      world->sums.starts > 0 ? (double)world->sums.cache_hits / (double)world->sums.starts : 0;
  figures->skew = world->sums.steps > 0 ? world->sums.skew / (double)world->sums.steps : 0;
}
