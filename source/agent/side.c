#include "side.h"

#include <stdio.h>

#include "bilberrytray/base/condition.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/random.h"
#include "side_private.h"

enum
{
  MS_PER_S = 1000,
  OPENING_MS = 2000,
  MAX_FRAME_BYTES = 1 << 20,
  MAX_UNSENT_BYTES = 1 << 20,
};

/** An order that waits for its turn. */
struct bt_side_order
{
  bt_link_t *link;
  bt_group_order_t order;
  char engine[BT_ADDRESS_BYTES]; /* that it is for; "" for the one beside this agent */
  bt_expert_map_t *map;
  bt_side_order_t *next;
};

static bt_side_link_t *
find_link (bt_side_t *side, const bt_link_t *link)
{
  for (bt_side_link_t *row = side->links; row != NULL; row = row->next)
    if (row->link == link)
      return row;
  return NULL;
}

static void
take_link_up (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_side_t *side = (bt_side_t *)handler;
  bt_side_link_t *row = bt_calloc (side->ctx, 1, sizeof *row);

  row->link = bt_keep_link (link);
  pthread_mutex_lock (&side->lock);
  row->next = side->links;
  side->links = row;
  side->next_report_ms = 0;
  pthread_cond_signal (&side->changed);
  pthread_mutex_unlock (&side->lock);
  bt_add_counter (side->figures.links, 1);
  bt_log_event (side->ctx, BT_LOG_INFO, "link-up", "{s:s}", "peer", bt_get_link_instance (link));
}

static void
take_link_down (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_side_t *side = (bt_side_t *)handler;

  pthread_mutex_lock (&side->lock);
  for (bt_side_link_t **at = &side->links; *at != NULL; at = &(*at)->next)
    if ((*at)->link == link)
      {
        bt_side_link_t *row = *at;

        *at = row->next;
        bt_add_counter (side->figures.links, -1);
        bt_drop_link (side->ctx, row->link);
        bt_clear_told_picks (side->ctx, &row->told);
        bt_free (side->ctx, row);
        break;
      }
  pthread_mutex_unlock (&side->lock);
  bt_log_event (side->ctx, BT_LOG_INFO, "link-down", "{s:s}", "peer", bt_get_link_instance (link));
}

static void
take_order (bt_side_t *side, bt_link_t *link, const Bilberry__EngineOrder *message)
{
  bt_side_order_t *waiting = bt_calloc (side->ctx, 1, sizeof *waiting);
  bt_error_t error = { 0 };
  bool good = bt_read_engine_order (message, &waiting->order);

  if (good && waiting->order.kind == BT_GROUP_PREPARE)
    {
      waiting->map =
          bt_decode_expert_map (side->ctx, message->map.data, (uint32_t)message->map.len, &error);
      good = waiting->map != NULL;
    }
  if (!good)
    {
      bt_log_event (side->ctx, BT_LOG_WARNING, "order-unreadable", "{s:s, s:s}", "peer",
                    bt_get_link_instance (link), "message", error.message);
      bt_free (side->ctx, waiting);
      return;
    }
  waiting->link = bt_keep_link (link);
  snprintf (waiting->engine, sizeof waiting->engine, "%s", message->engine);
  pthread_mutex_lock (&side->lock);
  *side->last_order = waiting;
  side->last_order = &waiting->next;
  pthread_cond_signal (&side->changed);
  pthread_mutex_unlock (&side->lock);
}

static void
take_follow (bt_side_t *side, bt_link_t *link, const Bilberry__EngineFollow *message)
{
  bt_side_link_t *row;

  pthread_mutex_lock (&side->lock);
  row = find_link (side, link);
  if (row != NULL)
    {
      row->follows = message->fence != 0;
      bt_want_picks (&row->picks, row->follows, (int32_t)message->picks_every);
      row->wants_places = row->wants_places || message->places;
      row->next_ms = 0;
      side->next_report_ms = 0;
      pthread_cond_signal (&side->changed);
    }
  pthread_mutex_unlock (&side->lock);
}

static void
take_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  bt_side_t *side = (bt_side_t *)handler;

  if (frame->body_case == BILBERRY__FRAME__BODY_ENGINE_ORDER)
    take_order (side, link, frame->engine_order);
  else if (frame->body_case == BILBERRY__FRAME__BODY_ENGINE_FOLLOW)
    take_follow (side, link, frame->engine_follow);
}

static void
send_beat (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_side_t *side = (bt_side_t *)handler;
  Bilberry__Heartbeat beat = BILBERRY__HEARTBEAT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  beat.now_ms = bt_now_ms (side->ctx);
  frame.body_case = BILBERRY__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &beat;
  bt_send_frame (side->ctx, link, &frame);
}

static const bt_link_handler_vtable_t handler_vtable = { take_link_up, take_frame, take_link_down,
                                                         send_beat };

/* True when an order rests on the report of another start of the engine beside this agent. The
 * count of orders is no guard then, for it comes again. An engine that was lost is asked first. */
static bool
is_for_other_start (bt_side_t *side, const bt_side_order_t *waiting)
{
  bt_engine_report_t report;

  if (waiting->engine[0] != '\0' || waiting->order.started_ms == 0)
    return false;
  if (side->lost && !bt_read_side_state (side, &report))
    return true;
  return bt_is_other_engine_start (side->started_ms, waiting->order.started_ms);
}

/* Carries out one order. An older leader's is refused here too: not every engine checks. Without a
 * report behind the order its effect is not known, and the leader asks again. */
static void
carry_out (bt_side_t *side, const bt_side_order_t *waiting)
{
  const bt_group_order_t *order = &waiting->order;
  bt_order_result_t result = BT_ORDER_FENCED;
  bt_engine_report_t report;
  int64_t began_ms = bt_now_ms (side->ctx);
  int32_t status = 0;

  if (is_for_other_start (side, waiting))
    result = BT_ORDER_REFUSED;
  else if (order->fence >= side->fence)
    {
      side->fence = order->fence;
      result =
          bt_order_engine (side->ctx, side->engine, waiting->engine, order, waiting->map, &status);
      bt_record_duration (side->figures.orders[order->kind], bt_now_ms (side->ctx) - began_ms);
    }
  bt_count_side_answer (&side->figures, order->kind, result);
  bt_log_event (side->ctx, BT_LOG_INFO, "order", "{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:i, s:i}",
                "kind", bt_name_group_order (order->kind), "engine", waiting->engine, "version",
                (json_int_t)order->version, "step", (json_int_t)order->step, "fence",
                (json_int_t)order->fence, "epoch", (json_int_t)order->epoch, "sequence",
                (json_int_t)order->sequence, "status", status, "result", (int)result);
  if (bt_read_side_state (side, &report))
    bt_send_side_result (side, waiting->link, order->id, result, status, &report);
}

static void
drop_order (bt_side_t *side, bt_side_order_t *waiting)
{
  bt_drop_link (side->ctx, waiting->link);
  bt_drop_expert_map (side->ctx, waiting->map);
  bt_free (side->ctx, waiting);
}

static void
wait_for_work (bt_side_t *side)
{
  int64_t wait_ms = side->next_report_ms - bt_now_ms (side->ctx);

  if (side->links == NULL)
    wait_ms = MS_PER_S;
  if (wait_ms > 0)
    bt_wait_condition (&side->changed, &side->lock, wait_ms);
}

static bt_side_order_t *
take_next_order (bt_side_t *side)
{
  bt_side_order_t *waiting = side->first_order;

  if (waiting == NULL)
    return NULL;
  side->first_order = waiting->next;
  if (side->first_order == NULL)
    side->last_order = &side->first_order;
  return waiting;
}

void
bt_run_side (bt_side_t *side)
{
  while (true)
    {
      bt_side_order_t *waiting;
      bool linked;
      bool stopping;

      pthread_mutex_lock (&side->lock);
      if (side->first_order == NULL && !side->stopping)
        wait_for_work (side);
      waiting = take_next_order (side);
      linked = side->links != NULL;
      stopping = side->stopping;
      pthread_mutex_unlock (&side->lock);
      if (stopping)
        {
          if (waiting != NULL)
            drop_order (side, waiting);
          return;
        }
      if (waiting != NULL)
        {
          carry_out (side, waiting);
          drop_order (side, waiting);
        }
      else if (linked && bt_now_ms (side->ctx) >= side->next_report_ms)
        {
          side->next_report_ms = bt_now_ms (side->ctx) + side->settings->report_ms;
          bt_report_side_to_all (side);
        }
    }
}

bt_side_t *
bt_new_side (bt_context_t *ctx,
             const bt_engine_platform_t *platform,
             const bt_side_settings_t *settings,
             bt_error_t *error)
{
  bt_side_t *side = bt_calloc (ctx, 1, sizeof *side);
  bt_link_options_t options = {
    .role = "agent",
    .instance = settings->listen,
    .failure_domain = settings->failure_domain,
    .address = settings->listen,
    .secret = settings->secret,
    .beat_ms = settings->beat_ms,
    .idle_ms = settings->link_idle_ms,
    .opening_ms = OPENING_MS,
    .max_frame_bytes = MAX_FRAME_BYTES,
    .max_unsent_bytes = MAX_UNSENT_BYTES,
    .max_links = (int32_t)settings->max_links,
    .handler = &side->handler,
  };

  side->ctx = ctx;
  side->settings = settings;
  side->handler.vtable = &handler_vtable;
  side->last_order = &side->first_order;
  pthread_mutex_init (&side->lock, NULL);
  bt_init_condition (&side->changed);
  bt_open_side_figures (ctx, &side->figures);
  bt_fill_secure_random (&options.incarnation, sizeof options.incarnation);
  side->engine =
      bt_new_engine_client (ctx, platform, settings->engine, settings->call_ms, &side->cancelled);
  side->links_loop = bt_new_link_loop (ctx, &options, error);
  if (side->links_loop != NULL
      && bt_listen_links (ctx, side->links_loop, settings->listen, error) >= 0)
    return side;
  bt_drop_side (ctx, side);
  return NULL;
}

void
bt_stop_side (bt_side_t *side)
{
  pthread_mutex_lock (&side->lock);
  side->stopping = true;
  pthread_cond_signal (&side->changed);
  pthread_mutex_unlock (&side->lock);
}

void
bt_drop_side (bt_context_t *ctx, bt_side_t *side)
{
  if (side == NULL)
    return;
  bt_drop_link_loop (ctx, side->links_loop);
  for (bt_side_order_t *waiting; (waiting = take_next_order (side)) != NULL;)
    drop_order (side, waiting);
  bt_drop_engine_client (ctx, side->engine);
  bt_close_side_figures (ctx, &side->figures);
  pthread_cond_destroy (&side->changed);
  pthread_mutex_destroy (&side->lock);
  bt_free (ctx, side);
}
