#ifndef BILBERRYTRAY_AGENT_ENGINE_PLATFORM_H
#define BILBERRYTRAY_AGENT_ENGINE_PLATFORM_H

/** @file
 * What an agent asks of the platform about the engine beside it: paths and formats. An
 * implementation only translates.
 */

#include "bilberrytray/base/error.h"
#include "bilberrytray/maps/expert_map.h"
#include "bilberrytray/wire/engine_messages.h"

/** How often an engine's requests chose each expert since the engine started. */
typedef struct bt_engine_picks
{
  int64_t started_ms; /**< When the engine started, in Unix time; 0: it does not say. */
  int64_t epoch;
  int64_t *counts; /**< By set, then expert; freed with bt_free. */
  int32_t count;
} bt_engine_picks_t;

/** The experts that an engine holds in the map in use. */
typedef struct bt_engine_places
{
  int64_t started_ms; /**< When the engine started, in Unix time; 0: it does not say. */
  int64_t epoch;
  int64_t version;
  uint32_t *places; /**< set << 16 | expert; freed with bt_free. */
  int32_t count;
} bt_engine_places_t;

typedef struct bt_engine_platform
{
  const char *report_path;
  const char *picks_path;
  const char *places_path;
  const char *order_path;

  bool (*read_report) (const char *text,
                       size_t bytes,
                       bt_engine_report_t *report,
                       bt_error_t *error);

  bool (*read_picks) (bt_context_t *ctx,
                      const char *text,
                      size_t bytes,
                      bt_engine_picks_t *picks,
                      bt_error_t *error);

  bool (*read_places) (bt_context_t *ctx,
                       const char *text,
                       size_t bytes,
                       bt_engine_places_t *places,
                       bt_error_t *error);

  /** The body of an order; @p map is that of a PREPARE, else NULL. Freed with free. */
  char *(*write_order) (const bt_group_order_t *order, const bt_expert_map_t *map);

  /** What the status of an order's answer says; 0: there was none. */
  bt_order_result_t (*read_order_status) (int32_t status);
} bt_engine_platform_t;

/** The engines of the users' platform. */
const bt_engine_platform_t *bt_get_engine_platform (void);

#endif
