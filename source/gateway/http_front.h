#ifndef BILBERRYTRAY_SOURCE_GATEWAY_HTTP_FRONT_H
#define BILBERRYTRAY_SOURCE_GATEWAY_HTTP_FRONT_H

/** @file
 * Callers' HTTP requests, read whole and answered whole or as a stream, on the event loop.
 *
 * A call lives until both the connection and the gateway have let go of it. Its caller may leave at
 * any time: the handler is told once, and answers are then dropped.
 */

#include "bilberrytray/base/error.h"
#include "event_loop.h"

typedef struct bt_front bt_front_t;
typedef struct bt_front_call bt_front_call_t;
typedef struct bt_front_handler bt_front_handler_t;

/** One header. */
typedef struct bt_front_header
{
  char *name;
  char *value;
} bt_front_header_t;

/** A request as it came. */
typedef struct bt_front_request
{
  char *method;
  char *target; /**< The raw request target, with its query, not decoded. */
  bt_front_header_t *headers;
  int32_t header_count;
  char *body;
  size_t body_bytes;
  int64_t arrived_ms; /**< When its head was read. */
} bt_front_request_t;

/** What is done with calls. */
typedef struct bt_front_handler_vtable
{
  /** A request was read whole. The handler answers it, now or later, and then drops it. */
  void (*on_call) (bt_front_handler_t *handler, bt_front_call_t *call);
  /** The caller left, or its connection broke, before the answer was whole. */
  void (*on_left) (bt_front_handler_t *handler, bt_front_call_t *call);
} bt_front_handler_vtable_t;

struct bt_front_handler
{
  const bt_front_handler_vtable_t *vtable;
};

/** Bounds on callers. */
typedef struct bt_front_limits
{
  int32_t connections;
  size_t head_bytes; /**< Longest head that is read. */
  size_t body_bytes; /**< Longest body that is read. */
  int64_t idle_ms;   /**< A connection without a byte is closed after this; whole seconds. */
} bt_front_limits_t;

/** How a stream ended. */
typedef enum bt_stream_end
{
  BT_STREAM_WHOLE = 0, /**< The caller sees a complete answer. */
  BT_STREAM_CUT,       /**< The connection breaks without the end mark: visibly not complete. */
} bt_stream_end_t;

/** Serves at "IP:PORT"; port 0 lets the system choose. */
bt_front_t *bt_new_front (bt_context_t *ctx,
                          bt_event_loop_t *loop,
                          const char *address,
                          const bt_front_limits_t *limits,
                          bt_front_handler_t *handler,
                          bt_error_t *error);

/** Lets nobody connect any more. Connections that were made before are still served, those too that
 * wait to be accepted. A second call changes nothing. */
void bt_close_front (bt_front_t *front);

/** Closes all connections at once, so callers should have been served by then: what was not
 * answered breaks. NULL is accepted. */
void bt_drop_front (bt_context_t *ctx, bt_front_t *front);

int32_t bt_get_front_port (const bt_front_t *front);

/** From now on every answer asks its caller to close the connection, or no longer. */
void bt_set_front_leaving (bt_front_t *front, bool leaving);

/** Changes how long new requests' connections may then stay idle. */
void bt_set_front_idle (bt_front_t *front, int64_t idle_ms);

/** Bounds the body of later requests. */
void bt_set_front_body_limit (bt_front_t *front, size_t body_bytes);

/** Requests that were read, or are being read, and are not yet answered whole. */
int32_t bt_count_front_calls (const bt_front_t *front);

const bt_front_request_t *bt_get_front_request (const bt_front_call_t *call);

/** The value of a header; NULL without one. */
const char *bt_find_front_header (const bt_front_call_t *call, const char *name);

/** Adds a copy of a header to a list; zero-initialise list and count. */
void bt_append_front_header (bt_context_t *ctx,
                             bt_front_header_t **headers,
                             int32_t *count,
                             const char *name,
                             const char *value);

void bt_free_front_header_list (bt_context_t *ctx, bt_front_header_t *headers, int32_t count);

/** What the handler keeps for a call. */
void bt_set_front_call_data (bt_front_call_t *call, void *data);
void *bt_get_front_call_data (const bt_front_call_t *call);

/** Adds a header to the coming answer. */
void bt_add_front_header (bt_front_call_t *call, const char *name, const char *value);

/** Answers whole; the body is copied. */
void
bt_answer_front_call (bt_front_call_t *call, int32_t status, const char *body, size_t body_bytes);

/** Begins to answer with a stream. */
void bt_begin_front_stream (bt_front_call_t *call, int32_t status);

/** Adds to the stream; the bytes are copied. */
void bt_push_front_stream (bt_front_call_t *call, const char *data, size_t bytes);

/** Ends the stream. */
void bt_end_front_stream (bt_front_call_t *call, bt_stream_end_t end);

/** Closes the connection without an answer, for a request that has none to give. */
void bt_break_front_call (bt_front_call_t *call);

/** Lets go of a call that was answered, ended or left. NULL is accepted. */
void bt_drop_front_call (bt_context_t *ctx, bt_front_call_t *call);

#endif
