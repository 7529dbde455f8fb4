#include <CUnit/Basic.h>
#include <stdio.h>

#include "messages.h"

enum
{
  HEARTBEAT_MS = 1000,
  IDLE_MS = 5000,
  MAX_BYTES = 65536,
  MAX_LINKS = 2,
};

static void
ignore_link (bt_link_handler_t *handler, bt_link_t *link)
{
  (void)handler;
  (void)link;
}

static void
ignore_frame (bt_link_handler_t *handler, bt_link_t *link, const bt_frame_t *frame)
{
  (void)handler;
  (void)link;
  (void)frame;
}

static const bt_link_handler_vtable_t vtable = { ignore_link, ignore_frame, ignore_link,
                                                 ignore_link };
static bt_link_handler_t handler = { &vtable };
static bt_context_t *ctx;
static bt_link_loop_t *loop;
static bt_link_t *link;

/* Opens a link; nobody needs to be at its other end. */
static int
start_suite (void)
{
  const bt_link_options_t options = { .role = "entry",
                                      .instance = "entry-0",
                                      .failure_domain = "a",
                                      .address = "",
                                      .secret = "secret",
                                      .heartbeat_interval_ms = HEARTBEAT_MS,
                                      .idle_ms = IDLE_MS,
                                      .handshake_timeout_ms = IDLE_MS,
                                      .max_frame_bytes = MAX_BYTES,
                                      .max_unsent_bytes = MAX_BYTES,
                                      .max_links = MAX_LINKS,
                                      .handler = &handler };
  bt_error_t error = { 0 };
  int32_t port;
  char address[BT_ADDRESS_BYTES];

  ctx = bt_new_context ();
  bt_set_log_level (ctx, -1);
  loop = bt_new_link_loop (ctx, &options, &error);
  port = loop == NULL ? -1 : bt_listen_links (ctx, loop, "127.0.0.1:0", &error);
  if (port < 0)
    return 1;
  snprintf (address, sizeof address, "127.0.0.1:%d", (int)port);
  link = bt_dial_link (ctx, loop, address, "agent-0", &error);
  return link == NULL ? 1 : 0;
}

static int
end_suite (void)
{
  bt_drop_link_loop (ctx, loop);
  bt_drop_link (ctx, link);
  bt_drop_context (ctx);
  return 0;
}

static bool
read_status (uint32_t status, bt_reply_t *reply)
{
  Bilberry__Header type = BILBERRY__HEADER__INIT;
  Bilberry__Header *headers[] = { &type };
  Bilberry__AnswerHead head = BILBERRY__ANSWER_HEAD__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  type.value = "text/plain";
  head.status = status;
  head.headers = headers;
  head.n_headers = 1;
  frame.body_case = BILBERRY__FRAME__BODY_ANSWER_HEAD;
  frame.answer_head = &head;
  return bt_read_reply (link, &frame, reply);
}

/* Guards against a caller that gets a status which is none, or no answer at all: an agent, perhaps
 * of another version, names it in the head of an answer, or none. */
static void
test_head_without_a_final_status_is_no_reply (void)
{
  static const uint32_t odd[] = { 0, 1, 99, 100, 101, 199, 600, 999, 1000, UINT32_MAX };
  static const uint32_t sound[] = { 200, 204, 404, 503, 599 };
  bt_reply_t reply = { 0 };

  for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
    CU_ASSERT_FALSE (read_status (odd[i], &reply));
  for (size_t i = 0; i < sizeof sound / sizeof sound[0]; i++)
    {
      CU_ASSERT_TRUE (read_status (sound[i], &reply));
      CU_ASSERT_EQUAL (reply.status, sound[i]);
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("messages", start_suite, end_suite);
  CU_ADD_TEST (suite, test_head_without_a_final_status_is_no_reply);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures () + CU_get_number_of_suites_failed ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
