#ifndef BILBERRYTRAY_WIRE_LINK_H
#define BILBERRYTRAY_WIRE_LINK_H

/** @file
 * Links: authenticated connections between the system's processes, with heartbeats both ways.
 *
 * A link is up only after both ends have proved the shared secret and named themselves; the
 * dialling end also checks that it reached the instance it meant, since addresses are reused. A
 * link on which no frame arrives for its idle limit is declared dead, whatever the socket says.
 *
 * Lock order: a handler's own lock may be held while calling into a link; a link never holds its
 * lock while calling a handler.
 */

#include <stdbool.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"
#include "bilberrytray/wire/frame.h"

typedef struct bt_link bt_link_t;
typedef struct bt_link_loop bt_link_loop_t;
typedef struct bt_link_handler bt_link_handler_t;

/** What the program does about its links. All are called on the loop's thread. */
typedef struct bt_link_handler_vtable
{
  /** The opening is over and the peer is known. */
  void (*on_up) (bt_link_handler_t *handler, bt_link_t *link);
  /** A frame came. It is freed behind the call. */
  void (*on_frame) (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame);
  /** A link that was up is dead. No further call for it follows. */
  void (*on_down) (bt_link_handler_t *handler, bt_link_t *link);
  /** Time to send a heartbeat on a link that is up. */
  void (*on_beat) (bt_link_handler_t *handler, bt_link_t *link);
} bt_link_handler_vtable_t;

struct bt_link_handler
{
  const bt_link_handler_vtable_t *vtable;
};

/** Settings of a loop. Strings must outlive it. */
typedef struct bt_link_options
{
  const char *role; /**< "entry" or "agent". */
  const char *instance;
  uint64_t incarnation;
  const char *failure_domain;
  const char *address; /**< Where this process accepts links, told to peers; may be "". */
  const char *secret;  /**< Shared by all processes of one deployment. */
  int64_t beat_ms;     /**< Between two heartbeats. */
  int64_t idle_ms;     /**< Without any frame, a link is dead. */
  int64_t opening_ms;  /**< For the whole opening. */
  size_t max_frame_bytes;
  size_t max_unsent_bytes; /**< A peer that reads slower than this is cut off. */
  int32_t max_links;
  bt_link_handler_t *handler;
} bt_link_options_t;

/** Starts the thread that serves links. */
bt_link_loop_t *
bt_new_link_loop (bt_context_t *ctx, const bt_link_options_t *options, bt_error_t *error);

/** Closes all links, ends the thread and frees the loop. NULL is accepted. */
void bt_drop_link_loop (bt_context_t *ctx, bt_link_loop_t *loop);

/** Accepts links at "IP:PORT"; port 0 lets the system choose. Returns the port, or -1. */
int32_t
bt_listen_links (bt_context_t *ctx, bt_link_loop_t *loop, const char *address, bt_error_t *error);

/** Dials @p address, where @p instance should answer. Ends in on_up, or in nothing but the link's
 * closing (see bt_is_link_closed). The caller owns a reference. NULL with @p error when no try
 * began. */
bt_link_t *bt_dial_link (bt_context_t *ctx,
                         bt_link_loop_t *loop,
                         const char *address,
                         const char *instance,
                         bt_error_t *error);

bt_link_t *bt_keep_link (bt_link_t *link);
void bt_drop_link (bt_context_t *ctx, bt_link_t *link);

/** Sends a frame, from any thread. False when the link is dead or falls so far behind that it is
 * closed; then nothing says whether earlier frames arrived. */
bool bt_send_frame (bt_context_t *ctx, bt_link_t *link, const bt_frame_t *frame);

/** Has the loop close the link soon; on_down follows if it was up. From any thread. */
void bt_close_link (bt_link_t *link);

bool bt_is_link_closed (const bt_link_t *link);

/** The peer's name, incarnation, role and failure domain; known once the link is up. */
const char *bt_get_link_instance (const bt_link_t *link);
uint64_t bt_get_link_incarnation (const bt_link_t *link);
const char *bt_get_link_role (const bt_link_t *link);
const char *bt_get_link_failure_domain (const bt_link_t *link);

/** A number that no other link of this process has or had. */
uint64_t bt_get_link_id (const bt_link_t *link);

#endif
