#include "log_stream.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

/* Fallback for pipes and terminals on systems without RWF_NOWAIT. A pipe that is ready accepts a
 * whole line, unless another process fills it in between. */
static ssize_t
write_if_ready (int fd, const char *data, size_t bytes)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLOUT };

  if (poll (&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT) != 0)
    return write (fd, data, bytes);
  return -1;
}

/* Writes as much as the descriptor accepts without blocking; -1 when that is nothing. The
 * descriptor is not set to O_NONBLOCK, since that affects every process that shares it: writes of a
 * shell or supervisor would fail and its output would be lost. So each write is made non-blocking
 * instead. */
static ssize_t
write_nonblocking (int fd, const char *data, size_t bytes)
{
  struct iovec block = { (void *)data, bytes };
  struct stat status;
  ssize_t written;

  if (fstat (fd, &status) != 0)
    return -1;
  if (S_ISREG (status.st_mode))
    return write (fd, data, bytes);
  if (S_ISSOCK (status.st_mode))
    return send (fd, data, bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
  written = pwritev2 (fd, &block, 1, -1, RWF_NOWAIT);
  if (written < 0 && (errno == EOPNOTSUPP || errno == ENOSYS || errno == EINVAL))
    return write_if_ready (fd, data, bytes);
  return written;
}

/* Writes the pending end of a partly written line. A socket, a terminal or a full disk can accept
 * only part of a line. The rest has to be written before any other line, or the reader would see
 * the next line as the end of this one. */
static bool
write_pending (bt_log_stream_t *stream)
{
  ssize_t written;

  if (stream->pending_bytes == 0)
    return true;
  written = write_nonblocking (stream->fd, stream->pending, stream->pending_bytes);
  if (written <= 0)
    return false;
  stream->pending_bytes -= (size_t)written;
  memmove (stream->pending, stream->pending + written, stream->pending_bytes);
  return stream->pending_bytes == 0;
}

bool
bt_write_log_line (bt_log_stream_t *stream, const char *line, size_t bytes)
{
  ssize_t written;

  if (!write_pending (stream))
    return false;
  written = write_nonblocking (stream->fd, line, bytes);
  if (written <= 0)
    return false;
  stream->pending_bytes = bytes - (size_t)written;
  memcpy (stream->pending, line + written, stream->pending_bytes);
  return true;
}
