#include "bilberrytray/maps/copy_price.h"

#include <math.h>

/* Time constant of the smoothing of the fullness. Requests take one to two seconds, and a group
 * that is empty for a pass or two is as busy as before. */
static const double smoothing_ms = 1000;

/* Below the lower fullness the group does not need shorter passes; above the upper one all new
 * requests wait for them. In between the weight falls geometrically. */
static const double low_fullness = 0.5;
static const double high_fullness = 0.85;

/* Weights of the time spent on copying, at and beyond both limits. */
static const double full_weight = 5;
static const double empty_weight = 40;

struct bt_copy_price
{
  int32_t ranks;
  double fullness;
  int64_t updated_ms;
  int32_t running[]; /* by rank */
};

bt_copy_price_t *
bt_new_copy_price (bt_context_t *ctx, int32_t ranks)
{
  bt_copy_price_t *price =
      bt_calloc (ctx, 1, sizeof *price + (size_t)ranks * sizeof price->running[0]);

  price->ranks = ranks;
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

  share = fmin (fmax (share, 0), 1);
  return empty_weight * pow (full_weight / empty_weight, share);
}
