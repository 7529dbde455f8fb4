#include "bilberrytray/requests/prompt_parts.h"

#include <CUnit/Basic.h>
#include <string.h>

static bt_context_t *ctx;
static bt_fingerprint_key_t key;

static bt_prompt_parts_t *
make_parts (const char *app, const char *const *ids, int32_t count)
{
  static bt_prompt_draft_t draft;

  bt_begin_prompt (&draft, &key, app);
  for (int32_t i = 0; i < count; i++)
    bt_add_prompt_part (&draft, ids[i], strlen (ids[i]));
  return bt_finish_prompt (ctx, &draft);
}

static bool
has_same_parts (const bt_prompt_parts_t *left, const bt_prompt_parts_t *right)
{
  return left->count == right->count
         && memcmp (left->items, right->items, (size_t)left->count * sizeof left->items[0]) == 0;
}

/* Guards against blaming the part that a request has to itself. */
static void
test_last_part_is_left_out (void)
{
  static const char *const first[] = { "a", "b", "c" };
  static const char *const second[] = { "a", "b", "d" };
  bt_prompt_parts_t *one = make_parts ("app", first, 3);
  bt_prompt_parts_t *other = make_parts ("app", second, 3);

  CU_ASSERT_EQUAL_FATAL (one->count, 2);
  CU_ASSERT_TRUE (has_same_parts (one, other));
  CU_ASSERT_PTR_NULL (make_parts ("app", first, 1));
  CU_ASSERT_PTR_NULL (make_parts ("app", first, 0));
  bt_drop_prompt_parts (ctx, one);
  bt_drop_prompt_parts (ctx, other);
}

/* Guards against a caller who hides a part by repeating it in the last place. */
static void
test_part_that_is_repeated_last_stays (void)
{
  static const char *const ids[] = { "b", "a", "b", "b" };
  bt_prompt_parts_t *parts = make_parts ("app", ids, 4);

  CU_ASSERT_EQUAL_FATAL (parts->count, 2);
  CU_ASSERT (memcmp (&parts->items[0], &parts->items[1], sizeof parts->items[0]) < 0);
  bt_drop_prompt_parts (ctx, parts);
}

/* Guards against refusing an app's requests for what its part does to another app's endpoints. */
static void
test_apps_have_parts_of_their_own (void)
{
  static const char *const ids[] = { "a", "z" };
  bt_prompt_parts_t *one = make_parts ("app", ids, 2);
  bt_prompt_parts_t *other = make_parts ("other", ids, 2);

  CU_ASSERT_FALSE (has_same_parts (one, other));
  bt_drop_prompt_parts (ctx, one);
  bt_drop_prompt_parts (ctx, other);
}

/* Guards against work and memory without bound for a prompt of thousands of parts. */
static void
test_long_prompt_is_unknown (void)
{
  static bt_prompt_draft_t draft;
  bt_prompt_parts_t *parts;

  bt_begin_prompt (&draft, &key, "app");
  for (int32_t i = 0; i < BT_MAX_PROMPT_PARTS; i++)
    bt_add_prompt_part (&draft, (const char *)&i, sizeof i);
  parts = bt_finish_prompt (ctx, &draft);
  CU_ASSERT_EQUAL_FATAL (parts->count, BT_MAX_PROMPT_PARTS - 1);
  bt_drop_prompt_parts (ctx, parts);
  bt_begin_prompt (&draft, &key, "app");
  for (int32_t i = 0; i < 100 * BT_MAX_PROMPT_PARTS; i++)
    bt_add_prompt_part (&draft, (const char *)&i, sizeof i);
  CU_ASSERT_PTR_NULL (bt_finish_prompt (ctx, &draft));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  bt_derive_fingerprint_key ("secret", &key);
  CU_initialize_registry ();
  suite = CU_add_suite ("prompt_parts", NULL, NULL);
  CU_ADD_TEST (suite, test_last_part_is_left_out);
  CU_ADD_TEST (suite, test_part_that_is_repeated_last_stays);
  CU_ADD_TEST (suite, test_apps_have_parts_of_their_own);
  CU_ADD_TEST (suite, test_long_prompt_is_unknown);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
