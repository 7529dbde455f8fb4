#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/load/router.h"
#include "endpoint_table.h"

enum
{
  COLD_MS = 4000,
  REGAINED_MS = 10000,
  LEFT_MS = 10010,
  /* Time that a request takes to reach an endpoint that was chosen before. */
  SEND_DELAY_MS = 100,
  DRAIN_MS = 2000,
  LATE_MS = 1550, /* age of a copy that may be followed */
  SLOTS = 4,
  FIRST_START_MS = 100,
  SECOND_START_MS = 200,
};

static bt_context_t *ctx;
static bt_router_t *router;
static bt_endpoint_table_t *table;
static bt_listed_endpoint_t listed;
static bt_view_t listed_view;
static bt_view_t empty_view;

static void
create_table (void)
{
  bt_router_options_t options;

  ctx = bt_new_context ();
  bt_default_router_options (&options);
  router = bt_new_router (ctx, &options);
  table = bt_new_endpoint_table (ctx, router, NULL);
  memset (&listed, 0, sizeof listed);
  bt_copy_name (listed.id, "i-1");
  bt_copy_name (listed.app, "svc");
  snprintf (listed.address, sizeof listed.address, "127.0.0.1:1");
  listed.slots = SLOTS;
  listed.started_ms = FIRST_START_MS;
  listed_view.endpoints = &listed;
  listed_view.endpoint_count = 1;
  bt_apply_listed_endpoints (ctx, table, &listed_view, 0);
}

static void
drop_table (void)
{
  bt_drop_endpoint_table (ctx, table);
  bt_drop_router (ctx, router);
  bt_drop_context (ctx);
}

/* An entry instance that alone was cut off from the store has reached it again, and just then an
 * endpoint leaves. Its store item could have lapsed during the outage and be written again, but
 * requests must not be sent to the endpoint for that long. */
static void
test_endpoint_that_leaves_after_an_outage_is_removed_in_time (void)
{
  int64_t next_apply_ms;

  create_table ();
  bt_record_store_regained (table, REGAINED_MS);
  next_apply_ms = bt_apply_listed_endpoints (ctx, table, &empty_view, LEFT_MS);
  CU_ASSERT_PTR_NOT_NULL (bt_find_listed_endpoint (table, "i-1"));
  CU_ASSERT (next_apply_ms > LEFT_MS && next_apply_ms + SEND_DELAY_MS < LEFT_MS + DRAIN_MS);
  CU_ASSERT_EQUAL (bt_apply_listed_endpoints (ctx, table, &empty_view, next_apply_ms), 0);
  CU_ASSERT_PTR_NULL (bt_find_listed_endpoint (table, "i-1"));
  drop_table ();
}

/* Guards against requests to an endpoint that has left, behind an outage: its time counted from
 * when this instance learned of it, late from a peer, and not from when the store may have shown
 * it. */
static void
test_endpoint_that_leaves_is_removed_in_time_by_a_late_view (void)
{
  bt_view_t late_view = { .changed_after_ms = LEFT_MS };
  int64_t next_apply_ms;

  create_table ();
  bt_record_store_regained (table, REGAINED_MS);
  next_apply_ms = bt_apply_listed_endpoints (ctx, table, &late_view, LEFT_MS + LATE_MS);
  CU_ASSERT (next_apply_ms + SEND_DELAY_MS < LEFT_MS + DRAIN_MS);
  bt_apply_listed_endpoints (ctx, table, &late_view, LEFT_MS + DRAIN_MS - SEND_DELAY_MS);
  CU_ASSERT_PTR_NULL (bt_find_listed_endpoint (table, "i-1"));
  drop_table ();
}

/* The store was down, and all leases ended when it returned. The endpoints list themselves again,
 * and none of them may be removed meanwhile. */
static void
test_endpoint_that_lapsed_with_the_store_is_kept (void)
{
  create_table ();
  bt_record_store_regained (table, REGAINED_MS);
  bt_apply_listed_endpoints (ctx, table, &empty_view, LEFT_MS);
  CU_ASSERT_EQUAL (bt_apply_listed_endpoints (ctx, table, &listed_view, LEFT_MS + 1500), 0);
  CU_ASSERT_PTR_NOT_NULL (bt_find_listed_endpoint (table, "i-1"));
  drop_table ();
}

/* Guards against endpoints that count as cold anew after each restoration of the store: their items
 * have other revisions in another era, but the endpoints have not become cold again. */
static void
test_endpoint_is_not_cold_again_in_another_era (void)
{
  create_table ();
  listed.cold_left_ms = COLD_MS;
  listed.revision = 5;
  bt_apply_listed_endpoints (ctx, table, &listed_view, 0);
  CU_ASSERT_EQUAL (bt_get_endpoint_cold_until_ms (table, 0), COLD_MS);
  listed.era = 2;
  listed.revision = 3;
  bt_apply_listed_endpoints (ctx, table, &listed_view, COLD_MS);
  CU_ASSERT_EQUAL (bt_get_endpoint_cold_until_ms (table, 0), COLD_MS);
  listed.revision = 7;
  bt_apply_listed_endpoints (ctx, table, &listed_view, COLD_MS);
  CU_ASSERT_EQUAL (bt_get_endpoint_cold_until_ms (table, 0), (int64_t)2 * COLD_MS);
  drop_table ();
}

/* Without an outage of the store, an endpoint that is not listed any more is removed at once. */
static void
test_endpoint_that_leaves_is_removed_at_once (void)
{
  create_table ();
  CU_ASSERT_EQUAL (bt_apply_listed_endpoints (ctx, table, &empty_view, LEFT_MS), 0);
  CU_ASSERT_PTR_NULL (bt_find_listed_endpoint (table, "i-1"));
  drop_table ();
}

/* Sends one request to the endpoint. */
static bt_route_t
dispatch (void)
{
  bt_route_request_t request = { .app = "svc", .account = "", .deadline_left_ms = 1000, .seed = 1 };
  bt_route_t route = { 0 };
  int64_t retry_after_ms;

  CU_ASSERT_EQUAL (bt_choose_endpoint (router, &request, LEFT_MS, &route, &retry_after_ms),
                   BT_REASON_NONE);
  bt_record_dispatch (router, &route, 0, LEFT_MS);
  return route;
}

static bt_capacity_t
get_capacity (void)
{
  bt_capacity_t capacity;

  bt_get_capacity (router, "svc", LEFT_MS, &capacity);
  return capacity;
}

static void
list_start (int64_t started_ms)
{
  listed.started_ms = started_ms;
  bt_apply_listed_endpoints (ctx, table, &listed_view, LEFT_MS);
}

/* A process with all slots taken is killed and restarted under its id. Broken connections of its
 * requests are noticed late. The slots of the new start must be free at once, and attempts of the
 * old start that end late must not count against it. */
static void
test_new_start_has_free_slots (void)
{
  bt_route_t routes[SLOTS];

  create_table ();
  for (int32_t i = 0; i < SLOTS; i++)
    routes[i] = dispatch ();
  CU_ASSERT_EQUAL (get_capacity ().in_flight, SLOTS);
  list_start (SECOND_START_MS);
  CU_ASSERT_EQUAL (get_capacity ().in_flight, 0);
  dispatch ();
  for (int32_t i = 0; i < SLOTS; i++)
    bt_record_attempt_end (router, &routes[i], BT_ATTEMPT_FAILED, 1, LEFT_MS);
  CU_ASSERT_EQUAL (get_capacity ().in_flight, 1);
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 1);
  drop_table ();
}

/* Guards against an ejection that outlives its process: an endpoint that failed until it was
 * ejected is restarted by its operator, and the new process must get requests. */
static void
test_new_start_is_no_outlier (void)
{
  bt_router_options_t options;
  bt_listed_endpoint_t pair[2];
  bt_view_t both = { .endpoints = pair, .endpoint_count = 2 };

  create_table ();
  bt_default_router_options (&options);
  pair[0] = pair[1] = listed;
  bt_copy_name (pair[1].id, "i-2");
  bt_apply_listed_endpoints (ctx, table, &both, LEFT_MS);
  for (int32_t i = 0; i < 100 && bt_count_outliers (router, "svc", LEFT_MS) == 0; i++)
    {
      bt_route_t route = dispatch ();

      bt_record_attempt_end (router, &route, BT_ATTEMPT_FAILED, 1, LEFT_MS);
    }
  CU_ASSERT_EQUAL (bt_count_outliers (router, "svc", LEFT_MS), 1);
  pair[0].started_ms = pair[1].started_ms = SECOND_START_MS;
  bt_apply_listed_endpoints (ctx, table, &both, LEFT_MS);
  CU_ASSERT_EQUAL (bt_count_outliers (router, "svc", LEFT_MS), 0);
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 2);
  drop_table ();
}

/* Another process answered at the address, so the endpoint was marked as gone. It is restarted
 * under its id and must get requests again. A refusal of an earlier request arrives late and must
 * not remove the new start. */
static void
test_new_start_is_used_after_the_earlier_one_was_gone (void)
{
  bt_identity_t before;

  create_table ();
  bt_identify_endpoint (&listed, &before);
  bt_remove_listed_endpoint (ctx, table, &before);
  list_start (FIRST_START_MS);
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 0);
  list_start (SECOND_START_MS);
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 1);
  bt_remove_listed_endpoint (ctx, table, &before);
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 1);
  CU_ASSERT_PTR_NOT_NULL (bt_find_endpoint_at (table, "127.0.0.1:1"));
  drop_table ();
}

/* Guards against applying the store item of an old start to the new one: the old process's last
 * write, which says that it is leaving, arrives after the new one has listed itself. The new one
 * must still get requests. */
static void
test_late_item_of_an_old_start_is_ignored (void)
{
  create_table ();
  list_start (SECOND_START_MS);
  dispatch ();
  listed.leaving = true;
  list_start (FIRST_START_MS);
  listed.leaving = false;
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 1);
  CU_ASSERT_EQUAL (get_capacity ().in_flight, 1);
  CU_ASSERT_EQUAL (bt_find_listed_endpoint (table, "i-1")->started_ms, SECOND_START_MS);
  drop_table ();
}

/* After an outage of the store a missing endpoint is kept for a while and then removed. A new start
 * that is listed meanwhile must not inherit the time since which it was missing. */
static void
test_new_start_does_not_inherit_missing_time (void)
{
  create_table ();
  bt_record_store_regained (table, REGAINED_MS);
  bt_apply_listed_endpoints (ctx, table, &empty_view, LEFT_MS);
  list_start (SECOND_START_MS);
  CU_ASSERT (bt_apply_listed_endpoints (ctx, table, &empty_view, LEFT_MS + 1) > LEFT_MS + 1);
  CU_ASSERT_PTR_NOT_NULL (bt_find_listed_endpoint (table, "i-1"));
  drop_table ();
}

/* An endpoint of an older version does not state when it started. It must be used as before. */
static void
test_endpoint_without_start_time_is_used (void)
{
  create_table ();
  bt_apply_listed_endpoints (ctx, table, &empty_view, LEFT_MS);
  list_start (0);
  dispatch ();
  list_start (0);
  CU_ASSERT_EQUAL (get_capacity ().in_flight, 1);
  list_start (SECOND_START_MS);
  CU_ASSERT_EQUAL (get_capacity ().in_flight, 0);
  drop_table ();
}

/** Counts the unannounced ends of endpoints. */
typedef struct end_counter
{
  bt_endpoint_end_handler_t handler;
  int32_t count;
  bt_identity_t last;
} end_counter_t;

static void
count_end (bt_endpoint_end_handler_t *handler, const bt_identity_t *endpoint)
{
  end_counter_t *counter = (end_counter_t *)handler;

  counter->count++;
  counter->last = *endpoint;
}

static void
test_unannounced_end_is_reported (void)
{
  end_counter_t counter = { { count_end } };

  create_table ();
  bt_set_endpoint_end_handler (table, &counter.handler);
  listed.started_ms = SECOND_START_MS;
  bt_apply_listed_endpoints (ctx, table, &listed_view, 1);
  CU_ASSERT_EQUAL (counter.count, 1);
  CU_ASSERT_EQUAL (counter.last.incarnation, FIRST_START_MS);
  bt_apply_listed_endpoints (ctx, table, &empty_view, 2);
  CU_ASSERT_EQUAL (counter.count, 2);
  CU_ASSERT_EQUAL (counter.last.incarnation, SECOND_START_MS);
  drop_table ();
}

/* Guards against counting a planned stop as a crash. */
static void
test_announced_end_is_not_reported (void)
{
  end_counter_t counter = { { count_end } };

  create_table ();
  bt_set_endpoint_end_handler (table, &counter.handler);
  listed.leaving = true;
  bt_apply_listed_endpoints (ctx, table, &listed_view, 1);
  bt_apply_listed_endpoints (ctx, table, &empty_view, 2);
  CU_ASSERT_EQUAL (counter.count, 0);
  drop_table ();
}

/* Lists the endpoint in an evacuated failure domain. */
static void
evacuate (bt_evacuations_t *evacuations)
{
  memset (evacuations, 0, sizeof *evacuations);
  bt_add_evacuation (ctx, evacuations, "a");
  listed_view.evacuations = *evacuations;
  empty_view.evacuations = *evacuations;
  bt_apply_listed_endpoints (ctx, table, &listed_view, LEFT_MS);
}

static void
release (bt_evacuations_t *evacuations)
{
  bt_clear_evacuations (ctx, evacuations);
  memset (&listed_view.evacuations, 0, sizeof listed_view.evacuations);
  memset (&empty_view.evacuations, 0, sizeof empty_view.evacuations);
}

/* Guards against requests to the endpoints of a failure domain that the operators have evacuated.
 * Requests that run there go on, and a process that restarts there gets none either. */
static void
test_endpoint_of_evacuated_domain_gets_no_requests (void)
{
  bt_evacuations_t evacuations;

  create_table ();
  bt_copy_name (listed.failure_domain, "a");
  list_start (FIRST_START_MS);
  dispatch ();
  evacuate (&evacuations);
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 0);
  CU_ASSERT_EQUAL (get_capacity ().in_flight, 1);
  list_start (SECOND_START_MS);
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 0);
  release (&evacuations);
  list_start (SECOND_START_MS);
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 1);
  drop_table ();
}

/* Guards against requests to an evacuated endpoint whose registration lapsed with the store, and
 * which is kept until it is listed again. */
static void
test_missing_endpoint_of_evacuated_domain_gets_no_requests (void)
{
  bt_evacuations_t evacuations;

  create_table ();
  bt_copy_name (listed.failure_domain, "a");
  list_start (SECOND_START_MS);
  bt_record_store_regained (table, REGAINED_MS);
  bt_apply_listed_endpoints (ctx, table, &empty_view, LEFT_MS);
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 1);
  evacuate (&evacuations);
  bt_apply_listed_endpoints (ctx, table, &empty_view, LEFT_MS);
  CU_ASSERT_PTR_NOT_NULL (bt_find_listed_endpoint (table, "i-1"));
  CU_ASSERT_EQUAL (get_capacity ().endpoints, 0);
  release (&evacuations);
  drop_table ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("endpoint_table", NULL, NULL);
  CU_ADD_TEST (suite, test_endpoint_that_leaves_after_an_outage_is_removed_in_time);
  CU_ADD_TEST (suite, test_endpoint_that_leaves_is_removed_in_time_by_a_late_view);
  CU_ADD_TEST (suite, test_endpoint_that_lapsed_with_the_store_is_kept);
  CU_ADD_TEST (suite, test_endpoint_is_not_cold_again_in_another_era);
  CU_ADD_TEST (suite, test_endpoint_that_leaves_is_removed_at_once);
  CU_ADD_TEST (suite, test_new_start_has_free_slots);
  CU_ADD_TEST (suite, test_new_start_is_no_outlier);
  CU_ADD_TEST (suite, test_new_start_is_used_after_the_earlier_one_was_gone);
  CU_ADD_TEST (suite, test_late_item_of_an_old_start_is_ignored);
  CU_ADD_TEST (suite, test_new_start_does_not_inherit_missing_time);
  CU_ADD_TEST (suite, test_endpoint_without_start_time_is_used);
  CU_ADD_TEST (suite, test_unannounced_end_is_reported);
  CU_ADD_TEST (suite, test_announced_end_is_not_reported);
  CU_ADD_TEST (suite, test_endpoint_of_evacuated_domain_gets_no_requests);
  CU_ADD_TEST (suite, test_missing_endpoint_of_evacuated_domain_gets_no_requests);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
