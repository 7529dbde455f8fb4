#ifndef BILBERRYTRAY_CONFIG_DOCUMENT_H
#define BILBERRYTRAY_CONFIG_DOCUMENT_H

/** @file
 * One document of the configuration at one revision. Documents are immutable, reference-counted and
 * shared between threads.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/core/identity.h"

/** Size of a change id in bytes: 32 hexadecimal digits and a terminating zero. */
#define BT_CHANGE_BYTES 33

/** Largest document in bytes: the store's limit for a value minus the header line. */
#define BT_DOCUMENT_BYTES (1000 * 1000)

/** A document. A deleted one stays as a document without data, so that an older revision cannot
 * come back into force. */
typedef struct bt_document
{
  uint32_t references;
  bool deleted;
  char name[BT_NAME_BYTES];
  int64_t revision;             /**< Store revision of the write. */
  char change[BT_CHANGE_BYTES]; /**< Random id of the change that wrote it; "" if none. */
  char after[BT_CHANGE_BYTES];  /**< Id of the change it replaced; "" if none or not known. */
  uint64_t digest; /**< Of the name, change id, deleted flag and data; not of the revision. */
  char *data;      /**< Followed by a zero byte. */
  size_t data_bytes;
} bt_document_t;

/** Contents of a new document. Strings are copied; a NULL string counts as "". */
typedef struct bt_document_fields
{
  const char *name;
  int64_t revision;
  const char *change;
  const char *after;
  bool deleted;
  const char *data;
  size_t data_bytes;
} bt_document_fields_t;

bt_document_t *bt_new_document (bt_context_t *ctx, const bt_document_fields_t *fields);
bt_document_t *bt_keep_document (bt_document_t *document);

/** NULL is accepted. */
void bt_drop_document (bt_context_t *ctx, bt_document_t *document);

/** Encodes a document as the value to store: one header line with the change ids, then the data.
 * The caller frees it with bt_free. */
char *bt_encode_document (bt_context_t *ctx, const bt_document_t *document, size_t *bytes);

/** Decodes a value of the store. A value without a header line was not written by `publish` and is
 * data only. Returns NULL with BT_ERROR_FORMAT when the header line is malformed. */
bt_document_t *bt_decode_document (bt_context_t *ctx,
                                   const char *name,
                                   int64_t revision,
                                   const char *value,
                                   size_t bytes,
                                   bt_error_t *error);

/** A list of documents that holds a reference to each. Must be zero-initialised. */
typedef struct bt_document_list
{
  bt_document_t **items;
  int32_t count;
  int32_t capacity;
} bt_document_list_t;

/** Adds a document and a reference to it. */
void bt_add_document (bt_context_t *ctx, bt_document_list_t *list, bt_document_t *document);

/** Releases all documents and the memory of the list. */
void bt_clear_documents (bt_context_t *ctx, bt_document_list_t *list);

/** The document named @p name, or NULL when there is none. */
bt_document_t *bt_find_listed_document (const bt_document_list_t *list, const char *name);

#endif
