#ifndef BILBERRYTRAY_SOURCE_ENTRY_MAP_MESSAGES_H
#define BILBERRYTRAY_SOURCE_ENTRY_MAP_MESSAGES_H

/** @file
 * Between the frames about expert maps and the messages of the controller's decisions.
 */

#include "bilberrytray/maps/expert_map.h"
#include "bilberrytray/maps/map_round.h"
#include "bilberrytray/wire/link.h"

/** @p map may be empty: the engine then knows the map by its digest. */
void bt_send_map_order (bt_context_t *ctx,
                        bt_link_t *link,
                        const char *group,
                        const bt_map_order_t *order,
                        const bt_map_bytes_t *map);

/** False when the report names no rank, no state or an unknown refusal. */
bool bt_read_map_report (const Bilberry__MapReport *frame, bt_map_report_t *report);

#endif
