#ifndef BILBERRYTRAY_BASE_HTTP_FIELD_H
#define BILBERRYTRAY_BASE_HTTP_FIELD_H

/** @file
 * Judges what stands in the head of an HTTP message (RFC 9110 and RFC 9112). What is invalid means
 * one thing to one program and another to the next.
 */

#include <stdbool.h>
#include <stddef.h>

/** Returns true for a token, of which methods and names of fields consist. */
bool bt_is_field_name (const char *text, size_t bytes);

/** Returns true for the value of a field: no control bytes but tabs. Bytes beyond ASCII are
 * allowed. */
bool bt_is_field_value (const char *text, size_t bytes);

/** Returns true for the target of a request: neither blanks nor control bytes, and at least one
 * byte. */
bool bt_is_request_target (const char *text);

#endif
