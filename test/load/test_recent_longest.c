#include <CUnit/Basic.h>

#include "bilberrytray/load/recent_longest.h"

enum
{
  START_MS = 50000,
};

static void
test_nothing_is_known_at_first (void)
{
  bt_recent_longest_t recent = { 0 };

  CU_ASSERT_EQUAL (bt_get_recent_longest_ms (&recent, START_MS), 0);
}

static void
test_the_longest_counts (void)
{
  bt_recent_longest_t recent = { 0 };

  bt_record_taken (&recent, 300, START_MS);
  bt_record_taken (&recent, 5800, START_MS + 100);
  bt_record_taken (&recent, 40, START_MS + 200);
  CU_ASSERT_EQUAL (bt_get_recent_longest_ms (&recent, START_MS + 300), 5800);
}

/* A group stalls once. Its longest request is believed for two seconds at least, and is forgotten
 * after four: it says nothing of those that come now. */
static void
test_an_old_one_is_forgotten (void)
{
  bt_recent_longest_t recent = { 0 };

  bt_record_taken (&recent, 5800, START_MS);
  for (int64_t now_ms = START_MS; now_ms < START_MS + 2000; now_ms += 100)
    CU_ASSERT_EQUAL (bt_get_recent_longest_ms (&recent, now_ms), 5800);
  CU_ASSERT_EQUAL (bt_get_recent_longest_ms (&recent, START_MS + 4000), 0);
  for (int64_t now_ms = START_MS; now_ms <= START_MS + 4000; now_ms += 100)
    bt_record_taken (&recent, 70, now_ms);
  CU_ASSERT_EQUAL (bt_get_recent_longest_ms (&recent, START_MS + 4000), 70);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("recent longest", NULL, NULL);
  CU_ADD_TEST (suite, test_nothing_is_known_at_first);
  CU_ADD_TEST (suite, test_the_longest_counts);
  CU_ADD_TEST (suite, test_an_old_one_is_forgotten);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
