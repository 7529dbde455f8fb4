#ifndef BILBERRYTRAY_TEST_LOCKSTEP_H
#define BILBERRYTRAY_TEST_LOCKSTEP_H

/** @file
 * The engines of one lock-step rank group. They execute every order without any of the agents'
 * checks; a state that must never occur is recorded as a violation, with its step and rank.
 */

#include <stdio.h>
#include <string.h>

#include "bilberrytray/maps/map_round.h"

enum
{
  LOCKSTEP_MAX_RANKS = 64,
  LOCKSTEP_TEXT_BYTES = 200,
};

/** One simulated engine. */
typedef struct lockstep_rank
{
  bt_engine_state_t state;
  uint64_t fence; /**< Highest fencing number of an order that took effect. */
  bool hold;
  bool stalled;
} lockstep_rank_t;

/** One simulated group. */
typedef struct lockstep
{
  int32_t count;
  bool ignore_fences;
  bool forgetful; /**< Does not store the decision of a round that it is not armed for. */
  uint64_t incarnations;
  uint64_t held; /**< Steps that an undecided round prevented. */
  uint64_t steps;
  lockstep_rank_t ranks[LOCKSTEP_MAX_RANKS];
  char violation[LOCKSTEP_TEXT_BYTES];
} lockstep_t;

static inline int32_t
lockstep_compare (bt_round_id_t left, bt_round_id_t right)
{
  if (left.fence != right.fence)
    return left.fence < right.fence ? -1 : 1;
  return (left.sequence > right.sequence) - (left.sequence < right.sequence);
}

/** Replaces a rank's engine by a new one without a map. */
static inline void
lockstep_replace (lockstep_t *group, int32_t rank)
{
  memset (&group->ranks[rank], 0, sizeof group->ranks[rank]);
  group->ranks[rank].state.incarnation = ++group->incarnations;
}

static inline void
lockstep_start (lockstep_t *group, int32_t count, bool ignore_fences)
{
  memset (group, 0, sizeof *group);
  group->count = count;
  group->ignore_fences = ignore_fences;
  for (int32_t rank = 0; rank < count; rank++)
    lockstep_replace (group, rank);
}

/* An order without a fencing number comes from an agent that passes on rank 0's decision. */
static inline bool
lockstep_pass_fence (lockstep_t *group, int32_t rank, const bt_map_order_t *order)
{
  lockstep_rank_t *engine = &group->ranks[rank];

  if (order->fence >= engine->fence)
    {
      engine->fence = order->fence;
      return true;
    }
  if (order->fence == 0 || order->kind == BT_MAP_QUERY)
    return true;
  if (!group->ignore_fences)
    return false;
  snprintf (group->violation, sizeof group->violation,
            "rank %d executed order %s of controller %llu after one of controller %llu", rank,
            bt_name_map_order (order->kind), (unsigned long long)order->fence,
            (unsigned long long)engine->fence);
  return true;
}

static inline bool
lockstep_decide (bt_engine_state_t *state, const bt_map_order_t *order, bool forgetful)
{
  bool armed = lockstep_compare (state->armed, order->round) == 0;

  if (order->apply && !armed && !state->joined
      && lockstep_compare (state->staged, order->round) == 0)
    {
      state->armed = order->round;
      state->armed_step = order->step;
    }
  else if (order->apply && !armed)
    return false;
  if (!armed && !order->apply && forgetful)
    return true;
  state->decided = order->round;
  state->decided_apply = order->apply;
  if (armed && !order->apply)
    state->armed = (bt_round_id_t){ 0 };
  return true;
}

static inline void
lockstep_join (bt_engine_state_t *state, const bt_map_order_t *order)
{
  state->joined = true;
  state->in_use = order->round;
  state->in_use_digest = order->digest;
  state->next_step = order->step;
  if (lockstep_compare (state->armed, order->round) <= 0)
    state->armed = (bt_round_id_t){ 0 };
}

/** Executes an order. Returns false when the engine refuses it. */
static inline bool
lockstep_order (lockstep_t *group, int32_t rank, const bt_map_order_t *order)
{
  lockstep_rank_t *engine = &group->ranks[rank];
  bt_engine_state_t *state = &engine->state;

  if (!lockstep_pass_fence (group, rank, order))
    return false;
  switch (order->kind)
    {
    case BT_MAP_STAGE:
      state->staged = order->round;
      state->staged_digest = order->digest;
      return true;
    case BT_MAP_ARM:
      if (lockstep_compare (state->staged, order->round) != 0 || order->step <= state->next_step)
        return false;
      state->armed = order->round;
      state->armed_step = order->step;
      engine->hold = order->hold;
      return true;
    case BT_MAP_DECIDE:
    case BT_MAP_LEARN:
      return lockstep_decide (state, order, group->forgetful);
    case BT_MAP_CANCEL:
      if (lockstep_compare (state->staged, order->round) == 0)
        state->staged = (bt_round_id_t){ 0 };
      return true;
    case BT_MAP_JOIN:
      lockstep_join (state, order);
      return true;
    default:
      return true;
    }
}

static inline bool
lockstep_is_held (const lockstep_rank_t *engine)
{
  const bt_engine_state_t *state = &engine->state;

  return engine->hold && state->armed.fence != 0 && state->next_step >= state->armed_step
         && lockstep_compare (state->armed, state->decided) != 0;
}

static inline void
lockstep_switch (bt_engine_state_t *state)
{
  if (state->armed.fence == 0 || lockstep_compare (state->armed, state->decided) != 0
      || state->next_step < state->armed_step)
    return;
  state->in_use = state->armed;
  state->in_use_digest = state->staged_digest;
  state->armed = (bt_round_id_t){ 0 };
}

static inline void
lockstep_compare_maps (lockstep_t *group)
{
  const bt_engine_state_t *first = &group->ranks[0].state;

  for (int32_t rank = 1; rank < group->count; rank++)
    {
      const bt_engine_state_t *state = &group->ranks[rank].state;

      if (state->in_use_digest == first->in_use_digest && state->next_step == first->next_step)
        continue;
      snprintf (group->violation, sizeof group->violation,
                "step %llu: rank %d uses map %llx at step %llu, rank 0 map %llx",
                (unsigned long long)first->next_step, rank,
                (unsigned long long)state->in_use_digest, (unsigned long long)state->next_step,
                (unsigned long long)first->in_use_digest);
      return;
    }
}

/** Runs one step on all ranks, or none while a rank is missing, stalled or held. Returns whether it
 * ran. */
static inline bool
lockstep_step (lockstep_t *group)
{
  bool held = false;

  for (int32_t rank = 0; rank < group->count; rank++)
    {
      if (!group->ranks[rank].state.joined || group->ranks[rank].stalled)
        return false;
      held = held || lockstep_is_held (&group->ranks[rank]);
    }
  if (held)
    {
      group->held++;
      return false;
    }
  for (int32_t rank = 0; rank < group->count; rank++)
    lockstep_switch (&group->ranks[rank].state);
  lockstep_compare_maps (group);
  for (int32_t rank = 0; rank < group->count; rank++)
    group->ranks[rank].state.next_step++;
  group->steps++;
  return true;
}

#endif
