#ifndef BILBERRYTRAY_BASE_EVENT_LOG_H
#define BILBERRYTRAY_BASE_EVENT_LOG_H

/** @file
 * Structured events on standard output, one JSON object per line. An event is logged for each
 * decision that affects a request or changes the state that the process assumes, together with the
 * inputs of the decision.
 *
 * Writing never blocks: lines are lost while the reader does not read. Each level has its own
 * budget of lines per second, and lines over the budget are dropped, so that a flood at one level
 * drops no lines of another. Both are counted in "bilberry_log_lines_lost_total" by cause, "reader"
 * or "budget". When the next event can be written, an event "log-left-out" precedes it for each
 * cause with the number of these lines and how many of them had level warning or error.
 */

#include <jansson.h>

#include "bilberrytray/base/log.h"

/** Writes one event. @p format and the arguments after it describe the fields in the format of
 * jansson's json_pack, such as "{s:s, s:I}"; the value types s, i, I, f and b are supported. Can be
 * called from any thread. */
void
bt_log_event (bt_context_t *ctx, bt_log_level_t level, const char *event, const char *format, ...);

#endif
