#include <CUnit/Basic.h>

#include "bilberrytray/load/pass_limiter.h"

enum
{
  RANKS = 4,
  SLOTS = 12,
};

static const double min_pass_ms = 30;
static const double target_pass_ms = 90;
static const double pause_ms = 130;

static bt_context_t *ctx;

static bt_pass_limiter_t *
new_limiter (void)
{
  bt_pass_limiter_settings_t settings = { RANKS, min_pass_ms, target_pass_ms, pause_ms, SLOTS };

  return bt_new_pass_limiter (ctx, &settings);
}

/* Simulates reports of all ranks over @p span_ms with passes of @p pass_ms each. */
static int64_t
simulate_passes (
    bt_pass_limiter_t *limiter, int64_t from_ms, int64_t span_ms, int64_t pass_ms, int32_t running)
{
  for (int64_t now_ms = from_ms; now_ms < from_ms + span_ms; now_ms += 100)
    for (int32_t rank = 0; rank < RANKS; rank++)
      bt_record_pass (limiter, rank, now_ms / pass_ms, running, now_ms);
  return from_ms + span_ms;
}

/* Returns the limit behind a new formation of a group, some of whose passes were measured before.
 */
static int32_t
get_limit_after_formation (double first_map_limit, int64_t version)
{
  bt_pass_limiter_t *limiter = new_limiter ();
  int64_t now_ms;
  int32_t limit;

  bt_record_group_formation (limiter, 1, 5, first_map_limit);
  now_ms = simulate_passes (limiter, 0, 2000, 50, 6);
  CU_ASSERT_EQUAL (bt_get_running_limit (limiter), SLOTS);
  bt_record_group_formation (limiter, 2, version, first_map_limit);
  limit = bt_get_running_limit (limiter);
  /* Short passes raise it again. */
  simulate_passes (limiter, now_ms, 2000, 50, 6);
  CU_ASSERT_EQUAL (bt_get_running_limit (limiter), SLOTS);
  bt_drop_pass_limiter (ctx, limiter);
  return limit;
}

/* Guards against a group that is filled by what waited while it was down: its first map is uneven,
 * so that all its streams would be late by their first passes. */
static void
test_formed_group_starts_with_few_requests (void)
{
  CU_ASSERT_EQUAL (get_limit_after_formation (4.4, 0), 4);
  CU_ASSERT_EQUAL (get_limit_after_formation (0.5, 0), 2);
  CU_ASSERT_EQUAL (get_limit_after_formation (40, 0), SLOTS);
  CU_ASSERT_EQUAL (get_limit_after_formation (4.4, 6), SLOTS);
  CU_ASSERT_EQUAL (get_limit_after_formation (0, 0), SLOTS);
}

static void
test_short_passes_allow_all_slots (void)
{
  bt_pass_limiter_t *limiter = new_limiter ();

  simulate_passes (limiter, 0, 2000, 50, 6);
  CU_ASSERT_EQUAL (bt_get_running_limit (limiter), SLOTS);
  bt_drop_pass_limiter (ctx, limiter);
}

/* Guards against streams that all pause too long after demand shifts to experts of one rank, when
 * passes with ten requests per rank take 200 ms. With fewer requests per rank the running streams
 * are in time. */
static void
test_long_passes_lower_the_limit_at_once (void)
{
  bt_pass_limiter_t *limiter = new_limiter ();
  int64_t now_ms = simulate_passes (limiter, 0, 2000, 50, 10);

  simulate_passes (limiter, now_ms, 800, 200, 10);
  CU_ASSERT (bt_get_running_limit (limiter) >= 2);
  CU_ASSERT (bt_get_running_limit (limiter) <= 5);
  bt_drop_pass_limiter (ctx, limiter);
}

/* Guards against refusing nearly all callers while a rank is so slow that no limit makes passes
 * short enough; and against keeping all slots once the rank is no longer slow. */
static void
test_slow_rank_allows_all_slots (void)
{
  bt_pass_limiter_t *limiter = new_limiter ();
  int64_t now_ms;

  bt_record_rank_slowdown (limiter, 1, 12, 0);
  now_ms = simulate_passes (limiter, 0, 2000, 400, 10);
  CU_ASSERT_EQUAL (bt_get_running_limit (limiter), SLOTS);
  bt_record_rank_slowdown (limiter, 1, 1, now_ms);
  simulate_passes (limiter, now_ms, 1600, 400, 10);
  CU_ASSERT (bt_get_running_limit (limiter) <= 5);
  bt_drop_pass_limiter (ctx, limiter);
}

/* Guards against a limit that is too low for a group of which only some ranks report to this entry:
 * the others run as many requests. */
static void
test_ranks_that_do_not_report_are_not_idle (void)
{
  bt_pass_limiter_t *limiter = new_limiter ();
  bt_pass_limiter_t *partial = new_limiter ();

  simulate_passes (limiter, 0, 2000, 100, 8);
  for (int64_t now_ms = 0; now_ms < 2000; now_ms += 100)
    bt_record_pass (partial, 1, now_ms / 100, 8, now_ms);
  CU_ASSERT_EQUAL (bt_get_running_limit (partial), bt_get_running_limit (limiter));
  CU_ASSERT (bt_get_running_limit (partial) >= 4);
  bt_drop_pass_limiter (ctx, limiter);
  bt_drop_pass_limiter (ctx, partial);
}

static void
test_limit_grows_back (void)
{
  bt_pass_limiter_t *limiter = new_limiter ();
  int64_t now_ms = simulate_passes (limiter, 0, 1000, 200, 10);

  simulate_passes (limiter, now_ms, 4000, 40, 4);
  CU_ASSERT_EQUAL (bt_get_running_limit (limiter), SLOTS);
  bt_drop_pass_limiter (ctx, limiter);
}

/* Simulates repeated jumps of demand: passes take 200 ms with ten requests per rank for 600 ms, and
 * then 60 ms. */
static int64_t
simulate_jumps (bt_pass_limiter_t *limiter, int64_t now_ms, int32_t jumps, int64_t calm_ms)
{
  for (int32_t i = 0; i < jumps; i++)
    {
      now_ms = simulate_passes (limiter, now_ms, 600, 200, 10);
      now_ms = simulate_passes (limiter, now_ms, calm_ms, 60, 10);
    }
  return now_ms;
}

/* Guards against a limit that grows back to all slots between two jumps: the next jump would meet a
 * full group and make all its streams late. */
static void
test_limit_stays_low_between_frequent_jumps (void)
{
  bt_pass_limiter_t *limiter = new_limiter ();
  int64_t now_ms = simulate_jumps (limiter, 0, 4, 1800);

  CU_ASSERT (bt_are_demand_jumps_frequent (limiter, now_ms));
  CU_ASSERT (bt_get_running_limit (limiter) < SLOTS / 2);
  bt_drop_pass_limiter (ctx, limiter);
}

/* Guards against a limit that stays low, and makes callers wait, when jumps are rare or have
 * ended. */
static void
test_limit_grows_back_between_rare_jumps (void)
{
  bt_pass_limiter_t *limiter = new_limiter ();
  int64_t now_ms = simulate_jumps (limiter, 0, 4, 9000);

  CU_ASSERT_FALSE (bt_are_demand_jumps_frequent (limiter, now_ms));
  CU_ASSERT_EQUAL (bt_get_running_limit (limiter), SLOTS);
  now_ms = simulate_jumps (limiter, now_ms, 4, 1800);
  CU_ASSERT (bt_get_running_limit (limiter) < SLOTS / 2);
  simulate_passes (limiter, now_ms, 8000, 60, 10);
  CU_ASSERT_EQUAL (bt_get_running_limit (limiter), SLOTS);
  bt_drop_pass_limiter (ctx, limiter);
}

/* Guards against a group that is closed for good because its step count restarts, perhaps at a
 * lower step, and is read as one endless pass. */
static void
test_restarted_step_count_starts_new_window (void)
{
  bt_pass_limiter_t *limiter = new_limiter ();
  int64_t now_ms = simulate_passes (limiter, 0, 1000, 50, 6);

  for (int64_t step = 0; step < 100; step++, now_ms += 50)
    for (int32_t rank = 0; rank < RANKS; rank++)
      bt_record_pass (limiter, rank, step, 6, now_ms);
  CU_ASSERT_EQUAL (bt_get_running_limit (limiter), SLOTS);
  CU_ASSERT (bt_get_pass_ms (limiter) < 60);
  bt_drop_pass_limiter (ctx, limiter);
}

/* Guards against a rank that counts as slow for good because its agent stopped reporting. */
static void
test_old_slowdown_expires (void)
{
  bt_pass_limiter_t *limiter = new_limiter ();

  CU_ASSERT_EQUAL (bt_get_least_pass_ms (limiter, 0), min_pass_ms);
  bt_record_rank_slowdown (limiter, 1, 12, 0);
  CU_ASSERT_EQUAL (bt_get_least_pass_ms (limiter, 1000), 12 * min_pass_ms);
  CU_ASSERT_EQUAL (bt_get_least_pass_ms (limiter, 5000), min_pass_ms);
  bt_drop_pass_limiter (ctx, limiter);
}

static void
test_stream_time_grows_with_tokens_and_passes (void)
{
  CU_ASSERT_EQUAL (bt_estimate_stream_ms (50, 140, 7), 1100);
  CU_ASSERT_EQUAL (bt_estimate_stream_ms (400, 140, 7), 8800);
  CU_ASSERT_EQUAL (bt_estimate_stream_ms (0, 140, 7), 0);
  CU_ASSERT_EQUAL (bt_estimate_stream_ms (50, 0, 7), 0);
  CU_ASSERT_EQUAL (bt_estimate_stream_ms (50, 140, 0), 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("pass_limiter", NULL, NULL);
  CU_ADD_TEST (suite, test_formed_group_starts_with_few_requests);
  CU_ADD_TEST (suite, test_short_passes_allow_all_slots);
  CU_ADD_TEST (suite, test_long_passes_lower_the_limit_at_once);
  CU_ADD_TEST (suite, test_slow_rank_allows_all_slots);
  CU_ADD_TEST (suite, test_ranks_that_do_not_report_are_not_idle);
  CU_ADD_TEST (suite, test_limit_grows_back);
  CU_ADD_TEST (suite, test_limit_stays_low_between_frequent_jumps);
  CU_ADD_TEST (suite, test_limit_grows_back_between_rare_jumps);
  CU_ADD_TEST (suite, test_restarted_step_count_starts_new_window);
  CU_ADD_TEST (suite, test_old_slowdown_expires);
  CU_ADD_TEST (suite, test_stream_time_grows_with_tokens_and_passes);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
