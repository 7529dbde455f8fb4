#ifndef BILBERRYTRAY_SOURCE_GATEWAY_LEAVING_NOTICE_H
#define BILBERRYTRAY_SOURCE_GATEWAY_LEAVING_NOTICE_H

/** @file
 * An entry that is to stop tells its peers so itself.
 *
 * Its listing in the platform's store says that callers may be sent to it, and while the store is
 * away the listing can't be taken back: all others would go on telling its address until the lease
 * has lapsed behind the store's return, and callers would be refused there one after the other.
 */

#include "peer_links.h"
#include "view.h"

typedef struct bt_leaving_notice bt_leaving_notice_t;

/** Dials the entries of a list, and tells each that answers that @p self leaves. NULL, with a log
 * line, when that can't be begun. */
bt_leaving_notice_t *bt_new_leaving_notice (bt_context_t *ctx,
                                            const bt_peer_name_t *self,
                                            const bt_listed_entry_t *entries,
                                            int32_t count);

/** NULL is accepted. */
void bt_drop_leaving_notice (bt_context_t *ctx, bt_leaving_notice_t *notice);

#endif
