#include <curl/curl.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/store/http_client.h"
#include "commands.h"
#include "operator_links.h"

enum
{
  TICK_MS = 20,
  LIST_TOTAL_MS = 2000,
  URL_BYTES = 128,
  MAX_PAGE_BYTES = 1 << 20,
  STATUS_OK = 200,
};

/** Settings of `bilberryd status`. */
typedef struct status_values
{
  const char *instances_url;
  const char *page;
  const char *secret;
  int64_t wait_ms;
} status_values_t;

#define FIELD(name) offsetof (status_values_t, name)

static const bt_setting_t status_settings[] = {
  { "instances-url", BT_SETTING_URL, FIELD (instances_url), "", 0, 0,
    "URL of the instance list, to ask each entry instance for its revisions." },
  { "page", BT_SETTING_ADDRESS, FIELD (page), "", 0, 0,
    "Operators' page of a gateway, to ask it what endpoints have said of their room." },
  { "secret", BT_SETTING_TEXT, FIELD (secret), "", 0, 0,
    "Secret shared by all processes of the deployment; prefer the environment variable." },
  { "wait-ms", BT_SETTING_INTEGER, FIELD (wait_ms), "3000", 10, 600000,
    "Time limit for the answers, ms." },
};

static void
print_entry_status (const bt_entry_status_t *status)
{
  static const char *const states[] = { "ready", "not-ready", "isolated" };

  printf ("%s (%s): ", status->instance, status->failure_domain);
  if (!status->answered)
    {
      printf ("did not answer\n");
      return;
    }
  printf ("%s, latest update %lld ms old\n", states[status->sync_state % 3],
          (long long)status->fresh_age_ms);
  for (int32_t i = 0; i < status->state_count; i++)
    printf ("  %s: revision %lld, change %s\n", status->states[i].name,
            (long long)status->states[i].revision,
            status->states[i].change[0] == '\0' ? "-" : status->states[i].change);
}

/* Queries each entry instance that has not been queried yet. Returns true when all have
 * answered. */
static bool
query_entries (bt_context_t *ctx, bt_operator_links_t *links, bool *queried)
{
  static const bt_document_list_t nothing = { 0 };
  bool all = true;

  for (int32_t i = 0; i < bt_count_entry_statuses (links); i++)
    {
      bt_entry_status_t status;

      bt_get_entry_status (links, i, &status);
      if (status.answered)
        continue;
      all = false;
      if (!queried[i])
        queried[i] = bt_push_documents (ctx, links, status.instance, &nothing);
    }
  return all;
}

static int
print_statuses (bt_context_t *ctx, bt_operator_links_t *links, int64_t wait_ms)
{
  int32_t count = bt_count_entry_statuses (links);
  bool *queried = bt_calloc (ctx, (size_t)count, sizeof *queried);
  int64_t until_ms = bt_now_ms (ctx) + wait_ms;
  bool all;

  while (!(all = query_entries (ctx, links, queried)) && bt_now_ms (ctx) < until_ms)
    bt_sleep_ms (TICK_MS);
  for (int32_t i = 0; i < count; i++)
    {
      bt_entry_status_t status;

      bt_get_entry_status (links, i, &status);
      print_entry_status (&status);
    }
  bt_free (ctx, queried);
  return all ? BT_EXIT_DONE : BT_EXIT_FAILED;
}

/* Prints what a gateway's page says of its endpoints. */
static int
print_gateway_status (bt_context_t *ctx, const status_values_t *settings)
{
  bt_http_limits_t limits = { settings->wait_ms, settings->wait_ms, settings->wait_ms,
                              MAX_PAGE_BYTES };
  int32_t cancelled = 0;
  bt_http_client_t *client = bt_new_http_client (ctx, &limits, &cancelled);
  char url[URL_BYTES];
  bt_http_request_t request = { .url = url };
  bt_http_answer_t answer;
  bt_error_t error = { 0 };
  bool done;

  snprintf (url, sizeof url, "http://%s/status", settings->page);
  done = bt_call_http (ctx, client, &request, &answer, &error) && answer.status == STATUS_OK;
  if (done)
    printf ("%s", answer.body);
  else
    fprintf (stderr, "status: %s has no status. %s\n", settings->page, error.message);
  bt_drop_http_client (ctx, client);
  return done ? BT_EXIT_DONE : BT_EXIT_FAILED;
}

static int
run_status (bt_context_t *ctx, const void *values, int operand_count, char **operands)
{
  const status_values_t *settings = values;
  bt_operator_links_t *links = NULL;
  bt_instance_list_t list = { 0 };
  bt_instances_t *instances;
  bt_error_t error = { 0 };
  int status = BT_EXIT_FAILED;

  if (settings->page[0] != '\0')
    return print_gateway_status (ctx, settings);
  if (settings->instances_url[0] == '\0' || settings->secret[0] == '\0')
    {
      fprintf (stderr, "status: set --instances-url and --secret, or --page.\n");
      return BT_EXIT_USAGE;
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  bt_set_log_level (ctx, BT_LOG_ERROR);
  instances = bt_new_http_instances (ctx, settings->instances_url, LIST_TOTAL_MS);
  if (bt_read_instances (ctx, instances, &list, &error))
    links = bt_new_operator_links (ctx, settings->secret, &error);
  if (links == NULL)
    fprintf (stderr, "status: %s\n", error.message);
  else
    {
      bt_dial_listed_entries (ctx, links, &list);
      status = print_statuses (ctx, links, settings->wait_ms);
    }
  bt_drop_operator_links (ctx, links);
  bt_drop_instance_list (ctx, &list);
  bt_drop_instances (ctx, instances);
  curl_global_cleanup ();
  return status;
}

const bt_command_t bt_status_command = {
  "status",
  "Print which revision is in force on which entry instance, or what a gateway knows of endpoints.",
  "",
  status_settings,
  sizeof status_settings / sizeof status_settings[0],
  sizeof (status_values_t),
  run_status,
};
