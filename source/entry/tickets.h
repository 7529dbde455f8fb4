#ifndef BILBERRYTRAY_SOURCE_ENTRY_TICKETS_H
#define BILBERRYTRAY_SOURCE_ENTRY_TICKETS_H

/** @file
 * Tickets for non-idempotent requests, issued together with the addresses.
 */

#include <jansson.h>

#include "entry.h"

/** Adds "tickets" to an answer with addresses. Call this without the entry's lock. */
void bt_add_tickets (bt_context_t *ctx, bt_entry_t *entry, bt_caller_t *caller, json_t *answer);

#endif
