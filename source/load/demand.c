#include "demand.h"

#include <math.h>
#include <string.h>

enum
{
  SECOND_MS = 1000,
  FIRST_ACCOUNTS = 16,
  BURST_PART = 4,
};

/* Demand below this many requests has faded. */
static const double faded_weight = 0.01;

void
bt_clear_demand (bt_context_t *ctx, bt_demand_t *demand)
{
  bt_free (ctx, demand->accounts);
  memset (demand, 0, sizeof *demand);
}

static void
fade_account (const bt_demand_t *demand, bt_account_demand_t *account, int64_t now_ms)
{
  const int64_t passed_ms = now_ms - account->updated_ms;

  if (passed_ms <= 0)
    return;
  account->weight *= exp (-(double)passed_ms / (double)demand->window_ms);
  account->burst *= exp (-(double)passed_ms * BURST_PART / (double)demand->window_ms);
  account->updated_ms = now_ms;
}

/* A place for a new account: one that has faded and owes no come-back time, or one more. */
static bt_account_demand_t *
make_place (bt_context_t *ctx, bt_demand_t *demand, int64_t now_ms)
{
  for (int32_t i = 0; i < demand->count; i++)
    {
      fade_account (demand, &demand->accounts[i], now_ms);
      if (demand->accounts[i].weight < faded_weight && demand->accounts[i].return_ms < now_ms)
        return &demand->accounts[i];
    }
  if (demand->count == demand->capacity)
    {
      demand->capacity = demand->capacity == 0 ? FIRST_ACCOUNTS : 2 * demand->capacity;
      demand->accounts =
          bt_realloc (ctx, demand->accounts, (size_t)demand->capacity, sizeof *demand->accounts);
    }
  return &demand->accounts[demand->count++];
}

bt_account_demand_t *
bt_find_demand (bt_context_t *ctx, bt_demand_t *demand, const char *name, int64_t now_ms)
{
  bt_account_demand_t *account;

  for (int32_t i = 0; i < demand->count; i++)
    if (strcmp (demand->accounts[i].account, name) == 0)
      return &demand->accounts[i];
  account = make_place (ctx, demand, now_ms);
  memset (account, 0, sizeof *account);
  bt_copy_name (account->account, name);
  account->share = 1;
  account->updated_ms = now_ms;
  return account;
}

bt_account_demand_t *
bt_add_demand (
    bt_context_t *ctx, bt_demand_t *demand, const char *name, int32_t share, int64_t now_ms)
{
  bt_account_demand_t *account = bt_find_demand (ctx, demand, name, now_ms);

  fade_account (demand, account, now_ms);
  account->share = share > 0 ? share : 1;
  account->weight += 1;
  account->burst += 1;
  return account;
}

/* Demand in requests a second: a steady rate holds rate x window requests in the weight. At the
 * start of a burst the long window still shows the time before; taking it alone would promise the
 * first accounts a share that the others are about to claim. */
static double
get_rate (const bt_demand_t *demand, const bt_account_demand_t *account)
{
  const double burst = account->burst * BURST_PART;
  const double weight = burst > account->weight ? burst : account->weight;

  return weight * SECOND_MS / (double)demand->window_ms;
}

/* The max-min level for a share of 1: no account gets more than its share of it unless all are
 * satisfied. Accounts below keep their demand, and what they leave raises it for the others. */
static double
get_level (const bt_demand_t *demand, double per_second)
{
  double level = 0;

  for (int32_t round = 0; round <= demand->count; round++)
    {
      double left = per_second;
      double shares = 0;

      for (int32_t i = 0; i < demand->count; i++)
        {
          const bt_account_demand_t *account = &demand->accounts[i];
          const double rate = get_rate (demand, account);

          if (rate <= level * account->share)
            left -= rate;
          else
            shares += account->share;
        }
      if (shares <= 0 || left / shares <= level)
        break;
      level = left / shares;
    }
  return level;
}

double
bt_get_fair_rate (bt_demand_t *demand,
                  const bt_account_demand_t *account,
                  double per_second,
                  int64_t now_ms)
{
  double level;
  double left = per_second;

  for (int32_t i = 0; i < demand->count; i++)
    fade_account (demand, &demand->accounts[i], now_ms);
  level = get_level (demand, per_second);
  for (int32_t i = 0; i < demand->count; i++)
    {
      const double rate = get_rate (demand, &demand->accounts[i]);

      if (&demand->accounts[i] != account)
        left -= fmin (rate, level * demand->accounts[i].share);
    }
  return fmax (left, level * account->share);
}
