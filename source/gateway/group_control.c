#include "group_control.h"

#include <stddef.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/limit.h"
#include "led_group.h"

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
  /* While a round is under way the group is looked at this often. */
  ROUND_LOOK_MS = 20,
  /* Each later instance waits longer for its turn to lead, so that they do not race. */
  TURN_MS = 250,
  FIRST_TURN_MS = 100,
};

/* A leader hands over to an instance with so many times its processor share. Planning takes many
 * milliseconds at once, and in them its own callers wait. */
static const double much_room = 1.5;

static const char *const lease_prefix = "bilberrytray/maps/";
static const char *const lease_name = "groups";

/** A group in the list of all. */
typedef struct group_row
{
  bt_led_group_t *group;
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
  uint64_t fence;       /* 0: not leading */
  uint64_t lease_fence; /* of the lease that was granted last */
  int64_t lease_end_ms;
  bool leaving;
  bool handed_over;   /* the lease that was granted last is on its way back */
  bool unrelieved;    /* it was handed over, and nobody else took it */
  int64_t outdone_ms; /* since when an instance with more room is listed; 0: none is */
  group_row_t *groups;
  bt_timer_t timer;
};

static void
start_leading (bt_group_control_t *control, uint64_t fence)
{
  control->fence = fence;
  bt_log_event (control->ctx, BT_LOG_INFO, "leading", "{s:I}", "fence", (json_int_t)fence);
  for (group_row_t *row = control->groups; row != NULL; row = row->next)
    bt_begin_leading_group (row->group, fence);
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
  for (group_row_t *row = control->groups; row != NULL; row = row->next)
    bt_end_leading_group (row->group);
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
      group_row_t *row = control->groups;

      control->groups = row->next;
      bt_drop_led_group (ctx, row->group);
      bt_free (ctx, row);
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
    {
      control->handed_over = false;
      control->unrelieved = false;
    }
  if (!outdone)
    control->outdone_ms = 0;
  else if (control->outdone_ms == 0)
    control->outdone_ms = bt_now_ms (control->ctx);
  bt_want_lease (control->keeper,
                 leaving ? control->fence != 0
                         : view->leader[0] == '\0' || (own && !control->handed_over),
                 FIRST_TURN_MS + turn * TURN_MS);
}

static bt_led_group_t *
find_group (bt_group_control_t *control,
            const bt_engine_t *engine,
            const bt_engine_report_t *report)
{
  bt_led_group_t *group;
  group_row_t *row;

  for (row = control->groups; row != NULL; row = row->next)
    if (bt_is_report_of_group (row->group, report))
      return row->group;
  group = bt_new_led_group (control->ctx, control->links, engine, report);
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
bt_take_group_news (bt_group_control_t *control,
                    const bt_engine_t *engine,
                    const bt_agent_news_t *news,
                    int32_t pass_limit)
{
  const bt_engine_report_t *report = &news->report;
  bt_led_group_t *group;

  if (report->group[0] == '\0' || report->ranks < 1 || report->rank < 0
      || report->rank >= report->ranks || engine->expert_sets == 0)
    return;
  group = find_group (control, engine, report);
  if (group != NULL)
    bt_take_led_group_news (group, news, pass_limit, bt_get_loop_ms (control->loop));
  else
    bt_note_limit (control->ctx, "group", BT_MAX_RANKS, report->group,
                   "Its ranks or experts are more than a map can have; its map stays as it is.");
}

static bool
is_any_round (const bt_group_control_t *control)
{
  for (const group_row_t *row = control->groups; row != NULL; row = row->next)
    if (bt_is_led_round_open (row->group))
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

/* True when no round is in the way of handing over. One that leaves waits for a group that is just
 * being looked at, as long as it stays anyway. Another must not: a group that has gone for good is
 * looked at for ever, and no other group would get a round meanwhile. */
static bool
may_hand_over (const bt_group_control_t *control)
{
  if (control->leaving)
    return !is_any_round (control);
  for (const group_row_t *row = control->groups; row != NULL; row = row->next)
    if (bt_has_led_group_orders (row->group))
      return false;
  return true;
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
  bool hands_over = control->leaving || is_outdone (control, now_ms);
  bt_led_turn_t turn = { .now_ms = now_ms,
                         .fence = control->fence,
                         .hold_until_ms = control->lease_end_ms - LEAST_LEASE_MS,
                         .plan_ms = control->options.plan_ms,
                         .begins_rounds = !hands_over };

  if (control->fence == 0)
    return;
  /* A process that stood still goes on with what it believed before. */
  if (bt_now_ms (control->ctx) >= control->lease_end_ms)
    {
      stop_leading (control, "The lease was not renewed in time.");
      return;
    }
  for (group_row_t *row = control->groups; row != NULL && control->fence != 0; row = row->next)
    if (!bt_run_led_group (row->group, &turn))
      stop_leading (control, "An engine has seen a newer leader.");
  if (hands_over && control->fence != 0 && may_hand_over (control))
    hand_over (control);
  bt_set_timer (control->loop, &control->timer,
                now_ms + (is_any_round (control) ? ROUND_LOOK_MS : control->options.plan_ms));
}
