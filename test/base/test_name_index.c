#include <CUnit/Basic.h>
#include <stdio.h>

#include "bilberrytray/base/name_index.h"

enum
{
  NAMES = 2000,
  NAME_BYTES = 32,
};

static char names[NAMES][NAME_BYTES];

static void
test_names_are_found_until_they_are_removed (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_name_index_t *index = bt_new_name_index (ctx);

  for (int32_t i = 0; i < NAMES; i++)
    {
      snprintf (names[i], NAME_BYTES, "i-%d", (int)i);
      CU_ASSERT_PTR_NULL (bt_find_name (index, names[i]));
      bt_put_name (index, names[i], &names[i]);
    }
  for (int32_t i = 0; i < NAMES; i += 2)
    bt_remove_name (index, names[i], &names[i]);
  for (int32_t i = 0; i < NAMES; i++)
    CU_ASSERT_PTR_EQUAL (bt_find_name (index, names[i]), i % 2 == 0 ? NULL : &names[i]);
  bt_drop_name_index (ctx, index);
  bt_drop_context (ctx);
}

/* A restarted process takes over the name of the one before, whose object is removed later. */
static void
test_replaced_name_keeps_its_new_object (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_name_index_t *index = bt_new_name_index (ctx);
  char before[] = "i-1";
  char after[] = "i-1";

  bt_put_name (index, before, before);
  bt_put_name (index, after, after);
  bt_remove_name (index, before, before);
  before[0] = 'x';
  CU_ASSERT_PTR_EQUAL (bt_find_name (index, "i-1"), after);
  bt_remove_name (index, after, after);
  CU_ASSERT_PTR_NULL (bt_find_name (index, "i-1"));
  bt_drop_name_index (ctx, index);
  bt_drop_context (ctx);
}

/* Guards against a table that fills up with the names of instances that were replaced. */
static void
test_names_come_and_go (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_name_index_t *index = bt_new_name_index (ctx);
  int32_t found = 0;

  for (int32_t round = 0; round < 50; round++)
    for (int32_t i = 0; i < NAMES; i++)
      {
        snprintf (names[i], NAME_BYTES, "i-%d-%d", (int)round, (int)i);
        bt_put_name (index, names[i], &names[i]);
        found += bt_find_name (index, names[i]) == &names[i];
        bt_remove_name (index, names[i], &names[i]);
      }
  CU_ASSERT_EQUAL (found, 50 * NAMES);
  bt_drop_name_index (ctx, index);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("name_index", NULL, NULL);
  CU_ADD_TEST (suite, test_names_are_found_until_they_are_removed);
  CU_ADD_TEST (suite, test_replaced_name_keeps_its_new_object);
  CU_ADD_TEST (suite, test_names_come_and_go);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
