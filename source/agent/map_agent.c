#include "map_agent.h"

#include <ck_pr.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/log.h"
#include "bilberrytray/base/thread.h"
#include "bilberrytray/maps/map_rank.h"
#include "bilberrytray/store/kv.h"
#include "map_engine.h"
#include "map_messages.h"

enum
{
  TICK_MS = 10,
  LOADS_INTERVAL_MS = 1000,
  KEY_BYTES = 256,
  SETTLE_MARGIN_MS = 100,
};

struct bt_map_agent
{
  bt_context_t *ctx;
  bt_map_agent_settings_t settings;
  bt_map_engine_t *engine;
  bt_kv_t *kv;
  pthread_t thread;
  bool started;
  int32_t stopping; /* also read by a call in progress */

  pthread_mutex_t lock; /* guards the members below; links are called while it is held */
  bt_map_rank_t *rank;
  bt_map_actions_t actions;
  bt_map_action_t call; /* the next call to the engine, valid while call_pending is set */
  bool call_pending;
  bool floor_wanted;
  bt_link_t **links;
  int32_t link_count;
  uint64_t map_digest; /* digest of the map received with the last order that carried one */
  bt_map_bytes_t map;
};

static void
count_refusal (bt_map_agent_t *agent, bt_map_refusal_t refusal)
{
  if (refusal == BT_MAP_ACCEPTED)
    return;
  bt_add_counter (bt_find_counter (agent->ctx, BT_COUNTER, "bilberry_map_refusals_total",
                                   "Orders about maps that this agent refused.", "reason",
                                   bt_name_map_refusal (refusal)),
                  1);
}

/* Messages go to every entry. The one that holds the lease recognizes reports on its own orders by
 * their numbers. */
static void
send_action (bt_map_agent_t *agent, const bt_map_action_t *action)
{
  const char *group = agent->settings.group;

  for (int32_t i = 0; i < agent->link_count; i++)
    {
      if (action->kind == BT_MAP_REPORT)
        bt_send_map_report (agent->ctx, agent->links[i], group, &action->report);
      else if (action->kind == BT_MAP_ASK)
        bt_send_map_ask (agent->ctx, agent->links[i], group, &action->ask);
      else if (action->kind == BT_MAP_TELL)
        bt_send_map_tell (agent->ctx, agent->links[i], group, &action->tell);
    }
}

/* Executes the pending actions. The lock must be held. */
static void
execute_actions (bt_map_agent_t *agent)
{
  for (int32_t i = 0; i < agent->actions.count; i++)
    {
      const bt_map_action_t *action = &agent->actions.items[i];

      if (action->kind == BT_MAP_ENGINE_ORDER)
        {
          agent->call = *action;
          agent->call_pending = true;
        }
      else if (action->kind == BT_MAP_READ_FLOOR)
        agent->floor_wanted = true;
      else
        send_action (agent, action);
      if (action->kind == BT_MAP_REPORT)
        count_refusal (agent, action->report.refusal);
    }
  agent->actions.count = 0;
}

static void
remove_closed_links (bt_map_agent_t *agent)
{
  for (int32_t i = 0; i < agent->link_count; i++)
    if (bt_is_link_closed (agent->links[i]))
      {
        bt_drop_link (agent->ctx, agent->links[i]);
        agent->links[i--] = agent->links[--agent->link_count];
      }
}

static void
add_link (bt_map_agent_t *agent, bt_link_t *link)
{
  remove_closed_links (agent);
  for (int32_t i = 0; i < agent->link_count; i++)
    if (agent->links[i] == link)
      return;
  agent->links =
      bt_realloc (agent->ctx, agent->links, (size_t)agent->link_count + 1, sizeof (bt_link_t *));
  agent->links[agent->link_count++] = bt_keep_link (link);
}

void
bt_announce_map_agent (bt_map_agent_t *agent, bt_link_t *link)
{
  bt_map_report_t report = { 0 };

  if (agent == NULL)
    return;
  pthread_mutex_lock (&agent->lock);
  add_link (agent, link);
  report.rank = (int32_t)agent->settings.rank;
  report.engine = *bt_get_map_rank_engine (agent->rank);
  bt_send_map_report (agent->ctx, link, agent->settings.group, &report);
  pthread_mutex_unlock (&agent->lock);
}

static bool
is_for_this_agent (const bt_map_agent_t *agent, const bt_frame_t *frame)
{
  const char *group = agent->settings.group;

  switch (frame->body_case)
    {
    case BILBERRY__FRAME__BODY_MAP_ORDER:
      return strcmp (frame->map_order->group, group) == 0
             && frame->map_order->rank == (uint64_t)agent->settings.rank;
    case BILBERRY__FRAME__BODY_MAP_ASK:
      return strcmp (frame->map_ask->group, group) == 0;
    case BILBERRY__FRAME__BODY_MAP_TELL:
      return frame->map_tell->ask != NULL && strcmp (frame->map_tell->ask->group, group) == 0;
    default:
      return false;
    }
}

/* Stores the map of a STAGE or JOIN order. An order whose bytes do not match its digest is corrupt
 * and is ignored. */
static bool
store_map (bt_map_agent_t *agent, const bt_map_order_t *order, const Bilberry__MapOrder *frame)
{
  bt_expert_map_t *map;
  bool valid;

  if (frame->map.len == 0)
    return true;
  map = bt_decode_expert_map (agent->ctx, frame->map.data, (uint32_t)frame->map.len, NULL);
  valid = map != NULL && bt_digest_expert_map (agent->ctx, map) == order->digest;
  bt_drop_expert_map (agent->ctx, map);
  if (!valid)
    return false;
  bt_free (agent->ctx, agent->map.data);
  agent->map.data = bt_memdup (agent->ctx, frame->map.data, frame->map.len);
  agent->map.bytes = (uint32_t)frame->map.len;
  agent->map_digest = order->digest;
  return true;
}

static void
handle_frame (bt_map_agent_t *agent, const bt_frame_t *frame)
{
  int64_t now_ms = bt_now_ms (agent->ctx);
  bt_map_order_t order = { 0 };
  bt_map_ask_t ask = { 0 };
  bt_map_tell_t tell = { 0 };

  if (frame->body_case == BILBERRY__FRAME__BODY_MAP_ASK)
    {
      bt_read_map_ask (frame->map_ask, &ask);
      bt_handle_map_ask (agent->ctx, agent->rank, &ask, now_ms, &agent->actions);
    }
  else if (frame->body_case == BILBERRY__FRAME__BODY_MAP_TELL)
    {
      bt_read_map_tell (frame->map_tell, &tell);
      bt_handle_map_tell (agent->ctx, agent->rank, &tell, now_ms, &agent->actions);
    }
  else if (bt_read_map_order (frame->map_order, &order)
           && store_map (agent, &order, frame->map_order))
    bt_handle_map_order (agent->ctx, agent->rank, &order, now_ms, &agent->actions);
}

void
bt_handle_map_agent_frame (bt_map_agent_t *agent, bt_link_t *link, const bt_frame_t *frame)
{
  if (agent == NULL || !is_for_this_agent (agent, frame))
    return;
  pthread_mutex_lock (&agent->lock);
  add_link (agent, link);
  handle_frame (agent, frame);
  execute_actions (agent);
  pthread_mutex_unlock (&agent->lock);
}

static void
call_engine (bt_map_agent_t *agent, const bt_map_action_t *call, const bt_map_bytes_t *map)
{
  bt_engine_state_t state = { 0 };
  bt_error_t error = { 0 };
  bool accepted = false;
  bool answered =
      bt_call_map_engine (agent->ctx, agent->engine, &call->order, map, &accepted, &state, &error);

  if (!answered)
    bt_log (agent->ctx, BT_LOG_WARNING, BT_PART_MAPS, "Order %s was not answered: %s",
            bt_name_map_order (call->order.kind), error.message);
  pthread_mutex_lock (&agent->lock);
  bt_handle_engine_answer (agent->ctx, agent->rank, call->call, accepted, answered ? &state : NULL,
                           bt_now_ms (agent->ctx), &agent->actions);
  execute_actions (agent);
  pthread_mutex_unlock (&agent->lock);
}

/* The fencing number of the newest controller is the revision at which it was granted its
 * lease. */
static void
read_fencing_floor (bt_map_agent_t *agent)
{
  bt_kv_range_t range = { 0 };
  bt_error_t error = { 0 };
  char key[KEY_BYTES];

  snprintf (key, sizeof key, "%s%s/fence", agent->settings.store_prefix, agent->settings.group);
  if (!bt_read_kv (agent->ctx, agent->kv, key, false, &range, &error))
    {
      bt_log (agent->ctx, BT_LOG_WARNING, BT_PART_MAPS, "Cannot read the fencing number yet: %s",
              error.message);
      return;
    }
  pthread_mutex_lock (&agent->lock);
  bt_handle_map_floor (agent->rank, range.count > 0 ? (uint64_t)range.pairs[0].mod_revision : 0);
  pthread_mutex_unlock (&agent->lock);
  bt_drop_kv_range (agent->ctx, &range);
}

/* Loads are used for planning only, so a failed reading just delays them until the next one. */
static void
report_loads (bt_map_agent_t *agent)
{
  bt_map_loads_t loads = { 0 };

  if (!bt_read_map_loads (agent->ctx, agent->engine, &loads))
    return;
  pthread_mutex_lock (&agent->lock);
  remove_closed_links (agent);
  for (int32_t i = 0; i < agent->link_count; i++)
    bt_send_map_loads (agent->ctx, agent->links[i], agent->settings.group, agent->settings.rank,
                       &loads);
  pthread_mutex_unlock (&agent->lock);
  bt_free (agent->ctx, loads.tokens);
}

/* Copies the map that belongs to the order being executed. The lock must be held. */
static void
copy_map (const bt_map_agent_t *agent, const bt_map_order_t *order, bt_map_bytes_t *map)
{
  if ((order->kind != BT_MAP_STAGE && order->kind != BT_MAP_JOIN)
      || agent->map_digest != order->digest || agent->map.bytes == 0)
    return;
  map->bytes = agent->map.bytes;
  map->data = bt_memdup (agent->ctx, agent->map.data, agent->map.bytes);
}

static void *
run_map_agent (void *data)
{
  bt_map_agent_t *agent = data;
  int64_t next_loads_ms = 0;

  while (ck_pr_load_int (&agent->stopping) == 0)
    {
      bt_map_action_t call;
      bt_map_bytes_t map = { 0 };
      bool call_pending;
      bool floor_wanted;

      pthread_mutex_lock (&agent->lock);
      bt_tick_map_rank (agent->ctx, agent->rank, bt_now_ms (agent->ctx), &agent->actions);
      execute_actions (agent);
      call = agent->call;
      call_pending = agent->call_pending;
      floor_wanted = agent->floor_wanted;
      agent->call_pending = agent->floor_wanted = false;
      if (call_pending)
        copy_map (agent, &call.order, &map);
      pthread_mutex_unlock (&agent->lock);
      if (call_pending)
        call_engine (agent, &call, &map);
      bt_free (agent->ctx, map.data);
      if (floor_wanted)
        read_fencing_floor (agent);
      if (!call_pending && bt_now_ms (agent->ctx) >= next_loads_ms)
        {
          next_loads_ms = bt_now_ms (agent->ctx) + LOADS_INTERVAL_MS;
          report_loads (agent);
        }
      if (!call_pending)
        bt_sleep_ms (TICK_MS);
    }
  return NULL;
}

static bt_map_rank_t *
create_rank (bt_map_agent_t *agent, uint64_t incarnation)
{
  const bt_map_agent_settings_t *settings = &agent->settings;
  bt_map_rank_settings_t rank = { 0 };

  rank.rank = (int32_t)settings->rank;
  rank.incarnation = incarnation;
  rank.settle_ms = settings->call_ms + SETTLE_MARGIN_MS;
  /* The thread ends a call before bt_map_rank_t abandons it, so no call is in progress at the
   * engine by then. */
  rank.call_limit_ms = settings->call_ms * 2;
  rank.ask_ms = settings->ask_ms;
  rank.give_up_ms = settings->give_up_ms;
  return bt_new_map_rank (agent->ctx, &rank, bt_now_ms (agent->ctx));
}

bt_map_agent_t *
bt_new_map_agent (bt_context_t *ctx,
                  const bt_map_agent_settings_t *settings,
                  uint64_t incarnation,
                  bt_error_t *error)
{
  bt_map_agent_t *agent = bt_calloc (ctx, 1, sizeof *agent);
  bt_kv_settings_t kv = bt_get_default_kv_settings (settings->store_url);

  agent->ctx = ctx;
  agent->settings = *settings;
  kv.seed = incarnation;
  kv.total_ms = settings->call_ms;
  pthread_mutex_init (&agent->lock, NULL);
  agent->kv = bt_new_etcd_kv (ctx, &kv);
  agent->engine = bt_new_map_engine (ctx, settings->rank_url, settings->call_ms, &agent->stopping);
  agent->rank = create_rank (agent, incarnation);
  agent->started = bt_start_thread (ctx, &agent->thread, "maps", run_map_agent, agent);
  if (agent->started)
    return agent;
  bt_set_error (error, BT_ERROR_SYSTEM, "Cannot start a thread: %s.", strerror (errno));
  bt_drop_map_agent (ctx, agent);
  return NULL;
}

void
bt_drop_map_agent (bt_context_t *ctx, bt_map_agent_t *agent)
{
  if (agent == NULL)
    return;
  ck_pr_store_int (&agent->stopping, 1);
  bt_cancel_kv (ctx, agent->kv);
  if (agent->started)
    pthread_join (agent->thread, NULL);
  for (int32_t i = 0; i < agent->link_count; i++)
    bt_drop_link (ctx, agent->links[i]);
  bt_free (ctx, agent->links);
  bt_free (ctx, agent->map.data);
  bt_drop_map_engine (ctx, agent->engine);
  bt_drop_kv (ctx, agent->kv);
  bt_drop_map_rank (ctx, agent->rank);
  bt_clear_map_actions (ctx, &agent->actions);
  pthread_mutex_destroy (&agent->lock);
  bt_free (ctx, agent);
}
