#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/store/kv.h"

static bt_context_t *ctx;

static void
add_pair (bt_kv_range_t *range, const char *key, const char *value, int64_t revision)
{
  bt_kv_pair_t *pair;

  range->pairs = bt_realloc (ctx, range->pairs, (size_t)range->count + 1, sizeof *range->pairs);
  pair = &range->pairs[range->count++];
  memset (pair, 0, sizeof *pair);
  pair->key = bt_strdup (ctx, key);
  pair->value = bt_strdup (ctx, value);
  pair->value_bytes = strlen (value);
  pair->mod_revision = revision;
}

static void
add_removal (bt_kv_changes_t *changes, const char *key, int64_t revision)
{
  changes->removed = bt_realloc (ctx, changes->removed, (size_t)changes->removed_count + 1,
                                 sizeof *changes->removed);
  changes->removed_revisions =
      bt_realloc (ctx, changes->removed_revisions, (size_t)changes->removed_count + 1,
                  sizeof *changes->removed_revisions);
  changes->removed[changes->removed_count] = bt_strdup (ctx, key);
  changes->removed_revisions[changes->removed_count++] = revision;
}

static const char *
find_value (const bt_kv_range_t *range, const char *key)
{
  for (int32_t i = 0; i < range->count; i++)
    if (strcmp (range->pairs[i].key, key) == 0)
      return range->pairs[i].value;
  return NULL;
}

static void
test_changes_update_a_range (void)
{
  bt_kv_range_t range = { .revision = 5 };
  bt_kv_changes_t changes = { .written = { .revision = 9 } };

  add_pair (&range, "kept", "a", 2);
  add_pair (&range, "changed", "b", 3);
  add_pair (&range, "gone", "c", 4);
  add_pair (&changes.written, "changed", "b2", 6);
  add_pair (&changes.written, "new", "d", 7);
  add_removal (&changes, "gone", 8);
  bt_apply_kv_changes (ctx, &range, &changes);
  CU_ASSERT_EQUAL (range.count, 3);
  CU_ASSERT_EQUAL (range.revision, 9);
  CU_ASSERT_STRING_EQUAL (find_value (&range, "kept"), "a");
  CU_ASSERT_STRING_EQUAL (find_value (&range, "changed"), "b2");
  CU_ASSERT_STRING_EQUAL (find_value (&range, "new"), "d");
  CU_ASSERT_PTR_NULL (find_value (&range, "gone"));
  bt_drop_kv_changes (ctx, &changes);
  bt_drop_kv_range (ctx, &range);
}

/* An endpoint's key expires and is written again at once, and one answer of a watch contains both.
 * Applied in the wrong order, a live endpoint would be missing until its key changes again. */
static void
test_later_of_two_changes_applies (void)
{
  bt_kv_range_t range = { .revision = 5 };
  bt_kv_changes_t changes = { .written = { .revision = 9 } };

  add_pair (&range, "back", "old", 2);
  add_pair (&range, "ended", "old", 2);
  add_removal (&changes, "back", 6);
  add_pair (&changes.written, "back", "new", 7);
  add_pair (&changes.written, "ended", "new", 7);
  add_removal (&changes, "ended", 8);
  bt_apply_kv_changes (ctx, &range, &changes);
  CU_ASSERT_STRING_EQUAL (find_value (&range, "back"), "new");
  CU_ASSERT_PTR_NULL (find_value (&range, "ended"));
  bt_drop_kv_changes (ctx, &changes);
  bt_drop_kv_range (ctx, &range);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("kv_changes", NULL, NULL);
  CU_ADD_TEST (suite, test_changes_update_a_range);
  CU_ADD_TEST (suite, test_later_of_two_changes_applies);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
