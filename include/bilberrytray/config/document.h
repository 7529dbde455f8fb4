#ifndef BILBERRYTRAY_CONFIG_DOCUMENT_H
#define BILBERRYTRAY_CONFIG_DOCUMENT_H

/** @file
 * One document of the configuration at one revision. Documents never change; they are counted and
 * shared between threads.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/core/identity.h"

/** Size of a change id, 32 hexadecimal digits with their zero, in bytes. */
#define BT_CHANGE_BYTES 33

/** Largest document, in bytes: the service's limit for a value less the header line. */
#define BT_DOCUMENT_BYTES (1000 * 1000)

/** A document. A deleted one is a document without data, kept so that an older one cannot return.
 */
typedef struct bt_document
{
  uint32_t references;
  bool deleted;
  char name[BT_NAME_BYTES];
  int64_t revision;             /**< The service's revision that wrote it. */
  char change[BT_CHANGE_BYTES]; /**< Random id of the change that wrote it; "" if none. */
  char after[BT_CHANGE_BYTES];  /**< Id of the change it replaced; "" if none or not known. */
  uint64_t digest;              /**< Of all of the above but the revision, and of the data. */
  char *data;                   /**< Followed by a zero byte. */
  size_t data_bytes;
} bt_document_t;

/** What a document is made of; strings are copied, NULL strings are "". */
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

/** The value that the service keeps: one header line with the change ids, then the data. The caller
 * frees it with bt_free. */
char *bt_encode_document (bt_context_t *ctx, const bt_document_t *document, size_t *bytes);

/** Reads a value of the service. One without a header line was written by other means than
 * `publish` and is all data. NULL with BT_ERROR_FORMAT when its header line is malformed. */
bt_document_t *bt_decode_document (bt_context_t *ctx,
                                   const char *name,
                                   int64_t revision,
                                   const char *value,
                                   size_t bytes,
                                   bt_error_t *error);

/** A list of documents, each kept. Zero-initialise it. */
typedef struct bt_document_list
{
  bt_document_t **items;
  int32_t count;
  int32_t capacity;
} bt_document_list_t;

/** Adds a document, which is kept once more. */
void bt_add_document (bt_context_t *ctx, bt_document_list_t *list, bt_document_t *document);

/** Drops all documents and the memory of the list. */
void bt_clear_documents (bt_context_t *ctx, bt_document_list_t *list);

/** The document of this name; NULL when there is none. */
bt_document_t *bt_find_listed_document (const bt_document_list_t *list, const char *name);

#endif
