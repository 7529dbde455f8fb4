#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "bilberrytray/base/clock.h"
#include "harness_gateway.h"
#include "harness_http.h"

enum
{
  GATEWAYS = 4,
  OK = 200,
  UNAUTHORIZED = 401,
  POLL_MS = 20,
  PAGE_LINE_BYTES = 128,
  /* Long enough for calls on the store to fail. */
  OUTAGE_MS = 2500,
};

static const char *const configuration =
    "{\"version\":%d,\"services\":[{\"name\":\"svc\"}],"
    "\"tenants\":[{\"name\":\"small\",\"api_keys\":[\"key-small\"%s],\"priority\":1}],"
    "\"routes\":[{\"name\":\"wide\",\"host\":\"shop.example\",\"prefix\":\"/a/\","
    "\"kind\":\"idempotent\",\"service\":\"svc\",\"timeout_ms\":3000,\"max_attempts\":2,"
    "\"public\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"idle_timeout_ms\":15000}}";

static bt_gateway_testbed_t *testbed;

static bool
put_configuration (int32_t version, const char *keys)
{
  char text[2048];

  snprintf (text, sizeof text, configuration, version, keys);
  return bt_put_store_item (testbed, "op/config", text);
}

static int
start_suite (void)
{
  char text[2048];

  snprintf (text, sizeof text, configuration, 1, ",\"key-other\"");
  testbed = bt_new_gateway_testbed (GATEWAYS, text);
  if (testbed == NULL)
    return 1;
  for (int32_t i = 0; i < GATEWAYS; i++)
    if (!bt_wait_gateway_ready (testbed, i))
      return 1;
  return 0;
}

static int
end_suite (void)
{
  bt_drop_gateway_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

static bt_gateway_call_t
make_call (int32_t gateway, const char *key)
{
  return (bt_gateway_call_t){
    .gateway = gateway, .path = "/a/lookup", .id = "r-peers", .key = key, .deadline_ms = 4000
  };
}

static int32_t
request_status (int32_t gateway, const char *key)
{
  bt_gateway_call_t call = make_call (gateway, key);

  return bt_get_call_status (testbed, &call);
}

static bool
wait_status (int32_t gateway, const char *key, int32_t status)
{
  bt_gateway_call_t call = make_call (gateway, key);

  return bt_wait_call_status (testbed, &call, status);
}

static int64_t
count_watches (int32_t gateway)
{
  return bt_read_gateway_metric (testbed, gateway, "bilberry_store_calls_total{kind=\"watch\"}");
}

/* Four gateways of one failure domain use a store that counts every call. One of them must read it;
 * the others must learn from that one and stop calling the store. */
static void
test_one_gateway_reads_the_store (void)
{
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;
  int32_t readers = GATEWAYS;

  while (readers != 1 && bt_read_clock_ms (bt_system_clock ()) < limit_ms)
    {
      int64_t before[GATEWAYS];

      for (int32_t i = 0; i < GATEWAYS; i++)
        before[i] = count_watches (i);
      bt_sleep_ms (2500);
      readers = 0;
      for (int32_t i = 0; i < GATEWAYS; i++)
        readers += count_watches (i) > before[i] ? 1 : 0;
    }
  CU_ASSERT_EQUAL (readers, 1);
}

static void
set_hop_fault (int32_t gateway, bt_hop_fault_t fault)
{
  CU_ASSERT_TRUE (bt_set_hop_fault (testbed->hop_ports[gateway], fault, 0));
}

/* The store refuses the calls of one gateway after the other while it serves the rest, and each
 * time an API key is revoked. The refused gateway must learn this from a peer, whether it read the
 * store before or not, and refuse the key. */
static void
test_refused_entry_learns_from_a_peer (void)
{
  int32_t version = 2;

  for (int32_t i = 0; i < GATEWAYS; i++)
    {
      CU_ASSERT_TRUE (put_configuration (version++, ",\"key-other\""));
      CU_ASSERT_TRUE (wait_status (i, "key-other", OK));
      set_hop_fault (i, i % 2 == 0 ? BT_HOP_REFUSE : BT_HOP_CUT);
      CU_ASSERT_TRUE (put_configuration (version++, ""));
      CU_ASSERT_TRUE (wait_status (i, "key-other", UNAUTHORIZED));
      CU_ASSERT_EQUAL (request_status (i, "key-small"), OK);
      set_hop_fault (i, BT_HOP_NONE);
    }
}

/* A gateway is killed and restarted while the store refuses its calls. A peer that it finds by its
 * settings must send it the configuration, so that it can serve. */
static void
test_entry_starts_without_the_store (void)
{
  CU_ASSERT_TRUE (put_configuration (100, ",\"key-late\""));
  CU_ASSERT_TRUE (wait_status (0, "key-late", OK));
  set_hop_fault (1, BT_HOP_REFUSE);
  kill (testbed->gateways[1], SIGKILL);
  waitpid (testbed->gateways[1], NULL, 0);
  bt_start_gateway_process (testbed, 1);
  CU_ASSERT_TRUE (bt_wait_gateway_ready (testbed, 1));
  CU_ASSERT_EQUAL (request_status (1, "key-late"), OK);
  CU_ASSERT_EQUAL (request_status (1, "key-other"), UNAUTHORIZED);
  set_hop_fault (1, BT_HOP_NONE);
}

/* Guards against a start from old items: a gateway reads the store at its start as it was a while
 * ago. A key that was taken away since must not be accepted, and one that was added must. */
static void
test_entry_starts_with_the_latest_configuration (void)
{
  CU_ASSERT_TRUE (put_configuration (110, ",\"key-taken\""));
  CU_ASSERT_TRUE (wait_status (1, "key-taken", OK));
  CU_ASSERT_TRUE (bt_freeze_old_items (testbed));
  CU_ASSERT_TRUE (put_configuration (111, ",\"key-added\""));
  kill (testbed->gateways[1], SIGKILL);
  waitpid (testbed->gateways[1], NULL, 0);
  bt_start_gateway_process (testbed, 1);
  CU_ASSERT_TRUE (bt_wait_gateway_ready (testbed, 1));
  CU_ASSERT_EQUAL (request_status (1, "key-taken"), UNAUTHORIZED);
  CU_ASSERT_EQUAL (request_status (1, "key-added"), OK);
}

/* The gateway that reads the store for all freezes: its connections stay open and nothing arrives.
 * The others must notice the silence and read the store themselves. */
static void
test_frozen_reader_is_replaced (void)
{
  int32_t version = 200;

  for (int32_t i = 0; i < GATEWAYS; i++)
    {
      kill (testbed->gateways[i], SIGSTOP);
      CU_ASSERT_TRUE (put_configuration (version++, ",\"key-frozen\""));
      for (int32_t k = 0; k < GATEWAYS; k++)
        if (k != i)
          CU_ASSERT_TRUE (wait_status (k, "key-frozen", OK));
      kill (testbed->gateways[i], SIGCONT);
      CU_ASSERT_TRUE (put_configuration (version++, ""));
      for (int32_t k = 0; k < GATEWAYS; k++)
        CU_ASSERT_TRUE (wait_status (k, "key-frozen", UNAUTHORIZED));
    }
}

/* Returns whether a gateway advertises the address of another one. */
static bool
is_advertised (int32_t gateway, int32_t other)
{
  char url[PAGE_LINE_BYTES];
  char address[PAGE_LINE_BYTES];
  bt_http_reply_t reply;
  bool advertised;

  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/resolve", testbed->address_ports[gateway]);
  snprintf (address, sizeof address, "127.0.0.1:%d", testbed->caller_ports[other]);
  bt_perform_request (url, NULL, NULL, NULL, &reply);
  CU_ASSERT_EQUAL (reply.status, OK);
  advertised = strstr (bt_get_reply_text (&reply), address) != NULL;
  bt_clear_reply (&reply);
  return advertised;
}

static bool
wait_advertised (int32_t gateway, int32_t other, bool advertised)
{
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_WAIT_LIMIT_MS;

  while (is_advertised (gateway, other) != advertised)
    {
      if (bt_read_clock_ms (bt_system_clock ()) > limit_ms)
        return false;
      bt_sleep_ms (POLL_MS);
    }
  return true;
}

/* Guards against callers that are sent to a stopping gateway, which refuses them, again and again.
 * It is told to stop while the store is unavailable, so it can't remove its item, and the others
 * would continue to advertise its address. They must learn from itself that it departs. */
static void
test_departed_peer_is_not_advertised (void)
{
  int32_t last = GATEWAYS - 1;

  for (int32_t i = 0; i < last; i++)
    CU_ASSERT_TRUE (wait_advertised (i, last, true));
  for (int32_t i = 0; i < GATEWAYS; i++)
    set_hop_fault (i, BT_HOP_CUT);
  kill (testbed->gateways[last], SIGTERM);
  for (int32_t i = 0; i < last; i++)
    CU_ASSERT_TRUE (wait_advertised (i, last, false));
  waitpid (testbed->gateways[last], NULL, 0);
  testbed->gateways[last] = 0;
  for (int32_t i = 0; i < last; i++)
    {
      CU_ASSERT_FALSE (is_advertised (i, last));
      CU_ASSERT_TRUE (is_advertised (i, i));
    }
  for (int32_t i = 0; i < GATEWAYS; i++)
    set_hop_fault (i, BT_HOP_NONE);
}

/* Guards against a gateway that learns of no change: it has found the store away, the peers that it
 * could follow stand still, and the store is too slow for a watch but answers a read. One of the
 * two gateways that are tried is no reader. */
static void
test_gateway_alone_reads_a_slow_store (void)
{
  int32_t version = 300;

  for (int32_t i = 0; i < 2; i++)
    {
      CU_ASSERT_TRUE (put_configuration (version++, ""));
      CU_ASSERT_TRUE (wait_status (i, "key-slow", UNAUTHORIZED));
      for (int32_t k = 0; k < GATEWAYS; k++)
        if (k != i)
          kill (testbed->gateways[k], SIGSTOP);
      CU_ASSERT_TRUE (
          bt_set_standin_fault (testbed->store_port, "{\"kind\":\"down\",\"count\":-1}"));
      bt_sleep_ms (OUTAGE_MS);
      CU_ASSERT_TRUE (bt_set_standin_fault (testbed->store_port,
                                            "{\"kind\":\"slow\",\"count\":-1,"
                                            "\"delay_ms\":3000,\"match\":\"watch\"}"));
      CU_ASSERT_TRUE (put_configuration (version++, ",\"key-slow\""));
      CU_ASSERT_TRUE (wait_status (i, "key-slow", OK));
      CU_ASSERT_TRUE (bt_set_standin_fault (testbed->store_port, "{\"kind\":\"none\"}"));
      for (int32_t k = 0; k < GATEWAYS; k++)
        kill (testbed->gateways[k], SIGCONT);
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("gateway_peers", start_suite, end_suite);
  CU_ADD_TEST (suite, test_one_gateway_reads_the_store);
  CU_ADD_TEST (suite, test_refused_entry_learns_from_a_peer);
  CU_ADD_TEST (suite, test_entry_starts_without_the_store);
  CU_ADD_TEST (suite, test_entry_starts_with_the_latest_configuration);
  CU_ADD_TEST (suite, test_frozen_reader_is_replaced);
  CU_ADD_TEST (suite, test_gateway_alone_reads_a_slow_store);
  CU_ADD_TEST (suite, test_departed_peer_is_not_advertised);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  if (CU_get_number_of_suites_failed () > 0)
    failures++;
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
