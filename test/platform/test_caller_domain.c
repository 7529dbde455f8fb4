#include <CUnit/Basic.h>

#include "bilberrytray/gateway/platform.h"

static void
check_domain (const char *target, const char *expected)
{
  char domain[BT_NAME_BYTES];

  bt_get_platform ()->vtable->read_caller_domain (target, domain);
  CU_ASSERT_STRING_EQUAL (domain, expected);
}

/* A caller that names its failure domain gets the instances in it. No other part of the request may
 * be read as a failure domain. */
static void
test_failure_domain_of_a_caller (void)
{
  check_domain ("/v1/resolve?name=shop.example&region=north&zone=hall-1", "hall-1");
  check_domain ("/v1/resolve?zone=hall-2&name=shop.example", "hall-2");
  check_domain ("/v1/resolve?zone=", "");
  check_domain ("/v1/resolve", "");
  check_domain ("/v1/resolve?", "");
  check_domain ("/v1/resolve?timezone=hall-1&name=zone=hall-3", "");
  check_domain ("/v1/resolve?zone=a-name-that-is-far-too-long-for-any-failure-domain-of-an-instance"
                "-and-goes-on-beyond-what-a-name-may-have-in-this-system-whatever-it-is-called-by",
                "");
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("caller_domain", NULL, NULL);
  CU_ADD_TEST (suite, test_failure_domain_of_a_caller);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
