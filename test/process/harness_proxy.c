#include "harness_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_PAIRS = 32,
  ENDS = 2,
  POLL_MS = 10,
  BLOCK_BYTES = 16384,
  PREFIX_BYTES = 4,
};

/* Received bytes of one direction that are not yet a complete frame. */
typedef struct flow
{
  uint8_t *data;
  size_t bytes;
} flow_t;

/* An accepted connection and the connection to the target that continues it. */
typedef struct pair
{
  int ends[ENDS];
  flow_t flows[ENDS];
  bool silent;
} pair_t;

struct bt_proxy
{
  int listener;
  int32_t port;
  int32_t target_port;
  pthread_t thread;
  atomic_bool stopping;
  atomic_bool silencing;
  atomic_bool duplicating;
  atomic_int accepted;
  pair_t pairs[MAX_PAIRS];
  int32_t count;
};

static struct sockaddr_in
get_address (int32_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

static void
accept_pair (bt_proxy_t *proxy)
{
  struct sockaddr_in target = get_address (proxy->target_port);
  pair_t *pair = &proxy->pairs[proxy->count];

  memset (pair, 0, sizeof *pair);
  pair->ends[0] = accept (proxy->listener, NULL, NULL);
  pair->ends[1] = socket (AF_INET, SOCK_STREAM, 0);
  if (pair->ends[0] < 0 || pair->ends[1] < 0
      || connect (pair->ends[1], (struct sockaddr *)&target, sizeof target) != 0)
    {
      close (pair->ends[0]);
      close (pair->ends[1]);
      return;
    }
  proxy->count++;
  atomic_fetch_add (&proxy->accepted, 1);
}

static void
close_pair (bt_proxy_t *proxy, int32_t index)
{
  for (int32_t end = 0; end < ENDS; end++)
    {
      close (proxy->pairs[index].ends[end]);
      free (proxy->pairs[index].flows[end].data);
    }
  proxy->pairs[index] = proxy->pairs[--proxy->count];
}

static bool
send_all (int fd, const uint8_t *data, size_t bytes)
{
  while (bytes > 0)
    {
      ssize_t sent = send (fd, data, bytes, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      bytes -= (size_t)sent;
    }
  return true;
}

/* Returns the size of the first frame including its length prefix, 0 while the frame is incomplete.
 */
static size_t
find_frame (const flow_t *flow)
{
  const uint8_t *at = flow->data;
  size_t bytes;

  if (flow->bytes < PREFIX_BYTES)
    return 0;
  bytes = PREFIX_BYTES
          + ((size_t)at[0] << 24 | (size_t)at[1] << 16 | (size_t)at[2] << 8 | (size_t)at[3]);
  return flow->bytes >= bytes ? bytes : 0;
}

/* Forwards the complete frames that one end has sent, each @p copies times. Returns false if one of
 * the ends is closed. */
static bool
forward_frames (pair_t *pair, int32_t end, int32_t copies)
{
  flow_t *flow = &pair->flows[end];
  size_t frame;
  ssize_t bytes;

  flow->data = realloc (flow->data, flow->bytes + BLOCK_BYTES);
  bytes = recv (pair->ends[end], flow->data + flow->bytes, BLOCK_BYTES, 0);
  if (bytes <= 0)
    return false;
  flow->bytes += (size_t)bytes;
  while ((frame = find_frame (flow)) > 0)
    {
      for (int32_t copy = 0; copy < copies; copy++)
        if (!send_all (pair->ends[1 - end], flow->data, frame))
          return false;
      flow->bytes -= frame;
      memmove (flow->data, flow->data + frame, flow->bytes);
    }
  return true;
}

static void
forward_pairs (bt_proxy_t *proxy, const struct pollfd *polls)
{
  int32_t copies = atomic_load (&proxy->duplicating) ? 2 : 1;

  for (int32_t i = proxy->count - 1; i >= 0; i--)
    for (int32_t end = 0; end < ENDS; end++)
      if (polls[i * ENDS + end].revents != 0 && !forward_frames (&proxy->pairs[i], end, copies))
        {
          close_pair (proxy, i);
          break;
        }
}

static void *
run_proxy (void *argument)
{
  bt_proxy_t *proxy = argument;

  while (!atomic_load (&proxy->stopping))
    {
      struct pollfd polls[MAX_PAIRS * ENDS + 1] = { 0 };
      int32_t count = proxy->count * ENDS;

      if (atomic_exchange (&proxy->silencing, false))
        for (int32_t i = 0; i < proxy->count; i++)
          proxy->pairs[i].silent = true;
      for (int32_t i = 0; i < count; i++)
        {
          const pair_t *pair = &proxy->pairs[i / ENDS];

          polls[i].fd = pair->silent ? -1 : pair->ends[i % ENDS];
          polls[i].events = POLLIN;
        }
      polls[count].fd = proxy->count < MAX_PAIRS ? proxy->listener : -1;
      polls[count].events = POLLIN;
      if (poll (polls, (nfds_t)count + 1, POLL_MS) <= 0)
        continue;
      forward_pairs (proxy, polls);
      if (polls[count].revents != 0)
        accept_pair (proxy);
    }
  return NULL;
}

bt_proxy_t *
bt_new_proxy (int32_t target_port)
{
  struct sockaddr_in address = get_address (0);
  socklen_t bytes = sizeof address;
  bt_proxy_t *proxy = calloc (1, sizeof *proxy);

  if (proxy == NULL)
    return NULL;
  proxy->target_port = target_port;
  proxy->listener = socket (AF_INET, SOCK_STREAM, 0);
  if (proxy->listener < 0
      || bind (proxy->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (proxy->listener, MAX_PAIRS) != 0
      || getsockname (proxy->listener, (struct sockaddr *)&address, &bytes) != 0
      || pthread_create (&proxy->thread, NULL, run_proxy, proxy) != 0)
    {
      close (proxy->listener);
      free (proxy);
      return NULL;
    }
  proxy->port = ntohs (address.sin_port);
  return proxy;
}

void
bt_drop_proxy (bt_proxy_t *proxy)
{
  if (proxy == NULL)
    return;
  atomic_store (&proxy->stopping, true);
  pthread_join (proxy->thread, NULL);
  while (proxy->count > 0)
    close_pair (proxy, 0);
  close (proxy->listener);
  free (proxy);
}

int32_t
bt_get_proxy_port (const bt_proxy_t *proxy)
{
  return proxy->port;
}

void
bt_silence_proxy (bt_proxy_t *proxy)
{
  atomic_store (&proxy->silencing, true);
}

int32_t
bt_count_proxy_connections (bt_proxy_t *proxy)
{
  return atomic_load (&proxy->accepted);
}

void
bt_duplicate_proxy_frames (bt_proxy_t *proxy, bool duplicating)
{
  atomic_store (&proxy->duplicating, duplicating);
}
