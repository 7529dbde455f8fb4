#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/config/rule.h"
#include "commands.h"
#include "request_trace.h"

enum
{
  MAX_BODY_BYTES = 1 << 30,
  MAX_HEADERS = 16,
};

/** Settings of `bilberryd explain`. */
typedef struct explain_values
{
  const char *account;
  const char *app;
  const char *method;
  const char *path;
  const char *priority;
  int64_t body_bytes;
  bool idempotent;
  const char *request; /**< Id of a finished request; "" explains which rule matches. */
} explain_values_t;

#define FIELD(name) offsetof (explain_values_t, name)

static const bt_setting_t explain_settings[] = {
  { "account", BT_SETTING_TEXT, FIELD (account), "", 0, 0,
    "Client account that sends the request." },
  { "request", BT_SETTING_TEXT, FIELD (request), "", 0, 0,
    "Explain what happened to the request with this id, from logs." },
  { "app", BT_SETTING_TEXT, FIELD (app), "", 0, 0, "App named by the request." },
  { "method", BT_SETTING_TEXT, FIELD (method), "POST", 0, 0, "Method of the request." },
  { "path", BT_SETTING_TEXT, FIELD (path), "/v1/completions", 0, 0, "Path of the request." },
  { "priority", BT_SETTING_TEXT, FIELD (priority), "normal", 0, 0, "low, normal or high." },
  { "body-bytes", BT_SETTING_INTEGER, FIELD (body_bytes), "0", 0, MAX_BODY_BYTES,
    "Size of the body, bytes." },
  { "idempotent", BT_SETTING_FLAG, FIELD (idempotent), "false", 0, 0,
    "The request may run more than once." },
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
explain_rules (bt_context_t *ctx,
               const explain_values_t *options,
               int operand_count,
               char **operands)
{
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_declarations_t *declarations = NULL;
  bt_header_t headers[MAX_HEADERS];
  bt_request_attributes_t attributes = { 0 };
  int32_t count;

  attributes.account = options->account;
  attributes.app = options->app;
  attributes.method = options->method;
  attributes.path = options->path;
  attributes.headers = headers;
  attributes.idempotent = options->idempotent;
  attributes.body_bytes = options->body_bytes;
  if (!bt_parse_priority (options->priority, &attributes.priority))
    bt_add_finding (ctx, findings, "priority", 0, NULL, "There is no priority \"%s\".",
                    options->priority);
  if (options->account[0] == '\0')
    bt_add_finding (ctx, findings, "account", 0, NULL, "Set --account or --request.");
  if (operand_count < 1)
    bt_add_finding (ctx, findings, "explain", 0, NULL, "Expected a folder of declarations.");
  else
    {
      attributes.header_count =
          read_headers (ctx, operand_count - 1, operands + 1, headers, findings);
      declarations = bt_load_declarations (ctx, operands[0], findings);
    }
  count = bt_count_findings (findings);
  bt_print_findings (findings, stderr);
  if (count == 0)
    bt_explain_rules (declarations, &attributes, stdout);
  bt_drop_declarations (ctx, declarations);
  bt_drop_findings (ctx, findings);
  return count == 0 ? BT_EXIT_DONE : BT_EXIT_USAGE;
}

static bool
read_log (bt_context_t *ctx, const char *path, bt_request_trace_t *trace, bt_findings_t *findings)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *line = NULL;
  size_t capacity = 0;

  if (file == NULL)
    {
      bt_add_finding (ctx, findings, path, 0, NULL, "Cannot read the log: %s.", strerror (errno));
      return false;
    }
  while (getline (&line, &capacity, file) >= 0)
    bt_add_trace_line (ctx, trace, line);
  free (line);
  if (file != stdin)
    fclose (file);
  return true;
}

/* Prints what happened to a request, from its id and the logs of several processes. */
static int
explain_request (bt_context_t *ctx, const char *request_id, int operand_count, char **operands)
{
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_request_trace_t *trace = bt_new_request_trace (ctx, request_id);
  int status = BT_EXIT_DONE;

  if (operand_count < 1)
    bt_add_finding (ctx, findings, "explain", 0, NULL,
                    "Expected log files, or - for standard input.");
  for (int i = 0; i < operand_count; i++)
    read_log (ctx, operands[i], trace, findings);
  bt_print_findings (findings, stderr);
  if (bt_count_findings (findings) > 0)
    status = BT_EXIT_USAGE;
  else if (!bt_print_request_trace (ctx, trace, stdout))
    {
      fprintf (stderr, "explain: No line of these logs names the request %s.\n", request_id);
      status = BT_EXIT_FAILED;
    }
  bt_drop_request_trace (ctx, trace);
  bt_drop_findings (ctx, findings);
  return status;
}

static int
run_explain (bt_context_t *ctx, const void *values, int operand_count, char **operands)
{
  const explain_values_t *options = values;

  if (options->request[0] != '\0')
    return explain_request (ctx, options->request, operand_count, operands);
  return explain_rules (ctx, options, operand_count, operands);
}

const bt_command_t bt_explain_command = {
  "explain",
  "Explain which rule of a folder decides a request, or what happened to a request, and why.",
  "FOLDER [HEADER:VALUE]... | LOG...",
  explain_settings,
  sizeof explain_settings / sizeof explain_settings[0],
  sizeof (explain_values_t),
  run_explain,
};
