#ifndef BILBERRYTRAY_SOURCE_LOAD_DEMAND_H
#define BILBERRYTRAY_SOURCE_LOAD_DEMAND_H

/** @file
 * The demand of client accounts as one entry observes it, and the fair (weighted max-min) share of
 * a capacity that follows from it. Each entry sees its part of the demand and has its part of the
 * capacity, so no store is needed to agree on shares.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/identity.h"

/** One account's recent demand. */
typedef struct bt_account_demand
{
  char account[BT_NAME_BYTES];
  double weight; /**< Requests, each fading over the window. */
  double burst;  /**< The same over a quarter of the window, so that a burst shows soon. */
  int32_t share; /**< Weight of the account, from 1 up. */
  int64_t updated_ms;
  int64_t return_ms; /**< Come-back time told last. */
} bt_account_demand_t;

/** The accounts of one app. Zero-initialise it and set the window. */
typedef struct bt_demand
{
  int64_t window_ms;
  bt_account_demand_t *accounts;
  int32_t count;
  int32_t capacity;
} bt_demand_t;

void bt_clear_demand (bt_context_t *ctx, bt_demand_t *demand);

/** Counts one request of an account with this share and returns its account's entry, valid until
 * the next call. Accounts whose demand has faded make place. */
bt_account_demand_t *bt_add_demand (
    bt_context_t *ctx, bt_demand_t *demand, const char *name, int32_t share, int64_t now_ms);

/** Finds an account's entry, made if need be, without counting. */
bt_account_demand_t *
bt_find_demand (bt_context_t *ctx, bt_demand_t *demand, const char *name, int64_t now_ms);

/** Requests a second that @p account can count on when @p per_second are served in all. */
double bt_get_fair_rate (bt_demand_t *demand,
                         const bt_account_demand_t *account,
                         double per_second,
                         int64_t now_ms);

#endif
