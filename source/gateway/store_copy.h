#ifndef BILBERRYTRAY_SOURCE_GATEWAY_STORE_COPY_H
#define BILBERRYTRAY_SOURCE_GATEWAY_STORE_COPY_H

/** @file
 * The local copy of the platform's store: its items at one position, which never goes back. Eras
 * order positions first: after the store was restored from a backup, its revisions start again at a
 * lower one. Then the copy retains what was in force until the lost items are written again.
 *
 * Only one thread changes the copy; any thread may read it.
 */

#include "copy_freshness.h"
#include "retention.h"

typedef struct bt_store_copy bt_store_copy_t;

/** What an entry says about its copy: it holds all that the store held at a time. */
typedef struct bt_copy_claim
{
  bt_kv_position_t position; /**< Of the copy; zeroed while it is empty. */
  int64_t as_of_ms;          /**< See copy_freshness.h. */
} bt_copy_claim_t;

/** An update from the copy of another process. */
typedef struct bt_store_update
{
  int64_t from_revision;   /**< The update holds all changes of its era after this revision... */
  bt_kv_changes_t changes; /**< ...up to and including changes.written.revision. */
  bool whole;              /**< keys holds all keys that are present at that revision. */
  char **keys;
  int32_t key_count;
  bt_retention_t retained; /**< With whole set: what the other process retains. Ends are counted
                                from the receipt. */
  struct bt_store_update *next;
} bt_store_update_t;

/** The result of applying an update. */
typedef enum bt_update_effect
{
  BT_UPDATE_OLD = 0, /**< The copy already contains it. */
  BT_UPDATE_APPLIED,
  BT_UPDATE_GAP, /**< Changes between the copy and the update are missing; the copy is unchanged. */
} bt_update_effect_t;

/** Reads the items. Called with the copy's lock held; must not keep pointers to them. */
typedef void (*bt_visit_items_t) (void *data, const bt_kv_range_t *items);

/** Reads the items as the store shows them, and what is retained in their place. */
typedef void (*bt_visit_shown_items_t) (void *data,
                                        const bt_kv_range_t *items,
                                        const bt_retention_t *retained);

bt_store_copy_t *bt_new_store_copy (bt_context_t *ctx, const bt_platform_t *platform);

/** NULL is accepted. */
void bt_drop_store_copy (bt_context_t *ctx, bt_store_copy_t *copy);

/** Returns the position of the items; zeroed while the copy is empty. */
bt_kv_position_t bt_get_copy_position (bt_store_copy_t *copy);

/** Returns the position of the items, and the time as of which they are complete. */
bt_copy_claim_t bt_get_copy_claim (bt_store_copy_t *copy);

/** Takes over an as-of time, unless a later one is known. Returns false and changes nothing if the
 * copy is at an earlier position than the claim's: the claim holds once it has caught up. */
bool bt_confirm_copy_claim (bt_store_copy_t *copy, const bt_copy_claim_t *claim);

/** Returns how many items differ from what the store shows, because the store was restored. */
int32_t bt_count_retained_items (bt_store_copy_t *copy);

/** Replaces the items by those of a full read and takes ownership of them. Returns false and
 * changes nothing if the read is older than the copy: it comes from a store replica that has not
 * caught up. */
bool
bt_replace_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_range_t *range, int64_t now_ms);

/** Applies changes that directly follow the copy's position, in the same era. */
void bt_apply_changes_to_copy (bt_context_t *ctx,
                               bt_store_copy_t *copy,
                               bt_kv_changes_t *changes,
                               int64_t now_ms);

/** Applies an update from another process. */
bt_update_effect_t bt_apply_update_to_copy (bt_context_t *ctx,
                                            bt_store_copy_t *copy,
                                            bt_store_update_t *update,
                                            int64_t now_ms);

/** Drops retained items whose time was over when the copy was last complete: an instance that was
 * suspended or disconnected must not drop what the store may show again by now. Returns true if the
 * items in force have changed. */
bool bt_expire_retained_items (bt_context_t *ctx, bt_store_copy_t *copy);

/** Calls @p visit with the items in force, with the copy's lock held. */
void
bt_visit_copy_items (bt_context_t *ctx, bt_store_copy_t *copy, bt_visit_items_t visit, void *data);

/** Calls @p visit with the items that the store shows, with the copy's lock held. */
void bt_visit_shown_items (bt_store_copy_t *copy, bt_visit_shown_items_t visit, void *data);

/** NULL is accepted. */
void bt_drop_store_update (bt_context_t *ctx, bt_store_update_t *update);

#endif
