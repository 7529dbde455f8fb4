#ifndef BT_TEST_CORE_REQUEST_PROCESSES_H
#define BT_TEST_CORE_REQUEST_PROCESSES_H

/** @file
 * The processes of the request schedules: entries, agents and endpoints, and what happens to them.
 */

#include "request_world.h"

static void
start_agent (world_t *world, int32_t agent)
{
  agent_t *it = &world->agents[agent];
  bool tight = chance (world, 20);
  bt_arbiter_options_t options = {
    .max_records = tight ? 2 : 100,
    .tombstone_reserve = tight ? 1 : 100,
    .max_bytes = 1 << 20,
    .max_answer_bytes = chance (world, 20) ? 20 : 10000,
    .keep_answer_ms = chance (world, 20) ? 50 : 5000,
    .grace_ms = 100,
    .ticket_life_ms = TICKET_LIFE_MS,
    .retry_after_ms = 100,
    .max_resumes = 2,
    .faults = world->faults,
  };

  bt_drop_arbiter (world->ctx, it->arbiter);
  snprintf (it->self.instance, sizeof it->self.instance, "agent-%d", agent);
  it->self.incarnation = ++world->last_incarnation;
  options.self = it->self;
  it->arbiter = bt_new_arbiter (world->ctx, &options);
  it->clock_offset = pick (world, CLOCK_SPREAD_MS);
}

static void
open_link (world_t *world, int32_t entry, int32_t agent)
{
  entry_t *it = &world->entries[entry];

  it->links[agent] = ++world->last_link * ENTRIES + (uint64_t)entry;
  it->incarnations[agent] = world->agents[agent].self.incarnation;
}

static void step (world_t *world, submission_t *submission, const bt_delivery_event_t *event);

static void
answer_candidate (world_t *world, submission_t *submission, const bt_delivery_action_t *action)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_NO_CANDIDATE, .reason = BT_REASON_NO_ENDPOINT };
  int32_t first = pick (world, AGENTS);

  for (int32_t i = 0; i < AGENTS && !chance (world, 5); i++)
    {
      int32_t agent = (first + i) % AGENTS;
      bool excluded = world->entries[submission->entry].links[agent] == 0;

      event.identity = world->agents[agent].self;
      event.identity.incarnation = world->entries[submission->entry].incarnations[agent];
      for (int32_t k = 0; k < action->excluded_count; k++)
        excluded = excluded || bt_same_identity (&action->excluded[k], &event.identity);
      if (excluded)
        continue;
      event.kind = BT_DELIVERY_CANDIDATE;
      event.grant_expires_ms = agent_now (world, agent) + TICKET_LIFE_MS - pick (world, 500);
      break;
    }
  step (world, submission, &event);
}

static int32_t
find_agent (const bt_identity_t *identity)
{
  return identity->instance[strlen ("agent-")] - '0';
}

static void
send_action (world_t *world, submission_t *submission, const bt_delivery_action_t *action)
{
  entry_t *entry = &world->entries[submission->entry];
  int32_t agent = find_agent (&action->identity);
  bt_delivery_event_t sent = { .kind = BT_DELIVERY_SENT };
  bt_delivery_event_t up = { .kind = BT_DELIVERY_LINK_UP, .identity = action->identity };
  bool same = entry->incarnations[agent] == action->identity.incarnation
              || (world->faults & BT_FAULT_NO_INCARNATION) != 0;
  event_t *event;

  up.identity.incarnation = entry->incarnations[agent];
  if (entry->links[agent] == 0 || !same)
    {
      step (world, submission, &sent);
      if (entry->links[agent] != 0)
        step (world, submission, &up);
      return;
    }
  sent.link = entry->links[agent];
  event = add_event (world, (event_kind_t)(action->kind - BT_DELIVERY_SEND_DISPATCH), 0);
  event->agent = agent;
  event->entry = submission->entry;
  event->link = sent.link;
  event->dispatch = action->dispatch;
  event->dispatch.path.link = sent.link;
  event->dispatch.sender_now_ms = entry_now (world, submission->entry);
  event->grant_request = action->grant_request;
  event->grant_request.path.link = sent.link;
  event->tombstone = action->tombstone_request;
  event->tombstone.path.link = sent.link;
  post (world, event, world->requests[submission->request].keyed);
  step (world, submission, &sent);
}

static void
finish (world_t *world, submission_t *submission, const bt_delivery_action_t *action)
{
  submission->finished = true;
  submission->whole = action->kind == BT_DELIVERY_FINISH_WHOLE;
  submission->cut = action->kind == BT_DELIVERY_CUT;
  submission->outcome = submission->whole ? BT_OUTCOME_ANSWERED : action->outcome;
  submission->reason = action->reason;
  if (action->kind == BT_DELIVERY_FINISH_REFUSED
      && (action->reason == BT_REASON_NONE || action->outcome == BT_OUTCOME_ANSWERED))
    snprintf (world->violation, sizeof world->violation, "a refusal without a reason");
  if (action->outcome == BT_OUTCOME_NOT_RUN
      && bt_get_reason_outcome (action->reason) != BT_OUTCOME_NOT_RUN)
    snprintf (world->violation, sizeof world->violation, "%s told as not-run",
              bt_name_reason (action->reason));
}

static void
do_call_action (world_t *world, submission_t *submission, const bt_delivery_action_t *action)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_BUDGET };
  size_t used = strlen (submission->text);

  switch (action->kind)
    {
    case BT_DELIVERY_ASK_CANDIDATE:
      answer_candidate (world, submission, action);
      break;
    case BT_DELIVERY_ASK_BUDGET:
      event.allowed = submission->retries++ < MAX_BUDGET;
      step (world, submission, &event);
      break;
    case BT_DELIVERY_SEND_DISPATCH:
    case BT_DELIVERY_SEND_GRANT:
    case BT_DELIVERY_SEND_TOMBSTONE:
      send_action (world, submission, action);
      break;
    case BT_DELIVERY_SEND_CANCEL:
      for (int32_t i = 0; i < AGENTS; i++)
        if (world->entries[submission->entry].links[i] == action->path.link)
          {
            event_t *cancel = add_event (world, TO_AGENT_CANCEL, 0);

            cancel->agent = i;
            cancel->entry = submission->entry;
            cancel->path = action->path;
            post (world, cancel, true);
          }
      break;
    case BT_DELIVERY_GIVE_HEAD:
    case BT_DELIVERY_GIVE_PIECE:
      snprintf (submission->text + used, MAX_TEXT - used, "%.*s", (int)action->data_bytes,
                (const char *)action->data);
      break;
    default:
      finish (world, submission, action);
      break;
    }
}

static void
step (world_t *world, submission_t *submission, const bt_delivery_event_t *event)
{
  bt_delivery_actions_t actions = { 0 };

  if (submission->call == NULL)
    return;
  bt_step_delivery (world->ctx, submission->call, event, entry_now (world, submission->entry),
                    &actions);
  for (int32_t i = 0; i < actions.count; i++)
    do_call_action (world, submission, &actions.items[i]);
  bt_free_delivery_actions (world->ctx, &actions);
}

static void
submit (world_t *world, event_t *cause)
{
  submission_t *submission = &world->submissions[cause->item];
  request_t *request = &world->requests[submission->request];
  bt_delivery_event_t event = { .kind = BT_DELIVERY_SUBMIT };
  bt_delivery_options_t options = {
    .call = ++world->entries[submission->entry].last_call,
    .has_ticket = request->keyed,
    .ticket = request->ticket,
    .idempotent = request->idempotent,
    .body_digest = (uint64_t)submission->request,
    .deadline_ms = entry_now (world, submission->entry) + DEADLINE_MS,
    .give_up_margin_ms = 200,
    .reply_limit_ms = 150,
    .reconnect_limit_ms = 300,
    .retry_after_ms = 100,
    .max_resends = 2,
    .max_hops = 4,
    .faults = world->faults,
  };

  submission->call_id = options.call;
  submission->call = bt_new_delivery (world->ctx, &options);
  step (world, submission, &event);
}

static int32_t
write_piece (char *text, int32_t request, int32_t generation, int32_t piece)
{
  return snprintf (text, PIECE_TEXT, "%d.%d.%d;", request, generation, piece);
}

/* What the endpoint answers from a byte offset on; each run of a request answers differently. */
static void
stream_answer (world_t *world, int32_t run_index, uint64_t from_bytes)
{
  run_t *run = &world->runs[run_index];
  request_t *request = &world->requests[run->request];
  uint64_t offset = 0;
  int64_t at = 1;
  bool breaks = chance (world, 15);
  int32_t break_at = pick (world, request->pieces + 1);
  bool fails = chance (world, 40);
  event_t *event = add_event (world, RUN_EVENT, at);

  event->run_event.kind = BT_RUN_HEAD;
  event->run_event.status = 200;
  event->item = run_index;
  for (int32_t i = 0; i <= request->pieces; i++)
    {
      at += 1 + pick (world, chance (world, 10) ? 200 : 20);
      event = add_event (world, RUN_EVENT, at);
      event->item = run_index;
      event->run_event.resumable = chance (world, 80);
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
begin_run (world_t *world, event_t *event)
{
  run_t *run = &world->runs[event->item];

  if (run->cancelled)
    return;
  run->generation = ++world->requests[run->request].runs;
  stream_answer (world, event->item, 0);
}

static void
start_run (world_t *world, int32_t agent, const bt_arbiter_action_t *action)
{
  run_t *run = &world->runs[world->run_count];
  event_t *event;

  if (world->run_count == MAX_RUNS)
    abort ();
  run->agent = agent;
  run->incarnation = world->agents[agent].self.incarnation;
  run->id = action->run;
  run->request = (int32_t)action->dispatch->body_digest;
  event = add_event (world, RUN_BEGINS, 1 + pick (world, chance (world, 10) ? 300 : 5));
  event->item = world->run_count++;
  if (chance (world, 90))
    return;
  event->kind = RUN_EVENT;
  event->run_event.kind = BT_RUN_FAILED;
  event->run_event.may_have_run = chance (world, 50);
  event->run_event.reason =
      event->run_event.may_have_run ? BT_REASON_ENGINE_FAILED : BT_REASON_ENGINE_UNREACHABLE;
}

static run_t *
find_world_run (world_t *world, int32_t agent, uint64_t id)
{
  for (int32_t i = 0; i < world->run_count; i++)
    if (world->runs[i].agent == agent && world->runs[i].id == id
        && world->runs[i].incarnation == world->agents[agent].self.incarnation)
      return &world->runs[i];
  abort ();
}

static void
post_reply (world_t *world, int32_t agent, const bt_reply_t *reply)
{
  event_t *event = add_event (world, TO_ENTRY, 0);

  event->agent = agent;
  event->entry = (int32_t)(reply->path.link % ENTRIES);
  event->reply = *reply;
  if (reply->data_bytes > 0)
    memcpy (event->data, reply->data, reply->data_bytes);
  post (world, event, true);
}

static void
do_arbiter_actions (world_t *world, int32_t agent, bt_arbiter_actions_t *actions)
{
  for (int32_t i = 0; i < actions->count; i++)
    {
      const bt_arbiter_action_t *action = &actions->items[i];

      if (action->kind == BT_ARBITER_START_RUN)
        start_run (world, agent, action);
      else if (action->kind == BT_ARBITER_RESUME_RUN)
        stream_answer (world, (int32_t)(find_world_run (world, agent, action->run) - world->runs),
                       action->from_bytes);
      else if (action->kind == BT_ARBITER_CANCEL_RUN)
        find_world_run (world, agent, action->run)->cancelled = true;
      else
        post_reply (world, agent, &action->reply);
    }
  bt_free_arbiter_actions (world->ctx, actions);
}

static void
feed_agent (world_t *world, event_t *event)
{
  int32_t agent = event->kind == RUN_EVENT ? world->runs[event->item].agent : event->agent;
  agent_t *it = &world->agents[agent];
  int64_t now_ms = agent_now (world, agent);
  bt_arbiter_actions_t actions = { 0 };

  if (event->kind == RUN_EVENT && world->runs[event->item].incarnation != it->self.incarnation)
    return;
  event->dispatch.admission = chance (world, 10) ? BT_REASON_ENDPOINT_FULL : BT_REASON_NONE;
  event->dispatch.deadline_ms = now_ms + DEADLINE_MS;
  event->run_event.run = world->runs[event->item].id;
  event->run_event.data = event->data;
  if (event->kind == TO_AGENT_DISPATCH)
    bt_handle_dispatch (world->ctx, it->arbiter, &event->dispatch, now_ms, &actions);
  else if (event->kind == TO_AGENT_GRANT)
    bt_handle_grant_request (world->ctx, it->arbiter, &event->grant_request, now_ms, &actions);
  else if (event->kind == TO_AGENT_TOMBSTONE)
    bt_handle_tombstone_request (world->ctx, it->arbiter, &event->tombstone, now_ms, &actions);
  else if (event->kind == TO_AGENT_CANCEL)
    bt_handle_cancel (world->ctx, it->arbiter, &event->path, &actions);
  else if (event->kind == LINK_DIES_AT_AGENT)
    bt_handle_link_down (world->ctx, it->arbiter, event->link, &actions);
  else if (event->kind == AGENT_LEAVES)
    bt_set_arbiter_leaving (it->arbiter, now_ms);
  else
    bt_handle_run_event (world->ctx, it->arbiter, &event->run_event, now_ms, &actions);
  do_arbiter_actions (world, agent, &actions);
}

/* Frames find their call by its number alone, so that only the call's own check keeps others out.
 */
static void
feed_entry (world_t *world, event_t *event)
{
  bt_delivery_event_t event_of_call = { .kind = BT_DELIVERY_REPLY, .reply = &event->reply };

  event->reply.data = event->data;
  for (int32_t i = 0; i < world->submission_count; i++)
    if (world->submissions[i].entry == event->entry
        && world->submissions[i].call_id == event->reply.path.call)
      step (world, &world->submissions[i], &event_of_call);
}

static void
step_entry (world_t *world, int32_t entry, const bt_delivery_event_t *event)
{
  for (int32_t i = 0; i < world->submission_count; i++)
    if (world->submissions[i].entry == entry && !world->submissions[i].finished)
      step (world, &world->submissions[i], event);
}

static void
kill_link (world_t *world, int32_t entry, int32_t agent)
{
  uint64_t link = world->entries[entry].links[agent];
  event_t *event;

  if (link == 0)
    return;
  event = add_event (world, LINK_DIES_AT_ENTRY, 1 + pick (world, 100));
  event->entry = entry;
  event->agent = agent;
  event->link = link;
  event = add_event (world, LINK_DIES_AT_AGENT, 1 + pick (world, 100));
  event->agent = agent;
  event->link = link;
}

static void
lose_link (world_t *world, event_t *cause)
{
  bt_delivery_event_t down = { .kind = BT_DELIVERY_LINK_DOWN, .link = cause->link };
  event_t *event;

  if (world->entries[cause->entry].links[cause->agent] != cause->link)
    return;
  world->entries[cause->entry].links[cause->agent] = 0;
  step_entry (world, cause->entry, &down);
  event = add_event (world, LINK_OPENS, 5 + pick (world, 400));
  event->entry = cause->entry;
  event->agent = cause->agent;
}

static void
gain_link (world_t *world, event_t *cause)
{
  bt_delivery_event_t up = { .kind = BT_DELIVERY_LINK_UP };

  if (world->entries[cause->entry].links[cause->agent] != 0)
    return;
  open_link (world, cause->entry, cause->agent);
  up.identity = world->agents[cause->agent].self;
  step_entry (world, cause->entry, &up);
}

/* Its callers' connections break, so they are told nothing; the new one counts calls from 0. */
static void
restart_entry (world_t *world, event_t *event)
{
  int32_t entry = event->entry;

  for (int32_t i = 0; i < world->submission_count; i++)
    if (world->submissions[i].entry == entry && !world->submissions[i].finished)
      {
        bt_drop_delivery (world->ctx, world->submissions[i].call);
        world->submissions[i].call = NULL;
      }
  world->entries[entry].last_call = 0;
  for (int32_t i = 0; i < AGENTS; i++)
    {
      event_t death = { .entry = entry, .agent = i, .link = world->entries[entry].links[i] };

      if (death.link == 0)
        continue;
      kill_link (world, entry, i);
      lose_link (world, &death);
    }
}

static void
restart_agent (world_t *world, event_t *event)
{
  start_agent (world, event->agent);
  for (int32_t i = 0; i < ENTRIES; i++)
    kill_link (world, i, event->agent);
}

static void
tick (world_t *world, event_t *cause)
{
  bt_delivery_event_t event = { .kind = BT_DELIVERY_TICK };

  if (world->now + TICK_MS < SCHEDULE_MS)
    add_event (world, TICK, TICK_MS);
  for (int32_t i = 0; i < AGENTS; i++)
    if (world->now >= world->agents[i].paused_until)
      bt_tick_arbiter (world->ctx, world->agents[i].arbiter, agent_now (world, i));
  for (int32_t i = 0; i < ENTRIES; i++)
    if (world->now >= world->entries[i].paused_until)
      step_entry (world, i, &event);
}

static void
hold_entry (world_t *world, event_t *event)
{
  world->entries[event->entry].paused_until = world->now + pick (world, 1500);
}

static void
hold_agent (world_t *world, event_t *event)
{
  world->agents[event->agent].paused_until = world->now + pick (world, 2500);
}

static void
lose_caller (world_t *world, event_t *event)
{
  bt_delivery_event_t gone = { .kind = BT_DELIVERY_CALLER_GONE };

  step (world, &world->submissions[event->item], &gone);
}

/* What an event does, and which stopped process makes it wait. */
typedef struct handler
{
  void (*happen) (world_t *world, event_t *event);
  enum
  {
    WAITS_FOR_NOBODY,
    WAITS_FOR_ENTRY,
    WAITS_FOR_AGENT,
    WAITS_FOR_AGENT_OF_RUN,
  } waits;
} handler_t;

static const handler_t handlers[] = {
  [TO_AGENT_DISPATCH] = { feed_agent, WAITS_FOR_AGENT },
  [TO_AGENT_GRANT] = { feed_agent, WAITS_FOR_AGENT },
  [TO_AGENT_TOMBSTONE] = { feed_agent, WAITS_FOR_AGENT },
  [TO_AGENT_CANCEL] = { feed_agent, WAITS_FOR_AGENT },
  [TO_ENTRY] = { feed_entry, WAITS_FOR_ENTRY },
  [RUN_BEGINS] = { begin_run, WAITS_FOR_NOBODY },
  [RUN_EVENT] = { feed_agent, WAITS_FOR_AGENT_OF_RUN },
  [LINK_OPENS] = { gain_link, WAITS_FOR_ENTRY },
  [LINK_DIES_AT_ENTRY] = { lose_link, WAITS_FOR_ENTRY },
  [LINK_DIES_AT_AGENT] = { feed_agent, WAITS_FOR_AGENT },
  [SUBMISSION] = { submit, WAITS_FOR_NOBODY },
  [CALLER_LEAVES] = { lose_caller, WAITS_FOR_NOBODY },
  [ENTRY_RESTARTS] = { restart_entry, WAITS_FOR_NOBODY },
  [ENTRY_PAUSES] = { hold_entry, WAITS_FOR_NOBODY },
  [AGENT_RESTARTS] = { restart_agent, WAITS_FOR_NOBODY },
  [AGENT_PAUSES] = { hold_agent, WAITS_FOR_NOBODY },
  [AGENT_LEAVES] = { feed_agent, WAITS_FOR_NOBODY },
  [TICK] = { tick, WAITS_FOR_NOBODY },
};

static int64_t
held_until (const world_t *world, const event_t *event)
{
  switch (handlers[event->kind].waits)
    {
    case WAITS_FOR_AGENT:
      return world->agents[event->agent].paused_until;
    case WAITS_FOR_AGENT_OF_RUN:
      return world->agents[world->runs[event->item].agent].paused_until;
    case WAITS_FOR_ENTRY:
      return world->entries[event->entry].paused_until;
    default:
      return 0;
    }
}

#endif
