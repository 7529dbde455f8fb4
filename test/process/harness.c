#include "harness_http.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bilberrytray/base/clock.h"

enum
{
  MAX_ARGUMENTS = 64,
  ARGUMENT_BYTES = 160,
  URL_BYTES = 256,
  POLL_MS = 20,
  STAGE_LIFE_S = 300,
  FIRST_PORT = 23000,
  PORT_SPAN = 200,
  PORT_SLOTS = 40,
  OFFSET_KV = 1,
  OFFSET_LIST = 2,
  OFFSET_ENTRY = 10,
  OFFSET_ENTRY_LINK = 30,
  OFFSET_ENTRY_PAGE = 50,
  OFFSET_AGENT = 70,
  OFFSET_AGENT_PAGE = 90,
  OFFSET_ENGINE = 110,
  OFFSET_PLAIN = 130,
  BASE_TEN = 10,
  EXIT_NO_PROGRAM = 127,
  ENTRIES_A_SUBSET = 8,
  COMMAND_BYTES = 2048,
};

static const char *const *extra_entry;
static const char *const *extra_agent;
static int32_t stage_step_us;
static int program_output = -1;

/** Arguments of a program that is to be started. */
typedef struct arguments
{
  char texts[MAX_ARGUMENTS][ARGUMENT_BYTES];
  char *list[MAX_ARGUMENTS + 1];
  int32_t count;
} arguments_t;

static void __attribute__ ((format (printf, 2, 3)))
add_argument (arguments_t *arguments, const char *format, ...)
{
  va_list values;

  va_start (values, format);
  vsnprintf (arguments->texts[arguments->count], ARGUMENT_BYTES, format, values);
  va_end (values);
  arguments->list[arguments->count] = arguments->texts[arguments->count];
  arguments->count++;
}

static void
add_pair (arguments_t *arguments, const char *flag, const char *value)
{
  add_argument (arguments, "%s", flag);
  add_argument (arguments, "%s", value);
}

static void
add_local (arguments_t *arguments, const char *flag, const char *prefix, int32_t port)
{
  add_argument (arguments, "%s", flag);
  add_argument (arguments, "%s127.0.0.1:%d", prefix, port);
}

static void
add_number (arguments_t *arguments, const char *flag, int32_t number)
{
  add_argument (arguments, "%s", flag);
  add_argument (arguments, "%d", number);
}

static void
add_extra (arguments_t *arguments, const char *const *extra)
{
  for (int32_t i = 0; extra != NULL && extra[i] != NULL; i++)
    add_argument (arguments, "%s", extra[i]);
}

static int32_t
read_index (const char *name)
{
  const char *dash = strrchr (name, '-');

  return dash == NULL ? 0 : (int32_t)strtol (dash + 1, NULL, BASE_TEN);
}

static bool
is_kind (const char *name, const char *kind)
{
  return strncmp (name, kind, strlen (kind)) == 0;
}

int32_t
bt_get_stage_port (const bt_stage_t *stage, const char *name)
{
  int32_t index = read_index (name);

  if (is_kind (name, "entry"))
    return stage->base_port + OFFSET_ENTRY + index;
  if (is_kind (name, "engine"))
    return stage->base_port + OFFSET_ENGINE + index;
  if (is_kind (name, "plain"))
    return stage->base_port + OFFSET_PLAIN + index;
  return strcmp (name, "kv") == 0 ? stage->kv_port : stage->list_port;
}

static void
fill_entry (const bt_stage_t *stage, const char *name, int32_t index, arguments_t *arguments)
{
  add_argument (arguments, "serve");
  add_pair (arguments, "--instance", name);
  add_pair (arguments, "--failure-domain", "hall");
  add_local (arguments, "--listen", "", stage->base_port + OFFSET_ENTRY + index);
  add_local (arguments, "--link-listen", "", stage->base_port + OFFSET_ENTRY_LINK + index);
  add_local (arguments, "--page", "", stage->base_port + OFFSET_ENTRY_PAGE + index);
  add_local (arguments, "--store-url", "http://", stage->kv_port);
  add_local (arguments, "--instances-url", "http://", stage->list_port);
  add_pair (arguments, "--instances-ms", "100");
  add_pair (arguments, "--address-life-ms", "500");
  add_extra (arguments, extra_entry);
}

static void
fill_agent (const bt_stage_t *stage, const char *name, int32_t index, arguments_t *arguments)
{
  bool plain = index >= stage->engines;
  int32_t port = plain ? stage->base_port + OFFSET_PLAIN + index - stage->engines
                       : stage->base_port + OFFSET_ENGINE + index;

  add_pair (arguments, "--instance", name);
  add_pair (arguments, "--failure-domain", "hall");
  add_local (arguments, "--listen", "", stage->base_port + OFFSET_AGENT + index);
  add_local (arguments, "--page", "", stage->base_port + OFFSET_AGENT_PAGE + index);
  add_argument (arguments, "--endpoint");
  add_argument (arguments, "endpoint-%d", index);
  add_pair (arguments, "--app", plain ? "lookup" : "drafts");
  add_local (arguments, "--endpoint-url", "http://", port);
  if (plain)
    add_argument (arguments, "--plain");
  add_extra (arguments, extra_agent);
}

static const char *
fill_arguments (const bt_stage_t *stage, const char *name, arguments_t *arguments)
{
  int32_t index = read_index (name);

  if (is_kind (name, "entry"))
    {
      fill_entry (stage, name, index, arguments);
      return "bilberryd";
    }
  if (is_kind (name, "agent"))
    {
      fill_agent (stage, name, index, arguments);
      return "bilberry-agent";
    }
  add_number (arguments, "--port", bt_get_stage_port (stage, name));
  add_number (arguments, "--life-s", STAGE_LIFE_S);
  if (is_kind (name, "engine"))
    {
      add_number (arguments, "--step-us", stage_step_us);
      return "standin-engine";
    }
  if (is_kind (name, "plain"))
    return "standin-plain";
  return strcmp (name, "kv") == 0 ? "standin-kv" : "standin-instances";
}

static bt_process_t *
find_process (bt_stage_t *stage, const char *name)
{
  for (int32_t i = 0; i < stage->process_count; i++)
    if (strcmp (stage->processes[i].name, name) == 0)
      return &stage->processes[i];
  return NULL;
}

static bt_process_t *
add_process (bt_stage_t *stage, const char *name)
{
  bt_process_t *process = find_process (stage, name);

  if (process != NULL)
    return process;
  if (stage->process_count == BT_STAGE_MAX)
    return NULL;
  process = &stage->processes[stage->process_count++];
  snprintf (process->name, sizeof process->name, "%s", name);
  snprintf (process->log_path, sizeof process->log_path, "%s/%s.log", stage->folder, name);
  return process;
}

void
bt_set_program_output (int fd)
{
  program_output = fd;
}

/* In the child. A test that is killed at its time limit would leave its processes behind, with
 * their ports: so they end with it. */
void
bt_exec_program (const char *program, char **list, const char *log_path)
{
  int log = program_output >= 0 ? program_output
                                : open (log_path, O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (log, STDOUT_FILENO);
  dup2 (log, STDERR_FILENO);
  execv (program, list);
  _exit (EXIT_NO_PROGRAM);
}

bool
bt_start_process (bt_stage_t *stage, const char *name)
{
  const char *build = getenv ("BT_BUILD_DIR");
  bt_process_t *process = add_process (stage, name);
  arguments_t *arguments = calloc (1, sizeof *arguments);
  char program[URL_BYTES];

  if (process == NULL || arguments == NULL || process->pid != 0)
    {
      free (arguments);
      return false;
    }
  arguments->count = 1;
  snprintf (program, sizeof program, "%s/%s", build == NULL ? "build/asan" : build,
            fill_arguments (stage, name, arguments));
  arguments->list[0] = program;
  process->pid = fork ();
  if (process->pid == 0)
    bt_exec_program (program, arguments->list, process->log_path);
  free (arguments);
  if (process->pid > 0)
    return true;
  fprintf (stderr, "can't start %s: %s\n", program, strerror (errno));
  process->pid = 0;
  return false;
}

bool
bt_wait_process (bt_stage_t *stage, const char *name, int32_t *exit_code)
{
  bt_process_t *process = find_process (stage, name);
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_STAGE_WAIT_MS;
  int status;

  while (process != NULL && process->pid != 0)
    {
      if (waitpid (process->pid, &status, WNOHANG) == process->pid)
        {
          process->pid = 0;
          *exit_code = WIFEXITED (status) ? WEXITSTATUS (status) : -WTERMSIG (status);
          return true;
        }
      if (bt_read_clock_ms (bt_system_clock ()) > limit_ms)
        return false;
      bt_sleep_ms (POLL_MS);
    }
  return false;
}

bool
bt_signal_process (bt_stage_t *stage, const char *name, int signal_number)
{
  bt_process_t *process = find_process (stage, name);
  int32_t exit_code;

  if (process == NULL || process->pid == 0 || kill (process->pid, signal_number) != 0)
    return false;
  return signal_number != SIGKILL || bt_wait_process (stage, name, &exit_code);
}

void
bt_set_stage_arguments (const char *const *entry_arguments, const char *const *agent_arguments)
{
  extra_entry = entry_arguments;
  extra_agent = agent_arguments;
}

static json_t *
call_url (const char *url, const char *body, const char *method)
{
  bt_reply_t reply;
  json_t *answer = NULL;

  bt_perform_request (url, NULL, body, method, &reply);
  if (reply.curl_code == 0 && reply.status == 200 && reply.body != NULL)
    answer = json_loadb (reply.body, reply.body_bytes, JSON_DECODE_ANY, NULL);
  if (answer == NULL && reply.curl_code == 0 && reply.status == 200)
    answer = json_object ();
  bt_clear_reply (&reply);
  return answer;
}

json_t *
bt_call_standin (const bt_stage_t *stage, const char *name, const char *path, const char *body)
{
  char url[URL_BYTES];

  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", bt_get_stage_port (stage, name), path);
  return call_url (url, body, NULL);
}

char *
bt_read_stage_metrics (const bt_stage_t *stage, const char *name)
{
  int32_t offset = is_kind (name, "entry") ? OFFSET_ENTRY_PAGE : OFFSET_AGENT_PAGE;
  char url[URL_BYTES];
  bt_reply_t reply;

  snprintf (url, sizeof url, "http://127.0.0.1:%d/metrics",
            stage->base_port + offset + read_index (name));
  bt_perform_request (url, NULL, NULL, NULL, &reply);
  return reply.body;
}

int64_t
bt_read_stage_counter (const bt_stage_t *stage, const char *name, const char *counter)
{
  char *text = bt_read_stage_metrics (stage, name);
  size_t length = strlen (counter);
  int64_t value = -1;

  for (char *line = text; line != NULL && value < 0; line = strchr (line, '\n'))
    {
      line += *line == '\n' ? 1 : 0;
      if (strncmp (line, counter, length) == 0 && line[length] == ' ')
        value = strtoll (line + length + 1, NULL, BASE_TEN);
    }
  free (text);
  return value;
}

int32_t
bt_run_program (const char *line, char **output)
{
  const char *build = getenv ("BT_BUILD_DIR");
  char command[COMMAND_BYTES];
  bt_reply_t printed = { 0 };
  char block[URL_BYTES];
  size_t got;
  FILE *pipe;
  int status;

  snprintf (command, sizeof command, "%s/%s 2>&1", build == NULL ? "build/asan" : build, line);
  pipe = popen (command, "r");
  if (pipe == NULL)
    return -1;
  while ((got = fread (block, 1, sizeof block, pipe)) > 0)
    bt_take_reply_bytes (block, 1, got, &printed);
  status = pclose (pipe);
  *output = printed.body == NULL ? strdup ("") : printed.body;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

bool
bt_wait_until (bool (*test) (void *argument), void *argument)
{
  int64_t limit_ms = bt_read_clock_ms (bt_system_clock ()) + BT_STAGE_WAIT_MS;

  while (!test (argument))
    {
      if (bt_read_clock_ms (bt_system_clock ()) > limit_ms)
        return false;
      bt_sleep_ms (POLL_MS);
    }
  return true;
}

bool
bt_put_stage_list (bt_stage_t *stage)
{
  json_t *instances = json_array ();
  json_t *list = json_pack ("{s:i,s:o}", "revision", 1, "instances", instances);
  char name[ARGUMENT_BYTES];
  char address[ARGUMENT_BYTES];
  char http[ARGUMENT_BYTES];
  char url[URL_BYTES];
  json_t *answer;
  char *text;

  for (int32_t i = 0; i < stage->entries; i++)
    {
      snprintf (name, sizeof name, "entry-%d", i);
      snprintf (address, sizeof address, "127.0.0.1:%d", stage->base_port + OFFSET_ENTRY_LINK + i);
      snprintf (http, sizeof http, "127.0.0.1:%d", stage->base_port + OFFSET_ENTRY + i);
      json_array_append_new (instances,
                             json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s}", "instance", name, "role",
                                        "entry", "address", address, "http", http, "failure_domain",
                                        "hall", "state", "live"));
    }
  for (int32_t i = 0; i < stage->engines + stage->plains; i++)
    {
      snprintf (name, sizeof name, "agent-%d", i);
      snprintf (address, sizeof address, "127.0.0.1:%d", stage->base_port + OFFSET_AGENT + i);
      snprintf (http, sizeof http, "endpoint-%d", i);
      json_array_append_new (
          instances, json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:s}", "instance", name, "role", "agent",
                                "endpoint", http, "app", i < stage->engines ? "drafts" : "lookup",
                                "address", address, "failure_domain", "hall", "state",
                                stage->listed_leaving[i] ? "leaving" : "live"));
    }
  snprintf (url, sizeof url, "http://127.0.0.1:%d/instances", stage->list_port);
  text = json_dumps (list, JSON_COMPACT);
  answer = call_url (url, text, "PUT");
  free (text);
  json_decref (list);
  json_decref (answer);
  return answer != NULL;
}

static bool
put_document (const bt_stage_t *stage, const char *name, const char *text)
{
  char key[ARGUMENT_BYTES];
  char key_text[ARGUMENT_BYTES];
  size_t bytes = sodium_base64_encoded_len (strlen (text), sodium_base64_VARIANT_ORIGINAL);
  char *value = calloc (1, bytes);
  json_t *put;
  json_t *answer;
  char *body;

  snprintf (key, sizeof key, "bilberrytray/%s", name);
  sodium_bin2base64 (key_text, sizeof key_text, (const unsigned char *)key, strlen (key),
                     sodium_base64_VARIANT_ORIGINAL);
  sodium_bin2base64 (value, bytes, (const unsigned char *)text, strlen (text),
                     sodium_base64_VARIANT_ORIGINAL);
  put = json_pack ("{s:s,s:s}", "key", key_text, "value", value);
  body = json_dumps (put, JSON_COMPACT);
  answer = bt_call_standin (stage, "kv", "/v3/kv/put", body);
  json_decref (put);
  free (body);
  free (value);
  json_decref (answer);
  return answer != NULL;
}

static bool
put_declarations (const bt_stage_t *stage, const char *rules_json)
{
  static const char *const names[] = { "small", "large", "third" };
  json_t *accounts = json_array ();
  json_t *endpoints = json_array ();
  json_t *document;
  char *text;
  bool put = true;

  for (int32_t i = 0; i < 3; i++)
    {
      char token[ARGUMENT_BYTES];
      char hex[crypto_hash_sha256_BYTES * 2 + 1];
      unsigned char hash[crypto_hash_sha256_BYTES];

      snprintf (token, sizeof token, "token-%s", names[i]);
      crypto_hash_sha256 (hash, (const unsigned char *)token, strlen (token));
      sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
      json_array_append_new (accounts,
                             json_pack ("{s:s,s:[s]}", "name", names[i], "token_sha256", hex));
    }
  document = json_pack ("{s:o}", "accounts", accounts);
  text = json_dumps (document, 0);
  put = put && put_document (stage, "accounts", text);
  free (text);
  json_decref (document);
  for (int32_t i = 0; i < stage->engines + stage->plains; i++)
    {
      char name[ARGUMENT_BYTES];

      snprintf (name, sizeof name, "endpoint-%d", i);
      json_array_append_new (endpoints, json_pack ("{s:s,s:s}", "name", name, "app",
                                                   i < stage->engines ? "drafts" : "lookup"));
    }
  document = json_pack ("{s:o}", "endpoints", endpoints);
  text = json_dumps (document, 0);
  put = put && put_document (stage, "endpoints", text);
  free (text);
  json_decref (document);
  put = put
        && put_document (stage, "apps",
                         "{\"apps\":[{\"name\":\"drafts\",\"kind\":\"model\"},"
                         "{\"name\":\"lookup\",\"kind\":\"service\"}]}");
  return put && put_document (stage, "rules", rules_json);
}

/** Which address to wait for. */
typedef struct port_wait
{
  const bt_stage_t *stage;
  const char *name;
  const char *path;
} port_wait_t;

static bool
answers_page (void *argument)
{
  const port_wait_t *wait = argument;
  json_t *answer = bt_call_standin (wait->stage, wait->name, wait->path, NULL);

  json_decref (answer);
  return answer != NULL;
}

bool
bt_is_entry_ready (const bt_stage_t *stage, const char *entry, int32_t endpoints)
{
  return bt_read_stage_counter (stage, entry, "bilberry_admitting") == 1
         && bt_read_stage_counter (stage, entry, "bilberry_endpoints_up") == endpoints;
}

static bool
is_entry_ready (void *argument)
{
  const port_wait_t *wait = argument;

  /* Above this many entries each is linked to a part of the agents. */
  if (wait->stage->entries > ENTRIES_A_SUBSET)
    return bt_read_stage_counter (wait->stage, wait->name, "bilberry_admitting") == 1;
  return bt_is_entry_ready (wait->stage, wait->name, wait->stage->engines + wait->stage->plains);
}

static bool
start_many (bt_stage_t *stage, const char *kind, int32_t count)
{
  char name[ARGUMENT_BYTES];

  for (int32_t i = 0; i < count; i++)
    {
      snprintf (name, sizeof name, "%s-%d", kind, i);
      if (!bt_start_process (stage, name))
        return false;
    }
  return true;
}

static bool
start_stage (bt_stage_t *stage, const char *rules_json)
{
  port_wait_t kv = { stage, "kv", "/stats" };
  port_wait_t list = { stage, "list", "/instances" };
  char name[ARGUMENT_BYTES];

  if (!bt_start_process (stage, "kv") || !bt_start_process (stage, "list")
      || !start_many (stage, "engine", stage->engines)
      || !start_many (stage, "plain", stage->plains) || !bt_wait_until (answers_page, &kv)
      || !bt_wait_until (answers_page, &list) || !put_declarations (stage, rules_json)
      || !bt_put_stage_list (stage) || !start_many (stage, "agent", stage->engines + stage->plains)
      || !start_many (stage, "entry", stage->entries))
    return false;
  for (int32_t i = 0; i < stage->entries; i++)
    {
      port_wait_t entry = { stage, name, NULL };

      snprintf (name, sizeof name, "entry-%d", i);
      if (!bt_wait_until (is_entry_ready, &entry))
        return false;
    }
  return true;
}

static int
hold_port (int32_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_port = htons ((uint16_t)port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd >= 0 && bind (fd, (struct sockaddr *)&address, sizeof address) == 0 && listen (fd, 1) == 0)
    return fd;
  if (fd >= 0)
    close (fd);
  return -1;
}

/* Tests of several work trees may run at the same time: each holds the first port of its range. */
static bool
take_port_slot (bt_stage_t *stage)
{
  for (int32_t i = 0; i < PORT_SLOTS; i++)
    {
      stage->base_port = FIRST_PORT + (getpid () + i) % PORT_SLOTS * PORT_SPAN;
      stage->slot_fd = hold_port (stage->base_port);
      if (stage->slot_fd >= 0)
        return true;
    }
  return false;
}

bt_stage_t *
bt_new_stage (int32_t entries,
              int32_t engines,
              int32_t plains,
              int32_t engine_step_us,
              const char *rules_json)
{
  bt_stage_t *stage = calloc (1, sizeof *stage);

  if (stage == NULL)
    return NULL;
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  setenv ("BILBERRY_SECRET", "secret-of-the-tests", 1);
  snprintf (stage->folder, sizeof stage->folder, "/tmp/bilberry-test-XXXXXX");
  if (!take_port_slot (stage))
    {
      fprintf (stderr, "no range of ports is free\n");
      free (stage);
      return NULL;
    }
  stage->kv_port = stage->base_port + OFFSET_KV;
  stage->list_port = stage->base_port + OFFSET_LIST;
  stage->entries = entries;
  stage->engines = engines;
  stage->plains = plains;
  stage_step_us = engine_step_us;
  if (mkdtemp (stage->folder) != NULL && start_stage (stage, rules_json))
    return stage;
  fprintf (stderr, "the stage did not start\n");
  bt_drop_stage (stage, true);
  return NULL;
}

static void
print_log (const bt_process_t *process)
{
  FILE *file = fopen (process->log_path, "r");
  char line[1024];

  fprintf (stderr, "--- log of %s\n", process->name);
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    fputs (line, stderr);
  if (file != NULL)
    fclose (file);
}

void
bt_drop_stage (bt_stage_t *stage, bool failed)
{
  int32_t exit_code;

  if (stage == NULL)
    return;
  for (int32_t i = 0; i < stage->process_count; i++)
    if (stage->processes[i].pid != 0)
      {
        kill (stage->processes[i].pid, SIGCONT);
        kill (stage->processes[i].pid, SIGKILL);
        bt_wait_process (stage, stage->processes[i].name, &exit_code);
      }
  for (int32_t i = 0; i < stage->process_count; i++)
    {
      if (failed)
        print_log (&stage->processes[i]);
      unlink (stage->processes[i].log_path);
    }
  rmdir (stage->folder);
  close (stage->slot_fd);
  curl_global_cleanup ();
  free (stage);
}
