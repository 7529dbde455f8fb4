#ifndef BILBERRYTRAY_SOURCE_AGENT_MAP_ENGINE_H
#define BILBERRYTRAY_SOURCE_AGENT_MAP_ENGINE_H

/** @file
 * Orders to one engine of a rank group, by HTTP: GET URL/state and POST URL/orders.
 */

#include "bilberrytray/base/error.h"
#include "bilberrytray/maps/expert_map.h"
#include "bilberrytray/maps/map_round.h"

typedef struct bt_map_engine bt_map_engine_t;

/** @p url is the rank's, such as "http://10.0.0.5:9000/ranks/3". No call takes longer than
 * @p limit_ms; @p cancelled, when set, ends it at once. */
bt_map_engine_t *bt_new_map_engine (bt_context_t *ctx,
                                    const char *url,
                                    int64_t timeout_ms,
                                    const int32_t *cancelled);

/** NULL is accepted. */
void bt_drop_map_engine (bt_context_t *ctx, bt_map_engine_t *engine);

/** The tokens that experts of the rank were given since the last reading. */
typedef struct bt_map_loads
{
  int32_t layers;
  int32_t experts;
  uint32_t *tokens; /**< Layer by layer; free it with bt_free. */
} bt_map_loads_t;

/** Reads GET URL/loads; false when the engine has none or did not answer. */
bool bt_read_map_loads (bt_context_t *ctx, bt_map_engine_t *engine, bt_map_loads_t *loads);

/** Gives an order and reads the engine's state after it; a query only reads. @p map, the
 * bytes of the map that is staged or joined with, may be empty. False when no whole
 * answer came: the order may have taken effect. */
bool bt_call_map_engine (bt_context_t *ctx,
                         bt_map_engine_t *engine,
                         const bt_map_order_t *order,
                         const bt_map_bytes_t *map,
                         bool *accepted,
                         bt_engine_state_t *state,
                         bt_error_t *error);

#endif
