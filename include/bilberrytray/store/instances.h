#ifndef BILBERRYTRAY_STORE_INSTANCES_H
#define BILBERRYTRAY_STORE_INSTANCES_H

/** @file
 * The platform's list of live and leaving instances. The list lags, so it is authoritative only for
 * which instances exist and their addresses; for everything else it is a secondary source.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/core/membership.h"

/** The result of reading the list. Zero-initialise it; free it with bt_drop_instance_list. */
typedef struct bt_instance_list
{
  int64_t revision;
  bt_listed_instance_t *instances;
  int32_t count;
} bt_instance_list_t;

typedef struct bt_instances bt_instances_t;

typedef struct bt_instances_vtable
{
  bool (*read) (bt_context_t *ctx,
                bt_instances_t *instances,
                bt_instance_list_t *list,
                bt_error_t *error);
  void (*drop) (bt_context_t *ctx, bt_instances_t *instances);
} bt_instances_vtable_t;

/** Base of a source of the list. An implementation embeds this struct as its first member. */
struct bt_instances
{
  const bt_instances_vtable_t *vtable;
};

/** Creates a source that reads the list from @p url + "/instances" over HTTP with a limit of
 * @p total_ms per call. Calls are counted in "bilberry_list_calls_total" by result. */
bt_instances_t *bt_new_http_instances (bt_context_t *ctx, const char *url, int64_t total_ms);

/** NULL is accepted. */
void bt_drop_instances (bt_context_t *ctx, bt_instances_t *instances);

/** Reads the list. On failure @p list is unchanged, and the error names the location of a malformed
 * field. Calls run one at a time. */
bool bt_read_instances (bt_context_t *ctx,
                        bt_instances_t *instances,
                        bt_instance_list_t *list,
                        bt_error_t *error);

/** Parses a list from JSON. A row that can't be read is left out and logged with its location, such
 * as "instances[3].role"; what @p list held of its instance is kept, and all that @p list held if
 * the row does not name one. On failure @p list is unchanged. */
bool bt_parse_instance_list (
    bt_context_t *ctx, const char *text, size_t bytes, bt_instance_list_t *list, bt_error_t *error);

/** Frees the contents of a list and zeroes it. */
void bt_drop_instance_list (bt_context_t *ctx, bt_instance_list_t *list);

#endif
