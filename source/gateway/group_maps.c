#include "group_maps.h"

#include <string.h>

#include "bilberrytray/maps/adaptive_load.h"
#include "bilberrytray/maps/copy_price.h"
#include "bilberrytray/maps/group_rounds.h"

enum
{
  SET_SHIFT = 16,
  EXPERT_MASK = 0xffff,
  BYTES_PER_MB = 1000000,
  /* Half-life of the picks counted since demand last jumped; a longer mean has less noise. */
  DEFAULT_HALF_LIFE_MS = 1000,
  DEFAULT_HORIZON_MS = 3000,
  /* Duration of a round apart from the copying: until all copies are reported, and for holding and
   * arming. */
  ROUND_MS = 100,
};

/* Relative slowdown of passes while a rank copies; the ranks copy in parallel. */
static const double copy_slowdown = 0.15;

/* Minimum part of the skew that a round must remove: a round for less would delay the next one when
 * demand jumps. */
static const double default_least_gain = 0.07;

static const double us_per_s = 1e6;
static const double ms_per_s = 1e3;
static const double bits_per_byte = 8;

struct bt_group_maps
{
  bt_group_maps_settings_t settings;
  bt_engine_t engine;
  bt_map_shape_t shape;
  bt_adaptive_load_t *load;
  double picks;  /* number of picks recorded since the last plan */
  double *paces; /* slowdown factor of each rank, at least 1 */
  bt_copy_price_t *price;
  bt_expert_map_t *current; /* the map in use; NULL while unknown */
  int64_t epoch;
  int64_t version;
  bt_expert_map_t *assembled; /* the map in use, being assembled from the ranks' places */
  int64_t assembled_epoch;
  int64_t assembled_version;
  bool *assembled_ranks; /* by rank: its places are included */
  bt_expert_map_t *next;
};

bt_group_maps_settings_t
bt_get_default_group_maps_settings (void)
{
  bt_group_maps_settings_t settings = {
    .load_half_life_ms = DEFAULT_HALF_LIFE_MS,
    .horizon_ms = DEFAULT_HORIZON_MS,
    .planner = bt_get_round_planner (),
    .pay_ratio = 1.2,
    .least_gain = default_least_gain,
  };

  return settings;
}

bt_group_maps_t *
bt_new_group_maps (bt_context_t *ctx,
                   const bt_engine_t *engine,
                   int32_t ranks,
                   const bt_group_maps_settings_t *settings)
{
  bt_map_shape_t shape = { engine->expert_sets, engine->experts, ranks };
  bt_error_t error = { 0 };
  bt_expert_map_t *assembled = bt_new_expert_map (ctx, shape, &error);
  bt_group_maps_t *maps;

  if (assembled == NULL)
    return NULL;
  maps = bt_calloc (ctx, 1, sizeof *maps);
  maps->settings = *settings;
  maps->engine = *engine;
  maps->shape = shape;
  maps->assembled = assembled;
  maps->assembled_ranks = bt_calloc (ctx, (size_t)ranks, sizeof *maps->assembled_ranks);
  maps->paces = bt_calloc (ctx, (size_t)ranks, sizeof *maps->paces);
  for (int32_t rank = 0; rank < ranks; rank++)
    maps->paces[rank] = 1;
  maps->price = bt_new_copy_price (ctx, ranks);
  maps->load = bt_new_adaptive_load (ctx, shape.layers, shape.experts, settings->load_half_life_ms);
  bt_keep_load_mean (maps->load, settings->keep_past);
  return maps;
}

void
bt_drop_group_maps (bt_context_t *ctx, bt_group_maps_t *maps)
{
  if (maps == NULL)
    return;
  bt_drop_adaptive_load (ctx, maps->load);
  bt_drop_copy_price (ctx, maps->price);
  bt_drop_expert_map (ctx, maps->current);
  bt_drop_expert_map (ctx, maps->assembled);
  bt_drop_expert_map (ctx, maps->next);
  bt_free (ctx, maps->assembled_ranks);
  bt_free (ctx, maps->paces);
  bt_free (ctx, maps);
}

static void
start_assembling (bt_context_t *ctx, bt_group_maps_t *maps, int64_t epoch, int64_t version)
{
  bt_error_t error = { 0 };

  bt_drop_expert_map (ctx, maps->assembled);
  maps->assembled = bt_new_expert_map (ctx, maps->shape, &error);
  maps->assembled_epoch = epoch;
  maps->assembled_version = version;
  memset (maps->assembled_ranks, 0, (size_t)maps->shape.ranks * sizeof *maps->assembled_ranks);
}

void
bt_forget_group_map (bt_context_t *ctx, bt_group_maps_t *maps)
{
  bt_drop_expert_map (ctx, maps->current);
  bt_drop_expert_map (ctx, maps->next);
  maps->current = NULL;
  maps->next = NULL;
}

void
bt_record_rank_places (bt_context_t *ctx,
                       bt_group_maps_t *maps,
                       int32_t rank,
                       int64_t epoch,
                       int64_t version,
                       const uint32_t *places,
                       int32_t count)
{
  if (rank < 0 || rank >= maps->shape.ranks)
    return;
  if (maps->assembled_epoch != epoch || maps->assembled_version != version)
    start_assembling (ctx, maps, epoch, version);
  for (int32_t i = 0; i < count; i++)
    {
      int32_t set = (int32_t)(places[i] >> SET_SHIFT);
      int32_t expert = (int32_t)(places[i] & EXPERT_MASK);

      if (set < maps->shape.layers && expert < maps->shape.experts)
        bt_add_map_holder (maps->assembled, set, expert, rank);
    }
  maps->assembled_ranks[rank] = true;
}

void
bt_record_rank_picks (bt_group_maps_t *maps, const uint32_t *picks, int32_t count, int64_t now_ms)
{
  if (count != maps->shape.layers * maps->shape.experts)
    return;
  bt_add_adaptive_load (maps->load, picks, now_ms);
  for (int32_t i = 0; i < count; i++)
    maps->picks += picks[i];
}

bool
bt_poll_group_jump (bt_group_maps_t *maps, int64_t now_ms)
{
  return bt_poll_load_jump (maps->load, now_ms);
}

void
bt_set_rank_pace (bt_group_maps_t *maps, int32_t rank, double pace)
{
  if (rank >= 0 && rank < maps->shape.ranks)
    maps->paces[rank] = pace > 1 ? pace : 1;
}

void
bt_record_group_rank_running (
    bt_group_maps_t *maps, int32_t rank, int32_t running, int32_t limit, int64_t now_ms)
{
  bt_record_rank_running (maps->price, rank, running, limit, now_ms);
}

double
bt_get_group_maps_fullness (const bt_group_maps_t *maps)
{
  return bt_get_group_fullness (maps->price);
}

static bool
is_assembly_complete (const bt_group_maps_t *maps, int64_t epoch, int64_t version)
{
  if (maps->assembled_epoch != epoch || maps->assembled_version != version)
    return false;
  for (int32_t rank = 0; rank < maps->shape.ranks; rank++)
    if (!maps->assembled_ranks[rank])
      return false;
  return true;
}

const bt_expert_map_t *
bt_get_group_map (bt_context_t *ctx, bt_group_maps_t *maps, int64_t epoch, int64_t version)
{
  if (maps->current != NULL && maps->epoch == epoch && maps->version == version)
    return maps->current;
  if (!is_assembly_complete (maps, epoch, version))
    return NULL;
  bt_drop_expert_map (ctx, maps->current);
  maps->current = bt_copy_expert_map (ctx, maps->assembled);
  maps->epoch = epoch;
  maps->version = version;
  return maps->current;
}

static double
get_copy_weight (const bt_group_maps_t *maps)
{
  return maps->settings.copy_weight > 0 ? maps->settings.copy_weight
                                        : bt_get_copy_weight (maps->price);
}

static void
fill_input (const bt_group_maps_t *maps, int64_t now_ms, bt_map_input_t *input)
{
  const bt_engine_t *engine = &maps->engine;
  double s_per_mb = bits_per_byte / (engine->link_mbps > 0 ? engine->link_mbps : 1);

  memset (input, 0, sizeof *input);
  input->current = maps->current;
  input->load = bt_get_adaptive_load (maps->load);
  input->paces = maps->paces;
  input->now_ms = now_ms;
  input->weights.skew_weight = 1;
  input->weights.cost_weight = get_copy_weight (maps);
  input->weights.horizon_ms = maps->settings.horizon_ms;
  input->weights.pay_ratio = maps->settings.pay_ratio;
  input->limits.slots = engine->places;
  input->limits.expert_bytes = (int64_t)(engine->expert_mb * BYTES_PER_MB);
  input->limits.move_us_per_mb =
      (int64_t)(us_per_s * s_per_mb * copy_slowdown / maps->shape.ranks + 1);
  input->limits.copy_ms = ms_per_s * s_per_mb * engine->expert_mb;
  input->limits.round_ms = ROUND_MS;
  input->limits.expert_share = engine->expert_share;
  input->limits.max_new_replicas = engine->spare_places;
}

const bt_expert_map_t *
bt_plan_next_group_map (bt_context_t *ctx, bt_group_maps_t *maps, int64_t now_ms, double skew[2])
{
  bt_map_input_t input;
  bt_map_plan_t *plan;

  bt_drop_expert_map (ctx, maps->next);
  maps->next = NULL;
  if (maps->current == NULL || maps->picks <= 0)
    return NULL;
  maps->picks = 0;
  fill_input (maps, now_ms, &input);
  plan = bt_plan_map (ctx, maps->settings.planner, &input);
  skew[0] = plan->skew_before;
  skew[1] = plan->skew_after;
  if (plan->move_count > 0
      && plan->skew_after < plan->skew_before * (1 - maps->settings.least_gain))
    maps->next = bt_copy_expert_map (ctx, plan->next);
  bt_drop_map_plan (ctx, plan);
  return maps->next;
}

const bt_expert_map_t *
bt_get_next_group_map (const bt_group_maps_t *maps)
{
  return maps->next;
}

void
bt_activate_next_group_map (bt_context_t *ctx, bt_group_maps_t *maps, int64_t version)
{
  if (maps->next == NULL)
    return;
  bt_drop_expert_map (ctx, maps->current);
  maps->current = maps->next;
  maps->next = NULL;
  maps->version = version;
}
