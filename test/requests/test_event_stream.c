#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/requests/event_stream.h"

static size_t
take (bt_event_stream_t *stream, const char *text)
{
  return bt_take_events (stream, text, strlen (text));
}

static void
test_whole_events_are_taken (void)
{
  bt_event_stream_t stream = { .last_number = -1 };
  const char *text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";

  CU_ASSERT_EQUAL (take (&stream, text), strlen ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
  CU_ASSERT_STRING_EQUAL (stream.last_id, "2");
  CU_ASSERT_EQUAL (stream.events, 2);
  CU_ASSERT_EQUAL (take (&stream, "id:3\r\ndata: c\r\n\r\n"), strlen ("id:3\r\ndata: c\r\n\r\n"));
  CU_ASSERT_STRING_EQUAL (stream.last_id, "3");
}

/* An endpoint dies in the middle of an event, and another goes on behind the last whole one. Had
 * the half event been passed on, the caller would read one event made of two runs. */
static void
test_half_events_wait (void)
{
  bt_event_stream_t stream = { .last_number = -1 };

  CU_ASSERT_EQUAL (take (&stream, "id: 1\ndata: whole\n\nid: 2\ndata: ha"),
                   strlen ("id: 1\ndata: whole\n\n"));
  CU_ASSERT_EQUAL (take (&stream, "id: 2\ndata: again\n\n"), strlen ("id: 2\ndata: again\n\n"));
  CU_ASSERT_EQUAL (stream.events, 2);
  CU_ASSERT_FALSE (stream.gap);
}

/* The endpoint that goes on with a stream begins in the wrong place: one event too late, so that
 * one is missing, or from the start, so that some come twice. Neither may reach the caller. */
static void
test_gaps_and_repeats_are_seen (void)
{
  bt_event_stream_t late = { .last_number = -1 };
  bt_event_stream_t early = { .last_number = -1 };

  take (&late, "id: 1\ndata: a\n\n");
  CU_ASSERT_EQUAL (take (&late, "id: 3\ndata: c\n\n"), 0);
  CU_ASSERT_TRUE (late.gap);
  take (&early, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CU_ASSERT_EQUAL (take (&early, "id: 1\ndata: a\n\n"), 0);
  CU_ASSERT_TRUE (early.gap);
}

static void
test_events_without_numbers_pass (void)
{
  bt_event_stream_t stream = { .last_number = -1 };

  CU_ASSERT_EQUAL (take (&stream, "data: a\n\nid: x\ndata: b\n\nid: y\ndata: c\n\n"),
                   strlen ("data: a\n\nid: x\ndata: b\n\nid: y\ndata: c\n\n"));
  CU_ASSERT_STRING_EQUAL (stream.last_id, "y");
  CU_ASSERT_FALSE (stream.gap);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("event_stream", NULL, NULL);
  CU_ADD_TEST (suite, test_whole_events_are_taken);
  CU_ADD_TEST (suite, test_half_events_wait);
  CU_ADD_TEST (suite, test_gaps_and_repeats_are_seen);
  CU_ADD_TEST (suite, test_events_without_numbers_pass);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
