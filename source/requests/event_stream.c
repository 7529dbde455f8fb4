#include "bilberrytray/requests/event_stream.h"

#include <string.h>

#include "bilberrytray/base/http_field.h"
#include "bilberrytray/base/number.h"

/* Returns the length of the first event including the blank line that ends it; 0 while it is
 * incomplete. */
static size_t
find_event_end (const char *data, size_t bytes)
{
  size_t line_start = 0;

  for (size_t i = 0; i < bytes; i++)
    {
      size_t length;

      if (data[i] != '\n')
        continue;
      length = i - line_start;
      if (length == 0 || (length == 1 && data[line_start] == '\r'))
        return i + 1;
      line_start = i + 1;
    }
  return 0;
}

/* Reads the id of an event; false when it has none or it is too long. Sets @p valid to whether it
 * can stand in a header. */
static bool
read_event_id (const char *data, size_t bytes, char id[BT_EVENT_ID_BYTES], bool *valid)
{
  size_t start = 0;

  while (start < bytes)
    {
      const char *end = memchr (data + start, '\n', bytes - start);
      size_t length = end == NULL ? bytes - start : (size_t)(end - data) - start;

      if (length >= 3 && strncmp (data + start, "id:", 3) == 0)
        {
          const char *value = data + start + 3;
          size_t value_bytes = length - 3;

          while (value_bytes > 0 && (*value == ' '))
            {
              value++;
              value_bytes--;
            }
          if (value_bytes > 0 && value[value_bytes - 1] == '\r')
            value_bytes--;
          if (value_bytes >= BT_EVENT_ID_BYTES)
            return false;
          memcpy (id, value, value_bytes);
          id[value_bytes] = '\0';
          *valid = bt_is_field_value (value, value_bytes);
          return true;
        }
      start += length + 1;
    }
  return false;
}

/* Returns -1 for an id that isn't a number with a successor. */
static int64_t
parse_number (const char *id)
{
  int64_t number = -1;

  bt_parse_count (id, INT64_MAX - 1, &number);
  return number;
}

/* Records an event as delivered. Sets the gap flag and returns false when its id shows that events
 * before it are missing or that it was delivered already: an endpoint that resumed the stream at
 * the wrong position. The same goes for an id after which no stream can be resumed. Such events
 * must not reach the caller. */
static bool
record_event (bt_event_stream_t *stream, const char *id, bool valid)
{
  const int64_t number = parse_number (id);

  if (!valid
      || (stream->events > 0 && stream->last_number >= 0 && number >= 0
          && number != stream->last_number + 1))
    {
      stream->gap = true;
      return false;
    }
  memcpy (stream->last_id, id, strlen (id) + 1);
  stream->last_number = number;
  stream->events++;
  return true;
}

size_t
bt_consume_events (bt_event_stream_t *stream, const char *data, size_t bytes)
{
  size_t consumed = 0;

  while (!stream->gap)
    {
      size_t length = find_event_end (data + consumed, bytes - consumed);
      char id[BT_EVENT_ID_BYTES];
      bool valid = true;

      if (length == 0)
        return consumed;
      if (read_event_id (data + consumed, length, id, &valid) && !record_event (stream, id, valid))
        return consumed;
      consumed += length;
    }
  return consumed;
}
