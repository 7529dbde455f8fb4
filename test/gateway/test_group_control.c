#include <CUnit/Basic.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "group_control.h"
#include "lead_order.h"

enum
{
  LEASE = 7,
  LEASE_S = 600,
  RENEW_MS = 10,
  PLAN_MS = 5,
  HANDOVER_DELAY_MS = 50,
  RENEWALS = 200,
  LIMIT_MS = 10000,
  CANDIDATES = 200,
};

static bt_context_t *ctx;
static atomic_int renewed;
static atomic_int released;

static bool
read_nothing (bt_context_t *unused,
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
  (void)range;
  (void)error;
  return true;
}

static bool
commit (bt_context_t *unused,
        bt_kv_t *kv,
        const bt_kv_txn_t *txn,
        bt_kv_txn_result_t *result,
        bt_error_t *error)
{
  (void)unused;
  (void)kv;
  (void)txn;
  (void)error;
  result->succeeded = true;
  result->revision = 40;
  return true;
}

static bool
grant (bt_context_t *unused, bt_kv_t *kv, int64_t ttl_s, int64_t *lease, bt_error_t *error)
{
  (void)unused;
  (void)kv;
  (void)ttl_s;
  (void)error;
  *lease = LEASE;
  return true;
}

static bool
renew (bt_context_t *unused, bt_kv_t *kv, int64_t lease, int64_t *ttl_s, bt_error_t *error)
{
  (void)unused;
  (void)kv;
  (void)lease;
  (void)error;
  *ttl_s = LEASE_S;
  atomic_fetch_add (&renewed, 1);
  return true;
}

static bool
revoke (bt_context_t *unused, bt_kv_t *kv, int64_t lease, bt_error_t *error)
{
  (void)unused;
  (void)kv;
  (void)error;
  if (lease == LEASE)
    atomic_fetch_add (&released, 1);
  return true;
}

static void
cancel (bt_context_t *unused, bt_kv_t *kv)
{
  (void)unused;
  (void)kv;
}

static void
drop (bt_context_t *unused, bt_kv_t *kv)
{
  bt_free (unused, kv);
}

/* A store with a single lease, which it grants to this client only. */
static const bt_kv_vtable_t store_vtable = {
  .read_range = read_nothing,
  .commit_txn = commit,
  .grant_lease = grant,
  .renew_lease = renew,
  .revoke_lease = revoke,
  .cancel = cancel,
  .drop = drop,
};

static bt_kv_t *
new_store (bt_context_t *context, const char *address, uint64_t seed)
{
  bt_kv_t *kv = bt_calloc (context, 1, sizeof *kv);

  (void)address;
  (void)seed;
  kv->vtable = &store_vtable;
  return kv;
}

static const bt_platform_vtable_t platform_vtable = { .new_store = new_store };
static const bt_platform_t platform = { &platform_vtable };

/** A run of the group control on an event loop, until its condition or a time limit is reached. */
typedef struct control_run
{
  bt_loop_hook_t hook;
  bt_timer_t timer;
  bt_event_loop_t *loop;
  bt_agent_links_t *links;
  bt_group_control_t *control;
  bt_view_t view;
  int64_t end_ms;
  bool leaving;
  int32_t release_count; /* number of lease releases at the last check */
} control_run_t;

/* Runs an instance's group control until a callback stops the loop. */
static void
run_control (control_run_t *control_run)
{
  bt_error_t error = { 0 };
  bt_agent_links_options_t links = { .instance = "one", .incarnation = 1, .secret = "s" };
  bt_group_control_options_t options = { .platform = &platform,
                                         .store = "",
                                         .instance = "one",
                                         .cores = 0.24,
                                         .lease_s = LEASE_S,
                                         .renew_ms = RENEW_MS,
                                         .plan_ms = PLAN_MS,
                                         .handover_delay_ms = HANDOVER_DELAY_MS };

  atomic_store (&renewed, 0);
  atomic_store (&released, 0);
  control_run->loop = bt_new_event_loop (ctx, &error);
  control_run->links = bt_new_agent_links (ctx, control_run->loop, &links, &error);
  control_run->control =
      bt_new_group_control (ctx, control_run->loop, control_run->links, &options);
  control_run->end_ms = bt_now_ms (ctx) + LIMIT_MS;
  bt_set_group_view (control_run->control, &control_run->view, false);
  bt_add_loop_hook (control_run->loop, &control_run->hook);
  control_run->timer.on_expiry (&control_run->timer);
  bt_run_event_loop (control_run->loop);
  bt_drop_group_control (ctx, control_run->control);
  bt_drop_agent_links (ctx, control_run->links);
  bt_clear_timer (control_run->loop, &control_run->timer);
  bt_drop_event_loop (ctx, control_run->loop);
}

static void
rearm_timer (bt_timer_t *timer)
{
  control_run_t *control_run = (control_run_t *)((char *)timer - offsetof (control_run_t, timer));

  bt_set_timer (control_run->loop, timer, bt_now_ms (ctx) + PLAN_MS);
}

static void
check_leaving (bt_loop_hook_t *hook)
{
  control_run_t *control_run = (control_run_t *)hook;

  bt_run_group_control (control_run->control);
  if (!control_run->leaving && atomic_load (&renewed) > 1)
    {
      control_run->leaving = true;
      bt_set_group_view (control_run->control, &control_run->view, true);
    }
  if (atomic_load (&released) > 0 || bt_now_ms (ctx) >= control_run->end_ms)
    bt_stop_event_loop (control_run->loop);
}

/* A leader with a long lease shuts down. No other instance could lead until the lease expires, so
 * the leader must release it as soon as no group has a round in progress. */
static void
test_leaving_leader_releases_the_lease (void)
{
  control_run_t control_run = { .hook = { .on_iteration = check_leaving },
                                .timer = { .on_expiry = rearm_timer } };

  run_control (&control_run);
  CU_ASSERT_TRUE (control_run.leaving);
  CU_ASSERT_EQUAL (atomic_load (&released), 1);
}

/* Applies the view repeatedly, as in a fleet in which something always changes. */
static void
apply_view_again (bt_timer_t *timer)
{
  control_run_t *control_run = (control_run_t *)((char *)timer - offsetof (control_run_t, timer));

  bt_set_group_view (control_run->control, &control_run->view, false);
  bt_set_timer (control_run->loop, timer, bt_now_ms (ctx) + PLAN_MS);
}

static void
check_handover (bt_loop_hook_t *hook)
{
  control_run_t *control_run = (control_run_t *)hook;
  int32_t release_count = atomic_load (&released);

  bt_run_group_control (control_run->control);
  if (release_count > control_run->release_count)
    atomic_store (&renewed, 0);
  control_run->release_count = release_count;
  if ((release_count > 0 && atomic_load (&renewed) > RENEWALS)
      || bt_now_ms (ctx) >= control_run->end_ms)
    bt_stop_event_loop (control_run->loop);
}

/* Callers of a small instance wait while it plans for all groups. It must hand over to an instance
 * with twice its processor share that has been listed for a while. If the other instance does not
 * take the lease, the small one must keep leading, and must not hand over again and again. */
static void
test_leader_hands_over_once_to_larger_instance (void)
{
  bt_listed_entry_t other = { .identity = { .instance = "two" }, .cores = 0.5 };
  control_run_t control_run = { .hook = { .on_iteration = check_handover },
                                .timer = { .on_expiry = apply_view_again },
                                .view = { .entries = &other, .entry_count = 1 } };

  run_control (&control_run);
  CU_ASSERT_EQUAL (atomic_load (&released), 1);
  CU_ASSERT (atomic_load (&renewed) > RENEWALS);
}

/* Sets a view in which many instances come before this one, and then one without them. */
static void
lose_candidates (bt_timer_t *timer)
{
  control_run_t *control_run = (control_run_t *)((char *)timer - offsetof (control_run_t, timer));

  control_run->view.entry_count = 1;
  bt_set_group_view (control_run->control, &control_run->view, false);
  bt_set_timer (control_run->loop, timer, bt_now_ms (ctx) + PLAN_MS);
}

static void
check_leading (bt_loop_hook_t *hook)
{
  control_run_t *control_run = (control_run_t *)hook;

  bt_run_group_control (control_run->control);
  if (atomic_load (&renewed) > 0 || bt_now_ms (ctx) >= control_run->end_ms)
    bt_stop_event_loop (control_run->loop);
}

/* Guards against groups without a leader for a time that grows with the fleet: the leader and all
 * instances that come before this one are lost at once, and it must not wait for their turns. */
static void
test_lost_candidates_are_not_waited_for (void)
{
  bt_listed_entry_t entries[CANDIDATES] = { { .identity = { .instance = "one" }, .cores = 0.24 } };
  control_run_t control_run = { .hook = { .on_iteration = check_leading },
                                .timer = { .on_expiry = lose_candidates },
                                .view = { .entries = entries, .entry_count = CANDIDATES } };

  for (int32_t i = 1; i < CANDIDATES; i++)
    {
      snprintf (entries[i].identity.instance, BT_NAME_BYTES, "before-%d", (int)i);
      entries[i].cores = 0.3;
    }
  run_control (&control_run);
  CU_ASSERT (atomic_load (&renewed) > 0);
}

/* Guards against a race for the lease at the start of a fleet, when no instance knows the others
 * yet: only the first of the listed ones may try early. */
static void
test_instances_try_to_lead_in_turn (void)
{
  bt_listed_entry_t entries[CANDIDATES] = { 0 };
  bt_view_t none = { 0 };
  bt_view_t all = { .entries = entries, .entry_count = CANDIDATES };
  int64_t unlisted_ms = bt_get_lead_delay_ms (&none, "a", 0.24);

  for (int32_t i = 0; i < CANDIDATES; i++)
    {
      snprintf (entries[i].identity.instance, BT_NAME_BYTES, "i-%03d", (int)i);
      entries[i].cores = i == CANDIDATES - 1 ? 1 : 0.24;
    }
  CU_ASSERT (unlisted_ms > bt_get_lead_delay_ms (&all, "i-000", 0.24));
  CU_ASSERT (bt_get_lead_delay_ms (&all, "i-000", 0.24)
             > bt_get_lead_delay_ms (&all, entries[CANDIDATES - 1].identity.instance, 1));
  for (int32_t i = 1; i < CANDIDATES - 1; i++)
    CU_ASSERT (bt_get_lead_delay_ms (&all, entries[i].identity.instance, 0.24)
               > bt_get_lead_delay_ms (&all, entries[i - 1].identity.instance, 0.24));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("group_control", NULL, NULL);
  CU_ADD_TEST (suite, test_leaving_leader_releases_the_lease);
  CU_ADD_TEST (suite, test_leader_hands_over_once_to_larger_instance);
  CU_ADD_TEST (suite, test_lost_candidates_are_not_waited_for);
  CU_ADD_TEST (suite, test_instances_try_to_lead_in_turn);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
