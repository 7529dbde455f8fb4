#include "group_wait.h"

#include "bilberrytray/base/random.h"

enum
{
  /* Expected time from the end of the wait to the first part of the answer. */
  FIRST_PART_MS = 300,
  /* Requests may return this long before the estimated end, and wait in the queue for the rest. */
  EARLY_RETURN_MS = 500,
  RETURN_SPREAD_MS = 1500,
};

int64_t
bt_get_wait_limit_ms (const bt_caller_wait_t *caller)
{
  int64_t limit_ms = caller->deadline_left_ms - caller->run_ms;

  if (caller->patience_left_ms > 0 && caller->patience_left_ms - FIRST_PART_MS < limit_ms)
    limit_ms = caller->patience_left_ms - FIRST_PART_MS;
  return limit_ms;
}

int64_t
bt_draw_group_retry_after_ms (int64_t wait_ms, uint64_t seed)
{
  int64_t base_ms = wait_ms > EARLY_RETURN_MS ? wait_ms - EARLY_RETURN_MS : 0;
  bt_random_t random;

  bt_seed_random (&random, seed);
  return base_ms + 1 + (int64_t)bt_random_below (&random, RETURN_SPREAD_MS);
}
