#ifndef BILBERRYTRAY_BASE_SETTINGS_H
#define BILBERRYTRAY_BASE_SETTINGS_H

/** @file
 * Settings from flags and environment variables, all checked before anything starts.
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "bilberrytray/base/findings.h"

typedef enum bt_setting_kind
{
  BT_SETTING_TEXT = 0, /**< The value is a const char *. */
  BT_SETTING_INTEGER,  /**< The value is an int64_t between min and max. */
  BT_SETTING_DECIMAL,  /**< The value is a double between min and max. */
  BT_SETTING_FLAG,     /**< The value is a bool; the flag takes no argument. */
  BT_SETTING_ADDRESS,  /**< Text of the form IP:PORT. */
  BT_SETTING_URL,      /**< Text that starts with http:// . */
} bt_setting_kind_t;

/** Describes one setting. The flag "--link-idle-ms" has the variable "BILBERRY_LINK_IDLE_MS". */
typedef struct bt_setting
{
  const char *name; /**< The flag without its dashes. */
  bt_setting_kind_t kind;
  size_t offset;            /**< Where the value stands in the program's settings struct. */
  const char *default_text; /**< NULL: required. "" is an empty default. */
  int64_t min;
  int64_t max;
  const char *help; /**< One line, with the unit. */
} bt_setting_t;

/** What parsing came to. */
typedef enum bt_settings_result
{
  BT_SETTINGS_OK = 0,
  BT_SETTINGS_BAD,     /**< Findings were added: print them, exit with 2. */
  BT_SETTINGS_HELP,    /**< --help was given. */
  BT_SETTINGS_VERSION, /**< --version was given. */
} bt_settings_result_t;

/** Reads the flags of @p argv, then the environment for what no flag names, then defaults, into
 * @p values. Text values point into argv or the environment. What stands behind the flags starts at
 * @p first_operand; NULL where operands are errors. */
bt_settings_result_t bt_parse_settings (bt_context_t *ctx,
                                        const bt_setting_t *settings,
                                        int32_t count,
                                        int argc,
                                        char **argv,
                                        void *values,
                                        int32_t *first_operand,
                                        bt_findings_t *findings);

/** Prints the flags with their variables, defaults and help. */
void bt_print_settings (const bt_setting_t *settings, int32_t count, FILE *out);

#endif
