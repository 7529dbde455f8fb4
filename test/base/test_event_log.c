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
  /* A call that blocks ends the program: nobody reads while it runs. */
  STUCK_S = 60,
  MS_PER_S = 1000,
  SMALL_BUFFER_BYTES = 4096,
  READ_BYTES = 1 << 20,
  FLOOD = 5000,
  BURST = 300,
  LINES_AT_ONCE = 400,
  LINES_PER_S = 40,
  SECONDS = 10,
  LONG_TEXT = 9000,
  THREADS = 4,
  ROUNDS = 2000,
};

static bt_context_t *ctx;
static bt_fake_clock_t fake_clock;
static int saved;       /* what the descriptor was before a test took it */
static int taken;       /* the descriptor a test took */
static int reader;      /* the other end */
static char *read_text; /* what came so far */
static size_t read_bytes;

static int64_t
count_lost (const char *cause)
{
  return bt_read_counter (
      bt_find_counter (ctx, BT_COUNTER, "bilberry_log_lines_lost_total", "", "cause", cause));
}

/* Has the log go to @p out, and what comes out of it be read from @p in. */
static void
begin (int descriptor, int in, int out)
{
  ctx = bt_new_context ();
  bt_init_fake_clock (&fake_clock, MS_PER_S);
  bt_set_context_clock (ctx, &fake_clock.base);
  fflush (NULL);
  saved = dup (descriptor);
  taken = descriptor;
  dup2 (out, descriptor);
  close (out);
  reader = in;
  fcntl (reader, F_SETFL, O_NONBLOCK);
  read_text = calloc (1, READ_BYTES);
  read_bytes = 0;
}

static void
begin_pipe (int descriptor)
{
  int ends[2];

  if (pipe (ends) != 0)
    abort ();
  fcntl (ends[1], F_SETPIPE_SZ, SMALL_BUFFER_BYTES);
  begin (descriptor, ends[0], ends[1]);
}

/* A file that is read from its start, for tests in which the reader keeps up. */
static void
begin_file (void)
{
  char path[] = "/tmp/bilberry-log-XXXXXX";
  int out = mkstemp (path);
  int in = open (path, O_RDONLY);

  unlink (path);
  begin (STDOUT_FILENO, in, out);
}

static void
read_what_came (void)
{
  ssize_t got;

  while ((got = read (reader, read_text + read_bytes, READ_BYTES - read_bytes - 1)) > 0)
    read_bytes += (size_t)got;
  read_text[read_bytes] = '\0';
}

static void
end (void)
{
  dup2 (saved, taken);
  close (saved);
  close (reader);
  free (read_text);
  bt_drop_context (ctx);
}

/* Counts whole lines that name an event, and fails on any line that is not JSON. */
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

/* A number of the last line that names an event; -1 without one. */
static int64_t
find_number (const char *event, const char *field)
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

/* Whoever reads the log stops, and the process has much to tell. The process goes on; lines are
 * lost and counted. When the reader goes on, it gets whole lines, and then one that says how many
 * it missed and how many of them told of failures. */
static void
test_stopped_reader_costs_lines (void)
{
  int64_t lost;

  begin_pipe (STDOUT_FILENO);
  for (int32_t i = 0; i < BURST; i++)
    bt_log_event (ctx, i % 3 == 0 ? BT_LOG_WARNING : BT_LOG_INFO, "thing", "{s:i}", "number", i);
  lost = count_lost ("reader");
  CU_ASSERT (lost > 0);
  read_what_came ();
  CU_ASSERT_EQUAL (count_events ("thing") + lost, BURST);
  CU_ASSERT_EQUAL (count_events ("log-left-out"), 0);
  bt_log_event (ctx, BT_LOG_INFO, "again", "{}");
  read_what_came ();
  CU_ASSERT_EQUAL (count_events ("again"), 1);
  CU_ASSERT_EQUAL (count_events ("log-left-out"), 1);
  CU_ASSERT_EQUAL (find_number ("log-left-out", "lines"), lost);
  CU_ASSERT (find_number ("log-left-out", "failures") > 0);
  CU_ASSERT (find_number ("log-left-out", "failures") < lost);
  end ();
}

/* The log goes to a socket, which takes a part of a line when it is nearly full. The rest of that
 * line comes first when there is room again, so that the reader never sees a torn one. */
static void
test_no_line_is_torn (void)
{
  char text[SMALL_BUFFER_BYTES / 2];
  int32_t least = 1;
  int ends[2];

  memset (text, 'x', sizeof text - 1);
  text[sizeof text - 1] = '\0';
  CU_ASSERT_EQUAL_FATAL (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), 0);
  setsockopt (ends[1], SOL_SOCKET, SO_SNDBUF, &least, sizeof least);
  begin (STDOUT_FILENO, ends[0], ends[1]);
  for (int32_t i = 0; i < BURST; i++)
    {
      bt_log_event (ctx, BT_LOG_INFO, "thing", "{s:s, s:s}", "text", text + i % 7, "more", text);
      if (i % 50 == 0)
        read_what_came ();
    }
  read_what_came ();
  bt_log_event (ctx, BT_LOG_INFO, "again", "{}");
  read_what_came ();
  CU_ASSERT_EQUAL (count_events ("again"), 1);
  CU_ASSERT (count_lost ("reader") > 0);
  CU_ASSERT_EQUAL (count_events ("thing") + count_lost ("reader"), BURST);
  end ();
}

/* Requests come in masses, and a few fail. Lines of the masses are left out by the budget; those of
 * the failures are all there, and a line says what was left out although no further line of that
 * level follows. */
static void
test_failures_come_through_a_flood (void)
{
  begin_file ();
  for (int32_t i = 0; i < FLOOD; i++)
    bt_log_event (ctx, BT_LOG_INFO, "thing", "{s:i}", "number", i);
  for (int32_t i = 0; i < LINES_AT_ONCE; i++)
    bt_log_event (ctx, BT_LOG_WARNING, "failure", "{s:i}", "number", i);
  read_what_came ();
  CU_ASSERT_EQUAL (count_events ("thing"), LINES_AT_ONCE);
  CU_ASSERT_EQUAL (count_events ("failure"), LINES_AT_ONCE);
  CU_ASSERT_EQUAL (count_lost ("budget"), FLOOD - LINES_AT_ONCE);
  fake_clock.now_ms += MS_PER_S;
  bt_log_event (ctx, BT_LOG_WARNING, "failure", "{}");
  read_what_came ();
  CU_ASSERT_EQUAL (count_events ("log-left-out"), 1);
  CU_ASSERT_EQUAL (find_number ("log-left-out", "lines"), FLOOD - LINES_AT_ONCE);
  CU_ASSERT_EQUAL (find_number ("log-left-out", "failures"), 0);
  end ();
}

/* Failures themselves come in masses. Those beyond the budget are told as failures. */
static void
test_failures_left_out_are_told (void)
{
  begin_file ();
  for (int32_t i = 0; i < FLOOD; i++)
    bt_log_event (ctx, BT_LOG_WARNING, "failure", "{s:i}", "number", i);
  fake_clock.now_ms += MS_PER_S;
  bt_log_event (ctx, BT_LOG_INFO, "thing", "{}");
  read_what_came ();
  CU_ASSERT_EQUAL (count_events ("failure"), LINES_AT_ONCE);
  CU_ASSERT_EQUAL (find_number ("log-left-out", "failures"), FLOOD - LINES_AT_ONCE);
  end ();
}

/* The flood does not end. What is written stays within the budget a second, told lines included. */
static void
test_budget_holds_for_long (void)
{
  begin_file ();
  for (int32_t i = 0; i < SECONDS * MS_PER_S; i++)
    {
      fake_clock.now_ms++;
      bt_log_event (ctx, BT_LOG_INFO, "thing", "{s:i}", "number", i);
    }
  read_what_came ();
  CU_ASSERT (count_events ("thing") + count_events ("log-left-out")
             <= LINES_AT_ONCE + LINES_PER_S * SECONDS);
  CU_ASSERT_EQUAL (count_events ("thing") + count_lost ("budget"), (int64_t)SECONDS * MS_PER_S);
  end ();
}

/* A caller sends an id that is no UTF-8, or names that are very long. Its line is there all the
 * same and says what can be said: otherwise a caller could keep its requests out of the log. */
static void
test_hostile_texts_are_cut_and_cleaned (void)
{
  char *text = malloc (LONG_TEXT + 1);

  memset (text, 'x', LONG_TEXT);
  text[LONG_TEXT] = '\0';
  begin_file ();
  bt_log_event (ctx, BT_LOG_INFO, "request", "{s:s, s:i}", "request", "r-\xff\xfe", "status", 200);
  bt_log_event (ctx, BT_LOG_INFO, "request", "{s:s, s:i}", "message", text, "status", 404);
  bt_log_event (ctx, BT_LOG_INFO, "nothing", "{s:s, s:b, s:f, s:I}", "text", NULL, "flag", 1,
                "share", 0.5, "large", (json_int_t)1 << 40);
  read_what_came ();
  CU_ASSERT_EQUAL (count_events ("request"), 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (read_text, "\"request\":\"r-??\",\"status\":200"));
  CU_ASSERT_PTR_NOT_NULL (strstr (read_text, "xxx\",\"status\":404"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (read_text, "\"text\":null,\"flag\":true,\"share\":0.5,\"large\":1099511627776}"));
  CU_ASSERT_EQUAL (count_lost ("reader"), 0);
  end ();
  free (text);
}

/* Standard error is a pipe whose reader stops. A process that says a sentence on each request or
 * link must not wait for the reader either. */
static void
test_sentences_do_not_block (void)
{
  int64_t lost;
  char wanted[64];

  begin_pipe (STDERR_FILENO);
  for (int32_t i = 0; i < BURST; i++)
    bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN, "Sentence %d.", i);
  lost = count_lost ("reader");
  CU_ASSERT (lost > 0);
  read_what_came ();
  CU_ASSERT_EQUAL (read_text[read_bytes - 1], '\n');
  bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN, "The last.");
  read_what_came ();
  snprintf (wanted, sizeof wanted, "main: %lld lines were lost", (long long)lost);
  CU_ASSERT_PTR_NOT_NULL (strstr (read_text, wanted));
  CU_ASSERT_PTR_NOT_NULL (strstr (read_text, "main: The last.\n"));
  end ();
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

/* An operator asks for more detail, and for less again, while requests are served by all threads.
 * Nothing tears or crashes, and a failure's line is never taken for a detail. */
static void
test_level_changes_while_threads_log (void)
{
  pthread_t threads[THREADS];

  begin_file ();
  for (int32_t i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, log_much, NULL);
  for (int32_t i = 0; i < ROUNDS; i++)
    bt_set_log_level (ctx, i % 2 == 0 ? BT_LOG_DEBUG : BT_LOG_ERROR);
  for (int32_t i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  read_what_came ();
  CU_ASSERT_EQUAL (count_events ("failure"), LINES_AT_ONCE);
  CU_ASSERT (count_events ("detail") <= LINES_AT_ONCE);
  CU_ASSERT (count_lost ("budget") >= (int64_t)THREADS * ROUNDS - LINES_AT_ONCE);
  end ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  alarm (STUCK_S);
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IONBF, 0);
  CU_initialize_registry ();
  suite = CU_add_suite ("event_log", NULL, NULL);
  CU_ADD_TEST (suite, test_stopped_reader_costs_lines);
  CU_ADD_TEST (suite, test_failures_come_through_a_flood);
  CU_ADD_TEST (suite, test_failures_left_out_are_told);
  CU_ADD_TEST (suite, test_budget_holds_for_long);
  CU_ADD_TEST (suite, test_hostile_texts_are_cut_and_cleaned);
  CU_ADD_TEST (suite, test_no_line_is_torn);
  CU_ADD_TEST (suite, test_sentences_do_not_block);
  CU_ADD_TEST (suite, test_level_changes_while_threads_log);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
