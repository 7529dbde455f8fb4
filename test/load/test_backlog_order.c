#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "backlog_order.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/load/admission.h"
#include "fair_queue.h"

enum
{
  LOW = 0,
  NORMAL,
  HIGH,
  PRIORITIES,
  ACCOUNTS = 6,
  RANKS = 8,
  SLOTS = 4,
  /* 32 slots serve 290 requests a second. */
  RUN_MS = 110,
  /* 256 requests a second. */
  BUSY_RUN_MS = 125,
  FIRST_EVENT_MS = 100,
  ARRIVALS_PER_S = 250,
  SECOND_MS = 1000,
  AIM_MS = 400,
  LOW_AIM_MS = 800,
  PATIENCE_MS = 2000,
  DEADLINE_MS = 8000,
  FORMING_MS = 2200,
  LOAD_START_MS = 10000,
  OUTAGE_MS = 14000,
  RETURN_MS = OUTAGE_MS + FORMING_MS,
  LOAD_END_MS = 26000,
  END_MS = 36000,
  /* More than are served while a caller waits. */
  FILLING_CALLS = 700,
  URGENT_CALLS = 60,
  BURST_MS = 5500,
  BURST_PERCENT = 210,
  /* Waits that are nearly as long as a caller's patience allows. */
  LONG_WAIT_MS = 1600,
  MAX_CALLS = 12000,
};

static const char *const app = "drafts";

/* How a caller fared. */
typedef struct call
{
  int64_t arrived_ms;
  int64_t send_ms;  /* next time that it sends its request; -1: none */
  int64_t heard_ms; /* when it got the first event; -1: never */
  int64_t queued_ms;
  int32_t priority;
  int32_t account;
  bool waits;
  int32_t refusals;
} call_t;

/* A request that runs at an endpoint. */
typedef struct run
{
  bt_route_t route;
  int64_t end_ms;
} run_t;

/* What is played. */
typedef struct play
{
  bool late_last;
  bool outage;
  bool callers_return;    /* refused callers send again when they are told to */
  int64_t burst_start_ms; /* 0: none */
  int64_t burst_ms;
  int32_t low_percent; /* demand of the low kind during the burst */
  int64_t run_ms;
} play_t;

static bt_context_t *ctx;
static bt_router_t *router;
static bt_group_outages_t *outages;
static bt_admission_t *admission;
static bt_random_t draws;
static play_t play;
static call_t calls[MAX_CALLS];
static int32_t call_count;
static run_t runs[RANKS * SLOTS];
static int32_t run_count;
static int32_t late_served;
static int32_t counted_late;         /* of these, by the decisions */
static int32_t refused;              /* queued requests that were refused */
static int32_t refused_last;         /* of these, after a long wait */
static int32_t refused_without_time; /* of these, without a time to return */

static bt_identity_t
make_identity (int32_t rank, int32_t incarnation)
{
  bt_identity_t identity = { .incarnation = (uint64_t)incarnation };

  snprintf (identity.instance, sizeof identity.instance, "i-%d", rank);
  return identity;
}

static void
list_rank (int32_t rank, int32_t incarnation, int64_t now_ms)
{
  bt_endpoint_t endpoint = { .identity = make_identity (rank, incarnation) };

  bt_copy_name (endpoint.app, app);
  bt_put_endpoint (ctx, router, &endpoint, now_ms);
  bt_record_rank_listed (ctx, outages, &endpoint.identity, app, now_ms);
}

static void
report_group (int32_t epoch, bool open, int64_t now_ms)
{
  const bt_group_state_t state = { "g-0", epoch, open };
  const bt_identity_t identity = make_identity (1, 1);

  bt_record_rank_report (ctx, outages, &identity, &state, now_ms);
}

/* Ends rank 0 at @p start_ms, and forms the group anew with its replacement. */
static void
step_outage (int32_t incarnation, int64_t start_ms, int64_t now_ms)
{
  const bt_identity_t identity = make_identity (0, incarnation);

  if (now_ms == start_ms)
    bt_record_rank_end (ctx, outages, &identity, now_ms);
  else if (now_ms == start_ms + SECOND_MS)
    report_group (incarnation, false, now_ms);
  else if (now_ms == start_ms + (int64_t)2 * SECOND_MS)
    {
      bt_remove_endpoint (ctx, router, &identity);
      bt_record_rank_removed (ctx, outages, &identity);
      list_rank (0, incarnation + 1, now_ms);
    }
  else if (now_ms == start_ms + FORMING_MS)
    report_group (incarnation + 1, true, now_ms);
}

static void
open_fixture (void)
{
  bt_router_options_t routing;
  bt_admission_options_t options;

  ctx = bt_new_context ();
  bt_default_router_options (&routing);
  routing.default_slots = SLOTS;
  routing.default_service_ms = play.run_ms;
  routing.queue_depth = 0;
  router = bt_new_router (ctx, &routing);
  outages = bt_new_group_outages (ctx, router);
  bt_default_admission_options (&options);
  admission = bt_new_admission (ctx, router, &options);
  bt_set_admission_outages (admission, outages);
  bt_seed_random (&draws, 7);
  call_count = 0;
  run_count = 0;
  late_served = 0;
  counted_late = 0;
  refused = 0;
  refused_last = 0;
  refused_without_time = 0;
  for (int32_t i = 0; i < RANKS; i++)
    list_rank (i, 1, 0);
  for (int32_t i = 0; i < RANKS; i++)
    {
      const bt_group_state_t state = { "g-0", 1, true };
      const bt_identity_t identity = make_identity (i, 1);

      bt_record_rank_report (ctx, outages, &identity, &state, 0);
    }
}

static void
close_fixture (void)
{
  bt_drop_admission (ctx, admission);
  bt_drop_group_outages (ctx, outages);
  bt_drop_router (ctx, router);
  bt_drop_context (ctx);
}

static int64_t
get_aim_ms (const call_t *call)
{
  return call->priority == LOW ? LOW_AIM_MS : AIM_MS;
}

static void
start_run (call_t *call, int64_t now_ms)
{
  const bt_route_request_t request = { .app = app, .seed = bt_next_random (&draws) };
  run_t *run = &runs[run_count];
  int64_t retry_after_ms;

  CU_ASSERT_FATAL (run_count < RANKS * SLOTS);
  CU_ASSERT_EQUAL_FATAL (
      bt_choose_endpoint (router, &request, now_ms, &run->route, &retry_after_ms), BT_REASON_NONE);
  bt_record_dispatch (router, &run->route, 0, now_ms);
  run->end_ms = now_ms + play.run_ms;
  run_count++;
  call->heard_ms = now_ms + FIRST_EVENT_MS;
  if (now_ms - call->queued_ms > get_aim_ms (call) / 2)
    late_served++;
}

static void
apply (const bt_admission_decision_t *decision, int64_t now_ms)
{
  call_t *call = &calls[decision->id];

  if (call->waits && decision->action == BT_ADMISSION_REFUSE)
    {
      refused++;
      refused_last += now_ms - call->queued_ms >= LONG_WAIT_MS ? 1 : 0;
      refused_without_time += decision->retry_after_ms <= 0 ? 1 : 0;
    }
  counted_late += decision->order == BT_QUEUE_ORDER_LATE ? 1 : 0;
  call->waits = decision->action == BT_ADMISSION_QUEUE;
  if (decision->action == BT_ADMISSION_ADMIT)
    start_run (call, now_ms);
  if (decision->action != BT_ADMISSION_REFUSE)
    return;
  call->refusals++;
  if (play.callers_return && now_ms + decision->retry_after_ms < call->arrived_ms + DEADLINE_MS)
    call->send_ms = now_ms + (decision->retry_after_ms > 1 ? decision->retry_after_ms : 1);
}

static void
send_call (int32_t id, int64_t now_ms)
{
  call_t *call = &calls[id];
  char account[BT_NAME_BYTES];
  const bt_admission_request_t request = {
    .id = (uint64_t)id,
    .app = app,
    .account = account,
    .priority = call->priority,
    .deadline_left_ms = call->arrived_ms + DEADLINE_MS - now_ms,
    .target_left_ms = get_aim_ms (call) / 2,
    .patience_left_ms = PATIENCE_MS,
    .late_last = play.late_last,
    .seed = bt_next_random (&draws),
  };
  bt_admission_decision_t decision;

  snprintf (account, sizeof account, "a-%d", call->account);
  call->send_ms = -1;
  call->queued_ms = now_ms;
  bt_decide_admission (ctx, admission, &request, now_ms, &decision);
  apply (&decision, now_ms);
}

static void
add_call (int32_t priority, int64_t now_ms)
{
  CU_ASSERT_FATAL (call_count < MAX_CALLS);
  calls[call_count] = (call_t){ .arrived_ms = now_ms,
                                .send_ms = -1,
                                .heard_ms = -1,
                                .priority = priority,
                                .account = (int32_t)bt_random_below (&draws, ACCOUNTS) };
  send_call (call_count++, now_ms);
}

static bool
is_in_burst (int64_t now_ms)
{
  return play.burst_ms > 0 && now_ms >= play.burst_start_ms
         && now_ms < play.burst_start_ms + play.burst_ms;
}

/* Three kinds of equal demand, in a random order. */
static void
add_arrivals (int64_t now_ms)
{
  if (now_ms < LOAD_START_MS || now_ms >= LOAD_END_MS)
    return;
  for (int32_t priority = LOW; priority <= HIGH; priority++)
    {
      const int32_t percent = priority == LOW && is_in_burst (now_ms) ? play.low_percent : 100;

      if ((int32_t)bt_random_below (&draws, (uint64_t)PRIORITIES * SECOND_MS * 100)
          < ARRIVALS_PER_S * percent)
        add_call (priority, now_ms);
    }
}

static void
end_runs (int64_t now_ms)
{
  for (int32_t i = run_count - 1; i >= 0; i--)
    if (runs[i].end_ms <= now_ms)
      {
        bt_record_attempt_end (router, &runs[i].route, BT_ATTEMPT_ANSWERED, play.run_ms, now_ms);
        runs[i] = runs[--run_count];
      }
}

static void
run_play (const play_t *played)
{
  bt_admission_decision_t decision;

  play = *played;
  open_fixture ();
  for (int64_t now_ms = 1; now_ms < END_MS; now_ms++)
    {
      /* An earlier outage, from which the entry estimates how long the next one takes. */
      step_outage (1, SECOND_MS, now_ms);
      if (play.outage)
        step_outage (2, OUTAGE_MS, now_ms);
      end_runs (now_ms);
      for (int32_t i = 0; i < call_count; i++)
        if (calls[i].send_ms == now_ms)
          send_call (i, now_ms);
      add_arrivals (now_ms);
      while (bt_next_admission (admission, now_ms, &decision))
        apply (&decision, now_ms);
    }
  CU_ASSERT_EQUAL (bt_count_queued_requests (admission, app), 0);
  close_fixture ();
}

static bool
is_in_time (const call_t *call)
{
  return call->heard_ms >= 0 && call->heard_ms - call->arrived_ms <= get_aim_ms (call);
}

/* Returns the share in time of the calls of some priorities that arrived in a span, in percent. */
static double
get_in_time_percent (int64_t from_ms, int64_t to_ms, int32_t lowest)
{
  int32_t arrived = 0;
  int32_t in_time = 0;

  for (int32_t i = 0; i < call_count; i++)
    if (calls[i].arrived_ms >= from_ms && calls[i].arrived_ms < to_ms
        && calls[i].priority >= lowest)
      {
        arrived++;
        in_time += is_in_time (&calls[i]) ? 1 : 0;
      }
  return arrived == 0 ? 100 : 100.0 * in_time / arrived;
}

/* Returns when the first call that arrived after the group's return and was in time had arrived. */
static int64_t
get_first_in_time_ms (void)
{
  for (int32_t i = 0; i < call_count; i++)
    if (calls[i].arrived_ms >= RETURN_MS && is_in_time (&calls[i]))
      return calls[i].arrived_ms;
  return END_MS;
}

/* Guards against late requests that delay fresh ones: after an outage, those that had waited
 * through it were served before fresh ones of lower priority, which became late in turn. */
static void
test_late_requests_do_not_delay_fresh_ones (void)
{
  const play_t played = { .late_last = true, .outage = true, .run_ms = RUN_MS };
  double calm;

  run_play (&played);
  calm = get_in_time_percent (LOAD_START_MS, OUTAGE_MS - SECOND_MS, LOW);
  CU_ASSERT (calm >= 95);
  CU_ASSERT (get_first_in_time_ms () <= RETURN_MS + SECOND_MS);
  for (int64_t from_ms = RETURN_MS; from_ms < LOAD_END_MS; from_ms += SECOND_MS / 2)
    CU_ASSERT (get_in_time_percent (from_ms, from_ms + SECOND_MS / 2, LOW) >= 0.9 * calm);
  CU_ASSERT (late_served > 0);
  CU_ASSERT_EQUAL (counted_late, late_served);
}

enum
{
  QUEUE_ITEMS = 64,
  EARLY_MS = 100,
  LATER_MS = 1000,
  LATE_ITEMS = 4,
};

static bt_fair_queue_t *queue;

static void
push (uint64_t id, int32_t priority, int64_t target_ms, int64_t queued_ms)
{
  const bt_fair_item_t item = { .id = id,
                                .priority = priority,
                                .give_up_ms = INT64_MAX,
                                .target_ms = target_ms,
                                .queued_ms = queued_ms };

  CU_ASSERT_TRUE (bt_push_fair_item (ctx, queue, priority == HIGH ? "a" : "b", &item));
}

static uint64_t
pop (void)
{
  bt_fair_item_t item;

  return bt_pop_fair_item (queue, LATER_MS, &item) ? item.id : 0;
}

static void
open_queue (bool late_last)
{
  ctx = bt_new_context ();
  queue = bt_new_fair_queue (ctx, QUEUE_ITEMS);
  bt_set_fair_queue_late_last (queue, late_last);
}

static void
close_queue (void)
{
  bt_drop_fair_queue (ctx, queue);
  bt_drop_context (ctx);
}

/* Guards against late requests that wait for ever while fresh ones keep arriving: every eighth
 * served one is the late one that has waited longest, whatever its priority. */
static void
test_late_requests_are_not_starved (void)
{
  uint64_t fresh = 0;

  open_queue (true);
  push (1002, HIGH, EARLY_MS, 2);
  push (1001, LOW, EARLY_MS, 1);
  push (1004, NORMAL, EARLY_MS, 4);
  push (1003, LOW, EARLY_MS, 3);
  for (uint64_t served = 1; served <= (uint64_t)LATE_ITEMS * BT_LATE_SERVICE_INTERVAL; served++)
    {
      uint64_t id;

      push (++fresh, served % 2 == 0 ? HIGH : LOW, LATER_MS, LATER_MS);
      id = pop ();
      CU_ASSERT (served % BT_LATE_SERVICE_INTERVAL == 0
                     ? id == 1000 + served / BT_LATE_SERVICE_INTERVAL
                     : id < 1000);
    }
  close_queue ();
}

/* Guards against a changed order for apps that are not contended: priority goes first there, and
 * late requests come last only within their priority. */
static void
test_other_apps_keep_their_order (void)
{
  open_queue (false);
  push (1, LOW, LATER_MS, 3);
  push (2, HIGH, EARLY_MS, 1);
  push (3, HIGH, LATER_MS, 2);
  CU_ASSERT_EQUAL (pop (), 3);
  CU_ASSERT_EQUAL (pop (), 2);
  CU_ASSERT_EQUAL (pop (), 1);
  for (uint64_t id = 1; id <= (uint64_t)2 * BT_LATE_SERVICE_INTERVAL; id++)
    push (id, HIGH, LATER_MS, (int64_t)id);
  push (1001, LOW, EARLY_MS, 0);
  for (uint64_t id = 1; id <= (uint64_t)2 * BT_LATE_SERVICE_INTERVAL; id++)
    CU_ASSERT_EQUAL (pop (), id);
  CU_ASSERT_EQUAL (bt_count_fair_items_ahead (queue, "b", 1, LOW, LATER_MS), 1);
  close_queue ();
}

/* Guards against refusing a fresh request because of late ones that are served after it. */
static void
test_late_requests_are_not_counted_ahead (void)
{
  open_queue (true);
  push (1, HIGH, EARLY_MS, 1);
  push (2, LOW, EARLY_MS, 2);
  push (3, LOW, LATER_MS, 3);
  CU_ASSERT_EQUAL (bt_count_fair_items_ahead (queue, "b", 1, LOW, LATER_MS), 1);
  CU_ASSERT_EQUAL (bt_count_fair_account_items (queue, "b", LOW, LATER_MS), 1);
  CU_ASSERT_EQUAL (bt_count_late_fair_items (queue, LATER_MS), 2);
  CU_ASSERT_EQUAL (pop (), 3);
  CU_ASSERT_EQUAL (pop (), 1);
  close_queue ();
}

/* Plays an outage behind which refused callers return, and returns the lowest share in time, in
 * percent, of the calls that arrive in one second from two seconds after the group's return on. */
static double
play_return (bool late_last)
{
  const play_t played = {
    .late_last = late_last, .outage = true, .run_ms = RUN_MS, .callers_return = true
  };
  double lowest = 100;

  run_play (&played);
  for (int64_t from_ms = RETURN_MS + 2 * SECOND_MS; from_ms < LOAD_END_MS; from_ms += SECOND_MS)
    {
      const double percent = get_in_time_percent (from_ms, from_ms + SECOND_MS, LOW);

      lowest = percent < lowest ? percent : lowest;
    }
  return lowest;
}

/* Guards against a backlog that comes back as one wave: refused callers were told to return within
 * 1.5 s of the end of the outage, and made fresh requests late for ten seconds. */
static void
test_returning_callers_do_not_delay_fresh_requests (void)
{
  double calm;

  CU_ASSERT (play_return (true) >= 90);
  calm = get_in_time_percent (LOAD_START_MS, OUTAGE_MS - SECOND_MS, LOW);
  CU_ASSERT (calm >= 95);
  CU_ASSERT (get_first_in_time_ms () <= RETURN_MS + SECOND_MS);
  CU_ASSERT (play_return (false) < 90);
}

/* Returns the share of calls that were served, in percent, of a priority and an account, each of
 * them -1 for all. */
static double
get_served_percent (int32_t priority, int32_t account)
{
  int32_t arrived = 0;
  int32_t served = 0;

  for (int32_t i = 0; i < call_count; i++)
    if ((priority < 0 || calls[i].priority == priority)
        && (account < 0 || calls[i].account == account) && calls[i].arrived_ms >= OUTAGE_MS
        && calls[i].arrived_ms < RETURN_MS)
      {
        arrived++;
        served += calls[i].heard_ms >= 0 ? 1 : 0;
      }
  return arrived == 0 ? 100 : 100.0 * served / arrived;
}

/* Guards against a priority or an account that is served nothing while others are: of those that
 * arrive during an outage, each gets at least a quarter of the share of all. */
static void
test_no_priority_or_account_is_starved (void)
{
  double all;

  play_return (true);
  all = get_served_percent (-1, -1);
  CU_ASSERT (all > 20);
  for (int32_t priority = LOW; priority <= HIGH; priority++)
    CU_ASSERT (get_served_percent (priority, -1) >= all / 4);
  for (int32_t account = 0; account < ACCOUNTS; account++)
    CU_ASSERT (get_served_percent (-1, account) >= all / 4);
}

/* Guards against a burst of the low kind that makes the others late. */
static void
test_burst_of_low_requests_costs_the_others_little (void)
{
  play_t played = { .late_last = true, .run_ms = BUSY_RUN_MS, .callers_return = true };
  double calm;

  run_play (&played);
  calm = get_in_time_percent (OUTAGE_MS, OUTAGE_MS + 2 * SECOND_MS, NORMAL);
  played.burst_start_ms = OUTAGE_MS;
  played.burst_ms = BURST_MS;
  played.low_percent = BURST_PERCENT;
  run_play (&played);
  CU_ASSERT (get_in_time_percent (OUTAGE_MS, OUTAGE_MS + BURST_MS + 2 * SECOND_MS, NORMAL)
             >= calm - 2);
}

/* Guards against late requests that are kept until their callers leave: those that can't be served
 * in time are refused at once, with a time to return. */
static void
test_hopeless_late_requests_are_refused_early (void)
{
  const play_t played = { .late_last = true, .outage = true, .run_ms = RUN_MS };

  run_play (&played);
  CU_ASSERT (refused > 0);
  CU_ASSERT_EQUAL (refused_last, 0);
  CU_ASSERT_EQUAL (refused_without_time, 0);
}

/* Fills the endpoints and the queue with low requests. Returns the id of the last queued one. */
static int32_t
fill_queue (bool late_last)
{
  int32_t last = 0;

  play = (play_t){ .late_last = late_last, .run_ms = RUN_MS };
  open_fixture ();
  for (int32_t i = 0; i < FILLING_CALLS; i++)
    {
      add_call (LOW, 1);
      last = calls[i].waits ? i : last;
    }
  return last;
}

/* Adds urgent requests, all of which are queued. */
static void
add_urgent_calls (void)
{
  for (int32_t i = 0; i < URGENT_CALLS; i++)
    {
      add_call (HIGH, 2);
      CU_ASSERT_TRUE (calls[call_count - 1].waits);
    }
}

/* Guards against low requests that wait although more urgent ones have taken their place: the last
 * ones are refused at once, told when to return, and not sent later. */
static void
test_urgent_requests_displace_the_last_low_ones (void)
{
  const int32_t last = fill_queue (true);
  const int32_t queued = bt_count_queued_requests (admission, app);
  bt_admission_decision_t decision;
  int32_t displaced = 0;

  CU_ASSERT_FALSE (bt_next_admission (admission, 1, &decision));
  add_urgent_calls ();
  CU_ASSERT_EQUAL (bt_count_queued_requests (admission, app), queued + URGENT_CALLS);
  while (bt_next_admission (admission, 2, &decision))
    {
      displaced++;
      CU_ASSERT_EQUAL (decision.action, BT_ADMISSION_REFUSE);
      CU_ASSERT_TRUE (decision.displaced);
      CU_ASSERT (decision.retry_after_ms > 0);
      CU_ASSERT_EQUAL (calls[decision.id].priority, LOW);
      CU_ASSERT ((int32_t)decision.id > last - FILLING_CALLS / 2);
      CU_ASSERT_FALSE (bt_cancel_admission (admission, decision.id));
    }
  CU_ASSERT (displaced > 0);
  CU_ASSERT (displaced < URGENT_CALLS);
  CU_ASSERT_EQUAL (bt_count_queued_requests (admission, app), queued + URGENT_CALLS - displaced);
  close_fixture ();
}

/* Guards against a second answer to a caller that leaves just after it was displaced. */
static void
test_displaced_request_can_be_cancelled (void)
{
  const int32_t last = fill_queue (true);
  bt_admission_decision_t decision;
  int32_t displaced = 0;

  add_urgent_calls ();
  CU_ASSERT_TRUE (bt_cancel_admission (admission, (uint64_t)last));
  while (bt_next_admission (admission, 2, &decision))
    {
      displaced++;
      CU_ASSERT_NOT_EQUAL (decision.id, (uint64_t)last);
    }
  CU_ASSERT (displaced > 0);
  close_fixture ();
}

/* Guards against displacing requests of apps that are not contended. */
static void
test_other_apps_displace_nothing (void)
{
  bt_admission_decision_t decision;

  fill_queue (false);
  for (int32_t i = 0; i < URGENT_CALLS; i++)
    add_call (HIGH, 2);
  CU_ASSERT_FALSE (bt_next_admission (admission, 2, &decision));
  close_fixture ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("backlog_order", NULL, NULL);
  CU_ADD_TEST (suite, test_late_requests_do_not_delay_fresh_ones);
  CU_ADD_TEST (suite, test_late_requests_are_not_starved);
  CU_ADD_TEST (suite, test_other_apps_keep_their_order);
  CU_ADD_TEST (suite, test_late_requests_are_not_counted_ahead);
  CU_ADD_TEST (suite, test_returning_callers_do_not_delay_fresh_requests);
  CU_ADD_TEST (suite, test_no_priority_or_account_is_starved);
  CU_ADD_TEST (suite, test_burst_of_low_requests_costs_the_others_little);
  CU_ADD_TEST (suite, test_hopeless_late_requests_are_refused_early);
  CU_ADD_TEST (suite, test_urgent_requests_displace_the_last_low_ones);
  CU_ADD_TEST (suite, test_displaced_request_can_be_cancelled);
  CU_ADD_TEST (suite, test_other_apps_displace_nothing);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
