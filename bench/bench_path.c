/** @file
 * Measures the overhead of the request path: the same load sent directly to a stand-in and
 * through the system, in one run.
 *
 *   bench_path [--rate N] [--seconds N] [--clients N]
 *
 * Starts its own deployment on loopback (two entries, two model engines, one plain service). For
 * each kind of endpoint it sends N requests a second from keep-alive clients, first directly,
 * then through the entries, and prints the time to the first byte and the CPU time used.
 */

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bilberrytray/base/clock.h"
#include "harness.h"

enum
{
  DEFAULT_RATE = 2000,
  DEFAULT_SECONDS = 5,
  DEFAULT_CLIENTS = 16,
  MAX_CLIENTS = 64,
  URL_BYTES = 128,
  US_PER_S = 1000000,
  US_PER_MS = 1000,
  BASE_TEN = 10,
  STAT_BYTES = 1024,
  STAT_SKIP = 11,
  WARM_UP_REQUESTS = 20,
};

static const char *const rules =
    "{\"rules\":["
    "{\"name\":\"lookups\",\"when\":{\"path\":\"/lookup/*\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"lookup\",\"idempotent\":true}},"
    "{\"name\":\"drafts\",\"when\":{\"path\":\"/v1/completions\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"drafts\"}}]}";

/** One client thread and its share of a load. */
typedef struct client
{
  pthread_t thread;
  char url[URL_BYTES];
  const char *body;
  int64_t requests;
  int64_t interval_us; /**< 0: the next request starts when the answer has arrived. */
  int64_t start_us;
  int64_t *first_us; /**< Times to the first byte. */
  int64_t done;
  int64_t failed;
} client_t;

/** Result of one load. */
typedef struct result
{
  int64_t done;
  int64_t failed;
  double seconds;
  int64_t p50_us;
  int64_t p99_us;
  int64_t max_us;
  double cpu_seconds; /**< CPU time of the entries and agents. */
} result_t;

static size_t
ignore_bytes (char *data, size_t size, size_t count, void *argument)
{
  return size * count;
}

static void
wait_until_us (int64_t due_us)
{
  int64_t left_us = due_us - bt_read_monotonic_us ();

  if (left_us > 0)
    usleep ((useconds_t)left_us);
}

static void *
run_client (void *argument)
{
  client_t *client = argument;
  CURL *easy = curl_easy_init ();
  struct curl_slist *lines = curl_slist_append (NULL, "Authorization: Bearer token-small");

  curl_easy_setopt (easy, CURLOPT_URL, client->url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, lines);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, client->body);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, ignore_bytes);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, 10L);
  for (int64_t i = 0; i < client->requests; i++)
    {
      curl_off_t first_us = 0;
      long status = 0;
      CURLcode code;

      wait_until_us (client->start_us + i * client->interval_us);
      code = curl_easy_perform (easy);
      curl_easy_getinfo (easy, CURLINFO_STARTTRANSFER_TIME_T, &first_us);
      curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
      if (code != CURLE_OK || status != 200)
        client->failed++;
      else
        client->first_us[client->done++] = first_us;
    }
  curl_slist_free_all (lines);
  curl_easy_cleanup (easy);
  return NULL;
}

static int
compare_times (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;

  return a < b ? -1 : a > b;
}

static double
read_cpu_seconds (const bt_testbed_t *testbed)
{
  double ticks = 0;

  for (int32_t i = 0; i < testbed->process_count; i++)
    {
      const bt_process_t *process = &testbed->processes[i];
      char path[URL_BYTES];
      char text[STAT_BYTES];
      char *at;
      FILE *file;

      if (strncmp (process->name, "entry", 5) != 0 && strncmp (process->name, "agent", 5) != 0)
        continue;
      snprintf (path, sizeof path, "/proc/%d/stat", (int)process->pid);
      file = fopen (path, "r");
      if (file == NULL)
        continue;
      at = fgets (text, sizeof text, file) == NULL ? NULL : strrchr (text, ')');
      fclose (file);
      for (int32_t field = 0; at != NULL && field <= STAT_SKIP; field++)
        at = strchr (at + 1, ' ');
      if (at != NULL)
        ticks += (double)strtoull (at, &at, BASE_TEN) + (double)strtoull (at, NULL, BASE_TEN);
    }
  return ticks / (double)sysconf (_SC_CLK_TCK);
}

static void
collect (client_t *clients, int32_t count, result_t *result)
{
  int64_t *times;
  int64_t used = 0;

  for (int32_t i = 0; i < count; i++)
    {
      result->done += clients[i].done;
      result->failed += clients[i].failed;
    }
  times = calloc ((size_t)result->done + 1, sizeof *times);
  for (int32_t i = 0; i < count; i++)
    {
      memcpy (times + used, clients[i].first_us, (size_t)clients[i].done * sizeof *times);
      used += clients[i].done;
      free (clients[i].first_us);
    }
  qsort (times, (size_t)used, sizeof *times, compare_times);
  if (used > 0)
    {
      result->p50_us = times[used / 2];
      result->p99_us = times[used * 99 / 100];
      result->max_us = times[used - 1];
    }
  free (times);
}

static void
run_load (const bt_testbed_t *testbed,
          const char *const *targets,
          int32_t target_count,
          const char *path,
          const char *body,
          int64_t rate,
          int64_t requests,
          int32_t client_count,
          result_t *result)
{
  client_t clients[MAX_CLIENTS] = { 0 };
  int64_t start_us = bt_read_monotonic_us () + US_PER_MS;
  double start_cpu_seconds = read_cpu_seconds (testbed);

  memset (result, 0, sizeof *result);
  for (int32_t i = 0; i < client_count; i++)
    {
      client_t *client = &clients[i];

      snprintf (client->url, sizeof client->url, "http://127.0.0.1:%d%s",
                bt_get_testbed_port (testbed, targets[i % target_count]), path);
      client->body = body;
      client->requests = requests / client_count;
      client->interval_us = rate == 0 ? 0 : (int64_t)US_PER_S * client_count / rate;
      client->start_us = start_us + (rate == 0 ? 0 : i * (int64_t)US_PER_S / rate);
      client->first_us = calloc ((size_t)client->requests + 1, sizeof *client->first_us);
      pthread_create (&client->thread, NULL, run_client, client);
    }
  for (int32_t i = 0; i < client_count; i++)
    pthread_join (clients[i].thread, NULL);
  result->seconds = (double)(bt_read_monotonic_us () - start_us) / US_PER_S;
  result->cpu_seconds = read_cpu_seconds (testbed) - start_cpu_seconds;
  collect (clients, client_count, result);
}

static void
print_row (const char *name, const result_t *result)
{
  printf ("| %-26s | %8lld | %6lld | %8.0f | %8.3f | %8.3f | %8.3f | %10.0f |\n", name,
          (long long)result->done, (long long)result->failed,
          (double)result->done / result->seconds, (double)result->p50_us / US_PER_MS,
          (double)result->p99_us / US_PER_MS, (double)result->max_us / US_PER_MS,
          result->cpu_seconds > 0 ? (double)result->done / result->cpu_seconds : 0.0);
}

static void
compare_paths (const bt_testbed_t *testbed,
               const char *name,
               const char *standin,
               const char *path,
               const char *body,
               int64_t rate,
               int64_t requests,
               int32_t clients)
{
  static const char *const entry_targets[] = { "entry-0", "entry-1" };
  const char *direct_targets[] = { standin };
  char label[URL_BYTES];
  result_t direct;
  result_t proxied;

  run_load (testbed, direct_targets, 1, path, body, 0, (int64_t)WARM_UP_REQUESTS * clients, clients,
            &direct);
  run_load (testbed, entry_targets, 2, path, body, 0, (int64_t)WARM_UP_REQUESTS * clients, clients,
            &proxied);
  run_load (testbed, direct_targets, 1, path, body, rate, requests, clients, &direct);
  run_load (testbed, entry_targets, 2, path, body, rate, requests, clients, &proxied);
  direct.cpu_seconds = 0;
  snprintf (label, sizeof label, "%s, straight", name);
  print_row (label, &direct);
  snprintf (label, sizeof label, "%s, through", name);
  print_row (label, &proxied);
  printf ("| %-26s | %8s | %6s | %8s | %8.3f | %8.3f | %8s | %10s |\n", "  added", "", "", "",
          (double)(proxied.p50_us - direct.p50_us) / US_PER_MS,
          (double)(proxied.p99_us - direct.p99_us) / US_PER_MS, "", "");
}

static int64_t
read_option (int argc, char **argv, const char *name, int64_t fallback)
{
  for (int i = 1; i + 1 < argc; i++)
    if (strcmp (argv[i], name) == 0)
      return strtoll (argv[i + 1], NULL, BASE_TEN);
  return fallback;
}

int
main (int argc, char **argv)
{
  int64_t rate = read_option (argc, argv, "--rate", DEFAULT_RATE);
  int64_t seconds = read_option (argc, argv, "--seconds", DEFAULT_SECONDS);
  int32_t clients = (int32_t)read_option (argc, argv, "--clients", DEFAULT_CLIENTS);
  int64_t requests = rate * seconds;
  static const char *const agent_arguments[] = { "--slots", "256", "--queue", "256", NULL };
  bt_testbed_t *testbed;

  if (clients < 1 || clients > MAX_CLIENTS || rate < 1 || seconds < 1)
    {
      fprintf (stderr,
               "bench_path: --rate and --seconds must be at least 1, --clients from 1 to %d\n",
               MAX_CLIENTS);
      return 2;
    }
  bt_set_testbed_arguments (NULL, agent_arguments);
  testbed = bt_new_testbed (2, 2, 1, 0, rules);
  if (testbed == NULL)
    return 1;
  printf ("%lld requests a second for %lld s, %d keep-alive clients; times to the first byte\n\n",
          (long long)rate, (long long)seconds, clients);
  printf ("| %-26s | %8s | %6s | %8s | %8s | %8s | %8s | %10s |\n", "load", "answers", "failed",
          "per s", "p50 ms", "p99 ms", "max ms", "per core-s");
  printf ("|---|---|---|---|---|---|---|---|\n");
  compare_paths (testbed, "plain service", "plain-0", "/lookup/x", "stock of shrimp?", rate,
                 requests, clients);
  compare_paths (testbed, "model, 4 tokens", "engine-0", "/v1/completions",
                 "{\"prompt\":\"ten kilos\",\"max_tokens\":4}", rate, requests, clients);
  compare_paths (testbed, "plain service, unpaced", "plain-0", "/lookup/x", "stock of shrimp?", 0,
                 requests, clients);
  bt_drop_testbed (testbed, false);
  return 0;
}
