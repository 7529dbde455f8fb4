/** @file
 * Stand-in for a plain service. It answers any call with a digest of the body and logs the call.
 *
 *   POST /any     the service
 *   GET /log      {"calls":[{"run":"..."}]}
 *   GET /load     {"running":N,"queued":0,"capacity":0}
 *   POST /fault   {"kind":"fail"|"slow","count":N,"delay_ms":N}, see standin_http.h
 */

#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "standin_http.h"

enum
{
  DIGEST_MASK = 0xffffff,
  DIGEST_FACTOR = 31,
};

typedef struct service
{
  pthread_mutex_t lock; /**< Guards the fields below. */
  json_t *calls;
  int32_t running;
} service_t;

static void
answer_json (bt_standin_answer_t *answer, uint32_t status, json_t *body)
{
  answer->status = status;
  answer->body = json_dumps (body, JSON_COMPACT);
  json_decref (body);
}

static void
log_call (service_t *service, const bt_standin_request_t *request)
{
  const char *run =
      MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, "Bilberry-Run");

  pthread_mutex_lock (&service->lock);
  json_array_append_new (service->calls, json_pack ("{s:s}", "run", run == NULL ? "" : run));
  pthread_mutex_unlock (&service->lock);
}

static void
add_running (service_t *service, int32_t change)
{
  pthread_mutex_lock (&service->lock);
  service->running += change;
  pthread_mutex_unlock (&service->lock);
}

static uint32_t
digest_body (const bt_standin_request_t *request)
{
  uint32_t sum = 0;

  for (size_t i = 0; i < request->body_bytes; i++)
    sum = sum * DIGEST_FACTOR + (unsigned char)request->body[i];
  return sum & DIGEST_MASK;
}

/* Runs a call. A call that a fault lets fail is not run and therefore not logged. */
static void
run_call (service_t *service,
          bt_standin_t *standin,
          const bt_standin_request_t *request,
          bt_standin_answer_t *answer)
{
  char fault[BT_FAULT_BYTES];

  add_running (service, 1);
  bt_consume_standin_fault (standin, request->url, fault);
  add_running (service, -1);
  if (strcmp (fault, "fail") == 0)
    {
      answer_json (answer, MHD_HTTP_SERVICE_UNAVAILABLE,
                   json_pack ("{s:s}", "error", "asked to fail"));
      return;
    }
  log_call (service, request);
  answer_json (answer, MHD_HTTP_OK,
               json_pack ("{s:s,s:i,s:i}", "path", request->url, "bytes", (int)request->body_bytes,
                          "sum", (int)digest_body (request)));
}

static void
answer_request (void *data,
                bt_standin_t *standin,
                const bt_standin_request_t *request,
                bt_standin_answer_t *answer)
{
  service_t *service = data;
  json_t *body = NULL;

  pthread_mutex_lock (&service->lock);
  if (strcmp (request->url, "/log") == 0)
    body = json_pack ("{s:O}", "calls", service->calls);
  else if (strcmp (request->url, "/load") == 0)
    body = json_pack ("{s:i,s:i,s:i}", "running", service->running, "queued", 0, "capacity", 0);
  if (body != NULL)
    answer_json (answer, MHD_HTTP_OK, body);
  pthread_mutex_unlock (&service->lock);
  if (body == NULL)
    run_call (service, standin, request, answer);
}

int
main (int argc, char **argv)
{
  service_t service = { .lock = PTHREAD_MUTEX_INITIALIZER, .calls = json_array () };
  bt_standin_callbacks_t callbacks = { &service, answer_request, NULL };
  int status = bt_run_standin (argc, argv, &callbacks);

  json_decref (service.calls);
  return status;
}
