/** @file
 * A stand-in for a model engine: completions with server-sent events, continuous batching, load
 * report, list, cancel and resume of runs, a run log, and faults on command.
 *
 *   POST /v1/completions  {"prompt": "...", "max_tokens": N}   header Bilberry-Run names the run
 *   GET  /v1/runs         the run log     GET /v1/runs/ID/stream?from=N   the rest of a run's
 * stream POST /v1/runs/ID/cancel               GET /load               POST /fault {"kind": ...,
 * "count": N}
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
  DEFAULT_LIFE_S = 600,
  BASE_TEN = 10,
  MS_PER_S = 1000,
  SILENCE_TICK_MS = 100,
};

/** One request's upload. */
typedef struct upload
{
  char *data;
  size_t bytes;
} upload_t;

/** One stream of a run's tokens. */
typedef struct stream
{
  engine_t *engine;
  engine_run_t *run;
  int32_t next;
  int32_t silent_after; /**< -1: never. */
  int32_t cut_after;
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
wait_step (void)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += 1;
  pthread_cond_timedwait (&engine.stepped, &engine.lock, &until);
}

static bool
prepare_token (stream_t *stream)
{
  bool ready;

  pthread_mutex_lock (&engine.lock);
  while (!engine.stopping && !stream->run->ended && stream->next >= stream->run->tokens_made)
    wait_step ();
  while (!engine.stopping && stream->silent_after >= 0 && stream->next >= stream->silent_after)
    wait_step ();
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
      if (stream->next > stream->run->tokens_wanted)
        return MHD_CONTENT_READER_END_OF_STREAM;
      if (!prepare_token (stream))
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

static int32_t
take_fault (int32_t *count, int32_t after)
{
  if (*count <= 0)
    return -1;
  (*count)--;
  return after;
}

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
      stream->silent_after = take_fault (&engine.faults.silent_count, engine.faults.silent_after);
      stream->cut_after = take_fault (&engine.faults.cut_count, engine.faults.cut_after);
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
complete (struct MHD_Connection *connection, const upload_t *upload)
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
  fail = take_fault (&engine.faults.fail_count, 0) == 0;
  pthread_mutex_unlock (&engine.lock);
  if (fail)
    {
      json_decref (body);
      return send_json (connection, MHD_HTTP_INTERNAL_SERVER_ERROR,
                        json_pack ("{s:s}", "error", "asked to fail"));
    }
  run = engine_start (&engine, id == NULL ? "" : id, engine_hash (prompt, strlen (prompt)),
                      json_is_integer (tokens) ? (int32_t)json_integer_value (tokens)
                                               : DEFAULT_TOKENS);
  json_decref (body);
  return send_stream (connection, run, 0, true);
}

static enum MHD_Result
list_runs (struct MHD_Connection *connection)
{
  json_t *runs = json_array ();

  pthread_mutex_lock (&engine.lock);
  for (engine_run_t *run = engine.runs; run != NULL; run = run->next)
    json_array_append_new (runs, json_pack ("{s:s,s:i,s:i,s:b,s:b}", "run", run->id, "tokens",
                                            run->tokens_made, "wanted", run->tokens_wanted, "ended",
                                            run->ended, "cancelled", run->cancelled));
  pthread_mutex_unlock (&engine.lock);
  return send_json (connection, MHD_HTTP_OK, json_pack ("{s:o}", "runs", runs));
}

static enum MHD_Result
report_load (struct MHD_Connection *connection)
{
  json_t *load;

  pthread_mutex_lock (&engine.lock);
  load =
      json_pack ("{s:i,s:i,s:i,s:i,s:I,s:I}", "running", engine.running, "queued", engine.waiting,
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
serve_run (struct MHD_Connection *connection, const char *method, const char *rest)
{
  char id[ENGINE_ID_BYTES] = "";
  const char *slash = strchr (rest, '/');
  const char *from = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "from");
  engine_run_t *run;

  if (slash != NULL && (size_t)(slash - rest) < sizeof id)
    memcpy (id, rest, (size_t)(slash - rest));
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
    return complete (connection, upload);
  if (strcmp (url, "/v1/runs") == 0)
    return list_runs (connection);
  if (strncmp (url, runs_prefix, strlen (runs_prefix)) == 0)
    return serve_run (connection, method, url + strlen (runs_prefix));
  if (strcmp (url, "/load") == 0)
    return report_load (connection);
  if (strcmp (url, "/fault") == 0)
    return set_fault (connection, upload);
  return send_json (connection, MHD_HTTP_NOT_FOUND, json_pack ("{s:s}", "error", "no such path"));
}

static enum MHD_Result
handle (void *argument,
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
complete_request (void *argument,
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
read_option (int argc, char **argv, const char *name, int64_t otherwise)
{
  for (int i = 1; i + 1 < argc; i++)
    if (strcmp (argv[i], name) == 0)
      return strtoll (argv[i + 1], NULL, BASE_TEN);
  return otherwise;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  sigset_t signals;
  struct timespec life = { .tv_sec = read_option (argc, argv, "--life-s", DEFAULT_LIFE_S) };
  struct MHD_Daemon *daemon;
  pthread_t stepper;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  engine_init (&engine, (int32_t)read_option (argc, argv, "--capacity", DEFAULT_CAPACITY),
               (int32_t)read_option (argc, argv, "--step-us", 0));
  address.sin_port = htons ((uint16_t)read_option (argc, argv, "--port", 0));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle, NULL,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED,
      complete_request, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (daemon == NULL)
    {
      fprintf (stderr, "standin-engine: can't listen\n");
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
