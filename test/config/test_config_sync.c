#include <CUnit/Basic.h>

#include "config_simulation.h"

enum
{
  SETTLE_MS = 5000,
  LONG_RUN_MS = 60000,
};

/* Starts a simulation with one accepted change in force on all entries. */
static void
open_settled (simulation_t *sim,
              int32_t entries,
              uint32_t sync_guards_off,
              uint32_t publish_guards_off)
{
  sim_open (sim, entries, 7, sync_guards_off, publish_guards_off);
  sim_run (sim, SETTLE_MS);
  sim_publish (sim, 0, NULL);
  sim_run (sim, SETTLE_MS);
  CU_ASSERT_EQUAL_FATAL (sim_get_result (sim, 0), BT_PUBLISH_ACCEPTED);
  for (int32_t i = 0; i < entries; i++)
    CU_ASSERT_EQUAL (sim_get_revision (sim, i), sim->rules->revision);
}

static void
test_change_is_in_force_on_all_entries_within_seconds (void)
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

/* Guards against edits that never reach the entries although the store answers every read. All
 * watches are on dead connections, which look like watches without events, and the push reaches no
 * entry. */
static void
test_silent_watch_is_followed_by_read (void)
{
  simulation_t sim;

  run_silent_watch (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (sim_get_revision (&sim, 0), sim.rules->revision);
  sim_close (&sim);
  run_silent_watch (&sim, BT_SYNC_TRUST_QUIET_WATCH);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

static void
run_cut_off_entry (simulation_t *sim, uint32_t guards_off)
{
  open_settled (sim, 3, guards_off, 0);
  sim_isolate_node (sim, 2, true);
  sim->entries[2].store_unreachable = true;
  sim_publish (sim, 1, sim->rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (sim, 1), BT_PUBLISH_ACCEPTED);
  sim_run (sim, LONG_RUN_MS);
}

/* Guards against serving replaced rules without end: an entry loses the store and all peers but
 * keeps its callers. It must refuse requests after the limit, and admit them again once
 * reconnected. */
static void
test_cut_off_entry_is_isolated (void)
{
  simulation_t sim;

  run_cut_off_entry (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (bt_get_sync_state (sim.entries[2].sync, sim_get_clock_ms (&sim, 2)),
                   BT_SYNC_ISOLATED);
  sim_isolate_node (&sim, 2, false);
  sim_run (&sim, SETTLE_MS);
  CU_ASSERT_TRUE (sim_is_admitting (&sim, 2));
  CU_ASSERT_EQUAL (sim_get_revision (&sim, 2), sim.rules->revision);
  sim_close (&sim);
  run_cut_off_entry (&sim, BT_SYNC_NEVER_ISOLATED);
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
  sim->entries[3].store_unreachable = sim->entries[4].store_unreachable = true;
  sim_publish (sim, 1, sim->rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (sim, 1), BT_PUBLISH_ACCEPTED);
  sim_run (sim, LONG_RUN_MS);
}

/* Two of five entries are partitioned from the rest. Each still hears a peer, so it looks to them
 * as if only the store were down, but the majority accepts a change. They must not continue. */
static void
test_minority_partition_is_isolated (void)
{
  simulation_t sim;

  run_minority_partition (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_FALSE (sim_is_admitting (&sim, 3));
  CU_ASSERT_TRUE (sim_is_admitting (&sim, 0));
  sim_close (&sim);
  run_minority_partition (&sim, BT_SYNC_ANY_PEER);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

/* The store is down for half an hour. No change can be accepted meanwhile, so all entries continue
 * under the highest revision, and a replaced entry gets it from its peers. After the outage the
 * next change is accepted as usual. */
static void
test_long_outage_and_replaced_entry (void)
{
  simulation_t sim;

  open_settled (&sim, 3, 0, 0);
  sim.store_down = true;
  sim_run (&sim, 900000);
  sim_replace_entry (&sim, 1);
  sim_run (&sim, SETTLE_MS);
  CU_ASSERT_EQUAL (sim_get_revision (&sim, 1), sim.rules->revision);
  sim_run (&sim, 900000);
  for (int32_t i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sim_is_admitting (&sim, i));
  sim.store_down = false;
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
  sim->entries[2].store_unreachable = true;
  sim_publish (sim, 1, sim->rules);
  CU_ASSERT_EQUAL (sim_run_until_finished (sim, 1), BT_PUBLISH_ACCEPTED);
  sim->store_down = true;
  sim_isolate_node (sim, 2, false);
  sim_isolate_node (sim, 0, true);
  sim->blocked[1][2] = sim->blocked[2][1] = false;
  sim_stop_entry (sim, 0);
  sim_replace_entry (sim, 1);
  sim_run (sim, LONG_RUN_MS);
}

/* Two of three entries accepted a change while the third was disconnected. Then the store goes
 * down, one of the two becomes unreachable and the other is replaced. The new process reaches only
 * the entry that missed the change. It must not become ready, or replaced rules would come back in
 * force. */
static void
test_start_needs_quorum (void)
{
  simulation_t sim;

  run_start_from_old_peer (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (bt_get_sync_state (sim.entries[1].sync, sim_get_clock_ms (&sim, 1)),
                   BT_SYNC_NOT_READY);
  sim_close (&sim);
  run_start_from_old_peer (&sim, BT_SYNC_ANY_PEER);
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
  sim->store_down = true;
  sim_run (sim, SETTLE_MS);
  sim_replace_entry (sim, 1);
  sim_run (sim, SETTLE_MS);
  sim->stale_reads = true;
  sim->store_down = false;
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

/* A new entry reads from the store and its peers at the same time. The peers answer first, with the
 * rules in force; then a lagging replica of the store answers with the previous rules. These must
 * not come back in force. */
static void
test_older_document_is_dropped (void)
{
  simulation_t sim;

  run_stale_first_read (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_TRUE (bt_count_offers (bt_get_sync_table (sim.entries[1].sync), BT_OFFER_OLDER) > 0);
  sim_close (&sim);
  run_stale_first_read (&sim, BT_SYNC_ACCEPT_OLDER);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

/* After an outage a lagging replica of the store answers for a while. Its answers must be dropped
 * and counted. */
static void
test_stale_read_after_recovery_is_dropped (void)
{
  simulation_t sim;
  bt_sync_status_t status;

  run_stale_read (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  bt_get_sync_status (sim.entries[1].sync, sim_get_clock_ms (&sim, 1), &status);
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

/* A lagging replica answers an entry that has lost its peers. If stale answers counted as fresh,
 * the entry would admit requests under old rules without end. */
static void
test_stale_read_is_not_fresh (void)
{
  simulation_t sim;

  run_stale_isolated (&sim, 0);
  CU_ASSERT_FALSE (sim_is_admitting (&sim, 1));
  sim_close (&sim);
  run_stale_isolated (&sim, BT_SYNC_TRUST_STALE_READ);
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
    sim->entries[i].store_unreachable = true;
  sim_publish (sim, 1, sim->rules);
  sim->blocked[2][1] = true;
  sim_run (sim, SETTLE_MS);
  sim_stop_entry (sim, 0);
  sim->blocked[2][1] = false;
  sim_run (sim, LONG_RUN_MS);
}

/* Only one entry gets a change from the operator, and it is killed after one of its two peers has
 * pulled the change. That peer's push to the last entry is lost, and the store is unreachable. The
 * last entry would keep the old rules forever if heartbeats did not reveal the difference. */
static void
test_entry_killed_while_it_forwards (void)
{
  simulation_t sim;

  run_killed_forwarder (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (sim_get_revision (&sim, 1), sim.rules->revision);
  sim_close (&sim);
  run_killed_forwarder (&sim, BT_SYNC_NO_PULL);
  CU_ASSERT_TRUE (sim_get_revision (&sim, 1) < sim.rules->revision);
  sim_close (&sim);
}

static void
run_delayed_heartbeats (simulation_t *sim, uint32_t guards_off)
{
  open_settled (sim, 3, guards_off, 0);
  sim->link_delay_ms = 90000;
  sim->entries[2].store_unreachable = true;
  for (int32_t i = 0; i < 2; i++)
    sim->blocked[SIM_MAX_ENTRIES + 1][2] = true;
  sim_run (sim, (int64_t)2 * LONG_RUN_MS);
}

/* Heartbeats, one each second, reach an entry 90 seconds late. Dated by their arrival they would
 * look fresh, and the entry would continue under rules that may have been replaced since. */
static void
test_delayed_heartbeat_is_not_fresh (void)
{
  simulation_t sim;

  run_delayed_heartbeats (&sim, 0);
  CU_ASSERT_FALSE (sim_is_admitting (&sim, 2));
  sim_close (&sim);
  run_delayed_heartbeats (&sim, BT_SYNC_TRUST_ARRIVAL);
  CU_ASSERT_TRUE (sim_is_admitting (&sim, 2));
  sim_close (&sim);
}

/* The clocks of the machines differ by up to a day. Readings of different clocks are never
 * compared, so the behaviour must stay the same. */
static void
test_clocks_differ (void)
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
  sim.store_down = true;
  sim_run (&sim, LONG_RUN_MS);
  for (int32_t i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sim_is_admitting (&sim, i));
  sim_isolate_node (&sim, 2, true);
  sim_run (&sim, LONG_RUN_MS);
  CU_ASSERT_FALSE (sim_is_admitting (&sim, 2));
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  sim_close (&sim);
}

/* A process is paused for a minute while a change is accepted. After the pause it must not admit
 * requests by its state from before the pause. */
static void
test_resumed_process_does_not_admit_at_once (void)
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
  suite = CU_add_suite ("config_sync", NULL, NULL);
  CU_ADD_TEST (suite, test_change_is_in_force_on_all_entries_within_seconds);
  CU_ADD_TEST (suite, test_silent_watch_is_followed_by_read);
  CU_ADD_TEST (suite, test_cut_off_entry_is_isolated);
  CU_ADD_TEST (suite, test_minority_partition_is_isolated);
  CU_ADD_TEST (suite, test_long_outage_and_replaced_entry);
  CU_ADD_TEST (suite, test_start_needs_quorum);
  CU_ADD_TEST (suite, test_older_document_is_dropped);
  CU_ADD_TEST (suite, test_stale_read_after_recovery_is_dropped);
  CU_ADD_TEST (suite, test_stale_read_is_not_fresh);
  CU_ADD_TEST (suite, test_entry_killed_while_it_forwards);
  CU_ADD_TEST (suite, test_delayed_heartbeat_is_not_fresh);
  CU_ADD_TEST (suite, test_clocks_differ);
  CU_ADD_TEST (suite, test_resumed_process_does_not_admit_at_once);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
