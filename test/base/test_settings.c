#include <CUnit/Basic.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base.h"

typedef struct values
{
  const char *listen;
  int64_t idle_ms;
  bool quiet;
  double cores;
} values_t;

static const bt_setting_t settings[] = {
  { "listen", BT_SETTING_ADDRESS, offsetof (values_t, listen), NULL, 0, 0, "Where to listen." },
  { "idle-ms", BT_SETTING_INTEGER, offsetof (values_t, idle_ms), "50", 1, 100, "Idle limit, ms." },
  { "quiet", BT_SETTING_FLAG, offsetof (values_t, quiet), "false", 0, 0, "Say less." },
  { "cores", BT_SETTING_DECIMAL, offsetof (values_t, cores), "1", 0, 8, "Processor share." },
};

enum
{
  SETTING_COUNT = 4,
};

static bt_settings_result_t
parse (bt_context_t *ctx, int argc, char **argv, values_t *values, bt_findings_t *findings)
{
  return bt_parse_settings (ctx, settings, SETTING_COUNT, argc, argv, values, NULL, findings);
}

static void
test_flags_override_environment (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_findings_t *findings = bt_new_findings (ctx);
  char *argv[] = { "prog", "--listen", "127.0.0.1:80", "--quiet", NULL };
  values_t values = { 0 };

  setenv ("BILBERRY_LISTEN", "127.0.0.1:81", 1);
  setenv ("BILBERRY_IDLE_MS", "70", 1);
  CU_ASSERT_EQUAL (parse (ctx, 4, argv, &values, findings), BT_SETTINGS_OK);
  CU_ASSERT_STRING_EQUAL (values.listen, "127.0.0.1:80");
  CU_ASSERT_EQUAL (values.idle_ms, 70);
  CU_ASSERT_TRUE (values.quiet);
  unsetenv ("BILBERRY_LISTEN");
  unsetenv ("BILBERRY_IDLE_MS");
  bt_drop_findings (ctx, findings);
  bt_drop_context (ctx);
}

static void
test_all_findings_are_reported_together (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_findings_t *findings = bt_new_findings (ctx);
  char *argv[] = { "prog", "--idle-ms", "700", "--bogus", "rest", NULL };
  values_t values = { 0 };

  CU_ASSERT_EQUAL (parse (ctx, 5, argv, &values, findings), BT_SETTINGS_BAD);
  CU_ASSERT_EQUAL (bt_count_findings (findings), 4);
  CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 0)->message, "700 is not between 1 and 100.");
  CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 0)->file, "idle-ms");
  CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 1)->file, "--bogus");
  CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 2)->file, "rest");
  CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 3)->message,
                          "Set --listen or BILBERRY_LISTEN.");
  bt_drop_findings (ctx, findings);
  bt_drop_context (ctx);
}

static void
test_invalid_addresses_are_reported (void)
{
  static const char *const bad[] = { "localhost:80", "127.0.0.1", "127.0.0.1:", "1.2.3.4:99999" };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      bt_context_t *ctx = bt_new_context ();
      bt_findings_t *findings = bt_new_findings (ctx);
      char *argv[] = { "prog", "--listen", (char *)bad[i], NULL };
      values_t values = { 0 };

      CU_ASSERT_EQUAL (parse (ctx, 3, argv, &values, findings), BT_SETTINGS_BAD);
      bt_drop_findings (ctx, findings);
      bt_drop_context (ctx);
    }
}

static void
test_decimals_are_parsed_and_checked (void)
{
  static const char *const bad[] = { "", "much", "0.5x", "-0.1", "8.5", "nan" };
  bt_context_t *ctx = bt_new_context ();
  bt_findings_t *findings = bt_new_findings (ctx);
  char *good[] = { "prog", "--listen", "127.0.0.1:80", "--cores", "0.24", NULL };
  values_t values = { 0 };

  CU_ASSERT_EQUAL (parse (ctx, 5, good, &values, findings), BT_SETTINGS_OK);
  CU_ASSERT_DOUBLE_EQUAL (values.cores, 0.24, 1e-9);
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      bt_findings_t *found = bt_new_findings (ctx);
      char *argv[] = { "prog", "--listen", "127.0.0.1:80", "--cores", (char *)bad[i], NULL };

      CU_ASSERT_EQUAL (parse (ctx, 5, argv, &values, found), BT_SETTINGS_BAD);
      CU_ASSERT_STRING_EQUAL (bt_get_finding (found, 0)->file, "cores");
      bt_drop_findings (ctx, found);
    }
  bt_drop_findings (ctx, findings);
  bt_drop_context (ctx);
}

static void
test_help_and_version (void)
{
  bt_context_t *ctx = bt_new_context ();
  bt_findings_t *findings = bt_new_findings (ctx);
  char *help[] = { "prog", "--help", NULL };
  char *version[] = { "prog", "--version", NULL };
  values_t values = { 0 };

  CU_ASSERT_EQUAL (parse (ctx, 2, help, &values, findings), BT_SETTINGS_HELP);
  CU_ASSERT_EQUAL (parse (ctx, 2, version, &values, findings), BT_SETTINGS_VERSION);
  bt_drop_findings (ctx, findings);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("settings", NULL, NULL);
  CU_ADD_TEST (suite, test_flags_override_environment);
  CU_ADD_TEST (suite, test_all_findings_are_reported_together);
  CU_ADD_TEST (suite, test_invalid_addresses_are_reported);
  CU_ADD_TEST (suite, test_decimals_are_parsed_and_checked);
  CU_ADD_TEST (suite, test_help_and_version);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
