#include "log_stream.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

/* For pipes and terminals of systems that can't be asked not to wait. A pipe with any room takes a
 * line whole, unless another process fills it in between. */
static ssize_t
write_if_ready (int fd, const char *data, size_t bytes)
{
  struct pollfd out = { .fd = fd, .events = POLLOUT };

  if (poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0)
    return write (fd, data, bytes);
  return -1;
}

/* Writes what the descriptor takes at once; -1 when that is nothing. The descriptor is not made
 * non-blocking: that would hold for every process that shares it, and a shell or a supervisor whose
 * own writes then fail would lose its output. So each write alone asks not to wait. */
static ssize_t
write_now (int fd, const char *data, size_t bytes)
{
  struct iovec block = { (void *)data, bytes };
  struct stat facts;
  ssize_t written;

  if (fstat (fd, &facts) != 0)
    return -1;
  if (S_ISREG (facts.st_mode))
    return write (fd, data, bytes);
  if (S_ISSOCK (facts.st_mode))
    return send (fd, data, bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
  written = pwritev2 (fd, &block, 1, -1, RWF_NOWAIT);
  if (written < 0 && (errno == EOPNOTSUPP || errno == ENOSYS || errno == EINVAL))
    return write_if_ready (fd, data, bytes);
  return written;
}

/* A socket, a terminal or a full disk takes a part of a line. Without its end the reader would see
 * a torn line and take the next one for its end, so the end waits here and goes first. */
static bool
write_rest (bt_log_stream_t *stream)
{
  ssize_t written;

  if (stream->rest_bytes == 0)
    return true;
  written = write_now (stream->fd, stream->rest, stream->rest_bytes);
  if (written <= 0)
    return false;
  stream->rest_bytes -= (size_t)written;
  memmove (stream->rest, stream->rest + written, stream->rest_bytes);
  return stream->rest_bytes == 0;
}

bool
bt_write_log_line (bt_log_stream_t *stream, const char *line, size_t bytes)
{
  ssize_t written;

  if (!write_rest (stream))
    return false;
  written = write_now (stream->fd, line, bytes);
  if (written <= 0)
    return false;
  stream->rest_bytes = bytes - (size_t)written;
  memcpy (stream->rest, line + written, stream->rest_bytes);
  return true;
}
