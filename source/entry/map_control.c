#include "map_control.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/log.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/base/thread.h"
#include "bilberrytray/maps/expert_map.h"
#include "bilberrytray/maps/map_controller.h"
#include "bilberrytray/store/fenced_lease.h"
#include "map_messages.h"

enum
{
  TICK_MS = 10,
  LEASE_INTERVAL_MS = 500,
  STOP_CHECK_MS = 20,
  RESEND_MS = 250,
  QUERY_AFTER_MS = 1000,
  ARM_LIMIT_MS = 2000,
  MS_PER_S = 1000,
  LEASE_MARGIN_DIVISOR = 5, /* the controller stops 1/5 of the lease before its end */
  KEY_BYTES = 256,
  BASE_HEX = 16,
};

struct bt_map_control
{
  bt_context_t *ctx;
  bt_map_control_settings_t settings;
  bt_kv_t *kv;
  bt_fenced_lease_t *lease;
  bt_map_planning_t *planning; /* NULL if no maps are planned */
  pthread_t threads[2];
  int32_t thread_count;
  atomic_bool stopping;

  pthread_mutex_t lock; /* guards the members below; links are called with it held */
  bt_map_controller_t *controller;
  bt_map_actions_t actions;
  bt_link_t *links[BT_MAX_RANKS];
  uint64_t wanted_digest;  /* 0: none */
  uint64_t planned_digest; /* 0: none */
  bt_round_phase_t phase;
  bt_counter_t *controller_gauge; /* 1 if this instance controls the group */
  bt_counter_t *undecided_gauge;  /* ranks armed without a decision */
};

static void
count_round (bt_map_control_t *control)
{
  static const char *const names[] = { "none", "applied", "dropped", "unknown" };
  const char *name = names[bt_get_round_result (control->controller)];

  bt_add_counter (bt_find_counter (control->ctx, BT_COUNTER, "bilberry_map_rounds_total",
                                   "Rounds of this controller by how they ended.", "result", name),
                  1);
  bt_log (control->ctx, BT_LOG_INFO, BT_PART_MAPS, "The round of group %s ended: %s.",
          control->settings.group, name);
}

static void
set_link (bt_map_control_t *control, int32_t rank, bt_link_t *link)
{
  if (control->links[rank] == link)
    return;
  bt_drop_link (control->ctx, control->links[rank]);
  control->links[rank] = bt_keep_link (link);
}

static void
handle_report (bt_map_control_t *control, bt_link_t *link, const Bilberry__MapReport *frame)
{
  bt_map_report_t report = { 0 };

  if (control->planning != NULL && frame->n_expert_load > 0)
    bt_record_map_loads (control->planning, frame, bt_now_ms (control->ctx));
  if (!bt_read_map_report (frame, &report) || report.rank >= control->settings.ranks)
    return;
  set_link (control, report.rank, link);
  bt_handle_map_report (control->controller, &report, bt_now_ms (control->ctx));
}

/* Agents have no links to each other, so an entry instance forwards a question to rank 0 and an
 * answer to the rank that asked. A lost question is asked again, and duplicates have no effect. */
static void
forward_frame (bt_map_control_t *control, const bt_frame_t *frame)
{
  uint32_t rank = 0;

  if (frame->body_case == BILBERRY__FRAME__BODY_MAP_TELL)
    rank = frame->map_tell->ask->rank;
  if (rank < (uint64_t)control->settings.ranks && control->links[rank] != NULL)
    bt_send_frame (control->ctx, control->links[rank], frame);
}

static const char *
get_frame_group (const bt_frame_t *frame)
{
  switch (frame->body_case)
    {
    case BILBERRY__FRAME__BODY_MAP_REPORT:
      return frame->map_report->group;
    case BILBERRY__FRAME__BODY_MAP_ASK:
      return frame->map_ask->group;
    case BILBERRY__FRAME__BODY_MAP_TELL:
      return frame->map_tell->ask == NULL ? "" : frame->map_tell->ask->group;
    default:
      return NULL;
    }
}

bool
bt_handle_map_control_frame (bt_map_control_t *control, bt_link_t *link, const bt_frame_t *frame)
{
  const char *group = get_frame_group (frame);

  if (group == NULL)
    return false;
  if (control == NULL || strcmp (group, control->settings.group) != 0)
    return true;
  pthread_mutex_lock (&control->lock);
  if (frame->body_case == BILBERRY__FRAME__BODY_MAP_REPORT)
    handle_report (control, link, frame->map_report);
  else
    forward_frame (control, frame);
  pthread_mutex_unlock (&control->lock);
  return true;
}

static void
begin_round (bt_map_control_t *control, int64_t now_ms)
{
  const bt_engine_state_t *engine = bt_get_reported_engine (control->controller, 0);

  uint64_t digest = control->wanted_digest != 0 ? control->wanted_digest : control->planned_digest;

  if (digest == 0 || engine == NULL)
    return;
  if (engine->in_use_digest != digest && !bt_begin_map_round (control->controller, digest, now_ms))
    return;
  control->planned_digest = 0;
}

/* A rank cannot stage or join with a map whose bytes are not cached yet. Nothing is sent then;
 * the order is repeated later. */
static void
send_order (bt_map_control_t *control, const bt_map_order_t *order)
{
  bt_map_bytes_t map = { 0 };
  bool carries_map = order->kind == BT_MAP_STAGE || order->kind == BT_MAP_JOIN;

  if (control->planning != NULL && carries_map
      && !bt_copy_map_bytes (control->planning, order->digest, &map))
    return;
  bt_send_map_order (control->ctx, control->links[order->rank], control->settings.group, order,
                     &map);
  bt_free (control->ctx, map.data);
}

static void
update_gauges (bt_map_control_t *control, int64_t now_ms)
{
  int64_t undecided = 0;

  for (int32_t rank = 0; rank < control->settings.ranks; rank++)
    {
      const bt_engine_state_t *engine = bt_get_reported_engine (control->controller, rank);

      undecided += engine != NULL && bt_is_undecided (engine);
    }
  bt_set_gauge (control->controller_gauge, bt_holds_map_lease (control->controller, now_ms));
  bt_set_gauge (control->undecided_gauge, undecided);
}

static void
tick (bt_map_control_t *control)
{
  int64_t now_ms = bt_now_ms (control->ctx);
  bt_round_phase_t phase;

  begin_round (control, now_ms);
  bt_tick_map_controller (control->ctx, control->controller, now_ms, &control->actions);
  for (int32_t i = 0; i < control->actions.count; i++)
    {
      const bt_map_order_t *order = &control->actions.items[i].order;

      /* The process can be suspended at any point, also between this check and the send. Agents
       * refuse orders that it sends after it resumes; the check only makes that rarer. */
      if (control->links[order->rank] != NULL
          && bt_holds_map_lease (control->controller, bt_now_ms (control->ctx)))
        send_order (control, order);
    }
  control->actions.count = 0;
  phase = bt_get_round_phase (control->controller);
  if (phase == BT_ROUND_NONE && control->phase != BT_ROUND_NONE)
    count_round (control);
  control->phase = phase;
  update_gauges (control, now_ms);
}

static void *
run_ticks (void *data)
{
  bt_map_control_t *control = data;

  while (!atomic_load (&control->stopping))
    {
      pthread_mutex_lock (&control->lock);
      tick (control);
      pthread_mutex_unlock (&control->lock);
      bt_sleep_ms (TICK_MS);
    }
  return NULL;
}

static void
read_wanted (bt_map_control_t *control)
{
  bt_kv_range_t range = { 0 };
  bt_error_t error = { 0 };
  char key[KEY_BYTES];

  snprintf (key, sizeof key, "%s%s/wanted", control->settings.store_prefix,
            control->settings.group);
  if (!bt_read_kv (control->ctx, control->kv, key, false, &range, &error))
    return;
  pthread_mutex_lock (&control->lock);
  control->wanted_digest = range.count > 0 ? strtoull (range.pairs[0].value, NULL, BASE_HEX) : 0;
  pthread_mutex_unlock (&control->lock);
  bt_drop_kv_range (control->ctx, &range);
}

static void
hold_lease (bt_map_control_t *control)
{
  int64_t sent_ms = bt_now_ms (control->ctx);
  int64_t lease_ms = control->settings.lease_s * MS_PER_S;
  uint64_t fence = 0;
  bt_lease_result_t result = bt_acquire_fenced_lease (control->ctx, control->lease, &fence);
  bool held;

  pthread_mutex_lock (&control->lock);
  if (result == BT_LEASE_GRANTED)
    bt_grant_map_lease (control->controller, fence, sent_ms, lease_ms);
  else if (result == BT_LEASE_RENEWED)
    bt_renew_map_lease (control->controller, sent_ms, lease_ms, bt_now_ms (control->ctx));
  held = bt_holds_map_lease (control->controller, bt_now_ms (control->ctx));
  pthread_mutex_unlock (&control->lock);
  if (result == BT_LEASE_GRANTED)
    bt_log (control->ctx, BT_LOG_INFO, BT_PART_MAPS,
            "Controlling group %s with fencing number %llu.", control->settings.group,
            (unsigned long long)fence);
  /* The controller stops before its lease ends, so the store may still have the lease. It is
   * forgotten and not renewed, so that it expires and a new fencing number is issued. */
  if (!held)
    bt_forget_fenced_lease (control->lease);
}

/* Lists the digests of the wanted map and of the maps that the ranks have in use or staged, so
 * that a new controller fetches their bytes. @p in_use is the map to plan from, or 0 if none can
 * be planned now: this instance lacks the lease, the group has not converged, or a round is in
 * progress. */
static int32_t
list_reported_maps (bt_map_control_t *control, uint64_t *digests, uint64_t *in_use, uint64_t *fence)
{
  const bt_engine_state_t *decider;
  int32_t count = 0;

  pthread_mutex_lock (&control->lock);
  decider = bt_get_reported_engine (control->controller, 0);
  *in_use = 0;
  *fence = bt_get_map_fence (control->controller);
  if (bt_holds_map_lease (control->controller, bt_now_ms (control->ctx)) && decider != NULL
      && bt_is_map_group_converged (control->controller)
      && bt_get_round_phase (control->controller) == BT_ROUND_NONE)
    *in_use = decider->in_use_digest;
  digests[count++] = control->wanted_digest;
  for (int32_t rank = 0; rank < control->settings.ranks; rank++)
    {
      const bt_engine_state_t *engine = bt_get_reported_engine (control->controller, rank);

      if (engine == NULL)
        continue;
      digests[count++] = engine->in_use_digest;
      digests[count++] = engine->staged_digest;
    }
  pthread_mutex_unlock (&control->lock);
  return count;
}

static void
plan_maps (bt_map_control_t *control)
{
  uint64_t digests[2 * BT_MAX_RANKS + 1];
  uint64_t in_use;
  uint64_t fence;
  uint64_t planned;
  int32_t count;

  if (control->planning == NULL)
    return;
  count = list_reported_maps (control, digests, &in_use, &fence);
  /* A group that has lost every rank restarts with the first map. */
  bt_fetch_map (control->planning, control->kv, bt_get_first_map (control->planning));
  for (int32_t i = 0; i < count; i++)
    bt_fetch_map (control->planning, control->kv, digests[i]);
  if (in_use == 0)
    return;
  planned =
      bt_plan_next_map (control->planning, control->kv, fence, in_use, bt_now_ms (control->ctx));
  pthread_mutex_lock (&control->lock);
  if (planned != 0)
    control->planned_digest = planned;
  pthread_mutex_unlock (&control->lock);
}

static void *
run_lease (void *data)
{
  bt_map_control_t *control = data;

  while (!atomic_load (&control->stopping))
    {
      hold_lease (control);
      read_wanted (control);
      plan_maps (control);
      for (int32_t waited = 0; waited < LEASE_INTERVAL_MS && !atomic_load (&control->stopping);
           waited += STOP_CHECK_MS)
        bt_sleep_ms (STOP_CHECK_MS);
    }
  return NULL;
}

static bool
start_thread (bt_map_control_t *control, void *(*body) (void *), bt_error_t *error)
{
  if (!bt_start_thread (control->ctx, &control->threads[control->thread_count], "maps", body,
                        control))
    return bt_set_error (error, BT_ERROR_SYSTEM, "Cannot start a thread: %s.", strerror (errno));
  control->thread_count++;
  return true;
}

static bt_map_controller_t *
make_controller (bt_context_t *ctx,
                 const bt_map_control_settings_t *settings,
                 const bt_map_planning_t *planning)
{
  bt_map_controller_settings_t controller = { 0 };

  controller.ranks = (int32_t)settings->ranks;
  controller.lease_margin_ms = settings->lease_s * MS_PER_S / LEASE_MARGIN_DIVISOR;
  controller.resend_ms = RESEND_MS;
  controller.query_after_ms = QUERY_AFTER_MS;
  controller.arm_limit_ms = ARM_LIMIT_MS;
  controller.stage_limit_ms = settings->stage_limit_ms;
  controller.arm_steps = (uint64_t)settings->arm_steps;
  controller.first_digest = planning == NULL ? 1 : bt_get_first_map (planning);
  return bt_new_map_controller (ctx, &controller);
}

bt_map_control_t *
bt_new_map_control (bt_context_t *ctx, const bt_map_control_settings_t *settings, bt_error_t *error)
{
  bt_map_control_t *control = bt_calloc (ctx, 1, sizeof *control);
  bt_kv_settings_t kv = bt_get_default_kv_settings (settings->store_url);

  control->ctx = ctx;
  control->settings = *settings;
  bt_fill_secure_random (&kv.seed, sizeof kv.seed);
  kv.total_ms = settings->lease_s * MS_PER_S / LEASE_MARGIN_DIVISOR;
  pthread_mutex_init (&control->lock, NULL);
  control->kv = bt_new_etcd_kv (ctx, &kv);
  control->lease = bt_new_fenced_lease (ctx, control->kv, settings->store_prefix, settings->group,
                                        settings->instance, settings->lease_s);
  if (settings->planning != NULL)
    control->planning = bt_new_map_planning (ctx, settings->planning);
  control->controller = make_controller (ctx, settings, control->planning);
  control->controller_gauge =
      bt_find_counter (ctx, BT_GAUGE, "bilberry_map_controller",
                       "1 on the entry that controls the group.", NULL, NULL);
  control->undecided_gauge =
      bt_find_counter (ctx, BT_GAUGE, "bilberry_map_undecided_ranks",
                       "Ranks armed for a round and without its decision.", NULL, NULL);
  if (start_thread (control, run_ticks, error) && start_thread (control, run_lease, error))
    return control;
  bt_drop_map_control (ctx, control);
  return NULL;
}

void
bt_drop_map_control (bt_context_t *ctx, bt_map_control_t *control)
{
  if (control == NULL)
    return;
  atomic_store (&control->stopping, true);
  bt_cancel_kv (ctx, control->kv);
  for (int32_t i = 0; i < control->thread_count; i++)
    pthread_join (control->threads[i], NULL);
  for (int32_t rank = 0; rank < BT_MAX_RANKS; rank++)
    bt_drop_link (ctx, control->links[rank]);
  bt_drop_map_controller (ctx, control->controller);
  bt_clear_map_actions (ctx, &control->actions);
  bt_drop_fenced_lease (ctx, control->lease);
  bt_drop_map_planning (ctx, control->planning);
  bt_drop_kv (ctx, control->kv);
  pthread_mutex_destroy (&control->lock);
  bt_free (ctx, control);
}
