#ifndef BILBERRYTRAY_SOURCE_BASE_EVENT_FIELDS_H
#define BILBERRYTRAY_SOURCE_BASE_EVENT_FIELDS_H

/** @file
 * The fields of an event, from a format and arguments as json_pack of jansson takes them.
 */

#include <jansson.h>
#include <stdarg.h>

/** Adds the fields of a format such as "{s:s, s:I}" to @p object; values are s, i, I, f and b.
 * Texts may come from callers: of a long one the beginning is kept, and of one that is no UTF-8
 * its ASCII. */
void bt_add_event_fields (json_t *object, const char *format, va_list arguments);

#endif
