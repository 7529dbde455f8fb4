#include <CUnit/Basic.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/base/histogram.h"
#include "bilberrytray/core/outcome.h"

enum
{
  THREADS = 4,
  ROUNDS = 10000,
};

static bt_context_t *ctx;

static char *
print_counters (void)
{
  char *text = NULL;
  size_t bytes = 0;
  FILE *out = open_memstream (&text, &bytes);

  bt_print_counters (ctx, out);
  fclose (out);
  return text;
}

static void
test_families_are_printed_once_with_their_help (void)
{
  char *text;

  ctx = bt_new_context ();
  bt_add_counter (bt_find_counter (ctx, BT_COUNTER, "a_total", "Things.", "kind", "x"), 2);
  bt_set_gauge (bt_find_counter (ctx, BT_GAUGE, "level", "A level.", NULL, NULL), -3);
  bt_add_counter (bt_find_counter (ctx, BT_COUNTER, "a_total", "Things.", "kind", "y"), 5);
  text = print_counters ();
  CU_ASSERT_STRING_EQUAL (text, "# HELP a_total Things.\n# TYPE a_total counter\n"
                                "a_total{kind=\"x\"} 2\na_total{kind=\"y\"} 5\n"
                                "# HELP level A level.\n# TYPE level gauge\nlevel -3\n");
  free (text);
  bt_drop_context (ctx);
}

static void
test_histogram_counts_up_to_each_bound (void)
{
  bt_histogram_t *histogram;
  char *text;

  ctx = bt_new_context ();
  histogram = bt_new_histogram (ctx, "wait_ms", "Waits.");
  bt_record_duration (histogram, 0);
  bt_record_duration (histogram, 5);
  bt_record_duration (histogram, 6);
  bt_record_duration (histogram, 20000);
  bt_drop_histogram (ctx, histogram);
  text = print_counters ();
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "# HELP wait_ms Waits.\n# TYPE wait_ms histogram\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "wait_ms_bucket{le=\"2\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "wait_ms_bucket{le=\"5\"} 2\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "wait_ms_bucket{le=\"10\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "wait_ms_bucket{le=\"10000\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "wait_ms_bucket{le=\"+Inf\"} 4\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "wait_ms_sum 20011\nwait_ms_count 4\n"));
  free (text);
  bt_drop_context (ctx);
}

static void *
add_many (void *argument)
{
  for (int32_t i = 0; i < ROUNDS; i++)
    bt_count_refusal (ctx, BT_REASON_NO_RULE);
  return NULL;
}

static void
test_no_count_is_lost_between_threads (void)
{
  pthread_t threads[THREADS];
  char *text;

  ctx = bt_new_context ();
  for (int32_t i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, add_many, NULL);
  for (int32_t i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  text = print_counters ();
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "bilberry_refusals_total{reason=\"no-rule\"} 40000\n"));
  free (text);
  bt_drop_context (ctx);
}

static void
test_each_reason_has_a_counter_from_the_start (void)
{
  char *text;

  ctx = bt_new_context ();
  bt_prepare_outcome_counters (ctx);
  text = print_counters ();
  for (int32_t i = BT_REASON_NONE + 1; i < BT_REASON_COUNT; i++)
    {
      char line[128];

      snprintf (line, sizeof line, "bilberry_refusals_total{reason=\"%s\"} 0\n",
                bt_name_reason ((bt_reason_t)i));
      CU_ASSERT_PTR_NOT_NULL (strstr (text, line));
    }
  free (text);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("counters", NULL, NULL);
  CU_ADD_TEST (suite, test_families_are_printed_once_with_their_help);
  CU_ADD_TEST (suite, test_histogram_counts_up_to_each_bound);
  CU_ADD_TEST (suite, test_no_count_is_lost_between_threads);
  CU_ADD_TEST (suite, test_each_reason_has_a_counter_from_the_start);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
