#include <string.h>

#include "forward.h"

enum
{
  /* A caller that leaves with more than this unread was too slow, not only a few events behind. */
  SLOW_READER_BYTES = 64 << 10,
};

static int64_t
get_now_ms (const bt_forward_t *forward)
{
  return bt_get_loop_ms (forward->gateway->loop);
}

/* Copies what the rule of the request allows, if one has matched that can be used. */
static void
read_rule (bt_forward_t *forward)
{
  bt_delay_timeline_t *timeline = &forward->delay.timeline;
  const bt_rule_t *rule = forward->rule;

  if (rule == NULL || rule->unreadable)
    return;
  timeline->aim_ms = rule->then.aim_ms;
  timeline->pause_ms = rule->then.pause_ms;
  timeline->read_tokens_per_ms =
      forward->declarations->apps[forward->app_index].engine.read_tokens_per_ms;
}

static void
update_behind (bt_forward_t *forward)
{
  bt_delay_track_t *track = &forward->delay;

  track->timeline.behind_ms =
      bt_get_loop_behind_ms (forward->gateway->loop) - track->loop_behind_ms;
}

void
bt_start_forward_delay (bt_forward_t *forward)
{
  bt_delay_track_t *track = &forward->delay;

  track->timeline.arrived_ms = forward->arrived_ms;
  track->timeline.read_ms = get_now_ms (forward);
  track->loop_behind_ms = bt_get_loop_behind_ms (forward->gateway->loop);
}

/* Adds what the request has waited since it was queued, by the times of its app. */
static void
add_waits (bt_delay_track_t *track, const bt_wait_times_t *times)
{
  if (!track->is_queued)
    return;
  track->is_queued = false;
  for (int32_t i = 0; i < BT_WAIT_COUNT; i++)
    track->timeline.waited_ms[i] += times->total_ms[i] - track->queued_times.total_ms[i];
}

void
bt_note_forward_decision (bt_forward_t *forward, const bt_admission_decision_t *decision)
{
  bt_delay_track_t *track = &forward->delay;
  const int64_t now_ms = get_now_ms (forward);

  if (track->timeline.decided_ms == 0)
    track->timeline.decided_ms = now_ms;
  if (decision->wait != BT_WAIT_NONE)
    track->timeline.last_wait = decision->wait;
  add_waits (track, &decision->times);
  track->is_queued = decision->action == BT_ADMISSION_QUEUE;
  track->queued_times = decision->times;
  if (decision->action == BT_ADMISSION_ADMIT)
    track->timeline.admitted_ms = now_ms;
}

/* Returns the pass limiter of the group of the endpoint that the request was sent to; NULL if it is
 * in no group. */
static const bt_pass_limiter_t *
find_pass_limiter (const bt_forward_t *forward)
{
  const bt_gateway_t *gateway = forward->gateway;
  const char *group = bt_get_rank_group (gateway->outages, &forward->route.identity);

  for (int32_t i = 0; group[0] != '\0' && i < gateway->limiter_count; i++)
    if (strcmp (gateway->limiters[i].group, group) == 0)
      return gateway->limiters[i].limiter;
  return NULL;
}

static void
read_passes (const bt_forward_t *forward, int64_t now_ms, bt_delay_timeline_t *timeline)
{
  const bt_pass_limiter_t *limiter = find_pass_limiter (forward);

  if (limiter == NULL)
    return;
  timeline->least_pass_ms = bt_get_least_pass_ms (limiter, now_ms);
  timeline->last_pass_ms = bt_get_pass_ms (limiter);
}

void
bt_note_forward_send (bt_forward_t *forward)
{
  bt_delay_timeline_t *timeline = &forward->delay.timeline;
  const int64_t now_ms = get_now_ms (forward);
  bt_load_t load;

  read_rule (forward);
  if (timeline->first_sent_ms == 0)
    timeline->first_sent_ms = now_ms;
  if (timeline->first_event_ms > 0)
    return;
  timeline->last_sent_ms = now_ms;
  timeline->has_report =
      bt_get_load_report (forward->gateway->router, &forward->route.identity, &load);
  if (timeline->has_report)
    {
      timeline->endpoint_queued = load.queued;
      timeline->endpoint_running = load.running;
      timeline->endpoint_slots = load.slots;
    }
  read_passes (forward, now_ms, timeline);
}

static void
note_pause (bt_forward_t *forward, int64_t began_ms, int64_t ended_ms)
{
  bt_delay_pause_t *pause = &forward->delay.timeline.pause;
  const bt_pass_limiter_t *limiter;

  if (ended_ms - began_ms <= pause->length_ms)
    return;
  pause->began_ms = began_ms;
  pause->length_ms = ended_ms - began_ms;
  pause->was_sent_within = forward->sends > forward->delay.part_sends;
  if (pause->length_ms <= forward->delay.timeline.pause_ms)
    return;
  limiter = find_pass_limiter (forward);
  if (limiter == NULL)
    return;
  pause->jump_ms = bt_get_last_jump_ms (limiter);
  pause->jumps_frequent = bt_are_demand_jumps_frequent (limiter, ended_ms);
}

void
bt_note_forward_part (bt_forward_t *forward, int64_t now_ms)
{
  if (forward->first_byte_ms > 0)
    note_pause (forward, forward->last_part_ms, now_ms);
  else
    {
      forward->delay.timeline.first_event_ms = now_ms;
      update_behind (forward);
    }
  forward->delay.part_sends = forward->sends;
}

/* Adds the waits and the pause that are not over as the request ends. */
static void
close_track (bt_forward_t *forward, int64_t now_ms)
{
  bt_gateway_t *gateway = forward->gateway;
  bt_delay_timeline_t *timeline = &forward->delay.timeline;
  bt_wait_times_t times;

  if (forward->delay.is_queued)
    {
      timeline->last_wait = bt_get_wait_times (gateway->admission, forward->app, now_ms, &times);
      add_waits (&forward->delay, &times);
    }
  if (timeline->first_event_ms == 0)
    update_behind (forward);
  else if (timeline->outcome != BT_OUTCOME_ANSWERED)
    note_pause (forward, forward->last_part_ms, now_ms);
  timeline->pause.reader_behind = timeline->reason == BT_REASON_CANCELLED
                                  && bt_count_unread_bytes (forward->call) > SLOW_READER_BYTES;
}

static void
count_verdict (const bt_forward_t *forward, const bt_delay_verdict_t *verdict)
{
  bt_gateway_t *gateway = forward->gateway;
  const bt_listed_endpoint_t *listed = NULL;
  bt_delay_labels_t labels = { .account = forward->account };

  if (forward->rule != NULL)
    {
      labels.rule = forward->rule->name;
      labels.priority = bt_name_priority (forward->priority);
    }
  if (forward->sends > 0)
    listed = bt_find_listed_endpoint (gateway->endpoints, forward->route.identity.instance);
  if (listed != NULL)
    labels.failure_domain = listed->failure_domain;
  bt_count_delay (gateway->delays, verdict, &labels);
}

void
bt_judge_forward_delay (bt_forward_t *forward,
                        bt_outcome_t outcome,
                        bt_reason_t reason,
                        int32_t status,
                        bt_delay_verdict_t *verdict)
{
  bt_delay_timeline_t *timeline = &forward->delay.timeline;
  const int64_t now_ms = get_now_ms (forward);

  timeline->outcome = outcome;
  timeline->reason = reason;
  timeline->status = status;
  timeline->ended_ms = now_ms;
  timeline->was_held = forward->awaits_part_trial || forward->was_part_trial;
  timeline->sends = forward->sends;
  timeline->breaks = forward->breaks;
  timeline->prompt_tokens = forward->info.prompt_tokens;
  read_rule (forward);
  close_track (forward, now_ms);
  bt_judge_delay (timeline, verdict);
  count_verdict (forward, verdict);
}
