#ifndef BILBERRYTRAY_SOURCE_AGENT_ENGINE_CLIENT_H
#define BILBERRYTRAY_SOURCE_AGENT_ENGINE_CLIENT_H

/** @file
 * HTTP client for the engine that runs beside an agent.
 */

#include "bilberrytray/agent/engine_platform.h"

typedef struct bt_engine_client bt_engine_client_t;

/** Creates a client for the engine at @p address, "IP:PORT". Each call ends after @p timeout_ms, or
 * at once when @p cancelled is set. */
bt_engine_client_t *bt_new_engine_client (bt_context_t *ctx,
                                          const bt_engine_platform_t *platform,
                                          const char *address,
                                          int64_t timeout_ms,
                                          const int32_t *cancelled);

/** NULL is accepted. */
void bt_drop_engine_client (bt_context_t *ctx, bt_engine_client_t *client);

/** Reads the engine's report. Returns false and sets @p error on failure, as do
 * bt_read_engine_picks and bt_read_engine_places. */
bool bt_read_engine_state (bt_context_t *ctx,
                           bt_engine_client_t *client,
                           bt_engine_report_t *report,
                           bt_error_t *error);

bool bt_read_engine_picks (bt_context_t *ctx,
                           bt_engine_client_t *client,
                           bt_engine_picks_t *picks,
                           bt_error_t *error);

bool bt_read_engine_places (bt_context_t *ctx,
                            bt_engine_client_t *client,
                            bt_engine_places_t *places,
                            bt_error_t *error);

/** Sends an order to the engine at @p address, "IP:PORT", or to the engine of this client when @p
 * address is "". @p status receives the HTTP status of the answer, 0 if none arrived. */
bt_order_result_t bt_send_engine_order (bt_context_t *ctx,
                                        bt_engine_client_t *client,
                                        const char *address,
                                        const bt_group_order_t *order,
                                        const bt_expert_map_t *map,
                                        int32_t *status);

#endif
