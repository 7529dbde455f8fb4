#include <CUnit/Basic.h>

#include "bilberrytray/config/contention.h"

static bt_context_t *ctx;

/* Returns declarations with one app, whose rules have the given priorities. */
static bt_declarations_t *
make_declarations (const int32_t *priorities, int32_t count)
{
  bt_declarations_t *declarations = bt_new_empty_declarations (ctx);

  bt_add_app (ctx, declarations, "model");
  bt_add_app (ctx, declarations, "service");
  for (int32_t i = 0; i < count; i++)
    bt_add_rule (ctx, declarations, "rule", 0)->then.priority = priorities[i];
  bt_add_rule (ctx, declarations, "other", 1)->then.priority = BT_PRIORITY_LOW;
  return declarations;
}

static bool
is_contended (const int32_t *priorities, int32_t count)
{
  bt_declarations_t *declarations = make_declarations (priorities, count);
  bool contended = bt_is_app_contended (declarations, 0);

  CU_ASSERT_FALSE (bt_is_app_contended (declarations, 1));
  bt_drop_declarations (ctx, declarations);
  return contended;
}

/* Guards against an order among callers whose operators have asked for none. */
static void
test_only_different_priorities_contend (void)
{
  const int32_t equal[] = { BT_PRIORITY_HIGH, BT_PRIORITY_HIGH };
  const int32_t unset[] = { -1, BT_PRIORITY_NORMAL };
  const int32_t different[] = { BT_PRIORITY_NORMAL, BT_PRIORITY_NORMAL, BT_PRIORITY_LOW };
  const int32_t above_unset[] = { -1, BT_PRIORITY_HIGH };

  CU_ASSERT_FALSE (is_contended (equal, 0));
  CU_ASSERT_FALSE (is_contended (equal, 1));
  CU_ASSERT_FALSE (is_contended (equal, 2));
  CU_ASSERT_FALSE (is_contended (unset, 2));
  CU_ASSERT_TRUE (is_contended (different, 3));
  CU_ASSERT_TRUE (is_contended (above_unset, 2));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("contention", NULL, NULL);
  CU_ADD_TEST (suite, test_only_different_priorities_contend);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
