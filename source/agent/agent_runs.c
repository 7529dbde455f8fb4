#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "agent_private.h"
#include "bilberrytray/base/log.h"
#include "messages.h"

enum
{
  MAX_SHARE = 1000,
  RUN_ID_BYTES = 64,
};

static bt_agent_t *
get_agent (bt_upstream_handler_t *handler)
{
  return (bt_agent_t *)((char *)handler - offsetof (bt_agent_t, upstream_handler));
}

static bt_agent_run_t *
find_run (bt_agent_t *agent, uint64_t number)
{
  for (bt_agent_run_t *run = agent->runs; run != NULL; run = run->next)
    if (run->number == number)
      return run;
  return NULL;
}

static void
remove_run (bt_agent_t *agent, bt_agent_run_t *run)
{
  bt_agent_run_t **position = &agent->runs;

  while (*position != run)
    position = &(*position)->next;
  *position = run->next;
  bt_drop_upstream_run (agent->ctx, run->pending);
  bt_free (agent->ctx, run);
}

void
bt_drop_agent_runs (bt_agent_t *agent)
{
  while (agent->runs != NULL)
    remove_run (agent, agent->runs);
}

static void
pass_run_event (bt_agent_t *agent, const bt_run_event_t *event)
{
  bt_arbiter_actions_t actions = { 0 };

  bt_handle_run_event (agent->ctx, agent->arbiter, event, bt_now_ms (agent->ctx), &actions);
  bt_execute_arbiter_actions (agent, &actions, NULL);
}

/* The endpoint has not received this run, so its key stays open and may run elsewhere. */
static void
refuse_run (bt_agent_t *agent, bt_agent_run_t *run, bt_reason_t reason, int64_t retry_after_ms)
{
  bt_run_event_t event = {
    .kind = BT_RUN_FAILED, .run = run->number, .reason = reason, .retry_after_ms = retry_after_ms
  };

  remove_run (agent, run);
  pass_run_event (agent, &event);
}

static void
start_run (bt_agent_t *agent, bt_agent_run_t *run)
{
  run->started_ms = bt_now_ms (agent->ctx);
  if (bt_start_upstream_run (agent->ctx, agent->upstream, run->pending))
    {
      run->pending = NULL;
      return;
    }
  bt_end_run (agent->queue, 0);
  refuse_run (agent, run, BT_REASON_ENDPOINT_FULL, 0);
}

static void
apply_run_decision (bt_agent_t *agent, bt_agent_run_t *run, const bt_run_decision_t *decision)
{
  if (decision->action == BT_RUN_START)
    start_run (agent, run);
  else if (decision->action == BT_RUN_REFUSED)
    refuse_run (agent, run, decision->reason, decision->retry_after_ms);
}

void
bt_start_queued_runs (bt_agent_t *agent)
{
  bt_run_decision_t decision;

  while (bt_next_run (agent->queue, bt_now_ms (agent->ctx), &decision))
    {
      bt_agent_run_t *run = find_run (agent, decision.id);

      if (run != NULL)
        apply_run_decision (agent, run, &decision);
    }
}

static bt_agent_run_t *
add_run (bt_agent_t *agent, uint64_t number, const Bilberry__Dispatch *dispatch)
{
  bt_header_t *headers = bt_calloc (agent->ctx, dispatch->n_headers, sizeof *headers);
  char run_id[RUN_ID_BYTES];
  bt_upstream_request_t request = { 0 };
  bt_agent_run_t *run = bt_calloc (agent->ctx, 1, sizeof *run);

  run->number = number;
  run->next = agent->runs;
  agent->runs = run;
  snprintf (run_id, sizeof run_id, "%016llx-%llu", (unsigned long long)agent->incarnation,
            (unsigned long long)number);
  for (size_t i = 0; i < dispatch->n_headers; i++)
    {
      headers[i].name = dispatch->headers[i]->name;
      headers[i].value = dispatch->headers[i]->value;
      request.header_count++;
    }
  request.run = number;
  request.run_id = run_id;
  request.method = dispatch->method;
  request.target = dispatch->path;
  request.headers = headers;
  request.body = dispatch->body.data;
  request.body_bytes = dispatch->body.len;
  request.priority = dispatch->priority;
  run->pending = bt_new_upstream_run (agent->ctx, agent->upstream, &request);
  bt_free (agent->ctx, headers);
  return run;
}

static void
offer_run (bt_agent_t *agent, uint64_t number, const Bilberry__Dispatch *dispatch)
{
  bt_run_request_t request = { 0 };
  bt_run_decision_t decision = { 0 };
  bt_agent_run_t *run = add_run (agent, number, dispatch);

  request.id = number;
  request.account = dispatch->account;
  request.share = dispatch->share > MAX_SHARE ? MAX_SHARE : (int32_t)dispatch->share;
  request.priority = dispatch->priority;
  request.deadline_left_ms = dispatch->deadline_left_ms;
  bt_offer_run (agent->ctx, agent->queue, &request, bt_now_ms (agent->ctx), &decision);
  apply_run_decision (agent, run, &decision);
  bt_start_queued_runs (agent);
}

static void
cancel_run (bt_agent_t *agent, uint64_t number)
{
  bt_agent_run_t *run = find_run (agent, number);

  if (run == NULL)
    return;
  if (bt_cancel_run (agent->queue, number))
    remove_run (agent, run);
  else
    bt_cancel_upstream_run (agent->ctx, agent->upstream, number);
}

/* A reply whose link is down is discarded; the entry asks again over its next link. */
static void
send_reply (bt_agent_t *agent, const bt_reply_t *reply)
{
  for (bt_agent_link_t *at = agent->links; at != NULL; at = at->next)
    if (bt_get_link_id (at->link) == reply->path.link)
      {
        bt_send_reply (agent->ctx, at->link, reply);
        return;
      }
}

void
bt_execute_arbiter_actions (bt_agent_t *agent,
                            bt_arbiter_actions_t *actions,
                            const Bilberry__Dispatch *frame)
{
  for (int32_t i = 0; i < actions->count; i++)
    {
      const bt_arbiter_action_t *action = &actions->items[i];

      switch (action->kind)
        {
        case BT_ARBITER_START_RUN:
          /* Only a dispatch starts a run, and then its frame is passed in. */
          if (frame != NULL)
            offer_run (agent, action->run, frame);
          break;
        case BT_ARBITER_CANCEL_RUN:
          cancel_run (agent, action->run);
          break;
        case BT_ARBITER_REPLY:
          send_reply (agent, &action->reply);
          break;
        case BT_ARBITER_RESUME_RUN:
          break; /* The upstream resumes streams itself and never reports a stream as resumable. */
        }
    }
  bt_free_arbiter_actions (agent->ctx, actions);
}

static void
on_run_head (bt_upstream_handler_t *handler,
             uint64_t number,
             int32_t status,
             const char *content_type)
{
  bt_agent_t *agent = get_agent (handler);
  bt_run_event_t event = { .kind = BT_RUN_HEAD,
                           .run = number,
                           .status = (uint32_t)status,
                           .data = content_type,
                           .data_bytes = strlen (content_type) + 1 };

  pthread_mutex_lock (&agent->lock);
  if (find_run (agent, number) != NULL)
    pass_run_event (agent, &event);
  pthread_mutex_unlock (&agent->lock);
}

static void
on_run_piece (bt_upstream_handler_t *handler, uint64_t number, const void *data, size_t bytes)
{
  bt_agent_t *agent = get_agent (handler);
  bt_run_event_t event = { .kind = BT_RUN_PIECE, .run = number, .data = data, .data_bytes = bytes };
  bt_agent_run_t *run;

  pthread_mutex_lock (&agent->lock);
  run = find_run (agent, number);
  if (run != NULL)
    {
      event.offset_bytes = run->total_bytes;
      run->total_bytes += bytes;
      pass_run_event (agent, &event);
    }
  pthread_mutex_unlock (&agent->lock);
}

static void
fill_end_event (bt_run_event_t *event, bt_upstream_result_t result)
{
  event->kind = BT_RUN_FAILED;
  event->may_have_run = true;
  event->reason = BT_REASON_ENGINE_FAILED;
  if (result == BT_UPSTREAM_COMPLETE)
    event->kind = BT_RUN_END;
  else if (result == BT_UPSTREAM_NOT_SENT)
    {
      event->may_have_run = false;
      event->reason = BT_REASON_ENGINE_UNREACHABLE;
    }
  else if (result == BT_UPSTREAM_SILENT)
    event->reason = BT_REASON_ENGINE_SILENT;
  else if (result == BT_UPSTREAM_CANCELLED)
    event->reason = BT_REASON_CANCELLED;
}

static void
on_run_end (bt_upstream_handler_t *handler, uint64_t number, bt_upstream_result_t result)
{
  bt_agent_t *agent = get_agent (handler);
  bt_run_event_t event = { .run = number };
  bt_agent_run_t *run;

  pthread_mutex_lock (&agent->lock);
  run = find_run (agent, number);
  if (run != NULL)
    {
      /* A failed run is not counted in the service time: runs that fail fast would make the
       * endpoint look fast. */
      bt_end_run (agent->queue,
                  result == BT_UPSTREAM_COMPLETE ? bt_now_ms (agent->ctx) - run->started_ms : 0);
      fill_end_event (&event, result);
      event.total_bytes = run->total_bytes;
      remove_run (agent, run);
      pass_run_event (agent, &event);
      bt_start_queued_runs (agent);
    }
  pthread_mutex_unlock (&agent->lock);
}

static void
on_load (bt_upstream_handler_t *handler, const bt_upstream_load_t *load)
{
  bt_agent_t *agent = get_agent (handler);

  pthread_mutex_lock (&agent->lock);
  agent->endpoint_load = *load;
  pthread_mutex_unlock (&agent->lock);
}

const bt_upstream_handler_vtable_t bt_agent_upstream_vtable = { on_run_head, on_run_piece,
                                                                on_run_end, on_load };
