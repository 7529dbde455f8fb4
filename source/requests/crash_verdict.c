#include "crash_verdict.h"

#include <stdlib.h>

enum
{
  /* Ends of endpoints within this time are one event. Two events of one request in a group are
   * further apart, since the group does not run anything in between. */
  SAME_MOMENT_MS = 200,
  /* A second event makes an accident unlikely: the hold is this many times longer. */
  REPEATED_HOLD_FACTOR = 5,
};

static int
compare_ends (const void *left, const void *right)
{
  int64_t left_ms = ((const bt_crash_evidence_t *)left)->ended_ms;
  int64_t right_ms = ((const bt_crash_evidence_t *)right)->ended_ms;

  return left_ms < right_ms ? -1 : left_ms > right_ms;
}

bool
bt_is_same_crash_moment (int64_t left_ms, int64_t right_ms)
{
  return left_ms > 0 && right_ms > 0 && llabs (left_ms - right_ms) < SAME_MOMENT_MS;
}

int32_t
bt_count_crash_events (bt_crash_evidence_t *evidence, int32_t count)
{
  int64_t event_ms = 0;
  int32_t events = 0;

  qsort (evidence, (size_t)count, sizeof *evidence, compare_ends);
  for (int32_t i = 0; i < count; i++)
    {
      if (bt_is_same_crash_moment (event_ms, evidence[i].ended_ms))
        continue;
      event_ms = evidence[i].ended_ms;
      events++;
    }
  return events;
}

static bool
is_suspected (const bt_crash_evidence_t *evidence, int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    if (evidence[i].at_start && !evidence[i].is_host_failure)
      return true;
  return false;
}

/* Returns when the latest crash or trial was noted. */
static int64_t
get_latest_ms (const bt_crash_evidence_t *evidence, int32_t count)
{
  int64_t latest_ms = evidence[0].known_ms;

  for (int32_t i = 0; i < count; i++)
    {
      if (evidence[i].known_ms > latest_ms)
        latest_ms = evidence[i].known_ms;
      if (evidence[i].trial_ms > latest_ms)
        latest_ms = evidence[i].trial_ms;
    }
  return latest_ms;
}

bt_crash_verdict_t
bt_judge_crashes (const bt_crash_options_t *options,
                  bt_crash_evidence_t *evidence,
                  int32_t count,
                  bool stops_group,
                  int64_t now_ms,
                  int64_t *retry_after_ms)
{
  int32_t events = bt_count_crash_events (evidence, count);
  int64_t hold_ms = options->hold_ms;

  *retry_after_ms = 0;
  if (events >= options->max_ends || count > options->max_ends)
    return BT_CRASH_REFUSE;
  if (!stops_group || (events < 2 && !is_suspected (evidence, count)))
    return BT_CRASH_RUN;
  if (events >= 2)
    hold_ms *= REPEATED_HOLD_FACTOR;
  *retry_after_ms = get_latest_ms (evidence, count) + hold_ms - now_ms;
  return *retry_after_ms > 0 ? BT_CRASH_HOLD : BT_CRASH_RUN;
}
