#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"

enum
{
  PATH_BYTES = 1024,
  MAX_DOCUMENT_BYTES = 1 << 20,
};

char *
bt_read_file (
    bt_context_t *ctx, const char *path, size_t max_bytes, size_t *bytes, bt_findings_t *findings)
{
  FILE *file = fopen (path, "rb");
  char *text;

  *bytes = 0;
  if (file == NULL)
    {
      bt_add_finding (ctx, findings, path, 0, NULL, "Can't be read: %s.", strerror (errno));
      return NULL;
    }
  text = bt_calloc (ctx, max_bytes + 1, 1);
  *bytes = fread (text, 1, max_bytes + 1, file);
  fclose (file);
  if (*bytes <= max_bytes)
    return text;
  bt_add_finding (ctx, findings, path, 0, NULL, "Longer than %zu bytes.", max_bytes);
  bt_free (ctx, text);
  return NULL;
}

bt_declarations_t *
bt_load_declarations (bt_context_t *ctx, const char *folder, bt_findings_t *findings)
{
  bt_document_text_t texts[BT_DOCUMENT_COUNT] = { 0 };
  char paths[BT_DOCUMENT_COUNT][PATH_BYTES];
  bt_declarations_t *declarations = NULL;
  bool complete = true;

  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    {
      snprintf (paths[i], sizeof paths[i], "%s/%s.json", folder,
                bt_name_document ((bt_document_kind_t)i));
      texts[i].file = paths[i];
      texts[i].data = bt_read_file (ctx, paths[i], MAX_DOCUMENT_BYTES, &texts[i].bytes, findings);
      complete = complete && texts[i].data != NULL;
    }
  if (complete)
    declarations = bt_new_declarations (ctx, texts, findings);
  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    bt_free (ctx, (void *)texts[i].data);
  return declarations;
}
