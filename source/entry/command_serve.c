#include <curl/curl.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include "bilberrytray/base/stop_signals.h"
#include "bilberrytray/page/page.h"
#include "commands.h"
#include "entry.h"
#include "platform_reader.h"

enum
{
  IDLE_CHECK_MS = 20,
};

#define FIELD(name) offsetof (bt_entry_settings_t, name)

static const bt_setting_t serve_settings[] = {
  { "instance", BT_SETTING_TEXT, FIELD (instance), NULL, 0, 0, "Name of this instance." },
  { "failure-domain", BT_SETTING_TEXT, FIELD (failure_domain), NULL, 0, 0,
    "Failure domain of this instance." },
  { "listen", BT_SETTING_ADDRESS, FIELD (listen), NULL, 0, 0,
    "Address on which callers are served." },
  { "advertise", BT_SETTING_ADDRESS, FIELD (advertise), "", 0, 0,
    "Address advertised to callers; default: that of --listen." },
  { "link-listen", BT_SETTING_ADDRESS, FIELD (link_listen), NULL, 0, 0,
    "Address on which links from other instances are accepted." },
  { "page", BT_SETTING_ADDRESS, FIELD (page), "", 0, 0,
    "Address on which the operators' page is served." },
  { "secret", BT_SETTING_TEXT, FIELD (secret), NULL, 0, 0,
    "Secret shared by all processes of the deployment; prefer the environment variable." },
  { "store-url", BT_SETTING_URL, FIELD (store_url), NULL, 0, 0, "URL of the key-value store." },
  { "store-prefix", BT_SETTING_TEXT, FIELD (store_prefix), "bilberrytray/", 0, 0,
    "Prefix of the configuration's keys." },
  { "instances-url", BT_SETTING_URL, FIELD (instances_url), NULL, 0, 0,
    "URL of the instance list." },
  { "log-level", BT_SETTING_TEXT, FIELD (log_level), "info", 0, 0,
    "error, warning, info or debug." },
  { "workers", BT_SETTING_INTEGER, FIELD (workers), "4", 2, 64, "Threads that serve callers." },
  { "max-body-bytes", BT_SETTING_INTEGER, FIELD (max_body_bytes), "1048576", 1024, 33554432,
    "Maximum size of a request body, bytes." },
  { "max-connections", BT_SETTING_INTEGER, FIELD (max_connections), "4096", 8, 60000,
    "Maximum number of connections from callers." },
  { "caller-idle-ms", BT_SETTING_INTEGER, FIELD (caller_idle_ms), "30000", 1000, 3600000,
    "A caller's connection is closed after this time without traffic, ms." },
  { "beat-ms", BT_SETTING_INTEGER, FIELD (beat_ms), "250", 10, 60000,
    "Interval between heartbeats, ms." },
  { "link-idle-ms", BT_SETTING_INTEGER, FIELD (link_idle_ms), "1500", 50, 600000,
    "A link is considered dead after this time without a frame, ms." },
  { "max-frame-bytes", BT_SETTING_INTEGER, FIELD (max_frame_bytes), "2097152", 4096, 67108864,
    "Maximum size of a frame on a link, bytes." },
  { "max-links", BT_SETTING_INTEGER, FIELD (max_links), "1024", 1, 60000,
    "Maximum number of links." },
  { "instances-ms", BT_SETTING_INTEGER, FIELD (instances_ms), "1000", 20, 600000,
    "Interval between reads of the instance list, ms." },
  { "isolation-ms", BT_SETTING_INTEGER, FIELD (isolation_ms), "10000", 500, 600000,
    "Requests are refused after this time without updates and without most peers, ms." },
  { "watch-wait-ms", BT_SETTING_INTEGER, FIELD (watch_wait_ms), "2000", 100, 60000,
    "Maximum duration of one watch call to the key-value store, ms." },
  { "watchers", BT_SETTING_INTEGER, FIELD (watchers), "3", 1, 64,
    "Number of entry instances that watch the key-value store." },
  { "address-life-ms", BT_SETTING_INTEGER, FIELD (address_life_ms), "30000", 100, 3600000,
    "Time for which callers may cache an answer with addresses, ms." },
  { "ticket-life-ms", BT_SETTING_INTEGER, FIELD (ticket_life_ms), "30000", 100, 3600000,
    "Lifetime of the tickets issued to callers, at most that set for the agents, ms." },
  { "drain-ms", BT_SETTING_INTEGER, FIELD (drain_ms), "120000", 0, 3600000,
    "Maximum wait for requests in progress after SIGTERM, ms." },
  { "group", BT_SETTING_TEXT, FIELD (group), "", 0, 0,
    "Rank group whose expert map this instance may control; empty for none." },
  { "ranks", BT_SETTING_INTEGER, FIELD (ranks), "16", 1, 64, "Ranks of the group." },
  { "map-prefix", BT_SETTING_TEXT, FIELD (map_prefix), "bilberrytray-maps/", 0, 0,
    "Prefix of the rank groups' keys." },
  { "map-lease-s", BT_SETTING_INTEGER, FIELD (map_lease_s), "5", 1, 600,
    "TTL of the controller's lease, s." },
  { "arm-steps", BT_SETTING_INTEGER, FIELD (arm_steps), "100", 2, 100000,
    "Number of steps ahead at which a round is armed." },
  { "stage-limit-ms", BT_SETTING_INTEGER, FIELD (stage_limit_ms), "120000", 100, 3600000,
    "A round is dropped if its weights are not staged within this time, ms." },
  { "layers", BT_SETTING_INTEGER, FIELD (layers), "0", 0, 128,
    "Layers with experts; 0: no maps are planned, only those set in the store are used." },
  { "experts", BT_SETTING_INTEGER, FIELD (experts), "128", 1, 1024, "Experts per layer." },
  { "expert-slots", BT_SETTING_INTEGER, FIELD (expert_slots), "10", 1, 1024,
    "Maximum number of replicas per rank in each layer." },
  { "expert-bytes", BT_SETTING_INTEGER, FIELD (expert_bytes), "9437184", 1, 68719476736,
    "Size of one expert of one layer, bytes." },
  { "skew-weight", BT_SETTING_INTEGER, FIELD (skew_weight), "100", 0, 1000000,
    "Weight of saved step time, in percent." },
  { "cost-weight", BT_SETTING_INTEGER, FIELD (cost_weight), "50", 0, 1000000,
    "Weight of step time lost to moves, in percent." },
  { "pay-percent", BT_SETTING_INTEGER, FIELD (pay_percent), "150", 100, 100000,
    "Minimum gain of a plan, in percent of its cost." },
  { "horizon-ms", BT_SETTING_INTEGER, FIELD (horizon_ms), "60000", 1000, 86400000,
    "How long a gain is assumed to last, ms." },
  { "min-stay-ms", BT_SETTING_INTEGER, FIELD (min_stay_ms), "0", 0, 86400000,
    "Minimum time a replica stays after its expert last moved, ms." },
  { "move-us-per-mb", BT_SETTING_INTEGER, FIELD (move_us_per_mb), "50", 0, 10000000,
    "Step time lost per megabyte moved, us." },
  { "round-mb", BT_SETTING_INTEGER, FIELD (round_mb), "10000", 0, 100000000,
    "Maximum number of megabytes staged per round; 0: no limit." },
  { "expert-percent", BT_SETTING_INTEGER, FIELD (expert_percent), "60", 1, 100,
    "Share of a balanced step spent in experts, in percent." },
  { "load-half-life-ms", BT_SETTING_INTEGER, FIELD (half_life_ms), "10000", 100, 86400000,
    "Half-life of the experts' loads, ms." },
  { "plan-ms", BT_SETTING_INTEGER, FIELD (plan_ms), "10000", 100, 86400000,
    "Interval between plans, ms." },
};

static void
wait_idle (bt_context_t *ctx, bt_entry_t *entry, int64_t deadline_ms)
{
  while (!bt_is_entry_idle (entry) && bt_now_ms (ctx) < deadline_ms)
    bt_sleep_ms (IDLE_CHECK_MS);
}

/* A leaving entry instance still serves callers that cached its address: it waits until the last
 * answer that advertised it has expired, and then until no request is in progress. The callers'
 * port is closed after that and before anything else stops: stopping the other parts takes a
 * second or more if the platform does not respond, and callers that connect in that time would
 * get no answer. */
static void
drain (bt_context_t *ctx, bt_entry_t *entry, const bt_entry_settings_t *settings)
{
  int64_t deadline_ms = bt_now_ms (ctx) + settings->address_life_ms + settings->drain_ms;

  bt_sleep_ms (settings->address_life_ms);
  wait_idle (ctx, entry, deadline_ms);
  bt_close_entry (entry);
  wait_idle (ctx, entry, deadline_ms);
  bt_abort_entry_callers (ctx, entry);
}

static int
serve_until_signal (bt_context_t *ctx, const bt_entry_settings_t *settings)
{
  bt_error_t error = { 0 };
  bt_entry_t *entry = bt_new_entry (ctx, settings, &error);
  bt_platform_reader_t *reader = NULL;
  bt_page_t *page = NULL;
  int status = BT_EXIT_FAILED;

  if (entry != NULL && settings->page[0] != '\0')
    page = bt_new_page (ctx, settings->page, NULL, NULL, &error);
  if (entry != NULL && error.code == BT_ERROR_NONE)
    reader = bt_new_platform_reader (ctx, entry, settings, &error);
  if (reader == NULL)
    bt_log (ctx, BT_LOG_ERROR, BT_PART_MAIN, "Startup failed: %s", error.message);
  else
    {
      bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN, "Version %s is serving callers on port %d.",
              BT_VERSION, bt_get_entry_http_port (entry));
      bt_wait_stop_signal (ctx);
      bt_set_entry_leaving (ctx, entry);
      drain (ctx, entry, settings);
      bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN, "Stopped.");
      status = BT_EXIT_DONE;
    }
  bt_drop_platform_reader (ctx, reader);
  bt_drop_page (ctx, page);
  bt_drop_entry (ctx, entry);
  return status;
}

static int
run_serve (bt_context_t *ctx, const void *values, int operand_count, char **operands)
{
  bt_entry_settings_t settings = *(const bt_entry_settings_t *)values;
  bt_log_level_t level;
  int status;

  if (operand_count > 0 || !bt_parse_log_level (settings.log_level, &level))
    {
      fprintf (stderr, "%s\n",
               operand_count > 0 ? "serve: No arguments are expected after the flags."
                                 : "log-level: Unknown log level.");
      return BT_EXIT_USAGE;
    }
  if (settings.advertise[0] == '\0')
    settings.advertise = settings.listen;
  bt_set_log_level (ctx, (int32_t)level);
  bt_set_log_name (ctx, settings.instance);
  bt_block_stop_signals ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = serve_until_signal (ctx, &settings);
  curl_global_cleanup ();
  return status;
}

const bt_command_t bt_serve_command = {
  "serve",
  "Serve callers on this entry instance until SIGTERM.",
  "",
  serve_settings,
  sizeof serve_settings / sizeof serve_settings[0],
  sizeof (bt_entry_settings_t),
  run_serve,
};
