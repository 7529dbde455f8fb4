#ifndef BILBERRYTRAY_TEST_HELD_GROUP_H
#define BILBERRYTRAY_TEST_HELD_GROUP_H

/** @file
 * A group of engines that can hold together, played in virtual time: orders are lost, answered late
 * or carried out late, leaders change and go on believing that they lead, and the group is formed
 * anew. It checks that no step begins while two ranks have different maps, by version or content.
 */

#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/maps/group_rounds.h"

enum
{
  HELD_RANKS = 5, /* unless a test asks for more */
  HELD_MOST_RANKS = 513,
  HELD_LATE = 512, /* orders on their way */
};

typedef struct held_engine
{
  bt_rank_report_t report;
  int64_t highest_version;
  uint64_t fence;
  uint64_t prepared_content;
  uint64_t content;
} held_engine_t;

typedef struct held_late
{
  bool used;
  int64_t at_ms;
  bt_group_order_t order;
  uint64_t content;
} held_late_t;

typedef struct held_group
{
  int32_t ranks;
  held_engine_t engines[HELD_MOST_RANKS];
  held_late_t late[HELD_LATE];
  bt_random_t random;
  int64_t now_ms;
  int64_t step;
  int64_t epoch;
  bool fences_checked;
  bool counts_checked; /* orders name the count of orders before them */
  bool starts_checked; /* agents refuse orders that rest on another start of their engine */
  int32_t splits;      /* steps that began with different maps */
  int32_t changes;
  int32_t
      astray; /* orders of the own agent that began something at another start than they rest on */
  int64_t idle_until_ms; /* no requests: no steps are made */
  int32_t deaf_rank;     /* loses every order until deaf_until_ms */
  int64_t deaf_until_ms;
  int32_t lost_percent; /* orders that get no answer and are carried out late, or never */
  bool ending;          /* no round is begun any more */
  bool freeze_giver;    /* the next agent that gives a hold stands still from then on */
  int32_t frozen_rank;
  int64_t frozen_ms;
  int64_t frozen_until_ms;
  int64_t stepped_ms; /* when the last step began */
  int64_t longest_ms; /* the longest time between two steps */
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

/* All engines are started anew, and their group counts its epochs anew as well, so that orders of
 * before name an epoch that comes again. */
static inline void
restart_held_group (held_group_t *group)
{
  group->epoch--;
  form_held_group (group);
  for (int32_t i = 0; i < group->ranks; i++)
    group->engines[i].report.started_ms = group->now_ms;
}

static inline void
start_held_group_of (held_group_t *group, uint64_t seed, int32_t ranks)
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
  start_held_group_of (group, seed, HELD_RANKS);
}

static inline bt_order_result_t
carry_out_prepare (held_engine_t *engine, const bt_group_order_t *order, uint64_t content)
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
carry_out_arm (held_engine_t *engine, const bt_group_order_t *order)
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
carry_out_hold (held_engine_t *engine, const bt_group_order_t *order)
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
carry_out (held_group_t *group, const bt_group_order_t *order, uint64_t content)
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
      return carry_out_prepare (engine, order, content);
    case BT_GROUP_ARM:
      return carry_out_arm (engine, order);
    case BT_GROUP_HOLD:
      return carry_out_hold (engine, order);
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

/* What the agent does with an order for its own engine: one that rests on another start goes no
 * further. */
static inline bt_order_result_t
pass_held_order (held_group_t *group, const bt_group_order_t *order, uint64_t content)
{
  const held_engine_t *engine = &group->engines[order->rank];
  int64_t sequence = engine->report.sequence;
  bool own = order->started_ms == engine->report.started_ms;
  bt_order_result_t result;

  if (group->starts_checked && order->via == order->rank && !own)
    return BT_ORDER_REFUSED;
  result = carry_out (group, order, content);
  if (order->via == order->rank && !own && engine->report.sequence != sequence)
    group->astray++;
  return result;
}

static inline bool
is_held_rank_frozen (const held_group_t *group, int32_t rank)
{
  return rank == group->frozen_rank && group->now_ms >= group->frozen_ms
         && group->now_ms < group->frozen_until_ms;
}

/* The agent that gives a hold stands still right after it, so that its answer is lost, or a moment
 * later. */
static inline bt_order_result_t
freeze_giver (held_group_t *group, const bt_group_order_t *order, uint64_t content)
{
  enum
  {
    FROZEN_MS = 4000,
    LATEST_MS = 60,
  };
  bt_order_result_t result = pass_held_order (group, order, content);
  int64_t delay_ms = (int64_t)bt_random_below (&group->random, LATEST_MS);

  group->freeze_giver = false;
  group->frozen_rank = order->via;
  group->frozen_ms = group->now_ms + delay_ms;
  group->frozen_until_ms = group->frozen_ms + FROZEN_MS;
  return delay_ms == 0 ? BT_ORDER_LOST : result;
}

/* Sends an order: it is carried out now, later, or never. */
static inline bt_order_result_t
send_held_order (held_group_t *group, const bt_group_order_t *order, uint64_t content)
{
  bool lost = (int32_t)bt_random_below (&group->random, 100) < group->lost_percent;

  if (group->lost_percent > 0 && bt_random_below (&group->random, 100) == 0)
    {
      group->deaf_rank = (int32_t)bt_random_below (&group->random, (uint64_t)group->ranks);
      group->deaf_until_ms = group->now_ms + 1500;
    }
  lost = lost || (order->rank == group->deaf_rank && group->now_ms < group->deaf_until_ms);
  if (is_held_rank_frozen (group, order->via) || is_held_rank_frozen (group, order->rank))
    return BT_ORDER_LOST;
  if (!lost && order->kind == BT_GROUP_HOLD && group->freeze_giver)
    return freeze_giver (group, order, content);
  if (!lost)
    return pass_held_order (group, order, content);
  for (int32_t i = 0; i < HELD_LATE; i++)
    if (!group->late[i].used)
      {
        held_late_t *late = &group->late[i];

        late->used = true;
        late->at_ms = group->now_ms + (int64_t)bt_random_below (&group->random, 6000);
        late->order = *order;
        late->content = content;
        break;
      }
  return BT_ORDER_LOST;
}

static inline void
begin_held_step (held_group_t *group)
{
  if (group->now_ms < group->idle_until_ms)
    return;
  /* At times there are no requests for a while. A step that was chosen does not come then, and an
   * order for it stays good. */
  if (group->lost_percent > 0 && bt_random_below (&group->random, 40) == 0)
    group->idle_until_ms = group->now_ms + (int64_t)bt_random_below (&group->random, 4000);
  for (int32_t i = 0; i < group->ranks; i++)
    if (group->engines[i].report.held_step == group->step + 1)
      return;
  group->step++;
  if (group->now_ms - group->stepped_ms > group->longest_ms)
    group->longest_ms = group->now_ms - group->stepped_ms;
  group->stepped_ms = group->now_ms;
  for (int32_t i = 0; i < group->ranks; i++)
    {
      held_engine_t *engine = &group->engines[i];

      engine->report.step = group->step;
      if (engine->report.armed_version != 0 && engine->report.armed_step == group->step)
        {
          engine->report.version = engine->report.armed_version;
          engine->content = engine->prepared_content;
          engine->report.armed_version = 0;
          group->changes++;
        }
    }
  for (int32_t i = 1; i < group->ranks; i++)
    if (group->engines[i].report.version != group->engines[0].report.version
        || group->engines[i].content != group->engines[0].content)
      {
        group->splits++;
        return;
      }
}

static inline void
run_late_orders (held_group_t *group)
{
  for (int32_t i = 0; i < HELD_LATE; i++)
    if (group->late[i].used && group->late[i].at_ms <= group->now_ms)
      {
        pass_held_order (group, &group->late[i].order, group->late[i].content);
        group->late[i].used = false;
      }
}

#endif
