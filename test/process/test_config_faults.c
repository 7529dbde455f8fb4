#include <CUnit/Basic.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "harness_config.h"

enum
{
  ENTRIES = 3,
};

static const char *const entries[ENTRIES] = { "entry-0", "entry-1", "entry-2" };
static const char *const entry_flags[] = {
  "--isolation-ms", "3000", "--watch-wait-ms", "500", "--beat-ms", "100", "--link-idle-ms",
  "1000",           NULL
};
static const char *const publish_flags[] = { "--isolation-ms", "3000", NULL };

static bt_testbed_t *testbed;

static int
start_suite (void)
{
  char *rules = bt_make_version_rules ("v0");

  bt_set_testbed_arguments (entry_flags, NULL);
  testbed = bt_new_testbed (ENTRIES, 0, 1, 1000, rules);
  free (rules);
  return testbed == NULL ? 1 : 0;
}

static int
end_suite (void)
{
  bt_drop_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

static void
check_all_have (const char *version)
{
  for (int32_t i = 0; i < ENTRIES; i++)
    CU_ASSERT_TRUE (bt_wait_rules_version (testbed, entries[i], version));
}

/* Guards against a publish that reports acceptance too early: when the command prints accepted,
 * every entry already applies the new rules, and status names the change for each entry. */
static void
test_accepted_change_is_in_force (void)
{
  char output[BT_OUTPUT_BYTES];
  char version[48];

  check_all_have ("v0");
  CU_ASSERT_EQUAL (bt_publish_version (testbed, "v1", publish_flags, output), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "entry-2: in force"));
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "accepted: change "));
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      bt_read_rules_version (testbed, entries[i], version);
      CU_ASSERT_STRING_EQUAL (version, "v1");
    }
  CU_ASSERT_EQUAL (bt_run_status (testbed, output), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "entry-1 (hall): ready"));
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "  rules: revision "));
}

/* The store writes the change, and its answer is lost. The command must neither report a failure
 * nor write twice. */
static void
test_lost_store_answer (void)
{
  char output[BT_OUTPUT_BYTES];
  int64_t before = bt_count_store_calls (testbed, "txn");

  CU_ASSERT_TRUE (
      bt_set_store_fault (testbed, "{\"kind\":\"lost-answer\",\"count\":1,\"match\":\"txn\"}"));
  CU_ASSERT_EQUAL (bt_publish_version (testbed, "v2", publish_flags, output), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "accepted: change "));
  CU_ASSERT_EQUAL (bt_count_store_calls (testbed, "txn"), before + 1);
  check_all_have ("v2");
}

/* Two operators publish from the same base revision. One change is accepted. The other operator
 * gets a conflict that names what was changed meanwhile and by which change, and the accepted rules
 * stay in force. */
static void
test_concurrent_publish_is_a_conflict (void)
{
  char base[32];
  const char *flags[] = { "--isolation-ms", "3000", "--base-revision", base, NULL };
  char outputs[2][BT_OUTPUT_BYTES];
  bt_command_run_t runs[2];
  int32_t codes[2];
  int32_t winner;

  snprintf (base, sizeof base, "%lld", (long long)bt_get_rules_revision (testbed));
  bt_start_publish (testbed, "one", flags, &runs[0]);
  bt_start_publish (testbed, "other", flags, &runs[1]);
  for (int32_t i = 0; i < 2; i++)
    codes[i] = bt_finish_command (&runs[i], outputs[i]);
  winner = codes[0] == 0 ? 0 : 1;
  CU_ASSERT_EQUAL (codes[winner], 0);
  CU_ASSERT_EQUAL (codes[1 - winner], 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (outputs[1 - winner], "rules: changed meanwhile from revision"));
  CU_ASSERT_PTR_NOT_NULL (strstr (outputs[1 - winner], "conflict: change "));
  check_all_have (winner == 0 ? "one" : "other");
}

/* Every watch is confirmed and then stays silent, and a change is written without the push of
 * publish. The change must still come into force. */
static void
test_silent_watch_delays_no_change (void)
{
  CU_ASSERT_TRUE (bt_set_store_fault (testbed, "{\"kind\":\"silent-watch\",\"match\":\"watch\"}"));
  CU_ASSERT_TRUE (bt_put_version (testbed, "v4"));
  check_all_have ("v4");
  CU_ASSERT_TRUE (bt_set_store_fault (testbed, "{\"kind\":\"none\"}"));
}

/* Right after a change is accepted, the store stops responding; then one entry is killed and
 * restarted. The new process can learn the rules only from its peers. */
static void
test_restarted_entry_learns_from_peers (void)
{
  char output[BT_OUTPUT_BYTES];

  CU_ASSERT_EQUAL (bt_publish_version (testbed, "v5", publish_flags, output), 0);
  CU_ASSERT_TRUE (bt_signal_process (testbed, "kv", SIGSTOP));
  CU_ASSERT_TRUE (bt_signal_process (testbed, "entry-1", SIGKILL));
  CU_ASSERT_TRUE (bt_start_process (testbed, "entry-1"));
  check_all_have ("v5");
  usleep (4000000);
  check_all_have ("v5");
  CU_ASSERT_TRUE (bt_signal_process (testbed, "kv", SIGCONT));
  CU_ASSERT_EQUAL (bt_publish_version (testbed, "v6", publish_flags, output), 0);
  check_all_have ("v6");
}

/* One entry keeps its callers and loses everything else: the store is down, and its peers hang. It
 * can't know whether its rules are still in force, so it must refuse requests with the reason
 * isolated, and serve again once it reaches its peers. */
static void
test_isolated_entry_refuses (void)
{
  CU_ASSERT_TRUE (bt_set_store_fault (testbed, "{\"kind\":\"down\"}"));
  CU_ASSERT_TRUE (bt_signal_process (testbed, "entry-0", SIGSTOP));
  CU_ASSERT_TRUE (bt_signal_process (testbed, "entry-1", SIGSTOP));
  CU_ASSERT_TRUE (bt_wait_rules_version (testbed, "entry-2", "isolated"));
  CU_ASSERT_TRUE (bt_signal_process (testbed, "entry-0", SIGCONT));
  CU_ASSERT_TRUE (bt_signal_process (testbed, "entry-1", SIGCONT));
  check_all_have ("v6");
  CU_ASSERT_TRUE (bt_set_store_fault (testbed, "{\"kind\":\"none\"}"));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("config_faults", start_suite, end_suite);
  CU_ADD_TEST (suite, test_accepted_change_is_in_force);
  CU_ADD_TEST (suite, test_lost_store_answer);
  CU_ADD_TEST (suite, test_concurrent_publish_is_a_conflict);
  CU_ADD_TEST (suite, test_silent_watch_delays_no_change);
  CU_ADD_TEST (suite, test_restarted_entry_learns_from_peers);
  CU_ADD_TEST (suite, test_isolated_entry_refuses);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures () + CU_get_number_of_suites_failed ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
