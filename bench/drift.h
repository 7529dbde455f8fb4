#ifndef BILBERRYTRAY_BENCH_DRIFT_H
#define BILBERRYTRAY_BENCH_DRIFT_H

/** @file
 * Seeded model of drifting expert popularity, the input of the planners in the map bench. All
 * functions are static, since each bench is one program with one source file.
 */

#include <math.h>
#include <stdint.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/maps/expert_map.h"
#include "harness_deviates.h"

typedef enum drift_kind
{
  DRIFT_SEASON = 0, /**< A mix of topics changes slowly into another. */
  DRIFT_DIALECT,    /**< The mix changes within ten seconds at one third of the run, and back at two
                       thirds. */
  DRIFT_BURST,      /**< Every four minutes one in 16 experts is six times as popular for 75 s. */
  DRIFT_ACCOUNTS,   /**< Three large client accounts become active and inactive at random. */
  DRIFT_COUNT,
} drift_kind_t;

enum
{
  TOPICS = 6,
  ACCOUNTS = 3,
  BURST_PERIOD_MS = 240000,
  BURST_MS = 75000,
  BURST_FIRST_MS = 120000,
  BURST_ONE_IN = 16,
  SHIFT_MS = 10000,
  ACCOUNT_STAY_MS = 90000,
};

static const double base_sigma = 0.5;
static const double topic_sigma = 0.6;
static const double burst_factor = 6.0;
static const double account_share = 0.25;

typedef struct drift
{
  bt_map_shape_t shape;
  drift_kind_t kind;
  int64_t duration_ms;
  bt_random_t random;
  bool account_active[ACCOUNTS];
  int64_t account_toggle_ms[ACCOUNTS];
  double *topics[TOPICS];
  double *shares;
} drift_t;

static const char *
name_drift (drift_kind_t kind)
{
  static const char *const names[DRIFT_COUNT] = { "slow season", "dialect shift", "burst",
                                                  "large accounts" };

  return names[kind];
}

static size_t
index_cell (const drift_t *drift, int32_t layer, int32_t expert)
{
  return (size_t)layer * (size_t)drift->shape.experts + (size_t)expert;
}

static void
normalize (const drift_t *drift, double *shares)
{
  for (int32_t layer = 0; layer < drift->shape.layers; layer++)
    {
      double sum = 0;

      for (int32_t expert = 0; expert < drift->shape.experts; expert++)
        sum += shares[index_cell (drift, layer, expert)];
      for (int32_t expert = 0; expert < drift->shape.experts; expert++)
        shares[index_cell (drift, layer, expert)] /= sum;
    }
}

static void move_drift (drift_t *drift, int64_t now_ms);

static drift_t *
new_drift (
    bt_context_t *ctx, bt_map_shape_t shape, drift_kind_t kind, int64_t duration_ms, uint64_t seed)
{
  drift_t *drift = bt_calloc (ctx, 1, sizeof *drift);
  size_t cells = (size_t)shape.layers * (size_t)shape.experts;

  drift->shape = shape;
  drift->kind = kind;
  drift->duration_ms = duration_ms;
  bt_seed_random (&drift->random, seed);
  drift->shares = bt_calloc (ctx, cells, sizeof (double));
  for (int32_t topic = 0; topic < TOPICS; topic++)
    drift->topics[topic] = bt_calloc (ctx, cells, sizeof (double));
  for (size_t i = 0; i < cells; i++)
    {
      double base = base_sigma * bt_draw_normal (&drift->random);

      for (int32_t topic = 0; topic < TOPICS; topic++)
        drift->topics[topic][i] = exp (base + topic_sigma * bt_draw_normal (&drift->random));
    }
  for (int32_t topic = 0; topic < TOPICS; topic++)
    normalize (drift, drift->topics[topic]);
  move_drift (drift, 0);
  return drift;
}

static void
drop_drift (bt_context_t *ctx, drift_t *drift)
{
  for (int32_t topic = 0; topic < TOPICS; topic++)
    bt_free (ctx, drift->topics[topic]);
  bt_free (ctx, drift->shares);
  bt_free (ctx, drift);
}

/* Returns a factor that is 0 until @p start_ms and then rises linearly to 1 within SHIFT_MS. */
static double
ramp (int64_t now_ms, int64_t start_ms)
{
  if (now_ms <= start_ms)
    return 0;
  return now_ms >= start_ms + SHIFT_MS ? 1.0 : (double)(now_ms - start_ms) / SHIFT_MS;
}

static void
weigh_accounts (drift_t *drift, int64_t now_ms, double *weights)
{
  weights[0] = 1.0 - ACCOUNTS * account_share;
  for (int32_t i = 0; i < ACCOUNTS; i++)
    {
      if (now_ms >= drift->account_toggle_ms[i])
        {
          drift->account_active[i] = !drift->account_active[i];
          drift->account_toggle_ms[i] =
              now_ms - (int64_t)(ACCOUNT_STAY_MS * log (1.0 - bt_random_unit (&drift->random)));
        }
      weights[i + 1] = drift->account_active[i] ? account_share : 0;
    }
}

static void
weigh_topics (drift_t *drift, int64_t now_ms, double *weights)
{
  double shifted;

  switch (drift->kind)
    {
    case DRIFT_SEASON:
      shifted = (double)now_ms / (double)drift->duration_ms;
      weights[0] = 1.0 - shifted;
      weights[1] = shifted;
      break;
    case DRIFT_DIALECT:
      shifted = ramp (now_ms, drift->duration_ms / 3) - ramp (now_ms, drift->duration_ms * 2 / 3);
      weights[0] = 0.7 - 0.6 * shifted;
      weights[1] = 0.2;
      weights[2] = 0.1 + 0.6 * shifted;
      break;
    case DRIFT_ACCOUNTS:
      weigh_accounts (drift, now_ms, weights);
      break;
    default:
      weights[0] = 1.0;
      break;
    }
}

static bool
is_bursting (const drift_t *drift, int64_t now_ms)
{
  return drift->kind == DRIFT_BURST && now_ms >= BURST_FIRST_MS
         && (now_ms - BURST_FIRST_MS) % BURST_PERIOD_MS < BURST_MS;
}

/** Advances the popularity to @p now_ms, which must not decrease between calls. */
static void
move_drift (drift_t *drift, int64_t now_ms)
{
  double weights[TOPICS] = { 0 };
  size_t cells = (size_t)drift->shape.layers * (size_t)drift->shape.experts;
  size_t burst = (size_t)(now_ms / BURST_PERIOD_MS) % BURST_ONE_IN;
  bool bursting = is_bursting (drift, now_ms);

  weigh_topics (drift, now_ms, weights);
  for (size_t i = 0; i < cells; i++)
    {
      drift->shares[i] = 0;
      for (int32_t topic = 0; topic < TOPICS; topic++)
        drift->shares[i] += weights[topic] * drift->topics[topic][i];
      if (bursting && i % BURST_ONE_IN == burst)
        drift->shares[i] *= burst_factor;
    }
  normalize (drift, drift->shares);
}

/** Returns the share of a layer's tokens that are routed to an expert. The shares of a layer add up
 * to 1. */
static double
get_drift_share (const drift_t *drift, int32_t layer, int32_t expert)
{
  return drift->shares[index_cell (drift, layer, expert)];
}

#endif
