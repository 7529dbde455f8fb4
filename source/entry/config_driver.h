#ifndef BILBERRYTRAY_SOURCE_ENTRY_CONFIG_DRIVER_H
#define BILBERRYTRAY_SOURCE_ENTRY_CONFIG_DRIVER_H

/** @file
 * Runs config sync: performs the actions of bt_config_sync on links and on the key-value store, and
 * puts new declarations in force.
 *
 * One thread calls the store, one call at a time. A second one runs the periodic ticks and parses
 * new documents, so that a large document does not delay requests. The entry's lock guards all
 * tables of the driver.
 */

#include "bilberrytray/config/config_sync.h"
#include "bilberrytray/core/outcome.h"
#include "bilberrytray/store/kv.h"
#include "bilberrytray/wire/link.h"
#include "entry.h"

typedef struct bt_config_driver bt_config_driver_t;

/** Starts the driver and tells it about the links that are already up. @p kv must outlive it. */
bt_config_driver_t *
bt_new_config_driver (bt_context_t *ctx, bt_entry_t *entry, bt_kv_t *kv, bt_error_t *error);

/** Stops the threads. Cancel @p kv first. NULL is accepted. */
void bt_drop_config_driver (bt_context_t *ctx, bt_config_driver_t *driver);

/** Applies a change of the instance list's members. Call this function and those below with the
 * entry's lock held. */
void bt_update_config_members (bt_entry_t *entry);

/** Reports that a link to an entry instance came up or went down. */
void bt_open_config_link (bt_entry_t *entry, const bt_identity_t *peer);
void bt_close_config_link (bt_entry_t *entry, const bt_identity_t *peer);

/** Fills in or handles the configuration fields of a heartbeat between entry instances. */
void bt_fill_config_heartbeat (bt_entry_t *entry,
                               const bt_identity_t *peer,
                               Bilberry__Heartbeat *heartbeat);
void bt_handle_config_heartbeat (bt_entry_t *entry,
                                 const bt_identity_t *peer,
                                 const Bilberry__Heartbeat *heartbeat);

/** Returns the reason why requests are refused now; BT_REASON_NONE if they are admitted. */
bt_reason_t bt_get_config_refusal (const bt_entry_t *entry, int64_t now_ms);

#endif
