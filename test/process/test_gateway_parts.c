#include <CUnit/Basic.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "bilberrytray/base/clock.h"
#include "harness_gateway.h"

enum
{
  GATEWAYS = 3,
  RUNNERS = 6,
  CALLERS = 6,
  OK = 200,
  UNAVAILABLE = 503,
  /* Ends after which the part is to be known, the time after the last of them, and the requests
   * with the part that may still reach runners. */
  TOLERATED_ENDS = 5,
  STABLE_MS = 3000,
  /* From this time after them sound requests are served as before. */
  LEARNING_MS = 2 * STABLE_MS,
  MAX_LATE_ARRIVALS = 3,
  /* Sound requests alone come first, so that the deployment is in its steady state. */
  QUIET_MS = 2000,
  RUN_MS = 15000,
  POISON_INTERVAL_MS = 200,
  SOUND_INTERVAL_MS = 30,
  RESTART_MS = 250,
  POLL_MS = 20,
  RARE_PARTS = 40,
  PERCENT = 100,
  TEXT_BYTES = 512,
};

static const char *const configuration =
    "{\"version\":1,\"services\":[{\"name\":\"svc\"}],\"tenants\":[],\"routes\":["
    "{\"name\":\"plain\",\"host\":\"shop.example\",\"prefix\":\"/a/\",\"kind\":\"idempotent\","
    "\"service\":\"svc\",\"timeout_ms\":3000,\"max_attempts\":2,\"public\":true},"
    "{\"name\":\"stream\",\"host\":\"shop.example\",\"prefix\":\"/a/stream/\","
    "\"kind\":\"streaming\",\"resumable\":true,\"service\":\"svc\",\"timeout_ms\":3000,"
    "\"max_attempts\":2,\"public\":true}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"idle_timeout_ms\":15000}}";

static const char *const poison_id = "r-poison-";

/** The requests of one test. */
typedef struct load
{
  bt_gateway_testbed_t *testbed;
  const char *path;
  bool unframed; /* answers end with their connections */
  atomic_bool stopping;
  atomic_int next;
  atomic_int sound;
  atomic_int served;
  atomic_int late_sound; /* sound requests sent after both counts below were set to 0 */
  atomic_int late_served;
} load_t;

/** What became of the runners. */
typedef struct crash_counts
{
  int32_t ends;
  int64_t fifth_end_ms; /* 0: not yet */
  int64_t restart_ms[RUNNERS];
} crash_counts_t;

static int64_t
now (void)
{
  return bt_read_clock_ms (bt_system_clock ());
}

/* Sends a request whose first part all prompts share. Its target and its last part are its own. */
static int32_t
send_prompt (load_t *load, int32_t gateway, const char *id, const char *second_part, int32_t number)
{
  char parts[2 * TEXT_BYTES];
  char path[TEXT_BYTES];
  bt_gateway_call_t call = {
    .gateway = gateway, .path = path, .id = id, .extra = parts, .deadline_ms = 3000
  };

  snprintf (path, sizeof path, "%s?number=%d", load->path, number);
  snprintf (parts, sizeof parts, "Bilberrytray-Prompt-Prefix: a1:100,%s:50,%x:7", second_part,
            (unsigned)number + 0x100000u);
  return bt_get_call_status (load->testbed, &call);
}

static void *
send_poison (void *argument)
{
  load_t *load = argument;

  bt_sleep_ms (QUIET_MS);
  while (!atomic_load (&load->stopping))
    {
      int32_t number = atomic_fetch_add (&load->next, 1);
      char id[TEXT_BYTES];

      snprintf (id, sizeof id, "%s%d", poison_id, number);
      send_prompt (load, number % GATEWAYS, id, "dead", number);
      bt_sleep_ms (POISON_INTERVAL_MS);
    }
  return NULL;
}

static void *
send_sound (void *argument)
{
  load_t *load = argument;

  while (!atomic_load (&load->stopping))
    {
      int32_t number = atomic_fetch_add (&load->next, 1);
      char id[TEXT_BYTES];
      char part[TEXT_BYTES];
      bool served;

      snprintf (id, sizeof id, "r-sound-%d", number);
      snprintf (part, sizeof part, "b%x", (unsigned)(number * 7 % RARE_PARTS));
      served = send_prompt (load, number % GATEWAYS, id, part, number) == OK;
      atomic_fetch_add (&load->sound, 1);
      atomic_fetch_add (&load->late_sound, 1);
      atomic_fetch_add (&load->served, served ? 1 : 0);
      atomic_fetch_add (&load->late_served, served ? 1 : 0);
      bt_sleep_ms (SOUND_INTERVAL_MS);
    }
  return NULL;
}

static void
set_unframed (const bt_gateway_testbed_t *testbed, int32_t runner)
{
  CU_ASSERT_TRUE (
      bt_set_standin_fault (testbed->runner_ports[runner], "{\"kind\":\"unframed\",\"count\":-1}"));
}

static void
restart_runner (const load_t *load, int32_t index)
{
  CU_ASSERT_TRUE (bt_restart_runner_process (load->testbed, index));
  if (load->unframed)
    set_unframed (load->testbed, index);
  CU_ASSERT_TRUE (bt_put_runner_item (load->testbed, index, "ready"));
}

/* Restarts the runners that have exited a short time ago, each under its id. */
static void
tend_runners (const load_t *load, crash_counts_t *counts)
{
  for (int32_t i = 0; i < RUNNERS; i++)
    {
      if (bt_reap_runner_process (load->testbed, i))
        {
          counts->restart_ms[i] = now () + RESTART_MS;
          counts->ends++;
          if (counts->ends == TOLERATED_ENDS)
            counts->fifth_end_ms = now ();
        }
      if (counts->restart_ms[i] == 0 || now () < counts->restart_ms[i])
        continue;
      counts->restart_ms[i] = 0;
      restart_runner (load, i);
    }
}

/* Counts the requests with the part that reached a runner later than @p after_ms. */
static int32_t
count_poison_arrivals (const bt_gateway_testbed_t *testbed, int64_t after_ms)
{
  int32_t count = 0;

  for (int32_t i = 0; i < RUNNERS; i++)
    {
      char path[TEXT_BYTES];
      char line[TEXT_BYTES];
      FILE *file;

      snprintf (path, sizeof path, "%s/i-%d.log", testbed->folder, i);
      file = fopen (path, "r");
      while (file != NULL && fgets (line, sizeof line, file) != NULL)
        {
          char id[TEXT_BYTES];
          long long at_ms;

          if (sscanf (line, "arrival %511s %*s %lld", id, &at_ms) == 2
              && strncmp (id, poison_id, strlen (poison_id)) == 0 && at_ms > after_ms)
            count++;
        }
      if (file != NULL)
        fclose (file);
    }
  return count;
}

static bool
start_load (load_t *load, const char *path, bool unframed)
{
  memset (load, 0, sizeof *load);
  load->path = path;
  load->unframed = unframed;
  load->testbed = bt_new_wide_gateway_testbed (GATEWAYS, RUNNERS, configuration);
  if (load->testbed == NULL)
    return false;
  for (int32_t i = 0; i < GATEWAYS; i++)
    if (!bt_wait_gateway_ready (load->testbed, i))
      return false;
  for (int32_t i = 0; unframed && i < RUNNERS; i++)
    set_unframed (load->testbed, i);
  return true;
}

/* Sends the part that crashes runners for some time beside sound requests. */
static void
run_load (load_t *load, crash_counts_t *counts)
{
  pthread_t threads[CALLERS + 1];
  int64_t end_ms = now () + RUN_MS;
  bool is_late = false;

  pthread_create (&threads[CALLERS], NULL, send_poison, load);
  for (int32_t i = 0; i < CALLERS; i++)
    pthread_create (&threads[i], NULL, send_sound, load);
  while (now () < end_ms)
    {
      tend_runners (load, counts);
      if (!is_late && counts->fifth_end_ms > 0 && now () - counts->fifth_end_ms > LEARNING_MS)
        {
          is_late = true;
          atomic_store (&load->late_sound, 0);
          atomic_store (&load->late_served, 0);
        }
      bt_sleep_ms (POLL_MS);
    }
  atomic_store (&load->stopping, true);
  for (int32_t i = 0; i <= CALLERS; i++)
    pthread_join (threads[i], NULL);
}

static void
print_counts (load_t *load, const crash_counts_t *counts, int32_t late)
{
  printf ("%d ends, %d late requests with the part, sound served %d of %d, late %d of %d ",
          counts->ends, late, atomic_load (&load->served), atomic_load (&load->sound),
          atomic_load (&load->late_served), atomic_load (&load->late_sound));
}

/* Guards against a part of prompts that crashes every endpoint, in requests that are never alike
 * and come at any gateway, beside sound requests that share their other parts. */
static void
check_crashing_part_is_blocked (const char *path, bool unframed)
{
  load_t load;
  crash_counts_t counts = { 0 };
  int32_t late = 0;

  CU_ASSERT_TRUE_FATAL (start_load (&load, path, unframed));
  run_load (&load, &counts);
  if (counts.fifth_end_ms > 0)
    late = count_poison_arrivals (load.testbed, counts.fifth_end_ms + STABLE_MS);
  print_counts (&load, &counts, late);
  CU_ASSERT (counts.ends >= 1);
  CU_ASSERT (late <= MAX_LATE_ARRIVALS);
  CU_ASSERT (2 * atomic_load (&load.late_served) >= atomic_load (&load.late_sound));
  bt_drop_gateway_testbed (load.testbed, CU_get_number_of_failures () > 0);
}

static void
test_part_that_crashes_lookups_is_blocked (void)
{
  check_crashing_part_is_blocked ("/a/lookup", false);
}

static void
test_part_that_crashes_streams_is_blocked (void)
{
  check_crashing_part_is_blocked ("/a/stream/x", false);
}

/* Guards against the end of a connection that is taken for a complete answer: a process that
 * crashes closes its connections in the same way, and the part would be cleared. */
static void
test_part_that_crashes_unframed_streams_is_blocked (void)
{
  check_crashing_part_is_blocked ("/a/stream/x", true);
}

/* Guards against an empty answer that is passed on as complete, when a runner ends after the head
 * of a stream that has neither a length nor chunks. */
static void
test_unframed_stream_without_events_is_no_answer (void)
{
  load_t load;

  CU_ASSERT_TRUE_FATAL (start_load (&load, "/a/stream/x", true));
  CU_ASSERT_EQUAL (send_prompt (&load, 0, "r-sound", "b1", 1), OK);
  CU_ASSERT_NOT_EQUAL (send_prompt (&load, 0, "r-poison-0", "dead", 2), OK);
  bt_drop_gateway_testbed (load.testbed, CU_get_number_of_failures () > 0);
}

/* Sends requests with the part until all gateways hold it. */
static void
send_until_held (load_t *load)
{
  crash_counts_t counts = { 0 };
  int64_t end_ms = now () + RUN_MS;
  bool held = false;

  for (int32_t number = 0; !held && now () < end_ms; number++)
    {
      char id[TEXT_BYTES];

      snprintf (id, sizeof id, "%s%d", poison_id, number);
      send_prompt (load, number % GATEWAYS, id, "dead", number);
      bt_sleep_ms (RESTART_MS + POLL_MS);
      tend_runners (load, &counts);
      send_prompt (load, number % GATEWAYS, "r-sound", "b1", number + RARE_PARTS);
      held = true;
      for (int32_t i = 0; i < GATEWAYS; i++)
        held = held && bt_read_gateway_metric (load->testbed, i, "bilberry_held_parts") == 1;
    }
  CU_ASSERT_TRUE (held);
  bt_sleep_ms (RESTART_MS);
  tend_runners (load, &counts);
}

static void
restart_all_gateways (bt_gateway_testbed_t *testbed)
{
  for (int32_t i = 0; i < GATEWAYS; i++)
    {
      kill (testbed->gateways[i], SIGKILL);
      waitpid (testbed->gateways[i], NULL, 0);
    }
  for (int32_t i = 0; i < GATEWAYS; i++)
    bt_start_gateway_process (testbed, i);
  for (int32_t i = 0; i < GATEWAYS; i++)
    CU_ASSERT_TRUE (bt_wait_gateway_ready (testbed, i));
}

/* Guards against a held part that is let through again when all gateways were killed, or that
 * operators can't look up. */
static void
test_part_stays_held_when_all_gateways_die (void)
{
  load_t load;
  crash_counts_t counts = { 0 };

  CU_ASSERT_TRUE_FATAL (start_load (&load, "/a/lookup", false));
  send_until_held (&load);
  restart_all_gateways (load.testbed);
  for (int32_t i = 0; i < GATEWAYS; i++)
    {
      CU_ASSERT_EQUAL (send_prompt (&load, i, "r-poison-after", "dead", i), UNAVAILABLE);
      CU_ASSERT_TRUE (bt_has_gateway_status (load.testbed, i, "reported by gateway-"));
      CU_ASSERT_TRUE (bt_has_gateway_status (load.testbed, i, "held, next trial from 20"));
      CU_ASSERT_EQUAL (bt_read_gateway_metric (load.testbed, i, "bilberry_held_parts"), 1);
    }
  bt_sleep_ms (RESTART_MS);
  tend_runners (&load, &counts);
  CU_ASSERT_EQUAL (counts.ends, 0);
  CU_ASSERT_EQUAL (send_prompt (&load, 0, "r-sound", "b1", GATEWAYS), OK);
  bt_drop_gateway_testbed (load.testbed, CU_get_number_of_failures () > 0);
}

int
main (void)
{
  CU_pSuite suite;
  unsigned failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("gateway_parts", NULL, NULL);
  CU_ADD_TEST (suite, test_part_that_crashes_lookups_is_blocked);
  CU_ADD_TEST (suite, test_part_that_crashes_streams_is_blocked);
  CU_ADD_TEST (suite, test_part_that_crashes_unframed_streams_is_blocked);
  CU_ADD_TEST (suite, test_unframed_stream_without_events_is_no_answer);
  CU_ADD_TEST (suite, test_part_stays_held_when_all_gateways_die);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
