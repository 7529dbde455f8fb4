#ifndef BILBERRYTRAY_TEST_HELD_GROUP_H
#define BILBERRYTRAY_TEST_HELD_GROUP_H

/** @file
 * A simulated group of engines that can be held, in virtual time. Orders get lost, are answered
 * late or executed late, leaders change while the old ones still believe that they lead, and the
 * group is re-formed. The simulation counts the steps that begin while two ranks use different
 * maps, by version or by content.
 */

#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/maps/group_rounds.h"

enum
{
  HELD_RANKS = 5, /* default number of ranks */
  HELD_MAX_RANKS = 513,
  HELD_MAX_DELAYED = 512, /* maximum number of delayed orders */
};

typedef struct held_engine
{
  bt_rank_report_t report;
  int64_t highest_version;
  uint64_t fence;
  uint64_t prepared_content;
  uint64_t content;
} held_engine_t;

typedef struct held_delayed
{
  bool used;
  int64_t at_ms;
  bt_group_order_t order;
  uint64_t content;
} held_delayed_t;

typedef struct held_group
{
  int32_t ranks;
  held_engine_t engines[HELD_MAX_RANKS];
  held_delayed_t delayed[HELD_MAX_DELAYED];
  bt_random_t random;
  int64_t now_ms;
  int64_t step;
  int64_t epoch;
  bool fences_checked;
  bool counts_checked; /* engines check the order count that orders carry */
  bool starts_checked; /* agents refuse orders based on another start of their engine */
  int32_t mixed_steps; /* steps that began with different maps */
  int32_t switches;
  int32_t misdirected;   /* orders that took effect through the rank's own agent at another engine
                            start */
  int64_t idle_until_ms; /* no requests and no steps until then */
  int32_t unreachable_rank; /* every order to it is lost until unreachable_until_ms */
  int64_t unreachable_until_ms;
  int32_t lost_percent; /* percentage of orders that get no answer and are executed late or never */
  bool no_new_rounds;   /* no new rounds are begun */
  bool freeze_hold_sender; /* the next agent that sends a hold freezes */
  int32_t frozen_rank;
  int64_t frozen_ms;
  int64_t frozen_until_ms;
  int64_t last_step_ms;    /* when the last step began */
  int64_t longest_step_ms; /* the longest time between two steps */
} held_group_t;

static inline void
form_held_group (held_group_t *group)
{
  group->epoch++;
  for (int32_t i = 0; i < group->ranks; i++)
    {
      held_engine_t *engine = &group->engines[i];

      memset (engine, 0, sizeof *engine);
      engine->report.epoch = group->epoch;
      engine->report.open = true;
      engine->report.step = group->step;
      engine->report.held_step = BT_NO_STEP;
    }
}

/* Restarts all engines. Their group counts its epochs from the start as well, so that orders from
 * before the restart name an epoch that occurs again. */
static inline void
restart_held_group (held_group_t *group)
{
  group->epoch--;
  form_held_group (group);
  for (int32_t i = 0; i < group->ranks; i++)
    group->engines[i].report.started_ms = group->now_ms;
}

static inline void
start_held_group_with (held_group_t *group, uint64_t seed, int32_t ranks)
{
  memset (group, 0, sizeof *group);
  group->ranks = ranks;
  bt_seed_random (&group->random, seed);
  group->fences_checked = true;
  group->starts_checked = true;
  group->frozen_rank = -1;
  group->counts_checked = seed % 2 == 0;
  form_held_group (group);
}

static inline void
start_held_group (held_group_t *group, uint64_t seed)
{
  start_held_group_with (group, seed, HELD_RANKS);
}

static inline bt_order_result_t
execute_prepare (held_engine_t *engine, const bt_group_order_t *order, uint64_t content)
{
  if (order->version <= engine->highest_version || engine->report.armed_version != 0)
    return BT_ORDER_REFUSED;
  engine->highest_version = order->version;
  engine->report.prepared = order->version;
  engine->prepared_content = content;
  engine->report.sequence++;
  return BT_ORDER_DONE;
}

static inline bt_order_result_t
execute_arm (held_engine_t *engine, const bt_group_order_t *order)
{
  if (engine->report.prepared != order->version || order->step <= engine->report.step)
    return BT_ORDER_REFUSED;
  if (engine->report.armed_version == order->version && engine->report.armed_step == order->step)
    return BT_ORDER_DONE;
  engine->report.armed_version = order->version;
  engine->report.armed_step = order->step;
  engine->report.sequence++;
  return BT_ORDER_DONE;
}

static inline bt_order_result_t
execute_hold (held_engine_t *engine, const bt_group_order_t *order)
{
  if (order->step <= engine->report.step)
    return BT_ORDER_REFUSED;
  if (engine->report.held_step != BT_NO_STEP)
    return engine->report.held_step == order->step ? BT_ORDER_DONE : BT_ORDER_REFUSED;
  engine->report.held_step = order->step;
  engine->report.sequence++;
  return BT_ORDER_DONE;
}

static inline bt_order_result_t
execute_order (held_group_t *group, const bt_group_order_t *order, uint64_t content)
{
  held_engine_t *engine = &group->engines[order->rank];

  if (order->epoch != group->epoch)
    return BT_ORDER_REFUSED;
  if (group->fences_checked && order->fence < engine->fence)
    return BT_ORDER_FENCED;
  if (group->counts_checked && order->sequence != engine->report.sequence)
    return BT_ORDER_REFUSED;
  if (group->fences_checked)
    engine->fence = order->fence;
  switch (order->kind)
    {
    case BT_GROUP_PREPARE:
      return execute_prepare (engine, order, content);
    case BT_GROUP_ARM:
      return execute_arm (engine, order);
    case BT_GROUP_HOLD:
      return execute_hold (engine, order);
    case BT_GROUP_DISARM:
      if (engine->report.armed_version != order->version)
        return BT_ORDER_DONE;
      engine->report.armed_version = 0;
      engine->report.sequence++;
      return BT_ORDER_DONE;
    case BT_GROUP_GO:
      if (engine->report.held_step != order->step)
        return BT_ORDER_DONE;
      engine->report.held_step = BT_NO_STEP;
      engine->report.sequence++;
      return BT_ORDER_DONE;
    default:
      return BT_ORDER_REFUSED;
    }
}

/* Handles an order at the agent, which refuses it when it is based on another start of its own
 * engine. */
static inline bt_order_result_t
deliver_held_order (held_group_t *group, const bt_group_order_t *order, uint64_t content)
{
  const held_engine_t *engine = &group->engines[order->rank];
  int64_t sequence = engine->report.sequence;
  bool own = order->started_ms == engine->report.started_ms;
  bt_order_result_t result;

  if (group->starts_checked && order->via == order->rank && !own)
    return BT_ORDER_REFUSED;
  result = execute_order (group, order, content);
  if (order->via == order->rank && !own && engine->report.sequence != sequence)
    group->misdirected++;
  return result;
}

static inline bool
is_held_rank_frozen (const held_group_t *group, int32_t rank)
{
  return rank == group->frozen_rank && group->now_ms >= group->frozen_ms
         && group->now_ms < group->frozen_until_ms;
}

/* Executes a hold and freezes the agent that sent it, either at once, so that its answer is lost,
 * or up to 60 ms later. */
static inline bt_order_result_t
freeze_hold_sender (held_group_t *group, const bt_group_order_t *order, uint64_t content)
{
  enum
  {
    FROZEN_MS = 4000,
    MAX_DELAY_MS = 60,
  };
  bt_order_result_t result = deliver_held_order (group, order, content);
  int64_t delay_ms = (int64_t)bt_random_below (&group->random, MAX_DELAY_MS);

  group->freeze_hold_sender = false;
  group->frozen_rank = order->via;
  group->frozen_ms = group->now_ms + delay_ms;
  group->frozen_until_ms = group->frozen_ms + FROZEN_MS;
  return delay_ms == 0 ? BT_ORDER_LOST : result;
}

/* Sends an order, which is executed now, later, or never. */
static inline bt_order_result_t
send_held_order (held_group_t *group, const bt_group_order_t *order, uint64_t content)
{
  bool lost = (int32_t)bt_random_below (&group->random, 100) < group->lost_percent;

  if (group->lost_percent > 0 && bt_random_below (&group->random, 100) == 0)
    {
      group->unreachable_rank = (int32_t)bt_random_below (&group->random, (uint64_t)group->ranks);
      group->unreachable_until_ms = group->now_ms + 1500;
    }
  lost = lost
         || (order->rank == group->unreachable_rank && group->now_ms < group->unreachable_until_ms);
  if (is_held_rank_frozen (group, order->via) || is_held_rank_frozen (group, order->rank))
    return BT_ORDER_LOST;
  if (!lost && order->kind == BT_GROUP_HOLD && group->freeze_hold_sender)
    return freeze_hold_sender (group, order, content);
  if (!lost)
    return deliver_held_order (group, order, content);
  for (int32_t i = 0; i < HELD_MAX_DELAYED; i++)
    if (!group->delayed[i].used)
      {
        held_delayed_t *delayed = &group->delayed[i];

        delayed->used = true;
        delayed->at_ms = group->now_ms + (int64_t)bt_random_below (&group->random, 6000);
        delayed->order = *order;
        delayed->content = content;
        break;
      }
  return BT_ORDER_LOST;
}

static inline void
begin_held_step (held_group_t *group)
{
  if (group->now_ms < group->idle_until_ms)
    return;
  /* At times there are no requests for a while. A step named in an order does not begin then, and
   * the order stays valid. */
  if (group->lost_percent > 0 && bt_random_below (&group->random, 40) == 0)
    group->idle_until_ms = group->now_ms + (int64_t)bt_random_below (&group->random, 4000);
  for (int32_t i = 0; i < group->ranks; i++)
    if (group->engines[i].report.held_step == group->step + 1)
      return;
  group->step++;
  if (group->now_ms - group->last_step_ms > group->longest_step_ms)
    group->longest_step_ms = group->now_ms - group->last_step_ms;
  group->last_step_ms = group->now_ms;
  for (int32_t i = 0; i < group->ranks; i++)
    {
      held_engine_t *engine = &group->engines[i];

      engine->report.step = group->step;
      if (engine->report.armed_version != 0 && engine->report.armed_step == group->step)
        {
          engine->report.version = engine->report.armed_version;
          engine->content = engine->prepared_content;
          engine->report.armed_version = 0;
          group->switches++;
        }
    }
  for (int32_t i = 1; i < group->ranks; i++)
    if (group->engines[i].report.version != group->engines[0].report.version
        || group->engines[i].content != group->engines[0].content)
      {
        group->mixed_steps++;
        return;
      }
}

static inline void
deliver_delayed_orders (held_group_t *group)
{
  for (int32_t i = 0; i < HELD_MAX_DELAYED; i++)
    if (group->delayed[i].used && group->delayed[i].at_ms <= group->now_ms)
      {
        deliver_held_order (group, &group->delayed[i].order, group->delayed[i].content);
        group->delayed[i].used = false;
      }
}

#endif
