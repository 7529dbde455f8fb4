#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/requests/delivery.h"

enum
{
  NOW_MS = 1000,
  DEADLINE_MS = 2000,
  MARGIN_MS = 100,
  REPLY_MS = 200,
  RECONNECT_MS = 300,
};

static const bt_identity_t home = { "home", 11 };
static const bt_identity_t other = { "other", 22 };
static const bt_identity_t third = { "third", 33 };

/* One delivery with what it did last. */
typedef struct bench
{
  bt_context_t *ctx;
  bt_delivery_t *delivery;
  bt_delivery_actions_t actions;
  bt_reply_path_t path; /* of the last message sent */
  int64_t now_ms;
} bench_t;

static bench_t
open_bench (bool keyed, bool idempotent)
{
  bench_t bench = { .ctx = bt_new_context (), .now_ms = NOW_MS };
  bt_delivery_options_t options = {
    .call = 5,
    .has_ticket = keyed,
    .ticket = { .home = home },
    .idempotent = idempotent,
    .deadline_ms = NOW_MS + DEADLINE_MS,
    .give_up_margin_ms = MARGIN_MS,
    .reply_limit_ms = REPLY_MS,
    .reconnect_limit_ms = RECONNECT_MS,
    .retry_after_ms = 70,
    .max_resends = 1,
    .max_hops = 2,
  };

  bench.delivery = bt_new_delivery (bench.ctx, &options);
  return bench;
}

static void
close_bench (bench_t *bench)
{
  bt_free_delivery_actions (bench->ctx, &bench->actions);
  bt_drop_delivery (bench->ctx, bench->delivery);
  bt_drop_context (bench->ctx);
}

static const bt_delivery_action_t *
last (const bench_t *bench)
{
  static const bt_delivery_action_t none = { .kind = BT_DELIVERY_FINISH_WHOLE };

  return bench->actions.count == 0 ? &none : &bench->actions.items[bench->actions.count - 1];
}

static const bt_delivery_action_t *
step (bench_t *bench, bt_delivery_event_t event)
{
  bench->actions.count = 0;
  bt_step_delivery (bench->ctx, bench->delivery, &event, bench->now_ms, &bench->actions);
  return last (bench);
}

/* Reports the last message as sent over a link, and keeps what its replies carry. */
static void
sent (bench_t *bench, uint64_t link)
{
  const bt_delivery_action_t *action = last (bench);

  bench->path = action->kind == BT_DELIVERY_SEND_DISPATCH ? action->dispatch.path
                : action->kind == BT_DELIVERY_SEND_GRANT  ? action->grant_request.path
                                                          : action->tombstone_request.path;
  bench->path.link = link;
  step (bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_SENT, .link = link });
}

static const bt_delivery_action_t *
choose (bench_t *bench, const bt_identity_t *agent)
{
  return step (bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_CANDIDATE, .identity = *agent });
}

static const bt_delivery_action_t *
reply_to (bench_t *bench, bt_reply_path_t path, bt_reply_t reply)
{
  reply.path = path;
  return step (bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_REPLY, .reply = &reply });
}

static const bt_delivery_action_t *
refuse (bench_t *bench, bt_reason_t reason)
{
  return reply_to (bench, bench->path,
                   (bt_reply_t){ .kind = BT_REPLY_REFUSED,
                                 .reason = reason,
                                 .outcome = bt_get_reason_outcome (reason) });
}

static const bt_delivery_action_t *
budget (bench_t *bench, bool allowed)
{
  return step (bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_BUDGET, .allowed = allowed });
}

static const bt_delivery_action_t *
grant (bench_t *bench, const bt_identity_t *agent, uint32_t number)
{
  return reply_to (
      bench, bench->path,
      (bt_reply_t){ .kind = BT_REPLY_GRANT, .granted = true, .grant = { *agent, 0, number } });
}

static const bt_delivery_action_t *
tombstone (bench_t *bench, bool tombstoned, bt_record_state_t state)
{
  return reply_to (
      bench, bench->path,
      (bt_reply_t){ .kind = BT_REPLY_TOMBSTONE, .tombstoned = tombstoned, .state = state });
}

static const bt_delivery_action_t *
head (bench_t *bench)
{
  return reply_to (bench, bench->path, (bt_reply_t){ .kind = BT_REPLY_HEAD });
}

static const bt_delivery_action_t *
piece (bench_t *bench, uint64_t sequence)
{
  return reply_to (
      bench, bench->path,
      (bt_reply_t){ .kind = BT_REPLY_PIECE, .sequence = sequence, .data = "abc", .data_bytes = 3 });
}

static const bt_delivery_action_t *
end (bench_t *bench, uint64_t pieces, uint64_t bytes)
{
  return reply_to (bench, bench->path,
                   (bt_reply_t){ .kind = BT_REPLY_END, .pieces = pieces, .total_bytes = bytes });
}

static void
take_acceptance (bench_t *bench)
{
  reply_to (bench, bench->path, (bt_reply_t){ .kind = BT_REPLY_ACCEPTED });
}

/* Submits a request and dispatches it to its first candidate over link 1. */
static void
begin (bench_t *bench, const bt_identity_t *agent)
{
  step (bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_SUBMIT });
  choose (bench, agent);
  sent (bench, 1);
}

static void
test_home_answers_whole (void)
{
  bench_t bench = open_bench (true, false);

  begin (&bench, &home);
  take_acceptance (&bench);
  head (&bench);
  CU_ASSERT_EQUAL (bench.actions.count, 0);
  CU_ASSERT_EQUAL (piece (&bench, 0)->kind, BT_DELIVERY_GIVE_PIECE);
  CU_ASSERT_EQUAL (bench.actions.items[0].kind, BT_DELIVERY_GIVE_HEAD);
  piece (&bench, 0);
  CU_ASSERT_EQUAL (bench.actions.count, 0);
  CU_ASSERT_EQUAL (end (&bench, 1, 3)->kind, BT_DELIVERY_FINISH_WHOLE);
  CU_ASSERT_TRUE (bt_is_delivery_finished (bench.delivery));
  close_bench (&bench);
}

/* Full at home, full at the first granted agent, run by the second. Each move must wait for the
 * promise of the one before, else two agents could run one order. */
static void
test_a_key_moves_with_grants_and_tombstones (void)
{
  bench_t bench = open_bench (true, false);

  begin (&bench, &home);
  CU_ASSERT_EQUAL (refuse (&bench, BT_REASON_ENDPOINT_FULL)->kind, BT_DELIVERY_ASK_BUDGET);
  CU_ASSERT_EQUAL (budget (&bench, true)->excluded_count, 1);
  CU_ASSERT_EQUAL (choose (&bench, &other)->kind, BT_DELIVERY_SEND_GRANT);
  sent (&bench, 1);
  CU_ASSERT_TRUE (grant (&bench, &other, 1)->dispatch.has_grant);
  sent (&bench, 2);
  refuse (&bench, BT_REASON_ENDPOINT_FULL);
  CU_ASSERT_EQUAL (budget (&bench, true)->kind, BT_DELIVERY_SEND_TOMBSTONE);
  CU_ASSERT_TRUE (bt_same_identity (&last (&bench)->identity, &other));
  sent (&bench, 2);
  CU_ASSERT_EQUAL (tombstone (&bench, true, BT_RECORD_TOMBSTONED)->kind, BT_DELIVERY_ASK_CANDIDATE);
  CU_ASSERT_EQUAL (last (&bench)->excluded_count, 2);
  CU_ASSERT_EQUAL (choose (&bench, &third)->grant_request.after_number, 1);
  sent (&bench, 1);
  CU_ASSERT_TRUE (bt_same_identity (&grant (&bench, &third, 2)->identity, &third));
  close_bench (&bench);
}

/* An entry refuses a resend as full while the first copy, sent through another entry, runs. Saying
 * "not run" would make the caller order again, so the answer is fetched instead. */
static void
test_an_overtaken_call_does_not_say_not_run (void)
{
  bench_t bench = open_bench (true, false);

  step (&bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_SUBMIT });
  step (&bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_NO_CANDIDATE,
                                       .reason = BT_REASON_QUEUE_FULL,
                                       .retry_after_ms = 30 });
  CU_ASSERT_EQUAL (last (&bench)->kind, BT_DELIVERY_SEND_TOMBSTONE);
  sent (&bench, 1);
  CU_ASSERT_EQUAL (tombstone (&bench, false, BT_RECORD_RUNNING)->kind, BT_DELIVERY_SEND_DISPATCH);
  CU_ASSERT_TRUE (last (&bench)->dispatch.attach_only);
  sent (&bench, 1);
  head (&bench);
  CU_ASSERT_EQUAL (end (&bench, 0, 0)->kind, BT_DELIVERY_FINISH_WHOLE);
  close_bench (&bench);
}

static void
test_not_run_is_told_once_home_has_promised (void)
{
  bench_t bench = open_bench (true, false);

  begin (&bench, &other);
  grant (&bench, &other, 1);
  sent (&bench, 2);
  refuse (&bench, BT_REASON_ENDPOINT_FULL);
  CU_ASSERT_TRUE (bt_same_identity (&budget (&bench, false)->identity, &other));
  sent (&bench, 2);
  CU_ASSERT_TRUE (
      bt_same_identity (&tombstone (&bench, true, BT_RECORD_TOMBSTONED)->identity, &home));
  CU_ASSERT_EQUAL (last (&bench)->tombstone_request.grant.number, 1);
  sent (&bench, 1);
  CU_ASSERT_EQUAL (tombstone (&bench, true, BT_RECORD_TOMBSTONED)->outcome, BT_OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (last (&bench)->reason, BT_REASON_RETRY_BUDGET);
  CU_ASSERT_EQUAL (last (&bench)->retry_after_ms, 70);
  close_bench (&bench);
}

/* The connection to home goes silent after the dispatch. The entry asks again by key over the next
 * one; when home came back as another start, or not at all, nobody can tell whether it ran. */
static void
test_a_lost_home_is_asked_again_or_unknown (void)
{
  for (int32_t way = 0; way < 3; way++)
    {
      bench_t bench = open_bench (true, false);
      bt_identity_t back = home;

      begin (&bench, &home);
      take_acceptance (&bench);
      step (&bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_LINK_DOWN, .link = 1 });
      CU_ASSERT_TRUE (bt_is_delivery_waiting_for (bench.delivery, &home));
      if (way == 2)
        {
          bench.now_ms += RECONNECT_MS;
          step (&bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_TICK });
          CU_ASSERT_EQUAL (last (&bench)->reason, BT_REASON_HOME_UNREACHABLE);
          CU_ASSERT_EQUAL (last (&bench)->outcome, BT_OUTCOME_UNKNOWN);
          close_bench (&bench);
          continue;
        }
      back.incarnation += (uint64_t)way;
      step (&bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_LINK_UP, .identity = back });
      if (way == 0)
        CU_ASSERT_TRUE (last (&bench)->dispatch.attach_only);
      if (way == 1)
        CU_ASSERT_EQUAL (last (&bench)->reason, BT_REASON_HOME_RESTARTED);
      close_bench (&bench);
    }
}

/* A piece is lost on the way. What follows must not be joined over the gap: the same run is asked
 * for the rest, and where it can't give it the caller sees a cut answer. */
static void
test_gaps_are_mended_or_cut (void)
{
  bench_t bench = open_bench (true, false);

  begin (&bench, &home);
  head (&bench);
  piece (&bench, 0);
  CU_ASSERT_EQUAL (piece (&bench, 2)->dispatch.from_sequence, 1);
  CU_ASSERT_TRUE (last (&bench)->dispatch.attach_only);
  sent (&bench, 1);
  CU_ASSERT_EQUAL (piece (&bench, 1)->kind, BT_DELIVERY_GIVE_PIECE);
  CU_ASSERT_EQUAL (end (&bench, 3, 9)->kind, BT_DELIVERY_CUT);
  close_bench (&bench);
  bench = open_bench (true, false);
  begin (&bench, &home);
  head (&bench);
  piece (&bench, 0);
  CU_ASSERT_EQUAL (end (&bench, 1, 4)->kind, BT_DELIVERY_CUT);
  close_bench (&bench);
}

/* An idempotent request may run again elsewhere, but once its caller holds a piece of one run it
 * must never get a piece of another. */
static void
test_two_runs_are_never_spliced (void)
{
  bench_t bench = open_bench (false, true);
  bt_reply_path_t old;

  begin (&bench, &home);
  old = bench.path;
  head (&bench);
  CU_ASSERT_EQUAL (refuse (&bench, BT_REASON_ENGINE_FAILED)->kind, BT_DELIVERY_ASK_BUDGET);
  budget (&bench, true);
  choose (&bench, &other);
  sent (&bench, 2);
  CU_ASSERT_EQUAL (last (&bench)->kind, BT_DELIVERY_FINISH_WHOLE); /* nothing done */
  head (&bench);
  reply_to (&bench, old, (bt_reply_t){ .kind = BT_REPLY_PIECE, .data = "old", .data_bytes = 3 });
  CU_ASSERT_EQUAL (bench.actions.count, 0);
  CU_ASSERT_EQUAL (piece (&bench, 0)->kind, BT_DELIVERY_GIVE_PIECE);
  CU_ASSERT_EQUAL (refuse (&bench, BT_REASON_ENGINE_FAILED)->kind, BT_DELIVERY_CUT);
  close_bench (&bench);
}

static void
test_without_a_key_a_lost_dispatch_is_unknown (void)
{
  bench_t bench = open_bench (false, false);

  begin (&bench, &home);
  refuse (&bench, BT_REASON_ENDPOINT_FULL);
  budget (&bench, true);
  choose (&bench, &other);
  sent (&bench, 2);
  step (&bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_LINK_DOWN, .link = 2 });
  CU_ASSERT_EQUAL (last (&bench)->reason, BT_REASON_LINK_LOST);
  CU_ASSERT_EQUAL (last (&bench)->outcome, BT_OUTCOME_UNKNOWN);
  close_bench (&bench);
  bench = open_bench (false, false);
  begin (&bench, &home);
  refuse (&bench, BT_REASON_ENDPOINT_FULL);
  CU_ASSERT_EQUAL (budget (&bench, false)->outcome, BT_OUTCOME_NOT_RUN);
  close_bench (&bench);
}

static void
test_a_gone_caller_cancels (void)
{
  bench_t bench = open_bench (false, true);

  begin (&bench, &home);
  step (&bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_CALLER_GONE });
  CU_ASSERT_EQUAL (bench.actions.items[0].kind, BT_DELIVERY_SEND_CANCEL);
  CU_ASSERT_EQUAL (last (&bench)->reason, BT_REASON_CANCELLED);
  close_bench (&bench);
}

/* Nobody answers before the deadline. Shortly before it the entry asks for proof that nothing runs;
 * with it the caller is told "not run" in time, without it "unknown" at the deadline. */
static void
test_the_deadline_brings_a_final_answer (void)
{
  bench_t bench = open_bench (true, false);

  begin (&bench, &home);
  bench.now_ms = NOW_MS + DEADLINE_MS - MARGIN_MS;
  step (&bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_TICK });
  CU_ASSERT_EQUAL (last (&bench)->kind, BT_DELIVERY_SEND_TOMBSTONE);
  sent (&bench, 1);
  bench.now_ms = NOW_MS + DEADLINE_MS;
  step (&bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_TICK });
  CU_ASSERT_EQUAL (last (&bench)->outcome, BT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (last (&bench)->reason, BT_REASON_DEADLINE_PASSED);
  step (&bench, (bt_delivery_event_t){ .kind = BT_DELIVERY_TICK });
  CU_ASSERT_EQUAL (bench.actions.count, 0);
  close_bench (&bench);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("delivery", NULL, NULL);
  CU_ADD_TEST (suite, test_home_answers_whole);
  CU_ADD_TEST (suite, test_a_key_moves_with_grants_and_tombstones);
  CU_ADD_TEST (suite, test_an_overtaken_call_does_not_say_not_run);
  CU_ADD_TEST (suite, test_not_run_is_told_once_home_has_promised);
  CU_ADD_TEST (suite, test_a_lost_home_is_asked_again_or_unknown);
  CU_ADD_TEST (suite, test_gaps_are_mended_or_cut);
  CU_ADD_TEST (suite, test_two_runs_are_never_spliced);
  CU_ADD_TEST (suite, test_without_a_key_a_lost_dispatch_is_unknown);
  CU_ADD_TEST (suite, test_a_gone_caller_cancels);
  CU_ADD_TEST (suite, test_the_deadline_brings_a_final_answer);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
