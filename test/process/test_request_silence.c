#include <CUnit/Basic.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "harness_proxy.h"
#include "harness_requests.h"

enum
{
  MAX_RESTARTS = 20,
  STEP_US = 20000,
  LONG_TOKENS = 200, /* At 20 ms each: longer than the detection of a silent link takes. */
  AGENT_PORT_OFFSET = 70,
  URL_BYTES = 64,
  LIST_BYTES = 512,
};

static const char *const rules =
    "{\"rules\":[{\"name\":\"drafts\",\"when\":{\"path\":\"/v1/completions\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"drafts\",\"retries\":2}}]}";

static bt_testbed_t *testbed;
static bt_proxy_t *proxy;

static size_t
discard_bytes (char *data, size_t size, size_t count, void *argument)
{
  return size * count;
}

/* Publishes the proxy's address as the agent's. */
static bool
put_proxy_address (void)
{
  char url[URL_BYTES];
  char list[LIST_BYTES];
  CURL *easy = curl_easy_init ();
  CURLcode code;

  snprintf (url, sizeof url, "http://127.0.0.1:%d/instances", testbed->instances_port);
  snprintf (list, sizeof list,
            "{\"revision\":1000000,\"instances\":[{\"instance\":\"agent-0\",\"role\":\"agent\","
            "\"endpoint\":\"endpoint-0\",\"app\":\"drafts\",\"address\":\"127.0.0.1:%d\","
            "\"failure_domain\":\"hall\",\"state\":\"live\"}]}",
            bt_get_proxy_port (proxy));
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, list);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, "PUT");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_bytes);
  code = curl_easy_perform (easy);
  curl_easy_cleanup (easy);
  return code == CURLE_OK;
}

static bool
has_no_endpoint (void *argument)
{
  return bt_is_entry_ready (testbed, "entry-0", 0);
}

/* Restarts the agent. Returns whether the entry has connected to it through the proxy. */
static bool
restart_agent (void)
{
  return bt_signal_process (testbed, "agent-0", SIGKILL) && bt_wait_until (has_no_endpoint, NULL)
         && bt_start_process (testbed, "agent-0") && bt_wait_endpoints (testbed, "entry-0", 1)
         && bt_count_proxy_connections (proxy) > 0;
}

/* Restarts the agent until the entry has connected to it through the proxy: an entry that has not
 * read the new list yet connects to the old address and has no reason to connect again. */
static int
start_suite (void)
{
  bool through_proxy = false;

  testbed = bt_new_testbed (1, 1, 0, STEP_US, rules);
  if (testbed == NULL)
    return 1;
  proxy = bt_new_proxy (testbed->base_port + AGENT_PORT_OFFSET);
  if (proxy != NULL && put_proxy_address ())
    for (int32_t i = 0; i < MAX_RESTARTS && !through_proxy; i++)
      through_proxy = restart_agent ();
  if (through_proxy)
    return 0;
  fprintf (stderr, "the entry did not connect to the agent through the proxy\n");
  bt_drop_testbed (testbed, true);
  return 1;
}

static int
end_suite (void)
{
  bt_drop_proxy (proxy);
  bt_drop_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

/* While an answer is streamed, something between entry and agent stops forwarding: both ends keep
 * the connection open, and nothing passes. New connections work. The entry must detect the silence,
 * connect again and request the rest of the same run; the caller must get one complete answer of
 * one run. */
static void
test_link_goes_silent_during_an_answer (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t draft = { testbed, "entry-0", key, "silent link", LONG_TOKENS };
  int32_t connections = bt_count_proxy_connections (proxy);

  CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key));
  bt_start_draft (&draft);
  CU_ASSERT_TRUE (bt_wait_draft_started (&draft));
  bt_silence_proxy (proxy);
  bt_join_draft (&draft);
  CU_ASSERT_TRUE (bt_is_draft_complete (&draft));
  CU_ASSERT_EQUAL (bt_count_draft_runs (&draft), 1);
  CU_ASSERT_TRUE (bt_count_proxy_connections (proxy) > connections);
  bt_clear_reply (&draft.reply);
}

/* The same for a draft without a key: its run can't be requested again, so the caller must see an
 * answer that is cut off, and the run is stopped, since nobody could use its result. */
static void
test_link_goes_silent_without_a_key (void)
{
  bt_draft_t draft = { testbed, "entry-0", NULL, "silent, no key", LONG_TOKENS };

  CU_ASSERT_TRUE (bt_wait_endpoints (testbed, "entry-0", 1));
  bt_start_draft (&draft);
  CU_ASSERT_TRUE (bt_wait_draft_started (&draft));
  bt_silence_proxy (proxy);
  bt_join_draft (&draft);
  /* If the link goes silent before the first piece, there is no answer to cut off: the reply is
   * then complete and says that the outcome of the run is unknown. */
  CU_ASSERT (draft.reply.curl_code != 0 || strcmp (draft.reply.outcome, "unknown") == 0);
  CU_ASSERT_EQUAL (bt_count_draft_runs (&draft), 1);
  bt_clear_reply (&draft.reply);
}

/* Every frame between entry and agent arrives twice: the dispatch, its acceptance, the pieces and
 * the end of the answer. The draft must run once, and the caller must not get any piece twice. */
static void
test_duplicate_frames_are_ignored (void)
{
  char key[BT_KEY_TEXT_BYTES];
  bt_draft_t draft = { testbed, "entry-0", key, "doubled frames", 20 };

  CU_ASSERT_TRUE (bt_wait_endpoints (testbed, "entry-0", 1));
  CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key));
  bt_duplicate_proxy_frames (proxy, true);
  bt_send_draft (&draft);
  bt_duplicate_proxy_frames (proxy, false);
  CU_ASSERT_TRUE (bt_is_draft_complete (&draft));
  CU_ASSERT_EQUAL (bt_count_draft_runs (&draft), 1);
  bt_clear_reply (&draft.reply);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("request silence", start_suite, end_suite);
  CU_ADD_TEST (suite, test_duplicate_frames_are_ignored);
  CU_ADD_TEST (suite, test_link_goes_silent_during_an_answer);
  CU_ADD_TEST (suite, test_link_goes_silent_without_a_key);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures () + CU_get_number_of_suites_failed ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
