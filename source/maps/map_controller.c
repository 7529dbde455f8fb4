#include "map_controller_private.h"

#include <string.h>

enum
{
  MAX_WIDENED = 4,
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

/* A round cut off by the end of a lease may end either way once rank 0 could have decided. */
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
  controller->ids = 0;
  controller->fresh_id = 1;
  controller->sequence = 0;
  /* Another controller may have dropped that round since, after rank 0 was replaced. Orders of the
   * earlier lease that are still under way are fenced off by the first look at the ranks. */
  controller->taken = (bt_round_id_t){ 0 };
  memset (controller->views, 0, sizeof controller->views);
}

/* The holder of a lapsed lease may have been paused for long; another may hold it by now, though
 * the answer to an old renewal still arrives. Only a new grant with a new number goes on. */
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
is_anyone_outside (const bt_map_controller_t *controller)
{
  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (!controller->views[rank].engine.joined)
      return true;
  return false;
}

bool
bt_is_map_group_whole (const bt_map_controller_t *controller)
{
  const bt_rank_view_t *views = controller->views;

  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (!views[rank].known || !views[rank].engine.joined
        || !bt_is_no_round (views[rank].engine.armed)
        || bt_compare_rounds (views[rank].engine.in_use, views[0].engine.in_use) != 0)
      return false;
  return true;
}

bool
bt_begin_map_round (bt_map_controller_t *controller, uint64_t digest, int64_t now_ms)
{
  if (!bt_holds_map_lease (controller, now_ms) || controller->phase != BT_ROUND_NONE
      || !bt_is_map_group_whole (controller))
    return false;
  controller->round = (bt_round_id_t){ controller->fence, ++controller->sequence };
  controller->digest = digest;
  controller->step = 0;
  controller->looked = false;
  controller->phase = BT_ROUND_STAGING;
  controller->result = BT_ROUND_NO_RESULT;
  controller->limit_ms = now_ms + controller->settings.stage_limit_ms;
  return true;
}

static void
drop_round (bt_map_controller_t *controller)
{
  if (controller->phase != BT_ROUND_NONE && controller->phase != BT_ROUND_SETTLED)
    controller->phase = BT_ROUND_DROPPING;
}

void
bt_take_map_report (bt_map_controller_t *controller, const bt_map_report_t *report, int64_t now_ms)
{
  bt_rank_view_t *view;

  if (!bt_holds_map_lease (controller, now_ms) || report->fence != controller->fence
      || report->rank < 0 || report->rank >= controller->settings.ranks)
    return;
  view = &controller->views[report->rank];
  /* An agent that is starting knows nothing of its engine, and reports can overtake each other. */
  if (report->refusal == BT_MAP_STARTING || report->refusal == BT_MAP_FENCED
      || report->id < view->id)
    return;
  view->id = report->id;
  view->seen_ms = now_ms;
  /* An agent that refuses speaks from memory, which may be steps behind its engine, and may still
   * be passing on what rank 0 told it. Only an order that was carried out makes a report to build
   * on; after any other the rank is asked again. */
  if (report->refusal != BT_MAP_ACCEPTED)
    {
      if (report->refusal != BT_MAP_BUSY)
        view->fresh_id = 0;
      return;
    }
  /* A replaced engine without a map stops the group. What is put together for it must come from
   * reports made after it was seen: older ones may tell of a step that has since been made. */
  if (!report->engine.joined
      && (!view->known || view->engine.incarnation != report->engine.incarnation))
    controller->fresh_id = controller->ids + 1;
  /* Rank 0's agent may have dropped the round and said so before it restarted. */
  if (report->rank == 0 && view->known && view->agent != report->agent)
    drop_round (controller);
  view->known = true;
  view->agent = report->agent;
  view->engine = report->engine;
  view->fresh_id = report->id;
  view->send_ms = 0;
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

  if (view->sent == order.kind && now_ms < view->send_ms)
    return;
  view->sent = order.kind;
  view->send_ms = now_ms + controller->settings.resend_ms;
  order.rank = rank;
  order.fence = controller->fence;
  order.id = ++controller->ids;
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

/* Asks the ranks whose reports are missing or too old; false while there are any. */
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

      if (view->known && view->fresh_id >= controller->fresh_id)
        continue;
      send_query (ctx, controller, rank, now_ms, actions);
      fresh = false;
    }
  return fresh;
}

/* The state of any rank in the group; NULL when the group has never run. */
static const bt_engine_state_t *
find_member (const bt_map_controller_t *controller)
{
  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (controller->views[rank].engine.joined)
      return &controller->views[rank].engine;
  return NULL;
}

/* A replaced rank would step with whatever map it started with. It gets the group's map, and any
 * change that waits for its step, before it joins; until then the group cannot step at all. */
static void
join_ranks (bt_context_t *ctx,
            bt_map_controller_t *controller,
            int64_t now_ms,
            bt_map_actions_t *actions)
{
  const bt_engine_state_t *member = find_member (controller);
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
  return latest + (controller->settings.arm_steps << controller->widened);
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
      if (now_ms >= controller->limit_ms)
        drop_round (controller);
      return;
    }
  /* Staging may have taken long; the step is chosen from reports of now. */
  if (!controller->looked)
    {
      controller->looked = true;
      controller->fresh_id = controller->ids + 1;
      return;
    }
  controller->step = choose_step (controller);
  controller->phase = BT_ROUND_ARMING;
  controller->limit_ms = now_ms + controller->settings.arm_limit_ms;
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
  /* Deciding before all are armed would let an unarmed rank run past the step with the old map. */
  if (armed
      || ((controller->settings.test_options & BT_MAP_NO_ARM_ALL) != 0
          && is_armed_for (&controller->views[0].engine, controller->round)))
    controller->phase = BT_ROUND_DECIDING;
  else if (now_ms >= controller->limit_ms || late)
    {
      /* Orders take longer than the steps ahead allowed for; the next round arms further ahead. */
      if (controller->widened < MAX_WIDENED)
        controller->widened++;
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
      bt_note_decision (controller, controller->round);
      controller->phase = BT_ROUND_SETTLED;
      return;
    }
  order.apply = controller->phase == BT_ROUND_DECIDING;
  bt_send_controller_order (ctx, controller, 0, order, now_ms, actions);
}

/* Sees a decided round through: all learn it, and a taken map comes into use at its step. */
static void
drive_settled (bt_context_t *ctx,
               bt_map_controller_t *controller,
               int64_t now_ms,
               bt_map_actions_t *actions)
{
  bt_map_order_t order = describe_round (controller, BT_MAP_LEARN);
  bool in_use = true;

  order.apply = bt_compare_rounds (controller->taken, controller->round) == 0;
  if (!bt_spread_decision (ctx, controller, &order, now_ms, actions))
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
  controller->widened = 0;
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

/* A round that a rank is armed for and that this controller did not begin, or a round of its own
 * that a replaced rank has cut short. True while there is something to do about it. */
static bool
mend_group (bt_context_t *ctx,
            bt_map_controller_t *controller,
            int64_t now_ms,
            bt_map_actions_t *actions)
{
  bt_map_order_t open = bt_find_open_round (controller);
  bool outside = is_anyone_outside (controller);
  bool own =
      controller->phase != BT_ROUND_NONE
      && (bt_is_no_round (open.round) || bt_compare_rounds (open.round, controller->round) == 0);

  if (own && !outside)
    return false;
  if (own)
    {
      open = describe_round (controller, BT_MAP_LEARN);
      drop_round (controller);
    }
  if (!bt_is_no_round (open.round) && !bt_settle_round (ctx, controller, open, now_ms, actions))
    return true;
  if (!outside)
    return controller->phase == BT_ROUND_NONE && !bt_is_no_round (open.round);
  join_ranks (ctx, controller, now_ms, actions);
  return true;
}

/* A replaced rank may not speak up by itself, so each is looked at from time to time. */
static void
look_around (bt_context_t *ctx,
             bt_map_controller_t *controller,
             int64_t now_ms,
             bt_map_actions_t *actions)
{
  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (now_ms - controller->views[rank].seen_ms >= controller->settings.look_ms)
      send_query (ctx, controller, rank, now_ms, actions);
}

/* Ranks that wait for a taken map's step are looked at until it is in use. */
static void
watch_open_round (bt_context_t *ctx,
                  bt_map_controller_t *controller,
                  int64_t now_ms,
                  bt_map_actions_t *actions)
{
  for (int32_t rank = 0; rank < controller->settings.ranks; rank++)
    if (!bt_is_no_round (controller->views[rank].engine.armed)
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
  look_around (ctx, controller, now_ms, actions);
  if (mend_group (ctx, controller, now_ms, actions))
    watch_open_round (ctx, controller, now_ms, actions);
  else
    drive_round (ctx, controller, now_ms, actions);
}
