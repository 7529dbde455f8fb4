#include <math.h>
#include <string.h>

#include "room_asker_private.h"
#include "router_private.h"

enum
{
  /* Interval at which a waiting request of an app asks an engine at which none of the app waits.
   * With a report of each engine every 100 ms, one that becomes idle is asked within 150 ms. */
  PROBE_MS = 10,
  /* Time until a request asks again if it could not wait at any engine. */
  ASK_AGAIN_MS = 40,
  MAX_CHECK_INTERVAL_MS = 16000,
  /* The mean number of starts is taken over this time, and over up to MAX_MEAN_MS while that covers
   * fewer than SURE_STARTS. */
  MEAN_MS = 2000,
  MAX_MEAN_MS = 64000,
  SURE_STARTS = 64,
  SURE_DEVIATIONS = 2,
  /* A request that waits for longer than this shows that the burst holds it up. */
  LONG_WAIT_MS = BT_ROOM_BURST_MS,
  BURST_FACTOR = 2,
  SPREAD_MS = 20,
  /* Share of the slots in use from which the slots alone bound the starts. */
  FULL_PERCENT = 50,
  PERCENT = 100,
  /* An entry that was not called for longer than this may not have read the answers that have
   * arrived. */
  STALL_MS = 30,
  /* Engines compared for an ask. Among all of them, every entry would ask the one that its reports
   * show as the least loaded, and all but one would be denied. */
  CHOICES = 2,
  /* Time until an engine is looked for again when there was none. */
  CHOICE_MS = 10,
  /* Asks of an app with at least the priority of a request, above which it does not ask: a grant is
   * used for the first request in the queue, whichever request asked. */
  MAX_APP_ASKS = 64,
  /* Time to the target of a request whose rule states none: it is never late. */
  NO_TARGET_MS = 3600000,
  /* Engines without a final answer that the choice leaves out. */
  MAX_EXCLUDED = 24,
};

/** Engines that the choice leaves out. */
typedef struct exclusion
{
  bt_identity_t engines[MAX_EXCLUDED];
  int32_t count;
} exclusion_t;

static void
exclude (exclusion_t *exclusion, const bt_identity_t *engine)
{
  for (int32_t i = 0; i < exclusion->count; i++)
    if (bt_same_identity (&exclusion->engines[i], engine))
      return;
  if (exclusion->count < MAX_EXCLUDED)
    exclusion->engines[exclusion->count++] = *engine;
}

static int32_t
count_app_engines (const bt_room_asker_t *asker, int32_t app)
{
  int32_t count = 0;

  for (int32_t i = 0; i < asker->engine_count; i++)
    count += asker->engines[i]->app == app ? 1 : 0;
  return count;
}

/* Counts this entry's starts within a time. */
static int32_t
count_starts (const bt_room_app_t *app, int64_t window_ms, int64_t now_ms)
{
  const int64_t kept = app->start_count < BT_ROOM_STARTS ? app->start_count : BT_ROOM_STARTS;
  int32_t count = 0;

  while (count < kept
         && now_ms - app->starts[(app->start_count - 1 - count) % BT_ROOM_STARTS] < window_ms)
    count++;
  return count;
}

/* Returns the number of requests of an app that have waited for a grant for long. */
static int32_t
count_long_waiting (const bt_room_asker_t *asker, int32_t app, int64_t now_ms)
{
  int32_t count = 0;

  for (int32_t i = 0; i < asker->waiter_count; i++)
    {
      const bt_room_waiter_t *waiter = &asker->waiters[i];

      count += waiter->app == app && waiter->first_ask_ms > 0
                       && now_ms - waiter->first_ask_ms > LONG_WAIT_MS
                   ? 1
                   : 0;
    }
  return count;
}

/* Returns the mean number of starts of this entry in BT_ROOM_BURST_MS. An entry with few starts
 * can't tell a rate from its double, and of many entries some would grant themselves too large a
 * burst: without need, what the mean surely exceeds counts. While requests wait, they are demand as
 * well. */
static double
get_mean_starts (const bt_room_asker_t *asker, int32_t index, int64_t now_ms)
{
  const bt_room_app_t *app = &asker->apps[index];
  const int32_t waiting = count_long_waiting (asker, index, now_ms);
  int64_t window_ms = MEAN_MS;
  double count = count_starts (app, window_ms, now_ms);

  if (waiting > 0)
    return (count + waiting) * BT_ROOM_BURST_MS / MEAN_MS;
  while (count < SURE_STARTS && window_ms < MAX_MEAN_MS)
    {
      window_ms *= 2;
      count = count_starts (app, window_ms, now_ms);
    }
  count -= SURE_DEVIATIONS * sqrt (count);
  return count > 0 ? count * BT_ROOM_BURST_MS / (double)window_ms : 0;
}

/* Returns true if half of an app's slots are in use. Then few engines are free, and a caller gains
 * nothing from waiting beside a free slot until the burst permits its use. */
static bool
is_app_half_full (const bt_room_asker_t *asker, const char *app, int64_t now_ms)
{
  bt_capacity_t capacity;
  int32_t in_use;

  bt_get_capacity (asker->router, app, now_ms, &capacity);
  in_use = capacity.slots - capacity.available_slots + capacity.in_flight;
  return capacity.slots > 0 && in_use * PERCENT > capacity.slots * FULL_PERCENT;
}

int32_t
bt_get_room_burst (const bt_room_asker_t *asker, const char *app, int64_t now_ms)
{
  const int32_t index = bt_find_room_app (asker, app);
  int32_t engines;
  double mean;

  if (index < 0)
    return 1;
  engines = count_app_engines (asker, index);
  if (engines == 0)
    return 1;
  if (is_app_half_full (asker, app, now_ms))
    return BT_ROOM_NO_BURST;
  mean = get_mean_starts (asker, index, now_ms) * bt_get_app_entries (asker->router, app) / engines;
  return BURST_FACTOR * mean > 1 ? (int32_t)(BURST_FACTOR * mean) : 1;
}

/* Returns the burst of an ask. It spreads starts over the engines, and must not make a caller wait
 * beside a free slot: a request that has been asked for during SPREAD_MS may start at any. */
static int32_t
get_ask_burst (const bt_room_asker_t *asker, const bt_room_waiter_t *waiter, int64_t now_ms)
{
  if (waiter->first_ask_ms > 0 && now_ms - waiter->first_ask_ms >= SPREAD_MS)
    return BT_ROOM_NO_BURST;
  return bt_get_room_burst (asker, asker->apps[waiter->app].name, now_ms);
}

/* Asks an engine for capacity for a request. */
static void
place_ask (bt_context_t *ctx,
           bt_room_asker_t *asker,
           bt_room_waiter_t *waiter,
           bt_room_engine_t *engine,
           const bt_pending_ask_t *kind,
           int64_t now_ms)
{
  const bt_room_request_t *request = &waiter->request;
  bt_endpoint_room_t room = { 0 };
  bt_room_action_t *action =
      bt_add_room_action (ctx, asker, BT_ASKER_ASK, &engine->identity, ++asker->last_id);
  bt_pending_ask_t *ask;

  bt_get_endpoint_room (asker->router, &engine->identity, now_ms, &room);
  action->ask = (bt_asker_ask_t){
    .id = action->id,
    .priority = request->priority,
    .target_left_ms = request->target_ms > 0 ? request->target_ms - now_ms : NO_TARGET_MS,
    .prompt_tokens = request->prompt_tokens,
    .answer_tokens = request->answer_tokens,
    .read_us = request->read_us,
    .slots = room.slots,
    .depth = room.depth,
    .burst = get_ask_burst (asker, waiter, now_ms),
    .wait = kind->wait,
    .account = request->account,
    .share = request->share,
  };
  if (asker->ask_count == asker->ask_capacity)
    {
      asker->ask_capacity = asker->ask_capacity == 0 ? MAX_EXCLUDED : 2 * asker->ask_capacity;
      asker->asks = bt_realloc (ctx, asker->asks, (size_t)asker->ask_capacity, sizeof *asker->asks);
    }
  ask = &asker->asks[asker->ask_count++];
  *ask = *kind;
  ask->id = action->id;
  ask->request = request->id;
  ask->engine = engine;
  ask->priority = request->priority;
  ask->sent_ms = now_ms;
  if (!kind->probe)
    {
      waiter->asks++;
      waiter->last_ask_ms = now_ms;
    }
  if (waiter->first_ask_ms == 0)
    waiter->first_ask_ms = now_ms;
}

static bool
choose (bt_room_asker_t *asker,
        const bt_room_waiter_t *waiter,
        const exclusion_t *exclusion,
        int32_t choices,
        int64_t now_ms,
        bt_identity_t *engine)
{
  const bt_route_request_t request = {
    .app = asker->apps[waiter->app].name,
    .account = "",
    .priority = waiter->request.priority,
    .excluded = exclusion->engines,
    .excluded_count = exclusion->count,
    .choices = choices,
    .seed = bt_next_random (&asker->random),
  };
  bt_route_t route;
  int64_t retry_after_ms;

  if (bt_choose_endpoint (asker->router, &request, now_ms, &route, &retry_after_ms)
      != BT_REASON_NONE)
    return false;
  *engine = route.identity;
  return true;
}

/** What came of looking for an engine. */
typedef enum found
{
  FOUND_NONE = 0,
  FOUND_RESERVED, /* an engine to ask */
  FOUND_SENT,     /* a request was sent by estimate */
} found_t;

/* Looks for the engine that the router prefers among those not excluded. One that is not reserved
 * gets the first request of the queue at once if the estimate says that it has capacity, and is
 * left out otherwise. */
static found_t
find_engine (bt_context_t *ctx,
             bt_room_asker_t *asker,
             const bt_room_waiter_t *waiter,
             exclusion_t *exclusion,
             int32_t choices,
             int64_t now_ms,
             bt_room_engine_t **engine)
{
  bt_identity_t identity;

  while (choose (asker, waiter, exclusion, choices, now_ms, &identity))
    {
      bt_endpoint_room_t room = { 0 };
      bt_room_engine_t *found = bt_find_name (asker->engine_index, identity.instance);

      if (found != NULL && found->reserved)
        {
          *engine = found;
          return FOUND_RESERVED;
        }
      bt_get_endpoint_room (asker->router, &identity, now_ms, &room);
      if (found != NULL && room.has_room
          && bt_send_first_queued (ctx, asker, found, 0, now_ms) != 0)
        return FOUND_SENT;
      if (exclusion->count == MAX_EXCLUDED)
        return FOUND_NONE;
      exclude (exclusion, &identity);
    }
  return FOUND_NONE;
}

/* Engines that this entry has asked have a load that is not known here yet: others go first. */
static void
exclude_asked (const bt_room_asker_t *asker, bool waiting, exclusion_t *exclusion)
{
  for (int32_t i = 0; i < asker->ask_count; i++)
    if (asker->asks[i].wait == waiting)
      exclude (exclusion, &asker->asks[i].engine->identity);
}

/* Leaves asks that wait at the engines with the least load of those that have denied. */
static void
wait_at_engines (bt_context_t *ctx,
                 bt_room_asker_t *asker,
                 bt_room_waiter_t *waiter,
                 int64_t now_ms)
{
  const bt_pending_ask_t kind = { .wait = true };
  bool used[BT_ROOM_MAX_DENIALS] = { false };

  for (int32_t n = 0; n < BT_ROOM_WAITING_ASKS; n++)
    {
      bt_room_engine_t *best_engine = NULL;
      int32_t best = -1;

      for (int32_t i = 0; i < waiter->denials; i++)
        {
          bt_room_engine_t *engine = bt_find_name (asker->engine_index, waiter->denied[i].instance);

          bt_endpoint_room_t room = { 0 };

          if (used[i] || engine == NULL || !engine->reserved
              || !bt_get_endpoint_room (asker->router, &engine->identity, now_ms, &room)
              || !room.usable || (best >= 0 && waiter->denied_load[i] >= waiter->denied_load[best]))
            continue;
          best = i;
          best_engine = engine;
        }
      if (best < 0)
        break;
      used[best] = true;
      place_ask (ctx, asker, waiter, best_engine, &kind, now_ms);
    }
  if (waiter->asks == 0)
    {
      waiter->denials = 0;
      waiter->next_ask_ms = now_ms + ASK_AGAIN_MS;
    }
}

/* Places the next ask of a request that has none. Returns true if a request was sent instead. */
static bool
ask_for (bt_context_t *ctx, bt_room_asker_t *asker, bt_room_waiter_t *waiter, int64_t now_ms)
{
  const bt_pending_ask_t kind = { 0 };
  exclusion_t denied = { .count = 0 };
  exclusion_t exclusion;
  bt_room_engine_t *engine = NULL;
  found_t found = FOUND_NONE;

  for (int32_t i = 0; i < waiter->denials; i++)
    exclude (&denied, &waiter->denied[i]);
  exclusion = denied;
  exclude_asked (asker, false, &exclusion);
  if (waiter->denials < BT_ROOM_MAX_DENIALS)
    found = find_engine (ctx, asker, waiter, &exclusion, CHOICES, now_ms, &engine);
  if (found == FOUND_NONE && waiter->denials < BT_ROOM_MAX_DENIALS)
    found = find_engine (ctx, asker, waiter, &denied, CHOICES, now_ms, &engine);
  if (found == FOUND_SENT)
    return true;
  if (found == FOUND_RESERVED)
    place_ask (ctx, asker, waiter, engine, &kind, now_ms);
  else if (waiter->denials > 0)
    wait_at_engines (ctx, asker, waiter, now_ms);
  else
    asker->apps[waiter->app].next_choice_ms = now_ms + CHOICE_MS;
  return false;
}

/* Returns the first request of an app that waits at engines and has not asked just now. */
static bt_room_waiter_t *
find_long_waiting (const bt_room_asker_t *asker, int32_t app, int64_t now_ms)
{
  for (int32_t i = 0; i < asker->waiter_count; i++)
    {
      bt_room_waiter_t *waiter = &asker->waiters[i];

      if (waiter->app == app && waiter->asks > 0 && now_ms - waiter->last_ask_ms >= PROBE_MS)
        return waiter;
    }
  return NULL;
}

/* Asks for a request that waits at engines at one where none waits. An idle engine, which would not
 * be noticed otherwise, goes before a random choice. Returns true if a request was sent. */
static bool
probe (bt_context_t *ctx, bt_room_asker_t *asker, int32_t index, int64_t now_ms)
{
  bt_room_app_t *app = &asker->apps[index];
  const bt_pending_ask_t kind = { .probe = true };
  exclusion_t exclusion = { .count = 0 };
  bt_endpoint_room_t room = { 0 };
  bt_room_engine_t *engine = NULL;
  bt_room_waiter_t *waiter;
  found_t found;

  if (!app->reserved || now_ms < app->next_probe_ms)
    return false;
  waiter = find_long_waiting (asker, index, now_ms);
  if (waiter == NULL)
    return false;
  app->next_probe_ms = now_ms + PROBE_MS;
  exclude_asked (asker, true, &exclusion);
  exclude_asked (asker, false, &exclusion);
  found = find_engine (ctx, asker, waiter, &exclusion, 0, now_ms, &engine);
  if (found == FOUND_RESERVED)
    bt_get_endpoint_room (asker->router, &engine->identity, now_ms, &room);
  if (found == FOUND_RESERVED && room.load > 0)
    found = find_engine (ctx, asker, waiter, &exclusion, CHOICES, now_ms, &engine);
  if (found == FOUND_RESERVED)
    place_ask (ctx, asker, waiter, engine, &kind, now_ms);
  return found == FOUND_SENT;
}

/* An agent that does not answer is not asked again before it has shown that it answers: it gets an
 * ask for no capacity, less and less often. */
static void
check_engine (bt_context_t *ctx, bt_room_asker_t *asker, bt_room_engine_t *engine, int64_t now_ms)
{
  bt_room_action_t *action;

  if (engine->reserved || !engine->linked || !asker->apps[engine->app].wanted
      || now_ms < engine->next_check_ms)
    return;
  engine->check_id = ++asker->last_id;
  engine->next_check_ms = now_ms + engine->check_interval_ms;
  if (engine->check_interval_ms < MAX_CHECK_INTERVAL_MS)
    engine->check_interval_ms *= 2;
  action = bt_add_room_action (ctx, asker, BT_ASKER_ASK, &engine->identity, engine->check_id);
  action->ask.id = engine->check_id;
  action->ask.burst = 1;
  action->ask.share = 1;
}

/* Asks that wait are not answered before there is capacity; an agent that hangs is noticed by the
 * next ask that must be answered at once. */
static void
expire_asks (bt_context_t *ctx, bt_room_asker_t *asker, int64_t now_ms)
{
  const int64_t stalled_ms = asker->advanced_ms > 0 ? now_ms - asker->advanced_ms : 0;

  for (int32_t i = 0; i < asker->ask_count && stalled_ms > STALL_MS; i++)
    asker->asks[i].sent_ms += stalled_ms;
  for (int32_t i = asker->ask_count - 1; i >= 0; i--)
    {
      bt_room_engine_t *engine;

      /* The end of one engine's asks removes several. */
      if (i >= asker->ask_count || asker->asks[i].wait
          || now_ms - asker->asks[i].sent_ms < BT_ROOM_ASK_TIMEOUT_MS)
        continue;
      engine = asker->asks[i].engine;
      bt_add_room_action (ctx, asker, BT_ASKER_UNANSWERED, &engine->identity, asker->asks[i].id);
      bt_set_engine_reserved (ctx, asker, engine, false, now_ms);
    }
}

static bool
may_ask (const bt_room_asker_t *asker, const bt_room_waiter_t *waiter, int64_t now_ms)
{
  const bt_room_app_t *app = &asker->apps[waiter->app];
  int32_t asks = 0;

  if (!app->reserved || waiter->asks > 0 || now_ms < waiter->next_ask_ms
      || (waiter->denials == 0 && now_ms < app->next_choice_ms))
    return false;
  for (int32_t i = 0; i < asker->ask_count && asks < MAX_APP_ASKS; i++)
    asks += asker->asks[i].engine->app == waiter->app
                    && asker->asks[i].priority >= waiter->request.priority
                ? 1
                : 0;
  return asks < MAX_APP_ASKS;
}

bool
bt_advance_room_asker (bt_context_t *ctx, bt_room_asker_t *asker, int64_t now_ms)
{
  expire_asks (ctx, asker, now_ms);
  asker->advanced_ms = now_ms;
  for (int32_t i = 0; i < asker->engine_count; i++)
    check_engine (ctx, asker, asker->engines[i], now_ms);
  for (int32_t i = 0; i < asker->waiter_count; i++)
    {
      bt_room_waiter_t *waiter = &asker->waiters[i];

      if (may_ask (asker, waiter, now_ms) && ask_for (ctx, asker, waiter, now_ms))
        return true;
    }
  for (int32_t i = 0; i < asker->app_count; i++)
    if (probe (ctx, asker, i, now_ms))
      return true;
  return false;
}
