#ifndef BILBERRYTRAY_TEST_LOAD_ROOM_SIMULATION_H
#define BILBERRYTRAY_TEST_LOAD_ROOM_SIMULATION_H

/** @file
 * Entries that share engines, without a network: real routers and admission, simulated time in
 * steps of one millisecond, and engines that run each request for a fixed time.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/load/admission.h"

enum
{
  SIM_WINDOW_MS = 400,
  SIM_REPORT_MS = 100,
  SIM_DEADLINE_MS = 8000,
  SIM_MS_PER_S = 1000,
};

typedef struct sim_options
{
  int32_t entries;
  int32_t engines;
  int32_t slots;
  int32_t run_ms;
  double per_s; /* requests of all callers */
  uint64_t seed;
} sim_options_t;

typedef struct sim_run
{
  int32_t entry;
  int32_t engine;
  int64_t end_ms;
  bt_route_t route;
} sim_run_t;

typedef struct sim_engine
{
  bt_endpoint_t endpoint;
  int32_t running;
  int64_t *starts; /* times of all starts */
  int32_t start_count;
} sim_engine_t;

typedef struct sim_entry
{
  bt_router_t *router;
  bt_admission_t *admission;
} sim_entry_t;

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
  uint64_t last_id;
  int32_t arrived;
  int32_t started;
  int32_t refused;
} sim_t;

static inline sim_t *
new_sim (const sim_options_t *options)
{
  bt_context_t *ctx = bt_new_context ();
  sim_t *sim = bt_calloc (ctx, 1, sizeof *sim);
  bt_router_options_t router;
  bt_admission_options_t admission;

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
  bt_default_router_options (&router);
  bt_default_admission_options (&admission);
  router.queue_depth = 1;
  router.default_slots = options->slots;
  router.default_service_ms = options->run_ms;
  for (int32_t i = 0; i < options->entries; i++)
    {
      sim->entries[i].router = bt_new_router (ctx, &router);
      sim->entries[i].admission = bt_new_admission (ctx, sim->entries[i].router, &admission);
      bt_set_router_entries (sim->entries[i].router, options->entries);
      for (int32_t j = 0; j < options->engines; j++)
        bt_put_endpoint (ctx, sim->entries[i].router, &sim->engines[j].endpoint, sim->now_ms);
    }
  return sim;
}

static inline void
drop_sim (sim_t *sim)
{
  bt_context_t *ctx = sim->ctx;

  for (int32_t i = 0; i < sim->options.entries; i++)
    {
      bt_drop_admission (ctx, sim->entries[i].admission);
      bt_drop_router (ctx, sim->entries[i].router);
    }
  for (int32_t i = 0; i < sim->options.engines; i++)
    bt_free (ctx, sim->engines[i].starts);
  bt_free (ctx, sim->engines);
  bt_free (ctx, sim->entries);
  bt_free (ctx, sim->runs);
  bt_free (ctx, sim);
  bt_drop_context (ctx);
}

static inline void
sim_start (sim_t *sim, int32_t entry, const bt_route_t *route)
{
  sim_run_t *run;
  sim_engine_t *engine;

  sim->runs = bt_realloc (sim->ctx, sim->runs, (size_t)sim->run_count + 1, sizeof *sim->runs);
  run = &sim->runs[sim->run_count++];
  run->entry = entry;
  run->engine = (int32_t)strtol (strchr (route->identity.instance, '-') + 1, NULL, 10);
  run->end_ms = sim->now_ms + sim->options.run_ms;
  run->route = *route;
  engine = &sim->engines[run->engine];
  engine->running++;
  engine->starts = bt_realloc (sim->ctx, engine->starts, (size_t)engine->start_count + 1,
                               sizeof *engine->starts);
  engine->starts[engine->start_count++] = sim->now_ms;
  sim->started++;
  bt_record_dispatch (sim->entries[entry].router, route, 0, sim->now_ms);
}

static inline void
sim_choose (sim_t *sim, int32_t entry)
{
  const bt_route_request_t request = {
    .app = "app",
    .account = "",
    .deadline_left_ms = SIM_DEADLINE_MS,
    .seed = bt_next_random (&sim->random),
  };
  bt_route_t route;
  int64_t retry_ms;

  if (bt_choose_endpoint (sim->entries[entry].router, &request, sim->now_ms, &route, &retry_ms)
      == BT_REASON_NONE)
    sim_start (sim, entry, &route);
  else
    sim->refused++;
}

static inline void
sim_arrive (sim_t *sim, int32_t entry)
{
  const bt_admission_request_t request = {
    .id = ++sim->last_id,
    .app = "app",
    .account = "",
    .deadline_left_ms = SIM_DEADLINE_MS,
    .seed = bt_next_random (&sim->random),
  };
  bt_admission_decision_t decision;

  sim->arrived++;
  bt_decide_admission (sim->ctx, sim->entries[entry].admission, &request, sim->now_ms, &decision);
  if (decision.action == BT_ADMISSION_ADMIT)
    sim_choose (sim, entry);
  else if (decision.action == BT_ADMISSION_REFUSE)
    sim->refused++;
}

static inline void
sim_end_runs (sim_t *sim)
{
  for (int32_t i = sim->run_count - 1; i >= 0; i--)
    if (sim->runs[i].end_ms <= sim->now_ms)
      {
        const sim_run_t run = sim->runs[i];

        sim->engines[run.engine].running--;
        bt_record_attempt_end (sim->entries[run.entry].router, &run.route, BT_ATTEMPT_ANSWERED,
                               sim->options.run_ms, sim->now_ms);
        sim->runs[i] = sim->runs[--sim->run_count];
      }
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
sim_dispatch_queues (sim_t *sim)
{
  bt_admission_decision_t decision;

  for (int32_t i = 0; i < sim->options.entries; i++)
    while (bt_next_admission (sim->entries[i].admission, sim->now_ms, &decision))
      {
        if (decision.action == BT_ADMISSION_ADMIT)
          sim_choose (sim, i);
        else
          sim->refused++;
      }
}

static inline void
sim_run_for (sim_t *sim, int64_t duration_ms)
{
  const int64_t end_ms = sim->now_ms + duration_ms;

  for (; sim->now_ms < end_ms; sim->now_ms++)
    {
      sim_end_runs (sim);
      if (sim->now_ms % SIM_REPORT_MS == 0)
        sim_report (sim);
      if (bt_random_unit (&sim->random) * SIM_MS_PER_S < sim->options.per_s)
        sim_arrive (sim, (int32_t)bt_random_below (&sim->random, (uint64_t)sim->options.entries));
      sim_dispatch_queues (sim);
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
