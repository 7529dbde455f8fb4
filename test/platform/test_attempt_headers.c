#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "bilberrytray/gateway/platform.h"

static char urgency[8];
static int32_t urgency_count;

static void
put_header (void *data, const char *name, const char *value)
{
  if (strcasecmp (name, "Bilberrytray-Request-Priority") != 0)
    return;
  urgency_count++;
  snprintf (urgency, sizeof urgency, "%s", value);
}

static void
write_headers (int32_t priority)
{
  const bt_attempt_info_t info = { .endpoint = "i-0", .account = "", .priority = priority };

  urgency_count = 0;
  urgency[0] = '\0';
  bt_get_platform ()->vtable->write_attempt_headers (&info, put_header, NULL);
}

/* Guards against endpoints that serve a low request of a contended app before a high one: they know
 * of priorities only what the gateway tells them. */
static void
test_endpoint_is_told_the_priority (void)
{
  write_headers (BT_PRIORITY_HIGH);
  CU_ASSERT_STRING_EQUAL (urgency, "0");
  write_headers (BT_PRIORITY_NORMAL);
  CU_ASSERT_STRING_EQUAL (urgency, "5");
  write_headers (BT_PRIORITY_LOW);
  CU_ASSERT_STRING_EQUAL (urgency, "9");
  CU_ASSERT_EQUAL (urgency_count, 1);
}

/* Guards against a changed order at the endpoints of apps that are not contended. */
static void
test_no_priority_is_stated_without_one (void)
{
  write_headers (-1);
  CU_ASSERT_EQUAL (urgency_count, 0);
}

/* Guards against callers that raise their own priority at the endpoint. */
static void
test_priority_of_a_caller_is_not_forwarded (void)
{
  bt_request_info_t info = { .request_id = "" };

  CU_ASSERT_FALSE (bt_get_platform ()->vtable->read_request_header ("Bilberrytray-Request-Priority",
                                                                    "0", &info));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("attempt_headers", NULL, NULL);
  CU_ADD_TEST (suite, test_endpoint_is_told_the_priority);
  CU_ADD_TEST (suite, test_no_priority_is_stated_without_one);
  CU_ADD_TEST (suite, test_priority_of_a_caller_is_not_forwarded);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
