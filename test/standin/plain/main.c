/** @file
 * A stand-in for a plain service: answers any POST with a digest of what it got, and logs each
 * call.
 *
 *   POST /any        the service      GET /log   {"calls":[{"run":"..."}]}
 *   POST /fault      {"kind":"fail"|"slow","count":N,"delay_ms":N}
 */

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  MAX_BODY_BYTES = 1 << 20,
  DEFAULT_LIFE_S = 600,
  BASE_TEN = 10,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
};

typedef struct upload
{
  char *data;
  size_t bytes;
} upload_t;

typedef struct service
{
  pthread_mutex_t lock;
  json_t *calls;
  int32_t running;
  int32_t fail_count;
  int32_t slow_count;
  int64_t delay_ms;
} service_t;

static service_t service = { .lock = PTHREAD_MUTEX_INITIALIZER };

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
pause_ms (int64_t delay_ms)
{
  struct timespec pause = { delay_ms / MS_PER_S, delay_ms % MS_PER_S * NS_PER_MS };

  nanosleep (&pause, NULL);
}

static enum MHD_Result
run_call (struct MHD_Connection *connection, const char *url, const upload_t *upload)
{
  const char *run = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "Bilberry-Run");
  int64_t delay_ms = 0;
  bool fail = false;
  unsigned int sum = 0;

  pthread_mutex_lock (&service.lock);
  if (service.fail_count > 0)
    {
      service.fail_count--;
      fail = true;
    }
  else
    json_array_append_new (service.calls, json_pack ("{s:s}", "run", run == NULL ? "" : run));
  if (service.slow_count > 0)
    {
      service.slow_count--;
      delay_ms = service.delay_ms;
    }
  service.running++;
  pthread_mutex_unlock (&service.lock);
  if (delay_ms > 0)
    pause_ms (delay_ms);
  for (size_t i = 0; i < upload->bytes; i++)
    sum = sum * 31 + (unsigned char)upload->data[i];
  pthread_mutex_lock (&service.lock);
  service.running--;
  pthread_mutex_unlock (&service.lock);
  if (fail)
    return send_json (connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                      json_pack ("{s:s}", "error", "asked to fail"));
  return send_json (connection, MHD_HTTP_OK,
                    json_pack ("{s:s,s:i,s:i}", "path", url, "bytes", (int)upload->bytes, "sum",
                               (int)(sum & 0xffffffU)));
}

static enum MHD_Result
set_fault (struct MHD_Connection *connection, const upload_t *upload)
{
  json_t *body = json_loadb (upload->data, upload->bytes, 0, NULL);
  const char *kind = json_string_value (json_object_get (body, "kind"));
  int32_t count = (int32_t)json_integer_value (json_object_get (body, "count"));

  pthread_mutex_lock (&service.lock);
  service.delay_ms = json_integer_value (json_object_get (body, "delay_ms"));
  if (kind != NULL && strcmp (kind, "fail") == 0)
    service.fail_count = count;
  if (kind != NULL && strcmp (kind, "slow") == 0)
    service.slow_count = count;
  pthread_mutex_unlock (&service.lock);
  json_decref (body);
  return send_json (connection, MHD_HTTP_OK, json_object ());
}

static enum MHD_Result
route (struct MHD_Connection *connection, const char *url, const upload_t *upload)
{
  json_t *body;

  if (strcmp (url, "/fault") == 0)
    return set_fault (connection, upload);
  if (strcmp (url, "/log") != 0 && strcmp (url, "/load") != 0)
    return run_call (connection, url, upload);
  pthread_mutex_lock (&service.lock);
  if (strcmp (url, "/log") == 0)
    body = json_pack ("{s:o}", "calls", json_deep_copy (service.calls));
  else
    body = json_pack ("{s:i,s:i,s:i}", "running", service.running, "queued", 0, "capacity", 0);
  pthread_mutex_unlock (&service.lock);
  return send_json (connection, MHD_HTTP_OK, body);
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
  return route (connection, url, upload);
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
  struct timespec life = { .tv_sec = read_option (argc, argv, "--life-s", DEFAULT_LIFE_S) };
  struct MHD_Daemon *daemon;
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  service.calls = json_array ();
  address.sin_port = htons ((uint16_t)read_option (argc, argv, "--port", 0));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  daemon = MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, handle, NULL,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED,
      complete_request, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (daemon == NULL)
    {
      fprintf (stderr, "standin-plain: can't listen\n");
      return 1;
    }
  printf ("listening %u\n", MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
  fflush (stdout);
  sigtimedwait (&signals, NULL, &life);
  MHD_stop_daemon (daemon);
  json_decref (service.calls);
  return 0;
}
