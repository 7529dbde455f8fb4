#include "demand.h"

#include <math.h>
#include <string.h>

enum
{
  SECOND_MS = 1000,
  INITIAL_CAPACITY = 16,
  BURST_WINDOW_DIVISOR = 4,
};

/* Demand below this many requests is negligible. */
static const double negligible_count = 0.01;

void
bt_clear_demand (bt_context_t *ctx, bt_demand_t *demand)
{
  bt_free (ctx, demand->accounts);
  memset (demand, 0, sizeof *demand);
}

static void
decay_account (const bt_demand_t *demand, bt_account_demand_t *account, int64_t now_ms)
{
  const int64_t passed_ms = now_ms - account->updated_ms;

  if (passed_ms <= 0)
    return;
  account->request_count *= exp (-(double)passed_ms / (double)demand->window_ms);
  account->burst_count *=
      exp (-(double)passed_ms * BURST_WINDOW_DIVISOR / (double)demand->window_ms);
  account->updated_ms = now_ms;
}

/* Returns an entry for a new account: one whose demand has decayed and whose announced retry time
 * has passed, or an additional one. */
static bt_account_demand_t *
take_entry (bt_context_t *ctx, bt_demand_t *demand, int64_t now_ms)
{
  for (int32_t i = 0; i < demand->count; i++)
    {
      decay_account (demand, &demand->accounts[i], now_ms);
      if (demand->accounts[i].request_count < negligible_count
          && demand->accounts[i].retry_at_ms < now_ms)
        return &demand->accounts[i];
    }
  if (demand->count == demand->capacity)
    {
      demand->capacity = demand->capacity == 0 ? INITIAL_CAPACITY : 2 * demand->capacity;
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
  account = take_entry (ctx, demand, now_ms);
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

  decay_account (demand, account, now_ms);
  account->share = share > 0 ? share : 1;
  account->request_count += 1;
  account->burst_count += 1;
  return account;
}

/* Returns the demand in requests per second: a steady rate accumulates rate x window requests. At
 * the start of a burst the long window still reflects the time before; used alone, it would promise
 * the first accounts a share that the others are about to claim. */
static double
get_rate (const bt_demand_t *demand, const bt_account_demand_t *account)
{
  const double scaled_burst = account->burst_count * BURST_WINDOW_DIVISOR;
  const double window_requests =
      scaled_burst > account->request_count ? scaled_burst : account->request_count;

  return window_requests * SECOND_MS / (double)demand->window_ms;
}

/* Computes the max-min level for a share of 1: no account gets more than its share times the level
 * unless all are satisfied. Accounts below it keep their demand, and the capacity that they leave
 * raises the level for the others. */
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
    decay_account (demand, &demand->accounts[i], now_ms);
  level = get_level (demand, per_second);
  for (int32_t i = 0; i < demand->count; i++)
    {
      const double rate = get_rate (demand, &demand->accounts[i]);

      if (&demand->accounts[i] != account)
        left -= fmin (rate, level * demand->accounts[i].share);
    }
  return fmax (left, level * account->share);
}
