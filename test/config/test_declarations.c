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

typedef bt_declarations_t *(*parser_t) (bt_context_t *,
                                        const bt_document_text_t[BT_DOCUMENT_COUNT],
                                        bt_findings_t *);

static bt_declarations_t *
parse_with (parser_t parser,
            const char *accounts,
            const char *apps,
            const char *endpoints,
            const char *rules)
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
  return parser (ctx, documents, findings);
}

static bt_declarations_t *
parse (const char *accounts, const char *apps, const char *endpoints, const char *rules)
{
  return parse_with (bt_new_declarations, accounts, apps, endpoints, rules);
}

static bt_declarations_t *
parse_readable (const char *accounts, const char *apps, const char *endpoints, const char *rules)
{
  return parse_with (bt_new_readable_declarations, accounts, apps, endpoints, rules);
}

static void
drop_all (bt_declarations_t *declarations)
{
  bt_drop_declarations (ctx, declarations);
  bt_drop_findings (ctx, findings);
  bt_drop_context (ctx);
}

/* Fails the test if there are no declarations. */
static const bt_declarations_t *
require (const bt_declarations_t *declarations)
{
  CU_ASSERT_PTR_NOT_NULL_FATAL (declarations);
  if (declarations == NULL)
    abort ();
  return declarations;
}

/* Returns the rule that decides a request for a path; NULL: none. */
static const bt_rule_t *
match_path (const bt_declarations_t *declarations, const char *path)
{
  const bt_request_attributes_t attributes = {
    .account = "a", .app = "", .method = "POST", .path = path, .priority = BT_PRIORITY_NORMAL
  };
  const int32_t rule = bt_match_rules (declarations, &attributes);

  return rule < 0 ? NULL : &declarations->rules[rule];
}

/* Guards against one rule that can't be read freezing all documents: an entry of an earlier version
 * took none of the later changes, and did not become ready after a restart. The rule itself is not
 * used, and the rules behind it do not get its requests. */
static void
test_unreadable_rule_leaves_the_others (void)
{
  static const char *const rules[] = {
    "{\"name\":\"x\",\"when\":{\"path\":\"/x/*\",\"region\":\"r\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"s\"}}",
    "{\"name\":\"x\",\"when\":{\"path\":\"/x/*\"},\"then\":{\"action\":\"mirror\"}}",
    "{\"name\":\"x\",\"when\":{\"path\":\"/x/"
    "*\"},\"then\":{\"action\":\"route\",\"app\":\"none\"}}",
    "{\"name\":\"x\",\"when\":{\"path\":\"/x/*\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"s\",\"key\":\"wanted\"}}",
    "{\"name\":\"x\",\"when\":{\"path\":\"/x/*\"},\"then\":7}",
  };

  for (size_t i = 0; i < sizeof rules / sizeof rules[0]; i++)
    {
      bt_declarations_t *declarations;
      char text[1024];

      snprintf (text, sizeof text,
                "{\"rules\":[%s,{\"name\":\"all\",\"then\":{\"action\":\"route\",\"app\":\"m\"}}]}",
                rules[i]);
      declarations = parse_readable (good_accounts, good_apps, good_endpoints, text);
      CU_ASSERT_PTR_NOT_NULL_FATAL (declarations);
      CU_ASSERT_TRUE (declarations->finding_count > 0);
      CU_ASSERT_EQUAL (strncmp (bt_get_finding (findings, 0)->path, "rules[0].", 9), 0);
      CU_ASSERT_TRUE (match_path (declarations, "/x/y")->unreadable);
      CU_ASSERT_FALSE (match_path (declarations, "/z")->unreadable);
      CU_ASSERT_STRING_EQUAL (match_path (declarations, "/z")->name, "all");
      drop_all (declarations);
    }
}

/* Guards against a rule of which no condition can be read taking all requests. */
static void
test_rule_without_readable_condition_is_left_out (void)
{
  bt_declarations_t *declarations = parse_readable (
      good_accounts, good_apps, good_endpoints,
      "{\"rules\":[7,{\"name\":\"x\",\"when\":{\"region\":\"r\"},\"then\":{\"action\":\"refuse\"}},"
      "{\"name\":\"y\",\"when\":{\"path\":\"/"
      "y\"},\"then\":{\"action\":\"route\",\"app\":\"m\"}}]}");

  CU_ASSERT_PTR_NOT_NULL_FATAL (declarations);
  CU_ASSERT_EQUAL (declarations->rule_count, 1);
  CU_ASSERT_TRUE (declarations->rules_incomplete);
  CU_ASSERT_PTR_NULL (match_path (declarations, "/z"));
  CU_ASSERT_FALSE (match_path (declarations, "/y")->unreadable);
  drop_all (declarations);
}

static void
test_unreadable_accounts_and_apps_leave_the_others (void)
{
  bt_declarations_t *declarations =
      parse_readable ("{\"accounts\":[{\"name\":\"a b\",\"token_sha256\":\""
                      "8766b9cb08e6040b704f1e3ee1e186efccf2635b1d2634d6525333007e6aeae1\"},"
                      "{\"name\":\"b\",\"token_sha256\":\"12\",\"quota\":1}]}",
                      "{\"apps\":[{\"name\":\"m\",\"kind\":\"model\"},{\"name\":\"n\",\"kind\":"
                      "\"batch\"},{\"kind\":\"model\"}]}",
                      "{\"endpoints\":[{\"name\":\"e\",\"app\":\"n\"},{\"name\":\"f\",\"app\":"
                      "\"m\",\"slots\":\"x\"}]}",
                      good_rules);

  require (declarations);
  CU_ASSERT_EQUAL (declarations->account_count, 2);
  CU_ASSERT_TRUE (declarations->accounts[0].unreadable);
  CU_ASSERT_FALSE (declarations->accounts[1].unreadable);
  CU_ASSERT_TRUE (declarations->accounts_incomplete);
  CU_ASSERT_EQUAL (declarations->app_count, 1);
  CU_ASSERT_EQUAL (declarations->endpoint_count, 1);
  CU_ASSERT_FALSE (match_path (declarations, "/z")->unreadable);
  drop_all (declarations);
}

/* A document that is none, or has no list, leaves nothing to serve by. */
static void
test_unreadable_document_is_not_in_force (void)
{
  static const char *const texts[] = {
    "", "[]", "{", "{}", "{\"rules\":{}}", "{\"rules\":[],\"rules\":[]}"
  };

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      bt_declarations_t *declarations =
          parse_readable (good_accounts, good_apps, good_endpoints, texts[i]);

      CU_ASSERT_PTR_NULL (declarations);
      CU_ASSERT_TRUE (bt_count_findings (findings) > 0);
      drop_all (declarations);
    }
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
  CU_ADD_TEST (suite, test_unreadable_rule_leaves_the_others);
  CU_ADD_TEST (suite, test_rule_without_readable_condition_is_left_out);
  CU_ADD_TEST (suite, test_unreadable_accounts_and_apps_leave_the_others);
  CU_ADD_TEST (suite, test_unreadable_document_is_not_in_force);
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
