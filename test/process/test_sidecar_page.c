#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bilberrytray/base.h"
#include "bilberrytray/maps/group_rounds.h"
#include "bilberrytray/wire/engine_messages.h"
#include "bilberrytray/wire/link.h"
#include "harness.h"
#include "harness_http.h"
#include "log_pipe.h"
#include "standin_http.h"

enum
{
  OK = 200,
  FENCED = 412,
  FIRST_PORT = 9000,
  PORT_SPAN = 1000,
  TEXT_BYTES = 128,
  URL_BYTES = 256,
  HEARTBEAT_MS = 100,
  IDLE_MS = 5000,
  FRAME_BYTES = 65536,
  UNSENT_BYTES = 1 << 20,
  MANY_ORDERS = 500,
  BASE_TEN = 10,
};

static const char *const secret = "secret of the test";

/** The entry that leads the engine's group, as the agent sees it. */
typedef struct leader
{
  bt_link_handler_t handler; /* must be the first member */
  atomic_int links_up;
  atomic_int reports;
  atomic_int results;
} leader_t;

static bt_context_t *ctx;
static bt_standin_t *engine;
static bt_link_loop_t *loop;
static bt_link_t *link_to_agent;
static leader_t leader;
static log_pipe_t agent_log;
static pid_t agent;
static int32_t page_port;
static uint64_t last_order;

/* The engine executes HOLD, answers ARM with 412, as if another entry led, and closes the
 * connection without an answer at GO. */
static void
answer_engine (void *data,
               bt_standin_t *standin,
               const bt_standin_request_t *request,
               bt_standin_answer_t *answer)
{
  if (strcmp (request->url, "/v1/report") == 0)
    answer->body = strdup ("{\"size\":1,\"step\":5,\"sequence\":1,\"running\":2,\"queued\":3}");
  else if (strcmp (request->url, "/v1/order") == 0 && strstr (request->body, "\"arm\"") != NULL)
    answer->status = FENCED;
  else if (strcmp (request->url, "/v1/order") == 0 && strstr (request->body, "\"go\"") != NULL)
    answer->drop = true;
}

static const bt_standin_callbacks_t engine_callbacks = { NULL, answer_engine, NULL };

static void
on_up (bt_link_handler_t *handler, bt_link_t *link)
{
  atomic_fetch_add (&((leader_t *)handler)->links_up, 1);
}

static void
on_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  leader_t *entry = (leader_t *)handler;

  if (frame->body_case == BILBERRY__FRAME__BODY_ENGINE_REPORT)
    atomic_fetch_add (&entry->reports, 1);
  if (frame->body_case == BILBERRY__FRAME__BODY_ENGINE_RESULT)
    atomic_fetch_add (&entry->results, 1);
}

static void
on_down (bt_link_handler_t *handler, bt_link_t *link)
{
}

static void
on_heartbeat_due (bt_link_handler_t *handler, bt_link_t *link)
{
  Bilberry__Heartbeat heartbeat = BILBERRY__HEARTBEAT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  frame.body_case = BILBERRY__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  bt_send_frame (ctx, link, &frame);
}

static const bt_link_handler_vtable_t leader_vtable = { on_up, on_frame, on_down,
                                                        on_heartbeat_due };

/* Returns a free port below those that the system assigns to connections. */
static int32_t
find_port (void)
{
  static int32_t next;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  bool found = false;

  if (next == 0)
    next = FIRST_PORT + getpid () % PORT_SPAN;
  while (!found)
    {
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      address.sin_port = htons ((uint16_t)++next);
      found = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
    }
  return next;
}

static void
start_agent (const char *address)
{
  const char *build = getenv ("BT_BUILD_DIR");
  char program[URL_BYTES];
  char listen[URL_BYTES];
  char engine_flag[TEXT_BYTES];
  char page[TEXT_BYTES];
  char secret_flag[TEXT_BYTES];
  /* If the engine does not report its state in time, the agent holds back the result of an order,
   * so that the leader asks again. The leader of this test asks once, so the time limit must be
   * long enough for a busy machine. */
  char *list[] = { program,     "side",           listen, engine_flag, page, "--failure-domain=a",
                   secret_flag, "--call-ms=5000", NULL };

  page_port = find_port ();
  snprintf (program, sizeof program, "%s/bilberry-agent", build == NULL ? "build/asan" : build);
  snprintf (listen, sizeof listen, "--listen=%s", address);
  snprintf (engine_flag, sizeof engine_flag, "--engine=127.0.0.1:%d",
            (int)bt_get_standin_port (engine));
  snprintf (page, sizeof page, "--page=127.0.0.1:%d", page_port);
  snprintf (secret_flag, sizeof secret_flag, "--secret=%s", secret);
  bt_set_program_output (agent_log.write_fd);
  agent = fork ();
  if (agent == 0)
    bt_exec_program (program, list, "");
  bt_set_program_output (-1);
}

static bool
is_linked (void *argument)
{
  const char *address = argument;
  bt_error_t error = { 0 };

  if (atomic_load (&leader.links_up) > 0)
    return true;
  if (link_to_agent != NULL && !bt_is_link_closed (link_to_agent))
    return false;
  bt_drop_link (ctx, link_to_agent);
  link_to_agent = bt_dial_link (ctx, loop, address, address, &error);
  return false;
}

static int
start_suite (void)
{
  static char address[TEXT_BYTES];
  bt_link_options_t options = {
    .role = "entry",
    .instance = "leader",
    .incarnation = 1,
    .failure_domain = "a",
    .address = "",
    .secret = secret,
    .heartbeat_interval_ms = HEARTBEAT_MS,
    .idle_ms = IDLE_MS,
    .handshake_timeout_ms = IDLE_MS,
    .max_frame_bytes = FRAME_BYTES,
    .max_unsent_bytes = UNSENT_BYTES,
    .max_links = 1,
    .handler = &leader.handler,
  };
  bt_error_t error = { 0 };

  ctx = bt_new_context ();
  bt_set_log_level (ctx, -1);
  leader.handler.vtable = &leader_vtable;
  engine = bt_start_standin (0, &engine_callbacks);
  loop = bt_new_link_loop (ctx, &options, &error);
  if (engine == NULL || loop == NULL || !open_log_pipe (&agent_log))
    return 1;
  snprintf (address, sizeof address, "127.0.0.1:%d", find_port ());
  start_agent (address);
  return bt_wait_until (is_linked, address) ? 0 : 1;
}

static int
end_suite (void)
{
  if (agent > 0)
    {
      kill (agent, SIGKILL);
      waitpid (agent, NULL, 0);
    }
  if (CU_get_number_of_failures () > 0)
    fputs (agent_log.text, stderr);
  bt_drop_link_loop (ctx, loop);
  bt_drop_link (ctx, link_to_agent);
  bt_stop_standin (engine);
  close_log_pipe (&agent_log);
  bt_drop_context (ctx);
  return 0;
}

static void
send_order (bt_group_order_kind_t kind, uint64_t fence)
{
  bt_group_order_t order = { .kind = kind, .id = ++last_order, .fence = fence, .step = 9 };
  Bilberry__EngineOrder message = BILBERRY__ENGINE_ORDER__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  bt_write_engine_order (&order, &message);
  frame.body_case = BILBERRY__FRAME__BODY_ENGINE_ORDER;
  frame.engine_order = &message;
  CU_ASSERT_TRUE (bt_send_frame (ctx, link_to_agent, &frame));
}

static bool
has_all_results (void *argument)
{
  return atomic_load (&leader.results) >= (int32_t)last_order;
}

static bool
has_report (void *argument)
{
  return atomic_load (&leader.reports) > 0;
}

/* Returns the metrics page as text; the caller frees it. */
static char *
read_page (void)
{
  char url[URL_BYTES];
  bt_http_reply_t reply;

  snprintf (url, sizeof url, "http://127.0.0.1:%d/metrics", page_port);
  bt_perform_request (url, NULL, NULL, NULL, &reply);
  CU_ASSERT_EQUAL (reply.status, OK);
  return reply.body == NULL ? strdup ("") : reply.body;
}

static int64_t
read_value (const char *name)
{
  char *text = read_page ();
  char line[URL_BYTES];
  const char *at;
  int64_t value;

  snprintf (line, sizeof line, "\n%s", name);
  at = strstr (text, line);
  value = at == NULL ? -1 : strtoll (at + strlen (line), NULL, BASE_TEN);
  free (text);
  return value;
}

static void
check_page (void)
{
  char *text = read_page ();
  char *rest = NULL;

  for (char *line = strtok_r (text, "\n", &rest); line != NULL; line = strtok_r (NULL, "\n", &rest))
    CU_ASSERT_TRUE (bt_is_metric_line (line));
  free (text);
}

/* When a group is slow to change its map, operators must see which engine's agent is slow, and at
 * what. The metrics of each agent must say how long its engine took for a report and for each kind
 * of order, what it answered, and how old a report was when it was sent. */
static void
test_metrics_cover_each_step (void)
{
  CU_ASSERT_TRUE (bt_wait_until (has_report, NULL));
  send_order (BT_GROUP_HOLD, 7);
  send_order (BT_GROUP_HOLD, 7);
  send_order (BT_GROUP_ARM, 7);
  send_order (BT_GROUP_GO, 7);
  send_order (BT_GROUP_DISARM, 6);
  CU_ASSERT_TRUE (bt_wait_until (has_all_results, NULL));
  check_page ();
  CU_ASSERT_EQUAL (read_value ("bilberry_engine_orders_total{order=\"hold\",answer=\"done\"} "), 2);
  CU_ASSERT_EQUAL (read_value ("bilberry_engine_orders_total{order=\"arm\",answer=\"fenced\"} "),
                   1);
  CU_ASSERT_EQUAL (read_value ("bilberry_engine_orders_total{order=\"go\",answer=\"lost\"} "), 1);
  CU_ASSERT_EQUAL (read_value ("bilberry_engine_orders_total{order=\"disarm\",answer=\"fenced\"} "),
                   1);
  CU_ASSERT_EQUAL (read_value ("bilberry_engine_order_ms_count{order=\"hold\"} "), 2);
  CU_ASSERT_EQUAL (read_value ("bilberry_engine_order_ms_bucket{order=\"hold\",le=\"+Inf\"} "), 2);
  CU_ASSERT_EQUAL (read_value ("bilberry_engine_order_ms_count{order=\"disarm\"} "), 0);
  CU_ASSERT (read_value ("bilberry_engine_report_ms_count ") >= 6);
  CU_ASSERT (read_value ("bilberry_report_age_ms_count ") >= 6);
  CU_ASSERT_EQUAL (read_value ("bilberry_links_up "), 1);
  CU_ASSERT (read_value ("bilberry_log_lines_lost_total{cause=\"reader\"} ") >= 0);
}

/* The reader of the agent's log stalls while a leader sends many orders. Each must be executed and
 * answered. The metrics must say how many lines were lost, and so must the log when it is read
 * again. */
static void
test_stalled_log_reader_affects_no_order (void)
{
  const char *lost = "bilberry_log_lines_lost_total{cause=\"reader\"} ";

  read_log_pipe (&agent_log);
  for (int32_t i = 0; i < MANY_ORDERS; i++)
    send_order (BT_GROUP_HOLD, 8);
  CU_ASSERT_TRUE (bt_wait_until (has_all_results, NULL));
  CU_ASSERT (read_value (lost) > 0);
  read_log_pipe (&agent_log);
  /* The line budget may be used up; within this time it allows a line again. */
  bt_sleep_ms (HEARTBEAT_MS);
  send_order (BT_GROUP_HOLD, 8);
  CU_ASSERT_TRUE (bt_wait_until (has_all_results, NULL));
  read_log_pipe (&agent_log);
  CU_ASSERT_EQUAL (sum_log_pipe (&agent_log, "log-left-out", "reader", "lines"), read_value (lost));
}

/* SIGTERM must end an agent whose log nobody reads. */
static void
test_stalled_log_reader_delays_no_stop (void)
{
  int status = 0;

  kill (agent, SIGTERM);
  waitpid (agent, &status, 0);
  agent = 0;
  CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("sidecar_page", start_suite, end_suite);
  CU_ADD_TEST (suite, test_metrics_cover_each_step);
  CU_ADD_TEST (suite, test_stalled_log_reader_affects_no_order);
  CU_ADD_TEST (suite, test_stalled_log_reader_delays_no_stop);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  if (CU_get_number_of_suites_failed () > 0)
    failures++;
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
