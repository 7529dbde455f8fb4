#include "group_control.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/maps/group_rounds.h"
#include "group_maps.h"

enum
{
  MS_PER_S = 1000,
  /* Orders stop so long before the lease could lapse: a way to an agent and back, and as long again
   * for a loop that was held up. */
  LEASE_MARGIN_MS = 500,
  /* With less left of its lease a leader holds no group. It would stand until the next leader is in
   * office: 6.9 s where the store went away while ranks were being armed. A round holds its group
   * for 50 to 100 ms, and gives it up after 300 ms if an agent is silent; a lease that is renewed
   * each 600 ms has 900 ms left at least. */
  LEAST_LEASE_MS = 700,
  /* A step is one pass of the group, 60 to 100 ms. From the order to hold until the group is let go
   * a group of 16 ranks takes 30 to 60 ms, one of 72 ranks 60 to 270 ms. Is the held step reached
   * before, the pause makes every stream under way late: with 3 steps a group of 72 ranks had 0.72
   * of a heavy day's worth, with 5 steps 0.79. More than 3 steps gain a group of 16 ranks nothing:
   * mean worth 0.707, 0.702 and 0.701 with 3, 4 and 5. */
  LEAST_HOLD_STEPS = 3,
  RANKS_A_HOLD_STEP = 32,
  RESEND_MS = 120,
  STALE_MS = 1200,
  /* Agents report to the leader each 100 ms, and at once when asked; two reports and a way. */
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

static const char *const lease_prefix = "bilberrytray/maps/";
static const char *const lease_name = "groups";

/** One group. */
typedef struct group
{
  char name[BT_NAME_BYTES];
  int32_t ranks;
  bt_group_rounds_t *rounds;
  bt_group_maps_t *maps;
  char endpoints[BT_MAX_GROUP_RANKS][BT_ADDRESS_BYTES]; /* by rank */
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
    control->lease_fence = fence;
  if (control->leaving && control->fence == 0)
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
      bt_free (ctx, group);
    }
  bt_free (ctx, control);
}

void
bt_set_group_view (bt_group_control_t *control, const bt_view_t *view, bool leaving)
{
  bool own = strcmp (view->leader, control->options.instance) == 0;
  int64_t turn = 0;

  for (int32_t i = 0; i < view->entry_count; i++)
    if (strcmp (view->entries[i].identity.instance, control->options.instance) < 0)
      turn++;
  control->leaving = leaving;
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

  if (report->group[0] == '\0' || report->ranks < 1 || report->ranks > BT_MAX_GROUP_RANKS
      || report->rank < 0 || report->rank >= report->ranks || engine->expert_sets == 0)
    return;
  group = find_group (control, engine, report);
  if (group == NULL)
    return;
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

static void
send_order (bt_group_control_t *control,
            group_t *group,
            const bt_group_order_t *order,
            int64_t now_ms)
{
  const char *endpoint = group->endpoints[order->rank];
  const bt_expert_map_t *map = NULL;
  bt_map_bytes_t bytes = { 0 };
  bt_error_t error = { 0 };

  if (order->kind == BT_GROUP_PREPARE)
    {
      map = find_order_map (control, group, order);
      if (map == NULL || !bt_encode_expert_map (control->ctx, map, &bytes, &error))
        {
          ask_places (control, group, now_ms);
          return;
        }
    }
  bt_send_agent_order (control->links, group->endpoints[order->via], endpoint, order,
                       map == NULL ? NULL : &bytes);
  bt_free (control->ctx, bytes.data);
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

/* A leader that leaves ends the rounds it has begun and hands over at once. If its lease lapsed
 * instead, a group that it holds would stand until the next leader is in office, 4 s where each
 * entry instance is replaced in turn. */
static void
hand_over (bt_group_control_t *control)
{
  stop_leading (control, "This instance leaves.");
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
  if (control->leaving && !is_any_round (control))
    hand_over (control);
  bt_set_timer (control->loop, &control->timer,
                now_ms + (is_any_round (control) ? ROUND_LOOK_MS : control->options.plan_ms));
}
