#include "picks_schedule.h"

void
bt_request_picks (bt_picks_schedule_t *schedule, bool wanted, int32_t interval)
{
  if (wanted && !schedule->wanted)
    {
      schedule->next_ms = 0;
      schedule->has_baseline = false;
    }
  schedule->wanted = wanted;
  schedule->interval = interval > 1 ? interval : 1;
}

bool
bt_are_picks_due (const bt_picks_schedule_t *schedule, int64_t now_ms)
{
  return schedule->wanted && now_ms >= schedule->next_ms;
}

bool
bt_advance_picks_schedule (bt_picks_schedule_t *schedule,
                           int32_t rank,
                           int64_t report_ms,
                           int64_t now_ms)
{
  bool first = schedule->next_ms == 0;
  bool reported = schedule->interval == 1 || schedule->has_baseline;
  int32_t reports = 1;

  if (first)
    reports += rank % schedule->interval;
  else if (reported && schedule->interval > 1)
    reports = schedule->interval - 1;
  schedule->has_baseline = !reported && !first;
  schedule->next_ms = now_ms + reports * report_ms;
  return reported;
}
