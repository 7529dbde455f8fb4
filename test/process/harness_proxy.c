#include "harness_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_PAIRS = 32,
  ENDS = 2,
  POLL_MS = 10,
  BLOCK_BYTES = 16384,
};

/* One connection and its continuation. */
typedef struct pair
{
  int ends[ENDS];
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

  pair->silent = false;
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
  close (proxy->pairs[index].ends[0]);
  close (proxy->pairs[index].ends[1]);
  proxy->pairs[index] = proxy->pairs[--proxy->count];
}

/* Passes on what one end has sent; false when that end is closed. */
static bool
pass_on (const pair_t *pair, int32_t end)
{
  char block[BLOCK_BYTES];
  ssize_t bytes = recv (pair->ends[end], block, sizeof block, 0);
  ssize_t sent = 0;

  while (bytes > 0 && sent < bytes)
    {
      ssize_t more = send (pair->ends[1 - end], block + sent, (size_t)(bytes - sent), MSG_NOSIGNAL);

      if (more <= 0)
        return false;
      sent += more;
    }
  return bytes > 0;
}

static void
serve_pairs (bt_proxy_t *proxy, const struct pollfd *polls)
{
  for (int32_t i = proxy->count - 1; i >= 0; i--)
    for (int32_t end = 0; end < ENDS; end++)
      if (polls[i * ENDS + end].revents != 0 && !pass_on (&proxy->pairs[i], end))
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
      serve_pairs (proxy, polls);
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
