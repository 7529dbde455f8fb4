#include "event_fields.h"

#include <string.h>

enum
{
  /* Longest text of a field. The longest event has five texts that callers or endpoints choose, and
   * a line has room for them all. */
  TEXT_BYTES = 512,
  FIRST_NOT_ASCII = 0x80,
};

/* A caller's id may be any bytes. jansson refuses what is no UTF-8, and the whole event with it:
 * a caller could keep its requests out of the log. */
static json_t *
make_text (const char *text)
{
  char clean[TEXT_BYTES];
  size_t bytes;

  if (text == NULL)
    return json_null ();
  bytes = strnlen (text, sizeof clean);
  if (bytes < sizeof clean)
    {
      json_t *whole = json_string (text);

      if (whole != NULL)
        return whole;
    }
  else
    bytes = sizeof clean - 1;
  for (size_t i = 0; i < bytes; i++)
    clean[i] = (unsigned char)text[i] < FIRST_NOT_ASCII ? text[i] : '?';
  return json_stringn (clean, bytes);
}

static json_t *
make_value (char kind, va_list *arguments)
{
  switch (kind)
    {
    case 's':
      return make_text (va_arg (*arguments, const char *));
    case 'i':
      return json_integer (va_arg (*arguments, int));
    case 'I':
      return json_integer (va_arg (*arguments, json_int_t));
    case 'f':
      return json_real (va_arg (*arguments, double));
    case 'b':
      return json_boolean (va_arg (*arguments, int));
    default:
      return NULL;
    }
}

void
bt_add_event_fields (json_t *object, const char *format, va_list arguments)
{
  va_list rest;

  va_copy (rest, arguments);
  for (const char *at = strchr (format, ':'); at != NULL; at = strchr (at + 1, ':'))
    {
      const char *name = va_arg (rest, const char *);
      json_t *value = make_value (at[1], &rest);

      if (value == NULL)
        break;
      json_object_set_new (object, name, value);
    }
  va_end (rest);
}
