#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "agent.h"
#include "bilberrytray/base/process_end.h"
#include "bilberrytray/base/stop_signals.h"
#include "bilberrytray/page/listener.h"
#include "sidecar.h"
#include "start.h"

enum
{
  IDLE_CHECK_MS = 50,
};

#define FIELD(name) offsetof (bt_agent_settings_t, name)

static const bt_setting_t settings_table[] = {
  { "instance", BT_SETTING_TEXT, FIELD (instance), NULL, 0, 0, "Name of this instance." },
  { "failure-domain", BT_SETTING_TEXT, FIELD (failure_domain), NULL, 0, 0,
    "Failure domain of this instance." },
  { "listen", BT_SETTING_ADDRESS, FIELD (listen), NULL, 0, 0,
    "Address on which links are accepted." },
  { "page", BT_SETTING_ADDRESS, FIELD (page), "", 0, 0,
    "Address on which the operators' page is served." },
  { "secret", BT_SETTING_TEXT, FIELD (secret), NULL, 0, 0,
    "Secret shared by all processes of the deployment; prefer the environment variable." },
  { "endpoint", BT_SETTING_TEXT, FIELD (endpoint), NULL, 0, 0, "Name of the endpoint." },
  { "app", BT_SETTING_TEXT, FIELD (app), NULL, 0, 0, "App that the endpoint serves." },
  { "endpoint-url", BT_SETTING_URL, FIELD (endpoint_url), NULL, 0, 0, "URL of the endpoint." },
  { "log-level", BT_SETTING_TEXT, FIELD (log_level), "info", 0, 0,
    "error, warning, info or debug." },
  { "plain", BT_SETTING_FLAG, FIELD (plain), "false", 0, 0,
    "The endpoint is a plain service, not a model engine." },
  { "slots", BT_SETTING_INTEGER, FIELD (slots), "16", 1, 100000,
    "Maximum number of running requests." },
  { "queue", BT_SETTING_INTEGER, FIELD (queue), "32", 0, 100000,
    "Maximum number of queued requests." },
  { "beat-ms", BT_SETTING_INTEGER, FIELD (beat_ms), "250", 10, 60000,
    "Interval between heartbeats, ms." },
  { "link-idle-ms", BT_SETTING_INTEGER, FIELD (link_idle_ms), "1500", 50, 600000,
    "A link is considered dead after this time without a frame, ms." },
  { "connect-ms", BT_SETTING_INTEGER, FIELD (connect_ms), "500", 10, 60000,
    "Time limit for connecting to the endpoint, ms." },
  { "endpoint-idle-ms", BT_SETTING_INTEGER, FIELD (endpoint_idle_ms), "5000", 50, 600000,
    "A transfer without data for this long is silent, ms." },
  { "resumes", BT_SETTING_INTEGER, FIELD (resumes), "2", 0, 10,
    "Maximum number of further connections for one run whose stream was cut off." },
  { "load-ms", BT_SETTING_INTEGER, FIELD (load_ms), "250", 10, 60000,
    "Interval between reads of the endpoint's load, ms." },
  { "max-frame-bytes", BT_SETTING_INTEGER, FIELD (max_frame_bytes), "2097152", 4096, 67108864,
    "Maximum size of a frame on a link, bytes." },
  { "max-links", BT_SETTING_INTEGER, FIELD (max_links), "64", 1, 10000,
    "Maximum number of links." },
  { "drain-ms", BT_SETTING_INTEGER, FIELD (drain_ms), "60000", 0, 3600000,
    "Maximum wait for running requests and tickets after SIGTERM, ms." },
  { "ticket-life-ms", BT_SETTING_INTEGER, FIELD (ticket_life_ms), "30000", 100, 3600000,
    "Maximum lifetime of a ticket, the same at all entries and agents, ms." },
  { "max-records", BT_SETTING_INTEGER, FIELD (max_records), "100000", 1, 10000000,
    "Maximum number of recorded keys; the same number of tombstones fits in addition." },
  { "max-record-bytes", BT_SETTING_INTEGER, FIELD (max_record_bytes), "268435456", 65536,
    17179869184, "Memory for records and kept answers, bytes." },
  { "max-answer-bytes", BT_SETTING_INTEGER, FIELD (max_answer_bytes), "1048576", 0, 67108864,
    "Maximum size of an answer that is kept to be sent again, bytes." },
  { "keep-answer-ms", BT_SETTING_INTEGER, FIELD (keep_answer_ms), "30000", 0, 3600000,
    "How long a complete answer is kept, ms." },
  { "group", BT_SETTING_TEXT, FIELD (group), "", 0, 0,
    "Rank group that the endpoint belongs to; empty for none." },
  { "rank", BT_SETTING_INTEGER, FIELD (rank), "0", 0, 63, "The endpoint's rank in its group." },
  { "rank-url", BT_SETTING_TEXT, FIELD (rank_url), "", 0, 0,
    "URL at which the rank's engine accepts orders." },
  { "store-url", BT_SETTING_TEXT, FIELD (store_url), "", 0, 0,
    "URL of the key-value store; required with --group." },
  { "map-prefix", BT_SETTING_TEXT, FIELD (map_prefix), "bilberrytray-maps/", 0, 0,
    "Prefix of the rank groups' keys." },
  { "map-call-ms", BT_SETTING_INTEGER, FIELD (map_call_ms), "500", 10, 60000,
    "Time limit of one order to the rank's engine, ms." },
  { "map-ask-ms", BT_SETTING_INTEGER, FIELD (map_ask_ms), "250", 10, 60000,
    "Interval between queries to rank 0 about an undecided round, ms." },
  { "map-give-up-ms", BT_SETTING_INTEGER, FIELD (map_give_up_ms), "5000", 100, 600000,
    "Rank 0 abandons an undecided round that others have asked about for this long, ms." },
};

static void
wait_idle (bt_context_t *ctx, bt_agent_t *agent, int64_t drain_ms)
{
  int64_t deadline_ms = bt_now_ms (ctx) + drain_ms;

  while (!bt_is_agent_idle (ctx, agent) && bt_now_ms (ctx) < deadline_ms)
    bt_sleep_ms (IDLE_CHECK_MS);
}

static int
run_agent (bt_context_t *ctx, const void *values)
{
  const bt_agent_settings_t *settings = values;
  bt_error_t error = { 0 };
  bt_agent_t *agent;

  bt_block_stop_signals ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  agent = bt_new_agent (ctx, settings, &error);
  if (agent == NULL)
    {
      bt_log (ctx, BT_LOG_ERROR, BT_PART_MAIN, "Startup failed: %s", error.message);
      curl_global_cleanup ();
      return EXIT_FAILURE;
    }
  bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN, "Version %s serves %s on port %d.", BT_VERSION,
          settings->endpoint, bt_get_agent_port (agent));
  bt_wait_stop_signal (ctx);
  bt_drain_agent (ctx, agent);
  wait_idle (ctx, agent, settings->drain_ms);
  bt_drop_agent (ctx, agent);
  bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN, "Stopped.");
  curl_global_cleanup ();
  return EXIT_SUCCESS;
}

static int
run_main (bt_context_t *ctx, int argc, char **argv)
{
  bt_agent_settings_t settings = { 0 };
  bt_agent_command_t command = {
    .usage = "Usage: bilberry-agent [FLAGS]\n       bilberry-agent side [FLAGS]\n\n"
             "Runs beside one endpoint and forwards requests from bilberryd to it.\n"
             "On SIGTERM it accepts no new requests, finishes the running ones and exits.\n\n",
    .settings = settings_table,
    .setting_count = sizeof settings_table / sizeof settings_table[0],
    .log_level = &settings.log_level,
    .log_name = &settings.instance,
    .run = run_agent,
  };

  return bt_start_agent_command (ctx, &command, &settings, argc, argv);
}

int
main (int argc, char **argv)
{
  bt_context_t *ctx = bt_new_context ();
  int status;

  bt_install_end_handlers (ctx);
  bt_report_http_panics (ctx);
  if (argc >= 2 && strcmp (argv[1], "side") == 0)
    status = bt_run_sidecar_command (ctx, argc - 1, argv + 1);
  else
    status = run_main (ctx, argc, argv);
  bt_drop_context (ctx);
  return status;
}
