#include <CUnit/Basic.h>
#include <string.h>

#include "bilberrytray/requests/fingerprint.h"

static bt_fingerprint_t
make_fingerprint (const char *secret, const char *account, const char *target, const char *body)
{
  bt_request_content_t content = { account, "POST", target, body, strlen (body) };
  bt_fingerprint_key_t key;
  bt_fingerprint_t fingerprint;

  bt_derive_fingerprint_key (secret, &key);
  bt_make_fingerprint (&key, &content, &fingerprint);
  return fingerprint;
}

static void
test_same_content_has_one_fingerprint (void)
{
  bt_fingerprint_t left = make_fingerprint ("s", "small", "/a/x", "shrimp");
  bt_fingerprint_t right = make_fingerprint ("s", "small", "/a/x", "shrimp");

  CU_ASSERT_TRUE (bt_same_fingerprint (&left, &right));
}

static void
test_each_part_changes_the_fingerprint (void)
{
  bt_fingerprint_t one = make_fingerprint ("s", "small", "/a/x", "shrimp");
  bt_fingerprint_t others[] = {
    make_fingerprint ("s", "large", "/a/x", "shrimp"),
    make_fingerprint ("s", "small", "/a/y", "shrimp"),
    make_fingerprint ("s", "small", "/a/x", "prawn"),
    make_fingerprint ("other", "small", "/a/x", "shrimp"),
    make_fingerprint ("s", "smal", "l/a/x", "shrimp"),
    make_fingerprint ("s", "small", "/a/xs", "hrimp"),
  };

  for (size_t i = 0; i < sizeof others / sizeof others[0]; i++)
    CU_ASSERT_FALSE (bt_same_fingerprint (&one, &others[i]));
}

static void
test_text_is_read_back (void)
{
  bt_fingerprint_t one = make_fingerprint ("", "", "/a/x", "");
  bt_fingerprint_t read;
  char text[BT_FINGERPRINT_TEXT_BYTES];

  bt_write_fingerprint (&one, text);
  CU_ASSERT_TRUE (bt_read_fingerprint (text, &read));
  CU_ASSERT_TRUE (bt_same_fingerprint (&one, &read));
  text[3] = 'x';
  CU_ASSERT_FALSE (bt_read_fingerprint (text, &read));
  text[3] = '\0';
  CU_ASSERT_FALSE (bt_read_fingerprint (text, &read));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("fingerprint", NULL, NULL);
  CU_ADD_TEST (suite, test_same_content_has_one_fingerprint);
  CU_ADD_TEST (suite, test_each_part_changes_the_fingerprint);
  CU_ADD_TEST (suite, test_text_is_read_back);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
