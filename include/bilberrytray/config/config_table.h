#ifndef BILBERRYTRAY_CONFIG_CONFIG_TABLE_H
#define BILBERRYTRAY_CONFIG_CONFIG_TABLE_H

/** @file
 * The documents in force on one instance. A document only moves up in revision, whoever offers it.
 */

#include "bilberrytray/config/document.h"

typedef struct bt_config_table bt_config_table_t;

/** Bits that take guards out, for tests that show what each guard is for. */
enum
{
  BT_TABLE_ACCEPT_OLDER = 1, /**< Older revisions replace newer ones. */
};

/** What became of an offered document. */
typedef enum bt_offer
{
  BT_OFFER_APPLIED = 0, /**< It is in force now. */
  BT_OFFER_SAME,        /**< It was in force already. */
  BT_OFFER_OLDER,       /**< A newer one is in force; dropped and counted. */
  BT_OFFER_DIFFERENT,   /**< Another one of the same revision is in force; dropped and counted. It
                             means that two services wrote, or that bytes were damaged. */
  BT_OFFER_COUNT,
} bt_offer_t;

bt_config_table_t *bt_new_config_table (bt_context_t *ctx, uint32_t guards_off);

/** NULL is accepted. */
void bt_drop_config_table (bt_context_t *ctx, bt_config_table_t *table);

/** Offers a document, which is kept if taken. */
bt_offer_t bt_offer_document (bt_context_t *ctx, bt_config_table_t *table, bt_document_t *document);

/** How many offers came to @p offer so far. */
uint64_t bt_count_offers (const bt_config_table_t *table, bt_offer_t offer);

/** The document in force; NULL when there was never one. It may be a deleted one. */
bt_document_t *bt_find_document (const bt_config_table_t *table, const char *name);

/** Documents in order of their names, deleted ones among them. */
int32_t bt_count_documents (const bt_config_table_t *table);
bt_document_t *bt_get_document (const bt_config_table_t *table, int32_t index);

/** Adds the documents above @p revision to @p list. */
void bt_list_documents_above (bt_context_t *ctx,
                              const bt_config_table_t *table,
                              int64_t revision,
                              bt_document_list_t *list);

/** The highest revision in force; 0 for an empty table. */
int64_t bt_get_table_revision (const bt_config_table_t *table);

/** A digest of all names, revisions and contents, whatever the order they came in. */
uint64_t bt_get_table_digest (const bt_config_table_t *table);

#endif
