#include <CUnit/Basic.h>

#include "config_world.h"

enum
{
  SETTLE_MS = 5000,
  LONG_RUN_MS = 60000,
};

/* Three entries, and one accepted change in force on all. */
static void
open_settled (simulation_t *sim, int32_t entries, uint32_t spread_off, uint32_t publish_off)
{
  sim_open (sim, entries, 7, spread_off, publish_off);
  sim_run (sim, SETTLE_MS);
  sim_publish (sim, 0, NULL);
  sim_run (sim, SETTLE_MS);
  CU_ASSERT_EQUAL_FATAL (sim_get_result (sim, 0), BT_PUBLISH_ACCEPTED);
  for (int32_t i = 0; i < entries; i++)
    CU_ASSERT_EQUAL (sim_get_revision (sim, i), sim->rules->revision);
}

static void
test_change_is_in_force_everywhere_within_seconds (void)
{
  simulation_t sim;
  int64_t begun_ms;

  open_settled (&sim, 5, 0, 0);
  begun_ms = sim.now_ms;
  sim_publish (&sim, 1, sim.rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (&sim, 1), BT_PUBLISH_ACCEPTED);
  CU_ASSERT_TRUE (sim.now_ms - begun_ms <= 2000);
  for (int32_t i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (sim_get_revision (&sim, i), sim.rules->revision);
  sim_run (&sim, LONG_RUN_MS);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  sim_close (&sim);
}

static void
run_silent_watch (simulation_t *sim, uint32_t guards_off)
{
  open_settled (sim, 3, guards_off, BT_PUBLISH_NO_PUSH);
  sim->silent_watch = true;
  sim_run (sim, SETTLE_MS);
  for (int32_t i = 0; i < 3; i++)
    sim->blocked[SIM_MAX_ENTRIES + 1][i] = true;
  sim_publish (sim, 1, sim->rules);
  sim_run (sim, LONG_RUN_MS);
}

/* An edit never arrives, though the service answers everyone who asks. The watches went silent for
 * good, which looks like a quiet time; the hand-over does not reach anyone either. */
static void
test_silent_watch_is_followed_by_read (void)
{
  simulation_t sim;

  run_silent_watch (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (sim_get_revision (&sim, 0), sim.rules->revision);
  sim_close (&sim);
  run_silent_watch (&sim, BT_SPREAD_TRUST_QUIET_WATCH);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

static void
run_cut_off_entry (simulation_t *sim, uint32_t guards_off)
{
  open_settled (sim, 3, guards_off, 0);
  sim_isolate_node (sim, 2, true);
  sim->entries[2].service_unreachable = true;
  sim_publish (sim, 1, sim->rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (sim, 1), BT_PUBLISH_ACCEPTED);
  sim_run (sim, LONG_RUN_MS);
}

/* An entry loses everyone but its callers. They go on being served by rules that an operator has
 * replaced, and nothing shows it. After the limit it must refuse, and once joined again go on. */
static void
test_cut_off_entry_is_isolated (void)
{
  simulation_t sim;

  run_cut_off_entry (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (bt_get_spread_state (sim.entries[2].spread, sim_get_clock_ms (&sim, 2)),
                   BT_SPREAD_ISOLATED);
  sim_isolate_node (&sim, 2, false);
  sim_run (&sim, SETTLE_MS);
  CU_ASSERT_TRUE (sim_is_admitting (&sim, 2));
  CU_ASSERT_EQUAL (sim_get_revision (&sim, 2), sim.rules->revision);
  sim_close (&sim);
  run_cut_off_entry (&sim, BT_SPREAD_NEVER_ISOLATED);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

static void
run_minority_partition (simulation_t *sim, uint32_t guards_off)
{
  open_settled (sim, 5, guards_off, 0);
  for (int32_t node = 0; node < SIM_NODES; node++)
    for (int32_t other = 0; other < SIM_NODES; other++)
      sim->blocked[node][other] = (node == 3 || node == 4) != (other == 3 || other == 4);
  sim->entries[3].service_unreachable = sim->entries[4].service_unreachable = true;
  sim_publish (sim, 1, sim->rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (sim, 1), BT_PUBLISH_ACCEPTED);
  sim_run (sim, LONG_RUN_MS);
}

/* Two of five entries are cut off together. Each still hears a peer, so to them it looks as if only
 * the service were down; but a change was accepted on the other side. */
static void
test_island_without_majority_is_isolated (void)
{
  simulation_t sim;

  run_minority_partition (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_FALSE (sim_is_admitting (&sim, 3));
  CU_ASSERT_TRUE (sim_is_admitting (&sim, 0));
  sim_close (&sim);
  run_minority_partition (&sim, BT_SPREAD_ANY_PEER);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

/* The service is down for half an hour. Nothing can be accepted meanwhile, so all entries go on by
 * the highest revision, one that is replaced learns it from its peers, and after the outage the
 * next change arrives as ever. */
static void
test_long_outage_and_replaced_entry (void)
{
  simulation_t sim;

  open_settled (&sim, 3, 0, 0);
  sim.service_down = true;
  sim_run (&sim, 900000);
  sim_replace_entry (&sim, 1);
  sim_run (&sim, SETTLE_MS);
  CU_ASSERT_EQUAL (sim_get_revision (&sim, 1), sim.rules->revision);
  sim_run (&sim, 900000);
  for (int32_t i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sim_is_admitting (&sim, i));
  sim.service_down = false;
  sim_publish (&sim, 1, sim.rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (&sim, 1), BT_PUBLISH_ACCEPTED);
  sim_run (&sim, LONG_RUN_MS);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  sim_close (&sim);
}

static void
run_start_from_old_peer (simulation_t *sim, uint32_t guards_off)
{
  open_settled (sim, 3, guards_off, 0);
  sim_isolate_node (sim, 2, true);
  sim->entries[2].service_unreachable = true;
  sim_publish (sim, 1, sim->rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (sim, 1), BT_PUBLISH_ACCEPTED);
  sim->service_down = true;
  sim_isolate_node (sim, 2, false);
  sim_isolate_node (sim, 0, true);
  sim->blocked[1][2] = sim->blocked[2][1] = false;
  sim_stop_entry (sim, 0);
  sim_replace_entry (sim, 1);
  sim_run (sim, LONG_RUN_MS);
}

/* A change was accepted by two of three; the third was away. The service goes down, one of the two
 * is unreachable and the other is replaced: the new process meets only the one that was away, and
 * would start with rules that had been replaced. It has to stay unready. */
static void
test_start_needs_enough_peers (void)
{
  simulation_t sim;

  run_start_from_old_peer (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (bt_get_spread_state (sim.entries[1].spread, sim_get_clock_ms (&sim, 1)),
                   BT_SPREAD_NOT_READY);
  sim_close (&sim);
  run_start_from_old_peer (&sim, BT_SPREAD_ANY_PEER);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

static void
run_stale_read (simulation_t *sim, uint32_t guards_off)
{
  open_settled (sim, 3, guards_off, 0);
  sim_save_stale_state (sim);
  sim_publish (sim, 1, sim->rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (sim, 1), BT_PUBLISH_ACCEPTED);
  sim->service_down = true;
  sim_run (sim, SETTLE_MS);
  sim_replace_entry (sim, 1);
  sim_run (sim, SETTLE_MS);
  sim->stale_reads = true;
  sim->service_down = false;
  sim_run (sim, LONG_RUN_MS);
}

static void
run_stale_first_read (simulation_t *sim, uint32_t guards_off)
{
  open_settled (sim, 3, guards_off, 0);
  sim_save_stale_state (sim);
  sim_publish (sim, 1, sim->rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (sim, 1), BT_PUBLISH_ACCEPTED);
  sim->stale_reads = true;
  sim->read_delay_ms = 1000;
  sim_replace_entry (sim, 1);
  sim_run (sim, SETTLE_MS);
}

/* A new entry asks the service and its peers together. The peers answer first, with the rules in
 * force; then comes the service's answer, from a replica that lags, with the rules before. They
 * must not come back in force. */
static void
test_older_document_is_dropped (void)
{
  simulation_t sim;

  run_stale_first_read (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_TRUE (bt_count_offers (bt_get_spread_table (sim.entries[1].spread), BT_OFFER_OLDER)
                  > 0);
  sim_close (&sim);
  run_stale_first_read (&sim, BT_SPREAD_TAKE_OLDER);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

/* After an outage the service answers, for a while, from a replica that lags: nothing may come of
 * it but a count. */
static void
test_stale_read_after_recovery_is_dropped (void)
{
  simulation_t sim;
  bt_spread_status_t status;

  run_stale_read (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  bt_get_spread_status (sim.entries[1].spread, sim_get_clock_ms (&sim, 1), &status);
  CU_ASSERT_TRUE (status.stale_reads > 0);
  sim_close (&sim);
}

static void
run_stale_isolated (simulation_t *sim, uint32_t guards_off)
{
  run_stale_read (sim, guards_off);
  sim_isolate_node (sim, 1, true);
  sim_run (sim, LONG_RUN_MS);
}

/* The same replica answers one entry that has lost its peers: each stale answer would count as
 * fresh news, and it would go on admitting without end. */
static void
test_stale_read_is_not_fresh (void)
{
  simulation_t sim;

  run_stale_isolated (&sim, 0);
  CU_ASSERT_FALSE (sim_is_admitting (&sim, 1));
  sim_close (&sim);
  run_stale_isolated (&sim, BT_SPREAD_TRUST_STALE_READ);
  CU_ASSERT_TRUE (sim_is_admitting (&sim, 1));
  sim_close (&sim);
}

static void
run_killed_forwarder (simulation_t *sim, uint32_t guards_off)
{
  open_settled (sim, 3, guards_off, BT_PUBLISH_ANY_ENTRY);
  sim->blocked[0][1] = true;
  for (int32_t i = 1; i < 3; i++)
    sim->blocked[SIM_MAX_ENTRIES + 1][i] = true;
  for (int32_t i = 0; i < 3; i++)
    sim->entries[i].service_unreachable = true;
  sim_publish (sim, 1, sim->rules);
  sim->blocked[2][1] = true;
  sim_run (sim, SETTLE_MS);
  sim_stop_entry (sim, 0);
  sim->blocked[2][1] = false;
  sim_run (sim, LONG_RUN_MS);
}

/* The entry that alone got a change from the operator dies when one of two peers has learnt it from
 * its heartbeats; what that one sends to the last is lost, and the service is out of reach. The
 * last one would keep the old rules for good, if heartbeats did not show the difference. */
static void
test_entry_killed_while_it_spreads (void)
{
  simulation_t sim;

  run_killed_forwarder (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (sim_get_revision (&sim, 1), sim.rules->revision);
  sim_close (&sim);
  run_killed_forwarder (&sim, BT_SPREAD_NO_PULL);
  CU_ASSERT_TRUE (sim_get_revision (&sim, 1) < sim.rules->revision);
  sim_close (&sim);
}

static void
run_late_heartbeats (simulation_t *sim, uint32_t guards_off)
{
  open_settled (sim, 3, guards_off, 0);
  sim->link_delay_ms = 90000;
  sim->entries[2].service_unreachable = true;
  for (int32_t i = 0; i < 2; i++)
    sim->blocked[SIM_MAX_ENTRIES + 1][2] = true;
  sim_run (sim, (int64_t)2 * LONG_RUN_MS);
}

/* Heartbeats reach one entry a minute and a half late, one each second. Dated by their arrival they
 * look like fresh news, and it goes on by rules that may have been replaced since. */
static void
test_late_heartbeat_is_not_fresh (void)
{
  simulation_t sim;

  run_late_heartbeats (&sim, 0);
  CU_ASSERT_FALSE (sim_is_admitting (&sim, 2));
  sim_close (&sim);
  run_late_heartbeats (&sim, BT_SPREAD_TRUST_ARRIVAL);
  CU_ASSERT_TRUE (sim_is_admitting (&sim, 2));
  sim_close (&sim);
}

/* The clocks of the machines are hours apart, one of them far in the past. Readings of different
 * clocks are never compared, so nothing may change. */
static void
test_clocks_far_off (void)
{
  static const int64_t offsets[] = { 0, 36000000, 86400000 };
  simulation_t sim;

  open_settled (&sim, 3, 0, 0);
  for (int32_t i = 0; i < 3; i++)
    {
      sim.entries[i].clock_offset_ms = offsets[i];
      sim_replace_entry (&sim, i);
      sim_run (&sim, SETTLE_MS);
    }
  sim.service_down = true;
  sim_run (&sim, LONG_RUN_MS);
  for (int32_t i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sim_is_admitting (&sim, i));
  sim_isolate_node (&sim, 2, true);
  sim_run (&sim, LONG_RUN_MS);
  CU_ASSERT_FALSE (sim_is_admitting (&sim, 2));
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  sim_close (&sim);
}

/* A process is paused for a minute, and a change is accepted meanwhile. When it wakes, its first
 * thought must not be to admit by what it believed before. */
static void
test_woken_process_does_not_admit_at_once (void)
{
  simulation_t sim;

  open_settled (&sim, 3, 0, 0);
  sim.entries[2].paused = true;
  sim_publish (&sim, 1, sim.rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (&sim, 1), BT_PUBLISH_ACCEPTED);
  sim_run (&sim, LONG_RUN_MS);
  sim.entries[2].paused = false;
  CU_ASSERT_FALSE (sim_is_admitting (&sim, 2));
  sim_run (&sim, SETTLE_MS);
  CU_ASSERT_TRUE (sim_is_admitting (&sim, 2));
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  sim_close (&sim);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("config_spread", NULL, NULL);
  CU_ADD_TEST (suite, test_change_is_in_force_everywhere_within_seconds);
  CU_ADD_TEST (suite, test_silent_watch_is_followed_by_read);
  CU_ADD_TEST (suite, test_cut_off_entry_is_isolated);
  CU_ADD_TEST (suite, test_island_without_majority_is_isolated);
  CU_ADD_TEST (suite, test_long_outage_and_replaced_entry);
  CU_ADD_TEST (suite, test_start_needs_enough_peers);
  CU_ADD_TEST (suite, test_older_document_is_dropped);
  CU_ADD_TEST (suite, test_stale_read_after_recovery_is_dropped);
  CU_ADD_TEST (suite, test_stale_read_is_not_fresh);
  CU_ADD_TEST (suite, test_entry_killed_while_it_spreads);
  CU_ADD_TEST (suite, test_late_heartbeat_is_not_fresh);
  CU_ADD_TEST (suite, test_clocks_far_off);
  CU_ADD_TEST (suite, test_woken_process_does_not_admit_at_once);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
