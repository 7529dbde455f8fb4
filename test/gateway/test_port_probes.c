#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bilberrytray/base/counters.h"
#include "port_probes.h"

enum
{
  RUN_MS = 400,
  MANY_PROBES = 500,
};

static bt_context_t *ctx;
static bt_event_loop_t *loop;

/** Counts refused connections. */
typedef struct refusals
{
  bt_port_probes_handler_t handler;
  int32_t count;
  bt_identity_t last;
} refusals_t;

static void
count_refusal (bt_port_probes_handler_t *handler, const bt_identity_t *endpoint)
{
  refusals_t *refusals = (refusals_t *)handler;

  refusals->count++;
  refusals->last = *endpoint;
}

static void
stop_loop (bt_timer_t *timer)
{
  (void)timer;
  bt_stop_event_loop (loop);
}

static void
run_loop (void)
{
  bt_timer_t timer = { .on_expiry = stop_loop };

  bt_set_timer (loop, &timer, bt_now_ms (ctx) + RUN_MS);
  bt_run_event_loop (loop);
}

/* Opens a listening socket and writes its address to @p text. */
static int
open_listener (char text[BT_ADDRESS_BYTES])
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t bytes = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_EQUAL (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (listen (fd, 8), 0);
  getsockname (fd, (struct sockaddr *)&address, &bytes);
  snprintf (text, BT_ADDRESS_BYTES, "127.0.0.1:%d", ntohs (address.sin_port));
  return fd;
}

static bt_identity_t
make_identity (int32_t number)
{
  bt_identity_t identity = { .incarnation = (uint64_t)number };

  bt_copy_name (identity.instance, "i-1");
  return identity;
}

static void
test_only_a_port_without_listener_is_refused (void)
{
  refusals_t refusals = { { count_refusal } };
  bt_identity_t open = make_identity (1);
  bt_identity_t closed = make_identity (2);
  char open_address[BT_ADDRESS_BYTES];
  char closed_address[BT_ADDRESS_BYTES];
  bt_port_probes_t *probes;
  int listener = open_listener (open_address);

  close (open_listener (closed_address));
  loop = bt_new_event_loop (ctx, NULL);
  probes = bt_new_port_probes (ctx, loop, &refusals.handler);
  bt_probe_port (probes, open_address, &open);
  bt_probe_port (probes, closed_address, &closed);
  bt_probe_port (probes, "no address", &closed);
  run_loop ();
  CU_ASSERT_EQUAL (refusals.count, 1);
  CU_ASSERT_EQUAL (refusals.last.incarnation, closed.incarnation);
  bt_drop_port_probes (ctx, probes);
  bt_drop_event_loop (ctx, loop);
  close (listener);
}

/* Guards against one probe for each of many attempts that broke at the same time. */
static void
test_start_has_one_probe_at_a_time (void)
{
  refusals_t refusals = { { count_refusal } };
  bt_identity_t closed = make_identity (2);
  char address[BT_ADDRESS_BYTES];
  bt_port_probes_t *probes;

  close (open_listener (address));
  loop = bt_new_event_loop (ctx, NULL);
  probes = bt_new_port_probes (ctx, loop, &refusals.handler);
  for (int32_t i = 0; i < MANY_PROBES; i++)
    bt_probe_port (probes, address, &closed);
  run_loop ();
  CU_ASSERT_EQUAL (refusals.count, 1);
  bt_drop_port_probes (ctx, probes);
  bt_drop_event_loop (ctx, loop);
}

static void
test_number_of_probes_is_limited (void)
{
  refusals_t refusals = { { count_refusal } };
  char address[BT_ADDRESS_BYTES];
  bt_port_probes_t *probes;

  close (open_listener (address));
  loop = bt_new_event_loop (ctx, NULL);
  probes = bt_new_port_probes (ctx, loop, &refusals.handler);
  for (int32_t i = 0; i < MANY_PROBES; i++)
    {
      bt_identity_t other = make_identity (i);

      bt_probe_port (probes, address, &other);
    }
  run_loop ();
  CU_ASSERT (refusals.count > 1 && refusals.count < MANY_PROBES);
  CU_ASSERT (bt_read_counter (bt_find_counter (ctx, BT_COUNTER, "bilberry_limits_reached_total", "",
                                               "limit", "port-probes"))
             > 0);
  bt_drop_port_probes (ctx, probes);
  bt_drop_event_loop (ctx, loop);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  ctx = bt_new_context ();
  CU_initialize_registry ();
  suite = CU_add_suite ("port_probes", NULL, NULL);
  CU_ADD_TEST (suite, test_only_a_port_without_listener_is_refused);
  CU_ADD_TEST (suite, test_start_has_one_probe_at_a_time);
  CU_ADD_TEST (suite, test_number_of_probes_is_limited);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  bt_drop_context (ctx);
  return failures == 0 ? 0 : 1;
}
