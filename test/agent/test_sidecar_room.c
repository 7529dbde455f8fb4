#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bilberrytray/base.h"
#include "sidecar_private.h"
#include "standin_http.h"

enum
{
  WAIT_MS = 20000,
  POLL_MS = 2,
  REPORT_MS = 20,
  NEVER_MS = 60000, /* longer than a test waits */
  REPORT_BYTES = 256,
  MAX_IDS = 16,
  ENTRIES = 2,
  MAX_FRAME_BYTES = 1 << 20,
  READ_US = 1000,
};

/** The engine beside the sidecar. */
typedef struct engine
{
  atomic_llong born;
  atomic_int running;
  atomic_int reports;
} engine_t;

/** An entry with its link. */
typedef struct entry
{
  bt_link_handler_t handler; /* must be the first member */
  atomic_int up;
  atomic_int verdicts[MAX_IDS]; /* by id; 0: no reply */
  atomic_int loads[MAX_IDS];
  atomic_int hold_ms;
  bt_link_loop_t *loop;
  bt_link_t *link;
} entry_t;

static bt_context_t *ctx;
static engine_t engine;
static entry_t entries[ENTRIES];
static bt_standin_t *standin;
static bt_sidecar_settings_t settings;
static char listen_address[BT_ADDRESS_BYTES];
static char engine_address[BT_ADDRESS_BYTES];
static bt_sidecar_t *sidecar;
static pthread_t sidecar_thread;

static void
answer_call (void *data,
             bt_standin_t *unused,
             const bt_standin_request_t *request,
             bt_standin_answer_t *answer)
{
  engine_t *self = data;

  (void)unused;
  (void)request;
  answer->status = MHD_HTTP_OK;
  answer->body = calloc (REPORT_BYTES, 1);
  snprintf (answer->body, REPORT_BYTES,
            "{\"born\":%lld,\"group\":{\"name\":\"g\",\"epoch\":1,\"rank\":0,\"state\":\"open\"},"
            "\"size\":1,\"running\":%d}",
            atomic_load (&self->born), atomic_load (&self->running));
  atomic_fetch_add (&self->reports, 1);
}

static void
on_up (bt_link_handler_t *handler, bt_link_t *link)
{
  (void)link;
  atomic_store (&((entry_t *)handler)->up, 1);
}

static void
on_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  entry_t *self = (entry_t *)handler;
  const Bilberry__RoomReply *reply = frame->room_reply;

  (void)link;
  if (frame->body_case != BILBERRY__FRAME__BODY_ROOM_REPLY || reply->id >= MAX_IDS)
    return;
  atomic_store (&self->loads[reply->id], (int)reply->load);
  atomic_store (&self->hold_ms, (int)reply->hold_ms);
  atomic_store (&self->verdicts[reply->id], (int)reply->verdict);
}

static void
on_down (bt_link_handler_t *handler, bt_link_t *link)
{
  (void)link;
  atomic_store (&((entry_t *)handler)->up, 0);
}

static void
on_heartbeat_due (bt_link_handler_t *handler, bt_link_t *link)
{
  (void)handler;
  (void)link;
}

static const bt_link_handler_vtable_t vtable = { on_up, on_frame, on_down, on_heartbeat_due };

static void *
run_sidecar (void *data)
{
  bt_run_sidecar (data);
  return NULL;
}

static int
find_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t bytes = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *)&address, &bytes) != 0)
    address.sin_port = 0;
  close (fd);
  return ntohs (address.sin_port);
}

static bool
wait_for (atomic_int *value, int wanted)
{
  for (int32_t waited_ms = 0; waited_ms < WAIT_MS; waited_ms += POLL_MS)
    {
      if (atomic_load (value) == wanted)
        return true;
      bt_sleep_ms (POLL_MS);
    }
  return false;
}

static bool
wait_for_metric (const bt_counter_t *counter, int64_t wanted)
{
  for (int32_t waited_ms = 0; waited_ms < WAIT_MS; waited_ms += POLL_MS)
    {
      if (bt_read_counter (counter) == wanted)
        return true;
      bt_sleep_ms (POLL_MS);
    }
  return false;
}

static void
dial (int32_t index)
{
  static const char *const names[ENTRIES] = { "first", "second" };
  entry_t *entry = &entries[index];
  const bt_link_options_t options = { .role = "entry",
                                      .instance = names[index],
                                      .incarnation = (uint64_t)index + 1,
                                      .failure_domain = "a",
                                      .address = "",
                                      .secret = "secret",
                                      .heartbeat_interval_ms = NEVER_MS,
                                      .idle_ms = NEVER_MS,
                                      .handshake_timeout_ms = 2000,
                                      .max_frame_bytes = MAX_FRAME_BYTES,
                                      .max_unsent_bytes = MAX_FRAME_BYTES,
                                      .max_links = 4,
                                      .handler = &entry->handler };
  bt_error_t error = { 0 };

  entry->handler.vtable = &vtable;
  entry->loop = bt_new_link_loop (ctx, &options, &error);
  entry->link = bt_dial_link (ctx, entry->loop, listen_address, listen_address, &error);
  CU_ASSERT_TRUE (wait_for (&entry->up, 1));
}

static void
hang_up (int32_t index)
{
  bt_drop_link (ctx, entries[index].link);
  bt_drop_link_loop (ctx, entries[index].loop);
  entries[index].loop = NULL;
  entries[index].link = NULL;
}

/* Starts a sidecar that reads its engine at @p report_ms, and links both entries to it. No
 * heartbeat is due during a test. */
static void
open_fixture (int64_t report_ms)
{
  const bt_standin_callbacks_t callbacks = { &engine, answer_call, NULL };
  bt_error_t error = { 0 };

  memset (entries, 0, sizeof entries);
  memset (&engine, 0, sizeof engine);
  atomic_store (&engine.born, 100);
  ctx = bt_new_context ();
  standin = bt_start_standin (0, &callbacks);
  snprintf (engine_address, sizeof engine_address, "127.0.0.1:%d", bt_get_standin_port (standin));
  snprintf (listen_address, sizeof listen_address, "127.0.0.1:%d", find_port ());
  settings = (bt_sidecar_settings_t){ .listen = listen_address,
                                      .engine = engine_address,
                                      .failure_domain = "a",
                                      .secret = "secret",
                                      .report_ms = report_ms,
                                      .others_ms = report_ms,
                                      .call_ms = 2000,
                                      .beat_ms = NEVER_MS,
                                      .link_idle_ms = NEVER_MS,
                                      .max_links = 4 };
  sidecar = bt_new_sidecar (ctx, bt_get_engine_platform (), &settings, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (sidecar);
  CU_ASSERT_EQUAL_FATAL (pthread_create (&sidecar_thread, NULL, run_sidecar, sidecar), 0);
  for (int32_t i = 0; i < ENTRIES; i++)
    dial (i);
}

static void
close_fixture (void)
{
  for (int32_t i = 0; i < ENTRIES; i++)
    if (entries[i].loop != NULL)
      hang_up (i);
  bt_stop_sidecar (sidecar);
  pthread_join (sidecar_thread, NULL);
  bt_drop_sidecar (ctx, sidecar);
  bt_stop_standin (standin);
  bt_drop_context (ctx);
}

/* Returns an ask that may wait for one of @p slots. */
static Bilberry__RoomAsk
make_ask (uint64_t id, uint32_t slots)
{
  Bilberry__RoomAsk ask = BILBERRY__ROOM_ASK__INIT;

  ask.id = id;
  ask.priority = 1;
  ask.target_left_ms = NEVER_MS;
  ask.prompt_tokens = 10;
  ask.read_us = READ_US;
  ask.slots = slots;
  ask.burst = 100;
  ask.wait = true;
  return ask;
}

static void
send_ask (int32_t index, Bilberry__RoomAsk *ask)
{
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  frame.body_case = BILBERRY__FRAME__BODY_ROOM_ASK;
  frame.room_ask = ask;
  CU_ASSERT_TRUE (bt_send_frame (ctx, entries[index].link, &frame));
}

static void
ask_for (int32_t index, uint64_t id, uint32_t slots)
{
  Bilberry__RoomAsk ask = make_ask (id, slots);

  send_ask (index, &ask);
}

static void
send_use (int32_t index, Bilberry__RoomUse *use)
{
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  frame.body_case = BILBERRY__FRAME__BODY_ROOM_USE;
  frame.room_use = use;
  CU_ASSERT_TRUE (bt_send_frame (ctx, entries[index].link, &frame));
}

static bool
is_granted (int32_t index, uint64_t id)
{
  return wait_for (&entries[index].verdicts[id], BT_ROOM_GRANTED);
}

static void
send_unasked (int32_t index, uint64_t id)
{
  Bilberry__RoomUse use = BILBERRY__ROOM_USE__INIT;

  use.unasked = &id;
  use.n_unasked = 1;
  send_use (index, &use);
  CU_ASSERT_TRUE (wait_for_metric (sidecar->metrics.room_in_flight, 1));
}

/* Asks for the engine's only slot, starts a request in it and returns its id. On a busy machine the
 * hold may expire before, so it asks again. */
static uint64_t
take_slot (int32_t index)
{
  Bilberry__RoomUse use = BILBERRY__ROOM_USE__INIT;
  uint64_t id = MAX_IDS / 2;

  use.started = &id;
  use.n_started = 1;
  for (; id < MAX_IDS; id++)
    {
      ask_for (index, id, 1);
      CU_ASSERT_TRUE (is_granted (index, id));
      send_use (index, &use);
      CU_ASSERT_TRUE (wait_for_metric (sidecar->metrics.room_held, 0));
      if (bt_read_counter (sidecar->metrics.room_in_flight) == 1)
        return id;
    }
  return 0;
}

/* Waits until the sidecar has used a report that the engine gives from now on. */
static void
wait_for_reports (void)
{
  const int before = atomic_load (&engine.reports);

  for (int32_t waited_ms = 0; waited_ms < WAIT_MS && atomic_load (&engine.reports) < before + 3;
       waited_ms += POLL_MS)
    bt_sleep_ms (POLL_MS);
}

/* Guards against two entries that both use the last slot, and a request that is not served by the
 * end of another one at another entry. */
static void
test_end_at_one_entry_grants_an_ask_of_another (void)
{
  Bilberry__RoomUse use = BILBERRY__ROOM_USE__INIT;
  Bilberry__RoomAsk ask = make_ask (3, 1);
  uint64_t id;

  open_fixture (REPORT_MS);
  id = take_slot (0);
  CU_ASSERT_EQUAL (atomic_load (&entries[0].loads[id]), 1);
  CU_ASSERT_EQUAL (atomic_load (&entries[0].hold_ms), BT_ROOM_HOLD_MS);
  ask_for (1, 2, 1);
  ask.wait = false;
  send_ask (1, &ask);
  CU_ASSERT_TRUE (wait_for (&entries[1].verdicts[3], BT_ROOM_DENIED));
  CU_ASSERT_EQUAL (atomic_load (&entries[1].verdicts[2]), 0);
  CU_ASSERT_EQUAL (bt_read_counter (sidecar->metrics.room_waiting), 1);
  use.ended = &id;
  use.n_ended = 1;
  send_use (0, &use);
  CU_ASSERT_TRUE (is_granted (1, 2));
  CU_ASSERT (bt_read_counter (sidecar->metrics.room_asks[BT_ROOM_GRANTED - 1]) >= 2);
  CU_ASSERT_EQUAL (bt_read_counter (sidecar->metrics.room_asks[BT_ROOM_DENIED - 1]), 1);
  close_fixture ();
}

/* Guards against a faulty entry that ends a link of the agent, or whose values reach the ledger. */
static void
test_frames_out_of_range_are_dropped (void)
{
  static uint64_t ids[5000];
  Bilberry__RoomUse use = BILBERRY__ROOM_USE__INIT;
  Bilberry__RoomAsk ask = make_ask (1, 1);

  open_fixture (REPORT_MS);
  ask.priority = 3;
  send_ask (0, &ask);
  ask = make_ask (1, 1);
  ask.burst = 0;
  send_ask (0, &ask);
  ask = make_ask (1, 1);
  ask.target_left_ms = INT64_MAX;
  send_ask (0, &ask);
  ask.target_left_ms = INT64_MIN;
  send_ask (0, &ask);
  ask = make_ask (1, UINT32_MAX);
  send_ask (0, &ask);
  ask = make_ask (1, 1);
  ask.depth = UINT32_MAX;
  send_ask (0, &ask);
  ask = make_ask (1, 1);
  ask.prompt_tokens = UINT32_MAX;
  send_ask (0, &ask);
  ask = make_ask (1, 1);
  ask.answer_tokens = UINT32_MAX;
  send_ask (0, &ask);
  ask = make_ask (1, 1);
  ask.read_us = UINT32_MAX;
  send_ask (0, &ask);
  ask = make_ask (1, 1);
  ask.share = UINT32_MAX;
  send_ask (0, &ask);
  use.unasked = ids;
  use.n_unasked = sizeof ids / sizeof ids[0];
  send_use (0, &use);
  CU_ASSERT_TRUE (wait_for_metric (sidecar->metrics.room_dropped, 11));
  ask_for (0, 1, 1);
  CU_ASSERT_TRUE (is_granted (0, 1));
  CU_ASSERT_EQUAL (atomic_load (&entries[0].up), 1);
  close_fixture ();
}

/* Guards against an ask that waits although the hold before it has expired: neither a frame, a
 * report nor a heartbeat wakes the agent, only its own timer. */
static void
test_expired_hold_grants_the_next_in_time (void)
{
  open_fixture (NEVER_MS);
  ask_for (0, 1, 1);
  CU_ASSERT_TRUE (is_granted (0, 1));
  ask_for (1, 2, 1);
  CU_ASSERT_TRUE (is_granted (1, 2));
  CU_ASSERT (bt_read_counter (sidecar->metrics.room_expired) >= 1);
  close_fixture ();
}

/* The same for the window of starts, which moves on without an event. */
static void
test_window_that_moves_on_grants_the_next (void)
{
  Bilberry__RoomAsk ask = make_ask (2, 10);

  open_fixture (NEVER_MS);
  send_unasked (0, 1);
  ask.burst = 1;
  send_ask (1, &ask);
  CU_ASSERT_TRUE (is_granted (1, 2));
  close_fixture ();
}

/* Guards against requests and asks of an entry that has died. */
static void
test_lost_link_frees_its_requests (void)
{
  open_fixture (REPORT_MS);
  send_unasked (0, 1);
  ask_for (0, 2, 1);
  CU_ASSERT_TRUE (wait_for_metric (sidecar->metrics.room_waiting, 1));
  ask_for (1, 3, 1);
  CU_ASSERT_TRUE (wait_for_metric (sidecar->metrics.room_waiting, 2));
  hang_up (0);
  CU_ASSERT_TRUE (is_granted (1, 3));
  CU_ASSERT_TRUE (wait_for_metric (sidecar->metrics.room_waiting, 0));
  CU_ASSERT_EQUAL (bt_read_counter (sidecar->metrics.room_in_flight), 0);
  close_fixture ();
}

/* Guards against grants at an engine that is full with requests that the ledger does not know, and
 * against asks that are not re-evaluated when a report shows that they have ended. */
static void
test_report_decides_for_unknown_requests (void)
{
  open_fixture (REPORT_MS);
  atomic_store (&engine.running, 2);
  wait_for_reports ();
  ask_for (0, 2, 3);
  CU_ASSERT_TRUE (is_granted (0, 2));
  ask_for (0, 1, 2);
  CU_ASSERT_TRUE (wait_for_metric (sidecar->metrics.room_waiting, 1));
  CU_ASSERT_EQUAL (atomic_load (&entries[0].verdicts[1]), 0);
  atomic_store (&engine.running, 0);
  CU_ASSERT_TRUE (is_granted (0, 1));
  close_fixture ();
}

/* Guards against requests of an engine's former incarnation that take its slots for ever. */
static void
test_restarted_engine_has_free_slots (void)
{
  open_fixture (REPORT_MS);
  send_unasked (0, 1);
  ask_for (1, 2, 1);
  CU_ASSERT_TRUE (wait_for_metric (sidecar->metrics.room_waiting, 1));
  atomic_store (&engine.born, 200);
  CU_ASSERT_TRUE (is_granted (1, 2));
  CU_ASSERT_EQUAL (bt_read_counter (sidecar->metrics.room_in_flight), 0);
  close_fixture ();
}

/* Guards against asks that wait without bound, or that are displaced unnoticed. */
static void
test_displaced_ask_is_told_and_counted (void)
{
  Bilberry__RoomAsk ask = make_ask (1, 1);

  open_fixture (REPORT_MS);
  send_unasked (0, 0);
  ask.priority = 0;
  for (ask.id = MAX_IDS; ask.id < MAX_IDS + BT_ROOM_MAX_WAITING - 1; ask.id++)
    send_ask (0, &ask);
  CU_ASSERT_TRUE (wait_for_metric (sidecar->metrics.room_waiting, BT_ROOM_MAX_WAITING - 1));
  ask.id = 1;
  send_ask (1, &ask);
  CU_ASSERT_TRUE (wait_for_metric (sidecar->metrics.room_waiting, BT_ROOM_MAX_WAITING));
  ask_for (0, 2, 1);
  CU_ASSERT_TRUE (wait_for (&entries[1].verdicts[1], BT_ROOM_DISPLACED));
  CU_ASSERT_EQUAL (bt_read_counter (sidecar->metrics.room_asks[BT_ROOM_DISPLACED - 1]), 1);
  CU_ASSERT_EQUAL (bt_read_counter (sidecar->metrics.room_waiting), BT_ROOM_MAX_WAITING);
  close_fixture ();
}

/* Guards against costs at an agent that no entry asks: it has no ledger and sets no timer. */
static void
test_agent_that_is_not_asked_has_no_ledger (void)
{
  open_fixture (REPORT_MS);
  wait_for_reports ();
  pthread_mutex_lock (&sidecar->lock);
  CU_ASSERT_PTR_NULL (sidecar->room.ledger);
  CU_ASSERT_EQUAL (sidecar->room.wake_ms, INT64_MAX);
  pthread_mutex_unlock (&sidecar->lock);
  close_fixture ();
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("sidecar room", NULL, NULL);
  CU_ADD_TEST (suite, test_end_at_one_entry_grants_an_ask_of_another);
  CU_ADD_TEST (suite, test_frames_out_of_range_are_dropped);
  CU_ADD_TEST (suite, test_expired_hold_grants_the_next_in_time);
  CU_ADD_TEST (suite, test_window_that_moves_on_grants_the_next);
  CU_ADD_TEST (suite, test_lost_link_frees_its_requests);
  CU_ADD_TEST (suite, test_report_decides_for_unknown_requests);
  CU_ADD_TEST (suite, test_restarted_engine_has_free_slots);
  CU_ADD_TEST (suite, test_displaced_ask_is_told_and_counted);
  CU_ADD_TEST (suite, test_agent_that_is_not_asked_has_no_ledger);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
