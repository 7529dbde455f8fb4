#include "bilberrytray/page/listener.h"

#include <errno.h>
#include <fcntl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

/* A connection that broke while it waited, or a signal, says nothing of those behind it. */
static bool
may_more_wait (int fd)
{
  return fd >= 0 || errno == EINTR || errno == ECONNABORTED;
}

/* Serves the connections that the kernel has made already: their callers may have sent a request,
 * and would see it end without an answer when the socket that listens is closed. One that the
 * kernel makes between the last look and the closing is reset; nothing of it was read. */
static void
take_waiting_connections (struct MHD_Daemon *daemon, int listening)
{
  struct sockaddr_in address;
  socklen_t bytes;
  int fd;

  fcntl (listening, F_SETFL, fcntl (listening, F_GETFL) | O_NONBLOCK);
  do
    {
      bytes = sizeof address;
      fd = accept4 (listening, (struct sockaddr *)&address, &bytes, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0)
        MHD_add_connection (daemon, fd, (struct sockaddr *)&address, bytes);
    }
  while (may_more_wait (fd));
}

void
bt_close_listener (struct MHD_Daemon *daemon)
{
  int listening = MHD_quiesce_daemon (daemon);

  if (listening < 0)
    return;
  take_waiting_connections (daemon, listening);
  close (listening);
}

int
bt_shut_listener (struct MHD_Daemon *daemon)
{
  int listening = MHD_quiesce_daemon (daemon);

  if (listening < 0)
    return -1;
  take_waiting_connections (daemon, listening);
  shutdown (listening, SHUT_RDWR);
  return listening;
}
