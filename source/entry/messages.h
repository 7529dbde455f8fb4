#ifndef BILBERRYTRAY_SOURCE_ENTRY_MESSAGES_H
#define BILBERRYTRAY_SOURCE_ENTRY_MESSAGES_H

/** @file
 * Conversion between the messages of a delivery and the frames of a link.
 */

#include "bilberrytray/requests/delivery.h"
#include "bilberrytray/wire/link.h"

/** Reads a frame from an agent. Returns false if it is not a reply or is malformed. The reply
 * points to data of the frame; for an answer head, the data is the content type with its
 * terminating zero. */
bool bt_read_reply (const bt_link_t *link, const bt_frame_t *frame, bt_reply_t *reply);

/** Fills the protocol fields of a dispatch. @p grant is filled and must outlive @p frame. */
void
bt_fill_dispatch (Bilberry__Dispatch *frame, const bt_dispatch_t *dispatch, Bilberry__Grant *grant);

/** Each function sends one message and returns false if the link is closed. @p ticket is the
 * signed text. */
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
