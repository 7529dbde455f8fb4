#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bilberrytray/base/clock.h"
#include "harness_gateway.h"

enum
{
  OK = 200,
  BAD_GATEWAY = 502,
  UNAVAILABLE = 503,
  CALLER_PAUSE_MS = 5,
  /* Shorter than the run of the slow request, and longer than address answers are believed. */
  SHORT_DRAIN_MS = 1600,
  LONG_DRAIN_MS = 8000,
  IDLE_CONNECTIONS = 250,
  IDLE_PAUSE_MS = 8,
  HEAD_BYTES = 512,
  ANSWER_BYTES = 2048,
};

static const char *const configuration =
    "{\"version\":1,\"services\":[{\"name\":\"svc\"}],"
    "\"tenants\":[{\"name\":\"small\",\"api_keys\":[\"key-small\"],\"priority\":1}],"
    "\"routes\":[{\"name\":\"wide\",\"host\":\"shop.example\",\"prefix\":\"/a/\","
    "\"kind\":\"non_idempotent\",\"service\":\"svc\",\"timeout_ms\":6000,\"max_attempts\":1,"
    "\"public\":false},"
    "{\"name\":\"twice\",\"host\":\"shop.example\",\"prefix\":\"/a/twice/\","
    "\"kind\":\"idempotent\",\"service\":\"svc\",\"timeout_ms\":6000,\"max_attempts\":3,"
    "\"public\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"idle_timeout_ms\":15000}}";

static bt_field_t *testbed;
static long log_start; /* where the log of the stopped gateway's present start begins */

static int
start_suite (void)
{
  testbed = bt_new_field (2, configuration);
  return testbed != NULL && bt_wait_gateway_ready (testbed, 0) && bt_wait_gateway_ready (testbed, 1)
             ? 0
             : 1;
}

static int
end_suite (void)
{
  bt_drop_field (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

static void
send_request (const char *path, const char *id, bt_reply_t *reply)
{
  bt_field_call_t call = {
    .gateway = 1, .path = path, .id = id, .key = "key-small", .deadline_ms = 6000
  };

  bt_send_gateway_call (testbed, &call, reply);
}

/** What callers got from a gateway that stops, each on a connection of its own. */
typedef struct stop_tally
{
  int32_t served;
  int32_t refused;     /* by an answer that says that the request has not run */
  int32_t unconnected; /* nobody listened any more */
  int32_t lost;        /* the connection was made, and no answer came */
  int status;          /* how the process ended */
} stop_tally_t;

static void
count_answer (stop_tally_t *tally, const char *id, int32_t status, const char *body)
{
  const char *to = strstr (body, " to ");

  if (status == UNAVAILABLE)
    tally->refused++;
  else if (status == OK && to != NULL && strcmp (to + strlen (" to "), id) == 0)
    tally->served++;
  else
    {
      tally->lost++;
      fprintf (stderr, "%s got %d: %s\n", id, status, body);
    }
}

static void
count_caller (stop_tally_t *tally, int32_t number)
{
  char id[64];
  bt_reply_t reply;

  snprintf (id, sizeof id, "r-stop-%d", number);
  send_request ("/a/lookup", id, &reply);
  if (reply.curl_code == CURLE_COULDNT_CONNECT)
    tally->unconnected++;
  else if (reply.curl_code == 0)
    count_answer (tally, id, reply.status, bt_get_reply_text (&reply));
  else
    {
      tally->lost++;
      fprintf (stderr, "%s got no answer: %s\n", id, curl_easy_strerror (reply.curl_code));
    }
  bt_clear_reply (&reply);
}

/* Sends one request after the other to the gateway's address until its process is gone, as a caller
 * does who was told the address before. */
static void
call_until_gone (stop_tally_t *tally)
{
  int32_t number = 0;

  while (waitpid (testbed->gateways[1], &tally->status, WNOHANG) == 0)
    {
      count_caller (tally, number++);
      bt_sleep_ms (CALLER_PAUSE_MS);
    }
  testbed->gateways[1] = 0;
}

/* Opens the log of the stopped gateway at its present start. */
static FILE *
open_log (void)
{
  char path[256];
  FILE *log;

  snprintf (path, sizeof path, "%s/instance=gateway-1.log", testbed->folder);
  log = fopen (path, "r");
  if (log != NULL)
    fseek (log, log_start, SEEK_SET);
  return log;
}

/* How many connections the gateway has accepted at its callers' port, by its log; -1 without
 * a line of that. */
static int32_t
read_accepted (void)
{
  char wanted[128];
  char line[1024];
  int32_t accepted = -1;
  FILE *log = open_log ();

  snprintf (wanted, sizeof wanted, "\"port\":%d,\"connections\":", testbed->caller_ports[1]);
  while (log != NULL && fgets (line, sizeof line, log) != NULL)
    if (strstr (line, "front-closed") != NULL && strstr (line, wanted) != NULL)
      accepted = (int32_t)strtol (strstr (line, wanted) + strlen (wanted), NULL, 10);
  if (log != NULL)
    fclose (log);
  return accepted;
}

/* A connection that the kernel made in the moment in which the port was closed, and that the
 * process never had, was not let in; every other one must have got its answer. @p others are
 * connections that are in no tally. */
static void
check_stop (const stop_tally_t *tally, int32_t others)
{
  int32_t connected = tally->served + tally->refused + tally->lost + others;

  CU_ASSERT (tally->served > 0);
  CU_ASSERT (WIFEXITED (tally->status) && WEXITSTATUS (tally->status) == 0);
  CU_ASSERT_EQUAL (tally->lost, connected - read_accepted ());
}

static void
restart_gateway (int32_t drain_ms)
{
  FILE *log = open_log ();

  if (log != NULL)
    {
      fseek (log, 0, SEEK_END);
      log_start = ftell (log);
      fclose (log);
    }
  testbed->drain_ms = drain_ms;
  bt_start_gateway_process (testbed, 1);
  CU_ASSERT_TRUE (bt_wait_gateway_ready (testbed, 1));
}

static void
set_all_faults (const char *fault)
{
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    CU_ASSERT_TRUE (bt_set_field_fault (testbed->runner_ports[i], fault));
}

/* A caller whose request lasts longer than any stop here; its process ends with 0 when it was told
 * that the gateway had to end in the middle of it. */
static pid_t
start_slow_caller (const char *id)
{
  pid_t caller = fork ();
  bt_reply_t reply;

  if (caller != 0)
    return caller;
  send_request ("/a/slow", id, &reply);
  _exit (reply.curl_code == 0 && reply.status == BAD_GATEWAY
                 && strcmp (reply.reason, "stopped-midway") == 0
             ? 0
             : 1);
}

static void
wait_slow_caller (pid_t caller)
{
  int status = 1;

  waitpid (caller, &status, 0);
  CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
}

static bool
wait_for_run (const char *id)
{
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;
  size_t runs = 0;

  while (runs == 0 && bt_read_clock_ms (bt_system_clock ()) < limit_ms)
    {
      json_t *found = bt_find_request_runs (testbed, id);

      runs = json_array_size (found);
      json_decref (found);
      bt_sleep_ms (CALLER_PAUSE_MS);
    }
  return runs > 0;
}

/* Runners begin at once with what the path names, and answer after seconds. */
static const char *const late_fault = "{\"kind\":\"late\",\"count\":-1,\"match\":\"/slow\"}";

/* A caller sees its connection made, sends a request and gets no answer; seconds later the
 * connection breaks. The entry was told to stop while the store was silent. Its loop had ended, and
 * the process waited for its last call of the store with the callers' sockets still open. */
static void
test_stop_while_the_store_is_silent (void)
{
  stop_tally_t tally = { 0 };

  CU_ASSERT_TRUE (bt_set_hop_fault (testbed->hop_ports[1], BT_HOP_CUT, 0));
  kill (testbed->gateways[1], SIGTERM);
  call_until_gone (&tally);
  check_stop (&tally, 0);
  CU_ASSERT (tally.unconnected > 0);
  CU_ASSERT_TRUE (bt_set_hop_fault (testbed->hop_ports[1], BT_HOP_NONE, 0));
}

/* A request outlasts the time that a stop may take, and callers that hold an old answer keep
 * coming. When the time was over, the entry read one more request whole, laid its connection to
 * sleep for a loop that had ended, and the HTTP library aborted the process over it: the caller got
 * no answer, and whatever the process still had to do was not done. */
static void
test_stop_with_a_request_beyond_the_drain_time (void)
{
  stop_tally_t tally = { 0 };
  pid_t caller;

  restart_gateway (SHORT_DRAIN_MS);
  set_all_faults (late_fault);
  caller = start_slow_caller ("r-outlasts");
  CU_ASSERT_TRUE (wait_for_run ("r-outlasts"));
  kill (testbed->gateways[1], SIGTERM);
  call_until_gone (&tally);
  check_stop (&tally, 1);
  CU_ASSERT (tally.refused > 0);
  wait_slow_caller (caller);
  set_all_faults ("{\"kind\":\"none\"}");
}

/* A connection to the gateway's callers' port; -1 when there is none to be had. */
static int
connect_to_gateway (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_port = htons ((uint16_t)testbed->caller_ports[1]);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
is_closed (int fd)
{
  struct pollfd ready = { .fd = fd, .events = POLLIN };

  return poll (&ready, 1, 0) != 0;
}

static bool
send_request_on (int fd, int32_t number)
{
  char head[HEAD_BYTES];
  int bytes = snprintf (head, sizeof head,
                        "POST /a/lookup HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n"
                        "Bilberrytray-Attempt-Id: r-kept-%d\r\nBilberrytray-Deadline-Ms: 6000\r\n"
                        "Authorization: Bearer key-small\r\n\r\n",
                        number);

  return send (fd, head, (size_t)bytes, MSG_NOSIGNAL) == bytes;
}

/* What became of a request that was sent on a kept connection. The gateway closes it behind its
 * answer. */
static void
count_answer_on_idle (stop_tally_t *tally, int fd, int32_t number)
{
  char answer[ANSWER_BYTES] = "";
  char id[64];
  size_t bytes = 0;
  ssize_t more;
  const char *body;

  snprintf (id, sizeof id, "r-kept-%d", number);
  while ((more = recv (fd, answer + bytes, sizeof answer - 1 - bytes, 0)) > 0)
    bytes += (size_t)more;
  body = strstr (answer, "\r\n\r\n");
  count_answer (tally, id, body == NULL ? 0 : (int32_t)strtol (answer + 9, NULL, 10),
                body == NULL ? answer : body + 4);
}

/* Callers keep idle connections to an entry that is told to stop, and use them one after the other,
 * each once. One that sees its connection closed goes elsewhere; one that has sent its request on
 * an open connection must be answered, until the very end of the process. */
static void
test_stop_with_idle_connections (void)
{
  stop_tally_t tally = { 0 };
  int fds[IDLE_CONNECTIONS];
  int32_t sent = 0;
  pid_t caller;

  restart_gateway (SHORT_DRAIN_MS);
  set_all_faults (late_fault);
  for (int32_t i = 0; i < IDLE_CONNECTIONS; i++)
    fds[i] = connect_to_gateway ();
  caller = start_slow_caller ("r-kept-slow");
  CU_ASSERT_TRUE (wait_for_run ("r-kept-slow"));
  kill (testbed->gateways[1], SIGTERM);
  while (sent < IDLE_CONNECTIONS && !is_closed (fds[sent]) && send_request_on (fds[sent], sent))
    {
      sent++;
      bt_sleep_ms (IDLE_PAUSE_MS);
    }
  waitpid (testbed->gateways[1], &tally.status, 0);
  testbed->gateways[1] = 0;
  for (int32_t i = 0; i < IDLE_CONNECTIONS; i++)
    {
      if (i < sent)
        count_answer_on_idle (&tally, fds[i], i);
      close (fds[i]);
    }
  check_stop (&tally, 1 + IDLE_CONNECTIONS - sent);
  CU_ASSERT_EQUAL (tally.lost, 0);
  CU_ASSERT (tally.refused > 0);
  wait_slow_caller (caller);
  set_all_faults ("{\"kind\":\"none\"}");
}

static bool
wait_for_log (const char *wanted)
{
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;
  char line[1024];

  while (bt_read_clock_ms (bt_system_clock ()) < limit_ms)
    {
      FILE *log = open_log ();
      bool found = false;

      while (log != NULL && !found && fgets (line, sizeof line, log) != NULL)
        found = strstr (line, wanted) != NULL;
      if (log != NULL)
        fclose (log);
      if (found)
        return true;
      bt_sleep_ms (CALLER_PAUSE_MS);
    }
  return false;
}

/* Which runner runs a request. */
static int32_t
find_runner (const char *id)
{
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    if (bt_count_runner_runs (testbed, i, id) > 0)
      return i;
  return -1;
}

/* An endpoint begins to leave while an entry that stops still has requests under way, in the time
 * in which it refuses late comers. One of them fails at its endpoint and is sent on: the entry no
 * longer followed the store, and sent it to the endpoint that leaves. */
static void
test_endpoint_drains_while_the_entry_closes (void)
{
  int32_t first;
  pid_t caller;

  restart_gateway (LONG_DRAIN_MS);
  set_all_faults (late_fault);
  caller = fork ();
  if (caller == 0)
    {
      bt_reply_t reply;

      send_request ("/a/twice/slow", "r-sent-on", &reply);
      _exit (0);
    }
  CU_ASSERT_TRUE (wait_for_run ("r-sent-on"));
  kill (testbed->gateways[1], SIGTERM);
  CU_ASSERT_TRUE (wait_for_log ("\"phase\":\"closing\""));
  first = find_runner ("r-sent-on");
  CU_ASSERT (first >= 0);
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    if (i != first)
      CU_ASSERT_TRUE (bt_list_field_runner (testbed, i, "draining"));
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    {
      char event[128];

      snprintf (event, sizeof event, "\"endpoint-leaving\",\"endpoint\":\"i-%d\"", i);
      CU_ASSERT_TRUE (i == first || wait_for_log (event));
    }
  kill (testbed->runners[first], SIGKILL);
  waitpid (testbed->runners[first], NULL, 0);
  testbed->runners[first] = 0;
  waitpid (caller, NULL, 0);
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    if (i != first)
      CU_ASSERT_EQUAL (bt_count_runner_runs (testbed, i, "r-sent-on"), 0);
  waitpid (testbed->gateways[1], NULL, 0);
  testbed->gateways[1] = 0;
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("gateway_stop", start_suite, end_suite);
  CU_ADD_TEST (suite, test_stop_while_the_store_is_silent);
  CU_ADD_TEST (suite, test_stop_with_a_request_beyond_the_drain_time);
  CU_ADD_TEST (suite, test_stop_with_idle_connections);
  CU_ADD_TEST (suite, test_endpoint_drains_while_the_entry_closes);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  if (CU_get_number_of_suites_failed () > 0)
    failures++;
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
