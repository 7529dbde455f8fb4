#ifndef BILBERRYTRAY_SOURCE_ENTRY_REQUEST_STORY_H
#define BILBERRYTRAY_SOURCE_ENTRY_REQUEST_STORY_H

/** @file
 * One request's way through the logs of several processes, from its id to its cause.
 */

#include <stdbool.h>
#include <stdio.h>

#include "bilberrytray/base/context.h"

typedef struct bt_request_story bt_request_story_t;

bt_request_story_t *bt_new_request_story (bt_context_t *ctx, const char *request_id);

/** NULL is accepted. */
void bt_drop_request_story (bt_context_t *ctx, bt_request_story_t *story);

/** Takes a line of a log: a JSON object, behind whatever a collector has put before it. Lines that
 * hold none are counted. */
void bt_add_story_line (bt_context_t *ctx, bt_request_story_t *story, const char *line);

/** Prints, by time, what was decided about the request, with what its instances believed then, and
 * at last what became of it. False when no line names the request. */
bool bt_print_request_story (bt_context_t *ctx, bt_request_story_t *story, FILE *out);

#endif
