#ifndef BILBERRYTRAY_BASE_NAME_INDEX_H
#define BILBERRYTRAY_BASE_NAME_INDEX_H

/** @file
 * A hash table from names to objects. Not thread-safe.
 */

#include "bilberrytray/base/context.h"

typedef struct bt_name_index bt_name_index_t;

bt_name_index_t *bt_new_name_index (bt_context_t *ctx);

/** NULL is accepted. */
void bt_drop_name_index (bt_context_t *ctx, bt_name_index_t *index);

/** Maps a name, which must not be empty, to an object, and replaces an earlier mapping. The index
 * keeps @p name itself, which must stay unchanged until it is removed or replaced. */
void bt_put_name (bt_name_index_t *index, const char *name, void *object);

/** Returns the object of a name, or NULL. */
void *bt_find_name (const bt_name_index_t *index, const char *name);

/** Removes a name. Does nothing if it is not mapped to @p object. */
void bt_remove_name (bt_name_index_t *index, const char *name, const void *object);

/** Removes all names. */
void bt_clear_name_index (bt_name_index_t *index);

#endif
