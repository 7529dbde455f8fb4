#include "platform_reader.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "bilberrytray/base/log.h"
#include "bilberrytray/base/random.h"
#include "bilberrytray/platform/instances.h"
#include "bilberrytray/platform/kv.h"

enum
{
  PAUSE_MS = 10,
  KEY_BYTES = 256,
  LIST_TOTAL_MS = 2000,
};

struct bt_platform_reader
{
  bt_context_t *ctx;
  bt_entry_t *entry;
  bt_entry_settings_t settings;
  bt_kv_t *kv;
  bt_instances_t *instances;
  pthread_t threads[2];
  int32_t thread_count;
  atomic_bool stopping;
  int64_t revision; /**< Highest that was tried; of the configuration's thread alone. */
};

static void
pause_reader (bt_platform_reader_t *reader, int64_t wait_ms)
{
  int64_t until_ms = bt_now_ms (reader->ctx) + wait_ms;

  while (!atomic_load (&reader->stopping) && bt_now_ms (reader->ctx) < until_ms)
    bt_sleep_ms (PAUSE_MS);
}

static void
give_list (bt_platform_reader_t *reader, const bt_instance_list_t *list)
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

      if (bt_read_instances (reader->ctx, reader->instances, &list, &error))
        give_list (reader, &list);
      else
        bt_log (reader->ctx, BT_LOG_WARNING, BT_PART_MEMBERS, "Can't read the instance list: %s",
                error.message);
      pause_reader (reader, reader->settings.instances_ms);
    }
  bt_drop_instance_list (reader->ctx, &list);
  return NULL;
}

static const bt_kv_pair_t *
find_document (const bt_kv_range_t *range, const char *prefix, bt_document_kind_t kind)
{
  char key[KEY_BYTES];

  snprintf (key, sizeof key, "%s%s", prefix, bt_name_document (kind));
  for (int32_t i = 0; i < range->count; i++)
    if (strcmp (range->pairs[i].key, key) == 0)
      return &range->pairs[i];
  return NULL;
}

static void
apply_range (bt_platform_reader_t *reader, const bt_kv_range_t *range)
{
  bt_document_text_t texts[BT_DOCUMENT_COUNT] = { 0 };
  bt_declarations_t *declarations;
  bt_findings_t *findings;
  int64_t revision = 0;

  for (int32_t i = 0; i < BT_DOCUMENT_COUNT; i++)
    {
      const bt_kv_pair_t *pair =
          find_document (range, reader->settings.store_prefix, (bt_document_kind_t)i);

      if (pair == NULL)
        return;
      texts[i].file = bt_name_document ((bt_document_kind_t)i);
      texts[i].data = pair->value;
      texts[i].bytes = pair->value_bytes;
      if (pair->mod_revision > revision)
        revision = pair->mod_revision;
    }
  if (revision <= reader->revision)
    return;
  reader->revision = revision;
  findings = bt_new_findings (reader->ctx);
  declarations = bt_new_declarations (reader->ctx, texts, findings);
  if (declarations == NULL)
    bt_log (reader->ctx, BT_LOG_ERROR, BT_PART_CONFIG, "Revision %lld is wrong: %s: %s",
            (long long)revision, bt_get_finding (findings, 0)->path,
            bt_get_finding (findings, 0)->message);
  else
    {
      declarations->revision = revision;
      bt_set_entry_declarations (reader->ctx, reader->entry, declarations);
    }
  bt_drop_declarations (reader->ctx, declarations);
  bt_drop_findings (reader->ctx, findings);
}

static void *
read_configuration (void *argument)
{
  bt_platform_reader_t *reader = argument;

  while (!atomic_load (&reader->stopping))
    {
      bt_kv_range_t range = { 0 };
      bt_error_t error = { 0 };

      if (bt_read_kv (reader->ctx, reader->kv, reader->settings.store_prefix, true, &range, &error))
        apply_range (reader, &range);
      else
        bt_log (reader->ctx, BT_LOG_WARNING, BT_PART_STORE, "Can't read the configuration: %s",
                error.message);
      bt_drop_kv_range (reader->ctx, &range);
      pause_reader (reader, reader->settings.store_poll_ms);
    }
  return NULL;
}

static bool
start_thread (bt_platform_reader_t *reader, void *(*body) (void *), bt_error_t *error)
{
  if (pthread_create (&reader->threads[reader->thread_count], NULL, body, reader) != 0)
    return bt_set_error (error, BT_ERROR_SYSTEM, "Can't start a thread: %s.", strerror (errno));
  reader->thread_count++;
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
  if (start_thread (reader, read_lists, error) && start_thread (reader, read_configuration, error))
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
  for (int32_t i = 0; i < reader->thread_count; i++)
    pthread_join (reader->threads[i], NULL);
  bt_drop_kv (ctx, reader->kv);
  bt_drop_instances (ctx, reader->instances);
  bt_free (ctx, reader);
}
