#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/maps/map_controller.h"
#include "lockstep.h"

enum
{
  RANKS = 3,
  LEASE_MS = 1000,
  MARGIN_MS = 100,
  FENCE = 7,
};

static const bt_map_controller_settings_t settings = {
  RANKS, MARGIN_MS, 50, 10000, 300, 300, 10, 42
};

/** A controller and a group whose agents pass on each order and report at once. */
typedef struct fixture
{
  bt_context_t *ctx;
  int64_t now_ms;
  lockstep_t group;
  bt_map_controller_t *controller;
  bt_map_actions_t actions;
  int32_t sent[BT_MAP_JOIN + 1]; /* orders sent, by kind */
  int32_t refusing_rank;         /* rank that refuses to arm, or -1 */
} fixture_t;

static fixture_t
start (void)
{
  fixture_t fixture = { bt_new_context () };

  fixture.refusing_rank = -1;
  lockstep_start (&fixture.group, RANKS, false);
  fixture.controller = bt_new_map_controller (fixture.ctx, &settings);
  bt_grant_map_lease (fixture.controller, FENCE, 0, LEASE_MS);
  return fixture;
}

static void
finish (fixture_t *fixture)
{
  bt_drop_map_controller (fixture->ctx, fixture->controller);
  bt_clear_map_actions (fixture->ctx, &fixture->actions);
  bt_drop_context (fixture->ctx);
}

static void
answer (fixture_t *fixture, const bt_map_order_t *order)
{
  bt_map_report_t report = { order->rank, order->fence, order->id };

  fixture->sent[order->kind]++;
  if ((order->kind == BT_MAP_ARM && order->rank == fixture->refusing_rank)
      || !lockstep_order (&fixture->group, order->rank, order))
    report.refusal = BT_MAP_ENGINE_REFUSED;
  report.engine = fixture->group.ranks[order->rank].state;
  bt_handle_map_report (fixture->controller, &report, fixture->now_ms);
}

static void
run (fixture_t *fixture, int32_t ticks)
{
  for (; ticks > 0; ticks--)
    {
      fixture->now_ms += 10;
      bt_renew_map_lease (fixture->controller, fixture->now_ms, LEASE_MS, fixture->now_ms);
      fixture->actions.count = 0;
      bt_tick_map_controller (fixture->ctx, fixture->controller, fixture->now_ms,
                              &fixture->actions);
      for (int32_t i = 0; i < fixture->actions.count; i++)
        answer (fixture, &fixture->actions.items[i].order);
      lockstep_step (&fixture->group);
    }
}

static void
test_group_starts_and_changes_its_map (void)
{
  fixture_t fixture = start ();

  run (&fixture, 10);
  CU_ASSERT_TRUE (bt_is_map_group_converged (fixture.controller));
  CU_ASSERT_EQUAL (fixture.group.ranks[2].state.in_use_digest, 42);
  CU_ASSERT_TRUE (bt_begin_map_round (fixture.controller, 43, fixture.now_ms));
  CU_ASSERT_FALSE (bt_begin_map_round (fixture.controller, 44, fixture.now_ms));
  run (&fixture, 60);
  CU_ASSERT_EQUAL (bt_get_round_result (fixture.controller), BT_ROUND_APPLIED);
  CU_ASSERT_EQUAL (fixture.group.ranks[2].state.in_use_digest, 43);
  CU_ASSERT_EQUAL (fixture.group.held, 0);
  CU_ASSERT_EQUAL (fixture.sent[BT_MAP_DECIDE], 1);
  CU_ASSERT_STRING_EQUAL (fixture.group.violation, "");
  finish (&fixture);
}

/* One rank cannot be armed. Rank 0 drops the round, the armed ranks learn it, the group continues
 * with its old map, and the controller reports the round as dropped. */
static void
test_abandoned_round_is_reported_dropped (void)
{
  fixture_t fixture = start ();
  uint64_t steps;

  run (&fixture, 10);
  fixture.refusing_rank = 1;
  CU_ASSERT_TRUE (bt_begin_map_round (fixture.controller, 43, fixture.now_ms));
  run (&fixture, 100);
  CU_ASSERT_EQUAL (bt_get_round_result (fixture.controller), BT_ROUND_DROPPED);
  CU_ASSERT_TRUE (bt_is_map_group_converged (fixture.controller));
  CU_ASSERT_EQUAL (fixture.group.ranks[0].state.in_use_digest, 42);
  steps = fixture.group.steps;
  run (&fixture, 10);
  CU_ASSERT_EQUAL (fixture.group.steps, steps + 10);
  finish (&fixture);
}

/* A controller is paused beyond its lease and resumes in the middle of a round. It must send
 * nothing, a late renewal must not restore the lease, and the result of the round is unknown to
 * it. */
static void
test_lease_counts_from_before_the_renewal (void)
{
  fixture_t fixture = start ();

  CU_ASSERT_TRUE (bt_holds_map_lease (fixture.controller, LEASE_MS - MARGIN_MS - 1));
  CU_ASSERT_FALSE (bt_holds_map_lease (fixture.controller, LEASE_MS - MARGIN_MS));
  run (&fixture, 10);
  CU_ASSERT_TRUE (bt_begin_map_round (fixture.controller, 43, fixture.now_ms));
  run (&fixture, 2);
  fixture.now_ms += LEASE_MS;
  bt_renew_map_lease (fixture.controller, fixture.now_ms - 10, LEASE_MS, fixture.now_ms);
  CU_ASSERT_FALSE (bt_holds_map_lease (fixture.controller, fixture.now_ms));
  fixture.actions.count = 0;
  bt_tick_map_controller (fixture.ctx, fixture.controller, fixture.now_ms, &fixture.actions);
  CU_ASSERT_EQUAL (fixture.actions.count, 0);
  CU_ASSERT_EQUAL (bt_get_round_result (fixture.controller), BT_ROUND_UNKNOWN);
  CU_ASSERT_FALSE (bt_begin_map_round (fixture.controller, 44, fixture.now_ms));
  finish (&fixture);
}

/* Rank 0 is replaced after the others have learned that the map is applied. The new engine receives
 * the group's map and the pending change before it joins, and all ranks switch at the same step. */
static void
test_replaced_rank_0_joins_applied_round (void)
{
  fixture_t fixture = start ();

  run (&fixture, 10);
  CU_ASSERT_TRUE (bt_begin_map_round (fixture.controller, 43, fixture.now_ms));
  while (!bt_is_undecided (&fixture.group.ranks[1].state))
    run (&fixture, 1);
  while (bt_is_undecided (&fixture.group.ranks[1].state))
    run (&fixture, 1);
  CU_ASSERT_EQUAL (fixture.group.ranks[1].state.in_use_digest, 42);
  lockstep_replace (&fixture.group, 0);
  fixture.now_ms += settings.query_after_ms;
  bt_grant_map_lease (fixture.controller, FENCE + 1, fixture.now_ms, LEASE_MS);
  run (&fixture, 60);
  CU_ASSERT_TRUE (bt_is_map_group_converged (fixture.controller));
  CU_ASSERT_EQUAL (fixture.group.ranks[0].state.in_use_digest, 43);
  CU_ASSERT_STRING_EQUAL (fixture.group.violation, "");
  finish (&fixture);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("map controller", NULL, NULL);
  CU_ADD_TEST (suite, test_group_starts_and_changes_its_map);
  CU_ADD_TEST (suite, test_abandoned_round_is_reported_dropped);
  CU_ADD_TEST (suite, test_lease_counts_from_before_the_renewal);
  CU_ADD_TEST (suite, test_replaced_rank_0_joins_applied_round);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
