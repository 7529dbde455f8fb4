#ifndef BILBERRYTRAY_SOURCE_BASE_EVENT_FIELDS_H
#define BILBERRYTRAY_SOURCE_BASE_EVENT_FIELDS_H

/** @file
 * Builds the fields of an event from a format and arguments like those of jansson's json_pack.
 */

#include <jansson.h>
#include <stdarg.h>

/** Adds the fields described by a format such as "{s:s, s:I}" to @p object; the value types s, i,
 * I, f and b are supported. Texts may come from callers: a long text is truncated, and in a
 * truncated text or one that is not valid UTF-8 all non-ASCII bytes are replaced by '?'. */
void bt_add_event_fields (json_t *object, const char *format, va_list arguments);

#endif
