#include "json_lines.h"

#include <ctype.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum
{
  PATH_BYTES = 512,
  MAX_DEPTH = 64,
};

typedef struct value_line
{
  char *path;
  int32_t line;
} value_line_t;

struct bt_json_lines
{
  value_line_t *items;
  int32_t count;
  int32_t capacity;
};

typedef struct scanner
{
  bt_context_t *ctx;
  bt_json_lines_t *lines;
  const char *cursor;
  const char *end;
  int32_t line;
  int32_t depth;
  char path[PATH_BYTES];
} scanner_t;

static void scan_value (scanner_t *scanner);

static void
add_value_line (scanner_t *scanner)
{
  bt_json_lines_t *lines = scanner->lines;

  if (lines->count == lines->capacity)
    {
      lines->capacity = lines->capacity * 2 + 32;
      lines->items =
          bt_realloc (scanner->ctx, lines->items, (size_t)lines->capacity, sizeof *lines->items);
    }
  lines->items[lines->count].path = bt_strdup (scanner->ctx, scanner->path);
  lines->items[lines->count].line = scanner->line;
  lines->count++;
}

static bool
skip_space (scanner_t *scanner)
{
  while (scanner->cursor < scanner->end && isspace ((unsigned char)*scanner->cursor))
    {
      if (*scanner->cursor == '\n')
        scanner->line++;
      scanner->cursor++;
    }
  return scanner->cursor < scanner->end;
}

/* Copies the text of a string without decoding escapes; no known field name has any. */
static void
scan_string (scanner_t *scanner, char *text, size_t bytes)
{
  size_t used = 0;

  scanner->cursor++;
  while (scanner->cursor < scanner->end && *scanner->cursor != '"')
    {
      if (*scanner->cursor == '\\')
        scanner->cursor++;
      if (scanner->cursor < scanner->end && text != NULL && used + 1 < bytes)
        text[used++] = *scanner->cursor;
      scanner->cursor++;
    }
  if (text != NULL)
    text[used] = '\0';
  scanner->cursor++;
}

static void
scan_members (scanner_t *scanner)
{
  size_t length = strlen (scanner->path);
  char name[PATH_BYTES];

  scanner->cursor++;
  while (skip_space (scanner) && *scanner->cursor != '}')
    {
      scan_string (scanner, name, sizeof name);
      snprintf (scanner->path + length, sizeof scanner->path - length, "%s%s",
                length == 0 ? "" : ".", name);
      skip_space (scanner);
      scanner->cursor++;
      scan_value (scanner);
      scanner->path[length] = '\0';
      if (skip_space (scanner) && *scanner->cursor == ',')
        scanner->cursor++;
    }
  scanner->cursor++;
}

static void
scan_items (scanner_t *scanner)
{
  size_t length = strlen (scanner->path);

  scanner->cursor++;
  for (int32_t index = 0; skip_space (scanner) && *scanner->cursor != ']'; index++)
    {
      snprintf (scanner->path + length, sizeof scanner->path - length, "[%d]", index);
      scan_value (scanner);
      scanner->path[length] = '\0';
      if (skip_space (scanner) && *scanner->cursor == ',')
        scanner->cursor++;
    }
  scanner->cursor++;
}

static void
scan_value (scanner_t *scanner)
{
  if (!skip_space (scanner) || scanner->depth >= MAX_DEPTH)
    {
      scanner->cursor = scanner->end;
      return;
    }
  add_value_line (scanner);
  scanner->depth++;
  if (*scanner->cursor == '{')
    scan_members (scanner);
  else if (*scanner->cursor == '[')
    scan_items (scanner);
  else if (*scanner->cursor == '"')
    scan_string (scanner, NULL, 0);
  else
    while (scanner->cursor < scanner->end && strchr (",]} \t\r\n", *scanner->cursor) == NULL)
      scanner->cursor++;
  scanner->depth--;
}

bt_json_lines_t *
bt_new_json_lines (bt_context_t *ctx, const char *data, size_t bytes)
{
  bt_json_lines_t *lines = bt_calloc (ctx, 1, sizeof *lines);
  scanner_t scanner = { ctx, lines, data, data + bytes, 1, 0, "" };

  scan_value (&scanner);
  return lines;
}

void
bt_drop_json_lines (bt_context_t *ctx, bt_json_lines_t *lines)
{
  if (lines == NULL)
    return;
  for (int32_t i = 0; i < lines->count; i++)
    bt_free (ctx, lines->items[i].path);
  bt_free (ctx, lines->items);
  bt_free (ctx, lines);
}

int32_t
bt_find_json_line (const bt_json_lines_t *lines, const char *path)
{
  for (int32_t i = 0; i < lines->count; i++)
    if (strcmp (lines->items[i].path, path) == 0)
      return lines->items[i].line;
  return 1;
}
