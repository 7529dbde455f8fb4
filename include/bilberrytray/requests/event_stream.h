#ifndef BILBERRYTRAY_REQUESTS_EVENT_STREAM_H
#define BILBERRYTRAY_REQUESTS_EVENT_STREAM_H

/** @file
 * Splits a stream of server-sent events into complete events, so that a caller gets only complete
 * events and an interrupted stream can be resumed after the last one delivered.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /** Size of the longest event id with its terminating zero, in bytes. */
  BT_EVENT_ID_BYTES = 64,
};

/** Progress of a stream: what was delivered so far. Zero-initialise it. */
typedef struct bt_event_stream
{
  char last_id[BT_EVENT_ID_BYTES]; /**< Id of the last delivered event that has one, or "". */
  int64_t last_number;             /**< last_id as a number; -1 when it is not a number. */
  int64_t events;                  /**< Number of delivered events that have an id. */
  bool gap; /**< An event's id did not follow the previous one, so the stream is broken. */
} bt_event_stream_t;

/** Finds the complete events at the start of @p data that continue the stream, and records them as
 * delivered.
 * @return their length in bytes; 0 while no event is complete. When an event does not follow the
 * previous one, sets @p stream->gap and returns the length up to that event. */
size_t bt_consume_events (bt_event_stream_t *stream, const char *data, size_t bytes);

#endif
