#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/load/room_ledger.h"

enum
{
  LOW = 0,
  NORMAL,
  HIGH,
  LINK = 1,
  OTHER_LINK = 2,
  MAX_REPLIES = 1024,
  START_MS = 1000000,
  OPEN_MS = START_MS + BT_ROOM_WINDOW_MS,
};

static const int64_t second_ms = 1000;
static const int64_t minute_ms = 60000;
static const int64_t second_us = 1000000;

static bt_context_t *ctx;
static bt_room_ledger_t *ledger;
static int64_t now_ms;
static bt_room_reply_t replies[MAX_REPLIES]; /* by id, the last one */
static int32_t reply_count;

static void
take_replies (void)
{
  bt_room_reply_t reply;

  while (bt_next_room_reply (ledger, &reply))
    {
      CU_ASSERT_FATAL (reply.id < MAX_REPLIES);
      replies[reply.id] = reply;
      reply_count++;
    }
}

static void
report (int32_t running, int64_t memory_used, int64_t memory, int64_t started_ms)
{
  const bt_room_report_t state = {
    .running = running, .memory_used = memory_used, .memory = memory, .started_ms = started_ms
  };

  bt_mark_room_report (ledger);
  bt_report_room (ctx, ledger, &state, now_ms);
  take_replies ();
}

static void
open_empty_fixture (void)
{
  ctx = bt_new_context ();
  now_ms = START_MS;
  ledger = bt_new_room_ledger (ctx, now_ms);
  memset (replies, 0, sizeof replies);
  reply_count = 0;
}

static void
open_fixture (void)
{
  open_empty_fixture ();
  now_ms += BT_ROOM_WINDOW_MS;
  report (0, 0, 0, 1);
}

static void
close_fixture (void)
{
  bt_drop_room_ledger (ctx, ledger);
  bt_drop_context (ctx);
}

/* Returns an ask that nothing but the slots limits. */
static bt_room_ask_t
make_ask (uint64_t id, int32_t slots)
{
  const bt_room_ask_t ask = { .id = id,
                              .priority = NORMAL,
                              .target_left_ms = minute_ms,
                              .prompt_tokens = 10,
                              .slots = slots,
                              .burst = BT_ROOM_MAX_BURST,
                              .wait = true,
                              .share = 1 };

  return ask;
}

static void
send_ask (const bt_room_ask_t *ask)
{
  bt_ask_room (ctx, ledger, LINK, ask, now_ms);
  take_replies ();
}

static bt_room_verdict_t
ask_for (uint64_t id, int32_t slots)
{
  const bt_room_ask_t ask = make_ask (id, slots);

  send_ask (&ask);
  return replies[id].verdict;
}

static void
use (bt_room_use_t kind, uint64_t id)
{
  bt_use_room (ctx, ledger, LINK, kind, id, now_ms);
  take_replies ();
}

static void
wait_until (int64_t until_ms)
{
  now_ms = until_ms;
  bt_advance_room (ctx, ledger, now_ms);
  take_replies ();
}

static bt_room_counts_t
count (void)
{
  bt_room_counts_t counts;

  bt_count_room (ledger, now_ms, &counts);
  return counts;
}

/* Fills the engine's only slot with request 1 and lets asks wait for it. */
static void
occupy (void)
{
  CU_ASSERT_EQUAL (ask_for (1, 1), BT_ROOM_GRANTED);
  use (BT_ROOM_STARTED, 1);
}

/* Ends the request in the slot, and starts what is granted then. Returns its id, 0 if none. */
static uint64_t
serve_next (uint64_t running)
{
  uint64_t next = 0;

  for (uint64_t i = 0; i < MAX_REPLIES; i++)
    replies[i].verdict = 0;
  use (BT_ROOM_ENDED, running);
  for (uint64_t i = 0; i < MAX_REPLIES; i++)
    if (replies[i].verdict == BT_ROOM_GRANTED)
      next = i;
  if (next != 0)
    use (BT_ROOM_STARTED, next);
  return next;
}

/* Guards against more requests at an engine than its slots and depth, counted as holds, as requests
 * in flight, and by the engine's own report. */
static void
test_load_stays_below_slots_and_depth (void)
{
  bt_room_ask_t ask = make_ask (3, 1);

  open_fixture ();
  ask.depth = 1;
  ask.wait = false;
  CU_ASSERT_EQUAL (ask_for (1, 2), BT_ROOM_GRANTED);
  CU_ASSERT_EQUAL (replies[1].load, 1);
  CU_ASSERT_EQUAL (replies[1].hold_ms, BT_ROOM_HOLD_MS);
  use (BT_ROOM_STARTED, 1);
  CU_ASSERT_EQUAL (ask_for (2, 2), BT_ROOM_GRANTED);
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[3].verdict, BT_ROOM_DENIED);
  CU_ASSERT_EQUAL (replies[3].load, 2);
  use (BT_ROOM_RELEASED, 2);
  /* The engine runs two requests, of which the ledger knows one. */
  report (2, 0, 0, 1);
  ask.id = 4;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[4].verdict, BT_ROOM_DENIED);
  use (BT_ROOM_ENDED, 1);
  ask.id = 5;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[5].verdict, BT_ROOM_GRANTED);
  close_fixture ();
}

/* Guards against starts that a report does not contain: they come on top of it until the next. */
static void
test_starts_since_the_report_are_added (void)
{
  const bt_room_report_t state = { .running = 3 };

  open_fixture ();
  ask_for (1, 10);
  bt_mark_room_report (ledger);
  use (BT_ROOM_STARTED, 1);
  bt_report_room (ctx, ledger, &state, now_ms);
  CU_ASSERT_EQUAL (count ().load, 4);
  report (4, 0, 0, 0);
  CU_ASSERT_EQUAL (count ().load, 4);
  use (BT_ROOM_ENDED, 1);
  CU_ASSERT_EQUAL (count ().load, 3);
  close_fixture ();
}

/* Guards against an engine whose report can no longer be read and that seems full for ever. */
static void
test_old_report_is_not_used (void)
{
  open_fixture ();
  report (5, 0, 0, 1);
  CU_ASSERT_EQUAL (ask_for (1, 5), 0);
  CU_ASSERT_EQUAL (bt_get_room_wake_ms (ledger, now_ms), now_ms + BT_ROOM_REPORT_MS + 1);
  wait_until (now_ms + BT_ROOM_REPORT_MS + 1);
  CU_ASSERT_EQUAL (replies[1].verdict, BT_ROOM_GRANTED);
  close_fixture ();
}

/* Guards against herding: more than `burst` starts at one engine within the window. Unasked starts
 * count as well. */
static void
test_starts_within_the_window_are_bounded (void)
{
  bt_room_ask_t ask = make_ask (3, 10);

  open_fixture ();
  ask.burst = 2;
  ask_for (1, 10);
  use (BT_ROOM_STARTED, 1);
  now_ms += 100;
  use (BT_ROOM_UNASKED, 2);
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[3].verdict, 0);
  CU_ASSERT_EQUAL (bt_get_room_wake_ms (ledger, now_ms), OPEN_MS + BT_ROOM_WINDOW_MS);
  ask.id = 4;
  ask.wait = false;
  ask.priority = HIGH;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[4].verdict, BT_ROOM_DENIED);
  CU_ASSERT_EQUAL (replies[4].wait_ms, BT_ROOM_WINDOW_MS - 100);
  wait_until (OPEN_MS + BT_ROOM_WINDOW_MS - 1);
  CU_ASSERT_EQUAL (replies[3].verdict, 0);
  wait_until (OPEN_MS + BT_ROOM_WINDOW_MS);
  CU_ASSERT_EQUAL (replies[3].verdict, BT_ROOM_GRANTED);
  close_fixture ();
}

/* Guards against an idle engine while asks wait, and against grants without a request that use up
 * the window: of two asks for one request the second grant is released. */
static void
test_idle_engine_and_released_grants_do_not_wait_for_the_window (void)
{
  bt_room_ask_t ask = make_ask (1, 10);

  open_fixture ();
  ask.burst = 1;
  send_ask (&ask);
  use (BT_ROOM_STARTED, 1);
  use (BT_ROOM_ENDED, 1);
  ask.id = 2;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[2].verdict, BT_ROOM_GRANTED);
  use (BT_ROOM_STARTED, 2);
  wait_until (now_ms + BT_ROOM_WINDOW_MS);
  ask.id = 3;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[3].verdict, BT_ROOM_GRANTED);
  ask.id = 4;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[4].verdict, 0);
  use (BT_ROOM_RELEASED, 3);
  CU_ASSERT_EQUAL (replies[4].verdict, BT_ROOM_GRANTED);
  close_fixture ();
}

/* Guards against prompts that the engine's memory cannot take: tokens of holds and of requests that
 * started after the report count, and an idle engine takes any. */
static void
test_memory_suffices_for_held_and_unreported_tokens (void)
{
  bt_room_ask_t ask = make_ask (1, 10);

  open_fixture ();
  report (1, 500, 1000, 1);
  ask.prompt_tokens = 150;
  ask.answer_tokens = 50;
  send_ask (&ask);
  ask.id = 2;
  send_ask (&ask);
  ask.id = 3;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[1].verdict, BT_ROOM_GRANTED);
  CU_ASSERT_EQUAL (replies[2].verdict, BT_ROOM_GRANTED);
  CU_ASSERT_EQUAL (replies[3].verdict, 0);
  use (BT_ROOM_STARTED, 1);
  use (BT_ROOM_STARTED, 2);
  CU_ASSERT_EQUAL (replies[3].verdict, 0);
  report (3, 900, 1000, 1);
  CU_ASSERT_EQUAL (replies[3].verdict, 0);
  report (3, 800, 1000, 1);
  CU_ASSERT_EQUAL (replies[3].verdict, BT_ROOM_GRANTED);
  close_fixture ();

  open_fixture ();
  report (0, 0, 100, 1);
  ask.id = 1;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[1].verdict, BT_ROOM_GRANTED);
  close_fixture ();
}

/* Guards against a short prompt that is late because long ones are read before it. */
static void
test_prefill_backlog_leaves_time (void)
{
  bt_room_ask_t ask = make_ask (1, 10);

  open_fixture ();
  ask.read_us = 300000;
  send_ask (&ask);
  use (BT_ROOM_STARTED, 1);
  ask.id = 2;
  ask.target_left_ms = 301;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[2].verdict, BT_ROOM_GRANTED);
  use (BT_ROOM_RELEASED, 2);
  ask.id = 3;
  ask.target_left_ms = 300;
  ask.wait = false;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[3].verdict, BT_ROOM_DENIED);
  CU_ASSERT_EQUAL (replies[3].wait_ms, 300);
  ask.id = 4;
  ask.wait = true;
  ask.target_left_ms = -1;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[4].verdict, 0);
  wait_until (OPEN_MS + 300);
  CU_ASSERT_EQUAL (replies[4].verdict, BT_ROOM_GRANTED);
  close_fixture ();
}

/* Guards against an ask that gets capacity for which a more urgent one waits at another entry. */
static void
test_no_ask_passes_a_waiting_one (void)
{
  bt_room_ask_t ask = make_ask (2, 1);

  open_fixture ();
  occupy ();
  ask.priority = HIGH;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[2].verdict, 0);
  /* This one would have a slot. */
  ask = make_ask (3, 5);
  ask.wait = false;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[3].verdict, BT_ROOM_DENIED);
  CU_ASSERT_EQUAL (replies[3].waiting, 1);
  ask.id = 4;
  ask.priority = HIGH;
  ask.target_left_ms = -1;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[4].verdict, BT_ROOM_DENIED);
  close_fixture ();
}

/* Guards against a wrong order across entries: in time, priority, account's share, age. */
static void
test_order_of_waiting_asks (void)
{
  static const uint64_t order[] = { 5, 4, 6, 2, 7, 3 };
  bt_room_ask_t ask = make_ask (2, 1);
  uint64_t running = 1;

  open_fixture ();
  occupy (); /* account 0 has one grant */
  send_ask (&ask);
  ask.id = 3;
  ask.priority = HIGH;
  ask.target_left_ms = -1;
  send_ask (&ask);
  ask.id = 4;
  ask.priority = NORMAL;
  ask.target_left_ms = second_ms;
  ask.account = 9;
  send_ask (&ask);
  ask.id = 5;
  ask.priority = HIGH;
  ask.account = 0;
  send_ask (&ask);
  ask.id = 6;
  ask.priority = NORMAL;
  ask.account = 9;
  ask.share = 4;
  send_ask (&ask);
  ask.id = 7;
  ask.priority = NORMAL;
  ask.account = 0;
  ask.share = 1;
  send_ask (&ask);
  for (size_t i = 0; i < sizeof order / sizeof order[0]; i++)
    {
      running = serve_next (running);
      CU_ASSERT_EQUAL (running, order[i]);
    }
  close_fixture ();
}

/* Guards against shares that have no weight: of two accounts with a grant each, the one with the
 * greater share goes first, although it asked later. */
static void
test_shares_weight_the_order (void)
{
  bt_room_ask_t ask = make_ask (2, 2);

  open_fixture ();
  ask_for (1, 2);
  use (BT_ROOM_STARTED, 1);
  ask.account = 9;
  ask.share = 4;
  send_ask (&ask);
  use (BT_ROOM_STARTED, 2);
  ask_for (3, 2);
  ask.id = 4;
  send_ask (&ask);
  CU_ASSERT_EQUAL (serve_next (1), 4);
  CU_ASSERT_EQUAL (serve_next (2), 3);
  close_fixture ();
}

/* Guards against an ask that keeps its place before others after it has become late. */
static void
test_ask_that_becomes_late_goes_back (void)
{
  bt_room_ask_t ask = make_ask (2, 1);

  open_fixture ();
  occupy ();
  ask.priority = HIGH;
  ask.target_left_ms = 100;
  send_ask (&ask);
  ask_for (3, 1);
  CU_ASSERT_EQUAL (bt_get_room_wake_ms (ledger, now_ms), now_ms + 101);
  wait_until (now_ms + 101);
  CU_ASSERT_EQUAL (serve_next (1), 3);
  CU_ASSERT_EQUAL (serve_next (3), 2);
  close_fixture ();
}

/* Guards against late asks that never get capacity while asks in time keep coming. Every eighth
 * grant is for the oldest late one, although the prefill backlog is never empty. */
static void
test_late_asks_are_not_starved (void)
{
  bt_room_ask_t ask = make_ask (2, 1);
  int32_t late[MAX_REPLIES] = { 0 };
  int32_t count_late = 0;
  uint64_t running = 1;

  open_fixture ();
  occupy ();
  ask.target_left_ms = -1;
  ask.priority = HIGH;
  for (ask.id = 2; ask.id < 4; ask.id++)
    {
      send_ask (&ask);
      ask.priority = LOW;
    }
  ask.target_left_ms = minute_ms;
  ask.priority = HIGH;
  ask.read_us = second_us;
  for (ask.id = 10; ask.id < 40; ask.id++)
    send_ask (&ask);
  for (int32_t i = 1; i <= 20; i++)
    {
      now_ms++;
      running = serve_next (running);
      if (running < 10)
        late[count_late++] = i;
    }
  CU_ASSERT_EQUAL (count_late, 2);
  CU_ASSERT_EQUAL (late[0], BT_ROOM_LATE_INTERVAL);
  CU_ASSERT_EQUAL (late[1], 2 * BT_ROOM_LATE_INTERVAL);
  close_fixture ();
}

/* Guards against a list of waiting asks without bound, and against urgent asks that find it full:
 * the last in order is told at once. The oldest late one keeps its place. */
static void
test_full_list_displaces_the_last (void)
{
  bt_room_ask_t ask = make_ask (2, 1);

  open_fixture ();
  occupy ();
  ask.target_left_ms = -1;
  ask.priority = LOW;
  send_ask (&ask);
  ask.target_left_ms = second_ms;
  for (ask.id = 3; count ().waiting < BT_ROOM_MAX_WAITING; ask.id++)
    send_ask (&ask);
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[ask.id].verdict, BT_ROOM_DENIED);
  ask.id++;
  ask.priority = HIGH;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[ask.id].verdict, 0);
  CU_ASSERT_EQUAL (replies[ask.id - 2].verdict, BT_ROOM_DISPLACED);
  CU_ASSERT_EQUAL (replies[2].verdict, 0);
  CU_ASSERT_EQUAL (count ().waiting, BT_ROOM_MAX_WAITING);
  CU_ASSERT_EQUAL (count ().displaced, 1);
  CU_ASSERT_EQUAL (serve_next (1), ask.id);
  close_fixture ();
}

/* Guards against an ask that can never be granted and holds up all others. */
static void
test_ask_without_slots_does_not_wait (void)
{
  open_fixture ();
  CU_ASSERT_EQUAL (ask_for (1, 0), BT_ROOM_DENIED);
  CU_ASSERT_EQUAL (count ().waiting, 0);
  close_fixture ();
}

/* Guards against effects of frames that arrive twice, late or in another order. */
static void
test_duplicate_and_late_frames_change_nothing (void)
{
  bt_room_counts_t before;

  open_fixture ();
  ask_for (1, 3);
  ask_for (1, 3);
  CU_ASSERT_EQUAL (reply_count, 1);
  use (BT_ROOM_STARTED, 1);
  use (BT_ROOM_STARTED, 1);
  use (BT_ROOM_RELEASED, 1);
  use (BT_ROOM_WITHDRAWN, 1);
  use (BT_ROOM_UNASKED, 1);
  ask_for (1, 3);
  CU_ASSERT_EQUAL (count ().in_flight, 1);
  CU_ASSERT_EQUAL (count ().held, 0);
  use (BT_ROOM_UNASKED, 2);
  use (BT_ROOM_ENDED, 2);
  use (BT_ROOM_ENDED, 1);
  use (BT_ROOM_ENDED, 3);
  before = count ();
  CU_ASSERT_EQUAL (before.load, 0);
  for (uint64_t id = 1; id <= 3; id++)
    for (int32_t kind = BT_ROOM_STARTED; kind <= BT_ROOM_WITHDRAWN; kind++)
      use ((bt_room_use_t)kind, id);
  ask_for (1, 3);
  CU_ASSERT_EQUAL (count ().load, 0);
  CU_ASSERT_EQUAL (count ().granted, 1);
  CU_ASSERT_EQUAL (count ().ignored, before.ignored + 16);
  /* A grant may be on its way when its ask is withdrawn, and still be used. */
  ask_for (4, 3);
  use (BT_ROOM_WITHDRAWN, 4);
  CU_ASSERT_EQUAL (count ().held, 1);
  close_fixture ();
}

/* Guards against capacity that a hold takes for ever when the grant was lost or its entry hangs. A
 * start that arrives after the hold has expired changes nothing. */
static void
test_unused_holds_expire (void)
{
  open_fixture ();
  ask_for (1, 1);
  ask_for (2, 1);
  CU_ASSERT_EQUAL (bt_get_room_wake_ms (ledger, now_ms), now_ms + BT_ROOM_HOLD_MS);
  wait_until (now_ms + BT_ROOM_HOLD_MS - 1);
  CU_ASSERT_EQUAL (replies[2].verdict, 0);
  wait_until (now_ms + 1);
  CU_ASSERT_EQUAL (replies[2].verdict, BT_ROOM_GRANTED);
  CU_ASSERT_EQUAL (count ().expired, 1);
  use (BT_ROOM_STARTED, 1);
  CU_ASSERT_EQUAL (count ().in_flight, 0);
  CU_ASSERT_EQUAL (count ().ignored, 1);
  close_fixture ();
}

/* Guards against capacity that a dead entry keeps, and asks of it that are granted. The engine's
 * report still counts its requests until it shows that they have ended. */
static void
test_link_down_removes_what_came_on_it (void)
{
  bt_room_ask_t ask = make_ask (4, 3);

  open_fixture ();
  ask_for (1, 3);
  use (BT_ROOM_STARTED, 1);
  report (1, 0, 0, 1);
  ask_for (2, 3);
  bt_ask_room (ctx, ledger, OTHER_LINK, &ask, now_ms);
  take_replies ();
  CU_ASSERT_EQUAL (ask_for (3, 3), 0);
  ask.id = 5;
  bt_ask_room (ctx, ledger, OTHER_LINK, &ask, now_ms);
  bt_remove_room_link (ctx, ledger, LINK, now_ms);
  take_replies ();
  CU_ASSERT_EQUAL (replies[3].verdict, 0);
  CU_ASSERT_EQUAL (replies[5].verdict, BT_ROOM_GRANTED);
  CU_ASSERT_EQUAL (count ().load, 3);
  CU_ASSERT_EQUAL (count ().waiting, 0);
  report (0, 0, 0, 1);
  CU_ASSERT_EQUAL (count ().load, 2);
  close_fixture ();
}

/* Guards against what the holds of a dead entry leave behind: tokens, prefill backlog and starts in
 * the window. */
static void
test_link_down_cancels_its_holds (void)
{
  bt_room_ask_t ask = make_ask (1, 4);

  open_fixture ();
  report (1, 0, 100, 1);
  ask.prompt_tokens = 60;
  ask.read_us = second_us;
  ask.burst = 1;
  ask.target_left_ms = second_ms;
  send_ask (&ask);
  CU_ASSERT_EQUAL (replies[1].verdict, BT_ROOM_GRANTED);
  bt_remove_room_link (ctx, ledger, LINK, now_ms);
  ask.id = 2;
  bt_ask_room (ctx, ledger, OTHER_LINK, &ask, now_ms);
  take_replies ();
  CU_ASSERT_EQUAL (replies[2].verdict, BT_ROOM_GRANTED);
  close_fixture ();
}

/* Guards against the late end of a replaced link that removes what its entry has asked for on the
 * new one. The ids are those of one incarnation and may be equal. */
static void
test_replaced_link_keeps_the_new_one (void)
{
  const bt_room_ask_t ask = make_ask (1, 3);

  open_fixture ();
  send_ask (&ask);
  bt_ask_room (ctx, ledger, OTHER_LINK, &ask, now_ms);
  bt_use_room (ctx, ledger, OTHER_LINK, BT_ROOM_STARTED, 1, now_ms);
  bt_remove_room_link (ctx, ledger, LINK, now_ms);
  take_replies ();
  CU_ASSERT_EQUAL (count ().held, 0);
  CU_ASSERT_EQUAL (count ().in_flight, 1);
  close_fixture ();
}

/* Guards against requests of an engine's former incarnation that take capacity of the new one, and
 * against asks that are lost when it restarts. */
static void
test_engine_restart_removes_all_but_asks (void)
{
  open_fixture ();
  report (2, 0, 0, 1);
  ask_for (1, 4);
  ask_for (2, 4);
  use (BT_ROOM_STARTED, 1);
  CU_ASSERT_EQUAL (ask_for (3, 4), 0);
  report (3, 0, 0, 0);
  CU_ASSERT_EQUAL (count ().in_flight, 1);
  report (0, 0, 0, 2);
  CU_ASSERT_EQUAL (count ().in_flight, 0);
  CU_ASSERT_EQUAL (replies[3].verdict, BT_ROOM_GRANTED);
  use (BT_ROOM_STARTED, 2);
  use (BT_ROOM_ENDED, 1);
  CU_ASSERT_EQUAL (count ().load, 1);
  close_fixture ();
}

/* Guards against an agent that has just started, knows of no request, and fills its busy engine
 * once more, or adds its burst to that of the agent before it. An idle engine is used at once, and
 * one whose report can't be read after a while. */
static void
test_restarted_agent_does_not_fill_its_engine_again (void)
{
  open_empty_fixture ();
  CU_ASSERT_EQUAL (ask_for (1, 4), 0);
  report (3, 0, 0, 1);
  CU_ASSERT_EQUAL (replies[1].verdict, 0);
  CU_ASSERT_EQUAL (bt_get_room_wake_ms (ledger, now_ms), START_MS + BT_ROOM_WINDOW_MS);
  wait_until (START_MS + BT_ROOM_WINDOW_MS);
  CU_ASSERT_EQUAL (replies[1].verdict, BT_ROOM_GRANTED);
  CU_ASSERT_EQUAL (ask_for (2, 4), 0);
  close_fixture ();

  open_empty_fixture ();
  CU_ASSERT_EQUAL (ask_for (1, 4), 0);
  report (0, 0, 0, 1);
  CU_ASSERT_EQUAL (replies[1].verdict, BT_ROOM_GRANTED);
  close_fixture ();

  open_empty_fixture ();
  CU_ASSERT_EQUAL (ask_for (1, 4), 0);
  wait_until (START_MS + BT_ROOM_WINDOW_MS);
  CU_ASSERT_EQUAL (replies[1].verdict, BT_ROOM_GRANTED);
  close_fixture ();
}

/* Guards against an entry that makes the ledger grow without bound by starts that never end. */
static void
test_records_are_bounded (void)
{
  open_fixture ();
  for (uint64_t id = 1; id <= BT_ROOM_MAX_KNOWN + 10; id++)
    use (BT_ROOM_UNASKED, id);
  CU_ASSERT_EQUAL (count ().in_flight, BT_ROOM_MAX_KNOWN);
  CU_ASSERT_EQUAL (count ().ignored, 10);
  CU_ASSERT_EQUAL (ask_for (0, 2 * BT_ROOM_MAX_KNOWN), BT_ROOM_DENIED);
  close_fixture ();
}

/* Guards against wake-ups of an agent that nobody asks. */
static void
test_idle_ledger_never_wakes (void)
{
  open_fixture ();
  CU_ASSERT_EQUAL (bt_get_room_wake_ms (ledger, now_ms), INT64_MAX);
  use (BT_ROOM_UNASKED, 1);
  CU_ASSERT_EQUAL (bt_get_room_wake_ms (ledger, now_ms), INT64_MAX);
  close_fixture ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("room ledger", NULL, NULL);
  CU_ADD_TEST (suite, test_load_stays_below_slots_and_depth);
  CU_ADD_TEST (suite, test_starts_since_the_report_are_added);
  CU_ADD_TEST (suite, test_old_report_is_not_used);
  CU_ADD_TEST (suite, test_starts_within_the_window_are_bounded);
  CU_ADD_TEST (suite, test_idle_engine_and_released_grants_do_not_wait_for_the_window);
  CU_ADD_TEST (suite, test_memory_suffices_for_held_and_unreported_tokens);
  CU_ADD_TEST (suite, test_prefill_backlog_leaves_time);
  CU_ADD_TEST (suite, test_no_ask_passes_a_waiting_one);
  CU_ADD_TEST (suite, test_order_of_waiting_asks);
  CU_ADD_TEST (suite, test_shares_weight_the_order);
  CU_ADD_TEST (suite, test_ask_that_becomes_late_goes_back);
  CU_ADD_TEST (suite, test_late_asks_are_not_starved);
  CU_ADD_TEST (suite, test_full_list_displaces_the_last);
  CU_ADD_TEST (suite, test_ask_without_slots_does_not_wait);
  CU_ADD_TEST (suite, test_duplicate_and_late_frames_change_nothing);
  CU_ADD_TEST (suite, test_unused_holds_expire);
  CU_ADD_TEST (suite, test_link_down_removes_what_came_on_it);
  CU_ADD_TEST (suite, test_link_down_cancels_its_holds);
  CU_ADD_TEST (suite, test_replaced_link_keeps_the_new_one);
  CU_ADD_TEST (suite, test_engine_restart_removes_all_but_asks);
  CU_ADD_TEST (suite, test_restarted_agent_does_not_fill_its_engine_again);
  CU_ADD_TEST (suite, test_records_are_bounded);
  CU_ADD_TEST (suite, test_idle_ledger_never_wakes);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
