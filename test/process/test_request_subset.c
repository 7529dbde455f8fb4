#include <CUnit/Basic.h>
#include <stdio.h>

#include "harness_requests.h"

enum
{
  ENTRIES = 9, /* One more than an agent has links to. */
  ENGINES = 2,
  STEP_US = 1000,
  NAME_BYTES = 32,
};

static const char *const rules =
    "{\"rules\":[{\"name\":\"drafts\",\"when\":{\"path\":\"/v1/completions\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"drafts\"}}]}";

static bt_testbed_t *testbed;

static int
start_suite (void)
{
  testbed = bt_new_testbed (ENTRIES, ENGINES, 0, STEP_US, rules);
  return testbed == NULL ? 1 : 0;
}

static int
end_suite (void)
{
  bt_drop_testbed (testbed, CU_get_number_of_failures () > 0);
  return 0;
}

/* There are more entries than an agent has links to. A caller sends one draft through each of them
 * in turn, with one key. An entry without a link to the key's home agent must connect to it for
 * this call, and every copy must get the one complete answer. Without that connection the entry
 * could only answer that the home agent can't be reached. */
static void
test_any_entry_reaches_the_home_agent (void)
{
  int64_t unlinked = 0;

  for (int32_t i = 0; i < ENTRIES; i++)
    {
      char name[NAME_BYTES];

      snprintf (name, sizeof name, "entry-%d", i);
      unlinked += ENGINES - bt_read_testbed_counter (testbed, name, "bilberry_endpoints_up");
    }
  CU_ASSERT_TRUE (unlinked > 0);
  for (int32_t round = 0; round < ENGINES; round++)
    {
      char key[BT_KEY_TEXT_BYTES];
      char prompt[NAME_BYTES];

      snprintf (prompt, sizeof prompt, "subset %d", round);
      CU_ASSERT_TRUE_FATAL (bt_fetch_ticket (testbed, "entry-0", "small", key));
      for (int32_t i = 0; i < ENTRIES; i++)
        {
          char name[NAME_BYTES];
          bt_draft_t draft = { testbed, name, key, prompt, 3 };

          snprintf (name, sizeof name, "entry-%d", i);
          bt_send_draft (&draft);
          CU_ASSERT_TRUE (bt_is_draft_complete (&draft));
          CU_ASSERT_EQUAL (bt_count_draft_runs (&draft), 1);
          bt_clear_reply (&draft.reply);
        }
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("request subset", start_suite, end_suite);
  CU_ADD_TEST (suite, test_any_entry_reaches_the_home_agent);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures () + CU_get_number_of_suites_failed ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
