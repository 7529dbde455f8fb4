#ifndef BILBERRYTRAY_BASE_EVENT_LOG_H
#define BILBERRYTRAY_BASE_EVENT_LOG_H

/** @file
 * Structured events on standard output, one JSON object a line: each decision that touches a
 * request or changes what the process believes, with the inputs that decided it.
 *
 * Writing never blocks: a reader that has stopped costs lines, which are counted in
 * "bilberry_log_lines_lost_total". Each level has a budget of lines a second; what it leaves out is
 * told by an event "log-left-out" as soon as there is room again.
 */

#include <jansson.h>

#include "bilberrytray/base/log.h"

/** Writes one event. @p format and what follows describe the fields, as json_pack of jansson takes
 * them, such as "{s:s, s:I}". Safe from any thread. */
void
bt_log_event (bt_context_t *ctx, bt_log_level_t level, const char *event, const char *format, ...);

#endif
