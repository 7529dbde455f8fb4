#include <CUnit/Basic.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness_requests.h"
#include "scripted_server.h"

enum
{
  BAD_GATEWAY = 502,
  PATH_BYTES = 64,
  BASE_TEN = 10,
};

#define FIELDS                    "Content-Type: text/event-stream\r\nBilberrytray-Server-Stamp: s\r\n"
#define EVENTS                    "data: 1\n\ndata: [DONE]\n\n"
#define EVENT_ANSWER(status_line) status_line "\r\n" FIELDS "\r\n" EVENTS

/* Answers whose status is no status, in the forms in which an endpoint in trouble may send them. */
static const char *const odd_answers[] = {
  "HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\nbody",
  "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody",
  "HTTP/1.1 000\r\n\r\n",
  "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 000 OK\r\n\r\nbody without a length",
  "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
  EVENT_ANSWER ("HTTP/1.1 000 OK"),
  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody",
  "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
  "HTTP/1.0 000 OK\r\nContent-Length: 4\r\n\r\nbody",
  "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nbody",
  "HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nbody",
  EVENT_ANSWER ("HTTP/1.1 999 OK"),
};

enum
{
  ODD_ANSWERS = sizeof odd_answers / sizeof odd_answers[0],
};

static const char *const rules =
    "{\"rules\":[{\"name\":\"lookups\",\"when\":{\"path\":\"/lookup/*\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"lookup\",\"idempotent\":true}},"
    "{\"name\":\"orders\",\"when\":{\"path\":\"/order/*\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"lookup\",\"idempotent\":false}},"
    "{\"name\":\"drafts\",\"when\":{\"path\":\"/v1/completions\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"drafts\"}}]}";

static bt_testbed_t *testbed;
static atomic_int odd_index;  /* of the answer to send */
static atomic_bool resumable; /* the answer begins a sound stream, and its rest is the odd answer */
static atomic_int runs;       /* requests that an endpoint got, other than for its load */

static void
send_text (int fd, const char *text)
{
  bt_send_script (fd, text, strlen (text));
}

static void
send_answer (void *data, int fd, const char *head)
{
  (void)data;
  if (strstr (head, " /load ") != NULL)
    {
      send_text (fd,
                 "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{\"running\":0,\"waiting\":0}  ");
      return;
    }
  if (strstr (head, "/cancel ") == NULL && strstr (head, "/stream?from=") == NULL)
    atomic_fetch_add (&runs, 1);
  if (atomic_load (&resumable) && strstr (head, "/stream?from=") == NULL)
    send_text (fd, "HTTP/1.1 200 OK\r\n" FIELDS "\r\ndata: 1\n\ndata: ");
  else
    send_text (fd, odd_answers[atomic_load (&odd_index)]);
}

static bool
replace_process (const char *name)
{
  return bt_signal_process (testbed, name, SIGKILL)
         && bt_start_scripted_server (bt_get_testbed_port (testbed, name), send_answer, NULL) != 0;
}

static int
start_suite (void)
{
  testbed = bt_new_testbed (1, 1, 1, 1000, rules);
  return testbed != NULL && replace_process ("plain-0") && replace_process ("engine-0") ? 0 : 1;
}

static int
end_suite (void)
{
  bt_drop_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

/* Checks that a caller is told that its request may have run, and gets no byte of the answer. */
static void
check_reply (bt_http_reply_t *reply, int32_t index)
{
  const bool good = reply->status == BAD_GATEWAY && strcmp (reply->outcome, "unknown") == 0
                    && strstr (bt_get_reply_text (reply), "body") == NULL
                    && strstr (bt_get_reply_text (reply), "data:") == NULL;

  if (!good)
    printf ("\nanswer %d: status %d, outcome %s, \"%s\"", (int)index, (int)reply->status,
            reply->outcome, bt_get_reply_text (reply));
  CU_ASSERT_TRUE (good);
  bt_clear_reply (reply);
}

static void
send_draft (const char *const *headers, bt_http_reply_t *reply)
{
  bt_send_entry_request (testbed, "entry-0", "small", "/v1/completions", headers,
                         "{\"prompt\":\"ten kilos\",\"max_tokens\":4}", reply);
}

static void
check_each_answer (const char *path)
{
  for (int32_t i = 0; i < ODD_ANSWERS; i++)
    {
      bt_http_reply_t reply;

      atomic_store (&odd_index, i);
      bt_send_entry_request (testbed, "entry-0", "small", path, NULL, "{}", &reply);
      check_reply (&reply, i);
    }
}

/* Guards against a status that is none, sent by an endpoint in trouble, in a caller's answer. */
static void
test_odd_status_is_no_answer (void)
{
  check_each_answer ("/order/x");
}

/* Guards against a status that says that nothing ran, behind an attempt that may have: the request
 * is idempotent, so it is tried again, and there is no other endpoint. */
static void
test_no_further_endpoint_is_no_proof (void)
{
  check_each_answer ("/lookup/x");
}

/* Guards against the same in the kept answer of a run, which its caller asks for again by its key:
 * it gets no answer then either, and nothing runs a second time. */
static void
test_odd_status_is_not_kept (void)
{
  for (int32_t i = 0; i < ODD_ANSWERS; i++)
    {
      char key[BT_KEY_TEXT_BYTES + PATH_BYTES] = "Idempotency-Key: ";
      const char *const headers[] = { key, NULL };
      bt_http_reply_t reply;

      atomic_store (&odd_index, i);
      atomic_store (&runs, 0);
      CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key + strlen (key)));
      for (int32_t k = 0; k < 2; k++)
        {
          send_draft (headers, &reply);
          check_reply (&reply, i);
        }
      CU_ASSERT_EQUAL (atomic_load (&runs), 1);
    }
}

/* Guards against the same in answers that are passed on before they are complete. */
static void
test_odd_status_begins_no_stream (void)
{
  for (int32_t i = 0; i < ODD_ANSWERS; i++)
    {
      bt_http_reply_t reply;

      atomic_store (&odd_index, i);
      send_draft (NULL, &reply);
      check_reply (&reply, i);
    }
}

/* Guards against an answer without a status that is taken for the rest of a stream. */
static void
test_odd_status_continues_no_stream (void)
{
  atomic_store (&resumable, true);
  for (int32_t i = 0; i < ODD_ANSWERS; i++)
    {
      bt_http_reply_t reply;

      atomic_store (&odd_index, i);
      send_draft (NULL, &reply);
      CU_ASSERT_NOT_EQUAL (reply.curl_code, 0);
      CU_ASSERT_STRING_EQUAL (bt_get_reply_text (&reply), "data: 1\n\n");
      bt_clear_reply (&reply);
    }
  atomic_store (&resumable, false);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("odd_status", start_suite, end_suite);
  CU_ADD_TEST (suite, test_odd_status_is_no_answer);
  CU_ADD_TEST (suite, test_no_further_endpoint_is_no_proof);
  CU_ADD_TEST (suite, test_odd_status_is_not_kept);
  CU_ADD_TEST (suite, test_odd_status_begins_no_stream);
  CU_ADD_TEST (suite, test_odd_status_continues_no_stream);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures () + CU_get_number_of_suites_failed ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
