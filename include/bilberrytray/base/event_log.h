#ifndef BILBERRYTRAY_BASE_EVENT_LOG_H
#define BILBERRYTRAY_BASE_EVENT_LOG_H

/** @file
 * Structured events on standard output, one JSON object a line: each decision that touches a
 * request or changes what the process believes, with the inputs that decided it.
 *
 * Writing never blocks: a reader that has stopped costs lines. Each level has a budget of lines a
 * second, so that a flood at one level costs none of another. What is left out is counted in
 * "bilberry_log_lines_lost_total", and an event "log-left-out" tells how many lines it was, and how
 * many of them at warning or error, as soon as there is room again and anything is to be told.
 */

#include <jansson.h>

#include "bilberrytray/base/log.h"

/** Writes one event. @p format and what follows describe the fields, as json_pack of jansson takes
 * them, such as "{s:s, s:I}"; values are s, i, I, f and b. Safe from any thread. */
void
bt_log_event (bt_context_t *ctx, bt_log_level_t level, const char *event, const char *format, ...);

#endif
