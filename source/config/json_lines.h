#ifndef BILBERRYTRAY_SOURCE_CONFIG_JSON_LINES_H
#define BILBERRYTRAY_SOURCE_CONFIG_JSON_LINES_H

/** @file
 * Line numbers of the values in a JSON text, which jansson does not record.
 */

#include <stdint.h>

#include "bilberrytray/base/context.h"

typedef struct bt_json_lines bt_json_lines_t;

/** Scans a text that jansson has already parsed without error. */
bt_json_lines_t *bt_new_json_lines (bt_context_t *ctx, const char *data, size_t bytes);

void bt_drop_json_lines (bt_context_t *ctx, bt_json_lines_t *lines);

/** The line number, from 1, of the value at a path such as "rules[2].when.path"; 1 when the path
 * does not exist. */
int32_t bt_find_json_line (const bt_json_lines_t *lines, const char *path);

#endif
