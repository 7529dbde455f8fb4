#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "advertised_entries.h"
#include "bilberrytray/base.h"

enum
{
  DOMAINS = 5,
  ENTRIES = 98,
  MAX_ADVERTISED = 64,
};

static const char *const domains[DOMAINS] = { "a", "b", "c", "d", "e" };

static bt_listed_entry_t listed[ENTRIES];

static void
list_entries (void)
{
  memset (listed, 0, sizeof listed);
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      snprintf (listed[i].identity.instance, BT_NAME_BYTES, "entry-%02d", i);
      bt_copy_name (listed[i].failure_domain, domains[i % DOMAINS]);
    }
}

/* Selects the entries for a caller in a domain, and counts each selected one in @p advertised. */
static int32_t
count_advertised (bt_context_t *ctx, const char *domain, int32_t count, int32_t *advertised)
{
  const bt_listed_entry_t *entries[ENTRIES];
  int32_t chosen;

  for (int32_t i = 0; i < count; i++)
    entries[i] = &listed[i];
  chosen = bt_select_advertised_entries (ctx, entries, count, domain, MAX_ADVERTISED);
  for (int32_t i = 0; i < chosen; i++)
    advertised[entries[i] - listed]++;
  return chosen;
}

/* A third of the entry instances were idle while the others refused callers, because each answer
 * held the first 64 of 98 instances. All instances must be advertised about equally often. */
static void
test_entries_are_advertised_equally_often (void)
{
  bt_context_t *ctx = bt_new_context ();
  int32_t advertised[ENTRIES] = { 0 };

  list_entries ();
  for (int32_t i = 0; i < DOMAINS; i++)
    CU_ASSERT_EQUAL (count_advertised (ctx, domains[i], ENTRIES, advertised), MAX_ADVERTISED);
  for (int32_t i = 0; i < ENTRIES; i++)
    CU_ASSERT (advertised[i] >= 3 && advertised[i] <= 5);
  bt_drop_context (ctx);
}

static void
test_own_domain_comes_first (void)
{
  bt_context_t *ctx = bt_new_context ();

  list_entries ();
  for (int32_t i = 0; i < DOMAINS; i++)
    {
      int32_t advertised[ENTRIES] = { 0 };

      count_advertised (ctx, domains[i], ENTRIES, advertised);
      for (int32_t entry = i; entry < ENTRIES; entry += DOMAINS)
        CU_ASSERT_EQUAL (advertised[entry], 1);
    }
  bt_drop_context (ctx);
}

/* Callers close connections to instances that a later answer does not contain, so the selection
 * must not change while the instances are the same. */
static void
test_selection_is_stable (void)
{
  bt_context_t *ctx = bt_new_context ();
  int32_t advertised[ENTRIES] = { 0 };

  list_entries ();
  count_advertised (ctx, "c", ENTRIES, advertised);
  count_advertised (ctx, "c", ENTRIES, advertised);
  for (int32_t i = 0; i < ENTRIES; i++)
    CU_ASSERT (advertised[i] == 0 || advertised[i] == 2);
  bt_drop_context (ctx);
}

static void
test_few_entries_are_all_advertised (void)
{
  bt_context_t *ctx = bt_new_context ();
  int32_t advertised[ENTRIES] = { 0 };

  list_entries ();
  CU_ASSERT_EQUAL (count_advertised (ctx, "nowhere", MAX_ADVERTISED, advertised), MAX_ADVERTISED);
  CU_ASSERT_EQUAL (count_advertised (ctx, "", 0, advertised), 0);
  CU_ASSERT_EQUAL (count_advertised (ctx, "", ENTRIES, advertised), MAX_ADVERTISED);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("advertised entries", NULL, NULL);
  CU_ADD_TEST (suite, test_entries_are_advertised_equally_often);
  CU_ADD_TEST (suite, test_own_domain_comes_first);
  CU_ADD_TEST (suite, test_selection_is_stable);
  CU_ADD_TEST (suite, test_few_entries_are_all_advertised);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
