#ifndef BILBERRYTRAY_WIRE_ENGINE_MESSAGES_H
#define BILBERRYTRAY_WIRE_ENGINE_MESSAGES_H

/** @file
 * Converts reports and orders of a group's engines to and from the messages that agents and entries
 * exchange.
 */

#include "bilberrytray/core/identity.h"
#include "bilberrytray/maps/group_rounds.h"
#include "bilberrytray/wire/frame.h"

/** State of an engine. */
typedef struct bt_engine_report
{
  char group[BT_NAME_BYTES]; /**< "" for an engine without a group. */
  int32_t rank;
  int32_t ranks;
  bt_rank_report_t maps;
  bool load_unknown;            /**< running and queued could not be read, and are 0. */
  int32_t running;              /**< Requests in its batch. */
  int32_t queued;               /**< Requests in its queue. */
  int64_t memory_used;          /**< Tokens in its memory that cannot be evicted. */
  int64_t memory;               /**< Capacity of its memory in tokens. */
  double pace;                  /**< Slowdown factor; above 1 the engine is slow. */
  bool limited;                 /**< It names a limit. Not sent to entries, like the limit. */
  double limit_per_s;           /**< Requests per second that it takes from all entries together. */
  const char *unreadable_field; /**< A field that was left out; NULL: none. Not sent to entries. */
} bt_engine_report_t;

/** Fills in the message for a report. The message refers to the strings of @p report. */
void bt_write_engine_report (const bt_engine_report_t *report, Bilberry__EngineReport *message);

void bt_read_engine_report (const Bilberry__EngineReport *message, bt_engine_report_t *report);

/** Fills in the message for an order, except the bytes of the map, which the caller sets. */
void bt_write_engine_order (const bt_group_order_t *order, Bilberry__EngineOrder *message);

/** Reads an order. False if its kind is unknown. */
bool bt_read_engine_order (const Bilberry__EngineOrder *message, bt_group_order_t *order);

#endif
