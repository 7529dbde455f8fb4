#include <string.h>

#include <CUnit/Basic.h>

#include "bilberrytray/base.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/maps/adaptive_load.h"

enum
{
  LAYERS = 2,
  EXPERTS = 32,
  RANKS = 8,
  REPORT_MS = 100,
  THREE_REPORTS_MS = 300,
  PICKS = 400, /* selections by one rank per report and layer */
  HALF_LIFE_MS = 500,
};

/** Demand in which one hot expert per layer gets about three in ten selections. */
typedef struct demand
{
  bt_random_t random;
  int32_t hot[LAYERS];
} demand_t;

static void
draw_counts (demand_t *demand, uint32_t *counts)
{
  memset (counts, 0, sizeof (uint32_t) * LAYERS * EXPERTS);
  for (int32_t layer = 0; layer < LAYERS; layer++)
    for (int32_t i = 0; i < PICKS; i++)
      {
        int32_t expert = (int32_t)bt_random_below (&demand->random, EXPERTS);

        if (bt_random_below (&demand->random, 10) < 3)
          expert = demand->hot[layer];
        counts[layer * EXPERTS + expert]++;
      }
}

/* Adds reports of all ranks, spread over each 100 ms. Returns the number of jumps detected. */
static int32_t
add_reports (bt_adaptive_load_t *load, demand_t *demand, int64_t from_ms, int64_t for_ms)
{
  uint32_t counts[LAYERS * EXPERTS];
  int32_t jumps = 0;

  for (int64_t now_ms = from_ms; now_ms < from_ms + for_ms; now_ms += REPORT_MS)
    for (int32_t rank = 0; rank < RANKS; rank++)
      {
        int64_t rank_ms = now_ms + rank * REPORT_MS / RANKS;

        draw_counts (demand, counts);
        bt_add_adaptive_load (load, counts, rank_ms);
        jumps += bt_poll_load_jump (load, rank_ms);
      }
  return jumps;
}

static double
get_share (const bt_adaptive_load_t *load, int32_t layer, int32_t expert)
{
  const bt_expert_load_t *mean = bt_get_adaptive_load (load);
  double sum = 0;

  for (int32_t i = 0; i < EXPERTS; i++)
    sum += bt_get_expert_load (mean, layer, i);
  return bt_get_expert_load (mean, layer, expert) / sum;
}

/* Guards against a mean that still favors the old expert after demand has moved to another one: the
 * next round relieves the wrong rank, only the one after it helps, and callers' streams stutter for
 * more than a second. The new demand must be known two windows after the jump. */
static void
test_a_jump_is_followed_within_two_windows (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_adaptive_load_t *load = bt_new_adaptive_load (ctx, LAYERS, EXPERTS, HALF_LIFE_MS);
  demand_t demand = { .hot = { 3, 5 } };

  bt_seed_random (&demand.random, 1);
  add_reports (load, &demand, 1000, 3000);
  CU_ASSERT_TRUE (get_share (load, 0, 3) > 0.27);
  demand.hot[0] = 9;
  CU_ASSERT_TRUE (add_reports (load, &demand, 4000, THREE_REPORTS_MS) > 0);
  CU_ASSERT_TRUE (get_share (load, 0, 9) > 0.27);
  CU_ASSERT_TRUE (get_share (load, 0, 3) < 0.06);
  CU_ASSERT_TRUE (get_share (load, 1, 5) > 0.27);
  bt_drop_adaptive_load (ctx, load);
  bt_drop_context (ctx);
}

/* Guards against needless copies, which take link bandwidth and lengthen passes. Under stable
 * demand the mean covers many windows, and no window counts as a jump. */
static void
test_noise_is_no_jump (void)
{
  bt_context_t *ctx = bt_new_context ();

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      bt_adaptive_load_t *load = bt_new_adaptive_load (ctx, LAYERS, EXPERTS, HALF_LIFE_MS);
      demand_t demand = { .hot = { 3, 5 } };

      bt_seed_random (&demand.random, seed);
      CU_ASSERT_EQUAL (add_reports (load, &demand, 1000, 30000), 0);
      CU_ASSERT_DOUBLE_EQUAL (get_share (load, 0, 3), 0.32, 0.02);
      bt_drop_adaptive_load (ctx, load);
    }
  bt_drop_context (ctx);
}

/* A group that was idle reports nothing for a while, and then the same demand as before. */
static void
test_silence_is_no_jump (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_adaptive_load_t *load = bt_new_adaptive_load (ctx, LAYERS, EXPERTS, HALF_LIFE_MS);
  uint32_t none[LAYERS * EXPERTS] = { 0 };
  demand_t demand = { .hot = { 3, 5 } };

  bt_seed_random (&demand.random, 2);
  add_reports (load, &demand, 1000, 3000);
  for (int64_t now_ms = 4000; now_ms < 9000; now_ms += REPORT_MS)
    {
      bt_add_adaptive_load (load, none, now_ms);
      CU_ASSERT_FALSE (bt_poll_load_jump (load, now_ms));
    }
  CU_ASSERT_EQUAL (add_reports (load, &demand, 9000, 3000), 0);
  bt_drop_adaptive_load (ctx, load);
  bt_drop_adaptive_load (ctx, NULL);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("adaptive load", NULL, NULL);
  CU_ADD_TEST (suite, test_a_jump_is_followed_within_two_windows);
  CU_ADD_TEST (suite, test_noise_is_no_jump);
  CU_ADD_TEST (suite, test_silence_is_no_jump);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
