#include <CUnit/Basic.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/config/contention.h"
#include "bilberrytray/config/rule_split.h"

enum
{
  APPS = 3,
  SEEDS = 20,
  KEYS = 20000,
  PER_MILLE = 1000,
  /* Of 20,000 keys, four times the standard deviation of the count of an app. */
  TOLERANCE_PER_MILLE = 15,
};

static bt_context_t *ctx;
static bt_declarations_t *declarations;

static bt_rule_t *
make_rule (const double *weights, int32_t count)
{
  bt_rule_t *rule;

  bt_drop_declarations (ctx, declarations);
  declarations = bt_new_empty_declarations (ctx);
  for (int32_t i = 0; i < APPS; i++)
    bt_add_app (ctx, declarations, "app");
  rule = bt_add_rule (ctx, declarations, "rule", -1);
  for (int32_t i = 0; i < count; i++)
    bt_add_rule_split (ctx, rule, i, weights[i]);
  return rule;
}

/* Guards against apps of a split that get other shares than their weights say. */
static void
test_shares_follow_the_weights (void)
{
  static const double weights[][APPS] = {
    { 90, 10, 0.001 }, { 1, 1, 1 }, { 0.25, 0.5, 0.25 }, { 1e9, 3e9, 6e9 }
  };

  for (size_t i = 0; i < sizeof weights / sizeof weights[0]; i++)
    {
      const bt_rule_t *rule = make_rule (weights[i], APPS);
      const double total = weights[i][0] + weights[i][1] + weights[i][2];

      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          int32_t counts[APPS] = { 0 };
          bt_random_t random;

          bt_seed_random (&random, seed);
          for (int32_t key = 0; key < KEYS; key++)
            counts[bt_choose_rule_app (&rule->then, bt_next_random (&random))]++;
          for (int32_t app = 0; app < APPS; app++)
            CU_ASSERT_DOUBLE_EQUAL (counts[app] * (double)PER_MILLE / KEYS,
                                    weights[i][app] / total * PER_MILLE, TOLERANCE_PER_MILLE);
        }
    }
}

/* Guards against a change of weights that moves more requests than it must: callers who resume a
 * stream would reach an app that did not begin it. */
static void
test_changed_weights_move_few_keys (void)
{
  static const double before[] = { 90, 10 };
  static const double after[] = { 80, 20 };
  bt_random_t random;
  int32_t moved = 0;

  bt_seed_random (&random, 1);
  for (int32_t i = 0; i < KEYS; i++)
    {
      const uint64_t key = bt_next_random (&random);
      const int32_t app = bt_choose_rule_app (&make_rule (before, 2)->then, key);

      moved += app != bt_choose_rule_app (&make_rule (after, 2)->then, key) ? 1 : 0;
    }
  CU_ASSERT_DOUBLE_EQUAL (moved * (double)PER_MILLE / KEYS, 100, TOLERANCE_PER_MILLE);
}

static void
test_bounds_of_the_keys (void)
{
  static const double weights[] = { 1, 2, 3 };
  const bt_rule_t *rule = make_rule (weights, APPS);

  CU_ASSERT_EQUAL (bt_choose_rule_app (&rule->then, 0), 0);
  CU_ASSERT_EQUAL (bt_choose_rule_app (&rule->then, UINT64_MAX), 2);
  CU_ASSERT_TRUE (bt_may_rule_choose_app (&rule->then, 2));
  rule = make_rule (weights, 2);
  CU_ASSERT_FALSE (bt_may_rule_choose_app (&rule->then, 2));
  CU_ASSERT_EQUAL (bt_choose_rule_app (&rule->then, UINT64_MAX), 1);
  rule = make_rule (weights, 0);
  CU_ASSERT_EQUAL (bt_choose_rule_app (&rule->then, UINT64_MAX), -1);
  CU_ASSERT_FALSE (bt_may_rule_choose_app (&rule->then, 0));
}

/* Guards against an app being served without priorities because its callers come by a split. */
static void
test_split_rules_contend_for_each_app (void)
{
  static const double weights[] = { 1, 1 };
  bt_rule_t *rule = make_rule (weights, 2);

  rule->then.priority = BT_PRIORITY_LOW;
  CU_ASSERT_FALSE (bt_is_app_contended (declarations, 1));
  bt_add_rule (ctx, declarations, "other", 1)->then.priority = BT_PRIORITY_HIGH;
  CU_ASSERT_TRUE (bt_is_app_contended (declarations, 1));
  CU_ASSERT_FALSE (bt_is_app_contended (declarations, 0));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("rule_split", NULL, NULL);
  CU_ADD_TEST (suite, test_shares_follow_the_weights);
  CU_ADD_TEST (suite, test_changed_weights_move_few_keys);
  CU_ADD_TEST (suite, test_bounds_of_the_keys);
  CU_ADD_TEST (suite, test_split_rules_contend_for_each_app);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_declarations (ctx, declarations);
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
