#include "bilberrytray/store/http_client.h"

#include <ck_pr.h>
#include <curl/curl.h>
#include <pthread.h>
#include <string.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include "bilberrytray/base/received_bytes.h"
#include "bilberrytray/store/http_head.h"

enum
{
  MS_PER_S = 1000,
  EXTRA_CAPACITY_BYTES = 4096,
  /* For cancellations that bt_wake_http_client does not follow. */
  CANCEL_CHECK_MS = 1000,
  /* Longest run of bytes without a header line or a byte of a body, such as the extension of a
   * chunk, which libcurl does not bound. */
  MAX_EMPTY_BYTES = 65536,
};

struct bt_http_client
{
  bt_context_t *ctx;
  CURL *curl;
  CURLM *multi; /* runs the one handle, so that another thread can end its waits */
  bool failed;  /* the last call */
  struct curl_slist *headers;
  bt_http_limits_t limits;
  const int32_t *cancelled;
  const bt_http_request_t *request;
  char *body;
  size_t body_bytes;
  size_t body_capacity;
  size_t line_start;
  bt_answer_head_t head;
  int fd;             /* of the latest connection; -1: none is open */
  int64_t empty_from; /* bytes read when a run without head and body began; -1: none */
  bool too_large;
  bool ended_by_callback;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_ALL);
}

static void
append_body (bt_http_client_t *client, const char *data, size_t bytes)
{
  if (client->body_bytes + bytes + 1 > client->body_capacity)
    {
      client->body_capacity = 2 * (client->body_bytes + bytes) + EXTRA_CAPACITY_BYTES;
      client->body = bt_realloc (client->ctx, client->body, client->body_capacity, 1);
    }
  memcpy (client->body + client->body_bytes, data, bytes);
  client->body_bytes += bytes;
  client->body[client->body_bytes] = '\0';
}

static bool
deliver_lines (bt_http_client_t *client)
{
  char *end;

  while ((end = memchr (client->body + client->line_start, '\n',
                        client->body_bytes - client->line_start))
         != NULL)
    {
      const char *line = client->body + client->line_start;

      client->line_start = (size_t)(end - client->body) + 1;
      if (client->request->on_line (client->request->line_data, line, (size_t)(end - line)))
        return true;
    }
  return false;
}

static size_t
receive_data (char *data, size_t size, size_t count, void *user)
{
  bt_http_client_t *client = user;
  size_t bytes = size * count;

  client->empty_from = -1;
  if (client->body_bytes + bytes > client->limits.answer_bytes)
    {
      client->too_large = true;
      return CURL_WRITEFUNC_ERROR;
    }
  append_body (client, data, bytes);
  if (client->request->on_line != NULL && deliver_lines (client))
    {
      client->ended_by_callback = true;
      return CURL_WRITEFUNC_ERROR;
    }
  return bytes;
}

static size_t
receive_header (char *data, size_t size, size_t count, void *user)
{
  bt_http_client_t *client = user;
  const bt_http_request_t *request = client->request;
  size_t bytes = size * count;
  char line[BT_HEAD_LINE_BYTES];
  const char *value;
  bt_head_line_t kind = bt_read_head_line (&client->head, data, bytes, line, &value);

  client->empty_from = -1;
  if (kind == BT_HEAD_LINE_FIELD && request->on_header != NULL)
    request->on_header (request->header_data, line, value);
  return kind == BT_HEAD_LINE_FAULTY ? 0 : bytes;
}

static bool
is_cancelled (const bt_http_client_t *client)
{
  return ck_pr_load_int ((const int *)client->cancelled) != 0;
}

/* Returns true while the service sends bytes without end that are neither a head nor a body. */
static bool
receives_nothing_useful (bt_http_client_t *client)
{
  int unread_bytes = 0;
  int64_t received;

  if (client->fd < 0)
    return false;
  received = bt_count_received_bytes (client->fd);
  /* What libcurl has not read yet may be a body. */
  if (received < 0 || ioctl (client->fd, FIONREAD, &unread_bytes) != 0)
    return false;
  if (client->empty_from < 0)
    client->empty_from = received - unread_bytes;
  return received - unread_bytes - client->empty_from > MAX_EMPTY_BYTES;
}

static int
check_progress (void *user, curl_off_t a, curl_off_t b, curl_off_t c, curl_off_t d)
{
  bt_http_client_t *client = user;

  return is_cancelled (client) || receives_nothing_useful (client);
}

static int
note_opened_socket (void *user, curl_socket_t fd, curlsocktype purpose)
{
  bt_http_client_t *client = user;

  (void)purpose;
  client->fd = fd;
  return CURL_SOCKOPT_OK;
}

static int
close_socket (void *user, curl_socket_t fd)
{
  bt_http_client_t *client = user;

  if (client->fd == fd)
    client->fd = -1;
  return close (fd);
}

static void
init_handle (bt_http_client_t *client)
{
  client->curl = curl_easy_init ();
  curl_easy_setopt (client->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (client->curl, CURLOPT_PROXY, "");
  curl_easy_setopt (client->curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (client->curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (client->curl, CURLOPT_CONNECTTIMEOUT_MS, (long)client->limits.connect_ms);
  curl_easy_setopt (client->curl, CURLOPT_WRITEFUNCTION, receive_data);
  curl_easy_setopt (client->curl, CURLOPT_WRITEDATA, client);
  curl_easy_setopt (client->curl, CURLOPT_HEADERFUNCTION, receive_header);
  curl_easy_setopt (client->curl, CURLOPT_HEADERDATA, client);
  curl_easy_setopt (client->curl, CURLOPT_SOCKOPTFUNCTION, note_opened_socket);
  curl_easy_setopt (client->curl, CURLOPT_SOCKOPTDATA, client);
  curl_easy_setopt (client->curl, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (client->curl, CURLOPT_CLOSESOCKETDATA, client);
  curl_easy_setopt (client->curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (client->curl, CURLOPT_XFERINFOFUNCTION, check_progress);
  curl_easy_setopt (client->curl, CURLOPT_XFERINFODATA, client);
}

bt_http_client_t *
bt_new_http_client (bt_context_t *ctx, const bt_http_limits_t *limits, const int32_t *cancelled)
{
  bt_http_client_t *client = bt_calloc (ctx, 1, sizeof *client);

  pthread_once (&curl_once, init_curl);
  client->ctx = ctx;
  client->multi = curl_multi_init ();
  client->fd = -1;
  client->limits = *limits;
  client->cancelled = cancelled;
  client->headers = curl_slist_append (client->headers, "Content-Type: application/json");
  client->headers = curl_slist_append (client->headers, "Expect:");
  return client;
}

void
bt_drop_http_client (bt_context_t *ctx, bt_http_client_t *client)
{
  if (client == NULL)
    return;
  if (client->curl != NULL)
    curl_easy_cleanup (client->curl);
  curl_multi_cleanup (client->multi);
  curl_slist_free_all (client->headers);
  bt_free (ctx, client->body);
  bt_free (ctx, client);
}

static void
prepare_call (bt_http_client_t *client, const bt_http_request_t *request)
{
  bool streamed = request->wait_ms > 0;
  int64_t total_ms = request->total_ms > 0 ? request->total_ms : client->limits.total_ms;
  /* A call with its own limit is a long poll: the server answers only when it has something to
   * report, so the connection may be idle until then. */
  bool may_idle = streamed || request->total_ms > 0;
  long idle_s = (long)((client->limits.idle_ms + MS_PER_S - 1) / MS_PER_S);

  /* See http_head.h for why each call has a new handle. */
  if (client->curl != NULL)
    curl_easy_cleanup (client->curl);
  init_handle (client);
  client->request = request;
  client->body_bytes = 0;
  client->line_start = 0;
  memset (&client->head, 0, sizeof client->head);
  client->empty_from = -1;
  client->too_large = false;
  client->ended_by_callback = false;
  append_body (client, "", 0);
  curl_easy_setopt (client->curl, CURLOPT_URL, request->url);
  curl_easy_setopt (client->curl, CURLOPT_TIMEOUT_MS,
                    (long)(streamed ? request->wait_ms : total_ms));
  curl_easy_setopt (client->curl, CURLOPT_LOW_SPEED_LIMIT, may_idle ? 0L : 1L);
  curl_easy_setopt (client->curl, CURLOPT_LOW_SPEED_TIME, may_idle ? 0L : idle_s);
  curl_easy_setopt (client->curl, CURLOPT_FRESH_CONNECT,
                    request->fresh_connection || client->failed ? 1L : 0L);
  curl_easy_setopt (client->curl, CURLOPT_CUSTOMREQUEST, request->method);
  if (request->body == NULL)
    {
      curl_easy_setopt (client->curl, CURLOPT_HTTPGET, 1L);
      curl_easy_setopt (client->curl, CURLOPT_HTTPHEADER, NULL);
      return;
    }
  curl_easy_setopt (client->curl, CURLOPT_POST, 1L);
  curl_easy_setopt (client->curl, CURLOPT_POSTFIELDS, request->body);
  curl_easy_setopt (client->curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)strlen (request->body));
  curl_easy_setopt (client->curl, CURLOPT_HTTPHEADER, client->headers);
}

static void
set_call_error (bt_http_client_t *client, CURLcode code, bt_error_t *error)
{
  long sent_bytes = 0;

  curl_easy_getinfo (client->curl, CURLINFO_REQUEST_SIZE, &sent_bytes);
  if (client->head.fault != BT_HEAD_SOUND)
    bt_set_error (error, BT_ERROR_CLOSED, "%s: %s", client->request->url,
                  bt_describe_head_fault (client->head.fault));
  else if (client->too_large)
    bt_set_error (error, BT_ERROR_CLOSED, "The answer of %s exceeds %zu bytes",
                  client->request->url, client->limits.answer_bytes);
  else if (sent_bytes == 0)
    bt_set_error (error, BT_ERROR_SYSTEM, "%s could not be reached: %s", client->request->url,
                  curl_easy_strerror (code));
  else
    bt_set_error (error, code == CURLE_OPERATION_TIMEDOUT ? BT_ERROR_TIMEOUT : BT_ERROR_CLOSED,
                  "%s sent no complete answer: %s", client->request->url,
                  curl_easy_strerror (code));
}

/* True if a streamed call ended as intended: on_line ended it, or wait_ms passed after the head
 * was received. */
static bool
is_end_of_stream (bt_http_client_t *client, CURLcode code)
{
  if (client->ended_by_callback)
    return true;
  return client->request->wait_ms > 0 && code == CURLE_OPERATION_TIMEDOUT && client->head.complete;
}

static CURLcode
get_result (bt_http_client_t *client)
{
  int remaining = 0;
  const CURLMsg *message = curl_multi_info_read (client->multi, &remaining);

  return message != NULL && message->msg == CURLMSG_DONE ? message->data.result
                                                         : CURLE_ABORTED_BY_CALLBACK;
}

static CURLcode
perform_call (bt_http_client_t *client)
{
  int running = 1;
  CURLcode code;

  if (curl_multi_add_handle (client->multi, client->curl) != CURLM_OK)
    return CURLE_FAILED_INIT;
  while (curl_multi_perform (client->multi, &running) == CURLM_OK && running > 0
         && !is_cancelled (client))
    curl_multi_poll (client->multi, NULL, 0, CANCEL_CHECK_MS, NULL);
  code = get_result (client);
  curl_multi_remove_handle (client->multi, client->curl);
  return code;
}

void
bt_wake_http_client (bt_http_client_t *client)
{
  curl_multi_wakeup (client->multi);
}

bool
bt_call_http (bt_context_t *ctx,
              bt_http_client_t *client,
              const bt_http_request_t *request,
              bt_http_answer_t *answer,
              bt_error_t *error)
{
  CURLcode code;
  bool sound;
  bool done;

  prepare_call (client, request);
  code = perform_call (client);
  sound = bt_end_http_head (&client->head, code);
  done = sound || is_end_of_stream (client, code);
  if (!done)
    set_call_error (client, code, error);
  /* Never reuse a connection after a failure: when the network path loses the state of a
   * keep-alive connection, every request on it is silently lost, while new connections work. */
  client->failed = !sound;
  answer->status = client->head.complete ? client->head.status : 0;
  answer->body = client->body;
  answer->body_bytes = client->body_bytes;
  return done;
}
