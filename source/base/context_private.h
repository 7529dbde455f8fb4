#ifndef BILBERRYTRAY_SOURCE_BASE_CONTEXT_PRIVATE_H
#define BILBERRYTRAY_SOURCE_BASE_CONTEXT_PRIVATE_H

/** @file
 * What a context holds, for the logger and the event log.
 */

#include <pthread.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/log.h"

enum
{
  BT_LOG_NAME_BYTES = 64,
  BT_LOG_STAMP_BYTES = 40,
  BT_LOG_LEVELS = BT_LOG_DEBUG + 1,
};

/** What one level may still write, and what it left out. */
typedef struct bt_log_budget
{
  int64_t lines_milli; /**< Thousandths of a line that may be written now. */
  int64_t filled_ms;   /**< When lines_milli was last brought up to date. */
  int64_t left_out;
} bt_log_budget_t;

struct bt_context
{
  bt_clock_t *clock;
  bt_counters_t *counters;
  int32_t log_level;
  char log_name[BT_LOG_NAME_BYTES];
  pthread_mutex_t event_lock; /**< Guards the budgets, and keeps lines apart. */
  bt_log_budget_t budgets[BT_LOG_LEVELS];
};

/** Writes the time of day as ISO 8601 with milliseconds. */
void bt_format_log_stamp (char stamp[BT_LOG_STAMP_BYTES]);

const char *bt_name_log_level (bt_log_level_t level);

#endif
