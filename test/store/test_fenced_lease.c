#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/store/fenced_lease.h"

enum
{
  TTL_S = 2,
  TTL_MS = 2000,
  RENEW_MS = 600,
  MAX_INSTANCES = 16,
  MAX_LEASES = 64,
  VALUE_BYTES = 128,
  STEP_MS = 100,
  STEPS = 1200,
  SEEDS = 300,
  PERCENT = 100,
  /* Odds of each event in one step, in percent. */
  BACKUP_ODDS = 10,
  RESTORE_ODDS = 2,
  FREEZE_ODDS = 3,
  CUT_ODDS = 3,
  LOST_ANSWER_ODDS = 3,
  RESTART_ODDS = 1,
  RELEASE_ODDS = 1,
  MAX_PAUSE_STEPS = 60,
};

typedef enum stored_key
{
  CONTROLLER = 0,
  FENCE,
  KEYS,
} stored_key_t;

static const char *const key_names[KEYS] = { "m/g/controller", "m/g/fence" };

typedef struct stored_item
{
  bool present;
  char value[VALUE_BYTES];
  int64_t revision;
  int64_t lease;
} stored_item_t;

/** The state that a restoration resets. */
typedef struct store_state
{
  stored_item_t items[KEYS];
  int64_t revision;
  int64_t last_lease;
  int64_t lease_end_ms[MAX_LEASES]; /* by id modulo MAX_LEASES; 0: ended */
} store_state_t;

static bt_context_t *ctx;
static bt_fake_clock_t fake_clock;
static store_state_t store;
static store_state_t backup;
static int64_t store_era;
static void (*before_txn) (void); /* called before the next transaction; may be NULL */
static bool answer_lost;
static bool store_cut;
static int64_t client_era;

static void
end_lease (int64_t id)
{
  store.lease_end_ms[id % MAX_LEASES] = 0;
  for (int32_t i = 0; i < KEYS; i++)
    if (store.items[i].lease == id)
      store.items[i] = (stored_item_t){ 0 };
}

static void
end_expired_leases (void)
{
  for (int64_t id = 1; id <= store.last_lease; id++)
    if (store.lease_end_ms[id % MAX_LEASES] != 0
        && store.lease_end_ms[id % MAX_LEASES] <= fake_clock.now_ms)
      end_lease (id);
}

static void
restore_store (void)
{
  store = backup;
  for (int32_t i = 0; i < MAX_LEASES; i++)
    if (store.lease_end_ms[i] != 0)
      store.lease_end_ms[i] = fake_clock.now_ms + TTL_MS;
  store_era++;
}

/* Returns true if the store answers. */
static bool
receive_call (bt_error_t *error)
{
  end_expired_leases ();
  if (store_cut)
    return bt_set_error (error, BT_ERROR_CLOSED, "cut");
  return true;
}

/* Returns true if the answer arrives. */
static bool
send_answer (bt_error_t *error)
{
  if (answer_lost)
    return bt_set_error (error, BT_ERROR_CLOSED, "lost");
  client_era = store_era;
  return true;
}

static bool
read_range (bt_context_t *unused,
            bt_kv_t *kv,
            const char *key,
            bool prefix,
            int64_t min_revision,
            bt_kv_range_t *range,
            bt_error_t *error)
{
  (void)unused;
  (void)kv;
  (void)key;
  (void)prefix;
  (void)min_revision;
  if (!receive_call (error) || !send_answer (error))
    return false;
  range->pairs = bt_calloc (ctx, KEYS, sizeof *range->pairs);
  range->era = store_era;
  range->revision = store.revision;
  for (int32_t i = 0; i < KEYS; i++)
    if (store.items[i].present)
      {
        bt_kv_pair_t *pair = &range->pairs[range->count++];

        pair->key = bt_strdup (ctx, key_names[i]);
        pair->value = bt_strdup (ctx, store.items[i].value);
        pair->value_bytes = strlen (pair->value);
        pair->mod_revision = store.items[i].revision;
      }
  return true;
}

static stored_item_t *
find_item (const char *key)
{
  return &store.items[strcmp (key, key_names[CONTROLLER]) == 0 ? CONTROLLER : FENCE];
}

static bool
comparisons_hold (const bt_kv_txn_t *txn)
{
  for (int32_t i = 0; i < txn->compare_count; i++)
    if (find_item (txn->compares[i].key)->revision != txn->compares[i].mod_revision)
      return false;
  return true;
}

static void
call_before_txn (void)
{
  void (*call) (void) = before_txn;

  before_txn = NULL;
  if (call != NULL)
    call ();
}

static bool
commit_txn (bt_context_t *unused,
            bt_kv_t *kv,
            const bt_kv_txn_t *txn,
            bt_kv_txn_result_t *result,
            bt_error_t *error)
{
  (void)unused;
  (void)kv;
  call_before_txn ();
  if (!receive_call (error))
    return false;
  for (int32_t i = 0; i < txn->write_count; i++)
    if (txn->writes[i].lease != 0 && store.lease_end_ms[txn->writes[i].lease % MAX_LEASES] == 0)
      return bt_set_error (error, BT_ERROR_NOT_FOUND, "no such lease");
  result->succeeded = comparisons_hold (txn);
  if (result->succeeded)
    {
      store.revision++;
      for (int32_t i = 0; i < txn->write_count; i++)
        {
          stored_item_t *item = find_item (txn->writes[i].key);

          item->present = true;
          item->revision = store.revision;
          item->lease = txn->writes[i].lease;
          snprintf (item->value, sizeof item->value, "%s", txn->writes[i].value);
        }
    }
  result->era = store_era;
  result->revision = store.revision;
  return send_answer (error);
}

static bool
grant_lease (bt_context_t *unused, bt_kv_t *kv, int64_t ttl_s, int64_t *lease, bt_error_t *error)
{
  (void)unused;
  (void)kv;
  (void)ttl_s;
  if (!receive_call (error))
    return false;
  store.last_lease++;
  store.lease_end_ms[store.last_lease % MAX_LEASES] = fake_clock.now_ms + TTL_MS;
  *lease = store.last_lease;
  return send_answer (error);
}

static bool
renew_lease (bt_context_t *unused, bt_kv_t *kv, int64_t lease, int64_t *ttl_s, bt_error_t *error)
{
  (void)unused;
  (void)kv;
  if (!receive_call (error))
    return false;
  *ttl_s = TTL_S;
  if (store.lease_end_ms[lease % MAX_LEASES] != 0)
    {
      store.lease_end_ms[lease % MAX_LEASES] = fake_clock.now_ms + TTL_MS;
      return send_answer (error);
    }
  if (!send_answer (error))
    return false;
  return bt_set_error (error, BT_ERROR_NOT_FOUND, "ended");
}

static bool
revoke_lease (bt_context_t *unused, bt_kv_t *kv, int64_t lease, bt_error_t *error)
{
  (void)unused;
  (void)kv;
  if (!receive_call (error))
    return false;
  end_lease (lease);
  return send_answer (error);
}

static int64_t
get_era (bt_kv_t *kv)
{
  (void)kv;
  return client_era;
}

/* A store with two keys in simulated time, which restorations take back to a backup. */
static const bt_kv_vtable_t store_vtable = {
  .read_range = read_range,
  .commit_txn = commit_txn,
  .grant_lease = grant_lease,
  .renew_lease = renew_lease,
  .revoke_lease = revoke_lease,
  .get_era = get_era,
};
static bt_kv_t store_client = { &store_vtable };

/** An entry instance that wants the lease. */
typedef struct instance
{
  bt_fenced_lease_t *lease;
  char name[VALUE_BYTES];
  uint64_t fence;       /* of the lease granted last; 0: none */
  int64_t end_ms;       /* when its lease ends by its own clock */
  int64_t era;          /* era that its client has seen */
  int32_t frozen_steps; /* steps that are left of a pause */
  int32_t cut_steps;    /* steps for which the store does not answer it */
  int64_t next_call_ms;
} instance_t;

static instance_t instances[MAX_INSTANCES];

static void
start_instance (int32_t index)
{
  instance_t *instance = &instances[index];

  memset (instance, 0, sizeof *instance);
  snprintf (instance->name, sizeof instance->name, "entry-%d", (int)index);
  instance->lease = bt_new_fenced_lease (ctx, &store_client, "m/", "g", instance->name, TTL_S);
}

static void
reset_store (int64_t era)
{
  memset (&store, 0, sizeof store);
  store.revision = 1;
  backup = store;
  store_era = era;
  client_era = 0;
  answer_lost = store_cut = false;
  before_txn = NULL;
  bt_init_fake_clock (&fake_clock, 1000);
}

static void
start_two_instances (int64_t era)
{
  reset_store (era);
  start_instance (0);
  start_instance (1);
}

static void
stop_instances (int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    bt_drop_fenced_lease (ctx, instances[i].lease);
}

/* Makes one attempt of an instance to acquire or renew the lease. */
static bt_lease_result_t
attempt (int32_t index)
{
  instance_t *instance = &instances[index];
  int64_t sent_ms = fake_clock.now_ms;
  uint64_t fence = 0;
  bt_lease_result_t result;

  client_era = instance->era;
  result = bt_acquire_fenced_lease (ctx, instance->lease, &fence);
  instance->era = client_era;
  if (result == BT_LEASE_GRANTED)
    instance->fence = fence;
  if (result != BT_LEASE_NONE)
    instance->end_ms = sent_ms + TTL_MS;
  return result;
}

/* Lets the first lease of an era be acquired, which waits for one TTL. */
static void
acquire_first (int32_t index)
{
  CU_ASSERT_EQUAL (attempt (index), BT_LEASE_NONE);
  fake_clock.now_ms += TTL_MS;
  CU_ASSERT_EQUAL (attempt (index), BT_LEASE_GRANTED);
}

static void
test_number_is_the_revision_without_eras (void)
{
  start_two_instances (0);
  CU_ASSERT_EQUAL (attempt (0), BT_LEASE_GRANTED);
  CU_ASSERT_EQUAL (instances[0].fence, 2);
  CU_ASSERT_EQUAL (attempt (0), BT_LEASE_RENEWED);
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_NONE);
  fake_clock.now_ms += TTL_MS;
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_GRANTED);
  CU_ASSERT_EQUAL (instances[1].fence, 3);
  stop_instances (2);
}

/* Guards against a leader that all engines refuse: they keep the highest fencing number seen, and
 * the revisions of the restored store are lower. */
static void
test_numbers_increase_over_a_restoration (void)
{
  start_two_instances (1);
  acquire_first (0);
  backup = store;
  for (int32_t i = 0; i < 5; i++)
    {
      bt_release_fenced_lease (ctx, instances[i % 2].lease);
      CU_ASSERT_EQUAL (attempt ((i + 1) % 2), BT_LEASE_GRANTED);
    }
  restore_store ();
  fake_clock.now_ms += 1;
  CU_ASSERT_EQUAL (attempt (0), BT_LEASE_NONE);
  fake_clock.now_ms += TTL_MS;
  CU_ASSERT_EQUAL (attempt (0), BT_LEASE_GRANTED);
  CU_ASSERT (instances[0].fence > instances[1].fence);
  stop_instances (2);
}

/* Guards against two leaders at a time: the restored store has lost the lease of the one that
 * leads, which has not noticed it. */
static void
test_lost_lease_is_waited_for (void)
{
  start_two_instances (1);
  acquire_first (0);
  store = backup;
  store_era++;
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_NONE);
  fake_clock.now_ms += TTL_MS - 1;
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_NONE);
  fake_clock.now_ms += 1;
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_GRANTED);
  CU_ASSERT (instances[0].end_ms <= fake_clock.now_ms);
  stop_instances (2);
}

/* Guards against a group without a leader after each restoration: the one that leads need not wait
 * for itself. */
static void
test_holder_acquires_its_lost_lease_at_once (void)
{
  start_two_instances (1);
  acquire_first (0);
  restore_store ();
  CU_ASSERT_EQUAL (attempt (0), BT_LEASE_GRANTED);
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_NONE);
  stop_instances (2);
}

/* Guards against a leader that resumes with an earlier number: it was frozen, another one led
 * meanwhile, and the restored store has its lease again. */
static void
test_lease_from_the_backup_is_not_renewed (void)
{
  start_two_instances (1);
  acquire_first (0);
  backup = store;
  fake_clock.now_ms += TTL_MS;
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_GRANTED);
  restore_store ();
  CU_ASSERT_EQUAL (attempt (0), BT_LEASE_NONE);
  fake_clock.now_ms = instances[1].end_ms + TTL_MS;
  CU_ASSERT_EQUAL (attempt (0), BT_LEASE_GRANTED);
  CU_ASSERT (instances[0].fence > instances[1].fence);
  stop_instances (2);
}

/* Restores the store, which then assigns the lease id of the pending transaction to another lease.
 */
static void
restore_and_reuse_lease_id (void)
{
  restore_store ();
  store.last_lease++;
  store.lease_end_ms[store.last_lease % MAX_LEASES] = fake_clock.now_ms + TTL_MS;
}

/* Guards against a lease that was judged by what the store showed before it was restored. */
static void
test_restoration_before_the_transaction_grants_nothing (void)
{
  start_two_instances (1);
  acquire_first (0);
  bt_release_fenced_lease (ctx, instances[0].lease);
  backup = store;
  before_txn = restore_and_reuse_lease_id;
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_NONE);
  CU_ASSERT_FALSE (store.items[CONTROLLER].present);
  stop_instances (2);
}

static void
acquire_and_release (void)
{
  int64_t era = client_era;

  CU_ASSERT_EQUAL (attempt (0), BT_LEASE_GRANTED);
  bt_release_fenced_lease (ctx, instances[0].lease);
  client_era = era;
}

/* Guards against a fencing number that is given out twice: another instance acquires and releases
 * the lease between the read and the transaction. */
static void
test_number_is_not_given_out_twice (void)
{
  start_two_instances (1);
  acquire_first (0);
  bt_release_fenced_lease (ctx, instances[0].lease);
  before_txn = acquire_and_release;
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_NONE);
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_GRANTED);
  CU_ASSERT (instances[1].fence > instances[0].fence);
  stop_instances (2);
}

/* Guards against two leaders at a time: the lease of the first one was ended early, and the
 * restored store has lost the lease of the second one. */
static void
test_ended_lease_is_no_reason_to_acquire_at_once (void)
{
  start_two_instances (1);
  acquire_first (0);
  end_lease (store.items[CONTROLLER].lease);
  backup = store;
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_GRANTED);
  CU_ASSERT_EQUAL (attempt (0), BT_LEASE_NONE);
  restore_store ();
  CU_ASSERT_EQUAL (attempt (0), BT_LEASE_NONE);
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_GRANTED);
  stop_instances (2);
}

/* Guards against ending another instance's lease: lease ids are assigned again. */
static void
test_release_in_another_era_ends_no_lease (void)
{
  start_two_instances (1);
  acquire_first (0);
  restore_store ();
  fake_clock.now_ms += TTL_MS;
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_NONE);
  fake_clock.now_ms += TTL_MS;
  CU_ASSERT_EQUAL (attempt (1), BT_LEASE_GRANTED);
  client_era = store_era;
  bt_release_fenced_lease (ctx, instances[0].lease);
  CU_ASSERT_TRUE (store.items[CONTROLLER].present);
  stop_instances (2);
}

/** A run of the schedule. */
typedef struct schedule
{
  bt_random_t random;
  int32_t count; /* number of instances */
  uint64_t highest_fence;
  int32_t grants;
  bool has_failed;
} schedule_t;

static bool
draw (schedule_t *schedule, int32_t percent)
{
  return bt_random_below (&schedule->random, PERCENT) < (uint64_t)percent;
}

static void
draw_faults (schedule_t *schedule)
{
  int32_t index = (int32_t)bt_random_below (&schedule->random, (uint64_t)schedule->count);
  instance_t *instance = &instances[index];

  if (draw (schedule, BACKUP_ODDS))
    backup = store;
  if (draw (schedule, RESTORE_ODDS))
    restore_store ();
  if (draw (schedule, FREEZE_ODDS))
    instance->frozen_steps = (int32_t)bt_random_below (&schedule->random, MAX_PAUSE_STEPS);
  if (draw (schedule, CUT_ODDS))
    instance->cut_steps = (int32_t)bt_random_below (&schedule->random, MAX_PAUSE_STEPS);
  if (draw (schedule, RESTART_ODDS))
    {
      bt_drop_fenced_lease (ctx, instance->lease);
      start_instance (index);
    }
  if (draw (schedule, RELEASE_ODDS) && instance->frozen_steps == 0 && instance->cut_steps == 0)
    {
      client_era = instance->era;
      bt_release_fenced_lease (ctx, instance->lease);
      instance->end_ms = 0;
    }
}

/* Checks that no two instances hold the lease by their own clocks, and that numbers increase. */
static void
check_holders (schedule_t *schedule, int32_t granted)
{
  int32_t holders = 0;

  for (int32_t i = 0; i < schedule->count; i++)
    holders += instances[i].end_ms > fake_clock.now_ms ? 1 : 0;
  if (holders > 1)
    schedule->has_failed = true;
  if (granted < 0)
    return;
  schedule->grants++;
  if (instances[granted].fence <= schedule->highest_fence)
    schedule->has_failed = true;
  schedule->highest_fence = instances[granted].fence;
}

static void
run_instance (schedule_t *schedule, int32_t index)
{
  instance_t *instance = &instances[index];

  if (instance->frozen_steps > 0)
    {
      instance->frozen_steps--;
      return;
    }
  if (instance->cut_steps > 0)
    instance->cut_steps--;
  if (fake_clock.now_ms < instance->next_call_ms)
    return;
  instance->next_call_ms = fake_clock.now_ms + RENEW_MS;
  store_cut = instance->cut_steps > 0;
  answer_lost = draw (schedule, LOST_ANSWER_ODDS);
  before_txn = draw (schedule, RESTORE_ODDS) ? restore_and_reuse_lease_id : NULL;
  check_holders (schedule, attempt (index) == BT_LEASE_GRANTED ? index : -1);
  store_cut = answer_lost = false;
  before_txn = NULL;
}

/* Returns whether all holds; adds the number of grants to @p grants. */
static bool
run_schedule (uint64_t seed, int32_t count, int64_t first_era, int32_t *grants)
{
  schedule_t schedule = { .count = count };

  reset_store (first_era);
  bt_seed_random (&schedule.random, seed);
  for (int32_t i = 0; i < count; i++)
    start_instance (i);
  for (int32_t step = 0; step < STEPS && !schedule.has_failed; step++)
    {
      fake_clock.now_ms += STEP_MS;
      draw_faults (&schedule);
      for (int32_t i = 0; i < count; i++)
        run_instance (&schedule, i);
    }
  stop_instances (count);
  *grants += schedule.grants;
  return !schedule.has_failed;
}

/* Guards against two holders at a time, and against a number that does not increase, while the
 * store is restored again and again, and instances are frozen, cut off, restarted, and release the
 * lease. It must also be granted often. */
static void
test_schedules_with_restorations (void)
{
  for (int32_t count = MAX_INSTANCES / 2; count <= MAX_INSTANCES; count *= 2)
    {
      int32_t grants = 0;

      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          bool kept = run_schedule (seed, count, 1, &grants);

          CU_ASSERT_TRUE (kept);
          if (!kept)
            printf ("seed %llu with %d instances\n", (unsigned long long)seed, (int)count);
        }
      CU_ASSERT (grants > SEEDS * 10);
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  bt_set_log_level (ctx, -1);
  bt_set_context_clock (ctx, &fake_clock.base);
  CU_initialize_registry ();
  suite = CU_add_suite ("fenced_lease", NULL, NULL);
  CU_ADD_TEST (suite, test_number_is_the_revision_without_eras);
  CU_ADD_TEST (suite, test_numbers_increase_over_a_restoration);
  CU_ADD_TEST (suite, test_lost_lease_is_waited_for);
  CU_ADD_TEST (suite, test_holder_acquires_its_lost_lease_at_once);
  CU_ADD_TEST (suite, test_lease_from_the_backup_is_not_renewed);
  CU_ADD_TEST (suite, test_restoration_before_the_transaction_grants_nothing);
  CU_ADD_TEST (suite, test_number_is_not_given_out_twice);
  CU_ADD_TEST (suite, test_ended_lease_is_no_reason_to_acquire_at_once);
  CU_ADD_TEST (suite, test_release_in_another_era_ends_no_lease);
  CU_ADD_TEST (suite, test_schedules_with_restorations);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
