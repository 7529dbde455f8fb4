#ifndef BILBERRYTRAY_BASE_SETTINGS_H
#define BILBERRYTRAY_BASE_SETTINGS_H

/** @file
 * Parses the settings of a program from flags and environment variables. All are validated before
 * the program starts any work.
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "bilberrytray/base/findings.h"

typedef enum bt_setting_kind
{
  BT_SETTING_TEXT = 0, /**< Stored as const char *. */
  BT_SETTING_INTEGER,  /**< Stored as int64_t, between min and max. */
  BT_SETTING_DECIMAL,  /**< Stored as double, between min and max. */
  BT_SETTING_FLAG,     /**< Stored as bool; the flag takes no argument. */
  BT_SETTING_ADDRESS,  /**< Text of the form IP:PORT. */
  BT_SETTING_URL,      /**< Text that starts with http:// . */
} bt_setting_kind_t;

/** Describes one setting. For the flag "--link-idle-ms" the environment variable is
 * "BILBERRY_LINK_IDLE_MS". */
typedef struct bt_setting
{
  const char *name; /**< The flag without its dashes. */
  bt_setting_kind_t kind;
  size_t offset;            /**< Offset of the value in the program's settings struct. */
  const char *default_text; /**< NULL if the setting is required; "" is an empty default. */
  int64_t min;
  int64_t max;
  const char *help; /**< One line of help, with the unit. */
} bt_setting_t;

/** Result of parsing. */
typedef enum bt_settings_result
{
  BT_SETTINGS_OK = 0,
  BT_SETTINGS_BAD,     /**< Findings were added: print them and exit with status 2. */
  BT_SETTINGS_HELP,    /**< --help was given. */
  BT_SETTINGS_VERSION, /**< --version was given. */
} bt_settings_result_t;

/** Reads settings into @p values from the flags in @p argv; a setting without a flag is read from
 * its environment variable, else its default applies. Text values point into argv or the
 * environment.
 * @p first_operand is set to the index of the first operand after the flags; if it is NULL,
 * operands are errors. */
bt_settings_result_t bt_parse_settings (bt_context_t *ctx,
                                        const bt_setting_t *settings,
                                        int32_t count,
                                        int argc,
                                        char **argv,
                                        void *values,
                                        int32_t *first_operand,
                                        bt_findings_t *findings);

/** Prints all flags with their environment variables, defaults and help. */
void bt_print_settings (const bt_setting_t *settings, int32_t count, FILE *out);

#endif
