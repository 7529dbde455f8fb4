#ifndef TEST_STANDIN_PROCESS_H
#define TEST_STANDIN_PROCESS_H

/** @file
 * Starts a stand-in (a test double of a platform service) as a child process and sends it commands.
 */

#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bilberrytray/base.h"
#include "bilberrytray/store/http_client.h"

extern char **environ;

typedef struct standin_process
{
  pid_t pid;
  char url[64];
} standin_process_t;

/** Starts BT_BUILD_DIR/NAME, which chooses a free port, and waits until it listens. */
static inline bool
start_standin (standin_process_t *process, const char *name)
{
  const char *dir = getenv ("BT_BUILD_DIR");
  char path[512];
  char line[64] = "";
  char *argv[] = { path, "--life-s", "120", NULL };
  posix_spawn_file_actions_t actions;
  unsigned int port = 0;
  int ends[2];
  FILE *out;

  process->pid = 0;
  snprintf (path, sizeof path, "%s/%s", dir == NULL ? "." : dir, name);
  if (pipe (ends) != 0)
    return false;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addclose (&actions, ends[0]);
  if (posix_spawn (&process->pid, path, &actions, NULL, argv, environ) != 0)
    return false;
  posix_spawn_file_actions_destroy (&actions);
  close (ends[1]);
  out = fdopen (ends[0], "r");
  if (fgets (line, sizeof line, out) == NULL || sscanf (line, "listening %u", &port) != 1)
    port = 0;
  fclose (out);
  snprintf (process->url, sizeof process->url, "http://127.0.0.1:%u", port);
  return port != 0;
}

static inline void
stop_standin (standin_process_t *process)
{
  if (process->pid <= 0)
    return;
  kill (process->pid, SIGTERM);
  waitpid (process->pid, NULL, 0);
}

/** Sends one request and copies the text of the answer to @p text, which may be NULL. Returns false
 * when there was no answer. */
static inline bool
command_standin (bt_context_t *ctx,
                 const standin_process_t *process,
                 const char *path,
                 const char *body,
                 char *text,
                 size_t capacity)
{
  static const bt_http_limits_t limits = { 2000, 5000, 5000, 1 << 20 };
  static const int32_t cancelled = 0;
  bt_http_client_t *client = bt_new_http_client (ctx, &limits, &cancelled);
  char url[128];
  bt_http_request_t request = { .url = url, .body = body };
  bt_http_answer_t answer;
  bt_error_t error = { 0 };
  bool done;

  snprintf (url, sizeof url, "%s%s", process->url, path);
  done = bt_call_http (ctx, client, &request, &answer, &error);
  if (done && text != NULL)
    snprintf (text, capacity, "%s", answer.body);
  bt_drop_http_client (ctx, client);
  return done;
}

static inline bool
set_fault (bt_context_t *ctx, const standin_process_t *process, const char *fault)
{
  return command_standin (ctx, process, "/fault", fault, NULL, 0);
}

#endif
