#include "harness_config.h"

#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bilberrytray/config/document.h"
#include "bilberrytray/store/kv.h"

extern char **environ;

enum
{
  PATH_BYTES = 512,
  URL_BYTES = 64,
  MAX_ARGUMENTS = 24,
  VERSION_BYTES = 48,
};

static const char prefix[] = "bilberrytray/";

char *
bt_make_version_rules (const char *version)
{
  char *text = NULL;

  if (asprintf (&text,
                "{\"rules\":[{\"name\":\"version\",\"when\":{\"path\":\"/version\"},\"then\":"
                "{\"action\":\"refuse\",\"message\":\"%s\"}}]}",
                version)
      < 0)
    return NULL;
  return text;
}

void
bt_read_rules_version (const bt_testbed_t *testbed, const char *entry, char version[VERSION_BYTES])
{
  bt_http_reply_t reply;
  json_t *body;

  bt_send_entry_request (testbed, entry, "small", "/version", NULL, "{}", &reply);
  body = json_loads (bt_get_reply_text (&reply), 0, NULL);
  snprintf (version, VERSION_BYTES, "%s",
            strcmp (reply.reason, "rule-refused") == 0
                ? json_string_value (json_object_get (body, "message"))
                : reply.reason);
  json_decref (body);
  bt_clear_reply (&reply);
}

typedef struct version_wait
{
  const bt_testbed_t *testbed;
  const char *entry;
  const char *version;
} version_wait_t;

static bool
has_version (void *argument)
{
  const version_wait_t *wait = argument;
  char version[VERSION_BYTES];

  bt_read_rules_version (wait->testbed, wait->entry, version);
  return strcmp (version, wait->version) == 0;
}

bool
bt_wait_rules_version (const bt_testbed_t *testbed, const char *entry, const char *version)
{
  version_wait_t wait = { testbed, entry, version };

  return bt_wait_until (has_version, &wait);
}

static bt_kv_t *
open_store (bt_context_t *ctx, const bt_testbed_t *testbed)
{
  char url[URL_BYTES];
  bt_kv_settings_t settings;

  snprintf (url, sizeof url, "http://127.0.0.1:%d", testbed->kv_port);
  settings = bt_get_default_kv_settings (url);
  return bt_new_etcd_kv (ctx, &settings);
}

static bool
write_file (const char *folder, const char *name, const char *text, size_t bytes)
{
  char path[PATH_BYTES];
  FILE *file;

  snprintf (path, sizeof path, "%s/%s.json", folder, name);
  file = fopen (path, "w");
  if (file == NULL)
    return false;
  fwrite (text, 1, bytes, file);
  return fclose (file) == 0;
}

/* Writes the documents of the key-value store to a folder, but with rules of @p version. */
static bool
write_folder (const bt_testbed_t *testbed, const char *folder, const char *version)
{
  bt_context_t *ctx = bt_new_context ();
  bt_kv_t *kv = open_store (ctx, testbed);
  char *rules = bt_make_version_rules (version);
  bt_kv_range_t range = { 0 };
  bool written = bt_read_kv (ctx, kv, prefix, true, &range, NULL) && range.count > 0;

  for (int32_t i = 0; i < range.count; i++)
    {
      const bt_kv_pair_t *pair = &range.pairs[i];
      bt_document_t *document =
          bt_decode_document (ctx, pair->key + strlen (prefix), pair->mod_revision, pair->value,
                              pair->value_bytes, NULL);

      written = written && document != NULL
                && write_file (folder, document->name, document->data, document->data_bytes);
      bt_drop_document (ctx, document);
    }
  written = written && write_file (folder, "rules", rules, strlen (rules));
  free (rules);
  bt_drop_kv_range (ctx, &range);
  bt_drop_kv (ctx, kv);
  bt_drop_context (ctx);
  return written;
}

static void
remove_folder (const char *folder)
{
  static const char *const names[] = { "accounts", "apps", "endpoints", "rules" };
  char path[PATH_BYTES];

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      snprintf (path, sizeof path, "%s/%s.json", folder, names[i]);
      unlink (path);
    }
  rmdir (folder);
}

static void
start_command (char **argv, bt_command_run_t *run)
{
  posix_spawn_file_actions_t actions;
  int ends[2];

  if (pipe (ends) != 0)
    return;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addclose (&actions, ends[0]);
  if (posix_spawn (&run->pid, argv[0], &actions, NULL, argv, environ) == 0)
    run->output = fdopen (ends[0], "r");
  posix_spawn_file_actions_destroy (&actions);
  close (ends[1]);
}

typedef struct command
{
  char program[PATH_BYTES];
  char store_url[URL_BYTES];
  char instances_url[URL_BYTES];
  char *argv[MAX_ARGUMENTS];
  int32_t count;
} command_t;

static void
add_argument (command_t *command, const char *argument)
{
  if (command->count < MAX_ARGUMENTS - 1)
    command->argv[command->count++] = (char *)argument;
}

static void
prepare_command (const bt_testbed_t *testbed, command_t *command, const char *name)
{
  snprintf (command->program, sizeof command->program, "%s/bilberryd", getenv ("BT_BUILD_DIR"));
  snprintf (command->store_url, sizeof command->store_url, "http://127.0.0.1:%d", testbed->kv_port);
  snprintf (command->instances_url, sizeof command->instances_url, "http://127.0.0.1:%d",
            testbed->instances_port);
  add_argument (command, command->program);
  add_argument (command, name);
  add_argument (command, "--instances-url");
  add_argument (command, command->instances_url);
}

void
bt_start_publish (const bt_testbed_t *testbed,
                  const char *version,
                  const char *const *flags,
                  bt_command_run_t *run)
{
  command_t command = { .count = 0 };

  memset (run, 0, sizeof *run);
  snprintf (run->folder, sizeof run->folder, "/tmp/bilberry-rules-XXXXXX");
  if (mkdtemp (run->folder) == NULL || !write_folder (testbed, run->folder, version))
    return;
  prepare_command (testbed, &command, "publish");
  add_argument (&command, "--store-url");
  add_argument (&command, command.store_url);
  for (int32_t i = 0; flags != NULL && flags[i] != NULL; i++)
    add_argument (&command, flags[i]);
  add_argument (&command, run->folder);
  start_command (command.argv, run);
}

int32_t
bt_finish_command (bt_command_run_t *run, char output[BT_OUTPUT_BYTES])
{
  size_t bytes;
  int status = -1;

  output[0] = '\0';
  if (run->output == NULL)
    return -1;
  bytes = fread (output, 1, BT_OUTPUT_BYTES - 1, run->output);
  output[bytes] = '\0';
  fclose (run->output);
  waitpid (run->pid, &status, 0);
  if (run->folder[0] != '\0')
    remove_folder (run->folder);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

int32_t
bt_publish_version (const bt_testbed_t *testbed,
                    const char *version,
                    const char *const *flags,
                    char output[BT_OUTPUT_BYTES])
{
  bt_command_run_t run;

  bt_start_publish (testbed, version, flags, &run);
  return bt_finish_command (&run, output);
}

int32_t
bt_run_status (const bt_testbed_t *testbed, char output[BT_OUTPUT_BYTES])
{
  command_t command = { .count = 0 };
  bt_command_run_t run = { 0 };

  prepare_command (testbed, &command, "status");
  start_command (command.argv, &run);
  return bt_finish_command (&run, output);
}

bool
bt_set_store_fault (const bt_testbed_t *testbed, const char *fault)
{
  json_t *answer = bt_call_standin (testbed, "kv", "/fault", fault);

  json_decref (answer);
  return answer != NULL;
}

int64_t
bt_count_store_calls (const bt_testbed_t *testbed, const char *kind)
{
  json_t *answer = bt_call_standin (testbed, "kv", "/stats", NULL);
  int64_t count = json_integer_value (json_object_get (answer, kind));

  json_decref (answer);
  return count;
}

bool
bt_put_version (const bt_testbed_t *testbed, const char *version)
{
  bt_context_t *ctx = bt_new_context ();
  bt_kv_t *kv = open_store (ctx, testbed);
  char *rules = bt_make_version_rules (version);
  bt_kv_write_t write = { BT_KV_PUT, "bilberrytray/rules", rules, strlen (rules), 0 };
  bool done = bt_put_kv (ctx, kv, &write, NULL, NULL);

  free (rules);
  bt_drop_kv (ctx, kv);
  bt_drop_context (ctx);
  return done;
}

int64_t
bt_get_rules_revision (const bt_testbed_t *testbed)
{
  bt_context_t *ctx = bt_new_context ();
  bt_kv_t *kv = open_store (ctx, testbed);
  bt_kv_range_t range = { 0 };
  int64_t revision = -1;

  if (bt_read_kv (ctx, kv, "bilberrytray/rules", false, &range, NULL) && range.count == 1)
    revision = range.pairs[0].mod_revision;
  bt_drop_kv_range (ctx, &range);
  bt_drop_kv (ctx, kv);
  bt_drop_context (ctx);
  return revision;
}
