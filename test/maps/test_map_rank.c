#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/maps/map_rank.h"
#include "lockstep.h"

enum
{
  AGENT = 77,
  SETTLE_MS = 100,
  GIVE_UP_MS = 1000,
};

/** An agent with its engine. */
typedef struct fixture
{
  bt_context_t *ctx;
  int32_t index;
  int64_t now_ms;
  lockstep_t group;
  bt_map_rank_t *rank;
  bt_map_actions_t actions;
  bt_map_report_t report;
  uint64_t last_id;
} fixture_t;

static void
start_agent (fixture_t *fixture)
{
  bt_map_rank_settings_t settings = { fixture->index, AGENT, SETTLE_MS, 500, 50, GIVE_UP_MS, 0 };

  bt_drop_map_rank (fixture->ctx, fixture->rank);
  fixture->rank = bt_new_map_rank (fixture->ctx, &settings, fixture->now_ms);
}

static fixture_t
start (int32_t index, bool ignore_fences)
{
  fixture_t fixture = { bt_new_context (), index };

  lockstep_start (&fixture.group, 2, ignore_fences);
  start_agent (&fixture);
  return fixture;
}

static void
finish (fixture_t *fixture)
{
  bt_drop_map_rank (fixture->ctx, fixture->rank);
  bt_clear_map_actions (fixture->ctx, &fixture->actions);
  bt_drop_context (fixture->ctx);
}

/* Answers all calls to the engine; keeps the last report and the other actions of the agent. */
static void
answer_calls (fixture_t *fixture)
{
  for (int32_t i = 0; i < fixture->actions.count; i++)
    {
      bt_map_action_t action = fixture->actions.items[i];
      bool accepted = true;

      if (action.kind == BT_MAP_REPORT)
        fixture->report = action.report;
      if (action.kind != BT_MAP_ENGINE_ORDER)
        continue;
      if (action.order.kind != BT_MAP_QUERY || action.order.fence != 0)
        accepted = lockstep_order (&fixture->group, fixture->index, &action.order);
      bt_handle_engine_answer (fixture->ctx, fixture->rank, action.call, accepted,
                               &fixture->group.ranks[fixture->index].state, fixture->now_ms,
                               &fixture->actions);
    }
}

static void
wait_ms (fixture_t *fixture, int64_t ms)
{
  fixture->now_ms += ms;
  fixture->actions.count = 0;
  bt_tick_map_rank (fixture->ctx, fixture->rank, fixture->now_ms, &fixture->actions);
  answer_calls (fixture);
}

static void
get_ready (fixture_t *fixture, uint64_t floor)
{
  bt_handle_map_floor (fixture->rank, floor);
  wait_ms (fixture, SETTLE_MS);
}

/* Sends an order and returns the refusal in its report. */
static bt_map_refusal_t
send_order (
    fixture_t *fixture, bt_map_order_kind_t kind, uint64_t fence, uint64_t sequence, bool apply)
{
  bt_map_order_t order = { kind, fixture->index, fence, ++fixture->last_id };

  order.incarnation = fixture->group.ranks[fixture->index].state.incarnation;
  order.agent = AGENT;
  order.round = (bt_round_id_t){ fence, sequence };
  order.step = kind == BT_MAP_JOIN ? 0 : 10;
  order.digest = sequence;
  order.apply = apply;
  fixture->actions.count = 0;
  bt_handle_map_order (fixture->ctx, fixture->rank, &order, fixture->now_ms, &fixture->actions);
  answer_calls (fixture);
  return fixture->report.refusal;
}

static const bt_map_action_t *
find_action (const fixture_t *fixture, bt_map_action_kind_t kind)
{
  for (int32_t i = 0; i < fixture->actions.count; i++)
    if (fixture->actions.items[i].kind == kind)
      return &fixture->actions.items[i];
  return NULL;
}

static void
arm (fixture_t *fixture)
{
  get_ready (fixture, 5);
  CU_ASSERT_EQUAL (send_order (fixture, BT_MAP_JOIN, 5, 0, false), BT_MAP_ACCEPTED);
  CU_ASSERT_EQUAL (send_order (fixture, BT_MAP_STAGE, 5, 1, false), BT_MAP_ACCEPTED);
  CU_ASSERT_EQUAL (send_order (fixture, BT_MAP_ARM, 5, 1, false), BT_MAP_ACCEPTED);
}

/* Guards against a rank switching back to an old map: its agent restarts, its engine ignores
 * fencing numbers, and a delayed order of a long-replaced controller arrives. */
static void
test_restarted_agent_keeps_its_floor (void)
{
  fixture_t fixture = start (1, true);

  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_QUERY, 9, 0, false), BT_MAP_STARTING);
  arm (&fixture);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_LOAD_MODEL, 4, 0, false), BT_MAP_FENCED);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_SET_ROLE, 6, 0, false), BT_MAP_ACCEPTED);
  start_agent (&fixture);
  wait_ms (&fixture, SETTLE_MS);
  CU_ASSERT_FALSE (bt_is_map_rank_ready (fixture.rank));
  CU_ASSERT_PTR_NOT_NULL (find_action (&fixture, BT_MAP_READ_FLOOR));
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_QUERY, 9, 0, false), BT_MAP_STARTING);
  bt_handle_map_floor (fixture.rank, 6);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_LEARN, 5, 1, false), BT_MAP_FENCED);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_SET_VERSION, 5, 0, false), BT_MAP_FENCED);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_STAGE, 6, 1, false), BT_MAP_ARMED_OTHER);
  CU_ASSERT_STRING_EQUAL (fixture.group.violation, "");
  finish (&fixture);
}

/* Guards against two ranks ending a round differently: rank 0 applies the map, its report is lost,
 * and the controller abandons the round. The first decision is final even if the engine would
 * accept another, and a restarted agent finds it in the engine. */
static void
test_first_decision_is_final (void)
{
  fixture_t fixture = start (0, true);

  arm (&fixture);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_DECIDE, 5, 1, true), BT_MAP_ACCEPTED);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_DECIDE, 5, 1, false), BT_MAP_OLD_ROUND);
  CU_ASSERT_TRUE (fixture.report.engine.decided_apply);
  start_agent (&fixture);
  get_ready (&fixture, 5);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_DECIDE, 6, 9, false), BT_MAP_ARMED_OTHER);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_DECIDE, 5, 1, false), BT_MAP_FENCED);
  CU_ASSERT_TRUE (fixture.group.ranks[0].state.decided_apply);
  finish (&fixture);
}

static void
test_only_rank_0_decides (void)
{
  fixture_t fixture = start (1, false);

  arm (&fixture);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_DECIDE, 5, 1, true), BT_MAP_NOT_DECIDER);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_CANCEL, 5, 1, false), BT_MAP_ARMED_OTHER);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_JOIN, 5, 0, false), BT_MAP_ALREADY_JOINED);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_LEARN, 5, 1, true), BT_MAP_ACCEPTED);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_LEARN, 5, 1, false), BT_MAP_OLD_ROUND);
  finish (&fixture);
}

/* The group holds because rank 1 never received the decision. Rank 1 asks rank 0 by itself. */
static void
test_undecided_rank_asks_rank_0 (void)
{
  fixture_t fixture = start (1, false);
  bt_map_tell_t tell = { 0 };

  arm (&fixture);
  wait_ms (&fixture, 60);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find_action (&fixture, BT_MAP_ASK));
  tell.ask = find_action (&fixture, BT_MAP_ASK)->ask;
  tell.apply = true;
  bt_handle_map_tell (fixture.ctx, fixture.rank, &tell, fixture.now_ms, &fixture.actions);
  answer_calls (&fixture);
  CU_ASSERT_TRUE (fixture.group.ranks[1].state.decided_apply);
  finish (&fixture);
}

/* Rank 0 is replaced, and a controller finds that no rank knows a decision and drops the round,
 * while an answer of the old rank 0 is still on its way to rank 1. A controller's query invalidates
 * earlier questions, and so does a restart. */
static void
test_late_answer_is_ignored (void)
{
  fixture_t fixture = start (1, false);
  bt_map_tell_t tell = { 0 };

  arm (&fixture);
  wait_ms (&fixture, 60);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find_action (&fixture, BT_MAP_ASK));
  tell.ask = find_action (&fixture, BT_MAP_ASK)->ask;
  tell.apply = true;
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_QUERY, 6, 0, false), BT_MAP_ACCEPTED);
  bt_handle_map_tell (fixture.ctx, fixture.rank, &tell, fixture.now_ms, &fixture.actions);
  answer_calls (&fixture);
  CU_ASSERT_TRUE (bt_is_undecided (&fixture.group.ranks[1].state));
  finish (&fixture);
}

/* The controller is gone and the lease service is down. Rank 0 drops the round once other ranks
 * have asked about it for long enough, and tells them. */
static void
test_rank_0_drops_abandoned_round (void)
{
  fixture_t fixture = start (0, false);
  bt_map_ask_t ask = { 1, 88, 1, { 5, 1 } };

  arm (&fixture);
  for (int32_t i = 0; i < 2; i++)
    {
      fixture.actions.count = 0;
      bt_handle_map_ask (fixture.ctx, fixture.rank, &ask, fixture.now_ms, &fixture.actions);
      answer_calls (&fixture);
      CU_ASSERT_PTR_NULL (find_action (&fixture, BT_MAP_TELL));
      fixture.now_ms += GIVE_UP_MS;
    }
  CU_ASSERT_EQUAL (bt_compare_rounds (fixture.group.ranks[0].state.decided, ask.round), 0);
  CU_ASSERT_FALSE (fixture.group.ranks[0].state.decided_apply);
  bt_handle_map_ask (fixture.ctx, fixture.rank, &ask, fixture.now_ms, &fixture.actions);
  answer_calls (&fixture);
  CU_ASSERT_PTR_NOT_NULL_FATAL (find_action (&fixture, BT_MAP_TELL));
  CU_ASSERT_FALSE (find_action (&fixture, BT_MAP_TELL)->tell.apply);
  finish (&fixture);
}

/* An engine is replaced while an order for the old one is in flight. */
static void
test_orders_for_a_replaced_engine_are_refused (void)
{
  fixture_t fixture = start (1, false);
  bt_map_order_t order = { BT_MAP_STAGE, 1, 5, 1 };

  arm (&fixture);
  order.incarnation = fixture.group.ranks[1].state.incarnation + 1;
  order.round = (bt_round_id_t){ 5, 2 };
  bt_handle_map_order (fixture.ctx, fixture.rank, &order, fixture.now_ms, &fixture.actions);
  answer_calls (&fixture);
  CU_ASSERT_EQUAL (fixture.report.refusal, BT_MAP_WRONG_ENGINE);
  finish (&fixture);
}

/* Rank 0 drops a round that it is not armed for and tells rank 1. Its agent restarts, and the
 * delayed ARM order of that round arrives: the engine kept no record, and the round's fencing
 * number is still valid. If rank 0 were armed after all, the controller could apply the round.
 * Found by model/map.pml. */
static void
test_order_for_agent_before_restart_is_refused (void)
{
  fixture_t fixture = start (0, true);
  bt_map_order_t order = { BT_MAP_ARM, 0, 5, 9 };

  fixture.group.forgetful = true;
  get_ready (&fixture, 5);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_JOIN, 5, 0, false), BT_MAP_ACCEPTED);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_STAGE, 5, 1, false), BT_MAP_ACCEPTED);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_DECIDE, 5, 1, false), BT_MAP_ACCEPTED);
  CU_ASSERT_EQUAL (send_order (&fixture, BT_MAP_ARM, 5, 1, false), BT_MAP_OLD_ROUND);
  start_agent (&fixture);
  get_ready (&fixture, 5);
  order.incarnation = fixture.group.ranks[0].state.incarnation;
  order.agent = AGENT - 1;
  order.round = (bt_round_id_t){ 5, 1 };
  order.step = 10;
  fixture.actions.count = 0;
  bt_handle_map_order (fixture.ctx, fixture.rank, &order, fixture.now_ms, &fixture.actions);
  answer_calls (&fixture);
  CU_ASSERT_EQUAL (fixture.report.refusal, BT_MAP_WRONG_AGENT);
  CU_ASSERT_TRUE (bt_is_null_round (fixture.group.ranks[0].state.armed));
  finish (&fixture);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("map rank", NULL, NULL);
  CU_ADD_TEST (suite, test_restarted_agent_keeps_its_floor);
  CU_ADD_TEST (suite, test_first_decision_is_final);
  CU_ADD_TEST (suite, test_only_rank_0_decides);
  CU_ADD_TEST (suite, test_undecided_rank_asks_rank_0);
  CU_ADD_TEST (suite, test_late_answer_is_ignored);
  CU_ADD_TEST (suite, test_rank_0_drops_abandoned_round);
  CU_ADD_TEST (suite, test_orders_for_a_replaced_engine_are_refused);
  CU_ADD_TEST (suite, test_order_for_agent_before_restart_is_refused);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
