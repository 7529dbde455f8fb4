#include "bilberrytray/load/pass_limiter.h"

#include <math.h>

enum
{
  /* Minimum time over which passes are counted: four passes of 50 ms. With only two passes the
   * measured time would be half a pass too long or too short. */
  WINDOW_MS = 200,
  /* With fewer requests per rank, the measurement says little about how passes grow with
   * requests. */
  MIN_RUNNING = 2,
  /* Minimum limit: a rank that runs fewer requests has hardly shorter passes. */
  MIN_LIMIT = 2,
  /* A window that began longer ago than this is discarded: the group is idle or reports no
   * steps. */
  STALE_MS = 1500,
  /* Passes in which an engine reads the prompt of a request. */
  PASSES_BEFORE_ANSWER = 2,
  /* A slow rank that has not reported for this long may be slow no more, or replaced. */
  SLOWDOWN_EXPIRY_MS = 3000,
  NEVER = -1,
  NOT_REPORTED = -1,
  /* Two jumps within this time are frequent: most streams take about two seconds and meet one of
   * them. The time allows for one undetected jump between them. */
  FREQUENT_MS = 6000,
  /* Maximum duration of a jump: passes that stay long are not counted as a further jump. */
  JUMP_MS = 1000,
};

/* Fraction of its distance to a measurement that allows more by which the limit grows per window. A
 * measurement that allows fewer requests is applied at once, since every pass that is too long
 * makes all streams late. */
static const double growth_rate = 0.3;

/* The same while jumps are frequent. */
static const double growth_rate_between_jumps = 0.02;

/* Fraction of its distance to fast_limit by which recent_limit falls per window; a jump may extend
 * over two windows. */
static const double decay_rate = 0.25;

/** How many times slower than a normal rank a rank is. */
typedef struct slowdown
{
  double factor; /* 0: not reported */
  int64_t reported_ms;
} slowdown_t;

struct bt_pass_limiter
{
  bt_pass_limiter_settings_t settings;
  int32_t *running;      /* requests running on each rank; NOT_REPORTED: not known */
  slowdown_t *slowdowns; /* of each rank */
  int64_t window_step;   /* step and time at which the window begins */
  int64_t window_ms;
  int64_t last_step;
  double pass_ms;
  double limit;
  double fast_limit;   /* the limit that would result if it always grew back at the fast rate */
  double recent_limit; /* decaying maximum of fast_limit: about the value before a jump while the
                          jump begins */
  int64_t epoch;       /* of the group's latest formation; NEVER: not known */
  int64_t jump_ms;     /* start of the last jump; NEVER before the first */
  int64_t previous_jump_ms; /* start of the jump before the last */
};

bt_pass_limiter_t *
bt_new_pass_limiter (bt_context_t *ctx, const bt_pass_limiter_settings_t *settings)
{
  bt_pass_limiter_t *limiter = bt_calloc (ctx, 1, sizeof *limiter);

  limiter->settings = *settings;
  limiter->running = bt_calloc (ctx, (size_t)settings->ranks, sizeof *limiter->running);
  for (int32_t i = 0; i < settings->ranks; i++)
    limiter->running[i] = NOT_REPORTED;
  limiter->slowdowns = bt_calloc (ctx, (size_t)settings->ranks, sizeof *limiter->slowdowns);
  limiter->limit = settings->slots;
  limiter->fast_limit = settings->slots;
  limiter->recent_limit = settings->slots;
  limiter->epoch = NEVER;
  limiter->jump_ms = NEVER;
  limiter->previous_jump_ms = NEVER;
  limiter->window_ms = NEVER;
  return limiter;
}

void
bt_drop_pass_limiter (bt_context_t *ctx, bt_pass_limiter_t *limiter)
{
  if (limiter == NULL)
    return;
  bt_free (ctx, limiter->running);
  bt_free (ctx, limiter->slowdowns);
  bt_free (ctx, limiter);
}

/* Returns the mean number of requests on the ranks that report to this entry. */
static double
get_mean_running (const bt_pass_limiter_t *limiter)
{
  double sum = 0;
  int32_t count = 0;

  for (int32_t i = 0; i < limiter->settings.ranks; i++)
    if (limiter->running[i] != NOT_REPORTED)
      {
        sum += limiter->running[i];
        count++;
      }
  return count > 0 ? sum / count : 0;
}

/* Records a jump if passes are too long for the streams that a group with recent_limit would run.
 * The limit in force must not be used for this: it reserves capacity for jumps, under which a jump
 * may cause no long pass and would go undetected. */
static void
detect_jump (bt_pass_limiter_t *limiter, double allowed, int64_t now_ms)
{
  const bt_pass_limiter_settings_t *settings = &limiter->settings;
  double tolerance = (settings->target_pass_ms - settings->min_pass_ms)
                     / (settings->pause_ms - settings->min_pass_ms);

  if (allowed >= limiter->recent_limit * tolerance
      || (limiter->jump_ms != NEVER && now_ms - limiter->jump_ms < JUMP_MS))
    return;
  limiter->previous_jump_ms = limiter->jump_ms;
  limiter->jump_ms = now_ms;
}

bool
bt_are_demand_jumps_frequent (const bt_pass_limiter_t *limiter, int64_t now_ms)
{
  return limiter->previous_jump_ms != NEVER && now_ms - limiter->previous_jump_ms < FREQUENT_MS;
}

int64_t
bt_get_last_jump_ms (const bt_pass_limiter_t *limiter)
{
  return limiter->jump_ms == NEVER ? 0 : limiter->jump_ms;
}

static double
approach_allowed (double limit, double allowed, double rate)
{
  return allowed < limit ? allowed : limit + (allowed - limit) * rate;
}

/* Returns true if passes are too long for every caller, however few requests run. */
static bool
is_pause_unavoidable (const bt_pass_limiter_t *limiter, int64_t now_ms)
{
  return bt_get_least_pass_ms (limiter, now_ms) > limiter->settings.pause_ms;
}

static double
get_jump_growth (const bt_pass_limiter_settings_t *settings)
{
  return settings->jump_growth > 0 ? settings->jump_growth : growth_rate_between_jumps;
}

/* Computes the limit. A pass takes a fixed time and a time for each request; the latter includes
 * everything that makes passes long now: skew of the experts, slow engines, long contexts. So the
 * number of requests that fit the target follows from the last passes. */
static void
set_limit (bt_pass_limiter_t *limiter, double running, int64_t now_ms)
{
  const bt_pass_limiter_settings_t *settings = &limiter->settings;
  double variable_ms = limiter->pass_ms - settings->min_pass_ms;
  double allowed = settings->slots;

  if (is_pause_unavoidable (limiter, now_ms))
    {
      limiter->limit = settings->slots;
      return;
    }
  if (running >= MIN_RUNNING && variable_ms > 1)
    allowed = running * (settings->target_pass_ms - settings->min_pass_ms) / variable_ms;
  if (allowed > settings->slots)
    allowed = settings->slots;
  if (allowed < MIN_LIMIT)
    allowed = MIN_LIMIT;
  detect_jump (limiter, allowed, now_ms);
  limiter->fast_limit = approach_allowed (limiter->fast_limit, allowed, growth_rate);
  if (limiter->fast_limit > limiter->recent_limit)
    limiter->recent_limit = limiter->fast_limit;
  else
    limiter->recent_limit += (limiter->fast_limit - limiter->recent_limit) * decay_rate;
  limiter->limit = approach_allowed (
      limiter->limit, allowed,
      bt_are_demand_jumps_frequent (limiter, now_ms) ? get_jump_growth (settings) : growth_rate);
}

static void
start_window (bt_pass_limiter_t *limiter, int64_t step, int64_t now_ms)
{
  limiter->window_step = step;
  limiter->window_ms = now_ms;
}

void
bt_record_pass (
    bt_pass_limiter_t *limiter, int32_t rank, int64_t step, int32_t running, int64_t now_ms)
{
  if (rank < 0 || rank >= limiter->settings.ranks)
    return;
  limiter->running[rank] = running;
  /* A newly formed group may start at any step, and reports of the ranks may arrive out of
   * order. */
  if (limiter->window_ms < 0 || step < limiter->last_step - 1
      || now_ms - limiter->window_ms > STALE_MS)
    start_window (limiter, step, now_ms);
  if (step <= limiter->last_step && step >= limiter->last_step - 1)
    return;
  limiter->last_step = step;
  if (now_ms - limiter->window_ms < WINDOW_MS || step == limiter->window_step)
    return;
  limiter->pass_ms = (double)(now_ms - limiter->window_ms) / (double)(step - limiter->window_step);
  set_limit (limiter, get_mean_running (limiter), now_ms);
  start_window (limiter, step, now_ms);
}

bool
bt_is_group_newly_formed (const bt_pass_limiter_t *limiter, int64_t epoch)
{
  return epoch != limiter->epoch;
}

void
bt_record_group_formation (bt_pass_limiter_t *limiter,
                           int64_t epoch,
                           int64_t version,
                           double first_limit)
{
  if (!bt_is_group_newly_formed (limiter, epoch))
    return;
  limiter->epoch = epoch;
  if (version != 0 || first_limit <= 0)
    return;
  limiter->limit = fmax (first_limit, MIN_LIMIT);
  limiter->limit = fmin (limiter->limit, limiter->settings.slots);
  limiter->fast_limit = limiter->limit;
  limiter->recent_limit = limiter->limit;
  limiter->window_ms = NEVER;
}

void
bt_record_rank_slowdown (bt_pass_limiter_t *limiter, int32_t rank, double slowdown, int64_t now_ms)
{
  if (rank < 0 || rank >= limiter->settings.ranks)
    return;
  limiter->slowdowns[rank].factor = slowdown;
  limiter->slowdowns[rank].reported_ms = now_ms;
}

double
bt_get_least_pass_ms (const bt_pass_limiter_t *limiter, int64_t now_ms)
{
  double slowest = 1;

  for (int32_t rank = 0; rank < limiter->settings.ranks; rank++)
    if (limiter->slowdowns[rank].factor > slowest
        && now_ms - limiter->slowdowns[rank].reported_ms < SLOWDOWN_EXPIRY_MS)
      slowest = limiter->slowdowns[rank].factor;
  return limiter->settings.min_pass_ms * slowest;
}

int32_t
bt_get_running_limit (const bt_pass_limiter_t *limiter)
{
  return (int32_t)floor (limiter->limit + 0.5);
}

double
bt_get_pass_ms (const bt_pass_limiter_t *limiter)
{
  return limiter->pass_ms;
}

int64_t
bt_estimate_stream_ms (double pass_ms, int32_t tokens, int32_t stride)
{
  if (pass_ms <= 0 || tokens <= 0 || stride <= 0)
    return 0;
  return (int64_t)(pass_ms * ((double)tokens / stride + PASSES_BEFORE_ANSWER));
}
