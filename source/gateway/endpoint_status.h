#ifndef BILBERRYTRAY_SOURCE_GATEWAY_ENDPOINT_STATUS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_ENDPOINT_STATUS_H

/** @file
 * What endpoints have said of their room, as text for operators. The event loop records it; the
 * operators' page reads it on another thread.
 */

#include <stdio.h>

#include "bilberrytray/load/router.h"

typedef struct bt_endpoint_status bt_endpoint_status_t;

bt_endpoint_status_t *bt_new_endpoint_status (bt_context_t *ctx);

/** NULL is accepted. */
void bt_drop_endpoint_status (bt_context_t *ctx, bt_endpoint_status_t *status);

/** Records what the endpoints of a router have said by now. */
void bt_update_endpoint_status (bt_context_t *ctx,
                                bt_endpoint_status_t *status,
                                const bt_router_t *router,
                                int64_t now_ms);

/** Prints one line for each endpoint that has said something. May be called from any thread. */
void bt_print_endpoint_status (bt_endpoint_status_t *status, int64_t now_ms, FILE *out);

#endif
