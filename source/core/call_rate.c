#include "bilberrytray/core/call_rate.h"

enum
{
  MILLI = 1000,
  MAX_DOUBLINGS = 20,
};

void
bt_init_call_rate (bt_call_rate_t *rate,
                   const bt_call_rate_settings_t *settings,
                   uint64_t seed,
                   int64_t now_ms)
{
  rate->settings = *settings;
  bt_seed_random (&rate->random, seed);
  rate->tokens_milli = settings->burst * MILLI;
  rate->refilled_ms = now_ms;
  rate->backoff_until_ms = now_ms;
  rate->failures = 0;
}

static void
refill_bucket (bt_call_rate_t *rate, int64_t now_ms)
{
  int64_t full = rate->settings.burst * MILLI;
  int64_t passed_ms = now_ms - rate->refilled_ms;

  if (passed_ms <= 0)
    return;
  rate->refilled_ms = now_ms;
  /* Prevents overflow of the product below after a process was suspended for days. */
  if (passed_ms > full)
    passed_ms = full;
  rate->tokens_milli += passed_ms * rate->settings.calls_per_s;
  if (rate->tokens_milli > full)
    rate->tokens_milli = full;
}

int64_t
bt_take_call (bt_call_rate_t *rate, int64_t now_ms)
{
  int64_t missing;

  if (now_ms < rate->backoff_until_ms)
    return rate->backoff_until_ms - now_ms;
  refill_bucket (rate, now_ms);
  if (rate->tokens_milli >= MILLI)
    {
      rate->tokens_milli -= MILLI;
      return 0;
    }
  missing = MILLI - rate->tokens_milli;
  return (missing + rate->settings.calls_per_s - 1) / rate->settings.calls_per_s;
}

void
bt_note_call_success (bt_call_rate_t *rate)
{
  rate->failures = 0;
  rate->backoff_until_ms = 0;
}

void
bt_note_call_failure (bt_call_rate_t *rate, int64_t now_ms)
{
  int64_t longest_ms = rate->settings.backoff_first_ms;
  int64_t half_ms;

  for (int32_t i = 0; i < rate->failures && i < MAX_DOUBLINGS; i++)
    if (longest_ms < rate->settings.backoff_last_ms)
      longest_ms *= 2;
  if (longest_ms > rate->settings.backoff_last_ms)
    longest_ms = rate->settings.backoff_last_ms;
  rate->failures++;
  half_ms = longest_ms / 2;
  rate->backoff_until_ms =
      now_ms + half_ms
      + (int64_t)bt_random_below (&rate->random, (uint64_t)(longest_ms - half_ms) + 1);
}
