#ifndef BILBERRYTRAY_WIRE_ENGINE_MESSAGES_H
#define BILBERRYTRAY_WIRE_ENGINE_MESSAGES_H

/** @file
 * Reports and orders of a group's engines as frames between agents and entries.
 */

#include "bilberrytray/core/identity.h"
#include "bilberrytray/maps/group_rounds.h"
#include "bilberrytray/wire/frame.h"

/** How an engine stands. */
typedef struct bt_engine_report
{
  char group[BT_NAME_BYTES]; /**< "" for an engine without a group. */
  int32_t rank;
  int32_t ranks;
  bt_rank_report_t maps;
  int32_t running;     /**< Requests in its batch. */
  int32_t queued;      /**< Requests that wait for it. */
  int64_t memory_used; /**< Tokens in its memory that can't yield. */
  int64_t memory;
  double pace; /**< Above 1 it is slow. */
} bt_engine_report_t;

/** Fills in a message for a report; its strings stay those of @p report. */
void bt_write_engine_report (const bt_engine_report_t *report, Bilberry__EngineReport *message);

void bt_read_engine_report (const Bilberry__EngineReport *message, bt_engine_report_t *report);

/** Fills in a message for an order; the map's bytes stay the caller's. */
void bt_write_engine_order (const bt_group_order_t *order, Bilberry__EngineOrder *message);

/** False when the kind is not known. */
bool bt_read_engine_order (const Bilberry__EngineOrder *message, bt_group_order_t *order);

#endif
