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

typedef struct place
{
  char *path;
  int32_t line;
} place_t;

struct bt_json_lines
{
  place_t *places;
  int32_t count;
  int32_t capacity;
};

typedef struct scanner
{
  bt_context_t *ctx;
  bt_json_lines_t *lines;
  const char *at;
  const char *end;
  int32_t line;
  int32_t depth;
  char path[PATH_BYTES];
} scanner_t;

static void scan_value (scanner_t *scanner);

static void
add_place (scanner_t *scanner)
{
  bt_json_lines_t *lines = scanner->lines;

  if (lines->count == lines->capacity)
    {
      lines->capacity = lines->capacity * 2 + 32;
      lines->places =
          bt_realloc (scanner->ctx, lines->places, (size_t)lines->capacity, sizeof *lines->places);
    }
  lines->places[lines->count].path = bt_strdup (scanner->ctx, scanner->path);
  lines->places[lines->count].line = scanner->line;
  lines->count++;
}

static bool
skip_space (scanner_t *scanner)
{
  while (scanner->at < scanner->end && isspace ((unsigned char)*scanner->at))
    {
      if (*scanner->at == '\n')
        scanner->line++;
      scanner->at++;
    }
  return scanner->at < scanner->end;
}

/* Copies a string's text without decoding escapes: field names of ours hold none. */
static void
scan_string (scanner_t *scanner, char *text, size_t bytes)
{
  size_t used = 0;

  scanner->at++;
  while (scanner->at < scanner->end && *scanner->at != '"')
    {
      if (*scanner->at == '\\')
        scanner->at++;
      if (scanner->at < scanner->end && text != NULL && used + 1 < bytes)
        text[used++] = *scanner->at;
      scanner->at++;
    }
  if (text != NULL)
    text[used] = '\0';
  scanner->at++;
}

static void
scan_members (scanner_t *scanner)
{
  size_t length = strlen (scanner->path);
  char name[PATH_BYTES];

  scanner->at++;
  while (skip_space (scanner) && *scanner->at != '}')
    {
      scan_string (scanner, name, sizeof name);
      snprintf (scanner->path + length, sizeof scanner->path - length, "%s%s",
                length == 0 ? "" : ".", name);
      skip_space (scanner);
      scanner->at++;
      scan_value (scanner);
      scanner->path[length] = '\0';
      if (skip_space (scanner) && *scanner->at == ',')
        scanner->at++;
    }
  scanner->at++;
}

static void
scan_items (scanner_t *scanner)
{
  size_t length = strlen (scanner->path);

  scanner->at++;
  for (int32_t index = 0; skip_space (scanner) && *scanner->at != ']'; index++)
    {
      snprintf (scanner->path + length, sizeof scanner->path - length, "[%d]", index);
      scan_value (scanner);
      scanner->path[length] = '\0';
      if (skip_space (scanner) && *scanner->at == ',')
        scanner->at++;
    }
  scanner->at++;
}

static void
scan_value (scanner_t *scanner)
{
  if (!skip_space (scanner) || scanner->depth >= MAX_DEPTH)
    {
      scanner->at = scanner->end;
      return;
    }
  add_place (scanner);
  scanner->depth++;
  if (*scanner->at == '{')
    scan_members (scanner);
  else if (*scanner->at == '[')
    scan_items (scanner);
  else if (*scanner->at == '"')
    scan_string (scanner, NULL, 0);
  else
    while (scanner->at < scanner->end && strchr (",]} \t\r\n", *scanner->at) == NULL)
      scanner->at++;
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
    bt_free (ctx, lines->places[i].path);
  bt_free (ctx, lines->places);
  bt_free (ctx, lines);
}

int32_t
bt_find_json_line (const bt_json_lines_t *lines, const char *path)
{
  for (int32_t i = 0; i < lines->count; i++)
    if (strcmp (lines->places[i].path, path) == 0)
      return lines->places[i].line;
  return 1;
}
