#include "group_rounds_private.h"

#include <string.h>

/* Finds the order for a rank while an abandoned round is cleared. Disarming comes first, since an
 * armed rank refuses to prepare; then another version is prepared, which raises the rank's order
 * count; once every rank has done so, the group is released. */
static bool
get_clearing_order (const bt_group_rounds_t *rounds, int32_t index, bt_group_order_t *order)
{
  const bt_rank_state_t *rank = &rounds->ranks[index];

  if (bt_is_engine_armed (rank))
    {
      order->kind = BT_GROUP_DISARM;
      order->version = rank->report.armed_version;
      return true;
    }
  if (!bt_is_rank_cleared (rounds, rank))
    {
      order->kind = BT_GROUP_PREPARE;
      order->version = rounds->clearing_version;
      return true;
    }
  order->kind = BT_GROUP_GO;
  order->step = rank->report.held_step;
  return bt_is_engine_held (rank) && bt_is_group_cleared (rounds);
}

/* Chooses the rank whose agent sends the hold: another one with each attempt, never the holder's
 * own unless it is the only rank. */
static int32_t
choose_hold_sender (const bt_group_rounds_t *rounds)
{
  int32_t others = rounds->settings.ranks - 1;

  if (others == 0)
    return rounds->holder;
  return (rounds->holder + 1 + rounds->hold_attempts % others) % rounds->settings.ranks;
}

/* Finds the order that a rank needs now; false when it needs none. */
static bool
get_order (const bt_group_rounds_t *rounds, int32_t index, bt_group_order_t *order)
{
  const bt_rank_state_t *rank = &rounds->ranks[index];

  order->version = rounds->target;
  order->step = rounds->step;
  switch (rounds->phase)
    {
    case BT_GROUP_PREPARING:
      order->kind = BT_GROUP_PREPARE;
      return rank->report.prepared != rounds->target;
    case BT_GROUP_SECURING:
      if (rounds->takes_over_hold)
        return index == rounds->holder && get_clearing_order (rounds, index, order);
      /* fall through */
    case BT_GROUP_HOLDING:
      order->kind = BT_GROUP_HOLD;
      order->via = choose_hold_sender (rounds);
      return index == rounds->holder && !rounds->own_hold;
    case BT_GROUP_ARMING:
      order->kind = BT_GROUP_ARM;
      return !bt_is_rank_armed (rounds, rank);
    case BT_GROUP_LETTING_GO:
      order->kind = BT_GROUP_GO;
      order->step = rank->report.held_step;
      return bt_is_engine_held (rank);
    case BT_GROUP_CLEARING:
      return get_clearing_order (rounds, index, order);
    default:
      return false;
    }
}

static bool
is_order_due (const bt_group_rounds_t *rounds, const bt_rank_state_t *rank, int64_t now_ms)
{
  /* The effect of an accepted order shows in a later report, since copying takes time. */
  return rank->known
         && ((rank->order_id == 0 && !rank->accepted)
             || now_ms - rank->sent_ms >= rounds->settings.resend_ms);
}

/* One search passes over the ranks once, regardless of how many orders it finds. Each report
 * restarts it, because an order depends on the state of all ranks. */
bool
bt_next_group_order (bt_group_rounds_t *rounds, int64_t now_ms, bt_group_order_t *order)
{
  if (rounds->fence == 0 || rounds->fenced)
    return false;
  if (rounds->next_rank == 0)
    bt_advance_group (rounds, now_ms);
  while (rounds->next_rank < rounds->settings.ranks)
    {
      int32_t i = rounds->next_rank++;
      bt_rank_state_t *rank = &rounds->ranks[i];

      memset (order, 0, sizeof *order);
      order->via = i;
      if (!is_order_due (rounds, rank, now_ms) || !get_order (rounds, i, order))
        continue;
      order->rank = i;
      order->id = ++rounds->last_order_id;
      order->fence = rounds->fence;
      order->epoch = rounds->epoch;
      order->sequence = rank->report.sequence;
      order->started_ms = rank->report.started_ms;
      rank->order_id = order->id;
      rank->accepted = false;
      rank->sent_ms = now_ms;
      rounds->hold_attempts += order->kind == BT_GROUP_HOLD ? 1 : 0;
      return true;
    }
  rounds->next_rank = 0;
  return false;
}
