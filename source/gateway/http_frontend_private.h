#ifndef BILBERRYTRAY_SOURCE_GATEWAY_HTTP_FRONTEND_PRIVATE_H
#define BILBERRYTRAY_SOURCE_GATEWAY_HTTP_FRONTEND_PRIVATE_H

/** @file
 * Shared by http_frontend.c, which reads requests, http_answer.c, which answers them, and
 * http_buffers.c, which counts what is buffered for callers. The library is libmicrohttpd.
 */

#include <microhttpd.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/load/buffer_budget.h"
#include "http_frontend.h"

/** State of an answer. */
typedef enum answer_state
{
  ANSWER_NONE = 0,
  ANSWER_READY,   /* a response is to be queued */
  ANSWER_QUEUED,  /* the library has the response */
  ANSWER_ABORTED, /* the connection is to be closed without an answer */
} answer_state_t;

struct bt_frontend_call
{
  bt_frontend_t *frontend;
  struct MHD_Connection *connection; /* NULL once the library has released it */
  bt_frontend_request_t request;
  size_t body_capacity;
  bool body_too_large;
  bool body_refused; /* it does not fit into the buffers */
  bool complete;     /* the request was read completely */
  bool suspended;
  bool held_by_handler; /* the handler has not released it yet */
  bool caller_left;     /* the caller disconnected */
  answer_state_t answer;
  struct MHD_Response *response;
  int32_t status;
  bt_buffered_call_t buffered;
  size_t received_bytes; /* of an answer that its caller can't take yet */
  char *stream;          /* a stream, or a large answer in one piece */
  size_t stream_bytes;
  size_t stream_read;
  size_t stream_capacity;
  bool streaming;
  bool stream_ended;
  bt_stream_end_t stream_end;
  bt_frontend_header_t *answer_headers;
  int32_t answer_header_count;
  bt_watch_t watch;
  void *data;
  bt_frontend_call_t *next_arrival;
  bt_frontend_call_t *next; /* in the list of all calls that the library knows */
  bt_frontend_call_t *previous;
};

/** A connection of a caller, which may carry several calls. */
typedef struct bt_frontend_connection
{
  bt_watch_t watch; /* while the connection has no complete call */
  bt_frontend_t *frontend;
  bool ended_by_caller; /* in the list of these */
  struct bt_frontend_connection *next_ended;
} bt_frontend_connection_t;

struct bt_frontend
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_frontend_handler_t *handler;
  bt_frontend_limits_t limits;
  struct MHD_Daemon *daemon;
  bt_watch_t watch; /* the library's epoll descriptor */
  bt_loop_hook_t hook;
  bt_timer_t timer;   /* the library's next timeout */
  bool run_requested; /* MHD_run is to be called in this iteration */
  bool leaving;
  bool closed;         /* no new connections are accepted */
  bool dropping;       /* the loop has ended: no handler would answer a request that is read now */
  int32_t connections; /* number accepted so far */
  int32_t open_connections;
  bool full; /* the open connections are at the limit */
  int64_t full_since_ms;
  int32_t refused; /* requests that were read after the end of the loop */
  int32_t calls;
  bt_buffer_budget_t *budget; /* NULL: buffers are not counted */
  bt_counter_t *buffered_gauge;
  bt_counter_t *paused_counter;
  bt_frontend_connection_t *first_ended; /* to be read by the library until their end */
  bt_frontend_call_t *first_call;
  bt_frontend_call_t *first_arrival;
  bt_frontend_call_t **last_arrival;
};

/** Creates the budget of the buffers if the limits name one. */
void bt_open_frontend_buffers (bt_frontend_t *frontend);

/** Records that more bytes of the answer wait for the caller. */
void bt_add_call_waiting (bt_frontend_call_t *call, size_t bytes);

/** Records that the library has taken bytes. @return true if the caller was behind until now. */
bool bt_take_call_waiting (bt_frontend_call_t *call, size_t bytes);

/** Records that the bytes that waited for the caller were freed. */
void bt_discard_call_waiting (bt_frontend_call_t *call);

/** Records the size of the request body and of the received parts of the answer. */
void bt_update_call_other_bytes (bt_frontend_call_t *call);

/** Records that all buffers of the call were freed. */
void bt_remove_call_buffers (bt_frontend_call_t *call);

/** Returns true if the buffer of the request body may grow to @p capacity bytes. */
bool bt_may_grow_call_body (const bt_frontend_call_t *call, size_t capacity);

/** Cuts the answer off and closes the connection, also if the caller does not read. */
void bt_abort_frontend_answer (bt_frontend_call_t *call);

/** Resumes a suspended connection, so that the library processes its call again. */
void bt_resume_frontend_call (bt_frontend_call_t *call);

/** Refuses, as not run, the requests whose heads have been read and whose bodies have not. */
void bt_refuse_partial_calls (bt_frontend_t *frontend);

/** Queues the answer of a resumed call in the library. */
enum MHD_Result bt_queue_frontend_answer (bt_frontend_call_t *call);

#endif
