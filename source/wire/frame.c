#include "bilberrytray/wire/frame.h"

#include <string.h>

enum
{
  FIRST_CAPACITY_BYTES = 1024,
  MAX_IDLE_CAPACITY_BYTES = 4096,
};

uint8_t *
bt_reserve_buffer (bt_context_t *ctx, bt_buffer_t *buffer, size_t bytes)
{
  size_t used = buffer->end - buffer->start;

  if (buffer->start > 0 && buffer->end + bytes > buffer->capacity)
    {
      memmove (buffer->data, buffer->data + buffer->start, used);
      buffer->start = 0;
      buffer->end = used;
    }
  if (buffer->end + bytes > buffer->capacity)
    {
      size_t capacity = buffer->capacity == 0 ? FIRST_CAPACITY_BYTES : buffer->capacity;

      while (capacity < buffer->end + bytes)
        capacity *= 2;
      buffer->data = bt_realloc (ctx, buffer->data, capacity, 1);
      buffer->capacity = capacity;
    }
  return buffer->data + buffer->end;
}

void
bt_append_buffer (bt_context_t *ctx, bt_buffer_t *buffer, const void *data, size_t bytes)
{
  if (bytes == 0)
    return;
  memcpy (bt_reserve_buffer (ctx, buffer, bytes), data, bytes);
  buffer->end += bytes;
}

void
bt_consume_buffer (bt_buffer_t *buffer, size_t bytes)
{
  buffer->start += bytes;
  if (buffer->start == buffer->end)
    buffer->start = buffer->end = 0;
}

size_t
bt_get_buffer_bytes (const bt_buffer_t *buffer)
{
  return buffer->end - buffer->start;
}

void
bt_trim_buffer (bt_context_t *ctx, bt_buffer_t *buffer)
{
  if (buffer->capacity > MAX_IDLE_CAPACITY_BYTES && buffer->start == buffer->end)
    bt_clear_buffer (ctx, buffer);
}

void
bt_clear_buffer (bt_context_t *ctx, bt_buffer_t *buffer)
{
  bt_free (ctx, buffer->data);
  memset (buffer, 0, sizeof *buffer);
}

void
bt_encode_frame (bt_context_t *ctx, bt_buffer_t *buffer, const bt_frame_t *frame)
{
  size_t bytes = bilberry__frame__get_packed_size (frame);
  uint8_t *at = bt_reserve_buffer (ctx, buffer, BT_FRAME_PREFIX_BYTES + bytes);

  at[0] = (uint8_t)(bytes >> 24);
  at[1] = (uint8_t)(bytes >> 16);
  at[2] = (uint8_t)(bytes >> 8);
  at[3] = (uint8_t)bytes;
  bilberry__frame__pack (frame, at + BT_FRAME_PREFIX_BYTES);
  buffer->end += BT_FRAME_PREFIX_BYTES + bytes;
}

static size_t
read_length (const uint8_t *at)
{
  return (size_t)at[0] << 24 | (size_t)at[1] << 16 | (size_t)at[2] << 8 | (size_t)at[3];
}

bt_frame_t *
bt_decode_frame (bt_buffer_t *buffer, size_t max_bytes, bt_error_t *error)
{
  const uint8_t *at = buffer->data + buffer->start;
  size_t bytes;
  bt_frame_t *frame;

  if (bt_get_buffer_bytes (buffer) < BT_FRAME_PREFIX_BYTES)
    return NULL;
  bytes = read_length (at);
  if (bytes > max_bytes)
    {
      bt_set_error (error, BT_ERROR_TOO_LARGE, "A frame of %zu bytes exceeds the limit of %zu.",
                    bytes, max_bytes);
      return NULL;
    }
  if (bt_get_buffer_bytes (buffer) < BT_FRAME_PREFIX_BYTES + bytes)
    return NULL;
  frame = bilberry__frame__unpack (NULL, bytes, at + BT_FRAME_PREFIX_BYTES);
  if (frame == NULL)
    {
      bt_set_error (error, BT_ERROR_FORMAT, "A frame of %zu bytes can't be decoded.", bytes);
      return NULL;
    }
  bt_consume_buffer (buffer, BT_FRAME_PREFIX_BYTES + bytes);
  return frame;
}

void
bt_drop_frame (bt_frame_t *frame)
{
  if (frame != NULL)
    bilberry__frame__free_unpacked (frame, NULL);
}
