#ifndef BILBERRYTRAY_PAGE_PAGE_H
#define BILBERRYTRAY_PAGE_PAGE_H

/** @file
 * The HTTP page of a process for operators: /metrics, /healthz and the program's own paths.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"

typedef struct bt_page bt_page_t;

/** Returns the text for one of the program's own paths, or NULL when there is no such path. The
 * page releases the text with free. */
typedef char *(*bt_page_route_t) (void *argument, const char *method, const char *path);

/** Serves the page at "IP:PORT" on its own thread. @p route may be NULL; if it is not, it also has
 * to answer /healthz. */
bt_page_t *bt_new_page (bt_context_t *ctx,
                        const char *address,
                        bt_page_route_t route,
                        void *argument,
                        bt_error_t *error);

/** Stops the page and frees it. NULL is accepted. */
void bt_drop_page (bt_context_t *ctx, bt_page_t *page);

/** Returns all counters as text, which the caller releases with free; NULL on failure. */
char *bt_format_counters (bt_context_t *ctx);

#endif
