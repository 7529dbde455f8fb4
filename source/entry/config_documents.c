#include "config_documents.h"

#include <string.h>

#include "bilberrytray/base/log.h"

static bool
is_document_name (const char *name)
{
  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    if (strcmp (bt_name_document ((bt_document_kind_t)i), name) == 0)
      return true;
  return false;
}

void
bt_add_range_documents (bt_context_t *ctx,
                        const bt_kv_range_t *range,
                        const char *prefix,
                        bt_document_list_t *list)
{
  size_t prefix_bytes = strlen (prefix);

  for (int32_t i = 0; i < range->count; i++)
    {
      const bt_kv_pair_t *pair = &range->pairs[i];
      bt_document_t *document;
      bt_error_t error = { 0 };

      if (strncmp (pair->key, prefix, prefix_bytes) != 0
          || !is_document_name (pair->key + prefix_bytes))
        continue;
      document = bt_decode_document (ctx, pair->key + prefix_bytes, pair->mod_revision, pair->value,
                                     pair->value_bytes, &error);
      if (document == NULL)
        bt_log (ctx, BT_LOG_ERROR, BT_PART_CONFIG, "%s", error.message);
      else
        bt_add_document (ctx, list, document);
      bt_drop_document (ctx, document);
    }
}

void
bt_add_push_documents (bt_context_t *ctx,
                       const Bilberry__ConfigPush *push,
                       bt_document_list_t *list)
{
  for (size_t i = 0; i < push->n_documents; i++)
    {
      const Bilberry__ConfigDocument *sent = push->documents[i];
      bt_document_fields_t fields = { .name = sent->name,
                                      .revision = sent->revision,
                                      .change = sent->change,
                                      .deleted = sent->deleted,
                                      .data = (const char *)sent->data.data,
                                      .data_bytes = sent->data.len };
      bt_document_t *document;

      if (!is_document_name (sent->name) || sent->revision <= 0)
        continue;
      document = bt_new_document (ctx, &fields);
      bt_add_document (ctx, list, document);
      bt_drop_document (ctx, document);
    }
}

void
bt_make_push_frame (bt_context_t *ctx, bt_push_frame_t *push, const bt_document_list_t *list)
{
  bilberry__frame__init (&push->frame);
  bilberry__config_push__init (&push->push);
  push->documents = bt_calloc (ctx, (size_t)list->count, sizeof (Bilberry__ConfigDocument));
  push->pointers = bt_calloc (ctx, (size_t)list->count, sizeof (Bilberry__ConfigDocument *));
  for (int32_t i = 0; i < list->count; i++)
    {
      const bt_document_t *document = list->items[i];
      Bilberry__ConfigDocument *sent = &push->documents[i];

      bilberry__config_document__init (sent);
      sent->name = (char *)document->name;
      sent->revision = document->revision;
      sent->data.data = (uint8_t *)document->data;
      sent->data.len = document->data_bytes;
      sent->deleted = document->deleted;
      sent->change = (char *)document->change;
      push->pointers[i] = sent;
    }
  push->push.n_documents = (size_t)list->count;
  push->push.documents = push->pointers;
  push->frame.body_case = BILBERRY__FRAME__BODY_CONFIG_PUSH;
  push->frame.config_push = &push->push;
}

void
bt_clear_push_frame (bt_context_t *ctx, bt_push_frame_t *push)
{
  bt_free (ctx, push->documents);
  bt_free (ctx, push->pointers);
}

bt_declarations_t *
bt_read_declarations (bt_context_t *ctx, const bt_document_list_t *list, bt_findings_t *findings)
{
  bt_document_text_t texts[BT_DOCUMENT_COUNT] = { 0 };
  bt_declarations_t *declarations;
  int64_t revision = 0;

  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    {
      const char *name = bt_name_document ((bt_document_kind_t)i);
      const bt_document_t *document = bt_find_listed_document (list, name);

      if (document == NULL || document->deleted)
        return NULL;
      texts[i].file = name;
      texts[i].data = document->data;
      texts[i].bytes = document->data_bytes;
      if (document->revision > revision)
        revision = document->revision;
    }
  declarations = bt_new_readable_declarations (ctx, texts, findings);
  if (declarations != NULL)
    declarations->revision = revision;
  return declarations;
}
