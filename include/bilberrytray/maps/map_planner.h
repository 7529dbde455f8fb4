#ifndef BILBERRYTRAY_MAPS_MAP_PLANNER_H
#define BILBERRYTRAY_MAPS_MAP_PLANNER_H

/** @file
 * Planners: pure functions from the current map and the experts' loads to the next map. The load of
 * an expert is taken to spread evenly over its replicas. All ranks wait for the slowest in each
 * layer, so the step-time skew is the sum over layers of the busiest rank's load over the sum of
 * the mean rank's.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/maps/expert_load.h"
#include "bilberrytray/maps/expert_map.h"

/** What a deployment cares for. */
typedef struct bt_map_weights
{
  double skew_weight;        /**< Worth of one millisecond of step time saved. */
  double cost_weight;        /**< Price of one millisecond of step time spent on moving. */
  int64_t horizon_ms;        /**< How long a gain is taken to last. */
  int64_t held_step_cost_ms; /**< Price of one held step, in milliseconds of step time. */
  double pay_ratio;          /**< Hysteresis: the gain must be this many times the cost. */
  int64_t min_stay_ms;       /**< A replica stays at least so long after its expert last moved. */
} bt_map_weights_t;

/** What the group can bear. */
typedef struct bt_map_limits
{
  int32_t slots;             /**< Replicas that fit a rank in each layer. */
  int64_t expert_bytes;      /**< Size of one expert of one layer. */
  int64_t move_us_per_mb;    /**< Step time lost to each megabyte moved, in microseconds. */
  int64_t round_bytes;       /**< Most bytes that one round stages; 0: no bound. */
  double expert_share;       /**< Share of a balanced step that the experts take, 0 to 1. */
  double held_steps_a_round; /**< Held steps that past rounds came to; 0 without faults. */
  double copy_ms;    /**< Time in which a rank copies one replica; ranks copy side by side. */
  double round_ms;   /**< Time of a round beside the copying; above 0 for short rounds. */
  int32_t rank_adds; /**< Most new replicas of a layer on one rank in a round; 0: no bound. */
} bt_map_limits_t;

/** When each expert's replicas last changed, for the minimum stay. */
typedef struct bt_map_history bt_map_history_t;

bt_map_history_t *bt_new_map_history (bt_context_t *ctx, bt_map_shape_t shape);
void bt_drop_map_history (bt_context_t *ctx, bt_map_history_t *history);

/** Records where two maps differ, once @p next is in use. */
void bt_record_map_change (bt_map_history_t *history,
                           const bt_expert_map_t *current,
                           const bt_expert_map_t *next,
                           int64_t now_ms);

/** All that a planner may look at. */
typedef struct bt_map_input
{
  const bt_expert_map_t *current;
  const bt_expert_load_t *load;
  const bt_map_history_t *history; /**< NULL: nothing has moved yet. */
  bt_map_weights_t weights;
  bt_map_limits_t limits;
  int64_t now_ms;
  const double *paces; /**< By rank: how many times as long as usual its work takes; NULL: all 1. */
} bt_map_input_t;

/** One replica that comes or goes. */
typedef struct bt_map_move
{
  int32_t layer;
  int32_t expert;
  int32_t rank;
  bool add; /**< A transfer of expert_bytes; false: the rank forgets the replica. */
} bt_map_move_t;

/** What a planner proposes. */
typedef struct bt_map_plan
{
  bt_expert_map_t *next; /**< Never NULL; equal to the current map when nothing pays. */
  bt_map_move_t *moves;
  int32_t move_count;
  int32_t move_capacity;
  double skew_before;  /**< Predicted for the current map. */
  double skew_after;   /**< Predicted for the next map. */
  int64_t moved_bytes; /**< Bytes to transfer, over all ranks. */
  double gain_ms;      /**< Step time saved over the horizon, before the skew weight. */
  double cost_ms;      /**< Step time spent on moving and holding, before the cost weight. */
} bt_map_plan_t;

typedef struct bt_map_planner bt_map_planner_t;

typedef struct bt_map_planner_vtable
{
  const char *name;
  bt_map_plan_t *(*plan) (bt_context_t *ctx, const bt_map_input_t *input);
} bt_map_planner_vtable_t;

/** A planner; it keeps no state of its own. */
struct bt_map_planner
{
  const bt_map_planner_vtable_t *vtable;
};

/** Moves experts only where the gain over the horizon pays the move. */
const bt_map_planner_t *bt_paying_map_planner (void);

/** Plans the next of many short rounds: as few copies on each rank as lower the skew most for the
 * time until they are in use. Meant for demand that moves within seconds. */
const bt_map_planner_t *bt_round_map_planner (void);

/** Baseline: never changes the map. */
const bt_map_planner_t *bt_static_map_planner (void);

/** Baseline: packs every layer anew from the loads, whatever stands where. */
const bt_map_planner_t *bt_full_map_planner (void);

/** Asks a planner for the next map. Same input, same plan. */
bt_map_plan_t *
bt_plan_map (bt_context_t *ctx, const bt_map_planner_t *planner, const bt_map_input_t *input);

void bt_drop_map_plan (bt_context_t *ctx, bt_map_plan_t *plan);

/** The step-time skew that a map would have under given loads; 1 is perfect, also without load. A
 * slow rank's load counts by its pace; @p paces may be NULL. */
double
bt_predict_map_skew (const bt_expert_map_t *map, const bt_expert_load_t *load, const double *paces);

#endif
