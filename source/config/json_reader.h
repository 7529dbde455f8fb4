#ifndef BILBERRYTRAY_SOURCE_CONFIG_JSON_READER_H
#define BILBERRYTRAY_SOURCE_CONFIG_JSON_READER_H

/** @file
 * Reads typed values from a JSON document and adds a finding for each invalid one.
 */

#include <jansson.h>

#include "bilberrytray/base/findings.h"
#include "bilberrytray/config/declarations.h"
#include "json_lines.h"

/** A parsed document and where its findings go. */
typedef struct bt_json_reader
{
  bt_context_t *ctx;
  bt_findings_t *findings;
  const char *file;
  json_t *root; /**< NULL when the text is not a JSON object. */
  bt_json_lines_t *lines;
} bt_json_reader_t;

/** Size of the buffer for a path inside a document, in bytes. */
enum
{
  BT_JSON_PATH_BYTES = 256,
};

/** Parses a document; adds a finding when it is not a JSON object. */
void bt_open_json_reader (bt_context_t *ctx,
                          bt_json_reader_t *reader,
                          const bt_document_text_t *text,
                          bt_findings_t *findings);

void bt_close_json_reader (bt_json_reader_t *reader);

/** Adds a finding at @p path. */
void bt_add_json_finding (bt_json_reader_t *reader, const char *path, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Writes "PATH.NAME" (or NAME when the path is empty). */
void bt_join_json_path (char *field_path, const char *path, const char *name);

/** Adds a finding for each field of @p object that is not in the NULL-terminated list @p names. */
void bt_check_json_fields (bt_json_reader_t *reader,
                           const json_t *object,
                           const char *path,
                           const char *const *names);

/** Reads a name of 1 to BT_NAME_BYTES - 1 letters, digits, '.', '_' and '-' into @p name. Returns
 * false, with a finding, when it is absent or invalid. */
bool bt_read_json_name (bt_json_reader_t *reader,
                        const json_t *object,
                        const char *path,
                        const char *field,
                        char *name);

/** Reads a non-empty string; NULL when the field is absent or invalid. The caller frees it. */
char *bt_read_json_string (bt_json_reader_t *reader,
                           const json_t *object,
                           const char *path,
                           const char *field);

/** Reads an integer; @p default_value when the field is absent or invalid. */
int64_t bt_read_json_integer (bt_json_reader_t *reader,
                              const json_t *object,
                              const char *path,
                              const char *field,
                              int64_t min,
                              int64_t max,
                              int64_t default_value);

/** Reads true or false as 1 or 0; -1 when the field is absent or invalid. */
int32_t bt_read_json_bool (bt_json_reader_t *reader,
                           const json_t *object,
                           const char *path,
                           const char *field);

/** Returns true if the field is missing or has one of the choices. */
bool bt_has_json_choice (const json_t *object,
                         const char *field,
                         const char *const *choices,
                         int32_t count);

/** Reads one of @p choices. Returns its index, or @p default_value when the field is absent or
 * invalid. */
int32_t bt_read_json_choice (bt_json_reader_t *reader,
                             const json_t *object,
                             const char *path,
                             const char *field,
                             const char *const *choices,
                             int32_t count,
                             int32_t default_value);

/** Reads a string or a list of strings; the caller frees each string and the list. */
char **bt_read_json_strings (bt_json_reader_t *reader,
                             const json_t *object,
                             const char *path,
                             const char *field,
                             int32_t *count);

/** The array at @p field of the document; NULL, with a finding, when missing or of another type. */
const json_t *bt_get_json_array (bt_json_reader_t *reader, const char *field);

/** The object at @p field; NULL when it is absent, and NULL with a finding when it is of another
 * type. */
const json_t *bt_get_json_object (bt_json_reader_t *reader,
                                  const json_t *object,
                                  const char *path,
                                  const char *field);

#endif
