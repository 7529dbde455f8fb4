#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "feed_choice.h"

enum
{
  DOMAINS = 3,
  MAX_ENTRIES = 700,
};

static const char *const domains[DOMAINS] = { "hall-a", "hall-b", "hall-c" };

static bt_context_t *ctx;
static bt_listed_entry_t entries[MAX_ENTRIES];

static void
list_entries (int32_t count)
{
  memset (entries, 0, sizeof entries);
  for (int32_t i = 0; i < count; i++)
    {
      snprintf (entries[i].identity.instance, BT_NAME_BYTES, "entry-%d", i);
      snprintf (entries[i].links, BT_ADDRESS_BYTES, "10.0.%d.%d:7340", i / 200, i % 200);
      bt_copy_name (entries[i].failure_domain, domains[i % DOMAINS]);
    }
}

static bt_feed_choice_t
choose (int32_t count, int32_t index)
{
  bt_feed_choice_t choice;

  bt_choose_feed (ctx, entries, count, entries[index].links, entries[index].failure_domain,
                  &choice);
  return choice;
}

static int32_t
count_readers (int32_t count)
{
  int32_t readers = 0;

  for (int32_t i = 0; i < count; i++)
    readers += choose (count, i).reader ? 1 : 0;
  return readers;
}

static const char *
find_domain (const char *links, int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    if (strcmp (entries[i].links, links) == 0)
      return entries[i].failure_domain;
  return "";
}

/* Too many readers would overload the store: only few entries read it, however large the fleet, but
 * at least one in each failure domain. */
static void
test_few_entries_read_the_store (void)
{
  const int32_t sizes[] = { 1, 2, 7, 41, 160, 640 };
  const int32_t readers[] = { 1, 2, 3, 4, 8, 15 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      list_entries (sizes[i]);
      CU_ASSERT_EQUAL (count_readers (sizes[i]), readers[i]);
    }
}

/* Updates would cross between failure domains without need: an entry must prefer a reader in its
 * own domain, and must never follow itself. */
static void
test_readers_of_own_domain_come_first (void)
{
  list_entries (41);
  for (int32_t i = 0; i < 41; i++)
    {
      bt_feed_choice_t choice = choose (41, i);

      CU_ASSERT (choice.count >= 3);
      for (int32_t k = 0; k < choice.count; k++)
        CU_ASSERT_STRING_NOT_EQUAL (choice.candidates[k], entries[i].links);
      if (!choice.reader)
        CU_ASSERT_STRING_EQUAL (find_domain (choice.candidates[0], 41), entries[i].failure_domain);
    }
}

/* Guards against calls on the store that grow in proportion to a large fleet, and against readers
 * that send each change to a fixed part of it: both grow with its square root. */
static void
test_readers_grow_with_the_square_root (void)
{
  int32_t few;

  list_entries (160);
  few = count_readers (160);
  list_entries (640);
  CU_ASSERT (count_readers (640) <= 2 * few);
  CU_ASSERT (640 / count_readers (640) <= 2 * (160 / few) + 2);
}

/* Guards against a reader with a small link that needs a second to send a large configuration to
 * its followers, which take it for lost meanwhile: readers are large entries if there are enough.
 */
static void
test_readers_are_large_entries (void)
{
  list_entries (432);
  for (int32_t i = 0; i < 432; i++)
    entries[i].cores = i < 45 ? 1 : 0.24;
  for (int32_t i = 45; i < 432; i++)
    CU_ASSERT_FALSE (choose (432, i).reader);
  CU_ASSERT_EQUAL (count_readers (432), 12);
  for (int32_t i = 5; i < 432; i++)
    entries[i].cores = 0.24;
  CU_ASSERT_EQUAL (count_readers (432), 12);
}

/* An entry that is not listed yet must know that: it follows a reader and is none itself. */
static void
test_unlisted_entry_is_told (void)
{
  bt_feed_choice_t choice;

  list_entries (7);
  bt_choose_feed (ctx, entries, 7, "10.9.9.9:7340", "hall-a", &choice);
  CU_ASSERT_FALSE (choice.listed);
  CU_ASSERT_FALSE (choice.reader);
  CU_ASSERT (choice.primary_count > 0);
  CU_ASSERT_TRUE (choose (7, 3).listed);
}

static int32_t
count_most_followers (int32_t count)
{
  int32_t followers[MAX_ENTRIES] = { 0 };
  int32_t max = 0;

  list_entries (count);
  for (int32_t i = 0; i < count; i++)
    {
      bt_feed_choice_t choice = choose (count, i);

      for (int32_t r = 0; r < count && !choice.reader; r++)
        if (strcmp (choice.candidates[0], entries[r].links) == 0)
          max = ++followers[r] > max ? followers[r] : max;
    }
  return max;
}

/* One reader must not serve all followers of a failure domain: they are spread over its readers,
 * and none has more than twice the mean. */
static void
test_followers_are_spread (void)
{
  int32_t most;

  CU_ASSERT (count_most_followers (41) <= 3 * BT_ENTRIES_PER_READER);
  CU_ASSERT (count_most_followers (160) <= 3 * BT_ENTRIES_PER_READER);
  most = count_most_followers (640);
  CU_ASSERT (most <= 2 * 640 / count_readers (640));
}

/* An instance that starts is not listed yet. It must follow a peer, not choose itself as reader. */
static void
test_unlisted_entry_follows (void)
{
  bt_feed_choice_t choice;

  list_entries (7);
  bt_choose_feed (ctx, entries, 7, "10.9.9.9:7340", "hall-a", &choice);
  CU_ASSERT_FALSE (choice.reader);
  CU_ASSERT_EQUAL (choice.count, 3 + BT_STANDBY_READERS);
  CU_ASSERT_EQUAL (choice.primary_count, choice.count);
  bt_choose_feed (ctx, entries, 0, "10.9.9.9:7340", "hall-a", &choice);
  CU_ASSERT_EQUAL (choice.count, 0);
}

/* Returns true if the first entry may follow the second while the store answers both. */
static bool
may_follow (int32_t count, int32_t first, int32_t second)
{
  bt_feed_choice_t choice = choose (count, first);

  for (int32_t i = 0; i < choice.primary_count; i++)
    if (strcmp (choice.candidates[i], entries[second].links) == 0)
      return true;
  return false;
}

/* Standbys read the store in place of a reader that lost it. If two of them followed each other,
 * both would stop reading, leave each other, and start again. */
static void
test_no_two_follow_each_other (void)
{
  list_entries (9);
  for (int32_t i = 0; i < 9; i++)
    for (int32_t k = 0; k < i; k++)
      CU_ASSERT_FALSE (may_follow (9, i, k) && may_follow (9, k, i));
}

/* A reader whose calls to the store fail, even if it is the only one, must have peers to follow. */
static void
test_reader_has_peers_to_follow (void)
{
  list_entries (4);
  for (int32_t i = 0; i < 4; i++)
    {
      bt_feed_choice_t choice = choose (4, i);

      CU_ASSERT (choice.count >= 3);
      CU_ASSERT_EQUAL (choice.primary_count == 0, choice.reader);
    }
}

static bool
has_candidate (const bt_feed_choice_t *choice, const char *address)
{
  for (int32_t i = 0; i < choice->count; i++)
    if (strcmp (choice->candidates[i], address) == 0)
      return true;
  return false;
}

static void
test_seeds_read_the_store_and_others_follow_them (void)
{
  bt_feed_choice_t choice;

  bt_choose_seed_feed ("10.0.0.1:1,10.0.0.2:1,10.0.0.3:1", "10.0.0.2:1", &choice);
  CU_ASSERT_EQUAL (choice.count, 2);
  CU_ASSERT_TRUE (has_candidate (&choice, "10.0.0.1:1"));
  CU_ASSERT_TRUE (has_candidate (&choice, "10.0.0.3:1"));
  CU_ASSERT_EQUAL (choice.primary_count, 0);
  CU_ASSERT_TRUE (choice.reader);
  bt_choose_seed_feed ("10.0.0.1:1,10.0.0.2:1,10.0.0.3:1", "10.0.0.9:1", &choice);
  CU_ASSERT_EQUAL (choice.primary_count, 3);
  CU_ASSERT_FALSE (choice.reader);
  bt_choose_seed_feed ("", "10.0.0.2:1", &choice);
  CU_ASSERT_EQUAL (choice.count, 0);
}

/* Guards against a first seed that all processes of a starting fleet link to, beyond the links that
 * it accepts. */
static void
test_processes_are_spread_over_the_seeds (void)
{
  const char *const seeds[] = { "10.0.9.1:1", "10.0.9.2:1", "10.0.9.3:1" };
  int32_t followers[3] = { 0 };

  list_entries (432);
  for (int32_t i = 0; i < 432; i++)
    {
      bt_feed_choice_t choice;

      bt_choose_seed_feed ("10.0.9.1:1,10.0.9.2:1,10.0.9.3:1", entries[i].links, &choice);
      for (int32_t seed = 0; seed < 3; seed++)
        followers[seed] += strcmp (choice.candidates[0], seeds[seed]) == 0 ? 1 : 0;
    }
  for (int32_t seed = 0; seed < 3; seed++)
    CU_ASSERT (followers[seed] > 0 && followers[seed] < 2 * 432 / 3);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("feed_choice", NULL, NULL);
  CU_ADD_TEST (suite, test_few_entries_read_the_store);
  CU_ADD_TEST (suite, test_readers_of_own_domain_come_first);
  CU_ADD_TEST (suite, test_readers_grow_with_the_square_root);
  CU_ADD_TEST (suite, test_readers_are_large_entries);
  CU_ADD_TEST (suite, test_unlisted_entry_is_told);
  CU_ADD_TEST (suite, test_followers_are_spread);
  CU_ADD_TEST (suite, test_unlisted_entry_follows);
  CU_ADD_TEST (suite, test_no_two_follow_each_other);
  CU_ADD_TEST (suite, test_reader_has_peers_to_follow);
  CU_ADD_TEST (suite, test_seeds_read_the_store_and_others_follow_them);
  CU_ADD_TEST (suite, test_processes_are_spread_over_the_seeds);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
