#ifndef BILBERRYTRAY_SOURCE_BASE_LOG_STREAM_H
#define BILBERRYTRAY_SOURCE_BASE_LOG_STREAM_H

/** @file
 * Writes whole lines to a descriptor that is shared with other processes, without ever blocking on
 * its reader.
 */

#include <limits.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /** Longest line in bytes. A pipe accepts up to this many bytes atomically. */
  BT_LOG_LINE_BYTES = PIPE_BUF,
};

/** A descriptor that lines are written to. Guarded by its owner's lock. */
typedef struct bt_log_stream
{
  int fd;
  size_t pending_bytes;            /**< Length of pending. */
  char pending[BT_LOG_LINE_BYTES]; /**< Unwritten end of a line; it is written first. */
  int64_t lost_lines;              /**< Lines lost since the last report of lost lines. */
  int64_t lost_failures;           /**< Of these, the lines at warning or error. */
} bt_log_stream_t;

/** Writes a line that includes its newline, at most BT_LOG_LINE_BYTES. If the descriptor accepts
 * only a part, the rest is kept and written before the next line. False when nothing was
 * written, because it would block or failed; the caller counts lost lines. */
bool bt_write_log_line (bt_log_stream_t *stream, const char *line, size_t bytes);

#endif
