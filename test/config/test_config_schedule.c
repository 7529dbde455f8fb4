#include <CUnit/Basic.h>

#include "config_world.h"

enum
{
  SCHEDULES = 1200,
  FAULTS = 24,
  FAULT_KINDS = 12,
  GAP_MS = 4000,
  CALM_MS = 40000,
};

/* Picks an operator that is free and lets it edit what the service holds, or what it held before.
 */
static void
publish_something (world_t *world, bt_document_t **remembered)
{
  for (int32_t i = 0; i < WORLD_OPERATORS; i++)
    if (world->operators[i].publisher == NULL || world->operators[i].told)
      {
        bool old = world_chance (world, 20);

        world_publish (world, i, old ? *remembered : world->rules);
        if (world->rules != NULL && !old)
          {
            bt_drop_document (world->ctx, *remembered);
            *remembered = bt_keep_document (world->rules);
          }
        return;
      }
}

static void
split (world_t *world)
{
  int32_t at = 1 + (int32_t)bt_random_below (&world->random, (uint64_t)world->entry_count - 1);

  for (int32_t node = 0; node < WORLD_NODES; node++)
    for (int32_t other = 0; other < WORLD_NODES; other++)
      world->cut[node][other] = (node < at) != (other < at);
  for (int32_t i = 0; i < world->entry_count; i++)
    world->entries[i].cut_from_service = i < at;
}

static void
heal (world_t *world)
{
  memset (world->cut, 0, sizeof world->cut);
  world->down = world->silent_watch = world->stale_reads = false;
  world->loss_percent = world->double_percent = 0;
  world->link_delay_ms = 0;
  for (int32_t i = 0; i < world->entry_count; i++)
    {
      world->entries[i].paused = false;
      world->entries[i].cut_from_service = false;
    }
}

static void
strike (world_t *world)
{
  int32_t entry = (int32_t)bt_random_below (&world->random, (uint64_t)world->entry_count);
  int32_t other = (int32_t)bt_random_below (&world->random, WORLD_NODES);

  switch (bt_random_below (&world->random, FAULT_KINDS))
    {
    case 0:
      world->down = !world->down;
      break;
    case 1:
      world->cut[entry][other] = world->cut[other][entry] = true;
      break;
    case 2:
      world_cut (world, entry, true);
      break;
    case 3:
      world->entries[entry].cut_from_service = !world->entries[entry].cut_from_service;
      break;
    case 4:
      world->entries[entry].paused = !world->entries[entry].paused;
      break;
    case 5:
      world_replace (world, entry);
      break;
    case 6:
      split (world);
      break;
    case 7:
      world->loss_percent = (int32_t)bt_random_below (&world->random, 40);
      world->double_percent = (int32_t)bt_random_below (&world->random, 40);
      break;
    case 8:
      world->link_delay_ms = (int64_t)bt_random_below (&world->random, 6000);
      break;
    case 9:
      world->lose_commit_answers = (int32_t)bt_random_below (&world->random, 3);
      break;
    case 10:
      world->silent_watch = !world->silent_watch;
      break;
    default:
      heal (world);
    }
}

/* Runs one schedule of faults and edits; then all heals, and everyone must have the same. */
static bool
run_schedule (uint64_t seed, uint32_t spread_off, uint32_t publish_off, uint64_t *accepted)
{
  bt_document_t *remembered = NULL;
  world_t world;
  bool good;

  world_open (&world, 3 + (int32_t)(seed % 3), seed, spread_off, publish_off);
  for (int32_t i = 0; i < FAULTS && world.violation[0] == '\0'; i++)
    {
      strike (&world);
      if (world_chance (&world, 50))
        publish_something (&world, &remembered);
      world_run (&world, (int64_t)bt_random_below (&world.random, GAP_MS));
    }
  heal (&world);
  world_run (&world, CALM_MS);
  for (int32_t i = 0; i < world.entry_count; i++)
    if (!world_admits (&world, i)
        || world_get_revision (&world, i) != (world.rules == NULL ? 0 : world.rules->revision))
      world_violate (&world, "an entry did not come up to date", i);
  for (int32_t i = 0; i < world.result_count; i++)
    *accepted += world.results[i].absent ? 0 : 1;
  good = world.violation[0] == '\0';
  if (!good && spread_off == 0 && publish_off == 0)
    printf ("seed %llu: %s\n", (unsigned long long)seed, world.violation);
  bt_drop_document (world.ctx, remembered);
  world_close (&world);
  return good;
}

static int32_t
count_violations (int32_t schedules, uint32_t spread_off, uint32_t publish_off)
{
  int32_t violations = 0;
  uint64_t accepted = 0;

  for (int32_t i = 0; i < schedules; i++)
    violations += run_schedule ((uint64_t)i + 1, spread_off, publish_off, &accepted) ? 0 : 1;
  printf ("%d of %d schedules violate, %llu changes accepted ", (int)violations, (int)schedules,
          (unsigned long long)accepted);
  return violations;
}

/* Operators edit while entries, links and the service fail in any order, twice and together. No
 * revision in force goes back on a process, no accepted edit vanishes, nothing that was told not
 * written appears, and no entry admits under older rules beyond the bound. */
static void
test_promises_hold_in_all_schedules (void)
{
  CU_ASSERT_EQUAL (count_violations (SCHEDULES, 0, 0), 0);
}

/* The same schedules find each missing guard that they can reach. */
static void
test_missing_guards_are_found (void)
{
  CU_ASSERT_TRUE (count_violations (150, BT_SPREAD_NEVER_ISOLATED, 0) > 0);
  CU_ASSERT_TRUE (count_violations (150, 0, BT_PUBLISH_NO_READ_BACK) > 0);
  CU_ASSERT_TRUE (count_violations (150, 0, BT_PUBLISH_NO_COMPARE) > 0);
  CU_ASSERT_TRUE (count_violations (150, 0, BT_PUBLISH_NO_HAND_OVER) > 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("config_schedule", NULL, NULL);
  CU_ADD_TEST (suite, test_promises_hold_in_all_schedules);
  CU_ADD_TEST (suite, test_missing_guards_are_found);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
