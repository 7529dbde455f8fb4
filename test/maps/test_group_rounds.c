#include <CUnit/Basic.h>

#include "held_group.h"

/* A leader: its rounds, and where its frames go. */
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
  MOST_ORDERS = 50, /* of a leader in one tick: answers take their time */
  PERCENT = 100,
};

static bt_context_t *ctx;

static bt_group_rounds_t *
new_rounds_of (int32_t ranks)
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
  return new_rounds_of (HELD_RANKS);
}

/* Sends what a leader has to send. The content that a version stands for is its own number, and the
 * content in use for a version that only raises the counts. */
static void
send_orders (held_group_t *group, leader_t *leader)
{
  bt_group_order_t order;

  for (int32_t i = 0;
       i < MOST_ORDERS && bt_next_group_order (leader->rounds, group->now_ms, &order); i++)
    {
      uint64_t content = (uint64_t)order.version;
      bt_order_result_t result;

      if (order.kind == BT_GROUP_PREPARE && order.version != bt_get_group_target (leader->rounds))
        content = group->engines[0].content;
      result = send_held_order (group, &order, content);
      if (result != BT_ORDER_LOST)
        bt_take_group_order_result (leader->rounds, order.via, order.id, result,
                                    &group->engines[order.via].report, group->now_ms);
    }
}

static void
tell_reports (held_group_t *group, leader_t *leader)
{
  for (int32_t i = 0; i < group->ranks; i++)
    if (!is_held_rank_frozen (group, i))
      bt_take_rank_report (leader->rounds, i, &group->engines[i].report, group->now_ms);
}

static void
run_leader (held_group_t *group, leader_t *leader)
{
  if (!leader->leading || leader->frozen)
    return;
  if (group->now_ms % 50 == 0)
    tell_reports (group, leader);
  if (!group->ending && bt_get_group_phase (leader->rounds) == BT_GROUP_CALM
      && group->now_ms % 300 == 0)
    bt_begin_group_round (leader->rounds, group->now_ms);
  send_orders (group, leader);
}

static void
run_world (held_group_t *group, leader_t *leaders, int32_t count, int64_t until_ms)
{
  while (group->now_ms < until_ms)
    {
      group->now_ms += TICK_MS;
      run_late_orders (group);
      for (int32_t i = 0; i < count; i++)
        run_leader (group, &leaders[i]);
      if (group->now_ms % STEP_MS == 0)
        begin_held_step (group);
    }
}

static void
lead (leader_t *leader, uint64_t fence)
{
  leader->leading = true;
  leader->frozen = false;
  leader->fence = fence;
  bt_lead_group (leader->rounds, fence);
}

static void
test_calm_group_changes_its_map (void)
{
  held_group_t group;
  leader_t leader = { new_rounds () };

  start_held_group (&group, 1);
  lead (&leader, 7);
  run_world (&group, &leader, 1, 3000);
  CU_ASSERT (group.changes >= 5 * HELD_RANKS);
  CU_ASSERT_EQUAL (group.splits, 0);
  bt_drop_group_rounds (ctx, leader.rounds);
}

/* Runs rounds of a group with steps of a given length, and returns how far ahead the change of the
 * last one was set. */
static int64_t
find_last_steps_ahead (int64_t step_ms)
{
  enum
  {
    FIRST_STEPS = 3, /* as the rounds are made with */
    UNTIL_MS = 6000,
  };
  held_group_t group;
  leader_t leader = { new_rounds () };
  bt_group_order_t order;
  int64_t ahead = 0;

  start_held_group (&group, 1);
  lead (&leader, 7);
  while (group.now_ms < UNTIL_MS)
    {
      group.now_ms += TICK_MS;
      if (group.now_ms % 50 == 0)
        tell_reports (&group, &leader);
      if (bt_get_group_phase (leader.rounds) == BT_GROUP_CALM)
        bt_begin_group_round (leader.rounds, group.now_ms);
      while (bt_next_group_order (leader.rounds, group.now_ms, &order))
        {
          bt_order_result_t result = send_held_order (&group, &order, (uint64_t)order.version);

          if (order.kind == BT_GROUP_HOLD)
            ahead = order.step - group.step;
          if (order.kind == BT_GROUP_HOLD && group.changes == 0)
            CU_ASSERT (ahead <= FIRST_STEPS);
          bt_take_group_order_result (leader.rounds, order.via, order.id, result,
                                      &group.engines[order.via].report, group.now_ms);
        }
      if (group.now_ms % step_ms == 0)
        begin_held_step (&group);
    }
  CU_ASSERT (group.changes > 0);
  CU_ASSERT_EQUAL (group.splits, 0);
  bt_drop_group_rounds (ctx, leader.rounds);
  return ahead;
}

/* After a jump of demand passes are long, and each one until the change leaves the busiest rank as
 * it is. Where orders take less than a pass the change is near; where a group makes many passes
 * while they are on their way it is far, so that nobody waits at the held step. */
static void
test_change_is_as_near_as_orders_allow (void)
{
  int64_t near = find_last_steps_ahead (200);
  int64_t far = find_last_steps_ahead (20);

  CU_ASSERT (near <= 3);
  CU_ASSERT (far >= 5);
}

/* Callers of the model got nothing for 4 s: an agent stood still right after it had held the group,
 * and only the holder's own agent can let it go. Whoever gives the hold must not be the one whose
 * help is needed to take it back, and a round with a silent agent ends before anything is armed. */
static void
test_giver_that_stands_still_holds_up_nobody (void)
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
      lead (&leader, 7);
      for (int32_t turn = 0; turn < TURNS; turn++)
        {
          run_world (&group, &leader, 1, group.now_ms + 2000);
          group.freeze_giver = true;
          run_world (&group, &leader, 1, group.now_ms + 6000);
        }
      CU_ASSERT_EQUAL (group.splits, 0);
      CU_ASSERT (group.changes > TURNS * HELD_RANKS);
      CU_ASSERT (group.longest_ms <= LONGEST_MS);
      bt_drop_group_rounds (ctx, leader.rounds);
    }
}

/* Callers of the model got nothing for 7 s: the store went away, and the leader's lease ended while
 * it held the group. Nobody led until the store was back. A leader that sees the end of its lease
 * come holds no group any more. */
static void
test_lease_that_ends_leaves_no_hold (void)
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
      lead (&leader, 7);
      bt_limit_group_holds (leader.rounds, end_ms);
      run_world (&group, &leader, 1, end_ms + MARGIN_MS);
      bt_leave_group (leader.rounds);
      leader.leading = false;
      group.longest_ms = 0;
      run_world (&group, &leader, 1, end_ms + (int64_t)4 * MARGIN_MS);
      CU_ASSERT_EQUAL (group.longest_ms, STEP_MS);
      CU_ASSERT_EQUAL (group.splits, 0);
      bt_drop_group_rounds (ctx, leader.rounds);
    }
}

/* A rank's order to arm gets no answer and is carried out seconds later. Were the group let go
 * without that rank, it would change maps alone when the late order lands, or not at all. The group
 * waits, the order is sent again, and the late one finds another count of orders. */
static void
test_late_orders_split_no_group (void)
{
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      held_group_t group;
      leader_t leader = { new_rounds () };

      start_held_group (&group, seed);
      group.lost_percent = 40;
      lead (&leader, 7);
      run_world (&group, &leader, 1, 20000);
      group.lost_percent = 0;
      run_world (&group, &leader, 1, 32000);
      CU_ASSERT (group.changes > 0);
      CU_ASSERT_EQUAL (group.splits, 0);
      CU_ASSERT (group.engines[0].report.step > 100);
      bt_drop_group_rounds (ctx, leader.rounds);
    }
}

/* Two leaders by turns: the one stands still, the other takes over, and the first wakes up. Orders
 * are lost meanwhile, and no more at the end. */
static void
change_leaders (held_group_t *group, leader_t *leaders)
{
  uint64_t fence = 10;

  group->lost_percent = 25;
  lead (&leaders[0], fence++);
  for (int32_t turn = 0; turn < 8; turn++)
    {
      leader_t *old = &leaders[turn % LEADERS];
      int64_t slept_ms;

      run_world (group, leaders, LEADERS,
                 group->now_ms + 500 + (int64_t)bt_random_below (&group->random, 1500));
      old->frozen = true;
      lead (&leaders[(turn + 1) % LEADERS], fence++);
      slept_ms = 100 + (int64_t)bt_random_below (&group->random, 2000);
      run_world (group, leaders, LEADERS, group->now_ms + slept_ms);
      old->frozen = false;
      run_world (group, leaders, LEADERS, group->now_ms + 400);
      old->leading = false;
    }
  group->lost_percent = 0;
  run_world (group, leaders, LEADERS, group->now_ms + 12000);
  /* A round may just be under way, with the group held before a step to come. */
  group->ending = true;
  run_world (group, leaders, LEADERS, group->now_ms + 1000);
}

static void
check_changed_leaders (uint64_t seed, int32_t ranks)
{
  held_group_t group;
  leader_t leaders[LEADERS] = { { new_rounds_of (ranks) }, { new_rounds_of (ranks) } };

  start_held_group_of (&group, seed, ranks);
  change_leaders (&group, leaders);
  CU_ASSERT_EQUAL (group.splits, 0);
  CU_ASSERT (group.changes > 0);
  for (int32_t i = 0; i < ranks; i++)
    CU_ASSERT_EQUAL (group.engines[i].report.held_step, BT_NO_STEP);
  for (int32_t i = 0; i < LEADERS; i++)
    bt_drop_group_rounds (ctx, leaders[i].rounds);
}

/* A leader stands still in the middle of a round, another takes over, and the first wakes and goes
 * on sending as if nothing had been. The second finds ranks armed and the group held; it must free
 * the group, and what the first still sends must not arm a rank behind its back. */
static void
test_two_leaders_split_no_group (void)
{
  for (uint64_t seed = 1; seed <= 300; seed++)
    check_changed_leaders (seed, HELD_RANKS);
}

/* A group of more ranks than one word of a set has: its map was never changed, and its busiest rank
 * stood at three times the mean load all day. Rounds of such a group are those of any other. */
static void
test_large_groups_are_led_like_small_ones (void)
{
  static const int32_t ranks[] = { 130, 192, HELD_MOST_RANKS };

  for (size_t i = 0; i < sizeof ranks / sizeof ranks[0]; i++)
    {
      held_group_t group;
      leader_t leader = { new_rounds_of (ranks[i]) };

      start_held_group_of (&group, 1, ranks[i]);
      lead (&leader, 7);
      run_world (&group, &leader, 1, 5000);
      CU_ASSERT (group.changes >= 5 * ranks[i]);
      CU_ASSERT_EQUAL (group.splits, 0);
      bt_drop_group_rounds (ctx, leader.rounds);
      check_changed_leaders (i + 1, ranks[i]);
    }
}

/* A rank crashes in the middle of a round: the group is formed anew with the first map, and nothing
 * prepared, armed or held. Orders of the old epoch must not reach the new one. */
static void
test_new_epoch_starts_anew (void)
{
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      held_group_t group;
      leader_t leader = { new_rounds () };

      start_held_group (&group, seed);
      group.lost_percent = 30;
      lead (&leader, 7);
      for (int32_t turn = 0; turn < 10; turn++)
        {
          run_world (&group, &leader, 1,
                     group.now_ms + 200 + (int64_t)bt_random_below (&group.random, 1200));
          form_held_group (&group);
        }
      group.lost_percent = 0;
      run_world (&group, &leader, 1, group.now_ms + 12000);
      CU_ASSERT_EQUAL (group.splits, 0);
      CU_ASSERT (group.engines[0].report.version > 0);
      bt_drop_group_rounds (ctx, leader.rounds);
    }
}

/* All engines of a group lose power in the middle of rounds and start again under their ids: the
 * first map everywhere, no order accepted yet, and an epoch that was there before. What was sent to
 * the starts before must begin nothing at the new ones; a hold comes from another rank's agent,
 * which can't tell, and one that lands is found and let go. */
static void
test_new_starts_get_no_orders_of_before (void)
{
  int32_t astray = 0;

  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      held_group_t group;
      leader_t leader = { new_rounds () };

      start_held_group (&group, seed);
      group.lost_percent = 30;
      lead (&leader, 7);
      for (int32_t turn = 0; turn < 10; turn++)
        {
          run_world (&group, &leader, 1,
                     group.now_ms + 200 + (int64_t)bt_random_below (&group.random, 1200));
          restart_held_group (&group);
        }
      group.lost_percent = 0;
      run_world (&group, &leader, 1, group.now_ms + 12000);
      CU_ASSERT_EQUAL (group.splits, 0);
      CU_ASSERT (group.engines[0].report.version > 0);
      group.ending = true;
      run_world (&group, &leader, 1, group.now_ms + 1000);
      for (int32_t i = 0; i < HELD_RANKS; i++)
        CU_ASSERT_EQUAL (group.engines[i].report.held_step, BT_NO_STEP);
      astray += group.astray;
      bt_drop_group_rounds (ctx, leader.rounds);
    }
  CU_ASSERT_EQUAL (astray, 0);
}

/* One engine starts again while the ranks are being armed, and the first word of it comes before
 * the others have noticed. The round is given up at once: no order to arm goes to an engine that
 * has nothing prepared, and what the leader orders next rests on the new start. */
static void
test_engine_that_starts_anew_ends_the_round (void)
{
  held_group_t group;
  leader_t leader = { new_rounds () };
  bt_rank_report_t anew = { .open = true, .held_step = BT_NO_STEP, .started_ms = 900 };
  bt_group_order_t order;

  start_held_group (&group, 2);
  for (int32_t i = 0; i < HELD_RANKS; i++)
    group.engines[i].report.started_ms = 100;
  lead (&leader, 7);
  while (bt_get_group_target (leader.rounds) == 0 && group.now_ms < 3000)
    run_world (&group, &leader, 1, group.now_ms + TICK_MS);
  CU_ASSERT (bt_get_group_target (leader.rounds) != 0);
  anew.epoch = group.epoch;
  anew.step = group.step;
  bt_take_rank_report (leader.rounds, 2, &anew, group.now_ms);
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

/* An order that a newer leader's fencing number turned away ends a leader: it sends nothing more.
 */
static void
test_fenced_leader_stops (void)
{
  held_group_t group;
  leader_t leader = { new_rounds () };
  bt_group_order_t order;

  start_held_group (&group, 3);
  for (int32_t i = 0; i < HELD_RANKS; i++)
    group.engines[i].fence = 9;
  lead (&leader, 8);
  tell_reports (&group, &leader);
  CU_ASSERT (bt_begin_group_round (leader.rounds, group.now_ms) > 0);
  send_orders (&group, &leader);
  CU_ASSERT (bt_is_group_fenced (leader.rounds));
  CU_ASSERT_FALSE (bt_next_group_order (leader.rounds, group.now_ms + 1000, &order));
  bt_drop_group_rounds (ctx, leader.rounds);
}

/* A group stood for as long as its leader led: all ranks held it, so none was left to take the new
 * leader's own hold. The former leader had armed a rank, and each hold of the new one was carried
 * out though its answer was lost, until every rank had one. In a group of two, one lost answer
 * does. */
static void
test_group_that_every_rank_holds_is_freed (void)
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
        group.ending = true;
        for (int32_t i = 0; i < HELD_RANKS; i++)
          {
            bt_rank_report_t *report = &group.engines[i].report;

            group.engines[i].highest_version = VERSION;
            report->prepared = VERSION;
            report->held_step = i == 0 ? 3 : 2;
            report->armed_version = i < armed ? VERSION : 0;
            report->armed_step = i < armed ? 2 : 0;
          }
        lead (&leader, 7);
        run_world (&group, &leader, 1, 3000);
        CU_ASSERT_EQUAL (group.splits, 0);
        for (int32_t i = 0; i < HELD_RANKS; i++)
          CU_ASSERT_EQUAL (group.engines[i].report.held_step, BT_NO_STEP);
        CU_ASSERT (group.step > 2);
        bt_drop_group_rounds (ctx, leader.rounds);
      }
}

/* The first order to hold was lost just before the end of the lease came into sight. The leader
 * sent it again and again, up to that end, and the last one would have held the group with nobody
 * left to let it go. */
static void
test_lost_hold_is_not_sent_again_near_the_end_of_the_lease (void)
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
  lead (&leader, 7);
  bt_limit_group_holds (leader.rounds, END_MS);
  tell_reports (&group, &leader);
  bt_begin_group_round (leader.rounds, group.now_ms);
  while (group.now_ms < LATER_MS)
    {
      group.now_ms += TICK_MS;
      tell_reports (&group, &leader);
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

/* A leader took the answer to an earlier order for the proof that its own hold is in force, and
 * took back what another had armed while that one could let the group go at any moment. */
static void
test_late_answer_proves_no_hold (void)
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
  lead (&leader, 7);
  tell_reports (&group, &leader);
  while (count < HELD_RANKS && bt_next_group_order (leader.rounds, group.now_ms, &orders[count]))
    count++;
  CU_ASSERT_EQUAL (count, HELD_RANKS);
  CU_ASSERT_EQUAL (bt_get_group_phase (leader.rounds), BT_GROUP_CLEARING);
  group.engines[ARMED_RANK].report.armed_version = VERSION;
  group.engines[ARMED_RANK].report.armed_step = 5;
  tell_reports (&group, &leader);
  tell_reports (&group, &leader);
  CU_ASSERT_EQUAL (bt_get_group_phase (leader.rounds), BT_GROUP_SECURING);
  bt_take_group_order_result (leader.rounds, 1, orders[1].id, BT_ORDER_DONE,
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
  CU_add_test (suite, "calm_group_changes_its_map", test_calm_group_changes_its_map);
  CU_add_test (suite, "giver_that_stands_still_holds_up_nobody",
               test_giver_that_stands_still_holds_up_nobody);
  CU_add_test (suite, "lease_that_ends_leaves_no_hold", test_lease_that_ends_leaves_no_hold);
  CU_add_test (suite, "late_orders_split_no_group", test_late_orders_split_no_group);
  CU_add_test (suite, "two_leaders_split_no_group", test_two_leaders_split_no_group);
  CU_add_test (suite, "change_is_as_near_as_orders_allow", test_change_is_as_near_as_orders_allow);
  CU_add_test (suite, "large_groups_are_led_like_small_ones",
               test_large_groups_are_led_like_small_ones);
  CU_add_test (suite, "new_epoch_starts_anew", test_new_epoch_starts_anew);
  CU_add_test (suite, "new_starts_get_no_orders_of_before",
               test_new_starts_get_no_orders_of_before);
  CU_add_test (suite, "engine_that_starts_anew_ends_the_round",
               test_engine_that_starts_anew_ends_the_round);
  CU_add_test (suite, "fenced_leader_stops", test_fenced_leader_stops);
  CU_add_test (suite, "group_that_every_rank_holds_is_freed",
               test_group_that_every_rank_holds_is_freed);
  CU_add_test (suite, "lost_hold_is_not_sent_again_near_the_end_of_the_lease",
               test_lost_hold_is_not_sent_again_near_the_end_of_the_lease);
  CU_add_test (suite, "late_answer_proves_no_hold", test_late_answer_proves_no_hold);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
