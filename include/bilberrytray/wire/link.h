#ifndef BILBERRYTRAY_WIRE_LINK_H
#define BILBERRYTRAY_WIRE_LINK_H

/** @file
 * Links: authenticated connections between processes of the system, with heartbeats in both
 * directions.
 *
 * A link is up after a handshake in which both ends identify themselves and prove that they know
 * the shared secret. The dialling end also checks that it reached the intended instance, since
 * addresses are reused. A link on which no frame arrives within the idle limit is dead, whatever
 * the state of the socket.
 *
 * Lock order: a handler's lock may be held during calls to link functions; a link never holds its
 * lock while it calls a handler.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/wire/frame.h"

typedef struct bt_link bt_link_t;
typedef struct bt_link_loop bt_link_loop_t;
typedef struct bt_link_handler bt_link_handler_t;

/** Callbacks of a program for its links. All are called on the loop's thread. */
typedef struct bt_link_handler_vtable
{
  /** The handshake is complete and the peer is known. */
  void (*on_up) (bt_link_handler_t *handler, bt_link_t *link);
  /** A frame was received. It is freed after the call. */
  void (*on_frame) (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame);
  /** A link that was up is down. No further callback for it follows. */
  void (*on_down) (bt_link_handler_t *handler, bt_link_t *link);
  /** A heartbeat is due on a link that is up. */
  void (*on_heartbeat_due) (bt_link_handler_t *handler, bt_link_t *link);
} bt_link_handler_vtable_t;

struct bt_link_handler
{
  const bt_link_handler_vtable_t *vtable;
};

/** Settings of a loop. Strings must outlive it. */
typedef struct bt_link_options
{
  const char *role; /**< "entry", "agent" or "operator". */
  const char *instance;
  uint64_t incarnation;
  const char *failure_domain;
  const char *address;           /**< Where this process accepts links; sent to peers, may be "". */
  const char *secret;            /**< Shared by all processes of one deployment. */
  int64_t heartbeat_interval_ms; /**< Interval between heartbeats. */
  int64_t idle_ms;               /**< A link without a received frame for this time is dead. */
  int64_t handshake_timeout_ms;  /**< Time limit of the handshake. */
  size_t max_frame_bytes;
  size_t max_unsent_bytes; /**< With more unsent bytes than this, the link is closed. */
  int32_t max_links;
  bt_link_handler_t *handler;
} bt_link_options_t;

/** Starts a thread that serves links. */
bt_link_loop_t *
bt_new_link_loop (bt_context_t *ctx, const bt_link_options_t *options, bt_error_t *error);

/** Closes all links, stops the thread and frees the loop. NULL is accepted. */
void bt_drop_link_loop (bt_context_t *ctx, bt_link_loop_t *loop);

/** Accepts links at "IP:PORT"; for port 0 the system chooses one. Returns the port, or -1 on
 * failure. */
int32_t
bt_listen_links (bt_context_t *ctx, bt_link_loop_t *loop, const char *address, bt_error_t *error);

/** Dials @p address, where @p instance is expected. On success on_up is called; on failure the link
 * is only closed (see bt_is_link_closed). The caller owns a reference. Returns NULL and sets @p
 * error when the connection could not be started. */
bt_link_t *bt_dial_link (bt_context_t *ctx,
                         bt_link_loop_t *loop,
                         const char *address,
                         const char *instance,
                         bt_error_t *error);

bt_link_t *bt_keep_link (bt_link_t *link);
void bt_drop_link (bt_context_t *ctx, bt_link_t *link);

/** Queues a frame and sends as much as possible. Can be called from any thread. False when the link
 * is dead, or is closed because it has too many unsent bytes; it is then unknown whether earlier
 * frames arrived. */
bool bt_send_frame (bt_context_t *ctx, bt_link_t *link, const bt_frame_t *frame);

/** Makes the loop close the link; on_down is called if it was up. Can be called from any thread. */
void bt_close_link (bt_link_t *link);

bool bt_is_link_closed (const bt_link_t *link);

/** Return the peer's name, incarnation, role and failure domain, which are known once the link is
 * up. */
const char *bt_get_link_instance (const bt_link_t *link);
uint64_t bt_get_link_incarnation (const bt_link_t *link);
const char *bt_get_link_role (const bt_link_t *link);
const char *bt_get_link_failure_domain (const bt_link_t *link);

/** Attaches an object of the calling code to a link, or NULL. The calling code guards it against
 * concurrent use. */
void bt_set_link_data (bt_link_t *link, void *data);
void *bt_get_link_data (const bt_link_t *link);

/** Returns a number that is unique among all links of this process, past ones included. */
uint64_t bt_get_link_id (const bt_link_t *link);

#endif
