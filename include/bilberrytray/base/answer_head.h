#ifndef BILBERRYTRAY_BASE_ANSWER_HEAD_H
#define BILBERRYTRAY_BASE_ANSWER_HEAD_H

/** @file
 * Reads the head of an HTTP/1 answer line by line and judges it (RFC 9110 and RFC 9112). libcurl
 * accepts far more than is valid, and ends an answer whose head is cut off as if it were complete.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bilberrytray/base/context.h"

enum
{
  /** Size of the longest line with a terminating zero, in bytes: a value of 16 KiB and its name. */
  BT_HEAD_LINE_BYTES = 17408,
  /** Bounds on the lines of interim heads, the final head and trailers together. libcurl keeps each
   * line with a record that is larger than a short line, and does not bound trailers. */
  BT_MAX_HEAD_LINES = 1000,
  BT_MAX_HEAD_BYTES = 65536,
};

/** Why a head is not valid. */
typedef enum bt_head_fault
{
  BT_HEAD_SOUND = 0,
  BT_HEAD_FAULT_CUT_OFF,     /**< The connection ended before the head did. */
  BT_HEAD_FAULT_STATUS_LINE, /**< No status line of HTTP/1, or a status outside 100 to 599. */
  BT_HEAD_FAULT_UPGRADE,     /**< It switches to another protocol (101). */
  BT_HEAD_FAULT_FIELD_NAME,  /**< A field without a valid name and a colon behind it. */
  BT_HEAD_FAULT_FIELD_VALUE, /**< A field's value has a control byte, or libcurl refuses it. */
  BT_HEAD_FAULT_LENGTH,      /**< Where the body ends is not clear. */
  BT_HEAD_FAULT_TOO_LARGE,   /**< More lines or bytes than allowed. */
  BT_HEAD_FAULT_COUNT,
} bt_head_fault_t;

/** What a line of a head is. */
typedef enum bt_head_line
{
  BT_HEAD_LINE_FAULTY = 0, /**< The answer must not be used. */
  BT_HEAD_LINE_OTHER,      /**< A status line, a line of an interim head, or a trailer. */
  BT_HEAD_LINE_FIELD,      /**< A field of the final head. */
  BT_HEAD_LINE_END,        /**< The end of the final head. */
} bt_head_line_t;

/** A head that is being read. Zero-initialise it for each connection. */
typedef struct bt_answer_head
{
  int32_t status; /**< 0 until a status line was read; that of the latest head. */
  bool complete;  /**< The end of the final head has arrived. */
  bool framed; /**< It has a length or chunks; otherwise the end of the connection ends the body. */
  bool begun;  /**< A status line was read whose head has not ended. */
  bool has_length;
  bool chunked;
  int64_t length_bytes; /**< Of the body, if has_length. */
  int32_t lines;
  size_t bytes;
  bt_head_fault_t fault; /**< The first fault. */
} bt_answer_head_t;

/** Reads one line with its line end, as libcurl passes it. For a field, @p line receives the name
 * and @p value points to its value in the same buffer, without blanks around it. */
bt_head_line_t bt_read_head_line (bt_answer_head_t *head,
                                  const char *data,
                                  size_t bytes,
                                  char line[BT_HEAD_LINE_BYTES],
                                  const char **value);

/** Judges an answer that ended without an error. Returns false if its head is faulty or not
 * complete, which is a fault then. */
bool bt_end_head (bt_answer_head_t *head);

/** Records that the HTTP library has refused the line after those that were read. Does nothing once
 * the head is complete. */
void bt_refuse_head (bt_answer_head_t *head);

/** Returns true if a status may be that of a final head: 200 to 599. */
bool bt_is_final_status (int64_t status);

/** Returns a word for logs and metrics, such as "status-line". */
const char *bt_name_head_fault (bt_head_fault_t fault);

/** Describes a fault in one sentence; "" for a sound head. */
const char *bt_describe_head_fault (bt_head_fault_t fault);

/** Adds a faulty head of an endpoint to the counter "bilberry_faulty_answers_total". */
void bt_count_faulty_head (bt_context_t *ctx, const bt_answer_head_t *head);

#endif
