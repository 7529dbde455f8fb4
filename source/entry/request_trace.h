#ifndef BILBERRYTRAY_SOURCE_ENTRY_REQUEST_TRACE_H
#define BILBERRYTRAY_SOURCE_ENTRY_REQUEST_TRACE_H

/** @file
 * Reconstructs how a request was handled, from its id and the logs of several processes.
 */

#include <stdbool.h>
#include <stdio.h>

#include "bilberrytray/base/context.h"

typedef struct bt_request_trace bt_request_trace_t;

bt_request_trace_t *bt_new_request_trace (bt_context_t *ctx, const char *request_id);

/** NULL is accepted. */
void bt_drop_request_trace (bt_context_t *ctx, bt_request_trace_t *trace);

/** Adds a log line: a JSON object, after any prefix that a log collector has added. Lines
 * without an object or without a valid time are counted as skipped. */
void bt_add_trace_line (bt_context_t *ctx, bt_request_trace_t *trace, const char *line);

/** Prints, in time order, the events of the request and the events that changed the state of its
 * instances around that time, and finally how the request ended. Returns false if no line names
 * the request. */
bool bt_print_request_trace (bt_context_t *ctx, bt_request_trace_t *trace, FILE *out);

#endif
