#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base.h"
#include "bilberrytray/config/rule.h"

enum
{
  MAX_DOCUMENT_BYTES = 1 << 20,
};

static bt_context_t *ctx;

static char *
read_document (const char *folder, const char *name, size_t *bytes)
{
  char path[256];
  char *text = calloc (1, MAX_DOCUMENT_BYTES);
  FILE *file;

  snprintf (path, sizeof path, "examples/%s/%s.json", folder, name);
  file = fopen (path, "rb");
  if (file != NULL && text != NULL)
    {
      *bytes = fread (text, 1, MAX_DOCUMENT_BYTES - 1, file);
      fclose (file);
    }
  return text;
}

static bt_declarations_t *
load_example (const char *folder)
{
  bt_document_text_t documents[BT_DOCUMENT_COUNT] = { 0 };
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_declarations_t *declarations;

  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    {
      documents[i].file = bt_name_document ((bt_document_kind_t)i);
      documents[i].data = read_document (folder, documents[i].file, &documents[i].bytes);
    }
  declarations = bt_new_declarations (ctx, documents, findings);
  bt_print_findings (findings, stderr);
  bt_drop_findings (ctx, findings);
  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    free ((void *)documents[i].data);
  return declarations;
}

/** A request to the rules of an example, and the rule expected to decide it; NULL: none. */
typedef struct example
{
  const char *account;
  const char *method;
  const char *path;
  const char *header;
  const char *value;
  int64_t body_bytes;
  const char *rule;
} example_t;

static void
check_examples (const char *folder, const example_t *examples, size_t count)
{
  bt_declarations_t *declarations;

  ctx = bt_new_context ();
  declarations = load_example (folder);
  CU_ASSERT_PTR_NOT_NULL_FATAL (declarations);
  for (size_t i = 0; i < count; i++)
    {
      bt_header_t header = { examples[i].header, examples[i].value };
      bt_request_attributes_t attributes = { 0 };
      int32_t rule;

      attributes.account = examples[i].account;
      attributes.app = "";
      attributes.method = examples[i].method;
      attributes.path = examples[i].path;
      attributes.headers = &header;
      attributes.header_count = examples[i].header == NULL ? 0 : 1;
      attributes.body_bytes = examples[i].body_bytes;
      attributes.priority = BT_PRIORITY_NORMAL;
      rule = bt_match_rules (declarations, &attributes);
      CU_ASSERT_EQUAL (rule < 0, examples[i].rule == NULL);
      if (rule >= 0 && examples[i].rule != NULL)
        CU_ASSERT_STRING_EQUAL (declarations->rules[rule].name, examples[i].rule);
    }
  bt_drop_declarations (ctx, declarations);
  bt_drop_context (ctx);
}

static void
test_haiyun_rules_decide_as_documented (void)
{
  static const example_t examples[] = {
    { "drivers", "POST", "/lookup/stock", NULL, NULL, 20, "driver-pings" },
    { "drivers", "POST", "/v1/completions", NULL, NULL, 20, "drivers-nothing-else" },
    { "buyers-north", "POST", "/v1/completions", NULL, NULL, 300000, "oversized" },
    { "credit-office", "POST", "/v1/completions", "X-Task", "credit-note", 20, "credit-notes" },
    { "buyers-south", "POST", "/v1/completions", "x-task", "draft", 20, "order-drafts" },
    { "night-markets", "POST", "/v1/completions", "X-Dialect", "market", 20, "market-dialect" },
    { "night-markets", "POST", "/v1/completions", "X-Dialect", "hakka", 20, "drafting" },
    { "buyers-north", "POST", "/elsewhere", NULL, NULL, 20, NULL },
  };

  check_examples ("haiyun", examples, sizeof examples / sizeof examples[0]);
}

static void
test_plate_makers_rules_decide_as_documented (void)
{
  static const example_t examples[] = {
    { "counter-cbd", "POST", "/blanks/order", NULL, NULL, 20, "blank-stock-order" },
    { "audit", "POST", "/counter/licence", NULL, NULL, 20, "counter" },
    { "audit", "POST", "/v1/completions", NULL, NULL, 20, "audit-reads-only" },
    { "theft-desk", "POST", "/v1/completions", NULL, NULL, 20, "theft-replacements" },
    { "fleet-desk", "POST", "/v1/completions", NULL, NULL, 20000, "fleet-batches" },
    { "fleet-desk", "POST", "/v1/completions", NULL, NULL, 200, "form-checks" },
    { "kisumu-plates", "GET", "/blanks/order", NULL, NULL, 0, NULL },
  };

  check_examples ("plate-makers", examples, sizeof examples / sizeof examples[0]);
}

static void
test_explanation_names_first_failing_part (void)
{
  bt_declarations_t *declarations;
  bt_request_attributes_t attributes = { 0 };
  char *text = NULL;
  size_t bytes = 0;
  FILE *out = open_memstream (&text, &bytes);

  ctx = bt_new_context ();
  declarations = load_example ("haiyun");
  CU_ASSERT_PTR_NOT_NULL_FATAL (declarations);
  attributes.account = "buyers-north";
  attributes.app = "";
  attributes.method = "POST";
  attributes.path = "/v1/completions";
  bt_explain_rules (declarations, &attributes, out);
  fclose (out);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "driver-pings: does not match, by account"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "oversized: does not match, by body_bytes"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "drafting: matches and decides"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "route to order-drafting"));
  free (text);
  bt_drop_declarations (ctx, declarations);
  bt_drop_context (ctx);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("rule", NULL, NULL);
  CU_ADD_TEST (suite, test_haiyun_rules_decide_as_documented);
  CU_ADD_TEST (suite, test_plate_makers_rules_decide_as_documented);
  CU_ADD_TEST (suite, test_explanation_names_first_failing_part);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
