#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/load/router.h"
#include "endpoint_table.h"

enum
{
  REGAINED_MS = 10000,
  LEFT_MS = 10010,
  /* What a request needs to reach an endpoint that was chosen a moment before. */
  WAY_MS = 100,
  DRAIN_MS = 2000,
};

static bt_context_t *ctx;
static bt_router_t *router;
static bt_endpoint_table_t *table;
static bt_listed_endpoint_t listed;
static bt_view_t full;
static bt_view_t empty;

static void
start (void)
{
  bt_router_options_t options;

  ctx = bt_new_context ();
  bt_default_router_options (&options);
  router = bt_new_router (ctx, &options);
  table = bt_new_endpoint_table (ctx, router);
  memset (&listed, 0, sizeof listed);
  bt_copy_name (listed.id, "i-1");
  bt_copy_name (listed.app, "svc");
  snprintf (listed.address, sizeof listed.address, "127.0.0.1:1");
  listed.slots = 4;
  full.endpoints = &listed;
  full.endpoint_count = 1;
  bt_apply_listed_endpoints (ctx, table, &full, 0);
}

static void
stop (void)
{
  bt_drop_endpoint_table (ctx, table);
  bt_drop_router (ctx, router);
  bt_drop_context (ctx);
}

/* An entry had been cut off from the store alone. Just after its return an endpoint leaves. It
 * could have lapsed with the store and be listed again, but callers may not be sent there for as
 * long. */
static void
test_endpoint_that_leaves_after_an_outage_gets_nothing_late (void)
{
  int64_t again_ms;

  start ();
  bt_note_store_regained (table, REGAINED_MS);
  again_ms = bt_apply_listed_endpoints (ctx, table, &empty, LEFT_MS);
  CU_ASSERT_PTR_NOT_NULL (bt_find_listed_endpoint (table, "i-1"));
  CU_ASSERT (again_ms > LEFT_MS && again_ms + WAY_MS < LEFT_MS + DRAIN_MS);
  CU_ASSERT_EQUAL (bt_apply_listed_endpoints (ctx, table, &empty, again_ms), 0);
  CU_ASSERT_PTR_NULL (bt_find_listed_endpoint (table, "i-1"));
  stop ();
}

/* The store was down, and its return ended all leases. The endpoints list themselves again, and
 * none of them is out meanwhile. */
static void
test_endpoint_that_lapsed_with_the_store_stays (void)
{
  start ();
  bt_note_store_regained (table, REGAINED_MS);
  bt_apply_listed_endpoints (ctx, table, &empty, LEFT_MS);
  CU_ASSERT_EQUAL (bt_apply_listed_endpoints (ctx, table, &full, LEFT_MS + 1500), 0);
  CU_ASSERT_PTR_NOT_NULL (bt_find_listed_endpoint (table, "i-1"));
  stop ();
}

/* Without an outage, what is no longer listed is gone at once. */
static void
test_endpoint_that_leaves_is_gone_at_once (void)
{
  start ();
  CU_ASSERT_EQUAL (bt_apply_listed_endpoints (ctx, table, &empty, LEFT_MS), 0);
  CU_ASSERT_PTR_NULL (bt_find_listed_endpoint (table, "i-1"));
  stop ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("endpoint_table", NULL, NULL);
  CU_ADD_TEST (suite, test_endpoint_that_leaves_after_an_outage_gets_nothing_late);
  CU_ADD_TEST (suite, test_endpoint_that_lapsed_with_the_store_stays);
  CU_ADD_TEST (suite, test_endpoint_that_leaves_is_gone_at_once);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
