#include "bilberrytray/gateway/gateway.h"

#include <string.h>

#include "bilberrytray/base/event_log.h"
#include "bilberrytray/base/process_use.h"
#include "cold_endpoints.h"
#include "configuration_report.h"
#include "gateway_private.h"

enum
{
  MS_PER_S = 1000,
  /* Buffer of libmicrohttpd for one connection: the longest request head that declarations usually
   * allow, and as much again for the head of an answer. */
  CONNECTION_BYTES = 24576,
  CONTROL_CONNECTIONS = 256,
  CONTROL_BODY_BYTES = 4096,
  /* The platform asks once a second whether the gateway is ready. */
  MAX_FULL_MS = 1000,
  CALLER_BODY_BYTES = 4 << 20,
  CALLER_IDLE_MS = 60000,
  /* A connection is closed this long after the declared limit, so that a caller who uses it at the
   * last moment still finds it open. */
  IDLE_MARGIN_MS = 1000,
  CONNECT_MS = 500,
  PEER_TIMEOUT_MS = 3000,
  /* Assumed time of a run until one is measured. Endpoints are probed by requests only; a run
   * takes about a second at first. */
  DEFAULT_SERVICE_MS = 300,
  /* Requests sent to an endpoint beyond its slots. Requests that wait in the gateway can still be
   * ordered by when their callers expect the answer, those that wait at the endpoint can't. One
   * request hides the network delay to the endpoint. */
  ENDPOINT_QUEUE_DEPTH = 1,
  /* How long an instance with a larger processor share is listed before a leader of rank groups
   * hands over to it. */
  HANDOVER_DELAY_MS = 5000,
  BYTES_PER_KB = 1024,
  BYTES_PER_MB = 1048576,
  /* Share of the instance's memory that is the bound on buffers. A connection with a paused
   * transfer takes up to four times its counted bytes: the libraries have buffers of their own. */
  MEMORY_BUFFER_DIVISOR = 16,
  MAX_DERIVED_BUFFER_MB = 12,
  /* Share of the instance's memory that unfinished answers of endpoints may take. */
  MEMORY_ANSWERS_DIVISOR = 4,
};

int64_t
bt_get_gateway_buffer_bytes (const bt_gateway_settings_t *settings)
{
  if (settings->buffer_mb > 0)
    return settings->buffer_mb * BYTES_PER_MB;
  if (settings->memory_mb > MAX_DERIVED_BUFFER_MB * MEMORY_BUFFER_DIVISOR)
    return (int64_t)MAX_DERIVED_BUFFER_MB * BYTES_PER_MB;
  return (int64_t)(settings->memory_mb * BYTES_PER_MB / MEMORY_BUFFER_DIVISOR);
}

static void
apply_endpoints (bt_gateway_t *gateway)
{
  int64_t now_ms = bt_get_loop_ms (gateway->loop);
  int64_t next_apply_ms =
      bt_apply_listed_endpoints (gateway->ctx, gateway->endpoints, gateway->view, now_ms);

  bt_update_endpoint_selection (gateway->ctx, gateway->selection, gateway->endpoints, gateway->view,
                                gateway->router);
  bt_update_cold_endpoints (gateway->ctx, gateway->endpoints, gateway->view,
                            gateway->identity.instance, gateway->router, now_ms);

  if (next_apply_ms > 0)
    bt_set_timer (gateway->loop, &gateway->relist_timer, next_apply_ms);
}

static void
handle_relist_timer (bt_timer_t *timer)
{
  apply_endpoints ((bt_gateway_t *)((char *)timer - offsetof (bt_gateway_t, relist_timer)));
}

static void
apply_limits (bt_gateway_t *gateway, const bt_caller_limits_t *limits)
{
  if (limits->idle_ms > 0)
    bt_set_frontend_idle (gateway->caller_frontend, limits->idle_ms + IDLE_MARGIN_MS);
  if (limits->body_bytes > 0)
    bt_set_frontend_body_limit (gateway->caller_frontend, (size_t)limits->body_bytes);
}

static bool
is_ready (const bt_gateway_t *gateway)
{
  return !gateway->leaving && gateway->view != NULL && gateway->view->declarations != NULL;
}

static void
apply_entry_names (bt_gateway_t *gateway)
{
  const bt_view_t *view = gateway->view;
  const char **names = bt_calloc (gateway->ctx, (size_t)view->entry_count + 1, sizeof (char *));

  for (int32_t i = 0; i < view->entry_count; i++)
    names[i] = view->entries[i].identity.instance;
  bt_set_router_entry_names (gateway->ctx, gateway->router, gateway->identity.instance, names,
                             view->entry_count, bt_get_loop_ms (gateway->loop));
  bt_free (gateway->ctx, names);
}

static void
apply_view (bt_store_listener_t *listener, bt_view_t *view)
{
  bt_gateway_t *gateway = (bt_gateway_t *)((char *)listener - offsetof (bt_gateway_t, listener));
  bt_view_t *before = gateway->view;
  bool was_ready = is_ready (gateway);

  gateway->view = view;
  /* Endpoints that the restored store lacks register again, as after an outage. */
  if (before != NULL && before->era != view->era)
    bt_record_store_regained (gateway->endpoints, bt_get_loop_ms (gateway->loop));
  if (before == NULL || before->declarations != view->declarations)
    bt_report_configuration (gateway->ctx, view->declarations, view->configuration_revision);
  bt_report_evacuations (gateway->ctx, before == NULL ? NULL : &before->evacuations,
                         &view->evacuations, view->revision);
  if (view->declarations != NULL)
    apply_limits (gateway, &view->declarations->limits);
  bt_set_router_entries (gateway->router, view->entry_count);
  apply_entry_names (gateway);
  bt_update_app_budgets (gateway);
  bt_set_listed_crashes (gateway->crashes, view);
  if (bt_set_listed_parts (gateway->parts, view))
    bt_clear_begun_forwards (gateway);
  bt_refuse_crashing_forwards (gateway);
  apply_endpoints (gateway);
  bt_publish_notices (gateway);
  if (gateway->agents != NULL && view->declarations != NULL)
    {
      bt_set_agent_endpoints (gateway->agents, view, gateway->selection);
      bt_set_group_view (gateway->groups, view, gateway->leaving);
      bt_set_room_view (gateway->rooms, view, gateway->selection);
      bt_ask_for_queued_forwards (gateway);
    }
  if (is_ready (gateway) && !was_ready)
    {
      bt_log_event (gateway->ctx, BT_LOG_INFO, "ready", "{}");
      bt_set_follower_listed (gateway->follower, true);
    }
  bt_drop_view (gateway->ctx, before);
  bt_dispatch_queued_forwards (gateway);
}

static void
handle_store_state (bt_store_listener_t *listener, bool reachable)
{
  bt_gateway_t *gateway = (bt_gateway_t *)((char *)listener - offsetof (bt_gateway_t, listener));

  gateway->store_lost = !reachable;
  if (reachable)
    bt_record_store_regained (gateway->endpoints, bt_get_loop_ms (gateway->loop));
}

static void
run_agent_hook (bt_loop_hook_t *hook)
{
  bt_gateway_t *gateway = (bt_gateway_t *)((char *)hook - offsetof (bt_gateway_t, agent_hook));

  if (bt_handle_agent_updates (gateway))
    bt_dispatch_queued_forwards (gateway);
  bt_run_group_control (gateway->groups);
  bt_run_room_control (gateway->rooms);
}

static bool
start_agent_control (bt_gateway_t *gateway, bt_error_t *error)
{
  const bt_gateway_settings_t *settings = gateway->settings;
  bt_agent_links_options_t links = {
    .instance = settings->instance,
    .incarnation = gateway->identity.incarnation,
    .failure_domain = settings->failure_domain,
    .secret = settings->secret,
    .port = (int32_t)settings->agent_port,
  };
  bt_group_control_options_t control = {
    .platform = gateway->platform,
    .store = settings->store,
    .instance = settings->instance,
    .cores = settings->cores,
    .lease_s = settings->lead_lease_s,
    .renew_ms = settings->lead_renew_ms,
    .plan_ms = settings->plan_ms,
    .handover_delay_ms = HANDOVER_DELAY_MS,
    .past_lease_ms = settings->lead_past_lease_s * MS_PER_S,
  };

  if (settings->agent_port == 0)
    return true;
  gateway->agents = bt_new_agent_links (gateway->ctx, gateway->loop, &links, error);
  if (gateway->agents == NULL)
    return false;
  gateway->groups = bt_new_group_control (gateway->ctx, gateway->loop, gateway->agents, &control);
  gateway->agent_hook.on_iteration = run_agent_hook;
  bt_add_loop_hook (gateway->loop, &gateway->agent_hook);
  return true;
}

static void
handle_call (bt_frontend_handler_t *handler, bt_frontend_call_t *call)
{
  bt_start_forward ((bt_gateway_t *)((char *)handler - offsetof (bt_gateway_t, call_handler)),
                    call);
}

static void
handle_caller_left (bt_frontend_handler_t *handler, bt_frontend_call_t *call)
{
  bt_abandon_forward ((bt_gateway_t *)((char *)handler - offsetof (bt_gateway_t, call_handler)),
                      call);
}

static void
handle_caught_up (bt_frontend_handler_t *handler, bt_frontend_call_t *call)
{
  (void)handler;
  bt_resume_forward (call);
}

static void
handle_reader_ended (bt_frontend_handler_t *handler, bt_frontend_call_t *call)
{
  bt_end_slow_forward ((bt_gateway_t *)((char *)handler - offsetof (bt_gateway_t, call_handler)),
                       call);
}

static bool
has_path (const bt_frontend_call_t *call, const char *path)
{
  const char *target = bt_get_frontend_request (call)->target;
  size_t bytes = strlen (path);

  return strncmp (target, path, bytes) == 0 && (target[bytes] == '\0' || target[bytes] == '?');
}

static void
handle_address_call (bt_frontend_handler_t *handler, bt_frontend_call_t *call)
{
  bt_gateway_t *gateway =
      (bt_gateway_t *)((char *)handler - offsetof (bt_gateway_t, address_handler));

  if (has_path (call, gateway->platform->address_path))
    bt_answer_gateway_addresses (gateway, call);
  else
    bt_answer_frontend_call (call, bt_get_reason_status (BT_REASON_NO_SUCH_PATH), "", 0);
  bt_drop_frontend_call (gateway->ctx, call);
}

static void
handle_ready_call (bt_frontend_handler_t *handler, bt_frontend_call_t *call)
{
  bt_gateway_t *gateway =
      (bt_gateway_t *)((char *)handler - offsetof (bt_gateway_t, ready_handler));
  bool full = bt_get_frontend_full_ms (gateway->caller_frontend) >= MAX_FULL_MS;
  bt_reason_t reason = is_ready (gateway) && !full ? BT_REASON_NONE : BT_REASON_NOT_READY;

  if (!has_path (call, gateway->platform->ready_path))
    reason = BT_REASON_NO_SUCH_PATH;
  bt_answer_frontend_call (call, bt_get_reason_status (reason), "", 0);
  bt_drop_frontend_call (gateway->ctx, call);
}

/* Calls that are answered at once have no work to cancel when the caller disconnects. */
static void
ignore_caller_left (bt_frontend_handler_t *handler, bt_frontend_call_t *call)
{
  (void)handler;
  (void)call;
}

static const bt_frontend_handler_vtable_t call_vtable = {
  handle_call,
  handle_caller_left,
  handle_caught_up,
  handle_reader_ended,
};
static const bt_frontend_handler_vtable_t address_vtable = { handle_address_call,
                                                             ignore_caller_left };
static const bt_frontend_handler_vtable_t ready_vtable = { handle_ready_call, ignore_caller_left };

static bool
open_frontends (bt_gateway_t *gateway, bt_error_t *error)
{
  const bt_gateway_settings_t *settings = gateway->settings;
  const int32_t descriptors = bt_get_descriptor_limit ();
  bt_frontend_limits_t callers = { bt_bound_caller_connections ((int32_t)settings->max_connections,
                                                                descriptors),
                                   CONNECTION_BYTES,
                                   CALLER_BODY_BYTES,
                                   CALLER_IDLE_MS,
                                   settings->call_buffer_kb * BYTES_PER_KB,
                                   bt_get_gateway_buffer_bytes (settings) };
  bt_frontend_limits_t control = { bt_bound_control_connections (CONTROL_CONNECTIONS, descriptors),
                                   CONNECTION_BYTES, CONTROL_BODY_BYTES, CALLER_IDLE_MS };

  gateway->call_handler.vtable = &call_vtable;
  gateway->address_handler.vtable = &address_vtable;
  gateway->ready_handler.vtable = &ready_vtable;
  gateway->caller_frontend = bt_new_frontend (gateway->ctx, gateway->loop, settings->listen,
                                              &callers, &gateway->call_handler, error);
  if (gateway->caller_frontend != NULL)
    gateway->address_frontend = bt_new_frontend (gateway->ctx, gateway->loop, settings->addresses,
                                                 &control, &gateway->address_handler, error);
  if (gateway->address_frontend != NULL)
    gateway->ready_frontend = bt_new_frontend (gateway->ctx, gateway->loop, settings->ready,
                                               &control, &gateway->ready_handler, error);
  return gateway->ready_frontend != NULL;
}

static void
create_load_control (bt_gateway_t *gateway)
{
  bt_router_options_t router;
  bt_admission_options_t admission;

  bt_default_router_options (&router);
  bt_default_admission_options (&admission);
  bt_copy_name (router.failure_domain, gateway->settings->failure_domain);
  router.default_service_ms = DEFAULT_SERVICE_MS;
  router.queue_depth = ENDPOINT_QUEUE_DEPTH;
  gateway->router = bt_new_router (gateway->ctx, &router);
  gateway->outages = bt_new_group_outages (gateway->ctx, gateway->router);
  gateway->admission = bt_new_admission (gateway->ctx, gateway->router, &admission);
  bt_set_admission_outages (gateway->admission, gateway->outages);
  gateway->endpoints = bt_new_endpoint_table (gateway->ctx, gateway->router, gateway->outages);
  gateway->selection = bt_new_endpoint_selection (gateway->ctx, &gateway->identity);
  gateway->endpoint_status = bt_new_endpoint_status (gateway->ctx);
}

static bool
handle_grant (bt_room_handler_t *handler,
              uint64_t request,
              const bt_identity_t *endpoint,
              uint64_t room_id)
{
  return bt_send_granted_forward (
      (bt_gateway_t *)((char *)handler - offsetof (bt_gateway_t, room_handler)), request, endpoint,
      room_id);
}

static void
create_room_control (bt_gateway_t *gateway)
{
  bt_room_control_options_t options = {
    .router = gateway->router,
    .admission = gateway->admission,
    .endpoints = gateway->endpoints,
    .agents = gateway->agents,
    .handler = &gateway->room_handler,
    .seed = bt_draw_gateway_seed (gateway),
  };

  gateway->room_handler.on_send = handle_grant;
  if (gateway->agents == NULL
      || !bt_parse_reservations (gateway->settings->reservations, &options.reservations)
      || options.reservations == BT_RESERVATIONS_NEVER)
    return;
  gateway->rooms = bt_new_room_control (gateway->ctx, gateway->loop, &options);
}

static void
handle_part_trial (bt_part_control_handler_t *handler, uint64_t request, bool granted)
{
  bt_handle_part_trial ((bt_gateway_t *)((char *)handler - offsetof (bt_gateway_t, trial_handler)),
                        request, granted);
}

static void
create_part_control (bt_gateway_t *gateway)
{
  bt_part_control_options_t options = {
    .platform = gateway->platform,
    .store = gateway->settings->store,
    .instance = gateway->settings->instance,
    .reporter = gateway->crash_reporter,
    .outages = gateway->outages,
    .handler = &gateway->trial_handler,
  };

  gateway->trial_handler.on_trial = handle_part_trial;
  gateway->parts = bt_new_part_control (gateway->ctx, gateway->loop, &options);
}

static void
create_crash_control (bt_gateway_t *gateway)
{
  const bt_gateway_settings_t *settings = gateway->settings;
  bt_crash_control_options_t options = {
    .instance = settings->instance,
    .reporter = gateway->crash_reporter,
    .parts = gateway->parts,
    .max_ends = settings->crash_ends,
    .hold_ms = settings->crash_hold_s * MS_PER_S,
    .keep_ms = settings->crash_keep_s * MS_PER_S,
  };

  bt_derive_fingerprint_key (settings->secret, &gateway->fingerprint_key);
  gateway->crashes =
      bt_new_crash_control (gateway->ctx, gateway->loop, &options, gateway->endpoints);
}

static bool
start_store_follower (bt_gateway_t *gateway, bt_error_t *error)
{
  const bt_gateway_settings_t *settings = gateway->settings;
  bt_store_follower_options_t options = {
    .platform = gateway->platform,
    .address = settings->store,
    .watch_ms = settings->watch_ms,
    .lease_s = settings->lease_s,
    .renew_ms = settings->renew_ms,
    .seeds = settings->seeds,
    .secret = settings->secret,
  };

  options.entry.identity = gateway->identity;
  strncpy (options.entry.callers, settings->listen, sizeof options.entry.callers - 1);
  strncpy (options.entry.links, settings->links, sizeof options.entry.links - 1);
  bt_copy_name (options.entry.failure_domain, settings->failure_domain);
  options.entry.cores = settings->cores;
  gateway->listener.on_view = apply_view;
  gateway->listener.on_store = handle_store_state;
  gateway->follower =
      bt_new_store_follower (gateway->ctx, gateway->loop, &options, &gateway->listener, error);
  return gateway->follower != NULL;
}

bt_gateway_t *
bt_new_gateway (bt_context_t *ctx,
                const bt_platform_t *platform,
                const bt_gateway_settings_t *settings,
                bt_error_t *error)
{
  bt_gateway_t *gateway = bt_calloc (ctx, 1, sizeof *gateway);
  bt_exchange_limits_t limits = { CONNECT_MS, PEER_TIMEOUT_MS,
                                  (int64_t)(settings->memory_mb * BYTES_PER_MB
                                            / MEMORY_ANSWERS_DIVISOR) };
  uint64_t seed;

  gateway->ctx = ctx;
  gateway->platform = platform;
  gateway->settings = settings;
  bt_fill_secure_random (&seed, sizeof seed);
  bt_seed_random (&gateway->random, seed);
  bt_copy_name (gateway->identity.instance, settings->instance);
  bt_fill_secure_random (&gateway->identity.incarnation, sizeof gateway->identity.incarnation);
  gateway->relist_timer.on_expiry = handle_relist_timer;
  gateway->on_attempt_end = bt_dispatch_queued_forwards;
  bt_open_timings (ctx, &gateway->timings);
  gateway->delays = bt_new_delays (ctx);
  gateway->loop = bt_new_event_loop (ctx, error);
  if (gateway->loop == NULL || !open_frontends (gateway, error)
      || !start_agent_control (gateway, error))
    {
      bt_drop_gateway (ctx, gateway);
      return NULL;
    }
  gateway->exchanges = bt_new_exchange_pool (ctx, gateway->loop, &limits);
  create_load_control (gateway);
  create_room_control (gateway);
  gateway->crash_reporter = bt_new_crash_reporter (ctx, platform, settings->store);
  create_part_control (gateway);
  create_crash_control (gateway);
  if (!start_store_follower (gateway, error))
    {
      bt_drop_gateway (ctx, gateway);
      return NULL;
    }
  return gateway;
}

char *
bt_format_gateway_status (bt_gateway_t *gateway)
{
  char *text = NULL;
  size_t bytes = 0;
  FILE *out = open_memstream (&text, &bytes);

  if (out == NULL)
    return NULL;
  bt_print_follower_status (gateway->follower, out);
  bt_print_endpoint_status (gateway->endpoint_status, bt_now_ms (gateway->ctx), out);
  bt_print_part_status (gateway->parts, out);
  bt_print_delay_status (gateway->delays, out);
  fclose (out);
  return text;
}

void
bt_run_gateway (bt_gateway_t *gateway)
{
  bt_run_event_loop (gateway->loop);
  bt_log_event (gateway->ctx, BT_LOG_INFO, "serving-ended", "{s:I, s:i, s:i}", "after_ms",
                (json_int_t)(bt_now_ms (gateway->ctx) - gateway->stop.began_ms), "requests",
                gateway->forwards, "calls", bt_count_frontend_calls (gateway->caller_frontend));
  bt_drop_gateway_frontends (gateway);
}

void
bt_drop_gateway (bt_context_t *ctx, bt_gateway_t *gateway)
{
  if (gateway == NULL)
    return;
  bt_drop_gateway_frontends (gateway);
  /* The lease on the groups is released before the parts that may wait longer for the store: until
   * it is released, no other instance leads the groups. */
  bt_drop_group_control (ctx, gateway->groups);
  bt_drop_room_control (ctx, gateway->rooms);
  bt_drop_agent_links (ctx, gateway->agents);
  bt_drop_leaving_notice (ctx, gateway->notice);
  bt_drop_store_follower (ctx, gateway->follower);
  bt_drop_crash_control (ctx, gateway->crashes);
  bt_drop_part_control (ctx, gateway->parts);
  bt_drop_crash_reporter (ctx, gateway->crash_reporter);
  bt_drop_exchange_pool (ctx, gateway->exchanges);
  bt_drop_group_limiters (gateway);
  bt_drop_endpoint_selection (ctx, gateway->selection);
  bt_drop_endpoint_status (ctx, gateway->endpoint_status);
  bt_drop_endpoint_table (ctx, gateway->endpoints);
  bt_drop_admission (ctx, gateway->admission);
  bt_drop_group_outages (ctx, gateway->outages);
  bt_drop_router (ctx, gateway->router);
  bt_drop_app_budgets (gateway);
  bt_drop_view (ctx, gateway->view);
  bt_drop_event_loop (ctx, gateway->loop);
  bt_close_timings (ctx, &gateway->timings);
  bt_drop_delays (ctx, gateway->delays);
  bt_free (ctx, gateway);
}
