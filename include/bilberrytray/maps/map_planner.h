#ifndef BILBERRYTRAY_MAPS_MAP_PLANNER_H
#define BILBERRYTRAY_MAPS_MAP_PLANNER_H

/** @file
 * Map planners: pure functions that compute the next map from the current map and the experts'
 * loads. They assume that the load of an expert spreads evenly over its replicas. All ranks wait
 * for the slowest one in each layer, so the step-time skew is the sum over the layers of the
 * busiest rank's load, divided by the sum over the layers of the mean load per rank.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/maps/expert_load.h"
#include "bilberrytray/maps/expert_map.h"

/** How a deployment weighs gains against costs. */
typedef struct bt_map_weights
{
  double skew_weight;        /**< Value of one millisecond of step time saved. */
  double cost_weight;        /**< Cost of one millisecond of step time spent on transfers and held
                                steps. */
  int64_t horizon_ms;        /**< How long a gain is assumed to last. */
  int64_t held_step_cost_ms; /**< Cost of one held step, in milliseconds of step time. */
  double pay_ratio;          /**< Hysteresis: the gain must be this many times the cost. */
  int64_t min_stay_ms; /**< A replica is not removed within this time after a change of its expert's
                          replicas. */
} bt_map_weights_t;

/** The limits and measured costs of a group. */
typedef struct bt_map_limits
{
  int32_t slots;          /**< Replicas that one rank can hold in each layer. */
  int64_t expert_bytes;   /**< Size of one expert of one layer. */
  int64_t move_us_per_mb; /**< Step time lost per megabyte transferred, in microseconds. */
  int64_t round_bytes;    /**< Maximum number of bytes that one round stages; 0: no limit. */
  double expert_share;    /**< Share of a balanced step's time spent in experts, 0 to 1. */
  double
      held_steps_per_round; /**< Held steps per round, as seen in past rounds; 0 without faults. */
  double copy_ms;           /**< Time a rank takes to copy one replica; ranks copy in parallel. */
  double round_ms;          /**< Duration of a round without copying; above 0 for short rounds. */
  int32_t max_new_replicas; /**< Maximum number of new replicas per rank and layer in one round; 0:
                               no limit. */
} bt_map_limits_t;

/** When the replicas of each expert last changed, for min_stay_ms. */
typedef struct bt_map_history bt_map_history_t;

bt_map_history_t *bt_new_map_history (bt_context_t *ctx, bt_map_shape_t shape);
void bt_drop_map_history (bt_context_t *ctx, bt_map_history_t *history);

/** Records which experts differ between two maps; call it once @p next is in use. */
void bt_record_map_change (bt_map_history_t *history,
                           const bt_expert_map_t *current,
                           const bt_expert_map_t *next,
                           int64_t now_ms);

/** The input of a planner. */
typedef struct bt_map_input
{
  const bt_expert_map_t *current;
  const bt_expert_load_t *load;
  const bt_map_history_t *history; /**< NULL: nothing has changed yet. */
  bt_map_weights_t weights;
  bt_map_limits_t limits;
  int64_t now_ms;
  const double *paces; /**< By rank: slowdown factor, the time that work takes relative to a normal
                          rank; NULL: all 1. */
} bt_map_input_t;

/** The addition or removal of one replica. */
typedef struct bt_map_move
{
  int32_t layer;
  int32_t expert;
  int32_t rank;
  bool add; /**< True: a transfer of expert_bytes. False: the rank drops the replica. */
} bt_map_move_t;

/** The result of a planner. */
typedef struct bt_map_plan
{
  bt_expert_map_t *next; /**< Never NULL; equal to the current map when no change pays. */
  bt_map_move_t *moves;
  int32_t move_count;
  int32_t move_capacity;
  double skew_before;  /**< Predicted for the current map. */
  double skew_after;   /**< Predicted for the next map. */
  int64_t moved_bytes; /**< Bytes to transfer, summed over all ranks. */
  double gain_ms;      /**< Step time saved over the horizon, before applying skew_weight. */
  double cost_ms; /**< Step time spent on transfers and held steps, before applying cost_weight. */
} bt_map_plan_t;

typedef struct bt_map_planner bt_map_planner_t;

typedef struct bt_map_planner_vtable
{
  const char *name;
  bt_map_plan_t *(*plan) (bt_context_t *ctx, const bt_map_input_t *input);
} bt_map_planner_vtable_t;

/** A stateless planner. */
struct bt_map_planner
{
  const bt_map_planner_vtable_t *vtable;
};

/** The planner that changes the map only where the gain over the horizon exceeds pay_ratio times
 * the cost of the transfers and held steps, both weighted. */
const bt_map_planner_t *bt_get_cost_benefit_planner (void);

/** The planner for many short rounds in a row: it picks the number of copies per rank that lowers
 * the skew most per millisecond until the copies are in use. Meant for demand that shifts within
 * seconds. */
const bt_map_planner_t *bt_get_round_planner (void);

/** Baseline planner that never changes the map. */
const bt_map_planner_t *bt_get_static_planner (void);

/** Baseline planner that packs every layer from scratch by the loads, regardless of the current
 * placement. */
const bt_map_planner_t *bt_get_full_planner (void);

/** Runs a planner. The same input always gives the same plan. */
bt_map_plan_t *
bt_plan_map (bt_context_t *ctx, const bt_map_planner_t *planner, const bt_map_input_t *input);

void bt_drop_map_plan (bt_context_t *ctx, bt_map_plan_t *plan);

/** Predicts the step-time skew of a map under given loads: 1 is perfect balance, and the result
 * without load. @p paces holds each rank's slowdown factor, by which its load is multiplied; it
 * may be NULL. */
double
bt_predict_map_skew (const bt_expert_map_t *map, const bt_expert_load_t *load, const double *paces);

#endif
