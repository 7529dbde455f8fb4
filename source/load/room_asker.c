#include <string.h>

#include "room_asker_private.h"

enum
{
  INITIAL_CAPACITY = 16,
  /* Time after which a request asks again when the asks with which it waited have ended without a
   * grant. */
  ASK_AGAIN_MS = 40,
  FIRST_CHECK_INTERVAL_MS = 500,
};

/* Returns an array that holds one more element. */
static void *
reserve (bt_context_t *ctx, void *array, int32_t count, int32_t *capacity, size_t bytes)
{
  if (count < *capacity)
    return array;
  *capacity = *capacity == 0 ? INITIAL_CAPACITY : 2 * *capacity;
  return bt_realloc (ctx, array, (size_t)*capacity, bytes);
}

bt_room_asker_t *
bt_new_room_asker (bt_context_t *ctx, bt_router_t *router, bt_admission_t *admission, uint64_t seed)
{
  bt_room_asker_t *asker = bt_calloc (ctx, 1, sizeof *asker);

  asker->router = router;
  asker->admission = admission;
  asker->engine_index = bt_new_name_index (ctx);
  bt_seed_random (&asker->random, seed);
  return asker;
}

void
bt_drop_room_asker (bt_context_t *ctx, bt_room_asker_t *asker)
{
  if (asker == NULL)
    return;
  for (int32_t i = 0; i < asker->engine_count; i++)
    bt_free (ctx, asker->engines[i]);
  bt_free (ctx, asker->engines);
  bt_drop_name_index (ctx, asker->engine_index);
  bt_free (ctx, asker->apps);
  bt_free (ctx, asker->waiters);
  bt_free (ctx, asker->asks);
  bt_free (ctx, asker->starts);
  bt_free (ctx, asker->actions);
  bt_free (ctx, asker);
}

bt_room_action_t *
bt_add_room_action (bt_context_t *ctx,
                    bt_room_asker_t *asker,
                    bt_asker_action_kind_t kind,
                    const bt_identity_t *endpoint,
                    uint64_t id)
{
  bt_room_action_t *action;

  asker->actions = reserve (ctx, asker->actions, asker->action_count, &asker->action_capacity,
                            sizeof *asker->actions);
  action = &asker->actions[asker->action_count++];
  memset (action, 0, sizeof *action);
  action->kind = kind;
  action->endpoint = *endpoint;
  action->id = id;
  return action;
}

bool
bt_next_room_action (bt_room_asker_t *asker, bt_room_action_t *action)
{
  if (asker->first_action == asker->action_count)
    {
      asker->first_action = 0;
      asker->action_count = 0;
      return false;
    }
  *action = asker->actions[asker->first_action++];
  return true;
}

int32_t
bt_find_room_app (const bt_room_asker_t *asker, const char *app)
{
  for (int32_t i = 0; i < asker->app_count; i++)
    if (strcmp (asker->apps[i].name, app) == 0)
      return i;
  return -1;
}

static int32_t
find_or_add_app (bt_context_t *ctx, bt_room_asker_t *asker, const char *app)
{
  int32_t index = bt_find_room_app (asker, app);

  if (index >= 0)
    return index;
  index = asker->app_count++;
  asker->apps = bt_realloc (ctx, asker->apps, (size_t)asker->app_count, sizeof *asker->apps);
  memset (&asker->apps[index], 0, sizeof asker->apps[index]);
  bt_copy_name (asker->apps[index].name, app);
  return index;
}

bt_room_waiter_t *
bt_find_room_waiter (const bt_room_asker_t *asker, uint64_t id)
{
  for (int32_t i = 0; i < asker->waiter_count; i++)
    if (asker->waiters[i].request.id == id)
      return &asker->waiters[i];
  return NULL;
}

bt_pending_ask_t *
bt_find_pending_ask (const bt_room_asker_t *asker, uint64_t id)
{
  for (int32_t i = 0; i < asker->ask_count; i++)
    if (asker->asks[i].id == id)
      return &asker->asks[i];
  return NULL;
}

void
bt_remove_pending_ask (bt_room_asker_t *asker, bt_pending_ask_t *ask)
{
  bt_room_waiter_t *waiter = bt_find_room_waiter (asker, ask->request);

  if (waiter != NULL && !ask->probe)
    waiter->asks--;
  *ask = asker->asks[--asker->ask_count];
}

void
bt_remove_engine_asks (bt_room_asker_t *asker, const bt_room_engine_t *engine)
{
  for (int32_t i = asker->ask_count - 1; i >= 0; i--)
    if (asker->asks[i].engine == engine)
      bt_remove_pending_ask (asker, &asker->asks[i]);
}

/* Ends the asks of a request that has left. One that waits is withdrawn. The answer to any other
 * is on its way; a grant is then used for another request. */
static void
leave_asks (bt_context_t *ctx, bt_room_asker_t *asker, uint64_t request)
{
  for (int32_t i = asker->ask_count - 1; i >= 0; i--)
    {
      bt_pending_ask_t *ask = &asker->asks[i];

      if (ask->request != request)
        continue;
      if (ask->wait)
        {
          bt_add_room_action (ctx, asker, BT_ASKER_WITHDRAWN, &ask->engine->identity, ask->id);
          bt_remove_pending_ask (asker, ask);
        }
      else
        ask->request = 0;
    }
}

static void
remove_waiter (bt_room_asker_t *asker, bt_room_waiter_t *waiter)
{
  const int32_t after = (int32_t)(asker->waiters + asker->waiter_count - (waiter + 1));

  memmove (waiter, waiter + 1, (size_t)after * sizeof *waiter);
  asker->waiter_count--;
}

static bool
is_any_engine_reserved (const bt_room_asker_t *asker, int32_t app)
{
  for (int32_t i = 0; i < asker->engine_count; i++)
    if (asker->engines[i]->app == app && asker->engines[i]->reserved)
      return true;
  return false;
}

/* Without a reserved engine the app's requests are admitted by the estimate, as if there were no
 * reservations. */
static void
update_app (bt_context_t *ctx, bt_room_asker_t *asker, int32_t index, int64_t now_ms)
{
  bt_room_app_t *app = &asker->apps[index];
  const bool reserved = app->wanted && is_any_engine_reserved (asker, index);

  if (reserved == app->reserved)
    return;
  app->reserved = reserved;
  bt_set_admission_reserved (ctx, asker->admission, app->name, reserved, now_ms);
}

void
bt_set_engine_reserved (bt_context_t *ctx,
                        bt_room_asker_t *asker,
                        bt_room_engine_t *engine,
                        bool reserved,
                        int64_t now_ms)
{
  if (engine->reserved == reserved)
    return;
  engine->reserved = reserved;
  engine->next_check_ms = now_ms + FIRST_CHECK_INTERVAL_MS;
  engine->check_interval_ms = FIRST_CHECK_INTERVAL_MS;
  bt_add_room_action (ctx, asker, reserved ? BT_ASKER_RESERVED : BT_ASKER_UNRESERVED,
                      &engine->identity, 0);
  if (!reserved)
    bt_remove_engine_asks (asker, engine);
  update_app (ctx, asker, engine->app, now_ms);
}

void
bt_set_room_app (
    bt_context_t *ctx, bt_room_asker_t *asker, const char *app, bool reserved, int64_t now_ms)
{
  int32_t index = bt_find_room_app (asker, app);

  if (index < 0 && !reserved)
    return;
  index = find_or_add_app (ctx, asker, app);
  if (asker->apps[index].wanted == reserved)
    return;
  asker->apps[index].wanted = reserved;
  asker->apps[index].since_ms = now_ms;
  asker->apps[index].start_count = 0;
  for (int32_t i = asker->waiter_count - 1; i >= 0 && !reserved; i--)
    if (asker->waiters[i].app == index)
      bt_remove_room_request (ctx, asker, asker->waiters[i].request.id);
  update_app (ctx, asker, index, now_ms);
}

void
bt_set_room_engine (bt_context_t *ctx,
                    bt_room_asker_t *asker,
                    const bt_identity_t *identity,
                    const char *app,
                    bool linked,
                    int64_t now_ms)
{
  bt_room_engine_t *engine = bt_find_name (asker->engine_index, identity->instance);
  const int32_t index = find_or_add_app (ctx, asker, app);

  if (engine != NULL && engine->app != index)
    {
      bt_remove_room_engine (ctx, asker, identity->instance);
      engine = NULL;
    }
  if (engine == NULL)
    {
      engine = bt_calloc (ctx, 1, sizeof *engine);
      engine->identity = *identity;
      engine->app = index;
      asker->engines = bt_realloc (ctx, asker->engines, (size_t)asker->engine_count + 1,
                                   sizeof (bt_room_engine_t *));
      asker->engines[asker->engine_count++] = engine;
      bt_put_name (asker->engine_index, engine->identity.instance, engine);
    }
  engine->identity.incarnation = identity->incarnation;
  if (engine->linked == linked)
    return;
  engine->linked = linked;
  engine->check_id = 0;
  bt_remove_engine_asks (asker, engine);
  bt_set_engine_reserved (ctx, asker, engine, false, now_ms);
  engine->next_check_ms = now_ms;
  engine->check_interval_ms = FIRST_CHECK_INTERVAL_MS;
}

void
bt_remove_room_engine (bt_context_t *ctx, bt_room_asker_t *asker, const char *instance)
{
  bt_room_engine_t *engine = bt_find_name (asker->engine_index, instance);

  if (engine == NULL)
    return;
  bt_remove_engine_asks (asker, engine);
  bt_remove_name (asker->engine_index, engine->identity.instance, engine);
  for (int32_t i = 0; i < asker->engine_count; i++)
    if (asker->engines[i] == engine)
      {
        asker->engines[i] = asker->engines[--asker->engine_count];
        break;
      }
  update_app (ctx, asker, engine->app, asker->advanced_ms);
  bt_free (ctx, engine);
}

bool
bt_is_room_engine_reserved (const bt_room_asker_t *asker, const char *instance)
{
  const bt_room_engine_t *engine = bt_find_name (asker->engine_index, instance);

  return engine != NULL && engine->reserved;
}

bool
bt_is_room_app (const bt_room_asker_t *asker, const char *app)
{
  const int32_t index = bt_find_room_app (asker, app);

  return index >= 0 && asker->apps[index].wanted;
}

void
bt_add_room_request (bt_context_t *ctx, bt_room_asker_t *asker, const bt_room_request_t *request)
{
  bt_room_waiter_t *waiter;

  if (!bt_is_room_app (asker, request->app) || bt_find_room_waiter (asker, request->id) != NULL)
    return;
  asker->waiters = reserve (ctx, asker->waiters, asker->waiter_count, &asker->waiter_capacity,
                            sizeof *asker->waiters);
  waiter = &asker->waiters[asker->waiter_count++];
  memset (waiter, 0, sizeof *waiter);
  waiter->request = *request;
  waiter->request.app = NULL;
  waiter->app = bt_find_room_app (asker, request->app);
}

void
bt_remove_room_request (bt_context_t *ctx, bt_room_asker_t *asker, uint64_t id)
{
  bt_room_waiter_t *waiter = bt_find_room_waiter (asker, id);

  if (waiter == NULL)
    return;
  leave_asks (ctx, asker, id);
  remove_waiter (asker, waiter);
}

/* Gives the asks of a request that is sent by another one's grant to that other one, so that they
 * keep their place at the agents. Asks of another priority would not be in order there. */
static void
pass_on_asks (bt_room_asker_t *asker, uint64_t from, bt_room_waiter_t *to)
{
  const bt_room_waiter_t *sent = bt_find_room_waiter (asker, from);

  if (sent == NULL || sent->request.priority != to->request.priority)
    return;
  for (int32_t i = 0; i < asker->ask_count; i++)
    if (asker->asks[i].request == from)
      {
        asker->asks[i].request = to->request.id;
        to->asks += asker->asks[i].probe ? 0 : 1;
      }
}

uint64_t
bt_send_first_queued (bt_context_t *ctx,
                      bt_room_asker_t *asker,
                      const bt_room_engine_t *engine,
                      uint64_t id,
                      int64_t now_ms)
{
  const char *app = asker->apps[engine->app].name;
  const bt_room_waiter_t *waiter;
  bt_room_action_t *action;
  uint64_t request;

  if (!bt_take_queued_request (asker->admission, app, now_ms, &request))
    return 0;
  action = bt_add_room_action (ctx, asker, BT_ASKER_SEND, &engine->identity, id);
  waiter = bt_find_room_waiter (asker, request);
  action->request = request;
  action->waited_ms =
      waiter != NULL && waiter->first_ask_ms > 0 ? now_ms - waiter->first_ask_ms : -1;
  return request;
}

/* Uses a grant for the request that is first in the queue now, and returns its id; releases the
 * grant and returns 0 if there is none, or the engine may not be used now. */
static uint64_t
use_grant (bt_context_t *ctx,
           bt_room_asker_t *asker,
           const bt_room_engine_t *engine,
           uint64_t id,
           int64_t now_ms)
{
  bt_endpoint_room_t room;
  uint64_t request = 0;

  if (asker->apps[engine->app].wanted
      && bt_get_endpoint_room (asker->router, &engine->identity, now_ms, &room) && room.usable)
    request = bt_send_first_queued (ctx, asker, engine, id, now_ms);
  if (request == 0)
    bt_add_room_action (ctx, asker, BT_ASKER_RELEASED, &engine->identity, id);
  return request;
}

static bool
is_started (const bt_room_asker_t *asker, uint64_t id)
{
  for (int32_t i = 0; i < asker->start_count; i++)
    if (asker->starts[i].id == id)
      return true;
  return false;
}

static void
record_denial (bt_room_waiter_t *waiter, const bt_pending_ask_t *ask, int32_t load, int64_t now_ms)
{
  if (waiter == NULL || ask->probe)
    return;
  if (!ask->wait && waiter->denials < BT_ROOM_MAX_DENIALS)
    {
      waiter->denied[waiter->denials] = ask->engine->identity;
      waiter->denied_load[waiter->denials++] = load;
      return;
    }
  if (waiter->asks > 1)
    return;
  waiter->denials = 0;
  waiter->next_ask_ms = now_ms + ASK_AGAIN_MS;
}

static void
record_load (bt_room_asker_t *asker,
             const bt_room_engine_t *engine,
             const bt_asker_reply_t *reply,
             int64_t now_ms)
{
  const int64_t age_ms = now_ms - reply->received_ms;
  bt_load_t load = { .running = reply->load, .age_ms = age_ms > 0 ? age_ms : 0 };

  load.slots = bt_get_reported_slots (asker->router, &engine->identity, 0);
  bt_record_load (asker->router, &engine->identity, &load, now_ms);
}

/* Handles the end of an ask whose grant was used for the request @p sent instead, or released if
 * that is 0. */
static void
settle_asker (bt_room_asker_t *asker, bt_room_waiter_t *waiter, uint64_t sent, int64_t now_ms)
{
  if (sent != 0)
    {
      pass_on_asks (asker, sent, waiter);
      return;
    }
  /* The engine may not be used now. Asking it again at once would be granted again. */
  waiter->denials = 0;
  waiter->next_ask_ms = now_ms + ASK_AGAIN_MS;
}

bool
bt_handle_room_reply (bt_context_t *ctx,
                      bt_room_asker_t *asker,
                      const char *instance,
                      const bt_asker_reply_t *reply,
                      int64_t now_ms)
{
  bt_room_engine_t *engine = bt_find_name (asker->engine_index, instance);
  const bool granted = reply->verdict == BT_ASKER_GRANTED;
  const bool in_time = now_ms - reply->received_ms <= BT_ROOM_GRANT_USE_MS;
  bt_pending_ask_t *ask = bt_find_pending_ask (asker, reply->id);
  bt_room_waiter_t *waiter;
  bt_pending_ask_t found;
  uint64_t sent = 0;

  if (engine == NULL || !engine->linked)
    return false;
  bt_set_engine_reserved (ctx, asker, engine, true, now_ms);
  if (!granted)
    record_load (asker, engine, reply, now_ms);
  if (reply->id != 0 && reply->id == engine->check_id && !granted)
    {
      engine->check_id = 0;
      return true;
    }
  if (ask == NULL || ask->engine != engine)
    {
      /* The grant of an ask that was given up, or a second copy. */
      if (granted && !is_started (asker, reply->id))
        bt_add_room_action (ctx, asker, BT_ASKER_RELEASED, &engine->identity, reply->id);
      return false;
    }
  if (!granted)
    record_denial (bt_find_room_waiter (asker, ask->request), ask, reply->load, now_ms);
  found = *ask;
  bt_remove_pending_ask (asker, ask);
  if (!granted)
    return true;
  if (found.probe)
    asker->apps[engine->app].next_probe_ms = now_ms;
  if (in_time)
    sent = use_grant (ctx, asker, engine, reply->id, now_ms);
  else
    bt_add_room_action (ctx, asker, BT_ASKER_RELEASED, &engine->identity, reply->id);
  waiter = bt_find_room_waiter (asker, found.request);
  if (waiter != NULL && sent != found.request)
    settle_asker (asker, waiter, sent, now_ms);
  return true;
}

static void
record_start (bt_context_t *ctx,
              bt_room_asker_t *asker,
              bt_room_app_t *app,
              const bt_identity_t *endpoint,
              uint64_t id,
              int64_t now_ms)
{
  app->starts[app->start_count++ % BT_ROOM_STARTS] = now_ms;
  asker->starts = reserve (ctx, asker->starts, asker->start_count, &asker->start_capacity,
                           sizeof *asker->starts);
  asker->starts[asker->start_count++] = (bt_room_start_t){ id, *endpoint };
}

void
bt_confirm_room_send (bt_context_t *ctx,
                      bt_room_asker_t *asker,
                      const bt_room_action_t *send,
                      bool sent,
                      int64_t now_ms)
{
  const bt_room_engine_t *engine = bt_find_name (asker->engine_index, send->endpoint.instance);

  bt_remove_room_request (ctx, asker, send->request);
  if (send->id == 0)
    return;
  if (sent && engine != NULL)
    {
      record_start (ctx, asker, &asker->apps[engine->app], &engine->identity, send->id, now_ms);
      bt_add_room_action (ctx, asker, BT_ASKER_STARTED, &engine->identity, send->id);
    }
  else if (!sent && engine != NULL)
    use_grant (ctx, asker, engine, send->id, now_ms);
}

uint64_t
bt_record_unasked_start (bt_context_t *ctx,
                         bt_room_asker_t *asker,
                         const char *instance,
                         int64_t now_ms)
{
  const bt_room_engine_t *engine = bt_find_name (asker->engine_index, instance);
  uint64_t id;

  if (engine == NULL || !engine->linked || !asker->apps[engine->app].wanted)
    return 0;
  id = ++asker->last_id;
  record_start (ctx, asker, &asker->apps[engine->app], &engine->identity, id, now_ms);
  bt_add_room_action (ctx, asker, BT_ASKER_UNASKED, &engine->identity, id);
  return id;
}

void
bt_record_room_end (bt_context_t *ctx, bt_room_asker_t *asker, uint64_t id)
{
  for (int32_t i = 0; i < asker->start_count && id != 0; i++)
    if (asker->starts[i].id == id)
      {
        bt_add_room_action (ctx, asker, BT_ASKER_ENDED, &asker->starts[i].endpoint, id);
        asker->starts[i] = asker->starts[--asker->start_count];
        return;
      }
}
