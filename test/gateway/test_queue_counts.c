#include <CUnit/Basic.h>

#include "bilberrytray/base/counters.h"
#include "queue_counts.h"

static int64_t
read_count (bt_context_t *ctx, const char *family, const char *label, const char *value)
{
  return bt_read_counter (bt_find_counter (ctx, BT_COUNTER, family, "", label, value));
}

/* Guards against operators who can't tell whether late requests crowd out fresh ones, or which
 * priority loses its place. */
static void
test_contended_decisions_are_counted (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_admission_decision_t decision = { .action = BT_ADMISSION_ADMIT,
                                       .order = BT_QUEUE_ORDER_IN_TIME };

  bt_count_queue_decision (ctx, &decision, BT_PRIORITY_HIGH);
  bt_count_queue_decision (ctx, &decision, BT_PRIORITY_LOW);
  decision.order = BT_QUEUE_ORDER_LATE;
  bt_count_queue_decision (ctx, &decision, BT_PRIORITY_LOW);
  decision = (bt_admission_decision_t){ .action = BT_ADMISSION_REFUSE, .displaced = true };
  bt_count_queue_decision (ctx, &decision, BT_PRIORITY_LOW);
  CU_ASSERT_EQUAL (read_count (ctx, "bilberry_queue_served_total", "order", "in-time"), 2);
  CU_ASSERT_EQUAL (read_count (ctx, "bilberry_queue_served_total", "order", "late"), 1);
  CU_ASSERT_EQUAL (read_count (ctx, "bilberry_queue_displaced_total", "priority", "low"), 1);
  CU_ASSERT_EQUAL (read_count (ctx, "bilberry_queue_displaced_total", "priority", "high"), 0);
  bt_drop_context (ctx);
}

/* Guards against counts for apps that are not contended, whose order is not decided here. */
static void
test_other_decisions_are_not_counted (void)
{
  bt_context_t *ctx = bt_new_context ();
  const bt_admission_decision_t admitted = { .action = BT_ADMISSION_ADMIT };
  const bt_admission_decision_t refused = { .action = BT_ADMISSION_REFUSE };

  bt_count_queue_decision (ctx, &admitted, BT_PRIORITY_HIGH);
  bt_count_queue_decision (ctx, &refused, BT_PRIORITY_LOW);
  CU_ASSERT_EQUAL (read_count (ctx, "bilberry_queue_served_total", "order", "in-time"), 0);
  CU_ASSERT_EQUAL (read_count (ctx, "bilberry_queue_served_total", "order", "late"), 0);
  CU_ASSERT_EQUAL (read_count (ctx, "bilberry_queue_displaced_total", "priority", "low"), 0);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("queue_counts", NULL, NULL);
  CU_ADD_TEST (suite, test_contended_decisions_are_counted);
  CU_ADD_TEST (suite, test_other_decisions_are_not_counted);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
