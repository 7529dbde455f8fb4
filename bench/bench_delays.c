/** @file
 * Measures what the causes of delay cost a gateway for one request: the capture at the send, the
 * verdict, the counters, and the further fields of the event `request`.
 *
 *   bench_delays
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/load/group_outages.h"
#include "bilberrytray/load/pass_limiter.h"
#include "delays.h"

enum
{
  ROUNDS = 1000000,
  RANKS = 72,
  VALUES = BT_MAX_DELAY_VALUES,
  LINES = 190, /* of each kind; both are within the budget's burst of 400 lines */
  NS_PER_S = 1000000000,
  SENT_MS = 5000,
};

typedef struct fixture
{
  bt_context_t *ctx;
  bt_router_t *router;
  bt_group_outages_t *outages;
  bt_pass_limiter_t *limiter;
  bt_delays_t *delays;
  bt_identity_t ranks[RANKS];
  char values[VALUES][BT_NAME_BYTES];
} fixture_t;

static int64_t
read_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (int64_t)now.tv_sec * NS_PER_S + now.tv_nsec;
}

static void
add_ranks (fixture_t *fixture)
{
  const bt_load_t load = { .running = 4, .slots = 10 };
  const bt_group_state_t state = { "g-0", 1, true };

  for (int32_t i = 0; i < RANKS; i++)
    {
      bt_endpoint_t endpoint = { .app = "chat", .failure_domain = "dom-0" };

      snprintf (endpoint.identity.instance, sizeof endpoint.identity.instance, "i-%d", (int)i);
      fixture->ranks[i] = endpoint.identity;
      bt_put_endpoint (fixture->ctx, fixture->router, &endpoint, 0);
      bt_record_load (fixture->router, &endpoint.identity, &load, 0);
      bt_record_rank_listed (fixture->ctx, fixture->outages, &endpoint.identity, "chat", 0);
      bt_record_rank_report (fixture->ctx, fixture->outages, &endpoint.identity, &state, 0);
    }
}

static void
open_fixture (fixture_t *fixture)
{
  const bt_pass_limiter_settings_t passes = { RANKS, 30, 84, 120, 10 };
  bt_router_options_t options;

  bt_default_router_options (&options);
  fixture->ctx = bt_new_context ();
  fixture->router = bt_new_router (fixture->ctx, &options);
  fixture->outages = bt_new_group_outages (fixture->ctx, fixture->router);
  fixture->limiter = bt_new_pass_limiter (fixture->ctx, &passes);
  fixture->delays = bt_new_delays (fixture->ctx);
  add_ranks (fixture);
  for (int32_t i = 0; i < VALUES; i++)
    snprintf (fixture->values[i], BT_NAME_BYTES, "value-%d", (int)i);
}

static void
close_fixture (fixture_t *fixture)
{
  bt_drop_delays (fixture->ctx, fixture->delays);
  bt_drop_pass_limiter (fixture->ctx, fixture->limiter);
  bt_drop_group_outages (fixture->ctx, fixture->outages);
  bt_drop_router (fixture->ctx, fixture->router);
  bt_drop_context (fixture->ctx);
}

static void
run_request (fixture_t *fixture, int32_t round)
{
  const char *value = fixture->values[round % VALUES];
  const bt_delay_labels_t labels = {
    .rule = value, .priority = "high", .account = value, .failure_domain = "dom-0"
  };
  const bt_identity_t *rank = &fixture->ranks[round % RANKS];
  bt_delay_timeline_t timeline;
  bt_delay_verdict_t verdict;
  bt_load_t load = { 0 };

  memset (&timeline, 0, sizeof timeline);
  timeline.has_report = bt_get_load_report (fixture->router, rank, &load);
  timeline.endpoint_running = load.running;
  timeline.endpoint_slots = load.slots;
  if (strcmp (bt_get_rank_group (fixture->outages, rank), "g-0") == 0)
    timeline.least_pass_ms = bt_get_least_pass_ms (fixture->limiter, SENT_MS);
  timeline.last_pass_ms = bt_get_pass_ms (fixture->limiter);
  timeline.outcome = BT_OUTCOME_ANSWERED;
  timeline.status = 200;
  timeline.aim_ms = 400;
  timeline.arrived_ms = timeline.first_sent_ms = timeline.last_sent_ms = SENT_MS;
  timeline.first_event_ms = SENT_MS + 450;
  timeline.ended_ms = SENT_MS + 2000;
  timeline.prompt_tokens = 900;
  timeline.read_tokens_per_ms = 5;
  bt_judge_delay (&timeline, &verdict);
  bt_count_delay (fixture->delays, &verdict, &labels);
}

static double
measure_requests (fixture_t *fixture)
{
  int64_t began_ns;

  for (int32_t i = 0; i < VALUES; i++)
    run_request (fixture, i);
  began_ns = read_ns ();
  for (int32_t i = 0; i < ROUNDS; i++)
    run_request (fixture, i);
  return (double)(read_ns () - began_ns) / ROUNDS;
}

/* Adds the time of a line as the gateway wrote it before, and of one with the further fields. */
static void
measure_lines (bt_context_t *ctx, int64_t *plain_ns, int64_t *full_ns)
{
  int64_t began_ns = read_ns ();

  bt_log_event (ctx, BT_LOG_INFO, "request",
                "{s:s, s:s, s:s, s:s, s:i, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:I, s:I, s:I}",
                "request", "r-1234567890", "rule", "chat-high", "account", "a-1", "outcome",
                "answered", "status", 200, "reason", "none", "app", "chat", "endpoint", "i-1",
                "sends", 1, "runs", 1, "events", (json_int_t)40, "queue_ms", (json_int_t)3,
                "first_ms", (json_int_t)433, "total_ms", (json_int_t)2100, "revision",
                (json_int_t)4);
  *plain_ns += read_ns () - began_ns;
  began_ns = read_ns ();
  bt_log_event (ctx, BT_LOG_INFO, "request",
                "{s:s, s:s, s:s, s:s, s:i, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:I, s:I, s:I, "
                "s:s, s:s, s:I, s:I, s:I}",
                "request", "r-1234567890", "rule", "chat-high", "account", "a-1", "outcome",
                "answered", "status", 200, "reason", "none", "app", "chat", "endpoint", "i-1",
                "sends", 1, "runs", 1, "events", (json_int_t)40, "queue_ms", (json_int_t)3,
                "first_ms", (json_int_t)433, "total_ms", (json_int_t)2100, "revision",
                (json_int_t)4, "delay", "late", "cause", "endpoint-queue", "cause_ms",
                (json_int_t)430, "usual_ms", (json_int_t)250, "allowed_ms", (json_int_t)400);
  *full_ns += read_ns () - began_ns;
}

int
main (void)
{
  fixture_t fixture;
  int64_t plain_ns = 0;
  int64_t full_ns = 0;

  open_fixture (&fixture);
  fprintf (stderr, "capture, verdict and counters: %.0f ns a request\n",
           measure_requests (&fixture));
  if (freopen ("/dev/null", "w", stdout) == NULL)
    return EXIT_FAILURE;
  for (int32_t i = 0; i < LINES; i++)
    measure_lines (fixture.ctx, &plain_ns, &full_ns);
  fprintf (stderr, "further fields of the event: %.0f ns (a line without them: %.0f ns)\n",
           (double)(full_ns - plain_ns) / LINES, (double)plain_ns / LINES);
  close_fixture (&fixture);
  return EXIT_SUCCESS;
}
