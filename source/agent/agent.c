#include "agent.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "answers.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/log.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/core/run_queue.h"
#include "bilberrytray/page/page.h"
#include "bilberrytray/wire/link.h"
#include "upstream.h"

enum
{
  OPENING_MS = 2000,
  MAX_UNSENT_BYTES = 16 << 20,
  MAX_HEADERS = 64,
  RUN_ID_BYTES = 64,
};

/** One run under way. */
typedef struct run
{
  uint64_t number;
  bt_link_t *link;
  bt_call_id_t id;
  uint64_t pieces;
  uint64_t total_bytes;
  bt_upstream_run_t *waiting; /**< Until it has a slot. */
  int64_t started_ms;         /**< 0 while it waits. */
  struct run *next;
} run_t;

struct bt_agent
{
  bt_link_handler_t links_base; /**< First, so that a handler is its agent. */
  bt_upstream_handler_t upstream_base;
  bt_context_t *ctx;
  bt_agent_settings_t settings;
  uint64_t incarnation;
  bt_link_loop_t *loop;
  bt_upstream_t *upstream;
  bt_page_t *page;
  int32_t port;

  pthread_mutex_t
      lock; /**< Guards what stands below. May be held while calling links or upstream. */
  bool leaving;
  run_t *runs;
  bt_run_queue_t *queue;
  uint64_t next_run;
  bt_upstream_load_t load;
};

static bt_agent_t *
agent_of_upstream (bt_upstream_handler_t *handler)
{
  return (bt_agent_t *)((char *)handler - offsetof (bt_agent_t, upstream_base));
}

static run_t *
find_run (bt_agent_t *agent, uint64_t number)
{
  for (run_t *run = agent->runs; run != NULL; run = run->next)
    if (run->number == number)
      return run;
  return NULL;
}

static void
remove_run (bt_agent_t *agent, run_t *run)
{
  run_t **place = &agent->runs;

  while (*place != run)
    place = &(*place)->next;
  *place = run->next;
  bt_drop_upstream_run (agent->ctx, run->waiting);
  bt_drop_link (agent->ctx, run->link);
  bt_free (agent->ctx, run);
}

static void
send_heartbeat (bt_agent_t *agent, bt_link_t *link)
{
  Bilberry__Heartbeat heartbeat = BILBERRY__HEARTBEAT__INIT;
  Bilberry__Load load = BILBERRY__LOAD__INIT;
  bt_load_t own;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  pthread_mutex_lock (&agent->lock);
  heartbeat.now_ms = bt_now_ms (agent->ctx);
  heartbeat.leaving = agent->leaving;
  heartbeat.endpoint = (char *)agent->settings.endpoint;
  heartbeat.app = (char *)agent->settings.app;
  bt_get_run_load (agent->queue, &own);
  load.running = (uint32_t)own.running;
  load.queued = (uint32_t)own.queued;
  load.capacity = (uint32_t)own.slots;
  load.queue_limit = (uint32_t)own.queue_limit;
  load.service_ms = (uint32_t)own.service_ms;
  load.step_us = (uint32_t)agent->load.step_us;
  heartbeat.load = &load;
  pthread_mutex_unlock (&agent->lock);
  frame.body_case = BILBERRY__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  bt_send_frame (agent->ctx, link, &frame);
}

static void
refuse_run_locked (bt_agent_t *agent, run_t *run, bt_reason_t reason, int64_t retry_after_ms)
{
  bt_count_refusal (agent->ctx, reason);
  bt_send_refused (agent->ctx, run->link, run->id, reason, bt_get_reason_outcome (reason),
                   retry_after_ms);
  remove_run (agent, run);
}

static void
start_run_locked (bt_agent_t *agent, run_t *run)
{
  run->started_ms = bt_now_ms (agent->ctx);
  if (bt_start_upstream_run (agent->ctx, agent->upstream, run->waiting))
    {
      run->waiting = NULL;
      return;
    }
  bt_end_run (agent->queue, 0);
  refuse_run_locked (agent, run, BT_REASON_ENDPOINT_FULL, 0);
}

static void
apply_run_decision_locked (bt_agent_t *agent, run_t *run, const bt_run_decision_t *decision)
{
  if (decision->action == BT_RUN_START)
    start_run_locked (agent, run);
  else if (decision->action == BT_RUN_REFUSED)
    refuse_run_locked (agent, run, decision->reason, decision->retry_after_ms);
}

static void
start_waiting_locked (bt_agent_t *agent)
{
  bt_run_decision_t decision;

  while (bt_next_run (agent->queue, bt_now_ms (agent->ctx), &decision))
    {
      run_t *run = find_run (agent, decision.id);

      if (run != NULL)
        apply_run_decision_locked (agent, run, &decision);
    }
}

static run_t *
add_run_locked (bt_agent_t *agent, bt_link_t *link, const Bilberry__Dispatch *dispatch)
{
  bt_header_t headers[MAX_HEADERS];
  char run_id[RUN_ID_BYTES];
  bt_upstream_request_t request = { 0 };
  run_t *run = bt_calloc (agent->ctx, 1, sizeof *run);

  run->number = ++agent->next_run;
  run->link = bt_keep_link (link);
  run->id.call = dispatch->call;
  run->id.attempt = dispatch->attempt;
  run->next = agent->runs;
  agent->runs = run;
  snprintf (run_id, sizeof run_id, "%016llx-%llu", (unsigned long long)agent->incarnation,
            (unsigned long long)run->number);
  for (size_t i = 0; i < dispatch->n_headers && i < MAX_HEADERS; i++)
    {
      headers[i].name = dispatch->headers[i]->name;
      headers[i].value = dispatch->headers[i]->value;
      request.header_count++;
    }
  request.run = run->number;
  request.run_id = run_id;
  request.method = dispatch->method;
  request.path = dispatch->path;
  request.headers = headers;
  request.body = dispatch->body.data;
  request.body_bytes = dispatch->body.len;
  request.priority = dispatch->priority;
  run->waiting = bt_new_upstream_run (agent->ctx, agent->upstream, &request);
  return run;
}

static void
take_dispatch (bt_agent_t *agent, bt_link_t *link, const Bilberry__Dispatch *dispatch)
{
  bt_run_request_t request = { 0 };
  bt_run_decision_t decision = { 0 };
  run_t *run;

  pthread_mutex_lock (&agent->lock);
  run = add_run_locked (agent, link, dispatch);
  if (strcmp (dispatch->target_instance, agent->settings.instance) != 0
      || dispatch->target_incarnation != agent->incarnation)
    refuse_run_locked (agent, run, BT_REASON_WRONG_INSTANCE, 0);
  else
    {
      request.id = run->number;
      request.account = dispatch->account;
      request.priority = dispatch->priority;
      request.deadline_left_ms = dispatch->deadline_left_ms;
      bt_send_accepted (agent->ctx, link, run->id, false);
      bt_offer_run (agent->ctx, agent->queue, &request, bt_now_ms (agent->ctx), &decision);
      apply_run_decision_locked (agent, run, &decision);
      start_waiting_locked (agent);
    }
  pthread_mutex_unlock (&agent->lock);
}

static void
cancel_run_locked (bt_agent_t *agent, run_t *run)
{
  if (bt_cancel_run (agent->queue, run->number))
    remove_run (agent, run);
  else
    bt_cancel_upstream (agent->ctx, agent->upstream, run->number);
}

static void
take_cancel (bt_agent_t *agent, bt_link_t *link, const Bilberry__Cancel *cancel)
{
  pthread_mutex_lock (&agent->lock);
  for (run_t *run = agent->runs; run != NULL; run = run->next)
    if (run->link == link && run->id.call == cancel->call && run->id.attempt == cancel->attempt)
      {
        cancel_run_locked (agent, run);
        break;
      }
  pthread_mutex_unlock (&agent->lock);
}

static void
on_link_up (bt_link_handler_t *handler, bt_link_t *link)
{
  send_heartbeat ((bt_agent_t *)handler, link);
}

static void
on_link_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  bt_agent_t *agent = (bt_agent_t *)handler;

  if (frame->body_case == BILBERRY__FRAME__BODY_DISPATCH)
    take_dispatch (agent, link, frame->dispatch);
  else if (frame->body_case == BILBERRY__FRAME__BODY_CANCEL)
    take_cancel (agent, link, frame->cancel);
}

static void
on_link_down (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_agent_t *agent = (bt_agent_t *)handler;

  bt_log (agent->ctx, BT_LOG_INFO, BT_PART_LINK, "The link to %s is down.",
          bt_get_link_instance (link));
}

static void
on_link_beat (bt_link_handler_t *handler, bt_link_t *link)
{
  bt_agent_t *agent = (bt_agent_t *)handler;

  pthread_mutex_lock (&agent->lock);
  start_waiting_locked (agent);
  pthread_mutex_unlock (&agent->lock);
  send_heartbeat (agent, link);
}

static const bt_link_handler_vtable_t link_vtable = { on_link_up, on_link_frame, on_link_down,
                                                      on_link_beat };

static void
on_run_head (bt_upstream_handler_t *handler,
             uint64_t number,
             int32_t status,
             const char *content_type)
{
  bt_agent_t *agent = agent_of_upstream (handler);
  run_t *run;

  pthread_mutex_lock (&agent->lock);
  run = find_run (agent, number);
  if (run != NULL)
    bt_send_head (agent->ctx, run->link, run->id, status, content_type);
  pthread_mutex_unlock (&agent->lock);
}

static void
on_run_piece (bt_upstream_handler_t *handler, uint64_t number, const void *data, size_t bytes)
{
  bt_agent_t *agent = agent_of_upstream (handler);
  run_t *run;

  pthread_mutex_lock (&agent->lock);
  run = find_run (agent, number);
  if (run != NULL)
    {
      bt_send_piece (agent->ctx, run->link, run->id, run->pieces, data, bytes);
      run->pieces++;
      run->total_bytes += bytes;
    }
  pthread_mutex_unlock (&agent->lock);
}

static void
end_run_locked (bt_agent_t *agent, run_t *run, bt_upstream_result_t result)
{
  bt_reason_t reason = BT_REASON_ENGINE_FAILED;

  if (result == BT_UPSTREAM_WHOLE)
    {
      bt_send_end (agent->ctx, run->link, run->id, run->pieces, run->total_bytes);
      return;
    }
  if (result == BT_UPSTREAM_NOT_SENT)
    reason = BT_REASON_ENGINE_UNREACHABLE;
  else if (result == BT_UPSTREAM_SILENT)
    reason = BT_REASON_ENGINE_SILENT;
  else if (result == BT_UPSTREAM_CANCELLED)
    reason = BT_REASON_CANCELLED;
  bt_count_refusal (agent->ctx, reason);
  bt_send_refused (agent->ctx, run->link, run->id, reason, bt_get_reason_outcome (reason), 0);
}

static void
on_run_end (bt_upstream_handler_t *handler, uint64_t number, bt_upstream_result_t result)
{
  bt_agent_t *agent = agent_of_upstream (handler);
  run_t *run;

  pthread_mutex_lock (&agent->lock);
  run = find_run (agent, number);
  if (run != NULL)
    {
      bt_end_run (agent->queue,
                  result == BT_UPSTREAM_CANCELLED ? 0 : bt_now_ms (agent->ctx) - run->started_ms);
      end_run_locked (agent, run, result);
      remove_run (agent, run);
      start_waiting_locked (agent);
    }
  pthread_mutex_unlock (&agent->lock);
}

static void
on_load (bt_upstream_handler_t *handler, const bt_upstream_load_t *load)
{
  bt_agent_t *agent = agent_of_upstream (handler);

  pthread_mutex_lock (&agent->lock);
  agent->load = *load;
  pthread_mutex_unlock (&agent->lock);
}

static const bt_upstream_handler_vtable_t upstream_vtable = { on_run_head, on_run_piece, on_run_end,
                                                              on_load };

static void
fill_upstream_options (bt_agent_t *agent, bt_upstream_options_t *options)
{
  const bt_agent_settings_t *settings = &agent->settings;

  options->url = settings->endpoint_url;
  options->model = !settings->plain;
  options->connect_ms = settings->connect_ms;
  options->idle_ms = settings->endpoint_idle_ms;
  options->resumes = (int32_t)settings->resumes;
  options->load_ms = settings->load_ms;
  options->handler = &agent->upstream_base;
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
  options.beat_ms = settings->beat_ms;
  options.idle_ms = settings->link_idle_ms;
  options.opening_ms = OPENING_MS;
  options.max_frame_bytes = (size_t)settings->max_frame_bytes;
  options.max_unsent_bytes = MAX_UNSENT_BYTES;
  options.max_links = (int32_t)settings->max_links;
  options.handler = &agent->links_base;
  agent->loop = bt_new_link_loop (agent->ctx, &options, error);
  if (agent->loop == NULL)
    return false;
  agent->port = bt_listen_links (agent->ctx, agent->loop, settings->listen, error);
  return agent->port >= 0;
}

static bool
start_agent (bt_agent_t *agent, bt_error_t *error)
{
  bt_upstream_options_t options = { 0 };
  bt_error_t clear_error = { 0 };
  int32_t cancelled;

  fill_upstream_options (agent, &options);
  /* An engine goes on with the runs of an agent that died. This agent does not know their keys, and
   * their callers were told "unknown"; left alone they would hold slots that it believes free. */
  if (!bt_clear_upstream_runs (agent->ctx, &options, &cancelled, &clear_error))
    bt_log (agent->ctx, BT_LOG_WARNING, BT_PART_ENGINE, "Can't list earlier runs: %s",
            clear_error.message);
  else if (cancelled > 0)
    bt_log (agent->ctx, BT_LOG_INFO, BT_PART_ENGINE, "Cancelled %d runs of an earlier agent.",
            cancelled);
  agent->upstream = bt_new_upstream (agent->ctx, &options, error);
  if (agent->upstream == NULL || !start_links (agent, error))
    return false;
  if (agent->settings.page[0] == '\0')
    return true;
  agent->page = bt_new_page (agent->ctx, agent->settings.page, NULL, NULL, error);
  return agent->page != NULL;
}

bt_agent_t *
bt_new_agent (bt_context_t *ctx, const bt_agent_settings_t *settings, bt_error_t *error)
{
  bt_agent_t *agent = bt_calloc (ctx, 1, sizeof *agent);
  bt_run_queue_options_t options;

  agent->links_base.vtable = &link_vtable;
  agent->upstream_base.vtable = &upstream_vtable;
  agent->ctx = ctx;
  agent->settings = *settings;
  bt_fill_secure_random (&agent->incarnation, sizeof agent->incarnation);
  pthread_mutex_init (&agent->lock, NULL);
  bt_prepare_outcome_counters (ctx);
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
bt_leave_agent (bt_context_t *ctx, bt_agent_t *agent)
{
  pthread_mutex_lock (&agent->lock);
  agent->leaving = true;
  bt_set_run_queue_leaving (agent->queue, true);
  pthread_mutex_unlock (&agent->lock);
  bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN, "Leaving: no new work is taken.");
}

bool
bt_is_agent_idle (bt_context_t *ctx, bt_agent_t *agent)
{
  bool idle;

  pthread_mutex_lock (&agent->lock);
  idle = agent->runs == NULL;
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
  while (agent->runs != NULL)
    remove_run (agent, agent->runs);
  bt_drop_link_loop (ctx, agent->loop);
  bt_drop_run_queue (ctx, agent->queue);
  pthread_mutex_destroy (&agent->lock);
  bt_free (ctx, agent);
}
