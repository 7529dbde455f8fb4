#include "bilberrytray/maps/map_planner.h"

#include <stdlib.h>

#include "map_layer.h"
#include "map_plan.h"

enum
{
  INITIAL_MOVE_CAPACITY = 64,
};

struct bt_map_history
{
  bt_map_shape_t shape;
  int64_t changed_ms[];
};

static size_t
get_cell_index (bt_map_shape_t shape, int32_t layer, int32_t expert)
{
  return (size_t)layer * (size_t)shape.experts + (size_t)expert;
}

bt_map_history_t *
bt_new_map_history (bt_context_t *ctx, bt_map_shape_t shape)
{
  size_t cells = get_cell_index (shape, shape.layers, 0);
  bt_map_history_t *history = bt_calloc (ctx, 1, sizeof *history + cells * sizeof (int64_t));

  history->shape = shape;
  for (size_t i = 0; i < cells; i++)
    history->changed_ms[i] = INT64_MIN;
  return history;
}

void
bt_drop_map_history (bt_context_t *ctx, bt_map_history_t *history)
{
  bt_free (ctx, history);
}

void
bt_record_map_change (bt_map_history_t *history,
                      const bt_expert_map_t *current,
                      const bt_expert_map_t *next,
                      int64_t now_ms)
{
  for (int32_t layer = 0; layer < history->shape.layers; layer++)
    for (int32_t expert = 0; expert < history->shape.experts; expert++)
      if (!bt_are_rank_sets_equal (bt_get_map_ranks (current, layer, expert),
                                   bt_get_map_ranks (next, layer, expert)))
        history->changed_ms[get_cell_index (history->shape, layer, expert)] = now_ms;
}

static double
sum_mean_loads (const bt_map_input_t *input)
{
  bt_map_shape_t shape = bt_get_map_shape (input->current);
  double sum = 0;

  for (int32_t layer = 0; layer < shape.layers; layer++)
    for (int32_t expert = 0; expert < shape.experts; expert++)
      sum += bt_get_expert_load (input->load, layer, expert);
  return sum / shape.ranks;
}

/* Adds the loads of a layer's experts to the ranks that hold them. */
static void
add_rank_loads (const bt_expert_map_t *map,
                const bt_expert_load_t *load,
                int32_t layer,
                double *tokens)
{
  bt_map_shape_t shape = bt_get_map_shape (map);

  for (int32_t expert = 0; expert < shape.experts; expert++)
    {
      bt_rank_set_t holders = bt_get_map_ranks (map, layer, expert);
      double share = bt_get_expert_load (load, layer, expert) / bt_count_ranks (holders);

      for (int32_t rank = bt_find_rank (holders, 0); rank != BT_NO_RANK;
           rank = bt_find_rank (holders, rank + 1))
        tokens[rank] += share;
    }
}

double
bt_predict_map_skew (const bt_expert_map_t *map, const bt_expert_load_t *load, const double *paces)
{
  bt_map_shape_t shape = bt_get_map_shape (map);
  double busiest_sum = 0;
  double total = 0;

  for (int32_t layer = 0; layer < shape.layers; layer++)
    {
      double tokens[BT_MAX_RANKS] = { 0 };
      double busiest = 0;

      add_rank_loads (map, load, layer, tokens);
      for (int32_t rank = 0; rank < shape.ranks; rank++)
        {
          double paced = tokens[rank] * (paces == NULL ? 1 : paces[rank]);

          total += tokens[rank];
          busiest = paced > busiest ? paced : busiest;
        }
      busiest_sum += busiest;
    }
  return total > 0 ? busiest_sum * shape.ranks / total : 1.0;
}

static void
add_move (bt_context_t *ctx, bt_map_plan_t *plan, bt_map_move_t move)
{
  if (plan->move_count == plan->move_capacity)
    {
      plan->move_capacity =
          plan->move_capacity == 0 ? INITIAL_MOVE_CAPACITY : plan->move_capacity * 2;
      plan->moves = bt_realloc (ctx, plan->moves, (size_t)plan->move_capacity, sizeof *plan->moves);
    }
  plan->moves[plan->move_count++] = move;
}

/* Adds a move for each rank that is in one set and not in the other. */
static void
list_differences (
    bt_context_t *ctx, bt_map_plan_t *plan, bt_map_move_t move, bt_rank_set_t in, bt_rank_set_t out)
{
  for (move.rank = bt_find_rank (in, 0); move.rank != BT_NO_RANK;
       move.rank = bt_find_rank (in, move.rank + 1))
    if (!bt_has_rank (out, move.rank))
      add_move (ctx, plan, move);
}

static void
list_cell_moves (bt_context_t *ctx,
                 bt_map_plan_t *plan,
                 const bt_expert_map_t *current,
                 int32_t layer,
                 int32_t expert)
{
  bt_rank_set_t before = bt_get_map_ranks (current, layer, expert);
  bt_rank_set_t after = bt_get_map_ranks (plan->next, layer, expert);
  bt_map_move_t move = { .layer = layer, .expert = expert };

  if (bt_are_rank_sets_equal (before, after))
    return;
  list_differences (ctx, plan, move, before, after);
  move.add = true;
  list_differences (ctx, plan, move, after, before);
}

/* Fills in the moves, skews, gain and cost from the current and the next map. */
static void
complete_plan (bt_context_t *ctx, const bt_map_input_t *input, bt_map_plan_t *plan)
{
  bt_map_shape_t shape = bt_get_map_shape (input->current);
  int64_t transfers = bt_count_map_moves (input->current, plan->next);

  for (int32_t layer = 0; layer < shape.layers; layer++)
    for (int32_t expert = 0; expert < shape.experts; expert++)
      list_cell_moves (ctx, plan, input->current, layer, expert);
  plan->skew_before = bt_predict_map_skew (input->current, input->load, input->paces);
  plan->skew_after = bt_predict_map_skew (plan->next, input->load, input->paces);
  plan->moved_bytes = transfers * input->limits.expert_bytes;
  plan->gain_ms = (plan->skew_before - plan->skew_after) * bt_get_skew_cost_ms (input);
  plan->cost_ms = (double)transfers * bt_get_transfer_cost_ms (input);
  if (plan->move_count > 0)
    plan->cost_ms += input->limits.held_steps_per_round * (double)input->weights.held_step_cost_ms;
}

bt_map_plan_t *
bt_start_map_plan (bt_context_t *ctx, const bt_map_input_t *input)
{
  bt_map_plan_t *plan = bt_calloc (ctx, 1, sizeof *plan);

  plan->next = bt_copy_expert_map (ctx, input->current);
  return plan;
}

static bt_map_plan_t *
plan_static (bt_context_t *ctx, const bt_map_input_t *input)
{
  return bt_start_map_plan (ctx, input);
}

static bt_map_plan_t *
plan_full (bt_context_t *ctx, const bt_map_input_t *input)
{
  bt_map_plan_t *plan = bt_start_map_plan (ctx, input);
  bt_map_shape_t shape = bt_get_map_shape (input->current);

  for (int32_t layer = 0; layer < shape.layers; layer++)
    bt_pack_map_layer (ctx, plan->next, input, layer);
  return plan;
}

static void
mark_pinned (const bt_map_input_t *input, int32_t layer, bool *pinned)
{
  bt_map_shape_t shape = bt_get_map_shape (input->current);

  for (int32_t expert = 0; expert < shape.experts; expert++)
    {
      int64_t changed_ms = INT64_MIN;

      if (input->history != NULL)
        changed_ms = input->history->changed_ms[get_cell_index (shape, layer, expert)];
      pinned[expert] =
          changed_ms != INT64_MIN && input->now_ms - changed_ms < input->weights.min_stay_ms;
    }
}

/* True when the gain of a plan pays for the round as a whole, including the steps that it holds. */
static bool
is_round_worthwhile (const bt_map_input_t *input, const bt_map_plan_t *plan)
{
  double gain = input->weights.skew_weight * plan->gain_ms;
  double cost = input->weights.cost_weight * plan->cost_ms;

  return gain > cost * input->weights.pay_ratio;
}

static int
compare_gains (const void *left, const void *right)
{
  const bt_layer_gain_t *a = left;
  const bt_layer_gain_t *b = right;
  double a_rate = a->net_value * (double)b->transfers;
  double b_rate = b->net_value * (double)a->transfers;

  if (a_rate != b_rate)
    return a_rate < b_rate ? 1 : -1;
  return (a->layer > b->layer) - (a->layer < b->layer);
}

static void
restore_layer (const bt_map_input_t *input, bt_map_plan_t *plan, int32_t layer)
{
  bt_map_shape_t shape = bt_get_map_shape (input->current);

  for (int32_t expert = 0; expert < shape.experts; expert++)
    bt_set_map_ranks (plan->next, layer, expert, bt_get_map_ranks (input->current, layer, expert));
}

/* Limits a round to its maximum number of bytes: a round that stages everything before anything
 * takes effect comes late. The layers with the highest gain per byte go first, the first one even
 * if it exceeds the maximum alone; the others follow with the next plan. */
static void
limit_round_bytes (const bt_map_input_t *input, bt_map_plan_t *plan, bt_layer_gain_t *gains)
{
  int32_t layers = bt_get_map_shape (input->current).layers;
  int64_t bytes = 0;

  if (input->limits.round_bytes == 0)
    return;
  qsort (gains, (size_t)layers, sizeof *gains, compare_gains);
  for (int32_t i = 0; i < layers; i++)
    {
      int64_t more = gains[i].transfers * input->limits.expert_bytes;

      if (bytes > 0 && bytes + more > input->limits.round_bytes)
        restore_layer (input, plan, gains[i].layer);
      else
        bytes += more;
    }
}

static bt_map_plan_t *
plan_cost_benefit (bt_context_t *ctx, const bt_map_input_t *input)
{
  bt_map_plan_t *plan = bt_start_map_plan (ctx, input);
  bt_map_shape_t shape = bt_get_map_shape (input->current);
  bt_map_costs_t costs = { 0 };
  double mean = sum_mean_loads (input);
  bool pinned[BT_MAP_MAX_EXPERTS];
  bt_layer_gain_t gains[BT_MAP_MAX_LAYERS];

  if (mean <= 0)
    return plan;
  costs.load_value = input->weights.skew_weight * bt_get_skew_cost_ms (input) / mean;
  costs.transfer_cost =
      input->weights.cost_weight * input->weights.pay_ratio * bt_get_transfer_cost_ms (input);
  for (int32_t layer = 0; layer < shape.layers; layer++)
    {
      mark_pinned (input, layer, pinned);
      gains[layer] = bt_improve_map_layer (ctx, plan->next, input, layer, &costs, pinned);
    }
  limit_round_bytes (input, plan, gains);
  return plan;
}

static const bt_map_planner_vtable_t cost_benefit_vtable = { "paying", plan_cost_benefit };
static const bt_map_planner_vtable_t static_vtable = { "static", plan_static };
static const bt_map_planner_vtable_t full_vtable = { "full", plan_full };
static const bt_map_planner_t cost_benefit_planner = { &cost_benefit_vtable };
static const bt_map_planner_t static_planner = { &static_vtable };
static const bt_map_planner_t full_planner = { &full_vtable };

const bt_map_planner_t *
bt_get_cost_benefit_planner (void)
{
  return &cost_benefit_planner;
}

const bt_map_planner_t *
bt_get_static_planner (void)
{
  return &static_planner;
}

const bt_map_planner_t *
bt_get_full_planner (void)
{
  return &full_planner;
}

bt_map_plan_t *
bt_plan_map (bt_context_t *ctx, const bt_map_planner_t *planner, const bt_map_input_t *input)
{
  bt_map_plan_t *plan = planner->vtable->plan (ctx, input);

  complete_plan (ctx, input, plan);
  if (planner != &cost_benefit_planner || plan->move_count == 0
      || is_round_worthwhile (input, plan))
    return plan;
  bt_drop_map_plan (ctx, plan);
  plan = bt_start_map_plan (ctx, input);
  complete_plan (ctx, input, plan);
  return plan;
}

void
bt_drop_map_plan (bt_context_t *ctx, bt_map_plan_t *plan)
{
  if (plan == NULL)
    return;
  bt_drop_expert_map (ctx, plan->next);
  bt_free (ctx, plan->moves);
  bt_free (ctx, plan);
}
