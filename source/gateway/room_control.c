#include "room_control.h"

#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/histogram.h"
#include "bilberrytray/config/contention.h"

enum
{
  VERDICTS = BT_ASKER_DISPLACED + 1, /* 0 counts unknown ones */
};

/** The ids of one kind for one agent. */
typedef struct id_list
{
  uint64_t *ids;
  size_t count;
  size_t capacity;
} id_list_t;

/** What an agent is to be told of at the end of the iteration. */
typedef struct pending_use
{
  char endpoint[BT_ADDRESS_BYTES];
  id_list_t started;
  id_list_t ended;
  id_list_t released;
  id_list_t withdrawn;
  id_list_t unasked;
} pending_use_t;

/** An ask that is sent at the end of the iteration. */
typedef struct pending_ask
{
  char endpoint[BT_ADDRESS_BYTES];
  bt_asker_ask_t ask;
} pending_ask_t;

/** An engine that was last listed. */
typedef struct engine_row
{
  bt_identity_t identity;
  char address[BT_ADDRESS_BYTES];
  char app[BT_NAME_BYTES];
  bool linked;
  bool listed;
} engine_row_t;

struct bt_room_control
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_room_control_options_t options;
  bt_room_asker_t *asker;
  engine_row_t *engines;
  int32_t engine_count;
  pending_use_t *uses;
  int32_t use_count;
  int32_t use_capacity;
  pending_ask_t *asks;
  int32_t ask_count;
  int32_t ask_capacity;
  bt_counter_t *replies[VERDICTS];
  bt_counter_t *unanswered;
  bt_counter_t *unused;
  bt_histogram_t *wait;
};

bool
bt_parse_reservations (const char *text, bt_reservations_t *reservations)
{
  static const char *const names[] = { "contended", "always", "never" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcmp (text, names[i]) == 0)
      {
        *reservations = (bt_reservations_t)i;
        return true;
      }
  return false;
}

static void
open_metrics (bt_room_control_t *control)
{
  static const char *const verdicts[VERDICTS] = { "unknown", "granted", "denied", "displaced" };

  for (int32_t i = 0; i < VERDICTS; i++)
    control->replies[i] =
        bt_find_counter (control->ctx, BT_COUNTER, "bilberry_room_replies_total",
                         "Answers of agents to asks for capacity.", "verdict", verdicts[i]);
  control->unanswered =
      bt_find_counter (control->ctx, BT_COUNTER, "bilberry_room_asks_unanswered_total",
                       "Asks for capacity that an agent did not answer in time.", NULL, NULL);
  control->unused =
      bt_find_counter (control->ctx, BT_COUNTER, "bilberry_room_grants_unused_total",
                       "Granted capacity that was released without a request.", NULL, NULL);
  control->wait = bt_new_histogram (control->ctx, "bilberry_room_wait_ms",
                                    "From the first ask of a request to the grant it was sent by.");
}

bt_room_control_t *
bt_new_room_control (bt_context_t *ctx,
                     bt_event_loop_t *loop,
                     const bt_room_control_options_t *options)
{
  bt_room_control_t *control = bt_calloc (ctx, 1, sizeof *control);

  control->ctx = ctx;
  control->loop = loop;
  control->options = *options;
  control->asker = bt_new_room_asker (ctx, options->router, options->admission, options->seed);
  open_metrics (control);
  return control;
}

static id_list_t *
get_list (pending_use_t *use, bt_asker_action_kind_t kind)
{
  switch (kind)
    {
    case BT_ASKER_STARTED:
      return &use->started;
    case BT_ASKER_ENDED:
      return &use->ended;
    case BT_ASKER_RELEASED:
      return &use->released;
    case BT_ASKER_WITHDRAWN:
      return &use->withdrawn;
    default:
      return &use->unasked;
    }
}

static void
drop_use (bt_context_t *ctx, pending_use_t *use)
{
  for (int32_t kind = BT_ASKER_STARTED; kind <= BT_ASKER_UNASKED; kind++)
    bt_free (ctx, get_list (use, (bt_asker_action_kind_t)kind)->ids);
}

void
bt_drop_room_control (bt_context_t *ctx, bt_room_control_t *control)
{
  if (control == NULL)
    return;
  for (int32_t i = 0; i < control->use_count; i++)
    drop_use (ctx, &control->uses[i]);
  bt_free (ctx, control->uses);
  bt_free (ctx, control->asks);
  bt_free (ctx, control->engines);
  bt_drop_room_asker (ctx, control->asker);
  bt_drop_histogram (ctx, control->wait);
  bt_free (ctx, control);
}

static engine_row_t *
find_engine (bt_room_control_t *control, const char *address)
{
  for (int32_t i = 0; i < control->engine_count; i++)
    if (strcmp (control->engines[i].address, address) == 0)
      return &control->engines[i];
  return NULL;
}

static const char *
find_address (const bt_room_control_t *control, const bt_identity_t *endpoint)
{
  for (int32_t i = 0; i < control->engine_count; i++)
    if (strcmp (control->engines[i].identity.instance, endpoint->instance) == 0)
      return control->engines[i].address;
  return NULL;
}

bool
bt_reserves_app (const bt_room_control_t *control,
                 const bt_declarations_t *declarations,
                 int32_t app)
{
  if (declarations->apps[app].kind != BT_APP_MODEL)
    return false;
  return control->options.reservations == BT_RESERVATIONS_ALWAYS
         || (control->options.reservations == BT_RESERVATIONS_CONTENDED
             && bt_is_app_contended (declarations, app));
}

/* Ends the reservations of apps that are not declared any more. */
static void
remove_undeclared_apps (bt_room_control_t *control, const bt_declarations_t *declarations)
{
  for (int32_t i = 0; i < control->engine_count; i++)
    if (bt_find_app (declarations, control->engines[i].app) < 0)
      bt_set_room_app (control->ctx, control->asker, control->engines[i].app, false,
                       bt_get_loop_ms (control->loop));
}

static void
list_engine (bt_room_control_t *control, const bt_listed_endpoint_t *endpoint)
{
  engine_row_t *row = find_engine (control, endpoint->address);

  if (row == NULL)
    {
      control->engines = bt_realloc (control->ctx, control->engines,
                                     (size_t)control->engine_count + 1, sizeof *row);
      row = &control->engines[control->engine_count++];
      memset (row, 0, sizeof *row);
      snprintf (row->address, sizeof row->address, "%s", endpoint->address);
      row->linked = bt_is_agent_linked (control->options.agents, row->address);
    }
  else if (strcmp (row->identity.instance, endpoint->id) != 0)
    bt_remove_room_engine (control->ctx, control->asker, row->identity.instance);
  bt_identify_endpoint (endpoint, &row->identity);
  bt_copy_name (row->app, endpoint->app);
  row->listed = true;
  bt_set_room_engine (control->ctx, control->asker, &row->identity, row->app, row->linked,
                      bt_get_loop_ms (control->loop));
}

void
bt_set_room_view (bt_room_control_t *control,
                  const bt_view_t *view,
                  const bt_endpoint_selection_t *selection)
{
  if (control == NULL || view->declarations == NULL)
    return;
  remove_undeclared_apps (control, view->declarations);
  for (int32_t i = 0; i < view->declarations->app_count; i++)
    bt_set_room_app (control->ctx, control->asker, view->declarations->apps[i].name,
                     bt_reserves_app (control, view->declarations, i),
                     bt_get_loop_ms (control->loop));
  for (int32_t i = 0; i < control->engine_count; i++)
    control->engines[i].listed = false;
  for (int32_t i = 0; i < view->endpoint_count; i++)
    {
      const bt_listed_endpoint_t *endpoint = &view->endpoints[i];
      const bt_listed_endpoint_t *latest =
          bt_find_endpoint_at (control->options.endpoints, endpoint->address);

      /* Of two registrations at one address, the one that started last is served there. */
      if (bt_is_endpoint_selected (selection, endpoint)
          && (latest == NULL || strcmp (latest->id, endpoint->id) == 0))
        list_engine (control, endpoint);
    }
  for (int32_t i = control->engine_count - 1; i >= 0; i--)
    if (!control->engines[i].listed)
      {
        bt_remove_room_engine (control->ctx, control->asker, control->engines[i].identity.instance);
        control->engines[i] = control->engines[--control->engine_count];
      }
}

bool
bt_has_room_app (const bt_room_control_t *control, const char *app)
{
  return control != NULL && bt_is_room_app (control->asker, app);
}

void
bt_queue_room_request (bt_room_control_t *control, const bt_room_request_t *request)
{
  if (control == NULL)
    return;
  bt_add_room_request (control->ctx, control->asker, request);
  bt_request_loop_iteration (control->loop);
}

void
bt_forget_room_request (bt_room_control_t *control, uint64_t request)
{
  if (control != NULL)
    bt_remove_room_request (control->ctx, control->asker, request);
}

uint64_t
bt_start_unasked (bt_room_control_t *control, const bt_identity_t *endpoint)
{
  return control == NULL
             ? 0
             : bt_record_unasked_start (control->ctx, control->asker, endpoint->instance,
                                        bt_get_loop_ms (control->loop));
}

void
bt_end_room_use (bt_room_control_t *control, uint64_t room_id)
{
  if (control != NULL)
    bt_record_room_end (control->ctx, control->asker, room_id);
}

static pending_use_t *
find_or_add_use (bt_room_control_t *control, const char *endpoint)
{
  pending_use_t *use;

  for (int32_t i = 0; i < control->use_count; i++)
    if (strcmp (control->uses[i].endpoint, endpoint) == 0)
      return &control->uses[i];
  if (control->use_count == control->use_capacity)
    {
      control->use_capacity = 2 * control->use_capacity + 1;
      control->uses = bt_realloc (control->ctx, control->uses, (size_t)control->use_capacity,
                                  sizeof *control->uses);
    }
  use = &control->uses[control->use_count++];
  memset (use, 0, sizeof *use);
  snprintf (use->endpoint, sizeof use->endpoint, "%s", endpoint);
  return use;
}

static void
add_use (bt_room_control_t *control, const char *endpoint, bt_asker_action_kind_t kind, uint64_t id)
{
  id_list_t *list = get_list (find_or_add_use (control, endpoint), kind);

  if (list->count == list->capacity)
    {
      list->capacity = 2 * list->capacity + 1;
      list->ids = bt_realloc (control->ctx, list->ids, list->capacity, sizeof *list->ids);
    }
  list->ids[list->count++] = id;
}

static void
add_ask (bt_room_control_t *control, const char *endpoint, const bt_asker_ask_t *ask)
{
  pending_ask_t *added;

  if (control->ask_count == control->ask_capacity)
    {
      control->ask_capacity = 2 * control->ask_capacity + 1;
      control->asks = bt_realloc (control->ctx, control->asks, (size_t)control->ask_capacity,
                                  sizeof *control->asks);
    }
  added = &control->asks[control->ask_count++];
  snprintf (added->endpoint, sizeof added->endpoint, "%s", endpoint);
  added->ask = *ask;
}

/* Sends the asks after what their agents are told: a request that has ended leaves capacity. */
static void
send_asks (bt_room_control_t *control)
{
  for (int32_t i = 0; i < control->ask_count; i++)
    bt_send_room_ask (control->options.agents, control->asks[i].endpoint, &control->asks[i].ask);
  control->ask_count = 0;
}

static void
send_uses (bt_room_control_t *control)
{
  for (int32_t i = 0; i < control->use_count; i++)
    {
      pending_use_t *use = &control->uses[i];
      const bt_room_use_ids_t message = {
        use->started.ids,  use->started.count,  use->ended.ids,     use->ended.count,
        use->released.ids, use->released.count, use->withdrawn.ids, use->withdrawn.count,
        use->unasked.ids,  use->unasked.count,
      };

      bt_send_room_use (control->options.agents, use->endpoint, &message);
      drop_use (control->ctx, use);
    }
  control->use_count = 0;
}

static void
send_request (bt_room_control_t *control, const bt_room_action_t *action)
{
  bt_room_handler_t *handler = control->options.handler;
  const bool sent = handler->on_send (handler, action->request, &action->endpoint, action->id);

  if (sent && action->id != 0 && action->waited_ms >= 0)
    bt_record_duration (control->wait, action->waited_ms);
  bt_confirm_room_send (control->ctx, control->asker, action, sent, bt_get_loop_ms (control->loop));
}

static void
perform (bt_room_control_t *control, const bt_room_action_t *action)
{
  const char *address = find_address (control, &action->endpoint);

  switch (action->kind)
    {
    case BT_ASKER_SEND:
      send_request (control, action);
      break;
    case BT_ASKER_ASK:
      if (address != NULL)
        add_ask (control, address, &action->ask);
      break;
    case BT_ASKER_UNANSWERED:
      bt_add_counter (control->unanswered, 1);
      break;
    case BT_ASKER_UNRESERVED:
      bt_log_event (control->ctx, BT_LOG_INFO, "room-unreserved", "{s:s}", "endpoint",
                    action->endpoint.instance);
      break;
    case BT_ASKER_RESERVED:
      bt_log_event (control->ctx, BT_LOG_INFO, "room-reserved", "{s:s}", "endpoint",
                    action->endpoint.instance);
      break;
    default:
      if (action->kind == BT_ASKER_RELEASED)
        bt_add_counter (control->unused, 1);
      if (address != NULL)
        add_use (control, address, action->kind, action->id);
      break;
    }
}

static void
perform_actions (bt_room_control_t *control)
{
  bt_room_action_t action;

  while (bt_next_room_action (control->asker, &action))
    perform (control, &action);
}

static void
handle_event (void *data, const bt_room_event_t *event)
{
  bt_room_control_t *control = data;
  engine_row_t *row = find_engine (control, event->endpoint);
  const int32_t verdict = (int32_t)event->reply.verdict;

  if (row == NULL)
    return;
  if (event->kind == BT_ROOM_REPLIED)
    {
      const bool known = verdict > 0 && verdict < VERDICTS;

      bt_add_counter (control->replies[known ? verdict : 0], 1);
      if (known)
        bt_handle_room_reply (control->ctx, control->asker, row->identity.instance, &event->reply,
                              bt_get_loop_ms (control->loop));
    }
  else
    {
      row->linked = event->kind == BT_ROOM_LINK_UP;
      bt_set_room_engine (control->ctx, control->asker, &row->identity, row->app, row->linked,
                          bt_get_loop_ms (control->loop));
    }
  perform_actions (control);
}

void
bt_run_room_control (bt_room_control_t *control)
{
  bool again = true;

  if (control == NULL)
    return;
  perform_actions (control);
  bt_collect_room_events (control->options.agents, handle_event, control);
  while (again)
    {
      again = bt_advance_room_asker (control->ctx, control->asker, bt_get_loop_ms (control->loop));
      perform_actions (control);
    }
  send_uses (control);
  send_asks (control);
}
