#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/requests/crash_table.h"

enum
{
  MATCH_WINDOW_MS = 15000,
  KEEP_MS = 600000,
  MAX_CRASHES = 64,
  /* For the simulated fleet. */
  INSTANCES = 5,
  ENDPOINTS = 12,
  REQUESTS = 40,
  POISON = 0,
  STEPS = 400,
  SEEDS = 200,
  MAX_LISTED = 256,
};

static const int64_t hold_ms = 60000;
/* Two crashes this far apart are separate events. */
static const int64_t moment_ms = 5000;
/* Two crashes this far apart are one event. */
static const int64_t same_moment_ms = 20;

static bt_context_t *ctx;

static bt_crash_table_t *
make_table (uint64_t seed)
{
  bt_crash_options_t options;

  bt_default_crash_options (&options);
  options.match_window_ms = MATCH_WINDOW_MS;
  options.hold_ms = hold_ms;
  options.keep_ms = KEEP_MS;
  options.max_crashes = MAX_CRASHES;
  options.seed = seed;
  return bt_new_crash_table (ctx, &options);
}

static bt_crash_t
make_crash (int32_t request, int32_t endpoint, int32_t incarnation)
{
  bt_crash_t crash;

  memset (&crash, 0, sizeof crash);
  crash.request.bytes[0] = (uint8_t)request;
  snprintf (crash.endpoint.instance, sizeof crash.endpoint.instance, "i-%d", endpoint);
  crash.endpoint.incarnation = (uint64_t)incarnation;
  return crash;
}

static bool
is_refused (const bt_crash_table_t *table, int32_t request)
{
  bt_crash_t crash = make_crash (request, 0, 0);
  int64_t retry_after_ms;

  return bt_judge_request (table, &crash.request, false, 0, &retry_after_ms) == BT_CRASH_REFUSE;
}

/* The verdict on a request whose endpoints are ranks of groups. */
static bt_crash_verdict_t
judge_in_group (const bt_crash_table_t *table, int32_t request, int64_t now_ms)
{
  bt_crash_t crash = make_crash (request, 0, 0);
  int64_t retry_after_ms;
  bt_crash_verdict_t verdict =
      bt_judge_request (table, &crash.request, true, now_ms, &retry_after_ms);

  CU_ASSERT_EQUAL (verdict == BT_CRASH_HOLD, retry_after_ms > 0);
  return verdict;
}

static int32_t
count_crashes (const bt_crash_table_t *table, int32_t request)
{
  bt_crash_t crash = make_crash (request, 0, 0);

  return bt_count_crashes (table, &crash.request);
}

/* Reports one crash in the usual order: the broken attempt, then the end of the endpoint. */
static void
report_crash (bt_crash_table_t *table, const bt_crash_t *crash, int64_t now_ms)
{
  bt_note_broken_attempt (ctx, table, crash, now_ms);
  bt_note_endpoint_end (ctx, table, &crash->endpoint, now_ms + 1);
}

static int32_t
drain_updates (bt_crash_table_t *table, bt_crash_update_kind_t kind)
{
  bt_crash_update_t update;
  int32_t count = 0;

  while (bt_take_crash_update (table, &update))
    count += update.kind == kind ? 1 : 0;
  return count;
}

static void
test_third_crash_refuses_a_request (void)
{
  bt_crash_table_t *table = make_table (1);

  for (int32_t i = 0; i < 3; i++)
    {
      bt_crash_t crash = make_crash (7, i, 1);

      CU_ASSERT_FALSE (is_refused (table, 7));
      report_crash (table, &crash, i * moment_ms);
    }
  CU_ASSERT_TRUE (is_refused (table, 7));
  CU_ASSERT_FALSE (is_refused (table, 8));
  CU_ASSERT_EQUAL (drain_updates (table, BT_CRASH_PUBLISH), 3);
  bt_drop_crash_table (ctx, table);
}

/* Guards against refusing a request for an hour because several endpoints that ran copies of it
 * lost power together. */
static void
test_ends_at_one_moment_count_once (void)
{
  bt_crash_table_t *table = make_table (1);

  for (int32_t i = 0; i < 4; i++)
    {
      bt_crash_t crash = make_crash (7, i, 1);

      CU_ASSERT_FALSE (is_refused (table, 7));
      report_crash (table, &crash, i * same_moment_ms);
    }
  CU_ASSERT_EQUAL (count_crashes (table, 7), 4);
  CU_ASSERT_TRUE (is_refused (table, 7));
  bt_drop_crash_table (ctx, table);
}

/* Guards against a request that stops its rank group again at each return. */
static void
test_request_is_held_after_its_first_crash_in_a_group (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_crash_t crash = make_crash (7, 0, 1);

  crash.at_start = true;
  CU_ASSERT_EQUAL (judge_in_group (table, 7, 0), BT_CRASH_RUN);
  report_crash (table, &crash, 0);
  CU_ASSERT_FALSE (is_refused (table, 7));
  CU_ASSERT_EQUAL (judge_in_group (table, 7, hold_ms - 1), BT_CRASH_HOLD);
  CU_ASSERT_EQUAL (judge_in_group (table, 8, hold_ms - 1), BT_CRASH_RUN);
  CU_ASSERT_EQUAL (judge_in_group (table, 7, hold_ms + 1), BT_CRASH_RUN);
  bt_drop_crash_table (ctx, table);
}

/* Guards against holding requests that had run for some time when their endpoint ended. */
static void
test_request_with_a_begun_answer_is_not_held (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_crash_t crash = make_crash (7, 0, 1);

  report_crash (table, &crash, 0);
  CU_ASSERT_EQUAL (judge_in_group (table, 7, moment_ms), BT_CRASH_RUN);
  crash = make_crash (7, 1, 1);
  report_crash (table, &crash, moment_ms);
  CU_ASSERT_EQUAL (judge_in_group (table, 7, 2 * moment_ms), BT_CRASH_HOLD);
  bt_drop_crash_table (ctx, table);
}

/* Guards against holding what ran on endpoints that lost power together. */
static void
test_loss_of_power_holds_no_request (void)
{
  bt_crash_table_t *table = make_table (1);

  for (int32_t i = 0; i < 4; i++)
    {
      bt_crash_t crash = make_crash (7 + i, i, 1);

      crash.at_start = true;
      report_crash (table, &crash, i * same_moment_ms);
    }
  for (int32_t i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (judge_in_group (table, 7 + i, moment_ms), BT_CRASH_RUN);
  bt_drop_crash_table (ctx, table);
}

/* Guards against two copies of a held request that run at once when the hold is over, and against a
 * request that stays held after a complete answer. */
static void
test_one_run_is_tried_after_a_hold (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_crash_t crash = make_crash (7, 0, 1);

  crash.at_start = true;
  report_crash (table, &crash, 0);
  bt_begin_crash_trial (table, &crash.request, hold_ms + 1);
  CU_ASSERT_EQUAL (judge_in_group (table, 7, hold_ms + 2), BT_CRASH_HOLD);
  crash = make_crash (7, 1, 1);
  bt_note_complete_answer (ctx, table, &crash, hold_ms + 1);
  CU_ASSERT_EQUAL (judge_in_group (table, 7, hold_ms + 3), BT_CRASH_RUN);
  bt_drop_crash_table (ctx, table);
}

/* Guards against more than three stops of a group by one request, whatever its return times. */
static void
test_crash_in_a_trial_prolongs_the_hold (void)
{
  bt_crash_table_t *table = make_table (1);
  int64_t now_ms = 0;
  int32_t crashes = 0;

  for (; now_ms < KEEP_MS; now_ms += moment_ms / 5)
    if (judge_in_group (table, 7, now_ms) == BT_CRASH_RUN)
      {
        bt_crash_t crash = make_crash (7, crashes, 1);

        crash.at_start = true;
        bt_begin_crash_trial (table, &crash.request, now_ms);
        report_crash (table, &crash, now_ms);
        crashes++;
      }
  CU_ASSERT_EQUAL (crashes, 3);
  CU_ASSERT_EQUAL (judge_in_group (table, 7, now_ms), BT_CRASH_REFUSE);
  bt_drop_crash_table (ctx, table);
}

/* Guards against refusing requests when connections break but no endpoint ends. */
static void
test_broken_attempts_alone_are_no_crashes (void)
{
  bt_crash_table_t *table = make_table (1);

  for (int32_t i = 0; i < 100; i++)
    {
      bt_crash_t crash = make_crash (7, i, 1);

      bt_note_broken_attempt (ctx, table, &crash, i);
    }
  CU_ASSERT_EQUAL (bt_count_known_crashes (table), 0);
  bt_drop_crash_table (ctx, table);
}

/* Guards against counting an end that comes long after the broken attempt as a crash. */
static void
test_late_end_is_no_crash (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_crash_t crash = make_crash (7, 0, 1);

  bt_note_broken_attempt (ctx, table, &crash, 0);
  bt_expire_crashes (ctx, table, MATCH_WINDOW_MS + 1);
  bt_note_endpoint_end (ctx, table, &crash.endpoint, MATCH_WINDOW_MS + 1);
  CU_ASSERT_EQUAL (bt_count_known_crashes (table), 0);
  bt_drop_crash_table (ctx, table);
}

/* Guards against missing a crash when the end is reported before the broken attempt. */
static void
test_end_may_be_reported_first (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_crash_t crash = make_crash (7, 0, 1);

  bt_note_endpoint_end (ctx, table, &crash.endpoint, 0);
  bt_note_broken_attempt (ctx, table, &crash, 10);
  CU_ASSERT_EQUAL (bt_count_crashes (table, &crash.request), 1);
  bt_drop_crash_table (ctx, table);
}

/* Guards against counting one end twice when two copies of a request ran on the endpoint. */
static void
test_one_incarnation_counts_once (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_crash_t crash = make_crash (7, 0, 1);

  bt_note_broken_attempt (ctx, table, &crash, 0);
  report_crash (table, &crash, 0);
  CU_ASSERT_EQUAL (bt_count_crashes (table, &crash.request), 1);
  bt_drop_crash_table (ctx, table);
}

static void
test_later_answer_clears_suspects_of_the_endpoint (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_crash_t crash = make_crash (7, 0, 1);
  bt_crash_t other = make_crash (8, 0, 1);

  bt_note_broken_attempt (ctx, table, &crash, 100);
  bt_note_complete_answer (ctx, table, &other, 100);
  CU_ASSERT_TRUE (bt_has_suspects (table));
  bt_note_complete_answer (ctx, table, &other, 101);
  CU_ASSERT_FALSE (bt_has_suspects (table));
  bt_note_endpoint_end (ctx, table, &crash.endpoint, 200);
  CU_ASSERT_EQUAL (bt_count_known_crashes (table), 0);
  bt_drop_crash_table (ctx, table);
}

/* Guards against refusing a request that only ran at the same time as one that crashes endpoints.
 */
static void
test_answered_request_is_cleared_everywhere (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_listed_crash_t listed[2] = { { make_crash (7, 0, 1), 5 }, { make_crash (7, 1, 1), 6 } };
  bt_crash_t answered = make_crash (7, 2, 1);

  CU_ASSERT_EQUAL (bt_apply_listed_crashes (ctx, table, listed, 2, 0), 0);
  bt_note_complete_answer (ctx, table, &answered, 10);
  CU_ASSERT_EQUAL (bt_count_known_crashes (table), 0);
  CU_ASSERT_EQUAL (drain_updates (table, BT_CRASH_RETRACT), 2);
  bt_drop_crash_table (ctx, table);
}

/* Guards against a crash that is cleared before it is listed, and returns with the shared list. */
static void
test_crash_not_listed_yet_is_retracted_too (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_crash_t crash = make_crash (7, 0, 1);
  bt_crash_update_t update;

  report_crash (table, &crash, 0);
  bt_note_complete_answer (ctx, table, &crash, 10);
  CU_ASSERT_TRUE (bt_take_crash_update (table, &update));
  CU_ASSERT_EQUAL (update.kind, BT_CRASH_PUBLISH);
  CU_ASSERT_TRUE (bt_take_crash_update (table, &update));
  CU_ASSERT_EQUAL (update.kind, BT_CRASH_RETRACT);
  CU_ASSERT_FALSE (bt_take_crash_update (table, &update));
  bt_drop_crash_table (ctx, table);
}

static void
test_shared_list_is_applied (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_crash_t own = make_crash (7, 3, 1);
  bt_listed_crash_t listed[2] = { { make_crash (7, 0, 1), 5 }, { make_crash (7, 1, 1), 6 } };

  report_crash (table, &own, 0);
  bt_apply_listed_crashes (ctx, table, listed, 2, 0);
  CU_ASSERT_TRUE (is_refused (table, 7));
  /* A crash that was never listed stays; one that is no longer listed is removed. */
  bt_apply_listed_crashes (ctx, table, listed, 1, 1);
  CU_ASSERT_EQUAL (bt_count_crashes (table, &own.request), 2);
  bt_drop_crash_table (ctx, table);
}

/* Guards against requests that crash endpoints again: the restored store lacks what was known of
 * them. All stay known, and the instance that reported one publishes it again. */
static void
test_restored_list_loses_no_crash (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_listed_crash_t listed[3];
  bt_crash_t own = make_crash (POISON, 3, 3);

  for (int32_t i = 0; i < 2; i++)
    listed[i] = (bt_listed_crash_t){ make_crash (POISON, i, i + 1), 10 + i };
  bt_apply_listed_crashes (ctx, table, listed, 2, 0);
  report_crash (table, &own, moment_ms);
  listed[2] = (bt_listed_crash_t){ own, 12 };
  bt_apply_listed_crashes (ctx, table, listed, 3, moment_ms);
  CU_ASSERT_EQUAL (drain_updates (table, BT_CRASH_PUBLISH), 1);
  bt_apply_restored_crashes (ctx, table, listed, 1, moment_ms);
  CU_ASSERT_EQUAL (count_crashes (table, POISON), 3);
  CU_ASSERT_EQUAL (drain_updates (table, BT_CRASH_PUBLISH), 1);
  bt_apply_listed_crashes (ctx, table, listed, 1, moment_ms);
  CU_ASSERT_EQUAL (count_crashes (table, POISON), 3);
  listed[1] = (bt_listed_crash_t){ own, 11 };
  bt_apply_listed_crashes (ctx, table, listed, 2, moment_ms);
  bt_apply_listed_crashes (ctx, table, listed, 1, moment_ms);
  CU_ASSERT_EQUAL (count_crashes (table, POISON), 2);
  bt_drop_crash_table (ctx, table);
}

/* Guards against forgetting a crash as if it were retracted. One that another instance reported,
 * and lists no more, is kept until it expires. */
static void
test_restored_list_is_no_retraction (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_listed_crash_t listed = { make_crash (POISON, 1, 1), 10 };

  bt_apply_listed_crashes (ctx, table, &listed, 1, 0);
  bt_apply_restored_crashes (ctx, table, NULL, 0, 0);
  bt_apply_listed_crashes (ctx, table, NULL, 0, 0);
  CU_ASSERT_EQUAL (count_crashes (table, POISON), 1);
  CU_ASSERT_EQUAL (drain_updates (table, BT_CRASH_PUBLISH), 0);
  bt_expire_crashes (ctx, table, (int64_t)2 * KEEP_MS);
  CU_ASSERT_EQUAL (count_crashes (table, POISON), 0);
  bt_drop_crash_table (ctx, table);
}

static void
test_returning_request_renews_its_crashes (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_listed_crash_t listed = { make_crash (7, 0, 1), 5 };
  int64_t now_ms = 0;

  bt_apply_listed_crashes (ctx, table, &listed, 1, now_ms);
  for (int32_t i = 0; i < 10; i++)
    {
      now_ms += KEEP_MS / 2;
      bt_renew_crashes (ctx, table, &listed.crash.request, now_ms);
      bt_expire_crashes (ctx, table, now_ms);
      CU_ASSERT_EQUAL (drain_updates (table, BT_CRASH_PUBLISH), 1);
    }
  CU_ASSERT_EQUAL (bt_count_known_crashes (table), 1);
  bt_expire_crashes (ctx, table, now_ms + KEEP_MS + KEEP_MS);
  CU_ASSERT_EQUAL (bt_count_known_crashes (table), 0);
  CU_ASSERT_EQUAL (drain_updates (table, BT_CRASH_RETRACT), 1);
  bt_drop_crash_table (ctx, table);
}

static void
test_renewed_crash_expires_after_its_renewal (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_listed_crash_t listed = { make_crash (7, 0, 1), 5 };

  bt_apply_listed_crashes (ctx, table, &listed, 1, 0);
  listed.revision = 9;
  bt_apply_listed_crashes (ctx, table, &listed, 1, KEEP_MS);
  bt_expire_crashes (ctx, table, KEEP_MS + KEEP_MS / 2);
  CU_ASSERT_EQUAL (bt_count_known_crashes (table), 1);
  bt_drop_crash_table (ctx, table);
}

static void
test_crash_count_is_limited (void)
{
  bt_crash_table_t *table = make_table (1);
  bt_listed_crash_t listed[MAX_CRASHES + 3];

  for (int32_t i = 0; i < MAX_CRASHES + 3; i++)
    listed[i] = (bt_listed_crash_t){ make_crash (i, 0, 1), i + 1 };
  CU_ASSERT_EQUAL (bt_apply_listed_crashes (ctx, table, listed, MAX_CRASHES + 3, 0), 3);
  CU_ASSERT_EQUAL (bt_count_known_crashes (table), MAX_CRASHES);
  bt_drop_crash_table (ctx, table);
}

/** A simulated fleet whose instances share crashes in a list, as in the store. */
typedef struct fleet
{
  bt_random_t random;
  bt_crash_table_t *tables[INSTANCES];
  bt_crash_update_t pending[MAX_LISTED]; /* updates not applied to the list yet, in any order */
  int32_t pending_count;
  bt_listed_crash_t list[MAX_LISTED];
  int32_t list_count;
  int64_t revision;
  int32_t incarnations[ENDPOINTS];
  int32_t crashes[REQUESTS]; /* crashes reported for each request */
  int64_t now_ms;
} fleet_t;

static int32_t
draw (fleet_t *fleet, int32_t below)
{
  return (int32_t)bt_random_below (&fleet->random, (uint64_t)below);
}

static int32_t
find_listed (const fleet_t *fleet, const bt_crash_t *crash)
{
  for (int32_t i = 0; i < fleet->list_count; i++)
    if (bt_same_fingerprint (&fleet->list[i].crash.request, &crash->request)
        && bt_same_identity (&fleet->list[i].crash.endpoint, &crash->endpoint))
      return i;
  return -1;
}

/* Applies a random pending update to the list; an update may be applied twice. */
static void
apply_update (fleet_t *fleet)
{
  int32_t index = draw (fleet, fleet->pending_count);
  bt_crash_update_t update = fleet->pending[index];
  int32_t at = find_listed (fleet, &update.crash);

  if (draw (fleet, 4) != 0)
    fleet->pending[index] = fleet->pending[--fleet->pending_count];
  if (update.kind == BT_CRASH_RETRACT && at >= 0)
    fleet->list[at] = fleet->list[--fleet->list_count];
  else if (update.kind == BT_CRASH_PUBLISH && at >= 0)
    fleet->list[at].revision = ++fleet->revision;
  else if (update.kind == BT_CRASH_PUBLISH && fleet->list_count < MAX_LISTED)
    fleet->list[fleet->list_count++] = (bt_listed_crash_t){ update.crash, ++fleet->revision };
}

static void
collect_updates (fleet_t *fleet, int32_t instance)
{
  bt_crash_update_t update;

  while (bt_take_crash_update (fleet->tables[instance], &update))
    if (fleet->pending_count < MAX_LISTED)
      fleet->pending[fleet->pending_count++] = update;
}

/* The poison request and two others run on one endpoint, sent by different instances; the endpoint
 * ends. */
static void
crash_endpoint (fleet_t *fleet)
{
  int32_t endpoint = draw (fleet, ENDPOINTS);
  int32_t running[3] = { POISON, 1 + draw (fleet, REQUESTS - 1), 1 + draw (fleet, REQUESTS - 1) };
  bt_crash_t ended = make_crash (POISON, endpoint, fleet->incarnations[endpoint]);
  int32_t sender = draw (fleet, INSTANCES);

  for (int32_t i = 0; i < 3; i++)
    {
      bt_crash_t crash = make_crash (running[i], endpoint, fleet->incarnations[endpoint]);

      bt_note_broken_attempt (ctx, fleet->tables[sender], &crash, fleet->now_ms);
      fleet->crashes[running[i]] += i > 0 && running[i] == running[i - 1] ? 0 : 1;
      if (i == 0)
        sender = draw (fleet, INSTANCES);
    }
  for (int32_t i = 0; i < INSTANCES; i++)
    bt_note_endpoint_end (ctx, fleet->tables[i], &ended.endpoint, fleet->now_ms);
  fleet->incarnations[endpoint]++;
}

/* Restarts an instance; updates that it had not published are lost. */
static void
restart_instance (fleet_t *fleet)
{
  int32_t instance = draw (fleet, INSTANCES);

  bt_drop_crash_table (ctx, fleet->tables[instance]);
  fleet->tables[instance] = make_table ((uint64_t)instance);
  bt_apply_listed_crashes (ctx, fleet->tables[instance], fleet->list, fleet->list_count,
                           fleet->now_ms);
}

static void
step_fleet (fleet_t *fleet)
{
  int32_t instance = draw (fleet, INSTANCES);

  fleet->now_ms += draw (fleet, 500);
  switch (draw (fleet, 12))
    {
    case 0:
      if (!is_refused (fleet->tables[instance], POISON))
        crash_endpoint (fleet);
      break;
    case 1:
      restart_instance (fleet);
      break;
    case 2:
    case 3:
    case 4:
      bt_apply_listed_crashes (ctx, fleet->tables[instance], fleet->list, fleet->list_count,
                               fleet->now_ms);
      break;
    case 5:
      bt_expire_crashes (ctx, fleet->tables[instance], fleet->now_ms);
      break;
    default:
      collect_updates (fleet, instance);
      if (fleet->pending_count > 0)
        apply_update (fleet);
      break;
    }
  for (int32_t i = 0; i < REQUESTS; i++)
    if (fleet->crashes[i] < 3)
      CU_ASSERT_FALSE (is_refused (fleet->tables[instance], i));
}

/* Applies all pending updates to the list, and the list to all instances. */
static void
settle_fleet (fleet_t *fleet)
{
  for (int32_t i = 0; i < INSTANCES; i++)
    collect_updates (fleet, i);
  while (fleet->pending_count > 0)
    apply_update (fleet);
  for (int32_t i = 0; i < INSTANCES; i++)
    bt_apply_listed_crashes (ctx, fleet->tables[i], fleet->list, fleet->list_count, fleet->now_ms);
}

/* Guards against instances that disagree permanently, and against refusing a request with fewer
 * than three crashes, when updates arrive late, twice and out of order and instances restart. */
static void
test_fleet_schedules_converge (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      static fleet_t fleet;
      int32_t known;

      memset (&fleet, 0, sizeof fleet);
      bt_seed_random (&fleet.random, seed);
      for (int32_t i = 0; i < INSTANCES; i++)
        fleet.tables[i] = make_table ((uint64_t)i);
      for (int32_t i = 0; i < STEPS; i++)
        step_fleet (&fleet);
      settle_fleet (&fleet);
      known = count_crashes (fleet.tables[0], POISON);
      for (int32_t i = 0; i < INSTANCES; i++)
        {
          CU_ASSERT_EQUAL (count_crashes (fleet.tables[i], POISON), known);
          bt_drop_crash_table (ctx, fleet.tables[i]);
        }
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("crash_table", NULL, NULL);
  CU_ADD_TEST (suite, test_third_crash_refuses_a_request);
  CU_ADD_TEST (suite, test_ends_at_one_moment_count_once);
  CU_ADD_TEST (suite, test_request_is_held_after_its_first_crash_in_a_group);
  CU_ADD_TEST (suite, test_request_with_a_begun_answer_is_not_held);
  CU_ADD_TEST (suite, test_loss_of_power_holds_no_request);
  CU_ADD_TEST (suite, test_one_run_is_tried_after_a_hold);
  CU_ADD_TEST (suite, test_crash_in_a_trial_prolongs_the_hold);
  CU_ADD_TEST (suite, test_broken_attempts_alone_are_no_crashes);
  CU_ADD_TEST (suite, test_late_end_is_no_crash);
  CU_ADD_TEST (suite, test_end_may_be_reported_first);
  CU_ADD_TEST (suite, test_one_incarnation_counts_once);
  CU_ADD_TEST (suite, test_later_answer_clears_suspects_of_the_endpoint);
  CU_ADD_TEST (suite, test_answered_request_is_cleared_everywhere);
  CU_ADD_TEST (suite, test_crash_not_listed_yet_is_retracted_too);
  CU_ADD_TEST (suite, test_shared_list_is_applied);
  CU_ADD_TEST (suite, test_restored_list_loses_no_crash);
  CU_ADD_TEST (suite, test_restored_list_is_no_retraction);
  CU_ADD_TEST (suite, test_returning_request_renews_its_crashes);
  CU_ADD_TEST (suite, test_renewed_crash_expires_after_its_renewal);
  CU_ADD_TEST (suite, test_crash_count_is_limited);
  CU_ADD_TEST (suite, test_fleet_schedules_converge);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
