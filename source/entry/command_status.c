#include <curl/curl.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "operator_links.h"

enum
{
  TICK_MS = 20,
  LIST_TOTAL_MS = 2000,
};

/** Settings of `bilberryd status`. */
typedef struct status_values
{
  const char *instances_url;
  const char *secret;
  int64_t wait_ms;
} status_values_t;

#define FIELD(name) offsetof (status_values_t, name)

static const bt_setting_t status_settings[] = {
  { "instances-url", BT_SETTING_URL, FIELD (instances_url), NULL, 0, 0, "The instance list." },
  { "secret", BT_SETTING_TEXT, FIELD (secret), NULL, 0, 0,
    "Secret that all processes of the deployment share; better set by its variable." },
  { "wait-ms", BT_SETTING_INTEGER, FIELD (wait_ms), "3000", 10, 600000,
    "How long to wait for answers, ms." },
};

static void
print_told (const bt_told_t *told)
{
  static const char *const states[] = { "ready", "not-ready", "isolated" };

  printf ("%s (%s): ", told->instance, told->failure_domain);
  if (!told->answered)
    {
      printf ("did not answer\n");
      return;
    }
  printf ("%s, freshest news %lld ms old\n", states[told->spread_state % 3],
          (long long)told->fresh_age_ms);
  for (int32_t i = 0; i < told->state_count; i++)
    printf ("  %s: revision %lld, change %s\n", told->states[i].name,
            (long long)told->states[i].revision,
            told->states[i].change[0] == '\0' ? "-" : told->states[i].change);
}

/* Asks every entry that has not answered yet; true when all have. */
static bool
ask_entries (bt_context_t *ctx, bt_operator_links_t *links, bool *asked)
{
  static const bt_document_list_t nothing = { 0 };
  bool all = true;

  for (int32_t i = 0; i < bt_count_told (links); i++)
    {
      bt_told_t told;

      bt_get_told (links, i, &told);
      if (told.answered)
        continue;
      all = false;
      if (!asked[i])
        asked[i] = bt_hand_over (ctx, links, told.instance, &nothing);
    }
  return all;
}

static int
ask_all (bt_context_t *ctx, bt_operator_links_t *links, int64_t wait_ms)
{
  int32_t count = bt_count_told (links);
  bool *asked = bt_calloc (ctx, (size_t)count, sizeof *asked);
  int64_t until_ms = bt_now_ms (ctx) + wait_ms;
  bool all;

  while (!(all = ask_entries (ctx, links, asked)) && bt_now_ms (ctx) < until_ms)
    bt_sleep_ms (TICK_MS);
  for (int32_t i = 0; i < count; i++)
    {
      bt_told_t told;

      bt_get_told (links, i, &told);
      print_told (&told);
    }
  bt_free (ctx, asked);
  return all ? BT_EXIT_DONE : BT_EXIT_FAILED;
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
      status = ask_all (ctx, links, settings->wait_ms);
    }
  bt_drop_operator_links (ctx, links);
  bt_drop_instance_list (ctx, &list);
  bt_drop_instances (ctx, instances);
  curl_global_cleanup ();
  return status;
}

const bt_command_t bt_status_command = {
  "status",
  "Print which revision is in force on which entry instance.",
  "",
  status_settings,
  sizeof status_settings / sizeof status_settings[0],
  sizeof (status_values_t),
  run_status,
};
