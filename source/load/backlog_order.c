#include "backlog_order.h"

#include <math.h>

enum
{
  SECOND_MS = 1000,
  /* Time constant of the average of arrivals. A burst shows within it, and an average over less
   * fluctuates with the few arrivals at one of many entries. */
  ARRIVAL_WINDOW_MS = 2000,
  MAX_WAIT_MS = 3600000,
};

bool
bt_is_late_turn (const bt_late_turns_t *turns)
{
  return turns->served >= BT_LATE_SERVICE_INTERVAL - 1;
}

void
bt_record_late_turn (bt_late_turns_t *turns, bool late_waited)
{
  if (!late_waited || bt_is_late_turn (turns))
    turns->served = 0;
  else
    turns->served++;
}

static double
get_decayed_count (const bt_arrival_rate_t *arrivals, int64_t now_ms)
{
  const int64_t passed_ms = now_ms - arrivals->updated_ms;

  return arrivals->count * exp (-(double)passed_ms / ARRIVAL_WINDOW_MS);
}

void
bt_add_arrival (bt_arrival_rate_t *arrivals, int64_t now_ms)
{
  arrivals->count = get_decayed_count (arrivals, now_ms) + 1;
  arrivals->updated_ms = now_ms;
}

double
bt_get_arrival_rate (const bt_arrival_rate_t *arrivals, int64_t now_ms)
{
  return get_decayed_count (arrivals, now_ms) * SECOND_MS / ARRIVAL_WINDOW_MS;
}

/* Returns when @p requests requests have been served at @p rate after the outage. */
static int64_t
get_service_end_ms (const bt_backlog_service_t *service, double rate, int32_t requests)
{
  const double wait_ms = (double)service->outage_ms + (double)requests * SECOND_MS / rate;

  return wait_ms < MAX_WAIT_MS ? (int64_t)wait_ms : MAX_WAIT_MS;
}

double
bt_get_in_time_service_rate (const bt_backlog_service_t *service)
{
  return service->rate * (BT_LATE_SERVICE_INTERVAL - 1) / BT_LATE_SERVICE_INTERVAL;
}

double
bt_get_late_service_rate (const bt_backlog_service_t *service)
{
  const double least = service->rate / BT_LATE_SERVICE_INTERVAL;
  const double left = service->rate - service->arrival_rate;

  return left > least ? left : least;
}

int64_t
bt_get_late_wait_ms (const bt_backlog_service_t *service, int32_t ahead)
{
  return get_service_end_ms (service, bt_get_late_service_rate (service), ahead + 1);
}

int64_t
bt_get_in_time_wait_ms (const bt_backlog_service_t *service, int32_t ahead, bool late_waits)
{
  return get_service_end_ms (
      service, late_waits ? bt_get_in_time_service_rate (service) : service->rate, ahead + 1);
}
