#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "harness_gateway.h"
#include "harness_http.h"

enum
{
  GATEWAYS = 4,
  RUNNERS = BT_DEFAULT_RUNNERS,
  OK = 200,
  UNAUTHORIZED = 401,
  POLL_MS = 20,
  /* Writes whose revisions a restoration takes back, more than any test writes afterwards. */
  LOST_WRITES = 40,
  /* Requests of a round; a runner that is in use gets at least one of them. */
  ROUND_REQUESTS = 24,
  ID_BYTES = 64,
  CONFIGURATION_BYTES = 2048,
};

static const char *const configuration =
    "{\"version\":%d,\"services\":[{\"name\":\"svc\"}],"
    "\"tenants\":[{\"name\":\"small\",\"api_keys\":[\"key-small\"%s],\"priority\":1}],"
    "\"routes\":[{\"name\":\"wide\",\"host\":\"shop.example\",\"prefix\":\"/a/\","
    "\"kind\":\"idempotent\",\"service\":\"svc\",\"timeout_ms\":3000,\"max_attempts\":2,"
    "\"public\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"idle_timeout_ms\":15000}}";

static bt_gateway_testbed_t *testbed;
static int32_t version;
static int32_t request_count;

static bool
put_configuration (const char *keys)
{
  char text[CONFIGURATION_BYTES];

  snprintf (text, sizeof text, configuration, ++version, keys);
  return bt_put_store_item (testbed, "op/config", text);
}

static int
start_suite (void)
{
  char text[CONFIGURATION_BYTES];

  snprintf (text, sizeof text, configuration, ++version, "");
  testbed = bt_new_gateway_testbed (GATEWAYS, text);
  if (testbed == NULL)
    return 1;
  for (int32_t i = 0; i < GATEWAYS; i++)
    if (!bt_wait_gateway_ready (testbed, i))
      return 1;
  return 0;
}

static int
end_suite (void)
{
  bt_drop_gateway_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

static bool
wait_status_everywhere (const char *key, int32_t status)
{
  for (int32_t i = 0; i < GATEWAYS; i++)
    {
      bt_gateway_call_t call = {
        .gateway = i, .path = "/a/lookup", .id = "r-key", .key = key, .deadline_ms = 4000
      };

      if (!bt_wait_call_status (testbed, &call, status))
        return false;
    }
  return true;
}

/* Writes items that nobody uses, so that the store's revision advances. */
static void
write_unused_items (int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    CU_ASSERT_TRUE (bt_put_store_item (testbed, "op/unused", "x"));
}

/* Makes the store lose LOST_WRITES revisions that all gateways know. @p keys are the valid keys
 * meanwhile, "key-lost" among them. */
static void
lose_known_revisions (const char *keys)
{
  CU_ASSERT_TRUE (bt_backup_store (testbed));
  write_unused_items (LOST_WRITES);
  CU_ASSERT_TRUE (put_configuration (keys));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-lost", OK));
  CU_ASSERT_TRUE (bt_restore_store (testbed));
}

/* Sends requests to a gateway and returns how many of them a runner ran. */
static int32_t
count_round_runs (int32_t gateway, int32_t runner)
{
  int32_t runs = 0;

  for (int32_t i = 0; i < ROUND_REQUESTS; i++)
    {
      char id[ID_BYTES];
      bt_gateway_call_t call = {
        .gateway = gateway, .path = "/a/lookup", .id = id, .key = "key-small", .deadline_ms = 4000
      };

      snprintf (id, sizeof id, "r-round-%d", request_count++);
      CU_ASSERT_EQUAL (bt_get_call_status (testbed, &call), OK);
      runs += bt_count_runner_runs (testbed, runner, id);
    }
  return runs;
}

/* Waits until a runner gets none of a round of requests from any gateway. */
static bool
wait_runner_unused (int32_t runner)
{
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;

  for (int32_t i = 0; i < GATEWAYS; i++)
    while (count_round_runs (i, runner) > 0)
      if (bt_read_clock_ms (bt_system_clock ()) > limit_ms)
        return false;
  return true;
}

/* Replaces a runner by another one at the same address. */
static void
replace_runner (int32_t runner)
{
  char key[ID_BYTES] = "servers/";

  bt_write_runner_id (testbed, runner, key + strlen (key), sizeof key - strlen (key));
  bt_kill_runner_process (testbed, runner);
  CU_ASSERT_TRUE (bt_put_store_item (testbed, key, NULL));
  CU_ASSERT_TRUE (bt_start_runner_process (testbed, runner));
  CU_ASSERT_TRUE (bt_put_runner_item (testbed, runner, "ready"));
}

/* Guards against a revoked key that is still accepted: the store is restored from a backup, and the
 * change is confirmed at a revision that was assigned before. */
static void
test_change_at_a_reused_revision_is_in_force (void)
{
  CU_ASSERT_TRUE (put_configuration (",\"key-revoked\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-revoked", OK));
  lose_known_revisions (",\"key-revoked\",\"key-lost\"");
  CU_ASSERT_TRUE (put_configuration (",\"key-added\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-revoked", UNAUTHORIZED));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-added", OK));
}

/* Guards against requests to an endpoint that leaves: the store is restored from a backup, and the
 * endpoint announces its leaving at a revision that was assigned before. */
static void
test_leaving_at_a_reused_revision_is_seen (void)
{
  lose_known_revisions (",\"key-lost\"");
  CU_ASSERT_TRUE (bt_put_runner_item (testbed, 0, "draining"));
  CU_ASSERT_TRUE (wait_runner_unused (0));
  replace_runner (0);
}

/* Guards against requests to an endpoint that leaves: the revisions pass the lost ones before any
 * gateway reaches the restored store, so that a watch reports only what came after them. */
static void
test_leaving_is_seen_after_revisions_have_passed (void)
{
  CU_ASSERT_TRUE (bt_backup_store (testbed));
  write_unused_items (LOST_WRITES);
  CU_ASSERT_TRUE (put_configuration (",\"key-known\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-known", OK));
  for (int32_t i = 0; i < GATEWAYS; i++)
    CU_ASSERT_TRUE (bt_set_hop_fault (testbed->hop_ports[i], BT_HOP_CUT, 0));
  CU_ASSERT_TRUE (bt_restore_store (testbed));
  CU_ASSERT_TRUE (bt_put_runner_item (testbed, 1, "draining"));
  write_unused_items (2 * LOST_WRITES);
  for (int32_t i = 0; i < GATEWAYS; i++)
    CU_ASSERT_TRUE (bt_set_hop_fault (testbed->hop_ports[i], BT_HOP_NONE, 0));
  CU_ASSERT_TRUE (put_configuration (",\"key-after\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-after", OK));
  for (int32_t i = 0; i < GATEWAYS; i++)
    CU_ASSERT_EQUAL (count_round_runs (i, 1), 0);
  replace_runner (1);
}

/* Guards against a restoration that operators cannot see. */
static void
test_restoration_is_reported (void)
{
  int64_t before[GATEWAYS];

  for (int32_t i = 0; i < GATEWAYS; i++)
    before[i] = bt_read_gateway_metric (testbed, i, "bilberry_store_era");
  lose_known_revisions (",\"key-lost\"");
  CU_ASSERT_TRUE (put_configuration (",\"key-reported\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-reported", OK));
  for (int32_t i = 0; i < GATEWAYS; i++)
    {
      char text[ID_BYTES];
      int64_t era = bt_read_gateway_metric (testbed, i, "bilberry_store_era");

      CU_ASSERT_EQUAL (era, before[i] + 1);
      CU_ASSERT (bt_read_gateway_metric (testbed, i, "bilberry_store_restores_total") > 0);
      snprintf (text, sizeof text, "store: era %lld, ", (long long)era);
      CU_ASSERT_TRUE (bt_has_gateway_status (testbed, i, text));
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("gateway_restored_store", start_suite, end_suite);
  CU_ADD_TEST (suite, test_change_at_a_reused_revision_is_in_force);
  CU_ADD_TEST (suite, test_leaving_at_a_reused_revision_is_seen);
  CU_ADD_TEST (suite, test_leaving_is_seen_after_revisions_have_passed);
  CU_ADD_TEST (suite, test_restoration_is_reported);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  if (CU_get_number_of_suites_failed () > 0)
    failures++;
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
