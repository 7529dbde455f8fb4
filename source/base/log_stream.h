#ifndef BILBERRYTRAY_SOURCE_BASE_LOG_STREAM_H
#define BILBERRYTRAY_SOURCE_BASE_LOG_STREAM_H

/** @file
 * Whole lines to a descriptor that this process shares with others, without ever waiting for
 * whoever reads them.
 */

#include <limits.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /** Longest line. A pipe takes so many bytes whole or not at all. */
  BT_LOG_LINE_BYTES = PIPE_BUF,
};

/** A descriptor that lines go to. Its owner's lock guards it. */
typedef struct bt_log_stream
{
  int fd;
  size_t rest_bytes;            /**< Of a line that the descriptor took in part, */
  char rest[BT_LOG_LINE_BYTES]; /**< its end, which goes out before any other line. */
  int64_t lost_lines;           /**< Since the reader was last told. */
  int64_t lost_failures;        /**< Those of them at warning or error. */
} bt_log_stream_t;

/** Writes a line with its end of line, at most BT_LOG_LINE_BYTES, whole or not at all. False when
 * that would block, or the descriptor is broken. Does not count. */
bool bt_write_log_line (bt_log_stream_t *stream, const char *line, size_t bytes);

#endif
