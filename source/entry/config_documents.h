#ifndef BILBERRYTRAY_SOURCE_ENTRY_CONFIG_DOCUMENTS_H
#define BILBERRYTRAY_SOURCE_ENTRY_CONFIG_DOCUMENTS_H

/** @file
 * Conversion of configuration documents from and to key-value ranges and frames.
 */

#include "bilberrytray/config/declarations.h"
#include "bilberrytray/config/document.h"
#include "bilberrytray/store/kv.h"
#include "bilberrytray/wire/frame.h"

/** Adds the documents of a range of the key-value store. Skips keys that name no document and
 * values that cannot be decoded; the latter are logged. */
void bt_add_range_documents (bt_context_t *ctx,
                             const bt_kv_range_t *range,
                             const char *prefix,
                             bt_document_list_t *list);

/** Adds the documents of a push. Skips unknown names and revisions that are not above 0. */
void bt_add_push_documents (bt_context_t *ctx,
                            const Bilberry__ConfigPush *push,
                            bt_document_list_t *list);

/** A push to send. Zero-initialize it. The message points into the document list. */
typedef struct bt_push_frame
{
  Bilberry__Frame frame;
  Bilberry__ConfigPush push;
  Bilberry__ConfigDocument *documents;
  Bilberry__ConfigDocument **pointers;
} bt_push_frame_t;

/** Fills the frame of a push. It holds no reference to the documents of @p list, which must
 * outlive it. */
void bt_make_push_frame (bt_context_t *ctx, bt_push_frame_t *push, const bt_document_list_t *list);

/** Frees the memory of the frame. */
void bt_clear_push_frame (bt_context_t *ctx, bt_push_frame_t *push);

/** Parses declarations from the four documents of a list, less the parts that can't be read, which
 * are added to @p findings. Returns NULL if a document is missing or can't be read at all. */
bt_declarations_t *
bt_read_declarations (bt_context_t *ctx, const bt_document_list_t *list, bt_findings_t *findings);

#endif
