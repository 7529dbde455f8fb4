#ifndef BILBERRYTRAY_SOURCE_ENTRY_CONFIG_DRIVER_H
#define BILBERRYTRAY_SOURCE_ENTRY_CONFIG_DRIVER_H

/** @file
 * Drives the spread of the configuration: carries out what bt_config_sync decides, on links and
 * on the key-value service, and puts new declarations in force.
 *
 * One thread makes the calls on the service, one after another. A second one ticks, and reads new
 * documents into declarations, so that a large document holds up no request. All tables of the
 * driver stand under the entry's lock.
 */

#include "bilberrytray/config/config_sync.h"
#include "bilberrytray/core/outcome.h"
#include "bilberrytray/store/kv.h"
#include "bilberrytray/wire/link.h"
#include "entry.h"

typedef struct bt_config_driver bt_config_driver_t;

/** Starts the driver; links that are up already are told to it. @p kv must outlive it. */
bt_config_driver_t *
bt_new_config_driver (bt_context_t *ctx, bt_entry_t *entry, bt_kv_t *kv, bt_error_t *error);

/** Ends the threads; @p kv was cancelled before. NULL is accepted. */
void bt_drop_config_driver (bt_context_t *ctx, bt_config_driver_t *driver);

/** The members of the instance list changed. With the entry's lock held, like all below. */
void bt_update_config_members (bt_entry_t *entry);

/** A link to an entry instance came up or went down. */
void bt_open_config_link (bt_entry_t *entry, const bt_identity_t *peer);
void bt_close_config_link (bt_entry_t *entry, const bt_identity_t *peer);

/** Fills in what a heartbeat to an entry instance says about configuration, and takes it. */
void bt_fill_config_heartbeat (bt_entry_t *entry,
                               const bt_identity_t *peer,
                               Bilberry__Heartbeat *heartbeat);
void bt_take_config_heartbeat (bt_entry_t *entry,
                               const bt_identity_t *peer,
                               const Bilberry__Heartbeat *heartbeat);

/** Why no request may be admitted now; BT_REASON_NONE when one may. */
bt_reason_t bt_get_config_refusal (const bt_entry_t *entry, int64_t now_ms);

#endif
