#ifndef BILBERRYTRAY_BASE_JSON_TEXT_H
#define BILBERRYTRAY_BASE_JSON_TEXT_H

/** @file
 * Parses JSON from outside the process. All of it goes through this function.
 */

#include <jansson.h>

enum
{
  /** Most levels of arrays and objects in a text. */
  BT_MAX_JSON_LEVELS = 64,
  /** Most objects in a text. */
  BT_MAX_JSON_OBJECTS = 50000,
};

/** Does the same as json_loadb, but refuses a text of more than BT_MAX_JSON_LEVELS levels or
 * BT_MAX_JSON_OBJECTS objects: the library parses and frees nested values by recursion, and an
 * empty object takes many times its text. @p error may be NULL. */
json_t *bt_load_json (const char *text, size_t bytes, size_t flags, json_error_t *error);

#endif
