#ifndef BILBERRYTRAY_SOURCE_ENTRY_HTTP_SERVER_H
#define BILBERRYTRAY_SOURCE_ENTRY_HTTP_SERVER_H

/** @file
 * The callers' side of an entry instance: a pool of workers that read requests and write answers.
 */

#include "entry.h"

typedef struct bt_http_server bt_http_server_t;

bt_http_server_t *bt_new_http_server (bt_context_t *ctx,
                                      bt_entry_t *entry,
                                      const bt_entry_settings_t *settings,
                                      bt_error_t *error);

int32_t bt_get_http_server_port (const bt_http_server_t *server);

/** Requests that were read, or are being read, and are not answered to the last byte. */
int32_t bt_count_http_requests (const bt_http_server_t *server);

/** Lets nobody connect any more; connections that were made before are still served. */
void bt_close_http_server (bt_http_server_t *server);

/** Closes every connection and ends the workers. NULL is accepted. */
void bt_drop_http_server (bt_context_t *ctx, bt_http_server_t *server);

#endif
