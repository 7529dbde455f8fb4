/** @file
 * Entry instances with their copies of a store that is restored from backups, in simulated time.
 * Instances are frozen, cut off from the store and restarted; readers watch the store, the others
 * follow them.
 */

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "feed_messages.h"
#include "store_copy.h"

enum
{
  MAX_INSTANCES = 16,
  READERS = 2,
  ENDPOINTS = 12,
  MAX_REMOVALS = 4096,
  VALUE_BYTES = 256,
  SEEDS = 20,
  STEPS = 1200,
  SETTLE_STEPS = 200,
  STEP_MS = 100,
  HEARTBEAT_MS = 1200,
  /* The store removes the item of an endpoint after three missed heartbeats. */
  SILENCE_MS = 3600,
  /* Longest time until the operators write again what was lost. */
  REWRITE_MS = 3000,
  FULL_READ_MS = 20000,
  MAX_PAUSE_MS = 6000,
  PERCENT = 100,
  /* Odds of each event in one step, in percent. */
  BACKUP_ODDS = 5,
  RESTORE_ODDS = 1,
  CONFIGURE_ODDS = 5,
  LEAVE_ODDS = 1,
  DIE_ODDS = 1,
  LEAVING_DIE_ODDS = 4,
  MAX_INCARNATION = 60,
  FREEZE_ODDS = 2,
  CUT_ODDS = 2,
  RESTART_ODDS = 1,
};

typedef struct stored_endpoint
{
  bool present;
  bool leaving;
  int32_t incarnation; /* part of the key */
  int32_t sequence;
  int64_t revision;
  int64_t created;
  int64_t written_ms; /* time of the last heartbeat */
} stored_endpoint_t;

typedef struct removal
{
  char key[VALUE_BYTES];
  int64_t revision;
} removal_t;

/** The state that a restoration resets. */
typedef struct store_state
{
  int64_t revision;
  int32_t version; /* of the configuration */
  int64_t configured;
  stored_endpoint_t endpoints[ENDPOINTS];
  removal_t removals[MAX_REMOVALS];
  int32_t removal_count;
} store_state_t;

/** An endpoint's process. */
typedef struct process
{
  bool leaving;
  int32_t incarnation;
  int32_t sequence;
  int64_t beat_ms; /* time of the next heartbeat */
} process_t;

typedef struct instance
{
  bt_store_copy_t *copy;
  int64_t frozen_until_ms;
  int64_t cut_until_ms;
  int64_t read_ms;
  int32_t version; /* in force, to check that it never decreases */
  /* Incarnations of each endpoint, as bits: those that were in use here, that were seen leaving,
   * and that were seen removed, with the era in which that was. */
  uint64_t used[ENDPOINTS];
  uint64_t leaving[ENDPOINTS];
  uint64_t removed[ENDPOINTS];
  int64_t removed_era[ENDPOINTS][MAX_INCARNATION + 1];
} instance_t;

typedef struct simulation
{
  bt_random_t random;
  int64_t now_ms;
  int32_t count;
  int64_t era;
  store_state_t store;
  store_state_t backup;
  int32_t version;    /* confirmed to the operators */
  int64_t rewrite_ms; /* when they write again what was lost; 0: nothing was */
  process_t processes[ENDPOINTS];
  int64_t listed_era[ENDPOINTS][MAX_INCARNATION + 1]; /* in which it last registered */
  instance_t instances[MAX_INSTANCES];
  int32_t restorations;
  int32_t retained; /* how often an instance had other items in force than the store showed */
  char violation[VALUE_BYTES];
} simulation_t;

static bt_context_t *ctx;

static bool
draw (simulation_t *sim, int32_t percent)
{
  return bt_random_below (&sim->random, PERCENT) < (uint64_t)percent;
}

static int32_t
draw_below (simulation_t *sim, int32_t below)
{
  return (int32_t)bt_random_below (&sim->random, (uint64_t)below);
}

static void
report_violation (simulation_t *sim, const char *what, int32_t instance)
{
  if (sim->violation[0] == '\0')
    snprintf (sim->violation, sizeof sim->violation, "%s, instance %d at %lld ms", what,
              (int)instance, (long long)sim->now_ms);
}

static void
write_key (char key[VALUE_BYTES], int32_t endpoint, int32_t incarnation)
{
  snprintf (key, VALUE_BYTES, "servers/i-%d-%d", (int)endpoint, (int)incarnation);
}

static void
write_endpoint (char value[VALUE_BYTES], const stored_endpoint_t *endpoint)
{
  snprintf (value, VALUE_BYTES,
            "{\"service\":\"svc\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v1\","
            "\"slots\":8,\"state\":\"%s\",\"cold_left_ms\":0,\"sequence\":%d}",
            endpoint->leaving ? "draining" : "ready", (int)endpoint->sequence);
}

static void
add_pair (
    bt_kv_range_t *range, const char *key, const char *value, int64_t created, int64_t revision)
{
  bt_kv_pair_t *pair;

  range->pairs = bt_realloc (ctx, range->pairs, (size_t)range->count + 1, sizeof *range->pairs);
  pair = &range->pairs[range->count++];
  memset (pair, 0, sizeof *pair);
  pair->key = bt_strdup (ctx, key);
  pair->value = bt_memdup (ctx, value, strlen (value));
  pair->value_bytes = strlen (value);
  pair->create_revision = created;
  pair->mod_revision = revision;
}

/* Adds the store's items that were changed after a revision. */
static void
add_items (const simulation_t *sim, int64_t after, bt_kv_range_t *range)
{
  const store_state_t *store = &sim->store;
  char key[VALUE_BYTES];
  char value[VALUE_BYTES];

  range->era = sim->era;
  range->revision = store->revision;
  snprintf (value, sizeof value, "{\"version\":%d}", (int)store->version);
  if (store->version > 0 && store->configured > after)
    add_pair (range, "op/config", value, 1, store->configured);
  for (int32_t i = 0; i < ENDPOINTS; i++)
    if (store->endpoints[i].present && store->endpoints[i].revision > after)
      {
        write_key (key, i, store->endpoints[i].incarnation);
        write_endpoint (value, &store->endpoints[i]);
        add_pair (range, key, value, store->endpoints[i].created, store->endpoints[i].revision);
      }
}

static void
read_store (simulation_t *sim, instance_t *instance)
{
  bt_kv_range_t range = { 0 };

  add_items (sim, 0, &range);
  bt_replace_copy (ctx, instance->copy, &range, sim->now_ms);
  bt_drop_kv_range (ctx, &range);
  instance->read_ms = sim->now_ms;
}

static void
add_removals (const simulation_t *sim, int64_t after, bt_kv_changes_t *changes)
{
  const store_state_t *store = &sim->store;

  changes->removed = bt_calloc (ctx, (size_t)store->removal_count + 1, sizeof *changes->removed);
  changes->removed_revisions =
      bt_calloc (ctx, (size_t)store->removal_count + 1, sizeof *changes->removed_revisions);
  for (int32_t i = 0; i < store->removal_count; i++)
    if (store->removals[i].revision > after)
      {
        changes->removed_revisions[changes->removed_count] = store->removals[i].revision;
        changes->removed[changes->removed_count++] = bt_strdup (ctx, store->removals[i].key);
      }
}

/* One contact of a reader with the store: a watch that begins at its copy, or a full read. */
static void
contact_store (simulation_t *sim, int32_t index)
{
  instance_t *instance = &sim->instances[index];
  bt_kv_position_t position = bt_get_copy_position (instance->copy);
  bt_kv_changes_t changes = { 0 };

  if (position.era != sim->era || position.revision > sim->store.revision
      || sim->now_ms - instance->read_ms > FULL_READ_MS)
    {
      read_store (sim, instance);
      return;
    }
  add_items (sim, position.revision, &changes.written);
  add_removals (sim, position.revision, &changes);
  bt_apply_changes_to_copy (ctx, instance->copy, &changes, sim->now_ms);
  bt_drop_kv_changes (ctx, &changes);
}

/** Arguments of send_items. */
typedef struct transfer
{
  simulation_t *sim;
  instance_t *follower;
} transfer_t;

static void
send_items (void *data, const bt_kv_range_t *items, const bt_retention_t *retained)
{
  transfer_t *transfer = data;
  int64_t now_ms = transfer->sim->now_ms;
  Bilberry__StoreItems message;
  bt_store_update_t *update;

  bt_write_items_message (ctx, bt_get_copy_position (transfer->follower->copy), items, retained,
                          now_ms, &message);
  update = bt_read_items_message (ctx, &message);
  bt_clear_items_message (ctx, &message);
  bt_apply_update_to_copy (ctx, transfer->follower->copy, update, now_ms);
  bt_drop_store_update (ctx, update);
}

/** What a copy has in force. */
typedef struct in_force
{
  int32_t version;
  int32_t leaving[ENDPOINTS]; /* incarnation; 0: none */
  int32_t ready[ENDPOINTS];
} in_force_t;

static void
read_in_force (void *data, const bt_kv_range_t *items)
{
  in_force_t *in_force = data;

  for (int32_t i = 0; i < items->count; i++)
    {
      const bt_kv_pair_t *pair = &items->pairs[i];
      int endpoint;
      int incarnation;

      if (sscanf (pair->key, "servers/i-%d-%d", &endpoint, &incarnation) != 2)
        sscanf (pair->value, "{\"version\":%d}", &in_force->version);
      else if (strstr (pair->value, "draining") != NULL)
        in_force->leaving[endpoint] = incarnation;
      else
        in_force->ready[endpoint] = incarnation;
    }
}

/* Returns the bit of an incarnation; 0 if there is none. */
static uint64_t
get_bit (int32_t incarnation)
{
  return incarnation == 0 ? 0 : UINT64_C (1) << incarnation;
}

/* Returns the incarnations of an endpoint that have ended, but for the one that is still listed. */
static uint64_t
get_ended (const simulation_t *sim, int32_t endpoint)
{
  const stored_endpoint_t *stored = &sim->store.endpoints[endpoint];
  uint64_t ended = get_bit (sim->processes[endpoint].incarnation) - 1;

  return stored->present ? ended & ~get_bit (stored->incarnation) : ended;
}

/* Checks that an endpoint that has left is not used again, unless it has registered since. */
static void
check_endpoint (simulation_t *sim, int32_t index, int32_t endpoint, int32_t ready, int32_t leaving)
{
  instance_t *instance = &sim->instances[index];
  int64_t era = bt_get_copy_position (instance->copy).era;
  uint64_t gone = instance->used[endpoint] & ~get_bit (ready) & ~get_bit (leaving)
                  & get_ended (sim, endpoint) & ~instance->removed[endpoint];

  if ((get_bit (ready) & instance->leaving[endpoint]) != 0
      || ((get_bit (ready) & instance->removed[endpoint]) != 0
          && sim->listed_era[endpoint][ready] < instance->removed_era[endpoint][ready]))
    report_violation (sim, "an endpoint that has left is in use", index);
  for (int32_t i = 0; i <= MAX_INCARNATION; i++)
    if ((gone & get_bit (i)) != 0)
      instance->removed_era[endpoint][i] = era;
  instance->removed[endpoint] = (instance->removed[endpoint] | gone) & ~get_bit (ready);
  instance->leaving[endpoint] |= get_bit (leaving);
  instance->used[endpoint] |= get_bit (ready);
}

/* Checks that nothing that was in force at an instance has gone back. */
static void
check_instance (simulation_t *sim, int32_t index)
{
  instance_t *instance = &sim->instances[index];
  in_force_t in_force = { 0 };

  bt_visit_copy_items (ctx, instance->copy, read_in_force, &in_force);
  sim->retained += bt_count_retained_items (instance->copy) > 0 ? 1 : 0;
  if (in_force.version < instance->version)
    report_violation (sim, "an older configuration is in force", index);
  instance->version = in_force.version;
  for (int32_t i = 0; i < ENDPOINTS; i++)
    check_endpoint (sim, index, i, in_force.ready[i], in_force.leaving[i]);
}

/* Checks that an instance has in force what the store has confirmed, after a contact with it. */
static void
check_contact (simulation_t *sim, int32_t index)
{
  in_force_t in_force = { 0 };

  bt_visit_copy_items (ctx, sim->instances[index].copy, read_in_force, &in_force);
  if (in_force.version < sim->store.version)
    report_violation (sim, "a confirmed configuration is not in force", index);
  for (int32_t i = 0; i < ENDPOINTS; i++)
    {
      const stored_endpoint_t *endpoint = &sim->store.endpoints[i];

      if (endpoint->present && endpoint->leaving && in_force.ready[i] == endpoint->incarnation)
        report_violation (sim, "an endpoint that leaves is in use", index);
    }
}

static void
remove_item (simulation_t *sim, int32_t endpoint)
{
  store_state_t *store = &sim->store;
  removal_t *removal = &store->removals[store->removal_count];

  if (store->removal_count == MAX_REMOVALS)
    {
      report_violation (sim, "the simulation holds too few removals", -1);
      return;
    }
  store->removal_count++;
  store->revision++;
  removal->revision = store->revision;
  write_key (removal->key, endpoint, store->endpoints[endpoint].incarnation);
  store->endpoints[endpoint].present = false;
}

static void
configure (simulation_t *sim, int32_t version)
{
  sim->store.version = version;
  sim->store.configured = ++sim->store.revision;
}

/* An endpoint writes its state. Only a change other than that of the sequence advances the
 * revision. */
static void
beat (simulation_t *sim, int32_t index)
{
  const process_t *process = &sim->processes[index];
  stored_endpoint_t *stored = &sim->store.endpoints[index];

  if (stored->present && stored->incarnation != process->incarnation)
    remove_item (sim, index);
  if (!stored->present || stored->leaving != process->leaving)
    {
      stored->revision = ++sim->store.revision;
      sim->listed_era[index][process->incarnation] = sim->era;
      if (!stored->present)
        stored->created = stored->revision;
    }
  stored->present = true;
  stored->leaving = process->leaving;
  stored->incarnation = process->incarnation;
  stored->sequence = process->sequence;
  stored->written_ms = sim->now_ms;
}

static void
run_processes (simulation_t *sim, bool faults)
{
  for (int32_t i = 0; i < ENDPOINTS; i++)
    {
      process_t *process = &sim->processes[i];
      bool changed = false;

      if (faults && draw (sim, LEAVE_ODDS) && !process->leaving)
        process->leaving = changed = true;
      /* A process ends a while after it has announced that, or unexpectedly; another one follows.
       */
      if (faults && process->incarnation < MAX_INCARNATION
          && draw (sim, process->leaving ? LEAVING_DIE_ODDS : DIE_ODDS))
        {
          process->leaving = false;
          process->incarnation++;
          process->sequence = 0;
          process->beat_ms = sim->now_ms + draw_below (sim, 2 * SILENCE_MS);
        }
      else if (changed)
        process->beat_ms = sim->now_ms;
      if (sim->now_ms < process->beat_ms)
        continue;
      process->sequence++;
      process->beat_ms = sim->now_ms + HEARTBEAT_MS;
      beat (sim, i);
    }
  for (int32_t i = 0; i < ENDPOINTS; i++)
    if (sim->store.endpoints[i].present
        && sim->now_ms - sim->store.endpoints[i].written_ms > SILENCE_MS)
      remove_item (sim, i);
}

static void
restore_store (simulation_t *sim)
{
  sim->store = sim->backup;
  for (int32_t i = 0; i < ENDPOINTS; i++)
    sim->store.endpoints[i].written_ms = sim->now_ms;
  sim->era++;
  sim->restorations++;
  sim->rewrite_ms = sim->now_ms + draw_below (sim, REWRITE_MS);
}

/* The operators write a new version, or again one that was lost. */
static void
run_operators (simulation_t *sim, bool faults)
{
  if (sim->rewrite_ms != 0 && sim->store.version < sim->version)
    {
      if (sim->now_ms >= sim->rewrite_ms)
        configure (sim, draw (sim, PERCENT / 2) ? sim->version : sim->store.version + 1);
      return;
    }
  sim->rewrite_ms = 0;
  if (faults && draw (sim, CONFIGURE_ODDS))
    configure (sim, ++sim->version);
}

static void
start_instance (simulation_t *sim, int32_t index)
{
  instance_t *instance = &sim->instances[index];

  if (instance->copy != NULL)
    bt_drop_store_copy (ctx, instance->copy);
  memset (instance, 0, sizeof *instance);
  instance->copy = bt_new_store_copy (ctx, bt_get_platform ());
}

static void
draw_faults (simulation_t *sim)
{
  instance_t *instance = &sim->instances[draw_below (sim, sim->count)];

  if (draw (sim, BACKUP_ODDS))
    sim->backup = sim->store;
  if (draw (sim, RESTORE_ODDS))
    restore_store (sim);
  if (draw (sim, FREEZE_ODDS))
    instance->frozen_until_ms = sim->now_ms + draw_below (sim, MAX_PAUSE_MS);
  if (draw (sim, CUT_ODDS))
    instance->cut_until_ms = sim->now_ms + draw_below (sim, MAX_PAUSE_MS);
  if (draw (sim, RESTART_ODDS))
    start_instance (sim, (int32_t)(instance - sim->instances));
}

/* The first instances read the store. The others follow one of them, or read it if they find none
 * that runs. */
static void
run_instance (simulation_t *sim, int32_t index)
{
  instance_t *instance = &sim->instances[index];
  int32_t reader = draw_below (sim, READERS);
  bool follows = index >= READERS && sim->now_ms >= sim->instances[reader].frozen_until_ms
                 && bt_get_copy_position (sim->instances[reader].copy).revision > 0;
  transfer_t transfer = { sim, instance };
  bt_copy_claim_t claim;

  if (sim->now_ms < instance->frozen_until_ms)
    return;
  if (follows)
    bt_visit_shown_items (sim->instances[reader].copy, send_items, &transfer);
  else if (sim->now_ms >= instance->cut_until_ms)
    {
      contact_store (sim, index);
      check_contact (sim, index);
      claim = (bt_copy_claim_t){ bt_get_copy_position (instance->copy), sim->now_ms };
      bt_confirm_copy_claim (instance->copy, &claim);
    }
  if (follows)
    {
      claim = bt_get_copy_claim (sim->instances[reader].copy);
      bt_confirm_copy_claim (instance->copy, &claim);
    }
  bt_expire_retained_items (ctx, instance->copy);
  check_instance (sim, index);
}

static void
run_step (simulation_t *sim, bool faults)
{
  sim->now_ms += STEP_MS;
  run_processes (sim, faults);
  run_operators (sim, faults);
  if (faults)
    draw_faults (sim);
  for (int32_t i = 0; i < sim->count && sim->violation[0] == '\0'; i++)
    if (!faults || draw (sim, PERCENT / 2))
      run_instance (sim, i);
}

/* After the faults all instances must have in force what the store shows. */
static void
check_end (simulation_t *sim)
{
  for (int32_t i = 0; i < sim->count; i++)
    {
      in_force_t in_force = { 0 };

      bt_visit_copy_items (ctx, sim->instances[i].copy, read_in_force, &in_force);
      if (bt_count_retained_items (sim->instances[i].copy) > 0)
        report_violation (sim, "an item is still retained at the end", i);
      if (in_force.version != sim->version)
        report_violation (sim, "another configuration is in force at the end", i);
      for (int32_t k = 0; k < ENDPOINTS; k++)
        if (in_force.ready[k] + in_force.leaving[k] != sim->processes[k].incarnation)
          report_violation (sim, "another endpoint is known at the end", i);
    }
}

static bool
run_simulation (uint64_t seed, int32_t count, int32_t *restorations, int32_t *retained)
{
  simulation_t *sim = bt_calloc (ctx, 1, sizeof *sim);
  bool kept;

  bt_seed_random (&sim->random, seed);
  sim->count = count;
  sim->era = 1;
  sim->store.revision = 1;
  for (int32_t i = 0; i < ENDPOINTS; i++)
    sim->processes[i] = (process_t){ .incarnation = 1 };
  configure (sim, sim->version = 1);
  sim->backup = sim->store;
  for (int32_t i = 0; i < count; i++)
    start_instance (sim, i);
  for (int32_t step = 0; step < STEPS + SETTLE_STEPS && sim->violation[0] == '\0'; step++)
    run_step (sim, step < STEPS);
  check_end (sim);
  kept = sim->violation[0] == '\0';
  if (!kept)
    printf ("seed %llu, %d instances: %s\n", (unsigned long long)seed, (int)count, sim->violation);
  *restorations += sim->restorations;
  *retained += sim->retained;
  for (int32_t i = 0; i < count; i++)
    bt_drop_store_copy (ctx, sim->instances[i].copy);
  bt_free (ctx, sim);
  return kept;
}

static void
run_seeds (int32_t count)
{
  const char *seeds = getenv ("BT_SEEDS");
  int32_t last = seeds == NULL ? SEEDS : atoi (seeds);
  int32_t restorations = 0;
  int32_t retained = 0;

  for (int32_t seed = 1; seed <= last; seed++)
    CU_ASSERT_TRUE (run_simulation ((uint64_t)seed, count, &restorations, &retained));
  CU_ASSERT (restorations > last);
  CU_ASSERT (retained > last);
}

/* Guards against older states that come in force, and against confirmed ones that do not, while the
 * store is restored again and again. */
static void
test_schedules (void)
{
  run_seeds (MAX_INSTANCES / 2);
}

static void
test_schedules_with_twice_the_instances (void)
{
  run_seeds (MAX_INSTANCES);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("store_restores", NULL, NULL);
  CU_ADD_TEST (suite, test_schedules);
  CU_ADD_TEST (suite, test_schedules_with_twice_the_instances);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
