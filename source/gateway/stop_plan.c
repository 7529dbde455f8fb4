#include "stop_plan.h"

#include <string.h>

enum
{
  /* Some callers keep an answer with addresses this many times as long as they are told. */
  ANSWER_LIVES = 3,
  /* A caller whose connection was accepted just before nobody could connect any more has its
   * request here within a round trip of a few ms; the rest is for a busy instance. */
  LINGER_MS = 120,
  /* In so much of a stop whatever comes is taken: what is left is more than nearly all streams
   * last, on slow groups too. To take only what lately was shorter would refuse many that end in
   * time. Behind it a stream could be cut whose caller another instance serves at once. */
  TAKE_ALL_PERCENT = 38,
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
  return plan->began_ms + ANSWER_LIVES * plan->limits.address_life_ms;
}

/* When what is under way is ended at the latest. */
static int64_t
get_cut_ms (const bt_stop_plan_t *plan)
{
  int64_t cut_ms = plan->began_ms + plan->limits.drain_ms - LINGER_MS;

  return cut_ms > plan->began_ms ? cut_ms : plan->began_ms;
}

bt_stop_phase_t
bt_advance_stop (bt_stop_plan_t *plan, int32_t open_work, int64_t now_ms)
{
  if (plan->phase == BT_STOP_LEAVING && now_ms >= get_close_ms (plan))
    plan->phase = BT_STOP_CLOSING;
  if (plan->phase < BT_STOP_LINGERING
      && (now_ms >= get_cut_ms (plan) || (plan->phase == BT_STOP_CLOSING && open_work == 0)))
    {
      plan->phase = BT_STOP_LINGERING;
      plan->lingers_since_ms = now_ms;
    }
  if (plan->phase == BT_STOP_LINGERING && now_ms >= plan->lingers_since_ms + LINGER_MS)
    plan->phase = BT_STOP_DONE;
  return plan->phase;
}

bool
bt_may_take_at_stop (const bt_stop_plan_t *plan, int64_t end_ms, int64_t now_ms)
{
  int64_t cut_ms = get_cut_ms (plan);
  int64_t sure_ms = plan->began_ms + (cut_ms - plan->began_ms) * TAKE_ALL_PERCENT / PERCENT;

  if (plan->phase != BT_STOP_LEAVING || now_ms >= get_close_ms (plan))
    return false;
  return now_ms < sure_ms || end_ms <= cut_ms;
}
