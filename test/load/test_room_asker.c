#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

#include "room_checks.h"

/* Guards against capacity that is lost or exceeded while more requests arrive than the engines can
 * serve: idle engines, requests beyond slots and depth, and a bound on starts that does not follow
 * the demand. */
static void
test_overload_uses_all_capacity (void)
{
  const sim_options_t options = get_options (42, overload_per_s);
  sim_t *sim = new_sim (&options);
  int32_t running = 0;

  sim_run_for (sim, SETTLE_MS + MEASURED_MS);
  for (int32_t i = 0; i < ENGINES; i++)
    running += sim->engines[i].running;
  CU_ASSERT_EQUAL (get_most_excess (sim), 0);
  CU_ASSERT (get_most_idle_ms (sim) <= 150);
  CU_ASSERT (running >= ENGINES * SLOTS * 9 / 10);
  check_none_lost (sim);
  drop_sim (sim);
}

/* Guards against capacity that stays held for entries that end with grants, asks and streams. */
static void
test_entries_die (void)
{
  sim_options_t options = get_options (42, overload_per_s);

  options.death_ms = 250;
  check_faults (&options, 0);
}

/* Guards against holds that expire on the way, and against counting a frame twice. A start may come
 * after its hold has expired, once for each entry. */
static void
test_frames_are_late_and_arrive_twice (void)
{
  sim_options_t options = get_options (8, overload_per_s);

  options.late_percent = 2;
  options.twice_percent = 10;
  check_faults (&options, options.entries);
}

/* Guards against requests that wait for agents that never answer, such as old ones: their engines
 * are used by estimate. */
static void
test_agents_never_answer (void)
{
  sim_options_t options = get_options (42, overload_per_s);

  options.silent_engines = ENGINES / 4;
  check_faults (&options, 0);
}

/* Guards against a change of behaviour where no agent answers: the run must be the same as without
 * reservations. */
static void
test_all_unreserved_is_as_before (void)
{
  sim_options_t options = get_options (8, calm_per_s);
  sim_t *before;
  sim_t *sim;

  options.silent_engines = ENGINES;
  options.reserved = false;
  before = new_sim (&options);
  options.reserved = true;
  sim = new_sim (&options);
  /* Creating an asker draws its seed. */
  bt_seed_random (&before->random, 7);
  bt_seed_random (&sim->random, 7);
  sim_run_for (before, SETTLE_MS);
  sim_run_for (sim, SETTLE_MS);
  CU_ASSERT_EQUAL (sim->started, before->started);
  for (int32_t i = 0; i < ENGINES; i++)
    {
      CU_ASSERT_EQUAL_FATAL (sim->engines[i].start_count, before->engines[i].start_count);
      CU_ASSERT_EQUAL (memcmp (sim->engines[i].starts, before->engines[i].starts,
                               (size_t)sim->engines[i].start_count * sizeof (int64_t)),
                       0);
    }
  drop_sim (sim);
  drop_sim (before);
}

/* One entry with few engines, whose agents the tests play. */

enum
{
  FEW = 4,
  NOW_MS = 100000,
};

static bt_context_t *ctx;
static bt_router_t *router;
static bt_admission_t *admission;
static bt_room_asker_t *asker;
static bt_identity_t engines[FEW];
static bt_room_action_t taken[64];
static int32_t taken_count;

static void
take_actions (void)
{
  taken_count = 0;
  while (taken_count < 64 && bt_next_room_action (asker, &taken[taken_count]))
    taken_count++;
}

static int32_t
count_taken (bt_asker_action_kind_t kind)
{
  int32_t count = 0;

  for (int32_t i = 0; i < taken_count; i++)
    count += taken[i].kind == kind ? 1 : 0;
  return count;
}

/* Returns the last action of a kind, or NULL. */
static const bt_room_action_t *
find_taken (bt_asker_action_kind_t kind)
{
  for (int32_t i = taken_count - 1; i >= 0; i--)
    if (taken[i].kind == kind)
      return &taken[i];
  return NULL;
}

static void
advance (int64_t now_ms)
{
  bt_advance_room_asker (ctx, asker, now_ms);
  take_actions ();
}

static bool
answer (const bt_room_action_t *ask, bt_asker_verdict_t verdict, int32_t load, int64_t now_ms)
{
  const bt_asker_reply_t reply = {
    .id = ask->id, .verdict = verdict, .load = load, .received_ms = now_ms
  };
  const bt_identity_t engine = ask->endpoint;
  const bool known = bt_handle_room_reply (ctx, asker, engine.instance, &reply, now_ms);

  take_actions ();
  return known;
}

/* Creates an entry whose engines are all reserved. */
static void
create_entry (void)
{
  bt_router_options_t router_options;
  bt_admission_options_t admission_options;

  ctx = bt_new_context ();
  bt_default_router_options (&router_options);
  bt_default_admission_options (&admission_options);
  router = bt_new_router (ctx, &router_options);
  admission = bt_new_admission (ctx, router, &admission_options);
  asker = bt_new_room_asker (ctx, router, admission, 1);
  bt_set_room_app (ctx, asker, "app", true, NOW_MS);
  for (int32_t i = 0; i < FEW; i++)
    {
      bt_endpoint_t endpoint = { .app = "app" };

      snprintf (endpoint.identity.instance, BT_NAME_BYTES, "engine-%d", i);
      endpoint.identity.incarnation = 1;
      engines[i] = endpoint.identity;
      bt_put_endpoint (ctx, router, &endpoint, NOW_MS);
      bt_set_room_engine (ctx, asker, &engines[i], "app", true, NOW_MS);
    }
  advance (NOW_MS);
  CU_ASSERT_EQUAL_FATAL (count_taken (BT_ASKER_ASK), FEW);
  for (int32_t i = 0; i < FEW; i++)
    {
      const bt_asker_reply_t reply = { .id = taken[i].id,
                                       .verdict = BT_ASKER_DENIED,
                                       .received_ms = NOW_MS };

      /* It grants nothing, and its other fields are valid. */
      CU_ASSERT (taken[i].ask.slots == 0 && taken[i].ask.depth == 0 && taken[i].ask.burst == 1);
      CU_ASSERT (bt_handle_room_reply (ctx, asker, taken[i].endpoint.instance, &reply, NOW_MS));
    }
  take_actions ();
  CU_ASSERT_EQUAL (count_taken (BT_ASKER_RESERVED), FEW);
}

static void
drop_entry (void)
{
  bt_drop_room_asker (ctx, asker);
  bt_drop_admission (ctx, admission);
  bt_drop_router (ctx, router);
  bt_drop_context (ctx);
}

static bt_admission_action_t
queue_request (uint64_t id, int32_t priority, int64_t now_ms)
{
  const bt_admission_request_t request = {
    .id = id, .app = "app", .account = "", .priority = priority, .deadline_left_ms = 8000
  };
  const bt_room_request_t room = { .id = id, .app = "app", .priority = priority };
  bt_admission_decision_t decision;

  bt_decide_admission (ctx, admission, &request, now_ms, &decision);
  if (decision.action == BT_ADMISSION_QUEUE)
    bt_add_room_request (ctx, asker, &room);
  return decision.action;
}

/* Queues a request and returns its first ask. */
static bt_room_action_t
ask_first (uint64_t id, int32_t priority, int64_t now_ms)
{
  CU_ASSERT_EQUAL (queue_request (id, priority, now_ms), BT_ADMISSION_QUEUE);
  advance (now_ms);
  CU_ASSERT_EQUAL_FATAL (count_taken (BT_ASKER_ASK), 1);
  return taken[0];
}

/* Guards against a grant that is lost or not reported: it sends the request, and the agent is told
 * of its start and of its end. */
static void
test_grant_is_used_and_reported (void)
{
  bt_room_action_t ask;
  bt_room_action_t send;

  create_entry ();
  ask = ask_first (1, 1, NOW_MS);
  CU_ASSERT (ask.ask.slots > 0 && !ask.ask.wait && ask.ask.burst == 1);
  CU_ASSERT (answer (&ask, BT_ASKER_GRANTED, 1, NOW_MS + 3));
  CU_ASSERT_EQUAL_FATAL (taken_count, 1);
  send = taken[0];
  CU_ASSERT_EQUAL (send.kind, BT_ASKER_SEND);
  CU_ASSERT_EQUAL (send.request, 1);
  CU_ASSERT_EQUAL (send.waited_ms, 3);
  CU_ASSERT (bt_same_identity (&send.endpoint, &ask.endpoint));
  bt_confirm_room_send (ctx, asker, &send, true, NOW_MS + 3);
  take_actions ();
  CU_ASSERT (taken_count == 1 && taken[0].kind == BT_ASKER_STARTED && taken[0].id == ask.id);
  bt_record_room_end (ctx, asker, ask.id);
  bt_record_room_end (ctx, asker, ask.id);
  take_actions ();
  CU_ASSERT (taken_count == 1 && taken[0].kind == BT_ASKER_ENDED && taken[0].id == ask.id);
  drop_entry ();
}

/* Guards against a low request that uses the grant while a high one waits: a grant is for the first
 * request of the queue, and the other request keeps an ask. */
static void
test_grant_goes_to_the_first_in_the_queue (void)
{
  bt_room_action_t low;
  bt_room_action_t send;

  create_entry ();
  low = ask_first (1, BT_ASKER_GRANTED, NOW_MS);
  ask_first (2, BT_ASKER_GRANTED + 1, NOW_MS + 1);
  answer (&low, BT_ASKER_GRANTED, 1, NOW_MS + 3);
  CU_ASSERT_FATAL (find_taken (BT_ASKER_SEND) != NULL);
  send = *find_taken (BT_ASKER_SEND);
  CU_ASSERT_EQUAL (send.request, 2);
  bt_confirm_room_send (ctx, asker, &send, true, NOW_MS + 3);
  take_actions ();
  advance (NOW_MS + 4);
  CU_ASSERT_EQUAL (count_taken (BT_ASKER_ASK), 1);
  drop_entry ();
}

/* Guards against capacity that stays held for a request that has left: its grant is released, and
 * so is one that comes too late, or for an engine that may not be used any more. */
static void
test_unusable_grants_are_released (void)
{
  bt_room_action_t ask;
  bt_asker_reply_t reply = { .verdict = BT_ASKER_GRANTED, .load = 1 };

  create_entry ();
  ask = ask_first (1, 1, NOW_MS);
  bt_cancel_admission (admission, 1);
  bt_remove_room_request (ctx, asker, 1);
  answer (&ask, BT_ASKER_GRANTED, 1, NOW_MS + 3);
  CU_ASSERT (taken_count == 1 && taken[0].kind == BT_ASKER_RELEASED && taken[0].id == ask.id);

  ask = ask_first (2, 1, NOW_MS + 10);
  reply.id = ask.id;
  reply.received_ms = NOW_MS + 12;
  bt_handle_room_reply (ctx, asker, ask.endpoint.instance, &reply,
                        NOW_MS + 13 + BT_ROOM_GRANT_USE_MS);
  take_actions ();
  CU_ASSERT (taken_count == 1 && taken[0].kind == BT_ASKER_RELEASED && taken[0].id == ask.id);

  advance (NOW_MS + 200);
  CU_ASSERT_EQUAL_FATAL (count_taken (BT_ASKER_ASK), 1);
  ask = *find_taken (BT_ASKER_ASK);
  bt_set_endpoint_evacuated (router, &ask.endpoint, true);
  answer (&ask, BT_ASKER_GRANTED, 1, NOW_MS + 203);
  CU_ASSERT (taken_count == 1 && taken[0].kind == BT_ASKER_RELEASED);
  CU_ASSERT_EQUAL (bt_count_queued_requests (admission, "app"), 1);
  drop_entry ();
}

/* Guards against a request that asks for ever, and one that waits where the load is highest: after
 * three denials it waits at the two engines with the least load, until one of them grants. */
static void
test_denied_request_waits_at_the_least_loaded (void)
{
  bt_room_action_t ask;
  bt_identity_t most_loaded;

  create_entry ();
  ask = ask_first (1, 1, NOW_MS);
  most_loaded = ask.endpoint;
  for (int32_t i = 0; i < BT_ROOM_MAX_DENIALS; i++)
    {
      CU_ASSERT (!ask.ask.wait);
      answer (&ask, BT_ASKER_DENIED, 9 - i, NOW_MS + 1 + i);
      advance (NOW_MS + 1 + i);
      CU_ASSERT_FATAL (count_taken (BT_ASKER_ASK) > 0);
      ask = *find_taken (BT_ASKER_ASK);
    }
  CU_ASSERT_EQUAL (count_taken (BT_ASKER_ASK), BT_ROOM_WAITING_ASKS);
  for (int32_t i = 0; i < taken_count; i++)
    CU_ASSERT (taken[i].ask.wait && !bt_same_identity (&taken[i].endpoint, &most_loaded));
  answer (&ask, BT_ASKER_GRANTED, 8, NOW_MS + 90);
  CU_ASSERT (taken_count == 1 && taken[0].kind == BT_ASKER_SEND && taken[0].request == 1);
  bt_confirm_room_send (ctx, asker, &taken[0], true, NOW_MS + 90);
  take_actions ();
  CU_ASSERT_EQUAL (count_taken (BT_ASKER_WITHDRAWN), 1);
  drop_entry ();
}

/* Guards against requests that wait for an agent that hangs: without an answer in time its engine
 * is used by estimate, and it is reserved again with the next answer. */
static void
test_unanswered_ask_makes_the_engine_unreserved (void)
{
  bt_room_action_t ask;

  create_entry ();
  ask = ask_first (1, 1, NOW_MS);
  for (int64_t ms = 10; ms < BT_ROOM_ASK_TIMEOUT_MS; ms += 10)
    advance (NOW_MS + ms);
  CU_ASSERT (bt_is_room_engine_reserved (asker, ask.endpoint.instance));
  advance (NOW_MS + BT_ROOM_ASK_TIMEOUT_MS);
  CU_ASSERT (!bt_is_room_engine_reserved (asker, ask.endpoint.instance));
  CU_ASSERT (count_taken (BT_ASKER_UNANSWERED) == 1 && count_taken (BT_ASKER_UNRESERVED) == 1);
  CU_ASSERT (count_taken (BT_ASKER_ASK) + count_taken (BT_ASKER_SEND) == 1);
  CU_ASSERT (!answer (&ask, BT_ASKER_GRANTED, 1, NOW_MS + 70));
  CU_ASSERT (count_taken (BT_ASKER_RESERVED) == 1 && count_taken (BT_ASKER_RELEASED) == 1);
  CU_ASSERT (bt_is_room_engine_reserved (asker, ask.endpoint.instance));
  drop_entry ();
}

/* Guards against agents that are taken for dead because this process did not run: after a pause of
 * the process, the answers that have arrived are read first. */
static void
test_pause_of_the_process_is_no_time_out (void)
{
  bt_room_action_t ask;

  create_entry ();
  ask = ask_first (1, 1, NOW_MS);
  advance (NOW_MS + 500);
  CU_ASSERT_EQUAL (count_taken (BT_ASKER_UNANSWERED), 0);
  CU_ASSERT (bt_is_room_engine_reserved (asker, ask.endpoint.instance));
  drop_entry ();
}

/* Guards against a second copy of a grant that ends the first: it must not release what runs. */
static void
test_second_copy_of_a_grant_changes_nothing (void)
{
  bt_room_action_t ask;

  create_entry ();
  ask = ask_first (1, 1, NOW_MS);
  answer (&ask, BT_ASKER_GRANTED, 1, NOW_MS + 3);
  bt_confirm_room_send (ctx, asker, &taken[0], true, NOW_MS + 3);
  take_actions ();
  CU_ASSERT (!answer (&ask, BT_ASKER_GRANTED, 1, NOW_MS + 4));
  CU_ASSERT_EQUAL (taken_count, 0);
  drop_entry ();
}

/* Guards against requests that stay queued when reservations end: without agents, or when the app
 * is no longer contended, admission sends them as before, and waiting asks are withdrawn. */
static void
test_requests_are_admitted_when_reservations_end (void)
{
  bt_admission_decision_t decision;
  bt_room_action_t ask;

  create_entry ();
  ask = ask_first (1, 1, NOW_MS);
  CU_ASSERT (!bt_next_admission (admission, NOW_MS, &decision));
  for (int32_t i = 0; i < FEW; i++)
    bt_set_room_engine (ctx, asker, &engines[i], "app", false, NOW_MS + 1);
  CU_ASSERT (bt_next_admission (admission, NOW_MS + 1, &decision));
  CU_ASSERT (decision.action == BT_ADMISSION_ADMIT && decision.id == 1);
  bt_remove_room_request (ctx, asker, 1);
  CU_ASSERT_EQUAL (queue_request (2, 1, NOW_MS + 1), BT_ADMISSION_ADMIT);
  drop_entry ();

  create_entry ();
  ask = ask_first (1, 1, NOW_MS);
  for (int32_t i = 0; i < BT_ROOM_MAX_DENIALS; i++)
    {
      answer (&ask, BT_ASKER_DENIED, 9, NOW_MS + 1);
      advance (NOW_MS + 1);
      ask = *find_taken (BT_ASKER_ASK);
    }
  bt_set_room_app (ctx, asker, "app", false, NOW_MS + 2);
  take_actions ();
  CU_ASSERT_EQUAL (count_taken (BT_ASKER_WITHDRAWN), BT_ROOM_WAITING_ASKS);
  CU_ASSERT (bt_next_admission (admission, NOW_MS + 2, &decision));
  CU_ASSERT_EQUAL (decision.action, BT_ADMISSION_ADMIT);
  CU_ASSERT_EQUAL (bt_record_unasked_start (ctx, asker, engines[0].instance, NOW_MS + 2), 0);
  drop_entry ();
}

/* Guards against requests that the agent does not count: retries and others that did not ask. */
static void
test_unasked_start_is_reported (void)
{
  uint64_t id;

  create_entry ();
  id = bt_record_unasked_start (ctx, asker, engines[0].instance, NOW_MS);
  CU_ASSERT (id != 0);
  bt_record_room_end (ctx, asker, id);
  take_actions ();
  CU_ASSERT_EQUAL_FATAL (taken_count, 2);
  CU_ASSERT (taken[0].kind == BT_ASKER_UNASKED && taken[0].id == id);
  CU_ASSERT (taken[1].kind == BT_ASKER_ENDED && taken[1].id == id);
  drop_entry ();
}

/* Guards against a bound on starts that is derived from a few starts, and one that does not grow
 * with the demand. */
static void
test_burst_follows_the_mean (void)
{
  create_entry ();
  CU_ASSERT_EQUAL (bt_get_room_burst (asker, "app", NOW_MS), 1);
  bt_set_router_entries (router, 40);
  bt_record_unasked_start (ctx, asker, engines[0].instance, NOW_MS);
  CU_ASSERT_EQUAL (bt_get_room_burst (asker, "app", NOW_MS), 1);
  bt_set_router_entries (router, 2);
  /* 100 starts in 2 s; less 2 deviations 80. With 2 entries and 4 engines that is a mean of 8. */
  for (int32_t i = 1; i < 100; i++)
    bt_record_unasked_start (ctx, asker, engines[0].instance, NOW_MS + i * 20);
  CU_ASSERT_EQUAL (bt_get_room_burst (asker, "app", NOW_MS + 1999), 16);
  drop_entry ();
}

/* Guards against a request that asks as fast as the network allows after it was displaced. */
static void
test_displaced_request_pauses (void)
{
  bt_room_action_t ask;
  bt_room_action_t waiting[BT_ROOM_WAITING_ASKS];

  create_entry ();
  ask = ask_first (1, 1, NOW_MS);
  for (int32_t i = 0; i < BT_ROOM_MAX_DENIALS; i++)
    {
      answer (&ask, BT_ASKER_DENIED, 9, NOW_MS + 1);
      advance (NOW_MS + 1);
      ask = *find_taken (BT_ASKER_ASK);
    }
  CU_ASSERT_EQUAL_FATAL (taken_count, BT_ROOM_WAITING_ASKS);
  memcpy (waiting, taken, sizeof waiting);
  for (int32_t i = 0; i < BT_ROOM_WAITING_ASKS; i++)
    answer (&waiting[i], BT_ASKER_DISPLACED, 9, NOW_MS + 5);
  advance (NOW_MS + 6);
  CU_ASSERT_EQUAL (count_taken (BT_ASKER_ASK), 0);
  advance (NOW_MS + 50);
  CU_ASSERT_EQUAL (count_taken (BT_ASKER_ASK), 1);
  drop_entry ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("room_asker", NULL, NULL);
  CU_ADD_TEST (suite, test_overload_uses_all_capacity);
  CU_ADD_TEST (suite, test_entries_die);
  CU_ADD_TEST (suite, test_frames_are_late_and_arrive_twice);
  CU_ADD_TEST (suite, test_agents_never_answer);
  CU_ADD_TEST (suite, test_all_unreserved_is_as_before);
  CU_ADD_TEST (suite, test_grant_is_used_and_reported);
  CU_ADD_TEST (suite, test_grant_goes_to_the_first_in_the_queue);
  CU_ADD_TEST (suite, test_unusable_grants_are_released);
  CU_ADD_TEST (suite, test_denied_request_waits_at_the_least_loaded);
  CU_ADD_TEST (suite, test_unanswered_ask_makes_the_engine_unreserved);
  CU_ADD_TEST (suite, test_pause_of_the_process_is_no_time_out);
  CU_ADD_TEST (suite, test_second_copy_of_a_grant_changes_nothing);
  CU_ADD_TEST (suite, test_requests_are_admitted_when_reservations_end);
  CU_ADD_TEST (suite, test_unasked_start_is_reported);
  CU_ADD_TEST (suite, test_burst_follows_the_mean);
  CU_ADD_TEST (suite, test_displaced_request_pauses);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
