#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "bilberrytray/base/clock.h"
#include "harness_gateway.h"
#include "harness_http.h"

enum
{
  GATEWAYS = 4,
  OK = 200,
  UNAUTHORIZED = 401,
  POLL_MS = 20,
  /* Writes whose revisions a restoration takes back, more than any test writes afterwards. */
  LOST_WRITES = 40,
  /* The runner that is the only one of its service. */
  SINGLE = 0,
  /* How long it is checked that something stays as it was; a gateway that follows the restored
   * store has read it well within this time. */
  IN_FORCE_MS = 2000,
  OUTAGE_MS = 1500,
  ID_BYTES = 64,
  CONFIGURATION_BYTES = 2048,
};

static const char *const configuration =
    "{\"version\":%d,\"services\":[{\"name\":\"svc\"},{\"name\":\"single\"}],"
    "\"tenants\":[{\"name\":\"small\",\"api_keys\":[\"key-small\"%s],\"priority\":1}],"
    "\"routes\":[{\"name\":\"wide\",\"host\":\"shop.example\",\"prefix\":\"/a/\","
    "\"kind\":\"idempotent\",\"service\":\"svc\",\"timeout_ms\":3000,\"max_attempts\":2,"
    "\"public\":false},{\"name\":\"single\",\"host\":\"shop.example\",\"prefix\":\"/b/\","
    "\"kind\":\"idempotent\",\"service\":\"single\",\"timeout_ms\":3000,\"max_attempts\":2,"
    "\"public\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"idle_timeout_ms\":15000}}";

static bt_gateway_testbed_t *testbed;
static int32_t version;
static int32_t single_writes;

static bool
put_configuration (const char *keys)
{
  char text[CONFIGURATION_BYTES];

  snprintf (text, sizeof text, configuration, ++version, keys);
  return bt_put_store_item (testbed, "op/config", text);
}

static void
write_single_key (char key[ID_BYTES])
{
  int bytes = snprintf (key, ID_BYTES, "servers/");

  bt_write_runner_id (testbed, SINGLE, key + bytes, (size_t)(ID_BYTES - bytes));
}

/* Writes the item of the runner that is the only one of the service "single". */
static bool
put_single_item (const char *state)
{
  char key[ID_BYTES];
  char value[CONFIGURATION_BYTES];

  write_single_key (key);
  snprintf (value, sizeof value,
            "{\"service\":\"single\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
            "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"cold_left_ms\":0,"
            "\"sequence\":%d,\"born\":%lld}",
            testbed->runner_ports[SINGLE], state, ++single_writes,
            (long long)testbed->runner_start_ms[SINGLE]);
  return bt_put_store_item (testbed, key, value);
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
  return put_single_item ("ready") ? 0 : 1;
}

static int
end_suite (void)
{
  bt_drop_gateway_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

static int32_t
get_status (int32_t gateway, const char *path, const char *key, int32_t deadline_ms)
{
  bt_gateway_call_t call = {
    .gateway = gateway, .path = path, .id = "r-restored", .key = key, .deadline_ms = deadline_ms
  };

  return bt_get_call_status (testbed, &call);
}

static int32_t
get_key_status (int32_t gateway, const char *key)
{
  return get_status (gateway, "/a/lookup", key, 4000);
}

/* Returns true if a gateway sends requests to the runner that is the only one of its service. */
static bool
uses_single_runner (int32_t gateway)
{
  return get_status (gateway, "/b/lookup", "key-small", 300) == OK;
}

static bool
wait_status_everywhere (const char *key, int32_t status)
{
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;

  for (int32_t i = 0; i < GATEWAYS; i++)
    while (get_key_status (i, key) != status)
      {
        if (bt_read_clock_ms (bt_system_clock ()) > limit_ms)
          return false;
        bt_sleep_ms (POLL_MS);
      }
  return true;
}

static bool
wait_single_runner_everywhere (bool used)
{
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;

  for (int32_t i = 0; i < GATEWAYS; i++)
    while (uses_single_runner (i) != used)
      {
        if (bt_read_clock_ms (bt_system_clock ()) > limit_ms)
          return false;
        bt_sleep_ms (POLL_MS);
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

/* Replaces the only runner of its service by another one at the same address. */
static void
replace_single_runner (void)
{
  char key[ID_BYTES];

  write_single_key (key);
  bt_kill_runner_process (testbed, SINGLE);
  CU_ASSERT_TRUE (bt_put_store_item (testbed, key, NULL));
  CU_ASSERT_TRUE (bt_start_runner_process (testbed, SINGLE));
  CU_ASSERT_TRUE (put_single_item ("ready"));
  CU_ASSERT_TRUE (wait_single_runner_everywhere (true));
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
  CU_ASSERT_TRUE (wait_single_runner_everywhere (true));
  lose_known_revisions (",\"key-lost\"");
  CU_ASSERT_TRUE (put_single_item ("draining"));
  CU_ASSERT_TRUE (wait_single_runner_everywhere (false));
  replace_single_runner ();
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
  CU_ASSERT_TRUE (put_single_item ("draining"));
  write_unused_items (2 * LOST_WRITES);
  for (int32_t i = 0; i < GATEWAYS; i++)
    CU_ASSERT_TRUE (bt_set_hop_fault (testbed->hop_ports[i], BT_HOP_NONE, 0));
  CU_ASSERT_TRUE (put_configuration (",\"key-after\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-after", OK));
  for (int32_t i = 0; i < GATEWAYS; i++)
    CU_ASSERT_FALSE (uses_single_runner (i));
  replace_single_runner ();
}

/* Checks for some time that no gateway accepts a key. */
static void
check_key_stays_refused (const char *key)
{
  int64_t until_ms = bt_read_clock_ms (bt_system_clock ()) + IN_FORCE_MS;
  bool refused = true;

  while (refused && bt_read_clock_ms (bt_system_clock ()) < until_ms)
    for (int32_t i = 0; i < GATEWAYS; i++)
      refused = refused && get_key_status (i, key) == UNAUTHORIZED;
  CU_ASSERT_TRUE (refused);
}

/* Checks for some time that no gateway uses the only runner of its service. */
static void
check_single_runner_stays_unused (void)
{
  int64_t until_ms = bt_read_clock_ms (bt_system_clock ()) + IN_FORCE_MS;
  bool unused = true;

  while (unused && bt_read_clock_ms (bt_system_clock ()) < until_ms)
    for (int32_t i = 0; i < GATEWAYS; i++)
      unused = unused && !uses_single_runner (i);
  CU_ASSERT_TRUE (unused);
}

static bool
wait_retained_everywhere (int64_t count)
{
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;

  for (int32_t i = 0; i < GATEWAYS; i++)
    while (bt_read_gateway_metric (testbed, i, "bilberry_store_retained_items") != count)
      {
        if (bt_read_clock_ms (bt_system_clock ()) > limit_ms)
          return false;
        bt_sleep_ms (POLL_MS);
      }
  return true;
}

/* Guards against the return of a revoked key: the restored store shows the configuration from
 * before its removal, and the operators write each of the lost versions again. */
static void
test_older_configuration_is_not_taken (void)
{
  char lost[CONFIGURATION_BYTES];

  CU_ASSERT_TRUE (put_configuration (",\"key-taken\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-taken", OK));
  CU_ASSERT_TRUE (bt_backup_store (testbed));
  snprintf (lost, sizeof lost, configuration, ++version, ",\"key-taken\"");
  CU_ASSERT_TRUE (bt_put_store_item (testbed, "op/config", lost));
  CU_ASSERT_TRUE (put_configuration (""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-taken", UNAUTHORIZED));
  CU_ASSERT_TRUE (bt_restore_store (testbed));
  check_key_stays_refused ("key-taken");
  CU_ASSERT_TRUE (bt_put_store_item (testbed, "op/config", lost));
  check_key_stays_refused ("key-taken");
  CU_ASSERT_TRUE (put_configuration (",\"key-again\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-again", OK));
  CU_ASSERT_TRUE (wait_retained_everywhere (0));
}

/* Guards against requests to an endpoint that leaves: the restored store shows it as it was before
 * it announced that. */
static void
test_leaving_endpoint_stays_unused (void)
{
  CU_ASSERT_TRUE (bt_backup_store (testbed));
  CU_ASSERT_TRUE (put_single_item ("draining"));
  CU_ASSERT_TRUE (wait_single_runner_everywhere (false));
  CU_ASSERT_TRUE (bt_restore_store (testbed));
  check_single_runner_stays_unused ();
  CU_ASSERT_TRUE (put_single_item ("draining"));
  CU_ASSERT_TRUE (wait_retained_everywhere (0));
  replace_single_runner ();
}

/* Guards against requests to an endpoint that is gone: the restored store shows it until its item
 * expires. */
static void
test_removed_endpoint_stays_unused (void)
{
  char key[ID_BYTES];

  write_single_key (key);
  CU_ASSERT_TRUE (bt_backup_store (testbed));
  CU_ASSERT_TRUE (bt_put_store_item (testbed, key, NULL));
  CU_ASSERT_TRUE (wait_single_runner_everywhere (false));
  CU_ASSERT_TRUE (bt_restore_store (testbed));
  check_single_runner_stays_unused ();
  replace_single_runner ();
}

/* Guards against a gateway that starts with an older configuration than the others have in force:
 * it starts while the restored store shows that one. */
static void
test_started_gateway_takes_what_is_in_force (void)
{
  int32_t started = GATEWAYS - 1;

  CU_ASSERT_TRUE (put_configuration (",\"key-gone\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-gone", OK));
  CU_ASSERT_TRUE (bt_backup_store (testbed));
  CU_ASSERT_TRUE (put_configuration (""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-gone", UNAUTHORIZED));
  CU_ASSERT_TRUE (bt_restore_store (testbed));
  CU_ASSERT_TRUE (wait_retained_everywhere (1));
  kill (testbed->gateways[started], SIGKILL);
  waitpid (testbed->gateways[started], NULL, 0);
  bt_start_gateway_process (testbed, started);
  CU_ASSERT_TRUE (bt_wait_gateway_ready (testbed, started));
  check_key_stays_refused ("key-gone");
  CU_ASSERT_TRUE (put_configuration (""));
  CU_ASSERT_TRUE (wait_retained_everywhere (0));
}

/* Guards against older states that a gateway takes after it was frozen or cut off from the store
 * while the store was restored twice. */
static void
test_frozen_and_cut_gateways_keep_what_is_in_force (void)
{
  CU_ASSERT_TRUE (put_configuration (",\"key-before\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-before", OK));
  CU_ASSERT_TRUE (bt_backup_store (testbed));
  CU_ASSERT_TRUE (put_configuration (""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-before", UNAUTHORIZED));
  CU_ASSERT_TRUE (bt_set_hop_fault (testbed->hop_ports[0], BT_HOP_CUT, 0));
  kill (testbed->gateways[1], SIGSTOP);
  CU_ASSERT_TRUE (bt_restore_store (testbed));
  write_unused_items (LOST_WRITES);
  CU_ASSERT_TRUE (bt_restore_store (testbed));
  kill (testbed->gateways[1], SIGCONT);
  CU_ASSERT_TRUE (bt_set_hop_fault (testbed->hop_ports[0], BT_HOP_NONE, 0));
  check_key_stays_refused ("key-before");
  CU_ASSERT_TRUE (put_configuration (",\"key-later\""));
  CU_ASSERT_TRUE (wait_status_everywhere ("key-later", OK));
  CU_ASSERT_TRUE (wait_retained_everywhere (0));
}

static int64_t
count_reads (int32_t gateway)
{
  return bt_read_gateway_metric (testbed, gateway, "bilberry_store_calls_total{kind=\"range\"}");
}

static bool
wait_era_everywhere (int64_t era)
{
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;

  for (int32_t i = 0; i < GATEWAYS; i++)
    while (bt_read_gateway_metric (testbed, i, "bilberry_store_era") != era)
      {
        if (bt_read_clock_ms (bt_system_clock ()) > limit_ms)
          return false;
        bt_sleep_ms (POLL_MS);
      }
  return true;
}

/* Guards against full reads by all gateways at the moment in which a restored store returns. Those
 * that are no readers must learn what it holds from one that is. */
static void
test_returned_store_is_not_read_by_all (void)
{
  int64_t era = bt_read_gateway_metric (testbed, 0, "bilberry_store_era");
  int64_t before[GATEWAYS];
  int32_t readers = 0;

  CU_ASSERT_TRUE (bt_backup_store (testbed));
  write_unused_items (LOST_WRITES);
  CU_ASSERT_TRUE (bt_set_standin_fault (testbed->store_port, "{\"kind\":\"down\",\"count\":-1}"));
  bt_sleep_ms (OUTAGE_MS);
  CU_ASSERT_TRUE (bt_restore_store (testbed));
  for (int32_t i = 0; i < GATEWAYS; i++)
    before[i] = count_reads (i);
  CU_ASSERT_TRUE (bt_set_standin_fault (testbed->store_port, "{\"kind\":\"none\"}"));
  CU_ASSERT_TRUE (wait_era_everywhere (era + 1));
  for (int32_t i = 0; i < GATEWAYS; i++)
    readers += count_reads (i) > before[i] ? 1 : 0;
  CU_ASSERT (readers < GATEWAYS);
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
  CU_ADD_TEST (suite, test_older_configuration_is_not_taken);
  CU_ADD_TEST (suite, test_leaving_endpoint_stays_unused);
  CU_ADD_TEST (suite, test_removed_endpoint_stays_unused);
  CU_ADD_TEST (suite, test_started_gateway_takes_what_is_in_force);
  CU_ADD_TEST (suite, test_frozen_and_cut_gateways_keep_what_is_in_force);
  CU_ADD_TEST (suite, test_returned_store_is_not_read_by_all);
  CU_ADD_TEST (suite, test_restoration_is_reported);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  if (CU_get_number_of_suites_failed () > 0)
    failures++;
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
