#include <CUnit/Basic.h>

#include "config_world.h"

enum
{
  SETTLE_MS = 5000,
  LONG_MS = 60000,
};

/* Three entries, and one accepted change in force on all. */
static void
open_settled (world_t *world, int32_t entries, uint32_t spread_off, uint32_t publish_off)
{
  world_open (world, entries, 7, spread_off, publish_off);
  world_run (world, SETTLE_MS);
  world_publish (world, 0, NULL);
  world_run (world, SETTLE_MS);
  CU_ASSERT_EQUAL_FATAL (world_result (world, 0), BT_PUBLISH_ACCEPTED);
  for (int32_t i = 0; i < entries; i++)
    CU_ASSERT_EQUAL (world_get_revision (world, i), world->rules->revision);
}

static void
test_change_is_in_force_everywhere_within_seconds (void)
{
  world_t world;
  int64_t begun_ms;

  open_settled (&world, 5, 0, 0);
  begun_ms = world.now_ms;
  world_publish (&world, 1, world.rules);
  CU_ASSERT_EQUAL (world_finish (&world, 1), BT_PUBLISH_ACCEPTED);
  CU_ASSERT_TRUE (world.now_ms - begun_ms <= 2000);
  for (int32_t i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (world_get_revision (&world, i), world.rules->revision);
  world_run (&world, LONG_MS);
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  world_close (&world);
}

static void
run_silent_watch (world_t *world, uint32_t guards_off)
{
  open_settled (world, 3, guards_off, BT_PUBLISH_NO_HAND_OVER);
  world->silent_watch = true;
  world_run (world, SETTLE_MS);
  for (int32_t i = 0; i < 3; i++)
    world->cut[WORLD_ENTRIES + 1][i] = true;
  world_publish (world, 1, world->rules);
  world_run (world, LONG_MS);
}

/* An edit never arrives, though the service answers everyone who asks. The watches went silent for
 * good, which looks like a quiet time; the hand-over does not reach anyone either. */
static void
test_silent_watch_is_followed_by_read (void)
{
  world_t world;

  run_silent_watch (&world, 0);
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  CU_ASSERT_EQUAL (world_get_revision (&world, 0), world.rules->revision);
  world_close (&world);
  run_silent_watch (&world, BT_SPREAD_TRUST_QUIET_WATCH);
  CU_ASSERT_STRING_NOT_EQUAL (world.violation, "");
  world_close (&world);
}

static void
run_cut_off_entry (world_t *world, uint32_t guards_off)
{
  open_settled (world, 3, guards_off, 0);
  world_cut (world, 2, true);
  world->entries[2].cut_from_service = true;
  world_publish (world, 1, world->rules);
  CU_ASSERT_EQUAL (world_finish (world, 1), BT_PUBLISH_ACCEPTED);
  world_run (world, LONG_MS);
}

/* An entry loses everyone but its callers. They go on being served by rules that an operator has
 * replaced, and nothing shows it. After the limit it must refuse, and once joined again go on. */
static void
test_cut_off_entry_is_isolated (void)
{
  world_t world;

  run_cut_off_entry (&world, 0);
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  CU_ASSERT_EQUAL (bt_get_spread_state (world.entries[2].spread, world_clock (&world, 2)),
                   BT_SPREAD_ISOLATED);
  world_cut (&world, 2, false);
  world_run (&world, SETTLE_MS);
  CU_ASSERT_TRUE (world_admits (&world, 2));
  CU_ASSERT_EQUAL (world_get_revision (&world, 2), world.rules->revision);
  world_close (&world);
  run_cut_off_entry (&world, BT_SPREAD_NEVER_ISOLATED);
  CU_ASSERT_STRING_NOT_EQUAL (world.violation, "");
  world_close (&world);
}

static void
run_island (world_t *world, uint32_t guards_off)
{
  open_settled (world, 5, guards_off, 0);
  for (int32_t node = 0; node < WORLD_NODES; node++)
    for (int32_t other = 0; other < WORLD_NODES; other++)
      world->cut[node][other] = (node == 3 || node == 4) != (other == 3 || other == 4);
  world->entries[3].cut_from_service = world->entries[4].cut_from_service = true;
  world_publish (world, 1, world->rules);
  CU_ASSERT_EQUAL (world_finish (world, 1), BT_PUBLISH_ACCEPTED);
  world_run (world, LONG_MS);
}

/* Two of five entries are cut off together. Each still hears a peer, so to them it looks as if only
 * the service were down; but a change was accepted on the other side. */
static void
test_island_without_majority_is_isolated (void)
{
  world_t world;

  run_island (&world, 0);
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  CU_ASSERT_FALSE (world_admits (&world, 3));
  CU_ASSERT_TRUE (world_admits (&world, 0));
  world_close (&world);
  run_island (&world, BT_SPREAD_ANY_PEER);
  CU_ASSERT_STRING_NOT_EQUAL (world.violation, "");
  world_close (&world);
}

/* The service is down for half an hour. Nothing can be accepted meanwhile, so all entries go on by
 * the highest revision, one that is replaced learns it from its peers, and after the outage the
 * next change arrives as ever. */
static void
test_long_outage_and_replaced_entry (void)
{
  world_t world;

  open_settled (&world, 3, 0, 0);
  world.down = true;
  world_run (&world, 900000);
  world_replace (&world, 1);
  world_run (&world, SETTLE_MS);
  CU_ASSERT_EQUAL (world_get_revision (&world, 1), world.rules->revision);
  world_run (&world, 900000);
  for (int32_t i = 0; i < 3; i++)
    CU_ASSERT_TRUE (world_admits (&world, i));
  world.down = false;
  world_publish (&world, 1, world.rules);
  CU_ASSERT_EQUAL (world_finish (&world, 1), BT_PUBLISH_ACCEPTED);
  world_run (&world, LONG_MS);
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  world_close (&world);
}

static void
run_start_from_old_peer (world_t *world, uint32_t guards_off)
{
  open_settled (world, 3, guards_off, 0);
  world_cut (world, 2, true);
  world->entries[2].cut_from_service = true;
  world_publish (world, 1, world->rules);
  CU_ASSERT_EQUAL (world_finish (world, 1), BT_PUBLISH_ACCEPTED);
  world->down = true;
  world_cut (world, 2, false);
  world_cut (world, 0, true);
  world->cut[1][2] = world->cut[2][1] = false;
  world_stop_entry (world, 0);
  world_replace (world, 1);
  world_run (world, LONG_MS);
}

/* A change was accepted by two of three; the third was away. The service goes down, one of the two
 * is unreachable and the other is replaced: the new process meets only the one that was away, and
 * would start with rules that had been replaced. It has to stay unready. */
static void
test_start_needs_enough_peers (void)
{
  world_t world;

  run_start_from_old_peer (&world, 0);
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  CU_ASSERT_EQUAL (bt_get_spread_state (world.entries[1].spread, world_clock (&world, 1)),
                   BT_SPREAD_NOT_READY);
  world_close (&world);
  run_start_from_old_peer (&world, BT_SPREAD_ANY_PEER);
  CU_ASSERT_STRING_NOT_EQUAL (world.violation, "");
  world_close (&world);
}

static void
run_stale_read (world_t *world, uint32_t guards_off)
{
  open_settled (world, 3, guards_off, 0);
  world_remember (world);
  world_publish (world, 1, world->rules);
  CU_ASSERT_EQUAL (world_finish (world, 1), BT_PUBLISH_ACCEPTED);
  world->down = true;
  world_run (world, SETTLE_MS);
  world_replace (world, 1);
  world_run (world, SETTLE_MS);
  world->stale_reads = true;
  world->down = false;
  world_run (world, LONG_MS);
}

static void
run_stale_first_read (world_t *world, uint32_t guards_off)
{
  open_settled (world, 3, guards_off, 0);
  world_remember (world);
  world_publish (world, 1, world->rules);
  CU_ASSERT_EQUAL (world_finish (world, 1), BT_PUBLISH_ACCEPTED);
  world->stale_reads = true;
  world->read_delay_ms = 1000;
  world_replace (world, 1);
  world_run (world, SETTLE_MS);
}

/* A new entry asks the service and its peers together. The peers answer first, with the rules in
 * force; then comes the service's answer, from a replica that lags, with the rules before. They
 * must not come back in force. */
static void
test_older_document_is_dropped (void)
{
  world_t world;

  run_stale_first_read (&world, 0);
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  CU_ASSERT_TRUE (bt_count_offers (bt_get_spread_table (world.entries[1].spread), BT_OFFER_OLDER)
                  > 0);
  world_close (&world);
  run_stale_first_read (&world, BT_SPREAD_TAKE_OLDER);
  CU_ASSERT_STRING_NOT_EQUAL (world.violation, "");
  world_close (&world);
}

/* After an outage the service answers, for a while, from a replica that lags: nothing may come of
 * it but a count. */
static void
test_stale_read_after_recovery_is_dropped (void)
{
  world_t world;
  bt_spread_status_t status;

  run_stale_read (&world, 0);
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  bt_get_spread_status (world.entries[1].spread, world_clock (&world, 1), &status);
  CU_ASSERT_TRUE (status.stale_reads > 0);
  world_close (&world);
}

static void
run_stale_isolated (world_t *world, uint32_t guards_off)
{
  run_stale_read (world, guards_off);
  world_cut (world, 1, true);
  world_run (world, LONG_MS);
}

/* The same replica answers one entry that has lost its peers: each stale answer would count as
 * fresh news, and it would go on admitting without end. */
static void
test_stale_read_is_not_fresh (void)
{
  world_t world;

  run_stale_isolated (&world, 0);
  CU_ASSERT_FALSE (world_admits (&world, 1));
  world_close (&world);
  run_stale_isolated (&world, BT_SPREAD_TRUST_STALE_READ);
  CU_ASSERT_TRUE (world_admits (&world, 1));
  world_close (&world);
}

static void
run_killed_spreader (world_t *world, uint32_t guards_off)
{
  open_settled (world, 3, guards_off, BT_PUBLISH_ANY_ENTRY);
  world->cut[0][1] = true;
  for (int32_t i = 1; i < 3; i++)
    world->cut[WORLD_ENTRIES + 1][i] = true;
  for (int32_t i = 0; i < 3; i++)
    world->entries[i].cut_from_service = true;
  world_publish (world, 1, world->rules);
  world->cut[2][1] = true;
  world_run (world, SETTLE_MS);
  world_stop_entry (world, 0);
  world->cut[2][1] = false;
  world_run (world, LONG_MS);
}

/* The entry that alone got a change from the operator dies when one of two peers has learnt it from
 * its heartbeats; what that one sends to the last is lost, and the service is out of reach. The
 * last one would keep the old rules for good, if heartbeats did not show the difference. */
static void
test_entry_killed_while_it_spreads (void)
{
  world_t world;

  run_killed_spreader (&world, 0);
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  CU_ASSERT_EQUAL (world_get_revision (&world, 1), world.rules->revision);
  world_close (&world);
  run_killed_spreader (&world, BT_SPREAD_NO_PULL);
  CU_ASSERT_TRUE (world_get_revision (&world, 1) < world.rules->revision);
  world_close (&world);
}

static void
run_late_heartbeats (world_t *world, uint32_t guards_off)
{
  open_settled (world, 3, guards_off, 0);
  world->link_delay_ms = 90000;
  world->entries[2].cut_from_service = true;
  for (int32_t i = 0; i < 2; i++)
    world->cut[WORLD_ENTRIES + 1][2] = true;
  world_run (world, (int64_t)2 * LONG_MS);
}

/* Heartbeats reach one entry a minute and a half late, one each second. Dated by their arrival they
 * look like fresh news, and it goes on by rules that may have been replaced since. */
static void
test_late_heartbeat_is_not_fresh (void)
{
  world_t world;

  run_late_heartbeats (&world, 0);
  CU_ASSERT_FALSE (world_admits (&world, 2));
  world_close (&world);
  run_late_heartbeats (&world, BT_SPREAD_TRUST_ARRIVAL);
  CU_ASSERT_TRUE (world_admits (&world, 2));
  world_close (&world);
}

/* The clocks of the machines are hours apart, one of them far in the past. Readings of different
 * clocks are never compared, so nothing may change. */
static void
test_clocks_far_off (void)
{
  static const int64_t offsets[] = { 0, 36000000, 86400000 };
  world_t world;

  open_settled (&world, 3, 0, 0);
  for (int32_t i = 0; i < 3; i++)
    {
      world.entries[i].clock_offset_ms = offsets[i];
      world_replace (&world, i);
      world_run (&world, SETTLE_MS);
    }
  world.down = true;
  world_run (&world, LONG_MS);
  for (int32_t i = 0; i < 3; i++)
    CU_ASSERT_TRUE (world_admits (&world, i));
  world_cut (&world, 2, true);
  world_run (&world, LONG_MS);
  CU_ASSERT_FALSE (world_admits (&world, 2));
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  world_close (&world);
}

/* A process is paused for a minute, and a change is accepted meanwhile. When it wakes, its first
 * thought must not be to admit by what it believed before. */
static void
test_woken_process_does_not_admit_at_once (void)
{
  world_t world;

  open_settled (&world, 3, 0, 0);
  world.entries[2].paused = true;
  world_publish (&world, 1, world.rules);
  CU_ASSERT_EQUAL (world_finish (&world, 1), BT_PUBLISH_ACCEPTED);
  world_run (&world, LONG_MS);
  world.entries[2].paused = false;
  CU_ASSERT_FALSE (world_admits (&world, 2));
  world_run (&world, SETTLE_MS);
  CU_ASSERT_TRUE (world_admits (&world, 2));
  CU_ASSERT_STRING_EQUAL (world.violation, "");
  world_close (&world);
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
