#include "room_rates.h"

void
bt_advance_room_window (bt_room_window_t *window, int64_t now_ms)
{
  while (window->first < window->end)
    {
      const uint64_t at = window->first % BT_ROOM_MAX_BURST;

      if (now_ms - window->times_ms[at] < BT_ROOM_WINDOW_MS)
        return;
      if (!window->removed[at])
        window->count--;
      window->first++;
    }
}

uint64_t
bt_add_room_start (bt_room_window_t *window, int64_t now_ms)
{
  const uint64_t at = window->end % BT_ROOM_MAX_BURST;

  if (window->end - window->first == BT_ROOM_MAX_BURST)
    {
      if (!window->removed[at])
        window->count--;
      window->first++;
    }
  window->times_ms[at] = now_ms;
  window->removed[at] = false;
  window->count++;
  return window->end++;
}

void
bt_remove_room_start (bt_room_window_t *window, uint64_t index)
{
  const uint64_t at = index % BT_ROOM_MAX_BURST;

  if (index < window->first || index >= window->end || window->removed[at])
    return;
  window->removed[at] = true;
  window->count--;
}

int64_t
bt_get_room_window_ms (const bt_room_window_t *window, int32_t burst, int64_t now_ms)
{
  int32_t surplus = window->count - burst + 1;

  if (surplus <= 0)
    return now_ms;
  for (uint64_t i = window->first; i < window->end; i++)
    {
      const uint64_t at = i % BT_ROOM_MAX_BURST;

      if (!window->removed[at] && --surplus == 0)
        return window->times_ms[at] + BT_ROOM_WINDOW_MS;
    }
  return now_ms;
}

void
bt_add_room_event (bt_room_rate_t *rate, int64_t now_ms)
{
  const int64_t period = now_ms / BT_ROOM_RATE_MS;

  if (period != rate->period)
    {
      rate->before = period == rate->period + 1 ? rate->now : 0;
      rate->now = 0;
      rate->period = period;
    }
  rate->now += 1;
}

double
bt_get_room_events (const bt_room_rate_t *rate, int64_t now_ms)
{
  const int64_t period = now_ms / BT_ROOM_RATE_MS;
  const double left = 1 - (double)(now_ms % BT_ROOM_RATE_MS) / BT_ROOM_RATE_MS;

  if (period == rate->period)
    return rate->now + rate->before * left;
  return period == rate->period + 1 ? rate->now * left : 0;
}

static const int32_t fold_bits = 32;

static uint64_t
get_set (uint64_t account)
{
  return (account ^ (account >> fold_bits)) % BT_ROOM_ACCOUNT_SETS;
}

void
bt_add_account_grant (bt_room_accounts_t *accounts, uint64_t account, int64_t now_ms)
{
  const uint64_t set = get_set (account);
  bt_room_rate_t *rates = accounts->rates[set];
  int32_t place = 0;

  for (int32_t i = 0; i < BT_ROOM_ACCOUNT_WAYS; i++)
    {
      if (accounts->accounts[set][i] == account)
        {
          bt_add_room_event (&rates[i], now_ms);
          return;
        }
      if (bt_get_room_events (&rates[i], now_ms) < bt_get_room_events (&rates[place], now_ms))
        place = i;
    }
  accounts->accounts[set][place] = account;
  rates[place] = (bt_room_rate_t){ 0 };
  bt_add_room_event (&rates[place], now_ms);
}

double
bt_get_account_grants (const bt_room_accounts_t *accounts, uint64_t account, int64_t now_ms)
{
  const uint64_t set = get_set (account);

  for (int32_t i = 0; i < BT_ROOM_ACCOUNT_WAYS; i++)
    if (accounts->accounts[set][i] == account)
      return bt_get_room_events (&accounts->rates[set][i], now_ms);
  return 0;
}
