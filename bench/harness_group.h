#ifndef BILBERRYTRAY_BENCH_HARNESS_GROUP_H
#define BILBERRYTRAY_BENCH_HARNESS_GROUP_H

/** @file
 * An emulator of one rank group and its callers. It simulates pass by pass, without network or
 * clock. The decisions are made by the production code: the maps of a group and the limiter of
 * its passes. The same load, variant and seed give the same result on every machine.
 *
 * A pass takes a fixed time, plus the own work of the rank with most work, plus for each set the
 * work of the rank whose experts are selected most. A stream gets one event per pass. Ranks
 * report their selection counts every 100 ms. A new map is in use three passes after all ranks have
 * copied their experts and 100 ms for the orders of the round have passed.
 */

#include "group_maps.h"

/** How the demand for experts shifts. */
typedef enum bt_shift_kind
{
  BT_SHIFT_NONE = 0,
  BT_SHIFT_JUMP,   /**< At each shift, the experts of some sets are shuffled. */
  BT_SHIFT_DRIFT,  /**< In ten steps per shift, some experts of each set are swapped. */
  BT_SHIFT_RETURN, /**< The popularity alternates between two states. */
} bt_shift_kind_t;

/** A rank group and the load that its callers put on it. */
typedef struct bt_group_load
{
  char name[BT_NAME_BYTES];
  bt_engine_t engine;
  int32_t ranks;
  double requests_per_s; /**< Arrival rate at the whole group. */
  double prompt_tokens;  /**< Mean per request. */
  double events;         /**< Mean per stream. */
  int64_t target_ms;     /**< Target for the time to the first event. */
  int64_t max_pause_ms;  /**< Longest pause between two events that a caller accepts. */
  int64_t duration_ms;
  double skew; /**< Exponent of the power law of expert popularity. */
  bt_shift_kind_t shift;
  double shift_share; /**< Share of the sets that a jump changes, or of the experts that a drift
                         changes. */
  int64_t shift_ms;   /**< Time between two shifts. */
} bt_group_load_t;

/** Settings under which a group is run. */
typedef struct bt_group_variant
{
  char name[BT_NAME_BYTES];
  bt_group_maps_settings_t maps;
  double pass_time_share; /**< Target duration of a pass, as a share of max_pause_ms. */
  bool demand_known; /**< Demand is known in advance and copies take no time: the upper bound. */
} bt_group_variant_t;

/** Service that the callers got. */
typedef struct bt_group_result
{
  int32_t requests;
  int32_t in_time;   /**< Streams with the first event within the target and no pause too long. */
  int32_t late;      /**< Complete streams that were not in time. */
  int32_t abandoned; /**< Callers that left before their request was admitted. */
  int32_t passes;
  double pass_ms; /**< Mean duration of a pass. */
  double skew;    /**< Load of the busiest rank over the mean load, averaged over all passes. */
  int32_t rounds;
  int64_t copies;
} bt_group_result_t;

/** Returns the settings that are shipped. */
bt_group_variant_t bt_get_shipped_group_variant (void);

/** Simulates a load until all its requests have ended. */
void bt_simulate_group (bt_context_t *ctx,
                        const bt_group_load_t *load,
                        const bt_group_variant_t *variant,
                        uint64_t seed,
                        bt_group_result_t *result);

#endif
