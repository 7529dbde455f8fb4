#include "bilberrytray/base/http_field.h"

#include <string.h>

enum
{
  FIRST_PRINTABLE = 0x20,
  DELETE = 0x7f,
};

bool
bt_is_field_name (const char *text, size_t bytes)
{
  static const char allowed[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"
                                "!#$%&'*+-.^_`|~";

  for (size_t i = 0; i < bytes; i++)
    if (text[i] == '\0' || strchr (allowed, text[i]) == NULL)
      return false;
  return bytes > 0;
}

static bool
is_control (char c)
{
  return (unsigned char)c < FIRST_PRINTABLE || c == DELETE;
}

bool
bt_is_field_value (const char *text, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    if (is_control (text[i]) && text[i] != '\t')
      return false;
  return true;
}

bool
bt_is_request_target (const char *text)
{
  for (const char *at = text; *at != '\0'; at++)
    if (is_control (*at) || *at == ' ')
      return false;
  return *text != '\0';
}
