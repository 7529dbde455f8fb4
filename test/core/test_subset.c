#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/core/subset.h"

enum
{
  ENTRIES = 40,
  DOMAINS = 4,
  AGENTS = 400,
};

static void
fill_candidates (bt_subset_candidate_t *candidates, int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    {
      snprintf (candidates[i].instance, BT_NAME_BYTES, "entry-%d", (int)i);
      snprintf (candidates[i].failure_domain, BT_NAME_BYTES, "hall-%d", (int)(i % DOMAINS));
    }
}

static bool
is_chosen (const bt_subset_candidate_t *candidates, const int32_t *chosen, const char *instance)
{
  for (int32_t i = 0; i < BT_AGENT_LINKS; i++)
    if (strcmp (candidates[chosen[i]].instance, instance) == 0)
      return true;
  return false;
}

static void
test_subsets_are_balanced_over_domains_and_entries (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_subset_candidate_t candidates[ENTRIES] = { 0 };
  int32_t links[ENTRIES] = { 0 };
  int32_t chosen[BT_AGENT_LINKS];

  fill_candidates (candidates, ENTRIES);
  for (int32_t agent = 0; agent < AGENTS; agent++)
    {
      int32_t domains[DOMAINS] = { 0 };
      char name[BT_NAME_BYTES];

      snprintf (name, sizeof name, "agent-%d", (int)agent);
      CU_ASSERT_EQUAL (bt_choose_subset (ctx, name, candidates, ENTRIES, BT_AGENT_LINKS, chosen),
                       BT_AGENT_LINKS);
      for (int32_t i = 0; i < BT_AGENT_LINKS; i++)
        {
          links[chosen[i]]++;
          domains[chosen[i] % DOMAINS]++;
        }
      for (int32_t i = 0; i < DOMAINS; i++)
        CU_ASSERT_EQUAL (domains[i], BT_AGENT_LINKS / DOMAINS);
    }
  for (int32_t i = 0; i < ENTRIES; i++)
    CU_ASSERT_TRUE (links[i] > AGENTS * BT_AGENT_LINKS / ENTRIES / 2
                    && links[i] < AGENTS * BT_AGENT_LINKS / ENTRIES * 2);
  bt_drop_context (ctx);
}

/* Guards against drawing all subsets anew when one entry instance is replaced: every agent would
 * dial eight other entries at once, and every entry would lose most of its links. Only the links to
 * the replaced instance may move. */
static void
test_replacing_one_entry_moves_one_link (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_subset_candidate_t before[ENTRIES] = { 0 };
  bt_subset_candidate_t after[ENTRIES] = { 0 };
  int32_t old_links[BT_AGENT_LINKS];
  int32_t new_links[BT_AGENT_LINKS];

  fill_candidates (before, ENTRIES);
  fill_candidates (after, ENTRIES);
  snprintf (after[5].instance, BT_NAME_BYTES, "entry-new");
  for (int32_t agent = 0; agent < AGENTS; agent++)
    {
      int32_t kept = 0;
      char name[BT_NAME_BYTES];

      snprintf (name, sizeof name, "agent-%d", (int)agent);
      bt_choose_subset (ctx, name, before, ENTRIES, BT_AGENT_LINKS, old_links);
      bt_choose_subset (ctx, name, after, ENTRIES, BT_AGENT_LINKS, new_links);
      for (int32_t i = 0; i < BT_AGENT_LINKS; i++)
        kept += is_chosen (after, new_links, before[old_links[i]].instance) ? 1 : 0;
      CU_ASSERT_TRUE (kept >= BT_AGENT_LINKS - 1);
    }
  bt_drop_context (ctx);
}

static void
test_fewer_candidates_than_wanted (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_subset_candidate_t candidates[3] = { 0 };
  int32_t chosen[BT_AGENT_LINKS];

  fill_candidates (candidates, 3);
  CU_ASSERT_EQUAL (bt_choose_subset (ctx, "agent", candidates, 3, BT_AGENT_LINKS, chosen), 3);
  CU_ASSERT_EQUAL (bt_choose_subset (ctx, "agent", candidates, 0, BT_AGENT_LINKS, chosen), 0);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("subset", NULL, NULL);
  CU_ADD_TEST (suite, test_subsets_are_balanced_over_domains_and_entries);
  CU_ADD_TEST (suite, test_replacing_one_entry_moves_one_link);
  CU_ADD_TEST (suite, test_fewer_candidates_than_wanted);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
