/** @file
 * Measures the CPU time per second that the leader of one rank group spends on handling the
 * reports of all ranks, on planning, and on sending the orders of rounds. Frames are encoded and
 * decoded as on a link; sockets are left out. Demand jumps every three seconds. The run is
 * seeded. Times differ between machines, so the last column gives the total as a ratio to the
 * smallest group.
 */

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "agent_links.h"
#include "bilberrytray/base.h"
#include "bilberrytray/maps/group_rounds.h"
#include "bilberrytray/wire/engine_messages.h"
#include "bilberrytray/wire/frame.h"
#include "group_maps.h"
#include "harness_cpu.h"
#include "harness_deviates.h"

enum
{
  SEED = 20260701,
  RUN_MS = 9000,
  TICK_MS = 20,
  PASS_MS = 60,
  REPORT_MS = 100,
  PLAN_MS = 200,
  JUMP_MS = 3000,
  COPY_MS = 80,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
  MAX_FRAME_BYTES = 1 << 20,
  SET_SHIFT = 16,
  EPOCH = 1,
};

/* Expert selections of a rank in one set and pass: its requests times the experts that each
 * selects. */
static const double picks_per_pass = 480;
static const double popularity_exponent = 1.2;

/** Dimensions of a rank group. */
typedef struct shape
{
  int32_t ranks;
  int32_t sets;
  int32_t experts;
  int32_t places;
} shape_t;

static const shape_t shapes[] = {
  { 32, 12, 128, 5 },
  { 72, 12, 144, 5 },
  { 192, 10, 384, 3 },
  { 384, 10, 384, 3 },
};

/** CPU time by kind of work, ns, and counters of the run. */
typedef struct costs
{
  int64_t reports_ns;
  int64_t plans_ns;
  int64_t orders_ns;
  int32_t plan_count;
  int32_t rounds;
  int64_t order_bytes;
  int64_t report_bytes;
  double skew;
} costs_t;

/** A rank group: its emulated engines and its leader. */
typedef struct managed_group
{
  bt_context_t *ctx;
  shape_t shape;
  bt_random_t random;
  double *popularity; /* by set and expert */
  uint32_t *counts;   /* of one report */
  bt_rank_report_t *engines;
  int64_t *copy_done_ms;      /* by rank: when the copying for a PREPARE order is done */
  int64_t *preparing_version; /* by rank: the version that the engine prepares; 0: none */
  bt_group_maps_t *maps;
  bt_group_rounds_t *rounds;
  int64_t target_version;
  int64_t next_plan_ms;
  bt_map_bytes_t map; /* the planned map, encoded */
  int64_t map_version;
  costs_t costs;
} managed_group_t;

static int32_t
count_cells (const managed_group_t *group)
{
  return group->shape.sets * group->shape.experts;
}

static void
draw_popularity (managed_group_t *group)
{
  int32_t experts = group->shape.experts;

  for (int32_t set = 0; set < group->shape.sets; set++)
    {
      double *popularity = &group->popularity[(ptrdiff_t)set * experts];
      double sum = 0;

      for (int32_t i = 0; i < experts; i++)
        sum += pow (i + 1, -popularity_exponent);
      for (int32_t i = 0; i < experts; i++)
        popularity[i] = pow (i + 1, -popularity_exponent) / sum;
      for (int32_t i = experts - 1; i > 0; i--)
        {
          int32_t other = (int32_t)bt_random_below (&group->random, (uint64_t)i + 1);
          double saved = popularity[i];

          popularity[i] = popularity[other];
          popularity[other] = saved;
        }
    }
}

static void
record_initial_places (managed_group_t *group)
{
  for (int32_t rank = 0; rank < group->shape.ranks; rank++)
    {
      uint32_t *places = bt_calloc (group->ctx, (size_t)count_cells (group), sizeof *places);
      int32_t count = 0;

      for (int32_t set = 0; set < group->shape.sets; set++)
        for (int32_t expert = rank; expert < group->shape.experts; expert += group->shape.ranks)
          places[count++] = (uint32_t)set << SET_SHIFT | (uint32_t)expert;
      if (group->shape.ranks > group->shape.experts)
        for (int32_t set = 0; set < group->shape.sets; set++)
          places[count++] = (uint32_t)set << SET_SHIFT | (uint32_t)(rank % group->shape.experts);
      bt_record_rank_places (group->ctx, group->maps, rank, EPOCH, 0, places, count);
      bt_free (group->ctx, places);
    }
}

static bool
start_group (managed_group_t *group)
{
  size_t ranks = (size_t)group->shape.ranks;
  bt_engine_t engine = { .expert_sets = group->shape.sets,
                         .experts = group->shape.experts,
                         .places = group->shape.places,
                         .spare_places = 2,
                         .expert_mb = 440,
                         .link_mbps = 92000,
                         .expert_share = 0.85 };
  bt_group_rounds_settings_t rounds = { .ranks = group->shape.ranks,
                                        .hold_steps = 4,
                                        .resend_ms = 120,
                                        .stale_ms = 1200,
                                        .prepare_limit_ms = 3000,
                                        .arm_limit_ms = 1500,
                                        .silence_ms = 250 };
  bt_group_maps_settings_t maps = bt_get_default_group_maps_settings ();

  group->ctx = bt_new_context ();
  bt_set_log_level (group->ctx, -1);
  bt_seed_random (&group->random, SEED);
  group->popularity = bt_calloc (group->ctx, (size_t)count_cells (group), sizeof (double));
  group->counts = bt_calloc (group->ctx, (size_t)count_cells (group), sizeof (uint32_t));
  group->engines = bt_calloc (group->ctx, ranks, sizeof *group->engines);
  group->copy_done_ms = bt_calloc (group->ctx, ranks, sizeof (int64_t));
  group->preparing_version = bt_calloc (group->ctx, ranks, sizeof (int64_t));
  group->maps = bt_new_group_maps (group->ctx, &engine, group->shape.ranks, &maps);
  if (group->maps == NULL)
    return false;
  group->rounds = bt_new_group_rounds (group->ctx, &rounds);
  bt_start_leading_group (group->rounds, 1);
  for (int32_t rank = 0; rank < group->shape.ranks; rank++)
    {
      group->engines[rank].epoch = EPOCH;
      group->engines[rank].open = true;
      group->engines[rank].held_step = BT_NO_STEP;
    }
  record_initial_places (group);
  return true;
}

static void
free_group (managed_group_t *group)
{
  bt_free (group->ctx, group->popularity);
  bt_free (group->ctx, group->counts);
  bt_free (group->ctx, group->engines);
  bt_free (group->ctx, group->copy_done_ms);
  bt_free (group->ctx, group->preparing_version);
  bt_free (group->ctx, group->map.data);
  bt_drop_group_maps (group->ctx, group->maps);
  bt_drop_group_rounds (group->ctx, group->rounds);
  bt_drop_context (group->ctx);
}

/* Encodes the report that the agent of a rank sends. */
static void
write_report (managed_group_t *group, int32_t rank, int64_t now_ms, bt_buffer_t *buffer)
{
  bt_engine_report_t report = { .group = "group", .rank = rank, .ranks = group->shape.ranks };
  Bilberry__EngineReport message = BILBERRY__ENGINE_REPORT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  double picks = picks_per_pass * REPORT_MS / PASS_MS;

  report.maps = group->engines[rank];
  report.running = 8;
  report.pace = 1;
  for (int32_t i = 0; i < count_cells (group); i++)
    group->counts[i] = (uint32_t)(group->popularity[i] * picks + bt_random_unit (&group->random));
  bt_write_engine_report (&report, &message);
  if ((now_ms / REPORT_MS + rank) % bt_get_picks_interval (group->shape.ranks) == 0)
    {
      message.picks = group->counts;
      message.n_picks = (size_t)count_cells (group);
    }
  frame.body_case = BILBERRY__FRAME__BODY_ENGINE_REPORT;
  frame.engine_report = &message;
  bt_encode_frame (group->ctx, buffer, &frame);
}

static void
handle_report (managed_group_t *group, bt_buffer_t *buffer, int64_t now_ms)
{
  bt_error_t error = { 0 };
  bt_frame_t *frame = bt_decode_frame (buffer, MAX_FRAME_BYTES, &error);
  const Bilberry__EngineReport *message = frame->engine_report;
  bt_engine_report_t report;

  bt_read_engine_report (message, &report);
  bt_set_rank_pace (group->maps, report.rank, report.pace);
  bt_record_group_rank_running (group->maps, report.rank, report.running, 10, now_ms);
  bt_record_rank_picks (group->maps, message->picks, (int32_t)message->n_picks, now_ms);
  bt_handle_rank_report (group->rounds, report.rank, &report.maps, now_ms);
  bt_drop_frame (frame);
}

static void
report_rank (managed_group_t *group, int32_t rank, int64_t now_ms)
{
  bt_buffer_t buffer = { 0 };
  int64_t start_ns;

  if (group->preparing_version[rank] != 0 && now_ms >= group->copy_done_ms[rank])
    {
      group->engines[rank].prepared = group->preparing_version[rank];
      group->preparing_version[rank] = 0;
    }
  write_report (group, rank, now_ms, &buffer);
  group->costs.report_bytes += (int64_t)bt_get_buffer_bytes (&buffer);
  start_ns = bt_read_cpu_ns ();
  handle_report (group, &buffer, now_ms);
  group->costs.reports_ns += bt_read_cpu_ns () - start_ns;
  bt_clear_buffer (group->ctx, &buffer);
}

/* Applies an order to the emulated engine, which answers it at once. */
static void
execute_order (managed_group_t *group, const bt_group_order_t *order, int64_t now_ms)
{
  bt_rank_report_t *engine = &group->engines[order->rank];

  engine->sequence++;
  if (order->kind == BT_GROUP_PREPARE)
    {
      group->preparing_version[order->rank] = order->version;
      group->copy_done_ms[order->rank] = now_ms + COPY_MS;
    }
  else if (order->kind == BT_GROUP_HOLD)
    engine->held_step = order->step;
  else if (order->kind == BT_GROUP_GO)
    engine->held_step = BT_NO_STEP;
  else if (order->kind == BT_GROUP_ARM)
    {
      engine->armed_version = order->version;
      engine->armed_step = order->step;
    }
  bt_handle_group_order_result (group->rounds, order->via, order->id, BT_ORDER_DONE,
                                &group->engines[order->via], now_ms);
}

/* Encodes one order. A map is encoded once for all ranks. */
static void
write_order (managed_group_t *group, const bt_group_order_t *order, bt_buffer_t *buffer)
{
  Bilberry__EngineOrder message = BILBERRY__ENGINE_ORDER__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  bt_error_t error = { 0 };

  bt_write_engine_order (order, &message);
  if (order->kind == BT_GROUP_PREPARE && group->map_version != order->version)
    {
      bt_free (group->ctx, group->map.data);
      group->map = (bt_map_bytes_t){ NULL };
      bt_encode_expert_map (group->ctx, bt_get_next_group_map (group->maps), &group->map, &error);
#ifndef ENCODE_FOR_EACH_RANK
      group->map_version = order->version;
#endif
    }
  if (order->kind == BT_GROUP_PREPARE)
    message.map = (ProtobufCBinaryData){ group->map.bytes, group->map.data };
  frame.body_case = BILBERRY__FRAME__BODY_ENGINE_ORDER;
  frame.engine_order = &message;
  bt_encode_frame (group->ctx, buffer, &frame);
}

static void
send_orders (managed_group_t *group, int64_t now_ms)
{
  bt_group_order_t order;
  bt_group_order_t *orders = bt_calloc (group->ctx, (size_t)group->shape.ranks * 2, sizeof *orders);
  int32_t count = 0;
  int64_t start_ns = bt_read_cpu_ns ();

  while (count < group->shape.ranks * 2 && bt_next_group_order (group->rounds, now_ms, &order))
    {
      bt_buffer_t buffer = { 0 };

      write_order (group, &order, &buffer);
      group->costs.order_bytes += (int64_t)bt_get_buffer_bytes (&buffer);
      bt_clear_buffer (group->ctx, &buffer);
      orders[count++] = order;
    }
  for (int32_t i = 0; i < count; i++)
    execute_order (group, &orders[i], now_ms);
  group->costs.orders_ns += bt_read_cpu_ns () - start_ns;
  bt_free (group->ctx, orders);
}

static void
plan_round (managed_group_t *group, int64_t now_ms)
{
  int64_t start_ns;
  double skew[2] = { 0 };

  if (bt_get_group_phase (group->rounds) != BT_GROUP_CALM)
    return;
  if (group->target_version != 0)
    bt_activate_next_group_map (group->ctx, group->maps, group->target_version);
  group->target_version = 0;
  if (bt_poll_group_jump (group->maps, now_ms))
    group->next_plan_ms = now_ms;
  if (now_ms < group->next_plan_ms
      || bt_get_group_map (group->ctx, group->maps, EPOCH, bt_get_group_version (group->rounds))
             == NULL)
    return;
  group->next_plan_ms = now_ms + PLAN_MS;
  start_ns = bt_read_cpu_ns ();
  if (bt_plan_next_group_map (group->ctx, group->maps, now_ms, skew) != NULL)
    group->target_version = bt_begin_group_round (group->rounds, now_ms);
  group->costs.plans_ns += bt_read_cpu_ns () - start_ns;
  group->costs.plan_count++;
  group->costs.rounds += group->target_version != 0;
  group->costs.skew += skew[0];
}

/* Starts the next step of the group, unless a rank holds it before that step. */
static void
begin_step (managed_group_t *group)
{
  int64_t step = group->engines[0].step + 1;

  for (int32_t rank = 0; rank < group->shape.ranks; rank++)
    if (group->engines[rank].held_step == step)
      return;
  for (int32_t rank = 0; rank < group->shape.ranks; rank++)
    {
      bt_rank_report_t *engine = &group->engines[rank];

      engine->step = step;
      if (engine->armed_version == 0 || engine->armed_step != step)
        continue;
      engine->version = engine->armed_version;
      engine->armed_version = 0;
    }
}

static void
run_group (managed_group_t *group)
{
  int32_t ticks_per_report = REPORT_MS / TICK_MS;

  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += TICK_MS)
    {
      if (now_ms % JUMP_MS == 0)
        draw_popularity (group);
      if (now_ms % PASS_MS == 0)
        begin_step (group);
      for (int32_t rank = 0; rank < group->shape.ranks; rank++)
        if (bt_poll_report_request (group->rounds)
            || (now_ms / TICK_MS + rank) % ticks_per_report == 0)
          report_rank (group, rank, now_ms);
      plan_round (group, now_ms);
      send_orders (group, now_ms);
    }
}

static void
print_costs (const managed_group_t *group, double smallest_total_ms)
{
  const costs_t *costs = &group->costs;
  double seconds = (double)RUN_MS / MS_PER_S;
  double total_ms =
      (double)(costs->reports_ns + costs->plans_ns + costs->orders_ns) / NS_PER_MS / seconds;

  printf ("| %d x %d x %d | %.1f | %.1f | %.1f | %.1f | %.2f | %d | %d | %.0f | %.0f | %.1f |\n",
          group->shape.ranks, group->shape.sets, group->shape.experts,
          (double)costs->reports_ns / NS_PER_MS / seconds,
          (double)costs->plans_ns / NS_PER_MS / seconds,
          (double)costs->orders_ns / NS_PER_MS / seconds, total_ms,
          costs->plan_count == 0 ? 0 : (double)costs->plans_ns / NS_PER_MS / costs->plan_count,
          costs->plan_count, costs->rounds, (double)costs->report_bytes / MS_PER_S / seconds,
          (double)costs->order_bytes / MS_PER_S / seconds,
          smallest_total_ms > 0 ? total_ms / smallest_total_ms : 1);
}

int
main (void)
{
  double smallest_total_ms = 0;

  printf (
      "| ranks x sets x experts | reports ms/s | plans ms/s | orders ms/s | all ms/s | a plan ms"
      " | plans | rounds | reports kB/s | orders kB/s | ratio |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof shapes / sizeof shapes[0]; i++)
    {
      managed_group_t group = { .shape = shapes[i] };

      if (!start_group (&group))
        {
          printf ("| %d x %d x %d | dimensions outside the limits of a map |\n", shapes[i].ranks,
                  shapes[i].sets, shapes[i].experts);
          free_group (&group);
          continue;
        }
      run_group (&group);
      print_costs (&group, smallest_total_ms);
      if (smallest_total_ms == 0)
        smallest_total_ms =
            (double)(group.costs.reports_ns + group.costs.plans_ns + group.costs.orders_ns)
            / NS_PER_MS / ((double)RUN_MS / MS_PER_S);
      free_group (&group);
    }
  return 0;
}
