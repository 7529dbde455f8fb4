#include "sidecar.h"

#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/address.h"
#include "bilberrytray/base/condition.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/random.h"
#include "sidecar_private.h"

enum
{
  MS_PER_S = 1000,
  LINK_HANDSHAKE_TIMEOUT_MS = 2000,
  MAX_FRAME_BYTES = 1 << 20,
  MAX_UNSENT_BYTES = 1 << 20,
};

/** A queued order. */
struct bt_sidecar_order
{
  bt_link_t *link;
  bt_group_order_t order;
  char engine[BT_ADDRESS_BYTES]; /* the target engine; "" for the engine beside this agent */
  bt_expert_map_t *map;
  bt_sidecar_order_t *next;
};

static bt_sidecar_link_t *
find_link (bt_sidecar_t *sidecar, const bt_link_t *link)
{
  for (bt_sidecar_link_t *peer = sidecar->links; peer != NULL; peer = peer->next)
    if (peer->link == link)
      return peer;
  return NULL;
}

static void
on_link_up (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_sidecar_t *sidecar = (bt_sidecar_t *)handler;
  bt_sidecar_link_t *peer = bt_calloc (sidecar->ctx, 1, sizeof *peer);

  peer->link = bt_keep_link (link);
  pthread_mutex_lock (&sidecar->lock);
  peer->next = sidecar->links;
  sidecar->links = peer;
  sidecar->next_report_ms = 0;
  pthread_cond_signal (&sidecar->wakeup);
  pthread_mutex_unlock (&sidecar->lock);
  bt_add_counter (sidecar->metrics.links, 1);
  bt_log_event (sidecar->ctx, BT_LOG_INFO, "link-up", "{s:s}", "peer", bt_get_link_instance (link));
}

static void
on_link_down (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_sidecar_t *sidecar = (bt_sidecar_t *)handler;

  pthread_mutex_lock (&sidecar->lock);
  for (bt_sidecar_link_t **at = &sidecar->links; *at != NULL; at = &(*at)->next)
    if ((*at)->link == link)
      {
        bt_sidecar_link_t *peer = *at;

        *at = peer->next;
        bt_remove_sidecar_room_link (sidecar, link);
        bt_add_counter (sidecar->metrics.links, -1);
        bt_drop_link (sidecar->ctx, peer->link);
        bt_clear_reported_picks (sidecar->ctx, &peer->reported);
        bt_free (sidecar->ctx, peer);
        break;
      }
  pthread_mutex_unlock (&sidecar->lock);
  bt_log_event (sidecar->ctx, BT_LOG_INFO, "link-down", "{s:s}", "peer",
                bt_get_link_instance (link));
}

/* Returns true for "", which stands for the engine beside this agent, and for an address that an
 * order can be sent to as it is. */
static bool
is_order_target (const char *engine)
{
  return engine[0] == '\0' || (strlen (engine) < BT_ADDRESS_BYTES && bt_is_peer_address (engine));
}

static void
handle_order (bt_sidecar_t *sidecar, bt_link_t *link, const Bilberry__EngineOrder *message)
{
  bt_sidecar_order_t *queued = bt_calloc (sidecar->ctx, 1, sizeof *queued);
  bt_error_t error = { 0 };
  bool valid = bt_read_engine_order (message, &queued->order);

  if (valid && !is_order_target (message->engine))
    valid = bt_set_error (&error, BT_ERROR_FORMAT, "The engine's address is not valid.");
  if (valid && queued->order.kind == BT_GROUP_PREPARE)
    {
      queued->map = bt_decode_expert_map (sidecar->ctx, message->map.data,
                                          (uint32_t)message->map.len, &error);
      valid = queued->map != NULL;
    }
  if (!valid)
    {
      bt_log_event (sidecar->ctx, BT_LOG_WARNING, "order-unreadable", "{s:s, s:s}", "peer",
                    bt_get_link_instance (link), "message", error.message);
      bt_free (sidecar->ctx, queued);
      return;
    }
  queued->link = bt_keep_link (link);
  snprintf (queued->engine, sizeof queued->engine, "%s", message->engine);
  pthread_mutex_lock (&sidecar->lock);
  *sidecar->last_order = queued;
  sidecar->last_order = &queued->next;
  pthread_cond_signal (&sidecar->wakeup);
  pthread_mutex_unlock (&sidecar->lock);
}

static void
handle_follow (bt_sidecar_t *sidecar, bt_link_t *link, const Bilberry__EngineFollow *message)
{
  bt_sidecar_link_t *peer;

  pthread_mutex_lock (&sidecar->lock);
  peer = find_link (sidecar, link);
  /* From here on the orders of earlier leaders are refused, which may still send some. */
  if (message->fence > sidecar->max_fence)
    sidecar->max_fence = message->fence;
  if (peer != NULL)
    {
      peer->leads_group = message->fence != 0;
      bt_request_picks (&peer->picks_schedule, peer->leads_group, (int32_t)message->picks_every);
      peer->wants_places = peer->wants_places || message->places;
      peer->next_ms = 0;
      sidecar->next_report_ms = 0;
      pthread_cond_signal (&sidecar->wakeup);
    }
  pthread_mutex_unlock (&sidecar->lock);
}

static void
on_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  bt_sidecar_t *sidecar = (bt_sidecar_t *)handler;

  if (frame->body_case == BILBERRY__FRAME__BODY_ENGINE_ORDER)
    handle_order (sidecar, link, frame->engine_order);
  else if (frame->body_case == BILBERRY__FRAME__BODY_ENGINE_FOLLOW)
    handle_follow (sidecar, link, frame->engine_follow);
  else if (frame->body_case == BILBERRY__FRAME__BODY_ROOM_ASK
           || frame->body_case == BILBERRY__FRAME__BODY_ROOM_USE)
    bt_handle_room_frame (sidecar, link, frame);
}

static void
on_heartbeat_due (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_sidecar_t *sidecar = (bt_sidecar_t *)handler;
  Bilberry__Heartbeat heartbeat = BILBERRY__HEARTBEAT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  /* The main loop may be waiting for an answer of the engine. */
  pthread_mutex_lock (&sidecar->lock);
  bt_advance_sidecar_room (sidecar);
  pthread_mutex_unlock (&sidecar->lock);
  heartbeat.now_ms = bt_now_ms (sidecar->ctx);
  frame.body_case = BILBERRY__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  bt_send_frame (sidecar->ctx, link, &frame);
}

static const bt_link_handler_vtable_t handler_vtable = { on_link_up, on_frame, on_link_down,
                                                         on_heartbeat_due };

/* Returns true when an order is based on the report of another incarnation of the engine beside
 * this agent. The order count does not detect this, because it repeats after a restart. If the
 * engine did not answer the last call, its start time is read first; if that fails, returns true as
 * well. */
static bool
is_for_other_incarnation (bt_sidecar_t *sidecar, const bt_sidecar_order_t *queued)
{
  bt_engine_report_t report;

  if (queued->engine[0] != '\0' || queued->order.started_ms == 0)
    return false;
  if (sidecar->engine_lost && !bt_read_sidecar_engine_state (sidecar, &report))
    return true;
  return bt_is_different_engine_incarnation (sidecar->engine_started_ms, queued->order.started_ms);
}

/* Returns false if a later leader is known than the one that sent an order. */
static bool
accept_fence (bt_sidecar_t *sidecar, uint64_t fence)
{
  bool accepted;

  pthread_mutex_lock (&sidecar->lock);
  accepted = fence >= sidecar->max_fence;
  if (accepted)
    sidecar->max_fence = fence;
  pthread_mutex_unlock (&sidecar->lock);
  return accepted;
}

/* Executes one order. An older leader's order is refused here too, because not every engine checks
 * the fencing number. If the engine's state can't be read afterwards, the order's effect is not
 * known and no result is sent; the leader asks again. */
static void
execute_order (bt_sidecar_t *sidecar, const bt_sidecar_order_t *queued)
{
  const bt_group_order_t *order = &queued->order;
  bt_order_result_t result = BT_ORDER_FENCED;
  bt_engine_report_t report;
  int64_t start_ms = bt_now_ms (sidecar->ctx);
  int32_t status = 0;

  if (is_for_other_incarnation (sidecar, queued))
    result = BT_ORDER_REFUSED;
  else if (accept_fence (sidecar, order->fence))
    {
      result = bt_send_engine_order (sidecar->ctx, sidecar->engine, queued->engine, order,
                                     queued->map, &status);
      bt_record_duration (sidecar->metrics.orders[order->kind],
                          bt_now_ms (sidecar->ctx) - start_ms);
    }
  bt_count_sidecar_answer (&sidecar->metrics, order->kind, result);
  bt_log_event (sidecar->ctx, BT_LOG_INFO, "order", "{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:i, s:i}",
                "kind", bt_name_group_order (order->kind), "engine", queued->engine, "version",
                (json_int_t)order->version, "step", (json_int_t)order->step, "fence",
                (json_int_t)order->fence, "epoch", (json_int_t)order->epoch, "sequence",
                (json_int_t)order->sequence, "status", status, "result", (int)result);
  if (bt_read_sidecar_engine_state (sidecar, &report))
    bt_send_sidecar_result (sidecar, queued->link, order->id, result, status, &report);
}

static void
drop_order (bt_sidecar_t *sidecar, bt_sidecar_order_t *queued)
{
  bt_drop_link (sidecar->ctx, queued->link);
  bt_drop_expert_map (sidecar->ctx, queued->map);
  bt_free (sidecar->ctx, queued);
}

static void
wait_for_work (bt_sidecar_t *sidecar)
{
  const int64_t now_ms = bt_now_ms (sidecar->ctx);
  int64_t until_ms = sidecar->links == NULL ? now_ms + MS_PER_S : sidecar->next_report_ms;

  if (sidecar->room.wake_ms < until_ms)
    until_ms = sidecar->room.wake_ms;
  if (until_ms <= now_ms)
    return;
  sidecar->waiting_until_ms = until_ms;
  bt_wait_condition (&sidecar->wakeup, &sidecar->lock, until_ms - now_ms);
  sidecar->waiting_until_ms = 0;
}

/* Returns true if a report is due, and schedules the next one. */
static bool
take_report_turn (bt_sidecar_t *sidecar)
{
  const int64_t now_ms = bt_now_ms (sidecar->ctx);

  if (sidecar->links == NULL || now_ms < sidecar->next_report_ms)
    return false;
  sidecar->next_report_ms = now_ms + sidecar->settings->report_ms;
  return true;
}

static bt_sidecar_order_t *
pop_order (bt_sidecar_t *sidecar)
{
  bt_sidecar_order_t *queued = sidecar->first_order;

  if (queued == NULL)
    return NULL;
  sidecar->first_order = queued->next;
  if (sidecar->first_order == NULL)
    sidecar->last_order = &sidecar->first_order;
  return queued;
}

void
bt_run_sidecar (bt_sidecar_t *sidecar)
{
  while (true)
    {
      bt_sidecar_order_t *queued;
      bool report_due;
      bool stopping;

      pthread_mutex_lock (&sidecar->lock);
      if (sidecar->first_order == NULL && !sidecar->stopping)
        wait_for_work (sidecar);
      bt_advance_sidecar_room (sidecar);
      queued = pop_order (sidecar);
      report_due = queued == NULL && take_report_turn (sidecar);
      stopping = sidecar->stopping;
      pthread_mutex_unlock (&sidecar->lock);
      if (stopping)
        {
          if (queued != NULL)
            drop_order (sidecar, queued);
          return;
        }
      if (queued != NULL)
        {
          execute_order (sidecar, queued);
          drop_order (sidecar, queued);
        }
      else if (report_due)
        bt_send_sidecar_reports (sidecar);
    }
}

bt_sidecar_t *
bt_new_sidecar (bt_context_t *ctx,
                const bt_engine_platform_t *platform,
                const bt_sidecar_settings_t *settings,
                bt_error_t *error)
{
  bt_sidecar_t *sidecar = bt_calloc (ctx, 1, sizeof *sidecar);
  bt_link_options_t options = {
    .role = "agent",
    .instance = settings->listen,
    .failure_domain = settings->failure_domain,
    .address = settings->listen,
    .secret = settings->secret,
    .heartbeat_interval_ms = settings->beat_ms,
    .idle_ms = settings->link_idle_ms,
    .handshake_timeout_ms = LINK_HANDSHAKE_TIMEOUT_MS,
    .max_frame_bytes = MAX_FRAME_BYTES,
    .max_unsent_bytes = MAX_UNSENT_BYTES,
    .max_links = (int32_t)settings->max_links,
    .handler = &sidecar->handler,
  };

  sidecar->ctx = ctx;
  sidecar->settings = settings;
  sidecar->handler.vtable = &handler_vtable;
  sidecar->last_order = &sidecar->first_order;
  sidecar->room.started_ms = bt_now_ms (ctx);
  sidecar->room.wake_ms = INT64_MAX;
  pthread_mutex_init (&sidecar->lock, NULL);
  bt_init_condition (&sidecar->wakeup);
  bt_open_sidecar_metrics (ctx, &sidecar->metrics);
  bt_fill_secure_random (&options.incarnation, sizeof options.incarnation);
  sidecar->engine = bt_new_engine_client (ctx, platform, settings->engine, settings->call_ms,
                                          &sidecar->cancelled);
  sidecar->links_loop = bt_new_link_loop (ctx, &options, error);
  if (sidecar->links_loop != NULL
      && bt_listen_links (ctx, sidecar->links_loop, settings->listen, error) >= 0)
    return sidecar;
  bt_drop_sidecar (ctx, sidecar);
  return NULL;
}

void
bt_stop_sidecar (bt_sidecar_t *sidecar)
{
  pthread_mutex_lock (&sidecar->lock);
  sidecar->stopping = true;
  pthread_cond_signal (&sidecar->wakeup);
  pthread_mutex_unlock (&sidecar->lock);
}

void
bt_drop_sidecar (bt_context_t *ctx, bt_sidecar_t *sidecar)
{
  if (sidecar == NULL)
    return;
  bt_drop_link_loop (ctx, sidecar->links_loop);
  for (bt_sidecar_order_t *queued; (queued = pop_order (sidecar)) != NULL;)
    drop_order (sidecar, queued);
  bt_drop_engine_client (ctx, sidecar->engine);
  bt_drop_room_ledger (ctx, sidecar->room.ledger);
  bt_close_sidecar_metrics (ctx, &sidecar->metrics);
  pthread_cond_destroy (&sidecar->wakeup);
  pthread_mutex_destroy (&sidecar->lock);
  bt_free (ctx, sidecar);
}
