#include "entry.h"

#include <errno.h>
#include <string.h>

#include "bilberrytray/base/log.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/base/thread.h"
#include "config_driver.h"
#include "entry_private.h"

enum
{
  TICK_MS = 10,
  HANDSHAKE_TIMEOUT_MS = 2000,
  MAX_UNSENT_BYTES = 16 << 20,
  /* Time for the workers to write the last answers, and to refuse requests that arrive up to a
   * round trip after listening stopped. */
  LINGER_MS = 120,
};

static void *
run_ticker (void *argument)
{
  bt_entry_t *entry = argument;

  while (!atomic_load (&entry->stopping))
    {
      int64_t now_ms = bt_now_ms (entry->ctx);

      pthread_mutex_lock (&entry->lock);
      bt_tick_calls (entry, now_ms);
      bt_admit_queued_calls (entry);
      bt_dial_peers (entry, now_ms);
      bt_set_gauge (entry->admitting,
                    entry->declarations != NULL
                        && bt_get_config_refusal (entry, now_ms) == BT_REASON_NONE);
      pthread_mutex_unlock (&entry->lock);
      bt_sleep_ms (TICK_MS);
    }
  return NULL;
}

static bool
start_links (bt_entry_t *entry, bt_error_t *error)
{
  const bt_entry_settings_t *settings = &entry->settings;
  bt_link_options_t options = { 0 };

  options.role = "entry";
  options.instance = settings->instance;
  options.incarnation = entry->incarnation;
  options.failure_domain = settings->failure_domain;
  options.address = settings->link_listen;
  options.secret = settings->secret;
  options.heartbeat_interval_ms = settings->beat_ms;
  options.idle_ms = settings->link_idle_ms;
  options.handshake_timeout_ms = HANDSHAKE_TIMEOUT_MS;
  options.max_frame_bytes = (size_t)settings->max_frame_bytes;
  options.max_unsent_bytes = MAX_UNSENT_BYTES;
  options.max_links = (int32_t)settings->max_links;
  options.handler = &entry->links_base;
  entry->loop = bt_new_link_loop (entry->ctx, &options, error);
  return entry->loop != NULL
         && bt_listen_links (entry->ctx, entry->loop, settings->link_listen, error) >= 0;
}

static const double percent = 100.0;
static const int64_t bytes_per_mb = 1000000;

static void
fill_planning (const bt_entry_settings_t *settings, bt_map_planning_settings_t *planning)
{
  planning->group = settings->group;
  planning->store_prefix = settings->map_prefix;
  planning->shape.layers = (int32_t)settings->layers;
  planning->shape.experts = (int32_t)settings->experts;
  planning->shape.ranks = (int32_t)settings->ranks;
  planning->weights.skew_weight = (double)settings->skew_weight / percent;
  planning->weights.cost_weight = (double)settings->cost_weight / percent;
  planning->weights.pay_ratio = (double)settings->pay_percent / percent;
  planning->weights.horizon_ms = settings->horizon_ms;
  planning->weights.min_stay_ms = settings->min_stay_ms;
  planning->limits.slots = (int32_t)settings->expert_slots;
  planning->limits.expert_bytes = settings->expert_bytes;
  planning->limits.move_us_per_mb = settings->move_us_per_mb;
  planning->limits.round_bytes = settings->round_mb * bytes_per_mb;
  planning->limits.expert_share = (double)settings->expert_percent / percent;
  planning->half_life_ms = settings->half_life_ms;
  planning->interval_ms = settings->plan_ms;
}

static bool
start_maps (bt_entry_t *entry, bt_error_t *error)
{
  const bt_entry_settings_t *settings = &entry->settings;
  bt_map_control_settings_t maps = { 0 };
  bt_map_planning_settings_t planning = { 0 };

  if (settings->group[0] == '\0')
    return true;
  maps.instance = settings->instance;
  maps.group = settings->group;
  maps.ranks = settings->ranks;
  maps.store_url = settings->store_url;
  maps.store_prefix = settings->map_prefix;
  maps.lease_s = settings->map_lease_s;
  maps.arm_steps = settings->arm_steps;
  maps.stage_limit_ms = settings->stage_limit_ms;
  if (settings->layers > 0)
    {
      fill_planning (settings, &planning);
      maps.planning = &planning;
    }
  entry->maps = bt_new_map_control (entry->ctx, &maps, error);
  return entry->maps != NULL;
}

static bool
start_entry (bt_entry_t *entry, bt_error_t *error)
{
  if (!start_maps (entry, error) || !start_links (entry, error))
    return false;
  entry->http = bt_new_http_server (entry->ctx, entry, &entry->settings, error);
  if (entry->http == NULL)
    return false;
  if (!bt_start_thread (entry->ctx, &entry->ticker, "ticker", run_ticker, entry))
    return bt_set_error (error, BT_ERROR_SYSTEM, "Cannot start a thread: %s.", strerror (errno));
  entry->ticker_started = true;
  return true;
}

static bt_membership_t *
make_membership (const bt_entry_t *entry)
{
  bt_membership_settings_t settings = bt_get_default_membership_settings ();
  bt_identity_t self = { .incarnation = entry->incarnation };

  bt_copy_name (self.instance, entry->settings.instance);
  settings.link_idle_ms = entry->settings.link_idle_ms;
  settings.answer_life_ms = entry->settings.address_life_ms;
  return bt_new_membership (entry->ctx, &self, BT_LISTED_ENTRY, &settings);
}

bt_entry_t *
bt_new_entry (bt_context_t *ctx, const bt_entry_settings_t *settings, bt_error_t *error)
{
  bt_entry_t *entry = bt_calloc (ctx, 1, sizeof *entry);
  bt_router_options_t options;
  bt_admission_options_t admission;
  bt_retry_budget_options_t budget;

  entry->links_base.vtable = &bt_entry_link_vtable;
  entry->ctx = ctx;
  entry->settings = *settings;
  bt_fill_secure_random (&entry->incarnation, sizeof entry->incarnation);
  bt_fill_secure_random (&entry->seed, sizeof entry->seed);
  pthread_mutex_init (&entry->lock, NULL);
  entry->membership = make_membership (entry);
  entry->ring = bt_new_ticket_ring (ctx);
  bt_derive_ticket_key (entry->ring, settings->secret);
  bt_default_router_options (&options);
  bt_copy_name (options.failure_domain, settings->failure_domain);
  entry->router = bt_new_router (ctx, &options);
  bt_default_admission_options (&admission);
  entry->admission = bt_new_admission (ctx, entry->router, &admission);
  bt_default_retry_budget_options (&budget);
  entry->budget = bt_new_retry_budget (ctx, &budget);
  bt_prepare_outcome_counters (ctx);
  entry->endpoints_up = bt_find_counter (ctx, BT_GAUGE, "bilberry_endpoints_up",
                                         "Endpoints with a live link.", NULL, NULL);
  entry->admitting =
      bt_find_counter (ctx, BT_GAUGE, "bilberry_admitting",
                       "1 while requests are admitted, 0 while not ready or isolated.", NULL, NULL);
  if (start_entry (entry, error))
    return entry;
  bt_drop_entry (ctx, entry);
  return NULL;
}

int32_t
bt_get_entry_http_port (const bt_entry_t *entry)
{
  return bt_get_http_server_port (entry->http);
}

void
bt_set_entry_declarations (bt_context_t *ctx, bt_entry_t *entry, bt_declarations_t *declarations)
{
  bt_declarations_t *old = NULL;

  pthread_mutex_lock (&entry->lock);
  if (entry->declarations == NULL || entry->declarations->revision <= declarations->revision)
    {
      old = entry->declarations;
      entry->declarations = bt_keep_declarations (declarations);
      bt_log (ctx, BT_LOG_INFO, BT_PART_CONFIG, "Revision %lld is in force.",
              (long long)declarations->revision);
    }
  pthread_mutex_unlock (&entry->lock);
  bt_drop_declarations (ctx, old);
}

bt_declarations_t *
bt_get_entry_declarations (bt_entry_t *entry)
{
  bt_declarations_t *declarations;

  pthread_mutex_lock (&entry->lock);
  declarations = bt_keep_declarations (entry->declarations);
  pthread_mutex_unlock (&entry->lock);
  return declarations;
}

void
bt_set_entry_leaving (bt_context_t *ctx, bt_entry_t *entry)
{
  pthread_mutex_lock (&entry->lock);
  entry->leaving = true;
  bt_set_self_leaving (entry->membership, bt_now_ms (ctx));
  pthread_mutex_unlock (&entry->lock);
  bt_log (ctx, BT_LOG_INFO, BT_PART_MAIN,
          "Leaving: this instance is no longer advertised to callers.");
}

bool
bt_is_entry_idle (bt_entry_t *entry)
{
  bool idle;

  pthread_mutex_lock (&entry->lock);
  idle = entry->call_count == 0 && bt_count_http_requests (entry->http) == 0;
  pthread_mutex_unlock (&entry->lock);
  return idle;
}

void
bt_close_entry (bt_entry_t *entry)
{
  pthread_mutex_lock (&entry->lock);
  entry->closed = true;
  pthread_mutex_unlock (&entry->lock);
  bt_close_http_server (entry->http);
}

void
bt_abort_entry_callers (bt_context_t *ctx, bt_entry_t *entry)
{
  pthread_mutex_lock (&entry->lock);
  entry->closed = true;
  bt_abort_calls (entry);
  pthread_mutex_unlock (&entry->lock);
  bt_sleep_ms (LINGER_MS);
  bt_drop_http_server (ctx, entry->http);
  entry->http = NULL;
}

static void
drop_peers (bt_entry_t *entry)
{
  while (entry->peers != NULL)
    {
      bt_peer_t *peer = entry->peers;

      entry->peers = peer->next;
      bt_drop_link (entry->ctx, peer->link);
      bt_free (entry->ctx, peer);
    }
}

void
bt_drop_entry (bt_context_t *ctx, bt_entry_t *entry)
{
  if (entry == NULL)
    return;
  atomic_store (&entry->stopping, true);
  if (entry->ticker_started)
    pthread_join (entry->ticker, NULL);
  if (entry->http != NULL)
    bt_abort_entry_callers (ctx, entry);
  bt_drop_link_loop (ctx, entry->loop);
  bt_drop_map_control (ctx, entry->maps);
  drop_peers (entry);
  bt_drop_admission (ctx, entry->admission);
  bt_drop_retry_budget (ctx, entry->budget);
  bt_drop_router (ctx, entry->router);
  bt_drop_membership (ctx, entry->membership);
  bt_drop_declarations (ctx, entry->declarations);
  bt_drop_ticket_ring (ctx, entry->ring);
  pthread_mutex_destroy (&entry->lock);
  bt_free (ctx, entry);
}
