/** @file
 * Measures what the event log costs. Sends the same requests to gateways with the log on, with
 * the log off, and with a reader of the log that has stopped, in one run. Then measures single
 * lines that are written, dropped by the budget, or lost because the reader stopped.
 *
 *   bench_log [--rounds N]
 *
 * In each round every gateway in turn gets as many requests as the budget of log lines allows at
 * once; then the bench waits until the budget is full again. The last rounds send ten times as
 * many requests without a wait.
 */

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/event_log.h"
#include "harness_gateway.h"

enum
{
  DEFAULT_ROUNDS = 7,
  MAX_ROUNDS = 32,
  REQUESTS = 300, /* per round; within the budget's burst of 400 lines */
  BURST = 3000,
  WARM_UP = 50,
  REST_MS = 9000, /* time to earn 300 lines at 40 a second, with a margin */
  LINES = 20000,
  LINE_PAUSE_MS = 25, /* the time to earn one line at 40 a second */
  PIPE_BYTES = 4096,
  PATH_BYTES = 320,
  NS_PER_US = 1000,
  US_PER_S = 1000000,
  BASE_TEN = 10,
};

/** The gateways, by their index in the testbed. */
typedef enum log_mode
{
  LOG_ON = 0,
  LOG_OFF,
  READER_STOPPED,
  MODES,
} log_mode_t;

static const char *const mode_names[] = { "log on", "log off", "reader stopped" };

static const char *const configuration =
    "{\"version\":1,\"services\":[{\"name\":\"svc\"}],"
    "\"tenants\":[{\"name\":\"small\",\"api_keys\":[\"key-small\"],\"priority\":1}],"
    "\"routes\":[{\"name\":\"wide\",\"host\":\"shop.example\",\"prefix\":\"/a/\","
    "\"kind\":\"idempotent\",\"service\":\"svc\",\"timeout_ms\":20000,\"max_attempts\":2,"
    "\"public\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"idle_timeout_ms\":15000}}";

/** Cost of one batch of requests. */
typedef struct cost
{
  double cpu_us;  /* CPU time of the gateway per request */
  double wall_us; /* time of the client per request */
  double bytes;   /* log bytes per request */
} cost_t;

static bt_gateway_testbed_t *testbed;
static int32_t failed_requests;

/* Returns the CPU time of all threads of a process, in microseconds. */
static double
read_cpu_us (pid_t pid)
{
  char path[PATH_BYTES];
  double total_ns = 0;
  struct dirent *entry;
  DIR *directory;

  snprintf (path, sizeof path, "/proc/%d/task", (int)pid);
  directory = opendir (path);
  while (directory != NULL && (entry = readdir (directory)) != NULL)
    {
      char file[2 * PATH_BYTES];
      double task_ns = 0;
      FILE *input;

      snprintf (file, sizeof file, "%s/%s/schedstat", path, entry->d_name);
      input = entry->d_name[0] == '.' ? NULL : fopen (file, "r");
      if (input == NULL)
        continue;
      if (fscanf (input, "%lf", &task_ns) == 1)
        total_ns += task_ns;
      fclose (input);
    }
  if (directory != NULL)
    closedir (directory);
  return total_ns / NS_PER_US;
}

static double
read_log_bytes (int32_t gateway)
{
  char path[PATH_BYTES];
  struct stat file_status;

  snprintf (path, sizeof path, "%s/instance=gateway-%d.log", testbed->folder, (int)gateway);
  return stat (path, &file_status) == 0 ? (double)file_status.st_size : 0;
}

static void
send_requests (int32_t gateway, int32_t count)
{
  static const char *const headers[] = { "Host: shop.example", "Bilberrytray-Attempt-Id: r-bench",
                                         "Authorization: Bearer key-small",
                                         "Bilberrytray-Deadline-Ms: 20000", NULL };

  for (int32_t i = 0; i < count; i++)
    {
      bt_http_reply_t reply;

      bt_send_gateway_request (testbed, gateway, "/a/lookup", headers, "shrimp", &reply);
      failed_requests += reply.curl_code != 0 || reply.status != 200;
      bt_clear_reply (&reply);
    }
}

static cost_t
measure (int32_t gateway, int32_t count)
{
  double cpu_us = read_cpu_us (testbed->gateways[gateway]);
  double bytes = read_log_bytes (gateway);
  int64_t start_us = bt_read_monotonic_us ();
  cost_t cost;

  send_requests (gateway, count);
  cost.wall_us = (double)(bt_read_monotonic_us () - start_us) / count;
  cost.cpu_us = (read_cpu_us (testbed->gateways[gateway]) - cpu_us) / count;
  cost.bytes = (read_log_bytes (gateway) - bytes) / count;
  return cost;
}

static int
compare_doubles (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}

static void
print_range (const char *name, double *values, int32_t count, const char *unit)
{
  qsort (values, (size_t)count, sizeof *values, compare_doubles);
  printf ("%-34s %9.2f  (%.2f to %.2f) %s\n", name, values[count / 2], values[0], values[count - 1],
          unit);
}

static void
restart_gateway (int32_t gateway)
{
  kill (testbed->gateways[gateway], SIGKILL);
  waitpid (testbed->gateways[gateway], NULL, 0);
  bt_start_gateway_process (testbed, gateway);
}

/* Starts the gateways. One has its log off, and one writes its log to a pipe that nobody reads. */
static bool
start (void)
{
  static int pipe_ends[2];

  testbed = bt_new_gateway_testbed (MODES, configuration);
  if (testbed == NULL || pipe2 (pipe_ends, O_CLOEXEC) != 0)
    return false;
  fcntl (pipe_ends[1], F_SETPIPE_SZ, PIPE_BYTES);
  setenv ("BILBERRY_LOG_LEVEL", "error", 1);
  restart_gateway (LOG_OFF);
  unsetenv ("BILBERRY_LOG_LEVEL");
  bt_set_program_output (pipe_ends[1]);
  restart_gateway (READER_STOPPED);
  bt_set_program_output (-1);
  for (int32_t i = 0; i < MODES; i++)
    {
      if (!bt_wait_gateway_ready (testbed, i))
        return false;
      send_requests (i, WARM_UP);
    }
  return true;
}

static void
print_rounds (cost_t costs[MAX_ROUNDS][MODES], int32_t rounds)
{
  double values[MAX_ROUNDS];
  char name[PATH_BYTES];

  for (int32_t mode = 0; mode < MODES; mode++)
    {
      snprintf (name, sizeof name, "processor time, %s", mode_names[mode]);
      for (int32_t i = 0; i < rounds; i++)
        values[i] = costs[i][mode].cpu_us;
      print_range (name, values, rounds, "us a request");
    }
  for (int32_t mode = 0; mode < MODES; mode++)
    {
      if (mode == LOG_OFF)
        continue;
      snprintf (name, sizeof name, "  ratio, %s / log off", mode_names[mode]);
      for (int32_t i = 0; i < rounds; i++)
        values[i] = costs[i][mode].cpu_us / costs[i][LOG_OFF].cpu_us;
      print_range (name, values, rounds, "");
      snprintf (name, sizeof name, "  time to answer, same ratio");
      for (int32_t i = 0; i < rounds; i++)
        values[i] = costs[i][mode].wall_us / costs[i][LOG_OFF].wall_us;
      print_range (name, values, rounds, "");
    }
  for (int32_t mode = 0; mode < READER_STOPPED; mode++)
    {
      snprintf (name, sizeof name, "bytes, %s", mode_names[mode]);
      for (int32_t i = 0; i < rounds; i++)
        values[i] = costs[i][mode].bytes;
      print_range (name, values, rounds, "a request");
    }
}

static double
read_own_cpu_us (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * US_PER_S
         + (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/* Returns the CPU time of one line written to @p out, in microseconds. @p pause_ms is the fake
 * time between two lines: within the budget, or 0 to exceed it. */
static double
measure_line (int out, int64_t pause_ms)
{
  bt_context_t *ctx = bt_new_context ();
  bt_fake_clock_t clock;
  double cpu_us;
  int saved;

  bt_init_fake_clock (&clock, 0);
  bt_set_context_clock (ctx, &clock.base);
  fflush (stdout);
  saved = dup (STDOUT_FILENO);
  dup2 (out, STDOUT_FILENO);
  cpu_us = read_own_cpu_us ();
  for (int32_t i = 0; i < LINES; i++)
    {
      clock.now_ms += pause_ms;
      bt_log_event (ctx, BT_LOG_INFO, "request", "{s:s, s:s, s:s, s:s, s:i, s:I, s:I, s:I}",
                    "request", "0b9704cba6941bc8", "rule", "r-q5vag4c", "account", "bolo146",
                    "outcome", "answered", "status", 200, "queue_ms", (json_int_t)0, "total_ms",
                    (json_int_t)39, "revision", (json_int_t)33);
    }
  cpu_us = read_own_cpu_us () - cpu_us;
  dup2 (saved, STDOUT_FILENO);
  close (saved);
  bt_drop_context (ctx);
  return cpu_us / LINES;
}

static void
print_lines (int32_t rounds)
{
  double written[MAX_ROUNDS];
  double dropped[MAX_ROUNDS];
  double lost[MAX_ROUNDS];
  FILE *file = tmpfile ();
  int pipe_ends[2];

  if (file == NULL || pipe2 (pipe_ends, O_CLOEXEC) != 0)
    return;
  for (int32_t i = 0; i < rounds; i++)
    {
      written[i] = measure_line (fileno (file), LINE_PAUSE_MS);
      dropped[i] = measure_line (fileno (file), 0);
      lost[i] = measure_line (pipe_ends[1], LINE_PAUSE_MS);
    }
  print_range ("one line, written to a file", written, rounds, "us");
  print_range ("one line, left out by the budget", dropped, rounds, "us");
  print_range ("one line, reader stopped", lost, rounds, "us");
  fclose (file);
  close (pipe_ends[0]);
  close (pipe_ends[1]);
}

int
main (int argc, char **argv)
{
  static cost_t costs[MAX_ROUNDS][MODES];
  static cost_t burst[MAX_ROUNDS][MODES];
  int32_t rounds = DEFAULT_ROUNDS;

  if (argc == 3 && strcmp (argv[1], "--rounds") == 0)
    rounds = (int32_t)strtol (argv[2], NULL, BASE_TEN);
  if (rounds < 1 || rounds > MAX_ROUNDS || !start ())
    {
      fprintf (stderr, "bench_log: invalid number of rounds, or the gateways did not start\n");
      return 1;
    }
  for (int32_t i = 0; i < rounds; i++)
    {
      for (int32_t step = 0; step < MODES; step++)
        costs[i][(i + step) % MODES] = measure ((i + step) % MODES, REQUESTS);
      bt_sleep_ms (REST_MS);
    }
  for (int32_t i = 0; i < rounds; i++)
    for (int32_t step = 0; step < MODES; step++)
      burst[i][(i + step) % MODES] = measure ((i + step) % MODES, BURST);
  printf ("%d rounds: median (min to max)\n\n%d requests, each with its line\n", rounds, REQUESTS);
  print_rounds (costs, rounds);
  printf ("\n%d requests, most lines over the budget\n", BURST);
  print_rounds (burst, rounds);
  printf ("\n");
  print_lines (rounds);
  printf ("\nrequests that failed: %d\n", failed_requests);
  bt_drop_gateway_testbed (testbed, false);
  return failed_requests == 0 ? 0 : 1;
}
