#include "group_control.h"

#include <stddef.h>
#include <string.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/limit.h"
#include "bilberrytray/config/contention.h"
#include "lead_order.h"
#include "managed_group.h"

enum
{
  MS_PER_S = 1000,
  /* Orders stop this long before the lease can expire. It covers a round trip to an agent, and as
   * much again for an event loop that was delayed. */
  LEASE_MARGIN_MS = 500,
  /* A leader holds no group when less than this is left of its lease. A group that is still held
   * when the lease expires stands still until the next leader takes over, which takes seconds if
   * the store fails meanwhile. A round releases its group well within this time, and a lease that
   * is renewed in time has more left. */
  MIN_HOLD_LEASE_MS = 700,
  /* Interval between two runs of the control while a round is in progress. */
  ROUND_INTERVAL_MS = 20,
  /* A process that did not run for this long was suspended, and another instance may have taken
   * over meanwhile. */
  MAX_PAUSE_MS = 1000,
};

/* A leader hands over to an instance with more than this many times its processor share. Planning
 * blocks the event loop for many milliseconds at a time, and the leader's own callers wait then. */
static const double handover_cores_ratio = 1.5;

static const char *const lease_prefix = "bilberrytray/maps/";
static const char *const lease_name = "groups";

/** Values of the gauge bilberry_leading. */
typedef enum leading_state
{
  NOT_LEADING = 0,
  LEADING,
  LEADING_PAST_LEASE,
} leading_state_t;

/** A list element for one group. */
typedef struct group_row
{
  bt_managed_group_t *group;
  struct group_row *next;
} group_row_t;

struct bt_group_control
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_agent_links_t *links;
  bt_group_control_options_t options;
  bt_lease_listener_t listener;
  bt_lease_keeper_t *keeper;
  bt_counter_t *leading; /* a gauge of leading_state_t */
  uint64_t fence;        /* 0: not leading */
  uint64_t lease_fence;  /* fencing number of the lease that was granted last */
  int64_t lease_end_ms;
  int64_t run_ms;  /* when bt_run_group_control last ran as the leader */
  bool lease_lost; /* the store said that the lease has ended */
  bool suspended;  /* this process did not run for a while since the lease was renewed */
  bool contended;  /* an app with engines is contended */
  bool past_lease; /* leads past the end of the lease */
  bool leaving;
  bool handed_over;        /* the lease that was granted last is being released */
  bool handover_failed;    /* the lease was released, but no other instance took it */
  int64_t better_since_ms; /* since when an instance with more processor share is listed; 0: none */
  int64_t vacant_since_ms; /* since when no leader is known; 0: one is known */
  group_row_t *groups;
  bt_timer_t timer;
};

static void
start_leading (bt_group_control_t *control, uint64_t fence)
{
  control->fence = fence;
  control->run_ms = bt_now_ms (control->ctx);
  bt_set_gauge (control->leading, LEADING);
  bt_log_event (control->ctx, BT_LOG_INFO, "leading", "{s:I}", "fence", (json_int_t)fence);
  for (group_row_t *row = control->groups; row != NULL; row = row->next)
    bt_begin_leading_group (row->group, fence);
  bt_subscribe_agents (control->links, fence);
}

static void
stop_leading (bt_group_control_t *control, const char *reason)
{
  if (control->fence == 0)
    return;
  bt_log_event (control->ctx, BT_LOG_INFO, "not-leading", "{s:I, s:s}", "fence",
                (json_int_t)control->fence, "message", reason);
  control->fence = 0;
  control->past_lease = false;
  bt_set_gauge (control->leading, NOT_LEADING);
  for (group_row_t *row = control->groups; row != NULL; row = row->next)
    bt_end_leading_group (row->group);
  bt_subscribe_agents (control->links, 0);
}

static void
handle_lease (bt_lease_listener_t *listener, uint64_t fence, int64_t sent_ms)
{
  bt_group_control_t *control =
      (bt_group_control_t *)((char *)listener - offsetof (bt_group_control_t, listener));

  control->lease_end_ms = sent_ms + control->options.lease_s * MS_PER_S - LEASE_MARGIN_MS;
  control->lease_lost = false;
  control->suspended = false;
  if (control->past_lease)
    bt_set_gauge (control->leading, LEADING);
  control->past_lease = false;
  if (fence != 0)
    {
      control->lease_fence = fence;
      control->handover_failed = control->handover_failed || control->handed_over;
      control->handed_over = false;
    }
  if ((control->leaving || control->handed_over) && control->fence == 0)
    bt_set_lease_wanted (control->keeper, false, 0);
  /* After a late renewal this instance stopped leading, but the lease did not expire and no other
     instance has led meanwhile. */
  else if (fence != 0 || control->fence == 0)
    start_leading (control, control->lease_fence);
}

static void
handle_failed_renewal (bt_lease_listener_t *listener, bool lost)
{
  bt_group_control_t *control =
      (bt_group_control_t *)((char *)listener - offsetof (bt_group_control_t, listener));

  control->lease_lost = control->lease_lost || lost;
}

static void
wake_loop (bt_timer_t *timer)
{
  /* The timer only wakes the event loop, which then calls bt_run_group_control. */
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
    .ttl_s = options->lease_s,
    .renew_ms = options->renew_ms,
  };

  control->ctx = ctx;
  control->loop = loop;
  control->links = links;
  control->options = *options;
  control->leading =
      bt_find_counter (ctx, BT_GAUGE, "bilberry_leading",
                       "1: leads the rank groups; 2: past the end of its lease.", NULL, NULL);
  control->listener.on_lease = handle_lease;
  control->listener.on_renewal_failed = handle_failed_renewal;
  control->timer.on_expiry = wake_loop;
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
      group_row_t *row = control->groups;

      control->groups = row->next;
      bt_drop_managed_group (ctx, row->group);
      bt_free (ctx, row);
    }
  bt_free (ctx, control);
}

/* Returns the time left until this instance tries to lead. It is computed anew with each view: if
 * instances that come before this one are lost together with the leader, it need not wait for
 * them. */
static int64_t
get_lead_wait_ms (bt_group_control_t *control, const bt_view_t *view)
{
  int64_t now_ms = bt_now_ms (control->ctx);
  int64_t due_ms;

  if (view->leader[0] != '\0')
    control->vacant_since_ms = 0;
  else if (control->vacant_since_ms == 0)
    control->vacant_since_ms = now_ms;
  if (control->vacant_since_ms == 0)
    return 0;
  due_ms = control->vacant_since_ms
           + bt_get_lead_delay_ms (view, control->options.instance, control->options.cores);
  return due_ms > now_ms ? due_ms - now_ms : 0;
}

/* Returns true if callers of an app with engines compete. */
static bool
is_any_model_contended (const bt_declarations_t *declarations)
{
  for (int32_t i = 0; declarations != NULL && i < declarations->app_count; i++)
    if (declarations->apps[i].kind == BT_APP_MODEL && bt_is_app_contended (declarations, i))
      return true;
  return false;
}

void
bt_set_group_view (bt_group_control_t *control, const bt_view_t *view, bool leaving)
{
  bool own = strcmp (view->leader, control->options.instance) == 0;
  bool better_listed = false;

  for (int32_t i = 0; i < view->entry_count; i++)
    better_listed =
        better_listed || view->entries[i].cores > control->options.cores * handover_cores_ratio;
  control->leaving = leaving;
  control->contended = is_any_model_contended (view->declarations);
  if (control->past_lease && !own)
    stop_leading (control, "The store shows that the lease has ended.");
  if (view->leader[0] != '\0' && !own)
    {
      control->handed_over = false;
      control->handover_failed = false;
    }
  if (!better_listed)
    control->better_since_ms = 0;
  else if (control->better_since_ms == 0)
    control->better_since_ms = bt_now_ms (control->ctx);
  bt_set_lease_wanted (control->keeper,
                       leaving ? control->fence != 0
                               : view->leader[0] == '\0' || (own && !control->handed_over),
                       get_lead_wait_ms (control, view));
}

static bt_managed_group_t *
find_group (bt_group_control_t *control,
            const bt_engine_t *engine,
            const bt_engine_report_t *report)
{
  bt_managed_group_t *group;
  group_row_t *row;

  for (row = control->groups; row != NULL; row = row->next)
    if (bt_is_report_of_group (row->group, report))
      return row->group;
  group = bt_new_managed_group (control->ctx, control->links, engine, report);
  if (group == NULL)
    return NULL;
  if (control->fence != 0)
    bt_begin_leading_group (group, control->fence);
  row = bt_calloc (control->ctx, 1, sizeof *row);
  row->group = group;
  row->next = control->groups;
  control->groups = row;
  return group;
}

void
bt_handle_group_update (bt_group_control_t *control,
                        const bt_engine_t *engine,
                        const bt_agent_update_t *update,
                        int32_t pass_limit)
{
  const bt_engine_report_t *report = &update->report;
  bt_managed_group_t *group;

  if (report->group[0] == '\0' || report->ranks < 1 || report->rank < 0
      || report->rank >= report->ranks || engine->expert_sets == 0)
    return;
  group = find_group (control, engine, report);
  if (group != NULL)
    bt_handle_managed_group_update (group, update, pass_limit, bt_get_loop_ms (control->loop));
  else
    bt_report_limit (control->ctx, "group", BT_MAX_RANKS, report->group,
                     "Its ranks or experts exceed the limits of a map; its map is not changed.");
}

static bool
has_open_round (const bt_group_control_t *control)
{
  for (const group_row_t *row = control->groups; row != NULL; row = row->next)
    if (bt_is_managed_round_open (row->group))
      return true;
  return false;
}

bool
bt_is_group_round_open (const bt_group_control_t *control)
{
  return control->fence != 0 && has_open_round (control);
}

/* Returns true if an instance with more processor share has been listed long enough to take over.
 * If no instance took the lease when it was released, such an instance is listed but not active. */
static bool
is_better_instance_stable (const bt_group_control_t *control, int64_t now_ms)
{
  return control->better_since_ms != 0 && !control->handover_failed
         && now_ms - control->better_since_ms > control->options.handover_delay_ms;
}

/* Returns true if no round prevents a handover. A leaving leader also waits for groups whose state
 * is not known yet, no longer than it stays anyway. A leader that does not leave must not wait for
 * them: the state of a group that is gone for good never becomes known, and no other group would
 * get a round meanwhile. */
static bool
may_hand_over (const bt_group_control_t *control)
{
  if (control->leaving)
    return !has_open_round (control);
  for (const group_row_t *row = control->groups; row != NULL; row = row->next)
    if (bt_has_managed_group_orders (row->group))
      return false;
  return true;
}

/* Stops leading and releases the lease at once; called when no round prevents it. If the lease
 * expired instead, a group that this leader holds would stand still until the next leader takes
 * over. */
static void
hand_over (bt_group_control_t *control)
{
  stop_leading (control, control->leaving ? "This instance is shutting down."
                                          : "Another instance has more processor time.");
  control->better_since_ms = 0;
  control->handed_over = true;
  bt_set_lease_wanted (control->keeper, false, 0);
}

/* Returns until when this instance may lead. While the store does not answer, no other instance can
 * get the lease, and groups without a leader keep a map that does not fit after the next jump of
 * demand. If only this instance cannot reach the store and another one takes over, the agents know
 * the higher fencing number of that one and refuse this one's orders. */
static int64_t
get_lead_end_ms (const bt_group_control_t *control)
{
  if (control->leaving || !control->contended || control->lease_lost || control->suspended)
    return control->lease_end_ms;
  return control->lease_end_ms + control->options.past_lease_ms;
}

static void
record_run (bt_group_control_t *control, int64_t read_ms)
{
  if (read_ms - control->run_ms > MAX_PAUSE_MS)
    control->suspended = true;
  control->run_ms = read_ms;
}

static void
log_past_lease (bt_group_control_t *control, int64_t now_ms)
{
  if (control->past_lease || now_ms < control->lease_end_ms)
    return;
  control->past_lease = true;
  bt_set_gauge (control->leading, LEADING_PAST_LEASE);
  bt_log_event (control->ctx, BT_LOG_WARNING, "leading-past-lease", "{s:I, s:I}", "fence",
                (json_int_t)control->fence, "most_ms", (json_int_t)control->options.past_lease_ms);
}

void
bt_run_group_control (bt_group_control_t *control)
{
  int64_t now_ms = bt_get_loop_ms (control->loop);
  /* A process that was suspended resumes with outdated state, so the current time is read here. */
  int64_t read_ms = bt_now_ms (control->ctx);
  bool hands_over = control->leaving || is_better_instance_stable (control, now_ms);
  int64_t end_ms;
  bt_group_run_params_t params = { .now_ms = now_ms,
                                   .fence = control->fence,
                                   .plan_ms = control->options.plan_ms,
                                   .may_begin_rounds = !hands_over };

  if (control->fence == 0)
    return;
  record_run (control, read_ms);
  end_ms = get_lead_end_ms (control);
  params.hold_until_ms = end_ms - MIN_HOLD_LEASE_MS;
  if (read_ms >= end_ms)
    {
      stop_leading (control, "The lease was not renewed before it could expire.");
      return;
    }
  log_past_lease (control, read_ms);
  for (group_row_t *row = control->groups; row != NULL && control->fence != 0; row = row->next)
    if (!bt_run_managed_group (row->group, &params))
      stop_leading (control, "An engine reported a newer leader.");
  if (hands_over && control->fence != 0 && may_hand_over (control))
    hand_over (control);
  bt_set_timer (control->loop, &control->timer,
                now_ms + (has_open_round (control) ? ROUND_INTERVAL_MS : control->options.plan_ms));
}
