#include "map_controller_private.h"

#include <string.h>

enum
{
  MAX_ARM_DOUBLINGS = 4,
};

bt_map_controller_t *
bt_new_map_controller (bt_context_t *ctx, const bt_map_controller_settings_t *settings)
{
  bt_map_controller_t *controller = bt_calloc (ctx, 1, sizeof *controller);

  controller->settings = *settings;
  return controller;
}

void
bt_drop_map_controller (bt_context_t *ctx, bt_map_controller_t *controller)
{
  bt_free (ctx, controller);
}

static void
end_round (bt_map_controller_t *controller, bt_round_result_t result)
{
  controller->phase = BT_ROUND_NONE;
  controller->result = result;
}

/* Ends the round at the end of the lease. Its result is unknown, since rank 0 may already have
 * decided either way. */
static void
abandon_round (bt_map_controller_t *controller)
{
  if (controller->phase != BT_ROUND_NONE)
    end_round (controller, BT_ROUND_UNKNOWN);
}

void
bt_grant_map_lease (bt_map_controller_t *controller,
                    uint64_t fence,
                    int64_t sent_ms,
                    int64_t lease_ms)
{
  abandon_round (controller);
  controller->fence = fence;
  controller->stop_ms = sent_ms + lease_ms - controller->settings.lease_margin_ms;
  controller->granted = true;
  controller->last_id = 0;
  controller->min_executed_id = 1;
  controller->sequence = 0;
  /* After a replacement of rank 0, another controller may have dropped that round. Delayed orders
   * of the earlier lease are fenced off by the first queries to the ranks. */
  controller->applied_round = (bt_round_id_t){ 0 };
  memset (controller->views, 0, sizeof controller->views);
}

/* After an expired lease this controller may have been paused for long and another one may hold the
 * lease, even though the answer to an old renewal still arrives. Only a new grant with a new
 * fencing number allows it to continue. */
bool
bt_holds_map_lease (const bt_map_controller_t *controller, int64_t now_ms)
{
  return controller->granted && now_ms < controller->stop_ms;
}

void
bt_renew_map_lease (bt_map_controller_t *controller,
                    int64_t sent_ms,
                    int64_t lease_ms,
                    int64_t now_ms)
{
  int64_t stop_ms = sent_ms + lease_ms - controller->settings.lease_margin_ms;

  if (bt_holds_map_lease (controller, now_ms) && stop_ms > controller->stop_ms)
    controller->stop_ms = stop_ms;
}

bt_round_phase_t
bt_get_round_phase (const bt_map_controller_t *controller)
{
  return controller->phase;
}

bt_round_result_t
bt_get_round_result (const bt_map_controller_t *controller)
{
  return controller->result;
}

uint64_t
bt_get_map_fence (const bt_map_controller_t *controller)
{
  return controller->fence;
}

const bt_engine_state_t *
bt_get_reported_engine (const bt_map_controller_t *controller, int32_t rank)
{
  return controller->views[rank].known ? &controller->views[rank].engine : NULL;
}

static bool
is_armed_for (const bt_engine_state_t *engine, bt_round_id_t round)
{
  return bt_compare_rounds (engine->armed, round) == 0;
}

static bool
is_any_rank_outside (const bt_map_controller_t *controller)
{
  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (!controller->views[rank].engine.joined)
      return true;
  return false;
}

bool
bt_is_map_group_converged (const bt_map_controller_t *controller)
{
  const bt_rank_view_t *views = controller->views;

  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (!views[rank].known || !views[rank].engine.joined
        || !bt_is_null_round (views[rank].engine.armed)
        || bt_compare_rounds (views[rank].engine.in_use, views[0].engine.in_use) != 0)
      return false;
  return true;
}

bool
bt_begin_map_round (bt_map_controller_t *controller, uint64_t digest, int64_t now_ms)
{
  if (!bt_holds_map_lease (controller, now_ms) || controller->phase != BT_ROUND_NONE
      || !bt_is_map_group_converged (controller))
    return false;
  controller->round = (bt_round_id_t){ controller->fence, ++controller->sequence };
  controller->digest = digest;
  controller->step = 0;
  controller->reports_requested = false;
  controller->phase = BT_ROUND_STAGING;
  controller->result = BT_ROUND_NO_RESULT;
  controller->deadline_ms = now_ms + controller->settings.stage_limit_ms;
  return true;
}

static void
drop_round (bt_map_controller_t *controller)
{
  if (controller->phase != BT_ROUND_NONE && controller->phase != BT_ROUND_SETTLED)
    controller->phase = BT_ROUND_DROPPING;
}

void
bt_handle_map_report (bt_map_controller_t *controller,
                      const bt_map_report_t *report,
                      int64_t now_ms)
{
  bt_rank_view_t *view;

  if (!bt_holds_map_lease (controller, now_ms) || report->fence != controller->fence
      || report->rank < 0 || report->rank >= controller->settings.ranks)
    return;
  view = &controller->views[report->rank];
  /* A starting agent does not know its engine's state, and reports can arrive out of order. */
  if (report->refusal == BT_MAP_STARTING || report->refusal == BT_MAP_FENCED
      || report->id < view->id)
    return;
  view->id = report->id;
  view->reported_ms = now_ms;
  /* A refusing agent reports its remembered state, which may be steps behind its engine, and may
   * still be passing on a decision of rank 0. Only the report of an executed order is reliable;
   * after any other the rank is queried again. */
  if (report->refusal != BT_MAP_ACCEPTED)
    {
      if (report->refusal != BT_MAP_BUSY)
        view->executed_id = 0;
      return;
    }
  /* A replaced engine without a map stops the group. The state it needs must come from reports made
   * after the replacement was seen: older ones may name a step that has passed since. */
  if (!report->engine.joined
      && (!view->known || view->engine.incarnation != report->engine.incarnation))
    controller->min_executed_id = controller->last_id + 1;
  /* Rank 0's agent may have dropped the round and told other ranks so before it restarted. */
  if (report->rank == 0 && view->known && view->agent != report->agent)
    drop_round (controller);
  view->known = true;
  view->agent = report->agent;
  view->engine = report->engine;
  view->executed_id = report->id;
  view->resend_at_ms = 0;
}

void
bt_send_controller_order (bt_context_t *ctx,
                          bt_map_controller_t *controller,
                          int32_t rank,
                          bt_map_order_t order,
                          int64_t now_ms,
                          bt_map_actions_t *actions)
{
  bt_rank_view_t *view = &controller->views[rank];

  if (view->sent_kind == order.kind && now_ms < view->resend_at_ms)
    return;
  view->sent_kind = order.kind;
  view->resend_at_ms = now_ms + controller->settings.resend_ms;
  order.rank = rank;
  order.fence = controller->fence;
  order.id = ++controller->last_id;
  order.incarnation = view->engine.incarnation;
  order.agent = view->agent;
  bt_add_map_action (ctx, actions, BT_MAP_SEND_ORDER)->order = order;
}

static void
send_query (bt_context_t *ctx,
            bt_map_controller_t *controller,
            int32_t rank,
            int64_t now_ms,
            bt_map_actions_t *actions)
{
  bt_send_controller_order (ctx, controller, rank, (bt_map_order_t){ BT_MAP_QUERY }, now_ms,
                            actions);
}

/* Queries the ranks whose reports are missing or outdated; false while there are any. */
static bool
refresh_views (bt_context_t *ctx,
               bt_map_controller_t *controller,
               int64_t now_ms,
               bt_map_actions_t *actions)
{
  bool fresh = true;

  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    {
      const bt_rank_view_t *view = &controller->views[rank];

      if (view->known && view->executed_id >= controller->min_executed_id)
        continue;
      send_query (ctx, controller, rank, now_ms, actions);
      fresh = false;
    }
  return fresh;
}

/* The engine state of any joined rank; NULL when the group has never run. */
static const bt_engine_state_t *
find_joined_engine (const bt_map_controller_t *controller)
{
  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (controller->views[rank].engine.joined)
      return &controller->views[rank].engine;
  return NULL;
}

/* Joins replaced ranks. A replaced rank would otherwise run steps with the map it started with. It
 * gets the group's map and any pending change before it joins; until then the group cannot run a
 * step. */
static void
join_ranks (bt_context_t *ctx,
            bt_map_controller_t *controller,
            int64_t now_ms,
            bt_map_actions_t *actions)
{
  const bt_engine_state_t *member = find_joined_engine (controller);
  bt_map_order_t order = { BT_MAP_JOIN };

  order.round = (bt_round_id_t){ controller->fence, 0 };
  order.digest = controller->settings.first_digest;
  if (member != NULL)
    {
      order.round = member->in_use;
      order.digest = member->in_use_digest;
      order.step = member->next_step;
    }
  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (!controller->views[rank].engine.joined)
      bt_send_controller_order (ctx, controller, rank, order, now_ms, actions);
}

static bt_map_order_t
describe_round (const bt_map_controller_t *controller, bt_map_order_kind_t kind)
{
  bt_map_order_t order = { kind };

  order.round = controller->round;
  order.step = controller->step;
  order.digest = controller->digest;
  return order;
}

static uint64_t
choose_step (const bt_map_controller_t *controller)
{
  uint64_t latest = 0;

  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (controller->views[rank].engine.next_step > latest)
      latest = controller->views[rank].engine.next_step;
  return latest + (controller->settings.arm_steps << controller->arm_doublings);
}

static void
drive_staging (bt_context_t *ctx,
               bt_map_controller_t *controller,
               int64_t now_ms,
               bt_map_actions_t *actions)
{
  bool staged = true;

  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (bt_compare_rounds (controller->views[rank].engine.staged, controller->round) != 0)
      {
        bt_send_controller_order (ctx, controller, rank, describe_round (controller, BT_MAP_STAGE),
                                  now_ms, actions);
        staged = false;
      }
  if (!staged)
    {
      if (now_ms >= controller->deadline_ms)
        drop_round (controller);
      return;
    }
  /* Staging may have taken long, so the step is chosen from fresh reports. */
  if (!controller->reports_requested)
    {
      controller->reports_requested = true;
      controller->min_executed_id = controller->last_id + 1;
      return;
    }
  controller->step = choose_step (controller);
  controller->phase = BT_ROUND_ARMING;
  controller->deadline_ms = now_ms + controller->settings.arm_limit_ms;
}

static void
drive_arming (bt_context_t *ctx,
              bt_map_controller_t *controller,
              int64_t now_ms,
              bt_map_actions_t *actions)
{
  bool armed = true;
  bool late = false;

  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (!is_armed_for (&controller->views[rank].engine, controller->round))
      {
        bt_send_controller_order (ctx, controller, rank, describe_round (controller, BT_MAP_ARM),
                                  now_ms, actions);
        armed = false;
        late = late || controller->views[rank].engine.next_step >= controller->step;
      }
  /* Deciding before all ranks are armed would let an unarmed rank pass the step with the old
   * map. */
  if (armed
      || ((controller->settings.test_options & BT_MAP_NO_ARM_ALL) != 0
          && is_armed_for (&controller->views[0].engine, controller->round)))
    controller->phase = BT_ROUND_DECIDING;
  else if (now_ms >= controller->deadline_ms || late)
    {
      /* The orders took longer than the steps ahead allowed; the next round arms further ahead. */
      if (controller->arm_doublings < MAX_ARM_DOUBLINGS)
        controller->arm_doublings++;
      drop_round (controller);
    }
}

static void
drive_decision (bt_context_t *ctx,
                bt_map_controller_t *controller,
                int64_t now_ms,
                bt_map_actions_t *actions)
{
  bt_map_order_t order = describe_round (controller, BT_MAP_DECIDE);

  if (bt_has_decided_round (&controller->views[0].engine, controller->round))
    {
      bt_record_decision (controller, controller->round);
      controller->phase = BT_ROUND_SETTLED;
      return;
    }
  order.apply = controller->phase == BT_ROUND_DECIDING;
  bt_send_controller_order (ctx, controller, 0, order, now_ms, actions);
}

/* Completes a decided round: all ranks learn the decision, and an applied map comes into use at its
 * step. */
static void
drive_settled (bt_context_t *ctx,
               bt_map_controller_t *controller,
               int64_t now_ms,
               bt_map_actions_t *actions)
{
  bt_map_order_t order = describe_round (controller, BT_MAP_LEARN);
  bool in_use = true;

  order.apply = bt_compare_rounds (controller->applied_round, controller->round) == 0;
  if (!bt_send_decision (ctx, controller, &order, now_ms, actions))
    return;
  if (!order.apply)
    {
      end_round (controller, BT_ROUND_DROPPED);
      return;
    }
  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (bt_compare_rounds (controller->views[rank].engine.in_use, controller->round) != 0)
      {
        send_query (ctx, controller, rank, now_ms, actions);
        in_use = false;
      }
  if (!in_use)
    return;
  controller->arm_doublings = 0;
  end_round (controller, BT_ROUND_APPLIED);
}

static void
drive_round (bt_context_t *ctx,
             bt_map_controller_t *controller,
             int64_t now_ms,
             bt_map_actions_t *actions)
{
  switch (controller->phase)
    {
    case BT_ROUND_STAGING:
      drive_staging (ctx, controller, now_ms, actions);
      break;
    case BT_ROUND_ARMING:
      drive_arming (ctx, controller, now_ms, actions);
      break;
    case BT_ROUND_DECIDING:
    case BT_ROUND_DROPPING:
      drive_decision (ctx, controller, now_ms, actions);
      break;
    case BT_ROUND_SETTLED:
      drive_settled (ctx, controller, now_ms, actions);
      break;
    default:
      break;
    }
}

/* Ends a round that some rank is armed for and that this controller did not begin, or a round of
 * its own that a replaced rank interrupted, and joins replaced ranks. True while there is work
 * left. */
static bool
repair_group (bt_context_t *ctx,
              bt_map_controller_t *controller,
              int64_t now_ms,
              bt_map_actions_t *actions)
{
  bt_map_order_t open = bt_find_open_round (controller);
  bool outside = is_any_rank_outside (controller);
  bool own =
      controller->phase != BT_ROUND_NONE
      && (bt_is_null_round (open.round) || bt_compare_rounds (open.round, controller->round) == 0);

  if (own && !outside)
    return false;
  if (own)
    {
      open = describe_round (controller, BT_MAP_LEARN);
      drop_round (controller);
    }
  if (!bt_is_null_round (open.round) && !bt_settle_round (ctx, controller, open, now_ms, actions))
    return true;
  if (!outside)
    return controller->phase == BT_ROUND_NONE && !bt_is_null_round (open.round);
  join_ranks (ctx, controller, now_ms, actions);
  return true;
}

/* Queries ranks that have not reported for a while, since a replaced rank may not report by
 * itself. */
static void
query_silent_ranks (bt_context_t *ctx,
                    bt_map_controller_t *controller,
                    int64_t now_ms,
                    bt_map_actions_t *actions)
{
  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (now_ms - controller->views[rank].reported_ms >= controller->settings.query_after_ms)
      send_query (ctx, controller, rank, now_ms, actions);
}

/* Queries ranks that wait for the step of an applied map until it is in use. */
static void
query_armed_ranks (bt_context_t *ctx,
                   bt_map_controller_t *controller,
                   int64_t now_ms,
                   bt_map_actions_t *actions)
{
  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (!bt_is_null_round (controller->views[rank].engine.armed)
        && !bt_is_undecided (&controller->views[rank].engine))
      send_query (ctx, controller, rank, now_ms, actions);
}

void
bt_tick_map_controller (bt_context_t *ctx,
                        bt_map_controller_t *controller,
                        int64_t now_ms,
                        bt_map_actions_t *actions)
{
  if (!bt_holds_map_lease (controller, now_ms))
    {
      abandon_round (controller);
      return;
    }
  if (!refresh_views (ctx, controller, now_ms, actions))
    return;
  query_silent_ranks (ctx, controller, now_ms, actions);
  if (repair_group (ctx, controller, now_ms, actions))
    query_armed_ranks (ctx, controller, now_ms, actions);
  else
    drive_round (ctx, controller, now_ms, actions);
}
