#ifndef BILBERRYTRAY_SOURCE_WIRE_LINK_PRIVATE_H
#define BILBERRYTRAY_SOURCE_WIRE_LINK_PRIVATE_H

/** @file
 * Internal declarations of the link implementation.
 */

#include <pthread.h>
#include <stdatomic.h>

#include "bilberrytray/core/identity.h"
#include "bilberrytray/wire/link.h"
#include "handshake.h"

enum
{
  BT_HANDSHAKE_FRAME_BYTES = 4096, /**< Maximum frame size until the peer has proved the secret. */
  BT_ROLE_BYTES = 16,
  BT_RECEIVE_BYTES = 65536,
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
  int fd; /**< Owned by the loop's thread; written to with lock held. */
  bool dialled;
  bt_link_state_t state; /**< Used by the loop's thread only. */
  int64_t created_ms;
  int64_t last_receive_ms;    /**< Time of the last received frame. */
  bool has_skipped;           /**< A message of the peer was not known. */
  int64_t last_heartbeat_ms;  /**< Time of the last call of on_heartbeat_due. */
  char target[BT_NAME_BYTES]; /**< Instance that was dialled; "" for an accepted link. */
  char instance[BT_NAME_BYTES];
  char role[BT_ROLE_BYTES];
  char failure_domain[BT_NAME_BYTES];
  uint64_t incarnation;
  uint8_t nonce[BT_NONCE_BYTES];
  bt_buffer_t received;
  bt_link_t *next; /**< In the loop's list. */
  void *data;      /**< Of the calling code. */

  atomic_bool closing; /**< The loop has to close the link. */
  atomic_bool closed;
  pthread_mutex_t lock; /**< Guards the members below and writing to the socket. */
  bt_buffer_t unsent;
  bool write_interest;
};

struct bt_link_loop
{
  bt_context_t *ctx;
  bt_link_options_t options;
  int epoll_fd;
  int wake_fd;
  int listen_fd;
  int64_t accept_ms; /**< When connections are accepted again; 0: they are. */
  pthread_t thread;
  atomic_bool stopping;
  pthread_mutex_t lock; /**< Guards added. */
  bt_link_t *added;     /**< New links that the thread has not registered yet. */
  bt_link_t *links;     /**< Used by the loop's thread only. */
  /** Where the loop's thread receives bytes. A link keeps only those of an incomplete frame. */
  uint8_t received[BT_RECEIVE_BYTES];
  atomic_int link_count;
  atomic_ullong next_id;
};

/** Creates a link with two references, one for the loop and one for the caller. */
bt_link_t *bt_new_link (bt_link_loop_t *loop, int fd, bool dialled);

/** Sends unsent bytes; called when the socket is writable. False if the socket failed. */
bool bt_flush_link (bt_context_t *ctx, bt_link_t *link);

/** Sends the first frame on an accepted link. */
void bt_send_challenge (bt_link_t *link);

/** Handles a frame of the handshake, and sets the state to BT_LINK_UP when the handshake is
 * complete. On false the caller has to close the link. */
bool bt_handle_handshake_frame (bt_link_t *link, const bt_frame_t *frame, bt_error_t *error);

/** Wakes the loop's thread. */
void bt_wake_link_loop (bt_link_loop_t *loop);

#endif
