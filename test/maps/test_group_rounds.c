#include <CUnit/Basic.h>

#include "held_group.h"

/* A leader and the state of its rounds. */
typedef struct leader
{
  bt_group_rounds_t *rounds;
  uint64_t fence;
  bool leading;
  bool frozen;
} leader_t;

enum
{
  LEADERS = 2,
  TICK_MS = 5,
  STEP_MS = 40,
  MAX_ORDERS = 50, /* per leader and tick: answers take time */
  PERCENT = 100,
};

static bt_context_t *ctx;

static bt_group_rounds_t *
new_rounds_with (int32_t ranks)
{
  bt_group_rounds_settings_t settings = {
    .ranks = ranks,
    .hold_steps = 3,
    .resend_ms = 100,
    .stale_ms = 500,
    .prepare_limit_ms = 2000,
    .arm_limit_ms = 800,
    .silence_ms = 250,
  };

  return bt_new_group_rounds (ctx, &settings);
}

static bt_group_rounds_t *
new_rounds (void)
{
  return new_rounds_with (HELD_RANKS);
}

/* Sends the pending orders of a leader. The content of a version is its own number, or the content
 * in use for a version that only raises the order counts. */
static void
send_orders (held_group_t *group, leader_t *leader)
{
  bt_group_order_t order;

  for (int32_t i = 0; i < MAX_ORDERS && bt_next_group_order (leader->rounds, group->now_ms, &order);
       i++)
    {
      uint64_t content = (uint64_t)order.version;
      bt_order_result_t result;

      if (order.kind == BT_GROUP_PREPARE && order.version != bt_get_group_target (leader->rounds))
        content = group->engines[0].content;
      result = send_held_order (group, &order, content);
      if (result != BT_ORDER_LOST)
        bt_handle_group_order_result (leader->rounds, order.via, order.id, result,
                                      &group->engines[order.via].report, group->now_ms);
    }
}

static void
deliver_reports (held_group_t *group, leader_t *leader)
{
  for (int32_t i = 0; i < group->ranks; i++)
    if (!is_held_rank_frozen (group, i))
      bt_handle_rank_report (leader->rounds, i, &group->engines[i].report, group->now_ms);
}

static void
run_leader (held_group_t *group, leader_t *leader)
{
  if (!leader->leading || leader->frozen)
    return;
  if (group->now_ms % 50 == 0)
    deliver_reports (group, leader);
  if (!group->no_new_rounds && bt_get_group_phase (leader->rounds) == BT_GROUP_CALM
      && group->now_ms % 300 == 0)
    bt_begin_group_round (leader->rounds, group->now_ms);
  send_orders (group, leader);
}

static void
run_simulation (held_group_t *group, leader_t *leaders, int32_t count, int64_t until_ms)
{
  while (group->now_ms < until_ms)
    {
      group->now_ms += TICK_MS;
      deliver_delayed_orders (group);
      for (int32_t i = 0; i < count; i++)
        run_leader (group, &leaders[i]);
      if (group->now_ms % STEP_MS == 0)
        begin_held_step (group);
    }
}

static void
start_leading (leader_t *leader, uint64_t fence)
{
  leader->leading = true;
  leader->frozen = false;
  leader->fence = fence;
  bt_start_leading_group (leader->rounds, fence);
}

static void
test_idle_group_changes_its_map (void)
{
  held_group_t group;
  leader_t leader = { new_rounds () };

  start_held_group (&group, 1);
  start_leading (&leader, 7);
  run_simulation (&group, &leader, 1, 3000);
  CU_ASSERT (group.switches >= 5 * HELD_RANKS);
  CU_ASSERT_EQUAL (group.mixed_steps, 0);
  bt_drop_group_rounds (ctx, leader.rounds);
}

/* Runs rounds of a group with a given step time, and returns how many steps ahead the switch of the
 * last round was set. */
static int64_t
get_last_switch_distance (int64_t step_ms)
{
  enum
  {
    FIRST_STEPS = 3, /* equal to hold_steps in the settings */
    UNTIL_MS = 6000,
  };
  held_group_t group;
  leader_t leader = { new_rounds () };
  bt_group_order_t order;
  int64_t ahead = 0;

  start_held_group (&group, 1);
  start_leading (&leader, 7);
  while (group.now_ms < UNTIL_MS)
    {
      group.now_ms += TICK_MS;
      if (group.now_ms % 50 == 0)
        deliver_reports (&group, &leader);
      if (bt_get_group_phase (leader.rounds) == BT_GROUP_CALM)
        bt_begin_group_round (leader.rounds, group.now_ms);
      while (bt_next_group_order (leader.rounds, group.now_ms, &order))
        {
          bt_order_result_t result = send_held_order (&group, &order, (uint64_t)order.version);

          if (order.kind == BT_GROUP_HOLD)
            ahead = order.step - group.step;
          if (order.kind == BT_GROUP_HOLD && group.switches == 0)
            CU_ASSERT (ahead <= FIRST_STEPS);
          bt_handle_group_order_result (leader.rounds, order.via, order.id, result,
                                        &group.engines[order.via].report, group.now_ms);
        }
      if (group.now_ms % step_ms == 0)
        begin_held_step (&group);
    }
  CU_ASSERT (group.switches > 0);
  CU_ASSERT_EQUAL (group.mixed_steps, 0);
  bt_drop_group_rounds (ctx, leader.rounds);
  return ahead;
}

/* After a jump in demand, passes are long, and every pass until the switch leaves the busiest rank
 * overloaded. Where orders take less than a pass, the switch must be near; where a group runs many
 * passes while orders are in flight, it must be far, so that no request waits at the held step. */
static void
test_switch_distance_follows_order_time (void)
{
  int64_t near = get_last_switch_distance (200);
  int64_t far = get_last_switch_distance (20);

  CU_ASSERT (near <= 3);
  CU_ASSERT (far >= 5);
}

/* Guards against a stall in which callers got no tokens for 4 s: an agent froze right after it had
 * held the group, and only the holder's own agent can release it. The agent that sends the hold
 * must not be the one needed to release it, and a round with a silent agent must end before
 * anything is armed. */
static void
test_frozen_hold_sender_does_not_stall_group (void)
{
  enum
  {
    TURNS = 20,
    LONGEST_MS = 600,
  };

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      held_group_t group;
      leader_t leader = { new_rounds () };

      start_held_group (&group, seed);
      start_leading (&leader, 7);
      for (int32_t turn = 0; turn < TURNS; turn++)
        {
          run_simulation (&group, &leader, 1, group.now_ms + 2000);
          group.freeze_hold_sender = true;
          run_simulation (&group, &leader, 1, group.now_ms + 6000);
        }
      CU_ASSERT_EQUAL (group.mixed_steps, 0);
      CU_ASSERT (group.switches > TURNS * HELD_RANKS);
      CU_ASSERT (group.longest_step_ms <= LONGEST_MS);
      bt_drop_group_rounds (ctx, leader.rounds);
    }
}

/* Guards against a stall in which callers got no tokens for 7 s: the store went away, the leader's
 * lease ended while it held the group, and nobody led until the store was back. A leader close to
 * the end of its lease must not hold the group any more. */
static void
test_expired_lease_leaves_no_hold (void)
{
  enum
  {
    MARGIN_MS = 700,
  };

  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      held_group_t group;
      leader_t leader = { new_rounds () };
      int64_t end_ms = 1000 + (int64_t)seed * TICK_MS;

      start_held_group (&group, seed);
      start_leading (&leader, 7);
      bt_limit_group_holds (leader.rounds, end_ms);
      run_simulation (&group, &leader, 1, end_ms + MARGIN_MS);
      bt_stop_leading_group (leader.rounds);
      leader.leading = false;
      group.longest_step_ms = 0;
      run_simulation (&group, &leader, 1, end_ms + (int64_t)4 * MARGIN_MS);
      CU_ASSERT_EQUAL (group.longest_step_ms, STEP_MS);
      CU_ASSERT_EQUAL (group.mixed_steps, 0);
      bt_drop_group_rounds (ctx, leader.rounds);
    }
}

/* A rank's order to arm gets no answer and is executed seconds later. If the group were released
 * without that rank, it would switch maps alone when the delayed order arrives, or not at all. The
 * group must wait while the order is sent again, and the delayed order must be refused because of
 * its order count. */
static void
test_delayed_orders_do_not_mix_maps (void)
{
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      held_group_t group;
      leader_t leader = { new_rounds () };

      start_held_group (&group, seed);
      group.lost_percent = 40;
      start_leading (&leader, 7);
      run_simulation (&group, &leader, 1, 20000);
      group.lost_percent = 0;
      run_simulation (&group, &leader, 1, 32000);
      CU_ASSERT (group.switches > 0);
      CU_ASSERT_EQUAL (group.mixed_steps, 0);
      CU_ASSERT (group.engines[0].report.step > 100);
      bt_drop_group_rounds (ctx, leader.rounds);
    }
}

/* Alternates two leaders: one freezes, the other takes over, and the first resumes. Orders get lost
 * meanwhile, but not at the end. */
static void
change_leaders (held_group_t *group, leader_t *leaders)
{
  uint64_t fence = 10;

  group->lost_percent = 25;
  start_leading (&leaders[0], fence++);
  for (int32_t turn = 0; turn < 8; turn++)
    {
      leader_t *old = &leaders[turn % LEADERS];
      int64_t frozen_ms;

      run_simulation (group, leaders, LEADERS,
                      group->now_ms + 500 + (int64_t)bt_random_below (&group->random, 1500));
      old->frozen = true;
      start_leading (&leaders[(turn + 1) % LEADERS], fence++);
      frozen_ms = 100 + (int64_t)bt_random_below (&group->random, 2000);
      run_simulation (group, leaders, LEADERS, group->now_ms + frozen_ms);
      old->frozen = false;
      run_simulation (group, leaders, LEADERS, group->now_ms + 400);
      old->leading = false;
    }
  group->lost_percent = 0;
  run_simulation (group, leaders, LEADERS, group->now_ms + 12000);
  /* A round may be in progress, with the group held before a future step. */
  group->no_new_rounds = true;
  run_simulation (group, leaders, LEADERS, group->now_ms + 1000);
}

static void
check_changed_leaders (uint64_t seed, int32_t ranks)
{
  held_group_t group;
  leader_t leaders[LEADERS] = { { new_rounds_with (ranks) }, { new_rounds_with (ranks) } };

  start_held_group_with (&group, seed, ranks);
  change_leaders (&group, leaders);
  CU_ASSERT_EQUAL (group.mixed_steps, 0);
  CU_ASSERT (group.switches > 0);
  for (int32_t i = 0; i < ranks; i++)
    CU_ASSERT_EQUAL (group.engines[i].report.held_step, BT_NO_STEP);
  for (int32_t i = 0; i < LEADERS; i++)
    bt_drop_group_rounds (ctx, leaders[i].rounds);
}

/* A leader freezes in the middle of a round, another takes over, and the first resumes sending. The
 * second finds ranks armed and the group held. It must release the group, and orders of the first
 * must not arm a rank unnoticed. */
static void
test_two_leaders_do_not_mix_maps (void)
{
  for (uint64_t seed = 1; seed <= 300; seed++)
    check_changed_leaders (seed, HELD_RANKS);
}

/* Guards against a group with more ranks than the bits of one word of a set: its map was never
 * changed, and its busiest rank was at three times the mean load all day. Its rounds must work like
 * those of any other group. */
static void
test_large_groups_run_rounds (void)
{
  static const int32_t ranks[] = { 130, 192, HELD_MAX_RANKS };

  for (size_t i = 0; i < sizeof ranks / sizeof ranks[0]; i++)
    {
      held_group_t group;
      leader_t leader = { new_rounds_with (ranks[i]) };

      start_held_group_with (&group, 1, ranks[i]);
      start_leading (&leader, 7);
      run_simulation (&group, &leader, 1, 5000);
      CU_ASSERT (group.switches >= 5 * ranks[i]);
      CU_ASSERT_EQUAL (group.mixed_steps, 0);
      bt_drop_group_rounds (ctx, leader.rounds);
      check_changed_leaders (i + 1, ranks[i]);
    }
}

/* A rank crashes in the middle of a round: the group is re-formed with the first map, and nothing
 * prepared, armed or held. Orders of the old epoch must not take effect in the new one. */
static void
test_new_epoch_resets_round (void)
{
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      held_group_t group;
      leader_t leader = { new_rounds () };

      start_held_group (&group, seed);
      group.lost_percent = 30;
      start_leading (&leader, 7);
      for (int32_t turn = 0; turn < 10; turn++)
        {
          run_simulation (&group, &leader, 1,
                          group.now_ms + 200 + (int64_t)bt_random_below (&group.random, 1200));
          form_held_group (&group);
        }
      group.lost_percent = 0;
      run_simulation (&group, &leader, 1, group.now_ms + 12000);
      CU_ASSERT_EQUAL (group.mixed_steps, 0);
      CU_ASSERT (group.engines[0].report.version > 0);
      bt_drop_group_rounds (ctx, leader.rounds);
    }
}

/* All engines of a group lose power during rounds and restart under their old ids, with the first
 * map, no accepted orders, and an epoch number that was used before. Orders sent to the earlier
 * starts must not take effect at the new ones. A hold comes from another rank's agent, which cannot
 * tell; one that arrives must be found and released. */
static void
test_restarted_engines_refuse_old_orders (void)
{
  int32_t misdirected = 0;

  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      held_group_t group;
      leader_t leader = { new_rounds () };

      start_held_group (&group, seed);
      group.lost_percent = 30;
      start_leading (&leader, 7);
      for (int32_t turn = 0; turn < 10; turn++)
        {
          run_simulation (&group, &leader, 1,
                          group.now_ms + 200 + (int64_t)bt_random_below (&group.random, 1200));
          restart_held_group (&group);
        }
      group.lost_percent = 0;
      run_simulation (&group, &leader, 1, group.now_ms + 12000);
      CU_ASSERT_EQUAL (group.mixed_steps, 0);
      CU_ASSERT (group.engines[0].report.version > 0);
      group.no_new_rounds = true;
      run_simulation (&group, &leader, 1, group.now_ms + 1000);
      for (int32_t i = 0; i < HELD_RANKS; i++)
        CU_ASSERT_EQUAL (group.engines[i].report.held_step, BT_NO_STEP);
      misdirected += group.misdirected;
      bt_drop_group_rounds (ctx, leader.rounds);
    }
  CU_ASSERT_EQUAL (misdirected, 0);
}

/* One engine restarts while the ranks are being armed, and its first report arrives before the
 * others have noticed. The round must end at once: no ARM order goes to an engine that has nothing
 * prepared, and later orders are based on the new start. */
static void
test_engine_restart_ends_round (void)
{
  held_group_t group;
  leader_t leader = { new_rounds () };
  bt_rank_report_t restarted = { .open = true, .held_step = BT_NO_STEP, .started_ms = 900 };
  bt_group_order_t order;

  start_held_group (&group, 2);
  for (int32_t i = 0; i < HELD_RANKS; i++)
    group.engines[i].report.started_ms = 100;
  start_leading (&leader, 7);
  while (bt_get_group_target (leader.rounds) == 0 && group.now_ms < 3000)
    run_simulation (&group, &leader, 1, group.now_ms + TICK_MS);
  CU_ASSERT (bt_get_group_target (leader.rounds) != 0);
  restarted.epoch = group.epoch;
  restarted.step = group.step;
  bt_handle_rank_report (leader.rounds, 2, &restarted, group.now_ms);
  CU_ASSERT_EQUAL (bt_get_group_target (leader.rounds), 0);
  for (int32_t i = 0;
       i < 2 * HELD_RANKS && bt_next_group_order (leader.rounds, group.now_ms + 1000, &order); i++)
    {
      CU_ASSERT (order.kind != BT_GROUP_ARM);
      CU_ASSERT_EQUAL (order.started_ms, order.rank == 2 ? 900 : 100);
      CU_ASSERT (order.rank != 2 || order.sequence == 0);
    }
  bt_drop_group_rounds (ctx, leader.rounds);
}

/* A leader whose order was refused because of a newer leader's fencing number stops sending. */
static void
test_fenced_leader_stops (void)
{
  held_group_t group;
  leader_t leader = { new_rounds () };
  bt_group_order_t order;

  start_held_group (&group, 3);
  for (int32_t i = 0; i < HELD_RANKS; i++)
    group.engines[i].fence = 9;
  start_leading (&leader, 8);
  deliver_reports (&group, &leader);
  CU_ASSERT (bt_begin_group_round (leader.rounds, group.now_ms) > 0);
  send_orders (&group, &leader);
  CU_ASSERT (bt_is_group_fenced (leader.rounds));
  CU_ASSERT_FALSE (bt_next_group_order (leader.rounds, group.now_ms + 1000, &order));
  bt_drop_group_rounds (ctx, leader.rounds);
}

/* Guards against a group that stood still for as long as its leader led: every rank held it, so
 * none was left to take the new leader's own hold. The former leader had armed a rank, and each
 * hold of the new one was executed while its answer was lost, until every rank had one. In a group
 * of two, one lost answer is enough. */
static void
test_group_held_by_every_rank_is_released (void)
{
  enum
  {
    VERSION = 3,
  };

  for (int32_t armed = 0; armed <= HELD_RANKS; armed++)
    for (uint64_t seed = 1; seed <= 10; seed++)
      {
        held_group_t group;
        leader_t leader = { new_rounds () };

        start_held_group (&group, seed);
        group.no_new_rounds = true;
        for (int32_t i = 0; i < HELD_RANKS; i++)
          {
            bt_rank_report_t *report = &group.engines[i].report;

            group.engines[i].highest_version = VERSION;
            report->prepared = VERSION;
            report->held_step = i == 0 ? 3 : 2;
            report->armed_version = i < armed ? VERSION : 0;
            report->armed_step = i < armed ? 2 : 0;
          }
        start_leading (&leader, 7);
        run_simulation (&group, &leader, 1, 3000);
        CU_ASSERT_EQUAL (group.mixed_steps, 0);
        for (int32_t i = 0; i < HELD_RANKS; i++)
          CU_ASSERT_EQUAL (group.engines[i].report.held_step, BT_NO_STEP);
        CU_ASSERT (group.step > 2);
        bt_drop_group_rounds (ctx, leader.rounds);
      }
}

/* Guards against a hold order that was lost just before the end of the lease came near: the leader
 * sent it again up to that end, and the last one would have held the group with no leader left to
 * release it. */
static void
test_lost_hold_is_not_resent_near_lease_end (void)
{
  enum
  {
    END_MS = 700,
    LATER_MS = 3000,
  };
  held_group_t group;
  leader_t leader = { new_rounds () };
  bt_group_order_t order;
  int32_t holds = 0;

  start_held_group (&group, 2);
  start_leading (&leader, 7);
  bt_limit_group_holds (leader.rounds, END_MS);
  deliver_reports (&group, &leader);
  bt_begin_group_round (leader.rounds, group.now_ms);
  while (group.now_ms < LATER_MS)
    {
      group.now_ms += TICK_MS;
      deliver_reports (&group, &leader);
      while (bt_next_group_order (leader.rounds, group.now_ms, &order))
        if (order.kind != BT_GROUP_HOLD)
          send_held_order (&group, &order, (uint64_t)order.version);
        else
          {
            holds++;
            CU_ASSERT (group.now_ms < END_MS);
          }
    }
  CU_ASSERT (holds > 0);
  bt_drop_group_rounds (ctx, leader.rounds);
}

/* Guards against a leader that took the answer to an earlier order as proof that its own hold was
 * in force, and cancelled what another leader had armed, while that one could release the group at
 * any moment. */
static void
test_late_result_does_not_prove_hold (void)
{
  enum
  {
    VERSION = 3,
    ARMED_RANK = 2,
  };
  held_group_t group;
  leader_t leader = { new_rounds () };
  bt_group_order_t orders[HELD_RANKS];
  bt_group_order_t order;
  int32_t count = 0;

  start_held_group (&group, 2);
  group.engines[0].report.held_step = 5;
  start_leading (&leader, 7);
  deliver_reports (&group, &leader);
  while (count < HELD_RANKS && bt_next_group_order (leader.rounds, group.now_ms, &orders[count]))
    count++;
  CU_ASSERT_EQUAL (count, HELD_RANKS);
  CU_ASSERT_EQUAL (bt_get_group_phase (leader.rounds), BT_GROUP_CLEARING);
  group.engines[ARMED_RANK].report.armed_version = VERSION;
  group.engines[ARMED_RANK].report.armed_step = 5;
  deliver_reports (&group, &leader);
  deliver_reports (&group, &leader);
  CU_ASSERT_EQUAL (bt_get_group_phase (leader.rounds), BT_GROUP_SECURING);
  bt_handle_group_order_result (leader.rounds, 1, orders[1].id, BT_ORDER_DONE,
                                &group.engines[1].report, group.now_ms);
  while (bt_next_group_order (leader.rounds, group.now_ms, &order))
    CU_ASSERT (order.kind == BT_GROUP_HOLD);
  CU_ASSERT_EQUAL (bt_get_group_phase (leader.rounds), BT_GROUP_SECURING);
  bt_drop_group_rounds (ctx, leader.rounds);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("group_rounds", NULL, NULL);
  CU_add_test (suite, "idle_group_changes_its_map", test_idle_group_changes_its_map);
  CU_add_test (suite, "frozen_hold_sender_does_not_stall_group",
               test_frozen_hold_sender_does_not_stall_group);
  CU_add_test (suite, "expired_lease_leaves_no_hold", test_expired_lease_leaves_no_hold);
  CU_add_test (suite, "delayed_orders_do_not_mix_maps", test_delayed_orders_do_not_mix_maps);
  CU_add_test (suite, "two_leaders_do_not_mix_maps", test_two_leaders_do_not_mix_maps);
  CU_add_test (suite, "switch_distance_follows_order_time",
               test_switch_distance_follows_order_time);
  CU_add_test (suite, "large_groups_run_rounds", test_large_groups_run_rounds);
  CU_add_test (suite, "new_epoch_resets_round", test_new_epoch_resets_round);
  CU_add_test (suite, "restarted_engines_refuse_old_orders",
               test_restarted_engines_refuse_old_orders);
  CU_add_test (suite, "engine_restart_ends_round", test_engine_restart_ends_round);
  CU_add_test (suite, "fenced_leader_stops", test_fenced_leader_stops);
  CU_add_test (suite, "group_held_by_every_rank_is_released",
               test_group_held_by_every_rank_is_released);
  CU_add_test (suite, "lost_hold_is_not_resent_near_lease_end",
               test_lost_hold_is_not_resent_near_lease_end);
  CU_add_test (suite, "late_result_does_not_prove_hold", test_late_result_does_not_prove_hold);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
