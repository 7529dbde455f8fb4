#ifndef BILBERRYTRAY_TEST_PROCESS_HARNESS_H
#define BILBERRYTRAY_TEST_PROCESS_HARNESS_H

/** @file
 * Starts the built programs as processes on loopback, sends requests and reads what came of them.
 * Waiting is always for a condition, with a generous limit that fails the test.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  BT_TESTBED_MAX_PROCESSES = 32,
  BT_WAIT_LIMIT_MS = 30000,
};

/** A process of a test. */
typedef struct bt_process
{
  char name[64];
  pid_t pid; /**< 0: not running. */
  char log_path[128];
} bt_process_t;

/** A small deployment: the platform's stand-ins, entries, and endpoints with their agents. */
typedef struct bt_testbed
{
  bt_process_t processes[BT_TESTBED_MAX_PROCESSES];
  int32_t process_count;
  char folder[64];
  int32_t base_port;
  int port_range_fd; /**< Listens on base_port, so that no other test takes the same ports. */
  int32_t kv_port;
  int32_t instances_port;
  int32_t entries;
  int32_t engines;
  int32_t plain_services;
  bool listed_leaving[BT_TESTBED_MAX_PROCESSES]; /**< By index of agents, engines first. */
} bt_stage_t;

/** What a caller got. */
typedef struct bt_reply
{
  int32_t curl_code; /**< 0 when the answer came whole. */
  int32_t status;
  char outcome[32]; /**< Of the header Bilberry-Outcome. */
  char reason[48];
  int64_t retry_after_ms; /**< -1 without the header. */
  char *body;             /**< Freed by bt_clear_reply. */
  size_t body_bytes;
} bt_reply_t;

/** Starts the stand-ins with @p entries entries, @p engines model engines (app "drafts") and
 * @p plains plain services (app "lookup"), publishes @p rules_json and waits until each entry
 * answers. @p engine_step_us sets the engines' pace. NULL on failure, which is printed. */
bt_stage_t *bt_new_stage (int32_t entries,
                          int32_t engines,
                          int32_t plain_services,
                          int32_t engine_step_us,
                          const char *rules_json);

/** Ends every process by its id and removes the folder; prints the logs if @p failed. */
void bt_drop_stage (bt_stage_t *testbed, bool failed);

/** Extra arguments, NULL-ended, added when entries or agents are started from now on. */
void bt_set_stage_arguments (const char *const *entry_arguments,
                             const char *const *agent_arguments);

/** Starts or restarts a process by name: "entry-N", "agent-N", "engine-N", "plain-N" from 0. */
bool bt_start_process (bt_stage_t *testbed, const char *name);

/** Sends a signal to a process by name; after SIGKILL, waits for its end. */
bool bt_signal_process (bt_stage_t *testbed, const char *name, int signal_number);

/** Waits for the end of a process that was told to stop; true with its exit code. */
bool bt_wait_process (bt_stage_t *testbed, const char *name, int32_t *exit_code);

/** Ports by name of the process: callers' port of an entry, HTTP port of an engine or service. */
int32_t bt_get_stage_port (const bt_stage_t *testbed, const char *name);

/** The operators' page of a process: /metrics as text, to be freed. NULL on failure. */
char *bt_read_stage_metrics (const bt_stage_t *testbed, const char *name);

/** Reads one counter from a process's page, such as
 * "bilberry_refusals_total{reason=\"no-rule\"}"; -1 when it is not there. */
int64_t bt_read_testbed_counter (const bt_stage_t *testbed, const char *name, const char *counter);

/** True when an entry admits requests and has this many endpoints. */
bool bt_is_entry_ready (const bt_stage_t *testbed, const char *entry, int32_t endpoints);

/** Sends a request to an entry. @p headers are "Name: value" lines, NULL-ended or NULL. The token
 * is "token-ACCOUNT". */
void bt_send_entry_request (const bt_stage_t *testbed,
                            const char *entry,
                            const char *account,
                            const char *path,
                            const char *const *headers,
                            const char *body,
                            bt_reply_t *reply);

/** The body as text, "" when there is none. */
const char *bt_get_reply_text (const bt_reply_t *reply);

void bt_clear_reply (bt_reply_t *reply);

/** Calls a stand-in's own page: GET without a body, POST with one. NULL on failure. */
json_t *
bt_call_standin (const bt_stage_t *testbed, const char *name, const char *path, const char *body);

/** In a child process: becomes a program whose output goes to a file, and which ends with the test.
 */
void bt_exec_program (const char *program, char **list, const char *log_path);

/** Has the programs that are started from now on write to @p fd instead of a file; -1: as before.
 */
void bt_set_program_output (int fd);

/** Runs a built program to its end by a shell line such as "bilberryd check examples/haiyun";
 * returns its exit code and gives what it printed on both streams, to be freed. */
int32_t bt_run_program (const char *line, char **output);

/** Sends the instance list again, after a change of listed_leaving. */
bool bt_put_instance_list (bt_stage_t *testbed);

/** Calls @p test every few milliseconds until it is true, or the limit has passed: false. */
bool bt_wait_until (bool (*test) (void *argument), void *argument);

#endif
