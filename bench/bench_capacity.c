/* Measures the slopes that docs/CAPACITY.md calculates with, each over at least four sizes, and
 * prints its tables. Usage: bench_capacity BUILD_DIR */
#include <dirent.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bilberrytray/base.h"
#include "bilberrytray/wire/frame.h"
#include "config_documents.h"
#include "harness_config.h"
#include "harness_cpu.h"
#include "harness_memory.h"
#include "harness_sync.h"

enum
{
  SIZES = 4,
  TCP_IP_BYTES = 40,
  SMALL_DOCUMENT_BYTES = 300,
  CHANGES = 40,
  CHANGE_INTERVAL_MS = 2107, /* 41,000 changes a day. */
  SITE_LATENCY_MS = 2,       /* 1.5 ms, rounded up to whole milliseconds. */
  HEARTBEAT_INTERVAL_MS = 250,
  POLLS = 20000,
  PERCENT = 100,
  IDLE_S = 8,
  PROCESS_CHANGES = 50,
  PROCESS_CHANGE_INTERVAL_US = 100000,
  PUBLISHES = 10,
  US_PER_S = 1000000,
  MS_PER_S = 1000,
  NS_PER_US = 1000,
  KB = 1024,
};

typedef struct line
{
  double slope;
  double intercept;
} line_t;

/* Fits a straight line to the points by least squares. */
static line_t
fit_line (const double *x, const double *y, int32_t count)
{
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  line_t line;

  for (int32_t i = 0; i < count; i++)
    {
      sum_x += x[i];
      sum_y += y[i];
      sum_xx += x[i] * x[i];
      sum_xy += x[i] * y[i];
    }
  line.slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  line.intercept = (sum_y - line.slope * sum_x) / count;
  return line;
}

static int64_t
get_frame_bytes (const bt_frame_t *frame)
{
  return (int64_t)bilberry__frame__get_packed_size (frame) + BT_FRAME_PREFIX_BYTES + TCP_IP_BYTES;
}

static int64_t
get_heartbeat_bytes (const bt_sync_heartbeat_t *source)
{
  Bilberry__Heartbeat heartbeat = BILBERRY__HEARTBEAT__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;

  heartbeat.now_ms = source->now_ms;
  heartbeat.echo_ms = source->echo_ms < 0 ? 0 : source->echo_ms;
  heartbeat.config_floor = source->floor;
  heartbeat.config_fresh_age_ms = source->fresh_age_ms;
  heartbeat.config_digest = source->digest;
  heartbeat.max_revision = source->revision;
  frame.body_case = BILBERRY__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  return get_frame_bytes (&frame);
}

static int64_t
count_bytes (void *data,
             bt_trial_frame_t kind,
             const bt_sync_heartbeat_t *heartbeat,
             const bt_document_list_t *documents)
{
  bt_push_frame_t push = { 0 };
  bt_context_t *ctx = data;
  int64_t bytes;

  if (kind == BT_TRIAL_HEARTBEAT)
    return get_heartbeat_bytes (heartbeat);
  if (kind != BT_TRIAL_PUSH)
    return TCP_IP_BYTES + BT_FRAME_PREFIX_BYTES + (int64_t)sizeof (Bilberry__DocumentState) / 2;
  bt_make_push_frame (ctx, &push, documents);
  push.push.store_revision = 1 << 20;
  push.push.from_revision = 1 << 20;
  bytes = get_frame_bytes (&push.frame);
  bt_clear_push_frame (ctx, &push);
  return bytes;
}

static bt_sync_trial_t
make_trial (bt_context_t *ctx, int32_t entries, int32_t document_bytes, bt_trial_fault_t fault)
{
  bt_sync_trial_t trial = { .entries = entries,
                            .documents = 40,
                            .document_bytes = document_bytes,
                            .changes = CHANGES,
                            .change_interval_ms = CHANGE_INTERVAL_MS,
                            .latency_ms = SITE_LATENCY_MS,
                            .heartbeat_interval_ms = HEARTBEAT_INTERVAL_MS,
                            .fault = fault,
                            .count_bytes = count_bytes,
                            .count_data = ctx };

  return trial;
}

static void
bench_sync (bt_context_t *ctx)
{
  static const int32_t sizes[] = { 8, 16, 32, 64, 128 };
  double peers[5];
  double idle_bytes[5];
  double idle_cpu[5];

  printf ("\n## Configuration between entries (core, frames as packed, beat %d ms)\n\n",
          HEARTBEAT_INTERVAL_MS);
  printf (
      "| entries | peers | idle sent B/s | idle us/s | calls/s of all | a change: B sent | us | "
      "calls of all | calls/s in an outage | calls in the busiest second after "
      "|\n|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n");
  for (int32_t i = 0; i < 5; i++)
    {
      bt_sync_trial_t trial = make_trial (ctx, sizes[i], SMALL_DOCUMENT_BYTES, BT_TRIAL_NO_FAULT);
      bt_sync_metrics_t metrics;

      bt_run_sync_trial (ctx, &trial, &metrics);
      printf ("| %d | %.1f | %.0f | %.0f | %.2f | %.0f | %.0f | %.1f | %.1f | %.0f |\n",
              (int)sizes[i], metrics.peers, metrics.idle_bytes_s, metrics.idle_cpu_us_s,
              metrics.idle_calls_s, metrics.change_bytes, metrics.change_cpu_us,
              metrics.change_calls, metrics.outage_calls_s, metrics.recovery_calls);
      peers[i] = metrics.peers;
      idle_bytes[i] = metrics.idle_bytes_s;
      idle_cpu[i] = metrics.idle_cpu_us_s;
    }
  printf ("\nslope: %.1f B/s and %.2f us/s a peer\n", fit_line (peers, idle_bytes, 5).slope,
          fit_line (peers, idle_cpu, 5).slope);
}

static void
bench_document_size (bt_context_t *ctx)
{
  static const int32_t sizes[] = { 300, 1200, 4800, 19200 };
  double x[SIZES];
  double y[SIZES];

  printf ("\n## A change by the size of its document (8 entries)\n\n"
          "| bytes | sent by an entry, B | us |\n|--:|--:|--:|\n");
  for (int32_t i = 0; i < SIZES; i++)
    {
      bt_sync_trial_t trial = make_trial (ctx, 8, sizes[i], BT_TRIAL_NO_FAULT);
      bt_sync_metrics_t metrics;

      bt_run_sync_trial (ctx, &trial, &metrics);
      printf ("| %d | %.0f | %.0f |\n", (int)sizes[i], metrics.change_bytes, metrics.change_cpu_us);
      x[i] = sizes[i];
      y[i] = metrics.change_bytes;
    }
  printf ("\nslope: %.2f B sent a byte of the document\n", fit_line (x, y, SIZES).slope);
}

static int
compare_times (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}

/* Prints a row for the simplest alternative: each entry polls the store once per period, at a
 * random phase. */
static void
print_polling (bt_context_t *ctx, int32_t entries, double period_ms)
{
  double *times_ms = bt_calloc (ctx, POLLS, sizeof *times_ms);
  bt_random_t random;

  bt_seed_random (&random, (uint64_t)entries);
  for (int32_t i = 0; i < POLLS; i++)
    for (int32_t j = 0; j < entries; j++)
      {
        double wait_ms = bt_random_unit (&random) * period_ms + 2.0 * SITE_LATENCY_MS;

        if (wait_ms > times_ms[i])
          times_ms[i] = wait_ms;
      }
  qsort (times_ms, POLLS, sizeof *times_ms, compare_times);
  printf ("| polling each %.0f ms | %d | %.0f | %.0f | %.0f | %.1f |\n", period_ms, (int)entries,
          times_ms[POLLS / 2], times_ms[POLLS * 99 / PERCENT], times_ms[POLLS - 1],
          entries * MS_PER_S / period_ms);
  bt_free (ctx, times_ms);
}

static void
bench_in_force (bt_context_t *ctx)
{
  static const char *const names[] = { "no fault", "1 frame in 20 lost", "an entry dies each time",
                                       "no push", "and every watch silent" };

  printf ("\n## From the write to in force on the last entry\n\n"
          "| way | entries | p50 ms | p99 ms | worst ms | calls/s |\n|---|--:|--:|--:|--:|--:|\n");
  for (int32_t size = 8; size <= 64; size *= 8)
    {
      for (int32_t fault = 0; fault < BT_TRIAL_FAULT_COUNT; fault++)
        {
          bt_sync_trial_t trial =
              make_trial (ctx, size, SMALL_DOCUMENT_BYTES, (bt_trial_fault_t)fault);
          bt_sync_metrics_t metrics;

          trial.changes = 5 * CHANGES;
          bt_run_sync_trial (ctx, &trial, &metrics);
          printf ("| %s | %d | %lld | %lld | %lld | %.1f |\n", names[fault], (int)size,
                  (long long)metrics.p50_ms, (long long)metrics.p99_ms, (long long)metrics.worst_ms,
                  metrics.idle_calls_s + metrics.change_calls * MS_PER_S / CHANGE_INTERVAL_MS);
        }
      print_polling (ctx, size, MS_PER_S);
      print_polling (ctx, size, 4.0 * MS_PER_S);
    }
}

static void
bench_memory (bt_context_t *ctx)
{
  static const int32_t sizes[] = { 1000, 2000, 4000, 8000 };

  printf (
      "\n## Memory and time of kept things\n\n"
      "| thing | bytes each at 1000 / 2000 / 4000 / 8000 | slope, B | us each to make at 1000 / "
      "8000 |\n|---|---|--:|---|\n");
  for (int32_t i = 0; i < BT_MEMORY_CASE_COUNT; i++)
    {
      double x[SIZES];
      double bytes[SIZES];
      double cpu_us[SIZES];

      for (int32_t j = 0; j < SIZES; j++)
        {
          struct mallinfo2 before = mallinfo2 ();
          double start_us = bt_read_cpu_us ();
          void *object = bt_memory_cases[i].make (ctx, sizes[j]);
          struct mallinfo2 after = mallinfo2 ();

          cpu_us[j] = (bt_read_cpu_us () - start_us) / sizes[j];
          x[j] = sizes[j];
          bytes[j] =
              (double)(after.uordblks + after.hblkhd) - (double)(before.uordblks + before.hblkhd);
          bt_memory_cases[i].drop (ctx, object);
        }
      printf ("| %s | %.0f / %.0f / %.0f / %.0f | %.0f | %.1f / %.1f |\n", bt_memory_cases[i].name,
              bytes[0] / x[0], bytes[1] / x[1], bytes[2] / x[2], bytes[3] / x[3],
              fit_line (x, bytes, SIZES).slope, cpu_us[0], cpu_us[3]);
    }
}

static void
bench_frames (void)
{
  Bilberry__Heartbeat heartbeat = BILBERRY__HEARTBEAT__INIT;
  Bilberry__Load load = BILBERRY__LOAD__INIT;
  bt_frame_t frame = BILBERRY__FRAME__INIT;
  bt_sync_heartbeat_t entry_heartbeat = { 86400000, 86400000, 1 << 20, 3000, 1 << 20, UINT64_MAX };
  int64_t to_agent;

  frame.body_case = BILBERRY__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  heartbeat.now_ms = 86400000;
  heartbeat.max_revision = 1 << 20;
  to_agent = get_frame_bytes (&frame);
  heartbeat.max_revision = 0;
  heartbeat.endpoint = "tw-north-draft-1234";
  heartbeat.app = "order-drafting";
  load.running = load.queued = 20;
  load.capacity = load.queue_limit = 32;
  load.service_ms = 900;
  load.step_us = 6000;
  heartbeat.load = &load;
  printf (
      "\n## Heartbeats, with %d B of TCP and IP\n\nentry to agent %lld B, agent to entry %lld B, "
      "entry to entry %lld B\n",
      TCP_IP_BYTES, (long long)to_agent, (long long)get_frame_bytes (&frame),
      (long long)get_heartbeat_bytes (&entry_heartbeat));
}

static pid_t
find_pid (const bt_testbed_t *testbed, const char *name)
{
  for (int32_t i = 0; i < testbed->process_count; i++)
    if (strcmp (testbed->processes[i].name, name) == 0)
      return testbed->processes[i].pid;
  return 0;
}

/* Returns the CPU time of all threads of a process, in microseconds, as the scheduler counts it. */
static double
read_process_cpu_us (pid_t pid)
{
  char path[320];
  double ns = 0;
  struct dirent *thread;
  DIR *threads;

  snprintf (path, sizeof path, "/proc/%d/task", (int)pid);
  threads = opendir (path);
  while (threads != NULL && (thread = readdir (threads)) != NULL)
    {
      unsigned long long ran_ns = 0;
      FILE *file;

      if (thread->d_name[0] == '.')
        continue;
      snprintf (path, sizeof path, "/proc/%d/task/%s/schedstat", (int)pid, thread->d_name);
      file = fopen (path, "r");
      if (file == NULL)
        continue;
      if (fscanf (file, "%llu", &ran_ns) == 1)
        ns += (double)ran_ns;
      fclose (file);
    }
  if (threads != NULL)
    closedir (threads);
  return ns / NS_PER_US;
}

static double
read_process_kb (pid_t pid)
{
  char path[64];
  long pages = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*d %ld", &pages) != 1)
    pages = 0;
  fclose (file);
  return (double)pages * (double)sysconf (_SC_PAGESIZE) / KB;
}

typedef struct process_metrics
{
  double idle_cpu_us_s;
  double memory_kb;
  double calls_s;
  double change_cpu_us;
  double change_calls;
} process_metrics_t;

static double
count_calls (const bt_testbed_t *testbed)
{
  return (double)(bt_count_store_calls (testbed, "range")
                  + bt_count_store_calls (testbed, "watch"));
}

static void
measure_idle (const bt_testbed_t *testbed, const char *name, process_metrics_t *metrics)
{
  pid_t pid = find_pid (testbed, name);
  double start_calls = count_calls (testbed);
  double start_us = read_process_cpu_us (pid);

  sleep (IDLE_S);
  metrics->idle_cpu_us_s = (read_process_cpu_us (pid) - start_us) / IDLE_S;
  metrics->calls_s = (count_calls (testbed) - start_calls) / IDLE_S;
  metrics->memory_kb = read_process_kb (pid);
}

/* Writes rules directly into the store, ten changes a second: a day's changes in 70 minutes. */
static void
measure_changes (const bt_testbed_t *testbed, const char *name, process_metrics_t *metrics)
{
  pid_t pid = find_pid (testbed, name);
  double start_calls = count_calls (testbed);
  double start_cpu_us = read_process_cpu_us (pid);
  int64_t start_time_us = bt_read_monotonic_us ();
  double seconds;

  for (int32_t i = 0; i < PROCESS_CHANGES; i++)
    {
      char version[16];

      snprintf (version, sizeof version, "v%d", (int)i);
      bt_put_version (testbed, version);
      usleep (PROCESS_CHANGE_INTERVAL_US);
    }
  seconds = (double)(bt_read_monotonic_us () - start_time_us) / US_PER_S;
  metrics->change_cpu_us =
      (read_process_cpu_us (pid) - start_cpu_us - metrics->idle_cpu_us_s * seconds)
      / PROCESS_CHANGES;
  metrics->change_calls =
      (count_calls (testbed) - start_calls - metrics->calls_s * seconds) / PROCESS_CHANGES;
}

static void
bench_entry_processes (void)
{
  /* An agent has links to at most eight entries. With more of them, not every entry is linked to
   * every agent, and bt_new_testbed does not wait for the links. */
  static const int32_t sizes[] = { 2, 4, 6, 8 };
  char *rules = bt_make_version_rules ("start");
  double x[SIZES];
  double cpu[SIZES];
  double memory[SIZES];

  printf (
      "\n## Entries as processes (1 agent, beat %d ms; /proc)\n\n"
      "| entries | idle us/s of one | kB | calls/s of all | a change: us of one | calls of all |"
      "\n|--:|--:|--:|--:|--:|--:|\n",
      HEARTBEAT_INTERVAL_MS);
  for (int32_t i = 0; i < SIZES; i++)
    {
      bt_testbed_t *testbed = bt_new_testbed (sizes[i], 0, 1, 1000, rules);
      process_metrics_t metrics = { 0 };

      if (testbed == NULL)
        continue;
      measure_idle (testbed, "entry-1", &metrics);
      measure_changes (testbed, "entry-1", &metrics);
      bt_drop_testbed (testbed, false);
      printf ("| %d | %.0f | %.0f | %.2f | %.0f | %.1f |\n", (int)sizes[i], metrics.idle_cpu_us_s,
              metrics.memory_kb, metrics.calls_s, metrics.change_cpu_us, metrics.change_calls);
      fflush (stdout);
      x[i] = sizes[i] - 1;
      cpu[i] = metrics.idle_cpu_us_s;
      memory[i] = metrics.memory_kb;
    }
  free (rules);
  printf ("\nslope: %.0f us/s and %.0f kB a peer, above %.0f us/s and %.0f kB\n",
          fit_line (x, cpu, SIZES).slope, fit_line (x, memory, SIZES).slope,
          fit_line (x, cpu, SIZES).intercept, fit_line (x, memory, SIZES).intercept);
}

static void
bench_agent_processes (void)
{
  static const int32_t sizes[] = { 2, 5, 9, 13 };
  char *rules = bt_make_version_rules ("start");
  double x[SIZES];
  double cpu[SIZES];
  double memory[SIZES];

  printf ("\n## Agents as processes (1 entry, beat %d ms)\n\n"
          "| agents | entry idle us/s | entry kB | an agent us/s | agent kB |\n"
          "|--:|--:|--:|--:|--:|\n",
          HEARTBEAT_INTERVAL_MS);
  for (int32_t i = 0; i < SIZES; i++)
    {
      bt_testbed_t *testbed = bt_new_testbed (1, 0, sizes[i], 1000, rules);
      process_metrics_t entry = { 0 };
      process_metrics_t agent = { 0 };

      if (testbed == NULL)
        continue;
      measure_idle (testbed, "entry-0", &entry);
      measure_idle (testbed, "agent-0", &agent);
      bt_drop_testbed (testbed, false);
      printf ("| %d | %.0f | %.0f | %.0f | %.0f |\n", (int)sizes[i], entry.idle_cpu_us_s,
              entry.memory_kb, agent.idle_cpu_us_s, agent.memory_kb);
      fflush (stdout);
      x[i] = sizes[i];
      cpu[i] = entry.idle_cpu_us_s;
      memory[i] = entry.memory_kb;
    }
  free (rules);
  printf ("\nslope: %.0f us/s and %.0f kB an agent's link, above %.0f us/s and %.0f kB\n",
          fit_line (x, cpu, SIZES).slope, fit_line (x, memory, SIZES).slope,
          fit_line (x, cpu, SIZES).intercept, fit_line (x, memory, SIZES).intercept);
}

static void
measure_publishes (const bt_testbed_t *testbed, int32_t entries)
{
  double times_ms[PUBLISHES];
  int32_t accepted = 0;

  for (int32_t i = 0; i < PUBLISHES; i++)
    {
      char output[BT_OUTPUT_BYTES];
      char version[16];
      int64_t start_us;

      snprintf (version, sizeof version, "p%d", (int)i);
      start_us = bt_read_monotonic_us ();
      accepted += bt_publish_version (testbed, version, NULL, output) == 0 ? 1 : 0;
      times_ms[i] = (double)(bt_read_monotonic_us () - start_us) / MS_PER_S;
    }
  qsort (times_ms, PUBLISHES, sizeof times_ms[0], compare_times);
  printf ("| %d | %d of %d | %.0f | %.0f |\n", (int)entries, (int)accepted, PUBLISHES,
          times_ms[PUBLISHES / 2], times_ms[PUBLISHES - 1]);
}

static void
bench_publish (void)
{
  static const int32_t sizes[] = { 2, 4, 6, 8 };
  char *rules = bt_make_version_rules ("start");

  printf ("\n## `publish` from start to accepted, by processes\n\n"
          "| entries | accepted | p50 ms | worst ms |\n|--:|--:|--:|--:|\n");
  for (int32_t i = 0; i < SIZES; i++)
    {
      bt_testbed_t *testbed = bt_new_testbed (sizes[i], 0, 1, 1000, rules);

      if (testbed == NULL)
        continue;
      measure_publishes (testbed, sizes[i]);
      bt_drop_testbed (testbed, false);
    }
  free (rules);
}

int
main (int argc, char **argv)
{
  bt_context_t *ctx = bt_new_context ();

  setenv ("BT_BUILD_DIR", argc > 1 ? argv[1] : "build/release", 0);
  setvbuf (stdout, NULL, _IOLBF, 0);
  bench_frames ();
  bench_memory (ctx);
  bench_sync (ctx);
  bench_document_size (ctx);
  bench_in_force (ctx);
  bench_entry_processes ();
  bench_agent_processes ();
  bench_publish ();
  bt_drop_context (ctx);
  return 0;
}
