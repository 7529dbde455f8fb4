#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "bilberrytray/base/clock.h"
#include "harness_gateway.h"
#include "log_pipe.h"

enum
{
  OK = 200,
  NOT_FOUND = 404,
  NORMAL_REQUESTS = 100,
  BURST_REQUESTS = 10 * NORMAL_REQUESTS,
  CALLERS = 8,
  CALLERS_WITHOUT_ROUTE = 2,
  LINE_BYTES = 128,
  BASE_TEN = 10,
};

static const char *const configuration =
    "{\"version\":1,\"services\":[{\"name\":\"svc\"}],"
    "\"tenants\":[{\"name\":\"small\",\"api_keys\":[\"key-small\"],\"priority\":1}],"
    "\"routes\":[{\"name\":\"wide\",\"host\":\"shop.example\",\"prefix\":\"/a/\","
    "\"kind\":\"idempotent\",\"service\":\"svc\",\"timeout_ms\":20000,\"max_attempts\":2,"
    "\"public\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"idle_timeout_ms\":15000}}";

static bt_gateway_testbed_t *testbed;
static log_pipe_t gateway_log;

/* Restarts the second gateway with its output in a pipe. The first one's log still shows what went
 * wrong if the test fails. */
static int
start_suite (void)
{
  testbed = bt_new_gateway_testbed (2, configuration);
  if (testbed == NULL || !bt_wait_gateway_ready (testbed, 1) || !open_log_pipe (&gateway_log))
    return 1;
  kill (testbed->gateways[1], SIGKILL);
  waitpid (testbed->gateways[1], NULL, 0);
  bt_set_program_output (gateway_log.write_fd);
  bt_start_gateway_process (testbed, 1);
  bt_set_program_output (-1);
  return bt_wait_gateway_ready (testbed, 1) ? 0 : 1;
}

static int
end_suite (void)
{
  bt_drop_gateway_testbed (testbed, CU_get_number_of_failures () > 0);
  close_log_pipe (&gateway_log);
  return 0;
}

static int32_t
request_status (const char *path)
{
  bt_gateway_call_t call = {
    .gateway = 1, .path = path, .id = "r-logs", .key = "key-small", .deadline_ms = 20000
  };

  return bt_get_call_status (testbed, &call);
}

/* Sends @p count requests and returns whether each got the expected status. */
static bool
send_requests (int32_t count, bool without_route)
{
  bool ok = true;

  for (int32_t i = 0; i < count; i++)
    ok = request_status (without_route ? "/elsewhere/x" : "/a/lookup")
             == (without_route ? NOT_FOUND : OK)
         && ok;
  return ok;
}

static void
send_requests_in_parallel (void)
{
  pid_t callers[CALLERS];
  int status = 0;

  for (int32_t i = 0; i < CALLERS; i++)
    {
      callers[i] = fork ();
      if (callers[i] == 0)
        _exit (send_requests (BURST_REQUESTS / CALLERS, i < CALLERS_WITHOUT_ROUTE) ? 0 : 1);
    }
  for (int32_t i = 0; i < CALLERS; i++)
    {
      waitpid (callers[i], &status, 0);
      CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
    }
}

/* Reads a value of the gateway's metrics page; -1 if the page does not have it. */
static int64_t
read_value (const char *name)
{
  bt_http_reply_t reply;
  const char *at;
  int64_t value = -1;

  bt_read_gateway_metrics (testbed, 1, &reply);
  at = strstr (bt_get_reply_text (&reply), name);
  if (at != NULL)
    value = strtoll (at + strlen (name), NULL, BASE_TEN);
  bt_clear_reply (&reply);
  return value;
}

/* The reader of a gateway's log stalls while ten times the normal number of requests arrive, a
 * quarter of them without a route. Every request must be answered as before, and the metrics must
 * say how many lines were lost. When the reader continues, every line must be complete and one must
 * say how many are missing. */
static void
test_stalled_log_reader_affects_no_request (void)
{
  const char *lost = "bilberry_log_lines_lost_total{cause=\"reader\"} ";

  CU_ASSERT_TRUE (send_requests (NORMAL_REQUESTS, false));
  read_log_pipe (&gateway_log);
  send_requests_in_parallel ();
  CU_ASSERT (read_value (lost) > 0);
  CU_ASSERT (read_value ("bilberry_log_lines_lost_total{cause=\"budget\"} ") >= 0);
  read_log_pipe (&gateway_log);
  CU_ASSERT_EQUAL (request_status ("/a/lookup"), OK);
  read_log_pipe (&gateway_log);
  CU_ASSERT (sum_log_pipe (&gateway_log, "request", NULL, NULL) > 0);
  CU_ASSERT_EQUAL (sum_log_pipe (&gateway_log, "log-left-out", "reader", "lines"),
                   read_value (lost));
  CU_ASSERT (sum_log_pipe (&gateway_log, "log-left-out", "reader", "failures") > 0);
}

/* The log reader stalls for good, and the gateway is told to stop. It must still exit. */
static void
test_stalled_log_reader_delays_no_stop (void)
{
  int status = 0;

  send_requests_in_parallel ();
  kill (testbed->gateways[1], SIGTERM);
  waitpid (testbed->gateways[1], &status, 0);
  testbed->gateways[1] = 0;
  CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("gateway_logs", start_suite, end_suite);
  CU_ADD_TEST (suite, test_stalled_log_reader_affects_no_request);
  CU_ADD_TEST (suite, test_stalled_log_reader_delays_no_stop);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  if (CU_get_number_of_suites_failed () > 0)
    failures++;
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
