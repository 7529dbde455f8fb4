#include <CUnit/Basic.h>

#include "config_simulation.h"

enum
{
  SCHEDULES = 1200,
  FAULTS = 24,
  FAULT_KINDS = 12,
  MAX_GAP_MS = 4000,
  RECOVERY_MS = 40000,
};

/* Lets an operator that is not publishing edit the current rules or, in 20% of cases, an older
 * base. */
static void
publish_edit (simulation_t *sim, bt_document_t **older_base)
{
  for (int32_t i = 0; i < SIM_OPERATORS; i++)
    if (sim->operators[i].publisher == NULL || sim->operators[i].finished)
      {
        bool old = sim_random_percent (sim, 20);

        sim_publish (sim, i, old ? *older_base : sim->rules);
        if (sim->rules != NULL && !old)
          {
            bt_drop_document (sim->ctx, *older_base);
            *older_base = bt_keep_document (sim->rules);
          }
        return;
      }
}

static void
partition_network (simulation_t *sim)
{
  int32_t at = 1 + (int32_t)bt_random_below (&sim->random, (uint64_t)sim->entry_count - 1);

  for (int32_t node = 0; node < SIM_NODES; node++)
    for (int32_t other = 0; other < SIM_NODES; other++)
      sim->blocked[node][other] = (node < at) != (other < at);
  for (int32_t i = 0; i < sim->entry_count; i++)
    sim->entries[i].store_unreachable = i < at;
}

static void
clear_faults (simulation_t *sim)
{
  memset (sim->blocked, 0, sizeof sim->blocked);
  sim->store_down = sim->silent_watch = sim->stale_reads = false;
  sim->loss_percent = sim->duplicate_percent = 0;
  sim->link_delay_ms = 0;
  for (int32_t i = 0; i < sim->entry_count; i++)
    {
      sim->entries[i].paused = false;
      sim->entries[i].store_unreachable = false;
    }
}

static void
inject_fault (simulation_t *sim)
{
  int32_t entry = (int32_t)bt_random_below (&sim->random, (uint64_t)sim->entry_count);
  int32_t other = (int32_t)bt_random_below (&sim->random, SIM_NODES);

  switch (bt_random_below (&sim->random, FAULT_KINDS))
    {
    case 0:
      sim->store_down = !sim->store_down;
      break;
    case 1:
      sim->blocked[entry][other] = sim->blocked[other][entry] = true;
      break;
    case 2:
      sim_isolate_node (sim, entry, true);
      break;
    case 3:
      sim->entries[entry].store_unreachable = !sim->entries[entry].store_unreachable;
      break;
    case 4:
      sim->entries[entry].paused = !sim->entries[entry].paused;
      break;
    case 5:
      sim_replace_entry (sim, entry);
      break;
    case 6:
      partition_network (sim);
      break;
    case 7:
      sim->loss_percent = (int32_t)bt_random_below (&sim->random, 40);
      sim->duplicate_percent = (int32_t)bt_random_below (&sim->random, 40);
      break;
    case 8:
      sim->link_delay_ms = (int64_t)bt_random_below (&sim->random, 6000);
      break;
    case 9:
      sim->lose_commit_answers = (int32_t)bt_random_below (&sim->random, 3);
      break;
    case 10:
      sim->silent_watch = !sim->silent_watch;
      break;
    default:
      clear_faults (sim);
    }
}

/* Runs one random sequence of faults and edits. Then all faults are cleared, and every entry must
 * admit requests under the rules in the store. Returns false after a violation. */
static bool
run_schedule (uint64_t seed,
              uint32_t sync_guards_off,
              uint32_t publish_guards_off,
              uint64_t *accepted)
{
  bt_document_t *older_base = NULL;
  simulation_t sim;
  bool passed;

  sim_open (&sim, 3 + (int32_t)(seed % 3), seed, sync_guards_off, publish_guards_off);
  for (int32_t i = 0; i < FAULTS && sim.violation[0] == '\0'; i++)
    {
      inject_fault (&sim);
      if (sim_random_percent (&sim, 50))
        publish_edit (&sim, &older_base);
      sim_run (&sim, (int64_t)bt_random_below (&sim.random, MAX_GAP_MS));
    }
  clear_faults (&sim);
  sim_run (&sim, RECOVERY_MS);
  for (int32_t i = 0; i < sim.entry_count; i++)
    if (!sim_is_admitting (&sim, i)
        || sim_get_revision (&sim, i) != (sim.rules == NULL ? 0 : sim.rules->revision))
      sim_report_violation (&sim, "an entry does not admit under the current rules", i);
  for (int32_t i = 0; i < sim.result_count; i++)
    *accepted += sim.results[i].not_written ? 0 : 1;
  passed = sim.violation[0] == '\0';
  if (!passed && sync_guards_off == 0 && publish_guards_off == 0)
    printf ("seed %llu: %s\n", (unsigned long long)seed, sim.violation);
  bt_drop_document (sim.ctx, older_base);
  sim_close (&sim);
  return passed;
}

static int32_t
count_violations (int32_t schedules, uint32_t sync_guards_off, uint32_t publish_guards_off)
{
  int32_t violations = 0;
  uint64_t accepted = 0;

  for (int32_t i = 0; i < schedules; i++)
    violations +=
        run_schedule ((uint64_t)i + 1, sync_guards_off, publish_guards_off, &accepted) ? 0 : 1;
  printf ("%d of %d schedules violate, %llu changes accepted ", (int)violations, (int)schedules,
          (unsigned long long)accepted);
  return violations;
}

/* Operators edit while entries, links and the store fail in any order, repeatedly and at the same
 * time. No revision in force decreases within a process, no accepted edit is lost, no edit reported
 * as not written appears, and no entry admits under older rules beyond the time limit. */
static void
test_invariants_hold_in_random_schedules (void)
{
  CU_ASSERT_EQUAL (count_violations (SCHEDULES, 0, 0), 0);
}

/* The same schedules detect each disabled guard that they can exercise. */
static void
test_disabled_guards_are_detected (void)
{
  CU_ASSERT_TRUE (count_violations (150, BT_SYNC_NEVER_ISOLATED, 0) > 0);
  CU_ASSERT_TRUE (count_violations (150, 0, BT_PUBLISH_NO_READ_BACK) > 0);
  CU_ASSERT_TRUE (count_violations (150, 0, BT_PUBLISH_NO_COMPARE) > 0);
  CU_ASSERT_TRUE (count_violations (150, 0, BT_PUBLISH_NO_PUSH) > 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("config_schedule", NULL, NULL);
  CU_ADD_TEST (suite, test_invariants_hold_in_random_schedules);
  CU_ADD_TEST (suite, test_disabled_guards_are_detected);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
