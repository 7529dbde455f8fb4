#ifndef BILBERRYTRAY_SOURCE_ENTRY_MAP_MESSAGES_H
#define BILBERRYTRAY_SOURCE_ENTRY_MAP_MESSAGES_H

/** @file
 * Conversion between frames about expert maps and the messages of bt_map_controller_t.
 */

#include "bilberrytray/maps/expert_map.h"
#include "bilberrytray/maps/map_round.h"
#include "bilberrytray/wire/link.h"

/** Sends an order. If @p map is empty, the engine knows the map by its digest. */
void bt_send_map_order (bt_context_t *ctx,
                        bt_link_t *link,
                        const char *group,
                        const bt_map_order_t *order,
                        const bt_map_bytes_t *map);

/** Reads a report. Returns false if it has an invalid rank, no engine state or an unknown
 * refusal. */
bool bt_read_map_report (const Bilberry__MapReport *frame, bt_map_report_t *report);

#endif
