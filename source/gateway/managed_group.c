#include "managed_group.h"

#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/maps/group_rounds.h"
#include "group_maps.h"

enum
{
  /* Number of steps from the orders of a leader's first round to the change of the map. If the
     group reaches the held step before it is released, the pause delays every running stream. The
     orders take longer with more ranks, so RANKS_PER_HOLD_STEP more ranks add a step. */
  MIN_HOLD_STEPS = 3,
  MAX_HOLD_STEPS = 5,
  RANKS_PER_HOLD_STEP = 32,
  RESEND_MS = 120,
  STALE_MS = 1200,
  /* Agents report to the leader at once when asked. This is the time of two regular reports and one
     transmission. */
  SILENCE_MS = 250,
  PREPARE_LIMIT_MS = 3000,
  ARM_LIMIT_MS = 1500,
  PLACES_REQUEST_MS = 300,
};

struct bt_managed_group
{
  bt_context_t *ctx;
  bt_agent_links_t *links;
  char name[BT_NAME_BYTES];
  int32_t ranks;
  bt_group_rounds_t *rounds;
  bt_group_maps_t *maps;
  char (*endpoints)[BT_ADDRESS_BYTES]; /* by rank */
  bt_map_bytes_t map;      /* the map of the last PREPARE order, encoded once for all ranks */
  int64_t encoded_version; /* version of that map; 0: none */
  int64_t next_plan_ms;
  int64_t next_request_ms;
  int64_t target;         /* version of the round in progress; 0: none */
  bt_group_phase_t phase; /* the phase that was logged last */
};

static int64_t
choose_hold_steps (int32_t ranks)
{
  int64_t steps = MIN_HOLD_STEPS + ranks / RANKS_PER_HOLD_STEP;

  return steps < MAX_HOLD_STEPS ? steps : MAX_HOLD_STEPS;
}

bt_managed_group_t *
bt_new_managed_group (bt_context_t *ctx,
                      bt_agent_links_t *links,
                      const bt_engine_t *engine,
                      const bt_engine_report_t *report)
{
  bt_group_rounds_settings_t rounds = {
    .ranks = report->ranks,
    .hold_steps = choose_hold_steps (report->ranks),
    .resend_ms = RESEND_MS,
    .stale_ms = STALE_MS,
    .prepare_limit_ms = PREPARE_LIMIT_MS,
    .arm_limit_ms = ARM_LIMIT_MS,
    .silence_ms = SILENCE_MS,
  };
  bt_group_maps_settings_t settings = bt_get_default_group_maps_settings ();
  bt_group_maps_t *maps = bt_new_group_maps (ctx, engine, report->ranks, &settings);
  bt_managed_group_t *group;

  if (maps == NULL)
    return NULL;
  group = bt_calloc (ctx, 1, sizeof *group);
  group->ctx = ctx;
  group->links = links;
  bt_copy_name (group->name, report->group);
  group->ranks = report->ranks;
  group->endpoints = bt_calloc (ctx, (size_t)report->ranks, sizeof *group->endpoints);
  group->maps = maps;
  group->rounds = bt_new_group_rounds (ctx, &rounds);
  return group;
}

void
bt_drop_managed_group (bt_context_t *ctx, bt_managed_group_t *group)
{
  if (group == NULL)
    return;
  bt_drop_group_rounds (ctx, group->rounds);
  bt_drop_group_maps (ctx, group->maps);
  bt_free (ctx, group->endpoints);
  bt_free (ctx, group->map.data);
  bt_free (ctx, group);
}

bool
bt_is_report_of_group (const bt_managed_group_t *group, const bt_engine_report_t *report)
{
  return strcmp (group->name, report->group) == 0 && group->ranks == report->ranks;
}

void
bt_begin_leading_group (bt_managed_group_t *group, uint64_t fence)
{
  group->target = 0;
  bt_start_leading_group (group->rounds, fence);
  bt_forget_group_map (group->ctx, group->maps);
}

void
bt_end_leading_group (bt_managed_group_t *group)
{
  bt_stop_leading_group (group->rounds);
}

void
bt_handle_managed_group_update (bt_managed_group_t *group,
                                const bt_agent_update_t *update,
                                int32_t pass_limit,
                                int64_t now_ms)
{
  const bt_engine_report_t *report = &update->report;

  snprintf (group->endpoints[report->rank], BT_ADDRESS_BYTES, "%s", update->endpoint);
  bt_set_rank_pace (group->maps, report->rank, report->pace);
  if (!report->load_unknown)
    bt_record_group_rank_running (group->maps, report->rank, report->running, pass_limit, now_ms);
  if (update->places != NULL)
    bt_record_rank_places (group->ctx, group->maps, report->rank, update->places_epoch,
                           update->places_version, update->places, update->place_count);
  if (update->picks != NULL)
    bt_record_rank_picks (group->maps, update->picks, update->pick_count, now_ms);
  if (update->answered)
    bt_handle_group_order_result (group->rounds, report->rank, update->answered_id, update->result,
                                  &report->maps, update->received_ms);
  else
    bt_handle_rank_report (group->rounds, report->rank, &report->maps, update->received_ms);
}

static void
log_phase (bt_managed_group_t *group, uint64_t fence)
{
  bt_group_phase_t phase = bt_get_group_phase (group->rounds);

  if (phase == group->phase)
    return;
  bt_log_event (group->ctx, BT_LOG_INFO, "group-phase", "{s:s, s:s, s:s, s:I, s:I, s:I}", "group",
                group->name, "from", bt_name_group_phase (group->phase), "to",
                bt_name_group_phase (phase), "version",
                (json_int_t)bt_get_group_version (group->rounds), "target",
                (json_int_t)bt_get_group_target (group->rounds), "fence", (json_int_t)fence);
  group->phase = phase;
}

/* After a round, makes its map the map in use, unless the round was abandoned. */
static void
finish_round (bt_managed_group_t *group)
{
  if (group->target == 0 || bt_get_group_phase (group->rounds) != BT_GROUP_CALM)
    return;
  if (bt_get_group_version (group->rounds) == group->target)
    bt_activate_next_group_map (group->ctx, group->maps, group->target);
  group->target = 0;
}

static void
request_reports (const bt_managed_group_t *group)
{
  for (int32_t rank = 0; rank < group->ranks; rank++)
    if (group->endpoints[rank][0] != '\0')
      bt_request_agent_report (group->links, group->endpoints[rank]);
}

static void
request_places (bt_managed_group_t *group, int64_t now_ms)
{
  if (now_ms < group->next_request_ms)
    return;
  group->next_request_ms = now_ms + PLACES_REQUEST_MS;
  for (int32_t rank = 0; rank < group->ranks; rank++)
    if (group->endpoints[rank][0] != '\0')
      bt_request_agent_places (group->links, group->endpoints[rank]);
}

/* Schedules a plan at once after demand has jumped: until the next plan the busiest rank stays
 * as busy. */
static void
schedule_plan_after_jump (bt_managed_group_t *group, int64_t now_ms)
{
  if (!bt_poll_group_jump (group->maps, now_ms))
    return;
  group->next_plan_ms = now_ms;
  bt_log_event (group->ctx, BT_LOG_INFO, "demand-jump", "{s:s, s:f}", "group", group->name,
                "fullness", bt_get_group_maps_fullness (group->maps));
}

/* Plans if no round is in progress and the map in use is known: at the configured interval, and at
 * once after demand has jumped. */
static void
plan_round (bt_managed_group_t *group, const bt_group_run_params_t *params)
{
  int64_t now_ms = params->now_ms;
  int64_t version = bt_get_group_version (group->rounds);
  double skew[2] = { 0 };

  schedule_plan_after_jump (group, now_ms);
  if (!params->may_begin_rounds || bt_get_group_phase (group->rounds) != BT_GROUP_CALM
      || now_ms < group->next_plan_ms)
    return;
  if (bt_get_group_map (group->ctx, group->maps, bt_get_group_epoch (group->rounds), version)
      == NULL)
    {
      request_places (group, now_ms);
      return;
    }
  group->next_plan_ms = now_ms + params->plan_ms;
  if (bt_plan_next_group_map (group->ctx, group->maps, now_ms, skew) == NULL)
    return;
  group->target = bt_begin_group_round (group->rounds, now_ms);
  if (group->target != 0)
    bt_log_event (group->ctx, BT_LOG_INFO, "round", "{s:s, s:I, s:f, s:f, s:f}", "group",
                  group->name, "version", (json_int_t)group->target, "skew_before", skew[0],
                  "skew_after", skew[1], "fullness", bt_get_group_maps_fullness (group->maps));
}

/* Returns the map of a PREPARE order: the map of the round, or the map in use for a version that
 * only raises the engines' counts of accepted orders. */
static const bt_expert_map_t *
find_order_map (bt_managed_group_t *group, const bt_group_order_t *order)
{
  if (order->version == group->target)
    return bt_get_next_group_map (group->maps);
  return bt_get_group_map (group->ctx, group->maps, order->epoch,
                           bt_get_group_version (group->rounds));
}

/* Encodes the map of a PREPARE order, unless it is already encoded for another rank: a version
 * always denotes the same map. Returns false if the map is not known. */
static bool
encode_order_map (bt_managed_group_t *group, const bt_group_order_t *order)
{
  const bt_expert_map_t *map;
  bt_error_t error = { 0 };

  if (group->encoded_version == order->version)
    return true;
  bt_free (group->ctx, group->map.data);
  group->map = (bt_map_bytes_t){ NULL };
  group->encoded_version = 0;
  map = find_order_map (group, order);
  if (map == NULL || !bt_encode_expert_map (group->ctx, map, &group->map, &error))
    return false;
  group->encoded_version = order->version;
  return true;
}

static void
send_order (bt_managed_group_t *group, const bt_group_order_t *order, int64_t now_ms)
{
  bool prepares = order->kind == BT_GROUP_PREPARE;

  if (prepares && !encode_order_map (group, order))
    {
      request_places (group, now_ms);
      return;
    }
  bt_send_agent_order (group->links, group->endpoints[order->via], group->endpoints[order->rank],
                       order, prepares ? &group->map : NULL);
}

bool
bt_is_managed_round_open (const bt_managed_group_t *group)
{
  return bt_get_group_phase (group->rounds) != BT_GROUP_CALM;
}

bool
bt_has_managed_group_orders (const bt_managed_group_t *group)
{
  return bt_is_managed_round_open (group) && bt_get_group_phase (group->rounds) != BT_GROUP_LOOKING;
}

bool
bt_run_managed_group (bt_managed_group_t *group, const bt_group_run_params_t *params)
{
  bt_group_order_t order;

  bt_limit_group_holds (group->rounds, params->hold_until_ms);
  finish_round (group);
  plan_round (group, params);
  while (bt_next_group_order (group->rounds, params->now_ms, &order))
    send_order (group, &order, params->now_ms);
  if (bt_poll_report_request (group->rounds))
    request_reports (group);
  log_phase (group, params->fence);
  return !bt_is_group_fenced (group->rounds);
}
