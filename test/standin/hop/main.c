/** @file
 * A TCP hop on loopback that passes bytes on and does harm to connections on command. Commands come
 * as datagrams to the same port, see hop.h.
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
  MAX_PAIRS = 256,
  ENDS = 2,
  POLL_MS = 5,
  BLOCK_BYTES = 16384,
  BASE_TEN = 10,
};

/* Bytes of one direction on their way. */
typedef struct way
{
  uint8_t data[BLOCK_BYTES];
  size_t bytes;
  int64_t due_ms; /* when they may pass */
} way_t;

/* One connection and its continuation; ways[i] carries what ends[i] has sent. */
typedef struct pair
{
  int ends[ENDS];
  way_t *ways[ENDS];
  bool silent;
} pair_t;

typedef struct hop
{
  int listener;
  int control;
  int32_t target_port;
  bt_hop_fault_t fault;
  int32_t delay_ms;
  pair_t pairs[MAX_PAIRS];
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
close_pair (hop_t *hop, int32_t index, bool reset)
{
  struct linger linger = { 1, 0 };
  pair_t *pair = &hop->pairs[index];

  for (int32_t end = 0; end < ENDS; end++)
    {
      if (reset)
        setsockopt (pair->ends[end], SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      close (pair->ends[end]);
      free (pair->ways[end]);
    }
  *pair = hop->pairs[--hop->count];
}

static void
accept_pair (hop_t *hop)
{
  struct sockaddr_in target = get_address (hop->target_port);
  pair_t pair = { { accept4 (hop->listener, NULL, NULL, SOCK_CLOEXEC),
                    socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) },
                  { calloc (1, sizeof (way_t)), calloc (1, sizeof (way_t)) },
                  false };
  bool refused = hop->fault == BT_HOP_REFUSE;

  refused = refused || pair.ends[0] < 0
            || connect (pair.ends[1], (struct sockaddr *)&target, sizeof target) != 0;
  hop->pairs[hop->count++] = pair;
  if (refused)
    close_pair (hop, hop->count - 1, true);
}

/* Passes on what is due; false when the connection is over. */
static bool
send_due (pair_t *pair, int32_t end)
{
  way_t *way = pair->ways[end];
  ssize_t sent;

  if (way->bytes == 0 || bt_read_clock_ms (bt_system_clock ()) < way->due_ms)
    return true;
  sent = send (pair->ends[1 - end], way->data, way->bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent <= 0)
    return false;
  way->bytes -= (size_t)sent;
  memmove (way->data, way->data + sent, way->bytes);
  return true;
}

static bool
receive (hop_t *hop, pair_t *pair, int32_t end)
{
  way_t *way = pair->ways[end];
  ssize_t bytes = recv (pair->ends[end], way->data, BLOCK_BYTES, MSG_DONTWAIT);

  if (bytes <= 0)
    return false;
  way->bytes = (size_t)bytes;
  way->due_ms = bt_read_clock_ms (bt_system_clock ());
  if (hop->fault == BT_HOP_DELAY)
    way->due_ms += hop->delay_ms;
  return true;
}

static bool
is_cut (bt_hop_fault_t fault, int32_t end)
{
  return fault == BT_HOP_CUT || (fault == BT_HOP_CUT_BACK && end == 1);
}

/* What strikes once is taken from the hop. */
static void
strike (hop_t *hop)
{
  bt_hop_fault_t fault = hop->fault;

  if (fault == BT_HOP_RESET || fault == BT_HOP_REFUSE)
    while (hop->count > 0)
      close_pair (hop, 0, true);
  if (fault == BT_HOP_SILENCE)
    for (int32_t i = 0; i < hop->count; i++)
      hop->pairs[i].silent = true;
  if (fault == BT_HOP_RESET || fault == BT_HOP_SILENCE)
    hop->fault = BT_HOP_NONE;
}

static void
list_polls (hop_t *hop, struct pollfd *polls)
{
  int32_t count = hop->count * ENDS;

  for (int32_t i = 0; i < count; i++)
    {
      const pair_t *pair = &hop->pairs[i / ENDS];
      int32_t end = i % ENDS;
      bool open = !pair->silent && !is_cut (hop->fault, end) && pair->ways[end]->bytes == 0;

      polls[i].fd = open ? pair->ends[end] : -1;
      polls[i].events = POLLIN;
    }
  polls[count].fd = hop->count < MAX_PAIRS ? hop->listener : -1;
  polls[count].events = POLLIN;
  polls[count + 1].fd = hop->control;
  polls[count + 1].events = POLLIN;
}

static void
serve_pairs (hop_t *hop, const struct pollfd *polls)
{
  bt_hop_fault_t fault = hop->fault;

  for (int32_t i = hop->count - 1; i >= 0; i--)
    {
      pair_t *pair = &hop->pairs[i];
      bool open = true;

      for (int32_t end = 0; end < ENDS && open; end++)
        {
          if (polls[i * ENDS + end].revents != 0)
            open = receive (hop, pair, end);
          if (open && !pair->silent && !is_cut (fault, end))
            open = send_due (pair, end);
        }
      if (!open)
        close_pair (hop, i, false);
    }
}

/* Takes a command and gives it back, so that its sender knows that it is in force. */
static void
take_command (hop_t *hop)
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
  strike (hop);
  if (sendto (hop->control, &command, sizeof command, 0, (struct sockaddr *)&sender, sender_bytes)
      < 0)
    perror ("hop: answer");
}

static void
run_hop (hop_t *hop)
{
  struct pollfd polls[MAX_PAIRS * ENDS + 2];

  for (;;)
    {
      int32_t count = hop->count * ENDS;

      list_polls (hop, polls);
      poll (polls, (nfds_t)count + 2, POLL_MS);
      serve_pairs (hop, polls);
      if (polls[count].revents != 0)
        accept_pair (hop);
      if (polls[count + 1].revents != 0)
        take_command (hop);
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

/* hop PORT TARGET_PORT */
int
main (int argc, char **argv)
{
  static hop_t hop;

  if (argc != 3)
    return 2;
  hop.listener = open_socket (SOCK_STREAM, (int32_t)strtol (argv[1], NULL, BASE_TEN));
  hop.control = open_socket (SOCK_DGRAM, (int32_t)strtol (argv[1], NULL, BASE_TEN));
  hop.target_port = (int32_t)strtol (argv[2], NULL, BASE_TEN);
  if (listen (hop.listener, MAX_PAIRS) != 0)
    return 1;
  run_hop (&hop);
  return 0;
}
