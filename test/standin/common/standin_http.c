#include "standin_http.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  DEFAULT_LIFETIME_S = 600,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
  BASE_TEN = 10,
};

struct bt_standin
{
  bt_standin_callbacks_t callbacks;
  struct MHD_Daemon *daemon;
  pthread_mutex_t lock;      /**< Guards the fields below. */
  char kind[BT_FAULT_BYTES]; /**< Of the fault in force. */
  char match[BT_FAULT_BYTES];
  json_int_t count; /**< Calls that the fault still applies to; -1: all. */
  json_int_t delay_ms;
};

/** Body of a request as received so far. */
typedef struct upload
{
  char *body;
  size_t bytes;
} upload_t;

static void
copy_text (char target[BT_FAULT_BYTES], const json_t *text, const char *fallback)
{
  snprintf (target, BT_FAULT_BYTES, "%s",
            json_is_string (text) ? json_string_value (text) : fallback);
}

static void
set_fault (bt_standin_t *standin, const bt_standin_request_t *request, bt_standin_answer_t *answer)
{
  json_t *fault = json_loadb (request->body, request->body_bytes, 0, NULL);
  const json_t *count = json_object_get (fault, "count");

  if (fault == NULL)
    {
      answer->status = MHD_HTTP_BAD_REQUEST;
      return;
    }
  pthread_mutex_lock (&standin->lock);
  copy_text (standin->kind, json_object_get (fault, "kind"), "none");
  copy_text (standin->match, json_object_get (fault, "match"), "");
  standin->count = count == NULL ? -1 : json_integer_value (count);
  standin->delay_ms = json_integer_value (json_object_get (fault, "delay_ms"));
  pthread_mutex_unlock (&standin->lock);
  if (standin->callbacks.on_fault != NULL)
    standin->callbacks.on_fault (standin->callbacks.data, standin->kind);
  json_decref (fault);
  answer->body = strdup ("{}");
}

void
bt_consume_standin_fault (bt_standin_t *standin, const char *name, char kind[BT_FAULT_BYTES])
{
  struct timespec delay = { 0 };

  pthread_mutex_lock (&standin->lock);
  snprintf (kind, BT_FAULT_BYTES, "none");
  if (standin->count != 0 && strstr (name, standin->match) != NULL)
    {
      snprintf (kind, BT_FAULT_BYTES, "%s", standin->kind);
      if (standin->count > 0)
        standin->count--;
      delay.tv_sec = (time_t)(standin->delay_ms / MS_PER_S);
      delay.tv_nsec = (long)(standin->delay_ms % MS_PER_S * NS_PER_MS);
    }
  pthread_mutex_unlock (&standin->lock);
  if (strcmp (kind, "slow") == 0)
    nanosleep (&delay, NULL);
}

static enum MHD_Result
send_answer (struct MHD_Connection *connection, bt_standin_answer_t *answer)
{
  struct MHD_Response *response = answer->response;
  enum MHD_Result result;

  if (answer->drop)
    {
      free (answer->body);
      return MHD_NO;
    }
  if (response == NULL)
    response = MHD_create_response_from_buffer (answer->body == NULL ? 0 : strlen (answer->body),
                                                answer->body, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           answer->type == NULL ? "application/json" : answer->type);
  if (answer->header != NULL)
    MHD_add_response_header (response, answer->header, answer->header_value);
  result = MHD_queue_response (connection, answer->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
handle_request (void *data,
                struct MHD_Connection *connection,
                const char *url,
                const char *method,
                const char *version,
                const char *piece,
                size_t *piece_bytes,
                void **state)
{
  bt_standin_t *standin = data;
  upload_t *upload = *state;
  bt_standin_answer_t answer = { .status = MHD_HTTP_OK };
  bt_standin_request_t request = { method, url, "", 0, connection };

  if (upload == NULL)
    {
      *state = calloc (1, sizeof *upload);
      return *state == NULL ? MHD_NO : MHD_YES;
    }
  if (*piece_bytes > 0)
    {
      char *grown = realloc (upload->body, upload->bytes + *piece_bytes + 1);

      if (grown == NULL)
        return MHD_NO;
      upload->body = grown;
      memcpy (upload->body + upload->bytes, piece, *piece_bytes);
      upload->bytes += *piece_bytes;
      upload->body[upload->bytes] = '\0';
      *piece_bytes = 0;
      return MHD_YES;
    }
  if (upload->body != NULL)
    request.body = upload->body;
  request.body_bytes = upload->bytes;
  if (strcmp (url, "/fault") == 0)
    set_fault (standin, &request, &answer);
  else
    standin->callbacks.answer (standin->callbacks.data, standin, &request, &answer);
  return send_answer (connection, &answer);
}

static void
free_upload (void *data,
             struct MHD_Connection *connection,
             void **state,
             enum MHD_RequestTerminationCode code)
{
  upload_t *upload = *state;

  if (upload == NULL)
    return;
  free (upload->body);
  free (upload);
  *state = NULL;
}

bt_standin_t *
bt_start_standin (uint16_t port, const bt_standin_callbacks_t *callbacks)
{
  bt_standin_t *standin = calloc (1, sizeof *standin);
  struct sockaddr_in address = { .sin_family = AF_INET };

  if (standin == NULL)
    return NULL;
  address.sin_port = htons (port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  standin->callbacks = *callbacks;
  snprintf (standin->kind, BT_FAULT_BYTES, "none");
  pthread_mutex_init (&standin->lock, NULL);
  standin->daemon =
      MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, port, NULL,
                        NULL, handle_request, standin, MHD_OPTION_SOCK_ADDR,
                        (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED, free_upload, NULL,
                        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (standin->daemon != NULL)
    return standin;
  pthread_mutex_destroy (&standin->lock);
  free (standin);
  return NULL;
}

uint16_t
bt_get_standin_port (const bt_standin_t *standin)
{
  return MHD_get_daemon_info (standin->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void
bt_stop_standin (bt_standin_t *standin)
{
  MHD_stop_daemon (standin->daemon);
  pthread_mutex_destroy (&standin->lock);
  free (standin);
}

static long
read_flag (int argc, char **argv, const char *name, long fallback)
{
  for (int i = 1; i + 1 < argc; i++)
    if (strcmp (argv[i], name) == 0)
      return strtol (argv[i + 1], NULL, BASE_TEN);
  return fallback;
}

int
bt_run_standin (int argc, char **argv, const bt_standin_callbacks_t *callbacks)
{
  bt_standin_t *standin;
  sigset_t signals;
  int received;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGALRM);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  standin = bt_start_standin ((uint16_t)read_flag (argc, argv, "--port", 0), callbacks);
  if (standin == NULL)
    {
      fprintf (stderr, "%s: cannot listen on the port\n", argv[0]);
      return 1;
    }
  printf ("listening %u\n", (unsigned int)bt_get_standin_port (standin));
  fflush (stdout);
  alarm ((unsigned int)read_flag (argc, argv, "--life-s", DEFAULT_LIFETIME_S));
  sigwait (&signals, &received);
  /* Exits without waiting for open streams and delays. A stand-in has no state to save. */
  _exit (0);
}
