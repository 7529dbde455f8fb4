#ifndef BILBERRYTRAY_BASE_URL_H
#define BILBERRYTRAY_BASE_URL_H

/** @file
 * Builds URLs of any length from parts of our own and from names and keys that other programs
 * wrote.
 */

#include <stddef.h>

#include "bilberrytray/base/context.h"

/** A URL under construction. Zero-initialise it; free it with bt_clear_url. */
typedef struct bt_url
{
  char *text; /**< Zero-terminated; NULL while nothing was appended. */
  size_t bytes;
  size_t capacity;
} bt_url_t;

/** Appends text as it is. */
void bt_append_url (bt_context_t *ctx, bt_url_t *url, const char *text);

/** Appends a decimal number. */
void bt_append_url_number (bt_context_t *ctx, bt_url_t *url, int64_t number);

/** Appends a name, a key or a value of a query: bytes other than letters, digits, "-", ".", "_",
 * "~" and "/" are written as "%" and two hexadecimal digits. */
void bt_append_url_value (bt_context_t *ctx, bt_url_t *url, const char *value, size_t bytes);

/** Does the same for one segment of a path, with "/" escaped too. The segments "." and ".." have no
 * such form. */
void bt_append_url_segment (bt_context_t *ctx, bt_url_t *url, const char *segment, size_t bytes);

/** Frees the text and zeroes the URL. */
void bt_clear_url (bt_context_t *ctx, bt_url_t *url);

#endif
