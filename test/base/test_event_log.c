#include <CUnit/Basic.h>
#include <fcntl.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bilberrytray/base.h"
#include "bilberrytray/base/event_log.h"

enum
{
  /* Ends the program if a log call blocks: nothing reads the log during the call. */
  TIMEOUT_S = 60,
  MS_PER_S = 1000,
  SMALL_BUFFER_BYTES = 4096,
  READ_BYTES = 1 << 20,
  FLOOD_LINES = 5000,
  BURST = 300,
  LINES_BURST = 400,
  LINES_PER_S = 40,
  SECONDS = 10,
  LONG_TEXT_BYTES = 9000,
  THREADS = 4,
  ROUNDS = 2000,
};

static bt_context_t *ctx;
static bt_fake_clock_t fake_clock;
static int saved_fd;    /* duplicate of the original descriptor */
static int log_fd;      /* descriptor that the log writes to */
static int read_fd;     /* the log is read from here */
static char *read_text; /* text read so far */
static size_t read_bytes;

static int64_t
count_lost (const char *cause)
{
  return bt_read_counter (
      bt_find_counter (ctx, BT_COUNTER, "bilberry_log_lines_lost_total", "", "cause", cause));
}

/* Redirects @p descriptor to @p out, so that the log can be read from @p in. */
static void
redirect_log (int descriptor, int in, int out)
{
  ctx = bt_new_context ();
  bt_init_fake_clock (&fake_clock, MS_PER_S);
  bt_set_context_clock (ctx, &fake_clock.base);
  fflush (NULL);
  saved_fd = dup (descriptor);
  log_fd = descriptor;
  dup2 (out, descriptor);
  close (out);
  read_fd = in;
  fcntl (read_fd, F_SETFL, O_NONBLOCK);
  read_text = calloc (1, READ_BYTES);
  read_bytes = 0;
}

static void
redirect_log_to_pipe (int descriptor)
{
  int ends[2];

  if (pipe (ends) != 0)
    abort ();
  fcntl (ends[1], F_SETPIPE_SZ, SMALL_BUFFER_BYTES);
  redirect_log (descriptor, ends[0], ends[1]);
}

/* Redirects the log to a file, for tests in which the reader keeps up. */
static void
redirect_log_to_file (void)
{
  char path[] = "/tmp/bilberry-log-XXXXXX";
  int out = mkstemp (path);
  int in = open (path, O_RDONLY);

  unlink (path);
  redirect_log (STDOUT_FILENO, in, out);
}

static void
read_available (void)
{
  ssize_t got;

  while ((got = read (read_fd, read_text + read_bytes, READ_BYTES - read_bytes - 1)) > 0)
    read_bytes += (size_t)got;
  read_text[read_bytes] = '\0';
}

static void
restore_log (void)
{
  dup2 (saved_fd, log_fd);
  close (saved_fd);
  close (read_fd);
  free (read_text);
  bt_drop_context (ctx);
}

/* Counts the lines with the given event. Fails on a line that is incomplete or not JSON. */
static int32_t
count_events (const char *event)
{
  char *copy = strdup (read_text);
  char *rest = NULL;
  int32_t count = 0;

  CU_ASSERT (read_bytes == 0 || read_text[read_bytes - 1] == '\n');
  for (char *line = strtok_r (copy, "\n", &rest); line != NULL; line = strtok_r (NULL, "\n", &rest))
    {
      json_t *object = json_loads (line, 0, NULL);
      const char *name = json_string_value (json_object_get (object, "event"));

      CU_ASSERT_PTR_NOT_NULL_FATAL (name);
      count += strcmp (name, event) == 0;
      json_decref (object);
    }
  free (copy);
  return count;
}

/* Returns an integer field of the last line with the given event; -1 without such a line. */
static int64_t
find_last_integer (const char *event, const char *field)
{
  char *copy = strdup (read_text);
  char *rest = NULL;
  int64_t number = -1;

  for (char *line = strtok_r (copy, "\n", &rest); line != NULL; line = strtok_r (NULL, "\n", &rest))
    {
      json_t *object = json_loads (line, 0, NULL);
      const char *name = json_string_value (json_object_get (object, "event"));

      if (name != NULL && strcmp (name, event) == 0)
        number = json_integer_value (json_object_get (object, field));
      json_decref (object);
    }
  free (copy);
  return number;
}

/* The reader of the log stops while the process logs many events. The process must not block; lines
 * are lost and counted. When the reader continues, it gets complete lines and then an event with
 * the number of lost lines and how many of them were failures. */
static void
test_stopped_reader_loses_lines_without_blocking (void)
{
  int64_t lost;

  redirect_log_to_pipe (STDOUT_FILENO);
  for (int32_t i = 0; i < BURST; i++)
    bt_log_event (ctx, i % 3 == 0 ? BT_LOG_WARNING : BT_LOG_INFO, "thing", "{s:i}", "number", i);
  lost = count_lost ("reader");
  CU_ASSERT (lost > 0);
  read_available ();
  CU_ASSERT_EQUAL (count_events ("thing") + lost, BURST);
  CU_ASSERT_EQUAL (count_events ("log-left-out"), 0);
  bt_log_event (ctx, BT_LOG_INFO, "again", "{}");
  read_available ();
  CU_ASSERT_EQUAL (count_events ("again"), 1);
  CU_ASSERT_EQUAL (count_events ("log-left-out"), 1);
  CU_ASSERT_EQUAL (find_last_integer ("log-left-out", "lines"), lost);
  CU_ASSERT (find_last_integer ("log-left-out", "failures") > 0);
  CU_ASSERT (find_last_integer ("log-left-out", "failures") < lost);
  restore_log ();
}

/* A socket that is nearly full accepts only part of a line. The rest of that line must be written
 * before the next one, so that the reader never sees a torn line. */
static void
test_no_line_is_torn (void)
{
  char text[SMALL_BUFFER_BYTES / 2];
  int32_t min_bytes = 1;
  int ends[2];

  memset (text, 'x', sizeof text - 1);
  text[sizeof text - 1] = '\0';
  CU_ASSERT_EQUAL_FATAL (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), 0);
  setsockopt (ends[1], SOL_SOCKET, SO_SNDBUF, &min_bytes, sizeof min_bytes);
  redirect_log (STDOUT_FILENO, ends[0], ends[1]);
  for (int32_t i = 0; i < BURST; i++)
    {
      bt_log_event (ctx, BT_LOG_INFO, "thing", "{s:s, s:s}", "text", text + i % 7, "more", text);
      if (i % 50 == 0)
        read_available ();
    }
  read_available ();
  bt_log_event (ctx, BT_LOG_INFO, "again", "{}");
  read_available ();
  CU_ASSERT_EQUAL (count_events ("again"), 1);
  CU_ASSERT (count_lost ("reader") > 0);
  CU_ASSERT_EQUAL (count_events ("thing") + count_lost ("reader"), BURST);
  restore_log ();
}

/* Many requests arrive and a few fail. The budget drops info lines but no line of a failure. The
 * dropped lines are reported although no further event of their level follows. */
static void
test_flood_drops_no_failures (void)
{
  redirect_log_to_file ();
  for (int32_t i = 0; i < FLOOD_LINES; i++)
    bt_log_event (ctx, BT_LOG_INFO, "thing", "{s:i}", "number", i);
  for (int32_t i = 0; i < LINES_BURST; i++)
    bt_log_event (ctx, BT_LOG_WARNING, "failure", "{s:i}", "number", i);
  read_available ();
  CU_ASSERT_EQUAL (count_events ("thing"), LINES_BURST);
  CU_ASSERT_EQUAL (count_events ("failure"), LINES_BURST);
  CU_ASSERT_EQUAL (count_lost ("budget"), FLOOD_LINES - LINES_BURST);
  fake_clock.now_ms += MS_PER_S;
  bt_log_event (ctx, BT_LOG_WARNING, "failure", "{}");
  read_available ();
  CU_ASSERT_EQUAL (count_events ("log-left-out"), 1);
  CU_ASSERT_EQUAL (find_last_integer ("log-left-out", "lines"), FLOOD_LINES - LINES_BURST);
  CU_ASSERT_EQUAL (find_last_integer ("log-left-out", "failures"), 0);
  restore_log ();
}

/* Failures exceed their own budget. The dropped lines are reported as failures. */
static void
test_dropped_failures_are_reported (void)
{
  redirect_log_to_file ();
  for (int32_t i = 0; i < FLOOD_LINES; i++)
    bt_log_event (ctx, BT_LOG_WARNING, "failure", "{s:i}", "number", i);
  fake_clock.now_ms += MS_PER_S;
  bt_log_event (ctx, BT_LOG_INFO, "thing", "{}");
  read_available ();
  CU_ASSERT_EQUAL (count_events ("failure"), LINES_BURST);
  CU_ASSERT_EQUAL (find_last_integer ("log-left-out", "failures"), FLOOD_LINES - LINES_BURST);
  restore_log ();
}

/* During a flood that does not end, the lines written stay within the budget per second, including
 * the reports of dropped lines. */
static void
test_budget_limits_a_long_flood (void)
{
  redirect_log_to_file ();
  for (int32_t i = 0; i < SECONDS * MS_PER_S; i++)
    {
      fake_clock.now_ms++;
      bt_log_event (ctx, BT_LOG_INFO, "thing", "{s:i}", "number", i);
    }
  read_available ();
  CU_ASSERT (count_events ("thing") + count_events ("log-left-out")
             <= LINES_BURST + LINES_PER_S * SECONDS);
  CU_ASSERT_EQUAL (count_events ("thing") + count_lost ("budget"), (int64_t)SECONDS * MS_PER_S);
  restore_log ();
}

/* A caller sends an id that is not valid UTF-8, or very long names. The event is still logged, with
 * the text cleaned or truncated: otherwise a caller could keep its requests out of the log. */
static void
test_invalid_and_long_texts_are_sanitized (void)
{
  char *text = malloc (LONG_TEXT_BYTES + 1);

  memset (text, 'x', LONG_TEXT_BYTES);
  text[LONG_TEXT_BYTES] = '\0';
  redirect_log_to_file ();
  bt_log_event (ctx, BT_LOG_INFO, "request", "{s:s, s:i}", "request", "r-\xff\xfe", "status", 200);
  bt_log_event (ctx, BT_LOG_INFO, "request", "{s:s, s:i}", "message", text, "status", 404);
  bt_log_event (ctx, BT_LOG_INFO, "nothing", "{s:s, s:b, s:f, s:I}", "text", NULL, "flag", 1,
                "share", 0.5, "large", (json_int_t)1 << 40);
  read_available ();
  CU_ASSERT_EQUAL (count_events ("request"), 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (read_text, "\"request\":\"r-??\",\"status\":200"));
  CU_ASSERT_PTR_NOT_NULL (strstr (read_text, "xxx\",\"status\":404"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (read_text, "\"text\":null,\"flag\":true,\"share\":0.5,\"large\":1099511627776}"));
  CU_ASSERT_EQUAL (count_lost ("reader"), 0);
  restore_log ();
  free (text);
}

/* Standard error is a pipe whose reader stops. A process that logs a message for each request or
 * link must not block on the reader. */
static void
test_messages_do_not_block (void)
{
  int64_t lost;
  char expected[64];

  redirect_log_to_pipe (STDERR_FILENO);
  for (int32_t i = 0; i < BURST; i++)
    bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN, "Sentence %d.", i);
  lost = count_lost ("reader");
  CU_ASSERT (lost > 0);
  read_available ();
  CU_ASSERT_EQUAL (read_text[read_bytes - 1], '\n');
  bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN, "The last.");
  read_available ();
  snprintf (expected, sizeof expected, "main: %lld lines were lost", (long long)lost);
  CU_ASSERT_PTR_NOT_NULL (strstr (read_text, expected));
  CU_ASSERT_PTR_NOT_NULL (strstr (read_text, "main: The last.\n"));
  restore_log ();
}

static void *
log_much (void *argument)
{
  for (int32_t i = 0; i < ROUNDS; i++)
    {
      bt_log_event (ctx, BT_LOG_DEBUG, "detail", "{s:i}", "number", i);
      bt_log_event (ctx, BT_LOG_ERROR, "failure", "{s:i}", "number", i);
    }
  return NULL;
}

/* An operator changes the log level while all threads log. No line is torn, nothing crashes, and
 * failures are not counted against the budget of the debug level. */
static void
test_level_changes_while_threads_log (void)
{
  pthread_t threads[THREADS];

  redirect_log_to_file ();
  for (int32_t i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, log_much, NULL);
  for (int32_t i = 0; i < ROUNDS; i++)
    bt_set_log_level (ctx, i % 2 == 0 ? BT_LOG_DEBUG : BT_LOG_ERROR);
  for (int32_t i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  read_available ();
  CU_ASSERT_EQUAL (count_events ("failure"), LINES_BURST);
  CU_ASSERT (count_events ("detail") <= LINES_BURST);
  CU_ASSERT (count_lost ("budget") >= (int64_t)THREADS * ROUNDS - LINES_BURST);
  restore_log ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  alarm (TIMEOUT_S);
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IONBF, 0);
  CU_initialize_registry ();
  suite = CU_add_suite ("event_log", NULL, NULL);
  CU_ADD_TEST (suite, test_stopped_reader_loses_lines_without_blocking);
  CU_ADD_TEST (suite, test_flood_drops_no_failures);
  CU_ADD_TEST (suite, test_dropped_failures_are_reported);
  CU_ADD_TEST (suite, test_budget_limits_a_long_flood);
  CU_ADD_TEST (suite, test_invalid_and_long_texts_are_sanitized);
  CU_ADD_TEST (suite, test_no_line_is_torn);
  CU_ADD_TEST (suite, test_messages_do_not_block);
  CU_ADD_TEST (suite, test_level_changes_while_threads_log);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
