#include <CUnit/Basic.h>

#include "bilberrytray/base.h"
#include "bilberrytray/base/limit.h"

/* Guards against a limit that rejects peers for hours without any trace. Each time that a limit is
 * reached is counted; the first is logged at once, later ones ever more rarely, so that a limit
 * that is reached a thousand times a second does not flood the log. */
static void
test_each_time_is_counted (void)
{
  bt_context_t *ctx = bt_new_context ();

  bt_set_log_level (ctx, -1);
  for (int32_t i = 0; i < 1000; i++)
    bt_report_limit (ctx, "links", 64, "a peer", "It is turned away.");
  bt_report_limit (ctx, "group", 2048, "g0", "Its map stays as it is.");
  CU_ASSERT_EQUAL (bt_read_counter (bt_find_counter (
                       ctx, BT_COUNTER, "bilberry_limits_reached_total", "", "limit", "links")),
                   1000);
  CU_ASSERT_EQUAL (bt_read_counter (bt_find_counter (
                       ctx, BT_COUNTER, "bilberry_limits_reached_total", "", "limit", "group")),
                   1);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("limit", NULL, NULL);
  CU_ADD_TEST (suite, test_each_time_is_counted);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
