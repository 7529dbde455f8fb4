#ifndef BILBERRYTRAY_TEST_PROCESS_HARNESS_PROXY_H
#define BILBERRYTRAY_TEST_PROCESS_HARNESS_PROXY_H

/** @file
 * A TCP proxy between two processes that can stall its connections: they stay open on both sides
 * and nothing passes any more, while new connections work.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct bt_proxy bt_proxy_t;

/** Starts a proxy on loopback to a port on loopback. Returns NULL on failure. */
bt_proxy_t *bt_new_proxy (int32_t target_port);

/** Stops the proxy and closes its connections. NULL is accepted. */
void bt_drop_proxy (bt_proxy_t *proxy);

int32_t bt_get_proxy_port (const bt_proxy_t *proxy);

/** Stalls every connection that is open now. */
void bt_silence_proxy (bt_proxy_t *proxy);

/** Returns how many connections the proxy has accepted. */
int32_t bt_count_proxy_connections (bt_proxy_t *proxy);

/** Starts or stops sending each frame twice, in both directions. */
void bt_duplicate_proxy_frames (bt_proxy_t *proxy, bool duplicating);

#endif
