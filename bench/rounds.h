#ifndef BILBERRYTRAY_BENCH_ROUNDS_H
#define BILBERRYTRAY_BENCH_ROUNDS_H

/** @file
 * Simulates map rounds without faults: the controller and the agents of the ranks over a network
 * with the delays of one site. Counts the held steps and the rounds that come too late.
 */

#include <string.h>

#include "../test/maps/lockstep.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/maps/map_controller.h"
#include "bilberrytray/maps/map_rank.h"

enum
{
  ROUND_RANKS = 16,
  ROUND_MESSAGES = 4096,
  ROUND_STEP_MS = 6,
  ROUND_TICK_MS = 10,
  ROUND_LINK_MS = 4,  /* max. delay of a frame: one hop, and one hop through an entry */
  ROUND_CALL_MS = 12, /* max. time of an order to an engine, including the agent's tick */
  ROUND_RUN_MS = 600000,
  ROUND_LEASE_MS = 1 << 30,
  ROUND_SEED = 11,
};

/** A frame or an answer of an engine in flight. */
typedef struct round_message
{
  int64_t at_ms;
  int32_t rank;
  bool to_controller;
  bool answer;
  bool accepted;
  bt_map_action_t action;
  bt_engine_state_t state;
} round_message_t;

/** A group with its controller. */
typedef struct rounds
{
  bt_context_t *ctx;
  bt_random_t random;
  int64_t now_ms;
  lockstep_t group;
  bt_map_rank_t *agents[ROUND_RANKS];
  bt_map_controller_t *controller;
  bt_map_actions_t actions;
  round_message_t messages[ROUND_MESSAGES];
  int32_t message_count;
  int32_t applied;
  int32_t dropped;
} rounds_t;

static void
send_message (rounds_t *rounds, round_message_t message, int64_t max_ms)
{
  message.at_ms = rounds->now_ms + 1 + (int64_t)bt_random_below (&rounds->random, (uint64_t)max_ms);
  if (rounds->message_count < ROUND_MESSAGES)
    rounds->messages[rounds->message_count++] = message;
}

static void
execute_rank_actions (rounds_t *rounds, int32_t rank)
{
  for (int32_t i = 0; i < rounds->actions.count; i++)
    {
      round_message_t message = { 0, rank };

      message.action = rounds->actions.items[i];
      if (message.action.kind == BT_MAP_READ_FLOOR)
        bt_handle_map_floor (rounds->agents[rank], 1);
      else if (message.action.kind == BT_MAP_ENGINE_ORDER)
        {
          message.answer = true;
          send_message (rounds, message, ROUND_CALL_MS);
        }
      else if (message.action.kind == BT_MAP_REPORT)
        {
          message.to_controller = true;
          send_message (rounds, message, ROUND_LINK_MS);
        }
    }
  rounds->actions.count = 0;
}

static void
deliver_message (rounds_t *rounds, round_message_t *message)
{
  const bt_map_action_t *action = &message->action;
  bt_map_rank_t *agent = rounds->agents[message->rank];

  if (message->to_controller)
    {
      bt_handle_map_report (rounds->controller, &action->report, rounds->now_ms);
      return;
    }
  if (message->answer)
    {
      bool accepted = (action->order.kind == BT_MAP_QUERY && action->order.fence == 0)
                      || lockstep_order (&rounds->group, message->rank, &action->order);

      bt_handle_engine_answer (rounds->ctx, agent, action->call, accepted,
                               &rounds->group.ranks[message->rank].state, rounds->now_ms,
                               &rounds->actions);
    }
  else
    bt_handle_map_order (rounds->ctx, agent, &action->order, rounds->now_ms, &rounds->actions);
  execute_rank_actions (rounds, message->rank);
}

static void
deliver_due_messages (rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->message_count; i++)
    if (rounds->messages[i].at_ms <= rounds->now_ms)
      {
        round_message_t message = rounds->messages[i];

        rounds->messages[i--] = rounds->messages[--rounds->message_count];
        deliver_message (rounds, &message);
      }
}

static void
tick_rounds (rounds_t *rounds)
{
  bool running = bt_get_round_phase (rounds->controller) != BT_ROUND_NONE;

  bt_tick_map_controller (rounds->ctx, rounds->controller, rounds->now_ms, &rounds->actions);
  for (int32_t i = 0; i < rounds->actions.count; i++)
    {
      round_message_t message = { 0, rounds->actions.items[i].order.rank };

      message.action = rounds->actions.items[i];
      send_message (rounds, message, ROUND_LINK_MS);
    }
  rounds->actions.count = 0;
  if (running && bt_get_round_phase (rounds->controller) == BT_ROUND_NONE)
    {
      rounds->applied += bt_get_round_result (rounds->controller) == BT_ROUND_APPLIED;
      rounds->dropped += bt_get_round_result (rounds->controller) == BT_ROUND_DROPPED;
    }
  bt_begin_map_round (rounds->controller, (uint64_t)rounds->now_ms, rounds->now_ms);
  for (int32_t rank = 0; rank < ROUND_RANKS; rank++)
    {
      bt_tick_map_rank (rounds->ctx, rounds->agents[rank], rounds->now_ms, &rounds->actions);
      execute_rank_actions (rounds, rank);
    }
}

/** Simulates rounds one after another, each armed @p arm_steps steps ahead. */
static void
simulate_rounds (bt_context_t *ctx, rounds_t *rounds, uint64_t arm_steps)
{
  bt_map_controller_settings_t settings = {
    ROUND_RANKS, 100, 250, 1000, 2000, 2000, arm_steps, 1, 0
  };

  memset (rounds, 0, sizeof *rounds);
  rounds->ctx = ctx;
  bt_seed_random (&rounds->random, ROUND_SEED);
  lockstep_start (&rounds->group, ROUND_RANKS, false);
  rounds->controller = bt_new_map_controller (ctx, &settings);
  bt_grant_map_lease (rounds->controller, 1, 0, ROUND_LEASE_MS);
  for (int32_t rank = 0; rank < ROUND_RANKS; rank++)
    {
      bt_map_rank_settings_t agent = { rank, 1, 0, 1000, 250, 5000, 0 };

      rounds->agents[rank] = bt_new_map_rank (ctx, &agent, 0);
    }
  for (; rounds->now_ms < ROUND_RUN_MS; rounds->now_ms++)
    {
      deliver_due_messages (rounds);
      if (rounds->now_ms % ROUND_TICK_MS == 0)
        tick_rounds (rounds);
      if (rounds->now_ms % ROUND_STEP_MS == 0)
        lockstep_step (&rounds->group);
    }
  for (int32_t rank = 0; rank < ROUND_RANKS; rank++)
    bt_drop_map_rank (ctx, rounds->agents[rank]);
  bt_drop_map_controller (ctx, rounds->controller);
  bt_clear_map_actions (ctx, &rounds->actions);
}

#endif
