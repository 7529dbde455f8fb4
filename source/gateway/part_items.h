#ifndef BILBERRYTRAY_SOURCE_GATEWAY_PART_ITEMS_H
#define BILBERRYTRAY_SOURCE_GATEWAY_PART_ITEMS_H

/** @file
 * The format of parts of prompts in the platform's store: one item for each end of an endpoint and
 * instance that reports it, and one for the mark of a part.
 */

#include "bilberrytray/requests/part_table.h"
#include "bilberrytray/store/kv.h"
#include "crash_reporter.h"

/** Common prefixes of the keys. */
extern const char *const bt_part_end_prefix;
extern const char *const bt_part_mark_prefix;

void bt_write_part_end_key (const bt_part_end_t *end, char key[BT_CRASH_KEY_BYTES]);

/** Encodes an end; the caller frees the result with bt_free. */
char *bt_write_part_end_value (bt_context_t *ctx, const bt_part_end_t *end);

/** Decodes an end, whose parts the caller frees with bt_free. Returns false, without parts, if the
 * key or the value is not valid. */
bool bt_read_part_end (
    bt_context_t *ctx, const char *key, const char *text, size_t bytes, bt_part_end_t *end);

void bt_write_part_mark_key (const bt_part_mark_t *mark, char key[BT_CRASH_KEY_BYTES]);

/** Encodes a mark; the caller frees the result with bt_free. */
char *bt_write_part_mark_value (bt_context_t *ctx, const bt_part_mark_t *mark);

/** Decodes a mark. Returns false if the key or the value is not valid. */
bool bt_read_part_mark (const char *key, const char *text, size_t bytes, bt_part_mark_t *mark);

/** Returns true if a key begins with one of the prefixes. */
bool bt_is_part_key (const char *key);

/** Decodes an item whose key begins with one of the prefixes, and adds it to a list. Returns false
 * if it is not valid. */
bool bt_read_listed_part (bt_context_t *ctx, const bt_kv_pair_t *pair, bt_part_list_t *list);

/** Frees the ends and marks of a list. */
void bt_clear_part_list (bt_context_t *ctx, bt_part_list_t *list);

#endif
