/** @file
 * TCP proxy on loopback that injects faults into the connections that it forwards. Commands are UDP
 * datagrams to the same port, see hop.h.
 */

#include "hop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bilberrytray/base/clock.h"

enum
{
  MAX_CONNECTIONS = 256,
  SIDES = 2,
  POLL_MS = 5,
  BLOCK_BYTES = 16384,
  BASE_TEN = 10,
};

/* Bytes received in one direction and not yet forwarded. */
typedef struct buffer
{
  uint8_t data[BLOCK_BYTES];
  size_t bytes;
  int64_t due_ms; /* when they may be forwarded */
} buffer_t;

/* A client's connection and the one to the target. buffers[i] holds what sockets[i] received. */
typedef struct connection
{
  int sockets[SIDES]; /* 0: to the client, 1: to the target */
  buffer_t *buffers[SIDES];
  bool stalled; /* nothing is forwarded any more */
} connection_t;

typedef struct hop
{
  int listener;
  int control;
  int32_t target_port;
  bt_hop_fault_t fault;
  int32_t delay_ms;
  connection_t connections[MAX_CONNECTIONS];
  int32_t count;
} hop_t;

static struct sockaddr_in
get_address (int32_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

static void
close_connection (hop_t *hop, int32_t index, bool reset)
{
  struct linger linger = { 1, 0 };
  connection_t *connection = &hop->connections[index];

  for (int32_t side = 0; side < SIDES; side++)
    {
      if (reset)
        setsockopt (connection->sockets[side], SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      close (connection->sockets[side]);
      free (connection->buffers[side]);
    }
  *connection = hop->connections[--hop->count];
}

static void
accept_connection (hop_t *hop)
{
  struct sockaddr_in target = get_address (hop->target_port);
  connection_t connection = { { accept4 (hop->listener, NULL, NULL, SOCK_CLOEXEC),
                                socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) },
                              { calloc (1, sizeof (buffer_t)), calloc (1, sizeof (buffer_t)) },
                              false };
  bool refused = hop->fault == BT_HOP_REFUSE;

  refused = refused || connection.sockets[0] < 0
            || connect (connection.sockets[1], (struct sockaddr *)&target, sizeof target) != 0;
  hop->connections[hop->count++] = connection;
  if (refused)
    close_connection (hop, hop->count - 1, true);
}

/* Forwards the bytes that are due. Returns false when the connection must be closed. */
static bool
forward_due (connection_t *connection, int32_t side)
{
  buffer_t *buffer = connection->buffers[side];
  ssize_t sent;

  if (buffer->bytes == 0 || bt_read_clock_ms (bt_system_clock ()) < buffer->due_ms)
    return true;
  sent = send (connection->sockets[1 - side], buffer->data, buffer->bytes,
               MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent <= 0)
    return false;
  buffer->bytes -= (size_t)sent;
  memmove (buffer->data, buffer->data + sent, buffer->bytes);
  return true;
}

/* Receives bytes into an empty buffer. Returns false when the connection must be closed. */
static bool
receive (hop_t *hop, connection_t *connection, int32_t side)
{
  buffer_t *buffer = connection->buffers[side];
  ssize_t bytes = recv (connection->sockets[side], buffer->data, BLOCK_BYTES, MSG_DONTWAIT);

  if (bytes <= 0)
    return false;
  buffer->bytes = (size_t)bytes;
  buffer->due_ms = bt_read_clock_ms (bt_system_clock ());
  if (hop->fault == BT_HOP_DELAY)
    buffer->due_ms += hop->delay_ms;
  return true;
}

/* Returns true when the fault stops what one side sends. */
static bool
is_blocked (bt_hop_fault_t fault, int32_t side)
{
  return fault == BT_HOP_CUT || (fault == BT_HOP_CUT_FROM_TARGET && side == 1);
}

/* Applies a new fault to the open connections. A fault that applies once is cleared. */
static void
apply_fault (hop_t *hop)
{
  bt_hop_fault_t fault = hop->fault;

  if (fault == BT_HOP_RESET || fault == BT_HOP_REFUSE)
    while (hop->count > 0)
      close_connection (hop, 0, true);
  if (fault == BT_HOP_STALL)
    for (int32_t i = 0; i < hop->count; i++)
      hop->connections[i].stalled = true;
  if (fault == BT_HOP_RESET || fault == BT_HOP_STALL)
    hop->fault = BT_HOP_NONE;
}

static void
prepare_polls (hop_t *hop, struct pollfd *polls)
{
  int32_t count = hop->count * SIDES;

  for (int32_t i = 0; i < count; i++)
    {
      const connection_t *connection = &hop->connections[i / SIDES];
      int32_t side = i % SIDES;
      bool open = !connection->stalled && !is_blocked (hop->fault, side)
                  && connection->buffers[side]->bytes == 0;

      polls[i].fd = open ? connection->sockets[side] : -1;
      polls[i].events = POLLIN;
    }
  polls[count].fd = hop->count < MAX_CONNECTIONS ? hop->listener : -1;
  polls[count].events = POLLIN;
  polls[count + 1].fd = hop->control;
  polls[count + 1].events = POLLIN;
}

static void
serve_connections (hop_t *hop, const struct pollfd *polls)
{
  bt_hop_fault_t fault = hop->fault;

  for (int32_t i = hop->count - 1; i >= 0; i--)
    {
      connection_t *connection = &hop->connections[i];
      bool open = true;

      for (int32_t side = 0; side < SIDES && open; side++)
        {
          if (polls[i * SIDES + side].revents != 0)
            open = receive (hop, connection, side);
          if (open && !connection->stalled && !is_blocked (fault, side))
            open = forward_due (connection, side);
        }
      if (!open)
        close_connection (hop, i, false);
    }
}

/* Applies a command and sends it back to tell the sender that it is in force. */
static void
handle_command (hop_t *hop)
{
  struct sockaddr_in sender;
  socklen_t sender_bytes = sizeof sender;
  bt_hop_command_t command;

  if (recvfrom (hop->control, &command, sizeof command, 0, (struct sockaddr *)&sender,
                &sender_bytes)
      != sizeof command)
    return;
  hop->fault = (bt_hop_fault_t)command.fault;
  hop->delay_ms = command.delay_ms;
  apply_fault (hop);
  if (sendto (hop->control, &command, sizeof command, 0, (struct sockaddr *)&sender, sender_bytes)
      < 0)
    perror ("hop: sendto");
}

static void
run_hop (hop_t *hop)
{
  struct pollfd polls[MAX_CONNECTIONS * SIDES + 2];

  for (;;)
    {
      int32_t count = hop->count * SIDES;

      prepare_polls (hop, polls);
      poll (polls, (nfds_t)count + 2, POLL_MS);
      serve_connections (hop, polls);
      if (polls[count].revents != 0)
        accept_connection (hop);
      if (polls[count + 1].revents != 0)
        handle_command (hop);
    }
}

static int
open_socket (int type, int32_t port)
{
  struct sockaddr_in address = get_address (port);
  int on = 1;
  int fd = socket (AF_INET, type, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      perror ("hop: bind");
      exit (1);
    }
  return fd;
}

/* Usage: hop PORT TARGET_PORT */
int
main (int argc, char **argv)
{
  static hop_t hop;

  if (argc != 3)
    return 2;
  hop.listener = open_socket (SOCK_STREAM, (int32_t)strtol (argv[1], NULL, BASE_TEN));
  hop.control = open_socket (SOCK_DGRAM, (int32_t)strtol (argv[1], NULL, BASE_TEN));
  hop.target_port = (int32_t)strtol (argv[2], NULL, BASE_TEN);
  if (listen (hop.listener, MAX_CONNECTIONS) != 0)
    return 1;
  run_hop (&hop);
  return 0;
}
