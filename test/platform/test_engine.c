#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/agent/engine_platform.h"
#include "bilberrytray/base/random.h"

enum
{
  TEXT_BYTES = 1024,
  FUZZ_SEEDS = 20000,
  BYTE_VALUES = 256,
};

static const char *const report_text =
    "{\"born\":1764720000123,\"stage\":\"unified\",\"group\":{\"name\":\"g\",\"epoch\":3,\"rank\":"
    "2,"
    "\"state\":\"open\"},\"size\":4,\"step\":812,\"placement_map\":7,\"prepared\":8,"
    "\"armed\":{\"version\":8,\"step\":820},\"held\":819,\"sequence\":5,\"running\":12,"
    "\"queued\":1,\"kv_used\":41000,\"kv_total\":90000,\"pace\":1.25}";
static const char *const picks_text =
    "{\"born\":1764720000123,\"step\":812,\"epoch\":3,\"counts\":[5120,88,940]}";
static const char *const places_text =
    "{\"born\":1764720000123,\"epoch\":3,\"placement_map\":{\"version\":7,"
    "\"experts\":[[0,2],[1,3]]}}";

static bt_context_t *ctx;
static bt_engine_report_t report;
static bt_engine_picks_t picks;
static bt_engine_places_t places;
static bt_error_t error;

/* Writes a copy of a text with one part of it replaced. */
static void
change (char text[TEXT_BYTES], const char *good, const char *part, const char *replacement)
{
  const char *at = strstr (good, part);

  CU_ASSERT_PTR_NOT_NULL_FATAL (at);
  snprintf (text, TEXT_BYTES, "%.*s%s%s", (int)(at - good), good, replacement, at + strlen (part));
}

static bool
read_report (const char *text, size_t bytes)
{
  memset (&error, 0, sizeof error);
  return bt_get_engine_platform ()->read_report (text, bytes, &report, &error);
}

static bool
read_picks (const char *text, size_t bytes)
{
  bool good;

  memset (&error, 0, sizeof error);
  good = bt_get_engine_platform ()->read_picks (ctx, text, bytes, &picks, &error);
  bt_free (ctx, picks.counts);
  return good;
}

static bool
read_places (const char *text, size_t bytes)
{
  bool good;

  memset (&error, 0, sizeof error);
  good = bt_get_engine_platform ()->read_places (ctx, text, bytes, &places, &error);
  bt_free (ctx, places.places);
  return good;
}

static void
test_report_is_read (void)
{
  CU_ASSERT_TRUE (read_report (report_text, strlen (report_text)));
  CU_ASSERT_EQUAL (report.maps.started_ms, 1764720000123);
  CU_ASSERT_STRING_EQUAL (report.group, "g");
  CU_ASSERT_EQUAL (report.rank, 2);
  CU_ASSERT_EQUAL (report.ranks, 4);
  CU_ASSERT_EQUAL (report.maps.version, 7);
  CU_ASSERT_EQUAL (report.maps.prepared, 8);
  CU_ASSERT_EQUAL (report.maps.armed_version, 8);
  CU_ASSERT_EQUAL (report.maps.armed_step, 820);
  CU_ASSERT_EQUAL (report.maps.held_step, 819);
  CU_ASSERT_EQUAL (report.maps.sequence, 5);
  CU_ASSERT_EQUAL (report.running, 12);
  CU_ASSERT_DOUBLE_EQUAL (report.pace, 1.25, 0.001);
  CU_ASSERT_TRUE (read_picks (picks_text, strlen (picks_text)));
  CU_ASSERT_EQUAL (picks.count, 3);
  CU_ASSERT_EQUAL (picks.started_ms, 1764720000123);
  CU_ASSERT_TRUE (read_places (places_text, strlen (places_text)));
  CU_ASSERT_EQUAL (places.count, 4);
  CU_ASSERT_EQUAL (places.version, 7);
}

/* An engine without a group reports nothing about maps, and one with older software reports no
 * start time. */
static void
test_report_without_a_group_is_read (void)
{
  static const char *const text = "{\"sequence\":2,\"queued\":1,\"running\":12,\"armed\":null,"
                                  "\"held\":null,\"prepared\":null}";

  CU_ASSERT_TRUE (read_report (text, strlen (text)));
  CU_ASSERT_EQUAL (report.maps.started_ms, 0);
  CU_ASSERT_EQUAL (report.maps.held_step, BT_NO_STEP);
  CU_ASSERT_EQUAL (report.maps.armed_version, 0);
  CU_ASSERT_STRING_EQUAL (report.group, "");
}

/* An order count in a string must not be read as zero, nor the map version as the first map: a
 * leader bases its orders on them. Such a report is refused, and the error names the field. */
static void
test_field_of_wrong_type_is_refused (void)
{
  static const char *const cases[][3] = {
    { "\"sequence\":5", "\"sequence\":\"5\"", "sequence" },
    { "\"sequence\":5", "\"sequence\":[5]", "sequence" },
    { "\"placement_map\":7", "\"placement_map\":\"7\"", "placement_map" },
    { "\"placement_map\":7", "\"placement_map\":{\"version\":true}", "version" },
    { "\"prepared\":8", "\"prepared\":false", "prepared" },
    { "\"held\":819", "\"held\":\"819\"", "held" },
    { "\"step\":812", "\"step\":{}", "step" },
    { "\"size\":4", "\"size\":-4", "size" },
    { "\"state\":\"open\"", "\"state\":1", "state" },
    { "\"name\":\"g\"", "\"name\":{}", "name" },
    { "\"born\":1764720000123", "\"born\":1764720000123.0", "born" },
    { "\"born\":1764720000123", "\"born\":\"1764720000123\"", "born" },
    { "\"born\":1764720000123", "\"born\":null", "born" },
    { "\"born\":1764720000123", "\"born\":0", "born" }
  };
  char text[TEXT_BYTES];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      change (text, report_text, cases[i][0], cases[i][1]);
      CU_ASSERT_FALSE (read_report (text, strlen (text)));
      CU_ASSERT_PTR_NOT_NULL (strstr (error.message, cases[i][2]));
    }
  CU_ASSERT_FALSE (read_report ("[]", 2));
  CU_ASSERT_FALSE (read_report ("", 0));
}

/* Guards against one field about the load of an engine taking the state of its maps with it: its
 * whole group got no new map. Nor may such a field be read as zero, since an engine without any
 * requests would draw them all. */
static void
test_unreadable_load_leaves_the_rest (void)
{
  static const char *const cases[][3] = { { "\"running\":12", "\"running\":1e300", "running" },
                                          { "\"running\":12", "\"running\":99999999999",
                                            "running" },
                                          { "\"running\":12", "\"running\":\"12\"", "running" },
                                          { "\"queued\":1", "\"queued\":-1", "queued" },
                                          { "\"queued\":1", "\"queued\":[1]", "queued" },
                                          { "\"kv_used\":41000", "\"kv_used\":\"all\"", "kv_used" },
                                          { "\"kv_total\":90000", "\"kv_total\":{}", "kv_total" },
                                          { "\"pace\":1.25", "\"pace\":\"slow\"", "pace" } };
  char text[TEXT_BYTES];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const bool load = strstr ("running queued", cases[i][2]) != NULL;
      const bool memory = strncmp (cases[i][2], "kv_", 3) == 0;

      change (text, report_text, cases[i][0], cases[i][1]);
      CU_ASSERT_TRUE_FATAL (read_report (text, strlen (text)));
      CU_ASSERT_PTR_NOT_NULL_FATAL (report.unreadable_field);
      CU_ASSERT_STRING_EQUAL (report.unreadable_field, cases[i][2]);
      CU_ASSERT_EQUAL (report.load_unknown, load);
      CU_ASSERT_EQUAL (report.running, load ? 0 : 12);
      CU_ASSERT_EQUAL (report.queued, load ? 0 : 1);
      CU_ASSERT_EQUAL (report.memory, memory ? 0 : 90000);
      CU_ASSERT_EQUAL (report.memory_used, memory ? 0 : 41000);
      CU_ASSERT_EQUAL (report.pace, strcmp (cases[i][2], "pace") == 0 ? 0 : 1.25);
      CU_ASSERT_STRING_EQUAL (report.group, "g");
      CU_ASSERT_EQUAL (report.maps.version, 7);
      CU_ASSERT_EQUAL (report.maps.sequence, 5);
    }
  CU_ASSERT_TRUE (read_report (report_text, strlen (report_text)));
  CU_ASSERT_PTR_NULL (report.unreadable_field);
  CU_ASSERT_FALSE (report.load_unknown);
}

static void
test_counts_and_lists_of_wrong_type_are_refused (void)
{
  static const char *const counts[] = { "[1,\"2\",3]", "[1,null]", "[-1]", "[1.5]", "[[1]]", "7" };
  static const char *const experts[] = { "[[0,\"2\"]]", "[[0],7]",  "[[-1]]", "[[65536]]",
                                         "[[0.5]]",     "[[null]]", "{}" };
  char text[TEXT_BYTES];

  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      change (text, picks_text, "[5120,88,940]", counts[i]);
      CU_ASSERT_FALSE (read_picks (text, strlen (text)));
      CU_ASSERT_PTR_NULL (picks.counts);
    }
  for (size_t i = 0; i < sizeof experts / sizeof experts[0]; i++)
    {
      change (text, places_text, "[[0,2],[1,3]]", experts[i]);
      CU_ASSERT_FALSE (read_places (text, strlen (text)));
      CU_ASSERT_PTR_NULL (places.places);
    }
}

static size_t
change_byte (bt_random_t *random, char text[TEXT_BYTES], const char *good)
{
  size_t bytes = strlen (good);

  snprintf (text, TEXT_BYTES, "%s", good);
  for (int32_t i = 0; i < 3; i++)
    text[bt_random_below (random, bytes)] = bt_random_below (random, 2) == 0
                                                ? "{}[]\",:-0e."[bt_random_below (random, 11)]
                                                : (char)bt_random_below (random, BYTE_VALUES);
  return bytes;
}

/* Any mutated answer of an engine is either refused or yields numbers that can be used. */
static void
test_changed_bytes_are_refused_or_usable (void)
{
  for (uint64_t seed = 1; seed <= FUZZ_SEEDS; seed++)
    {
      char text[TEXT_BYTES];
      bt_random_t random;

      bt_seed_random (&random, seed);
      if (read_report (text, change_byte (&random, text, report_text)))
        CU_ASSERT (report.running >= 0 && report.queued >= 0 && report.rank >= 0
                   && report.maps.started_ms >= 0);
      read_picks (text, change_byte (&random, text, picks_text));
      read_places (text, change_byte (&random, text, places_text));
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("engine", NULL, NULL);
  CU_ADD_TEST (suite, test_report_is_read);
  CU_ADD_TEST (suite, test_report_without_a_group_is_read);
  CU_ADD_TEST (suite, test_field_of_wrong_type_is_refused);
  CU_ADD_TEST (suite, test_unreadable_load_leaves_the_rest);
  CU_ADD_TEST (suite, test_counts_and_lists_of_wrong_type_are_refused);
  CU_ADD_TEST (suite, test_changed_bytes_are_refused_or_usable);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
