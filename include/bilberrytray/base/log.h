#ifndef BILBERRYTRAY_BASE_LOG_H
#define BILBERRYTRAY_BASE_LOG_H

/** @file
 * The logger for human-readable messages. Each is one line with the prefix of a part of the system.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef enum bt_log_level
{
  BT_LOG_ERROR = 0,
  BT_LOG_WARNING,
  BT_LOG_INFO,
  BT_LOG_DEBUG,
} bt_log_level_t;

/** Parts of the system. Each has its own prefix in a log line. */
typedef enum bt_log_part
{
  BT_PART_MAIN = 0, /**< "main" */
  BT_PART_ENTRY,    /**< "entry": requests of callers */
  BT_PART_LINK,     /**< "link": connections between processes */
  BT_PART_RULES,    /**< "rules": declarations and rules */
  BT_PART_CONFIG,   /**< "config": configuration in force */
  BT_PART_MEMBERS,  /**< "members": instances and endpoints */
  BT_PART_POLICY,   /**< "policy": admission, routing, retries */
  BT_PART_RUNS,     /**< "runs": runs of requests in the agent of an endpoint */
  BT_PART_ENGINE,   /**< "engine": calls to a model engine or a plain service */
  BT_PART_MAPS,     /**< "maps": expert maps */
  BT_PART_STORE,    /**< "store": calls to the key-value store */
} bt_log_part_t;

/** Writes one line, or nothing when @p level is more detailed than the context's level. Can be
 * called from any thread. */
void bt_log (bt_context_t *ctx, bt_log_level_t level, bt_log_part_t part, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/** Parses a level name ("error", "warning", "info", "debug"). False for any other text. */
bool bt_parse_log_level (const char *text, bt_log_level_t *level);

#endif
