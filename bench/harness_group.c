#include "harness_group.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/load/pass_limiter.h"
#include "bilberrytray/maps/group_rounds.h"
#include "harness_deviates.h"

enum
{
  MS_PER_S = 1000,
  REPORT_MS = 100,        /* between two reports of a rank */
  PLAN_MS = 200,          /* between two plans while demand does not jump */
  ORDERS_MS = 100,        /* duration of the orders of a round, without the copying */
  ACTIVATION_PASSES = 3,  /* passes from the last order until the new map is in use */
  ABANDON_MS = 2000,      /* callers leave when they have not been admitted by then */
  PICKS_PER_REQUEST = 40, /* expert selections of a request in one set and pass */
  CHUNK_TOKENS = 512,     /* prompt tokens that a rank reads per step, at most */
  DRIFT_STEPS = 10,
  SWAPS_PER_EXPERT = 3,
  MAX_REQUESTS = 65536,
  EPOCH = 1,
  SET_SHIFT = 16,
};

static const double copy_slowdown = 0.15;
static const double shipped_pass_time_share = 0.70;

/** One caller's request. */
typedef struct request
{
  double arrival_ms;
  double unread_tokens; /* prompt tokens that are still to be read */
  int32_t events_left;
  int32_t rank; /* -1 while it is queued */
  double first_event_ms;
  double longest_pause_ms;
} request_t;

/** State of one simulation. */
typedef struct group
{
  bt_context_t *ctx;
  const bt_group_load_t *load;
  const bt_group_variant_t *variant;
  bt_group_result_t *result;
  bt_random_t random;
  double now_ms;
  double next_arrival_ms;
  double next_shift_ms;
  int32_t shifts;
  request_t *requests; /* queued and running */
  int32_t count;
  double *popularity; /* by set and expert; adds up to 1 in each set */
  double *picks;      /* of the current pass, by set and expert, as shares of the set */
  double *unreported; /* counts that are not reported yet, by rank, set and expert */
  int32_t running[BT_MAX_RANKS];
  double reported_ms[BT_MAX_RANKS];
  bt_group_maps_t *maps;
  bt_expert_map_t *map;
  bt_pass_limiter_t *limiter;
  int64_t version;
  int64_t step;
  double next_plan_ms;
  double copies_done_ms; /* when the copying of the current round ends; 0: no round in progress */
  int32_t activation_passes_left;
} group_t;

static int32_t
count_cells (const group_t *group)
{
  return group->load->engine.expert_sets * group->load->engine.experts;
}

/* Draws uniformly from half to one and a half of the mean. */
static double
draw_around (bt_random_t *random, double mean)
{
  return mean * (0.5 + bt_random_unit (random));
}

static void
swap_popularity (group_t *group, int32_t set)
{
  int32_t experts = group->load->engine.experts;
  double *popularity = &group->popularity[(ptrdiff_t)set * experts];
  int32_t one = (int32_t)bt_random_below (&group->random, (uint64_t)experts);
  int32_t other = (int32_t)bt_random_below (&group->random, (uint64_t)experts);
  double saved = popularity[one];

  popularity[one] = popularity[other];
  popularity[other] = saved;
}

static void
swap_repeatedly (group_t *group, int32_t set, int32_t swaps)
{
  for (int32_t i = 0; i < swaps; i++)
    swap_popularity (group, set);
}

static void
shuffle_set (group_t *group, int32_t set)
{
  swap_repeatedly (group, set, SWAPS_PER_EXPERT * group->load->engine.experts);
}

static void
jump_demand (group_t *group)
{
  for (int32_t set = 0; set < group->load->engine.expert_sets; set++)
    if (bt_random_unit (&group->random) < group->load->shift_share)
      shuffle_set (group, set);
}

static void
drift_demand (group_t *group)
{
  double swaps = group->load->shift_share / DRIFT_STEPS * group->load->engine.experts / 2;

  for (int32_t set = 0; set < group->load->engine.expert_sets; set++)
    swap_repeatedly (group, set, (int32_t)(swaps + 0.5));
}

/* Sets the popularity of experts to a power law of their position in a random order, which is drawn
 * for each set. */
static void
draw_popularity (group_t *group)
{
  int32_t experts = group->load->engine.experts;
  double sum = 0;

  for (int32_t i = 0; i < experts; i++)
    sum += pow (i + 1, -group->load->skew);
  for (int32_t i = 0; i < count_cells (group); i++)
    group->popularity[i] = pow (i % experts + 1, -group->load->skew) / sum;
  for (int32_t set = 0; set < group->load->engine.expert_sets; set++)
    shuffle_set (group, set);
}

/* Alternates between two popularities. */
static void
alternate_popularity (group_t *group)
{
  bt_random_t saved = group->random;

  bt_seed_random (&group->random, (uint64_t)(group->shifts % 2 + 1));
  draw_popularity (group);
  group->random = saved;
}

static void
shift_demand (group_t *group)
{
  const bt_group_load_t *load = group->load;
  bool drifts = load->shift == BT_SHIFT_DRIFT;

  if (load->shift == BT_SHIFT_NONE || group->now_ms < group->next_shift_ms)
    return;
  group->next_shift_ms += (double)load->shift_ms / (drifts ? DRIFT_STEPS : 1);
  if (load->shift == BT_SHIFT_JUMP)
    jump_demand (group);
  else if (drifts)
    drift_demand (group);
  else
    alternate_popularity (group);
  group->shifts++;
}

/* Sets up map 0 as the platform does: experts are assigned to ranks in turn. */
static void
assign_initial_map (group_t *group)
{
  const bt_engine_t *engine = &group->load->engine;
  int32_t ranks = group->load->ranks;

  for (int32_t rank = 0; rank < ranks; rank++)
    {
      uint32_t places[BT_MAP_MAX_EXPERTS];

      for (int32_t set = 0; set < engine->expert_sets; set++)
        {
          int32_t count = 0;

          for (int32_t expert = rank; expert < engine->experts; expert += ranks)
            places[count++] = (uint32_t)set << SET_SHIFT | (uint32_t)expert;
          bt_record_rank_places (group->ctx, group->maps, rank, EPOCH, 0, places, count);
        }
    }
  group->map =
      bt_copy_expert_map (group->ctx, bt_get_group_map (group->ctx, group->maps, EPOCH, 0));
}

static void
init_group (group_t *group, uint64_t seed)
{
  const bt_group_load_t *load = group->load;
  bt_context_t *ctx = group->ctx;
  bt_pass_limiter_settings_t limiter_settings = {
    .ranks = load->ranks,
    .min_pass_ms = load->engine.step_ms * load->engine.stride,
    .target_pass_ms = group->variant->pass_time_share * (double)load->max_pause_ms,
    .pause_ms = (double)load->max_pause_ms,
    .slots = load->engine.slots,
  };

  bt_seed_random (&group->random, seed);
  group->requests = bt_calloc (ctx, MAX_REQUESTS, sizeof *group->requests);
  group->popularity = bt_calloc (ctx, (size_t)count_cells (group), sizeof (double));
  group->picks = bt_calloc (ctx, (size_t)count_cells (group), sizeof (double));
  group->unreported =
      bt_calloc (ctx, (size_t)count_cells (group) * (size_t)load->ranks, sizeof (double));
  group->maps = bt_new_group_maps (ctx, &load->engine, load->ranks, &group->variant->maps);
  group->limiter = bt_new_pass_limiter (ctx, &limiter_settings);
  group->next_shift_ms = (double)load->shift_ms;
  for (int32_t rank = 0; rank < load->ranks; rank++)
    group->reported_ms[rank] = (double)(rank * REPORT_MS) / load->ranks;
  draw_popularity (group);
  assign_initial_map (group);
}

static void
free_group (group_t *group)
{
  bt_free (group->ctx, group->requests);
  bt_free (group->ctx, group->popularity);
  bt_free (group->ctx, group->picks);
  bt_free (group->ctx, group->unreported);
  bt_drop_group_maps (group->ctx, group->maps);
  bt_drop_expert_map (group->ctx, group->map);
  bt_drop_pass_limiter (group->ctx, group->limiter);
}

static void
add_arrivals (group_t *group)
{
  const bt_group_load_t *load = group->load;

  while (group->next_arrival_ms <= group->now_ms && group->next_arrival_ms < load->duration_ms
         && group->count < MAX_REQUESTS)
    {
      request_t *request = &group->requests[group->count++];

      *request = (request_t){ .arrival_ms = group->next_arrival_ms, .rank = -1 };
      request->unread_tokens = draw_around (&group->random, load->prompt_tokens);
      request->events_left = (int32_t)draw_around (&group->random, load->events) + 1;
      group->result->requests++;
      group->next_arrival_ms -=
          log (1.0 - bt_random_unit (&group->random)) * MS_PER_S / load->requests_per_s;
    }
}

static void
remove_request (group_t *group, int32_t index)
{
  memmove (&group->requests[index], &group->requests[index + 1],
           (size_t)(group->count - index - 1) * sizeof *group->requests);
  group->count--;
}

static void
drop_abandoned_requests (group_t *group)
{
  for (int32_t i = group->count - 1; i >= 0; i--)
    if (group->requests[i].rank < 0 && group->now_ms - group->requests[i].arrival_ms > ABANDON_MS)
      {
        remove_request (group, i);
        group->result->abandoned++;
      }
}

/* Returns the next request to admit: the first that has waited for less than half of its target
 * time, else the first of all; NULL if none is queued. */
static request_t *
find_next_queued (group_t *group)
{
  request_t *first = NULL;

  for (int32_t i = 0; i < group->count; i++)
    {
      request_t *request = &group->requests[i];

      if (request->rank >= 0)
        continue;
      if (group->now_ms - request->arrival_ms < (double)group->load->target_ms / 2)
        return request;
      if (first == NULL)
        first = request;
    }
  return first;
}

static int32_t
find_least_loaded_rank (const group_t *group)
{
  int32_t best = 0;

  for (int32_t rank = 1; rank < group->load->ranks; rank++)
    if (group->running[rank] < group->running[best])
      best = rank;
  return best;
}

static void
admit_requests (group_t *group)
{
  int32_t limit = bt_get_running_limit (group->limiter);

  while (true)
    {
      int32_t rank = find_least_loaded_rank (group);
      request_t *request = find_next_queued (group);

      if (request == NULL || group->running[rank] >= limit)
        return;
      request->rank = rank;
      group->running[rank]++;
    }
}

/* Computes the milliseconds of work of each rank in the pass, and reads prompt tokens of the
 * requests. */
static void
sum_work (group_t *group, double *work)
{
  const bt_engine_t *engine = &group->load->engine;
  double chunk_left[BT_MAX_RANKS] = { 0 };

  memset (work, 0, (size_t)group->load->ranks * sizeof *work);
  for (int32_t rank = 0; rank < BT_MAX_RANKS; rank++)
    chunk_left[rank] = CHUNK_TOKENS * engine->stride;
  for (int32_t i = 0; i < group->count; i++)
    {
      request_t *request = &group->requests[i];
      double read;

      if (request->rank < 0)
        continue;
      if (request->unread_tokens <= 0)
        {
          work[request->rank] += engine->stride * engine->step_request_ms;
          continue;
        }
      read = fmin (request->unread_tokens, chunk_left[request->rank]);
      chunk_left[request->rank] -= read;
      request->unread_tokens -= read;
      work[request->rank] += read / engine->read_tokens_per_ms;
    }
}

/* Draws the experts that the requests select in this pass; the counts scatter around the
 * popularity. */
static void
draw_picks (group_t *group)
{
  int32_t experts = group->load->engine.experts;
  int32_t running = 1;

  for (int32_t rank = 0; rank < group->load->ranks; rank++)
    running += group->running[rank];
  for (int32_t i = 0; i < count_cells (group); i++)
    {
      group->picks[i] =
          bt_draw_count (&group->random, group->popularity[i] * PICKS_PER_REQUEST * running);
      for (int32_t rank = 0; rank < group->load->ranks; rank++)
        group->unreported[rank * count_cells (group) + i] += group->picks[i] / group->load->ranks;
    }
  for (int32_t set = 0; set < group->load->engine.expert_sets; set++)
    {
      double sum = 0;

      for (int32_t i = 0; i < experts; i++)
        sum += group->picks[set * experts + i];
      for (int32_t i = 0; sum > 0 && i < experts; i++)
        group->picks[set * experts + i] /= sum;
    }
}

/* Returns the busiest rank's share of the work of a set. */
static double
get_busiest_rank_share (const group_t *group, int32_t set)
{
  int32_t experts = group->load->engine.experts;
  double load[BT_MAX_RANKS] = { 0 };
  double max_share = 0;

  for (int32_t expert = 0; expert < experts; expert++)
    {
      bt_rank_set_t holders = bt_get_map_ranks (group->map, set, expert);
      double share = group->picks[set * experts + expert] / bt_count_ranks (holders);

      for (int32_t rank = bt_find_rank (holders, 0); rank != BT_NO_RANK;
           rank = bt_find_rank (holders, rank + 1))
        load[rank] += share;
    }
  for (int32_t rank = 0; rank < group->load->ranks; rank++)
    max_share = fmax (max_share, load[rank]);
  return max_share;
}

static double
run_pass (group_t *group)
{
  const bt_engine_t *engine = &group->load->engine;
  double work[BT_MAX_RANKS];
  double max_own_ms = 0;
  double total_ms = 0;
  double skew = 0;
  double pass_ms;

  sum_work (group, work);
  draw_picks (group);
  for (int32_t rank = 0; rank < group->load->ranks; rank++)
    {
      max_own_ms = fmax (max_own_ms, work[rank]);
      total_ms += work[rank];
    }
  for (int32_t set = 0; set < engine->expert_sets; set++)
    skew += get_busiest_rank_share (group, set) * group->load->ranks / engine->expert_sets;
  pass_ms = engine->stride * engine->step_ms + (1 - engine->expert_share) * max_own_ms
            + engine->expert_share * total_ms / group->load->ranks * skew;
  if (group->now_ms < group->copies_done_ms)
    pass_ms *= 1 + copy_slowdown;
  group->result->skew += skew;
  group->result->passes++;
  return pass_ms;
}

static void
end_request (group_t *group, int32_t index)
{
  const request_t *request = &group->requests[index];
  bool in_time = request->first_event_ms - request->arrival_ms <= (double)group->load->target_ms
                 && request->longest_pause_ms <= (double)group->load->max_pause_ms;

  group->result->in_time += in_time;
  group->result->late += !in_time;
  group->running[request->rank]--;
  remove_request (group, index);
}

static void
send_events (group_t *group, double pass_ms)
{
  for (int32_t i = group->count - 1; i >= 0; i--)
    {
      request_t *request = &group->requests[i];

      if (request->rank < 0 || request->unread_tokens > 0)
        continue;
      if (request->first_event_ms > 0)
        request->longest_pause_ms = fmax (request->longest_pause_ms, pass_ms);
      else
        request->first_event_ms = group->now_ms;
      if (--request->events_left <= 0)
        end_request (group, i);
    }
}

static void
report_ranks (group_t *group)
{
  int32_t cells = count_cells (group);
  int32_t limit = bt_get_running_limit (group->limiter);
  uint32_t *counts = bt_calloc (group->ctx, (size_t)cells, sizeof *counts);

  for (int32_t rank = 0; rank < group->load->ranks; rank++)
    {
      double *unreported = &group->unreported[(ptrdiff_t)rank * cells];
      int64_t now_ms = (int64_t)group->now_ms;

      if (group->now_ms - group->reported_ms[rank] < REPORT_MS)
        continue;
      group->reported_ms[rank] = group->now_ms;
      for (int32_t i = 0; i < cells; i++)
        {
          counts[i] = (uint32_t)unreported[i];
          unreported[i] -= counts[i];
        }
      bt_record_pass (group->limiter, rank, group->step, group->running[rank], now_ms);
      bt_record_group_rank_running (group->maps, rank, group->running[rank], limit, now_ms);
      bt_record_rank_picks (group->maps, counts, cells, now_ms);
    }
  bt_free (group->ctx, counts);
}

/* Returns the number of experts that the rank with most copies has to copy. */
static int32_t
count_max_copies (group_t *group, const bt_expert_map_t *next)
{
  int32_t copies[BT_MAX_RANKS] = { 0 };
  int32_t max = 0;

  for (int32_t set = 0; set < group->load->engine.expert_sets; set++)
    for (int32_t expert = 0; expert < group->load->engine.experts; expert++)
      for (int32_t rank = 0; rank < group->load->ranks; rank++)
        {
          if (!bt_is_map_holder (next, set, expert, rank)
              || bt_is_map_holder (group->map, set, expert, rank))
            continue;
          copies[rank]++;
          group->result->copies++;
          if (copies[rank] > max)
            max = copies[rank];
        }
  return max;
}

static void
begin_round (group_t *group)
{
  const bt_engine_t *engine = &group->load->engine;
  double copy_ms = engine->expert_mb * 8 * MS_PER_S / engine->link_mbps;
  const bt_expert_map_t *next;
  double skew[2];

  if (bt_poll_group_jump (group->maps, (int64_t)group->now_ms))
    group->next_plan_ms = group->now_ms;
  if (group->now_ms < group->next_plan_ms)
    return;
  group->next_plan_ms = group->now_ms + PLAN_MS;
  next = bt_plan_next_group_map (group->ctx, group->maps, (int64_t)group->now_ms, skew);
  if (next == NULL)
    return;
  group->copies_done_ms = group->now_ms + count_max_copies (group, next) * copy_ms + ORDERS_MS;
  group->activation_passes_left = ACTIVATION_PASSES;
  group->result->rounds++;
}

static void
end_round (group_t *group)
{
  if (group->now_ms < group->copies_done_ms || --group->activation_passes_left > 0)
    return;
  group->copies_done_ms = 0;
  bt_drop_expert_map (group->ctx, group->map);
  group->map = bt_copy_expert_map (group->ctx, bt_get_next_group_map (group->maps));
  bt_activate_next_group_map (group->ctx, group->maps, ++group->version);
}

/* Plans a map for the actual demand and uses it at once. */
static void
apply_known_demand (group_t *group)
{
  const bt_engine_t *engine = &group->load->engine;
  bt_expert_load_t *true_load =
      bt_new_expert_load (group->ctx, engine->expert_sets, engine->experts, MS_PER_S);
  bt_map_input_t input = { .current = group->map,
                           .load = true_load,
                           .weights = { .skew_weight = 1, .horizon_ms = MS_PER_S },
                           .limits = { .slots = engine->places, .expert_share = 1 } };
  bt_map_plan_t *plan;

  for (int32_t i = 0; i < count_cells (group); i++)
    bt_add_expert_load (true_load, i / engine->experts, i % engine->experts, group->popularity[i]);
  plan = bt_plan_map (group->ctx, bt_get_full_planner (), &input);
  bt_drop_expert_map (group->ctx, group->map);
  group->map = bt_copy_expert_map (group->ctx, plan->next);
  bt_drop_map_plan (group->ctx, plan);
  bt_drop_expert_load (group->ctx, true_load);
}

static void
update_map (group_t *group)
{
  if (group->variant->demand_known)
    apply_known_demand (group);
  else if (group->copies_done_ms > 0)
    end_round (group);
  else
    begin_round (group);
}

bt_group_variant_t
bt_get_shipped_group_variant (void)
{
  return (bt_group_variant_t){ .name = "as shipped",
                               .maps = bt_get_default_group_maps_settings (),
                               .pass_time_share = shipped_pass_time_share };
}

void
bt_simulate_group (bt_context_t *ctx,
                   const bt_group_load_t *load,
                   const bt_group_variant_t *variant,
                   uint64_t seed,
                   bt_group_result_t *result)
{
  group_t group = { .ctx = ctx, .load = load, .variant = variant, .result = result };

  memset (result, 0, sizeof *result);
  init_group (&group, seed);
  while (group.now_ms < load->duration_ms || group.count > 0)
    {
      double pass_ms;

      shift_demand (&group);
      add_arrivals (&group);
      drop_abandoned_requests (&group);
      admit_requests (&group);
      pass_ms = run_pass (&group);
      group.now_ms += pass_ms;
      group.step++;
      result->pass_ms += pass_ms;
      send_events (&group, pass_ms);
      report_ranks (&group);
      update_map (&group);
    }
  result->pass_ms /= result->passes;
  result->skew /= result->passes;
  free_group (&group);
}
