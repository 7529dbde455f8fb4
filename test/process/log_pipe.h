#ifndef BILBERRYTRAY_TEST_PROCESS_LOG_PIPE_H
#define BILBERRYTRAY_TEST_PROCESS_LOG_PIPE_H

/** @file
 * A small pipe that a program writes its log to. The test decides when it is read, so that it can
 * act as a log reader that stalls.
 */

#include <CUnit/CUnit.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  LOG_PIPE_BYTES = 4096,
  LOG_TEXT_BYTES = 4 << 20,
};

typedef struct log_pipe
{
  int read_fd;
  int write_fd; /**< The output of a program. */
  char *text;
  size_t bytes;
} log_pipe_t;

static bool
open_log_pipe (log_pipe_t *log)
{
  int ends[2];

  if (pipe2 (ends, O_CLOEXEC) != 0)
    return false;
  fcntl (ends[1], F_SETPIPE_SZ, LOG_PIPE_BYTES);
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  log->read_fd = ends[0];
  log->write_fd = ends[1];
  log->text = calloc (1, LOG_TEXT_BYTES);
  log->bytes = 0;
  return log->text != NULL;
}

static void
close_log_pipe (log_pipe_t *log)
{
  close (log->read_fd);
  close (log->write_fd);
  free (log->text);
}

/* Reads what the pipe holds, without blocking. */
static void
read_log_pipe (log_pipe_t *log)
{
  ssize_t got;

  while ((got = read (log->read_fd, log->text + log->bytes, LOG_TEXT_BYTES - log->bytes - 1)) > 0)
    log->bytes += (size_t)got;
  log->text[log->bytes] = '\0';
}

static bool
has_text (const json_t *object, const char *field, const char *wanted)
{
  const char *text = json_string_value (json_object_get (object, field));

  return text != NULL && strcmp (text, wanted) == 0;
}

/* Adds up a numeric field of all lines that have an event and, unless it is NULL, a cause; counts
 * these lines if @p number_field is NULL. A line that is not a complete JSON object with an event
 * fails the test. */
static int64_t
sum_log_pipe (const log_pipe_t *log, const char *event, const char *cause, const char *number_field)
{
  char *copy = strdup (log->text);
  char *rest = NULL;
  int64_t sum = 0;

  for (char *line = strtok_r (copy, "\n", &rest); line != NULL; line = strtok_r (NULL, "\n", &rest))
    {
      json_t *object = json_loads (line, 0, NULL);
      bool named = json_is_string (json_object_get (object, "event"));

      if (!named)
        fprintf (stderr, "log line without an event: %s\n", line);
      CU_ASSERT_TRUE (named);
      if (has_text (object, "event", event) && (cause == NULL || has_text (object, "cause", cause)))
        sum +=
            number_field == NULL ? 1 : json_integer_value (json_object_get (object, number_field));
      json_decref (object);
    }
  free (copy);
  return sum;
}

#endif
