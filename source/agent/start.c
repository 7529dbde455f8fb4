#include "start.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  EXIT_USAGE = 2,
};

int
bt_start_agent_command (
    bt_context_t *ctx, const bt_agent_command_t *command, void *values, int argc, char **argv)
{
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_log_level_t level = BT_LOG_INFO;
  bt_settings_result_t result = bt_parse_settings (ctx, command->settings, command->setting_count,
                                                   argc, argv, values, NULL, findings);
  int status = EXIT_USAGE;

  if (result == BT_SETTINGS_OK && !bt_parse_log_level (*command->log_level, &level))
    {
      bt_add_finding (ctx, findings, "log-level", 0, NULL, "There is no level \"%s\".",
                      *command->log_level);
      result = BT_SETTINGS_BAD;
    }
  if (result == BT_SETTINGS_HELP)
    {
      fputs (command->usage, stdout);
      bt_print_settings (command->settings, command->setting_count, stdout);
    }
  else if (result == BT_SETTINGS_VERSION)
    printf ("bilberry-agent %s\n", BT_VERSION);
  else if (result == BT_SETTINGS_BAD)
    bt_print_findings (findings, stderr);
  else
    {
      bt_set_log_level (ctx, (int32_t)level);
      bt_set_log_name (ctx, *command->log_name);
      status = command->run (ctx, values);
    }
  if (result == BT_SETTINGS_HELP || result == BT_SETTINGS_VERSION)
    status = EXIT_SUCCESS;
  bt_drop_findings (ctx, findings);
  return status;
}
