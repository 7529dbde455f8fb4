#include "agent.h"

#include <stdio.h>
#include <string.h>

#include "agent_private.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/log.h"
#include "bilberrytray/base/random.h"
#include "messages.h"

enum
{
  LINK_HANDSHAKE_TIMEOUT_MS = 2000,
  MAX_UNSENT_BYTES = 16 << 20,
  RECORD_GRACE_MS = 1000,
};

static void
send_heartbeat_locked (bt_agent_t *agent, bt_link_t *link)
{
  Bilberry__Heartbeat heartbeat = BILBERRY__HEARTBEAT__INIT;
  Bilberry__Load load = BILBERRY__LOAD__INIT;
  bt_load_t run_load;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  heartbeat.now_ms = bt_now_ms (agent->ctx);
  heartbeat.leaving = agent->leaving;
  heartbeat.endpoint = (char *)agent->settings.endpoint;
  heartbeat.app = (char *)agent->settings.app;
  bt_get_run_load (agent->queue, &run_load);
  load.running = (uint32_t)run_load.running;
  load.queued = (uint32_t)run_load.queued;
  load.capacity = (uint32_t)run_load.slots;
  load.queue_limit = (uint32_t)run_load.queue_limit;
  load.service_ms = (uint32_t)run_load.service_ms;
  load.step_us = (uint32_t)agent->endpoint_load.step_us;
  heartbeat.load = &load;
  heartbeat.records = bt_count_arbiter_records (agent->arbiter);
  heartbeat.record_room = bt_count_arbiter_free_records (agent->arbiter);
  frame.body_case = BILBERRY__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  bt_send_frame (agent->ctx, link, &frame);
}

static void
send_heartbeat (bt_agent_t *agent, bt_link_t *link)
{
  pthread_mutex_lock (&agent->lock);
  send_heartbeat_locked (agent, link);
  pthread_mutex_unlock (&agent->lock);
}

static void
handle_dispatch (bt_agent_t *agent, bt_link_t *link, const Bilberry__Dispatch *frame)
{
  bt_arbiter_actions_t actions = { 0 };
  bt_dispatch_t dispatch = { 0 };
  int64_t now_ms;

  pthread_mutex_lock (&agent->lock);
  now_ms = bt_now_ms (agent->ctx);
  if (bt_read_dispatch (agent->ctx, agent->ticket_ring, link, frame, now_ms, &dispatch))
    {
      bt_handle_dispatch (agent->ctx, agent->arbiter, &dispatch, now_ms, &actions);
      bt_execute_arbiter_actions (agent, &actions, frame);
    }
  pthread_mutex_unlock (&agent->lock);
}

static void
handle_grant_request (bt_agent_t *agent, bt_link_t *link, const Bilberry__GrantRequest *frame)
{
  bt_arbiter_actions_t actions = { 0 };
  bt_grant_request_t request = { 0 };

  pthread_mutex_lock (&agent->lock);
  if (bt_read_grant_request (agent->ctx, agent->ticket_ring, link, frame, &request))
    {
      bt_handle_grant_request (agent->ctx, agent->arbiter, &request, bt_now_ms (agent->ctx),
                               &actions);
      bt_execute_arbiter_actions (agent, &actions, NULL);
    }
  pthread_mutex_unlock (&agent->lock);
}

static void
handle_tombstone_request (bt_agent_t *agent,
                          bt_link_t *link,
                          const Bilberry__TombstoneRequest *frame)
{
  bt_arbiter_actions_t actions = { 0 };
  bt_tombstone_request_t request = { 0 };

  pthread_mutex_lock (&agent->lock);
  if (bt_read_tombstone_request (agent->ctx, agent->ticket_ring, link, frame, &request))
    {
      bt_handle_tombstone_request (agent->ctx, agent->arbiter, &request, bt_now_ms (agent->ctx),
                                   &actions);
      bt_execute_arbiter_actions (agent, &actions, NULL);
    }
  pthread_mutex_unlock (&agent->lock);
}

static void
handle_cancel (bt_agent_t *agent, bt_link_t *link, const Bilberry__Cancel *cancel)
{
  bt_arbiter_actions_t actions = { 0 };
  bt_reply_path_t path = { bt_get_link_id (link), cancel->call, cancel->attempt };

  pthread_mutex_lock (&agent->lock);
  bt_handle_cancel (agent->ctx, agent->arbiter, &path, &actions);
  bt_execute_arbiter_actions (agent, &actions, NULL);
  pthread_mutex_unlock (&agent->lock);
}

static void
add_link (bt_agent_t *agent, bt_link_t *link)
{
  bt_agent_link_t *added = bt_calloc (agent->ctx, 1, sizeof *added);

  added->link = bt_keep_link (link);
  added->next = agent->links;
  agent->links = added;
}

static void
remove_link (bt_agent_t *agent, const bt_link_t *link)
{
  bt_agent_link_t **position = &agent->links;
  bt_agent_link_t *found;

  while (*position != NULL && (*position)->link != link)
    position = &(*position)->next;
  found = *position;
  if (found == NULL)
    return;
  *position = found->next;
  bt_drop_link (agent->ctx, found->link);
  bt_free (agent->ctx, found);
}

static void
on_link_up (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_agent_t *agent = (bt_agent_t *)handler;

  pthread_mutex_lock (&agent->lock);
  add_link (agent, link);
  pthread_mutex_unlock (&agent->lock);
  send_heartbeat (agent, link);
}

static void
on_link_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  bt_agent_t *agent = (bt_agent_t *)handler;

  if (frame->body_case == BILBERRY__FRAME__BODY_DISPATCH)
    handle_dispatch (agent, link, frame->dispatch);
  else if (frame->body_case == BILBERRY__FRAME__BODY_CANCEL)
    handle_cancel (agent, link, frame->cancel);
  else if (frame->body_case == BILBERRY__FRAME__BODY_GRANT_REQUEST)
    handle_grant_request (agent, link, frame->grant_request);
  else if (frame->body_case == BILBERRY__FRAME__BODY_TOMBSTONE_REQUEST)
    handle_tombstone_request (agent, link, frame->tombstone_request);
  else
    bt_handle_map_agent_frame (agent->map_agent, link, frame);
}

static void
on_link_down (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_agent_t *agent = (bt_agent_t *)handler;
  bt_arbiter_actions_t actions = { 0 };

  pthread_mutex_lock (&agent->lock);
  remove_link (agent, link);
  bt_handle_link_down (agent->ctx, agent->arbiter, bt_get_link_id (link), &actions);
  bt_execute_arbiter_actions (agent, &actions, NULL);
  pthread_mutex_unlock (&agent->lock);
  bt_log (agent->ctx, BT_LOG_INFO, BT_PART_LINK, "The link to %s is down.",
          bt_get_link_instance (link));
}

static void
on_heartbeat_due (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_agent_t *agent = (bt_agent_t *)handler;

  pthread_mutex_lock (&agent->lock);
  bt_start_queued_runs (agent);
  bt_tick_arbiter (agent->ctx, agent->arbiter, bt_now_ms (agent->ctx));
  pthread_mutex_unlock (&agent->lock);
  send_heartbeat (agent, link);
  bt_announce_map_agent (agent->map_agent, link);
}

static const bt_link_handler_vtable_t link_vtable = { on_link_up, on_link_frame, on_link_down,
                                                      on_heartbeat_due };

static void
fill_upstream_options (bt_agent_t *agent, bt_upstream_options_t *options)
{
  const bt_agent_settings_t *settings = &agent->settings;

  options->url = settings->endpoint_url;
  options->is_model = !settings->plain;
  options->connect_ms = settings->connect_ms;
  options->idle_ms = settings->endpoint_idle_ms;
  options->max_resumes = (int32_t)settings->resumes;
  options->load_ms = settings->load_ms;
  options->handler = &agent->upstream_handler;
}

static bool
start_links (bt_agent_t *agent, bt_error_t *error)
{
  const bt_agent_settings_t *settings = &agent->settings;
  bt_link_options_t options = { 0 };

  options.role = "agent";
  options.instance = settings->instance;
  options.incarnation = agent->incarnation;
  options.failure_domain = settings->failure_domain;
  options.address = settings->listen;
  options.secret = settings->secret;
  options.heartbeat_interval_ms = settings->beat_ms;
  options.idle_ms = settings->link_idle_ms;
  options.handshake_timeout_ms = LINK_HANDSHAKE_TIMEOUT_MS;
  options.max_frame_bytes = (size_t)settings->max_frame_bytes;
  options.max_unsent_bytes = MAX_UNSENT_BYTES;
  options.max_links = (int32_t)settings->max_links;
  options.handler = &agent->link_handler;
  agent->link_loop = bt_new_link_loop (agent->ctx, &options, error);
  if (agent->link_loop == NULL)
    return false;
  agent->port = bt_listen_links (agent->ctx, agent->link_loop, settings->listen, error);
  return agent->port >= 0;
}

static bool
start_map_agent (bt_agent_t *agent, bt_error_t *error)
{
  const bt_agent_settings_t *settings = &agent->settings;
  bt_map_agent_settings_t map_settings = { 0 };

  if (settings->group[0] == '\0')
    return true;
  if (settings->rank_url[0] == '\0' || settings->store_url[0] == '\0')
    return bt_set_error (error, BT_ERROR_USAGE, "--group needs --rank-url and --store-url.");
  map_settings.group = settings->group;
  map_settings.rank = settings->rank;
  map_settings.rank_url = settings->rank_url;
  map_settings.store_url = settings->store_url;
  map_settings.store_prefix = settings->map_prefix;
  map_settings.call_ms = settings->map_call_ms;
  map_settings.ask_ms = settings->map_ask_ms;
  map_settings.give_up_ms = settings->map_give_up_ms;
  agent->map_agent = bt_new_map_agent (agent->ctx, &map_settings, agent->incarnation, error);
  return agent->map_agent != NULL;
}

static bool
start_agent (bt_agent_t *agent, bt_error_t *error)
{
  bt_upstream_options_t options = { 0 };
  bt_error_t cancel_error = { 0 };
  int32_t cancelled;

  fill_upstream_options (agent, &options);
  /* An engine continues the runs of an agent that died. This agent does not know their keys, and
   * their callers were answered with "unknown". Unless cancelled, these runs would occupy slots
   * that this agent considers free. */
  if (!bt_cancel_orphaned_runs (agent->ctx, &options, &cancelled, &cancel_error))
    bt_log (agent->ctx, BT_LOG_WARNING, BT_PART_ENGINE,
            "Cannot cancel the runs of an earlier agent: %s", cancel_error.message);
  else if (cancelled > 0)
    bt_log (agent->ctx, BT_LOG_INFO, BT_PART_ENGINE, "Cancelled %d runs of an earlier agent.",
            cancelled);
  agent->upstream = bt_new_upstream (agent->ctx, &options, error);
  if (agent->upstream == NULL || !start_map_agent (agent, error) || !start_links (agent, error))
    return false;
  if (agent->settings.page[0] == '\0')
    return true;
  agent->page = bt_new_page (agent->ctx, agent->settings.page, NULL, NULL, error);
  return agent->page != NULL;
}

static void
create_arbiter (bt_agent_t *agent)
{
  const bt_agent_settings_t *settings = &agent->settings;
  bt_arbiter_options_t options = { 0 };

  bt_copy_name (options.self.instance, settings->instance);
  options.self.incarnation = agent->incarnation;
  options.max_records = (uint64_t)settings->max_records;
  options.tombstone_reserve = (uint64_t)settings->max_records;
  options.max_bytes = (uint64_t)settings->max_record_bytes;
  options.max_answer_bytes = (uint64_t)settings->max_answer_bytes;
  options.keep_answer_ms = settings->keep_answer_ms;
  options.grace_ms = RECORD_GRACE_MS;
  options.ticket_life_ms = settings->ticket_life_ms;
  options.retry_after_ms = settings->ticket_life_ms;
  agent->arbiter = bt_new_arbiter (agent->ctx, &options);
  agent->ticket_ring = bt_new_ticket_ring (agent->ctx);
  bt_derive_ticket_key (agent->ticket_ring, settings->secret);
}

bt_agent_t *
bt_new_agent (bt_context_t *ctx, const bt_agent_settings_t *settings, bt_error_t *error)
{
  bt_agent_t *agent = bt_calloc (ctx, 1, sizeof *agent);
  bt_run_queue_options_t options;

  agent->link_handler.vtable = &link_vtable;
  agent->upstream_handler.vtable = &bt_agent_upstream_vtable;
  agent->ctx = ctx;
  agent->settings = *settings;
  bt_fill_secure_random (&agent->incarnation, sizeof agent->incarnation);
  pthread_mutex_init (&agent->lock, NULL);
  bt_prepare_outcome_counters (ctx);
  create_arbiter (agent);
  bt_default_run_queue_options (&options);
  options.slots = (int32_t)settings->slots;
  options.queue_limit = (int32_t)settings->queue;
  agent->queue = bt_new_run_queue (ctx, &options);
  if (start_agent (agent, error))
    return agent;
  bt_drop_agent (ctx, agent);
  return NULL;
}

int32_t
bt_get_agent_port (const bt_agent_t *agent)
{
  return agent->port;
}

void
bt_drain_agent (bt_context_t *ctx, bt_agent_t *agent)
{
  pthread_mutex_lock (&agent->lock);
  agent->leaving = true;
  bt_set_run_queue_leaving (agent->queue, true);
  bt_set_arbiter_leaving (agent->arbiter, bt_now_ms (ctx));
  for (bt_agent_link_t *at = agent->links; at != NULL; at = at->next)
    send_heartbeat_locked (agent, at->link);
  pthread_mutex_unlock (&agent->lock);
  bt_log (
      ctx, BT_LOG_INFO, BT_PART_MAIN,
      "Draining: no new work is accepted; keys are arbitrated until their tickets have expired.");
}

bool
bt_is_agent_idle (bt_context_t *ctx, bt_agent_t *agent)
{
  bool idle;

  pthread_mutex_lock (&agent->lock);
  idle = agent->runs == NULL && bt_can_arbiter_exit (agent->arbiter, bt_now_ms (ctx));
  pthread_mutex_unlock (&agent->lock);
  return idle;
}

void
bt_drop_agent (bt_context_t *ctx, bt_agent_t *agent)
{
  if (agent == NULL)
    return;
  bt_drop_page (ctx, agent->page);
  bt_drop_upstream (ctx, agent->upstream);
  bt_drop_agent_runs (agent);
  bt_drop_link_loop (ctx, agent->link_loop);
  bt_drop_map_agent (ctx, agent->map_agent);
  while (agent->links != NULL)
    remove_link (agent, agent->links->link);
  bt_drop_run_queue (ctx, agent->queue);
  bt_drop_arbiter (ctx, agent->arbiter);
  bt_drop_ticket_ring (ctx, agent->ticket_ring);
  pthread_mutex_destroy (&agent->lock);
  bt_free (ctx, agent);
}
