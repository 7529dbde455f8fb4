#ifndef BILBERRYTRAY_SOURCE_GATEWAY_PENDING_UPDATE_H
#define BILBERRYTRAY_SOURCE_GATEWAY_PENDING_UPDATE_H

/** @file
 * What an agent has reported since its reports were last collected. Reports that arrive in between
 * are merged: the latest state counts, and picks are summed.
 */

#include "bilberrytray/wire/engine_messages.h"

/** What one agent reported since the last update. */
typedef struct bt_agent_update
{
  const char *endpoint; /**< The engine's "IP:PORT". */
  bt_engine_report_t report;
  int64_t received_ms;
  const uint32_t *picks; /**< How often each expert was picked since the last update, by
                            set and expert; NULL: not reported. */
  int32_t pick_count;
  const uint32_t *places; /**< Experts that the rank holds, each set << 16 | expert; NULL: not
                             reported. */
  int32_t place_count;
  int64_t places_epoch; /**< Epoch and version of the map that the places belong to. */
  int64_t places_version;
  bool answered;        /**< The result of an order arrived. */
  uint64_t answered_id; /**< The id of that order. */
  bt_order_result_t result;
} bt_agent_update_t;

/** Zeroed: nothing was reported. */
typedef struct bt_pending_update
{
  bt_engine_report_t report; /**< The latest one; stays after it was collected. */
  int64_t received_ms;
  uint32_t *picks;
  int32_t pick_count;
  uint32_t *places;
  int32_t place_count;
  int64_t places_epoch;
  int64_t places_version;
  bool answered;
  uint64_t answered_id;
  bt_order_result_t result;
} bt_pending_update_t;

/** Merges a report. */
void bt_add_pending_report (bt_context_t *ctx,
                            bt_pending_update_t *pending,
                            const Bilberry__EngineReport *message);

/** Records the result of an order; its report is merged before. */
void bt_set_pending_result (bt_pending_update_t *pending, const Bilberry__EngineResult *message);

/** Moves what was reported into @p update, whose endpoint is left unset. The caller frees its picks
 * and places. */
void bt_take_pending_update (bt_pending_update_t *pending, bt_agent_update_t *update);

/** Frees what was not collected. */
void bt_clear_pending_update (bt_context_t *ctx, bt_pending_update_t *pending);

#endif
