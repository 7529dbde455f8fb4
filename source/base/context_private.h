#ifndef BILBERRYTRAY_SOURCE_BASE_CONTEXT_PRIVATE_H
#define BILBERRYTRAY_SOURCE_BASE_CONTEXT_PRIVATE_H

/** @file
 * The contents of a context, for the logger and the event log.
 */

#include <pthread.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/log.h"
#include "log_stream.h"

enum
{
  BT_LOG_NAME_BYTES = 64,
  BT_LOG_STAMP_BYTES = 40,
  BT_LOG_LEVELS = BT_LOG_DEBUG + 1,
};

/** Budget of log lines of one level (a token bucket), and the number of lines it dropped. */
typedef struct bt_log_budget
{
  bool started;        /**< False until the first event; the budget is then full. */
  int64_t lines_milli; /**< Remaining budget in thousandths of a line. */
  int64_t refilled_ms; /**< Time of the last refill of lines_milli. */
  int64_t dropped_lines;
} bt_log_budget_t;

struct bt_context
{
  bt_clock_t *clock;
  bt_counters_t *counters;
  int32_t log_level; /**< Written and read without a lock. */
  char log_name[BT_LOG_NAME_BYTES];
  pthread_mutex_t event_lock; /**< Guards budgets and events. */
  bt_log_budget_t budgets[BT_LOG_LEVELS];
  bt_log_stream_t events;         /**< Standard output. */
  pthread_mutex_t message_lock;   /**< Guards message_stream. */
  bt_log_stream_t message_stream; /**< Standard error. */
  bt_counter_t *lost_by_reader;
  bt_counter_t *lost_by_budget;
};

/** True if lines of @p level are logged at the context's level. */
bool bt_is_level_enabled (bt_context_t *ctx, bt_log_level_t level);

/** Creates the counters of lost and dropped lines, so that the metrics page shows them even at
 * zero. */
void bt_init_log_counters (bt_context_t *ctx);

/** Formats the current UTC time as ISO 8601 with milliseconds. */
void bt_format_log_stamp (char stamp[BT_LOG_STAMP_BYTES]);

const char *bt_name_log_level (bt_log_level_t level);

#endif
