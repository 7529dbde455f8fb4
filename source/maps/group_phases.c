#include <math.h>

#include "group_rounds_private.h"

enum
{
  /* Refusals by one rank that end the PREPARING phase. */
  MAX_REFUSALS = 3,
  /* Steps from the latest known one to that of the switch, in addition to those that pass while the
   * orders are sent: one that has begun since the last report, and one in reserve. */
  SPARE_STEPS = 2,
  /* Number of steps over which the step time is averaged. */
  STEPS_AVERAGED = 3,
  /* Reports of different ranks can be out of order by up to this many steps. */
  MAX_REORDERED_STEPS = 2,
};

void
bt_set_group_phase (bt_group_rounds_t *rounds, bt_group_phase_t phase, int64_t now_ms)
{
  rounds->phase = phase;
  rounds->phase_ms = now_ms;
  rounds->hold_attempts = 0;
  rounds->reports_requested = false;
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    {
      rounds->ranks[i].refusals = 0;
      rounds->ranks[i].accepted = false;
      /* A result of an order from an earlier phase says nothing about this one. Taken as proof of
       * an own hold, it once let ranks be disarmed while another leader could still release the
       * group. */
      rounds->ranks[i].order_id = 0;
    }
}

static void
start_clearing (bt_group_rounds_t *rounds, int64_t now_ms)
{
  rounds->target = 0;
  rounds->clearing_version = ++rounds->last_version;
  bt_set_group_phase (rounds, BT_GROUP_CLEARING, now_ms);
}

/* Begins to take a hold before the armed step. If every rank already holds because the answers to
 * earlier attempts were lost, no rank can take another hold and the group would stand still
 * forever. In that case one of the holds is taken over: its rank prepares a version of this leader
 * and from then on refuses all earlier leaders. A hold later than the armed step is of no use; that
 * step is reached without help. */
static void
start_securing (bt_group_rounds_t *rounds, int64_t now_ms)
{
  const bt_rank_state_t *rank;

  rounds->holder = bt_choose_group_holder (rounds);
  rank = &rounds->ranks[rounds->holder];
  rounds->takes_over_hold = bt_is_engine_held (rank);
  if (rounds->takes_over_hold && rank->report.held_step > rounds->step)
    return;
  if (rounds->takes_over_hold)
    rounds->clearing_version = ++rounds->last_version;
  else if (now_ms >= rounds->hold_until_ms)
    return;
  bt_set_group_phase (rounds, BT_GROUP_SECURING, now_ms);
}

/* Decides what to do with a complete group that has no round in progress. Whatever another leader
 * armed is cancelled, even where it looks complete, since that leader may be cancelling it itself.
 * The ranks must not switch meanwhile, so the group is first held before the step for which they
 * are armed. If that hold is refused, the step has already begun. */
static void
assess_group (bt_group_rounds_t *rounds, int64_t now_ms)
{
  rounds->target = 0;
  rounds->own_hold = false;
  rounds->epoch = rounds->ranks[0].report.epoch;
  if (!bt_is_group_armed_or_held (rounds))
    {
      if (bt_has_group_one_version (rounds))
        bt_set_group_phase (rounds, BT_GROUP_CALM, now_ms);
      return;
    }
  rounds->step = bt_find_armed_step (rounds);
  if (rounds->step == BT_NO_STEP)
    {
      start_clearing (rounds, now_ms);
      return;
    }
  start_securing (rounds, now_ms);
}

void
bt_update_step_time (bt_group_rounds_t *rounds, int64_t step, int64_t now_ms)
{
  int64_t steps = step - rounds->timed_step;

  if (rounds->timed_ms != 0 && steps >= -MAX_REORDERED_STEPS && steps < STEPS_AVERAGED)
    return;
  /* A re-formed group may count its steps from any number. */
  if (rounds->timed_ms != 0 && steps >= 0)
    rounds->mean_step_ms = (double)(now_ms - rounds->timed_ms) / (double)steps;
  rounds->timed_step = step;
  rounds->timed_ms = now_ms;
}

/* Records how long the orders of a round took. After a longer earlier time the value decays only by
 * half of the difference, since a group that reaches the held step before it is released stalls all
 * its streams. */
static void
record_order_time (bt_group_rounds_t *rounds, int64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - rounds->hold_due_ms);

  if (rounds->target == 0)
    return;
  rounds->orders_ms = fmax (elapsed_ms, (rounds->orders_ms + elapsed_ms) / 2);
}

/* Computes the number of steps from the latest known one to that of the switch, at most twice
 * hold_steps once the times are known. Each step too many keeps the old map for another pass, at
 * the very time when passes are long. */
static int64_t
count_steps_ahead (const bt_group_rounds_t *rounds)
{
  double steps;

  if (rounds->orders_ms <= 0 || rounds->mean_step_ms <= 0)
    return rounds->settings.hold_steps;
  steps = SPARE_STEPS + ceil (rounds->orders_ms / rounds->mean_step_ms);
  return (int64_t)fmin (steps, 2.0 * (double)rounds->settings.hold_steps);
}

static void
choose_step (bt_group_rounds_t *rounds, int64_t now_ms)
{
  int64_t latest = bt_find_latest_step (rounds);

  /* A step is never used twice, since a delayed order for it may still arrive. */
  if (latest < rounds->last_step)
    latest = rounds->last_step;
  rounds->step = latest + count_steps_ahead (rounds);
  rounds->last_step = rounds->step;
  rounds->hold_due_ms = now_ms;
  rounds->own_hold = false;
  rounds->holder = bt_choose_group_holder (rounds);
  bt_set_group_phase (rounds, BT_GROUP_HOLDING, now_ms);
}

/* True once this leader's hold has been reported. The hold stays in force until this leader
 * releases the group: by then every rank has prepared this leader's map and refuses all earlier
 * leaders. */
static bool
update_own_hold (bt_group_rounds_t *rounds, int64_t now_ms)
{
  if (!rounds->own_hold && rounds->ranks[rounds->holder].report.held_step == rounds->step)
    {
      rounds->own_hold = true;
      rounds->hold_seen_ms = now_ms;
      rounds->reports_requested = true;
    }
  return rounds->own_hold;
}

/* True once the rank whose hold is taken over refuses all earlier leaders and still holds. */
static bool
is_hold_taken_over (const bt_group_rounds_t *rounds)
{
  const bt_rank_state_t *rank = &rounds->ranks[rounds->holder];

  return rounds->takes_over_hold && bt_is_rank_cleared (rounds, rank) && !bt_is_engine_armed (rank)
         && bt_is_engine_held (rank);
}

static void
advance_securing (bt_group_rounds_t *rounds, int64_t now_ms)
{
  const bt_rank_state_t *rank = &rounds->ranks[rounds->holder];

  if (is_hold_taken_over (rounds))
    {
      rounds->own_hold = true;
      bt_set_group_phase (rounds, BT_GROUP_CLEARING, now_ms);
    }
  else if (rounds->own_hold)
    start_clearing (rounds, now_ms);
  else if (rank->refusals > 0 || bt_is_engine_held (rank) != rounds->takes_over_hold
           || bt_find_latest_step (rounds) >= rounds->step
           || (!rounds->takes_over_hold && now_ms >= rounds->hold_until_ms))
    bt_set_group_phase (rounds, BT_GROUP_LOOKING, now_ms);
}

/* Handles HOLDING until this leader's hold is reported. A lost order is not sent again near the end
 * of the lease: it could hold the group when there is no leader to release it. */
static void
advance_until_held (bt_group_rounds_t *rounds, int64_t now_ms)
{
  if (now_ms - rounds->phase_ms > rounds->settings.arm_limit_ms || now_ms >= rounds->hold_until_ms)
    bt_set_group_phase (rounds, BT_GROUP_LOOKING, now_ms);
  else if (rounds->ranks[rounds->holder].refusals > 0
           || bt_find_latest_step (rounds) >= rounds->step)
    choose_step (rounds, now_ms);
}

/* Abandons a round during its hold. Nothing is armed yet and nothing will be, so the group can be
 * released without knowing the state of the silent rank. */
static void
abandon_hold (bt_group_rounds_t *rounds, int64_t now_ms)
{
  rounds->target = 0;
  bt_set_group_phase (rounds, BT_GROUP_LETTING_GO, now_ms);
}

void
bt_advance_group (bt_group_rounds_t *rounds, int64_t now_ms)
{
  const int64_t elapsed_ms = now_ms - rounds->phase_ms;

  switch (rounds->phase)
    {
    case BT_GROUP_LOOKING:
      if (bt_is_group_complete (rounds, now_ms))
        assess_group (rounds, now_ms);
      break;
    case BT_GROUP_CALM:
      if (bt_is_group_armed_or_held (rounds) || !bt_has_group_one_version (rounds))
        bt_set_group_phase (rounds, BT_GROUP_LOOKING, now_ms);
      break;
    case BT_GROUP_PREPARING:
      if (bt_is_group_prepared (rounds, rounds->target) && now_ms < rounds->hold_until_ms)
        choose_step (rounds, now_ms);
      else if (elapsed_ms > rounds->settings.prepare_limit_ms
               || bt_get_max_refusals (rounds) >= MAX_REFUSALS)
        bt_set_group_phase (rounds, BT_GROUP_LOOKING, now_ms);
      break;
    case BT_GROUP_HOLDING:
      if (update_own_hold (rounds, now_ms) && bt_have_all_ranks_reported (rounds))
        bt_set_group_phase (rounds, BT_GROUP_ARMING, now_ms);
      else if (rounds->own_hold)
        {
          if (now_ms - rounds->hold_seen_ms > rounds->settings.silence_ms)
            abandon_hold (rounds, now_ms);
        }
      else
        advance_until_held (rounds, now_ms);
      break;
    case BT_GROUP_ARMING:
      if (bt_is_group_armed (rounds))
        bt_set_group_phase (rounds, BT_GROUP_LETTING_GO, now_ms);
      else if (elapsed_ms > rounds->settings.arm_limit_ms)
        start_clearing (rounds, now_ms);
      break;
    case BT_GROUP_LETTING_GO:
      rounds->own_hold = false;
      if (bt_is_group_held (rounds))
        break;
      record_order_time (rounds, now_ms);
      bt_set_group_phase (rounds, BT_GROUP_SETTLING, now_ms);
      break;
    case BT_GROUP_SETTLING:
      if (!bt_is_group_armed_or_held (rounds) && bt_has_group_one_version (rounds))
        bt_set_group_phase (rounds, BT_GROUP_CALM, now_ms);
      else if (bt_is_group_held (rounds))
        bt_set_group_phase (rounds, BT_GROUP_LOOKING, now_ms);
      break;
    case BT_GROUP_SECURING:
      advance_securing (rounds, now_ms);
      break;
    case BT_GROUP_CLEARING:
      if (bt_find_armed_step (rounds) != BT_NO_STEP && !rounds->own_hold)
        bt_set_group_phase (rounds, BT_GROUP_LOOKING, now_ms);
      else if (bt_is_group_cleared (rounds) && !bt_is_group_held (rounds))
        bt_set_group_phase (rounds, BT_GROUP_LOOKING, now_ms);
      break;
    }
}
