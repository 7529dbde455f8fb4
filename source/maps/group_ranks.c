#include "group_rounds_private.h"

enum
{
  NO_RANK = -1,
};

bool
bt_is_engine_armed (const bt_rank_state_t *rank)
{
  return rank->report.armed_version != 0;
}

bool
bt_is_engine_held (const bt_rank_state_t *rank)
{
  return rank->report.held_step != BT_NO_STEP;
}

bool
bt_is_group_complete (const bt_group_rounds_t *rounds, int64_t now_ms)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    {
      const bt_rank_state_t *rank = &rounds->ranks[i];

      if (!rank->known || !rank->report.open || rank->report.epoch != rounds->ranks[0].report.epoch
          || now_ms - rank->reported_ms > rounds->settings.stale_ms)
        return false;
    }
  return true;
}

bool
bt_has_group_one_version (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 1; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].report.version != rounds->ranks[0].report.version)
      return false;
  return true;
}

bool
bt_is_group_armed_or_held (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (bt_is_engine_armed (&rounds->ranks[i]) || bt_is_engine_held (&rounds->ranks[i]))
      return true;
  return false;
}

bool
bt_is_group_held (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (bt_is_engine_held (&rounds->ranks[i]))
      return true;
  return false;
}

int64_t
bt_find_armed_step (const bt_group_rounds_t *rounds)
{
  int64_t step = BT_NO_STEP;

  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (bt_is_engine_armed (&rounds->ranks[i])
        && (step == BT_NO_STEP || rounds->ranks[i].report.armed_step < step))
      step = rounds->ranks[i].report.armed_step;
  return step;
}

int64_t
bt_find_latest_step (const bt_group_rounds_t *rounds)
{
  int64_t step = BT_NO_STEP;

  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].report.step > step)
      step = rounds->ranks[i].report.step;
  return step;
}

bool
bt_is_group_prepared (const bt_group_rounds_t *rounds, int64_t version)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].report.prepared != version)
      return false;
  return true;
}

bool
bt_is_rank_armed (const bt_group_rounds_t *rounds, const bt_rank_state_t *rank)
{
  return rank->report.armed_version == rounds->target && rank->report.armed_step == rounds->step;
}

bool
bt_is_group_armed (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (!bt_is_rank_armed (rounds, &rounds->ranks[i]))
      return false;
  return true;
}

int32_t
bt_get_max_refusals (const bt_group_rounds_t *rounds)
{
  int32_t max_refusals = 0;

  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].refusals > max_refusals)
      max_refusals = rounds->ranks[i].refusals;
  return max_refusals;
}

bool
bt_is_rank_cleared (const bt_group_rounds_t *rounds, const bt_rank_state_t *rank)
{
  return rank->report.prepared == rounds->clearing_version;
}

bool
bt_is_group_cleared (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (bt_is_engine_armed (&rounds->ranks[i]) || !bt_is_rank_cleared (rounds, &rounds->ranks[i]))
      return false;
  return true;
}

bool
bt_have_all_ranks_reported (const bt_group_rounds_t *rounds)
{
  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].reported_ms <= rounds->hold_seen_ms)
      return false;
  return true;
}

/* Finds the rank that holds the earliest step, when all ranks hold. */
static int32_t
find_earliest_holder (const bt_group_rounds_t *rounds)
{
  int32_t best = 0;

  for (int32_t i = 1; i < rounds->settings.ranks; i++)
    if (rounds->ranks[i].report.held_step < rounds->ranks[best].report.held_step)
      best = i;
  return best;
}

int32_t
bt_choose_group_holder (const bt_group_rounds_t *rounds)
{
  int32_t best = NO_RANK;

  for (int32_t i = 0; i < rounds->settings.ranks; i++)
    if (!bt_is_engine_held (&rounds->ranks[i])
        && (best == NO_RANK || rounds->ranks[i].refusals < rounds->ranks[best].refusals
            || (rounds->ranks[i].refusals == rounds->ranks[best].refusals
                && rounds->ranks[i].reported_ms > rounds->ranks[best].reported_ms)))
      best = i;
  return best == NO_RANK ? find_earliest_holder (rounds) : best;
}
