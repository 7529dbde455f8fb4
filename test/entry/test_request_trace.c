#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "request_trace.h"

/* Prints the trace of a request from some log lines; the caller frees the text. */
static char *
print_trace (const char *request_id, const char *const *lines, int32_t count)
{
  bt_context_t *ctx = bt_new_context ();
  bt_request_trace_t *trace = bt_new_request_trace (ctx, request_id);
  char *text = NULL;
  size_t bytes;
  FILE *out = open_memstream (&text, &bytes);

  for (int32_t i = 0; i < count; i++)
    bt_add_trace_line (ctx, trace, lines[i]);
  CU_ASSERT_TRUE (bt_print_request_trace (ctx, trace, out));
  fclose (out);
  bt_drop_request_trace (ctx, trace);
  bt_drop_context (ctx);
  return text;
}

/* Guards against a held request whose trace does not show which crash of its content is the cause,
 * because that was seen by another instance and minutes earlier. */
static void
test_trace_of_held_request_shows_crashes_of_its_content (void)
{
  static const char *const lines[] = {
    "{\"at\":\"2026-10-16T19:20:53.620Z\",\"level\":\"info\",\"instance\":\"front-2\","
    "\"event\":\"attempt-broken\",\"request\":\"r-1\",\"fingerprint\":\"a90d\","
    "\"endpoint\":\"i-1\"}",
    "{\"at\":\"2026-10-16T19:20:53.650Z\",\"level\":\"info\",\"instance\":\"front-2\","
    "\"event\":\"crash-known\",\"fingerprint\":\"a90d\",\"endpoint\":\"i-1\",\"ends\":1}",
    "{\"at\":\"2026-10-16T19:20:53.651Z\",\"level\":\"info\",\"instance\":\"front-2\","
    "\"event\":\"crash-known\",\"fingerprint\":\"ffff\",\"endpoint\":\"i-1\",\"ends\":1}",
    "{\"at\":\"2026-10-16T19:21:40.000Z\",\"level\":\"info\",\"instance\":\"front-1\","
    "\"event\":\"crash-held\",\"request\":\"r-2\",\"fingerprint\":\"a90d\",\"ends\":1}",
    "{\"at\":\"2026-10-16T19:21:40.001Z\",\"level\":\"warning\",\"instance\":\"front-1\","
    "\"event\":\"request\",\"request\":\"r-2\",\"outcome\":\"not-run\",\"status\":503,"
    "\"reason\":\"held-after-crash\",\"sends\":0,\"total_ms\":1,\"revision\":4}",
  };
  char *text = print_trace ("r-2", lines, 5);

  CU_ASSERT_PTR_NOT_NULL (strstr (text, "front-2  attempt-broken request=\"r-1\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "front-2  crash-known"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "front-1  crash-held"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "It was sent to no endpoint: held-after-crash"));
  CU_ASSERT_PTR_NULL (strstr (text, "ffff"));
  free (text);
}

/* Guards against a trace that is flooded by the outage of a group, which every instance logs. */
static void
test_trace_shows_outages_as_seen_by_its_instances_only (void)
{
  static const char *const lines[] = {
    "{\"at\":\"2026-10-16T19:20:53.650Z\",\"level\":\"info\",\"instance\":\"front-1\","
    "\"event\":\"group-broken\",\"group\":\"g-0\",\"epoch\":1}",
    "{\"at\":\"2026-10-16T19:20:53.650Z\",\"level\":\"info\",\"instance\":\"front-2\","
    "\"event\":\"group-broken\",\"group\":\"g-0\",\"epoch\":1}",
    "{\"at\":\"2026-10-16T19:20:54.001Z\",\"level\":\"warning\",\"instance\":\"front-1\","
    "\"event\":\"request\",\"request\":\"r-2\",\"outcome\":\"not-run\",\"status\":503,"
    "\"reason\":\"no-endpoint\",\"sends\":0,\"total_ms\":1,\"revision\":4}",
  };
  char *text = print_trace ("r-2", lines, 3);

  CU_ASSERT_PTR_NOT_NULL (strstr (text, "front-1  group-broken"));
  CU_ASSERT_PTR_NULL (strstr (text, "front-2  group-broken"));
  free (text);
}

/* Guards against a request that is refused for a part of its prompt, and whose trace does not lead
 * to the ends that accuse the part, which other instances saw minutes earlier. */
static void
test_trace_of_refused_part_shows_the_ends_that_accuse_it (void)
{
  static const char *const lines[] = {
    "{\"at\":\"2026-10-16T19:20:53.650Z\",\"level\":\"info\",\"instance\":\"front-2\","
    "\"event\":\"part-end\",\"endpoint\":\"i-1\",\"ended_ms\":5,\"parts\":2}",
    "{\"at\":\"2026-10-16T19:20:53.651Z\",\"level\":\"info\",\"instance\":\"front-2\","
    "\"event\":\"part-end\",\"endpoint\":\"i-7\",\"ended_ms\":6,\"parts\":1}",
    "{\"at\":\"2026-10-16T19:20:59.000Z\",\"level\":\"warning\",\"instance\":\"front-3\","
    "\"event\":\"part-held\",\"part\":\"a90d\",\"ends\":2,\"endpoints\":\"i-1,i-2\"}",
    "{\"at\":\"2026-10-16T19:21:39.000Z\",\"level\":\"info\",\"instance\":\"front-1\","
    "\"event\":\"part-refused\",\"request\":\"r-1\",\"part\":\"a90d\",\"ends\":2}",
    "{\"at\":\"2026-10-16T19:21:40.000Z\",\"level\":\"info\",\"instance\":\"front-1\","
    "\"event\":\"part-refused\",\"request\":\"r-2\",\"part\":\"a90d\",\"ends\":2}",
    "{\"at\":\"2026-10-16T19:21:40.001Z\",\"level\":\"warning\",\"instance\":\"front-1\","
    "\"event\":\"request\",\"request\":\"r-2\",\"outcome\":\"not-run\",\"status\":503,"
    "\"reason\":\"part-crashes-endpoints\",\"sends\":0,\"total_ms\":1,\"revision\":4}",
  };
  char *text = print_trace ("r-2", lines, 6);

  CU_ASSERT_PTR_NOT_NULL (strstr (text, "front-2  part-end endpoint=\"i-1\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "front-3  part-held part=\"a90d\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "front-1  part-refused part=\"a90d\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "It was sent to no endpoint: part-crashes-endpoints"));
  CU_ASSERT_PTR_NULL (strstr (text, "i-7"));
  CU_ASSERT_PTR_NULL (strstr (text, "r-1"));
  free (text);
}

/* Guards against a late request whose trace shows that it was answered and not why it was late, and
 * against a cause in the trace of one in time. */
static void
test_trace_names_the_cause_of_a_delay (void)
{
  static const char *const lines[] = {
    "{\"at\":\"2026-10-16T19:21:40.001Z\",\"level\":\"info\",\"instance\":\"front-1\","
    "\"event\":\"request\",\"request\":\"r-1\",\"outcome\":\"answered\",\"status\":200,"
    "\"endpoint\":\"i-1\",\"queue_ms\":3,\"first_ms\":433,\"total_ms\":2100,\"revision\":4,"
    "\"delay\":\"late\",\"cause\":\"endpoint-queue\",\"cause_ms\":430,\"usual_ms\":250,"
    "\"allowed_ms\":400}",
    "{\"at\":\"2026-10-16T19:21:40.002Z\",\"level\":\"warning\",\"instance\":\"front-1\","
    "\"event\":\"request\",\"request\":\"r-2\",\"outcome\":\"not-run\",\"status\":503,"
    "\"reason\":\"no-endpoint\",\"sends\":0,\"queue_ms\":-1,\"first_ms\":-1,\"total_ms\":7,"
    "\"revision\":4,\"delay\":\"refused\",\"cause\":\"group\",\"cause_ms\":7,\"usual_ms\":0,"
    "\"allowed_ms\":0}",
    "{\"at\":\"2026-10-16T19:21:40.003Z\",\"level\":\"info\",\"instance\":\"front-1\","
    "\"event\":\"request\",\"request\":\"r-3\",\"outcome\":\"answered\",\"status\":200,"
    "\"endpoint\":\"i-1\",\"total_ms\":90,\"revision\":4,\"delay\":\"in-time\","
    "\"cause\":\"none\"}",
  };
  char *late = print_trace ("r-1", lines, 3);
  char *refused = print_trace ("r-2", lines, 3);
  char *timely = print_trace ("r-3", lines, 3);

  CU_ASSERT_PTR_NOT_NULL (
      strstr (late, "Its delay is \"late\" and the cause endpoint-queue: 430 ms, allowed 400 ms, "
                    "usual from sending to the first event 250 ms, sent after 3 ms, first event "
                    "after 433 ms.\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (refused, "Its delay is \"refused\" and the cause group: 7 ms.\n"));
  CU_ASSERT_PTR_NULL (strstr (timely, "Its delay"));
  free (late);
  free (refused);
  free (timely);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("request_trace", NULL, NULL);
  CU_ADD_TEST (suite, test_trace_of_held_request_shows_crashes_of_its_content);
  CU_ADD_TEST (suite, test_trace_shows_outages_as_seen_by_its_instances_only);
  CU_ADD_TEST (suite, test_trace_of_refused_part_shows_the_ends_that_accuse_it);
  CU_ADD_TEST (suite, test_trace_names_the_cause_of_a_delay);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
