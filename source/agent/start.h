#ifndef BILBERRYTRAY_SOURCE_AGENT_START_H
#define BILBERRYTRAY_SOURCE_AGENT_START_H

/** @file
 * What the commands of bilberry-agent do alike before they serve: flags, help, levels.
 */

#include "bilberrytray/base.h"

/** A command: its flags, and what runs with them. */
typedef struct bt_agent_command
{
  const char *usage; /**< Printed before the flags. */
  const bt_setting_t *settings;
  size_t setting_count;
  const char *const *log_level; /**< In the values: the level's name, */
  const char *const *log_name;  /**< and the name that log lines bear. */
  int (*run) (bt_context_t *ctx, const void *values);
} bt_agent_command_t;

/** Reads the flags into @p values and runs the command; returns the exit code. */
int bt_start_agent_command (
    bt_context_t *ctx, const bt_agent_command_t *command, void *values, int argc, char **argv);

#endif
