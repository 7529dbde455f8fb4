#ifndef BILBERRYTRAY_BENCH_HARNESS_SYNC_H
#define BILBERRYTRAY_BENCH_HARNESS_SYNC_H

/** @file
 * A fleet of entry instances that run the core's config sync in one thread with simulated time,
 * to measure the cost by fleet size.
 */

#include "bilberrytray/config/config_sync.h"

/** Fault during the changes of a trial. */
typedef enum bt_trial_fault
{
  BT_TRIAL_NO_FAULT = 0,
  BT_TRIAL_LOSS,    /**< One frame in twenty is lost. */
  BT_TRIAL_KILL,    /**< One entry dies at each change, and is replaced before the next. */
  BT_TRIAL_NO_PUSH, /**< The operator reaches no entry: entries learn of changes only by watches. */
  BT_TRIAL_SILENT_WATCH, /**< Like BT_TRIAL_NO_PUSH, and no watch reports a change. */
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

typedef struct bt_sync_trial
{
  int32_t entries;
  int32_t documents;
  int32_t document_bytes;
  int32_t changes;
  int64_t change_interval_ms; /**< Time between two changes. */
  int64_t latency_ms;         /**< One way, between any two processes. */
  int64_t heartbeat_interval_ms;
  bt_trial_fault_t fault;
  /** Returns the bytes of a frame on the wire. */
  int64_t (*count_bytes) (void *data,
                          bt_trial_frame_t kind,
                          const bt_sync_heartbeat_t *heartbeat,
                          const bt_document_list_t *documents);
  void *count_data;
} bt_sync_trial_t;

typedef struct bt_sync_metrics
{
  double idle_bytes_s;  /**< Bytes per second that one entry sends to its peers, mean. */
  double idle_calls_s;  /**< Store calls per second of all entries. */
  double idle_cpu_us_s; /**< CPU time of one entry per second, including the bench's event queue. */
  double peers;         /**< Links to other entries per entry, mean. */
  double change_bytes;  /**< Bytes that one entry sends for one change, beyond idle traffic. */
  double change_calls;  /**< Store calls of all entries for one change, beyond idle calls. */
  double change_cpu_us; /**< CPU time of one entry for one change, beyond idle. */
  int64_t p50_ms;       /**< Time from the write until the change is in force on all entries,
                             median. */
  int64_t p99_ms;
  int64_t worst_ms;
  double outage_calls_s; /**< Store calls per second of all entries in an outage, after its first
                             ten seconds. */
  double recovery_calls; /**< Store calls of all entries in the busiest second after an outage. */
} bt_sync_metrics_t;

void
bt_run_sync_trial (bt_context_t *ctx, const bt_sync_trial_t *trial, bt_sync_metrics_t *metrics);

#endif
