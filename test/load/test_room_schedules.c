#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/load/room_ledger.h"

/* Schedules in made-up time, one millisecond a step: entries around the ledger of one engine.
 * Frames take up to 20 ms and some longer than a hold lasts; some arrive twice, and with faults
 * links lose what they carry, entries die, and the agent and the engine restart. */
enum
{
  RUN_MS = 20000,
  SLOTS = 8,
  DEPTH = 2,
  BURST = 4,
  NO_BURST = 100, /* in every other seed the slots are the limit */
  MAX_ENTRIES = 432,
  MAX_FRAMES = 65536,
  MAX_REQUESTS = 65536,
  MAX_DELAY_MS = 20,
  LATE_DELAY_MS = 400,
  USE_WITHIN_MS = 100,
  GIVE_UP_MS = 2000,
  REPORT_MS = 100,
  REPORT_CALL_MS = 4,
  SAMPLES = 10, /* taken within the longest run */
  LINK_IDLE_MS = 1600,
  MAX_IDLE_MS = 150,
  PER_MILLE = 1000,
  SEEDS = 12,
};

typedef enum request_state
{
  ASKED = 0,
  GRANTED,
  RUNNING,
  DONE,
} request_state_t;

typedef struct request
{
  int32_t entry;
  uint64_t link;
  request_state_t state;
  bool unasked;
  bool seen;          /* the ledger knows that it runs */
  bool forgotten;     /* the ledger knew, and its link or the agent ended */
  int64_t due_ms;     /* of the next change of its state */
  int64_t granted_ms; /* by the agent */
  int32_t grant_order;
  bool granted_idle;
} request_t;

typedef struct frame
{
  int64_t due_ms;
  uint64_t link;
  uint64_t id;
  int32_t use; /* a bt_room_use_t, or ASK or REPLY */
  bt_room_verdict_t verdict;
} frame_t;

enum
{
  ASK = 100,
  REPLY,
};

typedef struct link_state
{
  uint64_t link;
  int64_t last_ms[2]; /* delivery of the last frame, to the agent and to the entry */
} link_state_t;

typedef struct world
{
  bt_random_t random;
  int32_t entries;
  int32_t burst;
  bt_context_t *ctx;
  bt_room_ledger_t *ledger;
  int64_t now_ms;
  link_state_t links[MAX_ENTRIES];
  uint64_t next_link;
  frame_t frames[MAX_FRAMES];
  int32_t frame_count;
  request_t requests[MAX_REQUESTS];
  int32_t request_count;
  int32_t first_open;
  int32_t running;
  int32_t running_unasked;
  int32_t running_unseen;
  int32_t running_forgotten;
  int64_t engine_start_ms;
  int32_t sampled;
  int32_t sampled_ends[SAMPLES]; /* ends in transit to the agent at the last samples */
  int32_t grants;
  uint64_t ended_links[MAX_FRAMES]; /* links whose end the agent learns later */
  int64_t ended_ms[MAX_FRAMES];
  int32_t ended_count;
  int32_t served;
  int32_t excess; /* highest load beyond the stated bound */
  int32_t burst_excess;
  int64_t idle_since_ms;
  int64_t longest_idle_ms;
} world_t;

static world_t world;

static bool
happens (int32_t per_mille)
{
  return (int32_t)bt_random_below (&world.random, PER_MILLE) < per_mille;
}

static int64_t
draw_ms (int64_t least_ms, int64_t most_ms)
{
  return least_ms + (int64_t)bt_random_below (&world.random, (uint64_t)(most_ms - least_ms + 1));
}

/* Sends a frame; frames on one link arrive in order. */
static void
send_frame (int32_t entry, uint64_t link, int32_t use, uint64_t id, bt_room_verdict_t verdict)
{
  link_state_t *state = &world.links[entry];
  int64_t *last_ms = &state->last_ms[use == REPLY];
  int64_t due_ms = world.now_ms + draw_ms (1, happens (10) ? LATE_DELAY_MS : MAX_DELAY_MS);

  if (state->link != link)
    return;
  if (due_ms < *last_ms)
    due_ms = *last_ms;
  *last_ms = due_ms;
  for (int32_t copies = happens (20) ? 2 : 1; copies > 0; copies--)
    {
      CU_ASSERT_FATAL (world.frame_count < MAX_FRAMES);
      world.frames[world.frame_count++] = (frame_t){ due_ms, link, id, use, verdict };
    }
}

static void
report_use (uint64_t id, bt_room_use_t use)
{
  send_frame (world.requests[id].entry, world.requests[id].link, use, id, 0);
}

static void
count_running (const request_t *request, int32_t change)
{
  world.running += change;
  world.running_unasked += request->unasked ? change : 0;
  world.running_unseen += !request->seen && !request->unasked && !request->forgotten ? change : 0;
  world.running_forgotten += request->forgotten ? change : 0;
}

static void
start (uint64_t id, bool unasked)
{
  request_t *request = &world.requests[id];

  request->state = RUNNING;
  request->unasked = unasked;
  request->due_ms = world.now_ms + draw_ms (50, 900);
  count_running (request, 1);
  world.served++;
  report_use (id, unasked ? BT_ROOM_UNASKED : BT_ROOM_STARTED);
}

static void
end (uint64_t id)
{
  request_t *request = &world.requests[id];

  if (request->state == RUNNING)
    count_running (request, -1);
  request->state = DONE;
}

static void
mark_seen (uint64_t id)
{
  request_t *request = &world.requests[id];

  if (request->state == RUNNING)
    count_running (request, -1);
  request->seen = true;
  if (request->state == RUNNING)
    count_running (request, 1);
}

/* The ledger loses what it knew of requests on a link, or on all links. */
static void
forget (uint64_t link)
{
  for (int32_t i = world.first_open; i < world.request_count; i++)
    if (world.requests[i].seen && (link == 0 || world.requests[i].link == link))
      {
        request_t *request = &world.requests[i];

        if (request->state == RUNNING)
          count_running (request, -1);
        request->forgotten = true;
        if (request->state == RUNNING)
          count_running (request, 1);
      }
}

static void
take_replies (void)
{
  bt_room_reply_t reply;

  while (bt_next_room_reply (world.ledger, &reply))
    {
      request_t *request = &world.requests[reply.id];

      if (reply.verdict == BT_ROOM_GRANTED)
        {
          request->granted_ms = world.now_ms;
          request->grant_order = world.grants++;
          request->granted_idle = reply.load <= 1;
        }
      send_frame (request->entry, reply.link, REPLY, reply.id, reply.verdict);
    }
}

static void
deliver_to_agent (const frame_t *frame)
{
  const bt_room_ask_t ask = { .id = frame->id,
                              .priority = (int32_t)(frame->id % 3),
                              .target_left_ms = 400,
                              .prompt_tokens = 100,
                              .answer_tokens = 100,
                              .read_us = 20000,
                              .slots = SLOTS,
                              .depth = DEPTH,
                              .burst = world.burst,
                              .wait = true,
                              .account = frame->id % 5,
                              .share = 1 };
  bt_room_counts_t before;
  bt_room_counts_t after;

  if (frame->use == ASK)
    bt_ask_room (world.ctx, world.ledger, frame->link, &ask, world.now_ms);
  else
    {
      bt_advance_room (world.ctx, world.ledger, world.now_ms);
      take_replies ();
      bt_count_room (world.ledger, world.now_ms, &before);
      bt_use_room (world.ctx, world.ledger, frame->link, (bt_room_use_t)frame->use, frame->id,
                   world.now_ms);
      bt_count_room (world.ledger, world.now_ms, &after);
      if (frame->use <= BT_ROOM_UNASKED && after.ignored == before.ignored)
        mark_seen (frame->id);
      if (frame->use == BT_ROOM_UNASKED && after.ignored == before.ignored)
        {
          world.requests[frame->id].granted_ms = world.now_ms;
          world.requests[frame->id].grant_order = world.grants++;
        }
    }
  take_replies ();
}

static void
deliver_to_entry (const frame_t *frame)
{
  request_t *request = &world.requests[frame->id];

  if (frame->verdict == BT_ROOM_GRANTED && request->state == ASKED)
    {
      request->state = GRANTED;
      request->due_ms = world.now_ms + (happens (200) ? draw_ms (0, USE_WITHIN_MS) : 0);
    }
  else if (frame->verdict == BT_ROOM_GRANTED && request->state == DONE)
    report_use (frame->id, BT_ROOM_RELEASED);
  else if (request->state == ASKED)
    request->state = DONE;
}

static void
deliver_frames (void)
{
  const int32_t count = world.frame_count;
  int32_t kept = 0;
  static frame_t due[MAX_FRAMES];
  int32_t due_count = 0;

  for (int32_t i = 0; i < count; i++)
    if (world.frames[i].due_ms <= world.now_ms)
      due[due_count++] = world.frames[i];
    else
      world.frames[kept++] = world.frames[i];
  world.frame_count = kept;
  for (int32_t i = 0; i < due_count; i++)
    if (due[i].use == REPLY)
      deliver_to_entry (&due[i]);
    else
      deliver_to_agent (&due[i]);
}

static void
step_requests (void)
{
  while (world.first_open < world.request_count && world.requests[world.first_open].state == DONE)
    world.first_open++;
  for (int32_t i = world.first_open; i < world.request_count; i++)
    {
      request_t *request = &world.requests[i];

      if (request->state == DONE || request->due_ms > world.now_ms)
        continue;
      if (request->state == ASKED)
        {
          end ((uint64_t)i);
          report_use ((uint64_t)i, BT_ROOM_WITHDRAWN);
        }
      else if (request->state == RUNNING)
        {
          end ((uint64_t)i);
          report_use ((uint64_t)i, BT_ROOM_ENDED);
        }
      else if (happens (50))
        {
          end ((uint64_t)i);
          report_use ((uint64_t)i, BT_ROOM_RELEASED);
        }
      else
        start ((uint64_t)i, false);
    }
}

/* Requests come at about the rate that the slots serve, in waves of ten seconds. */
static void
add_request (void)
{
  const bool peak = world.now_ms % 10000 < 5000;
  request_t *request = &world.requests[world.request_count];

  if (!happens (peak ? 25 : 10))
    return;
  CU_ASSERT_FATAL (world.request_count < MAX_REQUESTS);
  memset (request, 0, sizeof *request);
  request->entry = (int32_t)bt_random_below (&world.random, (uint64_t)world.entries);
  request->link = world.links[request->entry].link;
  request->due_ms = world.now_ms + GIVE_UP_MS;
  world.request_count++;
  if (happens (20))
    start ((uint64_t)world.request_count - 1, true);
  else
    send_frame (request->entry, request->link, ASK, (uint64_t)world.request_count - 1, 0);
}

/* Ends a link with all that it carries. The agent learns of it at once or when it is idle. */
static void
replace_link (int32_t entry, int64_t learns_ms)
{
  int32_t kept = 0;

  for (int32_t i = 0; i < world.frame_count; i++)
    if (world.frames[i].link != world.links[entry].link)
      world.frames[kept++] = world.frames[i];
  world.frame_count = kept;
  world.ended_links[world.ended_count] = world.links[entry].link;
  world.ended_ms[world.ended_count++] = learns_ms;
  world.links[entry] = (link_state_t){ .link = world.next_link++ };
}

static void
end_requests (int32_t entry)
{
  for (int32_t i = world.first_open; i < world.request_count; i++)
    if (entry < 0 || world.requests[i].entry == entry)
      end ((uint64_t)i);
}

static void
add_faults (void)
{
  const int32_t entry = (int32_t)bt_random_below (&world.random, (uint64_t)world.entries);

  if (happens (2))
    {
      /* The entry dies, or only its link ends. */
      if (happens (500))
        end_requests (entry);
      replace_link (entry, world.now_ms + (happens (500) ? 0 : LINK_IDLE_MS));
    }
  if (world.now_ms % 4000 == 3900)
    {
      end_requests (-1);
      world.engine_start_ms = world.now_ms;
    }
  if (world.now_ms % 7000 == 6950)
    {
      for (int32_t i = 0; i < world.entries; i++)
        replace_link (i, world.now_ms);
      world.ended_count = 0;
      bt_drop_room_ledger (world.ctx, world.ledger);
      world.ledger = bt_new_room_ledger (world.ctx, world.now_ms);
      forget (0);
    }
}

static void
end_links (void)
{
  int32_t kept = 0;

  for (int32_t i = 0; i < world.ended_count; i++)
    if (world.ended_ms[i] <= world.now_ms)
      {
        bt_remove_room_link (world.ctx, world.ledger, world.ended_links[i], world.now_ms);
        take_replies ();
        forget (world.ended_links[i]);
      }
    else
      {
        world.ended_links[kept] = world.ended_links[i];
        world.ended_ms[kept++] = world.ended_ms[i];
      }
  world.ended_count = kept;
}

static void
step_reports (void)
{
  const bt_room_report_t report = { .running = world.sampled,
                                    .memory_used = world.sampled,
                                    .memory = 100000,
                                    .started_ms = world.engine_start_ms };
  const int64_t phase = world.now_ms % REPORT_MS;
  int32_t *ends = &world.sampled_ends[world.now_ms / REPORT_MS % SAMPLES];

  if (phase == 0)
    bt_mark_room_report (world.ledger);
  else if (phase == REPORT_CALL_MS / 2)
    {
      world.sampled = world.running;
      *ends = 0;
      for (int32_t i = 0; i < world.frame_count; i++)
        *ends += world.frames[i].use == BT_ROOM_ENDED;
    }
  else if (phase == REPORT_CALL_MS)
    bt_report_room (world.ctx, world.ledger, &report, world.now_ms);
  take_replies ();
}

/* Returns the load that must not be exceeded. What runs there that the ledger has lost with a link
 * or with the agent is known only by the report, from which the ledger also subtracts ends that the
 * report shows already, if they arrive after it. */
static int32_t
get_bound (void)
{
  int32_t ends = 0;

  for (int32_t i = 0; i < SAMPLES; i++)
    if (world.running_forgotten > 0 && world.sampled_ends[i] > ends)
      ends = world.sampled_ends[i];
  return SLOTS + DEPTH + world.running_unasked + world.running_unseen + ends;
}

/* While the agent does not know yet that a link has ended, requests that ended with its entry count
 * as in flight, so the engine may be idle for longer. */
static void
check_step (void)
{
  bt_room_counts_t counts;

  if (world.running - get_bound () > world.excess)
    world.excess = world.running - get_bound ();
  bt_count_room (world.ledger, world.now_ms, &counts);
  if (counts.waiting == 0 || world.running > 0 || counts.held > 0 || world.ended_count > 0)
    world.idle_since_ms = world.now_ms;
  if (world.now_ms - world.idle_since_ms > world.longest_idle_ms)
    world.longest_idle_ms = world.now_ms - world.idle_since_ms;
}

static int
compare_order (const void *left, const void *right)
{
  const request_t *a = left;
  const request_t *b = right;

  return (a->grant_order > b->grant_order) - (a->grant_order < b->grant_order);
}

/* Counts the grants that became starts: at most the burst within any window that ends with a grant
 * that was not made at an idle engine. */
static void
check_windows (void)
{
  int32_t count = 0;

  for (int32_t i = 0; i < world.request_count; i++)
    if (world.requests[i].seen)
      world.requests[count++] = world.requests[i];
  qsort (world.requests, (size_t)count, sizeof world.requests[0], compare_order);
  for (int32_t i = 0; i < count; i++)
    {
      const request_t *last = &world.requests[i];
      int32_t starts = 1;

      while (starts <= i
             && last->granted_ms - world.requests[i - starts].granted_ms < BT_ROOM_WINDOW_MS)
        starts++;
      if (!last->unasked && !last->granted_idle && starts - world.burst > world.burst_excess)
        world.burst_excess = starts - world.burst;
    }
}

static void
play (int32_t entries, uint64_t seed, bool faults)
{
  memset (&world, 0, sizeof world);
  bt_seed_random (&world.random, seed);
  world.entries = entries;
  world.burst = seed % 2 == 0 ? NO_BURST : BURST;
  world.ctx = bt_new_context ();
  world.ledger = bt_new_room_ledger (world.ctx, 0);
  world.next_link = 1;
  world.engine_start_ms = 1;
  for (int32_t i = 0; i < entries; i++)
    world.links[i].link = world.next_link++;
  for (world.now_ms = 1; world.now_ms < RUN_MS; world.now_ms++)
    {
      if (faults)
        add_faults ();
      end_links ();
      step_requests ();
      add_request ();
      step_reports ();
      deliver_frames ();
      if (bt_get_room_wake_ms (world.ledger, world.now_ms - 1) <= world.now_ms)
        bt_advance_room (world.ctx, world.ledger, world.now_ms);
      take_replies ();
      check_step ();
    }
  check_windows ();
  bt_drop_room_ledger (world.ctx, world.ledger);
  bt_drop_context (world.ctx);
}

static void
play_all (bool faults)
{
  static const int32_t sizes[] = { 2, 8, 42, MAX_ENTRIES };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        play (sizes[i], seed, faults);
        if (world.excess > 0 || world.burst_excess > 0 || world.longest_idle_ms > MAX_IDLE_MS
            || world.served == 0)
          printf ("entries %d, seed %d: load %d and starts %d too high, idle %d ms, served %d\n",
                  sizes[i], (int)seed, world.excess, world.burst_excess, (int)world.longest_idle_ms,
                  world.served);
        CU_ASSERT_EQUAL (world.excess, 0);
        CU_ASSERT_EQUAL (world.burst_excess, 0);
        CU_ASSERT (world.longest_idle_ms <= MAX_IDLE_MS);
        CU_ASSERT (world.served > world.request_count / 3);
      }
}

/* Guards against more load at an engine than its slots and depth, more starts within 400 ms than
 * the burst, and an idle engine while asks wait, with frames that are late or arrive twice. */
static void
test_bounds_hold_with_late_and_duplicate_frames (void)
{
  play_all (false);
}

/* The same with entries that die holding grants, links that are lost and replaced, and restarts of
 * the agent and the engine. */
static void
test_bounds_hold_with_faults (void)
{
  play_all (true);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("room schedules", NULL, NULL);
  CU_ADD_TEST (suite, test_bounds_hold_with_late_and_duplicate_frames);
  CU_ADD_TEST (suite, test_bounds_hold_with_faults);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
