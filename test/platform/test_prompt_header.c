#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/gateway/platform.h"

enum
{
  FUZZ_SEEDS = 20000,
  MAX_CHANGES = 4,
  TEXT_BYTES = 256,
  MANY_PARTS = 5000,
  PART_BYTES = 4,
  MAX_ID_BYTES = 64,
};

static char ids[TEXT_BYTES];
static int32_t id_count;

static void
put_id (void *data, const char *id, size_t bytes)
{
  (void)data;
  CU_ASSERT (bytes <= MAX_ID_BYTES);
  id_count++;
  if (strlen (ids) + bytes + 2 < sizeof ids)
    snprintf (ids + strlen (ids), sizeof ids - strlen (ids), "%.*s,", (int)bytes, id);
}

static bool
read_parts (const char *value)
{
  ids[0] = '\0';
  id_count = 0;
  return bt_get_platform ()->vtable->read_prompt_parts (value, put_id, NULL);
}

static void
test_parts_in_order (void)
{
  CU_ASSERT_TRUE (read_parts ("5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
  CU_ASSERT_STRING_EQUAL (ids, "5c1e07a2,91bd3f06,e4402b7d,");
  CU_ASSERT_TRUE (read_parts (" a:1 ,\tb:2 "));
  CU_ASSERT_STRING_EQUAL (ids, "a,b,");
}

/* Guards against a caller who hides a part by spelling its id differently. */
static void
test_spelling_of_an_id_is_no_difference (void)
{
  CU_ASSERT_TRUE (read_parts ("00AB:1,ab:7,0aB:1,0:1,000:1"));
  CU_ASSERT_STRING_EQUAL (ids, "ab,ab,ab,,,");
}

/* Guards against reading parts out of a header that isn't a list of parts. */
static void
test_malformed_list_is_unknown (void)
{
  static const char *const values[] = { "",      ",",           "a",        "a:",       ":1",
                                        "a:1,",  ",a:1",        "a:1,,b:1", "x:1",      "a:1 b:2",
                                        "a:-1",  "a:1.5",       "a:1,b",    "a:1;b:2",  "0x1:1",
                                        "a: 1",  "a :1",        "a:1:2",    "a:1,b:1x", "\xff:1",
                                        "a:1\n", "a:1000000000" };
  char longest[MAX_ID_BYTES + 4];

  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    CU_ASSERT_FALSE (read_parts (values[i]));
  memset (longest, 'f', MAX_ID_BYTES + 1);
  memcpy (longest + MAX_ID_BYTES + 1, ":1", 3);
  CU_ASSERT_FALSE (read_parts (longest));
  CU_ASSERT_TRUE (read_parts (longest + 1));
}

static void
test_thousands_of_parts_are_read (void)
{
  char *value = calloc (MANY_PARTS, PART_BYTES);

  for (int32_t i = 0; i < MANY_PARTS; i++)
    memcpy (value + (size_t)i * PART_BYTES, "a:1,", PART_BYTES);
  value[MANY_PARTS * PART_BYTES - 1] = '\0';
  CU_ASSERT_TRUE (read_parts (value));
  CU_ASSERT_EQUAL (id_count, MANY_PARTS);
  free (value);
}

/* Guards against a header that ends the process: each seed changes some bytes of a valid one. */
static void
test_changed_bytes_do_no_harm (void)
{
  for (uint64_t seed = 1; seed <= FUZZ_SEEDS; seed++)
    {
      char text[] = "5c1e07a2:800,91bd3f06:410,0:0,e4402b7d:250";
      char *copy;
      bt_random_t random;

      bt_seed_random (&random, seed);
      for (uint64_t i = bt_random_below (&random, MAX_CHANGES); i < MAX_CHANGES; i++)
        text[bt_random_below (&random, sizeof text - 1)] =
            (char)bt_random_below (&random, UINT8_MAX + 1);
      /* The copy has no spare bytes, so that a sanitizer sees a read behind its end. */
      copy = strdup (text);
      if (read_parts (copy))
        CU_ASSERT (id_count >= 1);
      free (copy);
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("prompt_header", NULL, NULL);
  CU_ADD_TEST (suite, test_parts_in_order);
  CU_ADD_TEST (suite, test_spelling_of_an_id_is_no_difference);
  CU_ADD_TEST (suite, test_malformed_list_is_unknown);
  CU_ADD_TEST (suite, test_thousands_of_parts_are_read);
  CU_ADD_TEST (suite, test_changed_bytes_do_no_harm);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
