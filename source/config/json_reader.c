#include "json_reader.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/json_text.h"

enum
{
  MESSAGE_BYTES = 400,
};

void
bt_open_json_reader (bt_context_t *ctx,
                     bt_json_reader_t *reader,
                     const bt_document_text_t *text,
                     bt_findings_t *findings)
{
  json_error_t error;

  reader->ctx = ctx;
  reader->findings = findings;
  reader->file = text->file;
  reader->lines = NULL;
  reader->root = bt_load_json (text->data, text->bytes, JSON_REJECT_DUPLICATES, &error);
  if (reader->root == NULL)
    {
      bt_add_finding (ctx, findings, text->file, error.line < 1 ? 1 : error.line, NULL,
                      "Invalid JSON: %s.", error.text);
      return;
    }
  if (!json_is_object (reader->root))
    {
      bt_add_finding (ctx, findings, text->file, 1, NULL, "The document must be an object.");
      json_decref (reader->root);
      reader->root = NULL;
      return;
    }
  reader->lines = bt_new_json_lines (ctx, text->data, text->bytes);
}

void
bt_close_json_reader (bt_json_reader_t *reader)
{
  json_decref (reader->root);
  bt_drop_json_lines (reader->ctx, reader->lines);
  reader->root = NULL;
  reader->lines = NULL;
}

void
bt_add_json_finding (bt_json_reader_t *reader, const char *path, const char *format, ...)
{
  char message[MESSAGE_BYTES];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (message, sizeof message, format, arguments);
  va_end (arguments);
  bt_add_finding (reader->ctx, reader->findings, reader->file,
                  bt_find_json_line (reader->lines, path), path, "%s", message);
}

void
bt_join_json_path (char *field_path, const char *path, const char *name)
{
  snprintf (field_path, BT_JSON_PATH_BYTES, "%s%s%s", path, path[0] == '\0' ? "" : ".", name);
}

static void
report_field (bt_json_reader_t *reader, const char *path, const char *field, const char *message)
{
  char field_path[BT_JSON_PATH_BYTES];

  bt_join_json_path (field_path, path, field);
  bt_add_json_finding (reader, field_path, "%s", message);
}

void
bt_check_json_fields (bt_json_reader_t *reader,
                      const json_t *object,
                      const char *path,
                      const char *const *names)
{
  const char *field;
  json_t *value;

  json_object_foreach ((json_t *)object, field, value)
  {
    int32_t i = 0;

    while (names[i] != NULL && strcmp (names[i], field) != 0)
      i++;
    if (names[i] == NULL)
      report_field (reader, path, field, "There is no such field.");
  }
}

static bool
is_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length >= BT_NAME_BYTES)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!isalnum ((unsigned char)text[i]) && strchr ("._-", text[i]) == NULL)
      return false;
  return true;
}

bool
bt_read_json_name (
    bt_json_reader_t *reader, const json_t *object, const char *path, const char *field, char *name)
{
  const json_t *value = json_object_get (object, field);

  name[0] = '\0';
  if (value == NULL)
    report_field (reader, path, field, "This field is required.");
  else if (!json_is_string (value) || !is_name (json_string_value (value)))
    report_field (reader, path, field,
                  "Expected a name of up to 63 letters, digits, '.', '_' or '-'.");
  else
    {
      bt_copy_name (name, json_string_value (value));
      return true;
    }
  return false;
}

char *
bt_read_json_string (bt_json_reader_t *reader,
                     const json_t *object,
                     const char *path,
                     const char *field)
{
  const json_t *value = json_object_get (object, field);

  if (value == NULL)
    return NULL;
  if (!json_is_string (value) || json_string_length (value) == 0)
    {
      report_field (reader, path, field, "Expected a non-empty string.");
      return NULL;
    }
  return bt_strdup (reader->ctx, json_string_value (value));
}

int64_t
bt_read_json_integer (bt_json_reader_t *reader,
                      const json_t *object,
                      const char *path,
                      const char *field,
                      int64_t min,
                      int64_t max,
                      int64_t default_value)
{
  const json_t *value = json_object_get (object, field);
  char field_path[BT_JSON_PATH_BYTES];

  if (value == NULL)
    return default_value;
  if (json_is_integer (value) && json_integer_value (value) >= min
      && json_integer_value (value) <= max)
    return json_integer_value (value);
  bt_join_json_path (field_path, path, field);
  bt_add_json_finding (reader, field_path, "Expected a whole number from %lld to %lld.",
                       (long long)min, (long long)max);
  return default_value;
}

int32_t
bt_read_json_bool (bt_json_reader_t *reader,
                   const json_t *object,
                   const char *path,
                   const char *field)
{
  const json_t *value = json_object_get (object, field);

  if (value == NULL)
    return -1;
  if (json_is_boolean (value))
    return json_is_true (value) ? 1 : 0;
  report_field (reader, path, field, "Expected true or false.");
  return -1;
}

bool
bt_has_json_choice (const json_t *object,
                    const char *field,
                    const char *const *choices,
                    int32_t count)
{
  const json_t *value = json_object_get (object, field);
  const char *text = json_string_value (value);

  for (int32_t i = 0; i < count && text != NULL; i++)
    if (strcmp (text, choices[i]) == 0)
      return true;
  return value == NULL;
}

int32_t
bt_read_json_choice (bt_json_reader_t *reader,
                     const json_t *object,
                     const char *path,
                     const char *field,
                     const char *const *choices,
                     int32_t count,
                     int32_t default_value)
{
  const json_t *value = json_object_get (object, field);
  char message[MESSAGE_BYTES] = "Expected one of";
  size_t used;

  if (value == NULL)
    return default_value;
  for (int32_t i = 0; i < count && json_is_string (value); i++)
    if (strcmp (json_string_value (value), choices[i]) == 0)
      return i;
  for (int32_t i = 0; i < count; i++)
    {
      used = strlen (message);
      snprintf (message + used, sizeof message - used, "%s \"%s\"", i == 0 ? "" : ",", choices[i]);
    }
  used = strlen (message);
  snprintf (message + used, sizeof message - used, ".");
  report_field (reader, path, field, message);
  return default_value;
}

char **
bt_read_json_strings (bt_json_reader_t *reader,
                      const json_t *object,
                      const char *path,
                      const char *field,
                      int32_t *count)
{
  const json_t *value = json_object_get (object, field);
  char **strings;
  size_t size;

  *count = 0;
  if (value == NULL)
    return NULL;
  size = json_is_array (value) ? json_array_size (value) : 1;
  strings = bt_calloc (reader->ctx, size, sizeof *strings);
  for (size_t i = 0; i < size; i++)
    {
      const json_t *item = json_is_array (value) ? json_array_get (value, i) : value;

      if (json_is_string (item) && json_string_length (item) > 0)
        strings[(*count)++] = bt_strdup (reader->ctx, json_string_value (item));
    }
  if (size == 0 || (size_t)*count < size)
    report_field (reader, path, field, "Expected a non-empty string or a non-empty list of them.");
  return strings;
}

const json_t *
bt_get_json_array (bt_json_reader_t *reader, const char *field)
{
  const json_t *value;

  if (reader->root == NULL)
    return NULL;
  value = json_object_get (reader->root, field);
  if (json_is_array (value))
    return value;
  report_field (reader, "", field, value == NULL ? "This field is required." : "Expected a list.");
  return NULL;
}

const json_t *
bt_get_json_object (bt_json_reader_t *reader,
                    const json_t *object,
                    const char *path,
                    const char *field)
{
  const json_t *value = json_object_get (object, field);

  if (value == NULL || json_is_object (value))
    return value;
  report_field (reader, path, field, "Expected an object.");
  return NULL;
}
