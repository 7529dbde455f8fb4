#include "bilberrytray/page/listener.h"

#include <errno.h>
#include <fcntl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bilberrytray/base/process_end.h"

/* An interrupted call, or a connection that was aborted in the queue, does not mean that the queue
 * is empty. */
static bool
may_have_more (int fd)
{
  return fd >= 0 || errno == EINTR || errno == ECONNABORTED;
}

/* Accepts all connections in the kernel's queue. Their callers may already have sent a request,
 * which would get no answer if the listening socket were closed. A connection that is established
 * between the last accept and the close is reset; nothing of it was read. */
static void
accept_pending_connections (struct MHD_Daemon *daemon, int listen_fd)
{
  struct sockaddr_in address;
  socklen_t bytes;
  int fd;

  fcntl (listen_fd, F_SETFL, fcntl (listen_fd, F_GETFL) | O_NONBLOCK);
  do
    {
      bytes = sizeof address;
      fd = accept4 (listen_fd, (struct sockaddr *)&address, &bytes, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0)
        MHD_add_connection (daemon, fd, (struct sockaddr *)&address, bytes);
    }
  while (may_have_more (fd));
}

void
bt_close_listener (struct MHD_Daemon *daemon)
{
  int listen_fd = MHD_quiesce_daemon (daemon);

  if (listen_fd < 0)
    return;
  accept_pending_connections (daemon, listen_fd);
  close (listen_fd);
}

int
bt_shutdown_listener (struct MHD_Daemon *daemon)
{
  int listen_fd = MHD_quiesce_daemon (daemon);

  if (listen_fd < 0)
    return -1;
  accept_pending_connections (daemon, listen_fd);
  shutdown (listen_fd, SHUT_RDWR);
  return listen_fd;
}

static void
handle_panic (void *argument, const char *file, unsigned int line, const char *reason)
{
  bt_end_process (argument, "The HTTP library can't go on (%s, line %u): %s", file, line,
                  reason == NULL ? "" : reason);
}

void
bt_report_http_panics (bt_context_t *ctx)
{
  MHD_set_panic_func (handle_panic, ctx);
}
