#define _GNU_SOURCE

#include "runner.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "http.h"

enum
{
  ID_BYTES = 64,
  MAX_RUNS = 4096,
  BODY_BYTES = 160,
  PIECES = 40, /* of a report */
  OK = 200,
  BAD_REQUEST = 400,
  MISDIRECTED = 421,
};

static const char *const report_path = "/report/";

struct rv_runner
{
  FILE *record;
  char id[ID_BYTES];
  const char *headers;
  size_t report_bytes;
  int64_t report_ms;
  pthread_mutex_t lock; /* guards the members below */
  char runs[MAX_RUNS][ID_BYTES];
  int32_t run_count;
};

static void
note_run (rv_runner_t *runner, const rv_request_t *request)
{
  const char *id = rv_get_header (request, "Bilberrytray-Attempt-Id");

  pthread_mutex_lock (&runner->lock);
  if (runner->run_count < MAX_RUNS)
    snprintf (runner->runs[runner->run_count++], ID_BYTES, "%s", id);
  rv_note (runner->record, "  runner %s runs %s %s for tenant '%s'", runner->id, id,
           request->target, rv_get_header (request, "Bilberrytray-Tenant"));
  pthread_mutex_unlock (&runner->lock);
}

/* Sends a report piece by piece, as a runner does that writes it while it sends. */
static bool
send_report (const rv_runner_t *runner, int fd, const char *headers)
{
  char *piece = malloc (runner->report_bytes / PIECES + 1);
  char *head;
  bool done = asprintf (&head, "HTTP/1.1 200 Answer\r\n%sContent-Length: %zu\r\n\r\n", headers,
                        runner->report_bytes / PIECES * PIECES)
                  > 0
              && rv_write_all (fd, head, strlen (head));

  memset (piece, 'r', runner->report_bytes / PIECES);
  for (int32_t i = 0; i < PIECES && done; i++)
    {
      done = rv_write_all (fd, piece, runner->report_bytes / PIECES);
      rv_sleep_ms (runner->report_ms / PIECES);
    }
  free (head);
  free (piece);
  return done;
}

static bool
answer_request (void *data, int fd, const rv_request_t *request)
{
  rv_runner_t *runner = data;
  const char *id = rv_get_header (request, "Bilberrytray-Attempt-Id");
  const char *expected = rv_get_header (request, "Bilberrytray-Expect-Instance");
  char body[BODY_BYTES];
  char *headers;
  int bytes;
  bool kept;

  if (expected[0] != '\0' && strcmp (expected, runner->id) != 0)
    return rv_write_answer (fd, MISDIRECTED, "Bilberrytray-Not-Executed: 1\r\n", "", 0);
  if (id[0] == '\0')
    return rv_write_answer (fd, BAD_REQUEST, "Bilberrytray-Not-Executed: 1\r\n", "", 0);
  note_run (runner, request);
  snprintf (body, sizeof body, "answer of %s to %s\n", runner->id, id);
  bytes = asprintf (&headers,
                    "Bilberrytray-Attempt-Id: %s\r\nBilberrytray-Server-Stamp: stamp.%s\r\n"
                    "Bilberrytray-Instance-Load: 1,0,6\r\nContent-Type: text/plain\r\n%s",
                    id, id, runner->headers);
  if (bytes > 0 && runner->report_bytes > 0
      && strncmp (request->path, report_path, strlen (report_path)) == 0)
    kept = send_report (runner, fd, headers);
  else
    kept = bytes > 0 && rv_write_answer (fd, OK, headers, body, strlen (body));
  free (headers);
  return kept;
}

rv_runner_t *
rv_start_runner (FILE *record, const char *id, const char *headers, int32_t *port)
{
  rv_runner_t *runner = calloc (1, sizeof *runner);

  runner->record = record;
  runner->headers = headers;
  snprintf (runner->id, sizeof runner->id, "%s", id);
  pthread_mutex_init (&runner->lock, NULL);
  *port = rv_serve (answer_request, runner);
  return runner;
}

void
rv_set_runner_report (rv_runner_t *runner, size_t bytes, int64_t duration_ms)
{
  runner->report_bytes = bytes;
  runner->report_ms = duration_ms;
}

int32_t
rv_count_runs (rv_runner_t *runner, const char *request)
{
  int32_t count = 0;

  pthread_mutex_lock (&runner->lock);
  for (int32_t i = 0; i < runner->run_count; i++)
    count += strcmp (runner->runs[i], request) == 0;
  pthread_mutex_unlock (&runner->lock);
  return count;
}
