/** @file
 * Checks that the ranking of the policy bench's results also holds with real processes. The same
 * load goes directly to the engines (round robin, or the better of two random engines by the
 * bench's own request counts) and through the system.
 *
 *   bench_policy_path [SECONDS]
 *
 * Starts its own deployment on loopback, with the programs in the directory of this program:
 * three entries, two engines of 64 slots. The first load is three times the capacity, nine
 * tenths of it from a large account. The second load is 0.4 of the capacity, with one engine
 * slowed down five times. A caller gives up at its deadline.
 */

#include <curl/curl.h>
#include <libgen.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/clock.h"
#include "bilberrytray/base/random.h"
#include "harness.h"

enum
{
  ENTRIES = 3,
  ENGINES = 2,
  ENGINE_SLOTS = 64,
  STEP_US = 40000,
  TOKENS = 25,
  RUN_MS = TOKENS * STEP_US / 1000,
  DEADLINE_MS = 4000,
  US_PER_S = 1000000,
  US_PER_MS = 1000,
  TEXT_BYTES = 160,
  DEFAULT_SECONDS = 10,
  BASE_TEN = 10,
  SEED = 7,
  POLL_MS = 1,
  LARGE_PERCENT = 90,
  WHOLE_PERCENT = 100,
  STATUS_OK = 200,
};

static const char *const rules =
    "{\"rules\":[{\"name\":\"drafts\",\"when\":{\"path\":\"/v1/completions\"},"
    "\"then\":{\"action\":\"route\",\"app\":\"drafts\",\"deadline_ms\":4000,\"idempotent\":true}}]"
    "}";

typedef enum variant
{
  VARIANT_THROUGH_SYSTEM = 0,
  VARIANT_ROUND_ROBIN,
  VARIANT_TWO_CHOICES,
} variant_t;

/** A request in progress. */
typedef struct caller
{
  CURL *easy;
  struct curl_slist *lines;
  int32_t target;
  bool small;
  int64_t start_us;
} caller_t;

/** Result of one load. */
typedef struct result
{
  int64_t sent;
  int64_t good;
  int64_t refused;
  int64_t other;
  int64_t small_sent;
  int64_t small_good;
  int64_t *good_us;
  int64_t *refused_us;
} result_t;

/** A load in progress. */
typedef struct load
{
  const bt_testbed_t *testbed;
  variant_t variant;
  CURLM *multi;
  bt_random_t random;
  int32_t next;
  int32_t in_flight[ENGINES];
  result_t *result;
} load_t;

static size_t
ignore_bytes (char *data, size_t size, size_t count, void *argument)
{
  return size * count;
}

static int32_t
choose_target (load_t *load)
{
  int32_t left;
  int32_t right;

  if (load->variant == VARIANT_THROUGH_SYSTEM)
    return (int32_t)bt_random_below (&load->random, ENTRIES);
  if (load->variant == VARIANT_ROUND_ROBIN)
    return load->next++ % ENGINES;
  left = (int32_t)bt_random_below (&load->random, ENGINES);
  right = (int32_t)bt_random_below (&load->random, ENGINES);
  return load->in_flight[left] <= load->in_flight[right] ? left : right;
}

static void
start_request (load_t *load)
{
  caller_t *caller = calloc (1, sizeof *caller);
  char name[TEXT_BYTES];
  char url[TEXT_BYTES];
  char body[TEXT_BYTES];

  caller->small = bt_random_below (&load->random, WHOLE_PERCENT) >= LARGE_PERCENT;
  caller->target = choose_target (load);
  snprintf (name, sizeof name, "%s-%d",
            load->variant == VARIANT_THROUGH_SYSTEM ? "entry" : "engine", caller->target);
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/completions",
            bt_get_testbed_port (load->testbed, name));
  snprintf (body, sizeof body, "{\"prompt\":\"ten kilos\",\"max_tokens\":%d}", TOKENS);
  caller->lines = curl_slist_append (NULL, caller->small ? "Authorization: Bearer token-small"
                                                         : "Authorization: Bearer token-large");
  caller->easy = curl_easy_init ();
  curl_easy_setopt (caller->easy, CURLOPT_URL, url);
  curl_easy_setopt (caller->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (caller->easy, CURLOPT_HTTPHEADER, caller->lines);
  curl_easy_setopt (caller->easy, CURLOPT_COPYPOSTFIELDS, body);
  curl_easy_setopt (caller->easy, CURLOPT_WRITEFUNCTION, ignore_bytes);
  curl_easy_setopt (caller->easy, CURLOPT_TIMEOUT_MS, (long)DEADLINE_MS);
  curl_easy_setopt (caller->easy, CURLOPT_PRIVATE, caller);
  caller->start_us = bt_read_monotonic_us ();
  if (load->variant != VARIANT_THROUGH_SYSTEM)
    load->in_flight[caller->target]++;
  load->result->sent++;
  load->result->small_sent += caller->small ? 1 : 0;
  curl_multi_add_handle (load->multi, caller->easy);
}

static void
end_caller (load_t *load, CURL *easy, CURLcode code)
{
  const int64_t now_us = bt_read_monotonic_us ();
  result_t *result = load->result;
  caller_t *caller = NULL;
  long status = 0;

  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &caller);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_OK && status == STATUS_OK)
    {
      result->good_us[result->good++] = now_us - caller->start_us;
      result->small_good += caller->small ? 1 : 0;
    }
  else if (code == CURLE_OK)
    result->refused_us[result->refused++] = now_us - caller->start_us;
  else
    result->other++;
  if (load->variant != VARIANT_THROUGH_SYSTEM)
    load->in_flight[caller->target]--;
  curl_multi_remove_handle (load->multi, easy);
  curl_easy_cleanup (easy);
  curl_slist_free_all (caller->lines);
  free (caller);
}

static int
drive_transfers (load_t *load)
{
  CURLMsg *message;
  int running = 0;
  int left = 0;

  curl_multi_perform (load->multi, &running);
  while ((message = curl_multi_info_read (load->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      end_caller (load, message->easy_handle, message->data.result);
  curl_multi_poll (load->multi, NULL, 0, POLL_MS, NULL);
  return running;
}

static void
run_load (const bt_testbed_t *testbed,
          variant_t variant,
          double per_second,
          int64_t requests,
          result_t *result)
{
  load_t load = { .testbed = testbed, .variant = variant, .result = result };
  const int64_t start_us = bt_read_monotonic_us ();

  memset (result, 0, sizeof *result);
  result->good_us = calloc ((size_t)requests, sizeof *result->good_us);
  result->refused_us = calloc ((size_t)requests, sizeof *result->refused_us);
  bt_seed_random (&load.random, SEED);
  load.multi = curl_multi_init ();
  while (result->sent < requests)
    {
      const double passed_s = (double)(bt_read_monotonic_us () - start_us) / US_PER_S;

      while (result->sent < requests && (double)result->sent < passed_s * per_second)
        start_request (&load);
      drive_transfers (&load);
    }
  while (drive_transfers (&load) > 0)
    continue;
  curl_multi_cleanup (load.multi);
}

static int
compare_times (const void *left, const void *right)
{
  const int64_t a = *(const int64_t *)left;
  const int64_t b = *(const int64_t *)right;

  return (a > b) - (a < b);
}

static double
get_percentile_ms (int64_t *times_us, int64_t count, int64_t percent)
{
  int64_t at;

  if (count == 0)
    return 0;
  qsort (times_us, (size_t)count, sizeof *times_us, compare_times);
  at = (count - 1) * percent / WHOLE_PERCENT;
  return (double)times_us[at] / US_PER_MS;
}

static void
print_row (const char *name, result_t *result)
{
  const double percent = WHOLE_PERCENT;

  printf ("| %-24s | %6lld | %6.1f | %6.1f | %6.1f | %6.1f | %7.0f / %-7.0f | %7.1f / %-7.1f |\n",
          name, (long long)result->sent, (double)result->good * percent / (double)result->sent,
          (double)result->small_good * percent / (double)result->small_sent,
          (double)result->refused * percent / (double)result->sent,
          (double)result->other * percent / (double)result->sent,
          get_percentile_ms (result->good_us, result->good, 50),
          get_percentile_ms (result->good_us, result->good, 99),
          get_percentile_ms (result->refused_us, result->refused, 50),
          get_percentile_ms (result->refused_us, result->refused, 99));
  fflush (stdout);
  free (result->good_us);
  free (result->refused_us);
}

/* Prints the refusals and retries of the entries, by reason. */
static void
print_counters (const bt_testbed_t *testbed)
{
  for (int32_t i = 0; i < ENTRIES; i++)
    {
      char name[TEXT_BYTES];
      char *rest = NULL;
      char *text;

      snprintf (name, sizeof name, "entry-%d", i);
      text = bt_read_testbed_metrics (testbed, name);
      if (text == NULL)
        continue;
      for (char *line = strtok_r (text, "\n", &rest); line != NULL;
           line = strtok_r (NULL, "\n", &rest))
        if ((strstr (line, "refusals_total{") != NULL || strstr (line, "retries_total{") != NULL)
            && strcmp (strrchr (line, ' '), " 0") != 0)
          printf ("%s: %s\n", name, line);
      free (text);
    }
}

/* Runs one variant on a new deployment: after a load, the stand-in engines still execute runs
 * whose callers have given up. */
static bool
run_variant (variant_t variant, double per_second, int64_t seconds, const char *fault)
{
  static const char *const names[] = { "through the system", "straight, round robin",
                                       "straight, two choices" };
  bt_testbed_t *testbed = bt_new_testbed (ENTRIES, ENGINES, 0, STEP_US, rules);
  result_t result;

  if (testbed == NULL)
    return false;
  if (fault != NULL)
    json_decref (bt_call_standin (testbed, "engine-0", "/fault", fault));
  run_load (testbed, variant, per_second, (int64_t)(per_second * (double)seconds), &result);
  print_row (names[variant], &result);
  if (variant == VARIANT_THROUGH_SYSTEM)
    print_counters (testbed);
  bt_drop_testbed (testbed, false);
  return true;
}

static bool
run_variants (const char *title, double capacity_factor, int64_t seconds, const char *fault)
{
  const double per_second = capacity_factor * ENGINES * ENGINE_SLOTS * US_PER_MS / RUN_MS;
  bool ran = true;

  printf ("\n%s, %.0f requests a second for %lld s\n\n", title, per_second, (long long)seconds);
  printf ("| way | asked | good %% | small good %% | refused %% | nothing in time %% "
          "| answer p50 / p99 ms | refusal p50 / p99 ms |\n");
  printf ("|---|---|---|---|---|---|---|---|\n");
  for (int32_t variant = VARIANT_TWO_CHOICES; variant >= VARIANT_THROUGH_SYSTEM; variant--)
    ran = run_variant ((variant_t)variant, per_second, seconds, fault) && ran;
  return ran;
}

int
main (int argc, char **argv)
{
  static const char *const agent_arguments[] = { "--slots", "64", "--queue", "128", NULL };
  const int64_t seconds = argc > 1 ? strtoll (argv[1], NULL, BASE_TEN) : DEFAULT_SECONDS;
  char *folder = strdup (argv[0]);

  /* Otherwise the harness might start the programs of another build, whose results are not
   * comparable. */
  setenv ("BT_BUILD_DIR", dirname (folder), 1);
  free (folder);
  bt_set_testbed_arguments (NULL, agent_arguments);
  if (!run_variants ("Three times the capacity", 3, seconds, NULL))
    return 1;
  return run_variants ("One engine slowed five times, load 0.4", 0.4, seconds,
                       "{\"kind\":\"slow\",\"count\":5}")
             ? 0
             : 1;
}
