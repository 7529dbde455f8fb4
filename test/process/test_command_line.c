#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "harness.h"

enum
{
  EXIT_DONE = 0,
  EXIT_FAILED = 1,
  EXIT_USAGE = 2,
};

static void
check_program (const char *line, int32_t exit_code, const char *const *wanted)
{
  char *output = NULL;

  CU_ASSERT_EQUAL (bt_run_program (line, &output), exit_code);
  for (int32_t i = 0; output != NULL && wanted[i] != NULL; i++)
    {
      if (strstr (output, wanted[i]) == NULL)
        fprintf (stderr, "\"%s\" is not in:\n%s", wanted[i], output);
      CU_ASSERT_PTR_NOT_NULL (strstr (output, wanted[i]));
    }
  free (output);
}

static void
test_help_and_version (void)
{
  static const char *const commands[] = { "serve", "check", "explain", NULL };
  static const char *const version[] = { "bilberryd 0.", NULL };
  static const char *const flags[] = { "--store-url", "BILBERRY_STORE_URL, required", NULL };
  static const char *const agent[] = { "--endpoint-url", "default 16", NULL };

  check_program ("bilberryd --help", EXIT_DONE, commands);
  check_program ("bilberryd --version", EXIT_DONE, version);
  check_program ("bilberryd serve --help", EXIT_DONE, flags);
  check_program ("bilberry-agent --help", EXIT_DONE, agent);
}

static void
test_invalid_settings_are_reported_together (void)
{
  static const char *const findings[] = { "listen: \"nowhere\" is not of the form IP:PORT.",
                                          "workers: 1 is not between 2 and 64.",
                                          "--bogus: There is no such flag.",
                                          "instance: Set --instance or BILBERRY_INSTANCE.", NULL };
  static const char *const agent[] = { "slots: \"many\" is not a whole number.", NULL };
  static const char *const usage[] = { "Usage: bilberryd", NULL };

  check_program ("bilberryd serve --listen nowhere --workers 1 --bogus", EXIT_USAGE, findings);
  check_program ("bilberry-agent --slots many", EXIT_USAGE, agent);
  check_program ("bilberryd", EXIT_USAGE, usage);
  check_program ("bilberryd dance", EXIT_USAGE, usage);
}

/* Guards against an instance that rejects its memory with a fraction, as deployments set it, and
 * against a bound on buffers that no call or no instance can keep. */
static void
test_settings_of_buffers_are_checked (void)
{
  /* The address is of no host, so that an accepted line ends at once, too. */
  static const char *const settings = "bilberryd gateway --instance=a --failure-domain=a "
                                      "--listen=192.0.2.1:1 --addresses=192.0.2.1:2 "
                                      "--ready=192.0.2.1:3 --links=192.0.2.1:4 "
                                      "--store=192.0.2.1:5 --secret=none";
  static const char *const more_than_memory[] = { "buffer-mb: Must not be more than --memory-mb.",
                                                  NULL };
  static const char *const too_small[] = { "call-buffer-kb: Must not be more than the bound",
                                           NULL };
  static const char *const accepted[] = { "start-failed", NULL };
  char line[512];

  snprintf (line, sizeof line, "%s --memory-mb=160.5 --buffer-mb=161", settings);
  check_program (line, EXIT_USAGE, more_than_memory);
  snprintf (line, sizeof line, "%s --memory-mb=160.0 --call-buffer-kb=10241", settings);
  check_program (line, EXIT_USAGE, too_small);
  snprintf (line, sizeof line, "%s --memory-mb=160.0 --call-buffer-kb=10240", settings);
  check_program (line, EXIT_FAILED, accepted);
}

/* Guards against an instance that rejects a retry reserve with a fraction, or of zero. Deployments
 * set such values, and callers have no instance if it does not start. */
static void
test_retry_reserve_accepts_fractions (void)
{
  static const char *const reserves[] = { "37.333333333333336", "448.0", "0" };
  char line[128];
  char *output = NULL;

  for (size_t i = 0; i < sizeof reserves / sizeof reserves[0]; i++)
    {
      snprintf (line, sizeof line, "bilberryd gateway --retry-reserve %s", reserves[i]);
      CU_ASSERT_EQUAL (bt_run_program (line, &output), EXIT_USAGE);
      CU_ASSERT_PTR_NOT_NULL_FATAL (output);
      CU_ASSERT_PTR_NOT_NULL (strstr (output, "store: Set --store or BILBERRY_STORE."));
      CU_ASSERT_PTR_NULL (strstr (output, "retry-reserve"));
      free (output);
    }
}

static void
test_check_accepts_the_examples (void)
{
  static const char *const none[] = { "no findings", NULL };

  check_program ("bilberryd check examples/haiyun", EXIT_DONE, none);
  check_program ("bilberryd check examples/plate-makers", EXIT_DONE, none);
}

static void
write_file (const char *folder, const char *name, const char *text)
{
  char path[256];
  FILE *file;

  snprintf (path, sizeof path, "%s/%s", folder, name);
  file = fopen (path, "w");
  if (file == NULL)
    return;
  fputs (text, file);
  fclose (file);
}

static void
remove_folder (const char *folder)
{
  static const char *const names[] = { "accounts.json", "apps.json", "rules.json" };
  char path[256];

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      snprintf (path, sizeof path, "%s/%s", folder, names[i]);
      unlink (path);
    }
  rmdir (folder);
}

static void
test_check_reports_a_missing_file (void)
{
  static const char *const missing[] = { "endpoints.json: Can't be read", NULL };
  char folder[] = "/tmp/bilberry-check-XXXXXX";
  char line[128];

  if (mkdtemp (folder) == NULL)
    {
      CU_FAIL ("the folder was not created");
      return;
    }
  write_file (folder, "accounts.json", "{\"accounts\":[]}");
  write_file (folder, "apps.json", "{\"apps\":[\n  {\"name\": 5}]}");
  write_file (folder, "rules.json", "{\"rules\":[]}");
  snprintf (line, sizeof line, "bilberryd check %s", folder);
  check_program (line, EXIT_USAGE, missing);
  remove_folder (folder);
}

static void
test_explain_names_the_matching_rule (void)
{
  static const char *const wanted[] = { "oversized: does not match, by body_bytes",
                                        "order-drafts: matches and decides", "key required", NULL };
  static const char *const bad[] = { "priority: There is no priority \"urgent\".", NULL };

  check_program ("bilberryd explain --account buyers-north examples/haiyun X-Task:draft", EXIT_DONE,
                 wanted);
  check_program ("bilberryd explain --account x --priority urgent examples/haiyun", EXIT_USAGE,
                 bad);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("command line", NULL, NULL);
  CU_ADD_TEST (suite, test_help_and_version);
  CU_ADD_TEST (suite, test_invalid_settings_are_reported_together);
  CU_ADD_TEST (suite, test_settings_of_buffers_are_checked);
  CU_ADD_TEST (suite, test_retry_reserve_accepts_fractions);
  CU_ADD_TEST (suite, test_check_accepts_the_examples);
  CU_ADD_TEST (suite, test_check_reports_a_missing_file);
  CU_ADD_TEST (suite, test_explain_names_the_matching_rule);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
