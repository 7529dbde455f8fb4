#include <CUnit/Basic.h>

#include "bilberrytray/load/pass_pace.h"

enum
{
  RANKS = 4,
  SLOTS = 12,
};

static const double least_pass_ms = 30;
static const double aim_pass_ms = 90;
static const double pause_ms = 130;

static bt_context_t *ctx;

static bt_pass_pace_t *
new_pace (void)
{
  bt_pass_pace_settings_t settings = { RANKS, least_pass_ms, aim_pass_ms, pause_ms, SLOTS };

  return bt_new_pass_pace (ctx, &settings);
}

/* Reports of all ranks over a time in which each pass takes so long. */
static int64_t
play (bt_pass_pace_t *pace, int64_t from_ms, int64_t span_ms, int64_t pass_ms, int32_t running)
{
  for (int64_t now_ms = from_ms; now_ms < from_ms + span_ms; now_ms += 100)
    for (int32_t rank = 0; rank < RANKS; rank++)
      bt_record_pass (pace, rank, now_ms / pass_ms, running, now_ms);
  return from_ms + span_ms;
}

static void
test_short_passes_leave_all_slots (void)
{
  bt_pass_pace_t *pace = new_pace ();

  play (pace, 0, 2000, 50, 6);
  CU_ASSERT_EQUAL (bt_get_pass_limit (pace), SLOTS);
  bt_drop_pass_pace (ctx, pace);
}

/* Demand shifts to experts of one rank: passes with ten requests a rank take 200 ms, and every
 * stream pauses longer than its caller expects. With fewer a rank the streams that do run are in
 * time. */
static void
test_long_passes_lower_the_limit_at_once (void)
{
  bt_pass_pace_t *pace = new_pace ();
  int64_t now_ms = play (pace, 0, 2000, 50, 10);

  play (pace, now_ms, 800, 200, 10);
  CU_ASSERT (bt_get_pass_limit (pace) >= 2);
  CU_ASSERT (bt_get_pass_limit (pace) <= 5);
  bt_drop_pass_pace (ctx, pace);
}

static void
test_limit_grows_back (void)
{
  bt_pass_pace_t *pace = new_pace ();
  int64_t now_ms = play (pace, 0, 1000, 200, 10);

  play (pace, now_ms, 4000, 40, 4);
  CU_ASSERT_EQUAL (bt_get_pass_limit (pace), SLOTS);
  bt_drop_pass_pace (ctx, pace);
}

/* Demand jumps again and again: passes take 200 ms with ten requests a rank for half a second, and
 * then 60 ms. */
static int64_t
play_jumps (bt_pass_pace_t *pace, int64_t now_ms, int32_t jumps, int64_t calm_ms)
{
  for (int32_t i = 0; i < jumps; i++)
    {
      now_ms = play (pace, now_ms, 600, 200, 10);
      now_ms = play (pace, now_ms, calm_ms, 60, 10);
    }
  return now_ms;
}

/* Streams were late one and all: between two jumps the limit grew back to all slots, and the next
 * jump met a full group. */
static void
test_limit_keeps_room_for_frequent_jumps (void)
{
  bt_pass_pace_t *pace = new_pace ();
  int64_t now_ms = play_jumps (pace, 0, 4, 1800);

  CU_ASSERT (bt_are_jumps_frequent (pace, now_ms));
  CU_ASSERT (bt_get_pass_limit (pace) < SLOTS / 2);
  bt_drop_pass_pace (ctx, pace);
}

/* Where jumps are rare, or have ended, room for them would only make callers wait. */
static void
test_limit_grows_back_between_rare_jumps (void)
{
  bt_pass_pace_t *pace = new_pace ();
  int64_t now_ms = play_jumps (pace, 0, 4, 9000);

  CU_ASSERT_FALSE (bt_are_jumps_frequent (pace, now_ms));
  CU_ASSERT_EQUAL (bt_get_pass_limit (pace), SLOTS);
  now_ms = play_jumps (pace, now_ms, 4, 1800);
  CU_ASSERT (bt_get_pass_limit (pace) < SLOTS / 2);
  play (pace, now_ms, 8000, 60, 10);
  CU_ASSERT_EQUAL (bt_get_pass_limit (pace), SLOTS);
  bt_drop_pass_pace (ctx, pace);
}

/* A group that is formed anew counts its steps from another place, perhaps a lower one. Read as one
 * endless pass, that would close the group for good. */
static void
test_new_group_starts_anew (void)
{
  bt_pass_pace_t *pace = new_pace ();
  int64_t now_ms = play (pace, 0, 1000, 50, 6);

  for (int64_t step = 0; step < 100; step++, now_ms += 50)
    for (int32_t rank = 0; rank < RANKS; rank++)
      bt_record_pass (pace, rank, step, 6, now_ms);
  CU_ASSERT_EQUAL (bt_get_pass_limit (pace), SLOTS);
  CU_ASSERT (bt_get_pass_ms (pace) < 60);
  bt_drop_pass_pace (ctx, pace);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("pass_pace", NULL, NULL);
  CU_ADD_TEST (suite, test_short_passes_leave_all_slots);
  CU_ADD_TEST (suite, test_long_passes_lower_the_limit_at_once);
  CU_ADD_TEST (suite, test_limit_grows_back);
  CU_ADD_TEST (suite, test_limit_keeps_room_for_frequent_jumps);
  CU_ADD_TEST (suite, test_limit_grows_back_between_rare_jumps);
  CU_ADD_TEST (suite, test_new_group_starts_anew);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
