#include "config_driver.h"

#include <errno.h>
#include <string.h>
#include <time.h>

#include "bilberrytray/base/log.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/base/thread.h"
#include "config_driver_private.h"

enum
{
  TICK_MS = 100,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
  /* A field that is not known may stand in each of hundreds of rules. */
  MAX_LOGGED_FINDINGS = 32,
};

/* Schedules the next store call; there is at most one. The store thread picks it up. */
static void
schedule_store_call (bt_config_driver_t *driver, const bt_sync_action_t *action)
{
  driver->store_call_pending = true;
  driver->store_kind = action->kind;
  driver->store_since = action->since;
  driver->store_wait_ms = action->wait_ms;
  pthread_cond_broadcast (&driver->wake);
}

/* Waits until work is pending or a tick has passed. With the entry's lock held. */
static void
wait_for_work (bt_config_driver_t *driver)
{
  struct timespec until;

  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_nsec += (long)TICK_MS * NS_PER_MS;
  until.tv_sec += until.tv_nsec / ((long)MS_PER_S * NS_PER_MS);
  until.tv_nsec %= (long)MS_PER_S * NS_PER_MS;
  pthread_cond_timedwait (&driver->wake, &driver->entry->lock, &until);
}

void
bt_run_config_actions (bt_config_driver_t *driver, bt_sync_actions_t *actions, bt_link_t *source)
{
  for (int32_t i = 0; i < actions->count; i++)
    {
      const bt_sync_action_t *action = &actions->items[i];

      if (action->kind == BT_SYNC_READ || action->kind == BT_SYNC_WATCH)
        schedule_store_call (driver, action);
      else if (action->kind == BT_SYNC_APPLY)
        {
          driver->apply_pending = true;
          pthread_cond_broadcast (&driver->wake);
        }
      else
        bt_send_config_action (driver, action, source);
    }
  bt_clear_sync_actions (driver->ctx, actions);
}

static void
update_gauges (bt_config_driver_t *driver, int64_t now_ms)
{
  const bt_config_table_t *table = bt_get_sync_table (driver->sync);
  bt_sync_status_t status;

  bt_get_sync_status (driver->sync, now_ms, &status);
  bt_set_gauge (driver->gauges[BT_CONFIG_GAUGE_REVISION], status.revision);
  bt_set_gauge (driver->gauges[BT_CONFIG_GAUGE_FRESH_AGE], status.fresh_age_ms);
  bt_set_gauge (driver->gauges[BT_CONFIG_GAUGE_WATCHER], status.watcher);
  bt_set_gauge (driver->gauges[BT_CONFIG_GAUGE_STATE],
                (int64_t)bt_get_sync_state (driver->sync, now_ms));
  bt_set_gauge (driver->gauges[BT_CONFIG_GAUGE_OLDER],
                (int64_t)bt_count_offers (table, BT_OFFER_OLDER));
  bt_set_gauge (driver->gauges[BT_CONFIG_GAUGE_STALE_READS], (int64_t)status.stale_reads);
  bt_set_gauge (driver->gauges[BT_CONFIG_GAUGE_PULLS], (int64_t)status.pulls);
  bt_set_gauge (driver->gauges[BT_CONFIG_GAUGE_PUSHES], (int64_t)status.pushes);
}

static void
log_findings (bt_context_t *ctx, const bt_findings_t *findings, bool rejected)
{
  for (int32_t i = 0; i < bt_count_findings (findings) && i < MAX_LOGGED_FINDINGS; i++)
    {
      const bt_finding_t *finding = bt_get_finding (findings, i);

      bt_log (ctx, BT_LOG_ERROR, BT_PART_CONFIG, "%s %s %s: %s", finding->file, finding->path,
              rejected ? "keeps the configuration in the store from coming into force"
                       : "is left out of the configuration in the store",
              finding->message);
    }
}

/* Parses documents of the table into declarations, without the lock, and puts them in force, less
 * the parts that can't be read. Documents that can't be read at all do not come into force and are
 * not reported as in force. */
static void
apply_documents (bt_config_driver_t *driver, bt_document_list_t *documents)
{
  bt_context_t *ctx = driver->ctx;
  bt_findings_t *findings = bt_new_findings (ctx);
  bt_declarations_t *declarations = bt_read_declarations (ctx, documents, findings);

  log_findings (ctx, findings, declarations == NULL);
  if (declarations != NULL)
    {
      bt_set_entry_declarations (ctx, driver->entry, declarations);
      bt_set_gauge (driver->gauges[BT_CONFIG_GAUGE_FINDINGS], declarations->finding_count);
      pthread_mutex_lock (&driver->entry->lock);
      bt_clear_documents (ctx, &driver->applied);
      driver->applied = *documents;
      memset (documents, 0, sizeof *documents);
      pthread_mutex_unlock (&driver->entry->lock);
    }
  bt_drop_declarations (ctx, declarations);
  bt_drop_findings (ctx, findings);
}

static void
tick_driver (bt_config_driver_t *driver)
{
  bt_entry_t *entry = driver->entry;
  bt_document_list_t documents = { 0 };
  bt_sync_actions_t actions = { 0 };
  int64_t now_ms = bt_now_ms (driver->ctx);
  bool apply;

  pthread_mutex_lock (&entry->lock);
  bt_tick_config_sync (driver->ctx, driver->sync, now_ms, &actions);
  bt_run_config_actions (driver, &actions, NULL);
  update_gauges (driver, now_ms);
  apply = driver->apply_pending;
  driver->apply_pending = false;
  if (apply)
    bt_list_documents_above (driver->ctx, bt_get_sync_table (driver->sync), 0, &documents);
  pthread_mutex_unlock (&entry->lock);
  if (apply)
    apply_documents (driver, &documents);
  bt_clear_documents (driver->ctx, &documents);
  pthread_mutex_lock (&entry->lock);
  if (!driver->apply_pending)
    bt_send_config_replies (driver);
  pthread_mutex_unlock (&entry->lock);
}

static void *
run_ticker (void *argument)
{
  bt_config_driver_t *driver = argument;

  while (!atomic_load (&driver->stopping))
    {
      tick_driver (driver);
      pthread_mutex_lock (&driver->entry->lock);
      if (!driver->apply_pending && driver->replies == NULL)
        wait_for_work (driver);
      pthread_mutex_unlock (&driver->entry->lock);
    }
  return NULL;
}

static void
handle_store_read (bt_config_driver_t *driver,
                   int64_t revision,
                   const bt_document_list_t *documents,
                   const bt_error_t *error)
{
  bt_sync_actions_t actions = { 0 };
  int64_t now_ms = bt_now_ms (driver->ctx);

  pthread_mutex_lock (&driver->entry->lock);
  if (error->code == BT_ERROR_NONE)
    bt_handle_store_read (driver->ctx, driver->sync, revision, documents, now_ms, &actions);
  else
    bt_handle_store_failure (driver->ctx, driver->sync, now_ms);
  bt_run_config_actions (driver, &actions, NULL);
  pthread_mutex_unlock (&driver->entry->lock);
}

static void
read_store (bt_config_driver_t *driver, int64_t since, bt_error_t *error)
{
  const char *prefix = driver->entry->settings.store_prefix;
  bt_document_list_t documents = { 0 };
  bt_kv_range_t range = { 0 };
  int64_t revision;

  bt_read_kv_changes (driver->ctx, driver->kv, prefix, since + 1, &range, error);
  bt_add_range_documents (driver->ctx, &range, prefix, &documents);
  revision = range.revision;
  bt_drop_kv_range (driver->ctx, &range);
  handle_store_read (driver, revision, &documents, error);
  bt_clear_documents (driver->ctx, &documents);
}

static void
watch_store (bt_config_driver_t *driver, int64_t since, int64_t wait_ms, bt_error_t *error)
{
  bt_kv_watch_result_t result = BT_KV_WATCH_NO_EVENTS;
  bt_sync_actions_t actions = { 0 };
  int64_t now_ms;

  bt_watch_kv (driver->ctx, driver->kv, driver->entry->settings.store_prefix, since + 1, wait_ms,
               &result, error);
  now_ms = bt_now_ms (driver->ctx);
  pthread_mutex_lock (&driver->entry->lock);
  if (error->code == BT_ERROR_NONE)
    bt_handle_store_watch (driver->ctx, driver->sync, result != BT_KV_WATCH_NO_EVENTS, now_ms,
                           &actions);
  else
    bt_handle_store_failure (driver->ctx, driver->sync, now_ms);
  bt_run_config_actions (driver, &actions, NULL);
  pthread_mutex_unlock (&driver->entry->lock);
}

static void *
run_store (void *argument)
{
  bt_config_driver_t *driver = argument;

  while (!atomic_load (&driver->stopping))
    {
      bt_error_t error = { 0 };
      bt_sync_action_kind_t kind;
      int64_t since;
      int64_t wait_ms;
      bool pending;

      pthread_mutex_lock (&driver->entry->lock);
      if (!driver->store_call_pending)
        wait_for_work (driver);
      pending = driver->store_call_pending;
      driver->store_call_pending = false;
      kind = driver->store_kind;
      since = driver->store_since;
      wait_ms = driver->store_wait_ms;
      pthread_mutex_unlock (&driver->entry->lock);
      if (!pending)
        continue;
      if (kind == BT_SYNC_READ)
        read_store (driver, since, &error);
      else
        watch_store (driver, since, wait_ms, &error);
      if (error.code != BT_ERROR_NONE && !atomic_load (&driver->stopping))
        bt_log (driver->ctx, BT_LOG_WARNING, BT_PART_STORE, "Cannot read the configuration: %s",
                error.message);
    }
  return NULL;
}

static void
register_gauges (bt_config_driver_t *driver)
{
  static const char *const names[][2] = {
    { "bilberry_config_revision", "Highest revision known on this instance." },
    { "bilberry_config_fresh_age_ms", "Age of the freshest news of the service; -1 none." },
    { "bilberry_config_watcher", "1 while this instance watches the service." },
    { "bilberry_config_state", "0 ready, 1 not ready, 2 isolated." },
    { "bilberry_config_older_dropped", "Older documents dropped so far." },
    { "bilberry_config_stale_reads", "Stale answers of the service dropped so far." },
    { "bilberry_config_pulls", "Pulls sent to peers so far." },
    { "bilberry_config_pushes", "Pushes sent to peers so far." },
    { "bilberry_configuration_findings",
      "Parts of the configuration in force that were left out, since they can't be read or are not "
      "known." },
  };

  for (int32_t i = 0; i < BT_CONFIG_GAUGE_COUNT; i++)
    driver->gauges[i] =
        bt_find_counter (driver->ctx, BT_GAUGE, names[i][0], names[i][1], NULL, NULL);
}

static void
init_condition (bt_config_driver_t *driver)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&driver->wake, &attributes);
  pthread_condattr_destroy (&attributes);
}

static bool
start_thread (bt_config_driver_t *driver, void *(*body) (void *), bt_error_t *error)
{
  if (!bt_start_thread (driver->ctx, &driver->threads[driver->thread_count], "config", body,
                        driver))
    return bt_set_error (error, BT_ERROR_SYSTEM, "Cannot start a thread: %s.", strerror (errno));
  driver->thread_count++;
  return true;
}

static void
open_links (bt_entry_t *entry)
{
  for (bt_peer_t *peer = entry->peers; peer != NULL; peer = peer->next)
    if (peer->up && !peer->agent)
      bt_open_config_link (entry, &peer->identity);
}

bt_config_driver_t *
bt_new_config_driver (bt_context_t *ctx, bt_entry_t *entry, bt_kv_t *kv, bt_error_t *error)
{
  bt_config_driver_t *driver = bt_calloc (ctx, 1, sizeof *driver);
  bt_sync_settings_t settings = bt_get_default_sync_settings ();
  bt_identity_t self = { .incarnation = entry->incarnation };
  uint64_t seed;

  bt_copy_name (self.instance, entry->settings.instance);
  bt_fill_secure_random (&seed, sizeof seed);
  settings.isolation_ms = entry->settings.isolation_ms;
  settings.fallback_ms = entry->settings.isolation_ms * 6 / 10;
  settings.watch_wait_ms = entry->settings.watch_wait_ms;
  settings.watchers = (int32_t)entry->settings.watchers;
  driver->ctx = ctx;
  driver->entry = entry;
  driver->kv = kv;
  driver->sync = bt_new_config_sync (ctx, &self, &settings, seed, bt_now_ms (ctx));
  register_gauges (driver);
  init_condition (driver);
  pthread_mutex_lock (&entry->lock);
  entry->config = driver;
  bt_update_config_members (entry);
  open_links (entry);
  pthread_mutex_unlock (&entry->lock);
  if (start_thread (driver, run_ticker, error) && start_thread (driver, run_store, error))
    return driver;
  bt_drop_config_driver (ctx, driver);
  return NULL;
}

void
bt_drop_config_driver (bt_context_t *ctx, bt_config_driver_t *driver)
{
  if (driver == NULL)
    return;
  atomic_store (&driver->stopping, true);
  for (int32_t i = 0; i < driver->thread_count; i++)
    pthread_join (driver->threads[i], NULL);
  pthread_mutex_lock (&driver->entry->lock);
  driver->entry->config = NULL;
  bt_drop_config_replies (driver);
  pthread_mutex_unlock (&driver->entry->lock);
  pthread_cond_destroy (&driver->wake);
  bt_clear_documents (ctx, &driver->applied);
  bt_drop_config_sync (ctx, driver->sync);
  bt_free (ctx, driver);
}

void
bt_update_config_members (bt_entry_t *entry)
{
  bt_sync_member_t *members;
  int32_t count;

  if (entry->config == NULL)
    return;
  members = bt_list_sync_members (entry->ctx, entry->membership, &count);
  bt_set_sync_members (entry->ctx, entry->config->sync, members, count);
  bt_free (entry->ctx, members);
}

bt_reason_t
bt_get_config_refusal (const bt_entry_t *entry, int64_t now_ms)
{
  if (entry->config == NULL || entry->declarations == NULL)
    return BT_REASON_NOT_READY;
  switch (bt_get_sync_state (entry->config->sync, now_ms))
    {
    case BT_SYNC_NOT_READY:
      return BT_REASON_NOT_READY;
    case BT_SYNC_ISOLATED:
      return BT_REASON_ISOLATED;
    default:
      return BT_REASON_NONE;
    }
}
