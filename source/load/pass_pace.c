#include "bilberrytray/load/pass_pace.h"

#include <math.h>

enum
{
  /* Passes are counted over at least this long: four passes of 50 ms. Two would read half a pass
   * too long or too short. */
  WINDOW_MS = 200,
  /* A group with fewer requests a rank says little about how passes grow with them. */
  LEAST_RUNNING = 2,
  /* Below this no limit goes: a rank that runs fewer makes hardly shorter passes. */
  LEAST_LIMIT = 2,
  /* Without news of passes for so long the limit says nothing: the group idles, or has no steps. */
  STALE_MS = 1500,
  NEVER = -1,
  /* Two jumps within this are frequent: most streams, which take about two seconds, meet one of
   * them. The time has room for one that went unnoticed between them. */
  FREQUENT_MS = 6000,
  /* A jump is over after so long at the latest; passes that stay long are no further jump. */
  JUMP_MS = 1000,
};

/* How fast the limit follows a measurement that allows more, in one window. One that allows fewer
 * is followed at once: every pass that is too long makes all streams late. */
static const double growth = 0.3;

/* The same while jumps are frequent. */
static const double growth_between_jumps = 0.02;

/* How fast the limit that a jump is told by falls, in one window: a jump may show over two. */
static const double fading = 0.25;

struct bt_pass_pace
{
  bt_pass_pace_settings_t settings;
  int32_t *running;    /* by rank */
  int64_t window_step; /* step and time at which the window begins */
  int64_t window_ms;
  int64_t last_step;
  double pass_ms;
  double limit;
  double quick_limit;  /* as it would be if it always grew back at once */
  double recent_limit; /* the quick limit of late: the one before a jump while it begins */
  int64_t jump_ms;     /* when the last jump began; NEVER before the first */
  int64_t former_ms;   /* when the one before it did */
};

bt_pass_pace_t *
bt_new_pass_pace (bt_context_t *ctx, const bt_pass_pace_settings_t *settings)
{
  bt_pass_pace_t *pace = bt_calloc (ctx, 1, sizeof *pace);

  pace->settings = *settings;
  pace->running = bt_calloc (ctx, (size_t)settings->ranks, sizeof *pace->running);
  pace->limit = settings->slots;
  pace->quick_limit = settings->slots;
  pace->recent_limit = settings->slots;
  pace->jump_ms = NEVER;
  pace->former_ms = NEVER;
  pace->window_ms = -1;
  return pace;
}

void
bt_drop_pass_pace (bt_context_t *ctx, bt_pass_pace_t *pace)
{
  if (pace == NULL)
    return;
  bt_free (ctx, pace->running);
  bt_free (ctx, pace);
}

static double
get_mean_running (const bt_pass_pace_t *pace)
{
  double sum = 0;

  for (int32_t i = 0; i < pace->settings.ranks; i++)
    sum += pace->running[i];
  return sum / pace->settings.ranks;
}

/* A jump makes passes too long for the streams that a group with the quick limit would run. With
 * the limit in force they may well not be: whether jumps come must not be judged by it, or keeping
 * room for them would hide them. */
static void
notice_jump (bt_pass_pace_t *pace, double allowed, int64_t now_ms)
{
  const bt_pass_pace_settings_t *settings = &pace->settings;
  double borne = (settings->aim_pass_ms - settings->least_pass_ms)
                 / (settings->pause_ms - settings->least_pass_ms);

  if (allowed >= pace->recent_limit * borne
      || (pace->jump_ms != NEVER && now_ms - pace->jump_ms < JUMP_MS))
    return;
  pace->former_ms = pace->jump_ms;
  pace->jump_ms = now_ms;
}

bool
bt_are_jumps_frequent (const bt_pass_pace_t *pace, int64_t now_ms)
{
  return pace->former_ms != NEVER && now_ms - pace->former_ms < FREQUENT_MS;
}

static double
follow_allowed (double limit, double allowed, double part)
{
  return allowed < limit ? allowed : limit + (allowed - limit) * part;
}

/* A pass takes a fixed time and a time for each request, which holds all that makes it long now:
 * the skew of the experts, slow engines, long contexts. So the requests that fit the aim follow
 * from the last passes. */
static void
set_limit (bt_pass_pace_t *pace, double running, int64_t now_ms)
{
  const bt_pass_pace_settings_t *settings = &pace->settings;
  double grown_ms = pace->pass_ms - settings->least_pass_ms;
  double allowed = settings->slots;

  if (running >= LEAST_RUNNING && grown_ms > 1)
    allowed = running * (settings->aim_pass_ms - settings->least_pass_ms) / grown_ms;
  if (allowed > settings->slots)
    allowed = settings->slots;
  if (allowed < LEAST_LIMIT)
    allowed = LEAST_LIMIT;
  notice_jump (pace, allowed, now_ms);
  pace->quick_limit = follow_allowed (pace->quick_limit, allowed, growth);
  if (pace->quick_limit > pace->recent_limit)
    pace->recent_limit = pace->quick_limit;
  else
    pace->recent_limit += (pace->quick_limit - pace->recent_limit) * fading;
  pace->limit = follow_allowed (
      pace->limit, allowed, bt_are_jumps_frequent (pace, now_ms) ? growth_between_jumps : growth);
}

static void
start_window (bt_pass_pace_t *pace, int64_t step, int64_t now_ms)
{
  pace->window_step = step;
  pace->window_ms = now_ms;
}

void
bt_record_pass (bt_pass_pace_t *pace, int32_t rank, int64_t step, int32_t running, int64_t now_ms)
{
  if (rank < 0 || rank >= pace->settings.ranks)
    return;
  pace->running[rank] = running;
  /* A group that was formed anew counts from wherever it stands; reports of ranks overtake. */
  if (pace->window_ms < 0 || step < pace->last_step - 1 || now_ms - pace->window_ms > STALE_MS)
    start_window (pace, step, now_ms);
  if (step <= pace->last_step && step >= pace->last_step - 1)
    return;
  pace->last_step = step;
  if (now_ms - pace->window_ms < WINDOW_MS || step == pace->window_step)
    return;
  pace->pass_ms = (double)(now_ms - pace->window_ms) / (double)(step - pace->window_step);
  set_limit (pace, get_mean_running (pace), now_ms);
  start_window (pace, step, now_ms);
}

int32_t
bt_get_pass_limit (const bt_pass_pace_t *pace)
{
  return (int32_t)floor (pace->limit + 0.5);
}

double
bt_get_pass_ms (const bt_pass_pace_t *pace)
{
  return pace->pass_ms;
}
