#ifndef BILBERRYTRAY_WIRE_FRAME_H
#define BILBERRYTRAY_WIRE_FRAME_H

/** @file
 * Frames: one protobuf message behind its length (4 bytes, big endian).
 */

#include <stddef.h>
#include <stdint.h>

#include "bilberry.pb-c.h"
#include "bilberrytray/base/context.h"
#include "bilberrytray/base/error.h"

typedef Bilberry__Frame bt_frame_t;

/** Size of the length before each frame, in bytes. */
#define BT_FRAME_PREFIX_BYTES 4

/** Bytes that grow at the end and are taken from the front. */
typedef struct bt_buffer
{
  uint8_t *data;
  size_t start; /**< Offset of the first byte not yet taken. */
  size_t end;
  size_t capacity;
} bt_buffer_t;

/** Makes room for @p bytes more behind the end and returns where they go. */
uint8_t *bt_reserve_buffer (bt_context_t *ctx, bt_buffer_t *buffer, size_t bytes);

void bt_append_buffer (bt_context_t *ctx, bt_buffer_t *buffer, const void *data, size_t bytes);

/** Takes @p bytes from the front. */
void bt_take_buffer (bt_buffer_t *buffer, size_t bytes);

/** Bytes not yet taken. */
size_t bt_count_buffer (const bt_buffer_t *buffer);

/** Frees the bytes, not the struct. */
void bt_clear_buffer (bt_context_t *ctx, bt_buffer_t *buffer);

/** Appends @p frame with its length. */
void bt_encode_frame (bt_context_t *ctx, bt_buffer_t *buffer, const bt_frame_t *frame);

/** Takes the next whole frame from the front of @p buffer. Returns it, to be freed by
 * bt_drop_frame; or NULL: with @p error set when the bytes are no frame or its length is over @p
 * max_bytes, without when more bytes are needed. */
bt_frame_t *bt_decode_frame (bt_buffer_t *buffer, size_t max_bytes, bt_error_t *error);

/** Frees a decoded frame. NULL is accepted. */
void bt_drop_frame (bt_frame_t *frame);

#endif
