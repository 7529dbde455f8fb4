#ifndef BILBERRYTRAY_TEST_PROCESS_HARNESS_PROXY_H
#define BILBERRYTRAY_TEST_PROCESS_HARNESS_PROXY_H

/** @file
 * A TCP hop between two processes that can lose track of the connections it carries: they stay open
 * on both sides and nothing passes any more, while new ones work.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct bt_proxy bt_proxy_t;

/** Starts a hop on loopback to a port there. NULL on failure. */
bt_proxy_t *bt_new_proxy (int32_t target_port);

/** Closes everything. NULL is accepted. */
void bt_drop_proxy (bt_proxy_t *proxy);

int32_t bt_get_proxy_port (const bt_proxy_t *proxy);

/** Forgets every connection it carries now. */
void bt_silence_proxy (bt_proxy_t *proxy);

/** How many connections it has accepted. */
int32_t bt_count_proxy_connections (bt_proxy_t *proxy);

/** From now on, or no longer, each frame goes out twice in either direction. */
void bt_duplicate_proxy_frames (bt_proxy_t *proxy, bool duplicating);

#endif
