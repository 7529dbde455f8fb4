#ifndef BILBERRYTRAY_SOURCE_ENTRY_COMMANDS_H
#define BILBERRYTRAY_SOURCE_ENTRY_COMMANDS_H

/** @file
 * The subcommands of bilberryd. Each receives its parsed settings and operands and returns the exit
 * code: 0 done, 1 failed, 2 invalid settings or findings.
 */

#include "bilberrytray/base.h"
#include "bilberrytray/config/declarations.h"

enum
{
  BT_EXIT_DONE = 0,
  BT_EXIT_FAILED = 1,
  BT_EXIT_USAGE = 2,
};

/** A subcommand. */
typedef struct bt_command
{
  const char *name;
  const char *help;     /**< One line. */
  const char *operands; /**< Usage text of the operands after the flags; "" for none. */
  const bt_setting_t *settings;
  int32_t setting_count;
  size_t values_bytes; /**< Size of the settings struct. */
  int (*run) (bt_context_t *ctx, const void *values, int operand_count, char **operands);
} bt_command_t;

extern const bt_command_t bt_serve_command;
extern const bt_command_t bt_gateway_command;
extern const bt_command_t bt_check_command;
extern const bt_command_t bt_explain_command;
extern const bt_command_t bt_publish_command;
extern const bt_command_t bt_status_command;

/** Reads the four documents of a folder. Returns NULL and adds findings if one is missing or
 * invalid. */
bt_declarations_t *
bt_load_declarations (bt_context_t *ctx, const char *folder, bt_findings_t *findings);

/** Reads a file of at most @p max_bytes. Free the result with bt_free. Returns NULL and adds a
 * finding if the file cannot be read or is too long. */
char *bt_read_file (
    bt_context_t *ctx, const char *path, size_t max_bytes, size_t *bytes, bt_findings_t *findings);

#endif
