#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/process_end.h"
#include "bilberrytray/page/listener.h"
#include "commands.h"

static const bt_command_t *const commands[] = { &bt_serve_command,  &bt_gateway_command,
                                                &bt_check_command,  &bt_publish_command,
                                                &bt_status_command, &bt_explain_command };

enum
{
  COMMAND_COUNT = sizeof commands / sizeof commands[0],
};

static void
print_usage (FILE *out)
{
  fprintf (out, "Usage: bilberryd COMMAND [FLAGS] [OPERANDS]\n\n");
  for (int32_t i = 0; i < COMMAND_COUNT; i++)
    fprintf (out, "  %-10s %s\n", commands[i]->name, commands[i]->help);
  fprintf (out, "\n`bilberryd COMMAND --help` prints the flags of a command.\n");
}

static void
print_command_usage (const bt_command_t *command)
{
  printf ("Usage: bilberryd %s [FLAGS] %s\n\n%s\n\n", command->name, command->operands,
          command->help);
  bt_print_settings (command->settings, command->setting_count, stdout);
}

static const bt_command_t *
find_command (const char *name)
{
  for (int32_t i = 0; i < COMMAND_COUNT; i++)
    if (strcmp (commands[i]->name, name) == 0)
      return commands[i];
  return NULL;
}

static int
run_command (bt_context_t *ctx, const bt_command_t *command, int argc, char **argv)
{
  bt_findings_t *findings = bt_new_findings (ctx);
  void *values = bt_calloc (ctx, 1, command->values_bytes);
  int32_t first_operand = 0;
  int status = BT_EXIT_USAGE;

  switch (bt_parse_settings (ctx, command->settings, command->setting_count, argc, argv, values,
                             &first_operand, findings))
    {
    case BT_SETTINGS_HELP:
      print_command_usage (command);
      status = BT_EXIT_DONE;
      break;
    case BT_SETTINGS_VERSION:
      printf ("bilberryd %s\n", BT_VERSION);
      status = BT_EXIT_DONE;
      break;
    case BT_SETTINGS_BAD:
      bt_print_findings (findings, stderr);
      break;
    case BT_SETTINGS_OK:
      status = command->run (ctx, values, argc - first_operand, argv + first_operand);
      break;
    }
  bt_free (ctx, values);
  bt_drop_findings (ctx, findings);
  return status;
}

int
main (int argc, char **argv)
{
  const bt_command_t *command;
  bt_context_t *ctx;
  int status;

  if (argc >= 2 && strcmp (argv[1], "--help") == 0)
    {
      print_usage (stdout);
      return BT_EXIT_DONE;
    }
  if (argc >= 2 && strcmp (argv[1], "--version") == 0)
    {
      printf ("bilberryd %s\n", BT_VERSION);
      return BT_EXIT_DONE;
    }
  command = argc < 2 ? NULL : find_command (argv[1]);
  if (command == NULL)
    {
      print_usage (stderr);
      return BT_EXIT_USAGE;
    }
  ctx = bt_new_context ();
  bt_install_end_handlers (ctx);
  bt_report_http_panics (ctx);
  status = run_command (ctx, command, argc - 1, argv + 1);
  bt_drop_context (ctx);
  return status;
}
