#ifndef BILBERRYTRAY_SOURCE_GATEWAY_ENDPOINT_TABLE_H
#define BILBERRYTRAY_SOURCE_GATEWAY_ENDPOINT_TABLE_H

/** @file
 * The table of the endpoints that the store lists. Its changes are applied to the router.
 */

#include "bilberrytray/load/group_outages.h"
#include "view.h"

typedef struct bt_endpoint_table bt_endpoint_table_t;

/** Handles the unannounced end of an endpoint's incarnation, which is one process run under the
 * endpoint's id. An end is announced when the endpoint was listed as leaving before. */
typedef struct bt_endpoint_end_handler
{
  void (*on_end) (struct bt_endpoint_end_handler *handler, const bt_identity_t *endpoint);
} bt_endpoint_end_handler_t;

/** Changes are also recorded in @p outages, unless it is NULL. */
bt_endpoint_table_t *
bt_new_endpoint_table (bt_context_t *ctx, bt_router_t *router, bt_group_outages_t *outages);

/** NULL is accepted. */
void bt_drop_endpoint_table (bt_context_t *ctx, bt_endpoint_table_t *table);

/** Sets the handler of unannounced ends; NULL for none. The handler must not change the table. */
void bt_set_endpoint_end_handler (bt_endpoint_table_t *table, bt_endpoint_end_handler_t *handler);

/** Applies a view of the store. An endpoint that was restarted under its id is treated as a new
 * one: all state of its earlier incarnation is dropped, and registrations of an incarnation older
 * than the known one are ignored. An endpoint that the view does not list is removed. For some
 * seconds after the store has become reachable again it is kept instead, since its registration may
 * only have lapsed with the store. @return when to call again with the same view, ms, or 0. */
int64_t bt_apply_listed_endpoints (bt_context_t *ctx,
                                   bt_endpoint_table_t *table,
                                   const bt_view_t *view,
                                   int64_t now_ms);

/** Records that the store was unreachable until @p now_ms. */
void bt_record_store_regained (bt_endpoint_table_t *table, int64_t now_ms);

/** Finds an endpoint by its id; NULL when there is none. The result is valid until the next change
 * of the table. */
const bt_listed_endpoint_t *bt_find_listed_endpoint (const bt_endpoint_table_t *table,
                                                     const char *id);

/** Returns the number of endpoints, those included that are kept although they are not listed. */
int32_t bt_count_listed_endpoints (const bt_endpoint_table_t *table);

/** Returns the endpoint at an index; NULL if it is known to be gone. The result is valid until the
 * next change of the table. */
const bt_listed_endpoint_t *bt_get_listed_endpoint (const bt_endpoint_table_t *table,
                                                    int32_t index);

/** Returns the time until which the endpoint at an index is cold; 0 if it is not. */
int64_t bt_get_endpoint_cold_until_ms (const bt_endpoint_table_t *table, int32_t index);

/** Finds the endpoint at an address, the one that started last; NULL when there is none. */
const bt_listed_endpoint_t *bt_find_endpoint_at (const bt_endpoint_table_t *table,
                                                 const char *address);

/** Returns true when information about the incarnation that started at @p started_ms may be about
 * the listed one: the two start times are equal, or one of them is unknown (0). */
bool bt_is_listed_incarnation (const bt_listed_endpoint_t *listed, int64_t started_ms);

/** Removes an incarnation of an endpoint that is known to be gone, until the store lists a new
 * registration of the endpoint. Does nothing when another incarnation is listed by now. */
void bt_remove_listed_endpoint (bt_context_t *ctx,
                                bt_endpoint_table_t *table,
                                const bt_identity_t *identity);

/** Records that an incarnation of an endpoint has ended, as a closed port or another instance
 * shows. It gets no requests for some seconds; by then its registration has gone, or the next
 * incarnation is listed. The group of which it was a rank is paused. */
void bt_suspend_ended_endpoint (bt_context_t *ctx,
                                bt_endpoint_table_t *table,
                                const bt_identity_t *identity,
                                int64_t now_ms);

/** Writes the identity by which the router knows an endpoint: its id and its start time. */
void bt_identify_endpoint (const bt_listed_endpoint_t *listed, bt_identity_t *identity);

#endif
