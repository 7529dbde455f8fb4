#ifndef BILBERRYTRAY_SOURCE_ENTRY_MESSAGES_H
#define BILBERRYTRAY_SOURCE_ENTRY_MESSAGES_H

/** @file
 * Between the messages of a delivery and the frames of a link.
 */

#include "bilberrytray/requests/delivery.h"
#include "bilberrytray/wire/link.h"

/** Reads a frame of an agent. False when it is no reply, or is malformed. Its data belongs to the
 * frame; that of a head is the content type, with its zero. */
bool bt_read_reply (const bt_link_t *link, const bt_frame_t *frame, bt_reply_t *reply);

/** Fills what the protocol needs of a dispatch; @p grant must live as long. */
void
bt_fill_dispatch (Bilberry__Dispatch *frame, const bt_dispatch_t *dispatch, Bilberry__Grant *grant);

/** Each sends one message; false when the link is dead. @p ticket is the signed text. */
bool bt_send_grant_request (bt_context_t *ctx,
                            bt_link_t *link,
                            const bt_grant_request_t *request,
                            const char *ticket);
bool bt_send_tombstone_request (bt_context_t *ctx,
                                bt_link_t *link,
                                const bt_tombstone_request_t *request,
                                const char *ticket);
bool bt_send_cancel (bt_context_t *ctx, bt_link_t *link, const bt_reply_path_t *path);

#endif
