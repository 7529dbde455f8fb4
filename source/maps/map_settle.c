#include "map_controller_private.h"

bool
bt_has_decided_round (const bt_engine_state_t *engine, bt_round_id_t round)
{
  return bt_compare_rounds (engine->decided, round) >= 0;
}

/* True when an engine can no longer be armed for a round and does not wait for its decision: it
 * knows that decision or a newer one, or has moved on to a newer round. */
static bool
is_past_round (const bt_engine_state_t *engine, bt_round_id_t round)
{
  return bt_has_decided_round (engine, round) || bt_compare_rounds (engine->in_use, round) >= 0
         || bt_compare_rounds (engine->armed, round) > 0
         || bt_compare_rounds (engine->staged, round) > 0;
}

/* True when an engine knows that the round's map is to be applied, or uses it. */
static bool
has_applied (const bt_engine_state_t *engine, bt_round_id_t round)
{
  return bt_compare_rounds (engine->in_use, round) == 0
         || (bt_compare_rounds (engine->decided, round) == 0 && engine->decided_apply);
}

bt_map_order_t
bt_find_open_round (const bt_map_controller_t *controller)
{
  bt_map_order_t open = { BT_MAP_LEARN };

  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    {
      const bt_engine_state_t *engine = &controller->views[rank].engine;

      if (bt_is_null_round (engine->armed)
          || (!bt_is_null_round (open.round) && bt_compare_rounds (engine->armed, open.round) >= 0))
        continue;
      open.round = engine->armed;
      open.step = engine->armed_step;
      open.digest = engine->staged_digest;
    }
  return open;
}

bool
bt_record_decision (bt_map_controller_t *controller, bt_round_id_t round)
{
  if (has_applied (&controller->views[0].engine, round))
    controller->applied_round = round;
  return bt_compare_rounds (controller->applied_round, round) == 0;
}

/* Finds the decision of a round while rank 0 is outside the group. No rank can learn a decision any
 * more, since each has reported after rank 0's engine was gone and ignores earlier answers from
 * then on. If some rank knows that the map was applied, it was; if none does, no step used it, and
 * the round is dropped. */
static bool
find_learned_decision (const bt_map_controller_t *controller, bt_round_id_t round)
{
  const bt_engine_state_t *decider = &controller->views[0].engine;

  if (bt_compare_rounds (controller->applied_round, round) == 0)
    return true;
  if (bt_compare_rounds (decider->decided, round) == 0)
    return decider->decided_apply;
  for (int32_t rank = 1; rank < controller->settings.ranks; rank++)
    {
      const bt_engine_state_t *engine = &controller->views[rank].engine;

      if (engine->joined && has_applied (engine, round))
        return true;
    }
  return false;
}

/* Reads the decision of an open round from rank 0, or has rank 0 drop the round; false until rank 0
 * has recorded a decision. */
static bool
settle_decider (bt_context_t *ctx,
                bt_map_controller_t *controller,
                bt_map_order_t *open,
                int64_t now_ms,
                bt_map_actions_t *actions)
{
  const bt_engine_state_t *decider = &controller->views[0].engine;
  bool recorded = bt_has_decided_round (decider, open->round);

  if (decider->joined && is_past_round (decider, open->round))
    {
      open->apply = bt_record_decision (controller, open->round);
      return true;
    }
  if (decider->joined)
    {
      bt_map_order_t drop = *open;

      drop.kind = BT_MAP_DECIDE;
      drop.apply = false;
      bt_send_controller_order (ctx, controller, 0, drop, now_ms, actions);
      return false;
    }
  open->apply = find_learned_decision (controller, open->round);
  if (recorded)
    return true;
  if (open->apply && bt_compare_rounds (decider->staged, open->round) != 0)
    open->kind = BT_MAP_STAGE;
  bt_send_controller_order (ctx, controller, 0, *open, now_ms, actions);
  return false;
}

bool
bt_send_decision (bt_context_t *ctx,
                  bt_map_controller_t *controller,
                  const bt_map_order_t *open,
                  int64_t now_ms,
                  bt_map_actions_t *actions)
{
  bool all_know = true;

  for (int32_t rank = 1; rank < controller->settings.ranks; rank++)
    {
      const bt_engine_state_t *engine = &controller->views[rank].engine;
      bt_map_order_t order = *open;

      if (is_past_round (engine, open->round))
        continue;
      all_know = false;
      if (!engine->joined && open->apply && bt_compare_rounds (engine->staged, open->round) != 0)
        order.kind = BT_MAP_STAGE;
      bt_send_controller_order (ctx, controller, rank, order, now_ms, actions);
    }
  return all_know;
}

bool
bt_settle_round (bt_context_t *ctx,
                 bt_map_controller_t *controller,
                 bt_map_order_t open,
                 int64_t now_ms,
                 bt_map_actions_t *actions)
{
  return settle_decider (ctx, controller, &open, now_ms, actions)
         && bt_send_decision (ctx, controller, &open, now_ms, actions);
}
