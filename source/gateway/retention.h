#ifndef BILBERRYTRAY_SOURCE_GATEWAY_RETENTION_H
#define BILBERRYTRAY_SOURCE_GATEWAY_RETENTION_H

/** @file
 * Decides what stays in force after the platform's store was restored from a backup, until the
 * operators and the endpoints have written again what was lost.
 *
 * The restored store can show an older version of an item, lack an item, or show one that was
 * removed. An older version is recognised by the number that the writer of the item counts up. The
 * store's revisions do not tell, since they are assigned again.
 */

#include "bilberrytray/gateway/platform.h"
#include "removed_keys.h"

/** An item that stays in force in place of what the store shows. */
typedef struct bt_retained_item
{
  bt_kv_pair_t pair;      /**< Its revisions lie below those of the present era. A removal only has
                               a key. */
  bool removal;           /**< The item stays removed. */
  int64_t shown_revision; /**< Of a removal: last change of the item that the store shows. */
  int64_t until_ms;       /**< INT64_MAX: until the store shows a later version. */
} bt_retained_item_t;

/** Zero-initialise it; free it with bt_clear_retention. */
typedef struct bt_retention
{
  bt_retained_item_t *items;
  int32_t count;
} bt_retention_t;

/** Determines what stays in force as a new era begins. @p known is what was in force before, @p
 * removed the keys removed in earlier eras, and @p shown what the restored store shows. Replaces
 * the contents of @p retention, which are those of the era before. */
void bt_begin_retention (bt_context_t *ctx,
                         bt_retention_t *retention,
                         const bt_platform_t *platform,
                         const bt_kv_range_t *known,
                         const bt_removed_keys_t *removed,
                         const bt_kv_range_t *shown,
                         int64_t now_ms);

/** Adds an item that another instance retains, unless this instance retains a later version or the
 * store shows one. Copies the item. */
void bt_add_retained_item (bt_context_t *ctx,
                           bt_retention_t *retention,
                           const bt_platform_t *platform,
                           const bt_retained_item_t *item,
                           const bt_kv_range_t *shown);

/** Drops what the store now shows in the same or a later version, and what has expired. @p shown is
 * known to be what the store shows at @p shown_ms. Returns true if anything was dropped. */
bool bt_settle_retention (bt_context_t *ctx,
                          bt_retention_t *retention,
                          const bt_platform_t *platform,
                          const bt_kv_range_t *shown,
                          int64_t shown_ms);

/** Returns what is in force: the shown items with the retained ones in their place. The range
 * shares the strings; the caller frees only its pairs. */
bt_kv_range_t
bt_apply_retention (bt_context_t *ctx, const bt_retention_t *retention, const bt_kv_range_t *shown);

void bt_clear_retention (bt_context_t *ctx, bt_retention_t *retention);

#endif
