#ifndef BILBERRYTRAY_SOURCE_GATEWAY_ENDPOINT_SELECTION_H
#define BILBERRYTRAY_SOURCE_GATEWAY_ENDPOINT_SELECTION_H

/** @file
 * Which of the listed endpoints this instance sends requests to: a subset of each model, all
 * endpoints of a plain service.
 */

#include "endpoint_table.h"

typedef struct bt_endpoint_selection bt_endpoint_selection_t;

bt_endpoint_selection_t *bt_new_endpoint_selection (bt_context_t *ctx,
                                                    const bt_identity_t *instance);

/** NULL is accepted. */
void bt_drop_endpoint_selection (bt_context_t *ctx, bt_endpoint_selection_t *selection);

/** Chooses from the endpoints of the table, to which @p view was applied, and tells the router
 * which are chosen and how many instances share them. Does nothing if the view has no declarations.
 */
void bt_update_endpoint_selection (bt_context_t *ctx,
                                   bt_endpoint_selection_t *selection,
                                   const bt_endpoint_table_t *table,
                                   const bt_view_t *view,
                                   bt_router_t *router);

/** Returns true if requests are sent to the endpoint. */
bool bt_is_endpoint_selected (const bt_endpoint_selection_t *selection,
                              const bt_listed_endpoint_t *endpoint);

#endif
