#include "bilberrytray/requests/delay_cause.h"

#include <string.h>

enum
{
  PERCENT = 100,
  STATUS_SERVER_ERROR = 500,
  /* Passes in which an engine reads the prompt of a request, as in bt_estimate_stream_ms. */
  PASSES_BEFORE_ANSWER = 2,
  /* A first event within this percentage of the usual time is explained by the prompt. */
  PREFILL_PERCENT = 125,
  /* Passes of this percentage of the shortest one are long. */
  LONG_PASS_PERCENT = 150,
  /* A pause that ends within this time after a jump is due to the jump. */
  JUMP_EFFECT_MS = 1000,
  /* Divisor for the allowed time where the usual time is not known: an endpoint with a free slot
   * takes nearly half of it to read a usual prompt. Admission assumes the same. */
  USUAL_DIVISOR = 2,
  /* Without a rule's limit, the stage that took more than half of the time is the cause. */
  HALF_DIVISOR = 2,
};

/* The stages up to the first event, with what is compared with their times. */
typedef struct stages
{
  int64_t allowed_ms;
  int64_t usual_ms;    /* from sending to the first event */
  bool is_usual_known; /* it follows from the prompt */
  int64_t first_ms;    /* from the arrival to the first event, or to the end without one */
  int64_t entry_ms;
  int64_t upload_ms; /* the caller's sending of the body */
  int64_t held_ms;
  int64_t wait_ms;
  int64_t resend_ms;
  int64_t endpoint_ms; /* from the last send on; 0 if it was not sent */
} stages_t;

const char *
bt_name_delay_outcome (bt_delay_outcome_t outcome)
{
  static const char *const names[] = { "in-time", "late", "refused", "failed" };

  return outcome >= 0 && outcome < BT_DELAY_OUTCOME_COUNT ? names[outcome] : "";
}

const char *
bt_name_delay_cause (bt_delay_cause_t cause)
{
#define BT_DELAY_CAUSE_NAME(id, name) name,
  static const char *const names[] = { BT_DELAY_CAUSE_LIST (BT_DELAY_CAUSE_NAME) };
#undef BT_DELAY_CAUSE_NAME

  return cause >= 0 && cause < BT_DELAY_CAUSE_COUNT ? names[cause] : "";
}

/* Returns the time between two events; 0 if one did not happen or they are out of order. */
static int64_t
get_span_ms (int64_t from_ms, int64_t to_ms)
{
  return from_ms > 0 && to_ms > from_ms ? to_ms - from_ms : 0;
}

static int64_t
get_total_wait_ms (const bt_delay_timeline_t *timeline)
{
  int64_t sum_ms = 0;

  for (int32_t i = BT_WAIT_NONE + 1; i < BT_WAIT_COUNT; i++)
    if (timeline->waited_ms[i] > 0)
      sum_ms += timeline->waited_ms[i];
  return sum_ms;
}

/* Returns the usual time from sending a request to its first event, as its prompt explains it; 0 if
 * that is not known. */
static int64_t
get_prefill_ms (const bt_delay_timeline_t *timeline)
{
  if (timeline->prompt_tokens <= 0 || timeline->read_tokens_per_ms <= 0)
    return 0;
  return (int64_t)(timeline->prompt_tokens / timeline->read_tokens_per_ms
                   + PASSES_BEFORE_ANSWER * timeline->least_pass_ms);
}

static void
measure_entry (const bt_delay_timeline_t *timeline, stages_t *stages)
{
  int64_t decision_ms = get_span_ms (timeline->read_ms, timeline->decided_ms);

  stages->upload_ms = get_span_ms (timeline->arrived_ms, timeline->read_ms);
  if (timeline->was_held)
    stages->held_ms = decision_ms;
  else
    stages->entry_ms = decision_ms;
  stages->entry_ms += get_span_ms (timeline->admitted_ms, timeline->first_sent_ms);
  if (timeline->behind_ms > stages->entry_ms)
    stages->entry_ms = timeline->behind_ms;
}

static void
measure_stages (const bt_delay_timeline_t *timeline, stages_t *stages)
{
  const int64_t end_ms =
      timeline->first_event_ms > 0 ? timeline->first_event_ms : timeline->ended_ms;

  memset (stages, 0, sizeof *stages);
  stages->first_ms = get_span_ms (timeline->arrived_ms, end_ms);
  stages->usual_ms = get_prefill_ms (timeline);
  stages->is_usual_known = stages->usual_ms > 0;
  stages->allowed_ms = timeline->aim_ms;
  if (timeline->aim_ms <= 0)
    stages->allowed_ms = stages->first_ms / HALF_DIVISOR;
  else if (!stages->is_usual_known)
    stages->usual_ms = timeline->aim_ms / USUAL_DIVISOR;
  measure_entry (timeline, stages);
  stages->wait_ms = get_total_wait_ms (timeline);
  stages->resend_ms = get_span_ms (timeline->first_sent_ms, timeline->last_sent_ms);
  stages->endpoint_ms = get_span_ms (timeline->last_sent_ms, end_ms);
}

/* Returns true if a stage before the endpoint exceeds what is allowed. If the prompt alone does so,
 * the usual time is left out: any earlier stage would be the cause otherwise, however short. */
static bool
is_binding (const stages_t *stages, int64_t stage_ms)
{
  const int64_t later_ms = stages->usual_ms < stages->allowed_ms ? stages->usual_ms : 0;

  return stage_ms > 0 && stage_ms + later_ms > stages->allowed_ms;
}

/* Returns the cause for what a request waited for longest; NONE if it did not wait. */
static bt_delay_cause_t
find_wait_cause (const bt_delay_timeline_t *timeline)
{
  static const bt_delay_cause_t causes[BT_WAIT_COUNT] = {
    [BT_WAIT_NONE] = BT_DELAY_CAUSE_NONE,           [BT_WAIT_ROOM] = BT_DELAY_CAUSE_ROOM,
    [BT_WAIT_GROUP] = BT_DELAY_CAUSE_GROUP,         [BT_WAIT_COLD] = BT_DELAY_CAUSE_COLD,
    [BT_WAIT_THROTTLED] = BT_DELAY_CAUSE_THROTTLED,
  };
  bt_wait_reason_t longest = BT_WAIT_NONE;

  for (int32_t i = BT_WAIT_NONE + 1; i < BT_WAIT_COUNT; i++)
    if (timeline->waited_ms[i] > 0
        && (longest == BT_WAIT_NONE || timeline->waited_ms[i] > timeline->waited_ms[longest]))
      longest = (bt_wait_reason_t)i;
  if (longest == BT_WAIT_NONE && timeline->last_wait > BT_WAIT_NONE
      && timeline->last_wait < BT_WAIT_COUNT)
    longest = timeline->last_wait;
  return causes[longest];
}

static bool
are_passes_long (const bt_delay_timeline_t *timeline)
{
  return timeline->least_pass_ms > 0
         && timeline->last_pass_ms * PERCENT > timeline->least_pass_ms * LONG_PASS_PERCENT;
}

/* Attributes the time at the endpoint. A few slots that are taken explain a late first event only
 * where long passes do not: most endpoints run something at any time. */
static bt_delay_cause_t
find_endpoint_cause (const bt_delay_timeline_t *timeline, const stages_t *stages)
{
  const bool is_full =
      timeline->endpoint_queued > 0
      || (timeline->endpoint_slots > 0 && timeline->endpoint_running >= timeline->endpoint_slots);

  if (stages->is_usual_known && stages->endpoint_ms * PERCENT <= stages->usual_ms * PREFILL_PERCENT)
    return BT_DELAY_CAUSE_PREFILL;
  if (timeline->has_report && is_full)
    return BT_DELAY_CAUSE_ENDPOINT_QUEUE;
  if (are_passes_long (timeline))
    return BT_DELAY_CAUSE_PASS_LOAD;
  if (timeline->has_report && timeline->endpoint_running > 0)
    return BT_DELAY_CAUSE_ENDPOINT_QUEUE;
  return BT_DELAY_CAUSE_OTHER;
}

static bool
set_cause (bt_delay_verdict_t *verdict,
           bt_delay_cause_t cause,
           int64_t stage_ms,
           int64_t usual_ms,
           int64_t allowed_ms)
{
  verdict->cause = cause;
  verdict->stage_ms = stage_ms;
  verdict->usual_ms = usual_ms;
  verdict->allowed_ms = allowed_ms;
  return cause != BT_DELAY_CAUSE_OTHER;
}

/* Finds the first binding stage up to the first event. Returns false, with the cause OTHER, if
 * there is none. */
static bool
judge_first_event (const bt_delay_timeline_t *timeline, bt_delay_verdict_t *verdict)
{
  stages_t stages;
  int64_t stage_ms;
  bt_delay_cause_t cause;

  measure_stages (timeline, &stages);
  if (is_binding (&stages, stage_ms = stages.upload_ms - timeline->behind_ms))
    cause = BT_DELAY_CAUSE_SLOW_READER;
  else if (is_binding (&stages, stage_ms = stages.entry_ms))
    cause = BT_DELAY_CAUSE_ENTRY_SLOW;
  else if (is_binding (&stages, stage_ms = stages.held_ms))
    cause = BT_DELAY_CAUSE_OTHER;
  else if (is_binding (&stages, stage_ms = stages.wait_ms))
    cause = find_wait_cause (timeline);
  else if (is_binding (&stages, stage_ms = stages.resend_ms))
    cause = BT_DELAY_CAUSE_RESUMED;
  else if ((stage_ms = stages.endpoint_ms) > stages.allowed_ms)
    cause = find_endpoint_cause (timeline, &stages);
  else
    {
      cause = BT_DELAY_CAUSE_OTHER;
      stage_ms = stages.first_ms;
    }
  return set_cause (verdict, cause, stage_ms, stages.usual_ms, stages.allowed_ms);
}

static bool
judge_pause (const bt_delay_timeline_t *timeline, bt_delay_verdict_t *verdict)
{
  const bt_delay_pause_t *pause = &timeline->pause;
  const int64_t end_ms = pause->began_ms + pause->length_ms;
  bt_delay_cause_t cause = BT_DELAY_CAUSE_PASS_LOAD;

  if (pause->was_sent_within)
    cause = BT_DELAY_CAUSE_RESUMED;
  else if (pause->reader_behind)
    cause = BT_DELAY_CAUSE_SLOW_READER;
  else if (pause->jumps_frequent
           || (pause->jump_ms > 0 && pause->jump_ms <= end_ms
               && end_ms - pause->jump_ms <= JUMP_EFFECT_MS))
    cause = BT_DELAY_CAUSE_PASS_JUMP;
  return set_cause (verdict, cause, pause->length_ms, 0, timeline->pause_ms);
}

static bool
is_first_event_late (const bt_delay_timeline_t *timeline)
{
  const int64_t end_ms =
      timeline->first_event_ms > 0 ? timeline->first_event_ms : timeline->ended_ms;

  return timeline->aim_ms > 0 && get_span_ms (timeline->arrived_ms, end_ms) > timeline->aim_ms;
}

static bool
is_pause_late (const bt_delay_timeline_t *timeline)
{
  return timeline->pause_ms > 0 && timeline->pause.length_ms > timeline->pause_ms;
}

/* Judges what exceeded the rule: the first event, and if no stage explains it, the longest pause.
 * Returns false if nothing did. */
static bool
judge_lateness (const bt_delay_timeline_t *timeline, bt_delay_verdict_t *verdict)
{
  const bool is_first_late = is_first_event_late (timeline);

  if (is_first_late && judge_first_event (timeline, verdict))
    return true;
  if (is_pause_late (timeline))
    return judge_pause (timeline, verdict);
  return is_first_late;
}

/* Returns true for the reasons that say that an endpoint, or its connection, ended the request. */
static bool
is_endpoint_failure (bt_reason_t reason)
{
  switch (reason)
    {
    case BT_REASON_LINK_LOST:
    case BT_REASON_HOME_RESTARTED:
    case BT_REASON_HOME_UNREACHABLE:
    case BT_REASON_ENGINE_FAILED:
    case BT_REASON_ENGINE_SILENT:
    case BT_REASON_ENGINE_UNREACHABLE:
    case BT_REASON_ANSWER_DROPPED:
    case BT_REASON_AGENT_RESTARTED:
      return true;
    default:
      return false;
    }
}

/* Returns true for the reasons that say that there was no capacity for a request. */
static bool
is_capacity_refusal (bt_reason_t reason)
{
  switch (reason)
    {
    case BT_REASON_ACCOUNT_SHARE:
    case BT_REASON_QUEUE_FULL:
    case BT_REASON_DEADLINE_UNREACHABLE:
    case BT_REASON_NO_ENDPOINT:
    case BT_REASON_ENDPOINT_FULL:
    case BT_REASON_RETRY_BUDGET:
      return true;
    default:
      return false;
    }
}

/* A request that was sent and is refused was turned away by its endpoints, or they broke off; there
 * was no capacity left to send it to another one. */
static void
judge_refusal (const bt_delay_timeline_t *timeline, bt_delay_verdict_t *verdict)
{
  bt_delay_cause_t cause = BT_DELAY_CAUSE_OTHER;
  stages_t stages;

  verdict->outcome = BT_DELAY_REFUSED;
  measure_stages (timeline, &stages);
  if (is_endpoint_failure (timeline->reason)
      || (timeline->sends > 0 && timeline->breaks > 0 && is_capacity_refusal (timeline->reason)))
    cause = BT_DELAY_CAUSE_ENDPOINT_FAILED;
  else if (timeline->sends > 0 && is_capacity_refusal (timeline->reason))
    cause = BT_DELAY_CAUSE_ENDPOINT_QUEUE;
  else if (is_capacity_refusal (timeline->reason) && timeline->aim_ms > 0
           && is_binding (&stages, stages.entry_ms))
    cause = BT_DELAY_CAUSE_ENTRY_SLOW;
  else if (is_capacity_refusal (timeline->reason))
    cause = find_wait_cause (timeline);
  if (cause == BT_DELAY_CAUSE_NONE)
    cause = BT_DELAY_CAUSE_OTHER;
  set_cause (verdict, cause, stages.first_ms, 0, 0);
}

static void
judge_failure (const bt_delay_timeline_t *timeline, bt_delay_verdict_t *verdict)
{
  const bool is_answered = timeline->outcome == BT_OUTCOME_ANSWERED;
  const int64_t total_ms = get_span_ms (timeline->arrived_ms, timeline->ended_ms);

  verdict->outcome = BT_DELAY_FAILED;
  if (is_answered || is_endpoint_failure (timeline->reason))
    set_cause (verdict, BT_DELAY_CAUSE_ENDPOINT_FAILED, total_ms, 0, 0);
  else if (timeline->reason != BT_REASON_DEADLINE_PASSED)
    set_cause (verdict, BT_DELAY_CAUSE_OTHER, total_ms, 0, 0);
  else if (!judge_lateness (timeline, verdict) && timeline->aim_ms <= 0
           && timeline->first_event_ms <= 0)
    judge_first_event (timeline, verdict);
  if (verdict->cause == BT_DELAY_CAUSE_NONE)
    set_cause (verdict, BT_DELAY_CAUSE_OTHER, total_ms, 0, 0);
}

/* Judges a request whose caller left. One that left before anything was late, and had read what it
 * was sent, did not need the rest. */
static void
judge_leaving (const bt_delay_timeline_t *timeline, bt_delay_verdict_t *verdict)
{
  if (judge_lateness (timeline, verdict))
    verdict->outcome = BT_DELAY_FAILED;
  else if (timeline->pause.reader_behind)
    {
      verdict->outcome = BT_DELAY_FAILED;
      set_cause (verdict, BT_DELAY_CAUSE_SLOW_READER, timeline->pause.length_ms, 0, 0);
    }
}

void
bt_judge_delay (const bt_delay_timeline_t *timeline, bt_delay_verdict_t *verdict)
{
  memset (verdict, 0, sizeof *verdict);
  if (timeline->outcome == BT_OUTCOME_NOT_RUN)
    judge_refusal (timeline, verdict);
  else if (timeline->outcome == BT_OUTCOME_ANSWERED && timeline->status < STATUS_SERVER_ERROR)
    verdict->outcome = judge_lateness (timeline, verdict) ? BT_DELAY_LATE : BT_DELAY_IN_TIME;
  else if (timeline->outcome == BT_OUTCOME_UNKNOWN && timeline->reason == BT_REASON_CANCELLED)
    judge_leaving (timeline, verdict);
  else
    judge_failure (timeline, verdict);
}
