#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/config/rule.h"
#include "commands.h"

enum
{
  MAX_BODY_BYTES = 1 << 30,
  MAX_HEADERS = 16,
};

/** Settings of `bilberryd check`: none. */
typedef struct check_values
{
  bool unused;
} check_values_t;

static int
run_check (bt_context_t *ctx, const void *values, int operand_count, char **operands)
{
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_declarations_t *declarations = NULL;
  int32_t count;

  if (operand_count != 1)
    bt_add_finding (ctx, findings, "check", 0, NULL, "Expected one folder of declarations.");
  else
    declarations = bt_load_declarations (ctx, operands[0], findings);
  count = bt_count_findings (findings);
  bt_print_findings (findings, stderr);
  if (declarations != NULL)
    printf ("%d accounts, %d apps, %d endpoints, %d rules: no findings\n",
            declarations->account_count, declarations->app_count, declarations->endpoint_count,
            declarations->rule_count);
  bt_drop_declarations (ctx, declarations);
  bt_drop_findings (ctx, findings);
  return count == 0 ? BT_EXIT_DONE : BT_EXIT_USAGE;
}

const bt_command_t bt_check_command = {
  "check",   "Read declarations from a folder and print every finding.",
  "FOLDER",  NULL,
  0,         sizeof (check_values_t),
  run_check,
};

/** The request that `bilberryd explain` asks about. */
typedef struct explain_values
{
  const char *account;
  const char *app;
  const char *method;
  const char *path;
  const char *priority;
  int64_t body_bytes;
  bool idempotent;
} explain_values_t;

#define FIELD(name) offsetof (explain_values_t, name)

static const bt_setting_t explain_settings[] = {
  { "account", BT_SETTING_TEXT, FIELD (account), NULL, 0, 0, "Client account that asks." },
  { "app", BT_SETTING_TEXT, FIELD (app), "", 0, 0, "App that the request names." },
  { "method", BT_SETTING_TEXT, FIELD (method), "POST", 0, 0, "Method of the request." },
  { "path", BT_SETTING_TEXT, FIELD (path), "/v1/completions", 0, 0, "Path of the request." },
  { "priority", BT_SETTING_TEXT, FIELD (priority), "normal", 0, 0, "low, normal or high." },
  { "body-bytes", BT_SETTING_INTEGER, FIELD (body_bytes), "0", 0, MAX_BODY_BYTES,
    "Size of the body, bytes." },
  { "idempotent", BT_SETTING_FLAG, FIELD (idempotent), "false", 0, 0,
    "The request may be run twice." },
};

static int32_t
read_headers (
    bt_context_t *ctx, int count, char **operands, bt_header_t *headers, bt_findings_t *findings)
{
  int32_t used = 0;

  for (int i = 0; i < count; i++)
    {
      char *colon = strchr (operands[i], ':');

      if (colon == NULL || used == MAX_HEADERS)
        {
          bt_add_finding (ctx, findings, operands[i], 0, NULL,
                          "Expected up to %d headers as NAME:VALUE.", MAX_HEADERS);
          continue;
        }
      *colon = '\0';
      headers[used].name = operands[i];
      headers[used].value = colon + 1 + strspn (colon + 1, " ");
      used++;
    }
  return used;
}

static int
run_explain (bt_context_t *ctx, const void *values, int operand_count, char **operands)
{
  const explain_values_t *asked = values;
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_declarations_t *declarations = NULL;
  bt_header_t headers[MAX_HEADERS];
  bt_request_facts_t facts = { 0 };
  int32_t count;

  facts.account = asked->account;
  facts.app = asked->app;
  facts.method = asked->method;
  facts.path = asked->path;
  facts.headers = headers;
  facts.idempotent = asked->idempotent;
  facts.body_bytes = asked->body_bytes;
  if (!bt_parse_priority (asked->priority, &facts.priority))
    bt_add_finding (ctx, findings, "priority", 0, NULL, "There is no priority \"%s\".",
                    asked->priority);
  if (operand_count < 1)
    bt_add_finding (ctx, findings, "explain", 0, NULL, "Expected a folder of declarations.");
  else
    {
      facts.header_count = read_headers (ctx, operand_count - 1, operands + 1, headers, findings);
      declarations = bt_load_declarations (ctx, operands[0], findings);
    }
  count = bt_count_findings (findings);
  bt_print_findings (findings, stderr);
  if (count == 0)
    bt_explain_rules (declarations, &facts, stdout);
  bt_drop_declarations (ctx, declarations);
  bt_drop_findings (ctx, findings);
  return count == 0 ? BT_EXIT_DONE : BT_EXIT_USAGE;
}

const bt_command_t bt_explain_command = {
  "explain",
  "Say which rule of a folder decides a request, and why.",
  "FOLDER [HEADER:VALUE]...",
  explain_settings,
  sizeof explain_settings / sizeof explain_settings[0],
  sizeof (explain_values_t),
  run_explain,
};
