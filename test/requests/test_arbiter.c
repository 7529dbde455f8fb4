#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/requests/arbiter.h"

enum
{
  NOW_MS = 1000,
  LIFE_MS = 5000,
  GRACE_MS = 100,
  KEEP_MS = 2000,
  ANSWER_LIMIT = 64,
};

static const bt_identity_t home = { "home", 11 };
static const bt_identity_t other = { "other", 22 };

/* One arbiter with what it did last. */
typedef struct bench
{
  bt_context_t *ctx;
  bt_arbiter_t *arbiter;
  bt_arbiter_actions_t actions;
  int64_t now_ms;
} bench_t;

static bench_t
open_bench (const bt_identity_t *self, uint64_t max_records)
{
  bench_t bench = { .ctx = bt_new_context (), .now_ms = NOW_MS };
  bt_arbiter_options_t options = {
    .self = *self,
    .max_records = max_records,
    .tombstone_reserve = 1,
    .max_bytes = 1 << 20,
    .max_answer_bytes = ANSWER_LIMIT,
    .keep_answer_ms = KEEP_MS,
    .grace_ms = GRACE_MS,
    .ticket_life_ms = LIFE_MS,
    .max_resumes = 1,
  };

  bench.arbiter = bt_new_arbiter (bench.ctx, &options);
  return bench;
}

static void
close_bench (bench_t *bench)
{
  bt_free_arbiter_actions (bench->ctx, &bench->actions);
  bt_drop_arbiter (bench->ctx, bench->arbiter);
  bt_drop_context (bench->ctx);
}

static bt_ticket_t
make_ticket (uint8_t number)
{
  bt_ticket_t ticket = { .home = home, .expires_ms = NOW_MS + LIFE_MS };

  ticket.key.bytes[0] = number;
  return ticket;
}

static bt_dispatch_t
make_dispatch (const bt_identity_t *target, uint8_t key, uint64_t call)
{
  bt_dispatch_t dispatch = { .path = { 1, call, 1 },
                             .target = *target,
                             .has_ticket = true,
                             .ticket = make_ticket (key),
                             .body_digest = 7,
                             .deadline_ms = NOW_MS + 100 * LIFE_MS };

  return dispatch;
}

static const bt_arbiter_action_t *
last_action (const bench_t *bench)
{
  static const bt_arbiter_action_t none = { .kind = BT_ARBITER_CANCEL_RUN };

  return bench->actions.count == 0 ? &none : &bench->actions.items[bench->actions.count - 1];
}

static const bt_reply_t *
last (const bench_t *bench)
{
  return &last_action (bench)->reply;
}

static const bt_reply_t *
first_reply (const bench_t *bench)
{
  return &bench->actions.items[0].reply;
}

static const bt_reply_t *
dispatch (bench_t *bench, const bt_dispatch_t *message)
{
  bench->actions.count = 0;
  bt_handle_dispatch (bench->ctx, bench->arbiter, message, bench->now_ms, &bench->actions);
  return last (bench);
}

static bool
starts_run (bench_t *bench, const bt_dispatch_t *message)
{
  dispatch (bench, message);
  return last_action (bench)->kind == BT_ARBITER_START_RUN;
}

static const bt_reply_t *
ask_grant (bench_t *bench, uint8_t key, const bt_identity_t *agent, uint32_t after)
{
  bt_grant_request_t request = { .path = { 1, 50, 1 },
                                 .ticket = make_ticket (key),
                                 .proposal = { *agent, NOW_MS + LIFE_MS, 0 },
                                 .after_number = after };

  bench->actions.count = 0;
  bt_handle_grant_request (bench->ctx, bench->arbiter, &request, bench->now_ms, &bench->actions);
  return last (bench);
}

static const bt_reply_t *
bury (bench_t *bench, const bt_identity_t *target, uint8_t key, const bt_grant_t *grant)
{
  bt_tombstone_request_t request = { .path = { 1, 60, 1 },
                                     .target = *target,
                                     .ticket = make_ticket (key) };

  if (grant != NULL)
    {
      request.has_grant = true;
      request.grant = *grant;
    }
  bench->actions.count = 0;
  bt_handle_tombstone_request (bench->ctx, bench->arbiter, &request, bench->now_ms,
                               &bench->actions);
  return last (bench);
}

static void
feed (bench_t *bench, const bt_run_event_t *event)
{
  bench->actions.count = 0;
  bt_handle_run_event (bench->ctx, bench->arbiter, event, bench->now_ms, &bench->actions);
}

static void
feed_head (bench_t *bench, uint64_t run)
{
  bt_run_event_t event = { .kind = BT_RUN_HEAD, .run = run, .status = 200 };

  feed (bench, &event);
}

static void
feed_piece (bench_t *bench, uint64_t run, uint64_t offset, const char *text)
{
  bt_run_event_t event = { .kind = BT_RUN_PIECE,
                           .run = run,
                           .offset_bytes = offset,
                           .data = text,
                           .data_bytes = strlen (text),
                           .resumable = true };

  feed (bench, &event);
}

static void
feed_end (bench_t *bench, uint64_t run, uint64_t total)
{
  bt_run_event_t event = {
    .kind = BT_RUN_END, .run = run, .total_bytes = total, .resumable = true
  };

  feed (bench, &event);
}

static void
sweep (bench_t *bench, int64_t now_ms)
{
  bench->now_ms = now_ms;
  bt_tick_arbiter (bench->ctx, bench->arbiter, now_ms);
}

/* A caller sends its order again through another entry while the first copy runs, and once more
 * after it ended. All three must get the one answer; a second run would be a second order. */
static void
test_copies_share_one_run (void)
{
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t first = make_dispatch (&home, 1, 1);
  bt_dispatch_t second = make_dispatch (&home, 1, 2);
  bt_dispatch_t third = make_dispatch (&home, 1, 3);

  CU_ASSERT_TRUE (starts_run (&bench, &first));
  CU_ASSERT_EQUAL (first_reply (&bench)->kind, BT_REPLY_ACCEPTED);
  dispatch (&bench, &first);
  CU_ASSERT_EQUAL (bench.actions.count, 0);
  feed_head (&bench, 1);
  feed_piece (&bench, 1, 0, "one,");
  CU_ASSERT_EQUAL (bench.actions.count, 1);
  CU_ASSERT_EQUAL (dispatch (&bench, &second)->kind, BT_REPLY_PIECE);
  CU_ASSERT_TRUE (first_reply (&bench)->attached);
  feed_piece (&bench, 1, 2, "e,two");
  CU_ASSERT_EQUAL (bench.actions.count, 2);
  CU_ASSERT_EQUAL (last (&bench)->data_bytes, 3);
  CU_ASSERT_EQUAL (last (&bench)->sequence, 1);
  feed_end (&bench, 1, 7);
  CU_ASSERT_EQUAL (bench.actions.count, 2);
  CU_ASSERT_EQUAL (last (&bench)->kind, BT_REPLY_END);
  third.from_sequence = 1;
  CU_ASSERT_EQUAL (dispatch (&bench, &third)->kind, BT_REPLY_END);
  CU_ASSERT_EQUAL (bench.actions.count, 4);
  CU_ASSERT_EQUAL (last (&bench)->pieces, 2);
  CU_ASSERT_EQUAL (last (&bench)->total_bytes, 7);
  CU_ASSERT_EQUAL (bt_count_arbiter_runs (bench.arbiter), 0);
  close_bench (&bench);
}

/* Two entries that race propose different agents for one key. Home must name one of them to both,
 * and another only after that one promised never to run the key. */
static void
test_a_grant_moves_only_after_a_tombstone (void)
{
  static const bt_identity_t third = { "third", 33 };
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t to_home = make_dispatch (&home, 1, 1);
  bt_grant_t grant;

  CU_ASSERT_TRUE (ask_grant (&bench, 1, &other, 0)->granted);
  grant = last (&bench)->grant;
  CU_ASSERT_EQUAL (grant.number, 1);
  CU_ASSERT_TRUE (bt_same_identity (&ask_grant (&bench, 1, &third, 0)->grant.agent, &other));
  CU_ASSERT_TRUE (dispatch (&bench, &to_home)->has_grant);
  CU_ASSERT_EQUAL (last (&bench)->outcome, BT_OUTCOME_NOT_RUN);
  CU_ASSERT_FALSE (bury (&bench, &home, 1, NULL)->tombstoned);
  CU_ASSERT_EQUAL (last (&bench)->state, BT_RECORD_GRANTED);
  CU_ASSERT_TRUE (bt_same_identity (&ask_grant (&bench, 1, &third, 1)->grant.agent, &third));
  CU_ASSERT_EQUAL (last (&bench)->grant.number, 2);
  CU_ASSERT_FALSE (bury (&bench, &home, 1, &grant)->tombstoned);
  grant = last (&bench)->grant;
  CU_ASSERT_TRUE (bury (&bench, &home, 1, &grant)->tombstoned);
  CU_ASSERT_EQUAL (ask_grant (&bench, 1, &other, 2)->reason, BT_REASON_KEY_TOMBSTONED);
  CU_ASSERT_EQUAL (dispatch (&bench, &to_home)->reason, BT_REASON_KEY_TOMBSTONED);
  close_bench (&bench);
}

static void
test_home_may_grant_to_itself (void)
{
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t to_home = make_dispatch (&home, 1, 1);

  ask_grant (&bench, 1, &other, 0);
  to_home.has_grant = true;
  to_home.grant = ask_grant (&bench, 1, &home, 1)->grant;
  to_home.grant.number = 1;
  CU_ASSERT_TRUE (dispatch (&bench, &to_home)->has_grant);
  to_home.grant.number = 2;
  CU_ASSERT_TRUE (starts_run (&bench, &to_home));
  CU_ASSERT_TRUE (ask_grant (&bench, 1, &other, 2)->home_runs);
  close_bench (&bench);
}

/* A granted agent refused a copy as full; the entry wants to place the key elsewhere while another
 * copy is still under way. Once the tombstone is given the late copy must not start. */
static void
test_a_tombstone_stops_late_copies (void)
{
  bench_t bench = open_bench (&other, 10);
  bt_dispatch_t late = make_dispatch (&other, 1, 1);

  late.has_grant = true;
  late.grant = (bt_grant_t){ other, NOW_MS + LIFE_MS, 1 };
  late.admission = BT_REASON_ENDPOINT_FULL;
  late.admission_retry_ms = 40;
  CU_ASSERT_EQUAL (dispatch (&bench, &late)->reason, BT_REASON_ENDPOINT_FULL);
  CU_ASSERT_EQUAL (last (&bench)->retry_after_ms, 40);
  CU_ASSERT_TRUE (bury (&bench, &other, 1, &late.grant)->tombstoned);
  CU_ASSERT_TRUE (bury (&bench, &other, 1, &late.grant)->tombstoned);
  late.admission = BT_REASON_NONE;
  CU_ASSERT_EQUAL (dispatch (&bench, &late)->reason, BT_REASON_KEY_TOMBSTONED);
  sweep (&bench, NOW_MS + LIFE_MS + GRACE_MS);
  CU_ASSERT_EQUAL (bt_count_arbiter_records (bench.arbiter), 0);
  CU_ASSERT_EQUAL (dispatch (&bench, &late)->reason, BT_REASON_KEY_EXPIRED);
  CU_ASSERT_EQUAL (bury (&bench, &other, 1, &late.grant)->state, BT_RECORD_EXPIRED);
  CU_ASSERT_FALSE (last (&bench)->tombstoned);
  close_bench (&bench);
}

/* A key came back to an agent that had tombstoned it under an earlier grant. The old tombstone was
 * dropped at the end of the earlier grant, and a late copy under the later one ran, after the
 * caller had been told not-run. */
static void
test_a_tombstone_outlives_each_grant_it_answered (void)
{
  bench_t bench = open_bench (&other, 10);
  bt_grant_t early = { other, NOW_MS + 10, 1 };
  bt_dispatch_t late = make_dispatch (&other, 1, 1);

  late.has_grant = true;
  late.grant = (bt_grant_t){ other, NOW_MS + LIFE_MS, 3 };
  bury (&bench, &other, 1, &early);
  CU_ASSERT_EQUAL (dispatch (&bench, &late)->reason, BT_REASON_KEY_TOMBSTONED);
  sweep (&bench, NOW_MS + LIFE_MS - 1);
  CU_ASSERT_EQUAL (dispatch (&bench, &late)->reason, BT_REASON_KEY_TOMBSTONED);
  close_bench (&bench);
}

/* Home granted a key to itself for longer than its ticket lives, then tombstoned it. A copy under
 * that grant arrived after the tombstone had gone with the ticket, and ran. */
static void
test_no_grant_outlives_the_ticket_at_home (void)
{
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t late = make_dispatch (&home, 1, 1);

  late.has_grant = true;
  late.grant = ask_grant (&bench, 1, &home, 0)->grant;
  late.grant.expires_ms = NOW_MS + 2 * LIFE_MS;
  CU_ASSERT_TRUE (bury (&bench, &home, 1, NULL)->tombstoned);
  sweep (&bench, NOW_MS + LIFE_MS + GRACE_MS);
  CU_ASSERT_EQUAL (dispatch (&bench, &late)->reason, BT_REASON_KEY_EXPIRED);
  close_bench (&bench);
}

/* The agent restarts after its endpoint took the order, and a copy arrives. It remembers nothing,
 * so it may neither run the copy nor say that the order did not run. */
static void
test_an_earlier_start_makes_it_unknown (void)
{
  static const bt_identity_t restarted = { "home", 12 };
  static const bt_identity_t stranger = { "stranger", 11 };
  bench_t bench = open_bench (&restarted, 10);
  bench_t elsewhere = open_bench (&stranger, 10);
  bt_dispatch_t copy = make_dispatch (&home, 1, 1);
  bt_dispatch_t copy_of_grant = make_dispatch (&restarted, 1, 1);

  CU_ASSERT_EQUAL (dispatch (&bench, &copy)->outcome, BT_OUTCOME_UNKNOWN);
  copy.target = restarted;
  CU_ASSERT_EQUAL (dispatch (&bench, &copy)->reason, BT_REASON_HOME_RESTARTED);
  copy_of_grant.has_grant = true;
  copy_of_grant.grant = (bt_grant_t){ home, NOW_MS + LIFE_MS, 1 };
  CU_ASSERT_EQUAL (dispatch (&bench, &copy_of_grant)->reason, BT_REASON_AGENT_RESTARTED);
  CU_ASSERT_EQUAL (ask_grant (&bench, 1, &other, 0)->outcome, BT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (bury (&bench, &home, 1, NULL)->state, BT_RECORD_FOREIGN);
  CU_ASSERT_EQUAL (bury (&bench, &restarted, 1, NULL)->state, BT_RECORD_FOREIGN);
  CU_ASSERT_EQUAL (dispatch (&elsewhere, &copy)->reason, BT_REASON_WRONG_INSTANCE);
  CU_ASSERT_EQUAL (bt_count_arbiter_records (bench.arbiter), 0);
  close_bench (&elsewhere);
  close_bench (&bench);
}

static void
test_a_key_belongs_to_one_body (void)
{
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t first = make_dispatch (&home, 1, 1);
  bt_dispatch_t second = make_dispatch (&home, 1, 2);

  second.body_digest = 8;
  dispatch (&bench, &first);
  CU_ASSERT_EQUAL (dispatch (&bench, &second)->reason, BT_REASON_KEY_REUSED);
  close_bench (&bench);
}

/* Records are full in a burst. New keys are refused as not run, which needs tombstones; when their
 * reserve is full too, one floor over expiries stands for all of them, and must keep late copies
 * out once there is room again. No old record may go before its time, or its key could run again.
 */
static void
test_full_records_refuse_new_keys_only (void)
{
  bench_t bench = open_bench (&home, 2);
  bt_dispatch_t message;

  for (uint8_t key = 1; key <= 2; key++)
    {
      message = make_dispatch (&home, key, key);
      CU_ASSERT_TRUE (starts_run (&bench, &message));
      feed_head (&bench, key);
      feed_piece (&bench, key, 0, "answer");
      feed_end (&bench, key, 6);
    }
  message = make_dispatch (&home, 3, 3);
  CU_ASSERT_EQUAL (dispatch (&bench, &message)->reason, BT_REASON_RECORDS_FULL);
  CU_ASSERT_EQUAL (ask_grant (&bench, 3, &other, 0)->reason, BT_REASON_RECORDS_FULL);
  CU_ASSERT_TRUE (bury (&bench, &home, 3, NULL)->tombstoned);
  CU_ASSERT_TRUE (bury (&bench, &home, 4, NULL)->tombstoned);
  message = make_dispatch (&home, 4, 4);
  CU_ASSERT_EQUAL (dispatch (&bench, &message)->reason, BT_REASON_KEY_TOMBSTONED);
  CU_ASSERT_EQUAL (ask_grant (&bench, 4, &other, 0)->reason, BT_REASON_KEY_TOMBSTONED);
  message.ticket.expires_ms++;
  CU_ASSERT_EQUAL (dispatch (&bench, &message)->reason, BT_REASON_RECORDS_FULL);
  sweep (&bench, NOW_MS + LIFE_MS - 1);
  message = make_dispatch (&home, 1, 9);
  CU_ASSERT_EQUAL (dispatch (&bench, &message)->reason, BT_REASON_ANSWER_DROPPED);
  CU_ASSERT_EQUAL (bt_count_arbiter_records (bench.arbiter), 3);
  sweep (&bench, NOW_MS + LIFE_MS + GRACE_MS);
  CU_ASSERT_EQUAL (bt_count_arbiter_records (bench.arbiter), 0);
  CU_ASSERT_EQUAL (bt_count_arbiter_bytes (bench.arbiter), 0);
  CU_ASSERT_EQUAL (bt_count_arbiter_room (bench.arbiter), 2);
  close_bench (&bench);
}

/* One thread finds a tombstone expired and drops it while another, with an older reading of the
 * clock, holds a late copy. Judged by the older reading the copy would be in time, and run. */
static void
test_time_never_goes_back (void)
{
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t late = make_dispatch (&home, 1, 1);

  bury (&bench, &home, 1, NULL);
  sweep (&bench, NOW_MS + LIFE_MS + GRACE_MS);
  bench.now_ms = NOW_MS;
  CU_ASSERT_EQUAL (dispatch (&bench, &late)->reason, BT_REASON_KEY_EXPIRED);
  close_bench (&bench);
}

static void
test_long_answers_are_not_kept (void)
{
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t first = make_dispatch (&home, 1, 1);
  bt_dispatch_t second = make_dispatch (&home, 1, 2);
  char text[ANSWER_LIMIT + 2];

  memset (text, 'x', sizeof text);
  text[sizeof text - 1] = '\0';
  dispatch (&bench, &first);
  feed_head (&bench, 1);
  feed_piece (&bench, 1, 0, text);
  CU_ASSERT_EQUAL (last (&bench)->data_bytes, ANSWER_LIMIT + 1);
  CU_ASSERT_EQUAL (dispatch (&bench, &second)->reason, BT_REASON_ANSWER_DROPPED);
  feed_piece (&bench, 1, ANSWER_LIMIT + 1, "y");
  CU_ASSERT_EQUAL (bench.actions.count, 1);
  feed_end (&bench, 1, ANSWER_LIMIT + 2);
  CU_ASSERT_EQUAL (bench.actions.count, 1);
  CU_ASSERT_EQUAL (last (&bench)->kind, BT_REPLY_END);
  close_bench (&bench);
}

/* The endpoint's stream falls silent half-way. The run is taken up where it broke off, once; then
 * it counts as one that may have had its effect, and nothing may start it again. */
static void
test_a_silent_stream_is_resumed_then_unknown (void)
{
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t message = make_dispatch (&home, 1, 1);
  bt_run_event_t silent = { .kind = BT_RUN_SILENT, .run = 1, .resumable = true };

  dispatch (&bench, &message);
  feed_head (&bench, 1);
  feed_piece (&bench, 1, 0, "half");
  feed (&bench, &silent);
  CU_ASSERT_EQUAL (last_action (&bench)->kind, BT_ARBITER_RESUME_RUN);
  CU_ASSERT_EQUAL (last_action (&bench)->from_bytes, 4);
  feed (&bench, &silent);
  CU_ASSERT_EQUAL (last (&bench)->reason, BT_REASON_ENGINE_SILENT);
  CU_ASSERT_EQUAL (last (&bench)->outcome, BT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (dispatch (&bench, &message)->reason, BT_REASON_ENGINE_SILENT);
  CU_ASSERT_FALSE (bury (&bench, &home, 1, NULL)->tombstoned);
  CU_ASSERT_TRUE (ask_grant (&bench, 1, &other, 0)->home_runs);
  close_bench (&bench);
}

static void
test_an_endpoint_never_reached_leaves_the_key_open (void)
{
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t message = make_dispatch (&home, 1, 1);
  bt_run_event_t failed = { .kind = BT_RUN_FAILED,
                            .run = 1,
                            .reason = BT_REASON_ENGINE_UNREACHABLE };

  dispatch (&bench, &message);
  feed (&bench, &failed);
  CU_ASSERT_EQUAL (last (&bench)->outcome, BT_OUTCOME_NOT_RUN);
  CU_ASSERT_TRUE (starts_run (&bench, &message));
  failed.run = 2;
  feed (&bench, &failed);
  CU_ASSERT_TRUE (ask_grant (&bench, 1, &other, 0)->granted);
  close_bench (&bench);
}

/* An agent that leaves starts nothing more but stays until no ticket can name it: callers that ask
 * it late must learn whether their order ran. */
static void
test_leaving_refuses_runs_but_stays_arbiter (void)
{
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t running = make_dispatch (&home, 1, 1);
  bt_dispatch_t fresh = make_dispatch (&home, 2, 2);

  dispatch (&bench, &running);
  bt_set_arbiter_leaving (bench.arbiter, NOW_MS);
  CU_ASSERT_EQUAL (dispatch (&bench, &fresh)->reason, BT_REASON_ENDPOINT_LEAVING);
  CU_ASSERT_EQUAL (last (&bench)->outcome, BT_OUTCOME_NOT_RUN);
  CU_ASSERT_TRUE (ask_grant (&bench, 2, &other, 0)->granted);
  CU_ASSERT_FALSE (bt_can_arbiter_exit (bench.arbiter, NOW_MS + LIFE_MS));
  feed_head (&bench, 1);
  feed_end (&bench, 1, 0);
  CU_ASSERT_FALSE (bt_can_arbiter_exit (bench.arbiter, NOW_MS + LIFE_MS - 1));
  CU_ASSERT_TRUE (bt_can_arbiter_exit (bench.arbiter, NOW_MS + LIFE_MS));
  close_bench (&bench);
}

/* The entry dies. A run with a key goes on, for the caller to fetch elsewhere; nobody can fetch one
 * without a key, so it is stopped. */
static void
test_a_dead_link_stops_only_unkeyed_runs (void)
{
  bench_t bench = open_bench (&home, 10);
  bt_dispatch_t keyed = make_dispatch (&home, 1, 1);
  bt_dispatch_t unkeyed = { .path = { 1, 2, 1 }, .target = home, .deadline_ms = NOW_MS + LIFE_MS };

  dispatch (&bench, &keyed);
  CU_ASSERT_TRUE (starts_run (&bench, &unkeyed));
  dispatch (&bench, &unkeyed);
  CU_ASSERT_EQUAL (bench.actions.count, 0);
  bt_handle_link_down (bench.ctx, bench.arbiter, 1, &bench.actions);
  CU_ASSERT_EQUAL (bench.actions.count, 1);
  CU_ASSERT_EQUAL (last_action (&bench)->kind, BT_ARBITER_CANCEL_RUN);
  CU_ASSERT_EQUAL (last_action (&bench)->run, 2);
  CU_ASSERT_EQUAL (bt_count_arbiter_runs (bench.arbiter), 1);
  unkeyed.target.incarnation++;
  CU_ASSERT_EQUAL (dispatch (&bench, &unkeyed)->outcome, BT_OUTCOME_NOT_RUN);
  close_bench (&bench);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("arbiter", NULL, NULL);
  CU_ADD_TEST (suite, test_copies_share_one_run);
  CU_ADD_TEST (suite, test_a_grant_moves_only_after_a_tombstone);
  CU_ADD_TEST (suite, test_home_may_grant_to_itself);
  CU_ADD_TEST (suite, test_a_tombstone_stops_late_copies);
  CU_ADD_TEST (suite, test_a_tombstone_outlives_each_grant_it_answered);
  CU_ADD_TEST (suite, test_no_grant_outlives_the_ticket_at_home);
  CU_ADD_TEST (suite, test_an_earlier_start_makes_it_unknown);
  CU_ADD_TEST (suite, test_a_key_belongs_to_one_body);
  CU_ADD_TEST (suite, test_full_records_refuse_new_keys_only);
  CU_ADD_TEST (suite, test_time_never_goes_back);
  CU_ADD_TEST (suite, test_long_answers_are_not_kept);
  CU_ADD_TEST (suite, test_a_silent_stream_is_resumed_then_unknown);
  CU_ADD_TEST (suite, test_an_endpoint_never_reached_leaves_the_key_open);
  CU_ADD_TEST (suite, test_leaving_refuses_runs_but_stays_arbiter);
  CU_ADD_TEST (suite, test_a_dead_link_stops_only_unkeyed_runs);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
