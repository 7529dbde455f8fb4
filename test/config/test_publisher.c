#include <CUnit/Basic.h>

#include "config_simulation.h"

enum
{
  SETTLE_MS = 5000,
  LONG_RUN_MS = 60000,
};

static void
run_lost_answer (simulation_t *sim, uint32_t guards_off)
{
  sim_open (sim, 3, 7, 0, guards_off);
  sim_run (sim, SETTLE_MS);
  sim->lose_commit_answers = 1;
  sim_publish (sim, 0, NULL);
  sim_run_until_finished (sim, 0);
  sim_run (sim, LONG_RUN_MS);
}

/* The store writes a change and its answer is lost. If that were reported as a failure, the
 * operator would write again over newer edits, or believe that the old rules are still in force. */
static void
test_lost_answer_is_read_back (void)
{
  simulation_t sim;

  run_lost_answer (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (sim_get_result (&sim, 0), BT_PUBLISH_ACCEPTED);
  CU_ASSERT_EQUAL (sim.store_revision, 11);
  sim_close (&sim);
  run_lost_answer (&sim, BT_PUBLISH_NO_READ_BACK);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

static void
run_race (simulation_t *sim, uint32_t guards_off)
{
  bt_document_t *base;

  sim_open (sim, 3, 7, 0, guards_off);
  sim_run (sim, SETTLE_MS);
  sim_publish (sim, 0, NULL);
  sim_run_until_finished (sim, 0);
  base = bt_keep_document (sim->rules);
  sim_publish (sim, 1, base);
  sim_run_until_finished (sim, 1);
  sim_publish (sim, 2, base);
  sim_run_until_finished (sim, 2);
  bt_drop_document (sim->ctx, base);
  sim_run (sim, LONG_RUN_MS);
}

/* Two operators edit the same revision. The second publish would silently undo the first one's
 * accepted edit; it must fail with a conflict that names the concurrent change. */
static void
test_second_of_two_operators_gets_conflict (void)
{
  const bt_publish_conflict_t *conflict;
  simulation_t sim;

  run_race (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (sim_get_result (&sim, 2), BT_PUBLISH_CONFLICT);
  CU_ASSERT_EQUAL_FATAL (bt_count_publish_conflicts (sim.operators[2].publisher), 1);
  conflict = bt_get_publish_conflict (sim.operators[2].publisher, 0);
  CU_ASSERT_STRING_EQUAL (conflict->name, "rules");
  CU_ASSERT_EQUAL (conflict->base_revision, 11);
  CU_ASSERT_EQUAL (conflict->revision, 12);
  CU_ASSERT_STRING_EQUAL (conflict->change, sim.rules->change);
  sim_close (&sim);
  run_race (&sim, BT_PUBLISH_NO_COMPARE);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

/* Both operators read the base before either writes. Only the comparison in the transaction can
 * detect the conflict. */
static void
test_race_at_commit (void)
{
  simulation_t sim;
  bt_publish_result_t first;
  bt_publish_result_t second;

  sim_open (&sim, 3, 7, 0, 0);
  sim_run (&sim, SETTLE_MS);
  sim_publish (&sim, 0, NULL);
  sim_publish (&sim, 1, NULL);
  first = sim_run_until_finished (&sim, 0);
  second = sim_run_until_finished (&sim, 1);
  CU_ASSERT_EQUAL ((first == BT_PUBLISH_ACCEPTED) + (second == BT_PUBLISH_ACCEPTED), 1);
  CU_ASSERT_EQUAL ((first == BT_PUBLISH_CONFLICT) + (second == BT_PUBLISH_CONFLICT), 1);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  sim_close (&sim);
}

static void
run_outage_after_acceptance (simulation_t *sim, uint32_t guards_off)
{
  sim_open (sim, 3, 7, 0, guards_off);
  sim_run (sim, SETTLE_MS);
  for (int32_t i = 0; i < 3; i++)
    sim->entries[i].store_unreachable = true;
  sim_publish (sim, 0, NULL);
  sim_run_until_finished (sim, 0);
  sim->store_down = true;
  for (int32_t i = 0; i < 3; i++)
    sim->blocked[SIM_MAX_ENTRIES][i] = true;
  sim_replace_entry (sim, 1);
  sim_run (sim, LONG_RUN_MS);
}

/* Right after a change is accepted, the store goes down and an entry is replaced. If acceptance
 * meant only that the store has the change, no entry would have it, and all would continue under
 * the old rules until the end of the outage. */
static void
test_accepted_change_survives_outage (void)
{
  simulation_t sim;

  run_outage_after_acceptance (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (sim_get_revision (&sim, 1), 11);
  CU_ASSERT_TRUE (sim_is_admitting (&sim, 1));
  sim_close (&sim);
  run_outage_after_acceptance (&sim, BT_PUBLISH_NO_PUSH);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

static void
run_silent_entries (simulation_t *sim, uint32_t guards_off)
{
  sim_open (sim, 3, 7, 0, guards_off);
  sim_run (sim, SETTLE_MS);
  for (int32_t i = 0; i < 3; i++)
    sim->entries[i].store_unreachable = true;
  sim->blocked[SIM_MAX_ENTRIES][1] = sim->blocked[SIM_MAX_ENTRIES][2] = true;
  sim_isolate_node (sim, 0, true);
  sim->blocked[SIM_MAX_ENTRIES][0] = sim->blocked[0][SIM_MAX_ENTRIES] = false;
  sim_publish (sim, 0, NULL);
  sim_run_until_finished (sim, 0);
  sim_run (sim, LONG_RUN_MS);
}

/* Only one of three entries answers the operator. The other two form a majority and may continue,
 * as the store could be down for all. The change must not be accepted: they would serve the old
 * rules for a long time. */
static void
test_minority_does_not_accept (void)
{
  simulation_t sim;

  run_silent_entries (&sim, 0);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  CU_ASSERT_EQUAL (sim_get_result (&sim, 0), BT_PUBLISH_WRITTEN);
  CU_ASSERT_TRUE (bt_get_publish_entry (sim.operators[0].publisher, 0)->in_force);
  CU_ASSERT_FALSE (bt_get_publish_entry (sim.operators[0].publisher, 1)->in_force);
  sim_close (&sim);
  run_silent_entries (&sim, BT_PUBLISH_ANY_ENTRY);
  CU_ASSERT_STRING_NOT_EQUAL (sim.violation, "");
  sim_close (&sim);
}

/* The store is unreachable from the first call on: the result must be that nothing was written. */
static void
test_unreachable_store_is_reported (void)
{
  simulation_t sim;

  sim_open (&sim, 3, 7, 0, 0);
  sim.store_down = true;
  sim_publish (&sim, 0, NULL);
  CU_ASSERT_EQUAL (sim_run_until_finished (&sim, 0), BT_PUBLISH_NOT_WRITTEN);
  sim.store_down = false;
  sim_run (&sim, LONG_RUN_MS);
  CU_ASSERT_STRING_EQUAL (sim.violation, "");
  sim_close (&sim);
}

static bt_document_t *
make_found (bt_context_t *ctx, const char *name, int64_t revision, const char *data)
{
  bt_document_fields_t fields = { name, revision, "", "", false, data, strlen (data) };

  return bt_new_document (ctx, &fields);
}

static bool
is_accepted_after_replacement (uint32_t guards_off)
{
  static const char *const names[] = { "entry-0", "entry-1", "entry-2" };
  bt_context_t *ctx = bt_new_context ();
  bt_publish_settings_t settings = bt_get_default_publish_settings ();
  bt_publish_document_t wanted = { "rules", "r", 1, false, BT_BASE_CURRENT };
  bt_publisher_t *publisher;
  bt_document_t *rules = make_found (ctx, "rules", 6, "r");
  bt_document_list_t found = { 0 };
  bt_publish_actions_t actions = { 0 };
  bool accepted;

  settings.guards_off = guards_off;
  publisher = bt_new_publisher (ctx, &settings, "00000000000000000000000000000001", &wanted, 1);
  bt_add_document (ctx, &found, rules);
  bt_set_publish_entries (ctx, publisher, names, 3);
  bt_start_publisher (ctx, publisher, 0, &actions);
  bt_handle_publish_read (ctx, publisher, &found, 0, &actions);
  for (int32_t i = 0; i < 2; i++)
    {
      bt_set_publish_incarnation (publisher, names[i], 1);
      bt_handle_publish_in_force (ctx, publisher, names[i], "rules", 6, 100, &actions);
    }
  bt_set_publish_incarnation (publisher, names[1], 2);
  for (int64_t now_ms = 200; now_ms < settings.isolation_ms + 1000; now_ms += 100)
    bt_tick_publisher (ctx, publisher, now_ms, &actions);
  accepted = bt_get_publish_result (publisher) == BT_PUBLISH_ACCEPTED;
  bt_clear_publish_actions (ctx, &actions);
  bt_clear_documents (ctx, &found);
  bt_drop_document (ctx, rules);
  bt_drop_publisher (ctx, publisher);
  bt_drop_context (ctx);
  return accepted;
}

/* Two of three entries confirm, and the second is replaced before the third answers. Its new
 * process has not confirmed, and the first entry alone is no majority, so the change must not be
 * accepted. */
static void
test_replaced_entry_has_not_confirmed (void)
{
  CU_ASSERT_FALSE (is_accepted_after_replacement (0));
  CU_ASSERT_TRUE (is_accepted_after_replacement (BT_PUBLISH_KEEP_CONFIRMED));
}

/* Of two documents, only the one that differs is written, in a transaction that compares its
 * revision. */
static void
test_unchanged_document_is_left_out (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_publish_settings_t settings = bt_get_default_publish_settings ();
  bt_publish_document_t wanted[] = {
    { "accounts", "a", 1, false, BT_BASE_CURRENT },
    { "rules", "new", 3, false, BT_BASE_CURRENT },
  };
  bt_publisher_t *publisher =
      bt_new_publisher (ctx, &settings, "00000000000000000000000000000001", wanted, 2);
  bt_document_t *accounts = make_found (ctx, "accounts", 4, "a");
  bt_document_t *rules = make_found (ctx, "rules", 6, "old");
  bt_document_list_t found = { 0 };
  bt_publish_actions_t actions = { 0 };

  bt_add_document (ctx, &found, accounts);
  bt_add_document (ctx, &found, rules);
  bt_start_publisher (ctx, publisher, 0, &actions);
  bt_handle_publish_read (ctx, publisher, &found, 0, &actions);
  CU_ASSERT_EQUAL_FATAL (actions.count, 2);
  CU_ASSERT_EQUAL (actions.items[1].kind, BT_PUBLISH_COMMIT);
  CU_ASSERT_EQUAL_FATAL (bt_get_publish_changes (publisher)->count, 1);
  CU_ASSERT_STRING_EQUAL (bt_get_publish_changes (publisher)->items[0]->name, "rules");
  CU_ASSERT_EQUAL (bt_get_publish_compare_revision (publisher, 0), 6);
  bt_clear_publish_actions (ctx, &actions);
  bt_clear_documents (ctx, &found);
  bt_drop_document (ctx, accounts);
  bt_drop_document (ctx, rules);
  bt_drop_publisher (ctx, publisher);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("publisher", NULL, NULL);
  CU_ADD_TEST (suite, test_lost_answer_is_read_back);
  CU_ADD_TEST (suite, test_second_of_two_operators_gets_conflict);
  CU_ADD_TEST (suite, test_race_at_commit);
  CU_ADD_TEST (suite, test_accepted_change_survives_outage);
  CU_ADD_TEST (suite, test_minority_does_not_accept);
  CU_ADD_TEST (suite, test_replaced_entry_has_not_confirmed);
  CU_ADD_TEST (suite, test_unreachable_store_is_reported);
  CU_ADD_TEST (suite, test_unchanged_document_is_left_out);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
