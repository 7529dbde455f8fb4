#ifndef BILBERRYTRAY_SOURCE_AGENT_MAP_ENGINE_H
#define BILBERRYTRAY_SOURCE_AGENT_MAP_ENGINE_H

/** @file
 * HTTP client for one engine of a rank group: GET URL/state, GET URL/loads and POST URL/orders.
 */

#include "bilberrytray/base/error.h"
#include "bilberrytray/maps/expert_map.h"
#include "bilberrytray/maps/map_round.h"

typedef struct bt_map_engine bt_map_engine_t;

/** @p url is the URL of the rank's engine, such as "http://10.0.0.5:9000/ranks/3". Each call ends
 * after @p timeout_ms, or at once when @p cancelled is set. */
bt_map_engine_t *bt_new_map_engine (bt_context_t *ctx,
                                    const char *url,
                                    int64_t timeout_ms,
                                    const int32_t *cancelled);

/** NULL is accepted. */
void bt_drop_map_engine (bt_context_t *ctx, bt_map_engine_t *engine);

/** Tokens routed to the experts of the rank since the last reading. */
typedef struct bt_map_loads
{
  int32_t layers;
  int32_t experts;
  uint32_t *tokens; /**< Ordered by layer, then expert; free it with bt_free. */
} bt_map_loads_t;

/** Reads the loads. Returns false when the engine reports none or does not answer. */
bool bt_read_map_loads (bt_context_t *ctx, bt_map_engine_t *engine, bt_map_loads_t *loads);

/** Sends an order and reads the engine's state after it; a query only reads the state. @p map holds
 * the bytes of the map for STAGE and JOIN and may be empty. Returns false when no complete answer
 * arrived; the order may have taken effect. */
bool bt_call_map_engine (bt_context_t *ctx,
                         bt_map_engine_t *engine,
                         const bt_map_order_t *order,
                         const bt_map_bytes_t *map,
                         bool *accepted,
                         bt_engine_state_t *state,
                         bt_error_t *error);

#endif
