/** @file
 * Processor time that the leader of one rank group spends on it in a second: taking in the reports
 * of all ranks, planning, and giving the orders of rounds. Frames are read and written as on a
 * link; sockets are left out. Demand jumps every three seconds. Seeded; times differ by machine, so
 * the last column gives them as a ratio to the smallest group.
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

/* Choices of a rank in one set and pass: requests by the experts that each takes. */
static const double picks_a_pass = 480;
static const double popularity_power = 1.2;

/** A group to be led. */
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

/** Where the time goes, ns. */
typedef struct costs
{
  int64_t reports;
  int64_t plans;
  int64_t orders;
  int32_t plan_count;
  int32_t rounds;
  int64_t order_bytes;
  int64_t report_bytes;
  double skew;
} costs_t;

/** A group, its engines and its leader. */
typedef struct led
{
  bt_context_t *ctx;
  shape_t shape;
  bt_random_t random;
  double *popularity; /* by set and expert */
  uint32_t *counts;   /* of one report */
  bt_rank_report_t *engines;
  int64_t *copied_ms; /* by rank: when the order to prepare is done */
  int64_t *ordered;   /* by rank: the version to be prepared */
  bt_group_maps_t *maps;
  bt_group_rounds_t *rounds;
  int64_t target;
  int64_t next_plan_ms;
  bt_map_bytes_t map; /* encoded */
  int64_t map_version;
  costs_t costs;
} led_t;

static int32_t
count_cells (const led_t *led)
{
  return led->shape.sets * led->shape.experts;
}

static void
draw_popularity (led_t *led)
{
  int32_t experts = led->shape.experts;

  for (int32_t set = 0; set < led->shape.sets; set++)
    {
      double *popularity = &led->popularity[(ptrdiff_t)set * experts];
      double sum = 0;

      for (int32_t i = 0; i < experts; i++)
        sum += pow (i + 1, -popularity_power);
      for (int32_t i = 0; i < experts; i++)
        popularity[i] = pow (i + 1, -popularity_power) / sum;
      for (int32_t i = experts - 1; i > 0; i--)
        {
          int32_t other = (int32_t)bt_random_below (&led->random, (uint64_t)i + 1);
          double kept = popularity[i];

          popularity[i] = popularity[other];
          popularity[other] = kept;
        }
    }
}

static void
tell_first_places (led_t *led)
{
  for (int32_t rank = 0; rank < led->shape.ranks; rank++)
    {
      uint32_t *places = bt_calloc (led->ctx, (size_t)count_cells (led), sizeof *places);
      int32_t count = 0;

      for (int32_t set = 0; set < led->shape.sets; set++)
        for (int32_t expert = rank; expert < led->shape.experts; expert += led->shape.ranks)
          places[count++] = (uint32_t)set << SET_SHIFT | (uint32_t)expert;
      if (led->shape.ranks > led->shape.experts)
        for (int32_t set = 0; set < led->shape.sets; set++)
          places[count++] = (uint32_t)set << SET_SHIFT | (uint32_t)(rank % led->shape.experts);
      bt_record_rank_places (led->ctx, led->maps, rank, EPOCH, 0, places, count);
      bt_free (led->ctx, places);
    }
}

static bool
start_led (led_t *led)
{
  size_t ranks = (size_t)led->shape.ranks;
  bt_engine_t engine = { .expert_sets = led->shape.sets,
                         .experts = led->shape.experts,
                         .places = led->shape.places,
                         .spare_places = 2,
                         .expert_mb = 440,
                         .link_mbps = 92000,
                         .expert_share = 0.85 };
  bt_group_rounds_settings_t rounds = { .ranks = led->shape.ranks,
                                        .hold_steps = 4,
                                        .resend_ms = 120,
                                        .stale_ms = 1200,
                                        .prepare_limit_ms = 3000,
                                        .arm_limit_ms = 1500,
                                        .silence_ms = 250 };
  bt_group_maps_settings_t maps = bt_get_default_group_maps_settings ();

  led->ctx = bt_new_context ();
  bt_set_log_level (led->ctx, -1);
  bt_seed_random (&led->random, SEED);
  led->popularity = bt_calloc (led->ctx, (size_t)count_cells (led), sizeof (double));
  led->counts = bt_calloc (led->ctx, (size_t)count_cells (led), sizeof (uint32_t));
  led->engines = bt_calloc (led->ctx, ranks, sizeof *led->engines);
  led->copied_ms = bt_calloc (led->ctx, ranks, sizeof (int64_t));
  led->ordered = bt_calloc (led->ctx, ranks, sizeof (int64_t));
  led->maps = bt_new_group_maps (led->ctx, &engine, led->shape.ranks, &maps);
  if (led->maps == NULL)
    return false;
  led->rounds = bt_new_group_rounds (led->ctx, &rounds);
  bt_start_leading_group (led->rounds, 1);
  for (int32_t rank = 0; rank < led->shape.ranks; rank++)
    {
      led->engines[rank].epoch = EPOCH;
      led->engines[rank].open = true;
      led->engines[rank].held_step = BT_NO_STEP;
    }
  tell_first_places (led);
  return true;
}

static void
finish_led (led_t *led)
{
  bt_free (led->ctx, led->popularity);
  bt_free (led->ctx, led->counts);
  bt_free (led->ctx, led->engines);
  bt_free (led->ctx, led->copied_ms);
  bt_free (led->ctx, led->ordered);
  bt_free (led->ctx, led->map.data);
  bt_drop_group_maps (led->ctx, led->maps);
  bt_drop_group_rounds (led->ctx, led->rounds);
  bt_drop_context (led->ctx);
}

/* What a rank's agent sends, as bytes. */
static void
write_report (led_t *led, int32_t rank, int64_t now_ms, bt_buffer_t *buffer)
{
  bt_engine_report_t report = { .group = "group", .rank = rank, .ranks = led->shape.ranks };
  Bilberry__EngineReport message = BILBERRY__ENGINE_REPORT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  double picks = picks_a_pass * REPORT_MS / PASS_MS;

  report.maps = led->engines[rank];
  report.running = 8;
  report.pace = 1;
  for (int32_t i = 0; i < count_cells (led); i++)
    led->counts[i] = (uint32_t)(led->popularity[i] * picks + bt_random_unit (&led->random));
  bt_write_engine_report (&report, &message);
  if ((now_ms / REPORT_MS + rank) % bt_get_picks_interval (led->shape.ranks) == 0)
    {
      message.picks = led->counts;
      message.n_picks = (size_t)count_cells (led);
    }
  frame.body_case = BILBERRY__FRAME__BODY_ENGINE_REPORT;
  frame.engine_report = &message;
  bt_encode_frame (led->ctx, buffer, &frame);
}

static void
take_report (led_t *led, bt_buffer_t *buffer, int64_t now_ms)
{
  bt_error_t error = { 0 };
  bt_frame_t *frame = bt_decode_frame (buffer, MAX_FRAME_BYTES, &error);
  const Bilberry__EngineReport *message = frame->engine_report;
  bt_engine_report_t report;

  bt_read_engine_report (message, &report);
  bt_set_rank_pace (led->maps, report.rank, report.pace);
  bt_record_group_rank_running (led->maps, report.rank, report.running, 10, now_ms);
  bt_record_rank_picks (led->maps, message->picks, (int32_t)message->n_picks, now_ms);
  bt_handle_rank_report (led->rounds, report.rank, &report.maps, now_ms);
  bt_drop_frame (frame);
}

static void
report_rank (led_t *led, int32_t rank, int64_t now_ms)
{
  bt_buffer_t buffer = { 0 };
  int64_t start_ns;

  if (led->ordered[rank] != 0 && now_ms >= led->copied_ms[rank])
    {
      led->engines[rank].prepared = led->ordered[rank];
      led->ordered[rank] = 0;
    }
  write_report (led, rank, now_ms, &buffer);
  led->costs.report_bytes += (int64_t)bt_get_buffer_bytes (&buffer);
  start_ns = bt_read_cpu_ns ();
  take_report (led, &buffer, now_ms);
  led->costs.reports += bt_read_cpu_ns () - start_ns;
  bt_clear_buffer (led->ctx, &buffer);
}

/* What an order does to an engine, which answers it at once. */
static void
carry_out (led_t *led, const bt_group_order_t *order, int64_t now_ms)
{
  bt_rank_report_t *engine = &led->engines[order->rank];

  engine->sequence++;
  if (order->kind == BT_GROUP_PREPARE)
    {
      led->ordered[order->rank] = order->version;
      led->copied_ms[order->rank] = now_ms + COPY_MS;
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
  bt_handle_group_order_result (led->rounds, order->via, order->id, BT_ORDER_DONE,
                                &led->engines[order->via], now_ms);
}

/* Writes one order; a map is encoded once for all ranks. */
static void
write_order (led_t *led, const bt_group_order_t *order, bt_buffer_t *buffer)
{
  Bilberry__EngineOrder message = BILBERRY__ENGINE_ORDER__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  bt_error_t error = { 0 };

  bt_write_engine_order (order, &message);
  if (order->kind == BT_GROUP_PREPARE && led->map_version != order->version)
    {
      bt_free (led->ctx, led->map.data);
      led->map = (bt_map_bytes_t){ NULL };
      bt_encode_expert_map (led->ctx, bt_get_next_group_map (led->maps), &led->map, &error);
#ifndef ENCODE_FOR_EACH_RANK
      led->map_version = order->version;
#endif
    }
  if (order->kind == BT_GROUP_PREPARE)
    message.map = (ProtobufCBinaryData){ led->map.bytes, led->map.data };
  frame.body_case = BILBERRY__FRAME__BODY_ENGINE_ORDER;
  frame.engine_order = &message;
  bt_encode_frame (led->ctx, buffer, &frame);
}

static void
give_orders (led_t *led, int64_t now_ms)
{
  bt_group_order_t order;
  bt_group_order_t *given = bt_calloc (led->ctx, (size_t)led->shape.ranks * 2, sizeof *given);
  int32_t count = 0;
  int64_t start_ns = bt_read_cpu_ns ();

  while (count < led->shape.ranks * 2 && bt_next_group_order (led->rounds, now_ms, &order))
    {
      bt_buffer_t buffer = { 0 };

      write_order (led, &order, &buffer);
      led->costs.order_bytes += (int64_t)bt_get_buffer_bytes (&buffer);
      bt_clear_buffer (led->ctx, &buffer);
      given[count++] = order;
    }
  for (int32_t i = 0; i < count; i++)
    carry_out (led, &given[i], now_ms);
  led->costs.orders += bt_read_cpu_ns () - start_ns;
  bt_free (led->ctx, given);
}

static void
plan (led_t *led, int64_t now_ms)
{
  int64_t start_ns;
  double skew[2] = { 0 };

  if (bt_get_group_phase (led->rounds) != BT_GROUP_CALM)
    return;
  if (led->target != 0)
    bt_activate_next_group_map (led->ctx, led->maps, led->target);
  led->target = 0;
  if (bt_take_group_jump (led->maps, now_ms))
    led->next_plan_ms = now_ms;
  if (now_ms < led->next_plan_ms
      || bt_get_group_map (led->ctx, led->maps, EPOCH, bt_get_group_version (led->rounds)) == NULL)
    return;
  led->next_plan_ms = now_ms + PLAN_MS;
  start_ns = bt_read_cpu_ns ();
  if (bt_plan_next_group_map (led->ctx, led->maps, now_ms, skew) != NULL)
    led->target = bt_begin_group_round (led->rounds, now_ms);
  led->costs.plans += bt_read_cpu_ns () - start_ns;
  led->costs.plan_count++;
  led->costs.rounds += led->target != 0;
  led->costs.skew += skew[0];
}

/* The group begins a step, unless a rank holds it before that step. */
static void
begin_step (led_t *led)
{
  int64_t step = led->engines[0].step + 1;

  for (int32_t rank = 0; rank < led->shape.ranks; rank++)
    if (led->engines[rank].held_step == step)
      return;
  for (int32_t rank = 0; rank < led->shape.ranks; rank++)
    {
      bt_rank_report_t *engine = &led->engines[rank];

      engine->step = step;
      if (engine->armed_version == 0 || engine->armed_step != step)
        continue;
      engine->version = engine->armed_version;
      engine->armed_version = 0;
    }
}

static void
run_led (led_t *led)
{
  int32_t ticks_a_report = REPORT_MS / TICK_MS;

  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += TICK_MS)
    {
      if (now_ms % JUMP_MS == 0)
        draw_popularity (led);
      if (now_ms % PASS_MS == 0)
        begin_step (led);
      for (int32_t rank = 0; rank < led->shape.ranks; rank++)
        if (bt_poll_report_request (led->rounds) || (now_ms / TICK_MS + rank) % ticks_a_report == 0)
          report_rank (led, rank, now_ms);
      plan (led, now_ms);
      give_orders (led, now_ms);
    }
}

static void
print_costs (const led_t *led, double first)
{
  const costs_t *costs = &led->costs;
  double seconds = (double)RUN_MS / MS_PER_S;
  double all = (double)(costs->reports + costs->plans + costs->orders) / NS_PER_MS / seconds;

  printf ("| %d x %d x %d | %.1f | %.1f | %.1f | %.1f | %.2f | %d | %d | %.0f | %.0f | %.1f |\n",
          led->shape.ranks, led->shape.sets, led->shape.experts,
          (double)costs->reports / NS_PER_MS / seconds, (double)costs->plans / NS_PER_MS / seconds,
          (double)costs->orders / NS_PER_MS / seconds, all,
          costs->plan_count == 0 ? 0 : (double)costs->plans / NS_PER_MS / costs->plan_count,
          costs->plan_count, costs->rounds, (double)costs->report_bytes / MS_PER_S / seconds,
          (double)costs->order_bytes / MS_PER_S / seconds, first > 0 ? all / first : 1);
}

int
main (void)
{
  double first = 0;

  printf (
      "| ranks x sets x experts | reports ms/s | plans ms/s | orders ms/s | all ms/s | a plan ms"
      " | plans | rounds | reports kB/s | orders kB/s | ratio |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof shapes / sizeof shapes[0]; i++)
    {
      led_t led = { .shape = shapes[i] };

      if (!start_led (&led))
        {
          printf ("| %d x %d x %d | such a group is left alone |\n", shapes[i].ranks,
                  shapes[i].sets, shapes[i].experts);
          finish_led (&led);
          continue;
        }
      run_led (&led);
      print_costs (&led, first);
      if (first == 0)
        first = (double)(led.costs.reports + led.costs.plans + led.costs.orders) / NS_PER_MS
                / ((double)RUN_MS / MS_PER_S);
      finish_led (&led);
    }
  return 0;
}
