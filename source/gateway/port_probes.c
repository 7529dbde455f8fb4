#include "port_probes.h"

#include <errno.h>
#include <netinet/in.h>
#include <stddef.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bilberrytray/base/address.h"
#include "bilberrytray/base/limit.h"

enum
{
  MAX_PROBES = 128,
  /* A process that ends closes its sockets one after the other, the listening one maybe last. */
  DELAY_MS = 30,
  CONNECT_TIMEOUT_MS = 1000,
};

/** One probe. */
typedef struct probe
{
  bt_watch_t watch; /* its fd is -1 before the connection is started */
  bt_timer_t timer;
  bt_port_probes_t *probes;
  bool in_use;
  struct sockaddr_in address;
  bt_identity_t endpoint;
} probe_t;

struct bt_port_probes
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_port_probes_handler_t *handler;
  probe_t slots[MAX_PROBES];
  /* Slots are used in rotation: an event of the slot's earlier probe may still be pending. */
  int32_t next_slot;
};

bt_port_probes_t *
bt_new_port_probes (bt_context_t *ctx, bt_event_loop_t *loop, bt_port_probes_handler_t *handler)
{
  bt_port_probes_t *probes = bt_calloc (ctx, 1, sizeof *probes);

  probes->ctx = ctx;
  probes->loop = loop;
  probes->handler = handler;
  for (int32_t i = 0; i < MAX_PROBES; i++)
    probes->slots[i].probes = probes;
  return probes;
}

static void
end_probe (probe_t *probe)
{
  bt_event_loop_t *loop = probe->probes->loop;

  bt_clear_timer (loop, &probe->timer);
  if (probe->watch.fd >= 0)
    {
      bt_clear_watch (loop, &probe->watch);
      close (probe->watch.fd);
    }
  probe->watch.fd = -1;
  probe->in_use = false;
}

void
bt_drop_port_probes (bt_context_t *ctx, bt_port_probes_t *probes)
{
  if (probes == NULL)
    return;
  for (int32_t i = 0; i < MAX_PROBES; i++)
    if (probes->slots[i].in_use)
      end_probe (&probes->slots[i]);
  bt_free (ctx, probes);
}

static void
finish_probe (probe_t *probe, int error)
{
  bt_port_probes_handler_t *handler = probe->probes->handler;

  end_probe (probe);
  if (error == ECONNREFUSED)
    handler->on_refused (handler, &probe->endpoint);
}

static void
handle_connect_result (bt_watch_t *watch, uint32_t events)
{
  probe_t *probe = (probe_t *)watch;
  socklen_t bytes = sizeof (int);
  int error = 0;

  (void)events;
  if (!probe->in_use || watch->fd < 0)
    return;
  if (getsockopt (watch->fd, SOL_SOCKET, SO_ERROR, &error, &bytes) < 0)
    error = errno;
  finish_probe (probe, error);
}

static void
handle_connect_timeout (bt_timer_t *timer)
{
  end_probe ((probe_t *)((char *)timer - offsetof (probe_t, timer)));
}

static void
start_connect (bt_timer_t *timer)
{
  probe_t *probe = (probe_t *)((char *)timer - offsetof (probe_t, timer));
  bt_event_loop_t *loop = probe->probes->loop;

  probe->watch.fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (probe->watch.fd < 0)
    {
      end_probe (probe);
      return;
    }
  if (connect (probe->watch.fd, (struct sockaddr *)&probe->address, sizeof probe->address) < 0
      && errno != EINPROGRESS)
    {
      finish_probe (probe, errno);
      return;
    }
  probe->watch.on_ready = handle_connect_result;
  bt_set_watch (loop, &probe->watch, EPOLLOUT);
  probe->timer.on_expiry = handle_connect_timeout;
  bt_set_timer (loop, &probe->timer, bt_get_loop_ms (loop) + CONNECT_TIMEOUT_MS);
}

static bool
is_probing (const bt_port_probes_t *probes, const bt_identity_t *endpoint)
{
  for (int32_t i = 0; i < MAX_PROBES; i++)
    if (probes->slots[i].in_use && bt_same_identity (&probes->slots[i].endpoint, endpoint))
      return true;
  return false;
}

void
bt_probe_port (bt_port_probes_t *probes, const char *address, const bt_identity_t *endpoint)
{
  probe_t *probe = &probes->slots[probes->next_slot];

  if (is_probing (probes, endpoint))
    return;
  if (probe->in_use)
    {
      bt_report_limit (probes->ctx, "port-probes", MAX_PROBES, endpoint->instance,
                       "Its end is learnt from the store.");
      return;
    }
  if (!bt_parse_address (address, &probe->address))
    return;
  probes->next_slot = (probes->next_slot + 1) % MAX_PROBES;
  probe->in_use = true;
  probe->watch.fd = -1;
  probe->endpoint = *endpoint;
  probe->timer.on_expiry = start_connect;
  bt_set_timer (probes->loop, &probe->timer, bt_get_loop_ms (probes->loop) + DELAY_MS);
}
