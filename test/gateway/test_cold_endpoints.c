#include <CUnit/Basic.h>
#include <string.h>

#include "cold_endpoints.h"

enum
{
  COLD_MS = 3000,
  NOW_MS = 10000,
};

static bt_context_t *ctx;
static bt_router_t *router;
static bt_endpoint_table_t *table;
static bt_listed_endpoint_t endpoint;
static bt_listed_entry_t entry;
static bt_view_t view;

static void
create_table (void)
{
  bt_router_options_t options;
  bt_app_t *app;

  ctx = bt_new_context ();
  bt_default_router_options (&options);
  router = bt_new_router (ctx, &options);
  table = bt_new_endpoint_table (ctx, router, NULL);
  memset (&view, 0, sizeof view);
  memset (&endpoint, 0, sizeof endpoint);
  memset (&entry, 0, sizeof entry);
  bt_copy_name (endpoint.id, "i-1");
  bt_copy_name (endpoint.app, "svc");
  bt_copy_name (endpoint.address, "127.0.0.1:1");
  bt_copy_name (endpoint.failure_domain, "a");
  endpoint.slots = 8;
  endpoint.revision = 1;
  bt_copy_name (entry.identity.instance, "one");
  view.declarations = bt_new_empty_declarations (ctx);
  app = bt_add_app (ctx, view.declarations, "svc");
  app->cold_ms = COLD_MS;
  app->cold_per_s = 1;
  view.endpoints = &endpoint;
  view.endpoint_count = 1;
  view.entries = &entry;
  view.entry_count = 1;
}

static void
drop_table (void)
{
  bt_drop_declarations (ctx, view.declarations);
  bt_drop_endpoint_table (ctx, table);
  bt_drop_router (ctx, router);
  bt_drop_context (ctx);
}

static void
apply_view (int64_t now_ms)
{
  bt_apply_listed_endpoints (ctx, table, &view, now_ms);
  bt_update_cold_endpoints (ctx, table, &view, "one", router, now_ms);
}

/* Sends one request if the endpoint may be chosen. */
static bool
dispatch (int64_t now_ms)
{
  bt_route_request_t request = { .app = "svc", .account = "", .deadline_left_ms = 1000, .seed = 1 };
  bt_route_t route = { 0 };
  int64_t retry_after_ms;

  if (bt_choose_endpoint (router, &request, now_ms, &route, &retry_after_ms) != BT_REASON_NONE)
    return false;
  bt_record_dispatch (router, &route, 0, now_ms);
  return true;
}

/* Guards against a crash of an endpoint that has just started under more requests than it
 * tolerates cold. Meanwhile requests wait instead of being refused. */
static void
test_cold_endpoint_gets_few_requests (void)
{
  bt_capacity_t capacity;

  create_table ();
  endpoint.cold_left_ms = COLD_MS;
  apply_view (NOW_MS);
  CU_ASSERT_TRUE (dispatch (NOW_MS));
  CU_ASSERT_FALSE (dispatch (NOW_MS + 999));
  bt_get_capacity (router, "svc", NOW_MS + 999, &capacity);
  CU_ASSERT_EQUAL (capacity.endpoints, 0);
  CU_ASSERT_EQUAL (capacity.paused, 1);
  CU_ASSERT_TRUE (dispatch (NOW_MS + 1000));
  /* A view without a change of the endpoint must not begin its cold time anew. */
  apply_view (NOW_MS + COLD_MS - 1);
  CU_ASSERT_TRUE (dispatch (NOW_MS + COLD_MS));
  CU_ASSERT_TRUE (dispatch (NOW_MS + COLD_MS));
  drop_table ();
}

/* An endpoint may become cold at any moment; its registration says so, and when it is warm again.
 */
static void
test_registration_changes_cold_state (void)
{
  create_table ();
  apply_view (NOW_MS);
  CU_ASSERT_TRUE (dispatch (NOW_MS));
  CU_ASSERT_TRUE (dispatch (NOW_MS));
  endpoint.cold_left_ms = COLD_MS;
  endpoint.revision = 2;
  apply_view (NOW_MS);
  CU_ASSERT_FALSE (dispatch (NOW_MS + 1));
  endpoint.cold_left_ms = 0;
  endpoint.revision = 3;
  apply_view (NOW_MS + 1);
  CU_ASSERT_TRUE (dispatch (NOW_MS + 1));
  drop_table ();
}

/* Endpoints may be cold at the end of an evacuation, and say so too late. */
static void
test_released_domain_is_taken_for_cold (void)
{
  create_table ();
  apply_view (NOW_MS);
  bt_add_evacuation (ctx, &view.evacuations, "a");
  apply_view (NOW_MS);
  CU_ASSERT_FALSE (dispatch (NOW_MS));
  bt_clear_evacuations (ctx, &view.evacuations);
  apply_view (NOW_MS + 10);
  CU_ASSERT_TRUE (dispatch (NOW_MS + 10));
  CU_ASSERT_FALSE (dispatch (NOW_MS + 20));
  CU_ASSERT_TRUE (dispatch (NOW_MS + 10 + COLD_MS));
  CU_ASSERT_TRUE (dispatch (NOW_MS + 10 + COLD_MS));
  drop_table ();
}

/* An instance that is not listed does not know how many others send to the endpoint. */
static void
test_unlisted_instance_sends_nothing_to_cold_endpoints (void)
{
  create_table ();
  endpoint.cold_left_ms = COLD_MS;
  view.entry_count = 0;
  apply_view (NOW_MS);
  CU_ASSERT_FALSE (dispatch (NOW_MS));
  view.entry_count = 1;
  apply_view (NOW_MS + 1);
  CU_ASSERT_TRUE (dispatch (NOW_MS + 1));
  drop_table ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("cold_endpoints", NULL, NULL);
  CU_ADD_TEST (suite, test_cold_endpoint_gets_few_requests);
  CU_ADD_TEST (suite, test_registration_changes_cold_state);
  CU_ADD_TEST (suite, test_released_domain_is_taken_for_cold);
  CU_ADD_TEST (suite, test_unlisted_instance_sends_nothing_to_cold_endpoints);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
