#include "bilberrytray/base/error.h"

#include <stdarg.h>
#include <stdio.h>

bool
bt_set_error (bt_error_t *error, bt_error_code_t code, const char *format, ...)
{
  va_list arguments;

  if (error == NULL || error->code != BT_ERROR_NONE)
    return false;
  error->code = code;
  va_start (arguments, format);
  vsnprintf (error->message, sizeof error->message, format, arguments);
  va_end (arguments);
  return false;
}

void
bt_clear_error (bt_error_t *error)
{
  error->code = BT_ERROR_NONE;
  error->message[0] = '\0';
}

const char *
bt_name_error_code (bt_error_code_t code)
{
  static const char *const names[] = { "none",    "usage",  "format",  "too-large", "closed",
                                       "timeout", "system", "refused", "conflict",  "not-found" };

  return names[code];
}
