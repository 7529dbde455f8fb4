#include "bilberrytray/maps/expert_load.h"

#include <math.h>
#include <string.h>

struct bt_expert_load
{
  int32_t layers;
  int32_t experts;
  int64_t half_life_ms;
  int64_t decayed_ms;
  double tokens[];
};

bt_expert_load_t *
bt_new_expert_load (bt_context_t *ctx, int32_t layers, int32_t experts, int64_t half_life_ms)
{
  size_t cells = (size_t)layers * (size_t)experts;
  bt_expert_load_t *load = bt_calloc (ctx, 1, sizeof *load + cells * sizeof (double));

  load->layers = layers;
  load->experts = experts;
  load->half_life_ms = half_life_ms;
  load->decayed_ms = INT64_MIN;
  return load;
}

void
bt_drop_expert_load (bt_context_t *ctx, bt_expert_load_t *load)
{
  bt_free (ctx, load);
}

void
bt_decay_expert_load (bt_expert_load_t *load, int64_t now_ms)
{
  size_t cells = (size_t)load->layers * (size_t)load->experts;
  double factor;

  if (load->decayed_ms == INT64_MIN)
    load->decayed_ms = now_ms;
  if (now_ms <= load->decayed_ms)
    return;
  factor = exp2 (-(double)(now_ms - load->decayed_ms) / (double)load->half_life_ms);
  load->decayed_ms = now_ms;
  for (size_t i = 0; i < cells; i++)
    load->tokens[i] *= factor;
}

void
bt_add_expert_load (bt_expert_load_t *load, int32_t layer, int32_t expert, double tokens)
{
  load->tokens[(size_t)layer * (size_t)load->experts + (size_t)expert] += tokens;
}

void
bt_clear_expert_load (bt_expert_load_t *load, int32_t layer)
{
  double *tokens = &load->tokens[(size_t)layer * (size_t)load->experts];

  memset (tokens, 0, (size_t)load->experts * sizeof *tokens);
}

double
bt_get_expert_load (const bt_expert_load_t *load, int32_t layer, int32_t expert)
{
  return load->tokens[(size_t)layer * (size_t)load->experts + (size_t)expert];
}
