#include "bilberrytray/base/json_text.h"

#include <limits.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

/* Returns the index behind a string that begins at a quote. */
static size_t
skip_string (const char *text, size_t bytes, size_t at)
{
  for (at++; at < bytes && text[at] != '"'; at++)
    if (text[at] == '\\')
      at++;
  return at + 1;
}

/* Returns the index of the bracket that opens one level or one object too many, and what exceeds
 * its limit; @p bytes if there is none. */
static size_t
find_excess (const char *text, size_t bytes, const char **message)
{
  int32_t levels = 0;
  int32_t objects = 0;
  size_t at = 0;

  while (at < bytes)
    {
      char c = text[at];

      if (c == '"')
        {
          at = skip_string (text, bytes, at);
          continue;
        }
      levels += c == '[' || c == '{' ? 1 : 0;
      objects += c == '{' ? 1 : 0;
      if (levels > BT_MAX_JSON_LEVELS || objects > BT_MAX_JSON_OBJECTS)
        {
          *message =
              levels > BT_MAX_JSON_LEVELS ? "too many levels of nesting" : "too many objects";
          return at;
        }
      levels -= c == ']' || c == '}' ? 1 : 0;
      at++;
    }
  return bytes;
}

static void
set_excess_error (json_error_t *error, const char *message, size_t at)
{
  if (error == NULL)
    return;
  memset (error, 0, sizeof *error);
  error->line = -1;
  error->column = -1;
  error->position = at > INT_MAX ? INT_MAX : (int)at;
  snprintf (error->source, sizeof error->source, "<buffer>");
  snprintf (error->text, sizeof error->text - 1, "%s", message);
}

json_t *
bt_load_json (const char *text, size_t bytes, size_t flags, json_error_t *error)
{
  const char *message = "";
  size_t excess = text == NULL ? bytes : find_excess (text, bytes, &message);

  if (excess == bytes)
    return json_loadb (text, bytes, flags, error);
  set_excess_error (error, message, excess);
  return NULL;
}
