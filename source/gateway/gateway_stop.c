#include "bilberrytray/base/event_log.h"
#include "gateway_private.h"

enum
{
  STOP_CHECK_MS = 20,
};

/* An open round of a rank group counts as work: if its leader left it unfinished, the group would
 * be blocked until another instance leads it. */
static int32_t
count_open_work (const bt_gateway_t *gateway)
{
  bool round = gateway->groups != NULL && bt_is_group_round_open (gateway->groups);

  return bt_count_frontend_calls (gateway->caller_frontend) + (round ? 1 : 0);
}

static void
close_frontends (bt_gateway_t *gateway)
{
  bt_abort_forwards (gateway);
  bt_close_frontend (gateway->caller_frontend);
  bt_close_frontend (gateway->address_frontend);
  bt_close_frontend (gateway->ready_frontend);
}

/* Performs the actions of a phase of the stop when it is entered. */
static void
enter_phase (bt_gateway_t *gateway, bt_stop_phase_t phase)
{
  bt_log_event (gateway->ctx, BT_LOG_INFO, "stop-phase", "{s:s, s:i, s:i}", "phase",
                bt_name_stop_phase (phase), "requests", gateway->forwards, "calls",
                bt_count_frontend_calls (gateway->caller_frontend));
  switch (phase)
    {
    case BT_STOP_LINGERING:
      close_frontends (gateway);
      /* Not earlier: until now requests were sent, and none may go to an endpoint that leaves. */
      bt_end_store_watch (gateway->follower);
      break;
    case BT_STOP_DONE:
      bt_stop_event_loop (gateway->loop);
      break;
    default:
      break;
    }
}

static void
advance_stop (bt_timer_t *timer)
{
  bt_gateway_t *gateway = (bt_gateway_t *)((char *)timer - offsetof (bt_gateway_t, stop_timer));
  int64_t now_ms = bt_get_loop_ms (gateway->loop);
  bt_stop_phase_t before = gateway->stop.phase;
  bt_stop_phase_t phase = bt_advance_stop (&gateway->stop, count_open_work (gateway), now_ms);

  if (phase < BT_STOP_LINGERING)
    bt_refuse_late_forwards (gateway);
  if (phase != before)
    enter_phase (gateway, phase);
  if (phase != BT_STOP_DONE)
    bt_set_timer (gateway->loop, &gateway->stop_timer, now_ms + STOP_CHECK_MS);
}

static void
notify_peers (bt_gateway_t *gateway)
{
  bt_peer_identity_t self = {
    .links = gateway->settings->links,
    .incarnation = gateway->identity.incarnation,
    .failure_domain = gateway->settings->failure_domain,
    .secret = gateway->settings->secret,
  };

  if (gateway->view != NULL)
    gateway->notice = bt_new_leaving_notice (gateway->ctx, &self, gateway->view->entries,
                                             gateway->view->entry_count);
}

/* Starts to leave: the instance is no longer in the address answers and is not ready from now on.
 * Callers that hold an old address answer are still served, until the last of them has asked
 * again. */
static void
start_leaving (bt_task_t *task)
{
  bt_gateway_t *gateway = (bt_gateway_t *)((char *)task - offsetof (bt_gateway_t, stop_task));
  bt_stop_limits_t limits = {
    .address_life_ms = gateway->settings->address_life_ms,
    .drain_ms = gateway->settings->drain_ms,
  };

  if (gateway->leaving)
    return;
  gateway->leaving = true;
  bt_begin_stop (&gateway->stop, &limits, bt_get_loop_ms (gateway->loop));
  bt_log_event (gateway->ctx, BT_LOG_INFO, "leaving", "{s:i}", "requests", gateway->forwards);
  bt_set_frontend_leaving (gateway->caller_frontend, true);
  bt_set_follower_listed (gateway->follower, false);
  notify_peers (gateway);
  if (gateway->groups != NULL && gateway->view != NULL)
    bt_set_group_view (gateway->groups, gateway->view, true);
  gateway->stop_timer.on_expiry = advance_stop;
  advance_stop (&gateway->stop_timer);
}

void
bt_stop_gateway (bt_gateway_t *gateway)
{
  gateway->stop_task.run = start_leaving;
  if (!bt_post_task (gateway->loop, &gateway->stop_task))
    bt_log_event (gateway->ctx, BT_LOG_ERROR, "stop-failed", "{}");
}

/* The callers' sockets are closed before everything else that the gateway owns: the parts that are
 * dropped afterwards may wait for the store for a second or more, and a request sent meanwhile
 * would get no answer. */
void
bt_drop_gateway_frontends (bt_gateway_t *gateway)
{
  if (gateway->caller_frontend != NULL)
    bt_abort_forwards (gateway);
  bt_drop_frontend (gateway->ctx, gateway->caller_frontend);
  bt_drop_frontend (gateway->ctx, gateway->address_frontend);
  bt_drop_frontend (gateway->ctx, gateway->ready_frontend);
  gateway->caller_frontend = NULL;
  gateway->address_frontend = NULL;
  gateway->ready_frontend = NULL;
}
