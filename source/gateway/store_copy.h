#ifndef BILBERRYTRAY_SOURCE_GATEWAY_STORE_COPY_H
#define BILBERRYTRAY_SOURCE_GATEWAY_STORE_COPY_H

/** @file
 * What this process knows of the platform's store: its items at one revision, which never goes
 * back.
 *
 * One thread changes the copy, any thread may read it.
 */

#include "bilberrytray/store/kv.h"

typedef struct bt_store_copy bt_store_copy_t;

/** Some of what another process knows, on its way into a copy. */
typedef struct bt_store_news
{
  int64_t from_revision;   /**< The changes are all behind this revision... */
  bt_kv_changes_t changes; /**< ...up to the revision of what was written. */
  bool whole;              /**< The keys are all that there are at that revision. */
  char **keys;
  int32_t key_count;
  struct bt_store_news *next;
} bt_store_news_t;

/** What became of news. */
typedef enum bt_news_effect
{
  BT_NEWS_OLD = 0, /**< All of it was known. */
  BT_NEWS_TAKEN,
  BT_NEWS_GAP, /**< Something between the copy and the news is missing; nothing was changed. */
} bt_news_effect_t;

/** Looks at the items, which must not be kept. */
typedef void (*bt_look_at_items_t) (void *data, const bt_kv_range_t *items);

bt_store_copy_t *bt_new_store_copy (bt_context_t *ctx);

/** NULL is accepted. */
void bt_drop_store_copy (bt_context_t *ctx, bt_store_copy_t *copy);

/** The revision of the items; 0 before the first. */
int64_t bt_get_copy_revision (bt_store_copy_t *copy);

/** Takes over a full read. False, and nothing is changed, when it is older than what is known: it
 * comes from a store that has not caught up. */
bool bt_replace_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_range_t *range);

/** Takes over changes that follow on the copy. */
void bt_change_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_kv_changes_t *changes);

/** Takes over what another process knows. */
bt_news_effect_t
bt_add_news_to_copy (bt_context_t *ctx, bt_store_copy_t *copy, bt_store_news_t *news);

void bt_look_at_copy (bt_store_copy_t *copy, bt_look_at_items_t look, void *data);

/** NULL is accepted. */
void bt_drop_store_news (bt_context_t *ctx, bt_store_news_t *news);

#endif
