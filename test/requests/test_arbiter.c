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

/* An arbiter and the actions of its last call. */
typedef struct fixture
{
  bt_context_t *ctx;
  bt_arbiter_t *arbiter;
  bt_arbiter_actions_t actions;
  int64_t now_ms;
} fixture_t;

static fixture_t
open_fixture (const bt_identity_t *self, uint64_t max_records)
{
  fixture_t fixture = { .ctx = bt_new_context (), .now_ms = NOW_MS };
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

  fixture.arbiter = bt_new_arbiter (fixture.ctx, &options);
  return fixture;
}

static void
close_fixture (fixture_t *fixture)
{
  bt_free_arbiter_actions (fixture->ctx, &fixture->actions);
  bt_drop_arbiter (fixture->ctx, fixture->arbiter);
  bt_drop_context (fixture->ctx);
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
last_action (const fixture_t *fixture)
{
  static const bt_arbiter_action_t none = { .kind = BT_ARBITER_CANCEL_RUN };

  return fixture->actions.count == 0 ? &none : &fixture->actions.items[fixture->actions.count - 1];
}

static const bt_reply_t *
last_reply (const fixture_t *fixture)
{
  return &last_action (fixture)->reply;
}

static const bt_reply_t *
first_reply (const fixture_t *fixture)
{
  return &fixture->actions.items[0].reply;
}

static const bt_reply_t *
dispatch (fixture_t *fixture, const bt_dispatch_t *message)
{
  fixture->actions.count = 0;
  bt_handle_dispatch (fixture->ctx, fixture->arbiter, message, fixture->now_ms, &fixture->actions);
  return last_reply (fixture);
}

static bool
starts_run (fixture_t *fixture, const bt_dispatch_t *message)
{
  dispatch (fixture, message);
  return last_action (fixture)->kind == BT_ARBITER_START_RUN;
}

static const bt_reply_t *
request_grant (fixture_t *fixture, uint8_t key, const bt_identity_t *agent, uint32_t after)
{
  bt_grant_request_t request = { .path = { 1, 50, 1 },
                                 .ticket = make_ticket (key),
                                 .proposal = { *agent, NOW_MS + LIFE_MS, 0 },
                                 .after_number = after };

  fixture->actions.count = 0;
  bt_handle_grant_request (fixture->ctx, fixture->arbiter, &request, fixture->now_ms,
                           &fixture->actions);
  return last_reply (fixture);
}

static const bt_reply_t *
request_tombstone (fixture_t *fixture,
                   const bt_identity_t *target,
                   uint8_t key,
                   const bt_grant_t *grant)
{
  bt_tombstone_request_t request = { .path = { 1, 60, 1 },
                                     .target = *target,
                                     .ticket = make_ticket (key) };

  if (grant != NULL)
    {
      request.has_grant = true;
      request.grant = *grant;
    }
  fixture->actions.count = 0;
  bt_handle_tombstone_request (fixture->ctx, fixture->arbiter, &request, fixture->now_ms,
                               &fixture->actions);
  return last_reply (fixture);
}

static void
handle_run_event (fixture_t *fixture, const bt_run_event_t *event)
{
  fixture->actions.count = 0;
  bt_handle_run_event (fixture->ctx, fixture->arbiter, event, fixture->now_ms, &fixture->actions);
}

static void
handle_run_head (fixture_t *fixture, uint64_t run)
{
  bt_run_event_t event = { .kind = BT_RUN_HEAD, .run = run, .status = 200 };

  handle_run_event (fixture, &event);
}

static void
handle_run_piece (fixture_t *fixture, uint64_t run, uint64_t offset, const char *text)
{
  bt_run_event_t event = { .kind = BT_RUN_PIECE,
                           .run = run,
                           .offset_bytes = offset,
                           .data = text,
                           .data_bytes = strlen (text),
                           .resumable = true };

  handle_run_event (fixture, &event);
}

static void
handle_run_end (fixture_t *fixture, uint64_t run, uint64_t total)
{
  bt_run_event_t event = {
    .kind = BT_RUN_END, .run = run, .total_bytes = total, .resumable = true
  };

  handle_run_event (fixture, &event);
}

static void
tick_at (fixture_t *fixture, int64_t now_ms)
{
  fixture->now_ms = now_ms;
  bt_tick_arbiter (fixture->ctx, fixture->arbiter, now_ms);
}

/* Guards against running a request twice when its caller resends it through another entry instance,
 * while the first copy runs and after it has ended. All copies get the answer of the one run. */
static void
test_copies_share_one_run (void)
{
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t first = make_dispatch (&home, 1, 1);
  bt_dispatch_t second = make_dispatch (&home, 1, 2);
  bt_dispatch_t third = make_dispatch (&home, 1, 3);

  CU_ASSERT_TRUE (starts_run (&fixture, &first));
  CU_ASSERT_EQUAL (first_reply (&fixture)->kind, BT_REPLY_ACCEPTED);
  dispatch (&fixture, &first);
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  handle_run_head (&fixture, 1);
  handle_run_piece (&fixture, 1, 0, "one,");
  CU_ASSERT_EQUAL (fixture.actions.count, 1);
  CU_ASSERT_EQUAL (dispatch (&fixture, &second)->kind, BT_REPLY_PIECE);
  CU_ASSERT_TRUE (first_reply (&fixture)->attached);
  handle_run_piece (&fixture, 1, 2, "e,two");
  CU_ASSERT_EQUAL (fixture.actions.count, 2);
  CU_ASSERT_EQUAL (last_reply (&fixture)->data_bytes, 3);
  CU_ASSERT_EQUAL (last_reply (&fixture)->sequence, 1);
  handle_run_end (&fixture, 1, 7);
  CU_ASSERT_EQUAL (fixture.actions.count, 2);
  CU_ASSERT_EQUAL (last_reply (&fixture)->kind, BT_REPLY_END);
  third.from_sequence = 1;
  CU_ASSERT_EQUAL (dispatch (&fixture, &third)->kind, BT_REPLY_END);
  CU_ASSERT_EQUAL (fixture.actions.count, 4);
  CU_ASSERT_EQUAL (last_reply (&fixture)->pieces, 2);
  CU_ASSERT_EQUAL (last_reply (&fixture)->total_bytes, 7);
  CU_ASSERT_EQUAL (bt_count_arbiter_runs (fixture.arbiter), 0);
  close_fixture (&fixture);
}

/* Guards against two agents that may run one key, when two entry instances propose different
 * agents. The home agent grants the key to one agent, and to another only after the first has
 * tombstoned it. */
static void
test_a_grant_moves_only_after_a_tombstone (void)
{
  static const bt_identity_t third = { "third", 33 };
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t to_home = make_dispatch (&home, 1, 1);
  bt_grant_t grant;

  CU_ASSERT_TRUE (request_grant (&fixture, 1, &other, 0)->granted);
  grant = last_reply (&fixture)->grant;
  CU_ASSERT_EQUAL (grant.number, 1);
  CU_ASSERT_TRUE (bt_same_identity (&request_grant (&fixture, 1, &third, 0)->grant.agent, &other));
  CU_ASSERT_TRUE (dispatch (&fixture, &to_home)->has_grant);
  CU_ASSERT_EQUAL (last_reply (&fixture)->outcome, BT_OUTCOME_NOT_RUN);
  CU_ASSERT_FALSE (request_tombstone (&fixture, &home, 1, NULL)->tombstoned);
  CU_ASSERT_EQUAL (last_reply (&fixture)->state, BT_RECORD_GRANTED);
  CU_ASSERT_TRUE (bt_same_identity (&request_grant (&fixture, 1, &third, 1)->grant.agent, &third));
  CU_ASSERT_EQUAL (last_reply (&fixture)->grant.number, 2);
  CU_ASSERT_FALSE (request_tombstone (&fixture, &home, 1, &grant)->tombstoned);
  grant = last_reply (&fixture)->grant;
  CU_ASSERT_TRUE (request_tombstone (&fixture, &home, 1, &grant)->tombstoned);
  CU_ASSERT_EQUAL (request_grant (&fixture, 1, &other, 2)->reason, BT_REASON_KEY_TOMBSTONED);
  CU_ASSERT_EQUAL (dispatch (&fixture, &to_home)->reason, BT_REASON_KEY_TOMBSTONED);
  close_fixture (&fixture);
}

static void
test_home_may_grant_to_itself (void)
{
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t to_home = make_dispatch (&home, 1, 1);

  request_grant (&fixture, 1, &other, 0);
  to_home.has_grant = true;
  to_home.grant = request_grant (&fixture, 1, &home, 1)->grant;
  to_home.grant.number = 1;
  CU_ASSERT_TRUE (dispatch (&fixture, &to_home)->has_grant);
  to_home.grant.number = 2;
  CU_ASSERT_TRUE (starts_run (&fixture, &to_home));
  CU_ASSERT_TRUE (request_grant (&fixture, 1, &other, 2)->home_runs);
  close_fixture (&fixture);
}

/* Guards against running a delayed copy after a granted agent refused the key as full and
 * tombstoned it so that it can run elsewhere. */
static void
test_a_tombstone_refuses_delayed_copies (void)
{
  fixture_t fixture = open_fixture (&other, 10);
  bt_dispatch_t late = make_dispatch (&other, 1, 1);

  late.has_grant = true;
  late.grant = (bt_grant_t){ other, NOW_MS + LIFE_MS, 1 };
  late.admission = BT_REASON_ENDPOINT_FULL;
  late.admission_retry_ms = 40;
  CU_ASSERT_EQUAL (dispatch (&fixture, &late)->reason, BT_REASON_ENDPOINT_FULL);
  CU_ASSERT_EQUAL (last_reply (&fixture)->retry_after_ms, 40);
  CU_ASSERT_TRUE (request_tombstone (&fixture, &other, 1, &late.grant)->tombstoned);
  CU_ASSERT_TRUE (request_tombstone (&fixture, &other, 1, &late.grant)->tombstoned);
  late.admission = BT_REASON_NONE;
  CU_ASSERT_EQUAL (dispatch (&fixture, &late)->reason, BT_REASON_KEY_TOMBSTONED);
  tick_at (&fixture, NOW_MS + LIFE_MS + GRACE_MS);
  CU_ASSERT_EQUAL (bt_count_arbiter_records (fixture.arbiter), 0);
  CU_ASSERT_EQUAL (dispatch (&fixture, &late)->reason, BT_REASON_KEY_EXPIRED);
  CU_ASSERT_EQUAL (request_tombstone (&fixture, &other, 1, &late.grant)->state, BT_RECORD_EXPIRED);
  CU_ASSERT_FALSE (last_reply (&fixture)->tombstoned);
  close_fixture (&fixture);
}

/* Guards against running a delayed copy under a later grant to an agent that tombstoned the key
 * under an earlier grant. The tombstone was removed when the earlier grant expired, and the copy
 * ran after the caller had been told that the request did not run. */
static void
test_a_tombstone_outlives_each_grant_it_answered (void)
{
  fixture_t fixture = open_fixture (&other, 10);
  bt_grant_t early = { other, NOW_MS + 10, 1 };
  bt_dispatch_t late = make_dispatch (&other, 1, 1);

  late.has_grant = true;
  late.grant = (bt_grant_t){ other, NOW_MS + LIFE_MS, 3 };
  request_tombstone (&fixture, &other, 1, &early);
  CU_ASSERT_EQUAL (dispatch (&fixture, &late)->reason, BT_REASON_KEY_TOMBSTONED);
  tick_at (&fixture, NOW_MS + LIFE_MS - 1);
  CU_ASSERT_EQUAL (dispatch (&fixture, &late)->reason, BT_REASON_KEY_TOMBSTONED);
  close_fixture (&fixture);
}

/* Guards against running a delayed copy under the home agent's grant to itself that expires after
 * the ticket. The tombstone was removed when the ticket expired, and the copy ran. */
static void
test_no_grant_outlives_the_ticket_at_home (void)
{
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t late = make_dispatch (&home, 1, 1);

  late.has_grant = true;
  late.grant = request_grant (&fixture, 1, &home, 0)->grant;
  late.grant.expires_ms = NOW_MS + 2 * LIFE_MS;
  CU_ASSERT_TRUE (request_tombstone (&fixture, &home, 1, NULL)->tombstoned);
  tick_at (&fixture, NOW_MS + LIFE_MS + GRACE_MS);
  CU_ASSERT_EQUAL (dispatch (&fixture, &late)->reason, BT_REASON_KEY_EXPIRED);
  close_fixture (&fixture);
}

/* Guards against running a copy, or reporting that the request did not run, after the agent
 * restarted: it has lost its records and the request may have run before. */
static void
test_a_restarted_agent_reports_unknown (void)
{
  static const bt_identity_t restarted = { "home", 12 };
  static const bt_identity_t stranger = { "stranger", 11 };
  fixture_t fixture = open_fixture (&restarted, 10);
  fixture_t elsewhere = open_fixture (&stranger, 10);
  bt_dispatch_t copy = make_dispatch (&home, 1, 1);
  bt_dispatch_t copy_of_grant = make_dispatch (&restarted, 1, 1);

  CU_ASSERT_EQUAL (dispatch (&fixture, &copy)->outcome, BT_OUTCOME_UNKNOWN);
  copy.target = restarted;
  CU_ASSERT_EQUAL (dispatch (&fixture, &copy)->reason, BT_REASON_HOME_RESTARTED);
  copy_of_grant.has_grant = true;
  copy_of_grant.grant = (bt_grant_t){ home, NOW_MS + LIFE_MS, 1 };
  CU_ASSERT_EQUAL (dispatch (&fixture, &copy_of_grant)->reason, BT_REASON_AGENT_RESTARTED);
  CU_ASSERT_EQUAL (request_grant (&fixture, 1, &other, 0)->outcome, BT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (request_tombstone (&fixture, &home, 1, NULL)->state, BT_RECORD_FOREIGN);
  CU_ASSERT_EQUAL (request_tombstone (&fixture, &restarted, 1, NULL)->state, BT_RECORD_FOREIGN);
  CU_ASSERT_EQUAL (dispatch (&elsewhere, &copy)->reason, BT_REASON_WRONG_INSTANCE);
  CU_ASSERT_EQUAL (bt_count_arbiter_records (fixture.arbiter), 0);
  close_fixture (&elsewhere);
  close_fixture (&fixture);
}

static void
test_a_key_belongs_to_one_body (void)
{
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t first = make_dispatch (&home, 1, 1);
  bt_dispatch_t second = make_dispatch (&home, 1, 2);

  second.body_digest = 8;
  dispatch (&fixture, &first);
  CU_ASSERT_EQUAL (dispatch (&fixture, &second)->reason, BT_REASON_KEY_REUSED);
  close_fixture (&fixture);
}

/* Guards against losing records or tombstones when the table is full, which would let a key run
 * again. New keys are refused and can still be tombstoned; when the reserve for tombstones is full
 * too, the expiry floor refuses delayed copies once there is space again. */
static void
test_full_records_refuse_new_keys_only (void)
{
  fixture_t fixture = open_fixture (&home, 2);
  bt_dispatch_t message;

  for (uint8_t key = 1; key <= 2; key++)
    {
      message = make_dispatch (&home, key, key);
      CU_ASSERT_TRUE (starts_run (&fixture, &message));
      handle_run_head (&fixture, key);
      handle_run_piece (&fixture, key, 0, "answer");
      handle_run_end (&fixture, key, 6);
    }
  message = make_dispatch (&home, 3, 3);
  CU_ASSERT_EQUAL (dispatch (&fixture, &message)->reason, BT_REASON_RECORDS_FULL);
  CU_ASSERT_EQUAL (request_grant (&fixture, 3, &other, 0)->reason, BT_REASON_RECORDS_FULL);
  CU_ASSERT_TRUE (request_tombstone (&fixture, &home, 3, NULL)->tombstoned);
  CU_ASSERT_TRUE (request_tombstone (&fixture, &home, 4, NULL)->tombstoned);
  message = make_dispatch (&home, 4, 4);
  CU_ASSERT_EQUAL (dispatch (&fixture, &message)->reason, BT_REASON_KEY_TOMBSTONED);
  CU_ASSERT_EQUAL (request_grant (&fixture, 4, &other, 0)->reason, BT_REASON_KEY_TOMBSTONED);
  message.ticket.expires_ms++;
  CU_ASSERT_EQUAL (dispatch (&fixture, &message)->reason, BT_REASON_RECORDS_FULL);
  tick_at (&fixture, NOW_MS + LIFE_MS - 1);
  message = make_dispatch (&home, 1, 9);
  CU_ASSERT_EQUAL (dispatch (&fixture, &message)->reason, BT_REASON_ANSWER_DROPPED);
  CU_ASSERT_EQUAL (bt_count_arbiter_records (fixture.arbiter), 3);
  tick_at (&fixture, NOW_MS + LIFE_MS + GRACE_MS);
  CU_ASSERT_EQUAL (bt_count_arbiter_records (fixture.arbiter), 0);
  CU_ASSERT_EQUAL (bt_count_arbiter_bytes (fixture.arbiter), 0);
  CU_ASSERT_EQUAL (bt_count_arbiter_free_records (fixture.arbiter), 2);
  close_fixture (&fixture);
}

/* Guards against running a delayed copy that is handled with an older clock reading than the one by
 * which its tombstone expired and was removed. */
static void
test_an_older_clock_reading_is_ignored (void)
{
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t late = make_dispatch (&home, 1, 1);

  request_tombstone (&fixture, &home, 1, NULL);
  tick_at (&fixture, NOW_MS + LIFE_MS + GRACE_MS);
  fixture.now_ms = NOW_MS;
  CU_ASSERT_EQUAL (dispatch (&fixture, &late)->reason, BT_REASON_KEY_EXPIRED);
  close_fixture (&fixture);
}

static void
test_long_answers_are_not_kept (void)
{
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t first = make_dispatch (&home, 1, 1);
  bt_dispatch_t second = make_dispatch (&home, 1, 2);
  char text[ANSWER_LIMIT + 2];

  memset (text, 'x', sizeof text);
  text[sizeof text - 1] = '\0';
  dispatch (&fixture, &first);
  handle_run_head (&fixture, 1);
  handle_run_piece (&fixture, 1, 0, text);
  CU_ASSERT_EQUAL (last_reply (&fixture)->data_bytes, ANSWER_LIMIT + 1);
  CU_ASSERT_EQUAL (dispatch (&fixture, &second)->reason, BT_REASON_ANSWER_DROPPED);
  handle_run_piece (&fixture, 1, ANSWER_LIMIT + 1, "y");
  CU_ASSERT_EQUAL (fixture.actions.count, 1);
  handle_run_end (&fixture, 1, ANSWER_LIMIT + 2);
  CU_ASSERT_EQUAL (fixture.actions.count, 1);
  CU_ASSERT_EQUAL (last_reply (&fixture)->kind, BT_REPLY_END);
  close_fixture (&fixture);
}

/* Guards against starting a run again after its stream went silent. The stream is resumed once,
 * then the run fails with an unknown outcome. */
static void
test_a_silent_stream_is_resumed_then_unknown (void)
{
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t message = make_dispatch (&home, 1, 1);
  bt_run_event_t silent = { .kind = BT_RUN_SILENT, .run = 1, .resumable = true };

  dispatch (&fixture, &message);
  handle_run_head (&fixture, 1);
  handle_run_piece (&fixture, 1, 0, "half");
  handle_run_event (&fixture, &silent);
  CU_ASSERT_EQUAL (last_action (&fixture)->kind, BT_ARBITER_RESUME_RUN);
  CU_ASSERT_EQUAL (last_action (&fixture)->from_bytes, 4);
  handle_run_event (&fixture, &silent);
  CU_ASSERT_EQUAL (last_reply (&fixture)->reason, BT_REASON_ENGINE_SILENT);
  CU_ASSERT_EQUAL (last_reply (&fixture)->outcome, BT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (dispatch (&fixture, &message)->reason, BT_REASON_ENGINE_SILENT);
  CU_ASSERT_FALSE (request_tombstone (&fixture, &home, 1, NULL)->tombstoned);
  CU_ASSERT_TRUE (request_grant (&fixture, 1, &other, 0)->home_runs);
  close_fixture (&fixture);
}

static void
test_an_endpoint_never_reached_leaves_the_key_open (void)
{
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t message = make_dispatch (&home, 1, 1);
  bt_run_event_t failed = { .kind = BT_RUN_FAILED,
                            .run = 1,
                            .reason = BT_REASON_ENGINE_UNREACHABLE };

  dispatch (&fixture, &message);
  handle_run_event (&fixture, &failed);
  CU_ASSERT_EQUAL (last_reply (&fixture)->outcome, BT_OUTCOME_NOT_RUN);
  CU_ASSERT_TRUE (starts_run (&fixture, &message));
  failed.run = 2;
  handle_run_event (&fixture, &failed);
  CU_ASSERT_TRUE (request_grant (&fixture, 1, &other, 0)->granted);
  close_fixture (&fixture);
}

/* Guards against a leaving agent that exits while tickets still name it: late callers must learn
 * whether their request ran. It starts no new runs. */
static void
test_leaving_refuses_runs_but_stays_arbiter (void)
{
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t running = make_dispatch (&home, 1, 1);
  bt_dispatch_t fresh = make_dispatch (&home, 2, 2);

  dispatch (&fixture, &running);
  bt_set_arbiter_leaving (fixture.arbiter, NOW_MS);
  CU_ASSERT_EQUAL (dispatch (&fixture, &fresh)->reason, BT_REASON_ENDPOINT_LEAVING);
  CU_ASSERT_EQUAL (last_reply (&fixture)->outcome, BT_OUTCOME_NOT_RUN);
  CU_ASSERT_TRUE (request_grant (&fixture, 2, &other, 0)->granted);
  CU_ASSERT_FALSE (bt_can_arbiter_exit (fixture.arbiter, NOW_MS + LIFE_MS));
  handle_run_head (&fixture, 1);
  handle_run_end (&fixture, 1, 0);
  CU_ASSERT_FALSE (bt_can_arbiter_exit (fixture.arbiter, NOW_MS + LIFE_MS - 1));
  CU_ASSERT_TRUE (bt_can_arbiter_exit (fixture.arbiter, NOW_MS + LIFE_MS));
  close_fixture (&fixture);
}

/* Guards against stopping a run with a key when its entry instance is lost: the caller can fetch
 * the answer through another one. A run without a key is cancelled, since nobody can fetch its
 * answer. */
static void
test_a_dead_link_stops_only_unkeyed_runs (void)
{
  fixture_t fixture = open_fixture (&home, 10);
  bt_dispatch_t keyed = make_dispatch (&home, 1, 1);
  bt_dispatch_t unkeyed = { .path = { 1, 2, 1 }, .target = home, .deadline_ms = NOW_MS + LIFE_MS };

  dispatch (&fixture, &keyed);
  CU_ASSERT_TRUE (starts_run (&fixture, &unkeyed));
  dispatch (&fixture, &unkeyed);
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  bt_handle_link_down (fixture.ctx, fixture.arbiter, 1, &fixture.actions);
  CU_ASSERT_EQUAL (fixture.actions.count, 1);
  CU_ASSERT_EQUAL (last_action (&fixture)->kind, BT_ARBITER_CANCEL_RUN);
  CU_ASSERT_EQUAL (last_action (&fixture)->run, 2);
  CU_ASSERT_EQUAL (bt_count_arbiter_runs (fixture.arbiter), 1);
  unkeyed.target.incarnation++;
  CU_ASSERT_EQUAL (dispatch (&fixture, &unkeyed)->outcome, BT_OUTCOME_NOT_RUN);
  close_fixture (&fixture);
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
  CU_ADD_TEST (suite, test_a_tombstone_refuses_delayed_copies);
  CU_ADD_TEST (suite, test_a_tombstone_outlives_each_grant_it_answered);
  CU_ADD_TEST (suite, test_no_grant_outlives_the_ticket_at_home);
  CU_ADD_TEST (suite, test_a_restarted_agent_reports_unknown);
  CU_ADD_TEST (suite, test_a_key_belongs_to_one_body);
  CU_ADD_TEST (suite, test_full_records_refuse_new_keys_only);
  CU_ADD_TEST (suite, test_an_older_clock_reading_is_ignored);
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
