#ifndef BT_TEST_CORE_REQUEST_PROCESSES_H
#define BT_TEST_CORE_REQUEST_PROCESSES_H

/** @file
 * The simulated entry instances, agents and endpoints of the request schedules, and their events.
 */

#include "request_simulation.h"

static void
start_agent (simulation_t *sim, int32_t agent)
{
  agent_t *state = &sim->agents[agent];
  bool small_table = chance (sim, 20);
  bt_arbiter_options_t options = {
    .max_records = small_table ? 2 : 100,
    .tombstone_reserve = small_table ? 1 : 100,
    .max_bytes = 1 << 20,
    .max_answer_bytes = chance (sim, 20) ? 20 : 10000,
    .keep_answer_ms = chance (sim, 20) ? 50 : 5000,
    .grace_ms = 100,
    .ticket_life_ms = TICKET_LIFE_MS,
    .retry_after_ms = 100,
    .max_resumes = 2,
    .faults = sim->faults,
  };

  bt_drop_arbiter (sim->ctx, state->arbiter);
  snprintf (state->self.instance, sizeof state->self.instance, "agent-%d", agent);
  state->self.incarnation = ++sim->last_incarnation;
  options.self = state->self;
  state->arbiter = bt_new_arbiter (sim->ctx, &options);
  state->clock_offset = pick (sim, CLOCK_SPREAD_MS);
}

static void
open_link (simulation_t *sim, int32_t entry, int32_t agent)
{
  entry_t *state = &sim->entries[entry];

  state->links[agent] = ++sim->last_link * ENTRIES + (uint64_t)entry;
  state->incarnations[agent] = sim->agents[agent].self.incarnation;
}

static void
step_delivery (simulation_t *sim, submission_t *submission, const bt_delivery_event_t *event);

static void
answer_candidate (simulation_t *sim, submission_t *submission, const bt_delivery_action_t *action)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_NO_CANDIDATE, .reason = BT_REASON_NO_ENDPOINT };
  int32_t first = pick (sim, AGENTS);

  for (int32_t i = 0; i < AGENTS && !chance (sim, 5); i++)
    {
      int32_t agent = (first + i) % AGENTS;
      bool excluded = sim->entries[submission->entry].links[agent] == 0;

      event.identity = sim->agents[agent].self;
      event.identity.incarnation = sim->entries[submission->entry].incarnations[agent];
      for (int32_t k = 0; k < action->excluded_count; k++)
        excluded = excluded || bt_same_identity (&action->excluded[k], &event.identity);
      if (excluded)
        continue;
      event.kind = BT_DELIVERY_CANDIDATE;
      event.grant_expires_ms = agent_now (sim, agent) + TICKET_LIFE_MS - pick (sim, 500);
      break;
    }
  step_delivery (sim, submission, &event);
}

static int32_t
find_agent (const bt_identity_t *identity)
{
  return identity->instance[strlen ("agent-")] - '0';
}

static void
send_action (simulation_t *sim, submission_t *submission, const bt_delivery_action_t *action)
{
  entry_t *entry = &sim->entries[submission->entry];
  int32_t agent = find_agent (&action->identity);
  bt_delivery_event_t sent = { .kind = BT_DELIVERY_SENT };
  bt_delivery_event_t up = { .kind = BT_DELIVERY_LINK_UP, .identity = action->identity };
  bool same = entry->incarnations[agent] == action->identity.incarnation
              || (sim->faults & BT_FAULT_NO_INCARNATION) != 0;
  event_t *event;

  up.identity.incarnation = entry->incarnations[agent];
  if (entry->links[agent] == 0 || !same)
    {
      step_delivery (sim, submission, &sent);
      if (entry->links[agent] != 0)
        step_delivery (sim, submission, &up);
      return;
    }
  sent.link = entry->links[agent];
  event = add_event (sim, (event_kind_t)(action->kind - BT_DELIVERY_SEND_DISPATCH), 0);
  event->agent = agent;
  event->entry = submission->entry;
  event->link = sent.link;
  event->dispatch = action->dispatch;
  event->dispatch.path.link = sent.link;
  event->dispatch.sender_now_ms = entry_now (sim, submission->entry);
  event->grant_request = action->grant_request;
  event->grant_request.path.link = sent.link;
  event->tombstone_request = action->tombstone_request;
  event->tombstone_request.path.link = sent.link;
  send_message (sim, event, sim->requests[submission->request].keyed);
  step_delivery (sim, submission, &sent);
}

static void
finish (simulation_t *sim, submission_t *submission, const bt_delivery_action_t *action)
{
  submission->finished = true;
  submission->complete = action->kind == BT_DELIVERY_FINISH_COMPLETE;
  submission->aborted = action->kind == BT_DELIVERY_ABORT;
  submission->outcome = submission->complete ? BT_OUTCOME_ANSWERED : action->outcome;
  submission->reason = action->reason;
  if (action->kind == BT_DELIVERY_FINISH_REFUSED
      && (action->reason == BT_REASON_NONE || action->outcome == BT_OUTCOME_ANSWERED))
    snprintf (sim->violation, sizeof sim->violation, "a refusal without a reason");
  if (action->outcome == BT_OUTCOME_NOT_RUN
      && bt_get_reason_outcome (action->reason) != BT_OUTCOME_NOT_RUN)
    snprintf (sim->violation, sizeof sim->violation, "%s told as not-run",
              bt_name_reason (action->reason));
}

static void
execute_action (simulation_t *sim, submission_t *submission, const bt_delivery_action_t *action)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_BUDGET };
  size_t used = strlen (submission->text);

  switch (action->kind)
    {
    case BT_DELIVERY_ASK_CANDIDATE:
      answer_candidate (sim, submission, action);
      break;
    case BT_DELIVERY_ASK_BUDGET:
      event.allowed = submission->retries++ < MAX_BUDGET;
      step_delivery (sim, submission, &event);
      break;
    case BT_DELIVERY_SEND_DISPATCH:
    case BT_DELIVERY_SEND_GRANT:
    case BT_DELIVERY_SEND_TOMBSTONE:
      send_action (sim, submission, action);
      break;
    case BT_DELIVERY_SEND_CANCEL:
      for (int32_t i = 0; i < AGENTS; i++)
        if (sim->entries[submission->entry].links[i] == action->path.link)
          {
            event_t *cancel = add_event (sim, TO_AGENT_CANCEL, 0);

            cancel->agent = i;
            cancel->entry = submission->entry;
            cancel->path = action->path;
            send_message (sim, cancel, true);
          }
      break;
    case BT_DELIVERY_FORWARD_HEAD:
    case BT_DELIVERY_FORWARD_PIECE:
      snprintf (submission->text + used, MAX_TEXT - used, "%.*s", (int)action->data_bytes,
                (const char *)action->data);
      break;
    default:
      finish (sim, submission, action);
      break;
    }
}

static void
step_delivery (simulation_t *sim, submission_t *submission, const bt_delivery_event_t *event)
{
  bt_delivery_actions_t actions = { 0 };

  if (submission->call == NULL)
    return;
  bt_handle_delivery_event (sim->ctx, submission->call, event, entry_now (sim, submission->entry),
                            &actions);
  for (int32_t i = 0; i < actions.count; i++)
    execute_action (sim, submission, &actions.items[i]);
  bt_free_delivery_actions (sim->ctx, &actions);
}

static void
handle_submission (simulation_t *sim, event_t *cause)
{
  submission_t *submission = &sim->submissions[cause->index];
  request_t *request = &sim->requests[submission->request];
  bt_delivery_event_t event = { .kind = BT_DELIVERY_SUBMIT };
  bt_delivery_options_t options = {
    .call = ++sim->entries[submission->entry].last_call,
    .has_ticket = request->keyed,
    .ticket = request->ticket,
    .idempotent = request->idempotent,
    .body_digest = (uint64_t)submission->request,
    .deadline_ms = entry_now (sim, submission->entry) + DEADLINE_MS,
    .give_up_margin_ms = 200,
    .reply_limit_ms = 150,
    .reconnect_limit_ms = 300,
    .retry_after_ms = 100,
    .max_resends = 2,
    .max_followed_grants = 4,
    .faults = sim->faults,
  };

  submission->call_id = options.call;
  submission->call = bt_new_delivery (sim->ctx, &options);
  step_delivery (sim, submission, &event);
}

static int32_t
write_piece (char *text, int32_t request, int32_t generation, int32_t piece)
{
  return snprintf (text, PIECE_TEXT, "%d.%d.%d;", request, generation, piece);
}

/* Schedules the events of an endpoint's answer from a byte offset on. The text differs for each run
 * of a request. */
static void
stream_answer (simulation_t *sim, int32_t run_index, uint64_t from_bytes)
{
  run_t *run = &sim->runs[run_index];
  request_t *request = &sim->requests[run->request];
  uint64_t offset = 0;
  int64_t at = 1;
  bool breaks = chance (sim, 15);
  int32_t break_at = pick (sim, request->pieces + 1);
  bool fails = chance (sim, 40);
  event_t *event = add_event (sim, RUN_EVENT, at);

  event->run_event.kind = BT_RUN_HEAD;
  event->run_event.status = 200;
  event->index = run_index;
  for (int32_t i = 0; i <= request->pieces; i++)
    {
      at += 1 + pick (sim, chance (sim, 10) ? 200 : 20);
      event = add_event (sim, RUN_EVENT, at);
      event->index = run_index;
      event->run_event.resumable = chance (sim, 80);
      event->run_event.may_have_run = true;
      event->run_event.reason = BT_REASON_ENGINE_FAILED;
      if (breaks && i == break_at)
        {
          event->run_event.kind = fails ? BT_RUN_FAILED : BT_RUN_SILENT;
          return;
        }
      if (i == request->pieces)
        break;
      event->run_event.kind = BT_RUN_PIECE;
      event->run_event.offset_bytes = offset;
      event->run_event.data_bytes =
          (uint64_t)write_piece (event->data, run->request, run->generation, i);
      offset += event->run_event.data_bytes;
      if (offset <= from_bytes)
        event->run_event.data_bytes = 0;
    }
  event->run_event.kind = BT_RUN_END;
  event->run_event.total_bytes = offset;
}

static void
handle_run_begin (simulation_t *sim, event_t *event)
{
  run_t *run = &sim->runs[event->index];

  if (run->cancelled)
    return;
  run->generation = ++sim->requests[run->request].runs;
  stream_answer (sim, event->index, 0);
}

static void
start_run (simulation_t *sim, int32_t agent, const bt_arbiter_action_t *action)
{
  run_t *run = &sim->runs[sim->run_count];
  event_t *event;

  if (sim->run_count == MAX_RUNS)
    abort ();
  run->agent = agent;
  run->incarnation = sim->agents[agent].self.incarnation;
  run->id = action->run;
  run->request = (int32_t)action->dispatch->body_digest;
  event = add_event (sim, RUN_BEGINS, 1 + pick (sim, chance (sim, 10) ? 300 : 5));
  event->index = sim->run_count++;
  if (chance (sim, 90))
    return;
  event->kind = RUN_EVENT;
  event->run_event.kind = BT_RUN_FAILED;
  event->run_event.may_have_run = chance (sim, 50);
  event->run_event.reason =
      event->run_event.may_have_run ? BT_REASON_ENGINE_FAILED : BT_REASON_ENGINE_UNREACHABLE;
}

static run_t *
find_simulated_run (simulation_t *sim, int32_t agent, uint64_t id)
{
  for (int32_t i = 0; i < sim->run_count; i++)
    if (sim->runs[i].agent == agent && sim->runs[i].id == id
        && sim->runs[i].incarnation == sim->agents[agent].self.incarnation)
      return &sim->runs[i];
  abort ();
}

static void
post_reply (simulation_t *sim, int32_t agent, const bt_reply_t *reply)
{
  event_t *event = add_event (sim, TO_ENTRY, 0);

  event->agent = agent;
  event->entry = (int32_t)(reply->path.link % ENTRIES);
  event->reply = *reply;
  if (reply->data_bytes > 0)
    memcpy (event->data, reply->data, reply->data_bytes);
  send_message (sim, event, true);
}

static void
execute_arbiter_actions (simulation_t *sim, int32_t agent, bt_arbiter_actions_t *actions)
{
  for (int32_t i = 0; i < actions->count; i++)
    {
      const bt_arbiter_action_t *action = &actions->items[i];

      if (action->kind == BT_ARBITER_START_RUN)
        start_run (sim, agent, action);
      else if (action->kind == BT_ARBITER_RESUME_RUN)
        stream_answer (sim, (int32_t)(find_simulated_run (sim, agent, action->run) - sim->runs),
                       action->from_bytes);
      else if (action->kind == BT_ARBITER_CANCEL_RUN)
        find_simulated_run (sim, agent, action->run)->cancelled = true;
      else
        post_reply (sim, agent, &action->reply);
    }
  bt_free_arbiter_actions (sim->ctx, actions);
}

static void
handle_agent_event (simulation_t *sim, event_t *event)
{
  int32_t agent = event->kind == RUN_EVENT ? sim->runs[event->index].agent : event->agent;
  agent_t *state = &sim->agents[agent];
  int64_t now_ms = agent_now (sim, agent);
  bt_arbiter_actions_t actions = { 0 };

  if (event->kind == RUN_EVENT && sim->runs[event->index].incarnation != state->self.incarnation)
    return;
  event->dispatch.admission = chance (sim, 10) ? BT_REASON_ENDPOINT_FULL : BT_REASON_NONE;
  event->dispatch.deadline_ms = now_ms + DEADLINE_MS;
  event->run_event.run = sim->runs[event->index].id;
  event->run_event.data = event->data;
  if (event->kind == TO_AGENT_DISPATCH)
    bt_handle_dispatch (sim->ctx, state->arbiter, &event->dispatch, now_ms, &actions);
  else if (event->kind == TO_AGENT_GRANT)
    bt_handle_grant_request (sim->ctx, state->arbiter, &event->grant_request, now_ms, &actions);
  else if (event->kind == TO_AGENT_TOMBSTONE)
    bt_handle_tombstone_request (sim->ctx, state->arbiter, &event->tombstone_request, now_ms,
                                 &actions);
  else if (event->kind == TO_AGENT_CANCEL)
    bt_handle_cancel (sim->ctx, state->arbiter, &event->path, &actions);
  else if (event->kind == LINK_DOWN_AT_AGENT)
    bt_handle_link_down (sim->ctx, state->arbiter, event->link, &actions);
  else if (event->kind == AGENT_LEAVES)
    bt_set_arbiter_leaving (state->arbiter, now_ms);
  else
    bt_handle_run_event (sim->ctx, state->arbiter, &event->run_event, now_ms, &actions);
  execute_arbiter_actions (sim, agent, &actions);
}

/* Passes a reply to all calls with its call id, whatever its link and attempt, so that only the
 * delivery's own check rejects replies to other messages. */
static void
handle_entry_reply (simulation_t *sim, event_t *event)
{
  bt_delivery_event_t delivery_event = { .kind = BT_DELIVERY_REPLY, .reply = &event->reply };

  event->reply.data = event->data;
  for (int32_t i = 0; i < sim->submission_count; i++)
    if (sim->submissions[i].entry == event->entry
        && sim->submissions[i].call_id == event->reply.path.call)
      step_delivery (sim, &sim->submissions[i], &delivery_event);
}

static void
step_all_deliveries (simulation_t *sim, int32_t entry, const bt_delivery_event_t *event)
{
  for (int32_t i = 0; i < sim->submission_count; i++)
    if (sim->submissions[i].entry == entry && !sim->submissions[i].finished)
      step_delivery (sim, &sim->submissions[i], event);
}

static void
break_link (simulation_t *sim, int32_t entry, int32_t agent)
{
  uint64_t link = sim->entries[entry].links[agent];
  event_t *event;

  if (link == 0)
    return;
  event = add_event (sim, LINK_DOWN_AT_ENTRY, 1 + pick (sim, 100));
  event->entry = entry;
  event->agent = agent;
  event->link = link;
  event = add_event (sim, LINK_DOWN_AT_AGENT, 1 + pick (sim, 100));
  event->agent = agent;
  event->link = link;
}

static void
handle_link_down (simulation_t *sim, event_t *cause)
{
  bt_delivery_event_t down = { .kind = BT_DELIVERY_LINK_DOWN, .link = cause->link };
  event_t *event;

  if (sim->entries[cause->entry].links[cause->agent] != cause->link)
    return;
  sim->entries[cause->entry].links[cause->agent] = 0;
  step_all_deliveries (sim, cause->entry, &down);
  event = add_event (sim, LINK_UP, 5 + pick (sim, 400));
  event->entry = cause->entry;
  event->agent = cause->agent;
}

static void
handle_link_up (simulation_t *sim, event_t *cause)
{
  bt_delivery_event_t up = { .kind = BT_DELIVERY_LINK_UP };

  if (sim->entries[cause->entry].links[cause->agent] != 0)
    return;
  open_link (sim, cause->entry, cause->agent);
  up.identity = sim->agents[cause->agent].self;
  step_all_deliveries (sim, cause->entry, &up);
}

/* Restarts an entry instance. Its callers' connections break, so they get no outcome. The new
 * process numbers its calls from 0 again. */
static void
restart_entry (simulation_t *sim, event_t *event)
{
  int32_t entry = event->entry;

  for (int32_t i = 0; i < sim->submission_count; i++)
    if (sim->submissions[i].entry == entry && !sim->submissions[i].finished)
      {
        bt_drop_delivery (sim->ctx, sim->submissions[i].call);
        sim->submissions[i].call = NULL;
      }
  sim->entries[entry].last_call = 0;
  for (int32_t i = 0; i < AGENTS; i++)
    {
      event_t link_down = { .entry = entry, .agent = i, .link = sim->entries[entry].links[i] };

      if (link_down.link == 0)
        continue;
      break_link (sim, entry, i);
      handle_link_down (sim, &link_down);
    }
}

static void
restart_agent (simulation_t *sim, event_t *event)
{
  start_agent (sim, event->agent);
  for (int32_t i = 0; i < ENTRIES; i++)
    break_link (sim, i, event->agent);
}

static void
handle_tick (simulation_t *sim, event_t *cause)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_TICK };

  if (sim->now + TICK_MS < SCHEDULE_MS)
    add_event (sim, TICK, TICK_MS);
  for (int32_t i = 0; i < AGENTS; i++)
    if (sim->now >= sim->agents[i].paused_until)
      bt_tick_arbiter (sim->ctx, sim->agents[i].arbiter, agent_now (sim, i));
  for (int32_t i = 0; i < ENTRIES; i++)
    if (sim->now >= sim->entries[i].paused_until)
      step_all_deliveries (sim, i, &event);
}

static void
pause_entry (simulation_t *sim, event_t *event)
{
  sim->entries[event->entry].paused_until = sim->now + pick (sim, 1500);
}

static void
pause_agent (simulation_t *sim, event_t *event)
{
  sim->agents[event->agent].paused_until = sim->now + pick (sim, 2500);
}

static void
disconnect_caller (simulation_t *sim, event_t *event)
{
  bt_delivery_event_t gone = { .kind = BT_DELIVERY_CALLER_GONE };

  step_delivery (sim, &sim->submissions[event->index], &gone);
}

/* Function that handles an event, and the process whose pause defers it. */
typedef struct handler
{
  void (*handle) (simulation_t *sim, event_t *event);
  enum
  {
    DEFERRED_BY_NONE,
    DEFERRED_BY_ENTRY,
    DEFERRED_BY_AGENT,
    DEFERRED_BY_AGENT_OF_RUN,
  } deferred_by;
} handler_t;

static const handler_t handlers[] = {
  [TO_AGENT_DISPATCH] = { handle_agent_event, DEFERRED_BY_AGENT },
  [TO_AGENT_GRANT] = { handle_agent_event, DEFERRED_BY_AGENT },
  [TO_AGENT_TOMBSTONE] = { handle_agent_event, DEFERRED_BY_AGENT },
  [TO_AGENT_CANCEL] = { handle_agent_event, DEFERRED_BY_AGENT },
  [TO_ENTRY] = { handle_entry_reply, DEFERRED_BY_ENTRY },
  [RUN_BEGINS] = { handle_run_begin, DEFERRED_BY_NONE },
  [RUN_EVENT] = { handle_agent_event, DEFERRED_BY_AGENT_OF_RUN },
  [LINK_UP] = { handle_link_up, DEFERRED_BY_ENTRY },
  [LINK_DOWN_AT_ENTRY] = { handle_link_down, DEFERRED_BY_ENTRY },
  [LINK_DOWN_AT_AGENT] = { handle_agent_event, DEFERRED_BY_AGENT },
  [SUBMISSION] = { handle_submission, DEFERRED_BY_NONE },
  [CALLER_LEAVES] = { disconnect_caller, DEFERRED_BY_NONE },
  [ENTRY_RESTARTS] = { restart_entry, DEFERRED_BY_NONE },
  [ENTRY_PAUSES] = { pause_entry, DEFERRED_BY_NONE },
  [AGENT_RESTARTS] = { restart_agent, DEFERRED_BY_NONE },
  [AGENT_PAUSES] = { pause_agent, DEFERRED_BY_NONE },
  [AGENT_LEAVES] = { handle_agent_event, DEFERRED_BY_NONE },
  [TICK] = { handle_tick, DEFERRED_BY_NONE },
};

static int64_t
deferred_until (const simulation_t *sim, const event_t *event)
{
  switch (handlers[event->kind].deferred_by)
    {
    case DEFERRED_BY_AGENT:
      return sim->agents[event->agent].paused_until;
    case DEFERRED_BY_AGENT_OF_RUN:
      return sim->agents[sim->runs[event->index].agent].paused_until;
    case DEFERRED_BY_ENTRY:
      return sim->entries[event->entry].paused_until;
    default:
      return 0;
    }
}

#endif
