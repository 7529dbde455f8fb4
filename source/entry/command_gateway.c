#include <curl/curl.h>
#include <errno.h>
#include <pthread.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/stop_signals.h"
#include "bilberrytray/base/thread.h"
#include "bilberrytray/gateway/gateway.h"
#include "bilberrytray/gateway/reservations.h"
#include "bilberrytray/page/page.h"
#include "commands.h"

enum
{
  BYTES_PER_KB = 1024,
};

#define FIELD(name) offsetof (bt_gateway_settings_t, name)

static const bt_setting_t gateway_settings[] = {
  { "instance", BT_SETTING_TEXT, FIELD (instance), NULL, 0, 0, "Name of this instance." },
  { "failure-domain", BT_SETTING_TEXT, FIELD (failure_domain), NULL, 0, 0,
    "Failure domain of this instance." },
  { "listen", BT_SETTING_ADDRESS, FIELD (listen), NULL, 0, 0,
    "Address on which callers are served." },
  { "addresses", BT_SETTING_ADDRESS, FIELD (addresses), NULL, 0, 0,
    "Address on which callers ask which addresses to use." },
  { "ready", BT_SETTING_ADDRESS, FIELD (ready), NULL, 0, 0,
    "Address on which the platform checks whether this instance is ready." },
  { "page", BT_SETTING_ADDRESS, FIELD (page), "", 0, 0,
    "Address on which the operators' page is served." },
  { "links", BT_SETTING_ADDRESS, FIELD (links), NULL, 0, 0,
    "Address on which links from other instances are accepted." },
  { "secret", BT_SETTING_TEXT, FIELD (secret), "", 0, 0,
    "Secret shared by all processes of the deployment; prefer the environment variable." },
  { "seeds", BT_SETTING_TEXT, FIELD (seeds), "", 0, 0,
    "Link addresses of some instances, separated by commas, for a start without the store." },
  { "store", BT_SETTING_ADDRESS, FIELD (store), NULL, 0, 0, "The platform's store." },
  { "log-level", BT_SETTING_TEXT, FIELD (log_level), "info", 0, 0,
    "error, warning, info or debug." },
  { "cores", BT_SETTING_DECIMAL, FIELD (cores), "1", 0, 1024,
    "Processor share of this instance, in cores; the instance with the largest share leads." },
  { "max-connections", BT_SETTING_INTEGER, FIELD (max_connections), "2000", 8, 60000,
    "Maximum number of connections from callers." },
  { "call-buffer-kb", BT_SETTING_INTEGER, FIELD (call_buffer_kb), "64", 16, 1048576,
    "The transfer of an answer is paused while more than this waits for its caller, KB." },
  { "buffer-mb", BT_SETTING_INTEGER, FIELD (buffer_mb), "0", 0, 1048576,
    "Bound on all that is buffered for callers, MB; 0: a sixteenth of --memory-mb, at most 12." },
  { "memory-mb", BT_SETTING_DECIMAL, FIELD (memory_mb), "0", 0, 16777216,
    "Memory of this instance, MB; 0: not stated, and buffers have no bound unless --buffer-mb sets "
    "one." },
  { "address-life-ms", BT_SETTING_INTEGER, FIELD (address_life_ms), "1500", 100, 3600000,
    "Time for which callers may cache an answer with addresses, ms." },
  { "drain-ms", BT_SETTING_INTEGER, FIELD (drain_ms), "7800", 0, 3600000,
    "Maximum time from SIGTERM to exit, ms." },
  { "watch-ms", BT_SETTING_INTEGER, FIELD (watch_ms), "1200", 100, 30000,
    "Maximum duration of one watch call to the store, ms. A change is in force within that and "
    "0.75 s at an instance whose peer is cut off from the store." },
  { "lease-s", BT_SETTING_INTEGER, FIELD (lease_s), "4", 1, 600,
    "Time after which this instance's listing expires without renewal, s." },
  { "renew-ms", BT_SETTING_INTEGER, FIELD (renew_ms), "1300", 100, 600000,
    "Interval between renewals of the listing, ms." },
  { "retry-percent", BT_SETTING_INTEGER, FIELD (retry_percent), "15", 0, 100,
    "Retries allowed per 100 requests of an app." },
  { "retry-reserve", BT_SETTING_DECIMAL, FIELD (retry_reserve), "90", 0, 1000000,
    "Additional retries of an app that all instances together may make." },
  { "crash-ends", BT_SETTING_INTEGER, FIELD (crash_ends), "3", 2, 1000,
    "Number of endpoints that may crash on one request before all instances refuse it." },
  { "crash-hold-s", BT_SETTING_INTEGER, FIELD (crash_hold_s), "60", 0, 86400,
    "How long a request is held after its first crash of a rank of a group, s; 0: not at all." },
  { "crash-keep-s", BT_SETTING_INTEGER, FIELD (crash_keep_s), "3600", 60, 86400,
    "How long such a request is remembered after it was last received, s." },
  { "agent-port", BT_SETTING_INTEGER, FIELD (agent_port), "0", 0, 65535,
    "Port on which agents next to engines accept links; 0: there are no agents." },
  { "reservations", BT_SETTING_TEXT, FIELD (reservations), "contended", 0, 0,
    "Apps whose capacity is reserved at agents: contended, always (all models) or never." },
  { "lead-lease-s", BT_SETTING_INTEGER, FIELD (lead_lease_s), "2", 1, 600,
    "TTL of the lease of the instance that leads the rank groups, s." },
  { "lead-renew-ms", BT_SETTING_INTEGER, FIELD (lead_renew_ms), "600", 50, 600000,
    "Interval between renewals of that lease, ms." },
  { "lead-past-lease-s", BT_SETTING_INTEGER, FIELD (lead_past_lease_s), "20", 0, 600,
    "How long the leader goes on past its lease while the store does not answer, if the rules of a "
    "model differ in priority, s; 0: not at all." },
  { "plan-ms", BT_SETTING_INTEGER, FIELD (plan_ms), "200", 20, 3600000,
    "Interval between plans of a group's expert map, ms." },
};

/** Arguments of the thread that waits for signals. */
typedef struct signal_waiter
{
  bt_context_t *ctx;
  bt_gateway_t *gateway;
} signal_waiter_t;

static void *
wait_for_signals (void *argument)
{
  signal_waiter_t *waiter = argument;

  while (bt_wait_stop_signal (waiter->ctx))
    bt_stop_gateway (waiter->gateway);
  return NULL;
}

static char *
answer_page (void *argument, const char *method, const char *path)
{
  (void)method;
  if (strcmp (path, "/status") == 0)
    return bt_format_gateway_status (argument);
  return strcmp (path, "/healthz") == 0 ? strdup ("ok\n") : NULL;
}

static bool
start_signal_thread (bt_context_t *ctx,
                     pthread_t *thread,
                     signal_waiter_t *waiter,
                     bt_error_t *error)
{
  return bt_start_thread (ctx, thread, "signals", wait_for_signals, waiter)
         || bt_set_error (error, BT_ERROR_SYSTEM, "Cannot start a thread: %s.", strerror (errno));
}

static int
serve_until_stopped (bt_context_t *ctx, const bt_gateway_settings_t *settings)
{
  bt_error_t error = { 0 };
  bt_gateway_t *gateway = bt_new_gateway (ctx, bt_get_platform (), settings, &error);
  signal_waiter_t waiter = { ctx, gateway };
  bt_page_t *page = NULL;
  pthread_t thread;

  if (gateway != NULL && settings->page[0] != '\0')
    page = bt_new_page (ctx, settings->page, answer_page, gateway, &error);
  if (gateway == NULL || error.code != BT_ERROR_NONE
      || !start_signal_thread (ctx, &thread, &waiter, &error))
    {
      bt_log_event (ctx, BT_LOG_ERROR, "start-failed", "{s:s}", "message", error.message);
      bt_drop_page (ctx, page);
      bt_drop_gateway (ctx, gateway);
      return BT_EXIT_FAILED;
    }
  bt_log_event (ctx, BT_LOG_INFO, "start", "{s:s, s:s}", "version", BT_VERSION, "callers",
                settings->listen);
  bt_run_gateway (gateway);
  bt_end_stop_wait (thread);
  pthread_join (thread, NULL);
  bt_drop_page (ctx, page);
  bt_drop_gateway (ctx, gateway);
  bt_log_event (ctx, BT_LOG_INFO, "stop", "{}");
  return BT_EXIT_DONE;
}

/* Returns what is wrong with the settings of the buffers; NULL: nothing. */
static const char *
check_buffers (const bt_gateway_settings_t *settings)
{
  int64_t bound_bytes = bt_get_gateway_buffer_bytes (settings);

  if (settings->memory_mb > 0 && (double)settings->buffer_mb > settings->memory_mb)
    return "buffer-mb: Must not be more than --memory-mb.";
  if (bound_bytes > 0 && bound_bytes < settings->call_buffer_kb * BYTES_PER_KB)
    return "call-buffer-kb: Must not be more than the bound on all buffers, which --buffer-mb or a "
           "sixteenth of --memory-mb sets.";
  return NULL;
}

static int
run_gateway_command (bt_context_t *ctx, const void *values, int operand_count, char **operands)
{
  const bt_gateway_settings_t *settings = values;
  bt_reservations_t reservations;
  bt_log_level_t level;
  int status;

  (void)operands;
  if (operand_count > 0 || !bt_parse_log_level (settings->log_level, &level))
    {
      fprintf (stderr, "%s\n",
               operand_count > 0 ? "gateway: No arguments are expected after the flags."
                                 : "log-level: Unknown log level.");
      return BT_EXIT_USAGE;
    }
  if (check_buffers (settings) != NULL)
    {
      fprintf (stderr, "%s\n", check_buffers (settings));
      return BT_EXIT_USAGE;
    }
  if (!bt_parse_reservations (settings->reservations, &reservations))
    {
      fprintf (stderr, "reservations: \"%s\" is none of contended, always and never.\n",
               settings->reservations);
      return BT_EXIT_USAGE;
    }
  bt_set_log_level (ctx, (int32_t)level);
  bt_set_log_name (ctx, settings->instance);
  bt_prepare_outcome_counters (ctx);
  bt_block_stop_signals ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = serve_until_stopped (ctx, settings);
  curl_global_cleanup ();
  return status;
}

const bt_command_t bt_gateway_command = {
  "gateway",
  "Serve callers on a platform whose endpoints are reached over HTTP, until SIGTERM.",
  "",
  gateway_settings,
  sizeof gateway_settings / sizeof gateway_settings[0],
  sizeof (bt_gateway_settings_t),
  run_gateway_command,
};
