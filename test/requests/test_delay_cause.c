#include <CUnit/Basic.h>

#include "bilberrytray/requests/delay_cause.h"

enum
{
  ARRIVED_MS = 100000,
  AIM_MS = 400,
  PAUSE_MS = 120,
  LONG_PAUSE_MS = 1200,
  /* 900 tokens at 5 in a millisecond and two passes of 35 ms: 250 ms. */
  PROMPT_TOKENS = 900,
  TOKENS_PER_MS = 5,
  LEAST_PASS_MS = 35,
  USUAL_MS = 250,
  TOTAL_MS = 2000,
  SLOTS = 10,
};

/* A stream that is answered in time: sent at once, and its first event comes after the usual time.
 */
static bt_delay_timeline_t
make_timely (void)
{
  return (bt_delay_timeline_t){
    .outcome = BT_OUTCOME_ANSWERED,
    .status = 200,
    .aim_ms = AIM_MS,
    .pause_ms = PAUSE_MS,
    .arrived_ms = ARRIVED_MS,
    .read_ms = ARRIVED_MS,
    .decided_ms = ARRIVED_MS,
    .admitted_ms = ARRIVED_MS,
    .first_sent_ms = ARRIVED_MS,
    .last_sent_ms = ARRIVED_MS,
    .first_event_ms = ARRIVED_MS + USUAL_MS,
    .ended_ms = ARRIVED_MS + TOTAL_MS,
    .sends = 1,
    .has_report = true,
    .endpoint_slots = SLOTS,
    .prompt_tokens = PROMPT_TOKENS,
    .read_tokens_per_ms = TOKENS_PER_MS,
    .least_pass_ms = LEAST_PASS_MS,
    .last_pass_ms = LEAST_PASS_MS,
    .pause = { .began_ms = ARRIVED_MS + USUAL_MS, .length_ms = PAUSE_MS },
  };
}

/* Moves the sending of a request and all that follows it. */
static void
move_send (bt_delay_timeline_t *timeline, int64_t by_ms)
{
  timeline->first_sent_ms += by_ms;
  timeline->last_sent_ms += by_ms;
  timeline->first_event_ms += by_ms;
  timeline->ended_ms += by_ms;
}

static void
add_wait (bt_delay_timeline_t *timeline, bt_wait_reason_t reason, int64_t wait_ms)
{
  timeline->waited_ms[reason] += wait_ms;
  timeline->last_wait = reason;
  timeline->admitted_ms += wait_ms;
  move_send (timeline, wait_ms);
}

static bt_delay_timeline_t
make_refused (bt_reason_t reason, bt_wait_reason_t wait)
{
  return (bt_delay_timeline_t){
    .outcome = BT_OUTCOME_NOT_RUN,
    .reason = reason,
    .aim_ms = AIM_MS,
    .arrived_ms = ARRIVED_MS,
    .read_ms = ARRIVED_MS,
    .decided_ms = ARRIVED_MS,
    .ended_ms = ARRIVED_MS,
    .last_wait = wait,
  };
}

static void
check (const bt_delay_timeline_t *timeline, bt_delay_outcome_t outcome, bt_delay_cause_t cause)
{
  bt_delay_verdict_t verdict;

  bt_judge_delay (timeline, &verdict);
  CU_ASSERT_STRING_EQUAL (bt_name_delay_outcome (verdict.outcome), bt_name_delay_outcome (outcome));
  CU_ASSERT_STRING_EQUAL (bt_name_delay_cause (verdict.cause), bt_name_delay_cause (cause));
}

static void
test_timely_request_has_no_cause (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  check (&timeline, BT_DELAY_IN_TIME, BT_DELAY_CAUSE_NONE);
  timeline.first_event_ms = ARRIVED_MS + AIM_MS;
  check (&timeline, BT_DELAY_IN_TIME, BT_DELAY_CAUSE_NONE);
  timeline.aim_ms = timeline.pause_ms = 0;
  timeline.first_event_ms = timeline.ended_ms;
  check (&timeline, BT_DELAY_IN_TIME, BT_DELAY_CAUSE_NONE);
}

/* Guards against blaming endpoints for time that the entry took: before the decision, after it, or
 * while the loop was behind, which lengthens every other stage as well. */
static void
test_entry_slow (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  timeline.decided_ms += 160;
  timeline.admitted_ms += 160;
  move_send (&timeline, 160);
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ENTRY_SLOW);
  timeline = make_timely ();
  move_send (&timeline, 160);
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ENTRY_SLOW);
  timeline = make_timely ();
  add_wait (&timeline, BT_WAIT_ROOM, 160);
  timeline.behind_ms = 155;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ENTRY_SLOW);
  timeline.behind_ms = 20;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ROOM);
}

static void
test_waits_at_the_entry (void)
{
  static const bt_delay_cause_t causes[BT_WAIT_COUNT] = {
    [BT_WAIT_ROOM] = BT_DELAY_CAUSE_ROOM,
    [BT_WAIT_GROUP] = BT_DELAY_CAUSE_GROUP,
    [BT_WAIT_COLD] = BT_DELAY_CAUSE_COLD,
    [BT_WAIT_THROTTLED] = BT_DELAY_CAUSE_THROTTLED,
  };

  for (int32_t reason = BT_WAIT_ROOM; reason < BT_WAIT_COUNT; reason++)
    {
      bt_delay_timeline_t timeline = make_timely ();

      add_wait (&timeline, (bt_wait_reason_t)reason, 160);
      check (&timeline, BT_DELAY_LATE, causes[reason]);
      timeline = make_refused (BT_REASON_DEADLINE_UNREACHABLE, (bt_wait_reason_t)reason);
      check (&timeline, BT_DELAY_REFUSED, causes[reason]);
    }
}

/* Guards against a wait whose reason changed on the way, so that no part of it is long enough. */
static void
test_longest_part_of_a_wait_decides (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  add_wait (&timeline, BT_WAIT_GROUP, 100);
  add_wait (&timeline, BT_WAIT_ROOM, 70);
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_GROUP);
}

static void
test_first_event_late_at_the_endpoint (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  timeline.first_event_ms = ARRIVED_MS + AIM_MS + 50;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_OTHER);
  timeline.endpoint_running = SLOTS / 2;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ENDPOINT_QUEUE);
  timeline.last_pass_ms = 2 * LEAST_PASS_MS;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_PASS_LOAD);
  timeline.endpoint_queued = 1;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ENDPOINT_QUEUE);
  timeline.endpoint_queued = 0;
  timeline.endpoint_running = SLOTS;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ENDPOINT_QUEUE);
  timeline.has_report = false;
  timeline.last_pass_ms = 0;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_OTHER);
}

/* Guards against blaming an endpoint, or any short wait before it, for a prompt that takes longer
 * to read than its caller allows. */
static void
test_long_prompt_explains_its_own_time (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  timeline.prompt_tokens = 2900;
  timeline.first_event_ms = ARRIVED_MS + 670;
  timeline.endpoint_running = SLOTS;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_PREFILL);
  add_wait (&timeline, BT_WAIT_ROOM, 30);
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_PREFILL);
  timeline.first_event_ms += 400;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ENDPOINT_QUEUE);
}

static void
test_pauses (void)
{
  bt_delay_timeline_t timeline = make_timely ();
  bt_delay_pause_t *pause = &timeline.pause;

  pause->length_ms = PAUSE_MS + 1;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_PASS_LOAD);
  pause->jump_ms = pause->began_ms + pause->length_ms - 1000;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_PASS_JUMP);
  pause->jump_ms--;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_PASS_LOAD);
  pause->jump_ms = pause->began_ms + pause->length_ms + 1;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_PASS_LOAD);
  pause->jumps_frequent = true;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_PASS_JUMP);
  pause->reader_behind = true;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_SLOW_READER);
  pause->was_sent_within = true;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_RESUMED);
}

static void
test_request_that_was_sent_again (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  timeline.last_sent_ms += 160;
  timeline.first_event_ms += 160;
  timeline.sends = 2;
  timeline.endpoint_queued = 1;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_RESUMED);
  timeline.last_sent_ms = timeline.first_sent_ms + 10;
  timeline.first_event_ms = timeline.last_sent_ms + AIM_MS + 1;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ENDPOINT_QUEUE);
}

/* Guards against naming a later stage when an earlier one was already too long. */
static void
test_first_of_several_binding_stages_decides (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  timeline.pause.length_ms = LONG_PAUSE_MS;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_PASS_LOAD);
  timeline.endpoint_queued = 3;
  timeline.first_event_ms += 300;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ENDPOINT_QUEUE);
  timeline.last_sent_ms += 200;
  timeline.first_event_ms += 200;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_RESUMED);
  add_wait (&timeline, BT_WAIT_THROTTLED, 200);
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_THROTTLED);
  timeline.decided_ms += 200;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ENTRY_SLOW);
}

/* Guards against blaming the largest of several stages that are each within what is allowed. */
static void
test_stages_that_are_late_only_together (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  add_wait (&timeline, BT_WAIT_ROOM, 100);
  timeline.first_event_ms += 100;
  timeline.endpoint_queued = 1;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_OTHER);
  timeline.pause.length_ms = PAUSE_MS + 1;
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_PASS_LOAD);
}

static void
test_slow_caller (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  timeline.outcome = BT_OUTCOME_UNKNOWN;
  timeline.reason = BT_REASON_CANCELLED;
  check (&timeline, BT_DELAY_IN_TIME, BT_DELAY_CAUSE_NONE);
  timeline.pause.reader_behind = true;
  check (&timeline, BT_DELAY_FAILED, BT_DELAY_CAUSE_SLOW_READER);
  timeline = make_timely ();
  timeline.read_ms += 300;
  timeline.decided_ms += 300;
  timeline.admitted_ms += 300;
  move_send (&timeline, 300);
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_SLOW_READER);
}

/* Guards against counting the callers that gave up as lost by the entry, or as not lost at all. */
static void
test_caller_that_gave_up (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  timeline.outcome = BT_OUTCOME_UNKNOWN;
  timeline.reason = BT_REASON_CANCELLED;
  timeline.first_event_ms = 0;
  timeline.endpoint_queued = 2;
  check (&timeline, BT_DELAY_FAILED, BT_DELAY_CAUSE_ENDPOINT_QUEUE);
  timeline.first_sent_ms = timeline.last_sent_ms = timeline.admitted_ms = 0;
  timeline.waited_ms[BT_WAIT_GROUP] = TOTAL_MS;
  check (&timeline, BT_DELAY_FAILED, BT_DELAY_CAUSE_GROUP);
  timeline.ended_ms = ARRIVED_MS + AIM_MS;
  timeline.waited_ms[BT_WAIT_GROUP] = AIM_MS;
  check (&timeline, BT_DELAY_IN_TIME, BT_DELAY_CAUSE_NONE);
}

static void
test_failures (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  timeline.status = 500;
  check (&timeline, BT_DELAY_FAILED, BT_DELAY_CAUSE_ENDPOINT_FAILED);
  timeline.status = 404;
  check (&timeline, BT_DELAY_IN_TIME, BT_DELAY_CAUSE_NONE);
  timeline.outcome = BT_OUTCOME_UNKNOWN;
  timeline.reason = BT_REASON_ENGINE_FAILED;
  check (&timeline, BT_DELAY_FAILED, BT_DELAY_CAUSE_ENDPOINT_FAILED);
  timeline.reason = BT_REASON_STOPPED_MIDWAY;
  check (&timeline, BT_DELAY_FAILED, BT_DELAY_CAUSE_OTHER);
  timeline.reason = BT_REASON_DEADLINE_PASSED;
  check (&timeline, BT_DELAY_FAILED, BT_DELAY_CAUSE_OTHER);
  timeline.first_event_ms = 0;
  timeline.endpoint_running = SLOTS;
  check (&timeline, BT_DELAY_FAILED, BT_DELAY_CAUSE_ENDPOINT_QUEUE);
  timeline.aim_ms = 0;
  check (&timeline, BT_DELAY_FAILED, BT_DELAY_CAUSE_ENDPOINT_QUEUE);
}

static void
test_refusals (void)
{
  bt_delay_timeline_t timeline = make_refused (BT_REASON_NO_TOKEN, BT_WAIT_NONE);

  check (&timeline, BT_DELAY_REFUSED, BT_DELAY_CAUSE_OTHER);
  timeline = make_refused (BT_REASON_DEADLINE_UNREACHABLE, BT_WAIT_NONE);
  check (&timeline, BT_DELAY_REFUSED, BT_DELAY_CAUSE_OTHER);
  timeline = make_refused (BT_REASON_ENDPOINT_FULL, BT_WAIT_ROOM);
  timeline.sends = 2;
  check (&timeline, BT_DELAY_REFUSED, BT_DELAY_CAUSE_ENDPOINT_QUEUE);
  timeline.reason = BT_REASON_RETRY_BUDGET;
  timeline.breaks = 1;
  check (&timeline, BT_DELAY_REFUSED, BT_DELAY_CAUSE_ENDPOINT_FAILED);
  timeline = make_refused (BT_REASON_QUEUE_FULL, BT_WAIT_ROOM);
  timeline.behind_ms = 500;
  check (&timeline, BT_DELAY_REFUSED, BT_DELAY_CAUSE_ENTRY_SLOW);
}

/* Guards against clocks and events that disagree: times that are missing, out of order or negative
 * add nothing, and no verdict depends on them. */
static void
test_bad_or_missing_input (void)
{
  bt_delay_timeline_t timeline = { 0 };

  check (&timeline, BT_DELAY_IN_TIME, BT_DELAY_CAUSE_NONE);
  timeline.outcome = BT_OUTCOME_NOT_RUN;
  check (&timeline, BT_DELAY_REFUSED, BT_DELAY_CAUSE_OTHER);
  timeline.outcome = BT_OUTCOME_UNKNOWN;
  timeline.reason = BT_REASON_DEADLINE_PASSED;
  check (&timeline, BT_DELAY_FAILED, BT_DELAY_CAUSE_OTHER);
  timeline = make_timely ();
  timeline.decided_ms = ARRIVED_MS - 1000;
  timeline.admitted_ms = 0;
  timeline.last_sent_ms = ARRIVED_MS - 500;
  timeline.waited_ms[BT_WAIT_ROOM] = -300;
  timeline.last_wait = (bt_wait_reason_t)(BT_WAIT_COUNT + 3);
  timeline.prompt_tokens = -1;
  timeline.pause.length_ms = -1;
  check (&timeline, BT_DELAY_IN_TIME, BT_DELAY_CAUSE_NONE);
  timeline.first_event_ms = ARRIVED_MS - 1;
  check (&timeline, BT_DELAY_IN_TIME, BT_DELAY_CAUSE_NONE);
  timeline = make_refused (BT_REASON_QUEUE_FULL, (bt_wait_reason_t)-1);
  check (&timeline, BT_DELAY_REFUSED, BT_DELAY_CAUSE_OTHER);
  CU_ASSERT_STRING_EQUAL (bt_name_delay_cause (BT_DELAY_CAUSE_COUNT), "");
  CU_ASSERT_STRING_EQUAL (bt_name_delay_outcome (BT_DELAY_OUTCOME_COUNT), "");
}

/* Guards against a prompt of unknown length: half of the aim is taken as the usual time, so that a
 * wait of more than the other half is the cause. */
static void
test_prompt_of_unknown_length (void)
{
  bt_delay_timeline_t timeline = make_timely ();

  timeline.prompt_tokens = 0;
  add_wait (&timeline, BT_WAIT_ROOM, AIM_MS / 2);
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_OTHER);
  add_wait (&timeline, BT_WAIT_ROOM, 1);
  check (&timeline, BT_DELAY_LATE, BT_DELAY_CAUSE_ROOM);
}

static void
test_verdict_shows_its_times (void)
{
  bt_delay_timeline_t timeline = make_timely ();
  bt_delay_verdict_t verdict;

  add_wait (&timeline, BT_WAIT_ROOM, 160);
  bt_judge_delay (&timeline, &verdict);
  CU_ASSERT_EQUAL (verdict.stage_ms, 160);
  CU_ASSERT_EQUAL (verdict.usual_ms, USUAL_MS);
  CU_ASSERT_EQUAL (verdict.allowed_ms, AIM_MS);
}

int
main (void)
{
  unsigned int failures;
  CU_pSuite suite;

  CU_initialize_registry ();
  suite = CU_add_suite ("delay cause", NULL, NULL);
  CU_ADD_TEST (suite, test_timely_request_has_no_cause);
  CU_ADD_TEST (suite, test_entry_slow);
  CU_ADD_TEST (suite, test_waits_at_the_entry);
  CU_ADD_TEST (suite, test_longest_part_of_a_wait_decides);
  CU_ADD_TEST (suite, test_first_event_late_at_the_endpoint);
  CU_ADD_TEST (suite, test_long_prompt_explains_its_own_time);
  CU_ADD_TEST (suite, test_pauses);
  CU_ADD_TEST (suite, test_request_that_was_sent_again);
  CU_ADD_TEST (suite, test_first_of_several_binding_stages_decides);
  CU_ADD_TEST (suite, test_stages_that_are_late_only_together);
  CU_ADD_TEST (suite, test_slow_caller);
  CU_ADD_TEST (suite, test_caller_that_gave_up);
  CU_ADD_TEST (suite, test_failures);
  CU_ADD_TEST (suite, test_refusals);
  CU_ADD_TEST (suite, test_bad_or_missing_input);
  CU_ADD_TEST (suite, test_prompt_of_unknown_length);
  CU_ADD_TEST (suite, test_verdict_shows_its_times);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
