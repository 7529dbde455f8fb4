#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "bilberrytray/core/outcome.h"
#include "http_frontend_private.h"

enum
{
  HEADER_CAPACITY_STEP = 16,
  STREAM_BLOCK_BYTES = 4096,
  ANSWER_BLOCK_BYTES = 32768,
  MIN_STREAM_CAPACITY = 512,
  /* Most of the events of all callers that read are smaller than this. */
  KEPT_STREAM_BYTES = 16384,
  HEAD_BYTES = 256,
};

void
bt_append_frontend_header (bt_context_t *ctx,
                           bt_frontend_header_t **headers,
                           int32_t *count,
                           const char *name,
                           const char *value)
{
  if (*count % HEADER_CAPACITY_STEP == 0)
    *headers = bt_realloc (ctx, *headers, (size_t)*count + HEADER_CAPACITY_STEP, sizeof **headers);
  (*headers)[*count].name = bt_strdup (ctx, name);
  (*headers)[*count].value = bt_strdup (ctx, value);
  (*count)++;
}

void
bt_free_frontend_header_list (bt_context_t *ctx, bt_frontend_header_t *headers, int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    {
      bt_free (ctx, headers[i].name);
      bt_free (ctx, headers[i].value);
    }
  bt_free (ctx, headers);
}

void
bt_resume_frontend_call (bt_frontend_call_t *call)
{
  if (call->connection == NULL || !call->suspended)
    return;
  call->suspended = false;
  MHD_resume_connection (call->connection);
  call->frontend->run_requested = true;
  bt_request_loop_iteration (call->frontend->loop);
}

enum MHD_Result
bt_queue_frontend_answer (bt_frontend_call_t *call)
{
  enum MHD_Result result;

  if (call->answer != ANSWER_READY)
    return MHD_NO;
  call->answer = ANSWER_QUEUED;
  for (int32_t i = 0; i < call->answer_header_count; i++)
    MHD_add_response_header (call->response, call->answer_headers[i].name,
                             call->answer_headers[i].value);
  if (call->frontend->leaving)
    MHD_add_response_header (call->response, MHD_HTTP_HEADER_CONNECTION, "close");
  result = MHD_queue_response (call->connection, (unsigned int)call->status, call->response);
  MHD_destroy_response (call->response);
  call->response = NULL;
  return result;
}

void
bt_add_frontend_header (bt_frontend_call_t *call, const char *name, const char *value)
{
  bt_append_frontend_header (call->frontend->ctx, &call->answer_headers, &call->answer_header_count,
                             name, value);
}

static void
set_response (bt_frontend_call_t *call, int32_t status, struct MHD_Response *response)
{
  call->status = status;
  call->response = response;
  call->answer = ANSWER_READY;
  bt_resume_frontend_call (call);
}

/* Takes bytes that wait for the caller. */
static size_t
take_bytes (bt_frontend_call_t *call, char *buffer, size_t max_bytes)
{
  size_t bytes = call->stream_bytes - call->stream_read;
  bt_frontend_handler_t *handler = call->frontend->handler;

  if (bytes > max_bytes)
    bytes = max_bytes;
  memcpy (buffer, call->stream + call->stream_read, bytes);
  call->stream_read += bytes;
  if (bt_take_call_waiting (call, bytes) && call->held_by_handler && call->streaming
      && !call->stream_ended)
    handler->vtable->on_caught_up (handler, call);
  return bytes;
}

static ssize_t
read_answer (void *argument, uint64_t position, char *buffer, size_t max_bytes)
{
  bt_frontend_call_t *call = argument;

  (void)position;
  if (call->stream_ended || call->stream_read == call->stream_bytes)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  return (ssize_t)take_bytes (call, buffer, max_bytes);
}

/* Keeps the answer in the call instead of the library, so that its bytes are counted as they are
 * taken, and it can be cut off. */
static void
answer_in_blocks (bt_frontend_call_t *call, int32_t status, const char *body, size_t body_bytes)
{
  call->stream = bt_memdup (call->frontend->ctx, body, body_bytes);
  call->stream_bytes = body_bytes;
  bt_add_call_waiting (call, body_bytes);
  set_response (
      call, status,
      MHD_create_response_from_callback (body_bytes, ANSWER_BLOCK_BYTES, read_answer, call, NULL));
}

void
bt_answer_frontend_call (bt_frontend_call_t *call,
                         int32_t status,
                         const char *body,
                         size_t body_bytes)
{
  int64_t limit_bytes = call->frontend->limits.call_buffer_bytes;

  if (call->connection == NULL || call->answer != ANSWER_NONE)
    return;
  if (limit_bytes > 0 && (int64_t)body_bytes > limit_bytes)
    {
      bt_set_frontend_received (call, 0);
      answer_in_blocks (call, status, body, body_bytes);
      return;
    }
  bt_set_frontend_received (call, body_bytes);
  set_response (call, status,
                MHD_create_response_from_buffer (body_bytes, (void *)body, MHD_RESPMEM_MUST_COPY));
}

/* Frees the buffer of a stream if it has grown for a caller that was behind. */
static void
empty_stream (bt_frontend_call_t *call)
{
  call->stream_read = call->stream_bytes = 0;
  if (call->stream_capacity <= KEPT_STREAM_BYTES)
    return;
  bt_free (call->frontend->ctx, call->stream);
  call->stream = NULL;
  call->stream_capacity = 0;
}

/* Passes the next bytes of a stream to libmicrohttpd; suspends the connection when there are
 * none. */
static ssize_t
read_stream (void *argument, uint64_t position, char *buffer, size_t max_bytes)
{
  bt_frontend_call_t *call = argument;
  size_t bytes = call->stream_bytes - call->stream_read;

  (void)position;
  if (bytes == 0 && call->stream_ended)
    return call->stream_end == BT_STREAM_COMPLETE ? MHD_CONTENT_READER_END_OF_STREAM
                                                  : MHD_CONTENT_READER_END_WITH_ERROR;
  if (bytes == 0 && call->frontend->dropping)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (bytes == 0)
    {
      call->suspended = true;
      MHD_suspend_connection (call->connection);
      return 0;
    }
  bytes = take_bytes (call, buffer, max_bytes);
  if (call->stream_read == call->stream_bytes)
    empty_stream (call);
  return (ssize_t)bytes;
}

void
bt_begin_frontend_stream (bt_frontend_call_t *call, int32_t status)
{
  if (call->connection == NULL || call->answer != ANSWER_NONE)
    return;
  call->streaming = true;
  set_response (call, status,
                MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                                   read_stream, call, NULL));
}

/* Moves the bytes to the start of the buffer, and lets it grow if this is not enough. Large buffers
 * grow in steps, since they belong to callers that are behind. */
static void
make_stream_room (bt_frontend_call_t *call, size_t bytes)
{
  size_t needed = call->stream_bytes - call->stream_read + bytes;

  if (call->stream_read > 0)
    memmove (call->stream, call->stream + call->stream_read,
             call->stream_bytes - call->stream_read);
  call->stream_bytes -= call->stream_read;
  call->stream_read = 0;
  if (needed <= call->stream_capacity)
    return;
  call->stream_capacity =
      needed > KEPT_STREAM_BYTES ? needed + STREAM_BLOCK_BYTES : 2 * needed + MIN_STREAM_CAPACITY;
  call->stream = bt_realloc (call->frontend->ctx, call->stream, call->stream_capacity, 1);
}

void
bt_push_frontend_stream (bt_frontend_call_t *call, const char *data, size_t bytes)
{
  if (call->connection == NULL || call->stream_ended)
    return;
  if (call->stream_bytes + bytes > call->stream_capacity)
    make_stream_room (call, bytes);
  memcpy (call->stream + call->stream_bytes, data, bytes);
  call->stream_bytes += bytes;
  bt_add_call_waiting (call, bytes);
  bt_resume_frontend_call (call);
}

size_t
bt_count_unread_bytes (const bt_frontend_call_t *call)
{
  return call->stream_bytes - call->stream_read;
}

void
bt_end_frontend_stream (bt_frontend_call_t *call, bt_stream_end_t end)
{
  if (call->connection == NULL || call->stream_ended)
    return;
  call->stream_ended = true;
  call->stream_end = end;
  bt_resume_frontend_call (call);
}

void
bt_break_frontend_call (bt_frontend_call_t *call)
{
  if (call->connection == NULL)
    return;
  if (call->streaming)
    {
      bt_end_frontend_stream (call, BT_STREAM_CUT_OFF);
      return;
    }
  call->answer = ANSWER_ABORTED;
  bt_resume_frontend_call (call);
}

/* The library does not ask for more of an answer while the kernel takes nothing: the connection is
 * shut down, so that the library's next write fails. */
void
bt_abort_frontend_answer (bt_frontend_call_t *call)
{
  /* Also without a connection: a call that stays behind would be found again for ever. */
  bt_discard_call_waiting (call);
  if (call->connection == NULL)
    return;
  call->stream_ended = true;
  call->stream_end = BT_STREAM_CUT_OFF;
  call->stream_read = call->stream_bytes = call->stream_capacity = 0;
  bt_free (call->frontend->ctx, call->stream);
  call->stream = NULL;
  bt_clear_watch (call->frontend->loop, &call->watch);
  bt_resume_frontend_call (call);
  shutdown (call->watch.fd, SHUT_RDWR);
}

/* The library can't answer before it has read the body. */
static void
refuse_partial_call (bt_frontend_call_t *call)
{
  char head[HEAD_BYTES];
  int bytes =
      snprintf (head, sizeof head,
                "HTTP/1.1 %d Service Unavailable\r\nContent-Length: 0\r\n"
                "Connection: close\r\nBilberry-Reason: %s\r\n\r\n",
                bt_get_reason_status (BT_REASON_STOPPING), bt_name_reason (BT_REASON_STOPPING));

  call->answer = ANSWER_ABORTED;
  bt_count_refusal (call->frontend->ctx, BT_REASON_STOPPING);
  send (call->watch.fd, head, (size_t)bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown (call->watch.fd, SHUT_WR);
}

void
bt_refuse_partial_calls (bt_frontend_t *frontend)
{
  for (bt_frontend_call_t *call = frontend->first_call; call != NULL; call = call->next)
    if (call->request.method != NULL && !call->complete && call->answer == ANSWER_NONE)
      refuse_partial_call (call);
}
