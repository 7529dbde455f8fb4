#ifndef BILBERRYTRAY_BENCH_HARNESS_SPREAD_H
#define BILBERRYTRAY_BENCH_HARNESS_SPREAD_H

/** @file
 * Entry instances around the spread of the core, in one thread under a made-up time, to measure
 * what a fleet of a given size costs.
 */

#include "bilberrytray/config/config_sync.h"

/** What goes wrong during the changes of a trial. */
typedef enum bt_trial_fault
{
  BT_TRIAL_NO_FAULT = 0,
  BT_TRIAL_LOSS,         /**< One frame in twenty is lost. */
  BT_TRIAL_KILL,         /**< One entry dies at each change, and is replaced before the next. */
  BT_TRIAL_NO_HAND_OVER, /**< The operator reaches no entry: only watches tell. */
  BT_TRIAL_SILENT_WATCH, /**< As before, and every watch is silent. */
  BT_TRIAL_FAULT_COUNT,
} bt_trial_fault_t;

typedef enum bt_trial_frame
{
  BT_TRIAL_HEARTBEAT = 0,
  BT_TRIAL_PUSH,
  BT_TRIAL_PULL,
  BT_TRIAL_IN_FORCE,
  BT_TRIAL_FRAME_COUNT,
} bt_trial_frame_t;

typedef struct bt_spread_trial
{
  int32_t entries;
  int32_t documents;
  int32_t document_bytes;
  int32_t changes;
  int64_t gap_ms;     /**< Between changes. */
  int64_t latency_ms; /**< One way, between any two. */
  int64_t beat_ms;
  bt_trial_fault_t fault;
  /** Bytes of a frame on the wire. */
  int64_t (*count_bytes) (void *data,
                          bt_trial_frame_t kind,
                          const bt_sync_heartbeat_t *heartbeat,
                          const bt_document_list_t *documents);
  void *count_data;
} bt_spread_trial_t;

typedef struct bt_spread_figures
{
  double idle_bytes_s;  /**< Sent by one entry to its peers, mean. */
  double idle_calls_s;  /**< On the service, by all. */
  double idle_cpu_us_s; /**< Of one entry, with the bench's own queue in it. */
  double peers;         /**< Links to other entries, mean. */
  double change_bytes;  /**< Sent by one entry for one change, beyond idle. */
  double change_calls;  /**< On the service for one change by all entries, beyond idle. */
  double change_cpu_us; /**< Of one entry for one change, beyond idle. */
  int64_t p50_ms;       /**< From the write to in force on the last entry. */
  int64_t p99_ms;
  int64_t worst_ms;
  double
      outage_calls_s; /**< Tried by all while the service is down, after the first ten seconds. */
  double after_calls; /**< By all in the busiest second after it is back. */
} bt_spread_figures_t;

void bt_run_spread_trial (bt_context_t *ctx,
                          const bt_spread_trial_t *trial,
                          bt_spread_figures_t *figures);

#endif
