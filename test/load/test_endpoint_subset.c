#include <CUnit/Basic.h>
#include <stdio.h>

#include "bilberrytray/load/endpoint_subset.h"

enum
{
  DOMAINS = 5,
  MAX_ENDPOINTS = 1200,
  MAX_ENTRIES = 900,
};

static bt_context_t *ctx;
static bt_subset_candidate_t candidates[MAX_ENDPOINTS];
static int32_t users[MAX_ENDPOINTS];

static void
fill_candidates (int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    {
      snprintf (candidates[i].instance, BT_NAME_BYTES, "i-%d", (int)i);
      snprintf (candidates[i].failure_domain, BT_NAME_BYTES, "d-%d", (int)(i % DOMAINS));
    }
}

static bt_endpoint_subset_t *
new_subset (int32_t entry)
{
  char name[BT_NAME_BYTES];

  snprintf (name, sizeof name, "entry-%d", (int)entry);
  return bt_new_endpoint_subset (ctx, name);
}

static int32_t
count_chosen (const bt_endpoint_subset_t *subset, int32_t endpoints)
{
  int32_t chosen = 0;

  for (int32_t i = 0; i < endpoints; i++)
    chosen += bt_is_in_endpoint_subset (subset, candidates[i].instance) ? 1 : 0;
  return chosen;
}

/* Lets the entries from @p first to @p last - 1 choose, and counts the users of each endpoint.
 * Returns the number of links in all. */
static int32_t
count_users (int32_t endpoints, int32_t entries, int32_t first, int32_t last)
{
  int32_t links = 0;

  fill_candidates (endpoints);
  for (int32_t i = 0; i < endpoints; i++)
    users[i] = 0;
  for (int32_t entry = first; entry < last; entry++)
    {
      bt_endpoint_subset_t *subset = new_subset (entry);

      bt_update_endpoint_subset (ctx, subset, candidates, endpoints,
                                 bt_get_subset_width (endpoints, entries));
      for (int32_t i = 0; i < endpoints; i++)
        if (bt_is_in_endpoint_subset (subset, candidates[i].instance))
          users[i]++;
      links += count_chosen (subset, endpoints);
      bt_drop_endpoint_subset (ctx, subset);
    }
  return links;
}

/* Guards against links that grow with the product of entries and endpoints: with twice as many of
 * both there are four times as many links, and each process handles twice as many reports. */
static void
test_links_grow_with_the_fleet_and_not_with_its_square (void)
{
  int32_t small = count_users (576, 432, 0, 432);
  int32_t large = count_users (1152, 864, 0, 864);

  CU_ASSERT_EQUAL (small, 432 * BT_MIN_SUBSET_WIDTH);
  CU_ASSERT_EQUAL (large, 2 * small);
}

/* Guards against an endpoint that no entry uses, also after half of the entries are lost, and
 * against one that gets twice the share of others. */
static void
test_endpoints_have_similar_numbers_of_entries (void)
{
  int32_t mean = count_users (576, 432, 0, 432) / 576;

  for (int32_t i = 0; i < 576; i++)
    CU_ASSERT (users[i] > 0 && users[i] < 2 * mean);
  count_users (576, 432, 0, 216);
  for (int32_t i = 0; i < 576; i++)
    CU_ASSERT (users[i] > 0);
}

/* A fleet in which all links are few has no use for a subset. */
static void
test_small_fleets_use_all_endpoints (void)
{
  bt_endpoint_subset_t *subset = new_subset (0);

  fill_candidates (72);
  bt_update_endpoint_subset (ctx, subset, candidates, 72, bt_get_subset_width (72, 43));
  CU_ASSERT_EQUAL (count_chosen (subset, 72), 72);
  CU_ASSERT_EQUAL (bt_get_subset_sharers (subset, 43), 43);
  bt_drop_endpoint_subset (ctx, subset);
}

/* Few entries before many endpoints must use all of them. */
static void
test_few_entries_use_all_endpoints (void)
{
  CU_ASSERT_EQUAL (bt_get_subset_width (576, 7), 576);
  CU_ASSERT_EQUAL (bt_get_subset_width (12000, 640), 300);
  CU_ASSERT_EQUAL (bt_get_subset_width (576, 0), BT_MIN_SUBSET_WIDTH);
  CU_ASSERT_EQUAL (bt_get_subset_width (0, 10), 0);
}

/* Guards against a storm of new links when many endpoints are lost at once: only lost endpoints are
 * replaced. */
static void
test_loss_of_a_third_replaces_only_lost_endpoints (void)
{
  bt_endpoint_subset_t *subset = new_subset (3);
  bool before[MAX_ENDPOINTS];
  int32_t lost = 0;
  int32_t added = 0;

  fill_candidates (576);
  bt_update_endpoint_subset (ctx, subset, candidates, 576, bt_get_subset_width (576, 432));
  CU_ASSERT_EQUAL (bt_get_subset_sharers (subset, 432), 48);
  for (int32_t i = 0; i < 576; i++)
    {
      before[i] = bt_is_in_endpoint_subset (subset, candidates[i].instance);
      lost += before[i] && i >= 384;
    }
  bt_update_endpoint_subset (ctx, subset, candidates, 384, bt_get_subset_width (384, 432));
  for (int32_t i = 0; i < 384; i++)
    added += !before[i] && bt_is_in_endpoint_subset (subset, candidates[i].instance);
  CU_ASSERT_EQUAL (count_chosen (subset, 384), BT_MIN_SUBSET_WIDTH);
  CU_ASSERT (added <= lost + DOMAINS);
  bt_drop_endpoint_subset (ctx, subset);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("endpoint_subset", NULL, NULL);
  CU_ADD_TEST (suite, test_links_grow_with_the_fleet_and_not_with_its_square);
  CU_ADD_TEST (suite, test_endpoints_have_similar_numbers_of_entries);
  CU_ADD_TEST (suite, test_small_fleets_use_all_endpoints);
  CU_ADD_TEST (suite, test_few_entries_use_all_endpoints);
  CU_ADD_TEST (suite, test_loss_of_a_third_replaces_only_lost_endpoints);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
