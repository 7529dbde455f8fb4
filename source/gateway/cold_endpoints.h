#ifndef BILBERRYTRAY_SOURCE_GATEWAY_COLD_ENDPOINTS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_COLD_ENDPOINTS_H

/** @file
 * Tells the router which endpoints are cold, and how often this instance may use them.
 */

#include "endpoint_table.h"

/** Updates all endpoints of the table, to which @p view was applied. */
void bt_update_cold_endpoints (bt_context_t *ctx,
                               const bt_endpoint_table_t *table,
                               const bt_view_t *view,
                               const char *instance,
                               bt_router_t *router,
                               int64_t now_ms);

#endif
