#ifndef BILBERRYTRAY_AGENT_ENGINE_PLATFORM_H
#define BILBERRYTRAY_AGENT_ENGINE_PLATFORM_H

/** @file
 * The interface between an agent and the platform-specific API of the engine beside it: paths and
 * formats. An implementation only translates.
 */

#include "bilberrytray/base/error.h"
#include "bilberrytray/maps/expert_map.h"
#include "bilberrytray/wire/engine_messages.h"

/** How often each expert was selected since the engine started. */
typedef struct bt_engine_picks
{
  int64_t started_ms; /**< When the engine started, in Unix time; 0: not reported. */
  int64_t epoch;
  int64_t *counts; /**< Ordered by set, then expert; free it with bt_free. */
  int32_t count;
} bt_engine_picks_t;

/** The experts that an engine holds under the map in use. */
typedef struct bt_engine_places
{
  int64_t started_ms; /**< When the engine started, in Unix time; 0: not reported. */
  int64_t epoch;
  int64_t version;
  uint32_t *places; /**< Each entry is set << 16 | expert; free it with bt_free. */
  int32_t count;
} bt_engine_places_t;

typedef struct bt_engine_platform
{
  const char *report_path;
  const char *picks_path;
  const char *places_path;
  const char *order_path;

  /** Reads a report. A field about the engine's load, memory or speed that can't be read is left
   * out and named in the report. Returns false if one about its group or its maps can't be read:
   * orders are based on them. */
  bool (*read_report) (const char *text,
                       size_t bytes,
                       bt_engine_report_t *report,
                       bt_error_t *error);

  /** Reads a header of the answer that carries a report. Returns true, and sets the requests per
   * second that the engine takes from all entries together, if it names such a limit. */
  bool (*read_limit_header) (const char *name, const char *value, double *per_s);

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

  /** Returns the body of an order; @p map is set only for a PREPARE order, else NULL. The caller
   * frees the result with free. */
  char *(*write_order) (const bt_group_order_t *order, const bt_expert_map_t *map);

  /** Maps the HTTP status of the answer to an order to a result; 0 means that no answer arrived. */
  bt_order_result_t (*read_order_status) (int32_t status);
} bt_engine_platform_t;

/** Returns the implementation for the engines of the users' platform. */
const bt_engine_platform_t *bt_get_engine_platform (void);

#endif
