#include <curl/curl.h>
#include <errno.h>
#include <pthread.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/stop_signals.h"
#include "bilberrytray/base/thread.h"
#include "bilberrytray/page/page.h"
#include "sidecar.h"
#include "start.h"

#define FIELD(name) offsetof (bt_sidecar_settings_t, name)

static const bt_setting_t sidecar_settings[] = {
  { "listen", BT_SETTING_ADDRESS, FIELD (listen), NULL, 0, 0,
    "Address on which links of entry instances are accepted." },
  { "engine", BT_SETTING_ADDRESS, FIELD (engine), NULL, 0, 0,
    "Address of the engine on this instance." },
  { "page", BT_SETTING_ADDRESS, FIELD (page), "", 0, 0,
    "Address on which the operators' page is served." },
  { "failure-domain", BT_SETTING_TEXT, FIELD (failure_domain), NULL, 0, 0,
    "Failure domain of this instance." },
  { "secret", BT_SETTING_TEXT, FIELD (secret), NULL, 0, 0,
    "Secret shared by all processes of the deployment; prefer the environment variable." },
  { "log-level", BT_SETTING_TEXT, FIELD (log_level), "info", 0, 0,
    "error, warning, info or debug." },
  { "report-ms", BT_SETTING_INTEGER, FIELD (report_ms), "100", 20, 60000,
    "Interval between reports to the entry instance that leads the engine's group, ms." },
  { "others-ms", BT_SETTING_INTEGER, FIELD (others_ms), "300", 20, 60000,
    "Interval between reports to the other entry instances, ms." },
  { "call-ms", BT_SETTING_INTEGER, FIELD (call_ms), "60", 10, 60000,
    "Time limit of one call to the engine, ms." },
  { "beat-ms", BT_SETTING_INTEGER, FIELD (beat_ms), "500", 10, 60000,
    "Interval between heartbeats, ms." },
  { "link-idle-ms", BT_SETTING_INTEGER, FIELD (link_idle_ms), "1600", 50, 600000,
    "A link is considered dead after this time without a frame, ms." },
  { "max-links", BT_SETTING_INTEGER, FIELD (max_links), "256", 1, 10000,
    "Maximum number of links." },
};

/** Arguments of the signal thread. */
typedef struct signal_waiter
{
  bt_context_t *ctx;
  bt_sidecar_t *sidecar;
} signal_waiter_t;

static void *
wait_for_signals (void *argument)
{
  signal_waiter_t *waiter = argument;

  if (bt_wait_stop_signal (waiter->ctx))
    bt_stop_sidecar (waiter->sidecar);
  return NULL;
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
serve (bt_context_t *ctx, const void *values)
{
  const bt_sidecar_settings_t *settings = values;
  bt_error_t error = { 0 };
  bt_page_t *page = NULL;
  signal_waiter_t waiter;
  pthread_t thread;

  bt_block_stop_signals ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  waiter.ctx = ctx;
  waiter.sidecar = bt_new_sidecar (ctx, bt_get_engine_platform (), settings, &error);
  if (waiter.sidecar != NULL && settings->page[0] != '\0')
    page = bt_new_page (ctx, settings->page, NULL, NULL, &error);
  if (waiter.sidecar == NULL || error.code != BT_ERROR_NONE
      || !start_signal_thread (ctx, &thread, &waiter, &error))
    {
      bt_log_event (ctx, BT_LOG_ERROR, "start-failed", "{s:s}", "message", error.message);
      bt_drop_page (ctx, page);
      bt_drop_sidecar (ctx, waiter.sidecar);
      return EXIT_FAILURE;
    }
  bt_log_event (ctx, BT_LOG_INFO, "start", "{s:s, s:s}", "version", BT_VERSION, "engine",
                settings->engine);
  bt_run_sidecar (waiter.sidecar);
  pthread_join (thread, NULL);
  bt_drop_page (ctx, page);
  bt_drop_sidecar (ctx, waiter.sidecar);
  bt_log_event (ctx, BT_LOG_INFO, "stop", "{}");
  curl_global_cleanup ();
  return EXIT_SUCCESS;
}

int
bt_run_sidecar_command (bt_context_t *ctx, int argc, char **argv)
{
  bt_sidecar_settings_t settings = { 0 };
  bt_agent_command_t command = {
    .usage =
        "Usage: bilberry-agent side [FLAGS]\n\n"
        "Runs beside an engine that receives requests directly. Reports the engine's state to the\n"
        "entry instances and executes the orders of its group's leader.\n\n",
    .settings = sidecar_settings,
    .setting_count = sizeof sidecar_settings / sizeof sidecar_settings[0],
    .log_level = &settings.log_level,
    .log_name = &settings.listen,
    .run = serve,
  };

  return bt_start_agent_command (ctx, &command, &settings, argc, argv);
}
