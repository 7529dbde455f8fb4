#ifndef BILBERRYTRAY_TEST_LOAD_ROOM_SIMULATION_H
#define BILBERRYTRAY_TEST_LOAD_ROOM_SIMULATION_H

/** @file
 * Entries that share engines, without a network: real routers, admission and askers, simulated time
 * in steps of one millisecond, links with a delay, and engines that run each request for a fixed
 * time.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/load/admission.h"
#include "bilberrytray/load/room_asker.h"
#include "bilberrytray/load/room_ledger.h"

enum
{
  SIM_WINDOW_MS = 400,
  SIM_REPORT_MS = 100,
  SIM_DEADLINE_MS = 8000,
  SIM_MS_PER_S = 1000,
  SIM_ADVANCE_MS = 10,
  SIM_LONG_WAIT_MS = 150,
  SIM_DELAYS_MS = 512, /* longer than any delay of a frame */
};

typedef struct sim_options
{
  int32_t entries;
  int32_t engines;
  int32_t slots;
  int32_t run_ms;
  double per_s; /* requests of all callers */
  uint64_t seed;
  bool reserved;
  int32_t link_ms;        /* delay of a frame */
  int32_t late_percent;   /* frames that take up to 300 ms more, and hold up those after them */
  int32_t twice_percent;  /* frames that arrive twice */
  int32_t silent_engines; /* agents that never answer: the first ones */
  int32_t cut_ms;         /* interval at which a link drawn at random ends, with all its frames */
  int32_t death_ms;       /* interval at which an entry drawn at random ends and starts anew */
} sim_options_t;

typedef struct sim_frame
{
  int32_t entry;
  int32_t engine;
  int32_t generation; /* of the link */
  bool is_reply;
  bt_room_action_t action;
  bt_asker_reply_t reply;
} sim_frame_t;

typedef struct sim_frames
{
  sim_frame_t *frames;
  int32_t count;
} sim_frames_t;

typedef struct sim_run
{
  int32_t entry;
  int32_t engine;
  int64_t end_ms;
  bt_route_t route;
  uint64_t room_id;
  bool unasked;
} sim_run_t;

typedef struct sim_engine
{
  bt_endpoint_t endpoint;
  int32_t running;
  int32_t unasked;     /* of those */
  int32_t most_excess; /* most requests beyond slots and depth that were not unasked */
  int64_t idle_ms;     /* for how long it has been idle while a request waits */
  int64_t most_idle_ms;
  bt_room_ledger_t *ledger;
  int64_t *starts; /* times of all starts */
  int32_t start_count;
} sim_engine_t;

typedef struct sim_queued
{
  uint64_t id;
  int32_t entry;
  int64_t at_ms;
} sim_queued_t;

typedef struct sim_entry
{
  bt_router_t *router;
  bt_admission_t *admission;
  bt_room_asker_t *asker;
  bool due;
} sim_entry_t;

typedef struct sim_link
{
  int32_t generation;
  int64_t down_until_ms;
  int64_t busy_until_ms[2]; /* of each direction: when the last frame arrives */
} sim_link_t;

typedef struct sim
{
  bt_context_t *ctx;
  sim_options_t options;
  bt_random_t random;
  int64_t now_ms;
  sim_entry_t *entries;
  sim_engine_t *engines;
  sim_run_t *runs;
  int32_t run_count;
  sim_queued_t *queued;
  int32_t queued_count;
  sim_link_t *links;                  /* by entry and engine */
  sim_frames_t frames[SIM_DELAYS_MS]; /* by the time of arrival */
  uint64_t last_id;
  int32_t arrived;
  int32_t started;
  int32_t refused;
  int32_t died; /* requests that were queued at an entry that ended */
  int32_t frame_count;
  int32_t unanswered;
  int32_t released;
  int32_t long_waits; /* requests that were granted later than SIM_LONG_WAIT_MS */
} sim_t;

static inline sim_link_t *
sim_link (sim_t *sim, int32_t entry, int32_t engine)
{
  return &sim->links[entry * sim->options.engines + engine];
}

static inline void
sim_create_entry (sim_t *sim, int32_t index)
{
  sim_entry_t *entry = &sim->entries[index];
  bt_router_options_t router;
  bt_admission_options_t admission;

  bt_default_router_options (&router);
  bt_default_admission_options (&admission);
  router.queue_depth = 1;
  router.default_slots = sim->options.slots;
  router.default_service_ms = sim->options.run_ms;
  entry->router = bt_new_router (sim->ctx, &router);
  entry->admission = bt_new_admission (sim->ctx, entry->router, &admission);
  bt_set_router_entries (entry->router, sim->options.entries);
  for (int32_t i = 0; i < sim->options.engines; i++)
    bt_put_endpoint (sim->ctx, entry->router, &sim->engines[i].endpoint, sim->now_ms);
  if (!sim->options.reserved)
    return;
  entry->asker =
      bt_new_room_asker (sim->ctx, entry->router, entry->admission, bt_next_random (&sim->random));
  bt_set_room_app (sim->ctx, entry->asker, "app", true, sim->now_ms);
  for (int32_t i = 0; i < sim->options.engines; i++)
    {
      bt_set_room_engine (sim->ctx, entry->asker, &sim->engines[i].endpoint.identity, "app", true,
                          sim->now_ms);
      sim_link (sim, index, i)->down_until_ms = 0;
    }
}

static inline void
sim_drop_entry (sim_t *sim, int32_t index)
{
  sim_entry_t *entry = &sim->entries[index];

  bt_drop_room_asker (sim->ctx, entry->asker);
  bt_drop_admission (sim->ctx, entry->admission);
  bt_drop_router (sim->ctx, entry->router);
  memset (entry, 0, sizeof *entry);
}

static inline sim_t *
new_sim (const sim_options_t *options)
{
  bt_context_t *ctx = bt_new_context ();
  sim_t *sim = bt_calloc (ctx, 1, sizeof *sim);

  sim->ctx = ctx;
  sim->options = *options;
  sim->now_ms = SIM_MS_PER_S;
  bt_seed_random (&sim->random, options->seed);
  sim->entries = bt_calloc (ctx, (size_t)options->entries, sizeof *sim->entries);
  sim->engines = bt_calloc (ctx, (size_t)options->engines, sizeof *sim->engines);
  for (int32_t i = 0; i < options->engines; i++)
    {
      bt_endpoint_t *endpoint = &sim->engines[i].endpoint;

      snprintf (endpoint->identity.instance, BT_NAME_BYTES, "engine-%d", i);
      endpoint->identity.incarnation = 1;
      bt_copy_name (endpoint->app, "app");
    }
  for (int32_t i = 0; i < options->engines; i++)
    sim->engines[i].ledger = bt_new_room_ledger (ctx, 0);
  sim->links =
      bt_calloc (ctx, (size_t)options->entries * (size_t)options->engines, sizeof *sim->links);
  for (int32_t i = 0; i < options->entries; i++)
    sim_create_entry (sim, i);
  return sim;
}

static inline void
drop_sim (sim_t *sim)
{
  bt_context_t *ctx = sim->ctx;

  for (int32_t i = 0; i < sim->options.entries; i++)
    sim_drop_entry (sim, i);
  for (int32_t i = 0; i < sim->options.engines; i++)
    {
      bt_drop_room_ledger (ctx, sim->engines[i].ledger);
      bt_free (ctx, sim->engines[i].starts);
    }
  for (int32_t i = 0; i < SIM_DELAYS_MS; i++)
    bt_free (ctx, sim->frames[i].frames);
  bt_free (ctx, sim->links);
  bt_free (ctx, sim->queued);
  bt_free (ctx, sim->engines);
  bt_free (ctx, sim->entries);
  bt_free (ctx, sim->runs);
  bt_free (ctx, sim);
  bt_drop_context (ctx);
}

static inline int32_t
sim_engine_index (const bt_identity_t *identity)
{
  return (int32_t)strtol (strchr (identity->instance, '-') + 1, NULL, 10);
}

static inline bool
sim_draw (sim_t *sim, int32_t percent)
{
  return percent > 0 && bt_random_below (&sim->random, 100) < (uint64_t)percent;
}

static inline void
sim_put_frame (sim_t *sim, const sim_frame_t *frame, int64_t due_ms)
{
  sim_frames_t *at = &sim->frames[due_ms % SIM_DELAYS_MS];

  at->frames = bt_realloc (sim->ctx, at->frames, (size_t)at->count + 1, sizeof *at->frames);
  at->frames[at->count++] = *frame;
  sim->frame_count++;
}

/* Frames of a link arrive in the order in which they were sent. */
static inline void
sim_send_frame (sim_t *sim, sim_frame_t *frame)
{
  sim_link_t *link = sim_link (sim, frame->entry, frame->engine);
  int64_t *busy_ms = &link->busy_until_ms[frame->is_reply ? 1 : 0];
  int64_t due_ms = sim->now_ms + sim->options.link_ms;

  if (sim->now_ms < link->down_until_ms)
    return;
  if (sim_draw (sim, sim->options.late_percent))
    due_ms += (int64_t)bt_random_below (&sim->random, 300);
  if (due_ms < *busy_ms)
    due_ms = *busy_ms;
  *busy_ms = due_ms;
  frame->generation = link->generation;
  sim_put_frame (sim, frame, due_ms);
  if (sim_draw (sim, sim->options.twice_percent))
    sim_put_frame (sim, frame, due_ms);
}

/* Returns the number of a link for the ledgers, which differs after each of its ends. */
static inline uint64_t
sim_link_number (sim_t *sim, int32_t entry, int32_t engine)
{
  return (uint64_t)sim_link (sim, entry, engine)->generation * (uint64_t)sim->options.entries
         + (uint64_t)entry;
}

/* Sends what the ledger of an engine has decided. */
static inline void
sim_send_replies (sim_t *sim, int32_t engine)
{
  bt_room_reply_t reply;

  while (bt_next_room_reply (sim->engines[engine].ledger, &reply))
    {
      sim_frame_t frame = { .entry = (int32_t)(reply.link % (uint64_t)sim->options.entries),
                            .engine = engine,
                            .is_reply = true };

      frame.reply.id = reply.id;
      frame.reply.verdict = (bt_asker_verdict_t)reply.verdict;
      frame.reply.load = reply.load;
      sim_send_frame (sim, &frame);
    }
}

/* Passes an ask to the ledger of its engine. */
static inline void
sim_ask (sim_t *sim, const sim_frame_t *frame)
{
  const bt_asker_ask_t *ask = &frame->action.ask;
  const bt_room_ask_t asked = {
    .id = ask->id,
    .priority = ask->priority,
    .target_left_ms = ask->target_left_ms,
    .prompt_tokens = ask->prompt_tokens,
    .answer_tokens = ask->answer_tokens,
    .read_us = ask->read_us,
    .slots = ask->slots,
    .depth = ask->depth,
    .burst = ask->burst,
    .wait = ask->wait,
    .account = ask->account,
    .share = ask->share,
  };

  bt_ask_room (sim->ctx, sim->engines[frame->engine].ledger,
               sim_link_number (sim, frame->entry, frame->engine), &asked, sim->now_ms);
}

static inline void
sim_use (sim_t *sim, const sim_frame_t *frame)
{
  static const bt_room_use_t uses[] = {
    [BT_ASKER_STARTED] = BT_ROOM_STARTED,   [BT_ASKER_ENDED] = BT_ROOM_ENDED,
    [BT_ASKER_RELEASED] = BT_ROOM_RELEASED, [BT_ASKER_WITHDRAWN] = BT_ROOM_WITHDRAWN,
    [BT_ASKER_UNASKED] = BT_ROOM_UNASKED,
  };

  bt_use_room (sim->ctx, sim->engines[frame->engine].ledger,
               sim_link_number (sim, frame->entry, frame->engine), uses[frame->action.kind],
               frame->action.id, sim->now_ms);
}

static inline void
sim_start (sim_t *sim, int32_t entry, const bt_route_t *route, uint64_t room_id, bool unasked)
{
  sim_run_t *run;
  sim_engine_t *engine;

  sim->runs = bt_realloc (sim->ctx, sim->runs, (size_t)sim->run_count + 1, sizeof *sim->runs);
  run = &sim->runs[sim->run_count++];
  run->entry = entry;
  run->engine = sim_engine_index (&route->identity);
  run->room_id = room_id;
  run->unasked = unasked;
  run->end_ms = sim->now_ms + sim->options.run_ms;
  run->route = *route;
  engine = &sim->engines[run->engine];
  engine->running++;
  engine->unasked += unasked ? 1 : 0;
  engine->starts = bt_realloc (sim->ctx, engine->starts, (size_t)engine->start_count + 1,
                               sizeof *engine->starts);
  engine->starts[engine->start_count++] = sim->now_ms;
  sim->started++;
  bt_record_dispatch (sim->entries[entry].router, route, 0, sim->now_ms);
}

/* Sends a request to the engine that the router prefers, or to the one at @p only. Returns false if
 * there is none. */
static inline bool
sim_choose (sim_t *sim, int32_t index, const bt_identity_t *only, uint64_t room_id)
{
  sim_entry_t *entry = &sim->entries[index];
  const bt_route_request_t request = {
    .app = "app",
    .account = "",
    .deadline_left_ms = SIM_DEADLINE_MS,
    .only = only,
    .seed = bt_next_random (&sim->random),
  };
  const bool unasked = room_id == 0;
  bt_route_t route;
  int64_t retry_ms;

  if (bt_choose_endpoint (entry->router, &request, sim->now_ms, &route, &retry_ms)
      != BT_REASON_NONE)
    {
      sim->refused++;
      return false;
    }
  if (unasked && entry->asker != NULL)
    room_id =
        bt_record_unasked_start (sim->ctx, entry->asker, route.identity.instance, sim->now_ms);
  sim_start (sim, index, &route, room_id, unasked);
  return true;
}

static inline void
sim_add_queued (sim_t *sim, int32_t entry, uint64_t id)
{
  sim->queued =
      bt_realloc (sim->ctx, sim->queued, (size_t)sim->queued_count + 1, sizeof *sim->queued);
  sim->queued[sim->queued_count++] = (sim_queued_t){ id, entry, sim->now_ms };
}

/* Removes a request, or with the id 0 all requests of an entry. */
static inline void
sim_remove_queued (sim_t *sim, int32_t entry, uint64_t id)
{
  for (int32_t i = sim->queued_count - 1; i >= 0; i--)
    if (sim->queued[i].id == id || (id == 0 && sim->queued[i].entry == entry))
      sim->queued[i] = sim->queued[--sim->queued_count];
}

/* Performs an entry's actions. */
static inline void
sim_act (sim_t *sim, int32_t index)
{
  sim_entry_t *entry = &sim->entries[index];
  bt_room_action_t action;

  while (entry->asker != NULL && bt_next_room_action (entry->asker, &action))
    {
      sim_frame_t frame = { .entry = index, .engine = sim_engine_index (&action.endpoint) };

      frame.action = action;
      sim_remove_queued (sim, index, action.kind == BT_ASKER_SEND ? action.request : UINT64_MAX);
      if (action.kind == BT_ASKER_SEND)
        bt_confirm_room_send (sim->ctx, entry->asker, &action,
                              sim_choose (sim, index, &action.endpoint, action.id), sim->now_ms);
      else if (action.kind <= BT_ASKER_UNASKED)
        sim_send_frame (sim, &frame);
      sim->unanswered += action.kind == BT_ASKER_UNANSWERED ? 1 : 0;
      sim->long_waits += action.waited_ms > SIM_LONG_WAIT_MS ? 1 : 0;
      sim->released += action.kind == BT_ASKER_RELEASED ? 1 : 0;
    }
}

static inline void
sim_advance (sim_t *sim, int32_t index)
{
  sim_entry_t *entry = &sim->entries[index];
  bool again = entry->asker != NULL;

  sim_act (sim, index);
  while (again)
    {
      again = bt_advance_room_asker (sim->ctx, entry->asker, sim->now_ms);
      sim_act (sim, index);
    }
  entry->due = false;
}

static inline void
sim_arrive (sim_t *sim, int32_t index)
{
  sim_entry_t *entry = &sim->entries[index];
  const bt_admission_request_t request = {
    .id = ++sim->last_id,
    .app = "app",
    .account = "",
    .deadline_left_ms = SIM_DEADLINE_MS,
    .seed = bt_next_random (&sim->random),
  };
  const bt_room_request_t room = { .id = request.id, .app = "app" };
  bt_admission_decision_t decision;

  sim->arrived++;
  bt_decide_admission (sim->ctx, entry->admission, &request, sim->now_ms, &decision);
  if (decision.action == BT_ADMISSION_ADMIT)
    sim_choose (sim, index, NULL, 0);
  else if (decision.action == BT_ADMISSION_REFUSE)
    sim->refused++;
  else
    sim_add_queued (sim, index, request.id);
  if (decision.action == BT_ADMISSION_QUEUE && entry->asker != NULL)
    bt_add_room_request (sim->ctx, entry->asker, &room);
  entry->due = true;
}

static inline void
sim_end_run (sim_t *sim, int32_t at)
{
  const sim_run_t run = sim->runs[at];
  sim_entry_t *entry = &sim->entries[run.entry];

  sim->engines[run.engine].running--;
  sim->engines[run.engine].unasked -= run.unasked ? 1 : 0;
  bt_record_attempt_end (entry->router, &run.route, BT_ATTEMPT_ANSWERED, sim->options.run_ms,
                         sim->now_ms);
  if (entry->asker != NULL)
    bt_record_room_end (sim->ctx, entry->asker, run.room_id);
  entry->due = true;
  sim->runs[at] = sim->runs[--sim->run_count];
}

static inline void
sim_end_runs (sim_t *sim)
{
  for (int32_t i = sim->run_count - 1; i >= 0; i--)
    if (sim->runs[i].end_ms <= sim->now_ms)
      sim_end_run (sim, i);
}

/* Every engine reports its load to all entries at the same time. */
static inline void
sim_report (sim_t *sim)
{
  for (int32_t i = 0; i < sim->options.engines; i++)
    for (int32_t j = 0; j < sim->options.entries; j++)
      {
        const bt_load_t load = { .running = sim->engines[i].running, .slots = sim->options.slots };

        bt_record_load (sim->entries[j].router, &sim->engines[i].endpoint.identity, &load,
                        sim->now_ms);
      }
}

static inline void
sim_dispatch_queue (sim_t *sim, int32_t index)
{
  sim_entry_t *entry = &sim->entries[index];
  bt_admission_decision_t decision;

  while (bt_next_admission (entry->admission, sim->now_ms, &decision))
    {
      sim_remove_queued (sim, index, decision.id);
      if (entry->asker != NULL)
        bt_remove_room_request (sim->ctx, entry->asker, decision.id);
      if (decision.action == BT_ADMISSION_ADMIT)
        sim_choose (sim, index, NULL, 0);
      else
        sim->refused++;
    }
}

static inline void
sim_deliver (sim_t *sim, const sim_frame_t *frame)
{
  sim_entry_t *entry = &sim->entries[frame->entry];
  sim_engine_t *engine = &sim->engines[frame->engine];
  bt_asker_reply_t reply = frame->reply;

  if (frame->generation != sim_link (sim, frame->entry, frame->engine)->generation)
    return;
  if (frame->is_reply)
    {
      reply.received_ms = sim->now_ms;
      bt_handle_room_reply (sim->ctx, entry->asker, engine->endpoint.identity.instance, &reply,
                            sim->now_ms);
      sim_act (sim, frame->entry);
      entry->due = true;
    }
  else if (frame->engine < sim->options.silent_engines)
    return;
  else if (frame->action.kind == BT_ASKER_ASK)
    sim_ask (sim, frame);
  else
    sim_use (sim, frame);
  sim_send_replies (sim, frame->engine);
}

static inline void
sim_deliver_frames (sim_t *sim)
{
  sim_frames_t *at = &sim->frames[sim->now_ms % SIM_DELAYS_MS];

  for (int32_t i = 0; i < at->count; i++)
    {
      const sim_frame_t frame = at->frames[i];

      sim_deliver (sim, &frame);
    }
  at->count = 0;
}

/* Ends a link: both ends notice, and its frames are lost. */
static inline void
sim_cut_link (sim_t *sim, int32_t entry, int32_t engine, int64_t down_ms)
{
  sim_link_t *link = sim_link (sim, entry, engine);

  bt_remove_room_link (sim->ctx, sim->engines[engine].ledger, sim_link_number (sim, entry, engine),
                       sim->now_ms);
  link->generation++;
  link->down_until_ms = sim->now_ms + down_ms;
  link->busy_until_ms[0] = 0;
  link->busy_until_ms[1] = 0;
  bt_set_room_engine (sim->ctx, sim->entries[entry].asker, &sim->engines[engine].endpoint.identity,
                      "app", false, sim->now_ms);
  sim_act (sim, entry);
}

static inline void
sim_open_links (sim_t *sim, int32_t entry)
{
  for (int32_t i = 0; i < sim->options.engines; i++)
    if (sim_link (sim, entry, i)->down_until_ms == sim->now_ms)
      bt_set_room_engine (sim->ctx, sim->entries[entry].asker, &sim->engines[i].endpoint.identity,
                          "app", true, sim->now_ms);
}

/* Ends an entry with its streams and its queue, and starts it anew. */
static inline void
sim_kill_entry (sim_t *sim, int32_t entry)
{
  sim_remove_queued (sim, entry, 0);
  sim->died += bt_count_queued_requests (sim->entries[entry].admission, "app");
  for (int32_t i = sim->run_count - 1; i >= 0; i--)
    if (sim->runs[i].entry == entry)
      sim_end_run (sim, i);
  for (int32_t i = 0; i < sim->options.engines; i++)
    {
      sim_cut_link (sim, entry, i, 0);
      sim_link (sim, entry, i)->down_until_ms = 0;
    }
  sim_drop_entry (sim, entry);
  sim_create_entry (sim, entry);
}

static inline void
sim_inject_faults (sim_t *sim)
{
  const sim_options_t *options = &sim->options;
  const int32_t entry = (int32_t)bt_random_below (&sim->random, (uint64_t)options->entries);
  const int32_t engine = (int32_t)bt_random_below (&sim->random, (uint64_t)options->engines);

  if (options->cut_ms > 0 && sim->now_ms % options->cut_ms == 0
      && sim_link (sim, entry, engine)->down_until_ms <= sim->now_ms)
    sim_cut_link (sim, entry, engine, SIM_WINDOW_MS);
  if (options->death_ms > 0 && sim->now_ms % options->death_ms == 0)
    sim_kill_entry (sim, entry);
}

static inline int32_t
sim_count_queued (const sim_t *sim)
{
  int32_t queued = 0;

  for (int32_t i = 0; i < sim->options.entries; i++)
    queued += bt_count_queued_requests (sim->entries[i].admission, "app");
  return queued;
}

static inline void
sim_watch_engines (sim_t *sim)
{
  int64_t longest_ms = 0;

  for (int32_t i = 0; i < sim->queued_count; i++)
    if (sim->now_ms - sim->queued[i].at_ms > longest_ms)
      longest_ms = sim->now_ms - sim->queued[i].at_ms;
  for (int32_t i = 0; i < sim->options.engines; i++)
    {
      sim_engine_t *engine = &sim->engines[i];
      const int32_t excess =
          engine->running - engine->unasked - sim->options.slots - 1; /* the depth */
      const bt_room_report_t report = { .running = engine->running, .started_ms = 1 };
      bt_room_counts_t counts;
      int64_t idle_ms;

      if (sim->now_ms % SIM_REPORT_MS == 0)
        {
          bt_mark_room_report (engine->ledger);
          bt_report_room (sim->ctx, engine->ledger, &report, sim->now_ms);
        }
      bt_advance_room (sim->ctx, engine->ledger, sim->now_ms);
      sim_send_replies (sim, i);
      bt_count_room (engine->ledger, sim->now_ms, &counts);
      if (excess > engine->most_excess)
        engine->most_excess = excess;
      engine->idle_ms = counts.load == 0 ? engine->idle_ms + 1 : 0;
      /* Both the idle time and the wait of one request have lasted at least this long. */
      idle_ms = engine->idle_ms < longest_ms ? engine->idle_ms : longest_ms;
      if (idle_ms > engine->most_idle_ms)
        engine->most_idle_ms = idle_ms;
    }
}

static inline void
sim_run_for (sim_t *sim, int64_t duration_ms)
{
  const int64_t end_ms = sim->now_ms + duration_ms;

  for (; sim->now_ms < end_ms; sim->now_ms++)
    {

      sim_end_runs (sim);
      sim_deliver_frames (sim);
      sim_inject_faults (sim);
      if (sim->now_ms % SIM_REPORT_MS == 0)
        sim_report (sim);
      if (bt_random_unit (&sim->random) * SIM_MS_PER_S < sim->options.per_s)
        sim_arrive (sim, (int32_t)bt_random_below (&sim->random, (uint64_t)sim->options.entries));
      for (int32_t i = 0; i < sim->options.entries; i++)
        {
          if (sim->options.cut_ms > 0)
            sim_open_links (sim, i);
          if (!sim->entries[i].due && (sim->now_ms + i) % SIM_ADVANCE_MS != 0)
            continue;
          sim_dispatch_queue (sim, i);
          sim_advance (sim, i);
        }
      sim_watch_engines (sim);
    }
}

/* Returns the most starts that one engine got in any SIM_WINDOW_MS from @p from_ms on. */
static inline int32_t
sim_get_most_starts (const sim_t *sim, int64_t from_ms)
{
  int32_t most = 0;

  for (int32_t i = 0; i < sim->options.engines; i++)
    {
      const sim_engine_t *engine = &sim->engines[i];

      for (int32_t first = 0, last = 0; last < engine->start_count; last++)
        {
          while (engine->starts[last] - engine->starts[first] >= SIM_WINDOW_MS)
            first++;
          if (engine->starts[first] >= from_ms && last - first + 1 > most)
            most = last - first + 1;
        }
    }
  return most;
}

/* Returns the mean number of starts of an engine in SIM_WINDOW_MS from @p from_ms until now. */
static inline double
sim_get_mean_starts (const sim_t *sim, int64_t from_ms)
{
  int32_t starts = 0;

  for (int32_t i = 0; i < sim->options.engines; i++)
    for (int32_t j = 0; j < sim->engines[i].start_count; j++)
      starts += sim->engines[i].starts[j] >= from_ms ? 1 : 0;
  return (double)starts / sim->options.engines * SIM_WINDOW_MS / (double)(sim->now_ms - from_ms);
}

#endif
