#ifndef BILBERRYTRAY_CONFIG_CONFIG_TABLE_H
#define BILBERRYTRAY_CONFIG_CONFIG_TABLE_H

/** @file
 * The documents in force on one instance. A document is replaced only by one of a higher revision,
 * whatever the source.
 */

#include "bilberrytray/config/document.h"

typedef struct bt_config_table bt_config_table_t;

/** Bits that disable guards, for tests that show which failure each guard prevents. */
enum
{
  BT_TABLE_ACCEPT_OLDER = 1, /**< Older revisions replace newer ones. */
};

/** Result of offering a document to the table. */
typedef enum bt_offer
{
  BT_OFFER_APPLIED = 0, /**< It was newer and is now in force. */
  BT_OFFER_SAME,        /**< It was in force already. */
  BT_OFFER_OLDER,       /**< A newer revision is in force; dropped and counted. */
  BT_OFFER_DIFFERENT, /**< Other content of the same revision is in force; dropped and counted. Two
                         stores wrote it, or bytes were corrupted. */
  BT_OFFER_COUNT,
} bt_offer_t;

bt_config_table_t *bt_new_config_table (bt_context_t *ctx, uint32_t guards_off);

/** NULL is accepted. */
void bt_drop_config_table (bt_context_t *ctx, bt_config_table_t *table);

/** Puts @p document in force if it is newer; the table then holds a reference to it. */
bt_offer_t bt_offer_document (bt_context_t *ctx, bt_config_table_t *table, bt_document_t *document);

/** Number of offers so far with the result @p offer. */
uint64_t bt_count_offers (const bt_config_table_t *table, bt_offer_t offer);

/** The document in force, or NULL when there was never one. It may be marked as deleted. */
bt_document_t *bt_find_document (const bt_config_table_t *table, const char *name);

/** Documents in order of their names, including deleted ones. */
int32_t bt_count_documents (const bt_config_table_t *table);
bt_document_t *bt_get_document (const bt_config_table_t *table, int32_t index);

/** Adds the documents whose revision is above @p revision to @p list. */
void bt_list_documents_above (bt_context_t *ctx,
                              const bt_config_table_t *table,
                              int64_t revision,
                              bt_document_list_t *list);

/** The highest revision in force; 0 for an empty table. */
int64_t bt_get_table_revision (const bt_config_table_t *table);

/** A digest of all names, revisions and contents; it does not depend on the order of arrival. */
uint64_t bt_get_table_digest (const bt_config_table_t *table);

#endif
