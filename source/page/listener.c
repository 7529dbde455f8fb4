#include "bilberrytray/page/listener.h"

#include <fcntl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Serves the connections that the kernel has made already: their callers may have sent a request,
 * and would see it end without an answer when the socket that listens is closed. */
static void
take_waiting_connections (struct MHD_Daemon *daemon, int listening)
{
  struct sockaddr_in address;
  socklen_t bytes = sizeof address;
  int fd;

  fcntl (listening, F_SETFL, fcntl (listening, F_GETFL) | O_NONBLOCK);
  while (
      (fd = accept4 (listening, (struct sockaddr *)&address, &bytes, SOCK_NONBLOCK | SOCK_CLOEXEC))
      >= 0)
    {
      MHD_add_connection (daemon, fd, (struct sockaddr *)&address, bytes);
      bytes = sizeof address;
    }
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
