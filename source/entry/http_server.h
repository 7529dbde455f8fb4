#ifndef BILBERRYTRAY_SOURCE_ENTRY_HTTP_SERVER_H
#define BILBERRYTRAY_SOURCE_ENTRY_HTTP_SERVER_H

/** @file
 * The HTTP server of an entry instance for callers: a pool of workers that read requests and write
 * answers.
 */

#include "entry.h"

typedef struct bt_http_server bt_http_server_t;

bt_http_server_t *bt_new_http_server (bt_context_t *ctx,
                                      bt_entry_t *entry,
                                      const bt_entry_settings_t *settings,
                                      bt_error_t *error);

int32_t bt_get_http_server_port (const bt_http_server_t *server);

/** Returns the number of requests that have begun to arrive and whose answer is not fully
 * written. */
int32_t bt_count_http_requests (const bt_http_server_t *server);

/** Stops accepting connections; existing connections are still served. */
void bt_close_http_server (bt_http_server_t *server);

/** Closes every connection and stops the workers. NULL is accepted. */
void bt_drop_http_server (bt_context_t *ctx, bt_http_server_t *server);

#endif
