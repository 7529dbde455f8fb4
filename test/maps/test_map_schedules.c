#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/maps/map_controller.h"
#include "bilberrytray/maps/map_rank.h"
#include "lockstep.h"

/* Three ranks and two controllers over a network that loses, delays and repeats messages, with
 * pauses, restarts, replaced ranks and outages of the service, all drawn from one seed. */
enum
{
  RANKS = 3,
  CONTROLLERS = 2,
  TICK_MS = 10,
  STORM_TICKS = 500,
  CALM_TICKS = 500,
  MAX_MESSAGES = 2048,
  LEASE_MS = 400,
  RENEW_MS = 100,
  SETTLE_MS = 20,
  GUARDED_SEEDS = 3000,
  SWITCHED_SEEDS = 3000,
  CALM_MIN_STEPS = 50,
};

/** A message, or an engine's answer, on its way. */
typedef struct message
{
  int64_t at_ms;
  bool to_controller;
  int32_t to;
  uint64_t agent; /* an engine's answer is for one start of the agent */
  bool answered;  /* an engine's answer */
  bool accepted;
  bt_map_action_t action;
  bt_engine_state_t state;
} message_t;

/** One schedule under way. */
typedef struct world
{
  bt_context_t *ctx;
  bt_random_t random;
  uint32_t options;
  int64_t now_ms;
  bool calm;
  lockstep_t group;
  bt_map_rank_t *agents[RANKS];
  uint64_t starts[RANKS];
  uint64_t start_count;
  bt_map_controller_t *controllers[CONTROLLERS];
  int64_t paused_ms[CONTROLLERS]; /* until then */
  bool dead[CONTROLLERS];
  int64_t renew_ms[CONTROLLERS];
  uint64_t fence; /* the service */
  int32_t holder;
  int64_t lease_ms;
  int64_t down_ms; /* until then */
  message_t messages[MAX_MESSAGES];
  int32_t message_count;
  bt_map_actions_t actions;
  uint64_t digests;
  int32_t applied;
  uint64_t peace;
} world_t;

static bool
chance (world_t *world, uint64_t one_in)
{
  return bt_random_below (&world->random, one_in) == 0;
}

static int64_t
draw_delay (world_t *world)
{
  if (!world->calm && chance (world, 20))
    return (int64_t)bt_random_below (&world->random, 2500);
  return (int64_t)bt_random_below (&world->random, 30);
}

static void
post (world_t *world, message_t message, int64_t extra_ms)
{
  if (!world->calm && chance (world, 12))
    return;
  do
    {
      if (world->message_count == MAX_MESSAGES)
        return;
      message.at_ms = world->now_ms + extra_ms + draw_delay (world);
      world->messages[world->message_count++] = message;
    }
  while (!world->calm && chance (world, 10));
}

static void
start_agent (world_t *world, int32_t rank)
{
  bt_map_rank_settings_t settings = { rank, ++world->start_count, SETTLE_MS, 100, 60, 600 };

  settings.test_options = world->options;
  bt_drop_map_rank (world->ctx, world->agents[rank]);
  world->agents[rank] = bt_new_map_rank (world->ctx, &settings, world->now_ms);
  world->starts[rank] = settings.incarnation;
}

/* The effect of an order on the engine is at once; its answer may be lost or late. */
static void
call_engine (world_t *world, int32_t rank, const bt_map_action_t *action)
{
  message_t answer = { 0, false, rank, world->starts[rank], true };

  answer.accepted = action->order.kind == BT_MAP_QUERY && action->order.fence == 0;
  if (!answer.accepted)
    answer.accepted = lockstep_order (&world->group, rank, &action->order);
  answer.action = *action;
  answer.state = world->group.ranks[rank].state;
  post (world, answer, 0);
}

static int32_t
find_sender (const world_t *world, uint64_t fence)
{
  for (int32_t i = 0; i < CONTROLLERS; i++)
    if (bt_get_map_fence (world->controllers[i]) == fence)
      return i;
  return 0;
}

static void
carry_out_agent (world_t *world, int32_t rank)
{
  for (int32_t i = 0; i < world->actions.count; i++)
    {
      const bt_map_action_t *action = &world->actions.items[i];
      message_t message = { 0 };

      message.action = *action;
      if (action->kind == BT_MAP_ENGINE_ORDER)
        call_engine (world, rank, action);
      else if (action->kind == BT_MAP_READ_FLOOR && world->now_ms >= world->down_ms)
        bt_take_map_floor (world->agents[rank], world->fence);
      else if (action->kind == BT_MAP_REPORT)
        {
          message.to_controller = true;
          message.to = find_sender (world, action->report.fence);
          post (world, message, 0);
        }
      else if (action->kind == BT_MAP_TELL)
        {
          message.to = action->tell.ask.rank;
          post (world, message, 0);
        }
      else if (action->kind == BT_MAP_ASK)
        post (world, message, 0);
    }
  world->actions.count = 0;
}

/* A controller may be paused between its last look at its lease and the sending. */
static void
carry_out_controller (world_t *world, int32_t index)
{
  int64_t pause_ms = 0;

  if (!world->calm && world->actions.count > 0 && chance (world, 60))
    {
      pause_ms = 50 + (int64_t)bt_random_below (&world->random, 1500);
      world->paused_ms[index] = world->now_ms + pause_ms;
    }
  for (int32_t i = 0; i < world->actions.count; i++)
    {
      message_t message = { 0, false, world->actions.items[i].order.rank };

      message.action = world->actions.items[i];
      post (world, message, pause_ms);
    }
  world->actions.count = 0;
}

static void
deliver_to_agent (world_t *world, const message_t *message)
{
  const bt_map_action_t *action = &message->action;
  bt_map_rank_t *agent = world->agents[message->to];

  if (message->answered)
    {
      if (message->agent == world->starts[message->to])
        bt_take_engine_answer (world->ctx, agent, action->call, message->accepted, &message->state,
                               world->now_ms, &world->actions);
    }
  else if (action->kind == BT_MAP_SEND_ORDER)
    bt_take_map_order (world->ctx, agent, &action->order, world->now_ms, &world->actions);
  else if (action->kind == BT_MAP_ASK)
    bt_take_map_ask (world->ctx, agent, &action->ask, world->now_ms, &world->actions);
  else if (action->kind == BT_MAP_TELL)
    bt_take_map_tell (world->ctx, agent, &action->tell, world->now_ms, &world->actions);
  carry_out_agent (world, message->to);
}

static void
deliver (world_t *world)
{
  for (int32_t i = 0; i < world->message_count; i++)
    {
      message_t message = world->messages[i];

      if (message.at_ms > world->now_ms
          || (message.to_controller && world->paused_ms[message.to] > world->now_ms))
        continue;
      world->messages[i--] = world->messages[--world->message_count];
      if (!message.to_controller)
        deliver_to_agent (world, &message);
      else if (!world->dead[message.to])
        bt_take_map_report (world->controllers[message.to], &message.action.report, world->now_ms);
    }
}

static void
visit_service (world_t *world, int32_t index)
{
  int64_t sent_ms = world->now_ms - draw_delay (world);

  if (world->now_ms < world->down_ms || world->now_ms < world->renew_ms[index])
    return;
  world->renew_ms[index] = world->now_ms + RENEW_MS;
  if (world->holder == index && world->now_ms < world->lease_ms
      && bt_holds_map_lease (world->controllers[index], world->now_ms))
    {
      world->lease_ms = world->now_ms + LEASE_MS;
      bt_renew_map_lease (world->controllers[index], sent_ms, LEASE_MS, world->now_ms);
    }
  else if (world->now_ms >= world->lease_ms)
    {
      world->holder = index;
      world->lease_ms = world->now_ms + LEASE_MS;
      bt_grant_map_lease (world->controllers[index], ++world->fence, sent_ms, LEASE_MS);
    }
}

static void
run_controller (world_t *world, int32_t index)
{
  bt_map_controller_t *controller = world->controllers[index];

  if (world->dead[index] || world->paused_ms[index] > world->now_ms)
    return;
  visit_service (world, index);
  if (chance (world, 10) && bt_begin_map_round (controller, world->digests + 1, world->now_ms))
    world->digests++;
  bt_tick_map_controller (world->ctx, controller, world->now_ms, &world->actions);
  if (bt_get_round_result (controller) == BT_ROUND_APPLIED)
    world->applied++;
  carry_out_controller (world, index);
}

/* Some schedules are wilder than others, so that a round also comes far in between. */
static void
make_trouble (world_t *world)
{
  int32_t rank = (int32_t)bt_random_below (&world->random, RANKS);
  int32_t index = (int32_t)bt_random_below (&world->random, CONTROLLERS);

  if (chance (world, 60 * world->peace))
    start_agent (world, rank);
  if (chance (world, 250 * world->peace))
    {
      lockstep_replace (&world->group, rank);
      start_agent (world, rank);
    }
  if (chance (world, 150 * world->peace))
    world->paused_ms[index] = world->now_ms + (int64_t)bt_random_below (&world->random, 2000);
  if (chance (world, 200 * world->peace))
    world->down_ms = world->now_ms + (int64_t)bt_random_below (&world->random, 1500);
  if (chance (world, 30 * world->peace))
    world->group.ranks[rank].stalled = !world->group.ranks[rank].stalled;
}

static void
tick (world_t *world)
{
  world->now_ms += TICK_MS;
  if (!world->calm)
    make_trouble (world);
  deliver (world);
  for (int32_t i = 0; i < CONTROLLERS; i++)
    run_controller (world, i);
  for (int32_t rank = 0; rank < RANKS; rank++)
    {
      bt_tick_map_rank (world->ctx, world->agents[rank], world->now_ms, &world->actions);
      carry_out_agent (world, rank);
    }
  lockstep_step (&world->group);
}

static void
start_world (world_t *world, bt_context_t *ctx, uint64_t seed, uint32_t options)
{
  bt_map_controller_settings_t settings = { RANKS, 30, 50, 150, 300, 500, 12, 1 };

  memset (world, 0, sizeof *world);
  world->ctx = ctx;
  world->options = options;
  world->digests = 1;
  bt_seed_random (&world->random, seed);
  world->peace = 1 + seed / 4 % 4;
  settings.test_options = options;
  lockstep_start (&world->group, RANKS, seed % 2 == 0);
  world->group.forgetful = seed % 3 == 0;
  for (int32_t rank = 0; rank < RANKS; rank++)
    start_agent (world, rank);
  for (int32_t i = 0; i < CONTROLLERS; i++)
    world->controllers[i] = bt_new_map_controller (ctx, &settings);
}

static void
end_world (world_t *world)
{
  for (int32_t rank = 0; rank < RANKS; rank++)
    bt_drop_map_rank (world->ctx, world->agents[rank]);
  for (int32_t i = 0; i < CONTROLLERS; i++)
    bt_drop_map_controller (world->ctx, world->controllers[i]);
  bt_clear_map_actions (world->ctx, &world->actions);
}

/* The storm ends: nothing is lost any more. In half of the schedules the controllers are gone and
 * the service is down for good; a group whose ranks are all there must step all the same. */
static void
calm_down (world_t *world, bool without_service)
{
  world->calm = true;
  for (int32_t i = 0; i < CONTROLLERS; i++)
    world->paused_ms[i] = 0;
  for (int32_t rank = 0; rank < RANKS; rank++)
    world->group.ranks[rank].stalled = false;
  world->down_ms = without_service ? INT64_MAX : 0;
  for (int32_t i = 0; i < CONTROLLERS; i++)
    world->dead[i] = without_service;
}

static bool
is_group_complete (const world_t *world)
{
  for (int32_t rank = 0; rank < RANKS; rank++)
    if (!world->group.ranks[rank].state.joined)
      return false;
  return true;
}

/* Plays one schedule; what went wrong stands in the group's violation. */
static void
play (world_t *world, bt_context_t *ctx, uint64_t seed, uint32_t options)
{
  bool without_service = seed / 2 % 2 == 0;
  bool complete;
  uint64_t steps;
  int32_t applied;

  start_world (world, ctx, seed, options);
  for (int32_t i = 0; i < STORM_TICKS && world->group.violation[0] == '\0'; i++)
    tick (world);
  complete = is_group_complete (world);
  calm_down (world, without_service);
  applied = world->applied;
  steps = 0;
  for (int32_t i = 0; i < CALM_TICKS && world->group.violation[0] == '\0'; i++)
    {
      if (i == CALM_TICKS / 2)
        steps = world->group.steps;
      tick (world);
    }
  /* With a guard taken out only wrong steps count, not slow ones. */
  if (options == 0 && world->group.violation[0] == '\0' && (complete || !without_service)
      && world->group.steps < steps + CALM_MIN_STEPS)
    snprintf (world->group.violation, sizeof world->group.violation, "the group is held for good");
  if (options == 0 && world->group.violation[0] == '\0' && !without_service
      && world->applied == applied)
    snprintf (world->group.violation, sizeof world->group.violation, "no round ends any more");
  end_world (world);
}

/* The first seed that shows a violation, or 0. */
static uint64_t
find_violation (uint32_t options, uint64_t first, uint64_t seeds, bool print)
{
  static world_t world;
  bt_context_t *ctx = bt_new_context ();
  uint64_t found = 0;

  for (uint64_t seed = first; seed < first + seeds && found == 0; seed++)
    {
      play (&world, ctx, seed, options);
      if (world.group.violation[0] != '\0')
        found = seed;
    }
  if (print && found != 0)
    printf ("seed %llu: %s\n", (unsigned long long)found, world.group.violation);
  bt_drop_context (ctx);
  return found;
}

/* A wrong answer: two ranks use different maps in one step. Or a group that never steps again. Any
 * loss, delay, repetition, pause, restart, replacement and outage may come before. */
static void
test_guarded_schedules (void)
{
  CU_ASSERT_EQUAL (find_violation (0, 1, GUARDED_SEEDS, true), 0);
}

/* Seeds that once showed a fault. A report of an older order, or of an agent that refused from
 * memory, came last; the controller sent the opposite of what was decided, or joined a replaced
 * rank at a step long past, or forgot a taken round of which orders were under way when rank 0 was
 * replaced, or remembered it beyond its lease, when another had dropped it since. 312518: rounds
 * were armed too near, again and again. */
static void
test_seeds_that_showed_a_fault (void)
{
  static const uint64_t seeds[] = { 13299, 36992, 125333, 201708, 312518, 594514, 688310 };

  for (size_t i = 0; i < sizeof seeds / sizeof seeds[0]; i++)
    CU_ASSERT_EQUAL (find_violation (0, seeds[i], 1, true), 0);
}

/* A guard that can be taken out without any schedule noticing is not proved by the schedules. */
static void
test_each_guard_is_needed (void)
{
  static const uint32_t options[] = { BT_MAP_NO_HOLD,    BT_MAP_NO_FENCE,
                                      BT_MAP_NO_FLOOR,   BT_MAP_DECIDE_BY_TIMEOUT,
                                      BT_MAP_NO_ARM_ALL, BT_MAP_NO_DECISION_IN_ENGINE };

  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++)
    {
      printf ("without guard %u: ", options[i]);
      CU_ASSERT_NOT_EQUAL (find_violation (options[i], 1, SWITCHED_SEEDS, true), 0);
    }
}

/* By hand: test_map_schedules FIRST_SEED SEEDS OPTIONS. */
int
main (int argc, char **argv)
{
  CU_pSuite suite;
  unsigned int failed;

  if (argc > 3)
    return find_violation ((uint32_t)strtoul (argv[3], NULL, 10), strtoull (argv[1], NULL, 10),
                           strtoull (argv[2], NULL, 10), true)
           != 0;
  CU_initialize_registry ();
  suite = CU_add_suite ("map schedules", NULL, NULL);
  CU_ADD_TEST (suite, test_guarded_schedules);
  CU_ADD_TEST (suite, test_seeds_that_showed_a_fault);
  CU_ADD_TEST (suite, test_each_guard_is_needed);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
