#ifndef BILBERRYTRAY_SOURCE_GATEWAY_VIEW_H
#define BILBERRYTRAY_SOURCE_GATEWAY_VIEW_H

/** @file
 * A decoded snapshot of the platform's store at one revision: the configuration, the endpoints, the
 * entry instances, the crashes, the accused parts of prompts and the evacuated failure domains.
 * Immutable after creation.
 */

#include "bilberrytray/gateway/platform.h"
#include "bilberrytray/requests/crash_table.h"
#include "bilberrytray/requests/part_table.h"
#include "evacuations.h"

/** The listing of an entry instance, a process that accepts callers' requests. */
typedef struct bt_listed_entry
{
  bt_identity_t identity;
  char callers[BT_ADDRESS_BYTES]; /**< Address at which it serves callers. */
  char links[BT_ADDRESS_BYTES];   /**< Address at which it accepts links of peers; may be "". */
  char failure_domain[BT_NAME_BYTES];
  double cores;     /**< Its processor share, in cores; 0: unknown. */
  int64_t revision; /**< Revision of the last change of the listing. */
} bt_listed_entry_t;

/** An item under the keys of endpoints, entry instances, crashes or evacuations that was skipped,
 * because it is invalid or its app is not declared. Other programs may write such items. */
typedef struct bt_skipped_item
{
  char *key;
  int64_t revision; /**< Revision of its last change. */
} bt_skipped_item_t;

typedef struct bt_view
{
  int64_t era;              /**< The store's era at the read. */
  int64_t revision;         /**< The store's revision at the read. */
  int64_t read_ms;          /**< Start of the full read, or time of the last applied change, on this
                                 process's clock. */
  int64_t changed_after_ms; /**< What differs from the previous view has changed in the store after
                               this time on the same clock: as of it, the copy was complete. */
  int64_t configuration_revision; /**< Revision of the last change of the configuration; 0: none. */
  bt_declarations_t *declarations; /**< NULL if there is no configuration that can be used. */
  char *configuration;             /**< The text of the configuration in the store. */
  size_t configuration_bytes;
  bt_listed_endpoint_t *endpoints;
  int32_t endpoint_count;
  bt_listed_entry_t *entries;
  int32_t entry_count;
  bt_listed_crash_t *crashes;
  int32_t crash_count;
  bt_part_list_t parts;
  bt_evacuations_t evacuations;
  bt_skipped_item_t *skipped; /**< Skipped items, in the order of the store's items. Each is
                                 logged once per revision. */
  int32_t skipped_count;
  char leader[BT_NAME_BYTES]; /**< The instance that leads the rank groups; "": none. */
} bt_view_t;

/** Common prefix of the store keys of entry instances' listings. */
extern const char *const bt_entry_prefix;

/** Key of the item that names the instance that leads the rank groups. */
extern const char *const bt_leader_key;

/** Creates a view of all items of the store. Invalid items, and endpoints whose app is not
 * declared, are skipped and logged, unless the previous view @p previous skipped the same item at
 * the same era and revision. Items that have not changed since are not decoded again. The view
 * shares the declarations of @p previous if the configuration is unchanged, and also if nothing of
 * the new one can be used: the last one stays in force. @p previous may be NULL. */
bt_view_t *bt_new_view (bt_context_t *ctx,
                        const bt_platform_t *platform,
                        const bt_kv_range_t *range,
                        int64_t read_ms,
                        const bt_view_t *previous);

/** Copies what bt_new_view needs of the previous view: its declarations and their revision, the
 * endpoints, the entry instances and the skipped items. */
bt_view_t *bt_copy_view_summary (bt_context_t *ctx, const bt_view_t *view);

/** NULL is accepted. */
void bt_drop_view (bt_context_t *ctx, bt_view_t *view);

/** Writes the store key of an entry instance's listing, "bilberrytray/entries/" and its name. */
void bt_write_entry_key (char key[2 * BT_NAME_BYTES], const char *instance);

/** Encodes the listing of an entry instance; the caller frees it with bt_free. */
char *bt_write_listed_entry (bt_context_t *ctx, const bt_listed_entry_t *entry);

#endif
