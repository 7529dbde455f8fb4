#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "crash_items.h"

enum
{
  SEEDS = 20000,
};

static bt_crash_t
make_crash (const char *instance, uint64_t start)
{
  bt_crash_t crash;

  memset (&crash, 0, sizeof crash);
  memset (crash.request.bytes, 0xa7, sizeof crash.request.bytes);
  bt_copy_name (crash.endpoint.instance, instance);
  crash.endpoint.incarnation = start;
  return crash;
}

static void
test_key_is_read_back (void)
{
  char longest[BT_NAME_BYTES];
  bt_crash_t crashes[3] = { make_crash ("i-1", 0), make_crash ("i/1", 1768680222536),
                            make_crash ("", UINT64_MAX) };
  char key[BT_CRASH_KEY_BYTES];
  bt_crash_t read;

  memset (longest, 'x', sizeof longest);
  longest[sizeof longest - 1] = '\0';
  bt_copy_name (crashes[2].endpoint.instance, longest);
  for (int32_t i = 0; i < 3; i++)
    {
      bt_write_crash_key (&crashes[i], key);
      CU_ASSERT_TRUE (bt_read_crash_key (key, &read));
      CU_ASSERT_TRUE (bt_same_fingerprint (&read.request, &crashes[i].request));
      CU_ASSERT_TRUE (bt_same_identity (&read.endpoint, &crashes[i].endpoint));
      CU_ASSERT_EQUAL (read.ended_ms, crashes[i].ended_ms);
      CU_ASSERT_EQUAL (read.at_start, crashes[i].at_start);
    }
}

static void
test_value_is_read_back (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_crash_t crash = make_crash ("i-1", 5);
  bt_crash_t read = crash;
  char *value;

  crash.ended_ms = 1768680222536;
  crash.at_start = true;
  value = bt_write_crash_value (ctx, &crash, "front-1");
  bt_read_crash_value (value, strlen (value), &read);
  CU_ASSERT_EQUAL (read.ended_ms, crash.ended_ms);
  CU_ASSERT_TRUE (read.at_start);
  bt_free (ctx, value);
  bt_drop_context (ctx);
}

/* Guards against a crash that holds a request although its value, written by another program, says
 * nothing about it. */
static void
test_circumstances_in_invalid_values_are_unknown (void)
{
  static const char *const values[] = {
    "", "front-1", "{", "[]", "{\"ended_ms\":-5}", "{\"ended_ms\":\"x\",\"at_start\":1}", "null"
  };

  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      bt_crash_t read = make_crash ("i-1", 5);

      bt_read_crash_value (values[i], strlen (values[i]), &read);
      CU_ASSERT_EQUAL (read.ended_ms, 0);
      CU_ASSERT_FALSE (read.at_start);
    }
}

/* Other programs may write items under the prefix. Invalid keys must be rejected. */
static void
test_invalid_keys_are_rejected (void)
{
  static const char *const tails[] = { "",
                                       "x",
                                       "a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7",
                                       "a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7/",
                                       "a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7/1",
                                       "a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7/1/",
                                       "a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7/-1/i-1",
                                       "a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7/1x/i-1",
                                       "g7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7/1/i-1" };
  char key[BT_CRASH_KEY_BYTES];
  bt_crash_t crash;

  for (size_t i = 0; i < sizeof tails / sizeof tails[0]; i++)
    {
      snprintf (key, sizeof key, "%s%s", bt_crash_prefix, tails[i]);
      CU_ASSERT_FALSE (bt_read_crash_key (key, &crash));
    }
}

/* A key with one changed byte, which may end it early, must not be read beyond its end. */
static void
test_changed_keys_are_read_safely (void)
{
  bt_crash_t whole = make_crash ("i-3972a860df", 1768680222536);

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      char key[BT_CRASH_KEY_BYTES];
      bt_crash_t crash;
      bt_random_t random;
      size_t first = strlen (bt_crash_prefix);
      size_t at;

      bt_seed_random (&random, seed);
      bt_write_crash_key (&whole, key);
      at = first + bt_random_below (&random, strlen (key) - first);
      key[at] = (char)bt_random_below (&random, 128);
      if (bt_read_crash_key (key, &crash))
        CU_ASSERT (strlen (crash.endpoint.instance) < sizeof crash.endpoint.instance);
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("crash_items", NULL, NULL);
  CU_ADD_TEST (suite, test_key_is_read_back);
  CU_ADD_TEST (suite, test_value_is_read_back);
  CU_ADD_TEST (suite, test_circumstances_in_invalid_values_are_unknown);
  CU_ADD_TEST (suite, test_invalid_keys_are_rejected);
  CU_ADD_TEST (suite, test_changed_keys_are_read_safely);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
