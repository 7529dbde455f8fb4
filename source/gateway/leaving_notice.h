#ifndef BILBERRYTRAY_SOURCE_GATEWAY_LEAVING_NOTICE_H
#define BILBERRYTRAY_SOURCE_GATEWAY_LEAVING_NOTICE_H

/** @file
 * Notifies peers that this entry instance shuts down.
 *
 * While an entry is listed in the platform's store, its peers direct callers to it. The listing
 * can't be removed while the store is unavailable. Without the notice, all peers would advertise
 * the entry's address until the store is back and the listing's lease has expired, and the entry
 * would refuse every caller.
 */

#include "peer_links.h"
#include "view.h"

typedef struct bt_leaving_notice bt_leaving_notice_t;

/** Connects to the entries of a list, and notifies each that answers that @p self shuts down.
 * Returns NULL and logs the reason if the links can't be opened. */
bt_leaving_notice_t *bt_new_leaving_notice (bt_context_t *ctx,
                                            const bt_peer_identity_t *self,
                                            const bt_listed_entry_t *entries,
                                            int32_t count);

/** NULL is accepted. */
void bt_drop_leaving_notice (bt_context_t *ctx, bt_leaving_notice_t *notice);

#endif
