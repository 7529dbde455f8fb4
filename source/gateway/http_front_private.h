#ifndef BILBERRYTRAY_SOURCE_GATEWAY_HTTP_FRONT_PRIVATE_H
#define BILBERRYTRAY_SOURCE_GATEWAY_HTTP_FRONT_PRIVATE_H

/** @file
 * What http_front.c, which reads requests, and http_answer.c, which answers them, share.
 */

#include <microhttpd.h>

#include "http_front.h"

/** How far an answer has come. */
typedef enum answer_state
{
  ANSWER_NONE = 0,
  ANSWER_READY,    /* a response waits to be queued */
  ANSWER_QUEUED,   /* the library has it */
  ANSWER_TO_BREAK, /* the connection is to be closed without one */
} answer_state_t;

struct bt_front_call
{
  bt_front_t *front;
  struct MHD_Connection *connection; /* NULL once the library has let go */
  bt_front_request_t request;
  size_t body_room;
  bool too_long;
  bool whole; /* the request was read whole */
  bool suspended;
  bool held; /* the handler has it */
  bool left; /* the handler was told that the caller left */
  answer_state_t answer;
  struct MHD_Response *response;
  int32_t status;
  char *stream;
  size_t stream_bytes;
  size_t stream_read;
  size_t stream_room;
  bool streaming;
  bool stream_ended;
  bt_stream_end_t stream_end;
  bt_front_header_t *answer_headers;
  int32_t answer_header_count;
  bt_watch_t watch;
  void *data;
  bt_front_call_t *next_arrival;
  bt_front_call_t *next; /* of all calls that the library knows */
  bt_front_call_t *previous;
};

struct bt_front
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_front_handler_t *handler;
  bt_front_limits_t limits;
  struct MHD_Daemon *daemon;
  bt_watch_t watch; /* the library's epoll */
  bt_turn_t turn;
  bt_timer_t timer; /* the library's next time-out */
  bool due;         /* the library has something to do */
  bool leaving;
  bool closed;         /* nobody can connect any more */
  bool dropping;       /* the loop has ended: nobody would answer what is read now */
  int32_t connections; /* that were ever accepted */
  int32_t refused;     /* requests that were read behind the end of the loop */
  int32_t calls;
  bt_front_call_t *first_call;
  bt_front_call_t *first_arrival;
  bt_front_call_t **last_arrival;
};

/** Has the library look at a suspended call again. */
void bt_resume_front_call (bt_front_call_t *call);

/** Gives the library the answer of a call that it looks at again. */
enum MHD_Result bt_queue_front_answer (bt_front_call_t *call);

#endif
