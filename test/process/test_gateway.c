#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bilberrytray/base/clock.h"
#include "harness_gateway.h"
#include "harness_http.h"

enum
{
  OK = 200,
  UNAUTHORIZED = 401,
  NOT_FOUND = 404,
  FAILED = 500,
  BAD_GATEWAY = 502,
  UNAVAILABLE = 503,
  POLL_MS = 20,
  EVENTS = 8,
  /* The budget is 15 retries for 100 requests. */
  REQUESTS_FOR_A_RETRY = 7,
  /* For one request, on routes with two attempts. */
  MAX_RETRIES = 3,
};

static const char *const configuration =
    "{\"version\":%d,\"services\":[{\"name\":\"svc\"}],"
    "\"tenants\":[{\"name\":\"small\",\"api_keys\":[\"key-small\"%s],\"priority\":1}],"
    "\"routes\":["
    "{\"name\":\"wide\",\"host\":\"shop.example\",\"prefix\":\"/a/\",\"kind\":\"idempotent\","
    "\"service\":\"svc\",\"timeout_ms\":3000,\"max_attempts\":2,\"public\":false},"
    "{\"name\":\"once\",\"host\":\"shop.example\",\"prefix\":\"/a/once/\","
    "\"kind\":\"non_idempotent\",\"service\":\"svc\",\"timeout_ms\":3000,\"max_attempts\":1,"
    "\"public\":false},"
    "{\"name\":\"stream\",\"host\":\"shop.example\",\"prefix\":\"/a/stream/\","
    "\"kind\":\"streaming\",\"resumable\":true,\"service\":\"svc\",\"timeout_ms\":8000,"
    "\"max_attempts\":2,\"public\":false}%s],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"idle_timeout_ms\":15000}}";

static const char *const added_route =
    ",{\"name\":\"late\",\"host\":\"shop.example\",\"prefix\":\"/late/\",\"kind\":\"idempotent\","
    "\"service\":\"svc\",\"timeout_ms\":3000,\"max_attempts\":2,\"public\":true}";

static bt_gateway_testbed_t *testbed;

static void
write_configuration (
    char *text, size_t capacity, int32_t version, const char *keys, const char *routes)
{
  snprintf (text, capacity, configuration, version, keys, routes);
}

static int
start_suite (void)
{
  char text[4096];

  write_configuration (text, sizeof text, 1, ",\"key-other\"", "");
  testbed = bt_new_gateway_testbed (2, text);
  if (testbed == NULL || !bt_wait_gateway_ready (testbed, 0) || !bt_wait_gateway_ready (testbed, 1))
    return 1;
  return 0;
}

static int
end_suite (void)
{
  bt_drop_gateway_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

/* Returns a request with an id and a key, and with a header that callers must not set. */
static bt_gateway_call_t
make_call (int32_t gateway, const char *path, const char *id, const char *key)
{
  return (bt_gateway_call_t){ .gateway = gateway,
                              .path = path,
                              .id = id,
                              .key = key,
                              .extra = "Bilberrytray-Tenant: forged",
                              .deadline_ms = 4000 };
}

static void
send_request (
    int32_t gateway, const char *path, const char *id, const char *key, bt_http_reply_t *reply)
{
  bt_gateway_call_t call = make_call (gateway, path, id, key);

  bt_send_gateway_call (testbed, &call, reply);
}

static int32_t
request_status (int32_t gateway, const char *path, const char *id, const char *key)
{
  bt_gateway_call_t call = make_call (gateway, path, id, key);

  return bt_get_call_status (testbed, &call);
}

/* Sends requests that succeed, until the gateway's budget allows some retries. The tests share this
 * budget, and how much the previous ones have used depends on where the router sent their requests.
 */
static void
fill_retry_budget (int32_t gateway, int32_t retries)
{
  for (int32_t i = 0; i < retries * REQUESTS_FOR_A_RETRY; i++)
    CU_ASSERT_EQUAL (request_status (gateway, "/a/lookup", "r-earn", "key-small"), OK);
}

static size_t
count_runs (const char *id)
{
  json_t *runs = bt_find_request_runs (testbed, id);
  size_t count = json_array_size (runs);

  json_decref (runs);
  return count;
}

static void
set_all_faults (const char *fault)
{
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    CU_ASSERT_TRUE (bt_set_standin_fault (testbed->runner_ports[i], fault));
}

static void
test_requests_reach_a_runner_with_trusted_headers (void)
{
  json_t *runs;
  const json_t *run;

  CU_ASSERT_EQUAL (request_status (0, "/a/lookup", "r-plain", "key-small"), OK);
  runs = bt_find_request_runs (testbed, "r-plain");
  CU_ASSERT_EQUAL (json_array_size (runs), 1);
  run = json_array_get (runs, 0);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (run, "account")), "small");
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (run, "token")), "");
  CU_ASSERT (atoi (json_string_value (json_object_get (run, "deadline"))) <= 3000);
  CU_ASSERT (atoi (json_string_value (json_object_get (run, "deadline"))) > 0);
  json_decref (runs);
}

static void
test_refused_requests_do_not_run (void)
{
  CU_ASSERT_EQUAL (request_status (0, "/elsewhere/x", "r-route", "key-small"), NOT_FOUND);
  CU_ASSERT_EQUAL (request_status (1, "/a/lookup", "r-key", "key-nobody"), UNAUTHORIZED);
  CU_ASSERT_EQUAL (count_runs ("r-route") + count_runs ("r-key"), 0);
}

static void
test_streams_are_complete (void)
{
  bt_http_reply_t reply;

  send_request (0, "/a/stream/x", "r-stream", "key-small", &reply);
  CU_ASSERT_EQUAL (reply.curl_code, 0);
  CU_ASSERT_EQUAL (reply.status, OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (bt_get_reply_text (&reply), "id: 1\ndata: piece-1\n\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (bt_get_reply_text (&reply), "id: 8\ndata: piece-8\n\n"));
  bt_clear_reply (&reply);
}

/* Writes the complete stream that runners answer with. */
static void
write_stream (char *text, size_t capacity)
{
  size_t used = 0;

  for (int32_t event = 1; event <= EVENTS; event++)
    used +=
        (size_t)snprintf (text + used, capacity - used, "id: %d\ndata: piece-%d\n\n", event, event);
}

/* Returns whether the caller received the complete stream. */
static bool
is_stream_complete (const char *id, const char *expected)
{
  bt_http_reply_t reply;
  bool complete;

  send_request (0, "/a/stream/x", id, "key-small", &reply);
  complete = reply.curl_code == 0 && strcmp (bt_get_reply_text (&reply), expected) == 0;
  bt_clear_reply (&reply);
  return complete;
}

/* Returns how often a stream was resumed, each time after the second event. */
static int32_t
count_resumes (const char *id)
{
  json_t *runs = bt_find_request_runs (testbed, id);
  int32_t resumes = 0;
  json_t *run;
  size_t i;

  json_array_foreach (runs, i, run)
  {
    const char *last = json_string_value (json_object_get (run, "last"));

    if (last[0] == '\0')
      continue;
    CU_ASSERT_STRING_EQUAL (last, "2");
    resumes++;
  }
  json_decref (runs);
  return resumes;
}

static int32_t
request_streams_in_parallel (const char *expected)
{
  pid_t callers[BT_DEFAULT_RUNNERS];
  char ids[BT_DEFAULT_RUNNERS][32];
  int32_t resumes = 0;
  int status = 0;

  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    {
      snprintf (ids[i], sizeof ids[i], "r-cut-%d", i);
      callers[i] = fork ();
      if (callers[i] == 0)
        _exit (is_stream_complete (ids[i], expected) ? 0 : 1);
    }
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS; i++)
    {
      waitpid (callers[i], &status, 0);
      CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
      resumes += count_resumes (ids[i]);
    }
  return resumes;
}

/* A runner's answer breaks off in the middle of an event. The caller must receive one complete
 * stream: another runner resumes after the last complete event, and the incomplete one is never
 * forwarded. */
static void
test_cut_off_stream_is_resumed_elsewhere (void)
{
  char expected[512];

  fill_retry_budget (0, BT_DEFAULT_RUNNERS);
  /* Every runner cuts off the streams that it begins and completes those that it resumes, so that
   * each stream is resumed once, wherever the router sends it. */
  set_all_faults ("{\"kind\":\"cut-first\",\"count\":-1,\"match\":\"/stream/\"}");
  write_stream (expected, sizeof expected);
  CU_ASSERT_EQUAL (request_streams_in_parallel (expected), BT_DEFAULT_RUNNERS);
  set_all_faults ("{\"kind\":\"none\"}");
}

/* A runner's stream breaks off, and the other runners are too full to resume it. Guards against the
 * refusal's complete body passing for the end of the stream: the caller would take half a draft for
 * all of it. */
static void
test_refused_resume_aborts_the_stream (void)
{
  fill_retry_budget (0, BT_DEFAULT_RUNNERS * 2 * MAX_RETRIES);
  set_all_faults ("{\"kind\":\"full\",\"count\":-1,\"match\":\"/stream/\"}");
  CU_ASSERT_TRUE (bt_set_standin_fault (testbed->runner_ports[0],
                                        "{\"kind\":\"cut\",\"count\":-1,\"match\":\"/stream/\"}"));
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS * 2; i++)
    {
      bt_http_reply_t reply;

      send_request (0, "/a/stream/x", "r-alone", "key-small", &reply);
      CU_ASSERT (reply.curl_code != 0 || reply.status == UNAVAILABLE);
      CU_ASSERT_PTR_NULL (strstr (bt_get_reply_text (&reply), "piece-8"));
      bt_clear_reply (&reply);
    }
  set_all_faults ("{\"kind\":\"none\"}");
}

/* An order was sent, and the runner's connection breaks before its answer. The order may have run:
 * it must not be sent again, and its caller must not be told that it has not run. A lookup is
 * retried on another runner. */
static void
test_lost_answers (void)
{
  int32_t status;

  fill_retry_budget (0, 1);
  set_all_faults ("{\"kind\":\"cut\",\"count\":1}");
  status = request_status (0, "/a/once/order", "r-order", "key-small");
  CU_ASSERT_EQUAL (status, BAD_GATEWAY);
  CU_ASSERT_EQUAL (count_runs ("r-order"), 1);
  set_all_faults ("{\"kind\":\"none\"}");
  CU_ASSERT_TRUE (
      bt_set_standin_fault (testbed->runner_ports[0], "{\"kind\":\"cut\",\"count\":1}"));
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS * 2; i++)
    {
      char id[32];

      snprintf (id, sizeof id, "r-lookup-%d", i);
      CU_ASSERT_EQUAL (request_status (0, "/a/lookup", id, "key-small"), OK);
    }
  set_all_faults ("{\"kind\":\"none\"}");
}

/* A full runner refuses a request, which has not run. The request must be retried on another
 * runner. */
static void
test_full_runner_is_retried_elsewhere (void)
{
  fill_retry_budget (1, BT_DEFAULT_RUNNERS * 2);
  CU_ASSERT_TRUE (
      bt_set_standin_fault (testbed->runner_ports[1], "{\"kind\":\"full\",\"count\":-1}"));
  for (int32_t i = 0; i < BT_DEFAULT_RUNNERS * 2; i++)
    {
      char id[32];

      snprintf (id, sizeof id, "r-full-%d", i);
      CU_ASSERT_EQUAL (request_status (1, "/a/once/order", id, "key-small"), OK);
      CU_ASSERT_EQUAL (count_runs (id), 1);
    }
  set_all_faults ("{\"kind\":\"none\"}");
}

/* A complete answer without the header Bilberrytray-Server-Stamp does not come from the runner. No
 * caller may receive it. */
static void
test_unmarked_answer_is_not_forwarded (void)
{
  set_all_faults ("{\"kind\":\"unmarked\",\"count\":-1}");
  CU_ASSERT_EQUAL (request_status (0, "/a/once/order", "r-unmarked", "key-small"), BAD_GATEWAY);
  set_all_faults ("{\"kind\":\"none\"}");
}

static bool
wait_status (int32_t gateway, const char *path, const char *id, const char *key, int32_t wanted)
{
  bt_gateway_call_t call = make_call (gateway, path, id, key);

  return bt_wait_call_status (testbed, &call, wanted);
}

static void
test_new_configuration_is_applied (void)
{
  char text[4096];

  CU_ASSERT_EQUAL (request_status (0, "/late/x", "r-early", "key-small"), NOT_FOUND);
  write_configuration (text, sizeof text, 2, "", added_route);
  CU_ASSERT_TRUE (bt_put_store_item (testbed, "op/config", text));
  for (int32_t i = 0; i < 2; i++)
    {
      CU_ASSERT_TRUE (wait_status (i, "/late/x", "r-late", "none", OK));
      CU_ASSERT_TRUE (wait_status (i, "/a/lookup", "r-revoked", "key-other", UNAUTHORIZED));
    }
}

/* Nothing of the operator's configuration can be used. The previous one must stay in force, and a
 * later valid one must replace it. */
static void
test_invalid_configuration_is_ignored (void)
{
  char text[4096];

  CU_ASSERT_TRUE (bt_put_store_item (testbed, "op/config", "{\"version\":3,\"services\":[]}"));
  bt_sleep_ms (400);
  CU_ASSERT_EQUAL (request_status (0, "/late/x", "r-kept", "none"), OK);
  write_configuration (text, sizeof text, 4, "", "");
  CU_ASSERT_TRUE (bt_put_store_item (testbed, "op/config", text));
  CU_ASSERT_TRUE (wait_status (0, "/late/x", "r-gone", "none", NOT_FOUND));
}

/* A route names a service that does not exist. Its requests must be refused as not run, the other
 * parts of the configuration must come into force, and a later valid one must replace it. */
static void
test_route_to_unknown_service_is_refused (void)
{
  char text[4096];

  write_configuration (text, sizeof text, 5, "",
                       ",{\"name\":\"x\",\"host\":\"shop.example\",\"prefix\":\"/a/x/\","
                       "\"kind\":\"idempotent\",\"service\":\"nothing\",\"public\":true},"
                       "{\"name\":\"late\",\"host\":\"shop.example\",\"prefix\":\"/late/\","
                       "\"kind\":\"idempotent\",\"service\":\"svc\",\"public\":true}");
  CU_ASSERT_TRUE (bt_put_store_item (testbed, "op/config", text));
  for (int32_t i = 0; i < 2; i++)
    {
      CU_ASSERT_TRUE (wait_status (i, "/late/x", "r-beside", "none", OK));
      CU_ASSERT_EQUAL (request_status (i, "/a/x/y", "r-unknown", "key-small"), UNAVAILABLE);
      CU_ASSERT_EQUAL (request_status (i, "/a/lookup", "r-wide", "key-small"), OK);
    }
  CU_ASSERT_EQUAL (bt_count_runner_runs (testbed, 0, "r-unknown"), 0);
  CU_ASSERT_EQUAL (bt_count_runner_runs (testbed, 1, "r-unknown"), 0);
  CU_ASSERT_EQUAL (bt_count_runner_runs (testbed, 2, "r-unknown"), 0);
  write_configuration (text, sizeof text, 6, "", "");
  CU_ASSERT_TRUE (bt_put_store_item (testbed, "op/config", text));
  for (int32_t i = 0; i < 2; i++)
    {
      CU_ASSERT_TRUE (wait_status (i, "/late/x", "r-gone-again", "none", NOT_FOUND));
      CU_ASSERT_EQUAL (request_status (i, "/a/x/y", "r-known", "key-small"), OK);
    }
}

/* The store fails while requests arrive. The gateway must continue to serve by what it knows. */
static void
test_store_outage_stops_no_request (void)
{
  CU_ASSERT_TRUE (bt_set_standin_fault (testbed->store_port, "{\"kind\":\"down\",\"count\":-1}"));
  bt_sleep_ms (600);
  CU_ASSERT_EQUAL (request_status (0, "/a/lookup", "r-outage", "key-small"), OK);
  CU_ASSERT_EQUAL (bt_get_http_status (testbed->ready_ports[0], "/v1/readiness"), OK);
  CU_ASSERT_TRUE (bt_set_standin_fault (testbed->store_port, "{\"kind\":\"none\"}"));
}

/* A gateway has been stopping for so long that no caller can still have its address, and one slow
 * request keeps it running. A new request could not end before the process must exit: it must be
 * refused as not run, and the slow one must still be answered. */
static void
test_late_requests_are_refused_while_closing (void)
{
  int status = 0;
  pid_t caller;

  set_all_faults ("{\"kind\":\"slow\",\"count\":1,\"delay_ms\":2500,\"match\":\"/slow\"}");
  caller = fork ();
  if (caller == 0)
    _exit (request_status (1, "/a/slow", "r-slow", "key-small") == OK ? 0 : 1);
  bt_sleep_ms (200);
  kill (testbed->gateways[1], SIGTERM);
  CU_ASSERT_TRUE (wait_status (1, "/a/lookup", "r-late-comer", "key-small", UNAVAILABLE));
  waitpid (caller, &status, 0);
  CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  waitpid (testbed->gateways[1], &status, 0);
  CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  set_all_faults ("{\"kind\":\"none\"}");
  bt_start_gateway_process (testbed, 1);
  CU_ASSERT_TRUE (bt_wait_gateway_ready (testbed, 1));
}

/* Reads the metrics of a gateway that has served requests. Every line must be a comment or a value,
 * and each step of a request must have a histogram that is not empty. */
static void
test_metrics_cover_each_step (void)
{
  static const char *const families[] = { "bilberry_queue_wait_ms",  "bilberry_first_part_ms",
                                          "bilberry_event_pause_ms", "bilberry_request_ms",
                                          "bilberry_view_age_ms",    "bilberry_connect_ms",
                                          "bilberry_store_call_ms" };
  char name[128];
  bt_http_reply_t reply;
  char *rest = NULL;
  char *text;

  CU_ASSERT_EQUAL (request_status (0, "/a/stream/x", "r-metrics", "key-small"), OK);
  bt_read_gateway_metrics (testbed, 0, &reply);
  CU_ASSERT_EQUAL (reply.status, OK);
  text = strdup (bt_get_reply_text (&reply));
  for (size_t i = 0; i < sizeof families / sizeof families[0]; i++)
    {
      snprintf (name, sizeof name, "%s_bucket{le=\"+Inf\"} ", families[i]);
      CU_ASSERT_PTR_NOT_NULL (strstr (text, name));
      snprintf (name, sizeof name, "%s_count 0\n", families[i]);
      CU_ASSERT_PTR_NULL (strstr (text, name));
    }
  for (char *line = strtok_r (text, "\n", &rest); line != NULL; line = strtok_r (NULL, "\n", &rest))
    CU_ASSERT_TRUE (bt_is_metric_line (line));
  free (text);
  bt_clear_reply (&reply);
}

/* A trace that says how many endpoints refused must give the number that the request was sent to.
 * It depends on which endpoints the router has found to fail before. */
static void
check_sends (const char *trace)
{
  const char *end = strstr (trace, "outcome=\"not-run\"");
  const char *sends = end == NULL ? NULL : strstr (end, " sends=");
  char message[64];

  if (sends == NULL || atoi (sends + strlen (" sends=")) == 0)
    return;
  snprintf (message, sizeof message, "It did not run: %d endpoints were asked",
            atoi (sends + strlen (" sends=")));
  CU_ASSERT_PTR_NOT_NULL (strstr (trace, message));
}

/* Runs `bilberryd explain --request` on the log of a gateway and checks the output. */
static void
check_request_trace (const char *id, int32_t exit_code, const char *const *wanted)
{
  char line[512];
  char *output = NULL;

  snprintf (line, sizeof line, "bilberryd explain --request %s %s/instance=gateway-0.log", id,
            testbed->folder);
  CU_ASSERT_EQUAL (bt_run_program (line, &output), exit_code);
  for (int32_t i = 0; output != NULL && wanted[i] != NULL; i++)
    {
      if (strstr (output, wanted[i]) == NULL)
        fprintf (stderr, "\"%s\" is not in:\n%s", wanted[i], output);
      CU_ASSERT_PTR_NOT_NULL (strstr (output, wanted[i]));
    }
  if (output != NULL)
    check_sends (output);
  free (output);
}

/* An operator has only the id of a failed request. The logs must lead from there to the cause: it
 * was refused by full endpoints, its connection broke after it was sent, or the configuration has
 * no route for it. */
static void
test_request_trace_shows_the_cause (void)
{
  static const char *const full[] = { "retry reason=\"endpoint-full\"", "outcome=\"not-run\"",
                                      "It did not run: ", NULL };
  static const char *const cut[] = { "outcome=\"unknown\"", "It may have run at i-", NULL };
  static const char *const route[] = { "It was sent to no endpoint: no-such-path, by revision ",
                                       "was in force at gateway-0 since 20", NULL };
  static const char *const nothing[] = { "No line of these logs names the request r-never", NULL };

  fill_retry_budget (0, MAX_RETRIES);
  set_all_faults ("{\"kind\":\"full\",\"count\":-1}");
  CU_ASSERT_EQUAL (request_status (0, "/a/lookup", "r-story-full", "key-small"), UNAVAILABLE);
  set_all_faults ("{\"kind\":\"cut\",\"count\":-1}");
  CU_ASSERT_EQUAL (request_status (0, "/a/once/x", "r-story-cut", "key-small"), BAD_GATEWAY);
  set_all_faults ("{\"kind\":\"none\"}");
  CU_ASSERT_EQUAL (request_status (0, "/elsewhere/x", "r-story-route", "key-small"), NOT_FOUND);
  check_request_trace ("r-story-full", 0, full);
  check_request_trace ("r-story-cut", 0, cut);
  check_request_trace ("r-story-route", 0, route);
  check_request_trace ("r-never", 1, nothing);
}

/* A gateway is told to stop while it forwards a stream. It must at once be neither advertised nor
 * ready, and must complete the stream and exit. */
static void
test_stop_completes_streams (void)
{
  bt_http_reply_t reply;
  int status = 0;
  pid_t caller = fork ();

  if (caller == 0)
    {
      send_request (1, "/a/stream/x", "r-stop", "key-small", &reply);
      _exit (reply.curl_code == 0 && strstr (bt_get_reply_text (&reply), "piece-8") != NULL ? 0
                                                                                            : 1);
    }
  bt_sleep_ms (60);
  kill (testbed->gateways[1], SIGTERM);
  waitpid (caller, &status, 0);
  CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  CU_ASSERT_EQUAL (bt_get_http_status (testbed->ready_ports[1], "/v1/readiness"), UNAVAILABLE);
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
  suite = CU_add_suite ("gateway", start_suite, end_suite);
  CU_ADD_TEST (suite, test_requests_reach_a_runner_with_trusted_headers);
  CU_ADD_TEST (suite, test_refused_requests_do_not_run);
  CU_ADD_TEST (suite, test_streams_are_complete);
  CU_ADD_TEST (suite, test_cut_off_stream_is_resumed_elsewhere);
  CU_ADD_TEST (suite, test_refused_resume_aborts_the_stream);
  CU_ADD_TEST (suite, test_lost_answers);
  CU_ADD_TEST (suite, test_full_runner_is_retried_elsewhere);
  CU_ADD_TEST (suite, test_unmarked_answer_is_not_forwarded);
  CU_ADD_TEST (suite, test_metrics_cover_each_step);
  CU_ADD_TEST (suite, test_request_trace_shows_the_cause);
  CU_ADD_TEST (suite, test_new_configuration_is_applied);
  CU_ADD_TEST (suite, test_invalid_configuration_is_ignored);
  CU_ADD_TEST (suite, test_route_to_unknown_service_is_refused);
  CU_ADD_TEST (suite, test_store_outage_stops_no_request);
  CU_ADD_TEST (suite, test_late_requests_are_refused_while_closing);
  CU_ADD_TEST (suite, test_stop_completes_streams);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  if (CU_get_number_of_suites_failed () > 0)
    failures++;
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
