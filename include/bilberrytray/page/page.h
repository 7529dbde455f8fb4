#ifndef BILBERRYTRAY_PAGE_PAGE_H
#define BILBERRYTRAY_PAGE_PAGE_H

/** @file
 * The operators' HTTP page of a process: /metrics, /healthz and what the program adds.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"

typedef struct bt_page bt_page_t;

/** Answers a path of the program's own; NULL when there is no such path. The text is freed by free.
 */
typedef char *(*bt_page_route_t) (void *argument, const char *method, const char *path);

/** Serves the page at "IP:PORT" on a thread of its own. @p route may be NULL. */
bt_page_t *bt_new_page (bt_context_t *ctx,
                        const char *address,
                        bt_page_route_t route,
                        void *argument,
                        bt_error_t *error);

/** Stops serving. NULL is accepted. */
void bt_drop_page (bt_context_t *ctx, bt_page_t *page);

/** All counters as one text, to be freed by free. */
char *bt_format_counters (bt_context_t *ctx);

#endif
