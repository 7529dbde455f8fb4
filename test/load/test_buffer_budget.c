#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/load/buffer_budget.h"

enum
{
  KB = 1024,
  CALL_BYTES = 64 * KB,
  TOTAL_BYTES = 1024 * KB,
  CALLS = 60,
  STEPS = 4000,
  SEEDS = 50,
  PART_BYTES = 16 * KB,
  MAX_OTHER_BYTES = 8 * KB,
  KINDS = 8,
};

static const bt_buffer_budget_options_t bounded = { CALL_BYTES, TOTAL_BYTES };
static const bt_buffer_budget_options_t unbounded = { CALL_BYTES, 0 };

/* Guards against a transfer that goes on although its caller takes nothing, and one that is paused
 * and resumed for each few bytes. */
static void
test_call_is_behind_above_the_limit_until_below_half (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_buffer_budget_t *budget = bt_new_buffer_budget (ctx, &unbounded);
  bt_buffered_call_t call = { 0 };

  CU_ASSERT_FALSE (bt_add_waiting_bytes (budget, &call, CALL_BYTES, 0));
  CU_ASSERT_TRUE (bt_add_waiting_bytes (budget, &call, 1, 0));
  CU_ASSERT_FALSE (bt_add_waiting_bytes (budget, &call, 1, 0));
  CU_ASSERT_FALSE (bt_take_waiting_bytes (budget, &call, CALL_BYTES / 2 + 2, 1));
  CU_ASSERT_TRUE (call.behind);
  CU_ASSERT_TRUE (bt_take_waiting_bytes (budget, &call, 1, 2));
  CU_ASSERT_FALSE (call.behind);
  CU_ASSERT_FALSE (bt_take_waiting_bytes (budget, &call, 1, 2));
  CU_ASSERT_EQUAL (bt_get_buffered_bytes (budget), CALL_BYTES / 2 - 2);
  bt_remove_buffered_call (budget, &call);
  CU_ASSERT_EQUAL (bt_get_buffered_bytes (budget), 0);
  bt_drop_buffer_budget (ctx, budget);
  bt_drop_context (ctx);
}

/* Guards against ending a caller that reads, however much waits for it, instead of one that does
 * not read, and against ending one that is not behind. */
static void
test_longest_without_progress_is_ended_first (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_buffer_budget_t *budget = bt_new_buffer_budget (ctx, &bounded);
  bt_buffered_call_t reading = { 0 };
  bt_buffered_call_t stalled = { 0 };
  bt_buffered_call_t larger = { 0 };
  bt_buffered_call_t small = { 0 };

  bt_add_waiting_bytes (budget, &small, CALL_BYTES, 0);
  bt_add_waiting_bytes (budget, &reading, TOTAL_BYTES / 2, 0);
  bt_add_waiting_bytes (budget, &stalled, TOTAL_BYTES / 8, 10);
  bt_add_waiting_bytes (budget, &larger, TOTAL_BYTES / 4, 10);
  CU_ASSERT_PTR_NULL (bt_find_call_to_end (budget));
  bt_take_waiting_bytes (budget, &reading, 1, 20);
  bt_add_waiting_bytes (budget, &reading, TOTAL_BYTES / 2, 20);
  CU_ASSERT_PTR_EQUAL (bt_find_call_to_end (budget), &larger);
  bt_discard_waiting_bytes (budget, &larger);
  CU_ASSERT_PTR_EQUAL (bt_find_call_to_end (budget), &stalled);
  bt_discard_waiting_bytes (budget, &stalled);
  CU_ASSERT_PTR_EQUAL (bt_find_call_to_end (budget), &reading);
  bt_discard_waiting_bytes (budget, &reading);
  CU_ASSERT_PTR_NULL (bt_find_call_to_end (budget));
  bt_remove_buffered_call (budget, &small);
  CU_ASSERT_EQUAL (bt_get_buffered_bytes (budget), 0);
  bt_drop_buffer_budget (ctx, budget);
  bt_drop_context (ctx);
}

/* Guards against counting time without anything to take as time without progress. */
static void
test_time_without_bytes_is_no_stall (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_buffer_budget_t *budget = bt_new_buffer_budget (ctx, &bounded);
  bt_buffered_call_t idle = { 0 };
  bt_buffered_call_t stalled = { 0 };

  bt_add_waiting_bytes (budget, &idle, 1, 0);
  bt_take_waiting_bytes (budget, &idle, 1, 0);
  bt_add_waiting_bytes (budget, &stalled, TOTAL_BYTES / 2, 50);
  bt_add_waiting_bytes (budget, &idle, TOTAL_BYTES, 100);
  CU_ASSERT_PTR_EQUAL (bt_find_call_to_end (budget), &stalled);
  bt_remove_buffered_call (budget, &idle);
  bt_remove_buffered_call (budget, &stalled);
  bt_drop_buffer_budget (ctx, budget);
  bt_drop_context (ctx);
}

/* Guards against refusing the bodies of quick callers because slow readers fill the budget, and
 * against accepting bodies without a bound. */
static void
test_bodies_have_the_room_of_slow_readers (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_buffer_budget_t *budget = bt_new_buffer_budget (ctx, &bounded);
  bt_buffer_budget_t *endless = bt_new_buffer_budget (ctx, &unbounded);
  bt_buffered_call_t slow = { 0 };
  bt_buffered_call_t body = { 0 };

  bt_add_waiting_bytes (budget, &slow, TOTAL_BYTES, 0);
  CU_ASSERT_TRUE (bt_may_buffer_body (budget, 0, TOTAL_BYTES));
  CU_ASSERT_FALSE (bt_may_buffer_body (budget, 0, TOTAL_BYTES + 1));
  bt_set_other_bytes (budget, &body, TOTAL_BYTES);
  CU_ASSERT_FALSE (bt_may_buffer_body (budget, CALL_BYTES, 1));
  CU_ASSERT_PTR_EQUAL (bt_find_call_to_end (budget), &slow);
  bt_discard_waiting_bytes (budget, &slow);
  CU_ASSERT_PTR_NULL (bt_find_call_to_end (budget));
  CU_ASSERT_FALSE (bt_may_buffer_body (budget, CALL_BYTES, 1));
  bt_remove_buffered_call (budget, &body);
  CU_ASSERT_TRUE (bt_may_buffer_body (budget, 0, TOTAL_BYTES));
  CU_ASSERT_TRUE (bt_may_buffer_body (endless, 0, INT64_MAX / 2));
  bt_drop_buffer_budget (ctx, budget);
  bt_drop_buffer_budget (ctx, endless);
  bt_drop_context (ctx);
}

/* Guards against refusing small bodies, even the smallest, while the bytes of calls that are not
 * behind exceed the bound. */
static void
test_small_bodies_fit_beyond_the_bound (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_buffer_budget_t *budget = bt_new_buffer_budget (ctx, &bounded);
  bt_buffered_call_t large = { 0 };

  bt_set_other_bytes (budget, &large, TOTAL_BYTES + 1);
  CU_ASSERT_TRUE (bt_may_buffer_body (budget, 0, KB));
  CU_ASSERT_TRUE (bt_may_buffer_body (budget, KB, CALL_BYTES - KB));
  CU_ASSERT_FALSE (bt_may_buffer_body (budget, KB, CALL_BYTES - KB + 1));
  CU_ASSERT_FALSE (bt_may_buffer_body (budget, 0, CALL_BYTES + 1));
  bt_remove_buffered_call (budget, &large);
  bt_drop_buffer_budget (ctx, budget);
  bt_drop_context (ctx);
}

static int64_t
get_sum (const bt_buffered_call_t *calls)
{
  int64_t sum = 0;

  for (int32_t i = 0; i < CALLS; i++)
    sum += calls[i].waiting_bytes + calls[i].other_bytes;
  return sum;
}

/* Checks the choice of the call to end against all others, and ends it. */
static void
end_calls (bt_buffer_budget_t *budget, bt_buffered_call_t *calls)
{
  bt_buffered_call_t *ended;

  while ((ended = bt_find_call_to_end (budget)) != NULL)
    {
      CU_ASSERT_TRUE (ended->behind);
      for (int32_t i = 0; i < CALLS; i++)
        CU_ASSERT_TRUE (!calls[i].behind || calls[i].progress_ms >= ended->progress_ms);
      bt_remove_buffered_call (budget, ended);
    }
}

/* Every even call reads, every odd one does not. */
static void
make_random_step (bt_random_t *random,
                  bt_buffer_budget_t *budget,
                  bt_buffered_call_t *calls,
                  int64_t now_ms)
{
  int32_t index = (int32_t)bt_random_below (random, CALLS);
  bt_buffered_call_t *call = &calls[index];
  bool reads = index % 2 == 0;

  switch (bt_random_below (random, KINDS))
    {
    case 0:
      bt_set_other_bytes (budget, call, (int64_t)bt_random_below (random, MAX_OTHER_BYTES));
      break;
    case 1:
      if (reads)
        bt_remove_buffered_call (budget, call);
      break;
    default:
      /* A transfer that is paused brings nothing. */
      if (!call->behind)
        bt_add_waiting_bytes (budget, call, (int64_t)bt_random_below (random, PART_BYTES), now_ms);
      break;
    }
  if (reads)
    bt_take_waiting_bytes (budget, call, call->waiting_bytes, now_ms);
}

/* Guards against lost or doubled bytes, an exceeded bound, and the end of a caller that reads, over
 * random schedules of parts, reads, bodies and ends. */
static void
test_random_schedules_keep_the_bound (void)
{
  bt_context_t *ctx = bt_new_context ();

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      bt_buffer_budget_t *budget = bt_new_buffer_budget (ctx, &bounded);
      bt_buffered_call_t calls[CALLS];
      bt_random_t random;

      memset (calls, 0, sizeof calls);
      bt_seed_random (&random, seed);
      for (int32_t step = 0; step < STEPS; step++)
        {
          make_random_step (&random, budget, calls, step);
          end_calls (budget, calls);
          CU_ASSERT_EQUAL (bt_get_buffered_bytes (budget), get_sum (calls));
          for (int32_t i = 0; i < CALLS; i++)
            CU_ASSERT_TRUE (calls[i].waiting_bytes <= CALL_BYTES + PART_BYTES);
          /* Calls that are not behind are never ended; all calls at their limit exceed the bound.
           */
          CU_ASSERT_TRUE (bt_get_buffered_bytes (budget) <= TOTAL_BYTES
                          || bt_find_call_to_end (budget) == NULL);
        }
      for (int32_t i = 0; i < CALLS; i++)
        bt_remove_buffered_call (budget, &calls[i]);
      CU_ASSERT_EQUAL (bt_get_buffered_bytes (budget), 0);
      CU_ASSERT_TRUE (bt_may_buffer_body (budget, 0, TOTAL_BYTES));
      bt_drop_buffer_budget (ctx, budget);
    }
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("buffer_budget", NULL, NULL);
  CU_ADD_TEST (suite, test_call_is_behind_above_the_limit_until_below_half);
  CU_ADD_TEST (suite, test_longest_without_progress_is_ended_first);
  CU_ADD_TEST (suite, test_time_without_bytes_is_no_stall);
  CU_ADD_TEST (suite, test_bodies_have_the_room_of_slow_readers);
  CU_ADD_TEST (suite, test_small_bodies_fit_beyond_the_bound);
  CU_ADD_TEST (suite, test_random_schedules_keep_the_bound);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
