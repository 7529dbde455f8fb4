#include "agent_links.h"

#include <ck_pr.h>
#include <pthread.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/name_index.h"
#include "bilberrytray/wire/link.h"

enum
{
  HEARTBEAT_INTERVAL_MS = 500,
  IDLE_MS = 1600,
  HANDSHAKE_TIMEOUT_MS = 1000,
  REDIAL_MS = 400,
  MAX_FRAME_BYTES = 1 << 20,
  MAX_UNSENT_BYTES = 1 << 20,
  MAX_LINKS = 1024,
  /* Events of reservations that the loop has not collected; further answers are dropped, and their
   * grants expire. */
  MAX_ROOM_EVENTS = 4096,
  /* Greatest numbers of an ask. */
  MAX_ASK_TOKENS = 1 << 24,
  MAX_ASK_READ_US = 600000000,
  MAX_ASK_SLOTS = 1 << 16,
  MAX_ASK_SHARE = 1000000,
  /* Number of ranks whose picks a leader processes during one report interval of a rank. */
  RANKS_PER_REPORT_INTERVAL = 48,
};

/** An agent and what it has reported since the event loop last collected updates. */
typedef struct agent_row
{
  char endpoint[BT_ADDRESS_BYTES];
  char agent[BT_ADDRESS_BYTES];
  bool listed;   /* its endpoint is in the current view */
  bool selected; /* this instance sends requests to its endpoint */
  bt_link_t *link;
  bool up;
  bool updated; /* reported since updates were last collected */
  bt_pending_update_t pending;
  struct agent_row *next_updated;
  struct agent_row *next;
} agent_row_t;

struct bt_agent_links
{
  bt_link_handler_t handler; /* must be first: callbacks cast it to bt_agent_links_t */
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  int32_t port;
  bt_link_loop_t *link_loop;
  bt_timer_t redial_timer;
  uint64_t fence;
  /* Lock order: acquired before any call into a link. */
  pthread_mutex_t lock; /* guards the rows */
  agent_row_t *rows;
  agent_row_t *updated;   /* list of the rows with an update, the latest first */
  bt_name_index_t *index; /* of the rows by endpoint */
  bt_room_event_t *room_events;
  int32_t room_event_count;
  int32_t room_event_capacity;
};

/** A task that only wakes the event loop, which collects updates in every iteration. */
typedef struct wake_task
{
  bt_task_t task;
  bt_context_t *ctx;
} wake_task_t;

static void
run_wake (bt_task_t *task)
{
  bt_free (((wake_task_t *)task)->ctx, task);
}

static void
wake_loop (bt_agent_links_t *links)
{
  wake_task_t *wake = bt_calloc (links->ctx, 1, sizeof *wake);

  wake->task.run = run_wake;
  wake->task.drop = run_wake;
  wake->ctx = links->ctx;
  /* The task queue is full, so the loop is about to run anyway. */
  if (!bt_post_task (links->loop, &wake->task))
    bt_free (links->ctx, wake);
}

static agent_row_t *
find_row (bt_agent_links_t *links, const char *endpoint)
{
  return bt_find_name (links->index, endpoint);
}

int32_t
bt_get_picks_interval (int32_t ranks)
{
  return ranks <= RANKS_PER_REPORT_INTERVAL
             ? 1
             : (ranks + RANKS_PER_REPORT_INTERVAL - 1) / RANKS_PER_REPORT_INTERVAL;
}

static void
send_follow (bt_agent_links_t *links, agent_row_t *row, bool places)
{
  Bilberry__EngineFollow follow = BILBERRY__ENGINE_FOLLOW__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  if (!row->up)
    return;
  follow.fence = links->fence;
  follow.places = places;
  follow.picks_every = (uint32_t)bt_get_picks_interval (row->pending.report.ranks);
  frame.body_case = BILBERRY__FRAME__BODY_ENGINE_FOLLOW;
  frame.engine_follow = &follow;
  bt_send_frame (links->ctx, row->link, &frame);
}

/* Adds an event of reservations. Returns true if the loop has to be woken: it has collected all
 * events before this one. */
static bool
add_room_event (bt_agent_links_t *links, const agent_row_t *row, const bt_room_event_t *event)
{
  bt_room_event_t *added;

  if (event->kind == BT_ROOM_REPLIED && links->room_event_count >= MAX_ROOM_EVENTS)
    return false;
  if (links->room_event_count == links->room_event_capacity)
    {
      links->room_event_capacity = 2 * links->room_event_capacity + 1;
      links->room_events = bt_realloc (links->ctx, links->room_events,
                                       (size_t)links->room_event_capacity, sizeof *added);
    }
  added = &links->room_events[links->room_event_count++];
  *added = *event;
  snprintf (added->endpoint, sizeof added->endpoint, "%s", row->endpoint);
  return links->room_event_count == 1;
}

static bool
add_room_reply (bt_agent_links_t *links, const agent_row_t *row, const Bilberry__RoomReply *reply)
{
  const bt_room_event_t event = {
    .kind = BT_ROOM_REPLIED,
    .reply = { .id = reply->id,
               .verdict = (bt_asker_verdict_t)reply->verdict,
               .load = reply->load < INT32_MAX ? (int32_t)reply->load : INT32_MAX,
               .received_ms = bt_now_ms (links->ctx) },
  };

  return add_room_event (links, row, &event);
}

static void
handle_link_up (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_agent_links_t *links = (bt_agent_links_t *)handler;
  const bt_room_event_t event = { .kind = BT_ROOM_LINK_UP };
  agent_row_t *row;
  bool wake = false;

  pthread_mutex_lock (&links->lock);
  row = bt_get_link_data (link);
  if (row != NULL)
    {
      row->up = true;
      wake = add_room_event (links, row, &event);
      if (links->fence != 0)
        send_follow (links, row, true);
    }
  pthread_mutex_unlock (&links->lock);
  if (wake)
    wake_loop (links);
  bt_log_event (links->ctx, BT_LOG_INFO, "agent-linked", "{s:s}", "agent",
                bt_get_link_instance (link));
}

static void
handle_link_down (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_agent_links_t *links = (bt_agent_links_t *)handler;
  const bt_room_event_t event = { .kind = BT_ROOM_LINK_DOWN };
  agent_row_t *row;
  bool wake = false;

  pthread_mutex_lock (&links->lock);
  row = bt_get_link_data (link);
  if (row != NULL)
    {
      row->up = false;
      wake = add_room_event (links, row, &event);
    }
  pthread_mutex_unlock (&links->lock);
  if (wake)
    wake_loop (links);
  bt_log_event (links->ctx, BT_LOG_INFO, "agent-lost", "{s:s}", "agent",
                bt_get_link_instance (link));
}

static void
store_report (bt_agent_links_t *links, agent_row_t *row, const Bilberry__EngineReport *message)
{
  if (!row->updated)
    {
      row->next_updated = links->updated;
      links->updated = row;
    }
  row->updated = true;
  bt_add_pending_report (links->ctx, &row->pending, message);
}

static void
handle_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  bt_agent_links_t *links = (bt_agent_links_t *)handler;
  bool result = frame->body_case == BILBERRY__FRAME__BODY_ENGINE_RESULT;
  agent_row_t *row;
  bool leading;
  bool wake = false;

  pthread_mutex_lock (&links->lock);
  row = bt_get_link_data (link);
  if (row != NULL && frame->body_case == BILBERRY__FRAME__BODY_ENGINE_REPORT)
    store_report (links, row, frame->engine_report);
  if (row != NULL && result && frame->engine_result->report != NULL)
    {
      store_report (links, row, frame->engine_result->report);
      bt_set_pending_result (&row->pending, frame->engine_result);
    }
  if (row != NULL && frame->body_case == BILBERRY__FRAME__BODY_ROOM_REPLY)
    wake = add_room_reply (links, row, frame->room_reply);
  leading = links->fence != 0;
  pthread_mutex_unlock (&links->lock);
  if (leading || wake)
    wake_loop (links);
}

static void
send_heartbeat (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_agent_links_t *links = (bt_agent_links_t *)handler;
  Bilberry__Heartbeat heartbeat = BILBERRY__HEARTBEAT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  heartbeat.now_ms = bt_now_ms (links->ctx);
  frame.body_case = BILBERRY__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  bt_send_frame (links->ctx, link, &frame);
}

static const bt_link_handler_vtable_t handler_vtable = { handle_link_up, handle_frame,
                                                         handle_link_down, send_heartbeat };

static void
drop_row_link (bt_agent_links_t *links, agent_row_t *row)
{
  const bt_room_event_t event = { .kind = BT_ROOM_LINK_DOWN };

  /* Without its data, the link reports no end. */
  if (row->up)
    add_room_event (links, row, &event);
  if (row->link != NULL)
    {
      bt_set_link_data (row->link, NULL);
      bt_close_link (row->link);
    }
  bt_drop_link (links->ctx, row->link);
  row->link = NULL;
  row->up = false;
}

/* Connects to the agents that need a link and have no open one, and closes the links to others. */
static void
maintain_links (bt_agent_links_t *links)
{
  for (agent_row_t *row = links->rows; row != NULL; row = row->next)
    {
      bool needed = row->selected || links->fence != 0;
      bt_error_t error = { 0 };

      if (needed && row->link != NULL && !bt_is_link_closed (row->link))
        continue;
      drop_row_link (links, row);
      if (!needed)
        continue;
      row->link = bt_dial_link (links->ctx, links->link_loop, row->agent, row->agent, &error);
      if (row->link != NULL)
        bt_set_link_data (row->link, row);
    }
}

static void
redial (bt_timer_t *timer)
{
  bt_agent_links_t *links =
      (bt_agent_links_t *)((char *)timer - offsetof (bt_agent_links_t, redial_timer));

  pthread_mutex_lock (&links->lock);
  maintain_links (links);
  pthread_mutex_unlock (&links->lock);
  bt_set_timer (links->loop, timer, bt_get_loop_ms (links->loop) + REDIAL_MS);
}

bt_agent_links_t *
bt_new_agent_links (bt_context_t *ctx,
                    bt_event_loop_t *loop,
                    const bt_agent_links_options_t *options,
                    bt_error_t *error)
{
  bt_agent_links_t *links = bt_calloc (ctx, 1, sizeof *links);
  bt_link_options_t link_options = {
    .role = "entry",
    .instance = options->instance,
    .incarnation = options->incarnation,
    .failure_domain = options->failure_domain,
    .address = "",
    .secret = options->secret,
    .heartbeat_interval_ms = HEARTBEAT_INTERVAL_MS,
    .idle_ms = IDLE_MS,
    .handshake_timeout_ms = HANDSHAKE_TIMEOUT_MS,
    .max_frame_bytes = MAX_FRAME_BYTES,
    .max_unsent_bytes = MAX_UNSENT_BYTES,
    .max_links = MAX_LINKS,
    .handler = &links->handler,
  };

  links->ctx = ctx;
  links->loop = loop;
  links->port = options->port;
  links->index = bt_new_name_index (ctx);
  links->handler.vtable = &handler_vtable;
  links->redial_timer.on_expiry = redial;
  pthread_mutex_init (&links->lock, NULL);
  links->link_loop = bt_new_link_loop (ctx, &link_options, error);
  if (links->link_loop == NULL)
    {
      bt_drop_agent_links (ctx, links);
      return NULL;
    }
  bt_set_timer (loop, &links->redial_timer, bt_get_loop_ms (loop));
  return links;
}

static void
drop_row (bt_agent_links_t *links, agent_row_t *row)
{
  for (agent_row_t **at = &links->updated; row->updated && *at != NULL; at = &(*at)->next_updated)
    if (*at == row)
      {
        *at = row->next_updated;
        break;
      }
  drop_row_link (links, row);
  bt_remove_name (links->index, row->endpoint, row);
  bt_clear_pending_update (links->ctx, &row->pending);
  bt_free (links->ctx, row);
}

void
bt_drop_agent_links (bt_context_t *ctx, bt_agent_links_t *links)
{
  if (links == NULL)
    return;
  bt_clear_timer (links->loop, &links->redial_timer);
  bt_drop_link_loop (ctx, links->link_loop);
  while (links->rows != NULL)
    {
      agent_row_t *row = links->rows;

      links->rows = row->next;
      drop_row (links, row);
    }
  bt_free (ctx, links->room_events);
  bt_drop_name_index (ctx, links->index);
  pthread_mutex_destroy (&links->lock);
  bt_free (ctx, links);
}

static bool
is_model (const bt_declarations_t *declarations, const char *app)
{
  int32_t index = bt_find_app (declarations, app);

  return index >= 0 && declarations->apps[index].kind == BT_APP_MODEL;
}

static void
ensure_row (bt_agent_links_t *links, const char *endpoint, bool selected)
{
  agent_row_t *row = find_row (links, endpoint);
  size_t host_bytes = strcspn (endpoint, ":");

  if (row == NULL)
    {
      row = bt_calloc (links->ctx, 1, sizeof *row);
      snprintf (row->endpoint, sizeof row->endpoint, "%s", endpoint);
      snprintf (row->agent, sizeof row->agent, "%.*s:%d", (int)host_bytes, endpoint, links->port);
      row->next = links->rows;
      links->rows = row;
      bt_put_name (links->index, row->endpoint, row);
    }
  row->listed = true;
  row->selected = row->selected || selected;
}

void
bt_set_agent_endpoints (bt_agent_links_t *links,
                        const bt_view_t *view,
                        const bt_endpoint_selection_t *selection)
{
  agent_row_t **at;

  pthread_mutex_lock (&links->lock);
  for (agent_row_t *row = links->rows; row != NULL; row = row->next)
    {
      row->listed = false;
      row->selected = false;
    }
  for (int32_t i = 0; i < view->endpoint_count; i++)
    if (is_model (view->declarations, view->endpoints[i].app))
      ensure_row (links, view->endpoints[i].address,
                  bt_is_endpoint_selected (selection, &view->endpoints[i]));
  at = &links->rows;
  while (*at != NULL)
    {
      agent_row_t *row = *at;

      if (row->listed)
        {
          at = &row->next;
          continue;
        }
      *at = row->next;
      drop_row (links, row);
    }
  maintain_links (links);
  pthread_mutex_unlock (&links->lock);
}

bool
bt_collect_agent_updates (bt_agent_links_t *links,
                          bt_agent_update_handler_t handle_update,
                          void *data)
{
  agent_row_t *row;
  bool any;

  /* Only this thread creates and frees rows; the lock guards their contents. */
  pthread_mutex_lock (&links->lock);
  row = links->updated;
  links->updated = NULL;
  pthread_mutex_unlock (&links->lock);
  any = row != NULL;
  while (row != NULL)
    {
      agent_row_t *next;
      bt_agent_update_t update;

      pthread_mutex_lock (&links->lock);
      next = row->next_updated;
      row->updated = false;
      bt_take_pending_update (&row->pending, &update);
      pthread_mutex_unlock (&links->lock);
      update.endpoint = row->endpoint;
      handle_update (data, &update);
      bt_free (links->ctx, (void *)update.picks);
      bt_free (links->ctx, (void *)update.places);
      row = next;
    }
  return any;
}

void
bt_subscribe_agents (bt_agent_links_t *links, uint64_t fence)
{
  pthread_mutex_lock (&links->lock);
  links->fence = fence;
  maintain_links (links);
  for (agent_row_t *row = links->rows; row != NULL; row = row->next)
    send_follow (links, row, fence != 0);
  pthread_mutex_unlock (&links->lock);
}

static void
request_report (bt_agent_links_t *links, const char *endpoint, bool places)
{
  agent_row_t *row;

  pthread_mutex_lock (&links->lock);
  row = find_row (links, endpoint);
  if (row != NULL)
    send_follow (links, row, places);
  pthread_mutex_unlock (&links->lock);
}

void
bt_request_agent_report (bt_agent_links_t *links, const char *endpoint)
{
  request_report (links, endpoint, false);
}

void
bt_request_agent_places (bt_agent_links_t *links, const char *endpoint)
{
  request_report (links, endpoint, true);
}

bool
bt_send_agent_order (bt_agent_links_t *links,
                     const char *via,
                     const char *endpoint,
                     const bt_group_order_t *order,
                     const bt_map_bytes_t *map)
{
  Bilberry__EngineOrder message = BILBERRY__ENGINE_ORDER__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  agent_row_t *row;
  bool sent = false;

  bt_write_engine_order (order, &message);
  if (map != NULL)
    message.map = (ProtobufCBinaryData){ map->bytes, map->data };
  if (strcmp (via, endpoint) != 0)
    message.engine = (char *)endpoint;
  frame.body_case = BILBERRY__FRAME__BODY_ENGINE_ORDER;
  frame.engine_order = &message;
  pthread_mutex_lock (&links->lock);
  row = find_row (links, via);
  if (row != NULL && row->up)
    sent = bt_send_frame (links->ctx, row->link, &frame);
  pthread_mutex_unlock (&links->lock);
  return sent;
}

void
bt_collect_room_events (bt_agent_links_t *links, bt_room_event_handler_t handle_event, void *data)
{
  bt_room_event_t *events;
  int32_t count;

  pthread_mutex_lock (&links->lock);
  events = links->room_events;
  count = links->room_event_count;
  links->room_events = NULL;
  links->room_event_count = 0;
  links->room_event_capacity = 0;
  pthread_mutex_unlock (&links->lock);
  for (int32_t i = 0; i < count; i++)
    handle_event (data, &events[i]);
  bt_free (links->ctx, events);
}

bool
bt_is_agent_linked (bt_agent_links_t *links, const char *endpoint)
{
  const agent_row_t *row;
  bool up;

  pthread_mutex_lock (&links->lock);
  row = find_row (links, endpoint);
  up = row != NULL && row->up;
  pthread_mutex_unlock (&links->lock);
  return up;
}

static bool
send_room_frame (bt_agent_links_t *links, const char *endpoint, const bt_frame_t *frame)
{
  agent_row_t *row;
  bool sent = false;

  pthread_mutex_lock (&links->lock);
  row = find_row (links, endpoint);
  if (row != NULL && row->up)
    sent = bt_send_frame (links->ctx, row->link, frame);
  pthread_mutex_unlock (&links->lock);
  return sent;
}

/* Callers state the length of their prompts. An agent drops an ask with a number out of all
 * proportion, and would seem not to answer. */
static uint32_t
limit_number (int64_t number, int64_t most)
{
  if (number < 0)
    return 0;
  return (uint32_t)(number < most ? number : most);
}

bool
bt_send_room_ask (bt_agent_links_t *links, const char *endpoint, const bt_asker_ask_t *ask)
{
  Bilberry__RoomAsk message = BILBERRY__ROOM_ASK__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  message.id = ask->id;
  message.priority = (uint32_t)ask->priority;
  message.target_left_ms = ask->target_left_ms;
  message.prompt_tokens = limit_number (ask->prompt_tokens, MAX_ASK_TOKENS);
  message.answer_tokens = limit_number (ask->answer_tokens, MAX_ASK_TOKENS);
  message.read_us = limit_number (ask->read_us, MAX_ASK_READ_US);
  message.slots = limit_number (ask->slots, MAX_ASK_SLOTS);
  message.depth = limit_number (ask->depth, MAX_ASK_SLOTS);
  message.burst = (uint32_t)ask->burst;
  message.wait = ask->wait;
  message.account = ask->account;
  message.share = limit_number (ask->share, MAX_ASK_SHARE);
  frame.body_case = BILBERRY__FRAME__BODY_ROOM_ASK;
  frame.room_ask = &message;
  return send_room_frame (links, endpoint, &frame);
}

bool
bt_send_room_use (bt_agent_links_t *links, const char *endpoint, const bt_room_use_ids_t *use)
{
  Bilberry__RoomUse message = BILBERRY__ROOM_USE__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  message.n_started = use->started_count;
  message.started = use->started;
  message.n_ended = use->ended_count;
  message.ended = use->ended;
  message.n_released = use->released_count;
  message.released = use->released;
  message.n_withdrawn = use->withdrawn_count;
  message.withdrawn = use->withdrawn;
  message.n_unasked = use->unasked_count;
  message.unasked = use->unasked;
  frame.body_case = BILBERRY__FRAME__BODY_ROOM_USE;
  frame.room_use = &message;
  return send_room_frame (links, endpoint, &frame);
}
