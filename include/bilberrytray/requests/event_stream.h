#ifndef BILBERRYTRAY_REQUESTS_EVENT_STREAM_H
#define BILBERRYTRAY_REQUESTS_EVENT_STREAM_H

/** @file
 * Server-sent events, split at their ends, so that a caller gets whole events only and a stream
 * that was cut goes on behind the last one it got.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /** Longest id of an event, with its zero, in bytes. */
  BT_EVENT_ID_BYTES = 64,
};

/** What has been delivered of a stream. Zero-initialise it. */
typedef struct bt_event_stream
{
  char last_id[BT_EVENT_ID_BYTES]; /**< Of the last whole event; "" before the first. */
  int64_t last_number;             /**< The same as a number; -1: it is none. */
  int64_t events;                  /**< Whole events so far. */
  bool gap; /**< An id did not follow the one before: the stream is not whole. */
} bt_event_stream_t;

/** Bytes at the start of @p data that are whole events and follow on what was delivered; they are
 * noted as delivered. 0 while no event is whole. With @p stream->gap set, what is returned ends
 * before the event that does not follow. */
size_t bt_take_events (bt_event_stream_t *stream, const char *data, size_t bytes);

#endif
