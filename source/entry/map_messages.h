#ifndef BILBERRYTRAY_SOURCE_ENTRY_MAP_MESSAGES_H
#define BILBERRYTRAY_SOURCE_ENTRY_MAP_MESSAGES_H

/** @file
 * Between the frames about expert maps and the messages of the controller's decisions.
 */

#include "bilberrytray/core/map_round.h"
#include "bilberrytray/wire/link.h"

void bt_send_map_order (bt_context_t *ctx,
                        bt_link_t *link,
                        const char *group,
                        const bt_map_order_t *order);

/** False when the report names no rank, no state or an unknown refusal. */
bool bt_read_map_report (const Bilberry__MapReport *frame, bt_map_report_t *report);

#endif
