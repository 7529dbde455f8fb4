#include <CUnit/Basic.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/counters.h"
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
  /* Well behind the end of a lease of one second. */
  PAST_LEASE_MS = 1600,
};

static bt_context_t *ctx;
static atomic_int renewed;
static atomic_int released;
static atomic_int unanswered;   /* renewals that failed because the store did not answer */
static atomic_bool is_silent;   /* the store does not answer renewals */
static atomic_bool has_expired; /* the store says that the lease has ended */

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
  if (atomic_load (&has_expired) || atomic_load (&is_silent))
    {
      bt_set_error (error, atomic_load (&has_expired) ? BT_ERROR_NOT_FOUND : BT_ERROR_CLOSED, "-");
      atomic_fetch_add (&unanswered, 1);
      return false;
    }
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
  int64_t lease_s; /* 0: LEASE_S */
  int64_t past_lease_ms;
  int64_t silent_ms; /* when the store stopped to answer; 0: it answers */
  int64_t leading;   /* the gauge bilberry_leading at the end */
  bool leaving;
  bool shows_other;      /* the store shows another leader, instead of ending the lease */
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
                                         .handover_delay_ms = HANDOVER_DELAY_MS,
                                         .past_lease_ms = control_run->past_lease_ms };

  if (control_run->lease_s > 0)
    options.lease_s = control_run->lease_s;
  atomic_store (&unanswered, 0);
  atomic_store (&is_silent, false);
  atomic_store (&has_expired, false);
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

static int64_t
read_leading (void)
{
  return bt_read_counter (bt_find_counter (ctx, BT_GAUGE, "bilberry_leading", "", NULL, NULL));
}

/* Makes the store silent once this instance leads, and stops well behind the end of the lease. */
static void
check_silent_store (bt_loop_hook_t *hook)
{
  control_run_t *control_run = (control_run_t *)hook;
  const int64_t now_ms = bt_now_ms (ctx);

  bt_run_group_control (control_run->control);
  if (control_run->silent_ms == 0 && atomic_load (&renewed) > 0)
    {
      control_run->silent_ms = now_ms;
      atomic_store (&is_silent, true);
    }
  control_run->leading = read_leading ();
  if (now_ms >= control_run->end_ms
      || (control_run->silent_ms > 0 && now_ms - control_run->silent_ms > PAST_LEASE_MS))
    bt_stop_event_loop (control_run->loop);
}

/* Runs an instance whose store becomes silent. Returns the gauge bilberry_leading behind the end of
 * its lease. */
static int64_t
lead_with_silent_store (bool contended, int64_t past_lease_ms)
{
  bt_declarations_t *declarations = bt_new_empty_declarations (ctx);
  control_run_t control_run = { .hook = { .on_iteration = check_silent_store },
                                .timer = { .on_expiry = rearm_timer },
                                .lease_s = 1,
                                .past_lease_ms = past_lease_ms };

  bt_add_app (ctx, declarations, "model")->kind = BT_APP_MODEL;
  bt_add_rule (ctx, declarations, "a", 0)->then.priority = BT_PRIORITY_HIGH;
  bt_add_rule (ctx, declarations, "b", 0)->then.priority =
      contended ? BT_PRIORITY_LOW : BT_PRIORITY_HIGH;
  control_run.view.declarations = declarations;
  bt_copy_name (control_run.view.leader, "one");
  run_control (&control_run);
  bt_drop_declarations (ctx, declarations);
  CU_ASSERT (control_run.silent_ms > 0);
  return control_run.leading;
}

/* Guards against groups whose map follows no jump of demand while the store is away, since the
 * leader stops at the end of a lease that nobody else can get. */
static void
test_leader_goes_on_while_the_store_is_silent (void)
{
  CU_ASSERT_EQUAL (lead_with_silent_store (true, LIMIT_MS), 2);
  CU_ASSERT_EQUAL (lead_with_silent_store (true, 0), 0);
  CU_ASSERT_EQUAL (lead_with_silent_store (false, LIMIT_MS), 0);
}

/* Ends the lease, by what the store answers, once this instance leads past it. */
static void
check_lost_lease (bt_loop_hook_t *hook)
{
  control_run_t *control_run = (control_run_t *)hook;

  bt_run_group_control (control_run->control);
  if (atomic_load (&renewed) > 0)
    atomic_store (&is_silent, true);
  control_run->leading = read_leading ();
  if (control_run->leading == 2)
    {
      control_run->silent_ms = bt_now_ms (ctx);
      if (!control_run->shows_other)
        atomic_store (&has_expired, true);
      else
        bt_copy_name (control_run->view.leader, "two");
      bt_set_group_view (control_run->control, &control_run->view, false);
    }
  if ((control_run->silent_ms > 0 && control_run->leading == 0)
      || bt_now_ms (ctx) >= control_run->end_ms)
    bt_stop_event_loop (control_run->loop);
}

/* Guards against two leaders: one that goes on past its lease must stop when the store says that
 * the lease has ended, or shows another leader. */
static void
test_leader_past_its_lease_stops_when_it_is_lost (void)
{
  for (int32_t shown = 0; shown < 2; shown++)
    {
      bt_declarations_t *declarations = bt_new_empty_declarations (ctx);
      control_run_t control_run = { .hook = { .on_iteration = check_lost_lease },
                                    .timer = { .on_expiry = rearm_timer },
                                    .lease_s = 1,
                                    .past_lease_ms = 10 * (int64_t)LIMIT_MS,
                                    .shows_other = shown == 1 };

      bt_add_app (ctx, declarations, "model")->kind = BT_APP_MODEL;
      bt_add_rule (ctx, declarations, "a", 0)->then.priority = BT_PRIORITY_HIGH;
      bt_add_rule (ctx, declarations, "b", 0)->then.priority = BT_PRIORITY_LOW;
      control_run.view.declarations = declarations;
      bt_copy_name (control_run.view.leader, "one");
      run_control (&control_run);
      bt_drop_declarations (ctx, declarations);
      CU_ASSERT (control_run.silent_ms > 0);
      CU_ASSERT_EQUAL (control_run.leading, 0);
    }
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
  CU_ADD_TEST (suite, test_leader_goes_on_while_the_store_is_silent);
  CU_ADD_TEST (suite, test_leader_past_its_lease_stops_when_it_is_lost);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
