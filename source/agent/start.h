#ifndef BILBERRYTRAY_SOURCE_AGENT_START_H
#define BILBERRYTRAY_SOURCE_AGENT_START_H

/** @file
 * Startup that the commands of bilberry-agent share: flags, help text and log level.
 */

#include "bilberrytray/base.h"

/** A command: its flags and the function that runs it. */
typedef struct bt_agent_command
{
  const char *usage; /**< Printed before the flags. */
  const bt_setting_t *settings;
  size_t setting_count;
  const char *const *log_level; /**< Where the parsed settings hold the name of the log level, */
  const char *const *log_name;  /**< and the name that is written in each log line. */
  int (*run) (bt_context_t *ctx, const void *values);
} bt_agent_command_t;

/** Parses the flags into @p values and runs the command. Returns the exit code. */
int bt_start_agent_command (
    bt_context_t *ctx, const bt_agent_command_t *command, void *values, int argc, char **argv);

#endif
