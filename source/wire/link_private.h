#ifndef BILBERRYTRAY_SOURCE_WIRE_LINK_PRIVATE_H
#define BILBERRYTRAY_SOURCE_WIRE_LINK_PRIVATE_H

/** @file
 * What link.c, link_opening.c and link_loop.c share.
 */

#include <pthread.h>
#include <stdatomic.h>

#include "bilberrytray/core/identity.h"
#include "bilberrytray/wire/link.h"
#include "handshake.h"

/** Longest frame before the peer has proved the secret, in bytes. */
enum
{
  BT_OPENING_FRAME_BYTES = 4096,
  BT_ROLE_BYTES = 16,
};

typedef enum bt_link_state
{
  BT_LINK_CONNECTING = 0, /**< Dialled; the socket is not yet connected. */
  BT_LINK_AWAIT_CHALLENGE,
  BT_LINK_AWAIT_HELLO,
  BT_LINK_AWAIT_WELCOME,
  BT_LINK_UP,
  BT_LINK_DOWN,
} bt_link_state_t;

struct bt_link
{
  atomic_int references;
  bt_link_loop_t *loop;
  uint64_t id;
  int fd; /**< Owned by the loop's thread; written to under the lock. */
  bool dialled;
  bt_link_state_t state; /**< Of the loop's thread alone. */
  int64_t opened_ms;
  int64_t heard_ms;
  int64_t beat_ms;
  char target[BT_NAME_BYTES]; /**< The instance that was dialled. */
  char instance[BT_NAME_BYTES];
  char role[BT_ROLE_BYTES];
  char failure_domain[BT_NAME_BYTES];
  uint64_t incarnation;
  uint8_t nonce[BT_NONCE_BYTES];
  bt_buffer_t received;
  bt_link_t *next; /**< In the loop's list. */

  atomic_bool closing; /**< The loop is to close it. */
  atomic_bool closed;
  pthread_mutex_t lock; /**< Guards what stands below, and writing to the socket. */
  bt_buffer_t unsent;
  bool writable_wanted;
};

struct bt_link_loop
{
  bt_context_t *ctx;
  bt_link_options_t options;
  int epoll_fd;
  int wake_fd;
  int listen_fd;
  pthread_t thread;
  atomic_bool stopping;
  pthread_mutex_t lock; /**< Guards the list of new links and the counts. */
  bt_link_t *added;
  bt_link_t *links; /**< Of the loop's thread alone. */
  atomic_int link_count;
  atomic_ullong next_id;
};

/** Makes a link with two references: the loop's and the caller's. */
bt_link_t *bt_new_link (bt_link_loop_t *loop, int fd, bool dialled);

/** Sends what is left; called when the socket takes bytes again. */
bool bt_flush_link (bt_context_t *ctx, bt_link_t *link);

/** First frame of an accepted link. */
void bt_send_challenge (bt_link_t *link);

/** Takes a frame of the opening. False: the link is to be closed. Sets the state to up at its end.
 */
bool bt_take_opening_frame (bt_link_t *link, const bt_frame_t *frame, bt_error_t *error);

/** Wakes the loop's thread. */
void bt_wake_link_loop (bt_link_loop_t *loop);

#endif
