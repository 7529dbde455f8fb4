#include "bilberrytray/config/document.h"

#include <ck_pr.h>
#include <stdio.h>
#include <string.h>

enum
{
  INITIAL_CAPACITY = 8,
  HEADER_BYTES = 160,
  CHANGE_DIGITS = BT_CHANGE_BYTES - 1,
};

static const char header_format[] = "#bilberry change=%s after=%s deleted=%d\n";

static uint64_t
digest_document (const bt_document_t *document)
{
  uint64_t digest = bt_hash_bytes (document->data, document->data_bytes, document->deleted);

  digest = bt_hash_bytes (document->change, strlen (document->change), digest);
  return bt_hash_bytes (document->name, strlen (document->name), digest);
}

static void
copy_change_id (char target[BT_CHANGE_BYTES], const char *change)
{
  snprintf (target, BT_CHANGE_BYTES, "%s", change == NULL ? "" : change);
}

bt_document_t *
bt_new_document (bt_context_t *ctx, const bt_document_fields_t *fields)
{
  bt_document_t *document = bt_calloc (ctx, 1, sizeof *document);

  document->references = 1;
  document->deleted = fields->deleted;
  document->revision = fields->revision;
  document->data_bytes = fields->data_bytes;
  document->data = bt_memdup (ctx, fields->data, fields->data_bytes);
  bt_copy_name (document->name, fields->name);
  copy_change_id (document->change, fields->change);
  copy_change_id (document->after, fields->after);
  document->digest = digest_document (document);
  return document;
}

bt_document_t *
bt_keep_document (bt_document_t *document)
{
  ck_pr_inc_32 (&document->references);
  return document;
}

void
bt_drop_document (bt_context_t *ctx, bt_document_t *document)
{
  if (document == NULL || ck_pr_faa_32 (&document->references, UINT32_MAX) != 1)
    return;
  bt_free (ctx, document->data);
  bt_free (ctx, document);
}

static const char *
or_dash (const char *change)
{
  return change[0] == '\0' ? "-" : change;
}

char *
bt_encode_document (bt_context_t *ctx, const bt_document_t *document, size_t *bytes)
{
  char header[HEADER_BYTES];
  int header_bytes;
  char *value;

  header_bytes = snprintf (header, sizeof header, header_format, or_dash (document->change),
                           or_dash (document->after), document->deleted ? 1 : 0);
  *bytes = (size_t)header_bytes + document->data_bytes;
  value = bt_calloc (ctx, *bytes + 1, 1);
  memcpy (value, header, (size_t)header_bytes);
  memcpy (value + header_bytes, document->data, document->data_bytes);
  return value;
}

static bool
is_change_id (const char *text)
{
  size_t digits = strspn (text, "0123456789abcdef");

  return strcmp (text, "-") == 0 || (digits == CHANGE_DIGITS && text[digits] == '\0');
}

/* Parses a header line, given without its line feed. */
static bool
read_header (const char *line,
             char change[BT_CHANGE_BYTES],
             char after[BT_CHANGE_BYTES],
             int *deleted)
{
  return sscanf (line, "#bilberry change=%32s after=%32s deleted=%d", change, after, deleted) == 3
         && is_change_id (change) && is_change_id (after);
}

bt_document_t *
bt_decode_document (bt_context_t *ctx,
                    const char *name,
                    int64_t revision,
                    const char *value,
                    size_t bytes,
                    bt_error_t *error)
{
  const char *end = memchr (value, '\n', bytes);
  char header[HEADER_BYTES] = "";
  char change[BT_CHANGE_BYTES] = "-";
  char after[BT_CHANGE_BYTES] = "-";
  int deleted = 0;
  bt_document_fields_t fields = { name, revision, NULL, NULL, false, value, bytes };

  if (bytes > 0 && value[0] == '#')
    {
      if (end != NULL && (size_t)(end - value) < sizeof header)
        memcpy (header, value, (size_t)(end - value));
      if (!read_header (header, change, after, &deleted))
        {
          bt_set_error (error, BT_ERROR_FORMAT, "%s: the header line is malformed.", name);
          return NULL;
        }
      fields.data = end + 1;
      fields.data_bytes = bytes - (size_t)(end + 1 - value);
    }
  fields.change = strcmp (change, "-") == 0 ? "" : change;
  fields.after = strcmp (after, "-") == 0 ? "" : after;
  fields.deleted = deleted != 0;
  return bt_new_document (ctx, &fields);
}

void
bt_add_document (bt_context_t *ctx, bt_document_list_t *list, bt_document_t *document)
{
  if (list->count == list->capacity)
    {
      list->capacity = list->capacity * 2 + INITIAL_CAPACITY;
      list->items = bt_realloc (ctx, list->items, (size_t)list->capacity, sizeof (bt_document_t *));
    }
  list->items[list->count++] = bt_keep_document (document);
}

void
bt_clear_documents (bt_context_t *ctx, bt_document_list_t *list)
{
  for (int32_t i = 0; i < list->count; i++)
    bt_drop_document (ctx, list->items[i]);
  bt_free (ctx, list->items);
  memset (list, 0, sizeof *list);
}

bt_document_t *
bt_find_listed_document (const bt_document_list_t *list, const char *name)
{
  for (int32_t i = 0; i < list->count; i++)
    if (strcmp (list->items[i]->name, name) == 0)
      return list->items[i];
  return NULL;
}
