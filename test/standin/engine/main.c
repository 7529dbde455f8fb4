/** @file
 * Stand-in for a model engine: completions as server-sent events, continuous batching, a load
 * report, a run log, cancelling and resuming of runs, and faults on command.
 *
 *   POST /v1/completions          {"prompt": "...", "max_tokens": N}; header Bilberry-Run is the id
 *   GET  /v1/runs                 the run log
 *   GET  /v1/runs/ID/stream       the stream of a run; with ?from=N from token N on
 *   POST /v1/runs/ID/cancel       cancels a run
 *   GET  /load                    the load report
 *   POST /fault                   {"kind": "fail"|"silent"|"cut"|"slow", "count": N, "after": N};
 *                                 for "slow", count is the factor for the duration of steps
 *
 * Flags: --capacity N, --step-us N, --port N, --life-s N.
 */

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "engine.h"

enum
{
  MAX_BODY_BYTES = 1 << 20,
  DEFAULT_TOKENS = 8,
  DEFAULT_CAPACITY = 64,
  DEFAULT_LIFETIME_S = 600,
  BASE_TEN = 10,
  MS_PER_S = 1000,
  SILENCE_TICK_MS = 100,
};

/** Body of a request as received so far. */
typedef struct upload
{
  char *data;
  size_t bytes;
} upload_t;

/** A stream of a run's tokens to one client. */
typedef struct stream
{
  engine_t *engine;
  engine_run_t *run;
  int32_t next;         /**< Index of the next token. */
  int32_t silent_after; /**< Stalls after this many tokens; -1: never. */
  int32_t cut_after;    /**< Is closed after this many tokens; -1: never. */
  char text[ENGINE_TEXT_BYTES];
  int32_t text_bytes;
  int32_t text_sent;
} stream_t;

static engine_t engine;

static enum MHD_Result
send_json (struct MHD_Connection *connection, unsigned int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  struct MHD_Response *response =
      MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result;

  json_decref (body);
  MHD_add_response_header (response, "Content-Type", "application/json");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static void
wait_for_step (void)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += 1;
  pthread_cond_timedwait (&engine.stepped, &engine.lock, &until);
}

/* Waits until the next token is made. Returns false when the stream must be closed. */
static bool
wait_for_token (stream_t *stream)
{
  bool ready;

  pthread_mutex_lock (&engine.lock);
  while (!engine.stopping && !stream->run->ended && stream->next >= stream->run->tokens_made)
    wait_for_step ();
  while (!engine.stopping && stream->silent_after >= 0 && stream->next >= stream->silent_after)
    wait_for_step ();
  ready = !engine.stopping && !stream->run->cancelled
          && (stream->cut_after < 0 || stream->next < stream->cut_after);
  pthread_mutex_unlock (&engine.lock);
  return ready;
}

static ssize_t
read_stream (void *argument, uint64_t position, char *buffer, size_t max)
{
  stream_t *stream = argument;
  size_t bytes;

  if (stream->text_sent == stream->text_bytes)
    {
      if (stream->next > stream->run->max_tokens)
        return MHD_CONTENT_READER_END_OF_STREAM;
      if (!wait_for_token (stream))
        return MHD_CONTENT_READER_END_WITH_ERROR;
      stream->text_bytes =
          engine_format_token (stream->run, stream->next, stream->text, sizeof stream->text);
      stream->text_sent = 0;
      stream->next++;
    }
  bytes = (size_t)(stream->text_bytes - stream->text_sent);
  if (bytes > max)
    bytes = max;
  memcpy (buffer, stream->text + stream->text_sent, bytes);
  stream->text_sent += (int32_t)bytes;
  return (ssize_t)bytes;
}

/* Returns -1 if the fault does not apply to this call. Otherwise decrements @p count and returns @p
 * after. */
static int32_t
consume_fault (int32_t *count, int32_t after)
{
  if (*count <= 0)
    return -1;
  (*count)--;
  return after;
}

/* Answers with the stream of a run from a token on; faults apply only if faulty is set. */
static enum MHD_Result
send_stream (struct MHD_Connection *connection, engine_run_t *run, int32_t from, bool faulty)
{
  stream_t *stream = calloc (1, sizeof *stream);
  struct MHD_Response *response;
  enum MHD_Result result;

  if (stream == NULL)
    return MHD_NO;
  stream->engine = &engine;
  stream->run = run;
  stream->next = from;
  stream->silent_after = stream->cut_after = -1;
  pthread_mutex_lock (&engine.lock);
  if (faulty)
    {
      stream->silent_after =
          consume_fault (&engine.faults.silent_count, engine.faults.silent_after);
      stream->cut_after = consume_fault (&engine.faults.cut_count, engine.faults.cut_after);
    }
  pthread_mutex_unlock (&engine.lock);
  response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, ENGINE_TEXT_BYTES, read_stream,
                                                stream, free);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  result = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer_completion (struct MHD_Connection *connection, const upload_t *upload)
{
  json_t *body = json_loadb (upload->data, upload->bytes, 0, NULL);
  const char *prompt = json_string_value (json_object_get (body, "prompt"));
  json_t *tokens = json_object_get (body, "max_tokens");
  const char *id = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Bilberry-Run");
  engine_run_t *run;
  bool fail;

  if (prompt == NULL)
    {
      json_decref (body);
      return send_json (connection, MHD_HTTP_BAD_REQUEST,
                        json_pack ("{s:s}", "error", "prompt is missing"));
    }
  pthread_mutex_lock (&engine.lock);
  fail = consume_fault (&engine.faults.fail_count, 0) == 0;
  pthread_mutex_unlock (&engine.lock);
  if (fail)
    {
      json_decref (body);
      return send_json (connection, MHD_HTTP_INTERNAL_SERVER_ERROR,
                        json_pack ("{s:s}", "error", "asked to fail"));
    }
  run = engine_start (&engine, id == NULL ? "" : id, prompt,
                      json_is_integer (tokens) ? (int32_t)json_integer_value (tokens)
                                               : DEFAULT_TOKENS);
  json_decref (body);
  return send_stream (connection, run, 0, true);
}

static enum MHD_Result
answer_runs (struct MHD_Connection *connection)
{
  json_t *runs = json_array ();

  pthread_mutex_lock (&engine.lock);
  for (engine_run_t *run = engine.runs; run != NULL; run = run->next)
    json_array_append_new (runs, json_pack ("{s:s,s:s,s:i,s:i,s:b,s:b}", "run", run->id, "prompt",
                                            run->prompt, "tokens", run->tokens_made, "wanted",
                                            run->max_tokens, "ended", run->ended, "cancelled",
                                            run->cancelled));
  pthread_mutex_unlock (&engine.lock);
  return send_json (connection, MHD_HTTP_OK, json_pack ("{s:o}", "runs", runs));
}

static enum MHD_Result
answer_load (struct MHD_Connection *connection)
{
  json_t *load;

  pthread_mutex_lock (&engine.lock);
  load =
      json_pack ("{s:i,s:i,s:i,s:i,s:I,s:I}", "running", engine.running, "queued", engine.queued,
                 "capacity", engine.capacity, "step_us", engine.step_us * engine.faults.slow_factor,
                 "steps", (json_int_t)engine.steps, "started", (json_int_t)engine.started_runs);
  pthread_mutex_unlock (&engine.lock);
  return send_json (connection, MHD_HTTP_OK, load);
}

static enum MHD_Result
set_fault (struct MHD_Connection *connection, const upload_t *upload)
{
  json_t *body = json_loadb (upload->data, upload->bytes, 0, NULL);
  const char *kind = json_string_value (json_object_get (body, "kind"));
  int32_t count = (int32_t)json_integer_value (json_object_get (body, "count"));
  int32_t after = (int32_t)json_integer_value (json_object_get (body, "after"));
  bool known = true;

  pthread_mutex_lock (&engine.lock);
  if (kind != NULL && strcmp (kind, "fail") == 0)
    engine.faults.fail_count = count;
  else if (kind != NULL && strcmp (kind, "silent") == 0)
    {
      engine.faults.silent_count = count;
      engine.faults.silent_after = after;
    }
  else if (kind != NULL && strcmp (kind, "cut") == 0)
    {
      engine.faults.cut_count = count;
      engine.faults.cut_after = after;
    }
  else if (kind != NULL && strcmp (kind, "slow") == 0)
    engine.faults.slow_factor = count > 0 ? count : 1;
  else
    known = false;
  pthread_mutex_unlock (&engine.lock);
  json_decref (body);
  return send_json (connection, known ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
                    json_pack ("{s:b}", "known", known));
}

static enum MHD_Result
answer_run (struct MHD_Connection *connection, const char *method, const char *path)
{
  char id[ENGINE_ID_BYTES] = "";
  const char *slash = strchr (path, '/');
  const char *from = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "from");
  engine_run_t *run;

  if (slash != NULL && (size_t)(slash - path) < sizeof id)
    memcpy (id, path, (size_t)(slash - path));
  pthread_mutex_lock (&engine.lock);
  run = engine_find (&engine, id);
  if (run != NULL && strcmp (method, "POST") == 0)
    run->cancelled = true;
  pthread_mutex_unlock (&engine.lock);
  if (run == NULL || slash == NULL)
    return send_json (connection, MHD_HTTP_NOT_FOUND, json_pack ("{s:s}", "error", "no such run"));
  if (strcmp (slash, "/stream") == 0)
    return send_stream (connection, run, from == NULL ? 0 : (int32_t)strtol (from, NULL, BASE_TEN),
                        false);
  return send_json (connection, MHD_HTTP_OK, json_pack ("{s:b}", "cancelled", true));
}

static enum MHD_Result
route (struct MHD_Connection *connection,
       const char *url,
       const char *method,
       const upload_t *upload)
{
  static const char *const runs_prefix = "/v1/runs/";

  if (strcmp (url, "/v1/completions") == 0 && strcmp (method, "POST") == 0)
    return answer_completion (connection, upload);
  if (strcmp (url, "/v1/runs") == 0)
    return answer_runs (connection);
  if (strncmp (url, runs_prefix, strlen (runs_prefix)) == 0)
    return answer_run (connection, method, url + strlen (runs_prefix));
  if (strcmp (url, "/load") == 0)
    return answer_load (connection);
  if (strcmp (url, "/fault") == 0)
    return set_fault (connection, upload);
  return send_json (connection, MHD_HTTP_NOT_FOUND, json_pack ("{s:s}", "error", "no such path"));
}

static enum MHD_Result
handle_request (void *argument,
                struct MHD_Connection *connection,
                const char *url,
                const char *method,
                const char *version,
                const char *data,
                size_t *bytes,
                void **state)
{
  upload_t *upload = *state;

  if (upload == NULL)
    {
      *state = upload = calloc (1, sizeof *upload);
      return upload == NULL ? MHD_NO : MHD_YES;
    }
  if (*bytes > 0)
    {
      if (upload->bytes + *bytes > MAX_BODY_BYTES)
        return MHD_NO;
      upload->data = realloc (upload->data, upload->bytes + *bytes);
      memcpy (upload->data + upload->bytes, data, *bytes);
      upload->bytes += *bytes;
      *bytes = 0;
      return MHD_YES;
    }
  return route (connection, url, method, upload);
}

static void
free_upload (void *argument,
             struct MHD_Connection *connection,
             void **state,
             enum MHD_RequestTerminationCode code)
{
  upload_t *upload = *state;

  if (upload == NULL)
    return;
  free (upload->data);
  free (upload);
}

static int64_t
read_flag (int argc, char **argv, const char *name, int64_t fallback)
{
  for (int i = 1; i + 1 < argc; i++)
    if (strcmp (argv[i], name) == 0)
      return strtoll (argv[i + 1], NULL, BASE_TEN);
  return fallback;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  sigset_t signals;
  struct timespec life = { .tv_sec = read_flag (argc, argv, "--life-s", DEFAULT_LIFETIME_S) };
  struct MHD_Daemon *daemon;
  pthread_t stepper;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  engine_init (&engine, (int32_t)read_flag (argc, argv, "--capacity", DEFAULT_CAPACITY),
               (int32_t)read_flag (argc, argv, "--step-us", 0));
  address.sin_port = htons ((uint16_t)read_flag (argc, argv, "--port", 0));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  daemon = MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
                             NULL, NULL, handle_request, NULL, MHD_OPTION_SOCK_ADDR,
                             (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED, free_upload,
                             NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (daemon == NULL)
    {
      fprintf (stderr, "standin-engine: cannot listen on the port\n");
      return 1;
    }
  pthread_create (&stepper, NULL, engine_step_loop, &engine);
  printf ("listening %u\n", MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
  fflush (stdout);
  sigtimedwait (&signals, NULL, &life);
  pthread_mutex_lock (&engine.lock);
  engine.stopping = true;
  pthread_cond_broadcast (&engine.stepped);
  pthread_mutex_unlock (&engine.lock);
  pthread_join (stepper, NULL);
  MHD_stop_daemon (daemon);
  return 0;
}
