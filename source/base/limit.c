#include "bilberrytray/base/limit.h"

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/event_log.h"

void
bt_report_limit (
    bt_context_t *ctx, const char *limit, int64_t max, const char *subject, const char *message)
{
  bt_counter_t *counter =
      bt_find_counter (ctx, BT_COUNTER, "bilberry_limits_reached_total",
                       "Times that something was left out for a bound.", "limit", limit);
  int64_t times;

  bt_add_counter (counter, 1);
  times = bt_read_counter (counter);
  if ((times & (times - 1)) != 0)
    return;
  bt_log_event (ctx, BT_LOG_WARNING, "limit-reached", "{s:s, s:I, s:s, s:I, s:s}", "limit", limit,
                "most", (json_int_t)max, "subject", subject, "times", (json_int_t)times, "message",
                message);
}
