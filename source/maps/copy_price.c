#include "bilberrytray/maps/copy_price.h"

#include <math.h>

/* Time constant of the smoothing of the fullness. Requests take one to two seconds, and a group
 * that is empty for a pass or two is as busy as before. */
static const double smoothing_ms = 1000;

/* The same for the fullness by which a group counts as nearly idle. It is that only after some
 * seconds with few requests, not while the first of many arrive. */
static const double idle_smoothing_ms = 3000;

/* Below the lower fullness the group does not need shorter passes; above the upper one all new
 * requests wait for them. In between the weight falls geometrically. */
static const double low_fullness = 0.5;
static const double high_fullness = 0.85;

/* Below the first a group is nearly idle; above the second it is not. */
static const double idle_fullness = 0.1;
static const double active_fullness = 0.25;

/* Weights of the time spent on copying, at and beyond both limits. */
static const double full_weight = 5;
static const double empty_weight = 40;

/* Factor of the weight in a nearly idle group, whose passes are short whatever its skew. */
static const double idle_factor = 4;

struct bt_copy_price
{
  int32_t ranks;
  double fullness;
  double idle_fullness; /* smoothed for longer, over the time in which requests run */
  int64_t updated_ms;
  int32_t running[]; /* by rank */
};

bt_copy_price_t *
bt_new_copy_price (bt_context_t *ctx, int32_t ranks)
{
  bt_copy_price_t *price =
      bt_calloc (ctx, 1, sizeof *price + (size_t)ranks * sizeof price->running[0]);

  price->ranks = ranks;
  price->idle_fullness = active_fullness;
  return price;
}

void
bt_drop_copy_price (bt_context_t *ctx, bt_copy_price_t *price)
{
  bt_free (ctx, price);
}

void
bt_record_rank_running (
    bt_copy_price_t *price, int32_t rank, int32_t running, int32_t limit, int64_t now_ms)
{
  double sum = 0;
  double share;

  if (rank < 0 || rank >= price->ranks || limit < 1)
    return;
  price->running[rank] = running;
  for (int32_t i = 0; i < price->ranks; i++)
    sum += price->running[i];
  share = sum / price->ranks / limit;
  price->fullness =
      share + (price->fullness - share) * exp ((double)(price->updated_ms - now_ms) / smoothing_ms);
  if (sum > 0)
    price->idle_fullness = share
                           + (price->idle_fullness - share)
                                 * exp ((double)(price->updated_ms - now_ms) / idle_smoothing_ms);
  price->updated_ms = now_ms;
}

double
bt_get_group_fullness (const bt_copy_price_t *price)
{
  return price->fullness;
}

double
bt_get_copy_weight (const bt_copy_price_t *price)
{
  double share = (price->fullness - low_fullness) / (high_fullness - low_fullness);
  double idle = (active_fullness - price->idle_fullness) / (active_fullness - idle_fullness);

  share = fmin (fmax (share, 0), 1);
  idle = fmin (fmax (idle, 0), 1);
  return empty_weight * pow (full_weight / empty_weight, share) * pow (idle_factor, idle);
}
