#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/config/rule.h"
#include "commands.h"
#include "request_story.h"

enum
{
  MAX_BODY_BYTES = 1 << 30,
  MAX_HEADERS = 16,
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
  const char *request; /**< The id of a request that ended; "" asks about rules. */
} explain_values_t;

#define FIELD(name) offsetof (explain_values_t, name)

static const bt_setting_t explain_settings[] = {
  { "account", BT_SETTING_TEXT, FIELD (account), "", 0, 0, "Client account that asks." },
  { "request", BT_SETTING_TEXT, FIELD (request), "", 0, 0,
    "Tell what became of the request with this id, from logs." },
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
explain_rules (bt_context_t *ctx, const explain_values_t *asked, int operand_count, char **operands)
{
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_declarations_t *declarations = NULL;
  bt_header_t headers[MAX_HEADERS];
  bt_request_attributes_t facts = { 0 };
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
  if (asked->account[0] == '\0')
    bt_add_finding (ctx, findings, "account", 0, NULL, "Set --account, or --request.");
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

static bool
read_log (bt_context_t *ctx, const char *path, bt_request_story_t *story, bt_findings_t *findings)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *line = NULL;
  size_t room = 0;

  if (file == NULL)
    {
      bt_add_finding (ctx, findings, path, 0, NULL, "The log can't be read: %s.", strerror (errno));
      return false;
    }
  while (getline (&line, &room, file) >= 0)
    bt_add_story_line (ctx, story, line);
  free (line);
  if (file != stdin)
    fclose (file);
  return true;
}

/* From a request's id to its cause, over the logs of several processes. */
static int
tell_story (bt_context_t *ctx, const char *request_id, int operand_count, char **operands)
{
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_request_story_t *story = bt_new_request_story (ctx, request_id);
  int status = BT_EXIT_DONE;

  if (operand_count < 1)
    bt_add_finding (ctx, findings, "explain", 0, NULL, "Expected logs, or - for standard input.");
  for (int i = 0; i < operand_count; i++)
    read_log (ctx, operands[i], story, findings);
  bt_print_findings (findings, stderr);
  if (bt_count_findings (findings) > 0)
    status = BT_EXIT_USAGE;
  else if (!bt_print_request_story (ctx, story, stdout))
    {
      fprintf (stderr, "explain: No line of these logs names the request %s.\n", request_id);
      status = BT_EXIT_FAILED;
    }
  bt_drop_request_story (ctx, story);
  bt_drop_findings (ctx, findings);
  return status;
}

static int
run_explain (bt_context_t *ctx, const void *values, int operand_count, char **operands)
{
  const explain_values_t *asked = values;

  if (asked->request[0] != '\0')
    return tell_story (ctx, asked->request, operand_count, operands);
  return explain_rules (ctx, asked, operand_count, operands);
}

const bt_command_t bt_explain_command = {
  "explain",
  "Say which rule of a folder decides a request, or what became of one by its id, and why.",
  "FOLDER [HEADER:VALUE]... | LOG...",
  explain_settings,
  sizeof explain_settings / sizeof explain_settings[0],
  sizeof (explain_values_t),
  run_explain,
};
