#include "bilberrytray/maps/adaptive_load.h"

#include <math.h>
#include <string.h>

enum
{
  /* Each rank reports its counts every 100 ms, so one window holds about one report per rank. */
  WINDOW_MS = 100,
  NO_WINDOW = -1,
};

/* Minimum distance of a jump, and its minimum ratio to the usual distance. A window differs from
 * the mean by chance; a jump that moves the busiest expert changes the distance by at least that
 * expert's share of the demand. A mean that continues across a jump favors the old experts while
 * the new ones lengthen passes. */
static const double min_jump_distance = 0.1;
static const double min_jump_ratio = 2;

/* Weight of a new window in a layer's usual distance. */
static const double noise_weight = 0.1;

struct bt_adaptive_load
{
  int32_t layers;
  int32_t experts;
  bt_expert_load_t *mean;
  double *window;    /* counts since the window was opened, by layer and expert */
  int64_t opened_ms; /* when the window was opened; NO_WINDOW before the first */
  double *noise;     /* by layer: usual distance of a window from the mean; 0: unknown */
  bool jumped;       /* demand has jumped since the last bt_poll_load_jump */
  bool keep_mean;    /* keep the mean when demand jumps */
};

bt_adaptive_load_t *
bt_new_adaptive_load (bt_context_t *ctx, int32_t layers, int32_t experts, int64_t half_life_ms)
{
  bt_adaptive_load_t *load = bt_calloc (ctx, 1, sizeof *load);

  load->layers = layers;
  load->experts = experts;
  load->mean = bt_new_expert_load (ctx, layers, experts, half_life_ms);
  load->window = bt_calloc (ctx, (size_t)layers * (size_t)experts, sizeof *load->window);
  load->noise = bt_calloc (ctx, (size_t)layers, sizeof *load->noise);
  load->opened_ms = NO_WINDOW;
  return load;
}

void
bt_drop_adaptive_load (bt_context_t *ctx, bt_adaptive_load_t *load)
{
  if (load == NULL)
    return;
  bt_drop_expert_load (ctx, load->mean);
  bt_free (ctx, load->window);
  bt_free (ctx, load->noise);
  bt_free (ctx, load);
}

void
bt_keep_load_mean (bt_adaptive_load_t *load, bool keep)
{
  load->keep_mean = keep;
}

static double *
get_layer_window (const bt_adaptive_load_t *load, int32_t layer)
{
  return &load->window[(size_t)layer * (size_t)load->experts];
}

/* The share of a layer's demand that is on other experts in the window than in the mean, 0 to 1
 * (the total variation distance); 0 when the window or the mean is empty. */
static double
measure_distance (const bt_adaptive_load_t *load, int32_t layer)
{
  const double *window = get_layer_window (load, layer);
  double window_sum = 0;
  double mean_sum = 0;
  double distance = 0;

  for (int32_t i = 0; i < load->experts; i++)
    {
      window_sum += window[i];
      mean_sum += bt_get_expert_load (load->mean, layer, i);
    }
  if (window_sum <= 0 || mean_sum <= 0)
    return 0;
  for (int32_t i = 0; i < load->experts; i++)
    distance +=
        fabs (window[i] / window_sum - bt_get_expert_load (load->mean, layer, i) / mean_sum);
  return distance / 2;
}

static bool
is_jump (const bt_adaptive_load_t *load, int32_t layer, double distance)
{
  double noise = load->noise[layer];

  return noise > 0 && distance > min_jump_distance && distance > min_jump_ratio * noise;
}

static void
update_noise (double *noise, double distance)
{
  if (*noise > 0)
    *noise += (distance - *noise) * noise_weight;
  else
    *noise = distance;
}

static void
merge_layer (bt_adaptive_load_t *load, int32_t layer)
{
  const double *window = get_layer_window (load, layer);
  double distance = measure_distance (load, layer);

  if (is_jump (load, layer, distance))
    {
      load->jumped = true;
      if (!load->keep_mean)
        bt_clear_expert_load (load->mean, layer);
    }
  else if (distance > 0)
    update_noise (&load->noise[layer], distance);
  for (int32_t i = 0; i < load->experts; i++)
    bt_add_expert_load (load->mean, layer, i, window[i]);
}

static void
close_due_window (bt_adaptive_load_t *load, int64_t now_ms)
{
  if (load->opened_ms != NO_WINDOW && now_ms - load->opened_ms < WINDOW_MS)
    return;
  load->opened_ms = now_ms;
  bt_decay_expert_load (load->mean, now_ms);
  for (int32_t layer = 0; layer < load->layers; layer++)
    merge_layer (load, layer);
  memset (load->window, 0, (size_t)load->layers * (size_t)load->experts * sizeof *load->window);
}

void
bt_add_adaptive_load (bt_adaptive_load_t *load, const uint32_t *counts, int64_t now_ms)
{
  close_due_window (load, now_ms);
  for (int32_t i = 0; i < load->layers * load->experts; i++)
    load->window[i] += counts[i];
}

bool
bt_poll_load_jump (bt_adaptive_load_t *load, int64_t now_ms)
{
  bool jumped;

  close_due_window (load, now_ms);
  jumped = load->jumped;
  load->jumped = false;
  return jumped;
}

const bt_expert_load_t *
bt_get_adaptive_load (const bt_adaptive_load_t *load)
{
  return load->mean;
}
