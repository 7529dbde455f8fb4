#include "group_control.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/limit.h"
#include "bilberrytray/maps/group_rounds.h"
#include "group_maps.h"

enum
{
  MS_PER_S = 1000,
  /* Orders stop so long before the lease could lapse: a way to an agent and back, and as long again
   * for a loop that was held up. */
  LEASE_MARGIN_MS = 500,
  /* With less left of its lease a leader holds no group: it would stand until the next leader is in
   * office, for seconds where the store goes away meanwhile. A round lets its group go well within
   * this, and a lease that is renewed in time has more left. */
  LEAST_LEASE_MS = 700,
  /* A step is one pass of the group. Is the held step reached before the group is let go, the pause
   * makes every stream under way late. The more ranks, the longer the orders take. */
  LEAST_HOLD_STEPS = 3,
  RANKS_A_HOLD_STEP = 32,
  RESEND_MS = 120,
  STALE_MS = 1200,
  /* Agents report to the leader at once when asked; two of their usual reports and a way. */
  SILENCE_MS = 250,
  PREPARE_LIMIT_MS = 3000,
  ARM_LIMIT_MS = 1500,
  /* While a round is under way the group is looked at this often. */
  ROUND_LOOK_MS = 20,
  ASK_PLACES_MS = 300,
  /* Each later instance waits longer for its turn to lead, so that they do not race. */
  TURN_MS = 250,
  FIRST_TURN_MS = 100,
};

/* A leader hands over to an instance with so many times its processor share. Planning takes many
 * milliseconds at once, and in them its own callers wait. */
static const double much_room = 1.5;

static const char *const lease_prefix = "bilberrytray/maps/";
static const char *const lease_name = "groups";

/** One group. */
typedef struct group
{
  char name[BT_NAME_BYTES];
  int32_t ranks;
  bt_group_rounds_t *rounds;
  bt_group_maps_t *maps;
  char (*endpoints)[BT_ADDRESS_BYTES]; /* by rank */
  bt_map_bytes_t map;                  /* the one that was ordered last, encoded once for all */
  int64_t map_version;                 /* 0: none was */
  int64_t next_plan_ms;
  int64_t next_ask_ms;
  int64_t target;         /* the version that the next map was given; 0: none */
  bt_group_phase_t phase; /* as last logged */
  struct group *next;
} group_t;

struct bt_group_control
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_agent_links_t *links;
  bt_group_control_options_t options;
  bt_lease_listener_t listener;
  bt_lease_keeper_t *keeper;
  uint64_t fence;       /* 0: not leading */
  uint64_t lease_fence; /* of the lease that was granted last */
  int64_t lease_end_ms;
  bool leaving;
  bool handed_over;   /* the lease that was granted last is on its way back */
  bool unrelieved;    /* it was handed over, and nobody else took it */
  int64_t outdone_ms; /* since when an instance with more room is listed; 0: none is */
  group_t *groups;
  bt_timer_t timer;
};

static void
start_leading (bt_group_control_t *control, uint64_t fence)
{
  control->fence = fence;
  bt_log_event (control->ctx, BT_LOG_INFO, "leading", "{s:I}", "fence", (json_int_t)fence);
  for (group_t *group = control->groups; group != NULL; group = group->next)
    {
      group->target = 0;
      bt_lead_group (group->rounds, fence);
      bt_forget_group_map (control->ctx, group->maps);
    }
  bt_follow_agents (control->links, fence);
}

static void
stop_leading (bt_group_control_t *control, const char *why)
{
  if (control->fence == 0)
    return;
  bt_log_event (control->ctx, BT_LOG_INFO, "not-leading", "{s:I, s:s}", "fence",
                (json_int_t)control->fence, "message", why);
  control->fence = 0;
  for (group_t *group = control->groups; group != NULL; group = group->next)
    bt_leave_group (group->rounds);
  bt_follow_agents (control->links, 0);
}

static void
take_lease (bt_lease_listener_t *listener, uint64_t fence, int64_t sent_ms)
{
  bt_group_control_t *control =
      (bt_group_control_t *)((char *)listener - offsetof (bt_group_control_t, listener));

  control->lease_end_ms = sent_ms + control->options.lease_s * MS_PER_S - LEASE_MARGIN_MS;
  if (fence != 0)
    {
      control->lease_fence = fence;
      control->unrelieved = control->unrelieved || control->handed_over;
      control->handed_over = false;
    }
  if ((control->leaving || control->handed_over) && control->fence == 0)
    bt_want_lease (control->keeper, false, 0);
  /* A renewal that came late ended the leading, not the lease: nobody else has led meanwhile. */
  else if (fence != 0 || control->fence == 0)
    start_leading (control, control->lease_fence);
}

static void
tick (bt_timer_t *timer)
{
  /* The loop turns, which is all that is wanted. */
  (void)timer;
}

bt_group_control_t *
bt_new_group_control (bt_context_t *ctx,
                      bt_event_loop_t *loop,
                      bt_agent_links_t *links,
                      const bt_group_control_options_t *options)
{
  bt_group_control_t *control = bt_calloc (ctx, 1, sizeof *control);
  bt_lease_keeper_options_t lease = {
    .platform = options->platform,
    .store = options->store,
    .prefix = lease_prefix,
    .name = lease_name,
    .instance = options->instance,
    .life_s = options->lease_s,
    .renew_ms = options->renew_ms,
  };

  control->ctx = ctx;
  control->loop = loop;
  control->links = links;
  control->options = *options;
  control->listener.on_lease = take_lease;
  control->timer.on_time = tick;
  control->keeper = bt_new_lease_keeper (ctx, loop, &lease, &control->listener);
  return control;
}

void
bt_drop_group_control (bt_context_t *ctx, bt_group_control_t *control)
{
  if (control == NULL)
    return;
  bt_drop_lease_keeper (ctx, control->keeper);
  bt_clear_timer (control->loop, &control->timer);
  while (control->groups != NULL)
    {
      group_t *group = control->groups;

      control->groups = group->next;
      bt_drop_group_rounds (ctx, group->rounds);
      bt_drop_group_maps (ctx, group->maps);
      bt_free (ctx, group->endpoints);
      bt_free (ctx, group->map.data);
      bt_free (ctx, group);
    }
  bt_free (ctx, control);
}

/* True when an instance takes its turn before this one: it has more processor time, or as much and
 * the lower name. */
static bool
is_turn_before (const bt_group_control_t *control, const bt_listed_entry_t *entry)
{
  if (entry->cores != control->options.cores)
    return entry->cores > control->options.cores;
  return strcmp (entry->identity.instance, control->options.instance) < 0;
}

void
bt_set_group_view (bt_group_control_t *control, const bt_view_t *view, bool leaving)
{
  bool own = strcmp (view->leader, control->options.instance) == 0;
  bool outdone = false;
  int64_t turn = 0;

  for (int32_t i = 0; i < view->entry_count; i++)
    {
      turn += is_turn_before (control, &view->entries[i]);
      outdone = outdone || view->entries[i].cores > control->options.cores * much_room;
    }
  control->leaving = leaving;
  if (view->leader[0] != '\0' && !own)
    control->unrelieved = false;
  if (!outdone)
    control->outdone_ms = 0;
  else if (control->outdone_ms == 0)
    control->outdone_ms = bt_now_ms (control->ctx);
  bt_want_lease (control->keeper, leaving ? control->fence != 0 : view->leader[0] == '\0' || own,
                 FIRST_TURN_MS + turn * TURN_MS);
}

static group_t *
find_group (bt_group_control_t *control,
            const bt_engine_t *engine,
            const bt_engine_report_t *report)
{
  bt_group_rounds_settings_t rounds = {
    .ranks = report->ranks,
    .hold_steps = LEAST_HOLD_STEPS + report->ranks / RANKS_A_HOLD_STEP,
    .resend_ms = RESEND_MS,
    .stale_ms = STALE_MS,
    .prepare_limit_ms = PREPARE_LIMIT_MS,
    .arm_limit_ms = ARM_LIMIT_MS,
    .silence_ms = SILENCE_MS,
  };
  bt_group_maps_settings_t settings = bt_get_default_group_maps_settings ();
  bt_group_maps_t *maps;
  group_t *group;

  for (group = control->groups; group != NULL; group = group->next)
    if (strcmp (group->name, report->group) == 0 && group->ranks == report->ranks)
      return group;
  maps = bt_new_group_maps (control->ctx, engine, report->ranks, &settings);
  if (maps == NULL)
    return NULL;
  group = bt_calloc (control->ctx, 1, sizeof *group);
  bt_copy_name (group->name, report->group);
  group->ranks = report->ranks;
  group->endpoints = bt_calloc (control->ctx, (size_t)report->ranks, sizeof *group->endpoints);
  group->maps = maps;
  group->rounds = bt_new_group_rounds (control->ctx, &rounds);
  if (control->fence != 0)
    bt_lead_group (group->rounds, control->fence);
  group->next = control->groups;
  control->groups = group;
  return group;
}

void
bt_take_group_news (bt_group_control_t *control,
                    const bt_engine_t *engine,
                    const bt_agent_news_t *news,
                    int32_t pass_limit)
{
  const bt_engine_report_t *report = &news->report;
  int64_t now_ms = bt_get_loop_ms (control->loop);
  group_t *group;

  if (report->group[0] == '\0' || report->ranks < 1 || report->rank < 0
      || report->rank >= report->ranks || engine->expert_sets == 0)
    return;
  group = find_group (control, engine, report);
  if (group == NULL)
    {
      bt_note_limit (control->ctx, "group", BT_MAX_RANKS, report->group,
                     "Its ranks or experts are more than a map can have; its map stays as it is.");
      return;
    }
  snprintf (group->endpoints[report->rank], BT_ADDRESS_BYTES, "%s", news->endpoint);
  bt_set_rank_pace (group->maps, report->rank, report->pace);
  bt_take_rank_running (group->maps, report->rank, report->running, pass_limit, now_ms);
  if (news->places != NULL)
    bt_take_rank_places (control->ctx, group->maps, report->rank, news->places_epoch,
                         news->places_version, news->places, news->place_count);
  if (news->picks != NULL)
    bt_take_rank_picks (group->maps, news->picks, news->pick_count, now_ms);
  if (news->answered)
    bt_take_group_order_result (group->rounds, report->rank, news->answered_id, news->result,
                                &report->maps, news->heard_ms);
  else
    bt_take_rank_report (group->rounds, report->rank, &report->maps, news->heard_ms);
}

static void
log_phase (bt_group_control_t *control, group_t *group)
{
  bt_group_phase_t phase = bt_get_group_phase (group->rounds);

  if (phase == group->phase)
    return;
  bt_log_event (
      control->ctx, BT_LOG_INFO, "group-phase", "{s:s, s:s, s:s, s:I, s:I, s:I}", "group",
      group->name, "from", bt_name_group_phase (group->phase), "to", bt_name_group_phase (phase),
      "version", (json_int_t)bt_get_group_version (group->rounds), "target",
      (json_int_t)bt_get_group_target (group->rounds), "fence", (json_int_t)control->fence);
  group->phase = phase;
}

/* A round that has ended leaves its map in use; one that was given up leaves the one before. */
static void
settle (bt_group_control_t *control, group_t *group)
{
  if (group->target == 0 || bt_get_group_phase (group->rounds) != BT_GROUP_CALM)
    return;
  if (bt_get_group_version (group->rounds) == group->target)
    bt_use_next_group_map (control->ctx, group->maps, group->target);
  group->target = 0;
}

static void
ask_reports (bt_group_control_t *control, const group_t *group)
{
  for (int32_t rank = 0; rank < group->ranks; rank++)
    if (group->endpoints[rank][0] != '\0')
      bt_ask_agent_report (control->links, group->endpoints[rank]);
}

static void
ask_places (bt_group_control_t *control, group_t *group, int64_t now_ms)
{
  if (now_ms < group->next_ask_ms)
    return;
  group->next_ask_ms = now_ms + ASK_PLACES_MS;
  for (int32_t rank = 0; rank < group->ranks; rank++)
    if (group->endpoints[rank][0] != '\0')
      bt_ask_agent_places (control->links, group->endpoints[rank]);
}

/* A plan that waits for its turn after a jump leaves the busiest rank as it is for so long. */
static void
notice_jump (bt_group_control_t *control, group_t *group, int64_t now_ms)
{
  if (!bt_take_group_jump (group->maps, now_ms))
    return;
  group->next_plan_ms = now_ms;
  bt_log_event (control->ctx, BT_LOG_INFO, "demand-jump", "{s:s, s:f}", "group", group->name,
                "fullness", bt_get_group_maps_fullness (group->maps));
}

/* Plans when the group is calm and its map is known: each few hundred milliseconds, and at once
 * after demand has jumped. */
static void
plan (bt_group_control_t *control, group_t *group, int64_t now_ms)
{
  int64_t version = bt_get_group_version (group->rounds);
  double skew[2] = { 0 };

  notice_jump (control, group, now_ms);
  if (control->leaving || bt_get_group_phase (group->rounds) != BT_GROUP_CALM
      || now_ms < group->next_plan_ms)
    return;
  if (bt_get_group_map (control->ctx, group->maps, bt_get_group_epoch (group->rounds), version)
      == NULL)
    {
      ask_places (control, group, now_ms);
      return;
    }
  group->next_plan_ms = now_ms + control->options.plan_ms;
  if (bt_plan_next_group_map (control->ctx, group->maps, now_ms, skew) == NULL)
    return;
  group->target = bt_begin_group_round (group->rounds, now_ms);
  if (group->target != 0)
    bt_log_event (control->ctx, BT_LOG_INFO, "round", "{s:s, s:I, s:f, s:f, s:f}", "group",
                  group->name, "version", (json_int_t)group->target, "skew_before", skew[0],
                  "skew_after", skew[1], "fullness", bt_get_group_maps_fullness (group->maps));
}

/* The map that a PREPARE order is about: the round's, or the one in use for a version that only
 * raises the engines' counts. */
static const bt_expert_map_t *
find_order_map (bt_group_control_t *control, group_t *group, const bt_group_order_t *order)
{
  if (order->version == group->target)
    return bt_get_next_group_map (group->maps);
  return bt_get_group_map (control->ctx, group->maps, order->epoch,
                           bt_get_group_version (group->rounds));
}

/* Encodes the map of a PREPARE order, unless that was done for another rank: a version is that of
 * one map for ever. False while the map is not known. */
static bool
encode_order_map (bt_group_control_t *control, group_t *group, const bt_group_order_t *order)
{
  const bt_expert_map_t *map;
  bt_error_t error = { 0 };

  if (group->map_version == order->version)
    return true;
  bt_free (control->ctx, group->map.data);
  group->map = (bt_map_bytes_t){ NULL };
  group->map_version = 0;
  map = find_order_map (control, group, order);
  if (map == NULL || !bt_encode_expert_map (control->ctx, map, &group->map, &error))
    return false;
  group->map_version = order->version;
  return true;
}

static void
send_order (bt_group_control_t *control,
            group_t *group,
            const bt_group_order_t *order,
            int64_t now_ms)
{
  bool prepares = order->kind == BT_GROUP_PREPARE;

  if (prepares && !encode_order_map (control, group, order))
    {
      ask_places (control, group, now_ms);
      return;
    }
  bt_send_agent_order (control->links, group->endpoints[order->via], group->endpoints[order->rank],
                       order, prepares ? &group->map : NULL);
}

static void
run_group (bt_group_control_t *control, group_t *group, int64_t now_ms)
{
  bt_group_order_t order;

  bt_limit_group_holds (group->rounds, control->lease_end_ms - LEAST_LEASE_MS);
  settle (control, group);
  plan (control, group, now_ms);
  while (bt_next_group_order (group->rounds, now_ms, &order))
    send_order (control, group, &order, now_ms);
  if (bt_take_group_ask (group->rounds))
    ask_reports (control, group);
  log_phase (control, group);
  if (bt_is_group_fenced (group->rounds))
    stop_leading (control, "An engine has seen a newer leader.");
}

static bool
is_any_round (const bt_group_control_t *control)
{
  for (const group_t *group = control->groups; group != NULL; group = group->next)
    if (bt_get_group_phase (group->rounds) != BT_GROUP_CALM)
      return true;
  return false;
}

bool
bt_is_group_round_open (const bt_group_control_t *control)
{
  return control->fence != 0 && is_any_round (control);
}

/* True when an instance with more room has been there long enough to lead in this one's place. One
 * that did not take the lease when it could is listed, but not there. */
static bool
is_outdone (const bt_group_control_t *control, int64_t now_ms)
{
  return control->outdone_ms != 0 && !control->unrelieved
         && now_ms - control->outdone_ms > control->options.steady_ms;
}

/* A leader that leaves, or that others have more room than, ends the rounds it has begun and hands
 * over at once. If its lease lapsed instead, a group that it holds would stand until the next
 * leader is in office. */
static void
hand_over (bt_group_control_t *control)
{
  stop_leading (control, control->leaving ? "This instance leaves."
                                          : "Another instance has more processor time.");
  control->outdone_ms = 0;
  control->handed_over = true;
  bt_want_lease (control->keeper, false, 0);
}

void
bt_run_group_control (bt_group_control_t *control)
{
  int64_t now_ms = bt_get_loop_ms (control->loop);

  if (control->fence == 0)
    return;
  /* A process that stood still goes on with what it believed before. */
  if (bt_now_ms (control->ctx) >= control->lease_end_ms)
    {
      stop_leading (control, "The lease was not renewed in time.");
      return;
    }
  for (group_t *group = control->groups; group != NULL && control->fence != 0; group = group->next)
    run_group (control, group, now_ms);
  if ((control->leaving || is_outdone (control, now_ms)) && !is_any_round (control))
    hand_over (control);
  bt_set_timer (control->loop, &control->timer,
                now_ms + (is_any_round (control) ? ROUND_LOOK_MS : control->options.plan_ms));
}
