#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "part_items.h"

enum
{
  SEEDS = 20000,
  MAX_CHANGES = 3,
  MAX_BYTE = 256,
};

static bt_context_t *ctx;
static bt_end_part_t parts[BT_MAX_END_PARTS];

static bt_part_end_t
make_end (int32_t count)
{
  bt_part_end_t end = { .endpoint = { "i-3972a860df", 1768680222536 },
                        .app = "draft",
                        .reporter = "entry/1 of the hall",
                        .ended_ms = 1768680229999,
                        .count = count,
                        .parts = count == 0 ? NULL : parts };

  for (int32_t i = 0; i < count; i++)
    {
      parts[i].part.bytes[0] = (uint8_t)i;
      parts[i].again = i % 3 == 1;
    }
  return end;
}

static void
test_end_is_read_back (void)
{
  static const int32_t counts[] = { 0, 1, BT_MAX_END_PARTS };

  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      bt_part_end_t end = make_end (counts[i]);
      char *value = bt_write_part_end_value (ctx, &end);
      char key[BT_CRASH_KEY_BYTES];
      bt_part_end_t read;

      bt_write_part_end_key (&end, key);
      CU_ASSERT_TRUE (bt_read_part_end (ctx, key, value, strlen (value), &read));
      CU_ASSERT_TRUE (bt_same_identity (&read.endpoint, &end.endpoint));
      CU_ASSERT_STRING_EQUAL (read.app, end.app);
      CU_ASSERT_STRING_EQUAL (read.reporter, end.reporter);
      CU_ASSERT_EQUAL (read.ended_ms, end.ended_ms);
      CU_ASSERT_EQUAL_FATAL (read.count, end.count);
      CU_ASSERT (read.count == 0
                 || memcmp (read.parts, parts, (size_t)read.count * sizeof parts[0]) == 0);
      bt_free (ctx, read.parts);
      bt_free (ctx, value);
    }
}

/* Guards against accusing parts by an item of another program. */
static void
test_invalid_ends_are_rejected (void)
{
  static const char *const values[] = {
    "",
    "{}",
    "[]",
    "{\"instance\":\"a\",\"app\":\"b\",\"ended_ms\":0,\"parts\":[],\"again\":[]}",
    "{\"instance\":\"other\",\"app\":\"b\",\"ended_ms\":5,\"parts\":[],\"again\":[]}",
    "{\"instance\":\"a\",\"app\":\"b\",\"ended_ms\":5,\"parts\":[\"x\"],\"again\":[]}",
    "{\"instance\":\"a\",\"app\":\"b\",\"ended_ms\":5,\"parts\":[1],\"again\":[]}",
    "{\"instance\":\"a\",\"app\":\"b\",\"ended_ms\":5,\"again\":[]}",
    "{\"instance\":\"a\",\"app\":\"\",\"ended_ms\":5,\"parts\":[],\"again\":[]}"
  };
  bt_part_end_t end = make_end (0);
  bt_part_end_t read;
  char key[BT_CRASH_KEY_BYTES];

  snprintf (end.reporter, sizeof end.reporter, "a");
  bt_write_part_end_key (&end, key);
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    CU_ASSERT_FALSE (bt_read_part_end (ctx, key, values[i], strlen (values[i]), &read));
}

static void
change_bytes (bt_random_t *random, char *text, size_t first, size_t bytes)
{
  for (uint64_t i = bt_random_below (random, MAX_CHANGES); i < MAX_CHANGES; i++)
    text[first + bt_random_below (random, bytes - first)] =
        (char)bt_random_below (random, MAX_BYTE);
}

/* Guards against an item that ends the process: each seed changes some bytes of a valid one. */
static void
test_changed_ends_do_no_harm (void)
{
  bt_part_end_t end = make_end (3);

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      char key[BT_CRASH_KEY_BYTES + 1] = { 0 };
      char *value = bt_write_part_end_value (ctx, &end);
      size_t bytes = strlen (value);
      bt_part_end_t read;
      bt_random_t random;

      bt_seed_random (&random, seed);
      bt_write_part_end_key (&end, key);
      if (seed % 2 == 0)
        change_bytes (&random, key, strlen (bt_part_end_prefix), strlen (key) + 1);
      else
        change_bytes (&random, value, 0, bytes);
      if (bt_read_part_end (ctx, key, value, bytes, &read))
        CU_ASSERT (read.count <= BT_MAX_END_PARTS);
      bt_free (ctx, read.parts);
      bt_free (ctx, value);
    }
}

static void
test_mark_is_read_back (void)
{
  bt_part_mark_t mark = { .cleared_ms = 1768680222536, .trials = 2, .trial_ms = 1768680232536 };
  char *value = bt_write_part_mark_value (ctx, &mark);
  char key[BT_CRASH_KEY_BYTES];
  bt_part_mark_t read;

  mark.part.bytes[3] = 7;
  bt_write_part_mark_key (&mark, key);
  CU_ASSERT_TRUE (bt_read_part_mark (key, value, strlen (value), &read));
  CU_ASSERT_TRUE (bt_same_fingerprint (&read.part, &mark.part));
  CU_ASSERT_EQUAL (read.cleared_ms, mark.cleared_ms);
  CU_ASSERT_EQUAL (read.trials, mark.trials);
  CU_ASSERT_EQUAL (read.trial_ms, mark.trial_ms);
  bt_free (ctx, value);
}

/* Guards against a mark of another program that clears a part or takes its trials. */
static void
test_invalid_marks_are_rejected (void)
{
  static const char *const values[] = {
    "",    "[]", "{\"cleared_ms\":-1}", "{\"trials\":-1}", "{\"trial_ms\":-5}", "{\"trials\":1e9}",
    "null"
  };
  bt_part_mark_t mark = { 0 };
  char key[BT_CRASH_KEY_BYTES];
  char longer[BT_CRASH_KEY_BYTES + 1];

  bt_write_part_mark_key (&mark, key);
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    CU_ASSERT_FALSE (bt_read_part_mark (key, values[i], strlen (values[i]), &mark));
  CU_ASSERT_FALSE (bt_read_part_mark (bt_part_mark_prefix, "{}", 2, &mark));
  snprintf (longer, sizeof longer, "%s0", key);
  CU_ASSERT_FALSE (bt_read_part_mark (longer, "{}", 2, &mark));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("part_items", NULL, NULL);
  CU_ADD_TEST (suite, test_end_is_read_back);
  CU_ADD_TEST (suite, test_invalid_ends_are_rejected);
  CU_ADD_TEST (suite, test_changed_ends_do_no_harm);
  CU_ADD_TEST (suite, test_mark_is_read_back);
  CU_ADD_TEST (suite, test_invalid_marks_are_rejected);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
