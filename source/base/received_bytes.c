#include "bilberrytray/base/received_bytes.h"

/* The C library's own tcp_info ends before tcpi_bytes_received. */
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/socket.h>

int64_t
bt_count_received_bytes (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t bytes = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &bytes) != 0
      || bytes < offsetof (struct tcp_info, tcpi_bytes_received) + sizeof info.tcpi_bytes_received)
    return -1;
  return (int64_t)info.tcpi_bytes_received;
}
