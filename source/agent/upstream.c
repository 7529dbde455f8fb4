#include "upstream.h"

#include <curl/curl.h>
#include <errno.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "bilberrytray/base/http_field.h"
#include "bilberrytray/base/json_text.h"
#include "bilberrytray/base/log.h"
#include "bilberrytray/base/queue.h"
#include "bilberrytray/base/thread.h"
#include "bilberrytray/store/http_head.h"
#include "bilberrytray/wire/frame.h"

enum
{
  URL_BYTES = 512,
  RUN_ID_BYTES = 80,
  QUEUE_CAPACITY = 4096,
  POLL_MS = 20,
  MAX_LOAD_BYTES = 65536,
  MAX_EVENT_BYTES = 1 << 20,
  MAX_CACHED_CONNECTIONS = 256,
  HTTP_OK = 200,
};

/* Headers that the agent sets itself. */
static const char *const run_header = "Bilberry-Run";
static const char *const priority_header = "Bilberry-Priority";

static const char *const event_terminator = "\n\n";
static const char *const done_event = "data: [DONE]";

/** The purpose of a transfer. */
typedef enum transfer_kind
{
  TRANSFER_RUN = 0,
  TRANSFER_LOAD,   /**< Reads a load report. */
  TRANSFER_CANCEL, /**< Cancels an abandoned run at the engine. */
} transfer_kind_t;

/** A run or another transfer at the endpoint. Once taken from the queue, only the upstream's thread
 * uses it. */
struct bt_upstream_run
{
  bt_upstream_t *upstream;
  uint64_t run;
  char run_id[RUN_ID_BYTES];
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  size_t body_bytes;
  char *method;
  char *target;
  char *content_type;    /**< Of the answer; NULL without one. */
  bool invalid;          /**< The request can't be sent as it is. */
  bt_buffer_t received;  /**< Bytes after the last complete event. */
  bt_answer_head_t head; /**< Of the present connection. */
  bool head_reported;
  bool is_event_stream; /**< The answer is a server-sent event stream. */
  bool done;            /**< The final event was received. */
  transfer_kind_t kind;
  int64_t event_count; /**< Complete events forwarded. */
  int64_t last_received_ms;
  int32_t resumes;
  struct bt_upstream_run *next;
};

typedef struct bt_upstream_run transfer_t;

/** A command from another thread to the upstream's thread. */
typedef struct command
{
  transfer_t *start; /**< The run to start; NULL: cancel the run named below. */
  uint64_t run;
} command_t;

struct bt_upstream
{
  bt_context_t *ctx;
  bt_upstream_options_t options;
  CURLM *multi;
  bt_queue_t *commands;
  transfer_t *transfers;
  int64_t load_requested_ms;
  bool load_pending;
  pthread_t thread;
  atomic_bool stopping;
};

static void
drop_transfer (bt_context_t *ctx, transfer_t *transfer)
{
  if (transfer->easy != NULL)
    curl_easy_cleanup (transfer->easy);
  curl_slist_free_all (transfer->headers);
  bt_clear_buffer (ctx, &transfer->received);
  bt_free (ctx, transfer->content_type);
  bt_free (ctx, transfer->method);
  bt_free (ctx, transfer->target);
  bt_free (ctx, transfer->body);
  bt_free (ctx, transfer);
}

static void
report_head (transfer_t *transfer)
{
  bt_upstream_handler_t *handler = transfer->upstream->options.handler;
  const int32_t status = transfer->head.status;
  const char *type = transfer->content_type;

  if (transfer->head_reported)
    return;
  if (type == NULL)
    type = "application/octet-stream";
  transfer->is_event_stream =
      transfer->upstream->options.is_model && status == HTTP_OK
      && strncmp (type, "text/event-stream", strlen ("text/event-stream")) == 0;
  transfer->head_reported = true;
  handler->vtable->on_head (handler, transfer->run, status, type);
}

static void
report_piece (transfer_t *transfer, const void *data, size_t bytes)
{
  bt_upstream_handler_t *handler = transfer->upstream->options.handler;

  handler->vtable->on_piece (handler, transfer->run, data, bytes);
}

/* Forwards complete events only, so that a resumed stream continues at an event boundary and a
 * partial event is never followed by the start of another. */
static void
report_events (transfer_t *transfer)
{
  for (;;)
    {
      const char *start = (const char *)transfer->received.data + transfer->received.start;
      size_t buffered = bt_get_buffer_bytes (&transfer->received);
      const char *end = buffered == 0
                            ? NULL
                            : memmem (start, buffered, event_terminator, strlen (event_terminator));
      size_t bytes;

      if (end == NULL)
        return;
      bytes = (size_t)(end - start) + strlen (event_terminator);
      if (strncmp (start, done_event, strlen (done_event)) == 0)
        transfer->done = true;
      else
        transfer->event_count++;
      report_piece (transfer, start, bytes);
      bt_consume_buffer (&transfer->received, bytes);
    }
}

static size_t
on_body (char *data, size_t size, size_t count, void *argument)
{
  transfer_t *transfer = argument;
  bt_context_t *ctx = transfer->upstream->ctx;
  size_t bytes = size * count;

  transfer->last_received_ms = bt_now_ms (ctx);
  if (transfer->kind != TRANSFER_RUN)
    {
      if (bt_get_buffer_bytes (&transfer->received) + bytes > MAX_LOAD_BYTES)
        return 0;
      bt_append_buffer (ctx, &transfer->received, data, bytes);
      return bytes;
    }
  report_head (transfer);
  if (!transfer->is_event_stream)
    {
      report_piece (transfer, data, bytes);
      return bytes;
    }
  if (bt_get_buffer_bytes (&transfer->received) + bytes > MAX_EVENT_BYTES)
    return 0;
  bt_append_buffer (ctx, &transfer->received, data, bytes);
  report_events (transfer);
  return bytes;
}

static void
read_field (transfer_t *transfer, const char *name, const char *value)
{
  bt_context_t *ctx = transfer->upstream->ctx;

  if (strcasecmp (name, "Content-Type") != 0)
    return;
  bt_free (ctx, transfer->content_type);
  transfer->content_type = bt_strdup (ctx, value);
}

static size_t
on_header (char *data, size_t size, size_t count, void *argument)
{
  transfer_t *transfer = argument;
  size_t bytes = size * count;
  char line[BT_HEAD_LINE_BYTES];
  const char *value;

  switch (bt_read_head_line (&transfer->head, data, bytes, line, &value))
    {
    case BT_HEAD_LINE_FAULTY:
      return 0;
    case BT_HEAD_LINE_FIELD:
      read_field (transfer, line, value);
      return bytes;
    case BT_HEAD_LINE_END:
      /* What follows a refusal to resume a stream is not the rest of the stream. */
      return transfer->head_reported && transfer->head.status != HTTP_OK ? 0 : bytes;
    default:
      return bytes;
    }
}

static void
create_easy_handle (transfer_t *transfer, const char *url)
{
  const bt_upstream_options_t *options = &transfer->upstream->options;
  CURL *easy = curl_easy_init ();

  transfer->easy = easy;
  memset (&transfer->head, 0, sizeof transfer->head);
  transfer->last_received_ms = bt_now_ms (transfer->upstream->ctx);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)options->connect_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
}

static void
create_run_handle (transfer_t *transfer)
{
  create_easy_handle (transfer, transfer->upstream->options.url);
  /* In a URL, libcurl would cut the target at a "#" and shorten dot segments. */
  curl_easy_setopt (transfer->easy, CURLOPT_REQUEST_TARGET, transfer->target);
  if (transfer->body_bytes > 0 || strcmp (transfer->method, "POST") == 0)
    {
      curl_easy_setopt (transfer->easy, CURLOPT_POSTFIELDS,
                        transfer->body == NULL ? "" : transfer->body);
      curl_easy_setopt (transfer->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)transfer->body_bytes);
    }
  curl_easy_setopt (transfer->easy, CURLOPT_CUSTOMREQUEST, transfer->method);
  /* An idle connection may have been dropped by a device on the network path. A request sent on it
   * could be lost, and libcurl resends a request on a new connection when a reused one is closed.
   * That would start a run twice, so each run uses a connection of its own. */
  curl_easy_setopt (transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (transfer->easy, CURLOPT_FORBID_REUSE, 1L);
}

static void
add_transfer (bt_upstream_t *upstream, transfer_t *transfer)
{
  transfer->next = upstream->transfers;
  upstream->transfers = transfer;
  curl_multi_add_handle (upstream->multi, transfer->easy);
}

static void
remove_transfer (bt_upstream_t *upstream, transfer_t *transfer)
{
  transfer_t **position = &upstream->transfers;

  while (*position != transfer)
    position = &(*position)->next;
  *position = transfer->next;
  curl_multi_remove_handle (upstream->multi, transfer->easy);
}

/* An engine continues a run whose stream nobody reads. An abandoned run must be cancelled there, or
 * it occupies a slot that the agent considers free. Its output so far is unaffected. */
static void
cancel_at_engine (bt_upstream_t *upstream, const transfer_t *abandoned)
{
  transfer_t *transfer;
  char url[URL_BYTES];

  if (!upstream->options.is_model)
    return;
  transfer = bt_calloc (upstream->ctx, 1, sizeof *transfer);
  transfer->upstream = upstream;
  transfer->kind = TRANSFER_CANCEL;
  snprintf (url, sizeof url, "%s/v1/runs/%s/cancel", upstream->options.url, abandoned->run_id);
  create_easy_handle (transfer, url);
  curl_easy_setopt (transfer->easy, CURLOPT_POSTFIELDS, "");
  add_transfer (upstream, transfer);
}

static void
end_transfer (bt_upstream_t *upstream, transfer_t *transfer, bt_upstream_result_t result)
{
  bt_upstream_handler_t *handler = upstream->options.handler;
  uint64_t run = transfer->run;

  if (result != BT_UPSTREAM_COMPLETE && result != BT_UPSTREAM_NOT_SENT)
    cancel_at_engine (upstream, transfer);
  remove_transfer (upstream, transfer);
  drop_transfer (upstream->ctx, transfer);
  handler->vtable->on_end (handler, run, result);
}

/* Reopens the run's stream after the last complete event. This requests the rest of the same run
 * and never starts one. */
static bool
resume_transfer (bt_upstream_t *upstream, transfer_t *transfer)
{
  char url[URL_BYTES];

  if (!transfer->is_event_stream || transfer->resumes >= upstream->options.max_resumes)
    return false;
  transfer->resumes++;
  curl_multi_remove_handle (upstream->multi, transfer->easy);
  curl_easy_cleanup (transfer->easy);
  bt_clear_buffer (upstream->ctx, &transfer->received);
  snprintf (url, sizeof url, "%s/v1/runs/%s/stream?from=%lld", upstream->options.url,
            transfer->run_id, (long long)transfer->event_count);
  create_easy_handle (transfer, url);
  curl_easy_setopt (transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (transfer->easy, CURLOPT_FORBID_REUSE, 1L);
  curl_multi_add_handle (upstream->multi, transfer->easy);
  bt_log (upstream->ctx, BT_LOG_INFO, BT_PART_ENGINE, "Resuming run %s after event %lld.",
          transfer->run_id, (long long)transfer->event_count);
  return true;
}

static void
finish_load (bt_upstream_t *upstream, transfer_t *transfer, bool sound)
{
  bt_upstream_handler_t *handler = upstream->options.handler;
  bt_upstream_load_t load = { 0 };
  json_t *body = bt_load_json ((const char *)transfer->received.data + transfer->received.start,
                               bt_get_buffer_bytes (&transfer->received), 0, NULL);

  upstream->load_pending = false;
  if (sound && transfer->head.status == HTTP_OK && json_is_object (body))
    {
      load.running = (int32_t)json_integer_value (json_object_get (body, "running"));
      load.queued = (int32_t)json_integer_value (json_object_get (body, "queued"));
      load.capacity = (int32_t)json_integer_value (json_object_get (body, "capacity"));
      load.step_us = (int32_t)json_integer_value (json_object_get (body, "step_us"));
      load.read_ms = bt_now_ms (upstream->ctx);
      handler->vtable->on_load (handler, &load);
    }
  json_decref (body);
  remove_transfer (upstream, transfer);
  drop_transfer (upstream->ctx, transfer);
}

static void
finish_auxiliary (bt_upstream_t *upstream, transfer_t *transfer, bool sound)
{
  if (transfer->kind == TRANSFER_LOAD)
    {
      finish_load (upstream, transfer, sound);
      return;
    }
  remove_transfer (upstream, transfer);
  drop_transfer (upstream->ctx, transfer);
}

/* Judges the answer of a transfer that has ended. Returns true if it is complete. */
static bool
end_answer (bt_upstream_t *upstream, transfer_t *transfer, CURLcode code)
{
  const bool sound = bt_end_http_head (&transfer->head, code);
  const bt_head_fault_t fault = transfer->head.fault;

  if (fault != BT_HEAD_SOUND)
    {
      bt_count_faulty_head (upstream->ctx, &transfer->head);
      bt_log (upstream->ctx, BT_LOG_WARNING, BT_PART_ENGINE, "Faulty answer to %s %s: %s",
              transfer->kind == TRANSFER_RUN ? "run" : "an auxiliary request", transfer->run_id,
              bt_describe_head_fault (fault));
    }
  return sound;
}

static void
finish_transfer (bt_upstream_t *upstream, transfer_t *transfer, CURLcode code)
{
  const bool sound = end_answer (upstream, transfer, code);
  bool never_connected;

  if (transfer->kind != TRANSFER_RUN)
    {
      finish_auxiliary (upstream, transfer, sound);
      return;
    }
  never_connected = code == CURLE_COULDNT_CONNECT && transfer->resumes == 0;
  if (never_connected)
    {
      end_transfer (upstream, transfer, BT_UPSTREAM_NOT_SENT);
      return;
    }
  if (sound)
    report_head (transfer);
  /* A stream without its final event was cut off, even if the connection closed cleanly. */
  if (sound && (!transfer->is_event_stream || transfer->done))
    end_transfer (upstream, transfer, BT_UPSTREAM_COMPLETE);
  else if (!resume_transfer (upstream, transfer))
    end_transfer (upstream, transfer, BT_UPSTREAM_FAILED);
}

static void
finish_transfers (bt_upstream_t *upstream)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (upstream->multi, &left)) != NULL)
    {
      transfer_t *transfer = NULL;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&transfer);
      finish_transfer (upstream, transfer, code);
    }
}

static void
check_idle_transfers (bt_upstream_t *upstream)
{
  int64_t now_ms = bt_now_ms (upstream->ctx);
  transfer_t *next;

  for (transfer_t *transfer = upstream->transfers; transfer != NULL; transfer = next)
    {
      next = transfer->next;
      if (now_ms - transfer->last_received_ms <= upstream->options.idle_ms)
        continue;
      if (transfer->kind != TRANSFER_RUN)
        finish_auxiliary (upstream, transfer, false);
      else if (!resume_transfer (upstream, transfer))
        end_transfer (upstream, transfer, BT_UPSTREAM_SILENT);
    }
}

static void
request_load (bt_upstream_t *upstream)
{
  int64_t now_ms = bt_now_ms (upstream->ctx);
  transfer_t *transfer;
  char url[URL_BYTES];

  if (upstream->load_pending || now_ms - upstream->load_requested_ms < upstream->options.load_ms)
    return;
  upstream->load_pending = true;
  upstream->load_requested_ms = now_ms;
  transfer = bt_calloc (upstream->ctx, 1, sizeof *transfer);
  transfer->upstream = upstream;
  transfer->kind = TRANSFER_LOAD;
  snprintf (url, sizeof url, "%s/load", upstream->options.url);
  create_easy_handle (transfer, url);
  add_transfer (upstream, transfer);
}

static void
cancel_run (bt_upstream_t *upstream, uint64_t run)
{
  for (transfer_t *transfer = upstream->transfers; transfer != NULL; transfer = transfer->next)
    if (transfer->kind == TRANSFER_RUN && transfer->run == run)
      {
        end_transfer (upstream, transfer, BT_UPSTREAM_CANCELLED);
        return;
      }
}

static void
start_run (bt_upstream_t *upstream, transfer_t *transfer)
{
  bt_upstream_handler_t *handler = upstream->options.handler;
  const uint64_t run = transfer->run;

  if (!transfer->invalid)
    {
      create_run_handle (transfer);
      add_transfer (upstream, transfer);
      return;
    }
  bt_log (upstream->ctx, BT_LOG_WARNING, BT_PART_ENGINE,
          "Run %s is not sent: its request is not valid HTTP.", transfer->run_id);
  drop_transfer (upstream->ctx, transfer);
  handler->vtable->on_end (handler, run, BT_UPSTREAM_NOT_SENT);
}

static void
execute_commands (bt_upstream_t *upstream)
{
  command_t *command;

  while ((command = bt_pop_queue (upstream->commands)) != NULL)
    {
      if (command->start == NULL)
        cancel_run (upstream, command->run);
      else
        start_run (upstream, command->start);
      bt_free (upstream->ctx, command);
    }
}

static void *
run_upstream (void *argument)
{
  bt_upstream_t *upstream = argument;
  int running;

  while (!atomic_load (&upstream->stopping))
    {
      execute_commands (upstream);
      request_load (upstream);
      curl_multi_perform (upstream->multi, &running);
      finish_transfers (upstream);
      check_idle_transfers (upstream);
      curl_multi_poll (upstream->multi, NULL, 0, POLL_MS, NULL);
    }
  return NULL;
}

bt_upstream_t *
bt_new_upstream (bt_context_t *ctx, const bt_upstream_options_t *options, bt_error_t *error)
{
  bt_upstream_t *upstream = bt_calloc (ctx, 1, sizeof *upstream);

  upstream->ctx = ctx;
  upstream->options = *options;
  upstream->multi = curl_multi_init ();
  upstream->commands = bt_new_queue (ctx, QUEUE_CAPACITY);
  curl_multi_setopt (upstream->multi, CURLMOPT_MAXCONNECTS, (long)MAX_CACHED_CONNECTIONS);
  if (!bt_start_thread (ctx, &upstream->thread, "upstream", run_upstream, upstream))
    {
      bt_set_error (error, BT_ERROR_SYSTEM, "Cannot start a thread: %s.", strerror (errno));
      curl_multi_cleanup (upstream->multi);
      bt_drop_queue (ctx, upstream->commands);
      bt_free (ctx, upstream);
      return NULL;
    }
  return upstream;
}

void
bt_drop_upstream (bt_context_t *ctx, bt_upstream_t *upstream)
{
  command_t *command;

  if (upstream == NULL)
    return;
  atomic_store (&upstream->stopping, true);
  curl_multi_wakeup (upstream->multi);
  pthread_join (upstream->thread, NULL);
  while ((command = bt_pop_queue (upstream->commands)) != NULL)
    {
      if (command->start != NULL)
        drop_transfer (ctx, command->start);
      bt_free (ctx, command);
    }
  while (upstream->transfers != NULL)
    {
      transfer_t *transfer = upstream->transfers;

      remove_transfer (upstream, transfer);
      drop_transfer (ctx, transfer);
    }
  curl_multi_cleanup (upstream->multi);
  bt_drop_queue (ctx, upstream->commands);
  bt_free (ctx, upstream);
}

static void
add_header (transfer_t *transfer, const char *name, const char *value)
{
  if (!bt_is_field_name (name, strlen (name)) || !bt_is_field_value (value, strlen (value)))
    transfer->invalid = true;
  transfer->headers =
      bt_append_http_field (transfer->upstream->ctx, transfer->headers, name, value);
}

static bool
push_command (bt_context_t *ctx, bt_upstream_t *upstream, transfer_t *start, uint64_t run)
{
  command_t *command = bt_calloc (ctx, 1, sizeof *command);

  command->start = start;
  command->run = run;
  if (!bt_push_queue (upstream->commands, command))
    {
      bt_free (ctx, command);
      return false;
    }
  curl_multi_wakeup (upstream->multi);
  return true;
}

/* Joins the path of the endpoint's URL, if it has one, and the target of a request. */
static char *
join_target (bt_context_t *ctx, const char *url, const char *target)
{
  const char *host = strstr (url, "://");
  const char *path = strchr (host == NULL ? url : host + strlen ("://"), '/');
  const size_t bytes = (path == NULL ? 0 : strlen (path)) + strlen (target) + 1;
  char *joined = bt_calloc (ctx, bytes, 1);

  snprintf (joined, bytes, "%s%s", path == NULL ? "" : path, target);
  return joined;
}

bt_upstream_run_t *
bt_new_upstream_run (bt_context_t *ctx,
                     bt_upstream_t *upstream,
                     const bt_upstream_request_t *request)
{
  static const char *const priorities[] = { "low", "normal", "high" };
  transfer_t *transfer = bt_calloc (ctx, 1, sizeof *transfer);

  transfer->upstream = upstream;
  transfer->run = request->run;
  snprintf (transfer->run_id, sizeof transfer->run_id, "%s", request->run_id);
  transfer->method = bt_strdup (ctx, request->method);
  transfer->target = join_target (ctx, upstream->options.url, request->target);
  transfer->invalid = !bt_is_request_target (request->target)
                      || !bt_is_field_name (request->method, strlen (request->method));
  transfer->body = bt_memdup (ctx, request->body, request->body_bytes);
  transfer->body_bytes = request->body_bytes;
  for (int32_t i = 0; i < request->header_count; i++)
    if (strcasecmp (request->headers[i].name, run_header) != 0
        && strcasecmp (request->headers[i].name, priority_header) != 0)
      add_header (transfer, request->headers[i].name, request->headers[i].value);
  add_header (transfer, run_header, request->run_id);
  add_header (transfer, priority_header, priorities[request->priority]);
  /* Otherwise libcurl waits for "100 Continue" before it sends a larger body. */
  transfer->headers = curl_slist_append (transfer->headers, "Expect:");
  return transfer;
}

void
bt_drop_upstream_run (bt_context_t *ctx, bt_upstream_run_t *run)
{
  if (run != NULL)
    drop_transfer (ctx, run);
}

bool
bt_start_upstream_run (bt_context_t *ctx, bt_upstream_t *upstream, bt_upstream_run_t *run)
{
  return push_command (ctx, upstream, run, run->run);
}

void
bt_cancel_upstream_run (bt_context_t *ctx, bt_upstream_t *upstream, uint64_t run)
{
  push_command (ctx, upstream, NULL, run);
}
