#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "bilberrytray/base/address.h"
#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/limit.h"
#include "bilberrytray/core/outcome.h"
#include "bilberrytray/page/listener.h"
#include "http_frontend_private.h"

enum
{
  MS_PER_S = 1000,
  MIN_BODY_CAPACITY = 1024,
  /* Length of the listen queue. */
  LISTEN_BACKLOG = 511,
  /* A peer that acknowledges no data for this long is considered gone: a device on the path has
   * lost the connection. Three round trips of a slow path, with their retransmissions, take
   * less. */
  PEER_TIMEOUT_MS = 8000,
  /* Calls of MHD_run that the library needs to take an answer and to write it. */
  FINAL_RUNS = 3,
  RETRY_AFTER_BYTES = 32,
  SUBJECT_BYTES = 64,
  /* Bodies that don't fit now fit when others have been answered, which takes about a second. The
   * times are spread by the calls that are open. */
  MIN_RETRY_AFTER_MS = 500,
  RETRY_AFTER_SPREAD_MS = 1000,
  RETRY_AFTER_STEP_MS = 37,
  /* A shorter time at the limit of connections is not logged when it ends. */
  MIN_LOGGED_FULL_MS = 1000,
};

static void
free_call (bt_frontend_call_t *call)
{
  bt_context_t *ctx = call->frontend->ctx;
  bt_frontend_request_t *request = &call->request;

  bt_remove_call_buffers (call);
  bt_free_frontend_header_list (ctx, request->headers, request->header_count);
  bt_free_frontend_header_list (ctx, call->answer_headers, call->answer_header_count);
  if (call->response != NULL)
    MHD_destroy_response (call->response);
  bt_free (ctx, request->method);
  bt_free (ctx, request->target);
  bt_free (ctx, request->body);
  bt_free (ctx, call->stream);
  bt_free (ctx, call);
}

static void
add_call (bt_frontend_t *frontend, bt_frontend_call_t *call)
{
  call->next = frontend->first_call;
  if (call->next != NULL)
    call->next->previous = call;
  frontend->first_call = call;
  frontend->calls++;
}

static void
remove_call (bt_frontend_call_t *call)
{
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    call->frontend->first_call = call->next;
  if (call->next != NULL)
    call->next->previous = call->previous;
  call->frontend->calls--;
}

static void
watch_connection (bt_frontend_connection_t *state)
{
  bt_set_watch (state->frontend->loop, &state->watch, EPOLLRDHUP | EPOLLET);
}

static void
handle_connection_end (bt_watch_t *watch, uint32_t events)
{
  bt_frontend_connection_t *state =
      (bt_frontend_connection_t *)((char *)watch - offsetof (bt_frontend_connection_t, watch));
  bt_frontend_t *frontend = state->frontend;

  if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0 || state->ended_by_caller)
    return;
  state->ended_by_caller = true;
  state->next_ended = frontend->first_ended;
  frontend->first_ended = state;
  frontend->run_requested = true;
}

/* The library takes a read that does not fill its buffer for the last one until the next event.
 * If the end of the connection arrived together with the data, there is no such event, and the
 * connection would stay open until it times out. A shutdown causes one; what was received can still
 * be read. */
static void
shut_ended_connections (bt_frontend_t *frontend)
{
  while (frontend->first_ended != NULL)
    {
      bt_frontend_connection_t *state = frontend->first_ended;

      frontend->first_ended = state->next_ended;
      shutdown (state->watch.fd, SHUT_RD);
    }
}

static void
remove_ended_connection (bt_frontend_connection_t *state)
{
  bt_frontend_connection_t **place = &state->frontend->first_ended;

  while (*place != NULL && *place != state)
    place = &(*place)->next_ended;
  if (*place == state)
    *place = state->next_ended;
}

static bt_frontend_connection_t *
new_connection (bt_frontend_t *frontend, struct MHD_Connection *connection)
{
  bt_frontend_connection_t *state = bt_calloc (frontend->ctx, 1, sizeof *state);

  state->frontend = frontend;
  state->watch.on_ready = handle_connection_end;
  state->watch.fd =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  watch_connection (state);
  return state;
}

static void
drop_connection (bt_frontend_connection_t *state)
{
  bt_frontend_t *frontend = state->frontend;

  bt_clear_watch (frontend->loop, &state->watch);
  if (state->ended_by_caller)
    remove_ended_connection (state);
  bt_free (frontend->ctx, state);
}

/* Called when the library is done with a call: the answer was sent completely, or the connection
 * broke. */
static void
complete_call (void *argument,
               struct MHD_Connection *connection,
               void **state,
               enum MHD_RequestTerminationCode code)
{
  bt_frontend_call_t *call = *state;

  (void)argument;
  if (call == NULL)
    return;
  *state = NULL;
  bt_clear_watch (call->frontend->loop, &call->watch);
  watch_connection (
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
  call->connection = NULL;
  remove_call (call);
  if (!call->held_by_handler)
    {
      free_call (call);
      return;
    }
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !call->caller_left)
    {
      call->caller_left = true;
      call->frontend->handler->vtable->on_caller_left (call->frontend->handler, call);
    }
}

/* The library does not watch a suspended connection, so a caller's disconnect would be noticed only
 * when the answer is written, and until then the endpoint would work for no caller. */
static void
handle_disconnect (bt_watch_t *watch, uint32_t events)
{
  bt_frontend_call_t *call =
      (bt_frontend_call_t *)((char *)watch - offsetof (bt_frontend_call_t, watch));

  if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0 || call->caller_left || !call->complete)
    return;
  call->caller_left = true;
  if (call->held_by_handler)
    call->frontend->handler->vtable->on_caller_left (call->frontend->handler, call);
  if (call->streaming)
    bt_end_frontend_stream (call, BT_STREAM_CUT_OFF);
  else
    bt_break_frontend_call (call);
}

static bt_frontend_call_t *
new_call (bt_frontend_t *frontend, struct MHD_Connection *connection, const char *target)
{
  bt_frontend_call_t *call = bt_calloc (frontend->ctx, 1, sizeof *call);

  call->frontend = frontend;
  call->connection = connection;
  call->request.target = bt_strdup (frontend->ctx, target);
  call->request.arrived_ms = bt_now_ms (frontend->ctx);
  call->watch.on_ready = handle_disconnect;
  call->watch.fd =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  add_call (frontend, call);
  return call;
}

/* The library passes only the decoded path to the request handler. This callback comes first and
 * has the target as it was sent, which endpoints must get unchanged. */
static void *
handle_target (void *argument, const char *target, struct MHD_Connection *connection)
{
  return new_call (argument, connection, target);
}

static enum MHD_Result
append_header (void *argument, enum MHD_ValueKind kind, const char *name, const char *value)
{
  bt_frontend_call_t *call = argument;
  bt_frontend_request_t *request = &call->request;

  (void)kind;
  bt_append_frontend_header (call->frontend->ctx, &request->headers, &request->header_count, name,
                             value == NULL ? "" : value);
  return MHD_YES;
}

/* The send window of a dead peer's connection stays full without any error, unless the kernel is
 * given a time limit. */
static void
set_tcp_user_timeout (int fd)
{
  unsigned int user_timeout_ms = PEER_TIMEOUT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
}

static void
read_head (bt_frontend_call_t *call, const char *method)
{
  bt_frontend_t *frontend = call->frontend;

  call->request.method = bt_strdup (frontend->ctx, method);
  MHD_get_connection_values (call->connection, MHD_HEADER_KIND, append_header, call);
  MHD_set_connection_option (call->connection, MHD_CONNECTION_OPTION_TIMEOUT,
                             (unsigned int)((frontend->limits.idle_ms + MS_PER_S - 1) / MS_PER_S));
  set_tcp_user_timeout (call->watch.fd);
}

/* Frees a request body that does not fit into the buffers; the rest of it is read and discarded. */
static void
refuse_body (bt_frontend_call_t *call)
{
  call->body_refused = true;
  bt_free (call->frontend->ctx, call->request.body);
  call->request.body = NULL;
  call->request.body_bytes = 0;
  call->body_capacity = 0;
  bt_update_call_other_bytes (call);
}

static void
append_body (bt_frontend_call_t *call, const char *data, size_t bytes)
{
  bt_frontend_request_t *request = &call->request;
  size_t needed = request->body_bytes + bytes + 1;
  size_t capacity;

  if (call->body_refused)
    return;
  if (call->body_too_large || needed > call->frontend->limits.body_bytes + 1)
    {
      call->body_too_large = true;
      return;
    }
  if (needed > call->body_capacity)
    {
      capacity = 2 * needed > MIN_BODY_CAPACITY ? 2 * needed : MIN_BODY_CAPACITY;
      if (capacity > call->frontend->limits.body_bytes + 1)
        capacity = call->frontend->limits.body_bytes + 1;
      if (!bt_may_grow_call_body (call, capacity))
        {
          refuse_body (call);
          return;
        }
      call->body_capacity = capacity;
      request->body = bt_realloc (call->frontend->ctx, request->body, call->body_capacity, 1);
      bt_update_call_other_bytes (call);
    }
  memcpy (request->body + request->body_bytes, data, bytes);
  request->body_bytes += bytes;
  request->body[request->body_bytes] = '\0';
}

/* Frees the part of the buffer that the complete body does not use. */
static void
shrink_body (bt_frontend_call_t *call)
{
  if (call->request.body == NULL)
    return;
  call->body_capacity = call->request.body_bytes + 1;
  call->request.body = bt_realloc (call->frontend->ctx, call->request.body, call->body_capacity, 1);
  bt_update_call_other_bytes (call);
}

/* Passes a complete request on: the connection is suspended until there is an answer. */
static enum MHD_Result
queue_arrival (bt_frontend_call_t *call)
{
  bt_frontend_t *frontend = call->frontend;

  call->complete = true;
  /* Nothing would resume the connection, and the library aborts the process when it is stopped with
   * suspended connections. The request has not run and never will. */
  if (frontend->dropping)
    {
      frontend->refused++;
      bt_answer_frontend_call (call, MHD_HTTP_SERVICE_UNAVAILABLE, "", 0);
      return bt_queue_frontend_answer (call);
    }
  shrink_body (call);
  call->held_by_handler = true;
  call->suspended = true;
  MHD_suspend_connection (call->connection);
  bt_set_watch (frontend->loop, &call->watch, EPOLLRDHUP | EPOLLET);
  *frontend->last_arrival = call;
  frontend->last_arrival = &call->next_arrival;
  return MHD_YES;
}

/* Answers a request whose body did not fit into the buffers. */
static void
answer_refused_body (bt_frontend_call_t *call)
{
  char retry_after[RETRY_AFTER_BYTES];
  int32_t wait_ms =
      MIN_RETRY_AFTER_MS + call->frontend->calls * RETRY_AFTER_STEP_MS % RETRY_AFTER_SPREAD_MS;

  snprintf (retry_after, sizeof retry_after, "%.3f", (double)wait_ms / MS_PER_S);
  bt_count_refusal (call->frontend->ctx, BT_REASON_BUFFERS_FULL);
  bt_add_frontend_header (call, "Retry-After", retry_after);
  bt_add_frontend_header (call, "Bilberry-Reason", bt_name_reason (BT_REASON_BUFFERS_FULL));
  bt_answer_frontend_call (call, bt_get_reason_status (BT_REASON_BUFFERS_FULL), "", 0);
}

static enum MHD_Result
handle_request (void *argument,
                struct MHD_Connection *connection,
                const char *path,
                const char *method,
                const char *version,
                const char *data,
                size_t *bytes,
                void **state)
{
  bt_frontend_call_t *call = *state;

  (void)argument;
  (void)connection;
  (void)path;
  (void)version;
  if (call->request.method == NULL)
    {
      read_head (call, method);
      return MHD_YES;
    }
  if (*bytes > 0)
    {
      if (call->answer == ANSWER_NONE)
        append_body (call, data, *bytes);
      *bytes = 0;
      return MHD_YES;
    }
  if (call->complete || call->answer != ANSWER_NONE)
    return bt_queue_frontend_answer (call);
  if (call->body_too_large)
    {
      call->complete = true;
      bt_answer_frontend_call (call, MHD_HTTP_CONTENT_TOO_LARGE, "", 0);
      return bt_queue_frontend_answer (call);
    }
  if (call->body_refused)
    {
      call->complete = true;
      answer_refused_body (call);
      return bt_queue_frontend_answer (call);
    }
  return queue_arrival (call);
}

static void
request_run (bt_watch_t *watch, uint32_t events)
{
  bt_frontend_t *frontend = (bt_frontend_t *)((char *)watch - offsetof (bt_frontend_t, watch));

  (void)events;
  frontend->run_requested = true;
}

static void
handle_timeout (bt_timer_t *timer)
{
  ((bt_frontend_t *)((char *)timer - offsetof (bt_frontend_t, timer)))->run_requested = true;
}

static void
deliver_arrivals (bt_frontend_t *frontend)
{
  while (frontend->first_arrival != NULL)
    {
      bt_frontend_call_t *call = frontend->first_arrival;

      frontend->first_arrival = call->next_arrival;
      if (frontend->first_arrival == NULL)
        frontend->last_arrival = &frontend->first_arrival;
      call->next_arrival = NULL;
      frontend->handler->vtable->on_call (frontend->handler, call);
    }
}

/* Ends the answers whose callers do not read them, until the buffers are within their bound. */
static void
end_slow_readers (bt_frontend_t *frontend)
{
  bt_buffered_call_t *buffered;

  while ((buffered = bt_find_call_to_end (frontend->budget)) != NULL)
    {
      bt_frontend_call_t *call =
          (bt_frontend_call_t *)((char *)buffered - offsetof (bt_frontend_call_t, buffered));

      bt_report_slow_reader (call, BT_SLOW_READER_BOUND);
      call->caller_left = true;
      bt_abort_frontend_answer (call);
      if (call->held_by_handler)
        frontend->handler->vtable->on_reader_ended (frontend->handler, call);
    }
}

static bt_counter_t *
find_full_gauge (bt_context_t *ctx)
{
  return bt_find_counter (ctx, BT_GAUGE, "bilberry_full_listeners",
                          "Ports that accept nobody, since their connections are at the limit.",
                          NULL, NULL);
}

/* Reports when the limit of connections is reached, and when it no longer is. */
static void
update_full (bt_frontend_t *frontend)
{
  const bool full = frontend->open_connections >= frontend->limits.connections;
  const int64_t now_ms = bt_get_loop_ms (frontend->loop);
  const int32_t port = bt_get_frontend_port (frontend);
  char subject[SUBJECT_BYTES];

  if (full == frontend->full)
    return;
  frontend->full = full;
  bt_add_counter (find_full_gauge (frontend->ctx), full ? 1 : -1);
  if (full)
    {
      frontend->full_since_ms = now_ms;
      snprintf (subject, sizeof subject, "connections to port %d", (int)port);
      bt_report_limit (frontend->ctx, "connections", frontend->limits.connections, subject,
                       "Further callers wait until a connection is closed.");
    }
  else if (now_ms - frontend->full_since_ms >= MIN_LOGGED_FULL_MS)
    bt_log_event (frontend->ctx, BT_LOG_WARNING, "limit-left", "{s:s, s:i, s:I}", "limit",
                  "connections", "port", port, "after_ms",
                  (json_int_t)(now_ms - frontend->full_since_ms));
}

static void
run_frontend (bt_loop_hook_t *hook)
{
  bt_frontend_t *frontend = (bt_frontend_t *)((char *)hook - offsetof (bt_frontend_t, hook));
  MHD_UNSIGNED_LONG_LONG wait_ms;

  if (frontend->budget != NULL && bt_is_buffer_budget_exceeded (frontend->budget))
    end_slow_readers (frontend);
  if (!frontend->run_requested)
    return;
  frontend->run_requested = false;
  MHD_run (frontend->daemon);
  shut_ended_connections (frontend);
  deliver_arrivals (frontend);
  if (!frontend->closed)
    update_full (frontend);
  if (MHD_get_timeout (frontend->daemon, &wait_ms) != MHD_YES)
    bt_clear_timer (frontend->loop, &frontend->timer);
  else if (wait_ms == 0)
    frontend->run_requested = true;
  else
    bt_set_timer (frontend->loop, &frontend->timer,
                  bt_get_loop_ms (frontend->loop) + (int64_t)wait_ms);
  if (frontend->run_requested)
    bt_request_loop_iteration (frontend->loop);
}

/* While its connections are at a limit, the library doesn't watch the listening socket. It watches
 * it again only in the run after the one in which it released a connection, and no event may come
 * that would cause this run. */
static void
count_connection (void *argument,
                  struct MHD_Connection *connection,
                  void **state,
                  enum MHD_ConnectionNotificationCode code)
{
  bt_frontend_t *frontend = argument;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      *state = new_connection (frontend, connection);
      frontend->connections++;
      frontend->open_connections++;
      return;
    }
  drop_connection (*state);
  *state = NULL;
  frontend->open_connections--;
  frontend->run_requested = true;
}

static struct MHD_Daemon *
start_daemon (bt_frontend_t *frontend, const struct sockaddr_in *address)
{
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle_request, frontend,
      MHD_OPTION_SOCK_ADDR, (const struct sockaddr *)address, MHD_OPTION_URI_LOG_CALLBACK,
      handle_target, frontend, MHD_OPTION_NOTIFY_COMPLETED, complete_call, frontend,
      MHD_OPTION_NOTIFY_CONNECTION, count_connection, frontend, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)frontend->limits.connections, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned int)((frontend->limits.idle_ms + MS_PER_S - 1) / MS_PER_S),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, frontend->limits.head_bytes,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned int)LISTEN_BACKLOG,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

bt_frontend_t *
bt_new_frontend (bt_context_t *ctx,
                 bt_event_loop_t *loop,
                 const char *address,
                 const bt_frontend_limits_t *limits,
                 bt_frontend_handler_t *handler,
                 bt_error_t *error)
{
  bt_frontend_t *frontend = bt_calloc (ctx, 1, sizeof *frontend);
  struct sockaddr_in socket_address;

  frontend->ctx = ctx;
  frontend->loop = loop;
  frontend->handler = handler;
  frontend->limits = *limits;
  frontend->last_arrival = &frontend->first_arrival;
  if (bt_parse_address (address, &socket_address))
    frontend->daemon = start_daemon (frontend, &socket_address);
  if (frontend->daemon == NULL)
    {
      bt_set_error (error, BT_ERROR_SYSTEM, "Cannot serve callers on %s.", address);
      bt_free (ctx, frontend);
      return NULL;
    }
  bt_open_frontend_buffers (frontend);
  frontend->watch.fd = MHD_get_daemon_info (frontend->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  frontend->watch.on_ready = request_run;
  frontend->timer.on_expiry = handle_timeout;
  frontend->hook.on_iteration = run_frontend;
  bt_set_watch (loop, &frontend->watch, EPOLLIN);
  bt_add_loop_hook (loop, &frontend->hook);
  return frontend;
}

void
bt_close_frontend (bt_frontend_t *frontend)
{
  if (frontend->closed)
    return;
  frontend->closed = true;
  bt_close_listener (frontend->daemon);
  bt_refuse_partial_calls (frontend);
  frontend->run_requested = true;
  bt_request_loop_iteration (frontend->loop);
}

static void
break_unanswered_calls (bt_frontend_t *frontend)
{
  for (bt_frontend_call_t *call = frontend->first_call; call != NULL; call = call->next)
    {
      call->held_by_handler = false;
      if (call->answer == ANSWER_NONE || call->streaming)
        bt_break_frontend_call (call);
    }
}

/* Returns the number of completely read requests whose answer is in the given state. */
static int32_t
count_complete_calls (const bt_frontend_t *frontend, answer_state_t state)
{
  int32_t count = 0;

  for (const bt_frontend_call_t *call = frontend->first_call; call != NULL; call = call->next)
    count += call->complete && call->answer == state;
  return count;
}

void
bt_drop_frontend (bt_context_t *ctx, bt_frontend_t *frontend)
{
  int32_t unanswered;

  if (frontend == NULL)
    return;
  bt_clear_watch (frontend->loop, &frontend->watch);
  bt_clear_timer (frontend->loop, &frontend->timer);
  frontend->dropping = true;
  unanswered = count_complete_calls (frontend, ANSWER_NONE);
  bt_refuse_partial_calls (frontend);
  break_unanswered_calls (frontend);
  for (int32_t i = 0; i < FINAL_RUNS; i++)
    MHD_run (frontend->daemon);
  unanswered += count_complete_calls (frontend, ANSWER_READY);
  bt_log_event (ctx, unanswered == 0 ? BT_LOG_INFO : BT_LOG_ERROR, "front-closed",
                "{s:i, s:i, s:i, s:i}", "port", bt_get_frontend_port (frontend), "connections",
                frontend->connections, "refused", frontend->refused, "unanswered", unanswered);
  MHD_stop_daemon (frontend->daemon);
  bt_drop_buffer_budget (ctx, frontend->budget);
  bt_free (ctx, frontend);
}

int32_t
bt_get_frontend_port (const bt_frontend_t *frontend)
{
  return MHD_get_daemon_info (frontend->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void
bt_set_frontend_leaving (bt_frontend_t *frontend, bool leaving)
{
  frontend->leaving = leaving;
}

void
bt_set_frontend_idle (bt_frontend_t *frontend, int64_t idle_ms)
{
  frontend->limits.idle_ms = idle_ms;
}

void
bt_set_frontend_body_limit (bt_frontend_t *frontend, size_t body_bytes)
{
  frontend->limits.body_bytes = body_bytes;
}

int64_t
bt_get_frontend_full_ms (const bt_frontend_t *frontend)
{
  return frontend->full ? bt_get_loop_ms (frontend->loop) - frontend->full_since_ms : 0;
}

int32_t
bt_count_frontend_calls (const bt_frontend_t *frontend)
{
  return frontend->calls;
}

const bt_frontend_request_t *
bt_get_frontend_request (const bt_frontend_call_t *call)
{
  return &call->request;
}

const char *
bt_find_frontend_header (const bt_frontend_call_t *call, const char *name)
{
  for (int32_t i = 0; i < call->request.header_count; i++)
    if (strcasecmp (call->request.headers[i].name, name) == 0)
      return call->request.headers[i].value;
  return NULL;
}

void
bt_set_frontend_call_data (bt_frontend_call_t *call, void *data)
{
  call->data = data;
}

void *
bt_get_frontend_call_data (const bt_frontend_call_t *call)
{
  return call->data;
}

void
bt_drop_frontend_call (bt_context_t *ctx, bt_frontend_call_t *call)
{
  (void)ctx;
  if (call == NULL)
    return;
  call->held_by_handler = false;
  if (call->connection == NULL)
    free_call (call);
}
