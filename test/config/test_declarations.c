#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/config/rule.h"

static const char *const good_accounts =
    "{\"accounts\":[{\"name\":\"a\",\"token_sha256\":\""
    "8766b9cb08e6040b704f1e3ee1e186efccf2635b1d2634d6525333007e6aeae1\"}]}";
static const char *const good_apps =
    "{\"apps\":[{\"name\":\"m\",\"kind\":\"model\"},{\"name\":\"s\",\"kind\":\"service\"}]}";
static const char *const good_endpoints = "{\"endpoints\":[{\"name\":\"e\",\"app\":\"m\"}]}";
static const char *const good_rules =
    "{\"rules\":[{\"name\":\"all\",\"then\":{\"action\":\"route\",\"app\":\"m\"}}]}";

static bt_context_t *ctx;
static bt_findings_t *findings;

static bt_declarations_t *
parse (const char *accounts, const char *apps, const char *endpoints, const char *rules)
{
  const char *texts[] = { accounts, apps, endpoints, rules };
  static const char *const files[] = { "accounts.json", "apps.json", "endpoints.json",
                                       "rules.json" };
  bt_document_text_t documents[BT_DOCUMENT_COUNT];

  ctx = bt_new_context ();
  findings = bt_new_findings (ctx);
  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    {
      documents[i].file = files[i];
      documents[i].data = texts[i];
      documents[i].bytes = strlen (texts[i]);
    }
  return bt_new_declarations (ctx, documents, findings);
}

static void
drop_all (bt_declarations_t *declarations)
{
  bt_drop_declarations (ctx, declarations);
  bt_drop_findings (ctx, findings);
  bt_drop_context (ctx);
}

/** A rules.json with one error, and the line, path and message of the expected finding. */
typedef struct rule_fault
{
  const char *rules;
  int32_t line;
  const char *path;
  const char *message;
} rule_fault_t;

static const rule_fault_t rule_faults[] = {
  { "{\"rules\":[\n{\"name\":\"r\",\n\"whn\":{},\"then\":{\"action\":\"route\",\"app\":\"m\"}}]}",
    3, "rules[0].whn", "There is no such field." },
  { "{\"rules\":[{\"name\":\"r\",\"then\":{\"action\":\"route\",\n\"app\":\"x\"}}]}", 2,
    "rules[0].then.app", "There is no app \"x\"." },
  { "{\"rules\":[{\"name\":\"r\",\"when\":{\"account\":\"b\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"m\"}}]}",
    1, "rules[0].when.account", "There is no account \"b\"." },
  { "{\"rules\":[{\"name\":\"r\",\"then\":{\"action\":\"drop\"}}]}", 1, "rules[0].then.action",
    "Expected one of \"route\", \"refuse\"." },
  { "{\"rules\":[{\"name\":\"r\",\"then\":{\"action\":\"route\",\"app\":\"m\",\"retries\":9}}]}", 1,
    "rules[0].then.retries", "Expected a whole number from 0 to 5." },
  { "{\"rules\":[{\"name\":\"r\",\"when\":{\"body_bytes\":{\"min\":5,\"max\":4}},"
    "\"then\":{\"action\":\"route\",\"app\":\"m\"}}]}",
    1, "rules[0].when.body_bytes", "The rule can never match: min is above max." },
  { "{\"rules\":[{\"name\":\"r\",\"when\":{\"path\":\"v1\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"m\"}}]}",
    1, "rules[0].when.path", "A path starts with '/'." },
  { "{\"rules\":[{\"name\":\"r\",\"then\":{\"action\":\"refuse\",\"app\":\"m\"}}]}", 1,
    "rules[0].then.app", "There is no such field." },
  { "{\"rules\":[{\"name\":\"r\"}]}", 1, "rules[0]", "A rule needs \"then\"." },
  { "{\"rules\":[{\"name\":\"p*\",\"then\":{\"action\":\"route\",\"app\":\"m\"}}]}", 1,
    "rules[0].name", "Expected a name of up to 63 letters, digits, '.', '_' or '-'." },
  { "{\"rules\":[{\"name\":\"wide\",\"when\":{\"path\":\"/v1/*\"},\"then\":{\"action\":\"route\","
    "\"app\":\"m\"}},\n{\"name\":\"narrow\",\"when\":{\"path\":\"/v1/x\",\"account\":\"a\"},"
    "\"then\":{\"action\":\"refuse\"}}]}",
    2, "rules[1]", "The rule \"narrow\" can never match: \"wide\" matches all of it before." },
};

static void
test_each_rule_fault_has_line_and_path (void)
{
  for (size_t i = 0; i < sizeof rule_faults / sizeof rule_faults[0]; i++)
    {
      const rule_fault_t *fault = &rule_faults[i];
      bt_declarations_t *declarations =
          parse (good_accounts, good_apps, good_endpoints, fault->rules);

      CU_ASSERT_PTR_NULL (declarations);
      CU_ASSERT_EQUAL (bt_count_findings (findings), 1);
      CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 0)->file, "rules.json");
      CU_ASSERT_EQUAL (bt_get_finding (findings, 0)->line, fault->line);
      CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 0)->path, fault->path);
      CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 0)->message, fault->message);
      drop_all (declarations);
    }
}

static void
test_findings_of_all_documents_are_reported (void)
{
  bt_declarations_t *declarations =
      parse ("{\"accounts\":[{\"name\":\"a\",\"token_sha256\":\"12\"}]}", "{\"apps\":[7]}",
             "{\"endpoints\":[{\"name\":\"e\",\"app\":\"m\"}]}", "{\"rules\":");

  CU_ASSERT_PTR_NULL (declarations);
  CU_ASSERT_EQUAL (bt_count_findings (findings), 4);
  CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 0)->file, "accounts.json");
  CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 1)->file, "apps.json");
  CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 2)->file, "endpoints.json");
  CU_ASSERT_STRING_EQUAL (bt_get_finding (findings, 3)->file, "rules.json");
  drop_all (declarations);
}

static void
test_duplicates_are_found (void)
{
  bt_declarations_t *declarations =
      parse (good_accounts, "{\"apps\":[{\"name\":\"m\"},{\"name\":\"m\"}]}", good_endpoints,
             "{\"rules\":[],\"rules\":[]}");

  CU_ASSERT_PTR_NULL (declarations);
  CU_ASSERT_EQUAL (bt_count_findings (findings), 2);
  drop_all (declarations);
}

static void
test_token_finds_its_account (void)
{
  bt_declarations_t *declarations = parse (good_accounts, good_apps, good_endpoints, good_rules);

  CU_ASSERT_PTR_NOT_NULL_FATAL (declarations);
  CU_ASSERT_EQUAL (bt_find_token (declarations, "secret-a"), 0);
  CU_ASSERT_EQUAL (bt_find_token (declarations, "secret-b"), -1);
  CU_ASSERT_EQUAL (bt_find_token (declarations, ""), -1);
  drop_all (declarations);
}

/* Every truncated document must be refused with a finding and never read past its end (ASan). */
static void
test_truncated_documents_are_refused (void)
{
  for (size_t bytes = 0; bytes < strlen (good_rules); bytes++)
    {
      char *truncated = strndup (good_rules, bytes);
      bt_declarations_t *declarations = parse (good_accounts, good_apps, good_endpoints, truncated);

      CU_ASSERT_PTR_NULL (declarations);
      CU_ASSERT_TRUE (bt_count_findings (findings) >= 1);
      drop_all (declarations);
      free (truncated);
    }
}

/* Random corruption of single bytes, with a fixed seed: the result is either declarations or
 * findings, never neither. */
static void
test_corrupted_documents_are_refused_or_read (void)
{
  bt_random_t random;

  bt_seed_random (&random, 20261202);
  for (int32_t round = 0; round < 3000; round++)
    {
      char *corrupted = strdup (rule_faults[10].rules);
      bt_declarations_t *declarations;

      for (int32_t i = 0; i < 3; i++)
        corrupted[bt_random_below (&random, strlen (rule_faults[10].rules))] =
            (char)(1 + bt_random_below (&random, 127));
      declarations = parse (good_accounts, good_apps, good_endpoints, corrupted);
      CU_ASSERT_EQUAL (declarations == NULL, bt_count_findings (findings) > 0);
      drop_all (declarations);
      free (corrupted);
    }
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("declarations", NULL, NULL);
  CU_ADD_TEST (suite, test_each_rule_fault_has_line_and_path);
  CU_ADD_TEST (suite, test_findings_of_all_documents_are_reported);
  CU_ADD_TEST (suite, test_duplicates_are_found);
  CU_ADD_TEST (suite, test_token_finds_its_account);
  CU_ADD_TEST (suite, test_truncated_documents_are_refused);
  CU_ADD_TEST (suite, test_corrupted_documents_are_refused_or_read);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
