#ifndef BILBERRYTRAY_SOURCE_BASE_CONTEXT_PRIVATE_H
#define BILBERRYTRAY_SOURCE_BASE_CONTEXT_PRIVATE_H

/** @file
 * What a context holds, for the logger and the event log.
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

/** What one level may still write, and what it left out. */
typedef struct bt_log_budget
{
  bool began;          /**< The first event was seen; a budget begins full. */
  int64_t lines_milli; /**< Thousandths of a line that may be written now. */
  int64_t filled_ms;   /**< When lines_milli was last brought up to date. */
  int64_t left_out;
} bt_log_budget_t;

struct bt_context
{
  bt_clock_t *clock;
  bt_counters_t *counters;
  int32_t log_level; /**< Changed and read without a lock. */
  char log_name[BT_LOG_NAME_BYTES];
  pthread_mutex_t event_lock; /**< Guards the budgets and the stream of events. */
  bt_log_budget_t budgets[BT_LOG_LEVELS];
  bt_log_stream_t events;        /**< Standard output. */
  pthread_mutex_t sentence_lock; /**< Guards the stream of sentences. */
  bt_log_stream_t sentences;     /**< Standard error. */
  bt_counter_t *lost_by_reader;
  bt_counter_t *lost_by_budget;
};

/** True when the context's level lets lines of @p level through. */
bool bt_is_logged (bt_context_t *ctx, bt_log_level_t level);

/** Has the counters of lost lines stand on the page, at zero if need be. */
void bt_open_log_counters (bt_context_t *ctx);

/** Writes the time of day as ISO 8601 with milliseconds. */
void bt_format_log_stamp (char stamp[BT_LOG_STAMP_BYTES]);

const char *bt_name_log_level (bt_log_level_t level);

#endif
