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
  REPORT_MS = 100,    /* between two reports of a rank */
  PLAN_MS = 200,      /* between two plans without a jump */
  ORDERS_MS = 100,    /* of a round, beside the copying */
  CHANGE_PASSES = 3,  /* from the orders to the change */
  LEAVE_MS = 2000,    /* callers leave without a first event */
  PICKS = 40,         /* choices of a request in one set and pass */
  CHUNK_TOKENS = 512, /* most that a rank reads in one step */
  DRIFT_MOVES = 10,
  SHUFFLES = 3, /* swaps an expert */
  MOST_REQUESTS = 65536,
  EPOCH = 1,
  SET_SHIFT = 16,
};

static const double copy_slowdown = 0.15;
static const double shipped_pass_part = 0.70;

/** One caller's request. */
typedef struct request
{
  double arrived_ms;
  double unread; /* prompt tokens */
  int32_t events;
  int32_t rank; /* -1 while it waits */
  double first_ms;
  double longest_ms;
} request_t;

/** A group under way. */
typedef struct group
{
  bt_context_t *ctx;
  const bt_group_load_t *load;
  const bt_group_way_t *way;
  bt_group_result_t *result;
  bt_random_t random;
  double now_ms;
  double next_arrival_ms;
  double next_shift_ms;
  int32_t shifts;
  request_t *requests; /* waiting and running */
  int32_t count;
  double *popularity; /* by set and expert, 1 for a set */
  double *chosen;     /* in the present pass, by set and expert */
  double *untold;     /* counts that a rank has not reported */
  int32_t running[BT_MAX_RANKS];
  double reported_ms[BT_MAX_RANKS];
  bt_group_maps_t *maps;
  bt_expert_map_t *map;
  bt_pass_limiter_t *pace;
  int64_t version;
  int64_t step;
  double next_plan_ms;
  double copied_ms; /* of the round under way; 0: none is */
  int32_t passes_left;
} group_t;

static int32_t
count_cells (const group_t *group)
{
  return group->load->engine.expert_sets * group->load->engine.experts;
}

/* From half to one and a half of the mean. */
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
  double kept = popularity[one];

  popularity[one] = popularity[other];
  popularity[other] = kept;
}

static void
swap_often (group_t *group, int32_t set, int32_t swaps)
{
  for (int32_t i = 0; i < swaps; i++)
    swap_popularity (group, set);
}

static void
shuffle_set (group_t *group, int32_t set)
{
  swap_often (group, set, SHUFFLES * group->load->engine.experts);
}

static void
jump (group_t *group)
{
  for (int32_t set = 0; set < group->load->engine.expert_sets; set++)
    if (bt_random_unit (&group->random) < group->load->shift_share)
      shuffle_set (group, set);
}

static void
drift (group_t *group)
{
  double swaps = group->load->shift_share / DRIFT_MOVES * group->load->engine.experts / 2;

  for (int32_t set = 0; set < group->load->engine.expert_sets; set++)
    swap_often (group, set, (int32_t)(swaps + 0.5));
}

/* The popularity of place after place, in an order that is drawn for each set. */
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

/* One of two popularities in turn. */
static void
go_there_or_back (group_t *group)
{
  bt_random_t kept = group->random;

  bt_seed_random (&group->random, (uint64_t)(group->shifts % 2 + 1));
  draw_popularity (group);
  group->random = kept;
}

static void
shift_demand (group_t *group)
{
  const bt_group_load_t *load = group->load;
  bool drifts = load->shift == BT_SHIFT_DRIFT;

  if (load->shift == BT_SHIFT_NONE || group->now_ms < group->next_shift_ms)
    return;
  group->next_shift_ms += (double)load->shift_ms / (drifts ? DRIFT_MOVES : 1);
  if (load->shift == BT_SHIFT_JUMP)
    jump (group);
  else if (drifts)
    drift (group);
  else
    go_there_or_back (group);
  group->shifts++;
}

/* Map 0 of the platform gives experts to ranks in turn. */
static void
place_in_turn (group_t *group)
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
open_group (group_t *group, uint64_t seed)
{
  const bt_group_load_t *load = group->load;
  bt_context_t *ctx = group->ctx;
  bt_pass_limiter_settings_t pace = {
    .ranks = load->ranks,
    .min_pass_ms = load->engine.step_ms * load->engine.stride,
    .target_pass_ms = group->way->pass_part * (double)load->pause_ms,
    .pause_ms = (double)load->pause_ms,
    .slots = load->engine.slots,
  };

  bt_seed_random (&group->random, seed);
  group->requests = bt_calloc (ctx, MOST_REQUESTS, sizeof *group->requests);
  group->popularity = bt_calloc (ctx, (size_t)count_cells (group), sizeof (double));
  group->chosen = bt_calloc (ctx, (size_t)count_cells (group), sizeof (double));
  group->untold =
      bt_calloc (ctx, (size_t)count_cells (group) * (size_t)load->ranks, sizeof (double));
  group->maps = bt_new_group_maps (ctx, &load->engine, load->ranks, &group->way->maps);
  group->pace = bt_new_pass_limiter (ctx, &pace);
  group->next_shift_ms = (double)load->shift_ms;
  for (int32_t rank = 0; rank < load->ranks; rank++)
    group->reported_ms[rank] = (double)(rank * REPORT_MS) / load->ranks;
  draw_popularity (group);
  place_in_turn (group);
}

static void
close_group (group_t *group)
{
  bt_free (group->ctx, group->requests);
  bt_free (group->ctx, group->popularity);
  bt_free (group->ctx, group->chosen);
  bt_free (group->ctx, group->untold);
  bt_drop_group_maps (group->ctx, group->maps);
  bt_drop_expert_map (group->ctx, group->map);
  bt_drop_pass_limiter (group->ctx, group->pace);
}

static void
take_arrivals (group_t *group)
{
  const bt_group_load_t *load = group->load;

  while (group->next_arrival_ms <= group->now_ms && group->next_arrival_ms < load->run_ms
         && group->count < MOST_REQUESTS)
    {
      request_t *request = &group->requests[group->count++];

      *request = (request_t){ .arrived_ms = group->next_arrival_ms, .rank = -1 };
      request->unread = draw_around (&group->random, load->prompt_tokens);
      request->events = (int32_t)draw_around (&group->random, load->events) + 1;
      group->result->asked++;
      group->next_arrival_ms -=
          log (1.0 - bt_random_unit (&group->random)) * MS_PER_S / load->requests_a_s;
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
drop_those_who_leave (group_t *group)
{
  for (int32_t i = group->count - 1; i >= 0; i--)
    if (group->requests[i].rank < 0 && group->now_ms - group->requests[i].arrived_ms > LEAVE_MS)
      {
        remove_request (group, i);
        group->result->left++;
      }
}

/* The one that goes next: the first that can still be in time, else the first. */
static request_t *
find_next_waiting (group_t *group)
{
  request_t *first = NULL;

  for (int32_t i = 0; i < group->count; i++)
    {
      request_t *request = &group->requests[i];

      if (request->rank >= 0)
        continue;
      if (group->now_ms - request->arrived_ms < (double)group->load->aim_ms / 2)
        return request;
      if (first == NULL)
        first = request;
    }
  return first;
}

static int32_t
find_emptiest_rank (const group_t *group)
{
  int32_t best = 0;

  for (int32_t rank = 1; rank < group->load->ranks; rank++)
    if (group->running[rank] < group->running[best])
      best = rank;
  return best;
}

static void
admit (group_t *group)
{
  int32_t limit = bt_get_running_limit (group->pace);

  while (true)
    {
      int32_t rank = find_emptiest_rank (group);
      request_t *request = find_next_waiting (group);

      if (request == NULL || group->running[rank] >= limit)
        return;
      request->rank = rank;
      group->running[rank]++;
    }
}

/* What the ranks have to do in the pass, ms of work on one rank, and the reading that it holds. */
static void
sum_work (group_t *group, double *work)
{
  const bt_engine_t *engine = &group->load->engine;
  double room[BT_MAX_RANKS] = { 0 };

  memset (work, 0, (size_t)group->load->ranks * sizeof *work);
  for (int32_t rank = 0; rank < BT_MAX_RANKS; rank++)
    room[rank] = CHUNK_TOKENS * engine->stride;
  for (int32_t i = 0; i < group->count; i++)
    {
      request_t *request = &group->requests[i];
      double read;

      if (request->rank < 0)
        continue;
      if (request->unread <= 0)
        {
          work[request->rank] += engine->stride * engine->step_request_ms;
          continue;
        }
      read = fmin (request->unread, room[request->rank]);
      room[request->rank] -= read;
      request->unread -= read;
      work[request->rank] += read / engine->read_tokens_per_ms;
    }
}

/* Which experts the requests choose in this pass: each set's choices scatter round its popularity.
 */
static void
choose_experts (group_t *group)
{
  int32_t experts = group->load->engine.experts;
  int32_t running = 1;

  for (int32_t rank = 0; rank < group->load->ranks; rank++)
    running += group->running[rank];
  for (int32_t i = 0; i < count_cells (group); i++)
    {
      group->chosen[i] = bt_draw_count (&group->random, group->popularity[i] * PICKS * running);
      for (int32_t rank = 0; rank < group->load->ranks; rank++)
        group->untold[rank * count_cells (group) + i] += group->chosen[i] / group->load->ranks;
    }
  for (int32_t set = 0; set < group->load->engine.expert_sets; set++)
    {
      double sum = 0;

      for (int32_t i = 0; i < experts; i++)
        sum += group->chosen[set * experts + i];
      for (int32_t i = 0; sum > 0 && i < experts; i++)
        group->chosen[set * experts + i] /= sum;
    }
}

/* The busiest rank's part of a set's work. */
static double
get_busiest_part (const group_t *group, int32_t set)
{
  int32_t experts = group->load->engine.experts;
  double part[BT_MAX_RANKS] = { 0 };
  double busiest = 0;

  for (int32_t expert = 0; expert < experts; expert++)
    {
      bt_rank_set_t holders = bt_get_map_ranks (group->map, set, expert);
      double share = group->chosen[set * experts + expert] / bt_count_ranks (holders);

      for (int32_t rank = bt_find_rank (holders, 0); rank != BT_NO_RANK;
           rank = bt_find_rank (holders, rank + 1))
        part[rank] += share;
    }
  for (int32_t rank = 0; rank < group->load->ranks; rank++)
    busiest = fmax (busiest, part[rank]);
  return busiest;
}

static double
run_pass (group_t *group)
{
  const bt_engine_t *engine = &group->load->engine;
  double work[BT_MAX_RANKS];
  double own = 0;
  double all = 0;
  double skew = 0;
  double pass_ms;

  sum_work (group, work);
  choose_experts (group);
  for (int32_t rank = 0; rank < group->load->ranks; rank++)
    {
      own = fmax (own, work[rank]);
      all += work[rank];
    }
  for (int32_t set = 0; set < engine->expert_sets; set++)
    skew += get_busiest_part (group, set) * group->load->ranks / engine->expert_sets;
  pass_ms = engine->stride * engine->step_ms + (1 - engine->expert_share) * own
            + engine->expert_share * all / group->load->ranks * skew;
  if (group->now_ms < group->copied_ms)
    pass_ms *= 1 + copy_slowdown;
  group->result->skew += skew;
  group->result->passes++;
  return pass_ms;
}

static void
end_request (group_t *group, int32_t index)
{
  const request_t *request = &group->requests[index];
  bool in_time = request->first_ms - request->arrived_ms <= (double)group->load->aim_ms
                 && request->longest_ms <= (double)group->load->pause_ms;

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

      if (request->rank < 0 || request->unread > 0)
        continue;
      if (request->first_ms > 0)
        request->longest_ms = fmax (request->longest_ms, pass_ms);
      else
        request->first_ms = group->now_ms;
      if (--request->events <= 0)
        end_request (group, i);
    }
}

static void
report_ranks (group_t *group)
{
  int32_t cells = count_cells (group);
  int32_t limit = bt_get_running_limit (group->pace);
  uint32_t *counts = bt_calloc (group->ctx, (size_t)cells, sizeof *counts);

  for (int32_t rank = 0; rank < group->load->ranks; rank++)
    {
      double *untold = &group->untold[(ptrdiff_t)rank * cells];
      int64_t now_ms = (int64_t)group->now_ms;

      if (group->now_ms - group->reported_ms[rank] < REPORT_MS)
        continue;
      group->reported_ms[rank] = group->now_ms;
      for (int32_t i = 0; i < cells; i++)
        {
          counts[i] = (uint32_t)untold[i];
          untold[i] -= counts[i];
        }
      bt_record_pass (group->pace, rank, group->step, group->running[rank], now_ms);
      bt_record_group_rank_running (group->maps, rank, group->running[rank], limit, now_ms);
      bt_record_rank_picks (group->maps, counts, cells, now_ms);
    }
  bt_free (group->ctx, counts);
}

/* What the rank that copies most has to copy. */
static int32_t
count_most_copies (group_t *group, const bt_expert_map_t *next)
{
  int32_t copies[BT_MAX_RANKS] = { 0 };
  int32_t most = 0;

  for (int32_t set = 0; set < group->load->engine.expert_sets; set++)
    for (int32_t expert = 0; expert < group->load->engine.experts; expert++)
      for (int32_t rank = 0; rank < group->load->ranks; rank++)
        {
          if (!bt_is_map_holder (next, set, expert, rank)
              || bt_is_map_holder (group->map, set, expert, rank))
            continue;
          copies[rank]++;
          group->result->copies++;
          if (copies[rank] > most)
            most = copies[rank];
        }
  return most;
}

static void
begin_round (group_t *group)
{
  const bt_engine_t *engine = &group->load->engine;
  double copy_ms = engine->expert_mb * 8 * MS_PER_S / engine->link_mbps;
  const bt_expert_map_t *next;
  double skew[2];

  if (bt_take_group_jump (group->maps, (int64_t)group->now_ms))
    group->next_plan_ms = group->now_ms;
  if (group->now_ms < group->next_plan_ms)
    return;
  group->next_plan_ms = group->now_ms + PLAN_MS;
  next = bt_plan_next_group_map (group->ctx, group->maps, (int64_t)group->now_ms, skew);
  if (next == NULL)
    return;
  group->copied_ms = group->now_ms + count_most_copies (group, next) * copy_ms + ORDERS_MS;
  group->passes_left = CHANGE_PASSES;
  group->result->rounds++;
}

static void
end_round (group_t *group)
{
  if (group->now_ms < group->copied_ms || --group->passes_left > 0)
    return;
  group->copied_ms = 0;
  bt_drop_expert_map (group->ctx, group->map);
  group->map = bt_copy_expert_map (group->ctx, bt_get_next_group_map (group->maps));
  bt_activate_next_group_map (group->ctx, group->maps, ++group->version);
}

/* The map for demand as it is, in use at once. */
static void
follow_known_demand (group_t *group)
{
  const bt_engine_t *engine = &group->load->engine;
  bt_expert_load_t *truth =
      bt_new_expert_load (group->ctx, engine->expert_sets, engine->experts, MS_PER_S);
  bt_map_input_t input = { .current = group->map,
                           .load = truth,
                           .weights = { .skew_weight = 1, .horizon_ms = MS_PER_S },
                           .limits = { .slots = engine->places, .expert_share = 1 } };
  bt_map_plan_t *plan;

  for (int32_t i = 0; i < count_cells (group); i++)
    bt_add_expert_load (truth, i / engine->experts, i % engine->experts, group->popularity[i]);
  plan = bt_plan_map (group->ctx, bt_get_full_planner (), &input);
  bt_drop_expert_map (group->ctx, group->map);
  group->map = bt_copy_expert_map (group->ctx, plan->next);
  bt_drop_map_plan (group->ctx, plan);
  bt_drop_expert_load (group->ctx, truth);
}

static void
keep_map (group_t *group)
{
  if (group->way->known)
    follow_known_demand (group);
  else if (group->copied_ms > 0)
    end_round (group);
  else
    begin_round (group);
}

bt_group_way_t
bt_get_shipped_group_way (void)
{
  return (bt_group_way_t){ .name = "as shipped",
                           .maps = bt_get_default_group_maps_settings (),
                           .pass_part = shipped_pass_part };
}

void
bt_play_group (bt_context_t *ctx,
               const bt_group_load_t *load,
               const bt_group_way_t *way,
               uint64_t seed,
               bt_group_result_t *result)
{
  group_t group = { .ctx = ctx, .load = load, .way = way, .result = result };

  memset (result, 0, sizeof *result);
  open_group (&group, seed);
  while (group.now_ms < load->run_ms || group.count > 0)
    {
      double pass_ms;

      shift_demand (&group);
      take_arrivals (&group);
      drop_those_who_leave (&group);
      admit (&group);
      pass_ms = run_pass (&group);
      group.now_ms += pass_ms;
      group.step++;
      result->pass_ms += pass_ms;
      send_events (&group, pass_ms);
      report_ranks (&group);
      keep_map (&group);
    }
  result->pass_ms /= result->passes;
  result->skew /= result->passes;
  close_group (&group);
}
