#include "exchange.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "bilberrytray/base/counters.h"
#include "bilberrytray/base/histogram.h"
#include "bilberrytray/base/log.h"
#include "bilberrytray/base/received_bytes.h"
#include "bilberrytray/load/answer_budget.h"
#include "bilberrytray/store/http_head.h"

enum
{
  US_PER_MS = 1000,
  URL_BYTES = 64,
  MIN_BODY_CAPACITY = 1024,
  /* libcurl reads a socket until it is empty, which can be several megabytes. Its handler must see
   * the bytes in between, to pause the exchange. */
  TURN_BYTES = 16384,
  /* Endpoints cut off an answer that stays unread for some seconds. Pauses of callers that read are
   * much shorter. */
  UNREAD_MS = 500,
  /* Longest run of bytes without a header line or a byte of a body, such as the extension of a
   * chunk. libcurl does not bound it. It is measured from this many reads without either on. */
  MAX_EMPTY_BYTES = 65536,
  MIN_EMPTY_READS = 2,
  NO_CONTENT_STATUS = 204,
  NOT_MODIFIED_STATUS = 304,
};

typedef struct socket_watch socket_watch_t;

struct bt_exchange
{
  bt_exchange_pool_t *pool;
  bt_exchange_handler_t *handler;
  CURL *curl;
  struct curl_slist *headers;
  char *target;
  size_t answer_bytes;
  socket_watch_t *socket; /* that it uses now; NULL: none */
  bt_exchange_state_t state;
  bt_answer_head_t head;
  bool is_head_request;
  bool is_queued;
  bool dropped;
  bool in_progress;    /* its handler is being called */
  size_t turn_bytes;   /* received since the last call of its handler */
  int32_t empty_reads; /* in sequence that brought no header line and no byte of a body */
  int64_t empty_from;  /* bytes that the socket had received when these were first measured */
  bool paused;         /* no data is to be taken */
  bool held;           /* libcurl keeps data that was not taken, and does not watch the socket */
  int64_t paused_at_ms;
  bool was_unread;         /* a pause of at least UNREAD_MS has ended */
  int64_t unread_until_ms; /* end of the latest such pause */
  CURLcode code;
  char *body;
  size_t body_bytes;
  size_t body_capacity;
  bt_held_answer_t held_answer;
  bt_exchange_t *next_queued;
};

/** A socket that is watched for libcurl. */
struct socket_watch
{
  bt_watch_t watch;
  bt_exchange_pool_t *pool;
  bt_exchange_t *exchange; /* that uses the socket */
  struct socket_watch *next_closed;
};

struct bt_exchange_pool
{
  bt_context_t *ctx;
  bt_event_loop_t *loop;
  bt_exchange_limits_t limits;
  CURLM *multi;
  bt_histogram_t *connect_times;
  bt_answer_budget_t *answers;
  bt_counter_t *ended_counter;
  bt_timer_t timer;
  bt_loop_hook_t hook;
  bt_exchange_t *first_queued; /* exchanges to report progress of, or to free if dropped */
  bt_exchange_t **last_queued;
  socket_watch_t *closed_sockets; /* freed by run_pool: earlier events may refer to them */
};

static void
queue_progress (bt_exchange_t *exchange)
{
  if (exchange->is_queued)
    return;
  exchange->is_queued = true;
  exchange->next_queued = NULL;
  *exchange->pool->last_queued = exchange;
  exchange->pool->last_queued = &exchange->next_queued;
}

static void
free_exchange (bt_exchange_t *exchange)
{
  bt_context_t *ctx = exchange->pool->ctx;

  bt_free (ctx, exchange->target);
  bt_free (ctx, exchange->body);
  bt_free (ctx, exchange);
}

static void
record_connect_time (bt_exchange_pool_t *pool, CURL *curl)
{
  curl_off_t connect_us = 0;
  long connects = 0;

  curl_easy_getinfo (curl, CURLINFO_NUM_CONNECTS, &connects);
  curl_easy_getinfo (curl, CURLINFO_CONNECT_TIME_T, &connect_us);
  if (connects > 0 && connect_us > 0)
    bt_record_duration (pool->connect_times, connect_us / US_PER_MS);
}

/* Ends an exchange that libcurl has finished. libcurl reports success for a connection that closes
 * within the head. */
static void
finish_exchange (bt_exchange_t *exchange, CURLcode code, bool was_sent)
{
  exchange->code = code;
  if (bt_end_http_head (&exchange->head, code))
    {
      exchange->state = BT_EXCHANGE_COMPLETE;
      /* A complete answer is delivered, whatever the others take. */
      bt_set_held_bytes (exchange->pool->answers, &exchange->held_answer, 0);
    }
  else
    exchange->state = was_sent ? BT_EXCHANGE_BROKEN : BT_EXCHANGE_UNSENT;
  if (exchange->head.fault != BT_HEAD_SOUND)
    bt_count_faulty_head (exchange->pool->ctx, &exchange->head);
  queue_progress (exchange);
}

/* Reads from libcurl how exchanges ended. A request of which no byte was sent did not run; after
 * any other failure it may have run. */
static void
collect_results (bt_exchange_pool_t *pool)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (pool->multi, &left)) != NULL)
    {
      bt_exchange_t *exchange = NULL;
      long sent_bytes = 0;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&exchange);
      curl_easy_getinfo (message->easy_handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
      record_connect_time (pool, message->easy_handle);
      /* The write of held data has failed, which libcurl does not report here. */
      if (exchange->state != BT_EXCHANGE_OPEN)
        continue;
      finish_exchange (exchange, message->data.result, sent_bytes > 0);
    }
}

/* Lets libcurl deliver the data that it keeps, and read on. */
static void
take_held_data (bt_exchange_t *exchange)
{
  CURLcode code;

  if (!exchange->held || exchange->state != BT_EXCHANGE_OPEN)
    return;
  exchange->held = false;
  code = curl_easy_pause (exchange->curl, CURLPAUSE_CONT);
  /* libcurl reports a failed write of the data that it kept only here. */
  if (code != CURLE_OK)
    {
      exchange->code = code;
      exchange->state = BT_EXCHANGE_BROKEN;
      queue_progress (exchange);
    }
  bt_request_loop_iteration (exchange->pool->loop);
}

static void
report_progress (bt_exchange_t *exchange)
{
  exchange->turn_bytes = 0;
  exchange->in_progress = true;
  exchange->handler->vtable->on_progress (exchange->handler, exchange);
  exchange->in_progress = false;
  if (exchange->dropped && !exchange->is_queued)
    free_exchange (exchange);
  else if (!exchange->dropped && !exchange->paused)
    take_held_data (exchange);
}

static void
run_pool (bt_loop_hook_t *hook)
{
  bt_exchange_pool_t *pool =
      (bt_exchange_pool_t *)((char *)hook - offsetof (bt_exchange_pool_t, hook));

  collect_results (pool);
  while (pool->first_queued != NULL)
    {
      bt_exchange_t *exchange = pool->first_queued;

      pool->first_queued = exchange->next_queued;
      if (pool->first_queued == NULL)
        pool->last_queued = &pool->first_queued;
      exchange->is_queued = false;
      if (exchange->dropped)
        free_exchange (exchange);
      else
        report_progress (exchange);
    }
  while (pool->closed_sockets != NULL)
    {
      socket_watch_t *watch = pool->closed_sockets;

      pool->closed_sockets = watch->next_closed;
      bt_free (pool->ctx, watch);
    }
}

/* Ends an exchange whose endpoint sends bytes without end that are neither a head nor a body. */
static void
check_empty_read (bt_exchange_t *exchange, int fd)
{
  int64_t received;

  if (exchange->state != BT_EXCHANGE_OPEN || exchange->dropped || exchange->paused || exchange->held
      || ++exchange->empty_reads < MIN_EMPTY_READS)
    return;
  received = bt_count_received_bytes (fd);
  if (exchange->empty_reads == MIN_EMPTY_READS)
    exchange->empty_from = received;
  if (received - exchange->empty_from <= MAX_EMPTY_BYTES)
    return;
  exchange->code = CURLE_RECV_ERROR;
  exchange->state = BT_EXCHANGE_BROKEN;
  queue_progress (exchange);
}

static void
handle_socket_events (bt_watch_t *watch, uint32_t events)
{
  socket_watch_t *socket = (socket_watch_t *)watch;
  int action = 0;
  int running;

  if (watch->fd < 0)
    return;
  if ((events & (EPOLLIN | EPOLLHUP)) != 0)
    action |= CURL_CSELECT_IN;
  if ((events & EPOLLOUT) != 0)
    action |= CURL_CSELECT_OUT;
  if ((events & EPOLLERR) != 0)
    action |= CURL_CSELECT_ERR;
  curl_multi_socket_action (socket->pool->multi, watch->fd, action, &running);
  if (watch->fd >= 0 && socket->exchange != NULL && (action & CURL_CSELECT_IN) != 0)
    check_empty_read (socket->exchange, watch->fd);
}

static void
handle_pool_timer (bt_timer_t *timer)
{
  bt_exchange_pool_t *pool =
      (bt_exchange_pool_t *)((char *)timer - offsetof (bt_exchange_pool_t, timer));
  int running;

  curl_multi_socket_action (pool->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static void
release_socket (socket_watch_t *socket)
{
  if (socket != NULL && socket->exchange != NULL)
    socket->exchange->socket = NULL;
  if (socket != NULL)
    socket->exchange = NULL;
}

static void
assign_socket (socket_watch_t *socket, bt_exchange_t *exchange)
{
  if (socket->exchange == exchange)
    return;
  release_socket (socket);
  release_socket (exchange->socket);
  socket->exchange = exchange;
  exchange->socket = socket;
}

static int
watch_socket (CURL *curl, curl_socket_t fd, int what, void *user, void *socket_user)
{
  bt_exchange_pool_t *pool = user;
  socket_watch_t *socket = socket_user;
  bt_exchange_t *exchange = NULL;
  uint32_t events = 0;

  if (what == CURL_POLL_REMOVE)
    {
      if (socket == NULL)
        return 0;
      release_socket (socket);
      bt_clear_watch (pool->loop, &socket->watch);
      socket->watch.fd = -1;
      socket->next_closed = pool->closed_sockets;
      pool->closed_sockets = socket;
      curl_multi_assign (pool->multi, fd, NULL);
      return 0;
    }
  if (socket == NULL)
    {
      socket = bt_calloc (pool->ctx, 1, sizeof *socket);
      socket->pool = pool;
      socket->watch.fd = fd;
      socket->watch.on_ready = handle_socket_events;
      curl_multi_assign (pool->multi, fd, socket);
    }
  if ((what & CURL_POLL_IN) != 0)
    events |= EPOLLIN;
  if ((what & CURL_POLL_OUT) != 0)
    events |= EPOLLOUT;
  curl_easy_getinfo (curl, CURLINFO_PRIVATE, (char **)&exchange);
  if (exchange != NULL)
    assign_socket (socket, exchange);
  bt_set_watch (pool->loop, &socket->watch, events);
  return 0;
}

static int
set_pool_timer (CURLM *multi, long wait_ms, void *user)
{
  bt_exchange_pool_t *pool = user;

  (void)multi;
  if (wait_ms < 0)
    bt_clear_timer (pool->loop, &pool->timer);
  else
    bt_set_timer (pool->loop, &pool->timer, bt_now_ms (pool->ctx) + wait_ms);
  return 0;
}

bt_exchange_pool_t *
bt_new_exchange_pool (bt_context_t *ctx, bt_event_loop_t *loop, const bt_exchange_limits_t *limits)
{
  bt_exchange_pool_t *pool = bt_calloc (ctx, 1, sizeof *pool);

  pool->ctx = ctx;
  pool->loop = loop;
  pool->limits = *limits;
  pool->connect_times =
      bt_new_histogram (ctx, "bilberry_connect_ms", "New connections to endpoints.");
  pool->answers = bt_new_answer_budget (ctx, limits->answers_bytes);
  pool->ended_counter = bt_find_counter (
      ctx, BT_COUNTER, "bilberry_large_answers_ended_total",
      "Unfinished answers of endpoints that were ended to keep the bound on all of them.", NULL,
      NULL);
  pool->last_queued = &pool->first_queued;
  pool->timer.on_expiry = handle_pool_timer;
  pool->hook.on_iteration = run_pool;
  pool->multi = curl_multi_init ();
  curl_multi_setopt (pool->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (pool->multi, CURLMOPT_SOCKETDATA, pool);
  curl_multi_setopt (pool->multi, CURLMOPT_TIMERFUNCTION, set_pool_timer);
  curl_multi_setopt (pool->multi, CURLMOPT_TIMERDATA, pool);
  curl_multi_setopt (pool->multi, CURLMOPT_MAXCONNECTS, 1L);
  bt_add_loop_hook (loop, &pool->hook);
  return pool;
}

void
bt_drop_exchange_pool (bt_context_t *ctx, bt_exchange_pool_t *pool)
{
  if (pool == NULL)
    return;
  run_pool (&pool->hook);
  curl_multi_cleanup (pool->multi);
  bt_clear_timer (pool->loop, &pool->timer);
  run_pool (&pool->hook);
  bt_drop_histogram (ctx, pool->connect_times);
  bt_drop_answer_budget (ctx, pool->answers);
  bt_free (ctx, pool);
}

/* Ends the largest unfinished answers until all of them are within their bound. */
static void
end_largest_answers (bt_exchange_pool_t *pool)
{
  bt_held_answer_t *held;

  while ((held = bt_find_answer_to_end (pool->answers)) != NULL)
    {
      bt_exchange_t *exchange =
          (bt_exchange_t *)((char *)held - offsetof (bt_exchange_t, held_answer));

      bt_set_held_bytes (pool->answers, held, 0);
      bt_add_counter (pool->ended_counter, 1);
      exchange->code = CURLE_OUT_OF_MEMORY;
      exchange->state = BT_EXCHANGE_BROKEN;
      queue_progress (exchange);
    }
}

static void
resize_body (bt_exchange_t *exchange, size_t capacity)
{
  bt_exchange_pool_t *pool = exchange->pool;

  exchange->body_capacity = capacity;
  exchange->body = bt_realloc (pool->ctx, exchange->body, capacity, 1);
  if (exchange->state == BT_EXCHANGE_OPEN)
    bt_set_held_bytes (pool->answers, &exchange->held_answer, (int64_t)capacity);
}

/* Makes room for more of the body. Returns false if the exchange was ended instead. */
static bool
grow_body (bt_exchange_t *exchange, size_t bytes)
{
  size_t needed = exchange->body_bytes + bytes + 1;
  size_t capacity = 2 * needed + MIN_BODY_CAPACITY;

  if (needed <= exchange->body_capacity)
    return true;
  if (capacity > exchange->answer_bytes + 1)
    capacity = exchange->answer_bytes + 1;
  resize_body (exchange, capacity);
  end_largest_answers (exchange->pool);
  return exchange->state == BT_EXCHANGE_OPEN;
}

static size_t
append_body (char *data, size_t size, size_t count, void *user)
{
  bt_exchange_t *exchange = user;
  size_t bytes = size * count;

  exchange->empty_reads = 0;
  if (exchange->state != BT_EXCHANGE_OPEN)
    return CURL_WRITEFUNC_ERROR;
  if (exchange->paused || exchange->turn_bytes >= TURN_BYTES)
    {
      exchange->held = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  if (exchange->body_bytes + bytes > exchange->answer_bytes || !grow_body (exchange, bytes))
    return CURL_WRITEFUNC_ERROR;
  memcpy (exchange->body + exchange->body_bytes, data, bytes);
  exchange->body_bytes += bytes;
  exchange->turn_bytes += bytes;
  exchange->body[exchange->body_bytes] = '\0';
  queue_progress (exchange);
  return bytes;
}

static size_t
handle_header (char *data, size_t size, size_t count, void *user)
{
  bt_exchange_t *exchange = user;
  size_t bytes = size * count;
  char line[BT_HEAD_LINE_BYTES];
  const char *value;

  /* Behind the head come only trailers, which nothing needs. */
  if (!exchange->head.complete)
    exchange->empty_reads = 0;
  switch (bt_read_head_line (&exchange->head, data, bytes, line, &value))
    {
    case BT_HEAD_LINE_FAULTY:
      return 0;
    case BT_HEAD_LINE_FIELD:
      exchange->handler->vtable->on_header (exchange->handler, line, value);
      break;
    case BT_HEAD_LINE_END:
      queue_progress (exchange);
      break;
    case BT_HEAD_LINE_OTHER:
      break;
    }
  return bytes;
}

/* Without a time limit, the kernel retransmits for many minutes to a host that is gone. */
static int
set_tcp_user_timeout (void *user, curl_socket_t fd, curlsocktype purpose)
{
  const bt_exchange_pool_t *pool = user;
  unsigned int user_timeout_ms = (unsigned int)pool->limits.user_timeout_ms;

  (void)purpose;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
  return CURL_SOCKOPT_OK;
}

static void
set_method (CURL *curl, const bt_exchange_request_t *request)
{
  if (strcmp (request->method, "HEAD") == 0)
    curl_easy_setopt (curl, CURLOPT_NOBODY, 1L);
  else if (request->body_bytes > 0 || strcmp (request->method, "POST") == 0)
    {
      curl_easy_setopt (curl, CURLOPT_POST, 1L);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, request->body_bytes > 0 ? request->body : "");
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_bytes);
    }
  else
    curl_easy_setopt (curl, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, request->method);
}

static void
set_options (bt_exchange_t *exchange, const bt_exchange_request_t *request)
{
  CURL *curl = exchange->curl;
  char url[URL_BYTES];

  snprintf (url, sizeof url, "http://%s/", request->address);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_REQUEST_TARGET, exchange->target);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, (long)exchange->pool->limits.connect_ms);
  curl_easy_setopt (curl, CURLOPT_SOCKOPTFUNCTION, set_tcp_user_timeout);
  curl_easy_setopt (curl, CURLOPT_SOCKOPTDATA, exchange->pool);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, exchange);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, handle_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, exchange);
  curl_easy_setopt (curl, CURLOPT_PRIVATE, exchange);
  set_method (curl, request);
}

bt_exchange_t *
bt_new_exchange (bt_context_t *ctx,
                 bt_exchange_pool_t *pool,
                 const bt_exchange_request_t *request,
                 bt_exchange_handler_t *handler)
{
  static const char *const suppressed[] = { "Accept:", "Content-Type:", "Expect:", "User-Agent:" };
  bt_exchange_t *exchange = bt_calloc (ctx, 1, sizeof *exchange);

  exchange->pool = pool;
  exchange->handler = handler;
  exchange->target = bt_strdup (ctx, request->target);
  exchange->answer_bytes = request->answer_bytes;
  exchange->is_head_request = strcmp (request->method, "HEAD") == 0;
  exchange->curl = curl_easy_init ();
  set_options (exchange, request);
  /* libcurl would add these headers by itself. A header that the caller sent follows later in the
   * list and is sent. */
  for (size_t i = 0; i < sizeof suppressed / sizeof suppressed[0]; i++)
    exchange->headers = curl_slist_append (exchange->headers, suppressed[i]);
  return exchange;
}

void
bt_add_exchange_header (bt_exchange_t *exchange, const char *name, const char *value)
{
  exchange->headers = bt_append_http_field (exchange->pool->ctx, exchange->headers, name, value);
}

void
bt_send_exchange (bt_exchange_t *exchange)
{
  curl_easy_setopt (exchange->curl, CURLOPT_HTTPHEADER, exchange->headers);
  curl_multi_add_handle (exchange->pool->multi, exchange->curl);
}

void
bt_drop_exchange (bt_context_t *ctx, bt_exchange_t *exchange)
{
  bt_exchange_pool_t *pool;

  (void)ctx;
  if (exchange == NULL)
    return;
  pool = exchange->pool;
  bt_set_held_bytes (pool->answers, &exchange->held_answer, 0);
  release_socket (exchange->socket);
  curl_multi_remove_handle (pool->multi, exchange->curl);
  /* libcurl may report the socket once more. */
  release_socket (exchange->socket);
  curl_slist_free_all (exchange->headers);
  exchange->headers = NULL;
  curl_easy_cleanup (exchange->curl);
  exchange->curl = NULL;
  exchange->dropped = true;
  if (!exchange->is_queued && !exchange->in_progress)
    free_exchange (exchange);
}

bt_exchange_state_t
bt_get_exchange_state (const bt_exchange_t *exchange)
{
  return exchange->state;
}

bool
bt_is_exchange_framed (const bt_exchange_t *exchange)
{
  const int32_t status = exchange->head.status;

  return exchange->head.framed || exchange->is_head_request || status == NO_CONTENT_STATUS
         || status == NOT_MODIFIED_STATUS;
}

int32_t
bt_get_exchange_status (const bt_exchange_t *exchange)
{
  return exchange->head.complete ? exchange->head.status : 0;
}

const char *
bt_peek_exchange_body (const bt_exchange_t *exchange, size_t *bytes)
{
  *bytes = exchange->body_bytes;
  return exchange->body == NULL ? "" : exchange->body;
}

void
bt_consume_exchange_body (bt_exchange_t *exchange, size_t bytes)
{
  exchange->body_bytes -= bytes;
  if (exchange->body == NULL)
    return;
  memmove (exchange->body, exchange->body + bytes, exchange->body_bytes);
  exchange->body[exchange->body_bytes] = '\0';
}

/* The buffer has room for what is received in one turn, most of which was passed on. */
static void
shrink_body (bt_exchange_t *exchange)
{
  if (exchange->body == NULL)
    return;
  resize_body (exchange, exchange->body_bytes + 1);
}

/* libcurl is told in the write callback, where it takes effect at once: curl_easy_pause would let
 * it read the socket once more. */
void
bt_pause_exchange (bt_exchange_t *exchange)
{
  if (exchange->paused || exchange->state != BT_EXCHANGE_OPEN)
    return;
  exchange->paused = true;
  exchange->paused_at_ms = bt_get_loop_ms (exchange->pool->loop);
  shrink_body (exchange);
}

void
bt_resume_exchange (bt_exchange_t *exchange)
{
  int64_t now_ms = bt_get_loop_ms (exchange->pool->loop);

  if (!exchange->paused)
    return;
  exchange->paused = false;
  if (now_ms - exchange->paused_at_ms >= UNREAD_MS)
    {
      exchange->was_unread = true;
      exchange->unread_until_ms = now_ms;
    }
  take_held_data (exchange);
}

bool
bt_is_exchange_unread (const bt_exchange_t *exchange)
{
  int64_t now_ms = bt_get_loop_ms (exchange->pool->loop);

  if (exchange->paused && now_ms - exchange->paused_at_ms >= UNREAD_MS)
    return true;
  /* The kernel may still hold bytes that arrived before the endpoint gave up, and while they are
   * passed on, there are further short pauses. */
  return exchange->was_unread && now_ms - exchange->unread_until_ms < UNREAD_MS;
}

const char *
bt_get_exchange_error (const bt_exchange_t *exchange)
{
  return exchange->head.fault != BT_HEAD_SOUND ? bt_describe_head_fault (exchange->head.fault)
                                               : curl_easy_strerror (exchange->code);
}
