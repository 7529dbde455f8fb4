#ifndef BILBERRYTRAY_SOURCE_AGENT_MESSAGES_H
#define BILBERRYTRAY_SOURCE_AGENT_MESSAGES_H

/** @file
 * Converts between wire frames and the messages of the agent's arbiter.
 */

#include "bilberrytray/core/protocol.h"
#include "bilberrytray/wire/link.h"

/** Reads a dispatch. If it carries an invalid ticket, sends a refusal and returns false. */
bool bt_read_dispatch (bt_context_t *ctx,
                       const bt_ticket_ring_t *ring,
                       bt_link_t *link,
                       const Bilberry__Dispatch *frame,
                       int64_t now_ms,
                       bt_dispatch_t *dispatch);

/** Reads a grant request. If its proposal is missing or its ticket is invalid, sends a refusal and
 * returns false. */
bool bt_read_grant_request (bt_context_t *ctx,
                            const bt_ticket_ring_t *ring,
                            bt_link_t *link,
                            const Bilberry__GrantRequest *frame,
                            bt_grant_request_t *request);

/** Reads a tombstone request. If its ticket is invalid, answers that no tombstone was set
 * and returns false. */
bool bt_read_tombstone_request (bt_context_t *ctx,
                                const bt_ticket_ring_t *ring,
                                bt_link_t *link,
                                const Bilberry__TombstoneRequest *frame,
                                bt_tombstone_request_t *request);

/** Sends a reply. A refusal is counted by its reason. */
void bt_send_reply (bt_context_t *ctx, bt_link_t *link, const bt_reply_t *reply);

#endif
