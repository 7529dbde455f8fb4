#include <CUnit/Basic.h>
#include <stdio.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/load/cold_share.h"

enum
{
  MAX_ENTRIES = 43,
  SPAN_MS = 6000,
  WINDOW_MS = 1000,
  SEEDS = 40,
};

static char names[MAX_ENTRIES][BT_NAME_BYTES];
static const char *listed[MAX_ENTRIES];
static int32_t sent[SPAN_MS];

static void
list_entries (int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    {
      snprintf (names[i], BT_NAME_BYTES, "entry-%d", (int)i);
      listed[i] = names[i];
    }
}

/* Lets an entry send as often as it may from @p from_ms on, under the list of the first @p count
 * entries. */
static void
send_all (int32_t entry, int32_t count, double per_s, int64_t from_ms, int64_t to_ms)
{
  int64_t interval_ms = bt_get_cold_interval_ms ("i-1", names[entry], listed, count, per_s);

  for (int64_t at_ms = from_ms; interval_ms > 0 && at_ms < to_ms; at_ms += interval_ms)
    sent[at_ms]++;
}

static int32_t
find_most_in_window (void)
{
  int32_t most = 0;

  for (int32_t from = 0; from + WINDOW_MS <= SPAN_MS; from++)
    {
      int32_t sum = 0;

      for (int32_t i = from; i < from + WINDOW_MS; i++)
        sum += sent[i];
      most = sum > most ? sum : most;
    }
  return most;
}

static void
clear_sent (void)
{
  for (int32_t i = 0; i < SPAN_MS; i++)
    sent[i] = 0;
}

/* Guards against a cold endpoint that crashes under the requests of all entries: their sum in any
 * second stays below what it tolerates, whenever each of them begins. */
static void
test_sum_of_all_entries_is_bounded (void)
{
  const double rates[] = { 0.5, 1, 3, 14, 60 };
  const int32_t sizes[] = { 2, 7, 14, 43 };
  bt_random_t random;

  bt_seed_random (&random, 1);
  for (size_t rate = 0; rate < sizeof rates / sizeof rates[0]; rate++)
    for (size_t size = 0; size < sizeof sizes / sizeof sizes[0]; size++)
      for (int32_t seed = 0; seed < SEEDS; seed++)
        {
          list_entries (sizes[size]);
          clear_sent ();
          for (int32_t entry = 0; entry < sizes[size]; entry++)
            send_all (entry, sizes[size], rates[rate],
                      (int64_t)bt_random_below (&random, WINDOW_MS), SPAN_MS);
          CU_ASSERT (find_most_in_window () <= (rates[rate] < 1 ? 1 : rates[rate]));
        }
}

/* A cold endpoint must be used at all, by as many entries as it tolerates requests per second. */
static void
test_some_entries_use_a_cold_endpoint (void)
{
  int32_t users = 0;

  list_entries (MAX_ENTRIES);
  for (int32_t i = 0; i < MAX_ENTRIES; i++)
    users += bt_get_cold_interval_ms ("i-7", names[i], listed, MAX_ENTRIES, 14) > 0 ? 1 : 0;
  CU_ASSERT_EQUAL (users, 14);
}

/* Guards against a start of the whole fleet, in which each entry believes to be alone. */
static void
test_unlisted_entry_sends_none (void)
{
  list_entries (MAX_ENTRIES);
  CU_ASSERT_EQUAL (bt_get_cold_interval_ms ("i-1", names[5], listed, 5, 14), 0);
  CU_ASSERT_EQUAL (bt_get_cold_interval_ms ("i-1", names[5], listed, 0, 14), 0);
}

/* Entries come and go while an endpoint is cold, and learn of it late. For some hundred ms a part
 * of them has an old list; the sum stays within the half as much again that an endpoint tolerates
 * for a short time. */
static void
test_changing_list_keeps_the_bound (void)
{
  bt_random_t random;

  for (uint64_t seed = 0; seed < SEEDS; seed++)
    {
      bt_seed_random (&random, seed);
      list_entries (MAX_ENTRIES);
      clear_sent ();
      for (int32_t entry = 0; entry < MAX_ENTRIES; entry++)
        {
          int64_t change_ms = 2000 + (int64_t)bt_random_below (&random, 500);
          bool early = entry < MAX_ENTRIES - 6;

          if (early)
            send_all (entry, MAX_ENTRIES - 6, 14, (int64_t)bt_random_below (&random, WINDOW_MS),
                      change_ms);
          send_all (entry, MAX_ENTRIES, 14, change_ms + WINDOW_MS, SPAN_MS);
        }
      CU_ASSERT (find_most_in_window () <= 14 * 1.5 + 5);
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("cold_share", NULL, NULL);
  CU_ADD_TEST (suite, test_sum_of_all_entries_is_bounded);
  CU_ADD_TEST (suite, test_some_entries_use_a_cold_endpoint);
  CU_ADD_TEST (suite, test_unlisted_entry_sends_none);
  CU_ADD_TEST (suite, test_changing_list_keeps_the_bound);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
