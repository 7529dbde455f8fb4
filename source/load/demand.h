#ifndef BILBERRYTRAY_SOURCE_LOAD_DEMAND_H
#define BILBERRYTRAY_SOURCE_LOAD_DEMAND_H

/** @file
 * Demand of client accounts as one entry observes it, and the fair (weighted max-min) share of a
 * capacity that results from it. Each entry observes a part of the demand and has a part of the
 * capacity, so no store is needed to agree on shares.
 */

#include "bilberrytray/base/context.h"
#include "bilberrytray/core/identity.h"

/** Recent demand of one account. */
typedef struct bt_account_demand
{
  char account[BT_NAME_BYTES];
  double request_count; /**< Number of requests, decaying exponentially over the window. */
  double burst_count; /**< The same over a quarter of the window, so that a burst shows quickly. */
  int32_t share;      /**< Weight of the account, at least 1. */
  int64_t updated_ms;
  int64_t retry_at_ms; /**< Retry time last announced to the account; nothing sets it so far,
                           so it is 0. */
} bt_account_demand_t;

/** Accounts of one app. Initialise it with zeros and set the window. */
typedef struct bt_demand
{
  int64_t window_ms;
  bt_account_demand_t *accounts;
  int32_t count;
  int32_t capacity;
} bt_demand_t;

void bt_clear_demand (bt_context_t *ctx, bt_demand_t *demand);

/** Counts one request of an account, sets its share and returns its entry, which is valid until the
 * next call. May reuse the entry of an account whose demand has decayed. */
bt_account_demand_t *bt_add_demand (
    bt_context_t *ctx, bt_demand_t *demand, const char *name, int32_t share, int64_t now_ms);

/** Returns an account's entry, created if necessary, without counting a request. */
bt_account_demand_t *
bt_find_demand (bt_context_t *ctx, bt_demand_t *demand, const char *name, int64_t now_ms);

/** Returns the requests per second that @p account can expect to be served if @p per_second are
 * served in total. */
double bt_get_fair_rate (bt_demand_t *demand,
                         const bt_account_demand_t *account,
                         double per_second,
                         int64_t now_ms);

#endif
