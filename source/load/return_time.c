#include "return_time.h"

#include <math.h>

#include "bilberrytray/base/random.h"

enum
{
  SECOND_MS = 1000,
  /* Width of the random part. Entries place their callers independently of each other, and would
   * otherwise all place the first ones at the end of an outage. */
  SPREAD_MS = 300,
  /* Late requests that have waited through an outage are served behind it for as long as their
   * callers wait. Callers that return during that time would make fresh requests late. */
  LATE_BACKLOG_MS = 2000,
  /* Part of the rate that new requests leave at which callers return. Requests that become late
   * need the rest; at the whole rate, returning callers make fresh requests late. */
  RETURN_RATE_DIVISOR = 2,
  /* Upper bound of the time to return, so that an estimated rate near zero sends nobody away for
   * good. */
  MAX_RETURN_MS = 300000,
};

/* Fractions of callers below this are rounding errors. */
static const double least_caller = 1e-6;

static int32_t
get_class (int32_t priority)
{
  if (priority < 0)
    return 0;
  return priority < BT_RETURN_PRIORITIES ? priority : BT_RETURN_PRIORITIES - 1;
}

/* Removes the callers that have been served since the last update, highest priority first. Nobody
 * is served during an outage. */
static void
drain (bt_return_plan_t *plan, const bt_backlog_service_t *service, double rate, int64_t now_ms)
{
  double served = (double)(now_ms - plan->updated_ms) * rate / SECOND_MS;

  plan->updated_ms = now_ms;
  if (service->outage_ms > 0)
    return;
  for (int32_t i = BT_RETURN_PRIORITIES - 1; i >= 0; i--)
    {
      const double part = served < plan->callers[i] ? served : plan->callers[i];

      plan->callers[i] -= part;
      served -= part;
    }
}

/* Returns when the callers of a priority that are to return have been served, in seconds. Each
 * priority is served at twice the rate of the one below, so that urgent callers return first and no
 * priority waits for all above it. */
static double
get_end_s (const bt_return_plan_t *plan, int32_t class, double rate)
{
  bt_return_plan_t left = *plan;
  double end_s = 0;

  while (left.callers[class] > 0)
    {
      int32_t weights = 0;
      double step_s = INFINITY;

      for (int32_t i = 0; i < BT_RETURN_PRIORITIES; i++)
        weights += left.callers[i] > 0 ? 1 << i : 0;
      for (int32_t i = 0; i < BT_RETURN_PRIORITIES; i++)
        if (left.callers[i] > 0)
          step_s = fmin (step_s, left.callers[i] * weights / (rate * (1 << i)));
      for (int32_t i = 0; i < BT_RETURN_PRIORITIES; i++)
        {
          left.callers[i] -= step_s * rate * (1 << i) / weights;
          left.callers[i] = left.callers[i] > least_caller ? left.callers[i] : 0;
        }
      end_s += step_s;
    }
  return end_s;
}

int64_t
bt_place_return_ms (bt_return_plan_t *plan,
                    const bt_backlog_service_t *service,
                    const bt_return_request_t *request,
                    int64_t now_ms)
{
  const int32_t class = get_class (request->priority);
  const double rate = bt_get_late_service_rate (service) / RETURN_RATE_DIVISOR;
  double wait_ms;
  bt_random_t random;

  drain (plan, service, rate, now_ms);
  bt_seed_random (&random, request->seed);
  wait_ms = (double)service->outage_ms + (service->outage_ms > 0 ? LATE_BACKLOG_MS : 0)
            + request->queued * SECOND_MS / service->rate
            + get_end_s (plan, class, rate) * SECOND_MS + bt_random_unit (&random) * SPREAD_MS;
  plan->callers[class] += 1;
  return wait_ms < MAX_RETURN_MS ? (int64_t)wait_ms + 1 : MAX_RETURN_MS;
}
