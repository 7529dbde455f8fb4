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

/* A delivery and the actions of its last event. */
typedef struct fixture
{
  bt_context_t *ctx;
  bt_delivery_t *delivery;
  bt_delivery_actions_t actions;
  bt_reply_path_t path; /* of the last message sent */
  int64_t now_ms;
} fixture_t;

static fixture_t
open_fixture (bool keyed, bool idempotent)
{
  fixture_t fixture = { .ctx = bt_new_context (), .now_ms = NOW_MS };
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
    .max_followed_grants = 2,
  };

  fixture.delivery = bt_new_delivery (fixture.ctx, &options);
  return fixture;
}

static void
close_fixture (fixture_t *fixture)
{
  bt_free_delivery_actions (fixture->ctx, &fixture->actions);
  bt_drop_delivery (fixture->ctx, fixture->delivery);
  bt_drop_context (fixture->ctx);
}

static const bt_delivery_action_t *
last_action (const fixture_t *fixture)
{
  static const bt_delivery_action_t none = { .kind = BT_DELIVERY_FINISH_COMPLETE };

  return fixture->actions.count == 0 ? &none : &fixture->actions.items[fixture->actions.count - 1];
}

static const bt_delivery_action_t *
step (fixture_t *fixture, bt_delivery_event_t event)
{
  fixture->actions.count = 0;
  bt_handle_delivery_event (fixture->ctx, fixture->delivery, &event, fixture->now_ms,
                            &fixture->actions);
  return last_action (fixture);
}

/* Reports the last message as sent over a link, and stores the path that its replies have. */
static void
report_sent (fixture_t *fixture, uint64_t link)
{
  const bt_delivery_action_t *action = last_action (fixture);

  fixture->path = action->kind == BT_DELIVERY_SEND_DISPATCH ? action->dispatch.path
                  : action->kind == BT_DELIVERY_SEND_GRANT  ? action->grant_request.path
                                                            : action->tombstone_request.path;
  fixture->path.link = link;
  step (fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_SENT, .link = link });
}

static const bt_delivery_action_t *
choose (fixture_t *fixture, const bt_identity_t *agent)
{
  return step (fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_CANDIDATE, .identity = *agent });
}

static const bt_delivery_action_t *
reply_to (fixture_t *fixture, bt_reply_path_t path, bt_reply_t reply)
{
  reply.path = path;
  return step (fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_REPLY, .reply = &reply });
}

static const bt_delivery_action_t *
refuse (fixture_t *fixture, bt_reason_t reason)
{
  return reply_to (fixture, fixture->path,
                   (bt_reply_t){ .kind = BT_REPLY_REFUSED,
                                 .reason = reason,
                                 .outcome = bt_get_reason_outcome (reason) });
}

static const bt_delivery_action_t *
budget (fixture_t *fixture, bool allowed)
{
  return step (fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_BUDGET, .allowed = allowed });
}

static const bt_delivery_action_t *
grant (fixture_t *fixture, const bt_identity_t *agent, uint32_t number)
{
  return reply_to (
      fixture, fixture->path,
      (bt_reply_t){ .kind = BT_REPLY_GRANT, .granted = true, .grant = { *agent, 0, number } });
}

static const bt_delivery_action_t *
tombstone (fixture_t *fixture, bool tombstoned, bt_record_state_t state)
{
  return reply_to (
      fixture, fixture->path,
      (bt_reply_t){ .kind = BT_REPLY_TOMBSTONE, .tombstoned = tombstoned, .state = state });
}

static const bt_delivery_action_t *
head (fixture_t *fixture)
{
  return reply_to (fixture, fixture->path, (bt_reply_t){ .kind = BT_REPLY_HEAD });
}

static const bt_delivery_action_t *
piece (fixture_t *fixture, uint64_t sequence)
{
  return reply_to (
      fixture, fixture->path,
      (bt_reply_t){ .kind = BT_REPLY_PIECE, .sequence = sequence, .data = "abc", .data_bytes = 3 });
}

static const bt_delivery_action_t *
end (fixture_t *fixture, uint64_t pieces, uint64_t bytes)
{
  return reply_to (fixture, fixture->path,
                   (bt_reply_t){ .kind = BT_REPLY_END, .pieces = pieces, .total_bytes = bytes });
}

static void
accept_dispatch (fixture_t *fixture)
{
  reply_to (fixture, fixture->path, (bt_reply_t){ .kind = BT_REPLY_ACCEPTED });
}

/* Submits a request and dispatches it to its first candidate over link 1. */
static void
submit_and_dispatch (fixture_t *fixture, const bt_identity_t *agent)
{
  step (fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_SUBMIT });
  choose (fixture, agent);
  report_sent (fixture, 1);
}

static void
test_home_answers_completely (void)
{
  fixture_t fixture = open_fixture (true, false);

  submit_and_dispatch (&fixture, &home);
  accept_dispatch (&fixture);
  head (&fixture);
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  CU_ASSERT_EQUAL (piece (&fixture, 0)->kind, BT_DELIVERY_FORWARD_PIECE);
  CU_ASSERT_EQUAL (fixture.actions.items[0].kind, BT_DELIVERY_FORWARD_HEAD);
  piece (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  CU_ASSERT_EQUAL (end (&fixture, 1, 3)->kind, BT_DELIVERY_FINISH_COMPLETE);
  CU_ASSERT_TRUE (bt_is_delivery_finished (fixture.delivery));
  close_fixture (&fixture);
}

/* Guards against two agents running one request when the home agent and the first granted agent
 * refuse it as full: the next agent is asked only after the previous one has tombstoned the key. */
static void
test_a_key_moves_with_grants_and_tombstones (void)
{
  fixture_t fixture = open_fixture (true, false);

  submit_and_dispatch (&fixture, &home);
  CU_ASSERT_EQUAL (refuse (&fixture, BT_REASON_ENDPOINT_FULL)->kind, BT_DELIVERY_ASK_BUDGET);
  CU_ASSERT_EQUAL (budget (&fixture, true)->excluded_count, 1);
  CU_ASSERT_EQUAL (choose (&fixture, &other)->kind, BT_DELIVERY_SEND_GRANT);
  report_sent (&fixture, 1);
  CU_ASSERT_TRUE (grant (&fixture, &other, 1)->dispatch.has_grant);
  report_sent (&fixture, 2);
  refuse (&fixture, BT_REASON_ENDPOINT_FULL);
  CU_ASSERT_EQUAL (budget (&fixture, true)->kind, BT_DELIVERY_SEND_TOMBSTONE);
  CU_ASSERT_TRUE (bt_same_identity (&last_action (&fixture)->identity, &other));
  report_sent (&fixture, 2);
  CU_ASSERT_EQUAL (tombstone (&fixture, true, BT_RECORD_TOMBSTONED)->kind,
                   BT_DELIVERY_ASK_CANDIDATE);
  CU_ASSERT_EQUAL (last_action (&fixture)->excluded_count, 2);
  CU_ASSERT_EQUAL (choose (&fixture, &third)->grant_request.after_number, 1);
  report_sent (&fixture, 1);
  CU_ASSERT_TRUE (bt_same_identity (&grant (&fixture, &third, 2)->identity, &third));
  close_fixture (&fixture);
}

/* Guards against reporting "not run" for a resend refused as full while the first copy, sent
 * through another entry instance, runs: the caller would submit it again. The answer is fetched
 * instead. */
static void
test_a_refused_resend_attaches_to_the_run (void)
{
  fixture_t fixture = open_fixture (true, false);

  step (&fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_SUBMIT });
  step (&fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_NO_CANDIDATE,
                                         .reason = BT_REASON_QUEUE_FULL,
                                         .retry_after_ms = 30 });
  CU_ASSERT_EQUAL (last_action (&fixture)->kind, BT_DELIVERY_SEND_TOMBSTONE);
  report_sent (&fixture, 1);
  CU_ASSERT_EQUAL (tombstone (&fixture, false, BT_RECORD_RUNNING)->kind, BT_DELIVERY_SEND_DISPATCH);
  CU_ASSERT_TRUE (last_action (&fixture)->dispatch.attach_only);
  report_sent (&fixture, 1);
  head (&fixture);
  CU_ASSERT_EQUAL (end (&fixture, 0, 0)->kind, BT_DELIVERY_FINISH_COMPLETE);
  close_fixture (&fixture);
}

static void
test_not_run_is_reported_after_the_home_tombstoned (void)
{
  fixture_t fixture = open_fixture (true, false);

  submit_and_dispatch (&fixture, &other);
  grant (&fixture, &other, 1);
  report_sent (&fixture, 2);
  refuse (&fixture, BT_REASON_ENDPOINT_FULL);
  CU_ASSERT_TRUE (bt_same_identity (&budget (&fixture, false)->identity, &other));
  report_sent (&fixture, 2);
  CU_ASSERT_TRUE (
      bt_same_identity (&tombstone (&fixture, true, BT_RECORD_TOMBSTONED)->identity, &home));
  CU_ASSERT_EQUAL (last_action (&fixture)->tombstone_request.grant.number, 1);
  report_sent (&fixture, 1);
  CU_ASSERT_EQUAL (tombstone (&fixture, true, BT_RECORD_TOMBSTONED)->outcome, BT_OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (last_action (&fixture)->reason, BT_REASON_RETRY_BUDGET);
  CU_ASSERT_EQUAL (last_action (&fixture)->retry_after_ms, 70);
  close_fixture (&fixture);
}

/* Guards against a wrong outcome when the link to the home agent breaks after the dispatch. The
 * delivery attaches to the run by key over the next link. When the home agent restarted or does not
 * reconnect, the outcome is unknown. */
static void
test_a_lost_home_is_reattached_or_unknown (void)
{
  for (int32_t variant = 0; variant < 3; variant++)
    {
      fixture_t fixture = open_fixture (true, false);
      bt_identity_t back = home;

      submit_and_dispatch (&fixture, &home);
      accept_dispatch (&fixture);
      step (&fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_LINK_DOWN, .link = 1 });
      CU_ASSERT_TRUE (bt_is_delivery_waiting_for (fixture.delivery, &home));
      if (variant == 2)
        {
          fixture.now_ms += RECONNECT_MS;
          step (&fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_TICK });
          CU_ASSERT_EQUAL (last_action (&fixture)->reason, BT_REASON_HOME_UNREACHABLE);
          CU_ASSERT_EQUAL (last_action (&fixture)->outcome, BT_OUTCOME_UNKNOWN);
          close_fixture (&fixture);
          continue;
        }
      back.incarnation += (uint64_t)variant;
      step (&fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_LINK_UP, .identity = back });
      if (variant == 0)
        CU_ASSERT_TRUE (last_action (&fixture)->dispatch.attach_only);
      if (variant == 1)
        CU_ASSERT_EQUAL (last_action (&fixture)->reason, BT_REASON_HOME_RESTARTED);
      close_fixture (&fixture);
    }
}

/* Guards against forwarding an answer with a lost piece. The rest is fetched from the same run;
 * when that fails, the answer is aborted. */
static void
test_gaps_are_recovered_or_aborted (void)
{
  fixture_t fixture = open_fixture (true, false);

  submit_and_dispatch (&fixture, &home);
  head (&fixture);
  piece (&fixture, 0);
  CU_ASSERT_EQUAL (piece (&fixture, 2)->dispatch.from_sequence, 1);
  CU_ASSERT_TRUE (last_action (&fixture)->dispatch.attach_only);
  report_sent (&fixture, 1);
  CU_ASSERT_EQUAL (piece (&fixture, 1)->kind, BT_DELIVERY_FORWARD_PIECE);
  CU_ASSERT_EQUAL (end (&fixture, 3, 9)->kind, BT_DELIVERY_ABORT);
  close_fixture (&fixture);
  fixture = open_fixture (true, false);
  submit_and_dispatch (&fixture, &home);
  head (&fixture);
  piece (&fixture, 0);
  CU_ASSERT_EQUAL (end (&fixture, 1, 4)->kind, BT_DELIVERY_ABORT);
  close_fixture (&fixture);
}

/* Guards against mixing the answers of two runs. An idempotent request may run again elsewhere, but
 * not once its caller has a piece of the first answer. */
static void
test_two_runs_are_never_spliced (void)
{
  fixture_t fixture = open_fixture (false, true);
  bt_reply_path_t old;

  submit_and_dispatch (&fixture, &home);
  old = fixture.path;
  head (&fixture);
  CU_ASSERT_EQUAL (refuse (&fixture, BT_REASON_ENGINE_FAILED)->kind, BT_DELIVERY_ASK_BUDGET);
  budget (&fixture, true);
  choose (&fixture, &other);
  report_sent (&fixture, 2);
  CU_ASSERT_EQUAL (last_action (&fixture)->kind, BT_DELIVERY_FINISH_COMPLETE); /* no action */
  head (&fixture);
  reply_to (&fixture, old, (bt_reply_t){ .kind = BT_REPLY_PIECE, .data = "old", .data_bytes = 3 });
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  CU_ASSERT_EQUAL (piece (&fixture, 0)->kind, BT_DELIVERY_FORWARD_PIECE);
  CU_ASSERT_EQUAL (refuse (&fixture, BT_REASON_ENGINE_FAILED)->kind, BT_DELIVERY_ABORT);
  close_fixture (&fixture);
}

static void
test_without_a_key_a_lost_dispatch_is_unknown (void)
{
  fixture_t fixture = open_fixture (false, false);

  submit_and_dispatch (&fixture, &home);
  refuse (&fixture, BT_REASON_ENDPOINT_FULL);
  budget (&fixture, true);
  choose (&fixture, &other);
  report_sent (&fixture, 2);
  step (&fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_LINK_DOWN, .link = 2 });
  CU_ASSERT_EQUAL (last_action (&fixture)->reason, BT_REASON_LINK_LOST);
  CU_ASSERT_EQUAL (last_action (&fixture)->outcome, BT_OUTCOME_UNKNOWN);
  close_fixture (&fixture);
  fixture = open_fixture (false, false);
  submit_and_dispatch (&fixture, &home);
  refuse (&fixture, BT_REASON_ENDPOINT_FULL);
  CU_ASSERT_EQUAL (budget (&fixture, false)->outcome, BT_OUTCOME_NOT_RUN);
  close_fixture (&fixture);
}

static void
test_a_disconnected_caller_cancels (void)
{
  fixture_t fixture = open_fixture (false, true);

  submit_and_dispatch (&fixture, &home);
  step (&fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_CALLER_GONE });
  CU_ASSERT_EQUAL (fixture.actions.items[0].kind, BT_DELIVERY_SEND_CANCEL);
  CU_ASSERT_EQUAL (last_action (&fixture)->reason, BT_REASON_CANCELLED);
  close_fixture (&fixture);
}

/* Guards against a call without a final answer when no agent replies. Shortly before the deadline
 * the delivery asks for a tombstone; with its confirmation the caller gets "not run" in time,
 * without it the outcome at the deadline is unknown. */
static void
test_the_deadline_brings_a_final_answer (void)
{
  fixture_t fixture = open_fixture (true, false);

  submit_and_dispatch (&fixture, &home);
  fixture.now_ms = NOW_MS + DEADLINE_MS - MARGIN_MS;
  step (&fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_TICK });
  CU_ASSERT_EQUAL (last_action (&fixture)->kind, BT_DELIVERY_SEND_TOMBSTONE);
  report_sent (&fixture, 1);
  fixture.now_ms = NOW_MS + DEADLINE_MS;
  step (&fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_TICK });
  CU_ASSERT_EQUAL (last_action (&fixture)->outcome, BT_OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (last_action (&fixture)->reason, BT_REASON_DEADLINE_PASSED);
  step (&fixture, (bt_delivery_event_t){ .kind = BT_DELIVERY_TICK });
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  close_fixture (&fixture);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("delivery", NULL, NULL);
  CU_ADD_TEST (suite, test_home_answers_completely);
  CU_ADD_TEST (suite, test_a_key_moves_with_grants_and_tombstones);
  CU_ADD_TEST (suite, test_a_refused_resend_attaches_to_the_run);
  CU_ADD_TEST (suite, test_not_run_is_reported_after_the_home_tombstoned);
  CU_ADD_TEST (suite, test_a_lost_home_is_reattached_or_unknown);
  CU_ADD_TEST (suite, test_gaps_are_recovered_or_aborted);
  CU_ADD_TEST (suite, test_two_runs_are_never_spliced);
  CU_ADD_TEST (suite, test_without_a_key_a_lost_dispatch_is_unknown);
  CU_ADD_TEST (suite, test_a_disconnected_caller_cancels);
  CU_ADD_TEST (suite, test_the_deadline_brings_a_final_answer);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
