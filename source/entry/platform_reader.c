#include "platform_reader.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/log.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/base/thread.h"
#include "bilberrytray/store/instances.h"
#include "bilberrytray/store/kv.h"
#include "config_driver.h"
#include "entry_private.h"

enum
{
  STOP_CHECK_MS = 10,
  LIST_TOTAL_MS = 2000,
};

struct bt_platform_reader
{
  bt_context_t *ctx;
  bt_entry_t *entry;
  bt_entry_settings_t settings;
  bt_kv_t *kv;
  bt_instances_t *instances;
  pthread_t thread;
  bool thread_started;
  bt_config_driver_t *config;
  atomic_bool stopping;
};

static void
pause_reader (bt_platform_reader_t *reader, int64_t wait_ms)
{
  int64_t until_ms = bt_now_ms (reader->ctx) + wait_ms;

  while (!atomic_load (&reader->stopping) && bt_now_ms (reader->ctx) < until_ms)
    bt_sleep_ms (STOP_CHECK_MS);
}

/* Passes the list to membership. Returns false if it is older than one seen before. */
static bool
update_membership (bt_platform_reader_t *reader, const bt_instance_list_t *list)
{
  bt_entry_t *entry = reader->entry;
  bool applied;

  pthread_mutex_lock (&entry->lock);
  applied = bt_apply_member_list (reader->ctx, entry->membership, list->revision, list->instances,
                                  list->count, bt_now_ms (reader->ctx));
  pthread_mutex_unlock (&entry->lock);
  return applied;
}

static void
apply_instance_list (bt_platform_reader_t *reader, const bt_instance_list_t *list)
{
  bt_entry_peer_t *peers = bt_calloc (reader->ctx, (size_t)list->count, sizeof (bt_entry_peer_t));

  for (int32_t i = 0; i < list->count; i++)
    {
      const bt_listed_instance_t *listed = &list->instances[i];

      peers[i].instance = listed->instance;
      peers[i].address = listed->address;
      peers[i].http = listed->http;
      peers[i].endpoint = listed->endpoint;
      peers[i].app = listed->app;
      peers[i].agent = listed->role == BT_LISTED_AGENT;
      peers[i].leaving = listed->leaving;
    }
  bt_set_entry_peers (reader->ctx, reader->entry, peers, list->count);
  bt_free (reader->ctx, peers);
}

static void *
read_lists (void *argument)
{
  bt_platform_reader_t *reader = argument;
  bt_instance_list_t list = { 0 };

  while (!atomic_load (&reader->stopping))
    {
      bt_error_t error = { 0 };

      if (!bt_read_instances (reader->ctx, reader->instances, &list, &error))
        bt_log (reader->ctx, BT_LOG_WARNING, BT_PART_MEMBERS, "Cannot read the instance list: %s",
                error.message);
      else if (update_membership (reader, &list))
        apply_instance_list (reader, &list);
      else
        bt_log (reader->ctx, BT_LOG_WARNING, BT_PART_MEMBERS,
                "Ignoring instance list revision %lld: a newer one was already applied.",
                (long long)list.revision);
      pause_reader (reader, reader->settings.instances_ms);
    }
  bt_drop_instance_list (reader->ctx, &list);
  return NULL;
}

static bool
start_thread (bt_platform_reader_t *reader, void *(*body) (void *), bt_error_t *error)
{
  if (!bt_start_thread (reader->ctx, &reader->thread, "platform", body, reader))
    return bt_set_error (error, BT_ERROR_SYSTEM, "Cannot start a thread: %s.", strerror (errno));
  reader->thread_started = true;
  return true;
}

bt_platform_reader_t *
bt_new_platform_reader (bt_context_t *ctx,
                        bt_entry_t *entry,
                        const bt_entry_settings_t *settings,
                        bt_error_t *error)
{
  bt_platform_reader_t *reader = bt_calloc (ctx, 1, sizeof *reader);
  bt_kv_settings_t kv_settings = bt_get_default_kv_settings (settings->store_url);

  bt_fill_secure_random (&kv_settings.seed, sizeof kv_settings.seed);
  reader->ctx = ctx;
  reader->entry = entry;
  reader->settings = *settings;
  reader->kv = bt_new_etcd_kv (ctx, &kv_settings);
  reader->instances = bt_new_http_instances (ctx, settings->instances_url, LIST_TOTAL_MS);
  reader->config = bt_new_config_driver (ctx, entry, reader->kv, error);
  if (reader->config != NULL && start_thread (reader, read_lists, error))
    return reader;
  bt_drop_platform_reader (ctx, reader);
  return NULL;
}

void
bt_drop_platform_reader (bt_context_t *ctx, bt_platform_reader_t *reader)
{
  if (reader == NULL)
    return;
  atomic_store (&reader->stopping, true);
  bt_cancel_kv (ctx, reader->kv);
  bt_drop_config_driver (ctx, reader->config);
  if (reader->thread_started)
    pthread_join (reader->thread, NULL);
  bt_drop_kv (ctx, reader->kv);
  bt_drop_instances (ctx, reader->instances);
  bt_free (ctx, reader);
}
