#include <CUnit/Basic.h>
#include <curl/curl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bilberrytray/base/clock.h"
#include "harness.h"

extern char **environ;

enum
{
  RANKS = 3,
  ENTRIES = 2,
  TEXT_BYTES = 256,
  PAGE_BYTES = 4096,
  CALL_MS = 10000,
};

static const char *const rules = "{\"rules\":[]}";

static const char *const entry_arguments[] = {
  "--group", "drafts", "--ranks", "3", "--map-lease-s", "2", "--arm-steps", "60", NULL
};

static const char *const planning_arguments[] = { "--group",        "drafts",  "--ranks",     "3",
                                                  "--map-lease-s",  "2",       "--arm-steps", "60",
                                                  "--layers",       "4",       "--experts",   "12",
                                                  "--expert-slots", "5",       "--plan-ms",   "500",
                                                  "--expert-bytes", "1000000", NULL };

static bt_testbed_t *testbed;
static pid_t group_pid;
static int group_port;
static int64_t wanted_map = 1;

static bool
start_group (void)
{
  const char *build = getenv ("BT_BUILD_DIR");
  char program[TEXT_BYTES];
  char line[TEXT_BYTES] = "";
  char *arguments[] = { program, "--ranks", "3", "--life-s", "200", "--ignore-fences", NULL };
  posix_spawn_file_actions_t files;
  int pipes[2];
  FILE *output;

  snprintf (program, sizeof program, "%s/standin-group", build == NULL ? "build/asan" : build);
  if (pipe (pipes) != 0)
    return false;
  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_adddup2 (&files, pipes[1], STDOUT_FILENO);
  if (posix_spawn (&group_pid, program, &files, NULL, arguments, environ) != 0)
    return false;
  posix_spawn_file_actions_destroy (&files);
  close (pipes[1]);
  output = fdopen (pipes[0], "r");
  if (fgets (line, sizeof line, output) == NULL || strncmp (line, "listening ", 10) != 0)
    return false;
  group_port = (int)strtol (line + 10, NULL, 10);
  fclose (output);
  return true;
}

static bool
start_agent (int32_t rank)
{
  char text[TEXT_BYTES];

  snprintf (text, sizeof text, "%d", rank);
  setenv ("BILBERRY_RANK", text, 1);
  snprintf (text, sizeof text, "http://127.0.0.1:%d/ranks/%d", group_port, rank);
  setenv ("BILBERRY_RANK_URL", text, 1);
  snprintf (text, sizeof text, "http://127.0.0.1:%d", testbed->kv_port);
  setenv ("BILBERRY_STORE_URL", text, 1);
  setenv ("BILBERRY_GROUP", "drafts", 1);
  setenv ("BILBERRY_MAP_GIVE_UP_MS", "1500", 1);
  snprintf (text, sizeof text, "agent-%d", rank);
  return bt_start_process (testbed, text);
}

static bool
kill_agent (int32_t rank)
{
  char name[TEXT_BYTES];

  snprintf (name, sizeof name, "agent-%d", rank);
  return bt_signal_process (testbed, name, SIGKILL);
}

/* The harness starts agents without a group; they are restarted with one. */
static int
start_testbed (const char *const *arguments)
{
  unsetenv ("BILBERRY_GROUP");
  bt_set_testbed_arguments (arguments, NULL);
  if (!start_group ())
    return 1;
  testbed = bt_new_testbed (ENTRIES, RANKS, 0, 1000, rules);
  if (testbed == NULL)
    return 1;
  for (int32_t rank = 0; rank < RANKS; rank++)
    if (!kill_agent (rank) || !start_agent (rank))
      return 1;
  return 0;
}

static int
start_suite (void)
{
  return start_testbed (entry_arguments);
}

static int
start_planned_suite (void)
{
  return start_testbed (planning_arguments);
}

static int
end_suite (void)
{
  bt_drop_testbed (testbed, CU_get_number_of_failures () > 0);
  kill (group_pid, SIGTERM);
  waitpid (group_pid, NULL, 0);
  return 0;
}

static size_t
append_bytes (char *data, size_t size, size_t count, void *argument)
{
  char *text = argument;

  if (strlen (text) + size * count >= PAGE_BYTES)
    return 0;
  strncat (text, data, size * count);
  return size * count;
}

/* Calls a page of the group or of a rank. Returns NULL once the group has aborted. The caller owns
 * the answer. */
static json_t *
call_group (const char *path, const char *body)
{
  CURL *curl = curl_easy_init ();
  char text[PAGE_BYTES] = "";
  char url[TEXT_BYTES];

  snprintf (url, sizeof url, "http://127.0.0.1:%d%s", group_port, path);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)CALL_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_bytes);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, text);
  if (body != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_perform (curl);
  curl_easy_cleanup (curl);
  return json_loads (text, 0, NULL);
}

static int64_t
read_steps (void)
{
  json_t *page = call_group ("/group", NULL);
  int64_t steps = page == NULL ? -1 : json_integer_value (json_object_get (page, "steps"));

  json_decref (page);
  return steps;
}

static bool
uses_map (int32_t rank, int64_t map)
{
  char path[TEXT_BYTES];
  json_t *page;
  const char *digest;
  bool uses;

  snprintf (path, sizeof path, "/ranks/%d/state", rank);
  page = call_group (path, NULL);
  digest = json_string_value (json_object_get (page, "in_use_digest"));
  uses = digest != NULL && strtoll (digest, NULL, 16) == map;
  json_decref (page);
  return uses;
}

static bool
all_use_map (void *argument)
{
  for (int32_t rank = 0; rank < RANKS; rank++)
    if (!uses_map (rank, *(int64_t *)argument))
      return false;
  return true;
}

static bool
has_stepped (void *argument)
{
  return read_steps () > *(int64_t *)argument;
}

/* Checks that the group uses the wanted map and continues to step. */
static void
check_group (void)
{
  int64_t steps = read_steps ();

  CU_ASSERT_TRUE (bt_wait_until (all_use_map, &wanted_map));
  CU_ASSERT_TRUE (steps >= 0);
  CU_ASSERT_TRUE (bt_wait_until (has_stepped, &steps));
  CU_ASSERT_EQUAL (waitpid (group_pid, NULL, WNOHANG), 0);
}

static void
set_group_fault (const char *body)
{
  json_decref (call_group ("/fault", body));
}

static void
request_next_map (void)
{
  char body[TEXT_BYTES];
  /* "bilberrytray-maps/drafts/wanted" in base 64 */
  const char *key = "YmlsYmVycnl0cmF5LW1hcHMvZHJhZnRzL3dhbnRlZA==";
  static const char *const values[] = { "MA==", "MQ==", "Mg==", "Mw==", "NA==",
                                        "NQ==", "Ng==", "Nw==", "OA==", "OQ==" };

  wanted_map++;
  snprintf (body, sizeof body, "{\"key\":\"%s\",\"value\":\"%s\"}", key, values[wanted_map]);
  json_decref (bt_call_standin (testbed, "kv", "/v3/kv/put", body));
}

/* Returns the entry that is the controller, -1: none. The entry @p stopped is not asked: its page
 * would not answer. */
static int32_t
find_running_controller (int32_t stopped)
{
  char name[TEXT_BYTES];

  for (int32_t i = 0; i < ENTRIES; i++)
    {
      if (i == stopped)
        continue;
      snprintf (name, sizeof name, "entry-%d", i);
      if (bt_read_testbed_counter (testbed, name, "bilberry_map_controller") == 1)
        return i;
    }
  return -1;
}

static bool
has_controller (void *argument)
{
  *(int32_t *)argument = find_running_controller (-1);
  return *(int32_t *)argument >= 0;
}

static bool
is_rank_undecided (void *argument)
{
  char path[TEXT_BYTES];
  json_t *page;
  json_t *armed;
  bool undecided;

  snprintf (path, sizeof path, "/ranks/%d/state", *(int32_t *)argument);
  page = call_group (path, NULL);
  armed = json_object_get (page, "armed");
  undecided = json_integer_value (json_array_get (armed, 0)) > 0
              && json_equal (armed, json_object_get (page, "decided")) == 0;
  json_decref (page);
  return undecided;
}

static bool
has_rank_0_applied (void *argument)
{
  json_t *page = call_group ("/ranks/0/state", NULL);
  json_t *decided = json_object_get (page, "decided");
  bool applied = json_is_true (json_object_get (page, "decided_apply"))
                 && !json_equal (decided, argument)
                 && json_integer_value (json_array_get (decided, 0)) > 0;

  json_decref (page);
  return applied;
}

static void
test_group_forms_and_changes_its_map (void)
{
  check_group ();
  request_next_map ();
  check_group ();
}

/* Guards against one rank that steps with the old map, and against a group that never steps again,
 * when the decision of a round is lost three times on its way from the controller to rank 1. */
static void
test_lost_decision_reaches_one_rank (void)
{
  set_group_fault ("{\"kind\":\"down\",\"count\":3,\"match\":\"1/learn\"}");
  request_next_map ();
  check_group ();
}

/* Guards against a group with two maps. The entry that is the controller freezes in the middle of a
 * round, and another one takes over. The first one resumes and continues where it was: its orders
 * must be refused. */
static void
test_resumed_controller_is_fenced (void)
{
  int32_t frozen = -1;
  int32_t rank = 1;
  char name[TEXT_BYTES];

  CU_ASSERT_TRUE_FATAL (bt_wait_until (has_controller, &frozen));
  snprintf (name, sizeof name, "entry-%d", frozen);
  set_group_fault ("{\"kind\":\"down\",\"count\":-1,\"match\":\"0/decide\"}");
  request_next_map ();
  CU_ASSERT_TRUE (bt_wait_until (is_rank_undecided, &rank));
  CU_ASSERT_TRUE (bt_signal_process (testbed, name, SIGSTOP));
  set_group_fault ("{\"kind\":\"none\"}");
  check_group ();
  CU_ASSERT_NOT_EQUAL (find_running_controller (frozen), frozen);
  CU_ASSERT_TRUE (bt_signal_process (testbed, name, SIGCONT));
  request_next_map ();
  check_group ();
}

/* Rank 0's engine has applied the map, and its agent dies before it can report that. The restarted
 * agent must ask its engine, and the other ranks must learn the same decision. */
static void
test_agent_of_rank_0_dies_after_deciding (void)
{
  json_t *page = call_group ("/ranks/0/state", NULL);

  set_group_fault ("{\"kind\":\"lost-answer\",\"count\":1,\"match\":\"0/decide\"}");
  request_next_map ();
  CU_ASSERT_TRUE (bt_wait_until (has_rank_0_applied, json_object_get (page, "decided")));
  CU_ASSERT_TRUE (kill_agent (0));
  json_decref (page);
  CU_ASSERT_TRUE (start_agent (0));
  check_group ();
}

/* The agent of rank 0 dies while the decision is lost on its way to the engine. Every attempt is
 * lost until the agent is dead, so that the test can't miss the state that it waits for. */
static void
test_agent_of_rank_0_dies_before_deciding (void)
{
  int32_t rank = 0;

  set_group_fault ("{\"kind\":\"down\",\"count\":-1,\"match\":\"0/decide\"}");
  request_next_map ();
  CU_ASSERT_TRUE (bt_wait_until (is_rank_undecided, &rank));
  CU_ASSERT_TRUE (kill_agent (0));
  set_group_fault ("{\"kind\":\"none\"}");
  CU_ASSERT_TRUE (start_agent (0));
  check_group ();
}

/* The store is down, and the group must continue to step. A wanted map must come into use once the
 * store is back. */
static void
test_store_outage_stops_no_step (void)
{
  int64_t steps;

  json_decref (bt_call_standin (testbed, "kv", "/fault", "{\"kind\":\"down\",\"count\":-1}"));
  steps = read_steps ();
  CU_ASSERT_TRUE (bt_wait_until (has_stepped, &steps));
  json_decref (bt_call_standin (testbed, "kv", "/fault", "{\"kind\":\"none\"}"));
  request_next_map ();
  check_group ();
}

/* A replaced engine must get the group's map before it joins. */
static void
test_rank_0_is_replaced (void)
{
  set_group_fault ("{\"kind\":\"replace-0\"}");
  check_group ();
}

/* Returns the digest of the map that a rank uses, 0 for none. */
static uint64_t
read_map (int32_t rank)
{
  char path[TEXT_BYTES];
  json_t *page;
  const char *digest;
  uint64_t map;

  snprintf (path, sizeof path, "/ranks/%d/state", rank);
  page = call_group (path, NULL);
  digest = json_string_value (json_object_get (page, "in_use_digest"));
  map = digest == NULL ? 0 : strtoull (digest, NULL, 16);
  json_decref (page);
  return map;
}

static bool
has_first_map (void *argument)
{
  *(uint64_t *)argument = read_map (0);
  return *(uint64_t *)argument != 0;
}

static bool
has_other_map (void *argument)
{
  uint64_t map = read_map (1);

  return map != 0 && map != *(uint64_t *)argument && read_map (2) == map && read_map (0) == map;
}

static bool
has_same_map (void *argument)
{
  return read_map (0) == *(uint64_t *)argument;
}

/* One expert in each layer is hot and slows every step. The planner's map must come into use
 * without an operator, and stay: a second plan finds no change that pays. */
static void
test_planned_map_is_applied (void)
{
  uint64_t first = 0;
  uint64_t planned;

  CU_ASSERT_TRUE (bt_wait_until (has_first_map, &first));
  CU_ASSERT_TRUE (bt_wait_until (has_other_map, &first));
  planned = read_map (0);
  bt_sleep_ms (2000);
  CU_ASSERT_EQUAL (read_map (0), planned);
  CU_ASSERT_EQUAL (waitpid (group_pid, NULL, WNOHANG), 0);
}

/* Guards against a replaced rank that joins with the first map, or never. The controller dies and a
 * rank is replaced. The new controller did not make the map in use, and must find its bytes in the
 * store. */
static void
test_new_controller_finds_the_planned_map (void)
{
  uint64_t planned = read_map (1);
  int32_t controller = -1;
  char name[TEXT_BYTES];
  int64_t steps = read_steps ();

  CU_ASSERT_TRUE_FATAL (bt_wait_until (has_controller, &controller));
  snprintf (name, sizeof name, "entry-%d", controller);
  CU_ASSERT_TRUE (bt_signal_process (testbed, name, SIGKILL));
  set_group_fault ("{\"kind\":\"replace-0\"}");
  CU_ASSERT_TRUE (bt_wait_until (has_same_map, &planned));
  CU_ASSERT_TRUE (bt_wait_until (has_stepped, &steps));
  CU_ASSERT_EQUAL (waitpid (group_pid, NULL, WNOHANG), 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failed;

  CU_initialize_registry ();
  suite = CU_add_suite ("map group", start_suite, end_suite);
  CU_ADD_TEST (suite, test_group_forms_and_changes_its_map);
  CU_ADD_TEST (suite, test_lost_decision_reaches_one_rank);
  CU_ADD_TEST (suite, test_resumed_controller_is_fenced);
  CU_ADD_TEST (suite, test_agent_of_rank_0_dies_after_deciding);
  CU_ADD_TEST (suite, test_agent_of_rank_0_dies_before_deciding);
  CU_ADD_TEST (suite, test_store_outage_stops_no_step);
  CU_ADD_TEST (suite, test_rank_0_is_replaced);
  suite = CU_add_suite ("planned maps", start_planned_suite, end_suite);
  CU_ADD_TEST (suite, test_planned_map_is_applied);
  CU_ADD_TEST (suite, test_new_controller_finds_the_planned_map);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
