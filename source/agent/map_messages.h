#ifndef BILBERRYTRAY_SOURCE_AGENT_MAP_MESSAGES_H
#define BILBERRYTRAY_SOURCE_AGENT_MAP_MESSAGES_H

/** @file
 * Converts between wire frames about expert maps and the messages of bt_map_rank_t.
 */

#include "bilberrytray/maps/map_round.h"
#include "bilberrytray/wire/link.h"
#include "map_engine.h"

/** Reads an order. Returns false when its kind or rank is invalid. */
bool bt_read_map_order (const Bilberry__MapOrder *frame, bt_map_order_t *order);

void bt_read_map_ask (const Bilberry__MapAsk *frame, bt_map_ask_t *ask);
void bt_read_map_tell (const Bilberry__MapTell *frame, bt_map_tell_t *tell);

void bt_send_map_report (bt_context_t *ctx,
                         bt_link_t *link,
                         const char *group,
                         const bt_map_report_t *report);
/** Sends a report that carries loads and answers no order. */
void bt_send_map_loads (bt_context_t *ctx,
                        bt_link_t *link,
                        const char *group,
                        int64_t rank,
                        const bt_map_loads_t *loads);
void
bt_send_map_ask (bt_context_t *ctx, bt_link_t *link, const char *group, const bt_map_ask_t *ask);
void
bt_send_map_tell (bt_context_t *ctx, bt_link_t *link, const char *group, const bt_map_tell_t *tell);

#endif
