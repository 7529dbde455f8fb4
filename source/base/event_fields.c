#include "event_fields.h"

#include <string.h>

enum
{
  /* Size limit of a text field. The longest event has five text fields that are set by callers or
   * endpoints, and all five fit into one line. */
  MAX_TEXT_BYTES = 512,
  FIRST_NON_ASCII = 0x80,
};

/* Makes a JSON string of at most MAX_TEXT_BYTES - 1 bytes. If the text is truncated or not valid
 * UTF-8, each non-ASCII byte is replaced by '?'. A caller's id can contain any bytes, and jansson
 * rejects invalid UTF-8 and with it the whole event, so a caller could keep its requests out of the
 * log. */
static json_t *
make_text_value (const char *text)
{
  char sanitized[MAX_TEXT_BYTES];
  size_t bytes;

  if (text == NULL)
    return json_null ();
  bytes = strnlen (text, sizeof sanitized);
  if (bytes < sizeof sanitized)
    {
      json_t *string = json_string (text);

      if (string != NULL)
        return string;
    }
  else
    bytes = sizeof sanitized - 1;
  for (size_t i = 0; i < bytes; i++)
    sanitized[i] = (unsigned char)text[i] < FIRST_NON_ASCII ? text[i] : '?';
  return json_stringn (sanitized, bytes);
}

static json_t *
make_value (char kind, va_list *arguments)
{
  switch (kind)
    {
    case 's':
      return make_text_value (va_arg (*arguments, const char *));
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
