#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "copy_freshness.h"
#include "feed_messages.h"

/* A simulation without processes plays the delays of the words that entries give each other about
 * their copies, each at its least and at its most, and together. */

enum
{
  WATCH_MS = 1200,
  /* Within this time behind its confirmation a change must be in force at a sound follower. */
  APPLY_LIMIT_MS = 2000,
  /* What the platform's client adds to the wait of a watch, as the time limit of the call. */
  CALL_MARGIN_MS = 400,
  GATHER_MS = 200,
  FAILED_PAUSE_MS = 150,
  HEARTBEAT_MS = 250,
  IDLE_MS = 800,
  RELINK_MS = 600,
  WARM_UP_MS = 3000,
  CALM_MS = 60000,
  CALM_WATCH_MS = 1000, /* least wait of a watch while nothing changes */
  END_MS = 7000,
  MAX_CHANGES = 4,
  MAX_MESSAGES = 64,
  STEP_MS = 29, /* between two times of a fault; without a divisor in common with the other times */
  NO_FAULT_MS = 1 << 30,
};

/** What an entry sends another one about its copy. */
typedef struct message
{
  int64_t arrives_ms;
  Bilberry__StoreState state;
} message_t;

/** One direction of a link. */
typedef struct channel
{
  message_t messages[MAX_MESSAGES];
  int32_t count;
  int64_t held_until_ms; /* nothing arrives before */
} channel_t;

/** An entry's copy and the call that it makes on the store. */
typedef struct entry
{
  int64_t revision;
  int64_t as_of_ms;
  int64_t delay_ms;
  bool calling;
  bool lost; /* the call gets no answer */
  bt_answered_watch_t watch;
  int64_t found_revision;
  int64_t paused_until_ms;
  int64_t tried_ms;
  bool failing;
  bool attached;
  int64_t heartbeat_ms;
  int64_t frozen_from_ms;
  int64_t frozen_until_ms;
  int64_t cut_from_ms;
  int64_t cut_until_ms;
  int32_t calls;
} entry_t;

/** Times of one run of the simulation. */
typedef struct scenario
{
  int64_t changes_ms[MAX_CHANGES]; /* ascending */
  int32_t change_count;
  int64_t store_delay_ms; /* each way */
  int64_t link_delay_ms;
  int64_t heartbeat_phase_ms;
  int64_t reader_cut_ms;
  int64_t reader_freeze_ms;
  int64_t reader_thaw_ms;
  int64_t reader_slow_ms; /* it handles each answer so late */
  int64_t reader_replaced_ms;
  int64_t follower_freeze_ms;
  int64_t follower_thaw_ms;
  int64_t link_held_ms; /* from then on */
  int64_t link_held_for_ms;
  int64_t clock_offset_ms; /* of the follower's clock */
} scenario_t;

typedef struct simulation
{
  const scenario_t *scenario;
  bt_freshness_limits_t limits;
  int64_t now_ms;
  entry_t reader;
  entry_t follower;
  channel_t to_follower;
  channel_t to_reader;
  bt_feed_follower_t known; /* what the reader knows of the follower's last message */
  bool linked;
  int64_t linked_ms;
  int64_t received_ms; /* by the follower */
  bool peer_attached;
  int64_t peer_as_of_ms;
  int64_t peer_revision;
} simulation_t;

static int64_t
get_revision (const scenario_t *scenario, int64_t at_ms)
{
  int64_t revision = 1;

  for (int32_t i = 0; i < scenario->change_count; i++)
    revision += scenario->changes_ms[i] <= at_ms ? 1 : 0;
  return revision;
}

static bool
is_frozen (const simulation_t *sim, const entry_t *entry)
{
  return sim->now_ms >= entry->frozen_from_ms && sim->now_ms < entry->frozen_until_ms;
}

/* Reads the clock of an entry. */
static int64_t
read_clock (const simulation_t *sim, const entry_t *entry)
{
  return sim->now_ms + (entry == &sim->follower ? sim->scenario->clock_offset_ms : 0);
}

/* Begins a watch. The store answers at once if it has something new, or when something changes, or
 * when the wait is over. */
static void
begin_watch (simulation_t *sim, entry_t *entry)
{
  const scenario_t *scenario = sim->scenario;
  int64_t wait_ms = bt_get_watch_wait_ms (&sim->limits, entry->as_of_ms, entry->delay_ms,
                                          !entry->failing, read_clock (sim, entry));
  int64_t arrival_ms = sim->now_ms + scenario->store_delay_ms;
  int64_t spoke_ms = arrival_ms;
  int64_t answered_ms;

  while (get_revision (scenario, spoke_ms) <= entry->revision && spoke_ms < arrival_ms + wait_ms)
    spoke_ms++;
  answered_ms = spoke_ms + scenario->store_delay_ms;
  entry->calling = true;
  entry->calls++;
  entry->lost = answered_ms >= entry->cut_from_ms && sim->now_ms < entry->cut_until_ms;
  entry->found_revision = get_revision (scenario, spoke_ms);
  entry->watch = (bt_answered_watch_t){ .called_ms = sim->now_ms,
                                        .answered_ms = answered_ms,
                                        .wait_ms = wait_ms,
                                        .changed = entry->found_revision > entry->revision };
  if (entry == &sim->reader)
    entry->watch.answered_ms += scenario->reader_slow_ms;
  if (entry->lost)
    entry->watch.answered_ms = sim->now_ms + wait_ms + CALL_MARGIN_MS;
}

/* Handles the answer to a watch, or its lack. */
static void
end_watch (simulation_t *sim, entry_t *entry)
{
  int64_t offset_ms = read_clock (sim, entry) - sim->now_ms;
  int64_t as_of_ms;

  entry->calling = false;
  entry->tried_ms = read_clock (sim, entry);
  entry->failing = entry->lost;
  entry->attached = !entry->lost;
  entry->paused_until_ms = sim->now_ms + (entry->lost ? FAILED_PAUSE_MS : 0);
  if (entry->lost)
    return;
  entry->watch.answered_ms = sim->now_ms;
  as_of_ms = bt_get_watch_as_of_ms (&entry->watch) + offset_ms;
  entry->delay_ms = bt_get_watch_delay_ms (&entry->watch, entry->delay_ms);
  entry->as_of_ms = as_of_ms > entry->as_of_ms ? as_of_ms : entry->as_of_ms;
  entry->revision = entry->found_revision;
  if (entry->watch.changed)
    entry->paused_until_ms = sim->now_ms
                             + bt_get_pause_ms (&sim->limits, entry->as_of_ms, entry->delay_ms,
                                                GATHER_MS, read_clock (sim, entry));
}

static bool
is_call_over (const simulation_t *sim, const entry_t *entry)
{
  return entry->calling && sim->now_ms >= entry->watch.answered_ms;
}

static bool
is_idle (const simulation_t *sim, const entry_t *entry)
{
  return !entry->calling && sim->now_ms >= entry->paused_until_ms;
}

static void
send_message (simulation_t *sim, channel_t *channel, const Bilberry__StoreState *state)
{
  message_t *sent = &channel->messages[channel->count++];

  if (channel->count == MAX_MESSAGES)
    abort ();
  sent->state = *state;
  sent->arrives_ms = sim->now_ms + sim->scenario->link_delay_ms;
  if (sent->arrives_ms < channel->held_until_ms && sim->now_ms >= sim->scenario->link_held_ms)
    sent->arrives_ms = channel->held_until_ms;
}

static bool
receive_message (const simulation_t *sim, channel_t *channel, message_t *message)
{
  if (channel->count == 0 || channel->messages[0].arrives_ms > sim->now_ms)
    return false;
  *message = channel->messages[0];
  memmove (channel->messages, channel->messages + 1,
           (size_t)--channel->count * sizeof *channel->messages);
  return true;
}

static void
send_state (simulation_t *sim)
{
  const entry_t *reader = &sim->reader;
  bt_copy_claim_t claim = { { 0, reader->revision }, reader->as_of_ms };
  Bilberry__StoreState state = BILBERRY__STORE_STATE__INIT;

  state.attached =
      reader->attached && bt_get_follow_left_ms (&sim->limits, reader->as_of_ms, sim->now_ms) > 0;
  state.sent_ms = sim->now_ms;
  bt_write_claim (&claim, &sim->known, &state);
  if (sim->linked)
    send_message (sim, &sim->to_follower, &state);
}

static void
run_reader (simulation_t *sim)
{
  entry_t *reader = &sim->reader;
  message_t message;

  if (is_frozen (sim, reader))
    return;
  while (receive_message (sim, &sim->to_reader, &message))
    {
      sim->known.echo_ms = message.state.sent_ms;
      sim->known.arrival_ms = sim->now_ms;
    }
  if (is_call_over (sim, reader))
    {
      end_watch (sim, reader);
      send_state (sim);
    }
  if (is_idle (sim, reader))
    begin_watch (sim, reader);
  if (sim->now_ms >= reader->heartbeat_ms)
    {
      reader->heartbeat_ms = sim->now_ms + HEARTBEAT_MS;
      send_state (sim);
    }
}

static bool
is_peer_current (const simulation_t *sim)
{
  return sim->linked && sim->peer_attached && sim->peer_revision >= sim->follower.revision
         && bt_get_follow_left_ms (&sim->limits, sim->peer_as_of_ms,
                                   read_clock (sim, &sim->follower))
                > 0;
}

/* A link delivers in order, so the changes that precede a state have arrived with it. */
static void
receive_states (simulation_t *sim)
{
  entry_t *follower = &sim->follower;
  message_t message;

  while (receive_message (sim, &sim->to_follower, &message))
    {
      bt_copy_claim_t claim;

      sim->received_ms = read_clock (sim, follower);
      sim->peer_attached = message.state.attached;
      sim->peer_revision = message.state.revision;
      if (message.state.revision > follower->revision)
        follower->revision = message.state.revision;
      if (!message.state.attached || !bt_read_claim (&message.state, &claim))
        continue;
      if (claim.as_of_ms > sim->peer_as_of_ms)
        sim->peer_as_of_ms = claim.as_of_ms;
      if (claim.as_of_ms > follower->as_of_ms)
        follower->as_of_ms = claim.as_of_ms;
    }
}

static void
drop_link (simulation_t *sim)
{
  sim->linked = false;
  sim->linked_ms = read_clock (sim, &sim->follower) + RELINK_MS;
  sim->to_follower.count = 0;
  sim->to_reader.count = 0;
  sim->known.echo_ms = 0;
  sim->peer_attached = false;
  sim->peer_as_of_ms = bt_never_complete_ms;
}

static void
run_link (simulation_t *sim)
{
  int64_t now_ms = read_clock (sim, &sim->follower);

  if (sim->linked && now_ms - sim->received_ms > IDLE_MS)
    drop_link (sim);
  if (sim->linked || now_ms < sim->linked_ms)
    return;
  sim->linked = true;
  sim->received_ms = now_ms;
}

static void
run_follower (simulation_t *sim)
{
  entry_t *follower = &sim->follower;
  int64_t now_ms = read_clock (sim, follower);
  Bilberry__StoreState heartbeat = BILBERRY__STORE_STATE__INIT;
  bt_follower_state_t state = { .has_view = true, .has_primaries = true };

  if (is_frozen (sim, follower))
    return;
  receive_states (sim);
  run_link (sim);
  if (sim->linked && sim->now_ms >= follower->heartbeat_ms)
    {
      follower->heartbeat_ms = sim->now_ms + HEARTBEAT_MS;
      heartbeat.sent_ms = now_ms;
      send_message (sim, &sim->to_reader, &heartbeat);
    }
  if (is_call_over (sim, follower))
    end_watch (sim, follower);
  if (!is_idle (sim, follower))
    return;
  state.follows_peer = is_peer_current (sim);
  state.store_failing = follower->failing;
  state.as_of_ms = follower->as_of_ms;
  state.tried_ms = follower->tried_ms;
  if (bt_choose_follower_step (&state, now_ms) == BT_STEP_WATCH_STORE)
    begin_watch (sim, follower);
}

static void
replace_reader (simulation_t *sim)
{
  sim->reader.calling = false;
  sim->reader.revision = 0;
  sim->reader.as_of_ms = bt_never_complete_ms;
  sim->reader.attached = false;
  drop_link (sim);
}

static void
init_simulation (simulation_t *sim, const scenario_t *scenario)
{
  memset (sim, 0, sizeof *sim);
  sim->scenario = scenario;
  sim->limits = bt_get_freshness_limits (WATCH_MS);
  sim->reader = (entry_t){ .as_of_ms = bt_never_complete_ms,
                           .frozen_from_ms = scenario->reader_freeze_ms,
                           .frozen_until_ms = scenario->reader_thaw_ms,
                           .cut_from_ms = scenario->reader_cut_ms,
                           .cut_until_ms = NO_FAULT_MS };
  sim->follower = (entry_t){ .as_of_ms = bt_never_complete_ms,
                             .frozen_from_ms = scenario->follower_freeze_ms,
                             .frozen_until_ms = scenario->follower_thaw_ms,
                             .cut_from_ms = NO_FAULT_MS,
                             .cut_until_ms = NO_FAULT_MS,
                             .heartbeat_ms = scenario->heartbeat_phase_ms };
  sim->peer_as_of_ms = bt_never_complete_ms;
  sim->to_follower.held_until_ms = scenario->link_held_ms + scenario->link_held_for_ms;
  sim->to_reader.held_until_ms = sim->to_follower.held_until_ms;
}

/* Returns the longest time for which a change was confirmed and not in force at the follower, while
 * that was not frozen. */
static int64_t
play (simulation_t *sim, const scenario_t *scenario, int64_t end_ms)
{
  int64_t longest_ms = 0;
  int64_t in_force = 1;

  init_simulation (sim, scenario);
  for (sim->now_ms = 1; sim->now_ms < end_ms; sim->now_ms++)
    {
      if (sim->now_ms == scenario->reader_replaced_ms)
        replace_reader (sim);
      run_reader (sim);
      run_follower (sim);
      for (; in_force < sim->follower.revision; in_force++)
        {
          int64_t behind_ms = sim->now_ms - scenario->changes_ms[in_force - 1];

          longest_ms = behind_ms > longest_ms ? behind_ms : longest_ms;
        }
    }
  CU_ASSERT_EQUAL (sim->follower.revision, get_revision (scenario, end_ms));
  return longest_ms;
}

static scenario_t
make_scenario (void)
{
  return (scenario_t){ .store_delay_ms = 1,
                       .link_delay_ms = 1,
                       .reader_cut_ms = NO_FAULT_MS,
                       .reader_freeze_ms = NO_FAULT_MS,
                       .reader_thaw_ms = NO_FAULT_MS,
                       .reader_replaced_ms = NO_FAULT_MS,
                       .follower_freeze_ms = NO_FAULT_MS,
                       .follower_thaw_ms = NO_FAULT_MS,
                       .link_held_ms = NO_FAULT_MS,
                       .clock_offset_ms = 1000000 };
}

/* Plays a scenario with its fault at each phase of the watch, of the heartbeats, and of a change
 * before it. A second change is confirmed just behind the fault. Returns the longest delay. */
static int64_t
play_phases (scenario_t *scenario, int64_t *fault_ms)
{
  static const int64_t leads_ms[] = { 0, 1, 199, 201, 700, 999 };
  static const int64_t lags_ms[] = { 1, 149, 900, 1300 };
  simulation_t sim;
  int64_t longest_ms = 0;

  for (int64_t at_ms = WARM_UP_MS; at_ms < WARM_UP_MS + WATCH_MS + GATHER_MS; at_ms += STEP_MS)
    for (size_t i = 0; i < sizeof leads_ms / sizeof *leads_ms; i++)
      for (size_t k = 0; k < sizeof lags_ms / sizeof *lags_ms; k++)
        {
          int64_t delay_ms;

          *fault_ms = at_ms;
          scenario->change_count = 0;
          if (leads_ms[i] > 0)
            scenario->changes_ms[scenario->change_count++] = at_ms - leads_ms[i];
          scenario->changes_ms[scenario->change_count++] = at_ms + lags_ms[k];
          scenario->heartbeat_phase_ms = at_ms * (int64_t)(k + 1) % HEARTBEAT_MS;
          delay_ms = play (&sim, scenario, END_MS);
          longest_ms = delay_ms > longest_ms ? delay_ms : longest_ms;
        }
  return longest_ms;
}

/* Guards against a follower that goes on with what its reader told it: the store's changes no
 * longer reach the reader, whose last answer may just have come, late by all that may delay it. */
static void
test_reader_that_is_cut_off (void)
{
  static const int64_t store_delays_ms[] = { 0, 60, 199 };
  static const int64_t link_delays_ms[] = { 0, 100 };

  for (size_t i = 0; i < sizeof store_delays_ms / sizeof *store_delays_ms; i++)
    for (size_t k = 0; k < sizeof link_delays_ms / sizeof *link_delays_ms; k++)
      {
        scenario_t scenario = make_scenario ();

        scenario.store_delay_ms = store_delays_ms[i];
        scenario.link_delay_ms = link_delays_ms[k];
        CU_ASSERT (play_phases (&scenario, &scenario.reader_cut_ms) < APPLY_LIMIT_MS);
      }
}

/* Guards against a follower that takes the words of a reader for fresh which were sent, or rest on
 * an answer from, before the reader froze. */
static void
test_reader_that_freezes (void)
{
  static const int64_t lengths_ms[] = { 100, 300, 700, 790, 1500, 3000 };

  for (size_t i = 0; i < sizeof lengths_ms / sizeof *lengths_ms; i++)
    for (int64_t at_ms = WARM_UP_MS; at_ms < WARM_UP_MS + WATCH_MS; at_ms += STEP_MS)
      {
        scenario_t scenario = make_scenario ();
        simulation_t sim;

        scenario.reader_freeze_ms = at_ms;
        scenario.reader_thaw_ms = at_ms + lengths_ms[i];
        /* The answer with the first change waits for the reader, the way is cut meanwhile, and the
         * second change is confirmed. */
        scenario.reader_cut_ms = at_ms + 10;
        scenario.changes_ms[0] = at_ms + 1;
        scenario.changes_ms[1] = at_ms + 11;
        scenario.change_count = 2;
        CU_ASSERT (play (&sim, &scenario, END_MS) < APPLY_LIMIT_MS);
      }
}

/* Guards against a follower that counts the age of a copy from when a slow reader handled the
 * store's answer. */
static void
test_reader_that_is_slow (void)
{
  static const int64_t delays_ms[] = { 150, 350, 700, 1200 };

  for (size_t i = 0; i < sizeof delays_ms / sizeof *delays_ms; i++)
    {
      scenario_t scenario = make_scenario ();

      scenario.reader_slow_ms = delays_ms[i];
      CU_ASSERT (play_phases (&scenario, &scenario.reader_cut_ms) < APPLY_LIMIT_MS);
    }
}

/* Guards against a follower that follows the process that took the reader's place before that has
 * read the store, or that counts what the process before has said. */
static void
test_reader_that_is_replaced (void)
{
  scenario_t scenario = make_scenario ();

  CU_ASSERT (play_phases (&scenario, &scenario.reader_replaced_ms) < APPLY_LIMIT_MS);
  /* The new process never reaches the store. */
  scenario.reader_cut_ms = WARM_UP_MS;
  CU_ASSERT (play_phases (&scenario, &scenario.reader_replaced_ms) < APPLY_LIMIT_MS);
}

/* Guards against a follower that counts the age of a copy from when its reader's word arrived: the
 * words are held up on their way, and are delivered when they say nothing of the present. */
static void
test_words_that_are_held_up (void)
{
  static const int64_t lengths_ms[] = { 300, 700, 790 };

  for (size_t i = 0; i < sizeof lengths_ms / sizeof *lengths_ms; i++)
    for (int64_t at_ms = WARM_UP_MS; at_ms < WARM_UP_MS + WATCH_MS; at_ms += STEP_MS)
      {
        scenario_t scenario = make_scenario ();
        simulation_t sim;

        scenario.link_held_ms = at_ms;
        scenario.link_held_for_ms = lengths_ms[i];
        scenario.reader_cut_ms = at_ms + 1;
        scenario.changes_ms[0] = at_ms + 2;
        scenario.change_count = 1;
        CU_ASSERT (play (&sim, &scenario, END_MS) < APPLY_LIMIT_MS);
      }
}

/* Guards against a follower that goes on, behind a freeze of its own, with what it was told before:
 * it must have a change within the limit of its thaw, though its reader is cut off. */
static void
test_follower_that_freezes (void)
{
  for (int64_t at_ms = WARM_UP_MS; at_ms < WARM_UP_MS + WATCH_MS; at_ms += STEP_MS)
    {
      scenario_t scenario = make_scenario ();
      simulation_t sim;

      scenario.follower_freeze_ms = at_ms;
      scenario.follower_thaw_ms = at_ms + APPLY_LIMIT_MS;
      scenario.reader_cut_ms = at_ms + 1;
      scenario.changes_ms[0] = at_ms + 2;
      scenario.change_count = 1;
      CU_ASSERT (play (&sim, &scenario, END_MS) < APPLY_LIMIT_MS + GATHER_MS);
    }
}

/* Guards against calls on the store that grow while nothing happens: a reader makes one long watch
 * after the other, and a follower makes none. */
static void
test_calm_calls (void)
{
  static const int64_t store_delays_ms[] = { 0, 20, 80 };

  for (size_t i = 0; i < sizeof store_delays_ms / sizeof *store_delays_ms; i++)
    {
      scenario_t scenario = make_scenario ();
      simulation_t sim;
      int32_t calls;

      scenario.store_delay_ms = store_delays_ms[i];
      play (&sim, &scenario, WARM_UP_MS);
      calls = sim.follower.calls;
      play (&sim, &scenario, CALM_MS);
      CU_ASSERT_EQUAL (sim.follower.calls, calls);
      CU_ASSERT (sim.reader.calls <= CALM_MS / (CALM_WATCH_MS + 2 * store_delays_ms[i]) + 2);
    }
}

/* An answer counts from when the store surely spoke. */
static void
test_as_of_time_of_an_answer (void)
{
  bt_answered_watch_t watch = { .called_ms = 100, .wait_ms = 50 };

  watch.answered_ms = 150;
  CU_ASSERT_EQUAL (bt_get_watch_as_of_ms (&watch), 150);
  CU_ASSERT_EQUAL (bt_get_watch_delay_ms (&watch, 7), 0);
  watch.answered_ms = 5000;
  CU_ASSERT_EQUAL (bt_get_watch_as_of_ms (&watch), 150);
  CU_ASSERT_EQUAL (bt_get_watch_delay_ms (&watch, 7), 4850);
  /* The store has not waited. */
  watch.answered_ms = 149;
  CU_ASSERT_EQUAL (bt_get_watch_as_of_ms (&watch), 100);
  CU_ASSERT_EQUAL (bt_get_watch_delay_ms (&watch, 7), 7);
  /* It may have spoken at once, and the answer took long. */
  watch.answered_ms = 5000;
  watch.changed = true;
  CU_ASSERT_EQUAL (bt_get_watch_as_of_ms (&watch), 100);
  CU_ASSERT_EQUAL (bt_get_watch_delay_ms (&watch, 7), 7);
}

/* The sum of the longest delays: a peer's copy of the greatest age that may be followed, and a call
 * of the follower that takes as long as it may. */
static void
test_limits_add_up (void)
{
  bt_freshness_limits_t limits = bt_get_freshness_limits (WATCH_MS);
  int64_t wait_ms = bt_get_watch_wait_ms (&limits, 0, 0, true, limits.follow_ms);

  CU_ASSERT_EQUAL (bt_get_follow_left_ms (&limits, 0, limits.follow_ms), 0);
  CU_ASSERT_EQUAL (bt_get_follow_left_ms (&limits, 0, limits.follow_ms - 1), 1);
  CU_ASSERT_EQUAL (bt_get_follow_left_ms (&limits, bt_never_complete_ms, 0), 0);
  CU_ASSERT (limits.follow_ms + wait_ms + CALL_MARGIN_MS < APPLY_LIMIT_MS);
  CU_ASSERT (limits.renew_ms < limits.follow_ms);
}

/* Guards against a series of short watches, on a store whose answers make the copy no fresher, or
 * while a full read is left to the readers. */
static void
test_calls_that_do_not_help (void)
{
  bt_freshness_limits_t limits = bt_get_freshness_limits (WATCH_MS);
  bt_follower_state_t state = {
    .has_view = true, .has_primaries = true, .read_deferred = true, .tried_ms = 5000
  };

  CU_ASSERT_EQUAL (bt_get_watch_wait_ms (&limits, 0, 0, false, 5000), WATCH_MS);
  CU_ASSERT_EQUAL (bt_choose_follower_step (&state, 5001), BT_STEP_WAIT_FOR_PEER);
  state.read_deferred = false;
  CU_ASSERT_EQUAL (bt_choose_follower_step (&state, 5001), BT_STEP_WATCH_STORE);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("copy_freshness", NULL, NULL);
  CU_ADD_TEST (suite, test_as_of_time_of_an_answer);
  CU_ADD_TEST (suite, test_limits_add_up);
  CU_ADD_TEST (suite, test_calls_that_do_not_help);
  CU_ADD_TEST (suite, test_reader_that_is_cut_off);
  CU_ADD_TEST (suite, test_reader_that_freezes);
  CU_ADD_TEST (suite, test_reader_that_is_slow);
  CU_ADD_TEST (suite, test_reader_that_is_replaced);
  CU_ADD_TEST (suite, test_words_that_are_held_up);
  CU_ADD_TEST (suite, test_follower_that_freezes);
  CU_ADD_TEST (suite, test_calm_calls);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
