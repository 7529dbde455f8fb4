#ifndef BILBERRYTRAY_BENCH_HARNESS_GROUP_H
#define BILBERRYTRAY_BENCH_HARNESS_GROUP_H

/** @file
 * An emulator of one rank group and its callers, pass by pass, without network or clock. What
 * decides is the code that runs: the maps of a group, and the pace of its passes. Seeded: the same
 * load, way and seed give the same result everywhere.
 *
 * A pass takes a fixed time, the fullest rank's own work, and set by set the work of the rank whose
 * experts are most in demand. A stream gets one event a pass. Ranks report their counts every 100
 * ms; a map is in use three passes after all ranks have copied their experts.
 */

#include "group_maps.h"

/** How demand for experts moves. */
typedef enum bt_shift_kind
{
  BT_SHIFT_NONE = 0,
  BT_SHIFT_JUMP,   /**< Each time the experts of some sets change places at random. */
  BT_SHIFT_DRIFT,  /**< In ten small moves a part of the experts of each set change places. */
  BT_SHIFT_RETURN, /**< There and back again. */
} bt_shift_kind_t;

/** A group and what its callers ask of it. */
typedef struct bt_group_load
{
  char name[BT_NAME_BYTES];
  bt_engine_t engine;
  int32_t ranks;
  double requests_a_s;  /**< Of the whole group. */
  double prompt_tokens; /**< Mean of a request. */
  double events;        /**< Mean of a stream. */
  int64_t aim_ms;       /**< Callers expect the first event within this. */
  int64_t pause_ms;     /**< And no longer pause than this. */
  int64_t run_ms;
  double skew; /**< Exponent of the experts' popularity by their place. */
  bt_shift_kind_t shift;
  double shift_share; /**< Part of the sets that a jump moves, or of the experts in a drift. */
  int64_t shift_ms;   /**< Between two shifts. */
} bt_group_load_t;

/** How the group is run. */
typedef struct bt_group_way
{
  char name[BT_NAME_BYTES];
  bt_group_maps_settings_t maps;
  double pass_part; /**< Of the longest pause, what a pass may take. */
  bool known;       /**< Demand is known beforehand and copies take no time: the ceiling. */
} bt_group_way_t;

/** What the callers got. */
typedef struct bt_group_result
{
  int32_t asked;
  int32_t in_time; /**< First event within its aim, and no pause too long. */
  int32_t late;    /**< Whole, but not in time. */
  int32_t left;    /**< Went away unserved. */
  int32_t passes;
  double pass_ms; /**< Mean. */
  double skew;    /**< Mean over the passes of the busiest rank's load over the mean. */
  int32_t rounds;
  int64_t copies;
} bt_group_result_t;

/** The way that ships. */
bt_group_way_t bt_get_shipped_group_way (void);

/** Plays a load to its end. */
void bt_play_group (bt_context_t *ctx,
                    const bt_group_load_t *load,
                    const bt_group_way_t *way,
                    uint64_t seed,
                    bt_group_result_t *result);

#endif
