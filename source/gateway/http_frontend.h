#ifndef BILBERRYTRAY_SOURCE_GATEWAY_HTTP_FRONTEND_H
#define BILBERRYTRAY_SOURCE_GATEWAY_HTTP_FRONTEND_H

/** @file
 * HTTP frontend on the event loop: reads callers' requests completely, and answers each with one
 * body or a stream.
 *
 * A call is one request with its answer. It lives until both the connection and the handler have
 * released it. Its caller may disconnect at any time: the handler is notified once, and later
 * answers are dropped.
 */

#include "bilberrytray/base/error.h"
#include "event_loop.h"

typedef struct bt_frontend bt_frontend_t;
typedef struct bt_frontend_call bt_frontend_call_t;
typedef struct bt_frontend_handler bt_frontend_handler_t;

/** One header. */
typedef struct bt_frontend_header
{
  char *name;
  char *value;
} bt_frontend_header_t;

/** A request as it was received. */
typedef struct bt_frontend_request
{
  char *method;
  char *target; /**< The raw request target with its query, not decoded. */
  bt_frontend_header_t *headers;
  int32_t header_count;
  char *body;
  size_t body_bytes;
  int64_t arrived_ms; /**< When its head was read. */
} bt_frontend_request_t;

/** Callbacks for calls. */
typedef struct bt_frontend_handler_vtable
{
  /** A request was read completely. The handler answers it, now or later, and then drops the
   * call. */
  void (*on_call) (bt_frontend_handler_t *handler, bt_frontend_call_t *call);
  /** The caller disconnected, or its connection broke, before the answer was complete. */
  void (*on_caller_left) (bt_frontend_handler_t *handler, bt_frontend_call_t *call);
  /** The caller of a stream was behind and has caught up. NULL if the handler sends no streams. */
  void (*on_caught_up) (bt_frontend_handler_t *handler, bt_frontend_call_t *call);
  /** The answer was cut off since its caller did not read it and the buffers are full. The handler
   * drops the call. NULL if the handler sends no streams. */
  void (*on_reader_ended) (bt_frontend_handler_t *handler, bt_frontend_call_t *call);
} bt_frontend_handler_vtable_t;

struct bt_frontend_handler
{
  const bt_frontend_handler_vtable_t *vtable;
};

/** Limits on callers. */
typedef struct bt_frontend_limits
{
  int32_t connections;
  size_t head_bytes; /**< Memory limit of a connection, which bounds the head that is read. */
  size_t body_bytes; /**< Maximum size of a request body. */
  int64_t idle_ms;   /**< An idle connection is closed after this; rounded up to seconds. */
  int64_t call_buffer_bytes; /**< A caller for whom more bytes wait is behind; 0: buffers are not
                                  counted. */
  int64_t buffer_bytes;      /**< Bound on the buffered bytes of all calls; 0: none. */
} bt_frontend_limits_t;

/** How a stream ended. */
typedef enum bt_stream_end
{
  BT_STREAM_COMPLETE = 0, /**< The caller sees a complete answer. */
  BT_STREAM_CUT_OFF,      /**< The connection is closed without the end mark of the body, so that
                               the caller sees that the answer is incomplete. */
} bt_stream_end_t;

/** Why an answer was cut off that its caller did not read. */
typedef enum bt_slow_reader_cause
{
  BT_SLOW_READER_BOUND = 0, /**< The bound on all buffers was exceeded. */
  BT_SLOW_READER_ENDPOINT,  /**< The endpoint cut its answer off while it was not read. */
} bt_slow_reader_cause_t;

/** Starts to serve at "IP:PORT"; port 0 lets the system choose. @return NULL, with @p error set, on
 * failure. */
bt_frontend_t *bt_new_frontend (bt_context_t *ctx,
                                bt_event_loop_t *loop,
                                const char *address,
                                const bt_frontend_limits_t *limits,
                                bt_frontend_handler_t *handler,
                                bt_error_t *error);

/** Stops accepting new connections. Existing connections are still served, including those in the
 * listen queue. A second call has no effect. */
void bt_close_frontend (bt_frontend_t *frontend);

/** Closes all connections at once and frees the frontend. Calls should have been answered by then:
 * the connections of unanswered calls are broken. NULL is accepted. */
void bt_drop_frontend (bt_context_t *ctx, bt_frontend_t *frontend);

int32_t bt_get_frontend_port (const bt_frontend_t *frontend);

/** Sets whether every answer asks its caller to close the connection. */
void bt_set_frontend_leaving (bt_frontend_t *frontend, bool leaving);

/** Sets how long connections may stay idle after their next request, ms. */
void bt_set_frontend_idle (bt_frontend_t *frontend, int64_t idle_ms);

/** Sets the maximum body size of later requests. */
void bt_set_frontend_body_limit (bt_frontend_t *frontend, size_t body_bytes);

/** Returns for how long the connections have been at their limit, so that nobody else is accepted,
 * in ms; 0 if they are not. */
int64_t bt_get_frontend_full_ms (const bt_frontend_t *frontend);

/** Returns the number of requests that were read, or are being read, and are not completely
 * answered. */
int32_t bt_count_frontend_calls (const bt_frontend_t *frontend);

const bt_frontend_request_t *bt_get_frontend_request (const bt_frontend_call_t *call);

/** Returns the value of a header; NULL when the request has none. */
const char *bt_find_frontend_header (const bt_frontend_call_t *call, const char *name);

/** Adds a copy of a header to a list; zero-initialise list and count. */
void bt_append_frontend_header (bt_context_t *ctx,
                                bt_frontend_header_t **headers,
                                int32_t *count,
                                const char *name,
                                const char *value);

void bt_free_frontend_header_list (bt_context_t *ctx, bt_frontend_header_t *headers, int32_t count);

/** Sets and returns the handler's own data of a call. */
void bt_set_frontend_call_data (bt_frontend_call_t *call, void *data);
void *bt_get_frontend_call_data (const bt_frontend_call_t *call);

/** Adds a header to the answer that is to follow. */
void bt_add_frontend_header (bt_frontend_call_t *call, const char *name, const char *value);

/** Sends a complete answer; the body is copied. */
void bt_answer_frontend_call (bt_frontend_call_t *call,
                              int32_t status,
                              const char *body,
                              size_t body_bytes);

/** Starts an answer that is a stream. */
void bt_begin_frontend_stream (bt_frontend_call_t *call, int32_t status);

/** Appends to the stream; the bytes are copied. */
void bt_push_frontend_stream (bt_frontend_call_t *call, const char *data, size_t bytes);

/** Returns the number of bytes of the stream that the caller has not been sent yet. */
size_t bt_count_unread_bytes (const bt_frontend_call_t *call);

/** Returns true while the caller is behind: more than the limit of bytes waited for it, and it has
 * not taken them down to half of it since. */
bool bt_is_frontend_call_behind (const bt_frontend_call_t *call);

/** Sets the number of bytes of the answer that the handler holds and can't pass on yet. */
void bt_set_frontend_received (bt_frontend_call_t *call, size_t bytes);

/** Counts and logs that an answer was cut off since its caller did not read it. */
void bt_report_slow_reader (const bt_frontend_call_t *call, bt_slow_reader_cause_t cause);

/** Ends the stream, complete or cut off. */
void bt_end_frontend_stream (bt_frontend_call_t *call, bt_stream_end_t end);

/** Closes the connection without an answer, for a request that gets none. A stream is cut
 * off. */
void bt_break_frontend_call (bt_frontend_call_t *call);

/** Releases a call that was answered, was ended or whose caller left. NULL is accepted. */
void bt_drop_frontend_call (bt_context_t *ctx, bt_frontend_call_t *call);

#endif
