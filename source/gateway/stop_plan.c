#include "stop_plan.h"

#include <string.h>

enum
{
  /* Some callers cache an address answer for this many times the lifetime that they are told. */
  MAX_ANSWER_LIFETIMES = 3,
  /* The request of a caller whose connection was accepted just before accepting stopped arrives
   * within a round trip of a few ms; the rest is a margin for a busy instance. */
  LINGER_MS = 120,
  /* For this part of the time until requests are cut off, every new request is accepted: the time
     left is more than nearly all streams take, on slow groups too. Accepting only requests that
     recently took less than the time left would refuse many that end in time. Afterwards, accepting
     all could cut off a stream whose caller another instance would serve at once. */
  ACCEPT_ALL_PERCENT = 38,
  PERCENT = 100,
};

static const char *const phase_names[] = {
#define PHASE_NAME(id, name) name,
  BT_STOP_PHASE_LIST (PHASE_NAME)
#undef PHASE_NAME
};

const char *
bt_name_stop_phase (bt_stop_phase_t phase)
{
  return phase_names[phase];
}

void
bt_begin_stop (bt_stop_plan_t *plan, const bt_stop_limits_t *limits, int64_t now_ms)
{
  memset (plan, 0, sizeof *plan);
  plan->limits = *limits;
  plan->began_ms = now_ms;
}

static int64_t
get_close_ms (const bt_stop_plan_t *plan)
{
  return plan->began_ms + MAX_ANSWER_LIFETIMES * plan->limits.address_life_ms;
}

/* Returns the latest time at which requests in progress are ended. */
static int64_t
get_abort_ms (const bt_stop_plan_t *plan)
{
  int64_t abort_ms = plan->began_ms + plan->limits.drain_ms - LINGER_MS;

  return abort_ms > plan->began_ms ? abort_ms : plan->began_ms;
}

bt_stop_phase_t
bt_advance_stop (bt_stop_plan_t *plan, int32_t open_work, int64_t now_ms)
{
  if (plan->phase == BT_STOP_LEAVING && now_ms >= get_close_ms (plan))
    plan->phase = BT_STOP_CLOSING;
  if (plan->phase < BT_STOP_LINGERING
      && (now_ms >= get_abort_ms (plan) || (plan->phase == BT_STOP_CLOSING && open_work == 0)))
    {
      plan->phase = BT_STOP_LINGERING;
      plan->lingering_since_ms = now_ms;
    }
  if (plan->phase == BT_STOP_LINGERING && now_ms >= plan->lingering_since_ms + LINGER_MS)
    plan->phase = BT_STOP_DONE;
  return plan->phase;
}

bool
bt_may_send_at_stop (const bt_stop_plan_t *plan, int64_t end_ms, int64_t now_ms)
{
  int64_t abort_ms = get_abort_ms (plan);
  int64_t accept_all_end_ms =
      plan->began_ms + (abort_ms - plan->began_ms) * ACCEPT_ALL_PERCENT / PERCENT;

  return plan->phase < BT_STOP_LINGERING && (now_ms < accept_all_end_ms || end_ms <= abort_ms);
}

bool
bt_may_accept_at_stop (const bt_stop_plan_t *plan, int64_t end_ms, int64_t now_ms)
{
  return plan->phase == BT_STOP_LEAVING && now_ms < get_close_ms (plan)
         && bt_may_send_at_stop (plan, end_ms, now_ms);
}
