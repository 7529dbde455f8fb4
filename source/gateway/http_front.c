#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "bilberrytray/base/address.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/page/listener.h"
#include "http_front_private.h"

enum
{
  MS_PER_S = 1000,
  FIRST_BODY_BYTES = 1024,
  /* Length of the listen queue. */
  BACKLOG = 511,
  /* A peer that acknowledges no data for this long is considered gone: a device on the path has lost the connection. Three round trips of a slow path, with their retransmissions, take less. */
  PEER_SILENT_MS = 8000,
  /* Calls of MHD_run that the library needs to take an answer and to write it. */
  LAST_LOOKS = 3,
};

static void
free_call (bt_front_call_t *call)
{
  bt_context_t *ctx = call->front->ctx;
  bt_front_request_t *request = &call->request;

  bt_free_front_header_list (ctx, request->headers, request->header_count);
  bt_free_front_header_list (ctx, call->answer_headers, call->answer_header_count);
  if (call->response != NULL)
    MHD_destroy_response (call->response);
  bt_free (ctx, request->method);
  bt_free (ctx, request->target);
  bt_free (ctx, request->body);
  bt_free (ctx, call->stream);
  bt_free (ctx, call);
}

static void
link_call (bt_front_t *front, bt_front_call_t *call)
{
  call->next = front->first_call;
  if (call->next != NULL)
    call->next->previous = call;
  front->first_call = call;
  front->calls++;
}

static void
unlink_call (bt_front_call_t *call)
{
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    call->front->first_call = call->next;
  if (call->next != NULL)
    call->next->previous = call->previous;
  call->front->calls--;
}

/* Called when the library is done with a call: the answer was sent completely, or the connection broke. */
static void
complete_call (void *argument,
               struct MHD_Connection *connection,
               void **state,
               enum MHD_RequestTerminationCode code)
{
  bt_front_call_t *call = *state;

  (void)argument;
  (void)connection;
  if (call == NULL)
    return;
  *state = NULL;
  bt_clear_watch (call->front->loop, &call->watch);
  call->connection = NULL;
  unlink_call (call);
  if (!call->held)
    {
      free_call (call);
      return;
    }
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !call->left)
    {
      call->left = true;
      call->front->handler->vtable->on_left (call->front->handler, call);
    }
}

/* The library does not watch a suspended connection, so a caller's disconnect would be noticed only when the answer is written, and the endpoint would meanwhile work for nobody. */
static void
notice_leaving (bt_watch_t *watch, uint32_t events)
{
  bt_front_call_t *call = (bt_front_call_t *)((char *)watch - offsetof (bt_front_call_t, watch));

  if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0 || call->left || !call->whole)
    return;
  call->left = true;
  if (call->held)
    call->front->handler->vtable->on_left (call->front->handler, call);
  if (call->streaming)
    bt_end_front_stream (call, BT_STREAM_CUT);
  else
    bt_break_front_call (call);
}

static bt_front_call_t *
new_call (bt_front_t *front, struct MHD_Connection *connection, const char *target)
{
  bt_front_call_t *call = bt_calloc (front->ctx, 1, sizeof *call);

  call->front = front;
  call->connection = connection;
  call->request.target = bt_strdup (front->ctx, target);
  call->request.arrived_ms = bt_now_ms (front->ctx);
  call->watch.on_ready = notice_leaving;
  call->watch.fd =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  link_call (front, call);
  return call;
}

/* The library passes only the decoded path to the request handler. This callback comes first and has the target as it was sent, which endpoints must get unchanged. */
static void *
take_target (void *argument, const char *target, struct MHD_Connection *connection)
{
  return new_call (argument, connection, target);
}

static enum MHD_Result
take_header (void *argument, enum MHD_ValueKind kind, const char *name, const char *value)
{
  bt_front_call_t *call = argument;
  bt_front_request_t *request = &call->request;

  (void)kind;
  bt_append_front_header (call->front->ctx, &request->headers, &request->header_count, name,
                          value == NULL ? "" : value);
  return MHD_YES;
}

/* The send window of a dead peer's connection stays full without any error, unless the kernel is given a time limit. */
static void
bound_silence (int fd)
{
  unsigned int silent_ms = PEER_SILENT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
}

static void
take_head (bt_front_call_t *call, const char *method)
{
  bt_front_t *front = call->front;

  call->request.method = bt_strdup (front->ctx, method);
  MHD_get_connection_values (call->connection, MHD_HEADER_KIND, take_header, call);
  MHD_set_connection_option (call->connection, MHD_CONNECTION_OPTION_TIMEOUT,
                             (unsigned int)((front->limits.idle_ms + MS_PER_S - 1) / MS_PER_S));
  bound_silence (call->watch.fd);
}

static void
take_body (bt_front_call_t *call, const char *data, size_t bytes)
{
  bt_front_request_t *request = &call->request;
  size_t needed = request->body_bytes + bytes + 1;

  if (call->too_long || needed > call->front->limits.body_bytes + 1)
    {
      call->too_long = true;
      return;
    }
  if (needed > call->body_room)
    {
      call->body_room = 2 * needed > FIRST_BODY_BYTES ? 2 * needed : FIRST_BODY_BYTES;
      request->body = bt_realloc (call->front->ctx, request->body, call->body_room, 1);
    }
  memcpy (request->body + request->body_bytes, data, bytes);
  request->body_bytes += bytes;
  request->body[request->body_bytes] = '\0';
}

/* Passes a complete request on: the connection is suspended until there is an answer. */
static enum MHD_Result
hand_over (bt_front_call_t *call)
{
  bt_front_t *front = call->front;

  call->whole = true;
  /* Nothing would resume the connection, and the library aborts the process when it is stopped with suspended connections. The request has not run and never will. */
  if (front->dropping)
    {
      front->refused++;
      bt_answer_front_call (call, MHD_HTTP_SERVICE_UNAVAILABLE, "", 0);
      return bt_queue_front_answer (call);
    }
  call->held = true;
  call->suspended = true;
  MHD_suspend_connection (call->connection);
  bt_set_watch (front->loop, &call->watch, EPOLLRDHUP | EPOLLET);
  *front->last_arrival = call;
  front->last_arrival = &call->next_arrival;
  return MHD_YES;
}

static enum MHD_Result
take_request (void *argument,
              struct MHD_Connection *connection,
              const char *path,
              const char *method,
              const char *version,
              const char *data,
              size_t *bytes,
              void **state)
{
  bt_front_call_t *call = *state;

  (void)argument;
  (void)connection;
  (void)path;
  (void)version;
  if (call->request.method == NULL)
    {
      take_head (call, method);
      return MHD_YES;
    }
  if (*bytes > 0)
    {
      take_body (call, data, *bytes);
      *bytes = 0;
      return MHD_YES;
    }
  if (call->whole)
    return bt_queue_front_answer (call);
  if (call->too_long)
    {
      call->whole = true;
      bt_answer_front_call (call, MHD_HTTP_CONTENT_TOO_LARGE, "", 0);
      return bt_queue_front_answer (call);
    }
  return hand_over (call);
}

static void
set_due (bt_watch_t *watch, uint32_t events)
{
  bt_front_t *front = (bt_front_t *)((char *)watch - offsetof (bt_front_t, watch));

  (void)events;
  front->due = true;
}

static void
set_due_by_time (bt_timer_t *timer)
{
  ((bt_front_t *)((char *)timer - offsetof (bt_front_t, timer)))->due = true;
}

static void
hand_out_arrivals (bt_front_t *front)
{
  while (front->first_arrival != NULL)
    {
      bt_front_call_t *call = front->first_arrival;

      front->first_arrival = call->next_arrival;
      if (front->first_arrival == NULL)
        front->last_arrival = &front->first_arrival;
      call->next_arrival = NULL;
      front->handler->vtable->on_call (front->handler, call);
    }
}

static void
run_front (bt_turn_t *turn)
{
  bt_front_t *front = (bt_front_t *)((char *)turn - offsetof (bt_front_t, turn));
  MHD_UNSIGNED_LONG_LONG wait_ms;

  if (!front->due)
    return;
  front->due = false;
  MHD_run (front->daemon);
  hand_out_arrivals (front);
  if (MHD_get_timeout (front->daemon, &wait_ms) != MHD_YES)
    bt_clear_timer (front->loop, &front->timer);
  else if (wait_ms == 0)
    {
      front->due = true;
      bt_hurry_event_loop (front->loop);
    }
  else
    bt_set_timer (front->loop, &front->timer, bt_get_loop_ms (front->loop) + (int64_t)wait_ms);
}

static void
count_connection (void *argument,
                  struct MHD_Connection *connection,
                  void **state,
                  enum MHD_ConnectionNotificationCode code)
{
  bt_front_t *front = argument;

  (void)connection;
  (void)state;
  front->connections += code == MHD_CONNECTION_NOTIFY_STARTED;
}

static struct MHD_Daemon *
start_daemon (bt_front_t *front, const struct sockaddr_in *address)
{
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, take_request, front,
      MHD_OPTION_SOCK_ADDR, (const struct sockaddr *)address, MHD_OPTION_URI_LOG_CALLBACK,
      take_target, front, MHD_OPTION_NOTIFY_COMPLETED, complete_call, front,
      MHD_OPTION_NOTIFY_CONNECTION, count_connection, front, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)front->limits.connections, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned int)((front->limits.idle_ms + MS_PER_S - 1) / MS_PER_S),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, front->limits.head_bytes, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      (unsigned int)BACKLOG, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

bt_front_t *
bt_new_front (bt_context_t *ctx,
              bt_event_loop_t *loop,
              const char *address,
              const bt_front_limits_t *limits,
              bt_front_handler_t *handler,
              bt_error_t *error)
{
  bt_front_t *front = bt_calloc (ctx, 1, sizeof *front);
  struct sockaddr_in place;

  front->ctx = ctx;
  front->loop = loop;
  front->handler = handler;
  front->limits = *limits;
  front->last_arrival = &front->first_arrival;
  if (bt_parse_address (address, &place))
    front->daemon = start_daemon (front, &place);
  if (front->daemon == NULL)
    {
      bt_set_error (error, BT_ERROR_SYSTEM, "Can't serve callers on %s.", address);
      bt_free (ctx, front);
      return NULL;
    }
  front->watch.fd = MHD_get_daemon_info (front->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  front->watch.on_ready = set_due;
  front->timer.on_time = set_due_by_time;
  front->turn.on_turn = run_front;
  bt_set_watch (loop, &front->watch, EPOLLIN);
  bt_add_turn (loop, &front->turn);
  return front;
}

void
bt_close_front (bt_front_t *front)
{
  if (front->closed)
    return;
  front->closed = true;
  bt_close_listener (front->daemon);
  front->due = true;
  bt_hurry_event_loop (front->loop);
}

static void
break_unanswered (bt_front_t *front)
{
  for (bt_front_call_t *call = front->first_call; call != NULL; call = call->next)
    {
      call->held = false;
      if (call->answer == ANSWER_NONE || call->streaming)
        bt_break_front_call (call);
    }
}

/* Returns the number of completely read requests whose answer is in the given state. */
static int32_t
count_calls_at (const bt_front_t *front, answer_state_t state)
{
  int32_t count = 0;

  for (const bt_front_call_t *call = front->first_call; call != NULL; call = call->next)
    count += call->whole && call->answer == state;
  return count;
}

void
bt_drop_front (bt_context_t *ctx, bt_front_t *front)
{
  int32_t unanswered;

  if (front == NULL)
    return;
  bt_clear_watch (front->loop, &front->watch);
  bt_clear_timer (front->loop, &front->timer);
  front->dropping = true;
  unanswered = count_calls_at (front, ANSWER_NONE);
  break_unanswered (front);
  for (int32_t i = 0; i < LAST_LOOKS; i++)
    MHD_run (front->daemon);
  unanswered += count_calls_at (front, ANSWER_READY);
  bt_log_event (ctx, unanswered == 0 ? BT_LOG_INFO : BT_LOG_ERROR, "front-closed",
                "{s:i, s:i, s:i, s:i}", "port", bt_get_front_port (front), "connections",
                front->connections, "refused", front->refused, "unanswered", unanswered);
  MHD_stop_daemon (front->daemon);
  bt_free (ctx, front);
}

int32_t
bt_get_front_port (const bt_front_t *front)
{
  return MHD_get_daemon_info (front->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void
bt_set_front_leaving (bt_front_t *front, bool leaving)
{
  front->leaving = leaving;
}

void
bt_set_front_idle (bt_front_t *front, int64_t idle_ms)
{
  front->limits.idle_ms = idle_ms;
}

void
bt_set_front_body_limit (bt_front_t *front, size_t body_bytes)
{
  front->limits.body_bytes = body_bytes;
}

int32_t
bt_count_front_calls (const bt_front_t *front)
{
  return front->calls;
}

const bt_front_request_t *
bt_get_front_request (const bt_front_call_t *call)
{
  return &call->request;
}

const char *
bt_find_front_header (const bt_front_call_t *call, const char *name)
{
  for (int32_t i = 0; i < call->request.header_count; i++)
    if (strcasecmp (call->request.headers[i].name, name) == 0)
      return call->request.headers[i].value;
  return NULL;
}

void
bt_set_front_call_data (bt_front_call_t *call, void *data)
{
  call->data = data;
}

void *
bt_get_front_call_data (const bt_front_call_t *call)
{
  return call->data;
}

void
bt_drop_front_call (bt_context_t *ctx, bt_front_call_t *call)
{
  (void)ctx;
  if (call == NULL)
    return;
  call->held = false;
  if (call->connection == NULL)
    free_call (call);
}
