#ifndef BILBERRYTRAY_SOURCE_ENTRY_CONFIG_DOCUMENTS_H
#define BILBERRYTRAY_SOURCE_ENTRY_CONFIG_DOCUMENTS_H

/** @file
 * Documents of the configuration as the key-value service and the frames between processes hold
 * them.
 */

#include "bilberrytray/config/declarations.h"
#include "bilberrytray/config/document.h"
#include "bilberrytray/store/kv.h"
#include "bilberrytray/wire/frame.h"

/** Adds the documents that a range of the service holds. Keys that name no document and values that
 * cannot be read are left out; the latter are logged. */
void bt_add_range_documents (bt_context_t *ctx,
                             const bt_kv_range_t *range,
                             const char *prefix,
                             bt_document_list_t *list);

/** Adds the documents of a push. */
void bt_add_push_documents (bt_context_t *ctx,
                            const Bilberry__ConfigPush *push,
                            bt_document_list_t *list);

/** A push to send. Zero-initialise it; its message points into the list. */
typedef struct bt_push_frame
{
  Bilberry__Frame frame;
  Bilberry__ConfigPush push;
  Bilberry__ConfigDocument *documents;
  Bilberry__ConfigDocument **pointers;
} bt_push_frame_t;

/** Makes the frame of a push, which holds no reference to the documents of @p list. */
void bt_make_push_frame (bt_context_t *ctx, bt_push_frame_t *push, const bt_document_list_t *list);

/** Frees what the frame holds. */
void bt_clear_push_frame (bt_context_t *ctx, bt_push_frame_t *push);

/** Reads declarations from the four documents of a list. NULL when one is missing or wrong; wrong
 * ones are added to @p findings. */
bt_declarations_t *
bt_read_declarations (bt_context_t *ctx, const bt_document_list_t *list, bt_findings_t *findings);

#endif
