#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/load/admission.h"
#include "bilberrytray/load/run_queue.h"

enum
{
  SEEDS = 30,
  STEPS = 3000,
  SLOTS = 4,
  QUEUE_LIMIT = 12,
  ACCOUNTS = 5,
  SERVICE_MS = 50,
  ENDPOINTS = 3,
  MAX_DEADLINE_MS = 2000,
};

/* Counts of a random run of an agent's queue. */
typedef struct run_counts
{
  int32_t running;
  int32_t queued;
  int32_t offered[ACCOUNTS];
  int32_t started[ACCOUNTS];
} run_counts_t;

static void
name_account (char *name, int32_t account)
{
  snprintf (name, BT_NAME_BYTES, "account-%d", account);
}

/* Records a decision. The number of a request modulo ACCOUNTS is its account. */
static void
record_decision (run_counts_t *counts, const bt_run_decision_t *decision, bool was_queued)
{
  counts->queued -= was_queued ? 1 : 0;
  if (decision->action == BT_RUN_START)
    {
      counts->running++;
      counts->started[decision->id % ACCOUNTS]++;
    }
  else if (decision->action == BT_RUN_QUEUED)
    counts->queued++;
  else
    CU_ASSERT_NOT_EQUAL (decision->reason, BT_REASON_NONE);
}

static void
check_agent_queue (const bt_run_queue_t *queue, const run_counts_t *counts)
{
  bt_load_t load;

  bt_get_run_load (queue, &load);
  CU_ASSERT_EQUAL (load.running, counts->running);
  CU_ASSERT_EQUAL (load.queued, counts->queued);
  CU_ASSERT (load.running <= SLOTS);
  CU_ASSERT (load.queued <= QUEUE_LIMIT);
  CU_ASSERT (load.queued == 0 || load.running == SLOTS);
}

static void
offer_random (bt_context_t *ctx,
              bt_run_queue_t *queue,
              bt_random_t *random,
              uint64_t step,
              run_counts_t *counts)
{
  /* Account 0 sends more requests than all others together. */
  const int32_t drawn = (int32_t)bt_random_below (random, (uint64_t)2 * ACCOUNTS);
  const int32_t account = drawn < ACCOUNTS ? drawn : 0;
  bt_run_decision_t decision;
  bt_run_request_t request = { .id = step * ACCOUNTS + (uint64_t)account };
  char name[BT_NAME_BYTES];

  name_account (name, account);
  request.account = name;
  request.deadline_left_ms = (int64_t)bt_random_below (random, MAX_DEADLINE_MS);
  counts->offered[account]++;
  bt_offer_run (ctx, queue, &request, (int64_t)step, &decision);
  record_decision (counts, &decision, false);
}

static void
run_random_agent (uint64_t seed)
{
  const bt_run_queue_options_t options = { .slots = SLOTS,
                                           .queue_limit = QUEUE_LIMIT,
                                           .default_service_ms = SERVICE_MS };
  bt_context_t *ctx = bt_new_context ();
  bt_run_queue_t *queue = bt_new_run_queue (ctx, &options);
  bt_run_decision_t decision;
  run_counts_t counts = { 0 };
  bt_random_t random;

  bt_seed_random (&random, seed);
  for (uint64_t step = 1; step <= STEPS; step++)
    {
      if (bt_random_below (&random, 3) > 0)
        offer_random (ctx, queue, &random, step, &counts);
      else if (counts.running > 0)
        {
          counts.running--;
          bt_end_run (queue, 1 + (int64_t)bt_random_below (&random, SERVICE_MS));
        }
      while (bt_next_run (queue, (int64_t)step, &decision))
        record_decision (&counts, &decision, true);
      check_agent_queue (queue, &counts);
    }
  /* Accounts 1 to 4 send a tenth of the requests each, below their share of a fifth; a part of them
   * cannot be served in time. */
  for (int32_t i = 1; i < ACCOUNTS; i++)
    CU_ASSERT (counts.started[i] * 100 >= counts.offered[i] * 72);
  bt_drop_run_queue (ctx, queue);
  bt_drop_context (ctx);
}

/* Guards the invariants of an agent's queue under random requests: no request waits while a slot is
 * free, the queue stays within its limit, the counts agree, and no account that demands less than
 * its share is starved. */
static void
test_agent_queue_invariants (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    run_random_agent (seed);
}

/* State of one entry in a random run. */
typedef struct entry_run
{
  bt_context_t *ctx;
  bt_router_t *router;
  bt_admission_t *admission;
  bt_random_t random;
  bt_route_t routes[ENDPOINTS * SLOTS];
  int32_t in_flight;
  int32_t queued;
} entry_run_t;

static void
start_entry_run (entry_run_t *run, uint64_t seed)
{
  bt_router_options_t routing;
  bt_admission_options_t options;

  memset (run, 0, sizeof *run);
  run->ctx = bt_new_context ();
  bt_seed_random (&run->random, seed);
  bt_default_router_options (&routing);
  routing.default_slots = SLOTS;
  routing.default_service_ms = SERVICE_MS;
  routing.queue_depth = 0;
  run->router = bt_new_router (run->ctx, &routing);
  bt_default_admission_options (&options);
  options.queue_limit = QUEUE_LIMIT;
  run->admission = bt_new_admission (run->ctx, run->router, &options);
  for (int32_t i = 0; i < ENDPOINTS; i++)
    {
      bt_endpoint_t endpoint;

      memset (&endpoint, 0, sizeof endpoint);
      snprintf (endpoint.identity.instance, sizeof endpoint.identity.instance, "agent-%d", i);
      bt_copy_name (endpoint.app, "drafts");
      bt_put_endpoint (run->ctx, run->router, &endpoint, 0);
    }
}

static void
dispatch (entry_run_t *run, int64_t now_ms)
{
  const bt_route_request_t request = { .app = "drafts", .seed = bt_next_random (&run->random) };
  int64_t retry_after_ms;

  CU_ASSERT_FATAL (run->in_flight < ENDPOINTS * SLOTS);
  CU_ASSERT_EQUAL (bt_choose_endpoint (run->router, &request, now_ms, &run->routes[run->in_flight],
                                       &retry_after_ms),
                   BT_REASON_NONE);
  bt_record_dispatch (run->router, &run->routes[run->in_flight], 0, now_ms);
  run->in_flight++;
}

static void
send_random (entry_run_t *run, uint64_t id, int64_t now_ms)
{
  bt_admission_request_t request = { .id = id, .app = "drafts", .seed = id };
  bt_admission_decision_t decision;
  char name[BT_NAME_BYTES];

  name_account (name, (int32_t)bt_random_below (&run->random, ACCOUNTS));
  request.account = name;
  request.deadline_left_ms = (int64_t)bt_random_below (&run->random, MAX_DEADLINE_MS);
  bt_decide_admission (run->ctx, run->admission, &request, now_ms, &decision);
  if (decision.action == BT_ADMISSION_ADMIT)
    dispatch (run, now_ms);
  else if (decision.action == BT_ADMISSION_QUEUE)
    run->queued++;
  else
    {
      CU_ASSERT_NOT_EQUAL (decision.reason, BT_REASON_NONE);
      CU_ASSERT (decision.retry_after_ms >= 0);
    }
}

static void
run_random_entry (uint64_t seed)
{
  entry_run_t run;
  bt_admission_decision_t decision;

  start_entry_run (&run, seed);
  for (uint64_t step = 1; step <= STEPS; step++)
    {
      const int64_t now_ms = (int64_t)step * 4;

      if (bt_random_below (&run.random, 3) > 0)
        send_random (&run, step, now_ms);
      else if (run.in_flight > 0)
        {
          const uint64_t at = bt_random_below (&run.random, (uint64_t)run.in_flight);

          bt_record_attempt_end (run.router, &run.routes[at], BT_ATTEMPT_ANSWERED, SERVICE_MS,
                                 now_ms);
          run.routes[at] = run.routes[--run.in_flight];
        }
      while (bt_next_admission (run.admission, now_ms, &decision))
        {
          run.queued--;
          if (decision.action == BT_ADMISSION_ADMIT)
            dispatch (&run, now_ms);
        }
      CU_ASSERT_EQUAL (bt_count_queued_requests (run.admission, "drafts"), run.queued);
      CU_ASSERT (run.queued <= QUEUE_LIMIT);
      CU_ASSERT (run.queued == 0 || run.in_flight == ENDPOINTS * SLOTS);
    }
  bt_drop_admission (run.ctx, run.admission);
  bt_drop_router (run.ctx, run.router);
  bt_drop_context (run.ctx);
}

/* Guards the invariants of an entry that has the endpoints to itself: it sends no more than fits,
 * and no request waits while an endpoint has a free slot. */
static void
test_entry_queue_invariants (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    run_random_entry (seed);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("policy invariants", NULL, NULL);
  CU_ADD_TEST (suite, test_agent_queue_invariants);
  CU_ADD_TEST (suite, test_entry_queue_invariants);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
