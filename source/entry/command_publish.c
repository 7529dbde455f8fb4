#include <curl/curl.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/random.h"
#include "bilberrytray/config/publisher.h"
#include "commands.h"
#include "config_documents.h"
#include "operator_links.h"

enum
{
  TICK_MS = 10,
  LIST_INTERVAL_MS = 500,
  LIST_TOTAL_MS = 2000,
  PATH_BYTES = 1024,
  KEY_BYTES = 256,
  MAX_FILE_BYTES = 1000 * 1000,
  CHANGE_WORDS = 2,
};

/** Settings of `bilberryd publish`. */
typedef struct publish_values
{
  const char *store_url;
  const char *store_prefix;
  const char *instances_url;
  const char *secret;
  int64_t base_revision;
  int64_t write_limit_ms;
  int64_t spread_limit_ms;
  int64_t isolation_ms;
} publish_values_t;

#define FIELD(name) offsetof (publish_values_t, name)

static const bt_setting_t publish_settings[] = {
  { "store-url", BT_SETTING_URL, FIELD (store_url), NULL, 0, 0, "URL of the key-value store." },
  { "store-prefix", BT_SETTING_TEXT, FIELD (store_prefix), "bilberrytray/", 0, 0,
    "Prefix of the configuration's keys." },
  { "instances-url", BT_SETTING_URL, FIELD (instances_url), NULL, 0, 0,
    "URL of the instance list." },
  { "secret", BT_SETTING_TEXT, FIELD (secret), NULL, 0, 0,
    "Secret shared by all processes of the deployment; prefer the environment variable." },
  { "base-revision", BT_SETTING_INTEGER, FIELD (base_revision), "-1", -1, INT64_MAX,
    "Newest revision the edit is based on; a newer document is a conflict. -1: the current one." },
  { "write-limit-ms", BT_SETTING_INTEGER, FIELD (write_limit_ms), "15000", 100, 3600000,
    "Time limit for writing to the store, ms." },
  { "spread-limit-ms", BT_SETTING_INTEGER, FIELD (spread_limit_ms), "30000", 100, 3600000,
    "Time limit for the entry instances to confirm, ms." },
  { "isolation-ms", BT_SETTING_INTEGER, FIELD (isolation_ms), "10000", 500, 600000,
    "The --isolation-ms of the entry instances, ms." },
};

/** State of one publish. */
typedef struct publish
{
  bt_context_t *ctx;
  const publish_values_t *values;
  bt_kv_t *kv;
  bt_instances_t *instances;
  bt_instance_list_t list;
  int64_t next_list_ms; /**< Time of the next read of the instance list. */
  bt_operator_links_t *links;
  bt_publisher_t *publisher;
  bool finished;
} publish_t;

static void
read_documents (publish_t *publish, bt_publish_actions_t *actions)
{
  bt_document_list_t found = { 0 };
  bt_kv_range_t range = { 0 };
  bt_error_t error = { 0 };
  bt_context_t *ctx = publish->ctx;

  if (bt_read_kv (ctx, publish->kv, publish->values->store_prefix, true, &range, &error))
    {
      bt_add_range_documents (ctx, &range, publish->values->store_prefix, &found);
      bt_handle_publish_read (ctx, publish->publisher, &found, bt_now_ms (ctx), actions);
    }
  else
    {
      fprintf (stderr, "publish: %s\n", error.message);
      bt_handle_publish_failure (ctx, publish->publisher, false, bt_now_ms (ctx), actions);
    }
  bt_drop_kv_range (ctx, &range);
  bt_clear_documents (ctx, &found);
}

static void
commit_documents (publish_t *publish, bt_publish_actions_t *actions)
{
  bt_context_t *ctx = publish->ctx;
  const bt_document_list_t *changes = bt_get_publish_changes (publish->publisher);
  char keys[BT_DOCUMENT_COUNT][KEY_BYTES];
  bt_kv_compare_t compares[BT_DOCUMENT_COUNT];
  bt_kv_write_t writes[BT_DOCUMENT_COUNT] = { 0 };
  bt_kv_txn_t txn = { compares, changes->count, writes, changes->count };
  bt_kv_txn_result_t result = { 0 };
  bt_error_t error = { 0 };

  for (int32_t i = 0; i < changes->count; i++)
    {
      snprintf (keys[i], KEY_BYTES, "%s%s", publish->values->store_prefix, changes->items[i]->name);
      compares[i].key = writes[i].key = keys[i];
      compares[i].mod_revision = bt_get_publish_compare_revision (publish->publisher, i);
      writes[i].value = bt_encode_document (ctx, changes->items[i], &writes[i].value_bytes);
    }
  if (bt_commit_kv (ctx, publish->kv, &txn, &result, &error))
    bt_handle_publish_commit (ctx, publish->publisher, result.succeeded, result.revision,
                              bt_now_ms (ctx), actions);
  else
    {
      fprintf (stderr, "publish: %s\n", error.message);
      bt_handle_publish_failure (ctx, publish->publisher, bt_is_kv_effect_unknown (&error),
                                 bt_now_ms (ctx), actions);
    }
  for (int32_t i = 0; i < txn.write_count; i++)
    bt_free (ctx, (void *)writes[i].value);
}

static void
run_actions (publish_t *publish, bt_publish_actions_t *actions)
{
  while (actions->count > 0 && !publish->finished)
    {
      bt_publish_actions_t next = { 0 };

      for (int32_t i = 0; i < actions->count; i++)
        {
          const bt_publish_action_t *action = &actions->items[i];

          if (action->kind == BT_PUBLISH_READ)
            read_documents (publish, &next);
          else if (action->kind == BT_PUBLISH_COMMIT)
            commit_documents (publish, &next);
          else if (action->kind == BT_PUBLISH_PUSH)
            bt_push_documents (publish->ctx, publish->links, action->instance,
                               bt_get_publish_changes (publish->publisher));
          else
            publish->finished = true;
        }
      bt_clear_publish_actions (publish->ctx, actions);
      *actions = next;
    }
  bt_clear_publish_actions (publish->ctx, actions);
}

static void
read_list (publish_t *publish)
{
  const char **names;
  int32_t count = 0;
  bt_error_t error = { 0 };

  publish->next_list_ms = bt_now_ms (publish->ctx) + LIST_INTERVAL_MS;
  if (!bt_read_instances (publish->ctx, publish->instances, &publish->list, &error))
    return;
  bt_dial_listed_entries (publish->ctx, publish->links, &publish->list);
  names = bt_calloc (publish->ctx, (size_t)publish->list.count, sizeof (char *));
  for (int32_t i = 0; i < publish->list.count; i++)
    if (publish->list.instances[i].role == BT_LISTED_ENTRY && !publish->list.instances[i].leaving)
      names[count++] = publish->list.instances[i].instance;
  bt_set_publish_entries (publish->ctx, publish->publisher, names, count);
  bt_free (publish->ctx, names);
}

static void
handle_entry_statuses (publish_t *publish, bt_publish_actions_t *actions)
{
  for (int32_t i = 0; i < bt_count_entry_statuses (publish->links); i++)
    {
      bt_entry_status_t status;

      bt_get_entry_status (publish->links, i, &status);
      bt_set_publish_incarnation (publish->publisher, status.instance, status.incarnation);
      for (int32_t j = 0; status.updated && j < status.state_count; j++)
        bt_handle_publish_in_force (publish->ctx, publish->publisher, status.instance,
                                    status.states[j].name, status.states[j].revision,
                                    bt_now_ms (publish->ctx), actions);
    }
}

static void
run_publish_loop (publish_t *publish)
{
  bt_publish_actions_t actions = { 0 };

  bt_start_publisher (publish->ctx, publish->publisher, bt_now_ms (publish->ctx), &actions);
  while (!publish->finished)
    {
      run_actions (publish, &actions);
      if (publish->finished)
        break;
      if (bt_now_ms (publish->ctx) >= publish->next_list_ms)
        read_list (publish);
      bt_sleep_ms (TICK_MS);
      handle_entry_statuses (publish, &actions);
      bt_tick_publisher (publish->ctx, publish->publisher, bt_now_ms (publish->ctx), &actions);
    }
}

static void
print_conflicts (const bt_publisher_t *publisher)
{
  for (int32_t i = 0; i < bt_count_publish_conflicts (publisher); i++)
    {
      const bt_publish_conflict_t *conflict = bt_get_publish_conflict (publisher, i);

      printf ("%s: changed meanwhile from revision %lld to %lld by change %s\n", conflict->name,
              (long long)conflict->base_revision, (long long)conflict->revision,
              conflict->change[0] == '\0' ? "-" : conflict->change);
    }
}

static void
print_entries (const bt_publisher_t *publisher)
{
  for (int32_t i = 0; i < bt_count_publish_entries (publisher); i++)
    {
      const bt_publish_entry_t *entry = bt_get_publish_entry (publisher, i);

      printf ("%s: %s\n", entry->instance, entry->in_force ? "in force" : "did not confirm");
    }
}

static int
print_result (const publish_t *publish, const char *change)
{
  bt_publish_result_t result = bt_get_publish_result (publish->publisher);
  int64_t revision = bt_get_publish_revision (publish->publisher);

  print_conflicts (publish->publisher);
  if (result == BT_PUBLISH_ACCEPTED || result == BT_PUBLISH_WRITTEN)
    print_entries (publish->publisher);
  printf ("%s: change %s", bt_name_publish_result (result), change);
  if (revision > 0)
    printf (", revision %lld", (long long)revision);
  if (result == BT_PUBLISH_WRITTEN && bt_count_publish_entries (publish->publisher) == 0)
    printf (", no entry instance is listed");
  printf ("\n");
  return result == BT_PUBLISH_ACCEPTED ? BT_EXIT_DONE : BT_EXIT_FAILED;
}

/* Checks the declarations of a folder as `check` does, and reads its files. */
static bool
read_files (bt_context_t *ctx,
            const publish_values_t *values,
            const char *folder,
            bt_publish_document_t documents[BT_DOCUMENT_COUNT],
            bt_findings_t *findings)
{
  char path[PATH_BYTES];

  bt_drop_declarations (ctx, bt_load_declarations (ctx, folder, findings));
  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    {
      documents[i].name = bt_name_document ((bt_document_kind_t)i);
      documents[i].base_revision = values->base_revision;
      snprintf (path, sizeof path, "%s/%s.json", folder, documents[i].name);
      documents[i].data =
          bt_read_file (ctx, path, MAX_FILE_BYTES, &documents[i].data_bytes, findings);
    }
  return bt_count_findings (findings) == 0;
}

static void
make_change_id (char change[BT_CHANGE_BYTES])
{
  uint64_t words[CHANGE_WORDS];

  bt_fill_secure_random (words, sizeof words);
  snprintf (change, BT_CHANGE_BYTES, "%016llx%016llx", (unsigned long long)words[0],
            (unsigned long long)words[1]);
}

static int
publish_documents (bt_context_t *ctx,
                   const publish_values_t *values,
                   const bt_publish_document_t *documents)
{
  bt_kv_settings_t kv_settings = bt_get_default_kv_settings (values->store_url);
  bt_publish_settings_t settings = bt_get_default_publish_settings ();
  publish_t publish = { .ctx = ctx, .values = values };
  char change[BT_CHANGE_BYTES];
  bt_error_t error = { 0 };
  int status = BT_EXIT_FAILED;

  settings.write_limit_ms = values->write_limit_ms;
  settings.spread_limit_ms = values->spread_limit_ms;
  settings.isolation_ms = values->isolation_ms;
  make_change_id (change);
  bt_fill_secure_random (&kv_settings.seed, sizeof kv_settings.seed);
  publish.kv = bt_new_etcd_kv (ctx, &kv_settings);
  publish.instances = bt_new_http_instances (ctx, values->instances_url, LIST_TOTAL_MS);
  publish.publisher = bt_new_publisher (ctx, &settings, change, documents, BT_DOCUMENT_COUNT);
  publish.links = bt_new_operator_links (ctx, values->secret, &error);
  if (publish.links == NULL)
    fprintf (stderr, "publish: %s\n", error.message);
  else
    {
      run_publish_loop (&publish);
      status = print_result (&publish, change);
    }
  bt_drop_operator_links (ctx, publish.links);
  bt_drop_publisher (ctx, publish.publisher);
  bt_drop_instance_list (ctx, &publish.list);
  bt_drop_instances (ctx, publish.instances);
  bt_drop_kv (ctx, publish.kv);
  return status;
}

static int
run_publish (bt_context_t *ctx, const void *values, int operand_count, char **operands)
{
  bt_publish_document_t documents[BT_DOCUMENT_COUNT] = { 0 };
  bt_findings_t *findings = bt_new_findings (ctx);
  int status = BT_EXIT_USAGE;

  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  bt_set_log_level (ctx, BT_LOG_ERROR);
  if (operand_count != 1)
    bt_add_finding (ctx, findings, "publish", 0, NULL, "Expected one folder of declarations.");
  else if (read_files (ctx, values, operands[0], documents, findings))
    status = publish_documents (ctx, values, documents);
  bt_print_findings (findings, stderr);
  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    bt_free (ctx, (void *)documents[i].data);
  bt_drop_findings (ctx, findings);
  curl_global_cleanup ();
  return status;
}

const bt_command_t bt_publish_command = {
  "publish",
  "Check a folder of declarations, write it, and wait until it is in force.",
  "FOLDER",
  publish_settings,
  sizeof publish_settings / sizeof publish_settings[0],
  sizeof (publish_values_t),
  run_publish,
};
