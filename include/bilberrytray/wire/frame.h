#ifndef BILBERRYTRAY_WIRE_FRAME_H
#define BILBERRYTRAY_WIRE_FRAME_H

/** @file
 * Frames: one protobuf message, preceded by its length (4 bytes, big endian).
 */

#include <stddef.h>
#include <stdint.h>

#include "bilberry.pb-c.h"
#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"

typedef Bilberry__Frame bt_frame_t;

/** Size of the length prefix of each frame in bytes. */
#define BT_FRAME_PREFIX_BYTES 4

/** A byte buffer that is appended to at the end and consumed from the front. */
typedef struct bt_buffer
{
  uint8_t *data;
  size_t start; /**< Offset of the first byte that is not consumed. */
  size_t end;   /**< Offset after the last byte. */
  size_t capacity;
} bt_buffer_t;

/** Reserves space for @p bytes more bytes at the end and returns its start. */
uint8_t *bt_reserve_buffer (bt_context_t *ctx, bt_buffer_t *buffer, size_t bytes);

void bt_append_buffer (bt_context_t *ctx, bt_buffer_t *buffer, const void *data, size_t bytes);

/** Consumes @p bytes from the front. */
void bt_consume_buffer (bt_buffer_t *buffer, size_t bytes);

/** Frees the memory of an empty buffer that has grown large. */
void bt_trim_buffer (bt_context_t *ctx, bt_buffer_t *buffer);

/** Returns the number of bytes that are not consumed. */
size_t bt_get_buffer_bytes (const bt_buffer_t *buffer);

/** Frees the data but not the struct. */
void bt_clear_buffer (bt_context_t *ctx, bt_buffer_t *buffer);

/** Appends @p frame with its length prefix. */
void bt_encode_frame (bt_context_t *ctx, bt_buffer_t *buffer, const bt_frame_t *frame);

/** Consumes the next complete frame from the front of @p buffer and returns it; the caller frees it
 * with bt_drop_frame. Returns NULL without an error when more bytes are needed, and NULL with
 * @p error set when the bytes are not a valid frame or its length exceeds @p max_bytes. A frame of
 * a kind that is not known has no body. */
bt_frame_t *bt_decode_frame (bt_buffer_t *buffer, size_t max_bytes, bt_error_t *error);

/** Frees a decoded frame. NULL is accepted. */
void bt_drop_frame (bt_frame_t *frame);

#endif
